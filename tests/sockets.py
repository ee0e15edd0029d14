"""Loopback stand-ins for upstreams and discovery, a client, and a sidecar between them.

They do what a test tells them to and measure nothing. Every port comes from the kernel.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import uvloop

from ironscale.net.config import Config, parse
from ironscale.net.sidecar import Sidecar

LIMIT_S = 30.0  # no test waits this long unless something is broken

SETTINGS: dict[str, Any] = {
    "accounts": [{"name": "north", "allowance-per-s": 100.0, "share": 0.5}],
    "areas": ["a", "b"], "kinds": ["large", "small"],
    "bounds": {"cancel": True, "conn-idle": 15_000_000, "dial-timeout": 2_000_000, "most-tries": 4,
               "max-retry-after": 1_000_000, "probes": False, "retry-after": True, "second-copies": True},
    "granularity": 4000, "instances": 1, "self-index": 0, "locality": 0, "weights": "none",
    "invariants": {"ask-within": 10_000_000, "cold-share": 0.13, "fall": 1_000_000,
                   "overload-factor": 2.5, "warm-up": 24_000_000},
    "registry-mode": "on_request", "report": {"how": "none", "names": []}, "value-by": "request",
    "request-classes": [
        {"name": "view", "aim": 4_000_000, "deadline": 8_000_000, "worth": 1.0, "effect": "idempotent"},
        {"name": "pay", "aim": 4_000_000, "deadline": 8_000_000, "worth": 5.0,
         "effect": "at_most_once"},
        {"name": "mark", "aim": 4_000_000, "deadline": 8_000_000, "worth": 3.0,
         "effect": "deduplicated", "group": "cell", "memory-span": 1_200_000},
    ],
}


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    async def limited() -> None:
        await asyncio.wait_for(test(), LIMIT_S)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(limited())


async def until(condition: Callable[[], object]) -> None:
    """Wait for an event that shows only in some object's state."""
    while not condition():
        await asyncio.sleep(0.001)


class Message:
    """A request or an answer as it stood on the socket."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines[1:] if line)}
        self.body = body

    @property
    def status(self) -> int:
        return int(self.first.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    head = await reader.readuntil(b"\r\n\r\n")
    message = Message(head[:-2], b"")
    message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    return message


def ok(body: bytes = b"done") -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


TURNED_AWAY = b"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
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
    await peer.released.wait()


class Peer:
    """An upstream: what it was sent, and what it does with it."""

    def __init__(self, behave: Behaviour = serve_ok) -> None:
        self.behave = behave
        self.got: list[Message] = []
        self.opened = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.released = asyncio.Event()
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
                self.got.append(message)
                await self.behave(self, message, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def entry(self, name: str, **changes: Any) -> dict[str, Any]:
        return {"instanceId": name, "hostPort": f"127.0.0.1:{self.port}", "zone": "a",
                "machineType": "large", "cell": 1, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0,
                **changes}


def listing(*entries: dict[str, Any], generation: int = 1, reset: bool = True) -> dict[str, Any]:
    return {"generation": generation, "reset": reset, "instances": list(entries)}


class FakeDiscovery:
    """Keeps every watch open and writes what the test says."""

    def __init__(self) -> None:
        self.targets: list[str] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.port = 0

    async def start(self) -> FakeDiscovery:
        server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        message = await read_message(reader)
        self.targets.append(message.first.split()[1])
        writer.write(self.head)
        self.writers.append(writer)
        await reader.read()
        writer.close()

    def line(self, data: dict[str, Any] | None, index: int = -1) -> None:
        raw = (json.dumps(data).encode() if data else b"") + b"\n"
        self.writers[index].write(b"%x\r\n%s\r\n" % (len(raw), raw))


def config(discovery_port: int, *entries: dict[str, Any], **changes: Any) -> Config:
    return parse({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{discovery_port}", "seed": "1f",
        "limits": {"sockets": 1024}, "known": listing(*entries), "settings": {**SETTINGS, **changes},
    }, {})


class Scene:
    """A sidecar in this process with its discovery, and what a client needs to call it."""

    def __init__(self) -> None:
        self.discovery = FakeDiscovery()
        self.sidecar: Sidecar = None  # type: ignore[assignment]
        self.port = 0
        self.count = 0

    async def start(self, *entries: dict[str, Any], **changes: Any) -> Scene:
        await self.discovery.start()
        self.sidecar = Sidecar(config(self.discovery.port, *entries, **changes))
        self.port = await self.sidecar.start()
        return self

    def request(self, lane: str = "view", body: bytes = b"", remaining: str = "8000m") -> bytes:
        self.count += 1
        method = "GET" if lane == "view" else "POST"
        key = "Idempotency-Key: k\r\n" if lane == "mark" else ""
        return (f"{method} /api?sid=7f HTTP/1.1\r\nHost: service.internal\r\nX-Txn: t{self.count}\r\n"
                f"X-Lane: {lane}\r\nX-Org: north\r\nX-Remaining: {remaining}\r\n{key}"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    async def call(self, lane: str = "view", body: bytes = b"", remaining: str = "8000m") -> Message:
        return await self.raw(self.request(lane, body, remaining))

    async def raw(self, data: bytes) -> Message:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        try:
            return await read_message(reader)
        finally:
            writer.close()
