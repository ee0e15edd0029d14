"""The journal of open attempts: no listed entry is lost, damaged lines are skipped, a successor takes entries over."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest

from ironscale.record.journal import Journal, JournalError, Open, read, read_all


def run(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 30))


def open_entry(name: str, since_ms: int = 1) -> Open:
    return Open(name, "main", f"q-{name}", "submit", "north", "", since_ms, "why")


async def wait_until_written(journal: Journal) -> None:
    while journal.writing is not None:
        await asyncio.sleep(0.001)


def end_process(journal: Journal) -> None:
    """Simulates the end of the process: the lock is released, the file stays."""
    os.close(journal.fd)
    journal.fd = -1


def test_what_is_open_is_listed_and_what_is_closed_is_not(tmp_path: Path) -> None:
    async def test() -> None:
        journal = Journal(tmp_path / "open", "n/0 ü", print)
        assert journal.begin() == []
        for name in ("b", "a", "c"):
            journal.opened(open_entry(name, ord(name)))
        journal.closed("c", "ran")
        journal.closed("never opened", "ran")
        await wait_until_written(journal)
        assert [entry.attempt for entry in read_all(tmp_path / "open")[0]] == ["a", "b"]
        (path,) = (tmp_path / "open").iterdir()
        assert path.stat().st_mode & 0o777 == 0o600 and (tmp_path / "open").stat().st_mode & 0o777 == 0o700
        await journal.settle(5)
        assert path.exists()

    run(test())


def test_a_file_that_lists_nothing_is_removed_at_the_end(tmp_path: Path) -> None:
    async def test() -> None:
        journal = Journal(tmp_path / "open", "n0", print)
        journal.begin()
        journal.opened(open_entry("a"))
        journal.closed("a", "ran")
        await journal.settle(5)
        assert list((tmp_path / "open").iterdir()) == []

    run(test())


def test_a_successor_takes_over_entries_once_the_former_process_has_ended(tmp_path: Path) -> None:
    async def test() -> None:
        former, other = Journal(tmp_path, "n0", print), Journal(tmp_path, "n0.x", print)
        former.begin()
        other.begin()
        former.opened(open_entry("a"))
        other.opened(open_entry("other's"))
        await wait_until_written(former)
        await wait_until_written(other)
        successor = Journal(tmp_path, "n0", print)
        assert successor.begin() == []  # make before break: the former process still runs and holds its lock
        former.opened(open_entry("late"))
        await wait_until_written(former)
        assert await successor.take_over() == []
        end_process(former)
        assert [entry.attempt for entry in await successor.take_over()] == ["a", "late"]
        assert await successor.take_over() == []
        await wait_until_written(successor)
        assert successor.path is not None and former.path is not None
        assert list(read(successor.path)[0]) == ["a", "late"] and not former.path.exists()
        end_process(other)
        third = Journal(tmp_path, "n0", print)
        end_process(successor)
        assert {entry.attempt for entry in third.begin()} == {"a", "late"}  # never entries of another name
        assert {entry.attempt for entry in read_all(tmp_path)[0]} == {"a", "late", "other's"}
        end_process(third)

    run(test())


def test_incomplete_and_damaged_lines_are_skipped_and_logged(tmp_path: Path) -> None:
    async def test() -> None:
        lines: list[str] = []
        former = Journal(tmp_path, "n0", print)
        former.begin()
        for name in "abc":
            former.opened(open_entry(name))
        await wait_until_written(former)
        assert former.path is not None
        data = former.path.read_bytes().replace(b'"b"', b'"b')
        former.path.write_bytes(data[:-4])
        end_process(former)
        journal = Journal(tmp_path, "n0", lines.append)
        assert [entry.attempt for entry in journal.begin()] == ["a"]
        assert "2 damaged lines were left out" in lines[0]
        end_process(journal)

    run(test())


def test_many_closed_lines_do_not_fill_the_disk(tmp_path: Path) -> None:
    async def test() -> None:
        journal = Journal(tmp_path, "n0", print)
        journal.begin()
        journal.opened(open_entry("stays"))
        assert journal.path is not None
        for i in range(3_000):
            journal.opened(open_entry(f"a{i}"))
            journal.closed(f"a{i}", "ran")
            if i % 100 == 0:
                await wait_until_written(journal)
        await wait_until_written(journal)
        assert len(journal.path.read_bytes().splitlines()) < 1_700
        assert list(read(journal.path)[0]) == ["stays"]
        # the rewritten file is locked, too
        assert Journal(tmp_path, "n0", print).left_by_others() == ([], [])
        end_process(journal)

    run(test())


def test_a_full_disk_is_logged_and_the_line_is_written_once_there_is_space(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        lines: list[str] = []
        journal = Journal(tmp_path, "n0", lines.append)
        journal.begin()
        plain = os.write

        def full(fd: int, data: bytes) -> int:
            if fd == journal.fd:
                plain(fd, data[:5])
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            return plain(fd, data)

        monkeypatch.setattr(os, "write", full)
        journal.opened(open_entry("a"))
        await wait_until_written(journal)
        assert "could not be written: No space left on device" in lines[0] and "a" in journal.open
        monkeypatch.undo()
        assert await journal.take_over() == []  # called every few seconds by the extension
        await wait_until_written(journal)
        assert journal.path is not None
        assert (list(read(journal.path)[0]), read(journal.path)[1]) == (["a"], 0)
        end_process(journal)

    run(test())


def test_a_newer_journal_and_an_unusable_folder_are_reported(tmp_path: Path) -> None:
    (tmp_path / "n0.abcd.open").write_text('{"version": 2}\n')
    with pytest.raises(JournalError, match="expected version 1, got 2"):
        Journal(tmp_path, "n0", print).begin()
    (tmp_path / "file").write_text("")
    with pytest.raises(JournalError, match="expected a folder that can be written"):
        Journal(tmp_path / "file", "n0", print).begin()
    with pytest.raises(JournalError, match="has a sidecar run with it"):
        read_all(tmp_path / "nowhere")
