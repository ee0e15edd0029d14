"""A site of stand-in servers with discovery, in a process of its own: `python -m ironscale.standins.site`.

In: a JSON object on one line (`Site.__init__` reads it), then `{"start_ns": ...}`, the moment that the timeline counts
from, on the monotonic clock, `{"look": true}` and `{"end": true}`, a line each. Out: JSON lines: where it listens;
each thing that befell a server, as it befell it; at a look what each server counts; at the end the truth: how often
each request ran.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import sys
import time
from collections import Counter
from collections.abc import Callable
from hashlib import blake2b
from typing import Any, cast

import httptools
import uvloop

from ironscale.standins.discovery import ListedDiscovery
from ironscale.standins.http import TURNED_AWAY
from ironscale.standins.machine import Machine, Shape

DRAIN_GRACE_US = 2_050_000  # nothing new later than this after a drain was told
DRIP_S = 1.0
ERROR = b"HTTP/1.1 500 Fault\r\nContent-Length: 0\r\n\r\n"
BAD = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


def now_us() -> int:
    return time.monotonic_ns() // 1000


class Job:
    __slots__ = ("connection", "ident", "key")

    def __init__(self, connection: Conn, ident: str, key: str) -> None:
        self.connection, self.ident, self.key = connection, ident, key


class Conn(asyncio.Protocol):
    """One connection to a stand-in."""

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.fields: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.upstream.connections.add(self)
        self.upstream.opened += 1

    def data_received(self, data: bytes) -> None:
        # hazard: uvloop begins to read behind `connection_made`, whatever that said
        if self.upstream.paused:
            self.upstream.held.append(lambda: self.data_received(data))
            return
        try:
            assert self.parser is not None
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.write(BAD)
            if self.transport is not None:
                self.transport.close()

    def on_message_begin(self) -> None:
        self.fields = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields[name.lower()] = value

    def on_message_complete(self) -> None:
        self.upstream.on_request(self)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def reset(self) -> None:
        """Breaks it off: without the lingering of 0 the other side would see an end in good order."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.upstream.connections.discard(self)
        self.transport = None
        self.parser = None


class Upstream:
    """One stand-in server."""

    def __init__(self, site: Site, number: int, shape: Shape, entry: dict[str, Any]) -> None:
        self.site, self.number, self.entry = site, number, entry
        self.machine: Machine[Job] = Machine(shape, now_us() - shape.warm_up_us)
        self.connections: set[Conn] = set()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.paused = False
        self.held: list[Callable[[], None]] = []  # what it would have done while it was paused
        self.fault = ""  # how it answers
        self.epoch = 0  # of the process: what an earlier one had begun ends with it
        self.told_drain_us = 0
        self.opened = self.taken = self.turned_away = self.repeats = self.after_drain = 0

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.create_server(("127.0.0.1", self.port), backlog=4096)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port = sock.getsockname()[1]
        self.server = await loop.create_server(lambda: Conn(self), sock=sock)
        self.entry["hostPort"] = f"127.0.0.1:{self.port}"

    def on_request(self, conn: Conn) -> None:
        fields = conn.fields
        ident = fields.get(b"x-txn", b"").decode("latin-1")
        self.taken += 1
        if self.told_drain_us and now_us() > self.told_drain_us + DRAIN_GRACE_US:
            self.after_drain += 1
        if self.fault == "reset":
            conn.reset()
            return
        key = fields.get(b"idempotency-key", b"").decode("latin-1")
        if self.fault == "turn_away":
            self.turn_away(conn)
            return
        work_us = self.site.work_us(fields.get(b"x-lane", b"").decode("latin-1"), ident)
        if not work_us and not self.machine.queue:  # nothing to wait for
            self.run(Job(conn, ident, key))
        elif self.machine.offer(Job(conn, ident, key), work_us, now_us()):
            self.next()
        elif self.machine.fallen:
            self.site.happened("fell", self.number)
            self.site.spawn(self.close())
        else:
            self.turn_away(conn)

    def turn_away(self, conn: Conn) -> None:
        self.turned_away += 1
        conn.write(TURNED_AWAY)

    def next(self) -> None:
        while (found := self.machine.start(now_us())) is not None:
            job, time_us = found
            if job.connection.transport is None:  # its client has gone: waiting work is dropped
                self.machine.end()
                continue
            self.count(job)
            asyncio.get_running_loop().call_later(time_us / 1e6, self.ready, job, self.epoch)

    def ready(self, job: Job, epoch: int) -> None:
        if epoch != self.epoch:
            return
        if self.paused:
            self.held.append(lambda: self.ready(job, epoch))
            return
        self.machine.end()
        self.answer(job)
        self.next()

    def run(self, job: Job) -> None:
        self.count(job)
        self.answer(job)

    def count(self, job: Job) -> None:
        """It runs now. A keyed repeat is remembered by all of its cell, and not run again."""
        if job.key and not self.site.is_first(self.entry["cell"], job.key):
            self.repeats += 1
            return
        self.site.executions[job.ident] += 1

    def answer(self, job: Job) -> None:
        conn, body = job.connection, job.ident.encode("latin-1")
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        if self.fault == "silent":
            return
        if self.fault == "error":
            data = ERROR
        elif self.fault == "twice":
            data += data
        elif self.fault == "half":
            conn.write(data[: -max(1, len(body) // 2)])
            if conn.transport is not None:
                conn.transport.close()
            return
        elif self.fault == "drip":
            self.site.spawn(self.drip(conn, data))
            return
        conn.write(data)

    async def drip(self, conn: Conn, data: bytes) -> None:
        for i in range(len(data)):
            if conn.transport is None:
                return
            conn.write(data[i : i + 1])
            await asyncio.sleep(DRIP_S)

    def pause(self) -> None:
        self.paused = True
        for conn in self.connections:
            if conn.transport is not None:
                conn.transport.pause_reading()

    def go_on(self) -> None:
        self.paused = False
        held, self.held = self.held, []
        for act in held:
            act()
        for conn in self.connections:
            if conn.transport is not None:
                conn.transport.resume_reading()

    async def close(self) -> None:
        self.epoch += 1
        if self.server is not None:
            self.server.close()
            self.server = None
        for conn in list(self.connections):
            if conn.transport is not None:
                conn.transport.abort()

    async def start_again(self) -> None:
        """A new process on the same port: cold, and without what the former one had."""
        self.machine = Machine(self.machine.shape, now_us())
        self.entry["startedAtMs"] = time.time_ns() // 1_000_000
        await self.listen()

    def counts(self) -> dict[str, int]:
        """So far; `held`: connections open now."""
        return {"opened": self.opened, "held": len(self.connections), "taken": self.taken}

    def totals(self) -> dict[str, Any]:
        return {
            "upstream": self.number,
            "taken": self.taken,
            "turned_away": self.turned_away,
            "repeats": self.repeats,
            "connections": self.opened,
            "fell": self.machine.fallen,
            "after_drain": self.after_drain,
        }


class Site:
    def __init__(self, spec: dict[str, Any], tell: Callable[[dict[str, Any]], None]) -> None:
        self.tell = tell
        self.discovery = ListedDiscovery()
        self.kinds: dict[str, tuple[int, int]] = {k["name"]: tuple(k["work_us"]) for k in spec["kinds"]}
        self.memory_us = int(spec["memory_us"])
        self.upstreams = [
            Upstream(
                self,
                i,
                Shape(**u["shape"]),
                {
                    "instanceId": f"s-{i}",
                    "hostPort": "",
                    "zone": u["zone"],
                    "machineType": u["kind"],
                    "cell": u["cell"],
                    "lifecycle": "ready",
                    "weight": 1.0,
                    "startedAtMs": 0,
                },
            )
            for i, u in enumerate(spec["upstreams"])
        ]
        self.faults: list[dict[str, Any]] = spec["faults"]
        self.executions: Counter[str] = Counter()
        self.remembered: dict[tuple[int, str], int] = {}
        self.start_us = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def work_us(self, kind: str, ident: str) -> int:
        """Between the class's bounds, the same for all tries of a request."""
        low, high = self.kinds.get(kind) or next(iter(self.kinds.values()))
        if low == high:
            return low
        part = int.from_bytes(blake2b(ident.rpartition("-")[0].encode(), digest_size=4).digest())
        return low + part % (high - low + 1)

    def is_first(self, cell: int, key: str) -> bool:
        """Whether this cell hears the key for the first time within its memory."""
        now, at = now_us(), (cell, key)
        seen = self.remembered.get(at)
        if seen is not None and now - seen < self.memory_us:
            return False
        self.remembered[at] = now
        return True

    async def start(self) -> None:
        for upstream in self.upstreams:
            await upstream.listen()
        await self.discovery.start()
        self.discovery.put(*(dict(u.entry) for u in self.upstreams))
        self.tell({"discovery": self.discovery.port, "ports": [u.port for u in self.upstreams]})

    def begin(self, start_ns: int) -> None:
        self.start_us = start_ns // 1000
        for fault in self.faults:
            self.spawn(self.befall(fault))

    def happened(self, what: str, upstream: int, of: int = 1, at_us: int | None = None) -> None:
        at_us = now_us() - self.start_us if at_us is None else at_us
        self.tell({"mark": what, "at_us": at_us, "upstream": upstream, "of": of})

    async def until(self, at_us: int) -> None:
        """Not before that time: the loop's timers count whole milliseconds, and fire up to one early."""
        while (left_us := self.start_us + at_us - now_us()) > 0:
            await asyncio.sleep(left_us / 1e6)

    async def befall(self, fault: dict[str, Any]) -> None:
        struck = [self.upstreams[i] for i in fault["upstreams"]]
        kind = fault["kind"]
        await self.until(fault["at_us"])
        self.happened(kind, struck[0].number, len(struck))
        for upstream in struck:
            await self.strike(upstream, kind, fault["factor"])
        if kind in ("drain", "gone", "restart"):
            self.list(struck, "draining" if kind == "drain" else "gone")
        await self.until(fault["at_us"] + fault["for_us"])
        ended_us = now_us() - self.start_us  # hazard: what mending lets go of is done before it returns
        for upstream in struck:
            await self.mend(upstream, kind)
        if kind in ("drain", "gone", "restart"):
            self.list(struck, "ready")
        self.happened(f"{kind} ends", struck[0].number, len(struck), ended_us)

    def list(self, struck: list[Upstream], lifecycle: str) -> None:
        self.discovery.put(*({**u.entry, "lifecycle": lifecycle} for u in struck))
        for upstream in struck:
            upstream.told_drain_us = 0 if lifecycle == "ready" else now_us()

    async def strike(self, upstream: Upstream, kind: str, factor: float) -> None:
        if kind == "pause":
            upstream.pause()
        elif kind == "slow":
            upstream.machine.slow = factor
        elif kind in ("refuse", "gone", "restart"):
            await upstream.close()
        elif kind != "drain":
            upstream.fault = kind

    async def mend(self, upstream: Upstream, kind: str) -> None:
        if kind == "pause":
            upstream.go_on()
        elif kind == "slow":
            upstream.machine.slow = 1.0
        elif kind == "refuse":
            await upstream.listen()
        elif kind in ("gone", "restart"):
            await upstream.start_again()
        elif kind != "drain":
            upstream.fault = ""

    def truth(self) -> dict[str, Any]:
        once = [ident for ident, count in self.executions.items() if count == 1]
        more = {ident: count for ident, count in self.executions.items() if count > 1}
        return {"once": "\n".join(once), "more": more, "upstreams": [u.totals() for u in self.upstreams]}


async def serve() -> None:
    loop = asyncio.get_running_loop()

    def tell(data: dict[str, Any]) -> None:
        sys.stdout.write(json.dumps(data) + "\n")
        sys.stdout.flush()

    first = await loop.run_in_executor(None, sys.stdin.readline)
    site = Site(json.loads(first), tell)
    await site.start()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        told = json.loads(line)
        if "start_ns" in told:
            site.begin(int(told["start_ns"]))
        elif told.get("look"):
            tell({"mark": "look", "upstreams": [u.counts() for u in site.upstreams]})
        elif told.get("end"):
            tell(site.truth())
            break


if __name__ == "__main__":
    uvloop.run(serve())
