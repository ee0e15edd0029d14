"""The agent's store in SQLite: confirmed writes are durable, and failed writes are reported."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import sqlite3
import subprocess
import sys
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import apsw
import pytest

from ironscale.agent import commit_tracking
from ironscale.agent import sqlite as module
from ironscale.agent.model import Kind, Operation, Phase, Policy, State, Target
from ironscale.agent.sql import SqlRecords
from ironscale.agent.sqlite import MIGRATIONS, SCHEMA_VERSION, SqliteStore, connect
from ironscale.agent.store import Configuration, InstanceRow, Published, Records, StoreError, TokenRow
from ironscale.record.database import ConnectionFactory, Transaction
from ironscale.versions.model import Entry, parse_scope
from tests.deployed import ROOT
from tests.record.disk import SimulatedDisk, Vfs
from tests.sockets import until


def run(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 30))


def row(name: str, **changes: Any) -> InstanceRow:
    values: dict[str, Any] = {"boot": "b", "pid": 1, "version": "0", "zone": "a", "listen": "h:1", "started_ms": 5,
                              "first_seen_ms": 6, "heard_ms": 7, "connected": True, "generation": 2, "desired": 0,
                              **changes}
    return InstanceRow(name, **values)


OP = Operation(1, Kind.RECONFIGURE, 3, Phase.RUNNING, "ann", Policy(2, 1, 1, "pause", 5_000, 2), 4, {"a": [1]}, "n", 8)
TARGET = Target("i0", 0, State.NO_ANSWER, "d", 9, "b", "1.0.1", 10, 2, "applied", True, True, 3)


def write_sample_rows(r: Records) -> None:
    """Writes a row of each kind."""
    r.put_instances([row("i0", host="m", ticks=4, ended="exit 0"), row("i1", connected=False)])
    r.put_operation(OP)
    r.put_targets(1, [TARGET, Target("i1", 1)])
    r.add_configuration(Configuration(1, {"settings": {"x": None}}, "ann", 5, 1))
    r.add_mutation("ann", "k", "f", 1, 6)
    r.audit(1, "ann", "drain", "i0", "applied", {"x": 1})
    r.put_token(TokenRow("t", "read", "d", 1))
    r.add_version(parse_scope("zone=a"), {"settings": {"x": 1}}, 0, "ann", 7, note="first")
    r.add_version(parse_scope("zone=a"), None, 1, "ann", 8)
    r.add_version(parse_scope("zone=a"), {"settings": {"x": 1}}, 2, "bob", 9, restores=1)
    r.set_alive_ms(77)


ZONE_A = parse_scope("zone=a")
PUBLISHED = [Published(Entry(3, ZONE_A, {"settings": {"x": 1}}, 2, 1, "bob", 9), "", True),
             Published(Entry(2, ZONE_A, None, 1, 0, "ann", 8), "", False),
             Published(Entry(1, ZONE_A, {"settings": {"x": 1}}, 0, 0, "ann", 7), "first", False)]


def fail_midway(records: Records) -> None:
    records.put_token(TokenRow("half", "read", "d", 1))
    raise ValueError("in the middle")


def violate_unique_key(records: Records) -> None:
    """Violates a unique key."""
    records.put_operation(OP)
    for _ in range(2):
        records.add_configuration(Configuration(1, {}, "ann", 1, 1))


def test_all_data_is_read_back_unchanged_after_reopening_the_file(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "a.db")
        await store.write(write_sample_rows)
        await store.write(lambda r: r.set_desired([("i0", 9)]))
        await store.write(lambda r: r.put_instances([row("i0", boot="c", desired=0)]))
        store.close()
        store = SqliteStore(tmp_path / "a.db")
        found = await store.read(lambda r: r.instances())
        assert found == [row("i0", boot="c", desired=9), row("i1", connected=False)]  # only set_desired sets it
        assert await store.read(lambda r: r.operation(1)) == OP
        assert await store.read(lambda r: r.targets(1)) == [TARGET, Target("i1", 1)]
        kept = Configuration(1, {"settings": {"x": None}}, "ann", 5, 1)
        assert await store.read(lambda r: r.configuration(1)) == kept
        assert await store.read(lambda r: r.mutation("ann", "k")) == ("f", 1)
        assert await store.read(lambda r: r.mutation("bob", "k")) is None
        events = await store.read(lambda r: r.events(0, 9))
        assert [(e.actor, e.action, e.subject, e.result, e.detail) for e in events] == [
            ("ann", "drain", "i0", "applied", {"x": 1})]
        assert await store.read(lambda r: r.versions(99, 9)) == PUBLISHED
        assert await store.read(lambda r: (r.alive_ms(), r.current_generation())) == (77, 1)
        assert [await store.write(lambda r: r.next_fence()) for _ in range(3)] == [1, 2, 3]
        store.close()

    run(test())


def test_a_failed_write_is_rolled_back_without_affecting_others_in_its_group(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "a.db")
        results = await asyncio.gather(
            store.write(lambda r: r.put_token(TokenRow("first", "read", "d", 1))), store.write(fail_midway),
            store.write(violate_unique_key), store.write(lambda r: r.put_token(TokenRow("last", "read", "d", 1))),
            return_exceptions=True)
        assert isinstance(results[1], ValueError) and isinstance(results[2], StoreError)
        assert [t.name for t in await store.read(lambda r: r.tokens())] == ["first", "last"]
        assert await store.read(lambda r: r.operation(1)) is None
        store.close()

    run(test())


def test_writes_requested_during_a_commit_share_the_next_one(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "a.db")
        await asyncio.gather(*(store.write(lambda r: r.next_fence()) for _ in range(500)))
        assert store.writer.commits < 100
        assert await store.write(lambda r: r.next_fence()) == 501
        store.close()

    run(test())


def test_the_audit_log_is_append_only(tmp_path: Path) -> None:
    connection = connect(tmp_path / "a.db")
    records = SqlRecords(Transaction(connection), "sqlite")
    records.audit(1, "ann", "drain", "i0", "applied")
    records.write_pending_audit()
    for statement in ("UPDATE audit SET actor = 'bob'", "DELETE FROM audit"):
        with pytest.raises(apsw.ConstraintError, match="append-only"):
            connection.execute(statement)
    assert connection.execute("SELECT count(*) FROM audit").fetchone() == (1,)


def test_files_are_readable_by_their_owner_only(tmp_path: Path) -> None:
    os.umask(0o022)
    connection = connect(tmp_path / "a.db")
    connection.execute("INSERT INTO counters VALUES ('x', 1)")
    assert {path.name: oct(path.stat().st_mode & 0o777) for path in tmp_path.iterdir()} == {
        "a.db": "0o600", "a.db-wal": "0o600", "a.db-shm": "0o600"}


def test_a_file_with_a_newer_schema_is_refused_and_left_unchanged(tmp_path: Path) -> None:
    connect(tmp_path / "a.db").execute(f"PRAGMA user_version = {SCHEMA_VERSION + 4}")
    expected = f"expected schema {SCHEMA_VERSION} or older, got {SCHEMA_VERSION + 4}"
    with pytest.raises(StoreError, match=expected) as found:
        connect(tmp_path / "a.db")
    assert found.value.code == "NEWER"
    assert sqlite3.connect(tmp_path / "a.db").execute("PRAGMA user_version").fetchone() == (SCHEMA_VERSION + 4,)


def test_an_older_schema_is_migrated_and_a_failed_migration_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    SqlRecords(Transaction(connect(tmp_path / "a.db")), "sqlite").put_token(TokenRow("t", "read", "d", 1))
    monkeypatch.setattr(module, "SCHEMA_VERSION", SCHEMA_VERSION + 1)
    broken = "ALTER TABLE tokens ADD COLUMN note TEXT;\nINSERT INTO nowhere VALUES (1);\n"
    monkeypatch.setattr(module, "MIGRATIONS", (*MIGRATIONS, broken))
    with pytest.raises(StoreError, match="no such table"):
        connect(tmp_path / "a.db")
    plain = sqlite3.connect(tmp_path / "a.db")
    assert plain.execute("PRAGMA user_version").fetchone() == (SCHEMA_VERSION,)
    assert "note" not in [r[1] for r in plain.execute("PRAGMA table_info(tokens)")]
    plain.close()
    monkeypatch.setattr(module, "MIGRATIONS", (*MIGRATIONS, "ALTER TABLE tokens ADD COLUMN note TEXT;\n"))
    migrated = connect(tmp_path / "a.db")
    assert migrated.execute("SELECT name, note FROM tokens").fetchall() == [("t", None)]


def test_a_store_from_before_versions_is_migrated_with_its_data(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "SCHEMA_VERSION", 3)
    monkeypatch.setattr(module, "MIGRATIONS", MIGRATIONS[:3])
    SqlRecords(Transaction(connect(tmp_path / "a.db")), "sqlite").put_token(TokenRow("t", "read", "d", 1))
    monkeypatch.undo()
    records = SqlRecords(Transaction(connect(tmp_path / "a.db")), "sqlite")
    assert [token.name for token in records.tokens()] == ["t"]
    assert records.lineage() == "" and records.version_change(0, "").entries == ()
    assert records.add_version(ZONE_A, {}, 0, "ann", 1).version == 1


def test_a_full_disk_is_reported_without_partial_writes_and_writes_resume_with_space(tmp_path: Path) -> None:
    async def test() -> None:
        store = SqliteStore(tmp_path / "a.db")
        await store.write(lambda r: r.audit(1, "ann", "a", "b", "c"))
        pages = store.connection.pragma("page_count")
        store.connection.execute(f"PRAGMA max_page_count = {pages + 2}")
        kept = 0
        with pytest.raises(StoreError, match="full; free space") as found:
            for _ in range(200):
                await store.write(lambda r: r.audit(1, "ann", "a", "b", "c", {"x": "y" * 500}))
                kept += 1
        assert found.value.code == "FULL"
        assert len(await store.read(lambda r: r.events(0, 1_000))) == kept + 1
        store.connection.execute("PRAGMA max_page_count = 100000")
        await store.write(lambda r: r.audit(1, "ann", "a", "b", "again"))
        assert len(await store.read(lambda r: r.events(0, 1_000))) == kept + 2
        store.close()

    run(test())


def test_a_file_locked_by_another_process_is_reported(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "BUSY_TIMEOUT_MS", 50)

    async def test() -> None:
        store = SqliteStore(tmp_path / "a.db")
        other = apsw.Connection(str(tmp_path / "a.db"))
        other.execute("BEGIN IMMEDIATE")
        with pytest.raises(StoreError) as found:
            await store.write(lambda r: r.next_fence())
        assert found.value.code == "LOCKED"
        other.execute("COMMIT")
        assert await store.write(lambda r: r.next_fence()) == 1
        store.close()

    run(test())


@pytest.mark.parametrize("damage", [b"not a database at all" * 100, b"SQLite format 3\0" + b"\xff" * 4000])
def test_a_file_that_is_not_a_database_is_refused(damage: bytes, tmp_path: Path) -> None:
    (tmp_path / "a.db").write_bytes(damage)
    with pytest.raises(StoreError) as found:
        connect(tmp_path / "a.db")
    assert found.value.code in ("DAMAGED", "FAILED") and str(tmp_path / "a.db") in str(found.value)
    assert (tmp_path / "a.db").read_bytes() == damage


def test_a_missing_folder_is_reported(tmp_path: Path) -> None:
    with pytest.raises(StoreError, match="No such file") as found:
        connect(tmp_path / "none" / "a.db")
    assert found.value.code == "READ_ONLY"


def test_a_read_only_file_is_reported(tmp_path: Path) -> None:
    """A read-only connection replaces file permissions here, because those don't apply to root."""
    async def test() -> None:
        store = SqliteStore(tmp_path / "a.db")
        store.connection.execute("PRAGMA query_only = 1")
        with pytest.raises(StoreError) as found:
            await store.write(lambda r: r.next_fence())
        assert found.value.code == "READ_ONLY"
        store.close()

    run(test())


@pytest.mark.parametrize("fault", ["io", "sync", "full"])
@pytest.mark.parametrize("times", [1, 3])
def test_after_a_disk_error_at_any_write_exactly_the_confirmed_writes_are_stored(
    fault: str, times: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Injects a fault at each disk operation of twelve writes and a checkpoint. Afterwards the audit log must hold
    exactly the confirmed writes, also after a simulated power failure."""
    names = itertools.count()
    monkeypatch.setattr(commit_tracking, "RESOLVE_RETRY_S", 0.002)

    async def day(disk: SimulatedDisk) -> tuple[list[str], list[str], int]:
        """Returns the subjects that were written, those that were not, and the number of commits."""
        vfs = Vfs(f"agent{os.getpid()}.{next(names)}", disk)
        opener = ConnectionFactory(Path("/a.db"), module.migrate, vfs=vfs.name, exclusive=True)
        fault, disk.fault = disk.fault, ""
        store = SqliteStore(Path("/a.db"), opener)  # opened without faults: only writes are tested
        disk.fault = fault
        store.writer.checkpoint_pages = store.writer.max_wal_pages = 20
        kept, never, late = [], [], []
        for n in range(12):
            def work(r: Records, n: int = n) -> None:
                r.audit(n, "ann", "a", str(n), "c", {"x": "y" * 600})

            try:
                await store.write(work, lambda done, n=n: late.append(str(n)))  # type: ignore[misc]
                kept.append(str(n))
            except StoreError as error:
                if error.code != "UNKNOWN":
                    never.append(str(n))
        await until(lambda: store.resolving is None)
        store.close()
        vfs.unregister()
        return kept + late, never, store.writer.commits

    def log(disk: SimulatedDisk) -> list[str]:
        vfs = Vfs(f"agent{os.getpid()}.{next(names)}", disk)
        disk.fault = ""
        connection = ConnectionFactory(Path("/a.db"), module.migrate, vfs=vfs.name, exclusive=True).open()
        found = [subject for subject, in connection.execute("SELECT subject FROM audit ORDER BY id")]
        connection.close()
        vfs.unregister()
        return found

    async def test() -> None:
        whole = SimulatedDisk(1)
        kept, never, _ = await day(whole)
        assert never == [] and len(kept) == 12 and whole.count > 30
        told = 0
        for at in range(1, whole.count + 1):
            disk = SimulatedDisk(at, fault, at, times)
            kept, never, _ = await day(disk)
            told += len(never)
            for machine in (disk, disk.after_power_loss()):
                assert log(machine) == kept, (at, disk.failed_operation, kept, never)
        assert told > 0

    run(test())


# A program that writes in a loop and prints the number of each confirmed write: WRITER DATA [DSN].
WRITER = """
import asyncio, sys
from pathlib import Path
from ironscale.agent.store_setup import open_store
from ironscale.operator_file import AgentConfig
async def main():
    data = Path(sys.argv[1])
    store = await open_store(AgentConfig(data=data, postgresql="".join(sys.argv[2:])), data, print, print)
    while True:
        n = await store.write(lambda r: r.next_fence())
        await store.write(lambda r: r.audit(n, "w", "step", str(n), "done"))
        print(n, flush=True)
asyncio.run(main())
"""


def test_confirmed_writes_survive_a_kill_at_any_moment(tmp_path: Path) -> None:
    for turn in range(6):
        writer = subprocess.Popen([sys.executable, "-c", WRITER, str(tmp_path)], cwd=ROOT,
                                  stdout=subprocess.PIPE, text=True)
        assert writer.stdout is not None
        told = [int(writer.stdout.readline()) for _ in range(5)]
        time.sleep(0.003 * turn)
        writer.send_signal(signal.SIGKILL)
        told += [int(line) for line in writer.stdout.read().splitlines() if line]
        writer.wait()
        subjects = [r[0] for r in connect(tmp_path / "agent.db").execute("SELECT subject FROM audit")]
        assert set(map(str, told)) <= set(subjects) and len(subjects) == len(set(subjects))
