"""One attempt to write a record, from its begin to where nothing of it is open: what to do next. Pure.

An attempt is written once. If it ends without it being known whether it ran, the store is asked, behind the fence,
again and again until it says. The decision module hears of it once: `ran`, `never ran`, or, when its time is up, that
it is late. Whatever is told, asking goes on until the outcome is known.

Times are seconds on one clock that only moves forward.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from ironscale.record.model import Cause, WriteOutcome, StoreFailure, Verdict, WriteResult

QUERY_RESERVE_SHARE = 1 / 3  # of an attempt's time kept for asking, if the write is not answered in the rest
MAX_QUERY_RESERVE_S = 0.5
MIN_QUERY_TIMEOUT_S = 0.25  # the first question may take so long at least
MAX_QUERY_TIMEOUT_S = 5.0
RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 5.0  # between two questions: doubles, with a spread


class AttemptOutcome(enum.Enum):
    """What becomes of an attempt, as far as is known."""

    OPEN = "open"  # not known
    RAN = "ran"
    NEVER_RAN = "never ran"
    CONFLICT = "conflict"  # never ran, and never can: its slot is taken by something else


@dataclass(slots=True)
class Write:
    until: float


@dataclass(slots=True)
class QueryOutcome:
    at: float  # no sooner
    until: float


@dataclass(slots=True)
class Done:
    pass


NextStep = Write | QueryOutcome | Done


@dataclass(slots=True)
class Attempt:
    """What is known of one attempt."""

    deadline: float  # who waits for it waits until then
    outcome: AttemptOutcome = AttemptOutcome.OPEN
    answer: bytes = b""
    cause: Cause | None = None  # why it never ran
    detail: str = ""
    queries: int = 0
    failures: list[str] = field(default_factory=list)  # the last few, for who looks at what is open

    def begin(self, now: float) -> NextStep:
        left = max(0.0, self.deadline - now)
        return Write(self.deadline - min(left * QUERY_RESERVE_SHARE, MAX_QUERY_RESERVE_S))

    def write_answered(self, result: WriteResult) -> NextStep:
        """The store has answered the write."""
        if result.verdict in (Verdict.WRITTEN, Verdict.REPEAT):
            self.outcome, self.answer = AttemptOutcome.RAN, result.answer
        elif result.verdict is Verdict.CONFLICT:
            self.outcome = AttemptOutcome.CONFLICT
        else:
            self.outcome, self.cause, self.detail = AttemptOutcome.NEVER_RAN, Cause.TIMEOUT, "a mark lay under it"
        return Done()

    def write_failed(self, now: float, trouble: StoreFailure) -> NextStep:
        """The write ended in an error."""
        self.add_failure(trouble)
        if trouble.outcome is WriteOutcome.NEVER_RAN:
            self.outcome, self.cause, self.detail = AttemptOutcome.NEVER_RAN, trouble.cause, str(trouble)
            return Done()
        self.cause = trouble.cause
        return self.next_query(now, now)

    def query_answered(self, answer: bytes | None) -> NextStep:
        """The store has said, behind the fence."""
        if answer is None:
            self.outcome = AttemptOutcome.NEVER_RAN
            self.detail = self.failures[-1] if self.failures else ""
        else:
            self.outcome, self.answer = AttemptOutcome.RAN, answer
        return Done()

    def query_failed(self, now: float, trouble: StoreFailure, jitter: float) -> NextStep:
        """The question itself had no answer: nothing is known that was not known before.

        `spread` from 0 to 1 is drawn by the caller: sidecars that lost one store together must not ask it together.
        """
        self.add_failure(trouble)
        wait = min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2 ** min(self.queries, 20))
        return self.next_query(now, now + wait * (0.5 + jitter / 2))

    def next_query(self, now: float, at: float) -> NextStep:
        self.queries += 1
        # before its time is up it matters when the answer comes; later only that it comes, and the store may be slow
        left = self.deadline - at
        return QueryOutcome(at, at + (max(MIN_QUERY_TIMEOUT_S, left) if left > 0 else MAX_QUERY_TIMEOUT_S))

    def add_failure(self, trouble: StoreFailure) -> None:
        self.failures = [*self.failures[-4:], f"{trouble.code or trouble.cause.value}: {trouble}"]
