"""When a supervised process is started again, and when that is given up. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass, field

FIRST_S, MOST_S = 0.5, 60.0
STEADY_S = 30.0  # a process that ran for so long starts with a clean slate
CRASHES, WITHIN_S = 6, 120.0  # so many ends within this are a crash loop


@dataclass(slots=True)
class Restarts:
    """Of one instance."""

    ends_s: list[float] = field(default_factory=list)
    failures: int = 0

    def ended(self, now_s: float, ran_s: float) -> float | None:
        """Seconds until it is started again; None once it is given up, until an operator restarts it."""
        if ran_s >= STEADY_S:
            self.failures, self.ends_s = 0, []
        self.ends_s = [at for at in self.ends_s if now_s - at < WITHIN_S] + [now_s]
        if len(self.ends_s) >= CRASHES:
            return None
        wait_s = min(MOST_S, FIRST_S * 2.0 ** min(self.failures, 16))
        self.failures += 1
        return wait_s

    def forgive(self) -> None:
        self.failures, self.ends_s = 0, []
