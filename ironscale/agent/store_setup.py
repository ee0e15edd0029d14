"""Opens the agent's store as the operator file says, SQLite or PostgreSQL, and migrates data from SQLite to PostgreSQL.

The libraries of PostgreSQL are imported only if the operator file names it.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable, Iterator
from itertools import islice
from pathlib import Path
from typing import TYPE_CHECKING

import apsw

from ironscale.agent import sql
from ironscale.agent.commit_tracking import to_store_error
from ironscale.agent.sqlite import Claim, SqliteStore, connect
from ironscale.agent.store import Records, StoreError
from ironscale.agent.terms import describe_place, holder_id
from ironscale.operator_file import AgentConfig as AgentSection
from ironscale.operator_file import OperatorFileError, read_secret
from ironscale.record.database import Transaction, store_failure
from ironscale.record.errors import TransactionStep

if TYPE_CHECKING:
    from ironscale.agent.postgres import PostgresStore
    from ironscale.record.postgres import ConnectionOptions

TABLES = (("counters", sql.COUNTER), ("instances", sql.INSTANCE), ("operations", sql.OPERATION),
          ("targets", sql.TARGET), ("configurations", sql.CONFIGURATION), ("mutations", sql.MUTATION),
          ("audit", sql.AUDIT), ("tokens", sql.TOKEN), ("permits", sql.PERMIT), ("halts", sql.HALT),
          ("versions", sql.VERSION), ("newest", sql.NEWEST), ("version_log", sql.VERSION_LOG))
COPY_TIMEOUT_S = 600.0  # time limit for copying a store to PostgreSQL
COPY_BATCH_ROWS = 5_000  # rows read at a time
COPIED_COUNTER = "moved"  # counter that is set in both databases once the data has been copied
CLAIM_GRACE_S, CLAIM_RETRY_S = 2.0, 0.5  # how long to wait past the end of another agent's lease; between two attempts


def postgres_access(section: AgentSection) -> ConnectionOptions:
    """Raises OperatorFileError."""
    place = f"{section.file}: agent.postgresql"
    try:
        from ironscale.record.postgres import ConnectionOptions, SettingError, check_dsn
    except ImportError as error:
        raise OperatorFileError(f"{place}: expected the packages of ironscale[record], got {error}; "
                                "pip install 'ironscale[record]'") from None
    try:
        check_dsn(section.postgresql)
    except SettingError as error:
        raise OperatorFileError(f"{place}: expected {error}") from None
    password = read_secret(section.password_file) if section.password_file is not None else ""
    return ConnectionOptions(section.postgresql, password, 1, section.synchronous_commit)


async def open_store(section: AgentSection, data: Path, on_lost: Callable[[StoreError], None],
                     log: Callable[[str], None], at: tuple[str, str] = ("", "")) -> SqliteStore | PostgresStore:
    """Opens the store and claims it; with `standby` it is not claimed, as another agent may own it. `on_lost` is called
    on the event loop when this agent has lost the ownership. `at`: addresses of this agent's API and of its control
    listener. Raises StoreError or OperatorFileError."""
    path = data / "agent.db"
    loop = asyncio.get_running_loop()
    place = describe_place(socket.gethostname(), data, *at)
    lease_ms = int(section.term_s * 1000)

    def lost(found: StoreError) -> None:
        with contextlib.suppress(RuntimeError):  # the event loop has been closed: there is nobody to notify
            loop.call_soon_threadsafe(on_lost, found)

    if section.record is not None:
        shared = SqliteStore(section.record, claim=Claim(holder_id(data), place, lease_ms))
        shared.on_lost = lost
        if not section.standby:
            try:
                await claim_when_free(shared, lease_ms / 1000, log)
            except BaseException:
                await asyncio.to_thread(shared.close)
                raise
        return shared
    if not section.postgresql:
        store = SqliteStore(path)
        if await store.read(lambda records: as_sql_records(records).counter(COPIED_COUNTER)):
            store.close()
            raise StoreError("FAILED", f"{path}: expected a store in use, got one that was moved to PostgreSQL; name "
                                       "agent.postgresql in the operator file, or another data folder")
        return store
    access = postgres_access(section)  # before the import: if packages are missing, it raises an error of one line
    from ironscale.agent.postgres import OwnerWorker, PostgresStore

    holder = OwnerWorker(access, holder_id(data), place, lease_ms=lease_ms)
    holder.on_lost = lambda found: lost(to_store_error(found))
    holder.is_read_only = True
    kept = PostgresStore(holder)
    try:
        if section.standby:
            return kept
        await claim_when_free(kept, holder.lease_ms / 1000, log)
        if path.exists():
            await copy_to_postgres(kept, path, log)
    except BaseException:
        await asyncio.to_thread(kept.close)
        raise
    return kept


async def claim_when_free(store: SqliteStore | PostgresStore, lease_s: float, log: Callable[[str], None]) -> None:
    """Claims the store, waiting for the lease of an agent that may be gone; a live one renews its lease, and then this
    fails. Raises StoreError."""
    until, said = time.monotonic() + lease_s + CLAIM_GRACE_S, False
    while True:
        try:
            await store.claim()
            return
        except StoreError as error:
            if error.code != "LOCKED" or time.monotonic() > until:
                raise
            if not said:
                log(f"waits: {error}")
            said = True
        await asyncio.sleep(CLAIM_RETRY_S)


# From SQLite to PostgreSQL


async def copy_to_postgres(store: PostgresStore, path: Path, log: Callable[[str], None]) -> None:
    """Copies the SQLite store of the data folder to PostgreSQL, wholly or not at all, if PostgreSQL holds none yet.
    Then the file is marked, so that no agent uses it any more. Raises StoreError."""
    source = connect(path)
    try:
        own = sql.SqlRecords(Transaction(source), "sqlite")
        with store_errors(path):
            if own.counter(COPIED_COUNTER):
                return

        def work(records: Records) -> int:
            if as_sql_records(records).counter(COPIED_COUNTER):
                return 0  # an earlier start copied it and ended before it had marked the file
            if records.tokens() or records.last_event():
                return -1
            return copy_tables(source, as_sql_records(records))

        limit_s, store.owner_worker.transaction_timeout_s = store.owner_worker.transaction_timeout_s, COPY_TIMEOUT_S
        try:
            count = await store.write(work)
        finally:
            store.owner_worker.transaction_timeout_s = limit_s
        if count < 0:
            log(f"{path} is not used: {store.owner_worker.name} holds a store already")
            return
        with store_errors(path):
            own.set_counter(COPIED_COUNTER, 1)
        log(f"moved the store {path} to {store.owner_worker.name}, {count:,} rows")
    finally:
        source.close()


def as_sql_records(records: Records) -> sql.SqlRecords:
    assert isinstance(records, sql.SqlRecords)
    return records


@contextlib.contextmanager
def store_errors(path: Path) -> Iterator[None]:
    try:
        yield
    except apsw.Error as error:
        raise to_store_error(store_failure(error, TransactionStep.WORK, path)) from error


def copy_tables(source: apsw.Connection, records: sql.SqlRecords) -> int:
    """Copies all tables, in an order that satisfies the foreign keys. Returns the number of rows."""
    count = 0
    source.execute("BEGIN")
    try:
        for table, columns in TABLES:
            cursor = source.execute(f"SELECT {', '.join(columns)} FROM {table}")
            while rows := list(islice(cursor, COPY_BATCH_ROWS)):
                records.insert(table, columns, rows)
                count += len(rows)
    finally:
        source.execute("ROLLBACK")
    records.set_counter(COPIED_COUNTER, 1)
    return count
