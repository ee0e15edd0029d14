"""Clients' connections without an open request: for how long each has been quiet, and which to close to make room."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from itertools import islice

from ironscale.net.client import ClientConnection, Phase

EVICTION_CANDIDATES = 8  # connections of each phase that are checked for one that can be closed to make room
MIN_SILENCE_S = 0.1
MIN_IDLE_S = 2.0  # a connection that has carried a request may be closed after it
MIN_STALL_S = 0.5  # pauses of clients that write a request slowly are shorter
# While more than this share of the most connections are in the middle of a request, most of their clients have stopped
# there for good, and all others wait for them.
CROWDED_PARTIAL_SHARE, MIN_CROWDED_STALL_S = 1 / 2, 0.2
# The order in which connections are closed to make room. One in the middle of a request comes last, because its client
# is owed an answer.
EVICTION_ORDER = (Phase.CLOSING, Phase.NO_REQUEST, Phase.BETWEEN_REQUESTS, Phase.PARTIAL_REQUEST)
SILENT_PHASES = frozenset((Phase.CLOSING, Phase.NO_REQUEST, Phase.PARTIAL_REQUEST))


class QuietConnections:
    """The connections without an open request by phase, in the order in which they came to it; those in the middle of
    a request in the order of their last bytes."""

    def __init__(self, now_us: Callable[[], int]) -> None:
        self.now_us = now_us
        self.by_phase: dict[Phase, dict[ClientConnection, None]] = {phase: {} for phase in EVICTION_ORDER}

    def __len__(self) -> int:
        return sum(map(len, self.by_phase.values()))

    def classify(self, connection: ClientConnection) -> None:
        """Files a connection under its phase. Its quiet time goes on from one silent phase to another: a client that
        sends a byte now and then must not stay for ever."""
        previous, phase = connection.listed_phase, connection.phase()
        if phase is previous:
            return
        self.remove(connection)
        if phase is Phase.OPEN_REQUEST:
            return
        if previous not in SILENT_PHASES or phase not in SILENT_PHASES:
            connection.quiet_since_us = self.now_us()
        connection.listed_phase = phase
        self.by_phase[phase][connection] = None

    def received(self, connection: ClientConnection) -> None:
        """The connection has received bytes."""
        if connection.listed_phase is Phase.PARTIAL_REQUEST:
            partial = self.by_phase[Phase.PARTIAL_REQUEST]
            del partial[connection]
            partial[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        if connection.listed_phase is not None:
            del self.by_phase[connection.listed_phase][connection]
            connection.listed_phase = None

    def all_in(self, phase: Phase) -> list[ClientConnection]:
        return list(self.by_phase[phase])

    def count(self, phase: Phase) -> int:
        return len(self.by_phase[phase])

    def quiet_for(self, silence_s: float, idle_s: float) -> Iterator[ClientConnection]:
        """The connections that have sent no complete request for `silence_s`, and those idle for `idle_s`."""
        now_us = self.now_us()
        for phase, connections in self.by_phase.items():
            limit_us = (silence_s if phase in SILENT_PHASES else idle_s) * 1e6
            yield from [one for one in connections if now_us - one.quiet_since_us >= limit_us]

    def evict(self, max_connections: int) -> ClientConnection | None:
        """Closes a connection to make room, and returns it; None if none may be closed."""
        now_us = self.now_us()
        for phase in EVICTION_ORDER:
            min_age_s = self.min_age_s(phase, max_connections)
            for oldest in list(islice(self.by_phase[phase], EVICTION_CANDIDATES)):
                since_us = oldest.last_byte_us if phase is Phase.PARTIAL_REQUEST else oldest.quiet_since_us
                if now_us - since_us < min_age_s * 1e6:
                    break
                if oldest.close_to_make_room():
                    return oldest
        return None

    def min_age_s(self, phase: Phase, max_connections: int) -> float:
        """How long a connection must have been in the phase, or in the middle of a request without a byte, before it
        may be closed to make room."""
        if phase is Phase.BETWEEN_REQUESTS:
            return MIN_IDLE_S
        if phase is not Phase.PARTIAL_REQUEST:
            return MIN_SILENCE_S
        if len(self.by_phase[phase]) > CROWDED_PARTIAL_SHARE * max_connections:
            return MIN_CROWDED_STALL_S
        # connections without a request make room soon, or become busy
        return math.inf if self.by_phase[Phase.NO_REQUEST] else MIN_STALL_S
