"""Parses the HTTP/1.1 requests of one client's connection, within the limits of `http_message`."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import httptools

from ironscale.net.http_message import MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS, Headers

# Requests with these headers are rejected. Some servers read the first two as the framing headers that they resemble,
# and after `Upgrade` the parser takes the body for another protocol and drops it.
REJECTED_HEADERS = frozenset((b"transfer_encoding", b"content_length", b"upgrade"))


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


class RequestParser:
    """Takes the bytes of a connection and gives its complete requests."""

    def __init__(self) -> None:
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.complete: list[ParsedRequest] = []
        self.has_partial_request = False
        self.in_head = True
        self.target = b""
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.head_size = self.headers_seen = self.body_size = 0

    def feed(self, data: bytes) -> ParseFailure | None:
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
        self.body = []
        self.head_size = self.headers_seen = self.body_size = 0

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers_seen += 1
        if self.headers_seen > MAX_HEADERS:
            raise TooLarge("head")
        if self.in_head:  # trailers come after the body and are dropped: they could override headers already checked
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self.in_head = False
        if len(self.target) + sum(len(name) + len(value) for name, value in self.headers) > MAX_HEAD_BYTES:
            raise TooLarge("head")
        for name, value in self.headers:
            # rejected by its declared length, before up to 60 MB are read in vain
            if name == b"content-length" and int(value) > MAX_BODY_BYTES:
                raise TooLarge("body")
            if name in REJECTED_HEADERS:
                raise ValueError(name)

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.body_size > MAX_BODY_BYTES:
            raise TooLarge("body")
        self.body.append(body)

    def on_message_complete(self) -> None:
        assert self.parser is not None
        self.has_partial_request = False
        self.complete.append(ParsedRequest(self.parser.get_method(), self.target, self.headers, b"".join(self.body),
                                           self.parser.should_keep_alive()))
