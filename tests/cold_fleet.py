"""Simulates a whole fleet of balancers and cold upstreams, in virtual time and without sockets.

The pacing itself is not modelled: each sidecar is a real `Balancer` with its own upstream list, which it receives at
its own time. An upstream processes work in order, at the speed that the settings guarantee. Each send to a cold
upstream is checked against rule 4, as the contract words it, at the moment when it arrives.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, field, replace

from ironscale.balance import Balancer
from ironscale.interface import (
    AttemptEnded,
    Event,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    Tenant,
    TimerFired,
    Upstream,
    UpstreamState,
    UpstreamsUpdated,
)

START_US = 1_000_000_000
SECOND_US = 1_000_000
FLEET_SIZES = (1, 5, 19, 20, 21, 30, 200)
KIND_CAPACITIES = (1.76, 0.66, 0.95)  # machine types of the site: their capacity relative to the mean of all upstreams


@dataclass(frozen=True)
class Case:
    """One randomly generated simulation; rates are requests per second of the whole fleet."""

    seed: int
    instances: int
    settings: Settings
    seconds: float
    capacities: list[float]  # capacity of each upstream when warm, in requests of mean work per second
    cold_count: int  # how many of them restart
    shares: list[float]  # of the traffic, by sidecar
    load: float  # relative to the capacity of all upstreams when warm
    waves: list[tuple[float, float]]  # start in seconds, and factor on the load from then on
    work: list[tuple[float, float]]  # by class: share of the requests, mean work
    list_delays_s: list[float]  # by sidecar: when it receives the list after a change
    crash_s: float  # when the cold upstreams crash and restart once more; 0 = never
    down_s: float  # time from that crash to the restart
    listed_before: bool  # cold ones ran and were listed before; sidecars learn of end and restart at once
    restarts: list[tuple[float, int]]  # time, number of the sidecar that restarts
    removed_count: int  # how many upstreams leave the list when the cold ones join it
    variation: float  # variation of work within a class: standard deviation / mean


def classes() -> list[RequestClass]:
    return [RequestClass("view", 300_000, 1_500_000, late_worth=0.3),
            RequestClass("submit", 300_000, 600_000, worth=5.0, effect="at_most_once"),
            RequestClass("mark", 400_000, 2_000_000, worth=3.0, effect="deduplicated", group="cell",
                         dedup_memory_us=1_200_000)]


def random_case(seed: int, instances: int, variation: float = 0.0) -> Case:
    """Draws a case: on even seeds with the site's settings, on odd seeds with any that the documentation allows.
    `variation` is that of the work within one request class: standard deviation / mean."""
    rng = random.Random(f"{seed}/{instances}")
    at_site = seed % 2 == 0
    cold_share, warm_s, factor, fall_s, quota = (
        (0.13, 24.0, 2.5, 1.0, rng.uniform(0.72, 0.94)) if at_site else
        (rng.uniform(0.1, 0.5), rng.uniform(5.0, 24.0), rng.choice((2.0, 2.5, 3.0)), rng.choice((1.0, 2.0)),
         rng.uniform(0.55, 1.1)))
    count = rng.randint(5, 16)
    mean = math.exp(rng.uniform(math.log(10.0), math.log(40.0)))
    kinds = [rng.choice(KIND_CAPACITIES) if rng.random() < 0.8 else 1.0 for _ in range(count)]
    capacities = [mean * kind * count / sum(kinds) for kind in kinds]
    cold_count = rng.randint(1, max(1, count // 3))
    shares = [rng.uniform(3.0, 6.0) if rng.random() < 0.15 else rng.uniform(0.3, 1.2) for _ in range(instances)]
    waves, at_s = [(0.0, 1.0)], 0.0
    while at_s < 10.0:
        at_s += rng.uniform(0.5, 3.0)
        waves.append((at_s, rng.choice((0.05, 0.3, 1.0, 1.0, 1.6, 2.5))))
    settings = Settings(
        classes(), [Tenant("north", quota * sum(capacities) * 0.6, 0.6),
                    Tenant("south", quota * sum(capacities) * 0.4, 0.4)],
        over_share_worth=0.1, instances=instances, tick_us=4_000, max_attempts=4, max_retry_after_us=SECOND_US,
        connect_timeout_us=150_000, hedging=rng.random() < 0.5, cold_share=cold_share,
        warm_up_us=int(warm_s * SECOND_US), overload_factor=factor, fall_us=int(fall_s * SECOND_US))
    late = rng.random() < 0.3
    return Case(
        seed, instances, settings, min(10.0, warm_s), capacities, cold_count, [s / sum(shares) for s in shares],
        rng.choice((0.3, 0.6, 0.8, 1.1, 1.3)), waves,
        [(0.59, 22.0), (0.23, 42.0), (0.18, 28.0)] if at_site else [(0.7, 5.0), (0.2, 10.0), (0.1, 20.0)],
        [rng.uniform(0.0, 1.0) + (rng.uniform(1.0, 5.0) if late and rng.random() < 0.3 else 0.0)
         for _ in range(instances)],
        rng.uniform(2.0, 6.0) if rng.random() < 0.3 else 0.0, rng.uniform(0.5, 3.0), rng.random() < 0.5,
        sorted((rng.uniform(1.0, 10.0), index) for index in range(instances) if rng.random() < 0.3)
        if rng.random() < 0.4 else [],
        rng.randint(0, (count - cold_count) // 3) if rng.random() < 0.3 else 0, variation)


@dataclass
class Machine:
    """One upstream: two cores that process work in order, a bounded queue, and the accounting for rule 4."""

    entry: Upstream
    capacity: float
    cores_free_us: list[int] = field(default_factory=lambda: [0, 0])
    queue: list[int] = field(default_factory=list)  # when each request in the queue completes
    up: bool = True
    window: deque[tuple[int, float, bool]] = field(default_factory=deque)
    received: float = 0.0  # work received while cold
    worst: float = 0.0  # highest load of any window, relative to what it tolerates
    overloaded_us: int = 0


@dataclass
class Sidecar:
    number: int
    balancer: Balancer
    incarnation: int = 0
    listed_starts: dict[int, int] = field(default_factory=dict)  # by upstream: start time as it was listed


@dataclass(frozen=True)
class Verdict:
    overloads: int  # overloads of a cold upstream, of which over two thirds came from sidecars that knew of its start
    worst: float  # highest load of any window, relative to what is tolerated in it
    informed_worst: float  # the same, counting only the sends of sidecars that knew of the start
    used: float  # work sent to cold upstreams / their capacity; up to `overload_factor` is allowed
    served: float  # share of all requests that were answered in time
    cold_starts: int  # number of cold starts


class Fleet:
    def __init__(self, case: Case) -> None:
        self.case, self.rng, self.now_us, self.sequence = case, random.Random(case.seed), START_US, 0
        self.events: list[tuple[int, int, str, tuple[int, ...]]] = []
        mean = sum(case.capacities) / len(case.capacities)
        warm = [Upstream(100 + 7919 * i, zone=i % 4,
                         kind=sum(size > 1.2 * mean * kind for kind in sorted(KIND_CAPACITIES)),
                         cell=i % 4) for i, size in enumerate(case.capacities)]
        self.machines = {entry.id: Machine(entry, size) for entry, size in zip(warm, case.capacities, strict=True)}
        self.sidecars = [self.new_sidecar(number) for number in range(case.instances)]
        self.requests: dict[int, tuple[Sidecar, int, int, float, int]] = {}  # sidecar, life, class, work, deadline
        self.attempts: dict[int, int] = {}
        self.open_attempts: set[tuple[int, int]] = set()
        self.served = self.requested = self.overloads = self.cold_starts = 0
        self.capacity = self.received = self.worst = self.informed_worst = 0.0

    def schedule(self, when_us: int, kind: str, *arguments: int) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (when_us, self.sequence, kind, arguments))

    def new_sidecar(self, number: int) -> Sidecar:
        settings = replace(self.case.settings, self_index=number, zone=number % 4)
        return Sidecar(number, Balancer(settings, self.case.seed * 1000 + number + self.sequence, self.now_us))

    def run(self) -> Verdict:
        case = self.case
        for machine in list(self.machines.values())[:case.cold_count] if not case.listed_before else []:
            machine.up = False
        for sidecar in self.sidecars:
            self.on_list(sidecar.number)
        calm_us = 2 * SECOND_US  # by then each sidecar has sent requests
        self.draw_arrivals(calm_us)
        changed_us = START_US + calm_us
        self.schedule(changed_us, "start")
        if case.crash_s:
            self.schedule(changed_us + int(case.crash_s * SECOND_US), "crash")
            self.schedule(changed_us + int((case.crash_s + case.down_s) * SECOND_US), "start")
        for at_s, number in case.restarts:
            self.schedule(changed_us + int(at_s * SECOND_US), "restart", number)
        end_us = changed_us + int(case.seconds * SECOND_US)
        while self.events and self.events[0][0] < end_us:
            self.now_us, _, kind, arguments = heapq.heappop(self.events)
            getattr(self, "on_" + kind)(*arguments)
        for machine in self.machines.values():
            self.add_to_totals(machine)
        return Verdict(self.overloads, self.worst, self.informed_worst,
                       self.received / self.capacity if self.capacity else 0.0,
                       self.served / max(1, self.requested), self.cold_starts)

    def draw_arrivals(self, calm_us: int) -> None:
        case, rng, at_s = self.case, self.rng, 0.0
        rate, end_s = case.load * sum(case.capacities), calm_us / SECOND_US + case.seconds
        numbers, waves = range(case.instances), [(0.0, 1.0), *((calm_us / SECOND_US + s, k) for s, k in case.waves)]
        while at_s < end_s:
            factor = [k for s, k in waves if s <= at_s][-1]
            next_wave_s = min((s for s, _ in waves if s > at_s), default=end_s)
            step_s = rng.expovariate(rate * factor)
            at_s = min(at_s + step_s, next_wave_s) if at_s + step_s > next_wave_s else at_s + step_s
            if at_s < next_wave_s:
                self.schedule(START_US + int(at_s * SECOND_US), "arrival", rng.choices(numbers, case.shares)[0])

    # Handlers of simulated events, found by name

    def on_start(self) -> None:
        cold_machines = list(self.machines.values())[:self.case.cold_count]
        gone = list(self.machines.values())[-self.case.removed_count:] if self.case.removed_count else []
        for machine in cold_machines:
            self.add_to_totals(machine)
            machine.up, machine.entry = True, replace(machine.entry, started_us=self.now_us)
            machine.cores_free_us, machine.queue = [self.now_us] * 2, []
            self.cold_starts += 1
        for machine in gone:
            machine.entry = replace(machine.entry, state=UpstreamState.GONE)
        self.announce_lists()

    def announce_lists(self) -> None:
        for sidecar in self.sidecars:
            self.schedule(self.now_us + int(self.case.list_delays_s[sidecar.number] * SECOND_US),
                          "list", sidecar.number)

    def on_crash(self) -> None:
        for machine in list(self.machines.values())[:self.case.cold_count]:
            self.add_to_totals(machine)
            machine.up = False
        self.announce_lists()

    def on_list(self, number: int) -> None:
        sidecar = self.sidecars[number]
        entries = [m.entry for m in self.machines.values() if m.up and m.entry.state is UpstreamState.READY]
        sidecar.listed_starts = {entry.id: entry.started_us for entry in entries}
        self.deliver(sidecar, UpstreamsUpdated(ListKind.FULL, entries))

    def on_restart(self, number: int) -> None:
        life = self.sidecars[number].incarnation + 1
        self.sidecars[number] = self.new_sidecar(number)
        self.sidecars[number].incarnation = life
        self.schedule(self.now_us + 300_000, "list", number)

    def on_arrival(self, number: int) -> None:
        case, rng, sidecar = self.case, self.rng, self.sidecars[number]
        class_index = rng.choices(range(len(case.work)), [share for share, _ in case.work])[0]
        mean = sum(share * work for share, work in case.work)
        self.sequence += 1
        ident = self.sequence
        due_us = self.now_us + case.settings.classes[class_index].deadline_us
        work = case.work[class_index][1] / mean
        if case.variation:
            work *= rng.gammavariate(case.variation ** -2, case.variation ** 2)
        self.requests[ident] = sidecar, sidecar.incarnation, class_index, work, due_us
        self.requested += 1
        self.deliver(sidecar, RequestArrived(ident, due_us, class_index, tenant=int(rng.random() < 0.4)))

    def on_timer(self, number: int, life: int) -> None:
        if self.sidecars[number].incarnation == life:
            self.deliver(self.sidecars[number], TimerFired(0))

    def on_end(self, ident: int, nth: int, upstream: int, outcome: int, sent_us: int) -> None:
        if (ident, nth) not in self.open_attempts or ident not in self.requests:
            return
        self.open_attempts.discard((ident, nth))
        sidecar, life, class_index, _, due_us = self.requests[ident]
        if self.sidecars[sidecar.number].incarnation != life:
            return
        actual = list(Outcome)[outcome]
        machine = self.machines[upstream]
        if actual is Outcome.OK and (not machine.up or machine.entry.started_us > sent_us):
            actual = Outcome.RESET
        final = actual is Outcome.OK and self.now_us <= due_us
        if final:
            self.served += self.now_us <= due_us - self.case.settings.classes[class_index].deadline_us + (
                self.case.settings.classes[class_index].aim_us)
            del self.requests[ident]
        self.deliver(sidecar, AttemptEnded(ident, nth, upstream, actual, self.now_us - sent_us, final))

    def deliver(self, sidecar: Sidecar, event: Event) -> None:
        for action in sidecar.balancer.handle(self.now_us, event):
            if isinstance(action, Send):
                self.send(sidecar, action)
            elif isinstance(action, SetTimer):
                self.schedule(action.at_us, "timer", sidecar.number, sidecar.incarnation)
            elif isinstance(action, Refuse | Fail):
                self.requests.pop(action.request, None)

    # Upstreams

    def warmth(self, machine: Machine, at_us: int) -> float:
        s, age_us = self.case.settings, at_us - machine.entry.started_us
        if machine.entry.started_us == 0 or age_us >= s.warm_up_us:
            return 1.0
        return s.cold_share + (1.0 - s.cold_share) * age_us / s.warm_up_us

    def send(self, sidecar: Sidecar, send: Send) -> None:
        machine, now_us = self.machines[send.upstream], self.now_us
        nth = self.attempts[send.request] = self.attempts.get(send.request, -1) + 1
        work = self.requests[send.request][3]
        self.open_attempts.add((send.request, nth))
        warmth = self.warmth(machine, now_us)
        if not machine.up or machine.overloaded_us:
            self.schedule_end(send, nth, 1_000, Outcome.CONNECT_FAILED)
            return
        if warmth < 1.0:
            self.check_rule_4(sidecar, machine, work)
        machine.queue = [done_us for done_us in machine.queue if done_us > now_us]
        if len(machine.queue) >= 30:
            self.schedule_end(send, nth, 1_000, Outcome.FULL)
            return
        core = min(range(2), key=machine.cores_free_us.__getitem__)
        machine.cores_free_us[core] = max(machine.cores_free_us[core], now_us) + int(
            work * 2 / (machine.capacity * warmth) * SECOND_US)
        machine.queue.append(machine.cores_free_us[core])
        self.schedule_end(send, nth, machine.cores_free_us[core] + 2_000 - now_us, Outcome.OK)

    def schedule_end(self, send: Send, nth: int, after_us: int, outcome: Outcome) -> None:
        if send.timeout_us and after_us > send.timeout_us:
            after_us, outcome = send.timeout_us, Outcome.TIMEOUT
        self.schedule(self.now_us + after_us, "end", send.request, nth, send.upstream, list(Outcome).index(outcome),
                      self.now_us)

    def check_rule_4(self, sidecar: Sidecar, machine: Machine, work: float) -> None:
        """Checks rule 4 now, for all work that has arrived within the last `fall_us`. N is computed from the upstream's
        capacity at the start of that window, its lowest there. An overload counts as a violation if over two thirds
        of the work came from sidecars that knew of the upstream's start."""
        s, window = self.case.settings, machine.window
        is_informed = sidecar.listed_starts.get(machine.entry.id) == machine.entry.started_us
        window.append((self.now_us, work, is_informed))
        while window[0][0] <= self.now_us - s.fall_us:
            window.popleft()
        allowed = s.overload_factor * self.warmth(machine, window[0][0]) * machine.capacity * s.fall_us / SECOND_US
        tolerated = allowed + 2.0 * math.sqrt(allowed) + 2.0
        sent, informed = sum(w for _, w, _ in window), sum(w for _, w, t in window if t)
        machine.received += work
        self.informed_worst = max(self.informed_worst, informed / tolerated)
        if sent > tolerated:
            machine.overloaded_us = self.now_us
            self.overloads += informed > 2 / 3 * sent
        if informed > 2 / 3 * sent:
            self.worst = max(self.worst, sent / tolerated)

    def add_to_totals(self, machine: Machine) -> None:
        """Adds the upstream's capacity and the work that it received since its start to the totals."""
        if machine.entry.started_us and machine.up:
            s, since_us = self.case.settings, machine.entry.started_us
            until_us = min(machine.overloaded_us or self.now_us, since_us + s.warm_up_us)
            mean = (self.warmth(machine, since_us) + self.warmth(machine, until_us - 1)) / 2
            self.capacity += mean * machine.capacity * (until_us - since_us) / SECOND_US
            self.received += machine.received
        machine.window.clear()
        machine.received, machine.overloaded_us = 0.0, 0


def simulate(case: Case) -> Verdict:
    return Fleet(case).run()
