"""HTTP/1.1 messages as the stand-ins read and write them."""

from __future__ import annotations

import asyncio


class Message:
    """A request or an answer as it stood on the socket."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines[1:] if line)}
        self.body = body

    @property
    def status(self) -> int:
        return int(self.first.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """One message with a Content-Length. Raises IncompleteReadError where the connection ends before it."""
    head = await reader.readuntil(b"\r\n\r\n")
    message = Message(head[:-2], b"")
    message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    return message


def ok(body: bytes = b"done") -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


TURNED_AWAY = b"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
