"""Connections cut at every byte of a write, and at random under load: the results of the clients match the store.
The same checks find each of several deliberately planted bugs."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest

from ironscale.record import history_check, recorder
from ironscale.record.model import Cause, Entry, Row, StoreFailure, WriteOutcome, WriteResult
from ironscale.record.postgres import PostgresStore, TransactionRun
from ironscale.record.sql import COLUMNS, row
from ironscale.standins.postgres import Data, Drop, Host, Session, SqlError
from tests.record.postgres import StatementGate, postgres_store
from tests.record.samples import entry
from tests.record.store_clients import StoreClients
from tests.sockets import run, until

TIMEOUT_S = 5.0


def stored_rows(data: Data) -> list[Row]:
    return [row(values) for values in data.all(f"SELECT {', '.join(COLUMNS)} FROM records")]


class OneCut:
    """Cuts only the next connection that is opened."""

    def __init__(self, direction: str, after: int) -> None:
        self.plan: tuple[str, int] | None = (direction, after)

    def __call__(self, number: int) -> tuple[str, int] | None:
        plan, self.plan = self.plan, None
        return plan


async def exchange(store: PostgresStore, host: Host) -> tuple[int, int]:
    """The number of bytes of one write on a new connection, in and out."""
    await store.connections.close()
    seen = len(host.bytes)
    assert await StoreClients(store).submit(entry(body=b"measured"), TIMEOUT_S) == "served"
    await store.connections.close()
    await until(lambda: len(host.bytes) > seen)
    return host.bytes[-1]


@pytest.mark.parametrize("effect", ["at_most_once", "deduplicated"])
@pytest.mark.parametrize("direction", ["in", "out"])
def test_cut_at_every_byte(direction: str, effect: str) -> None:
    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            clients, results = StoreClients(store), Counter[str]()
            await clients.submit(entry(), TIMEOUT_S)
            came, went = await exchange(store, host)
            total = came if direction == "in" else went
            assert total > 400
            for at in range(total):
                await store.connections.close()
                host.cut = OneCut(direction, at)
                one = entry(effect=effect, key=f"k{at}" if effect == "deduplicated" else "")
                results[await clients.submit(one, TIMEOUT_S)] += 1
            host.cut = None
            await clients.wait_until_resolved()
            rows = stored_rows(host.data)
            assert history_check.find_violations(clients.reports, rows, clients.outcomes()) == []
            # every outcome is known before the deadline; if only the reply was cut, the request is served
            assert set(results) == {"served", "refused"} and min(results.values()) > 5, results

    run(test, 120)


def test_second_cut_during_the_outcome_query() -> None:
    """The first connection is cut after the commit, and the second, which queries the outcome, at every byte."""
    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            clients = StoreClients(store)
            await clients.submit(entry(), TIMEOUT_S)
            came, went = await exchange(store, host)
            for direction, total in (("in", came), ("out", went)):
                for at in range(0, total, 12):
                    await store.connections.close()
                    second = OneCut(direction, at)
                    armed: list[OneCut] = []
                    host.cut = lambda number, armed=armed: armed[0](number) if armed else None

                    async def drop(session: Session, kind: str, after: bool, armed: list[OneCut] = armed,
                                   second: OneCut = second) -> None:
                        if kind == "commit" and not armed:
                            armed.append(second)
                            raise Drop

                    host.hook = drop
                    assert await clients.submit(entry(), TIMEOUT_S) == "refused"
            host.hook = host.cut = None
            await clients.wait_until_resolved()
            assert history_check.find_violations(clients.reports, stored_rows(host.data), clients.outcomes()) == []

    run(test, 120)


class RandomFaults:
    """Random faults from one seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.share = self.random.choice((0.05, 0.2, 0.4))
        self.calm = False

    async def __call__(self, session: Session, kind: str, after: bool) -> None:
        draw = self.random.random
        # mostly at COMMIT, where outcomes become unknown
        if self.calm or draw() > (self.share if kind == "commit" else self.share / 6):
            return
        what = self.random.choice(("drop", "late", "late", "end") if kind == "commit" else (
            "drop", "slow", "late", "error", "end"))
        if what == "drop":
            raise Drop
        if what == "slow":
            await asyncio.sleep(draw() * 0.05)
        elif what == "late":  # later than the client's deadline, then continued
            await asyncio.sleep(0.1 + draw() * 0.3)
        elif what == "error" and not (kind == "commit" and after):
            raise SqlError(self.random.choice(("40001", "40P01", "53300", "57014", "XX000")), "injected")
        elif what == "end":
            raise SqlError("57P01", "terminating connection due to administrator command", "FATAL")

    def cut(self, number: int) -> tuple[str, int] | None:
        if self.calm or self.random.random() > self.share:
            return None
        return self.random.choice(("in", "out")), 300 + self.random.randrange(2_000)


async def run_with_random_faults(clients: StoreClients, host: Host, seed: int, requests: int = 60) -> list[str]:
    """Runs many clients under random faults, then without faults until nothing is open; returns the violations."""
    await clients.submit(entry(), TIMEOUT_S)  # creates the schema
    faults = RandomFaults(seed)
    host.hook, host.cut = faults, faults.cut
    draw = random.Random(seed * 7 + 1)

    async def client(number: int) -> None:
        for i in range(requests // 6):
            name, key = f"{seed}.{number}.{i}", f"{seed}.{draw.randrange(8)}"
            one = entry(name, "deduplicated", key=key) if draw.random() < 0.5 else entry(name)
            await clients.submit(one, 0.05 + draw.random() * 0.3, tries=2)

    async with asyncio.TaskGroup() as group:
        for number in range(6):
            group.create_task(client(number))
    faults.calm = True
    async with asyncio.timeout(40):
        await clients.wait_until_resolved()
    return history_check.find_violations(clients.reports, stored_rows(host.data), clients.outcomes())


@pytest.mark.parametrize("seed", range(1, 13))
def test_random_faults(seed: int) -> None:
    async def test() -> None:
        async with postgres_store(max_connections=4) as (store, (host,)):
            clients = StoreClients(store, seed)
            faults = await run_with_random_faults(clients, host, seed)
            assert faults == [], f"seed {seed}"
            assert len(clients.reports) == 61 and "Traceback" not in "".join(clients.lines)

    run(test, 120)


# Deliberately planted bugs


class QueriesWithoutFence(PostgresStore):
    """Queries the outcome without inserting a void marker."""

    async def _ask(self, turn: TransactionRun, attempt: str) -> bytes | None:
        found = await turn.execute("SELECT state, answer FROM records WHERE attempt = %s", (attempt,))
        await turn.execute("ROLLBACK")
        return bytes(found[0][1]) if found else None


class TakesTimeoutForNeverRan(PostgresStore):
    """Treats a timeout or a lost connection as a write that never ran."""

    async def write(self, one: Entry, until: float) -> WriteResult:
        try:
            return await super().write(one, until)
        except StoreFailure as trouble:
            raise StoreFailure(WriteOutcome.NEVER_RAN, trouble.cause, str(trouble)) from None


class RetriesAfterCommit(PostgresStore):
    """After a COMMIT of unknown outcome, writes again as another attempt and reports the result of that."""

    async def write(self, one: Entry, until: float) -> WriteResult:
        try:
            return await super().write(one, until)
        except StoreFailure as trouble:
            if trouble.outcome is not WriteOutcome.UNKNOWN:
                raise
            return await super().write(replace(one, attempt=one.attempt[:-4] + "beef", slot=f"{one.slot} again"), until)


async def late_commit(store: PostgresStore, host: Host, clients: StoreClients) -> None:
    """COMMIT is held past the client's deadline, its reply is lost, and then it succeeds."""
    await clients.submit(entry(), TIMEOUT_S)
    gate = StatementGate("commit")
    host.hook = gate
    submitted = asyncio.create_task(clients.submit(entry("late"), 0.4))
    await gate.reached.wait()
    for wire in host.wires.values():
        wire.writer.transport.abort()
    await submitted
    gate.go.set()
    host.hook = None
    await clients.wait_until_resolved()
    await until(lambda: not host.data.owners)


async def lost_reply(store: PostgresStore, host: Host, clients: StoreClients) -> None:
    """COMMIT succeeds, but its reply is lost."""
    await clients.submit(entry(), TIMEOUT_S)

    async def drop(session: Session, kind: str, after: bool) -> None:
        if kind == "commit" and after:
            host.hook = None
            raise Drop

    host.hook = drop
    await clients.submit(entry("lost"), TIMEOUT_S)
    await clients.wait_until_resolved()


SCRIPTS: dict[str, Any] = {"late commit": late_commit, "lost reply": lost_reply}


@pytest.mark.parametrize(("kind", "script", "fault"), [
    (PostgresStore, "late commit", ""), (PostgresStore, "lost reply", ""),
    (QueriesWithoutFence, "late commit", "refused: late"), (TakesTimeoutForNeverRan, "lost reply", "refused: lost"),
    (TakesTimeoutForNeverRan, "late commit", "refused: late"),
    (RetriesAfterCommit, "lost reply", "written twice: r:lost"),
])
def test_planted_bugs_are_found(kind: type[PostgresStore], script: str, fault: str) -> None:
    async def test() -> None:
        async with postgres_store() as (plain, (host,)):
            store = kind(plain.access)
            clients = StoreClients(store)
            await SCRIPTS[script](store, host, clients)
            found = history_check.find_violations(clients.reports, stored_rows(host.data), clients.outcomes())
            assert bool(found) == bool(fault) and any(line.startswith(fault) for line in found or [""]), found
            await store.close()

    run(test, 60)


@pytest.mark.parametrize("kind", [QueriesWithoutFence, TakesTimeoutForNeverRan, RetriesAfterCommit])
def test_random_faults_find_planted_bugs(kind: type[PostgresStore]) -> None:
    """Shows that the random test above can fail: it finds each bug within a limited number of seeds."""
    async def test() -> None:
        for seed in range(1, 30):
            async with postgres_store(max_connections=4) as (plain, (host,)):
                store = kind(plain.access)
                faults = await run_with_random_faults(StoreClients(store, seed), host, seed)
                await store.close()
                if faults:
                    return
        raise AssertionError("it was not found in 29 seeds")

    run(test, 200)


def test_attempts_beyond_the_limit_are_refused_and_never_run(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(recorder, "MAX_OPEN_ATTEMPTS", 3)

    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            clients = StoreClients(store)
            await clients.submit(entry(), TIMEOUT_S)
            gate = StatementGate("insert", times=10)
            host.hook = gate
            held = [asyncio.create_task(clients.submit(entry(), TIMEOUT_S)) for _ in range(3)]
            await gate.reached.wait()
            assert await clients.submit(entry("beyond"), TIMEOUT_S) == "refused"
            gate.go.set()
            assert [await one for one in held] == ["served"] * 3
            assert history_check.find_violations(clients.reports, stored_rows(host.data), clients.outcomes()) == []

    run(test)


def test_a_store_that_refuses_everything_is_reported_at_once() -> None:
    class Away(PostgresStore):
        async def write(self, one: Entry, until: float) -> WriteResult:
            raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY, "full")

    async def test() -> None:
        async with postgres_store() as (plain, _):
            store = Away(plain.access)
            assert await StoreClients(store).submit(entry(), TIMEOUT_S) == "refused"
            await store.close()

    run(test)
