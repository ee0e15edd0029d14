"""The memory of clients' data is bounded over all connections, and those that hold most of it make room."""

from __future__ import annotations

import asyncio
import socket

import pytest

from ironscale.net import server as server_module
from ironscale.net.exchange import Exchange
from ironscale.net.memory import Memory
from ironscale.net.memory_budget import (
    CONNECTION_BYTES,
    CONNECTIONS_SHARE,
    DATA_SHARE,
    DEFAULT_DATA_BYTES,
    MAX_READ_BYTES,
    MIB,
    MIN_CONNECTIONS,
    MIN_DATA_BYTES,
    MIN_READ_BYTES,
    MemoryPlan,
    plan_memory,
)
from ironscale.net.server import Server
from ironscale.standins.http import ok, read_message
from ironscale.standins.upstream import Peer, hang, reply
from tests.sockets import Scene, run, until

READ_TIME_S = 0.05  # for the sidecar to read what a client has written
SMALL_PLAN = MemoryPlan(data_bytes=40_000, max_connections=20, read_bytes=MIN_READ_BYTES)


@pytest.mark.parametrize("limit_mb", [1, 24, 28, 32, 64, 192, 2048])
def test_a_plan_stays_within_what_is_left_or_at_its_least(limit_mb: int) -> None:
    used_bytes = 27 * MIB
    plan = plan_memory(limit_mb, used_bytes, 496)
    left_bytes = max(0, limit_mb * MIB - used_bytes)
    assert plan.data_bytes <= max(MIN_DATA_BYTES, DATA_SHARE * left_bytes)
    assert plan.max_connections * CONNECTION_BYTES <= max(MIN_CONNECTIONS * CONNECTION_BYTES,
                                                          CONNECTIONS_SHARE * left_bytes)
    assert plan.max_connections <= 496 and MIN_READ_BYTES <= plan.read_bytes <= MAX_READ_BYTES


def test_without_a_limit_the_data_is_bounded_all_the_same() -> None:
    assert plan_memory(0.0, 27 * MIB, 496) == MemoryPlan(DEFAULT_DATA_BYTES, 496, MAX_READ_BYTES)


class Application:
    """Takes no requests."""

    def is_ready(self) -> bool:
        return True

    def on_request(self, exchange: Exchange) -> None:
        raise AssertionError("no request was expected")

    def on_client_disconnected(self, exchange: Exchange) -> None:
        raise AssertionError("no request was expected")


async def small_scene(peer: Peer) -> Scene:
    scene = await Scene().start(peer.entry("s-1"))
    scene.sidecar.server.memory.plan = SMALL_PLAN
    return scene


def connect(scene: Scene, data: bytes) -> socket.socket:
    client = socket.create_connection(("127.0.0.1", scene.port))
    client.setblocking(False)
    assert client.send(data) == len(data)
    return client


async def status_of(client: socket.socket) -> int:
    reader, writer = await asyncio.open_connection(sock=client)
    try:
        return (await read_message(reader)).status
    finally:
        writer.close()


# Guards against memory that is held by many requests in part, each of them within its own limit.
def test_the_request_in_part_that_had_no_byte_for_longest_is_refused_first() -> None:
    async def test() -> None:
        scene = await small_scene(await Peer(reply(ok())).start())
        small = connect(scene, scene.request("pay", b"x" * 100)[:-50])
        clients = []
        for _ in range(3):
            clients.append(connect(scene, scene.request("pay", b"x" * 15_000)[:-50]))
            await asyncio.sleep(READ_TIME_S)
        assert await status_of(clients[0]) == 503
        for client in (small, *clients[1:]):
            client.send(b"x" * 50)
            assert await status_of(client) == 200
        await until(lambda: not scene.sidecar.server.connections)
        assert scene.sidecar.server.memory.used_bytes == 0

    run(test)


# Guards against complete requests that are taken on while there is no memory for them.
def test_a_request_is_refused_while_others_hold_all_memory() -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await small_scene(peer)
        holding = connect(scene, scene.request("pay", b"x" * 37_500))
        await until(lambda: peer.got)
        refused = await scene.call("pay", b"x" * 2_500)
        assert (refused.status, refused.headers["retry-after"]) == (503, "0.200") and len(peer.got) == 1
        peer.behave = reply(ok())
        peer.answer_held(ok())
        assert await status_of(holding) == 200
        await until(lambda: not scene.sidecar.server.memory.is_exceeded())
        assert (await scene.call("pay")).status == 200

    run(test)


# Guards against a request in part that stays in memory behind an open one, where no sweep finds it.
def test_a_request_in_part_behind_an_open_one_is_refused_too() -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await small_scene(peer)
        client = connect(scene, scene.request("pay") + scene.request("pay", b"x" * 50_000)[:-50])
        await until(lambda: peer.got)
        await until(lambda: scene.sidecar.server.memory.peak_bytes > SMALL_PLAN.data_bytes)
        await until(lambda: not scene.sidecar.server.memory.is_exceeded())
        peer.answer_held(ok())
        assert await status_of(client) == 200  # the open one is answered

    run(test)


# Guards against requests that are refused although the memory suffices again.
def test_no_more_is_refused_than_the_memory_needs() -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await small_scene(peer)
        client = connect(scene, scene.request("pay") + scene.request("pay", b"x" * 15_000)[:-50])
        await until(lambda: peer.got)
        await asyncio.sleep(READ_TIME_S)
        stalled = connect(scene, scene.request("pay", b"x" * 30_000)[:-50])
        assert await status_of(stalled) == 503
        assert not scene.sidecar.server.memory.is_exceeded()
        peer.behave = reply(ok())
        client.send(b"x" * 50)
        peer.answer_held(ok())
        reader, writer = await asyncio.open_connection(sock=client)
        assert [(await read_message(reader)).status for _ in range(2)] == [200, 200]
        writer.close()

    run(test)


# Guards against a plan made before the first list of upstreams, which may take many MB, has been applied.
@pytest.mark.parametrize(("first_mb", "then_mb"), [(30, 60), (70, 40)])
def test_what_is_left_is_measured_as_the_listener_opens(
        first_mb: int, then_mb: int, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(server_module, "read_memory", lambda: Memory(first_mb * MIB, first_mb * MIB))
        server = Server(Application(), 496, lambda: 0, memory_mb=64)
        assert server.memory.plan == plan_memory(64, first_mb * MIB, 496)
        monkeypatch.setattr(server_module, "read_memory", lambda: Memory(then_mb * MIB, then_mb * MIB))
        await server.listen(("127.0.0.1", 0))
        assert server.memory.plan == plan_memory(64, then_mb * MIB, 496)
        assert server.max_connections == server.memory.plan.max_connections
        server.drop_listener()
        assert server.sweeper is not None
        server.sweeper.cancel()

    run(test)
