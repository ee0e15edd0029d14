"""Cuts and restores a region's link, and measures when its instances receive a change made in the meantime."""

from __future__ import annotations

import asyncio
import time

from ironscale.scale.run import RunContext
from ironscale.stage.relay import Relay

ROLE = "agent that leads"
CUT_S = 75.0  # longer than the longest wait between two connection attempts
REGION_TIMEOUT_S = 60.0


async def measure(context: RunContext) -> None:
    size = context.size
    count, regions = size.play.sizes[-1], size.fleet.regions
    cut_count = count // regions
    context.progress(f"cut: {cut_count} of {count} simulated instances for {CUT_S:g} s")
    async with context.running_fleet(count - cut_count) as (agents, instances):
        relay = await Relay(agents.addresses[0]).start()
        near_processes = instances.instance_processes[:]
        try:
            await instances.start(cut_count, [("127.0.0.1", relay.port)], agents.token_file)
            cut_processes = instances.instance_processes[len(near_processes):]
            await agents.wait_until_ready(count)
            relay.cut()
            cut_s = time.monotonic()
            await asyncio.sleep(CUT_S - 3)
            generation, _, requested_s, _ = await agents.apply()
            await asyncio.sleep(max(0.0, cut_s + CUT_S - time.monotonic()))
            relay.mend()
            restored_s = time.monotonic()
            all_ready_s = await agents.wait_until_ready(count) - restored_s
            times: list[float] = []
            while len(times) < cut_count and time.monotonic() < restored_s + REGION_TIMEOUT_S:
                await asyncio.sleep(0.25)
                answers = [await process.ask(ask="in force", generation=generation) for process in cut_processes]
                times = sorted(at - restored_s for part in answers for at in part["at"])
            others = [await process.ask(ask="in force", generation=generation) for process in near_processes]
        finally:
            relay.close()
    note = f"{cut_count} of {count} cut for {CUT_S:g} s, a change 3 s before the link was back"
    others_s = sorted(at - requested_s for part in others for at in part["at"])
    context.add_reading(
        "cut.others.change_last_s", ROLE, "s", [others_s[-1]], f"{note}; {len(others_s)} that were not cut"
    )
    context.add_reading(
        "cut.region.ready_s", ROLE, "s", [all_ready_s], f"{note}; from the link's return, the last is ready"
    )
    context.add_reading("cut.region.missed", ROLE, "instances", [cut_count - len(times)],
                      f"{note}; without the change {REGION_TIMEOUT_S:g} s after")
    if times:
        for label, share in (("p50", 0.5), ("p99", 0.99), ("last", 1.0)):
            value = times[min(len(times) - 1, int(share * len(times)))]
            context.add_reading(f"cut.region.change_{label}_s", ROLE, "s", [value], f"{note}; from the link's return")
