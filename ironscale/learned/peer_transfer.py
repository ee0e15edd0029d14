"""Sends snapshots of learned state from running instances (donors) to starting ones, over loopback connections.

    client     b"ironscale learned 1\n"
    donor      8 bytes: microseconds since the snapshot was taken; 4 bytes: its length (both big-endian); the snapshot

A donor accepts at most MAX_ACCEPTS_PER_S connections a second; further ones wait in the kernel's backlog. It takes a
new snapshot at most every SNAPSHOT_INTERVAL_S, however many clients ask. A starting instance serves requests
meanwhile, and stops waiting for donors after DONORS_TIMEOUT_S.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Sequence

from ironscale import confidence
from ironscale.learned.codec import MAX_BYTES, CodecError, decode_steps
from ironscale.learned.persistence import SnapshotCollector, run_in_slices
from ironscale.net.listing import upstream_id
from ironscale.net.sidecar import Sidecar

Address = tuple[str, int]
REQUEST_LINE = b"ironscale learned 1\n"
PREFIX_BYTES = 12
MAX_ACCEPTS_PER_S, MAX_OPEN, BACKLOG = 200, 16, 1024
SNAPSHOT_INTERVAL_S = 1.0
LISTEN_RETRY_S = 5.0
CONNECTION_TIMEOUT_S = 2.0  # limit for a client to send its request and read the answer
DONORS_TIMEOUT_S, AFTER_FIRST_TIMEOUT_S = 3.0, 0.5  # for all answers; for the others after the first one
MAX_DONORS = 5
MAX_SNAPSHOT_AGE_US = 60_000_000  # an older snapshot from a donor does not describe the present state


def median_idle_failures(donors: Sequence[confidence.Donor]) -> list[float]:
    """The weighted median of the donors' failure shares of reused idle connections, for each idle time."""
    weighted = [(donor.ages, donor.weight()) for donor in donors if donor.weight() > 0.0]
    count = min((len(ages) for ages, _ in weighted), default=0)
    return [confidence.median([(ages[i], weight) for ages, weight in weighted]) for i in range(count)]


class DonorServer:
    """Serves snapshots of what this sidecar has learned to starting instances."""

    def __init__(self, collector: SnapshotCollector, address: Address) -> None:
        self.collector = collector
        self.address = address
        self.listener: socket.socket | None = None
        self.snapshot_bytes = b""
        self.taken_s = -SNAPSHOT_INTERVAL_S
        self.collect_lock: asyncio.Lock = asyncio.Lock()
        self.free_slots = asyncio.Semaphore(MAX_OPEN)
        self.answered_count = 0
        self.collected_count = 0

    def listen(self) -> None:
        """Opens the listening socket. Raises OSError."""
        self.listener = socket.create_server(self.address, backlog=BACKLOG)
        self.listener.setblocking(False)

    def port(self) -> int:
        """The port of the listening socket; 0 while it is not open."""
        return int(self.listener.getsockname()[1]) if self.listener is not None else 0

    async def run(self) -> None:
        """Serves until cancelled, then closes the listening socket."""
        loop = asyncio.get_running_loop()
        while self.listener is None:
            try:
                self.listen()
            except OSError as error:
                # the process that this one replaces may still use the address
                host, port = self.address
                self.collector.sidecar.log(f"learned: can't listen at {host}:{port}: {error.strerror}; retrying")
                await asyncio.sleep(LISTEN_RETRY_S)
        assert self.listener is not None
        try:
            async with asyncio.TaskGroup() as group:
                while True:
                    await self.free_slots.acquire()
                    try:
                        sock, _ = await loop.sock_accept(self.listener)
                    except OSError:  # out of descriptors; the data path needs the ones that become free
                        self.free_slots.release()
                        await asyncio.sleep(0.1)
                        continue
                    group.create_task(self.handle_connection(sock))
                    await asyncio.sleep(1 / MAX_ACCEPTS_PER_S)
        finally:
            self.listener.close()

    async def recent_snapshot(self) -> tuple[int, bytes]:
        """The age in microseconds and the encoded snapshot, taken anew if it is older than SNAPSHOT_INTERVAL_S."""
        loop = asyncio.get_running_loop()
        async with self.collect_lock:
            if loop.time() - self.taken_s >= SNAPSHOT_INTERVAL_S:
                taken_s = loop.time()
                self.snapshot_bytes = await self.collector.collect()
                self.taken_s = taken_s
                self.collected_count += 1
        return int((loop.time() - self.taken_s) * 1e6), self.snapshot_bytes

    async def handle_connection(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            sock.setblocking(False)
            async with asyncio.timeout(CONNECTION_TIMEOUT_S):
                request = b""
                while len(request) < len(REQUEST_LINE) and REQUEST_LINE.startswith(request):
                    more = await loop.sock_recv(sock, len(REQUEST_LINE) - len(request))
                    if not more:
                        return
                    request += more
                if request != REQUEST_LINE:
                    return
                age_us, data = await self.recent_snapshot()
                await loop.sock_sendall(sock, age_us.to_bytes(8) + len(data).to_bytes(4) + data)
                self.answered_count += 1
        except (OSError, TimeoutError):
            pass  # the client has disconnected or is too slow
        except Exception as error:  # an error with one client must not end the server
            self.collector.sidecar.log(f"learned: can't send a snapshot: {type(error).__name__}: {error}")
        finally:
            sock.close()
            self.free_slots.release()


async def fetch_snapshot(address: Address) -> tuple[int, bytes]:
    """The age of a donor's snapshot in microseconds, including the duration of this call, and the encoded snapshot.
    Raises OSError, TimeoutError, EOFError or CodecError."""
    loop = asyncio.get_running_loop()
    asked_s = loop.time()
    reader, writer = await asyncio.open_connection(*address, limit=1 << 16)
    try:
        writer.write(REQUEST_LINE)
        prefix = await reader.readexactly(PREFIX_BYTES)
        age_us, size = int.from_bytes(prefix[:8]), int.from_bytes(prefix[8:])
        if size > MAX_BYTES or age_us > MAX_SNAPSHOT_AGE_US:
            raise CodecError(f"expected {MAX_BYTES} bytes at most, of the last {MAX_SNAPSHOT_AGE_US // 1_000_000} s, "
                             f"got {size} bytes, {age_us / 1e6:g} s old")
        return age_us + int((loop.time() - asked_s) * 1e6), await reader.readexactly(size)
    finally:
        writer.close()


class DonorClient:
    """Asks several donors at once, and restores the combination of their snapshots in a starting sidecar."""

    def __init__(self, sidecar: Sidecar, collector: SnapshotCollector, rng: random.Random) -> None:
        self.sidecar = sidecar
        self.collector = collector
        self.random = rng
        self.has_learned = False
        self.upstream_count = 0  # how many the combined state covers

    async def fetch_from(self, address: Address) -> confidence.Donor:
        async with asyncio.timeout(DONORS_TIMEOUT_S):
            age_us, data = await fetch_snapshot(address)
        received_us = self.sidecar.clock.now_us()
        snapshot = await run_in_slices(decode_steps(data), self.collector.record_slice_time)
        age_us += self.sidecar.clock.now_us() - received_us
        known = self.sidecar.balancer.upstreams
        if known and not any(upstream_id(one.name) in known for one in snapshot.upstreams):
            raise CodecError(f"expected upstreams of this sidecar, got {len(snapshot.upstreams)} others")
        return confidence.Donor(self.collector.to_learned_state(snapshot, age_us), snapshot.uptime_us, snapshot.resting,
                                snapshot.discovery_failed, snapshot.idle_failure_shares)

    async def learn(self, addresses: Sequence[Address]) -> bool:
        """Returns whether learned state was received. Donors that fail, send invalid data or are late are left out."""
        chosen = self.random.sample(list(addresses), min(MAX_DONORS, len(addresses)))
        tasks = {asyncio.create_task(self.fetch_from(address)): address for address in chosen}
        donors: list[confidence.Donor] = []
        try:
            waiting, limit_s = set(tasks), DONORS_TIMEOUT_S
            while waiting:
                done, waiting = await asyncio.wait(waiting, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED)
                if not done:
                    break
                for task in done:
                    host, port = tasks[task]
                    try:
                        donors.append(task.result())
                    except (OSError, TimeoutError, EOFError, CodecError, ValueError) as error:
                        reason = getattr(error, "strerror", None) or str(error) or "no answer in time"
                        self.sidecar.log(f"learned: {host}:{port}: {reason}; this donor is not used")
                limit_s = AFTER_FIRST_TIMEOUT_S if donors else limit_s
            for task in waiting:
                host, port = tasks[task]
                self.sidecar.log(f"learned: {host}:{port}: no answer in time; this donor is not used")
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        now_us = self.sidecar.clock.now_us()
        lessons = confidence.combined_lessons(donors, now_us, self.sidecar.config.settings.zone)
        if lessons is None:
            return False
        self.sidecar.upstreams.idle_failures.restore(median_idle_failures(donors), 0)
        self.sidecar.balancer.recall(now_us, lessons)
        self.has_learned, self.upstream_count = True, len(lessons.upstreams)
        self.sidecar.log(f"learned: got {len(lessons.upstreams)} upstreams from {len(donors)} of {len(chosen)} donors")
        return True
