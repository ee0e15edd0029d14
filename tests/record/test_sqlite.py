"""The store of record in SQLite, used by one process and by several."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sqlite3
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import apsw
import pytest

from ironscale.record import database, sqlite
from ironscale.record.database import ConnectionFactory, Transaction
from ironscale.record.model import Cause, StoreFailure, Verdict, WriteOutcome
from ironscale.record.sqlite import SqliteStore, backup, migrate, reader, rows, verify
from tests.deployed import ROOT
from tests.record.samples import another_attempt, entry


def run(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 60))


async def deadline_in(seconds: float) -> float:
    return asyncio.get_running_loop().time() + seconds


def test_written_once_and_answered_with_the_first_answer(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "r.db")
        first = entry("a", body=bytes(range(256)) * 256)  # 64 KiB
        assert (await store.write(first)).verdict is Verdict.WRITTEN
        repeat = await store.write(another_attempt(first))
        assert repeat.verdict is Verdict.REPEAT and repeat.answer == first.answer
        other = await store.write(entry("a", body=b"other"))
        assert other.verdict is Verdict.CONFLICT and other.answer == b""
        mark = entry("b", "deduplicated")
        assert (await store.write(mark)).verdict is Verdict.WRITTEN
        again_by_another = await store.write(entry("c", "deduplicated"))
        assert again_by_another.verdict is Verdict.REPEAT and again_by_another.answer == mark.answer
        assert (await store.write(entry("d", "deduplicated", body=b"other"))).verdict is Verdict.CONFLICT
        for changes in ({"tenant": "south"}, {"kind": "grade"}, {"key": "l"}):
            assert (await store.write(entry("e", "deduplicated", body=b"other", **changes))).verdict is Verdict.WRITTEN
        found = reader(store.path)
        standing = list(rows(found))
        assert sorted(one.request for one in standing) == ["a", "b", "e", "e", "e"]
        assert [one.body for one in standing if one.request == "a"] == [first.body]
        found.close()
        await store.close()

    run(test())


def test_an_expired_key_can_be_reused_and_the_old_record_stays(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "r.db")
        first = entry("a", "deduplicated", memory_ms=30)
        await store.write(first)
        deadline = time.monotonic() + 20
        changes = {"body": b"new", "memory_ms": 60_000}
        while (await store.write(entry("b", "deduplicated", **changes))).verdict is not Verdict.WRITTEN:  # type: ignore
            assert time.monotonic() < deadline
        assert (await store.write(entry("c", "deduplicated", body=b"new"))).verdict is Verdict.REPEAT
        found = reader(store.path)
        assert sorted((one.request, one.body, one.slot is None) for one in rows(found)) == [
            ("a", b"work", True), ("b", b"new", False)]
        found.close()
        # the first attempt ran, though its slot now belongs to another
        assert await store.ask(first.attempt) == first.answer
        await store.close()
        assert verify(store.path) == (2, [])

    run(test())


def test_the_fence_blocks_a_late_write_and_queries_are_idempotent(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "r.db")
        late = entry("a")
        assert await store.ask(late.attempt) is None
        assert await store.ask(late.attempt) is None
        assert (await store.write(late)).verdict is Verdict.FENCED
        second = another_attempt(late)
        assert (await store.write(second)).verdict is Verdict.WRITTEN  # another attempt for the same request may run
        assert (await store.write(late)).verdict is Verdict.REPEAT  # and its answer is returned for the first one
        assert await store.ask(second.attempt) == second.answer
        assert await store.ask(late.attempt) is None
        await store.close()

    run(test())


def test_queued_jobs_share_a_commit_and_a_failing_job_affects_no_other(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "r.db")
        await store.write(entry())

        def bad(transaction: Transaction) -> None:
            transaction.execute("INSERT INTO records (attempt) VALUES ('half')")

        def worse(transaction: Transaction) -> None:
            transaction.execute("DELETE FROM records")
            raise ValueError("in the middle")

        results = await asyncio.gather(*(store.write(entry()) for _ in range(300)), store.writer.run(bad),
                                       store.writer.run(worse), return_exceptions=True)
        assert [type(r).__name__ for r in results[300:]] == ["StoreFailure", "ValueError"]
        assert store.writer.commits < 60
        assert (await store.writer.run(lambda t: t.execute("SELECT count(*) FROM records")))[0][0] == 301
        await store.close()

    run(test())


class StalledJob:
    """Blocks the writer thread within a job, as a hanging disk would."""

    def __init__(self) -> None:
        self.reached, self.go = threading.Event(), threading.Event()

    def __call__(self, transaction: Transaction) -> None:
        self.reached.set()
        assert self.go.wait(30)


async def wait_until_stalled(stalled: StalledJob) -> None:
    while not stalled.reached.is_set():
        await asyncio.sleep(0.001)


def test_at_the_deadline_a_queued_write_never_runs_and_a_started_one_is_unknown(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "r.db")
        held, stalled, waiting = entry("held"), StalledJob(), entry("waiting")

        def work(transaction: Transaction) -> object:
            found = sqlite.write(held)(transaction)
            stalled(transaction)
            return found

        first = asyncio.create_task(store.writer.run(work, await deadline_in(0.3)))
        await wait_until_stalled(stalled)
        with pytest.raises(StoreFailure) as second:
            await store.write(waiting, await deadline_in(0.05))
        assert (second.value.outcome, second.value.cause) == (WriteOutcome.NEVER_RAN, Cause.TIMEOUT)
        with pytest.raises(StoreFailure) as unknown:
            await first
        assert unknown.value.outcome is WriteOutcome.UNKNOWN
        stalled.go.set()
        assert await store.ask(held.attempt) == held.answer  # it was late, but it ran
        assert await store.ask(waiting.attempt) is None
        await store.close()

    run(test())


def test_a_full_queue_refuses_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "r.db", max_queued=5)
        stalled = StalledJob()
        first = asyncio.create_task(store.writer.run(stalled))
        await wait_until_stalled(stalled)
        waiting = [asyncio.create_task(store.write(entry())) for _ in range(5)]
        await asyncio.sleep(0)
        with pytest.raises(StoreFailure, match="5 writes wait already") as full:
            await store.write(entry())
        assert (full.value.outcome, full.value.cause) == (WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY)
        stalled.go.set()
        await first
        assert all(one.verdict is Verdict.WRITTEN for one in await asyncio.gather(*waiting))
        await store.close()

    run(test())


def test_a_locked_file_refuses_writes_and_is_used_again(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "r.db", busy_ms=20)
        await store.write(entry("a"))
        other = ConnectionFactory(store.path).open()
        other.execute("BEGIN IMMEDIATE")
        with pytest.raises(StoreFailure, match="another process writes it") as busy:
            await store.write(entry("b"))
        assert (busy.value.outcome, busy.value.cause) == (WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY)
        other.execute("ROLLBACK")
        assert (await store.write(entry("b"))).verdict is Verdict.WRITTEN
        other.close()
        await store.close()

    run(test())


def test_two_processes_sharing_a_file_write_a_key_once(tmp_path: Path) -> None:
    """Both write at the same time, repeatedly."""
    async def test() -> None:
        stores = [SqliteStore(tmp_path / "r.db", busy_ms=5_000) for _ in range(2)]
        for i in range(40):
            found = await asyncio.gather(*(store.write(entry("", "deduplicated", key=f"k{i}")) for store in stores))
            assert sorted(one.verdict.value for one in found) == ["repeat", "written"]
            assert found[0].answer == found[1].answer
        for store in stores:
            await store.close()
        assert verify(tmp_path / "r.db") == (40, [])

    run(test())


# Unusable files


@pytest.mark.parametrize(("make", "code"), [
    (lambda path: path.write_bytes(b"no database" * 1000), "SQLITE_NOTADB"),
    (lambda path: sqlite3.connect(path).execute("CREATE TABLE other (x)"), "FOREIGN"),
    (lambda path: make_newer(path), "NEWER"), (lambda path: path.mkdir(), "SQLITE_CANTOPEN"),
])
def test_a_foreign_file_is_reported_and_left_unchanged(
        make: Callable[[Path], object], code: str, tmp_path: Path) -> None:
    path = tmp_path / "r.db"
    make(path)
    before = path.read_bytes() if path.is_file() else b""

    async def test() -> None:
        store = SqliteStore(path)
        with pytest.raises(StoreFailure, match="r.db: ") as found:
            await store.write(entry())
        assert found.value.code == code and found.value.outcome is WriteOutcome.NEVER_RAN
        assert found.value.cause is Cause.UNUSABLE and "\n" not in str(found.value)
        await store.close()

    run(test())
    if path.is_file() and code != "FOREIGN":
        assert path.read_bytes() == before


def make_newer(path: Path) -> None:
    connection = ConnectionFactory(path, migrate).open()
    connection.execute("PRAGMA user_version = 99")
    connection.close()


def test_an_interrupted_migration_leaves_the_old_schema(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sqlite.SQL, "migrations", lambda version: ["CREATE TABLE records (x)", "no SQL at all"])
    with pytest.raises(apsw.SQLError):
        ConnectionFactory(tmp_path / "r.db", migrate).open()
    monkeypatch.undo()
    ConnectionFactory(tmp_path / "r.db", migrate).open().close()
    assert verify(tmp_path / "r.db") == (0, [])


def test_only_the_owner_can_read_the_file(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "r.db")
        await store.write(entry())
        assert {path.name: path.stat().st_mode & 0o777 for path in tmp_path.iterdir()} == dict.fromkeys(
            ("r.db", "r.db-wal", "r.db-shm"), 0o600)
        await store.close()

    run(test())


# Kills

WRITING = """
import asyncio, sys
from pathlib import Path
from ironscale.record.sqlite import SqliteStore
from tests.record.samples import entry

async def main():
    store = SqliteStore(Path(sys.argv[1]))
    async def writer(k):
        for i in range(100_000):
            one = entry(f"{sys.argv[2]}.{k}.{i}")
            await store.write(one)
            print(one.request, flush=True)
    await asyncio.gather(*(writer(k) for k in range(8)))

asyncio.run(main())
"""


def test_confirmed_records_survive_a_kill_at_any_moment(tmp_path: Path) -> None:
    path, confirmed = tmp_path / "r.db", set()
    for turn in range(6):
        process = subprocess.Popen([sys.executable, "-c", WRITING, str(path), str(turn)], cwd=ROOT,
                                   stdout=subprocess.PIPE, env={**os.environ, "PYTHONPATH": str(ROOT)})
        assert process.stdout is not None
        for _ in range(20 + 37 * turn):
            confirmed.add(process.stdout.readline().decode().strip())
        process.send_signal(signal.SIGKILL)
        rest = process.stdout.read().decode()
        confirmed |= set(rest.split("\n")[:-1])
        process.wait(20)
    found = reader(path)
    standing = [one.request for one in rows(found)]
    found.close()
    assert confirmed <= set(standing) and len(standing) == len(set(standing))
    assert len(standing) <= len(confirmed) + 6 * 8
    assert verify(path) == (len(standing), [])


# Checkpoints, backup, verify


def test_checkpoints_run_in_parallel_to_the_writer_and_bound_the_log(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "r.db", checkpoint_pages=50, max_wal_pages=400)
        for _ in range(300):
            await store.write(entry(body=bytes(8_000)))
        log = (tmp_path / "r.db-wal").stat().st_size
        assert log < 4_200 * (400 + 40), log
        assert (tmp_path / "r.db").stat().st_size > 100 * 8_000  # part of the log was checkpointed
        await store.close()
        assert verify(store.path)[1] == []

    run(test())


class SlowFile(apsw.VFSFile):
    """Writes to the database file are slow; the log and its index are not."""

    def __init__(self, vfs: str, name: Any, flags: Any) -> None:
        super().__init__(vfs, name, flags)
        self.wait_s = 0.003 if flags[0] & apsw.SQLITE_OPEN_MAIN_DB else 0.0

    def xWrite(self, data: Any, offset: int) -> None:
        time.sleep(self.wait_s)
        super().xWrite(data, offset)


class SlowDisk(apsw.VFS):
    def __init__(self) -> None:
        super().__init__("slow", "")

    def xOpen(self, name: Any, flags: Any) -> SlowFile:
        return SlowFile("", name, flags)


@pytest.mark.parametrize("same_process", [True, False])
def test_the_log_stays_bounded_during_slow_checkpoints_of_others(
        same_process: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A checkpoint by the checkpoint thread or another process is running whenever the log reaches its limit."""
    slow, finished = SlowDisk(), threading.Event()

    def run_checkpoints() -> int:
        """Checkpoints repeatedly, as another process would."""
        other, count = ConnectionFactory(tmp_path / "r.db", None, "slow").open(), 0
        while not finished.wait(0.001):
            with contextlib.suppress(apsw.BusyError):
                other.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_PASSIVE)
                count += 1
        other.close(True)
        return count

    async def test() -> None:
        if same_process:
            monkeypatch.setattr(
                database, "ConnectionFactory", lambda path, *more: ConnectionFactory(path, None, "slow")
            )
        longest = 400 if same_process else 200
        store = SqliteStore(tmp_path / "r.db", checkpoint_pages=50 if same_process else 10**9,
                            max_wal_pages=longest, busy_ms=250 if same_process else 5_000)
        await store.write(entry())
        other = None if same_process else asyncio.get_running_loop().run_in_executor(None, run_checkpoints)
        try:
            for _ in range(300):
                await store.write(entry(body=bytes(8_000)))
                log = (tmp_path / "r.db-wal").stat().st_size
                assert log < 4_200 * (longest + 40), log
        finally:
            finished.set()
            copied = await other if other is not None else 1
            await store.close()
        assert copied
        assert verify(store.path)[1] == []

    run(test())
    slow.unregister()


# Guards against writes that each wait for a reader that stays, once the log is past its bound.
def test_a_reader_that_stays_delays_few_writes_and_the_log_restarts_after_it(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "r.db", checkpoint_pages=10, max_wal_pages=100)
        await store.write(entry())
        staying = ConnectionFactory(store.path).open(create=False)
        staying.execute("BEGIN")
        staying.execute("SELECT count(*) FROM records").fetchall()
        attempts: list[bool] = []
        restart = store.writer._restart_wal
        store.writer._restart_wal = lambda held: attempts.append(restart(held)) or attempts[-1]  # type: ignore
        for _ in range(60):
            await store.write(entry(body=bytes(30_000)))
        assert attempts and not any(attempts) and len(attempts) <= 3
        staying.close(True)
        store.writer.next_restart_s = 0.0
        for _ in range(3):
            await store.write(entry(body=bytes(30_000)))
        assert attempts[-1] and store.writer.wal_pages < 100
        await store.close()
        assert verify(store.path)[1] == []

    run(test())


def test_a_backup_during_writes_is_complete_and_can_be_restored(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "r.db")
        written: list[str] = []
        stop = asyncio.Event()

        async def writer() -> None:
            while not stop.is_set():
                one = entry(body=bytes(2_000))
                await store.write(one)
                written.append(one.request)

        async with asyncio.TaskGroup() as group:
            group.create_task(writer())
            while len(written) < 300:
                await asyncio.sleep(0.001)
            before = list(written)
            seen: list[tuple[int, int]] = []
            pages = await asyncio.get_running_loop().run_in_executor(
                None, lambda: backup(store.path, tmp_path / "copy.db", lambda *at: seen.append(at)))
            stop.set()
        assert pages > 100 and seen and seen[-1][0] == 0
        await store.close()
        count, wrong = verify(tmp_path / "copy.db")
        assert wrong == [] and len(before) <= count <= len(written)
        with pytest.raises(StoreFailure, match="expected a name that is free"):
            backup(store.path, tmp_path / "copy.db")
        restored = SqliteStore(tmp_path / "copy.db")
        copied = reader(tmp_path / "copy.db")
        assert set(before) <= {one.request for one in rows(copied)}
        copied.close()
        assert (await restored.write(entry("after"))).verdict is Verdict.WRITTEN
        await restored.close()
        assert {path.name for path in tmp_path.iterdir()} == {"r.db", "copy.db"}

    run(test())


# Guards against a backup that begins anew after each write, and so never ends.
def test_a_backup_ends_though_a_write_comes_between_any_two_steps(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "r.db")
        for _ in range(400):
            await store.write(entry(body=bytes(30_000)))
        loop = asyncio.get_running_loop()
        left: list[int] = []

        def write_one(left_pages: int, pages: int) -> None:
            left.append(left_pages)
            assert len(left) == 1 or left[-1] < left[-2], left
            asyncio.run_coroutine_threadsafe(store.write(entry(body=bytes(30_000))), loop).result()

        await loop.run_in_executor(None, lambda: backup(store.path, tmp_path / "copy.db", write_one))
        assert len(left) >= 3 and left[-1] == 0
        assert verify(tmp_path / "copy.db") == (400, [])  # as it was at one moment
        await store.close()
        assert verify(store.path) == (400 + len(left), [])

    run(test())


@pytest.mark.parametrize(("sql", "text"), [
    ("UPDATE records SET body = x'00'", "fingerprint"), ("UPDATE records SET slot = NULL", "lost its slot"),
    ("UPDATE records SET until_ms = 5", "remembered until"),
])
def test_verify_reports_external_changes(sql: str, text: str, tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "r.db")
        one = entry()
        await store.write(one)
        await store.close()
        connection = sqlite3.connect(store.path, isolation_level=None)
        connection.execute(sql)
        connection.close()
        seen, wrong = verify(store.path)
        assert seen == 1 and len(wrong) == 1 and wrong[0].startswith(f"record {one.attempt}: ") and text in wrong[0]

    run(test())


def test_verify_finds_a_damaged_page(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "r.db")
        for _ in range(50):
            await store.write(entry(body=bytes(3_000)))
        await store.close()
        data = bytearray(store.path.read_bytes())
        data[3 * 4096:3 * 4096 + 200] = bytes(200)
        store.path.write_bytes(data)
        with pytest.raises(StoreFailure, match="SQLITE_CORRUPT") as found:
            if wrong := verify(store.path)[1]:
                raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.BROKEN, f"SQLITE_CORRUPT {wrong[0]}")
        assert found.value

    run(test())


def test_a_missing_store_is_not_created(tmp_path: Path) -> None:
    for act in (reader, verify, lambda path: backup(path, tmp_path / "copy.db")):
        with pytest.raises(StoreFailure, match="expected a store of record, got no file"):
            act(tmp_path / "none.db")
    assert list(tmp_path.iterdir()) == []
