"""Units that can be out of service, observations of them, budgets over them, and permits. No I/O."""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace
from fnmatch import fnmatchcase
from typing import Any

ATTRIBUTES = ("name", "service", "zone", "kind", "group")
MAX_PERMIT_UNITS = 500  # in one permit
MAX_WAITING_PERMITS = 1_000
MAX_PRIORITY = 9


class UnitKind(enum.StrEnum):
    """The kind of a unit."""

    SIDECAR = "sidecar"
    UPSTREAM = "upstream"


@dataclass(frozen=True, slots=True)
class Unit:
    """A sidecar or an upstream, which is either in service or out."""

    of: UnitKind
    name: str
    service: str = ""
    zone: str = ""
    kind: str = ""  # kind of machine
    group: str = ""  # units that fail together
    weight: float = 1.0  # its capacity, relative to other units of the same kind

    @property
    def key(self) -> str:
        return f"{self.of}/{self.name}"


@dataclass(frozen=True, slots=True)
class Observation:
    """The last known state of a unit. A unit whose state is not known counts as out."""

    unit: Unit
    out: float  # the part of it that does not serve, from 0.0 to 1.0
    reason: str = ""  # why it is out, in a few words; empty = it serves
    # False = not sure: a silent unit may still serve, so a permit for it must not treat it as already out
    known: bool = True
    boot: str = ""  # identifies the process that was observed
    # when the request was sent that this answers, by the leader's monotonic clock; 0 = unsolicited (a heartbeat)
    asked_ms: int = 0


@dataclass(frozen=True, slots=True)
class Budget:
    """How many of the units that it matches may be out at once. Of several limits or budgets all must hold."""

    name: str
    of: UnitKind
    where: tuple[tuple[str, str], ...] = ()  # attributes and patterns (`*`, `?`); a unit must match all of them
    each: str = ""  # attribute whose values are counted separately; empty = all units together
    number: int | None = None
    # of the units, rounded down but at least one; otherwise a small group of units could never be worked on
    share: float | None = None
    capacity: float | None = None  # share of the sum of the weights

    def matches(self, unit: Unit) -> bool:
        return unit.of is self.of and all(
            fnmatchcase(getattr(unit, attribute), pattern) for attribute, pattern in self.where)

    def cell_value(self, unit: Unit) -> str:
        return str(getattr(unit, self.each)) if self.each else ""


class Phase(enum.StrEnum):
    """Phase of a permit. While it is held, unknown or returned its units count as out, whatever is observed."""

    WAITING = "waiting"
    HELD = "held"
    UNKNOWN = "unknown"  # its lease has expired; whether its holder goes on is not known
    RETURNED = "returned"  # its holder has finished; that the units serve again is not confirmed yet
    ENDED = "ended"
    WITHDRAWN = "withdrawn"  # before it was granted


COUNTED_PHASES = (Phase.HELD, Phase.UNKNOWN, Phase.RETURNED)


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to take units out of service."""

    id: int
    key: str  # chosen by the holder; another request with the same key gets the same permit
    holder: str
    units: tuple[str, ...]  # their `Unit.key`
    reason: str = ""
    priority: int = 0
    phase: Phase = Phase.WAITING
    created_ms: int = 0  # Unix time, for display only
    lease_ms: int = 0  # must be renewed within this time; 0 = it belongs to an operation, which the record holds
    operation: int = 0
    note: str = ""
    ended_ms: int = 0  # Unix time

    def with_phase(self, phase: Phase, note: str = "") -> Permit:
        return replace(self, phase=phase, note=note)

    def to_record(self) -> dict[str, Any]:
        """The stored form; `id`, `holder` and `key` have columns of their own."""
        return {"units": list(self.units), "reason": self.reason, "priority": self.priority, "phase": str(self.phase),
                "created_ms": self.created_ms, "lease_ms": self.lease_ms, "operation": self.operation,
                "note": self.note, "ended_ms": self.ended_ms}

    @classmethod
    def from_record(cls, ident: int, holder: str, key: str, body: dict[str, Any]) -> Permit:
        return cls(ident, key, holder, tuple(body["units"]), body["reason"], body["priority"], Phase(body["phase"]),
                   body["created_ms"], body["lease_ms"], body["operation"], body["note"], body["ended_ms"])


@dataclass(frozen=True, slots=True)
class Halt:
    """Stops all further disruption in the whole fleet until it is lifted."""

    id: int
    actor: str
    reason: str
    at_ms: int
    lifted_ms: int = 0
    lifted_by: str = ""

    @property
    def text(self) -> str:
        return f"{self.actor}: {self.reason}" if self.reason else self.actor


class ImpossibleRequest(Exception):
    """A request that exceeds a budget even with nothing else out; the text is one line."""
