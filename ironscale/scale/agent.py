"""Measures the leading agent: its cost at rest and per change, and the time until a change is in force, also after a
crash."""

from __future__ import annotations

import asyncio
import time

from ironscale.scale.agents import AgentProcesses, ResourceUsage, measure_at_rest
from ironscale.scale.run import RunContext
from ironscale.scale.simulated_instances import SimulatedInstances

LEADER_ROLE, CONTROL_ROLE, X_AXIS = "agent that leads", "sidecar control", "instances"
KILLS = 2  # kills of the agent
OVERLAPPING_CHANGES = 5  # changes, each made before the previous one has reached all instances
ValuesByCount = dict[str, dict[int, list[float]]]


async def measure(context: RunContext) -> None:
    results: ValuesByCount = {}
    play = context.size.play
    for count in play.sizes:
        # the largest size includes the real sidecars, so its results cover them too
        real = play.real if count == play.sizes[-1] else 0
        context.progress(f"agent: {count} instances, {real} of them real")
        async with context.running_fleet(count - real, real=real) as (agents, instances):
            for name, values in (await measure_fleet(context, agents, instances, count)).items():
                results.setdefault(name, {})[count] = values
    for name, points in results.items():
        role = CONTROL_ROLE if name.startswith("control.") else LEADER_ROLE
        context.add_slope(name, role, X_AXIS, UNITS[name], points, NOTES.get(name, ""))


UNITS = {
    "agent.rest.cpu_percent": "% of a core", "agent.rest.memory_mb": "MB", "agent.rest.sent_bytes_s": "bytes/s",
    "agent.rest.received_bytes_s": "bytes/s", "agent.rest.record_writes_s": "writes/s",
    "agent.rest.disk_bytes_s": "bytes/s", "agent.change.cpu_ms": "ms", "agent.change.sent_bytes": "bytes",
    "agent.change.received_bytes": "bytes", "agent.change.told_s": "s", "agent.change.p50_s": "s",
    "agent.change.p99_s": "s", "agent.change.last_s": "s", "agent.change.closed_s": "s", "agent.overlap.last_s": "s",
    "agent.overlap.cpu_ms": "ms", "agent.back.all_ready_s": "s", "agent.back.told_s": "s",
    "agent.back.change_p50_s": "s",
    "agent.back.change_p99_s": "s", "agent.back.change_last_s": "s", "agent.back.cpu_ms": "ms",
    "control.rest.bytes_s": "bytes/s", "control.hollow.rest.cpu_percent": "% of a core",
    "control.change.bytes": "bytes", "control.hollow.change.cpu_us": "us",
}
NOTES = {
    "agent.change.told_s": "until the agent had committed it",
    "agent.change.last_s": "until the last had it in force, from the moment it was asked for",
    "agent.change.closed_s": "until the agent had heard so of all, real sidecars too",
    "agent.overlap.last_s": f"{OVERLAPPING_CHANGES} changes, each in place of the one before; from the last's asking",
    "agent.overlap.cpu_ms": f"of {OVERLAPPING_CHANGES} changes",
    "agent.back.all_ready_s": "from its SIGKILL, started again at once",
    "agent.back.told_s": "from its SIGKILL until the new process had committed a change",
    "agent.back.change_last_s": "from its SIGKILL, started again at once, a change as soon as it is taken",
    "agent.back.cpu_ms": "of the new process, until the change was closed",
    "control.rest.bytes_s": "each, to and from the agent",
    "control.hollow.rest.cpu_percent": "each, hollow", "control.change.bytes": "each, to and from the agent",
    "control.hollow.change.cpu_us": "each, hollow",
}


async def measure_fleet(
    context: RunContext, agents: AgentProcesses, instances: SimulatedInstances, count: int
) -> dict[str, list[float]]:
    play = context.size.play
    results: dict[str, list[float]] = {name: [] for name in UNITS}

    def add(name: str, value: float) -> None:
        results[name].append(value)

    await agents.change(instances)  # warm-up: a process's first change is slower, because of imports and query plans
    await asyncio.sleep(2 * play.heartbeat_s)
    rest_cpu = simulated_cpu = 0.0
    # scales up to all instances: bytes are counted at the simulated ones only
    all_instances_factor = count / instances.count
    for _ in range(play.repeats):
        before, writes, started_s = await instances.total(), agents.database_state()["writes"], time.monotonic()
        percent, megabytes, written = await measure_at_rest(agents.pid(), 2 * play.heartbeat_s)
        after, writes_after, took_s = await instances.total(), agents.database_state()["writes"], time.monotonic()
        took_s -= started_s
        rest_cpu = percent / 100
        add("agent.rest.cpu_percent", percent)
        add("agent.rest.memory_mb", megabytes)
        add("agent.rest.disk_bytes_s", written)
        add("agent.rest.record_writes_s", (writes_after - writes) / took_s)
        add("agent.rest.sent_bytes_s", (after["received"] - before["received"]) / took_s * all_instances_factor)
        add("agent.rest.received_bytes_s", (after["sent"] - before["sent"]) / took_s * all_instances_factor)
        transferred_bytes = after["sent"] + after["received"] - before["sent"] - before["received"]
        add("control.rest.bytes_s", transferred_bytes / took_s / instances.count)
        simulated_cpu = (after["cpu_s"] - before["cpu_s"]) / took_s
        add("control.hollow.rest.cpu_percent", simulated_cpu / instances.count * 100)
    for _ in range(play.repeats):
        before, usage_before = await instances.total(), ResourceUsage.of_process(agents.pid())
        change = await agents.change(instances)
        usage_after, after = ResourceUsage.of_process(agents.pid()), await instances.total()
        took_s = usage_after.at_s - usage_before.at_s
        # subtract the use at rest to get the cost of the change alone
        cpu_ms = max(0.0, usage_after.cpu_s - usage_before.cpu_s - rest_cpu * took_s) * 1000
        add("agent.change.cpu_ms", cpu_ms)
        rest_sent, rest_received = results["agent.rest.sent_bytes_s"][-1], results["agent.rest.received_bytes_s"][-1]
        add(
            "agent.change.sent_bytes",
            (after["received"] - before["received"]) * all_instances_factor - rest_sent * took_s,
        )
        add(
            "agent.change.received_bytes",
            (after["sent"] - before["sent"]) * all_instances_factor - rest_received * took_s,
        )
        add(
            "control.change.bytes",
            (results["agent.change.sent_bytes"][-1] + results["agent.change.received_bytes"][-1]) / count,
        )
        simulated_cpu_s = after["cpu_s"] - before["cpu_s"] - simulated_cpu * took_s
        add("control.hollow.change.cpu_us", max(0.0, simulated_cpu_s) / instances.count * 1e6)
        add("agent.change.told_s", change.committed_s)
        add("agent.change.p50_s", change.latency_percentile_s(0.5))
        add("agent.change.p99_s", change.latency_percentile_s(0.99))
        add("agent.change.last_s", change.latencies_s[-1])
        add("agent.change.closed_s", change.closed_s)
    await measure_overlapping(agents, instances, add)
    for _ in range(KILLS):
        await measure_restart(agents, instances, add, count)
        await asyncio.sleep(play.heartbeat_s)
    return results


async def measure_overlapping(agents: AgentProcesses, instances: SimulatedInstances, add: object) -> None:
    """Makes several changes at once, each of which supersedes the previous one, and waits until all have the last."""
    assert callable(add)
    usage_before = ResourceUsage.of_process(agents.pid())
    for number in range(OVERLAPPING_CHANGES):
        generation, operation, requested_s, _ = await agents.apply(supersede=True)
        if number + 1 < OVERLAPPING_CHANGES:
            await asyncio.sleep(0.05)
    times = await agents.wait_until_in_force(instances, generation)
    await agents.wait_until_closed(operation)
    add("agent.overlap.last_s", times[-1] - requested_s)
    add("agent.overlap.cpu_ms", (ResourceUsage.of_process(agents.pid()).cpu_s - usage_before.cpu_s) * 1000)


async def measure_restart(agents: AgentProcesses, instances: SimulatedInstances, add: object, count: int) -> None:
    """Kills the agent, restarts it at once and makes a change as soon as it is accepted."""
    assert callable(add)
    killed_s = agents.kill(0)
    (agents.folder / "agent-0" / "address").unlink(missing_ok=True)
    agents.launch(0)
    ready = asyncio.ensure_future(agents.wait_until_ready(count))
    try:
        change = await agents.change(instances, count_from_s=killed_s)
        add("agent.back.all_ready_s", await ready - killed_s)
    finally:
        ready.cancel()
    add("agent.back.told_s", change.committed_s)
    add("agent.back.change_p50_s", change.latency_percentile_s(0.5))
    add("agent.back.change_p99_s", change.latency_percentile_s(0.99))
    add("agent.back.change_last_s", change.latencies_s[-1])
    add("agent.back.cpu_ms", ResourceUsage.of_process(agents.pid()).cpu_s * 1000)
