"""Stores of record: what a record costs, and how long a store's return takes to be felt. Ratios of one run.

    python -m bench.record sqlite      # one commit each, grouped, and a bare loop with the same sync as the limit
    python -m bench.record postgres    # client, protocol and stand-in together, named as such
    python -m bench.record back        # from the store's return to full service, through a sidecar
    python -m bench.record grow --to 10000000
    python -m bench.record agent       # the agent's record on both, its way from one to the other, and what comes after
"""

from __future__ import annotations

import argparse
import asyncio
import json
import secrets
import statistics
import tempfile
import time
from collections import Counter
from pathlib import Path

import apsw
import uvloop

from ironscale.operator_file import StoreConfig, StoresConfig
from ironscale.record import sqlite
from ironscale.record.database import ConnectionFactory
from ironscale.record.extension import store_extension
from ironscale.record.model import Entry, attempt_name, fingerprint, slot_of
from ironscale.record.postgres import ConnectionOptions, PostgresStore
from ironscale.record.sqlite import SqliteStore, migrate
from ironscale.standins.postgres import Host, Session, SqlError

BODY = bytes(1_000)
FILLED = 100_000  # rows of a commit, where a file is filled
FINGERPRINT = fingerprint("/api", BODY)


def entry() -> Entry:
    """A submission of 1 kB."""
    name = secrets.token_hex(8)
    return Entry(attempt_name(time.time_ns() // 1_000_000, secrets.token_bytes(10)),
                 slot_of("at_most_once", "submit", "north", "", name), name, "submit", "north", "", "at_most_once",
                 "/api", BODY, FINGERPRINT, b"{}", 0)


def line(name: str, count: int, seconds: float, took: list[float], best: float = 0.0) -> float:
    rate = count / seconds
    took.sort()
    cut = statistics.quantiles(took, n=100) if len(took) > 1 else took * 99
    share = f", {rate / best:5.2f} of the limit" if best else ""
    print(f"{name:34} {rate:9,.0f} records a second{share}; ms p50 {cut[49] * 1e3:.2f}, p99 {cut[98] * 1e3:.2f}, most "
          f"{took[-1] * 1e3:.2f}", flush=True)
    return rate


async def many(store: SqliteStore | PostgresStore, clients: int, seconds: float) -> tuple[int, float, list[float]]:
    """So many closed loops for so long."""
    loop, took = asyncio.get_running_loop(), []
    began = time.monotonic()  # the loop's own clock counts in milliseconds

    async def client() -> None:
        while (at := time.monotonic()) - began < seconds:
            await store.write(entry(), loop.time() + 30)
            took.append(time.monotonic() - at)

    await asyncio.gather(*(client() for _ in range(clients)))
    return len(took), time.monotonic() - began, took


def bare(path: Path, seconds: float, group: int) -> tuple[int, float, list[float]]:
    """A loop that does nothing but insert and commit, in the same file format, with the same sync."""
    connection = ConnectionFactory(path, migrate).open()
    connection.execute("PRAGMA wal_autocheckpoint = 1000")
    took, began, count = [], time.monotonic(), 0
    while time.monotonic() - began < seconds:
        at = time.monotonic()
        connection.execute("BEGIN IMMEDIATE")
        for _ in range(group):
            one = entry()
            connection.execute(sqlite.SQL.write, (
                one.attempt, one.request, one.kind, one.tenant, one.key, one.effect, one.target, one.body,
                one.fingerprint, one.answer, 0, 0, one.slot)).fetchall()
        connection.execute("COMMIT")
        took.append(time.monotonic() - at)
        count += group
    found = count, time.monotonic() - began, took
    connection.close()
    return found


def bench_sqlite(seconds: float, folder: Path) -> None:
    """In turns, three rounds: the machine is shared."""
    for turn in range(3):
        best = line("bare loop, a commit each", *bare(folder / f"bare{turn}.db", seconds, 1))

        async def clients(count: int, turn: int = turn, best: float = best) -> None:
            store = SqliteStore(folder / f"{count}.{turn}.db")
            await store.write(entry())
            line(f"store, {count} clients", *await many(store, count, seconds), best)
            writer = store.writer
            print(f"{'':34} {writer.written / writer.commits:9.1f} records a commit; the writer itself waited for "
                  f"copying {writer.longest_checkpoint_s * 1e3:.1f} ms at most, longest commit "
                  f"{writer.longest_commit_s * 1e3:.1f} ms")
            await store.close()

        for count in (1, 16, 256):
            uvloop.run(clients(count))
        line("bare loop, 64 a commit", *bare(folder / f"grouped{turn}.db", seconds, 64), best)


def bench_postgres(seconds: float) -> None:
    async def main() -> None:
        host = await Host().start()
        for count in (1, 8, 32):
            store = PostgresStore(ConnectionOptions(f"host=127.0.0.1 port={host.port} user=app"))
            await store.write(entry(), asyncio.get_running_loop().time() + 10)
            line(f"psycopg and stand-in, {count} clients", *await many(store, count, seconds))
            await store.close()
        await host.stop()

    print("client, protocol and the stand-in's SQLite share one process: this is no PostgreSQL server's figure")
    uvloop.run(main())


def bench_back(stall_s: float, rate: float, folder: Path) -> None:
    """Open loop through a sidecar on a store that stops answering and comes back."""
    from ironscale.standins.upstream import Peer
    from tests.record.test_store_dispatcher import SHORT_DEADLINE_CLASSES, request_message
    from tests.sockets import Scene

    async def main() -> None:
        host, peer = await Host().start(), await Peer().start()
        scene = await Scene().start(peer.entry("up-0"), **{"request-classes": SHORT_DEADLINE_CLASSES})
        target = StoreConfig("main", postgresql=f"host=127.0.0.1 port={host.port} user=app")
        section = StoresConfig("bench", ("pay",), (target,))
        loop, outcomes, views = asyncio.get_running_loop(), [], []
        stalled = asyncio.Event()
        stalled.set()

        async def hook(session: Session, kind: str, after: bool) -> None:
            await stalled.wait()

        async with store_extension(section)(scene.sidecar, lambda: None):
            began = loop.time()

            async def pay(at: float) -> None:
                status = (await scene.send(request_message(scene, "pay", BODY, remaining="2000m"))).status
                outcomes.append((at, status, loop.time() - began))

            async def view(at: float) -> None:
                await scene.call("view", remaining="2000m")
                views.append((at, loop.time() - began - at))

            async with asyncio.TaskGroup() as group:
                host.hook = hook
                for i in range(int((8 + stall_s) * rate)):
                    at = i / rate
                    await asyncio.sleep(max(0.0, began + at - loop.time()))
                    if 3 <= at < 3 + stall_s:
                        stalled.clear()
                    else:
                        stalled.set()
                    group.create_task(pay(at))
                    group.create_task(view(at))
        back = 3 + stall_s

        def share(of: list[tuple[float, int, float]]) -> float:
            return sum(status == 200 for _, status, _ in of) / max(1, len(of))

        before = share([o for o in outcomes if 1 <= o[0] < 3])
        bins = [share([o for o in outcomes if back + k / 10 <= o[0] < back + (k + 1) / 10]) for k in range(45)]
        full = next((k / 10 for k in range(len(bins) - 3) if min(bins[k:k + 3]) >= 0.95 * before), None)
        during = Counter(status for at, status, _ in outcomes if 3 <= at < back)
        calm = sorted(t for at, t in views if 1 <= at < 3)
        beside_it = sorted(t for at, t in views if 3 <= at < back)
        print(json.dumps({
            "stall_s": stall_s, "rate_per_s": rate, "served_before": round(before, 3), "during": dict(during),
            "full_service_after_s": full,
            "view_ms_p99": {"before": round(calm[int(len(calm) * 0.99)] * 1e3, 2),
                            "during": round(beside_it[int(len(beside_it) * 0.99)] * 1e3, 2)}}), flush=True)
        rows = host.data.all("SELECT count(*) FROM records WHERE state = 'written'")[0][0]
        print(f"{rows} rows for {sum(s == 200 for _, s, _ in outcomes)} served")
        await scene.sidecar.stop()
        await host.stop()
        await peer.stop()

    uvloop.run(main())


def bench_grow(to: int, seconds: float, folder: Path) -> None:
    """Single commits and lookups of a repeat at each size; filled by large commits in between."""
    path, size = folder / "grow.db", 0
    connection = ConnectionFactory(path, migrate).open()
    # the filling is not what is measured: no syncs, and the indexes' pages kept at hand
    connection.execute("PRAGMA synchronous = OFF; PRAGMA cache_size = -2000000").fetchall()
    steps = [n for n in (10_000, 100_000, 1_000_000, 3_000_000, 10_000_000) if n <= to]
    small = bytes(100)
    for step in steps:
        began = time.monotonic()
        while size < step:
            connection.execute("BEGIN IMMEDIATE")
            for _ in range(min(FILLED, step - size)):
                one = entry()
                connection.execute(sqlite.SQL.write, (
                    one.attempt, one.request, one.kind, one.tenant, one.key, one.effect, one.target, small,
                    one.fingerprint, one.answer, 0, 0, one.slot)).fetchall()
            connection.execute("COMMIT")
            size += min(FILLED, step - size)
            connection.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_PASSIVE)
        filled = time.monotonic() - began

        async def measure(step: int = step, filled: float = filled) -> None:
            store = SqliteStore(path)
            await store.write(entry())
            count, took_s, took = await many(store, 16, seconds)
            print(f"{step:>11,} rows, filled in {filled:,.0f} s, {path.stat().st_size / 1e6:,.0f} MB")
            line("  store, 16 clients", count, took_s, took)
            await store.close()

        uvloop.run(measure())
    connection.close()


def bench_agent(seconds: float, folder: Path) -> None:
    """Small writes of the agent on both kinds; a record of 20,000 lines moved; from a lost connection, and from a
    statement that never ends, to the next write that is kept."""
    from ironscale.agent.postgres import OwnerWorker
    from ironscale.agent.postgres import PostgresStore as AgentOnPostgres
    from ironscale.agent.sqlite import SqliteStore as AgentOnSqlite
    from ironscale.agent.store import Records, StoreError
    from ironscale.agent.store_setup import open_store
    from ironscale.operator_file import AgentConfig

    def small(records: Records) -> None:
        records.audit(1, "bench", "act", str(records.next_fence()), "done")

    async def figures(name: str, store: AgentOnSqlite | AgentOnPostgres, most: int) -> None:
        for clients in {1, most}:
            took: list[float] = []
            began = time.monotonic()

            async def client(until: float = began + seconds, took: list[float] = took) -> None:
                while time.monotonic() < until:
                    start = time.monotonic()
                    await store.write(small)
                    took.append(time.monotonic() - start)

            await asyncio.gather(*(client() for _ in range(clients)))
            line(f"agent on {name}, {clients} at a time", len(took), time.monotonic() - began, took)

    async def main() -> None:
        host = await Host().start()
        dsn = f"host=127.0.0.1 port={host.port} user=app"
        store = AgentOnSqlite(folder / "agent.db")
        await figures("SQLite", store, 32)
        held = OwnerWorker(ConnectionOptions(dsn), "bench", "here")
        on = AgentOnPostgres(held)
        await figures("stand-in", on, 1)  # it plays a long transaction again for each statement

        async def again(what: str) -> None:
            began = time.monotonic()
            while True:
                try:
                    await on.write(small)
                    break
                except StoreError:
                    await asyncio.sleep(0.01)
            print(f"{what:34} {time.monotonic() - began:9.2f} s to the next write that is kept", flush=True)

        for wire in list(host.wires.values()):
            wire.writer.transport.abort()
        await again("connection lost while idle")
        struck = asyncio.Event()

        async def lost(session: Session, kind: str, after: bool) -> None:
            if kind == "commit" and after and not struck.is_set():
                struck.set()
                host.wires[session.number].writer.transport.abort()

        host.hook = lost
        await again("connection lost at COMMIT")

        async def still(session: Session, kind: str, after: bool) -> None:
            if kind == "insert" and held.claims < 4:
                await asyncio.sleep(5.0)
                raise SqlError("57014", "canceling statement due to statement timeout")

        host.hook = still
        await again("a statement that never ends")
        host.hook = None
        await asyncio.to_thread(on.close)
        await host.stop()

        def fill(records: Records) -> None:
            for n in range(20_000):
                records.audit(n, "bench", "act", str(n), "done", {"x": "y" * 100})

        await store.write(fill)
        store.close()
        host = await Host().start()
        began = time.monotonic()
        dsn = f"host=127.0.0.1 port={host.port} user=app"
        moved = await open_store(AgentConfig(data=folder, postgresql=dsn), folder, print, print)
        print(f"{'moved, into the stand-in':34} {time.monotonic() - began:9.2f} s")
        await asyncio.to_thread(moved.close)
        await host.stop()

    print("with the stand-in: client, protocol and its SQLite share one process, no PostgreSQL server's figure")
    uvloop.run(main())


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=["sqlite", "postgres", "back", "grow", "agent"])
    parser.add_argument("--seconds", type=float, default=3.0, help="of each figure")
    parser.add_argument("--stall", type=float, default=10.0, help="seconds that the store says nothing (back)")
    parser.add_argument("--rate", type=float, default=150.0, help="submissions a second (back)")
    parser.add_argument("--to", type=int, default=1_000_000, help="rows (grow)")
    parser.add_argument("--folder", type=Path, help="where the files are made; else a temporary one")
    found = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=found.folder) as name:
        folder = Path(name)
        match found.what:
            case "sqlite":
                bench_sqlite(found.seconds, folder)
            case "postgres":
                bench_postgres(found.seconds)
            case "back":
                bench_back(found.stall, found.rate, folder)
            case "agent":
                bench_agent(found.seconds, folder)
            case _:
                bench_grow(found.to, found.seconds, folder)


if __name__ == "__main__":
    main()
