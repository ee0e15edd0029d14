"""A soak test: a few dozen real sidecars under random, overlapping faults, checked by the rules of `ledger.Ledger`.

Each sidecar is started, serves, reloads and shuts down at its own times, with series of signals and a SIGKILL at the
earliest moment that the service's rules allow. Meanwhile its system calls fail, its clock is stepped, upstreams
misbehave, lists change and clients leave. The seed determines the schedule, but not the timing of the kernel.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.faults.crowd import CROWDS, LEAST_MEMORY_MB, crowd, memory_of
from tests.faults.ledger import LANES
from tests.faults.shim import Fault
from tests.faults.site import SidecarProcess, Site
from tests.faults.surplus import Lateness, SurplusUpstream, surplus_site

KILL_AFTER_S = 0.7  # SIGKILL comes this long after SIGTERM, plus the longest deadline
NEW_CONNECTIONS_S = (0.2, 0.4)  # range of how long new connections keep coming after SIGTERM
READY_TIMEOUT_S = 30.0
START_SPREAD_S = 3.0  # the first starts are spread over this time
DEADLINES_S = (0.8, 2.0, 3.0)
SLOW_SHARE, MAX_SILENT_S, MAX_HALF_S = 0.15, 0.8, 1.5  # of slow clients' calls; waits before first and second half
STEPS_S = (-3600.0, -3.0, 3.0, 3600.0)
UPSTREAM_FAULTS = ("", "", "", "fail", "hang", "reset", "stray", "halt")
MAX_RATES = {
    Fault.LOG_WRITE: 1000, Fault.SOCKET: 1000, Fault.CONNECT: 1000, Fault.ACCEPT: 1000, Fault.BIND: 1000,
    Fault.SHORT_READ: 500, Fault.READ_ERROR: 200, Fault.SHORT_WRITE: 500, Fault.WRITE_ERROR: 500, Fault.INTERRUPT: 700,
    Fault.DISK_SHORT: 1000, Fault.DISK_WRITE: 1000, Fault.DISK_SYNC: 1000, Fault.FILE_OPEN: 1000, Fault.RENAME: 1000,
    Fault.THREAD: 1000, Fault.SOCKET_OPTION: 1000,
}
SURPLUS_RATES = {**MAX_RATES, Fault.PEEK_ERROR: 700}
SURPLUS_FAULTS = ("", "", "", "", "fail", "hang", "reset", "stray", "halt")
HOSTILE_CLIENTS = 30  # of each sidecar
REPEAT_EVERY_S = (0.02, 0.2)
OPERATOR_MEMORY_MB = 64.0  # the parts that an operator file switches on need more than the least
# Makes the sidecar write to disk: its learned state and the record of arrivals.
OPERATOR = '[learned]\nfolder = "learned"\nevery_s = 0.3\n[record]\nfile = "arrivals.jsonl"\n'


@dataclass(frozen=True)
class Plan:
    """The parameters of one run. `crowd`: clients send several times as much. `slow`: some send their bytes late.
    `surplus`: upstreams turn requests away and send second answers, and looks at sockets fail as well. `hostile`:
    memory is short, some clients send what costs memory and time, and some repeat the ids of others."""

    seed: int
    sidecars: int = 12
    seconds: float = 12.0
    crowd: bool = False
    slow: bool = False
    surplus: bool = False
    hostile: bool = False


@dataclass
class Verdict:
    plan: Plan
    violations: list[str] = field(default_factory=list)
    results: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    ends: Counter[str] = field(default_factory=Counter)
    lag_s: float = 0.0

    def line(self) -> str:
        results = ", ".join(f"{name[:40]} {count}" for name, count in self.results.most_common(8))
        ends = ", ".join(f"{name} {count}" for name, count in self.ends.items())
        clients = "".join(f" {name}" for name in ("crowd", "slow", "surplus", "hostile") if getattr(self.plan, name))
        return (f"seed {self.plan.seed}{clients}: {len(self.violations)} violations; "
                f"{self.results.total()} requests ({results}); {self.faults.total()} failed calls; ends: {ends}; "
                f"test process late by {self.lag_s:.3f} s" + "".join(f"\n  {text}" for text in self.violations[:5]))


def tracebacks(log: str) -> list[str]:
    """Returns the unhandled exceptions in a log."""
    return [text[:1500] for text in log.split("Traceback (most recent call last):")[1:]]


class Soak:
    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.site = Site(folder, self.rng.choice(DEADLINES_S))
        if plan.surplus:
            surplus_site(self.site, Lateness.NONE, plan.seed)
        self.verdict = Verdict(plan)
        self.is_finished = asyncio.Event()

    def new_random(self) -> random.Random:
        return random.Random(self.rng.getrandbits(64))

    async def run(self) -> Verdict:
        site = await self.site.start(8, self.plan.sidecars)
        try:
            async with asyncio.TaskGroup() as group:
                for sidecar in site.sidecars:
                    if self.rng.random() < 0.5:
                        sidecar.operator = OPERATOR
                    if self.plan.hostile:
                        sidecar.limits["memory_mb"] = OPERATOR_MEMORY_MB if sidecar.operator else LEAST_MEMORY_MB
                    sidecar.configure()
                    group.create_task(SidecarLifecycle(self, sidecar, self.new_random()).run())
                group.create_task(self.disturb_upstreams(self.new_random()))
                group.create_task(self.disturb_discovery(self.new_random()))
                await asyncio.sleep(self.plan.seconds)
                self.is_finished.set()
            self.check_invariants()
        finally:
            await site.stop()
        return self.verdict

    async def pause(self, seconds: float) -> bool:
        """Waits. Returns whether the run continues after that."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.is_finished.wait()
        return not self.is_finished.is_set()

    async def disturb_upstreams(self, rng: random.Random) -> None:
        while await self.pause(rng.uniform(0.1, 0.6)):
            upstream = rng.choice(self.site.upstreams)
            faults = SURPLUS_FAULTS if self.plan.surplus else UPSTREAM_FAULTS
            upstream.fault, upstream.delay_s = rng.choice(faults), rng.choice((0.005, 0.02, 0.2))
            if isinstance(upstream, SurplusUpstream):
                upstream.lateness = rng.choice(list(Lateness))
            if rng.random() < 0.2:
                upstream.reset_all()

    async def disturb_discovery(self, rng: random.Random) -> None:
        discovery = self.site.discovery
        while await self.pause(rng.uniform(0.2, 1.0)):
            index = rng.randrange(len(self.site.upstreams))
            lifecycle = rng.choice(("ready", "ready", "draining"))
            discovery.put(self.site.upstreams[index].entry(f"u{index}", lifecycle=lifecycle))
            if rng.random() < 0.3:
                for writer in list(discovery.watches):
                    writer.transport.abort()

    def check_invariants(self) -> None:
        site, verdict = self.site, self.verdict
        verdict.violations += site.ledger.violations()
        for sidecar in site.sidecars:
            log = sidecar.log()
            verdict.violations += [f"{sidecar.name}: {line}" for line in log.splitlines() if "violation:" in line]
            verdict.violations += [f"{sidecar.name}: {text}" for text in tracebacks(log)]
            verdict.faults.update({kind.name: count for kind, count in sidecar.shim.injected().items()})
        verdict.violations += [f"unreadable request: {text}" for one in site.upstreams for text in one.unreadable]
        verdict.results, verdict.lag_s = site.ledger.results(), site.ledger.lag_s


class SidecarLifecycle:
    """One sidecar and its clients, through repeated starts and shutdowns."""

    def __init__(self, soak: Soak, sidecar: SidecarProcess, rng: random.Random) -> None:
        self.soak, self.sidecar, self.rng = soak, sidecar, rng
        self.is_serving = False  # whether its clients send requests
        self.calls: set[asyncio.Task[Any]] = set()

    async def run(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, START_SPREAD_S))  # starting an interpreter keeps one core busy
        async with asyncio.TaskGroup() as group:
            group.create_task(self.send())
            group.create_task(self.fail_calls())
            while not self.soak.is_finished.is_set():
                await self.run_process()
            if self.calls:
                await asyncio.wait(list(self.calls))

    async def run_process(self) -> None:
        sidecar = self.sidecar
        sidecar.clients.latest.clear()  # a new process knows no ids of the one before
        sidecar.launch()
        if not await sidecar.ready(READY_TIMEOUT_S):
            self.soak.verdict.violations.append(
                f"{sidecar.name}: not ready in {READY_TIMEOUT_S} s: {sidecar.log()[-500:]}")
            sidecar.kill()
            return
        sidecar.clients.may_connect = self.is_serving = True
        async with contextlib.AsyncExitStack() as stack:
            if self.soak.plan.hostile:
                await stack.enter_async_context(self.hostile_clients())
            await self.serve()

    @contextlib.asynccontextmanager
    async def hostile_clients(self) -> AsyncIterator[None]:
        """Clients that cost memory and time, and one that repeats the ids of others, while the block runs."""
        behaviour = self.rng.choice(list(CROWDS.values()))
        repeating = asyncio.create_task(self.repeat_ids(random.Random(self.rng.getrandbits(64))))
        async with crowd(self.sidecar.port, behaviour, HOSTILE_CLIENTS, self.rng.getrandbits(32)):
            try:
                yield
            finally:
                repeating.cancel()
                await asyncio.wait([repeating])

    async def repeat_ids(self, rng: random.Random) -> None:
        """Sends copies of requests that other clients of the sidecar have sent."""
        clients, limit_s = self.sidecar.clients, self.soak.site.deadline_s
        while True:
            await asyncio.sleep(rng.uniform(*REPEAT_EVERY_S))
            latest = [call for call in clients.latest if call.arrivals]
            if not latest:
                continue
            call = rng.choice(latest)
            with contextlib.suppress(OSError, TimeoutError):
                connection = await clients.connect()
                if await connection.ask(clients.request(call, limit_s), limit_s) \
                        and connection.parser.get_status_code() == 200:
                    self.soak.verdict.violations.append(f"{self.sidecar.name}: a copy of {call.txn} was served")
                connection.transport.abort()

    async def serve(self) -> None:
        sidecar, rng = self.sidecar, self.rng
        while await self.soak.pause(rng.uniform(0.3, 1.5)) and rng.random() < 0.7:
            if rng.random() < 0.4:
                sidecar.configure()
            for _ in range(rng.randint(1, 3)):
                sidecar.signal(signal.SIGHUP)
            if sidecar.exit_code() is not None:
                self.soak.verdict.violations.append(
                    f"{sidecar.name}: ended by {sidecar.exit_code()}: {sidecar.log()[-800:]}")
                self.is_serving = False
                return
        self.check_memory()
        await self.shut_down()

    def check_memory(self) -> None:
        limit_mb = self.sidecar.limits.get("memory_mb")
        if limit_mb is not None and self.sidecar.process is not None:
            memory = memory_of(self.sidecar.process.pid)
            if memory.peak_mb > limit_mb:
                self.soak.verdict.violations.append(f"{self.sidecar.name}: {memory} of {limit_mb} MB")

    async def shut_down(self) -> None:
        """Sends a series of signals. Clients continue until the process ends, by itself or by SIGKILL."""
        sidecar, rng = self.sidecar, self.rng
        begun_s, kill_s = time.monotonic(), self.soak.site.deadline_s + KILL_AFTER_S
        stop_connecting_s = rng.uniform(*NEW_CONNECTIONS_S)
        sidecar.signal(signal.SIGTERM)
        for number in rng.choices((signal.SIGHUP, signal.SIGTERM, signal.SIGINT), k=rng.randint(0, 3)):
            await asyncio.sleep(rng.uniform(0.0, 0.1))
            if sidecar.exit_code() is None:
                sidecar.signal(number)
        await asyncio.sleep(max(0.0, begun_s + stop_connecting_s - time.monotonic()))
        sidecar.clients.may_connect = False
        code = await sidecar.wait_for_exit(max(0.0, begun_s + kill_s - time.monotonic()))
        if code is None:
            sidecar.kill()
            self.soak.verdict.ends["SIGKILL"] += 1
        else:
            self.soak.verdict.ends[f"status {code}"] += 1
            if code != 0:
                self.soak.verdict.violations.append(f"{sidecar.name}: shutdown ended by {code}: {sidecar.log()[-800:]}")
        self.is_serving = False
        sidecar.clients.close()

    async def send(self) -> None:
        """Sends requests in an open loop at random intervals. Some clients leave before their answer."""
        rng, limit_s = self.rng, self.soak.site.deadline_s
        mean_s = 1 / (60.0 if self.soak.plan.crowd else 15.0)
        while not self.soak.is_finished.is_set() or self.is_serving:
            await asyncio.sleep(rng.expovariate(1 / mean_s))
            clients = self.sidecar.clients
            if not self.is_serving or not (clients.may_connect or clients.idle):
                continue
            if self.soak.plan.slow and rng.random() < SLOW_SHARE and clients.may_connect:
                self.start_call(clients.call_slowly(rng.choice(LANES), limit_s, rng.uniform(0.0, MAX_SILENT_S),
                                               rng.uniform(0.0, MAX_HALF_S)))
                continue
            leave_s = rng.uniform(0.0, 0.3) if rng.random() < 0.1 else None
            self.start_call(clients.call(rng.choice(LANES), limit_s, leave_s, keep=rng.random() < 0.8))

    def start_call(self, call: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(call)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def fail_calls(self) -> None:
        rng, shim = self.rng, self.sidecar.shim
        rates = SURPLUS_RATES if self.soak.plan.surplus else MAX_RATES
        while await self.soak.pause(rng.uniform(0.0, 1.0)):
            kinds = rng.sample(list(rates), rng.randint(1, 4))
            shim.set({kind: rng.randint(1, rates[kind]) for kind in kinds})
            if rng.random() < 0.2:
                shim.step_wall_clock(rng.choice(STEPS_S))
            await asyncio.sleep(rng.uniform(0.05, 0.7))
            shim.set({})
        shim.set({})


async def play(plan: Plan, folder: Path) -> Verdict:
    return await Soak(plan, folder).run()
