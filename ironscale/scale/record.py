"""Measures how much each change adds to the agent's database, and how much of it a restart reads."""

from __future__ import annotations

import asyncio
import signal
import time

from ironscale.scale.agents import AgentProcesses, ResourceUsage
from ironscale.scale.run import RunContext

ROLE, X_AXIS = "record", "instances"
MEASURED_CHANGES, MORE_CHANGES = 4, 16  # changes


async def measure(context: RunContext) -> None:
    added_bytes: dict[int, list[float]] = {}
    added_rows: dict[int, list[float]] = {}
    disk_bytes: dict[int, list[float]] = {}
    restart_s: dict[int, list[float]] = {}
    restart_read_bytes: dict[int, list[float]] = {}
    for count in context.size.play.sizes:
        context.progress(f"record: {count} simulated instances")
        async with context.running_fleet(count) as (agents, instances):
            await agents.change(instances)
            await wait_until_settled(agents)
            for _ in range(MEASURED_CHANGES):
                before, spent = agents.database_state(), ResourceUsage.of_process(agents.pid())
                change = await agents.change(instances)
                await agents.wait_until_in_force(instances, change.generation)
                await wait_until_settled(agents)
                after = agents.database_state()
                added_bytes.setdefault(count, []).append(after["bytes"] - before["bytes"])
                added_rows.setdefault(count, []).append(sum(after[t] - before[t] for t in (
                    "targets", "operations", "configurations", "audit", "mutations")))
                disk_bytes.setdefault(count, []).append(
                    float(ResourceUsage.of_process(agents.pid()).written_bytes - spent.written_bytes)
                )
            started_in_s, read_bytes = await restart(agents)
            restart_s[count], restart_read_bytes[count] = [started_in_s], [read_bytes]
            if count == context.size.play.sizes[0]:
                await measure_longer_history(
                    context, agents, instance_count=count, started_in_s=started_in_s, read_bytes=read_bytes
                )
    context.add_slope("record.change.bytes", ROLE, X_AXIS, "bytes a change", added_bytes)
    context.add_slope("record.change.rows", ROLE, X_AXIS, "rows a change", added_rows)
    context.add_slope("record.change.disk_bytes", ROLE, X_AXIS, "bytes written to disk a change", disk_bytes,
                    "the agent's write_bytes, heartbeats' marks among them")
    context.add_slope("record.restart.seconds", ROLE, X_AXIS, "s", restart_s,
                    f"from SIGTERM's end to the agent's address, after {MEASURED_CHANGES + 1} changes")
    context.add_slope("record.restart.read_bytes", ROLE, X_AXIS, "bytes read", restart_read_bytes)


async def wait_until_settled(agents: AgentProcesses) -> None:
    """Waits until the database stops growing: reports of instances are saved a little after they arrive."""
    previous_bytes, deadline_s = -1.0, time.monotonic() + 10
    while time.monotonic() < deadline_s:
        state = agents.database_state()
        if state["bytes"] == previous_bytes:
            return
        previous_bytes = state["bytes"]
        await asyncio.sleep(1.2)


async def restart(agents: AgentProcesses) -> tuple[float, float]:
    """Restarts the agent. Returns the seconds until the new process answers, and the bytes it has read by then."""
    process = agents.running[0]
    assert process is not None
    agents.children.end(process, first_signal=signal.SIGTERM, timeout_s=10)
    agents.running[0] = None
    (agents.folder / "agent-0" / "address").unlink(missing_ok=True)
    started_s = time.monotonic()
    agents.launch(0)
    await agents.wait_until(lambda: (agents.folder / "agent-0" / "address").exists(), "agent-0 did not start again")
    return time.monotonic() - started_s, float(ResourceUsage.of_process(agents.pid()).read_bytes)


async def measure_longer_history(
    context: RunContext, agents: AgentProcesses, instance_count: int, started_in_s: float, read_bytes: float
) -> None:
    """Restarts with the same instances after more changes, to see whether a restart reads the whole history."""
    await agents.wait_until_ready(instance_count)
    for _ in range(MORE_CHANGES):
        _, operation, _, _ = await agents.apply()
        await agents.wait_until_closed(operation)
    second_start_s, second_read_bytes = await restart(agents)
    context.add_reading("record.restart.more_history_s", ROLE, "s", [second_start_s - started_in_s],
                      f"{MORE_CHANGES} changes of {instance_count} more in the record")
    context.add_reading("record.restart.more_history_bytes", ROLE, "bytes read", [second_read_bytes - read_bytes],
                      f"{MORE_CHANGES} changes of {instance_count} more in the record")
