"""The record in SQLite: WAL, full sync, one writer thread with group commit, migrations with versions."""

from __future__ import annotations

import asyncio
import json
import os
import queue
import sqlite3
import threading
from collections.abc import Callable, Iterable
from dataclasses import asdict, fields
from operator import attrgetter
from pathlib import Path
from typing import Any, TypeVar

from ironscale.agent.model import OPEN, Kind, Operation, Phase, Policy, State, Target
from ironscale.agent.store import Configuration, Event, InstanceRow, Records, StoreError, TokenRow

T = TypeVar("T")
BUSY_MS = 2_000
GROUP = 256  # pieces of work in one commit at most
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


def told(error: sqlite3.Error, path: Path) -> StoreError:
    """What SQLite says, as one line and a stable code."""
    text = str(error)
    for words, code, hint in (
        ("full", "FULL", "free space, then repeat"), ("locked", "LOCKED", "another process writes it"),
        ("readonly", "READ_ONLY", "the file or its folder can't be written"),
        ("unable to open", "READ_ONLY", "the folder can't be written"),
        ("malformed", "DAMAGED", "restore a copy"), ("not a database", "DAMAGED", "restore a copy"),
    ):
        if words in text:
            return StoreError(code, f"{path}: {text}; {hint}")
    return StoreError("FAILED", f"{path}: {text}")


class SqliteRecords:
    """`Records` on one connection."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self.sql = connection.execute
        self.many = connection.executemany

    def _counter(self, name: str) -> int:
        row = self.sql("INSERT INTO counters VALUES (?, 1) ON CONFLICT (name) DO UPDATE SET value = value + 1"
                       " RETURNING value", (name,)).fetchone()
        return int(row[0])

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
        return int(self.sql("SELECT coalesce(max(generation), 0) FROM configurations").fetchone()[0])

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
        return int(self.sql("SELECT coalesce(max(id), 0) FROM audit").fetchone()[0])

    def tokens(self) -> list[TokenRow]:
        return [TokenRow(*row) for row in self.sql("SELECT * FROM tokens ORDER BY name")]

    def put_token(self, token: TokenRow) -> None:
        self.sql("INSERT OR REPLACE INTO tokens VALUES (?,?,?,?,?)", _token_values(token))


def connect(path: Path) -> sqlite3.Connection:
    """Opens the file and brings its schema up to this program's. Raises StoreError."""
    try:
        # 0600 from its first byte: SQLite gives its side files the mode of the database
        os.close(os.open(path, os.O_RDWR | os.O_CREAT, 0o600))
        connection = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
    except OSError as error:
        raise StoreError("READ_ONLY", f"{path}: {error.strerror}") from error
    except sqlite3.Error as error:
        raise told(error, path) from error
    try:
        connection.execute(f"PRAGMA busy_timeout = {BUSY_MS}")
        connection.execute("PRAGMA journal_mode = WAL")
        connection.execute("PRAGMA synchronous = FULL")
        connection.execute("PRAGMA foreign_keys = ON")
        migrate(connection, path)
    except sqlite3.Error as error:
        connection.close()
        raise told(error, path) from error
    except StoreError:
        connection.close()
        raise
    return connection


def migrate(connection: sqlite3.Connection, path: Path) -> None:
    connection.execute("BEGIN IMMEDIATE")  # two agents that start at once: the second finds it done
    version = int(connection.execute("PRAGMA user_version").fetchone()[0])
    if version > SCHEMA:
        connection.execute("ROLLBACK")
        raise StoreError("NEWER", f"{path}: expected schema {SCHEMA} or older, got {version}; "
                                  "start the newer program, or name another data folder")
    for script in MIGRATIONS[version:]:
        statement = ""
        for line in script.splitlines():
            statement += line + "\n"
            if statement.strip() and sqlite3.complete_statement(statement):
                connection.execute(statement)
                statement = ""
    connection.execute(f"PRAGMA user_version = {SCHEMA}")
    connection.execute("COMMIT")


class _Job:
    __slots__ = ("future", "loop", "work", "writes")

    def __init__(self, work: Callable[[Records], Any], writes: bool) -> None:
        self.work = work
        self.writes = writes
        self.loop = asyncio.get_running_loop()
        self.future: asyncio.Future[Any] = self.loop.create_future()

    def settle(self, result: Any, error: BaseException | None) -> None:
        def now() -> None:
            if self.future.done():
                return
            if error is not None:
                self.future.set_exception(error)
            else:
                self.future.set_result(result)

        self.loop.call_soon_threadsafe(now)


class SqliteStore:
    """One connection on one thread. What is asked for while a commit is under way shares the next."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.connection = connect(path)
        self.records = SqliteRecords(self.connection)
        self.jobs: queue.SimpleQueue[_Job | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run, name="store", daemon=True)
        self.thread.start()
        self.commits = 0

    async def write(self, work: Callable[[Records], T]) -> T:
        return await self._ask(work, True)

    async def read(self, work: Callable[[Records], T]) -> T:
        return await self._ask(work, False)

    async def _ask(self, work: Callable[[Records], T], writes: bool) -> T:
        job = _Job(work, writes)
        self.jobs.put(job)
        # hazard: a caller that is cancelled must not make it look as if the work had not been done
        result: T = await asyncio.shield(job.future)
        return result

    def _run(self) -> None:
        while True:
            job = self.jobs.get()
            if job is None:
                return
            group = [job]
            while len(group) < GROUP:
                try:
                    more = self.jobs.get_nowait()
                except queue.Empty:
                    break
                if more is None:
                    self.jobs.put(None)
                    break
                group.append(more)
            self._commit(group)

    def _commit(self, group: list[_Job]) -> None:
        done: list[tuple[_Job, Any, BaseException | None]] = []
        try:
            writes = any(job.writes for job in group)
            self.connection.execute("BEGIN IMMEDIATE" if writes else "BEGIN")
            for job in group:
                self.connection.execute("SAVEPOINT job")
                try:
                    done.append((job, job.work(self.records), None))
                except sqlite3.Error as error:
                    if not self.connection.in_transaction:
                        raise  # it ended the whole transaction (a full disk does)
                    self.connection.execute("ROLLBACK TO job")
                    done.append((job, None, told(error, self.path)))
                except Exception as error:
                    self.connection.execute("ROLLBACK TO job")
                    done.append((job, None, error))
                self.connection.execute("RELEASE job")
            self.connection.execute("COMMIT")
            self.commits += writes
        except sqlite3.Error as error:
            if self.connection.in_transaction:
                self.connection.execute("ROLLBACK")
            # nothing of the group was kept, so all are told so, those that went well among them
            failure = told(error, self.path)
            done = [(job, None, StoreError(failure.code, str(failure))) for job in group]
        for job, result, problem in done:
            job.settle(result, problem)

    def close(self) -> None:
        """After all that was asked for."""
        self.jobs.put(None)
        self.thread.join()
        self.connection.close()
