"""Rule 4 for a whole fleet: all sidecars together must not overload a cold upstream. A few seeds of bench/cold.py."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from ironscale.fleet_estimates import MIN_TURN_SHARE, SMALL_UPSTREAM_PACE, WARMING_SIDECARS, turn_lifetime_us
from ironscale.interface import Tenant, Upstream
from tests.balancer_harness import START_US, World, settings
from tests.cold_fleet import FLEET_SIZES, SECOND_US, random_case, simulate


# seed 115: seven or more of 30 sidecars held an unused turn, and a burst of traffic used all of them within a second
@pytest.mark.parametrize(("seed", "instances"), [
    *((7, size) for size in FLEET_SIZES), (115, 30), (123, 30)])
def test_all_sidecars_together_do_not_overload_a_cold_upstream(seed: int, instances: int) -> None:
    verdict = simulate(random_case(seed, instances))
    assert verdict.cold_starts and verdict.used > 0.0
    assert not verdict.overloads and verdict.worst <= 1.0, verdict


@pytest.mark.parametrize("factor", [1.2, 2.0, 2.5, 3.0])
@pytest.mark.parametrize("instances", [1, 5, 19, 20, 21, 30, 200])
def test_held_and_due_turns_together_are_tolerated(instances: int, factor: float) -> None:
    """All warming sidecars may hold an unused turn if the upstream tolerates these in addition to the turns that become
    due in the window. Otherwise held and due turns sum to N, as far as the factor exceeds a small upstream's pace."""
    config = settings(instances=instances, overload_factor=factor)
    pace, senders = 1.0 if instances >= 20 else max(1.0, factor / 2), min(WARMING_SIDECARS, instances)
    for capacity in (0.3, 1.0, 2.0, 5.0, 15.0, 50.0):
        allowed, due = factor * capacity, SMALL_UPSTREAM_PACE * pace * capacity
        lifetime_us = turn_lifetime_us(config, capacity, instances >= 20)
        if lifetime_us == 0:
            assert due + senders <= allowed + 2 * math.sqrt(allowed) + 2
        else:
            held = due * lifetime_us / config.fall_us
            assert held + due <= max(allowed, (1 + MIN_TURN_SHARE) * due) + 1e-3 * due
            assert turn_lifetime_us(
                replace(config, fall_us=2 * config.fall_us), capacity, instances >= 20) == pytest.approx(
                2 * lifetime_us, abs=2)


@pytest.mark.parametrize("instances", [19, 20, 21, 30, 200])
def test_a_burst_after_an_idle_time_does_not_use_turns_held_by_all_sidecars(instances: int) -> None:
    """Ten idle seconds, then ten requests at each sidecar within half a second, while all other upstreams answer
    slowly. One of 12 upstreams, of 5 requests/s each, started 10 s ago: N is 6.6 at a warmth of 0.53."""
    config = settings(instances=instances, tenants=[Tenant("north", 60.0, 1.0)], warm_up_us=24 * SECOND_US)
    sent = 0
    for number in range(instances):
        world = World(replace(config, self_index=number), seed=number)
        world.deliver_list([Upstream(100 + i) for i in range(11)] + [Upstream(900, started_us=START_US)])
        world.balancer.slowness.exceeds = lambda limit: True  # type: ignore[method-assign]
        world.advance(10 * SECOND_US)
        for _ in range(10):
            world.new_request(0)
            world.advance(50_000)
        sent += sum(send.upstream == 900 for send in world.sends())
    allowed = config.overload_factor * (0.2 + 0.8 * 10 / 24) * 5.0
    assert 0 < sent <= allowed + 2 * math.sqrt(allowed) + 2, (sent, allowed)
