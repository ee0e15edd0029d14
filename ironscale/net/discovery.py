"""Discovery: reads its lists and keeps one watch on their changes."""

from __future__ import annotations

import asyncio
import hashlib
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

import httptools

from ironscale.interface import ListKind, Upstream, UpstreamState
from ironscale.net import discovery_schedule
from ironscale.net.jsonstream import Blank, JsonStream

PATH = "/registry/instances"
CONNECT_S = 2.0
SILENCE_S = discovery_schedule.SILENCE_S
MOVE_AGAIN_S = 0.25
KEPT_S = 60.0  # that the oldest call may wait for its turn beside those begun later
# A discovery that stays behind our list for this long has begun to count anew; one that lags has caught up.
BEHIND_S = 3.0
_STATES = {state.value: state for state in UpstreamState}


class ListError(Exception):
    """A list that cannot be read."""


@dataclass(slots=True)
class Member:
    """One entry: what the decisions see of it, and where it listens."""

    upstream: Upstream
    address: tuple[str, int]
    name: str


@dataclass(slots=True)
class Listing:
    generation: int
    full: bool
    members: list[Member] = field(default_factory=list)


def upstream_id(name: str) -> int:
    """A number made from `instanceId` alone: the same at every sidecar and after every restart.

    The hash in front spreads the ids evenly; the name itself follows, so that two names never
    share a number, whatever their hashes. (The first byte keeps zeros behind it from being lost.)
    """
    raw = name.encode()
    return int.from_bytes(b"\1" + hashlib.blake2b(raw, digest_size=8).digest() + raw)


class Names:
    """Indexes into the settings' list, and beyond it for names that only discovery knows. Hazard: two unknown zones
    that share an index would be one to the rule that keeps repeats of a request within its zone."""

    def __init__(self, names: list[str]) -> None:
        self.listed = {name: index for index, name in enumerate(names)}
        self.others: dict[str, int] = {}

    def index(self, name: object) -> int:
        text = str(name or "")
        found = self.listed.get(text)
        return self.others.setdefault(text, len(self.listed) + len(self.others)) if found is None else found


class Directory:
    """Reads discovery's JSON; zones and machine types become indexes into the settings' lists."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.zones, self.kinds = Names(zones), Names(kinds)

    def read(self, data: Any) -> Listing:
        members: list[Member] = []
        try:
            for entry in data["instances"]:
                members.append(self._member(entry))
            return Listing(int(data["generation"]), bool(data.get("reset", False)), members)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ListError(f"a list that is malformed, after {len(members)} instances: "
                            f"{type(error).__name__}: {error}") from error

    def _member(self, entry: dict[str, Any]) -> Member:
        name = str(entry["instanceId"])
        host, _, port = str(entry["hostPort"]).rpartition(":")
        weight = entry.get("weight")
        weight = 1.0 if weight is None else float(weight)  # nothing and null say the same, here and below
        if not math.isfinite(weight):
            raise ValueError(f"weight {weight}")
        upstream = Upstream(
            id=upstream_id(name),
            state=_STATES[entry["lifecycle"]],
            zone=self.zones.index(entry.get("zone")),
            kind=self.kinds.index(entry.get("machineType")),
            cell=int(entry.get("cell") or 0),
            weight=weight,
            started_us=int(entry.get("startedAtMs") or 0) * 1000,
        )
        return Member(upstream, (host, int(port)), name)


OnList = Callable[[ListKind, Listing | None], None]


class Discovery:
    """Carries out `Subscribe` and `FetchList`. A watch that ends is told as `FAILED` and opened anew: as soon as the
    decisions ask for it, and without them no later than `discovery_schedule` says; where many share a discovery,
    then and no sooner."""

    def __init__(self, address: tuple[str, int], directory: Directory, generation: int, on_list: OnList,
                 answer_s: float, log: Callable[[str], None], shared: bool = False, seed: int = 0) -> None:
        self.address = address
        self.answer_s = answer_s  # a call that has no answer by then will have none
        self.log = log
        self.unanswered = 0  # calls in a row that have fallen silent before their first word
        self.directory = directory
        self.generation = generation  # of the list as told to `on_list`
        self.on_list = on_list
        self.shared = shared  # by many sidecars: calls are made in turns
        self.random = random.Random(seed)
        self.heard_s: float | None = None  # the last word of a watch; None before the first
        self.begun = 0  # calls since then
        self.last_s = 0.0  # when the last one began
        self.again: asyncio.TimerHandle | None = None  # begins the next one
        self.waiting: dict[_Call, None] = {}  # begun before `watch`, still without a word, which may come; oldest first
        self.watch: _Call | None = None
        self.successor: _Call | None = None  # the watch at a new address, until it has answered
        self.mover: asyncio.TimerHandle | None = None
        self.fetches: set[_Call] = set()

    def subscribe(self) -> None:
        if self.watch is None:
            if self.again is None or not self.shared:
                self.open()
        elif self.watch.answered:
            # the watch already tells every change: nothing is missing
            self.on_list(ListKind.DELTA, Listing(self.generation, False))
        # else the call that is out will be the answer: a second one would wait behind it

    def open(self) -> None:
        """A new call; one that is out already goes on beside it, as long as its patience lasts."""
        if self.watch is not None:
            self.waiting[self.watch] = None
        self.watch = self.call_watch()
        self.has_begun(self.watch)

    def has_begun(self, call: _Call) -> None:
        """The next one begins beside it if it stays without a word."""
        self.begun += 1
        self.last_s = call.began_s
        self.open_at(discovery_schedule.beside_s(self.heard_s, self.begun, self.last_s, self.random.random()))

    def open_at(self, at_s: float | None) -> None:
        if self.again is not None:
            self.again.cancel()
        self.again = None if at_s is None else asyncio.get_running_loop().call_at(at_s, self.open)

    def call_watch(self, most_s: float = math.inf) -> _Call:
        return _Call(self, f"{PATH}?watch=1&after={self.generation}", most_s)

    def unsubscribe(self) -> None:
        self.stop_moving()
        self.open_at(None)
        while self.waiting:
            self.waiting.popitem()[0].close()
        if self.watch is not None:
            watch, self.watch = self.watch, None
            watch.close()

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is there now; the watch at the old address serves until the new one has answered."""
        if address != self.address:
            self.address = address
            self.stop_moving()
            if self.watch is None:  # hazard: the decisions' back-off is for the old address; the new one counts soon
                self.open()
            self.start_moving()

    def start_moving(self) -> None:
        if self.watch is not None and self.watch.address != self.address and self.successor is None:
            self.successor = self.call_watch(discovery_schedule.SPAN_S - MOVE_AGAIN_S)  # none begins beside it

    def stop_moving(self) -> None:
        if self.mover is not None:
            self.mover.cancel()
        if self.successor is not None:
            successor, self.successor = self.successor, None
            successor.close()

    def fetch(self) -> None:
        self.fetches.add(_Call(self, PATH))

    def close(self) -> None:
        self.unsubscribe()
        while self.fetches:
            self.fetches.pop().close()

    def patience_s(self) -> float:
        """For a call's first word. Hazard: a discovery that needs longer than thought would never be heard."""
        return self.answer_s * (2 if self.unanswered else 1)

    def told(self, call: _Call, value: Any | Blank) -> None:
        if not isinstance(value, Blank):
            listing = self.directory.read(value)
        elif call.answered and call.behind_since_s is None:
            return
        else:  # alive, and nothing has changed since our list
            listing = Listing(self.generation if call.behind_since_s is None else -1, False)
        is_first = not call.answered
        call.answered, self.unanswered = True, 0
        if call is self.successor or call in self.waiting:
            self.waiting.pop(call, None)
            if self.watch is not None:
                self.watch.close()
            self.watch = call
            if call is self.successor:
                self.successor = None
        if is_first and call is self.watch:
            self.has_word()
        if call is not self.watch and (not listing.full or listing.generation < self.generation):
            return  # a fetched list that a watch has overtaken
        if listing.generation < self.generation:
            # hazard: a discovery that lags behind the last one would make drained upstreams ready again
            if not self.may_lag(call):
                self.generation = 0  # the next watch is told the whole list
                call.end()
                return
            # hazard: one that counts anew tells drains too, and they count at once; heeded in vain, an upstream is
            # left out until its next word
            heeded = [m for m in listing.members
                      if m.upstream.state is UpstreamState.DRAINING or m.name in call.heeded]
            call.heeded.update(member.name for member in heeded)
            listing = Listing(self.generation, False, heeded)
        else:
            call.behind_since_s = None
        self.generation = listing.generation
        self.on_list(ListKind.FULL if listing.full else ListKind.DELTA, listing)

    def has_word(self) -> None:
        """The watch tells: what else was begun in its place is not needed."""
        self.begun = 0
        self.open_at(None)
        while self.waiting:
            self.waiting.popitem()[0].close()
        self.start_moving()  # an older call may have been answered at an address that has moved since

    def may_lag(self, call: _Call) -> bool:
        now_s = asyncio.get_running_loop().time()
        if call.behind_since_s is None:
            call.behind_since_s = now_s
        return now_s - call.behind_since_s < BEHIND_S

    def keeps(self, call: _Call) -> bool:
        """Whether a call stays out whose first word is late. Hazard: given up it loses its place at a discovery
        that answers in turns, which may work at it all the same; 200 that all did so were never answered."""
        if call is self.watch and not self.waiting and self.successor is None:
            self.waiting[call], self.watch = None, None
            self.has_failed()
            return True
        return call is next(iter(self.waiting), None)

    def has_failed(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self.open_at(discovery_schedule.after_end_s(now_s, self.heard_s, self.begun, self.last_s, self.random.random()))
        self.on_list(ListKind.FAILED, None)

    def ended(self, call: _Call) -> None:
        if call is self.successor:
            self.successor = None
            self.mover = asyncio.get_running_loop().call_later(MOVE_AGAIN_S, self.start_moving)
            return
        if call in self.waiting:
            del self.waiting[call]
            return  # another has begun, and its answer or end will be told
        if call is self.watch:
            if call.answered:
                self.heard_s = call.heard_s
            self.watch, self.successor = self.successor, None
            if self.watch is not None:
                self.has_begun(self.watch)
                return  # its answer, or its end, will be told
            self.has_failed()
            return
        if call in self.fetches:
            self.fetches.discard(call)
            if call.answered:
                return
        else:
            return
        self.on_list(ListKind.FAILED, None)


class _Call(asyncio.Protocol):
    """One call to discovery, from connecting to its end."""

    def __init__(self, owner: Discovery, target: str, most_s: float = math.inf) -> None:
        self.owner = owner
        self.most_s = most_s  # that its first word may take
        self.address = owner.address
        self.answered = False
        self.behind_since_s: float | None = None  # since when its lists are older than ours
        self.heeded: set[str] = set()  # whose drain was told by such a list
        self.over = False
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.stream = JsonStream()
        self.request = (f"GET {target} HTTP/1.1\r\nHost: {self.address[0]}:{self.address[1]}\r\n"
                        "Accept: application/json\r\n\r\n").encode()
        loop = asyncio.get_running_loop()
        self.began_s = self.heard_s = loop.time()  # the last byte from there
        self.silence = loop.call_later(min(owner.patience_s(), most_s), self.fall_silent)
        self.task = loop.create_task(self.connect())

    async def connect(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_S):
                await asyncio.get_running_loop().create_connection(lambda: self, *self.address)
        except (OSError, TimeoutError):
            self.end()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport = cast(asyncio.Transport, transport)  # uvloop's own are no subclass
        if self.over:
            transport.abort()
        else:
            transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        # any byte is a sign of life; silence on an open connection is the only sign of a lost one
        self.silence.cancel()
        loop, limit_s = asyncio.get_running_loop(), SILENCE_S
        if not self.answered:
            limit_s = min(self.owner.patience_s(), self.most_s)
        self.heard_s = loop.time()
        self.silence = loop.call_later(limit_s, self.fall_silent)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            # what a callback raises comes wrapped
            self.owner.log(f"discovery at {self.address[0]}:{self.address[1]}: {error.__context__ or error}")
            self.end()

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() != 200:
            self.end()

    def on_body(self, data: bytes) -> None:
        if self.over:
            return
        for value in self.stream.feed(data):
            self.owner.told(self, value)
            if self.over:
                return

    def on_message_complete(self) -> None:
        if not self.over and not self.stream.is_between:
            raise ValueError("an answer that ends within a list")
        self.end()

    def fall_silent(self) -> None:
        self.owner.unanswered += not self.answered
        if not self.answered and self.heard_s == self.began_s and self.transport is not None and self.owner.keeps(self):
            self.silence = asyncio.get_running_loop().call_later(KEPT_S, self.end)
        else:
            self.end()

    def connection_lost(self, exc: Exception | None) -> None:
        self.end()

    def close(self) -> None:
        self.over = True
        self.silence.cancel()
        if self.transport is not None:
            self.transport.abort()
        elif self.task is not asyncio.current_task():
            self.task.cancel()

    def end(self) -> None:
        """The call is over, by itself or by its silence; told once."""
        if not self.over:
            self.close()
            self.owner.ended(self)
