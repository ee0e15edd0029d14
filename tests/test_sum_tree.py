"""The choice by sum tree gives the same actions as a linear scan of all upstreams, for the same events and seeds."""

from __future__ import annotations

import os
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironscale import interface as api
from ironscale.balance import TARGET_SLOWNESS, Balancer, Request, TrackedUpstream
from ironscale.introspection import learned_state
from ironscale.sum_tree import SumTree

S = 1_000_000
SEEDS = [int(seed) for seed in os.environ.get("MANY_SEEDS", "1,2,3,4,5,6").split(",")]


class LinearScanBalancer(Balancer):
    """Reference implementation: each choice and each timer scans all upstreams."""

    def draw(self, request: Request) -> TrackedUpstream | None:
        self.refresh_weights()  # recomputes the upstreams' weight factors, as in the real choice
        tried = [attempt.upstream for attempt in request.attempts]
        if tried and not self.is_bound_to_group(request) and self.window_has_room():
            self.needs_refresh.update((server, None) for server in tried if server.order_index >= 0)
        free: list[TrackedUpstream] = []
        weights: list[float] = []
        room = 0.0
        if self.window_has_room() and self.in_large_fleet and self.slowness.exceeds(TARGET_SLOWNESS):
            for server in self.draw_order:  # under high load cold upstreams come first, as far as their pacing allows
                slots = server.window.usable_slots(self.now_us) - server.used_slots
                if (self.warmth(server) < 1.0 and slots > 0 and self.now_us >= server.next_cold_send_us
                        and server not in tried and self.in_group(request, server)):
                    free.append(server)
                    weights.append(min(float(slots), server.window.slots) * server.relative_weight * server.preference)
            if free:
                return self.random.choices(free, weights)[0]
            free, weights = [], []
        for server in self.draw_order:
            slots = server.window.usable_slots(self.now_us) - server.used_slots
            if not self.window_has_room() and not (self.in_large_fleet and self.warmth(server) < 1.0):
                continue
            if slots <= 0 or (tried and (server in tried or not self.in_group(request, server))):
                continue
            warmth = self.warmth(server)
            if warmth == 1.0 or self.now_us >= server.next_cold_send_us:
                free.append(server)
                paced = warmth < 1.0 and self.in_large_fleet  # limited only by its pacing
                weights.append(min(float(slots), server.window.slots) * server.relative_weight * server.preference
                               * (1.0 if paced else warmth))
                room += 0.0 if paced else min(1.0, server.window.slots) * server.relative_weight
                if room >= self.subset_slots:
                    break
        return self.random.choices(free, weights)[0] if free else None

    def arm_timer(self) -> None:
        times = [self.wakeups[0][0]] if self.wakeups else []
        if self.buffer is not None:
            self.refresh_weights()
            opens = [self.outstanding.below_at_us(self.window.slots) if self.in_large_fleet
                     else self.window.paused_until_us]
            opens += [max(s.next_cold_send_us, s.window.paused_until_us) for s in self.draw_order]
            times.extend([at_us for at_us in opens if at_us > self.now_us])
        if times and (self.armed_timer_us == 0 or min(times) < self.armed_timer_us):
            self.armed_timer_us = min(times)
            self.actions.append(api.SetTimer(self.armed_timer_us, 0))


def random_settings(random: Random) -> api.Settings:
    return api.Settings(
        classes=[api.RequestClass("view", 300_000, 1_500_000),
                 api.RequestClass("pay", 300_000, 600_000, 5.0, effect="at_most_once"),
                 api.RequestClass("mark", 400_000, 2_000_000, 3.0, effect="deduplicated",
                                  group=random.choice(api.GROUPS), dedup_memory_us=1_200_000)],
        tenants=[api.Tenant(name, rate) for name, rate in (("a", 50.0), ("b", 200.0), ("c", 10.0))],
        over_share_worth=0.1, instances=random.choice([1, 3, 8, 60]), self_index=random.randrange(3),
        zone=random.randrange(3), max_attempts=4, max_retry_after_us=S, cancel=True,
        hedging=random.random() < 0.5, cold_share=random.choice([0.13, 0.5, 1.0]), warm_up_us=24 * S,
        overload_factor=random.choice([1.2, 2.5, 4.0]), fall_us=S, cross_zone_fee=random.choice([0.0, 1.0]),
        list_on_request=True, ask_within_us=10 * S, weighted=True)


class RandomFleet:
    """Upstreams with random answers, a changing list, and two balancers that must return the same actions."""

    def __init__(self, seed: int) -> None:
        self.random = random = Random(seed)
        self.settings = random_settings(random)
        self.now_us = 1_000 * S
        self.balancers = [kind(self.settings, seed, self.now_us) for kind in (Balancer, LinearScanBalancer)]
        self.events: list[tuple[int, int, api.Event]] = []
        self.sequence = self.sent = self.used_upstreams = 0
        self.attempts: dict[int, int] = {}
        self.listed: dict[int, api.Upstream] = {}
        self.mean_times_s = {i: random.uniform(0.01, 0.4) for i in range(200)}

    def schedule(self, after_us: float, event: api.Event) -> None:
        self.sequence += 1
        self.events.append((self.now_us + int(after_us), self.sequence, event))

    def handle(self, event: api.Event) -> None:
        actions, expected = (balancer.handle(self.now_us, event) for balancer in self.balancers)
        assert actions == expected, (self.now_us, event)
        for action in actions:
            if isinstance(action, api.Send):
                self.sent += 1
                self.used_upstreams |= 1 << action.upstream
                self.send(action)
            elif isinstance(action, api.SetTimer):
                self.schedule(max(0, action.at_us - self.now_us), api.TimerFired(action.token))

    def send(self, action: api.Send) -> None:
        random, number = self.random, self.attempts.get(action.request, 0)
        self.attempts[action.request] = number + 1
        took_us = self.mean_times_s[action.upstream] * S * random.expovariate(1.0)
        outcome = random.choices(list(api.Outcome), [30, 1, 1, 0, 1, 1, 0, 1])[0]
        if took_us >= action.timeout_us:
            took_us, outcome = action.timeout_us, api.Outcome.TIMEOUT
        self.schedule(took_us, api.AttemptEnded(action.request, number, action.upstream, outcome, int(took_us),
                                                request_ended=outcome is api.Outcome.OK))

    def change_list(self) -> None:
        random = self.random
        for _ in range(random.randrange(1, 4)):
            ident = random.randrange(40)
            old = self.listed.get(ident)
            if old is not None and random.random() < 0.3:
                self.listed.pop(ident)
                continue
            started_us = random.choice([0, self.now_us, self.now_us - 5 * S, self.now_us + S])
            self.listed[ident] = api.Upstream(
                ident, random.choices([api.UpstreamState.READY, api.UpstreamState.DRAINING], [5, 1])[0],
                zone=ident % 3, cell=ident % 4, weight=random.choice([0.5, 1.0, 2.0]),
                started_us=old.started_us if old is not None and random.random() < 0.7 else started_us)
        self.handle(api.UpstreamsUpdated(api.ListKind.FULL, list(self.listed.values())))

    def run(self, steps: int, rate: float) -> None:
        random, request = self.random, 0
        for _ in range(10):
            self.change_list()
        while steps:
            steps -= 1
            arrives_us = self.now_us + int(random.expovariate(rate) * S)
            while self.events and min(self.events)[0] <= arrives_us:
                first = min(self.events)
                self.events.remove(first)
                self.now_us = max(self.now_us, first[0])
                self.handle(first[2])
            self.now_us = arrives_us
            request += 1
            kind = random.randrange(3)
            due_us = self.now_us + self.settings.classes[kind].deadline_us
            self.handle(api.RequestArrived(request, due_us, kind, random.randrange(3)))
            if random.random() < 0.03:
                self.change_list()
            if random.random() < 0.01:
                self.handle(api.RequestAbandoned(random.randrange(request)))
            if random.random() < 0.004:
                self.settings = random_settings(random)
                self.settings.classes[2].group = self.balancers[0].settings.classes[2].group
                self.settings.zone = self.balancers[0].settings.zone
                self.handle(api.SettingsChanged(self.settings))
            if random.random() < 0.01:
                lessons = learned_state(self.balancers[0])
                for balancer in self.balancers:
                    balancer.recall(self.now_us, lessons)


@pytest.mark.parametrize("rate", [20.0, 150.0, 600.0])
def test_the_same_events_give_the_same_actions_as_a_scan(rate: float) -> None:
    sent = drawn = 0
    for seed in SEEDS:
        world = RandomFleet(seed)
        world.run(1_400, rate)
        sent, drawn = sent + world.sent, drawn | world.used_upstreams
    # in some worlds all upstreams are cold or failing, so only the totals are checked
    assert sent > 100 * len(SEEDS) and drawn.bit_count() > 30


@settings(max_examples=300, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 40), st.sampled_from([0.0, 0.001, 1.0, 2.5]),
                          st.sampled_from([0.0, 0.25, 1.0])), min_size=1, max_size=80),
       st.floats(0.1, 20), st.floats(0, 0.999))
def test_the_tree_agrees_with_a_linear_scan(updates: list[tuple[int, float, float]], capacity: float,
                                            share: float) -> None:
    tree, leaves = SumTree(41), [(0.0, 0.0)] * 41
    for leaf, weight, room in updates:
        leaves[leaf] = (weight, room if weight else 0.0)
        tree.set(leaf, *leaves[leaf])
    total = room = 0.0
    for weight, more in leaves:
        total, room = total + weight, room + more
        if room >= capacity:
            break
    assert tree.prefix_weight(capacity) == pytest.approx(total)
    if total > 0.0:
        point = share * total
        found = tree.find(point)
        before = sum(weight for weight, _ in leaves[:found])
        assert leaves[found][0] > 0.0 and before - 1e-9 <= point <= before + leaves[found][0] + 1e-9


def test_rounding_never_selects_a_leaf_without_weight() -> None:
    for last in range(8):
        places = SumTree(8)
        for place in range(last + 1):
            places.set(place, 0.1 + place / 7, 1.0)
        total = places.prefix_weight(100.0)
        for point in (total, total * (1 + 1e-15), total * (1 - 1e-16)):
            assert places.find(point) == last  # not a later leaf, which has no weight


def test_an_empty_tree_has_weight_0() -> None:
    for count in (0, 1, 5):
        places = SumTree(count)
        assert places.prefix_weight(3.0) == 0.0
    places.set(4, 0.3, 0.1)
    places.set(2, 0.1, 0.1)
    places.set(4, 0.0, 0.0)
    places.set(2, 0.0, 0.0)
    assert places.prefix_weight(3.0) == 0.0  # exactly: a rounding error would make a leaf without weight eligible


def test_lazy_decay_of_tenant_shares_equals_decay_of_all_at_each_arrival() -> None:
    random, told = Random(5), random_settings(Random(5))
    balancer, plain = Balancer(told, 1, S), [0.0] * 3
    for step in range(12_000):  # beyond the point where the weights are normalized
        tenant = random.choices(range(3), [5, 1, 1 + step // 4_000])[0]
        balancer.handle(S + step, api.RequestArrived(step + 1, 2 * S, 0, tenant))
        plain = [seen * (1.0 - 1.0 / 200) for seen in plain]
        plain[tenant] += 1.0
        if not step % 100:
            assert balancer.tenant_arrivals == pytest.approx(plain, rel=1e-9)
            assert balancer.tenant_arrival_weights[tenant] / balancer.total_arrival_weight == pytest.approx(
                plain[tenant] / sum(plain), rel=1e-9)
    assert balancer.arrival_weight < 1e13
