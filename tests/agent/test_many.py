"""A rollout to 200 sidecar processes, some of which are killed, suspended or terminated meanwhile: what the command
line reports of each equals what the test reads from the process itself, over its own sockets.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from ironscale.control.messages import Command
from ironscale.control.processes import is_alive, start_ticks
from ironscale.standins.discovery import ListedDiscovery, listing
from ironscale.standins.http import read_message
from ironscale.standins.settings import SETTINGS
from ironscale.standins.upstream import Peer
from tests.agent.agent_harness import AgentScene, run, scene, until
from tests.deployed import ROOT

COUNT = int(os.environ.get("MANY_COUNT", "200"))
SEEDS = [int(seed) for seed in os.environ.get("MANY_SEEDS", "1,2").split(",")]
LEASE_S = 3.0
GATE = "z-gate"  # a simulated instance in the last wave: the operation can't end before the test allows it
EXTRA = {"name": "extra", "aim": 1_000_000, "deadline": 2_000_000, "worth": 1.0, "effect": "idempotent"}
OVERLAY = {"settings": {"request-classes": [*SETTINGS["request-classes"], EXTRA]}}


class ManyProcesses:
    def __init__(self, scene: AgentScene, folder: Path, seed: int) -> None:
        self.scene, self.folder = scene, folder
        self.random = random.Random(seed)
        self.peer, self.discovery = Peer(), ListedDiscovery()
        self.processes: dict[str, tuple[int, int]] = {}
        self.ports: dict[str, int] = {}
        self.faults: dict[str, str] = {}

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        await self.peer.start()
        self.discovery.put(self.peer.entry("s-1"))
        await self.discovery.start()
        zygote = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests.agent.fork_server", cwd=ROOT, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE)
        assert zygote.stdin is not None and zygote.stdout is not None
        self.faults = wrongs = {f"app-{n:03}": how for n, how in zip(self.random.sample(range(COUNT), min(COUNT, 9)),
                                                      ["dies"] * 3 + ["garbles"] * 3 + ["slow"] * 3, strict=False)}
        try:
            for n in range(COUNT):
                name = f"app-{n:03}"
                config = self.folder / f"{name}.json"
                config.write_text(json.dumps({
                    "name": name, "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{self.discovery.port}",
                    "seed": f"{n:x}", "limits": {"sockets": 64}, "known": listing(self.peer.entry("s-1")),
                    "settings": {**SETTINGS, "instances": COUNT, "self-index": n}}))
                order = {"log": str(self.folder / "log"), "wrong": wrongs.get(name, ""), "environ": {
                    "GW_CONFIG": str(config), "GW_AGENT": f"127.0.0.1:{self.scene.agent.control_port}",
                    "GW_AGENT_TOKEN_FILE": str(self.scene.agent.data / "instance.token"), "GW_ZONE": f"z{n % 4}"}}
                zygote.stdin.write(json.dumps(order).encode() + b"\n")
                await zygote.stdin.drain()
                pid = int(await zygote.stdout.readline())
                self.processes[name] = (pid, start_ticks(pid) or 0)
            members = self.scene.agent.fleet.members
            await until(lambda: sum(m.report is not None and m.report.ready for m in members.values()) >= COUNT)
            self.ports = {name: int(members[name].row.listen.rpartition(":")[2]) for name in self.processes}
            assert {name: members[name].row.pid for name in self.processes} == {
                name: pid for name, (pid, _) in self.processes.items()}
            yield
        finally:
            for name in self.processes:
                self.signal(name, signal.SIGKILL)
            zygote.stdin.close()
            await zygote.wait()
            await self.peer.stop()
            await self.discovery.stop()

    def signal(self, name: str, number: int) -> None:
        pid, ticks = self.processes[name]
        if is_alive(pid, ticks):
            os.kill(pid, number)

    def is_alive(self, name: str) -> bool:
        return is_alive(*self.processes[name])

    async def knows_extra(self, name: str) -> bool:
        """Whether the process accepts a request of the class that only the new settings have."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[name])
        writer.write(b"GET /api HTTP/1.1\r\nHost: h\r\nX-Txn: t\r\nX-Lane: extra\r\nX-Remaining: 2000m\r\n\r\n")
        status = (await read_message(reader)).status
        writer.close()
        assert status in (200, 400, 503), status
        return status != 400

    def hold_gate(self) -> tuple[asyncio.Event, asyncio.Event]:
        """The gate instance receives its command and delays it until allowed; its heartbeats go on."""
        reached, let = asyncio.Event(), asyncio.Event()
        session = self.scene.clients[GATE].session
        assert session is not None
        on_command = session.on_command

        def held(command: Command) -> None:
            async def later() -> None:
                await let.wait()
                on_command(command)

            reached.set()
            self.scene.tasks[f"{GATE} lets"] = asyncio.create_task(later())

        session.on_command = held  # type: ignore[method-assign]
        return reached, let

    async def tool(self, *arguments: str) -> tuple[int, Any]:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ironscale.cli", *arguments, "--data", str(self.scene.agent.data), "-o", "json",
            cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE)
        out, err = await process.communicate()
        assert process.returncode is not None
        return process.returncode, json.loads(out) if out else err.decode()


@pytest.mark.parametrize("seed", SEEDS)
def test_what_the_tool_says_of_each_of_200_processes_is_true(seed: int, tmp_path: Path) -> None:
    print(f"seed {seed}")

    async def test() -> None:
        async with scene(tmp_path / "data", seed, lease_s=LEASE_S, heartbeat_s=0.5) as s:
            s.start(GATE)
            await until(lambda: GATE in s.agent.fleet.members)
            many = ManyProcesses(s, tmp_path, seed)
            async with many.running():
                await campaign(many, tmp_path)

    run(test)


async def campaign(many: ManyProcesses, folder: Path) -> None:
    rng, names = many.random, sorted(many.processes)
    code, listed = await many.tool("ls")
    assert code == 0 and [node["name"] for node in listed] == [*names, GATE]
    assert {node["state"] for node in listed} == {"READY"}
    reached, let = many.hold_gate()
    victims = rng.sample(names, COUNT * 3 // 10)
    part = len(victims) // 4
    fates = dict(zip(victims, ["kill"] * part + ["stop"] * part + ["term"] * part + ["pause"] * len(victims),
                     strict=False))

    async def strike(name: str) -> None:
        await asyncio.sleep(rng.random() * 1.5)
        match fates[name]:
            case "kill":
                many.signal(name, signal.SIGKILL)
            case "stop":
                many.signal(name, signal.SIGSTOP)
            case "term":
                many.signal(name, signal.SIGTERM)
            case "pause":  # suspended, but within its lease
                many.signal(name, signal.SIGSTOP)
                await asyncio.sleep(rng.random() * LEASE_S * 0.4)
                many.signal(name, signal.SIGCONT)

    (folder / "overlay.json").write_text(json.dumps(OVERLAY))
    rollout = asyncio.create_task(many.tool(
        "apply", str(folder / "overlay.json"), "--yes", "--wave", str(max(1, COUNT // 5)),
        "--max-failures", str(COUNT), "--answer-timeout", "30"))
    await until(lambda: many.scene.engine.live_operations)  # it has begun
    await asyncio.gather(*(strike(name) for name in victims))
    await reached.wait()
    await asyncio.sleep(LEASE_S + 0.5)  # by now silent processes have lost their lease
    many.scene.tasks.pop(f"{GATE} lets", None)
    let.set()
    code, op = await rollout
    account = {target["name"]: target for target in op["targets"]}
    assert code == 3 and op["phase"] == "PARTIAL" and sorted(account) == [*names, GATE]
    for name in names:
        state = account[name]["state"]
        alive, stopped = many.is_alive(name), fates.get(name) == "stop"
        if stopped and alive:
            assert state == "NO_ANSWER" and account[name]["since"], (name, account[name])
        elif not alive:
            assert state == "GONE", (name, account[name])
        else:
            knows = await many.knows_extra(name)
            assert state in ("APPLIED", "NO_ANSWER", "FAILED", "REFUSED", "NOT_STARTED")
            # An instance that sends garbage is refused for longer than its lease, and a suspended one may have lost
            # its lease: "no answer" means that its state is unknown, which is correct.
            unknown = state == "NO_ANSWER" and (many.faults.get(name) == "garbles" or fates.get(name) == "pause")
            assert unknown or knows is (state == "APPLIED"), (name, account[name], knows, fates.get(name))
    counts = Counter(target["state"] for target in account.values())
    assert counts["APPLIED"] >= COUNT // 2 and counts["GONE"] and counts["NO_ANSWER"], counts
    code, shown = await many.tool("ls", "--selector", "state=gone")
    assert code == 0 and {node["name"] for node in shown} == {n for n in names if not many.is_alive(n)}
