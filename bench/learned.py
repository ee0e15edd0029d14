"""What a recalled or taught start is worth, and what it costs: `python -m bench.learned COMMAND [--json FILE]`.

    starts   service in the first 1, 3, 10 and 30 s after a start, in virtual time on staged faults: cold, from the
             file, taught by one donor and by three, and warm (never stopped); paired on the same seeds. --picture SVG
    liars    the same for stale, wrong and malicious teachers, as the worst difference from cold
    pause    at 20, 200 and 2,000 upstreams: bytes, time to collect, encode and decode, longest step on the loop, and
             how late the loop's own timer comes while it writes and while it does not
    cpu      CPU a request of a real sidecar with the file on and off, in turns
    kills    processes killed with SIGKILL at random instants while they write; every load checked
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import uvloop

from bench.stage import START_US, Fault, S, Stage
from ironscale import confidence
from ironscale import interface as api
from ironscale.introspection import learned_state
from ironscale.learned.codec import decode, decode_steps, encode_steps
from ironscale.learned.persistence import SnapshotCollector, SnapshotPersistence, run_in_slices
from ironscale.learned.store import SnapshotFile, load_snapshot, path_for
from ironscale.net.config import parse
from ironscale.net.listing import upstream_id
from ironscale.net.sidecar import Sidecar
from ironscale.standins.discovery import ListedDiscovery
from ironscale.standins.http import read_message
from ironscale.standins.settings import SETTINGS
from ironscale.standins.upstream import Peer
from tests.learned.samples import NOW
from tests.sockets import free_port

ROOT = Path(__file__).resolve().parent.parent
STOP_US, AGAIN_US = 13 * S, 14 * S
SPANS = (1, 3, 10, 30)
STEP_US = S // 2
FAULTS: dict[str, tuple[Fault, ...]] = {
    "a zone silent": (Fault("silent", 4 * S, 90 * S, zone=1),),
    "a zone reset": (Fault("reset", 4 * S, 90 * S, zone=1),),
    "a kind pausing": tuple(Fault("pause", k * S, k * S + 700_000, kind=1) for k in range(4, 60, 2)),
    "a neighbour taking half": (Fault("half", 4 * S, 90 * S, kind=1),),
    "over while it was down": (Fault("silent", 4 * S, 13_500_000, zone=1),),
    "all replaced meanwhile": (),
}
COLORS = {"cold": "#4c78a8", "file": "#e45756", "one donor": "#72b7b2", "three donors": "#54a24b", "warm": "#888888"}


def donor(stage: Stage, index: int) -> confidence.Donor:
    side = stage.sides[index]
    return confidence.Donor(learned_state(side.balancer), stage.now_us - START_US,
                            side.balancer.window.slots < 1.0, False)


def lie(stage: Stage, slots: Callable[[int], float]) -> api.LearnedState:
    found = []
    for i, (ident, node) in enumerate(stage.nodes.items()):
        if not node.gone:
            found.append(api.LearnedUpstream(ident, node.entry.started_us, stage.now_us, slots(i), 1, slots(i) < 1,
                                            9 if slots(i) < 1 else 1, 0, False))
    wide = slots(0) >= 1
    kinds = tuple(api.LearnedClass(name, stage.now_us, 1.0 if wide else 1e9, 1.0) for name in ("view", "pay"))
    return api.LearnedState(stage.now_us, 0, 1e6 if wide else 1e-6, stage.now_us, tuple(found), kinds, ())


def play(job: tuple[str, int, str]) -> dict[str, Any]:
    """One fault and seed: every variant from the same moment."""
    fault, seed, what = job
    replaced = fault == "all replaced meanwhile"
    stage = Stage(seed, sides=4, nodes=9, rate_per_s=20.0 if replaced else 70.0, faults=FAULTS[fault])
    stage.run(3 * S + 500_000 if fault != "over while it was down" else 10 * S)
    # from before the upstreams fell ill or recovered, as donors that had run for long
    early = [replace(donor(stage, i), uptime_us=30 * S) for i in (1, 2, 3)]
    stage.run(STOP_US)
    own = learned_state(stage.sides[0].balancer)
    starts: dict[str, Stage] = {}
    warm = stage.copy()
    stage.stop(0)
    for one in (warm, stage):
        one.run(STOP_US + S // 2)
        if replaced:
            one.replace_all()
        one.run(AGAIN_US)
    donors = [donor(stage, i) for i in (1, 2, 3)]
    now_us = stage.now_us
    lessons: dict[str, api.LearnedState | None] = {"cold": None}
    if what == "starts":
        starts["warm"] = warm
        lessons.update({"file": own, "one donor": confidence.combined_lessons(donors[:1], now_us, 0),
                        "three donors": confidence.combined_lessons(donors, now_us, 0)})
    else:
        liar = confidence.Donor(lie(stage, lambda i: 1 / 64), 60 * S, False, False)
        lessons.update({
            "cold, other draws": None, "stale donors": confidence.combined_lessons(early, now_us, 0),
            "all shut": lie(stage, lambda i: 1 / 64), "half shut": lie(stage, lambda i: 1 / 64 if i % 2 else 1e5),
            "all open": lie(stage, lambda i: 1e5),
            "one liar of three": confidence.combined_lessons([*donors[:2], liar], now_us, 0)})
    for name, taught in lessons.items():
        one = stage.copy()
        one.start(0, seed * 7 + (2 if name == "cold, other draws" else 1), taught)
        starts[name] = one
    end_us = AGAIN_US + (30 if what == "starts" else 10) * S
    found = {}
    for name, one in starts.items():
        one.run(end_us)
        found[name] = {
            "spans": [one.served(0, AGAIN_US, AGAIN_US + span * S) for span in SPANS],
            "steps": [one.served(0, at, at + STEP_US) for at in range(AGAIN_US, AGAIN_US + 10 * S, STEP_US)],
            "falls": one.falls}
    return {"fault": fault, "seed": seed, "variants": found}


def played(what: str, seeds: int) -> list[dict[str, Any]]:
    jobs = [(fault, seed, what) for fault in FAULTS for seed in range(1, seeds + 1)]
    found = []
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        for i, one in enumerate(pool.map(play, jobs)):
            found.append(one)
            print(f"\r{i + 1} of {len(jobs)} plays", end="", file=sys.stderr, flush=True)
    print(file=sys.stderr)
    return found


def mean(values: list[float]) -> float:
    return sum(values) / len(values)


def starts(seeds: int, picture: Path | None) -> dict[str, Any]:
    plays = played("starts", seeds)
    names = ("cold", "file", "one donor", "three donors", "warm")
    print(f"{'served within the aim, %':28}" + "".join(f"{name:>14}" for name in names) + "   after")
    for fault in (*FAULTS, "all of them"):
        mine = [p["variants"] for p in plays if fault in (p["fault"], "all of them")]
        for i, span in enumerate(SPANS):
            row = [100 * mean([v[name]["spans"][i] for v in mine]) for name in names]
            print(f"{fault if i == 0 else '':28}" + "".join(f"{value:14.1f}" for value in row) + f"   {span} s")
    worst: dict[str, float] = {}
    for name in ("file", "one donor", "three donors"):
        worst[name] = min(p["variants"][name]["spans"][2] - p["variants"]["cold"]["spans"][2] for p in plays)
    print("worst of all plays beside cold, 10 s, points: "
          + ", ".join(f"{name} {100 * value:+.1f}" for name, value in worst.items()))
    print("cold upstreams pushed over:", {name: sum(p["variants"][name]["falls"] for p in plays) for name in names})
    if picture is not None:
        curves = {name: [mean([p["variants"][name]["steps"][i] for p in plays]) for i in range(20)] for name in names}
        picture.write_text(svg(curves))
        print(f"picture: {picture}")
    return {"plays": plays}


def svg(curves: dict[str, list[float]]) -> str:
    """Service in each half second after the start, a line a variant."""
    width, height, left, top = 720, 360, 50, 30
    low = min(0.8, min(min(curve) for curve in curves.values())) // 0.05 * 0.05
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {width + 170} {height + 70}" '
             'font-family="sans-serif" font-size="12">',
             f'<rect width="{width + 170}" height="{height + 70}" fill="white"/>',
             f'<text x="{left}" y="18">Served within the aim, %, by seconds after the start</text>']

    def at(i: float, value: float) -> str:
        return f"{left + i * (width - left) / 20:.1f},{top + (1 - value) / (1 - low) * height:.1f}"

    for tick in range(round(low * 100), 101, 5):
        x, y = at(0, tick / 100).split(",")
        parts.append(f'<line x1="{x}" y1="{y}" x2="{width}" y2="{y}" stroke="#ddd"/>'
                     f'<text x="{left - 8}" y="{y}" text-anchor="end" dy="4">{tick}</text>')
    for second in range(0, 11, 2):
        x, y = at(2 * second, low).split(",")
        parts.append(f'<text x="{x}" y="{float(y) + 18}" text-anchor="middle">{second}</text>')
    for i, (name, curve) in enumerate(curves.items()):
        points = " ".join(at(k + 0.5, value) for k, value in enumerate(curve))
        parts.append(f'<polyline fill="none" stroke="{COLORS[name]}" stroke-width="2" points="{points}"/>'
                     f'<text x="{width + 12}" y="{top + 20 * i + 10}" fill="{COLORS[name]}">{name}</text>')
    return "\n".join([*parts, "</svg>\n"])


def liars(seeds: int) -> dict[str, Any]:
    plays = played("liars", seeds)
    names = [name for name in plays[0]["variants"] if name != "cold"]
    print(f"{'beside cold, points':24}{'mean 3 s':>10}{'worst 3 s':>11}{'mean 10 s':>11}{'worst 10 s':>12} pushed over")
    for name in names:
        row = []
        for i in (1, 2):
            found = [p["variants"][name]["spans"][i] - p["variants"]["cold"]["spans"][i] for p in plays]
            row += [100 * mean(found), 100 * min(found)]
        falls = sum(p["variants"][name]["falls"] for p in plays)
        worst = min(plays, key=lambda p: p["variants"][name]["spans"][1] - p["variants"]["cold"]["spans"][1])
        print(f"{name:24}{row[0]:+10.2f}{row[1]:+11.2f}{row[2]:+11.2f}{row[3]:+12.2f}   {falls}   "
              f"worst with {worst['fault']}, seed {worst['seed']}")
    return {"plays": plays}


# Costs


def entries(count: int, port: int = 9) -> list[dict[str, Any]]:
    return [{"instanceId": f"node-{i:05}.devwar", "hostPort": f"127.1.{i // 250}.{1 + i % 250}:{port}",
             "zone": "ab"[i % 2], "machineType": "large", "cell": i, "lifecycle": "ready", "weight": 1.0,
             "startedAtMs": 0} for i in range(count)]


async def lateness(until: asyncio.Event) -> list[float]:
    """Milliseconds by which a timer of 1 ms came late, again and again."""
    found = []
    while not until.is_set():
        start_s = time.perf_counter()
        await asyncio.sleep(0.001)
        found.append((time.perf_counter() - start_s - 0.001) * 1e3)
    return sorted(found)


async def paused(count: int, folder: Path) -> dict[str, float]:
    discovery = await ListedDiscovery().start()
    discovery.put(*entries(count))
    sidecar = Sidecar(parse({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{discovery.port}", "seed": "1f",
        "known": {"generation": 1, "reset": True, "instances": entries(count)}, "settings": SETTINGS}, {}))
    await sidecar.start()
    rng = random.Random(count)
    now_us = sidecar.clock.now_us()
    sidecar.balancer.recall(now_us, api.LearnedState(now_us, 0, 20.0, now_us, tuple(
        api.LearnedUpstream(upstream_id(one["instanceId"]), 0, now_us - rng.randrange(S), rng.random() * 5 + 0.1,
                           rng.randrange(100_000)) for one in entries(count))))
    gc.collect()
    gc.freeze()  # as a sidecar does at its start
    collector = SnapshotCollector(sidecar)
    persistence = SnapshotPersistence(sidecar, SnapshotFile(path_for(folder, f"n{count}")), 0.05, collector)
    found: dict[str, float] = {}
    start_s = time.perf_counter()
    snapshot = await run_in_slices(collector.collect_steps(), collector.record_slice_time)
    found["collect ms"] = (time.perf_counter() - start_s) * 1e3
    start_s = time.perf_counter()
    data = await run_in_slices(encode_steps(snapshot), collector.record_slice_time)
    found["encode ms"] = (time.perf_counter() - start_s) * 1e3
    start_s = time.perf_counter()
    await run_in_slices(decode_steps(data), collector.record_slice_time)
    found["decode ms"] = (time.perf_counter() - start_s) * 1e3
    found["bytes"] = len(data)
    for what in ("quiet", "writing"):
        until = asyncio.Event()
        task = asyncio.create_task(lateness(until))
        end_s = time.monotonic() + 4
        while time.monotonic() < end_s:
            if what == "writing":
                sidecar.balancer.last_observed_us += 1
                await persistence.write()
            await asyncio.sleep(0.05)
        until.set()
        late = await task
        found[f"late {what} p99 ms"], found[f"late {what} max ms"] = late[int(0.99 * len(late))], late[-1]
    found["writes"] = persistence.write_count
    found["longest step ms"] = collector.longest_slice_s * 1e3
    assert len(decode(data).upstreams) == count
    sidecar.upstreams.close()
    sidecar.discovery.close()
    await discovery.stop()
    return found


def pause() -> dict[str, Any]:
    result: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        for count in (20, 200, 2_000):
            found = result[str(count)] = uvloop.run(paused(count, Path(folder)))
            print(f"{count:5} upstreams: " + ", ".join(f"{key} {value:.4g}" for key, value in found.items()))
    return result


async def load_once(folder: Path, on: bool, requests: int) -> float:
    """CPU microseconds a request of a sidecar process, with 12 upstreams."""
    peers = [await Peer().start() for _ in range(12)]
    for peer in peers:
        peer.keep_messages = False
    discovery = await ListedDiscovery().start()
    discovery.put(*(peer.entry(f"up-{i}") for i, peer in enumerate(peers)))
    (folder / "c.json").write_text(json.dumps({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{discovery.port}", "seed": "1f",
        "limits": {"sockets": 512}, "settings": SETTINGS}))
    (folder / "operator.toml").write_text('[learned]\nfolder = "learned"\nevery_s = 1.0\n')
    environ = {**os.environ, "GW_CONFIG": str(folder / "c.json"), "GW_LISTEN": f"127.0.0.1:{free_port()}"}
    if on:
        environ["GW_OPERATOR"] = str(folder / "operator.toml")
    process = subprocess.Popen([sys.executable, "-m", "ironscale"], cwd=ROOT, env=environ, stderr=subprocess.DEVNULL)
    port = int(environ["GW_LISTEN"].rpartition(":")[2])
    try:
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                break
            except OSError:
                await asyncio.sleep(0.01)

        def cpu_s() -> float:
            return sum(int((task / "schedstat").read_text().split()[0])
                       for task in Path(f"/proc/{process.pid}/task").iterdir()) / 1e9

        async def client(first: int, count: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for i in range(first, first + count):
                writer.write(f"GET / HTTP/1.1\r\nHost: x\r\nX-Txn: {i}\r\nX-Lane: view\r\nX-Org: north\r\n"
                             "X-Remaining: 8000m\r\n\r\n".encode())
                await read_message(reader)
                await asyncio.sleep(0.002)
            writer.close()

        await asyncio.gather(*(client(10**6 + k * 1000, 50) for k in range(8)))
        before = cpu_s()
        await asyncio.gather(*(client(k * requests, requests // 8) for k in range(8)))
        return (cpu_s() - before) / (requests // 8 * 8) * 1e6
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait(20)
        await discovery.stop()
        for peer in peers:
            await peer.stop()


def cpu(rounds: int) -> dict[str, Any]:
    pairs = []
    for i in range(rounds):
        pair = {}
        for on in ((True, False) if i % 2 else (False, True)):
            with tempfile.TemporaryDirectory() as folder:
                pair[on] = uvloop.run(load_once(Path(folder), on, 6_000))
        pairs.append(pair)
        print(f"off {pair[False]:.0f} us, on {pair[True]:.0f} us a request, ratio {pair[True] / pair[False]:.3f}")
    ratios = sorted(pair[True] / pair[False] for pair in pairs)
    print(f"median ratio {ratios[len(ratios) // 2]:.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f})")
    return {"ratios": ratios}


KILLED = """
import os, sys
from pathlib import Path
from ironscale.learned.codec import encode
from ironscale.learned.store import SnapshotFile
from tests.learned.samples import snapshot

path, data = Path(sys.argv[1]), [encode(snapshot(40, serial=s)) for s in range(400)]
for line in sys.stdin:
    first = int(line)
    reader, writer = os.pipe()
    pid = os.fork()
    if pid == 0:
        store = SnapshotFile(path)
        assert store.acquire()
        os.write(writer, b"r")
        for s in range(first, first + 150):
            store.save(data[s % 400])
            os.write(writer, bytes([s % 400 // 256, s % 400 % 256]))
        os._exit(0)
    os.close(writer)
    os.read(reader, 1)
    print(pid, flush=True)
    os.waitpid(pid, 0)
    told = b""
    while more := os.read(reader, 4096):
        told += more
    os.close(reader)
    print(told.hex(), flush=True)
"""


def kills(count: int, seed: int) -> dict[str, Any]:
    """A process forked for each kill; serials go round in 400."""
    rng, outcomes, last = random.Random(seed), {"the last": 0, "the one under way": 0}, 0
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "n0.learned"
        herder = subprocess.Popen([sys.executable, "-c", KILLED, str(path)], cwd=ROOT, text=True,
                                  stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        assert herder.stdin is not None and herder.stdout is not None
        for i in range(count):
            herder.stdin.write(f"{last + 1}\n")
            herder.stdin.flush()
            pid = int(herder.stdout.readline())
            time.sleep(rng.random() * 0.01)
            os.kill(pid, signal.SIGKILL)
            told = bytes.fromhex(herder.stdout.readline().strip())
            told = told[:len(told) // 2 * 2]
            done = int.from_bytes(told[-2:]) if told else last % 400
            found, _, lines = load_snapshot(SnapshotFile(path), "n0", NOW)
            serial = found.age_us if found is not None else 0
            right = not lines and serial in (done, (done + 1) % 400)
            assert right, f"kill {i}, seed {seed}: found {serial}, {done} was acknowledged, {lines}"
            outcomes["the last" if serial == done else "the one under way"] += 1
            last = serial
            if i % 100 == 99:
                print(f"\r{i + 1} kills", end="", file=sys.stderr, flush=True)
        herder.stdin.close()
        herder.wait(20)
        herder.stdout.close()
    print(f"\n{count} kills, seed {seed}: every load was the last acknowledged ({outcomes['the last']}) or the one "
          f"that was under way ({outcomes['the one under way']})")
    return outcomes


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("command", choices=["starts", "liars", "pause", "cpu", "kills"])
    parser.add_argument("--seeds", type=int, default=8, help="plays of each fault")
    parser.add_argument("--rounds", type=int, default=5, help="pairs of `cpu`")
    parser.add_argument("--count", type=int, default=3_000, help="of kills")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--picture", type=Path)
    parser.add_argument("--json", type=Path)
    given = parser.parse_args()
    run: dict[str, Callable[[], dict[str, Any]]] = {
        "starts": lambda: starts(given.seeds, given.picture), "liars": lambda: liars(given.seeds), "pause": pause,
        "cpu": lambda: cpu(given.rounds), "kills": lambda: kills(given.count, given.seed)}
    result = run[given.command]()
    if given.json:
        given.json.write_text(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
