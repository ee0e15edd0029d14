"""What an operation does next: state in, steps out. No I/O, no clock, no randomness.

It may be asked at any time and as often as one likes: with nothing new it has nothing new to say. The caller
records the changed targets first and sends after; a process killed in between sends the same command, by the
same id, again.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import replace
from itertools import pairwise
from typing import Protocol

from ironscale.agent.model import (
    FAILURES,
    OPEN,
    Kind,
    Operation,
    Phase,
    Plan,
    Policy,
    Seen,
    Send,
    State,
    Target,
)

FINAL = (State.REFUSED, State.FAILED, State.SUPERSEDED, State.REVERTED)
LOOK_MS = 500  # between two looks at what a wave serves
OUT = (State.UNDER_WAY, State.NO_ANSWER, State.GONE)  # may not be serving


def shows(op: Operation, target: Target, seen: Seen) -> bool:
    """Whether the process shows what the operation wants, under the operation's fence."""
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
            return False  # shown by the end of the process
    return False


def _missing(op: Operation, target: Target, seen: Seen) -> str:
    """What the process shows instead."""
    match op.kind:
        case Kind.RECONFIGURE:
            return f"runs generation {seen.generation}"
        case Kind.DRAIN if seen.draining:
            return f"{seen.open} requests still open"
        case Kind.STOP | Kind.RESTART:
            return "still running"
    return "drained" if seen.draining else "not drained"


def _successor(op: Operation, target: Target, seen: Seen) -> Target:
    """Another process has the name now: the one that was told is no more."""
    if op.kind is Kind.STOP:
        return replace(target, state=State.APPLIED, detail=f"ended; the name is now {seen.boot}'s")
    settled = seen.leased and seen.ready
    if op.kind is Kind.RESTART:
        if settled:
            return replace(target, state=State.APPLIED, boot=seen.boot, detail=f"now {seen.boot}")
        return target if seen.leased else _unheard(target, seen)
    if not seen.leased:
        return _unheard(target, seen)
    wanted = target.from_generation if target.reverting else op.generation
    if op.kind is Kind.RECONFIGURE and seen.generation == wanted:
        if not seen.ready and target.state is State.UNDER_WAY:
            return target  # starting
        state = State.REVERTED if target.reverting else State.APPLIED
        return replace(target, state=state, boot=seen.boot, detail=f"started with it as {seen.boot}")
    if target.tries >= op.policy.tries:
        return replace(target, state=State.FAILED, detail=f"restarted {target.tries} times in mid-operation")
    # hazard: what the former process applied, or said it had, died with it
    return replace(target, state=State.NOT_STARTED, boot="", restarting=False, answered="",
                   detail=f"restarted as {seen.boot}, which had not applied")


def _unheard(target: Target, seen: Seen) -> Target:
    had = "had applied; " if target.state is State.APPLIED else ""
    if target.state in (State.GONE, State.NO_ANSWER) and "; " in target.detail:
        had = target.detail.rpartition("; ")[0] + "; "  # what it had done before stays told
    if seen.ended:
        return replace(target, state=State.GONE, detail=f"{had}{seen.ended}")
    if target.state in (State.NO_ANSWER, State.GONE):
        return replace(target, state=State.NO_ANSWER, since_ms=seen.heard_ms)
    return replace(target, state=State.NO_ANSWER, since_ms=seen.heard_ms,
                   detail=f"{had}its lease is over" if target.command else "not connected")


def judge(op: Operation, target: Target, seen: Seen | None, now_ms: int) -> Target:
    """The target's state by what its process shows now; its state before if that says nothing new."""
    if target.state in (State.REFUSED, State.FAILED) and seen is not None and seen.ended and (
            seen.boot == target.boot):
        # what it refused while it was ending, say: there is nobody any more who refuses
        return replace(target, state=State.GONE, detail=f"{target.state}: {target.detail}; {seen.ended}")
    if target.state in FINAL or target.state is State.NOT_STARTED:
        return target
    if seen is None:
        return replace(target, state=State.NO_ANSWER, detail="not known any more")
    late = now_ms - target.sent_ms >= op.policy.answer_ms
    if target.boot and seen.boot != target.boot:
        after = _successor(op, target, seen)
        if after is target and late and target.state is State.UNDER_WAY:
            return replace(target, state=State.NO_ANSWER, since_ms=seen.heard_ms,
                           detail=f"{seen.boot} has taken its place and is not ready")
        return after
    if not seen.leased:
        if op.kind is Kind.STOP and seen.ended and target.command:
            return replace(target, state=State.APPLIED, detail=seen.ended)
        if seen.restart_awaited and not late and target.state is State.UNDER_WAY:
            return target  # the supervisor starts it again
        return _unheard(target, seen)
    if shows(op, target, seen):
        return replace(target, state=State.REVERTED if target.reverting else State.APPLIED, detail="")
    if target.state is State.APPLIED and not seen.shown:
        return target  # hazard: a restarted agent's record may be older than what the process has shown
    if target.state is State.APPLIED:
        return replace(target, state=State.FAILED, detail=f"had applied; now {_missing(op, target, seen)}")
    if target.state in (State.NO_ANSWER, State.GONE):
        # it is back, as the same process: its answer may still come
        return target if late else replace(target, state=State.UNDER_WAY)
    if late:
        if target.answered or target.restarting:
            return replace(target, state=State.FAILED, detail=f"answered {target.answered}, but "
                                                              f"{_missing(op, target, seen)}")
        return replace(target, state=State.NO_ANSWER, since_ms=seen.heard_ms,
                       detail="heartbeats come, its answer does not")
    return target


def answer(op: Operation, target: Target, command: str, status: str, detail: str) -> Target:
    """An instance's answer to one command. Applied is what it says; it has yet to show it."""
    if command != target.command or target.state not in (State.UNDER_WAY, State.NO_ANSWER):
        return target  # of an earlier try, or told before
    match status:
        case "applied":
            return replace(target, answered=status)
        case "refused" if detail.startswith("superseded"):
            return replace(target, state=State.SUPERSEDED, answered=status, detail=detail)
        case "refused" | "failed":
            state = State.REFUSED if status == "refused" else State.FAILED
            return replace(target, state=state, answered=status, detail=detail)
    return replace(target, answered=status, detail=f"needs restart: {detail}")


class View(Protocol):
    """The fleet by name, as it shows itself at this moment."""

    def get(self, name: str, /) -> Seen | None: ...


May = Callable[[Target], str]


class Passes(Protocol):
    """Whether the wave that begins at this position may, by what is measured: nothing, what it waits for, or (True)
    what speaks against it."""

    def __call__(self, targets: Sequence[Target], first: int, /) -> tuple[str, bool]: ...


def advance(op: Operation, targets: Sequence[Target], fleet: View, now_ms: int, superseded: Mapping[str, int],
            changed: Collection[str] | None = None, may: May = lambda target: "",
            passes: Passes = lambda targets, first: ("", False)) -> Plan:
    """The next steps of an open operation. `superseded`: instances that a newer operation has, and its id.
    `changed`: the instances that may show something new since the last look, where that is known; the others are
    judged only where time alone can change them. `may`: asked before a target is told anything that may take it out of
    service; empty, or what stands in the way now. `passes`: asked before each wave but the first."""
    plan = Plan()
    if op.phase not in OPEN:
        return plan
    current = list(targets)
    for index, target in enumerate(current):
        if changed is not None and target.state is not State.UNDER_WAY and target.name not in changed:
            continue
        after = judge(op, target, fleet.get(target.name), now_ms)
        if target.name in superseded and after.state in (State.NOT_STARTED, *OUT):
            after = replace(after, state=State.SUPERSEDED,
                            detail=f"operation {superseded[target.name]} has it")
        elif after.answered == "needs restart" and not after.restarting and after.state is State.UNDER_WAY:
            seen = fleet.get(after.name)
            assert seen is not None  # else it would not be under way
            after = _restart(op, after, seen, now_ms, plan)
        current[index] = after
    if op.phase is Phase.ROLLING_BACK:
        _roll_back(op, current, fleet, now_ms, plan, may)
    elif op.phase is Phase.RUNNING:
        _start(op, current, fleet, now_ms, plan, may, passes)
    for index, (before, after) in enumerate(zip(targets, current, strict=True)):
        if after is not before and after != before:
            moved = after.state is not before.state and after.state is not State.NO_ANSWER
            current[index] = replace(after, since_ms=now_ms) if moved else after
            plan.targets.append(current[index])
    if plan.phase is None and not plan.rollback:
        _conclude(op, current, plan)
    due = [t.sent_ms + op.policy.answer_ms for t in current if t.state is State.UNDER_WAY]
    if plan.soaks:
        due.append(now_ms + LOOK_MS)
    plan.wake_ms = max(now_ms + 1, min(due)) if due else None
    return plan


def _restart(op: Operation, target: Target, seen: Seen, now_ms: int, plan: Plan) -> Target:
    if not seen.supervised:
        return replace(target, state=State.REFUSED, detail=f"{target.detail}; not started by this agent")
    command = f"{op.id}.{target.position}.{target.tries}.restart"
    generation = target.from_generation if target.reverting else op.generation
    plan.sends.append(Send(command, target.name, target.boot, op.fence, "restart", generation))
    return replace(target, restarting=True, command=command, sent_ms=now_ms)


def _tell(op: Operation, target: Target, seen: Seen, now_ms: int, plan: Plan) -> Target:
    """One command to the process that has the name now."""
    tries = target.tries + 1
    command = f"{op.id}.{target.position}.{tries}{'.back' if target.reverting else ''}"
    if op.kind is Kind.RESTART and not seen.supervised:
        return replace(target, state=State.REFUSED, detail="not started by this agent")
    generation = target.from_generation if target.reverting else op.generation
    plan.sends.append(Send(command, target.name, seen.boot, op.fence, op.kind.value, generation))
    before = target.from_generation if target.command else seen.generation
    return replace(target, state=State.UNDER_WAY, detail="", boot=seen.boot, command=command, sent_ms=now_ms,
                   tries=tries, answered="", restarting=False, from_generation=before)


def _permitted(target: Target, plan: Plan, may: May) -> bool:
    problem = may(target)
    plan.waits = plan.waits or problem
    return not problem


def _start(op: Operation, targets: list[Target], fleet: View, now_ms: int, plan: Plan, may: May,
           passes: Passes) -> None:
    """Starts what the policy allows: wave by wave, with no more out at a time than it says."""
    policy = op.policy
    failures = sum(t.state in FAILURES for t in targets)
    if failures > policy.max_failures:
        _breach(op, plan, f"{failures} failed, {policy.max_failures} allowed")
        return
    out = sum(t.state in OUT for t in targets)
    most = policy.max_unavailable or len(targets)
    for wave in _waves(policy, len(targets)):
        if policy.gate and wave[0] and all(targets[index].state is State.NOT_STARTED for index in wave):
            text, speaks_against = passes(targets, wave[0])
            if speaks_against:
                _breach(op, plan, text)
                return
            if text:
                plan.waits, plan.soaks = text, True
                return
        for index in wave:
            target = targets[index]
            if target.state is not State.NOT_STARTED:
                continue
            seen = fleet.get(target.name)
            # a process of ours that has ended, or that says nothing, can be started anew all the same
            ours = seen is not None and seen.supervised and op.kind is Kind.RESTART
            if seen is None or not (seen.leased or ours):
                targets[index] = _unheard(target, seen) if seen is not None else replace(
                    target, state=State.NO_ANSWER, detail="not known")
                out += 1
            elif (seen.connected or ours) and out < most and _permitted(target, plan, may):
                targets[index] = _tell(op, target, seen, now_ms, plan)
                out += targets[index].state in OUT
        if any(targets[index].state in (State.NOT_STARTED, State.UNDER_WAY) for index in wave):
            break
    states = {t.state for t in targets}
    if out >= most and State.UNDER_WAY not in states and State.NOT_STARTED in states:
        plan.phase, plan.note = Phase.ABORTING, f"{out} unavailable, {most} allowed"


def _waves(policy: Policy, count: int) -> list[range]:
    """Positions of each wave, the canary's first."""
    size = policy.wave or count
    starts = [0, *range(policy.canary or size, count, size)]
    return [range(start, end) for start, end in pairwise([*starts, count]) if start < end]


def _breach(op: Operation, plan: Plan, text: str) -> None:
    """More has failed than is borne, or what is measured speaks against going on."""
    plan.note = text
    if op.policy.on_failure == "rollback" and op.kind is Kind.RECONFIGURE:
        plan.rollback = True
    else:
        plan.phase = Phase.PAUSED if op.policy.on_failure == "pause" else Phase.ABORTING


def _roll_back(op: Operation, targets: list[Target], fleet: View, now_ms: int, plan: Plan, may: May) -> None:
    """Every target that was told something goes back to what it ran; what never was told stays."""
    for index, target in enumerate(targets):
        # a refusal changed nothing; a failure may have
        touched = target.command and target.state not in (State.REFUSED, State.SUPERSEDED)
        again = target.reverting and target.state is State.NOT_STARTED  # restarted meanwhile
        if not touched or (target.reverting and not again):
            continue
        seen = fleet.get(target.name)
        if seen is not None and seen.connected and not _permitted(target, plan, may):
            continue
        target = replace(target, reverting=True)
        if seen is None or not seen.leased:
            targets[index] = _unheard(target, seen) if seen is not None else target
        elif seen.connected:
            targets[index] = _tell(op, target, seen, now_ms, plan)


def _conclude(op: Operation, targets: Sequence[Target], plan: Plan) -> None:
    states = [t.state for t in targets]
    if State.UNDER_WAY in states:
        return
    if op.phase is Phase.ROLLING_BACK:
        if any(t.command and not t.reverting and t.state not in (State.REFUSED, State.SUPERSEDED)
               for t in targets) or any(t.reverting and t.state is State.NOT_STARTED for t in targets):
            return
        back = all(t.state is State.REVERTED or not t.command
                   or t.state in (State.REFUSED, State.SUPERSEDED) for t in targets)
        plan.phase = Phase.ROLLED_BACK if back else Phase.PARTIAL
        plan.note = op.note if back else f"{op.note}; the roll-back is not complete"
    elif op.phase is Phase.ABORTING:
        plan.phase, plan.note = (Phase.PARTIAL if op.note else Phase.ABORTED), op.note
    elif op.phase is Phase.RUNNING and State.NOT_STARTED not in states:
        done = all(state is State.APPLIED for state in states)
        plan.phase = Phase.SUCCEEDED if done else Phase.PARTIAL
