"""The lists of upstreams that discovery sends: parsing, and the numbers by which names are known. No I/O."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass, field
from typing import Any

from ironscale.interface import Upstream, UpstreamState

_STATES = {state.value: state for state in UpstreamState}


class ListError(Exception):
    """A list from discovery that is malformed."""


@dataclass(slots=True)
class Member:
    """One entry of a list: the upstream as the balancer sees it, and the address where it listens."""

    upstream: Upstream
    address: tuple[str, int]
    name: str


@dataclass(slots=True)
class Listing:
    """A list from discovery: all upstreams if `full`, otherwise those that changed."""

    generation: int
    full: bool
    members: list[Member] = field(default_factory=list)


def upstream_id(name: str) -> int:
    """Returns a number that depends only on `instanceId`: the same in every sidecar and after every restart.

    The hash comes first and spreads the ids evenly; the name itself follows, so that two names never
    have the same id, even if their hashes collide. (The first byte preserves leading zero bytes.)
    """
    raw = name.encode()
    return int.from_bytes(b"\1" + hashlib.blake2b(raw, digest_size=8).digest() + raw)


class NameIndex:
    """Maps names to their indexes in the settings' list, and names that only discovery knows to indexes beyond it. Each
    unknown name gets its own index: two unknown zones with one index would count as the same zone for the rule that
    keeps retries of a request within its zone."""

    def __init__(self, names: list[str]) -> None:
        self.configured = {name: index for index, name in enumerate(names)}
        self.discovered: dict[str, int] = {}

    def index(self, name: object) -> int:
        text = str(name or "")
        found = self.configured.get(text)
        return self.discovered.setdefault(text, len(self.configured) + len(self.discovered)) if found is None else found


class ListParser:
    """Parses the JSON lists of discovery. Zones and machine types become indexes into the settings' lists."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.zones, self.kinds = NameIndex(zones), NameIndex(kinds)

    def parse(self, data: Any) -> Listing:
        """Parses one list. Raises ListError."""
        members: list[Member] = []
        try:
            for entry in data["instances"]:
                members.append(self._parse_member(entry))
            return Listing(int(data["generation"]), bool(data.get("reset", False)), members)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ListError(f"malformed list after {len(members)} instances: "
                            f"{type(error).__name__}: {error}") from error

    def _parse_member(self, entry: dict[str, Any]) -> Member:
        name = str(entry["instanceId"])
        host, _, port = str(entry["hostPort"]).rpartition(":")
        weight = entry.get("weight")
        weight = 1.0 if weight is None else float(weight)  # a missing key means the same as null, here and below
        if not math.isfinite(weight):
            raise ValueError(f"weight is not finite: {weight}")
        upstream = Upstream(
            id=upstream_id(name),
            state=_STATES[entry["lifecycle"]],
            zone=self.zones.index(entry.get("zone")),
            kind=self.kinds.index(entry.get("machineType")),
            cell=int(entry.get("cell") or 0),
            weight=weight,
            started_us=int(entry.get("startedAtMs") or 0) * 1000,
        )
        return Member(upstream, (host, int(port)), name)
