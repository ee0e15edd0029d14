"""The store of record in PostgreSQL, through psycopg and libpq.

Every write is one transaction at READ COMMITTED. COMMIT is sent as a separate statement: before it is sent, nothing
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
from ironscale.record.model import (
    Cause,
    Entry,
    StoreFailure,
    Verdict,
    WriteOutcome,
    WriteResult,
    result_for_existing_row,
)
from ironscale.record.sql import SCHEMA, Dialect, conflicting_rows_values, schema_migration

T = TypeVar("T")
# psycopg would print warnings to standard error; failures are logged here instead, without secrets.
logging.getLogger("psycopg").addHandler(logging.NullHandler())
SQL = Dialect("postgresql")
MAX_SLOT_TRIES = 4  # tries in one transaction to free a slot whose key has expired and write again
CONNECT_TIMEOUT_S = 2.0
MAX_STATEMENT_S = 30.0  # upper bound of statement_timeout
CANCEL_GRACE_S = 0.5  # for a cancel request of an abandoned transaction; then its connection is closed
MAX_IDLE_S = 60.0
MIGRATION_LOCK_ID = 0x69726F6E  # advisory lock: one process at a time migrates the schema
# libpq settings: keepalives detect a vanished peer on an idle connection, tcp_user_timeout unacknowledged data.
CONNECTION_DEFAULTS = {"keepalives": "1", "keepalives_idle": "10", "keepalives_interval": "5", "keepalives_count": "3",
         "tcp_user_timeout": "10000", "application_name": "ironscale"}


class SettingError(Exception):
    """An unusable connection string; the text is one line."""


@dataclass(frozen=True, slots=True)
class ConnectionOptions:
    """How to connect to the store."""

    dsn: str  # a libpq URL or key=value string, without a password
    password: str = ""
    max_connections: int = 8  # most open connections
    synchronous_commit: str = "on"
    connect_s: float = CONNECT_TIMEOUT_S


def check_dsn(dsn: str) -> dict[str, Any]:
    """Parses the connection string. Raises SettingError, whose text contains no password."""
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
    """The libpq settings: defaults, overridden by the connection string; by default only a writable host is accepted.
    Raises SettingError."""
    found = check_dsn(access.dsn)
    found.setdefault("target_session_attrs", "read-write")
    return {**CONNECTION_DEFAULTS, **found, **({"password": access.password} if access.password else {})}


class ConnectionPool:
    """A pool of connections to the writable host. A connection is opened when one is needed and none is idle, so a
    recovered store is used at the next attempt; the load balancer decides when that is."""

    def __init__(self, access: ConnectionOptions) -> None:
        self.access = access
        self.settings = libpq_settings(access)
        self.idle: list[tuple[psycopg.AsyncConnection[Any], float]] = []
        self.permits = asyncio.Semaphore(access.max_connections)
        self.opened = 0
        self.schema_checked = False  # the schema is known to be current
        self.closing: set[asyncio.Task[None]] = set()

    def redact(self, text: str) -> str:
        return text.replace(self.access.password, "***") if self.access.password else text

    async def acquire(self, timeout_s: float) -> psycopg.AsyncConnection[Any]:
        """Returns an idle connection that is still alive, or a new one. Raises psycopg.Error."""
        now = asyncio.get_running_loop().time()
        while self.idle:
            connection, since = self.idle.pop()
            # a server that shut down says so on the idle connection; a write sent on it could end with an unknown
            # outcome
            if now - since < MAX_IDLE_S and not connection.closed and not is_stale(connection):
                return connection
            await connection.close()
        self.opened += 1
        # no prepared statements: psycopg sends DEALLOCATE for them, and a pooler in between may not know them;
        # libpq takes whole seconds and applies them to each host
        per_host_s = max(1, min(int(self.access.connect_s + 0.999), int(timeout_s + 0.999)))
        return await psycopg.AsyncConnection.connect(
            **{**self.settings, "connect_timeout": per_host_s}, autocommit=True, prepare_threshold=None
        )

    def release(self, connection: psycopg.AsyncConnection[Any]) -> None:
        """Returns a connection to the pool after a clean transaction."""
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
    """Whether an idle connection is readable, which means that it was closed or the server announced a shutdown."""
    poll = select.poll()
    poll.register(connection.pgconn.socket, select.POLLIN)
    return bool(poll.poll(0))


class TransactionRun:
    """One transaction on one connection, and the step that it has reached."""

    def __init__(self) -> None:
        self.step = TransactionStep.CONNECT
        self.connection: psycopg.AsyncConnection[Any] | None = None
        self.given_up = False

    async def execute(self, sql: str, values: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
        assert self.connection is not None
        cursor = await self.connection.execute(sql, values or None)
        return await cursor.fetchall() if cursor.description is not None else []

    async def commit(self) -> None:
        """Raises StoreFailure if the server rolled back instead, or the transaction was given up."""
        assert self.connection is not None
        if self.given_up:  # the caller was already told that it never ran
            raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TIMEOUT, "the deadline passed before COMMIT", "TIMEOUT")
        self.step = TransactionStep.COMMIT
        cursor = await self.connection.execute("COMMIT")
        if cursor.statusmessage != "COMMIT":
            raise StoreFailure(
                WriteOutcome.NEVER_RAN, Cause.BROKEN, f"expected COMMIT, got {cursor.statusmessage}", "ROLLBACK"
            )
        self.step = TransactionStep.WORK


class PostgresStore:
    """`Store` on a PostgreSQL server, or on the writable one of several hosts."""

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

    # Running and cancelling transactions

    async def run(self, work: Callable[[TransactionRun], Awaitable[T]], until: float) -> T:
        """Runs `work` in a transaction. Raises StoreFailure. After the deadline the transaction is cancelled in the
        background."""
        loop = asyncio.get_running_loop()
        transaction = TransactionRun()
        task = loop.create_task(self._run_transaction(transaction, work, until))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        # avoids the warning about an exception that nobody retrieved
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        done, _ = await asyncio.wait([task], timeout=max(0.0, until - loop.time()))
        if done:
            return task.result()
        transaction.given_up = True
        ending = loop.create_task(self._cancel(transaction, task))
        self.tasks.add(ending)
        ending.add_done_callback(self.tasks.discard)
        outcome = WriteOutcome.UNKNOWN if transaction.step is TransactionStep.COMMIT else WriteOutcome.NEVER_RAN
        raise StoreFailure(outcome, Cause.UNREACHABLE if transaction.step is TransactionStep.CONNECT else Cause.TIMEOUT,
                           f"{self.name}: no answer in time to {transaction.step.value}", "TIMEOUT")

    async def _run_transaction(
        self, transaction: TransactionRun, work: Callable[[TransactionRun], Awaitable[T]], until: float
    ) -> T:
        loop = asyncio.get_running_loop()
        async with self.connections.permits:
            if transaction.given_up:
                raise StoreFailure(
                    WriteOutcome.NEVER_RAN, Cause.TIMEOUT, f"{self.name}: no connection was free in time", "TIMEOUT"
                )
            try:
                transaction.connection = connection = await self.connections.acquire(until - loop.time())
            except (psycopg.Error, OSError) as error:
                raise self._store_failure(error, transaction) from None
            is_clean = False
            try:
                transaction.step = TransactionStep.WORK
                if not self.connections.schema_checked:
                    await self._migrate(transaction)
                await self._begin(transaction, until - loop.time())
                result = await work(transaction)
                is_clean = connection.info.transaction_status is psycopg.pq.TransactionStatus.IDLE
                return result
            except (psycopg.Error, OSError) as error:
                raise self._store_failure(error, transaction) from None
            finally:
                # a late cancel request would cancel the next transaction on this connection
                if is_clean and not transaction.given_up:
                    self.connections.release(connection)
                else:
                    self.connections.discard(connection)

    async def _cancel(self, transaction: TransactionRun, task: asyncio.Task[Any]) -> None:
        """Cancels an abandoned transaction on the server, then closes the connection. The result of the cancel request
        says nothing about the outcome of the transaction."""
        connection = transaction.connection
        if connection is not None and not connection.closed:
            with contextlib.suppress(psycopg.Error, OSError, TimeoutError):
                await asyncio.wait_for(connection.cancel_safe(timeout=CANCEL_GRACE_S), CANCEL_GRACE_S)
        await asyncio.wait([task], timeout=CANCEL_GRACE_S)
        if not task.done() and connection is not None and not connection.closed:
            with contextlib.suppress(psycopg.Error, OSError), socket.socket(
                    fileno=os.dup(connection.pgconn.socket)) as end:
                end.shutdown(socket.SHUT_RDWR)  # psycopg, waiting for an answer, sees end of file
        if not task.done():
            task.cancel()
            await asyncio.wait([task], timeout=CANCEL_GRACE_S)

    def _store_failure(self, error: psycopg.Error | OSError, transaction: TransactionRun) -> StoreFailure:
        sqlstate = getattr(error, "sqlstate", None) or ""
        severity = ""
        if isinstance(error, psycopg.Error):
            severity = error.diag.severity_nonlocalized or error.diag.severity or ""
        text = self.connections.redact(str(error) or type(error).__name__)
        # a lost connection is not an answer of the server, whatever error psycopg reports
        if (transaction.step is not TransactionStep.CONNECT and transaction.connection is not None
                and transaction.connection.closed and not sqlstate):
            return StoreFailure(postgres_outcome(transaction.step, "", ""), Cause.BROKEN, f"{self.name}: {text}")
        return StoreFailure(
            postgres_outcome(transaction.step, sqlstate, severity),
            postgres_cause(transaction.step, sqlstate),
            f"{self.name}: {text}",
            sqlstate,
        )

    # The work of a transaction

    async def _begin(self, transaction: TransactionRun, left_s: float) -> None:
        """Begins with the deadline as statement_timeout. Only an integer and a validated word are put into the text."""
        ms = max(1, int(min(left_s, MAX_STATEMENT_S) * 1000))
        await transaction.execute(
            f"BEGIN ISOLATION LEVEL READ COMMITTED READ WRITE; SET LOCAL statement_timeout = {ms}; "
            f"SET LOCAL synchronous_commit = {self.access.synchronous_commit}"
        )

    async def _write(self, transaction: TransactionRun, entry: Entry) -> WriteResult:
        values = (entry.attempt, entry.request, entry.kind, entry.tenant, entry.key, entry.effect, entry.target,
                  entry.body, entry.fingerprint, entry.answer, entry.memory_ms, entry.memory_ms, entry.slot)
        for _ in range(MAX_SLOT_TRIES):
            if await transaction.execute(SQL.write, values):
                await transaction.commit()
                return WriteResult(Verdict.WRITTEN, entry.answer)
            found = await transaction.execute(SQL.conflicting_rows, conflicting_rows_values(entry))
            live_rows = [
                (attempt, state, text, answer) for attempt, state, text, answer, expired in found if not expired
            ]
            if live_rows:
                await transaction.execute("ROLLBACK")
                attempt, state, text, answer = live_rows[0]
                return result_for_existing_row(entry, state, attempt, text, bytes(answer))
            await transaction.execute(SQL.free_slot, (entry.slot,))
        await transaction.execute("ROLLBACK")
        raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY, "its slot was taken again each time it was freed")

    async def _ask(self, transaction: TransactionRun, attempt: str) -> bytes | None:
        if await transaction.execute(SQL.void, (attempt,)):
            await transaction.commit()  # the attempt is fenced only once the marker is committed
            return None
        found = await transaction.execute(SQL.by_attempt, (attempt,))
        await transaction.execute("ROLLBACK")
        if not found:  # the conflicting void marker was rolled back or pruned in between
            raise StoreFailure(WriteOutcome.UNKNOWN, Cause.RETRY, f"{self.name}: the conflicting row has gone")
        (state, answer), = found
        return bytes(answer) if state == "written" else None

    async def _migrate(self, transaction: TransactionRun) -> None:
        await transaction.execute("BEGIN")
        steps = schema_migration(self.name, "record_schema", MIGRATION_LOCK_ID, SCHEMA, SQL.migrations)
        try:
            statement = next(steps)
            while True:
                statement = steps.send(await transaction.execute(*statement))
        except StopIteration as done:
            if done.value:
                await transaction.commit()
            else:
                await transaction.execute("ROLLBACK")
        except StoreFailure:
            await transaction.execute("ROLLBACK")
            raise
        self.connections.schema_checked = True
