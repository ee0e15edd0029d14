"""Operator commands on a store of record, in SQLite or PostgreSQL. The functions raise StoreFailure."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TypeVar

from ironscale.operator_file import StoreConfig
from ironscale.record.journal import Open
from ironscale.record.model import Row, Store, StoreFailure
from ironscale.record.sql import Dialect, row
from ironscale.record.store_factory import make_store

T = TypeVar("T")
TIMEOUT_S = 10.0


def run_in_store(target: StoreConfig, operation: Callable[[Store], Awaitable[T]]) -> T:
    """Opens the store, runs one operation on it and closes it."""
    opened = make_store(target, "the operator file", busy_ms=int(TIMEOUT_S * 1000))

    async def run() -> T:
        store = opened()
        try:
            return await operation(store)
        finally:
            await store.close()

    return asyncio.run(run())


def select(target: StoreConfig, statement: str, values: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
    """The rows of a statement of `Dialect`, given by its attribute name."""
    if target.sqlite is not None:
        from ironscale.record.sqlite import reader

        source = reader(target.sqlite)
        try:
            return source.read(lambda transaction: transaction.execute(getattr(Dialect("sqlite"), statement), values))
        finally:
            source.close()

    async def ask(store: Any) -> list[tuple[Any, ...]]:
        async def work(transaction: Any) -> list[tuple[Any, ...]]:
            rows: list[tuple[Any, ...]] = await transaction.execute(
                getattr(Dialect("postgresql"), statement), tuple(values)
            )
            await transaction.execute("ROLLBACK")
            return rows

        found: list[tuple[Any, ...]] = await store.run(work, asyncio.get_running_loop().time() + TIMEOUT_S)
        return found

    return run_in_store(target, ask)


def records(target: StoreConfig, request: str) -> list[Row]:
    """The records of a request id."""
    return [row(values) for values in select(target, "by_request", (request,))]


def counts(target: StoreConfig) -> list[tuple[str, str, int]]:
    """The number of rows per state and class, as (state, class, count)."""
    return [(str(state), str(kind), int(count)) for state, kind, count in select(target, "counts")]


def resolve_attempts(target: StoreConfig, entries: Sequence[Open]) -> dict[str, str]:
    """The outcome of each attempt, fencing those without a record: "ran", "never ran", or why it is still unknown."""
    async def ask(store: Store) -> dict[str, str]:
        found = {}
        for entry in entries:
            try:
                answer = await store.ask(entry.attempt, asyncio.get_running_loop().time() + TIMEOUT_S)
                found[entry.attempt] = "never ran" if answer is None else "ran"
            except StoreFailure as failure:
                found[entry.attempt] = f"not known: {failure}"
        return found

    return run_in_store(target, ask)


def prune(target: StoreConfig, older_ms: int) -> int:
    """Deletes void markers older than `older_ms` by the store's clock. Returns their number."""
    async def work(store: Any) -> int:
        if target.sqlite is not None:
            return len(await store.writer.run(lambda transaction: transaction.execute(
                Dialect("sqlite").prune, (older_ms,))))

        async def delete(transaction: Any) -> int:
            deleted = await transaction.execute(Dialect("postgresql").prune, (older_ms,))
            await transaction.commit()
            return len(deleted)

        found: int = await store.run(delete, asyncio.get_running_loop().time() + TIMEOUT_S)
        return found

    return run_in_store(target, work)
