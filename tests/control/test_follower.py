"""An instance that follows published versions over real sockets, with scripted agents."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

import pytest

from ironscale.control import follower as module
from ironscale.control.follower import Follower
from ironscale.control.messages import (
    Denied,
    FollowRequest,
)
from ironscale.control.simulated_instance import SimulatedInstance, create_simulated_follower
from ironscale.versions import agent_selection
from ironscale.versions.model import ALL, Entry, overlay_digest
from tests.control.scripted_agents import LABELS, ScriptedVersionAgent
from tests.sockets import run, until


@contextlib.asynccontextmanager
async def following(*agents: ScriptedVersionAgent,
                    zones: tuple[str, ...] = ()) -> AsyncIterator[tuple[SimulatedInstance, Follower]]:
    """Runs a follower of these agents; the first is in its own zone."""
    instance = SimulatedInstance("app-0")
    places = tuple(agent.place("a" if i == 0 else "") for i, agent in enumerate(agents))
    follower = create_simulated_follower(instance, LABELS, "token", places, rng=random.Random(1))
    task = asyncio.create_task(follower.run())
    try:
        yield instance, follower
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for agent in agents:
            agent.stop()


def test_it_runs_and_reports_published_versions() -> None:
    async def test() -> None:
        agent = await ScriptedVersionAgent([Entry(1, ALL, {"settings": {"x": 1}})]).start()
        async with following(agent) as (instance, follower):
            await until(lambda: instance.overlay == {"settings": {"x": 1}})
            agent.publish({"settings": {"x": 2}})
            await until(lambda: len(agent.running_reports()) == 2)
            assert instance.overlay == {"settings": {"x": 2}}
            last = agent.running_reports()[-1]
            assert (last.position, last.running, last.status) == (2, 2, "applied")
            assert last.digest == overlay_digest({"settings": {"x": 2}})

    run(test)


def test_an_operations_overlay_takes_precedence_over_the_published_one() -> None:
    async def test() -> None:
        agent = await ScriptedVersionAgent([Entry(1, ALL, {"a": 1, "b": 1})]).start()
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


def test_a_refused_version_is_reported_and_the_next_one_is_applied() -> None:
    async def test() -> None:
        agent = await ScriptedVersionAgent([Entry(1, ALL, {"a": 1})]).start()
        async with following(agent) as (instance, _):
            await until(lambda: agent.running_reports())
            agent.publish({"refused": "no"})
            await until(lambda: len(agent.running_reports()) == 2)
            told = agent.running_reports()[-1]
            assert (told.position, told.running, told.status) == (2, 1, "refused") and "no" in told.detail
            assert told.digest == overlay_digest({"a": 1}) and instance.overlay == {"a": 1}
            agent.publish({"a": 2})
            await until(lambda: len(agent.running_reports()) == 3)
            assert agent.running_reports()[-1].running == 3 and instance.overlay == {"a": 2}

    run(test)


def test_it_switches_from_a_lost_agent_and_never_goes_back_to_an_older_version() -> None:
    async def test() -> None:
        newest = [Entry(1, ALL, {"a": 1}), Entry(2, ALL, {"a": 2})]
        near, far = await ScriptedVersionAgent(list(newest)).start(), await ScriptedVersionAgent(newest[:1]).start()
        async with following(near, far) as (instance, follower):
            await until(lambda: instance.overlay == {"a": 2})
            near.stop()
            await until(lambda: follower.current is not None and follower.current.agent.port == far.port)
            assert instance.overlay == {"a": 2} and follower.state.view.position == 2
            far.log.append(newest[1])
            far.publish({"a": 3})
            await until(lambda: instance.overlay == {"a": 3})
            assert instance.effects.count("generation 0") == 2

    run(test)


@pytest.mark.parametrize("how", ["stopped", "cut off"])
def test_it_leaves_an_agent_that_is_suspended_or_cut_off_from_its_database(how: str) -> None:
    async def test() -> None:
        log = [Entry(1, ALL, {"a": 1})]
        near, far = await ScriptedVersionAgent(list(log)).start(), await ScriptedVersionAgent(list(log)).start()
        async with following(near, far) as (instance, follower):
            await until(lambda: follower.current is not None and follower.current.agent.port == near.port)
            if how == "stopped":
                near.silent = True
            else:
                near.fresh = False
                near.send_updates()
            far.publish({"a": 2})
            start_s = asyncio.get_running_loop().time()
            await until(lambda: instance.overlay == {"a": 2})
            assert asyncio.get_running_loop().time() - start_s < agent_selection.DELIVERY_LIMIT_S
            assert follower.current is not None and follower.current.agent.port == far.port

    run(test)


def test_it_keeps_its_agent_when_all_agents_are_cut_off() -> None:
    async def test() -> None:
        log = [Entry(1, ALL, {"a": 1})]
        near, far = await ScriptedVersionAgent(list(log)).start(), await ScriptedVersionAgent(list(log)).start()
        far.fresh = False
        async with following(near, far) as (instance, follower):
            await until(lambda: follower.current is not None and follower.current.agent.port == near.port)
            own, near.fresh = follower.current, False
            assert own is not None
            near.send_updates()
            await until(lambda: any(isinstance(m, FollowRequest) for m in far.received))  # it has tried the other agent
            assert follower.current is own and not own.ended.is_set() and instance.overlay == {"a": 1}
            near.publish({"a": 2})  # and still applies the updates of its agent
            await until(lambda: instance.overlay == {"a": 2})

    run(test)


def test_a_change_with_a_wrong_digest_is_replaced_by_a_snapshot() -> None:
    async def test() -> None:
        agent = await ScriptedVersionAgent([Entry(1, ALL, {"a": 1})]).start()
        async with following(agent) as (instance, _):
            await until(lambda: agent.running_reports())
            agent.sends_wrong_digest = True
            agent.publish({"a": 2})
            await until(lambda: sum(isinstance(m, FollowRequest) for m in agent.received) > 1)
            assert instance.overlay == {"a": 1}
            agent.sends_wrong_digest = False
            await until(lambda: instance.overlay == {"a": 2})
            asked = [m.position for m in agent.received if isinstance(m, FollowRequest)]
            assert asked[0] == 0 and 0 in asked[1:]

    run(test)


def test_a_busy_agent_is_skipped_and_a_different_log_is_not_followed(
        monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MIN_LOG_INTERVAL_S", 0.0)

    async def test() -> None:
        log = [Entry(1, ALL, {"a": 1})]
        busy, strange, far = [await ScriptedVersionAgent(list(log)).start() for _ in range(3)]
        busy.denial = Denied("BUSY", "too many at once", 200)
        async with following(busy, far) as (instance, follower):
            await until(lambda: instance.overlay == {"a": 1})
            assert follower.current is not None and follower.current.agent.port == far.port
            strange.lineage = "M"
            strange.log = [Entry(n, ALL, {"a": 9}) for n in range(1, 6)]
            follower.agents_by_preference = (strange.place(),)
            lines: list[str] = []
            follower.write_log_line = lines.append
            far.stop()
            await until(lambda: any("lineage: expected L, got M" in line for line in lines))
            assert instance.overlay == {"a": 1}
        strange.stop()

    run(test)
