"""What is owed to a client that leaves: nothing, and nothing of its request is sent on any more.

Each crossing is forced: both halves of it are done before the loop runs, so that it can't have read the first.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from ironscale.net import server as module
from ironscale.net import upstream
from ironscale.net.client import LEFT, MOST_UNREAD, ClientConnection
from ironscale.net.upstream import Pool
from ironscale.standins.http import ok, read_message
from ironscale.standins.upstream import Peer, hang, reply
from tests.sockets import Scene, run, until
from tests.test_shutdown import REQUEST, served, sweep


async def close_idle_and_silent(own: module.Server) -> None:
    for one in list(own.connections):
        one.close("a test")


def closes(client: socket.socket) -> None:
    client.close()


def ends_its_side(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


def resets(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def arrived(scene: Scene, client: tuple[str, int]) -> None:
    """Waits, while the loop stands, until a client's end has come to the sidecar's socket. Hazard: on a busy machine
    the kernel hands over a moment later, and there is no crossing yet."""
    for one in scene.sidecar.server.connections:
        with contextlib.suppress(OSError):
            if one.sock.fileno() >= 0 and one.sock.getpeername() == client:
                ends = select.poll()
                ends.register(one.sock, LEFT)
                assert ends.poll(10_000)


LEAVING: list[Callable[[socket.socket], None]] = [closes, ends_its_side, resets]


def connect(scene: Scene, *requests: bytes) -> socket.socket:
    client = socket.create_connection(("127.0.0.1", scene.port))
    client.setblocking(False)
    for request in requests:
        assert client.send(request) == len(request)
    return client


def connection_of(scene: Scene, client: socket.socket) -> ClientConnection:
    return next(one for one in scene.sidecar.server.connections if one.sock.getpeername() == client.getsockname())


async def settled(scene: Scene, peer: Peer) -> None:
    """All that is out is answered; nothing is left of any request."""
    peer.answer_held(ok())
    await until(lambda: not scene.sidecar.requests and not scene.sidecar.by_txn)
    assert scene.sidecar.balancer.buffer is None and not scene.sidecar.balancer.requests


async def crowded() -> tuple[Scene, Peer, socket.socket]:
    """The only upstream's only slot is taken, by a request that hangs; who comes now waits in the buffer."""
    peer = await Peer(hang).start()
    scene = await Scene().start(peer.entry("s-1"))
    first = connect(scene, scene.request())
    await until(lambda: peer.got)
    return scene, peer, first


def answers(scene: Scene) -> None:
    """The upstream's answer is read in this very step, which frees the slot."""
    pool = next(iter(scene.sidecar.upstreams.pools.values()))
    next(iter(pool.busy)).data_received(ok())


@pytest.mark.parametrize("leave", LEAVING)
@pytest.mark.parametrize("lane", ["view", "pay", "mark"])
@pytest.mark.parametrize("sent_ahead", [0, 1])
def test_a_request_whose_client_left_while_it_waited_is_not_sent_on(
        leave: Callable[[socket.socket], None], lane: str, sent_ahead: int) -> None:
    """With one sent ahead reading is paused, and the loop would never read the end."""
    async def test() -> None:
        scene, peer, _first = await crowded()
        client = connect(scene, scene.request(lane), *(scene.request(lane) for _ in range(sent_ahead)))
        await until(lambda: scene.sidecar.balancer.buffer is not None)
        await until(lambda: len(connection_of(scene, client).waiting) == sent_ahead)
        address = client.getsockname()
        leave(client)
        arrived(scene, address)
        answers(scene)  # the slot is free, and the end not read
        assert scene.sidecar.balancer.buffer is None and len(scene.sidecar.by_txn) == 0
        await settled(scene, peer)
        assert len(peer.got) == 1

    run(test)


@pytest.mark.parametrize("leave", LEAVING)
def test_who_leaves_while_reading_is_paused_is_noticed_by_the_next_look(
        leave: Callable[[socket.socket], None]) -> None:
    """What waits in the buffer would keep others out of it."""
    async def test() -> None:
        scene, peer, _first = await crowded()
        client = connect(scene, scene.request(), scene.request())
        await until(lambda: scene.sidecar.balancer.buffer is not None and connection_of(scene, client).paused)
        address = client.getsockname()
        leave(client)
        arrived(scene, address)
        scene.sidecar.server.look()
        assert scene.sidecar.balancer.buffer is None and len(scene.sidecar.by_txn) == 1
        await settled(scene, peer)
        assert module.LOOK_S <= 0.05 and len(peer.got) == 1

    run(test)


@pytest.mark.parametrize("leave", LEAVING)
def test_what_was_sent_ahead_is_not_sent_on_when_its_turn_comes_after_the_client_left(
        leave: Callable[[socket.socket], None]) -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        client = connect(scene, scene.request(), scene.request())
        await until(lambda: peer.got and connection_of(scene, client).waiting)
        address = client.getsockname()
        leave(client)
        arrived(scene, address)
        answers(scene)
        await settled(scene, peer)
        assert len(peer.got) == 1

    run(test)


@pytest.mark.parametrize("leave", LEAVING)
@pytest.mark.parametrize("paused", [False, True])
def test_who_left_while_a_connection_came_up_has_nothing_sent(
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
        await until(lambda: connection_of(scene, client).paused is paused)
        connection_of(scene, client).transport.pause_reading()  # type: ignore[union-attr]  # the end stays unread
        address = client.getsockname()
        leave(client)
        arrived(scene, address)
        up.set()
        await until(lambda: not scene.sidecar.upstreams.tasks)
        await settled(scene, peer)
        assert not peer.got

    run(test)


def test_a_client_that_stays_is_served_though_it_has_sent_ahead() -> None:
    """The other side of the same look: what is unread is no end."""
    async def test() -> None:
        scene, peer, _first = await crowded()
        client = connect(scene, scene.request(), scene.request(), scene.request())
        await until(lambda: scene.sidecar.balancer.buffer is not None and connection_of(scene, client).paused)
        scene.sidecar.server.look()
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


def test_who_sends_ahead_and_reads_no_answer_loses_the_connection_and_nobody_else_does() -> None:
    """Hazard: each answer is written into memory, for as long as requests come."""
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
        assert connection.transport is None and most <= MOST_UNREAD
        assert (await scene.call()).status == 200
        await settled(scene, peer)
        client.close()

    run(test)


def test_what_was_sent_ahead_is_not_sent_on_once_the_answer_before_it_could_not_be_written(
        monkeypatch: pytest.MonkeyPatch) -> None:
    """The write fails, the transport closes itself, and the loop tells so a turn later than the next one begins."""
    monkeypatch.setattr(upstream, "MIN_IDLE_US", 0)  # the next one is written in the same step

    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        client = connect(scene, scene.request(), scene.request())
        await until(lambda: peer.got and connection_of(scene, client).waiting)
        connection = connection_of(scene, client)
        answers(scene)
        assert connection.transport is not None
        connection.transport.abort()
        connection.next()
        await settled(scene, peer)
        assert len(peer.got) == 1
        client.close()

    run(test)


@pytest.mark.parametrize("closing", [sweep, close_idle_and_silent])
def test_the_rest_of_a_request_that_has_come_but_is_not_read_yet_keeps_it_from_a_408(
        closing: Callable[[module.Server], Awaitable[None]]) -> None:
    """The process had no processor for so long that the request looks given up on, and its rest lies unread."""
    async def test() -> None:
        async with served(asked=False) as (own, client):
            client.send(REQUEST[:10])
            await until(lambda: all(one.reading for one in own.connections))
            for one in own.connections:
                one.since_us -= 60_000_000
            client.send(REQUEST[10:])  # from within one step of the loop
            await closing(own)
            reader, writer = await asyncio.open_connection(sock=client)
            assert (await read_message(reader)).status == 200
            writer.close()

    run(test)
