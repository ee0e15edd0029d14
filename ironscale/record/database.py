"""SQLite off the event loop: a writer thread with group commit, a checkpoint thread and a separate reader. Jobs
submitted during a commit share the next one. The work itself is supplied by the callers.
"""

from __future__ import annotations

import contextlib
import ctypes
import os
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, TypeVar

import apsw

from ironscale.record.errors import TransactionStep, sqlite_cause, sqlite_outcome
from ironscale.record.model import Cause, StoreFailure, WriteOutcome
from ironscale.record.worker import MAX_QUEUED_JOBS, Job, JobResult, Worker, failed_group_results
from ironscale.threads import start_thread

T = TypeVar("T")
# how long SQLite waits for a lock of another process before it reports SQLITE_BUSY; callers may retry
BUSY_TIMEOUT_MS = 250
CHECKPOINT_PAGES = 1_000  # size of the write-ahead log from which the checkpoint thread copies it into the database
# beyond this the writer itself waits for a checkpoint, so that the log cannot grow without bound
MAX_WAL_PAGES = 32_000
# of the time, that the writer waits in vain: a reader may stay as long as the backup of a large store takes
MAX_VAIN_WAIT_SHARE = 0.05


# Errors raised by a VFS written in Python have no result code, only a class.
_NAMES: dict[type[Exception], str] = {apsw.IOError: "SQLITE_IOERR", apsw.SQLError: "SQLITE_ERROR"}


def result_code_name(error: apsw.Error) -> str:
    """The name of the error's primary result code."""
    code = getattr(error, "result", None)
    found = apsw.mapping_result_codes.get(code) if isinstance(code, int) else None
    if found is not None:
        return str(found)
    return _NAMES.get(type(error)) or f"SQLITE_{type(error).__name__.removesuffix('Error').upper()}"


def store_failure(error: apsw.Error, step: TransactionStep, path: Path | str) -> StoreFailure:
    """The StoreFailure for an error of apsw, with advice for the operator."""
    name = result_code_name(error)
    hint = {"SQLITE_FULL": "; free space", "SQLITE_BUSY": "; another process writes it",
            "SQLITE_READONLY": "; the file or its folder can't be written", "SQLITE_CORRUPT": "; restore a backup",
            "SQLITE_NOTADB": "; restore a backup",
            "SQLITE_CANTOPEN": "; the folder must be there and writable"}.get(name, "")
    return StoreFailure(sqlite_outcome(step, name), sqlite_cause(name), f"{path}: {name}: {error}{hint}", name)


def migrate(connection: apsw.Connection, schema: int, statements: Callable[[int], Sequence[str]], instead: str,
            owner: int = 0) -> None:
    """Migrates the file to `schema` in one transaction; `statements` returns the statements needed from a version on.

    `owner`, if not 0, is the application id that marks the file as this program's. Raises StoreFailure if a newer or
    another program has written the file; `instead` is the advice in that message. Raises apsw.Error.
    """
    path = connection.filename
    connection.execute("BEGIN IMMEDIATE")  # of two that start at once, the second finds the work done
    try:
        version = int(connection.pragma("user_version"))
        found_owner = int(connection.pragma("application_id"))
        tables = connection.execute("SELECT count(*) FROM sqlite_schema").fetchall()[0][0]
        if owner and found_owner != owner and (found_owner or version or tables):
            raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.UNUSABLE,
                          f"{path}: expected a store of record, got another program's database; {instead}", "FOREIGN")
        if version > schema:
            raise StoreFailure(
                WriteOutcome.NEVER_RAN,
                Cause.UNUSABLE,
                f"{path}: expected schema {schema} or older, got {version}; start the newer program, or {instead}",
                "NEWER",
            )
        if version < schema:
            for statement in statements(version):
                connection.execute(statement)
            connection.execute(f"PRAGMA user_version = {schema}")
            if owner:
                connection.execute(f"PRAGMA application_id = {owner}")
        connection.execute("COMMIT")
    except BaseException:
        if connection.in_transaction:
            connection.execute("ROLLBACK")
        raise


class Transaction:
    """The transaction that a job runs in."""

    __slots__ = ("connection",)

    def __init__(self, connection: apsw.Connection) -> None:
        self.connection = connection

    def execute(self, sql: str, values: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        return self.connection.execute(sql, values).fetchall()


Work = Callable[[Transaction], T]


_BOOTTIME_TO_UNIX_NS = time.time_ns() - time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class ConnectionFactory:
    """Opens connections to one file with the same settings. `vfs` names a VFS registered with apsw (for fault
    tests)."""

    def __init__(self, path: Path, prepare: Callable[[apsw.Connection], None] | None = None, vfs: str | None = None,
                 busy_ms: int = BUSY_TIMEOUT_MS, exclusive: bool = False) -> None:
        self.path, self.prepare, self.vfs, self.busy_ms = path, prepare, vfs, busy_ms
        self.exclusive = exclusive  # only one connection; needs no shared-memory index

    def open(self, create: bool = True) -> apsw.Connection:
        """Raises apsw.Error or StoreFailure."""
        flags = apsw.SQLITE_OPEN_READWRITE | (apsw.SQLITE_OPEN_CREATE if create else 0)
        try:
            if create and self.vfs is None:
                # created with mode 0600; SQLite gives its WAL and index files the mode of the database
                os.close(os.open(self.path, os.O_RDWR | os.O_CREAT, 0o600))
        except OSError as error:
            raise StoreFailure(
                WriteOutcome.NEVER_RAN,
                Cause.UNUSABLE,
                f"{self.path}: expected a file that can be written, got {error.strerror}",
                "SQLITE_CANTOPEN",
            ) from error
        deadline = time.monotonic() + self.busy_ms / 1000
        while True:
            try:
                return self._opened(flags)
            except apsw.BusyError:
                # SQLite's busy timeout does not apply while another connection changes the journal mode
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.005)

    def _opened(self, flags: int) -> apsw.Connection:
        connection = apsw.Connection(str(self.path), flags=flags, vfs=self.vfs)
        try:
            set_persistent_wal(connection)
            connection.create_scalar_function("now_ms", lambda *_: steady_unix_ms(), 0)
            connection.set_busy_timeout(self.busy_ms)
            if connection.readonly("main"):
                raise StoreFailure(
                    WriteOutcome.NEVER_RAN,
                    Cause.UNUSABLE,
                    f"{self.path}: expected a file that can be written, got one that could be opened for reading only",
                    "SQLITE_READONLY",
                )
            if self.exclusive:
                connection.execute("PRAGMA locking_mode = EXCLUSIVE").fetchall()
            connection.execute("PRAGMA journal_mode = WAL").fetchall()
            connection.execute("PRAGMA synchronous = FULL").fetchall()
            connection.execute("PRAGMA foreign_keys = ON").fetchall()
            connection.execute("PRAGMA wal_autocheckpoint = 0").fetchall()
            if self.prepare is not None:
                self.prepare(connection)
        except BaseException:
            connection.close(True)
            raise
        return connection


def steady_unix_ms() -> int:
    """Unix time in milliseconds, read once at the start of the process and advanced by the boot-time clock. Idempotency
    keys expire by it, and the wall clock may jump."""
    return (time.clock_gettime_ns(time.CLOCK_BOOTTIME) + _BOOTTIME_TO_UNIX_NS) // 1_000_000


def set_persistent_wal(connection: apsw.Connection, keeps: bool = True) -> None:
    """Sets whether SQLite keeps the write-ahead log when the last connection closes. If the shared-memory index could
    only be opened read-only, SQLite takes the log for empty and would delete it with all commits not yet
    checkpointed."""
    value = ctypes.c_int(keeps)
    connection.file_control("main", apsw.SQLITE_FCNTL_PERSIST_WAL, ctypes.addressof(value))


def close_and_remove_wal(connection: apsw.Connection) -> None:
    """Closes the connection and lets SQLite delete the log, if a write lock can be taken, which needs an intact
    index."""
    with contextlib.suppress(apsw.Error):
        connection.execute("BEGIN IMMEDIATE")
        connection.execute("ROLLBACK")
        set_persistent_wal(connection, False)
    connection.close(True)


class Writer(Worker[Transaction]):
    """Writes on one connection, on one thread."""

    def __init__(
        self,
        factory: ConnectionFactory,
        max_queued: int = MAX_QUEUED_JOBS,
        checkpoint_pages: int = CHECKPOINT_PAGES,
        max_wal_pages: int = MAX_WAL_PAGES,
        connection: apsw.Connection | None = None,
    ) -> None:
        """`connection` is one that `factory` has already opened and nobody else uses."""
        super().__init__(str(factory.path), max_queued)
        self.factory = factory
        self.checkpoint_pages = checkpoint_pages
        self.max_wal_pages = checkpoint_pages if factory.exclusive else max_wal_pages
        self.connection = connection
        if connection is not None:
            connection.set_wal_hook(self._on_wal_commit)
        self.wal_pages = 0
        self.commits = self.written = 0
        self.longest_checkpoint_s = 0.0  # the longest time that the writer itself waited for a checkpoint
        self.next_restart_s = 0.0  # of the log, at the earliest
        self.checkpoint_requested = threading.Event()
        self.checkpoint_lock = threading.Lock()  # held by the writer or the checkpoint thread while it checkpoints
        self.checkpoint_thread = threading.Thread(target=self._run_checkpoints, name="record-checkpoints", daemon=True)
        start_thread(self.checkpoint_thread)
        self.start()

    def commit(self, group: list[Job[Transaction, Any]]) -> list[JobResult[Transaction]]:
        done: list[JobResult[Transaction]] = []
        step, opened = TransactionStep.CONNECT, self.connection
        try:
            if opened is None:
                opened = self.connection = self.factory.open()
                opened.set_wal_hook(self._on_wal_commit)
            step = TransactionStep.WORK
            transaction = Transaction(opened)
            writes = any(job.writes for job in group)
            opened.execute("BEGIN IMMEDIATE" if writes else "BEGIN")
            for job in group:
                opened.execute("SAVEPOINT job")
                try:
                    done.append((job, job.work(transaction), None))
                except apsw.Error as error:
                    if not opened.in_transaction:
                        raise  # SQLite rolled back the whole transaction, as on a full disk
                    opened.execute("ROLLBACK TO job")
                    done.append((job, None, store_failure(error, step, self.factory.path)))
                except Exception as error:
                    opened.execute("ROLLBACK TO job")
                    done.append((job, None, error))
                opened.execute("RELEASE job")
            step = TransactionStep.COMMIT
            opened.execute("COMMIT")
            self.commits += writes
            self.written += len(group) if writes else 0
            return done
        except (apsw.Error, StoreFailure) as error:
            found = error if isinstance(error, StoreFailure) else store_failure(error, step, self.factory.path)
            if opened is not None:
                self._after_error(opened, found)
            return failed_group_results(group, done, found)
        except Exception as error:  # if this thread died, its callers would wait for ever
            if opened is not None:
                self._after_error(opened, None)
            return failed_group_results(group, [], StoreFailure(
                WriteOutcome.UNKNOWN if step is TransactionStep.COMMIT else WriteOutcome.NEVER_RAN, Cause.BROKEN,
                f"{self.factory.path}: {type(error).__name__}: {error}"))

    def _after_error(self, connection: apsw.Connection, failure: StoreFailure | None) -> None:
        try:
            if connection.in_transaction:
                connection.execute("ROLLBACK")
            keep = (failure is not None and failure.cause is Cause.TURNED_AWAY
                    and failure.outcome is WriteOutcome.NEVER_RAN)
        except apsw.Error:
            keep = False
        if not keep:
            # after a failed sync this connection's view of the log may differ from what a recovery finds
            self.connection = None
            with contextlib.suppress(apsw.Error):
                connection.close(True)

    def _on_wal_commit(self, connection: apsw.Connection, database: str, pages: int) -> int:
        self.wal_pages = pages
        return 0

    def after(self) -> None:
        if self.wal_pages >= self.checkpoint_pages and not self.factory.exclusive:
            self.checkpoint_requested.set()
        if self.wal_pages >= self.max_wal_pages and self.connection is not None:
            began = time.monotonic()
            if began < self.next_restart_s:
                return
            has_restarted = self._restart_wal(self.connection)
            waited_s = time.monotonic() - began
            self.longest_checkpoint_s = max(self.longest_checkpoint_s, waited_s)
            if has_restarted:
                self.wal_pages = 0
            else:
                self.next_restart_s = time.monotonic() + waited_s / MAX_VAIN_WAIT_SHARE

    def _restart_wal(self, connection: apsw.Connection) -> bool:
        """Checkpoints the whole log, so that the next write starts at its beginning; returns whether it does.

        While another checkpoint runs, SQLite fails with SQLITE_BUSY at once, without the busy timeout. A checkpoint of
        this process is waited for to its end, one of another process or a reader for the busy timeout."""
        with self.checkpoint_lock:
            deadline_s = time.monotonic() + self.factory.busy_ms / 1000
            while True:
                try:
                    connection.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_RESTART)
                    return True
                except apsw.BusyError:
                    if time.monotonic() >= deadline_s:
                        return False
                    time.sleep(0.005)
                except apsw.Error:
                    return False  # the next commit meets the same error and reports it

    def _run_checkpoints(self) -> None:
        """Checkpoints the log on a connection of its own: a passive checkpoint does not block the writer.

        The connection is opened anew each time. Connections of one process share the shared-memory index; one that was
        kept open could hold an index that was opened read-only, and all writes would fail."""
        while True:
            self.checkpoint_requested.wait()
            self.checkpoint_requested.clear()
            if self.ending:
                return
            # a failure leaves the log unchanged; the writer checkpoints it once it is too long
            with contextlib.suppress(apsw.Error, StoreFailure):
                connection = ConnectionFactory(self.factory.path, None, self.factory.vfs).open(create=False)
                try:
                    with self.checkpoint_lock:
                        connection.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_PASSIVE)
                finally:
                    connection.close(True)

    def stop(self, wait_s: float) -> None:
        """Stops after the queued jobs. The wait is bounded, as a hanging disk must not keep the process from ending."""
        self.end()
        self.checkpoint_requested.set()
        self.checkpoint_thread.join(wait_s)
        self.thread.join(wait_s)
        if not self.thread.is_alive() and self.connection is not None:
            connection, self.connection = self.connection, None
            with contextlib.suppress(apsw.Error):
                close_and_remove_wal(connection)


class Reader:
    """A separate connection for reading, so that a long listing does not block writes."""

    def __init__(self, factory: ConnectionFactory) -> None:
        self.factory = factory
        self.lock = threading.Lock()
        self.connection: apsw.Connection | None = None

    def read(self, work: Work[T]) -> T:
        """Runs `work` in a read transaction on the calling thread. Raises StoreFailure."""
        with self.lock:
            try:
                if self.connection is None:
                    self.connection = self.factory.open(create=False)
                self.connection.execute("BEGIN")
                try:
                    return work(Transaction(self.connection))
                finally:
                    if self.connection.in_transaction:
                        self.connection.execute("ROLLBACK")
            except apsw.Error as error:
                connection, self.connection = self.connection, None
                if connection is not None:
                    with contextlib.suppress(apsw.Error):
                        connection.close(True)
                raise store_failure(error, TransactionStep.WORK, self.factory.path) from error

    def close(self) -> None:
        with self.lock:
            if self.connection is not None:
                close_and_remove_wal(self.connection)
                self.connection = None
