"""Canary analysis: measured answers of changed and unchanged instances decide whether the next wave starts."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from pathlib import Path

import pytest

from ironscale.agent.model import Phase, Policy, State
from ironscale.agent.planner import _wave_positions
from ironscale.control.messages import ClassCounts
from ironscale.control.simulated_instance import SimulatedInstance
from tests.agent.agent_harness import AgentScene, run, scene, until

GATED = Policy(wave=2, canary=1, gate=True, on_failure="rollback", soak_most_ms=20_000)


async def generate_answers(found: AgentScene, failing: Callable[[SimulatedInstance], float], rate: int = 200) -> None:
    """Adds `rate` answers to the counters of each instance every 20 ms; `failing` gives the share of failures."""
    rng = random.Random(1)
    while True:
        for instance in found.instances.values():
            failed = sum(rng.random() < failing(instance) for _ in range(rate))
            old = instance.class_counts
            instance.class_counts = ClassCounts("view", old.served + rate - failed, 0, old.failed + failed)
        await asyncio.sleep(0.02)


def effects(found: AgentScene) -> int:
    return sum(bool(instance.effects) for instance in found.instances.values())


def test_failing_release_stops_at_the_canary_and_rolls_back(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as found:
            await found.start_many(6)
            load = asyncio.create_task(generate_answers(found, lambda i: 0.2 if i.generation else 0.01))
            op = await found.begin(policy=GATED)
            ended, targets = await found.end(op)
            load.cancel()
            assert ended.phase is Phase.ROLLED_BACK and ended.note.startswith("class view: "), ended
            assert [t.state for t in targets].count(State.REVERTED) == 1 and effects(found) == 1

    run(test)


def test_release_proceeds_if_unchanged_instances_fail_as_much(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as found:
            await found.start_many(6)
            load = asyncio.create_task(generate_answers(found, lambda i: 0.1))
            ended, _ = await found.end(await found.begin(policy=GATED))
            load.cancel()
            assert ended.phase is Phase.SUCCEEDED and effects(found) == 6

    run(test)


def test_without_traffic_the_gate_waits_then_applies_unsure(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as found:
            await found.start_many(3)
            op = await found.begin(policy=Policy(wave=1, gate=True, on_failure="pause", soak_most_ms=600))
            await until(lambda: found.engine.live_operations[op].waits_for.startswith(
                "not enough seen of class view (0 answers"))
            await until(lambda: found.engine.live_operations[op].op.phase is Phase.PAUSED)
            assert found.engine.live_operations[op].op.note.startswith("not enough seen") and effects(found) == 1
            await found.engine.control("ann", op, "abort")
            await found.end(op)
            again = await found.begin(policy=Policy(wave=1, gate=True, soak_most_ms=600, unsure="go"), expect=1,
                                      overlay={"settings": {"instances": 3}})
            assert (await found.end(again))[0].phase is Phase.SUCCEEDED

    run(test)


@pytest.mark.parametrize(("wave", "canary", "count", "sizes"), [
    (0, 0, 5, [5]), (2, 0, 5, [2, 2, 1]), (2, 1, 5, [1, 2, 2]), (0, 1, 5, [1, 4]), (10, 3, 2, [2]), (1, 7, 5, [5])])
def test_canary_wave_comes_first_and_waves_cover_all_targets(wave: int, canary: int, count: int,
                                                             sizes: list[int]) -> None:
    found = _wave_positions(Policy(wave=wave, canary=canary), count)
    assert [len(part) for part in found] == sizes
    assert [place for part in found for place in part] == list(range(count))
