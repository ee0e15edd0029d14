"""The parser gives the same requests however their bytes come, one at a time, and holds little more than these."""

from __future__ import annotations

import sys
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironscale.net.http_message import MAX_BODY_BYTES
from ironscale.net.request_parser import (
    MAX_CHUNKED_FEED_BYTES,
    MIN_FEED_BYTES,
    ParsedRequest,
    ParseFailure,
    RequestParser,
)

HEAD = b"POST /api?sid=7f HTTP/1.1\r\nHost: service.internal\r\nX-Txn: 9b1f03aa5c7e2d41\r\n"
MAX_MEMORY_RATIO = 3  # of the memory of a request in part to its bytes; a list of pieces of 2 bytes takes over 20


def request(body: bytes, chunk_bytes: int) -> bytes:
    """A request with a body of a length, or in chunks if `chunk_bytes` is not 0."""
    if not chunk_bytes:
        return HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    chunks = [body[at:at + chunk_bytes] for at in range(0, len(body), chunk_bytes)]
    coded = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + coded + b"0\r\n\r\n"


def parsed(pieces: list[bytes]) -> list[ParsedRequest]:
    parser, requests = RequestParser(), []
    for piece in pieces:
        parser.append(piece)
        while parser.unparsed_size():
            assert parser.parse_next() is None
            requests += parser.take_complete()
    assert not parser.has_partial_request and not parser.held_bytes()
    return [replace(one, size=0) for one in requests]


BODIES = st.lists(st.tuples(st.sampled_from([b"", b"x", b"\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n" * 9, b"y" * 3_000]),
                            st.sampled_from([0, 1, 2, 500])), min_size=1, max_size=6)


@given(BODIES, st.lists(st.integers(1, 400), min_size=1))
def test_requests_are_the_same_however_their_bytes_come(bodies: list[tuple[bytes, int]], sizes: list[int]) -> None:
    data, at = b"".join(request(*one) for one in bodies), 0
    pieces: list[bytes] = []
    while at < len(data):
        size = sizes[len(pieces) % len(sizes)]
        pieces.append(data[at:at + size])
        at += size
    whole = parsed([data])
    assert [one.body for one in whole] == [body for body, _ in bodies]
    assert parsed(pieces) == whole


# Guards against complete requests that fill the memory while they wait for the one before.
def test_requests_sent_ahead_stay_unparsed() -> None:
    parser = RequestParser()
    parser.append(request(b"", 0) * 50)
    assert parser.parse_next() is None
    assert len(parser.take_complete()) == 1
    tiny = b"GET / HTTP/1.1\r\n\r\n"
    parser = RequestParser()
    parser.append(tiny * 800)
    assert parser.parse_next() is None
    assert len(parser.take_complete()) <= MIN_FEED_BYTES // len(tiny) + 2


def memory_of(parser: RequestParser) -> int:
    """The memory of what a request in part consists of."""
    fields = sum(sys.getsizeof(one) + sum(map(sys.getsizeof, one)) for one in parser.headers)
    return sum(map(sys.getsizeof, (parser.unparsed, parser.body, parser.headers))) + fields


# Guards against a request in part that takes many times the memory of its bytes.
@pytest.mark.parametrize("chunk_bytes", [1, 2, 7, 100])
def test_a_body_in_small_chunks_takes_about_its_bytes(chunk_bytes: int) -> None:
    parser = RequestParser()
    parser.append(request(b"x" * (MAX_BODY_BYTES - 1_000), chunk_bytes)[:-10])
    while parser.unparsed_size():
        assert parser.parse_next() is None
    assert memory_of(parser) <= MAX_MEMORY_RATIO * MAX_BODY_BYTES
    assert parser.held_bytes() >= len(parser.body) > MAX_BODY_BYTES - 2_000


# Guards against a size that says less than the request in part takes.
def test_the_size_of_a_head_in_part_covers_its_fields() -> None:
    parser = RequestParser()
    parser.append(HEAD + b"".join(b"f%d: v\r\n" % number for number in range(90)))
    while parser.unparsed_size():
        assert parser.parse_next() is None
    assert parser.held_bytes() >= 0.8 * memory_of(parser)


def test_a_body_over_the_limit_is_too_large_in_chunks_and_with_a_length() -> None:
    for data in (request(b"x" * (MAX_BODY_BYTES + 1), 1_000), request(b"x" * (MAX_BODY_BYTES + 1), 0)):
        parser, failure = RequestParser(), None
        parser.append(data)
        while failure is None and parser.unparsed_size():
            failure = parser.parse_next()
        assert failure is ParseFailure.TOO_LARGE and not parser.take_complete()


UNSOUND = {
    "version 0.9": b"GET /api HTTP/0.9\r\nHost: h\r\n\r\n",
    "version 2.0": b"GET /api HTTP/2.0\r\nHost: h\r\n\r\n",
    "fragment": b"GET /api#x HTTP/1.1\r\nHost: h\r\n\r\n",
    "two hosts": b"GET /api HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
    "another coding": b"POST /api HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    "chunks in 1.0": b"POST /api HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    "two lengths": b"POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab",
    "length and chunks": b"POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab",
    "signed length": b"POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: +2\r\n\r\nab",
    "space before colon": b"GET /api HTTP/1.1\r\nHost : h\r\n\r\n",
    "folded line": b"GET /api HTTP/1.1\r\nHost: h\r\nX: y\r\n z\r\n\r\n",
    "line feed alone": b"GET /api HTTP/1.1\nHost: h\n\n",
    "control character": b"GET /api HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n",
}


# Guards against a message that is not sound and is passed on as one that is.
@pytest.mark.parametrize("data", UNSOUND.values(), ids=[name.replace(" ", "-") for name in UNSOUND])
def test_a_message_that_is_not_sound_gives_no_request(data: bytes) -> None:
    parser, failure = RequestParser(), None
    parser.append(data)
    while failure is None and parser.unparsed_size():
        failure = parser.parse_next()
    assert failure is ParseFailure.MALFORMED and not parser.take_complete()


# Guards against a read of a body in small chunks that is parsed in one long step.
def test_a_body_in_chunks_is_parsed_in_short_steps() -> None:
    parser, steps = RequestParser(), 0
    parser.append(request(b"x" * 3_000, 1))
    while parser.unparsed_size():
        before = parser.unparsed_size()
        assert parser.parse_next() is None
        steps += 1
        assert steps == 1 or before - parser.unparsed_size() <= MAX_CHUNKED_FEED_BYTES
    assert len(parser.take_complete()) == 1
