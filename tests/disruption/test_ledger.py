"""Budgets and permits: the invariant holds over random schedules, and the check detects faults injected on purpose."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace

import pytest

from bench.permits import play
from ironscale.disruption.ledger import BudgetCell, Ledger
from ironscale.disruption.model import Budget, ImpossibleRequest, Observation, Permit, Phase, Unit, UnitKind

SEEDS = range(100, 106)
FOUND_WITHIN = range(40)


@pytest.mark.parametrize("seed", SEEDS)
def test_out_is_never_more_than_the_budget_and_losses_since_the_last_grant(seed: int) -> None:
    assert play(seed, until_ms=60_000) == ""


class EndsOnExpiredLease(Ledger):
    def expired_leases(self, now_ms: int) -> list[Permit]:
        return [permit.with_phase(Phase.ENDED) for permit in super().expired_leases(now_ms)]


class EndsOnHeartbeat(Ledger):
    def _serves_again(self, permit: Permit, key: str) -> bool:
        return self.observations[key].out <= 0.0


class EndsOnReturnAlone(Ledger):
    def _serves_again(self, permit: Permit, key: str) -> bool:
        return True


class IgnoresOneBudget(Ledger):
    def __init__(self, budgets: Sequence[Budget]) -> None:
        super().__init__([budget for budget in budgets if budget.name != "zone"])


class SilentIsKnownToBeOut(Ledger):
    def observe(self, observation: Observation) -> bool:
        return super().observe(replace(observation, known=True))


class CountsOnlyObservations(Ledger):
    """A granted permit counts only once its units are observed to be out, which is after its holder was told."""

    def out_fraction(self, key: str) -> float:
        return self.observations[key].out if key in self.observations else 1.0


class UnseenUnitsServe(Ledger):
    """A new leader assumes that units it has not heard from serve."""

    def observe(self, observation: Observation) -> bool:
        return super().observe(replace(observation, out=0.0) if not observation.known else observation)


@pytest.mark.parametrize("fault", [EndsOnExpiredLease, EndsOnHeartbeat, EndsOnReturnAlone, IgnoresOneBudget,
                                   SilentIsKnownToBeOut, CountsOnlyObservations, UnseenUnitsServe])
def test_an_injected_fault_is_detected_within_forty_seeds(fault: type[Ledger]) -> None:
    assert any(play(seed, fault, 60_000) for seed in FOUND_WITHIN)


# Cases that the random schedules don't cover


def ledger(*budgets: Budget, count: int = 6) -> Ledger:
    found = Ledger(budgets)
    for n in range(count):
        found.observe(Observation(Unit(UnitKind.SIDECAR, f"i{n}", zone="ab"[n % 2]), 0.0))
    return found


def permit(ident: int, *names: str, priority: int = 0) -> Permit:
    return Permit(ident, f"k{ident}", "ann", tuple(f"sidecar/{name}" for name in names), priority=priority, lease_ms=9)


def request(found: Ledger, now_ms: int, *permits: Permit) -> list[int]:
    for one in permits:
        found.put(one, now_ms)
    return [one.id for one in found.grant_waiting(now_ms)]


ALL = Budget("all", UnitKind.SIDECAR, number=2)


def test_small_requests_do_not_overtake_a_large_one_for_ever() -> None:
    found = ledger(ALL)
    assert request(found, 0, permit(1, "i0")) == [1]
    assert request(found, 1, permit(2, "i1", "i2"), permit(3, "i3")) == []  # permit 3 would fit, but comes after 2
    found.put(found.permits[1].with_phase(Phase.ENDED), 2)
    assert request(found, 3) == [2]
    found.put(found.permits[2].with_phase(Phase.ENDED), 4)
    assert request(found, 5) == [3]


def test_higher_priority_goes_first_and_waiting_raises_the_priority() -> None:
    found = ledger(ALL)
    assert request(found, 0, permit(1, "i0", "i1"), permit(2, "i2", "i3")) == [1]
    assert request(found, 1, permit(3, "i4", "i5", priority=1)) == []
    found.put(found.permits[1].with_phase(Phase.ENDED), 2)
    assert request(found, 3) == [3]
    found.put(found.permits[3].with_phase(Phase.ENDED), 4)
    # permit 2 has waited long enough to gain two steps of priority, which is more than one
    assert request(found, 150_000, permit(4, "i0", "i1", priority=1)) == [2]


def test_a_request_that_can_never_be_granted_is_refused_at_once() -> None:
    found = ledger(ALL, Budget("zone", UnitKind.SIDECAR, each="zone", capacity=0.4))
    for names in (("i0", "i1", "i3"), ("i0", "i2")):
        with pytest.raises(ImpossibleRequest, match="expected 2 at most|expected 40% of capacity at most"):
            found.check_possible([f"sidecar/{name}" for name in names])
    found.check_possible(["sidecar/i0", "sidecar/i1"])


def test_a_unit_known_to_be_out_may_be_repaired_with_the_budget_used_up_and_during_a_halt() -> None:
    found = ledger(ALL)
    for n in range(3):
        found.observe(Observation(Unit(UnitKind.SIDECAR, f"i{n}", zone="ab"[n % 2]), 1.0, "gone"))
    assert request(found, 0, permit(1, "i4")) == [] and request(found, 0, permit(2, "i0")) == [2]
    found.halted = "ann: a bad release"
    assert request(found, 1, permit(3, "i1")) == [3]
    assert found.blocking_reason(("sidecar/i5",), "", (0, 0), 1) == "halted by ann: a bad release"


def test_an_explanation_names_who_is_out_and_why() -> None:
    found = ledger(ALL)
    found.observe(Observation(Unit(UnitKind.SIDECAR, "i0", zone="a"), 1.0, "silent", known=False))
    assert request(found, 0, permit(1, "i1"), permit(2, "i2")) == [1]
    text = found.reserve(found.permits[2], 1)
    assert text == "budget all: 2 out of 2 at most (i0 silent, i1 held by ann)"


def test_cold_units_count_as_out_by_their_missing_capacity() -> None:
    found = ledger(Budget("all", UnitKind.SIDECAR, capacity=0.5), count=4)
    for n in range(2):
        found.observe(Observation(Unit(UnitKind.SIDECAR, f"i{n}", zone="ab"[n]), 0.75, "cold"))
    assert request(found, 0, permit(1, "i2")) == []
    for n in range(2):
        found.observe(Observation(Unit(UnitKind.SIDECAR, f"i{n}", zone="ab"[n]), 0.5, "cold"))
    assert request(found, 1) == [1]


def test_incremental_counts_equal_those_of_a_new_ledger() -> None:
    """The incremental sums don't drift: after a schedule they equal those of a new ledger with the same input."""
    from bench.permits import World

    world = World(7)
    world.run(30_000)
    again = Ledger(world.ledger.budgets)
    for observation in world.ledger.observations.values():
        again.observe(observation)
    again.load(world.ledger.permits.values(), 0)

    def sums(cells: Iterable[BudgetCell]) -> dict[str, tuple[float, float, float, int]]:
        return {c.title: (round(c.out, 6), round(c.weight_out, 6), c.weight, len(c.units)) for c in cells}

    assert sums(world.ledger.cells.values()) == sums(again.cells.values())
