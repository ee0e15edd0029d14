"""Crowds of clients that cost a sidecar memory or time: slow, stopped half way, sent ahead, unread, ever new."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

CROWD_SIZE = 600  # more than the connections that 1,024 descriptors leave for clients
LEAST_MEMORY_MB = 32  # the least that the pages name
SOCKETS = 1024
BODY_BYTES = 60_000
READ_LIMIT_BYTES = 1 << 12
RECONNECT_PAUSE_S = 0.5
SLOW_PIECE_BYTES, SLOW_PAUSE_S = 2_000, 0.05

_names = itertools.count(1)


def head(lane: str = "pay", *fields: str, remaining: str = "2000m") -> bytes:
    """The head of a request under a new id, up to the fields that frame its body."""
    lines = [f"POST /api?sid=c{next(_names)} HTTP/1.1", "Host: s", f"X-Txn: crowd-{next(_names)}", f"X-Lane: {lane}",
             "X-Org: north", f"X-Remaining: {remaining}", *fields, ""]
    return "\r\n".join(lines).encode()


def half_body() -> bytes:
    """A large request that stops half way through its body."""
    return head() + b"Content-Length: %d\r\n\r\n" % BODY_BYTES + b"x" * (BODY_BYTES - 1_000)


def small_chunks() -> bytes:
    """A request whose body comes in chunks of two bytes, and stops half way."""
    return head() + b"Transfer-Encoding: chunked\r\n\r\n" + b"2\r\nxy\r\n" * (BODY_BYTES // 2 - 500)


def short_fields() -> bytes:
    """A head of many short fields without an end."""
    return head() + b"".join(b"f%d: v\r\n" % number for number in range(80))


def endless_head() -> bytes:
    """A head of far more short fields than any limit allows."""
    return head() + b"a:b\r\n" * 30_000


def long_field() -> bytes:
    """A head with one field of nearly the largest size, without an end."""
    return head() + b"x-long: " + b"v" * 60_000


def sent_ahead() -> bytes:
    """Hundreds of small complete requests at once."""
    return b"".join(b"GET / HTTP/1.1\r\n\r\n" for _ in range(20_000))


def probes_ahead() -> bytes:
    """Hundreds of readiness probes at once, whose answers nobody reads."""
    return b"GET /health/ready HTTP/1.1\r\nHost: s\r\n\r\n" * 5_000


def silent() -> bytes:
    return b""


def new_deadlines() -> bytes:
    """A request whose deadline is no number, long and never the same."""
    return head(remaining=f"{next(_names)}" + "9" * 50_000) + b"Content-Length: 0\r\n\r\n"


@dataclass(frozen=True)
class Behaviour:
    """What each client of a crowd sends, whether it writes slowly, and whether it reads what it is sent."""

    make: Callable[[], bytes]
    slowly: bool = False
    reads: bool = True


CROWDS = {
    "silent": Behaviour(silent),
    "slow": Behaviour(half_body, slowly=True),
    "half-a-body": Behaviour(half_body),
    "small-chunks": Behaviour(small_chunks),
    "small-chunks-slowly": Behaviour(small_chunks, slowly=True),
    "short-fields": Behaviour(short_fields),
    "endless-head": Behaviour(endless_head),
    "long-field": Behaviour(long_field),
    "sent-ahead": Behaviour(sent_ahead),
    "unread-answers": Behaviour(probes_ahead, reads=False),
    "new-deadlines": Behaviour(new_deadlines),
}


@dataclass(frozen=True)
class Memory:
    """The resident memory of a process, now and at its peak, in MB of 1,048,576 bytes."""

    resident_mb: float
    peak_mb: float


def memory_of(pid: int) -> Memory:
    fields = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines() if ":" in line)
    resident_kb, peak_kb = (int(fields[name].split()[0]) for name in ("VmRSS", "VmHWM"))
    return Memory(resident_kb / 1024, peak_kb / 1024)


def sizes(total: int, piece: int) -> Iterator[slice]:
    return (slice(at, at + piece) for at in range(0, total, piece))


async def send(writer: asyncio.StreamWriter, behaviour: Behaviour) -> None:
    data = behaviour.make()
    for part in sizes(len(data), SLOW_PIECE_BYTES if behaviour.slowly else max(1, len(data))):
        writer.write(data[part])
        await writer.drain()
        if behaviour.slowly:
            await asyncio.sleep(SLOW_PAUSE_S)


async def stay(port: int, behaviour: Behaviour, rng: random.Random) -> None:
    """One client of a crowd: sends its bytes and stays; connects again some time after the other side has ended."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=READ_LIMIT_BYTES)
            try:
                await send(writer, behaviour)
                while behaviour.reads and await reader.read(READ_LIMIT_BYTES):
                    pass
                if not behaviour.reads:
                    await writer.wait_closed()
            finally:
                writer.transport.abort()
        await asyncio.sleep(RECONNECT_PAUSE_S * (1 + rng.random()))


@contextlib.asynccontextmanager
async def crowd(port: int, behaviour: Behaviour, size: int = CROWD_SIZE, seed: int = 1) -> AsyncIterator[None]:
    """A crowd of clients while the block runs."""
    clients = [asyncio.create_task(stay(port, behaviour, random.Random(f"{seed} {number}"))) for number in range(size)]
    try:
        yield
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
