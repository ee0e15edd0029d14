"""Logs how a request went, unless its first attempt was served: a line with its attempts, connections and reasons.

Lines are limited to a rate, and those left out are counted. They go through `logging`, whose handler in this process
never raises.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from ironscale.logs import LineBudget
from ironscale.net.lifecycle import AttemptRecord, Lifecycle
from ironscale.net.request_checks import MAX_ID_LENGTH, Rejection

LINES_PER_S, MAX_BURST_LINES = 20.0, 200
REJECTED_LINES_PER_S, MAX_REJECTED_BURST_LINES = 1.0, 50
logger = logging.getLogger("ironscale.requests")


class RequestLog:
    """The log of the requests of one sidecar."""

    def __init__(self, name: str, now_us: Callable[[], int]) -> None:
        self.name = name
        self.budget = LineBudget(now_us, LINES_PER_S, MAX_BURST_LINES)
        self.rejected_budget = LineBudget(now_us, REJECTED_LINES_PER_S, MAX_REJECTED_BURST_LINES)

    def request_over(self, lifecycle: Lifecycle, class_name: str) -> None:
        """Logs a request that is over and has no attempt in flight."""
        was_served_at_once = lifecycle.status == 200 and len(lifecycle.attempts) < 2
        if not was_served_at_once and self.budget.allows():
            logger.info("%s: %s%s", self.name, describe(lifecycle, class_name), self.budget.note())

    def request_rejected(self, request: str, class_name: str, rejection: Rejection) -> None:
        """Logs a request that was rejected as not sound. Its names are the client's, so they are cut."""
        if self.rejected_budget.allows():
            logger.info("%s: request=%s class=%s status=400 reason=%r%s", self.name, ascii(request[:MAX_ID_LENGTH]),
                        ascii(class_name[:MAX_ID_LENGTH]), rejection.value, self.rejected_budget.note())


def describe(lifecycle: Lifecycle, class_name: str) -> str:
    """How the request went, in one line; times are in milliseconds since it was accepted."""
    end = f"status={lifecycle.status}" if lifecycle.status else "status=none"
    reason = f" reason={lifecycle.end_reason!r}" if lifecycle.end_reason else ""
    attempts = "; ".join(describe_attempt(number, one, lifecycle.accepted_us)
                         for number, one in enumerate(lifecycle.attempts, 1))
    return (f"request={lifecycle.request} class={class_name} {end}{reason} "
            f"at={(lifecycle.ended_us - lifecycle.accepted_us) / 1000:.1f} attempts={len(lifecycle.attempts)}"
            f"{': ' if attempts else ''}{attempts}")


def describe_attempt(number: int, attempt: AttemptRecord, accepted_us: int) -> str:
    use = attempt.use
    where = "not sent" if use is None else (
        f"connection={use.connection} ordinal={use.ordinal} idle={use.idle_us / 1000:.1f}")
    return (f"{number} upstream={attempt.upstream} at={(attempt.begun_us - accepted_us) / 1000:.1f} {where} "
            f"outcome={attempt.outcome!r} at={(attempt.ended_us - accepted_us) / 1000:.1f}")
