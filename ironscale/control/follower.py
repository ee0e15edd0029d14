"""An instance's connections to the agents that serve published versions: one that it follows, and one more while it
looks for a better. What it runs goes on whatever they do."""

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
from ironscale.control.frames import Decoder, FrameError, encode
from ironscale.control.instance import Refused, RestartNeeded
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

AGAIN_S = 0.5  # between two rounds of all agents, at a random moment of it and more after each round in vain
MOST_AGAIN_S = 2.0
HOME_S = 30.0  # one that follows a farther agent looks for a nearer one so often
LOG_GAP_S = 5.0


class Target(Protocol):
    def publish(self, overlay: Mapping[str, Any]) -> None:
        """Runs with this published configuration from here on, or as before. Raises Refused or RestartNeeded."""


@dataclass(frozen=True, slots=True)
class Follows:
    """Who follows whom."""

    labels: Labels
    boot: str
    token: str
    places: tuple[AgentEndpoint, ...]


class Follower:
    """Keeps the instance at the newest version that any agent it can reach has, for as long as `run` runs."""

    def __init__(self, target: Target, who: Follows, rng: random.Random,
                 log: Callable[[str], None] | None = None) -> None:
        self.target, self.who, self.random = target, who, rng
        self.state = FollowerState(who.labels)
        self.order = agent_selection.preference_order(who.labels, who.places)
        self.own: _Link | None = None
        self.spread_s = AGAIN_S
        self.rounds = 0  # of all agents, in vain
        self.log_line = log or (lambda text: logs.line(f"{who.labels.instance}: {text}"))
        self.next_log_s = 0.0
        self.changed: Callable[[], None] = lambda: None  # what it holds or runs has changed
        self.dialled = 0

    def log(self, text: str) -> None:
        """A line in LOG_GAP_S at most."""
        now_s = time.monotonic()
        if now_s >= self.next_log_s:
            self.next_log_s = now_s + LOG_GAP_S
            self.log_line(f"versions: {text}")

    async def run(self) -> None:
        try:
            while True:
                if self.own is None or self.own.ended.is_set():
                    await self.find()
                else:
                    await self.stay()
        finally:
            if self.own is not None:
                self.own.close()

    async def find(self) -> None:
        """Nobody is followed: the agents in turn, the lost one last."""
        lost = self.own.place if self.own is not None else None
        if self.own is not None:
            self.log(f"{lost.host}:{lost.port}: {self.own.why}" if lost else "")
            self.own = None
            # hazard: all that followed the lost one dial the same others at the same moment
            await asyncio.sleep(self.random.random() * self.spread_s)
        turns = [place for place in self.order if place != lost] + ([lost] if lost is not None else [])
        wait_s = 0.0
        for place in turns:
            link = await self.dial(place)
            if link.heard is not None and not link.ended.is_set():
                self.settle(link)
                return
            if link.denied is not None:
                wait_s = max(wait_s, link.denied.retry_ms / 1000)
            self.log(f"{place.host}:{place.port}: {link.why}")
            link.close()
        self.rounds += 1
        most_s = min(MOST_AGAIN_S, AGAIN_S * 2.0 ** min(self.rounds - 1, 8))
        await asyncio.sleep(min(wait_s, MOST_AGAIN_S) + self.random.random() * most_s)

    async def stay(self) -> None:
        """Follows until the agent is lost, or is not worth following alone."""
        own = self.own
        assert own is not None
        home = self.order.index(own.place) > 0
        home_s = own.since_s + HOME_S * (1 + self.random.random())
        while not own.ended.is_set():
            now_s = time.monotonic()
            if agent_selection.should_try_others(own.heard, now_s - own.heard_s):
                await self.look(self.order, own)
                return
            if home and now_s >= home_s:
                own.since_s = now_s
                await self.look(self.order[:self.order.index(own.place)], own)
                return
            until_s = own.heard_s + agent_selection.STALE_AFTER_S - (own.heard.age_s if own.heard is not None else 0.0)
            wait_s = max(0.05, min(until_s, home_s if home else until_s) - now_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await own.ended.wait()

    async def look(self, places: Sequence[AgentEndpoint], own: _Link) -> None:
        """Others beside the one that is followed; it is kept until a better one has answered."""
        for place in places:
            if place == own.place:
                continue
            link = await self.dial(place)
            silent_s = time.monotonic() - own.heard_s
            mine = AgentStatus(own.heard.position, own.heard.age_s + silent_s) if own.heard is not None else None
            if link.heard is not None and not link.ended.is_set() and (
                    agent_selection.should_switch(link.heard, mine)
                    or agent_selection.is_preferred(link.heard, mine, place, own.place, self.order)):
                own.close()
                self.settle(link)
                return
            link.close()
            if own.ended.is_set():
                return
        if own.heard is not None and time.monotonic() - own.heard_s >= agent_selection.SILENT_AFTER_S:
            own.end("silent")
            return
        self.rounds += 1
        await asyncio.sleep(self.random.random() * min(MOST_AGAIN_S, AGAIN_S * 2.0 ** min(self.rounds, 8)))

    def settle(self, link: _Link) -> None:
        self.own, self.rounds = link, 0
        link.take_over()

    async def dial(self, place: AgentEndpoint) -> _Link:
        """Until it has told where it is, or CONNECT_TIMEOUT_S are over."""
        link = _Link(self, place)
        self.dialled += 1
        try:
            async with asyncio.timeout(agent_selection.CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: link, place.host, place.port)
                await link.told.wait()
        except (OSError, TimeoutError, ValueError) as error:
            link.end(f"{error or 'no answer'}")
        except BaseException:
            link.close()
            raise
        return link

    # What an agent says

    def take(self, update: VersionUpdate) -> RunningReport | None:
        """One step; what there is to be told of it."""
        state = self.state
        was = state.view.position, state.running, state.status
        entries = tuple(Entry(layer.version, parse_scope(layer.scope), layer.overlay) for layer in update.entries)
        change = Change(update.lineage, update.position, update.since, update.snapshot, update.floor, entries)
        word = state.handle_update(change, update.digest)
        if word is UpdateOutcome.OTHER_LINEAGE:
            raise MessageError(f"lineage: expected {state.view.lineage}, got {update.lineage[:60]}")
        if word is UpdateOutcome.NEEDS_SNAPSHOT:
            raise MessageError(f"position {update.position}: what is held does not fit it; all is read again")
        if word is UpdateOutcome.APPLY:
            self.apply()
        if (state.view.position, state.running, state.status) != was:
            self.changed()
        return RunningReport(state.view.position, state.running, state.running_digest, state.status, state.detail)

    def apply(self) -> None:
        state = self.state
        try:
            self.target.publish(state.overlay())
        except Refused as error:
            state.mark_refused("refused", str(error))
        except RestartNeeded as error:
            state.mark_refused("needs restart", str(error))
        except Exception as error:  # hazard: the connection would break, and the same version come again and again
            logs.line(traceback.format_exc())
            state.mark_refused("failed", f"{type(error).__name__}: {error}")
        else:
            state.mark_applied()
        if state.status != "applied":
            self.log(f"version {state.view.position} is not taken on: {state.status}: {state.detail}")


class _Link(asyncio.Protocol):
    """One connection to an agent. Before it is the one that is followed, only where the agent is counts."""

    def __init__(self, follower: Follower, place: AgentEndpoint) -> None:
        self.follower, self.place = follower, place
        self.transport: asyncio.Transport | None = None
        self.decoder = Decoder()
        self.ended, self.told = asyncio.Event(), asyncio.Event()
        self.why = ""
        self.heard: AgentStatus | None = None
        self.heard_s = self.since_s = time.monotonic()
        self.denied: Denied | None = None
        self.waiting: list[VersionUpdate] | None = []  # what came while the link was not followed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.ended.is_set():
            self.transport.abort()
            return
        who, state = self.follower.who, self.follower.state
        labels = who.labels
        self.send(FollowRequest(PROTOCOL, who.token, labels.instance, who.boot, labels.service, labels.zone,
                                labels.region, state.view.lineage, state.resume_position()))

    def data_received(self, data: bytes) -> None:
        if self.ended.is_set():
            return
        self.decoder.feed(data)
        try:
            while not self.ended.is_set() and (raw := self.decoder.next()) is not None:
                self.on_message(parse_message(raw, TO_FOLLOWER))
        except (FrameError, MessageError, ScopeError) as error:
            self.end(f"not understood: {error}")

    def on_message(self, message: Message) -> None:
        if isinstance(message, Denied):
            self.denied = message
            self.end(f"denied ({message.code}): {message.text}")
            return
        assert isinstance(message, VersionUpdate)
        self.heard, self.heard_s = AgentStatus(message.position, message.age_ms / 1000), time.monotonic()
        if self.waiting is not None:
            self.waiting.append(message)
        else:
            self.take(message)
        self.told.set()

    def take_over(self) -> None:
        """It is followed from here on."""
        waiting, self.waiting = self.waiting or [], None
        self.since_s = time.monotonic()
        try:
            for update in waiting:
                if not self.ended.is_set():
                    self.take(update)
        except (MessageError, ScopeError) as error:
            self.end(f"not understood: {error}")

    def take(self, update: VersionUpdate) -> None:
        self.follower.spread_s = min(60.0, update.spread_ms / 1000)
        runs = self.follower.take(update)
        if runs is not None and (update.entries or update.snapshot or runs.status != "applied"):
            self.send(runs)

    def send(self, message: Message) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode(serialize_message(message)))

    def connection_lost(self, exc: Exception | None) -> None:
        self.end("the connection ended")

    def end(self, why: str) -> None:
        if not self.ended.is_set():
            self.why = why
            self.close()

    def close(self) -> None:
        self.ended.set()
        self.told.set()
        if self.transport is not None:
            self.transport.close()
