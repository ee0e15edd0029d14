"""Runs the selected measurements within the limits of the machine, and merges their results into the result file."""

from __future__ import annotations

import asyncio
import importlib
import platform
import shutil
import signal
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import httpx

from ironscale.scale.agents import AgentProcesses, AgentsError
from ironscale.scale.bounds import ChildProcesses, Plan, ResourceLimits, read_machine
from ironscale.scale.fit import FitError
from ironscale.scale.real_sidecars import RealSidecars, RealSidecarsError
from ironscale.scale.result import Reading, Result, build_slope
from ironscale.scale.simulated_instances import SimulatedInstances, SimulatedInstancesError
from ironscale.scale.size import Size

# Each is a module of this package with `async def measure(context)`. A full run measures in this order.
MEASUREMENTS = ("control", "agent", "takeover", "cut", "versions", "record", "operator", "path", "chain", "discovery")


class RunError(Exception):
    """A run that failed or was stopped; the message is a single line."""


@dataclass(slots=True)
class RunContext:
    """The context of one measurement: the size, a temporary folder, the started processes and the result."""

    size: Size
    folder: Path
    children: ChildProcesses
    limits: ResourceLimits
    result: Result
    progress: Callable[[str], None]

    def add_slope(self, name: str, role: str, x_axis: str, unit: str, points: Mapping[int, Iterable[float]],
                  note: str = "") -> None:
        """Adds a slope; `points` holds the repetitions by size. Raises FitError for fewer than three sizes."""
        added = build_slope(
            name, role, x_axis, unit, {float(size): values for size, values in points.items()}, utc_now(), note
        )
        self.result.add(added)
        self.progress(f"{name}: " + ", ".join(f"{p.value:.4g} at {p.size:g}" for p in added.points)
                      + f" {unit}; {added.fit.verdict}")

    def add_reading(self, name: str, role: str, unit: str, repeats: Iterable[float], note: str = "") -> None:
        added = Reading(name, role, unit, tuple(float(v) for v in repeats), utc_now(), note)
        self.result.add(added)
        self.progress(f"{name}: {added.value:.4g} {unit}")

    def check_limits(self, simulated: int, agents: int, real_count: int = 0, other_processes: int = 0) -> None:
        """Raises ResourceLimitError if starting this many would exceed the limits."""
        self.limits.check(Plan(simulated, self.size.play.hollow_each, agents, real_count, other_processes))

    @asynccontextmanager
    async def running_fleet(self, count: int, agent_count: int = 1, term_s: float | None = None, real: int = 0,
                    follow_versions: bool = False) -> AsyncIterator[tuple[AgentProcesses, SimulatedInstances]]:
        """Starts agents, `count` simulated instances and `real` real ones, waits until all are ready, and ends them
        with the block. With `follow_versions` the simulated instances also follow published versions, at all agents."""
        self.check_limits(count, agent_count, real)
        play = self.size.play
        folder = Path(tempfile.mkdtemp(prefix="fleet-", dir=self.folder))
        instances = SimulatedInstances(
            self.children, play.hollow_each, self.size.fleet.zones, play.seed, folder / "hollow.log"
        )
        running_agents = AgentProcesses(self.children, folder, agent_count, play, term_s)
        try:
            await running_agents.start()
            await instances.start(count, running_agents.addresses, running_agents.token_file,
                                versions=running_agents.addresses if follow_versions else ())
            async with RealSidecars.running(self.children, folder, real) as sidecars:
                await sidecars.start(real, running_agents.addresses, running_agents.token_file)
                await running_agents.wait_until_ready(count + real)
                yield running_agents, instances
        finally:
            await instances.end()
            await running_agents.close()
            shutil.rmtree(folder, ignore_errors=True)


Measure = Callable[[RunContext], Awaitable[None]]


def utc_now() -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())


def describe_machine() -> dict[str, Any]:
    machine = read_machine()
    return {"cores": machine.cores, "memory_mb": round(machine.memory_mb), "available_mb": round(machine.available_mb),
            "python": platform.python_version(), "system": f"{platform.system()} {platform.release()}"}


def with_sizes(size: Size, sizes: tuple[int, ...]) -> Size:
    return replace(size, play=replace(size.play, sizes=sizes))


async def run(size: Size, names: Sequence[str], result: Result, progress: Callable[[str], None],
              write: Callable[[Result], None]) -> None:
    """Runs the measurements with these names, one after another, as `run_measurements` does."""
    measurements = {piece: importlib.import_module(f"ironscale.scale.{piece}").measure for piece in names}
    await run_measurements(size, measurements, result, progress, write)


async def run_measurements(
    size: Size,
    measurements: Mapping[str, Measure],
    result: Result,
    progress: Callable[[str], None],
    write: Callable[[Result], None],
) -> None:
    """Runs the measurements one after another and calls `write` after each. Ctrl-C and SIGTERM end the run and all
    processes it started. Raises RunError, ResourceLimitError."""
    limits = ResourceLimits(size.play.most_processes, size.play.most_memory_share)
    limits.check(Plan(max(size.play.sizes), size.play.hollow_each, size.play.agents, size.play.real))
    children = ChildProcesses(limits)
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    stopped = False

    def stop() -> None:
        nonlocal stopped
        if not stopped:  # a second signal must not interrupt the termination of the processes
            stopped = True
            task.cancel()

    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop)
    folder = Path(tempfile.mkdtemp(prefix="ironscale-scale-"))
    try:
        for name, measure in measurements.items():
            progress(f"== {name}")
            await run_with_watchdog(children, measure(RunContext(size, folder, children, limits, result, progress)))
            write(result)
    except asyncio.CancelledError:
        if not stopped:
            raise
        raise RunError("stopped") from None
    except (AgentsError, SimulatedInstancesError, RealSidecarsError, FitError, OSError, httpx.HTTPError) as error:
        raise RunError(f"{name}: {error}") from error
    finally:
        children.end()
        shutil.rmtree(folder, ignore_errors=True)
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.remove_signal_handler(number)
            if stopped:  # this process is exiting: a late second signal must not change its exit status
                signal.signal(number, signal.SIG_IGN)


async def run_with_watchdog(children: ChildProcesses, work: Awaitable[None]) -> None:
    """Awaits `work` while the watchdog checks the memory; raises what the first of the two to fail raises."""
    tasks = {asyncio.ensure_future(work), asyncio.ensure_future(children.watch_memory())}
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
