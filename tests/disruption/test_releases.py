"""A bad release is detected, a good one passes, and too few answers are reported as such."""

from __future__ import annotations

import random

import pytest

from ironscale.disruption.releases import Counts, Decision, SoakRule, confidence_interval, judge_release

RULE = SoakRule(soak_ms=0, margin=0.02, max_ms=10_000)


def drawn(rng: random.Random, count: int, failing: float) -> Counts:
    failed = sum(rng.random() < failing for _ in range(count))
    return Counts(count - failed, 0, failed)


def test_a_busy_hour_that_makes_all_worse_alike_is_no_breach_in_a_thousand_looks() -> None:
    rng = random.Random(1)
    words = [judge_release({"view": drawn(rng, 400, 0.1)}, {"view": drawn(rng, 4_000, 0.1)}, RULE, 0).decision
             for _ in range(1_000)]
    assert Decision.BREACH not in words


def test_a_release_that_fails_in_one_class_is_found_though_the_sum_hides_it() -> None:
    rng = random.Random(2)
    for _ in range(200):
        changed = {"view": drawn(rng, 5_000, 0.01), "submit": drawn(rng, 150, 0.3)}
        untouched = {"view": drawn(rng, 20_000, 0.01), "submit": drawn(rng, 600, 0.01)}
        found = judge_release(changed, untouched, RULE, 0)
        assert found.decision is Decision.BREACH and found.text.startswith("class submit: "), found


def test_what_serves_as_well_passes_once_enough_is_seen_and_not_before() -> None:
    rng = random.Random(3)
    few = judge_release({"view": drawn(rng, 100, 0.0)}, {"view": drawn(rng, 20_000, 0.0)}, RULE, 0)
    assert few.decision is Decision.WAIT and few.text.startswith("not enough seen of class view (100 answers")
    many = judge_release({"view": drawn(rng, 2_000, 0.0)}, {"view": drawn(rng, 20_000, 0.0)}, RULE, 0)
    assert many.decision is Decision.GO


def test_refusals_count_beside_failures() -> None:
    found = judge_release({"view": Counts(900, 100, 0)}, {"view": Counts(990, 0, 10)}, RULE, 0)
    assert (found.decision, found.text) == (Decision.BREACH, "class view: 100 of 1000 refused where it is changed, "
                                                             "0 of 1000 where it is not")


def test_nothing_seen_is_never_taken_for_well() -> None:
    nothing: dict[str, Counts] = {}
    for changed, untouched in ((nothing, nothing), ({"view": Counts()}, {"view": Counts(10_000)}),
                               ({"view": Counts(9_500, 0, 500)}, nothing)):
        assert judge_release(changed, untouched, RULE, 0).decision is Decision.WAIT
        assert judge_release(changed, untouched, RULE, 10_000).decision is Decision.BREACH
        assert judge_release(changed, untouched, SoakRule(max_ms=10_000, unsure="go"), 10_000).decision is Decision.GO


def test_a_wave_soaks_its_time_and_a_breach_does_not_wait_for_it() -> None:
    rule = SoakRule(soak_ms=5_000)
    well = Counts(50_000)
    assert judge_release({"view": well}, {"view": well}, rule, 4_000).text == "soaks for 1.0 s more"
    assert judge_release({"view": well}, {"view": well}, rule, 5_000).decision is Decision.GO
    assert judge_release({"view": Counts(500, 0, 500)}, {"view": well}, rule, 10).decision is Decision.BREACH


@pytest.mark.parametrize(("bad", "count"), [(0, 0), (0, 1), (1, 1), (3, 1_000), (1_000, 1_000), (0, 10**6)])
def test_bounds_hold_the_share_and_stay_within_one(bad: int, count: int) -> None:
    low, high = confidence_interval(bad, count)
    assert 0.0 <= low <= (bad / count if count else 0.0) <= high <= 1.0
