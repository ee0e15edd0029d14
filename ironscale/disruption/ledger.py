"""Decides who may take which units out of service, and when a permit has ended. No I/O, no clock, no randomness.

A unit counts as out once, whether because of an observation or because a permit covers it. A permit counts from the
moment it is reserved, which is before it is recorded, which is before anybody is told. It stops counting only on
evidence: its holder can't act any more, and after that its units were asked and serve.

Times are milliseconds of the leader's monotonic clock, so that steps of the wall clock end no lease. A new leader
starts all leases anew, which costs time but is safe.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace

from ironscale.disruption.model import (
    COUNTED_PHASES,
    Budget,
    ImpossibleRequest,
    Observation,
    Permit,
    Phase,
    Unit,
    UnitKind,
)

PRIORITY_STEP_MS = 60_000  # each such time of waiting raises the priority by one, so that nothing waits for ever
# Sidecars learn late from discovery that an upstream has gone: up to 6 s by the protocol, plus 1 s for the call. An
# answer to a request sent within this time of a permit's return is no evidence that the unit serves.
SETTLE_MS = {UnitKind.SIDECAR: 0, UnitKind.UPSTREAM: 7_000}
MAX_LISTED_UNITS = 5  # units that an explanation lists
ROUNDING_TOLERANCE = 1e-9  # for rounding errors in sums of fractions


@dataclass(slots=True, eq=False)
class BudgetCell:
    """The counts of one budget, or of its part for one value of `each`."""

    budget: Budget
    value: str
    units: set[str] = field(default_factory=set)
    weight: float = 0.0
    out: float = 0.0  # units that count as out, with fractions
    weight_out: float = 0.0
    out_units: dict[str, None] = field(default_factory=dict)  # its units that are out, at least in part

    def max_units(self) -> float:
        """Number of units that may be out at once."""
        most = math.inf if self.budget.number is None else float(self.budget.number)
        if self.budget.share is not None:
            most = min(most, max(1.0, math.floor(self.budget.share * len(self.units) + ROUNDING_TOLERANCE)))
        return most

    def max_weight(self) -> float:
        return math.inf if self.budget.capacity is None else self.budget.capacity * self.weight

    def has_room(self, units: float, weight: float) -> bool:
        return (self.out + units <= self.max_units() + ROUNDING_TOLERANCE
                and self.weight_out + weight <= self.max_weight() + ROUNDING_TOLERANCE * max(1.0, self.weight))

    def could_ever_fit(self, units: float, weight: float) -> bool:
        """Whether this would be within the limits if nothing else were out."""
        return (units <= self.max_units() + ROUNDING_TOLERANCE
                and weight <= self.max_weight() + ROUNDING_TOLERANCE * max(1.0, self.weight))

    @property
    def title(self) -> str:
        return f"{self.budget.name}[{self.budget.each}={self.value}]" if self.budget.each else self.budget.name


@dataclass(frozen=True, slots=True)
class Waiter:
    """A permit or an operation that waits for room in some cells of budgets."""

    name: str
    priority: int
    since_ms: int
    sequence: int
    cells: frozenset[BudgetCell]

    def rank(self, now_ms: int) -> tuple[int, int]:
        """Sort key: the lowest is served first."""
        return -(self.priority + max(0, now_ms - self.since_ms) // PRIORITY_STEP_MS), self.sequence


class Ledger:
    """Keeps observations, permits and the order of those that wait; decides which permits are granted and ended."""

    def __init__(self, budgets: Sequence[Budget]) -> None:
        self.budgets = tuple(budgets)
        self.observations: dict[str, Observation] = {}
        self.cells: dict[tuple[str, str], BudgetCell] = {}
        self.cells_by_unit: dict[str, tuple[BudgetCell, ...]] = {}
        self.permits: dict[int, Permit] = {}  # those that wait or count
        self.permits_by_unit: dict[str, set[int]] = {}  # key of a unit -> ids of the permits that cover it
        self.renewed_ms: dict[int, int] = {}
        self.returned_ms: dict[int, int] = {}
        self.waiters: dict[str, Waiter] = {}
        self.last_sequence = 0
        self.halted = ""  # who halted the fleet and why; while set, no more units are taken out

    # Observations

    def out_fraction(self, key: str) -> float:
        """How much of a unit counts as out, from 0.0 to 1.0."""
        if self.permits_by_unit.get(key):
            return 1.0
        observation = self.observations.get(key)
        return observation.out if observation is not None else 1.0

    def observe(self, observation: Observation) -> bool:
        """Stores the latest observation of a unit. Returns whether it may make room or end a permit."""
        key, unit = observation.unit.key, observation.unit
        old = self.observations.get(key)
        if (old is not None and old.asked_ms > observation.asked_ms and old.boot == observation.boot
                and old.out == observation.out):
            # a heartbeat with the same state keeps the request time of the last answer
            observation = replace(observation, asked_ms=old.asked_ms)
        if old is None or old.unit != unit:
            self.forget(key)
            self.cells_by_unit[key] = tuple(self._cell_for(budget, unit) for budget in self.budgets
                                            if budget.matches(unit))
            self.observations[key] = observation
            for cell in self.cells_by_unit[key]:
                cell.units.add(key)
                cell.weight += unit.weight
            self._update_counts(key, 0.0, self.out_fraction(key))
            return True
        before = self.out_fraction(key)
        self.observations[key] = observation
        self._update_counts(key, before, self.out_fraction(key))
        return self.out_fraction(key) < before or bool(self.permits_by_unit.get(key))

    def forget(self, key: str) -> None:
        """Removes a unit that an operator has declared gone for good; it no longer counts at all."""
        observation = self.observations.get(key)
        if observation is None:
            return
        self._update_counts(key, self.out_fraction(key), 0.0)
        del self.observations[key]
        for cell in self.cells_by_unit.pop(key):
            cell.units.discard(key)
            cell.weight -= observation.unit.weight

    def _cell_for(self, budget: Budget, unit: Unit) -> BudgetCell:
        cell_key = (budget.name, budget.cell_value(unit))
        if cell_key not in self.cells:
            self.cells[cell_key] = BudgetCell(budget, cell_key[1])
        return self.cells[cell_key]

    def _update_counts(self, key: str, before: float, after: float) -> None:
        if before == after:
            return
        weight = self.observations[key].unit.weight
        for cell in self.cells_by_unit[key]:
            cell.out += after - before
            cell.weight_out += (after - before) * weight
            if after > 0.0:
                cell.out_units[key] = None
            else:
                cell.out_units.pop(key, None)

    # Room

    def has_budget(self, key: str) -> bool:
        """Whether any budget covers this unit."""
        return bool(self.cells_by_unit.get(key))

    def waiting_reason(self, permit: Permit, now_ms: int) -> str:
        """Why a waiting permit is not granted; empty = it can be."""
        waiter = self.waiters.get(waiter_name(permit))
        rank = waiter.rank(now_ms) if waiter is not None else (0, self.last_sequence + 1)
        return self.blocking_reason(permit.units, waiter_name(permit), rank, now_ms)

    def all_cells(self) -> list[BudgetCell]:
        """All cells in order, including an empty one for each budget that matches no unit."""
        empty = [BudgetCell(budget, "") for budget in self.budgets
                 if not any(cell.budget is budget for cell in self.cells.values())]
        return sorted([*self.cells.values(), *empty], key=lambda cell: (cell.budget.name, cell.value))

    def _additional_out(self, units: Iterable[str]) -> dict[BudgetCell, tuple[float, float]]:
        """The additional units and weight of each cell, were these units taken out. A unit that is known to be out is
        skipped, so that it can be repaired at any time. One that is silent or already covered by a permit counts as out
        without being known to be out: it adds nothing, but its cells must be within their limits. Otherwise, if half
        of a fleet fell silent while still serving, every one of those units could be taken out."""
        added: dict[BudgetCell, tuple[float, float]] = {}
        for key in units:
            observation = self.observations.get(key)
            if observation is None or (observation.known and observation.out >= 1.0):
                continue
            more = 1.0 - self.out_fraction(key)
            for cell in self.cells_by_unit[key]:
                number, weight = added.get(cell, (0.0, 0.0))
                added[cell] = number + more, weight + more * observation.unit.weight
        return added

    def check_possible(self, units: Iterable[str]) -> None:
        """Raises ImpossibleRequest if these units could not be out together even with all others in service."""
        totals: dict[BudgetCell, tuple[float, float]] = {}
        for key in units:
            for cell in self.cells_by_unit.get(key, ()):
                number, weight = totals.get(cell, (0.0, 0.0))
                totals[cell] = number + 1.0, weight + self.observations[key].unit.weight
        for cell, (number, weight) in totals.items():
            if not cell.could_ever_fit(number, weight):
                raise ImpossibleRequest(f"budget {cell.title}: expected {self._limit(cell)} at most, got {number:g} "
                                        f"units at once; ask for them one after the other")

    def blocking_reason(self, units: Iterable[str], waiter: str, rank: tuple[int, int], now_ms: int,
                        is_rollback: bool = False) -> str:
        """Why these units can't be taken out now; empty = they can. Halts don't block a rollback."""
        added = self._additional_out(units)
        if not added:
            return ""
        if self.halted and not is_rollback:
            return f"halted by {self.halted}"
        if not self._have_room(added):
            return next(self.explain(cell) for cell, more in added.items() if not cell.has_room(*more))
        # without this, small requests would keep overtaking a large one, which would never find enough room at once
        for other in self.waiters.values():
            if other.name != waiter and other.rank(now_ms) < rank and not other.cells.isdisjoint(added):
                return f"{other.name} waits before it"
        return ""

    def explain(self, cell: BudgetCell) -> str:
        """How much of a cell is out, and which units."""
        named = [f"{key.partition('/')[2]} {self.out_reason(key)}"
                 for key in heapq.nsmallest(MAX_LISTED_UNITS, cell.out_units)]
        more = f" and {len(cell.out_units) - MAX_LISTED_UNITS} more" if len(cell.out_units) > MAX_LISTED_UNITS else ""
        listed = f" ({', '.join(named)}{more})" if named else ""
        return f"budget {cell.title}: {cell.out:.4g} out of {self._limit(cell)} at most{listed}"

    @staticmethod
    def _limit(cell: BudgetCell) -> str:
        parts = [] if cell.max_units() == math.inf else [f"{cell.max_units():g}"]
        if cell.budget.capacity is not None:
            parts.append(f"{cell.budget.capacity:.0%} of capacity")
        return " and ".join(parts)

    def out_reason(self, key: str) -> str:
        """Why a unit counts as out."""
        observation = self.observations.get(key)
        if observation is not None and observation.out > 0.0:
            return observation.reason
        covering = [self.permits[ident] for ident in sorted(self.permits_by_unit.get(key, ()))]
        return (f"{covering[0].phase} by {covering[0].holder}" if covering
                else "not seen" if observation is None else "serves")

    # Permits

    def load(self, permits: Iterable[Permit], now_ms: int) -> None:
        """Loads the recorded permits in a new leader: leases start anew, and each return needs new evidence."""
        for permit in permits:
            self.put(permit, now_ms)

    def put(self, permit: Permit, now_ms: int) -> None:
        """Stores the new state of a permit and updates the counts and the waiters."""
        old = self.permits.get(permit.id)
        before = {key: self.out_fraction(key) for key in permit.units}
        if permit.phase in COUNTED_PHASES or permit.phase is Phase.WAITING:
            self.permits[permit.id] = permit
            if old is None or (old.phase, permit.phase) == (Phase.WAITING, Phase.HELD):
                self.renewed_ms[permit.id] = now_ms
            if permit.phase is Phase.RETURNED and (old is None or old.phase is not Phase.RETURNED):
                self.returned_ms[permit.id] = now_ms
        else:
            for known in (self.permits, self.renewed_ms, self.returned_ms):
                known.pop(permit.id, None)
        for key in permit.units:
            covering = self.permits_by_unit.setdefault(key, set())
            covering.add(permit.id) if permit.phase in COUNTED_PHASES else covering.discard(permit.id)
            if not covering:
                del self.permits_by_unit[key]
        for key, share in before.items():
            if key in self.observations:
                self._update_counts(key, share, self.out_fraction(key))
        if permit.phase is not Phase.WAITING and not permit.operation:  # an operation waits on for its next target
            self.waiters.pop(waiter_name(permit), None)

    def enqueue(self, name: str, priority: int, units: Iterable[str], now_ms: int) -> Waiter:
        """Adds or updates a waiter; it keeps its place until `dequeue` or until its permit no longer waits."""
        cells = frozenset(cell for key in units for cell in self.cells_by_unit.get(key, ()))
        old = self.waiters.get(name)
        if old is None:
            self.last_sequence += 1
        since_ms, sequence = (old.since_ms, old.sequence) if old is not None else (now_ms, self.last_sequence)
        found = self.waiters[name] = Waiter(name, priority, since_ms, sequence, cells)
        return found

    def dequeue(self, name: str) -> None:
        self.waiters.pop(name, None)

    def reserve(self, permit: Permit, now_ms: int, is_rollback: bool = False) -> str:
        """Counts a permit as held if there is room, and returns an empty text; otherwise it waits in its turn, and the
        reason is returned. Halts don't block a rollback."""
        waiter = waiter_name(permit)
        own = self.enqueue(waiter, permit.priority, permit.units, now_ms)
        problem = self.blocking_reason(permit.units, waiter, own.rank(now_ms), now_ms, is_rollback)
        if not problem:
            self.put(permit.with_phase(Phase.HELD), now_ms)
        return problem

    def cancel_reservation(self, ident: int, now_ms: int) -> None:
        """Drops a reservation that could not be recorded; nobody has been told of it."""
        permit = self.permits.get(ident)
        if permit is not None:
            self.put(permit.with_phase(Phase.WITHDRAWN), now_ms)

    def grant_waiting(self, now_ms: int) -> list[Permit]:
        """Reserves and returns the waiting permits for which there is room now, in their order. Each is looked at once;
        one without room holds back all those behind it that need one of its cells."""
        for permit in self.permits.values():
            if permit.phase is Phase.WAITING:
                self.enqueue(waiter_name(permit), permit.priority, permit.units, now_ms)
        waiting = {waiter_name(p): p for p in self.permits.values() if p.phase is Phase.WAITING}
        blocked: set[BudgetCell] = set()
        granted = []
        for waiter in sorted(self.waiters.values(), key=lambda waiter: waiter.rank(now_ms)):
            found = waiting.get(waiter.name)  # None for an operation, which calls `reserve` itself
            added = self._additional_out(found.units) if found is not None else {}
            if found is None or (added and (self.halted or not blocked.isdisjoint(added)
                                            or not self._have_room(added))):
                blocked |= waiter.cells
                continue
            held = found.with_phase(Phase.HELD)
            self.put(held, now_ms)
            granted.append(held)
        return granted

    @staticmethod
    def _have_room(added: dict[BudgetCell, tuple[float, float]]) -> bool:
        return all(cell.has_room(number, weight) for cell, (number, weight) in added.items())

    def renew(self, ident: int, now_ms: int) -> Permit:
        """Renews a lease. An expired permit becomes held again; its units have counted as out all the time."""
        self.renewed_ms[ident] = now_ms
        permit = self.permits[ident]
        return permit.with_phase(Phase.HELD) if permit.phase is Phase.UNKNOWN else permit

    def expired_leases(self, now_ms: int) -> list[Permit]:
        """Held permits whose lease has expired, in phase UNKNOWN; their units still count as out."""
        return [p.with_phase(Phase.UNKNOWN, "its lease ran out; whether its holder goes on is not known")
                for p in self.permits.values()
                if p.phase is Phase.HELD and p.lease_ms and now_ms - self.renewed_ms[p.id] >= p.lease_ms]

    def units_to_ask(self) -> list[str]:
        """Keys of units with a returned permit that still have to be asked whether they serve."""
        return sorted({key for p in self.permits.values() if p.phase is Phase.RETURNED for key in p.units
                       if key in self.observations and not self._serves_again(p, key)})

    def _serves_again(self, permit: Permit, key: str) -> bool:
        """Whether the unit serves, by an answer to a request that was sent after the permit's return. A heartbeat is no
        evidence: it may have been on its way since before the holder acted."""
        observation = self.observations.get(key)
        if observation is None:
            return True  # an operator has removed it
        after_ms = self.returned_ms[permit.id] + SETTLE_MS[observation.unit.of]
        return observation.out <= 0.0 and observation.asked_ms > 0 and observation.asked_ms >= after_ms

    def ended_permits(self) -> list[Permit]:
        """Returned permits whose units all serve again, in phase ENDED."""
        return [p.with_phase(Phase.ENDED) for p in self.permits.values()
                if p.phase is Phase.RETURNED and all(self._serves_again(p, key) for key in p.units)]


def waiter_name(permit: Permit) -> str:
    """Name under which a permit, or its operation, waits."""
    return f"operation {permit.operation}" if permit.operation else f"permit {permit.id}"
