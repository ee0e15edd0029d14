"""A store of record on a failing disk, with a process that is killed: each answered request is stored exactly once."""

from __future__ import annotations

import asyncio
import signal
import sqlite3
from collections import Counter
from pathlib import Path

import pytest

from ironscale.record.journal import read_all
from tests.faults.clients import send_load
from tests.faults.ledger import Call
from tests.faults.shim import Fault
from tests.faults.site import SidecarProcess, Site
from tests.faults.test_calls import assert_clean_exit, play

OPERATOR = """[store]
classes = ["mark", "pay"]
journal = "open"
[[store.to]]
name = "main"
sqlite = "records.db"
"""
FAULTS = {
    "writes": {Fault.DISK_WRITE: 400},
    "all writes": {Fault.DISK_WRITE: 1000},
    "short writes": {Fault.DISK_SHORT: 500},
    "syncs": {Fault.DISK_SYNC: 400},
    "opens": {Fault.FILE_OPEN: 1000, Fault.THREAD: 500},
    "all of them": {Fault.DISK_WRITE: 200, Fault.DISK_SHORT: 200, Fault.DISK_SYNC: 200, Fault.RENAME: 300,
                    Fault.FILE_OPEN: 300, Fault.THREAD: 300},
}

LATE_COMMIT = "its commit was not answered in time"
MAX_ROUNDS = 5


def rows(sidecar: SidecarProcess) -> Counter[str]:
    with sqlite3.connect(sidecar.folder / "records.db") as database:
        found = database.execute("SELECT request FROM records WHERE state = 'written'").fetchall()
    database.close()
    return Counter(request for request, in found)


def store_violations(calls: dict[str, Call], written: Counter[str]) -> list[str]:
    """Finds answered requests that are not stored, refused ones that are, and those stored more than once."""
    found = [f"{txn}: written {count} times" for txn, count in written.items() if count > 1]
    for call in calls.values():
        if call.lane != "view" and call.status == 200 and not written[call.txn]:
            found.append(f"{call.txn} ({call.lane}): answered, and not in the store")
        if call.status in (429, 503) and written[call.txn]:
            found.append(f"{call.txn} ({call.lane}): refused, and in the store")
        if call.failure.startswith("lost"):
            found.append(f"{call.txn} ({call.lane}): {call.failure}")
    return found


async def start_with_store(site: Site) -> SidecarProcess:
    await site.start()
    sidecar = site.sidecars[0]
    sidecar.operator = OPERATOR
    sidecar.configure()
    sidecar.launch()
    assert await sidecar.ready(), sidecar.log()
    return sidecar


# Guards against answering a request that is not stored, refusing one that is, and leaving one unanswered.
@pytest.mark.parametrize("rates", FAULTS.values(), ids=[name.replace(" ", "-") for name in FAULTS])
@pytest.mark.parametrize("killed", [False, True], ids=["goes on", "is killed"])
def test_stored_requests_match_the_answers_while_the_disk_fails(
        tmp_path: Path, rates: dict[Fault, int], killed: bool) -> None:
    async def test(site: Site) -> None:
        sidecar = await start_with_store(site)
        job = asyncio.create_task(send_load(sidecar.clients, 2.5, 60.0))
        await asyncio.sleep(0.4)
        sidecar.shim.set(rates)
        await asyncio.sleep(1.2)
        if killed:
            sidecar.signal(signal.SIGKILL)
            await job
            sidecar.clients.close()
            sidecar.shim.set({})
            sidecar.launch()
            assert await sidecar.ready(), sidecar.log()
            for call in site.ledger.calls.values():
                call.failure = call.failure.replace("lost", "killed")  # they had no answer at the kill
            await send_load(sidecar.clients, 0.3)
        sidecar.shim.set({})
        await job
        async with asyncio.timeout(20):  # until the outcome of all open journal entries is known
            while read_all(sidecar.folder / "open")[0]:
                await asyncio.sleep(0.05)
        await assert_clean_exit(sidecar)
        assert not store_violations(site.ledger.calls, rows(sidecar)), (
            store_violations(site.ledger.calls, rows(sidecar))[:5], site.ledger.results(), sidecar.log()[-3000:])
        assert site.ledger.results()["200"] > 30, site.ledger.results()

    play(tmp_path, test)


async def send_until_stored(sidecar: SidecarProcess, number: int) -> None:
    """Sends load until more than `number` requests of one round are served. Only a commit that took too long, as the
    machine's disk stood still, excuses a round in which fewer are."""
    for _ in range(MAX_ROUNDS):
        late_commits = sidecar.log().count(LATE_COMMIT)
        calls = await send_load(sidecar.clients, 0.5)
        if sum(call.status == 200 for call in calls) > number:
            return
        assert sidecar.log().count(LATE_COMMIT) > late_commits, sidecar.log()
    raise AssertionError(sidecar.log())


# Guards against a start that gives up because the store's disk or threads fail at that moment.
def test_a_store_starts_on_a_disk_that_fails_for_a_while(tmp_path: Path) -> None:
    async def test(site: Site) -> None:
        await site.start()
        sidecar = site.sidecars[0]
        sidecar.operator = OPERATOR
        sidecar.configure()
        sidecar.shim.set({Fault.DISK_WRITE: 1000, Fault.THREAD: 1000, Fault.DISK_SYNC: 1000})
        sidecar.launch()
        await asyncio.sleep(1.5)
        sidecar.shim.set({})
        assert await sidecar.ready(), sidecar.log()
        await send_until_stored(sidecar, 10)
        await assert_clean_exit(sidecar)
        assert not store_violations(site.ledger.calls, rows(sidecar)), sidecar.log()

    play(tmp_path, test)


async def call_of_key(sidecar: SidecarProcess, key: bytes) -> Call:
    """Sends a request of a deduplicated class with a key that the test chooses."""
    plain = sidecar.clients.request

    def of_key(call: Call, left_s: float) -> bytes:
        return plain(call, left_s).replace(b"key-" + call.txn.encode(), key)

    sidecar.clients.request = of_key  # type: ignore[method-assign]
    try:
        return await sidecar.clients.call("mark")
    finally:
        sidecar.clients.request = plain  # type: ignore[method-assign]


async def first_stored(sidecar: SidecarProcess) -> tuple[bytes, Call]:
    """Sends requests of different keys until one is stored. While the disk stands still, a commit takes longer than its
    request has time for, and so may those that wait behind it; any other failure is an error."""
    for number in range(MAX_ROUNDS):
        key = b"one-key-%d" % number
        call = await call_of_key(sidecar, key)
        if call.status == 200:
            return key, call
        assert LATE_COMMIT in sidecar.log(), sidecar.log()[-3000:]
    raise AssertionError(sidecar.log()[-3000:])


# Guards against storing a keyed request twice within its memory span because the wall clock was stepped.
@pytest.mark.parametrize("seconds", [3600.0, 5.0, -3600.0])
def test_the_memory_span_of_a_keyed_request_survives_a_step_of_the_wall_clock(tmp_path: Path, seconds: float) -> None:
    async def test(site: Site) -> None:
        sidecar = await start_with_store(site)
        key, first = await first_stored(sidecar)
        sidecar.shim.step_wall_clock(seconds)
        again = await call_of_key(sidecar, key)  # well within the memory span of its class, 1.2 s
        assert (first.status, again.status) == (200, 200) and first.body == again.body, sidecar.log()[-3000:]
        await assert_clean_exit(sidecar)
        stored = rows(sidecar)
        assert (stored[first.txn], stored[again.txn]) == (1, 0)

    play(tmp_path, test)
