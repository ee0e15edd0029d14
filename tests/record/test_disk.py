"""A power loss, a full disk or an I/O error at every single write and sync: no confirmed record is lost, no refused one
exists, and the file can be opened again."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from pathlib import Path

import pytest

from ironscale.record import history_check
from ironscale.record.model import Entry, Row, StoreFailure, WriteOutcome
from ironscale.record.sql import COLUMNS, row
from ironscale.record.sqlite import SqliteStore
from tests.record.disk import SimulatedDisk, Vfs
from tests.record.samples import entry
from tests.record.store_clients import StoreClients

REQUESTS = 12
_names = itertools.count(1)


def open_store(disk: SimulatedDisk, checkpoint_pages: int = 12) -> tuple[SqliteStore, Vfs]:
    name = f"broken{next(_names)}"
    vfs = Vfs(name, disk)
    return SqliteStore(Path("/r.db"), vfs=name, checkpoint_pages=checkpoint_pages), vfs


async def stored_rows(store: SqliteStore) -> list[Row]:
    """All rows. Raises StoreFailure if the file cannot be read."""
    found = await store.writer.run(lambda t: [t.execute("PRAGMA integrity_check"),
                                              t.execute(f"SELECT {', '.join(COLUMNS)} FROM records")])
    assert found[0] == [("ok",)], found[0]
    return [row(values) for values in found[1]]


async def run_workload(disk: SimulatedDisk, most_s: float = 5.0) -> tuple[StoreClients, list[Entry]]:
    """Submits requests in parallel, including repeats; the disk may lose power meanwhile."""
    store, vfs = open_store(disk)
    clients, entries = StoreClients(store), []
    for i in range(REQUESTS // 3):
        several = [entry(f"{i}.{k}", "deduplicated" if k == 1 else "at_most_once", body=bytes(700 * k),
                         **({"key": f"k{i // 2}"} if k == 1 else {})) for k in range(3)]
        entries += several
        if disk.powered_off:
            break
        await asyncio.gather(*(clients.submit(one, most_s if disk.fault != "power" else 0.05) for one in several))
    if not disk.powered_off:
        async with asyncio.timeout(20):
            await clients.wait_until_resolved()
    await clients.recorder.close(0.0)
    vfs.unregister()
    return clients, entries


async def count_changes() -> int:
    disk = SimulatedDisk(1)
    clients, _ = await run_workload(disk)
    assert Counter(one.result for one in clients.reports) == {"served": REQUESTS}
    return disk.count


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_power_lost_at_every_change(seed: int) -> None:
    async def test() -> None:
        total, results = await count_changes(), Counter[str]()
        assert total > 40
        for at in range(1, total + 1):
            disk = SimulatedDisk(seed * 1000 + at, "power", at)
            clients, entries = await run_workload(disk)
            results.update(one.result for one in clients.reports)
            store, vfs = open_store(disk.after_power_loss())
            rows = await stored_rows(store)
            # query the attempts that were open at the power loss, as the next process does
            outcomes = {}
            for handle in clients.handles:
                if handle.state.outcome.value == "open":
                    found = await store.ask(handle.attempt)
                    outcomes[handle.attempt] = "never ran" if found is None else "ran"
            faults = history_check.find_violations(
                clients.reports, await stored_rows(store), {**clients.outcomes(), **outcomes}
            )
            assert faults == [], f"seed {seed}, change {at} ({disk.failed_operation})"
            assert len(rows) <= len(entries)
            assert (await store.write(entry("afterwards"))).verdict.value == "written"
            await store.close()
            vfs.unregister()
        assert results["served"] > total and results["failed"] > 0

    asyncio.run(asyncio.wait_for(test(), 200))


def test_a_connection_is_not_reused_after_a_failed_sync() -> None:
    """After a failed sync its view of the log may differ from what a recovery finds. The simulated disk keeps both
    equal, so the test checks the connection itself."""
    async def test() -> None:
        disk = SimulatedDisk(1)
        store, vfs = open_store(disk, 10_000)
        await store.write(entry())
        before = store.writer.connection
        await store.write(entry())
        assert store.writer.connection is before
        disk.fault, disk.at, disk.times = "sync", 0, 1
        with pytest.raises(StoreFailure, match="SQLITE_IOERR") as found:
            await store.write(entry("lost"))
        assert found.value.outcome is WriteOutcome.UNKNOWN
        await store.write(entry())
        assert store.writer.connection is not before
        await store.close()
        vfs.unregister()

    asyncio.run(asyncio.wait_for(test(), 30))


@pytest.mark.parametrize("fault", ["full", "io", "sync"])
@pytest.mark.parametrize("times", [1, 3])
def test_a_full_disk_and_errors_at_every_change(fault: str, times: int) -> None:
    """The process continues; each outcome becomes known, and still holds if the power fails afterwards."""
    async def test() -> None:
        total, results = await count_changes(), Counter[str]()
        for at in range(1, total + 1):
            disk = SimulatedDisk(at, fault, at, times)
            clients, _ = await run_workload(disk)
            results.update(one.result for one in clients.reports)
            for machine in (disk, disk.after_power_loss()):
                machine.fault = ""
                store, vfs = open_store(machine)
                try:
                    rows = await stored_rows(store)
                except StoreFailure as trouble:
                    assert str(trouble).count("no such table"), trouble  # the schema could not be created either
                    rows = []
                finally:
                    await store.close()
                    vfs.unregister()
                faults = history_check.find_violations(clients.reports, rows, clients.outcomes())
                assert faults == [], f"change {at} ({disk.failed_operation})"
            assert "Traceback" not in "".join(clients.lines), clients.lines
        assert results["served"] > 2 * results["refused"] > 0 and results["failed"] == 0, results

    asyncio.run(asyncio.wait_for(test(), 200))
