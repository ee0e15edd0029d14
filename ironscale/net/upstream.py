"""Connections to upstreams: attempts on sockets, kept connections, exact outcomes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

import httptools

from ironscale.interface import Outcome, UpstreamState
from ironscale.net import socket_connect
from ironscale.net.client import MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS, Headers
from ironscale.net.errors import is_transient
from ironscale.net.periodic import Periodic
from ironscale.net.stream import Stream, Unread, peek

if TYPE_CHECKING:
    from ironscale.net.discovery import Member

IDLE_SHARE = 0.9  # of the idle time after which an upstream closes: the rest is for bytes under way
SWEEP_S = 1.0
BODILESS = frozenset((*range(100, 200), 204, 304))
# Hazard: a second copy of an answer may come a moment behind the first; on a connection that already
# carries the next request it would be taken for that one's answer. So each rests between two.
REST_US = 2_000
DEFAULT_CONNECT_S = 1.0
# How often kept connections of an age fail at their next request: smoothed over about 8 of them, and
# forgotten over some 20 s. Past UNTRUSTED a new one costs less than the requests that would be lost.
AGE_WEIGHT, AGE_FADES, UNTRUSTED = 1 / 8, 0.95, 0.3


class Answer:
    """What an upstream answered."""

    __slots__ = ("headers", "parts", "size", "status")

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = []
        self.parts: list[bytes] = []
        self.size = 0

    @property
    def body(self) -> bytes:
        return b"".join(self.parts)

    def outcome(self) -> Outcome:
        if self.status == 200:
            return Outcome.OK
        # hazard: only this mark says that it never ran; a bare 503 may come from half-way through
        if self.status in (503, 504) and (b"x-turned-away", b"1") in self.headers:
            return Outcome.FULL
        return Outcome.ERROR


class Attempt:
    """One send. It ends once, by whatever comes first."""

    def __init__(self, payload: Callable[[], bytes], wanted: Callable[[], bool],
                 on_end: Callable[[Outcome, Answer | None], None]) -> None:
        self.payload = payload  # made as it is written: it tells the time that is left then
        self.wanted = wanted  # asked just before the first byte is written
        self.on_end: Callable[[Outcome, Answer | None], None] | None = on_end
        self.connection: Connection | None = None
        self.ended = False

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        on_end, self.on_end = self.on_end, None  # it knows the timer, which knows the attempt: no cycle stays
        if on_end is not None:
            self.ended = True
            on_end(outcome, answer)

    def give_up(self, outcome: Outcome) -> None:
        """Stop waiting; `outcome` if the whole request is out, else it never ran."""
        if self.ended:
            return
        connection, self.connection = self.connection, None
        if connection is None:
            self.end(Outcome.CONNECT_FAILED)  # a connection that comes up later stays unused
            return
        written = connection.written
        # hazard: the late answer would be taken for the next request's
        connection.drop()
        self.end(outcome if written else Outcome.CONNECT_FAILED)


    def withdraw(self) -> None:
        """Nobody waits any more: what is not yet whole at its upstream never becomes so."""
        connection = self.connection
        if not self.ended and connection is not None and not connection.written:
            self.connection = None
            connection.drop()
            self.end(Outcome.NOT_SENT)


class Connection:
    """One connection to an upstream, carrying one attempt at a time."""

    def __init__(self, pool: Pool, sock: socket.socket) -> None:
        self.pool = pool
        self.sock = sock
        self.opened_us = self.idle_since_us = pool.upstreams.now_us()
        self.transport: Stream | None = None
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.attempt: Attempt | None = None
        self.answer = Answer()
        self.in_head = True
        self.head_size = 0  # of all heads and trailers since the attempt began, interim answers' among them
        self.headers_seen = 0
        self.answered = False  # some of the answer has come
        self.complete = False
        self.written = False  # the attempt's last byte has been handed to the kernel
        self.age_us = 0  # how long it had been idle before the attempt; 0 = it was new
        self.retired = False  # not to be used again
        self.used = False
        self.dropped = False

    def open(self) -> None:
        self.transport = Stream(self.sock, self)

    def is_stale(self) -> bool:
        """Whether the upstream has closed it or sent what nobody asked for, and the loop has not seen
        it yet. Hazard: a request written to it ends as a reset and may not be tried again."""
        return peek(self.sock) is not Unread.NOTHING

    def start(self, attempt: Attempt) -> None:
        assert self.transport is not None
        self.attempt, attempt.connection = attempt, self
        self.age_us = self.pool.upstreams.now_us() - self.idle_since_us if self.used else 0
        self.used = True
        self.answer, self.complete, self.written = Answer(), False, False
        self.in_head, self.head_size, self.headers_seen, self.answered = True, 0, 0, False
        self.transport.write(attempt.payload())
        self.written = self.transport.get_write_buffer_size() == 0 and not self.transport.is_closing()

    def resume_writing(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.written = True

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            self.drop()  # stray bytes: the next answer would not be its request's own
            return
        spoilt, self.answered = False, True
        try:
            assert self.parser is not None
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            spoilt = True
        if self.complete:  # noise behind a whole answer does not make that worse
            self.retired = self.retired or spoilt
            self.finish()
            return
        # hazard: the parser keeps a line without end to itself, and no header is seen
        self.head_size += len(data) if self.in_head else 0
        if spoilt or self.head_size > MAX_HEAD_BYTES:
            self.broken()

    def on_message_begin(self) -> None:
        self.in_head = True
        if self.complete:
            self.retired = True  # bytes after the end of the answer

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return
        self.headers_seen += 1
        if self.headers_seen > MAX_HEADERS:  # hazard: heads, interim answers or trailers without end
            raise OverflowError("headers")
        if self.in_head:
            self.answer.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        self.in_head = False
        assert self.parser is not None
        self.answer.status = self.parser.get_status_code()
        length, chunked = None, False
        for name, value in self.answer.headers:
            if name == b"content-length":
                length = value
            elif name == b"transfer-encoding" and value.lower() == b"chunked":
                chunked = True
        if length is not None and int(length) > MAX_BODY_BYTES:
            raise OverflowError("body")  # hazard: 3 GB that are said to come
        if length is None and not chunked and self.answer.status not in BODILESS:
            raise ValueError("no length")  # nobody could tell whether it is whole

    def on_body(self, body: bytes) -> None:
        if not self.complete:
            self.answer.size += len(body)
            if self.answer.size > MAX_BODY_BYTES:
                raise OverflowError("body")
            self.answer.parts.append(body)

    def on_message_complete(self) -> None:
        if self.complete:
            return
        if 100 <= self.answer.status < 200:  # 100 Continue and the like: the answer is still to come
            self.headers_seen += 1
            if self.headers_seen > MAX_HEADERS:
                raise OverflowError("interim answers")
            self.answer = Answer()
            return
        self.complete = True
        assert self.parser is not None
        if not self.parser.should_keep_alive():
            self.retired = True

    def finish(self) -> None:
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        attempt.connection = None
        self.pool.upstreams.ages.add(self.age_us, False)
        if not self.written:
            self.retired = True  # answered before the whole request was out: the rest is in the way
        self.pool.release(self)
        attempt.end(self.answer.outcome(), self.answer)

    def broken(self) -> None:
        attempt, self.attempt = self.attempt, None
        written = self.written
        self.drop()
        if attempt is not None:
            attempt.connection = None
            if not self.answered:
                self.pool.upstreams.ages.add(self.age_us, True)
            attempt.end(Outcome.RESET if written else Outcome.CONNECT_FAILED)

    def drop(self) -> None:
        self.attempt = None
        if not self.dropped:
            self.dropped = self.retired = True
            self.pool.forget(self)
            if self.transport is not None:
                # hazard: the loop closes it in its next turn, and a new try that is written in this one would be a
                # second copy beside an attempt that is still out
                with contextlib.suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)
                self.transport.abort()

    def eof_received(self) -> None:
        self.broken()

    def connection_lost(self, exc: Exception | None) -> None:
        self.broken()
        self.parser = None  # each refers to the other: only the collector would free them


class Ages:
    """For how long kept connections may be idle: an upstream may close them long before the settings'
    time, and the request that shows it is lost."""

    def __init__(self) -> None:
        self.failing = [0.0] * 65  # share of those whose age in microseconds has so many bits

    def add(self, age_us: int, failed: bool) -> None:
        if age_us > 0:
            bits = min(age_us.bit_length(), 64)
            self.failing[bits] += (failed - self.failing[bits]) * AGE_WEIGHT

    def is_trusted(self, age_us: int) -> bool:
        return self.failing[min(age_us.bit_length(), 64)] < UNTRUSTED

    def recall(self, shares: Sequence[float], age_us: int) -> None:
        """Shares that were seen so long ago. Hazard: full ones would keep all from being used, and so from being
        tried: at most half is taken, and the greater of it and what has been seen here."""
        left = AGE_FADES ** min(1e4, age_us / 1e6 / SWEEP_S)
        for i, share in enumerate(shares[:len(self.failing)]):
            self.failing[i] = max(self.failing[i], min(0.5, share) * left)

    def fade(self) -> None:
        self.failing = [share * AGE_FADES for share in self.failing]


class Pool:
    """The connections to one upstream, as the list last described it."""

    def __init__(self, upstreams: Upstreams, member: Member) -> None:
        self.upstreams = upstreams
        self.member = member
        self.idle: list[Connection] = []  # the newest last, and taken first: the old ones may expire
        self.busy: set[Connection] = set()

    def is_ready(self) -> bool:
        return self.member.upstream.state is UpstreamState.READY

    def update(self, member: Member) -> None:
        before, self.member = self.member, member
        moved = before.address != member.address
        is_same = before.upstream.started_us == member.upstream.started_us
        if not moved and is_same and self.is_ready():
            return
        for connection in [*self.idle, *self.busy]:
            # hazard: those to the former process are dead, though a machine that vanished never said so
            if moved or not self.is_ready() or connection.opened_us < member.upstream.effective_start_us:
                self.retire(connection)

    def retire(self, connection: Connection) -> None:
        connection.retired = True
        if connection.attempt is None:
            connection.drop()

    def leave(self) -> None:
        """The list names it no more: what is out may still be answered, nothing new is sent."""
        self.member = replace(self.member, upstream=replace(self.member.upstream, state=UpstreamState.GONE))
        for connection in [*self.idle, *self.busy]:
            self.retire(connection)

    def close_idle(self) -> None:
        while self.idle:
            self.idle[-1].drop()

    def start(self, attempt: Attempt) -> None:
        now_us, ages = self.upstreams.now_us(), self.upstreams.ages
        for connection in reversed(self.idle):
            age_us = now_us - connection.idle_since_us
            if age_us < REST_US:
                continue
            if self.has_expired(connection) or not ages.is_trusted(age_us) or connection.is_stale():
                connection.drop()
                continue
            self.idle.remove(connection)
            del self.upstreams.idle[connection]
            self.busy.add(connection)
            connection.start(attempt)
            return
        if not self.upstreams.make_room():
            attempt.end(Outcome.NOT_SENT)
            return
        self.upstreams.open += 1
        task = asyncio.get_running_loop().create_task(self.connect(attempt))
        self.upstreams.tasks.add(task)
        task.add_done_callback(self.upstreams.tasks.discard)

    def has_expired(self, connection: Connection) -> bool:
        return self.upstreams.now_us() - connection.idle_since_us >= self.upstreams.idle_us

    async def connect(self, attempt: Attempt) -> None:
        address = self.member.address
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self.upstreams.connect_s):
                await socket_connect.connect(sock, address)
            connection = Connection(self, sock)
            connection.open()
        except Exception as error:  # hazard: the attempt would hold its slot until its time-out
            if sock is not None:
                sock.close()
            self.upstreams.open -= 1
            # what this machine lacks says nothing of the upstream
            attempt.end(Outcome.NOT_SENT if is_transient(error) else Outcome.CONNECT_FAILED)
            return
        self.busy.add(connection)
        connection.retired = address != self.member.address
        if attempt.ended or connection.retired or not self.is_ready() or not attempt.wanted():
            # hazard: the list or the client may have changed its mind while the connection came up
            self.release(connection)
            attempt.end(Outcome.NOT_SENT)
        else:
            connection.start(attempt)

    def release(self, connection: Connection) -> None:
        if connection.retired or not self.is_ready():
            connection.drop()
        else:
            self.busy.discard(connection)
            connection.idle_since_us = self.upstreams.now_us()
            self.idle.append(connection)
            self.upstreams.idle[connection] = None

    def forget(self, connection: Connection) -> None:
        self.busy.discard(connection)
        if self.upstreams.idle.pop(connection, connection) is None:
            self.idle.remove(connection)
        self.upstreams.open -= 1

    def sweep(self) -> None:
        while self.idle and self.has_expired(self.idle[0]):
            self.idle[0].drop()


class Upstreams:
    """All upstreams that the list has named, by id."""

    def __init__(self, now_us: Callable[[], int], idle_us: int, connect_us: int, most: int) -> None:
        self.now_us = now_us
        self.set_times(idle_us, connect_us)
        self.most = most  # open connections
        self.open = 0  # connections, those coming up among them
        self.pools: dict[int, Pool] = {}
        self.idle: dict[Connection, None] = {}  # of all pools, the longest idle first
        self.ages = Ages()
        self.tasks: set[asyncio.Task[None]] = set()
        self.sweeper = Periodic(SWEEP_S, self.sweep)

    def set_times(self, idle_us: int, connect_us: int) -> None:
        self.idle_us = int(idle_us * IDLE_SHARE)
        self.connect_s = connect_us / 1e6 or DEFAULT_CONNECT_S

    def settle_addresses(self, members: list[Member], full: bool) -> list[Member]:
        """The list, with those gone whose address another has taken over. Hazard: what is meant for one
        that has gone, if its end is told late, would go to the cold process in its place."""
        told = {member.upstream.id: member for member in members}
        known = {} if full else {ident: pool.member for ident, pool in self.pools.items()}
        owners: dict[tuple[str, int], Member] = {}
        for member in {**known, **told}.values():
            if member.upstream.state is UpstreamState.GONE:
                continue
            other = owners.get(member.address, member)
            is_newer = member.upstream.effective_start_us >= other.upstream.effective_start_us
            owners[member.address] = member if is_newer else other
            if other is not member:
                loser = other if is_newer else member
                told[loser.upstream.id] = replace(
                    loser, upstream=replace(loser.upstream, state=UpstreamState.GONE))
        return list(told.values())

    def apply(self, members: list[Member], full: bool) -> None:
        for member in members:
            ident = member.upstream.id
            if ident in self.pools:
                self.pools[ident].update(member)
            elif member.upstream.state is not UpstreamState.GONE:
                self.pools[ident] = Pool(self, member)
        gone = [i for i, pool in self.pools.items() if pool.member.upstream.state is UpstreamState.GONE]
        if full:
            gone += self.pools.keys() - {member.upstream.id for member in members}
        for ident in gone:
            pool = self.pools.pop(ident, None)
            if pool is not None:
                pool.leave()

    def ready(self, ident: int) -> Pool | None:
        pool = self.pools.get(ident)
        return pool if pool is not None and pool.is_ready() else None

    def close_idle(self, ident: int) -> None:
        if ident in self.pools:
            self.pools[ident].close_idle()

    def make_room(self) -> bool:
        """Room for one more connection, if need be in place of the one that has been idle longest."""
        if self.open >= self.most:
            oldest = next(iter(self.idle), None)
            if oldest is not None:
                oldest.drop()
        return self.open < self.most

    def sweep(self) -> None:
        for pool in self.pools.values():
            pool.sweep()
        self.ages.fade()

    def close(self) -> None:
        self.sweeper.cancel()
        for task in list(self.tasks):
            task.cancel()
        for pool in self.pools.values():
            pool.leave()
