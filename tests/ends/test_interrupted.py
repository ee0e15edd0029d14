"""A poll that a signal interrupts says that nothing is there; what has come is seen all the same."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

import pytest

from tests import test_upstream
from tests.ends import test_clients

real_poll = select.poll


class InterruptedPoll:
    """Python gives up a poll of no time that is interrupted, as if nothing were there; one that waits goes on."""

    def __init__(self) -> None:
        self.real = real_poll()
        self.register, self.unregister = self.real.register, self.real.unregister

    def poll(self, timeout: float | None = None) -> list[tuple[int, int]]:
        return [] if timeout == 0 else self.real.poll(timeout)


# Guards against stray bytes that are taken for the next request's answer, and a request written to an ended connection.
@pytest.mark.parametrize("how", ["closed", "reset", "stray bytes"])
def test_a_kept_connection_that_has_gone_bad_is_not_used_though_polls_are_interrupted(
        how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(select, "poll", InterruptedPoll)
    test_upstream.test_an_idle_connection_that_has_just_failed_is_not_reused(how)


# Guards against a request that is forwarded after its client has gone.
@pytest.mark.parametrize("leave", test_clients.LEAVING)
@pytest.mark.parametrize("lane", ["view", "pay", "mark"])
def test_nothing_is_sent_on_for_a_client_that_has_left_though_polls_are_interrupted(
        leave: Callable[[socket.socket], None], lane: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(select, "poll", InterruptedPoll)
    test_clients.test_a_request_whose_client_left_while_it_waited_is_not_sent_on(leave, lane, 0)
