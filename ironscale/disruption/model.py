"""Units that can be out, what is seen of them, budgets over them, and permits. No I/O."""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace
from fnmatch import fnmatchcase
from typing import Any

ATTRIBUTES = ("name", "service", "zone", "kind", "group")
MOST_UNITS = 500  # in one permit
MOST_WAITING = 1_000
MOST_PRIORITY = 9


class Of(enum.StrEnum):
    SIDECAR = "sidecar"
    UPSTREAM = "upstream"


@dataclass(frozen=True, slots=True)
class Unit:
    """One thing that serves, or is out."""

    of: Of
    name: str
    service: str = ""
    zone: str = ""
    kind: str = ""  # of machine
    group: str = ""  # units that fail together
    weight: float = 1.0  # of its capacity, beside others of its sort

    @property
    def key(self) -> str:
        return f"{self.of}/{self.name}"


@dataclass(frozen=True, slots=True)
class Sight:
    """A unit as it was last seen. What is not known counts as out."""

    unit: Unit
    out: float  # of 1, the share of it that does not serve
    why: str = ""  # in a word; empty = it serves
    known: bool = True  # hazard: what is silent may be serving, and can't be taken out as if it were not
    boot: str = ""  # the process that was seen
    # when the question was put whose answer this is, on the leader's monotonic clock; 0 = nobody asked (a heartbeat)
    asked_ms: int = 0


@dataclass(frozen=True, slots=True)
class Budget:
    """How much of what it matches may be out at once. Of several limits, and of several budgets, the tightest rules."""

    name: str
    of: Of
    where: tuple[tuple[str, str], ...] = ()  # attribute and pattern (`*`, `?`), all of which hold
    each: str = ""  # counted apart for each value of this attribute; empty = all together
    number: int | None = None
    share: float | None = None  # of the units, rounded down, and one at least: else few could never be worked on
    capacity: float | None = None  # share of the summed weights

    def matches(self, unit: Unit) -> bool:
        return unit.of is self.of and all(
            fnmatchcase(getattr(unit, attribute), pattern) for attribute, pattern in self.where)

    def value(self, unit: Unit) -> str:
        return str(getattr(unit, self.each)) if self.each else ""


class Phase(enum.StrEnum):
    """Of a permit. While it is held, unknown or returned its units count as out, whatever they show."""

    WAITING = "waiting"
    HELD = "held"
    UNKNOWN = "unknown"  # its lease has run out: what its holder does is not known
    RETURNED = "returned"  # its holder is through; that its units serve again is still to be seen
    ENDED = "ended"
    WITHDRAWN = "withdrawn"  # before it was granted


COUNTS = (Phase.HELD, Phase.UNKNOWN, Phase.RETURNED)


@dataclass(frozen=True, slots=True)
class Permit:
    """Leave to take units out of service."""

    id: int
    key: str  # its holder's word for it: asked for again, it is this one
    holder: str
    units: tuple[str, ...]  # keys
    reason: str = ""
    priority: int = 0
    phase: Phase = Phase.WAITING
    created_ms: int = 0  # Unix time, for people
    lease_ms: int = 0  # it has to be renewed so often; 0 = it is an operation's, which the record itself holds
    operation: int = 0
    note: str = ""
    ended_ms: int = 0  # Unix time

    def to(self, phase: Phase, note: str = "") -> Permit:
        return replace(self, phase=phase, note=note)

    def packed(self) -> dict[str, Any]:
        """For the record; `id`, `holder` and `key` have columns of their own."""
        return {"units": list(self.units), "reason": self.reason, "priority": self.priority, "phase": str(self.phase),
                "created_ms": self.created_ms, "lease_ms": self.lease_ms, "operation": self.operation,
                "note": self.note, "ended_ms": self.ended_ms}

    @classmethod
    def unpacked(cls, ident: int, holder: str, key: str, body: dict[str, Any]) -> Permit:
        return cls(ident, key, holder, tuple(body["units"]), body["reason"], body["priority"], Phase(body["phase"]),
                   body["created_ms"], body["lease_ms"], body["operation"], body["note"], body["ended_ms"])


@dataclass(frozen=True, slots=True)
class Halt:
    """Nothing more is taken out, in the whole fleet, until it is lifted."""

    id: int
    actor: str
    reason: str
    at_ms: int
    lifted_ms: int = 0
    lifted_by: str = ""

    @property
    def text(self) -> str:
        return f"{self.actor}: {self.reason}" if self.reason else self.actor


class Impossible(Exception):
    """No room will ever be enough; the text is one line."""
