"""Decides what an agent sends to each follower and when: admission, coalescing of updates, summary of followers.

No I/O; callers pass the current time in seconds of a monotonic clock.

Of each follower only its position is kept. The update that it needs is computed from the view when it is sent and
never queued, so a follower that reads nothing costs no memory, and several versions in the meantime become one update.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from ironscale.versions.agent_selection import BOOKMARK_INTERVAL_S, COALESCE_S, reconnect_spread_s
from ironscale.versions.compacted_log import Change, View
from ironscale.versions.model import Entry, Labels, Scope, combine_layers, overlay_digest

MAX_FOLLOWERS = 10_000
# New followers per second, and the burst. At this rate 2,300 followers that lost all agents but one are admitted within
# 5 s of the 12 s in which a version must be delivered.
ADMISSION_RATE_PER_S, ADMISSION_BURST = 500.0, 100.0
MAX_RETRY_S = 10.0
RETRY_S = 1.0  # least delay before the retry of a follower that was refused for another reason than load
SLOW_READER_TIMEOUT_S = 10.0  # a follower that has read nothing for this long is disconnected
MAX_CACHED_BYTES = 8 << 20  # of encoded updates
MAX_CACHED_DIGESTS = 10_000
AGE_STEP_S = 0.1  # ages are rounded up to a multiple, so that updates sent at about the same time share a frame
MAX_DIFFERING, MAX_COUNTS = 100, 50
MAX_DETAIL_CHARS = 200  # of a follower's detail in the summary


class AdmissionRefused(Exception):
    """A follower that is not admitted at present; the text is one line."""

    def __init__(self, code: str, text: str, retry_ms: int) -> None:
        super().__init__(text)
        self.code = code  # BUSY, NOTHING or LINEAGE
        self.retry_ms = retry_ms


class AdmissionBucket:
    """A token bucket; a caller that finds it empty is given its own time at which to try again."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s, self.burst = rate_per_s, burst
        self.tokens, self.refilled_s = burst, 0.0
        self.last_retry_s = 0.0

    def take(self, now_s: float, rng: random.Random) -> float:
        """Takes a token and returns 0.0; if there is none, returns after how many seconds to try again."""
        self.tokens = min(self.burst, self.tokens + (now_s - self.refilled_s) * self.rate_per_s)
        self.refilled_s = now_s
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        # each gets a time of its own: if all got the same one, they would all come back at once
        self.last_retry_s = (max(self.last_retry_s, now_s + (1.0 - self.tokens) / self.rate_per_s)
                             + 1.0 / self.rate_per_s)
        wait_s = self.last_retry_s - now_s
        return wait_s if wait_s < MAX_RETRY_S else MAX_RETRY_S * (0.5 + 0.5 * rng.random())


@dataclass(slots=True, eq=False)
class Subscriber:
    """One connected follower. `position` is what it has been sent; after a reconnect it is a new subscriber."""

    ident: int
    labels: Labels
    scopes: tuple[Scope, ...]
    lineage: str
    position: int
    sent_s: float
    due_s: float
    slow_since_s: float = -1.0  # since when it has not read what was sent; negative = it keeps up
    # what it last reported about itself
    running: int = 0
    digest: str = ""
    status: str = ""  # empty = nothing reported yet
    detail: str = ""


@dataclass(frozen=True, slots=True)
class FollowerUpdate:
    """An update for one follower. Updates with the same `key` are encoded to the same bytes."""

    lineage: str
    position: int
    since: int
    is_snapshot: bool
    floor: int
    entries: tuple[Entry, ...]
    digest: str
    age_ms: int
    spread_ms: int

    @property
    def key(self) -> tuple[object, ...]:
        return (self.lineage, self.position, self.since, self.is_snapshot, self.floor,
                tuple(entry.version for entry in self.entries), self.digest, self.age_ms, self.spread_ms)


@dataclass(frozen=True, slots=True)
class FollowerDifference:
    """A follower that does not run what the view demands, and why."""

    name: str
    running: int
    status: str
    detail: str


@dataclass(frozen=True, slots=True)
class VersionsSummary:
    """Which positions the followers of one agent run."""

    lineage: str
    position: int
    followers: int
    counts: tuple[tuple[int, int], ...]  # position and number of followers, highest first, at most MAX_COUNTS
    differing: tuple[FollowerDifference, ...]  # at most MAX_DIFFERING
    more: int  # number of differing followers that are not listed


class EncodedUpdateCache:
    """A cache of encoded updates, limited in bytes; the oldest are evicted first."""

    def __init__(self, max_bytes: int = MAX_CACHED_BYTES) -> None:
        self.max_bytes, self.size, self.encoded_count = max_bytes, 0, 0
        self.cached: OrderedDict[tuple[object, ...], bytes] = OrderedDict()

    def get(self, update: FollowerUpdate, encode: Callable[[FollowerUpdate], bytes]) -> bytes:
        key = update.key
        data = self.cached.get(key)
        if data is None:
            data = encode(update)
            self.encoded_count += 1
            if len(data) <= self.max_bytes:
                self.cached[key] = data
                self.size += len(data)
            while self.size > self.max_bytes:
                self.size -= len(self.cached.popitem(last=False)[1])
        return data


@dataclass(slots=True)
class VersionDistributor:
    """The view that an agent serves, its followers, and the schedule of their updates."""

    rng: random.Random
    view: View = field(default_factory=View)
    has_reached_record: bool = False  # by this process, or before the snapshot that it loaded
    max_followers: int = MAX_FOLLOWERS
    agent_count: int = 2  # known agents that serve; they share the followers of one that is lost
    bucket: AdmissionBucket = field(default_factory=lambda: AdmissionBucket(ADMISSION_RATE_PER_S, ADMISSION_BURST))
    subscribers: dict[int, Subscriber] = field(default_factory=dict)
    by_scope: dict[Scope, set[int]] = field(default_factory=dict)
    queue: list[tuple[float, int]] = field(default_factory=list)  # heap of due times; outdated items are skipped
    digests: dict[tuple[int, ...], str] = field(default_factory=dict)
    last_ident: int = 0

    # The view

    def apply_change(self, change: Change, now_s: float) -> set[Scope]:
        """Applies a change and returns the changed scopes; their followers are due in COALESCE_S. Raises ViewError."""
        changed = self.view.apply(change)
        self.has_reached_record = True
        for scope in changed:
            for ident in self.by_scope.get(scope, ()):
                subscriber = self.subscribers[ident]
                at_s = max(now_s, subscriber.sent_s + COALESCE_S)
                if at_s < subscriber.due_s:
                    self._schedule(subscriber, at_s)
        if changed:
            self.digests.clear()
        return changed

    def replace_view(self, view: View) -> list[Subscriber]:
        """Replaces the view by one of another log; removes and returns the followers of the former log."""
        self.view = view
        self.digests.clear()
        former = [one for one in self.subscribers.values() if one.lineage and one.lineage != view.lineage]
        for one in former:
            self.leave(one)
        return former

    # Followers

    def check_admission(self, lineage: str, now_s: float) -> None:
        """Raises AdmissionRefused if a follower of this lineage may not join now."""
        def spread_ms() -> int:
            return int(1000 * RETRY_S * (1.0 + self.rng.random()))

        if not self.has_reached_record:
            raise AdmissionRefused("NOTHING", "this agent has never reached the record, and holds no version",
                                   spread_ms())
        if lineage and lineage != self.view.lineage:
            raise AdmissionRefused("LINEAGE", f"expected lineage {self.view.lineage or 'none'}, got {lineage[:60]}",
                                   spread_ms())
        if len(self.subscribers) >= self.max_followers:
            raise AdmissionRefused("BUSY", f"{self.max_followers} follow already",
                                   int(1000 * MAX_RETRY_S * self.rng.random()))
        wait_s = self.bucket.take(now_s, self.rng)
        if wait_s > 0.0:
            raise AdmissionRefused("BUSY", f"{self.bucket.rate_per_s:g} a second are taken on",
                                   max(1, int(wait_s * 1000)))

    def join(self, labels: Labels, lineage: str, position: int, now_s: float) -> Subscriber:
        """Adds a follower that passed `check_admission`; it is due for an update at once."""
        self.last_ident += 1
        found = Subscriber(self.last_ident, labels, labels.scopes(), lineage, position, now_s, now_s, running=position)
        self.subscribers[found.ident] = found
        for scope in found.scopes:
            self.by_scope.setdefault(scope, set()).add(found.ident)
        heapq.heappush(self.queue, (now_s, found.ident))
        return found

    def leave(self, subscriber: Subscriber) -> None:
        if self.subscribers.pop(subscriber.ident, None) is None:
            return
        for scope in subscriber.scopes:
            idents = self.by_scope[scope]
            idents.discard(subscriber.ident)
            if not idents:
                del self.by_scope[scope]

    def record_status(self, subscriber: Subscriber, running: int, digest: str, status: str, detail: str) -> None:
        subscriber.running, subscriber.digest = running, digest
        subscriber.status, subscriber.detail = status, detail[:MAX_DETAIL_CHARS]

    def mark_slow(self, subscriber: Subscriber, now_s: float) -> None:
        """Sends the follower nothing more until it has read what was sent."""
        if subscriber.slow_since_s < 0:
            subscriber.slow_since_s = now_s

    def mark_caught_up(self, subscriber: Subscriber, now_s: float) -> None:
        """Resumes the updates of a follower that has read everything."""
        if subscriber.slow_since_s >= 0:
            subscriber.slow_since_s = -1.0
            self._schedule(subscriber, max(now_s, subscriber.sent_s + COALESCE_S))

    def stalled_readers(self, now_s: float) -> list[Subscriber]:
        """Followers that have not read for SLOW_READER_TIMEOUT_S."""
        return [one for one in self.subscribers.values() if 0 <= one.slow_since_s <= now_s - SLOW_READER_TIMEOUT_S]

    # Updates

    def _schedule(self, subscriber: Subscriber, at_s: float) -> None:
        subscriber.due_s = at_s
        heapq.heappush(self.queue, (at_s, subscriber.ident))

    def next_due_s(self) -> float | None:
        """When the next follower is due for an update; None if nobody is."""
        while self.queue:
            at_s, ident = self.queue[0]
            found = self.subscribers.get(ident)
            if found is not None and found.slow_since_s < 0 and found.due_s == at_s:
                return at_s
            heapq.heappop(self.queue)
        return None

    def due_updates(self, now_s: float, age_s: float,
                    limit: int = 200) -> Iterator[tuple[Subscriber, FollowerUpdate]]:
        """Yields at most `limit` followers that are due and their updates; each counts as sent once it is yielded.
        `age_s` is the time since the record was last reached."""
        age_ms = int(1000 * AGE_STEP_S) * (int(max(0.0, age_s) / AGE_STEP_S) + 1)
        # rounded up to 0.1 s too, since it changes with every follower that joins or leaves
        spread_ms = 100 * (int(10 * reconnect_spread_s(len(self.subscribers), self.bucket.rate_per_s,
                                                       self.agent_count)) + 1)
        for _ in range(limit):
            at_s = self.next_due_s()
            if at_s is None or at_s > now_s:
                return
            _, ident = heapq.heappop(self.queue)
            found = self.subscribers[ident]
            update = self.update_for(found, age_ms, spread_ms)
            if found.position <= update.position:
                found.lineage, found.position = update.lineage, update.position
            found.sent_s = now_s
            self._schedule(found, now_s + BOOKMARK_INTERVAL_S * (0.75 + 0.25 * self.rng.random()))
            yield found, update

    def update_for(self, subscriber: Subscriber, age_ms: int, spread_ms: int) -> FollowerUpdate:
        """What `compacted_log.View.change_since` gives, limited to the follower's scopes, without a pass over all
        entries. A follower that is ahead only gets this agent's position, and nothing older than what it has."""
        view, since = self.view, subscriber.position
        layers = self.layers_for(subscriber)
        if since > view.position:
            return FollowerUpdate(view.lineage, view.position, view.position, False, view.floor, (), "", age_ms,
                                  spread_ms)
        whole = not subscriber.lineage or since == 0 or since < view.floor
        snapshot = whole and not (since == view.position and subscriber.lineage == view.lineage)
        entries = layers if snapshot else tuple(entry for entry in layers if entry.version > since)
        return FollowerUpdate(view.lineage, view.position, since, snapshot, view.floor,
                              tuple(sorted(entries, key=lambda entry: entry.version)), self.digest_for(layers), age_ms,
                              spread_ms)

    def layers_for(self, subscriber: Subscriber) -> tuple[Entry, ...]:
        entries = self.view.entries
        return tuple(entries[scope] for scope in subscriber.scopes if scope in entries)

    def digest_for(self, layers: Iterable[Entry]) -> str:
        layers = tuple(layers)
        key = tuple(entry.version for entry in layers)
        found = self.digests.get(key)
        if found is None:
            if len(self.digests) >= MAX_CACHED_DIGESTS:
                self.digests.clear()
            found = self.digests[key] = overlay_digest(combine_layers(layers))
        return found

    # Summary

    def difference(self, subscriber: Subscriber) -> FollowerDifference | None:
        """Why a follower does not run what the view demands; None if it does. Entries of other scopes don't matter."""
        def because(status: str, detail: str) -> FollowerDifference:
            return FollowerDifference(subscriber.labels.instance, subscriber.running, status, detail)

        layers = self.layers_for(subscriber)
        newest = max((entry.version for entry in layers), default=0)
        if subscriber.status not in ("", "applied"):
            return because(subscriber.status, subscriber.detail)
        if subscriber.running > self.view.position:
            return because("ahead", f"this agent is at {self.view.position}")
        if subscriber.running < newest:
            slow = "it reads too slowly" if subscriber.slow_since_s >= 0 else "it has not answered yet"
            return because("behind", f"{newest} is its newest: {slow}")
        if subscriber.status and subscriber.digest != self.digest_for(layers):
            return because("other", "what it runs is not what the versions come to")
        return None

    def summary(self) -> VersionsSummary:
        counts: Counter[int] = Counter()
        differing: list[FollowerDifference] = []
        more = 0
        for one in self.subscribers.values():
            found = self.difference(one)
            counts[self.view.position if found is None else one.running] += 1
            if found is not None:
                if len(differing) < MAX_DIFFERING:
                    differing.append(found)
                else:
                    more += 1
        highest = sorted(counts.items(), reverse=True)[:MAX_COUNTS]
        return VersionsSummary(self.view.lineage, self.view.position, len(self.subscribers), tuple(highest),
                               tuple(differing), more)
