"""A client that leaves gets no answer, and its request is not forwarded any more.

Each race is forced: both of its events happen before the event loop runs, so that the loop can't have read the first.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest

from ironscale.net import server as module
from ironscale.net.client import MAX_UNREAD_ANSWER_BYTES, ClientConnection
from ironscale.net.end_poller import END_EVENTS, POLL_INTERVAL_S
from ironscale.net.exchange import Exchange
from ironscale.net.memory_budget import MAX_READ_BYTES, MemoryPlan
from ironscale.net.upstream import Pool
from ironscale.standins.http import ok, read_message
from ironscale.standins.upstream import Peer, hang, reply
from tests.reuse import reuse_at_once
from tests.sockets import Scene, run, until
from tests.test_shutdown import REQUEST, serving, sweep


async def close_all(server: module.Server) -> None:
    for one in list(server.connections):
        one.close("a test")


def closes(client: socket.socket) -> None:
    client.close()


def shuts_down_sending(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


def resets(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def wait_for_end(scene: Scene, client: tuple[str, int]) -> None:
    """Waits, without running the event loop, until a client's end has reached the sidecar's socket: on a busy machine
    the kernel delivers it a moment later, and the race would not take place."""
    for one in scene.sidecar.server.connections:
        with contextlib.suppress(OSError):
            if one.sock.fileno() >= 0 and one.sock.getpeername() == client:
                ends = select.poll()
                ends.register(one.sock, END_EVENTS)
                assert ends.poll(10_000)


WAYS_TO_LEAVE: list[Callable[[socket.socket], None]] = [closes, shuts_down_sending, resets]


def connect(scene: Scene, *requests: bytes) -> socket.socket:
    client = socket.create_connection(("127.0.0.1", scene.port))
    client.setblocking(False)
    for request in requests:
        assert client.send(request) == len(request)
    return client


def connection_of(scene: Scene, client: socket.socket) -> ClientConnection:
    return next(one for one in scene.sidecar.server.connections if one.sock.getpeername() == client.getsockname())


async def finish_all(scene: Scene, peer: Peer) -> None:
    """Answers all attempts in flight, and checks that nothing is left of any request."""
    peer.answer_held(ok())
    await until(lambda: not scene.sidecar.requests and not scene.sidecar.by_txn)
    assert scene.sidecar.balancer.buffer is None and not scene.sidecar.balancer.requests


async def scene_without_free_slot() -> tuple[Scene, Peer, socket.socket]:
    """A scene whose only slot is taken by a request that hangs, so that the next request waits in the buffer."""
    peer = await Peer(hang).start()
    scene = await Scene().start(peer.entry("s-1"))
    first = connect(scene, scene.request())
    await until(lambda: peer.got)
    return scene, peer, first


def upstream_answers(scene: Scene) -> None:
    """Reads the upstream's answer in this very step of the loop, which frees the slot."""
    pool = next(iter(scene.sidecar.upstreams.pools.values()))
    next(iter(pool.busy)).data_received(ok())


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
@pytest.mark.parametrize("lane", ["view", "pay", "mark"])
@pytest.mark.parametrize("pipelined", [0, 1])
def test_a_request_whose_client_left_while_it_waited_is_not_forwarded(
        leave: Callable[[socket.socket], None], lane: str, pipelined: int) -> None:
    """With a pipelined request reading is paused, and the event loop would never read the client's end."""
    async def test() -> None:
        scene, peer, _first = await scene_without_free_slot()
        client = connect(scene, scene.request(lane), *(scene.request(lane) for _ in range(pipelined)))
        await until(lambda: scene.sidecar.balancer.buffer is not None)
        await until(lambda: len(connection_of(scene, client).pipelined) == pipelined)
        address = client.getsockname()
        leave(client)
        wait_for_end(scene, address)
        upstream_answers(scene)  # frees the slot while the client's end is unread
        assert scene.sidecar.balancer.buffer is None and len(scene.sidecar.by_txn) == 0
        await finish_all(scene, peer)
        assert len(peer.got) == 1

    run(test)


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_a_client_that_leaves_while_reading_is_paused_is_detected_by_the_next_poll(
        leave: Callable[[socket.socket], None]) -> None:
    """Its request in the buffer would keep others out."""
    async def test() -> None:
        scene, peer, _first = await scene_without_free_slot()
        client = connect(scene, scene.request(), scene.request())
        await until(lambda: scene.sidecar.balancer.buffer is not None and connection_of(scene, client).reading_paused)
        address = client.getsockname()
        leave(client)
        wait_for_end(scene, address)
        scene.sidecar.server.end_poller.poll()
        assert scene.sidecar.balancer.buffer is None and len(scene.sidecar.by_txn) == 1
        await finish_all(scene, peer)
        assert POLL_INTERVAL_S <= 0.05 and len(peer.got) == 1

    run(test)


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_a_pipelined_request_is_not_forwarded_when_its_turn_comes_after_the_client_left(
        leave: Callable[[socket.socket], None]) -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        client = connect(scene, scene.request(), scene.request())
        await until(lambda: peer.got and connection_of(scene, client).pipelined)
        address = client.getsockname()
        leave(client)
        wait_for_end(scene, address)
        upstream_answers(scene)
        await finish_all(scene, peer)
        assert len(peer.got) == 1

    run(test)


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
@pytest.mark.parametrize("paused", [False, True])
def test_nothing_is_sent_for_a_client_that_left_while_a_connection_was_established(
        leave: Callable[[socket.socket], None], paused: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        peer, up = await Peer().start(), asyncio.Event()
        scene = await Scene().start(peer.entry("s-1"))

        async def late(pool: Pool, attempt: object) -> None:
            await up.wait()
            await real(pool, attempt)  # type: ignore[arg-type]

        real = Pool.connect
        monkeypatch.setattr(Pool, "connect", late)
        client = connect(scene, scene.request("pay"), *([scene.request()] if paused else []))
        await until(lambda: scene.sidecar.upstreams.tasks)
        await until(lambda: connection_of(scene, client).reading_paused is paused)
        connection_of(scene, client).transport.pause_reading()  # type: ignore[union-attr]  # the end stays unread
        address = client.getsockname()
        leave(client)
        wait_for_end(scene, address)
        up.set()
        await until(lambda: not scene.sidecar.upstreams.tasks)
        await finish_all(scene, peer)
        assert not peer.got

    run(test)


def test_a_client_that_stays_is_served_despite_pipelining() -> None:
    """The converse of the check: unread bytes are no end."""
    async def test() -> None:
        scene, peer, _first = await scene_without_free_slot()
        client = connect(scene, scene.request(), scene.request(), scene.request())
        await until(lambda: scene.sidecar.balancer.buffer is not None and connection_of(scene, client).reading_paused)
        scene.sidecar.server.end_poller.poll()
        reader, writer = await asyncio.open_connection(sock=client)
        answered = 0
        while answered < 3:
            waiting = asyncio.ensure_future(read_message(reader))
            while not waiting.done():
                peer.answer_held(ok())
                await asyncio.sleep(0.001)
            answered += waiting.result().status == 200
        writer.close()

    run(test)


def test_a_client_that_pipelines_and_reads_no_answer_loses_only_its_own_connection() -> None:
    """Otherwise answers would pile up in memory for as long as requests come."""
    async def test() -> None:
        peer = await Peer(reply(ok(b"x" * 60_000))).start()
        scene = await Scene().start(peer.entry("s-1"))
        client = socket.create_connection(("127.0.0.1", scene.port))
        client.setblocking(False)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await until(lambda: scene.sidecar.server.connections)
        connection = next(iter(scene.sidecar.server.connections))
        most = 0
        for _ in range(1_000):
            if connection.transport is None:
                break
            most = max(most, connection.transport.get_write_buffer_size())
            with contextlib.suppress(OSError):
                client.send(scene.request())
            await asyncio.sleep(0.001)
        assert connection.transport is None and most <= MAX_UNREAD_ANSWER_BYTES
        assert (await scene.call()).status == 200
        await finish_all(scene, peer)
        client.close()

    run(test)


def test_a_pipelined_request_is_not_forwarded_once_the_answer_before_could_not_be_written(
        monkeypatch: pytest.MonkeyPatch) -> None:
    """The write fails and the transport closes itself, but the loop reports it after the next request has begun."""
    reuse_at_once(monkeypatch)  # the next request is written in the same step

    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        client = connect(scene, scene.request(), scene.request())
        await until(lambda: peer.got and connection_of(scene, client).pipelined)
        connection = connection_of(scene, client)
        upstream_answers(scene)
        assert connection.transport is not None
        connection.transport.abort()
        connection.begin_next()
        await finish_all(scene, peer)
        assert len(peer.got) == 1
        client.close()

    run(test)


@pytest.mark.parametrize("closing", [sweep, close_all])
def test_the_unread_rest_of_a_request_keeps_it_from_a_408(
        closing: Callable[[module.Server], Awaitable[None]]) -> None:
    """The process had no CPU for so long that the request seems abandoned, although its rest waits unread."""
    async def test() -> None:
        async with serving(asked=False) as (server, client):
            client.send(REQUEST[:10])
            await until(lambda: all(one.has_partial_request for one in server.connections))
            for one in server.connections:
                one.quiet_since_us -= 60_000_000
            client.send(REQUEST[10:])  # within one step of the event loop
            await closing(server)
            reader, writer = await asyncio.open_connection(sock=client)
            assert (await read_message(reader)).status == 200
            writer.close()

    run(test)


# Guards against one client whose requests, answered at once, are all handled in one turn of the event loop.
def test_others_have_their_turn_between_two_requests_that_are_answered_at_once(
        monkeypatch: pytest.MonkeyPatch) -> None:
    begun_by_turn: Counter[int] = Counter()
    turn = 0
    begin = ClientConnection.begin

    def count(connection: ClientConnection, exchange: Exchange) -> None:
        begun_by_turn[turn] += 1
        begin(connection, exchange)

    async def count_turns() -> None:
        nonlocal turn
        while True:
            turn += 1
            await asyncio.sleep(0)

    monkeypatch.setattr(ClientConnection, "begin", count)

    async def test() -> None:
        scene = await Scene().start()
        counting = asyncio.create_task(count_turns())
        probe = b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n"
        client = connect(scene, probe * 100)
        await until(lambda: begun_by_turn.total() == 100)
        assert max(begun_by_turn.values()) <= 2
        counting.cancel()
        client.close()

    run(test)


# Guards against requests sent ahead that are dropped where a shutdown finds their connection between two of them.
def test_a_shutdown_drops_no_request_that_begins_in_the_next_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """While memory is short a request is parsed only after the answer to the one before."""
    reuse_at_once(monkeypatch)

    async def test() -> None:
        scene = await Scene().start((await Peer(reply(ok())).start()).entry("s-1"))
        scene.sidecar.server.memory.plan = MemoryPlan(data_bytes=1, max_connections=20, read_bytes=MAX_READ_BYTES)
        count = 4
        client = connect(scene, b"".join(scene.request() for _ in range(count)))
        await until(lambda: scene.sidecar.server.connections)
        connection = connection_of(scene, client)
        await until(lambda: connection.has_had_request)
        while connection.is_busy() or connection.parser.unparsed_size():
            scene.sidecar.server.close_idle()
            await asyncio.sleep(0)
        reader, writer = await asyncio.open_connection(sock=client)
        assert [(await read_message(reader)).status for _ in range(count)] == [200] * count
        writer.close()

    run(test)
