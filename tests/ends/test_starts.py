"""Many sidecars restart at once, and a discovery service answers their calls one after another, in order."""

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
from tests.virtual_clock import run_virtual, until

COUNT, TOTAL_S = 50, 30.0  # the same total as 200 calls of 0.15 s each
CALL_DURATION_S = TOTAL_S / COUNT
ENTRY: dict[str, Any] = {"instanceId": "s-1", "hostPort": "127.0.0.1:9", "lifecycle": "ready"}


class SequentialDiscovery:
    """A discovery service that handles one call at a time, with at most `queue_limit` waiting. With
    `handles_abandoned` it also spends time on calls whose caller has gone, as it notices that only when it writes."""

    def __init__(self, handles_abandoned: bool, queue_limit: int) -> None:
        self.handles_abandoned, self.queue_limit, self.calls, self.port = handles_abandoned, queue_limit, 0, 0
        self.answered: list[asyncio.StreamWriter] = []
        self.queue: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()

    async def start(self) -> None:
        server = await asyncio.start_server(self.on_call, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.tasks = [asyncio.create_task(self.handle_calls()), asyncio.create_task(self.send_heartbeats())]

    async def on_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        try:
            await read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        if self.queue.qsize() >= self.queue_limit:
            writer.transport.abort()
        else:
            self.queue.put_nowait((reader, writer))

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            for writer in self.answered:
                writer.write(b"1\r\n\n\r\n")

    async def handle_calls(self) -> None:
        raw = json.dumps(listing(ENTRY, generation=42)).encode() + b"\n"
        while True:
            reader, writer = await self.queue.get()
            if reader.at_eof() and not self.handles_abandoned:
                continue
            await asyncio.sleep(CALL_DURATION_S)
            self.answered.append(writer)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(raw), raw))


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("handles_abandoned", [True, False], ids=["handles-abandoned-calls", "skips-abandoned-calls"])
@pytest.mark.parametrize(("queue_limit", "max_s"), [(10_000, 1.1 * TOTAL_S), (COUNT // 4, 2.0 * TOTAL_S)],
                         ids=["waits", "refuses"])
def test_many_sidecars_that_start_at_once_are_ready_and_all_are_answered(
        seed: int, handles_abandoned: bool, queue_limit: int, max_s: float, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against abandoned calls that lose their place in the queue and are processed nevertheless: after the first
    few, no sidecar was ever answered in time."""
    async def test() -> None:
        discovery = SequentialDiscovery(handles_abandoned, queue_limit)
        await discovery.start()
        begun_s = asyncio.get_running_loop().time()
        sidecars = []
        for number in range(COUNT):
            made = config(discovery.port, ENTRY, **settings_of({}, instances=200))
            sidecar = Sidecar(replace(made, seed=1000 * seed + number))
            sidecar.on_list(ListKind.CACHED, made.last_known_list)
            sidecars.append(sidecar)
        # required are nine in ten within 10 s; all are ready at once, because they have the last known list
        assert all(sidecar.is_ready() for sidecar in sidecars)

        def answered_count() -> int:
            return sum(sidecar.discovery.generation == 42 for sidecar in sidecars)

        await asyncio.sleep(10.0)
        # of all that discovery could have answered by then
        assert answered_count() >= 0.9 * 10.0 / CALL_DURATION_S, (seed, answered_count())
        await until(lambda: answered_count() == COUNT)
        took_s = asyncio.get_running_loop().time() - begun_s
        assert took_s <= max_s and discovery.calls <= 6 * COUNT, (seed, took_s, discovery.calls)
        for sidecar in sidecars:
            sidecar.discovery.close()
        for task in discovery.tasks:
            task.cancel()

    run_virtual(test, monkeypatch)
