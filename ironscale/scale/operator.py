"""Measures how long operators' commands take: listing and inspecting instances, and a release in ten waves."""

from __future__ import annotations

import asyncio
import random
import time

from ironscale.scale.agents import AgentProcesses, ResourceUsage
from ironscale.scale.run import RunContext

ROLE, X_AXIS = "operator", "instances"
WAVES = 10
INSPECTED_INSTANCES = 50
UNITS = {"operator.list_s": "s", "operator.inspect_ms": "ms", "operator.release_s": "s",
         "operator.release.cpu_ms": "ms"}
NOTES = {"operator.list_s": "all instances with their reports, in pages of 250",
         "operator.inspect_ms": "one instance's view of its upstreams, through the agent",
         "operator.release_s": f"a change in {WAVES} waves, until all have shown it",
         "operator.release.cpu_ms": f"of the agent, for a change in {WAVES} waves"}
LIST = """query($after: String) { instances(first: 250, after: $after) { pageInfo { hasNextPage endCursor }
  edges { node { name state zone version generation lastHeard report { ready draining open connections upstreams
  upstreamsReady cpuSeconds memoryKb classes { name served refused failed } } } } } }"""
INSPECT = "query($n: String!) { instance(name: $n) { inspect { upstreams { name } } } }"


async def measure(context: RunContext) -> None:
    results: dict[str, dict[int, list[float]]] = {name: {} for name in UNITS}
    for count in context.size.play.sizes:
        context.progress(f"operator: {count} simulated instances")
        async with context.running_fleet(count) as (agents, _):
            for name, values in (await measure_fleet(agents, count, context.size.play.repeats)).items():
                results[name][count] = values
    for name, points in results.items():
        context.add_slope(name, ROLE, X_AXIS, UNITS[name], points, NOTES[name])


async def measure_fleet(agents: AgentProcesses, count: int, repeats: int) -> dict[str, list[float]]:
    results: dict[str, list[float]] = {name: [] for name in UNITS}
    await agents.apply()  # creates the first generation
    names = await list_instances(agents)
    for turn in range(repeats):
        start_s = time.monotonic()
        names = await list_instances(agents)
        results["operator.list_s"].append(time.monotonic() - start_s)
        sample = random.Random(turn).sample(names, min(INSPECTED_INSTANCES, count))
        start_s = time.monotonic()
        for name in sample:
            await agents.call(INSPECT, n=name)
        results["operator.inspect_ms"].append((time.monotonic() - start_s) / len(sample) * 1000)
    for _ in range(min(2, repeats)):
        spent = ResourceUsage.of_process(agents.pid())
        _, operation, requested_s, _ = await agents.apply(policy={"wave": max(1, -(-count // WAVES))})
        results["operator.release_s"].append(await agents.wait_until_closed(operation) - requested_s)
        results["operator.release.cpu_ms"].append((ResourceUsage.of_process(agents.pid()).cpu_s - spent.cpu_s) * 1000)
        await asyncio.sleep(0.5)
    return results


async def list_instances(agents: AgentProcesses) -> list[str]:
    names: list[str] = []
    after = None
    while True:
        page = (await agents.call(LIST, after=after))["instances"]
        names += [edge["node"]["name"] for edge in page["edges"]]
        if not page["pageInfo"]["hasNextPage"]:
            return names
        after = page["pageInfo"]["endCursor"]
