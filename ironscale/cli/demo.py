"""`ironscale demo`: everything at work on loopback for half a minute, and an account of it at the end."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter, deque
from collections.abc import Callable
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click
import uvloop
from rich.console import Group, RenderableType
from rich.live import Live

from ironscale.cli.client import Api, Where
from ironscale.cli.common import OPERATION, line_of
from ironscale.cli.instances import FIELDS
from ironscale.cli.output import Exit, err, out, table, word
from ironscale.control.processes import is_alive, start_ticks
from ironscale.standins.discovery import ListedDiscovery
from ironscale.standins.http import Message, ok, read_message
from ironscale.standins.settings import SETTINGS
from ironscale.standins.upstream import Peer, hang

SIDECARS, UPSTREAMS = 4, 5
RATE = 160.0  # requests a second over all sidecars
CLASSES = (("view", 0.8), ("mark", 0.12), ("pay", 0.08))
WINDOW_S = 2.0  # of the live rates and latencies
READY_S = 20.0
DEMO_SETTINGS: dict[str, Any] = {
    **SETTINGS, "instances": SIDECARS,
    "request-classes": [
        {"name": "view", "aim": 300_000, "deadline": 1_500_000, "worth": 1.0, "effect": "idempotent"},
        {"name": "pay", "aim": 600_000, "deadline": 2_000_000, "worth": 5.0, "effect": "at_most_once"},
        {"name": "mark", "aim": 400_000, "deadline": 2_000_000, "worth": 3.0, "effect": "deduplicated",
         "group": "all", "memory-span": 1_200_000},
    ],
}


@dataclass(slots=True)
class Tally:
    """What clients of one sidecar got, and when."""

    outcomes: Counter[str] = field(default_factory=Counter)
    recent: deque[tuple[float, float]] = field(default_factory=deque)  # (when, seconds) of answers of 200

    def add(self, outcome: str, now_s: float, took_s: float) -> None:
        self.outcomes[outcome] += 1
        if outcome == "served":
            self.recent.append((now_s, took_s))

    def live(self, now_s: float) -> tuple[float, float, float]:
        """Answers a second, median and 99th percentile in ms."""
        while self.recent and self.recent[0][0] < now_s - WINDOW_S:
            self.recent.popleft()
        times = sorted(took for _, took in self.recent)
        if not times:
            return 0.0, 0.0, 0.0
        return (len(times) / WINDOW_S, times[len(times) // 2] * 1000,
                times[min(len(times) - 1, int(len(times) * 0.99))] * 1000)


class Demo:
    def __init__(self, folder: Path, seconds: float, seed: int) -> None:
        self.folder = folder
        self.seconds = seconds
        self.random = random.Random(seed)
        self.peers = [Peer() for _ in range(UPSTREAMS)]
        self.discovery = ListedDiscovery()
        self.tallies: dict[str, Tally] = {f"app-{i}": Tally() for i in range(SIDECARS)}
        self.classes: dict[str, Counter[str]] = {name: Counter() for name, _ in CLASSES}
        self.where: dict[str, tuple[str, int]] = {}
        self.nodes: dict[str, dict[str, Any]] = {}
        self.processes: dict[int, int] = {}  # pids that the agent has shown, and their start times
        self.agent: subprocess.Popen[bytes] | None = None
        self.api: Api | None = None
        self.story: list[str] = []
        self.wrong: list[str] = []
        self.start_s = 0.0
        self.count = 0
        self.unsafe: set[str] = set()

    # The world

    async def set_up(self) -> None:
        for index, peer in enumerate(self.peers):
            peer.keep_messages = False
            peer.behave = self.work
            await peer.start()
            self.discovery.put(peer.entry(f"node-{index}"))
        await self.discovery.start()
        config = {"discovery": f"127.0.0.1:{self.discovery.port}", "seed": "1f", "limits": {"sockets": 512},
                  "settings": DEMO_SETTINGS}
        (self.folder / "app.json").write_text(json.dumps(config), encoding="utf-8")
        (self.folder / "operator.toml").write_text(
            '[agent]\ndata = "data"\ncontrol = "127.0.0.1:0"\napi = "127.0.0.1:0"\nlease_s = 2.0\n'
            'heartbeat_s = 0.4\n\n[[agent.budget]]\nname = "app"\nnumber = 2\n'
            f'\n[[agent.service]]\nname = "app"\ncount = {SIDECARS}\nconfig = "app.json"\n'
            'zone = "a"\nstop_s = 4.0\n', encoding="utf-8")
        with open(self.folder / "agent.log", "wb") as log:
            self.agent = subprocess.Popen(
                [sys.executable, "-m", "ironscale.cli", "agent", str(self.folder / "operator.toml"),
                 "--stop-instances"], stdout=log, stderr=log, stdin=subprocess.DEVNULL, start_new_session=True)
        deadline_s = time.monotonic() + READY_S
        while True:
            if self.agent.poll() is not None or time.monotonic() > deadline_s:
                log_text = (self.folder / "agent.log").read_text(errors="replace")
                raise RuntimeError(f"the agent did not start: {log_text.strip()[-400:]}")
            with suppress(Exception):
                self.api = self.api or Api(Where(None, None, self.folder / "data"))
            if self.api is not None:
                with suppress(Exception):
                    await self.look()
                if sum(node["state"] == "READY" for node in self.nodes.values()) == SIDECARS:
                    return
            await asyncio.sleep(0.1)

    async def work(self, peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(min(0.2, self.random.lognormvariate(-4.0, 0.5)))
        writer.write(ok(message.headers["x-txn"].encode()))

    async def look(self) -> None:
        """What the agent shows now; sidecars may have moved to another port."""
        assert self.api is not None
        found = await asyncio.to_thread(
            self.api.call, "{ instances { edges { node { " + FIELDS + " } } } }")
        for edge in found["instances"]["edges"]:
            node = edge["node"]
            self.nodes[node["name"]] = node
            host, _, port = node["listen"].rpartition(":")
            if node["state"] != "GONE":
                self.where[node["name"]] = (host, int(port))
            ticks = start_ticks(node["pid"])
            if ticks is not None and node["state"] != "GONE":
                self.processes[node["pid"]] = ticks

    # Traffic

    async def traffic(self, until_s: float) -> None:
        """Open loop: requests go out when they are due, whatever has come back."""
        due_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            while due_s < until_s:
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                name = self.random.choice(sorted(self.tallies))
                lane = self.random.choices([c for c, _ in CLASSES], [share for _, share in CLASSES])[0]
                group.create_task(self.ask(name, lane))
                due_s += self.random.expovariate(RATE)

    async def ask(self, name: str, lane: str) -> None:
        self.count += 1
        txn, start_s = f"demo{self.count}", time.monotonic()
        outcome = "no answer"
        if lane == "pay":
            self.unsafe.add(txn)
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_connection(*self.where[name])
                method, key = ("GET", "") if lane == "view" else ("POST", "")
                if lane == "mark":
                    key = f"Idempotency-Key: {txn}\r\n"
                writer.write(f"{method} /api HTTP/1.1\r\nHost: app\r\nX-Txn: {txn}\r\nX-Lane: {lane}\r\n{key}"
                             f"X-Org: north\r\nX-Remaining: 1500m\r\nContent-Length: 0\r\n\r\n".encode())
                answer = await read_message(reader)
                right = answer.status == 200 and answer.body == txn.encode()
                outcome = "served" if right else "refused" if answer.status == 503 else "failed"
        except (OSError, EOFError, TimeoutError):
            pass  # the sidecar is down: nobody is there to answer
        finally:
            if writer is not None:
                writer.close()
        now_s = time.monotonic()
        self.tallies[name].add(outcome, now_s, now_s - start_s)
        self.classes[lane][outcome] += 1

    # What happens to it

    def tell(self, text: str) -> None:
        self.story.append(f"{time.monotonic() - self.start_s:5.1f} s  {text}")

    async def at(self, share: float) -> None:
        await asyncio.sleep(max(0.0, self.start_s + share * self.seconds - time.monotonic()))

    async def events(self) -> None:
        await self.at(0.12)
        self.tell("node-0 stalls: it takes requests and answers nothing")
        self.peers[0].behave = hang
        await self.at(0.3)
        self.peers[0].behave = self.work
        self.peers[0].answer_held(ok())
        self.tell("node-0 answers again")
        await self.at(0.35)
        victim = self.nodes["app-1"]
        self.tell(f"app-1 (process {victim['pid']}) is killed")
        os.kill(victim["pid"], signal.SIGKILL)
        await self.until(lambda: self.nodes["app-1"]["boot"] != victim["boot"]
                         and self.nodes["app-1"]["state"] == "READY", "app-1 is back, started by the agent")
        await self.at(0.55)
        await self.operate("drain", {"selector": "name=app-2"}, "OperationInput")
        await self.at(0.7)
        classes = [{**c, "aim": c["aim"] * 2} for c in DEMO_SETTINGS["request-classes"]]
        await self.operate("apply", {"overlay": {"settings": {"request-classes": classes}}, "expectGeneration": 0,
                                     "policy": {"wave": 2}}, "ApplyInput")
        await self.at(0.85)
        await self.operate("undrain", {"selector": "name=app-2"}, "OperationInput")
        await self.halted_release()

    async def halted_release(self) -> None:
        """A canary that soaks, a halt by hand, and the way back."""
        assert self.api is not None
        apply = OPERATION + "mutation($input: ApplyInput!) { apply(input: $input) { ...Op } }"
        op = (await asyncio.to_thread(self.api.mutate, apply, {
            "overlay": {"settings": {"request-classes": DEMO_SETTINGS["request-classes"]}}, "expectGeneration": 1,
            "policy": {"canary": 1, "gate": True, "soakMs": 60_000}}))["apply"]
        query = OPERATION + "query($id: Int!) { operation(id: $id) { ...Op } }"

        async def seen(condition: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
            assert self.api is not None
            deadline_s = time.monotonic() + 10.0
            while True:
                found: dict[str, Any] = (await asyncio.to_thread(self.api.call, query, id=op["id"]))["operation"]
                if condition(found) or time.monotonic() > deadline_s:
                    return found
                await asyncio.sleep(0.05)

        self.tell(line_of(await seen(lambda found: bool(found["stalled"]))))
        await asyncio.to_thread(self.api.call, 'mutation { halt(reason: "demo") { actor } }')
        self.tell("halt: nothing more is taken out, anywhere")
        await asyncio.to_thread(self.api.call, "mutation($id: Int!) { rollBack(operation: $id) { id } }", id=op["id"])
        ended = await seen(lambda found: not found["open"])
        self.tell(line_of(ended))
        await asyncio.to_thread(self.api.call, "mutation { liftHalt { actor } }")
        if ended["phase"] != "ROLLED_BACK":
            self.wrong.append(line_of(ended))

    async def until(self, condition: Callable[[], bool], text: str) -> None:
        deadline_s = time.monotonic() + 10.0
        while not condition():
            if time.monotonic() > deadline_s:
                self.wrong.append(f"not seen: {text}")
                return
            await asyncio.sleep(0.05)
        self.tell(text)

    async def operate(self, name: str, input_: dict[str, Any], kind: str) -> None:
        assert self.api is not None
        mutation = OPERATION + f"mutation($input: {kind}!) {{ {name}(input: $input) {{ ...Op }} }}"
        op = (await asyncio.to_thread(self.api.mutate, mutation, input_))[name]
        self.tell(f"{name}: operation {op['id']} has begun")
        query = OPERATION + "query($id: Int!) { operation(id: $id) { ...Op } }"
        while op["open"]:
            await asyncio.sleep(0.1)
            op = (await asyncio.to_thread(self.api.call, query, id=op["id"]))["operation"]
        self.tell(line_of(op))
        if op["phase"] != "SUCCEEDED":
            self.wrong.append(line_of(op))

    # What is shown

    def picture(self) -> RenderableType:
        now_s = time.monotonic()
        rows = []
        for name, tally in self.tallies.items():
            node = self.nodes.get(name, {})
            report = node.get("report")
            rate, median, tail = tally.live(now_s)
            resting = report["upstreamsResting"] if report else "?"
            rows.append((name, word(node.get("state", "?")), node.get("generation", "?"), f"{rate:.0f}",
                         f"{median:.0f}", f"{tail:.0f}", tally.outcomes["served"], tally.outcomes["refused"],
                         tally.outcomes["failed"], tally.outcomes["no answer"],
                         report["open"] if report else "?", resting))
        columns = ("NAME", "STATE", "GEN", "RATE/S", "P50 MS", "P99 MS", "SERVED", "REFUSED", "FAILED", "NO ANSWER",
                   "OPEN", "NODES RESTING")
        passed = now_s - self.start_s
        return Group(f"{passed:4.1f} of {self.seconds:.0f} s, {RATE:.0f} requests a second",
                     table(columns, rows), *[line.replace("[", r"\[") for line in self.story[-8:]])

    async def show(self) -> None:
        """The table moves on a terminal; elsewhere only the story is printed, as it happens."""
        told = 0
        with ExitStack() as stack:
            live = stack.enter_context(Live(self.picture(), console=out, auto_refresh=False, transient=True)
                                       ) if out.is_terminal else None
            while True:
                with suppress(Exception):
                    await self.look()
                if live is not None:
                    live.update(self.picture(), refresh=True)
                else:
                    for line in self.story[told:]:
                        out.print(line, markup=False)
                    told = len(self.story)
                await asyncio.sleep(0.25)

    def summary(self) -> None:
        out.print(self.picture() if out.is_terminal else table(
            ("SIDECAR", "SERVED", "REFUSED", "FAILED", "NO ANSWER"),
            [(name, *(t.outcomes[o] for o in ("served", "refused", "failed", "no answer")))
             for name, t in self.tallies.items()]))
        out.print(table(("CLASS", "SERVED", "REFUSED", "FAILED", "NO ANSWER"), [
            (name, *(found[o] for o in ("served", "refused", "failed", "no answer")))
            for name, found in self.classes.items()]))
        out.print(f"executed twice although unsafe: {self.doubled()}; 'no answer' is the killed process's")

    def doubled(self) -> int:
        """Unsafe requests that upstreams ran more than once, by their own count."""
        runs: Counter[str] = Counter()
        for peer in self.peers:
            runs.update(peer.executions)
        return sum(1 for txn, times in runs.items() if times > 1 and txn in self.unsafe)

    # The whole

    async def run(self) -> Exit:
        try:
            out.print(f"starting {UPSTREAMS} nodes, discovery, an agent and {SIDECARS} sidecars ...")
            await self.set_up()
            self.start_s = time.monotonic()
            shown = asyncio.create_task(self.show())
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self.traffic(self.start_s + self.seconds))
                    group.create_task(self.events())
                await asyncio.sleep(0.5)
            finally:
                shown.cancel()
                with suppress(asyncio.CancelledError):
                    await shown
            self.summary()
        finally:
            await self.clean_up()
        left = [pid for pid, ticks in self.processes.items() if is_alive(pid, ticks)]
        if left:
            self.wrong.append(f"processes left: {left}")
        if self.doubled():
            self.wrong.append(f"{self.doubled()} unsafe requests ran twice")
        for text in self.wrong:
            err.print(f"wrong: {text}", markup=False)
        if not self.wrong:
            out.print("all operations succeeded, no process is left; `ironscale agent` and `ironscale ls` are next")
        return Exit.FAILED if self.wrong else Exit.DONE

    async def clean_up(self) -> None:
        """Ends what was started, by id, whatever has happened."""
        if self.agent is not None:
            self.agent.send_signal(signal.SIGTERM)
            deadline_s = time.monotonic() + 8.0
            while self.agent.poll() is None and time.monotonic() < deadline_s:
                await asyncio.sleep(0.02)
            if self.agent.poll() is None:
                self.agent.kill()
                self.agent.wait()
        for pid, ticks in self.processes.items():
            if is_alive(pid, ticks):
                os.kill(pid, signal.SIGKILL)
        deadline_s = time.monotonic() + 2.0
        while any(is_alive(*item) for item in self.processes.items()) and time.monotonic() < deadline_s:
            await asyncio.sleep(0.02)
        for peer in self.peers:
            peer.answer_held(ok())
            await peer.stop()
        await self.discovery.stop()


@click.command()
@click.option("--seconds", type=click.FloatRange(10, 600), default=24.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def demo(seconds: float, seed: int) -> None:
    """Everything at work on loopback: traffic, a stalled node, a killed sidecar, a drain, a rollout, a halt."""
    with tempfile.TemporaryDirectory(prefix="ironscale-demo-") as folder:
        raise SystemExit(uvloop.run(Demo(Path(folder), seconds, seed).run()))
