"""The application's side: an HTTP/1.1 server that gives each request exactly one answer."""

from __future__ import annotations

import asyncio
import traceback
from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol, cast

import httptools

MAX_BODY = 64 << 10
MAX_HEAD = 64 << 10
READY_PATH = b"/health/ready"
REASONS = {200: b"OK", 400: b"Bad Request", 413: b"Content Too Large", 502: b"Bad Gateway",
           503: b"Service Unavailable"}
# Headers that speak of one connection or of the framing, and so are not passed on.
HOP_BY_HOP = frozenset((b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer",
                        b"transfer-encoding", b"upgrade", b"content-length", b"expect"))
Headers = list[tuple[bytes, bytes]]


class Exchange:
    """One request of the application and the answer that it is owed."""

    def __init__(self, connection: ClientConnection, method: bytes, target: bytes, headers: Headers,
                 body: bytes, keep_alive: bool) -> None:
        self.connection = connection
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive
        self.closed = False  # answered, or the client has gone

    def header(self, name: bytes) -> str:
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return ""

    def answer(self, status: int, headers: Iterable[tuple[bytes, bytes]] = (), body: bytes = b"") -> None:
        if not self.closed:
            self.closed = True
            self.connection.answer(self, status, headers, body)


class Application(Protocol):
    """What the server needs to know of the sidecar."""

    def is_ready(self) -> bool: ...

    def on_request(self, exchange: Exchange) -> None: ...

    def on_client_gone(self, exchange: Exchange) -> None: ...


class ClientConnection(asyncio.Protocol):
    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.current: Exchange | None = None
        self.waiting: deque[Exchange] = deque()  # sent ahead of the answer to the one before
        self.reset()

    def reset(self) -> None:
        self.reading = False
        self.target = b""
        self.headers: Headers = []
        self.body = b""
        self.head_size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport = cast(asyncio.Transport, transport)  # uvloop's own are no subclass
        self.server.opened(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(400)
        except httptools.HttpParserError as error:
            inner = error.__context__
            self.reject(413 if isinstance(inner, OverflowError) else 400)

    def on_message_begin(self) -> None:
        self.reset()
        self.reading = True

    def on_url(self, url: bytes) -> None:
        self.target += url
        self.count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))
        self.count(len(name) + len(value))

    def count(self, size: int) -> None:
        self.head_size += size
        if self.head_size > MAX_HEAD:
            raise OverflowError("head")

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MAX_BODY:
            raise OverflowError("body")

    def on_message_complete(self) -> None:
        self.reading = False
        exchange = Exchange(self, self.parser.get_method(), self.target, self.headers, self.body,
                            self.parser.should_keep_alive())
        if self.current is None:
            self.begin(exchange)
        else:
            self.waiting.append(exchange)

    def begin(self, exchange: Exchange) -> None:
        self.current = exchange
        if exchange.target.partition(b"?")[0] == READY_PATH:
            exchange.answer(200 if self.server.application.is_ready() else 503)
            return
        try:
            self.server.application.on_request(exchange)
        except Exception:  # hazard: it would look like a broken parse and leave the request unanswered
            traceback.print_exc()
            exchange.answer(502)

    def answer(self, exchange: Exchange, status: int, headers: Iterable[tuple[bytes, bytes]],
               body: bytes) -> None:
        if self.transport is None:
            return
        keep = exchange.keep_alive and not self.server.wants_close()
        parts = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Unknown"))]
        parts += [b"%s: %s\r\n" % header for header in headers]
        parts.append(b"Content-Length: %d\r\n" % len(body))
        if not keep:
            parts.append(b"Connection: close\r\n")
        parts.append(b"\r\n")
        parts.append(body)
        self.transport.write(b"".join(parts))
        self.current = None
        if not keep and not self.waiting:
            self.transport.close()
        elif self.waiting:
            asyncio.get_running_loop().call_soon(self.next)

    def next(self) -> None:
        if self.current is None and self.waiting and self.transport is not None:
            self.begin(self.waiting.popleft())

    def reject(self, status: int) -> None:
        """What cannot be read ends the connection; a request that came whole before it is answered."""
        if self.transport is None:
            return
        exchange = Exchange(self, b"", b"", [], b"", keep_alive=False)
        if self.current is None:
            self.current = exchange
            exchange.answer(status)
        else:
            self.transport.pause_reading()
            self.current.keep_alive = False

    def is_idle(self) -> bool:
        return self.current is None and not self.waiting and not self.reading

    def eof_received(self) -> None:
        self.lost()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost()
        self.transport = None
        self.server.lost(self)

    def lost(self) -> None:
        exchange, self.current = self.current, None
        self.waiting.clear()
        if exchange is not None and not exchange.closed:
            exchange.closed = True
            self.server.application.on_client_gone(exchange)


class Server:
    """Listens, and knows the clients' connections."""

    def __init__(self, application: Application, most: int, now: Callable[[], float]) -> None:
        self.application = application
        self.most = most  # connections; past it they are closed with their next answer
        self.now = now
        self.connections: set[ClientConnection] = set()
        self.stopping = False
        self.last_opened_s = now()
        self.listener: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> int:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: ClientConnection(self), *address, backlog=1024)
        port: int = self.listener.sockets[0].getsockname()[1]
        return port

    def opened(self, connection: ClientConnection) -> None:
        self.connections.add(connection)
        self.last_opened_s = self.now()

    def lost(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)

    def wants_close(self) -> bool:
        return self.stopping or len(self.connections) > self.most

    def close_idle(self) -> None:
        for connection in list(self.connections):
            if connection.is_idle() and connection.transport is not None:
                connection.transport.close()

    async def stop(self, quiet_s: float, least_s: float, most_s: float, end_s: float) -> None:
        """Stop taking requests, losing none: new connections still come for a while after the signal.

        Idle connections are closed first, while a request that crosses the close can still come
        again on a new one; the listener goes once no connection has come for `quiet_s`.
        By `end_s` all is answered, and what is still open has no whole request on it.
        """
        self.stopping = True
        self.close_idle()
        start = self.now()
        while True:
            await asyncio.sleep(0.02)
            now = self.now()
            if now - start >= most_s or (now - start >= least_s and now - self.last_opened_s >= quiet_s):
                break
        if self.listener is not None:
            self.listener.close()
        self.close_idle()
        while self.connections and self.now() - start < end_s:
            await asyncio.sleep(0.02)
            self.close_idle()
