"""A client's connection: parses HTTP/1.1 requests and gives each of them exactly one answer."""

from __future__ import annotations

import asyncio
import enum
import logging
import socket
import traceback
from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

from ironscale import logs
from ironscale.net.client_end import ClientEnd
from ironscale.net.end_poller import EndPoller
from ironscale.net.errors import Severity, severity
from ironscale.net.exchange import Exchange
from ironscale.net.http_message import MAX_BODY_BYTES
from ironscale.net.lifecycle import Event, Ledger
from ironscale.net.memory_budget import MemoryBudget
from ironscale.net.parse_pacing import ParsePacing, RequestPacing
from ironscale.net.request_parser import ParsedRequest, RequestParser
from ironscale.net.stream import Stream, Unread, peek, since_last_byte_us

MAX_UNREAD_ANSWER_BYTES = 16 * MAX_BODY_BYTES  # past it the connection of a client that reads no answers is aborted
MIN_READ_DELAY_US = 20_000  # shorter delays are ignored: the kernel's figure is only good to some milliseconds
MAX_PROBES_IN_CROWD = 1  # readiness probes on a connection without another request
RETRY_AFTER = ((b"Retry-After", b"0.200"),)  # seconds; told to clients that are refused for want of memory
UNREAD_ANSWER_TIMEOUT_S = 5.0  # how long a closing connection may take to send its answer; longer than any client waits
READY_PATH = b"/health/ready"
REASON_PHRASES = {200: b"OK", 400: b"Bad Request", 408: b"Request Timeout", 413: b"Content Too Large",
                  502: b"Bad Gateway", 503: b"Service Unavailable"}
logger = logging.getLogger("ironscale.clients")


class Phase(enum.Enum):
    """What a connection is doing."""

    NO_REQUEST = "no request yet"  # but perhaps readiness probes
    PARTIAL_REQUEST = "request read in part"
    OPEN_REQUEST = "request not answered"
    BETWEEN_REQUESTS = "between requests"
    CLOSING = "closing after its last answer"


class Application(Protocol):
    """The interface through which client connections call the sidecar."""

    def is_ready(self) -> bool:
        """The answer to the readiness probe."""

    def on_request(self, exchange: Exchange) -> None:
        """Takes a request; it must be answered exactly once, now or later."""

    def on_client_disconnected(self, exchange: Exchange) -> None:
        """The client has left before its request was answered."""


class Server(Protocol):
    """The interface through which a connection calls the server that accepted it."""

    application: Application
    ledger: Ledger
    now_us: Callable[[], int]
    unread_lines: logs.LineBudget
    end_poller: EndPoller
    memory: MemoryBudget
    parse_pacing: ParsePacing

    def wants_close(self, connection: ClientConnection) -> bool:
        """Whether the connection should be closed after its next answer."""

    def reclassify(self, connection: ClientConnection) -> None:
        """Called whenever the connection may have become busy, idle or silent."""

    def received(self, connection: ClientConnection) -> None:
        """The connection has received bytes."""

    def charge(self, connection: ClientConnection) -> None:
        """The memory that the connection holds may have changed."""

    def forget(self, connection: ClientConnection) -> None:
        """The connection has ended."""


class ClientConnection:
    """One accepted connection, which may carry many requests, also pipelined ones."""

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self.server = server
        self.sock = sock
        self.descriptor = sock.fileno()  # kept, as a closed socket object no longer knows it
        self.transport: Stream | None = None
        self.parser = RequestParser()
        self.current: Exchange | None = None
        self.pipelined: deque[Exchange] = deque()  # received before the current request was answered
        self.next_is_scheduled = False  # the next request begins in the next turn of the event loop
        self.is_new = True  # nothing has been read from it
        self.has_had_request = False  # readiness probes don't count
        self.probes = 0  # readiness probes so far
        self.finishing = False  # no more requests are read; the connection closes once the open ones are answered
        self.pacing = RequestPacing()
        self.is_paced = False  # reading is paused until the time that its pieces took to parse is paid off
        self.reading_paused = False  # if so, the event loop does not report the client's end
        # When it fell silent or idle, received its last bytes or became quiet, and was last answered.
        self.quiet_since_us = self.last_byte_us = self.last_answer_us = server.now_us()
        self.client_end = ClientEnd(sock, self.quiet_since_us)
        self.arrived_us = 0  # when the bytes read last, of which some may still be unparsed, reached this machine
        self.charged_bytes = 0  # of the server's MemoryBudget
        self.listed_phase: Phase | None = None  # kept by the server's QuietConnections
        self.close_reason = ""  # why this side closes it, with its phase; empty if it did not decide to
        self.close_decided_us = 0

    @property
    def ledger(self) -> Ledger:
        return self.server.ledger

    def open(self) -> None:
        self.transport = Stream(self.sock, self, self.server.memory.plan.read_bytes)

    def resume_writing(self) -> None:
        """Called by the stream; answers are written without waiting for room."""
        self.server.charge(self)

    def held_bytes(self) -> int:
        """The memory that its requests and unsent answers take, about."""
        requests = sum(one.size for one in self.pipelined) + (self.current.size if self.current is not None else 0)
        return self.parser.held_bytes() + requests + self.unsent_bytes()

    def unsent_bytes(self) -> int:
        """How much of its answers the kernel has not taken, as the client does not read them."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def data_received(self, data: bytes) -> None:
        self.is_new = False
        self.last_byte_us = self.server.now_us()
        # the bytes may have waited in the socket buffer while the process was stalled or its reads failed
        waited_us = since_last_byte_us(self.sock)
        self.arrived_us = self.last_byte_us - (waited_us if waited_us >= MIN_READ_DELAY_US else 0)
        if self.transport is not None and len(data) < self.transport.read_bytes:
            # the buffer is empty: an end would have been seen
            self.client_end.seen_open_us = self.last_byte_us
        self.parser.append(data)
        self.parse()
        self.server.received(self)

    def parse(self) -> None:
        while self.may_parse():
            self.parse_next()
            self.begin_queued()
        self.update_reading()
        self.server.reclassify(self)

    def pace(self, begun_us: int, ended_us: int, parsed_bytes: int) -> None:
        """Counts the time that a piece took to parse. While all requests in part together take more than their share,
        one that takes long waits until its pieces are paid off."""
        if not self.has_partial_request:
            self.pacing.reset()
            return
        shared = self.server.parse_pacing
        shared.spend(ended_us, self.pacing.spend(ended_us - begun_us, parsed_bytes))
        pause_us = shared.pause_us(ended_us)
        if pause_us and self.pacing.is_due():
            self.is_paced = True
            asyncio.get_running_loop().call_later(pause_us / 1e6, self.end_pace)

    def end_pace(self) -> None:
        self.is_paced = False
        self.pacing.reset()
        if self.transport is not None:
            self.parse()
            self.server.received(self)

    def update_reading(self) -> None:
        """Pauses reading while requests are queued, as pipelining without end would fill the memory, or resumes it."""
        if self.transport is None or self.transport.is_closing():
            return
        self.reading_paused = bool(self.pipelined or self.parser.unparsed_size()) or self.finishing or self.is_paced
        if self.reading_paused:
            self.transport.pause_reading()
            self.server.end_poller.watch(self)
        else:
            self.transport.resume_reading()
            self.server.end_poller.unwatch(self)

    def may_parse(self) -> bool:
        """Whether to parse on. Only one request waits for the one before it, and none while memory is short."""
        if not self.parser.unparsed_size() or self.finishing or self.is_paced:
            return False
        return not self.pipelined and (self.current is None or not self.server.memory.is_exceeded())

    def parse_next(self) -> None:
        """Queues the next request once it is complete."""
        begun_us, unparsed_bytes = self.server.now_us(), self.parser.unparsed_size()
        failure = self.parser.parse_next()
        ended_us, parsed_bytes = self.server.now_us(), unparsed_bytes - self.parser.unparsed_size()
        self.pipelined.extend(map(self.new_exchange, self.parser.take_complete()))
        if failure is not None:
            self.reject(failure.value)
        else:
            self.pace(begun_us, ended_us, parsed_bytes)

    def new_exchange(self, request: ParsedRequest) -> Exchange:
        return Exchange(self, request, self.arrived_us)

    @property
    def has_partial_request(self) -> bool:
        return self.parser.has_partial_request

    def begin_queued(self) -> None:
        if self.current is None and self.pipelined and self.transport is not None and not self.next_is_scheduled:
            self.begin(self.pipelined.popleft())

    def begin(self, exchange: Exchange) -> None:
        self.current = exchange
        self.server.reclassify(self)
        if exchange.target.partition(b"?")[0] == READY_PATH:
            self.probes += 1
            exchange.answer(200 if self.server.application.is_ready() else 503)
            return
        self.has_had_request = True
        memory = self.server.memory
        if memory.is_exceeded() and self.held_bytes() > memory.fair_share_bytes():
            self.server.ledger.note(Event.REJECTED, "memory")
            exchange.answer(503, RETRY_AFTER)
            return
        try:
            self.server.application.on_request(exchange)
        except Exception:  # the connection would end, and the request would stay unanswered
            logs.write_line(traceback.format_exc())
            exchange.answer(502)

    def answer(self, exchange: Exchange, status: int, headers: Iterable[tuple[bytes, bytes]],
               body: bytes) -> None:
        if self.transport is None:
            return
        if self.current is not exchange:  # the client would take it for the answer to its current request
            exchange.lifecycle.answered_out_of_turn()
            return
        if not exchange.keep_alive or (self.server.wants_close(self) and self.may_close_after_answer()):
            self.finishing = True
        parts = [b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Unknown"))]
        parts += [b"%s: %s\r\n" % header for header in headers]
        parts.append(b"Content-Length: %d\r\n" % len(body))
        if self.finishing and not self.pipelined:
            parts.append(b"Connection: close\r\n")
        parts.append(b"\r\n")
        parts.append(body)
        self.transport.write(b"".join(parts))
        self.last_answer_us = self.server.now_us()
        self.current = None
        if self.transport.get_write_buffer_size() > MAX_UNREAD_ANSWER_BYTES:  # the client reads no answers
            self.abort_unread()
        elif self.pipelined or (self.parser.unparsed_size() and not self.finishing):
            self.schedule_next()
        elif self.finishing:
            self.transport.close()
        self.server.reclassify(self)
        self.server.charge(self)

    def schedule_next(self) -> None:
        """Begins the next request in the next turn of the event loop: others have their turn between any two."""
        if not self.next_is_scheduled:
            self.next_is_scheduled = True
            asyncio.get_running_loop().call_soon(self.begin_next)

    def begin_next(self) -> None:
        """Begins the next pipelined request, and parses on."""
        self.next_is_scheduled = False
        if self.current is None and self.transport is not None:
            self.begin_queued()
            self.parse()  # also files the connection anew, if nothing has begun
            self.server.charge(self)

    def abort_unread(self) -> None:
        """Ends the connection of a client that reads no answers, and drops them."""
        self.record_close("answers unread", self.phase())
        self.cancel_requests("answers unread")
        if self.transport is not None:
            self.transport.abort()

    def may_close_after_answer(self) -> bool:
        """Whether nothing more has arrived that is owed an answer. Probes without end are owed none in a crowd."""
        return not self.has_further_request() or (not self.has_had_request and self.probes > MAX_PROBES_IN_CROWD)

    def has_further_request(self) -> bool:
        """Whether another request has arrived, at least in part, read or not: it is owed an answer as well."""
        return (bool(self.pipelined) or self.parser.unparsed_size() > 0 or self.has_partial_request
                or self.has_unread())

    def reject(self, status: int, headers: Iterable[tuple[bytes, bytes]] = ()) -> None:
        """Ends the connection over a malformed or incomplete request; complete ones before it are still answered."""
        if not self.close_reason:
            self.record_close(f"rejected with {status}", self.phase())
        self.finishing = True
        self.parser.discard()
        if self.current is None and not self.pipelined:
            self.current = Exchange(self, ParsedRequest(b"", b"", [], b"", False), 0)
            self.current.answer(status, headers)

    def free_memory(self) -> None:
        """Refuses the request received in part: it has not been taken, and its client may send it again."""
        self.record_close("memory", self.phase())
        self.reject(503, RETRY_AFTER)
        self.server.reclassify(self)
        self.server.charge(self)

    def has_unread(self) -> bool:
        """Whether bytes may have arrived that the event loop has not read yet. After a moment without CPU they may hold
        a request, and closing the socket would reset it."""
        return peek(self.sock) in (Unread.BYTES, Unread.UNKNOWN)

    def client_has_left(self) -> bool:
        """Whether the client has closed its side; if so, its requests are cancelled."""
        # once the transport closes no answer can be written: the client counts as gone
        if self.transport is not None and not self.transport.is_closing() and not self.client_end.is_seen():
            return False
        if self.transport is not None:
            self.on_client_left()
        return True

    def end_may_be_hidden(self) -> bool:
        """Whether the client may have left, for longer than an attempt may begin after it, without a sign of it."""
        # while reading goes on, the event loop comes to the end
        return self.reading_paused and self.client_end.may_be_hidden(self.server.now_us())

    def on_client_left(self) -> None:
        """Cancels the open requests and closes: the client has closed its side."""
        self.close_reason = self.close_reason or "client left"
        self.cancel_requests("client left")
        if self.transport is not None:
            self.transport.close()

    def close(self, reason: str) -> None:
        """Closes a connection without an open request. A request received in part gets status 408. With unread bytes
        the connection stays open: they would be thrown away, and may complete the request."""
        if self.transport is None or self.transport.is_over:
            return
        phase = self.phase()
        if self.transport.is_closing():
            self.abort_if_unsent_for_long(reason)
        elif phase is Phase.PARTIAL_REQUEST:
            if self.is_paced or not self.has_unread():
                self.record_close(reason, phase)
                self.reject(408)
        elif self.transport.close_unless_unread():
            self.record_close(reason, phase)
            self.finishing = True

    def abort_if_unsent_for_long(self, reason: str) -> None:
        """Aborts a closing connection whose client has not read its answer in time, and would hold the descriptor."""
        assert self.transport is not None
        if self.server.now_us() - self.last_answer_us >= UNREAD_ANSWER_TIMEOUT_S * 1e6:
            self.record_close(reason, self.phase())
            self.transport.abort()

    def close_to_make_room(self) -> bool:
        """Closes a connection without an open request, unless bytes are unread or an answer is still being sent;
        returns whether its descriptor is free."""
        if self.transport is None or self.transport.get_write_buffer_size():
            return False
        self.close("room")
        return self.transport.is_over

    def is_busy(self) -> bool:
        """Whether a request is open, or the next one begins in the next turn of the event loop."""
        return self.current is not None or bool(self.pipelined) or self.next_is_scheduled

    def eof_received(self) -> None:
        self.cancel_requests("client left")

    def phase(self) -> Phase:
        if self.is_busy():
            return Phase.OPEN_REQUEST
        if self.finishing:
            return Phase.CLOSING
        if self.has_partial_request:
            return Phase.PARTIAL_REQUEST
        return Phase.BETWEEN_REQUESTS if self.has_had_request else Phase.NO_REQUEST

    def record_close(self, reason: str, phase: Phase) -> None:
        """Records that this side closes the connection now."""
        self.close_reason, self.close_decided_us = f"{reason}, {phase.value}", self.server.now_us()
        self.server.ledger.note(Event.CLOSED, self.close_reason)

    def report_unread(self) -> None:
        """Counts and logs that the connection was closed over bytes that had not been read."""
        reason, server = self.close_reason or self.phase().value, self.server
        server.ledger.note(Event.CLOSED_OVER_UNREAD, reason)
        if server.unread_lines.allows():
            decided_us = self.close_decided_us or server.now_us()
            logger.warning("connection closed over unread bytes: %s, decided %.1f ms before%s", reason,
                           (server.now_us() - decided_us) / 1000, server.unread_lines.note())

    def connection_lost(self, exc: Exception | None) -> None:
        if self.transport is not None and self.transport.closed_over_unread:
            self.report_unread()
        ended_by_peer = exc is None or (isinstance(exc, OSError) and severity(exc) is not Severity.FATAL)
        self.cancel_requests(f"connection ended: {exc}" if exc is not None else "client left",
                             own_failure=not ended_by_peer)
        self.transport = None
        self.parser.close()
        self.server.forget(self)

    def cancel_requests(self, reason: str, own_failure: bool = False) -> None:
        """Cancels all requests of the connection. With `own_failure` this side has failed, and each of them counts as a
        violation."""
        self.finishing = True
        self.parser.drop_unparsed()
        exchange, self.current = self.current, None
        for one in [*self.pipelined, *([exchange] if exchange is not None else [])]:
            if own_failure:
                one.lifecycle.connection_closed(reason)
        self.pipelined.clear()
        if exchange is not None and exchange.lifecycle.cancel(reason):
            self.server.application.on_client_disconnected(exchange)
