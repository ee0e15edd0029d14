"""The sidecar: turns what happens on sockets and timers into events for `Balancer`, and carries out its actions."""

from __future__ import annotations

import asyncio
import re
import resource
from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

from ironscale import interface as api
from ironscale import logs
from ironscale.balance import Balancer
from ironscale.net.client import RETRY_AFTER
from ironscale.net.config import Config, ConfigError, parse_layers, reload_file
from ironscale.net.discovery import Discovery
from ironscale.net.errors import is_transient
from ironscale.net.event_dispatcher import EventDispatcher, RequestHandler
from ironscale.net.exchange import Exchange
from ironscale.net.http_message import HOP_BY_HOP
from ironscale.net.lifecycle import Event, Ledger
from ironscale.net.listing import Listing
from ironscale.net.memory import read_memory
from ironscale.net.periodic import Periodic
from ironscale.net.recent_ids import RecentIds
from ironscale.net.request import Request, parse_load_report
from ironscale.net.request_checks import (
    MAX_ID_LENGTH,
    Rejection,
    key_number,
    matches_effect,
    parse_estimate_us,
    parse_remaining_us,
    subject,
)
from ironscale.net.request_log import RequestLog
from ironscale.net.server import Server
from ironscale.net.start_times import StartTimes
from ironscale.net.timers import Clock, Timer, TimerQueue, wall_clock_us
from ironscale.net.upstream import Upstreams
from ironscale.net.upstream_connection import Answer, Attempt

# Answers are sent this long before the client stops waiting: timers fire up to 2 ms late, the event loop reads a
# request up to 1 ms after it arrived (99 in 100), and an answer takes under 1 ms to reach the client.
ANSWER_MARGIN_US = 8_000
BACKSTOP_DELAY_US = 4_000  # past the deadline, when the balancer's own timers must have fired
RESERVED_SOCKETS = 32  # for standard streams, event loop, discovery and listener
# New connections come for up to 0.4 s after SIGTERM. SIGKILL may come 0.7 s plus the longest deadline (counted as 3 s
# at most) after it: requests that clients would wait for longer are answered before that, even if SIGTERM is handled
# late.
STOP_MIN_ACCEPT_S, STOP_QUIET_PERIOD_S, STOP_MAX_ACCEPT_S = 0.45, 0.2, 0.55
STOP_GRACE_S, STOP_MAX_DEADLINE_S = 0.42, 3.0
STOP_MIN_END_S = 0.6  # with short deadlines: time for the listener to close first
RELOAD_RETRY_S = 0.1
CLOCK_CHECK_INTERVAL_S = 0.5
UPSTREAM_PATTERN = re.compile(r"\bupstream (\d+)")
NOT_FORWARDED = HOP_BY_HOP | {b"x-remaining"}


class RestartRequired(Exception):
    """A valid configuration that the running process can't adopt; the message names the setting that differs."""


def connections_each(sockets: int) -> int:
    """The limit of connections from clients, and likewise to upstreams, for so many sockets in all. The process may be
    limited to fewer descriptors than the settings say; idle clients would then take the last ones, and discovery could
    not be called."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    available = sockets if soft_limit == resource.RLIM_INFINITY else min(sockets, soft_limit)
    return max(1, (available - RESERVED_SOCKETS) // 2)


class Sidecar(EventDispatcher):
    """A running sidecar: its server, upstream connections, discovery and timers around one `Balancer`."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.timers = TimerQueue(self.clock)
        self.starts = StartTimes(wall_clock_us, self.clock.now_us)
        self.clock_checker = Periodic(CLOCK_CHECK_INTERVAL_S, self.check_clock)
        settings = config.settings
        self.classes = {c.name: i for i, c in enumerate(settings.classes)}
        self.tenants = {t.name: i for i, t in enumerate(settings.tenants)}
        super().__init__(Balancer(settings, config.seed, self.clock.now_us()), self.clock.now_us)
        max_connections = connections_each(config.sockets)
        self.upstreams = Upstreams(self.clock.now_us, config.upstream_idle_timeout_us, settings.connect_timeout_us,
                                   max_connections)
        self.ledger = Ledger(self.clock.now_us, self.log)
        self.request_log = RequestLog(config.name, self.clock.now_us)
        self.server = Server(self, max_connections, self.clock.now_us, self.ledger, config.memory_mb)
        self.discovery = Discovery(config.discovery, config.directory, config.last_known_list.generation, self.on_list,
                                   config.discovery_timeout_us / 1e6, self.log, self.balancer.list_call_spread_us() > 0,
                                   config.seed, config.drain_grace_us / 1e6)
        self.requests: dict[int, Request] = {}
        self.by_txn: dict[str, Request] = {}  # by transaction id: those not yet answered
        self.known_txns: set[str] = set()  # of all `requests`
        self.recent_txns = RecentIds(self.clock.now_us())  # of requests that were in `requests`
        self.next_request = 1
        # By index of the class: handles its requests in place of the upstreams.
        self.request_handlers: dict[int, RequestHandler] = {}
        self.reload_retry: asyncio.TimerHandle | None = None  # retries a reload whose file could not be read
        self.has_list = False
        self.discovery_failed = True  # discovery's last call failed, or none has succeeded yet
        self.draining = False
        self.port = 0  # of the listener
        # Answers by (index of the class, "served", "refused" or "failed"), and refusals by their reason.
        self.answers: Counter[tuple[int, str]] = Counter()
        self.refusals: Counter[str] = Counter()
        # Called with each arrival and the size of its body; must return within microseconds and raise nothing.
        self.arrival_observer: Callable[[api.RequestArrived, int], None] | None = None

    async def start(self, reuse_port: bool = False) -> int:
        """Starts to listen, with the upstreams of the configuration until discovery answers; returns the port."""
        self.discovery.record_members(self.config.last_known_list)
        self.on_list(api.ListKind.CACHED, self.config.last_known_list)
        self.port = await self.server.listen(self.config.listen, reuse_port)
        return self.port

    def memory_summary(self) -> str:
        """The memory of the process and of the data of clients, with peaks and limits, in one line."""
        memory = read_memory()
        limit = f"{self.config.memory_mb:g} MB" if self.config.memory_mb else "not known"
        budget = self.server.memory
        return (f"memory {memory.resident_mb:.1f} MB, at most {memory.peak_mb:.1f} MB, limit {limit}; data of clients "
                f"at most {budget.peak_bytes >> 10} of {budget.plan.data_bytes >> 10} KB")

    def reload(self, environ: Mapping[str, str]) -> None:
        """Reads the configuration file again. Only discovery's address can change; the rest needs a restart."""
        if self.reload_retry is not None:
            self.reload_retry.cancel()
            self.reload_retry = None
        if self.server.stopping:
            return
        old = self.config
        try:
            self.config = reload_file(old, environ)
        except ConfigError as error:  # a partly written file must neither end the process nor change a part of it
            self.log(f"reload: the configuration stays as it was: {error}")
            if is_transient(error):  # a transient error while reading: nobody will send the signal again
                self.reload_retry = self.loop.call_later(RELOAD_RETRY_S, self.reload, environ)
            return
        if self.config.layers is not old.layers and self.config.layers.overlay_names_discovery():
            self.log("reload: the file's discovery counts once no overlay names one")
        self.follow_discovery("reload")

    def follow_discovery(self, cause: str) -> None:
        """Moves to the address of discovery in force, if it is another one."""
        address = self.config.discovery
        if address != self.discovery.address:
            self.log(f"{cause}: discovery is at {address[0]}:{address[1]}")
            self.discovery.change_address(address)

    def drain(self, draining: bool) -> None:
        """Starts or ends draining: the readiness probe answers 503, and the balancer refuses new requests."""
        self.draining = draining
        self.notify_all(api.DrainChanged(draining))

    def reconfigure(self, generation: int, overlay: Mapping[str, Any]) -> None:
        """Replaces the overlay of the configuration (a JSON merge patch), all of it or nothing.

        Raises ConfigError if the result is not a valid configuration, and RestartRequired if only a new process can
        run it. It is called between two events, so no request sees a part of the change.
        """
        old = self.config
        new = parse_layers(old.layers.with_overlay(generation, overlay))
        changed_setting = api.restart_only_change(old.settings, new.settings)
        for name in ("name", "listen"):
            if getattr(old, name) != getattr(new, name):
                changed_setting = changed_setting or name
        report_layouts = [
            (c.directory.zones.configured, c.directory.kinds.configured, c.report_fields) for c in (old, new)
        ]
        changed_setting = changed_setting or (
            "areas, kinds or report fields" if report_layouts[0] != report_layouts[1] else "")
        if changed_setting:
            raise RestartRequired(changed_setting)
        # Nothing below can fail, since all values have been checked.
        self.config = new
        max_connections = connections_each(new.sockets)
        self.server.set_limits(max_connections, new.memory_mb)
        self.upstreams.max_open = max_connections
        self.upstreams.set_timeouts(new.upstream_idle_timeout_us, new.settings.connect_timeout_us)
        self.classes = {c.name: i for i, c in enumerate(new.settings.classes)}
        self.tenants = {t.name: i for i, t in enumerate(new.settings.tenants)}
        self.notify_all(api.SettingsChanged(new.settings))
        self.discovery.configure(new.discovery_timeout_us / 1e6, self.balancer.list_call_spread_us() > 0,
                                 new.drain_grace_us / 1e6)
        self.follow_discovery("reconfigure")

    async def stop(self) -> None:
        """Shuts down gracefully; all open requests are answered."""
        longest_s = max(c.deadline_us for c in self.config.settings.classes) / 1e6
        end_s = max(STOP_GRACE_S + min(longest_s, STOP_MAX_DEADLINE_S), STOP_MIN_END_S)
        await self.server.stop(STOP_QUIET_PERIOD_S, STOP_MIN_ACCEPT_S, STOP_MAX_ACCEPT_S, end_s,
                               self.fail_open_requests)
        self.log(f"ended: {self.ledger.summary(self.upstreams.metrics.summary(), self.memory_summary())}")
        self.clock_checker.cancel()
        self.discovery.close()
        self.upstreams.close()

    def check_clock(self) -> None:
        """Records steps of the wall clock; looking between lists from discovery also finds several steps in a row."""
        if self.starts.check_for_step():
            self.log(f"the wall clock has stepped: {self.starts.offsets_us[-1] / 1e6:+.1f} s in all since the start")

    def fail_open_requests(self) -> None:
        """Called as the process ends: all open requests are answered now, and later ones at once."""
        self.notify_all(api.DrainChanged(True, shutting_down=True))
        for request in list(self.by_txn.values()):  # passed from one dispatcher to the next, or lost by a balancer
            self.fail(request.ident)

    # Events

    def is_open(self, ident: int) -> bool:
        request = self.requests.get(ident)
        return request is not None and request.is_open() and request.dispatcher is self

    def is_ready(self) -> bool:
        return self.has_list and not self.draining

    def on_request(self, exchange: Exchange) -> None:
        txn, index = exchange.header(b"x-txn"), self.classes.get(exchange.header(b"x-lane"))
        remaining_us = parse_remaining_us(exchange.header(b"x-remaining"))
        if index is None:
            self.reject(exchange, Rejection.UNKNOWN_CLASS)
            return
        if remaining_us is None:
            self.reject(exchange, Rejection.MALFORMED_REMAINING_TIME)
            return
        rejection = self.why_rejected(exchange, txn, index)
        if rejection is not None:
            self.reject(exchange, rejection)
            return
        exchange.lifecycle.begin(txn, exchange.arrived_us + remaining_us)
        ident = self.next_request
        self.next_request += 1
        # counted from the arrival, or a pipelined request that waited behind another would be answered too late
        request = Request(ident, index, txn, exchange, exchange.arrived_us + remaining_us - ANSWER_MARGIN_US)
        self.requests[ident] = self.by_txn[txn] = request
        self.known_txns.add(txn)
        # answers the request even if the balancer never does
        request.backstop = self.schedule(request.deadline_us + BACKSTOP_DELAY_US, partial(self.fail, ident))
        event = api.RequestArrived(
            ident,
            request.deadline_us,
            index,
            self.tenants.get(exchange.header(b"x-org"), len(self.tenants)),
            key_number(subject(exchange.target)),
            parse_estimate_us(exchange.header(b"x-estimate")),
            exchange.header(b"x-resent") == "1",
            "write=1" in exchange.header(b"x-labels").split(","),
        )
        if self.arrival_observer is not None:
            self.arrival_observer(event, len(exchange.body))
        handler = self.request_handlers.get(index)
        if handler is None:
            request.dispatcher = self
            self.dispatch(event)
        else:
            handler.handle_request(event)

    def why_rejected(self, exchange: Exchange, txn: str, index: int) -> Rejection | None:
        """Why a request of the class must not be accepted; None if it may be."""
        if not 0 < len(txn) <= MAX_ID_LENGTH:
            return Rejection.MALFORMED_ID
        # every request has a new id: upstreams could not tell a repeated one from the first, and might run it again
        if txn in self.known_txns or self.recent_txns.contains(txn, self.clock.now_us()):
            return Rejection.ID_IN_USE
        fits = matches_effect(exchange, self.config.settings.classes[index].effect)
        return None if fits else Rejection.WRONG_METHOD

    def reject(self, exchange: Exchange, rejection: Rejection) -> None:
        """Answers a request that is not sound with status 400, which also ends its connection."""
        self.ledger.note(Event.REJECTED, rejection.value)
        self.request_log.request_rejected(exchange.header(b"x-txn"), exchange.header(b"x-lane"), rejection)
        exchange.keep_alive = False
        exchange.answer(400)

    def on_client_disconnected(self, exchange: Exchange) -> None:
        request = self.by_txn.get(exchange.header(b"x-txn"))
        if request is not None and request.exchange is exchange:
            self.close(request)
            self.notify_abandoned(request)

    def on_list(self, kind: api.ListKind, listing: Listing | None) -> None:
        """Handles a list of upstreams from discovery; None means that the call has failed."""
        if kind is not api.ListKind.CACHED:
            self.discovery_failed = kind is api.ListKind.FAILED
        if listing is None:
            self.dispatch(api.UpstreamsUpdated(kind))
            return
        full = kind is not api.ListKind.DELTA
        self.starts.check_for_step()
        for member in listing.members:
            pool = self.upstreams.pools.get(member.upstream.id)
            self.starts.set_start(member.upstream, pool.member.upstream if pool is not None else None)
        self.has_list = self.has_list or kind is not api.ListKind.CACHED or bool(listing.members)
        members = self.upstreams.resolve_address_conflicts(listing.members, full)
        self.upstreams.apply(members, full)
        self.dispatch(api.UpstreamsUpdated(kind, [m.upstream for m in members], listing.generation))

    def on_attempt_end(self, request: Request, number: int, upstream: int, sent_us: int,
                       timer: Timer | None, outcome: api.Outcome,
                       answer: Answer | None) -> None:
        if timer is not None:
            timer.cancel()
        request.attempts_in_flight -= 1
        request.exchange.lifecycle.attempt_ended(outcome.value, self.name_of(upstream), sent_us,
                                                 request.attempts[number].use)
        self.forget(request)
        forward_to = None
        if outcome is api.Outcome.OK and answer is not None and request.is_open() and request.dispatcher is self:
            if request.forward_to is None:
                self.serve(request, answer)
            else:
                forward_to, request.forward_to, request.dispatcher, request.has_run = (
                    request.forward_to, None, None, True)
        elapsed_us = self.clock.now_us() - sent_us
        report = parse_load_report(answer.headers, self.config.report_fields) if answer is not None else []
        self.dispatch(api.AttemptEnded(request.ident, number, upstream, outcome, elapsed_us, report=report))
        if forward_to is not None:
            forward_to(answer)

    def serve(self, request: Request, answer: Answer) -> None:
        headers = [h for h in answer.headers if h[0] not in HOP_BY_HOP]
        request.exchange.answer(200, headers, answer.body)
        self.answers[request.class_index, "served"] += 1
        self.close(request)

    # Actions

    def execute_action(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self.send(action)
            case api.Refuse():
                self.refusals[action.reason] += 1
                self.set_end_reason(action.request, f"refused: {action.reason}")
                after_us = action.retry_after_us
                headers = [(b"Retry-After", b"%.3f" % (after_us / 1e6))] if after_us > 0 else []
                self.answer(action.request, 503, headers)
            case api.Fail():
                self.set_end_reason(action.request, "failed by the balancer")
                self.answer(action.request, 502, [])
            case api.Cancel():
                request = self.requests.get(action.request)
                if request is not None and action.attempt < len(request.attempts):
                    request.attempts[action.attempt].give_up(api.Outcome.CANCELLED)
            case api.SetTimer():
                self.schedule(action.at_us, partial(self.dispatch, api.TimerFired(action.token)))
            case api.Subscribe():
                if action.active:
                    self.discovery.subscribe()
                else:
                    self.discovery.unsubscribe()
            case api.FetchList():
                self.discovery.fetch()
            case api.CloseIdle():
                self.upstreams.close_idle(action.upstream)
            case api.Log():
                self.log(UPSTREAM_PATTERN.sub(self.upstream_name, action.text))
            case api.Probe():
                self.dispatch(api.ProbeEnded(action.upstream, api.Outcome.NOT_SENT))
            case api.SendToPeer():
                pass  # sidecars may not exchange messages in this environment

    def send(self, action: api.Send) -> None:
        now_us = self.clock.now_us()
        request = self.requests.get(action.request)
        pool = self.upstreams.ready_pool(action.upstream)
        if request is None:
            return
        number = len(request.attempts)
        left_us = request.deadline_us - now_us
        timeout_us = min(action.timeout_us or left_us, left_us)
        timer: Timer | None = None
        until_us = min(request.deadline_us, action.send_before_us or request.deadline_us)
        attempt = Attempt(partial(self.payload, request.exchange, now_us + timeout_us),
                          partial(self.may_start_attempt, request, until_us),
                          lambda *end: self.on_attempt_end(request, number, action.upstream, now_us, timer, *end))
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        attempts_used_up = number >= self.config.settings.max_attempts
        if pool is None or attempts_used_up or timeout_us <= 0 or not attempt.is_wanted():
            attempt.end(api.Outcome.NOT_SENT)
            return
        timer = self.schedule(now_us + timeout_us, partial(attempt.give_up, api.Outcome.TIMEOUT))
        pool.start(attempt)

    def may_start_attempt(self, request: Request, until_us: int) -> bool:
        """Whether an attempt should still be sent. Asked just before its first byte, which may be long after the
        balancer's decision."""
        return self.is_open(request.ident) and self.may_send(request, until_us)

    def may_send(self, request: Request, until_us: int) -> bool:
        """Whether the client still waits for the request. One whose end may be hidden is answered soon instead."""
        exchange = request.exchange
        if not exchange.lifecycle.may_send(self.clock.now_us(), until_us, exchange.client_has_left):
            return False
        if exchange.end_may_be_hidden():
            self.loop.call_soon(self.end_hidden, request)
            return False
        return True

    def end_hidden(self, request: Request) -> None:
        """Answers a request whose client may have left unseen, unless an attempt is out already."""
        if request.attempts_in_flight == 0 and request.is_open():
            request.exchange.lifecycle.end_reason = "the client may have left behind unread bytes"
            was_sent = request.exchange.lifecycle.sends > 0
            self.answer(request.ident, 502 if was_sent else 503, [] if was_sent else [*RETRY_AFTER])
            self.notify_abandoned(request)

    def payload(self, exchange: Exchange, give_up_us: int) -> bytes:
        """The request as it is sent to an upstream, with the time that remains now; counts the attempt as begun."""
        remaining_us = max(0, give_up_us - self.clock.now_us())
        exchange.lifecycle.attempt_begun(remaining_us)
        parts = [b"%s %s HTTP/1.1\r\n" % (exchange.method, exchange.target)]
        parts += [b"%s: %s\r\n" % h for h in exchange.headers if h[0] not in NOT_FORWARDED]
        parts.append(b"x-remaining: %du\r\n" % remaining_us)
        if exchange.body or exchange.method not in (b"GET", b"HEAD"):
            parts.append(b"content-length: %d\r\n" % len(exchange.body))
        parts.append(b"\r\n")
        parts.append(exchange.body)
        return b"".join(parts)

    def answer(self, ident: int, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        request = self.requests.get(ident)
        if request is not None and request.is_open():
            if status == 503 and request.has_run:  # a refusal would promise the client that a retry is harmless
                status, headers = 502, []
            request.exchange.answer(status, headers)
            self.answers[request.class_index, "refused" if status == 503 else "failed"] += 1
            self.close(request)

    def set_end_reason(self, ident: int, reason: str) -> None:
        """Notes for the log why the request is about to be refused or failed."""
        request = self.requests.get(ident)
        if request is not None and request.is_open():
            request.exchange.lifecycle.end_reason = reason

    def fail(self, ident: int) -> None:
        """Answers 502 to a request that the balancer has left without an answer, even if an upstream has run it."""
        request = self.requests.get(ident)
        if request is not None and request.is_open():
            self.log(f"request {ident}: the balancer gave no answer; it fails with status 502")
            self.set_end_reason(ident, "the balancer gave no answer")
            self.answer(ident, 502, [])
            self.notify_abandoned(request)

    def notify_abandoned(self, request: Request) -> None:
        """Tells every balancer that decides or has decided on the request that it no longer needs an answer."""
        handler = self.request_handlers.get(request.class_index)
        self.dispatch(api.RequestAbandoned(request.ident))
        if handler is not None:
            handler.request_abandoned(request.ident)

    def notify_all(self, event: api.DrainChanged | api.SettingsChanged) -> None:
        """Passes an event to this balancer and to all request handlers."""
        self.dispatch(event)
        for handler in dict.fromkeys(self.request_handlers.values()):
            handler.notify(event)

    def close(self, request: Request) -> None:
        """Called once the request is answered or cancelled. It stays in `requests` while attempts are in flight,
        because they may still be cancelled."""
        if self.by_txn.get(request.txn) is request:
            del self.by_txn[request.txn]
        if request.backstop is not None:
            request.backstop.cancel()
        for attempt in request.attempts:
            attempt.cancel_unless_written()
        self.forget(request)

    def forget(self, request: Request) -> None:
        """Drops the request if it is over and no attempt is in flight."""
        if request.attempts_in_flight == 0 and not request.is_open():
            known = self.requests.pop(request.ident, None)
            if known is not None:
                self.known_txns.discard(request.txn)
                self.recent_txns.add(request.txn, self.clock.now_us())
                self.request_log.request_over(request.exchange.lifecycle, self.class_name(request.class_index))

    def schedule(self, at_us: int, callback: Callable[[], None]) -> Timer:
        return self.timers.schedule(at_us, callback)

    def class_name(self, index: int) -> str:
        classes = self.config.settings.classes
        return classes[index].name if index < len(classes) else str(index)

    def name_of(self, upstream_id: int) -> str:
        """The name of the upstream in discovery; its number if it has left the list."""
        pool = self.upstreams.pools.get(upstream_id)
        return pool.member.name if pool is not None else str(upstream_id)

    def upstream_name(self, found: re.Match[str]) -> str:
        """Replaces the number by which the balancer knows an upstream with its name in discovery."""
        pool = self.upstreams.pools.get(int(found[1]))
        return f"upstream {pool.member.name}" if pool else found[0]

    def log(self, text: str) -> None:
        logs.write_line(f"{self.config.name}: {text}")
