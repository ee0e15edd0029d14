"""The sidecar: owns clock, timers and `Balancer`; sockets' happenings in, actions out, in order."""

from __future__ import annotations

import asyncio
import gc
import heapq
import math
import re
import resource
import signal
import time
from collections import Counter
from collections.abc import Callable, Mapping
from contextlib import AbstractAsyncContextManager, nullcontext
from functools import lru_cache, partial
from hashlib import blake2b
from typing import Any
from urllib.parse import parse_qs

from ironscale import interface as api
from ironscale import logs
from ironscale.balance import Balancer
from ironscale.net.client import HOP_BY_HOP, Exchange, Headers
from ironscale.net.config import Config, ConfigError, apply_merge_patch, load, parse
from ironscale.net.discovery import Discovery, Listing
from ironscale.net.errors import passes
from ironscale.net.lane import EventDispatcher, RequestHandler
from ironscale.net.lifecycle import Ledger
from ironscale.net.periodic import Periodic
from ironscale.net.server import Server
from ironscale.net.signals import Signals
from ironscale.net.starts import StartTimes
from ironscale.net.upstream import Answer, Attempt, Upstreams

# Answers leave this long before the client stops waiting. Measured: timers fire up to 2 ms late, the
# loop reads a request up to 1 ms after it came (99 in 100), an answer takes under 1 ms to the client.
MARGIN_US = 8_000
BACKSTOP_US = 4_000  # past due: the decisions' own timers have surely come by then
SPARE_SOCKETS = 32  # standard streams, event loop, discovery, listener
# New connections come for up to 0.4 s after SIGTERM. SIGKILL comes as early as 0.7 s and the longest deadline (3 s at
# most) after it: what clients would wait for longer has its answer by then, also where SIGTERM is heard late.
STOP_LEAST_S, STOP_QUIET_S, STOP_MOST_S = 0.45, 0.2, 0.55
STOP_END_S, STOP_DEADLINE_S = 0.42, 3.0
STOP_LEAST_END_S = 0.6  # with short deadlines: the listener has closed by then
RELOAD_AGAIN_S = 0.1
CLOCK_LOOK_S = 0.5
ENDING = (signal.SIGTERM, signal.SIGINT)
UPSTREAM = re.compile(r"\bupstream (\d+)")
REMAINING = re.compile(r"(\d{1,10}(?:\.\d{1,6})?)([mu])", re.ASCII)
UNITS_US = {"m": 1000.0, "u": 1.0}
MOST_REMAINING_US = 3_600_000_000  # no client waits for longer
MAX_ID = 256
NOT_PASSED = HOP_BY_HOP | {b"x-remaining"}
LEAST_CANCELLED = 1_000  # timers that are kept until their time, at least
# The collector walks new objects after so many more were made than freed: ours hold no cycles, and a walk each 700
# took 3 % of the CPU.
YOUNG = 10_000


class Clock:
    """Microseconds of Unix time at the start, moving forward as the monotonic clock does."""

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        return (time.monotonic_ns() + self.offset_ns) // 1000


def wall_clock_us() -> int:
    """Unix time; it may step."""
    return time.time_ns() // 1000


class Timer:
    """Acts once, never before its time."""

    __slots__ = ("callback", "at_us", "timers")

    def __init__(self, timers: TimerQueue, at_us: int, act: Callable[[], None]) -> None:
        self.timers, self.at_us = timers, at_us
        self.callback: Callable[[], None] | None = act  # None: it has acted, or was cancelled

    def cancel(self) -> None:
        if self.callback is not None:
            self.callback = None
            self.timers.cancelled += 1


class TimerQueue:
    """All timers of a sidecar behind one of the event loop's: most are cancelled long before their time, and the
    loop's own cost some microseconds to make and to cancel."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.heap: list[tuple[int, int, Timer]] = []
        self.turn = 0
        self.cancelled = 0  # of those in the heap
        self.armed_us = 0  # what the loop's timer is set to; 0 = to nothing
        self.handle: asyncio.TimerHandle | None = None

    def schedule(self, at_us: int, act: Callable[[], None]) -> Timer:
        timer = Timer(self, at_us, act)
        self.turn += 1
        heapq.heappush(self.heap, (at_us, self.turn, timer))
        if not self.armed_us or at_us < self.armed_us:
            self.arm()
        # hazard: with deadlines of an hour the cancelled ones would fill the memory
        if self.cancelled > LEAST_CANCELLED and 2 * self.cancelled > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].callback is not None]
            heapq.heapify(self.heap)
            self.cancelled = 0
        return timer

    def arm(self) -> None:
        if self.handle is not None:
            self.handle.cancel()
        heap, self.armed_us, self.handle = self.heap, 0, None
        while heap and heap[0][2].callback is None:
            heapq.heappop(heap)
            self.cancelled = max(0, self.cancelled - 1)
        if heap:
            self.armed_us = heap[0][0]
            left_ms = max(0, self.armed_us - self.clock.now_us()) // 1000 + 1
            self.handle = self.loop.call_later(left_ms / 1000, self.fire)

    def fire(self) -> None:
        # hazard: the loop counts in coarse milliseconds and fires early; the decisions would take that for a stale
        # timer and wait for ever for the one that they have set: so only those are run whose time has come
        self.handle, heap = None, self.heap
        now_us = self.clock.now_us()
        due: list[Timer] = []
        while heap and heap[0][0] <= now_us:
            due.append(heapq.heappop(heap)[2])
        for timer in due:
            act, timer.callback = timer.callback, None
            if act is None:  # cancelled, before or by one of these
                self.cancelled = max(0, self.cancelled - 1)
                continue
            try:
                act()
            except Exception as error:  # one must not keep the others from acting
                self.loop.call_exception_handler({"message": "a timer failed", "exception": error})
        self.arm()


class RestartRequired(Exception):
    """A configuration that is valid, but that only a new process can take on; the text says what of it."""


class Request:
    """A taken request, until it is answered and all its attempts have ended."""

    def __init__(self, ident: int, index: int, txn: str, exchange: Exchange, due_us: int) -> None:
        self.ident = ident
        self.class_index = index  # of its class
        self.txn = txn
        self.exchange = exchange
        self.deadline_us = due_us
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0
        self.backstop: Timer | None = None
        self.dispatcher: EventDispatcher | None = None  # whose balancer decides on it now
        self.has_run = False  # something of it has run, and is told to no balancer that follows: it is refused no more
        self.forward_to: Callable[[Answer | None], None] | None = None  # where it goes once this lane has served it
        self.upstream_answer: Answer | None = None  # an upstream's answer that waits for what follows

    def is_open(self) -> bool:
        return not self.exchange.lifecycle.is_over


@lru_cache(1024)  # most requests of a class say the same; 2 us else
def parse_remaining_us(text: str) -> int | None:
    """`480m` or `480000u`, in microseconds."""
    found = REMAINING.fullmatch(text)
    remaining_us = int(float(found[1]) * UNITS_US[found[2]]) if found else None
    return remaining_us if remaining_us is not None and remaining_us <= MOST_REMAINING_US else None


def parse_load_report(headers: Headers, fields: list[str]) -> list[float]:
    """The load report of an answer in the settings' order; one that can't be read counts as none."""
    if not fields:
        return []
    text = dict(headers).get(b"x-pressure", b"").decode("latin-1")
    pairs = dict(part.split("=", 1) for part in text.split(",") if "=" in part)
    try:
        report = [float(pairs[name]) for name in fields]
    except (KeyError, ValueError):
        return []
    return report if all(math.isfinite(value) for value in report) else []


def subject(target: bytes) -> str:
    """The query's first `sid`; empty if there is none."""
    query = target.partition(b"?")[2]
    if query.startswith(b"sid=") and query[4:].isalnum():  # as most stand: parse_qs takes 4 us
        return query[4:].decode("ascii")
    return parse_qs(query.decode("latin-1")).get("sid", [""])[0] if b"sid" in query or b"%" in query else ""


def key_number(key: str) -> int:
    return int.from_bytes(blake2b(key.encode(), digest_size=8).digest()) if key else 0


def connections_each(sockets: int) -> int:
    """Most connections of clients, and as many of upstreams, with so many descriptors. Hazard: the system may give
    fewer than the settings allow; idle clients would take the last of them, and discovery could not be called."""
    most, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    given = sockets if most == resource.RLIM_INFINITY else min(sockets, most)
    return max(1, (given - SPARE_SOCKETS) // 2)


class Sidecar(EventDispatcher):
    def __init__(self, config: Config, environ: Mapping[str, str] | None = None) -> None:
        self.config = config
        self.environ = environ or {}
        self.base = config.document
        self.loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.timers = TimerQueue(self.clock)
        self.starts = StartTimes(wall_clock_us, self.clock.now_us)
        self.clock_watch = Periodic(CLOCK_LOOK_S, self.watch_clock)
        settings = config.settings
        self.classes = {c.name: i for i, c in enumerate(settings.classes)}
        self.tenants = {t.name: i for i, t in enumerate(settings.tenants)}
        super().__init__(Balancer(settings, config.seed, self.clock.now_us()), self.clock.now_us)
        half = connections_each(config.sockets)
        self.upstreams = Upstreams(self.clock.now_us, config.upstream_idle_timeout_us, settings.connect_timeout_us,
                                   half)
        self.ledger = Ledger(self.clock.now_us, self.log)
        self.server = Server(self, half, self.clock.now_us, self.ledger)
        self.discovery = Discovery(config.discovery, config.directory, config.last_known_list.generation, self.on_list,
                                   config.discovery_timeout_us / 1e6, self.log, self.balancer.list_turn_us() > 0,
                                   config.seed)
        self.requests: dict[int, Request] = {}
        self.by_txn: dict[str, Request] = {}  # those not yet answered
        self.next_request = 1
        # By index of the class: where its requests go in place of the upstreams.
        self.request_handlers: dict[int, RequestHandler] = {}
        self.reload_again: asyncio.TimerHandle | None = None  # after one that could not read its file
        self.has_list = False
        self.discovery_failed = True  # from discovery: its last word was a failure, or there was none yet
        self.draining = False
        self.port = 0  # that it listens on
        self.generation = config.generation  # of the configuration that runs; 0 = the file alone
        self.overlay = config.overlay
        # Answers by (index of the class, what it was: served, refused, failed), and refusals by their reason.
        self.answers: Counter[tuple[int, str]] = Counter()
        self.refusals: Counter[str] = Counter()
        # Who watches arrivals, given each with the size of its body: some microseconds, and never an error.
        self.arrival_observer: Callable[[api.RequestArrived, int], None] | None = None

    async def start(self, reuse_port: bool = False) -> int:
        """Listen, with the list as last known; gives the port."""
        self.on_list(api.ListKind.CACHED, self.config.last_known_list)
        self.port = await self.server.listen(self.config.listen, reuse_port)
        return self.port

    def reload(self, environ: Mapping[str, str]) -> None:
        """Read the configuration again. Discovery's address can change; the rest needs a restart."""
        if self.reload_again is not None:
            self.reload_again.cancel()
            self.reload_again = None
        if self.server.stopping:
            return
        try:
            config = load(environ)
        except ConfigError as error:  # hazard: half a file must not end or half change what runs
            self.log(f"reload: the configuration stays as it was: {error}")
            if passes(error):  # the file is there, and nobody signals again
                self.reload_again = self.loop.call_later(RELOAD_AGAIN_S, self.reload, environ)
            return
        address, before = config.file_discovery, self.config.file_discovery
        self.config.file_discovery = address
        if address is not None and address != before:
            self.base = {**self.base, "discovery": config.document["discovery"]}
            self.log(f"reload: discovery is at {address[0]}:{address[1]}")
            self.discovery.move(address)

    def drain(self, draining: bool) -> None:
        """Out of service, or back: readiness says 503 and the decisions refuse what is new."""
        self.draining = draining
        self.notify_all(api.DrainChanged(draining))

    def reconfigure(self, generation: int, overlay: Mapping[str, Any]) -> None:
        """Runs the file's configuration with `overlay` (a JSON merge patch) on it: all of it, or nothing.

        Raises ConfigError if that is no valid configuration, NeedsRestart if only a new process can run it.
        Called between two events, so no request sees half of it.
        """
        base, old = self.base, self.config
        new = parse(apply_merge_patch(base, overlay), self.environ)
        fixed = api.restart_only_change(old.settings, new.settings)
        for name in ("name", "listen"):
            if getattr(old, name) != getattr(new, name):
                fixed = fixed or name
        places = [(c.directory.zones.listed, c.directory.kinds.listed, c.report_fields) for c in (old, new)]
        fixed = fixed or ("areas, kinds or report fields" if places[0] != places[1] else "")
        if fixed:
            raise RestartRequired(fixed)
        # Nothing below can fail: each takes on a value that has been checked.
        self.config, self.generation, self.overlay = new, generation, overlay
        half = connections_each(new.sockets)
        self.server.most = self.upstreams.most = half
        self.upstreams.set_times(new.upstream_idle_timeout_us, new.settings.connect_timeout_us)
        self.classes = {c.name: i for i, c in enumerate(new.settings.classes)}
        self.tenants = {t.name: i for i, t in enumerate(new.settings.tenants)}
        self.notify_all(api.SettingsChanged(new.settings))
        if new.file_discovery is not None and new.file_discovery != old.file_discovery:
            self.discovery.move(new.file_discovery)  # as at a reload: the environment counts at the start

    async def stop(self) -> None:
        longest_s = max(c.deadline_us for c in self.config.settings.classes) / 1e6
        end_s = max(STOP_END_S + min(longest_s, STOP_DEADLINE_S), STOP_LEAST_END_S)
        await self.server.stop(STOP_QUIET_S, STOP_LEAST_S, STOP_MOST_S, end_s, self.fail_open_requests)
        self.log(f"ended: {self.ledger.summary()}")
        self.clock_watch.cancel()
        self.discovery.close()
        self.upstreams.close()

    def watch_clock(self) -> None:
        """Notes steps of the wall clock, also two between two lists."""
        if self.starts.look():
            self.log(f"the wall clock is {self.starts.ahead_us[-1] / 1e6:+.1f} s off its course since the start")

    def fail_open_requests(self) -> None:
        """The process ends: each open request has its one answer now, and so has what comes yet."""
        self.notify_all(api.DrainChanged(True, shutting_down=True))
        for request in list(self.by_txn.values()):  # between two lanes, or lost by the decisions
            self.fail(request.ident)

    # Events in

    def is_open(self, ident: int) -> bool:
        request = self.requests.get(ident)
        return request is not None and request.is_open() and request.dispatcher is self

    def is_ready(self) -> bool:
        return self.has_list and not self.draining

    def on_request(self, exchange: Exchange) -> None:
        txn, index = exchange.header(b"x-txn"), self.classes.get(exchange.header(b"x-lane"))
        remaining_us = parse_remaining_us(exchange.header(b"x-remaining"))
        # hazard: two open requests of one id could not be told apart by what they do or how they end
        known = 0 < len(txn) <= MAX_ID and txn not in self.by_txn
        if index is None or remaining_us is None or not known or not self.agrees(exchange, index):
            exchange.keep_alive = False
            exchange.answer(400)
            return
        exchange.lifecycle.begin(txn, exchange.arrived_us + remaining_us)
        ident = self.next_request
        self.next_request += 1
        # hazard: counted from later, a request that waited behind another would be answered too late
        request = Request(ident, index, txn, exchange, exchange.arrived_us + remaining_us - MARGIN_US)
        self.requests[ident] = self.by_txn[txn] = request
        # hazard: an answer must come even if the decisions lose the request
        request.backstop = self.schedule(request.deadline_us + BACKSTOP_US, partial(self.fail, ident))
        estimate = exchange.header(b"x-estimate")
        event = api.RequestArrived(
            ident,
            request.deadline_us,
            index,
            self.tenants.get(exchange.header(b"x-org"), len(self.tenants)),
            key_number(subject(exchange.target)),
            int(estimate) if estimate.isdecimal() else 0,
            exchange.header(b"x-resent") == "1",
            "write=1" in exchange.header(b"x-labels").split(","),
        )
        if self.arrival_observer is not None:
            self.arrival_observer(event, len(exchange.body))
        front = self.request_handlers.get(index)
        if front is None:
            request.dispatcher = self
            self.dispatch(event)
        else:
            front.handle_request(event)

    def agrees(self, exchange: Exchange, index: int) -> bool:
        """Whether method, body and key are as the class wants them: else who knows if it may be repeated."""
        effect = self.config.settings.classes[index].effect
        keys = [value for name, value in exchange.headers if name == b"idempotency-key"]
        if effect == "idempotent":
            return exchange.method == b"GET" and not exchange.body and not keys
        keyed = len(keys) == 1 and bool(keys[0])
        return exchange.method == b"POST" and (keyed if effect == "deduplicated" else not keys)

    def on_client_disconnected(self, exchange: Exchange) -> None:
        request = self.by_txn.get(exchange.header(b"x-txn"))
        if request is not None and request.exchange is exchange:
            self.close(request)
            self.notify_abandoned(request)

    def on_list(self, kind: api.ListKind, listing: Listing | None) -> None:
        if kind is not api.ListKind.CACHED:
            self.discovery_failed = kind is api.ListKind.FAILED
        if listing is None:
            self.dispatch(api.UpstreamsUpdated(kind))
            return
        full = kind is not api.ListKind.DELTA
        self.starts.look()
        for member in listing.members:
            pool = self.upstreams.pools.get(member.upstream.id)
            self.starts.place(member.upstream, pool.member.upstream if pool is not None else None)
        self.has_list = self.has_list or kind is not api.ListKind.CACHED or bool(listing.members)
        members = self.upstreams.settle_addresses(listing.members, full)
        self.upstreams.apply(members, full)
        self.dispatch(api.UpstreamsUpdated(kind, [m.upstream for m in members], listing.generation))

    def on_attempt_end(self, request: Request, number: int, upstream: int, sent_us: int,
                       timer: Timer | None, outcome: api.Outcome,
                       answer: Answer | None) -> None:
        if timer is not None:
            timer.cancel()
        request.attempts_in_flight -= 1
        request.exchange.lifecycle.attempt_ended(outcome.value)
        self.forget(request)
        onward = None
        if outcome is api.Outcome.OK and answer is not None and request.is_open() and request.dispatcher is self:
            if request.forward_to is None:
                self.serve(request, answer)
            else:
                onward, request.forward_to, request.dispatcher, request.has_run = request.forward_to, None, None, True
        elapsed_us = self.clock.now_us() - sent_us
        report = parse_load_report(answer.headers, self.config.report_fields) if answer is not None else []
        self.dispatch(api.AttemptEnded(request.ident, number, upstream, outcome, elapsed_us, report=report))
        if onward is not None:
            onward(answer)

    def serve(self, request: Request, answer: Answer) -> None:
        headers = [h for h in answer.headers if h[0] not in HOP_BY_HOP]
        request.exchange.answer(200, headers, answer.body)
        self.answers[request.class_index, "served"] += 1
        self.close(request)

    # Actions out

    def execute_action(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self.send(action)
            case api.Refuse():
                self.refusals[action.reason] += 1
                after_us = action.retry_after_us
                headers = [(b"Retry-After", b"%.3f" % (after_us / 1e6))] if after_us > 0 else []
                self.answer(action.request, 503, headers)
            case api.Fail():
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
                self.log(UPSTREAM.sub(self.upstream_name, action.text))
            case api.Probe():
                self.dispatch(api.ProbeEnded(action.upstream, api.Outcome.NOT_SENT))
            case api.SendToPeer():
                pass  # peers may not be told anything where this runs

    def send(self, action: api.Send) -> None:
        now_us = self.clock.now_us()
        request = self.requests.get(action.request)
        pool = self.upstreams.ready(action.upstream)
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
        over = number >= self.config.settings.max_attempts
        if pool is None or over or timeout_us <= 0 or not attempt.wanted():
            attempt.end(api.Outcome.NOT_SENT)
            return
        timer = self.schedule(now_us + timeout_us, partial(attempt.give_up, api.Outcome.TIMEOUT))
        pool.start(attempt)

    def may_start_attempt(self, request: Request, until_us: int) -> bool:
        """Asked just before the first byte of an attempt leaves, which may be long after it was decided."""
        exchange = request.exchange
        return (self.is_open(request.ident)
                and exchange.lifecycle.may_send(self.clock.now_us(), until_us, exchange.has_left))

    def payload(self, exchange: Exchange, give_up_us: int) -> bytes:
        """What is written now, as an attempt begins."""
        told_us = max(0, give_up_us - self.clock.now_us())
        exchange.lifecycle.sent(told_us)
        parts = [b"%s %s HTTP/1.1\r\n" % (exchange.method, exchange.target)]
        parts += [b"%s: %s\r\n" % h for h in exchange.headers if h[0] not in NOT_PASSED]
        parts.append(b"x-remaining: %du\r\n" % told_us)
        if exchange.body or exchange.method not in (b"GET", b"HEAD"):
            parts.append(b"content-length: %d\r\n" % len(exchange.body))
        parts.append(b"\r\n")
        parts.append(exchange.body)
        return b"".join(parts)

    def answer(self, ident: int, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        request = self.requests.get(ident)
        if request is not None and request.is_open():
            if status == 503 and request.has_run:  # hazard: a refusal promises that trying again is harmless
                status, headers = 502, []
            request.exchange.answer(status, headers)
            self.answers[request.class_index, "refused" if status == 503 else "failed"] += 1
            self.close(request)

    def fail(self, ident: int) -> None:
        """The decisions gave no answer: the request has failed, whatever ran."""
        request = self.requests.get(ident)
        if request is not None and request.is_open():
            self.log(f"request {ident} was left without an answer")
            self.answer(ident, 502, [])
            self.notify_abandoned(request)

    def notify_abandoned(self, request: Request) -> None:
        """Whoever decides on it, or did, hears that no answer is owed any more."""
        front = self.request_handlers.get(request.class_index)
        self.dispatch(api.RequestAbandoned(request.ident))
        if front is not None:
            front.request_abandoned(request.ident)

    def notify_all(self, event: api.DrainChanged | api.SettingsChanged) -> None:
        self.dispatch(event)
        for front in dict.fromkeys(self.request_handlers.values()):
            front.notify(event)

    def close(self, request: Request) -> None:
        """The request is over; attempts still out keep it known, as they may yet be cancelled."""
        if self.by_txn.get(request.txn) is request:
            del self.by_txn[request.txn]
        if request.backstop is not None:
            request.backstop.cancel()
        for attempt in request.attempts:
            attempt.withdraw()
        self.forget(request)

    def forget(self, request: Request) -> None:
        if request.attempts_in_flight == 0 and not request.is_open():
            self.requests.pop(request.ident, None)

    def schedule(self, at_us: int, act: Callable[[], None]) -> Timer:
        return self.timers.schedule(at_us, act)

    def upstream_name(self, found: re.Match[str]) -> str:
        """The decisions know numbers; people know discovery's names."""
        pool = self.upstreams.pools.get(int(found[1]))
        return f"upstream {pool.member.name}" if pool else found[0]

    def log(self, text: str) -> None:
        logs.write_line(f"{self.config.name}: {text}")


# What a subsystem runs beside a started sidecar: given the sidecar and what ends the process.
Extension = Callable[[Sidecar, Callable[[], None]], AbstractAsyncContextManager[None]]


class StartFailed(Exception):
    """Nothing has been taken yet; the cause says what failed."""


async def serve(environ: Mapping[str, str], extension: Extension | None = None,
                reuse_port: bool = False) -> None:
    """One sidecar from its start to its end by a signal, or by `beside`. Raises StartFailed until it listens."""
    stopped = asyncio.Event()
    running: list[Sidecar] = []

    def reload() -> None:
        for one in running:
            one.reload(environ)

    try:
        signals = Signals()
    except OSError as error:
        raise StartFailed from error
    for number in ENDING:
        signals.on(number, stopped.set)
    # hazard: the file that is read next may be replaced as it is being read, and nobody would hear of it
    signals.on(signal.SIGHUP, reload)
    try:
        sidecar = Sidecar(load(environ), environ)
        running.append(sidecar)
        await sidecar.start(reuse_port)
    except (OSError, ConfigError) as error:
        for number in ENDING:
            signal.signal(number, signal.SIG_DFL)  # between two starts there is nothing to lose
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        signals.close()
        raise StartFailed from error
    gc.collect()
    gc.freeze()  # what is here stays: the collector need not walk it again
    gc.set_threshold(YOUNG, *gc.get_threshold()[1:])
    async with extension(sidecar, stopped.set) if extension is not None else nullcontext():
        await stopped.wait()
        await sidecar.stop()
    for number in (*ENDING, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)  # it ends well, however often it is told to
    signals.close()
