"""The record in PostgreSQL: kept once or known not to be, one agent at a time, and nothing behind its back."""

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
from ironscale.agent.postgres import Holder, PostgresStore
from ironscale.agent.serve import Agent, AgentError, running
from ironscale.agent.sql import SCHEMA
from ironscale.agent.sqlite import SqliteStore, connect
from ironscale.agent.store import Configuration, Records, StoreError, TokenRow
from ironscale.agent.store_setup import open_store
from ironscale.agent.terms import holder_of
from ironscale.cli.output import CODES, Exit
from ironscale.operator_file import OperatorFileError, ServiceConfig, parse
from ironscale.record.postgres import ConnectionOptions
from ironscale.standins.postgres import Data, Drop, Host, Session, SqlError
from tests.agent.agent_harness import run, scene, section, until
from tests.agent.test_store import OP, PUBLISHED, TARGET, ZONE_A, fill, half, row, twice
from tests.record.postgres import StatementFault, StatementGate, dsn
from tests.sockets import run as limited

LIMIT_S = 0.4  # a transaction's, where a test lets one hang


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
    held = Holder(ConnectionOptions(dsn(*on)), holder, f"machine of {holder}", limit_s, lease_ms)
    held.on_lost = lost
    store = PostgresStore(held)
    store.resolve_s = 5.0
    try:
        yield store
    finally:
        await asyncio.to_thread(store.close, 5.0)


def subjects(data: Data) -> list[str]:
    """The lines of the log, each once if nothing was done twice."""
    return [subject for subject, in data.all("SELECT subject FROM agent_audit ORDER BY id")]


class Vanishes:
    """The server goes away at the COMMIT of what was written to a table, before or after it has taken it."""

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


def line(subject: str) -> Callable[[Records], str]:
    def work(records: Records) -> str:
        records.audit(1, "ann", "did", subject, "done")
        return subject

    return work


# As it is kept


def test_everything_comes_back_as_it_was_also_for_the_next_agent() -> None:
    async def test() -> None:
        async with hosts(Data()) as (host,):
            async with store_on(host) as store:
                await store.write(fill)
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


def test_more_rows_than_one_statement_takes() -> None:
    async def test() -> None:
        async with hosts(Data()) as (host,), store_on(host) as store:
            rows = [row(f"i{n:04}") for n in range(1_201)]
            await store.write(lambda r: r.put_instances(rows))
            assert await store.read(lambda r: r.instances()) == rows
            await store.write(lambda r: r.set_desired((i.name, 3) for i in rows))
            assert {i.desired for i in await store.read(lambda r: r.instances())} == {3}

    run(test)


def test_a_piece_of_work_that_fails_leaves_nothing_and_takes_no_other_along() -> None:
    async def test() -> None:
        async with hosts(Data()) as (host,), store_on(host) as store:
            gate = host.hook = StatementGate("begin")
            first = asyncio.create_task(store.read(lambda r: r.tokens()))  # the others wait behind it, as one group
            await gate.reached.wait()
            others = [asyncio.create_task(store.write(work)) for work in (
                lambda r: r.put_token(TokenRow("first", "read", "d", 1)), half, twice,
                lambda r: r.put_token(TokenRow("last", "read", "d", 1)))]
            await asyncio.sleep(0)
            gate.go.set()
            await first
            results = await asyncio.gather(*others, return_exceptions=True)
            assert isinstance(results[1], ValueError)
            assert isinstance(results[2], StoreError) and results[2].code == "FAILED" and "UNIQUE" in str(results[2])
            assert [t.name for t in await store.read(lambda r: r.tokens())] == ["first", "last"]
            assert await store.read(lambda r: r.operation(1)) is None
            assert store.holder.commits == 1
            # alone in its group it is taken back as a whole
            with pytest.raises(ValueError, match="in the middle"):
                await store.write(half)
            assert [t.name for t in await store.read(lambda r: r.tokens())] == ["first", "last"]

    run(test)


def test_one_that_failed_by_itself_is_told_so_though_the_commit_of_its_group_fails_too() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host) as store:
            await store.write(line("before"))
            gate = host.hook = StatementGate("begin")
            reading = asyncio.create_task(store.read(lambda r: r.tokens()))
            await gate.reached.wait()
            others = [asyncio.create_task(store.write(work)) for work in (line("a"), half, line("b"))]
            await asyncio.sleep(0)
            host.hook = Vanishes(host, "agent_audit", stands=False)
            gate.go.set()
            await reading
            await until(lambda: host.starting)
            host.hook, host.starting = None, False
            results = await asyncio.gather(*others, return_exceptions=True)
            assert [type(found) for found in results] == [StoreError, ValueError, StoreError], results
            assert subjects(data) == ["before"]

    run(test)


def test_the_log_can_not_be_changed() -> None:
    async def test() -> None:
        async with hosts(Data()) as (host,), store_on(host) as store:
            await store.write(line("a"))
            for statement in ("UPDATE agent_audit SET actor = 'bob'", "DELETE FROM agent_audit"):
                await store.write(lambda r, s=statement: r.sql(s))  # type: ignore[misc]
            assert [(e.actor, e.subject) for e in await store.read(lambda r: r.events(0, 9))] == [("ann", "a")]

    run(test)


def test_a_newer_schema_is_refused_and_left_as_it_is() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,):
            async with store_on(host) as store:
                await store.write(line("a"))
            data.db.execute("UPDATE agent_schema SET version = ?", (SCHEMA + 4,))
            before = data.all("SELECT * FROM agent_owner")
            async with store_on(host) as store:
                with pytest.raises(StoreError, match=f"expected schema {SCHEMA} or older, got {SCHEMA + 4}") as found:
                    await store.write(line("b"))
            assert found.value.code == "NEWER" and data.all("SELECT * FROM agent_owner") == before

    run(test)


def test_a_schema_that_could_not_be_made_is_not_there_by_half() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host) as store:
            host.hook = StatementFault("ddl", SqlError("53100", "no space left on device"), after=True, times=5)
            for _ in range(4):
                with pytest.raises(StoreError) as found:
                    await store.write(line("a"))
                assert found.value.code == "FULL"
                assert data.all("SELECT name FROM sqlite_schema WHERE name LIKE 'agent%'") == []
            host.hook = None
            await store.write(line("a"))
            assert subjects(data) == ["a"]

    run(test)


# Whose it is


def test_a_second_agent_is_refused_while_the_first_is_heard_and_follows_once_it_is_not() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host, holder="one") as first:
            await first.write(line("a"))
            async with store_on(host, holder="two") as second:
                with pytest.raises(StoreError, match="machine of one has this record, for [0-9.]+ s more") as found:
                    await second.write(line("b"))
                assert found.value.code == "LOCKED"
                data.skew_ms += 9_000
                await first.write(line("c"))  # heard again
                data.skew_ms += 9_000
                with pytest.raises(StoreError):
                    await second.write(line("b"))
                data.skew_ms += 1_001
                await second.write(line("d"))
                with pytest.raises(StoreError, match="machine of two has taken this record over") as found:
                    for _ in range(2):  # its claim is seen to be void, then whose it is
                        with contextlib.suppress(StoreError):
                            await first.write(line("e"))
                    await first.write(line("e"))
                assert found.value.code == "TAKEN"
                with pytest.raises(StoreError):
                    await first.read(lambda r: r.tokens())  # for good, though the other one may end
            assert subjects(data) == ["a", "c", "d"]

    run(test)


def test_an_agent_that_ended_well_keeps_nobody_waiting_nor_one_that_was_killed_its_next() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,):
            async with store_on(host, holder="one") as store:
                await store.write(line("a"))
            async with store_on(host, holder="two") as store:
                await store.write(line("b"))
                async with store_on(host, holder="two") as again:  # the same folder: the lock says that it is gone
                    await again.write(line("c"))
            assert subjects(data) == ["a", "b", "c"]

    run(test)


def test_two_that_claim_at_the_same_moment_are_not_both_told_yes() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,):
            async with store_on(host, holder="none") as store:
                await store.write(line("a"))
            gate = host.hook = StatementGate("update", times=1)  # the first one's claim is held back on the way
            async with store_on(host, holder="one") as first, store_on(host, holder="two") as second:
                slow = asyncio.create_task(first.write(line("one")))
                await gate.reached.wait()
                await second.write(line("two"))
                gate.go.set()
                with pytest.raises(StoreError) as found:
                    await slow
                assert found.value.code == "LOCKED"
            assert subjects(data) == ["a", "two"]

    run(test)


# Connections that break


async def exchange(host: Host) -> tuple[int, int]:
    """Bytes of a connection that opens, claims and writes a line: towards the server and from it."""
    host.bytes.clear()
    async with store_on(host) as store:
        await store.write(line("measured"))
    return host.bytes[0]


@pytest.mark.parametrize("direction", ["in", "out"])
def test_cut_at_every_byte_a_write_is_kept_once_or_told_as_not_kept(direction: str) -> None:
    """Each byte of the first write's connection, from the start-up on, the claim among it; the next connection asks."""
    async def test() -> None:
        async with hosts(Data()) as (host,):
            await exchange(host)
            total = max(await exchange(host)) if direction == "out" else (await exchange(host))[0]
        told: dict[str, int] = {"kept": 0, "not kept": 0, "kept, seen later": 0}
        step = int(os.environ.get("EVERY", "17"))
        for place in range(random.Random(place_seed := 5).randrange(step), total + 1, step):
            data = Data()
            async with hosts(data) as (host,):
                async with store_on(host) as store:
                    await store.write(line("before"))
                host.cut = lambda number, place=place: (direction, place) if number == 2 else None
                async with store_on(host) as store:
                    try:
                        assert await store.write(line("it")) == "it"
                        kept = True
                        told["kept, seen later" if store.holder.claims > 1 else "kept"] += 1
                    except StoreError as error:
                        assert error.code in ("AWAY", "FAILED"), (place, error)
                        kept = False
                        told["not kept"] += 1
                    assert subjects(data) == ["before", *(["it"] if kept else [])], (place, place_seed)
                    try:
                        await store.write(line("after"))
                    except StoreError:  # the cut lay behind the first write
                        await store.write(line("after"))
                assert subjects(data) == ["before", *(["it"] if kept else []), "after"], place
        assert told["kept"] and told["not kept"], told
        assert direction == "in" or told["kept, seen later"], told

    limited(test, 600)  # EVERY=1 takes two minutes


@pytest.mark.parametrize("stands", [True, False])
def test_a_write_told_as_not_known_is_heard_of_later_and_before_anything_else_is_written(stands: bool) -> None:
    """The server goes away at COMMIT, before or after it has taken it, and is back only after the caller was told."""
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host) as store:
            await store.write(line("before"))
            store.resolve_s = 0.1
            heard: list[str] = []

            host.hook = Vanishes(host, "agent_audit", stands)
            with pytest.raises(StoreError, match="whether it stands is not known yet") as found:
                await store.write(line("it"), heard.append)
            assert found.value.code == "UNKNOWN" and heard == []
            host.hook = None
            with pytest.raises(StoreError, match="nothing more is written till then") as found:
                await store.write(line("next"))
            assert found.value.code == "AWAY"
            host.starting = False
            await until(lambda: store.resolving is None)
            assert heard == (["it"] if stands else [])
            await store.write(line("after"))
            assert subjects(data) == ["before", *heard, "after"] and store.stood == stands

    run(test)


def test_a_write_that_waits_behind_one_that_broke_off_is_not_taken_for_it() -> None:
    """Hazard: with a number above the open one's it would speak for it."""
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host) as store:
            await store.write(line("before"))
            reached, go = asyncio.Event(), asyncio.Event()

            async def script(session: Session, kind: str, after: bool) -> None:
                if kind == "commit" and not reached.is_set():
                    reached.set()
                    await go.wait()
                    raise Drop  # it never ran

            host.hook = script
            first = asyncio.create_task(store.write(line("it")))
            await reached.wait()
            behind = asyncio.create_task(store.write(line("behind")))  # in the queue, of the next group
            await asyncio.sleep(0)
            go.set()
            results = await asyncio.gather(first, behind, return_exceptions=True)
            assert [isinstance(r, StoreError) and r.code for r in results] == ["AWAY", "AWAY"], results
            assert "nothing more is written till then" in str(results[1])
            await store.write(line("after"))
            assert subjects(data) == ["before", "after"]

    run(test)


def test_a_write_that_is_asked_for_while_an_outcome_is_open_is_refused_at_once() -> None:
    """Hazard: it was made upon what was known before; carried out once the outcome is known, it would undo that."""
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host) as store:
            await store.write(line("before"))
            gate = StatementGate("update")

            async def script(session: Session, kind: str, after: bool) -> None:
                if kind == "commit" and after and not script_struck:
                    script_struck.append(1)
                    host.wires[session.number].writer.transport.abort()
                elif script_struck:
                    await gate(session, kind, after)

            script_struck: list[int] = []
            host.hook = script
            first = asyncio.create_task(store.write(line("it")))
            await gate.reached.wait()  # the claim that will tell
            with pytest.raises(StoreError, match="nothing more is written till then"):
                await asyncio.wait_for(store.write(line("meanwhile")), 1.0)
            gate.go.set()
            assert await first == "it"
            assert subjects(data) == ["before", "it"]

    run(test)


def test_a_commit_that_is_still_on_its_way_is_waited_for_and_not_guessed() -> None:
    """The server holds COMMIT past the agent's patience, and carries it out while the agent asks."""
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host, limit_s=LIMIT_S) as store:
            await store.write(line("before"))
            gate = host.hook = StatementGate("commit")
            writing = asyncio.create_task(store.write(line("it")))
            await gate.reached.wait()
            await until(lambda: store.holder.watch.cuts == 1)
            assert not writing.done()
            gate.go.set()
            assert await writing == "it"
            assert subjects(data) == ["before", "it"] and store.holder.claims == 2

    run(test)


def test_a_transaction_that_is_held_up_before_its_claim_is_looked_at_changes_nothing_afterwards() -> None:
    """Hazard: let go after the next claim, it would write behind our back."""
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host, limit_s=LIMIT_S) as store:
            await store.write(line("before"))
            gate = host.hook = StatementGate("update")
            with pytest.raises(StoreError) as found:
                await store.write(line("it"))
            assert found.value.code == "AWAY"
            await store.write(line("after"))
            gate.go.set()
            await asyncio.sleep(0.05)
            await store.write(line("last"))
            assert subjects(data) == ["before", "after", "last"]

    run(test)


def test_a_server_that_does_not_answer_holds_up_no_one_for_ever() -> None:
    async def test() -> None:
        async with hosts(Data()) as (host,), store_on(host, limit_s=LIMIT_S) as store:
            await store.write(line("before"))
            for kind in ("begin", "insert", "select"):
                gate = host.hook = StatementGate(kind)
                with pytest.raises(StoreError) as found:
                    await store.write(line(kind))
                assert found.value.code == "AWAY", kind
                gate.go.set()
            host.hook = None
            await store.write(line("after"))

    run(test)


def test_a_server_that_hangs_from_the_first_byte_is_told() -> None:
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as silent:
            host = Host()
            host.port = silent.getsockname()[1]
            async with store_on(host, limit_s=LIMIT_S) as store:
                with pytest.raises(StoreError) as found:
                    await store.write(line("it"))
                assert found.value.code == "AWAY" and f":{host.port}" in str(found.value)

    run(test)


def test_the_claim_itself_may_lose_its_answer() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host) as store:
            await store.write(line("before"))
            await host.end_sessions()
            host.hook = StatementFault("update", after=True)  # carried out, and nobody hears of it
            with pytest.raises(StoreError):
                await store.write(line("lost"))
            await store.write(line("after"))
            assert subjects(data) in (["before", "after"], ["before", "lost", "after"])
            assert store.holder.epoch == data.all("SELECT epoch FROM agent_owner")[0][0]

    run(test)


# Failover


def test_a_server_that_takes_over_with_all_is_gone_on_with() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data, data) as (one, two), store_on(one, two) as store:
            await store.write(line("a"))
            one.read_only = True
            with contextlib.suppress(StoreError):
                await store.write(line("b"))
            await store.write(line("c"))
            assert subjects(data)[-1] == "c" and store.holder.lost is None
            assert len(two.sessions) == 1

    run(test)


def test_a_server_that_takes_over_with_less_than_was_confirmed_ends_the_agent_and_raises_the_fences() -> None:
    async def test() -> None:
        data = Data()
        lost: list[Any] = []
        async with hosts(data) as (one,), store_on(one, lost=lost.append) as store:
            fence = await store.write(lambda r: r.next_fence())
            lineage = await store.write(lambda r: r.make_lineage())
            late = data.copy()
            assert await store.write(lambda r: r.next_fence()) == fence + 1  # confirmed, and not copied
            await one.stop()
            two = await Host(late).start(one.port)
            try:
                with pytest.raises(StoreError, match="expected 3 writes, as it had confirmed, got 2") as found:
                    await store.write(line("b"))
                assert found.value.code == "LESS" and [str(f) for f in lost] == [str(found.value)]
                with pytest.raises(StoreError):
                    await store.write(line("c"))
                async with store_on(two, holder="next") as following:  # need not wait
                    assert await following.write(lambda r: r.next_fence()) > fence + 1
                    # a version that was told may be gone, and its number be given again: it is another log
                    assert await following.read(lambda r: r.lineage()) not in ("", lineage)
                assert subjects(late) == []
            finally:
                await two.stop()

    run(test)


def test_the_old_server_that_is_written_again_is_seen_to_have_less() -> None:
    """Split brain: what was confirmed on the new one is not there."""
    async def test() -> None:
        data = Data()
        async with hosts(data) as (old,), store_on(old) as store:
            await store.write(line("a"))
            new = await Host(data.copy()).start()
            try:
                store.holder.settings["port"] = str(new.port)
                await old.end_sessions()
                with contextlib.suppress(StoreError):
                    await store.write(line("b"))
                await store.write(line("c"))
                assert subjects(new.data)[-1] == "c"
                store.holder.settings["port"] = str(old.port)
                await new.end_sessions()
                with pytest.raises(StoreError) as found:
                    for _ in range(2):
                        await store.write(line("d"))
                assert found.value.code == "LESS" and subjects(data) == ["a"]
            finally:
                await new.stop()

    run(test)


# Random weather


@pytest.mark.parametrize("seed", [int(s) for s in os.environ.get("SEEDS", "1,2,3,4,5,6").split(",")])
def test_in_any_weather_what_is_told_is_what_is_kept(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Cuts, stalls, errors, lost replies and restarts. Each write is told as kept, not kept or not known; the log holds
    the first once, the second never, and of the third exactly those that were heard of later."""
    monkeypatch.setattr(commit_tracking, "AGAIN_S", 0.01)

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
            store.resolve_s = 0.02
            await store.write(line("first"))
            host.hook = weather

            async def client(name: int) -> None:
                done = 0
                for n in itertools.count():
                    if done == 6:
                        return
                    subject = f"{name}.{n}"
                    try:
                        await store.write(line(subject), heard.append)
                        kept.add(subject)
                        done += 1
                    except StoreError as error:
                        (unknown if error.code == "UNKNOWN" else never).add(subject)
                        await asyncio.sleep(0.01)

            await asyncio.gather(*(client(name) for name in range(4)))
            host.hook = None
            await until(lambda: store.resolving is None)
            await store.write(line("last"))
        found = subjects(data)
        assert len(found) == len(set(found)), seed
        assert set(found) == {"first", "last"} | kept | set(heard), seed
        assert set(heard) <= unknown and not never & set(found), seed
        print(f"seed {seed}: {len(kept)} kept, {len(never)} not, {len(unknown)} not known, {len(heard)} heard of")

    run(test)


# The agent upon it


@pytest.mark.parametrize("stands", [True, False])
def test_an_operation_whose_beginning_is_not_known_goes_on_if_it_stands_and_is_nowhere_if_not(
    tmp_path: Path, stands: bool
) -> None:
    async def test() -> None:
        async with hosts(Data()) as (host,), scene(tmp_path, postgresql=dsn(host)) as s:
            store = s.engine.store
            assert isinstance(store, PostgresStore)
            store.resolve_s = 0.1
            await s.start_many(3)
            host.hook = Vanishes(host, "agent_operations", stands)
            with pytest.raises(StoreError) as found:
                await s.begin(key="k")
            assert found.value.code == "UNKNOWN"
            assert s.engine.live == {} and all(i.effects == [] for i in s.instances.values())
            host.hook, host.starting = None, False
            await until(lambda: store.resolving is None)
            assert list(s.engine.live) == ([1] if stands else [])
            # asked again with its key it is one operation, whatever became of the first
            ident = await s.begin(key="k")
            op, targets = await s.end(ident)
            assert ident == 1 and op.phase is Phase.SUCCEEDED and {t.state for t in targets} == {State.APPLIED}
            assert all(i.effects == ["generation 1"] for i in s.instances.values())
            lines = [(e.subject, e.result) for e in await s.engine.events(0, 99) if e.action == "reconfigure"]
            assert lines.count(("operation 1", "begun")) == 1 and lines.count(("operation 1", "succeeded")) == 1

    run(test)


def test_a_pause_whose_outcome_was_not_known_holds_once_it_stands(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosts(Data()) as (host,), scene(tmp_path, postgresql=dsn(host)) as s:
            store = s.engine.store
            assert isinstance(store, PostgresStore)
            store.resolve_s = 0.1
            await s.start_many(2)
            s.instances["i0000"].open = 1  # the first wave does not end
            ident = await s.begin(Kind.DRAIN, policy=Policy(wave=1))
            await until(lambda: s.instances["i0000"].draining)
            host.hook = Vanishes(host, "agent_operations")
            with pytest.raises(StoreError) as found:
                await s.engine.control("ann", ident, "pause")
            assert found.value.code == "UNKNOWN"
            host.hook, host.starting = None, False
            await until(lambda: store.resolving is None)
            assert s.engine.live[ident].op.phase is Phase.PAUSED
            kept = await store.read(lambda r: r.operation(ident))
            assert kept is not None and kept.phase is Phase.PAUSED

    run(test)


def test_operators_are_told_by_a_code_while_instances_go_on(tmp_path: Path) -> None:
    """A server that is away, and one that went at a commit: what memory holds is answered all the same."""
    async def test() -> None:
        async with hosts(Data()) as (host,), scene(tmp_path, postgresql=dsn(host)) as s:
            store = s.engine.store
            assert isinstance(store, PostgresStore)
            store.resolve_s = 0.1
            await s.start_many(2)
            mutation = 'mutation { createToken(name: "t", role: READ) { secret } }'

            async def code() -> str:
                found: str = (await s.ask(mutation))["errors"][0]["extensions"]["code"]
                return found

            gone = Vanishes(host, "agent_tokens")
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
            # it stands, and so it is known to the agent, though nobody has its secret
            await until(lambda: any(token.name == "t" for token in s.agent.tokens))
            assert await code() == "CONFLICT"

    run(test)


def test_a_read_whose_commit_breaks_off_bars_no_write() -> None:
    """Nothing of it can stand, so there is nothing to wait for."""
    async def test() -> None:
        async with hosts(Data()) as (host,), store_on(host) as store:
            await store.write(lambda r: r.set_alive(1))

            async def cut(session: Session, kind: str, after: bool) -> None:
                if kind == "commit":
                    host.hook = None
                    host.wires[session.number].writer.transport.abort()

            host.hook = cut
            with pytest.raises(StoreError):
                await store.read(lambda r: r.alive_ms())
            await store.write(lambda r: r.set_alive(2))
            assert await store.read(lambda r: r.alive_ms()) == 2 and store.resolving is None

    run(test)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_rollout_in_bad_weather_has_every_effect_once_and_a_true_log(tmp_path: Path, seed: int) -> None:
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
            store.resolve_s = 0.01
            await s.start_many(20)
            host.hook = weather
            ident = 0
            while not ident:
                try:
                    ident = await s.begin(policy=Policy(wave=5, max_unavailable=3), key="one")
                except StoreError:
                    await asyncio.sleep(0.02)
            await until(lambda: ident not in s.engine.live)
            host.hook = None
            op, targets = await s.end(ident)
            assert op.phase is Phase.SUCCEEDED and {t.state for t in targets} == {State.APPLIED}, (seed, op)
            assert all(i.effects == ["generation 1"] for i in s.instances.values()), seed
            await until(lambda: store.resolving is None)
            lines = [(e.subject, e.result) for e in await s.engine.events(0, 999) if e.action == "reconfigure"]
            assert len(lines) == len(set(lines)) == 22, (seed, lines)
            kept = await store.read(lambda r: (r.operation(ident), r.targets(ident)))
            assert kept == (op, targets), seed
            assert store.holder.claims > 1, seed

    run(test)


def test_the_next_agent_goes_on_where_one_that_lost_its_store_stopped(tmp_path: Path) -> None:
    """It ends as soon as it is told that another has the record, and says whose that is."""
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
                    await store.write(line("taken"))  # between two of its half seconds; else it was renewed
                data.skew_ms += 60_000
                await store.write(line("taken"))
                with pytest.raises(StoreError, match="the agent of machine of two has taken this record over") as found:
                    await running_one
                assert found.value.code == "TAKEN"
                names = [t.name for t in await store.read(lambda r: r.tokens())]
            assert names == ["admin", "instance"]

    run(test)


def test_an_agent_on_another_folder_waits_for_the_lease_and_wants_the_tokens_of_the_one_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,):
            async with running(section(tmp_path / "one", postgresql=dsn(host))) as one:
                monkeypatch.setattr(store_setup, "WAIT_S", -9.5)
                with pytest.raises(StoreError, match=f"the agent of {socket.gethostname()}, {tmp_path}/one has this"):
                    async with running(section(tmp_path / "two", postgresql=dsn(host))):
                        pass
                said: list[str] = []
                monkeypatch.setattr(Agent, "log", lambda agent, text: said.append(text))
                assert one.ready.is_set()
            # killed in place of ended: its lease runs on
            data.db.execute("UPDATE agent_owner SET until_ms = store_now_ms() + 1200")
            monkeypatch.setattr(store_setup, "WAIT_S", 2.0)
            async with running(section(tmp_path / "two", postgresql=dsn(host))):
                assert [text[:6] for text in said if "has this record" in text] == ["waits:"]
                assert len([text for text in said if "expected the token that the record knows" in text]) == 2
            with pytest.raises(AgentError, match=r"two/instance\.token: expected the token that the record knows"):
                service = ServiceConfig("app", 1, tmp_path / "app.json")
                async with running(section(tmp_path / "two", postgresql=dsn(host), services=(service,))):
                    pass

    run(test)


# From SQLite


async def filled(path: Path, count: int = 30) -> SqliteStore:
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


def nobody(found: Any) -> None:
    """Hears that the record is another's; here it stays ours."""


def all_of(r: Records) -> list[Any]:
    return [r.instances(), r.operations(99, 99), r.targets(1), r.configuration(1), r.mutation("ann", "k"),
            r.events(0, 99), r.tokens(), r.alive_ms(), r.current_generation(), r.versions(99, 9), r.lineage(),
            r.version_change(0, ""), r.version_change(1, r.lineage())]


def test_the_record_of_the_folder_comes_along_once_and_is_not_gone_on_with_behind_its_back(tmp_path: Path) -> None:
    said: list[str] = []

    async def test() -> None:
        store = await filled(tmp_path / "agent.db")
        before = await store.read(all_of)
        store.close()
        async with hosts(Data()) as (host,):
            where = section(tmp_path, postgresql=dsn(host))
            for _ in range(2):  # the second time there is nothing to bring
                moved = await open_store(where, tmp_path, nobody, said.append)
                assert await moved.read(all_of) == before
                assert await moved.write(lambda r: r.next_fence()) > 41
                await asyncio.to_thread(moved.close)
            assert len(said) == 1 and said[0].startswith("moved the record of") and "72 rows" in said[0], said
            with pytest.raises(StoreError, match=r"agent\.db: expected a record in use, got one that was moved"):
                await open_store(section(tmp_path), tmp_path, nobody, said.append)

    run(test)


def test_a_move_that_fails_leaves_both_as_they_were_and_one_that_ended_early_is_not_done_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(commit_tracking, "RESOLVE_S", 0.3)
    said: list[str] = []

    async def test() -> None:
        (await filled(tmp_path / "agent.db")).close()
        data = Data()
        async with hosts(data) as (host,):
            where = section(tmp_path, postgresql=dsn(host))
            for kind, after, times in (("insert", True, 5), ("commit", False, 2)):  # the schema is there by then
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
                    await open_store(where, tmp_path, nobody, said.append)
                tables = [name for name, in data.all("SELECT name FROM sqlite_schema WHERE name = 'agent_tokens'")]
                assert not tables or data.all("SELECT * FROM agent_tokens") == []
                host.hook = None
                store = SqliteStore(tmp_path / "agent.db")
                assert len(await store.read(lambda r: r.instances())) == 30
                store.close()
            # killed after the commit and before the file was marked: it is there, and marked now
            moved = await open_store(where, tmp_path, nobody, said.append)
            await asyncio.to_thread(moved.close)
            source = connect(tmp_path / "agent.db")
            source.execute("DELETE FROM counters WHERE name = 'moved'")
            source.close()
            moved = await open_store(where, tmp_path, nobody, said.append)
            assert len(await moved.read(lambda r: r.events(0, 99))) == 30
            await asyncio.to_thread(moved.close)
            with pytest.raises(StoreError, match="was moved"):
                await open_store(section(tmp_path), tmp_path, nobody, said.append)
            # a folder with a record of its own, and a database with another
            (await filled(tmp_path / "other.db")).close()
            (tmp_path / "other").mkdir()
            (tmp_path / "other.db").rename(tmp_path / "other" / "agent.db")
            data.db.execute("DELETE FROM agent_counters WHERE name = 'moved'")
            moved = await open_store(section(tmp_path / "other", postgresql=dsn(host)), tmp_path / "other", nobody,
                                     said.append)
            await asyncio.to_thread(moved.close)
            assert said[-1].endswith("has a record already") and "is not used" in said[-1]

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
def test_a_line_that_can_not_be_used_is_told_before_the_agent_starts(text: str, expected: str, tmp_path: Path) -> None:
    with pytest.raises(OperatorFileError) as found:
        agent = parse(f"[agent]\n{text}\n", "F", tmp_path).agent
        assert agent is not None
        store_setup.access_of(agent)
    assert expected in str(found.value) and "\n" not in str(found.value)


def test_without_the_packages_it_is_told_in_one_line(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    for name in [name for name in sys.modules if name.startswith("psycopg") or name == "ironscale.record.postgres"]:
        monkeypatch.delitem(sys.modules, name)
    monkeypatch.setitem(sys.modules, "psycopg", None)
    section_ = parse('[agent]\npostgresql = "host=a"\n', "F", tmp_path).agent
    assert section_ is not None
    with pytest.raises(OperatorFileError, match=r"F: agent\.postgresql: expected the packages of ironscale\[record\]"):
        store_setup.access_of(section_)


def test_who_holds_the_record_is_the_folder(tmp_path: Path) -> None:
    (tmp_path / "a").mkdir()
    (tmp_path / "b").mkdir()
    one = holder_of(tmp_path / "a")
    assert len(one) == 32 and holder_of(tmp_path / "a") == one != holder_of(tmp_path / "b")
