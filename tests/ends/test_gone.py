"""A client that closes its side has left: 0.1 s later no attempt of its request begins any more.

Two mechanisms ensure this, and each is tested with the other one disabled: the client's end is detected by itself, and
the client's socket is checked before each send.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from ironscale.interface import Outcome
from ironscale.net.client import ClientConnection
from ironscale.net.connection_metrics import CloseReason
from ironscale.net.end_poller import POLL_INTERVAL_S, EndPoller
from ironscale.net.upstream import Pool
from ironscale.net.upstream_connection import Attempt, Connection
from ironscale.standins.http import TURNED_AWAY, ok, read_message
from ironscale.standins.upstream import Peer, hang, reply
from tests.ends.test_clients import (
    WAYS_TO_LEAVE,
    connect,
    connection_of,
    finish_all,
    scene_without_free_slot,
    wait_for_end,
)
from tests.reuse import reuse_at_once
from tests.sockets import Scene, run, until

ALLOWED_S = 0.1
UNLIMITED = [{"name": "north", "allowance-per-s": 1e6, "share": 1.0}]

Leave = Callable[[socket.socket], None]


def nothing(scene: Scene) -> list[bytes]:
    return []


def one_request(scene: Scene) -> list[bytes]:
    return [scene.request()]


def partial_request(scene: Scene) -> list[bytes]:
    """The event loop goes on reading, as no complete request is queued."""
    return [scene.request("pay", b"x" * 100)[:-50]]


def many_large_requests(scene: Scene) -> list[bytes]:
    """More than is read before reading is paused: the client's end lies behind unread bytes."""
    return [scene.request(), *(scene.request("pay", b"x" * 15_000) for _ in range(4))]


def malformed_request(scene: Scene) -> list[bytes]:
    """Nothing more is read, as the connection closes after the open answers."""
    return [b"nonsense\r\n\r\n"]


PIPELINED = [nothing, one_request, partial_request, many_large_requests, malformed_request]
PAUSED = {one_request, many_large_requests, malformed_request}


async def wait_out_allowance() -> None:
    """Waits out the time allowed. This timer and the server's are of one event loop, which runs them in order however
    late it is."""
    await asyncio.sleep(ALLOWED_S)
    for _ in range(3):  # lets the loop read what has arrived meanwhile
        await asyncio.sleep(0.001)


def without_check_at_each_send(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ClientConnection, "client_has_left", lambda connection: False)


def without_end_polling(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(EndPoller, "poll", lambda poller: None)


async def waiting_in_the_buffer(pipelined: Callable[[Scene], list[bytes]]) -> tuple[
        Scene, Peer, socket.socket, socket.socket]:
    scene, peer, first = await scene_without_free_slot()
    client = connect(scene, scene.request(), *pipelined(scene))
    await until(lambda: scene.sidecar.balancer.buffer is not None)
    await until(lambda: connection_of(scene, client).reading_paused is (pipelined in PAUSED))
    return scene, peer, first, client


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
@pytest.mark.parametrize("pipelined", PIPELINED)
def test_the_end_of_a_waiting_client_is_detected_in_time_without_check_at_each_send(
        pipelined: Callable[[Scene], list[bytes]], leave: Leave, monkeypatch: pytest.MonkeyPatch) -> None:
    without_check_at_each_send(monkeypatch)

    async def test() -> None:
        scene, peer, _first, client = await waiting_in_the_buffer(pipelined)
        leave(client)
        await wait_out_allowance()
        assert scene.sidecar.balancer.buffer is None and len(scene.sidecar.by_txn) == 1
        await finish_all(scene, peer)
        assert len(peer.got) == 1 and not scene.sidecar.server.end_poller.connections

    run(test)
    assert POLL_INTERVAL_S <= ALLOWED_S / 2


class Site:
    """Two upstreams; the first attempt is in flight at one of them, or its connection is established late."""

    def __init__(self) -> None:
        self.peers: list[Peer] = []
        self.dials: list[tuple[Pool, Attempt, asyncio.Event]] = []

    async def start(self, dialling: bool, monkeypatch: pytest.MonkeyPatch) -> Site:
        reuse_at_once(monkeypatch)
        real = Pool.connect

        async def connect_late(pool: Pool, attempt: Attempt) -> None:
            up = asyncio.Event()
            self.dials.append((pool, attempt, up))
            if dialling and len(self.dials) == 1:
                await up.wait()
            await real(pool, attempt)

        monkeypatch.setattr(Pool, "connect", connect_late)
        self.peers = [await Peer(hang).start() for _ in range(2)]
        self.scene = await Scene().start(*(peer.entry(f"s-{i}") for i, peer in enumerate(self.peers)))
        return self

    def sent(self) -> int:
        return sum(len(peer.got) for peer in self.peers)

    def busy_connection(self) -> Connection:
        return next(connection for pool in self.scene.sidecar.upstreams.pools.values() for connection in pool.busy)


def turned_away(site: Site) -> None:
    site.busy_connection().data_received(TURNED_AWAY)


def reset(site: Site) -> None:
    site.busy_connection().fail(CloseReason.PEER_ENDED)


def timed_out(site: Site) -> None:
    site.dials[0][1].give_up(Outcome.TIMEOUT)


def connect_failed(site: Site) -> None:
    site.dials[0][1].end(Outcome.CONNECT_FAILED)


def connection_established(site: Site) -> None:
    site.dials[0][2].set()


# Events that would cause a first or a further attempt, each with whether the request is still connecting then
CAUSES = [(turned_away, False), (reset, False), (timed_out, False), (connect_failed, True),
          (connection_established, True)]


@pytest.mark.parametrize("leave", [None, *WAYS_TO_LEAVE])
@pytest.mark.parametrize(("cause", "dialling"), CAUSES)
@pytest.mark.parametrize("pipelined", [nothing, one_request])
@pytest.mark.parametrize("disable", [without_check_at_each_send, without_end_polling])
def test_no_attempt_begins_for_a_client_that_has_left(
        disable: Callable[[pytest.MonkeyPatch], None], pipelined: Callable[[Scene], list[bytes]],
        cause: Callable[[Site], None], dialling: bool, leave: Leave | None,
        monkeypatch: pytest.MonkeyPatch) -> None:
    """For a client that stays (`leave` is None) each cause does send, so that there is something to prevent."""
    disable(monkeypatch)

    async def test() -> None:
        site = await Site().start(dialling, monkeypatch)
        scene = site.scene
        client = connect(scene, scene.request(), *pipelined(scene))
        await until(lambda: site.dials if dialling else site.sent())
        await until(lambda: connection_of(scene, client).reading_paused is (pipelined in PAUSED))
        before = 0 if dialling else 1
        if leave is None:
            cause(site)
            await until(lambda: site.sent() == before + 1)
            client.close()
        else:
            connection, address = connection_of(scene, client), client.getsockname()
            if disable is without_end_polling:
                connection.transport.pause_reading()  # type: ignore[union-attr]  # nor may the loop read the end
            leave(client)
            if disable is without_end_polling:
                wait_for_end(scene, address)
            else:
                await wait_out_allowance()
            cause(site)
        connection_established(site)
        while scene.sidecar.requests:
            for peer in site.peers:
                peer.answer_held(ok())
            await asyncio.sleep(0.001)
        assert leave is None or site.sent() == before

    run(test)


# Guards against a client that is taken for gone because it sends more ahead than the kernel holds.
def test_a_client_that_sends_far_ahead_and_stays_is_answered_each_time(monkeypatch: pytest.MonkeyPatch) -> None:
    reuse_at_once(monkeypatch)

    async def test() -> None:
        peer = await Peer(reply(ok())).start()
        scene = await Scene().start(peer.entry("s-1"), accounts=UNLIMITED)
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        count = 1_500
        writer.write(b"".join(scene.request("pay", b"x" * 100) for _ in range(count)))
        statuses = [(await read_message(reader)).status for _ in range(count)]
        assert set(statuses) <= {200, 502, 503} and 200 in statuses
        assert len(peer.got) == statuses.count(200)
        assert (await scene.call("pay")).status == 200
        writer.close()

    run(test)
