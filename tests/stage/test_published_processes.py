"""Published versions with real agents, sidecars and hollow followers, and what befalls them; one checker for all."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from ironscale.stage.history import of
from ironscale.stage.published_checkers import account, check
from ironscale.stage.published_processes import PublishedStage, Size, played
from ironscale.stage.run import StageError


def plays(size: Size, work: Callable[[PublishedStage], Awaitable[None]], tmp_path: Path) -> None:
    history = asyncio.run(asyncio.wait_for(played(size, work, tmp_path), 150))
    wrong = check(history.entries)
    assert not wrong, (wrong[:5], account(history.entries))
    assert of(history.entries, "commit")


def x(number: int) -> dict[str, object]:
    """A patch that real sidecars take on."""
    return {"settings": {"bounds": {"max-retry-after": 900_000 + number}}}


def test_the_leader_killed_at_its_commit_an_agent_stopped_and_the_record_away(tmp_path: Path) -> None:
    async def work(stage: PublishedStage) -> None:
        await stage.held(await stage.publish(x(1)))
        # killed between commit and telling, or just after: which one is the schedule's luck, none may be lost
        before = stage.seen
        change = asyncio.create_task(stage.publish(x(2)))
        await stage.until(lambda: stage.seen > before, "no commit")
        await stage.kill_agent(0, disk=True)
        await change
        await stage.held(before + 1)
        await stage.start_agent(0)
        # half-open: connected, and silent
        stage.stop_agent(1, True)
        await stage.held(await stage.publish(x(3)))
        stage.stop_agent(1, False)
        # the record is away in the middle of a change: nobody goes on or back, and then it is made
        stage.cut_record(range(3), True)
        held = stage.seen
        change = asyncio.create_task(stage.publish(x(4), "region=south"))
        await asyncio.sleep(2.5)  # longer than two terms
        assert stage.seen == held and all(one.follower.state.view.position == held for one in stage.hollow)
        stage.cut_record(range(3), False)
        await stage.held(await change)
        # two operators upon one base
        both = await asyncio.gather(*(stage.call(
            "mutation($i: PublishInput!) { publish(input: $i) { number } }",
            {"scope": "all", "overlay": x(n), "base": stage.newest["all"]}) for n in (5, 6)), return_exceptions=True)
        assert sum(isinstance(one, StageError) for one in both) == 1, both
        await stage.held(held + 2)

    plays(Size(hollow=60), work, tmp_path)


def test_a_region_cut_off_goes_on_with_what_it_has_and_has_the_rest_after(tmp_path: Path) -> None:
    async def work(stage: PublishedStage) -> None:
        south = [one for one in stage.hollow if one.region == "south"]
        north = [one for one in stage.hollow if one.region == "north"]
        old = await stage.publish(x(1))
        await stage.held(old)
        stage.cut_region(True)
        for one in (*south[:10], *north[:10]):  # both sides start instances
            await one.kill()
            one.start()
        bad = await stage.publish({"refused": "a bad one"})  # the side that has the record may change
        await stage.held(bad, among=north)
        assert all(one.follower.state.running <= old for one in north)
        await stage.held(await stage.restore(old), among=north)
        await stage.held(old, among=south)
        assert all(one.follower.state.view.position == old for one in south)
        await stage.kill_agent(1)  # the cut region's only agent comes back with what its disk has
        await stage.start_agent(1)
        await stage.held(old, among=south)
        stage.cut_region(False)
        await stage.held(stage.seen, 15.0)
        assert all(one.follower.state.status == "applied" for one in stage.hollow)

    plays(Size(hollow=60), work, tmp_path)


@pytest.mark.parametrize("hollow", [200])
def test_two_hundred_restart_at_once_at_three_agents_one_of_which_dies_then(hollow: int, tmp_path: Path) -> None:
    async def work(stage: PublishedStage) -> None:
        await stage.held(await stage.publish(x(1)))
        await asyncio.gather(*(one.kill() for one in stage.hollow))
        for one in stage.hollow:
            one.start()
        await asyncio.sleep(0.05)
        await stage.kill_agent(2)
        burst = [asyncio.create_task(stage.publish(x(n), f"zone=north-{n % 3}")) for n in range(3)]
        burst += [asyncio.create_task(stage.publish(x(n), f"instance=app-{n}")) for n in range(20)]
        await stage.held(max(await asyncio.gather(*burst)))
        await stage.start_agent(2)

    plays(Size(hollow=hollow, sidecars=0), work, tmp_path)
