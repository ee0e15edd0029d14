"""One worker process: `python -m ironscale.load.worker`, told over standard input, telling over standard output.

In: the length of a JSON object (4 bytes, little-endian), the object (`spec`, `count`), the columns of its part of the
schedule; then, once it has said that it is ready, 8 bytes with the moment of the start on the monotonic clock.
Out: frames of a letter, a length and so many bytes: R ready, S samples (outcome.RECORD), W what it saw of itself, E the
end.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import os
import resource
import struct
import sys
import time
from collections.abc import Callable
from typing import Any

import uvloop

from ironscale.load.client import Client, KindSpec, Spec, addresses_of
from ironscale.load.outcome import RECORD, Sample
from ironscale.load.schedule import Schedule

FRAME = struct.Struct("<cI")
WATCH_S = 0.25
SPARE_S = 2.0  # after the last deadline
MOST_HELD = 64 << 10  # bytes of samples that wait for the next word


class Collector:
    """How long the garbage collector held this process up."""

    def __init__(self) -> None:
        self.since_ns = 0
        self.longest_us = 0
        self.total_us = 0
        gc.callbacks.append(self.on_phase)

    def on_phase(self, phase: str, info: dict[str, Any]) -> None:
        if phase == "start":
            self.since_ns = time.monotonic_ns()
            return
        pause_us = (time.monotonic_ns() - self.since_ns) // 1000
        self.longest_us = max(self.longest_us, pause_us)
        self.total_us += pause_us

    def close(self) -> None:
        gc.callbacks.remove(self.on_phase)


class Watcher:
    """What a worker sees of itself, told every WATCH_S and once at the end."""

    def __init__(self, client: Client, tell: Callable[[dict[str, Any]], None]) -> None:
        self.client, self.tell = client, tell
        self.collector = Collector()
        self.cpu_s = self.used_s()
        self.at_us = client.now_us()
        self.loop = asyncio.get_running_loop()
        self.handle = self.loop.call_later(WATCH_S, self.look)

    @staticmethod
    def used_s() -> float:
        used = resource.getrusage(resource.RUSAGE_SELF)
        return used.ru_utime + used.ru_stime

    def look(self) -> None:
        client, now_us, cpu_s = self.client, self.client.now_us(), self.used_s()
        self.tell(
            {
                "from_us": self.at_us,
                "to_us": now_us,
                "cpu_s": round(cpu_s - self.cpu_s, 6),
                "gc_longest_us": self.collector.longest_us,
                "gc_us": self.collector.total_us,
                "connections": len(client.connections),
                "most_connections": client.most_open,
                "starved": client.starved,
                "waiting": len(client.waiting),
                "tries": len(client.tries),
            }
        )
        self.at_us, self.cpu_s = now_us, cpu_s
        self.collector.longest_us = self.collector.total_us = 0
        client.starved = 0
        client.most_open = len(client.connections)
        self.handle = self.loop.call_later(WATCH_S, self.look)

    def close(self) -> None:
        self.look()
        self.handle.cancel()
        self.collector.close()


class Pipe:
    """Frames on a pipe. Hazard: a parent that reads slowly must not stop the sending; what it has not read waits."""

    def __init__(self, transport: asyncio.WriteTransport) -> None:
        self.transport = transport
        self.held = bytearray()

    def frame(self, letter: bytes, data: bytes) -> None:
        """Writes a frame; it is dropped where the parent has ended, or has closed its side after a signal."""
        if not self.transport.is_closing():
            self.transport.write(FRAME.pack(letter, len(data)) + data)

    def sample(self, sample: Sample) -> None:
        self.held += RECORD.pack(*sample)
        if len(self.held) >= MOST_HELD:
            self.flush()

    def flush(self) -> None:
        if self.held:
            held, self.held = self.held, bytearray()
            self.frame(b"S", bytes(held))

    def watch(self, seen: dict[str, Any]) -> None:
        self.flush()
        self.frame(b"W", json.dumps(seen).encode())


def spec_from(data: dict[str, Any]) -> Spec:
    return Spec(
        **{
            **data,
            "addresses": addresses_of(data["addresses"]),
            "tenants": tuple(data["tenants"]),
            "kinds": tuple(KindSpec(**kind) for kind in data["kinds"]),
        }
    )


def read_exactly(size: int) -> bytes:
    data = sys.stdin.buffer.read(size)
    if len(data) != size:
        raise EOFError(f"expected {size} bytes on standard input, got {len(data)}")
    return data


async def work(spec: Spec, part: Schedule) -> None:
    loop = asyncio.get_running_loop()
    transport, _ = await loop.connect_write_pipe(asyncio.BaseProtocol, sys.stdout.buffer)
    pipe = Pipe(transport)
    client = Client(spec, part, pipe.sample)
    gc.collect()
    gc.freeze()  # the schedule stays: the collector need not walk it
    pipe.frame(b"R", json.dumps({"pid": os.getpid(), "count": len(part)}).encode())
    (start_ns,) = struct.unpack("<q", await loop.run_in_executor(None, read_exactly, 8))
    client.start(start_ns)
    watcher = Watcher(client, pipe.watch)
    longest_us = max(kind.deadline_us for kind in spec.kinds)
    left_s = (start_ns - time.monotonic_ns()) / 1e9 + (spec.duration_us + longest_us) / 1e6 + SPARE_S
    await client.wait(max(0.1, left_s))
    watcher.close()
    pipe.flush()
    pipe.frame(b"E", b"{}")
    transport.close()
    while transport.get_write_buffer_size():
        await asyncio.sleep(0.01)


def main() -> None:
    (size,) = struct.unpack("<I", read_exactly(4))
    data = json.loads(read_exactly(size))
    count = data["count"]
    width = sum(column.itemsize for column in Schedule().columns())
    part = Schedule.from_bytes(read_exactly(count * width), count)
    with contextlib.suppress(BrokenPipeError, KeyboardInterrupt):
        uvloop.run(work(spec_from(data["spec"]), part))


if __name__ == "__main__":
    main()
