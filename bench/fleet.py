"""How an agent fares as the fleet grows: `python -m bench.fleet [--counts 200,1000,5000] [--json FILE]`.

Light instances (the real protocol, many in a few processes) register, beat, are listed, inspected and taken through a
whole rollout. Printed: seconds, the agent's CPU and memory an instance, and how each grows beside the count (1.0 = in
proportion). With `--real N`, N sidecar processes instead.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from ironscale.cli.client import Api, Where
from ironscale.cli.common import OPERATION
from ironscale.cli.instances import LIST
from ironscale.control.light import light
from ironscale.control.processes import cpu_s
from ironscale.operator_file import read_secret
from ironscale.standins.discovery import ListedDiscovery
from ironscale.standins.settings import SETTINGS
from ironscale.standins.upstream import Peer

ROOT = Path(__file__).resolve().parent.parent
HERDERS = 4  # processes that hold the light instances


def memory_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


async def herd(first: int, count: int, port: int, token_file: Path) -> None:
    token = read_secret(token_file)
    async with asyncio.TaskGroup() as group:
        for n in range(first, first + count):
            _, client = light(f"i{n:05}", ("127.0.0.1", port), token, rng=random.Random(n), zone=f"z{n % 4}")
            group.create_task(client.run())
            if n % 100 == 0:
                await asyncio.sleep(0.01)


class Fleet:
    """An agent in a process of its own, and instances in others."""

    def __init__(self, folder: Path, lease_s: float, beat_s: float) -> None:
        self.folder = folder
        (folder / "operator.toml").write_text(
            f'[agent]\ndata = "data"\ncontrol = "127.0.0.1:0"\napi = "127.0.0.1:0"\nlease_s = {lease_s}\n'
            f"heartbeat_s = {beat_s}\nmost_instances = 20000\n")
        self.log = open(folder / "agent.log", "wb")  # noqa: SIM115 (for as long as the agent runs)
        self.agent = subprocess.Popen([sys.executable, "-m", "ironscale.cli", "agent", str(folder / "operator.toml")],
                                      cwd=ROOT, stderr=self.log)
        while not (folder / "data" / "address").exists():
            time.sleep(0.02)
        self.api = Api(Where(None, None, folder / "data"))
        self.api.client.timeout = 120
        text = (folder / "agent.log").read_text()
        self.control = int(text.split("control 127.0.0.1:")[1].split(",")[0])
        self.others: list[subprocess.Popen[bytes]] = []

    def start_light(self, count: int) -> None:
        share = count // HERDERS
        for n in range(HERDERS):
            last = count - n * share if n == HERDERS - 1 else share
            self.others.append(subprocess.Popen(
                [sys.executable, "-m", "bench.fleet", "--herd", f"{n * share},{last},{self.control}",
                 "--token-file", str(self.folder / "data" / "instance.token")], cwd=ROOT))

    def wait_for(self, count: int) -> float:
        start_s = time.monotonic()
        while self.api.call("{ fleet { ready } }")["fleet"]["ready"] < count:
            time.sleep(0.05)
        return time.monotonic() - start_s

    def close(self) -> None:
        for process in (*self.others, self.agent):
            process.send_signal(signal.SIGTERM)
        for process in (*self.others, self.agent):
            process.wait(30)
        self.log.close()


def timed(work: Any) -> tuple[float, Any]:
    start_s = time.monotonic()
    found = work()
    return time.monotonic() - start_s, found


def measure(fleet: Fleet, count: int, beat_s: float) -> dict[str, float]:
    pid = fleet.agent.pid
    api = fleet.api
    found: dict[str, float] = {"count": count, "register_s": fleet.wait_for(count)}
    start_s, start_cpu_s = time.monotonic(), cpu_s(pid)
    time.sleep(3 * beat_s)
    found["idle_cpu"] = (cpu_s(pid) - start_cpu_s) / (time.monotonic() - start_s)
    took_s, nodes = timed(lambda: list(api.pages(LIST, "instances", selector="")))
    assert len(nodes) == count
    found["list_s"] = took_s
    query = "query($n: String!) { instance(name: $n) { inspect { upstreams { name } } } }"
    names = random.Random(1).sample([node["name"] for node in nodes], min(50, count))
    found["inspect_ms"] = timed(lambda: [api.call(query, n=name) for name in names])[0] / len(names) * 1000
    start_cpu_s = cpu_s(pid)
    mutation = OPERATION + "mutation($input: ApplyInput!) { apply(input: $input) { ...Op } }"
    status = OPERATION + "query($id: Int!) { operation(id: $id) { ...Op } }"

    def rollout() -> dict[str, Any]:
        overlay = {"settings": {"bounds": {"max-retry-after": 900_000}}}
        op = api.mutate(mutation, {"overlay": overlay, "expectGeneration": 0,
                                   "policy": {"wave": max(1, count // 10), "answerMs": 60_000}})["apply"]
        while op["open"]:
            time.sleep(0.1)
            op = api.call(status, id=op["id"])["operation"]
        return dict(op)

    found["rollout_s"], op = timed(rollout)
    assert op["phase"] == "SUCCEEDED", op
    found["rollout_cpu_ms_each"] = (cpu_s(pid) - start_cpu_s) / count * 1000
    found["memory_mb"] = memory_mb(pid)
    return found


def run_light(count: int, beat_s: float, lease_s: float) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), lease_s, beat_s)
        try:
            empty_mb = memory_mb(fleet.agent.pid)
            fleet.start_light(count)
            found = measure(fleet, count, beat_s)
            found["memory_kb_each"] = (found["memory_mb"] - empty_mb) * 1024 / count
            return found
        finally:
            fleet.close()


async def run_real(count: int, beat_s: float, lease_s: float) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        peer, discovery = await Peer().start(), await ListedDiscovery().start()
        discovery.put(peer.entry("s-1"))
        fleet = Fleet(folder, lease_s, beat_s)
        try:
            zygote = subprocess.Popen([sys.executable, "-m", "tests.agent.zygote"], cwd=ROOT, stdin=subprocess.PIPE,
                                      stdout=subprocess.PIPE)
            assert zygote.stdin is not None and zygote.stdout is not None
            pids = []
            for n in range(count):
                path = folder / f"app-{n}.json"
                path.write_text(json.dumps({
                    "name": f"app-{n:05}", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{discovery.port}",
                    "seed": f"{n:x}", "limits": {"sockets": 64}, "settings": {**SETTINGS, "instances": count,
                                                                            "self-index": n}}))
                order = {"log": str(folder / "log"), "environ": {
                    "GW_CONFIG": str(path), "GW_AGENT": f"127.0.0.1:{fleet.control}",
                    "GW_AGENT_TOKEN_FILE": str(folder / "data" / "instance.token")}}
                zygote.stdin.write(json.dumps(order).encode() + b"\n")
                zygote.stdin.flush()
                pids.append(int(await asyncio.to_thread(zygote.stdout.readline)))
            try:
                return await asyncio.to_thread(measure, fleet, count, beat_s)
            finally:
                for pid in pids:
                    os.kill(pid, signal.SIGKILL)
                zygote.stdin.close()
                zygote.wait()
        finally:
            fleet.close()
            await peer.stop()
            await discovery.stop()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--counts", default="200,1000,5000")
    parser.add_argument("--real", type=int, default=0)
    parser.add_argument("--beat", type=float, default=2.0)
    parser.add_argument("--lease", type=float, default=10.0)
    parser.add_argument("--json")
    parser.add_argument("--herd", help=argparse.SUPPRESS)
    parser.add_argument("--token-file", type=Path, help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.herd:
        first, count, port = map(int, given.herd.split(","))
        uvloop.run(herd(first, count, port, given.token_file))
        return
    results = []
    if given.real:
        results.append({"real": 1.0, **uvloop.run(run_real(given.real, given.beat, given.lease))})
    for count in filter(None, given.counts.split(",")):
        results.append({"real": 0.0, **run_light(int(count), given.beat, given.lease)})
    keys = ("register_s", "idle_cpu", "list_s", "inspect_ms", "rollout_s", "rollout_cpu_ms_each", "memory_mb")
    print("  ".join(f"{key:>20}" for key in ("instances", *keys)))
    for found in results:
        kind = "real" if found["real"] else "light"
        print("  ".join([f"{found['count']:.0f} {kind}".rjust(20), *(f"{found[key]:20.3f}" for key in keys)]))
    lights = [found for found in results if not found["real"]]
    if len(lights) > 1:
        low, high = lights[0], lights[-1]
        grown = high["count"] / low["count"]
        print(f"growth from {low['count']:.0f} to {high['count']:.0f}, in proportion = 1.0: " + ", ".join(
            f"{key} {high[key] / low[key] / grown:.2f}" for key in ("idle_cpu", "list_s", "rollout_s")))
    if given.json:
        Path(given.json).write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()
