"""Upstreams in the test process that record what arrives, and misbehave when told to."""

from __future__ import annotations

import asyncio
import time
from typing import Any, cast

import httptools

from tests.faults.ledger import Arrival, Ledger
from tests.faults.tcp_info import SINCE_LAST_DATA_MS, tcp_info


class UpstreamConnection(asyncio.Protocol):
    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport = None  # type: ignore[assignment]
        self.headers: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.upstream.connections.add(self)
        self.upstream.opened += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.upstream.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.upstream.unreadable.append(repr(error.__context__ or error))
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        headers, self.headers = self.headers, {}
        txn = headers.get(b"x-txn", b"").decode()
        told = headers.get(b"x-remaining", b"0u")
        # subtract how long the data waited to be read, because this process may be late to read it
        unread_s = tcp_info(self.transport)[SINCE_LAST_DATA_MS] / 1e3
        told_s = int(told[:-1]) / (1e6 if told.endswith(b"u") else 1e3)
        self.upstream.ledger.record_arrival(txn, Arrival(time.monotonic() - unread_s, told_s, self.upstream.cell))
        self.upstream.serve(self, txn)

    def answer(self, status: bytes, body: bytes, extra: bytes = b"") -> None:
        if not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s%s" % (status, len(body), body, extra))


class Upstream:
    """An upstream that answers after `delay_s`, or misbehaves as `fault` says: hang, fail, reset, stray, halt."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger, self.delay_s, self.fault = ledger, 0.02, ""
        self.cell = 1
        self.connections: set[UpstreamConnection] = set()
        self.opened = 0  # connections accepted so far
        self.unreadable: list[str] = []
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> Upstream:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: UpstreamConnection(self), "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def serve(self, connection: UpstreamConnection, txn: str) -> None:
        if self.fault == "hang":
            return
        asyncio.get_running_loop().call_later(self.delay_s, self.answer, connection, txn)

    def answer(self, connection: UpstreamConnection, txn: str) -> None:
        if connection.transport.is_closing():
            return
        body = b"answer " + txn.encode()
        match self.fault:
            case "fail":
                connection.answer(b"500 Error", b"")
            case "reset":
                connection.transport.abort()
            case "stray":  # an unsolicited second answer, which must not become the answer to the next request
                connection.answer(b"200 OK", body, b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
            case "halt":
                connection.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
            case _:
                connection.answer(b"200 OK", body)

    def entry(self, name: str, **changes: Any) -> dict[str, Any]:
        return {"instanceId": name, "hostPort": f"127.0.0.1:{self.port}", "zone": "a", "machineType": "large",
                "cell": self.cell, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0, **changes}

    def reset_all(self) -> None:
        for connection in list(self.connections):
            connection.transport.abort()

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        self.reset_all()
