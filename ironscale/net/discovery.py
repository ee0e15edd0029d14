"""Client of the discovery service: keeps one watch open for the changes of its list of upstreams."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from typing import Any, cast

import httptools

from ironscale.interface import ListKind, UpstreamState
from ironscale.net import discovery_schedule
from ironscale.net.jsonstream import BlankLine, JsonStream
from ironscale.net.listing import Listing, ListParser, Member
from ironscale.net.older_lists import OlderLists

LIST_PATH = "/registry/instances"
CONNECT_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_S = discovery_schedule.SILENCE_TIMEOUT_S
MOVE_RETRY_S = 0.25
INTERIM_STATUSES = frozenset((100, *range(102, 200)))  # 101 would change the protocol
MAX_INTERIM_ANSWERS = 16
LATE_ANSWER_TIMEOUT_S = 60.0  # how long the oldest unanswered call stays open in parallel with later ones
# A discovery service whose generation stays lower than ours for this long has restarted its numbering; one that merely
# lags has caught up by then.
MAX_LAG_S = 3.0
UNNAMED_LAG_SHARE = 0.6  # of the grace of a drain


OnList = Callable[[ListKind, Listing | None], None]


class Discovery:
    """Carries out the actions `Subscribe` and `FetchList`. The end of a watch is reported as `FAILED`, and a new watch
    is opened: as soon as the balancer asks for it, and no later than the time that `discovery_schedule`
    computes. If many sidecars share a discovery service, it is opened at that time and not before."""

    def __init__(self, address: tuple[str, int], parser: ListParser, generation: int, on_list: OnList,
                 first_data_timeout_s: float, log: Callable[[str], None], is_shared: bool = False,
                 seed: int = 0, drain_grace_s: float = math.inf) -> None:
        self.address = address
        self.log = log
        self.silent_calls = 0  # consecutive calls that timed out before their first data
        self.parser = parser
        self.generation = generation  # of the list that was last passed to `on_list`
        self.on_list = on_list
        self.random = random.Random(seed)
        self.last_heard_s: float | None = None  # when a watch last received data; None before the first time
        self.calls_begun = 0  # calls begun since then
        self.last_begun_s = 0.0  # when the last call began
        self.next_call_timer: asyncio.TimerHandle | None = None  # timer that begins the next call
        self.late_calls: dict[_Call, None] = {}  # unanswered calls that began before `watch`, oldest first
        self.watch: _Call | None = None
        self.successor: _Call | None = None  # the watch at a new address, until its first data arrives
        self.move_timer: asyncio.TimerHandle | None = None
        self.fetches: set[_Call] = set()
        self.members: dict[str, Member] = {}  # the latest list, by name
        self.wants_whole_list = False  # changes alone would not show what has become of upstreams
        self.lagging_since_s: float | None = None  # since when lists have been older than ours, over all calls
        self.lag_timers: list[asyncio.TimerHandle] = []
        self.configure(first_data_timeout_s, is_shared, drain_grace_s)

    def configure(self, first_data_timeout_s: float, is_shared: bool, drain_grace_s: float) -> None:
        """Replaces what follows from the settings; calls and lists that have come before keep what held for them."""
        self.first_data_timeout_s = first_data_timeout_s  # time to wait for the first data of a call
        self.is_shared = is_shared  # many sidecars use this service, so calls are spread over time
        self.unnamed_lag_s = drain_grace_s * UNNAMED_LAG_SHARE  # see `leave_out_unnamed`

    def subscribe(self) -> None:
        if self.watch is None:
            if self.next_call_timer is None or not self.is_shared:
                self.open_watch()
        elif self.watch.has_answered:
            # the open watch already delivers every change, so the list is up to date
            self.on_list(ListKind.DELTA, Listing(self.generation, False))
        # otherwise the pending call will report: discovery would handle a second one only after it

    def open_watch(self) -> None:
        """Begins a new watch call. A pending one continues in parallel until its timeout."""
        if self.watch is not None:
            self.late_calls[self.watch] = None
        self.watch = self.new_watch_call()
        self.record_begin(self.watch)

    def record_begin(self, call: _Call) -> None:
        """Records the begin of a call, and schedules another to begin in parallel if this one receives no data."""
        self.calls_begun += 1
        self.last_begun_s = call.begun_s
        self.schedule_watch(discovery_schedule.parallel_start_s(
            self.last_heard_s, self.calls_begun, self.last_begun_s, self.random.random()))

    def schedule_watch(self, at_s: float | None) -> None:
        """Schedules the next call, in place of the one scheduled so far; None only cancels that."""
        if self.next_call_timer is not None:
            self.next_call_timer.cancel()
        self.next_call_timer = None if at_s is None else asyncio.get_running_loop().call_at(at_s, self.open_watch)

    def new_watch_call(self, max_first_data_s: float = math.inf) -> _Call:
        after = 0 if self.wants_whole_list else self.generation
        return _Call(self, f"{LIST_PATH}?watch=1&after={after}", max_first_data_s)

    def unsubscribe(self) -> None:
        self.cancel_successor()
        self.schedule_watch(None)
        while self.late_calls:
            self.late_calls.popitem()[0].close()
        if self.watch is not None:
            watch, self.watch = self.watch, None
            watch.close()

    def change_address(self, address: tuple[str, int]) -> None:
        """Switches to a new address. The watch at the old one stays open until the new one has answered."""
        if address != self.address:
            self.address = address
            self.cancel_successor()
            if self.watch is None:  # don't wait: the balancer's backoff was for the old address
                self.open_watch()
            self.open_successor()

    def open_successor(self) -> None:
        if self.watch is not None and self.watch.address != self.address and self.successor is None:
            # without parallel calls
            self.successor = self.new_watch_call(discovery_schedule.MAX_CALL_GAP_S - MOVE_RETRY_S)

    def cancel_successor(self) -> None:
        if self.move_timer is not None:
            self.move_timer.cancel()
        if self.successor is not None:
            successor, self.successor = self.successor, None
            successor.close()

    def fetch(self) -> None:
        self.fetches.add(_Call(self, LIST_PATH))

    def close(self) -> None:
        self.unsubscribe()
        self.end_lag()
        while self.fetches:
            self.fetches.pop().close()

    def current_timeout_s(self) -> float:
        """Returns how long a call may wait for its first data. It doubles after a timeout: otherwise a discovery
        service that is slower than expected would never be heard."""
        return self.first_data_timeout_s * (2 if self.silent_calls else 1)

    def handle_value(self, call: _Call, value: Any | BlankLine) -> None:
        """Handles one list or heartbeat that a call has received."""
        if not isinstance(value, BlankLine):
            listing = self.parser.parse(value)
        elif call.has_answered and not call.is_lagging():
            return
        else:  # a heartbeat: nothing has changed since our list
            listing = Listing(-1 if call.is_lagging() else self.generation, False)
        is_first = not call.has_answered
        call.has_answered, self.silent_calls = True, 0
        if call is self.successor or call in self.late_calls:
            self.late_calls.pop(call, None)
            if self.watch is not None:
                self.watch.close()
            self.watch = call
            if call is self.successor:
                self.successor = None
        if is_first and call is self.watch:
            self.handle_first_data()
        if call is not self.watch and (not listing.full or listing.generation < self.generation):
            return  # a fetched list that is older than what the watch has delivered
        if listing.generation < self.generation or (call.is_lagging() and not listing.full):
            self.handle_older_list(call, listing)
            return
        call.lagging_since_s = None
        self.end_lag()
        self.record_members(listing)
        self.generation = listing.generation
        self.on_list(ListKind.FULL if listing.full else ListKind.DELTA, listing)

    def handle_older_list(self, call: _Call, listing: Listing) -> None:
        """Handles a list that is older than ours, or a change that follows such lists. A discovery replica that lags
        would make drained upstreams ready again; if discovery has restarted its numbering, what its lists take out of
        use is valid."""
        if listing.generation >= self.generation:
            # the replica has caught up, or a new numbering has passed ours: a whole list is right in both cases
            self.report_changes(call.older_lists.apply(listing, self.members))
            self.wants_whole_list = True
            call.finish()
        elif self.is_lag_tolerated(call, listing):
            self.report_changes(call.older_lists.apply(listing, self.members))
        else:
            self.accept_restart(call)

    def report_changes(self, members: list[Member]) -> None:
        """Reports what changes while our own list stays the one that is believed."""
        self.on_list(ListKind.DELTA, Listing(self.generation, False, members))

    def handle_first_data(self) -> None:
        """The watch has received its first data: cancels the calls that were begun to replace it."""
        self.calls_begun = 0
        self.schedule_watch(None)
        while self.late_calls:
            self.late_calls.popitem()[0].close()
        self.open_successor()  # the answer may come from an address that was replaced since the call began

    def record_members(self, listing: Listing) -> None:
        """Keeps who is on the latest list, for when a later one leaves somebody out."""
        if listing.full:
            self.members = {}
            self.wants_whole_list = False
        for member in listing.members:
            self.members[member.name] = member
            if member.upstream.state is UpstreamState.GONE:
                del self.members[member.name]

    def is_lag_tolerated(self, call: _Call, listing: Listing) -> bool:
        """Whether discovery may still be lagging, rather than be a new process that has restarted its numbering."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        if not call.is_lagging():
            call.lagging_since_s = now_s
        if self.lagging_since_s is None:
            self.lagging_since_s = now_s
            self.lag_timers.append(loop.call_later(MAX_LAG_S, self.accept_restart_of_watch))
        if listing.full and self.unnamed_lag_s < MAX_LAG_S:
            self.lag_timers.append(loop.call_later(self.unnamed_lag_s, self.leave_out_unnamed, call.older_lists))
        return now_s - self.lagging_since_s < MAX_LAG_S

    def leave_out_unnamed(self, older_lists: OlderLists) -> None:
        """Stops sending to upstreams that an older whole list, and the changes since, don't name: if discovery has
        restarted its numbering they are gone, and nothing may be sent to them once the grace of a drain is over."""
        unnamed = older_lists.unnamed(self.members)
        if unnamed:
            self.report_changes(unnamed)

    def accept_restart(self, call: _Call) -> None:
        """Discovery has restarted its numbering: makes the next watch begin with the full list."""
        self.generation = 0
        self.end_lag()
        call.finish()

    def accept_restart_of_watch(self) -> None:
        if self.watch is not None and self.watch.is_lagging():
            self.accept_restart(self.watch)

    def end_lag(self) -> None:
        """The lists are no longer older than ours, or count as current."""
        self.lagging_since_s = None
        while self.lag_timers:
            self.lag_timers.pop().cancel()

    def keeps_open(self, call: _Call) -> bool:
        """Whether a call whose first data is late stays open. If it were closed, it would lose its place in the queue
        of a discovery service that handles calls one after another, which may process it nevertheless: when 200
        sidecars all gave up in this way, none of them was ever answered."""
        if call is self.watch and not self.late_calls and self.successor is None:
            self.late_calls[call], self.watch = None, None
            self.handle_failure()
            return True
        return call is next(iter(self.late_calls), None)

    def handle_failure(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self.schedule_watch(discovery_schedule.start_after_end_s(
            now_s, self.last_heard_s, self.calls_begun, self.last_begun_s, self.random.random()))
        self.on_list(ListKind.FAILED, None)

    def handle_end(self, call: _Call) -> None:
        """Handles the end of a call."""
        if call is self.successor:
            self.successor = None
            self.move_timer = asyncio.get_running_loop().call_later(MOVE_RETRY_S, self.open_successor)
            return
        if call in self.late_calls:
            del self.late_calls[call]
            return  # a later call has begun and will report its answer or its end
        if call is self.watch:
            if call.has_answered:
                self.last_heard_s = call.last_data_s
            self.watch, self.successor = self.successor, None
            if self.watch is not None:
                self.record_begin(self.watch)
                return  # it will report its answer or its end
            self.handle_failure()
            return
        if call in self.fetches:
            self.fetches.discard(call)
            if call.has_answered:
                return
        else:
            return
        self.on_list(ListKind.FAILED, None)


class _Call(asyncio.Protocol):
    """One HTTP call to discovery, from the connect to the end of the response."""

    def __init__(self, discovery: Discovery, target: str, max_first_data_s: float = math.inf) -> None:
        self.discovery = discovery
        self.max_first_data_s = max_first_data_s  # upper limit on the wait for its first data
        self.address = discovery.address
        self.has_answered = False
        self.is_interim = False  # the answer being read is not the final one
        self.interim_answers = 0
        self.lagging_since_s: float | None = None  # since when its lists have been older than ours, if they are
        self.older_lists = OlderLists()  # what it has told meanwhile
        self.is_closed = False
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.stream = JsonStream()
        self.request = (f"GET {target} HTTP/1.1\r\nHost: {self.address[0]}:{self.address[1]}\r\n"
                        "Accept: application/json\r\n\r\n").encode()
        loop = asyncio.get_running_loop()
        self.begun_s = self.last_data_s = loop.time()  # when the last data arrived; until then, the begin
        self.silence_timer = loop.call_later(min(discovery.current_timeout_s(), max_first_data_s), self.handle_silence)
        self.task = loop.create_task(self.connect())

    def is_lagging(self) -> bool:
        """Whether its lists have been older than ours."""
        return self.lagging_since_s is not None

    async def connect(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: self, *self.address)
        except (OSError, TimeoutError):
            self.finish()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses
        if self.is_closed:
            transport.abort()
        else:
            transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        if self.is_closed:
            return
        # any data shows that the connection works; a lost connection can only be noticed by the lack of data
        self.silence_timer.cancel()
        loop, limit_s = asyncio.get_running_loop(), SILENCE_TIMEOUT_S
        if not self.has_answered:
            limit_s = min(self.discovery.current_timeout_s(), self.max_first_data_s)
        self.last_data_s = loop.time()
        self.silence_timer = loop.call_later(limit_s, self.handle_silence)
        had_answered = self.has_answered
        try:
            assert self.parser is not None
            self.parser.feed_data(data)
            if self.has_answered and not had_answered and not self.is_closed:
                # from now on only heartbeats are due
                self.silence_timer.cancel()
                self.silence_timer = loop.call_later(SILENCE_TIMEOUT_S, self.handle_silence)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # exceptions of callbacks are wrapped in HttpParserError
            self.discovery.log(f"discovery at {self.address[0]}:{self.address[1]}: {error.__context__ or error}")
            self.finish()

    def on_headers_complete(self) -> None:
        assert self.parser is not None
        status = self.parser.get_status_code()
        self.is_interim = status in INTERIM_STATUSES  # the final answer follows
        self.interim_answers += self.is_interim
        if (status != 200 and not self.is_interim) or self.interim_answers > MAX_INTERIM_ANSWERS:
            self.finish()

    def on_body(self, data: bytes) -> None:
        if self.is_closed:
            return
        for value in self.stream.feed(data):
            self.discovery.handle_value(self, value)
            if self.is_closed:
                return

    def on_message_complete(self) -> None:
        if self.is_interim:
            return
        if not self.is_closed and not self.stream.is_between_values:
            raise ValueError("the response ended in the middle of a list")
        self.finish()

    def handle_silence(self) -> None:
        """Handles the timeout of a call that has received no data."""
        self.discovery.silent_calls += not self.has_answered
        if (not self.has_answered and self.last_data_s == self.begun_s and self.transport is not None
                and self.discovery.keeps_open(self)):
            self.silence_timer = asyncio.get_running_loop().call_later(LATE_ANSWER_TIMEOUT_S, self.finish)
        else:
            self.finish()

    def connection_lost(self, exc: Exception | None) -> None:
        self.finish()
        self.parser = None  # breaks a reference cycle that only the garbage collector would free

    def close(self) -> None:
        self.is_closed = True
        self.silence_timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        elif self.task is not asyncio.current_task():
            self.task.cancel()

    def finish(self) -> None:
        """Ends the call, because the response ended, failed or timed out. Reports the end once."""
        if not self.is_closed:
            self.close()
            self.discovery.handle_end(self)
