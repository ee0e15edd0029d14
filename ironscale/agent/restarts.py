"""Restart backoff and crash-loop detection for supervised processes. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass, field

FIRST_DELAY_S, MAX_DELAY_S = 0.5, 60.0  # delay before the first restart, and the longest delay
STABLE_S = 30.0  # a process that ran at least this long resets the backoff
CRASH_LOOP_ENDS, CRASH_LOOP_WINDOW_S = 6, 120.0  # this many ends within this time are a crash loop


@dataclass(slots=True)
class RestartBackoff:
    """Restart history of one instance."""

    ends_s: list[float] = field(default_factory=list)
    failures: int = 0

    def on_end(self, now_s: float, ran_s: float) -> float | None:
        """Records an end of the process, which ran for `ran_s`. Returns the seconds to wait before the restart, or None
        in a crash loop: then only an operator restarts it."""
        if ran_s >= STABLE_S:
            self.failures, self.ends_s = 0, []
        self.ends_s = [at for at in self.ends_s if now_s - at < CRASH_LOOP_WINDOW_S] + [now_s]
        if len(self.ends_s) >= CRASH_LOOP_ENDS:
            return None
        wait_s = min(MAX_DELAY_S, FIRST_DELAY_S * 2.0 ** min(self.failures, 16))
        self.failures += 1
        return wait_s

    def reset(self) -> None:
        self.failures, self.ends_s = 0, []
