"""Measures what a call through one sidecar costs, by the length of the sidecar's list.

One real sidecar (the deployed `run`, no operator file) stands between the load generator and stand-in upstreams. The
same arrivals, offset by a third of the mean gap, go directly to an upstream, through a plain byte relay and through the
sidecar, all in the same run, so that disturbances of the machine affect all three alike. The load is open loop: a
call's latency counts from the moment it was due, whether or not earlier calls have ended.

`python -m ironscale.scale.path` is the byte relay; it reads HOST:PORT from its input.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import resource
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, cast

import uvloop

from ironscale.control.processes import process_cpu_s
from ironscale.load import arrivals
from ironscale.load.client import Client, KindSpec, Spec
from ironscale.load.outcome import End, Sample
from ironscale.load.run import Address, Site, child, started_sidecars, started_site
from ironscale.load.run import RunError as ChildError
from ironscale.load.scenario import Scenario, parse
from ironscale.load.schedule import KindMix, Mix, Schedule, build, steady
from ironscale.scale.fit import MIN_SIZES
from ironscale.scale.run import RunContext, RunError

ROUTES = ("direct", "relay", "sidecar")
REQUEST_KIND = KindSpec("view", "idempotent", 5_000_000, False)
CONNECTIONS = 64  # connections of the application open at once on each route
MAX_SOCKETS = 4_096  # the sidecar's socket limit, as set by the platform
WARM_UP_S = 16.0  # pooled connections live 15 s: after that as many are closed as opened
FEW_SIDECARS = 10  # sidecars: too few for each to use only a subset of the upstreams
START_DELAY_S = 0.3
# On a shared machine other programs stall processes for milliseconds. A time slice is quiet if no direct or relayed
# call in it took longer than QUIET_MAX_US; the sidecar's own calls have no influence on the choice.
SLICE_US, QUIET_MAX_US, MIN_QUIET_CALLS = 100_000, 1_500, 200
ROLE = "sidecar data path"
PointsByName = dict[str, list[tuple[float, float, int]]]  # name -> (x, value, repeat)


class RelayConnection(asyncio.Protocol):
    """One side of a connection through the byte relay."""

    def __init__(self, target: Address | None, peer: RelayConnection | None = None) -> None:
        self.target, self.peer = target, peer
        self.transport: asyncio.Transport | None = None
        self.buffered: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.target is not None:
            asyncio.get_running_loop().create_task(self.connect(self.target))

    async def connect(self, target: Address) -> None:
        self.peer = other = RelayConnection(None, self)
        await asyncio.get_running_loop().create_connection(lambda: other, *target)
        for data in self.buffered:
            self.data_received(data)

    def data_received(self, data: bytes) -> None:
        if self.peer is None or self.peer.transport is None:
            self.buffered.append(data)
        else:
            self.peer.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()


async def start_relay(host: str, port: int) -> int:
    """Starts a relay to host and port that runs until this process ends. Returns the port that it listens on."""
    server = await asyncio.get_running_loop().create_server(lambda: RelayConnection((host, port)), "127.0.0.1", 0)
    listening_port: int = server.sockets[0].getsockname()[1]
    return listening_port


@contextlib.asynccontextmanager
async def started_relay(target: Address) -> AsyncIterator[tuple[int, Address]]:
    """Starts the byte relay in a separate process. Yields its process id and address."""
    async with child("ironscale.scale.path", stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE) as process:
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write(f"{target[0]}:{target[1]}\n".encode())
        yield process.pid, ("127.0.0.1", int(await process.stdout.readline()))


def scenario(
    upstreams: int, sidecars: int, deadline_ms: int = REQUEST_KIND.deadline_us // 1000, aim_ms: int = 300
) -> Scenario:
    """Upstreams that answer immediately, and one sidecar whose settings say that there are `sidecars` of them."""
    return parse(
        'duration_s = 1\n[[arrivals]]\nshape = "constant"\nrate = 1\n[[class]]\nname = "view"\n'
        f'deadline_ms = {deadline_ms}\naim_ms = {aim_ms}\n[[tenant]]\nname = "t0"\n[sidecars]\n'
        f"sockets = {MAX_SOCKETS}\nsettings = {{ instances = {sidecars} }}\n[[upstreams]]\ncount = {upstreams}\n",
        "path",
        Path("."),
    )


def paced_schedule(rate: float, seconds: float, seed: str, deadline_us: int = REQUEST_KIND.deadline_us) -> Schedule:
    """A schedule of calls with Poisson arrivals."""
    times = arrivals.poisson(Random(f"{seed}/arrivals"), arrivals.constant(rate, 0, round(seconds * 1e6)))
    return build(steady(times), Mix([KindMix(1.0, deadline_us)]), seed)


def create_client(run: str, address: Address, schedule: Schedule, seconds: float,
              kind: KindSpec = REQUEST_KIND) -> tuple[Client, list[Sample]]:
    """A client for one route, and the list that its samples go into. `schedule` is that of its calls."""
    samples: list[Sample] = []
    spec = Spec(run, (address,), "sidecar", "/api", False, (kind,), ("t0",), CONNECTIONS, 0, 0, round(seconds * 1e6),
                0, 1)
    return Client(spec, schedule, samples.append), samples


def percentile(values: Sequence[float], share: float) -> float:
    """The smallest value such that at least `share` of all values are no larger; 0 without values."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)] if ordered else 0.0


def latencies_us(samples: Iterable[Sample], from_us: float, to_us: float) -> list[int]:
    """Latencies, from when a call was due, of the served calls that were due in the given time."""
    return [s.done_us - s.sched_us for s in samples if from_us <= s.sched_us < to_us and s.end == End.SERVED]


def rss_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


@dataclass(slots=True)
class Snapshot:
    """A snapshot of counters and gauges."""

    at_us: int  # since the start of the run
    cpu_s: dict[str, float]
    upstreams: list[dict[str, int]]
    files: int  # open file descriptors of the sidecar
    rss_mb: float


@dataclass(slots=True)
class ListResult:
    """The results of one sidecar with a list of a given length, from its start."""

    upstreams: int
    snapshots: list[Snapshot] = field(default_factory=list)
    samples: dict[str, list[Sample]] = field(default_factory=dict)

    def spans(self) -> Iterable[tuple[Snapshot, Snapshot]]:
        return zip(self.snapshots, self.snapshots[1:], strict=False)

    def latencies_between(self, route: str, a: Snapshot, b: Snapshot) -> list[int]:
        return latencies_us(self.samples[route], a.at_us, b.at_us)

    def quiet_latencies(self, a: Snapshot, b: Snapshot) -> dict[str, list[int]]:
        """Latencies by route, in the quiet slices between two snapshots."""
        latencies_by_slice: dict[int, dict[str, list[int]]] = {}
        for route, samples in self.samples.items():
            for s in samples:
                if a.at_us <= s.sched_us < b.at_us and s.end == End.SERVED:
                    latencies = latencies_by_slice.setdefault(s.sched_us // SLICE_US, {way: [] for way in ROUTES})[
                        route
                    ]
                    latencies.append(s.done_us - s.sched_us)
        quiet_slices = [took for took in latencies_by_slice.values()
                if max(took["direct"], default=0) <= QUIET_MAX_US and max(took["relay"], default=0) <= QUIET_MAX_US]
        return {way: [us for took in quiet_slices for us in took[way]] for way in ROUTES}

    def outcomes(self) -> Counter[str]:
        """Numbers of calls through the sidecar by outcome, also of those before the first window."""
        return Counter(End(s.end).name.lower() for s in self.samples["sidecar"])

    def points_by_name(self, first: int) -> PointsByName:
        """Metrics by window, numbered from `first`. The direct and relayed calls go to upstream 0, so it is left out
        of the metrics of connections if there are other upstreams."""
        points: PointsByName = {}
        for number, (a, b) in enumerate(self.spans(), first):
            def add(name: str, value: float, number: int = number) -> None:
                points.setdefault(name, []).append((self.upstreams, value, number))

            latencies = {way: self.latencies_between(way, a, b) for way in ROUTES}
            for way in ("relay", "sidecar"):
                add(f"path.cpu_us.{way}", (b.cpu_s[way] - a.cpu_s[way]) * 1e6 / max(1, len(latencies[way])))
                for name, share in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999)):
                    extra_us = percentile(latencies[way], share) - percentile(latencies["direct"], share)
                    add(f"path.any_added_{name}_us.{way}", extra_us)
            quiet = self.quiet_latencies(a, b)
            add("path.quiet_share", len(quiet["sidecar"]) / max(1, len(latencies["sidecar"])))
            if len(quiet["sidecar"]) >= MIN_QUIET_CALLS:
                for way in ("relay", "sidecar"):
                    for name, share in (("p50", 0.5), ("p99", 0.99)):
                        extra_us = percentile(quiet[way], share) - percentile(quiet["direct"], share)
                        add(f"path.added_{name}_us.{way}", extra_us)
            skipped = 1 if self.upstreams > 1 else 0
            opened, taken = (sum(y[key] - x[key] for x, y in zip(a.upstreams[skipped:], b.upstreams[skipped:],
                                                                 strict=True)) for key in ("opened", "taken"))
            add("path.new_connection_share", opened / max(1, taken))
            add("path.opened_per_s", opened / max(1e-9, (b.at_us - a.at_us) / 1e6))
            add("path.connections_held", sum(u["held"] for u in b.upstreams[skipped:]))
            add("path.sidecar_files", b.files)
            add("path.rss_mb", b.rss_mb)
        return points


async def take_snapshot(
    site: Site, marks: asyncio.Queue[dict[str, Any]], pids: dict[str, int], start_ns: int
) -> Snapshot:
    site.say({"look": True})
    marked = await marks.get()
    return Snapshot(
        (time.monotonic_ns() - start_ns) // 1000,
        {name: process_cpu_s(pid) for name, pid in pids.items()},
        marked["upstreams"],
        len(os.listdir(f"/proc/{pids['sidecar']}/fd")),
        rss_mb(pids["sidecar"]),
    )


def raise_file_limit(needed: int) -> None:
    """Raises the soft limit of open files for processes started from now on. Raises OSError if the hard limit is too
    low."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < needed:
        if hard != resource.RLIM_INFINITY and hard < needed:
            raise OSError(f"open files: expected {needed:,} a process, found {hard:,} (`ulimit -Hn`)")
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))


async def measure_list(upstreams: int, sidecars: int, rate: float, warm_up_s: float, window_s: float, windows: int,
               seed: str) -> ListResult:
    load_scenario, result = scenario(upstreams, sidecars), ListResult(upstreams)
    marks: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
    raise_file_limit(2 * upstreams + 8 * CONNECTIONS)
    seconds = warm_up_s + window_s * windows
    schedule = paced_schedule(rate, seconds, seed)
    async with (
        started_site(load_scenario, marks.put_nowait) as site,
        started_relay(("127.0.0.1", site.ports[0])) as (relay_pid, relay),
        started_sidecars(load_scenario, site.discovery, rate * sidecars) as started,
    ):
        ((process, address),) = started
        pids = {"relay": relay_pid, "sidecar": process.pid}
        addresses = {"direct": ("127.0.0.1", site.ports[0]), "relay": relay, "sidecar": address}
        clients = []
        for route in ROUTES:
            client, result.samples[route] = create_client(route, addresses[route], schedule, seconds)
            clients.append(client)
        start_ns = time.monotonic_ns() + round(START_DELAY_S * 1e9)
        for number, client in enumerate(clients):
            client.start(start_ns + round(number / (len(ROUTES) * rate) * 1e9))
        for number in range(windows + 1):
            at_ns = start_ns + round((warm_up_s + number * window_s) * 1e9)
            await asyncio.sleep(max(0.0, (at_ns - time.monotonic_ns()) / 1e9))
            result.snapshots.append(await take_snapshot(site, marks, pids, start_ns))
        for client in clients:
            await client.wait(REQUEST_KIND.deadline_us / 1e6)
    return result


@dataclass(slots=True)
class PathResults:
    """The results of all lengths and rounds of a run."""

    points_by_name: PointsByName = field(default_factory=dict)
    latencies: dict[int, dict[str, list[int]]] = field(default_factory=dict)  # latencies in us, by length and route
    quiet_latencies: dict[int, dict[str, list[int]]] = field(default_factory=dict)  # the same, in quiet slices only
    outcomes: dict[int, Counter[str]] = field(default_factory=dict)

    def add(self, result: ListResult, first: int) -> None:
        for name, points in result.points_by_name(first).items():
            self.points_by_name.setdefault(name, []).extend(points)
        self.outcomes.setdefault(result.upstreams, Counter()).update(result.outcomes())
        ways, quiet_latencies = (
            held.setdefault(result.upstreams, {route: [] for route in ROUTES})
            for held in (self.latencies, self.quiet_latencies)
        )
        for a, b in result.spans():
            quiet = result.quiet_latencies(a, b)
            for way in ROUTES:
                ways[way] += result.latencies_between(way, a, b)
                quiet_latencies[way] += quiet[way]


async def measure_lists(lengths: Sequence[int], rate: float, sidecars: int = 0, warm_up_s: float = WARM_UP_S,
               window_s: float = 8.0, windows: int = 3, rounds: int = 1, seed: str = "path",
               progress: Callable[[str], None] = lambda line: None) -> PathResults:
    """Measures all lengths of the list in each round. The sidecar is told that there are `sidecars` sidecars; 0: one
    for each upstream, as in the planned fleet. If it were told of more, it would reserve capacity for calls of other
    sidecars that nobody sends here."""
    results = PathResults()
    for number in range(rounds):
        for upstreams in lengths:
            progress(f"path: {upstreams} upstreams, round {number + 1} of {rounds}")
            result = await measure_list(
                upstreams, sidecars or upstreams, rate, warm_up_s, window_s, windows, f"{seed}/{number}"
            )
            results.add(result, number * windows)
    return results


UNITS = {"cpu_us": "us", "added_p50_us": "ms", "added_p99_us": "ms", "any_added_p50_us": "ms",
         "any_added_p99_us": "ms", "quiet_share": "of calls", "new_connection_share": "of calls",
         "opened_per_s": "/s", "connections_held": "connections", "sidecar_files": "files", "rss_mb": "MB"}


def add_results(context: RunContext, results: PathResults, prefix: str, note: str) -> None:
    """Adds slopes if there are at least three lengths, else readings by length; also the latencies of each route over
    all windows."""
    for name, points in results.points_by_name.items():
        _, figure, way = (*name.split("."), "call")[:3]
        if figure not in UNITS:
            continue
        factor = 1e-3 if UNITS[figure] == "ms" else 1.0
        by_length: dict[int, list[float]] = {}
        for length, value, _ in points:
            by_length.setdefault(int(length), []).append(round(value * factor, 5))
        metric = figure.replace("_us", "_ms") if factor < 1 else figure
        full_name = f"{prefix}.{'call' if way == 'sidecar' else way}.{metric}"
        if len(by_length) >= MIN_SIZES:
            context.add_slope(full_name, ROLE, "upstreams in the list", UNITS[figure], by_length, note)
        else:
            for length, values in by_length.items():
                context.add_reading(f"{full_name}.{length}", ROLE, UNITS[figure], values, note)
    # over all windows together, as one window has too few calls for the 99.9th percentile
    for upstreams in results.latencies:
        for kind, ways in (("any", results.latencies[upstreams]), ("quiet", results.quiet_latencies[upstreams])):
            for way, latencies in ways.items():
                for label, share in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999)):
                    context.add_reading(f"{prefix}.{kind}.{way}.{label}_ms.{upstreams}", ROLE, "ms",
                                      [percentile(latencies, share) / 1000], f"{len(latencies)} calls; {note}")
        ends = results.outcomes[upstreams]
        context.add_reading(f"{prefix}.unserved_share.{upstreams}", ROLE, "of calls",
                          [1 - ends["served"] / max(1, ends.total())], f"{dict(ends)}; {note}")


async def measure(context: RunContext) -> None:
    """Measures all lists of the size file, and the longest once more with a sidecar that is told of few others."""
    lists, rate, windows = context.size.play.lists, context.size.calls_per_s_each, context.size.play.repeats
    context.check_limits(0, 0, real_count=1, other_processes=2)
    note = (f"{rate:.0f} calls a second, drawn; any_: all calls, else slices of {SLICE_US // 1000} ms in which neither "
            f"the direct way nor the byte relay took over {QUIET_MAX_US / 1000:g} ms; the sidecar is told of ")
    try:
        results = await measure_lists(lists, rate, windows=windows, progress=context.progress)
        add_results(context, results, "path", note + "a sidecar for each upstream")
        few_results = await measure_lists(
            lists[-1:], rate, sidecars=FEW_SIDECARS, windows=windows, progress=context.progress
        )
        add_results(context, few_results, "path_few", note + f"{FEW_SIDECARS} sidecars")
    except ChildError as error:
        raise RunError(str(error)) from error


async def main() -> None:
    host, _, port = sys.stdin.readline().strip().rpartition(":")
    print(await start_relay(host, int(port)), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main())
