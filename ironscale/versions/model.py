"""A published version, the instances in its scope, and how several versions combine. No I/O.

A version is one committed entry of the log: a JSON merge patch (RFC 7396) for a scope. An instance combines the newest
entry of each scope that it is in; narrower scopes override wider ones, in the order all, region, zone, service,
instance.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2b
from typing import Any

# Size of one entry's patch as JSON. The patches of all five scopes of an instance must fit into one frame of the
# control connection (128 KB) together with the envelope; otherwise no update could be sent to that instance any more.
MAX_OVERLAY_BYTES = 24 << 10
MAX_OVERLAY_DEPTH = 24  # levels of nested objects and lists
MAX_SCOPE_NAME_CHARS = 128


class ScopeError(ValueError):
    """A text that is not a valid scope; the message is one line."""


class Reach(IntEnum):
    """Kinds of scopes from wide to narrow; narrower ones take precedence."""

    ALL = 0
    REGION = 1
    ZONE = 2
    SERVICE = 3
    INSTANCE = 4


@dataclass(frozen=True, slots=True, order=True)
class Scope:
    """A set of instances; its text form is `all` or for instance `zone=a`."""

    reach: Reach
    name: str = ""

    def __str__(self) -> str:
        return "all" if self.reach is Reach.ALL else f"{self.reach.name.lower()}={self.name}"


ALL = Scope(Reach.ALL)


def parse_scope(text: str) -> Scope:
    """Parses the text form of a scope. Raises ScopeError."""
    if text == "all":
        return ALL
    reach, mark, name = text.partition("=")
    known = {r.name.lower(): r for r in Reach if r is not Reach.ALL}
    fits = 0 < len(name) <= MAX_SCOPE_NAME_CHARS and name.isprintable() and name == name.strip()
    if not mark or reach not in known or not fits:
        raise ScopeError(f"scope: expected all, or one of {', '.join(known)} with =NAME, got {text[:60]!r}")
    return Scope(known[reach], name)


@dataclass(frozen=True, slots=True)
class Labels:
    """Names and location of an instance; with an empty label it is in no scope of that kind."""

    instance: str
    service: str = ""
    zone: str = ""
    region: str = ""

    def scopes(self) -> tuple[Scope, ...]:
        """The scopes that include the instance, from the widest to the narrowest."""
        named = ((Reach.REGION, self.region), (Reach.ZONE, self.zone), (Reach.SERVICE, self.service),
                 (Reach.INSTANCE, self.instance))
        return (ALL, *(Scope(reach, name) for reach, name in named if name))


@dataclass(frozen=True, slots=True)
class Entry:
    """One version in the log. An entry without an overlay removes the overlay of its scope."""

    version: int  # its position in the log, starting at 1
    scope: Scope
    overlay: Mapping[str, Any] | None
    base: int = 0  # the scope's version that it replaces; 0 = the scope had none
    restores: int = 0  # the version whose overlay it restores; 0 = the overlay is new
    actor: str = ""
    at_ms: int = 0


def combine_patches(lower: Any, patch: Any) -> Any:
    """Combines two merge patches into one; `patch` takes precedence over `lower`. Unlike applying a patch, this keeps
    removals (null). Where `patch` has an object and `lower` a removal or a plain value, the latter is lost: applied one
    after the other they would first empty the object in the file, which a single merge patch can't express."""
    if not isinstance(patch, Mapping):
        return patch
    result = dict(lower) if isinstance(lower, Mapping) else {}
    for name, value in patch.items():
        result[name] = combine_patches(result[name], value) if name in result else value
    return result


def combine_layers(layers: Iterable[Entry]) -> dict[str, Any]:
    """Combines the newest entries of an instance's scopes into one overlay; narrower scopes override wider ones."""
    result: dict[str, Any] = {}
    for entry in sorted(layers, key=lambda entry: entry.scope.reach):
        if entry.overlay is not None:
            result = combine_patches(result, entry.overlay)
    return result


def canonical_json(overlay: Any) -> bytes:
    """JSON with sorted keys and without spaces, so that equal overlays give equal bytes."""
    return json.dumps(overlay, sort_keys=True, separators=(",", ":"), allow_nan=False).encode("ascii")


def overlay_digest(overlay: Any) -> str:
    """Digest of an overlay; equal overlays have equal digests."""
    return blake2b(canonical_json(overlay), digest_size=12).hexdigest()
