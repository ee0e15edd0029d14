"""An answer that is still being sent is not cut off when quiet connections are closed."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable

import pytest

from ironscale.net.client import UNREAD_ANSWER_TIMEOUT_S
from ironscale.net.exchange import Exchange
from ironscale.net.server import Server
from ironscale.standins.http import read_message
from tests.sockets import run, until
from tests.test_shutdown import AnsweringApplication, now_us

BODY = bytes(range(256)) * 256


class LongAnswers(AnsweringApplication):
    def on_request(self, exchange: Exchange) -> None:
        exchange.answer(200, [], BODY)


@contextlib.asynccontextmanager
async def unread_answer(close: bool) -> AsyncIterator[tuple[Server, socket.socket]]:
    """A connection with an answer that the client has not begun to read, larger than the kernel's socket buffers."""
    server = Server(LongAnswers(), 8, now_us)
    await server.listen(("127.0.0.1", 0))
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(server.listener.getsockname())  # type: ignore[union-attr]
        client.setblocking(False)
        await until(lambda: server.connections)
        connection, = server.connections
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.send(b"GET / HTTP/1.1\r\nHost: x\r\n%s\r\n" % (b"Connection: close\r\n" if close else b""))
        await until(lambda: connection.transport is not None and connection.transport.get_write_buffer_size())
        yield server, client
    await server.stop(0.0, 0.0, 0.0, 5.0)


def make_room(server: Server) -> None:
    server.make_room()


def sweep(server: Server) -> None:
    server.sweep()


# Guards against a truncated answer when a sweep runs, or room is needed, while the client still reads.
@pytest.mark.parametrize("close", [False, True])
@pytest.mark.parametrize("closing", [make_room, sweep])
def test_an_answer_that_is_still_being_sent_arrives_complete(closing: Callable[[Server], None], close: bool) -> None:
    async def test() -> None:
        async with unread_answer(close) as (server, client):
            for connection in server.connections:
                connection.quiet_since_us -= 60_000_000
            closing(server)
            closing(server)
            reader, writer = await asyncio.open_connection(sock=client)
            assert (await read_message(reader)).body == BODY
            writer.close()

    run(test)


def test_a_closing_connection_whose_client_never_reads_is_aborted() -> None:
    async def test() -> None:
        async with unread_answer(True) as (server, client):
            connection, = server.connections
            connection.last_answer_us -= int(UNREAD_ANSWER_TIMEOUT_S * 1e6)
            connection.quiet_since_us -= 60_000_000
            server.sweep()
            await until(lambda: not server.connections)

    run(test)
