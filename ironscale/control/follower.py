"""An instance's connections to the agents that serve published versions: one to the agent that it follows, and a second
one while it looks for a better agent. The instance keeps its running configuration whatever the agents do."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import traceback
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol, cast

from ironscale import logs
from ironscale.control.frames import FrameDecoder, FrameError, encode_frame
from ironscale.control.instance import ChangeRefused, RestartNeeded
from ironscale.control.messages import (
    PROTOCOL,
    TO_FOLLOWER,
    Denied,
    FollowRequest,
    Message,
    MessageError,
    RunningReport,
    VersionUpdate,
    parse_message,
    serialize_message,
)
from ironscale.versions import agent_selection
from ironscale.versions.agent_selection import AgentEndpoint, AgentStatus
from ironscale.versions.compacted_log import Change
from ironscale.versions.follower_state import FollowerState, UpdateOutcome
from ironscale.versions.model import Entry, Labels, ScopeError, parse_scope

INITIAL_BACKOFF_S = 0.5  # after a round in which no agent could be followed; doubles per round, with full jitter
MAX_BACKOFF_S = 2.0
CLOSER_AGENT_INTERVAL_S = 30.0  # how often an instance that follows a more distant agent looks for a closer one
MIN_LOG_INTERVAL_S = 5.0


class PublishTarget(Protocol):
    def publish(self, overlay: Mapping[str, Any]) -> None:
        """Applies the published configuration, or changes nothing and raises ChangeRefused or RestartNeeded."""


@dataclass(frozen=True, slots=True)
class FollowerIdentity:
    """The identity of the follower, and the agents that it may follow."""

    labels: Labels
    boot: str
    token: str
    agents: tuple[AgentEndpoint, ...]


class Follower:
    """Keeps the instance at the newest version that a reachable agent has, until `run` is cancelled."""

    def __init__(self, target: PublishTarget, identity: FollowerIdentity, rng: random.Random,
                 log: Callable[[str], None] | None = None) -> None:
        self.target, self.identity, self.random = target, identity, rng
        self.state = FollowerState(identity.labels)
        self.agents_by_preference = agent_selection.preference_order(identity.labels, identity.agents)
        self.current: _AgentConnection | None = None
        self.spread_s = INITIAL_BACKOFF_S
        self.failed_rounds = 0  # consecutive rounds that found no agent to follow
        self.write_log_line = log or (lambda text: logs.write_line(f"{identity.labels.instance}: {text}"))
        self.next_log_at_s = 0.0
        self.on_change: Callable[[], None] = lambda: None  # called when what is held or what runs has changed
        self.connection_attempts = 0

    def log(self, text: str) -> None:
        """Writes at most one line per MIN_LOG_INTERVAL_S."""
        now_s = time.monotonic()
        if now_s >= self.next_log_at_s:
            self.next_log_at_s = now_s + MIN_LOG_INTERVAL_S
            self.write_log_line(f"versions: {text}")

    async def run(self) -> None:
        try:
            while True:
                if self.current is None or self.current.ended.is_set():
                    await self.find_agent()
                else:
                    await self.follow_current()
        finally:
            if self.current is not None:
                self.current.close()

    async def find_agent(self) -> None:
        """Tries the agents in turn while none is followed; the one that was just lost comes last."""
        lost_agent = self.current.agent if self.current is not None else None
        if self.current is not None:
            self.log(f"{lost_agent.host}:{lost_agent.port}: {self.current.end_reason}" if lost_agent else "")
            self.current = None
            # All followers of the lost agent look for another; the random delay spreads their connection attempts.
            await asyncio.sleep(self.random.random() * self.spread_s)
        candidates = ([agent for agent in self.agents_by_preference if agent != lost_agent]
                      + ([lost_agent] if lost_agent is not None else []))
        retry_after_s = 0.0
        for agent in candidates:
            connection = await self.connect(agent)
            if connection.agent_status is not None and not connection.ended.is_set():
                self.switch_to(connection)
                return
            if connection.denied is not None:
                retry_after_s = max(retry_after_s, connection.denied.retry_ms / 1000)
            self.log(f"{agent.host}:{agent.port}: {connection.end_reason}")
            connection.close()
        self.failed_rounds += 1
        max_backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** min(self.failed_rounds - 1, 8))
        await asyncio.sleep(min(retry_after_s, MAX_BACKOFF_S) + self.random.random() * max_backoff_s)

    async def follow_current(self) -> None:
        """Follows the current agent until it is lost, or until it is time to look for a better one."""
        current = self.current
        assert current is not None
        has_closer = self.agents_by_preference.index(current.agent) > 0
        next_closer_look_s = current.last_closer_look_s + CLOSER_AGENT_INTERVAL_S * (1 + self.random.random())
        while not current.ended.is_set():
            now_s = time.monotonic()
            if agent_selection.should_try_others(current.agent_status, now_s - current.heard_at_s):
                await self.try_alternatives(self.agents_by_preference, current)
                return
            if has_closer and now_s >= next_closer_look_s:
                current.last_closer_look_s = now_s
                await self.try_alternatives(
                    self.agents_by_preference[:self.agents_by_preference.index(current.agent)], current)
                return
            stale_at_s = current.heard_at_s + agent_selection.STALE_AFTER_S - (
                current.agent_status.age_s if current.agent_status is not None else 0.0)
            wait_s = max(0.05, min(stale_at_s, next_closer_look_s if has_closer else stale_at_s) - now_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await current.ended.wait()

    async def try_alternatives(self, candidates: Sequence[AgentEndpoint], current: _AgentConnection) -> None:
        """Tries other agents while the current one is still followed; switches only after a better one has answered."""
        for agent in candidates:
            if agent == current.agent:
                continue
            connection = await self.connect(agent)
            silent_s = time.monotonic() - current.heard_at_s
            own_status = (AgentStatus(current.agent_status.position, current.agent_status.age_s + silent_s)
                          if current.agent_status is not None else None)
            if connection.agent_status is not None and not connection.ended.is_set() and (
                    agent_selection.should_switch(connection.agent_status, own_status)
                    or agent_selection.is_preferred(connection.agent_status, own_status, agent, current.agent,
                                               self.agents_by_preference)):
                current.close()
                self.switch_to(connection)
                return
            connection.close()
            if current.ended.is_set():
                return
        if current.agent_status is not None and time.monotonic() - current.heard_at_s >= agent_selection.SILENT_AFTER_S:
            current.end("no message from the agent in time")
            return
        self.failed_rounds += 1
        await asyncio.sleep(
            self.random.random() * min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** min(self.failed_rounds, 8)))

    def switch_to(self, connection: _AgentConnection) -> None:
        self.current, self.failed_rounds = connection, 0
        connection.start_following()

    async def connect(self, agent: AgentEndpoint) -> _AgentConnection:
        """Connects, and waits until the agent has told its position or CONNECT_TIMEOUT_S have passed."""
        connection = _AgentConnection(self, agent)
        self.connection_attempts += 1
        try:
            async with asyncio.timeout(agent_selection.CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: connection, agent.host, agent.port)
                await connection.position_known.wait()
        except (OSError, TimeoutError, ValueError) as error:
            connection.end(f"{error or 'timed out'}")
        except BaseException:
            connection.close()
            raise
        return connection

    # Updates from an agent

    def process_update(self, update: VersionUpdate) -> RunningReport | None:
        """Processes one update; gives the report to send about it. Raises MessageError if it can't be used."""
        state = self.state
        before = state.view.position, state.running, state.status
        entries = tuple(Entry(layer.version, parse_scope(layer.scope), layer.overlay) for layer in update.entries)
        change = Change(update.lineage, update.position, update.since, update.snapshot, update.floor, entries)
        outcome = state.handle_update(change, update.digest)
        if outcome is UpdateOutcome.OTHER_LINEAGE:
            raise MessageError(f"lineage: expected {state.view.lineage}, got {update.lineage[:60]}")
        if outcome is UpdateOutcome.NEEDS_SNAPSHOT:
            raise MessageError(f"position {update.position}: doesn't match the entries held; a snapshot is needed")
        if outcome is UpdateOutcome.APPLY:
            self.apply_configuration()
        if (state.view.position, state.running, state.status) != before:
            self.on_change()
        return RunningReport(state.view.position, state.running, state.running_digest, state.status, state.detail)

    def apply_configuration(self) -> None:
        """Applies the wanted configuration to the instance and records the outcome."""
        state = self.state
        try:
            self.target.publish(state.overlay())
        except ChangeRefused as error:
            state.mark_refused("refused", str(error))
        except RestartNeeded as error:
            state.mark_refused("needs restart", str(error))
        except Exception as error:  # must not end the connection: the same version would be sent again and again
            logs.write_line(traceback.format_exc())
            state.mark_refused("failed", f"{type(error).__name__}: {error}")
        else:
            state.mark_applied()
        if state.status != "applied":
            self.log(f"version {state.view.position} not applied: {state.status}: {state.detail}")


class _AgentConnection(asyncio.Protocol):
    """One connection to an agent. Until the agent is followed, its updates are buffered and only its position is
    considered."""

    def __init__(self, follower: Follower, agent: AgentEndpoint) -> None:
        self.follower, self.agent = follower, agent
        self.transport: asyncio.Transport | None = None
        self.decoder = FrameDecoder()
        self.ended, self.position_known = asyncio.Event(), asyncio.Event()
        self.end_reason = ""
        self.agent_status: AgentStatus | None = None
        self.heard_at_s = self.last_closer_look_s = time.monotonic()
        self.denied: Denied | None = None
        # Updates received before the agent is followed; None from then on.
        self.buffered_updates: list[VersionUpdate] | None = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.ended.is_set():
            self.transport.abort()
            return
        identity, state = self.follower.identity, self.follower.state
        labels = identity.labels
        self.send(FollowRequest(PROTOCOL, identity.token, labels.instance, identity.boot, labels.service, labels.zone,
                                labels.region, state.view.lineage, state.resume_position()))

    def data_received(self, data: bytes) -> None:
        if self.ended.is_set():
            return
        self.decoder.feed(data)
        try:
            while not self.ended.is_set() and (frame := self.decoder.next_message()) is not None:
                self.on_message(parse_message(frame, TO_FOLLOWER))
        except (FrameError, MessageError, ScopeError) as error:
            self.end(f"invalid message from the agent: {error}")

    def on_message(self, message: Message) -> None:
        if isinstance(message, Denied):
            self.denied = message
            self.end(f"denied ({message.code}): {message.text}")
            return
        assert isinstance(message, VersionUpdate)
        self.agent_status, self.heard_at_s = AgentStatus(message.position, message.age_ms / 1000), time.monotonic()
        if self.buffered_updates is not None:
            self.buffered_updates.append(message)
        else:
            self.process_update(message)
        self.position_known.set()

    def start_following(self) -> None:
        """Follows this agent from now on, starting with the buffered updates."""
        updates, self.buffered_updates = self.buffered_updates or [], None
        self.last_closer_look_s = time.monotonic()
        try:
            for update in updates:
                if not self.ended.is_set():
                    self.process_update(update)
        except (MessageError, ScopeError) as error:
            self.end(f"invalid message from the agent: {error}")

    def process_update(self, update: VersionUpdate) -> None:
        self.follower.spread_s = min(60.0, update.spread_ms / 1000)
        report = self.follower.process_update(update)
        if report is not None and (update.entries or update.snapshot or report.status != "applied"):
            self.send(report)

    def send(self, message: Message) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_frame(serialize_message(message)))

    def connection_lost(self, exc: Exception | None) -> None:
        self.end("the connection was closed")

    def end(self, reason: str) -> None:
        """Closes the connection and keeps the reason for the log."""
        if not self.ended.is_set():
            self.end_reason = reason
            self.close()

    def close(self) -> None:
        self.ended.set()
        self.position_known.set()
        if self.transport is not None:
            self.transport.close()
