"""The decisions over budgets and permits in virtual time, against the truth of what is out: `python -m bench.permits`.

Holders that die, are paused past their lease and go on; units that fail by themselves; heartbeats and answers that come
late; leaders that are replaced. A checker that knows the truth and none of the ledger's state looks at every instant.
"""

from __future__ import annotations

import argparse
import heapq
import random
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial

from ironscale.disruption.ledger import Ledger
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

BEAT_MS, LATEST_MS, SILENT_MS, LEASE_MS = 1_000, 1_500, 4_000, 3_000
# A loss that the leader could not know of when it granted: its silence, and a heartbeat that was still on its way.
BLIND_MS = SILENT_MS + LATEST_MS + BEAT_MS
BUDGETS = (
    Budget("all", UnitKind.SIDECAR, number=4),
    Budget("zone", UnitKind.SIDECAR, each="zone", share=0.34),
    Budget("capacity", UnitKind.SIDECAR, capacity=0.4),
)


@dataclass
class Truth:
    unit: Unit
    out: set[str] = field(default_factory=set)  # why: a holder's name, or "itself"
    since_ms: int = 0
    lost_ms: int = -10**9  # when it last failed by itself
    is_mute: bool = False


class Broken(Exception):
    """An invariant does not hold."""


class World:
    def __init__(self, seed: int, make: Callable[[Sequence[Budget]], Ledger] = Ledger) -> None:
        self.rng, self.make, self.now_ms = random.Random(seed), make, 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.count = self.grants = self.ended = self.worst = 0
        self.units = {u.key: Truth(u) for u in (
            Unit(UnitKind.SIDECAR, f"i{n}", zone="abc"[n % 3], weight=1.0 + n % 2)
            for n in range(self.rng.randint(6, 15)))}
        self.record: dict[int, Permit] = {}
        self.last_grant_ms: dict[str, int] = {}  # of a unit
        self.heard_ms: dict[str, int] = {}
        self.heard_by_ms: dict[str, int] = {}  # when what a unit has said so far has come
        self.told_out: dict[str, bool] = {}  # what the leader has heard of a unit, as far as it goes by it
        self.mends: dict[str, int] = {}  # leave for what was known to be out: until then it is that loss which counts
        self.lead()
        for key in self.units:
            self.at(self.rng.randrange(BEAT_MS), partial(self.beat, key))
        for _ in range(self.rng.randint(2, 6)):
            self.at(self.rng.randrange(5_000), self.holder)
        self.at(self.rng.randrange(20_000), self.fail)
        self.at(self.rng.randrange(3_000, 20_000), self.replaced)
        self.at(0, self.tick)

    def at(self, after_ms: int, act: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.now_ms + after_ms, self.count, act))

    def run(self, until_ms: int) -> None:
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, act = heapq.heappop(self.events)
            act()
            self.check()

    # The leader

    def lead(self) -> None:
        """A new one: it knows the record, and nothing of what is out now."""
        self.ledger = self.make(BUDGETS)
        for truth in self.units.values():
            self.ledger.observe(Observation(truth.unit, 1.0, "not seen", known=False))
        self.heard_ms = dict.fromkeys(self.units, self.now_ms)
        self.told_out = dict.fromkeys(self.units, False)
        self.ledger.load(self.record.values(), self.now_ms)

    def replaced(self) -> None:
        self.lead()
        self.at(self.rng.randrange(6_000, 40_000), self.replaced)

    def keep(self, permit: Permit) -> None:
        if permit.phase in COUNTED_PHASES or permit.phase is Phase.WAITING:
            self.record[permit.id] = permit
        else:
            self.record.pop(permit.id, None)

    def tick(self) -> None:
        ledger, now_ms = self.ledger, self.now_ms
        for key, heard_ms in self.heard_ms.items():
            if now_ms - heard_ms >= SILENT_MS:
                ledger.observe(Observation(self.units[key].unit, 1.0, "silent", known=False))
                self.told_out[key] = False
        for permit in (*ledger.expired_leases(now_ms), *ledger.ended_permits()):
            self.keep(permit)
            ledger.put(permit, now_ms)
            self.ended += permit.phase is Phase.ENDED
        for permit in ledger.grant_waiting(now_ms):
            self.granted(permit)
        for key in ledger.units_to_ask():
            there_ms, back_ms = self.rng.randrange(LATEST_MS), self.rng.randrange(LATEST_MS)
            self.at(there_ms, partial(self.answer, key, now_ms, back_ms, ledger))
        self.at(100, self.tick)

    def granted(self, permit: Permit) -> None:
        self.keep(permit)
        self.grants += 1
        for key in permit.units:
            if self.told_out[key]:
                self.mends[key] = permit.id
            else:
                self.mends.pop(key, None)
                self.last_grant_ms[key] = self.now_ms

    # Units

    def sight(self, key: str, asked_ms: int = 0) -> Observation:
        truth = self.units[key]
        return Observation(truth.unit, float(bool(truth.out)), "out" if truth.out else "", boot="b", asked_ms=asked_ms)

    def beat(self, key: str) -> None:
        if not self.units[key].is_mute:
            self.send(self.sight(key), self.rng.randrange(LATEST_MS), self.ledger)
        self.at(BEAT_MS, lambda: self.beat(key))

    def answer(self, key: str, asked_ms: int, back_ms: int, leader: Ledger) -> None:
        if not self.units[key].is_mute:
            self.send(self.sight(key, asked_ms), back_ms, leader)

    def send(self, sight: Observation, late_ms: int, leader: Ledger) -> None:
        """On one connection: what is said first is heard first."""
        key = sight.unit.key
        self.heard_by_ms[key] = max(self.heard_by_ms.get(key, 0), self.now_ms + late_ms)
        self.at(self.heard_by_ms[key] - self.now_ms, lambda: self.hear(sight, leader))

    def hear(self, sight: Observation, leader: Ledger) -> None:
        if leader is self.ledger:  # what was sent to a former one is lost
            self.heard_ms[sight.unit.key] = self.now_ms
            self.told_out[sight.unit.key] = sight.out > 0.0
            leader.observe(sight)

    def fail(self) -> None:
        truth = self.rng.choice(list(self.units.values()))
        truth.out.add("itself")
        truth.lost_ms, truth.is_mute = self.now_ms, self.rng.random() < 0.5

        def back() -> None:
            truth.out.discard("itself")
            truth.is_mute = False

        self.at(self.rng.randrange(1_000, 30_000), back)
        self.at(self.rng.randrange(500, 20_000), self.fail)

    # Holders

    def holder(self) -> None:
        rng, number = self.rng, self.count
        keys = tuple(sorted(rng.sample(sorted(self.units), rng.choice((1, 1, 1, 2)))))
        permit = Permit(number, f"k{number}", f"h{number}", keys, priority=rng.randrange(3), lease_ms=LEASE_MS)
        self.at(rng.randrange(500, 4_000), self.holder)
        try:
            self.ledger.check_possible(keys)
        except ImpossibleRequest:
            return
        self.keep(permit)
        self.ledger.put(permit, self.now_ms)
        if not self.ledger.reserve(permit, self.now_ms):
            self.granted(self.ledger.permits[permit.id])
        self.at(0, lambda: self.wait(permit.id, rng.choice(("good", "good", "good", "dies", "paused", "hasty"))))

    def phase(self, ident: int) -> Phase:
        return self.record[ident].phase if ident in self.record else Phase.ENDED

    def wait(self, ident: int, how: str) -> None:
        if self.phase(ident) is Phase.WAITING:
            self.at(200, lambda: self.wait(ident, how))
        elif ident in self.record:
            # a paused one acts long after its lease, which says nothing of what it does
            self.at(self.rng.randrange(4 * LEASE_MS if how == "paused" else 500), lambda: self.act(ident, how))

    def act(self, ident: int, how: str) -> None:
        if ident not in self.record:
            raise Broken(f"permit {ident} was counted away before its holder had acted")
        units = self.record[ident].units
        for key in units:
            self.units[key].out.add(f"h{ident}")
        if how == "hasty":
            self.give_back(ident)  # at once: that its units serve again is for the leader to see
        if how != "paused":
            self.renew(ident)
        if how == "dies":  # an operator finds it, sees to its units and gives the permit back
            self.at(self.rng.randrange(5_000, 40_000), lambda: self.come_back(ident, units))
        else:
            self.at(self.rng.randrange(300, 8_000), lambda: self.come_back(ident, units))

    def renew(self, ident: int) -> None:
        if self.phase(ident) in (Phase.HELD, Phase.UNKNOWN):
            self.keep(renewed := self.ledger.renew(ident, self.now_ms))
            self.ledger.put(renewed, self.now_ms)
            self.at(LEASE_MS // 3, lambda: self.renew(ident))

    def come_back(self, ident: int, units: tuple[str, ...]) -> None:
        for key in units:
            self.units[key].out.discard(f"h{ident}")
        self.give_back(ident)

    def give_back(self, ident: int) -> None:
        if self.phase(ident) in (Phase.HELD, Phase.UNKNOWN):
            returned = self.record[ident].with_phase(Phase.RETURNED)
            self.keep(returned)
            self.ledger.put(returned, self.now_ms)

    # The checker: truth alone, and when something was last granted

    def is_loss(self, truth: Truth, after_ms: int) -> bool:
        """Whether it is out by itself, and was lost so late that nothing granted could go by it."""
        by_itself = truth.out == {"itself"} or self.mends.get(truth.unit.key) is not None
        return by_itself and truth.lost_ms > after_ms - BLIND_MS

    def check(self) -> None:
        """Out <= budget + losses since the last grant, for each budget."""
        for budget in BUDGETS:
            parts: dict[str, list[Truth]] = {}
            for truth in self.units.values():
                parts.setdefault(budget.cell_value(truth.unit), []).append(truth)
            for value, members in parts.items():
                granted_ms = max(self.last_grant_ms.get(t.unit.key, -10**9) for t in members)
                counted = [t for t in members if t.out and not self.is_loss(t, granted_ms)]
                most = min(budget.number or len(members),
                           max(1, int(budget.share * len(members) + 1e-9)) if budget.share else len(members))
                weight, whole = (sum(t.unit.weight for t in found) for found in (counted, members))
                self.worst = max(self.worst, len(counted) - most)
                if len(counted) > most or (budget.capacity and weight > budget.capacity * whole + 1e-9):
                    raise Broken(f"{self.now_ms} ms: budget {budget.name} {value}: {len(counted)} out of {most}, "
                                 f"weight {weight:g} of {whole:g}: {[(t.unit.name, t.out) for t in counted]}")


def play(seed: int, make: Callable[[Sequence[Budget]], Ledger] = Ledger, until_ms: int = 120_000) -> str:
    """What broke; empty = nothing."""
    world = World(seed, make)
    try:
        world.run(until_ms)
    except Broken as broken:
        return f"seed {seed}: {broken}"
    if not world.grants or not world.ended:
        return f"seed {seed}: nothing was granted, or nothing ended: {world.grants}, {world.ended}"
    return ""


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2_000)
    parser.add_argument("--first", type=int, default=0)
    args = parser.parse_args()
    start_s = time.monotonic()
    with ProcessPoolExecutor() as pool:
        broken = [found for found in pool.map(play, range(args.first, args.first + args.seeds), chunksize=8) if found]
    print("\n".join(broken[:20]))
    print(f"{args.seeds} seeds of 120 s, {len(broken)} broken, {time.monotonic() - start_s:.0f} s")


if __name__ == "__main__":
    main()
