"""Tests that a log which cannot be written loses lines, but neither blocks nor fails the process."""

from __future__ import annotations

import os
from collections.abc import Callable

import pytest

from ironscale import interface as api
from ironscale import logs
from ironscale.standins.upstream import Peer
from tests.sockets import Scene, run


# Guards against a log line that raises in the middle of an action list, so that the answer after it is never sent.
def test_a_request_is_answered_though_no_log_line_can_be_written(monkeypatch: pytest.MonkeyPatch) -> None:
    def full(descriptor: int, data: bytes) -> int:
        raise OSError(28, "No space left on device")

    async def test() -> None:
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"))
        monkeypatch.setattr(logs, "_process_log", logs.Log(2))
        monkeypatch.setattr(os, "write", full)
        real = scene.sidecar.balancer.handle

        def chatty(now_us: int, event: api.Event) -> list[api.Action]:
            return [api.Log("a line"), *real(now_us, event)]

        monkeypatch.setattr(scene.sidecar.balancer, "handle", chatty)
        assert (await scene.call()).status == 200
        scene.sidecar.balancer.requests.clear()
        monkeypatch.setattr(scene.sidecar.balancer, "handle", lambda now_us, event: 1 / 0)
        assert (await scene.call()).status == 502

    run(test)


def pipe() -> tuple[int, int]:
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    return read_end, write_end


# Guards against a blocked process when the reader of the log pipe has stopped reading.
def test_a_pipe_that_nobody_reads_neither_blocks_nor_grows() -> None:
    read_end, write_end = pipe()
    log = logs.Log(write_end)
    for number in range(10_000):
        log.write_line(f"{number:05} {'x' * 100}")
    assert log.dropped_lines and len(log.buffer) <= logs.MAX_BUFFER_BYTES
    found = b""
    for _ in range(200):
        try:
            found += os.read(read_end, 1 << 16)
        except BlockingIOError:
            break
        log.flush()
    log.write_line("the last")
    found += os.read(read_end, 1 << 16)
    lines = found.decode().splitlines()
    assert lines[-1] == "the last" and lines[-2].endswith("lines were dropped")
    assert [int(line[:5]) for line in lines[:-2]] == list(range(len(lines) - 2)), "lines must be complete and in order"
    os.close(read_end)
    os.close(write_end)


def failing(times: int, real: Callable[[int, bytes], int] = os.write) -> Callable[[int, bytes], int]:
    left = times

    def write(descriptor: int, data: bytes) -> int:
        nonlocal left
        left -= 1
        if left >= 0:
            raise OSError(5, "Input/output error")
        return real(descriptor, data[:max(1, len(data) // 2)])

    return write


# Guards against truncated or lost lines when a write fails for a moment or writes only a part.
def test_lines_that_could_not_be_written_follow_whole_and_in_order(monkeypatch: pytest.MonkeyPatch) -> None:
    read_end, write_end = pipe()
    log = logs.Log(write_end)
    monkeypatch.setattr(os, "write", failing(2))
    for text in ("one", "two", "three"):
        log.write_line(text)
    assert os.read(read_end, 100) == b"one\ntwo\nthree\n" and log.failed_writes == 2
    os.close(read_end)
    os.close(write_end)
