"""A bad release is detected, a good one passes, and too few answers are reported as such."""

from __future__ import annotations

import random

import pytest

from ironscale.disruption.releases import Counts, Decision, SoakRule, confidence_interval, judge_release

RULE = SoakRule(soak_ms=0, margin=0.02, max_ms=10_000)


def random_counts(rng: random.Random, count: int, failing: float) -> Counts:
    failed = sum(rng.random() < failing for _ in range(count))
    return Counts(count - failed, 0, failed)


def test_equally_bad_parts_are_no_breach_in_a_thousand_comparisons() -> None:
    rng = random.Random(1)
    decisions = [judge_release({"view": random_counts(rng, 400, 0.1)}, {"view": random_counts(rng, 4_000, 0.1)},
                               RULE, 0).decision
                 for _ in range(1_000)]
    assert Decision.BREACH not in decisions


def test_a_release_that_fails_in_one_class_is_detected_though_the_sum_hides_it() -> None:
    rng = random.Random(2)
    for _ in range(200):
        changed = {"view": random_counts(rng, 5_000, 0.01), "submit": random_counts(rng, 150, 0.3)}
        untouched = {"view": random_counts(rng, 20_000, 0.01), "submit": random_counts(rng, 600, 0.01)}
        found = judge_release(changed, untouched, RULE, 0)
        assert found.decision is Decision.BREACH and found.text.startswith("class submit: "), found


def test_an_equally_good_release_passes_only_once_there_are_enough_answers() -> None:
    rng = random.Random(3)
    few = judge_release({"view": random_counts(rng, 100, 0.0)}, {"view": random_counts(rng, 20_000, 0.0)}, RULE, 0)
    assert few.decision is Decision.WAIT and few.text.startswith("not enough seen of class view (100 answers")
    many = judge_release({"view": random_counts(rng, 2_000, 0.0)}, {"view": random_counts(rng, 20_000, 0.0)}, RULE, 0)
    assert many.decision is Decision.GO


def test_refusals_count_beside_failures() -> None:
    found = judge_release({"view": Counts(900, 100, 0)}, {"view": Counts(990, 0, 10)}, RULE, 0)
    assert (found.decision, found.text) == (Decision.BREACH, "class view: 100 of 1000 refused where it is changed, "
                                                             "0 of 1000 where it is not")


def test_missing_answers_never_count_as_good() -> None:
    nothing: dict[str, Counts] = {}
    for changed, untouched in ((nothing, nothing), ({"view": Counts()}, {"view": Counts(10_000)}),
                               ({"view": Counts(9_500, 0, 500)}, nothing)):
        assert judge_release(changed, untouched, RULE, 0).decision is Decision.WAIT
        assert judge_release(changed, untouched, RULE, 10_000).decision is Decision.BREACH
        assert judge_release(changed, untouched, SoakRule(max_ms=10_000, unsure="go"), 10_000).decision is Decision.GO


def test_a_wave_soaks_for_the_minimum_time_and_a_breach_ends_it_at_once() -> None:
    rule = SoakRule(soak_ms=5_000)
    well = Counts(50_000)
    assert judge_release({"view": well}, {"view": well}, rule, 4_000).text == "soaks for 1.0 s more"
    assert judge_release({"view": well}, {"view": well}, rule, 5_000).decision is Decision.GO
    assert judge_release({"view": Counts(500, 0, 500)}, {"view": well}, rule, 10).decision is Decision.BREACH


@pytest.mark.parametrize(("bad", "count"), [(0, 0), (0, 1), (1, 1), (3, 1_000), (1_000, 1_000), (0, 10**6)])
def test_the_confidence_interval_contains_the_share_and_stays_within_zero_and_one(bad: int, count: int) -> None:
    low, high = confidence_interval(bad, count)
    assert 0.0 <= low <= (bad / count if count else 0.0) <= high <= 1.0
