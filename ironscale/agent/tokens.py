"""Bearer tokens: made, stored as digests, compared in constant time."""

from __future__ import annotations

import hashlib
import hmac
import os
import secrets
from collections.abc import Iterable
from pathlib import Path

from ironscale.agent.store import TokenRow

# `instance` may only register; each of the others may do what the one before it may.
ROLES = ("instance", "read", "operate", "admin")


def new_token() -> str:
    """256 random bits: nothing to guess, so a plain digest of it needs no salt and no slow hash."""
    return secrets.token_urlsafe(32)


def digest(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def find(token: str, rows: Iterable[TokenRow]) -> TokenRow | None:
    """The row of a token that has not been revoked. All rows are compared, whichever fits."""
    wanted, found = digest(token), None
    for row in rows:
        if hmac.compare_digest(row.digest, wanted) and row.revoked_ms == 0:
            found = row
    return found


def may(role: str, needed: str) -> bool:
    if role == "instance" or needed == "instance":
        return role == needed
    return ROLES.index(role) >= ROLES.index(needed)


def write_secret(path: Path, token: str) -> None:
    """A file of mode 0600 from its first byte; an existing one is replaced whole."""
    aside = path.with_name(f".{path.name}.{secrets.token_hex(4)}")
    descriptor = os.open(aside, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, "w", encoding="ascii") as file:
        file.write(token + "\n")
        file.flush()
        os.fsync(file.fileno())
    os.replace(aside, path)
