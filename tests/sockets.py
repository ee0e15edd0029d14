"""Shared by the socket tests: a sidecar in this process between stand-ins, and a client for it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

from ironscale.net.config import Config, parse
from ironscale.net.sidecar import Sidecar
from ironscale.standins.discovery import FakeDiscovery, listing
from ironscale.standins.http import Message, read_message
from ironscale.standins.settings import SETTINGS

TEST_TIMEOUT_S = 30.0  # no test waits this long unless something is broken


def run(test: Callable[[], Coroutine[Any, Any, None]], limit_s: float = TEST_TIMEOUT_S) -> None:
    """Runs a test on an event loop of its own; raises TimeoutError after `limit_s`."""
    async def limited() -> None:
        await asyncio.wait_for(test(), limit_s)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(limited())


async def until(condition: Callable[[], object]) -> None:
    """Polls until the condition holds, for events that only show in some object's state."""
    while not condition():
        await asyncio.sleep(0.001)


_reserved_ports: list[socket.socket] = []


def free_port() -> int:
    """A port for a process that is started later, or repeatedly. It stays bound here without a listener until this
    process ends: a released port may be given to another test a moment later, whose clients would then reach the wrong
    server. One CI run had two tests fail at once this way."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # set on both sides, so the other may bind it too
    reserved.bind(("127.0.0.1", 0))
    _reserved_ports.append(reserved)
    return int(reserved.getsockname()[1])


async def open_with_request(port: int, request: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection and sends a request on it, both in one step of the event loop. Were the loop to lose the CPU
    between the two, the other side would see a silent connection, which it may close to make room or at its end."""
    sock = socket.create_connection(("127.0.0.1", port))
    try:
        sock.setblocking(False)
        assert sock.send(request) == len(request)
        return await asyncio.open_connection(sock=sock)
    except BaseException:
        sock.close()
        raise


def config(discovery_port: int, *entries: dict[str, Any], **changes: Any) -> Config:
    return parse({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{discovery_port}", "seed": "1f",
        "limits": {"sockets": 1024}, "known": listing(*entries), "settings": {**SETTINGS, **changes},
    }, {})


class Scene:
    """A sidecar in this process with its discovery, and methods to send it requests."""

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

    def request(self, class_name: str = "view", body: bytes = b"", remaining: str = "8000m") -> bytes:
        self.count += 1
        method = "GET" if class_name == "view" else "POST"
        key = "Idempotency-Key: k\r\n" if class_name == "mark" else ""
        return (f"{method} /api?sid=7f HTTP/1.1\r\nHost: service.internal\r\nX-Txn: t{self.count}\r\n"
                f"X-Lane: {class_name}\r\nX-Org: north\r\nX-Remaining: {remaining}\r\n{key}"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    async def call(self, class_name: str = "view", body: bytes = b"", remaining: str = "8000m") -> Message:
        return await self.send(self.request(class_name, body, remaining))

    async def send(self, data: bytes) -> Message:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        try:
            return await read_message(reader)
        finally:
            writer.close()
