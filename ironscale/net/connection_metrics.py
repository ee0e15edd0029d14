"""Counts what happens to connections to upstreams, and names why each one was closed."""

from __future__ import annotations

import enum
from collections import Counter
from dataclasses import dataclass


class CloseReason(enum.Enum):
    """Why a connection to an upstream was closed."""

    IDLE_TIMEOUT = "idle timeout"
    UNREAD_AT_REUSE = "ended or unread bytes at reuse"
    UNREAD_AT_FIRST_USE = "ended or unread bytes before the first request"
    UNRELIABLE_AGE = "others of its idle time failed"
    SURPLUS = "bytes that no request asked for"
    COPIED_ANSWER = "copy of an earlier answer"
    QUARANTINE = "upstream sent too much before"
    NOT_REUSABLE = "not reusable"
    MAKE_ROOM = "to make room"
    LEFT_SERVICE = "upstream drains, moved or is gone"
    ATTEMPT_ABANDONED = "attempt abandoned"
    PEER_ENDED = "ended by the upstream"
    MALFORMED = "malformed answer"
    ANSWERED_EARLY = "answered before the request was written"


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """Which connection carried an attempt: its number in this process, its how many-th request it was, and how long the
    connection had been idle before."""

    connection: int
    ordinal: int
    idle_us: int


class ConnectionMetrics:
    """Counters of the connections to all upstreams of a process."""

    def __init__(self) -> None:
        self.opened = 0
        self.requests = 0  # requests that were begun on a connection
        self.closed: Counter[CloseReason] = Counter()

    def summary(self) -> str:
        """All counts in one line."""
        closed = ", ".join(f"{reason.value} {count}" for reason, count in sorted(
            self.closed.items(), key=lambda item: item[0].value))
        return f"{self.requests} requests on {self.opened} connections to upstreams; closed: {closed or 'none'}"
