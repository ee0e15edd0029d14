"""The planner: next steps of an operation, and a property-based test with faulty processes and connections."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from ironscale.agent import planner
from ironscale.agent.model import (
    OPEN_PHASES,
    Kind,
    Observation,
    Operation,
    OutgoingCommand,
    Phase,
    Policy,
    State,
    Target,
)
from ironscale.control.commands import CommandDeduplicator
from ironscale.control.messages import Command, CommandResult

T0 = 1_000_000


def operation(kind: Kind = Kind.RECONFIGURE, **policy: object) -> Operation:
    return Operation(1, kind, 10, Phase.RUNNING, "ann", Policy(**policy), generation=5)  # type: ignore[arg-type]


def seen(name: str, **changes: object) -> Observation:
    values: dict[str, object] = {"boot": f"{name}-1", "leased": True, "connected": True, "heard_ms": T0 - 5,
                                 "generation": 4, "ready": True, **changes}
    return Observation(name, **values)  # type: ignore[arg-type]


class PlannerRun:
    """An operation, its targets and the observations of them; each `step` plans until nothing changes."""

    def __init__(self, op: Operation, count: int = 3) -> None:
        self.op = op
        names = [f"i{n}" for n in range(count)]
        self.targets = [Target(name, place) for place, name in enumerate(names)]
        self.fleet = {name: seen(name) for name in names}
        self.superseded: dict[str, int] = {}
        self.now_ms = T0
        self.looked: tuple[object, ...] = ()
        self.shown: dict[str, Observation] = {}
        self.touched: set[str] = set()

    def changed(self) -> set[str] | None:
        """The names that the engine would pass: of instances that report something else than at the last step."""
        now = {name: replace(one, heard_ms=0) for name, one in self.fleet.items()}
        names = {name for name in now if now[name] != self.shown.get(name)} | self.touched
        looked = (self.op, dict(self.superseded))
        known = looked == self.looked
        self.shown, self.looked, self.touched = now, looked, set()
        return names if known else None

    def step(self) -> list[OutgoingCommand]:
        """Plans until nothing changes; returns the commands to send."""
        sends: list[OutgoingCommand] = []
        for _ in range(50):
            plan = planner.advance(self.op, self.targets, self.fleet, self.now_ms, self.superseded)
            less = planner.advance(self.op, self.targets, self.fleet, self.now_ms, self.superseded, self.changed())
            assert less == plan  # skipping unchanged targets gives the same plan
            for target in plan.targets:
                self.targets[target.position] = target
            sends += plan.commands
            if plan.rollback:
                self.op = replace(self.op, phase=Phase.ROLLING_BACK, fence=self.op.fence + 1, note=plan.note)
            elif plan.phase is not None:
                self.op = replace(self.op, phase=plan.phase, note=plan.note)
            elif not plan.targets:
                return sends
        raise AssertionError("the planner keeps planning new steps")

    def answer(self, send: OutgoingCommand, status: str = "applied", detail: str = "") -> None:
        place = next(t.position for t in self.targets if t.name == send.name)
        self.touched.add(send.name)
        self.targets[place] = planner.take_answer(self.op, self.targets[place], send.id, status, detail)

    def show(self, name: str, **changes: object) -> None:
        self.fleet[name] = replace(self.fleet[name], **changes)  # type: ignore[arg-type]

    def apply(self, send: OutgoingCommand) -> None:
        self.answer(send)
        self.show(send.name, generation=send.generation, fence=send.fence)

    def phase(self) -> Phase:
        return self.op.phase

    def states(self) -> list[State]:
        return [target.state for target in self.targets]


def test_succeeds_only_when_a_report_of_every_target_confirms_it() -> None:
    run = PlannerRun(operation())
    sends = run.step()
    assert [send.name for send in sends] == ["i0", "i1", "i2"]
    for send in sends[:2]:
        run.apply(send)
    run.answer(sends[2])  # answers "applied", but reports another generation
    assert run.step() == [] and run.phase() is Phase.RUNNING
    run.show("i2", generation=5, fence=10)
    run.step()
    assert run.phase() is Phase.SUCCEEDED and set(run.states()) == {State.APPLIED}


def test_state_reported_under_an_older_fence_does_not_count() -> None:
    run = PlannerRun(operation(Kind.DRAIN), 1)
    run.show("i0", draining=True, fence=9)  # by a former operation, whose undrain may still arrive
    run.step()
    assert run.states() == [State.UNDER_WAY]
    run.show("i0", fence=10)
    run.step()
    assert run.phase() is Phase.SUCCEEDED


def test_generation_reported_under_an_older_fence_does_not_count() -> None:
    """A command of the former operation may still arrive and change the generation again."""
    run = PlannerRun(operation(), 1)
    run.show("i0", generation=5, fence=9)
    run.step()
    assert run.states() == [State.UNDER_WAY]
    run.show("i0", fence=10)
    run.step()
    assert run.phase() is Phase.SUCCEEDED


def test_target_that_answers_applied_without_a_confirming_report_fails() -> None:
    run = PlannerRun(operation(answer_ms=1_000), 1)
    run.answer(run.step()[0])
    run.now_ms += 1_000
    run.step()
    assert run.states() == [State.FAILED] and run.phase() is Phase.PARTIAL
    assert "runs generation 4" in run.targets[0].detail


def test_heartbeats_alone_do_not_count_as_an_answer() -> None:
    run = PlannerRun(operation(answer_ms=1_000), 1)
    run.step()
    run.now_ms += 999
    run.step()
    assert run.states() == [State.UNDER_WAY]
    run.now_ms += 1
    run.step()
    assert run.states() == [State.NO_ANSWER] and run.targets[0].since_ms == T0 - 5
    assert run.phase() is Phase.PARTIAL


def test_lost_targets_are_reported_as_no_answer_or_gone() -> None:
    run = PlannerRun(operation(), 4)
    sends = run.step()
    for send in sends[:2]:
        run.apply(send)
    run.show("i2", leased=False, connected=False)
    run.show("i3", leased=False, connected=False, ended="signal 9")
    run.step()
    assert run.phase() is Phase.PARTIAL
    assert run.states() == [State.APPLIED, State.APPLIED, State.NO_ANSWER, State.GONE]
    assert run.targets[3].detail == "signal 9"


def test_target_without_a_lease_at_the_start_is_reported_as_not_connected() -> None:
    run = PlannerRun(operation(), 2)
    run.show("i1", leased=False, connected=False)
    sends = run.step()
    assert [send.name for send in sends] == ["i0"] and run.targets[1].state is State.NO_ANSWER
    assert run.targets[1].detail == "not connected" and run.targets[1].since_ms == T0 - 5


def test_waits_for_a_disconnected_target_while_its_lease_is_valid() -> None:
    run = PlannerRun(operation(), 1)
    run.show("i0", connected=False)
    assert run.step() == [] and run.states() == [State.NOT_STARTED] and run.phase() is Phase.RUNNING
    run.show("i0", connected=True)
    assert len(run.step()) == 1


def test_restarted_process_is_commanded_again() -> None:
    run = PlannerRun(operation(), 1)
    first = run.step()[0]
    run.answer(first)
    run.show("i0", boot="i0-2")
    again = run.step()
    assert len(again) == 1 and again[0].boot == "i0-2" and again[0].id != first.id
    run.apply(again[0])
    run.step()
    assert run.phase() is Phase.SUCCEEDED and run.targets[0].boot == "i0-2"


def test_restarted_process_is_commanded_again_after_it_had_applied() -> None:
    run = PlannerRun(operation(), 2)
    sends = run.step()
    run.apply(sends[0])
    run.step()
    assert run.states() == [State.APPLIED, State.UNDER_WAY]
    run.show("i0", boot="i0-2", generation=4, fence=0)
    again = run.step()
    assert [send.boot for send in again] == ["i0-2"]


def test_target_that_keeps_restarting_fails() -> None:
    run = PlannerRun(operation(tries=3), 1)
    run.step()
    for boot in range(2, 5):
        run.show("i0", boot=f"i0-{boot}")
        run.step()
    assert run.states() == [State.FAILED] and "restarted 3 times" in run.targets[0].detail


def test_applied_target_that_dies_before_the_end_is_gone() -> None:
    run = PlannerRun(operation(), 2)
    run.apply(run.step()[0])
    run.step()
    run.show("i0", leased=False, ended="signal 9")
    run.step()
    assert run.targets[0].state is State.GONE and run.targets[0].detail == "had applied; signal 9"


def test_recorded_state_after_an_agent_restart_does_not_undo_applied() -> None:
    run = PlannerRun(operation(), 2)
    run.apply(run.step()[0])
    run.step()
    run.show("i0", has_reported=False, generation=4, fence=0)
    run.step()
    assert run.states()[0] is State.APPLIED
    run.show("i0", has_reported=True)
    run.step()
    assert run.states()[0] is State.FAILED and "runs generation 4" in run.targets[0].detail


def test_target_that_refused_while_shutting_down_is_gone_and_its_successor_is_commanded() -> None:
    run = PlannerRun(operation(max_failures=2), 2)
    run.answer(run.step()[0], "refused", "the process is ending")
    run.step()
    assert run.states()[0] is State.REFUSED
    run.show("i0", leased=False, ended="exit 0")
    run.step()
    assert run.targets[0].state is State.GONE
    assert run.targets[0].detail == "refused: the process is ending; exit 0"
    run.show("i0", leased=True, ended="", boot="i0-2")
    assert [send.boot for send in run.step()] == ["i0-2"]


# Guards against a command while the policy's number is out already, as the target that is out comes after it.
@pytest.mark.parametrize("dead", range(3))
@pytest.mark.parametrize("ended", ["signal 9", ""])
def test_a_dead_target_counts_before_the_first_command_wherever_it_stands(dead: int, ended: str) -> None:
    run = PlannerRun(operation(max_unavailable=1), 3)
    run.show(f"i{dead}", connected=False, leased=False, ended=ended)
    assert not run.step()
    assert run.op.phase is not Phase.RUNNING
    allowed = PlannerRun(operation(max_unavailable=2), 3)
    allowed.show(f"i{dead}", connected=False, leased=False, ended=ended)
    assert len(allowed.step()) == 1


def test_waves_run_in_order_within_max_unavailable() -> None:
    run = PlannerRun(operation(wave=2, max_unavailable=1), 4)
    order = []
    for _ in range(4):
        sends = run.step()
        assert len(sends) == 1 and run.states().count(State.UNDER_WAY) == 1
        order.append(sends[0].name)
        run.apply(sends[0])
    run.step()
    assert order == ["i0", "i1", "i2", "i3"] and run.phase() is Phase.SUCCEEDED


def test_no_more_targets_start_after_too_many_failures() -> None:
    run = PlannerRun(operation(wave=1, max_failures=1), 5)
    run.answer(run.step()[0], "refused", "bad settings")
    run.answer(run.step()[0], "failed", "a bug")
    run.step()
    assert run.phase() is Phase.PARTIAL and run.op.note == "2 failed, 1 allowed"
    assert run.states() == [State.REFUSED, State.FAILED, *[State.NOT_STARTED] * 3]


def test_on_failure_pause_waits_until_resumed() -> None:
    run = PlannerRun(operation(wave=1, on_failure="pause"), 2)
    run.answer(run.step()[0], "refused", "no")
    assert run.step() == [] and run.phase() is Phase.PAUSED
    run.op = replace(run.op, phase=Phase.RUNNING, policy=replace(run.op.policy, max_failures=2))
    assert [send.name for send in run.step()] == ["i1"]


def test_on_failure_rollback_reverts_every_commanded_target() -> None:
    run = PlannerRun(operation(wave=2, on_failure="rollback"), 4)
    sends = run.step()
    run.apply(sends[0])
    run.answer(sends[1], "failed", "half way through")
    back = run.step()
    assert run.phase() is Phase.ROLLING_BACK
    assert [(s.name, s.generation, s.fence) for s in back] == [("i0", 4, 11), ("i1", 4, 11)]
    assert {send.id for send in back}.isdisjoint({send.id for send in sends})
    for send in back:
        run.apply(send)
    run.step()
    assert run.phase() is Phase.ROLLED_BACK
    assert run.states() == [State.REVERTED, State.REVERTED, State.NOT_STARTED, State.NOT_STARTED]


def test_unconfirmed_rollback_ends_as_partial() -> None:
    run = PlannerRun(operation(on_failure="rollback", answer_ms=1_000), 2)
    sends = run.step()
    run.apply(sends[0])
    run.answer(sends[1], "refused", "no")
    run.step()
    run.show("i0", leased=False)
    run.step()
    assert run.phase() is Phase.PARTIAL and "the roll-back is not complete" in run.op.note
    assert run.states() == [State.NO_ANSWER, State.REFUSED]


def test_target_that_needs_a_restart_is_restarted_if_supervised() -> None:
    run = PlannerRun(operation(), 2)
    run.show("i0", supervised=True)
    sends = run.step()
    for send in sends:
        run.answer(send, "needs restart", "listen")
    restarts = run.step()
    assert [(s.name, s.kind, s.generation) for s in restarts] == [("i0", "restart", 5)]
    assert run.states() == [State.UNDER_WAY, State.REFUSED] and "not started by this agent" in run.targets[1].detail
    run.show("i0", boot="i0-2", generation=5, ready=False)
    run.step()
    assert run.states()[0] is State.UNDER_WAY  # not before it is ready
    run.show("i0", ready=True)
    run.step()
    assert run.states()[0] is State.APPLIED


def test_newer_operation_supersedes_its_targets() -> None:
    run = PlannerRun(operation(wave=1), 3)
    run.step()
    run.superseded = {"i0": 2, "i1": 2}
    sends = run.step()
    assert run.states()[:2] == [State.SUPERSEDED] * 2 and [send.name for send in sends] == ["i2"]
    assert run.targets[0].detail == "operation 2 has it"


def test_stop_is_confirmed_by_the_end_of_the_process() -> None:
    run = PlannerRun(operation(Kind.STOP), 3)
    for send in run.step():
        run.answer(send)
    run.show("i0", leased=False, ended="exit 0")
    run.show("i1", leased=False)  # silent: may still be running
    run.show("i2", boot="i2-2")
    run.step()
    assert run.states() == [State.APPLIED, State.NO_ANSWER, State.APPLIED]
    assert run.targets[0].detail == "exit 0"


def test_drain_waits_for_open_requests() -> None:
    run = PlannerRun(operation(Kind.DRAIN, answer_ms=1_000), 1)
    run.answer(run.step()[0])
    run.show("i0", draining=True, fence=10, open=3)
    run.step()
    assert run.states() == [State.UNDER_WAY]
    run.now_ms += 1_000
    run.step()
    assert run.states() == [State.FAILED] and "3 requests still open" in run.targets[0].detail


def test_answer_to_an_earlier_command_is_ignored() -> None:
    run = PlannerRun(operation(), 1)
    first = run.step()[0]
    run.show("i0", boot="i0-2")
    run.step()
    before = run.targets[0]
    run.answer(first, "refused", "late")
    assert run.targets[0] == before


@pytest.mark.parametrize("kind", list(Kind))
def test_an_operation_that_has_ended_does_nothing(kind: Kind) -> None:
    for phase in Phase:
        if phase not in OPEN_PHASES:
            op = replace(operation(kind), phase=phase)
            plan = planner.advance(op, [Target("i0", 0)], {"i0": seen("i0")}, T0, {})
            assert not plan.targets and not plan.commands and plan.phase is None


# Property-based test with faulty processes and connections


@dataclass
class Process:
    """The actual state of an instance, whatever the agent assumes."""

    boot: int = 1
    alive: bool = True
    reachable: bool = True
    generation: int = 4
    commands: CommandDeduplicator = field(default_factory=lambda: CommandDeduplicator("1"))
    done: list[str] = field(default_factory=list)


class FaultyWorld(RuleBasedStateMachine):
    """Commands and answers get lost, duplicated or delayed; processes die, restart or become silent; the agent dies."""

    def __init__(self) -> None:
        super().__init__()
        self.everything_done: list[tuple[str, int, str]] = []

    @initialize(count=st.integers(1, 6), wave=st.integers(0, 3), unavailable=st.integers(0, 3),
                failures=st.integers(0, 6), on_failure=st.sampled_from(["stop", "pause", "rollback"]))
    def begin(self, count: int, wave: int, unavailable: int, failures: int, on_failure: str) -> None:
        self.run_ = PlannerRun(operation(wave=wave, max_unavailable=unavailable, max_failures=failures,
                                         on_failure=on_failure, answer_ms=5_000), count)
        self.names = list(self.run_.fleet)
        self.processes = {name: Process() for name in self.names}
        self.wires: list[OutgoingCommand] = []
        self.answers: list[tuple[OutgoingCommand, CommandResult]] = []
        self.look()

    def look(self) -> None:
        for name, process in self.processes.items():
            if process.alive and process.reachable:
                self.run_.fleet[name] = Observation(name, str(process.boot), True, True, self.run_.now_ms,
                                                    process.generation, process.commands.fence, True)
        before = self.run_.states()
        sends = self.run_.step()
        self.wires += sends
        policy = self.run_.op.policy
        if sends and self.run_.op.phase is Phase.RUNNING and policy.max_unavailable:
            out = sum(state in planner.UNAVAILABLE for state in self.run_.states())
            fresh = sum(state in planner.UNAVAILABLE for state in before)
            assert out <= max(policy.max_unavailable, fresh) + sum(
                state is State.NO_ANSWER for state in self.run_.states())

    def some(self, data: st.DataObject, items: list[object]) -> int:
        return data.draw(st.integers(0, len(items) - 1))

    @precondition(lambda self: self.wires)
    @rule(data=st.data(), again=st.booleans())
    def deliver(self, data: st.DataObject, again: bool) -> None:
        place = self.some(data, list(self.wires))
        send = self.wires[place] if again else self.wires.pop(place)
        process = self.processes[send.name]
        if not process.alive or not process.reachable:
            return
        admitted, answer = process.commands.admit(Command(send.id, send.fence, send.boot, send.kind))
        if admitted:
            process.generation = send.generation
            self.everything_done.append((send.name, process.boot, send.id))
            answer = CommandResult(send.id, "applied", "")
            process.commands.record_result(answer)
        if answer is not None:
            self.answers.append((send, answer))

    @precondition(lambda self: self.wires)
    @rule(data=st.data())
    def lose_command(self, data: st.DataObject) -> None:
        self.wires.pop(self.some(data, list(self.wires)))

    @precondition(lambda self: self.answers)
    @rule(data=st.data(), again=st.booleans())
    def hear(self, data: st.DataObject, again: bool) -> None:
        place = self.some(data, list(self.answers))
        send, answer = self.answers[place] if again else self.answers.pop(place)
        self.run_.answer(send, answer.status, answer.detail)
        self.look()

    @rule(data=st.data())
    def die(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(self.names))
        self.processes[name].alive = False
        known = data.draw(st.booleans())
        self.run_.show(name, connected=False, leased=False, ended="signal 9" if known else "")
        self.look()

    @rule(data=st.data())
    def restart(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(self.names))
        boot = self.processes[name].boot + 1
        self.processes[name] = Process(boot, commands=CommandDeduplicator(str(boot)))
        self.look()

    @rule(data=st.data(), back=st.booleans())
    def silence(self, data: st.DataObject, back: bool) -> None:
        name = data.draw(st.sampled_from(self.names))
        if not self.processes[name].alive:
            return
        self.processes[name].reachable = back
        if not back:
            self.run_.show(name, connected=False, leased=data.draw(st.booleans()))
        else:
            self.resend(name)
        self.look()

    @rule(by_ms=st.integers(1, 6_000))
    def pass_time(self, by_ms: int) -> None:
        self.run_.now_ms += by_ms
        self.look()

    @rule()
    def agent_dies(self) -> None:
        """Recorded state stays, commands in flight are lost, and commands of targets under way are sent again."""
        self.wires.clear()
        self.run_.targets = [replace(t, sent_ms=self.run_.now_ms) if t.command else t for t in self.run_.targets]
        self.run_.looked = ()
        for name in self.names:  # the recorded instances may be older than the recorded targets
            self.run_.show(name, has_reported=False, generation=4, fence=0, ready=False)
        self.wires += self.run_.step()
        for name in self.names:
            self.resend(name)
        self.look()

    def resend(self, name: str) -> None:
        for target in self.run_.targets:
            if (target.name == name and target.command and not target.answered
                    and target.state in (State.UNDER_WAY, State.NO_ANSWER)):
                generation = target.from_generation if target.reverting else self.run_.op.generation
                self.wires.append(OutgoingCommand(target.command, name, target.boot, self.run_.op.fence, "reconfigure",
                                                  generation))

    @rule(action=st.sampled_from(["pause", "resume", "abort", "rollback"]))
    def steer(self, action: str) -> None:
        op = self.run_.op
        if action == "pause" and op.phase is Phase.RUNNING:
            self.run_.op = replace(op, phase=Phase.PAUSED)
        elif action == "resume" and op.phase is Phase.PAUSED:
            self.run_.op = replace(op, phase=Phase.RUNNING, policy=replace(op.policy, max_failures=99))
        elif action == "abort" and op.phase in (Phase.RUNNING, Phase.PAUSED):
            self.run_.op = replace(op, phase=Phase.ABORTING)
        elif action == "rollback" and op.phase in (Phase.RUNNING, Phase.PAUSED, Phase.ABORTING):
            self.run_.op = replace(op, phase=Phase.ROLLING_BACK, fence=op.fence + 1, note="asked")
        self.look()

    @invariant()
    def no_command_is_done_twice_by_one_process(self) -> None:
        assert len(self.everything_done) == len(set(self.everything_done))

    @invariant()
    def applied_is_what_the_process_shows(self) -> None:
        if not hasattr(self, "run_"):
            return
        op = self.run_.op
        for target in self.run_.targets:
            shown = self.run_.fleet[target.name]
            if target.state is State.APPLIED and op.phase in OPEN_PHASES:
                assert shown.leased and shown.boot == target.boot
                assert shown.generation == op.generation or not shown.has_reported
            back = target.state is State.REVERTED and op.phase in OPEN_PHASES
            if back and shown.leased and shown.boot == target.boot and shown.has_reported:
                assert shown.generation == target.from_generation

    @invariant()
    def success_means_every_one(self) -> None:
        if hasattr(self, "run_") and self.run_.op.phase is Phase.SUCCEEDED:
            assert set(self.run_.states()) == {State.APPLIED}

    def teardown(self) -> None:
        """Without further faults, every operation that is not paused ends."""
        if not hasattr(self, "run_"):
            return
        if self.run_.op.phase is Phase.PAUSED:
            self.run_.op = replace(self.run_.op, phase=Phase.ABORTING)
        for name, process in self.processes.items():
            if process.alive:
                process.reachable = True
                self.resend(name)
        for _ in range(60):
            if self.run_.op.phase is Phase.PAUSED:  # by a failure that is only seen now
                self.run_.op = replace(self.run_.op, phase=Phase.ABORTING)
            if self.run_.op.phase not in OPEN_PHASES:
                break
            self.look()
            while self.wires:
                send = self.wires.pop()
                process = self.processes[send.name]
                if process.alive:
                    admitted, answer = process.commands.admit(Command(send.id, send.fence, send.boot, send.kind))
                    if admitted:
                        process.generation = send.generation
                        answer = CommandResult(send.id, "applied", "")
                        process.commands.record_result(answer)
                    if answer is not None:
                        self.run_.answer(send, answer.status, answer.detail)
            self.run_.now_ms += 1_000
        assert self.run_.op.phase not in OPEN_PHASES, (self.run_.op, self.run_.targets)


FaultyWorld.TestCase.settings = hypothesis_settings(max_examples=120, stateful_step_count=40, deadline=None)
TestFaultyWorld = FaultyWorld.TestCase
