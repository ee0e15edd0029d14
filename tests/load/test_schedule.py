"""One schedule, dealt out: the same for the same seed, whatever the workers."""

from __future__ import annotations

from collections import Counter

import pytest

from ironscale.load import schedule as s
from tests.load.samples import MARK, SUBMIT, TARGET, VIEW, scenario

CLIENTS = "[clients]\nkeys = 100\nzipf = 1.0\ngives_up = [0.7, 1.0]\nslow_readers = 0.1\nnew_connections = 0.2\n"


def whole(seed: str = "a", count: int = 20_000) -> s.Schedule:
    mix = scenario(VIEW, SUBMIT, MARK, TARGET, CLIENTS).mix()
    return s.build(s.steady(range(0, count * 10, 10)), mix, seed)


def test_the_same_seed_gives_the_same_bytes_and_another_one_others() -> None:
    assert whole().to_bytes() == whole().to_bytes()
    assert whole("a").digest() != whole("b").digest()
    # computed once: any machine must find it again
    assert whole("pinned", 100).digest() == PINNED


PINNED = "303ab1de41a04a490353b8c9e1f93c88"


@pytest.mark.parametrize("workers", [1, 2, 3, 7])
def test_dealt_out_it_is_all_there_once(workers: int) -> None:
    all_of_it = whole(count=1_001)
    parts = [all_of_it.dealt(n, workers) for n in range(workers)]
    assert sum(map(len, parts)) == 1_001
    for index in range(1_001):
        part = parts[index % workers]
        assert [c[index // workers] for c in part.columns()] == [c[index] for c in all_of_it.columns()]
    back = s.Schedule.from_bytes(parts[0].to_bytes(), len(parts[0]))
    assert back.to_bytes() == parts[0].to_bytes()


def test_bytes_of_another_length_are_refused() -> None:
    with pytest.raises(ValueError, match="expected"):
        s.Schedule.from_bytes(whole(count=10).to_bytes() + b"x", 10)


def test_the_mix_is_drawn_in_its_shares() -> None:
    found = whole()
    kinds = Counter(found.kind)
    assert abs(kinds[0] / 20_000 - 0.5) < 0.02 and abs(kinds[1] / 20_000 - 0.25) < 0.02
    submits = [size for size, kind in zip(found.size, found.kind, strict=True) if kind == 1]
    assert min(submits) == 10 and max(submits) == 100
    assert {size for size, kind in zip(found.size, found.kind, strict=True) if kind == 0} == {0}
    assert abs(sum(1 for f in found.flags if f & s.SLOW_READER) / 20_000 - 0.1) < 0.01
    assert abs(sum(1 for f in found.flags if f & s.NEW_CONNECTION) / 20_000 - 0.2) < 0.015
    assert 3_500_000 <= min(found.patience_us) < 3_510_000 and 4_990_000 < max(found.patience_us) <= 5_000_000


def test_keys_follow_zipfs_law() -> None:
    counts = Counter(whole(count=100_000).key)
    harmonic = sum(1 / k for k in range(1, 101))
    for rank in (1, 2, 10, 50):
        expected = 100_000 / rank / harmonic
        assert abs(counts[rank] - expected) < 5 * expected**0.5, rank
    assert set(counts) <= set(range(1, 101))


def test_a_change_of_one_share_leaves_the_other_draws() -> None:
    one = scenario(VIEW, TARGET, "[clients]\nkeys = 50\nslow_readers = 0.0\n").mix()
    two = scenario(VIEW, TARGET, "[clients]\nkeys = 50\nslow_readers = 0.9\n").mix()
    a, b = (s.build(s.steady(range(1_000)), mix, "s") for mix in (one, two))
    assert a.key == b.key and a.patience_us == b.patience_us and a.flags != b.flags


def test_more_than_a_run_may_hold_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(s, "MOST_ARRIVALS", 99)
    with pytest.raises(s.TooMany, match="expected 99 arrivals at most"):
        whole(count=100)
