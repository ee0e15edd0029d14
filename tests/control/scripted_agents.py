"""Fake agents that run in the test: one that commands an instance, one that serves it published versions."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, Self

from ironscale.control.frames import FrameDecoder, encode_frame
from ironscale.control.messages import (
    FROM_INSTANCE,
    Command,
    CommandResult,
    Denied,
    FollowRequest,
    Heartbeat,
    Hello,
    LeaseRenewal,
    Message,
    OverlayLayer,
    RunningReport,
    VersionUpdate,
    Welcome,
    parse_message,
    serialize_message,
)
from ironscale.versions.agent_selection import AgentEndpoint
from ironscale.versions.compacted_log import Change, View, limited_to
from ironscale.versions.model import ALL, Entry, Labels, combine_layers, overlay_digest
from tests.sockets import until

WELCOME = Welcome(5_000, 1_000, 10)
LABELS = Labels("app-0", "app", "a", "north")


class ScriptedServer:
    """Accepts connections of instances and records the messages that it receives."""

    def __init__(self) -> None:
        self.received: list[Message] = []
        self.open: list[asyncio.StreamWriter] = []
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> Self:
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.append(writer)
        decoder = FrameDecoder()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                decoder.feed(data)
                while (raw := decoder.next_message()) is not None:
                    message = parse_message(raw, FROM_INSTANCE)
                    self.received.append(message)
                    self.on_message(message, writer)
        self.open.remove(writer)
        writer.close()

    def on_message(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Handles a message after it was recorded."""

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.open:
            writer.transport.abort()


class ScriptedAgent(ScriptedServer):
    """A fake agent: sends what the test tells it to, to the instance that connected last."""

    def __init__(self, greet: Message | bytes | None = WELCOME) -> None:
        super().__init__()
        self.greeting = greet
        self.writers: list[asyncio.StreamWriter] = []

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        await super().on_connection(reader, writer)

    def on_message(self, message: Message, writer: asyncio.StreamWriter) -> None:
        if isinstance(message, Hello) and self.greeting is not None:
            self.send(self.greeting)
        if isinstance(message, Heartbeat) and isinstance(self.greeting, Welcome):
            self.send(LeaseRenewal(message.seq))

    def send(self, message: Message | bytes) -> None:
        self.writers[-1].write(message if isinstance(message, bytes) else encode_frame(serialize_message(message)))

    def results(self) -> list[CommandResult]:
        return [m for m in self.received if isinstance(m, CommandResult)]

    def heartbeats(self) -> list[Heartbeat]:
        return [m for m in self.received if isinstance(m, Heartbeat)]

    async def command(self, ident: str, fence: int, kind: str, boot: str = "boot", **args: Any) -> CommandResult:
        before = len(self.results())
        self.send(Command(ident, fence, boot, kind, args))
        await until(lambda: len(self.results()) > before)
        return self.results()[-1]


class ScriptedVersionAgent(ScriptedServer):
    """A fake agent that serves a version log. `fresh`: it reaches its database."""

    def __init__(self, log: list[Entry], lineage: str = "L") -> None:
        super().__init__()
        self.log, self.lineage = log, lineage
        self.fresh = True
        self.silent = False
        self.denial: Denied | None = None
        self.sends_wrong_digest = False
        self.writers: dict[asyncio.StreamWriter, int] = {}  # followers, with the position that each was sent

    def place(self, zone: str = "") -> AgentEndpoint:
        return AgentEndpoint("127.0.0.1", self.port, zone)

    def update(self, since: int, known: str) -> VersionUpdate | None:
        view = View()
        view.apply(Change(self.lineage, len(self.log), 0, True, 0, tuple(self.log)))
        change = view.change_since(since, known)
        if change is None:
            return VersionUpdate(self.lineage, view.position, view.position, False, 0, [], "", self.age_ms(), 10)
        change = limited_to(change, LABELS)
        update_digest = "wrong" if self.sends_wrong_digest else overlay_digest(combine_layers(view.layers_for(LABELS)))
        return VersionUpdate(self.lineage, change.position, change.since, change.is_snapshot, change.floor,
                             [OverlayLayer(e.version, str(e.scope), e.overlay) for e in change.entries], update_digest,
                             self.age_ms(), 10)

    def age_ms(self) -> int:
        return 0 if self.fresh else 60_000

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await super().on_connection(reader, writer)
        self.writers.pop(writer, None)

    def on_message(self, message: Message, writer: asyncio.StreamWriter) -> None:
        if not isinstance(message, FollowRequest) or self.silent:
            return
        if self.denial is not None:
            writer.write(encode_frame(serialize_message(self.denial)))
            return
        self.writers[writer] = message.position
        update = self.update(message.position, message.lineage)
        if update is not None:
            writer.write(encode_frame(serialize_message(update)))

    def publish(self, overlay: Any) -> None:
        self.log.append(Entry(len(self.log) + 1, ALL, overlay))
        self.send_updates()

    def send_updates(self) -> None:
        for writer, since in list(self.writers.items()):
            update = self.update(since, self.lineage if since else "")
            if update is not None and not self.silent:
                writer.write(encode_frame(serialize_message(update)))
                self.writers[writer] = update.position

    def running_reports(self) -> list[RunningReport]:
        return [message for message in self.received if isinstance(message, RunningReport)]
