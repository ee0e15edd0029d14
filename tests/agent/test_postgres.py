"""The agent's store in PostgreSQL: each write is stored once or known to have failed, and only the owner writes."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import random
import socket
import sys
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import pytest

from ironscale.agent import commit_tracking, store_setup
from ironscale.agent.model import Kind, Phase, Policy, State, Target
from ironscale.agent.postgres import OwnerWorker, PostgresStore
from ironscale.agent.serve import Agent, AgentError, running
from ironscale.agent.sql import SCHEMA_VERSION
from ironscale.agent.sqlite import SqliteStore, connect
from ironscale.agent.store import Configuration, Records, StoreError, TokenRow
from ironscale.agent.store_setup import open_store
from ironscale.agent.terms import holder_id
from ironscale.cli.output import CODES, Exit
from ironscale.operator_file import OperatorFileError, ServiceConfig, parse
from ironscale.record.postgres import ConnectionOptions
from ironscale.standins.postgres import Data, Drop, Host, Session, SqlError
from tests.agent.agent_harness import run, scene, section, until
from tests.agent.test_store import (
    OP,
    PUBLISHED,
    TARGET,
    ZONE_A,
    fail_midway,
    row,
    violate_unique_key,
    write_sample_rows,
)
from tests.record.postgres import StatementFault, StatementGate, dsn
from tests.sockets import run as limited

LIMIT_S = 0.4  # time limit of a transaction in tests that let one hang


@contextlib.asynccontextmanager
async def hosts(*datas: Data) -> AsyncIterator[list[Host]]:
    found = [await Host(data).start() for data in datas]
    try:
        yield found
    finally:
        for host in found:
            await host.stop()


@contextlib.asynccontextmanager
async def store_on(*on: Host, holder: str = "me", lease_ms: int = 10_000, limit_s: float = 5.0,
                   lost: Callable[[Any], None] = lambda found: None) -> AsyncIterator[PostgresStore]:
    held = OwnerWorker(ConnectionOptions(dsn(*on)), holder, f"machine of {holder}", limit_s, lease_ms)
    held.on_lost = lost
    store = PostgresStore(held)
    store.resolve_timeout_s = 5.0
    try:
        yield store
    finally:
        await asyncio.to_thread(store.close, 5.0)


def subjects(data: Data) -> list[str]:
    """The subjects in the audit log; a duplicate means that a write was stored twice."""
    return [subject for subject, in data.all("SELECT subject FROM agent_audit ORDER BY id")]


class ServerLostAtCommit:
    """Makes the server unavailable at the COMMIT of a transaction that wrote to a table, before or after it has
    committed."""

    def __init__(self, host: Host, table: str, stands: bool = True) -> None:
        self.host, self.table, self.stands = host, table, stands
        self.meant = False

    async def __call__(self, session: Session, kind: str, after: bool) -> None:
        if kind != "commit":
            return
        if not after:
            self.meant = any(self.table in sql for sql, _ in session.log)
        if self.meant and after == self.stands:
            self.host.starting = True
            self.host.wires[session.number].writer.transport.abort()
            raise Drop


def audit_line(subject: str) -> Callable[[Records], str]:
    def work(records: Records) -> str:
        records.audit(1, "ann", "did", subject, "done")
        return subject

    return work


# Stored data


def test_all_data_is_read_back_unchanged_by_the_next_agent() -> None:
    async def test() -> None:
        async with hosts(Data()) as (host,):
            async with store_on(host) as store:
                await store.write(write_sample_rows)
                await store.write(lambda r: r.set_desired([("i0", 9)]))
                await store.write(lambda r: r.put_instances([row("i0", boot="c", desired=0)]))
            async with store_on(host, holder="another") as store:
                assert await store.read(lambda r: r.instances()) == [
                    row("i0", boot="c", desired=9), row("i1", connected=False)]  # only set_desired sets that
                assert await store.read(lambda r: r.operation(1)) == OP
                assert await store.read(lambda r: r.operations(99, 9, open_only=True)) == [OP]
                assert await store.read(lambda r: r.targets(1)) == [TARGET, Target("i1", 1)]
                assert await store.read(lambda r: r.configuration(1)) == Configuration(
                    1, {"settings": {"x": None}}, "ann", 5, 1)
                assert await store.read(lambda r: r.mutation("ann", "k")) == ("f", 1)
                assert await store.read(lambda r: r.mutation("bob", "k")) is None
                assert [(e.id, e.actor, e.subject, e.detail) for e in await store.read(lambda r: r.events(0, 9))] == [
                    (1, "ann", "i0", {"x": 1})]
                assert await store.read(lambda r: r.versions(99, 9)) == PUBLISHED
                assert await store.read(lambda r: (r.alive_ms(), r.current_generation())) == (77, 1)
                assert [await store.write(lambda r: r.next_fence()) for _ in range(3)] == [1, 2, 3]
                await store.write(lambda r: r.forget_instance("i0"))
                assert [i.name for i in await store.read(lambda r: r.instances())] == ["i1"]

    run(test)


def test_writes_with_more_rows_than_one_statement_takes() -> None:
    async def test() -> None:
        async with hosts(Data()) as (host,), store_on(host) as store:
            rows = [row(f"i{n:04}") for n in range(1_201)]
            await store.write(lambda r: r.put_instances(rows))
            assert await store.read(lambda r: r.instances()) == rows
            await store.write(lambda r: r.set_desired((i.name, 3) for i in rows))
            assert {i.desired for i in await store.read(lambda r: r.instances())} == {3}

    run(test)


def test_a_failed_write_is_rolled_back_without_affecting_others_in_its_group() -> None:
    async def test() -> None:
        async with hosts(Data()) as (host,), store_on(host) as store:
            gate = host.hook = StatementGate("begin")
            first = asyncio.create_task(store.read(lambda r: r.tokens()))  # the others queue up as one group
            await gate.reached.wait()
            others = [asyncio.create_task(store.write(work)) for work in (
                lambda r: r.put_token(TokenRow("first", "read", "d", 1)), fail_midway, violate_unique_key,
                lambda r: r.put_token(TokenRow("last", "read", "d", 1)))]
            await asyncio.sleep(0)
            gate.go.set()
            await first
            results = await asyncio.gather(*others, return_exceptions=True)
            assert isinstance(results[1], ValueError)
            assert isinstance(results[2], StoreError) and results[2].code == "FAILED" and "UNIQUE" in str(results[2])
            assert [t.name for t in await store.read(lambda r: r.tokens())] == ["first", "last"]
            assert await store.read(lambda r: r.operation(1)) is None
            assert store.owner_worker.commits == 1
            # Alone in its group, its whole transaction is rolled back.
            with pytest.raises(ValueError, match="in the middle"):
                await store.write(fail_midway)
            assert [t.name for t in await store.read(lambda r: r.tokens())] == ["first", "last"]

    run(test)


def test_a_failed_write_raises_its_own_error_even_if_the_group_commit_fails() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host) as store:
            await store.write(audit_line("before"))
            gate = host.hook = StatementGate("begin")
            reading = asyncio.create_task(store.read(lambda r: r.tokens()))
            await gate.reached.wait()
            others = [asyncio.create_task(store.write(work))
                      for work in (audit_line("a"), fail_midway, audit_line("b"))]
            await asyncio.sleep(0)
            host.hook = ServerLostAtCommit(host, "agent_audit", stands=False)
            gate.go.set()
            await reading
            await until(lambda: host.starting)
            host.hook, host.starting = None, False
            results = await asyncio.gather(*others, return_exceptions=True)
            assert [type(found) for found in results] == [StoreError, ValueError, StoreError], results
            assert subjects(data) == ["before"]

    run(test)


def test_the_audit_log_is_append_only() -> None:
    async def test() -> None:
        async with hosts(Data()) as (host,), store_on(host) as store:
            await store.write(audit_line("a"))
            for statement in ("UPDATE agent_audit SET actor = 'bob'", "DELETE FROM agent_audit"):
                await store.write(lambda r, s=statement: r.execute(s))  # type: ignore[misc]
            assert [(e.actor, e.subject) for e in await store.read(lambda r: r.events(0, 9))] == [("ann", "a")]

    run(test)


def test_a_newer_schema_is_refused_and_left_unchanged() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,):
            async with store_on(host) as store:
                await store.write(audit_line("a"))
            data.db.execute("UPDATE agent_schema SET version = ?", (SCHEMA_VERSION + 4,))
            before = data.all("SELECT * FROM agent_owner")
            async with store_on(host) as store:
                expected = f"expected schema {SCHEMA_VERSION} or older, got {SCHEMA_VERSION + 4}"
                with pytest.raises(StoreError, match=expected) as found:
                    await store.write(audit_line("b"))
            assert found.value.code == "NEWER" and data.all("SELECT * FROM agent_owner") == before

    run(test)


def test_a_failed_schema_creation_leaves_no_tables() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host) as store:
            host.hook = StatementFault("ddl", SqlError("53100", "no space left on device"), after=True, times=5)
            for _ in range(4):
                with pytest.raises(StoreError) as found:
                    await store.write(audit_line("a"))
                assert found.value.code == "FULL"
                assert data.all("SELECT name FROM sqlite_schema WHERE name LIKE 'agent%'") == []
            host.hook = None
            await store.write(audit_line("a"))
            assert subjects(data) == ["a"]

    run(test)


# Ownership


def test_a_second_agent_can_claim_the_store_only_after_the_lease_of_the_first_expired() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host, holder="one") as first:
            await first.write(audit_line("a"))
            async with store_on(host, holder="two") as second:
                expected = "machine of one owns this store, for at least [0-9.]+ s more"
                with pytest.raises(StoreError, match=expected) as found:
                    await second.write(audit_line("b"))
                assert found.value.code == "LOCKED"
                data.skew_ms += 9_000
                await first.write(audit_line("c"))  # renews the lease
                data.skew_ms += 9_000
                with pytest.raises(StoreError):
                    await second.write(audit_line("b"))
                data.skew_ms += 1_001
                await second.write(audit_line("d"))
                with pytest.raises(StoreError, match="machine of two has taken over this store") as found:
                    for _ in range(2):  # first its claim is found void, then the new owner is read
                        with contextlib.suppress(StoreError):
                            await first.write(audit_line("e"))
                    await first.write(audit_line("e"))
                assert found.value.code == "TAKEN"
                with pytest.raises(StoreError):
                    await first.read(lambda r: r.tokens())  # permanent, even if the other agent ends
            assert subjects(data) == ["a", "c", "d"]

    run(test)


def test_no_wait_after_a_clean_shutdown_or_on_the_data_folder_of_a_killed_agent() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,):
            async with store_on(host, holder="one") as store:
                await store.write(audit_line("a"))
            async with store_on(host, holder="two") as store:
                await store.write(audit_line("b"))
                async with store_on(host, holder="two") as again:  # its data folder lock shows that the first has gone
                    await again.write(audit_line("c"))
            assert subjects(data) == ["a", "b", "c"]

    run(test)


def test_only_one_of_two_concurrent_claims_succeeds() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,):
            async with store_on(host, holder="none") as store:
                await store.write(audit_line("a"))
            gate = host.hook = StatementGate("update", times=1)  # delays the first agent's claim
            async with store_on(host, holder="one") as first, store_on(host, holder="two") as second:
                slow = asyncio.create_task(first.write(audit_line("one")))
                await gate.reached.wait()
                await second.write(audit_line("two"))
                gate.go.set()
                with pytest.raises(StoreError) as found:
                    await slow
                assert found.value.code == "LOCKED"
            assert subjects(data) == ["a", "two"]

    run(test)


# Connections that break


async def measure_connection_bytes(host: Host) -> tuple[int, int]:
    """Bytes sent to and received from the server by a connection that opens, claims the store and writes a line."""
    host.bytes.clear()
    async with store_on(host) as store:
        await store.write(audit_line("measured"))
    return host.bytes[0]


@pytest.mark.parametrize("direction", ["in", "out"])
def test_with_the_connection_cut_at_any_byte_a_write_is_stored_once_or_reported_as_failed(direction: str) -> None:
    """Cuts the connection of the first write at every EVERY-th byte, from the start-up and the claim on. The next
    connection has to find out whether the write was committed."""
    async def test() -> None:
        async with hosts(Data()) as (host,):
            await measure_connection_bytes(host)
            total = (max(await measure_connection_bytes(host)) if direction == "out"
                     else (await measure_connection_bytes(host))[0])
        told: dict[str, int] = {"kept": 0, "not kept": 0, "kept, seen later": 0}
        step = int(os.environ.get("EVERY", "17"))
        for place in range(random.Random(place_seed := 5).randrange(step), total + 1, step):
            data = Data()
            async with hosts(data) as (host,):
                async with store_on(host) as store:
                    await store.write(audit_line("before"))
                host.cut = lambda number, place=place: (direction, place) if number == 2 else None
                async with store_on(host) as store:
                    try:
                        assert await store.write(audit_line("it")) == "it"
                        kept = True
                        told["kept, seen later" if store.owner_worker.claims > 1 else "kept"] += 1
                    except StoreError as error:
                        assert error.code in ("AWAY", "FAILED"), (place, error)
                        kept = False
                        told["not kept"] += 1
                    assert subjects(data) == ["before", *(["it"] if kept else [])], (place, place_seed)
                    try:
                        await store.write(audit_line("after"))
                    except StoreError:  # the connection was cut after the first write
                        await store.write(audit_line("after"))
                assert subjects(data) == ["before", *(["it"] if kept else []), "after"], place
        assert told["kept"] and told["not kept"], told
        assert direction == "in" or told["kept, seen later"], told

    limited(test, 600)  # EVERY=1 takes two minutes


@pytest.mark.parametrize("stands", [True, False])
def test_the_outcome_of_an_unknown_write_is_reported_before_any_other_write(stands: bool) -> None:
    """The server becomes unavailable at COMMIT, before or after it has committed, and returns only after the caller got
    the error UNKNOWN."""
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host) as store:
            await store.write(audit_line("before"))
            store.resolve_timeout_s = 0.1
            heard: list[str] = []

            host.hook = ServerLostAtCommit(host, "agent_audit", stands)
            with pytest.raises(StoreError, match="whether it was committed is not known yet") as found:
                await store.write(audit_line("it"), heard.append)
            assert found.value.code == "UNKNOWN" and heard == []
            host.hook = None
            with pytest.raises(StoreError, match="no writes are accepted until it is") as found:
                await store.write(audit_line("next"))
            assert found.value.code == "AWAY"
            host.starting = False
            await until(lambda: store.resolving is None)
            assert heard == (["it"] if stands else [])
            await store.write(audit_line("after"))
            assert subjects(data) == ["before", *heard, "after"] and store.late_commits == stands

    run(test)


def test_a_write_queued_behind_an_interrupted_one_is_not_mistaken_for_it() -> None:
    """If the queued write were run, its higher number would make the interrupted one look committed."""
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host) as store:
            await store.write(audit_line("before"))
            reached, go = asyncio.Event(), asyncio.Event()

            async def script(session: Session, kind: str, after: bool) -> None:
                if kind == "commit" and not reached.is_set():
                    reached.set()
                    await go.wait()
                    raise Drop  # it never ran

            host.hook = script
            first = asyncio.create_task(store.write(audit_line("it")))
            await reached.wait()
            behind = asyncio.create_task(store.write(audit_line("behind")))  # queued for the next group
            await asyncio.sleep(0)
            go.set()
            results = await asyncio.gather(first, behind, return_exceptions=True)
            assert [isinstance(r, StoreError) and r.code for r in results] == ["AWAY", "AWAY"], results
            assert "nothing more is written till then" in str(results[1])
            await store.write(audit_line("after"))
            assert subjects(data) == ["before", "after"]

    run(test)


def test_a_write_is_refused_at_once_while_an_outcome_is_unknown() -> None:
    """Such a write was prepared without knowing the outcome, and could undo the earlier one if it ran later."""
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host) as store:
            await store.write(audit_line("before"))
            gate = StatementGate("update")

            async def script(session: Session, kind: str, after: bool) -> None:
                if kind == "commit" and after and not script_struck:
                    script_struck.append(1)
                    host.wires[session.number].writer.transport.abort()
                elif script_struck:
                    await gate(session, kind, after)

            script_struck: list[int] = []
            host.hook = script
            first = asyncio.create_task(store.write(audit_line("it")))
            await gate.reached.wait()  # the claim that finds out the outcome
            with pytest.raises(StoreError, match="no writes are accepted until it is"):
                await asyncio.wait_for(store.write(audit_line("meanwhile")), 1.0)
            gate.go.set()
            assert await first == "it"
            assert subjects(data) == ["before", "it"]

    run(test)


def test_the_outcome_of_a_delayed_commit_is_awaited() -> None:
    """The server delays COMMIT past the agent's time limit, and commits while the agent resolves the outcome."""
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host, limit_s=LIMIT_S) as store:
            await store.write(audit_line("before"))
            gate = host.hook = StatementGate("commit")
            writing = asyncio.create_task(store.write(audit_line("it")))
            await gate.reached.wait()
            await until(lambda: store.owner_worker.watchdog.timeouts == 1)
            assert not writing.done()
            gate.go.set()
            assert await writing == "it"
            assert subjects(data) == ["before", "it"] and store.owner_worker.claims == 2

    run(test)


def test_a_transaction_delayed_past_the_next_claim_changes_nothing() -> None:
    """The server holds up the transaction before it has checked the epoch, and continues it after the next claim."""
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host, limit_s=LIMIT_S) as store:
            await store.write(audit_line("before"))
            gate = host.hook = StatementGate("update")
            with pytest.raises(StoreError) as found:
                await store.write(audit_line("it"))
            assert found.value.code == "AWAY"
            await store.write(audit_line("after"))
            gate.go.set()
            await asyncio.sleep(0.05)
            await store.write(audit_line("last"))
            assert subjects(data) == ["before", "after", "last"]

    run(test)


def test_a_hanging_server_ends_in_a_timeout() -> None:
    async def test() -> None:
        async with hosts(Data()) as (host,), store_on(host, limit_s=LIMIT_S) as store:
            await store.write(audit_line("before"))
            for kind in ("begin", "insert", "select"):
                gate = host.hook = StatementGate(kind)
                with pytest.raises(StoreError) as found:
                    await store.write(audit_line(kind))
                assert found.value.code == "AWAY", kind
                gate.go.set()
            host.hook = None
            await store.write(audit_line("after"))

    run(test)


def test_a_server_that_never_answers_is_reported() -> None:
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as silent:
            host = Host()
            host.port = silent.getsockname()[1]
            async with store_on(host, limit_s=LIMIT_S) as store:
                with pytest.raises(StoreError) as found:
                    await store.write(audit_line("it"))
                assert found.value.code == "AWAY" and f":{host.port}" in str(found.value)

    run(test)


def test_a_claim_whose_answer_is_lost_is_made_again() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host) as store:
            await store.write(audit_line("before"))
            await host.end_sessions()
            host.hook = StatementFault("update", after=True)  # executed, but the answer is lost
            with pytest.raises(StoreError):
                await store.write(audit_line("lost"))
            await store.write(audit_line("after"))
            assert subjects(data) in (["before", "after"], ["before", "lost", "after"])
            assert store.owner_worker.epoch == data.all("SELECT epoch FROM agent_owner")[0][0]

    run(test)


# Failover


def test_the_agent_continues_on_a_failover_server_with_all_writes() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data, data) as (one, two), store_on(one, two) as store:
            await store.write(audit_line("a"))
            one.read_only = True
            with contextlib.suppress(StoreError):
                await store.write(audit_line("b"))
            await store.write(audit_line("c"))
            assert subjects(data)[-1] == "c" and store.owner_worker.ownership_loss is None
            assert len(two.sessions) == 1

    run(test)


def test_a_failover_that_lost_confirmed_writes_ends_the_agent_and_raises_the_fences() -> None:
    async def test() -> None:
        data = Data()
        lost: list[Any] = []
        async with hosts(data) as (one,), store_on(one, lost=lost.append) as store:
            fence = await store.write(lambda r: r.next_fence())
            lineage = await store.write(lambda r: r.make_lineage())
            late = data.copy()
            assert await store.write(lambda r: r.next_fence()) == fence + 1  # confirmed after the copy was made
            await one.stop()
            two = await Host(late).start(one.port)
            try:
                with pytest.raises(StoreError, match="expected 3 writes, as it had confirmed, got 2") as found:
                    await store.write(audit_line("b"))
                assert found.value.code == "LESS" and [str(f) for f in lost] == [str(found.value)]
                with pytest.raises(StoreError):
                    await store.write(audit_line("c"))
                async with store_on(two, holder="next") as following:  # the lease has ended
                    assert await following.write(lambda r: r.next_fence()) > fence + 1
                    # A published version may be lost and its number issued again, so the log gets a new lineage.
                    assert await following.read(lambda r: r.lineage()) not in ("", lineage)
                assert subjects(late) == []
            finally:
                await two.stop()

    run(test)


def test_returning_to_the_old_server_after_a_failover_is_detected_as_data_loss() -> None:
    """Split brain: writes confirmed by the new server are missing on the old one."""
    async def test() -> None:
        data = Data()
        async with hosts(data) as (old,), store_on(old) as store:
            await store.write(audit_line("a"))
            new = await Host(data.copy()).start()
            try:
                store.owner_worker.settings["port"] = str(new.port)
                await old.end_sessions()
                with contextlib.suppress(StoreError):
                    await store.write(audit_line("b"))
                await store.write(audit_line("c"))
                assert subjects(new.data)[-1] == "c"
                store.owner_worker.settings["port"] = str(old.port)
                await new.end_sessions()
                with pytest.raises(StoreError) as found:
                    for _ in range(2):
                        await store.write(audit_line("d"))
                assert found.value.code == "LESS" and subjects(data) == ["a"]
            finally:
                await new.stop()

    run(test)


# Random faults


@pytest.mark.parametrize("seed", [int(s) for s in os.environ.get("SEEDS", "1,2,3,4,5,6").split(",")])
def test_with_random_faults_reported_outcomes_match_the_stored_data(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Random disconnects, stalls, errors and lost replies. Each write is reported as committed, failed or unknown. The
    audit log holds the committed ones once, none of the failed ones, and of the unknown ones exactly those that were
    reported as committed later."""
    monkeypatch.setattr(commit_tracking, "RESOLVE_RETRY_S", 0.01)

    async def test() -> None:
        rng, data = random.Random(seed), Data()
        kept: set[str] = set()
        never: set[str] = set()
        unknown: set[str] = set()
        heard: list[str] = []

        async def weather(session: Session, kind: str, after: bool) -> None:
            dice = rng.random() * (0.2 if kind == "commit" else 1.0)
            if dice < 0.015:
                host.wires[session.number].writer.transport.abort()
            elif dice < 0.02:
                raise SqlError("57P01", "terminating connection due to administrator command", "FATAL")
            elif dice < 0.025 and not after:
                raise SqlError("40001", "could not serialize access")
            elif dice < 0.028:
                await asyncio.sleep(1.2 * LIMIT_S)

        async with hosts(data) as (host,), store_on(host, limit_s=LIMIT_S) as store:
            store.resolve_timeout_s = 0.02
            await store.write(audit_line("first"))
            host.hook = weather

            async def client(name: int) -> None:
                done = 0
                for n in itertools.count():
                    if done == 6:
                        return
                    subject = f"{name}.{n}"
                    try:
                        await store.write(audit_line(subject), heard.append)
                        kept.add(subject)
                        done += 1
                    except StoreError as error:
                        (unknown if error.code == "UNKNOWN" else never).add(subject)
                        await asyncio.sleep(0.01)

            await asyncio.gather(*(client(name) for name in range(4)))
            host.hook = None
            await until(lambda: store.resolving is None)
            await store.write(audit_line("last"))
        found = subjects(data)
        assert len(found) == len(set(found)), seed
        assert set(found) == {"first", "last"} | kept | set(heard), seed
        assert set(heard) <= unknown and not never & set(found), seed
        print(f"seed {seed}: {len(kept)} kept, {len(never)} not, {len(unknown)} not known, {len(heard)} heard of")

    run(test)


# An agent on the store


@pytest.mark.parametrize("stands", [True, False])
def test_an_operation_with_an_unknown_start_runs_only_if_it_was_committed(
    tmp_path: Path, stands: bool
) -> None:
    async def test() -> None:
        async with hosts(Data()) as (host,), scene(tmp_path, postgresql=dsn(host)) as s:
            store = s.engine.store
            assert isinstance(store, PostgresStore)
            store.resolve_timeout_s = 0.1
            await s.start_many(3)
            host.hook = ServerLostAtCommit(host, "agent_operations", stands)
            with pytest.raises(StoreError) as found:
                await s.begin(key="k")
            assert found.value.code == "UNKNOWN"
            assert s.engine.live_operations == {} and all(i.effects == [] for i in s.instances.values())
            host.hook, host.starting = None, False
            await until(lambda: store.resolving is None)
            assert list(s.engine.live_operations) == ([1] if stands else [])
            # Repeated with its key there is one operation, whether or not the first attempt was committed.
            ident = await s.begin(key="k")
            op, targets = await s.end(ident)
            assert ident == 1 and op.phase is Phase.SUCCEEDED and {t.state for t in targets} == {State.APPLIED}
            assert all(i.effects == ["generation 1"] for i in s.instances.values())
            lines = [(e.subject, e.result) for e in await s.engine.events(0, 99) if e.action == "reconfigure"]
            assert lines.count(("operation 1", "begun")) == 1 and lines.count(("operation 1", "succeeded")) == 1

    run(test)


def test_a_pause_with_an_unknown_outcome_takes_effect_once_it_proves_committed(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosts(Data()) as (host,), scene(tmp_path, postgresql=dsn(host)) as s:
            store = s.engine.store
            assert isinstance(store, PostgresStore)
            store.resolve_timeout_s = 0.1
            await s.start_many(2)
            s.instances["i0000"].open = 1  # the first wave does not end
            ident = await s.begin(Kind.DRAIN, policy=Policy(wave=1))
            await until(lambda: s.instances["i0000"].draining)
            host.hook = ServerLostAtCommit(host, "agent_operations")
            with pytest.raises(StoreError) as found:
                await s.engine.control("ann", ident, "pause")
            assert found.value.code == "UNKNOWN"
            host.hook, host.starting = None, False
            await until(lambda: store.resolving is None)
            assert s.engine.live_operations[ident].op.phase is Phase.PAUSED
            kept = await store.read(lambda r: r.operation(ident))
            assert kept is not None and kept.phase is Phase.PAUSED

    run(test)


def test_operators_get_an_error_code_while_instances_continue(tmp_path: Path) -> None:
    """With an unreachable server, or one lost during a commit, queries that need only memory are still answered."""
    async def test() -> None:
        async with hosts(Data()) as (host,), scene(tmp_path, postgresql=dsn(host)) as s:
            store = s.engine.store
            assert isinstance(store, PostgresStore)
            store.resolve_timeout_s = 0.1
            await s.start_many(2)
            mutation = 'mutation { createToken(name: "t", role: READ) { secret } }'

            async def code() -> str:
                found: str = (await s.ask(mutation))["errors"][0]["extensions"]["code"]
                return found

            gone = ServerLostAtCommit(host, "agent_tokens")
            host.starting = True
            await host.end_sessions()
            assert await code() == "STORE_AWAY"
            host.starting = False
            host.hook = gone
            await until(lambda: host.sessions)
            assert await code() == "STORE_UNKNOWN"
            listed = await s.ask("{ instances(first: 9) { edges { node { name } } } }")
            assert len(listed["data"]["instances"]["edges"]) == 2
            assert CODES["STORE_UNKNOWN"] is Exit.NO_AGENT
            host.hook, host.starting = None, False
            await until(lambda: store.resolving is None)
            # The token was committed, so the agent knows it, although its secret was returned to nobody.
            await until(lambda: any(token.name == "t" for token in s.agent.tokens))
            assert await code() == "CONFLICT"

    run(test)


def test_an_interrupted_commit_of_a_read_does_not_block_writes() -> None:
    """A read changes nothing, so there is no outcome to resolve."""
    async def test() -> None:
        async with hosts(Data()) as (host,), store_on(host) as store:
            await store.write(lambda r: r.set_alive_ms(1))

            async def cut(session: Session, kind: str, after: bool) -> None:
                if kind == "commit":
                    host.hook = None
                    host.wires[session.number].writer.transport.abort()

            host.hook = cut
            with pytest.raises(StoreError):
                await store.read(lambda r: r.alive_ms())
            await store.write(lambda r: r.set_alive_ms(2))
            assert await store.read(lambda r: r.alive_ms()) == 2 and store.resolving is None

    run(test)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_rollout_with_random_faults_has_every_effect_once_and_a_correct_log(tmp_path: Path, seed: int) -> None:
    async def test() -> None:
        rng = random.Random(seed)

        async def weather(session: Session, kind: str, after: bool) -> None:
            dice = rng.random()
            if dice < (0.15 if kind == "commit" else 0.01):
                host.wires[session.number].writer.transport.abort()
                if rng.random() < 0.5:
                    raise SqlError("57P01", "terminating connection due to administrator command", "FATAL")

        async with hosts(Data()) as (host,), scene(tmp_path, seed, postgresql=dsn(host)) as s:
            store = s.engine.store
            assert isinstance(store, PostgresStore)
            store.resolve_timeout_s = 0.01
            await s.start_many(20)
            host.hook = weather
            ident = 0
            while not ident:
                try:
                    ident = await s.begin(policy=Policy(wave=5, max_unavailable=3), key="one")
                except StoreError:
                    await asyncio.sleep(0.02)
            await until(lambda: ident not in s.engine.live_operations)
            host.hook = None
            op, targets = await s.end(ident)
            assert op.phase is Phase.SUCCEEDED and {t.state for t in targets} == {State.APPLIED}, (seed, op)
            assert all(i.effects == ["generation 1"] for i in s.instances.values()), seed
            await until(lambda: store.resolving is None)
            lines = [(e.subject, e.result) for e in await s.engine.events(0, 999) if e.action == "reconfigure"]
            assert len(lines) == len(set(lines)) == 22, (seed, lines)
            kept = await store.read(lambda r: (r.operation(ident), r.targets(ident)))
            assert kept == (op, targets), seed
            assert store.owner_worker.claims > 1, seed

    run(test)


def test_an_agent_that_loses_the_store_exits_and_names_the_new_owner(tmp_path: Path) -> None:
    """The agent exits as soon as it learns that another agent owns the store, and names that agent."""
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,):
            agent = Agent(section(tmp_path / "one", postgresql=dsn(host)))
            stop = asyncio.Event()
            running_one = asyncio.create_task(agent.run(stop))
            await asyncio.wait({running_one, asyncio.create_task(agent.ready.wait())},
                               return_when=asyncio.FIRST_COMPLETED)
            assert not running_one.done()
            data.skew_ms += 60_000
            async with store_on(host, holder="two") as store:
                with contextlib.suppress(StoreError):
                    await store.write(audit_line("taken"))  # fails if the first agent has just renewed its lease
                data.skew_ms += 60_000
                await store.write(audit_line("taken"))
                with pytest.raises(StoreError, match="the agent of machine of two has taken over this store") as found:
                    await running_one
                assert found.value.code == "TAKEN"
                names = [t.name for t in await store.read(lambda r: r.tokens())]
            assert names == ["admin", "instance"]

    run(test)


def test_an_agent_on_another_folder_waits_for_the_lease_and_needs_the_previous_tokens(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,):
            async with running(section(tmp_path / "one", postgresql=dsn(host))) as one:
                monkeypatch.setattr(store_setup, "CLAIM_GRACE_S", -9.5)
                with pytest.raises(StoreError, match=f"the agent of {socket.gethostname()}, {tmp_path}/one owns this"):
                    async with running(section(tmp_path / "two", postgresql=dsn(host))):
                        pass
                said: list[str] = []
                monkeypatch.setattr(Agent, "log", lambda agent, text: said.append(text))
                assert one.ready.is_set()
            # As after a kill: the lease has not ended yet.
            data.db.execute("UPDATE agent_owner SET until_ms = store_now_ms() + 1200")
            monkeypatch.setattr(store_setup, "CLAIM_GRACE_S", 2.0)
            async with running(section(tmp_path / "two", postgresql=dsn(host))):
                assert [text[:6] for text in said if "owns this store" in text] == ["waits:"]
                assert len([text for text in said if "expected the token that the store knows" in text]) == 2
            with pytest.raises(AgentError, match=r"two/instance\.token: expected the token that the store knows"):
                service = ServiceConfig("app", 1, tmp_path / "app.json")
                async with running(section(tmp_path / "two", postgresql=dsn(host), services=(service,))):
                    pass

    run(test)


# Copying from SQLite


async def filled_sqlite_store(path: Path, count: int = 30) -> SqliteStore:
    store = SqliteStore(path)

    def work(r: Records) -> None:
        r.put_instances([row(f"i{n}", desired=3) for n in range(count)])
        r.put_operation(OP)
        r.put_targets(1, [TARGET, Target("i1", 1)])
        r.add_configuration(Configuration(1, {"settings": {"x": None}}, "ann", 5, 1))
        r.add_mutation("ann", "k", "f", 1, 6)
        for n in range(count):
            r.audit(n, "ann", "drain", f"i{n}", "applied", {"n": n})
        r.put_token(TokenRow("t", "read", "d", 1))
        r.add_version(ZONE_A, {"settings": {"x": 1}}, 0, "ann", 7, note="first")
        r.add_version(ZONE_A, None, 1, "ann", 8)
        for _ in range(41):
            r.next_fence()

    await store.write(work)
    return store


def ignore_ownership_loss(found: Any) -> None:
    """Callback for the loss of the ownership, which doesn't happen here."""


def read_everything(r: Records) -> list[Any]:
    return [r.instances(), r.operations(99, 99), r.targets(1), r.configuration(1), r.mutation("ann", "k"),
            r.events(0, 99), r.tokens(), r.alive_ms(), r.current_generation(), r.versions(99, 9), r.lineage(),
            r.version_change(0, ""), r.version_change(1, r.lineage())]


def test_the_sqlite_store_is_copied_once_and_not_used_afterwards(tmp_path: Path) -> None:
    said: list[str] = []

    async def test() -> None:
        store = await filled_sqlite_store(tmp_path / "agent.db")
        before = await store.read(read_everything)
        store.close()
        async with hosts(Data()) as (host,):
            where = section(tmp_path, postgresql=dsn(host))
            for _ in range(2):  # the second time there is nothing to copy
                moved = await open_store(where, tmp_path, ignore_ownership_loss, said.append)
                assert await moved.read(read_everything) == before
                assert await moved.write(lambda r: r.next_fence()) > 41
                await asyncio.to_thread(moved.close)
            assert len(said) == 1 and said[0].startswith("moved the store ") and "72 rows" in said[0], said
            with pytest.raises(StoreError, match=r"agent\.db: expected a store in use, got one that was moved"):
                await open_store(section(tmp_path), tmp_path, ignore_ownership_loss, said.append)

    run(test)


def test_a_failed_copy_changes_nothing_and_an_interrupted_one_is_not_repeated(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(commit_tracking, "RESOLVE_TIMEOUT_S", 0.3)
    said: list[str] = []

    async def test() -> None:
        (await filled_sqlite_store(tmp_path / "agent.db")).close()
        data = Data()
        async with hosts(data) as (host,):
            where = section(tmp_path, postgresql=dsn(host))
            for kind, after, times in (("insert", True, 5), ("commit", False, 2)):  # the schema exists by then
                met = 0

                async def fail(session: Session, what: str, later: bool, kind: str = kind, after: bool = after,
                               times: int = times) -> None:
                    nonlocal met
                    if (what, later) == (kind, after):
                        met += 1
                        if met >= times:
                            raise SqlError("53100", "no space left on device")

                host.hook = fail
                with pytest.raises(StoreError, match="no space left"):
                    await open_store(where, tmp_path, ignore_ownership_loss, said.append)
                tables = [name for name, in data.all("SELECT name FROM sqlite_schema WHERE name = 'agent_tokens'")]
                assert not tables or data.all("SELECT * FROM agent_tokens") == []
                host.hook = None
                store = SqliteStore(tmp_path / "agent.db")
                assert len(await store.read(lambda r: r.instances())) == 30
                store.close()
            # As after a kill between the commit and marking the file: it is not copied again, and marked now.
            moved = await open_store(where, tmp_path, ignore_ownership_loss, said.append)
            await asyncio.to_thread(moved.close)
            source = connect(tmp_path / "agent.db")
            source.execute("DELETE FROM counters WHERE name = 'moved'")
            source.close()
            moved = await open_store(where, tmp_path, ignore_ownership_loss, said.append)
            assert len(await moved.read(lambda r: r.events(0, 99))) == 30
            await asyncio.to_thread(moved.close)
            with pytest.raises(StoreError, match="was moved"):
                await open_store(section(tmp_path), tmp_path, ignore_ownership_loss, said.append)
            # A folder with a SQLite store, and a database that holds another store already.
            (await filled_sqlite_store(tmp_path / "other.db")).close()
            (tmp_path / "other").mkdir()
            (tmp_path / "other.db").rename(tmp_path / "other" / "agent.db")
            data.db.execute("DELETE FROM agent_counters WHERE name = 'moved'")
            moved = await open_store(section(tmp_path / "other", postgresql=dsn(host)), tmp_path / "other",
                                     ignore_ownership_loss, said.append)
            await asyncio.to_thread(moved.close)
            assert said[-1].endswith("holds a store already") and "is not used" in said[-1]

    run(test)


# The operator file


@pytest.mark.parametrize(("text", "expected"), [
    ('postgresql = "host=a password=x"', "F: agent.postgresql: expected a PostgreSQL connection string without a"),
    ('postgresql = "nonsense"', "F: agent.postgresql: expected a PostgreSQL connection string, got one that libpq"),
    ('password_file = "p"', "F: agent.password_file: expected postgresql to be set too, got password_file alone"),
    ('postgresql = "host=a"\nsynchronous_commit = "maybe"',
     "F: agent.synchronous_commit: expected one of on, off, local, remote_write, remote_apply, got 'maybe'"),
    ('postgresql = "host=a"\npassword_file = "none"', "none: expected a token, got No such file"),
])
def test_invalid_settings_are_reported_before_the_agent_starts(text: str, expected: str, tmp_path: Path) -> None:
    with pytest.raises(OperatorFileError) as found:
        agent = parse(f"[agent]\n{text}\n", "F", tmp_path).agent
        assert agent is not None
        store_setup.postgres_access(agent)
    assert expected in str(found.value) and "\n" not in str(found.value)


def test_missing_packages_are_reported_in_one_line(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    for name in [name for name in sys.modules if name.startswith("psycopg") or name == "ironscale.record.postgres"]:
        monkeypatch.delitem(sys.modules, name)
    monkeypatch.setitem(sys.modules, "psycopg", None)
    section_ = parse('[agent]\npostgresql = "host=a"\n', "F", tmp_path).agent
    assert section_ is not None
    with pytest.raises(OperatorFileError, match=r"F: agent\.postgresql: expected the packages of ironscale\[record\]"):
        store_setup.postgres_access(section_)


def test_the_lease_holder_is_identified_by_the_data_folder(tmp_path: Path) -> None:
    (tmp_path / "a").mkdir()
    (tmp_path / "b").mkdir()
    one = holder_id(tmp_path / "a")
    assert len(one) == 32 and holder_id(tmp_path / "a") == one != holder_id(tmp_path / "b")
