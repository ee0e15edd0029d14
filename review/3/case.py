"""Some answers of upstreams have no length: they come whole, and end with their connection."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
from collections import Counter
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import Record, Registry, Sidecar, Upstream, main, read_message, request, response, stage  # noqa: E402

SECONDS, CLIENTS, PAUSE_S = 20.0, 6, 0.05
UPSTREAMS, EVERY = 8, 4  # every so many-th answer of each upstream has no length
LEAST_FORWARDED = 0.5  # of the answers with no length that come whole (STANDING)
TIMEOUT_S = 5.0

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
CONFIG: dict[str, Any] = {"seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                          "known": {"generation": 0, "reset": True, "instances": []}, "settings": SETTINGS}


class SometimesWithoutLength(Upstream):
    """Answers with the request's id and class and a number of its own as the body. With `odd`, some answers have no
    length: such a body ends with the connection, by an orderly end and no reset (RFC 9112, 6.3)."""

    def __init__(self, name: str, record: Record, odd: bool) -> None:
        super().__init__(name, record)
        self.odd = odd
        self.whole: set[str] = set()  # the bodies of answers with no length that were written whole

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                txn, lane = message.headers.get("x-txn", ""), message.headers.get("x-lane", "")
                self.runs.append((self.record.now_s(), txn))
                body = f"{lane} {txn} answered by {self.name}, run {len(self.runs)}"
                has_length = not self.odd or len(self.runs) % EVERY > 0
                await asyncio.sleep(self.work_s)
                self.record.note(f"run      {body}, {'with' if has_length else 'without'} a length")
                if has_length:
                    writer.write(response(body.encode()))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body.encode())
                await writer.drain()
                self.whole.add(body)
                break
        writer.close()


async def ask(port: int, record: Record, numbers: itertools.count[int], until_s: float, got: set[str],
              results: Counter[str]) -> None:
    """A client: one request after the other, every second one of them unsafe to repeat."""
    while record.now_s() < until_s:
        number = next(numbers)
        lane, body = ("submit", b"homework") if number % 2 else ("view", None)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        async with asyncio.timeout(TIMEOUT_S):
            writer.write(request(f"t{number}", lane, "college-nord", 600 if body else 1500, body))
            answer = await read_message(reader)
        writer.close()
        got.add(answer.body.decode())
        results[f"{lane} answered {answer.status}"] += 1
        record.note(f"answered t{number} {lane} {answer.status} {answer.body.decode()}")
        await asyncio.sleep(PAUSE_S)


async def half_of_whole_answers_without_a_length_are_forwarded(trouble: bool) -> bool:
    async with stage(FOLDER) as (record, temporary, sidecars):
        upstreams = [SometimesWithoutLength(f"s-{i}", record, trouble) for i in range(UPSTREAMS)]
        for upstream in upstreams:
            await upstream.start()
        discovery = await Registry(record).start()
        discovery.put(*(upstream.entry(zone="port-louis", machineType="small") for upstream in upstreams))
        sidecars.append(sidecar := Sidecar(temporary, record, CONFIG, discovery.port))
        await sidecar.ready()
        until_s, numbers, got, results = record.now_s() + SECONDS, itertools.count(1), set[str](), Counter[str]()
        await asyncio.gather(*(ask(sidecar.port, record, numbers, until_s, got, results) for _ in range(CLIENTS)))
        for result in sorted(results):
            record.say(f"{results[result]:6} requests: {result}")
        whole = set[str]().union(*(upstream.whole for upstream in upstreams))
        # Only `submit` is judged: each of these has one attempt, whose answer is the only one that there can be.
        judged = {body for body in whole if body.startswith("submit")}
        record.say(f"whole answers with no length: {len(whole)}, of them forwarded: {len(whole & got)}")
        record.say(f"whole answers with no length to submit: {len(judged)}, of them forwarded: {len(judged & got)}")
        return len(judged & got) >= LEAST_FORWARDED * len(judged)


if __name__ == "__main__":
    main(half_of_whole_answers_without_a_length_are_forwarded)
