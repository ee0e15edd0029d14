"""A PostgreSQL store on stand-in hosts, and hooks that hold or fail statements."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

from ironscale.record.postgres import ConnectionOptions, PostgresStore
from ironscale.standins.postgres import Data, Drop, Host, Session, SqlError


def dsn(*hosts: Host, **options: str) -> str:
    names = ",".join("127.0.0.1" for _ in hosts)
    ports = ",".join(str(host.port) for host in hosts)
    return " ".join([f"host={names} port={ports} user=app dbname=records",
                     *(f"{name}={value}" for name, value in options.items())])


@contextlib.asynccontextmanager
async def postgres_store(count: int = 1, data: Data | None = None, **changes: Any
                ) -> AsyncIterator[tuple[PostgresStore, list[Host]]]:
    """A store on `count` hosts that share their data. `changes` are fields of ConnectionOptions."""
    data = data or Data()
    hosts = [await Host(data).start() for _ in range(count)]
    store = PostgresStore(ConnectionOptions(dsn(*hosts), **changes))
    try:
        yield store, hosts
    finally:
        await store.close()
        for host in hosts:
            await host.stop()


class StatementGate:
    """Holds statements of one kind, before or after their execution, until `go` is set."""

    def __init__(self, kind: str, after: bool = False, times: int = 1) -> None:
        self.kind, self.after, self.times = kind, after, times
        self.reached, self.go = asyncio.Event(), asyncio.Event()

    async def __call__(self, session: Session, kind: str, after: bool) -> None:
        if (kind, after) == (self.kind, self.after) and self.times > 0:
            self.times -= 1
            self.reached.set()
            await self.go.wait()


class StatementFault:
    """Answers `times` statements of one kind with an error, or drops their connections."""

    def __init__(self, kind: str, error: SqlError | None = None, after: bool = False, times: int = 1) -> None:
        self.kind, self.error, self.after, self.times = kind, error, after, times

    async def __call__(self, session: Session, kind: str, after: bool) -> None:
        if (kind, after) == (self.kind, self.after) and self.times > 0:
            self.times -= 1
            raise self.error or Drop


def written_requests(data: Data) -> list[str]:
    return [request for request, in data.all("SELECT request FROM records WHERE state = 'written' ORDER BY request")]
