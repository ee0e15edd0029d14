"""Plays a world: starts its processes, lets the schedule befall them, and writes down what they show."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import sqlite3
import sys
import tempfile
import uuid
from collections.abc import Callable, Coroutine, Iterator, Sequence
from functools import partial
from pathlib import Path
from typing import Any

import httpx

from ironscale.stage.fault_scenario import Event, World, event_data
from ironscale.stage.history import History
from ironscale.stage.relay import Port, Relay
from ironscale.standins.discovery import ListedDiscovery
from ironscale.standins.settings import SETTINGS
from ironscale.standins.upstream import Peer

LOOK_S = 0.02  # between two looks at a sidecar's readiness, or at the record's file
ANSWER_S = 0.5  # a sidecar that has not answered by then does not serve
START_S, BACK_S = 30.0, 45.0
AGENT = (sys.executable, "-m", "ironscale.cli")
TAKE = """mutation($i: PermitInput!) { takePermit(input: $i) { id phase } }"""
GIVE = """mutation($id: Int!) { giveBackPermit(id: $id) { phase } }"""
RENEW = """mutation($id: Int!) { renewPermit(id: $id) { phase } }"""
DRAIN = """mutation($i: OperationInput!) { %s(input: $i) { id } }"""


class StageError(Exception):
    """A play that could not begin; the text is one line."""


class Process:
    """One on the stage, by id; started again under the same name."""

    def __init__(self, name: str, command: Sequence[str], environ: dict[str, str], log: Path) -> None:
        self.name, self.command, self.environ, self.log = name, command, environ, log
        self.running: asyncio.subprocess.Process | None = None
        self.down = 0  # faults that keep it from being started

    async def start(self) -> None:
        with open(self.log, "ab") as log:
            self.running = await asyncio.create_subprocess_exec(
                *self.command, env=self.environ, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)

    def send(self, number: int) -> None:
        if self.running is not None and self.running.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.running.send_signal(number)

    async def kill(self, number: int = signal.SIGKILL, within_s: float = 5.0) -> None:
        self.send(number)
        self.send(signal.SIGCONT)
        if self.running is not None:
            try:
                async with asyncio.timeout(within_s):
                    await self.running.wait()
            except TimeoutError:
                self.send(signal.SIGKILL)
                await self.running.wait()


class Stage:
    def __init__(self, world: World, folder: Path, history: History, agent: Sequence[str] = AGENT) -> None:
        self.world, self.folder, self.history, self.agent_command = world, folder, history, agent
        self.record = folder / "shared.db"
        self.agents: list[Process] = []
        self.sidecars: list[Process] = []
        self.ports: list[Port] = []
        self.sidecar_ports: list[int] = []
        self.links: dict[tuple[int, int], Relay] = {}  # (sidecar, agent)
        self.faults: dict[str, list[Event]] = {}  # that last, by whom they befell
        self.discovery, self.peer = ListedDiscovery(), Peer()
        self.client = httpx.AsyncClient(trust_env=False, timeout=1.0)
        self.tasks: set[asyncio.Task[None]] = set()
        self.serving: dict[str, bool] = {}
        self.over = False

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # The set

    async def set_up(self) -> None:
        """Raises StageError."""
        world = self.world
        self.peer.keep_messages = False
        await self.peer.start()
        self.discovery.put(self.peer.entry("node-0"))
        await self.discovery.start()
        for number in range(world.agents):
            self.agents.append(self.make_agent(number))
        await self.agents[0].start()
        await self.until(lambda: (self.folder / "agent-0" / "address").exists(), "agent-0 did not start")
        for agent in self.agents[1:]:
            await agent.start()
        for number in range(world.sidecars):
            for at in range(world.agents):
                self.links[number, at] = await Relay(("127.0.0.1", self.ports[at].number)).start()
        for number in range(world.sidecars):
            self.sidecars.append(self.make_sidecar(number))
            await self.sidecars[-1].start()
        for number in range(world.sidecars):
            self.spawn(self.look(number))
        await self.until(lambda: len(self.serving) == world.sidecars and all(self.serving.values()),
                         "not all sidecars serve")
        await self.until_ready(world.sidecars, START_S)
        self.history.restart()  # the play begins here
        self.spawn(self.look_at_record())

    def make_agent(self, number: int) -> Process:
        world, port = self.world, Port()
        self.ports.append(port)
        lines = ["[agent]", f'data = "agent-{number}"', f'control = "127.0.0.1:{port.number}"',
                 'api = "127.0.0.1:0"', f"lease_s = {world.lease_s}", f"heartbeat_s = {world.lease_s / 8}",
                 'record = "shared.db"', "standby = true", f"term_s = {world.term_s}"]
        for limit in world.limits:
            lines += ["[[agent.budget]]", f'name = "{limit.name}"', f"number = {limit.number}",
                      f'each = "{limit.each}"']
        file = self.folder / f"agent-{number}.toml"
        file.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return Process(f"agent-{number}", [*self.agent_command, "agent", str(file)], dict(os.environ),
                       self.folder / f"agent-{number}.log")

    def make_sidecar(self, number: int) -> Process:
        world, name, port = self.world, f"sidecar-{number}", Port()
        self.ports.append(port)
        self.sidecar_ports.append(port.number)
        config = {"name": name, "listen": f"127.0.0.1:{port.number}", "discovery": f"127.0.0.1:{self.discovery.port}",
                  "seed": f"{number + 1:x}", "limits": {"sockets": 64},
                  "settings": {**SETTINGS, "instances": world.sidecars, "self-index": number}}
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(config), encoding="utf-8")
        agents = ",".join(f"127.0.0.1:{self.links[number, at].port}" for at in range(world.agents))
        environ = {**os.environ, "GW_CONFIG": str(file), "GW_AGENT": agents, "GW_ZONE": world.zone(number),
                   "GW_AGENT_TOKEN_FILE": str(self.folder / "agent-0" / "instance.token")}
        for variable in ("GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_OPERATOR", "GW_OVERLAY"):
            environ.pop(variable, None)
        return Process(name, [sys.executable, "-B", "-m", "ironscale"], environ, self.folder / f"{name}.log")

    async def until(self, condition: Callable[[], bool], wrong: str) -> None:
        try:
            async with asyncio.timeout(START_S):
                while not condition():
                    await asyncio.sleep(LOOK_S)
        except TimeoutError:
            raise StageError(f"{wrong} within {START_S:g} s; see the logs in {self.folder}") from None

    async def until_ready(self, count: int, within_s: float) -> bool:
        """Whether the agent that leads comes to see so many sidecars ready, and has no permit left."""
        try:
            async with asyncio.timeout(within_s):
                while True:
                    told = await self.call("{ fleet { ready } permits { id } }", {})
                    if told is not None and told["fleet"]["ready"] == count and not told["permits"]:
                        return True
                    await asyncio.sleep(0.1)
        except TimeoutError:
            return False

    # What is seen

    async def look(self, number: int) -> None:
        """A sidecar's own socket: does it serve?"""
        name, was = f"sidecar-{number}", None
        while not self.over:
            asked_us = self.history.now_us()
            serves = await self.serves(self.sidecar_ports[number])
            if self.over:
                return
            # out is told again and again: how long it lasts for certain is known by that
            if serves != was or not serves:
                self.history.add("truth", who=name, serves=serves, asked_us=asked_us)
            was = self.serving[name] = serves
            await asyncio.sleep(LOOK_S)

    @classmethod
    async def serves(cls, port: int) -> bool:
        """Whether a sidecar answers within `ANSWER_S` in which this process runs: time that it stood still itself says
        nothing of the sidecar."""
        answer = asyncio.create_task(cls.is_ready(port))
        try:
            for _ in range(round(ANSWER_S / LOOK_S)):
                done, _ = await asyncio.wait([answer], timeout=LOOK_S)
                if done:
                    return answer.result()
            return False
        finally:
            answer.cancel()

    @staticmethod
    async def is_ready(port: int) -> bool:
        """What a sidecar answers, however long it takes."""
        writer: asyncio.StreamWriter | None = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: stage\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            if writer is not None:
                writer.close()

    async def look_at_record(self) -> None:
        """The record's file, by statements of our own: what an agent says of it is not asked."""
        phases: dict[int, str] = {}
        term = 0
        while not self.over:
            with contextlib.suppress(sqlite3.Error), contextlib.closing(
                    sqlite3.connect(f"file:{self.record}?mode=ro", uri=True, timeout=0.2)) as found:
                rows = found.execute("SELECT id, holder, body FROM permits").fetchall()
                epoch, place = found.execute("SELECT epoch, place FROM owner").fetchone()
                if epoch != term:
                    self.history.add("term", epoch=epoch, place=place)
                    term = epoch
                seen = {ident: (holder, json.loads(body)) for ident, holder, body in rows}
                for ident in phases.keys() - seen.keys():
                    self.history.add("permit", id=ident, phase="gone", units=self.units[ident], holder="")
                    del phases[ident]
                for ident, (holder, body) in seen.items():
                    if phases.get(ident) != body["phase"]:
                        phases[ident], self.units[ident] = body["phase"], body["units"]
                        self.history.add("permit", id=ident, phase=body["phase"], units=body["units"], holder=holder)
            await asyncio.sleep(LOOK_S)

    units: dict[int, list[str]]

    # Operators

    async def call(self, query: str, variables: dict[str, Any]) -> dict[str, Any] | None:
        """To whichever agent leads; None where none answers or one refuses."""
        for number in range(self.world.agents):
            with contextlib.suppress(httpx.HTTPError, OSError, ValueError, KeyError, TypeError):
                url = (self.folder / f"agent-{number}" / "address").read_text().strip()
                token = (self.folder / "agent-0" / "admin.token").read_text().strip()
                answer = await self.client.post(f"{url}/graphql", headers={"Authorization": f"Bearer {token}"},
                                                json={"query": query, "variables": variables})
                body = answer.json()
                code = (body.get("errors") or [{}])[0].get("extensions", {}).get("code", "")
                if query.startswith("{"):
                    if body["data"]["fleet"]["ready"]:
                        return dict(body["data"])
                elif code == "NOT_LEADING":
                    continue
                else:
                    self.history.add("call", query=query.partition("(")[0][-40:], variables=variables, code=code)
                    return dict(body["data"]) if not code else None
        return None

    async def drain(self, name: str, undrain: bool = False) -> None:
        await self.call(DRAIN % ("undrain" if undrain else "drain"), {"i": {
            "selector": f"name={name}", "supersede": True, "idempotencyKey": uuid.uuid4().hex,
            "policy": {"maxFailures": 100, "answerMs": 5000}}})

    async def script(self, sidecar: Process, for_ms: int) -> None:
        """A script of somebody's: asks for leave, restarts a sidecar, gives back. As `ironscale permit run` does it."""
        key, ident = uuid.uuid4().hex, 0
        for _ in range(200):  # a call whose answer is lost is made again, by its key
            told = await self.call(TAKE, {"i": {"key": key, "units": [f"sidecar/{sidecar.name}"], "leaseMs": 2000}})
            if told is not None:
                ident = told["takePermit"]["id"]
                if told["takePermit"]["phase"] in ("HELD", "UNKNOWN"):
                    break
            if self.ending and ident:  # hazard: one whose answer was lost may be held, and would never be given back
                break
            await asyncio.sleep(0.1)
        held = await self.call(RENEW, {"id": ident}) if ident else None
        if held is not None and held["renewPermit"]["phase"] == "HELD" and not sidecar.down and not self.ending:
            sidecar.down += 1
            await sidecar.kill(signal.SIGTERM)
            await asyncio.sleep(for_ms / 1000)
            sidecar.down -= 1
            if not sidecar.down:
                await sidecar.start()
        while ident and not self.over and await self.call(GIVE, {"id": ident}) is None:
            await asyncio.sleep(0.1)

    ending = False

    # Faults

    async def befall(self, event: Event) -> None:
        await asyncio.sleep(max(0.0, event.at_ms / 1000 - self.history.now_us() / 1e6))
        if self.ending:
            return
        number = int(event.who.rpartition("-")[2])
        if event.kind in ("drain", "undrain"):
            await self.drain(event.who, event.kind == "undrain")
            if event.kind == "drain":  # an operator who comes back to it
                await asyncio.sleep(event.for_ms / 1000)
                await self.drain(event.who, undrain=True)
        elif event.kind == "script":
            await self.script(self.sidecars[number], event.for_ms)
        elif event.kind == "halt":
            await self.call('mutation { halt(reason: "stage") { actor } }', {})
            await asyncio.sleep(event.for_ms / 1000)
            await self.call("mutation { liftHalt { actor } }", {})
        else:
            process = (self.agents if event.who.startswith("agent") else self.sidecars)[number]
            await self.strike(event, process, number)

    async def strike(self, event: Event, process: Process, number: int) -> None:
        links = [link for (sidecar, agent), link in self.links.items()
                 if (agent if event.who.startswith("agent") else sidecar) == number]
        is_process = event.kind in ("kill", "stop")
        if is_process and process.down:
            return
        self.history.add("fault", **event_data(event))
        if event.kind == "kill":
            process.down += 1
            await process.kill()
        elif event.kind == "stop":
            process.down += 1
            process.send(signal.SIGSTOP)
        for link in links if not is_process else ():
            {"cut": link.cut, "deaf": link.deaf, "mute": link.mute, "reset": link.reset}.get(
                event.kind, partial(link.delay, 0.2))()
        await asyncio.sleep(event.for_ms / 1000)
        if is_process:
            process.down -= 1
            if event.kind == "kill" and not process.down and not self.over:
                await process.start()
            process.send(signal.SIGCONT)
        for link in links if not is_process else ():
            link.mend()
        self.history.add("fault", **event_data(event), mended=True)

    # The play

    async def play(self) -> None:
        """Raises StageError."""
        self.units = {}
        try:
            await self.set_up()
            acts = [asyncio.create_task(self.befall(event)) for event in self.world.events]
            await asyncio.sleep(self.world.seconds)
            self.ending = True
            await asyncio.wait(acts, timeout=BACK_S) if acts else None
            left = await self.come_back()
            self.history.add("end", left=left)
        finally:
            await self.close()

    async def come_back(self) -> str:
        """With all faults mended: operators undrain what they had drained, and the rest comes back by itself."""
        deadline_s = asyncio.get_running_loop().time() + BACK_S
        while asyncio.get_running_loop().time() < deadline_s:
            await self.call("mutation { liftHalt { actor } }", {})
            await self.drain("*", undrain=True)
            if await self.until_ready(self.world.sidecars, 5.0):
                return ""
        told = await self.call("{ fleet { ready } permits { id phase holder waitsFor } }", {})
        return json.dumps(told) if told else "no agent leads"

    async def close(self) -> None:
        self.over = True
        for process in (*self.sidecars, *self.agents):
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        for process in (*self.sidecars, *self.agents):
            if process.running is not None:
                await process.running.wait()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for relay in self.links.values():
            relay.close()
        for port in self.ports:
            port.close()
        await self.peer.stop()
        await self.discovery.stop()
        await self.client.aclose()


@contextlib.contextmanager
def apart(keep: Path | None) -> Iterator[tuple[Path, History]]:
    """A folder of its own for one play, and its history there; `keep`: that and the logs stay there."""
    folder = Path(tempfile.mkdtemp(prefix="stage-"))
    history = History(folder / "history.jsonl")
    try:
        yield folder, history
    finally:
        history.close()
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            for path in (*folder.glob("*.jsonl"), *folder.glob("*.log")):
                shutil.copy(path, keep / path.name)
        shutil.rmtree(folder, ignore_errors=True)


async def played(world: World, keep: Path | None = None, agent: Sequence[str] = AGENT) -> History:
    """One play, `apart`. Raises StageError."""
    with apart(keep) as (folder, history):
        await Stage(world, folder, history, agent).play()
    return history
