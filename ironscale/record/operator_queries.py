"""What operators ask of a store, whichever of the two it is. Raises Trouble."""

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
    """Opens the store for one piece of work."""
    opened = make_store(target, "the operator file", busy_ms=int(TIMEOUT_S * 1000))

    async def whole() -> T:
        store = opened()
        try:
            return await operation(store)
        finally:
            await store.close()

    return asyncio.run(whole())


def select(target: StoreConfig, statement: str, values: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
    """One of the statements of `Dialect`, by its name."""
    if target.sqlite is not None:
        from ironscale.record.sqlite import reader

        found = reader(target.sqlite)
        try:
            return found.read(lambda transaction: transaction.execute(getattr(Dialect("sqlite"), statement), values))
        finally:
            found.close()

    async def ask(store: Any) -> list[tuple[Any, ...]]:
        async def work(turn: Any) -> list[tuple[Any, ...]]:
            rows: list[tuple[Any, ...]] = await turn.execute(getattr(Dialect("postgresql"), statement), tuple(values))
            await turn.execute("ROLLBACK")
            return rows

        found: list[tuple[Any, ...]] = await store.run(work, asyncio.get_running_loop().time() + TIMEOUT_S)
        return found

    return run_in_store(target, ask)


def records(target: StoreConfig, request: str) -> list[Row]:
    return [row(values) for values in select(target, "by_request", (request,))]


def counts(target: StoreConfig) -> list[tuple[str, str, int]]:
    """(state, class, how many)."""
    return [(str(state), str(kind), int(count)) for state, kind, count in select(target, "counts")]


def resolve_attempts(target: StoreConfig, entries: Sequence[Open]) -> dict[str, str]:
    """Asks of each attempt, behind the fence: "ran", "never ran", or why that is still not known."""
    async def ask(store: Store) -> dict[str, str]:
        found = {}
        for entry in entries:
            try:
                answer = await store.ask(entry.attempt, asyncio.get_running_loop().time() + TIMEOUT_S)
                found[entry.attempt] = "never ran" if answer is None else "ran"
            except StoreFailure as trouble:
                found[entry.attempt] = f"not known: {trouble}"
        return found

    return run_in_store(target, ask)


def prune(target: StoreConfig, older_ms: int) -> int:
    """Deletes marks that are older by the store's clock; gives how many there were."""
    async def work(store: Any) -> int:
        if target.sqlite is not None:
            return len(await store.writer.run(lambda transaction: transaction.execute(
                Dialect("sqlite").prune, (older_ms,))))

        async def delete(turn: Any) -> int:
            gone = await turn.execute(Dialect("postgresql").prune, (older_ms,))
            await turn.commit()
            return len(gone)

        found: int = await store.run(delete, asyncio.get_running_loop().time() + TIMEOUT_S)
        return found

    return run_in_store(target, work)
