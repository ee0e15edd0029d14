"""Each close of a client's connection is counted with its reason and phase, and so are bytes thrown away by it."""

from __future__ import annotations

import logging

import pytest

from ironscale.net.lifecycle import Event
from tests.sockets import run, until
from tests.test_shutdown import REQUEST, serving, sweep


def test_a_close_is_counted_with_what_the_connection_was_doing() -> None:
    async def test() -> None:
        async with serving(False) as (server, _):
            await sweep(server)
            assert server.ledger.counts[Event.CLOSED, "silent, no request yet"] == 1
        async with serving(True) as (server, _):
            await sweep(server)
            assert server.ledger.counts[Event.CLOSED, "idle, between requests"] == 1

    run(test)


# Guards against a request that is thrown away unread without a trace in the counters and the log.
def test_a_close_over_unread_bytes_is_counted_and_logged(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with serving(True) as (server, client):
            connection, = server.connections
            assert connection.transport is not None
            client.send(REQUEST)
            connection.transport.abort()
            await until(lambda: not server.connections)
            assert server.ledger.counts[Event.CLOSED_OVER_UNREAD, "between requests"] == 1

    with caplog.at_level(logging.WARNING, "ironscale.clients"):
        run(test)
    assert "closed over unread bytes: between requests" in caplog.text
