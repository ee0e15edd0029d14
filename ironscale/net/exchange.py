"""One request of a client and its single answer."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from ironscale.net.lifecycle import Ledger, Lifecycle
from ironscale.net.request_parser import ParsedRequest

EXCHANGE_BYTES = 2_000  # memory that a request takes beside its bytes, until it is over


class Connection(Protocol):
    """The client's connection that a request came on."""

    @property
    def ledger(self) -> Ledger: ...

    def client_has_left(self) -> bool: ...

    def end_may_be_hidden(self) -> bool: ...

    def answer(self, exchange: Exchange, status: int, headers: Iterable[tuple[bytes, bytes]],
               body: bytes) -> None: ...


class Exchange:
    """One request of a client and its single answer.

    `arrived_us` is when its last byte reached this machine; `client_has_left` asks whether the client has closed its
    side, and `end_may_be_hidden` whether it may have, without a sign of it.
    """

    def __init__(self, connection: Connection, request: ParsedRequest, arrived_us: int) -> None:
        self.connection = connection
        self.method = request.method
        self.target = request.target
        self.headers = request.headers
        self.body = request.body
        self.keep_alive = request.keep_alive
        self.arrived_us = arrived_us
        self.lifecycle = Lifecycle(connection.ledger)
        self.client_has_left = connection.client_has_left
        self.end_may_be_hidden = connection.end_may_be_hidden
        self.size = EXCHANGE_BYTES + request.size
        self.header_values: dict[bytes, bytes] = {}
        for name, value in request.headers:
            # a repeated header reads as empty, since it is ambiguous which value counts
            self.header_values[name] = value if name not in self.header_values else b""

    def header(self, name: bytes) -> str:
        """The header's value, by its lower-case name; empty if it is missing or repeated."""
        return self.header_values.get(name, b"").decode("latin-1")

    def answer(self, status: int, headers: Iterable[tuple[bytes, bytes]] = (), body: bytes = b"") -> None:
        """Sends the answer; ignored if the request has been answered or cancelled already."""
        if self.lifecycle.answer(status):
            self.connection.answer(self, status, headers, body)
