"""Bearer tokens: created here, stored as digests, and compared in constant time."""

from __future__ import annotations

import hashlib
import hmac
import os
import secrets
from collections.abc import Iterable
from pathlib import Path

from ironscale.agent.store import TokenRow

# `instance` may only register. Each of the other roles includes the rights of the one before it.
ROLES = ("instance", "read", "operate", "admin")


def new_token() -> str:
    """A token of 256 random bits. It can't be guessed, so its stored digest needs neither a salt nor a slow hash."""
    return secrets.token_urlsafe(32)


def digest(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def find_token(token: str, rows: Iterable[TokenRow]) -> TokenRow | None:
    """The row of the token unless revoked. Always compares all rows, so that the time taken doesn't reveal a match."""
    wanted, found = digest(token), None
    for row in rows:
        if hmac.compare_digest(row.digest, wanted) and row.revoked_ms == 0:
            found = row
    return found


def has_role(role: str, needed: str) -> bool:
    """Whether a token with `role` has the rights of role `needed`."""
    if role == "instance" or needed == "instance":
        return role == needed
    return ROLES.index(role) >= ROLES.index(needed)


def write_secret(path: Path, token: str) -> None:
    """Writes the token to a file created with mode 0600; an existing file is replaced atomically."""
    temporary = path.with_name(f".{path.name}.{secrets.token_hex(4)}")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, "w", encoding="ascii") as file:
        file.write(token + "\n")
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
