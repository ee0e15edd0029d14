"""New clients and clients that write slowly while others fill the descriptors: `python -m bench.crowd [--seconds 10]`.

Plays the same clients beside nobody, beside a crowd that says nothing, and beside one that stops in the middle of a
request. Prints what became of them, and how long the new ones waited compared with the first play.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from ironscale.standins.http import read_message
from tests.ends.test_crowd import MAX_CLIENTS, connected, sidecar_process
from tests.ends.test_descriptors import reconnect_closed
from tests.sockets import Scene

SLOW_CLIENTS = MAX_CLIENTS // 4
PIECES_APART_S = 0.2
NEW_CLIENT_EVERY_S = 0.02
ANSWER_TIMEOUT_S = 5.0
CROWDS = {"nobody": None, "says nothing": b"", "half a request": b"GET /api HTTP/1.1\r\nHost: service.internal\r\n"}


@dataclass
class Results:
    """What became of the requests of each kind of client, and the times of the new clients' answers."""

    counts: Counter[tuple[str, str]] = field(default_factory=Counter)
    times_s: list[float] = field(default_factory=list)

    def percentile(self, share: float) -> float:
        ordered = sorted(self.times_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def ask(port: int, pieces: list[bytes]) -> str:
    """Sends a request in pieces on a new connection and tells what became of it."""
    try:
        client = await connected(port, pieces[0])
        for piece in pieces[1:]:
            await asyncio.sleep(PIECES_APART_S)
            await asyncio.get_running_loop().sock_sendall(client, piece)
        reader, writer = await asyncio.open_connection(sock=client)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            status = (await read_message(reader)).status
        writer.close()
        return str(status)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        return type(error).__name__


async def play(bytes_of_each: bytes | None, seconds: float) -> Results:
    scene, results, loop = Scene(), Results(), asyncio.get_running_loop()
    with tempfile.TemporaryDirectory() as folder:
        async with sidecar_process(Path(folder)) as (_, port):
            until_s = loop.time() + seconds

            async def slow() -> None:
                while loop.time() < until_s:
                    request = scene.request("pay", b"homework", "3000m")
                    results.counts["slow", await ask(port, [request[:-4], request[-4:]])] += 1

            async def new() -> None:
                begun_s = loop.time()
                results.counts["new", await ask(port, [scene.request("view", b"", "3000m")])] += 1
                results.times_s.append(loop.time() - begun_s)

            async def crowd(data: bytes) -> None:
                clients = [await connected(port, data) for _ in range(3 * MAX_CLIENTS)]
                try:
                    await reconnect_closed(port, clients, data)
                finally:
                    for client in clients:
                        client.close()

            crowding = asyncio.create_task(crowd(bytes_of_each)) if bytes_of_each is not None else None
            async with asyncio.TaskGroup() as group:
                for _ in range(SLOW_CLIENTS):
                    group.create_task(slow())
                while loop.time() < until_s:
                    group.create_task(new())
                    await asyncio.sleep(NEW_CLIENT_EVERY_S)
            if crowding is not None:
                crowding.cancel()
    return results


def main(argv: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="bench.crowd", description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args(argv)
    alone: Results | None = None
    for name, data in CROWDS.items():
        results = asyncio.run(play(data, options.seconds))
        alone = alone or results
        counts = ", ".join(f"{kind} {result} {count}" for (kind, result), count in sorted(results.counts.items()))
        ratio = results.percentile(0.99) / alone.percentile(0.99)
        print(f"crowd: {name}: {counts}; 99 in 100 new clients within {results.percentile(0.99):.3f} s, "
              f"{ratio:.1f} times that beside nobody", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
