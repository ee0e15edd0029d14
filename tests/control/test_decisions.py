"""The instance's decisions without I/O: running commands once, reconnect backoff, the limit on control work."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from ironscale.control.commands import MAX_REMEMBERED_COMMANDS, CommandDeduplicator
from ironscale.control.messages import Command, CommandResult
from ironscale.control.pacing import MAX_BACKOFF_S, MAX_LOOP_SHARE, MAX_PAUSE_S, ControlWorkLimiter, ReconnectBackoff


def command(ident: str, fence: int, kind: str = "drain", boot: str = "b") -> Command:
    return Command(ident, fence, boot, kind)


def deliver(commands: CommandDeduplicator, delivery: Command) -> str:
    """Delivers a command: "done" if it ran, else the status of the result that was sent instead."""
    admitted, answer = commands.admit(delivery)
    if admitted:
        commands.record_result(CommandResult(delivery.id, "applied", "first"))
        return "done"
    return answer.status if answer is not None else "under way"


def test_a_redelivered_command_gets_its_stored_result() -> None:
    commands = CommandDeduplicator("b")
    assert deliver(commands, command("1", 5)) == "done"
    admitted, answer = commands.admit(command("1", 5))
    assert not admitted and answer == CommandResult("1", "applied", "first")


def test_a_redelivered_command_that_is_still_running_is_neither_run_nor_answered() -> None:
    commands = CommandDeduplicator("b")
    assert commands.admit(command("1", 5)) == (True, None)
    assert commands.admit(command("1", 5)) == (False, None)


def test_a_command_of_a_superseded_operation_is_refused() -> None:
    commands = CommandDeduplicator("b")
    assert deliver(commands, command("2", 7)) == "done"
    admitted, answer = commands.admit(command("1", 6))
    assert not admitted and answer is not None and "superseded: fence 6 is below 7" in answer.detail
    assert deliver(commands, command("3", 7)) == "done"


def test_a_command_for_a_previous_process_is_refused() -> None:
    admitted, answer = CommandDeduplicator("b").admit(command("1", 5, boot="a"))
    assert not admitted and answer is not None and answer.status == "refused"


def test_inspect_has_no_fence_and_runs_every_time() -> None:
    commands = CommandDeduplicator("b", fence=9)
    assert commands.admit(command("q", 0, "inspect")) == commands.admit(command("q", 0, "inspect")) == (True, None)


@given(st.lists(st.tuples(st.integers(0, 400), st.integers(0, 12)), max_size=1200))
def test_no_command_runs_twice(deliveries: list[tuple[int, int]]) -> None:
    """As in the agent, each id belongs to one fence. Deliveries come in any order and any number of times."""
    commands, done = CommandDeduplicator("b"), []
    for ident, _ in deliveries:
        one = command(str(ident), ident // 20)
        if deliver(commands, one) == "done":
            done.append(one.id)
    assert len(done) == len(set(done))


def test_stored_results_are_bounded_and_only_fenced_off_commands_are_forgotten() -> None:
    commands = CommandDeduplicator("b")
    for i in range(3 * MAX_REMEMBERED_COMMANDS):
        deliver(commands, command(str(i), i))
    assert len(commands.results_by_id) == MAX_REMEMBERED_COMMANDS
    assert deliver(commands, command("0", 0)) == "refused"
    for i in range(2 * MAX_REMEMBERED_COMMANDS):  # all with the same fence: none may be forgotten
        deliver(commands, command(f"x{i}", 10_000))
    assert deliver(commands, command("x0", 10_000)) == "applied"


def test_five_thousand_instances_that_lost_an_agent_reconnect_spread_out() -> None:
    """The agent sends the spread: 5,000 instances at 200 a second take 25 s."""
    waits = [ReconnectBackoff(random.Random(seed), spread_s=25.0).after_lost_connection() for seed in range(5_000)]
    busiest = max(sum(at <= wait < at + 1 for wait in waits) for at in range(26))
    assert 150 <= busiest <= 300 and max(waits) <= 25.0


def test_failed_attempts_back_off_with_jitter() -> None:
    backoff = ReconnectBackoff(random.Random(3))
    longest = [max(ReconnectBackoff(random.Random(s), failures=n).after_failed_attempt() for s in range(200))
               for n in range(8)]
    assert longest == sorted(longest) and longest[0] < 1.1 and 25 < longest[-1] <= MAX_BACKOFF_S
    for _ in range(100):
        assert 0.0 <= backoff.after_failed_attempt() <= MAX_BACKOFF_S
    assert backoff.after_lost_connection() <= 1.0 and backoff.failures == 0


def test_a_denial_waits_as_requested_up_to_a_limit() -> None:
    assert 5.0 <= ReconnectBackoff(random.Random(1)).after_denial(5.0) <= 6.0
    assert ReconnectBackoff(random.Random(1)).after_denial(1e9) <= 2 * MAX_BACKOFF_S


@given(st.lists(st.floats(0.0, MAX_LOOP_SHARE * MAX_PAUSE_S), min_size=1, max_size=200))
def test_control_work_stays_within_its_share_of_the_loop(steps: list[float]) -> None:
    work, now_s = ControlWorkLimiter(), 100.0
    for took_s in steps:
        now_s += work.wait_s(now_s) + took_s
        work.record_step(now_s, took_s)
    whole_s = now_s + work.wait_s(now_s) - 100.0
    assert work.total_cpu_s <= MAX_LOOP_SHARE * whole_s * 1.000001 + 1e-9
    assert work.longest_step_s == max(steps)


def test_one_long_step_does_not_block_control_work_for_long() -> None:
    """Without the limit on pauses, one step of 0.4 s would be followed by 20 s in which no lease is renewed."""
    work = ControlWorkLimiter()
    work.record_step(10.0, 0.4)
    assert work.wait_s(10.0) == MAX_PAUSE_S
    work.record_step(10.0, 5.0)
    assert work.wait_s(10.0) == MAX_PAUSE_S
