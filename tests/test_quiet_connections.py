"""Which connection is closed to make room, and for how long connections count as quiet."""

from __future__ import annotations

import pytest

from ironscale.net.client import Phase
from ironscale.net.quiet_connections import (
    MIN_CROWDED_STALL_S,
    MIN_IDLE_S,
    MIN_SILENCE_S,
    MIN_STALL_S,
    QuietConnections,
)

LONG_S = 10.0
MAX_CONNECTIONS = 8


class Clock:
    now_us = 100_000_000

    def advance(self, seconds: float) -> None:
        self.now_us += round(seconds * 1e6)


class StubConnection:
    """A connection in the given phase, which may refuse to be closed."""

    def __init__(self, phase: Phase, now_us: int) -> None:
        self.current_phase = phase
        self.listed_phase: Phase | None = None
        self.quiet_since_us = self.last_byte_us = now_us
        self.has_unread = False

    def phase(self) -> Phase:
        return self.current_phase

    def close_to_make_room(self) -> bool:
        return not self.has_unread


class Case:
    def __init__(self) -> None:
        self.clock = Clock()
        self.quiet = QuietConnections(lambda: self.clock.now_us)

    def add(self, phase: Phase) -> StubConnection:
        connection = StubConnection(phase, self.clock.now_us)
        self.quiet.classify(connection)  # type: ignore[arg-type]
        return connection

    def change(self, connection: StubConnection, phase: Phase) -> None:
        connection.current_phase = phase
        self.quiet.classify(connection)  # type: ignore[arg-type]

    def receive(self, connection: StubConnection) -> None:
        connection.last_byte_us = self.clock.now_us
        self.quiet.received(connection)  # type: ignore[arg-type]

    def evict_all(self) -> list[object]:
        found: list[object] = []
        while (evicted := self.quiet.evict(MAX_CONNECTIONS)) is not None:
            self.quiet.remove(evicted)
            found.append(evicted)
        return found

    def evicts(self, connection: StubConnection) -> bool:
        evicted: object = self.quiet.evict(MAX_CONNECTIONS)
        return evicted is connection

    def is_quiet_for(self, connection: StubConnection, silence_s: float, idle_s: float) -> bool:
        found: list[object] = list(self.quiet.quiet_for(silence_s, idle_s))
        return connection in found


# Guards against closing a request that is being written while connections that nobody has used are open.
def test_connections_in_the_middle_of_a_request_are_closed_last() -> None:
    case = Case()
    partial, idle, unused = (case.add(phase) for phase in (
        Phase.PARTIAL_REQUEST, Phase.BETWEEN_REQUESTS, Phase.NO_REQUEST))
    busy = case.add(Phase.OPEN_REQUEST)
    case.clock.advance(LONG_S)
    assert case.evict_all() == [unused, idle, partial] and busy.listed_phase is None and len(case.quiet) == 0


@pytest.mark.parametrize(("phase", "min_s"), [(Phase.NO_REQUEST, MIN_SILENCE_S), (Phase.BETWEEN_REQUESTS, MIN_IDLE_S),
                                              (Phase.PARTIAL_REQUEST, MIN_STALL_S)])
def test_a_connection_is_kept_for_its_time(phase: Phase, min_s: float) -> None:
    case = Case()
    connection = case.add(phase)
    case.clock.advance(min_s - 0.001)
    assert case.quiet.evict(MAX_CONNECTIONS) is None
    case.clock.advance(0.001)
    assert case.evicts(connection)


# Guards against closing a client that goes on writing because its request began before that of one that has stopped.
def test_of_requests_in_part_the_one_whose_last_byte_is_oldest_is_closed() -> None:
    case = Case()
    writing, stopped = case.add(Phase.PARTIAL_REQUEST), case.add(Phase.PARTIAL_REQUEST)
    case.clock.advance(MIN_STALL_S)
    case.receive(writing)
    assert case.evict_all() == [stopped]
    case.clock.advance(MIN_STALL_S)
    assert case.evict_all() == [writing]


# Guards against giving up a request that is being written for want of a tenth of a second's patience with idle clients.
def test_no_request_in_part_is_closed_while_connections_without_a_request_will_make_room() -> None:
    case = Case()
    partial = case.add(Phase.PARTIAL_REQUEST)
    case.clock.advance(LONG_S)
    unused = case.add(Phase.NO_REQUEST)
    assert case.evict_all() == []
    case.clock.advance(MIN_SILENCE_S)
    assert case.evict_all() == [unused, partial]


# Guards against clients that stop in the middle of a request and take most of the connections for half a second each.
def test_while_most_connections_are_in_the_middle_of_a_request_they_are_kept_for_less() -> None:
    case = Case()
    connections = [case.add(Phase.PARTIAL_REQUEST) for _ in range(MAX_CONNECTIONS)]
    case.clock.advance(MIN_CROWDED_STALL_S)
    assert case.evict_all() == connections[:MAX_CONNECTIONS // 2]
    case.clock.advance(MIN_STALL_S - MIN_CROWDED_STALL_S)
    assert case.evict_all() == connections[MAX_CONNECTIONS // 2:]


def test_a_connection_with_unread_bytes_is_passed_over() -> None:
    case = Case()
    first, second = case.add(Phase.NO_REQUEST), case.add(Phase.NO_REQUEST)
    first.has_unread = True
    case.clock.advance(LONG_S)
    assert case.evicts(second)


# Guards against a client that stays for ever by sending a byte now and then.
def test_silence_goes_on_through_the_bytes_of_a_request_in_part_and_begins_anew_after_an_answer() -> None:
    case = Case()
    connection = case.add(Phase.NO_REQUEST)
    case.clock.advance(1.0)
    case.change(connection, Phase.PARTIAL_REQUEST)
    case.clock.advance(1.0)
    case.receive(connection)
    assert case.is_quiet_for(connection, 2.0, LONG_S)
    case.change(connection, Phase.OPEN_REQUEST)
    case.clock.advance(1.0)
    case.change(connection, Phase.BETWEEN_REQUESTS)
    assert not case.is_quiet_for(connection, 0.1, 0.1) and case.quiet.count(Phase.BETWEEN_REQUESTS) == 1
    case.clock.advance(1.0)
    assert not case.is_quiet_for(connection, 0.1, 2.0) and case.is_quiet_for(connection, 0.1, 1.0)
