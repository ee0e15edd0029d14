"""The application's side: an HTTP/1.1 server that gives each request exactly one answer."""

from __future__ import annotations

import asyncio
import enum
import select
import socket
import traceback
from collections import deque
from collections.abc import Callable, Iterable
from itertools import islice
from typing import Protocol

import httptools

from ironscale import logs
from ironscale.net.closing import BACKLOG, ListenerShutdown
from ironscale.net.errors import Severity, severity
from ironscale.net.lifecycle import Event, Ledger, Lifecycle
from ironscale.net.periodic import Periodic
from ironscale.net.stream import Stream, Unread, peek, since_last_byte_us

MAX_BODY = 64 << 10
MAX_HEAD = 64 << 10
MAX_HEADERS = 100
MOST_UNREAD = 16 * MAX_BODY  # bytes of answers that a client has not read
LEAST_WAIT_US = 20_000  # of a request before it is read, that counts; the kernel tells some milliseconds
PIECE = 16 << 10  # bytes parsed at a time: no more requests than these hold are kept waiting
# Who sends no whole request gets an error or a close within so long, here and in the sweep's step less
# than the 3 s that are owed. A connection without an open request may be closed after 2 s; it is after
# LONGEST_IDLE_S, sooner only to make room.
SILENCE_S = 2.4
LONGEST_IDLE_S = 15.0
UNREAD_ANSWER_S = 5.0  # for an answer to leave; longer than any client waits
LEAST_IDLE_S, LEAST_SILENCE_S = 2.0, 0.1  # to make room, no sooner
# A shutdown waits so long for what a new connection was opened for: one from before it can come again, a later one not.
FIRST_BYTE_S, LATE_FIRST_BYTE_S = 0.25, 1.0
SWEEP_S = 0.2
LOOK_S = 0.03  # between two looks for the ends of clients that the loop does not read; 0.1 s are allowed
# Shares of the room: past so many idle connections one ends with its answer, and past so many of all if
# it has only asked for readiness.
MANY_IDLE, MANY = 1 / 3, 1 / 2
ACCEPTS = 32  # connections accepted before other work has its turn
LOOKS = 3  # at what a poll says, where a missed end would have a request sent on for nobody
LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR
LOOKED_AT = 8  # connections that are asked whether they can make room
LAST_S = 0.08  # for the last answers to leave, at the end of the process
ACCEPT_PAUSE_S = 0.02  # after an accept that failed for want of something
CLOSE_AGAIN_S = 0.02  # between two tries to close the listener
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

    def on_client_gone(self, exchange: Exchange) -> None: ...


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
            logs.line(traceback.format_exc())
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
            self.server.application.on_client_gone(exchange)


class Accepted(enum.Enum):
    """What has become of the connections that waited."""

    ALL = "all"
    SOME = "some"  # more may wait
    FAILED = "failed"  # more may wait, and cannot be accepted now


class Server:
    """Listens, and knows the clients' connections."""

    def __init__(self, application: Application, most: int, now_us: Callable[[], int],
                 ledger: Ledger | None = None) -> None:
        self.application = application
        self.ledger = ledger or Ledger(now_us, logs.line)
        self.most = most  # connections
        self.now_us = now_us
        self.loop = asyncio.get_running_loop()
        self.connections: set[ClientConnection] = set()
        # Those without an open request, the longest in that state first: `silent` have sent no whole
        # request, or only for readiness, or are closing; `idle` wait for their next one.
        self.silent: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}
        self.stopping = False
        self.stopping_since_us = 0
        self.is_full = False  # no connection is accepted until there is room
        self.last_opened_us = now_us()
        self.listener: socket.socket | None = None
        self.reuse_port = False
        self.closing: ListenerShutdown | None = None
        self.sweeper: Periodic | None = None
        self.paused: dict[int, ClientConnection] = {}  # by descriptor: the loop reads nothing of them, nor their end
        self.ends = select.poll()  # of all these: one call for a thousand of them takes what thirty for one each do
        self.looker: Periodic | None = None  # while there are any

    async def listen(self, address: tuple[str, int], reuse_port: bool = False) -> int:
        listener = socket.create_server(address, backlog=BACKLOG, reuse_port=reuse_port)
        try:
            listener.setblocking(False)
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # what it accepts inherits it
            self.loop.add_reader(listener, self.accept)
        except OSError:
            listener.close()  # hazard: a start that is tried again would have it beside it, and nobody accepts
            raise
        self.listener, self.reuse_port = listener, reuse_port
        self.sweeper = Periodic(SWEEP_S, self.sweep)
        port: int = listener.getsockname()[1]
        return port

    def accept(self) -> Accepted:
        """Some of those that wait. Hazard: without a descriptor to spare the event loop's own
        server accepts and closes, and a request that is written already is lost. What is not accepted waits in the
        kernel."""
        if self.listener is None:
            return Accepted.ALL
        for _ in range(ACCEPTS):
            if len(self.connections) >= self.most and not self.make_room():
                self.wait_for_room()
                return Accepted.FAILED
            try:
                sock, peer = self.listener.accept()
            except OSError as error:
                if severity(error) is Severity.AGAIN:
                    return Accepted.ALL
                if severity(error) is Severity.EXHAUSTED:
                    break
                continue  # that connection has gone, or its way; others may wait behind it (accept(2))
            is_probe = self.closing is not None and self.closing.is_probe(peer)
            # one that was reset before it was accepted may be another's probe, as it closes its listener
            if is_probe or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                sock.close()
                continue
            connection = ClientConnection(self, sock)
            self.connections.add(connection)
            self.silent[connection] = None
            self.last_opened_us = self.now_us()
            sock.setblocking(False)
            connection.open()
        else:
            return Accepted.SOME
        self.wait_for_room()
        self.loop.call_later(ACCEPT_PAUSE_S, self.accept_again)
        return Accepted.FAILED

    def wait_for_room(self) -> None:
        if self.listener is not None and not self.is_full:
            self.is_full = True
            self.loop.remove_reader(self.listener)

    def accept_again(self) -> None:
        if self.listener is not None and self.is_full:
            self.is_full = False
            self.loop.add_reader(self.listener, self.accept)

    def make_room(self) -> bool:
        """In place of the connection that has been silent longest, else of the one idle longest."""
        now_us = self.now_us()
        for connections, least_s in ((self.silent, LEAST_SILENCE_S), (self.idle, LEAST_IDLE_S)):
            for oldest in islice(connections, LOOKED_AT):
                if now_us - oldest.since_us < least_s * 1e6:
                    break
                if oldest.transport is not None and oldest.can_be_cut():
                    self.ledger.note(Event.CLOSED, "room")
                    oldest.transport.abort()
                    self.lost(oldest)
                    return True
        return False

    def settle(self, connection: ClientConnection) -> None:
        """Called when its state may have changed."""
        if connection.is_busy():
            self.silent.pop(connection, None)
            self.idle.pop(connection, None)
            return
        silent = connection.reading or connection.final or not connection.asked
        here, there = (self.silent, self.idle) if silent else (self.idle, self.silent)
        there.pop(connection, None)
        if connection not in here and connection in self.connections:
            connection.since_us = self.now_us()
            here[connection] = None

    def lost(self, connection: ClientConnection) -> None:
        self.unwatch(connection)  # hazard: its descriptor is another's soon
        self.connections.discard(connection)
        self.silent.pop(connection, None)
        self.idle.pop(connection, None)
        self.accept_again()

    def wants_close(self, connection: ClientConnection) -> bool:
        # hazard: clients that ask once and stay use up their own descriptors and ours
        crowded = self.has_many_idle() if connection.asked else len(self.connections) > MANY * self.most
        return self.stopping or crowded

    def has_many_idle(self) -> bool:
        return len(self.idle) > MANY_IDLE * self.most

    def sweep(self) -> None:
        logs.flush()
        now_us = self.now_us()
        longest_s = LEAST_IDLE_S if self.has_many_idle() else LONGEST_IDLE_S
        for connections, most_s, reason in ((self.silent, SILENCE_S, "silent"), (self.idle, longest_s, "idle")):
            for connection in list(connections):
                if now_us - connection.since_us < most_s * 1e6:
                    break
                del connections[connection]
                connection.close(reason)
                self.settle(connection)
        self.accept_again()

    def watch(self, connection: ClientConnection) -> None:
        """Its reading has been paused: from now on its end is looked for here."""
        if connection.descriptor not in self.paused:
            self.paused[connection.descriptor] = connection
            self.ends.register(connection.descriptor, LEFT)
            if self.looker is None:
                self.looker = Periodic(LOOK_S, self.look)

    def unwatch(self, connection: ClientConnection) -> None:
        if self.paused.get(connection.descriptor) is connection:
            del self.paused[connection.descriptor]
            self.ends.unregister(connection.descriptor)

    def look(self) -> None:
        """Those whose end has come, behind whatever lies unread, have gone: their requests hold nothing any more."""
        for descriptor, _ in self.ends.poll(0):
            connection = self.paused[descriptor]
            self.unwatch(connection)
            connection.leave()
        if not self.paused and self.looker is not None:
            self.looker.cancel()
            self.looker = None

    def close_idle(self) -> None:
        """Closes what rests, as the process ends; a request that crosses the close comes again on a new connection."""
        for connection in [*self.idle, *filter(self.rests_unasked, self.silent)]:
            if not connection.final:
                connection.close("shutdown, idle" if connection.asked else "shutdown, silent")
                self.settle(connection)

    def rests_unasked(self, connection: ClientConnection) -> bool:
        """Whether nothing more is awaited on it. Hazard: the first request on a new connection may be under way."""
        least_s = LEAST_SILENCE_S
        if connection.is_new:
            least_s = FIRST_BYTE_S if connection.since_us < self.stopping_since_us else LATE_FIRST_BYTE_S
        return (not connection.asked and not connection.reading
                and self.now_us() - connection.since_us >= least_s * 1e6)

    def close_listener(self) -> bool:
        """Whether it is closed; to be called again until it is. It stays open where a call fails, or somebody who waits
        can't be accepted."""
        if self.listener is None:
            return True
        if self.closing is None:
            self.closing = ListenerShutdown(self.listener, self.reuse_port, self.accept_all, self.drop_listener,
                                            self.now_us)
        try:
            return self.closing.step()
        except OSError as error:
            logs.line(f"closing the listener: {error}; tried again")
            return False

    def drop_listener(self) -> None:
        listener, self.listener = self.listener, None
        if listener is not None:
            self.loop.remove_reader(listener)
            listener.close()

    def accept_all(self) -> bool:
        """Whether all that waited have been accepted."""
        for _ in range(self.most // ACCEPTS + 1):
            accepted = self.accept()
            if accepted is not Accepted.SOME:
                return accepted is Accepted.ALL
        return False

    async def stop(self, quiet_s: float, least_s: float, most_s: float, end_s: float,
                   at_end: Callable[[], None] = lambda: None) -> None:
        """Stop taking requests, losing none: new connections still come for a while after the signal.

        Idle connections are closed first, while a request that crosses the close can still come
        again on a new one; the listener goes once no connection has come for `quiet_s`.
        At `end_s` what is still open is answered by `at_end`, and what comes from then on at once.
        """
        self.stopping = True
        self.stopping_since_us = start_us = self.now_us()

        def log(text: str) -> None:
            busy = sum(one.is_busy() for one in self.connections)
            self.ledger.log(f"shutdown, {(self.now_us() - start_us) / 1e6:.3f} s: {text}; "
                            f"{len(self.connections)} connections, {busy} with a request open")

        log("begins")
        while True:
            await asyncio.sleep(0.02)
            self.close_idle()
            now_us = self.now_us()
            quiet = now_us - self.last_opened_us >= quiet_s * 1e6
            if now_us - start_us >= (least_s if quiet else most_s) * 1e6:
                break
        closed = self.close_listener()
        while (self.connections or not closed) and (left_s := end_s - (self.now_us() - start_us) / 1e6) > 0.0:
            await asyncio.sleep(min(CLOSE_AGAIN_S, left_s))
            self.close_idle()
            if not closed:
                closed = self.close_listener()
        log("all that is open is answered" if self.connections else "nothing is open")
        at_end()
        self.drop_listener()
        while self.connections and self.now_us() - start_us < (end_s + LAST_S) * 1e6:
            for connection in list(self.connections):
                if not connection.is_busy() and not (connection.final and connection.transport is not None):
                    connection.close("shutdown")
            await asyncio.sleep(0.005)
        for connection in self.connections:
            if connection.current is not None:
                connection.current.lifecycle.connection_closed("the process ends")
        for timer in (self.sweeper, self.looker):
            if timer is not None:
                timer.cancel()
