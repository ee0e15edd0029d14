"""From the operator file to the agent's record: SQLite in the data folder, or PostgreSQL; and from one to the other.

The libraries of PostgreSQL are loaded only where it is named.
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
from ironscale.agent.commit_tracking import told
from ironscale.agent.sqlite import Claim, SqliteStore, connect
from ironscale.agent.store import Records, StoreError
from ironscale.agent.terms import holder_of, place_of
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
MOVE_S = 600.0  # the longest that a record's way to PostgreSQL may take
AT_ONCE = 5_000  # rows read at a time
MOVED = "moved"  # in both: the record has been brought over
WAIT_S, AGAIN_S = 2.0, 0.5  # past the end of another agent's lease; between two looks


def access_of(section: AgentSection) -> ConnectionOptions:
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
    """The record, seen to be ours; with `standby` it is another's perhaps, and to be claimed. `on_lost` hears, on the
    loop, that it is ours no longer. `at`: where this agent's API and its instances are. Raises StoreError or
    OperatorFileError."""
    path = data / "agent.db"
    loop = asyncio.get_running_loop()
    place = place_of(socket.gethostname(), data, *at)
    lease_ms = int(section.term_s * 1000)

    def lost(found: StoreError) -> None:
        with contextlib.suppress(RuntimeError):  # the loop has ended: nobody has it any more
            loop.call_soon_threadsafe(on_lost, found)

    if section.record is not None:
        shared = SqliteStore(section.record, claim=Claim(holder_of(data), place, lease_ms))
        shared.on_lost = lost
        if not section.standby:
            try:
                await claimed(shared, lease_ms / 1000, log)
            except BaseException:
                await asyncio.to_thread(shared.close)
                raise
        return shared
    if not section.postgresql:
        store = SqliteStore(path)
        if await store.read(lambda records: of_sql(records).counter(MOVED)):
            store.close()
            raise StoreError("FAILED", f"{path}: expected a record in use, got one that was moved to PostgreSQL; name "
                                       "agent.postgresql in the operator file, or another data folder")
        return store
    access = access_of(section)  # first: it says in one line what is not installed
    from ironscale.agent.postgres import Holder, PostgresStore

    holder = Holder(access, holder_of(data), place, lease_ms=lease_ms)
    holder.on_lost = lambda found: lost(told(found))
    holder.follows = True
    kept = PostgresStore(holder)
    try:
        if section.standby:
            return kept
        await claimed(kept, holder.lease_ms / 1000, log)
        if path.exists():
            await moved(kept, path, log)
    except BaseException:
        await asyncio.to_thread(kept.close)
        raise
    return kept


async def claimed(store: SqliteStore | PostgresStore, lease_s: float, log: Callable[[str], None]) -> None:
    """Waits for the lease of an agent that may have gone; one that is there renews it. Raises StoreError."""
    until, said = time.monotonic() + lease_s + WAIT_S, False
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
        await asyncio.sleep(AGAIN_S)


# From SQLite to PostgreSQL


async def moved(store: PostgresStore, path: Path, log: Callable[[str], None]) -> None:
    """Brings the record of the data folder over, whole or not at all, where PostgreSQL has none; then it is marked, so
    that no agent goes on from what it holds. Raises StoreError."""
    source = connect(path)
    try:
        own = sql.SqlRecords(Transaction(source), "sqlite")
        with reported(path):
            if own.counter(MOVED):
                return

        def work(records: Records) -> int:
            if of_sql(records).counter(MOVED):
                return 0  # it was brought over by a start that ended before it had marked the file
            if records.tokens() or records.last_event():
                return -1
            return copy(source, of_sql(records))

        limit_s, store.holder.limit_s = store.holder.limit_s, MOVE_S
        try:
            count = await store.write(work)
        finally:
            store.holder.limit_s = limit_s
        if count < 0:
            log(f"{path} is not used: {store.holder.name} has a record already")
            return
        with reported(path):
            own.set_counter(MOVED, 1)
        log(f"moved the record of {path} to {store.holder.name}, {count:,} rows")
    finally:
        source.close()


def of_sql(records: Records) -> sql.SqlRecords:
    assert isinstance(records, sql.SqlRecords)
    return records


@contextlib.contextmanager
def reported(path: Path) -> Iterator[None]:
    try:
        yield
    except apsw.Error as error:
        raise told(store_failure(error, TransactionStep.WORK, path)) from error


def copy(source: apsw.Connection, records: sql.SqlRecords) -> int:
    """All rows, in the order that references ask for; how many."""
    count = 0
    source.execute("BEGIN")
    try:
        for table, columns in TABLES:
            cursor = source.execute(f"SELECT {', '.join(columns)} FROM {table}")
            while rows := list(islice(cursor, AT_ONCE)):
                records.insert(table, columns, rows)
                count += len(rows)
    finally:
        source.execute("ROLLBACK")
    records.set_counter(MOVED, 1)
    return count
