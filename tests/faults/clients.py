"""Clients in the test process that record how each of their requests ends."""

from __future__ import annotations

import asyncio
import math
import socket
import time
from collections import deque
from dataclasses import dataclass
from typing import cast

import httptools

from tests.faults.ledger import LANES, MEASUREMENT_SLACK_S, Call, Ledger
from tests.faults.tcp_info import (
    BACKOFF,
    CLOSE_WAIT,
    KERNEL_TICK_S,
    RETRANSMITS,
    SINCE_LAST_ACK_MS,
    STATE,
    UNACKED,
    tcp_info,
)

MAX_LATEST_CALLS = 20  # whose ids a hostile client may repeat
LATE_ANSWER_LIMIT_S = 0.5  # an answer after the deadline is worthless; one later than this counts as lost
LATE_READ_ITERATIONS = 3  # iterations of the event loop in which it reads data that had arrived before a timer ran
# How long a sidecar leaves a new connection open that has sent nothing: while it serves, and after SIGTERM.
MIN_SILENCE_S, MIN_SILENCE_IN_SHUTDOWN_S = 2.0, 0.25


@dataclass
class Shutdown:
    """The shutdown of one sidecar process."""

    since_s: float = math.inf  # when it was told to stop

    def describe(self) -> str:
        return "" if math.isinf(self.since_s) else f", {time.monotonic() - self.since_s:.3f} s after SIGTERM"


class ClientConnection(asyncio.Protocol):
    """A reusable connection of a client, with one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport = None  # type: ignore[assignment]
        self.parser = httptools.HttpResponseParser(self)
        self.answer_waiter: asyncio.Future[bool] | None = None  # True: a complete answer; False: the connection ended
        self.body = b""
        self.used = False
        self.closed = False
        self.end_reason = "open"
        self.connected_s = 0.0
        self.shutdown = Shutdown()  # of the process that it leads to
        self.has_written = False
        self.peer_closed_s = math.inf

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def describe_state(self) -> str:
        """Describes how the connection ended or, while it is open, its TCP state in the kernel."""
        if self.closed:
            return f"its connection ended by {self.end_reason}"
        if self.ended_unwritten():
            end = "reset" if math.isinf(self.peer_closed_s) else f"closed {self.silence_s():.3f} s after its connect"
            return f"its connection had ended before it was written, {end}"
        if self.transport.is_closing():
            return "its connection was being closed"
        info = tcp_info(self.transport)
        return (f"open connection with {info[RETRANSMITS]} retransmits, backoff {info[BACKOFF]}, "
                f"{info[UNACKED]} segments unacked")

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.finish(False)
            self.transport.abort()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.finish(True)

    def eof_received(self) -> None:
        """Keeps when the peer's close arrived, by the kernel's time, because this process may be late to read it."""
        self.peer_closed_s = time.monotonic() - tcp_info(self.transport)[SINCE_LAST_ACK_MS] / 1e3

    def silence_s(self) -> float:
        """How long the peer had waited for the first byte when it closed the connection; 0 if the first byte came
        before, or if the connection did not end by an orderly close."""
        if self.has_written or math.isinf(self.peer_closed_s):
            return 0.0
        return self.peer_closed_s - self.connected_s

    def ended_unwritten(self) -> bool:
        """Whether the connection has ended with nothing written. The kernel may know before the event loop does."""
        if self.has_written:
            return False
        if not self.transport.is_closing() and tcp_info(self.transport)[STATE] == CLOSE_WAIT:
            self.eof_received()
            return True
        return self.transport.is_closing()

    def write_request(self, data: bytes) -> bool:
        """Writes a request, or its first part; returns False if the connection has ended."""
        self.body, self.answer_waiter = b"", asyncio.get_running_loop().create_future()
        if self.closed or self.transport.is_closing() or self.ended_unwritten():
            return False
        self.has_written = True
        self.transport.write(data)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.end_reason = repr(exc) if exc is not None else "a close"
        self.finish(False)

    def finish(self, whole: bool) -> None:
        if self.answer_waiter is not None and not self.answer_waiter.done():
            self.answer_waiter.set_result(whole)

    async def send_part(self, data: bytes, pause_s: float) -> bool:
        """Writes the first part of a request and waits. Returns whether the rest may follow, as there is no answer
        yet."""
        if not self.write_request(data):
            return False
        assert self.answer_waiter is not None
        await asyncio.wait([self.answer_waiter], timeout=pause_s)
        return not (self.answer_waiter.done() or self.transport.is_closing())

    async def ask(self, data: bytes, limit_s: float) -> bool:
        """Sends a request. Returns whether a complete answer arrived; raises TimeoutError."""
        if not self.write_request(data):
            return False
        assert self.answer_waiter is not None
        try:
            async with asyncio.timeout(limit_s):
                return await asyncio.shield(self.answer_waiter)
        except TimeoutError:
            # after the process got no CPU time, timers run before the event loop reads data that arrived in time
            for _ in range(LATE_READ_ITERATIONS):
                await asyncio.sleep(0)
            if self.answer_waiter.done():
                return self.answer_waiter.result()
            raise


class Clients:
    """The application next to one sidecar: reuses connections, with one request at a time on each."""

    def __init__(self, ledger: Ledger, port: int) -> None:
        self.ledger, self.port = ledger, port
        self.idle: list[ClientConnection] = []
        self.may_connect = True
        self.shutdown = Shutdown()  # of the process that runs now
        self.latest: deque[Call] = deque(maxlen=MAX_LATEST_CALLS)

    async def connect(self) -> ClientConnection:
        loop, address, shutdown = asyncio.get_running_loop(), ("127.0.0.1", self.port), self.shutdown
        sock = socket.socket()
        try:
            sock.setblocking(False)
            sock.connect_ex(address)
            connected_s = time.monotonic()  # the handshake of a loopback connection is over within the call
            await loop.sock_connect(sock, address)
            _, connection = await loop.create_connection(ClientConnection, sock=sock)
        except BaseException:
            sock.close()
            raise
        connection.connected_s, connection.shutdown = connected_s, shutdown
        return connection

    def closed_for_silence(self, connection: ClientConnection) -> bool:
        """Whether the sidecar closed the connection because it had waited for the first byte as long as it has to. The
        client, which has sent nothing, may send its request on another connection."""
        stopping = connection.shutdown.since_s <= connection.peer_closed_s
        min_s = MIN_SILENCE_IN_SHUTDOWN_S if stopping else MIN_SILENCE_S
        return connection.silence_s() >= min_s - KERNEL_TICK_S

    def request(self, call: Call, left_s: float) -> bytes:
        key = f"Idempotency-Key: key-{call.txn}\r\n" if call.lane == "mark" else ""
        method = "GET" if call.lane == "view" else "POST"
        return (f"{method} /api?sid=7f HTTP/1.1\r\nHost: s\r\nX-Txn: {call.txn}\r\nX-Lane: {call.lane}\r\n"
                f"X-Org: north\r\nX-Remaining: {int(left_s * 1000)}m\r\n{key}Content-Length: 0\r\n\r\n").encode()

    async def call_slowly(self, lane: str, limit_s: float, connected_s: float, half_s: float) -> Call:
        """Sends one request on a new connection: the first half `connected_s` after the connect, the rest `half_s`
        later. Its deadline counts from its last byte; a request whose connection ends before that is not lost."""
        call = self.ledger.new_call(lane, limit_s)
        try:
            connection = await self.connect()
        except OSError:
            call.failure = "not connected"
            return call
        await asyncio.sleep(connected_s)
        data = self.request(call, limit_s)
        if await connection.send_part(data[:len(data) // 2], half_s):
            call.sent_s = time.monotonic()
            await self.send_on(connection, call, None, False, data[len(data) // 2:])
        else:
            call.failure = "ended before it was whole"
        connection.transport.abort()
        return call

    async def call(self, lane: str = "view", limit_s: float = 2.0, leave_after_s: float | None = None,
                   keep: bool = True) -> Call:
        """Sends one request. With `leave_after_s` the client closes the connection if no answer has come by then."""
        call = self.ledger.new_call(lane, limit_s)
        self.latest.append(call)
        connection = None
        while self.idle and (connection is None or connection.closed):
            connection = self.idle.pop()
        call.sent_s = time.monotonic()
        for _ in range(2):  # a request that crosses with the close of its connection is sent once more
            if connection is None or connection.closed:
                begun_s = time.monotonic()
                try:
                    connection = await self.connect() if self.may_connect else None
                except OSError:
                    connection = None
                call.connect_s = time.monotonic() - begun_s
                if connection is None:
                    call.failure = "not connected"
                    return call
            crossed = connection.used
            if await self.send_on(connection, call, leave_after_s, crossed):
                break
            connection = None
        else:
            call.failure = "closed before it was written"
        if connection is not None and keep and call.status and not connection.closed:
            self.idle.append(connection)
        elif connection is not None:
            connection.transport.abort()
        return call

    async def send_on(self, connection: ClientConnection, call: Call, leave_after_s: float | None, used: bool,
                      data: bytes = b"") -> bool:
        """Returns whether the call has ended on this connection. `data` is the unwritten part of the request."""
        due_s = call.sent_s + call.limit_s
        wait_s = due_s + LATE_ANSWER_LIMIT_S + self.ledger.lag_s + MEASUREMENT_SLACK_S - time.monotonic()
        connection.used = True
        try:
            whole = await connection.ask(data or self.request(call, max(0.001, due_s - time.monotonic())),
                                         wait_s if leave_after_s is None else min(wait_s, leave_after_s))
        except TimeoutError:
            call.abandoned_s = time.monotonic()
            call.connection_state = f"{connection.describe_state()}{connection.shutdown.describe()}"
            connection.transport.abort()
            if leave_after_s is None:
                call.failure = f"lost: no answer {call.abandoned_s - due_s:.2f} s after its time"
            return True
        call.ended_s = time.monotonic()
        if whole:
            call.status, call.body = connection.parser.get_status_code(), connection.body
            return True
        if not call.arrivals and (used or self.closed_for_silence(connection)):
            call.ended_s = None
            return False
        call.connection_state = f"{connection.describe_state()}{connection.shutdown.describe()}"
        call.failure = f"lost: closed after {call.ended_s - call.sent_s:.3f} s with no whole answer"
        return True

    def close(self) -> None:
        for connection in self.idle:
            connection.transport.abort()
        self.idle.clear()


async def send_load(clients: Clients, seconds: float, rate: float = 60.0, limit_s: float = 2.0) -> list[Call]:
    """Sends requests of all classes in an open loop at a constant rate. Every other one closes its connection."""
    tasks, end_s, count = [], time.monotonic() + seconds, 0
    while time.monotonic() < end_s:
        tasks.append(asyncio.create_task(clients.call(LANES[count % 3], limit_s, keep=count % 2 == 0)))
        count += 1
        await asyncio.sleep(1 / rate)
    return list(await asyncio.gather(*tasks))
