"""Combining the views of several sidecars: faulty, disconnected or too few sidecars are told apart from upstreams that
are out."""

from __future__ import annotations

import random
from typing import Any

import pytest

from ironscale.disruption.evidence import SidecarView, UpstreamView, merge_views, upstream_view
from ironscale.disruption.model import Observation, Unit, UnitKind

NAMES = [f"n{i}" for i in range(12)]


def view(number: int, asked_ms: int = 100, why: dict[str, str] | None = None, warmth: dict[str, float] | None = None,
         without: tuple[str, ...] = ()) -> SidecarView:
    return SidecarView(f"s{number}", asked_ms, {
        name: UpstreamView(Unit(UnitKind.UPSTREAM, name, zone="a"), (why or {}).get(name, ""),
                           (warmth or {}).get(name, 1.0), "1")
        for name in NAMES if name not in without})


def merged_by_name(views: list[SidecarView], connected: int = 9,
                   known: tuple[Unit, ...] = ()) -> dict[str, Observation]:
    return {observation.unit.name: observation for observation in merge_views(views, connected, known)}


def test_one_faulty_sidecar_has_no_effect_and_a_quarter_makes_a_unit_count_as_out() -> None:
    false_reports = {"n0": "failing"}
    found = merged_by_name([view(0, why=false_reports), *(view(n) for n in range(1, 8))])
    assert found["n0"].out == 0.0
    found = merged_by_name([view(n, why=false_reports if n < 2 else None) for n in range(8)])
    assert (found["n0"].out, found["n0"].known, found["n0"].reason) == (1.0, False, "failing by 2 of 8")
    found = merged_by_name([view(n, why=false_reports if n < 5 else None) for n in range(8)])
    assert (found["n0"].out, found["n0"].known) == (1.0, True)
    assert all(observation.out == 0.0 for name, observation in found.items() if name != "n0")


def test_a_sidecar_that_sees_most_upstreams_as_out_is_ignored() -> None:
    all_out = dict.fromkeys(NAMES, "no answer")
    found = merged_by_name([view(0, why=all_out), view(1, why=all_out), *(view(n) for n in range(2, 8))])
    assert all(observation.out == 0.0 for observation in found.values())
    found = merged_by_name([view(n, why=all_out) for n in range(5)])  # all sidecars agree
    assert all(observation.out == 1.0 and observation.known for observation in found.values())


def test_with_too_few_answers_every_unit_counts_as_out_without_being_known_to_be() -> None:
    units = tuple(Unit(UnitKind.UPSTREAM, name) for name in NAMES)
    for views in ([], [view(0)], [view(0), view(1)]):
        found = merged_by_name(views, 9, units)
        assert all((observation.out, observation.known) == (1.0, False)
                   for observation in found.values()) and len(found) == 12
    assert all(observation.out == 0.0 for observation in merged_by_name([view(0)], connected=1).values())


def test_cold_upstreams_count_as_out_by_their_missing_capacity() -> None:
    found = merged_by_name([view(n, warmth={"n3": share}) for n, share in enumerate((0.2, 0.3, 0.9))])
    assert found["n3"].out == pytest.approx(0.7) and found["n3"].reason == "cold, 30%" and found["n3"].known


def test_an_upstream_that_no_sidecar_lists_is_known_to_be_out() -> None:
    found = merged_by_name([view(n, without=("n1",)) for n in range(4)], known=(Unit(UnitKind.UPSTREAM, "n1"),))
    assert (found["n1"].out, found["n1"].known, found["n1"].reason) == (1.0, True, "not listed by 4 of 4")


def test_evidence_is_as_old_as_the_request_that_a_majority_has_answered() -> None:
    views = [view(n, asked_ms) for n, asked_ms in enumerate((900, 800, 700, 300, 200))]
    assert merged_by_name(views)["n0"].asked_ms == 700  # three of five requests were sent then or later
    assert merged_by_name([view(0, 900), view(1, 800, why={"n0": "x"}), view(2, 700), view(3, 300), view(4, 200)])[
        "n0"].asked_ms == 300


@pytest.mark.parametrize("seed", range(20))
def test_fewer_than_a_quarter_of_faulty_sidecars_do_not_change_the_result(seed: int) -> None:
    rng = random.Random(seed)
    out = set(rng.sample(NAMES, rng.randint(0, 3)))
    count = rng.randint(8, 30)
    faulty = set(rng.sample(range(count), min(count // 5, (count - 1) // 4)))

    def reason(number: int, name: str) -> str:
        return ("ill" if rng.random() < 0.5 else "") if number in faulty else "draining" if name in out else ""

    # faulty sidecars answer at random; they are fewer than a quarter
    views = [view(n, rng.randrange(1_000), {name: reason(n, name) for name in NAMES}) for n in range(count)]
    found = merged_by_name(views, count)
    assert {name for name, observation in found.items() if observation.out} >= out
    assert all(found[name].known for name in out)
    assert all(found[name].out == 0.0 for name in NAMES if name not in out), f"seed {seed}"


def test_an_unusable_entry_is_an_error() -> None:
    good: dict[str, Any] = {"state": "ready", "zone": "a", "kind": "k", "group": "1", "weight": 1.0, "warmth": 0.5,
                            "mute": False, "failing": True, "resting": False, "startedUs": 7}
    assert upstream_view("n", good) == UpstreamView(
        Unit(UnitKind.UPSTREAM, "n", zone="a", kind="k", group="1"), "", 0.5, "7")
    assert upstream_view("n", {**good, "resting": True}).reason == "failing"
    assert upstream_view("n", {**good, "mute": True}).reason == "no answer"
    assert upstream_view("n", {**good, "state": "draining"}).reason == "draining"
    for key in good:
        with pytest.raises(KeyError):
            upstream_view("n", {name: value for name, value in good.items() if name != key})
    with pytest.raises(ValueError):
        upstream_view("n", {**good, "warmth": "much"})
