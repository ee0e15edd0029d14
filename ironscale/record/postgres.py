"""The store of record in PostgreSQL, through psycopg and libpq.

Every write is one transaction at READ COMMITTED, with its COMMIT sent by itself: until it leaves this machine, nothing
can be committed. docs/design/004-record.md argues why the fence holds at this level.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import select
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import psycopg
from psycopg import conninfo

from ironscale.record.errors import TransactionStep, postgres_cause, postgres_outcome
from ironscale.record.model import Cause, Entry, WriteOutcome, StoreFailure, Verdict, WriteResult, result_for_existing_row
from ironscale.record.sql import SCHEMA, Dialect, schema_migration

T = TypeVar("T")
# What it would warn of on standard error is told in our own lines, without secrets.
logging.getLogger("psycopg").addHandler(logging.NullHandler())
SQL = Dialect("postgresql")
MAX_SLOT_TRIES = 4  # a slot whose memory ran out is freed and the write tried anew so often in one transaction
CONNECT_TIMEOUT_S = 2.0
MAX_STATEMENT_S = 30.0  # the longest that a statement may take where nobody's time is shorter
CANCEL_GRACE_S = 0.5  # given up on, a connection has so long to take its cancel request; then it is closed
MAX_IDLE_S = 60.0
MIGRATION_LOCK_ID = 0x69726F6E  # advisory: one sidecar at a time brings the schema up
# Of libpq's: a peer that vanished is noticed though nothing is sent, and bytes that nobody confirms end the connection.
CONNECTION_DEFAULTS = {"keepalives": "1", "keepalives_idle": "10", "keepalives_interval": "5", "keepalives_count": "3",
         "tcp_user_timeout": "10000", "application_name": "ironscale"}


class SettingError(Exception):
    """A connection string that cannot be used; the text is one line."""


@dataclass(frozen=True, slots=True)
class ConnectionOptions:
    """How the store is reached."""

    dsn: str  # a URL or key=value pairs as libpq reads them; without a password
    password: str = ""
    max_connections: int = 8  # open connections
    synchronous_commit: str = "on"
    connect_s: float = CONNECT_TIMEOUT_S


def check_dsn(dsn: str) -> dict[str, Any]:
    """The connection string's settings. Raises SettingError; the text holds nothing of a password."""
    try:
        found = conninfo.conninfo_to_dict(dsn)
    except psycopg.Error as error:
        raise SettingError("a PostgreSQL connection string, got one that libpq can't read: "
                           + " ".join(str(error).replace(dsn, "...").split())) from None
    if found.get("password") or found.get("sslpassword"):
        raise SettingError("a PostgreSQL connection string without a password (that goes into password_file), got one "
                           "with")
    return found


def libpq_settings(access: ConnectionOptions) -> dict[str, Any]:
    """What libpq is given: the operator's word before ours; a host that takes writes. Raises SettingError."""
    found = check_dsn(access.dsn)
    found.setdefault("target_session_attrs", "read-write")
    return {**CONNECTION_DEFAULTS, **found, **({"password": access.password} if access.password else {})}


class ConnectionPool:
    """Connections to the one host of several that takes writes. Opened when they are needed and none is idle, so a
    store that is back is used at the next try; whose turn that is, the decision module says."""

    def __init__(self, access: ConnectionOptions) -> None:
        self.access = access
        self.settings = libpq_settings(access)
        self.idle: list[tuple[psycopg.AsyncConnection[Any], float]] = []
        self.permits = asyncio.Semaphore(access.max_connections)
        self.opened = 0
        self.schema_checked = False  # the schema has been seen to be ours
        self.closing: set[asyncio.Task[None]] = set()

    def redact(self, text: str) -> str:
        return text.replace(self.access.password, "***") if self.access.password else text

    async def acquire(self, timeout_s: float) -> psycopg.AsyncConnection[Any]:
        """An idle one that is still alive, or a new one. Raises psycopg.Error."""
        now = asyncio.get_running_loop().time()
        while self.idle:
            connection, since = self.idle.pop()
            # hazard: a server that ended tells so on the idle connection; a write sent to it may end as not known
            if now - since < MAX_IDLE_S and not connection.closed and not is_stale(connection):
                return connection
            await connection.close()
        self.opened += 1
        # hazard: with prepared statements psycopg sends DEALLOCATE by itself, and a pooler in between may not know them
        # libpq counts in whole seconds, and for each host anew
        each = max(1, min(int(self.access.connect_s + 0.999), int(timeout_s + 0.999)))
        return await psycopg.AsyncConnection.connect(**{**self.settings, "connect_timeout": each}, autocommit=True,
                                                      prepare_threshold=None)

    def release(self, connection: psycopg.AsyncConnection[Any]) -> None:
        """Back, after a transaction that ended well."""
        self.idle.append((connection, asyncio.get_running_loop().time()))

    def discard(self, connection: psycopg.AsyncConnection[Any]) -> None:
        task = asyncio.get_running_loop().create_task(connection.close())
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)

    async def close(self) -> None:
        idle, self.idle = self.idle, []
        for connection, _ in idle:
            await connection.close()
        if self.closing:
            await asyncio.wait(self.closing, timeout=2 * CANCEL_GRACE_S)


def is_stale(connection: psycopg.AsyncConnection[Any] | psycopg.Connection[Any]) -> bool:
    """Whether something came that nobody asked for: an end, or the word that the server is ending."""
    poll = select.poll()
    poll.register(connection.pgconn.socket, select.POLLIN)
    return bool(poll.poll(0))


class TransactionRun:
    """One transaction on one connection, and how far it has come."""

    def __init__(self) -> None:
        self.step = TransactionStep.CONNECT
        self.connection: psycopg.AsyncConnection[Any] | None = None
        self.given_up = False

    async def execute(self, sql: str, values: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
        assert self.connection is not None
        cursor = await self.connection.execute(sql, values or None)
        return await cursor.fetchall() if cursor.description is not None else []

    async def commit(self) -> None:
        """Raises Trouble where the server has rolled back in place of it."""
        assert self.connection is not None
        if self.given_up:  # hazard: who asked has been told that it never ran
            raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TIMEOUT, "its time was up before COMMIT", "TIMEOUT")
        self.step = TransactionStep.COMMIT
        cursor = await self.connection.execute("COMMIT")
        if cursor.statusmessage != "COMMIT":
            raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.BROKEN, f"expected COMMIT, got {cursor.statusmessage}", "ROLLBACK")
        self.step = TransactionStep.WORK


class PostgresStore:
    """`Store` on a PostgreSQL server, or on the one of several that takes writes."""

    def __init__(self, access: ConnectionOptions) -> None:
        self.access = access
        self.connections = ConnectionPool(access)
        self.tasks: set[asyncio.Task[Any]] = set()
        settings = self.connections.settings
        self.name = f"postgresql {settings.get('host', 'localhost')}:{settings.get('port', 5432)}"

    async def write(self, entry: Entry, until: float) -> WriteResult:
        return await self.run(lambda turn: self._write(turn, entry), until)

    async def ask(self, attempt: str, until: float) -> bytes | None:
        return await self.run(lambda turn: self._ask(turn, attempt), until)

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=2 * CANCEL_GRACE_S)
        await self.connections.close()

    # A transaction and its end

    async def run(self, work: Callable[[TransactionRun], Awaitable[T]], until: float) -> T:
        """`work` within a transaction. Raises Trouble. What is given up on ends in the background."""
        loop = asyncio.get_running_loop()
        turn = TransactionRun()
        task = loop.create_task(self._run_transaction(turn, work, until))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(lambda done: done.cancelled() or done.exception())  # it may be told to nobody
        done, _ = await asyncio.wait([task], timeout=max(0.0, until - loop.time()))
        if done:
            return task.result()
        turn.given_up = True
        ending = loop.create_task(self._cancel(turn, task))
        self.tasks.add(ending)
        ending.add_done_callback(self.tasks.discard)
        known = WriteOutcome.UNKNOWN if turn.step is TransactionStep.COMMIT else WriteOutcome.NEVER_RAN
        raise StoreFailure(known, Cause.UNREACHABLE if turn.step is TransactionStep.CONNECT else Cause.TIMEOUT,
                      f"{self.name}: no answer in time to {turn.step.value}", "TIMEOUT")

    async def _run_transaction(self, turn: TransactionRun, work: Callable[[TransactionRun], Awaitable[T]], until: float) -> T:
        loop = asyncio.get_running_loop()
        async with self.connections.permits:
            if turn.given_up:
                raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TIMEOUT, f"{self.name}: no connection was free in time",
                              "TIMEOUT")
            try:
                turn.connection = connection = await self.connections.acquire(until - loop.time())
            except (psycopg.Error, OSError) as error:
                raise self._store_failure(error, turn) from None
            whole = False
            try:
                turn.step = TransactionStep.WORK
                if not self.connections.schema_checked:
                    await self._migrate(turn)
                await self._begin(turn, until - loop.time())
                result = await work(turn)
                whole = connection.info.transaction_status is psycopg.pq.TransactionStatus.IDLE
                return result
            except (psycopg.Error, OSError) as error:
                raise self._store_failure(error, turn) from None
            finally:
                # hazard: a cancel request that comes late would strike the next transaction
                if whole and not turn.given_up:
                    self.connections.release(connection)
                else:
                    self.connections.discard(connection)

    async def _cancel(self, turn: TransactionRun, task: asyncio.Task[Any]) -> None:
        """Nobody waits any more: the server is asked to cancel, then the connection is closed. Whatever the cancel does
        is not taken for an outcome."""
        connection = turn.connection
        if connection is not None and not connection.closed:
            with contextlib.suppress(psycopg.Error, OSError, TimeoutError):
                await asyncio.wait_for(connection.cancel_safe(timeout=CANCEL_GRACE_S), CANCEL_GRACE_S)
        await asyncio.wait([task], timeout=CANCEL_GRACE_S)
        if not task.done() and connection is not None and not connection.closed:
            with contextlib.suppress(psycopg.Error, OSError), socket.socket(
                    fileno=os.dup(connection.pgconn.socket)) as end:
                end.shutdown(socket.SHUT_RDWR)  # psycopg, which waits for an answer, sees its end
        if not task.done():
            task.cancel()
            await asyncio.wait([task], timeout=CANCEL_GRACE_S)

    def _store_failure(self, error: psycopg.Error | OSError, turn: TransactionRun) -> StoreFailure:
        sqlstate = getattr(error, "sqlstate", None) or ""
        severity = ""
        if isinstance(error, psycopg.Error):
            severity = error.diag.severity_nonlocalized or error.diag.severity or ""
        text = self.connections.redact(str(error) or type(error).__name__)
        # one that was lost is no answer, whatever the client library makes of it
        if turn.step is not TransactionStep.CONNECT and turn.connection is not None and turn.connection.closed and not sqlstate:
            return StoreFailure(postgres_outcome(turn.step, "", ""), Cause.BROKEN, f"{self.name}: {text}")
        return StoreFailure(postgres_outcome(turn.step, sqlstate, severity), postgres_cause(turn.step, sqlstate), f"{self.name}: {text}",
                       sqlstate)

    # What is done within

    async def _begin(self, turn: TransactionRun, left_s: float) -> None:
        """The deadline goes down as the statements' own time; whole numbers and a checked word, no text of others."""
        ms = max(1, int(min(left_s, MAX_STATEMENT_S) * 1000))
        await turn.execute(f"BEGIN ISOLATION LEVEL READ COMMITTED READ WRITE; SET LOCAL statement_timeout = {ms}; "
                           f"SET LOCAL synchronous_commit = {self.access.synchronous_commit}")

    async def _write(self, turn: TransactionRun, entry: Entry) -> WriteResult:
        values = (entry.attempt, entry.request, entry.kind, entry.tenant, entry.key, entry.effect, entry.target,
                  entry.body, entry.fingerprint, entry.answer, entry.memory_ms, entry.memory_ms, entry.slot)
        for _ in range(MAX_SLOT_TRIES):
            if await turn.execute(SQL.write, values):
                await turn.commit()
                return WriteResult(Verdict.WRITTEN, entry.answer)
            found = await turn.execute(SQL.conflicting_rows, (entry.attempt, entry.slot))
            standing = [(attempt, state, text, answer) for attempt, state, text, answer, over in found if not over]
            if standing:
                await turn.execute("ROLLBACK")
                attempt, state, text, answer = standing[0]
                return result_for_existing_row(entry, state, attempt, text, bytes(answer))
            await turn.execute(SQL.free_slot, (entry.slot,))
        await turn.execute("ROLLBACK")
        raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY, "its slot was taken again each time that it was freed")

    async def _ask(self, turn: TransactionRun, attempt: str) -> bytes | None:
        if await turn.execute(SQL.void, (attempt,)):
            await turn.commit()  # only once it is committed, the attempt can't be any more
            return None
        found = await turn.execute(SQL.by_attempt, (attempt,))
        await turn.execute("ROLLBACK")
        if not found:  # the mark of another question was rolled back, or pruned, in between
            raise StoreFailure(WriteOutcome.UNKNOWN, Cause.RETRY, f"{self.name}: what stood in the way has gone")
        (state, answer), = found
        return bytes(answer) if state == "written" else None

    async def _migrate(self, turn: TransactionRun) -> None:
        await turn.execute("BEGIN")
        steps = schema_migration(self.name, "record_schema", MIGRATION_LOCK_ID, SCHEMA, SQL.migrations)
        try:
            asked = next(steps)
            while True:
                asked = steps.send(await turn.execute(*asked))
        except StopIteration as done:
            if done.value:
                await turn.commit()
            else:
                await turn.execute("ROLLBACK")
        except StoreFailure:
            await turn.execute("ROLLBACK")
            raise
        self.connections.schema_checked = True
