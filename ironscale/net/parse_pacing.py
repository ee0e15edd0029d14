"""How long the clients whose requests take long to parse are made to wait. Pure: no I/O, no clock.

All requests that are read in part share a fixed part of the time, however many clients send them and however small
their pieces are. The time of each piece is paid off at that share, one piece after another; a client whose request has
taken more than a usual one is not read on until its piece is paid off.
"""

from __future__ import annotations

PARSING_SHARE = 0.2  # of the time, for all requests in part together
UNPACED_US = 50  # that each request may take without a pause; a piece of a usual one takes some 20 us
BURST_US = 20_000  # of parsing that may be owed before anybody has to wait: the largest body takes less
MAX_PAUSE_US = 1_000_000  # less than the time after which a silent client is told to send its request again
MAX_US_PER_BYTE = 0.5  # longer, the process was held up and not by the bytes


class ParsePacing:
    """The parsing time of requests in part that is not yet paid off, over all connections."""

    def __init__(self) -> None:
        self.paid_off_at_us = 0.0

    def spend(self, now_us: int, spent_us: float) -> None:
        """Adds the time of a piece of a request in part. No debt is kept beyond the longest pause."""
        begin_us = max(self.paid_off_at_us, float(now_us))
        self.paid_off_at_us = min(begin_us + spent_us / PARSING_SHARE, now_us + self.burst_us() + MAX_PAUSE_US)

    def pause_us(self, now_us: int) -> float:
        """How long a client has to wait whose piece was the last one added; 0 within the burst."""
        return max(0.0, self.paid_off_at_us - now_us - self.burst_us())

    @staticmethod
    def burst_us() -> float:
        """The time in which the burst is paid off."""
        return BURST_US / PARSING_SHARE


class RequestPacing:
    """The parsing time of one connection's current request since its last pause."""

    def __init__(self) -> None:
        self.unpaced_us = 0.0

    def spend(self, spent_us: float, parsed_bytes: int) -> float:
        """Adds the time of a piece, and returns how much of it the piece's bytes account for."""
        counted_us = min(spent_us, parsed_bytes * MAX_US_PER_BYTE)
        self.unpaced_us += counted_us
        return counted_us

    def is_due(self) -> bool:
        """Whether the request has taken more time than one that never waits."""
        return self.unpaced_us > UNPACED_US

    def reset(self) -> None:
        self.unpaced_us = 0.0
