"""How a try of a request can end, as its client sees it. Pure.

A request is due once (`sched`), and is tried at least once; a refusal with Retry-After may be followed by another try.
The record of a try is what workers tell and what all figures are made of.
"""

from __future__ import annotations

import enum
import struct
from typing import NamedTuple


class End(enum.IntEnum):
    SERVED = 0
    REFUSED = 1  # 429 or 503, with Retry-After
    REFUSED_BARE = 2  # 429 or 503 that does not say when to return
    FAILED = 3  # any other answer
    WRONG_BODY = 4  # a 200 whose body is not this request's
    NO_ANSWER = 5  # none by its deadline and GRACE_US more
    GAVE_UP = 6  # the client left before its deadline, as the scenario says
    CONNECT_REFUSED = 7
    CONNECT_TIMEOUT = 8  # no connection by the deadline
    RESET = 9  # the connection broke before the whole answer
    CLOSED = 10  # it ended in good order before the whole answer
    GARBLED = 11  # what came can't be read as an answer
    NO_PORT = 12  # this machine had no local port left
    NO_SOCKET = 13  # this process had no descriptor left
    UNSENT = 14  # it was due and could not be sent before the run ended
    EXTRA = 15  # no end of a try: something came behind its whole answer


GRACE_US = 50_000  # an answer that comes within this after the deadline is seen, and late
ANSWERED = frozenset((End.SERVED, End.REFUSED, End.REFUSED_BARE, End.FAILED, End.WRONG_BODY))
REFUSALS = frozenset((End.REFUSED, End.REFUSED_BARE))
UNANSWERED = frozenset((End.NO_ANSWER, End.RESET, End.CLOSED, End.GARBLED))  # it may have been taken, and was lost
OURS = frozenset((End.NO_PORT, End.NO_SOCKET, End.UNSENT))  # the generator's own failure, not the target's


class Sample(NamedTuple):
    """One try. Times are microseconds from the start of the run; -1 = it did not come to that."""

    index: int  # type: ignore[assignment]  # of the arrival in the schedule
    number: int  # of the try, from 0
    end: int
    status: int
    sched_us: int  # when this try was due
    acted_us: int  # when the generator took it up: it had a connection, or began to open one
    sent_us: int  # when it was handed to the kernel
    done_us: int
    resent: int  # 1: its connection was closed under it, and it went once more on a new one


RECORD = struct.Struct("<IBBHqqqqB")


def request_id(run: str, index: int, number: int) -> str:
    return f"{run}-{index}-{number}"


def parse_id(text: str) -> tuple[int, int] | None:
    """(index, try) of one of our ids."""
    parts = text.rsplit("-", 2)
    if len(parts) != 3 or not (parts[1].isdecimal() and parts[2].isdecimal()):
        return None
    return int(parts[1]), int(parts[2])


def judge(status: int, retry_after: bool, body_is_ours: bool) -> End:
    if status in (429, 503):
        return End.REFUSED if retry_after else End.REFUSED_BARE
    if status != 200:
        return End.FAILED
    return End.SERVED if body_is_ours else End.WRONG_BODY


def retry_after_us(value: bytes) -> int | None:
    """Whole or decimal seconds, at most an hour; None if it can't be read (a date is not waited for)."""
    try:
        seconds = float(value)
    except ValueError:
        return None
    return int(seconds * 1e6) if 0 <= seconds <= 3600 else None
