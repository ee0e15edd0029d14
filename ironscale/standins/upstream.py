"""A scripted upstream: what it was sent, and what it does with it."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from ironscale.standins.http import Message, ok, read_message

Behaviour = Callable[["Peer", Message, asyncio.StreamWriter], Awaitable[None]]


async def serve_ok(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(ok())


def reply(data: bytes) -> Behaviour:
    async def behave(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(data)

    return behave


async def reset(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def hang(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
    """Answers nothing until the script says what: see `Peer.answer_held`.

    Hazard: an answer written from outside while the behaviour still waits leaves its connection deaf; the
    sidecar has its answer, takes the connection again, and whether the next request is ever read hangs on
    how long connections rest.
    """
    held: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
    peer.held.append(held)
    writer.write(await held)


class Peer:
    """An upstream on a port of its own. `behave` may be changed at any time; it rules the next request."""

    def __init__(self, behave: Behaviour = serve_ok) -> None:
        self.behave = behave
        self.got: list[Message] = []
        self.executions: Counter[str] = Counter()  # by X-Txn: how often each request came whole
        self.keep_messages = True  # off for long runs: only the counts are kept
        self.opened = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.held: list[asyncio.Future[bytes]] = []  # requests that `hang` holds, oldest first
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> Peer:
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                self.executions[message.headers.get("x-txn", "")] += 1
                if self.keep_messages:
                    self.got.append(message)
                await self.behave(self, message, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer_held(self, data: bytes) -> None:
        """Every request that `hang` holds is answered by its own connection, which then reads on."""
        held, self.held = self.held, []
        for future in held:
            if not future.done():
                future.set_result(data)

    def entry(self, name: str, **changes: Any) -> dict[str, Any]:
        """This upstream as discovery lists it."""
        return {"instanceId": name, "hostPort": f"127.0.0.1:{self.port}", "zone": "a",
                "machineType": "large", "cell": 1, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0,
                **changes}

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
