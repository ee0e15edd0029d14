"""Clients whose bytes take long to parse, or who send probes without end, leave time and room to others."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import pytest

from ironscale.net import client as module
from ironscale.net import parse_pacing
from ironscale.net.http_message import MAX_BODY_BYTES
from ironscale.net.request_parser import ParseFailure, RequestParser
from ironscale.standins.http import ok, read_message
from ironscale.standins.upstream import Peer, reply
from tests.ends.test_clients import connect, connection_of
from tests.sockets import Scene, run, until

PROBE = b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n"
CHUNKED_HEAD = (b"POST /api HTTP/1.1\r\nHost: s\r\nX-Txn: t1\r\nX-Lane: pay\r\nX-Remaining: 2000m\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n")
SMALL_CHUNKS = b"2\r\nxy\r\n" * 50  # parsed in one step
STEP_US = 30  # which such a step takes


class ParserClock:
    """A clock that each step of a parser moves on by the same time."""

    def __init__(self, now_us: int, step_us: int) -> None:
        self.now_us, self.step_us = now_us, step_us
        self.parse: Callable[[RequestParser], ParseFailure | None] = RequestParser.parse_next

    def parse_next(self, parser: RequestParser) -> ParseFailure | None:
        self.now_us += self.step_us
        return self.parse(parser)


async def paced_scene(monkeypatch: pytest.MonkeyPatch, share: float) -> Scene:
    """A scene in which every piece of a request counts as one that took long."""
    monkeypatch.setattr(parse_pacing, "UNPACED_US", -1)
    monkeypatch.setattr(parse_pacing, "BURST_US", 0)
    monkeypatch.setattr(parse_pacing, "MAX_PAUSE_US", 10**15)
    monkeypatch.setattr(parse_pacing, "MAX_US_PER_BYTE", 1e6)
    monkeypatch.setattr(parse_pacing, "PARSING_SHARE", share)
    return await Scene().start((await Peer(reply(ok())).start()).entry("s-1"))


# Guards against a pause after which the rest of a request is not read.
def test_a_paced_request_is_read_to_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        scene = await paced_scene(monkeypatch, 0.4)
        request = scene.request("pay", b"x" * 1_000)
        client = connect(scene, request[:20])
        loop = asyncio.get_running_loop()
        for at in range(20, len(request), 50):
            await asyncio.sleep(0.001)
            await loop.sock_sendall(client, request[at:at + 50])
        reader, writer = await asyncio.open_connection(sock=client)
        assert (await read_message(reader)).status == 200
        writer.close()

    run(test)


# Guards against a client that stays for ever, as its unread bytes keep its connection open.
def test_a_paced_client_is_told_when_its_time_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        scene = await paced_scene(monkeypatch, 1e-9)
        client = connect(scene, scene.request("pay", b"x" * 1_000)[:-500])
        await until(lambda: scene.sidecar.server.connections and connection_of(scene, client).is_paced)
        client.send(b"x" * 100)
        connection_of(scene, client).quiet_since_us -= 60_000_000
        scene.sidecar.server.sweep()
        reader, writer = await asyncio.open_connection(sock=client)
        assert (await read_message(reader)).status == 408
        writer.close()

    run(test)


# Guards against a paced client whose end nobody notices.
def test_the_end_of_a_paced_client_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        scene = await paced_scene(monkeypatch, 1e-9)
        client = connect(scene, scene.request("pay", b"x" * 1_000)[:-500])
        await until(lambda: scene.sidecar.server.connections and connection_of(scene, client).is_paced)
        client.close()
        await until(lambda: not scene.sidecar.server.connections)

    run(test)


# Guards against a long pause for a client whose small piece was read as the process was held up.
def test_a_small_piece_is_never_followed_by_a_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        scene = await Scene().start()
        client = connect(scene, scene.request("pay", b"x" * 100)[:-50])
        await until(lambda: scene.sidecar.server.connections and connection_of(scene, client).has_partial_request)
        connection = connection_of(scene, client)
        server = scene.sidecar.server
        monkeypatch.setattr(server, "now_us", itertools.count(server.now_us(), 200_000).__next__)
        connection.data_received(b"x" * 10)
        assert not connection.is_paced and not server.parse_pacing.pause_us(server.now_us())
        client.close()

    run(test)


# Guards against a crowd that takes all the time, as each of its pieces alone is too short to be followed by a pause.
@pytest.mark.parametrize("piece_us", [5, 30, 150])
def test_small_pieces_of_many_clients_are_followed_by_pauses(monkeypatch: pytest.MonkeyPatch, piece_us: int) -> None:
    async def test() -> None:
        scene = await Scene().start()
        server = scene.sidecar.server
        clients = [connect(scene, CHUNKED_HEAD) for _ in range(40)]
        await until(lambda: [one.has_partial_request for one in server.connections].count(True) == len(clients))
        clock = ParserClock(server.now_us(), piece_us)
        monkeypatch.setattr(server, "now_us", lambda: clock.now_us)
        monkeypatch.setattr(RequestParser, "parse_next", lambda parser: clock.parse_next(parser))
        for _ in range(MAX_BODY_BYTES // 100):
            for connection in server.connections:
                if not connection.is_paced:
                    connection.data_received(SMALL_CHUNKS)
        assert all(connection.is_paced for connection in server.connections)
        for client in clients:
            client.close()

    run(test)


# Guards against a pause for a client that is alone, whatever its body.
def test_a_client_alone_is_never_paused(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        scene = await Scene().start()
        server = scene.sidecar.server
        client = connect(scene, CHUNKED_HEAD)
        await until(lambda: server.connections and connection_of(scene, client).has_partial_request)
        connection = connection_of(scene, client)
        clock = ParserClock(server.now_us(), STEP_US)
        monkeypatch.setattr(server, "now_us", lambda: clock.now_us)
        monkeypatch.setattr(RequestParser, "parse_next", lambda parser: clock.parse_next(parser))
        for _ in range(MAX_BODY_BYTES // 100):
            connection.data_received(SMALL_CHUNKS)
            assert not connection.is_paced
        client.close()

    run(test)


# Guards against a pause for a usual request in part beside a crowd that owes time.
def test_usual_pieces_beside_a_crowd_are_not_followed_by_pauses() -> None:
    async def test() -> None:
        scene = await Scene().start()
        server = scene.sidecar.server
        client = connect(scene, CHUNKED_HEAD)
        await until(lambda: server.connections and connection_of(scene, client).has_partial_request)
        connection, now_us = connection_of(scene, client), server.now_us()
        connection.pacing.reset()
        server.parse_pacing.spend(now_us, 1e6)
        connection.pace(now_us, now_us + 20, 4_000)
        assert server.parse_pacing.pause_us(now_us) and not connection.is_paced
        client.close()

    run(test)


# Guards against connections that no new client can replace, as their probes never end.
def test_probes_without_end_make_room_in_a_crowd() -> None:
    async def test() -> None:
        scene = await Scene().start()
        scene.sidecar.server.max_connections = 1
        client = connect(scene, PROBE * 200)
        reader, writer = await asyncio.open_connection(sock=client)
        answers = await reader.read()
        assert 0 < answers.count(b"HTTP/1.1") <= module.MAX_PROBES_IN_CROWD + 2  # the limit passed, and one that waits
        writer.close()

    run(test)


def test_probes_are_all_answered_where_there_is_room() -> None:
    async def test() -> None:
        scene = await Scene().start()
        reader, writer = await asyncio.open_connection(sock=connect(scene, PROBE * 200))
        for _ in range(200):
            await read_message(reader)
        writer.close()

    run(test)
