"""The state machine of a request: the one place that decides whether it may be sent, answered or cancelled now.

Each transition is recorded with its reason; a forbidden one is counted and logged together with the request's history.
The invariants are those of the service's rule on lost requests.
"""

from __future__ import annotations

import enum
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass

from ironscale.net.connection_metrics import ConnectionUse

TOLERANCE_US = 150_000  # tolerance of the checks: a send past the deadline, or an upstream told more time than is left
MAX_NOTES = 2_000  # only the latest notes are kept
MAX_NOTES_LOGGED = 20  # notes of a request that are logged with a violation
MAX_VIOLATIONS_LOGGED = 50  # violations that are logged; further ones are only counted

violations: deque[str] = deque(maxlen=MAX_NOTES)  # of all ledgers in this process; the tests check that there are none


class State(enum.Enum):
    ACCEPTED = "accepted"  # received; no attempt has begun
    IN_FLIGHT = "in flight"
    ANSWERED = "answered"
    CANCELLED = "cancelled"  # its client has left


class Event(enum.Enum):
    ACCEPTED = "accepted"
    REJECTED = "rejected"
    SENT = "sent"
    RETRIED = "retried"
    ATTEMPT_ENDED = "attempt ended"
    ANSWERED = "answered"
    CANCELLED = "cancelled"
    CLOSED = "connection closed"
    CLOSED_OVER_UNREAD = "connection closed over unread bytes"


class Invariant(enum.Enum):
    """A rule that must hold for every request; the value is the text of its violation."""

    SENT_AFTER_END = "sent after its end"
    SENT_TOO_LATE = "sent after its time"
    REMAINING_TIME_OVERSTATED = "told more time than is left"
    CLOSED_UNANSWERED = "closed with no answer"
    ANSWERED_OUT_OF_TURN = "answered out of turn"


class Ledger:
    """Records the transitions of all requests and connections of a process, with reasons, and counts violations."""

    def __init__(self, now_us: Callable[[], int], log: Callable[[str], None]) -> None:
        self.now_us, self.log = now_us, log
        self.notes: deque[tuple[int, str, Event, str]] = deque(maxlen=MAX_NOTES)
        self.counts: Counter[tuple[Event, str]] = Counter()
        self.violations: Counter[Invariant] = Counter()

    def note(self, event: Event, reason: str, request: str = "") -> None:
        self.counts[event, reason] += 1
        self.notes.append((self.now_us(), request, event, reason))

    def record_violation(self, invariant: Invariant, request: str, detail: str) -> None:
        """Counts a violation and logs it with the request's history."""
        self.violations[invariant] += 1
        text = f"violation: request {request or '(unknown)'} {invariant.value}: {detail}"
        violations.append(text)
        if self.violations.total() <= MAX_VIOLATIONS_LOGGED:
            self.log("\n  ".join([text, *self.history(request)]))

    def history(self, request: str) -> list[str]:
        """The latest notes on one request, each with its time in milliseconds relative to now."""
        now_us = self.now_us()
        found = [f"{(at_us - now_us) / 1000:+.1f} ms {event.value}: {reason}"
                 for at_us, about, event, reason in self.notes if about == request]
        return found[-MAX_NOTES_LOGGED:]

    def summary(self, *others: str) -> str:
        """All counts in one line, with other summaries before the number of violations."""
        counts_by_name = {f"{event.value} ({reason})" if reason else event.value: count
                 for (event, reason), count in self.counts.items()}
        counts = [f"{name} {counts_by_name[name]}" for name in sorted(counts_by_name)]
        return "; ".join(["; ".join(counts) or "no request", *others, f"violations {self.violations.total()}"])


@dataclass(slots=True)
class AttemptRecord:
    """One attempt that has ended. `use` tells the connection that carried it; None if nothing was written."""

    upstream: str
    begun_us: int
    ended_us: int
    outcome: str
    use: ConnectionUse | None


class Lifecycle:
    """One request, from the moment it is fully read until it is answered or its client leaves."""

    __slots__ = ("accepted_us", "attempts", "due_us", "end_reason", "ended_us", "last_outcome", "ledger", "request",
                 "sends", "state", "status")

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.state = State.ACCEPTED
        self.request = ""
        self.due_us: int | None = None  # the client's deadline
        self.accepted_us = self.ended_us = 0
        self.sends = 0  # attempts begun
        self.attempts: list[AttemptRecord] = []  # attempts ended
        self.last_outcome = ""  # outcome of the latest attempt
        self.status = 0  # of its answer; 0 if it has none
        self.end_reason = ""  # why it was refused, failed or cancelled

    @property
    def is_over(self) -> bool:
        return self.state is State.ANSWERED or self.state is State.CANCELLED

    def begin(self, request: str, due_us: int) -> None:
        self.request, self.due_us = request, due_us
        self.accepted_us = self.ledger.now_us()
        self.ledger.note(Event.ACCEPTED, "", request)

    def may_send(self, now_us: int, until_us: int, client_has_left: Callable[[], bool]) -> bool:
        """Whether an attempt may begin now, before `until_us`; `client_has_left` checks whether the client has left."""
        return not self.is_over and now_us < until_us and not client_has_left()

    def attempt_begun(self, remaining_us: int) -> None:
        """An attempt begins now, with `remaining_us` as the time that is announced to the upstream."""
        now_us = self.ledger.now_us()
        if self.is_over:
            self.ledger.record_violation(Invariant.SENT_AFTER_END, self.request, self.state.value)
        if self.due_us is not None and now_us > self.due_us + TOLERANCE_US:
            self.ledger.record_violation(Invariant.SENT_TOO_LATE, self.request, f"by {now_us - self.due_us} us")
        if self.due_us is not None and remaining_us > max(0, self.due_us - now_us) + TOLERANCE_US:
            self.ledger.record_violation(Invariant.REMAINING_TIME_OVERSTATED, self.request,
                                         f"{remaining_us} of {self.due_us - now_us} us")
        self.ledger.note(Event.RETRIED if self.sends else Event.SENT, self.last_outcome, self.request)
        self.sends += 1
        if not self.is_over:
            self.state = State.IN_FLIGHT

    def attempt_ended(self, outcome: str, upstream: str = "", begun_us: int = 0,
                      use: ConnectionUse | None = None) -> None:
        self.last_outcome = outcome
        self.attempts.append(AttemptRecord(upstream, begun_us, self.ledger.now_us(), outcome, use))
        self.ledger.note(Event.ATTEMPT_ENDED, outcome, self.request)

    def answer(self, status: int) -> bool:
        """Marks the request answered; False if it has been answered or cancelled already."""
        if self.is_over:
            return False
        self.state = State.ANSWERED
        self.status, self.ended_us = status, self.ledger.now_us()
        self.ledger.note(Event.ANSWERED, str(status), self.request)
        return True

    def cancel(self, reason: str) -> bool:
        """Marks the request cancelled, as its client has left; False if it has been answered or cancelled already."""
        if self.is_over:
            return False
        self.state = State.CANCELLED
        self.end_reason, self.ended_us = reason, self.ledger.now_us()
        self.ledger.note(Event.CANCELLED, reason, self.request)
        return True

    def connection_closed(self, reason: str) -> None:
        """This side closes the client's connection now; a violation if the request is still open."""
        if not self.is_over:
            self.ledger.record_violation(Invariant.CLOSED_UNANSWERED, self.request, reason)

    def answered_out_of_turn(self) -> None:
        """Its connection is waiting for the answer to another request; a violation."""
        self.ledger.record_violation(Invariant.ANSWERED_OUT_OF_TURN, self.request, "not written")
