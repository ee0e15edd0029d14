"""Carries out operations: asks the planner, records its plan, then sends the commands; takes in answers and reports."""

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
from ironscale.agent.model import OPEN_PHASES, Kind, Operation, OutgoingCommand, Phase, Plan, Policy, State, Target
from ironscale.agent.permits import Permits, permit_id
from ironscale.agent.publishing import Publisher, describe_earlier_use
from ironscale.agent.refusal import Refusal
from ironscale.agent.store import Configuration, Event, Records, Store, StoreError
from ironscale.agent.terms import Owner, clock_ms
from ironscale.agent.upstream_polling import UpstreamPoller
from ironscale.control.frames import FrameError, encode_frame
from ironscale.control.messages import Command, CommandResult, Report, serialize_message
from ironscale.disruption.model import Budget, Halt, Permit, UnitKind
from ironscale.disruption.releases import Decision

RETRY_S = 1.0  # delay after a failed write to the record
PAUSE_PER_ROUND = 1  # pause after a round, as a multiple of its duration, so that thousands of reports share one round
CATCH_UP_INTERVAL_S = 1.0
INSPECT_TIMEOUT_S = 5.0
AGENT = "agent"  # actor of what the agent does on its own


@dataclass(slots=True)
class LiveOperation:
    """An open operation in memory: its recorded state, and what has been received since."""

    op: Operation
    targets: list[Target]
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    changed_names: set[str] | None = None  # instances that may have reported something new; None = any
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    answers: deque[tuple[str, str, str, str]] = field(default_factory=deque)  # name, command, status, detail
    superseded: dict[str, int] = field(default_factory=dict)
    stalled: str = ""  # why it can't proceed at present
    waits_for: str = ""  # what it waits for: room in a budget, the end of a halt, or measured answers
    gate: Gate = field(default_factory=Gate)
    position_of: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.position_of = {target.name: i for i, target in enumerate(self.targets)}


@dataclass(frozen=True, slots=True)
class Inspection:
    report: Report
    upstreams: list[dict[str, Any]]


@dataclass(slots=True)
class _PendingInspection:
    future: asyncio.Future[Inspection]
    parts: list[dict[str, Any]] = field(default_factory=list)


class Engine:
    def __init__(self, store: Store, fleet: Fleet, now_ms: Callable[[], int],
                 log: Callable[[str], None], budgets: Sequence[Budget] = ()) -> None:
        self.store, self.fleet, self.now_ms, self.log = store, fleet, now_ms, log
        self.permits = Permits(budgets, store, fleet, now_ms, log)
        self.permits.on_budget_room, self.permits.notify, self.permits.inspect = (
            self.on_budget_room, self.notify, self.inspect)
        self.upstream_polling = UpstreamPoller(
            self.permits.ledger, fleet, self.upstreams_of, log, self.permits.wake.set
        )
        self.publisher = Publisher(store, now_ms, log, self.notify)
        self.live_operations: dict[int, LiveOperation] = {}
        self.overlays: dict[int, dict[str, Any]] = {0: {}}
        self.tasks: asyncio.TaskGroup | None = None
        self.restart_process: Callable[[OutgoingCommand], None] = lambda send: None  # set to the supervisor's method
        self.before_stop: Callable[[str], None] = lambda name: None  # called before a process is sent the stop command
        self.inspections: dict[str, _PendingInspection] = {}
        self.inspections_sent = 0
        self.catch_up_attempts: set[tuple[str, str, int]] = set()  # already tried: once for each process and generation
        self.watchers: set[asyncio.Event] = set()  # set when operations, instances or the audit log change
        self.crash_point: Callable[[str], None] = lambda where: None  # tests kill the process at these points
        self.held_back: set[str] = set()  # instances whose commands were not sent because the term had run out
        self.leader: Owner | None = None  # set while this agent only follows: the leader, as far as known
        self.record_read_ms = 0  # follower: when the record shown here was read, by `clock_ms`
        self.started_ms = now_ms()
        fleet.on_changed = self.on_changed
        fleet.on_connected = self.on_connected

    # Loading the record at startup

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
            # Restart the answer timeout: time without an agent, or a clock set back, must not count against instances.
            targets = [replace(t, sent_ms=self.now_ms()) if t.command else t for t in targets]
            self.adopt(op, targets)

    def adopt(self, op: Operation, targets: list[Target]) -> LiveOperation:
        """Starts driving a recorded operation; it supersedes the other open operations on the same instances."""
        for other in self.live_operations.values():
            other.superseded.update({t.name: op.id for t in targets if t.name in other.position_of})
            other.changed_names = None
            other.changed.set()
        self.permits.adopt(op, targets)
        live = self.live_operations[op.id] = LiveOperation(op, targets)
        if self.tasks is not None:
            self.tasks.create_task(self.drive(live))
        return live

    async def run(self) -> None:
        """Drives all operations until cancelled."""
        async with asyncio.TaskGroup() as self.tasks:
            for live in list(self.live_operations.values()):
                self.tasks.create_task(self.drive(live))
            self.tasks.create_task(self.sweep())
            self.tasks.create_task(self.record_instances())
            self.tasks.create_task(self.catch_up())
            self.tasks.create_task(self.permits.run(self.tasks))
            self.tasks.create_task(self.upstream_polling.run())
            self.tasks.create_task(self.publisher.run())

    # Events

    def notify(self) -> None:
        for watcher in self.watchers:
            watcher.set()

    def on_budget_room(self) -> None:
        """Wakes the operations that wait, as there may be room in a budget now."""
        for live in self.live_operations.values():
            if live.waits_for:
                live.changed.set()

    def on_changed(self, name: str) -> None:
        self.permits.update_instance(name)
        for live in self.live_operations.values():
            if name in live.position_of:
                if live.changed_names is not None:
                    live.changed_names.add(name)
                live.changed.set()
        self.notify()

    def on_connected(self, name: str) -> None:
        """Sends commands again, with the same ids, that a process may not have received before it reconnected."""
        member = self.fleet.members[name]
        for live in self.live_operations.values():
            position = live.position_of.get(name)
            target = live.targets[position] if position is not None else None
            if target is None or target.boot != member.row.boot or name in live.superseded:
                continue
            waiting = target.state in (State.UNDER_WAY, State.NO_ANSWER) and target.command
            if waiting and (target.restarting or not target.answered):
                generation = target.from_generation if target.reverting else live.op.generation
                kind = "restart" if target.restarting else live.op.kind.value
                self.send_command(OutgoingCommand(target.command, name, target.boot, live.op.fence, kind, generation))

    def on_result(self, name: str, boot: str, result: CommandResult) -> None:
        question = self.inspections.get(result.id)
        if question is not None:
            self.on_inspected(question, result)
            return
        ident = result.id.partition(".")[0]
        live = self.live_operations.get(int(ident)) if ident.isascii() and ident.isdecimal() else None
        position = live.position_of.get(name) if live is not None else None
        # An instance must not be able to answer for another one, or a command that it was never sent.
        if live is not None and position is not None and (
                (live.targets[position].boot, live.targets[position].command) == (boot, result.id)):
            live.answers.append((name, result.id, result.status, result.detail))
            live.changed.set()

    # Operations

    async def drive(self, live: LiveOperation) -> None:
        """Runs rounds of an operation until it has ended. Faults and failed writes are retried."""
        while live.op.phase in OPEN_PHASES:
            live.changed.clear()
            try:
                async with live.lock:
                    start_s = time.monotonic()
                    more, wake_ms = await self.plan_round(live)
                    took_s = time.monotonic() - start_s
            except StoreError as error:
                # Nothing was sent that was not recorded, so instances and their traffic are not affected.
                if live.stalled != str(error):
                    self.log(f"operation {live.op.id} waits: {error}")
                live.stalled = str(error)
                self.notify()
                await asyncio.sleep(RETRY_S)
                continue
            except Exception:
                # Without this, an operation that runs into a bug would crash this agent and every agent after it.
                self.log(f"operation {live.op.id}: unexpected error in the agent\n{traceback.format_exc()}")
                live.stalled, live.changed_names = "unexpected error in the agent; see its log", None
                self.notify()
                await asyncio.sleep(RETRY_S)
                continue
            live.stalled = ""
            if more:
                continue
            await asyncio.sleep(min(0.5, PAUSE_PER_ROUND * took_s))
            wait_s = None if wake_ms is None else max(0.001, (wake_ms - self.now_ms()) / 1000)
            try:
                async with asyncio.timeout(wait_s):
                    await live.changed.wait()
            except TimeoutError:
                pass
        self.live_operations.pop(live.op.id, None)
        self.permits.ledger.dequeue(f"operation {live.op.id}")
        self.notify()

    async def plan_round(self, live: LiveOperation) -> tuple[bool, int | None]:
        """One planning round: records the changes, then sends the commands. Returns whether another round is due at
        once, and otherwise when the next is due."""
        op, targets = live.op, list(live.targets)
        answers_taken, names = len(live.answers), live.changed_names
        live.changed_names = set()
        for name, command, status, detail in list(live.answers):
            position = live.position_of[name]
            if names is not None:
                names.add(name)
            targets[position] = planner.take_answer(op, targets[position], command, status, detail)
        before: dict[int, Permit | None] = {}  # former state of the permits that this round reserves

        def check_permit(target: Target) -> str:
            ident, known = permit_id(op, target), self.permits.ledger.permits
            former = known.get(ident)
            problem = "" if op.kind is Kind.UNDRAIN else self.permits.reserve(
                op, target, op.phase is Phase.ROLLING_BACK)
            if known.get(ident) is not former:
                before[ident] = former
            return problem

        def check_gate(targets: Sequence[Target], first: int) -> tuple[str, bool]:
            found = live.gate.verdict(op.policy, targets, first, self.fleet, clock_ms())
            return ("", False) if found.decision is Decision.GO else (found.text, found.decision is Decision.BREACH)

        plan = planner.advance(op, targets, self.fleet, self.now_ms(), live.superseded, names, check_permit, check_gate)
        live.waits_for = plan.waits_for
        if not plan.waits_for:
            self.permits.ledger.dequeue(f"operation {op.id}")
        for target in plan.targets:
            targets[target.position] = target
        changed = {after.name: after for before, after in zip(live.targets, targets, strict=True)
                   if after is not before and after != before}
        if not changed and plan.phase is None and not plan.rollback:
            for _ in range(answers_taken):
                live.answers.popleft()
            return False, plan.wake_ms
        desired = self.desired_generations(op, changed.values())
        has_ended = plan.phase is not None and plan.phase not in OPEN_PHASES
        permits = {ident: self.permits.ledger.permits[ident] for ident in before}
        permits |= {p.id: p for p in self.permits.returned_permits(
            op, targets if has_ended else changed.values(), has_ended)}

        def recorded(new_op: Operation) -> None:
            self.fleet.set_desired(desired)
            for _ in range(answers_taken):
                live.answers.popleft()
            for target in changed.values():
                live.targets[target.position] = target
            live.op = new_op
            self.permits.put(permits.values())
            live.changed.set()
            self.notify()
            for send in plan.commands:
                self.crash_point("before a send")
                self.send_command(send)
                self.crash_point("after a send")

        try:
            recorded(await self.record_plan(
                op, list(changed.values()), plan, desired, list(permits.values()), recorded))
        except Exception as error:
            live.changed_names = None  # the reports of this round were not processed: look at all again
            self.permits.restore(before, not (isinstance(error, StoreError) and error.code == "UNKNOWN"))
            raise
        return True, None

    async def record_plan(self, op: Operation, changed: list[Target], plan: Plan, desired: list[tuple[str, int]],
                          permits: list[Permit], late: Callable[[Operation], None]) -> Operation:
        now_ms = self.now_ms()

        def work(records: Records) -> Operation:
            new = op
            if plan.rollback:
                new = replace(op, phase=Phase.ROLLING_BACK, fence=records.next_fence(), note=plan.note)
            elif plan.phase is not None:
                ended_ms = 0 if plan.phase in OPEN_PHASES else now_ms
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

        self.crash_point("before a commit")
        new = await self.store.write(work, late)
        self.crash_point("after a commit")
        return new

    @staticmethod
    def desired_generations(op: Operation, changed: Iterable[Target]) -> list[tuple[str, int]]:
        """The generation that each instance should run from now on, also after a restart, by its target's state."""
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
        """Whether, by this machine's clock alone, it is certain that no other agent has claimed the record."""
        return self.leader is None and self.store.term.is_held(clock_ms())

    def send_command(self, send: OutgoingCommand) -> None:
        """Sends a recorded command if this agent still leads. The term is checked last, as the process may have been
        suspended since it wrote the record. A command that leaves a moment too late even so is in the record, so the
        next leader accounts for it."""
        if not self.leads():
            self.held_back.add(send.name)
            return
        if send.kind == "restart":
            self.restart_process(send)
            return
        member = self.fleet.members.get(send.name)
        if member is None or member.link is None or member.row.boot != send.boot:
            return  # sent again when it reconnects; if it does not, its lease runs out
        args: dict[str, Any] = {}
        if send.kind == Kind.STOP:
            self.before_stop(send.name)
        if send.kind == Kind.RECONFIGURE:
            args = {"generation": send.generation, "overlay": self.overlays.get(send.generation, {})}
        member.link.command(Command(send.id, send.fence, send.boot, send.kind, args))

    async def begin(self, actor: str, kind: Kind, names: Sequence[str], policy: Policy, *, key: str = "",
                    overlay: dict[str, Any] | None = None, expect: int | None = None, generation: int = 0,
                    supersede: bool = False) -> tuple[Operation, bool]:
        """Records a new operation and starts it. Returns it with True, or with False if an earlier call with the same
        idempotency key created it.

        With an `overlay` it creates the next generation, provided the current one is `expect`: of two operators who
        saw the same generation exactly one succeeds. Raises Refusal or StoreError if nothing was done; but after a
        StoreError UNKNOWN the operation may have been recorded, and then it proceeds once that is known.
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
                self.check_generation(records, expect, overlay)
            self.check_conflicts(records, set(names), supersede)
            ident, fence = records.next_operation(), records.next_fence()
            made = records.current_generation() + 1 if overlay is not None else generation
            op = Operation(ident, kind, fence, Phase.RUNNING, actor, policy, made, {"supersede": supersede},
                           "", now_ms)
            targets = [Target(name, place) for place, name in enumerate(names)]
            # Without these rows, an agent killed right after this would not know the targets when it starts again.
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

        def on_recorded(found: tuple[Operation, list[Target] | None]) -> None:
            op, targets = found
            if targets is None:
                return
            if overlay is not None:
                self.overlays[op.generation] = overlay
            self.adopt(op, targets)
            self.notify()

        self.crash_point("before the beginning")
        found = await self.store.write(work, on_recorded)
        self.crash_point("after the beginning")
        on_recorded(found)
        return found[0], found[1] is not None

    @staticmethod
    def check_size(overlay: dict[str, Any]) -> None:
        """Refuses an overlay that exceeds a frame, as no target could be sent it and none would answer."""
        args = {"generation": 2**53, "overlay": overlay}
        command = Command("0" * 40, 2**53, "0" * 64, Kind.RECONFIGURE, args)
        try:
            encode_frame(serialize_message(command))
        except FrameError as error:
            raise Refusal("BAD_INPUT", f"overlay: {error}") from error
        except ValueError as error:
            raise Refusal("BAD_INPUT", f"overlay: expected numbers that JSON has, got {error}") from error

    @staticmethod
    def check_generation(records: Records, expect: int | None, overlay: dict[str, Any]) -> None:
        """Raises Refusal unless `expect` is the current generation."""
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

    def check_conflicts(self, records: Records, names: set[str], supersede: bool) -> None:
        """Refuses the new operation if an open one has the same instances, unless it is to supersede that one."""
        if supersede:
            return
        for op in records.operations(2**62, 10_000, open_only=True):
            if op.actor == AGENT:
                continue  # the agent's own catching up gives way to operators
            shared = names & {target.name for target in records.targets(op.id)
                              if target.state is not State.SUPERSEDED}
            if shared:
                raise Refusal(
                    "CONFLICT",
                    f"operation {op.id} ({op.kind}) of {op.actor} has {len(shared)} of these instances, "
                    f"{min(shared)} among them; wait for it, abort it, or supersede it", operation=op.id,
                    actor=op.actor, atMs=op.created_ms, instances=sorted(shared)[:20])

    async def control(self, actor: str, ident: int, action: str, urgent: bool = False) -> Operation:
        """Pauses, resumes, aborts or rolls back an open operation. `urgent`: roll back without waiting for room in a
        budget. Idempotent. Raises Refusal."""
        live = self.live_operations.get(ident)
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
            # Resuming after failures means that the operator has seen them: no number of failures stops it again.
            policy = replace(op.policy, max_failures=len(live.targets)) if action == "resume" else op.policy
            policy = replace(policy, urgent=policy.urgent or urgent)
            note = f"{action} by {actor}" if wanted is Phase.ROLLING_BACK else ""

            def work(records: Records) -> Operation:
                starts_rollback = wanted is Phase.ROLLING_BACK and op.phase is not wanted
                fence = records.next_fence() if starts_rollback else op.fence
                new = replace(op, phase=wanted, fence=fence, policy=policy, note=note)
                records.put_operation(new)
                records.audit(now_ms, actor, action, f"operation {ident}", str(wanted))
                return new

            def on_recorded(new: Operation) -> None:
                live.op = new
                live.changed_names = None
                live.changed.set()
                self.notify()

            on_recorded(await self.store.write(work, on_recorded))
            return live.op

    # Inspection of instances

    async def inspect(self, name: str, timeout_s: float = INSPECT_TIMEOUT_S) -> Inspection:
        """Queries a process for its present state. Raises Refusal, with the time when it was last heard from."""
        member = self.fleet.members.get(name)
        if member is None:
            raise Refusal("NOT_FOUND", f"there is no instance {name!r}; see `ironscale ls`")
        if member.link is None or not member.leased:
            raise Refusal("NO_ANSWER", f"{name} is not connected", sinceMs=member.row.heard_ms)
        self.inspections_sent += 1
        ident = f"q{self.started_ms}.{self.inspections_sent}"
        question = self.inspections[ident] = _PendingInspection(asyncio.get_running_loop().create_future())
        try:
            member.link.command(Command(ident, 0, member.row.boot, "inspect"))
            async with asyncio.timeout(timeout_s):
                return await question.future
        except TimeoutError as error:
            raise Refusal("NO_ANSWER", f"{name} gave no answer in {timeout_s:g} s",
                          sinceMs=member.row.heard_ms) from error
        finally:
            del self.inspections[ident]

    async def upstreams_of(self, name: str, timeout_s: float) -> list[dict[str, Any]]:
        return (await self.inspect(name, timeout_s)).upstreams

    @staticmethod
    def on_inspected(question: _PendingInspection, result: CommandResult) -> None:
        if question.future.done():
            return
        question.parts += result.data
        if result.status != "applied":
            question.future.set_exception(Refusal("REFUSED", result.detail))
        elif not result.more and result.report is not None:
            question.future.set_result(Inspection(result.report, question.parts))

    # Background tasks

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(min(0.25, self.fleet.lease_ms / 4000))
            self.fleet.sweep()

    async def record_instances(self) -> None:
        """Periodically records changed instances and that the agent is alive. Heartbeats alone are not written."""
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
                    self.on_connected(name)  # the term was renewed: send again with the same ids
            except StoreError as error:
                self.fleet.dirty.update(row.name for row in rows)
                self.log(f"could not record changed instances: {error}")
                await asyncio.sleep(min(RETRY_S, self.store.term.lease_ms / 5_000 or RETRY_S))

    async def catch_up(self) -> None:
        """Reconfigures, once each, processes that connected with another generation than their instance should run."""
        while True:
            await asyncio.sleep(CATCH_UP_INTERVAL_S)
            if self.permits.halt is not None:
                continue
            busy = {name for live in self.live_operations.values() for name in live.position_of}
            behind: dict[int, list[str]] = {}
            for name, member in self.fleet.members.items():
                row = member.row
                attempt = (name, row.boot, row.desired)
                if (row.generation != row.desired and member.link is not None and member.leased
                        and name not in busy and attempt not in self.catch_up_attempts):
                    self.catch_up_attempts.add(attempt)
                    behind.setdefault(row.desired, []).append(name)
            for generation, names in behind.items():
                try:
                    await self.overlay(generation)
                    await self.begin(AGENT, Kind.RECONFIGURE, names, Policy(), generation=generation)
                except (StoreError, Refusal) as error:
                    if isinstance(error, Refusal) and error.code == "NOT_FOUND":
                        # The generation is from an agent whose record is lost: log once, leave the instance alone.
                        self.log(f"not caught up: {', '.join(names[:5])} should run generation {generation}: {error}")
                        continue
                    self.catch_up_attempts.difference_update(
                        (n, self.fleet.members[n].row.boot, generation) for n in names)
                    self.log(f"catching up will be retried: {error}")

    async def forget(self, actor: str, name: str, ended: bool) -> None:
        """Removes an instance that no longer exists from the record and from all counts. `ended`: the operator confirms
        that its process has ended, for the case that the agent doesn't know. Raises Refusal or StoreError."""
        if name in self.permits.ledger.observations and name.startswith(f"{UnitKind.UPSTREAM}/"):
            await self.forget_upstream(actor, name)
            return
        seen = self.fleet.observe(name)
        if seen is None:
            raise Refusal("NOT_FOUND", f"there is no instance {name!r}; see `ironscale ls`")
        if any(name in live.position_of for live in self.live_operations.values()):
            raise Refusal("CONFLICT", f"{name} is in an open operation; see `ironscale ops`")
        if seen.supervised or (seen.connected and seen.leased):
            raise Refusal("CONFLICT", f"{name} is running; stop it first")
        if not seen.ended and not ended:
            raise Refusal("CONFLICT", f"{name} is silent, but not known to have ended; confirm that with --ended")

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
        if not self.permits.ledger.observations[key].reason.startswith("not listed"):
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
        live = self.live_operations.get(ident)
        if live is not None:
            return live.op, list(live.targets)

        def work(records: Records) -> tuple[Operation, list[Target]] | None:
            op = records.operation(ident)
            return (op, records.targets(ident)) if op is not None else None

        return await self.store.read(work)

    async def events(self, after: int, most: int) -> list[Event]:
        return await self.store.read(lambda records: records.events(after, most))
