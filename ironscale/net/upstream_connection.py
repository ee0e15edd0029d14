"""One connection to an upstream: sends attempts, parses answers, and reports the exact outcome of each attempt."""

from __future__ import annotations

import logging
import socket
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools

from ironscale.interface import Outcome
from ironscale.net.connection_metrics import CloseReason, ConnectionUse
from ironscale.net.connection_reuse import MAX_EARLIER_ANSWERS
from ironscale.net.http_message import MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS, Headers
from ironscale.net.stream import Stream, Unread, peek

if TYPE_CHECKING:
    from ironscale.net.upstream import Pool

logger = logging.getLogger("ironscale.upstreams")
MAX_LOGGED_BYTES = 60
CLOSING_NOTICES = (b"HTTP/1.1 408", b"HTTP/1.0 408")  # some servers announce so that they close an idle connection
STATUSES_WITHOUT_BODY = frozenset((*range(100, 200), 204, 304))


class Answer:
    """The HTTP response of an upstream."""

    __slots__ = ("content", "headers", "status")

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = []
        self.content = bytearray()  # in one piece: a list of small pieces would take many times their bytes

    @property
    def body(self) -> bytes:
        return bytes(self.content)

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


def no_payload() -> bytes:
    """The payload of an attempt that has ended."""
    return b""


def never() -> bool:
    """Whether an attempt that has ended should still be sent."""
    return False


class Attempt:
    """One transmission of a request to an upstream. It ends exactly once, with the first outcome."""

    def __init__(self, build_payload: Callable[[], bytes], is_wanted: Callable[[], bool],
                 on_end: Callable[[Outcome, Answer | None], None]) -> None:
        # Both are called just before the first byte is written. The payload contains the time that is left then.
        self.build_payload = build_payload
        self.is_wanted = is_wanted
        self.on_end: Callable[[Outcome, Answer | None], None] | None = on_end
        self.connection: Connection | None = None
        self.use: ConnectionUse | None = None  # None until it is written to a connection
        self.ended = False

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        on_end, self.on_end = self.on_end, None  # breaks the cycle attempt, callback, timer
        if on_end is not None:
            self.ended = True
            self.build_payload, self.is_wanted = no_payload, never  # breaks the cycle request, attempt, callback
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
                self.pool.record_surplus(self.idle_since_us)
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
            if len(self.answer.content) + len(body) > MAX_BODY_BYTES:
                raise OverflowError("body too long")
            self.answer.content += body

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
        if self.requests > 1 and self.has_surplus:
            return CloseReason.SURPLUS
        if self.requests > 1 and not self.pool.allows_reuse(self.pool.upstreams.now_us()):
            return CloseReason.QUARANTINE
        if digest is not None and policy.is_copy(digest, self.digests):
            return CloseReason.COPIED_ANSWER  # no proof that the upstream sent too much: it may be an equal answer
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
                # the socket closes at once: otherwise a retry would be a second copy of a request that is still out
                self.transport.abort()

    def eof_received(self) -> None:
        self.fail(CloseReason.PEER_ENDED)

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail(CloseReason.PEER_ENDED)
        self.parser = self.transport = None  # breaks reference cycles that only the garbage collector would free
