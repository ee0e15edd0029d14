"""The four rules of ironscale/balance.py under arbitrary legal event sequences.

tests/balancer_harness.py checks every action."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from ironscale.balance import Balancer
from ironscale.interface import (
    AttemptEnded,
    ListKind,
    Outcome,
    RequestArrived,
    RequestClass,
    Send,
    TimerFired,
    Upstream,
    UpstreamState,
    UpstreamsUpdated,
)
from tests.balancer_harness import START_US, World, classes, settings, upstreams

FAULTS = [o for o in Outcome if o is not Outcome.TIMEOUT]

STEPS = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 4), st.integers(1, 2_000_000)),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(FAULTS)),
    st.tuples(st.just("advance"), st.integers(0, 700_000), st.just(0)),
    st.tuples(st.just("list"), st.integers(0, 7), st.sampled_from(list(UpstreamState))),
    st.tuples(st.just("full"), st.integers(0, 8), st.sampled_from([ListKind.FULL, ListKind.CACHED])),
    st.tuples(st.just("restart"), st.integers(0, 7), st.integers(0, 30_000_000)),
    st.tuples(st.just("fail"), st.just(0), st.just(0)),
    st.tuples(st.just("quit"), st.integers(0, 50), st.just(0)),
    st.tuples(st.just("stream"), st.integers(0, 50), st.just(0)),
)

CONFIGS = st.fixed_dictionaries({
    "hedging": st.booleans(), "list_on_request": st.booleans(), "cancel": st.booleans(),
    "max_attempts": st.integers(1, 5), "instances": st.integers(1, 8), "retry_after": st.booleans(),
    "ask_within_us": st.sampled_from([0, 10_000_000]), "probes": st.booleans(),
    "report_names": st.sampled_from([[], ["utilization"], ["in_flight", "queued", "latency_ms"]]),
})


def classes_of_every_kind() -> list[RequestClass]:
    return [*classes(),
            RequestClass("zoned", 200_000, 900_000, effect="deduplicated", group="zone", dedup_memory_us=400_000),
            RequestClass("feed", 200_000, 900_000, effect="deduplicated", dedup_memory_us=9_000_000, stream=True)]


def apply_step(world: World, step: tuple[str, int, object]) -> None:
    """Carries out one generated step, if it is possible in the world's present state."""
    what, number, extra = step
    open_attempts = [(ident, n) for ident, request in world.requests.items() for n in request.outstanding()]
    if what == "arrive":
        assert isinstance(extra, int)
        world.new_request(number, patience_us=extra)
    elif what == "advance":
        world.advance(number)
    elif what in ("list", "restart"):
        started = world.now_us - extra if isinstance(extra, int) else 0
        state = extra if isinstance(extra, UpstreamState) else UpstreamState.READY
        entry = Upstream(100 + number, state, number // 2, 0, number // 2, 1.0, started)
        world.deliver_list([entry], ListKind.DELTA)
    elif what == "full":
        assert isinstance(extra, ListKind)
        world.deliver_list(upstreams(number), extra)
    elif what == "fail" and world.settings.list_on_request:
        world.deliver(UpstreamsUpdated(ListKind.FAILED))
    elif what == "quit" and world.requests:
        ident = list(world.requests)[number % len(world.requests)]
        if not world.requests[ident].closed:
            world.client_quits(ident)
    elif what == "end" and open_attempts:
        assert isinstance(extra, Outcome)
        world.end_attempt(*open_attempts[number % len(open_attempts)], extra)
    elif what == "stream":
        streams = [(i, n) for i, n in open_attempts
                   if world.settings.classes[world.requests[i].event.class_index].stream
                   and not world.requests[i].stream and not world.requests[i].closed]
        if streams:
            world.begin_stream(*streams[number % len(streams)])


@hypothesis_settings(derandomize=True, deadline=None, max_examples=400)
@given(CONFIGS, st.integers(0, 2**64 - 1), st.lists(STEPS, max_size=80))
def test_no_rule_is_broken_by_any_legal_sequence_of_events(config: dict[str, object], seed: int,
                                            steps: list[tuple[str, int, object]]) -> None:
    world = World(settings(classes=classes_of_every_kind(), **config), seed)
    world.deliver_list(upstreams(6), ListKind.CACHED)
    for step in steps:
        apply_step(world, step)
    world.advance(5_000_000)  # everything is answered by its due time


def run_heavy_load(config: dict[str, object], seed: int) -> list[object]:
    """Heavy load with every kind of failure, so that slots run out and requests wait and are retried. Returns all
    actions."""
    rng = random.Random(seed)
    world = World(settings(classes=classes_of_every_kind(), **config), seed)
    world.deliver_list(upstreams(6), ListKind.CACHED)
    for _ in range(1500):
        kind = rng.choices(["arrive", "end", "advance", "list", "restart", "quit", "stream", "fail"],
                            [50, 40, 10, 1, 1, 1, 1, 1])[0]
        extra: object = 0
        number = rng.randrange(50)
        if kind == "arrive":
            number, extra = rng.randrange(5), rng.randrange(1_000, 2_000_000)
        elif kind == "end":
            extra = rng.choices(FAULTS, [20, 2, 2, 2, 1, 1, 1])[0]
        elif kind == "advance":
            number = rng.randrange(60_000)
        elif kind in ("list", "restart"):
            number = rng.randrange(8)
            extra = rng.choice(list(UpstreamState)) if kind == "list" else rng.randrange(30_000_000)
        apply_step(world, (kind, number, extra))
    world.advance(5_000_000)
    return list(world.log)


def test_heavy_load_breaks_no_rule_and_is_decided_alike_each_time() -> None:
    for seed in range(12):
        config: dict[str, object] = {
            "hedging": seed % 2 == 0, "list_on_request": seed % 3 == 0, "ask_within_us": 10_000_000,
            "report_names": [["utilization"], [], ["queued", "in_flight"]][seed % 3], "probes": seed % 4 == 0,
        }
        assert run_heavy_load(config, seed) == run_heavy_load(config, seed)


def worst_overload_share(skew: list[int], outcome: Outcome, cost_us: int = 0) -> float:
    """The most work that all sidecars together send one cold upstream within any `fall_us`, as a share of the overload
    that it bears.

    The upstream joins nine others, has one core and serves one request after the other; when warm, a request takes
    40 ms. Sidecar number n gets `skew[n]` requests in each tick of 4 ms. Attempts at the cold upstream end with
    `outcome`."""
    config = settings(instances=len(skew), classes=[RequestClass("read", 300_000, 1_500_000)])
    balancers = [Balancer(config, n, START_US) for n in range(len(skew))]
    listed = [Upstream(1, started_us=START_US), *[Upstream(n) for n in range(2, 11)]]

    def warmth(at_us: int) -> float:
        return config.cold_share + (1 - config.cold_share) * (at_us - START_US) / config.warm_up_us

    free_us = START_US
    sent: list[int] = []
    ends: list[tuple[int, int, int, int, int]] = []
    tries: dict[int, int] = {}
    timers: list[tuple[int, int]] = []
    now_us, request = START_US, 0
    for balancer in balancers:
        balancer.handle(now_us, UpstreamsUpdated(ListKind.FULL, listed))
    while now_us < START_US + 8_000_000:
        events: list[tuple[int, object]] = []
        for number, rate in enumerate(skew):
            for _ in range(rate):
                request += 1
                events.append((number, RequestArrived(request, now_us + 1_500_000, cost_us=cost_us)))
        for end in [e for e in ends if e[0] <= now_us]:
            ends.remove(end)
            how = outcome if end[3] == 1 else Outcome.OK
            events.append((end[1], AttemptEnded(end[2], end[4], end[3], how, 40_000, how is Outcome.OK)))
        for timer in [t for t in timers if t[0] <= now_us]:
            timers.remove(timer)
            events.append((timer[1], TimerFired(0)))
        for number, event in events:
            for action in balancers[number].handle(now_us, event):  # type: ignore[arg-type]
                if isinstance(action, Send):
                    nth = tries.get(action.request, 0)
                    tries[action.request] = nth + 1
                    ready_us = now_us + 40_000
                    if action.upstream == 1 and outcome is Outcome.OK:
                        free_us = max(free_us, now_us) + int(40_000 / warmth(now_us))
                        ready_us = free_us
                    ends.append((ready_us, number, action.request, action.upstream, nth))
                    if action.upstream == 1:
                        sent.append(now_us)
        now_us += 4_000
    worst = 0.0
    for start in sent:
        pushed = 40_000 * sum(1 for at in sent if start <= at < start + config.fall_us)
        worst = max(worst, pushed / (config.overload_factor * warmth(start) * config.fall_us))
    return worst


def test_a_cold_upstream_is_not_overloaded_by_all_sidecars_together() -> None:
    for skew in ([1, 1, 1], [3, 0, 0], [1] * 8, [1] * 24, [4, 1, 1, 1]):
        for outcome in (Outcome.OK, Outcome.FULL, Outcome.ERROR, Outcome.CONNECT_FAILED):
            assert 0 < worst_overload_share(skew, outcome) <= 1, (skew, outcome)
