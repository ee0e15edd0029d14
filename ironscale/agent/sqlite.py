"""The record in SQLite, on the driver of `ironscale.record.database`; migrations with versions."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import asdict, fields
from operator import attrgetter
from pathlib import Path
from typing import Any, TypeVar

import apsw

from ironscale.agent.model import OPEN, Kind, Operation, Phase, Policy, State, Target
from ironscale.agent.store import Configuration, Event, InstanceRow, Records, StoreError, TokenRow
from ironscale.record import database
from ironscale.record.database import Opener, Writer, trouble
from ironscale.record.errors import Step
from ironscale.record.model import Trouble

T = TypeVar("T")
BUSY_MS = 2_000
CLOSE_S = 10.0
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
)
SCHEMA = len(MIGRATIONS)
# `dataclasses.astuple` copies deeply, for thousands of rows at a time
_instance_values = attrgetter(*(f.name for f in fields(InstanceRow)))
_target_values = attrgetter(*(f.name for f in fields(Target)))
_token_values = attrgetter(*(f.name for f in fields(TokenRow)))


CODES = {"SQLITE_FULL": "FULL", "SQLITE_BUSY": "LOCKED", "SQLITE_LOCKED": "LOCKED", "SQLITE_READONLY": "READ_ONLY",
         "SQLITE_CANTOPEN": "READ_ONLY", "SQLITE_PERM": "READ_ONLY", "SQLITE_CORRUPT": "DAMAGED",
         "SQLITE_NOTADB": "DAMAGED", "NEWER": "NEWER"}


def told(found: Trouble) -> StoreError:
    """What the store says, under a stable code."""
    return StoreError(CODES.get(found.code, "FAILED"), str(found))


class SqliteRecords:
    """`Records` on one connection."""

    def __init__(self, connection: apsw.Connection) -> None:
        self.sql = connection.execute
        self.many = connection.executemany

    def _counter(self, name: str) -> int:
        return self._number("INSERT INTO counters VALUES (?, 1) ON CONFLICT (name) DO UPDATE SET value = value + 1"
                            " RETURNING value", (name,))

    def _number(self, sql: str, values: tuple[Any, ...] = ()) -> int:
        (value,), = self.sql(sql, values).fetchall()
        assert isinstance(value, int)
        return value

    def instances(self) -> list[InstanceRow]:
        rows = self.sql("SELECT * FROM instances ORDER BY name")
        return [self._instance(row) for row in rows]

    @staticmethod
    def _instance(row: tuple[Any, ...]) -> InstanceRow:
        values = list(row)
        values[9] = bool(row[9])
        return InstanceRow(*values)

    def put_instances(self, rows: Iterable[InstanceRow]) -> None:
        # what it should run is the operations' to say: `set_desired`
        self.many("INSERT INTO instances VALUES (?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)"
                  " ON CONFLICT (name) DO UPDATE SET"
                  " boot=excluded.boot, pid=excluded.pid, version=excluded.version, zone=excluded.zone,"
                  " listen=excluded.listen, started_ms=excluded.started_ms, heard_ms=excluded.heard_ms,"
                  " connected=excluded.connected, generation=excluded.generation, ended=excluded.ended,"
                  " host=excluded.host, ticks=excluded.ticks", map(_instance_values, rows))

    def set_desired(self, generations: Iterable[tuple[str, int]]) -> None:
        self.many("UPDATE instances SET desired = ?2 WHERE name = ?1", generations)

    def forget_instance(self, name: str) -> None:
        self.sql("DELETE FROM instances WHERE name = ?", (name,))

    def alive_ms(self) -> int:
        row = self.sql("SELECT value FROM counters WHERE name = 'alive_ms'").fetchone()
        return int(row[0]) if row else 0

    def set_alive(self, at_ms: int) -> None:
        self.sql("INSERT INTO counters VALUES ('alive_ms', ?1) ON CONFLICT (name) DO UPDATE SET value = ?1",
                 (at_ms,))

    def next_fence(self) -> int:
        return self._counter("fence")

    def next_operation(self) -> int:
        return self._counter("operation")

    @staticmethod
    def _operation(row: tuple[Any, ...]) -> Operation:
        ident, kind, fence, phase, actor, policy, generation, args, note, created_ms, ended_ms = row
        return Operation(ident, Kind(kind), fence, Phase(phase), actor, Policy(**json.loads(policy)),
                         generation, json.loads(args), note, created_ms, ended_ms)

    def operation(self, ident: int) -> Operation | None:
        row = self.sql("SELECT * FROM operations WHERE id = ?", (ident,)).fetchone()
        return self._operation(row) if row else None

    def operations(self, before: int, most: int, open_only: bool = False) -> list[Operation]:
        phases = tuple(OPEN) if open_only else tuple(Phase)
        rows = self.sql(f"SELECT * FROM operations WHERE id < ? AND phase IN ({','.join('?' * len(phases))})"
                        " ORDER BY id DESC LIMIT ?", (before, *phases, most))
        return [self._operation(row) for row in rows]

    def put_operation(self, op: Operation) -> None:
        self.sql("INSERT INTO operations VALUES (?,?,?,?,?,?,?,?,?,?,?) ON CONFLICT (id) DO UPDATE SET"
                 " policy=excluded.policy, fence=excluded.fence, phase=excluded.phase, note=excluded.note,"
                 " ended_ms=excluded.ended_ms",
                 (op.id, op.kind, op.fence, op.phase, op.actor, json.dumps(asdict(op.policy)), op.generation,
                  json.dumps(op.args), op.note, op.created_ms, op.ended_ms))

    def targets(self, operation: int) -> list[Target]:
        rows = self.sql("SELECT name, position, state, detail, since_ms, boot, command, sent_ms, tries,"
                        " answered, restarting, reverting, from_generation FROM targets WHERE operation = ?"
                        " ORDER BY position", (operation,))
        return [self._target(row) for row in rows]

    @staticmethod
    def _target(row: tuple[Any, ...]) -> Target:
        values = list(row)
        values[2], values[10], values[11] = State(row[2]), bool(row[10]), bool(row[11])
        return Target(*values)

    def put_targets(self, operation: int, targets: Iterable[Target]) -> None:
        self.many("INSERT OR REPLACE INTO targets (operation, name, position, state, detail, since_ms, boot,"
                  " command, sent_ms, tries, answered, restarting, reverting, from_generation)"
                  " VALUES (?,?,?,?,?,?,?,?,?,?,?,?,?,?)", ((operation, *_target_values(t)) for t in targets))

    def current_generation(self) -> int:
        return self._number("SELECT coalesce(max(generation), 0) FROM configurations")

    def configuration(self, generation: int) -> Configuration | None:
        row = self.sql("SELECT * FROM configurations WHERE generation = ?", (generation,)).fetchone()
        return Configuration(row[0], json.loads(row[1]), *row[2:]) if row else None

    def add_configuration(self, c: Configuration) -> None:
        self.sql("INSERT INTO configurations VALUES (?,?,?,?,?)",
                 (c.generation, json.dumps(c.overlay), c.actor, c.at_ms, c.operation))

    def mutation(self, actor: str, key: str) -> tuple[str, int] | None:
        row = self.sql("SELECT fingerprint, operation FROM mutations WHERE actor = ? AND key = ?",
                       (actor, key)).fetchone()
        return (row[0], row[1]) if row else None

    def add_mutation(self, actor: str, key: str, fingerprint: str, operation: int, at_ms: int) -> None:
        self.sql("INSERT INTO mutations VALUES (?,?,?,?,?)", (actor, key, fingerprint, operation, at_ms))

    def audit(self, at_ms: int, actor: str, action: str, subject: str, result: str,
              detail: dict[str, Any] | None = None) -> None:
        self.sql("INSERT INTO audit (at_ms, actor, action, subject, result, detail) VALUES (?,?,?,?,?,?)",
                 (at_ms, actor, action, subject, result, json.dumps(detail or {})))

    def events(self, after: int, most: int) -> list[Event]:
        rows = self.sql("SELECT * FROM audit WHERE id > ? ORDER BY id LIMIT ?", (after, most))
        return [Event(*(json.loads(v) if i == 6 else v for i, v in enumerate(row))) for row in rows]

    def last_event(self) -> int:
        return self._number("SELECT coalesce(max(id), 0) FROM audit")

    def tokens(self) -> list[TokenRow]:
        return [TokenRow(*row) for row in self.sql("SELECT * FROM tokens ORDER BY name")]

    def put_token(self, token: TokenRow) -> None:
        self.sql("INSERT OR REPLACE INTO tokens VALUES (?,?,?,?,?)", _token_values(token))


def connect(path: Path) -> apsw.Connection:
    """Opens the file and brings its schema up to this program's. Raises StoreError."""
    opener = Opener(path, migrate, busy_ms=BUSY_MS)
    try:
        return opener.open()
    except Trouble as found:
        raise told(found) from found
    except apsw.Error as error:
        raise told(trouble(error, Step.WORK, path)) from error


def migrate(connection: apsw.Connection) -> None:
    database.migrate(connection, SCHEMA, lambda version: MIGRATIONS[version:], "name another data folder")


class SqliteStore:
    """The record on the driver that stores of record have: one writer with group commit."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.writer = Writer(Opener(path, migrate, busy_ms=BUSY_MS), connection=connect(path))

    @property
    def connection(self) -> apsw.Connection:
        assert self.writer.connection is not None
        return self.writer.connection

    async def write(self, work: Callable[[Records], T]) -> T:
        return await self._ask(work, True)

    async def read(self, work: Callable[[Records], T]) -> T:
        return await self._ask(work, False)

    async def _ask(self, work: Callable[[Records], T], writes: bool) -> T:
        try:
            return await self.writer.run(lambda transaction: work(SqliteRecords(transaction.connection)), writes=writes)
        except Trouble as found:
            raise told(found) from found

    def close(self) -> None:
        """After all that was asked for."""
        self.writer.stop(CLOSE_S)
