"""Many restarted at once, at a discovery that answers in turns: one list at a time, in the order of the calls."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import Any

import pytest

from ironscale.interface import ListKind
from ironscale.net.sidecar import Sidecar
from ironscale.standins.discovery import listing
from ironscale.standins.http import read_message
from tests.ends.test_lists import settings_of
from tests.sockets import config
from tests.virtual import play, until

COUNT, ALL_S = 50, 30.0  # as long as 200 take at 0.15 s each
CALL_S = ALL_S / COUNT
ENTRY: dict[str, Any] = {"instanceId": "s-1", "hostPort": "127.0.0.1:9", "lifecycle": "ready"}


class InTurns:
    """`works`: also at calls whose caller has gone, as it learns of that only as it writes."""

    def __init__(self, works: bool, room: int) -> None:
        self.works, self.room, self.calls, self.port = works, room, 0, 0
        self.told: list[asyncio.StreamWriter] = []
        self.queue: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()

    async def start(self) -> None:
        server = await asyncio.start_server(self.on_call, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.tasks = [asyncio.create_task(self.work()), asyncio.create_task(self.beat())]

    async def on_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        try:
            await read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        if self.queue.qsize() >= self.room:
            writer.transport.abort()
        else:
            self.queue.put_nowait((reader, writer))

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            for writer in self.told:
                writer.write(b"1\r\n\n\r\n")

    async def work(self) -> None:
        raw = json.dumps(listing(ENTRY, generation=42)).encode() + b"\n"
        while True:
            reader, writer = await self.queue.get()
            if reader.at_eof() and not self.works:
                continue
            await asyncio.sleep(CALL_S)
            self.told.append(writer)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(raw), raw))


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("works", [True, False], ids=["works-at-all", "works-at-who-is-there"])
@pytest.mark.parametrize(("room", "most_s"), [(10_000, 1.1 * ALL_S), (COUNT // 4, 2.0 * ALL_S)],
                         ids=["waits", "refuses"])
def test_many_that_start_at_once_are_ready_and_all_are_answered(
        seed: int, works: bool, room: int, most_s: float, monkeypatch: pytest.MonkeyPatch) -> None:
    """Hazard: calls that were given up lost their place and were worked at all the same, so after the first few nobody
    was answered in time, for good."""
    async def test() -> None:
        discovery = InTurns(works, room)
        await discovery.start()
        begun_s = asyncio.get_running_loop().time()
        sidecars = []
        for number in range(COUNT):
            made = config(discovery.port, ENTRY, **settings_of({}, instances=200))
            sidecar = Sidecar(replace(made, seed=1000 * seed + number))
            sidecar.on_list(ListKind.CACHED, made.last_known_list)
            sidecars.append(sidecar)
        # nine in ten within 10 s: all at once, as they have the list as last known
        assert all(sidecar.is_ready() for sidecar in sidecars)

        def told() -> int:
            return sum(sidecar.discovery.generation == 42 for sidecar in sidecars)

        await asyncio.sleep(10.0)
        assert told() >= 0.9 * 10.0 / CALL_S, (seed, told())  # of all that discovery could tell by then
        await until(lambda: told() == COUNT)
        took_s = asyncio.get_running_loop().time() - begun_s
        assert took_s <= most_s and discovery.calls <= 6 * COUNT, (seed, took_s, discovery.calls)
        for sidecar in sidecars:
            sidecar.discovery.close()
        for task in discovery.tasks:
            task.cancel()

    play(test, monkeypatch)
