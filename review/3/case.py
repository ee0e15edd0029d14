"""Idle clients fill the descriptors while other clients send their requests in two pieces."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
import sys
from collections import Counter
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import CannotRun, Record, Registry, Sidecar, Upstream, main, request, stage  # noqa: E402

SEED = 58
SECONDS = 40.0
CLIENTS = 20  # the usual ones
PIECES_APART_S = 0.2  # on average, between the two pieces of a request
PAUSE_S = 0.1  # between an answer and the next request
CROWD, CROWD_EVERY_S = 150, 1.0  # idle clients that come at once, and how often
CROWD_STAYS_S = 1.0  # unless the sidecar closes the connection first
ANSWER_TIMEOUT_S = 3.0

SETTINGS = {  # of devwar-island
    "request-classes": [
        {"name": "view", "aim": 300_000, "deadline": 1_500_000, "worth": 1.0, "late-worth": 0.3,
         "effect": "idempotent", "group": "all", "memory-span": 5_000_000, "stream": False},
        {"name": "submit", "aim": 300_000, "deadline": 600_000, "worth": 5.0, "late-worth": 0.25,
         "effect": "at_most_once", "group": "all", "memory-span": 5_000_000, "stream": False}],
    "accounts": [{"name": "college-nord", "allowance-per-s": 215.0, "share": 1.0}],
    "areas": ["port-louis", "ebene", "curepipe", "rose-hill"], "kinds": ["large", "small", "slow"],
    "bounds": {"cancel": True, "conn-idle": 15_000_000, "dial-timeout": 150_000, "max-retry-after": 1_000_000,
               "most-tries": 4, "probes": False, "retry-after": True, "second-copies": True, "peers": False},
    "invariants": {"answer-slack": 16_000, "ask-within": 10_000_000, "cold-share": 0.13, "drain-grace": 2_000_000,
                   "fall": 1_000_000, "overload-factor": 2.5, "warm-up": 24_000_000},
    "fees": {"cross-zone": 0.03}, "granularity": 4000, "instances": 3, "self-index": 0, "locality": 0,
    "over-share-worth": 0.1, "registry-mode": "on_request", "report": {"how": "none", "names": []},
    "value-by": "request", "weights": "none",
}
CONFIG: dict[str, Any] = {"seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                          "known": {"generation": 0, "reset": True, "instances": []}, "settings": SETTINGS}


class Closed(Exception):
    """The sidecar has closed the connection before the last byte of the request was written."""


class UsualClient:
    """Sends one request at a time, each in two pieces, on a connection that it keeps as long as the sidecar does."""

    def __init__(self, port: int, record: Record, draws: random.Random, results: Counter[str]) -> None:
        self.port, self.record, self.random, self.results = port, record, draws, results
        self.sock: socket.socket | None = None
        self.loop = asyncio.get_running_loop()

    async def run(self, numbers: itertools.count[int], until_s: float) -> None:
        while self.record.now_s() < until_s:
            txn = f"t{next(numbers)}"
            try:
                result = await self.ask(txn)
            except (Closed, ConnectionError):  # nothing was taken
                result = "closed before its last byte was written"
            if not result.startswith("answered"):
                self.close()
            self.results[result] += 1
            self.record.note(f"{txn} {result}")
            await asyncio.sleep(PAUSE_S * self.random.uniform(0.5, 1.5))
        self.close()

    async def ask(self, txn: str) -> str:
        """Sends one request and returns what became of it. Raises Closed or ConnectionError if it was not taken."""
        if self.sock is None:
            self.sock = socket.socket()
            self.sock.setblocking(False)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.sock_connect(self.sock, ("127.0.0.1", self.port))
        data = request(txn, "submit", "college-nord", 600, b"answers to the homework")
        await self.loop.sock_sendall(self.sock, data[:-10])
        await asyncio.sleep(PIECES_APART_S * self.random.uniform(0.7, 1.3))
        # From here to the last byte nothing else of this script runs. What the sidecar has closed by now is not taken.
        with contextlib.suppress(BlockingIOError):
            if not self.sock.recv(1, socket.MSG_PEEK):
                raise Closed
        if self.sock.send(data[-10:]) != 10:
            raise Closed
        self.record.note(f"{txn} written to its last byte")
        answer = b""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while b"\r\n\r\n" not in answer or (b" 200 " in answer[:20] and not answer.endswith(txn.encode())):
                    piece = await self.loop.sock_recv(self.sock, 65536)
                    if not piece:
                        # An end, and no reset: the sidecar may have closed before the last bytes came. Not judged.
                        return "end without an answer" if not answer else "end within the answer"
                    answer += piece
        except ConnectionResetError:
            # A reset with no end before it: the sidecar's machine had the last byte, unread, as the connection closed.
            return "LOST: reset without an answer" if not answer else "LOST: reset within the answer"
        except TimeoutError:
            return "LOST: no answer"
        if b"connection: close" in answer.lower():
            self.close()
        return f"answered {answer[9:12].decode()}"

    def close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None


async def crowd(port: int, record: Record, until_s: float) -> None:
    """Clients that connect by hundreds and say nothing."""
    waves: list[list[socket.socket]] = []
    while record.now_s() < until_s:
        waves.append([])
        for _ in range(CROWD):
            idle = socket.socket()
            idle.setblocking(False)
            idle.connect_ex(("127.0.0.1", port))
            waves[-1].append(idle)
        record.note(f"crowd    {CROWD} connections that say nothing")
        while len(waves) * CROWD_EVERY_S > CROWD_STAYS_S:
            for idle in waves.pop(0):
                idle.close()
        await asyncio.sleep(CROWD_EVERY_S)
    for idle in itertools.chain(*waves):
        idle.close()


async def written_requests_are_answered_in_a_crowd(trouble: bool) -> bool:
    async with stage(FOLDER) as (record, temporary, sidecars):
        upstreams = [await Upstream(f"s-{i}", record).start() for i in range(8)]
        discovery = await Registry(record).start()
        discovery.put(*(upstream.entry(zone="port-louis", machineType="small") for upstream in upstreams))
        sidecars.append(sidecar := Sidecar(temporary, record, CONFIG, discovery.port))
        await sidecar.ready()
        until_s, results, numbers = record.now_s() + SECONDS, Counter[str](), itertools.count(1)
        tasks = [UsualClient(sidecar.port, record, random.Random(SEED + i), results).run(numbers, until_s)
                 for i in range(CLIENTS)]
        await asyncio.gather(*tasks, *([crowd(sidecar.port, record, until_s)] if trouble else []))
        if sidecar.process.poll() is not None:
            raise CannotRun(f"the sidecar ended with {sidecar.process.returncode}")
        for result in sorted(results):
            record.say(f"{results[result]:6} requests: {result}")
        return not any(result.startswith("LOST") for result in results)


if __name__ == "__main__":
    main(written_requests_are_answered_in_a_crowd)
