"""A sidecar records its arrivals; whatever the disk does, requests are answered and the file can be replayed."""

from __future__ import annotations

import asyncio
import errno
import os
import subprocess
import sys
import threading
from pathlib import Path
from typing import Any

import pytest

from ironscale.load import recording as r
from ironscale.load.traces import read
from ironscale.operator_file import RecordingConfig
from ironscale.standins.upstream import Peer
from tests.deployed import ROOT
from tests.sockets import Scene, run, until


async def scene(peer: Peer) -> Scene:
    found = await Scene().start(peer.entry("s-0"))
    return found


def test_what_arrived_can_be_replayed_and_names_nobody(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"

    async def test() -> None:
        peer = await Peer().start()
        world = await scene(peer)
        async with r.beside(RecordingConfig(path))(world.sidecar, lambda: None):
            for lane, body in (("view", b""), ("pay", b"12345"), ("view", b"")):
                assert (await world.call(lane, body)).status == 200
        assert world.sidecar.arrival_observer is None

    run(test)
    rows = list(read(path))
    assert [(row.kind, row.tenant, row.size) for row in rows] == [
        ("view", "north", 0),
        ("pay", "north", 5),
        ("view", "north", 0),
    ]
    assert rows[0].at_us == 0 and rows[0].at_us <= rows[1].at_us <= rows[2].at_us
    assert rows[0].key == rows[2].key != 0  # one and the same thing, without its name
    text = path.read_text()
    assert "7f" not in text.replace(str(rows[0].key), "") and "t1" not in text and path.stat().st_mode & 0o777 == 0o600


def filled(recorder: r.Recorder, count: int, start: int = 0) -> None:
    recorder.held += [f'[{start + i},"view","",0,-1]\n' for i in range(count)]


def test_the_disk_is_bounded_and_each_file_is_a_whole_trace(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"

    async def test() -> None:
        world = await scene(await Peer().start())
        recorder = r.Recorder(world.sidecar, RecordingConfig(path, 0.02))
        for n in range(60):
            filled(recorder, 50, n * 50)
            await recorder.flush()
            assert sum(p.stat().st_size for p in tmp_path.iterdir()) <= 20_000

    run(test)
    assert sorted(p.name for p in tmp_path.iterdir()) == ["a.jsonl", "a.jsonl.1"]
    former, latest = read(path.with_name("a.jsonl.1")), read(path)
    assert former[0].at_us == latest[0].at_us == 0 and len(former) + len(latest) > 400


def test_a_start_keeps_what_the_former_process_wrote(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    path.write_text("before\n")

    async def test() -> None:
        world = await scene(await Peer().start())
        recorder = r.Recorder(world.sidecar, RecordingConfig(path))
        filled(recorder, 1)
        await recorder.flush()

    run(test)
    assert path.with_name("a.jsonl.1").read_text() == "before\n" and len(read(path)) == 1


def test_a_full_disk_leaves_out_whole_lines_and_says_so_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "a.jsonl"
    room, real = 400, os.write

    def write(fd: int, data: bytes) -> int:
        nonlocal room
        if fd == sys.stderr.fileno():  # the log is on another disk
            return real(fd, data)
        if room <= 0:
            raise OSError(errno.ENOSPC, "No space left on device")
        done = real(fd, data[: min(len(data), room, 17)])  # in pieces, cut anywhere
        room -= done
        return done

    async def test() -> None:
        nonlocal room
        world = await scene(await Peer().start())
        recorder = r.Recorder(world.sidecar, RecordingConfig(path))
        monkeypatch.setattr(os, "write", write)
        for n in range(20):
            filled(recorder, 3, n * 3)
            await recorder.flush()
        kept = len(read(path))
        assert 0 < kept < 60 and recorder.left_out == 60 - kept
        room = 10_000  # there is room again
        filled(recorder, 3, 60)
        await recorder.flush()
        assert len(read(path)) == kept + 3

    run(test)
    assert capfd.readouterr().err.count("No space left on device") == 1


def test_a_disk_that_hangs_holds_up_no_request_and_memory_is_bounded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(r, "MOST_HELD", 3)
    monkeypatch.setattr(r, "FLUSH_S", 0.01)
    gate = threading.Event()

    def hangs(self: Any, data: bytes) -> None:
        gate.wait(30)

    monkeypatch.setattr(r.File, "write", hangs)

    async def test() -> None:
        world = await scene(await Peer().start())
        running = r.beside(RecordingConfig(tmp_path / "a"))
        async with running(world.sidecar, lambda: None):
            await world.call()
            await asyncio.sleep(0.05)  # the one write hangs now
            for _ in range(8):
                assert (await world.call()).status == 200
            recorder = world.sidecar.arrival_observer.__self__  # type: ignore[union-attr]
            await until(lambda: recorder.left_out >= 4)
            assert len(recorder.held) <= 3
        # the end came without it: the process does not wait for a disk
        assert recorder.writing is not None and not recorder.writing.done()
        gate.set()

    run(test)


def test_arrivals_are_named_by_the_settings_of_their_time() -> None:
    async def test() -> None:
        from ironscale.interface import RequestArrived

        world = await scene(await Peer().start())
        recorder = r.Recorder(world.sidecar, RecordingConfig(Path("/nowhere/a")))
        assert recorder.named(RequestArrived(1, 0, 0, 0)) == '"view","north"'
        assert recorder.named(RequestArrived(1, 0, 1, 99)) == '"pay",""'
        account = {"name": 'so"uth', "allowance-per-s": 1.0, "share": 0.5}
        world.sidecar.reconfigure(1, {"settings": {"accounts": [account]}})
        assert recorder.named(RequestArrived(1, 0, 0, 0)) == '"view","so\\"uth"'
        filled(recorder, 2)
        await recorder.flush()
        assert recorder.left_out == 2  # the folder is not there: said, and nothing else happens

    run(test)


def test_recording_needs_nothing_that_the_deployed_sidecar_has_not() -> None:
    code = "import sys, ironscale.load.recording; print(*sorted({m.split('.')[0] for m in sys.modules}))"
    found = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60
    )
    beyond = {"hdrh", "click", "rich", "graphql", "starlette", "httpx", "pbr"}
    assert not beyond & set(found.stdout.split()) and "httptools" in found.stdout
