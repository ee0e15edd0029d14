"""Runs the agents of a scale run as processes, calls their API, and makes changes and waits for all instances."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sqlite3
import statistics
import subprocess
import time
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httpx

from ironscale.control.processes import process_cpu_s
from ironscale.scale.bounds import ChildProcesses, resident_memory_mb
from ironscale.scale.simulated_instances import SimulatedInstances
from ironscale.scale.size import Play
from ironscale.stage.relay import Port

START_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.02
APPLY = """mutation($input: ApplyInput!) { apply(input: $input) { id generation open phase } }"""
STATUS = """query($id: Int!) { operation(id: $id) { open phase counts { state count } } }"""
PUBLISH = """mutation($input: PublishInput!) { publish(input: $input) { number } }"""
VERSIONS = """{ versions(scope: "all", first: 1) { edges { node { number } } } }"""
FLEET = "{ fleet { ready generation instances } }"


class AgentsError(Exception):
    """An agent that failed or didn't answer in time; the message is a single line."""


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Resources that a process has used up to a moment."""

    at_s: float
    cpu_s: float
    read_bytes: int
    written_bytes: int

    @classmethod
    def of_process(cls, pid: int) -> ResourceUsage:
        counters = dict(line.split(": ") for line in Path(f"/proc/{pid}/io").read_text(encoding="ascii").splitlines())
        return cls(time.monotonic(), process_cpu_s(pid), int(counters["rchar"]), int(counters["write_bytes"]))


@dataclass(frozen=True, slots=True)
class Change:
    """One configuration change, as the instances saw it. Times are seconds since the change was requested."""

    generation: int
    operation: int
    asked_s: float  # on the machine's monotonic clock
    committed_s: float  # until the agent answered that it is committed
    latencies_s: tuple[float, ...]  # until each simulated instance applied it, in ascending order
    closed_s: float  # until all instances, real ones too, had reported it to the agent

    def latency_percentile_s(self, share: float) -> float:
        return self.latencies_s[min(len(self.latencies_s) - 1, int(share * len(self.latencies_s)))]


class AgentProcesses:
    """The agents of a run. One leads; if there are more, they share one database and the others are standbys."""

    def __init__(
        self, children: ChildProcesses, folder: Path, count: int, play: Play, term_s: float | None = None
    ) -> None:
        self.children, self.folder, self.count = children, folder, count
        self.has_standbys = count > 1
        self.ports = [Port() for _ in range(count)]
        self.running: list[subprocess.Popen[bytes] | None] = [None] * count
        self.client = httpx.AsyncClient(trust_env=False, timeout=30.0)
        self.next_agent = 0
        for number in range(count):
            lines = ["[agent]", f'data = "agent-{number}"', f'control = "127.0.0.1:{self.ports[number].number}"',
                     'api = "127.0.0.1:0"', f"lease_s = {play.lease_s}", f"heartbeat_s = {play.heartbeat_s}",
                     "most_instances = 20000", 'record = "shared.db"']
            if self.has_standbys:
                lines += ["standby = true", f"term_s = {term_s or play.term_s}"]
            (folder / f"agent-{number}.toml").write_text("\n".join(lines) + "\n", encoding="utf-8")

    @property
    def addresses(self) -> list[tuple[str, int]]:
        return [("127.0.0.1", port.number) for port in self.ports]

    @property
    def token_file(self) -> Path:
        return self.folder / "agent-0" / "instance.token"

    @property
    def database(self) -> Path:
        return self.folder / "shared.db"

    def pid(self, number: int = 0) -> int:
        process = self.running[number]
        assert process is not None
        return process.pid

    def launch(self, number: int) -> None:
        """Starts an agent's process without waiting for it to answer."""
        self.running[number] = self.children.start(
            f"agent-{number}", "ironscale.cli", "agent", str(self.folder / f"agent-{number}.toml"),
            environ=dict(os.environ), log=self.folder / f"agent-{number}.log")

    async def start(self) -> None:
        """Starts the first agent, waits until it leads, then launches the others. Raises AgentsError."""
        self.launch(0)
        await self.wait_until(lambda: (self.folder / "agent-0" / "address").exists(), "agent-0 did not start")
        for number in range(1, self.count):
            self.launch(number)

    async def wait_until(self, condition: Any, failure: str, timeout_s: float = START_TIMEOUT_S) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                while not condition():
                    self.check_running()
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise AgentsError(f"{failure} within {timeout_s:g} s: {self.last_log_line()}") from None

    def check_running(self) -> None:
        for number, process in enumerate(self.running):
            if process is not None and process.poll() is not None:
                raise AgentsError(
                    f"agent-{number} ended with status {process.returncode}: {self.last_log_line(number)}"
                )

    def last_log_line(self, number: int = 0) -> str:
        try:
            lines = (self.folder / f"agent-{number}.log").read_text(encoding="utf-8").splitlines()
        except OSError:
            lines = []
        return lines[-1][:200] if lines else "its log is empty"

    def kill(self, number: int) -> float:
        """Kills an agent with SIGKILL. Returns the moment of the kill."""
        process, self.running[number] = self.running[number], None
        assert process is not None
        at_s = time.monotonic()
        self.children.end(process, first_signal=signal.SIGKILL)
        return at_s

    async def post(self, number: int, query: str, variables: Mapping[str, Any]) -> dict[str, Any]:
        """Sends one query to one agent. Raises httpx errors, OSError or ValueError if it doesn't answer, AgentsError if
        it refuses."""
        url = (self.folder / f"agent-{number}" / "address").read_text(encoding="ascii").strip()
        token = (self.folder / "agent-0" / "admin.token").read_text(encoding="ascii").strip()
        answer = await self.client.post(f"{url}/graphql", headers={"Authorization": f"Bearer {token}"},
                                        json={"query": query, "variables": dict(variables)})
        body = answer.json()
        if body.get("errors"):
            raise AgentsError(str(body["errors"][0].get("message"))[:200])
        return dict(body["data"])

    async def call(self, query: str, timeout_s: float = START_TIMEOUT_S, **variables: Any) -> dict[str, Any]:
        """Sends a query to each agent in turn until the one that leads accepts it. Raises AgentsError."""
        problem: Exception | None = None
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if self.running[self.next_agent] is not None:
                try:
                    return await self.post(self.next_agent, query, variables)
                except (httpx.HTTPError, OSError, ValueError, AgentsError) as error:
                    problem = error
            self.next_agent = (self.next_agent + 1) % self.count
            await asyncio.sleep(POLL_INTERVAL_S)
        raise AgentsError(f"no agent accepted the request within {timeout_s:g} s: {problem}")

    async def wait_until_ready(self, count: int, timeout_s: float = START_TIMEOUT_S) -> float:
        """Waits until the leader sees `count` ready instances. Returns that moment. Raises AgentsError."""
        deadline_s, ready = time.monotonic() + timeout_s, -1
        while time.monotonic() < deadline_s:
            ready = (await self.call(FLEET, timeout_s))["fleet"]["ready"]
            if ready >= count:
                return time.monotonic()
            await asyncio.sleep(0.05)
        raise AgentsError(f"{ready} of {count} instances were ready within {timeout_s:g} s: {self.last_log_line()}")

    # Changes

    async def apply(
        self, timeout_s: float = START_TIMEOUT_S, supersede: bool = False, policy: Mapping[str, Any] | None = None
    ) -> tuple[int, int, float, float]:
        """Makes a change. Returns its generation and operation, the moment of the request and that of the answer."""
        generation = (await self.call(FLEET, timeout_s))["fleet"]["generation"]
        requested_s = time.monotonic()
        # a new value each time, so that every sidecar has a change to apply
        overlay = {"settings": {"bounds": {"max-retry-after": 900_000 + 10 * generation}}}
        result = await self.call(APPLY, timeout_s, input={"overlay": overlay, "expectGeneration": generation,
                                                       "supersede": supersede,
                                                       "policy": {"answerMs": 60_000, **(policy or {})}})
        return result["apply"]["generation"], result["apply"]["id"], requested_s, time.monotonic()

    async def wait_until_closed(self, operation: int, timeout_s: float = START_TIMEOUT_S) -> float:
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            state = (await self.call(STATUS, timeout_s, id=operation))["operation"]
            if not state["open"]:
                if state["phase"] not in ("SUCCEEDED", "SUPERSEDED"):
                    raise AgentsError(f"operation {operation}: expected SUCCEEDED, got {state['phase']}")
                return time.monotonic()
            await asyncio.sleep(0.05)
        raise AgentsError(f"operation {operation} was not over within {timeout_s:g} s")

    async def change(self, instances: SimulatedInstances, count_from_s: float | None = None) -> Change:
        """Makes a change and waits until all instances apply it. Times count from `count_from_s` if given. Raises
        AgentsError."""
        generation, operation, requested_s, committed_s = await self.apply()
        closed_s = await self.wait_until_closed(operation)
        times = await self.wait_until_in_force(instances, generation)
        start_s = requested_s if count_from_s is None else count_from_s
        return Change(generation, operation, start_s, committed_s - start_s, tuple(at - start_s for at in times),
                      closed_s - start_s)

    async def wait_until_in_force(self, instances: SimulatedInstances, generation: int) -> list[float]:
        deadline_s, times = time.monotonic() + START_TIMEOUT_S, list[float]()
        while time.monotonic() < deadline_s:
            times = await instances.times("in force", generation)
            if len(times) >= instances.count:
                return times
            await asyncio.sleep(0.1)
        raise AgentsError(
            f"generation {generation}: {len(times)} of {instances.count} had it within {START_TIMEOUT_S:g} s"
        )

    async def publish(self, timeout_s: float = START_TIMEOUT_S) -> tuple[int, float, float]:
        """Publishes a version for all instances. Returns its number, the moment of the request and that of the
        answer."""
        newest = (await self.call(VERSIONS, timeout_s))["versions"]["edges"]
        base = newest[0]["node"]["number"] if newest else 0
        asked_s = time.monotonic()
        result = await self.call(PUBLISH, timeout_s, input={
            "scope": "all", "base": base, "idempotencyKey": uuid.uuid4().hex,
            "overlay": {"settings": {"bounds": {"max-retry-after": 900_000 + 10 * base}}}})
        return result["publish"]["number"], asked_s, time.monotonic()

    async def wait_until_held(
        self, instances: SimulatedInstances, version: int, count: int | None = None
    ) -> list[float]:
        """When each follower received the version, in ascending order. Raises AgentsError."""
        deadline_s, times = time.monotonic() + START_TIMEOUT_S, list[float]()
        while time.monotonic() < deadline_s:
            times = await instances.times("held", version)
            if len(times) >= (instances.count if count is None else count):
                return times
            await asyncio.sleep(0.1)
        raise AgentsError(f"version {version}: {len(times)} of {instances.count} had it within {START_TIMEOUT_S:g} s")

    # The database

    def database_state(self) -> dict[str, float]:
        """Bytes of the pages in use (also those still in the write-ahead log), and the row count of each table."""
        with contextlib.closing(sqlite3.connect(f"file:{self.database}?mode=ro", uri=True, timeout=5.0)) as database:
            def read_integer(text: str) -> int:
                return int(database.execute(text).fetchone()[0])

            state = {
                "bytes": float(
                    (read_integer("PRAGMA page_count") - read_integer("PRAGMA freelist_count"))
                    * read_integer("PRAGMA page_size")
                ),
                "writes": float(read_integer("SELECT coalesce(max(value), 0) FROM counters WHERE name = 'sequence'")),
            }
            for name in ("targets", "operations", "configurations", "audit", "instances", "mutations", "versions"):
                state[name] = float(read_integer(f"SELECT count(*) FROM {name}"))
        return state

    async def close(self) -> None:
        await self.client.aclose()
        running = [process for process in self.running if process is not None]
        if running:
            self.children.end(*running)
        for port in self.ports:
            port.close()


async def measure_at_rest(pid: int, seconds: float) -> tuple[float, float, float]:
    """Percent of a core, resident MB and bytes written to disk per second, measured for `seconds`."""
    before = ResourceUsage.of_process(pid)
    await asyncio.sleep(seconds)
    after = ResourceUsage.of_process(pid)
    took_s = after.at_s - before.at_s
    return (
        (after.cpu_s - before.cpu_s) / took_s * 100,
        resident_memory_mb(pid),
        (after.written_bytes - before.written_bytes) / took_s,
    )


def median(values: list[float]) -> float:
    return statistics.median(values)
