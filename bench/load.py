"""How good the load generator is: `python -m bench.load [pause] [rates] [wrk]`.

pause: a server stands still for exactly 2 s under constant arrivals; what is reported beside what arithmetic says.
rates: how late requests go out at 1,000, 5,000 and 20,000 a second, and what this machine can reach.
wrk: the mean and tail of the same quiet server by that C-written client, if it is installed, and by this one.
"""

from __future__ import annotations

import argparse
import asyncio
import re
import shutil
import sys
from pathlib import Path

import uvloop

from ironscale.load.histogram import percentile, summary
from ironscale.load.run import Run, started_site
from ironscale.load.scenario import Scenario, parse

SHARES = (50.0, 90.0, 99.0, 99.9, 100.0)


def scenario(
    rate: float, seconds: float, more: str = "", connections: int = 256, workers: int = 2, shape: str = "constant"
) -> Scenario:
    return parse(
        f'duration_s = {seconds}\nworkers = {workers}\n[target]\nprotocol = "plain"\n[[arrivals]]\n'
        f'shape = "{shape}"\nrate = {rate}\n[[class]]\nname = "view"\ndeadline_ms = 20000\n[clients]\n'
        f"connections = {connections}\n[[upstreams]]\n{more}",
        "bench",
        Path("."),
    )


async def pause(arguments: argparse.Namespace) -> None:
    s = scenario(500, 10, '[[fault]]\nkind = "pause"\nat_s = 4\nfor_s = 2\n', 1500)
    for turn in range(arguments.rounds):
        found = await Run(s)("pause")
        paused, resumed = (mark["at_us"] for mark in found.marks)
        expected = sorted(resumed - t if paused <= t < resumed else 0 for t in s.schedule().at_us)
        got = found.from_due()
        print(f"pause {turn + 1}: stood still for {(resumed - paused) / 1e3:.1f} ms; ms, expected / reported / off by")
        for share in SHARES:
            wanted, value = expected[round(len(expected) * share / 100) - 1], percentile(got, share)
            print(
                f"  p{share:<6g}{wanted / 1e3:10.1f}{value / 1e3:10.1f}{(value - wanted) / 1e3:+10.1f}"
                + (f"{100 * (value - wanted) / wanted:+8.2f} %" if wanted > 10_000 else "")
            )
        print(
            f"  flagged intervals: {len(found.flagged())}; p99 from the send "
            f"{percentile(found.from_send(), 99.0) / 1e3:.1f}"
        )


async def rates(arguments: argparse.Namespace) -> None:
    print(
        f"{'wanted/s':>10}{'workers':>9}{'sent/s':>10}{'late p50':>10}{'p99':>9}{'p99.9':>9}{'longest, ms':>13}"
        f"{'flagged':>9}{'busiest':>9}"
    )
    for rate, workers in ((1_000, 2), (5_000, 2), (20_000, 4), (20_000, 6)):
        found = await Run(scenario(rate, 6, "cores = 8\n", 600, workers, "poisson"))("rates")
        lag = summary(found.lag())
        print(
            f"{rate:>10,}{workers:>9}{found.reached():>10,.0f}{lag['p50']:>10.3f}{lag['p99']:>9.3f}{lag['p99.9']:>9.3f}"
            f"{lag['max']:>13.3f}{f'{len(found.flagged())} of {len(found.intervals)}':>9}"
            f"{max(i.busy for i in found.intervals):>9.0%}"
        )


async def wrk(arguments: argparse.Namespace) -> None:
    tool = shutil.which("wrk")
    if tool is None:
        print("wrk: not installed; left out", file=sys.stderr)
        return
    s = scenario(2_000, 6)
    async with started_site(s, lambda mark: None) as site:
        process = await asyncio.create_subprocess_exec(
            tool,
            "-t2",
            "-c8",
            "-d6s",
            "--latency",
            f"http://127.0.0.1:{site.ports[0]}/api",
            stdout=asyncio.subprocess.PIPE,
        )
        out, _ = await process.communicate()
        await site.end()
    text = out.decode()
    rate = float((re.search(r"Requests/sec:\s+([\d.]+)", text) or ["", "0"])[1])
    print("wrk, closed loop, 8 connections:", *re.findall(r"(?:50|99)%\s+\S+", text), f"at {rate:,.0f} requests/s")
    for share in (0.25, 0.5, 0.75):  # of what the server bears in a closed loop
        found = await Run(scenario(rate * share, 6, workers=6, connections=600, shape="poisson"))("wrk")
        due, sent = summary(found.from_due()), summary(found.from_send())
        print(
            f"this one, open loop, {share:.0%} of that: "
            f"{found.reached():,.0f}/s, p50 {due['p50']:.3f}, p99 {due['p99']:.3f} "
            f"ms from due, {sent['p50']:.3f} and {sent['p99']:.3f} from send; flagged {len(found.flagged())}"
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else "")
    parser.add_argument("parts", nargs="*", default=["pause", "rates", "wrk"])
    parser.add_argument("--rounds", type=int, default=2)
    arguments = parser.parse_args()
    for part in arguments.parts:
        uvloop.run({"pause": pause, "rates": rates, "wrk": wrk}[part](arguments))


if __name__ == "__main__":
    main()
