"""Carries operations out: asks the planner, records what it says, then sends; takes in what comes back."""

from __future__ import annotations

import asyncio
import json
import time
import traceback
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass, field, replace
from hashlib import sha256
from typing import Any

from ironscale.agent import planner
from ironscale.agent.config_diff import difference
from ironscale.agent.fleet import Fleet
from ironscale.agent.gates import Gate
from ironscale.agent.model import OPEN, Kind, Operation, Phase, Plan, Policy, Send, State, Target
from ironscale.agent.permits import Permits, permit_id
from ironscale.agent.publishing import Publisher, describe_earlier_use
from ironscale.agent.refusal import Refusal
from ironscale.agent.store import Configuration, Event, Records, Store, StoreError
from ironscale.agent.terms import Owner, clock_ms
from ironscale.agent.upstream_polling import UpstreamPoller
from ironscale.control.frames import FrameError, encode
from ironscale.control.messages import Command, CommandResult, Report, serialize_message
from ironscale.disruption.model import Budget, Halt, Of, Permit
from ironscale.disruption.releases import Word

RETRY_S = 1.0  # after the record could not be written
REST_SHARE = 1  # an operation rests for so many times what its last round took: thousands report at once
CATCH_UP_S = 1.0
INSPECT_S = 5.0
AGENT = "agent"  # the actor of what the agent does by itself


@dataclass(slots=True)
class Live:
    """An open operation in memory: what the record has, and what has come in since."""

    op: Operation
    targets: list[Target]
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    names: set[str] | None = None  # of instances that may show something new; None = any may
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    answers: deque[tuple[str, str, str, str]] = field(default_factory=deque)  # name, command, status, detail
    superseded: dict[str, int] = field(default_factory=dict)
    stalled: str = ""  # why it can't go on at present
    waits: str = ""  # for room in a budget, for the end of a halt, or for what a wave serves
    gate: Gate = field(default_factory=Gate)
    index: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.index = {target.name: i for i, target in enumerate(self.targets)}


@dataclass(frozen=True, slots=True)
class Inspection:
    report: Report
    upstreams: list[dict[str, Any]]


@dataclass(slots=True)
class _Question:
    future: asyncio.Future[Inspection]
    parts: list[dict[str, Any]] = field(default_factory=list)


class Engine:
    def __init__(self, store: Store, fleet: Fleet, now_ms: Callable[[], int],
                 log: Callable[[str], None], budgets: Sequence[Budget] = ()) -> None:
        self.store, self.fleet, self.now_ms, self.log = store, fleet, now_ms, log
        self.permits = Permits(budgets, store, fleet, now_ms, log)
        self.permits.room, self.permits.notify, self.permits.question = self.room, self.notify, self.inspect
        self.watching = UpstreamPoller(self.permits.ledger, fleet, self.upstreams_of, log, self.permits.wake.set)
        self.publisher = Publisher(store, now_ms, log, self.notify)
        self.live: dict[int, Live] = {}
        self.overlays: dict[int, dict[str, Any]] = {0: {}}
        self.tasks: asyncio.TaskGroup | None = None
        self.restart: Callable[[Send], None] = lambda send: None  # the supervisor's
        self.stopping: Callable[[str], None] = lambda name: None  # told before a process is told to stop
        self.questions: dict[str, _Question] = {}
        self.asked = 0
        self.caught_up: set[tuple[str, str, int]] = set()  # tried once for each process and generation
        self.watchers: set[asyncio.Event] = set()  # of operations, instances and the audit log
        self.step: Callable[[str], None] = lambda where: None  # tests end the process here
        self.held_back: set[str] = set()  # instances whose commands were not sent, as the term was void
        self.leader: Owner | None = None  # this agent only follows: who leads, as far as that is known
        self.read_ms = 0  # follower: on `clock_ms`, of when the record was read that is shown here
        self.started_ms = now_ms()
        fleet.changed = self.on_changed
        fleet.connected = self.on_connected

    # The record at the start

    async def load(self) -> None:
        def work(records: Records) -> tuple[list[tuple[Operation, list[Target]]], dict[int, dict[str, Any]],
                                            list[Permit], Halt | None]:
            ops = records.operations(2**62, 10_000, open_only=True)
            wanted = {row.desired for row in records.instances()} | {op.generation for op in ops}
            found = [(op, records.targets(op.id)) for op in sorted(ops, key=lambda op: op.id)]
            wanted |= {target.from_generation for _, targets in found for target in targets}
            kept = {g: records.configuration(g) for g in wanted}
            self.fleet.load(records.instances(), records.alive_ms())
            overlays = {g: c.overlay for g, c in kept.items() if c is not None}
            return found, overlays, records.permits(open_only=True), records.halt()

        found, overlays, permits, halt = await self.store.read(work)
        self.overlays.update(overlays)
        self.permits.load(permits, halt)
        await self.publisher.load()
        for op, targets in found:
            # hazard: the time without an agent, or a clock set back, must not count against the instances
            targets = [replace(t, sent_ms=self.now_ms()) if t.command else t for t in targets]
            self.adopt(op, targets)

    def adopt(self, op: Operation, targets: list[Target]) -> Live:
        for other in self.live.values():
            other.superseded.update({t.name: op.id for t in targets if t.name in other.index})
            other.names = None
            other.changed.set()
        self.permits.adopt(op, targets)
        live = self.live[op.id] = Live(op, targets)
        if self.tasks is not None:
            self.tasks.create_task(self.drive(live))
        return live

    async def run(self) -> None:
        """Drives all operations until cancelled."""
        async with asyncio.TaskGroup() as self.tasks:
            for live in list(self.live.values()):
                self.tasks.create_task(self.drive(live))
            self.tasks.create_task(self.sweep())
            self.tasks.create_task(self.keep_instances())
            self.tasks.create_task(self.catch_up())
            self.tasks.create_task(self.permits.run(self.tasks))
            self.tasks.create_task(self.watching.run())
            self.tasks.create_task(self.publisher.run())

    # What comes in

    def notify(self) -> None:
        for watcher in self.watchers:
            watcher.set()

    def room(self) -> None:
        """Operations that wait may go on."""
        for live in self.live.values():
            if live.waits:
                live.changed.set()

    def on_changed(self, name: str) -> None:
        self.permits.see(name)
        for live in self.live.values():
            if name in live.index:
                if live.names is not None:
                    live.names.add(name)
                live.changed.set()
        self.notify()

    def on_connected(self, name: str) -> None:
        """What a process was told, and may not have got, is told again by the same id."""
        member = self.fleet.members[name]
        for live in self.live.values():
            place = live.index.get(name)
            target = live.targets[place] if place is not None else None
            if target is None or target.boot != member.row.boot or name in live.superseded:
                continue
            waiting = target.state in (State.UNDER_WAY, State.NO_ANSWER) and target.command
            if waiting and (target.restarting or not target.answered):
                generation = target.from_generation if target.reverting else live.op.generation
                kind = "restart" if target.restarting else live.op.kind.value
                self.deliver(Send(target.command, name, target.boot, live.op.fence, kind, generation))

    def on_result(self, name: str, boot: str, result: CommandResult) -> None:
        question = self.questions.get(result.id)
        if question is not None:
            self.on_inspected(question, result)
            return
        ident = result.id.partition(".")[0]
        live = self.live.get(int(ident)) if ident.isascii() and ident.isdecimal() else None
        place = live.index.get(name) if live is not None else None
        # hazard: an instance must not be able to answer for another, nor for a command that was never its own
        if live is not None and place is not None and (
                (live.targets[place].boot, live.targets[place].command) == (boot, result.id)):
            live.answers.append((name, result.id, result.status, result.detail))
            live.changed.set()

    # Operations

    async def drive(self, live: Live) -> None:
        while live.op.phase in OPEN:
            live.changed.clear()
            try:
                async with live.lock:
                    start_s = time.monotonic()
                    more, wake_ms = await self.round(live)
                    took_s = time.monotonic() - start_s
            except StoreError as error:
                # nothing was sent that was not recorded; instances and their traffic don't notice
                if live.stalled != str(error):
                    self.log(f"operation {live.op.id} waits: {error}")
                live.stalled = str(error)
                self.notify()
                await asyncio.sleep(RETRY_S)
                continue
            except Exception:
                # hazard: a fault met by one operation would end the agent, and the next agent, and the next
                self.log(f"operation {live.op.id} met a fault of the agent\n{traceback.format_exc()}")
                live.stalled, live.names = "a fault of the agent; its log says which", None
                self.notify()
                await asyncio.sleep(RETRY_S)
                continue
            live.stalled = ""
            if more:
                continue
            await asyncio.sleep(min(0.5, REST_SHARE * took_s))
            wait_s = None if wake_ms is None else max(0.001, (wake_ms - self.now_ms()) / 1000)
            try:
                async with asyncio.timeout(wait_s):
                    await live.changed.wait()
            except TimeoutError:
                pass
        self.live.pop(live.op.id, None)
        self.permits.ledger.leave(f"operation {live.op.id}")
        self.notify()

    async def round(self, live: Live) -> tuple[bool, int | None]:
        """One look at an operation: what changes is recorded, then sent. True if another is due at once."""
        op, answered = live.op, list(live.targets)
        taken, names = len(live.answers), live.names
        live.names = set()
        for name, command, status, detail in list(live.answers):
            place = live.index[name]
            if names is not None:
                names.add(name)
            answered[place] = planner.answer(op, answered[place], command, status, detail)
        before: dict[int, Permit | None] = {}  # permits that this round reserves, as they were

        def may(target: Target) -> str:
            ident, known = permit_id(op, target), self.permits.ledger.permits
            former = known.get(ident)
            problem = "" if op.kind is Kind.UNDRAIN else self.permits.may(op, target, op.phase is Phase.ROLLING_BACK)
            if known.get(ident) is not former:
                before[ident] = former
            return problem

        def passes(targets: Sequence[Target], first: int) -> tuple[str, bool]:
            found = live.gate.verdict(op.policy, targets, first, self.fleet, clock_ms())
            return ("", False) if found.word is Word.GO else (found.text, found.word is Word.BREACH)

        plan = planner.advance(op, answered, self.fleet, self.now_ms(), live.superseded, names, may, passes)
        live.waits = plan.waits
        if not plan.waits:
            self.permits.ledger.leave(f"operation {op.id}")
        for target in plan.targets:
            answered[target.position] = target
        changed = {after.name: after for before, after in zip(live.targets, answered, strict=True)
                   if after is not before and after != before}
        if not changed and plan.phase is None and not plan.rollback:
            for _ in range(taken):
                live.answers.popleft()
            return False, plan.wake_ms
        desired = self.desired(op, changed.values())
        ends = plan.phase is not None and plan.phase not in OPEN
        permits = {ident: self.permits.ledger.permits[ident] for ident in before}
        permits |= {p.id: p for p in self.permits.settled(op, answered if ends else changed.values(), ends)}

        def recorded(new_op: Operation) -> None:
            self.fleet.set_desired(desired)
            for _ in range(taken):
                live.answers.popleft()
            for target in changed.values():
                live.targets[target.position] = target
            live.op = new_op
            self.permits.put(permits.values())
            live.changed.set()
            self.notify()
            for send in plan.sends:
                self.step("before a send")
                self.deliver(send)
                self.step("after a send")

        try:
            recorded(await self.record(op, list(changed.values()), plan, desired, list(permits.values()), recorded))
        except Exception as error:
            live.names = None  # what was seen has not been taken in
            self.permits.restore(before, not (isinstance(error, StoreError) and error.code == "UNKNOWN"))
            raise
        return True, None

    async def record(self, op: Operation, changed: list[Target], plan: Plan, desired: list[tuple[str, int]],
                     permits: list[Permit], late: Callable[[Operation], None]) -> Operation:
        now_ms = self.now_ms()

        def work(records: Records) -> Operation:
            new = op
            if plan.rollback:
                new = replace(op, phase=Phase.ROLLING_BACK, fence=records.next_fence(), note=plan.note)
            elif plan.phase is not None:
                ended_ms = 0 if plan.phase in OPEN else now_ms
                new = replace(op, phase=plan.phase, note=plan.note, ended_ms=ended_ms)
            records.put_targets(op.id, changed)
            records.set_desired(desired)
            records.put_permits(permits)
            for target in changed:
                if target.state is not State.UNDER_WAY:
                    records.audit(now_ms, AGENT, f"{op.kind}", target.name, str(target.state),
                                  {"operation": op.id, "detail": target.detail, "boot": target.boot})
            if new is not op:
                records.put_operation(new)
                records.audit(now_ms, AGENT, f"{op.kind}", f"operation {op.id}", str(new.phase),
                              {"note": new.note})
            return new

        self.step("before a commit")
        new = await self.store.write(work, late)
        self.step("after a commit")
        return new

    @staticmethod
    def desired(op: Operation, changed: Iterable[Target]) -> list[tuple[str, int]]:
        """What instances should run from now on, also after a restart, by how their targets stand."""
        if op.kind is not Kind.RECONFIGURE:
            return []
        found = []
        for target in changed:
            if target.reverting or target.state in (State.REFUSED, State.FAILED):
                found.append((target.name, target.from_generation))
            elif target.command and target.state in (State.UNDER_WAY, State.APPLIED):
                found.append((target.name, op.generation))
        return found

    def leads(self) -> bool:
        """By our own clock, without asking: nobody else can have claimed the record."""
        return self.leader is None and self.store.term.holds(clock_ms())

    def deliver(self, send: Send) -> None:
        """Looks at the term last: a process that was stopped since its record was written has lost it. What leaves a
        moment too late all the same is what the record names, and counts for whoever leads by then."""
        if not self.leads():
            self.held_back.add(send.name)
            return
        if send.kind == "restart":
            self.restart(send)
            return
        member = self.fleet.members.get(send.name)
        if member is None or member.link is None or member.row.boot != send.boot:
            return  # told again when it comes back; if it does not, its lease ends
        args: dict[str, Any] = {}
        if send.kind == Kind.STOP:
            self.stopping(send.name)
        if send.kind == Kind.RECONFIGURE:
            args = {"generation": send.generation, "overlay": self.overlays.get(send.generation, {})}
        member.link.command(Command(send.id, send.fence, send.boot, send.kind, args))

    async def begin(self, actor: str, kind: Kind, names: Sequence[str], policy: Policy, *, key: str = "",
                    overlay: dict[str, Any] | None = None, expect: int | None = None, generation: int = 0,
                    supersede: bool = False) -> tuple[Operation, bool]:
        """Records a new operation, and starts it; False beside it where an earlier call with this key did.

        With an `overlay` it makes the next generation, if the present one is `expect`: of two operators who
        saw the same generation exactly one wins. Raises Refusal or StoreError, with nothing done; but a StoreError
        UNKNOWN may have begun, and if it has, the operation goes on once that is seen.
        """
        names = sorted(set(names))
        fingerprint = sha256(json.dumps([kind, names, asdict(policy), overlay, expect, generation, supersede],
                                        sort_keys=True).encode()).hexdigest()
        if overlay is not None:
            self.check_size(overlay)
        halt = self.permits.halt
        if halt is not None and kind is not Kind.UNDRAIN:
            raise Refusal("HALTED", f"halted by {halt.text}; `ironscale halt --lift` ends that", actor=halt.actor,
                          reason=halt.reason, atMs=halt.at_ms)
        now_ms = self.now_ms()
        rows = [self.fleet.members[name].row for name in names if name in self.fleet.members]

        def work(records: Records) -> tuple[Operation, list[Target] | None]:
            earlier = records.mutation(actor, key) if key else None
            if earlier is not None:
                if earlier[0] != fingerprint:
                    raise Refusal("KEY_REUSED", f"idempotency key {key!r} was used for another mutation, "
                                                f"{describe_earlier_use(*earlier)}; use a new one")
                found = records.operation(earlier[1])
                assert found is not None
                return found, None
            if not names:
                raise Refusal("NO_TARGETS",
                              "expected a selector that matches an instance; see `ironscale ls`")
            if overlay is not None:
                self.compare_and_set(records, expect, overlay)
            self.check_rivals(records, set(names), supersede)
            ident, fence = records.next_operation(), records.next_fence()
            made = records.current_generation() + 1 if overlay is not None else generation
            op = Operation(ident, kind, fence, Phase.RUNNING, actor, policy, made, {"supersede": supersede},
                           "", now_ms)
            targets = [Target(name, place) for place, name in enumerate(names)]
            # hazard: an agent killed before it had written who its targets are would not know them again
            records.put_instances(rows)
            records.put_operation(op)
            records.put_targets(ident, targets)
            if overlay is not None:
                records.add_configuration(Configuration(made, overlay, actor, now_ms, ident))
            if key:
                records.add_mutation(actor, key, fingerprint, ident, now_ms)
            records.audit(now_ms, actor, f"{kind}", f"operation {ident}", "begun",
                          {"targets": len(names), "generation": made, "policy": asdict(policy)})
            return op, targets

        def begun(found: tuple[Operation, list[Target] | None]) -> None:
            op, targets = found
            if targets is None:
                return
            if overlay is not None:
                self.overlays[op.generation] = overlay
            self.adopt(op, targets)
            self.notify()

        self.step("before the beginning")
        found = await self.store.write(work, begun)
        self.step("after the beginning")
        begun(found)
        return found[0], found[1] is not None

    @staticmethod
    def check_size(overlay: dict[str, Any]) -> None:
        """A patch that fits no frame would leave every target without an answer."""
        args = {"generation": 2**53, "overlay": overlay}
        command = Command("0" * 40, 2**53, "0" * 64, Kind.RECONFIGURE, args)
        try:
            encode(serialize_message(command))
        except FrameError as error:
            raise Refusal("BAD_INPUT", f"overlay: {error}") from error
        except ValueError as error:
            raise Refusal("BAD_INPUT", f"overlay: expected numbers that JSON has, got {error}") from error

    @staticmethod
    def compare_and_set(records: Records, expect: int | None, overlay: dict[str, Any]) -> None:
        current = records.current_generation()
        if expect == current:
            return
        winner = records.configuration(current)
        if expect is None or winner is None:
            raise Refusal("BAD_INPUT",
                          f"expectGeneration: expected the present generation {current}, got {expect}")
        raise Refusal(
            "CONFLICT", f"generation {current} was made by {winner.actor} meanwhile (expected {expect}); "
            "look at it, then apply again", generation=current, actor=winner.actor, atMs=winner.at_ms,
            operation=winner.operation, difference=difference(winner.overlay, overlay))

    def check_rivals(self, records: Records, names: set[str], supersede: bool) -> None:
        """An open operation on the same instances: theirs first, unless this one is to take its place."""
        if supersede:
            return
        for op in records.operations(2**62, 10_000, open_only=True):
            if op.actor == AGENT:
                continue  # catching up with what operators wanted before
            both = names & {target.name for target in records.targets(op.id)
                            if target.state is not State.SUPERSEDED}
            if both:
                raise Refusal(
                    "CONFLICT",
                    f"operation {op.id} ({op.kind}) of {op.actor} has {len(both)} of these instances, "
                    f"{min(both)} among them; wait for it, abort it, or supersede it", operation=op.id,
                    actor=op.actor, atMs=op.created_ms, instances=sorted(both)[:20])

    async def control(self, actor: str, ident: int, action: str, urgent: bool = False) -> Operation:
        """Pause, resume, abort or roll back an open operation; `urgent`: back without waiting for room in a budget.
        Again is the same. Raises Refusal."""
        live = self.live.get(ident)
        if live is None:
            found = await self.store.read(lambda records: records.operation(ident))
            if found is None:
                raise Refusal("NOT_FOUND", f"there is no operation {ident}; see `ironscale ops`")
            raise Refusal("ENDED", f"operation {ident} has ended: {found.phase}")
        async with live.lock:
            op, now_ms = live.op, self.now_ms()
            wanted, allowed = {
                "pause": (Phase.PAUSED, (Phase.RUNNING,)),
                "resume": (Phase.RUNNING, (Phase.PAUSED,)),
                "abort": (Phase.ABORTING, (Phase.RUNNING, Phase.PAUSED)),
                "rollback": (Phase.ROLLING_BACK, (Phase.RUNNING, Phase.PAUSED, Phase.ABORTING, Phase.ROLLING_BACK)),
            }[action]
            if op.phase is wanted and op.policy.urgent >= urgent:
                return op
            if op.phase not in allowed:
                raise Refusal("WRONG_PHASE", f"operation {ident} is {op.phase}; it can't be told to {action}")
            if wanted is Phase.ROLLING_BACK and op.kind is not Kind.RECONFIGURE:
                raise Refusal("WRONG_PHASE",
                              f"operation {ident} is a {op.kind}; only a reconfigure rolls back")
            # a resume after failures goes on past them: the operator has seen them
            policy = replace(op.policy, max_failures=len(live.targets)) if action == "resume" else op.policy
            policy = replace(policy, urgent=policy.urgent or urgent)
            note = f"{action} by {actor}" if wanted is Phase.ROLLING_BACK else ""

            def work(records: Records) -> Operation:
                turns = wanted is Phase.ROLLING_BACK and op.phase is not wanted
                fence = records.next_fence() if turns else op.fence
                new = replace(op, phase=wanted, fence=fence, policy=policy, note=note)
                records.put_operation(new)
                records.audit(now_ms, actor, action, f"operation {ident}", str(wanted))
                return new

            def told(new: Operation) -> None:
                live.op = new
                live.names = None
                live.changed.set()
                self.notify()

            told(await self.store.write(work, told))
            return live.op

    # Questions

    async def inspect(self, name: str, timeout_s: float = INSPECT_S) -> Inspection:
        """Asks a process now. Raises Refusal with since when it has not been heard."""
        member = self.fleet.members.get(name)
        if member is None:
            raise Refusal("NOT_FOUND", f"there is no instance {name!r}; see `ironscale ls`")
        if member.link is None or not member.leased:
            raise Refusal("NO_ANSWER", f"{name} is not connected", sinceMs=member.row.heard_ms)
        self.asked += 1
        ident = f"q{self.started_ms}.{self.asked}"
        question = self.questions[ident] = _Question(asyncio.get_running_loop().create_future())
        try:
            member.link.command(Command(ident, 0, member.row.boot, "inspect"))
            async with asyncio.timeout(timeout_s):
                return await question.future
        except TimeoutError as error:
            raise Refusal("NO_ANSWER", f"{name} gave no answer in {timeout_s:g} s",
                          sinceMs=member.row.heard_ms) from error
        finally:
            del self.questions[ident]

    async def upstreams_of(self, name: str, timeout_s: float) -> list[dict[str, Any]]:
        return (await self.inspect(name, timeout_s)).upstreams

    @staticmethod
    def on_inspected(question: _Question, result: CommandResult) -> None:
        if question.future.done():
            return
        question.parts += result.data
        if result.status != "applied":
            question.future.set_exception(Refusal("REFUSED", result.detail))
        elif not result.more and result.report is not None:
            question.future.set_result(Inspection(result.report, question.parts))

    # What goes on by itself

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(min(0.25, self.fleet.lease_ms / 4000))
            self.fleet.sweep()

    async def keep_instances(self) -> None:
        """Writes what changed of the instances, and that the agent is alive; heartbeats are not written."""
        while True:
            await asyncio.sleep(min(0.5, self.store.term.lease_ms / 5_000 or 0.5))
            rows, now_ms = self.fleet.take_dirty(), self.now_ms()

            def work(records: Records, rows: list[Any] = rows, now_ms: int = now_ms) -> None:
                records.put_instances(rows)
                records.set_alive_ms(now_ms)

            try:
                await self.store.write(work)
                held_back, self.held_back = self.held_back, set()
                for name in held_back & self.fleet.members.keys():
                    self.on_connected(name)  # the term goes on: told again, by the same ids
            except StoreError as error:
                self.fleet.dirty.update(row.name for row in rows)
                self.log(f"instances not recorded: {error}")
                await asyncio.sleep(min(RETRY_S, self.store.term.lease_ms / 5_000 or RETRY_S))

    async def catch_up(self) -> None:
        """A process that came back without what its instance should run gets it, once."""
        while True:
            await asyncio.sleep(CATCH_UP_S)
            if self.permits.halt is not None:
                continue
            busy = {name for live in self.live.values() for name in live.index}
            behind: dict[int, list[str]] = {}
            for name, member in self.fleet.members.items():
                row = member.row
                mark = (name, row.boot, row.desired)
                if (row.generation != row.desired and member.link is not None and member.leased
                        and name not in busy and mark not in self.caught_up):
                    self.caught_up.add(mark)
                    behind.setdefault(row.desired, []).append(name)
            for generation, names in behind.items():
                try:
                    await self.overlay(generation)
                    await self.begin(AGENT, Kind.RECONFIGURE, names, Policy(), generation=generation)
                except (StoreError, Refusal) as error:
                    if isinstance(error, Refusal) and error.code == "NOT_FOUND":
                        # of an agent whose record is no more: told once, and left as it is
                        self.log(f"not caught up: {', '.join(names[:5])} should run generation {generation}: {error}")
                        continue
                    self.caught_up.difference_update(
                        (n, self.fleet.members[n].row.boot, generation) for n in names)
                    self.log(f"catching up waits: {error}")

    async def forget(self, actor: str, name: str, ended: bool) -> None:
        """Takes an instance that is no more off the record, and out of all counts. `ended`: the operator's word where
        its end is not known here. Raises Refusal or StoreError."""
        if name in self.permits.ledger.sights and name.startswith(f"{Of.UPSTREAM}/"):
            await self.forget_upstream(actor, name)
            return
        seen = self.fleet.seen(name)
        if seen is None:
            raise Refusal("NOT_FOUND", f"there is no instance {name!r}; see `ironscale ls`")
        if any(name in live.index for live in self.live.values()):
            raise Refusal("CONFLICT", f"{name} is in an open operation; see `ironscale ops`")
        if seen.supervised or (seen.connected and seen.leased):
            raise Refusal("CONFLICT", f"{name} is running; stop it first")
        if not seen.ended and not ended:
            raise Refusal("CONFLICT", f"{name} is silent, which is not known to be its end; --ended says it for you")

        def work(records: Records) -> None:
            records.forget_instance(name)
            records.audit(self.now_ms(), actor, "forget", name, "forgotten", {"word": "" if seen.ended else actor})

        def done(_: None) -> None:
            self.fleet.forget(name)
            self.permits.forget(name)
            self.notify()

        await self.store.write(work, done)
        done(None)

    async def forget_upstream(self, actor: str, key: str) -> None:
        if not self.permits.ledger.sights[key].why.startswith("not listed"):
            raise Refusal("CONFLICT", f"{key} is on sidecars' lists; it can be forgotten once it is gone there")
        await self.store.write(lambda records: records.audit(self.now_ms(), actor, "forget", key, "forgotten"))
        self.permits.ledger.forget(key)
        self.permits.wake.set()
        self.notify()

    async def overlay(self, generation: int) -> dict[str, Any]:
        if generation not in self.overlays:
            found = await self.store.read(lambda records: records.configuration(generation))
            if found is None:
                raise Refusal("NOT_FOUND", f"there is no generation {generation}")
            self.overlays[generation] = found.overlay
        return self.overlays[generation]

    # Views

    async def find(self, ident: int) -> tuple[Operation, list[Target]] | None:
        live = self.live.get(ident)
        if live is not None:
            return live.op, list(live.targets)

        def work(records: Records) -> tuple[Operation, list[Target]] | None:
            op = records.operation(ident)
            return (op, records.targets(ident)) if op is not None else None

        return await self.store.read(work)

    async def events(self, after: int, most: int) -> list[Event]:
        return await self.store.read(lambda records: records.events(after, most))
