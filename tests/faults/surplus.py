"""Upstreams that send more answers than they were sent requests, and load that reuses their connections quickly."""

from __future__ import annotations

import asyncio
import enum
import random
import time

from tests.faults.clients import Clients
from tests.faults.ledger import LANES, Ledger
from tests.faults.site import Site
from tests.faults.upstream import Upstream, UpstreamConnection

SERVICE_S = (0.01, 0.03)  # range of the time that a request runs
TURN_AWAY_SHARE, COPY_SHARE = 0.2, 0.3
PAUSE_S = (0.0, 0.03)  # range of the pause of a client between two requests
BURST_S, BURST_PAUSE_S = 0.8, 0.8
HIGH_ALLOWANCE_PER_S = 10_000.0


class Lateness(enum.Enum):
    """When the second copy of an answer is sent, whatever else waits on the connection."""

    NONE = "none"  # there is no second copy
    BEHIND = "right behind the answer"
    SOON = "1 to 40 ms after the answer"
    LATE = "40 to 400 ms after the answer"
    NEXT_REQUEST = "as the next request arrives"

    def draw_s(self, rng: random.Random) -> float:
        return rng.uniform(0.04, 0.4) if self is Lateness.LATE else rng.uniform(0.001, 0.04)


class SurplusUpstream(Upstream):
    """Serves requests, turns some away at once, and sends a second answer with a share of its answers: a copy, or with
    `foreign` one that belongs to no request. While it has a `fault`, it misbehaves as that says instead."""

    def __init__(self, ledger: Ledger, seed: int, cell: int, lateness: Lateness, foreign: bool) -> None:
        super().__init__(ledger)
        self.rng, self.cell, self.lateness = random.Random(f"{seed} {cell}"), cell, lateness
        self.foreign = foreign
        self.copies_due = self.copies_sent = 0  # sent: on a connection that was still open
        self.held: dict[UpstreamConnection, tuple[bytes, bytes, bytes]] = {}  # copies that wait for the next request

    def serve(self, connection: UpstreamConnection, txn: str) -> None:
        if self.fault:
            super().serve(connection, txn)
            return
        held = self.held.pop(connection, None)
        if held is not None:
            self.send_copy(connection, *held)
        call = self.ledger.calls.get(txn)
        if call is not None and self.rng.random() < TURN_AWAY_SHARE:
            call.arrivals[-1].may_have_run = False
            self.send(connection, b"503 Busy\r\nX-Turned-Away: 1", b"")
            return
        delay_s = self.rng.uniform(*SERVICE_S)
        asyncio.get_running_loop().call_later(delay_s, self.send, connection, b"200 OK", b"answer " + txn.encode())

    def send(self, connection: UpstreamConnection, status: bytes, body: bytes) -> None:
        copied = self.lateness is not Lateness.NONE and self.rng.random() < COPY_SHARE
        self.copies_due += copied
        if copied and self.lateness is Lateness.BEHIND:
            self.copies_sent += 1
            connection.answer(status, body, b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))
            return
        connection.answer(status, body)
        if self.foreign and status.startswith(b"200"):
            body = b"answer of nobody %d" % self.copies_due
        if copied and self.lateness is Lateness.NEXT_REQUEST:
            self.held[connection] = (status, body, b"")
        elif copied:
            late_s = self.lateness.draw_s(self.rng)
            asyncio.get_running_loop().call_later(late_s, self.send_copy, connection, status, body)

    def send_copy(self, connection: UpstreamConnection, status: bytes, body: bytes, extra: bytes = b"") -> None:
        self.copies_sent += not connection.transport.is_closing()
        connection.answer(status, body, extra)


async def send_closed_loop(clients: Clients, seconds: float, workers: int, seed: int) -> None:
    """Several clients, each of which sends its next request soon after its last answer."""
    end_s = time.monotonic() + seconds

    async def work(rng: random.Random) -> None:
        while time.monotonic() < end_s:
            await clients.call(rng.choice(LANES))
            await asyncio.sleep(rng.uniform(*PAUSE_S))

    async with asyncio.TaskGroup() as group:
        for number in range(workers):
            group.create_task(work(random.Random(f"{seed} worker {number}")))


async def send_in_bursts(clients: Clients, rounds: int, workers: int, seed: int) -> None:
    """Load with pauses in which connections to upstreams stay idle for long."""
    for number in range(rounds):
        await send_closed_loop(clients, BURST_S, workers, seed + number)
        await asyncio.sleep(BURST_PAUSE_S)


def surplus_site(site: Site, lateness: Lateness, seed: int, foreign: bool = False) -> Site:
    """Gives the site upstreams of this kind, each in a cell of its own, and tenants that are never over their quota."""
    cells = iter(range(1, 1000))
    site.new_upstream = lambda ledger: SurplusUpstream(ledger, seed, next(cells), lateness, foreign)
    site.settings["accounts"] = [{"name": "north", "allowance-per-s": HIGH_ALLOWANCE_PER_S, "share": 1.0}]
    return site


def set_lateness(site: Site, lateness: Lateness) -> None:
    """Changes what the running upstreams do from now on."""
    for upstream in site.upstreams:
        if isinstance(upstream, SurplusUpstream):
            upstream.lateness = lateness


def copies_due(site: Site) -> int:
    """Second answers that were due, also those whose connection had been closed by then."""
    return sum(one.copies_due for one in site.upstreams if isinstance(one, SurplusUpstream))


def copies_sent(site: Site) -> int:
    """Second answers that were sent on a connection that was still open."""
    return sum(one.copies_sent for one in site.upstreams if isinstance(one, SurplusUpstream))
