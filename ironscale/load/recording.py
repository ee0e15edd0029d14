"""Records the arrivals of a running sidecar as a trace to replay: when, which class and tenant, how large; no ids,
paths or bodies. Bounded in memory and on disk; whatever the disk does, requests go on.

The file that is written and the one before hold half of what is allowed each; each is a whole trace by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
from collections.abc import AsyncIterator, Callable
from hashlib import blake2b
from pathlib import Path

from ironscale import logs
from ironscale.interface import RequestArrived
from ironscale.load.traces import header
from ironscale.net.process import Extension
from ironscale.net.sidecar import Sidecar
from ironscale.operator_file import RecordingConfig
from ironscale.tasks import run_in_background
from ironscale.threads import run_in_thread

FLUSH_S = 1.0
MOST_HELD = 100_000  # arrivals that wait for the disk; what comes beyond is counted and left out
SAY_S = 60.0


class File:
    """The trace on disk. Called from one thread at a time, never the event loop's."""

    def __init__(self, path: Path, most_bytes: int, head: str) -> None:
        self.path, self.half, self.head = path, most_bytes // 2, head.encode() + b"\n"
        self.fd = -1
        self.size = 0

    def former(self) -> Path:
        return self.path.with_name(f"{self.path.name}.1")

    def open(self) -> None:
        with contextlib.suppress(FileNotFoundError):
            os.replace(self.path, self.former())
        self.fd = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        self.size = 0
        self.put(self.head)

    def write(self, data: bytes) -> None:
        """Whole lines, or, with an OSError, none of them."""
        if self.fd >= 0 and self.size + len(data) > self.half:
            self.close()
        if self.fd < 0:
            self.open()
        self.put(data)

    def put(self, data: bytes) -> None:
        done = 0
        try:
            while done < len(data):
                done += os.write(self.fd, data[done:])
        except OSError:
            # hazard: half a line on a full disk would spoil the whole trace
            with contextlib.suppress(OSError):
                os.ftruncate(self.fd, self.size)
            if not self.size:
                self.close()  # not even its header stands: begun anew next time
            raise
        self.size += len(data)

    def close(self) -> None:
        if self.fd >= 0:
            fd, self.fd = self.fd, -1
            os.close(fd)


class Recorder:
    def __init__(self, sidecar: Sidecar, record: RecordingConfig) -> None:
        self.sidecar = sidecar
        self.file = File(record.file, int(record.most_mb * 1e6), header(source="sidecar"))
        self.start_us = sidecar.clock.now_us()
        self.held: list[str] = []
        self.left_out = 0
        self.writing: asyncio.Future[None] | None = None
        self.salt = secrets.token_bytes(16)  # kept nowhere: what a request was about can't be found again
        self.names: dict[tuple[int, int], str] = {}
        self.settings: object = None
        self.said_us = -int(SAY_S * 1e6)

    def saw(self, event: RequestArrived, size: int) -> None:
        """On the data path: some microseconds, and never an error."""
        if len(self.held) >= MOST_HELD:
            self.left_out += 1
            return
        key = 0
        if event.key:
            digest = blake2b(event.key.to_bytes(8, "little"), digest_size=4, key=self.salt).digest()
            key = int.from_bytes(digest, "little")
        at_us = self.sidecar.clock.now_us() - self.start_us
        self.held.append(f"[{at_us},{self.named(event)},{key},{size}]\n")

    def named(self, event: RequestArrived) -> str:
        settings = self.sidecar.config.settings
        if settings is not self.settings:  # reconfigured: indexes may have moved
            self.settings = settings
            self.names.clear()
        at = event.class_index, event.tenant
        found = self.names.get(at)
        if found is None:
            tenant = settings.tenants[event.tenant].name if event.tenant < len(settings.tenants) else ""
            kind = settings.classes[event.class_index].name
            found = self.names[at] = json.dumps([kind, tenant], separators=(",", ":"))[1:-1]
        return found

    async def run(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            await self.flush()

    async def flush(self) -> None:
        """Off the loop. Hazard: a disk that hangs must hold up nothing; meanwhile arrivals wait, then are left out."""
        if self.writing is not None:
            await asyncio.wait([self.writing])  # one writer at a time, also after a cancelled wait
        held, self.held = self.held, []
        if held:
            data = "".join(held).encode()
            self.writing = run_in_thread(lambda: self.file.write(data))
            self.writing.add_done_callback(lambda done: self.on_written(done, len(held)))
            await asyncio.wait([self.writing])
        if self.left_out:
            self.say(f"{self.left_out} arrivals were left out so far")

    def on_written(self, done: asyncio.Future[None], count: int) -> None:
        error = done.exception()
        if error is not None:
            self.left_out += count
            self.say(f"can't write {self.file.path}: {getattr(error, 'strerror', None) or error}")

    def say(self, text: str) -> None:
        now_us = self.sidecar.clock.now_us()
        if now_us - self.said_us >= SAY_S * 1e6:
            self.said_us = now_us
            logs.write_line(f"{self.sidecar.config.name}: record: {text}")


def beside(record: RecordingConfig) -> Extension:
    @contextlib.asynccontextmanager
    async def running(sidecar: Sidecar, end: Callable[[], None]) -> AsyncIterator[None]:
        recorder = Recorder(sidecar, record)
        sidecar.arrival_observer = recorder.saw
        try:
            async with run_in_background(recorder.run()):
                yield
        finally:
            sidecar.arrival_observer = None
            with contextlib.suppress(TimeoutError):  # a disk that hangs must not keep the process
                async with asyncio.timeout(2.0):
                    await recorder.flush()

    return running
