"""The agent's store in PostgreSQL, owned by one agent at a time.

The row in `agent_owner` names the owner. An agent claims the store by incrementing `epoch`, which acts as a fencing
token. Each of its transactions begins by writing its sequence number to this row under that epoch, and so holds the
row's lock until it ends. This has two effects. A former owner that still runs, or a delayed transaction of this agent,
finds another epoch and changes nothing. And after a connection broke during COMMIT, the next claim waits for the row
lock of the transaction in progress; `sequence` then tells whether that transaction was committed.
"""

from __future__ import annotations

import contextlib
import os
import secrets
import socket
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import psycopg

from ironscale.agent.commit_tracking import SequencedStore
from ironscale.agent.sql import SCHEMA_VERSION, SqlRecords, migrations
from ironscale.agent.store import Records, StoreError
from ironscale.agent.terms import Owner, Term, clock_ms
from ironscale.record.errors import TransactionStep, postgres_cause, postgres_outcome
from ironscale.record.model import Cause, StoreFailure, WriteOutcome
from ironscale.record.postgres import ConnectionOptions, is_stale, libpq_settings
from ironscale.record.sql import NOW_MS, schema_migration
from ironscale.record.worker import Job, JobResult, Worker, failed_group_results
from ironscale.threads import start_thread

NOW_MS_SQL = NOW_MS["postgresql"]
LEASE_MS = 10_000  # after this long without a write of the owner, another agent may claim the store
TRANSACTION_TIMEOUT_S = 5.0  # for a transaction, from BEGIN to the answer to COMMIT
CONNECT_TIMEOUT_S = 2.0
MIGRATION_LOCK_KEY = 0x69726F61  # key of the advisory lock that lets one agent at a time upgrade the schema
# Added to the fence counter after lost commits: instances may have seen fences that would otherwise be issued again.
FENCE_GAP = 1_000_000


class GroupTransaction:
    """The transaction of a group commit, as passed to its jobs."""

    __slots__ = ("began_ms", "connection", "number")

    def __init__(self, connection: psycopg.Connection[Any], number: int) -> None:
        self.connection, self.number = connection, number
        self.began_ms = clock_ms()

    def execute(self, sql: str, values: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        cursor = self.connection.execute(sql, values or None)
        return cursor.fetchall() if cursor.description is not None else []


class _TransactionWatchdog:
    """A thread that shuts down a connection when a transaction exceeds its time limit. TCP keepalive doesn't detect
    this: a server process that hangs keeps its connection alive."""

    def __init__(self) -> None:
        self.wake = threading.Condition()
        self.current: tuple[socket.socket, float] | None = None
        self.ending = False
        self.timeouts = 0
        self.thread = threading.Thread(target=self._run, name="record-watch", daemon=True)
        start_thread(self.thread)

    @contextlib.contextmanager
    def time_limit(self, connection: psycopg.Connection[Any], limit_s: float) -> Iterator[None]:
        with socket.socket(fileno=os.dup(connection.pgconn.socket)) as end:
            with self.wake:
                self.current = end, time.monotonic() + limit_s
                self.wake.notify()
            try:
                yield
            finally:
                with self.wake:
                    self.current = None

    def _run(self) -> None:
        with self.wake:
            while not self.ending:
                if self.current is None:
                    self.wake.wait()
                    continue
                end, until = self.current
                left = until - time.monotonic()
                if left > 0:
                    self.wake.wait(left)
                    continue
                self.current = None
                self.timeouts += 1
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        with self.wake:
            self.ending = True
            self.wake.notify()


class OwnerWorker(Worker[GroupTransaction]):
    """Runs transactions on one connection in one thread, and holds the claim on the store."""

    def __init__(
        self,
        access: ConnectionOptions,
        holder: str,
        place: str,
        transaction_timeout_s: float = TRANSACTION_TIMEOUT_S,
        lease_ms: int = LEASE_MS,
    ) -> None:
        """`holder`: identifies the claimant, and is the same for the next process on the same data folder. `place`:
        where the agent runs, for error messages."""
        self.settings = libpq_settings(access)
        super().__init__(f"postgresql {self.settings.get('host', 'localhost')}:{self.settings.get('port', 5432)}")
        self.access, self.holder, self.place = access, holder, place
        self.transaction_timeout_s, self.lease_ms = transaction_timeout_s, lease_ms
        self.connection: psycopg.Connection[Any] | None = None
        self.epoch = 0  # of this agent's claim; 0: no claim yet
        self.last_number = 0  # sequence number of the last transaction that wrote, whatever its outcome
        self.last_confirmed = 0  # sequence number of the last transaction whose commit was confirmed
        self.commits = self.claims = 0
        self.ownership_loss: StoreFailure | None = None  # why this agent doesn't own the store any more; never reset
        self.on_lost: Callable[[StoreFailure], None] = lambda found: None  # called on the worker's thread
        self.needs_reconnect = False  # the connection has to be opened again, with a claim
        self.is_read_only = False  # reads what another agent writes, and doesn't claim the store
        self.until_ms = 0.0  # end of the lease on this machine's clock, counted from before it was requested
        self.watchdog = _TransactionWatchdog()

    # Group commit

    def commit(self, group: list[Job[GroupTransaction, Any]]) -> list[JobResult[GroupTransaction]]:
        done: list[JobResult[GroupTransaction]] = []
        step = TransactionStep.CONNECT
        try:
            # A server that shut down has closed the idle connection. A transaction sent on it could end with an
            # unknown outcome, so a stale connection is replaced before it is used.
            if self.connection is not None and (self.needs_reconnect or is_stale(self.connection)):
                self._close_connection()
            self.needs_reconnect = False
            connection = self.connection or self._open()
            step = TransactionStep.WORK
            with self.watchdog.time_limit(connection, self.transaction_timeout_s):
                writes = any(job.writes for job in group)
                connection.execute("BEGIN ISOLATION LEVEL READ COMMITTED")
                held = GroupTransaction(connection, 0)
                held.number = self._lock_owner_row(connection) if writes else 0
                for job in group:
                    self._run_job(held, job, done, len(group) > 1)
                if all(problem is not None for _, _, problem in done):
                    connection.execute("ROLLBACK")
                    return done
                step = TransactionStep.COMMIT
                answer = connection.execute("COMMIT").statusmessage
                if answer != "COMMIT":
                    raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.BROKEN,
                                       f"{self.name}: expected COMMIT, got {answer}",
                                       "ROLLBACK")
            if writes:
                self.commits += 1
                self.last_confirmed = held.number
                self.until_ms = held.began_ms + self.lease_ms
            return done
        except (psycopg.Error, OSError, StoreFailure) as error:
            found = error if isinstance(error, StoreFailure) else self._trouble(error, step)
        except Exception as error:  # callers would wait forever if the thread died
            found = StoreFailure(WriteOutcome.UNKNOWN if step is TransactionStep.COMMIT else WriteOutcome.NEVER_RAN,
                                 Cause.BROKEN,
                                 f"{self.name}: {type(error).__name__}: {error}")
        self._close_connection()
        return failed_group_results(group, done, found)

    def _run_job(self, held: GroupTransaction, job: Job[GroupTransaction, Any], done: list[JobResult[GroupTransaction]],
                 several: bool) -> None:
        """Runs one job and rolls back its changes if it fails. Raises errors that end the whole transaction."""
        connection = held.connection
        if several:
            connection.execute("SAVEPOINT job")
        try:
            done.append((job, job.work(held), None))
        except (psycopg.Error, OSError) as error:
            found = self._trouble(error, TransactionStep.WORK)
            if connection.closed:
                raise found from error
            done.append((job, None, found))
        except Exception as error:
            done.append((job, None, error))
        if several:
            if done[-1][2] is not None:
                connection.execute("ROLLBACK TO SAVEPOINT job")
            connection.execute("RELEASE SAVEPOINT job")

    def _lock_owner_row(self, connection: psycopg.Connection[Any]) -> int:
        """Assigns the transaction's sequence number under this agent's claim. This locks the owner's row until the
        transaction ends."""
        if self.is_read_only:
            raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY, f"{self.name}: this agent does not lead",
                               "LOCKED")
        self.last_number += 1
        rows = connection.execute(
            f"UPDATE agent_owner SET sequence = %s, until_ms = {NOW_MS_SQL} + %s WHERE one = %s AND epoch = %s"
            " RETURNING sequence", (self.last_number, self.lease_ms, 1, self.epoch)).fetchall()
        if not rows:
            # The epoch has changed: either a claim of this agent went unnoticed, another agent owns the store, or the
            # store has lost writes. The next claim finds out which.
            raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY,
                               f"{self.name}: the claim has to be renewed",
                               "CLAIM")
        return self.last_number

    def _trouble(self, error: psycopg.Error | OSError, step: TransactionStep) -> StoreFailure:
        sqlstate = getattr(error, "sqlstate", None) or ""
        severity = ""
        if isinstance(error, psycopg.Error):
            severity = error.diag.severity_nonlocalized or error.diag.severity or ""
        text = " ".join((str(error) or type(error).__name__).split())
        if self.access.password:
            text = text.replace(self.access.password, "***")
        return StoreFailure(postgres_outcome(step, sqlstate, severity), postgres_cause(step, sqlstate),
                            f"{self.name}: {text}", sqlstate)

    def _close_connection(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            with contextlib.suppress(psycopg.Error, OSError):
                connection.close()

    # Connection and claim

    def _open(self) -> psycopg.Connection[Any]:
        """Raises psycopg.Error, OSError or StoreFailure."""
        if self.ownership_loss is not None:
            raise self.ownership_loss
        connection = psycopg.Connection.connect(**{**self.settings, "connect_timeout": int(CONNECT_TIMEOUT_S)},
                                                autocommit=True, prepare_threshold=None)
        try:
            with self.watchdog.time_limit(connection, self.transaction_timeout_s):
                # The server also limits statements, so that a transaction which this agent has abandoned releases the
                # owner's row. An agent process that is stopped within a transaction would otherwise keep the next
                # agent from the row past the end of the lease; hence the limit for idle transactions.
                idle_ms = min(int(2 * self.transaction_timeout_s * 1000), self.lease_ms)
                connection.execute(f"SET statement_timeout = {int(self.transaction_timeout_s * 1000)}")
                connection.execute(f"SET idle_in_transaction_session_timeout = {idle_ms}")
                connection.execute(f"SET synchronous_commit = {self.access.synchronous_commit}")
                if self.epoch == 0:
                    self._migrate(connection)
                if not self.is_read_only:
                    self._claim(connection)
        except BaseException:
            with contextlib.suppress(psycopg.Error, OSError):
                connection.close()
            raise
        self.connection = connection
        return connection

    def _migrate(self, connection: psycopg.Connection[Any]) -> None:
        connection.execute("BEGIN")
        held, steps = GroupTransaction(connection, 0), schema_migration(self.name, "agent_schema", MIGRATION_LOCK_KEY,
                                                                SCHEMA_VERSION, migrations)
        try:
            asked = next(steps)
            while True:
                asked = steps.send(held.execute(*asked))
        except StopIteration as done:
            answer = connection.execute("COMMIT" if done.value else "ROLLBACK").statusmessage
            if done.value and answer != "COMMIT":
                raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.BROKEN, f"{self.name}: expected COMMIT, got {answer}",
                                   "ROLLBACK") from None

    def _claim(self, connection: psycopg.Connection[Any]) -> None:
        """Claims the store, or renews the claim. Waits for earlier transactions of this agent that are in progress."""
        began_ms = clock_ms()
        (epoch, sequence, holder, place, left_ms), = connection.execute(
            f"SELECT epoch, sequence, holder, place, until_ms - {NOW_MS_SQL} FROM agent_owner WHERE one = %s",
            (1,)).fetchall()
        if self.epoch == 0 and holder != self.holder and left_ms > 0:
            raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY,
                               f"{self.name}: the agent of {place} owns this store, "
                               f"for at least {left_ms / 1000:.1f} s more; stop that agent, or name another database",
                               "LOCKED")
        if epoch < self.epoch or sequence < self.last_confirmed:
            self._abandon_after_data_loss(connection, epoch, sequence)
        if self.epoch and holder != self.holder:
            self._lose_ownership("TAKEN", f"{self.name}: the agent of {place} has taken over this store")
        rows = connection.execute(
            f"UPDATE agent_owner SET epoch = epoch + 1, holder = %s, place = %s, until_ms = {NOW_MS_SQL} + %s"
            " WHERE one = %s AND epoch = %s RETURNING epoch, sequence",
            (self.holder, self.place, self.lease_ms, 1, epoch)).fetchall()
        if not rows:
            raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY,
                               f"{self.name}: another agent is claiming this store "
                               "at the same moment", "LOCKED" if self.epoch == 0 else "CLAIM")
        self.epoch, self.last_confirmed = rows[0]
        self.last_number = max(self.last_number, self.last_confirmed)
        self.until_ms = began_ms + self.lease_ms
        self.claims += 1

    def _abandon_after_data_loss(self, connection: psycopg.Connection[Any], epoch: int, sequence: int) -> None:
        """Handles a database server that took over without all confirmed commits. Changes that operators and instances
        were told about are lost, so this agent can't continue from its memory; the next agent starts from what the
        server has, with fences above all that were issued."""
        connection.execute("BEGIN")
        connection.execute(f"UPDATE agent_owner SET epoch = %s, sequence = %s, holder = %s, place = %s,"
                           f" until_ms = {NOW_MS_SQL} WHERE one = %s",
                           (max(epoch, self.epoch) + 1, max(sequence, self.last_number), self.holder, self.place, 1))
        connection.execute("UPDATE agent_counters SET value = value + %s WHERE name = %s", (FENCE_GAP, "fence"))
        # Published versions may be lost and their numbers issued again. With a new lineage, followers don't compare
        # positions of the old log with those of the new one.
        connection.execute("UPDATE agent_version_log SET lineage = %s WHERE one = %s", (secrets.token_hex(8), 1))
        connection.execute("COMMIT")
        self._lose_ownership("LESS", f"{self.name}: expected {self.last_confirmed} writes, as it had confirmed, got "
                             f"{sequence}: a server took over that had not received all of them; check "
                             "`ironscale ops`, then start the agent again")

    def _lose_ownership(self, code: str, text: str) -> None:
        self.ownership_loss = StoreFailure(WriteOutcome.NEVER_RAN, Cause.UNUSABLE, text, code)
        self.on_lost(self.ownership_loss)
        raise self.ownership_loss

    def stop(self, wait_s: float) -> None:
        """Finishes the queued jobs, then ends the lease, so that the next agent need not wait for it to expire."""
        self.end()
        if self.thread.is_alive():
            self.thread.join(wait_s)
        connection = self.connection
        if not self.thread.is_alive() and connection is not None and self.epoch:
            with (contextlib.suppress(psycopg.Error, OSError),
                  self.watchdog.time_limit(connection, min(wait_s, self.transaction_timeout_s))):
                connection.execute("UPDATE agent_owner SET until_ms = 0 WHERE one = %s AND epoch = %s", (1, self.epoch))
            self._close_connection()
        self.watchdog.stop()


class PostgresStore(SequencedStore[GroupTransaction]):
    """The store in PostgreSQL under one agent's claim."""

    # A write made to resolve an outcome would get a number above the unresolved write's. If its connection broke too,
    # it could be mistaken for that write.
    resolve_needs_write = False

    def __init__(self, holder: OwnerWorker) -> None:
        self.owner_worker = holder
        super().__init__(holder, "postgresql")
        holder.start()

    @property
    def term(self) -> Term:
        return Term(self.owner_worker.epoch, self.owner_worker.until_ms, self.owner_worker.lease_ms)

    @term.setter
    def term(self, term: Term) -> None:
        pass  # the term follows from the claim of `holder`

    async def owner(self) -> Owner:
        def work(records: Records) -> Owner:
            assert isinstance(records, SqlRecords)
            (epoch, holder, place, left_ms), = records.transaction.execute(
                f"SELECT epoch, holder, place, until_ms - {NOW_MS_SQL} FROM agent_owner WHERE one = %s", (1,))
            return Owner(epoch, holder, place, max(0, left_ms))

        return await self.read(work)

    async def claim(self) -> None:
        if self.owner_worker.epoch:
            return
        # the next connection begins with the claim
        self.owner_worker.is_read_only, self.owner_worker.needs_reconnect = False, True
        try:
            await self.read(lambda records: records.last_event())
        except StoreError:
            self.owner_worker.is_read_only = True
            raise

    def assign_sequence_number(self, records: SqlRecords) -> int:
        held = records.transaction
        assert isinstance(held, GroupTransaction)
        return held.number

    def last_sequence_number(self, records: SqlRecords) -> int:
        """The number found by the claim that opened this connection: the claim waited for earlier transactions that
        were in progress, and its new epoch rejects later ones."""
        return self.owner_worker.last_confirmed
