"""The record in PostgreSQL, for one agent at a time.

The row `agent_owner` says whose it is. An agent claims the record by raising `epoch`; each of its transactions begins
by writing its number there, under that epoch, and so holds the row until its end. Two things follow. A former agent
that still runs, or a commit of ours that still lies somewhere on its way, finds another epoch and changes nothing. And
after a connection that broke off at COMMIT, the next claim waits for what is still under way, and `sequence` then says
whether that commit stands.
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

from ironscale.agent.commit_tracking import KeptStore
from ironscale.agent.sql import SCHEMA, SqlRecords, migrations
from ironscale.agent.store import Records, StoreError
from ironscale.agent.terms import Owner, Term, clock_ms
from ironscale.record.errors import TransactionStep, postgres_cause, postgres_outcome
from ironscale.record.model import Cause, StoreFailure, WriteOutcome
from ironscale.record.postgres import ConnectionOptions, is_stale, libpq_settings
from ironscale.record.sql import NOW_MS, schema_migration
from ironscale.record.worker import Job, JobResult, Worker, failed_group_results
from ironscale.threads import start_thread

NOW = NOW_MS["postgresql"]
LEASE_MS = 10_000  # a holder that was not heard for so long may be followed by another
LIMIT_S = 5.0  # a transaction, from BEGIN to the answer of COMMIT
CONNECT_S = 2.0
LOCK = 0x69726F61  # advisory: one agent at a time brings the schema up
FENCES_APART = 1_000_000  # instances may have seen fences that a record which lost commits would give again


class Held:
    """A transaction of the group, as the work sees it."""

    __slots__ = ("began_ms", "connection", "number")

    def __init__(self, connection: psycopg.Connection[Any], number: int) -> None:
        self.connection, self.number = connection, number
        self.began_ms = clock_ms()

    def execute(self, sql: str, values: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        cursor = self.connection.execute(sql, values or None)
        return cursor.fetchall() if cursor.description is not None else []


class _Watch:
    """Ends a connection that takes too long: a server that hangs keeps its TCP connection alive."""

    def __init__(self) -> None:
        self.wake = threading.Condition()
        self.watched: tuple[socket.socket, float] | None = None
        self.ending = False
        self.cuts = 0
        self.thread = threading.Thread(target=self._run, name="record-watch", daemon=True)
        start_thread(self.thread)

    @contextlib.contextmanager
    def over(self, connection: psycopg.Connection[Any], limit_s: float) -> Iterator[None]:
        with socket.socket(fileno=os.dup(connection.pgconn.socket)) as end:
            with self.wake:
                self.watched = end, time.monotonic() + limit_s
                self.wake.notify()
            try:
                yield
            finally:
                with self.wake:
                    self.watched = None

    def _run(self) -> None:
        with self.wake:
            while not self.ending:
                if self.watched is None:
                    self.wake.wait()
                    continue
                end, until = self.watched
                left = until - time.monotonic()
                if left > 0:
                    self.wake.wait(left)
                    continue
                self.watched = None
                self.cuts += 1
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        with self.wake:
            self.ending = True
            self.wake.notify()


class Holder(Worker[Held]):
    """One connection on one thread, and the claim on the record."""

    def __init__(self, access: ConnectionOptions, holder: str, place: str, limit_s: float = LIMIT_S,
                 lease_ms: int = LEASE_MS) -> None:
        """`holder`: who claims, the same for the next process on the same data folder; `place`: where, for people."""
        self.settings = libpq_settings(access)
        super().__init__(f"postgresql {self.settings.get('host', 'localhost')}:{self.settings.get('port', 5432)}")
        self.access, self.holder, self.place = access, holder, place
        self.limit_s, self.lease_ms = limit_s, lease_ms
        self.connection: psycopg.Connection[Any] | None = None
        self.epoch = 0  # of our claim; 0 = none yet
        self.number = 0  # of the last transaction that wrote, whatever became of it
        self.confirmed = 0  # of the last that was confirmed
        self.commits = self.claims = 0
        self.lost: StoreFailure | None = None  # the record is no longer ours: for good
        self.on_lost: Callable[[StoreFailure], None] = lambda found: None  # on the thread
        self.reopens = False  # the connection is due to be made anew, with a claim
        self.follows = False  # reads what another agent writes, and claims nothing
        self.until_ms = 0.0  # of the lease, on this machine's own clock and as of before it was asked for
        self.watch = _Watch()

    # A group

    def commit(self, group: list[Job[Held, Any]]) -> list[JobResult[Held]]:
        done: list[JobResult[Held]] = []
        step = TransactionStep.CONNECT
        try:
            # hazard: a server that ended tells so on the idle connection; what is sent there may end as not known
            if self.connection is not None and (self.reopens or is_stale(self.connection)):
                self._drop()
            self.reopens = False
            connection = self.connection or self._open()
            step = TransactionStep.WORK
            with self.watch.over(connection, self.limit_s):
                writes = any(job.writes for job in group)
                connection.execute("BEGIN ISOLATION LEVEL READ COMMITTED")
                held = Held(connection, 0)
                held.number = self._hold(connection) if writes else 0
                for job in group:
                    self._do(held, job, done, len(group) > 1)
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
                self.confirmed = held.number
                self.until_ms = held.began_ms + self.lease_ms
            return done
        except (psycopg.Error, OSError, StoreFailure) as error:
            found = error if isinstance(error, StoreFailure) else self._trouble(error, step)
        except Exception as error:  # hazard: a thread that died would leave all that wait for it without a word
            found = StoreFailure(WriteOutcome.UNKNOWN if step is TransactionStep.COMMIT else WriteOutcome.NEVER_RAN,
                                 Cause.BROKEN,
                                 f"{self.name}: {type(error).__name__}: {error}")
        self._drop()
        return failed_group_results(group, done, found)

    def _do(self, held: Held, job: Job[Held, Any], done: list[JobResult[Held]], several: bool) -> None:
        """One job; what it has done is taken back if it fails. Raises what ends the whole transaction."""
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

    def _hold(self, connection: psycopg.Connection[Any]) -> int:
        """The transaction's number, under our claim; from here on the row is held until its end."""
        if self.follows:
            raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY, f"{self.name}: this agent does not lead",
                               "LOCKED")
        self.number += 1
        rows = connection.execute(
            f"UPDATE agent_owner SET sequence = %s, until_ms = {NOW} + %s WHERE one = %s AND epoch = %s"
            " RETURNING sequence", (self.number, self.lease_ms, 1, self.epoch)).fetchall()
        if not rows:
            # ours it may be still, or be less than it was: the next claim tells
            raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY,
                               f"{self.name}: the claim on it has to be renewed",
                               "CLAIM")
        return self.number

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

    def _drop(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            with contextlib.suppress(psycopg.Error, OSError):
                connection.close()

    # A connection and the claim

    def _open(self) -> psycopg.Connection[Any]:
        """Raises psycopg.Error, OSError or StoreFailure."""
        if self.lost is not None:
            raise self.lost
        connection = psycopg.Connection.connect(**{**self.settings, "connect_timeout": int(CONNECT_S)},
                                                autocommit=True, prepare_threshold=None)
        try:
            with self.watch.over(connection, self.limit_s):
                # what a server does that we have given up on has an end too, and then the row is free. Hazard: who is
                # stopped in mid-transaction would keep the next agent from the row past the end of his lease
                idle_ms = min(int(2 * self.limit_s * 1000), self.lease_ms)
                connection.execute(f"SET statement_timeout = {int(self.limit_s * 1000)}")
                connection.execute(f"SET idle_in_transaction_session_timeout = {idle_ms}")
                connection.execute(f"SET synchronous_commit = {self.access.synchronous_commit}")
                if self.epoch == 0:
                    self._migrate(connection)
                if not self.follows:
                    self._claim(connection)
        except BaseException:
            with contextlib.suppress(psycopg.Error, OSError):
                connection.close()
            raise
        self.connection = connection
        return connection

    def _migrate(self, connection: psycopg.Connection[Any]) -> None:
        connection.execute("BEGIN")
        held, steps = Held(connection, 0), schema_migration(self.name, "agent_schema", LOCK, SCHEMA, migrations)
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
        """Makes the record ours, or ours again. Waits for what an earlier transaction of ours still does."""
        began_ms = clock_ms()
        (epoch, sequence, holder, place, left_ms), = connection.execute(
            f"SELECT epoch, sequence, holder, place, until_ms - {NOW} FROM agent_owner WHERE one = %s", (1,)).fetchall()
        if self.epoch == 0 and holder != self.holder and left_ms > 0:
            raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY,
                               f"{self.name}: the agent of {place} has this record, "
                               f"for {left_ms / 1000:.1f} s more at least; stop that agent, or name another database",
                               "LOCKED")
        if epoch < self.epoch or sequence < self.confirmed:
            self._less(connection, epoch, sequence)
        if self.epoch and holder != self.holder:
            self._give_up("TAKEN", f"{self.name}: the agent of {place} has taken this record over")
        rows = connection.execute(
            f"UPDATE agent_owner SET epoch = epoch + 1, holder = %s, place = %s, until_ms = {NOW} + %s"
            " WHERE one = %s AND epoch = %s RETURNING epoch, sequence",
            (self.holder, self.place, self.lease_ms, 1, epoch)).fetchall()
        if not rows:
            raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY,
                               f"{self.name}: another agent claims this record at "
                               "the same moment", "LOCKED" if self.epoch == 0 else "CLAIM")
        self.epoch, self.confirmed = rows[0]
        self.number = max(self.number, self.confirmed)
        self.until_ms = began_ms + self.lease_ms
        self.claims += 1

    def _less(self, connection: psycopg.Connection[Any], epoch: int, sequence: int) -> None:
        """A server that took over without all that was confirmed. What was told to operators and instances is gone, so
        nothing here may go on from it; the next agent begins from what is there, with fences above all that were."""
        connection.execute("BEGIN")
        connection.execute(f"UPDATE agent_owner SET epoch = %s, sequence = %s, holder = %s, place = %s,"
                           f" until_ms = {NOW} WHERE one = %s",
                           (max(epoch, self.epoch) + 1, max(sequence, self.number), self.holder, self.place, 1))
        connection.execute("UPDATE agent_counters SET value = value + %s WHERE name = %s", (FENCES_APART, "fence"))
        # versions that were told may be gone, and their numbers be given again: positions of the two aren't compared
        connection.execute("UPDATE agent_version_log SET lineage = %s WHERE one = %s", (secrets.token_hex(8), 1))
        connection.execute("COMMIT")
        self._give_up("LESS", f"{self.name}: expected {self.confirmed} writes, as it had confirmed, got {sequence}: a "
                      "server took over that had not got them all; look at `ironscale ops`, then start the agent again")

    def _give_up(self, code: str, text: str) -> None:
        self.lost = StoreFailure(WriteOutcome.NEVER_RAN, Cause.UNUSABLE, text, code)
        self.on_lost(self.lost)
        raise self.lost

    def stop(self, wait_s: float) -> None:
        """After all that was asked for; the next agent need not wait for the lease."""
        self.end()
        if self.thread.is_alive():
            self.thread.join(wait_s)
        connection = self.connection
        if not self.thread.is_alive() and connection is not None and self.epoch:
            with contextlib.suppress(psycopg.Error, OSError), self.watch.over(connection, min(wait_s, self.limit_s)):
                connection.execute("UPDATE agent_owner SET until_ms = 0 WHERE one = %s AND epoch = %s", (1, self.epoch))
            self._drop()
        self.watch.stop()


class PostgresStore(KeptStore[Held]):
    """The record under one agent's claim."""

    # hazard: a write of its own would have a number above the open one's, and be taken for it if it broke off too
    reaches_by_write = False

    def __init__(self, holder: Holder) -> None:
        self.holder = holder
        super().__init__(holder, "postgresql")
        holder.start()

    @property
    def term(self) -> Term:
        return Term(self.holder.epoch, self.holder.until_ms, self.holder.lease_ms)

    @term.setter
    def term(self, term: Term) -> None:
        pass  # the claim is the holder's

    async def owner(self) -> Owner:
        def work(records: Records) -> Owner:
            assert isinstance(records, SqlRecords)
            (epoch, holder, place, left_ms), = records.transaction.execute(
                f"SELECT epoch, holder, place, until_ms - {NOW} FROM agent_owner WHERE one = %s", (1,))
            return Owner(epoch, holder, place, max(0, left_ms))

        return await self.read(work)

    async def claim(self) -> None:
        if self.holder.epoch:
            return
        self.holder.follows, self.holder.reopens = False, True  # the next connection begins with the claim
        try:
            await self.read(lambda records: records.last_event())
        except StoreError:
            self.holder.follows = True
            raise

    def mark(self, records: SqlRecords) -> int:
        held = records.transaction
        assert isinstance(held, Held)
        return held.number

    def reached(self, records: SqlRecords) -> int:
        """By the claim that this connection made: it has waited for all that came before, and shut out the rest."""
        return self.holder.confirmed
