"""The start and the end of a process: a configuration that changes meanwhile, and requests that are still open."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from ironscale.net import server, sidecar
from ironscale.standins.discovery import FakeDiscovery, listing
from ironscale.standins.http import ok, read_message
from ironscale.standins.settings import SETTINGS
from ironscale.standins.upstream import Peer, hang
from tests.deployed import ROOT
from tests.ends.test_clients import connect
from tests.sockets import Scene, free_port, open_with_request, run, until


def test_the_last_answers_leave_before_the_process_can_be_killed() -> None:
    """SIGKILL comes 0.7 s plus the longest deadline (counted as 3 s at most) after SIGTERM, and the process may get no
    CPU for 0.15 s of it."""
    assert sidecar.STOP_GRACE_S + server.LAST_ANSWERS_S + 0.15 < 0.7 and sidecar.STOP_MAX_DEADLINE_S == 3.0
    assert sidecar.STOP_MIN_END_S + server.LAST_ANSWERS_S < 0.7


async def open_requests(peer: Peer, scene: Scene) -> dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """One request of each kind: in flight at an upstream that hangs (one of each class), waiting in the buffer, and
    received in part."""
    found = {}
    for lane in ("view", "pay", "mark"):
        count = len(peer.got)
        found[lane] = await open_with_request(scene.port, scene.request(lane, remaining="60000m"))
        await until(lambda count=count: len(peer.got) > count)  # type: ignore[misc]
        server = next(iter(scene.sidecar.balancer.upstreams.values()))
        server.window.slots += 1.0  # room for the next one
    server.window.slots = 1.0
    found["waits"] = await open_with_request(scene.port, scene.request("pay", remaining="60000m"))
    await until(lambda: scene.sidecar.balancer.buffer is not None)
    found["half"] = await open_with_request(scene.port, b"GET / HTTP/1.1\r\n")
    await until(lambda: any(one.has_partial_request for one in scene.sidecar.server.connections))
    return found


def test_requests_open_at_the_last_moment_get_exactly_one_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients may wait for longer than the time that is left to the process."""
    monkeypatch.setattr(sidecar, "STOP_GRACE_S", 0.1)
    monkeypatch.setattr(sidecar, "STOP_MAX_DEADLINE_S", 0.1)
    monkeypatch.setattr(server, "LAST_ANSWERS_S", 5.0)  # generous: the wait ends as soon as all answers are sent

    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        found = await open_requests(peer, scene)
        ending = asyncio.create_task(scene.sidecar.stop())
        answers = {name: (await read_message(reader)).status for name, (reader, _) in found.items()}
        # a refusal promises that nothing has run, so only reads and requests that were never sent get 503
        assert answers == {"view": 503, "pay": 502, "mark": 502, "waits": 503, "half": 408}
        for reader, _ in found.values():
            assert await reader.read() == b"", "more than one answer"
        await ending
        assert not scene.sidecar.server.connections and not scene.sidecar.by_txn and len(peer.got) == 3

    run(test)


def test_a_request_lost_by_the_balancer_is_answered_at_the_last_moment_too(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sidecar, "STOP_GRACE_S", 0.1)
    monkeypatch.setattr(sidecar, "STOP_MAX_DEADLINE_S", 0.1)
    monkeypatch.setattr(server, "LAST_ANSWERS_S", 5.0)

    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        reader, _ = await open_with_request(scene.port, scene.request("pay", remaining="60000m"))
        await until(lambda: peer.got)
        scene.sidecar.balancer.requests.clear()
        ending = asyncio.create_task(scene.sidecar.stop())
        assert (await read_message(reader)).status == 502 and await reader.read() == b""
        await ending

    run(test)


def test_a_request_that_comes_at_the_last_moment_is_refused_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client may use a connection that stays open until the process exits."""
    monkeypatch.setattr(sidecar, "STOP_GRACE_S", 0.1)
    monkeypatch.setattr(sidecar, "STOP_MAX_DEADLINE_S", 0.1)
    monkeypatch.setattr(server, "LAST_ANSWERS_S", 5.0)

    async def test() -> None:
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"))
        request = scene.request("pay", remaining="60000m")
        client = connect(scene, request[:10])  # received in part, so that the connection is not closed as idle
        await until(lambda: any(one.has_partial_request for one in scene.sidecar.server.connections))
        ended = asyncio.get_running_loop().create_future()
        real = scene.sidecar.fail_open_requests

        def at_end() -> None:
            real()
            client.send(request[10:])  # read in the next step of the loop, after the last answers
            for one in scene.sidecar.server.connections:
                one.parser.has_partial_request = False  # the unread bytes alone must keep the connection open
            ended.set_result(None)

        monkeypatch.setattr(scene.sidecar, "fail_open_requests", at_end)
        ending = asyncio.create_task(scene.sidecar.stop())
        await ended
        for one in scene.sidecar.server.connections:
            one.parser.has_partial_request = True
        reader, writer = await asyncio.open_connection(sock=client)
        assert (await read_message(reader)).status == 503 and not peer.got
        writer.close()
        await ending

    run(test)


UVLOOP_STUB = """
import os, sys
os.write(1, b"importing\\n")
sys.stdin.readline()
sys.path.remove(os.environ["STUB"])
del sys.modules["uvloop"]
import uvloop
sys.modules["uvloop"] = uvloop
"""


def configuration(port: int, discovery: FakeDiscovery) -> str:
    return json.dumps({"name": "n0", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}",
                       "seed": "1f", "limits": {"sockets": 128}, "known": listing(), "settings": SETTINGS})


async def launch(**environ: Any) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "ironscale", cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE,
        env={**os.environ, **{key: str(value) for key, value in environ.items()}})


def test_a_reload_signal_during_the_imports_does_not_end_the_process(tmp_path: Path) -> None:
    """The imports take a tenth of a second, during which SIGHUP would kill the process by default."""
    async def test() -> None:
        discovery = await FakeDiscovery().start()
        (tmp_path / "c.json").write_text(configuration(free_port(), discovery))
        (tmp_path / "uvloop.py").write_text(UVLOOP_STUB)
        process = await launch(GW_CONFIG=tmp_path / "c.json", PYTHONPATH=tmp_path, STUB=tmp_path)
        assert process.stdin is not None and process.stdout is not None
        assert await process.stdout.readline() == b"importing\n"
        process.send_signal(signal.SIGHUP)
        process.stdin.write(b"go on\n")
        await until(lambda: discovery.targets or process.returncode is not None)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    run(test)


def test_a_reload_signal_while_the_old_configuration_is_read_is_not_lost(tmp_path: Path) -> None:
    """The file is a named pipe, so that the program is in the middle of reading it when the signal comes."""
    async def test() -> None:
        old, new, port = await FakeDiscovery().start(), await FakeDiscovery().start(), free_port()
        path = tmp_path / "c.json"
        os.mkfifo(path)
        process = await launch(GW_CONFIG=path)

        def write() -> None:
            with path.open("w") as file:  # returns once the program has opened the pipe to read
                (tmp_path / "new.json").write_text(configuration(port, new))
                os.replace(tmp_path / "new.json", path)
                process.send_signal(signal.SIGHUP)
                file.write(configuration(port, old))

        await asyncio.to_thread(write)
        await until(lambda: new.targets)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    run(test)


@pytest.mark.parametrize("signals", [
    (signal.SIGTERM, signal.SIGTERM), (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP),
    (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)])
def test_signals_close_together_end_the_process_once_and_cleanly(signals: tuple[signal.Signals, ...],
                                                                 tmp_path: Path) -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        discovery = await FakeDiscovery().start()
        port = free_port()
        text = json.loads(configuration(port, discovery)) | {"known": listing(peer.entry("s-1"))}
        (tmp_path / "c.json").write_text(json.dumps(text))
        process = await launch(GW_CONFIG=tmp_path / "c.json")
        await until(lambda: discovery.targets)
        scene = Scene()
        reader, _ = await open_with_request(port, scene.request("pay"))
        await until(lambda: peer.got)
        for number in signals:
            process.send_signal(number)
        moved = json.loads(configuration(port, await FakeDiscovery().start()))
        (tmp_path / "c.json").write_text(json.dumps(moved))
        peer.answer_held(ok())
        assert (await read_message(reader)).status == 200
        assert await process.wait() == 0

    run(test)
