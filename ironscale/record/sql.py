"""The SQL statements of a store of record for both dialects. Values are only passed as parameters, never as text."""

from __future__ import annotations

from collections.abc import Callable, Generator, Sequence
from typing import Any

from ironscale.record.model import Cause, Entry, Row, StoreFailure, WriteOutcome

COLUMNS = ("attempt", "state", "request", "kind", "tenant", "key", "effect", "target", "body", "fingerprint", "answer",
           "at_ms", "until_ms", "slot")

# Unix time in milliseconds by the store's clock, as the clocks of the sidecars may differ.
NOW_MS = {
    "postgresql": "(extract(epoch FROM clock_timestamp()) * 1000)::bigint",
    "sqlite": "now_ms()",  # registered on each connection (record/database.py), as the wall clock may jump
}
TYPES = {
    "postgresql": {"TEXT": "text COLLATE \"C\"", "INTEGER": "bigint", "BLOB": "bytea"},
    "sqlite": {"TEXT": "TEXT", "INTEGER": "INTEGER", "BLOB": "BLOB"},
}
MIGRATIONS: tuple[tuple[str, ...], ...] = (
    (
        """CREATE TABLE records (
            attempt {TEXT} NOT NULL PRIMARY KEY, state {TEXT} NOT NULL, request {TEXT} NOT NULL, kind {TEXT} NOT NULL,
            tenant {TEXT} NOT NULL, key {TEXT} NOT NULL, effect {TEXT} NOT NULL, target {TEXT} NOT NULL,
            body {BLOB} NOT NULL, fingerprint {TEXT} NOT NULL, answer {BLOB} NOT NULL, at_ms {INTEGER} NOT NULL,
            until_ms {INTEGER} NOT NULL, slot {TEXT},
            CHECK (state IN ('written', 'void')), CHECK (state = 'written' OR slot IS NULL))""",
        "CREATE UNIQUE INDEX records_by_slot ON records (slot)",
        "CREATE INDEX records_by_request ON records (request)",
    ),
)
SCHEMA = len(MIGRATIONS)
_INSERT = ("INSERT INTO records (attempt, state, request, kind, tenant, key, effect, target, body, fingerprint, answer,"
           " at_ms, until_ms, slot) ")
# (attempt, request, kind, tenant, key, effect, target, body, fingerprint, answer, memory, memory, slot)
_WRITE = (_INSERT + "VALUES (%s, 'written', %s, %s, %s, %s, %s, %s, %s, %s, %s, {NOW},"
          " CASE WHEN %s = 0 THEN 0 ELSE {NOW} + %s END, %s) ON CONFLICT DO NOTHING RETURNING attempt")
# (request, kind, tenant, key): the record of this very request, which stays its own when its key may be used anew
_OWN = "(request = %s AND kind = %s AND tenant = %s AND key = %s)"
# (request, kind, tenant, key, attempt, slot, and the first four twice more)
_CONFLICTING_ROWS = ("SELECT attempt, state, fingerprint, answer,"
               f" CASE WHEN until_ms > 0 AND until_ms <= {{NOW}} AND NOT {_OWN} THEN 1 ELSE 0 END FROM records"
               f" WHERE attempt = %s OR slot = %s OR {_OWN} ORDER BY state DESC, CASE WHEN {_OWN} THEN 0 ELSE 1 END")
# (slot)
_FREE_SLOT = "UPDATE records SET slot = NULL WHERE slot = %s AND until_ms > 0 AND until_ms <= {NOW}"
# (attempt): inserts the void marker. It conflicts with a record of the attempt, as both have the same primary key.
_VOID = (_INSERT + "VALUES (%s, 'void', '', '', '', '', '', '', {EMPTY}, '', {EMPTY}, {NOW}, 0, NULL)"
         " ON CONFLICT DO NOTHING RETURNING attempt")
_BY_ATTEMPT = "SELECT state, answer FROM records WHERE attempt = %s"
_EMPTY = {"postgresql": "''::bytea", "sqlite": "x''"}


def with_column_types(statement: str, dialect: str) -> str:
    """The statement with the column types of the dialect filled in."""
    for kind, text in TYPES[dialect].items():
        statement = statement.replace(f"{{{kind}}}", text)
    return statement


Statement = tuple[str, tuple[object, ...]]


def schema_migration(name: str, table: str, lock: int, schema: int, statements: Callable[[int], Sequence[str]]
             ) -> Generator[Statement, list[tuple[Any, ...]], bool]:
    """Migrates a PostgreSQL schema to this program's version, within one transaction of the caller. The generator
    yields statements, is sent their rows and returns whether there is something to commit, so it serves synchronous and
    asynchronous connections. Raises StoreFailure if a newer program has written the schema."""
    yield "SELECT pg_advisory_xact_lock(%s)", (lock,)  # of two that start at once, the second finds the work done
    yield f"CREATE TABLE IF NOT EXISTS {table} (one bigint NOT NULL PRIMARY KEY, version bigint NOT NULL)", ()
    found = yield f"SELECT version FROM {table} WHERE one = %s", (1,)
    version = found[0][0] if found else 0
    if version > schema:
        raise StoreFailure(
            WriteOutcome.NEVER_RAN,
            Cause.UNUSABLE,
            f"{name}: expected schema {schema} or older, got {version}; "
            "start the newer program, or name another database",
            "NEWER",
        )
    if version == schema:
        return False
    for statement in statements(version):
        yield statement, ()
    yield (f"INSERT INTO {table} (one, version) VALUES (%s, %s) ON CONFLICT (one) DO UPDATE SET"
           " version = excluded.version", (1, schema))
    return True


class Dialect:
    """The statements in one dialect, "sqlite" or "postgresql"."""

    def __init__(self, name: str) -> None:
        self.name = name
        placeholders: Callable[[str], str] = (lambda text: text) if name == "postgresql" else (
            lambda text: text.replace("%s", "?"))

        def render(text: str) -> str:
            return placeholders(text.replace("{NOW}", NOW_MS[name]).replace("{EMPTY}", _EMPTY[name]))

        self.write = render(_WRITE)
        self.conflicting_rows = render(_CONFLICTING_ROWS)
        self.free_slot = render(_FREE_SLOT)
        self.void = render(_VOID)
        self.by_attempt = render(_BY_ATTEMPT)
        columns = ", ".join(COLUMNS)
        self.by_request = render(f"SELECT {columns} FROM records WHERE request = %s ORDER BY attempt")
        self.after = render(f"SELECT {columns} FROM records WHERE attempt > %s ORDER BY attempt LIMIT %s")
        self.counts = "SELECT state, kind, count(*) FROM records GROUP BY state, kind ORDER BY state DESC, kind"
        # (age): a void marker may be deleted once no connection from its time can still be open
        self.prune = render("DELETE FROM records WHERE state = 'void' AND at_ms < {NOW} - %s RETURNING attempt")

    def migrations(self, version: int) -> list[str]:
        """The statements that migrate a schema from `version` to the current one."""
        return [
            with_column_types(statement, self.name) for statements in MIGRATIONS[version:] for statement in statements
        ]


def conflicting_rows_values(entry: Entry) -> tuple[object, ...]:
    """The values of `Dialect.conflicting_rows`."""
    own = (entry.request, entry.kind, entry.tenant, entry.key)
    return (*own, entry.attempt, entry.slot, *own, *own)


def row(values: tuple[object, ...]) -> Row:
    """A Row from values in the order of COLUMNS."""
    plain = [bytes(v) if isinstance(v, memoryview) else v for v in values]
    return Row(*plain)  # type: ignore[arg-type]
