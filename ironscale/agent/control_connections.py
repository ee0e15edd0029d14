"""The agent's end of the control connections: one listener, and protocols that handle one frame at a time."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Mapping
from typing import cast

from ironscale.agent.fleet import Denial, Fleet
from ironscale.control.frames import FrameDecoder, FrameError, encode_frame
from ironscale.control.messages import (
    FROM_INSTANCE,
    PROTOCOL,
    Command,
    CommandResult,
    Denied,
    Goodbye,
    Heartbeat,
    Hello,
    LeaseRenewal,
    Message,
    MessageError,
    Welcome,
    parse_message,
    serialize_message,
)

HELLO_TIMEOUT_S = 5.0
MAX_UNSENT_BYTES = 4 << 20  # a process that reads nothing, for instance a stopped one, must not fill the agent's memory
ACCEPTS = 200
NOT_LEADING = "NOT_LEADING"
MAX_UNIDENTIFIED = 1_000  # connections that have not sent their first message yet


class InstanceConnection(asyncio.Protocol):
    """The connection of one instance. Heartbeats are passed to the fleet, results of commands to the engine."""

    def __init__(self, links: InstanceConnections) -> None:
        self.links = links
        self.boot = ""
        self.name = ""
        self.goodbye = ""
        self.transport: asyncio.Transport | None = None
        self.decoder = FrameDecoder()
        self.closing = False
        self.hello_timer = asyncio.get_running_loop().call_later(HELLO_TIMEOUT_S, self.close, "no hello")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.links.open.add(self)
        self.links.unidentified += 1
        if self.links.unidentified > MAX_UNIDENTIFIED:
            self.close("too many that say nothing")

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        self.decoder.feed(data)
        try:
            while not self.closing and (raw := self.decoder.next_message()) is not None:
                self.on_message(parse_message(raw, FROM_INSTANCE))
        except (FrameError, MessageError) as error:
            self.links.log(f"{self.name or self.peer()}: not understood: {error}")
            self.deny(Denial("NOT_UNDERSTOOD", str(error), 5_000))

    def peer(self) -> str:
        where = self.transport.get_extra_info("peername") if self.transport is not None else None
        return f"{where[0]}:{where[1]}" if where else "a connection"

    def on_message(self, message: Message) -> None:
        if not self.name:
            if not isinstance(message, Hello):
                raise MessageError(f"expected hello, got {message.type}")
            self.on_hello(message)
        elif isinstance(message, Heartbeat):
            if self.links.fleet.heartbeat(self.name, self, message.report):
                self.send(LeaseRenewal(message.seq))
            else:
                self.close("another process has its name")
        elif isinstance(message, CommandResult):
            if message.report is not None:
                self.links.fleet.heartbeat(self.name, self, message.report)
            self.links.on_result(self.name, self.boot, message)
        elif isinstance(message, Goodbye):
            self.goodbye = f"ended by itself: {message.reason}"
        else:
            raise MessageError(f"expected beat, result or bye, got {message.type}")

    def on_hello(self, hello: Hello) -> None:
        try:
            if hello.protocol != PROTOCOL:
                raise Denial("PROTOCOL", f"expected protocol {PROTOCOL}, got {hello.protocol}", 60_000)
            if not self.links.is_instance_token(hello.token):
                raise Denial("TOKEN", "expected a token of role instance; see `ironscale token`", 30_000)
            if not self.links.is_leading():
                raise Denial(NOT_LEADING, "another agent leads", 0)
            self.boot, name = hello.boot, hello.name
            fleet = self.links.fleet
            fleet.check_registration(hello)
            lease_ms, beat_ms = fleet.lease_and_heartbeat()
            donors = fleet.donors(hello, int(time.time() * 1000))
            self.send(Welcome(lease_ms, beat_ms, fleet.spread_ms(), donors, self.links.term()))
            fleet.register(hello, self, lease_ms)
            self.name = name
            self.hello_timer.cancel()
            self.links.unidentified -= 1
        except Denial as denial:
            self.links.on_denied(hello, denial)
            self.deny(denial)

    def deny(self, denial: Denial) -> None:
        self.send(Denied(denial.code, str(denial), denial.retry_ms, self.links.leader_control()))
        self.close(str(denial))

    def command(self, command: Command) -> None:
        self.send(command)

    def send(self, message: Message) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.closing = True
            self.transport.abort()
            return
        self.transport.write(encode_frame(serialize_message(message)))

    def close(self, why: str) -> None:
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.hello_timer.cancel()
        self.links.open.discard(self)
        if self.name:
            self.links.fleet.disconnect(self.name, self, self.goodbye)
        else:
            self.links.unidentified -= 1


class UnidentifiedConnection(asyncio.Protocol):
    """A connection whose purpose is not known yet. The type of its first message selects the protocol that takes over
    the connection and all data received so far. While the agent is between two terms, instances wait here."""

    def __init__(self, door: ControlListener) -> None:
        self.door = door
        self.transport: asyncio.Transport | None = None
        self.data = bytearray()
        self.is_waiting = False  # an instance that waits for the agent's next term
        self.first_message_timer = asyncio.get_running_loop().call_later(HELLO_TIMEOUT_S, self.close)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.door.open.add(self)
        if len(self.door.open) > MAX_UNIDENTIFIED:
            self.close()

    def data_received(self, data: bytes) -> None:
        self.data += data
        if self.is_waiting:
            return
        first = FrameDecoder()
        first.feed(bytes(self.data))
        try:
            message = first.next_message()
        except FrameError:
            message = {}
        if message is None:
            return
        taken_over = self.door.protocols_by_type.get(str(message.get("type")))
        if taken_over is not None:
            self.hand_over(taken_over())
        elif self.door.instance_connections is not None:
            self.hand_over(InstanceConnection(self.door.instance_connections))
        else:
            self.is_waiting = True
            assert self.transport is not None
            self.transport.pause_reading()

    def hand_over(self, protocol: asyncio.Protocol) -> None:
        assert self.transport is not None
        transport, self.transport = self.transport, None
        self.first_message_timer.cancel()
        self.door.open.discard(self)
        if self.is_waiting:
            transport.resume_reading()
        if transport.is_closing():
            return
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
        protocol.data_received(bytes(self.data))

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.first_message_timer.cancel()
        self.door.open.discard(self)


class ControlListener:
    """The agent's control listener. It stays open as long as the agent process lives, while the agent's terms change.
    `others` maps the type of a first message to the protocol that handles such a connection in any term."""

    def __init__(self, others: Mapping[str, Callable[[], asyncio.Protocol]]) -> None:
        self.protocols_by_type = others
        self.instance_connections: InstanceConnections | None = None
        self.open: set[UnidentifiedConnection] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, sock: socket.socket) -> None:
        if self.server is None:
            self.server = await asyncio.get_running_loop().create_server(
                lambda: UnidentifiedConnection(self), sock=sock, backlog=4096)

    def set_instance_connections(self, links: InstanceConnections | None) -> None:
        """Sets who handles the connections of instances from now on; None: nobody, and new ones wait."""
        self.instance_connections = links
        if links is not None:
            for link in [link for link in self.open if link.is_waiting]:
                link.hand_over(InstanceConnection(links))

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for link in list(self.open):
            link.close()


class InstanceConnections:
    """The connections of instances during one term, or while another agent leads."""

    def __init__(self, fleet: Fleet, admits: Callable[[str], bool],
                 on_result: Callable[[str, str, CommandResult], None], log: Callable[[str], None]) -> None:
        self.fleet = fleet
        self.is_instance_token = admits
        self.on_result = on_result
        self.log = log
        self.is_leading: Callable[[], bool] = lambda: True
        self.term: Callable[[], int] = lambda: 0
        self.leader_control: Callable[[], str] = lambda: ""  # HOST:PORT of the leading agent's control listener
        self.on_denied: Callable[[Hello, Denial], None] = lambda hello, denial: None
        self.open: set[InstanceConnection] = set()
        self.unidentified = 0

    def close_all(self, why: str) -> None:
        for link in list(self.open):
            link.close(why)

    def close(self) -> None:
        self.close_all("the agent ends")
