"""Which follower gets which update and when: random histories against a small model, and each limit by itself."""

from __future__ import annotations

import random

import pytest

from ironscale.versions.agent_selection import BOOKMARK_INTERVAL_S, COALESCE_S
from ironscale.versions.compacted_log import Change, View, limited_to
from ironscale.versions.model import ALL, Entry, Labels, Reach, Scope, combine_layers, overlay_digest
from ironscale.versions.serving import (
    MAX_DIFFERING,
    SLOW_READER_TIMEOUT_S,
    AdmissionBucket,
    AdmissionRefused,
    EncodedUpdateCache,
    FollowerUpdate,
    Subscriber,
    VersionDistributor,
)

SCOPES = [ALL, Scope(Reach.REGION, "r0"), Scope(Reach.ZONE, "z0"), Scope(Reach.ZONE, "z1"),
          Scope(Reach.SERVICE, "s0"), Scope(Reach.INSTANCE, "i0"), Scope(Reach.INSTANCE, "i1")]


def some_labels(rng: random.Random) -> Labels:
    return Labels(f"i{rng.randint(0, 3)}", rng.choice(["", "s0"]), rng.choice(["z0", "z1"]), rng.choice(["", "r0"]))


class Log:
    """The recorded log, as far as followers need it."""

    def __init__(self) -> None:
        self.view = View("aa")

    def publish(self, rng: random.Random) -> None:
        at = self.view.position + 1
        overlay = None if rng.random() < 0.2 else {"n": at}
        entry = Entry(at, rng.choice(SCOPES), overlay)
        self.view.apply(Change("aa", at, at - 1, False, 0, (entry,)))
        if rng.random() < 0.1:
            self.view = self.view.without_removals(rng.randint(0, at))


class Follower:
    """An instance with a view of its own, which never goes back."""

    def __init__(self, subscriber: Subscriber, view: View) -> None:
        self.subscriber, self.view = subscriber, view
        self.updated_s: list[float] = []

    def handle(self, update: FollowerUpdate, now_s: float) -> None:
        self.updated_s.append(now_s)
        if update.position < self.view.position:
            assert update.entries == (), "got entries older than what it has"
            return
        if update.is_snapshot:
            assert all(entry.scope in self.subscriber.scopes for entry in update.entries)
        self.view.apply(Change(update.lineage, update.position, update.since, update.is_snapshot, update.floor,
                               update.entries))
        assert overlay_digest(combine_layers(self.view.layers_for(self.subscriber.labels))) == update.digest


def test_after_random_histories_every_follower_has_the_position_of_the_record() -> None:
    for seed in range(3_000):
        rng = random.Random(seed)
        try:
            run_history(rng)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error


def run_history(rng: random.Random) -> None:
    log, now_s = Log(), 100.0
    serving = VersionDistributor(rng, bucket=AdmissionBucket(1e6, 1e6))
    followers: list[Follower] = []

    def send_due(age_s: float = 0.0) -> None:
        by = {one.subscriber.ident: one for one in followers}
        for subscriber, update in serving.due_updates(now_s, age_s, rng.randint(1, 20)):
            assert subscriber.slow_since_s < 0, "a slow reader got an update"
            # `handle` checks the digest of the result
            by[subscriber.ident].handle(update, now_s)

    for _ in range(rng.randint(5, 40)):
        now_s += rng.choice([0.0, 0.01, 0.05, 0.3])
        action = rng.random()
        if action < 0.35:
            log.publish(rng)
        if action < 0.6:
            view = serving.view
            found = log.view.change_since(view.position, view.lineage)
            assert found is not None
            serving.apply_change(found, now_s)
        elif action < 0.75 and serving.has_reached_record:
            serving.check_admission("", now_s)
            followers.append(Follower(serving.join(some_labels(rng), "", 0, now_s), View()))
        elif action < 0.8 and followers:
            one = followers.pop(rng.randrange(len(followers)))
            serving.leave(one.subscriber)
            if one.view.lineage and rng.random() < 0.7:  # the same instance reconnects with what it has
                since = one.view.position if rng.random() < 0.9 else 0
                back = serving.join(one.subscriber.labels, one.view.lineage, since, now_s)
                followers.append(Follower(back, one.view))
        elif action < 0.85 and followers:
            serving.mark_slow(rng.choice(followers).subscriber, now_s)
        elif action < 0.9 and followers:
            serving.mark_caught_up(rng.choice(followers).subscriber, now_s)
        for subscriber in serving.subscribers.values():
            # without a pass over all entries it must give the same as the view itself
            update = serving.update_for(subscriber, 100, 100)
            change = serving.view.change_since(subscriber.position, subscriber.lineage)
            if change is not None and change.since != serving.view.position:
                assert update.entries == limited_to(change, subscriber.labels).entries
        send_due()
    # all followers read again and the record is reached: within one bookmark interval all have its position
    found = log.view.change_since(serving.view.position, serving.view.lineage)
    assert found is not None
    serving.apply_change(found, now_s)
    for one in followers:
        serving.mark_caught_up(one.subscriber, now_s)
    ends_s = now_s + BOOKMARK_INTERVAL_S + COALESCE_S
    while now_s < ends_s:
        now_s += 0.02
        for _ in range(20):
            send_due()
    for one in followers:
        assert one.view.position == log.view.position
        assert combine_layers(one.view.layers_for(one.subscriber.labels)) == combine_layers(
            log.view.layers_for(one.subscriber.labels))
        assert not any(0 < b - a < COALESCE_S - 1e-9 for a, b in zip(one.updated_s, one.updated_s[1:], strict=False))
    assert len(serving.subscribers) == len(followers)


def distributor_at(position: int = 1, **changes: object) -> VersionDistributor:
    serving = VersionDistributor(random.Random(1), **changes)  # type: ignore[arg-type]
    serving.apply_change(Change("aa", position, 0, True, 0, (Entry(position, ALL, {"n": position}),)), 0.0)
    return serving


def all_due(serving: VersionDistributor, now_s: float, age_s: float = 0.0) -> list[tuple[Subscriber, FollowerUpdate]]:
    found = []
    while some := list(serving.due_updates(now_s, age_s)):
        found += some
    return found


def test_a_burst_of_versions_is_coalesced_into_few_updates_and_none_is_lost() -> None:
    serving = distributor_at()
    one = serving.join(Labels("i0"), "", 0, 0.0)
    updates: list[FollowerUpdate] = []
    for version in range(2, 52):  # 50 a second
        now_s = version / 50
        serving.apply_change(Change("aa", version, version - 1, False, 0, (Entry(version, ALL, {"n": version}),)),
                             now_s)
        updates += [update for _, update in all_due(serving, now_s)]
    updates += [update for _, update in all_due(serving, 1.3)]
    assert len(updates) <= 1.3 / COALESCE_S + 1
    assert updates[-1].position == 51 == one.position
    # each update continues where the one before ended
    assert [t.since for t in updates[1:]] == [t.position for t in updates[:-1]]
    for version in range(52, 200):
        serving.apply_change(Change("aa", version, version - 1, False, 0, (Entry(version, ALL, {"n": version}),)), 1.35)
    assert len(serving.queue) < 20  # memory does not grow with the number of changes


def test_a_follower_outside_the_scope_gets_the_position_with_its_next_bookmark() -> None:
    serving = distributor_at()
    here, there = (serving.join(Labels(f"i{i}", zone=f"z{i}"), "", 0, 0.0) for i in range(2))
    all_due(serving, 0.0)
    serving.apply_change(Change("aa", 2, 1, False, 0, (Entry(2, Scope(Reach.ZONE, "z0"), {}),)), 0.2)
    assert [subscriber for subscriber, _ in all_due(serving, 0.2)] == [here]
    assert there in [subscriber for subscriber, update in all_due(serving, BOOKMARK_INTERVAL_S) if update.position == 2]


def test_bookmarks_are_in_time_and_spread_out() -> None:
    serving = distributor_at()
    for i in range(400):
        serving.join(Labels(f"i{i}"), "", 0, 0.0)
    all_due(serving, 0.0)
    steps = [len(all_due(serving, 0.02 * step)) for step in range(1, 52)]
    assert sum(steps) == 400 and max(steps) < 100
    _, update = all_due(serving, 2.1, age_s=4.25)[0]
    assert update.entries == () and not update.is_snapshot
    assert update.age_ms == 4_300  # rounded up, never down


def test_a_follower_that_is_ahead_gets_no_older_entries() -> None:
    serving = distributor_at(5)
    serving.join(Labels("i0"), "aa", 7, 0.0)
    (_, update), = all_due(serving, 0.0)
    assert (update.position, update.since, update.entries, update.is_snapshot) == (5, 5, (), False)
    serving.apply_change(Change("aa", 6, 5, False, 0, (Entry(6, ALL, {"n": 6}),)), 1.0)
    assert all(update.entries == () for _, update in all_due(serving, 1.0))
    serving.apply_change(Change("aa", 8, 6, False, 0, (Entry(8, ALL, {"n": 8}),)), 2.0)
    (_, update), = all_due(serving, 2.0)
    assert [entry.version for entry in update.entries] == [8] and update.since == 7


def test_a_slow_reader_gets_one_update_once_it_has_read() -> None:
    serving = distributor_at()
    slow, other = (serving.join(Labels(f"i{i}"), "", 0, 0.0) for i in range(2))
    all_due(serving, 0.0)
    serving.mark_slow(slow, 0.1)
    for version in range(2, 22):
        change = Change("aa", version, version - 1, False, 0, (Entry(version, ALL, {"n": version}),))
        serving.apply_change(change, version * 0.2)
        assert [subscriber for subscriber, _ in all_due(serving, version * 0.2)] == [other]
    assert serving.stalled_readers(SLOW_READER_TIMEOUT_S) == [] and serving.stalled_readers(
        SLOW_READER_TIMEOUT_S + 0.2) == [slow]
    serving.mark_caught_up(slow, 5.0)
    (_, update), = [found for found in all_due(serving, 5.0) if found[0] is slow]
    assert (update.since, update.position, len(update.entries)) == (1, 21, 1)


def test_new_followers_are_admitted_at_a_rate_and_the_rest_are_spread_over_time() -> None:
    for seed in range(20):
        rng = random.Random(seed)
        bucket = AdmissionBucket(100.0, 20.0)
        waiting = [(0.0, i) for i in range(400)]
        taken: list[float] = []
        tries = 0
        while waiting:
            waiting.sort()
            at_s, i = waiting.pop(0)
            wait_s = bucket.take(at_s, rng)
            tries += 1
            if wait_s:
                waiting.append((at_s + wait_s + rng.random() * 0.05, i))
            else:
                taken.append(at_s)
        assert all(b - a >= 0.99 for a, b in zip(taken, taken[20 + 100:], strict=False)), f"seed {seed}"
        assert taken[-1] < 8.0, f"seed {seed}: the last after {taken[-1]:.1f} s"
        assert tries < 400 * 4, f"seed {seed}: {tries} tries"
    eager = AdmissionBucket(100.0, 20.0)  # callers that don't wait gain nothing
    assert 215 <= sum(eager.take(step / 1000, rng) == 0.0 for step in range(2_000)) <= 221
    assert sum(eager.take(100.0, rng) == 0.0 for _ in range(500)) == 20


def test_which_followers_are_not_admitted() -> None:
    empty = VersionDistributor(random.Random(1))
    full = distributor_at(max_followers=1)
    full.join(Labels("i0"), "", 0, 0.0)
    for serving, lineage, code in ((empty, "", "NOTHING"), (distributor_at(), "bb", "LINEAGE"), (full, "", "BUSY"),
                                   (distributor_at(bucket=AdmissionBucket(1.0, 0.0)), "", "BUSY")):
        with pytest.raises(AdmissionRefused) as found:
            serving.check_admission(lineage, 0.0)
        assert found.value.code == code and found.value.retry_ms > 0


def test_equal_updates_are_encoded_once_and_the_cache_is_bounded() -> None:
    serving = distributor_at(max_followers=1_000)
    for i in range(300):
        serving.join(Labels(f"i{i}", zone="z0"), "", 0, 0.0)
    kept = EncodedUpdateCache(2_000)
    for _, update in all_due(serving, 0.0):
        kept.get(update, lambda update: b"x" * 100)
    assert kept.encoded_count == 1
    for i in range(1_000):
        kept.get(FollowerUpdate("aa", i, 0, False, 0, (), "", 0, 0), lambda update: b"x" * 100)
        assert kept.size <= 2_000 and len(kept.cached) <= 20
    kept.get(FollowerUpdate("aa", 0, 0, True, 0, (), "", 0, 0), lambda update: b"x" * 3_000)
    assert kept.size <= 2_000


def test_the_summary_lists_differing_followers_and_is_bounded() -> None:
    serving = distributor_at(3)
    current_digest = serving.digest_for(serving.view.layers_for(Labels("i")))
    ones = [serving.join(Labels(f"i{i}"), "", 0, 0.0) for i in range(5)]
    serving.record_status(ones[0], 3, current_digest, "applied", "")
    serving.record_status(ones[1], 2, "old", "refused", "x" * 5_000)
    serving.record_status(ones[2], 3, "bad", "applied", "")
    serving.record_status(ones[3], 9, current_digest, "applied", "")
    found = serving.summary()
    assert found.counts == ((9, 1), (3, 2), (2, 1), (0, 1))
    assert [(one.name, one.status) for one in found.differing] == [
        ("i1", "refused"), ("i2", "other"), ("i3", "ahead"), ("i4", "behind")]
    assert len(found.differing[0].detail) == 200
    # an entry of another scope makes no follower differ
    serving.apply_change(Change("aa", 4, 3, False, 0, (Entry(4, Scope(Reach.ZONE, "z9"), {}),)), 1.0)
    assert "i0" not in [one.name for one in serving.summary().differing]
    for i in range(300):
        serving.join(Labels(f"j{i}"), "", 0, 0.0)
    found = serving.summary()
    assert len(found.differing) == MAX_DIFFERING and found.more == 304 - MAX_DIFFERING


def test_a_view_of_another_lineage_removes_the_followers_of_the_former() -> None:
    serving = distributor_at(3)
    old = serving.join(Labels("i0"), "", 0, 0.0)
    all_due(serving, 0.0)
    new = serving.join(Labels("i1"), "", 0, 0.0)
    assert serving.replace_view(View()) == [old]
    serving.digest_for((Entry(3, ALL, {"n": 3}),))
    serving.replace_view(View())
    # not the cached digest of the former log's version 3
    assert serving.digest_for((Entry(3, ALL, {"n": 4}),)) == overlay_digest({"n": 4})
    serving.apply_change(Change("bb", 3, 0, True, 0, (Entry(3, ALL, {"n": 4}),)), 1.0)
    (subscriber, update), = all_due(serving, 1.0)
    assert subscriber is new and update.lineage == "bb" and update.is_snapshot
