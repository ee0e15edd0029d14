"""State machine of one attempt to write a record, from its start until its outcome is known. Pure.

An attempt is written once. If the write ends with an unknown outcome, the store is queried, which also fences the
attempt, until it answers. The load balancer is notified once: that the attempt ran, that it never ran, or that it timed
out. Queries continue after a timeout until the outcome is known.

Times are seconds on one monotonic clock.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from ironscale.record.model import Cause, StoreFailure, Verdict, WriteOutcome, WriteResult

QUERY_RESERVE_SHARE = 1 / 3  # of an attempt's time, reserved for a query if the write is not answered
MAX_QUERY_RESERVE_S = 0.5
MIN_QUERY_TIMEOUT_S = 0.25  # for queries before the attempt's deadline
MAX_QUERY_TIMEOUT_S = 5.0
RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 5.0  # between two queries: doubles, with jitter


class AttemptOutcome(enum.Enum):
    """What is known of the outcome of an attempt."""

    OPEN = "open"  # unknown
    RAN = "ran"
    NEVER_RAN = "never ran"
    CONFLICT = "conflict"  # never ran and cannot run: its slot is taken by another request


@dataclass(slots=True)
class Write:
    """Send the write."""

    until: float


@dataclass(slots=True)
class QueryOutcome:
    """Query the outcome of the attempt, and fence it."""

    at: float  # not before
    until: float


@dataclass(slots=True)
class Done:
    pass  # the outcome is known


NextStep = Write | QueryOutcome | Done


@dataclass(slots=True)
class Attempt:
    """The state of one attempt."""

    deadline: float  # of the caller; queries continue after it
    outcome: AttemptOutcome = AttemptOutcome.OPEN
    answer: bytes = b""
    cause: Cause | None = None  # why it never ran, if it did not
    detail: str = ""
    queries: int = 0
    failures: list[str] = field(default_factory=list)  # the last five, shown to operators in the list of open attempts

    def begin(self, now: float) -> NextStep:
        left = max(0.0, self.deadline - now)
        return Write(self.deadline - min(left * QUERY_RESERVE_SHARE, MAX_QUERY_RESERVE_S))

    def write_answered(self, result: WriteResult) -> NextStep:
        """Handles the store's answer to the write."""
        if result.verdict in (Verdict.WRITTEN, Verdict.REPEAT):
            self.outcome, self.answer = AttemptOutcome.RAN, result.answer
        elif result.verdict is Verdict.CONFLICT:
            self.outcome = AttemptOutcome.CONFLICT
        else:
            self.outcome, self.cause, self.detail = (
                AttemptOutcome.NEVER_RAN,
                Cause.TIMEOUT,
                "a void marker exists for this attempt",
            )
        return Done()

    def write_failed(self, now: float, failure: StoreFailure) -> NextStep:
        """Handles an error of the write."""
        self.add_failure(failure)
        if failure.outcome is WriteOutcome.NEVER_RAN:
            self.outcome, self.cause, self.detail = AttemptOutcome.NEVER_RAN, failure.cause, str(failure)
            return Done()
        self.cause = failure.cause
        return self.next_query(now, now)

    def query_answered(self, answer: bytes | None) -> NextStep:
        """Handles the answer to a query: the stored answer, or None if the attempt is now fenced."""
        if answer is None:
            self.outcome = AttemptOutcome.NEVER_RAN
            self.detail = self.failures[-1] if self.failures else ""
        else:
            self.outcome, self.answer = AttemptOutcome.RAN, answer
        return Done()

    def query_failed(self, now: float, failure: StoreFailure, jitter: float) -> NextStep:
        """Handles a failed query; the outcome is still unknown.

        `jitter` from 0 to 1 is drawn by the caller: sidecars that lost a store together must not query it together.
        """
        self.add_failure(failure)
        wait = min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2 ** min(self.queries, 20))
        return self.next_query(now, now + wait * (0.5 + jitter / 2))

    def next_query(self, now: float, at: float) -> NextStep:
        self.queries += 1
        # before the deadline the answer is needed quickly; after it the query may take long, as the store may be slow
        left = self.deadline - at
        return QueryOutcome(at, at + (max(MIN_QUERY_TIMEOUT_S, left) if left > 0 else MAX_QUERY_TIMEOUT_S))

    def add_failure(self, failure: StoreFailure) -> None:
        self.failures = [*self.failures[-4:], f"{failure.code or failure.cause.value}: {failure}"]
