"""Measures calls through a chain of real sidecars: the attempts at the bottom for one call at the top, and how much of
the deadline remains at each hop.

Each hop is a real sidecar and an application that only calls the next sidecar. The bottom is the last application, a
stand-in that is healthy, slow, or fails a random share of calls. The same applications are also called without
sidecars in between, to measure their own share of the latency. Applications never retry: all retries come from
sidecars. An application answers 500 if its own call fails, passes on the rest of its caller's deadline less its own
time, and cancels its call when its caller disconnects.

`python -m ironscale.scale.chain` is the process of the applications and the bottom. It reads a JSON object (`hops`,
`copies`, `seed`), then lines of `{"sidecars": [port, ...]}`, `{"bottom": {...}}` or `{"look": true}`. It writes the
ports that it listens on, and for each look the counts since the previous one, by run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, cast

import httptools
import uvloop

from ironscale.load.client import KindSpec
from ironscale.load.outcome import Sample
from ironscale.load.run import Address, child, started_sidecars
from ironscale.load.run import RunError as ChildError
from ironscale.scale.model import extrapolate
from ironscale.scale.path import ROLE, create_client, latencies_us, paced_schedule, percentile, scenario
from ironscale.scale.run import RunContext, RunError
from ironscale.standins.discovery import ListedDiscovery

REQUEST_KIND = KindSpec("view", "idempotent", 1_000_000, False)
LATENCY_AIM_MS = 300
COPIES = 3  # instances of each application: the upstreams in each list
LENGTHS = (1, 2, 4, 8)
START_DELAY_S = 0.2
NOTE = (
    f"{COPIES} copies of each application, aim {LATENCY_AIM_MS} ms, deadline {REQUEST_KIND.deadline_us // 1000} ms; "
    "applications answer 500 for what was not served to them, and repeat nothing"
)
# `first`: the number of attempts of each call that always fail
HEALTHY: Mapping[str, Any] = {"fails": 0.0, "first": 0, "slow_share": 0.0, "slow_ms": 0.0}
BOTTOM_BEHAVIOURS: dict[str, Mapping[str, Any]] = {
    "well": HEALTHY,
    "fails 0.2": {**HEALTHY, "fails": 0.2},
    "fails 0.5": {**HEALTHY, "fails": 0.5},
    "fails 1": {**HEALTHY, "fails": 1.0},
    "slow 0.2": {**HEALTHY, "slow_share": 0.2, "slow_ms": 400.0},
    "slow 1": {**HEALTHY, "slow_share": 1.0, "slow_ms": 400.0},
}


def encode_response(status: int, body: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def parse_remaining_us(value: bytes) -> int:
    """Parses `480m` (milliseconds) or `480000u` (microseconds); 0 for any other unit or an empty value."""
    number, unit = value[:-1], value[-1:]
    return int(float(number) * {b"m": 1_000, b"u": 1}.get(unit, 0)) if number else 0


class LevelCounts:
    """The counts of one level in one run."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()  # attempts, by the call at the top that they belong to
        self.remaining_us: list[int] = []
        self.answers: Counter[str] = Counter()  # statuses that the next level answered to this level's application


class NextHopConnection(asyncio.Protocol):
    """A connection from an application to the next sidecar; it carries one call at a time."""

    def __init__(self, level: Level) -> None:
        self.level = level
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.on_response: Callable[[int], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_complete(self) -> None:
        assert self.parser is not None and self.transport is not None
        on_end, self.on_response = self.on_response, None
        if self.parser.should_keep_alive():
            self.level.idle_connections.append(self)
        else:
            self.transport.close()
        if on_end is not None:
            on_end(self.parser.get_status_code())

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.level.idle_connections:
            self.level.idle_connections.remove(self)
        self.parser = self.transport = None
        on_end, self.on_response = self.on_response, None
        if on_end is not None:
            on_end(0)


class ServedConnection(asyncio.Protocol):
    """An accepted connection at an application or the bottom."""

    def __init__(self, level: Level) -> None:
        self.level = level
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.pending_call: NextHopConnection | asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        assert self.parser is not None and self.transport is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        self.level.on_call(self)

    def respond(self, status: int) -> None:
        self.pending_call = None
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_response(status, b"done" if status == 200 else b""))

    def connection_lost(self, exc: Exception | None) -> None:
        self.parser = self.transport = None
        pending_call, self.pending_call = self.pending_call, None
        if isinstance(pending_call, NextHopConnection):  # the caller has disconnected, so its call is cancelled
            pending_call.on_response = None
            pending_call.abort()
        elif pending_call is not None:
            pending_call.cancel()


class Level:
    """All copies of the application at one depth, or the bottom. `next_address` is where the application calls;
    the bottom has none."""

    def __init__(self, applications: ChainApplications, depth: int) -> None:
        self.applications, self.depth = applications, depth
        self.next_address: Address | None = None
        self.idle_connections: list[NextHopConnection] = []
        self.counts: defaultdict[str, LevelCounts] = defaultdict(LevelCounts)
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, copies: int) -> list[int]:
        loop = asyncio.get_running_loop()
        self.servers = [await loop.create_server(lambda: ServedConnection(self), "127.0.0.1", 0) for _ in range(copies)]
        return [server.sockets[0].getsockname()[1] for server in self.servers]

    def on_call(self, served: ServedConnection) -> None:
        root = served.headers.get(b"x-txn", b"").decode("latin-1").partition(".")[0]
        remaining_us = parse_remaining_us(served.headers.get(b"x-remaining", b"0u"))
        counts = self.counts[root.partition("-")[0]]
        counts.calls[root] += 1
        counts.remaining_us.append(remaining_us)
        if self.next_address is None:
            self.applications.at_bottom(served, counts.calls[root])
            return
        received_us = time.monotonic_ns() // 1000

        def payload() -> bytes:
            self.applications.last_attempt += 1
            remaining_now_us = max(1, remaining_us - (time.monotonic_ns() // 1000 - received_us))
            return (b"GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Txn: %s.%x\r\nX-Lane: view\r\nX-Org: t0\r\n"
                    b"X-Remaining: %du\r\n\r\n" % (root.encode(), self.applications.last_attempt, remaining_now_us))

        def on_response(status: int) -> None:
            counts.answers[str(status)] += 1
            served.respond(200 if status == 200 else 500)

        if self.idle_connections:
            self.send_call(self.idle_connections.pop(), served, payload(), on_response)
            return
        task = asyncio.get_running_loop().create_task(self.connect(served, payload, on_response))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        served.pending_call = task

    def send_call(
        self,
        connection: NextHopConnection,
        served: ServedConnection,
        payload: bytes,
        on_response: Callable[[int], None],
    ) -> None:
        assert connection.transport is not None
        served.pending_call, connection.on_response = connection, on_response
        connection.transport.write(payload)

    async def connect(
        self, served: ServedConnection, payload: Callable[[], bytes], on_response: Callable[[int], None]
    ) -> None:
        assert self.next_address is not None
        connection = NextHopConnection(self)
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection, *self.next_address)
        except OSError:
            on_response(0)
        else:
            self.send_call(connection, served, payload(), on_response)

    def take_counts(self) -> dict[str, Any]:
        """The counts since the previous call of this method, by run."""
        counts, self.counts = self.counts, defaultdict(LevelCounts)
        return {run: {"calls": len(s.calls), "attempts": s.calls.total(), "most": max(s.calls.values()),
                      "left_ms": [percentile(s.remaining_us, share) / 1000 for share in (0.01, 0.5, 0.99)],
                      "got": dict(s.answers)} for run, s in counts.items()}


class ChainApplications:
    """The applications and the bottom of two chains: one with sidecars, one without."""

    def __init__(self, hops: int, copies: int, seed: str) -> None:
        self.random = Random(seed)
        self.copies, self.last_attempt = copies, 0
        self.bottom: Mapping[str, Any] = HEALTHY
        self.levels = [Level(self, depth) for depth in range(hops)]
        self.bare = [Level(self, depth) for depth in range(hops)]
        self.lists = [ListedDiscovery() for _ in range(hops)]

    async def start(self) -> dict[str, Any]:
        for depth, (level, listed) in enumerate(zip(self.levels, self.lists, strict=True)):
            ports = await level.listen(self.copies)
            await listed.start()
            listed.put(*({"instanceId": f"s-{depth}-{i}", "hostPort": f"127.0.0.1:{port}", "zone": "a",
                          "machineType": "large", "cell": 0, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0}
                         for i, port in enumerate(ports)))
        ports = [(await level.listen(1))[0] for level in self.bare]
        for level, port in zip(self.bare, ports[1:], strict=False):
            level.next_address = ("127.0.0.1", port)
        return {"lists": [listed.port for listed in self.lists], "bare": ports}

    def at_bottom(self, served: ServedConnection, attempt: int) -> None:
        failure_draw, slowness_draw = self.random.random(), self.random.random()
        status = 500 if failure_draw < self.bottom["fails"] or attempt <= self.bottom["first"] else 200
        if slowness_draw < self.bottom["slow_share"]:
            asyncio.get_running_loop().call_later(self.bottom["slow_ms"] / 1000, served.respond, status)
        else:
            served.respond(status)

    def handle(self, command: dict[str, Any]) -> dict[str, Any] | None:
        if "sidecars" in command:  # the first sidecar is called by the load generator
            for level, port in zip(self.levels, command["sidecars"][1:], strict=False):
                level.next_address = ("127.0.0.1", port)
        elif "bottom" in command:
            self.bottom = command["bottom"]
        elif command.get("look"):
            return {
                "levels": [level.take_counts() for level in self.levels],
                "bare": [level.take_counts() for level in self.bare],
            }
        return None


@dataclass(slots=True)
class Chain:
    """A running chain: the process of the applications, and the addresses of the sidecars from the top down."""

    process: asyncio.subprocess.Process
    sidecars: list[Address]
    bare: list[Address]

    def send(self, data: Mapping[str, Any]) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(data).encode() + b"\n")

    async def take_counts(self) -> dict[str, Any]:
        assert self.process.stdout is not None
        self.send({"look": True})
        counts: dict[str, Any] = json.loads(await self.process.stdout.readline())
        return counts


@contextlib.asynccontextmanager
async def started_chain(
    hops: int,
    copies: int = COPIES,
    rate: float = 100.0,
    seed: str = "chain",
    kind: KindSpec = REQUEST_KIND,
    aim_ms: int = LATENCY_AIM_MS,
) -> AsyncIterator[Chain]:
    """Starts a chain of `hops` real sidecars, each with a list of the applications below it."""
    async with contextlib.AsyncExitStack() as stack:
        process = await stack.enter_async_context(
            child("ironscale.scale.chain", stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE))
        chain = Chain(process, [], [])
        chain.send({"hops": hops, "copies": copies, "seed": seed})
        assert process.stdout is not None
        listening = json.loads(await process.stdout.readline())
        chain.bare = [("127.0.0.1", port) for port in listening["bare"]]
        load_scenario = scenario(copies, 1, kind.deadline_us // 1000, aim_ms)
        for port in listening["lists"]:
            ((_, address),) = await stack.enter_async_context(started_sidecars(load_scenario, port, rate))
            chain.sidecars.append(address)
        chain.send({"sidecars": [port for _, port in chain.sidecars]})
        yield chain


@dataclass(slots=True)
class ChainResult:
    """Calls into a chain while the bottom behaved in one way: from the start of that behaviour (`onset`), or after it
    has lasted a while."""

    bottom: str
    hops: int
    onset: bool
    calls: int
    latencies_us: list[int]  # latencies of the served calls
    bare_latencies_us: list[int]  # latencies without sidecars
    attempts: list[float]  # at each level from the top, per call at the top
    max_attempts: int  # most attempts at the bottom for one call
    remaining_ms: list[list[float]]  # rest of the deadline at each level: 1st, 50th and 99th percentile
    answers: list[dict[str, int]]  # number of answers to each application, by status

    def served(self) -> float:
        return len(self.latencies_us) / max(1, self.calls)

    def added_ms(self, share: float) -> float:
        return (percentile(self.latencies_us, share) - percentile(self.bare_latencies_us, share)) / 1000


async def send_calls(
    run: str, address: Address, rate: float, seconds: float, kind: KindSpec = REQUEST_KIND
) -> list[Sample]:
    """Sends calls at a rate and waits until all have ended."""
    schedule = paced_schedule(rate, seconds, run, kind.deadline_us)
    client, samples = create_client(run, address, schedule, seconds, kind)
    client.start(time.monotonic_ns() + round(START_DELAY_S * 1e9))
    await client.wait(seconds + START_DELAY_S + kind.deadline_us / 1e6 + 1.0)
    return samples


@dataclass(frozen=True, slots=True)
class Timing:
    """The call rate per second, and how long each part of a chain's run lasts."""

    rate: float = 60.0
    healthy_s: float = 2.0  # before the bottom changes its behaviour
    onset_s: float = 1.0
    settle_s: float = 2.0
    lasting_s: float = 4.0


async def measure_calls(chain: Chain, name: str, rate: float, seconds: float, onset: bool) -> ChainResult:
    run = f"{'o' if onset else 'l'}{len(chain.sidecars)}"
    samples, bare = await asyncio.gather(send_calls(run, chain.sidecars[0], rate, seconds),
                                         send_calls(f"b{run}", chain.bare[0], rate, seconds))
    levels = [level.get(run, {}) for level in (await chain.take_counts())["levels"]]
    end_us = seconds * 1e6
    return ChainResult(name, len(chain.sidecars), onset, len(samples), latencies_us(samples, 0, end_us),
                latencies_us(bare, 0, end_us),
                [level.get("attempts", 0) / max(1, len(samples)) for level in levels], levels[-1].get("most", 0),
                [level.get("left_ms", []) for level in levels], [level.get("got", {}) for level in levels])


async def run_chain(name: str, hops: int, timing: Timing, seed: str) -> list[ChainResult]:
    """Runs a new chain whose bottom is healthy at first and then behaves as `name` says. Returns the results of the
    onset and of the time after it."""
    async with started_chain(hops, rate=timing.rate, seed=seed) as chain:
        await send_calls("w", chain.sidecars[0], timing.rate, timing.healthy_s)
        chain.send({"bottom": BOTTOM_BEHAVIOURS[name]})
        onset = await measure_calls(chain, name, timing.rate, timing.onset_s, True)
        await send_calls("s", chain.sidecars[0], timing.rate, timing.settle_s)
        return [onset, await measure_calls(chain, name, timing.rate, timing.lasting_s, False)]


async def run_all(
    lengths: Sequence[int],
    bottoms: Sequence[str] = tuple(BOTTOM_BEHAVIOURS),
    timing: Timing | None = None,
    rounds: int = 1,
    progress: Callable[[str], None] = lambda line: None,
) -> list[ChainResult]:
    """Runs chains of all lengths with all behaviours of the bottom. Latencies are measured only with a healthy bottom,
    one chain after another; for the other behaviours only counts matter, so chains of all lengths run concurrently."""
    results: list[ChainResult] = []
    for number in range(rounds):
        for name in bottoms:
            runs = [run_chain(name, hops, timing or Timing(), f"chain/{number}/{name}/{hops}") for hops in lengths]
            results_by_length = [await run for run in runs] if name == "well" else await asyncio.gather(*runs)
            for result in (one for phases in results_by_length for one in phases):
                results.append(result)
                progress(f"chain: bottom {name}, {result.hops} hops, {'onset' if result.onset else 'lasting'}: "
                         f"{result.served():.0%} of {result.calls} served, {result.attempts[-1]:.2f} attempts at the "
                         f"bottom, {result.max_attempts} at most")
    return results


def add_results(context: RunContext, results: Sequence[ChainResult], depth: int) -> None:
    """Adds slopes over the number of hops (at least three lengths), and their extrapolation to `depth`."""
    points: dict[tuple[str, str], dict[int, list[float]]] = {}
    for result in results:
        phase = f"{result.bottom.replace(' ', '_')}.{'onset' if result.onset else 'lasting'}"
        figures = {f"attempts.{phase}": (result.attempts[-1], "attempts a call"),
                   f"served.{phase}": (result.served(), "of calls"), f"most.{phase}": (result.max_attempts, "attempts")}
        if result.bottom == "well":
            figures = {f"{name}.well": (value, "ms") for name, value in (
                ("added_p50_ms", result.added_ms(0.5)), ("added_p99_ms", result.added_ms(0.99)),
                ("deadline_spent_ms", REQUEST_KIND.deadline_us / 1000 - result.remaining_ms[-1][1]))}
        for name, (value, unit) in figures.items():
            points.setdefault((f"chain.{name}", unit), {}).setdefault(result.hops, []).append(round(value, 4))
    for (name, unit), by_hops in points.items():
        context.add_slope(name, ROLE, "hops", unit, by_hops, NOTE)
        by_factor = ".attempts." in name
        pairs = [(hops, value) for hops, values in by_hops.items() for value in values]
        if ".served." in name or ".most." in name or (by_factor and min(value for _, value in pairs) <= 0):
            continue
        extrapolation = extrapolate(pairs, depth, by_factor)
        context.add_reading(
            f"{name}.at_{depth}_hops",
            ROLE,
            unit,
            [round(extrapolation.value, 4)],
            f"carried on, {extrapolation.low:.3g} to {extrapolation.high:.3g}; "
            f"each hop {'times' if by_factor else 'adds'} "
            f"{extrapolation.growth:.4g}, {extrapolation.growth_low:.4g} to {extrapolation.growth_high:.4g}",
        )


async def measure(context: RunContext) -> None:
    """Measures chains of 1 to 8 hops and extrapolates to the planned depth."""
    context.check_limits(0, 0, real_count=sum(LENGTHS), other_processes=len(LENGTHS))
    try:
        results = await run_all(LENGTHS, rounds=context.size.play.repeats, progress=context.progress)
    except ChildError as error:
        raise RunError(str(error)) from error
    add_results(context, results, context.size.fleet.depth)


async def main() -> None:
    loop = asyncio.get_running_loop()

    def write(data: Mapping[str, Any]) -> None:
        print(json.dumps(data), flush=True)

    spec = json.loads(await loop.run_in_executor(None, sys.stdin.readline))
    applications = ChainApplications(spec["hops"], spec["copies"], spec["seed"])
    write(await applications.start())
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        answer = applications.handle(json.loads(line))
        if answer is not None:
            write(answer)


if __name__ == "__main__":
    uvloop.run(main())
