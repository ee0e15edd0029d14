"""The upstream list: calls for it and their failures, deltas, full lists, restarts of upstreams."""

from __future__ import annotations

from ironscale.interface import (
    ListKind,
    Outcome,
    SetTimer,
    Subscribe,
    Upstream,
    UpstreamState,
    UpstreamsUpdated,
)
from tests.balancer_harness import START_US, World, settings, upstreams


def world_that_asks_for_lists() -> World:
    world = World(settings(list_on_request=True, ask_within_us=10_000_000))
    world.deliver_list(upstreams(4), ListKind.CACHED)
    return world


def list_calls(world: World) -> list[int]:
    """The indexes, in the world's action log, of the balancer's calls for the list."""
    return [i for i, action in enumerate(world.log) if isinstance(action, Subscribe)]


def test_a_list_that_must_be_asked_for_is_subscribed_to() -> None:
    world = world_that_asks_for_lists()
    world.advance(2_000_000)
    assert len(list_calls(world)) >= 1


def test_a_pushed_list_is_never_asked_for() -> None:
    world = World()
    world.deliver_list(upstreams(4), ListKind.CACHED)
    world.advance(60_000_000)
    assert not list_calls(world)


def test_a_failed_list_call_is_repeated_with_backoff_within_the_allowed_time() -> None:
    world = world_that_asks_for_lists()
    world.advance(2_000_000)
    waits = []
    for _ in range(12):
        before = len(list_calls(world))
        world.deliver(UpstreamsUpdated(ListKind.FAILED))
        start_us = world.now_us
        while len(list_calls(world)) == before:
            world.advance(10_000)
            assert world.now_us - start_us < 10_000_000
        waits.append(world.now_us - start_us)
    assert waits[0] < 500_000 and waits[-1] > 1_000_000


def test_a_second_failure_before_the_retry_does_not_double_the_calls() -> None:
    world = world_that_asks_for_lists()
    world.advance(2_000_000)
    before = len(list_calls(world))
    world.deliver(UpstreamsUpdated(ListKind.FAILED))
    world.deliver(UpstreamsUpdated(ListKind.FAILED))
    world.advance(4_000_000)
    world.deliver_list(upstreams(4), ListKind.DELTA)
    assert len(list_calls(world)) == before + 1


def test_an_unanswered_list_call_is_repeated_within_the_allowed_time() -> None:
    world = world_that_asks_for_lists()
    world.advance(10_000_000)
    assert len(list_calls(world)) >= 2


def test_a_delta_changes_only_what_it_names() -> None:
    world = World()
    world.deliver_list(upstreams(2))
    world.deliver_list([Upstream(100, UpstreamState.DRAINING)], ListKind.DELTA)
    for _ in range(10):
        world.end_attempt(world.new_request(0), 0, Outcome.OK)
    assert {s.upstream for s in world.sends()} == {101}


def test_an_upstream_missing_from_a_full_list_is_gone_and_may_come_back() -> None:
    world = World()
    world.deliver_list(upstreams(2))
    world.deliver_list(upstreams(1))
    for _ in range(10):
        world.end_attempt(world.new_request(0), 0, Outcome.OK)
    assert {s.upstream for s in world.sends()} == {100}
    world.deliver_list(upstreams(2))
    for _ in range(30):
        world.end_attempt(world.new_request(0), 0, Outcome.OK)
    assert {s.upstream for s in world.sends()} == {100, 101}


def test_a_restart_under_the_same_id_is_cold_again() -> None:
    world = World()
    world.deliver_list(upstreams(3))
    world.deliver_list([Upstream(100, started_us=START_US)], ListKind.DELTA)
    for _ in range(60):
        request = world.new_request(0)
        world.advance(5_000)
        world.end_attempt(request, 0, Outcome.OK)
    assert sum(1 for s in world.sends() if s.upstream == 100) <= 6


def test_an_empty_list_and_an_empty_delta_are_accepted() -> None:
    world = World()
    world.deliver_list(upstreams(2))
    world.deliver_list([], ListKind.DELTA)
    assert world.sends(world.new_request(0))
    world.deliver_list([])
    request = world.new_request(0)
    world.advance(2_000_000)
    assert world.answer(request) is not None
    assert all(t.at_us > START_US for t in world.log if isinstance(t, SetTimer))
