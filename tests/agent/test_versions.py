"""Published versions in the record of an agent, on both stores."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from ironscale.agent.postgres import PostgresStore
from ironscale.agent.sqlite import SqliteStore
from ironscale.agent.store import Records
from ironscale.standins.postgres import Data, Session
from ironscale.versions.model import ALL, Entry, Scope, read_scope
from ironscale.versions.view import View
from tests.agent.scene import run
from tests.agent.test_postgres import hosts, store_on

SCOPES = [ALL, *map(read_scope, ("region=r", "zone=a", "zone=b", "service=s", "instance=i"))]


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
def test_numbers_have_no_holes_and_what_failed_leaves_none(kind: str, tmp_path: Path) -> None:
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
            assert await store.read(lambda r: r.versions(99, 9, read_scope("zone=a"))) == []
            assert await store.read(lambda r: r.version(9)) is None

    run(test)


@both
@pytest.mark.parametrize("seed", range(6))
def test_who_follows_the_record_from_anywhere_has_what_the_whole_log_says(
    kind: str, seed: int, tmp_path: Path
) -> None:
    """Versions, ends of scopes and compactions by chance; followers look now and then, some of them hardly ever."""
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
                        view.take(change)
                        assert view.position == step + 1
                        told = {s: e for s, e in view.entries.items() if e.overlay is not None}
                        meant = {s: e for s, e in whole.entries.items() if e.overlay is not None}
                        assert told == meant, (seed, step, number)

    run(test)


@both
def test_what_is_compacted_is_what_nothing_in_the_kept_history_needs(kind: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with store_of(kind, tmp_path) as store:
            zone, service = read_scope("zone=a"), read_scope("service=s")
            for at_ms, scope, overlay in ((1, zone, {"n": 1}), (2, ALL, {"n": 2}), (3, zone, {"n": 3}),
                                          (4, service, {"n": 4}), (5, service, None), (6, ALL, {"n": 6}),
                                          (7, ALL, {"n": 7}), (8, ALL, {"n": 8})):
                await store.write(add(scope, overlay, at_ms))
            lineage = await store.read(lambda r: r.lineage())

            async def numbers() -> list[int]:
                return [p.entry.version for p in await store.read(lambda r: r.versions(99, 99))]

            assert await store.write(lambda r: r.compact_versions(8, 0)) == 0
            # six are kept: of before them what was in force then, as a way back from the first change needs it
            assert await store.write(lambda r: r.compact_versions(6, 0)) == 0 and 2 in await numbers()
            assert await store.write(lambda r: r.compact_versions(5, 0)) == 1
            assert await numbers() == [8, 7, 6, 5, 4, 3, 2]
            assert (await store.read(lambda r: r.version_change(3, lineage))).is_snapshot is False
            # by age alike; that the service has none is no longer told, so who may not know gets the whole
            assert await store.write(lambda r: r.compact_versions(99, 7)) == 3 and await numbers() == [8, 7, 6, 3]
            late = await store.read(lambda r: r.version_change(4, lineage))
            assert late.is_snapshot and late.floor == 5 and [e.version for e in late.entries] == [3, 8]
            fresh = await store.read(lambda r: r.version_change(5, lineage))
            assert not fresh.is_snapshot and [e.version for e in fresh.entries] == [8]
            assert await store.write(lambda r: r.compact_versions(0, 99)) == 2 and await numbers() == [8, 3]
            assert (await store.write(add(service, {}))).version == 9  # a number is never given again
            assert (await store.read(lambda r: r.version(9))).entry.base == 0  # type: ignore[union-attr]

    run(test)


@both
def test_of_another_lineage_or_ahead_of_the_log_everything_is_told(kind: str, tmp_path: Path) -> None:
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


def test_a_commit_between_two_looks_of_a_follower_leaves_no_scope_out() -> None:
    async def test() -> None:
        data = Data()
        async with hosts(data, data) as (one, other), store_on(one) as leader, store_on(other) as reader:
            reader.holder.follows = True
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
