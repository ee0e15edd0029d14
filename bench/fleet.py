"""Measures what an agent costs as the fleet grows: `python -m bench.fleet [--counts 200,1000,5000] [--json FILE]`.

Simulated instances of `ironscale.scale` (the real protocol, many in a few processes) are listed, inspected and taken
through a whole release; the agent's CPU time and memory are measured at rest. Prints each metric at each count, and how
it grows with the count. `ironscale scale run` measures the same and more for a size file.
"""

from __future__ import annotations

import argparse
from dataclasses import replace
from pathlib import Path

import uvloop

from ironscale.scale.agents import measure_at_rest
from ironscale.scale.operator import measure as operators
from ironscale.scale.result import Result
from ironscale.scale.run import RunContext, describe_machine, run_measurements
from ironscale.scale.size import Size, load

SIZE_FILE = Path(__file__).resolve().parent.parent / "ironscale" / "scale" / "examples" / "coming.toml"


async def measure_rest(context: RunContext) -> None:
    percent: dict[int, list[float]] = {}
    memory: dict[int, list[float]] = {}
    for count in context.size.play.sizes:
        async with context.running_fleet(count) as (agents, _):
            measurements = [await measure_at_rest(agents.pid(), 2 * context.size.play.heartbeat_s) for _ in range(2)]
        percent[count], memory[count] = [f[0] for f in measurements], [f[1] for f in measurements]
    context.add_slope("agent.rest.cpu_percent", "agent that leads", "instances", "% of a core", percent)
    context.add_slope("agent.rest.memory_mb", "agent that leads", "instances", "MB", memory)


def planned_size(counts: tuple[int, ...], heartbeat_s: float, lease_s: float) -> Size:
    size = load(SIZE_FILE)
    return replace(
        size, play=replace(size.play, sizes=counts, heartbeat_s=heartbeat_s, lease_s=lease_s, real=0, repeats=2)
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--counts", default="200,1000,5000", help="three or more")
    parser.add_argument("--beat", type=float, default=2.0)
    parser.add_argument("--lease", type=float, default=10.0)
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    size = planned_size(tuple(int(count) for count in arguments.counts.split(",")), arguments.beat, arguments.lease)
    result = Result(size.digest, describe_machine())

    async def measure_both(context: RunContext) -> None:
        await measure_rest(context)
        await operators(context)

    uvloop.run(
        run_measurements(
            size, {"fleet": measure_both}, result, lambda text: print(text, flush=True), lambda found: None
        )
    )
    if arguments.json:
        result.write(arguments.json)


if __name__ == "__main__":
    main()
