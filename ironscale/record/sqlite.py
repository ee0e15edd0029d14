"""The store of record in SQLite."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable, Iterator
from pathlib import Path

import apsw

from ironscale.record import database
from ironscale.record.database import (
    BUSY_TIMEOUT_MS,
    CHECKPOINT_PAGES,
    MAX_WAL_PAGES,
    ConnectionFactory,
    Reader,
    Transaction,
    Writer,
)
from ironscale.record.model import (
    Cause,
    Entry,
    Row,
    StoreFailure,
    Verdict,
    WriteOutcome,
    WriteResult,
    fingerprint,
    result_for_existing_row,
)
from ironscale.record.sql import SCHEMA, Dialect, conflicting_rows_values, row
from ironscale.record.worker import MAX_QUEUED_JOBS, NO_DEADLINE
from ironscale.threads import run_in_thread

SQL = Dialect("sqlite")
# marks the file as a store of record, for file(1) and against opening another database by mistake
APPLICATION_ID = 0x69726F6E
MAX_SLOT_TRIES = 4  # tries in one transaction to free a slot whose key has expired and write again
PAGE_ROWS = 1_000  # rows or pages per step
STOP_TIMEOUT_S = 5.0
OPERATOR_BUSY_TIMEOUT_MS = 5_000  # how long operator commands wait for a writer


def migrate(connection: apsw.Connection) -> None:
    """Migrates the file. Raises StoreFailure if a newer or another program has written it."""
    database.migrate(connection, SCHEMA, SQL.migrations, "name another file", APPLICATION_ID)


def check(connection: apsw.Connection) -> None:
    """Checks, for readers, that the file is a store of record of the current schema. Changes nothing."""
    version = int(connection.pragma("user_version"))
    if int(connection.pragma("application_id")) != APPLICATION_ID or version != SCHEMA:
        raise StoreFailure(
            WriteOutcome.NEVER_RAN,
            Cause.UNUSABLE,
            f"{connection.filename}: expected a store of record of "
            f"schema {SCHEMA}, got {'schema ' + str(version) if version else 'another database'}",
            "FOREIGN",
        )


def write(entry: Entry) -> Callable[[Transaction], WriteResult]:
    """The job that writes one attempt, in a transaction that may hold other jobs."""
    values = (entry.attempt, entry.request, entry.kind, entry.tenant, entry.key, entry.effect, entry.target, entry.body,
              entry.fingerprint, entry.answer, entry.memory_ms, entry.memory_ms, entry.slot)

    def work(transaction: Transaction) -> WriteResult:
        for _ in range(MAX_SLOT_TRIES):
            if transaction.execute(SQL.write, values):
                return WriteResult(Verdict.WRITTEN, entry.answer)
            found = transaction.execute(SQL.conflicting_rows, conflicting_rows_values(entry))
            live_rows = [
                (attempt, state, text, answer) for attempt, state, text, answer, expired in found if not expired
            ]
            if live_rows:
                attempt, state, text, answer = live_rows[0]
                return result_for_existing_row(entry, state, attempt, text, answer)
            transaction.execute(SQL.free_slot, (entry.slot,))
        raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY, "its slot was taken again each time it was freed")

    return work


def ask(attempt: str) -> Callable[[Transaction], bytes | None]:
    """The job of `Store.ask`."""
    def work(transaction: Transaction) -> bytes | None:
        if transaction.execute(SQL.void, (attempt,)):
            return None
        (state, answer), = transaction.execute(SQL.by_attempt, (attempt,))
        return bytes(answer) if state == "written" else None

    return work


class SqliteStore:
    """`Store` in one file, which several processes of one machine may share."""

    def __init__(
        self,
        path: Path,
        max_queued: int = MAX_QUEUED_JOBS,
        vfs: str | None = None,
        busy_ms: int = BUSY_TIMEOUT_MS,
        checkpoint_pages: int = CHECKPOINT_PAGES,
        max_wal_pages: int = MAX_WAL_PAGES,
    ) -> None:
        self.path = path
        self.factory = ConnectionFactory(path, migrate, vfs, busy_ms, exclusive=vfs is not None)
        self.writer = Writer(self.factory, max_queued, checkpoint_pages, max_wal_pages)

    async def write(self, entry: Entry, until: float = NO_DEADLINE) -> WriteResult:
        return await self.writer.run(write(entry), until)

    async def ask(self, attempt: str, until: float = NO_DEADLINE) -> bytes | None:
        return await self.writer.run(ask(attempt), until)

    async def close(self) -> None:
        try:
            await run_in_thread(lambda: self.writer.stop(STOP_TIMEOUT_S))
        except OSError:  # no thread could be started
            self.writer.stop(STOP_TIMEOUT_S)


# For operator commands, on a file that a sidecar may be writing at the same time


def reader(path: Path) -> Reader:
    """Opens a file for reading. Raises StoreFailure if it does not exist; creates nothing."""
    if not path.is_file():
        raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.UNUSABLE, f"{path}: expected a store of record, got no file",
                           "MISSING")
    return Reader(ConnectionFactory(path, check, busy_ms=OPERATOR_BUSY_TIMEOUT_MS))


def rows(source: Reader, after: str = "") -> Iterator[Row]:
    """All rows ordered by attempt, each page read in its own transaction."""
    while True:
        page = source.read(lambda transaction, start=after: [  # type: ignore[misc]
            row(values) for values in transaction.execute(SQL.after, (start, PAGE_ROWS))])
        yield from page
        if len(page) < PAGE_ROWS:
            return
        after = page[-1].attempt


def verify(path: Path, progress: Callable[[int], None] = lambda done: None) -> tuple[int, list[str]]:
    """Returns the number of rows read and one line for each fault of the file or a record. Raises StoreFailure."""
    source = reader(path)
    try:
        lines = source.read(lambda transaction: transaction.execute("PRAGMA integrity_check(20)"))
        faults = [f"file: {line}" for line, in lines if line != "ok"]
        seen = 0
        for record in [] if faults else rows(source):
            seen += 1
            faults += [f"record {record.attempt}: {text}" for text in row_faults(record)]
            if seen % PAGE_ROWS == 0:
                progress(seen)
            if len(faults) >= 100:
                break
        return seen, faults
    finally:
        source.close()


def row_faults(record: Row) -> list[str]:
    """The faults of one row."""
    if record.state == "void":
        return ["a void marker with a slot"] if record.slot is not None else []
    faults = []
    if fingerprint(record.target, record.body) != record.fingerprint:
        faults.append("its fingerprint does not match its target and body")
    if record.slot is None and record.until_ms == 0:
        faults.append("it has lost its slot, though its key never expires")
    if record.until_ms and record.until_ms < record.at_ms:
        faults.append(f"it is remembered until {record.until_ms}, before it was written at {record.at_ms}")
    return faults


def begin_snapshot(connection: apsw.Connection) -> None:
    """Begins a read transaction, in which the store stays as it is now. A copy that is made of it in steps would begin
    anew after each write of another connection."""
    connection.execute("BEGIN")
    connection.execute("SELECT count(*) FROM sqlite_schema").fetchall()  # the first read takes the snapshot


def backup(path: Path, to: Path, progress: Callable[[int, int], None] = lambda left, pages: None) -> int:
    """Makes a consistent copy while sidecars write. It appears under its name only when it is complete.

    Returns its number of pages. Raises StoreFailure.
    """
    if to.exists():
        raise StoreFailure(
            WriteOutcome.NEVER_RAN, Cause.UNUSABLE, f"{to}: expected a name that is free, got a file", "EXISTS"
        )
    reader(path).close()
    partial = to.with_name(f"{to.name}.part")
    partial.unlink(missing_ok=True)
    source = ConnectionFactory(path, check, busy_ms=OPERATOR_BUSY_TIMEOUT_MS).open(create=False)
    try:
        target = ConnectionFactory(partial).open()
        try:
            begin_snapshot(source)
            with target.backup("main", source, "main") as copying:
                while not copying.done:
                    try:
                        copying.step(PAGE_ROWS)
                    except (apsw.BusyError, apsw.LockedError):
                        continue  # the copy's own file is locked for a moment
                    progress(copying.remaining, copying.page_count)
                pages = copying.page_count
            database.set_persistent_wal(target, False)
            target.execute("PRAGMA journal_mode = DELETE").fetchall()  # a single file without a write-ahead log
        finally:
            target.close(True)
        with partial.open("rb+") as file:
            os.fsync(file.fileno())
        partial.rename(to)
        return int(pages)
    except apsw.Error as error:
        raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.BROKEN, f"{to}: the copy was not made: {error}") from error
    finally:
        with contextlib.suppress(apsw.Error):
            source.execute("ROLLBACK")  # of the read transaction; without it the log could not be removed
        database.close_and_remove_wal(source)
        partial.unlink(missing_ok=True)
