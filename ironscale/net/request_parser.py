"""Parses the HTTP/1.1 requests of one client's connection, within the limits of `http_message`."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import httptools

from ironscale.net.http_message import MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS, Headers

# Requests with these headers are rejected. Some servers read the first two as the framing headers that they resemble,
# and after `Upgrade` the parser takes the body for another protocol and drops it.
REJECTED_HEADERS = frozenset((b"transfer_encoding", b"content_length", b"upgrade"))

VERSIONS = frozenset(("1.0", "1.1"))
END_OF_HEAD = b"\r\n\r\n"  # also the last bytes of a body in chunks
MIN_FEED_BYTES = 64  # requests shorter than this may be parsed together
MAX_CHUNKED_FEED_BYTES = 512  # of a body in chunks, which may be small and many
FIELD_BYTES = 160  # memory that a header takes beside its characters


class TooLarge(Exception):
    """The head or the body of a request exceeds its limit."""


class ParseFailure(enum.Enum):
    """Why the rest of a connection can't be read; the value is the status of the answer.

    It is returned and not raised: the traceback of an exception that a caller keeps refers to the caller's own frame,
    and the connection would stay in memory until the garbage collector runs.
    """

    MALFORMED = 400
    TOO_LARGE = 413


@dataclass(slots=True)
class ParsedRequest:
    """A request that has been read to its last byte."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    size: int = 0  # of the memory that it takes, about


class RequestParser:
    """Takes the bytes of a connection and gives its requests, one after another."""

    def __init__(self) -> None:
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.unparsed = b""
        self.position = 0  # up to which it has been parsed
        self.complete: list[ParsedRequest] = []
        self.has_partial_request = False
        self.in_head = True
        self.target = b""
        self.headers: Headers = []
        self.body = bytearray()  # in one piece: a list of small pieces would take many times their bytes
        self.head_size = self.headers_seen = 0
        self.body_left = 0  # of a body with a length

    def append(self, data: bytes) -> None:
        """Adds bytes that have been received; `parse_next` parses them."""
        self.unparsed = self.unparsed[self.position:] + data
        self.position = 0

    def unparsed_size(self) -> int:
        return len(self.unparsed) - self.position

    def drop_unparsed(self) -> None:
        self.unparsed, self.position = b"", 0

    def parse_next(self) -> ParseFailure | None:
        """Parses up to the end of the next request. What follows stays unparsed, as it takes less memory so than as
        complete requests that wait."""
        begin, self.position = self.position, self.feed_end()
        view = memoryview(self.unparsed)[begin:self.position]
        if self.position == len(self.unparsed):
            self.drop_unparsed()
        return self.feed(view)

    def feed_end(self) -> int:
        """The position in the unparsed bytes up to which they are fed."""
        if self.body_left:
            return min(self.position + self.body_left, len(self.unparsed))
        if self.has_partial_request and not self.in_head:
            return min(self.position + MAX_CHUNKED_FEED_BYTES, len(self.unparsed))
        end = self.unparsed.find(END_OF_HEAD, self.position + MIN_FEED_BYTES)
        return len(self.unparsed) if end < 0 else end + len(END_OF_HEAD)

    def held_bytes(self) -> int:
        """The memory that the unparsed bytes and the request received in part take, about."""
        return len(self.unparsed) + (self.partial_size() if self.has_partial_request else 0)

    def partial_size(self) -> int:
        return self.head_size + self.headers_seen * FIELD_BYTES + len(self.body)

    def discard(self) -> None:
        """Frees the request received in part and the unparsed bytes. Nothing may be parsed after it."""
        self.drop_unparsed()
        self.has_partial_request = False
        self.headers, self.body = [], bytearray()

    def feed(self, data: memoryview) -> ParseFailure | None:
        """Parses the next bytes; complete requests are added to `complete`."""
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return ParseFailure.MALFORMED
        except httptools.HttpParserError as error:
            is_too_large = isinstance(error.__context__, TooLarge)
            return ParseFailure.TOO_LARGE if is_too_large else ParseFailure.MALFORMED
        if self.has_partial_request and self.in_head:
            # counted here as well, because the parser buffers an unterminated line and reports no header
            self.head_size += len(data)
            if self.head_size > MAX_HEAD_BYTES:
                return ParseFailure.TOO_LARGE
        return None

    def take_complete(self) -> list[ParsedRequest]:
        complete, self.complete = self.complete, []
        return complete

    def close(self) -> None:
        """Breaks the reference cycle with the parser, which only the garbage collector would free."""
        self.parser = None

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        self.has_partial_request = True
        self.in_head = True
        self.target = b""
        self.headers = []
        self.body = bytearray()
        self.head_size = self.headers_seen = self.body_left = 0

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers_seen += 1
        if self.headers_seen > MAX_HEADERS:
            raise TooLarge("head")
        if self.in_head:  # trailers come after the body and are dropped: they could override headers already checked
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        assert self.parser is not None
        self.in_head = False
        version = self.parser.get_http_version()
        if version not in VERSIONS:
            raise ValueError(version)
        if b"#" in self.target:  # clients keep the fragment to themselves; an upstream may read it as part of the path
            raise ValueError(self.target)
        self.head_size = len(self.target) + sum(len(name) + len(value) for name, value in self.headers)
        if self.head_size > MAX_HEAD_BYTES:
            raise TooLarge("head")
        for name, value in self.headers:
            # rejected by its declared length, before up to 60 MB are read in vain
            if name == b"content-length":
                self.body_left = int(value)
                if self.body_left > MAX_BODY_BYTES:
                    raise TooLarge("body")
            if name in REJECTED_HEADERS:
                raise ValueError(name)
            if name == b"transfer-encoding" and (value.strip().lower() != b"chunked" or version != "1.1"):
                raise ValueError(value)  # the body would be passed on in a coding that nobody names any more
        if sum(name == b"host" for name, _ in self.headers) > 1:
            raise ValueError("host")

    def on_body(self, body: bytes) -> None:
        if len(self.body) + len(body) > MAX_BODY_BYTES:
            raise TooLarge("body")
        self.body += body
        self.body_left = max(0, self.body_left - len(body))

    def on_message_complete(self) -> None:
        assert self.parser is not None
        size = self.partial_size()
        self.has_partial_request = False
        body, self.body, self.body_left = bytes(self.body), bytearray(), 0
        self.complete.append(ParsedRequest(self.parser.get_method(), self.target, self.headers, body,
                                           self.parser.should_keep_alive(), size))
