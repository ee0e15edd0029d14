"""The whole sidecar between a client, upstreams and discovery, on loopback sockets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

import pytest

from ironscale import interface as api
from ironscale.net.sidecar import MARGIN_US, Clock
from tests.sockets import (
    SETTINGS,
    TURNED_AWAY,
    FakeDiscovery,
    Message,
    Peer,
    Scene,
    hang,
    listing,
    ok,
    read_message,
    reply,
    reset,
    run,
    until,
)

ROOT = Path(__file__).resolve().parent.parent


def test_a_request_is_passed_on_unchanged_and_so_is_its_answer() -> None:
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
        assert 0 < left_us <= 8_000_000 - MARGIN_US

    run(test)


def test_the_connection_of_the_application_is_kept() -> None:
    async def test() -> None:
        scene = await Scene().start((await Peer().start()).entry("s-1"))
        reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        for _ in range(3):
            writer.write(scene.request())
            assert (await read_message(reader)).status == 200
        writer.close()

    run(test)


def test_requests_sent_ahead_and_in_pieces_are_answered_in_order() -> None:
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
    """What the first request to any of the upstreams meets; None is a reset."""
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
    # hazard: sent again or refused, an unsafe request that may have run would run twice
    (None, "pay", 502, 1),
    (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "pay", 502, 1),
    (b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", "pay", 502, 1),
])
def test_a_failed_attempt_is_repeated_only_where_the_class_allows_it(
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
        await scene.call("pay")  # now an answer is expected within so short a time
        peer.behave = hang
        start = time.monotonic()
        assert (await scene.call("pay", remaining="400000u")).status == 502
        assert time.monotonic() - start >= 0.39 - MARGIN_US / 1e6
        await until(lambda: scene.sidecar.upstreams.open == 0)
        assert not scene.sidecar.requests and not scene.sidecar.by_exchange

    run(test)


def test_a_refusal_comes_at_once_with_advice() -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        calls = [asyncio.create_task(scene.call(remaining="60000m")) for _ in range(60)]
        done, pending = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        answer = done.pop().result()
        assert answer.status == 503 and 0 < float(answer.headers["retry-after"]) <= 1.0
        peer.released.set()
        for call in pending:
            call.cancel()

    run(test)


def test_a_client_that_has_gone_is_told_to_the_decisions_and_its_connection_serves_on() -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        _, writer = await asyncio.open_connection("127.0.0.1", scene.port)
        writer.write(scene.request("pay"))
        await until(lambda: peer.got)
        writer.close()
        await until(lambda: not scene.sidecar.by_exchange)
        for upstream in list(peer.writers):
            upstream.write(ok())
        await until(lambda: not scene.sidecar.requests)
        peer.behave = reply(ok())
        peer.released.set()
        assert (await scene.call()).status == 200 and peer.opened == 1

    run(test)


@pytest.mark.parametrize(("data", "status"), [
    (b"nonsense\r\n\r\n", 400),
    (b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 400),  # neither an id nor a class
    (b"GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
    (b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n" + bytes(65537), 413),
    (b"GET / HTTP/1.1\r\n" + b"X-Long: %s\r\n" % (b"x" * 9000) * 8 + b"\r\n", 413),
])
def test_what_cannot_be_read_is_answered_and_the_next_client_is_served(data: bytes, status: int) -> None:
    async def test() -> None:
        scene = await Scene().start((await Peer().start()).entry("s-1"))
        assert (await scene.raw(data)).status == status
        assert (await scene.call()).status == 200

    run(test)


def test_an_error_in_the_decisions_fails_its_request_and_nothing_else(
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


def test_an_error_outside_the_decisions_still_gives_an_answer(capsys: pytest.CaptureFixture[str]) -> None:
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
        scene.sidecar.carry_out(api.Log(f"upstream {ident} rests"))
        scene.sidecar.carry_out(api.Log("upstream 12 is back"))

    run(test)
    assert capsys.readouterr().err == "n0: upstream s-1 rests\nn0: upstream 12 is back\n"


def test_a_request_that_the_decisions_lose_is_answered_by_its_deadline() -> None:
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
                # the first can't be sent: its end must come after the second action, not amid both
                return [api.Send(event.request, 5), api.Refuse(event.request, 250_000)]
            if isinstance(event, api.AttemptEnded):
                ended.append(event)
            return []

        scene.sidecar.balancer.handle = handle  # type: ignore[method-assign]
        answer = await scene.call()
        assert (answer.status, answer.headers["retry-after"]) == (503, "0.250")
        assert [name for name in seen if name in ("RequestArrived", "AttemptEnded")] == [
            "RequestArrived", "AttemptEnded"]
        assert [(e.outcome, e.final) for e in ended] == [(api.Outcome.NOT_SENT, True)]

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
        scene.sidecar.carry_out(api.Fail(ident))
        assert (await call).status == 502
        scene.sidecar.carry_out(api.Cancel(ident, 0))
        assert [(e.outcome, e.final) for e in ended] == [(api.Outcome.CANCELLED, True)]
        assert not scene.sidecar.requests and scene.sidecar.upstreams.open == 0

    run(test)


def test_timers_never_fire_early() -> None:
    """Hazard: a timer that fires before its time is taken for a stale one, and the next is never set."""

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
            scene.sidecar.at(at_us, lambda at_us=at_us: check(at_us))  # type: ignore[misc]
        await done.wait()
        assert min(late) >= 0

    run(test)


def test_the_clock_stands_at_unix_time_and_only_moves_forward(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    assert abs(clock.now_us() - time.time_ns() // 1000) < 5_000_000
    monkeypatch.setattr(time, "time_ns", lambda: 0)  # hazard: the system's clock may be set back
    seen = [clock.now_us() for _ in range(1000)]
    assert seen == sorted(seen) and seen[0] > 1_000_000_000_000_000


def test_ready_once_there_is_a_list() -> None:
    async def test() -> None:
        scene = await Scene().start()
        probe = b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"
        assert (await scene.raw(probe)).status == 503
        await until(lambda: scene.discovery.writers)
        scene.discovery.line(listing((await Peer().start()).entry("s-1")))
        await until(lambda: scene.sidecar.has_list)
        assert (await scene.raw(probe)).status == 200
        assert (await scene.call()).status == 200

    run(test)


class Process:
    """The program as it is deployed, with its own discovery."""

    def __init__(self, *entries: dict[str, Any], settings: dict[str, Any] = SETTINGS) -> None:
        self.entries = entries
        self.settings = settings
        self.folder = tempfile.TemporaryDirectory()

    async def start(self) -> Process:
        self.discovery = await FakeDiscovery().start()
        self.port = free_port()
        path = self.configure(self.discovery)
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=ROOT, check=True, timeout=300)
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy["run"], cwd=ROOT, stderr=subprocess.PIPE, env={
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


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as found:
        port: int = found.getsockname()[1]
        return port


def test_after_sigterm_what_is_taken_is_answered_and_new_connections_are_still_served() -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        program = await Process(*(peer.entry(f"s-{i}") for i in range(4))).start()
        scene = Scene()
        scene.port = program.port
        held, idle = [await asyncio.open_connection("127.0.0.1", program.port) for _ in range(2)]
        held[1].write(scene.request("pay"))
        await until(lambda: peer.got)
        program.process.send_signal(signal.SIGTERM)
        assert await idle[0].read() == b""  # an idle connection is closed while a new one is still taken
        late = asyncio.create_task(scene.call("pay"))
        await until(lambda: len(peer.got) == 2)
        peer.behave = reply(ok())
        for writer in list(peer.writers):
            writer.write(ok())
        for answer in (await read_message(held[0]), await late):
            assert (answer.status, answer.headers["connection"]) == (200, "close")
        assert await program.process.wait() == 0

    run(test)


def test_a_request_that_never_comes_whole_does_not_hold_up_the_exit() -> None:
    async def test() -> None:
        classes = [{**c, "deadline": 500_000} for c in SETTINGS["request-classes"]]
        program = await Process(settings={**SETTINGS, "request-classes": classes}).start()
        reader, writer = await asyncio.open_connection("127.0.0.1", program.port)
        writer.write(b"GET / HTTP/1.1\r\n")
        program.process.send_signal(signal.SIGTERM)
        assert await program.process.wait() == 0
        assert await reader.read() == b""

    run(test)


def test_a_reload_moves_discovery_and_loses_nothing() -> None:
    """Hazard: by default the signal ends the process; and the environment still names the old address."""

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
        for writer in list(peer.writers):
            writer.write(ok())
        assert (await held).status == 200
        program.process.send_signal(signal.SIGTERM)
        program.process.send_signal(signal.SIGHUP)
        assert await program.process.wait() == 0
        assert f"discovery is at 127.0.0.1:{new.port}" in await program.log_line()
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
                 "known": {"generation": 1, "instances": [{}]}}), "known: a list that is malformed"),
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


def test_a_reset_in_flight_is_not_sent_again_by_the_sidecar_itself() -> None:
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
