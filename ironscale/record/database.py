"""SQLite off the event loop: one writer with group commit, a reader and a checkpointer beside it. What is asked for
while a commit is under way shares the next one. Knows nothing of what is written: work is handed in.
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
from ironscale.record.model import Cause, WriteOutcome, StoreFailure
from ironscale.record.worker import MAX_QUEUED_JOBS, Done, Job, Worker, failed_group_results
from ironscale.threads import start_thread

T = TypeVar("T")
BUSY_TIMEOUT_MS = 250  # another process writes: so long at a time, then it is told; who asked may ask again
CHECKPOINT_PAGES = 1_000  # of the log, from where they are copied into the file beside the writer
MAX_WAL_PAGES = 32_000  # past this the writer itself waits for the copying: else the log would grow for ever


# An error that a file system in Python raised has no code of its own, but its class.
_NAMES: dict[type[Exception], str] = {apsw.IOError: "SQLITE_IOERR", apsw.SQLError: "SQLITE_ERROR"}


def result_code_name(error: apsw.Error) -> str:
    """The primary result code's name."""
    code = getattr(error, "result", None)
    found = apsw.mapping_result_codes.get(code) if isinstance(code, int) else None
    if found is not None:
        return str(found)
    return _NAMES.get(type(error)) or f"SQLITE_{type(error).__name__.removesuffix('Error').upper()}"


def store_failure(error: apsw.Error, step: TransactionStep, path: Path | str) -> StoreFailure:
    name = result_code_name(error)
    hint = {"SQLITE_FULL": "; free space", "SQLITE_BUSY": "; another process writes it",
            "SQLITE_READONLY": "; the file or its folder can't be written", "SQLITE_CORRUPT": "; restore a backup",
            "SQLITE_NOTADB": "; restore a backup",
            "SQLITE_CANTOPEN": "; the folder must be there and writable"}.get(name, "")
    return StoreFailure(sqlite_outcome(step, name), sqlite_cause(name), f"{path}: {name}: {error}{hint}", name)


def migrate(connection: apsw.Connection, schema: int, statements: Callable[[int], Sequence[str]], instead: str,
            owner: int = 0) -> None:
    """Brings the file up to `schema`, whole or not at all; `statements` gives what is missing from a version on.

    `owner`, if it is not 0, marks the file as one program's. Raises Trouble where a newer program, or another one, has
    written it; `instead` says what else can be named. Raises apsw.Error.
    """
    path = connection.filename
    connection.execute("BEGIN IMMEDIATE")  # two that start at once: the second finds it done
    try:
        version = int(connection.pragma("user_version"))
        found = int(connection.pragma("application_id"))
        tables = connection.execute("SELECT count(*) FROM sqlite_schema").fetchall()[0][0]
        if owner and found != owner and (found or version or tables):
            raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.UNUSABLE,
                          f"{path}: expected a store of record, got another program's database; {instead}", "FOREIGN")
        if version > schema:
            raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.UNUSABLE, f"{path}: expected schema {schema} or older, got "
                          f"{version}; start the newer program, or {instead}", "NEWER")
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
    """What a piece of work may do within its transaction."""

    __slots__ = ("connection",)

    def __init__(self, connection: apsw.Connection) -> None:
        self.connection = connection

    def execute(self, sql: str, values: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        return self.connection.execute(sql, values).fetchall()


Work = Callable[[Transaction], T]


_BOOTTIME_TO_UNIX_NS = time.time_ns() - time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class ConnectionFactory:
    """Opens connections to one file, all alike. `vfs` names one that is registered with apsw; tests break it."""

    def __init__(self, path: Path, prepare: Callable[[apsw.Connection], None] | None = None, vfs: str | None = None,
                 busy_ms: int = BUSY_TIMEOUT_MS, exclusive: bool = False) -> None:
        self.path, self.prepare, self.vfs, self.busy_ms = path, prepare, vfs, busy_ms
        self.exclusive = exclusive  # nobody else opens the file; needs no memory shared between processes

    def open(self, create: bool = True) -> apsw.Connection:
        """Raises apsw.Error or Trouble."""
        flags = apsw.SQLITE_OPEN_READWRITE | (apsw.SQLITE_OPEN_CREATE if create else 0)
        try:
            if create and self.vfs is None:
                # 0600 from its first byte: SQLite gives its side files the mode of the database
                os.close(os.open(self.path, os.O_RDWR | os.O_CREAT, 0o600))
        except OSError as error:
            raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.UNUSABLE, f"{self.path}: expected a file that can be written, got "
                          f"{error.strerror}", "SQLITE_CANTOPEN") from error
        deadline = time.monotonic() + self.busy_ms / 1000
        while True:
            try:
                return self._opened(flags)
            except apsw.BusyError:
                # hazard: while another one changes the journal's mode, SQLite does not wait by itself
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
                raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.UNUSABLE, f"{self.path}: expected a file that can be written, "
                              "got one that could be opened for reading only", "SQLITE_READONLY")
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
    """Unix time in milliseconds as of this process's start, and on by time that passed: memories of keyed requests go
    by it, and the wall clock may step."""
    return (time.clock_gettime_ns(time.CLOCK_BOOTTIME) + _BOOTTIME_TO_UNIX_NS) // 1_000_000


def set_persistent_wal(connection: apsw.Connection, keeps: bool = True) -> None:
    """Hazard: where the index beside the log could be opened for reading only, SQLite takes the log for empty and
    removes it as the last connection closes, with all that has not been copied into the file."""
    value = ctypes.c_int(keeps)
    connection.file_control("main", apsw.SQLITE_FCNTL_PERSIST_WAL, ctypes.addressof(value))


def close_and_remove_wal(connection: apsw.Connection) -> None:
    """Closes it; its log goes if it may be written, as that needs the index to be whole."""
    with contextlib.suppress(apsw.Error):
        connection.execute("BEGIN IMMEDIATE")
        connection.execute("ROLLBACK")
        set_persistent_wal(connection, False)
    connection.close(True)


class Writer(Worker[Transaction]):
    """One connection on one thread."""

    def __init__(self, opener: ConnectionFactory, most_queued: int = MAX_QUEUED_JOBS, checkpoint_pages: int = CHECKPOINT_PAGES,
                 max_wal_pages: int = MAX_WAL_PAGES, connection: apsw.Connection | None = None) -> None:
        """`connection`: one that the opener has opened already, and nobody else uses."""
        super().__init__(str(opener.path), most_queued)
        self.opener = opener
        self.checkpoint_pages = checkpoint_pages
        self.longest_log_pages = checkpoint_pages if opener.exclusive else max_wal_pages
        self.connection = connection
        if connection is not None:
            connection.set_wal_hook(self._on_wal_commit)
        self.wal_pages = 0
        self.commits = self.written = 0
        self.longest_checkpoint_s = 0.0  # the longest that the writer itself waited for copying
        self.checkpoint_requested = threading.Event()
        self.checkpoint_lock = threading.Lock()  # held by whoever of the two copies the log
        self.checkpoint_thread = threading.Thread(target=self._run_checkpoints, name="record-checkpoints", daemon=True)
        start_thread(self.checkpoint_thread)
        self.start()

    def commit(self, group: list[Job[Transaction, Any]]) -> list[Done[Transaction]]:
        done: list[Done[Transaction]] = []
        step, opened = TransactionStep.CONNECT, self.connection
        try:
            if opened is None:
                opened = self.connection = self.opener.open()
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
                        raise  # it ended the whole transaction (a full disk does)
                    opened.execute("ROLLBACK TO job")
                    done.append((job, None, store_failure(error, step, self.opener.path)))
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
            found = error if isinstance(error, StoreFailure) else store_failure(error, step, self.opener.path)
            if opened is not None:
                self._after_error(opened, found)
            return failed_group_results(group, done, found)
        except Exception as error:  # hazard: a thread that died would leave all that wait for it without a word
            if opened is not None:
                self._after_error(opened, None)
            return failed_group_results(group, [], StoreFailure(
                WriteOutcome.UNKNOWN if step is TransactionStep.COMMIT else WriteOutcome.NEVER_RAN, Cause.BROKEN,
                f"{self.opener.path}: {type(error).__name__}: {error}"))

    def _after_error(self, opened: apsw.Connection, found: StoreFailure | None) -> None:
        try:
            if opened.in_transaction:
                opened.execute("ROLLBACK")
            keep = found is not None and found.cause is Cause.TURNED_AWAY and found.outcome is WriteOutcome.NEVER_RAN
        except apsw.Error:
            keep = False
        if not keep:
            # hazard: after an error of a sync this connection's view of the log may differ from what a recovery finds
            self.connection = None
            with contextlib.suppress(apsw.Error):
                opened.close(True)

    def _on_wal_commit(self, connection: apsw.Connection, database: str, pages: int) -> int:
        self.wal_pages = pages
        return 0

    def after(self) -> None:
        if self.wal_pages >= self.checkpoint_pages and not self.opener.exclusive:
            self.checkpoint_requested.set()
        if self.wal_pages >= self.longest_log_pages and self.connection is not None:
            began = time.monotonic()
            self._restart_wal(self.connection)
            self.wal_pages = 0
            self.longest_checkpoint_s = max(self.longest_checkpoint_s, time.monotonic() - began)

    def _restart_wal(self, connection: apsw.Connection) -> None:
        """Copies all that the log holds, so that what is written next stands at its beginning.

        Hazard: while another one copies, SQLite refuses a checkpoint at once and waits for nobody. The copier of this
        process is waited for to its end, that of another process for the busy time; a reader holds it up as long at
        most, and then it is tried again after the next commit."""
        with self.checkpoint_lock:
            deadline_s = time.monotonic() + self.opener.busy_ms / 1000
            while True:
                try:
                    connection.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_RESTART)
                    return
                except apsw.BusyError:
                    if time.monotonic() >= deadline_s:
                        return
                    time.sleep(0.005)
                except apsw.Error:
                    return  # the next commit meets it, and tells it

    def _run_checkpoints(self) -> None:
        """Copies the log into the file on a connection of its own: a passive checkpoint keeps no writer waiting.

        Hazard: connections of one process share what they have opened; one that is kept would keep a log's index that
        could be opened for reading only, and no write would succeed any more."""
        while True:
            self.checkpoint_requested.wait()
            self.checkpoint_requested.clear()
            if self.ending:
                return
            # what fails leaves the log as it is; the writer's own turn comes once it is long
            with contextlib.suppress(apsw.Error, StoreFailure):
                connection = ConnectionFactory(self.opener.path, None, self.opener.vfs).open(create=False)
                try:
                    with self.checkpoint_lock:
                        connection.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_PASSIVE)
                finally:
                    connection.close(True)

    def stop(self, wait_s: float) -> None:
        """After all that was asked for. Blocks; hazard: a disk that hangs must not keep the process for ever."""
        self.end()
        self.checkpoint_requested.set()
        self.checkpoint_thread.join(wait_s)
        self.thread.join(wait_s)
        if not self.thread.is_alive() and self.connection is not None:
            connection, self.connection = self.connection, None
            with contextlib.suppress(apsw.Error):
                close_and_remove_wal(connection)


class Reader:
    """One connection for reading: a long listing keeps no write waiting."""

    def __init__(self, opener: ConnectionFactory) -> None:
        self.opener = opener
        self.lock = threading.Lock()
        self.connection: apsw.Connection | None = None

    def read(self, work: Work[T]) -> T:
        """On the caller's own thread. Raises Trouble."""
        with self.lock:
            try:
                if self.connection is None:
                    self.connection = self.opener.open(create=False)
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
                raise store_failure(error, TransactionStep.WORK, self.opener.path) from error

    def close(self) -> None:
        with self.lock:
            if self.connection is not None:
                close_and_remove_wal(self.connection)
                self.connection = None
