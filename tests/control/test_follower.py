"""An instance that follows published versions, at agents that do what a test says; on sockets."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from typing import Any

import pytest

from ironscale.control import follower as module
from ironscale.control.follower import Follower
from ironscale.control.frames import Decoder, encode
from ironscale.control.messages import (
    FROM_INSTANCE,
    Denied,
    FollowRequest,
    Message,
    OverlayLayer,
    RunningReport,
    VersionUpdate,
    parse_message,
    serialize_message,
)
from ironscale.control.simulated_instance import LightInstance, light_follower
from ironscale.versions import agent_selection
from ironscale.versions.agent_selection import AgentEndpoint
from ironscale.versions.compacted_log import Change, View, limited_to
from ironscale.versions.model import ALL, Entry, Labels, combine_layers, overlay_digest
from tests.sockets import run, until

LABELS = Labels("app-0", "app", "a", "north")


class Serving:
    """An agent that holds a log and serves it; `fresh` = it reaches the record."""

    def __init__(self, log: list[Entry], lineage: str = "L") -> None:
        self.log, self.lineage = log, lineage
        self.fresh = True
        self.silent = False
        self.denies: Denied | None = None
        self.lies = False
        self.got: list[Message] = []
        self.writers: dict[asyncio.StreamWriter, int] = {}
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> Serving:
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def place(self, zone: str = "") -> AgentEndpoint:
        return AgentEndpoint("127.0.0.1", self.port, zone)

    def update(self, since: int, known: str) -> VersionUpdate | None:
        view = View()
        view.apply(Change(self.lineage, len(self.log), 0, True, 0, tuple(self.log)))
        change = view.change_since(since, known)
        if change is None:
            return VersionUpdate(self.lineage, view.position, view.position, False, 0, [], "", self.age_ms(), 10)
        change = limited_to(change, LABELS)
        mark = "wrong" if self.lies else overlay_digest(combine_layers(view.layers_for(LABELS)))
        return VersionUpdate(self.lineage, change.position, change.since, change.is_snapshot, change.floor,
                      [OverlayLayer(e.version, str(e.scope), e.overlay) for e in change.entries], mark,
                      self.age_ms(), 10)

    def age_ms(self) -> int:
        return 0 if self.fresh else 60_000

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        decoder = Decoder()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                decoder.feed(data)
                while (raw := decoder.next()) is not None:
                    message = parse_message(raw, FROM_INSTANCE)
                    self.got.append(message)
                    if isinstance(message, FollowRequest) and not self.silent:
                        if self.denies is not None:
                            writer.write(encode(serialize_message(self.denies)))
                            continue
                        self.writers[writer] = message.position
                        update = self.update(message.position, message.lineage)
                        if update is not None:
                            writer.write(encode(serialize_message(update)))
        self.writers.pop(writer, None)
        writer.close()

    def publish(self, overlay: Any) -> None:
        self.log.append(Entry(len(self.log) + 1, ALL, overlay))
        self.tell()

    def tell(self) -> None:
        for writer, since in list(self.writers.items()):
            update = self.update(since, self.lineage if since else "")
            if update is not None and not self.silent:
                writer.write(encode(serialize_message(update)))
                self.writers[writer] = update.position

    def runs(self) -> list[RunningReport]:
        return [message for message in self.got if isinstance(message, RunningReport)]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()


@contextlib.asynccontextmanager
async def following(*agents: Serving, zones: tuple[str, ...] = ()) -> AsyncIterator[tuple[LightInstance, Follower]]:
    """The first agent is the nearest."""
    instance = LightInstance("app-0")
    places = tuple(agent.place("a" if i == 0 else "") for i, agent in enumerate(agents))
    follower = light_follower(instance, LABELS, "token", places, rng=random.Random(1))
    task = asyncio.create_task(follower.run())
    try:
        yield instance, follower
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for agent in agents:
            agent.stop()


def test_it_runs_what_is_published_and_says_so() -> None:
    async def test() -> None:
        agent = await Serving([Entry(1, ALL, {"settings": {"x": 1}})]).start()
        async with following(agent) as (instance, follower):
            await until(lambda: instance.overlay == {"settings": {"x": 1}})
            agent.publish({"settings": {"x": 2}})
            await until(lambda: len(agent.runs()) == 2)
            assert instance.overlay == {"settings": {"x": 2}}
            last = agent.runs()[-1]
            assert (last.position, last.running, last.status) == (2, 2, "applied")
            assert last.digest == overlay_digest({"settings": {"x": 2}})

    run(test)


def test_an_operations_overlay_lies_over_the_published_one_whichever_came_first() -> None:
    async def test() -> None:
        agent = await Serving([Entry(1, ALL, {"a": 1, "b": 1})]).start()
        async with following(agent) as (instance, _):
            await until(lambda: instance.overlay == {"a": 1, "b": 1})
            instance.layered.reconfigure(7, {"b": 2})
            assert (instance.generation, instance.overlay) == (7, {"a": 1, "b": 2})
            agent.publish({"a": 3, "b": 3, "c": 3})
            await until(lambda: instance.overlay == {"a": 3, "b": 2, "c": 3})
            assert instance.generation == 7
            instance.layered.reconfigure(8, {})
            assert instance.overlay == {"a": 3, "b": 3, "c": 3}

    run(test)


def test_what_an_instance_refuses_stops_there_and_is_told_and_the_next_is_taken_on() -> None:
    async def test() -> None:
        agent = await Serving([Entry(1, ALL, {"a": 1})]).start()
        async with following(agent) as (instance, _):
            await until(lambda: agent.runs())
            agent.publish({"refused": "no"})
            await until(lambda: len(agent.runs()) == 2)
            told = agent.runs()[-1]
            assert (told.position, told.running, told.status) == (2, 1, "refused") and "no" in told.detail
            assert told.digest == overlay_digest({"a": 1}) and instance.overlay == {"a": 1}
            agent.publish({"a": 2})
            await until(lambda: len(agent.runs()) == 3)
            assert agent.runs()[-1].running == 3 and instance.overlay == {"a": 2}

    run(test)


def test_a_lost_agents_place_is_taken_by_another_and_nothing_older_is_taken_from_it() -> None:
    async def test() -> None:
        newest = [Entry(1, ALL, {"a": 1}), Entry(2, ALL, {"a": 2})]
        near, far = await Serving(list(newest)).start(), await Serving(newest[:1]).start()
        async with following(near, far) as (instance, follower):
            await until(lambda: instance.overlay == {"a": 2})
            near.stop()
            await until(lambda: follower.own is not None and follower.own.place.port == far.port)
            assert instance.overlay == {"a": 2} and follower.state.view.position == 2
            far.log.append(newest[1])
            far.publish({"a": 3})
            await until(lambda: instance.overlay == {"a": 3})
            assert instance.effects.count("generation 0") == 2

    run(test)


@pytest.mark.parametrize("how", ["stopped", "cut off"])
def test_beside_an_agent_that_is_stopped_or_cut_off_from_the_record_it_finds_one_that_is_not(how: str) -> None:
    async def test() -> None:
        log = [Entry(1, ALL, {"a": 1})]
        near, far = await Serving(list(log)).start(), await Serving(list(log)).start()
        async with following(near, far) as (instance, follower):
            await until(lambda: follower.own is not None and follower.own.place.port == near.port)
            if how == "stopped":
                near.silent = True
            else:
                near.fresh = False
                near.tell()
            far.publish({"a": 2})
            start_s = asyncio.get_running_loop().time()
            await until(lambda: instance.overlay == {"a": 2})
            assert asyncio.get_running_loop().time() - start_s < agent_selection.DELIVERY_LIMIT_S
            assert follower.own is not None and follower.own.place.port == far.port

    run(test)


def test_with_all_cut_off_it_keeps_to_the_one_it_has_and_runs_on() -> None:
    async def test() -> None:
        log = [Entry(1, ALL, {"a": 1})]
        near, far = await Serving(list(log)).start(), await Serving(list(log)).start()
        far.fresh = False
        async with following(near, far) as (instance, follower):
            await until(lambda: follower.own is not None and follower.own.place.port == near.port)
            own, near.fresh = follower.own, False
            assert own is not None
            near.tell()
            await until(lambda: any(isinstance(m, FollowRequest) for m in far.got))  # it has looked
            assert follower.own is own and not own.ended.is_set() and instance.overlay == {"a": 1}
            near.publish({"a": 2})  # and takes what the cut-off one says
            await until(lambda: instance.overlay == {"a": 2})

    run(test)


def test_a_change_that_does_not_fit_what_is_held_is_read_again_whole() -> None:
    async def test() -> None:
        agent = await Serving([Entry(1, ALL, {"a": 1})]).start()
        async with following(agent) as (instance, _):
            await until(lambda: agent.runs())
            agent.lies = True
            agent.publish({"a": 2})
            await until(lambda: sum(isinstance(m, FollowRequest) for m in agent.got) > 1)
            assert instance.overlay == {"a": 1}
            agent.lies = False
            await until(lambda: instance.overlay == {"a": 2})
            asked = [m.position for m in agent.got if isinstance(m, FollowRequest)]
            assert asked[0] == 0 and 0 in asked[1:]

    run(test)


def test_an_agent_that_has_no_room_is_passed_over_and_another_log_is_not_followed(
        monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "LOG_GAP_S", 0.0)

    async def test() -> None:
        log = [Entry(1, ALL, {"a": 1})]
        busy, strange, far = [await Serving(list(log)).start() for _ in range(3)]
        busy.denies = Denied("BUSY", "too many at once", 200)
        async with following(busy, far) as (instance, follower):
            await until(lambda: instance.overlay == {"a": 1})
            assert follower.own is not None and follower.own.place.port == far.port
            strange.lineage = "M"
            strange.log = [Entry(n, ALL, {"a": 9}) for n in range(1, 6)]
            follower.order = (strange.place(),)
            lines: list[str] = []
            follower.log_line = lines.append
            far.stop()
            await until(lambda: any("lineage: expected L, got M" in line for line in lines))
            assert instance.overlay == {"a": 1}
        strange.stop()

    run(test)
