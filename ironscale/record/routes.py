"""Chooses the store of a record when several are configured. Pure.

Rendezvous hashing: each store gets a score for the routing key and the highest score wins, so adding a store moves only
its own share of the keys (Thaler and Ravishankar, 1998). Sidecars configured with the same store names make the same
choice.
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b


def routing_key(by: str, tenant: str, key: str, request: str) -> str:
    """The key that decides the store: the tenant, or tenant and idempotency key (the request id if it has none)."""
    return tenant if by == "tenant" else f"{tenant}\0{key or request}"


def choose_store(stores: Sequence[str], routing_key: str) -> int:
    """The index of the store for a routing key."""
    if len(stores) == 1:
        return 0
    data = routing_key.encode()

    def score(index: int) -> bytes:
        return blake2b(data, digest_size=8, key=blake2b(stores[index].encode(), digest_size=16).digest()).digest()

    return max(range(len(stores)), key=score)
