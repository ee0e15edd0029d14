"""A play of published versions with real processes: agents on one PostgreSQL record (the stand-in), real sidecars, and
many hollow followers, in regions whose links and ways to the record go through relays that can be cut."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import uuid
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httpx

from ironscale.agent import tokens
from ironscale.control.follower import Follower
from ironscale.control.simulated_instance import SimulatedInstance, create_simulated_follower
from ironscale.stage.history import History
from ironscale.stage.relay import Port, Relay
from ironscale.stage.run import AGENT, LOOK_S, START_S, Process, StageError, apart
from ironscale.standins.discovery import ListedDiscovery
from ironscale.standins.postgres import Data, Host
from ironscale.standins.settings import SETTINGS
from ironscale.standins.upstream import Peer
from ironscale.versions.agent_selection import AgentEndpoint
from ironscale.versions.model import Labels

PUBLISH = """mutation($i: PublishInput!) { publish(input: $i) { number } }"""
RESTORE = """mutation($i: RestoreVersionInput!) { restoreVersion(input: $i) { number } }"""
ROWS = "SELECT version, scope, overlay FROM agent_versions ORDER BY version"


@dataclass(frozen=True, slots=True)
class Size:
    agents: int = 3  # the first in region north, the last in south, those between by turns
    hollow: int = 100
    sidecars: int = 2
    term_s: float = 1.0


def region_of(number: int) -> str:
    return "south" if number % 2 else "north"


class Hollow:
    """One follower without a data path."""

    def __init__(self, stage: PublishedStage, number: int) -> None:
        self.stage, self.name, self.region = stage, f"app-{number}", region_of(number)
        self.labels = Labels(self.name, "app", f"{self.region}-{number % 3}", self.region)
        self.boot = 0
        self.task: asyncio.Task[None] | None = None
        self.follower: Follower

    def start(self) -> None:
        self.boot += 1
        places = tuple(AgentEndpoint("127.0.0.1", self.stage.links[self.region, at].port, "", region_of(at))
                       for at in range(self.stage.size.agents))
        self.follower = create_simulated_follower(SimulatedInstance(self.name), self.labels, self.stage.token, places,
                                       boot=str(self.boot), rng=random.Random(f"{self.name} {self.boot}"))
        self.follower.on_change = self.changed
        self.task = asyncio.get_running_loop().create_task(self.follower.run())
        self.stage.history.add("up", who=self.name, up=True)

    def changed(self) -> None:
        state = self.follower.state
        self.stage.history.add("runs", who=self.name, boot=str(self.boot), position=state.view.position,
                               running=state.running, digest=state.running_digest, status=state.status)

    async def kill(self) -> None:
        self.stage.history.add("up", who=self.name, up=False)
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)


class PublishedStage:
    def __init__(self, size: Size, folder: Path, history: History, agent: Sequence[str] = AGENT) -> None:
        self.size, self.folder, self.history, self.agent_command = size, folder, history, agent
        self.data = Data()
        self.record = Host(self.data)
        self.ways: list[Relay] = []  # of each agent to the record
        self.links: dict[tuple[str, int], Relay] = {}  # of a region's instances to an agent
        self.agents: list[Process] = []
        self.sidecars: list[Process] = []
        self.ports: list[Port] = []
        self.hollow: list[Hollow] = []
        self.discovery, self.peer = ListedDiscovery(), Peer()
        self.client = httpx.AsyncClient(trust_env=False, timeout=1.0)
        self.tasks: list[asyncio.Task[None]] = []
        self.token = ""
        self.seen = 0  # versions in the record
        self.newest: dict[str, int] = {}

    # The set

    async def set_up(self) -> None:
        """Raises StageError."""
        await self.record.start()
        self.peer.keep_messages = False
        await self.peer.start()
        self.discovery.put(self.peer.entry("node-0"))
        await self.discovery.start()
        self.token = tokens.new_token()
        for number in range(self.size.agents):
            # the same in each folder: whichever leads first puts it on the record
            folder = self.folder / f"agent-{number}"
            folder.mkdir(mode=0o700)
            tokens.write_secret(folder / "instance.token", self.token)
            self.ways.append(await Relay(("127.0.0.1", self.record.port)).start())
            self.agents.append(self.make_agent(number))
        await self.agents[0].start()
        await self.until(lambda: (self.folder / "agent-0" / "address").exists(), "agent-0 did not start")
        for agent in self.agents[1:]:
            await agent.start()
        for number in range(self.size.agents):
            await self.until((self.folder / f"agent-{number}" / "address").exists, f"agent-{number} did not start")
            for region in ("north", "south"):
                self.links[region, number] = await Relay(("127.0.0.1", self.ports[number].number)).start()
        self.tasks.append(asyncio.create_task(self.look_at_record()))
        self.note_ways(True)
        for number in range(self.size.hollow):
            self.hollow.append(Hollow(self, number))
            self.history.add("labels", who=self.hollow[-1].name,
                             scopes=[str(scope) for scope in self.hollow[-1].labels.scopes()])
            self.hollow[-1].start()
        for number in range(self.size.sidecars):
            self.sidecars.append(self.make_sidecar(number))
            await self.sidecars[-1].start()

    def note_ways(self, up: bool) -> None:
        for number, agent in enumerate(self.agents):
            self.history.add("up", who=agent.name, up=up)
            self.history.add("reach", who=agent.name, agent="record", up=up)
            for hollow in range(self.size.hollow):
                self.history.add("reach", who=f"app-{hollow}", agent=f"agent-{number}", up=up)

    def make_agent(self, number: int) -> Process:
        port = Port()
        self.ports.append(port)
        file = self.folder / f"agent-{number}.toml"
        file.write_text("\n".join([
            "[agent]", f'data = "agent-{number}"', f'control = "127.0.0.1:{port.number}"', 'api = "127.0.0.1:0"',
            "lease_s = 2.0", "heartbeat_s = 0.5", "standby = true", f"term_s = {self.size.term_s}",
            f'token_file = "agent-{number}/instance.token"',
            f'postgresql = "host=127.0.0.1 port={self.ways[number].port} user=app dbname=records"']) + "\n")
        return Process(f"agent-{number}", [*self.agent_command, "agent", str(file)], dict(os.environ),
                       self.folder / f"agent-{number}.log")

    def make_sidecar(self, number: int) -> Process:
        """A real one, in region north."""
        name, port = f"sidecar-{number}", Port()
        self.ports.append(port)
        config = self.folder / f"{name}.json"
        config.write_text(json.dumps({
            "name": name, "listen": f"127.0.0.1:{port.number}", "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": f"{number + 1:x}", "limits": {"sockets": 64},
            "settings": {**SETTINGS, "instances": self.size.sidecars, "self-index": number}}))
        agents = [f"127.0.0.1:{self.links['north', at].port}" for at in range(self.size.agents)]
        lines = ["[control]", f"agent = {json.dumps(agents)}", 'token_file = "agent-0/instance.token"', "[versions]",
                 'service = "sidecar"', 'region = "north"']
        for at, address in enumerate(agents):
            lines += ["[[versions.agent]]", f'address = "{address}"', f'region = "{region_of(at)}"']
        file = self.folder / f"{name}.toml"
        file.write_text("\n".join(lines) + "\n")
        environ = {**os.environ, "GW_CONFIG": str(config), "GW_OPERATOR": str(file)}
        for variable in ("GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_AGENT", "GW_OVERLAY", "GW_ZONE"):
            environ.pop(variable, None)
        return Process(name, [sys.executable, "-B", "-m", "ironscale"], environ, self.folder / f"{name}.log")

    async def until(self, condition: Callable[[], object], wrong: str, within_s: float = START_S) -> None:
        try:
            async with asyncio.timeout(within_s):
                while not condition():
                    await asyncio.sleep(LOOK_S)
        except TimeoutError:
            raise StageError(f"{wrong} within {within_s:g} s; see the logs in {self.folder}") from None

    async def look_at_record(self) -> None:
        """The record's own rows; no agent is asked."""
        while True:
            with contextlib.suppress(Exception):
                for version, scope, overlay in self.data.all(ROWS):
                    if version > self.seen:
                        self.seen = self.newest[scope] = version
                        self.history.add("commit", version=version, scope=scope,
                                         overlay=json.loads(overlay) if overlay is not None else None)
            await asyncio.sleep(LOOK_S)

    # Operators

    async def call(self, query: str, variables: dict[str, Any], within_s: float = 20.0) -> dict[str, Any]:
        """By whichever agent leads and answers; again, by its key, until one does. Raises StageError."""
        variables = {"i": {"idempotencyKey": uuid.uuid4().hex, **variables}} if query.startswith("mutation") else {}
        said = "no agent answers"
        deadline_s = asyncio.get_running_loop().time() + within_s
        while asyncio.get_running_loop().time() < deadline_s:
            for number in range(self.size.agents):
                with contextlib.suppress(httpx.HTTPError, OSError, ValueError):
                    url = (self.folder / f"agent-{number}" / "address").read_text().strip()
                    token = (self.folder / "agent-0" / "admin.token").read_text().strip()
                    answer = await self.client.post(f"{url}/graphql", headers={"Authorization": f"Bearer {token}"},
                                                    json={"query": query, "variables": variables})
                    body = answer.json()
                    if "errors" not in body:
                        return dict(body["data"])
                    said = body["errors"][0]["message"]
                    if body["errors"][0].get("extensions", {}).get("code") in ("CONFLICT", "HALTED", "BAD_INPUT"):
                        raise StageError(said)
            await asyncio.sleep(0.05)
        raise StageError(f"{query[:40]}: {said}")

    async def publish(self, overlay: Any, scope: str = "all") -> int:
        told = await self.call(PUBLISH, {"scope": scope, "overlay": overlay, "base": self.newest.get(scope, 0)})
        number = int(told["publish"]["number"])
        await self.until(lambda: self.seen >= number, f"version {number} is not in the record")
        return number

    async def restore(self, version: int, scope: str = "all") -> int:
        told = await self.call(RESTORE, {"version": version, "base": self.newest.get(scope, 0)})
        return int(told["restoreVersion"]["number"])

    async def held(self, version: int, within_s: float = 30.0, among: Sequence[Hollow] | None = None) -> None:
        """All hold it, or newer."""
        wanted = self.hollow if among is None else among
        await self.until(lambda: all(one.follower.state.view.position >= version for one in wanted),
                         f"version {version} is not held by all", within_s)

    # Faults

    async def kill_agent(self, number: int, disk: bool = False) -> None:
        self.history.add("up", who=f"agent-{number}", up=False)
        await self.agents[number].kill()
        if disk:
            (self.folder / f"agent-{number}" / "versions.snapshot").unlink(missing_ok=True)

    async def start_agent(self, number: int) -> None:
        """Up from when it listens."""
        address = self.folder / f"agent-{number}" / "address"
        address.unlink(missing_ok=True)
        await self.agents[number].start()

        async def listening() -> bool:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", self.ports[number].number)
                writer.close()
                return True
            return False

        async with asyncio.timeout(START_S):
            while not await listening():
                await asyncio.sleep(LOOK_S)
        self.history.add("up", who=f"agent-{number}", up=True)

    def stop_agent(self, number: int, stopped: bool) -> None:
        self.agents[number].send(signal.SIGSTOP if stopped else signal.SIGCONT)
        self.history.add("up", who=f"agent-{number}", up=not stopped)

    def cut_record(self, numbers: Sequence[int], cut: bool) -> None:
        for number in numbers:
            (self.ways[number].cut if cut else self.ways[number].mend)()
            self.history.add("reach", who=f"agent-{number}", agent="record", up=not cut)

    def cut_region(self, cut: bool) -> None:
        """South from north, and with it from the record, which is in north."""
        self.cut_record([n for n in range(self.size.agents) if region_of(n) == "south"], cut)
        for (region, number), link in self.links.items():
            if region != region_of(number):
                (link.cut if cut else link.mend)()
                for one in self.hollow:
                    if one.region == region:
                        self.history.add("reach", who=one.name, agent=f"agent-{number}", up=not cut)

    async def close(self) -> None:
        for one in self.hollow:
            if one.task is not None:
                one.task.cancel()
        for process in (*self.sidecars, *self.agents):
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        for process in (*self.sidecars, *self.agents):
            if process.running is not None:
                await process.running.wait()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, *(one.task for one in self.hollow if one.task), return_exceptions=True)
        for relay in (*self.ways, *self.links.values()):
            relay.close()
        for port in self.ports:
            port.close()
        await self.client.aclose()
        await self.peer.stop()
        await self.discovery.stop()
        await self.record.stop()


async def played(size: Size, work: Callable[[PublishedStage], Awaitable[None]], keep: Path | None = None,
                 agent: Sequence[str] = AGENT) -> History:
    """One play, `apart`. Raises StageError."""
    with apart(keep) as (folder, history):
        stage = PublishedStage(size, folder, history, agent)
        try:
            await stage.set_up()
            await work(stage)
            history.add("end")
        finally:
            await stage.close()
    return history
