"""Disruption budgets and permits at the leading agent: records the ledger's decisions and keeps them up to date.

Whatever takes a unit out of service is first reserved in the ledger, then recorded, then announced. An agent that dies
in between leaves a permit that counts against its budget, never an outage that doesn't.
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
    COUNTED_PHASES,
    MAX_PERMIT_UNITS,
    MAX_PRIORITY,
    MAX_WAITING_PERMITS,
    Budget,
    Halt,
    ImpossibleRequest,
    Observation,
    Permit,
    Phase,
    Unit,
    UnitKind,
)

DECISION_INTERVAL_S = 0.25  # longest time between two decisions
MAX_INSPECTIONS, INSPECTION_RETRY_S = 50, 1.0  # concurrent inspections, and delay after a failed one
RETRY_S = 1.0
PERMIT_RETENTION_MS = 3_600_000  # a permit that has ended is kept this long for its idempotency key
LEASE_RANGE_MS = (500, 3_600_000)  # shortest and longest lease of a permit
MAX_TARGETS = 1_000_000  # most targets of one operation: a permit id combines the operation's id and the position
UNAVAILABLE = (State.UNDER_WAY, State.NO_ANSWER, State.GONE)


def service_of(name: str) -> str:
    """The service of an instance: app-12 belongs to app."""
    service, _, number = name.rpartition("-")
    return service if service and number.isdecimal() else name


def permit_id(op: Operation, target: Target) -> int:
    """Id of the permit for one target. It is negative; permits requested through the API are numbered from 1."""
    return -(op.id * MAX_TARGETS + target.position)


class Permits:
    def __init__(self, budgets: Sequence[Budget], store: Store, fleet: Fleet, now_ms: Callable[[], int],
                 log: Callable[[str], None]) -> None:
        self.store, self.fleet, self.now_ms, self.log = store, fleet, now_ms, log
        self.ledger = Ledger(budgets)
        self.halt: Halt | None = None
        self.wake = asyncio.Event()
        self.on_budget_room: Callable[[], None] = lambda: None  # called when a budget may have room
        self.notify: Callable[[], None] = lambda: None
        self.inspect: Callable[[str], Awaitable[object]] | None = None  # inspects an instance; raises Refusal
        self.inspected_ms: dict[str, int] = {}  # instance -> when the inspection was sent that it answered last
        self.inspecting: dict[str, float] = {}  # instance -> when its running inspection began
        self.unconfirmed: set[int] = set()  # ids whose last write has an unknown outcome
        # Serializes decisions: one made before another change but written after it would undo that change.
        self.lock = asyncio.Lock()
        self.ending: set[int] = set()  # ids whose end is being written: not to be reserved again meanwhile
        self.crash_point: Callable[[str], None] = lambda where: None  # tests kill the process at these points

    # Loading the record

    def load(self, permits: Iterable[Permit], halt: Halt | None) -> None:
        self.ledger.load(permits, clock_ms())
        self.apply_halt(halt)
        for name in self.fleet.members:
            self.update_instance(name)

    def apply_halt(self, halt: Halt | None) -> None:
        self.halt = halt if halt is not None and not halt.lifted_ms else None
        self.ledger.halted = self.halt.text if self.halt is not None else ""

    # Observations of instances

    def observe(self, name: str) -> Observation:
        """What the ledger needs to know of a sidecar: whether it is out of service, and why."""
        member, seen = self.fleet.members[name], self.fleet.observe(name)
        assert seen is not None
        unit = Unit(UnitKind.SIDECAR, name, service_of(name), member.row.zone)
        asked_ms = self.inspected_ms.get(name, 0)
        if seen.ended:
            return Observation(unit, 1.0, "gone", boot=seen.boot)
        if not (seen.leased and seen.connected and seen.has_reported):
            return Observation(unit, 1.0, "silent" if seen.has_reported else "not seen", False, seen.boot)
        if seen.replacing:
            return Observation(unit, 1.0, "restarting", boot=seen.boot, asked_ms=asked_ms)
        state = state_of(seen)
        return Observation(unit, float(state != "ready"), "" if state == "ready" else state, True, seen.boot, asked_ms)

    def update_instance(self, name: str) -> None:
        if self.ledger.observe(self.observe(name)):
            self.wake.set()

    def forget(self, name: str) -> None:
        self.ledger.forget(f"{UnitKind.SIDECAR}/{name}")
        self.wake.set()

    # Operations

    def reserve(self, op: Operation, target: Target, is_rollback: bool) -> str:
        """Reserves the permit that a command to this target needs. Returns empty, or the reason why it has to wait."""
        key = f"{UnitKind.SIDECAR}/{target.name}"
        ident, now_ms = permit_id(op, target), clock_ms()
        known = self.ledger.permits.get(ident)
        if ident in self.ending:
            return f"the end of its former permit for {target.name} is being recorded"
        if known is not None and known.phase is Phase.HELD and (is_rollback or not self.ledger.halted):
            return ""
        if not self.ledger.has_budget(key):
            return f"halted by {self.ledger.halted}" if self.ledger.halted and not is_rollback else ""
        permit = known or Permit(ident, str(target.position), f"operation {op.id}", (key,), str(op.kind),
                                 op.policy.priority, Phase.WAITING, self.now_ms(), 0, op.id)
        problem = ""
        if is_rollback and op.policy.urgent:
            # on an operator's demand: it counts, but needs no room
            self.ledger.put(permit.with_phase(Phase.HELD), now_ms)
        else:
            try:
                self.ledger.check_possible((key,))
                problem = self.ledger.reserve(permit, now_ms, is_rollback)
            except ImpossibleRequest as impossible:
                problem = str(impossible)
        if not problem:
            self.unconfirmed.discard(ident)
        return problem

    def returned_permits(self, op: Operation, targets: Iterable[Target], has_ended: bool) -> list[Permit]:
        """Permits that these targets no longer need, as they are to be recorded together with them. `has_ended`: the
        operation ends, so once an instance answers a later inspection, it has either carried out the commands or never
        will."""
        found = []
        for target in targets:
            permit = self.ledger.permits.get(permit_id(op, target))
            if permit is not None and permit.phase is Phase.HELD and (has_ended or target.state not in UNAVAILABLE):
                found.append(permit.with_phase(Phase.RETURNED, str(target.state)))
        return found

    def adopt(self, op: Operation, targets: Iterable[Target]) -> None:
        """Adds permits for targets under way that an agent without budgets started, as they count too."""
        for target in targets:
            key = f"{UnitKind.SIDECAR}/{target.name}"
            if (target.state in (State.UNDER_WAY, State.NO_ANSWER) and self.ledger.has_budget(key)
                    and permit_id(op, target) not in self.ledger.permits):
                self.put([Permit(permit_id(op, target), str(target.position), f"operation {op.id}", (key,),
                                 str(op.kind), phase=Phase.HELD, created_ms=op.created_ms, operation=op.id)])

    def put(self, permits: Iterable[Permit]) -> None:
        now_ms = clock_ms()
        for permit in permits:
            self.ledger.put(permit, now_ms)
            self.unconfirmed.discard(permit.id)
        self.wake.set()

    def restore(self, before: dict[int, Permit | None], is_known: bool) -> None:
        """Undoes the reservations of a round whose write failed. If its outcome is unknown, they go on counting."""
        if not is_known:
            self.unconfirmed.update(before)
            return
        for ident, permit in before.items():
            if permit is None:
                self.ledger.cancel_reservation(ident, clock_ms())
            else:
                self.ledger.put(permit, clock_ms())

    # Permits requested through the API

    async def request(self, holder: str, key: str, units: Sequence[str], reason: str, priority: int, lease_ms: int
                   ) -> Permit:
        """Requests a permit for units, idempotent by holder and key. Raises Refusal or StoreError."""
        names = tuple(sorted(set(units)))
        self.check_request(names, key, priority, lease_ms)
        now_ms = self.now_ms()

        def work(records: Records) -> Permit:
            earlier = records.permit_by_key(holder, key)
            if earlier is not None and earlier.units != names:
                raise Refusal("KEY_REUSED", f"key {key!r} was used for other units, by permit {earlier.id}")
            if earlier is not None and earlier.phase is not Phase.WITHDRAWN:
                return earlier
            if sum(p.phase is Phase.WAITING for p in self.ledger.permits.values()) >= MAX_WAITING_PERMITS:
                raise Refusal("FULL", f"expected {MAX_WAITING_PERMITS} waiting permits at most; ask again later")
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

    def check_request(self, units: Sequence[str], key: str, priority: int, lease_ms: int) -> None:
        if not 0 < len(units) <= MAX_PERMIT_UNITS:
            raise Refusal("BAD_INPUT", f"units: expected 1 to {MAX_PERMIT_UNITS}, got {len(units)}")
        if not 0 < len(key) <= 200 or not key.isprintable():
            raise Refusal("BAD_INPUT", f"key: expected 1 to 200 printable characters, got {key!r:.60}")
        if not 0 <= priority <= MAX_PRIORITY:
            raise Refusal("BAD_INPUT", f"priority: expected 0 to {MAX_PRIORITY}, got {priority}")
        if not LEASE_RANGE_MS[0] <= lease_ms <= LEASE_RANGE_MS[1]:
            raise Refusal("BAD_INPUT", f"leaseMs: expected {LEASE_RANGE_MS[0]} to {LEASE_RANGE_MS[1]}, got {lease_ms}")
        for unit in units:
            if unit not in self.ledger.observations:
                raise Refusal("NOT_FOUND", f"units: expected units that are known (sidecar/NAME, see `ironscale ls`), "
                                           f"got {unit!r:.80}")
        try:
            self.ledger.check_possible(units)
        except ImpossibleRequest as impossible:
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

    async def find_owned(self, holder: str, ident: int, may_any: bool) -> Permit:
        """The permit, if it is the holder's own or `may_any`. Raises Refusal or StoreError."""
        permit = await self.find(ident)
        if permit.operation:
            raise Refusal("FORBIDDEN", f"permit {ident} is {permit.holder}'s; abort that, or let it end")
        if permit.holder != holder and not may_any:
            raise Refusal("FORBIDDEN", f"permit {ident} is {permit.holder}'s, not {holder}'s")
        return permit

    async def renew(self, holder: str, ident: int) -> Permit:
        """Renews the lease of a permit. Raises StoreError, or Refusal: ENDED if another may have its units by now."""
        async with self.lock:
            return await self._renew(holder, ident)

    async def _renew(self, holder: str, ident: int) -> Permit:
        permit = await self.find_owned(holder, ident, False)
        if not self.store.term.is_held(clock_ms()):
            raise StoreError("AWAY", "the record does not answer, and another agent may lead by now; ask again")
        if permit.phase not in (Phase.HELD, Phase.UNKNOWN, Phase.WAITING):
            raise Refusal("ENDED", f"permit {ident} is {permit.phase}; take a new one before anything goes out")
        if permit.phase is Phase.WAITING:
            return permit
        renewed = self.ledger.renew(ident, clock_ms())
        if renewed is not permit:
            await self.record_permits([renewed], holder, "held again")
        return renewed

    async def give_back(self, holder: str, ident: int, force: bool) -> Permit:
        """Gives back a permit that its holder no longer needs or, with `force`, one of a holder known to be unable to
        act. Its units count as out until they are seen to serve. Idempotent. Raises Refusal or StoreError."""
        async with self.lock:
            return await self._give_back(holder, ident, force)

    async def _give_back(self, holder: str, ident: int, force: bool) -> Permit:
        permit = await self.find_owned(holder, ident, force)
        if permit.phase in (Phase.RETURNED, Phase.ENDED, Phase.WITHDRAWN):
            return permit
        phase = Phase.WITHDRAWN if permit.phase is Phase.WAITING else Phase.RETURNED
        after = replace(permit.with_phase(phase, f"given back by {holder}"),
                        ended_ms=self.now_ms() if phase is Phase.WITHDRAWN else 0)
        await self.record_permits([after], holder, str(phase))
        return after

    async def record_permits(self, permits: Sequence[Permit], actor: str, result: str) -> None:
        """Records permits, then updates the ledger. Raises StoreError; after UNKNOWN, `resolve` reads them back."""
        now_ms = self.now_ms()

        def work(records: Records) -> None:
            records.put_permits(permits)
            for permit in permits:
                if not permit.operation:  # the audit log has an entry for the target already
                    records.audit(now_ms, actor, "permit", f"permit {permit.id}", result, {"note": permit.note})

        self.crash_point("before a permit's commit")
        try:
            await self.store.write(work, lambda done: self.put(permits))
        except StoreError as error:
            if error.code == "UNKNOWN":
                self.unconfirmed.update(p.id for p in permits)
            raise
        self.crash_point("after a permit's commit")
        self.put(permits)
        self.notify()

    # Halting the fleet

    async def set_halt(self, actor: str, reason: str) -> Halt:
        """Stops all grants and new operations at once; returns once the halt is recorded. Idempotent. Raises
        StoreError."""
        if self.halt is not None:
            return self.halt
        now_ms, before = self.now_ms(), self.ledger.halted
        # Set before the write, so that requests arriving meanwhile wait.
        self.ledger.halted = f"{actor}: {reason}" if reason else actor

        def work(records: Records) -> Halt:
            current = records.halt()
            if current is not None:
                return current
            halt = Halt(records.next_permit(), actor, reason, now_ms)
            records.put_halt(halt)
            records.audit(now_ms, actor, "halt", "fleet", "halted", {"reason": reason})
            return halt

        try:
            halt = await self.store.write(work, self.apply_halt)
        except StoreError as error:
            if error.code != "UNKNOWN":
                self.ledger.halted = before
            raise
        self.apply_halt(halt)
        self.notify()
        return halt

    async def lift_halt(self, actor: str) -> Halt | None:
        """Lifts the halt and returns it, or None if there is none. Raises StoreError."""
        current, now_ms = self.halt, self.now_ms()
        if current is None:
            return None
        lifted = replace(current, lifted_ms=now_ms, lifted_by=actor)

        def work(records: Records) -> None:
            records.put_halt(lifted)
            records.audit(now_ms, actor, "halt", "fleet", "lifted", {"halted by": current.actor})

        def done(_: None) -> None:
            self.apply_halt(None)
            self.wake.set()
            self.on_budget_room()
            self.notify()

        await self.store.write(work, done)
        done(None)
        return lifted

    # Background tasks

    async def prune(self) -> None:
        while True:
            await asyncio.sleep(PERMIT_RETENTION_MS / 10_000)

            def work(records: Records, before_ms: int = self.now_ms() - PERMIT_RETENTION_MS) -> None:
                records.prune_permits(before_ms)

            with contextlib.suppress(StoreError):
                await self.store.write(work)

    async def run(self, tasks: asyncio.TaskGroup) -> None:
        """Decides on permits whenever something has changed, until cancelled."""
        tasks.create_task(self.prune())
        while True:
            try:
                async with asyncio.timeout(DECISION_INTERVAL_S):
                    await self.wake.wait()
            except TimeoutError:
                pass
            self.wake.clear()
            try:
                await self.resolve()
                await self.decide()
            except StoreError as error:
                self.log(f"decisions on permits will be retried: {error}")
                await asyncio.sleep(RETRY_S)
                continue
            self.on_budget_room()
            for key in self.ledger.units_to_ask():
                kind, _, name = key.partition("/")
                if kind == UnitKind.SIDECAR:  # upstreams are polled all the time anyway
                    self.start_inspection(tasks, name)
            await asyncio.sleep(0.01)  # so that thousands of simultaneous reports share one decision

    async def decide(self) -> None:
        """Expires, ends and grants permits; each is recorded before it is announced. Raises StoreError."""
        async with self.lock:
            await self._decide()

    async def _decide(self) -> None:
        wall_ms = self.now_ms()
        ended = [replace(p, ended_ms=wall_ms) for p in self.ledger.ended_permits()]
        if ended:
            self.ending = {permit.id for permit in ended}
            try:
                await self.record_permits(ended, "agent", str(Phase.ENDED))
            finally:
                self.ending = set()
        lapsed = self.ledger.expired_leases(clock_ms())
        if lapsed:
            await self.record_permits(lapsed, "agent", str(Phase.UNKNOWN))
        granted = self.ledger.grant_waiting(clock_ms())
        if granted:
            try:
                await self.record_permits(granted, "agent", str(Phase.HELD))
            except StoreError as error:
                if error.code != "UNKNOWN":
                    for permit in granted:
                        self.ledger.put(permit.with_phase(Phase.WAITING), clock_ms())
                raise

    async def resolve(self) -> None:
        """Reads back permits whose last write had an unknown outcome, once it is writable. Raises StoreError."""
        async with self.lock:
            await self._resolve()

    async def _resolve(self) -> None:
        if self.unconfirmed:
            unconfirmed, before_ms = set(self.unconfirmed), self.now_ms() - PERMIT_RETENTION_MS

            def work(records: Records) -> list[Permit]:
                records.prune_permits(before_ms)
                return records.permits(open_only=True)

            open_permits = await self.store.write(work)
            recorded = {permit.id: permit for permit in open_permits}
            # One that was reserved again since then belongs to its operation's round.
            for ident in unconfirmed & self.unconfirmed:
                if ident in recorded:
                    self.put([recorded[ident]])
                else:
                    self.ledger.cancel_reservation(ident, clock_ms())
                    self.unconfirmed.discard(ident)

    def start_inspection(self, tasks: asyncio.TaskGroup, name: str) -> None:
        """Inspects an instance that reports to be in service, to confirm that; one inspection of it at a time."""
        now_s, sight = time.monotonic(), self.ledger.observations.get(f"{UnitKind.SIDECAR}/{name}")
        if (self.inspect is None or sight is None or sight.out > 0.0 or len(self.inspecting) >= MAX_INSPECTIONS
                or name in self.inspecting):
            return
        self.inspecting[name] = now_s
        tasks.create_task(self.await_inspection(name))

    async def await_inspection(self, name: str) -> None:
        """Waits for the answer to an inspection; a failed one ends after INSPECTION_RETRY_S, which limits the rate."""
        assert self.inspect is not None
        asked_ms, start_s = clock_ms(), time.monotonic()
        try:
            await self.inspect(name)
            self.inspected_ms[name] = asked_ms
            self.update_instance(name)
        except Refusal:
            # It has become silent, or is slow to answer.
            await asyncio.sleep(max(0.0, INSPECTION_RETRY_S - (time.monotonic() - start_s)))
        finally:
            self.inspecting.pop(name, None)
            self.wake.set()

    def counted(self) -> list[Permit]:
        """Permits whose units count as out of service."""
        return [p for p in self.ledger.permits.values() if p.phase in COUNTED_PHASES]
