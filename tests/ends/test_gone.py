"""A client that ends its side has gone: no attempt of its request, first or further, begins 0.1 s later.

Two things hold it, and each is tried with the other one off: its end is noticed and told by itself, and each send looks
at the client's socket first.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from ironscale.interface import Outcome
from ironscale.net import server as module
from ironscale.net import upstream
from ironscale.net.client import ClientConnection
from ironscale.net.server import Server
from ironscale.net.upstream import Attempt, Pool
from ironscale.standins.http import TURNED_AWAY, ok
from ironscale.standins.upstream import Peer, hang
from tests.ends.test_clients import LEAVING, arrived, connect, connection_of, crowded, settled
from tests.sockets import Scene, run, until

ALLOWED_S = 0.1

Leave = Callable[[socket.socket], None]


def nothing(scene: Scene) -> list[bytes]:
    return []


def one(scene: Scene) -> list[bytes]:
    return [scene.request()]


def half_of_one(scene: Scene) -> list[bytes]:
    """The loop reads on, as no whole request waits."""
    return [scene.request("pay", b"x" * 100)[:-50]]


def much(scene: Scene) -> list[bytes]:
    """More than is read before reading is paused: its end lies behind unread bytes."""
    return [scene.request(), *(scene.request("pay", b"x" * 15_000) for _ in range(4))]


def nonsense(scene: Scene) -> list[bytes]:
    """Nothing is read any more, as the connection ends with the answers that are owed."""
    return [b"nonsense\r\n\r\n"]


AHEAD = [nothing, one, half_of_one, much, nonsense]
PAUSED = {one, much, nonsense}


async def late() -> None:
    """All that is allowed has passed. Both timers are of one loop, which runs them in their order, however late."""
    await asyncio.sleep(ALLOWED_S)
    for _ in range(3):  # and what has come meanwhile is read
        await asyncio.sleep(0.001)


def without_the_look_at_each_send(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ClientConnection, "has_left", lambda connection: False)


def without_the_look_by_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Server, "look", lambda server: None)


async def waiting_in_the_buffer(ahead: Callable[[Scene], list[bytes]]) -> tuple[
        Scene, Peer, socket.socket, socket.socket]:
    scene, peer, first = await crowded()
    client = connect(scene, scene.request(), *ahead(scene))
    await until(lambda: scene.sidecar.balancer.buffer is not None)
    await until(lambda: connection_of(scene, client).paused is (ahead in PAUSED))
    return scene, peer, first, client


@pytest.mark.parametrize("leave", LEAVING)
@pytest.mark.parametrize("ahead", AHEAD)
def test_the_end_of_who_waits_is_told_in_time_without_a_look_at_each_send(
        ahead: Callable[[Scene], list[bytes]], leave: Leave, monkeypatch: pytest.MonkeyPatch) -> None:
    without_the_look_at_each_send(monkeypatch)

    async def test() -> None:
        scene, peer, _first, client = await waiting_in_the_buffer(ahead)
        leave(client)
        await late()
        assert scene.sidecar.balancer.buffer is None and len(scene.sidecar.by_txn) == 1
        await settled(scene, peer)
        assert len(peer.got) == 1 and not scene.sidecar.server.paused

    run(test)
    assert module.LOOK_S <= ALLOWED_S / 2


class Site:
    """Two upstreams; the first attempt is out at one of them, or its connection comes up late."""

    def __init__(self) -> None:
        self.peers: list[Peer] = []
        self.dials: list[tuple[Pool, Attempt, asyncio.Event]] = []

    async def start(self, dialling: bool, monkeypatch: pytest.MonkeyPatch) -> Site:
        monkeypatch.setattr(upstream, "MIN_IDLE_US", 0)
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

    def out(self) -> upstream.Connection:
        return next(connection for pool in self.scene.sidecar.upstreams.pools.values() for connection in pool.busy)


def turned_away(site: Site) -> None:
    site.out().data_received(TURNED_AWAY)


def reset(site: Site) -> None:
    site.out().fail()


def timed_out(site: Site) -> None:
    site.dials[0][1].give_up(Outcome.TIMEOUT)


def not_connected(site: Site) -> None:
    site.dials[0][1].end(Outcome.CONNECT_FAILED)


def comes_up(site: Site) -> None:
    site.dials[0][2].set()


# What would send it, again or first, with what it is doing then and how often it has been sent before
CAUSES = [(turned_away, False), (reset, False), (timed_out, False), (not_connected, True), (comes_up, True)]


@pytest.mark.parametrize("leave", [None, *LEAVING])
@pytest.mark.parametrize(("cause", "dialling"), CAUSES)
@pytest.mark.parametrize("ahead", [nothing, one])
@pytest.mark.parametrize("off", [without_the_look_at_each_send, without_the_look_by_time])
def test_nothing_is_sent_again_or_late_for_who_has_gone(
        off: Callable[[pytest.MonkeyPatch], None], ahead: Callable[[Scene], list[bytes]],
        cause: Callable[[Site], None], dialling: bool, leave: Leave | None,
        monkeypatch: pytest.MonkeyPatch) -> None:
    """For a client that stays each of the causes does send: there is something to be held back."""
    off(monkeypatch)

    async def test() -> None:
        site = await Site().start(dialling, monkeypatch)
        scene = site.scene
        client = connect(scene, scene.request(), *ahead(scene))
        await until(lambda: site.dials if dialling else site.sent())
        await until(lambda: connection_of(scene, client).paused is (ahead in PAUSED))
        before = 0 if dialling else 1
        if leave is None:
            cause(site)
            await until(lambda: site.sent() == before + 1)
            client.close()
        else:
            connection, address = connection_of(scene, client), client.getsockname()
            if off is without_the_look_by_time:
                connection.transport.pause_reading()  # type: ignore[union-attr]  # nor does the loop read the end
            leave(client)
            if off is without_the_look_by_time:
                arrived(scene, address)
            else:
                await late()
            cause(site)
        comes_up(site)
        while scene.sidecar.requests:
            for peer in site.peers:
                peer.answer_held(ok())
            await asyncio.sleep(0.001)
        assert leave is None or site.sent() == before

    run(test)
