"""Connections for serving published versions: those of followers, which outlive the agent's terms, and those over which
standby agents send the leading agent summaries of their followers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import cast

from ironscale.agent.control_connections import NOT_LEADING
from ironscale.control.frames import HEADER_BYTES, FrameDecoder, FrameError, encode_frame
from ironscale.control.messages import (
    FROM_FOLLOWER,
    PROTOCOL,
    Denied,
    DifferingFollower,
    FollowerSummary,
    FollowRequest,
    LeaseRenewal,
    Message,
    MessageError,
    OverlayLayer,
    PositionCount,
    RunningReport,
    VersionUpdate,
    parse_message,
    serialize_message,
)
from ironscale.versions.model import Labels
from ironscale.versions.serving import (
    SLOW_READER_TIMEOUT_S,
    AdmissionRefused,
    EncodedUpdateCache,
    FollowerDifference,
    FollowerUpdate,
    Subscriber,
    VersionDistributor,
    VersionsSummary,
)

# Memory that a follower which reads nothing can occupy: in the kernel, and in this process, plus one frame.
KERNEL_BUFFER_BYTES, WRITE_BUFFER_BYTES = 128 << 10, 64 << 10
TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)
SUMMARY_INTERVAL_S, SUMMARY_TIMEOUT_S = 1.0, 2.0
MAX_SUMMARY_AGE_S = 5.0  # a summary older than this is reported as not current
MAX_SUMMARIES = 100


def encode_update(told: FollowerUpdate) -> bytes:
    """Raises FrameError if the update is larger than a frame may be."""
    return encode_frame(serialize_message(VersionUpdate(
        told.lineage, told.position, told.since, told.is_snapshot, told.floor,
        [OverlayLayer(entry.version, str(entry.scope), dict(entry.overlay) if entry.overlay is not None else None)
         for entry in told.entries], told.digest, told.age_ms, told.spread_ms)))


@dataclass(frozen=True, slots=True)
class AgentSummary:
    """What the leading agent knows of one agent's followers."""

    agent: str  # HOST:PORT at which it serves followers
    known: bool  # False: the summary is too old to be current
    heard_ms: int  # time since the summary was received
    age_ms: int  # age of that agent's view, as it reported
    summary: VersionsSummary


class FollowerConnections:
    """All followers of this agent, for as long as the agent process lives."""

    def __init__(self, serving: VersionDistributor, admits: Callable[[str], bool], age_s: Callable[[], float],
                 log: Callable[[str], None]) -> None:
        self.serving, self.is_instance_token, self.age_s, self.log = serving, admits, age_s, log
        self.links: dict[int, FollowerConnection] = {}
        self.open: set[FollowerConnection | SummaryConnection] = set()
        self.encoded_updates = EncodedUpdateCache()
        self.wake = asyncio.Event()
        self.is_leading: Callable[[], bool] = lambda: False
        self.leader_control: Callable[[], str] = lambda: ""  # HOST:PORT of the agent that leads
        self.own_address = ""  # HOST:PORT of this one
        self.summaries: dict[str, tuple[FollowerSummary, float]] = {}
        self.frames_sent = 0  # number of frames
        self.denied = 0

    # Sending updates

    def on_view_changed(self) -> None:
        self.wake.set()

    async def send_due_updates(self) -> None:
        """Sends the updates that are due, to a few hundred followers per step of the event loop. If none is due, waits
        until the next one is."""
        self.wake.clear()
        now_s = time.monotonic()
        told_any = False
        for subscriber, told in self.serving.due_updates(now_s, self.age_s()):
            told_any = True
            self.links[subscriber.ident].send_update(told)
        for subscriber in self.serving.stalled_readers(now_s):
            self.links[subscriber.ident].abort(f"has read nothing for {SLOW_READER_TIMEOUT_S:g} s")
        if told_any:
            await asyncio.sleep(0)
            return
        at_s = self.serving.next_due_s()
        wait_s = min(1.0, max(0.0, at_s - now_s)) if at_s is not None else 1.0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self.wake.wait()

    def disconnect_followers(self, strange: Iterable[Subscriber]) -> None:
        for subscriber in strange:
            link = self.links.pop(subscriber.ident, None)
            if link is not None:
                link.deny("LINEAGE", "the store's version log is another one", 0)

    def close(self) -> None:
        for link in list(self.open):
            link.close()

    # Summaries

    def summary(self) -> list[AgentSummary]:
        """The summary of this agent's own followers, then those that other agents sent of theirs."""
        now_s = time.monotonic()
        found = [AgentSummary(self.own_address, True, 0, int(self.age_s() * 1000), self.serving.summary())]
        for sum_, heard_s in self.summaries.values():
            found.append(AgentSummary(
                sum_.agent, now_s - heard_s < MAX_SUMMARY_AGE_S, int((now_s - heard_s) * 1000), sum_.age_ms,
                VersionsSummary(sum_.lineage, sum_.position, sum_.followers,
                        tuple((count.position, count.number) for count in sum_.counts),
                        tuple(differing_followers(sum_)), sum_.more)))
        return found

    def on_summary(self, found: FollowerSummary) -> None:
        if found.agent not in self.summaries and len(self.summaries) >= MAX_SUMMARIES:
            del self.summaries[min(self.summaries, key=lambda agent: self.summaries[agent][1])]
        self.summaries[found.agent] = found, time.monotonic()

    def own_summary(self, token: str, seq: int) -> FollowerSummary:
        own = self.serving.summary()
        return FollowerSummary(PROTOCOL, token, seq, self.own_address, own.lineage, own.position,
                   int(self.age_s() * 1000), own.followers,
                   [PositionCount(position, number) for position, number in own.counts],
                   [DifferingFollower(one.name, one.running, one.status, one.detail) for one in own.differing],
                   own.more)

    async def send_summaries(self, token: str) -> None:
        """Sends summaries to the leading agent over one connection, until another agent leads or an error occurs."""
        address = self.leader_control() if not self.is_leading() else ""
        host, _, port = address.rpartition(":")
        if not address or address == self.own_address:
            await asyncio.sleep(SUMMARY_INTERVAL_S)
            return
        try:
            async with asyncio.timeout(SUMMARY_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError, ValueError):
            await asyncio.sleep(SUMMARY_INTERVAL_S)
            return
        try:
            seq = 0
            while self.leader_control() == address and not self.is_leading():
                seq += 1
                async with asyncio.timeout(SUMMARY_TIMEOUT_S):
                    writer.write(encode_frame(serialize_message(self.own_summary(token, seq))))
                    size = int.from_bytes(await reader.readexactly(HEADER_BYTES))
                    decoder = FrameDecoder()
                    decoder.feed(size.to_bytes(HEADER_BYTES) + await reader.readexactly(min(size, 1 << 16)))
                    raw = decoder.next_message()
                if raw is None or not isinstance(parse_message(raw, (LeaseRenewal, Denied)), LeaseRenewal):
                    break
                await asyncio.sleep(SUMMARY_INTERVAL_S)
        except (OSError, EOFError, TimeoutError, FrameError, MessageError):
            pass
        finally:
            writer.close()
        await asyncio.sleep(SUMMARY_INTERVAL_S)


def differing_followers(found: FollowerSummary) -> list[FollowerDifference]:
    return [FollowerDifference(one.name, one.running, one.status, one.detail) for one in found.differing]


class _Connection(asyncio.Protocol):
    """The common part of both kinds of connection."""

    def __init__(self, followers: FollowerConnections) -> None:
        self.followers = followers
        self.transport: asyncio.Transport | None = None
        self.decoder = FrameDecoder()
        self.closing = False
        self.name = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        self.decoder.feed(data)
        try:
            while not self.closing and (raw := self.decoder.next_message()) is not None:
                self.on_message(raw)
        except (FrameError, MessageError) as error:
            self.followers.log(f"{self.name or 'a follower'}: not understood: {error}")
            self.deny("NOT_UNDERSTOOD", str(error), 5_000)

    def on_message(self, raw: dict[str, object]) -> None:
        raise NotImplementedError

    def deny(self, code: str, text: str, retry_ms: int) -> None:
        self.followers.denied += 1
        self.send(Denied(code, text, retry_ms))
        self.close()

    def send(self, message: Message) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_frame(serialize_message(message)))

    def close(self) -> None:
        self.closing = True
        if self.transport is not None:
            self.transport.close()


class FollowerConnection(_Connection):
    """The connection of one follower."""

    def __init__(self, followers: FollowerConnections) -> None:
        super().__init__(followers)
        self.subscriber: Subscriber | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.followers.open.add(self)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
                # A machine that is gone doesn't close its connections, so unacknowledged data ends them.
                sock.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, int(SLOW_READER_TIMEOUT_S * 1000))

    def on_message(self, raw: dict[str, object]) -> None:
        message = parse_message(raw, FROM_FOLLOWER)
        serving = self.followers.serving
        if isinstance(message, RunningReport):
            if self.subscriber is None:
                raise MessageError("expected follow, got runs")
            serving.record_status(self.subscriber, message.running, message.digest, message.status, message.detail)
        elif isinstance(message, FollowRequest):
            self.on_follow(message)

    def on_follow(self, follow: FollowRequest) -> None:
        followers = self.followers
        self.name = follow.name
        if self.subscriber is not None:
            raise MessageError("expected runs, got follow again")
        if follow.protocol != PROTOCOL:
            return self.deny("PROTOCOL", f"expected protocol {PROTOCOL}, got {follow.protocol}", 60_000)
        if not followers.is_instance_token(follow.token):
            return self.deny("TOKEN", "expected a token of role instance; see `ironscale token`", 30_000)
        now_s = time.monotonic()
        try:
            followers.serving.check_admission(follow.lineage, now_s)
        except AdmissionRefused as turned:
            return self.deny(turned.code, str(turned), turned.retry_ms)
        labels = Labels(follow.name, follow.service, follow.zone, follow.region)
        self.subscriber = followers.serving.join(labels, follow.lineage, follow.position, now_s)
        followers.links[self.subscriber.ident] = self
        followers.on_view_changed()

    def send_update(self, told: FollowerUpdate) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        try:
            data = self.followers.encoded_updates.get(told, encode_update)
        except FrameError as error:
            self.followers.log(f"{self.name}: its versions together exceed a frame: {error}")
            self.deny("TOO_LARGE", f"what concerns it is too large together: {error}", 30_000)
            return
        self.followers.frames_sent += 1
        self.transport.write(data)

    def pause_writing(self) -> None:
        if self.subscriber is not None:
            self.followers.serving.mark_slow(self.subscriber, time.monotonic())

    def resume_writing(self) -> None:
        if self.subscriber is not None:
            self.followers.serving.mark_caught_up(self.subscriber, time.monotonic())
            self.followers.on_view_changed()

    def abort(self, why: str) -> None:
        self.followers.log(f"{self.name}: {why}; closing the connection")
        self.closing = True
        if self.subscriber is not None:
            self.followers.serving.leave(self.subscriber)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.followers.open.discard(self)
        if self.subscriber is not None:
            self.followers.serving.leave(self.subscriber)
            self.followers.links.pop(self.subscriber.ident, None)


class SummaryConnection(_Connection):
    """The connection of a standby agent that sends summaries of its followers."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.followers.open.add(self)

    def on_message(self, raw: dict[str, object]) -> None:
        found = parse_message(raw, (FollowerSummary,))
        assert isinstance(found, FollowerSummary)
        self.name = f"agent {found.agent[:60]}"
        if found.protocol != PROTOCOL:
            return self.deny("PROTOCOL", f"expected protocol {PROTOCOL}, got {found.protocol}", 60_000)
        if not self.followers.is_instance_token(found.token):
            return self.deny("TOKEN", "expected a token of role instance; see `ironscale token`", 30_000)
        if not self.followers.is_leading():
            return self.deny(NOT_LEADING, "another agent leads", 0)
        self.followers.on_summary(found)
        self.send(LeaseRenewal(found.seq))

    def connection_lost(self, exc: Exception | None) -> None:
        self.followers.open.discard(self)
