"""Budgets and permits at the agent that leads: the ledger's decisions recorded, told and kept up to date.

What takes a unit out is reserved in the ledger first, then recorded, then told: whoever dies in between leaves a permit
that counts, and never an outage that does not.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import replace

from ironscale.agent.fleet import Fleet, state_of
from ironscale.agent.model import Operation, State, Target
from ironscale.agent.refusal import Refusal
from ironscale.agent.store import Records, Store, StoreError
from ironscale.agent.terms import clock_ms
from ironscale.disruption.ledger import Ledger
from ironscale.disruption.model import (
    COUNTS,
    MOST_PRIORITY,
    MOST_UNITS,
    MOST_WAITING,
    Budget,
    Halt,
    Impossible,
    Of,
    Permit,
    Phase,
    Sight,
    Unit,
)

TICK_S = 0.25
ASKS_AT_ONCE, ASK_AGAIN_S = 50, 1.0
RETRY_S = 1.0
KEPT_MS = 3_600_000  # a permit that has ended answers for its key so long
LEASE_MS = (500, 3_600_000)
POSITIONS = 1_000_000  # targets of one operation at most: the ids of its permits are made of both
TAKEN_OUT = (State.UNDER_WAY, State.NO_ANSWER, State.GONE)


def service_of(name: str) -> str:
    """app-12 is an instance of app."""
    service, _, number = name.rpartition("-")
    return service if service and number.isdecimal() else name


def permit_id(op: Operation, target: Target) -> int:
    """Below 0: those that were asked for are counted from 1 on."""
    return -(op.id * POSITIONS + target.position)


class Permits:
    def __init__(self, budgets: Sequence[Budget], store: Store, fleet: Fleet, now_ms: Callable[[], int],
                 log: Callable[[str], None]) -> None:
        self.store, self.fleet, self.now_ms, self.log = store, fleet, now_ms, log
        self.ledger = Ledger(budgets)
        self.halt: Halt | None = None
        self.wake = asyncio.Event()
        self.room: Callable[[], None] = lambda: None  # operations that wait may find some now
        self.notify: Callable[[], None] = lambda: None
        self.question: Callable[[str], Awaitable[object]] | None = None  # asks an instance; raises Refusal
        self.asked_ms: dict[str, int] = {}  # of an instance, the question whose answer is the newest
        self.asking: dict[str, float] = {}  # when it was asked last
        self.doubt: set[int] = set()  # what became of their last write is not known
        # hazard: what was decided before another's word came, and is written after it, would undo that word
        self.lock = asyncio.Lock()
        self.ending: set[int] = set()  # whose end is being written: an operation may not take them up again meanwhile
        self.step: Callable[[str], None] = lambda where: None  # tests end the process here

    # The record

    def load(self, permits: Iterable[Permit], halt: Halt | None) -> None:
        self.ledger.load(permits, clock_ms())
        self.take_halt(halt)
        for name in self.fleet.members:
            self.see(name)

    def take_halt(self, halt: Halt | None) -> None:
        self.halt = halt if halt is not None and not halt.lifted_ms else None
        self.ledger.halted = self.halt.text if self.halt is not None else ""

    # What is seen

    def sight(self, name: str) -> Sight:
        member, seen = self.fleet.members[name], self.fleet.seen(name)
        assert seen is not None
        unit = Unit(Of.SIDECAR, name, service_of(name), member.row.zone)
        asked_ms = self.asked_ms.get(name, 0)
        if seen.ended:
            return Sight(unit, 1.0, "gone", boot=seen.boot)
        if not (seen.leased and seen.connected and seen.shown):
            return Sight(unit, 1.0, "silent" if seen.shown else "not seen", False, seen.boot)
        if seen.replacing:
            return Sight(unit, 1.0, "restarting", boot=seen.boot, asked_ms=asked_ms)
        state = state_of(seen)
        return Sight(unit, float(state != "ready"), "" if state == "ready" else state, True, seen.boot, asked_ms)

    def see(self, name: str) -> None:
        if self.ledger.see(self.sight(name)):
            self.wake.set()

    def forget(self, name: str) -> None:
        self.ledger.forget(f"{Of.SIDECAR}/{name}")
        self.wake.set()

    # Operations

    def may(self, op: Operation, target: Target, is_way_back: bool) -> str:
        """Reserves what telling this target needs; empty, or what stands in the way."""
        key = f"{Of.SIDECAR}/{target.name}"
        ident, now_ms = permit_id(op, target), clock_ms()
        known = self.ledger.permits.get(ident)
        if ident in self.ending:
            return f"the end of its former permit for {target.name} is being recorded"
        if known is not None and known.phase is Phase.HELD and (is_way_back or not self.ledger.halted):
            return ""
        if not self.ledger.is_bound(key):
            return f"halted by {self.ledger.halted}" if self.ledger.halted and not is_way_back else ""
        permit = known or Permit(ident, str(target.position), f"operation {op.id}", (key,), str(op.kind),
                                 op.policy.priority, Phase.WAITING, self.now_ms(), 0, op.id)
        problem = ""
        if is_way_back and op.policy.urgent:
            self.ledger.put(permit.to(Phase.HELD), now_ms)  # an operator's word: it counts, and asks for no room
        else:
            try:
                self.ledger.check((key,))
                problem = self.ledger.reserve(permit, now_ms, is_way_back)
            except Impossible as impossible:
                problem = str(impossible)
        if not problem:
            self.doubt.discard(ident)
        return problem

    def settled(self, op: Operation, targets: Iterable[Target], ends: bool) -> list[Permit]:
        """Permits that these targets need no more, as to be recorded beside them. `ends`: the operation does, and what
        it sent has been carried out or never will be once an instance answers what it is asked after this."""
        found = []
        for target in targets:
            permit = self.ledger.permits.get(permit_id(op, target))
            if permit is not None and permit.phase is Phase.HELD and (ends or target.state not in TAKEN_OUT):
                found.append(permit.to(Phase.RETURNED, str(target.state)))
        return found

    def adopt(self, op: Operation, targets: Iterable[Target]) -> None:
        """What an agent without budgets had begun counts all the same."""
        for target in targets:
            key = f"{Of.SIDECAR}/{target.name}"
            if (target.state in (State.UNDER_WAY, State.NO_ANSWER) and self.ledger.is_bound(key)
                    and permit_id(op, target) not in self.ledger.permits):
                self.put([Permit(permit_id(op, target), str(target.position), f"operation {op.id}", (key,),
                                 str(op.kind), phase=Phase.HELD, created_ms=op.created_ms, operation=op.id)])

    def put(self, permits: Iterable[Permit]) -> None:
        now_ms = clock_ms()
        for permit in permits:
            self.ledger.put(permit, now_ms)
            self.doubt.discard(permit.id)
        self.wake.set()

    def restore(self, before: dict[int, Permit | None], is_known: bool) -> None:
        """A round whose record failed. Where that is not known, what it reserved goes on counting."""
        if not is_known:
            self.doubt.update(before)
            return
        for ident, permit in before.items():
            if permit is None:
                self.ledger.release(ident, clock_ms())
            else:
                self.ledger.put(permit, clock_ms())

    # Who asks by hand

    async def take(self, holder: str, key: str, units: Sequence[str], reason: str, priority: int, lease_ms: int
                   ) -> Permit:
        """Raises Refusal or StoreError."""
        names = tuple(sorted(set(units)))
        self.check(names, key, priority, lease_ms)
        now_ms = self.now_ms()

        def work(records: Records) -> Permit:
            earlier = records.permit_by_key(holder, key)
            if earlier is not None and earlier.units != names:
                raise Refusal("KEY_REUSED", f"key {key!r} was used for other units, by permit {earlier.id}")
            if earlier is not None and earlier.phase is not Phase.WITHDRAWN:
                return earlier
            if sum(p.phase is Phase.WAITING for p in self.ledger.permits.values()) >= MOST_WAITING:
                raise Refusal("FULL", f"expected {MOST_WAITING} waiting permits at most; ask again later")
            ident = earlier.id if earlier is not None else records.next_permit()
            made = Permit(ident, key, holder, names, reason, priority, Phase.WAITING, now_ms, lease_ms)
            records.put_permits([made])
            records.audit(now_ms, holder, "permit", f"permit {made.id}", "asked", {"units": list(names),
                                                                                  "reason": reason})
            return made

        def taken(made: Permit) -> None:
            if made.phase is Phase.WAITING and made.id not in self.ledger.permits:
                self.put([made])

        async with self.lock:
            made = await self.store.write(work, taken)
            taken(made)
        await self.decide()
        return self.ledger.permits.get(made.id, made)

    def check(self, units: Sequence[str], key: str, priority: int, lease_ms: int) -> None:
        if not 0 < len(units) <= MOST_UNITS:
            raise Refusal("BAD_INPUT", f"units: expected 1 to {MOST_UNITS}, got {len(units)}")
        if not 0 < len(key) <= 200 or not key.isprintable():
            raise Refusal("BAD_INPUT", f"key: expected 1 to 200 printable characters, got {key!r:.60}")
        if not 0 <= priority <= MOST_PRIORITY:
            raise Refusal("BAD_INPUT", f"priority: expected 0 to {MOST_PRIORITY}, got {priority}")
        if not LEASE_MS[0] <= lease_ms <= LEASE_MS[1]:
            raise Refusal("BAD_INPUT", f"leaseMs: expected {LEASE_MS[0]} to {LEASE_MS[1]}, got {lease_ms}")
        for unit in units:
            if unit not in self.ledger.sights:
                raise Refusal("NOT_FOUND", f"units: expected units that are known (sidecar/NAME, see `ironscale ls`), "
                                           f"got {unit!r:.80}")
        try:
            self.ledger.check(units)
        except Impossible as impossible:
            raise Refusal("BAD_INPUT", str(impossible)) from impossible

    async def find(self, ident: int) -> Permit:
        """Raises Refusal or StoreError."""
        known = self.ledger.permits.get(ident)
        if known is not None:
            return known
        found = await self.store.read(lambda records: next((p for p in records.permits() if p.id == ident), None))
        if found is None:
            raise Refusal("NOT_FOUND", f"there is no permit {ident}; see `ironscale permit list`")
        return found

    async def own(self, holder: str, ident: int, may_any: bool) -> Permit:
        permit = await self.find(ident)
        if permit.operation:
            raise Refusal("FORBIDDEN", f"permit {ident} is {permit.holder}'s; abort that, or let it end")
        if permit.holder != holder and not may_any:
            raise Refusal("FORBIDDEN", f"permit {ident} is {permit.holder}'s, not {holder}'s")
        return permit

    async def renew(self, holder: str, ident: int) -> Permit:
        """Raises Refusal; ENDED where its units may be somebody else's by now."""
        async with self.lock:
            return await self._renew(holder, ident)

    async def _renew(self, holder: str, ident: int) -> Permit:
        permit = await self.own(holder, ident, False)
        if not self.store.term.holds(clock_ms()):
            raise StoreError("AWAY", "the record does not answer, and another agent may lead by now; ask again")
        if permit.phase not in (Phase.HELD, Phase.UNKNOWN, Phase.WAITING):
            raise Refusal("ENDED", f"permit {ident} is {permit.phase}; take a new one before anything goes out")
        if permit.phase is Phase.WAITING:
            return permit
        renewed = self.ledger.renew(ident, clock_ms())
        if renewed is not permit:
            await self.record([renewed], holder, "held again")
        return renewed

    async def give_back(self, holder: str, ident: int, force: bool) -> Permit:
        """Its holder's word that he is through; with `force` another's, who knows that the holder can act no more. The
        units count on until they are seen to serve. Again is the same. Raises Refusal or StoreError."""
        async with self.lock:
            return await self._give_back(holder, ident, force)

    async def _give_back(self, holder: str, ident: int, force: bool) -> Permit:
        permit = await self.own(holder, ident, force)
        if permit.phase in (Phase.RETURNED, Phase.ENDED, Phase.WITHDRAWN):
            return permit
        phase = Phase.WITHDRAWN if permit.phase is Phase.WAITING else Phase.RETURNED
        after = replace(permit.to(phase, f"given back by {holder}"),
                        ended_ms=self.now_ms() if phase is Phase.WITHDRAWN else 0)
        await self.record([after], holder, str(phase))
        return after

    async def record(self, permits: Sequence[Permit], actor: str, result: str) -> None:
        """Recorded, then counted so. Raises StoreError; where that is UNKNOWN they are looked up in the record."""
        now_ms = self.now_ms()

        def work(records: Records) -> None:
            records.put_permits(permits)
            for permit in permits:
                if not permit.operation:  # of targets the log tells already
                    records.audit(now_ms, actor, "permit", f"permit {permit.id}", result, {"note": permit.note})

        self.step("before a permit's commit")
        try:
            await self.store.write(work, lambda done: self.put(permits))
        except StoreError as error:
            if error.code == "UNKNOWN":
                self.doubt.update(p.id for p in permits)
            raise
        self.step("after a permit's commit")
        self.put(permits)
        self.notify()

    # A halt

    async def set_halt(self, actor: str, reason: str) -> Halt:
        """Nothing more is granted or begun from this moment on; told once it is recorded. Again is the same."""
        if self.halt is not None:
            return self.halt
        now_ms, before = self.now_ms(), self.ledger.halted
        self.ledger.halted = f"{actor}: {reason}" if reason else actor  # before it is written: what comes now waits

        def work(records: Records) -> Halt:
            standing = records.halt()
            if standing is not None:
                return standing
            halt = Halt(records.next_permit(), actor, reason, now_ms)
            records.put_halt(halt)
            records.audit(now_ms, actor, "halt", "fleet", "halted", {"reason": reason})
            return halt

        try:
            halt = await self.store.write(work, self.take_halt)
        except StoreError as error:
            if error.code != "UNKNOWN":
                self.ledger.halted = before
            raise
        self.take_halt(halt)
        self.notify()
        return halt

    async def lift_halt(self, actor: str) -> Halt | None:
        """The halt that stood. Raises StoreError."""
        standing, now_ms = self.halt, self.now_ms()
        if standing is None:
            return None
        lifted = replace(standing, lifted_ms=now_ms, lifted_by=actor)

        def work(records: Records) -> None:
            records.put_halt(lifted)
            records.audit(now_ms, actor, "halt", "fleet", "lifted", {"halted by": standing.actor})

        def done(_: None) -> None:
            self.take_halt(None)
            self.wake.set()
            self.room()
            self.notify()

        await self.store.write(work, done)
        done(None)
        return lifted

    # What goes on by itself

    async def prune(self) -> None:
        while True:
            await asyncio.sleep(KEPT_MS / 10_000)

            def work(records: Records, before_ms: int = self.now_ms() - KEPT_MS) -> None:
                records.prune_permits(before_ms)

            with contextlib.suppress(StoreError):
                await self.store.write(work)

    async def run(self, tasks: asyncio.TaskGroup) -> None:
        tasks.create_task(self.prune())
        while True:
            try:
                async with asyncio.timeout(TICK_S):
                    await self.wake.wait()
            except TimeoutError:
                pass
            self.wake.clear()
            try:
                await self.resolve()
                await self.decide()
            except StoreError as error:
                self.log(f"permits wait: {error}")
                await asyncio.sleep(RETRY_S)
                continue
            self.room()
            for key in self.ledger.asks():
                sort, _, name = key.partition("/")
                if sort == Of.SIDECAR:  # what sidecars see of upstreams is asked for all the time
                    self.ask(tasks, name)
            await asyncio.sleep(0.01)  # thousands of reports at once are one decision

    async def decide(self) -> None:
        """Lapses, ends and grants, recorded before they are told. Raises StoreError."""
        async with self.lock:
            await self._decide()

    async def _decide(self) -> None:
        wall_ms = self.now_ms()
        over = [replace(p, ended_ms=wall_ms) for p in self.ledger.ends()]
        if over:
            self.ending = {permit.id for permit in over}
            try:
                await self.record(over, "agent", str(Phase.ENDED))
            finally:
                self.ending = set()
        lapsed = self.ledger.lapses(clock_ms())
        if lapsed:
            await self.record(lapsed, "agent", str(Phase.UNKNOWN))
        granted = self.ledger.grants(clock_ms())
        if granted:
            try:
                await self.record(granted, "agent", str(Phase.HELD))
            except StoreError as error:
                if error.code != "UNKNOWN":
                    for permit in granted:
                        self.ledger.put(permit.to(Phase.WAITING), clock_ms())
                raise

    async def resolve(self) -> None:
        """After a write whose outcome was not known: as the record has it, once it takes writes. Raises StoreError."""
        async with self.lock:
            await self._resolve()

    async def _resolve(self) -> None:
        if self.doubt:
            doubt, before_ms = set(self.doubt), self.now_ms() - KEPT_MS

            def work(records: Records) -> list[Permit]:
                records.prune_permits(before_ms)
                return records.permits(open_only=True)

            open_ = await self.store.write(work)
            recorded = {permit.id: permit for permit in open_}
            for ident in doubt & self.doubt:  # hazard: one that an operation has taken up again since is its round's
                if ident in recorded:
                    self.put([recorded[ident]])
                else:
                    self.ledger.release(ident, clock_ms())
                    self.doubt.discard(ident)

    def ask(self, tasks: asyncio.TaskGroup, name: str) -> None:
        """For the evidence that it serves: once a second at most, and only where it has said so by itself."""
        now_s, sight = time.monotonic(), self.ledger.sights.get(f"{Of.SIDECAR}/{name}")
        if (self.question is None or sight is None or sight.out > 0.0 or len(self.asking) >= ASKS_AT_ONCE
                or name in self.asking):
            return
        self.asking[name] = now_s
        tasks.create_task(self.answer(name))

    async def answer(self, name: str) -> None:
        assert self.question is not None
        asked_ms, start_s = clock_ms(), time.monotonic()
        try:
            await self.question(name)
            self.asked_ms[name] = asked_ms
            self.see(name)
        except Refusal:
            # it has gone silent meanwhile, or takes its time
            await asyncio.sleep(max(0.0, ASK_AGAIN_S - (time.monotonic() - start_s)))
        finally:
            self.asking.pop(name, None)
            self.wake.set()

    def counted(self) -> list[Permit]:
        return [p for p in self.ledger.permits.values() if p.phase in COUNTS]
