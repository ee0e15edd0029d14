"""A stage in virtual time: sidecars' decisions between clients and upstreams that fall silent, pause, slow down or are
replaced. It runs on a seed and nothing else, and can be copied at any moment: variants of one moment are paired.

No simulator of the platform: queues with a few cores, exponential work, one way a zone. It is there to compare a cold
start with others on the same faults.
"""

from __future__ import annotations

import copy
import heapq
import random
from dataclasses import dataclass, field
from typing import Any

from ironscale import interface as api
from ironscale.balance import Balancer

START_US = 1_000_000_000_000
MS, S = 1_000, 1_000_000
AIM_US = 300 * MS


def settings(instances: int, index: int, **changes: Any) -> api.Settings:
    values: dict[str, Any] = {
        "classes": [
            api.RequestClass("view", aim_us=AIM_US, deadline_us=1_500 * MS),
            api.RequestClass("pay", aim_us=AIM_US, deadline_us=1_500 * MS, worth=5.0, effect="at_most_once"),
        ],
        "instances": instances, "self_index": index, "max_attempts": 4, "hedging": True, "cancel": True,
        "max_retry_after_us": S, "cold_share": 0.2, "warm_up_us": 20 * S, "overload_factor": 2.5, "fall_us": S,
        **changes,
    }
    return api.Settings(**values)


@dataclass
class Fault:
    """From `from_us` to `to_us` after the stage's start, at the upstreams of a zone, kind or all (-1)."""

    how: str  # silent, pause, half, reset
    from_us: int
    to_us: int
    zone: int = -1
    kind: int = -1

    def strikes(self, node: Node, now_us: int) -> bool:
        return (self.from_us <= now_us - START_US < self.to_us and self.zone in (-1, node.entry.zone)
                and self.kind in (-1, node.entry.kind))


@dataclass
class Node:
    entry: api.Upstream
    cores: int = 2
    room: int = 40  # waiting; beyond it turns away unseen
    busy: int = 0
    queue: list[tuple[int, int, int, int]] = field(default_factory=list)
    gone: bool = False
    recent: list[tuple[int, int]] = field(default_factory=list)  # (when, work) sent to it while cold
    fallen: bool = False


@dataclass
class Side:
    """One sidecar: its decisions and what it owes."""

    balancer: Balancer
    rate_per_s: float
    random: random.Random
    open: dict[int, int] = field(default_factory=dict)  # request -> class
    sent: dict[tuple[int, int], tuple[int, int]] = field(default_factory=dict)  # attempt -> (upstream, when)
    tries: dict[int, int] = field(default_factory=dict)
    arrived_us: dict[int, int] = field(default_factory=dict)
    incarnation: int = 0
    results: list[tuple[int, int, str]] = field(default_factory=list)  # (arrived, took, how it ended)


class Stage:
    def __init__(self, seed: int, sides: int = 3, nodes: int = 12, zones: int = 3, rate_per_s: float = 150.0,
                 work_us: int = 30 * MS, faults: tuple[Fault, ...] = (), **changes: Any) -> None:
        self.now_us = START_US
        self.work_us = work_us
        self.faults = faults
        self.nodes = {100 + i: Node(api.Upstream(100 + i, zone=i % zones, kind=i % 2, cell=i)) for i in range(nodes)}
        self.heap: list[tuple[int, int, str, tuple[int, ...]]] = []
        self.order = 0
        self.next_request = 1
        self.work: dict[int, int] = {}
        self.falls = 0
        self.turned_away = 0
        self.changes = changes
        self.sides = []
        for i in range(sides):
            side = Side(Balancer(settings(sides, i, **changes), seed * 100 + i, START_US), rate_per_s,
                        random.Random(seed * 1000 + i))
            self.sides.append(side)
            self.tell_list(i, api.ListKind.FULL)
            self.later(0, "arrive", i)

    def copy(self) -> Stage:
        return copy.deepcopy(self)

    def later(self, in_us: int, what: str, *args: int) -> None:
        self.order += 1
        heapq.heappush(self.heap, (self.now_us + max(0, in_us), self.order, what, args))

    def run(self, until_us: int) -> None:
        """Until so long after the stage's start."""
        end_us = START_US + until_us
        while self.heap and self.heap[0][0] <= end_us:
            self.now_us, _, what, args = heapq.heappop(self.heap)
            getattr(self, f"on_{what}")(*args)
        self.now_us = end_us

    # Sidecars

    def tell(self, index: int, event: api.Event) -> None:
        side = self.sides[index]
        for action in side.balancer.handle(self.now_us, event):
            if isinstance(action, api.Send):
                self.send(index, action)
            elif isinstance(action, api.Refuse | api.Fail):
                how = "refused" if isinstance(action, api.Refuse) else "failed"
                self.finish(index, action.request, how)
            elif isinstance(action, api.SetTimer):
                self.later(action.at_us - self.now_us, "timer", index, side.incarnation, action.token)

    def tell_list(self, index: int, kind: api.ListKind, entries: list[api.Upstream] | None = None) -> None:
        if entries is None:
            entries = [node.entry for node in self.nodes.values() if not node.gone]
        self.tell(index, api.UpstreamsUpdated(kind, entries))

    def on_timer(self, index: int, incarnation: int, token: int) -> None:
        if self.sides[index].incarnation == incarnation:
            self.tell(index, api.TimerFired(token))

    def on_arrive(self, index: int) -> None:
        side = self.sides[index]
        self.later(int(side.random.expovariate(side.rate_per_s) * 1e6), "arrive", index)
        ident, self.next_request = self.next_request, self.next_request + 1
        kind = int(side.random.random() < 0.2)
        self.work[ident] = int(min(5.0, side.random.expovariate(1.0)) * self.work_us)
        if side.incarnation < 0:  # it is down: nobody answers there
            side.results.append((self.now_us, 0, "down"))
            return
        side.open[ident], side.tries[ident], side.arrived_us[ident] = kind, 0, self.now_us
        self.later(1_500 * MS, "due", index, side.incarnation, ident)
        self.tell(index, api.RequestArrived(ident, self.now_us + 1_500 * MS, kind))

    def on_due(self, index: int, incarnation: int, ident: int) -> None:
        side = self.sides[index]
        if side.incarnation == incarnation and ident in side.open:
            self.finish(index, ident, "late")
            self.tell(index, api.RequestAbandoned(ident))

    def finish(self, index: int, ident: int, how: str) -> None:
        side = self.sides[index]
        if ident in side.open:
            del side.open[ident]
            side.results.append((side.arrived_us.pop(ident), self.now_us, how))

    def send(self, index: int, action: api.Send) -> None:
        side = self.sides[index]
        number = side.tries[action.request]
        side.tries[action.request] = number + 1
        side.sent[action.request, number] = (action.upstream, self.now_us)
        if action.timeout_us:
            self.later(action.timeout_us, "timeout", index, side.incarnation, action.request, number)
        self.later(500 + 8 * MS * (self.nodes[action.upstream].entry.zone == 2), "reach", index, side.incarnation,
                   action.request, number, action.upstream)

    def end(self, index: int, incarnation: int, ident: int, number: int, outcome: api.Outcome) -> None:
        side = self.sides[index]
        if side.incarnation != incarnation or (ident, number) not in side.sent:
            return
        upstream, sent_us = side.sent.pop((ident, number))
        ok = outcome is api.Outcome.OK
        was_open = ident in side.open
        if ok and was_open:
            in_time = self.now_us - side.arrived_us[ident] <= AIM_US
            self.finish(index, ident, "served" if in_time else "late")
        self.tell(index, api.AttemptEnded(ident, number, upstream, outcome, self.now_us - sent_us,
                                          request_ended=not was_open or ok))

    def on_timeout(self, index: int, incarnation: int, ident: int, number: int) -> None:
        self.end(index, incarnation, ident, number, api.Outcome.TIMEOUT)

    def on_end(self, index: int, incarnation: int, ident: int, number: int, outcome: int) -> None:
        self.end(index, incarnation, ident, number, list(api.Outcome)[outcome])

    def end_later(self, in_us: int, index: int, incarnation: int, ident: int, number: int,
                  outcome: api.Outcome) -> None:
        self.later(in_us, "end", index, incarnation, ident, number, list(api.Outcome).index(outcome))

    # Upstreams

    def struck(self, node: Node, how: str) -> Fault | None:
        return next((f for f in self.faults if f.how == how and f.strikes(node, self.now_us)), None)

    def warmth(self, node: Node) -> float:
        age_us = self.now_us - node.entry.started_us
        return min(1.0, 0.2 + 0.8 * age_us / (20 * S)) if node.entry.started_us else 1.0

    def on_reach(self, index: int, incarnation: int, ident: int, number: int, upstream: int) -> None:
        node = self.nodes[upstream]
        who = (index, incarnation, ident, number)
        if node.gone or self.struck(node, "reset"):
            self.end_later(500, *who, api.Outcome.CONNECT_FAILED if node.gone else api.Outcome.RESET)
        elif self.struck(node, "silent") or node.fallen:
            pass
        elif len(node.queue) >= node.room:
            self.turned_away += 1
            self.end_later(500, *who, api.Outcome.FULL)
        else:
            warmth = self.warmth(node)
            if warmth < 1.0:  # rule 4: what it is given within a second, beside what it bears
                node.recent = [(at, work) for at, work in node.recent if at > self.now_us - S]
                node.recent.append((self.now_us, self.work[ident]))
                if len(node.recent) > 8 and sum(w for _, w in node.recent) > 2.5 * warmth * node.cores * S:
                    node.fallen = True
                    self.falls += 1
            node.queue.append(who)
            self.serve(upstream)

    def serve(self, upstream: int) -> None:
        node = self.nodes[upstream]
        while node.queue and node.busy < node.cores:
            who = node.queue.pop(0)
            node.busy += 1
            slower = (2.0 if self.struck(node, "half") else 1.0) / self.warmth(node)
            self.later(int(self.work[who[2]] * slower), "done", upstream, *who)

    def on_done(self, upstream: int, index: int, incarnation: int, ident: int, number: int) -> None:
        node = self.nodes[upstream]
        pause = self.struck(node, "pause")
        if pause is not None:  # it answers when the pause is over
            self.later(START_US + pause.to_us - self.now_us, "done", upstream, index, incarnation, ident, number)
            return
        node.busy -= 1
        if not self.struck(node, "silent"):
            self.end_later(500 + 8 * MS * (node.entry.zone == 2), index, incarnation, ident, number, api.Outcome.OK)
        self.serve(upstream)

    def replace_all(self) -> None:
        """Every upstream goes, and a cold one with another id comes in its place."""
        for ident, node in list(self.nodes.items()):
            if not node.gone:
                node.gone = True
                old = node.entry
                entry = api.Upstream(ident + 1000, zone=old.zone, kind=old.kind, cell=old.cell,
                                     started_us=self.now_us)
                self.nodes[ident + 1000] = Node(entry)
        for i, side in enumerate(self.sides):
            if side.incarnation >= 0:
                self.tell_list(i, api.ListKind.FULL)

    # Restarts

    def stop(self, index: int) -> None:
        """Killed: what it held is lost with it."""
        side = self.sides[index]
        for ident in list(side.open):
            self.finish(index, ident, "down")
        side.sent.clear()
        side.incarnation = -1 - abs(side.incarnation)

    def start(self, index: int, seed: int, lessons: api.LearnedState | None = None) -> None:
        """Again from nothing, or from lessons on its clock; the list comes as last known, then from discovery."""
        side = self.sides[index]
        side.incarnation = abs(side.incarnation) + 1
        side.balancer = Balancer(settings(len(self.sides), index, **self.changes), seed, self.now_us)
        if lessons is not None:
            side.balancer.recall(self.now_us, lessons)
        self.tell_list(index, api.ListKind.CACHED)
        self.tell_list(index, api.ListKind.FULL)

    def served(self, index: int, from_us: int, to_us: int) -> float:
        """Share of the requests that arrived then (after the stage's start) that were answered within the aim."""
        found = [how for at, _, how in self.sides[index].results if from_us <= at - START_US < to_us]
        return found.count("served") / max(1, len(found))
