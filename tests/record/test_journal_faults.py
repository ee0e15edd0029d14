"""The journal of open attempts while system calls fail: accepted entries reach the disk once the calls succeed."""

from __future__ import annotations

import asyncio
import errno
import os
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from ironscale.record import journal as module
from ironscale.record.journal import Journal, JournalError, read, read_all
from tests.record.test_journal import end_process, open_entry, run, wait_until_written

CALLS = ("open", "write", "fsync", "replace")
ERRORS = (errno.ENOSPC, errno.EIO, errno.ENFILE)


class FailingCalls:
    """Makes `count` calls of one kind fail after the first `first`; with `half`, half of the data is written before."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, call: str, number: int, half: bool = False) -> None:
        self.left, self.skipped = 0, 0
        real: Callable[..., Any] = getattr(os, call)

        def fails(*args: Any, **more: Any) -> Any:
            if self.skipped:
                self.skipped -= 1
            elif self.left:
                self.left -= 1
                if half:
                    real(args[0], bytes(args[1])[:len(args[1]) // 2])
                raise OSError(number, os.strerror(number))
            return real(*args, **more)

        monkeypatch.setattr(os, call, fails)

    def arm(self, first: int, count: int) -> None:
        self.skipped, self.left = first, count


def attempts(folder: Path) -> set[str]:
    return {entry.attempt for entry in read_all(folder)[0]}


@pytest.fixture(autouse=True)
def short_retry_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "RETRY_DELAY_S", 0.001)


# Guards against an accepted entry that never reaches the disk because a call failed once or for a while.
@pytest.mark.parametrize("count", [1, 5])
@pytest.mark.parametrize("first", range(4))
@pytest.mark.parametrize("number", ERRORS)
@pytest.mark.parametrize("call", CALLS)
def test_accepted_entries_are_on_disk_once_calls_succeed(
        call: str, number: int, first: int, count: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        faults = FailingCalls(monkeypatch, call, number)
        journal = Journal(tmp_path, "n0", print)
        journal.begin()
        faults.arm(first, count)
        for name in "abcde":
            journal.opened(open_entry(name))
            await asyncio.sleep(0.003)
        journal.closed("b", "ran")
        await wait_until_written(journal)
        faults.arm(0, 0)
        assert attempts(tmp_path) == set("acde")
        await journal.settle(5)
        assert attempts(tmp_path) == set("acde")

    run(test())


# Guards against truncated lines after a partial write(), in an append and in a rewrite.
@pytest.mark.parametrize("spoilt", [False, True])
def test_a_partial_write_is_completed(spoilt: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        journal = Journal(tmp_path, "n0", print)
        journal.begin()
        real = os.write
        monkeypatch.setattr(os, "write", lambda fd, data: real(fd, bytes(data)[:max(1, len(data) // 2)]))
        for name in "abc":
            journal.opened(open_entry(name))
        journal.rewrite_needed = spoilt
        await wait_until_written(journal)
        assert journal.path is not None
        assert read(journal.path) == ({name: open_entry(name) for name in "abc"}, 0)
        await journal.settle(5)

    run(test())


# Guards against an incomplete line that makes the next ones unreadable, also if the process is killed before a rewrite.
def test_an_incomplete_line_damages_no_other_and_is_rewritten(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        journal = Journal(tmp_path, "n0", print)
        journal.begin()
        journal.opened(open_entry("a"))
        await wait_until_written(journal)
        faults = FailingCalls(monkeypatch, "write", errno.ENOSPC, half=True)
        faults.arm(0, 1)
        journal.opened(open_entry("b"))
        while faults.left != 0:
            await asyncio.sleep(0.001)
        assert "a" in attempts(tmp_path), "as a process that is killed here leaves it"
        await wait_until_written(journal)
        assert attempts(tmp_path) == {"a", "b"}
        end_process(journal)

    run(test())


# Guards against a process that cannot start because the disk is full or fails at that moment.
@pytest.mark.parametrize("number", ERRORS)
@pytest.mark.parametrize("call", CALLS)
def test_a_start_during_a_transient_disk_fault_takes_over_open_entries(
        call: str, number: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        former = Journal(tmp_path, "n0", print)
        former.begin()
        former.opened(open_entry("a"))
        await wait_until_written(former)
        end_process(former)
        faults = FailingCalls(monkeypatch, call, number)
        faults.arm(0, 3)
        journal = Journal(tmp_path, "n0", print)
        found = journal.begin()
        assert "a" in attempts(tmp_path), "the former file stays until this one stands"
        await wait_until_written(journal)
        found += await journal.take_over()
        await wait_until_written(journal)
        assert [entry.attempt for entry in found] == ["a"] and attempts(tmp_path) == {"a"}
        assert len(list(tmp_path.glob("*.open"))) == 1
        end_process(journal)

    run(test())


def test_an_unusable_folder_makes_the_start_fail(tmp_path: Path) -> None:
    (tmp_path / "a file").touch()
    with pytest.raises(JournalError):
        Journal(tmp_path / "a file" / "open", "n0", print).begin()


# Guards against entries lost because the system could not start a thread.
def test_a_transient_lack_of_threads_loses_no_entry(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        journal = Journal(tmp_path, "n0", print)
        journal.begin()
        failures, real = 3, threading.Thread.start

        def start(thread: threading.Thread) -> None:
            nonlocal failures
            failures -= 1
            if failures >= 0:
                raise RuntimeError("can't start new thread")
            real(thread)

        monkeypatch.setattr(threading.Thread, "start", start)
        journal.opened(open_entry("a"))
        await wait_until_written(journal)
        assert attempts(tmp_path) == {"a"} and failures < 0
        end_process(journal)

    run(test())
