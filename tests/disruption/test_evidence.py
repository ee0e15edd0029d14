"""Combining the views of several sidecars: faulty, disconnected or too few sidecars are told apart from upstreams that
are out."""

from __future__ import annotations

import random
from typing import Any

import pytest

from ironscale.disruption.evidence import SidecarView, UpstreamView, merge_views, upstream_view
from ironscale.disruption.model import Observation, Unit, UnitKind

NAMES = [f"n{i}" for i in range(12)]


def view(who: int, asked_ms: int = 100, why: dict[str, str] | None = None, warmth: dict[str, float] | None = None,
         without: tuple[str, ...] = ()) -> SidecarView:
    return SidecarView(f"s{who}", asked_ms, {
        name: UpstreamView(Unit(UnitKind.UPSTREAM, name, zone="a"), (why or {}).get(name, ""),
                           (warmth or {}).get(name, 1.0), "1")
        for name in NAMES if name not in without})


def seen(views: list[SidecarView], connected: int = 9, known: tuple[Unit, ...] = ()) -> dict[str, Observation]:
    return {sight.unit.name: sight for sight in merge_views(views, connected, known)}


def test_one_liar_takes_nobody_out_and_a_quarter_does_to_the_safe_side() -> None:
    lies = {"n0": "failing"}
    found = seen([view(0, why=lies), *(view(n) for n in range(1, 8))])
    assert found["n0"].out == 0.0
    found = seen([view(n, why=lies if n < 2 else None) for n in range(8)])
    assert (found["n0"].out, found["n0"].known, found["n0"].reason) == (1.0, False, "failing by 2 of 8")
    found = seen([view(n, why=lies if n < 5 else None) for n in range(8)])
    assert (found["n0"].out, found["n0"].known) == (1.0, True)
    assert all(sight.out == 0.0 for name, sight in found.items() if name != "n0")


def test_a_sidecar_that_sees_most_ill_is_ill_itself() -> None:
    cut = dict.fromkeys(NAMES, "no answer")
    found = seen([view(0, why=cut), view(1, why=cut), *(view(n) for n in range(2, 8))])
    assert all(sight.out == 0.0 for sight in found.values())
    found = seen([view(n, why=cut) for n in range(5)])  # all sidecars agree
    assert all(sight.out == 1.0 and sight.known for sight in found.values())


def test_too_few_that_answer_make_everything_unknown_and_nothing_well() -> None:
    units = tuple(Unit(UnitKind.UPSTREAM, name) for name in NAMES)
    for views in ([], [view(0)], [view(0), view(1)]):
        found = seen(views, 9, units)
        assert all((sight.out, sight.known) == (1.0, False) for sight in found.values()) and len(found) == 12
    assert all(sight.out == 0.0 for sight in seen([view(0)], connected=1).values())


def test_cold_ones_are_out_by_what_they_cannot_do_yet() -> None:
    found = seen([view(n, warmth={"n3": share}) for n, share in enumerate((0.2, 0.3, 0.9))])
    assert found["n3"].out == pytest.approx(0.7) and found["n3"].reason == "cold, 30%" and found["n3"].known


def test_what_no_list_names_is_out_for_certain() -> None:
    found = seen([view(n, without=("n1",)) for n in range(4)], known=(Unit(UnitKind.UPSTREAM, "n1"),))
    assert (found["n1"].out, found["n1"].known, found["n1"].reason) == (1.0, True, "not listed by 4 of 4")


def test_evidence_is_as_old_as_the_question_that_most_have_answered() -> None:
    views = [view(n, asked_ms) for n, asked_ms in enumerate((900, 800, 700, 300, 200))]
    assert seen(views)["n0"].asked_ms == 700  # three of five requests were sent then or later
    assert seen([view(0, 900), view(1, 800, why={"n0": "x"}), view(2, 700), view(3, 300), view(4, 200)])[
        "n0"].asked_ms == 300


@pytest.mark.parametrize("seed", range(20))
def test_with_fewer_liars_than_a_quarter_nothing_well_is_out_and_nothing_out_is_well(seed: int) -> None:
    rng = random.Random(seed)
    out = set(rng.sample(NAMES, rng.randint(0, 3)))
    count = rng.randint(8, 30)
    liars = set(rng.sample(range(count), min(count // 5, (count - 1) // 4)))

    def word(number: int, name: str) -> str:
        return ("ill" if rng.random() < 0.5 else "") if number in liars else "draining" if name in out else ""

    # faulty sidecars answer at random; they are fewer than a quarter
    views = [view(n, rng.randrange(1_000), {name: word(n, name) for name in NAMES}) for n in range(count)]
    found = seen(views, count)
    assert {name for name, sight in found.items() if sight.out} >= out
    assert all(found[name].known for name in out)
    assert all(found[name].out == 0.0 for name in NAMES if name not in out), f"seed {seed}"


def test_an_entry_that_cannot_be_used_is_an_error_and_not_a_guess() -> None:
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
