"""The whole sidecar between a client, upstreams and discovery, on loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import pytest

from ironscale import interface as api
from ironscale.net import client, server, upstream, upstream_connection
from ironscale.net.exchange import Exchange
from ironscale.net.memory_budget import MAX_READ_BYTES
from ironscale.net.request import parse_load_report
from ironscale.net.request_checks import parse_remaining_us
from ironscale.net.sidecar import ANSWER_MARGIN_US
from ironscale.net.timers import Clock
from ironscale.standins.discovery import FakeDiscovery, listing
from ironscale.standins.http import TURNED_AWAY, Message, ok, read_message
from ironscale.standins.settings import SETTINGS
from ironscale.standins.upstream import Peer, hang, reply, reset
from tests.deployed import DEPLOY, ROOT, build
from tests.reuse import reuse_at_once
from tests.sockets import Scene, free_port, run, until


def test_a_request_is_forwarded_unchanged_and_so_is_its_answer() -> None:
    async def test() -> None:
        body = bytes(range(256)) * 256  # 64 KiB, the most that is allowed
        head = b"HTTP/1.1 200 OK\r\nX-Kind: k\r\nContent-Length: 65536\r\n\r\n"
        peer = await Peer(reply(head + body)).start()
        scene = await Scene().start(peer.entry("s-1"))
        answer = await scene.call("mark", body)
        assert (answer.status, answer.body, answer.headers["x-kind"]) == (200, body, "k")
        got = peer.got[0]
        assert got.first == "POST /api?sid=7f HTTP/1.1" and got.body == body
        assert (got.headers["x-txn"], got.headers["idempotency-key"]) == ("t1", "k")
        left_us = int(got.headers["x-remaining"].removesuffix("u"))
        assert 0 < left_us <= 8_000_000 - ANSWER_MARGIN_US

    run(test)


def test_a_client_connection_is_kept_alive() -> None:
    async def test() -> None:
        scene = await Scene().start((await Peer().start()).entry("s-1"))
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        for _ in range(3):
            writer.write(scene.request())
            assert (await read_message(reader)).status == 200
        writer.close()

    run(test)


def test_pipelined_requests_that_arrive_in_pieces_are_answered_in_order() -> None:
    async def test() -> None:
        async def echo(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(ok(message.headers["x-txn"].encode()))

        scene = await Scene().start((await Peer(echo).start()).entry("s-1"))
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        data = b"".join(scene.request("pay", b"abc") for _ in range(3))
        for byte in data:
            writer.write(bytes([byte]))
            await writer.drain()
        assert [(await read_message(reader)).body for _ in range(3)] == [b"t1", b"t2", b"t3"]
        writer.close()

    run(test)


def first_then_ok(first: bytes | None) -> Any:
    """Behaviour of upstreams: the first request to any of them gets these bytes (None: a reset), later ones 200."""
    left = [first]

    async def behave(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
        if not left:
            writer.write(ok())
            return
        data = left.pop()
        if data is None:
            writer.transport.abort()
        else:
            writer.write(data)

    return behave


@pytest.mark.parametrize(("first", "lane", "status", "sent"), [
    (TURNED_AWAY, "pay", 200, 2),
    (None, "view", 200, 2),
    (None, "mark", 200, 2),
    # an unsafe request that may have run must be neither sent again nor refused: it could run twice
    (None, "pay", 502, 1),
    (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "pay", 502, 1),
    (b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", "pay", 502, 1),
])
def test_a_failed_attempt_is_retried_only_where_the_class_allows_it(
    first: bytes | None, lane: str, status: int, sent: int
) -> None:
    async def test() -> None:
        behave = first_then_ok(first)
        peers = [await Peer(behave).start() for _ in range(3)]
        scene = await Scene().start(*(peer.entry(f"s-{i}") for i, peer in enumerate(peers)))
        assert (await scene.call(lane)).status == status
        assert sum(len(peer.got) for peer in peers) == sent

    run(test)


def test_an_unanswered_unsafe_request_fails_before_its_deadline_and_frees_the_connection() -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"))
        await scene.call("pay")  # teaches the balancer to expect answers this fast
        peer.behave = hang
        start = time.monotonic()
        assert (await scene.call("pay", remaining="400000u")).status == 502
        assert time.monotonic() - start >= 0.39 - ANSWER_MARGIN_US / 1e6
        await until(lambda: scene.sidecar.upstreams.open_count == 0)
        assert not scene.sidecar.requests and not scene.sidecar.by_txn

    run(test)


@pytest.mark.parametrize("first", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal"])
@pytest.mark.parametrize("leaves", [False, True])
def test_a_connection_that_falls_silent_does_not_hold_its_upstreams_only_slot(
    first: bytes, leaves: bool
) -> None:
    async def silent_once(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(first if len(peer.got) == 1 else ok())

    classes = [{**c, "aim": 100_000, "deadline": 60_000_000} for c in SETTINGS["request-classes"]]

    async def test() -> None:
        peer = await Peer(silent_once).start()
        scene = await Scene().start(peer.entry("s-1"), **{"request-classes": classes})
        _, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(scene.request("pay", remaining="60000m"))
        await until(lambda: peer.got)
        if leaves:
            writer.close()
        while (await scene.call(remaining="60000m")).status != 200:
            pass  # refused for now
        assert scene.sidecar.requests  # the first attempt is still in flight
        writer.close()

    run(test)


def test_a_distant_upstream_gets_more_than_one_request_at_a_time() -> None:
    """Guards against a window that stays at one slot for good, because the usual answers of a distant upstream take
    about as long as counts as slow."""
    out = [0]

    async def far(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
        out[0] += 1
        await asyncio.sleep(0.2)
        writer.write(ok())
        out[0] -= 1

    classes = [{**c, "aim": 500_000, "deadline": 60_000_000} for c in SETTINGS["request-classes"]]

    async def test() -> None:
        peer = await Peer(far).start()
        scene = await Scene().start(peer.entry("s-1"), **{"request-classes": classes})

        async def ask() -> None:
            while True:
                if (await scene.call(remaining="60000m")).status != 200:
                    await asyncio.sleep(0.01)

        callers = [asyncio.create_task(ask()) for _ in range(8)]
        await until(lambda: out[0] >= 3)
        for caller in callers:
            caller.cancel()

    run(test)


def test_a_refusal_comes_at_once_with_a_retry_after_header() -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        calls = [asyncio.create_task(scene.call(remaining="60000m")) for _ in range(60)]
        done, pending = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        answer = done.pop().result()
        assert answer.status == 503 and 0 < float(answer.headers["retry-after"]) <= 1.0
        for call in pending:
            call.cancel()

    run(test)


def test_the_balancer_hears_of_a_client_that_left_and_the_upstream_connection_is_reused(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    reuse_at_once(monkeypatch)

    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        _, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(scene.request("pay"))
        await until(lambda: peer.got)
        writer.close()
        await until(lambda: not scene.sidecar.by_txn)
        peer.behave = reply(ok())
        peer.answer_held(ok())
        await until(lambda: not scene.sidecar.requests)
        assert (await scene.call()).status == 200 and peer.opened == 1

    run(test)


VIEW = b"Host: h\r\nX-Txn: t\r\nX-Lane: view\r\nX-Remaining: 8000m\r\n"
MARK = VIEW.replace(b"view", b"mark") + b"Idempotency-Key: k\r\n"
PAY = VIEW.replace(b"view", b"pay")
CHUNKED_BODY = b"5\r\nabcde\r\n0\r\n\r\n"


def get(head: bytes) -> bytes:
    return b"GET /api HTTP/1.1\r\n" + head + b"\r\n"


def post(head: bytes, body: bytes = b"") -> bytes:
    return b"POST /api HTTP/1.1\r\n" + head + b"\r\n" + body


# Guards against forwarding ambiguous or malformed requests: the upstream could read them differently, or run one twice.
@pytest.mark.parametrize(("data", "status"), [
    (b"nonsense\r\n\r\n", 400),
    (post(b"Content-Length: x\r\n"), 400),
    (post(PAY + b"Content-Length: -1\r\n"), 400),
    (post(PAY + b"Content-Length: 99999999999999999999999\r\n"), 400),
    (get(b"Host: h\r\n"), 400),
    (get(VIEW + b"Connection: Upgrade\r\nUpgrade: h2c\r\n"), 400),
    (post(PAY + b"Content-Length: 65537\r\n"), 413),  # rejected by the head, before the body arrives
    (post(PAY + b"Transfer-Encoding: chunked\r\n", b"10001\r\n" + bytes(65537)), 413),
    (get(VIEW + b"X-Long: %s\r\n" % (b"x" * 9000) * 8), 413),
    (b"GET /api HTTP/1.1\r\nX-Long: " + b"x" * 100_000, 413),
    (get(VIEW + b"X-Short: x\r\n" * 200), 413),
    # two conflicting lengths, by which a second request could be smuggled in the body
    (post(PAY + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", CHUNKED_BODY), 400),
    (post(PAY + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", CHUNKED_BODY), 400),
    (post(PAY + b"content-length: 5\r\nTRANSFER-ENCODING: Chunked\r\n", CHUNKED_BODY), 400),
    (post(PAY + b"Content-Length: 5\r\nTransfer-Encoding: identity\r\n", CHUNKED_BODY), 400),
    (post(PAY + b"Content-Length: 5\r\nTransfer-Encoding: xchunked\r\n", CHUNKED_BODY), 400),
    (post(PAY + b"Content-Length: 5\r\nTransfer-Encoding:\tchunked\r\n", CHUNKED_BODY), 400),
    (post(PAY + b"Content-Length: 5\r\nTransfer-Encoding : chunked\r\n", CHUNKED_BODY), 400),
    (post(PAY + b"Content-Length: 5\r\nTransfer-Encoding:\r\n chunked\r\n", CHUNKED_BODY), 400),
    (post(PAY + b"Content-Length: 15\r\nTransfer_Encoding: chunked\r\n", CHUNKED_BODY), 400),
    (post(PAY + b"Content_Length: 5\r\nTransfer-Encoding: chunked\r\n", CHUNKED_BODY), 400),
    (post(PAY + b"Content-Length: 5\r\nContent-Length: 5\r\n", b"abcde"), 400),
    # id, request class, remaining time, method and idempotency key
    (get(VIEW.replace(b"X-Txn: t\r\n", b"")), 400),
    (get(VIEW.replace(b"X-Txn: t\r\n", b"X-Txn: %s\r\n" % (b"t" * 257))), 400),
    (get(VIEW + b"X-Txn: u\r\n"), 400),
    (get(VIEW.replace(b"view", b"views")), 400),
    (get(VIEW.replace(b"X-Lane: view\r\n", b"")), 400),
    (get(VIEW + b"X-Lane: pay\r\n"), 400),
    (get(VIEW.replace(b"8000m", b"soon")), 400),
    (get(VIEW.replace(b"X-Remaining: 8000m\r\n", b"")), 400),
    (get(VIEW + b"X-Remaining: 8000m\r\n"), 400),
    (get(VIEW + b"Idempotency-Key: k\r\n"), 400),
    (get(PAY), 400),
    (get(MARK), 400),
    (b"GET /api HTTP/1.1\r\n" + VIEW + b"Content-Length: 2\r\n\r\nno", 400),
    (post(VIEW), 400),
    (post(PAY + b"Idempotency-Key: k\r\n"), 400),
    (post(PAY + b"Idempotency-Key: k\r\nIdempotency-Key: l\r\n"), 400),
    (post(MARK + b"Idempotency-Key: l\r\n"), 400),
    (post(MARK.replace(b"Idempotency-Key: k\r\n", b"Idempotency-Key: \r\n")), 400),
    (b"HEAD /api HTTP/1.1\r\n" + VIEW + b"\r\n", 400),
])
def test_an_unusable_request_is_rejected_and_not_forwarded(data: bytes, status: int) -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"))
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(data)
        assert (await read_message(reader)).status == status
        assert await reader.read() == b""  # and the connection ends
        assert not peer.got
        assert (await scene.call()).status == 200

    run(test)


@pytest.mark.parametrize(("text", "expected"), [
    ("480m", 480_000), ("480000u", 480_000), ("0.5m", 500), ("0m", 0), ("3600000m", 3_600_000_000),
    ("", None), ("m", None), ("480", None), ("480s", None), ("-5m", None), ("+5m", None), (" 5m", None),
    ("nanm", None), ("infm", None), ("1e3m", None), ("1_000m", None), ("\u0664m", None), ("0x10m", None),
    ("3600001m", None), ("9" * 400 + "m", None), ("5m,6m", None), (".m", None),
])
def test_the_remaining_time_is_parsed_strictly(text: str, expected: int | None) -> None:
    assert parse_remaining_us(text) == expected


@pytest.mark.parametrize(("value", "expected"), [
    (b"rif=7,q=2,busy=0.61", [0.61, 7.0]), (b"busy=0.5,rif=1", [0.5, 1.0]), (b"busy=0.5", []), (b"", []),
    (b"busy=nan,rif=1", []), (b"busy=x,rif=1", []), (b"{", []), (b"\xff=,=", []),
])
def test_a_malformed_load_report_counts_as_none(value: bytes, expected: list[float]) -> None:
    assert parse_load_report([(b"x-pressure", value)], ["busy", "rif"]) == expected
    assert parse_load_report([], ["busy"]) == parse_load_report([(b"x-pressure", value)], []) == []


def test_the_load_report_reaches_the_balancer() -> None:
    async def test() -> None:
        data = b"HTTP/1.1 200 OK\r\nX-Pressure: busy=0.25\r\nContent-Length: 0\r\n\r\n"
        scene = await Scene().start((await Peer(reply(data)).start()).entry("s-1"),
                                    report={"how": "answers", "names": ["busy"]})
        assert (await scene.call()).status == 200
        await until(lambda: [s.utilization for s in scene.sidecar.balancer.upstreams.values()] == [0.25])

    run(test)


# Guards against a request that runs twice because its id comes again after its client has left.
def test_the_id_of_a_request_is_rejected_while_it_is_open_and_after_its_client_has_left() -> None:

    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        data = scene.request("pay")
        _, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(data)
        await until(lambda: peer.got)
        assert (await scene.send(data)).status == 400 and len(peer.got) == 1
        writer.close()
        await until(lambda: not scene.sidecar.by_txn)
        assert (await scene.send(data)).status == 400  # its attempt is still out
        peer.behave = reply(ok())
        peer.answer_held(ok())
        await until(lambda: not scene.sidecar.requests)
        assert (await scene.send(data)).status == 400 and len(peer.got) == 1  # it has run
        assert (await scene.call("pay")).status == 200

    run(test)


WAITED_S = 0.35


# Guards against a request sent ahead whose deadline counts from bytes that came after it.
def test_the_deadline_of_a_request_sent_ahead_counts_from_its_own_bytes() -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(b"".join(scene.request("pay", remaining="6000m") for _ in range(4)))
        await until(lambda: peer.got)
        await asyncio.sleep(WAITED_S)
        writer.write(scene.request("pay", remaining="6000m"))
        await asyncio.sleep(0.01)
        peer.behave = reply(ok())
        peer.answer_held(ok())
        assert [(await read_message(reader)).status for _ in range(5)] == [200] * 5
        told_s = [int(message.headers["x-remaining"][:-1]) / 1e6 for message in peer.got]
        assert all(one < 6.0 - WAITED_S for one in told_s[1:4]), told_s
        writer.close()

    run(test)


def test_pipelined_requests_are_held_back_and_their_deadlines_count_from_arrival() -> None:
    """Otherwise they would fill the memory, and one that waited would be answered after its deadline."""

    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(scene.request("pay"))
        await until(lambda: peer.got)
        connection = next(iter(scene.sidecar.server.connections))
        for _ in range(20_000):
            writer.write(scene.request(remaining="300m"))
        await until(connection.parser.unparsed_size)
        await asyncio.sleep(0.35)
        assert len(connection.pipelined) <= MAX_READ_BYTES // 100
        assert connection.parser.unparsed_size() <= 512 << 10
        peer.behave = reply(ok())
        peer.answer_held(ok())
        assert (await read_message(reader)).status == 200
        assert (await read_message(reader)).status == 503  # its deadline passed before its turn came
        writer.close()
        await until(lambda: not scene.sidecar.server.connections)

    run(test)


def test_garbage_behind_complete_requests_ends_the_connection_after_their_answers() -> None:
    """Guards against a connection that stays open for ever although nothing reads it any more."""

    async def test() -> None:
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"))
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(scene.request() + scene.request() + b"noise\r\n\r\n")
        assert [(await read_message(reader)).status for _ in range(2)] == [200, 200]
        assert await reader.read() == b""

    run(test)


@pytest.mark.parametrize(("sent", "answer"), [
    (b"", b""), (b"GET /api HT", b"HTTP/1.1 408"), (get(VIEW)[:-2], b"HTTP/1.1 408"),
    (post(PAY + b"Content-Length: 9\r\n", b"half"), b"HTTP/1.1 408"),
])
def test_a_client_that_sends_no_complete_request_gets_an_error_in_time(
    sent: bytes, answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert server.SILENCE_TIMEOUT_S + server.SWEEP_INTERVAL_S < 3.0
    monkeypatch.setattr(server, "SILENCE_TIMEOUT_S", 0.7)

    async def test() -> None:
        scene = await Scene().start((await Peer().start()).entry("s-1"))
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(sent)
        assert (await reader.read())[:12] == answer
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(scene.request())
        assert (await read_message(reader)).status == 200
        await asyncio.sleep(1.0)  # a connection that is idle between requests is not silent
        writer.write(scene.request() + sent)
        assert (await read_message(reader)).status == 200
        if sent:
            assert (await reader.read())[:12] == answer
        writer.close()
        await until(lambda: not scene.sidecar.server.connections)

    run(test)


def test_at_the_limit_silent_connections_go_first_and_a_written_request_waits_for_room() -> None:
    """Guards against accepting and closing connections beyond the limit, and losing requests already written."""

    async def test() -> None:
        peers = [await Peer(hang).start() for _ in range(4)]
        scene = await Scene().start(*(peer.entry(f"s-{i}") for i, peer in enumerate(peers)))
        scene.sidecar.server.max_connections = 3
        silent = [await asyncio.open_connection("127.0.0.1", scene.port) for _ in range(3)]
        calls = [asyncio.create_task(scene.call("pay")) for _ in range(3)]
        await until(lambda: sum(len(peer.got) for peer in peers) == 3)
        for reader, _ in silent:
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
        calls.append(asyncio.create_task(scene.call("pay")))  # no room: all three connections have an open request
        await until(lambda: scene.sidecar.server.accepting_paused)
        assert len(scene.sidecar.server.connections) == 3
        for peer in peers:
            peer.behave = reply(ok())
            peer.answer_held(ok())
        assert [answer.status for answer in await asyncio.gather(*calls)] == [200] * 4

    run(test)


def test_many_readiness_probes_that_stay_connected_keep_no_client_out() -> None:
    """Otherwise clients with requests would wait in the accept queue until their deadlines pass."""

    async def test() -> None:
        scene = await Scene().start((await Peer().start()).entry("s-1"))
        scene.sidecar.server.max_connections = 4
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(scene.request())
        assert (await read_message(reader)).status == 200
        probes = [await asyncio.open_connection("127.0.0.1", scene.port) for _ in range(12)]
        for _, other in probes:
            other.write(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        assert [(await read_message(other)).status for other, _ in probes] == [200] * 12
        assert (await scene.call()).status == 200
        writer.write(scene.request())  # the client that had sent a request before is still connected
        assert (await read_message(reader)).status == 200
        assert len(scene.sidecar.server.connections) <= 4
        for _, other in probes:
            other.close()
        writer.close()

    run(test)


def test_clients_that_send_one_request_and_stay_connected_keep_no_client_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise they would use up descriptors, their own and ours, before any is idle long enough to be closed."""

    async def test() -> None:
        monkeypatch.setattr(server, "MIN_IDLE_S", 1000.0)
        scene = await Scene().start((await Peer().start()).entry("s-1"))
        scene.sidecar.server.max_connections = 9
        held = []
        for _ in range(40):
            reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
            writer.write(scene.request())
            assert (await read_message(reader)).status == 200
            held.append(writer)
        await until(lambda: len(scene.sidecar.server.connections) == 4)
        for writer in held:
            writer.close()

    run(test)


def test_nothing_is_left_of_connections_and_requests_that_are_over(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against leaks: anything kept per id, connection or upstream would fill the memory in the long run."""

    async def test() -> None:
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-0"))
        sidecar = scene.sidecar
        await until(lambda: scene.discovery.writers)

        async def churn(generation: int) -> None:
            entry = peer.entry(f"s-{generation}", startedAtMs=generation)  # at the address of the previous one
            scene.discovery.line(listing(entry, generation=generation))
            await until(lambda: [p.member.name for p in sidecar.upstreams.pools.values()]
                        == [entry["instanceId"]])
            for data in (scene.request(), scene.request("pay"), b"noise\r\n\r\n", get(VIEW)[:-2]):
                _, writer = await asyncio.open_connection("127.0.0.1", scene.port)
                writer.write(data)
                await asyncio.sleep(0.002)
                writer.close()
            assert (await scene.call()).status == 200
            await until(lambda: not sidecar.server.connections and not sidecar.requests)

        def counts() -> tuple[int, int, int]:
            gc.collect()
            objects = sum(isinstance(o, client.ClientConnection | Exchange | upstream_connection.Connection
                                     | upstream_connection.Attempt | upstream.Pool) for o in gc.get_objects())
            return objects, len(os.listdir("/proc/self/fd")), len(asyncio.all_tasks())

        def settled() -> bool:
            """No attempt is in flight, and the upstream has only the connections pooled for the listed instance. There
            may be two, where a request came while the first one rested after its answer: the extra one stays until it
            expires."""
            pool, = sidecar.upstreams.pools.values()
            return not pool.busy and len(peer.writers) == sidecar.upstreams.open_count == len(pool.idle)

        for generation in range(1, 6):
            await churn(generation)
        await until(settled)
        before = counts()
        for generation in range(6, 40):
            await churn(generation)
        await until(settled)
        objects, descriptors, tasks = counts()
        assert objects <= before[0] + 5 and descriptors <= before[1] + 3 and tasks <= before[2] + 3
        assert len(sidecar.balancer.upstreams) == len(sidecar.upstreams.pools) == 1
        assert not sidecar.by_txn and not sidecar.balancer.requests
        assert not len(sidecar.server.quiet) and not sidecar.server.connections

    run(test)


def test_an_error_in_the_balancer_fails_its_request_and_nothing_else(
    capsys: pytest.CaptureFixture[str]
) -> None:
    async def test() -> None:
        scene = await Scene().start((await Peer().start()).entry("s-1"))
        handle = scene.sidecar.balancer.handle

        def broken(now_us: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.RequestArrived) and event.class_index == 1:
                raise RuntimeError("a bug")
            return handle(now_us, event)

        scene.sidecar.balancer.handle = broken  # type: ignore[method-assign]
        assert (await scene.call("pay")).status == 502
        assert (await scene.call("view")).status == 200

    run(test)
    assert "a bug" in capsys.readouterr().err


def test_an_error_outside_the_balancer_still_gives_an_answer(capsys: pytest.CaptureFixture[str]) -> None:
    async def test() -> None:
        scene = await Scene().start((await Peer().start()).entry("s-1"))
        scene.sidecar.tenants = None  # type: ignore[assignment]
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(scene.request("pay"))
        assert (await read_message(reader)).status == 502
        scene.sidecar.tenants = {}
        writer.write(scene.request("pay"))
        assert (await read_message(reader)).status == 200
        writer.close()

    run(test)
    assert "Traceback" in capsys.readouterr().err


def test_the_log_names_upstreams_as_discovery_does(capsys: pytest.CaptureFixture[str]) -> None:
    async def test() -> None:
        scene = await Scene().start((await Peer().start()).entry("s-1"))
        ident = next(iter(scene.sidecar.upstreams.pools))
        scene.sidecar.execute_action(api.Log(f"upstream {ident}: concurrency limit backed off"))
        scene.sidecar.execute_action(api.Log("upstream 12: concurrency limit recovered"))

    run(test)
    assert capsys.readouterr().err == (
        "n0: upstream s-1: concurrency limit backed off\nn0: upstream 12: concurrency limit recovered\n")


def test_a_request_that_the_balancer_loses_is_answered_by_its_deadline() -> None:
    async def test() -> None:
        scene = await Scene().start((await Peer().start()).entry("s-1"))
        scene.sidecar.balancer.handle = lambda now_us, event: []  # type: ignore[method-assign]
        assert (await scene.call(remaining="50m")).status == 502

    run(test)


def test_actions_are_carried_out_in_order_and_their_events_wait() -> None:
    async def test() -> None:
        scene = await Scene().start()
        seen: list[str] = []
        ended: list[api.AttemptEnded] = []

        def handle(now_us: int, event: api.Event) -> list[api.Action]:
            seen.append(type(event).__name__)
            if isinstance(event, api.RequestArrived):
                # the first can't be sent; the event of its end must be handled after both actions, not between them
                return [api.Send(event.request, 5), api.Refuse(event.request, 250_000)]
            if isinstance(event, api.AttemptEnded):
                ended.append(event)
            return []

        scene.sidecar.balancer.handle = handle  # type: ignore[method-assign]
        answer = await scene.call()
        assert (answer.status, answer.headers["retry-after"]) == (503, "0.250")
        assert [name for name in seen if name in ("RequestArrived", "AttemptEnded")] == [
            "RequestArrived", "AttemptEnded"]
        assert [(e.outcome, e.request_ended) for e in ended] == [(api.Outcome.NOT_SENT, True)]

    run(test)


def test_a_cancel_ends_an_attempt_also_after_the_answer() -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        ended: list[api.AttemptEnded] = []
        upstream = next(iter(scene.sidecar.upstreams.pools))

        def handle(now_us: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.RequestArrived):
                return [api.Send(event.request, upstream)]
            if isinstance(event, api.AttemptEnded):
                ended.append(event)
            return []

        scene.sidecar.balancer.handle = handle  # type: ignore[method-assign]
        call = asyncio.create_task(scene.call())
        await until(lambda: peer.got)
        ident = next(iter(scene.sidecar.requests))
        scene.sidecar.execute_action(api.Fail(ident))
        assert (await call).status == 502
        scene.sidecar.execute_action(api.Cancel(ident, 0))
        assert [(e.outcome, e.request_ended) for e in ended] == [(api.Outcome.CANCELLED, True)]
        assert not scene.sidecar.requests and scene.sidecar.upstreams.open_count == 0

    run(test)


def test_timers_never_fire_early() -> None:
    """The balancer would ignore a timer that fires early as stale, and would never set the next one."""

    async def test() -> None:
        scene = await Scene().start()
        clock, late = scene.sidecar.clock, []
        done = asyncio.Event()

        def check(at_us: int) -> None:
            late.append(clock.now_us() - at_us)
            if len(late) == 200:
                done.set()

        for n in range(200):
            at_us = clock.now_us() + n * 137
            scene.sidecar.schedule(at_us, lambda at_us=at_us: check(at_us))  # type: ignore[misc]
        await done.wait()
        assert min(late) >= 0

    run(test)


def test_the_clock_starts_at_unix_time_and_only_moves_forward(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    assert abs(clock.now_us() - time.time_ns() // 1000) < 5_000_000
    monkeypatch.setattr(time, "time_ns", lambda: 0)  # the system clock is set back
    seen = [clock.now_us() for _ in range(1000)]
    assert seen == sorted(seen) and seen[0] > 1_000_000_000_000_000


def test_ready_once_there_is_a_list() -> None:
    async def test() -> None:
        scene = await Scene().start()
        probe = b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"
        assert (await scene.send(probe)).status == 503
        await until(lambda: scene.discovery.writers)
        scene.discovery.line(listing((await Peer().start()).entry("s-1")))
        await until(lambda: scene.sidecar.has_list)
        assert (await scene.send(probe)).status == 200
        assert (await scene.call()).status == 200

    run(test)


@pytest.fixture(scope="module", autouse=True)
def deploy_build() -> None:
    """Builds the program before any test's time begins: in a fresh clone the build takes longer than a test may."""
    build()


class Process:
    """The program as it is deployed, run with a discovery of its own."""

    def __init__(self, *entries: dict[str, Any], settings: dict[str, Any] = SETTINGS) -> None:
        self.entries = entries
        self.settings = settings
        self.folder = tempfile.TemporaryDirectory()

    async def start(self) -> Process:
        self.discovery = await FakeDiscovery().start()
        self.port = free_port()
        path = self.configure(self.discovery)
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", DEPLOY["run"], cwd=ROOT, stderr=subprocess.PIPE, env={
                **os.environ, "GW_CONFIG": str(path), "GW_DISCOVERY": f"127.0.0.1:{self.discovery.port}"})
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except ConnectionError:
                await asyncio.sleep(0.01)
                continue
            writer.close()
            return self

    def configure(self, discovery: FakeDiscovery) -> Path:
        path = Path(self.folder.name) / "config.json"
        path.write_text(json.dumps({
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "1f", "limits": {"sockets": 1024}, "known": listing(*self.entries),
            "settings": self.settings,
        }))
        return path

    async def log_line(self) -> str:
        assert self.process.stderr is not None
        return (await self.process.stderr.readline()).decode()


def test_after_sigterm_open_requests_are_answered_and_new_connections_are_still_served() -> None:
    async def test() -> None:
        peers = [await Peer(hang).start() for _ in range(4)]
        program = await Process(*(peer.entry(f"s-{i}") for i, peer in enumerate(peers))).start()
        scene = Scene()
        scene.port = program.port
        held, idle = [await asyncio.open_connection("127.0.0.1", program.port) for _ in range(2)]
        held[1].write(scene.request("pay"))
        await until(lambda: any(peer.got for peer in peers))
        program.process.send_signal(signal.SIGTERM)
        assert await idle[0].read() == b""  # idle connections are closed while new ones are still accepted
        late = asyncio.create_task(scene.call("pay"))
        await until(lambda: sum(len(peer.got) for peer in peers) == 2)
        for peer in peers:
            peer.answer_held(ok())
        for answer in (await read_message(held[0]), await late):
            assert (answer.status, answer.headers["connection"]) == (200, "close")
        assert await program.process.wait() == 0

    run(test)


def test_a_request_that_is_never_completed_does_not_delay_the_exit() -> None:
    async def test() -> None:
        classes = [{**c, "deadline": 500_000} for c in SETTINGS["request-classes"]]
        program = await Process(settings={**SETTINGS, "request-classes": classes}).start()
        reader, writer = await asyncio.open_connection("127.0.0.1", program.port)
        writer.write(b"GET / HTTP/1.1\r\n")
        program.process.send_signal(signal.SIGTERM)
        assert await program.process.wait() == 0
        assert (await read_message(reader)).status == 408  # this answer, and no other
        assert await reader.read() == b""

    run(test)


def test_a_reload_moves_discovery_and_loses_nothing() -> None:
    """By default the signal would end the process; and the environment still names the old address."""

    async def test() -> None:
        peer = await Peer(hang).start()
        program = await Process(peer.entry("s-1")).start()
        scene = Scene()
        scene.port = program.port
        held = asyncio.create_task(scene.call("pay"))
        await until(lambda: peer.got and program.discovery.writers)
        program.discovery.line(listing(peer.entry("s-1")))
        new = await FakeDiscovery().start()
        path = program.configure(new)
        good = path.read_text()
        path.write_text(good[:-1])
        program.process.send_signal(signal.SIGHUP)
        assert "the configuration stays as it was" in await program.log_line()
        path.write_text(good)
        program.process.send_signal(signal.SIGHUP)
        program.process.send_signal(signal.SIGHUP)
        await until(lambda: new.writers)
        new.line(listing(peer.entry("s-1"), generation=2))
        peer.behave = reply(ok())
        peer.answer_held(ok())
        assert (await held).status == 200
        program.process.send_signal(signal.SIGTERM)
        program.process.send_signal(signal.SIGHUP)
        assert await program.process.wait() == 0
        assert f"discovery is at 127.0.0.1:{new.port}" in await program.log_line()
        begun = await program.log_line()
        assert begun.startswith("n0: shutdown, ") and " s: begins; " in begun
        assert (await program.log_line()).endswith(" s: no connection is open; 0 connections, 0 with an open request\n")
        ended = await program.log_line()
        assert ended.startswith("n0: ended: accepted ") and ended.rstrip().endswith("; violations 0")
        assert await program.log_line() == ""

    run(test)


@pytest.mark.parametrize(("content", "words"), [
    (None, "GW_CONFIG is not set"),
    ("{", "not JSON"),
    ("[]", "expected a JSON object"),
    ('{"name": "n0"}', "settings: expected an object"),
    (json.dumps({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
                 "settings": {**SETTINGS, "instances": "many"}}),
     "setting instances: expected a number, got 'many'"),
    (json.dumps({"name": "n0", "listen": "here", "discovery": "127.0.0.1:1", "settings": SETTINGS}),
     "listen: expected HOST:PORT, got 'here'"),
    (json.dumps({"listen": "127.0.0.1:0", "settings": SETTINGS}), "GW_NAME is not set"),
    (json.dumps({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS,
                 "known": {"generation": 1, "instances": [{}]}}), "known: malformed list after 0 instances"),
])
def test_a_configuration_that_cannot_be_used_ends_with_one_line(
    content: str | None, words: str, tmp_path: Path
) -> None:
    env = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
    if content is not None:
        (tmp_path / "config.json").write_text(content)
        env["GW_CONFIG"] = str(tmp_path / "config.json")
    done = subprocess.run([sys.executable, "-m", "ironscale"], cwd=ROOT, env=env, capture_output=True,
                          text=True, timeout=60)
    assert done.returncode != 0
    assert len(done.stderr.splitlines()) == 1 and words in done.stderr


def test_a_request_reset_in_flight_is_not_retried_by_the_sidecar_itself() -> None:
    async def test() -> None:
        peer = await Peer(reset).start()
        scene = await Scene().start(peer.entry("s-1"))
        sent: list[api.Send] = []

        def handle(now_us: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.RequestArrived):
                sent.append(api.Send(event.request, next(iter(scene.sidecar.upstreams.pools))))
                return [sent[0]]
            return [api.Fail(event.request)] if isinstance(event, api.AttemptEnded) else []

        scene.sidecar.balancer.handle = handle  # type: ignore[method-assign]
        assert (await scene.call()).status == 502
        assert len(peer.got) == 1

    run(test)
