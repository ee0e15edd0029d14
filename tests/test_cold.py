"""Rule 4 as the sum of what all send: real balancers before cold upstreams, a few seeds of `bench/cold.py`'s many."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from ironscale.crowd import LEAST_TURN, SMALL, WARMING, turn_us
from tests.coldfleet import SIZES, drawn, play
from tests.world import settings


# 115: seven and more of 30 sidecars had a turn saved, and a wave brought all of them within a second
@pytest.mark.parametrize(("seed", "instances"), [
    *((seed, size) for seed in (4, 7) for size in SIZES), (105, 30), (115, 30), (123, 30)])
def test_no_cold_upstream_gets_more_from_all_sidecars_than_it_bears(seed: int, instances: int) -> None:
    verdict = play(drawn(seed, instances))
    assert verdict.cold and verdict.used > 0.0
    assert not verdict.falls and verdict.worst <= 1.0, verdict


@pytest.mark.parametrize("factor", [1.2, 2.0, 2.5, 3.0])
@pytest.mark.parametrize("instances", [1, 5, 19, 20, 21, 30, 200])
def test_the_turns_that_stand_and_those_that_come_are_borne(instances: int, factor: float) -> None:
    """All warmers may have saved a turn where that many are borne beside those that come in the window; else as many
    stand as make N with these, where the factor leaves any room beside the pace of a small upstream."""
    config = settings(instances=instances, overload_factor=factor)
    pace, warmers = 1.0 if instances >= 20 else max(1.0, factor / 2), min(WARMING, instances)
    for able in (0.3, 1.0, 2.0, 5.0, 15.0, 50.0):
        borne, paced = factor * able, SMALL * pace * able
        turn = turn_us(config, able, instances >= 20)
        if turn == 0:
            assert paced + warmers <= borne + 2 * math.sqrt(borne) + 2
        else:
            standing = paced * turn / config.fall_us
            assert standing + paced <= max(borne, (1 + LEAST_TURN) * paced) + 1e-3 * paced
            assert turn_us(replace(config, fall_us=2 * config.fall_us), able, instances >= 20) == pytest.approx(
                2 * turn, abs=2)
