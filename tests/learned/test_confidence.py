"""How the decisions use recalled and taught lessons; without I/O."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironscale import confidence
from ironscale.balance import Balancer
from ironscale.interface import (
    LearnedClass,
    LearnedState,
    LearnedUpstream,
    ListKind,
    Outcome,
    Send,
    Tenant,
    UpstreamsUpdated,
)
from ironscale.introspection import learned_state, upstream_views
from tests.balancer_harness import START_US, World, settings, upstreams

S = 1_000_000


def lesson_of(ident: int, slots: float, age_us: int = S, **changes: object) -> LearnedUpstream:
    values: dict[str, object] = {"id": ident, "started_us": 0, "confirmed_us": START_US - age_us, "slots": slots,
                                 **changes}
    return LearnedUpstream(**values)  # type: ignore[arg-type]


def lessons(*found: LearnedUpstream, **changes: object) -> LearnedState:
    values: dict[str, object] = {"as_of_us": START_US, "zone": 0, "slots": 0.0, "confirmed_us": START_US - S,
                                 "upstreams": found, **changes}
    return LearnedState(**values)  # type: ignore[arg-type]


def taught_world(*found: LearnedUpstream, count: int = 6, listed: bool = True, **changes: object) -> World:
    world = World(settings(hedging=False))
    world.balancer.recall(START_US, lessons(*found, **changes))
    world.deliver_list(upstreams(count), ListKind.FULL if listed else ListKind.CACHED)
    return world


def slots(world: World) -> dict[int, float]:
    return {view.id: view.slots for view in upstream_views(world.balancer)}


def answer(world: World, request: int, outcome: Outcome = Outcome.OK, after_us: int = 20_000) -> int:
    """Ends the last attempt of the request and returns its upstream."""
    world.advance(after_us)
    upstream = world.sends(request)[-1].upstream
    world.end_attempt(request, len(world.requests[request].attempts) - 1, outcome)
    return upstream


def send_to(world: World, ident: int) -> int:
    """Sends requests until one goes to `ident`, which is returned; the others are answered at once."""
    for _ in range(200):
        request = world.new_request()
        sent = world.sends(request)
        if sent and sent[-1].upstream == ident:
            return request
        if sent:
            answer(world, request)
    raise AssertionError(f"nothing was sent to {ident}")


# Decay


def test_slots_of_a_lesson_decay_towards_1() -> None:
    now_us = START_US
    for kind, halves_us in ((8.0, confidence.OPEN_HALF_LIFE_US), (1 / 8, confidence.CLOSED_HALF_LIFE_US)):
        found = [confidence.decayed_lesson(lesson_of(1, kind, age_us), now_us)
                 for age_us in (0, halves_us, 4 * halves_us, 9 * halves_us)]
        values = [one.slots for one in found if one is not None]
        assert values[0] == kind and values[1] == pytest.approx(kind ** 0.5) and values[3] == 1.0
        assert sorted(values, reverse=kind > 1) == values
    assert confidence.CLOSED_HALF_LIFE_US < confidence.OPEN_HALF_LIFE_US  # a stale closed window does more harm


def test_silence_does_not_decay_until_its_lifetime_ends() -> None:
    found = confidence.decayed_lesson(lesson_of(1, 1 / 64, 5 * 60 * S, timeout_doublings=5), START_US)
    assert found is not None and found.slots == 1 / 64 and found.timeout_doublings == 5
    late = confidence.decayed_lesson(lesson_of(1, 1 / 64, 11 * 60 * S, timeout_doublings=5), START_US)
    assert late is not None and late.slots == 1.0 and late.timeout_doublings == 1


def test_a_silent_upstream_counts_as_closed_though_its_window_is_open() -> None:
    """Each attempt occupies its slot so long that few attempts are made, which hardly close the window."""
    world = taught_world(lesson_of(100, 1.4, timeout_doublings=2), lesson_of(101, 1.4))
    assert slots(world)[100] == confidence.MIN_SLOTS and slots(world)[101] == 1.0
    assert confidence.is_closed(lesson_of(100, 1.4, timeout_doublings=2)) and not confidence.is_closed(
        lesson_of(100, 1.4)
    )
    answer(world, send_to(world, 100))
    assert slots(world)[100] >= 1.0


@pytest.mark.parametrize("age_us", [7 * 86_400 * S, -1, 3_600 * S + 1])
def test_a_lesson_that_is_too_old_or_from_the_future_has_no_effect(age_us: int) -> None:
    assert confidence.decayed_lesson(lesson_of(1, 8.0, age_us, timeout_doublings=9, min_latency_us=5), START_US) is None
    assert confidence.decay(age_us, confidence.OPEN_HALF_LIFE_US) == 0.0
    cold, world = World(settings(hedging=False)), taught_world(
        *(lesson_of(100 + i, 9.0 if i % 2 else 0.1, age_us) for i in range(6)), slots=1.0,
        confirmed_us=START_US - age_us, classes=(LearnedClass("read", START_US - age_us, 1.0, 1.0),))
    cold.deliver_list(upstreams(6))
    assert slots(world) == slots(cold) and world.balancer.window.slots == cold.balancer.window.slots
    assert [x.mean_us for x in world.balancer.latency] == [x.mean_us for x in cold.balancer.latency]


# Lessons about one upstream


def test_a_lesson_of_an_open_window_applies_after_one_answer_and_not_before() -> None:
    world = taught_world(lesson_of(100, 6.0))
    assert slots(world)[100] == 1.0
    answer(world, send_to(world, 100))
    assert 4.0 < slots(world)[100] <= 6.5


def test_a_lesson_of_an_open_window_is_dropped_if_the_upstream_does_not_answer() -> None:
    world = taught_world(lesson_of(100, 50.0))
    answer(world, send_to(world, 100), Outcome.CONNECT_FAILED)
    assert slots(world)[100] <= 1.0


def test_a_lesson_of_a_closed_window_is_dropped_after_one_answer() -> None:
    world = taught_world(lesson_of(100, 1 / 64, timeout_doublings=6, failing=True))
    assert (
        slots(world)[100] == confidence.MIN_SLOTS
        and world.balancer.upstreams[100].patience_doublings == confidence.MAX_MUTE
    )
    answer(world, send_to(world, 100))
    assert slots(world)[100] >= 1.0
    server = world.balancer.upstreams[100]
    assert server.patience_doublings == 1 and not server.failing and server.lesson is None


def test_a_closed_upstream_is_chosen_rarely_but_rather_than_refusing_a_request() -> None:
    first = 0
    for seed in range(300):
        world = World(settings(hedging=False, instances=1), seed)
        world.balancer.recall(START_US, lessons(lesson_of(100, 1 / 64, timeout_doublings=4), lesson_of(101, 1.0)))
        world.deliver_list(upstreams(2))
        sent = [world.sends(world.new_request())[-1].upstream for _ in range(2)]
        assert sorted(sent) == [100, 101]  # the second is not refused: the closed upstream still has a slot
        first += sent[0] == 100
    assert first < 300 / 4  # by weight it would be one in nine


def test_a_failed_attempt_leaves_it_closed() -> None:
    world = taught_world(lesson_of(100, 1 / 64, timeout_doublings=4))
    answer(world, send_to(world, 100), Outcome.RESET)
    assert slots(world)[100] < confidence.MIN_SLOTS


def test_lessons_do_not_apply_to_a_restarted_upstream() -> None:
    world = taught_world(lesson_of(100, 1 / 64, started_us=5), lesson_of(101, 9.0, started_us=5))
    assert slots(world)[100] == slots(world)[101] == 1.0
    assert world.balancer.upstreams[100].lesson is None


def test_lessons_of_unlisted_upstreams_are_dropped() -> None:
    world = taught_world(lesson_of(999, 9.0))
    world.deliver_list([*upstreams(6), replace(upstreams(1)[0], id=999)])
    assert world.balancer.upstreams[999].lesson is None and world.balancer.lessons == []


def test_lessons_of_upstreams_missing_in_a_cached_list_are_kept() -> None:
    world = taught_world(lesson_of(100, 9.0), lesson_of(106, 9.0), count=6, listed=False)
    world.deliver_list(upstreams(7))
    assert world.balancer.upstreams[106].lesson is not None


def test_own_observations_take_precedence_over_lessons() -> None:
    world = World(settings(hedging=False))
    world.deliver_list(upstreams(6))
    seen = answer(world, world.new_request())
    before = slots(world)[seen]
    fresh = lessons(
        *(lesson_of(100 + i, 1 / 64, -10 * S, timeout_doublings=3) for i in range(2)), lesson_of(seen, 1 / 64, -10 * S)
    )
    world.advance(20 * S)
    world.balancer.recall(world.now_us, replace(fresh, confirmed_us=world.now_us))
    assert slots(world)[seen] == before and world.balancer.upstreams[seen].lesson is None


def test_the_more_recent_of_two_lessons_counts_whatever_their_order() -> None:
    for order in (0, 1):
        world = World(settings())
        both = [lessons(lesson_of(100, 5.0, 30 * S), confirmed_us=START_US - 30 * S), lessons(lesson_of(100, 0.25, S))]
        for one in both[::-1] if order else both:
            world.balancer.recall(START_US, one)
        world.deliver_list(upstreams(6))
        assert slots(world)[100] == pytest.approx(0.25 ** 0.5 ** 0.1)


# Lessons about all upstreams


def test_lessons_that_close_more_than_half_of_the_upstreams_are_ignored() -> None:
    world = taught_world(*(lesson_of(100 + i, 1 / 64, timeout_doublings=5) for i in range(4)), lesson_of(104, 7.0))
    assert all(value == 1.0 for value in slots(world).values())
    assert world.balancer.upstreams[104].lesson is not None
    half = taught_world(*(lesson_of(100 + i, 1 / 64, timeout_doublings=5) for i in range(3)))
    assert sum(value < 1.0 for value in slots(half).values()) == 3


def test_two_donors_do_not_close_more_than_half_together() -> None:
    world = World(settings())
    world.deliver_list(upstreams(6))
    world.balancer.recall(START_US, lessons(*(lesson_of(100 + i, 1 / 64, timeout_doublings=5) for i in range(3))))
    world.balancer.recall(START_US, lessons(*(lesson_of(103 + i, 1 / 64, timeout_doublings=5) for i in range(3))))
    assert sum(value < 1.0 for value in slots(world).values()) == 3


def test_the_recalled_window_of_the_sidecar_is_limited_to_one_to_two_times_the_default() -> None:
    usual = taught_world().balancer.window.slots
    assert taught_world(slots=1e6).balancer.window.slots == pytest.approx(2 * usual, rel=0.05)
    assert taught_world(slots=1e-6).balancer.window.slots == pytest.approx(usual, rel=0.05)


def test_false_answer_times_do_not_overload_a_cold_upstream() -> None:
    """Cold upstreams are paced by the usual answer time: if a lesson of 1 us were believed, they would get all requests
    at once."""
    gaps = []
    for lie in (False, True):
        world = World(settings(hedging=False), 3)
        if lie:
            world.balancer.recall(START_US, lessons(
                lesson_of(100, 1e6, started_us=START_US - S),
                classes=tuple(LearnedClass(c.name, START_US, 1.0, 1.0) for c in world.settings.classes)))
        world.deliver_list(upstreams(1, started_us=START_US - S))
        for _ in range(3_000):  # 3 s
            world.new_request()
            world.advance(1_000)
            for ident, owed in world.requests.items():
                for number in owed.outstanding():
                    if world.now_us - owed.attempts[number].sent_us >= 20_000:
                        world.end_attempt(ident, number, Outcome.OK)
        sent = sorted(one.sent_us for owed in world.requests.values() for one in owed.attempts)[:3]
        assert len(sent) == 3
        gaps.append([later - at for at, later in zip(sent, sent[1:], strict=False)])
    assert all(lied >= honest - 1_000 for honest, lied in zip(*gaps, strict=True)), gaps


def test_excessive_answer_times_have_no_effect_beyond_the_defaults() -> None:
    cold = taught_world().balancer.latency[0]
    lied = taught_world(classes=(LearnedClass("read", START_US, 1e12, 1e12),)).balancer.latency[0]
    assert lied.mean_us <= cold.mean_us and lied.conservative_us() == cold.conservative_us()


def test_three_answers_outweigh_false_answer_times() -> None:
    world = taught_world(classes=(LearnedClass("read", START_US, 1.0, 1.0),))
    assert world.balancer.latency[0].mean_us < 2.0
    for _ in range(3):
        answer(world, world.new_request(), after_us=80_000)
    assert world.balancer.latency[0].mean_us > 50_000 and world.balancer.latency[0].base_us > 25_000


def test_a_false_minimum_latency_is_limited_to_a_quarter_of_the_measured_one() -> None:
    world = taught_world(lesson_of(100, 1.0, min_latency_us=1))
    answer(world, send_to(world, 100), after_us=80_000)
    assert world.balancer.upstreams[100].min_latency_us >= 20_000


def test_pacing_of_a_cold_upstream_survives_a_restart() -> None:
    entry = upstreams(1, started_us=START_US - S)
    world = World(settings(hedging=False, instances=3), 3)
    world.balancer.recall(START_US, lessons(
        lesson_of(100, 1.0, started_us=START_US - S, next_cold_us=START_US + 10**9)))
    world.deliver_list(entry)
    until_us = world.balancer.upstreams[100].next_cold_send_us
    assert START_US + 100_000 < until_us < START_US + 5 * S  # one pacing interval, whatever the lesson says
    other = World(settings(hedging=False, instances=3), 3)
    other.balancer.recall(START_US, lessons(
        lesson_of(100, 1.0, started_us=START_US - S, next_cold_us=START_US + 10**9, first_hand=False)))
    other.deliver_list(entry)
    assert other.balancer.upstreams[100].next_cold_send_us < until_us


def test_answer_times_of_a_replaced_fleet_are_ignored() -> None:
    """Short answer times of warm upstreams would close the sidecar's window at cold ones, and pace these too fast."""
    kinds = (LearnedClass("read", START_US, 5_000.0, 2_000.0),)
    for gone, recalled in ((2, True), (3, True), (4, False), (6, False)):
        world = taught_world(*(lesson_of(100 + i if i >= gone else 900 + i, 2.0) for i in range(6)),
                             classes=kinds, slots=1e6)
        assert world.balancer.latency[0].has_samples is recalled
        assert (world.balancer.window.slots > 1.5 * taught_world().balancer.window.slots) is recalled
    world = taught_world(*(lesson_of(100 + i, 2.0) for i in range(6)), classes=kinds, listed=False)
    assert not world.balancer.latency[0].has_samples  # a cached list may be that of the former fleet
    world.deliver_list(upstreams(6))
    assert world.balancer.latency[0].has_samples


def test_minimum_latency_from_another_zone_is_ignored() -> None:
    for zone, least_us in ((0, 19_000), (1, 20_000)):
        world = taught_world(lesson_of(100, 1.0, min_latency_us=19_000), zone=zone)
        answer(world, send_to(world, 100))
        assert world.balancer.upstreams[100].min_latency_us == least_us


def test_recalled_tenant_shares_count_as_few_arrivals() -> None:
    config = settings(tenants=[Tenant("a", 10.0), Tenant("b", 10.0)])
    world = World(config)
    world.balancer.recall(START_US, lessons(tenants=(("a", 0.9), ("b", 0.1), ("unknown", 5.0)), confirmed_us=START_US))
    world.deliver_list(upstreams(6))
    assert world.balancer.tenant_arrivals == pytest.approx([18.0, 2.0])
    for _ in range(100):
        answer(world, world.new_request(tenant=1), after_us=1_000)
    seen = world.balancer.tenant_arrivals
    assert seen[1] > 4 * seen[0]


# Passing lessons on


def test_second_hand_lessons_are_passed_on_unchanged() -> None:
    first = lesson_of(100, 5.0, 3 * S, first_hand=False, min_latency_us=9)
    world = taught_world(first)
    world.advance(S)
    given = {one.id: one for one in learned_state(world.balancer).upstreams}
    assert given[100] == first and list(given) == [100]
    answer(world, send_to(world, 100))
    own = {one.id: one for one in learned_state(world.balancer).upstreams}[100]
    assert own.first_hand and own.confirmed_us == world.now_us


def test_sidecars_that_teach_each_other_do_not_renew_lessons() -> None:
    """A teaches B, B teaches A, repeatedly: no lesson gets younger, and second-hand lessons are not accepted."""
    world = World(settings())
    world.balancer.recall(START_US, lessons(lesson_of(100, 6.0, S)))
    world.deliver_list(upstreams(6))
    for _ in range(5):
        world.advance(2 * S)
        given = learned_state(world.balancer)
        donor = confidence.Donor(given, 60 * S, False, False)
        agreed = confidence.combined_lessons([donor], world.now_us, 0)
        assert agreed is not None and agreed.upstreams[0].confirmed_us == START_US - S
        other = World(settings())
        other.now_us = world.now_us
        other.balancer.recall(world.now_us, agreed)
        other.deliver_list(upstreams(6))
        back = learned_state(other.balancer)
        assert [one.first_hand for one in back.upstreams] == [False]
        assert confidence.combined_lessons([confidence.Donor(back, 60 * S, False, False)], world.now_us, 0) is None


# Combining the lessons of donors


def donor(*found: LearnedUpstream, up_us: int = 60 * S, resting: bool = False, cut_off: bool = False,
          **changes: object) -> confidence.Donor:
    return confidence.Donor(lessons(*found, **changes), up_us, resting, cut_off)


def combined(*donors: confidence.Donor) -> dict[int, LearnedUpstream]:
    found = confidence.combined_lessons(donors, START_US, 0)
    return {} if found is None else {one.id: one for one in found.upstreams}


def test_one_wrong_donor_of_three_has_no_effect() -> None:
    good = [lesson_of(100, 4.0), lesson_of(101, 1 / 32, timeout_doublings=4), lesson_of(102, 4.0)]
    for lie in (
        [lesson_of(100, 1 / 64, 0, timeout_doublings=9), lesson_of(101, 1e5, 0), lesson_of(102, 1e5, 0)],
        [lesson_of(100 + i, 1e5, 0, min_latency_us=1) for i in range(3)],
        [lesson_of(100 + i, 1 / 64, 0, timeout_doublings=9) for i in range(3)],
    ):
        found = combined(donor(*good), donor(*lie), donor(*good))
        assert [found[i].slots for i in (100, 101, 102)] == [4.0, 1 / 32, 4.0]
        assert [found[i].timeout_doublings for i in (100, 101, 102)] == [1, 4, 1]
        assert all(not one.first_hand for one in found.values())


def test_a_stalled_donor_does_not_teach_that_all_upstreams_are_closed() -> None:
    stalled = [lesson_of(100 + i, 1 / 64, timeout_doublings=3) for i in range(5)]
    assert set(combined(donor(*stalled, lesson_of(105, 3.0)))) == {105}
    assert set(combined(donor(lesson_of(100, 1 / 64, timeout_doublings=3), lesson_of(101, 2.0), lesson_of(102, 2.0),
                              resting=True))) == {101, 102}


def test_a_donor_that_has_just_started_is_ignored() -> None:
    assert combined(donor(lesson_of(100, 4.0), up_us=confidence.MIN_DONOR_UPTIME_US - 1)) == {}
    assert confidence.combined_lessons([], START_US, 0) is None


def test_old_lessons_and_a_lost_discovery_reduce_the_weight_of_a_donor() -> None:
    old, fresh = donor(lesson_of(100, 8.0, 90 * S)), donor(lesson_of(100, 2.0, 0))
    assert combined(old, fresh)[100].slots == 2.0 == combined(old, old, fresh)[100].slots
    lost = donor(lesson_of(100, 8.0, 0), cut_off=True)
    assert combined(lost, fresh)[100].slots == 2.0


def test_minimum_latency_is_taken_only_from_donors_of_the_same_zone() -> None:
    near, far = donor(lesson_of(100, 2.0, min_latency_us=900)), donor(lesson_of(100, 2.0, min_latency_us=9_000), zone=1)
    assert combined(far, far, near)[100].min_latency_us == 900 and combined(far)[100].min_latency_us == 0


@given(st.lists(st.tuples(st.floats(-1e6, 1e6), st.floats(0.01, 10)), min_size=1, max_size=9), st.floats(-1e9, 1e9))
def test_the_median_is_within_the_other_values_if_one_has_less_than_half_of_the_weight(
        values: list[tuple[float, float]], lie: float) -> None:
    whole = sum(weight for _, weight in values)
    found = confidence.median([*values, (lie, 0.99 * whole)])
    assert min(value for value, _ in values) <= found <= max(value for value, _ in values)


@given(st.integers(0, 2**32))
def test_no_random_lesson_breaks_a_rule_or_raises(seed: int) -> None:
    """Random lessons; World checks the rules while requests arrive and end."""
    rng = random.Random(seed)
    world = World(settings(), seed % 1000)
    extremes = [1e-6, 1 / 64, 0.5, 1.0, 8.0, 1e6]

    def random_lesson(ident: int) -> LearnedUpstream:
        return lesson_of(ident, rng.choice(extremes), rng.choice([-S, 0, S, 30 * S, 4_000 * S]),
                         started_us=rng.choice([0, START_US - S]), min_latency_us=rng.choice([0, 1, 10**9]),
                    failing=rng.random() < 0.5, timeout_doublings=rng.choice([1, 2, 64]),
                    next_cold_us=rng.choice([0, 2 * START_US]),
                         first_hand=rng.random() < 0.5)

    def any_lessons() -> LearnedState:
        return lessons(*(random_lesson(100 + i) for i in range(8)), slots=rng.choice([0.0, *extremes]),
                       classes=tuple(LearnedClass(c.name, START_US, rng.choice([1.0, 1e12]), rng.choice([1.0, 1e12]))
                                     for c in world.settings.classes if rng.random() < 0.5))

    world.balancer.recall(START_US, any_lessons())
    world.deliver_list(upstreams(6, started_us=rng.choice([0, START_US - S])))
    for step in range(60):
        if step % 20 == 7:
            world.balancer.recall(world.now_us, any_lessons())
        request = world.new_request(rng.randrange(3))
        world.advance(rng.randrange(60_000))
        for number in list(world.requests[request].outstanding()):
            if number in world.requests[request].outstanding() and rng.random() < 0.7:
                world.end_attempt(request, number, rng.choice([Outcome.OK, Outcome.OK, Outcome.RESET, Outcome.FULL]))
    world.advance(5 * S)
    assert all(owed.answers == 1 for owed in world.requests.values())


def test_recalling_its_own_lessons_restores_a_balancer() -> None:
    """A balancer that recalls the lessons of another gives the same lessons, and has similar windows and times."""
    world = World(settings(hedging=False, instances=1))
    world.deliver_list(upstreams(4))
    for _ in range(200):
        answer(world, world.new_request(), after_us=5_000)
    given = learned_state(world.balancer)
    again = Balancer(world.settings, 9, world.now_us)
    again.recall(world.now_us, given)
    again.handle(world.now_us, UpstreamsUpdated(ListKind.FULL, upstreams(4)))
    assert learned_state(again) == replace(given, slots=0.0, confirmed_us=0)
    assert again.window.slots == pytest.approx(given.slots, rel=0.5)
    assert [x.mean_us for x in again.latency] == pytest.approx([x.mean_us for x in world.balancer.latency], rel=0.2)
    assert not any(isinstance(action, Send) for action in again.actions)
