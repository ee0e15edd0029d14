"""Simulated instances: they use the real control protocol and the real discovery client, but have no data path, so
hundreds fit into a process.

`python -m ironscale.scale.simulated_instances ORDER` is such a process. It answers questions over the socket whose
descriptor is in ORDER, a JSON object; times in its answers are on the machine's monotonic clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import socket
import struct
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import uvloop

from ironscale.control.follower import Follower
from ironscale.control.simulated_instance import SimulatedInstance, create_simulated_follower, create_simulated_instance
from ironscale.interface import ListKind
from ironscale.net.discovery import Discovery
from ironscale.net.listing import Listing, ListParser
from ironscale.operator_file import read_secret
from ironscale.scale.bounds import ChildProcesses, resident_memory_mb
from ironscale.versions.agent_selection import AgentEndpoint
from ironscale.versions.model import Labels

Address = tuple[str, int]
MAX_LINE_BYTES = 1 << 24
ANSWER_TIMEOUT_S = 30.0
CONNECTIONS_PER_S = 2_000.0  # connections that one process opens per second at its start
# struct tcp_info (linux/tcp.h): tcpi_bytes_acked and tcpi_bytes_received
TCP_INFO_BYTES = struct.Struct("=120x2Q")


class SimulatedInstancesError(Exception):
    """A process of simulated instances that ended or doesn't answer; the message is a single line."""


def transferred_bytes(transport: asyncio.BaseTransport | None) -> tuple[int, int]:
    """Bytes sent (and acknowledged) and bytes received on a connection, as counted by the kernel."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return 0, 0
    try:
        counts = TCP_INFO_BYTES.unpack(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES.size))
    except (OSError, struct.error):
        return 0, 0
    return int(counts[0]), int(counts[1])


class HostedInstances:
    """All simulated instances of this process, and what they observed."""

    def __init__(self, order: dict[str, Any]) -> None:
        self.order = order
        self.instances: list[SimulatedInstance] = []
        self.discoveries: list[Discovery] = []
        self.in_force_times: dict[int, list[float]] = {}  # generation -> when each instance applied it
        self.list_times: dict[int, list[float]] = {}  # generation of discovery's list -> when each watch received it
        self.failed_lists = 0
        # for each follower: (position in the log, when it was reached)
        self.held_positions: list[list[tuple[int, float]]] = []

    def create_follower(self, instance: SimulatedInstance, number: int, token: str, rng: random.Random) -> Follower:
        """Creates a follower of published versions for the instance."""
        zones = self.order["zones"]
        endpoints = tuple(AgentEndpoint(host, int(port)) for host, port in self.order["versions"])
        follower = create_simulated_follower(
            instance,
            Labels(instance.name, f"service-{number % 230}", f"zone-{number % zones:02}"),
            token,
            endpoints,
            rng=rng,
        )
        positions: list[tuple[int, float]] = []
        self.held_positions.append(positions)

        def changed() -> None:
            position = follower.state.view.position
            if not positions or positions[-1][0] < position:
                positions.append((position, time.monotonic()))

        follower.on_change = changed
        return follower

    def on_effect(self, effect: str) -> None:
        kind, _, number = effect.partition(" ")
        if kind == "generation":
            self.in_force_times.setdefault(int(number), []).append(time.monotonic())

    def on_list(self, index: int, kind: ListKind, listing: Listing | None) -> None:
        if listing is None:
            self.failed_lists += 1
            # retry soon but not all at once, as a sidecar's balancer does at first
            asyncio.get_running_loop().call_later(random.random(), self.discoveries[index].subscribe)
        elif listing.members:
            self.list_times.setdefault(listing.generation, []).append(time.monotonic())

    async def run(self) -> None:
        order = self.order
        agents = [(host, int(port)) for host, port in order["agents"]]
        token = read_secret(Path(order["token_file"])) if agents else ""
        async with asyncio.TaskGroup() as group:
            for n in range(order["first"], order["first"] + order["count"]):
                if agents:
                    rng = random.Random(f"{order['seed']} {n}")
                    instance, client = create_simulated_instance(
                        f"hollow-{n:05}", agents[0], token, rng=rng, others=tuple(agents[1:]),
                        zone=f"zone-{n % order['zones']:02}")
                    instance.before_effect = self.on_effect
                    self.instances.append(instance)
                    group.create_task(client.run())
                    if order["versions"]:
                        group.create_task(self.create_follower(instance, n, token, rng).run())
                if order["discovery"]:
                    host, port = order["discovery"]
                    self.discoveries.append(Discovery((host, port), ListParser([], []), 0, partial(
                        self.on_list, len(self.discoveries)), 5.0, lambda text: None))
                    self.discoveries[-1].subscribe()
                await asyncio.sleep(1 / CONNECTIONS_PER_S)
            if not agents:
                await asyncio.Event().wait()

    def state(self) -> dict[str, Any]:
        sent = received = welcomed = 0
        for instance in self.instances:
            session = instance.client.session if instance.client is not None else None
            if session is not None:
                welcomed += session.welcome is not None
                out, back = transferred_bytes(session.transport)
                sent, received = sent + out, received + back
        list_received = sum(transferred_bytes(d.watch.transport)[1] for d in self.discoveries if d.watch is not None)
        return {
            "welcomed": welcomed,
            "sent": sent,
            "received": received,
            "cpu_s": time.process_time(),
            "memory_mb": resident_memory_mb(os.getpid()),
            "list_received": list_received,
            "failed_lists": self.failed_lists,
        }

    def answer_question(self, question: dict[str, Any]) -> dict[str, Any]:
        match question["ask"]:
            case "state":
                return self.state()
            case "in force":
                return {"at": self.in_force_times.get(question["generation"], [])}
            case "held":
                version = question["generation"]
                reached = [
                    next((at for position, at in positions if position >= version), None)
                    for positions in self.held_positions
                ]
                return {"at": [at for at in reached if at is not None]}
            case "list":
                return {"at": self.list_times.get(question["generation"], [])}
        return {"wrong": f"{question['ask']}: not known here"}


async def serve(order: dict[str, Any]) -> None:
    instances = HostedInstances(order)
    reader, writer = await asyncio.open_connection(sock=socket.socket(fileno=order["fd"]), limit=MAX_LINE_BYTES)
    task = asyncio.create_task(instances.run())
    try:
        while not task.done() and (line := await reader.readline()):
            writer.write(json.dumps(instances.answer_question(json.loads(line))).encode() + b"\n")
            await writer.drain()
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@dataclass
class InstanceProcess:
    """The run's connection to a process of simulated instances."""

    process: subprocess.Popen[bytes]
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    count: int

    async def ask(self, **question: Any) -> dict[str, Any]:
        """Sends a question and returns the answer. Raises SimulatedInstancesError."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                self.writer.write(json.dumps(question).encode() + b"\n")
                line = await self.reader.readline()
        except (OSError, TimeoutError) as error:
            raise SimulatedInstancesError(
                f"simulated instances, process {self.process.pid}: {error or 'no answer'}"
            ) from error
        if not line:
            raise SimulatedInstancesError(f"simulated instances, process {self.process.pid}: it has ended")
        return dict(json.loads(line))


class SimulatedInstances:
    """All simulated instances of a run, spread over processes."""

    def __init__(self, children: ChildProcesses, per_process: int, zones: int, seed: int, log: Path) -> None:
        self.children, self.per_process, self.zones, self.seed, self.log = children, per_process, zones, seed, log
        self.instance_processes: list[InstanceProcess] = []

    @property
    def count(self) -> int:
        return sum(process.count for process in self.instance_processes)

    async def start(self, count: int, agents: Sequence[Address], token_file: Path | None,
                    discovery: Address | None = None, versions: Sequence[Address] = ()) -> None:
        first = self.count
        while count:
            size = min(count, self.per_process)
            run_socket, process_socket = socket.socketpair()
            order = {"first": first, "count": size, "agents": list(agents), "token_file": str(token_file or ""),
                     "discovery": discovery, "versions": list(versions), "zones": self.zones, "seed": self.seed,
                     "fd": process_socket.fileno()}
            with process_socket:
                process = self.children.start("hollow", "ironscale.scale.simulated_instances", json.dumps(order),
                                          log=self.log, inherited_sockets=(process_socket,))
            reader, writer = await asyncio.open_connection(sock=run_socket, limit=MAX_LINE_BYTES)
            self.instance_processes.append(InstanceProcess(process, reader, writer, size))
            first, count = first + size, count - size

    async def ask(self, **question: Any) -> list[dict[str, Any]]:
        return list(await asyncio.gather(*(process.ask(**question) for process in self.instance_processes)))

    async def total(self) -> dict[str, float]:
        """The sum of the states of all processes."""
        totals: dict[str, float] = {}
        for state in await self.ask(ask="state"):
            for key, value in state.items():
                totals[key] = totals.get(key, 0) + value
        return totals

    async def times(self, question: str, generation: int) -> list[float]:
        """When each instance had it, in ascending order."""
        return sorted(at for part in await self.ask(ask=question, generation=generation) for at in part["at"])

    async def end(self) -> None:
        for herder in self.instance_processes:
            herder.writer.close()
        if self.instance_processes:
            self.children.end(*(process.process for process in self.instance_processes))
        self.instance_processes.clear()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        uvloop.run(serve(json.loads(sys.argv[1])))
