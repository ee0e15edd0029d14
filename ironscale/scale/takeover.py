"""Measures a standby agent at rest, and how the fleet recovers after the leader is killed and not restarted."""

from __future__ import annotations

import asyncio

from ironscale.scale.agents import AgentProcesses, measure_at_rest
from ironscale.scale.run import RunContext
from ironscale.scale.simulated_instances import SimulatedInstances

ROLE, X_AXIS = "agent that stands by", "instances"
UNITS = {
    "standby.rest.cpu_percent": "% of a core", "standby.rest.memory_mb": "MB",
    "takeover.all_ready_s": "s", "takeover.told_s": "s", "takeover.change_p50_s": "s",
    "takeover.change_p99_s": "s", "takeover.change_last_s": "s",
}


async def measure(context: RunContext) -> None:
    results: dict[str, dict[int, list[float]]] = {name: {} for name in UNITS}
    play = context.size.play
    for count in play.sizes:
        context.progress(f"takeover: {count} simulated instances, {play.agents} agents")
        async with context.running_fleet(count, play.agents) as (agents, instances):
            for name, value in (await measure_fleet(agents, instances, count, play.heartbeat_s)).items():
                results[name].setdefault(count, []).append(value)
    for name, points in results.items():
        context.add_slope(name, ROLE, X_AXIS, UNITS[name], points, f"a term of {play.term_s:g} s")


async def measure_fleet(
    agents: AgentProcesses, instances: SimulatedInstances, count: int, heartbeat_s: float
) -> dict[str, float]:
    await agents.change(instances)
    await asyncio.sleep(heartbeat_s)
    percent, megabytes, _ = await measure_at_rest(agents.pid(1), 2 * heartbeat_s)
    killed_s = agents.kill(0)
    agents.next_agent = 1
    ready = asyncio.ensure_future(agents.wait_until_ready(count))
    try:
        change = await agents.change(instances, count_from_s=killed_s)
        all_ready_s = await ready - killed_s
    finally:
        ready.cancel()
    return {
        "standby.rest.cpu_percent": percent, "standby.rest.memory_mb": megabytes, "takeover.all_ready_s": all_ready_s,
        "takeover.told_s": change.committed_s, "takeover.change_p50_s": change.latency_percentile_s(0.5),
        "takeover.change_p99_s": change.latency_percentile_s(0.99), "takeover.change_last_s": change.latencies_s[-1],
    }
