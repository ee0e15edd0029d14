"""Stand-ins for discovery: one writes what a script says, one keeps a list and tells its changes."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from ironscale.standins.http import ok, read_message


def listing(*entries: dict[str, Any], generation: int = 1, reset: bool = True) -> dict[str, Any]:
    return {"generation": generation, "reset": reset, "instances": list(entries)}


class FakeDiscovery:
    """Keeps every watch open and writes what the script says."""

    def __init__(self) -> None:
        self.targets: list[str] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.port = 0

    async def start(self) -> FakeDiscovery:
        server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        message = await read_message(reader)
        self.targets.append(message.first.split()[1])
        writer.write(self.head)
        self.writers.append(writer)
        await reader.read()
        writer.close()

    def line(self, data: dict[str, Any] | None, index: int = -1) -> None:
        raw = (json.dumps(data).encode() if data else b"") + b"\n"
        self.writers[index].write(b"%x\r\n%s\r\n" % (len(raw), raw))


class ListedDiscovery:
    """Keeps a list of upstreams: answers whole-list calls, and tells every watch what changes.

    A watch is told the whole list first, then each change, and an empty line every 2 s while there is none.
    """

    BEAT_S = 2.0

    def __init__(self) -> None:
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.watches: set[asyncio.StreamWriter] = set()
        self.calls = 0
        self.port = 0
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task[None] | None = None

    async def start(self) -> ListedDiscovery:
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self.beat())
        return self

    def put(self, *entries: dict[str, Any]) -> None:
        """Adds or changes entries, by `instanceId`; watches hear of them in one line."""
        self.generation += 1
        for entry in entries:
            if entry["lifecycle"] == "gone":
                self.entries.pop(entry["instanceId"], None)
            else:
                self.entries[entry["instanceId"]] = entry
        self.tell(listing(*entries, generation=self.generation, reset=False))

    def tell(self, data: dict[str, Any] | None) -> None:
        line = self.chunk(data)
        for writer in list(self.watches):
            if not writer.is_closing():  # its end has not been told to its reader yet
                writer.write(line)

    @staticmethod
    def chunk(data: dict[str, Any] | None) -> bytes:
        raw = (json.dumps(data).encode() if data is not None else b"") + b"\n"
        return b"%x\r\n%s\r\n" % (len(raw), raw)

    def whole(self) -> dict[str, Any]:
        return listing(*self.entries.values(), generation=self.generation)

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(self.BEAT_S)
            self.tell(None)

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_message(reader)
                self.calls += 1
                if "watch=1" not in message.first:
                    writer.write(ok(json.dumps(self.whole()).encode()))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(self.chunk(self.whole()))
                self.watches.add(writer)
                await reader.read()
                return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    async def stop(self) -> None:
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.watches):
            writer.transport.abort()
