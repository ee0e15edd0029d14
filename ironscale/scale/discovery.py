"""Measures the traffic between sidecars and discovery, by the number of sidecars, the length of the list and the kind
of change.

A simulated watch combines the real discovery client with the real decision when to ask, without a data path; hundreds
share a process. The stand-in discovery runs in a process of its own and counts calls and bytes. It can be made to
serve calls one at a time, each for a given time, as a discovery that is shared by many clients does.
`python -m ironscale.scale.discovery` is either kind of process: it reads a JSON object, then a JSON line for each
command, and writes a JSON line as the answer to each.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import uvloop

from ironscale import settings
from ironscale.balance import Balancer
from ironscale.control.processes import process_cpu_s
from ironscale.interface import ListKind, SetTimer, Subscribe, TimerFired, UpstreamsUpdated
from ironscale.load.run import RunError as ChildError
from ironscale.load.run import child, sidecar_settings
from ironscale.net.config import CALL_US
from ironscale.net.discovery import Discovery, _Call
from ironscale.net.listing import Listing, ListParser
from ironscale.scale.path import percentile, raise_file_limit, scenario
from ironscale.scale.run import RunContext, RunError
from ironscale.standins.discovery import ListedDiscovery

ROLE = "discovery"
WATCHES_PER_PROCESS = 250  # simulated watches per process
FIRST_LISTS_TIMEOUT_S = 60.0  # time limit for all to receive their list
REST_S, MEASURED_CHANGES, FETCH_INTERVAL_S = 6.0, 20, 5.0
CALL_TIMES_MS = (0.0, 25.0, 50.0)  # per call of a shared discovery: unknown, so several values are tried


def list_entry(number: int, state: str = "ready", started_ms: int = 0) -> dict[str, Any]:
    """An entry of the list, as long as an upstream's entry in the protocol's example."""
    return {"instanceId": f"s-{number:08x}", "hostPort": f"10.{number >> 16 & 255}.{number >> 8 & 255}."
            f"{number & 255}:9000", "zone": "abcdefghijkl"[number % 12], "machineType": "m2", "cell": number % 4,
            "lifecycle": state, "weight": 1.0, "startedAtMs": started_ms}


class CountingDiscovery(ListedDiscovery):
    """A stand-in discovery that counts the bytes it writes. If `call_time_s` is not 0, it serves calls one at a time,
    each for that long."""

    def __init__(self, call_time_s: float = 0.0) -> None:
        super().__init__()
        self.call_time_s, self.call_lock = call_time_s, asyncio.Lock()
        self.written_bytes = 0
        self.encoded_list: tuple[int, bytes] = 0, b""  # generation and encoded form of the whole list

    def body(self) -> bytes:
        """The encoded list, cached for each generation, as the stand-in's own CPU time is not of interest."""
        if self.encoded_list[0] != self.generation:
            self.encoded_list = self.generation, json.dumps(self.whole(), separators=(",", ":")).encode()
        return self.encoded_list[1]

    def tell(self, data: dict[str, Any] | None) -> None:
        raw = (json.dumps(data, separators=(",", ":")).encode() if data is not None else b"") + b"\n"
        line = b"%x\r\n%s\r\n" % (len(raw), raw)
        for writer in list(self.watches):
            self.write(writer, line)

    def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        self.written_bytes += len(data)
        writer.write(data)

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                if self.call_time_s:
                    # also for a caller that has given up meanwhile, as a shared discovery does
                    async with self.call_lock:
                        await asyncio.sleep(self.call_time_s)
                body = self.body()
                if b"watch=1" not in head:
                    self.write(writer, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                    continue
                self.write(writer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n"
                           % (len(body) + 1, body))
                self.watches.add(writer)
                await reader.read()
                return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()


class CountingCall(_Call):
    """Adds the bytes that it sends and receives to the counts of its client."""

    def data_received(self, data: bytes) -> None:
        assert isinstance(self.discovery, CountingClient)
        self.discovery.counts["in"] += len(data)
        super().data_received(data)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(self.discovery, CountingClient)
        self.discovery.counts["out"] += len(self.request)
        super().connection_made(transport)


class CountingClient(Discovery):
    """A discovery client that counts its calls and bytes."""

    counts: Counter[str]

    def new_watch_call(self, max_first_data_s: float = math.inf) -> CountingCall:
        self.counts["calls"] += 1
        return CountingCall(self, f"/registry/instances?watch=1&after={self.generation}", max_first_data_s)

    def fetch(self) -> None:
        self.counts["calls"] += 1
        self.fetches.add(CountingCall(self, "/registry/instances"))


class SimulatedWatch:
    """A simulated sidecar: it asks when the balancer decides to, and discards the lists that it receives."""

    def __init__(self, host: WatchHost, number: int) -> None:
        self.host = host
        self.loop = asyncio.get_running_loop()
        self.started_s = self.loop.time()
        self.first_list_s = -1.0  # time from its start to its first list; -1 before that
        self.client = CountingClient(
            host.address, ListParser([], []), 0, self.on_list, CALL_US / 1e6, lambda text: None
        )
        self.client.counts = host.counts
        options = settings.read_settings(settings.flatten_object(host.settings))
        self.balancer = Balancer(options, random.Random(f"{host.seed}/{number}").randrange(1 << 62), self.now_us())
        self.timer: asyncio.TimerHandle | None = None
        self.handle_event(UpstreamsUpdated(ListKind.CACHED, []))

    def now_us(self) -> int:
        # + 1, as the balancer takes a time of 0 to mean never
        return int((self.loop.time() - self.started_s) * 1e6) + 1

    def handle_event(self, event: Any) -> None:
        for action in self.balancer.handle(self.now_us(), event):
            if isinstance(action, Subscribe) and action.active:
                self.client.subscribe()
            elif isinstance(action, SetTimer):
                if self.timer is not None:
                    self.timer.cancel()
                delay_s = (action.at_us - self.now_us()) / 1e6
                self.timer = self.loop.call_later(
                    max(0.0, delay_s) + 0.001, self.handle_event, TimerFired(action.token)
                )

    def on_list(self, kind: ListKind, listed: Listing | None) -> None:
        if kind is ListKind.FAILED:
            self.host.counts["failed"] += 1
        elif listed is not None:
            self.host.counts["lists"] += kind is ListKind.FULL
            self.host.counts["entries"] += len(listed.members)
            if self.first_list_s < 0:
                self.first_list_s = self.loop.time() - self.started_s
        self.handle_event(UpstreamsUpdated(kind, []))

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.client.close()


class WatchHost:
    """All simulated watches of one process."""

    def __init__(self, spec: Mapping[str, Any]) -> None:
        self.address = ("127.0.0.1", int(spec["port"]))
        self.settings, self.seed = spec["settings"], str(spec["seed"])
        self.counts: Counter[str] = Counter()
        self.watches: list[SimulatedWatch] = []

    async def handle(self, command: Mapping[str, Any]) -> dict[str, Any]:
        if "start" in command:
            self.watches = [SimulatedWatch(self, number) for number in range(command["start"])]
        elif "fetch" in command:
            for watch in self.watches:
                watch.client.fetch()
        return {**self.counts, "first_s": [watch.first_list_s for watch in self.watches]}


class DiscoveryServer:
    """The process of the stand-in discovery, with commands that change its list."""

    def __init__(self, spec: Mapping[str, Any]) -> None:
        self.discovery = CountingDiscovery(spec["turn_ms"] / 1000)
        self.discovery.put(*(list_entry(number) for number in range(spec["upstreams"])))
        self.next_number = int(spec["upstreams"])

    async def handle(self, command: Mapping[str, Any]) -> dict[str, Any]:
        for _ in range(command.get("change", 0)):  # changes one entry, sent as a separate update
            self.discovery.put(list_entry(self.next_number - 1, "draining"))
        for _ in range(command.get("replace", 0)):  # an upstream drains, is gone, and a new cold one replaces it
            replaced = list_entry(self.next_number - 1)
            for entry in ({**replaced, "lifecycle": "draining"}, {**replaced, "lifecycle": "gone"},
                          list_entry(self.next_number, started_ms=time.time_ns() // 1_000_000)):
                self.discovery.put(entry)
            self.next_number += 1
        return {"port": self.discovery.port, "calls": self.discovery.calls, "bytes": self.discovery.written_bytes,
                "whole": len(self.discovery.body()), "watches": len(self.discovery.watches)}


@dataclass(slots=True)
class ChildProcess:
    """A process of either kind, with its input and output."""

    process: asyncio.subprocess.Process
    port: int = 0

    async def ask(self, **command: Any) -> dict[str, Any]:
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(json.dumps(command).encode() + b"\n")
        line = await self.process.stdout.readline()
        if not line:
            raise RunError("a process of simulated watches or of their discovery ended too early")
        answer: dict[str, Any] = json.loads(line)
        return answer


class DiscoverySetup:
    """A stand-in discovery and the simulated watches that use it."""

    def __init__(self, server: ChildProcess, hosts: list[tuple[ChildProcess, int]]) -> None:
        self.server, self.hosts = server, hosts
        self.first_list_s: list[float] = []

    async def ask_all(self, **command: Any) -> Counter[str]:
        counts: Counter[str] = Counter(looked=1)
        self.first_list_s = []
        for answer in await asyncio.gather(*(host.ask(**command) for host, _ in self.hosts)):
            self.first_list_s += answer.pop("first_s")
            counts.update(answer)
        return counts

    async def start(self) -> float:
        """Starts all watches at once and waits until each has its list. Returns the seconds that took."""
        started_s = time.monotonic()
        await asyncio.gather(*(host.ask(start=count) for host, count in self.hosts))
        while await self.ask_all() and min(self.first_list_s) < 0:
            if time.monotonic() > started_s + FIRST_LISTS_TIMEOUT_S:
                raise RunError(f"discovery: expected a list for all within {FIRST_LISTS_TIMEOUT_S:g} s, got none for "
                               f"{self.first_list_s.count(-1.0)} of {len(self.first_list_s)}")
            await asyncio.sleep(0.1)
        return time.monotonic() - started_s

    def cpu_s(self) -> float:
        """CPU seconds of the processes of the simulated watches."""
        return sum(process_cpu_s(host.process.pid) for host, _ in self.hosts)


@contextlib.asynccontextmanager
async def started_discovery(
    upstreams: int, watches: int, turn_ms: float = 0.0, per_process: int = WATCHES_PER_PROCESS, seed: str = "discovery"
) -> AsyncIterator[DiscoverySetup]:
    raise_file_limit(2 * watches + 256)
    load_scenario = scenario(max(1, upstreams), watches)
    pipes = asyncio.subprocess.PIPE
    async with contextlib.AsyncExitStack() as stack:
        async def start_process(**spec: Any) -> ChildProcess:
            process = ChildProcess(await stack.enter_async_context(
                child("ironscale.scale.discovery", stdin=pipes, stdout=pipes)))
            process.port = (await process.ask(**spec)).get("port", 0)
            return process

        server = await start_process(role="server", upstreams=upstreams, turn_ms=turn_ms)
        counts = [min(per_process, watches - first) for first in range(0, watches, per_process)]
        hosts = [
            (
                await start_process(
                    role="herd",
                    port=server.port,
                    seed=f"{seed}/{number}",
                    settings=sidecar_settings(load_scenario, 0, 1.0),
                ),
                count,
            )
            for number, count in enumerate(counts)
        ]
        yield DiscoverySetup(server, hosts)


@dataclass(slots=True)
class TrafficMeasurement:
    """The results for one number of watches and one length of the list."""

    upstreams: int
    watches: int
    whole_bytes: float  # read by one watch for the whole list
    whole_cpu_ms: float  # CPU time of one watch to read the whole list
    rest_bytes_s: float  # read by one watch while nothing changes
    change_bytes: float  # read by one watch for a changed entry
    change_cpu_us: float
    replaced_bytes: float  # read by one watch for a replaced upstream
    asked_bytes_s: float  # read by one watch if it fetched the list every FETCH_INTERVAL_S instead; 0: not measured
    served_bytes_s: float  # written by discovery to all watches while nothing changes
    first_list_s: list[float]  # time from a simultaneous start of all to each one's list
    calls: int  # made by all watches until then
    start_bytes: int  # written by discovery until then


async def measure_traffic(
    upstreams: int, watches: int, rest_s: float = REST_S, asked: bool = True
) -> TrafficMeasurement:
    async with started_discovery(upstreams, watches) as setup:
        idle_s = setup.cpu_s()
        await setup.start()
        after_start, first_s, server = await setup.ask_all(), setup.first_list_s, await setup.server.ask()
        whole_s = setup.cpu_s() - idle_s
        await asyncio.sleep(rest_s)
        after_rest, after = await setup.ask_all(), await setup.server.ask()
        change_s = setup.cpu_s()
        await setup.server.ask(change=MEASURED_CHANGES)
        after_changes = await wait_for_entries(setup, after_rest["entries"] + MEASURED_CHANGES * watches)
        change_s = setup.cpu_s() - change_s
        await setup.server.ask(replace=MEASURED_CHANGES)
        after_replacements = await wait_for_entries(setup, after_changes["entries"] + 3 * MEASURED_CHANGES * watches)
        after_fetch = after_replacements
        if asked:  # a fetched list counts only if it is as new as the watch's, which is the case here
            await setup.ask_all(fetch=True)
            after_fetch = await wait_for_entries(setup, after_replacements["entries"] + upstreams * watches)
        each = watches * MEASURED_CHANGES
        return TrafficMeasurement(
            upstreams,
            watches,
            after_start["in"] / watches,
            whole_s * 1e3 / watches,
            (after_rest["in"] - after_start["in"]) / watches / rest_s,
            (after_changes["in"] - after_rest["in"]) / each,
            change_s * 1e6 / each,
            (after_replacements["in"] - after_changes["in"]) / each,
            (after_fetch["in"] - after_replacements["in"]) / watches / FETCH_INTERVAL_S,
            (after["bytes"] - server["bytes"]) / rest_s,
            first_s,
            server["calls"],
            server["bytes"],
        )


async def wait_for_entries(setup: DiscoverySetup, entries: int) -> Counter[str]:
    """Waits until the watches together have received this many entries. Returns their counts."""
    started_s = time.monotonic()
    while (counts := await setup.ask_all())["entries"] < entries:
        if time.monotonic() > started_s + FIRST_LISTS_TIMEOUT_S:
            raise RunError(
                f"discovery: expected {entries} entries within {FIRST_LISTS_TIMEOUT_S:g} s, got {counts['entries']}"
            )
        await asyncio.sleep(0.05)
    return counts


async def measure_by_length(context: RunContext, lists: Sequence[int], watches: int, repeats: int) -> None:
    units = {"whole_bytes": "bytes", "whole_cpu_ms": "ms", "rest_bytes_s": "bytes/s", "change_bytes": "bytes",
               "change_cpu_us": "us", "replaced_bytes": "bytes", "asked_bytes_s": "bytes/s"}
    measurements = [
        await measure_traffic(upstreams, watches, rest_s=4.0) for _ in range(repeats) for upstreams in lists
    ]
    for figure, unit in units.items():
        points = {n: [round(getattr(t, figure), 3) for t in measurements if t.upstreams == n] for n in lists}
        context.add_slope(f"discovery.list.{figure}", ROLE, "upstreams in the list", unit, points,
                        f"read by one sidecar, {watches} hollow watches"
                        + (f"; were it asked for every {FETCH_INTERVAL_S:g} s" if figure == "asked_bytes_s" else ""))


async def measure_by_sidecars(context: RunContext, sizes: Sequence[int], upstreams: int) -> None:
    measurements = [await measure_traffic(upstreams, watches, asked=False) for watches in sizes]
    for figure, unit, values in (
        ("served_bytes_s", "bytes/s", [[t.served_bytes_s] for t in measurements]),
        ("start.calls", "calls", [[float(t.calls)] for t in measurements]),
        ("start.bytes", "bytes", [[float(t.start_bytes)] for t in measurements]),
        ("start.p99_s", "s", [[percentile(t.first_list_s, 0.99)] for t in measurements]),
        ("change.bytes", "bytes", [[t.change_bytes * t.watches] for t in measurements]),
    ):
        context.add_slope(f"discovery.{figure}", ROLE, "sidecars", unit, dict(zip(sizes, values, strict=True)),
                        f"written by discovery, a list of {upstreams:,}; all sidecars start at once")


async def measure_zone_restart(context: RunContext, sidecars: int, upstreams: int) -> None:
    for turn_ms in CALL_TIMES_MS:
        async with started_discovery(upstreams, sidecars, turn_ms) as setup:
            await setup.start()
            counts, server = await setup.ask_all(), await setup.server.ask()
            name, note = f"discovery.zone_back.{turn_ms:g}_ms", (
                f"{sidecars} sidecars start at once, a list of {upstreams:,}, {turn_ms:g} ms a call in turn (assumed)")
            context.add_reading(f"{name}.p50_s", ROLE, "s", [percentile(setup.first_list_s, 0.5)], note)
            context.add_reading(f"{name}.last_s", ROLE, "s", [max(setup.first_list_s)], note)
            context.add_reading(f"{name}.failed", ROLE, "calls", [counts["failed"]], note)
            context.add_reading(f"{name}.calls", ROLE, "calls", [server["calls"]], note)
            context.add_reading(f"{name}.bytes", ROLE, "bytes", [server["bytes"]], note)


async def measure(context: RunContext) -> None:
    """Measures by length of the list, by number of sidecars, and the simultaneous restart of a whole zone."""
    size = context.size
    context.check_limits(0, 0, other_processes=2 + -(-max(size.play.sizes) // WATCHES_PER_PROCESS))
    try:
        await measure_by_length(context, size.play.lists, 20, min(2, size.play.repeats))
        await measure_by_sidecars(context, size.play.sizes, size.play.lists[-1])
        await measure_zone_restart(context, round(size.fleet.sidecars / size.fleet.zones), size.play.lists[-1])
    except ChildError as error:
        raise RunError(str(error)) from error


async def main() -> None:
    loop = asyncio.get_running_loop()
    spec = json.loads(await loop.run_in_executor(None, sys.stdin.readline))
    process: WatchHost | DiscoveryServer = DiscoveryServer(spec) if spec["role"] == "server" else WatchHost(spec)
    if isinstance(process, DiscoveryServer):
        await process.discovery.start()
    command: dict[str, Any] = {}
    while True:
        print(json.dumps(await process.handle(command)), flush=True)
        line = await loop.run_in_executor(None, sys.stdin.readline)
        if not line:
            return
        command = json.loads(line)


if __name__ == "__main__":
    uvloop.run(main())
