"""Loads a sidecar's learned state from its file at the start, and saves it every few seconds and at the end.

The event loop only collects and encodes, in steps under a millisecond. All access to the file system happens in a
thread, because a disk may block for seconds; serving never waits for it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Generator
from typing import TypeVar

from ironscale import interface as api
from ironscale.introspection import learned_state
from ironscale.learned.codec import (
    MAX_BYTES,
    MAX_CLASSES,
    MAX_TENANTS,
    MAX_TIME_US,
    MAX_UPSTREAMS,
    UPSTREAMS_PER_STEP,
    CodecError,
    Snapshot,
    UpstreamSnapshot,
    encode_steps,
    is_valid_name,
    to_learned_state,
    upstream_snapshot,
)
from ironscale.learned.store import SnapshotFile, choose_snapshot
from ironscale.learned.timestamps import current_timestamp, machine_boot_id
from ironscale.net.listing import upstream_id
from ironscale.net.sidecar import Sidecar
from ironscale.threads import run_in_thread

T = TypeVar("T")
MAX_SLICE_S = 0.0005
FINAL_WRITE_TIMEOUT_S = 1.0  # limit for the last write, which delays the end of the process
READ_TIMEOUT_S = 5.0  # after this the sidecar's own measurements are newer than the file
LOG_REPEAT_INTERVAL_S = 60.0


async def run_in_slices(steps: Generator[None, None, T], on_slice: Callable[[float], None] = lambda s: None) -> T:
    """Runs `steps` for MAX_SLICE_S at a time and lets the event loop run between; `spent` gets the seconds of each."""
    while True:
        start_s = time.perf_counter()
        try:
            while time.perf_counter() - start_s < MAX_SLICE_S:
                next(steps)
        except StopIteration as stop:
            value: T = stop.value
            return value
        finally:
            on_slice(time.perf_counter() - start_s)
        await asyncio.sleep(0)


class SnapshotCollector:
    """Takes snapshots of what a running sidecar has learned."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.sidecar = sidecar
        self.boot = machine_boot_id()
        self.started_us = sidecar.clock.now_us()
        self.zones = {index: name for name, index in sidecar.config.directory.zones.configured.items()}
        self.longest_slice_s = 0.0  # longest slice on the event loop since the start

    def record_slice_time(self, took_s: float) -> None:
        self.longest_slice_s = max(self.longest_slice_s, took_s)

    def collect_steps(self) -> Generator[None, None, Snapshot]:
        """Collects the snapshot in steps, one at each `next`, and returns it."""
        balancer, sidecar = self.sidecar.balancer, self.sidecar
        now_us, taken = sidecar.clock.now_us(), current_timestamp(self.boot)
        idents = list(balancer.upstreams)
        upstreams: list[UpstreamSnapshot] = []
        for start in range(0, len(idents), UPSTREAMS_PER_STEP):
            for lesson in learned_state(balancer, idents[start:start + UPSTREAMS_PER_STEP]).upstreams:
                pool = sidecar.upstreams.pools.get(lesson.id)  # holds the name from which the number was computed
                # one entry of discovery that the decoder rejects would make the whole snapshot unreadable
                if pool is not None and is_valid_name(pool.member.name) and 0 <= lesson.started_us <= MAX_TIME_US:
                    upstreams.append(upstream_snapshot(lesson, pool.member.name, now_us))
            yield
        if len(upstreams) > MAX_UPSTREAMS:
            upstreams = sorted(upstreams, key=lambda one: one.age_us)[:MAX_UPSTREAMS]
        own_state = learned_state(balancer, [])
        return Snapshot(
            sidecar.config.name, taken, now_us - self.started_us, resting=balancer.window.slots < 1.0,
            discovery_failed=sidecar.discovery_failed, zone=self.zones.get(own_state.zone, ""),
            slots=own_state.slots, age_us=max(0, now_us - own_state.confirmed_us) if own_state.confirmed_us else 0,
            classes=tuple((c.name, max(0, now_us - c.confirmed_us), max(1.0, c.mean_us), max(1.0, c.base_us))
                          for c in own_state.classes[:MAX_CLASSES] if is_valid_name(c.name)),
            tenants=tuple(t for t in own_state.tenants[:MAX_TENANTS] if is_valid_name(t[0])),
            idle_failure_shares=tuple(sidecar.upstreams.idle_failures.shares), upstreams=tuple(upstreams))

    async def collect(self) -> bytes:
        snapshot = await run_in_slices(self.collect_steps(), self.record_slice_time)
        return await run_in_slices(encode_steps(snapshot), self.record_slice_time)

    def to_learned_state(self, snapshot: Snapshot, age_us: int) -> api.LearnedState:
        """Converts a snapshot of the given age for this sidecar's balancer."""
        now_us = self.sidecar.clock.now_us()
        zone = self.sidecar.config.directory.zones.configured.get(snapshot.zone, -1)
        return to_learned_state(snapshot, now_us - age_us, now_us, zone, upstream_id)


class SnapshotPersistence:
    """Loads the file of one sidecar at the start and saves it regularly."""

    def __init__(self, sidecar: Sidecar, store: SnapshotFile, every_s: float, collector: SnapshotCollector) -> None:
        self.sidecar = sidecar
        self.file = store
        self.every_s = every_s
        self.collector = collector
        self.write_in_progress: asyncio.Future[None] | None = None
        self.written_state_us = 0  # the balancer's `last_observed_us` in the last saved snapshot
        self.write_count = 0  # that succeeded
        self.skipped_writes = 0  # writes left out because the one before had not ended
        self.read_done = asyncio.Event()  # set once the file was loaded or given up at the start
        self.logged_at_s: dict[str, float] = {}

    def log(self, text: str) -> None:
        """Logs the same line at most once in LOG_REPEAT_INTERVAL_S, so that a full disk does not also fill the log."""
        at_s = time.monotonic()
        if self.logged_at_s.get(text, -LOG_REPEAT_INTERVAL_S) + LOG_REPEAT_INTERVAL_S <= at_s:
            if len(self.logged_at_s) > 100:
                self.logged_at_s.clear()
            self.logged_at_s[text] = at_s
            self.sidecar.log(f"learned: {text}")

    async def recall(self) -> None:
        """Loads the file into the balancer if it can be read in time and is valid."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                found = await run_in_thread(self.file.read)
            moment = current_timestamp(self.collector.boot)
            snapshot, age_us, lines = await run_in_slices(
                choose_snapshot(found, self.sidecar.config.name, moment), self.collector.record_slice_time)
            for text in lines:
                self.log(text)
            if snapshot is not None:
                self.sidecar.upstreams.idle_failures.restore(snapshot.idle_failure_shares, age_us)
                self.sidecar.balancer.recall(self.sidecar.clock.now_us(),
                                             self.collector.to_learned_state(snapshot, age_us))
                self.log(f"recalled {len(snapshot.upstreams)} upstreams, written {age_us / 1e6:.1f} s ago")
        except TimeoutError:
            self.log(f"{self.file.path}: expected it within {READ_TIMEOUT_S:g} s, got nothing; "
                     "starting without learned state")
        except Exception as error:  # no content of the folder may end the sidecar
            self.log(f"{self.file.path}: {type(error).__name__}: {error}; starting without learned state")
        finally:
            self.read_done.set()

    def save(self, data: bytes) -> None:
        """Saves the encoded snapshot; blocks, so it is called in the thread. Raises OSError."""
        if not self.file.acquire():
            raise BlockingIOError("another process holds the lock; this one does not write")
        self.file.save(data)

    async def write(self) -> None:
        """Starts to write the current state, unless the last write is still running or nothing has changed."""
        if self.write_in_progress is not None and not self.write_in_progress.done():
            self.skipped_writes += 1
            self.log(f"{self.file.path}: still being written after {self.every_s:g} s; this write is skipped")
            return
        state_us = self.sidecar.balancer.last_observed_us
        if state_us == self.written_state_us:
            return
        data = await self.collector.collect()
        if len(data) > MAX_BYTES:
            raise CodecError(f"expected {MAX_BYTES} bytes at most, got {len(data)}")
        self.write_in_progress = run_in_thread(lambda: self.save(data))
        self.write_in_progress.add_done_callback(lambda done: self.on_written(done, state_us))

    def on_written(self, done: asyncio.Future[None], state_us: int) -> None:
        if done.cancelled():
            return
        error = done.exception()
        if error is None:
            self.written_state_us = state_us
            self.write_count += 1
        else:
            reason = getattr(error, "strerror", None) or error
            self.log(f"{self.file.path}: can't write: {reason}")

    async def run(self) -> None:
        await self.recall()
        while True:
            await asyncio.sleep(self.every_s)
            try:
                await self.write()
            except Exception as error:
                self.log(f"{self.file.path}: can't collect: {type(error).__name__}: {error}")

    async def write_final(self) -> None:
        """Writes the last snapshot before the process ends; gives up after FINAL_WRITE_TIMEOUT_S."""
        try:
            async with asyncio.timeout(FINAL_WRITE_TIMEOUT_S):
                if self.write_in_progress is not None and not self.write_in_progress.done():
                    await asyncio.wait([self.write_in_progress])
                await self.write()
                if self.write_in_progress is not None:
                    await asyncio.wait([self.write_in_progress])
        except TimeoutError:
            self.log(f"{self.file.path}: the last snapshot was not written within {FINAL_WRITE_TIMEOUT_S:g} s")
        except Exception as error:
            self.log(f"{self.file.path}: can't collect: {type(error).__name__}: {error}")
