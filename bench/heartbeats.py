"""What an agent costs a sidecar: `python -m bench.heartbeats [--seconds 10] [--rounds 4]`.

The same sidecar and the same traffic, turn about with an agent (heartbeats as by default) and without: CPU a request,
and the ratio of the two within each pair.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from bench.fleet import planned_size
from ironscale.control.processes import process_cpu_s
from ironscale.scale.agents import AgentProcesses
from ironscale.scale.bounds import ChildProcesses, ResourceLimits
from ironscale.standins.discovery import ListedDiscovery, listing
from ironscale.standins.http import read_message
from ironscale.standins.settings import SETTINGS
from ironscale.standins.upstream import Peer

CALLERS, RATE = 8, 200.0


async def load(port: int, seconds: float) -> int:
    done = 0

    async def caller(who: int) -> None:
        nonlocal done
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        due_s, turn = time.monotonic() + who / RATE, 0
        while time.monotonic() < end_s:
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            due_s += CALLERS / RATE
            turn += 1
            writer.write(f"GET /api HTTP/1.1\r\nHost: h\r\nX-Txn: {who}-{turn}\r\nX-Lane: view\r\nX-Remaining: 8000m"
                         "\r\n\r\n".encode())
            await read_message(reader)
            done += 1
        writer.close()

    end_s = time.monotonic() + seconds
    await asyncio.gather(*(caller(n) for n in range(CALLERS)))
    return done


async def one(folder: Path, peers: list[Peer], discovery: ListedDiscovery, agents: AgentProcesses | None,
              seconds: float) -> float:
    """CPU in microseconds a request of one sidecar process."""
    config = folder / "app.json"
    config.write_text(json.dumps({
        "name": "app-0", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{discovery.port}", "seed": "1",
        "limits": {"sockets": 1024}, "known": listing(*(p.entry(f"s-{i}") for i, p in enumerate(peers))),
        "settings": SETTINGS}))
    with socket.create_server(("127.0.0.1", 0)) as found:
        port = found.getsockname()[1]
    environ = {**os.environ, "GW_CONFIG": str(config), "GW_LISTEN": f"127.0.0.1:{port}"}
    if agents is not None:
        environ |= {"GW_AGENT": f"127.0.0.1:{agents.ports[0].number}", "GW_AGENT_TOKEN_FILE": str(agents.token_file)}
    process = subprocess.Popen([sys.executable, "-B", "-m", "ironscale"], env=environ)
    try:
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                break
            except ConnectionError:
                if process.poll() is not None:
                    raise RuntimeError("the sidecar did not start") from None
                await asyncio.sleep(0.02)
        await load(port, 1.0)
        start_s = process_cpu_s(process.pid)
        done = await load(port, seconds)
        if agents is not None:
            report = await agents.call('{ instance(name: "app-0") { report { controlCpuSeconds } } }')
            control_s = report["instance"]["report"]["controlCpuSeconds"]
            print(f"  control work by its own account: {control_s / (seconds + 1) * 100:.3f} % of a core, "
                  f"{control_s / (done * (seconds + 1) / seconds) * 1e6:.1f} us a request", flush=True)
        return (process_cpu_s(process.pid) - start_s) / done * 1e6
    finally:
        process.terminate()
        await asyncio.to_thread(process.wait)


async def run(seconds: float, rounds: int, upstreams: int, beat_s: float) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        peers = [await Peer().start() for _ in range(upstreams)]
        for peer in peers:
            peer.keep_messages = False
        discovery = await ListedDiscovery().start()
        discovery.put(*(peer.entry(f"s-{i}") for i, peer in enumerate(peers)))
        crew = ChildProcesses(ResourceLimits(300, 0.5))
        agents = AgentProcesses(crew, folder, 1, planned_size((1, 2, 3), beat_s, 5 * beat_s).play)
        ratios = []
        try:
            await agents.start()
            for n in range(rounds):
                order = (None, agents) if n % 2 == 0 else (agents, None)
                found = {which is not None: await one(folder, peers, discovery, which, seconds)
                         for which in order}
                ratios.append(found[True] / found[False])
                print(f"round {n + 1}: {found[False]:.0f} us a request without an agent, {found[True]:.0f} with, "
                      f"ratio {ratios[-1]:.3f}", flush=True)
        finally:
            await agents.close()
            crew.end()
            for peer in peers:
                await peer.stop()
            await discovery.stop()
        print(f"{upstreams} upstreams, a heartbeat each {beat_s:g} s: median ratio {statistics.median(ratios):.3f} "
              f"({min(ratios):.3f} to {max(ratios):.3f})")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--upstreams", type=int, default=8)
    parser.add_argument("--beat", type=float, default=2.0)
    given = parser.parse_args()
    uvloop.run(run(given.seconds, given.rounds, given.upstreams, given.beat))


if __name__ == "__main__":
    main()
