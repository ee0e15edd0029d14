"""The SQL statements of the agent's store, shared by both dialects, and `Records` implemented with them. Values are
passed as parameters only.

Statements write a table's name as `@table`. SQLite uses it without a prefix, as the agent has its own file; in
PostgreSQL it becomes `agent_table`, as the database may be shared with the stores that hold records of requests.
"""

from __future__ import annotations

import functools
import json
import secrets
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import asdict, fields
from operator import attrgetter
from typing import Any, Protocol

from ironscale.agent.model import OPEN_PHASES, Kind, Operation, Phase, Policy, State, Target
from ironscale.agent.store import Configuration, Event, InstanceRow, Published, TokenRow
from ironscale.disruption.model import Halt, Permit
from ironscale.disruption.model import Phase as PermitPhase
from ironscale.record.sql import with_column_types
from ironscale.versions.compacted_log import Change
from ironscale.versions.model import Entry, Scope, canonical_json, parse_scope

# Rows of one INSERT, with up to 15 values each: PostgreSQL takes 65,535 parameters, SQLite 32,766.
MAX_ROWS_PER_INSERT = 500
MAX_SCOPES_PER_COMPACTION = 500  # compacted in one transaction


class Transaction(Protocol):
    """The database driver's transaction: executes one statement and returns all its rows."""

    def execute(self, sql: str, values: Sequence[Any] = ()) -> list[tuple[Any, ...]]: ...


@functools.lru_cache(maxsize=128)
def _sqlite(sql: str) -> str:
    return sql.replace("@", "").replace("%s", "?")


@functools.lru_cache(maxsize=128)
def _postgresql(sql: str) -> str:
    return sql.replace("@", "agent_")


DIALECTS: dict[str, Callable[[str], str]] = {"sqlite": _sqlite, "postgresql": _postgresql}

# Not `dataclasses.astuple`: it makes deep copies, which is slow for thousands of rows.
_instance_values = attrgetter(*(f.name for f in fields(InstanceRow)))
_target_values = attrgetter(*(f.name for f in fields(Target)))
_token_values = attrgetter(*(f.name for f in fields(TokenRow)))

INSTANCE = tuple(f.name for f in fields(InstanceRow))
TARGET = ("operation", *(f.name for f in fields(Target)))
TOKEN = tuple(f.name for f in fields(TokenRow))
OPERATION = ("id", "kind", "fence", "phase", "actor", "policy", "generation", "args", "note", "created_ms", "ended_ms")
CONFIGURATION = ("generation", "overlay", "actor", "at_ms", "operation")
COUNTER = ("name", "value")
MUTATION = ("actor", "key", "fingerprint", "operation", "at_ms")
PERMIT = ("id", "holder", "key", "open", "ended_ms", "body")
HALT = tuple(f.name for f in fields(Halt))
VERSION = ("version", "scope", "overlay", "base", "restores", "actor", "at_ms", "note")
NEWEST = ("scope", "version")
VERSION_LOG = ("one", "lineage", "position", "floor")
AUDIT = ("id", "at_ms", "actor", "action", "subject", "result", "detail")


def _upsert(key: str, columns: Iterable[str]) -> str:
    return f"ON CONFLICT ({key}) DO UPDATE SET " + ", ".join(f"{c} = excluded.{c}" for c in columns)


# `desired` is changed only by operations, through `set_desired`; `first_seen_ms` never changes.
PUT_INSTANCES = _upsert("name", (c for c in INSTANCE if c not in ("name", "first_seen_ms", "desired")))
PUT_OPERATION = _upsert("id", ("policy", "fence", "phase", "note", "ended_ms"))
PUT_TARGETS = _upsert("operation, name", (c for c in TARGET if c not in ("operation", "name")))
PUT_COUNTER = _upsert("name", ("value",))
PUT_PERMIT = _upsert("id", PERMIT[1:])
PUT_HALT = _upsert("id", HALT[1:])
PUT_TOKEN = _upsert("name", TOKEN[1:])
PUT_NEWEST = _upsert("scope", ("version",))


def to_column_value(value: Any) -> Any:
    """Converts booleans and enum values to the integers and strings that both databases store."""
    if isinstance(value, bool):
        return int(value)
    return str(value) if isinstance(value, str) else value


class SqlRecords:
    """`Records` within one transaction. `end` must be called before the commit."""

    def __init__(self, transaction: Transaction, dialect: str) -> None:
        self.transaction, self.to_dialect = transaction, DIALECTS[dialect]
        self.pending_audit: list[tuple[Any, ...]] = []  # entries of the audit log that are not written yet
        self.last_audit_id = -1

    def execute(self, sql: str, values: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        return self.transaction.execute(self.to_dialect(sql), values)

    def insert(self, table: str, columns: Sequence[str], rows: Iterable[Sequence[Any]], suffix: str = "") -> None:
        """Inserts many rows per statement, as one statement per row would cost a round trip per row. `behind` is SQL
        appended to the statement."""
        found = [tuple(map(to_column_value, row)) for row in rows]
        one = f"({', '.join(['%s'] * len(columns))})"
        for start in range(0, len(found), MAX_ROWS_PER_INSERT):
            part = found[start:start + MAX_ROWS_PER_INSERT]
            self.execute(f"INSERT INTO @{table} ({', '.join(columns)}) VALUES {', '.join([one] * len(part))} {suffix}",
                     [value for row in part for value in row])

    def write_pending_audit(self) -> None:
        """Writes the buffered entries of the audit log."""
        lines, self.pending_audit = self.pending_audit, []
        self.insert("audit", AUDIT, lines)

    def counter(self, name: str) -> int:
        found = self.execute("SELECT value FROM @counters WHERE name = %s", (name,))
        return int(found[0][0]) if found else 0

    def set_counter(self, name: str, value: int) -> None:
        self.insert("counters", COUNTER, [(name, value)], PUT_COUNTER)

    def increment_counter(self, name: str) -> int:
        """Increments the counter and returns it; the first value is 1."""
        return self._query_number("INSERT INTO @counters (name, value) VALUES (%s, 1) ON CONFLICT (name) DO UPDATE"
                            " SET value = @counters.value + 1 RETURNING value", (name,))

    def _query_number(self, sql: str, values: tuple[Any, ...] = ()) -> int:
        (value,), = self.execute(sql, values)
        return int(value)

    def _select(self, table: str, columns: Sequence[str], suffix: str,
                 values: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        return self.execute(f"SELECT {', '.join(columns)} FROM @{table} {suffix}", values)

    def instances(self) -> list[InstanceRow]:
        return [self._instance(row) for row in self._select("instances", INSTANCE, "ORDER BY name")]

    @staticmethod
    def _instance(row: tuple[Any, ...]) -> InstanceRow:
        values = list(row)
        values[9] = bool(row[9])
        return InstanceRow(*values)

    def put_instances(self, rows: Iterable[InstanceRow]) -> None:
        # An upsert statement may not update a row twice, so only the last row of each instance is written.
        last = {row.name: row for row in rows}
        self.insert("instances", INSTANCE, map(_instance_values, last.values()), PUT_INSTANCES)

    def set_desired(self, generations: Iterable[tuple[str, int]]) -> None:
        """One statement per generation: an operation has one or two generations for all its targets."""
        names: dict[int, list[str]] = {}
        for name, generation in dict(generations).items():
            names.setdefault(generation, []).append(name)
        for generation, found in names.items():
            for start in range(0, len(found), MAX_ROWS_PER_INSERT):
                part = found[start:start + MAX_ROWS_PER_INSERT]
                self.execute(f"UPDATE @instances SET desired = %s WHERE name IN ({', '.join(['%s'] * len(part))})",
                         (generation, *part))

    def forget_instance(self, name: str) -> None:
        self.execute("DELETE FROM @instances WHERE name = %s", (name,))

    def alive_ms(self) -> int:
        return self.counter("alive_ms")

    def set_alive_ms(self, at_ms: int) -> None:
        self.set_counter("alive_ms", at_ms)

    def next_fence(self) -> int:
        return self.increment_counter("fence")

    def next_operation(self) -> int:
        return self.increment_counter("operation")

    @staticmethod
    def _operation(row: tuple[Any, ...]) -> Operation:
        ident, kind, fence, phase, actor, policy, generation, args, note, created_ms, ended_ms = row
        return Operation(ident, Kind(kind), fence, Phase(phase), actor, Policy(**json.loads(policy)),
                         generation, json.loads(args), note, created_ms, ended_ms)

    def operation(self, ident: int) -> Operation | None:
        found = self._select("operations", OPERATION, "WHERE id = %s", (ident,))
        return self._operation(found[0]) if found else None

    def operations(self, before: int, most: int, open_only: bool = False) -> list[Operation]:
        phases = [str(phase) for phase in (OPEN_PHASES if open_only else Phase)]
        rows = self._select("operations", OPERATION, f"WHERE id < %s AND phase IN ({', '.join(['%s'] * len(phases))})"
                             " ORDER BY id DESC LIMIT %s", (before, *phases, most))
        return [self._operation(row) for row in rows]

    def put_operation(self, op: Operation) -> None:
        self.insert("operations", OPERATION, [(
            op.id, op.kind, op.fence, op.phase, op.actor, json.dumps(asdict(op.policy)), op.generation,
            json.dumps(op.args), op.note, op.created_ms, op.ended_ms)], PUT_OPERATION)

    def targets(self, operation: int) -> list[Target]:
        return [self._target(row) for row in self._select(
            "targets", TARGET[1:], "WHERE operation = %s ORDER BY position", (operation,))]

    @staticmethod
    def _target(row: tuple[Any, ...]) -> Target:
        values = list(row)
        values[2], values[10], values[11] = State(row[2]), bool(row[10]), bool(row[11])
        return Target(*values)

    def put_targets(self, operation: int, targets: Iterable[Target]) -> None:
        self.insert("targets", TARGET, ((operation, *_target_values(t)) for t in targets), PUT_TARGETS)

    def current_generation(self) -> int:
        return self._query_number("SELECT coalesce(max(generation), 0) FROM @configurations")

    def configuration(self, generation: int) -> Configuration | None:
        found = self._select("configurations", CONFIGURATION, "WHERE generation = %s", (generation,))
        return Configuration(found[0][0], json.loads(found[0][1]), *found[0][2:]) if found else None

    def add_configuration(self, c: Configuration) -> None:
        self.insert("configurations", CONFIGURATION, [
            (c.generation, json.dumps(c.overlay), c.actor, c.at_ms, c.operation)])

    def mutation(self, actor: str, key: str) -> tuple[str, int] | None:
        found = self.execute("SELECT fingerprint, operation FROM @mutations WHERE actor = %s AND key = %s",
                             (actor, key))
        return (found[0][0], found[0][1]) if found else None

    def add_mutation(self, actor: str, key: str, fingerprint: str, operation: int, at_ms: int) -> None:
        self.insert("mutations", MUTATION, [(actor, key, fingerprint, operation, at_ms)])

    def audit(self, at_ms: int, actor: str, action: str, subject: str, result: str,
              detail: dict[str, Any] | None = None) -> None:
        if self.last_audit_id < 0:
            self.last_audit_id = self._last_event()
        self.last_audit_id += 1
        self.pending_audit.append((self.last_audit_id, at_ms, actor, action, subject, result, json.dumps(detail or {})))

    def events(self, after: int, most: int) -> list[Event]:
        self.write_pending_audit()
        rows = self._select("audit", AUDIT, "WHERE id > %s ORDER BY id LIMIT %s", (after, most))
        return [Event(*(json.loads(v) if i == 6 else v for i, v in enumerate(row))) for row in rows]

    def last_event(self) -> int:
        self.write_pending_audit()
        return self._last_event()

    def _last_event(self) -> int:
        return self._query_number("SELECT coalesce(max(id), 0) FROM @audit")

    def next_permit(self) -> int:
        return self.increment_counter("permit")

    @staticmethod
    def _permit(row: tuple[Any, ...]) -> Permit:
        return Permit.from_record(row[0], row[1], row[2], json.loads(row[5]))

    def permits(self, open_only: bool = False) -> list[Permit]:
        rows = self._select("permits", PERMIT, "WHERE open >= %s ORDER BY id", (int(open_only),))
        return [self._permit(row) for row in rows]

    def permit_by_key(self, holder: str, key: str) -> Permit | None:
        rows = self._select("permits", PERMIT, "WHERE holder = %s AND key = %s", (holder, key))
        return self._permit(rows[0]) if rows else None

    def put_permits(self, permits: Iterable[Permit]) -> None:
        over, kept = [], []
        for permit in permits:
            is_open = permit.phase not in (PermitPhase.ENDED, PermitPhase.WITHDRAWN)
            if permit.operation and not is_open:
                over.append(permit.id)
            else:
                kept.append((permit.id, permit.holder, permit.key, is_open, permit.ended_ms,
                             json.dumps(permit.to_record())))
        self.insert("permits", PERMIT, kept, PUT_PERMIT)
        for start in range(0, len(over), MAX_ROWS_PER_INSERT):
            part = over[start:start + MAX_ROWS_PER_INSERT]
            self.execute(f"DELETE FROM @permits WHERE id IN ({', '.join(['%s'] * len(part))})", part)

    def prune_permits(self, before_ms: int) -> None:
        self.execute("DELETE FROM @permits WHERE open = 0 AND ended_ms < %s", (before_ms,))

    def halt(self) -> Halt | None:
        rows = self._select("halts", HALT, "WHERE lifted_ms = 0 ORDER BY id DESC LIMIT 1")
        return Halt(*rows[0]) if rows else None

    def put_halt(self, halt: Halt) -> None:
        self.insert("halts", HALT, [tuple(getattr(halt, name) for name in HALT)], PUT_HALT)

    def tokens(self) -> list[TokenRow]:
        return [TokenRow(*row) for row in self._select("tokens", TOKEN, "ORDER BY name")]

    def put_token(self, token: TokenRow) -> None:
        self.insert("tokens", TOKEN, [_token_values(token)], PUT_TOKEN)

    def _version_log(self) -> tuple[str, int, int]:
        """Lineage, position and floor."""
        found = self._select("version_log", VERSION_LOG[1:], "WHERE one = 1")
        return found[0] if found else ("", 0, 0)

    def lineage(self) -> str:
        return self._version_log()[0]

    def make_lineage(self) -> str:
        found = self.lineage()
        if not found:
            found = secrets.token_hex(8)
            self.insert("version_log", VERSION_LOG, [(1, found, 0, 0)])
        return found

    @staticmethod
    def _entry(row: tuple[Any, ...]) -> Entry:
        version, scope, overlay, base, restores, actor, at_ms = row[:7]
        return Entry(version, parse_scope(scope), json.loads(overlay) if overlay else None, base, restores, actor,
                     at_ms)

    def version_change(self, since: int, lineage: str) -> Change:
        own, position, floor = self._version_log()
        if lineage == own and since == position:
            return Change(own, position, since, False, floor, ())
        whole = lineage != own or since == 0 or since < floor or since > position
        while True:
            # One statement: a commit between two statements would hide the scope whose newest version it replaced.
            rows = self.execute(
                f"SELECT l.lineage, l.position, l.floor, {', '.join(f'v.{name}' for name in VERSION)} FROM @version_log"
                " AS l LEFT JOIN @newest AS n ON n.version > %s LEFT JOIN @versions AS v ON v.version = n.version"
                " WHERE l.one = 1 ORDER BY n.version", (0 if whole else since,))
            own, position, floor = rows[0][:3] if rows else ("", 0, 0)
            if whole or lineage == own and since >= floor:
                break
            whole = True  # the log was compacted since `_version_log` was read
        entries = tuple(self._entry(row[3:]) for row in rows if row[3] is not None)
        return Change(own, position, since, whole, floor, entries)

    def newest(self, scope: Scope) -> Entry | None:
        found = self._select("versions", VERSION, "WHERE version = (SELECT version FROM @newest WHERE scope = %s)",
                              (str(scope),))
        return self._entry(found[0]) if found else None

    def version_position(self) -> int:
        return self._version_log()[1]

    def log_and_newest(self, scope: Scope) -> tuple[str, int, int, Entry | None]:
        rows = self.execute(
            f"SELECT l.lineage, l.position, l.floor, {', '.join(f'v.{name}' for name in VERSION)} FROM @version_log"
            " AS l LEFT JOIN @newest AS n ON n.scope = %s LEFT JOIN @versions AS v ON v.version = n.version"
            " WHERE l.one = 1", (str(scope),))
        if not rows:
            return "", 0, 0, None
        lineage, position, floor, *row = rows[0]
        return lineage, position, floor, self._entry(tuple(row)) if row[0] is not None else None

    def in_force(self, scopes: Sequence[Scope]) -> list[Published]:
        marks = ", ".join(["%s"] * len(scopes))
        return self._published(f"WHERE version IN (SELECT version FROM @newest WHERE scope IN ({marks}))"
                               " ORDER BY version", list(map(str, scopes)))

    def count_scopes_in_force(self) -> int:
        return self._query_number("SELECT count(*) FROM @newest")

    def _published(self, suffix: str, values: Sequence[Any]) -> list[Published]:
        newest = "(SELECT n.version FROM @newest AS n WHERE n.scope = @versions.scope)"
        return [Published(self._entry(row), row[7], row[8] == row[0])
                for row in self._select("versions", (*VERSION, newest), suffix, values)]

    def version(self, number: int) -> Published | None:
        found = self._published("WHERE version = %s", (number,))
        return found[0] if found else None

    def versions(self, before: int, most: int, scope: Scope | None = None) -> list[Published]:
        if scope is None:
            return self._published("WHERE version < %s ORDER BY version DESC LIMIT %s", (before, most))
        return self._published("WHERE scope = %s AND version < %s ORDER BY version DESC LIMIT %s",
                               (str(scope), before, most))

    def add_version(self, scope: Scope, overlay: Mapping[str, Any] | None, base: int, actor: str, at_ms: int,
                    restores: int = 0, note: str = "") -> Entry:
        one_more = "UPDATE @version_log SET position = position + 1 WHERE one = 1 RETURNING position"
        found = self.execute(one_more)
        if not found:
            self.make_lineage()
            found = self.execute(one_more)
        (number,), = found
        text = canonical_json(overlay).decode("ascii") if overlay is not None else ""
        row = (number, str(scope), text, base, restores, actor, at_ms, note)
        self.insert("versions", VERSION, [row])
        self.insert("newest", NEWEST, [(str(scope), number)], PUT_NEWEST)
        return Entry(number, scope, overlay, base, restores, actor, at_ms)

    def compact_versions(self, keep: int, before_ms: int) -> int:
        _, position, floor = self._version_log()
        beyond, values = "(version <= %s OR at_ms < %s)", (position - keep, before_ms)
        # Each scope keeps the version that was in force when the retained history begins, so that the state before
        # the first retained change is known.
        rows = self.execute(f"SELECT scope, max(version) FROM @versions WHERE {beyond} GROUP BY scope"
                        " HAVING max(version) > min(version) ORDER BY scope LIMIT %s",
                            (*values, MAX_SCOPES_PER_COMPACTION))
        gone = 0
        for scope, number in rows:
            gone += len(self.execute("DELETE FROM @versions WHERE scope = %s AND version < %s RETURNING version",
                                 (scope, number)))
        ends = self.execute("SELECT scope, version FROM @versions WHERE overlay = '' AND version IN (SELECT version"
                        f" FROM @newest) AND {beyond} ORDER BY version LIMIT %s",
                        (*values, MAX_SCOPES_PER_COMPACTION))
        for scope, number in ends:
            gone += len(self.execute("DELETE FROM @versions WHERE scope = %s RETURNING version", (scope,)))
            self.execute("DELETE FROM @newest WHERE scope = %s", (scope,))
            floor = max(floor, number)
        if ends:
            self.execute("UPDATE @version_log SET floor = %s WHERE one = 1", (floor,))
        return gone


# One statement per string. Rules turn every UPDATE and DELETE of the audit log into a no-op.
MIGRATIONS: tuple[tuple[str, ...], ...] = (
    (
        "CREATE TABLE agent_counters (name {TEXT} NOT NULL PRIMARY KEY, value {INTEGER} NOT NULL)",
        """CREATE TABLE agent_instances (
            name {TEXT} NOT NULL PRIMARY KEY, boot {TEXT} NOT NULL, pid {INTEGER} NOT NULL, version {TEXT} NOT NULL,
            zone {TEXT} NOT NULL, listen {TEXT} NOT NULL, started_ms {INTEGER} NOT NULL,
            first_seen_ms {INTEGER} NOT NULL, heard_ms {INTEGER} NOT NULL, connected {INTEGER} NOT NULL,
            generation {INTEGER} NOT NULL, desired {INTEGER} NOT NULL, ended {TEXT} NOT NULL, host {TEXT} NOT NULL,
            ticks {INTEGER} NOT NULL)""",
        """CREATE TABLE agent_operations (
            id {INTEGER} NOT NULL PRIMARY KEY, kind {TEXT} NOT NULL, fence {INTEGER} NOT NULL, phase {TEXT} NOT NULL,
            actor {TEXT} NOT NULL, policy {TEXT} NOT NULL, generation {INTEGER} NOT NULL, args {TEXT} NOT NULL,
            note {TEXT} NOT NULL, created_ms {INTEGER} NOT NULL, ended_ms {INTEGER} NOT NULL)""",
        "CREATE INDEX agent_operations_by_phase ON agent_operations (phase)",
        """CREATE TABLE agent_targets (
            operation {INTEGER} NOT NULL REFERENCES agent_operations (id), name {TEXT} NOT NULL,
            position {INTEGER} NOT NULL, state {TEXT} NOT NULL, detail {TEXT} NOT NULL, since_ms {INTEGER} NOT NULL,
            boot {TEXT} NOT NULL, command {TEXT} NOT NULL, sent_ms {INTEGER} NOT NULL, tries {INTEGER} NOT NULL,
            answered {TEXT} NOT NULL, restarting {INTEGER} NOT NULL, reverting {INTEGER} NOT NULL,
            from_generation {INTEGER} NOT NULL, PRIMARY KEY (operation, name))""",
        """CREATE TABLE agent_configurations (
            generation {INTEGER} NOT NULL PRIMARY KEY, overlay {TEXT} NOT NULL, actor {TEXT} NOT NULL,
            at_ms {INTEGER} NOT NULL, operation {INTEGER} NOT NULL REFERENCES agent_operations (id))""",
        """CREATE TABLE agent_mutations (
            actor {TEXT} NOT NULL, key {TEXT} NOT NULL, fingerprint {TEXT} NOT NULL, operation {INTEGER} NOT NULL,
            at_ms {INTEGER} NOT NULL, PRIMARY KEY (actor, key))""",
        """CREATE TABLE agent_audit (
            id {INTEGER} NOT NULL PRIMARY KEY, at_ms {INTEGER} NOT NULL, actor {TEXT} NOT NULL, action {TEXT} NOT NULL,
            subject {TEXT} NOT NULL, result {TEXT} NOT NULL, detail {TEXT} NOT NULL)""",
        "CREATE RULE agent_audit_keeps AS ON UPDATE TO agent_audit DO INSTEAD NOTHING",
        "CREATE RULE agent_audit_stays AS ON DELETE TO agent_audit DO INSTEAD NOTHING",
        """CREATE TABLE agent_tokens (
            name {TEXT} NOT NULL PRIMARY KEY, role {TEXT} NOT NULL, digest {TEXT} NOT NULL,
            created_ms {INTEGER} NOT NULL, revoked_ms {INTEGER} NOT NULL)""",
        # The store's owner: the number of the valid claim (epoch), the last write (sequence), the end of the lease.
        """CREATE TABLE agent_owner (
            one {INTEGER} NOT NULL PRIMARY KEY, epoch {INTEGER} NOT NULL, sequence {INTEGER} NOT NULL,
            holder {TEXT} NOT NULL, place {TEXT} NOT NULL, until_ms {INTEGER} NOT NULL)""",
        "INSERT INTO agent_owner (one, epoch, sequence, holder, place, until_ms) VALUES (1, 0, 0, '', '', 0)",
    ),
    (
        """CREATE TABLE agent_permits (
            id {INTEGER} NOT NULL PRIMARY KEY, holder {TEXT} NOT NULL, key {TEXT} NOT NULL, open {INTEGER} NOT NULL,
            ended_ms {INTEGER} NOT NULL, body {TEXT} NOT NULL)""",
        "CREATE UNIQUE INDEX agent_permits_by_key ON agent_permits (holder, key)",
        """CREATE TABLE agent_halts (
            id {INTEGER} NOT NULL PRIMARY KEY, actor {TEXT} NOT NULL, reason {TEXT} NOT NULL,
            at_ms {INTEGER} NOT NULL, lifted_ms {INTEGER} NOT NULL, lifted_by {TEXT} NOT NULL)""",
    ),
    (
        """CREATE TABLE agent_versions (
            version {INTEGER} NOT NULL PRIMARY KEY, scope {TEXT} NOT NULL, overlay {TEXT} NOT NULL,
            base {INTEGER} NOT NULL, restores {INTEGER} NOT NULL, actor {TEXT} NOT NULL, at_ms {INTEGER} NOT NULL,
            note {TEXT} NOT NULL)""",
        "CREATE INDEX agent_versions_by_scope ON agent_versions (scope, version)",
        # A table of its own: PostgreSQL rewrites a whole row on update, which would include the overlay.
        "CREATE TABLE agent_newest (scope {TEXT} NOT NULL PRIMARY KEY, version {INTEGER} NOT NULL)",
        "CREATE UNIQUE INDEX agent_newest_by_version ON agent_newest (version)",
        """CREATE TABLE agent_version_log (
            one {INTEGER} NOT NULL PRIMARY KEY, lineage {TEXT} NOT NULL, position {INTEGER} NOT NULL,
            floor {INTEGER} NOT NULL)""",
    ),
)
SCHEMA_VERSION = len(MIGRATIONS)


def migrations(version: int) -> list[str]:
    """The statements that upgrade a PostgreSQL schema from `version` to the current version."""
    return [with_column_types(statement, "postgresql")
            for statements in MIGRATIONS[version:] for statement in statements]
