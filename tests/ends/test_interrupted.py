"""A poll that a signal interrupts reports nothing; data and ends of connections must be detected all the same."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

import pytest

from tests import test_upstream
from tests.ends import test_clients

real_poll = select.poll


class InterruptedPoll:
    """Behaves as if every poll were interrupted: Python returns nothing for one with no timeout, and resumes others."""

    def __init__(self) -> None:
        self.real = real_poll()
        self.register, self.unregister = self.real.register, self.real.unregister

    def poll(self, timeout: float | None = None) -> list[tuple[int, int]]:
        return [] if timeout == 0 else self.real.poll(timeout)


# Guards against stray bytes that are taken for the next request's answer, and a request sent on an ended connection.
@pytest.mark.parametrize("how", ["closed", "reset", "stray bytes"])
def test_a_pooled_connection_that_has_gone_bad_is_not_used_with_interrupted_polls(
        how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(select, "poll", InterruptedPoll)
    test_upstream.test_an_idle_connection_that_has_just_failed_is_not_reused(how, monkeypatch)


# Guards against a request that is forwarded after its client has gone.
@pytest.mark.parametrize("leave", test_clients.WAYS_TO_LEAVE)
@pytest.mark.parametrize("lane", ["view", "pay", "mark"])
def test_nothing_is_forwarded_for_a_client_that_has_left_with_interrupted_polls(
        leave: Callable[[socket.socket], None], lane: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(select, "poll", InterruptedPoll)
    test_clients.test_a_request_whose_client_left_while_it_waited_is_not_forwarded(leave, lane, 0)
