"""Unusual but legal events do no harm; invalid settings raise an error that names what was expected."""

from __future__ import annotations

import pytest

from ironscale.balance import Balancer
from ironscale.interface import (
    AttemptEnded,
    Fail,
    Outcome,
    PeerMessage,
    ProbeEnded,
    RequestAbandoned,
    RequestArrived,
    RequestClass,
    StreamStarted,
    Tenant,
    TimerFired,
    UpstreamsUpdated,
)
from ironscale.interface import ListKind as Kind
from tests.balancer_harness import START_US, World, settings, upstreams


def test_events_about_unknown_requests_and_upstreams_change_nothing() -> None:
    world = World()
    world.deliver_list(upstreams(3))
    for event in (AttemptEnded(77, 0, 100, Outcome.OK, 5, True), RequestAbandoned(77), TimerFired(123456),
                  StreamStarted(77, 0, 100, 5), ProbeEnded(4242, Outcome.OK, 5, [1.0, 2.0]),
                  PeerMessage(1, b"hi"), UpstreamsUpdated(Kind.FAILED)):
        assert world.deliver(event) == []
    assert world.sends(world.new_request(0))


def test_outcomes_and_client_departures_after_the_answer_are_ignored() -> None:
    world = World()
    world.deliver_list(upstreams(3))
    request = world.new_request(0)
    world.client_quits(request)
    assert world.end_attempt(request, 0, Outcome.ERROR) == []
    assert world.deliver(AttemptEnded(request, 0, 100, Outcome.OK, 5, True)) == []
    assert world.deliver(RequestAbandoned(request)) == []
    served = world.new_request(0)
    world.end_attempt(served, 0, Outcome.OK)
    assert world.deliver(RequestAbandoned(served)) == []


def test_an_outcome_of_an_attempt_never_sent_is_ignored() -> None:
    world = World()
    world.deliver_list(upstreams(3))
    request = world.new_request(0)
    assert world.deliver(AttemptEnded(request, 9, 100, Outcome.OK, 5, False)) == []


def test_a_broken_stream_is_not_retried() -> None:
    world = World(settings(classes=[RequestClass("feed", 100_000, 500_000, stream=True)]))
    world.deliver_list(upstreams(3))
    request = world.new_request(0)
    world.begin_stream(request, 0)
    world.advance(3_000_000)
    world.end_attempt(request, 0, Outcome.RESET)
    assert len(world.sends(request)) == 1 and not isinstance(world.answer(request), Fail)


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    first, second, other = (Balancer(settings(), seed, START_US) for seed in (5, 5, 6))
    told = []
    for balancer in (first, second, other):
        actions = balancer.handle(START_US, UpstreamsUpdated(Kind.FULL, upstreams(9)))
        for n in range(20):
            actions += balancer.handle(START_US, RequestArrived(n, START_US + 900_000))
        told.append(actions)
    assert told[0] == told[1] != told[2]


@pytest.mark.parametrize(("make", "words"), [
    (lambda: RequestClass("x", 0, 10), "aim_us above 0"),
    (lambda: RequestClass("x", 10, -1), "deadline_us above 0"),
    (lambda: RequestClass("x", 10, 10, effect="maybe"), "idempotent, deduplicated, at_most_once"),
    (lambda: RequestClass("x", 10, 10, group="planet"), "all, zone, cell"),
    (lambda: RequestClass("x", 10, 10, late_worth=2), "late_worth from 0 to 1"),
    (lambda: Tenant("t", -1), "allowance_per_s of 0 or more"),
    (lambda: settings(max_attempts=-1), "max_attempts of 1 or more"),
    (lambda: settings(instances=0), "instances of 1 or more"),
    (lambda: settings(cold_share=0), "cold_share above 0"),
    (lambda: settings(warm_up_us=-5), "warm_up_us of 0 or more"),
    (lambda: settings(classes=[]), "at least one request class"),
])
def test_invalid_settings_say_what_was_expected(make: object, words: str) -> None:
    with pytest.raises(ValueError, match="expected") as caught:
        make()  # type: ignore[operator]
    assert words in str(caught.value)


def test_unusual_requests_and_lists_raise_no_exception() -> None:
    world = World(settings(tenants=[Tenant("t", 5.0)], over_share_worth=0.2))
    twice = upstreams(2) + upstreams(2, weight=0.0)
    world.deliver_list(twice)
    assert len(world.balancer.upstreams) == 2
    assert world.sends(world.new_request(0, tenant=99))
    late = world.new_request(0, patience_us=-5_000)
    assert not world.sends(late) and world.answer(late) is not None
    world.deliver_list([])
    stranded = world.new_request(1)
    world.advance(2_000_000)
    assert not world.sends(stranded) and world.answer(stranded) is not None
