"""Connection pools for upstreams: sends attempts, reuses idle connections, reports exact outcomes of attempts."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

import httptools

from ironscale.interface import Outcome, UpstreamState
from ironscale.logs import LineBudget
from ironscale.net import socket_connect
from ironscale.net.client import MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS, Headers
from ironscale.net.connection_metrics import CloseReason, ConnectionMetrics, ConnectionUse
from ironscale.net.connection_reuse import (
    DECAY_INTERVAL_S,
    MAX_EARLIER_ANSWERS,
    IdleFailures,
    ReusePolicy,
)
from ironscale.net.errors import is_transient
from ironscale.net.periodic import Periodic
from ironscale.net.stream import Stream, Unread, peek

if TYPE_CHECKING:
    from ironscale.net.discovery import Member

logger = logging.getLogger("ironscale.upstreams")
MAX_LOGGED_BYTES = 60
SURPLUS_LINES_PER_S, MAX_SURPLUS_BURST = 1.0, 50
IDLE_TIMEOUT_SHARE = 0.9  # share of the upstream's idle timeout; the rest allows for data in flight
SWEEP_INTERVAL_S = DECAY_INTERVAL_S
CLOSING_NOTICES = (b"HTTP/1.1 408", b"HTTP/1.0 408")  # some servers announce so that they close an idle connection
STATUSES_WITHOUT_BODY = frozenset((*range(100, 200), 204, 304))
DEFAULT_CONNECT_TIMEOUT_S = 1.0


class Answer:
    """The HTTP response of an upstream. `size` is the length of the body in bytes."""

    __slots__ = ("headers", "parts", "size", "status")

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = []
        self.parts: list[bytes] = []
        self.size = 0

    @property
    def body(self) -> bytes:
        return b"".join(self.parts)

    def digest(self) -> int:
        """Equal for equal answers, however they arrived in pieces; differs otherwise, but for chance."""
        return hash((tuple(self.headers), self.body))

    def outcome(self) -> Outcome:
        if self.status == 200:
            return Outcome.OK
        # only this header shows that the request never ran; a 503 without it may come after part of the work
        if self.status in (503, 504) and (b"x-turned-away", b"1") in self.headers:
            return Outcome.FULL
        return Outcome.ERROR


class Attempt:
    """One transmission of a request to an upstream. It ends exactly once, with the first outcome."""

    def __init__(self, build_payload: Callable[[], bytes], is_wanted: Callable[[], bool],
                 on_end: Callable[[Outcome, Answer | None], None]) -> None:
        self.build_payload = build_payload  # called when the request is written, because it contains the time left
        self.is_wanted = is_wanted  # called just before the first byte is written
        self.on_end: Callable[[Outcome, Answer | None], None] | None = on_end
        self.connection: Connection | None = None
        self.use: ConnectionUse | None = None  # None until it is written to a connection
        self.ended = False

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        on_end, self.on_end = self.on_end, None  # breaks the cycle attempt, callback, timer
        if on_end is not None:
            self.ended = True
            on_end(outcome, answer)

    def give_up(self, outcome: Outcome) -> None:
        """Stops waiting. Ends with `outcome` if the whole request was written; otherwise it never ran."""
        if self.ended:
            return
        connection, self.connection = self.connection, None
        if connection is None:
            self.end(Outcome.CONNECT_FAILED)  # a connection that is established later is not used for it
            return
        written = connection.is_written
        # close it: a late answer would be taken for the answer to the next request
        connection.close(CloseReason.ATTEMPT_ABANDONED)
        self.end(outcome if written else Outcome.CONNECT_FAILED)

    def cancel_unless_written(self) -> None:
        """Cancels the attempt, since nobody waits for it any more, unless the whole request has been written."""
        connection = self.connection
        if not self.ended and connection is not None and not connection.is_written:
            self.connection = None
            connection.close(CloseReason.ATTEMPT_ABANDONED)
            self.end(Outcome.NOT_SENT)


class Connection:
    """One connection to an upstream, carrying one attempt at a time."""

    def __init__(self, pool: Pool, sock: socket.socket) -> None:
        self.pool = pool
        self.sock = sock
        pool.upstreams.metrics.opened += 1
        self.number = pool.upstreams.metrics.opened
        self.requests = 0  # requests begun on it
        self.opened_us = self.idle_since_us = pool.upstreams.now_us()
        self.transport: Stream | None = None
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.attempt: Attempt | None = None
        self.answer = Answer()
        self.in_head = True
        self.head_size = 0  # bytes of headers and trailers since the attempt began, including interim answers
        self.header_count = 0
        self.answer_begun = False  # part of the answer has arrived
        self.is_complete = False
        self.is_written = False  # the last byte of the request has been passed to the kernel
        self.is_early = False  # its answer began before that, and so belongs to something else
        self.has_surplus = False  # more than the answer has arrived
        self.idle_age_us = 0  # how long it was idle before the attempt; 0 for a new connection
        self.is_retired = False  # must not be reused
        self.is_counted_silent = False  # its present idle time has been recorded as silent
        self.digests: deque[int] = deque(maxlen=MAX_EARLIER_ANSWERS)  # of its latest answers
        self.is_closed = False

    def open(self) -> None:
        self.transport = Stream(self.sock, self)

    def look(self) -> Unread:
        """What has arrived that the event loop has not read yet. A request written after an end would end as a reset,
        and might not be allowed to be retried; bytes would be taken for its answer."""
        return peek(self.sock)

    def start(self, attempt: Attempt) -> None:
        assert self.transport is not None
        self.attempt, attempt.connection = attempt, self
        self.idle_age_us = self.pool.upstreams.now_us() - self.idle_since_us if self.requests else 0
        self.requests += 1
        self.pool.upstreams.metrics.requests += 1
        attempt.use = ConnectionUse(self.number, self.requests, self.idle_age_us)
        self.answer, self.is_complete, self.is_written = Answer(), False, False
        self.in_head, self.head_size, self.header_count = True, 0, 0
        self.answer_begun = self.is_early = self.has_surplus = False
        self.transport.write(attempt.build_payload())
        self.is_written = self.transport.get_write_buffer_size() == 0 and not self.transport.is_closing()

    def resume_writing(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.is_written = True

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            self.report_surplus(data)
            if not data.startswith(CLOSING_NOTICES):
                self.pool.record_surplus()
            self.close(CloseReason.SURPLUS)  # the next answer would be matched to the wrong request
            return
        is_malformed, self.answer_begun = False, True
        try:
            assert self.parser is not None
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            is_malformed = True
        if self.is_complete:  # data after a complete answer doesn't invalidate the answer
            self.has_surplus = self.has_surplus or is_malformed
            self.finish()
            return
        # the parser buffers an endless line without calling on_header, so the bytes are counted here
        self.head_size += len(data) if self.in_head else 0
        if is_malformed or self.head_size > MAX_HEAD_BYTES:
            self.fail(CloseReason.ANSWERED_EARLY if self.is_early else CloseReason.MALFORMED)

    def report_surplus(self, data: bytes) -> None:
        """Logs bytes that arrived while no request was in flight."""
        upstreams = self.pool.upstreams
        if upstreams.surplus_lines.allows():
            logger.warning("upstream=%s connection=%d ordinal=%d: %d bytes that no request asked for, %.1f ms after "
                           "the last answer: %r%s", self.pool.member.name, self.number, self.requests, len(data),
                           (upstreams.now_us() - self.idle_since_us) / 1000, data[:MAX_LOGGED_BYTES],
                           upstreams.surplus_lines.note())

    def on_message_begin(self) -> None:
        self.in_head = True
        if self.is_complete:
            self.has_surplus = True  # data after the end of the answer
        else:
            self.is_early = not self.is_written

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.is_complete:
            return
        self.header_count += 1
        if self.header_count > MAX_HEADERS:  # an endless series of headers, interim answers or trailers
            raise OverflowError("too many headers")
        if self.in_head:
            self.answer.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        if self.is_complete:
            return
        self.in_head = False
        assert self.parser is not None
        self.answer.status = self.parser.get_status_code()
        if self.is_early and self.answer.status >= 200:
            raise ValueError("answered before the request was written")
        length, chunked = None, False
        for name, value in self.answer.headers:
            if name == b"content-length":
                length = value
            elif name == b"transfer-encoding" and value.lower() == b"chunked":
                chunked = True
        if length is not None and int(length) > MAX_BODY_BYTES:
            raise OverflowError("announced body too long")  # 3 GB, for example
        if length is None and not chunked and self.answer.status not in STATUSES_WITHOUT_BODY:
            raise ValueError("body without a length")  # a truncated body could not be detected

    def on_body(self, body: bytes) -> None:
        if not self.is_complete:
            self.answer.size += len(body)
            if self.answer.size > MAX_BODY_BYTES:
                raise OverflowError("body too long")
            self.answer.parts.append(body)

    def on_message_complete(self) -> None:
        if self.is_complete:
            return
        if 100 <= self.answer.status < 200:  # an interim answer such as 100 Continue: the final answer follows
            self.header_count += 1
            if self.header_count > MAX_HEADERS:
                raise OverflowError("too many interim answers")
            self.answer = Answer()
            return
        self.is_complete = True
        assert self.parser is not None
        if not self.parser.should_keep_alive():
            self.is_retired = True

    def why_not_its_answer(self) -> CloseReason | None:
        """Why the complete answer may belong to an earlier request on the connection; None if it doesn't seem so."""
        policy = self.pool.upstreams.reuse_policy
        digest = self.answer.digest() if self.answer.status == 200 else None
        is_copy = digest is not None and policy.is_copy(digest, self.digests)
        if is_copy or self.has_surplus:
            self.pool.record_surplus()
        if self.requests > 1 and not self.pool.allows_reuse(self.pool.upstreams.now_us()):
            if is_copy:
                return CloseReason.COPIED_ANSWER
            return CloseReason.SURPLUS if self.has_surplus else CloseReason.QUARANTINE
        if digest is not None:
            self.digests.append(digest)
            policy.record_answer(digest, self.number)
        return None

    def finish(self) -> None:
        """Ends the attempt with its complete answer."""
        doubt = self.why_not_its_answer()
        if doubt is not None:
            self.fail(doubt)
            return
        if self.has_surplus or self.answer.status != 200:
            self.is_retired = True  # a copy of a turn-away would tell the next request that it never ran
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        attempt.connection = None
        self.pool.upstreams.idle_failures.record(self.idle_age_us, False)
        self.pool.release(self)
        attempt.end(self.answer.outcome(), self.answer)

    def fail(self, reason: CloseReason) -> None:
        """Closes the failed connection and ends its attempt."""
        attempt, self.attempt = self.attempt, None
        written = self.is_written
        self.close(reason)
        if attempt is not None:
            attempt.connection = None
            if not self.answer_begun:
                self.pool.upstreams.idle_failures.record(self.idle_age_us, True)
            attempt.end(Outcome.RESET if written else Outcome.CONNECT_FAILED)

    def close(self, reason: CloseReason) -> None:
        """Closes the connection at once, without ending its attempt."""
        self.attempt = None
        if not self.is_closed:
            self.is_closed = self.is_retired = True
            self.pool.upstreams.metrics.closed[reason] += 1
            self.pool.remove(self)
            if self.transport is not None:
                # The event loop closes the socket only in its next iteration. A retry that is written in this one would
                # be a second copy of a request that is still being sent.
                with contextlib.suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)
                self.transport.abort()

    def eof_received(self) -> None:
        self.fail(CloseReason.PEER_ENDED)

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail(CloseReason.PEER_ENDED)
        self.parser = None  # breaks a reference cycle that only the garbage collector would free


class Pool:
    """The connections to one upstream, which `member` describes as in the latest list."""

    def __init__(self, upstreams: Upstreams, member: Member) -> None:
        self.upstreams = upstreams
        self.member = member
        self.idle: list[Connection] = []  # newest last and reused first, so that the oldest may expire
        self.busy: set[Connection] = set()

    def is_ready(self) -> bool:
        return self.member.upstream.state is UpstreamState.READY

    def update(self, member: Member) -> None:
        previous, self.member = self.member, member
        has_moved = previous.address != member.address
        is_same_process = previous.upstream.started_us == member.upstream.started_us
        if not has_moved and is_same_process and self.is_ready():
            return
        for connection in [*self.idle, *self.busy]:
            # connections to the previous process are dead, but a machine that vanished did not close them
            if has_moved or not self.is_ready() or connection.opened_us < member.upstream.effective_start_us:
                self.retire(connection)

    def retire(self, connection: Connection) -> None:
        """Closes the connection, but only after its current attempt if it has one."""
        connection.is_retired = True
        if connection.attempt is None:
            connection.close(CloseReason.LEFT_SERVICE)

    def handle_removal(self) -> None:
        """Handles the removal from the list: pending requests may still be answered, no new ones are sent."""
        self.member = replace(self.member, upstream=replace(self.member.upstream, state=UpstreamState.GONE))
        for connection in [*self.idle, *self.busy]:
            self.retire(connection)

    def close_idle(self) -> None:
        while self.idle:
            self.idle[-1].close(CloseReason.LEFT_SERVICE)

    def start(self, attempt: Attempt) -> None:
        """Sends the attempt on an idle connection, or on a new one."""
        now_us, min_idle_us = self.upstreams.now_us(), self.upstreams.reuse_policy.min_idle_us()
        for connection in reversed(self.idle):
            age_us = now_us - connection.idle_since_us
            if age_us < min_idle_us:
                continue
            unusable = self.why_not_reusable(connection, age_us)
            if unusable is not None:
                connection.close(unusable)
                continue
            self.record_silence(connection, age_us)
            self.idle.remove(connection)
            del self.upstreams.idle[connection]
            self.busy.add(connection)
            connection.start(attempt)
            return
        if not self.upstreams.make_room():
            attempt.end(Outcome.NOT_SENT)
            return
        self.upstreams.open_count += 1
        task = asyncio.get_running_loop().create_task(self.connect(attempt))
        self.upstreams.tasks.add(task)
        task.add_done_callback(self.upstreams.tasks.discard)

    def record_silence(self, connection: Connection, idle_us: int) -> None:
        """Records once for each time that a connection is idle that it has received nothing for so long."""
        if not connection.is_counted_silent:
            connection.is_counted_silent = self.upstreams.reuse_policy.record_silence(idle_us)

    def record_surplus(self) -> None:
        """The upstream has sent more than it was asked for: what lies idle may be about to receive more of it."""
        self.upstreams.reuse_policy.record_surplus(self.member.upstream.id, self.upstreams.now_us())

    def why_not_reusable(self, connection: Connection, idle_us: int) -> CloseReason | None:
        """Why an idle connection must be closed instead of being used; None if it may be used."""
        if self.has_expired(connection):
            return CloseReason.IDLE_TIMEOUT
        if connection.requests and not self.allows_reuse(self.upstreams.now_us()):
            return CloseReason.QUARANTINE
        if not self.upstreams.idle_failures.is_reliable(idle_us):
            return CloseReason.UNRELIABLE_AGE
        return None if connection.look() is Unread.NOTHING else CloseReason.UNREAD_AT_REUSE

    def has_expired(self, connection: Connection) -> bool:
        return self.upstreams.now_us() - connection.idle_since_us >= self.upstreams.idle_timeout_us

    async def connect(self, attempt: Attempt) -> None:
        address = self.member.address
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self.upstreams.connect_timeout_s):
                await socket_connect.connect(sock, address)
            connection = Connection(self, sock)
            connection.open()
        except Exception as error:  # of any kind: otherwise the attempt would hold its slot until its timeout
            if sock is not None:
                sock.close()
            self.upstreams.open_count -= 1
            # a lack of resources on this machine is no failure of the upstream
            attempt.end(Outcome.NOT_SENT if is_transient(error) else Outcome.CONNECT_FAILED)
            return
        self.busy.add(connection)
        connection.is_retired = address != self.member.address
        if attempt.ended or connection.is_retired or not self.is_ready() or not attempt.is_wanted():
            # the upstream may have been removed, or the client may have cancelled, during the connect
            self.release(connection)
            attempt.end(Outcome.NOT_SENT)
        elif connection.look() in (Unread.BYTES, Unread.END):
            connection.close(CloseReason.UNREAD_AT_FIRST_USE)
            attempt.end(Outcome.CONNECT_FAILED)
        else:
            connection.start(attempt)

    def release(self, connection: Connection) -> None:
        """Returns the connection to the idle ones, or closes it if it must not be reused."""
        now_us = self.upstreams.now_us()
        if not self.is_ready():
            connection.close(CloseReason.LEFT_SERVICE)
        elif connection.is_retired:
            connection.close(CloseReason.NOT_REUSABLE)
        elif connection.requests and not self.allows_reuse(now_us):
            connection.close(CloseReason.QUARANTINE)
        else:
            self.busy.discard(connection)
            connection.idle_since_us, connection.is_counted_silent = now_us, False
            self.idle.append(connection)
            self.upstreams.idle[connection] = None

    def remove(self, connection: Connection) -> None:
        self.busy.discard(connection)
        if self.upstreams.idle.pop(connection, connection) is None:
            self.idle.remove(connection)
        self.upstreams.open_count -= 1

    def allows_reuse(self, now_us: int) -> bool:
        return self.upstreams.reuse_policy.allows_reuse(self.member.upstream.id, now_us)

    def close_expired(self) -> None:
        now_us = self.upstreams.now_us()
        for connection in self.idle:
            self.record_silence(connection, now_us - connection.idle_since_us)
        while self.idle and self.has_expired(self.idle[0]):
            self.idle[0].close(CloseReason.IDLE_TIMEOUT)


class Upstreams:
    """The connection pools of all upstreams in the list, by upstream id."""

    def __init__(self, now_us: Callable[[], int], idle_timeout_us: int, connect_timeout_us: int, max_open: int) -> None:
        self.now_us = now_us
        self.set_timeouts(idle_timeout_us, connect_timeout_us)
        self.max_open = max_open  # limit on open connections
        self.open_count = 0  # number of connections, including those being established
        self.pools: dict[int, Pool] = {}
        self.idle: dict[Connection, None] = {}  # of all pools, the one that has been idle longest first
        self.idle_failures = IdleFailures()
        self.reuse_policy = ReusePolicy()
        self.metrics = ConnectionMetrics()
        self.surplus_lines = LineBudget(now_us, SURPLUS_LINES_PER_S, MAX_SURPLUS_BURST)
        self.tasks: set[asyncio.Task[None]] = set()
        self.sweeper = Periodic(SWEEP_INTERVAL_S, self.sweep)

    def set_timeouts(self, idle_timeout_us: int, connect_timeout_us: int) -> None:
        self.idle_timeout_us = int(idle_timeout_us * IDLE_TIMEOUT_SHARE)
        self.connect_timeout_s = connect_timeout_us / 1e6 or DEFAULT_CONNECT_TIMEOUT_S

    def resolve_address_conflicts(self, members: list[Member], full: bool) -> list[Member]:
        """Returns the list with upstreams marked as gone whose address has been taken over by a newer one. If
        discovery reports their end late, requests meant for them would go to the cold process at that address."""
        members_by_id = {member.upstream.id: member for member in members}
        known = {} if full else {ident: pool.member for ident, pool in self.pools.items()}
        owners: dict[tuple[str, int], Member] = {}
        for member in {**known, **members_by_id}.values():
            if member.upstream.state is UpstreamState.GONE:
                continue
            other = owners.get(member.address, member)
            is_newer = member.upstream.effective_start_us >= other.upstream.effective_start_us
            owners[member.address] = member if is_newer else other
            if other is not member:
                replaced = other if is_newer else member
                members_by_id[replaced.upstream.id] = replace(
                    replaced, upstream=replace(replaced.upstream, state=UpstreamState.GONE))
        return list(members_by_id.values())

    def apply(self, members: list[Member], full: bool) -> None:
        """Applies a list of upstreams: all of them if `full`, otherwise those that changed."""
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
                pool.handle_removal()

    def ready_pool(self, upstream_id: int) -> Pool | None:
        """Returns the pool of the upstream if requests may be sent to it."""
        pool = self.pools.get(upstream_id)
        return pool if pool is not None and pool.is_ready() else None

    def close_idle(self, upstream_id: int) -> None:
        if upstream_id in self.pools:
            self.pools[upstream_id].close_idle()

    def make_room(self) -> bool:
        """Makes room for one more connection, if necessary by closing the one that has been idle longest. Returns
        whether there is room."""
        if self.open_count >= self.max_open:
            oldest = next(iter(self.idle), None)
            if oldest is not None:
                oldest.close(CloseReason.MAKE_ROOM)
        return self.open_count < self.max_open

    def sweep(self) -> None:
        for pool in self.pools.values():
            pool.close_expired()
        self.idle_failures.decay()

    def close(self) -> None:
        self.sweeper.cancel()
        for task in list(self.tasks):
            task.cancel()
        for pool in self.pools.values():
            pool.handle_removal()
