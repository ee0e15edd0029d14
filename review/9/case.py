"""Case 9: requests go on to an upstream that discovery has told to be gone, for longer than the grace of a drain."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

sys.path[:0] = [str(Path(__file__).resolve().parents[1]), str(Path(__file__).resolve().parents[2])]

from case_support import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    Record,
    Sidecar,
    entry,
    exchange,
    needs,
    read_head,
    request,
    run_case,
)

GRACE_S, SLACK_S = 2.0, 0.05  # invariants.drain-grace of the settings; "each time limit is 50 ms longer"
BEAT_S = 2.0
PACE_S = 0.025
PLAYED_S = 14.0
DIES_S, DOWN_S, GONE_AFTER_S = 2.0, 2.0, 0.5


class Discovery:
    """A discovery that tells each watch the whole list first, then each change, and an empty line every 2 s. Its
    process can be restarted: watches end, and its numbering begins anew."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.generation = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.watches: list[asyncio.StreamWriter] = []
        self.port = 0
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self.beat())

    async def stop(self) -> None:
        if self.server is not None and self.beats is not None:
            self.beats.cancel()
            self.server.close()
        for writer in self.watches:
            writer.transport.abort()
        self.watches.clear()

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            for writer in self.watches:
                writer.write(b"1\r\n\n\r\n")

    def write(self, writer: asyncio.StreamWriter, reset: bool, entries: list[dict[str, Any]]) -> None:
        raw = json.dumps({"generation": self.generation, "reset": reset, "instances": entries}).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(raw), raw))
        told = ", ".join(f"{one['instanceId']} {one['lifecycle']}" for one in entries)
        self.record.line(f"discovery writes generation {self.generation}, reset {reset}: {told}")

    def remove(self, name: str) -> None:
        self.generation += 1
        gone = {**self.entries.pop(name), "lifecycle": "gone"}
        for writer in self.watches:
            self.write(writer, False, [gone])

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, _ = await read_head(reader)
                self.record.line(f"discovery is asked {first}")
                if "watch=1" not in first:
                    body = json.dumps({"generation": self.generation, "reset": True,
                                       "instances": [*self.entries.values()]}).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.write(writer, True, [*self.entries.values()])
                self.watches.append(writer)
                await reader.read()
                return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            if writer in self.watches:
                self.watches.remove(writer)
            writer.close()


async def play(record: Record, folder: Path) -> int:
    got: dict[str, list[float]] = {"s-1": [], "s-2": [], "s-3": []}
    discovery = Discovery(record)

    def upstream(name: str) -> Any:
        async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while True:
                    byte = await reader.readexactly(1)  # for drains, a send counts from its first byte
                    got[name].append(record.now_s())
                    rest = await reader.readuntil(b"\r\n\r\n")
                    txn = next(line for line in (byte + rest).decode().split("\r\n")
                               if line.lower().startswith("x-txn"))
                    record.line(f"{name} is sent {txn}")
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(txn), txn.encode()))
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()
        return on_connection

    for name in got:
        server = await asyncio.start_server(upstream(name), "127.0.0.1", 0)
        discovery.entries[name] = entry(name, server.sockets[0].getsockname()[1])
    await discovery.start()
    sidecar = Sidecar(folder, f"127.0.0.1:{discovery.port}")
    await sidecar.start()
    told_s: list[float] = []

    async def remove_one() -> None:
        await asyncio.sleep(DIES_S)
        if TROUBLE:
            record.line("discovery dies")
            await discovery.stop()
            await asyncio.sleep(DOWN_S)
            record.line("discovery is back; its numbering begins anew")
            discovery.generation = 1
            await discovery.start()
            while not discovery.watches:
                await asyncio.sleep(0.01)
        await asyncio.sleep(GONE_AFTER_S)
        discovery.remove("s-1")
        told_s.append(record.now_s())

    async def call(number: int) -> None:
        status, _, _ = await exchange(sidecar.port, request("view", f"view-{number}", 1500))
        record.line(f"client sent view-{number}, was answered {status}")

    removing = asyncio.create_task(remove_one())
    calls = []
    for number in range(int(PLAYED_S / PACE_S)):
        calls.append(asyncio.create_task(call(number)))
        await asyncio.sleep(PACE_S)
    await asyncio.gather(*calls)
    await removing
    late = [at_s - told_s[0] for at_s in got["s-1"] if at_s > told_s[0] + GRACE_S + SLACK_S]
    record.line(f"s-1 was told to be gone at {told_s[0]:.3f}; sends to it more than {GRACE_S + SLACK_S:.2f} s later: "
                f"{len(late)}, after {', '.join(f'{one:.3f}' for one in late)} s")
    await sidecar.stop()
    record.line(sidecar.log_text())
    return BROKEN if late else HELD


if __name__ == "__main__":
    needs(".venv/bin/python")
    sys.exit(run_case(Path(__file__).resolve().parent, play))
