"""Runs a scenario: stand-ins and sidecars where it names them, workers, and what they tell, into one result."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import platform
import resource
import secrets
import socket
import struct
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from dataclasses import asdict, dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from ironscale.control.processes import process_cpu_s
from ironscale.load import parent_death
from ironscale.load.outcome import RECORD, Sample
from ironscale.load.result import Result, Truth, summarize, truth_of
from ironscale.load.scenario import Scenario, ScenarioError
from ironscale.load.schedule import Schedule
from ironscale.load.worker import FRAME
from ironscale.net.config_layers import apply_merge_patch
from ironscale.standins.settings import SETTINGS

Address = tuple[str, int]
SPARE_FILES = 64  # standard streams, event loop and modules of a worker
LEAD_S = 0.3  # from the last word that all are ready to the first arrival
READY_S = 30.0
END_S = 30.0  # after the last deadline
LINE = 1 << 28  # bytes of the longest line that a site tells: its truth
Progress = Callable[["Live"], None]


class RunError(Exception):
    """A run that could not be done; one line. Nothing that it found is a result."""


@dataclass(slots=True)
class Live:
    """A run as it goes on, for those who watch."""

    duration_us: int
    due: int  # in the whole run
    start_ns: int = 0
    ends: Counter[int] = field(default_factory=Counter)
    recent: list[int] = field(default_factory=list)  # latencies from the moment due since the last look
    latest_lag_us: int = 0
    longest_lag_us: int = 0
    marks: list[dict[str, Any]] = field(default_factory=list)

    def at_us(self) -> int:
        return max(0, (time.monotonic_ns() - self.start_ns) // 1000) if self.start_ns else 0


def check_limits(scenario: Scenario) -> int:
    """Connections for each worker. Raises ScenarioError if this machine cannot hold what is asked, before anything is
    started; the soft limit of open files is raised as far as the hard one allows."""
    each = -(-scenario.clients.connections // scenario.workers)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = each + SPARE_FILES
    if hard != resource.RLIM_INFINITY and wanted > hard:
        raise ScenarioError(
            f"{scenario.file}: clients.connections: expected {scenario.workers * max(0, hard - SPARE_FILES):,} at "
            "most, as "
            f"a process here may open {hard:,} files and there are {scenario.workers} workers, got "
            f"{scenario.clients.connections:,}; raise `ulimit -n` or `workers`"
        )
    if soft != resource.RLIM_INFINITY and wanted > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    ports = _local_ports() * max(1, len(scenario.target.addresses))
    if scenario.clients.connections > ports:
        raise ScenarioError(
            f"{scenario.file}: clients.connections: expected {ports:,} at most, the local ports of this machine "
            f"to so many addresses, got {scenario.clients.connections:,}"
        )
    return each


def _local_ports() -> int:
    try:
        low, high = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text(encoding="ascii").split()
        return int(high) - int(low) + 1
    except (OSError, ValueError):
        return 28_232


def machine() -> dict[str, Any]:
    return {
        "cores": len(os.sched_getaffinity(0)),
        "python": platform.python_version(),
        "system": platform.system(),
        "release": platform.release(),
        "processor": platform.machine(),
    }


class Worker:
    """A worker process and what it has told."""

    def __init__(self, run: Run, number: int, process: asyncio.subprocess.Process) -> None:
        self.run, self.number, self.process = run, number, process
        self.batches: list[bytes] = []
        self.watches: list[dict[str, Any]] = []
        self.ready = asyncio.Event()
        self.ended = False  # it has told all
        self.gone = False  # its process has ended, and all that it had told is read

    async def listen(self) -> None:
        reader = self.process.stdout
        assert reader is not None
        try:
            while True:
                letter, size = FRAME.unpack(await reader.readexactly(FRAME.size))
                data = await reader.readexactly(size)
                if letter == b"S":
                    self.batches.append(data)
                    self.run.saw(data)
                elif letter == b"W":
                    self.watches.append(json.loads(data))
                elif letter == b"R":
                    self.ready.set()
                elif letter == b"E":
                    self.ended = True
        except asyncio.IncompleteReadError:
            await self.process.wait()
            self.gone = True
            self.ready.set()  # whoever waits for it looks whether it has ended


class Run:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, progress: Progress | None = None, every_s: float = 0.25) -> None:
        self.scenario = scenario
        self.progress = progress
        self.every_s = every_s
        self.workers: list[Worker] = []
        self.live = Live(scenario.duration_us, 0)
        self.marks: list[dict[str, Any]] = []
        self.ident = secrets.token_hex(4)
        self.sidecars: list[asyncio.subprocess.Process] = []
        self.sidecar_cpu_s: list[float] = []

    def saw(self, data: bytes) -> None:
        live = self.live
        for record in RECORD.iter_unpack(data):
            sample = Sample._make(record)
            live.ends[sample.end] += 1
            if sample.acted_us >= 0:
                live.recent.append(sample.done_us - sample.sched_us)
                live.latest_lag_us = max(live.latest_lag_us, sample.acted_us - sample.sched_us)

    async def __call__(self, title: str = "") -> Result:
        """Raises ScenarioError before anything is sent, RunError if a process of the run fails."""
        each = check_limits(self.scenario)
        schedule = self.scenario.schedule()
        self.live.due = len(schedule)
        started = datetime.now(UTC).isoformat(timespec="seconds")
        async with contextlib.AsyncExitStack() as stack:
            addresses: Sequence[Address] = self.scenario.target.addresses
            site: Site | None = None
            if self.scenario.upstreams:
                site = await stack.enter_async_context(started_site(self.scenario, self.on_mark))
                addresses = [("127.0.0.1", port) for port in site.ports]
                if self.scenario.sidecars.count:
                    rate = len(schedule) / (self.scenario.duration_us / 1e6)
                    found = await stack.enter_async_context(started_sidecars(self.scenario, site.discovery, rate))
                    self.sidecars = [process for process, _ in found]
                    addresses = [address for _, address in found]
            await self.start_workers(stack, schedule, addresses, each)
            await self.play(site)
            for process in self.sidecars:
                if process.returncode is not None:
                    raise RunError(f"a sidecar ended during the run, with status {process.returncode}")
            self.sidecar_cpu_s = [process_cpu_s(process.pid) for process in self.sidecars]
            truth = await site.end() if site is not None else None
        return summarize(
            self.scenario,
            schedule,
            [batch for w in self.workers for batch in w.batches],
            [watch for w in self.workers for watch in w.watches],
            truth,
            self.marks,
            {**machine(), "workers": self.scenario.workers, "sidecar_cpu_s": self.sidecar_cpu_s},
            started,
            title,
        )

    async def start_workers(
        self, stack: contextlib.AsyncExitStack, schedule: Schedule, addresses: Sequence[Address], each: int
    ) -> None:
        s = self.scenario
        for number in range(s.workers):
            part = schedule.dealt(number, s.workers)
            spec = {
                "run": self.ident,
                "addresses": addresses,
                "protocol": s.target.protocol,
                "path": s.target.path,
                "body_names_request": s.target.body_names_request,
                "kinds": [
                    {"name": k.name, "effect": k.effect, "deadline_us": k.deadline_us, "tells_work": k.tells_work}
                    for k in s.kinds
                ],
                "tenants": [t.name for t in s.tenants],
                "connections": each,
                "retries": s.clients.retries,
                "slow_reader_us": s.clients.slow_reader_us,
                "duration_us": s.duration_us,
                "worker": number,
                "workers": s.workers,
            }
            head = json.dumps({"spec": spec, "count": len(part)}).encode()
            process = await stack.enter_async_context(
                child("ironscale.load.worker", stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
            )
            worker = Worker(self, number, process)
            self.workers.append(worker)
            assert process.stdin is not None
            process.stdin.write(struct.pack("<I", len(head)) + head + part.to_bytes())
            listener = asyncio.create_task(worker.listen())
            stack.push_async_callback(_ended, listener)
        async with _limit(READY_S, "the workers to be ready"):
            for worker in self.workers:
                await worker.ready.wait()
                self.check(worker)

    async def play(self, site: Site | None) -> None:
        self.live.start_ns = time.monotonic_ns() + int(LEAD_S * 1e9)
        for worker in self.workers:
            assert worker.process.stdin is not None
            worker.process.stdin.write(struct.pack("<q", self.live.start_ns))
        if site is not None:
            site.begin(self.live.start_ns)
        s = self.scenario
        end_s = time.monotonic() + (s.duration_us + max(k.deadline_us for k in s.kinds)) / 1e6 + END_S
        while not all(worker.ended for worker in self.workers):
            await asyncio.sleep(self.every_s)
            for worker in self.workers:
                self.check(worker)
            if time.monotonic() > end_s:
                raise RunError("a worker has not ended in its time; nothing is known of its requests")
            self.show()
        self.show()

    def check(self, worker: Worker) -> None:
        # hazard: the process may have ended while its last words lie unread in the pipe
        if worker.gone and not worker.ended:
            raise RunError(
                f"worker {worker.number} ended before its time, with status {worker.process.returncode}; what it had "
                "sent is not known, so there is no result"
            )

    def show(self) -> None:
        if self.progress is not None:
            self.live.longest_lag_us = max(self.live.longest_lag_us, self.live.latest_lag_us)
            self.progress(self.live)
        self.live.recent.clear()
        self.live.latest_lag_us = 0

    def on_mark(self, mark: dict[str, Any]) -> None:
        self.marks.append(mark)
        self.live.marks.append(mark)


async def _ended(task: asyncio.Task[None]) -> None:
    task.cancel()
    # hazard: to await it, and to overlook that it was cancelled, would overlook a signal that cancels the waiting one
    await asyncio.wait([task])
    if not task.cancelled():
        task.result()


@contextlib.asynccontextmanager
async def _limit(seconds: float, what: str) -> AsyncIterator[None]:
    try:
        async with asyncio.timeout(seconds):
            yield
    except TimeoutError:
        raise RunError(f"waited {seconds:g} s for {what}, in vain") from None


@contextlib.asynccontextmanager
async def child(
    module: str, environ: Mapping[str, str] | None = None, **pipes: Any
) -> AsyncIterator[asyncio.subprocess.Process]:
    """A Python process of ours, ended with the block, or with this process however it ends."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", parent_death.__file__, str(os.getpid()), module,
        env=environ, limit=LINE, start_new_session=True, **pipes,
    )  # Ctrl-C is this process's to handle
    try:
        yield process
    finally:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.terminate()
            try:
                async with asyncio.timeout(5):
                    await process.wait()
            except (TimeoutError, asyncio.CancelledError) as late:  # cancelled: a signal; nobody waits any longer
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                if isinstance(late, asyncio.CancelledError):
                    raise
                await process.wait()


class Site:
    """The process of the stand-ins."""

    def __init__(self, process: asyncio.subprocess.Process, on_mark: Callable[[dict[str, Any]], None]) -> None:
        self.process, self.on_mark = process, on_mark
        self.ports: list[int] = []
        self.discovery = 0
        self.truth: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()

    async def listen(self) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            told = json.loads(line)
            if "mark" in told:
                self.on_mark(told)
            elif "once" in told and not self.truth.done():  # done: cancelled with who waited for it, by a signal
                self.truth.set_result(told)
        if not self.truth.done():
            self.truth.set_exception(RunError("the stand-ins ended before the run did"))
            self.truth.exception()  # nobody may wait for it any more

    def say(self, data: dict[str, Any]) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(data).encode() + b"\n")

    def begin(self, start_ns: int) -> None:
        self.say({"start_ns": start_ns})

    async def end(self) -> Truth:
        self.say({"end": True})
        async with _limit(60, "the stand-ins' account"):
            return truth_of(await self.truth)


@contextlib.asynccontextmanager
async def started_site(s: Scenario, on_mark: Callable[[dict[str, Any]], None]) -> AsyncIterator[Site]:
    spec = {
        "kinds": [{"name": k.name, "work_us": k.work_us} for k in s.kinds],
        "memory_us": s.memory_us,
        "upstreams": [
            {
                "zone": u.zone,
                "kind": u.kind,
                "cell": u.cell,
                "shape": {
                    "cores": u.cores,
                    "speed": u.speed,
                    "queue": u.queue,
                    "cold_share": u.cold_share,
                    "warm_up_us": u.warm_up_us,
                    "overload_factor": u.overload_factor,
                    "fall_us": u.fall_us,
                },
            }
            for u in s.upstreams
            for _ in range(u.count)
        ],
        "faults": [asdict(fault) for fault in s.faults],
    }
    async with child(
        "ironscale.standins.site", stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE
    ) as process:
        site = Site(process, on_mark)
        site.say(spec)
        assert process.stdout is not None
        async with _limit(READY_S, "the stand-ins to listen"):
            line = await process.stdout.readline()
        if not line:
            raise RunError("the stand-ins did not start; what they said stands above")
        told = json.loads(line)
        site.ports, site.discovery = told["ports"], told["discovery"]
        listener = asyncio.create_task(site.listen())
        try:
            yield site
        finally:
            await _ended(listener)


def sidecar_settings(s: Scenario, index: int, rate: float) -> dict[str, Any]:
    """The settings of one of the scenario's sidecars: the stand-ins' own, with what the scenario says."""
    kinds = []
    for k in s.kinds:
        kind = {"name": k.name, "aim": k.aim_us, "deadline": k.deadline_us, "worth": k.worth, "effect": k.effect}
        if k.effect == "deduplicated":
            kind |= {"group": "cell", "memory-span": s.memory_us}
        kinds.append(kind)
    total = sum(t.share for t in s.tenants) or 1.0
    found: dict[str, Any] = apply_merge_patch(
        SETTINGS,
        {
            "accounts": [
                {"name": t.name, "allowance-per-s": rate * t.share / total, "share": t.share / total}
                for t in s.tenants
                if t.name
            ],
            "areas": sorted({u.zone for u in s.upstreams}),
            "kinds": sorted({u.kind for u in s.upstreams}),
            "instances": s.sidecars.count,
            "self-index": index,
            "invariants": {
                "cold-share": min(u.cold_share for u in s.upstreams),
                "fall": min(u.fall_us for u in s.upstreams),
                "overload-factor": min(u.overload_factor for u in s.upstreams),
                "warm-up": max(u.warm_up_us for u in s.upstreams),
            },
            "request-classes": kinds,
        },
    )
    return apply_merge_patch(found, s.sidecars.settings) if s.sidecars.settings else found


@contextlib.asynccontextmanager
async def started_sidecars(
    s: Scenario, discovery: int, rate: float, tree: Path | None = None
) -> AsyncIterator[list[tuple[asyncio.subprocess.Process, Address]]]:
    """The scenario's sidecars, each with its address; `tree`: of another checkout of this program than the one here."""
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="ironscale-load-")))
        found: list[tuple[asyncio.subprocess.Process, Address]] = []
        for index in range(s.sidecars.count):
            with socket.create_server(("127.0.0.1", 0)) as free:
                address: Address = free.getsockname()[:2]
            config = folder / f"app-{index}.json"
            config.write_text(
                json.dumps(
                    {
                        "name": f"app-{index}",
                        "listen": f"{address[0]}:{address[1]}",
                        "discovery": f"127.0.0.1:{discovery}",
                        "seed": f"{index + 1:x}",
                        "limits": {"sockets": s.sidecars.sockets},
                        "settings": sidecar_settings(s, index, rate),
                    }
                ),
                encoding="utf-8",
            )
            environ = {**{k: v for k, v in os.environ.items() if not k.startswith("GW_")}, "GW_CONFIG": str(config)}
            process = await stack.enter_async_context(child("ironscale", environ, cwd=tree))
            found.append((process, address))
        async with _limit(READY_S, "the sidecars to be ready"):
            for process, address in found:
                while not await is_ready(address):
                    if process.returncode is not None:
                        raise RunError(
                            f"a sidecar did not start: status {process.returncode}; what it said stands above"
                        )
                    await asyncio.sleep(0.02)
        yield found


async def is_ready(address: Address) -> bool:
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    try:
        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n")
        return b" 200 " in await reader.readline()
    except OSError:
        return False
    finally:
        writer.close()
