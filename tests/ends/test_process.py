"""What a process owes as it starts and as it ends: a configuration that changes, requests that are still open."""

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
from tests.sockets import Scene, ask, free_port, run, until


def test_the_last_answers_leave_before_the_process_can_be_killed() -> None:
    """SIGKILL comes 0.7 s and the longest deadline after SIGTERM, and of deadlines no more than 3 s count; the process
    may lack the processor for 0.15 s."""
    assert sidecar.STOP_END_S + server.LAST_S + 0.15 < 0.7 and sidecar.STOP_DEADLINE_S == 3.0
    assert sidecar.STOP_LEAST_END_S + server.LAST_S < 0.7


async def open_requests(peer: Peer, scene: Scene) -> dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """One of each kind: out at an upstream that hangs, waiting, sent ahead behind another, and half read."""
    found = {}
    for lane in ("view", "pay", "mark"):
        count = len(peer.got)
        found[lane] = await ask(scene.port, scene.request(lane, remaining="60000m"))
        await until(lambda count=count: len(peer.got) > count)  # type: ignore[misc]
        server = next(iter(scene.sidecar.balancer.upstreams.values()))
        server.window.slots += 1.0  # room for the next one
    server.window.slots = 1.0
    found["waits"] = await ask(scene.port, scene.request("pay", remaining="60000m"))
    await until(lambda: scene.sidecar.balancer.buffer is not None)
    found["half"] = await ask(scene.port, b"GET / HTTP/1.1\r\n")
    await until(lambda: any(one.reading for one in scene.sidecar.server.connections))
    return found


def test_what_is_open_at_the_last_moment_has_its_one_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients may wait for longer than a process that ends has left."""
    monkeypatch.setattr(sidecar, "STOP_END_S", 0.1)
    monkeypatch.setattr(sidecar, "STOP_DEADLINE_S", 0.1)
    monkeypatch.setattr(server, "LAST_S", 5.0)  # wide: it ends as soon as all have left

    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        found = await open_requests(peer, scene)
        ending = asyncio.create_task(scene.sidecar.stop())
        answers = {name: (await read_message(reader)).status for name, (reader, _) in found.items()}
        # a refusal promises that nothing has run: reads, and what was never sent
        assert answers == {"view": 503, "pay": 502, "mark": 502, "waits": 503, "half": 408}
        for reader, _ in found.values():
            assert await reader.read() == b"", "more than one answer"
        await ending
        assert not scene.sidecar.server.connections and not scene.sidecar.by_txn and len(peer.got) == 3

    run(test)


def test_what_the_decisions_have_lost_is_answered_at_the_last_moment_too(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sidecar, "STOP_END_S", 0.1)
    monkeypatch.setattr(sidecar, "STOP_DEADLINE_S", 0.1)
    monkeypatch.setattr(server, "LAST_S", 5.0)

    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        reader, _ = await ask(scene.port, scene.request("pay", remaining="60000m"))
        await until(lambda: peer.got)
        scene.sidecar.balancer.requests.clear()
        ending = asyncio.create_task(scene.sidecar.stop())
        assert (await read_message(reader)).status == 502 and await reader.read() == b""
        await ending

    run(test)


def test_what_comes_at_the_last_moment_is_refused_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection that stays open is used by its client up to the exit."""
    monkeypatch.setattr(sidecar, "STOP_END_S", 0.1)
    monkeypatch.setattr(sidecar, "STOP_DEADLINE_S", 0.1)
    monkeypatch.setattr(server, "LAST_S", 5.0)

    async def test() -> None:
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"))
        request = scene.request("pay", remaining="60000m")
        client = connect(scene, request[:10])  # it has begun, and so is not closed as idle
        await until(lambda: any(one.reading for one in scene.sidecar.server.connections))
        ended = asyncio.get_running_loop().create_future()
        real = scene.sidecar.answer_all

        def at_end() -> None:
            real()
            client.send(request[10:])  # read in the next turn, after the last answers
            for one in scene.sidecar.server.connections:
                one.reading = False  # its bytes lie unread: no close may come between
            ended.set_result(None)

        monkeypatch.setattr(scene.sidecar, "answer_all", at_end)
        ending = asyncio.create_task(scene.sidecar.stop())
        await ended
        for one in scene.sidecar.server.connections:
            one.reading = True
        reader, writer = await asyncio.open_connection(sock=client)
        assert (await read_message(reader)).status == 503 and not peer.got
        writer.close()
        await ending

    run(test)


STUB = """
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


def test_a_new_configuration_during_the_imports_does_not_end_the_process(tmp_path: Path) -> None:
    """They take a tenth of a second; by default the signal kills."""
    async def test() -> None:
        discovery = await FakeDiscovery().start()
        (tmp_path / "c.json").write_text(configuration(free_port(), discovery))
        (tmp_path / "uvloop.py").write_text(STUB)
        process = await launch(GW_CONFIG=tmp_path / "c.json", PYTHONPATH=tmp_path, STUB=tmp_path)
        assert process.stdin is not None and process.stdout is not None
        assert await process.stdout.readline() == b"importing\n"
        process.send_signal(signal.SIGHUP)
        process.stdin.write(b"go on\n")
        await until(lambda: discovery.targets or process.returncode is not None)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    run(test)


def test_a_new_configuration_while_the_old_one_is_read_is_heard(tmp_path: Path) -> None:
    """The file is a pipe: the program stands in the middle of reading it as the signal comes."""
    async def test() -> None:
        old, new, port = await FakeDiscovery().start(), await FakeDiscovery().start(), free_port()
        path = tmp_path / "c.json"
        os.mkfifo(path)
        process = await launch(GW_CONFIG=path)

        def write() -> None:
            with path.open("w") as file:  # the program stands at the other end
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
def test_signals_that_cross_end_the_process_once_and_well(signals: tuple[signal.Signals, ...], tmp_path: Path) -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        discovery = await FakeDiscovery().start()
        port = free_port()
        text = json.loads(configuration(port, discovery)) | {"known": listing(peer.entry("s-1"))}
        (tmp_path / "c.json").write_text(json.dumps(text))
        process = await launch(GW_CONFIG=tmp_path / "c.json")
        await until(lambda: discovery.targets)
        scene = Scene()
        reader, _ = await ask(port, scene.request("pay"))
        await until(lambda: peer.got)
        for number in signals:
            process.send_signal(number)
        moved = json.loads(configuration(port, await FakeDiscovery().start()))
        (tmp_path / "c.json").write_text(json.dumps(moved))
        peer.answer_held(ok())
        assert (await read_message(reader)).status == 200
        assert await process.wait() == 0

    run(test)
