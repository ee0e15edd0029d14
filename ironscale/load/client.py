"""Clients on sockets: each request goes out when it is due, whatever came back of those before it."""

from __future__ import annotations

import asyncio
import errno
import heapq
import socket
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import cast

import httptools

from ironscale.load.outcome import GRACE_US, REFUSALS, End, Sample, judge, request_id, retry_after_us
from ironscale.load.pacing import Pacer
from ironscale.load.schedule import NEW_CONNECTION, SLOW_READER, Schedule
from ironscale.net import socket_connect

Address = tuple[str, int]
MOST_BATCH = 64  # arrivals sent before answers have their turn
FILL = b"x" * 65_536


@dataclass(frozen=True, slots=True)
class KindSpec:
    """What a worker needs to know of a class."""

    name: str
    effect: str
    deadline_us: int
    tells_work: bool


@dataclass(frozen=True, slots=True)
class Spec:
    """What a worker is told of the run."""

    run: str  # prefix of its ids
    addresses: tuple[Address, ...]
    protocol: str
    path: str
    body_names_request: bool
    kinds: tuple[KindSpec, ...]
    tenants: tuple[str, ...]
    connections: int  # open at once
    retries: int
    slow_reader_us: int
    duration_us: int
    worker: int
    workers: int


class Try:
    """One try under way."""

    __slots__ = (
        "acted_us",
        "at",
        "connection",
        "ended",
        "index",
        "number",
        "resent",
        "sched_us",
        "sent_us",
        "until_us",
    )

    def __init__(self, at: int, index: int, number: int, sched_us: int) -> None:
        self.at = at  # its place in this worker's schedule
        self.index, self.number, self.sched_us = index, number, sched_us
        self.acted_us = self.sent_us = -1
        self.until_us = 0  # when the client stops waiting
        self.connection: Connection | None = None
        self.resent = False
        self.ended = False


class Connection(asyncio.Protocol):
    """One connection, one request at a time."""

    def __init__(self, client: Client) -> None:
        self.client = client
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.current: Try | None = None
        self.last = -1, 0  # the request answered last
        self.used = self.complete = self.answered = self.dropped = self.keep = False
        self.status = 0
        self.retry_after: int | None = None
        self.body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, tried: Try, payload: bytes) -> None:
        assert self.transport is not None
        self.current, tried.connection = tried, self
        self.complete = self.answered = False
        self.status, self.retry_after = 0, None
        self.body.clear()
        self.transport.write(payload)

    def data_received(self, data: bytes) -> None:
        if self.current is None:
            self.client.extra(self.last)
            self.drop()
            return
        self.answered = True
        try:
            assert self.parser is not None
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                self.client.ended(self, End.GARBLED)
                return
            self.client.extra((self.current.index, self.current.number))  # noise behind a whole answer
            self.keep = False
        if self.complete:
            self.used = True
            self.client.answered(self)

    def on_message_begin(self) -> None:
        if self.complete and self.current is not None:
            self.client.extra((self.current.index, self.current.number))
            self.keep = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.complete and name.lower() == b"retry-after":
            self.retry_after = retry_after_us(value)

    def on_headers_complete(self) -> None:
        if not self.complete:
            assert self.parser is not None
            self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        if not self.complete:
            self.body += body

    def on_message_complete(self) -> None:
        if self.complete:
            return
        assert self.parser is not None
        if 100 <= self.status < 200:
            return
        self.complete, self.keep = True, self.parser.should_keep_alive()

    def eof_received(self) -> None:
        self.lost(End.CLOSED)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost(End.CLOSED if exc is None else End.RESET)
        self.parser = None  # each refers to the other

    def lost(self, end: End) -> None:
        if not self.dropped:
            if self.current is not None:
                self.client.ended(self, end)
            else:
                self.drop()

    def drop(self) -> None:
        if not self.dropped:
            self.dropped = True
            self.client.forget(self)
            if self.transport is not None:
                self.transport.abort()


class Client:
    """One worker's requests, from its part of the schedule. `tell` hears of every end."""

    def __init__(self, spec: Spec, part: Schedule, tell: Callable[[Sample], None]) -> None:
        self.spec, self.part, self.tell = spec, part, tell
        self.start_ns = 0
        self.next = 0  # the next arrival of the part
        self.idle: list[Connection] = []  # the newest last, and taken first
        self.connections: set[Connection] = set()
        self.opening = 0
        self.waiting: deque[Try] = deque()  # due, and every connection is busy
        self.heap: list[
            tuple[int, int, Callable[[], None]]
        ] = []  # (when, turn, what): deadlines, retries, slow readers
        self.turn = 0
        self.tries: set[Try] = set()  # not ended
        self.tasks: set[asyncio.Task[None]] = set()
        self.pacer = Pacer(self.tick)
        self.finished = asyncio.Event()
        self.stopping = False
        self.most_open = self.starved = 0
        self.next_index = 0  # closed loops count their own
        self.heads = [self._head(kind) for kind in spec.kinds]
        self.tenants = [f"X-Org: {name}\r\n".encode() if name else b"" for name in spec.tenants]
        self.turn_address = spec.worker

    def now_us(self) -> int:
        return (time.monotonic_ns() - self.start_ns) // 1000

    def start(self, start_ns: int) -> None:
        self.start_ns = start_ns
        self.arm()

    # When

    def tick(self) -> None:
        now_us = self.now_us()
        while self.heap and self.heap[0][0] <= now_us:
            heapq.heappop(self.heap)[2]()
        at_us, sent = self.part.at_us, 0
        while self.next < len(at_us) and at_us[self.next] <= now_us and sent < MOST_BATCH:
            at, self.next = self.next, self.next + 1
            self.act(self.begin(at, self.spec.worker + at * self.spec.workers, 0, at_us[at]))
            sent += 1
        self.arm()

    def arm(self) -> None:
        times = [self.heap[0][0]] if self.heap else []
        if self.next < len(self.part.at_us):
            times.append(self.part.at_us[self.next])
        if times:
            self.pacer.arm(self.start_ns + min(times) * 1000)
        elif not self.tries:
            self.finished.set()

    def begin(self, at: int, index: int, number: int, sched_us: int) -> Try:
        tried = Try(at, index, number, sched_us)
        self.tries.add(tried)
        return tried

    def later(self, at_us: int, act: Callable[[], None]) -> None:
        self.turn += 1
        heapq.heappush(self.heap, (at_us, self.turn, act))
        if self.heap[0][1] == self.turn:
            self.arm()

    # Out

    def act(self, tried: Try) -> None:
        """Through an idle connection, else a new one, else it waits for one."""
        fresh = bool(self.part.flags[tried.at] & NEW_CONNECTION) or tried.resent
        if self.idle and not fresh:
            self.send(self.idle.pop(), tried)
            return
        if len(self.connections) + self.opening >= self.spec.connections and self.idle:
            self.idle.pop(0).drop()
        if len(self.connections) + self.opening < self.spec.connections:
            self.opening += 1
            self.most_open = max(self.most_open, len(self.connections) + self.opening)
            self.act_on(tried)
            task = asyncio.get_running_loop().create_task(self.connect(tried))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            return
        self.starved += 1
        self.waiting.append(tried)

    def act_on(self, tried: Try) -> None:
        """From now on the client's patience counts."""
        if tried.acted_us >= 0:  # sent once more: it has waited since the first
            return
        tried.acted_us = self.now_us()
        deadline_us, patience_us = self.deadline_us(tried), self.part.patience_us[tried.at]
        gives_up = patience_us < deadline_us
        tried.until_us = tried.acted_us + (patience_us if gives_up else deadline_us + GRACE_US)
        self.later(tried.until_us, lambda: self.time_is_up(tried, End.GAVE_UP if gives_up else End.NO_ANSWER))

    def deadline_us(self, tried: Try) -> int:
        return self.spec.kinds[self.part.kind[tried.at]].deadline_us

    async def connect(self, tried: Try) -> None:
        loop = asyncio.get_running_loop()
        self.turn_address += 1
        address = self.spec.addresses[self.turn_address % len(self.spec.addresses)]
        end = End.CONNECT_REFUSED
        sock: socket.socket | None = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(max(0.001, (tried.until_us - self.now_us()) / 1e6)):
                await socket_connect.connect(sock, address)
            connection = Connection(self)
            await loop.create_connection(lambda: connection, sock=sock)
        except (OSError, TimeoutError) as error:
            if sock is not None:
                sock.close()
            self.opening -= 1
            code = getattr(error, "errno", None)
            if isinstance(error, TimeoutError):
                end = End.CONNECT_TIMEOUT
            elif code in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                end = End.NO_SOCKET
            elif code in (errno.EADDRNOTAVAIL, errno.EADDRINUSE):
                end = End.NO_PORT
            self.finish(tried, end)
            self.serve_waiting()
            return
        except asyncio.CancelledError:
            if sock is not None:
                sock.close()
            raise
        self.opening -= 1
        self.connections.add(connection)
        if tried.ended:  # given up meanwhile: the connection serves who waits for one
            self.free(connection)
            self.serve_waiting()
        else:
            self.send(connection, tried)

    def send(self, connection: Connection, tried: Try) -> None:
        self.act_on(tried)
        tried.sent_us = self.now_us()
        connection.send(tried, self.payload(tried))
        if self.part.flags[tried.at] & SLOW_READER and self.spec.slow_reader_us:
            assert connection.transport is not None
            connection.transport.pause_reading()
            self.later(tried.sent_us + self.spec.slow_reader_us, lambda: self.read_on(connection))

    def read_on(self, connection: Connection) -> None:
        if not connection.dropped and connection.transport is not None:
            connection.transport.resume_reading()

    def _head(self, kind: KindSpec) -> bytes:
        method = "GET" if kind.effect == "idempotent" else "POST"
        lane = f"X-Lane: {kind.name}\r\n" if self.spec.protocol == "sidecar" else ""
        return f"{method} {self.spec.path}%s HTTP/1.1\r\nHost: service.internal\r\n{lane}".encode()

    def payload(self, tried: Try) -> bytes:
        at, part = tried.at, self.part
        which = part.kind[at]
        kind = self.spec.kinds[which]
        key = part.key[at]
        ident = request_id(self.spec.run, tried.index, tried.number)
        head = self.heads[which] % (b"?sid=%016x" % key if key else b"")
        parts = [head, f"X-Txn: {ident}\r\n".encode(), self.tenants[part.tenant[at]]]
        if self.spec.protocol == "sidecar":
            left_us = kind.deadline_us if tried.acted_us < 0 else kind.deadline_us - (tried.sent_us - tried.acted_us)
            parts.append(b"X-Remaining: %du\r\n" % max(1, left_us))
            if tried.number:
                parts.append(b"X-Resent: 1\r\n")
            if kind.tells_work:
                parts.append(b"X-Estimate: %d\r\n" % part.work_us[at])
        if kind.effect == "deduplicated":
            parts.append(f"Idempotency-Key: {self.spec.run}-{tried.index}\r\n".encode())
        if kind.effect != "idempotent":
            size = part.size[at]
            parts.append(b"Content-Length: %d\r\n\r\n" % size)
            parts.append(FILL[:size])
        else:
            parts.append(b"\r\n")
        return b"".join(parts)

    # Back

    def answered(self, connection: Connection) -> None:
        tried, done_us = connection.current, self.now_us()
        assert tried is not None
        ours = True
        if self.spec.body_names_request:
            ident = request_id(self.spec.run, tried.index, tried.number).encode()
            ours = bytes(connection.body[: len(ident) + 1]).rstrip() == ident
        end = judge(connection.status, connection.retry_after is not None, ours)
        after_us = connection.retry_after
        connection.current, connection.last = None, (tried.index, tried.number)
        if not connection.keep or self.part.flags[tried.at] & NEW_CONNECTION:
            connection.drop()
        retry = (
            end in REFUSALS
            and after_us is not None
            and tried.number < self.spec.retries
            and done_us + after_us < self.spec.duration_us
            and not self.stopping
        )
        if retry and after_us is not None:  # before this one ends: the run goes on for it
            again = self.begin(tried.at, tried.index, tried.number + 1, done_us + after_us)
            self.later(again.sched_us, lambda: self.act(again))
        self.finish(tried, end, connection.status, done_us)
        if not connection.dropped:
            self.free(connection)
        self.serve_waiting()

    def ended(self, connection: Connection, end: End) -> None:
        """The connection broke under a try."""
        tried, connection.current = connection.current, None
        crossed = connection.used and not connection.answered
        connection.drop()
        assert tried is not None
        # a kept connection may be closed just as a request is written to it: it goes once more, on a new one
        if (
            crossed
            and not tried.resent
            and end in (End.CLOSED, End.RESET)
            and (self.spec.protocol == "sidecar" or self.kind_of(tried).effect == "idempotent")
        ):
            tried.resent, tried.connection = True, None
            self.act(tried)
        else:
            self.finish(tried, end)
        self.serve_waiting()

    def kind_of(self, tried: Try) -> KindSpec:
        return self.spec.kinds[self.part.kind[tried.at]]

    def time_is_up(self, tried: Try, end: End) -> None:
        if tried.ended:
            return
        connection = tried.connection
        if tried.sent_us < 0:  # no connection came up, so nothing was asked
            end = End.CONNECT_TIMEOUT
        self.finish(tried, end)
        if connection is not None and connection.current is tried:
            connection.current = None
            connection.drop()  # a later answer would be taken for the next request's
            self.serve_waiting()

    def finish(self, tried: Try, end: End, status: int = 0, done_us: int | None = None) -> None:
        """Records how a try ended: at `done_us`, or now."""
        if tried.ended:
            return
        tried.ended, tried.connection = True, None
        self.tries.discard(tried)
        self.tell(
            Sample(
                tried.index,
                tried.number,
                end,
                status,
                tried.sched_us,
                tried.acted_us,
                tried.sent_us,
                self.now_us() if done_us is None else done_us,
                tried.resent,
            )
        )
        if not self.tries and self.next >= len(self.part.at_us):
            self.finished.set()

    def extra(self, which: tuple[int, int]) -> None:
        self.tell(Sample(max(0, which[0]), which[1], End.EXTRA, 0, -1, -1, -1, self.now_us(), 0))

    def free(self, connection: Connection) -> None:
        self.idle.append(connection)

    def forget(self, connection: Connection) -> None:
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def serve_waiting(self) -> None:
        while self.waiting and (self.idle or len(self.connections) + self.opening < self.spec.connections):
            self.act(self.waiting.popleft())

    async def wait(self, most_s: float) -> None:
        """Until every request has ended; what has not by then is told as it stands."""
        try:
            async with asyncio.timeout(most_s):
                await self.finished.wait()
        except TimeoutError:
            pass
        self.stop()

    def stop(self) -> None:
        self.stopping = True
        while self.next < len(self.part.at_us):
            at, self.next = self.next, self.next + 1
            self.begin(at, self.spec.worker + at * self.spec.workers, 0, self.part.at_us[at])
        for tried in sorted(self.tries, key=lambda tried: (tried.index, tried.number)):
            self.finish(tried, End.NO_ANSWER if tried.sent_us >= 0 else End.UNSENT)
        self.waiting.clear()
        for connection in list(self.connections):
            connection.current = None
            connection.drop()
        for task in list(self.tasks):
            task.cancel()
        self.pacer.close()


async def closed_loop(
    address: Address, kind: KindSpec, callers: int, seconds: float, run: str = "c", tenant: str = ""
) -> list[Sample]:
    """Callers that each ask again when they are answered. A server that stalls stops their asking, and so hides its
    stall: here to show that, and to measure the cost of a request at full speed. Times count from each send."""
    samples: list[Sample] = []
    spec = Spec(run, (address,), "sidecar", "/api", True, (kind,), (tenant,), callers, 0, 0, int(seconds * 1e6), 0, 1)
    part = Schedule()
    for column, value in zip(part.columns(), (0, 0, 0, 0, 0, 0, kind.deadline_us, 0), strict=True):
        column.append(value)

    def tell(sample: Sample) -> None:
        samples.append(sample)
        if client.now_us() < spec.duration_us:
            count = client.next_index
            client.next_index += 1
            tried = client.begin(0, count, 0, client.now_us())
            asyncio.get_running_loop().call_soon(client.act, tried)

    client = Client(spec, part, tell)
    client.next = 1
    client.start_ns = time.monotonic_ns()
    for index in range(callers):
        client.act(client.begin(0, index, 0, client.now_us()))
    client.next_index = callers
    await client.wait(seconds + kind.deadline_us / 1e6 + 1.0)
    return samples


def addresses_of(found: Sequence[Sequence[object]]) -> tuple[Address, ...]:
    return tuple((str(host), int(str(port))) for host, port in found)
