"""Computes the next steps of an operation from its state. No I/O, no clock, no randomness.

Planning is idempotent: it may run at any time, and returns no steps unless something has changed. The caller records
the changed targets before it sends any command; if the agent is killed in between, the next one sends the same command
again under the same id.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import replace
from itertools import pairwise
from typing import Protocol

from ironscale.agent.model import (
    FAILURE_STATES,
    OPEN_PHASES,
    Kind,
    Observation,
    Operation,
    OutgoingCommand,
    Phase,
    Plan,
    Policy,
    State,
    Target,
)

FINAL_STATES = (State.REFUSED, State.FAILED, State.SUPERSEDED, State.REVERTED)
SOAK_CHECK_MS = 500  # interval between checks of the measured answers while a wave soaks
UNAVAILABLE = (State.UNDER_WAY, State.NO_ANSWER, State.GONE)  # states in which an instance may not be serving


def is_confirmed(op: Operation, target: Target, seen: Observation) -> bool:
    """Whether the process reports the state that the operation wants, under the operation's fence or a later one."""
    if target.reverting:
        return seen.generation == target.from_generation and seen.fence >= op.fence
    match op.kind:
        case Kind.RECONFIGURE:
            return seen.generation == op.generation and seen.fence >= op.fence
        case Kind.DRAIN:
            return seen.draining and seen.open == 0 and seen.fence >= op.fence
        case Kind.UNDRAIN:
            return not seen.draining and seen.fence >= op.fence
        case Kind.RESTART | Kind.STOP:
            return False  # only the end of the process confirms these
    return False


def _describe_mismatch(op: Operation, target: Target, seen: Observation) -> str:
    """Describes what the process reports instead of the wanted state."""
    match op.kind:
        case Kind.RECONFIGURE:
            return f"runs generation {seen.generation}"
        case Kind.DRAIN if seen.draining:
            return f"{seen.open} requests still open"
        case Kind.STOP | Kind.RESTART:
            return "still running"
    return "drained" if seen.draining else "not drained"


def _judge_successor(op: Operation, target: Target, seen: Observation) -> Target:
    """The target's state after another process has taken over the instance name from the one that was commanded."""
    if op.kind is Kind.STOP:
        return replace(target, state=State.APPLIED, detail=f"ended; the name is now {seen.boot}'s")
    settled = seen.leased and seen.ready
    if op.kind is Kind.RESTART:
        if settled:
            return replace(target, state=State.APPLIED, boot=seen.boot, detail=f"now {seen.boot}")
        return target if seen.leased else _judge_without_lease(target, seen)
    if not seen.leased:
        return _judge_without_lease(target, seen)
    wanted = target.from_generation if target.reverting else op.generation
    if op.kind is Kind.RECONFIGURE and seen.generation == wanted:
        if not seen.ready and target.state is State.UNDER_WAY:
            return target  # still starting
        state = State.REVERTED if target.reverting else State.APPLIED
        return replace(target, state=state, boot=seen.boot, detail=f"started with it as {seen.boot}")
    if target.tries >= op.policy.tries:
        return replace(target, state=State.FAILED, detail=f"restarted {target.tries} times in mid-operation")
    # Whatever the former process applied, or reported as applied, was lost with it: the new one must be commanded.
    return replace(target, state=State.NOT_STARTED, boot="", restarting=False, answered="",
                   detail=f"restarted as {seen.boot}, which had not applied")


def _judge_without_lease(target: Target, seen: Observation) -> Target:
    """The target's state once its instance has no lease: gone if its end is known, else without an answer."""
    prefix = "had applied; " if target.state is State.APPLIED else ""
    if target.state in (State.GONE, State.NO_ANSWER) and "; " in target.detail:
        prefix = target.detail.rpartition("; ")[0] + "; "  # keeps the outcome reported before it went silent
    if seen.ended:
        return replace(target, state=State.GONE, detail=f"{prefix}{seen.ended}")
    if target.state in (State.NO_ANSWER, State.GONE):
        return replace(target, state=State.NO_ANSWER, since_ms=seen.heard_ms)
    return replace(target, state=State.NO_ANSWER, since_ms=seen.heard_ms,
                   detail=f"{prefix}its lease is over" if target.command else "not connected")


def judge_target(op: Operation, target: Target, seen: Observation | None, now_ms: int) -> Target:
    """The target's state derived from what its process reports now; the same object if that changes nothing."""
    if target.state in (State.REFUSED, State.FAILED) and seen is not None and seen.ended and (
            seen.boot == target.boot):
        # For instance, it refused because it was shutting down. The process has ended, so the refusal no longer stands.
        return replace(target, state=State.GONE, detail=f"{target.state}: {target.detail}; {seen.ended}")
    if target.state in FINAL_STATES or target.state is State.NOT_STARTED:
        return target
    if seen is None:
        return replace(target, state=State.NO_ANSWER, detail="not known any more")
    is_late = now_ms - target.sent_ms >= op.policy.answer_ms
    if target.boot and seen.boot != target.boot:
        after = _judge_successor(op, target, seen)
        if after is target and is_late and target.state is State.UNDER_WAY:
            return replace(target, state=State.NO_ANSWER, since_ms=seen.heard_ms,
                           detail=f"{seen.boot} has taken its place and is not ready")
        return after
    if not seen.leased:
        if op.kind is Kind.STOP and seen.ended and target.command:
            return replace(target, state=State.APPLIED, detail=seen.ended)
        if seen.restart_awaited and not is_late and target.state is State.UNDER_WAY:
            return target  # the supervisor is going to start it again
        return _judge_without_lease(target, seen)
    if is_confirmed(op, target, seen):
        return replace(target, state=State.REVERTED if target.reverting else State.APPLIED, detail="")
    if target.state is State.APPLIED and not seen.has_reported:
        return target  # no report yet since the agent restarted; its record may be older than the last report
    if target.state is State.APPLIED:
        return replace(target, state=State.FAILED, detail=f"had applied; now {_describe_mismatch(op, target, seen)}")
    if target.state in (State.NO_ANSWER, State.GONE):
        # The same process is connected again: its answer may still arrive.
        return target if is_late else replace(target, state=State.UNDER_WAY)
    if is_late:
        if target.answered or target.restarting:
            return replace(target, state=State.FAILED, detail=f"answered {target.answered}, but "
                                                              f"{_describe_mismatch(op, target, seen)}")
        return replace(target, state=State.NO_ANSWER, since_ms=seen.heard_ms,
                       detail="heartbeats come, its answer does not")
    return target


def take_answer(op: Operation, target: Target, command: str, status: str, detail: str) -> Target:
    """Takes in an instance's answer to one command. "applied" does not settle the target until a report confirms it."""
    if command != target.command or target.state not in (State.UNDER_WAY, State.NO_ANSWER):
        return target  # answers an earlier command, or the target has settled
    match status:
        case "applied":
            return replace(target, answered=status)
        case "refused" if detail.startswith("superseded"):
            return replace(target, state=State.SUPERSEDED, answered=status, detail=detail)
        case "refused" | "failed":
            state = State.REFUSED if status == "refused" else State.FAILED
            return replace(target, state=state, answered=status, detail=detail)
    return replace(target, answered=status, detail=f"needs restart: {detail}")


class FleetView(Protocol):
    """Looks up what an instance reports at this moment, by name."""

    def get(self, name: str, /) -> Observation | None: ...


PermitCheck = Callable[[Target], str]


class GateCheck(Protocol):
    """Decides by measured answers whether the wave that begins at position `first` may start. Returns an empty text if
    it may, the text of what it waits for, or (with True) the text of the evidence against it."""

    def __call__(self, targets: Sequence[Target], first: int, /) -> tuple[str, bool]: ...


def advance(op: Operation, targets: Sequence[Target], fleet: FleetView, now_ms: int, superseded: Mapping[str, int],
            changed: Collection[str] | None = None, check_permit: PermitCheck = lambda target: "",
            check_gate: GateCheck = lambda targets, first: ("", False)) -> Plan:
    """The next steps of an open operation. `superseded`: instances that a newer operation controls, with its id.
    `changed`: the instances that may have reported something new since the last call, or None if not known; other
    targets are judged only while under way, as time alone can change their state. `check_permit`: asked before a
    command that may take a target out of service; empty, or the reason why it has to wait. `check_gate`: asked before
    each wave but the first."""
    plan = Plan()
    if op.phase not in OPEN_PHASES:
        return plan
    current = list(targets)
    for index, target in enumerate(current):
        if changed is not None and target.state is not State.UNDER_WAY and target.name not in changed:
            continue
        after = judge_target(op, target, fleet.get(target.name), now_ms)
        if target.name in superseded and after.state in (State.NOT_STARTED, *UNAVAILABLE):
            after = replace(after, state=State.SUPERSEDED,
                            detail=f"operation {superseded[target.name]} has it")
        elif after.answered == "needs restart" and not after.restarting and after.state is State.UNDER_WAY:
            seen = fleet.get(after.name)
            assert seen is not None  # an unknown instance can't be under way
            after = _plan_restart(op, after, seen, now_ms, plan)
        current[index] = after
    if op.phase is Phase.ROLLING_BACK:
        _roll_back(op, current, fleet, now_ms, plan, check_permit)
    elif op.phase is Phase.RUNNING:
        _start_targets(op, current, fleet, now_ms, plan, check_permit, check_gate)
    for index, (before, after) in enumerate(zip(targets, current, strict=True)):
        if after is not before and after != before:
            has_changed_state = after.state is not before.state and after.state is not State.NO_ANSWER
            current[index] = replace(after, since_ms=now_ms) if has_changed_state else after
            plan.targets.append(current[index])
    if plan.phase is None and not plan.rollback:
        _conclude(op, current, plan)
    due = [t.sent_ms + op.policy.answer_ms for t in current if t.state is State.UNDER_WAY]
    if plan.is_soaking:
        due.append(now_ms + SOAK_CHECK_MS)
    plan.wake_ms = max(now_ms + 1, min(due)) if due else None
    return plan


def _plan_restart(op: Operation, target: Target, seen: Observation, now_ms: int, plan: Plan) -> Target:
    """Plans a restart of a process that can't apply the configuration while it runs; refused if not supervised."""
    if not seen.supervised:
        return replace(target, state=State.REFUSED, detail=f"{target.detail}; not started by this agent")
    command = f"{op.id}.{target.position}.{target.tries}.restart"
    generation = target.from_generation if target.reverting else op.generation
    plan.commands.append(OutgoingCommand(command, target.name, target.boot, op.fence, "restart", generation))
    return replace(target, restarting=True, command=command, sent_ms=now_ms)


def _plan_command(op: Operation, target: Target, seen: Observation, now_ms: int, plan: Plan) -> Target:
    """Plans one command to the process that has the instance name now."""
    tries = target.tries + 1
    command = f"{op.id}.{target.position}.{tries}{'.back' if target.reverting else ''}"
    if op.kind is Kind.RESTART and not seen.supervised:
        return replace(target, state=State.REFUSED, detail="not started by this agent")
    generation = target.from_generation if target.reverting else op.generation
    plan.commands.append(OutgoingCommand(command, target.name, seen.boot, op.fence, op.kind.value, generation))
    before = target.from_generation if target.command else seen.generation
    return replace(target, state=State.UNDER_WAY, detail="", boot=seen.boot, command=command, sent_ms=now_ms,
                   tries=tries, answered="", restarting=False, from_generation=before)


def _is_permitted(target: Target, plan: Plan, check_permit: PermitCheck) -> bool:
    """Whether the disruption budgets allow it; otherwise notes the first reason in the plan."""
    problem = check_permit(target)
    plan.waits_for = plan.waits_for or problem
    return not problem


def _is_restartable(op: Operation, seen: Observation) -> bool:
    """Whether the operation restarts it: a supervised process can be restarted even if it has ended or is silent."""
    return seen.supervised and op.kind is Kind.RESTART


def _start_targets(op: Operation, targets: list[Target], fleet: FleetView, now_ms: int, plan: Plan,
                   check_permit: PermitCheck, check_gate: GateCheck) -> None:
    """Starts targets wave by wave, with no more unavailable at a time than the policy allows."""
    policy = op.policy
    failures = sum(t.state in FAILURE_STATES for t in targets)
    if failures > policy.max_failures:
        _apply_on_failure(op, plan, f"{failures} failed, {policy.max_failures} allowed")
        return
    unavailable = sum(t.state in UNAVAILABLE for t in targets)
    limit = policy.max_unavailable or len(targets)
    for wave in _wave_positions(policy, len(targets)):
        if policy.gate and wave[0] and all(targets[index].state is State.NOT_STARTED for index in wave):
            text, is_breach = check_gate(targets, wave[0])
            if is_breach:
                _apply_on_failure(op, plan, text)
                return
            if text:
                plan.waits_for, plan.is_soaking = text, True
                return
        waiting = [index for index in wave if targets[index].state is State.NOT_STARTED]
        for index in waiting:  # all that are out already count before the first command
            target, seen = targets[index], fleet.get(targets[index].name)
            if seen is None:
                targets[index] = replace(target, state=State.NO_ANSWER, detail="not known")
            elif not (seen.leased or _is_restartable(op, seen)):
                targets[index] = _judge_without_lease(target, seen)
            unavailable += targets[index].state in UNAVAILABLE
        for index in waiting:
            target, seen = targets[index], fleet.get(targets[index].name)
            if target.state is not State.NOT_STARTED or seen is None or unavailable >= limit:
                continue
            if (seen.connected or _is_restartable(op, seen)) and _is_permitted(target, plan, check_permit):
                targets[index] = _plan_command(op, target, seen, now_ms, plan)
                unavailable += targets[index].state in UNAVAILABLE
        if any(targets[index].state in (State.NOT_STARTED, State.UNDER_WAY) for index in wave):
            break
    states = {t.state for t in targets}
    if unavailable >= limit and State.UNDER_WAY not in states and State.NOT_STARTED in states:
        plan.phase, plan.note = Phase.ABORTING, f"{unavailable} unavailable, {limit} allowed"


def _wave_positions(policy: Policy, count: int) -> list[range]:
    """Positions of the targets of each wave; the canary wave comes first."""
    size = policy.wave or count
    starts = [0, *range(policy.canary or size, count, size)]
    return [range(start, end) for start, end in pairwise([*starts, count]) if start < end]


def _apply_on_failure(op: Operation, plan: Plan, text: str) -> None:
    """Applies `on_failure`: too many targets failed, or the measured answers are worse where the change was applied."""
    plan.note = text
    if op.policy.on_failure == "rollback" and op.kind is Kind.RECONFIGURE:
        plan.rollback = True
    else:
        plan.phase = Phase.PAUSED if op.policy.on_failure == "pause" else Phase.ABORTING


def _roll_back(op: Operation, targets: list[Target], fleet: FleetView, now_ms: int, plan: Plan,
               check_permit: PermitCheck) -> None:
    """Reverts every target that was sent a command to its former generation; the others are left alone."""
    for index, target in enumerate(targets):
        # A refusal changed nothing; a failure may have.
        touched = target.command and target.state not in (State.REFUSED, State.SUPERSEDED)
        has_restarted = target.reverting and target.state is State.NOT_STARTED  # during the rollback
        if not touched or (target.reverting and not has_restarted):
            continue
        seen = fleet.get(target.name)
        if seen is not None and seen.connected and not _is_permitted(target, plan, check_permit):
            continue
        target = replace(target, reverting=True)
        if seen is None or not seen.leased:
            targets[index] = _judge_without_lease(target, seen) if seen is not None else target
        elif seen.connected:
            targets[index] = _plan_command(op, target, seen, now_ms, plan)


def _conclude(op: Operation, targets: Sequence[Target], plan: Plan) -> None:
    """Sets the operation's final phase once no target is under way and nothing is left to start or to revert."""
    states = [t.state for t in targets]
    if State.UNDER_WAY in states:
        return
    if op.phase is Phase.ROLLING_BACK:
        if any(t.command and not t.reverting and t.state not in (State.REFUSED, State.SUPERSEDED)
               for t in targets) or any(t.reverting and t.state is State.NOT_STARTED for t in targets):
            return
        all_reverted = all(t.state is State.REVERTED or not t.command
                           or t.state in (State.REFUSED, State.SUPERSEDED) for t in targets)
        plan.phase = Phase.ROLLED_BACK if all_reverted else Phase.PARTIAL
        plan.note = op.note if all_reverted else f"{op.note}; the roll-back is not complete"
    elif op.phase is Phase.ABORTING:
        plan.phase, plan.note = (Phase.PARTIAL if op.note else Phase.ABORTED), op.note
    elif op.phase is Phase.RUNNING and State.NOT_STARTED not in states:
        all_applied = all(state is State.APPLIED for state in states)
        plan.phase = Phase.SUCCEEDED if all_applied else Phase.PARTIAL
