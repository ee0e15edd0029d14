"""A published version, whom it concerns, and what comes of several of them. Pure.

A version is one committed entry of one log: a JSON merge patch (RFC 7396) for a scope. An instance runs the newest
entry of each scope that it is in, the narrower over the wider: all, region, zone, service, instance.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2b
from typing import Any

# Bytes of one entry's patch as JSON. Hazard: what all five scopes of an instance say has to fit one frame of the
# control connection (128 KB) beside its envelope, or that instance could be told nothing more.
MOST_OVERLAY = 24 << 10
MOST_DEPTH = 24  # objects and lists in one another
MAX_NAME = 128


class ScopeError(ValueError):
    """A scope that can't be; the text is one line."""


class Reach(IntEnum):
    """From wide to narrow: the later goes before."""

    ALL = 0
    REGION = 1
    ZONE = 2
    SERVICE = 3
    INSTANCE = 4


@dataclass(frozen=True, slots=True, order=True)
class Scope:
    """Written `all` or `zone=a`."""

    reach: Reach
    name: str = ""

    def __str__(self) -> str:
        return "all" if self.reach is Reach.ALL else f"{self.reach.name.lower()}={self.name}"


ALL = Scope(Reach.ALL)


def read_scope(text: str) -> Scope:
    """Raises ScopeError."""
    if text == "all":
        return ALL
    reach, mark, name = text.partition("=")
    known = {r.name.lower(): r for r in Reach if r is not Reach.ALL}
    fits = 0 < len(name) <= MAX_NAME and name.isprintable() and name == name.strip()
    if not mark or reach not in known or not fits:
        raise ScopeError(f"scope: expected all, or one of {', '.join(known)} with =NAME, got {text[:60]!r}")
    return Scope(known[reach], name)


@dataclass(frozen=True, slots=True)
class Labels:
    """Where an instance belongs; an empty label is in no scope of that reach."""

    instance: str
    service: str = ""
    zone: str = ""
    region: str = ""

    def scopes(self) -> tuple[Scope, ...]:
        """From wide to narrow."""
        named = ((Reach.REGION, self.region), (Reach.ZONE, self.zone), (Reach.SERVICE, self.service),
                 (Reach.INSTANCE, self.instance))
        return (ALL, *(Scope(reach, name) for reach, name in named if name))


@dataclass(frozen=True, slots=True)
class Entry:
    """One version of the log. Without an overlay the scope has none from here on."""

    version: int  # its position in the log, from 1 on
    scope: Scope
    overlay: Mapping[str, Any] | None
    base: int = 0  # the scope's version that it was made upon; 0 = it had none
    restores: int = 0  # the version whose overlay it brings back; 0 = it is new
    actor: str = ""
    at_ms: int = 0


def over(below: Any, patch: Any) -> Any:
    """One merge patch for both, `patch` before `below`: unlike a merge, it keeps what is to be removed. Where `patch`
    has an object and `below` a removal or a value, that is lost: one after the other they would have emptied the object
    of the file first, which no merge patch can say."""
    if not isinstance(patch, Mapping):
        return patch
    result = dict(below) if isinstance(below, Mapping) else {}
    for name, value in patch.items():
        result[name] = over(result[name], value) if name in result else value
    return result


def effective(layers: Iterable[Entry]) -> dict[str, Any]:
    """What the newest entries of an instance's scopes come to, the narrower over the wider."""
    result: dict[str, Any] = {}
    for entry in sorted(layers, key=lambda entry: entry.scope.reach):
        if entry.overlay is not None:
            result = over(result, entry.overlay)
    return result


def canonical(overlay: Any) -> bytes:
    return json.dumps(overlay, sort_keys=True, separators=(",", ":"), allow_nan=False).encode("ascii")


def digest(overlay: Any) -> str:
    """Of what an instance runs: two that run the same bytes have the same."""
    return blake2b(canonical(overlay), digest_size=12).hexdigest()
