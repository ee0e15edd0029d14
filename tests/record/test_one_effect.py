"""Attempts of several requests with one key, in drawn orders around the end of its memory: each request is written at
most once, and each attempt gets the answer that was stored for it."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import pytest

from ironscale.record import database
from ironscale.record.model import Entry, Verdict, WriteResult
from ironscale.record.sqlite import SqliteStore, reader, rows
from tests.record.postgres import postgres_store
from tests.record.samples import another_attempt, entry
from tests.sockets import run

MEMORY_MS = 1_200
REQUESTS = ("a", "b", "c")
EVENTS = 40


class StoreUnderTest:
    """A store whose clock the test moves on."""

    def __init__(self, write: Callable[[Entry], Awaitable[WriteResult]], advance: Callable[[int], None],
                 written: Callable[[], list[str]]) -> None:
        self.write, self.advance, self.written = write, advance, written


@contextlib.asynccontextmanager
async def sqlite(folder: Path, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[StoreUnderTest]:
    now_ms = 1_000_000

    def advance(by_ms: int) -> None:
        nonlocal now_ms
        now_ms += by_ms

    def written() -> list[str]:
        found = reader(store.path)
        try:
            return [one.request for one in rows(found) if one.state == "written"]
        finally:
            found.close()

    monkeypatch.setattr(database, "steady_unix_ms", lambda: now_ms)
    store = SqliteStore(folder / "r.db")
    yield StoreUnderTest(store.write, advance, written)
    await store.close()


@contextlib.asynccontextmanager
async def postgres(folder: Path, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[StoreUnderTest]:
    async with postgres_store() as (store, (host,)):
        def advance(by_ms: int) -> None:
            host.data.skew_ms += by_ms

        def written() -> list[str]:
            return [name for name, in host.data.all("SELECT request FROM records WHERE state = 'written'")]

        yield StoreUnderTest(lambda one: store.write(one, asyncio.get_running_loop().time() + 20.0), advance, written)


STORES = {"sqlite": sqlite, "postgresql": postgres}


async def play(store: StoreUnderTest, rng: random.Random) -> None:
    firsts = {name: entry(name, "deduplicated", memory_ms=MEMORY_MS) for name in REQUESTS}
    now_ms, holder, held_until_ms, ran = 0, "", 0, set[str]()
    for _ in range(EVENTS):
        step_ms = rng.choice((0, 100, MEMORY_MS // 2, MEMORY_MS + 1))
        store.advance(step_ms)
        now_ms += step_ms
        name = rng.choice(REQUESTS)
        result = await store.write(another_attempt(firsts[name]))
        if name in ran:
            expected = WriteResult(Verdict.REPEAT, firsts[name].answer)
        elif holder and now_ms < held_until_ms:
            expected = WriteResult(Verdict.REPEAT, firsts[holder].answer)
        else:
            expected = WriteResult(Verdict.WRITTEN, firsts[name].answer)
            holder, held_until_ms = name, now_ms + MEMORY_MS
            ran.add(name)
        assert result == expected, (name, now_ms, holder, held_until_ms, ran)
    assert Counter(store.written()) == Counter(ran)


# Guards against a second effect of one request, whose last attempt arrives after the key's memory has ended.
@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("kind", STORES)
def test_each_request_is_written_once_in_any_order_of_attempts(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch, kind: str, seed: int) -> None:
    async def test() -> None:
        async with STORES[kind](tmp_path, monkeypatch) as store:
            await play(store, random.Random(f"{kind} {seed}"))

    run(test)


# Guards against a conflict that is told to a request that was written, as its key was used anew with other content.
@pytest.mark.parametrize("kind", STORES)
def test_a_late_attempt_gets_its_own_answer_though_the_key_is_used_anew(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch, kind: str) -> None:
    async def test() -> None:
        async with STORES[kind](tmp_path, monkeypatch) as store:
            first = entry("a", "deduplicated", memory_ms=MEMORY_MS)
            assert (await store.write(first)).verdict is Verdict.WRITTEN
            store.advance(MEMORY_MS + 1)
            other = entry("b", "deduplicated", body=b"other", memory_ms=MEMORY_MS)
            assert (await store.write(other)).verdict is Verdict.WRITTEN
            for pause_ms in (0, MEMORY_MS + 1):
                store.advance(pause_ms)
                assert await store.write(another_attempt(first)) == WriteResult(Verdict.REPEAT, first.answer)
                assert await store.write(another_attempt(other)) == WriteResult(Verdict.REPEAT, other.answer)
            assert sorted(store.written()) == ["a", "b"]

    run(test)
