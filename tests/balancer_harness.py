"""A stand-in for the sidecar around a Balancer: carries out its actions and checks that they keep the rules.

It simulates no upstreams: tests say what happens and when. Every action is checked against the four rules that
ironscale/balance.py lists, by records kept here rather than by the balancer's own state.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ironscale.balance import Balancer
from ironscale.interface import (
    Action,
    AttemptEnded,
    Cancel,
    Event,
    Fail,
    FetchList,
    ListKind,
    Outcome,
    Probe,
    Refuse,
    RequestAbandoned,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    StreamStarted,
    Subscribe,
    TimerFired,
    Upstream,
    UpstreamState,
    UpstreamsUpdated,
)

NEVER_RAN = {Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT}
START_US = 1_000_000_000


def classes() -> list[RequestClass]:
    return [
        RequestClass("read", aim_us=300_000, deadline_us=1_500_000, effect="idempotent", late_worth=0.3),
        RequestClass("pay", aim_us=300_000, deadline_us=600_000, worth=5, effect="at_most_once"),
        RequestClass("mark", aim_us=400_000, deadline_us=2_000_000, worth=3, effect="deduplicated",
                     group="cell", dedup_memory_us=1_200_000),
    ]


def settings(**changes: object) -> Settings:
    values: dict[str, object] = {
        "classes": classes(), "instances": 3, "tick_us": 4000, "max_attempts": 4, "cancel": True,
        "max_retry_after_us": 1_000_000, "connect_timeout_us": 150_000, "hedging": True,
        "cold_share": 0.2, "warm_up_us": 20_000_000, "overload_factor": 2.5, "fall_us": 1_000_000,
    }
    values.update(changes)
    return Settings(**values)  # type: ignore[arg-type]


def upstreams(count: int, **changes: Any) -> list[Upstream]:
    """`count` ready upstreams with the ids 100, 101 ...; each zone and each cell has two."""
    return [Upstream(100 + i, zone=i // 2, cell=i // 2, **changes) for i in range(count)]


@dataclass
class SentAttempt:
    """One attempt that the balancer has sent."""

    upstream: int
    zone: int
    cell: int
    sent_us: int
    ends_us: int
    outcome: Outcome | None = None


@dataclass
class RequestState:
    """A request, its attempts and how many final answers it has got."""

    event: RequestArrived
    attempts: list[SentAttempt] = field(default_factory=list)
    answers: int = 0
    closed: bool = False
    stream: bool = False

    def may_have_run(self) -> list[SentAttempt]:
        return [t for t in self.attempts if t.outcome not in NEVER_RAN]

    def outstanding(self) -> list[int]:
        return [n for n, t in enumerate(self.attempts) if t.outcome is None]


class World:
    """One balancer, the upstream list that it was told, its requests and a clock that tests move."""

    def __init__(self, config: Settings | None = None, seed: int = 7) -> None:
        self.settings = config or settings()
        self.now_us = START_US
        self.balancer = Balancer(self.settings, seed, self.now_us)
        self.requests: dict[int, RequestState] = {}
        self.listed: dict[int, Upstream] = {}
        self.unavailable_since_us: dict[int, int] = {}  # upstreams listed as draining or gone, and since when
        self.timers: list[tuple[int, int]] = []
        self.log: list[Action] = []
        self.next_id = 1

    # Events

    def deliver(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now_us, event)
        for action in actions:
            self.check(action)
        self.log.extend(actions)
        return actions

    def deliver_list(self, entries: list[Upstream], kind: ListKind = ListKind.FULL) -> list[Action]:
        for entry in entries:
            self.listed[entry.id] = entry
            if entry.state is UpstreamState.READY:
                self.unavailable_since_us.pop(entry.id, None)
            else:
                self.unavailable_since_us.setdefault(entry.id, self.now_us)
        if kind in (ListKind.FULL, ListKind.CACHED):
            for ident in self.listed.keys() - {e.id for e in entries}:
                self.unavailable_since_us.setdefault(ident, self.now_us)
        return self.deliver(UpstreamsUpdated(kind, entries))

    def new_request(self, class_index: int = 0, patience_us: int | None = None, **fields: Any) -> int:
        request_id = self.next_id
        self.next_id += 1
        patience = patience_us or self.settings.classes[class_index].deadline_us
        event = RequestArrived(request_id, self.now_us + patience, class_index, **fields)
        self.requests[request_id] = RequestState(event)
        self.deliver(event)
        return request_id

    def end_attempt(self, request: int, attempt: int, outcome: Outcome, **fields: list[float]) -> list[Action]:
        state = self.requests[request]
        ended = state.attempts[attempt]
        assert ended.outcome is None
        ended.outcome = outcome
        if (outcome is Outcome.OK or state.stream) and not state.closed:
            state.closed = True
            state.answers += 1
        return self.deliver(AttemptEnded(request, attempt, ended.upstream, outcome, self.now_us - ended.sent_us,
                                         state.closed, **fields))

    def begin_stream(self, request: int, attempt: int) -> None:
        self.requests[request].stream = True
        self.deliver(StreamStarted(request, attempt, self.requests[request].attempts[attempt].upstream))

    def client_quits(self, request: int) -> None:
        self.requests[request].closed = True
        self.requests[request].answers = 1
        self.deliver(RequestAbandoned(request))

    def advance(self, by_us: int) -> None:
        """Moves the clock; timers fire and attempts time out at their times on the way."""
        end_us = self.now_us + by_us
        while True:
            due = [(at, 1, token, 0) for at, token in self.timers]
            due += [(t.ends_us, 0, request_id, n) for request_id, state in self.requests.items() if not state.stream
                    for n, t in enumerate(state.attempts) if t.outcome is None]
            due = [d for d in due if d[0] <= end_us]
            if not due:
                break
            at, kind, first, second = min(due)
            self.now_us = max(self.now_us, at)
            if kind == 0:
                self.end_attempt(first, second, Outcome.TIMEOUT)
            else:
                self.timers.remove((at, first))
                self.deliver(TimerFired(first))
        self.now_us = end_us
        slack_us = 4 * self.settings.tick_us
        for request_id, state in self.requests.items():
            overdue = self.now_us > state.event.deadline_us + slack_us and not state.stream
            assert not overdue or state.answers == 1, f"rule 1: request {request_id} is unanswered after its due time"

    # Checks

    def check(self, action: Action) -> None:
        if isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Refuse | Fail):
            self.check_answer(action)
        elif isinstance(action, Cancel):
            assert self.settings.cancel, "cancelled an attempt although the settings forbid that"
            assert action.attempt < len(self.requests[action.request].attempts), "cancelled an attempt never sent"
        elif isinstance(action, SetTimer):
            assert action.at_us >= self.now_us
            self.timers.append((action.at_us, action.token))
        elif isinstance(action, Probe):
            assert self.settings.probes, "sent a probe although the settings forbid that"
        else:
            assert not isinstance(action, Subscribe | FetchList) or self.settings.list_on_request

    def check_send(self, send: Send) -> None:
        state = self.requests[send.request]
        entry = self.listed[send.upstream]
        request_class = self.settings.classes[state.event.class_index]
        assert not state.closed, "rule 1: a send after the final answer"
        assert len(state.attempts) < self.settings.max_attempts, "more attempts than allowed"
        assert send.upstream not in self.unavailable_since_us, "rule 3: a send to a draining or gone upstream"
        assert self.settings.hedging or not state.outstanding(), "rule 2: two attempts outstanding together"
        for earlier in state.may_have_run():
            assert request_class.effect != "at_most_once", "rule 2: an unsafe request sent again"
            if request_class.effect == "deduplicated":
                assert self.now_us - earlier.sent_us <= request_class.dedup_memory_us, (
                    "rule 2: a repeat past its memory"
                )
                assert request_class.group != "cell" or entry.cell == earlier.cell, "rule 2: a repeat in another cell"
                assert request_class.group != "zone" or entry.zone == earlier.zone, "rule 2: a repeat in another zone"
        ends_us = state.event.deadline_us
        if send.timeout_us:
            ends_us = min(ends_us, self.now_us + send.timeout_us)
        state.attempts.append(SentAttempt(send.upstream, entry.zone, entry.cell, self.now_us, ends_us))

    def check_answer(self, answer: Refuse | Fail) -> None:
        state = self.requests[answer.request]
        request_class = self.settings.classes[state.event.class_index]
        assert not state.closed, "rule 1: a second answer"
        state.closed = True
        state.answers += 1
        if isinstance(answer, Refuse):
            assert answer.retry_after_us <= self.settings.max_retry_after_us
            harmless = (request_class.effect == "idempotent"
                        or (request_class.effect == "deduplicated" and request_class.group == "all"))
            assert harmless or not state.may_have_run(), "rule 2: a refusal of a request that may have run"

    # Queries for tests

    def sends(self, request: int | None = None) -> list[Send]:
        return [a for a in self.log if isinstance(a, Send) and request in (None, a.request)]

    def answer(self, request: int) -> Action | None:
        for action in self.log:
            if isinstance(action, Refuse | Fail) and action.request == request:
                return action
        return None
