"""A link between two processes, through which everything goes, and where it can be cut, held, delayed or broken."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress

MOST_HELD = 1 << 20


class Relay:
    """Listens in one's place, and passes on both ways. `there` is towards the one that is dialled."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.port = 0
        self.server: asyncio.Server | None = None
        self.ends: set[asyncio.StreamWriter] = set()
        self.open_there, self.open_back = asyncio.Event(), asyncio.Event()
        self.delay_s = 0.0
        self.mend()

    async def start(self) -> Relay:
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def cut(self) -> None:
        """Both ways, without a word: what is connected stays so and is silent, as with a network that is gone."""
        self.open_there.clear()
        self.open_back.clear()

    def deaf(self) -> None:
        """One way: what goes there is held."""
        self.open_there.clear()

    def mute(self) -> None:
        self.open_back.clear()

    def delay(self, seconds: float) -> None:
        self.delay_s = seconds

    def reset(self) -> None:
        """Breaks what is connected, at whatever byte it is."""
        for writer in list(self.ends):
            sock = writer.get_extra_info("socket")
            with suppress(OSError, AttributeError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def mend(self) -> None:
        self.open_there.set()
        self.open_back.set()
        self.delay_s = 0.0

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.ends.add(writer)
        other: asyncio.StreamWriter | None = None
        try:
            await self.open_there.wait()
            back, other = await asyncio.open_connection(*self.target)
            self.ends.add(other)
            passing = {asyncio.ensure_future(self.carry(reader, other, self.open_there)),
                       asyncio.ensure_future(self.carry(back, writer, self.open_back))}
            try:
                await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in passing:
                    task.cancel()
                await asyncio.gather(*passing, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for end in (writer, other):
                if end is not None:
                    self.ends.discard(end)
                    end.close()

    async def carry(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, gate: asyncio.Event) -> None:
        while data := await source.read(65_536):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await gate.wait()
            sink.write(data)
            await sink.drain()
        await gate.wait()  # hazard: an end that is told through a cut would mend what the cut is for

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.ends):
            writer.transport.abort()


class Port:
    """One that stays bound here, so that nobody else gets it between two processes that listen on it."""

    def __init__(self) -> None:
        self.held = socket.socket()
        self.held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.held.bind(("127.0.0.1", 0))
        self.number: int = self.held.getsockname()[1]

    def close(self) -> None:
        self.held.close()
