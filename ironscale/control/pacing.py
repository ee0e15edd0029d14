"""Reconnect backoff, and a limit on the share of the event loop that control work may use. No I/O, no clock."""

from __future__ import annotations

import random
from dataclasses import dataclass

INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.5, 30.0
# Control work uses at most this share of the loop's time: after a step of t seconds it pauses for t/MAX_LOOP_SHARE.
MAX_LOOP_SHARE = 0.02
# Without this limit a single slow step would block control work for fifty times as long, until the lease expires.
MAX_PAUSE_S = 1.0


@dataclass(slots=True)
class ReconnectBackoff:
    """Reconnect delays: exponential backoff with full jitter (AWS architecture blog, 2015), spread over a longer time
    when a whole fleet has lost its agent. The agent sends that spread because it knows the size of the fleet.

    Every method gives the seconds until the next connection attempt."""

    random: random.Random
    spread_s: float = INITIAL_BACKOFF_S  # as sent by the agent
    failures: int = 0  # consecutive failed attempts

    def after_lost_connection(self) -> float:
        """After the loss of a connection that the agent had welcomed."""
        self.failures = 0
        return self.random.random() * max(INITIAL_BACKOFF_S, self.spread_s)

    def after_failed_attempt(self) -> float:
        """After a connection attempt that failed or ended before a welcome."""
        self.failures += 1
        max_backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** min(self.failures, 16))
        return self.random.random() * max(max_backoff_s, self.spread_s)

    def before_next_agent(self) -> float:
        """Before trying the next of several agents."""
        return 0.01 + self.random.random() * max(0.1, min(INITIAL_BACKOFF_S, self.spread_s / 2))

    def after_no_leader(self) -> float:
        """After every agent answered that it doesn't lead: a new leader is expected soon."""
        return self.random.random() * max(2 * INITIAL_BACKOFF_S, self.spread_s)

    def after_denial(self, retry_s: float) -> float:
        """After a denial; `retry_s` is the earliest time at which the agent wants to be asked again."""
        return min(MAX_BACKOFF_S, max(0.0, retry_s)) + self.after_failed_attempt()


@dataclass(slots=True)
class ControlWorkLimiter:
    """Limits the share of the event loop's time that control work uses. It counts the CPU time of the steps, not their
    duration: while the process is stopped or waits for a CPU, control work takes no time from other work."""

    next_step_at_s: float = 0.0
    total_cpu_s: float = 0.0
    longest_step_s: float = 0.0

    def wait_s(self, now_s: float) -> float:
        """Seconds until the next step may run."""
        return max(0.0, self.next_step_at_s - now_s)

    def record_step(self, now_s: float, took_s: float) -> None:
        """Accounts for a step that has used `took_s` seconds of CPU time."""
        took_s = max(0.0, took_s)
        self.total_cpu_s += took_s
        self.longest_step_s = max(self.longest_step_s, took_s)
        self.next_step_at_s = min(max(now_s, self.next_step_at_s) + took_s / MAX_LOOP_SHARE, now_s + MAX_PAUSE_S)
