"""The agent's store in SQLite, on the driver of `ironscale.record.database`, with versioned schema migrations."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

import apsw

from ironscale.agent.commit_tracking import SequencedStore, to_store_error
from ironscale.agent.sql import SqlRecords
from ironscale.agent.store import StoreError
from ironscale.agent.terms import Owner, Term, clock_ms
from ironscale.control.processes import machine_boot_id
from ironscale.record import database
from ironscale.record.database import ConnectionFactory, Transaction, Writer, store_failure
from ironscale.record.errors import TransactionStep
from ironscale.record.model import Cause, StoreFailure, WriteOutcome

BUSY_TIMEOUT_MS = 2_000
SEQUENCE_COUNTER = "sequence"  # counter with the number of the last write
MIGRATIONS = (
    """
    CREATE TABLE counters (name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
    CREATE TABLE instances (
        name TEXT PRIMARY KEY, boot TEXT NOT NULL, pid INTEGER NOT NULL, version TEXT NOT NULL,
        zone TEXT NOT NULL, listen TEXT NOT NULL, started_ms INTEGER NOT NULL, first_seen_ms INTEGER NOT NULL,
        heard_ms INTEGER NOT NULL, connected INTEGER NOT NULL, generation INTEGER NOT NULL,
        desired INTEGER NOT NULL, ended TEXT NOT NULL, host TEXT NOT NULL, ticks INTEGER NOT NULL
    ) WITHOUT ROWID;
    CREATE TABLE operations (
        id INTEGER PRIMARY KEY, kind TEXT NOT NULL, fence INTEGER NOT NULL, phase TEXT NOT NULL,
        actor TEXT NOT NULL, policy TEXT NOT NULL, generation INTEGER NOT NULL, args TEXT NOT NULL,
        note TEXT NOT NULL, created_ms INTEGER NOT NULL, ended_ms INTEGER NOT NULL);
    CREATE INDEX operations_by_phase ON operations (phase);
    CREATE TABLE targets (
        operation INTEGER NOT NULL REFERENCES operations (id), name TEXT NOT NULL, position INTEGER NOT NULL,
        state TEXT NOT NULL, detail TEXT NOT NULL, since_ms INTEGER NOT NULL, boot TEXT NOT NULL,
        command TEXT NOT NULL, sent_ms INTEGER NOT NULL, tries INTEGER NOT NULL, answered TEXT NOT NULL,
        restarting INTEGER NOT NULL, reverting INTEGER NOT NULL, from_generation INTEGER NOT NULL,
        PRIMARY KEY (operation, name)) WITHOUT ROWID;
    CREATE TABLE configurations (
        generation INTEGER PRIMARY KEY, overlay TEXT NOT NULL, actor TEXT NOT NULL, at_ms INTEGER NOT NULL,
        operation INTEGER NOT NULL REFERENCES operations (id));
    CREATE TABLE mutations (
        actor TEXT NOT NULL, key TEXT NOT NULL, fingerprint TEXT NOT NULL, operation INTEGER NOT NULL,
        at_ms INTEGER NOT NULL, PRIMARY KEY (actor, key)) WITHOUT ROWID;
    CREATE TABLE audit (
        id INTEGER PRIMARY KEY AUTOINCREMENT, at_ms INTEGER NOT NULL, actor TEXT NOT NULL,
        action TEXT NOT NULL, subject TEXT NOT NULL, result TEXT NOT NULL, detail TEXT NOT NULL);
    CREATE TRIGGER audit_keeps BEFORE UPDATE ON audit
        BEGIN SELECT RAISE(ABORT, 'the audit log is append-only'); END;
    CREATE TRIGGER audit_stays BEFORE DELETE ON audit
        BEGIN SELECT RAISE(ABORT, 'the audit log is append-only'); END;
    CREATE TABLE tokens (
        name TEXT PRIMARY KEY, role TEXT NOT NULL, digest TEXT NOT NULL, created_ms INTEGER NOT NULL,
        revoked_ms INTEGER NOT NULL) WITHOUT ROWID;
    """,
    """
    CREATE TABLE permits (
        id INTEGER PRIMARY KEY, holder TEXT NOT NULL, key TEXT NOT NULL, open INTEGER NOT NULL,
        ended_ms INTEGER NOT NULL, body TEXT NOT NULL);
    CREATE UNIQUE INDEX permits_by_key ON permits (holder, key);
    CREATE TABLE halts (
        id INTEGER PRIMARY KEY, actor TEXT NOT NULL, reason TEXT NOT NULL, at_ms INTEGER NOT NULL,
        lifted_ms INTEGER NOT NULL, lifted_by TEXT NOT NULL);
    """,
    """
    CREATE TABLE owner (
        one INTEGER PRIMARY KEY, epoch INTEGER NOT NULL, holder TEXT NOT NULL, place TEXT NOT NULL,
        machine TEXT NOT NULL, until_ms INTEGER NOT NULL);
    INSERT INTO owner (one, epoch, holder, place, machine, until_ms) VALUES (1, 0, '', '', '', 0);
    """,
    """
    CREATE TABLE versions (
        version INTEGER PRIMARY KEY, scope TEXT NOT NULL, overlay TEXT NOT NULL, base INTEGER NOT NULL,
        restores INTEGER NOT NULL, actor TEXT NOT NULL, at_ms INTEGER NOT NULL, note TEXT NOT NULL);
    CREATE INDEX versions_by_scope ON versions (scope, version);
    CREATE TABLE newest (scope TEXT PRIMARY KEY, version INTEGER NOT NULL) WITHOUT ROWID;
    CREATE UNIQUE INDEX newest_by_version ON newest (version);
    CREATE TABLE version_log (
        one INTEGER PRIMARY KEY, lineage TEXT NOT NULL, position INTEGER NOT NULL, floor INTEGER NOT NULL);
    """,
)
SCHEMA_VERSION = len(MIGRATIONS)


def connect(path: Path, opener: ConnectionFactory | None = None) -> apsw.Connection:
    """Opens the file and upgrades its schema to the current version. Raises StoreError."""
    opener = opener or ConnectionFactory(path, migrate, busy_ms=BUSY_TIMEOUT_MS)
    try:
        return opener.open()
    except StoreFailure as found:
        raise to_store_error(found) from found
    except apsw.Error as error:
        raise to_store_error(store_failure(error, TransactionStep.WORK, path)) from error


def migrate(connection: apsw.Connection) -> None:
    database.migrate(connection, SCHEMA_VERSION, lambda version: MIGRATIONS[version:], "name another data folder")


@dataclass(frozen=True, slots=True)
class Claim:
    """What an agent writes into a shared store to become its owner, and so the leader."""

    holder: str
    place: str
    lease_ms: int


class SqliteStore(SequencedStore[Transaction]):
    """The store on the same driver as the stores that hold records of requests: one writer with group commit."""

    resolve_needs_write = True

    def __init__(self, path: Path, opener: ConnectionFactory | None = None, claim: Claim | None = None) -> None:
        """`opener`: lets tests open the file on a simulated disk. `claim`: set when several agents of this machine
        open the file; an agent then writes only after it has claimed the store."""
        self.path, self.claim_identity = path, claim
        opener = opener or ConnectionFactory(path, migrate, busy_ms=BUSY_TIMEOUT_MS)
        self.writer = Writer(opener, connection=connect(path, opener))
        self.last_number = -1  # number of the last write; -1 until it is read from the store
        super().__init__(self.writer, "sqlite")
        if claim is not None:
            self.term = Term(0, 0, claim.lease_ms)

        self.pending_until_ms = 0
        self.on_lost: Callable[[StoreError], None] = lambda error: None  # on the worker's thread

    @property
    def connection(self) -> apsw.Connection:
        assert self.writer.connection is not None
        return self.writer.connection

    async def owner(self) -> Owner:
        try:
            return await self.worker.run(self._owner, writes=False)
        except StoreFailure as found:
            raise to_store_error(found) from found

    @staticmethod
    def _owner(transaction: Transaction) -> Owner:
        (epoch, holder, place, on, until_ms), = transaction.execute(
            "SELECT epoch, holder, place, machine, until_ms FROM owner WHERE one = 1")
        # A lease from before the last boot of the machine is void: its holder is gone and the clock has restarted.
        return Owner(epoch, holder, place, max(0, until_ms - clock_ms()) if on == machine_boot_id() else 0)

    async def claim(self) -> None:
        claim = self.claim_identity
        assert claim is not None

        def job(transaction: Transaction) -> Term:
            owner, now_ms = self._owner(transaction), clock_ms()
            if owner.left_ms > 0 and owner.holder != claim.holder:
                raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY,
                                   f"{self.path}: the agent of {owner.place} owns "
                                   f"this store, for at least {owner.left_ms / 1000:.1f} s more", "LOCKED")
            transaction.execute("UPDATE owner SET epoch = epoch + 1, holder = ?, place = ?, machine = ?, until_ms = ?"
                                " WHERE one = 1",
                                 (claim.holder, claim.place, machine_boot_id(), now_ms + claim.lease_ms))
            return Term(owner.epoch + 1, now_ms + claim.lease_ms, claim.lease_ms)

        try:
            self.term = await self.worker.run(job)
        except StoreFailure as found:
            raise to_store_error(found) from found

    async def release_ownership(self) -> None:
        """Ends the lease, so that the next agent need not wait for it to expire."""
        epoch = self.term.epoch
        if epoch:
            with contextlib.suppress(StoreFailure):
                await self.worker.run(lambda transaction: transaction.execute(
                    "UPDATE owner SET until_ms = 0 WHERE one = 1 AND epoch = ?", (epoch,)))

    def assign_sequence_number(self, records: SqlRecords) -> int:
        if self.claim_identity is not None:
            until_ms = clock_ms() + self.claim_identity.lease_ms
            if not records.transaction.execute("UPDATE owner SET until_ms = ? WHERE one = 1 AND epoch = ?"
                                               " RETURNING one", (until_ms, self.term.epoch or -1)):
                found = StoreFailure(WriteOutcome.NEVER_RAN, Cause.UNUSABLE,
                                     f"{self.path}: another agent has claimed it",
                                     "TAKEN")
                self.on_lost(to_store_error(found))
                raise found
            self.pending_until_ms = until_ms
        if self.last_number < 0:
            self.last_number = records.counter(SEQUENCE_COUNTER)
        # Read again under a claim: an agent that leads a second time must not continue from its old number, as
        # another leader has written higher ones meanwhile.
        self.last_number = max(
            self.last_number, records.counter(SEQUENCE_COUNTER) if self.claim_identity is not None else 0) + 1
        records.set_counter(SEQUENCE_COUNTER, self.last_number)
        return self.last_number

    def on_write_confirmed(self) -> None:
        if self.claim_identity is not None:
            self.term = replace(self.term, until_ms=self.pending_until_ms)

    def last_sequence_number(self, records: SqlRecords) -> int:
        """Reads the number in a transaction that writes, because what a recovery found in the log may not have been
        synced to disk yet. It increments a counter: SQLite skips an update that keeps the value of the row, and a
        commit without changes syncs nothing."""
        records.increment_counter("resolved")
        return records.counter(SEQUENCE_COUNTER)
