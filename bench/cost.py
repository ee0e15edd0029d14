"""What a request costs: `python -m bench.cost [--upstreams 14,100,1000] [--rounds 3] [--seconds 3]`.

CPU of the process in question for each request, in a closed loop at full speed, all in turns within one run: a relay of
bare bytes, a plain relay on aiohttp (extra `bench`; left out without it), and the sidecar with so many upstreams, so
many callers, so many tenants, so many idle connections. Ratios count, the machine is shared. `--flame FILE` records the
sidecar with py-spy. `--vs TREE` holds this tree's sidecar against that of another checkout (or of a compiled one): both
stand beside each other, and short turns of the one and the other are paired; 40 pairs of 0.4 s and more are needed.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import shutil
import statistics
import sys
from collections.abc import AsyncIterator
from importlib.util import find_spec
from pathlib import Path

import uvloop

from ironscale.control.processes import process_cpu_s
from ironscale.load.client import KindSpec, closed_loop
from ironscale.load.outcome import End
from ironscale.load.run import check_limits, started_sidecars, started_site
from ironscale.load.scenario import Scenario, parse

_runs = itertools.count(1)
VIEW = KindSpec("view", "idempotent", 5_000_000, False)
Address = tuple[str, int]


def scenario(upstreams: int, tenants: int) -> Scenario:
    text = ('duration_s = 1\n[[arrivals]]\nshape = "constant"\nrate = 1000\n'
            '[[class]]\nname = "view"\ndeadline_ms = 5000\naim_ms = 300\n[clients]\nconnections = 64\n'
            f"[sidecars]\nsockets = 16000\n[[upstreams]]\ncount = {upstreams}\n")
    text += "".join(f'[[tenant]]\nname = "t{i}"\n' for i in range(tenants))
    return parse(text, "bench", Path("."))


@contextlib.asynccontextmanager
async def relay(kind: str, target: Address) -> AsyncIterator[tuple[int, Address]]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "bench.relays", kind, f"{target[0]}:{target[1]}", stdout=asyncio.subprocess.PIPE)
    try:
        assert process.stdout is not None
        yield process.pid, ("127.0.0.1", int(await process.stdout.readline()))
    finally:
        process.kill()
        await process.wait()


def new_run() -> str:
    """A name whose request ids no measurement before it has used: a sidecar remembers them."""
    return f"m{next(_runs)}"


async def cost_us(pid: int, address: Address, callers: int, seconds: float) -> float:
    """CPU a request, after as long a warm-up as half of the measurement. A request that is not served spoils it."""
    await closed_loop(address, VIEW, callers, seconds / 2, new_run(), "t0")
    before_s = process_cpu_s(pid)
    samples = await closed_loop(address, VIEW, callers, seconds, new_run(), "t0")
    used_s = process_cpu_s(pid) - before_s
    other = [s for s in samples if s.end != End.SERVED]
    if len(other) > len(samples) / 100:
        raise RuntimeError(f"{len(other)} of {len(samples)} were not served, the first as {End(other[0].end).name}")
    return used_s * 1e6 / max(1, len(samples))


@contextlib.asynccontextmanager
async def idle(address: Address, count: int) -> AsyncIterator[None]:
    """So many connections that have asked once and now say nothing."""
    found = []
    for number in range(count):
        reader, writer = await asyncio.open_connection(*address)
        found.append(writer)
        writer.write(b"GET /x HTTP/1.1\r\nHost: s\r\nX-Txn: i%d\r\nX-Lane: view\r\nX-Org: t0\r\n"
                     b"X-Remaining: 5000m\r\n\r\n" % number)
        await reader.readuntil(b"\r\n\r\n")
    try:
        yield
    finally:
        for writer in found:
            writer.close()


async def against(arguments: argparse.Namespace) -> None:
    """This tree's sidecar and another's in turns of a second each, the first of a pair changing."""
    for upstreams in (int(n) for n in arguments.upstreams.split(",")):
        s = scenario(upstreams, 1)
        check_limits(s)
        async with (started_site(s, lambda mark: None) as site,
                    started_sidecars(s, site.discovery, 1_000.0) as here,
                    started_sidecars(s, site.discovery, 1_000.0, Path(arguments.vs)) as there):
            pairs = []
            for turn in range(arguments.rounds):
                costs = {}
                for name, ((process, address),) in ((("here", here), ("there", there)) if turn % 2 else
                                                    (("there", there), ("here", here))):
                    costs[name] = await cost_us(process.pid, address, arguments.callers, arguments.seconds)
                pairs.append(costs)
                print(f"  {costs['here']:.1f} {costs['there']:.1f}", file=sys.stderr)
        ratios = sorted(pair["here"] / pair["there"] for pair in pairs)
        medians = [statistics.median(pair[name] for pair in pairs) for name in ("here", "there")]
        print(f"{upstreams} upstreams, {len(pairs)} pairs: here {medians[0]:.1f} us, there {medians[1]:.1f} us, ratio "
              f"{statistics.median(ratios):.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f})", flush=True)


async def flame(pid: int, address: Address, callers: int, seconds: float, file: str) -> None:
    tool = shutil.which("py-spy")
    if tool is None:
        print("--flame: expected py-spy (pip install 'ironscale[bench]'), found none", file=sys.stderr)
        return
    process = await asyncio.create_subprocess_exec(
        tool, "record", "-r", "500", "-d", str(int(seconds)), "-o", file, "--native", "--pid", str(pid))
    await closed_loop(address, VIEW, callers, seconds + 0.5, new_run())
    await process.wait()


async def run(arguments: argparse.Namespace) -> dict[str, float]:
    numbers = [int(n) for n in arguments.upstreams.split(",")]
    found: dict[str, list[float]] = {}

    async def measure(name: str, pid: int, address: Address, callers: int) -> None:
        value = await cost_us(pid, address, callers, arguments.seconds)
        found.setdefault(name, []).append(value)
        print(f"  {name}: {value:.1f} us", file=sys.stderr)

    for turn in range(arguments.rounds):
        print(f"round {turn + 1}", file=sys.stderr)
        async with started_site(scenario(14, 1), lambda mark: None) as site:
            target = "127.0.0.1", site.ports[0]
            for kind in ("bytes", *(["aiohttp"] if find_spec("aiohttp") else [])):
                async with relay(kind, target) as (pid, address):
                    await measure(kind, pid, address, arguments.callers)
        plays = [(n, arguments.callers, 1, 0) for n in numbers]
        plays += [(14, 3 * arguments.callers, 1, 0), (14, arguments.callers, 1000, 0)]
        plays += [(14, arguments.callers, 1, n) for n in (500, 2000)]
        for upstreams, callers, tenants, quiet in plays:
            s = scenario(upstreams, tenants)
            check_limits(s)
            async with (started_site(s, lambda mark: None) as site,
                        started_sidecars(s, site.discovery, 1_000.0) as sidecars):
                (process, address), = sidecars
                name = f"sidecar, {upstreams} upstreams, {callers} callers, {tenants} tenants, {quiet} idle"
                async with idle(address, quiet):
                    await measure(name, process.pid, address, callers)
                wanted = arguments.flame and turn == 0 and upstreams == arguments.flame_upstreams
                if wanted and tenants == 1 and not quiet:
                    await flame(process.pid, address, callers, 5, arguments.flame)
    return {name: statistics.median(values) for name, values in found.items()}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else "")
    parser.add_argument("--upstreams", default="14,100,1000")
    parser.add_argument("--callers", type=int, default=32)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--flame", default="")
    parser.add_argument("--flame-upstreams", type=int, default=14)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--vs", default="")
    arguments = parser.parse_args()
    if arguments.vs:
        uvloop.run(against(arguments))
        return
    found = uvloop.run(run(arguments))
    if "--json" in sys.argv:
        print(json.dumps(found))
        return
    first = next((v for name, v in found.items() if name.startswith("sidecar")), 0.0)
    print(f"{'':<52}{'us':>8}{'of bytes':>10}{'of aiohttp':>12}{'of the first sidecar':>22}")
    for name, value in found.items():
        plain = found.get("aiohttp")
        print(f"{name:<52}{value:8.1f}{value / found['bytes']:10.2f}{f'{value / plain:12.2f}' if plain else '-':>12}"
              f"{value / first:22.2f}")


if __name__ == "__main__":
    main()
