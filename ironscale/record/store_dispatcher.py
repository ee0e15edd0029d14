"""Writes requests of the configured classes to stores of record instead of sending them to upstreams, or in addition.

Each store has its own load balancer with its own slots, buffer and refusals, so a stalled store closes only its own
slots and affects no other destination. The balancer sees a store as a few equivalent upstreams (paths), so that an
attempt that never ran can be retried through the slot of another path.
"""

from __future__ import annotations

import asyncio
import re
import secrets
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from functools import partial

from ironscale import interface as api
from ironscale.balance import Balancer
from ironscale.net.event_dispatcher import EventDispatcher
from ironscale.net.request import Request
from ironscale.net.sidecar import Sidecar
from ironscale.net.timers import Timer
from ironscale.net.upstream_connection import Answer
from ironscale.record import model, routes
from ironscale.record.model import Cause
from ironscale.record.recorder import AttemptHandle, Recorder
from ironscale.record.write_attempt import Attempt, AttemptOutcome

MIN_PATHS = 2
UPSTREAM_IN_LOG = re.compile(r"\bupstream (\d+)")  # how the balancer's log lines name a path
JSON = [(b"content-type", b"application/json")]
CONFLICT = b'{"error":"CONFLICT","message":"this %s was used before for another request; nothing was written"}\n'
# The outcome reported to the balancer for an attempt that never ran
OUTCOME_OF_CAUSE = {
    Cause.UNREACHABLE: api.Outcome.CONNECT_FAILED, Cause.BROKEN: api.Outcome.CONNECT_FAILED,
    Cause.TURNED_AWAY: api.Outcome.FULL, Cause.RETRY: api.Outcome.FULL, Cause.TIMEOUT: api.Outcome.FULL,
    Cause.UNUSABLE: api.Outcome.FULL, None: api.Outcome.FULL}


def store_settings(settings: api.Settings) -> api.Settings:
    """The balancer settings for a store. All its paths form one deduplication group: a repeat through another path is
    dropped if the first one ran. A deduplicated request that may have run is not refused, even if its repeats are
    refused, as a refusal states that nothing was written."""
    return replace(
        settings, list_on_request=False, list_by_watch=False, ask_within_us=0, probes=False, weighted=False,
        report_names=[], hedging=False, cold_share=1.0, warm_up_us=0, cross_zone_fee=0.0,
        classes=[replace(c, group="cell") if c.effect == "deduplicated" else c for c in settings.classes])


@dataclass(slots=True)
class AttemptInFlight:
    """An attempt in flight."""

    number: int
    path: int
    sent_us: int
    handle: AttemptHandle | None = None
    timer: Timer | None = None
    outcome: api.Outcome | None = None  # set when the attempt is given up


class StoreDispatcher(EventDispatcher):
    """The dispatcher of one store: carries out the actions of its balancer as write attempts on that store."""

    def __init__(self, host: Sidecar, name: str, recorder: Recorder) -> None:
        settings = store_settings(host.config.settings)
        super().__init__(Balancer(settings, secrets.randbits(32), host.clock.now_us()), host.clock.now_us)
        self.host, self.name, self.recorder = host, name, recorder
        self.in_flight: dict[tuple[int, int], AttemptInFlight] = {}  # by request and attempt number
        self.attempt_counts: dict[int, int] = {}  # attempts so far of each open request
        paths = max(MIN_PATHS, settings.max_attempts)
        self.dispatch(api.UpstreamsUpdated(api.ListKind.FULL, [api.Upstream(i, zone=settings.zone)
                                                           for i in range(1, paths + 1)]))

    def is_open(self, ident: int) -> bool:
        request = self.host.requests.get(ident)
        return request is not None and request.is_open() and request.dispatcher is self

    def fail(self, ident: int) -> None:
        self.host.fail(ident)

    def log(self, text: str) -> None:
        self.host.log(UPSTREAM_IN_LOG.sub(rf"store {self.name} path \1", text))

    def execute_action(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self.send(action)
            case api.Refuse() | api.Fail():
                self.attempt_counts.pop(action.request, None)
                self.host.execute_action(action)
            case api.Cancel():
                attempt = self.in_flight.get((action.request, action.attempt))
                if attempt is not None:
                    self.give_up(attempt, api.Outcome.CANCELLED)
            case api.SetTimer():
                self.host.schedule(action.at_us, partial(self.dispatch, api.TimerFired(action.token)))
            case api.Log():
                self.log(action.text)
            case _:
                pass  # stores have no discovery, no probes and no peers

    def send(self, action: api.Send) -> None:
        now_us = self.now_us()
        number = self.attempt_counts.get(action.request, 0)
        request = self.host.requests.get(action.request)
        if request is None or not self.is_open(action.request) or not self.may_write(request):
            self.dispatch(api.AttemptEnded(action.request, number, action.upstream, api.Outcome.NOT_SENT))
            return
        self.attempt_counts[action.request] = number + 1
        left_us = request.deadline_us - now_us
        timeout_us = min(action.timeout_us or left_us, left_us)
        request.exchange.lifecycle.attempt_begun(max(0, timeout_us))
        attempt = self.in_flight[action.request, number] = AttemptInFlight(number, action.upstream, now_us)
        request.attempts_in_flight += 1
        deadline = self.recorder.loop.time() + timeout_us / 1e6
        attempt.timer = self.host.schedule(now_us + max(0, timeout_us),
                                           partial(self.give_up, attempt, api.Outcome.TIMEOUT))
        attempt.handle = self.recorder.write(self.entry(request), deadline, partial(self.on_result, request, attempt))

    def may_write(self, request: Request) -> bool:
        return self.host.may_send(request, request.deadline_us)

    def entry(self, request: Request) -> model.Entry:
        exchange, kind = request.exchange, self.host.config.settings.classes[request.class_index]
        tenant, key = exchange.header(b"x-org"), exchange.header(b"idempotency-key")
        target = exchange.target.decode("latin-1")
        attempt = model.attempt_name(time.time_ns() // 1_000_000, secrets.token_bytes(10))
        keyed = kind.effect == "deduplicated"
        slot = model.slot_of(kind.effect, kind.name, tenant, key, request.txn)
        return model.Entry(
            attempt, slot, request.txn, kind.name, tenant, key, kind.effect, target, exchange.body,
            model.fingerprint(target, exchange.body),
            model.answer_of(request.txn, kind.name), max(1, kind.dedup_memory_us // 1000) if keyed else 0)

    def give_up(self, attempt: AttemptInFlight, outcome: api.Outcome) -> None:
        if attempt.handle is not None and attempt.handle.on_result is not None:
            attempt.outcome = outcome
            attempt.handle.give_up()

    def on_result(self, request: Request, attempt: AttemptInFlight, state: Attempt) -> None:
        """Ends an attempt, whatever its outcome."""
        if attempt.timer is not None:
            attempt.timer.cancel()
        del self.in_flight[request.ident, attempt.number]
        request.attempts_in_flight -= 1
        forward_to = None
        if state.outcome in (AttemptOutcome.RAN, AttemptOutcome.CONFLICT):
            outcome = api.Outcome.OK
            if self.is_open(request.ident):
                if state.outcome is AttemptOutcome.RAN and request.forward_to is not None:
                    forward_to, request.forward_to, request.dispatcher, request.has_run = (
                        request.forward_to, None, None, True)
                elif state.outcome is AttemptOutcome.RAN and request.upstream_answer is not None:
                    self.host.serve(request, request.upstream_answer)
                elif state.outcome is AttemptOutcome.RAN:
                    request.exchange.answer(200, JSON, state.answer)
                elif request.has_run:  # an upstream has run the request, but the store cannot accept it
                    request.exchange.answer(502)
                else:  # the store's answer is final: a retry would get the same conflict
                    keyed = b"key" if request.exchange.header(b"idempotency-key") else b"id"
                    request.exchange.answer(422, JSON, CONFLICT % keyed)
                if forward_to is None and request.upstream_answer is None:
                    self.host.answers[request.class_index, "served"] += 1
                if forward_to is None:
                    self.host.close(request)
        elif state.outcome is AttemptOutcome.NEVER_RAN:
            outcome = OUTCOME_OF_CAUSE[state.cause]
        else:
            outcome = attempt.outcome or api.Outcome.TIMEOUT
        self.host.forget(request)
        if not self.is_open(request.ident):
            self.attempt_counts.pop(request.ident, None)
        self.dispatch(api.AttemptEnded(
            request.ident, attempt.number, attempt.path, outcome, self.now_us() - attempt.sent_us))
        if forward_to is not None:
            forward_to(None)


class StoreRequestHandler:
    """The request handler of the classes with a store: chooses the store of each request and manages all stores."""

    def __init__(self, host: Sidecar, by: str, recorders: Sequence[Recorder], upstreams: str = "none") -> None:
        self.host, self.by, self.upstreams = host, by, upstreams
        self.names = [recorder.name for recorder in recorders]
        self.dispatchers = [StoreDispatcher(host, recorder.name, recorder) for recorder in recorders]

    def handle_request(self, event: api.RequestArrived) -> None:
        request = self.host.requests[event.request]
        exchange = request.exchange
        tenant, key = exchange.header(b"x-org"), exchange.header(b"idempotency-key")
        if len(key) > model.MAX_KEY_CHARS or "\0" in tenant + key + request.txn or b"\0" in exchange.target:
            self.host.answer(event.request, 400, [])
            return
        routing_key = routes.routing_key(self.by, tenant, key, request.txn)
        dispatcher = self.dispatchers[routes.choose_store(self.names, routing_key)]

        def to_upstream(answer: Answer | None) -> None:
            request.dispatcher = self.host
            self.host.dispatch(replace(event))

        def to_store(answer: Answer | None) -> None:
            request.dispatcher, request.upstream_answer = dispatcher, answer
            dispatcher.dispatch(replace(event))

        if self.upstreams == "first":
            request.forward_to = to_store
            to_upstream(None)
        else:
            request.forward_to = to_upstream if self.upstreams == "last" else None
            to_store(None)

    def request_abandoned(self, ident: int) -> None:
        for dispatcher in self.dispatchers:  # dispatchers that do not know the request ignore it
            dispatcher.attempt_counts.pop(ident, None)
            dispatcher.dispatch(api.RequestAbandoned(ident))

    def notify(self, event: api.DrainChanged | api.SettingsChanged) -> None:
        if isinstance(event, api.SettingsChanged):
            event = api.SettingsChanged(store_settings(event.settings))
        for dispatcher in self.dispatchers:
            dispatcher.dispatch(event)

    async def close(self, wait_s: float) -> None:
        async with asyncio.TaskGroup() as group:
            for dispatcher in self.dispatchers:
                group.create_task(dispatcher.recorder.close(wait_s))
