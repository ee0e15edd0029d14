"""Which store a record goes to, where there are several. Pure.

Rendezvous hashing: each store draws a number for the subject and the highest has it, so another store takes over its
own share and nothing else moves (Thaler and Ravishankar, 1998). Every sidecar that is told the same names chooses the
same.
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b


def routing_key(by: str, tenant: str, key: str, request: str) -> str:
    """What stays together: all of a tenant's, or what one key stands for (the request itself, where it has none)."""
    return tenant if by == "tenant" else f"{tenant}\0{key or request}"


def choose_store(stores: Sequence[str], routing_key: str) -> int:
    """The index of the store that has what `about` names."""
    if len(stores) == 1:
        return 0
    data = routing_key.encode()

    def score(index: int) -> bytes:
        return blake2b(data, digest_size=8, key=blake2b(stores[index].encode(), digest_size=16).digest()).digest()

    return max(range(len(stores)), key=score)
