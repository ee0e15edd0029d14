"""Measures published versions: the time until every instance has one, also when agents are lost, and the cost to the
database."""

from __future__ import annotations

import asyncio
import time

from ironscale.scale.agents import AgentProcesses, ResourceUsage
from ironscale.scale.run import RunContext
from ironscale.scale.simulated_instances import SimulatedInstances
from ironscale.stage.relay import Relay

ROLE, X_AXIS = "published versions", "instances"
MEASURED_CHANGES, PUBLISH_BEFORE_RESTORE_S = 5, 3.0
UNITS = {
    "versions.change.told_s": "s", "versions.change.p50_s": "s", "versions.change.p99_s": "s",
    "versions.change.last_s": "s", "versions.change.leader_cpu_ms": "ms", "versions.change.follower_cpu_ms": "ms",
    "versions.change.record_bytes": "bytes a change", "versions.change.record_rows": "rows a change",
    "versions.killed.p99_s": "s", "versions.killed.last_s": "s", "versions.takeover.last_from_kill_s": "s",
    "versions.takeover.last_s": "s", "versions.one_left.last_s": "s", "versions.one_left.p99_s": "s",
}
NOTES = {
    "versions.killed.p99_s": "from a commit after which the leader was killed at once, its snapshot removed",
    "versions.killed.last_s": "from a commit after which the leader was killed at once, its snapshot removed",
    "versions.takeover.last_from_kill_s": "the next version, asked for at once; the term's wait is in it",
    "versions.takeover.last_s": "the same from its commit",
    "versions.one_left.last_s": "two of three agents killed within a second; from the next commit, by the third",
    "versions.one_left.p99_s": "two of three agents killed within a second; from the next commit, by the third",
}


def latency_at(moments: list[float], share: float, from_s: float) -> float:
    return moments[min(len(moments) - 1, int(share * len(moments)))] - from_s


async def measure(context: RunContext) -> None:
    results: dict[str, dict[int, list[float]]] = {name: {} for name in UNITS}
    for count in context.size.play.sizes:
        context.progress(f"versions: {count} simulated followers, {context.size.play.agents} agents")
        async with context.running_fleet(count, context.size.play.agents, follow_versions=True) as (agents, instances):
            for name, values in (await measure_fleet(agents, instances)).items():
                results[name][count] = values
    for name, points in results.items():
        context.add_slope(name, ROLE, X_AXIS, UNITS[name], points, NOTES.get(name, ""))
    await measure_region_cut(context)


async def measure_fleet(agents: AgentProcesses, instances: SimulatedInstances) -> dict[str, list[float]]:
    results: dict[str, list[float]] = {name: [] for name in UNITS}
    number, _, _ = await agents.publish()
    await agents.wait_until_held(instances, number)
    for _ in range(MEASURED_CHANGES):
        before, leader_before, follower_before = (
            agents.database_state(),
            ResourceUsage.of_process(agents.pid(0)),
            ResourceUsage.of_process(agents.pid(1)),
        )
        number, requested_s, committed_s = await agents.publish()
        times = await agents.wait_until_held(instances, number)
        state = agents.database_state()
        results["versions.change.told_s"].append(committed_s - requested_s)
        for name, share in (("p50", 0.5), ("p99", 0.99), ("last", 1.0)):
            results[f"versions.change.{name}_s"].append(latency_at(times, share, requested_s))
        results["versions.change.leader_cpu_ms"].append(
            (ResourceUsage.of_process(agents.pid(0)).cpu_s - leader_before.cpu_s) * 1000
        )
        results["versions.change.follower_cpu_ms"].append(
            (ResourceUsage.of_process(agents.pid(1)).cpu_s - follower_before.cpu_s) * 1000
        )
        results["versions.change.record_bytes"].append(state["bytes"] - before["bytes"])
        results["versions.change.record_rows"].append(sum(
            state[t] - before[t] for t in ("versions", "targets", "operations", "configurations", "audit",
                                           "mutations")))
    number, _, committed_s = await agents.publish()
    killed_s = kill_and_remove_snapshot(agents, 0)
    agents.next_agent = 1
    waiting = asyncio.ensure_future(agents.publish())
    times = await agents.wait_until_held(instances, number)
    results["versions.killed.p99_s"].append(latency_at(times, 0.99, committed_s))
    results["versions.killed.last_s"].append(latency_at(times, 1.0, committed_s))
    number, _, committed_s = await waiting
    times = await agents.wait_until_held(instances, number)
    results["versions.takeover.last_from_kill_s"].append(latency_at(times, 1.0, killed_s))
    results["versions.takeover.last_s"].append(latency_at(times, 1.0, committed_s))
    kill_and_remove_snapshot(agents, agents.next_agent)
    agents.next_agent = next(n for n in range(agents.count) if agents.running[n] is not None)
    number, _, committed_s = await agents.publish()
    times = await agents.wait_until_held(instances, number)
    results["versions.one_left.last_s"].append(latency_at(times, 1.0, committed_s))
    results["versions.one_left.p99_s"].append(latency_at(times, 0.99, committed_s))
    return results


def kill_and_remove_snapshot(agents: AgentProcesses, number: int) -> float:
    """Kills an agent and removes its snapshot of the versions from disk. Returns the moment of the kill."""
    at_s = agents.kill(number)
    (agents.folder / f"agent-{number}" / "versions.snapshot").unlink(missing_ok=True)
    return at_s


async def measure_region_cut(context: RunContext) -> None:
    """Cuts a region off from all agents; `ironscale.scale.cut` measures the same for operations."""
    size = context.size
    count = size.play.sizes[-1]
    cut_count, for_s = count // size.fleet.regions, 20.0
    context.progress(f"versions: {cut_count} of {count} cut for {for_s:g} s")
    async with context.running_fleet(count - cut_count, 1, follow_versions=True) as (agents, instances):
        relay = await Relay(agents.addresses[0]).start()
        near_processes = len(instances.instance_processes)
        try:
            through_relay = [("127.0.0.1", relay.port)]
            await instances.start(cut_count, through_relay, agents.token_file, versions=through_relay)
            number, _, _ = await agents.publish()
            await agents.wait_until_held(instances, number)
            relay.cut()
            await asyncio.sleep(for_s - PUBLISH_BEFORE_RESTORE_S)
            number, _, committed_s = await agents.publish()
            await asyncio.sleep(PUBLISH_BEFORE_RESTORE_S)
            relay.mend()
            restored_s = time.monotonic()
            await agents.wait_until_held(instances, number)
            parts = [
                list((await process.ask(ask="held", generation=number))["at"])
                for process in instances.instance_processes
            ]
            others, cut_off = (sorted(sum(some, [])) for some in (parts[:near_processes], parts[near_processes:]))
        finally:
            relay.close()
    note = (
        f"{cut_count} of {count} cut for {for_s:g} s, a version {PUBLISH_BEFORE_RESTORE_S:g} s before the link was back"
    )
    context.add_reading(
        "versions.cut.others_last_s", ROLE, "s", [latency_at(others, 1.0, committed_s)], f"{note}; those not cut"
    )
    for name, share in (("p50", 0.5), ("p99", 0.99), ("last", 1.0)):
        context.add_reading(f"versions.cut.region_{name}_s", ROLE, "s", [latency_at(cut_off, share, restored_s)],
                          f"{note}; from the link's return")
