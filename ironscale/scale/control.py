"""Measures what the control channel costs a sidecar: real sidecars with an agent are compared to others without, for
lists of several lengths."""

from __future__ import annotations

import asyncio
import subprocess
from collections.abc import Sequence

from ironscale.control.processes import process_cpu_s
from ironscale.scale.agents import AgentProcesses, measure_at_rest
from ironscale.scale.bounds import resident_memory_mb
from ironscale.scale.real_sidecars import RealSidecars
from ironscale.scale.run import RunContext

ROLE, X_AXIS = "sidecar control", "upstreams in the list"
SIDECARS_EACH = 4  # sidecars with an agent, and the same number without
WHOLE_LISTS, CHANGED_ENTRIES, CHANGES = 4, 40, 6
SETTLE_S = 0.7
UNITS = {
    "control.list.memory_mb": "MB", "control.list.alone_memory_mb": "MB",
    "control.list.rest.cpu_percent": "% of a core", "control.list.rest.alone_cpu_percent": "% of a core",
    "control.list.whole_cpu_ms": "ms", "control.list.entry_cpu_us": "us",
    "control.list.whole_bytes": "bytes", "control.list.entry_bytes": "bytes",
    "control.list.change_cpu_us": "us a change",
}
NOTES = {
    "control.list.memory_mb": "the whole process, with an agent",
    "control.list.alone_memory_mb": "the whole process, without an agent",
    "control.list.rest.cpu_percent": "the whole process, with an agent, no traffic",
    "control.list.rest.alone_cpu_percent": "the whole process, without an agent, no traffic",
    "control.list.change_cpu_us": "a change of configuration by the agent, with its answer and report",
}


async def measure(context: RunContext) -> None:
    results: dict[str, dict[int, list[float]]] = {name: {} for name in UNITS}
    added_cpu: list[float] = []
    added_mb: list[float] = []
    for length in context.size.play.lists:
        context.progress(f"control: lists of {length}")
        context.check_limits(0, 1, 2 * SIDECARS_EACH)
        async with (
            context.running_fleet(0) as (agents, _),
            RealSidecars.running(context.children, context.folder, 2 * SIDECARS_EACH, length) as sidecars,
        ):
            without = await sidecars.start(SIDECARS_EACH)
            with_agent = await sidecars.start(SIDECARS_EACH, agents.addresses, agents.token_file)
            await agents.wait_until_ready(SIDECARS_EACH)
            values_by_name = await measure_list(context, agents, sidecars, with_agent, without)
        for name, values in values_by_name.items():
            results[name][length] = values
        first_length = length == context.size.play.lists[0]
        if first_length:
            added_cpu = [a - b for a, b in zip(values_by_name["control.list.rest.cpu_percent"],
                                               values_by_name["control.list.rest.alone_cpu_percent"], strict=True)]
            added_mb = [a - b for a, b in zip(sorted(values_by_name["control.list.memory_mb"]),
                                              sorted(values_by_name["control.list.alone_memory_mb"]), strict=True)]
    for name, points in results.items():
        context.add_slope(name, ROLE, X_AXIS, UNITS[name], points, NOTES.get(name, ""))
    shortest = context.size.play.lists[0]
    context.add_reading("control.real.rest.added_cpu_percent", ROLE, "% of a core", added_cpu,
                      f"with an agent less without, lists of {shortest}")
    context.add_reading("control.real.added_memory_mb", ROLE, "MB", added_mb,
                      f"with an agent less without, lists of {shortest}")


async def measure_list(
    context: RunContext,
    agents: AgentProcesses,
    sidecars: RealSidecars,
    with_agent: Sequence[subprocess.Popen[bytes]],
    without: Sequence[subprocess.Popen[bytes]],
) -> dict[str, list[float]]:
    discovery = sidecars.discovery
    await asyncio.sleep(2.0)
    heartbeat_s = context.size.play.heartbeat_s
    rests = await asyncio.gather(*(measure_at_rest(p.pid, 4 * heartbeat_s) for p in (*with_agent, *without)))
    percent = [rest[0] for rest in rests]
    results = {
        "control.list.rest.cpu_percent": percent[:SIDECARS_EACH],
        "control.list.rest.alone_cpu_percent": percent[SIDECARS_EACH:],
        "control.list.whole_bytes": [float(len(discovery.chunk(discovery.whole())))],
    }

    async def cpu_cost_s(times: int, pause_s: float, work: object) -> list[float]:
        """CPU seconds that each sidecar without an agent used for one call of `work`, less its use at rest."""
        assert callable(work)
        before, began_s = [process_cpu_s(p.pid) for p in without], asyncio.get_running_loop().time()
        for _ in range(times):
            work()
            await asyncio.sleep(pause_s)
        await asyncio.sleep(SETTLE_S)
        took_s = asyncio.get_running_loop().time() - began_s
        return [max(0.0, process_cpu_s(p.pid) - was - rest / 100 * took_s) / times
                for p, was, rest in zip(without, before, percent[SIDECARS_EACH:], strict=True)]

    def send_whole_list() -> None:
        discovery.generation += 1
        discovery.tell(discovery.whole())

    entries = [dict(entry) for entry in list(discovery.entries.values())[:CHANGED_ENTRIES]]
    change_number = 0

    def send_changed_entry() -> None:
        nonlocal change_number
        changed = entries[change_number % len(entries)]
        changed["weight"] = 1.0 + (change_number % 7) / 100
        change_number += 1
        discovery.put(changed)

    results["control.list.whole_cpu_ms"] = [s * 1e3 for s in await cpu_cost_s(WHOLE_LISTS, SETTLE_S, send_whole_list)]
    results["control.list.entry_cpu_us"] = [
        s * 1e6 for s in await cpu_cost_s(CHANGED_ENTRIES, 0.03, send_changed_entry)
    ]
    results["control.list.entry_bytes"] = [float(len(discovery.chunk({
        "generation": 1, "reset": False, "instances": entries[:1]})))]
    results["control.list.change_cpu_us"] = await measure_changes(agents, with_agent, percent[:SIDECARS_EACH])
    results["control.list.memory_mb"] = [resident_memory_mb(p.pid) for p in with_agent]
    results["control.list.alone_memory_mb"] = [resident_memory_mb(p.pid) for p in without]
    return results


async def measure_changes(agents: AgentProcesses, with_agent: Sequence[subprocess.Popen[bytes]], rests: Sequence[float]
                     ) -> list[float]:
    before, began_s = [process_cpu_s(p.pid) for p in with_agent], asyncio.get_running_loop().time()
    for _ in range(CHANGES):
        _, operation, _, _ = await agents.apply()
        await agents.wait_until_closed(operation)
    await asyncio.sleep(SETTLE_S)
    took_s = asyncio.get_running_loop().time() - began_s
    return [max(0.0, process_cpu_s(p.pid) - was - rest / 100 * took_s) / CHANGES * 1e6
            for p, was, rest in zip(with_agent, before, rests, strict=True)]
