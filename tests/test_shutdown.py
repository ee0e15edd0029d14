"""No request is lost where connections are closed: by a shutdown, by the sweep, or to make room."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import select
import signal
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import pytest

from ironscale.net.exchange import Exchange
from ironscale.net.server import Server
from ironscale.standins.http import read_message
from tests.learned.test_restart import Site
from tests.sockets import run, until

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class AnsweringApplication:
    """An application that answers everything at once."""

    def is_ready(self) -> bool:
        return True

    def on_request(self, exchange: Exchange) -> None:
        exchange.answer(200, [], b"done")

    def on_client_disconnected(self, exchange: Exchange) -> None:
        raise AssertionError("answered at once")


def now_us() -> int:
    return time.monotonic_ns() // 1000


async def quiet_connection(server: Server, asked: bool) -> socket.socket:
    """A client's connection that has been silent, or idle after a request, past every timeout."""
    address = server.listener.getsockname()  # type: ignore[union-attr]
    client = socket.create_connection(address)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    if asked:
        await loop.sock_sendall(client, REQUEST)
        assert (await loop.sock_recv(client, 4096)).startswith(b"HTTP/1.1 200")
    await until(lambda: len(server.quiet) == 1 and all(
        one.transport is not None for one in server.connections))
    for one in server.connections:
        one.quiet_since_us -= 60_000_000
    return client


@contextlib.asynccontextmanager
async def serving(asked: bool) -> AsyncIterator[tuple[Server, socket.socket]]:
    server = Server(AnsweringApplication(), 8, now_us)
    await server.listen(("127.0.0.1", 0))
    with await quiet_connection(server, asked) as client:
        yield server, client
    await server.stop(0.0, 0.0, 0.0, 5.0)


async def close_idle(server: Server) -> None:
    server.close_idle()


async def sweep(server: Server) -> None:
    server.sweep()


async def make_room(server: Server) -> None:
    server.make_room()


@pytest.mark.parametrize("asked", [False, True])
@pytest.mark.parametrize("closing", [close_idle, sweep, make_room])
def test_a_request_that_has_arrived_but_is_unread_is_answered(
        closing: Callable[[Server], Awaitable[None]], asked: bool) -> None:
    """The process had no CPU while the request arrived: the code that closes quiet connections runs before the event
    loop reads it."""
    async def test() -> None:
        async with serving(asked) as (server, client):
            client.send(REQUEST)  # within one step of the event loop, so that the loop can't read it before the close
            await closing(server)
            reader, writer = await asyncio.open_connection(sock=client)
            assert (await read_message(reader)).status == 200
            writer.close()

    run(test)


@pytest.mark.parametrize("closing", [close_idle, sweep, make_room])
@pytest.mark.parametrize("asked", [False, True])
def test_a_quiet_connection_is_still_closed(
        closing: Callable[[Server], Awaitable[None]], asked: bool) -> None:
    async def test() -> None:
        async with serving(asked) as (server, client):
            await closing(server)
            assert all(one.finishing or one.transport is None or one.transport.is_closing()
                       for one in server.connections)
            assert await asyncio.get_running_loop().sock_recv(client, 10) == b""

    run(test)


# Guards against a socket that stays open after it was found empty, and throws away what arrives then.
@pytest.mark.parametrize("closing", [close_idle, sweep, make_room])
@pytest.mark.parametrize("asked", [False, True])
def test_a_request_written_just_after_its_connection_was_closed_meets_the_end_and_no_reset(
        closing: Callable[[Server], Awaitable[None]], asked: bool) -> None:
    async def test() -> None:
        async with serving(asked) as (server, client):
            await closing(server)
            client.send(REQUEST)  # in the same turn
            await until(lambda: not server.connections)
            assert client.recv(10) == b""

    run(test)


# Guards against a reset in place of the 408, as the rest of a request that was given up arrives.
@pytest.mark.parametrize("closing", [sweep, make_room])
def test_the_rest_of_a_request_that_was_given_up_meets_its_answer_and_no_reset(
        closing: Callable[[Server], Awaitable[None]]) -> None:
    async def test() -> None:
        async with serving(False) as (server, client):
            client.send(REQUEST[:10])
            await until(lambda: any(one.has_partial_request for one in server.connections))
            for one in server.connections:
                one.quiet_since_us -= 60_000_000
                one.last_byte_us -= 60_000_000
            await closing(server)
            client.send(REQUEST[10:])  # in the same turn
            reader, writer = await asyncio.open_connection(sock=client)
            assert (await read_message(reader)).status == 408
            assert await reader.read() == b""
            writer.close()

    run(test)


# Guards against a client that stays for ever because some of its bytes lie unread at each sweep.
def test_unread_bytes_put_off_the_end_of_a_silent_client_but_do_not_begin_its_time_anew() -> None:
    async def test() -> None:
        async with serving(False) as (server, client):
            client.send(REQUEST[:10])
            await until(lambda: any(one.has_partial_request for one in server.connections))
            connection, = server.connections
            connection.quiet_since_us -= 60_000_000
            client.send(REQUEST[10:12])
            await sweep(server)
            assert not connection.finishing
            await until(lambda: not connection.has_unread())
            await sweep(server)
            assert connection.finishing
            reader, writer = await asyncio.open_connection(sock=client)
            assert (await read_message(reader)).status == 408
            writer.close()

    run(test)


# Guards against new clients that wait for a sweep although room could be made before it.
def test_a_listener_without_room_tries_again_without_a_sweep() -> None:
    async def test() -> None:
        server = Server(AnsweringApplication(), 1, now_us)
        await server.listen(("127.0.0.1", 0))
        assert server.listener is not None and server.sweeper is not None
        server.sweeper.cancel()
        with socket.create_connection(server.listener.getsockname()):
            await until(lambda: server.connections)
            reader, writer = await asyncio.open_connection(*server.listener.getsockname())
            writer.write(REQUEST)
            assert (await read_message(reader)).status == 200
            writer.close()
        await server.stop(0.0, 0.0, 0.0, 5.0)

    run(test)


SENT_AHEAD = 120  # with its headers each, more than is parsed at a time
LONG_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nX-Pad: %s\r\n\r\n" % (b"x" * 350)


# Guards against requests sent ahead that are thrown away as the answer before them ends the connection in a shutdown.
@pytest.mark.parametrize("pieces", [[LONG_REQUEST * SENT_AHEAD], [LONG_REQUEST + LONG_REQUEST[:20], LONG_REQUEST[20:]]],
                         ids=["many at once", "one and a part"])
def test_all_requests_sent_ahead_are_answered_in_a_shutdown(pieces: list[bytes]) -> None:
    async def test() -> None:
        server = Server(AnsweringApplication(), 8, now_us)
        await server.listen(("127.0.0.1", 0))
        assert server.listener is not None
        reader, writer = await asyncio.open_connection(*server.listener.getsockname())
        await until(lambda: server.connections)
        stopping = asyncio.create_task(server.stop(0.0, 0.5, 0.5, 5.0))
        await until(lambda: server.stopping)
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.05)
        for _ in range(b"".join(pieces).count(LONG_REQUEST)):
            assert (await read_message(reader)).status == 200
        assert await reader.read() == b""
        writer.close()
        await stopping

    run(test)


# Guards against the loss of an answer that is still on its way as its connection is closed over unread bytes.
def test_an_answer_arrives_whole_although_its_client_has_sent_more_than_its_last_request() -> None:
    async def test() -> None:
        server = Server(AnsweringApplication(), 8, now_us)
        await server.listen(("127.0.0.1", 0))
        assert server.listener is not None
        with socket.create_connection(server.listener.getsockname()) as client:
            client.setblocking(False)
            client.send(REQUEST[:-2])
            await until(lambda: any(one.has_partial_request for one in server.connections))
            connection, = server.connections
            rest = b"Connection: close\r\n\r\n"
            client.send(rest + b"\r\n")  # some clients end a request with one more line break
            assert select.select([connection.sock], [], [], 10)[0]
            connection.data_received(connection.sock.recv(len(rest)))
            await until(lambda: not server.connections)
            answer = client.recv(4096)
            assert answer.endswith(b"done") and client.recv(10) == b""
        await server.stop(0.0, 0.0, 0.0, 5.0)

    run(test)


class SocketWithoutOptions(socket.socket):
    def getsockopt(self, *arguments: object) -> int:  # type: ignore[override]
        raise OSError(errno.ENOBUFS, "no buffer space")


class ListenerWithoutOptions(socket.socket):
    """A listener whose accepted sockets can't be asked for their options."""

    def accept(self) -> tuple[socket.socket, tuple[str, int]]:
        accepted, peer = super().accept()
        return SocketWithoutOptions(fileno=accepted.detach()), peer


# Guards against a connection that is dropped as it is accepted, because a look at its state fails.
def test_a_connection_whose_state_cannot_be_asked_for_is_served() -> None:
    async def test() -> None:
        server = Server(AnsweringApplication(), 8, now_us)
        await server.listen(("127.0.0.1", 0))
        assert server.listener is not None
        server.loop.remove_reader(server.listener)
        server.listener = ListenerWithoutOptions(fileno=server.listener.detach())
        server.listener.setblocking(False)
        server.loop.add_reader(server.listener, server.accept)
        reader, writer = await asyncio.open_connection(*server.listener.getsockname())
        writer.write(REQUEST)
        assert (await read_message(reader)).status == 200
        writer.close()
        await server.stop(0.0, 0.0, 0.0, 5.0)

    run(test)


async def close_listener_completely(server: Server) -> None:
    """Closes the server's listener to the end."""
    while not server.close_listener():
        await asyncio.sleep(0.01)


class ListenerWithLateClients(socket.socket):
    """A listener to which clients connect at the last moment: after all have been accepted, just before it closes."""

    came: int = 0

    def close(self) -> None:
        for _ in range(3):
            with socket.socket() as client:
                client.settimeout(0.05)
                self.came += client.connect_ex(self.getsockname()) == 0
        super().close()


def test_a_client_that_comes_as_the_listener_closes_is_refused_before_it_sends_anything() -> None:
    async def test() -> None:
        server = Server(AnsweringApplication(), 8, now_us)
        await server.listen(("127.0.0.1", 0))
        assert server.listener is not None
        server.loop.remove_reader(server.listener)
        late = server.listener = ListenerWithLateClients(fileno=server.listener.detach())
        clients = [socket.create_connection(late.getsockname()) for _ in range(3)]  # they wait in its accept queue
        await close_listener_completely(server)
        assert late.came == 0, "a client connected whose request would have been reset"
        for client in clients:
            with client:
                client.setblocking(False)
                client.send(REQUEST)
                reader, writer = await asyncio.open_connection(sock=client)
                assert (await read_message(reader)).status == 200
                writer.close()
        await server.stop(0.0, 0.0, 0.0, 5.0)

    run(test)


@pytest.mark.parametrize("lane", ["view", "pay"])
def test_a_process_that_is_stalled_while_it_ends_loses_nothing(lane: str, tmp_path: Path) -> None:
    """After a stall of 0.15 s the event loop runs its timers before its reads: a connection that is 0.1 s old seems
    silent although its request waits unread. The process is stalled repeatedly while it shuts down."""
    async def test() -> None:
        site, stop = await Site(tmp_path).start(), asyncio.Event()
        try:
            async with asyncio.TaskGroup() as group:
                for _ in range(6):
                    group.create_task(site.client(stop, lane))
                await until(lambda: site.results[f"{lane} 200"] > 50)
                assert site.process is not None
                site.process.send_signal(signal.SIGTERM)
                ended = group.create_task(site.process.wait())
                while not ended.done():
                    with contextlib.suppress(ProcessLookupError):
                        site.process.send_signal(signal.SIGSTOP)
                        await asyncio.sleep(0.15)
                        site.process.send_signal(signal.SIGCONT)
                    await asyncio.wait([ended], timeout=0.03)
                stop.set()
            assert ended.result() == 0
        finally:
            stop.set()
            await site.close()
        assert not [key for key in site.results if "lost" in key or "silent" in key], site.results

    run(test, 60)


class SharedListenerWithLateClients(socket.socket):
    """A listener that shares its port with another one; clients connect just before it closes."""

    def close(self) -> None:
        self.came = []
        for _ in range(12):  # the kernel chooses between the two by the client's port
            client = socket.socket()
            client.settimeout(0.05)
            if client.connect_ex(self.getsockname()) == 0:
                self.came.append(client)
            else:
                client.close()
        super().close()


def test_a_client_that_comes_as_a_listener_on_a_shared_port_closes_is_served_by_the_other() -> None:
    async def test() -> None:
        second = Server(AnsweringApplication(), 64, now_us)
        port = await second.listen(("127.0.0.1", 0), reuse_port=True)
        for _ in range(4):
            first = Server(AnsweringApplication(), 64, now_us)
            await first.listen(("127.0.0.1", port), reuse_port=True)
            assert first.listener is not None
            first.loop.remove_reader(first.listener)
            late = first.listener = SharedListenerWithLateClients(fileno=first.listener.detach())
            waiting = [socket.create_connection(("127.0.0.1", port)) for _ in range(12)]  # in either queue
            await close_listener_completely(first)
            assert late.came, "no client connected to the other listener"
            for client in waiting + late.came:
                client.setblocking(False)
                client.send(REQUEST)
                reader, writer = await asyncio.open_connection(sock=client)
                assert (await read_message(reader)).status == 200
                writer.close()
            await first.stop(0.0, 0.0, 0.0, 5.0)
        await second.stop(0.0, 0.0, 0.0, 5.0)

    run(test)


def test_a_listener_that_shares_its_port_closes_without_probing_the_other_one() -> None:
    async def test() -> None:
        second = Server(AnsweringApplication(), 8, now_us)
        port = await second.listen(("127.0.0.1", 0), reuse_port=True)
        opened_us = second.last_opened_us
        for _ in range(8):  # the kernel chooses between the two by the client's port
            first = Server(AnsweringApplication(), 8, now_us)
            await first.listen(("127.0.0.1", port), reuse_port=True)
            await close_listener_completely(first)
            await first.stop(0.0, 0.0, 0.0, 5.0)
        assert second.last_opened_us == opened_us
        await second.stop(0.0, 0.0, 0.0, 5.0)

    run(test)
