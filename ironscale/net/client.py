"""A client's connection: an HTTP/1.1 parser that gives each request exactly one answer."""

from __future__ import annotations

import asyncio
import select
import socket
import traceback
from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

import httptools

from ironscale import logs
from ironscale.net.errors import Severity, severity
from ironscale.net.lifecycle import Event, Ledger, Lifecycle
from ironscale.net.stream import Stream, Unread, peek, since_last_byte_us

MAX_BODY = 64 << 10
MAX_HEAD = 64 << 10
MAX_HEADERS = 100
MOST_UNREAD = 16 * MAX_BODY  # bytes of answers that a client has not read
LEAST_WAIT_US = 20_000  # of a request before it is read, that counts; the kernel tells some milliseconds
PIECE = 16 << 10  # bytes parsed at a time: no more requests than these hold are kept waiting
UNREAD_ANSWER_S = 5.0  # for an answer to leave; longer than any client waits
LOOKS = 3  # at what a poll says, where a missed end would have a request sent on for nobody
LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR
READY_PATH = b"/health/ready"
REASONS = {200: b"OK", 400: b"Bad Request", 408: b"Request Timeout", 413: b"Content Too Large",
           502: b"Bad Gateway", 503: b"Service Unavailable"}
# Headers that speak of one connection or of the framing, and so are not passed on.
HOP_BY_HOP = frozenset((b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer",
                        b"transfer-encoding", b"upgrade", b"content-length", b"expect"))
# Hazard: some servers read the first two as the framing headers that they resemble, and the parser
# takes what follows `Upgrade` for another protocol and leaves the body out.
UNWANTED = frozenset((b"transfer_encoding", b"content_length", b"upgrade"))
Headers = list[tuple[bytes, bytes]]


class TooLarge(Exception):
    pass


class Exchange:
    """One request of the application and the answer that it is owed."""

    def __init__(self, connection: ClientConnection, method: bytes, target: bytes, headers: Headers,
                 body: bytes, keep_alive: bool, arrived_us: int) -> None:
        self.connection = connection
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive
        self.arrived_us = arrived_us
        self.lifecycle = Lifecycle(connection.server.ledger)
        self.has_left = connection.has_left
        self.fields: dict[bytes, bytes] = {}
        for name, value in headers:
            # what comes twice is empty, as nobody can say which one counts
            self.fields[name] = value if name not in self.fields else b""

    def header(self, name: bytes) -> str:
        """Its value; empty if there is none or more than one."""
        return self.fields.get(name, b"").decode("latin-1")

    def answer(self, status: int, headers: Iterable[tuple[bytes, bytes]] = (), body: bytes = b"") -> None:
        if self.lifecycle.answer(status):
            self.connection.answer(self, status, headers, body)


class Application(Protocol):
    """What the server needs to know of the sidecar."""

    def is_ready(self) -> bool: ...

    def on_request(self, exchange: Exchange) -> None: ...

    def on_client_disconnected(self, exchange: Exchange) -> None: ...


class Server(Protocol):
    """What a connection needs to know of who has accepted it."""

    application: Application
    ledger: Ledger
    now_us: Callable[[], int]

    def wants_close(self, connection: ClientConnection) -> bool:
        """Whether it should end with its next answer."""

    def settle(self, connection: ClientConnection) -> None:
        """Its state may have changed."""

    def watch(self, connection: ClientConnection) -> None:
        """Its reading has been paused, and so its end is not told."""

    def unwatch(self, connection: ClientConnection) -> None:
        """It is read again."""

    def lost(self, connection: ClientConnection) -> None:
        """It has ended."""


class ClientConnection:
    def __init__(self, server: Server, sock: socket.socket) -> None:
        self.server = server
        self.sock = sock
        self.descriptor = sock.fileno()  # also when the socket object knows it no more
        self.transport: Stream | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.current: Exchange | None = None
        self.waiting: deque[Exchange] = deque()  # sent ahead of the answer to the one before
        self.unparsed = b""
        self.is_new = True  # nothing has been read from it
        self.reading = False  # a request has begun and is not whole
        self.asked = False  # there has been a request, not only for readiness
        self.final = False  # nothing more is read: it ends with the answers that are owed
        self.paused = False  # reading, and so the client's end is not told
        self.ends: select.poll | None = None
        self.since_us = self.answered_us = server.now_us()  # silent or idle since then; the last answer was given

    def open(self) -> None:
        self.transport = Stream(self.sock, self)

    def resume_writing(self) -> None:
        """The whole of the last answer has left."""

    def data_received(self, data: bytes) -> None:
        self.is_new = False
        self.unparsed += data
        self.parse()

    def parse(self) -> None:
        while self.unparsed and not self.waiting and not self.final:
            piece, self.unparsed = self.unparsed[:PIECE], self.unparsed[PIECE:]
            try:
                assert self.parser is not None
                self.parser.feed_data(piece)
            except httptools.HttpParserUpgrade:
                self.reject(400)
            except httptools.HttpParserError as error:
                self.reject(413 if isinstance(error.__context__, TooLarge) else 400)
            if self.reading and self.in_head:
                # hazard: the parser keeps a line without end to itself, and no header is seen
                self.head_size += len(piece)
                if self.head_size > MAX_HEAD and not self.final:
                    self.reject(413)
        if self.transport is not None and not self.transport.is_closing():
            # hazard: a client that does not wait for its answers would fill the memory
            self.paused = bool(self.waiting) or self.final
            if self.paused:
                self.transport.pause_reading()
                self.server.watch(self)
            else:
                self.transport.resume_reading()
                self.server.unwatch(self)
        self.server.settle(self)

    def on_message_begin(self) -> None:
        self.reading = True
        self.in_head = True
        self.target = b""
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.head_size = self.headers_seen = self.body_size = 0

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers_seen += 1
        if self.headers_seen > MAX_HEADERS:
            raise TooLarge("head")
        if self.in_head:  # hazard: a trailer comes behind the body and could change what has been judged
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self.in_head = False
        if len(self.target) + sum(len(name) + len(value) for name, value in self.headers) > MAX_HEAD:
            raise TooLarge("head")
        for name, value in self.headers:
            # hazard: 60 MB would be read only to be turned away
            if name == b"content-length" and int(value) > MAX_BODY:
                raise TooLarge("body")
            if name in UNWANTED:
                raise ValueError(name)

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.body_size > MAX_BODY:
            raise TooLarge("body")
        self.body.append(body)

    def on_message_complete(self) -> None:
        assert self.parser is not None
        self.reading = False
        if self.final:  # behind a request that ended the connection
            return
        # hazard: in a process that was held up, or whose calls failed, it has lain unread
        waited_us = since_last_byte_us(self.sock)
        arrived_us = self.server.now_us() - (waited_us if waited_us >= LEAST_WAIT_US else 0)
        exchange = Exchange(self, self.parser.get_method(), self.target, self.headers, b"".join(self.body),
                            self.parser.should_keep_alive(), arrived_us)
        if self.current is None and not self.waiting:
            self.begin(exchange)
        else:
            self.waiting.append(exchange)

    def begin(self, exchange: Exchange) -> None:
        self.current = exchange
        self.server.settle(self)
        if exchange.target.partition(b"?")[0] == READY_PATH:
            exchange.answer(200 if self.server.application.is_ready() else 503)
            return
        self.asked = True
        try:
            self.server.application.on_request(exchange)
        except Exception:  # hazard: it would look like a broken parse and leave the request unanswered
            logs.write_line(traceback.format_exc())
            exchange.answer(502)

    def answer(self, exchange: Exchange, status: int, headers: Iterable[tuple[bytes, bytes]],
               body: bytes) -> None:
        if self.transport is None:
            return
        if not exchange.keep_alive or self.server.wants_close(self):
            self.final = True
        parts = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Unknown"))]
        parts += [b"%s: %s\r\n" % header for header in headers]
        parts.append(b"Content-Length: %d\r\n" % len(body))
        if self.final and not self.waiting:
            parts.append(b"Connection: close\r\n")
        parts.append(b"\r\n")
        parts.append(body)
        self.transport.write(b"".join(parts))
        self.answered_us = self.server.now_us()
        self.current = None
        if self.transport.get_write_buffer_size() > MOST_UNREAD:  # hazard: who sends ahead and reads no answer
            self.lost("answers unread")
            self.transport.abort()
        elif self.waiting:
            asyncio.get_running_loop().call_soon(self.next)
        elif self.final:
            self.transport.close()
        self.server.settle(self)

    def next(self) -> None:
        if self.current is None and self.waiting and self.transport is not None:
            self.begin(self.waiting.popleft())
            self.parse()

    def reject(self, status: int) -> None:
        """What cannot be read ends the connection; a request that came whole before it is answered."""
        self.final = True
        self.unparsed = b""
        if self.current is None and not self.waiting:
            self.current = Exchange(self, b"", b"", [], b"", False, 0)
            self.current.answer(status)

    def has_unread(self) -> bool:
        """Whether bytes have come that the loop has not read yet. Hazard: after a moment without CPU a request may
        lie there, and a close would reset it."""
        return peek(self.sock) is Unread.BYTES

    def has_left(self) -> bool:
        """Whether the client has ended its side, seen or not; if so, nothing more is owed here. Hazard: the loop may
        not have read the end yet, and does not while reading is paused, and what waits would be sent on for nobody."""
        if self.transport is None:
            return True
        if not self.transport.is_closing():  # else an answer could not be written, and the loop tells its end later
            unread = peek(self.sock)
            if unread is Unread.NOTHING or (unread is Unread.BYTES and not self.has_left_behind_bytes()):
                return False
        self.leave()
        return True

    def has_left_behind_bytes(self) -> bool:
        if self.ends is None:
            self.ends = select.poll()
            self.ends.register(self.sock, LEFT)
        # hazard: a poll that a signal interrupts says nothing
        return any(events & LEFT for _ in range(LOOKS) for _, events in self.ends.poll(0))

    def leave(self) -> None:
        """The client has ended its side."""
        self.lost("client left")
        if self.transport is not None:
            self.transport.close()

    def close(self, reason: str) -> None:
        """No request is open on it. One that has begun is told so; one that has come and is not read yet, or a part of
        it, goes on. Hazard: what is closed over unread bytes is reset, and takes a whole request for half of one."""
        if not self.final and (self.transport is None or self.has_unread()):
            return
        self.final = True
        if self.transport is None:
            return
        self.server.ledger.note(Event.CLOSED, reason)
        if self.transport.is_closing():
            # hazard: who never reads its answer would hold the descriptor, but one that still leaves is owed
            unsent = self.transport.get_write_buffer_size() > 0
            if not unsent or self.server.now_us() - self.answered_us >= UNREAD_ANSWER_S * 1e6:
                self.transport.abort()
        elif self.reading:
            self.reject(408)
        else:
            self.transport.close()

    def can_be_cut(self) -> bool:
        """Whether it may be closed at once, to make room: nothing has come on it, and no answer is still leaving."""
        if self.transport is None or self.transport.get_write_buffer_size():
            return False
        return self.final or self.reading or not self.has_unread()

    def is_busy(self) -> bool:
        return self.current is not None or bool(self.waiting)

    def eof_received(self) -> None:
        self.lost("client left")

    def connection_lost(self, exc: Exception | None) -> None:
        is_peers = exc is None or (isinstance(exc, OSError) and severity(exc) is not Severity.FATAL)
        self.lost(f"connection ended: {exc}" if exc is not None else "client left", is_ours=not is_peers)
        self.transport = None
        self.parser = None  # each refers to the other: only the collector would free them
        self.server.lost(self)

    def lost(self, reason: str, is_ours: bool = False) -> None:
        """Nothing is owed on it any more; `is_ours`: as this side has failed."""
        self.final = True
        self.unparsed = b""
        exchange, self.current = self.current, None
        for one in [*self.waiting, *([exchange] if exchange is not None else [])]:
            if is_ours:
                one.lifecycle.connection_closed(reason)
        self.waiting.clear()
        if exchange is not None and exchange.lifecycle.cancel(reason):
            self.server.application.on_client_disconnected(exchange)
