"""Published versions in the agent's store, in SQLite and in PostgreSQL."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from ironscale.agent.postgres import PostgresStore
from ironscale.agent.publishing import MAX_CONCURRENT_WRITES, Publisher
from ironscale.agent.refusal import Refusal
from ironscale.agent.sqlite import SqliteStore
from ironscale.agent.store import Records, StoreError
from ironscale.agent.terms import Owner
from ironscale.disruption.model import Halt
from ironscale.standins.postgres import Data, Session
from ironscale.versions import publishing as decisions
from ironscale.versions.compacted_log import Change, View
from ironscale.versions.model import (
    ALL,
    MAX_OVERLAY_BYTES,
    Entry,
    Labels,
    Scope,
    combine_layers,
    overlay_digest,
    parse_scope,
)
from ironscale.versions.publishing import Draft
from tests.agent.agent_harness import run, scene, until
from tests.agent.test_postgres import ServerLostAtCommit, hosts, store_on
from tests.deployed import ROOT

SCOPES = [ALL, *map(parse_scope, ("region=r", "zone=a", "zone=b", "service=s", "instance=i"))]


@contextlib.asynccontextmanager
async def store_of(kind: str, folder: Path) -> AsyncIterator[SqliteStore | PostgresStore]:
    if kind == "sqlite":
        store = SqliteStore(folder / "a.db")
        try:
            yield store
        finally:
            store.close()
    else:
        async with hosts(Data()) as (host,), store_on(host) as kept:
            yield kept


both = pytest.mark.parametrize("kind", ["sqlite", "postgresql"])


def add(scope: Scope, overlay: dict[str, Any] | None, at_ms: int = 1) -> Any:
    def work(records: Records) -> Entry:
        newest = records.newest(scope)
        return records.add_version(scope, overlay, newest.version if newest else 0, "ann", at_ms)

    return work


def fail(records: Records) -> None:
    add(ALL, {"no": 1})(records)
    raise ValueError("in the middle")


@both
def test_version_numbers_have_no_gaps_even_after_failed_writes(kind: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with store_of(kind, tmp_path) as store:
            assert await store.read(lambda r: r.lineage()) == ""
            lineage = await store.write(lambda r: r.make_lineage())
            results = await asyncio.gather(*(store.write(add(ALL, {"n": n}) if n % 3 else fail) for n in range(12)),
                                           return_exceptions=True)
            made = [found for found in results if isinstance(found, Entry)]
            assert [entry.version for entry in made] == list(range(1, 9))
            assert [entry.base for entry in made] == list(range(8))
            assert await store.write(lambda r: r.make_lineage()) == lineage
            assert (await store.read(lambda r: r.newest(ALL))) == made[-1]
            kept = await store.read(lambda r: r.versions(9, 3))
            assert [(p.entry, p.in_force) for p in kept] == [(made[7], True), (made[6], False), (made[5], False)]
            assert await store.read(lambda r: r.versions(99, 9, parse_scope("zone=a"))) == []
            assert await store.read(lambda r: r.version(9)) is None

    run(test)


@both
@pytest.mark.parametrize("seed", range(6))
def test_a_follower_at_any_position_ends_with_the_state_of_the_whole_log(
    kind: str, seed: int, tmp_path: Path
) -> None:
    """Random versions, removals and compactions; followers read at random times, some of them rarely."""
    chance = random.Random(seed)

    async def test() -> None:
        async with store_of(kind, tmp_path) as store:
            whole, followers = View(), [View() for _ in range(4)]
            await store.write(lambda r: r.make_lineage())
            for step in range(60):
                scope = chance.choice(SCOPES)
                overlay = None if chance.random() < 0.4 else {"n": step}
                entry = await store.write(add(scope, overlay, step))
                whole.entries[scope] = entry
                if chance.random() < 0.2:
                    keep, before_ms = chance.randrange(12), chance.randrange(step + 1)
                    await store.write(lambda r, k=keep, b=before_ms: r.compact_versions(k, b))  # type: ignore[misc]
                for number, view in enumerate(followers):
                    if chance.random() < (0.7, 0.3, 0.1, 0.03)[number] or step == 59:
                        change = await store.read(lambda r, v=view: r.version_change(  # type: ignore[misc]
                            v.position, v.lineage))
                        view.apply(change)
                        assert view.position == step + 1
                        told = {s: e for s, e in view.entries.items() if e.overlay is not None}
                        meant = {s: e for s, e in whole.entries.items() if e.overlay is not None}
                        assert told == meant, (seed, step, number)

    run(test)


@both
def test_compaction_deletes_only_what_the_retained_history_does_not_need(kind: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with store_of(kind, tmp_path) as store:
            zone, service = parse_scope("zone=a"), parse_scope("service=s")
            for at_ms, scope, overlay in ((1, zone, {"n": 1}), (2, ALL, {"n": 2}), (3, zone, {"n": 3}),
                                          (4, service, {"n": 4}), (5, service, None), (6, ALL, {"n": 6}),
                                          (7, ALL, {"n": 7}), (8, ALL, {"n": 8})):
                await store.write(add(scope, overlay, at_ms))
            lineage = await store.read(lambda r: r.lineage())

            async def numbers() -> list[int]:
                return [p.entry.version for p in await store.read(lambda r: r.versions(99, 99))]

            assert await store.write(lambda r: r.compact_versions(8, 0)) == 0
            # Six are retained, plus what was in force before them, which a restore of the first change needs.
            assert await store.write(lambda r: r.compact_versions(6, 0)) == 0 and 2 in await numbers()
            assert await store.write(lambda r: r.compact_versions(5, 0)) == 1
            assert await numbers() == [8, 7, 6, 5, 4, 3, 2]
            assert (await store.read(lambda r: r.version_change(3, lineage))).is_snapshot is False
            # The same by age. The removal of the service's overlay is deleted, so an older follower gets a snapshot.
            assert await store.write(lambda r: r.compact_versions(99, 7)) == 3 and await numbers() == [8, 7, 6, 3]
            late = await store.read(lambda r: r.version_change(4, lineage))
            assert late.is_snapshot and late.floor == 5 and [e.version for e in late.entries] == [3, 8]
            fresh = await store.read(lambda r: r.version_change(5, lineage))
            assert not fresh.is_snapshot and [e.version for e in fresh.entries] == [8]
            assert await store.write(lambda r: r.compact_versions(0, 99)) == 2 and await numbers() == [8, 3]
            assert (await store.write(add(service, {}))).version == 9  # a number is never issued twice
            assert (await store.read(lambda r: r.version(9))).entry.base == 0  # type: ignore[union-attr]

    run(test)


@both
def test_a_follower_of_another_lineage_or_ahead_of_the_log_gets_a_snapshot(kind: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with store_of(kind, tmp_path) as store:
            empty = await store.read(lambda r: r.version_change(0, ""))
            assert (empty.lineage, empty.position, empty.entries) == ("", 0, ())
            assert (await store.read(lambda r: r.version_change(7, "other"))).is_snapshot
            for n in range(3):
                await store.write(add(ALL, {"n": n}))
            lineage = await store.read(lambda r: r.lineage())
            for since, of in ((1, "other"), (0, lineage), (4, lineage), (0, "")):
                change = await store.read(lambda r, s=since, o=of: r.version_change(s, o))  # type: ignore[misc]
                assert change.is_snapshot and [e.version for e in change.entries] == [3], (since, of)
            same = await store.read(lambda r: r.version_change(3, lineage))
            assert not same.is_snapshot and same.entries == ()

    run(test)


def test_a_commit_between_two_reads_of_a_follower_omits_no_scope() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data, data) as (one, other), store_on(one) as leader, store_on(other) as reader:
            reader.owner_worker.is_read_only = True
            for n in range(2):
                await leader.write(add(ALL, {"n": n}))
            lineage = await leader.read(lambda r: r.lineage())
            assert (await reader.read(lambda r: r.version_change(1, lineage))).position == 2
            seen = 0

            async def between(session: Session, kind: str, after: bool) -> None:
                nonlocal seen
                if kind == "select" and not after:
                    seen += 1
                    if seen == 2:
                        await leader.write(add(ALL, {"n": 3}))

            other.hook = between
            change = await reader.read(lambda r: r.version_change(1, lineage))
            assert seen == 2 and change.position == 3 and [e.version for e in change.entries] == [3]

    run(test)


def test_a_removal_compacted_between_two_reads_of_a_follower_leads_to_a_snapshot() -> None:
    async def test() -> None:
        data, zone = Data(), parse_scope("zone=a")
        async with hosts(data, data) as (one, other), store_on(one) as leader, store_on(other) as reader:
            reader.owner_worker.is_read_only = True
            for scope, overlay in ((ALL, {"n": 1}), (zone, {"n": 2}), (zone, None)):
                await leader.write(add(scope, overlay))
            lineage = await leader.read(lambda r: r.lineage())
            assert (await reader.read(lambda r: r.version_change(3, lineage))).position == 3
            selects = 0

            async def between(session: Session, kind: str, after: bool) -> None:
                nonlocal selects
                if kind == "select" and not after:
                    selects += 1
                    if selects == 2:
                        await leader.write(lambda r: r.compact_versions(0, 99))

            other.hook = between
            change = await reader.read(lambda r: r.version_change(2, lineage))
            assert change.is_snapshot and change.floor == 3 and [e.version for e in change.entries] == [1]

    run(test)


# Publishing


class RecordedChanges:
    """Records the changes that the publisher sent, and what the store had confirmed by then."""

    def __init__(self) -> None:
        self.view, self.positions = View(), list[int]()

    def __call__(self, change: Change) -> None:
        self.view.apply(change)
        self.positions.append(change.position)


async def publisher_on(store: SqliteStore | PostgresStore) -> tuple[Publisher, RecordedChanges]:
    made, heard = Publisher(store, lambda: 5_000, lambda text: None, lambda: None), RecordedChanges()
    await made.load()
    heard(await store.read(lambda records: records.version_change(0, "")))
    made.on_published = heard
    return made, heard


def commits(store: SqliteStore | PostgresStore) -> int:
    return store.owner_worker.commits if isinstance(store, PostgresStore) else store.writer.commits


def draft(scope: str, overlay: Any, base: int, **more: Any) -> Draft:
    return Draft(parse_scope(scope), overlay, base, **more)


def refusal_of(found: Any) -> str:
    assert isinstance(found, Refusal), found
    return found.code


@both
def test_of_concurrent_publishes_on_one_base_exactly_one_succeeds(kind: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with store_of(kind, tmp_path) as store:
            publisher, heard = await publisher_on(store)
            results = await asyncio.gather(*(publisher.publish(f"op{n}", draft("zone=a", {"name-of": n}, 0))
                                             for n in range(5)), return_exceptions=True)
            won = [found for found in results if not isinstance(found, BaseException)]
            assert len(won) == 1 and heard.positions == [0, 1]
            assert {refusal_of(found) for found in results if isinstance(found, BaseException)} == {"CONFLICT"}
            problem = next(found for found in results if isinstance(found, Refusal))
            assert problem.details["newest"] == 1 and problem.details["actor"] == won[0][0].entry.actor
            # Each scope has its own base.
            other, made = await publisher.publish("ann", draft("zone=b", {}, 0))
            assert made and other.entry.version == 2

    run(test)


@both
def test_fifty_concurrent_publishes_make_fifty_versions_sent_in_order(kind: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with store_of(kind, tmp_path) as store:
            publisher, heard = await publisher_on(store)
            before = commits(store)
            await asyncio.gather(*(publisher.publish("ann", draft(f"service=s{n}", {"n": n}, 0), f"key {n}")
                                   for n in range(50)))
            # Not in one transaction: that could exceed its time limit, and all of them would fail.
            assert commits(store) - before >= 50 // MAX_CONCURRENT_WRITES
            assert heard.positions == list(range(51)) and len(heard.view.entries) == 50
            events = await store.read(lambda r: r.events(0, 99))
            assert [e.subject for e in events] == [f"version {n}" for n in range(1, 51)]

    run(test)


@both
def test_an_idempotency_key_makes_one_version_and_no_other_mutation(kind: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with store_of(kind, tmp_path) as store:
            publisher, heard = await publisher_on(store)
            first = await publisher.publish("ann", draft("all", {"n": 1}, 0), "k")
            await publisher.publish("ann", draft("all", {"n": 2}, 1))
            again, made = await publisher.publish("ann", draft("all", {"n": 1}, 0), "k")
            assert not made and again.entry == first[0].entry and not again.in_force and heard.positions == [0, 1, 2]
            for wrong in (draft("all", {"n": 3}, 0), draft("all", {"n": 1}, 2), draft("zone=a", {"n": 1}, 0)):
                with pytest.raises(Refusal, match="was used for another mutation, version 1") as found:
                    await publisher.publish("ann", wrong, "k")
                assert found.value.code == "KEY_REUSED"
            with pytest.raises(Refusal) as found:
                await publisher.restore("ann", 1, 2, "k")
            assert found.value.code == "KEY_REUSED"
            assert (await publisher.publish("bob", draft("all", {"n": 1}, 2), "k"))[1]  # keys are separate per actor

    run(test)


@both
def test_invalid_publishes_are_refused_in_one_line_and_change_nothing(kind: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with store_of(kind, tmp_path) as store:
            publisher, heard = await publisher_on(store)
            deep: dict[str, Any] = {}
            for _ in range(30):
                deep = {"a": deep}
            for wrong, code, text in (
                (draft("all", {}, -1), "BAD_INPUT", "base: expected a version, or 0"),
                (draft("all", {}, 4), "BAD_INPUT", "base: expected a version that was published, 0 at most, got 4"),
                (draft("all", None, 0), "BAD_INPUT", "all has none to take away"),
                (draft("all", {"name": "x"}, 0), "BAD_INPUT", "overlay: name: expected no key that each instance has"),
                (draft("all", {"settings": {"self-index": 1}}, 0), "BAD_INPUT", "settings.self-index"),
                (draft("all", {"a": float("nan")}, 0), "BAD_INPUT", "overlay: expected what JSON has"),
                (draft("all", {"a": "x" * MAX_OVERLAY_BYTES}, 0), "BAD_INPUT",
                 f"expected {MAX_OVERLAY_BYTES} bytes at most"),
                (draft("all", deep, 0), "BAD_INPUT", "objects in one another"),
                (draft("all", {}, 0, note="a\nb"), "BAD_INPUT", "note: expected a line"),
            ):
                with pytest.raises(Refusal) as found:
                    await publisher.publish("ann", wrong)
                assert found.value.code == code and text in str(found.value) and "\n" not in str(found.value)
            for number, base, code in ((0, 0, "BAD_INPUT"), (7, 0, "NOT_FOUND")):
                with pytest.raises(Refusal) as found:
                    await publisher.restore("ann", number, base)
                assert found.value.code == code
            assert await store.read(lambda r: (r.versions(99, 9), r.events(0, 9))) == ([], [])
            assert heard.positions == [0]

    run(test)


@both
def test_a_halt_blocks_new_versions_and_allows_restores(kind: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with store_of(kind, tmp_path) as store:
            publisher, _ = await publisher_on(store)
            await publisher.publish("ann", draft("all", {"n": 1}, 0))
            await publisher.publish("ann", draft("all", {"n": 2}, 1))
            await publisher.publish("ann", draft("zone=a", {"n": 3}, 0))
            await store.write(lambda r: r.put_halt(Halt(1, "bob", "bad", 5)))
            for wrong in (draft("all", {"n": 4}, 2), draft("service=s", {}, 0), draft("all", None, 2)):
                with pytest.raises(Refusal, match="halted by bob: bad") as found:
                    await publisher.publish("ann", wrong)
                assert found.value.code == "HALTED"
            back, _ = await publisher.restore("ann", 1, 2, note="bad")
            assert (back.entry.version, back.entry.overlay, back.entry.restores, back.entry.base) == (4, {"n": 1}, 1, 2)
            none, _ = await publisher.publish("ann", draft("zone=a", None, 3))  # the scope had no overlay before
            assert none.entry.overlay is None
            with pytest.raises(Refusal, match="which is in force"):
                await publisher.restore("ann", 4, 4)
            assert (await publisher.compose(Labels("i", zone="a"))).overlay == {"n": 1}

    run(test)


def test_the_effective_configuration_is_returned_with_its_layers(tmp_path: Path) -> None:
    async def test() -> None:
        async with store_of("sqlite", tmp_path) as store:
            publisher, heard = await publisher_on(store)
            for scope, overlay in (("instance=i", {"e": 5}), ("all", {"a": 1, "b": {"x": 1, "y": 1}}),
                                   ("zone=z", {"b": {"x": None}}), ("service=s", {"a": 3}), ("zone=other", {"a": 9})):
                await publisher.publish("ann", draft(scope, overlay, 0))
            labels = Labels("i", "s", "z", "r")
            found = await publisher.compose(labels)
            assert [str(layer.entry.scope) for layer in found.layers] == ["all", "zone=z", "service=s", "instance=i"]
            assert found.overlay == {"a": 3, "b": {"x": None, "y": 1}, "e": 5} and found.position == 5
            assert found.digest == overlay_digest(combine_layers(heard.view.layers_for(labels)))
            assert (await publisher.compose(Labels("other"))).overlay == {"a": 1, "b": {"x": 1, "y": 1}}

    run(test)


@pytest.mark.parametrize("stands", [True, False])
def test_a_version_with_an_unknown_outcome_is_sent_to_nobody_and_found_by_its_key(stands: bool) -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data) as (host,), store_on(host) as store:
            publisher, heard = await publisher_on(store)
            await publisher.publish("ann", draft("all", {"n": 1}, 0))
            store.resolve_timeout_s = 0.05
            host.hook = ServerLostAtCommit(host, "agent_versions", stands)
            with pytest.raises(StoreError) as found:
                await publisher.publish("ann", draft("all", {"n": 2}, 1), "k")
            assert found.value.code == "UNKNOWN" and heard.positions == [0, 1]
            with pytest.raises(StoreError) as found:
                await publisher.publish("ann", draft("all", {"n": 2}, 1), "k")
            assert found.value.code == "AWAY"
            host.hook, host.starting = None, False
            await until(lambda: store.resolving is None)
            assert heard.positions == ([0, 1, 2] if stands else [0, 1])
            again, made = await publisher.publish("ann", draft("all", {"n": 2}, 1), "k")
            assert made is not stands and again.entry.version == 2 and heard.positions == [0, 1, 2]

    run(test)


@pytest.mark.parametrize(("fatal", "kept", "told"), [(1, 0, 0), (2, 1, 0), (3, 1, 1), (4, 1, 1)])
def test_a_publisher_killed_at_any_step_makes_one_version_and_loses_none_that_was_sent(
    fatal: int, kept: int, told: int, tmp_path: Path
) -> None:
    """The last case has no such step, so the publisher survives: every step is covered."""
    async def test() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests.agent.killed_publisher", str(tmp_path), str(fatal), cwd=ROOT,
            stdout=asyncio.subprocess.PIPE)
        out, _ = await process.communicate()
        assert process.returncode == (0 if fatal == 4 else -signal.SIGKILL) and out.split() == [b"1"] * told
        async with store_of("sqlite", tmp_path) as store:
            assert len(await store.read(lambda r: r.versions(99, 9))) == kept
            publisher, heard = await publisher_on(store)
            assert heard.view.position == kept  # the next leader sends it, though nobody got it before
            again, made = await publisher.publish("ann", draft("all", {"n": 1}, 0), "k")
            assert (again.entry.version, made, heard.view.position) == (1, not kept, 1)

    run(test)


def test_the_leader_creates_the_log_once_and_continues_it_after_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        lineages = []
        for start in range(2):
            async with scene(tmp_path / "data") as s:
                publisher = s.engine.publisher
                assert publisher.position == start
                await publisher.publish("ann", draft("all", {"n": start}, start))
                lineages.append(await s.engine.store.read(lambda r: r.lineage()))
        assert lineages[0] == lineages[1] != ""

    run(test)


def test_the_history_and_the_number_of_scopes_are_bounded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        monkeypatch.setattr(decisions, "MAX_SCOPES", 3)
        async with store_of("sqlite", tmp_path) as store:
            publisher, _ = await publisher_on(store)
            for n in range(3):
                await publisher.publish("ann", draft(f"zone={n}", {}, 0))
            with pytest.raises(Refusal, match="expected 3 scopes at most") as found:
                await publisher.publish("ann", draft("all", {}, 0))
            assert found.value.code == "FULL"
            await publisher.publish("ann", draft("zone=0", None, 1))
            publisher.keep = 0
            assert await publisher.compact() == 2  # the version and its removal
            await publisher.publish("ann", draft("all", {}, 0))

    run(test)


# The API

VERSION = "number scope overlay base restores actor note inForce"


def code_of(body: dict[str, Any]) -> str:
    return str(body["errors"][0]["extensions"]["code"])


def test_operators_publish_query_and_restore_through_the_api(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path / "data") as s:
            made = "mutation($i: PublishInput!) { publish(input: $i) { %s } }" % VERSION  # noqa: UP031
            first = {"scope": "zone=a", "overlay": {"settings": {"instances": 2}}, "base": 0, "note": "more",
                     "idempotencyKey": "k"}
            for _ in range(2):
                found = (await s.ask(made, i=first))["data"]["publish"]
                assert found == {"number": 1, "scope": "zone=a", "overlay": first["overlay"], "base": 0, "restores": 0,
                                 "actor": "admin", "note": "more", "inForce": True}
            for wrong, code in (({"scope": "zone=a", "overlay": {}, "base": 0}, "CONFLICT"),
                                ({"scope": "zones=a", "overlay": {}, "base": 0}, "BAD_INPUT"),
                                ({"scope": "all", "overlay": [], "base": 0}, "BAD_INPUT"),
                                ({"scope": "zone=a", "base": 1}, "BAD_INPUT"),
                                ({"scope": "all", "overlay": {}, "base": 9}, "BAD_INPUT")):
                assert code_of(await s.ask(made, i=wrong)) == code, wrong
            await s.ask(made, i={"scope": "zone=a", "overlay": {"settings": {"instances": 3}}, "base": 1})
            back = await s.ask("mutation { restoreVersion(input: {version: 1, base: 2}) { number restores } }")
            assert back["data"]["restoreVersion"] == {"number": 3, "restores": 1}
            log = await s.ask('{ versions(scope: "zone=a", first: 2) { edges { cursor node { number inForce } } '
                              "pageInfo { hasNextPage endCursor } } version(number: 9) { number } }")
            assert [edge["node"] for edge in log["data"]["versions"]["edges"]] == [
                {"number": 3, "inForce": True}, {"number": 2, "inForce": False}]
            assert log["data"]["version"] is None
            rest = await s.ask("query($a: String) { versions(after: $a) { edges { node { number } } } }",
                               a=log["data"]["versions"]["pageInfo"]["endCursor"])
            assert [edge["node"]["number"] for edge in rest["data"]["versions"]["edges"]] == [1]
            runs = await s.ask('{ configurationOf(instance: "i", zone: "a") { position overlay layers { number } } }')
            assert runs["data"]["configurationOf"] == {
                "position": 3, "overlay": {"settings": {"instances": 2}}, "layers": [{"number": 3}]}
            assert code_of(await s.ask('{ configurationOf(zone: "%s") { position } }' % ("z" * 129))) == "BAD_INPUT"
            assert code_of(await s.ask("{ versions(first: 101) { edges { cursor } } }")) == "BAD_INPUT"
            reader = (await s.ask('mutation { createToken(name: "r", role: READ) { secret } }')
                      )["data"]["createToken"]["secret"]
            assert code_of(await s.ask(made, reader, i=first)) == "FORBIDDEN"
            assert (await s.ask("{ versions { edges { cursor } } }", reader))["data"]
            s.engine.leader = Owner(0, "", "", 0)
            assert code_of(await s.ask(made, i=first)) == "NOT_LEADING"
            s.engine.leader = None

    run(test)


@dataclass
class Row:
    name: str = "i7"
    running: int = 3
    status: str = "refused"
    detail: str = "why"


@dataclass
class Sums:
    lineage: str = "l"
    position: int = 4
    followers: int = 12
    counts: tuple[tuple[int, int], ...] = ((4, 10), (3, 2))
    differing: tuple[Row, ...] = (Row(),)
    more: int = 1


@dataclass
class One:
    agent: str
    known: bool = True
    heard_ms: int = 0
    age_ms: int = 2**40
    summary: Sums = field(default_factory=Sums)


class Serves:
    def summary(self) -> list[One]:
        return [One("h:1"), One("h:2", False, 9_000)]


def test_served_and_differing_instances_are_reported_even_without_the_store(tmp_path: Path) -> None:
    query = ("{ served { position agents { agent known heardMs ageMs position instances more "
             "positions { position instances } differing { name running status detail } } } }")

    async def test() -> None:
        async with scene(tmp_path / "data") as s:
            s.engine.publisher.served = None
            assert (await s.ask(query))["data"]["served"] == {"position": 0, "agents": []}
            s.engine.publisher.served = Serves()
            found = (await s.ask(query))["data"]["served"]
            assert found["agents"][0] == {
                "agent": "h:1", "known": True, "heardMs": 0, "ageMs": 2**31 - 1, "position": 4, "instances": 12,
                "more": 1, "positions": [{"position": 4, "instances": 10}, {"position": 3, "instances": 2}],
                "differing": [{"name": "i7", "running": 3, "status": "refused", "detail": "why"}]}
            assert not found["agents"][1]["known"]

            async def away(work: Any) -> Any:
                raise StoreError("AWAY", "not reached")

            s.engine.store.read = away  # type: ignore[method-assign]
            found = (await s.ask(query))["data"]["served"]
            assert found["position"] is None and len(found["agents"]) == 2

    run(test)
