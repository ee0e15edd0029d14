"""A view that gets changes and snapshots, split, repeated and out of order, ends with the state of the whole log."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironscale.versions.compacted_log import Change, View, ViewError, limited_to, merge_changes
from ironscale.versions.model import ALL, Entry, Labels, Scope, combine_layers, parse_scope

LABELS = (Labels("i", "s", "a", "r"), Labels("j", "s", "b", "r"), Labels("k"))
SCOPES = [ALL, *map(parse_scope, ("region=r", "zone=a", "zone=b", "service=s", "instance=i", "instance=k"))]
LINES = st.lists(st.tuples(st.sampled_from(SCOPES), st.booleans()), min_size=1, max_size=30)
SEEDS = st.integers(0, 2**32)


def make_log(lines: Sequence[tuple[Scope, bool]]) -> list[Entry]:
    newest: dict[Scope, int] = {}
    found = []
    for number, (scope, is_removal) in enumerate(lines, 1):
        found.append(Entry(number, scope, None if is_removal else {"n": number, str(scope): number},
                           newest.get(scope, 0)))
        newest[scope] = number
    return found


def full_state(log: Sequence[Entry], position: int) -> dict[Scope, Entry]:
    """What a reader of all entries up to `position` would have."""
    return {entry.scope: entry for entry in log[:position]}


def view_at(log: Sequence[Entry], position: int) -> View:
    return View("l", position, 0, full_state(log, position))


def present(entries: dict[Scope, Entry]) -> dict[Scope, Entry]:
    return {scope: entry for scope, entry in entries.items() if entry.overlay is not None}


@given(LINES, SEEDS)
def test_any_sequence_of_changes_and_snapshots_ends_in_the_state_of_the_log(lines: list[tuple[Scope, bool]],
                                                                            seed: int) -> None:
    """Changes from positions at or before the follower's, snapshots in between, repeated entries, and sources that have
    dropped removals: after each of them the follower has the state of the log at that position."""
    log, view, rng = make_log(lines), View(), Random(seed)
    while view.position < len(log):
        position = rng.randint(view.position, len(log))
        at = view_at(log, position).without_removals(rng.randint(0, position)) if rng.random() < 0.3 else view_at(
            log, position)
        since = rng.choice((0, view.position, rng.randint(0, view.position)))
        change = at.change_since(since, view.lineage)
        assert change is not None
        if rng.random() < 0.3 and not change.is_snapshot:  # all entries since then, in any order
            change = replace(change, entries=tuple(rng.sample(log[since:position], position - since)))
        for _ in range(rng.choice((1, 1, 2))):
            changed = view.apply(change)
        assert view.position == position and present(view.entries) == present(full_state(log, position))
        assert not changed or change.position == position
    for labels in LABELS:
        assert combine_layers(view.layers_for(labels)) == combine_layers(
            entry for scope, entry in full_state(log, len(log)).items() if scope in labels.scopes())


@given(LINES, SEEDS)
def test_a_follower_that_gets_only_its_own_scopes_has_the_same_overlay(lines: list[tuple[Scope, bool]],
                                                                       seed: int) -> None:
    log, view, rng = make_log(lines), View(), Random(seed)
    labels = rng.choice(LABELS)
    while view.position < len(log):
        position = rng.randint(view.position, len(log))
        change = view_at(log, position).change_since(view.position, view.lineage)
        assert change is not None
        limited = limited_to(change, labels)
        assert {entry.scope for entry in limited.entries} <= set(labels.scopes())
        view.apply(limited)
        assert combine_layers(view.layers_for(labels)) == combine_layers(view_at(log, position).layers_for(labels))


@given(LINES, SEEDS)
def test_merged_changes_have_the_effect_of_all_of_them(lines: list[tuple[Scope, bool]], seed: int) -> None:
    log, rng = make_log(lines), Random(seed)
    cuts = sorted({0, *(rng.randint(0, len(log)) for _ in range(4)), len(log)})
    first = rng.choice(cuts[:-1])
    changes = [change for since, position in zip(cuts, cuts[1:], strict=False) if since >= first
               for change in (view_at(log, position).change_since(since, "l"),) if change is not None]
    start = view_at(log, first)
    one, each = replace(start, entries=dict(start.entries)), replace(start, entries=dict(start.entries))
    merged = merge_changes(changes)
    assert merged is not None
    one.apply(merged)
    for change in changes:
        each.apply(change)
    assert one.entries == each.entries == full_state(log, len(log)) and one.position == each.position == len(log)


@given(LINES, SEEDS)
def test_a_follower_behind_a_dropped_removal_gets_a_snapshot(lines: list[tuple[Scope, bool]], seed: int) -> None:
    """A follower that is behind a dropped removal gets a snapshot, and so removes the scope too."""
    log, rng = make_log(lines), Random(seed)
    position, behind = len(log), rng.randint(0, len(log))
    kept = view_at(log, position).without_removals(rng.randint(0, position))
    follower = view_at(log, behind)
    change = kept.change_since(behind, "l")
    assert change is not None and change.is_snapshot == (behind == 0 or behind < kept.floor)
    follower.apply(change)
    assert present(follower.entries) == present(full_state(log, position))


@pytest.mark.parametrize(("change", "text"), [
    (Change("other", 9, 5, False, 0, ()), "lineage: expected l, got other"),
    (Change("l", 4, 3, False, 0, ()), "position: expected 5 or more, got 4"),
    (Change("l", 4, 0, True, 0, ()), "position: expected 5 or more, got 4"),
    (Change("l", 9, 6, False, 0, ()), "since: expected 5 or less, got 6"),
    (Change("l", 6, 5, False, 0, (Entry(7, ALL, {}),)), "entry 7: expected 6 or less"),
])
def test_a_change_that_does_not_continue_the_view_is_refused_and_changes_nothing(change: Change, text: str) -> None:
    log = make_log([(ALL, False)] * 5)
    view = view_at(log, 5)
    with pytest.raises(ViewError, match=text):
        view.apply(change)
    assert (view.lineage, view.position, view.entries) == ("l", 5, full_state(log, 5))


def test_changes_with_a_gap_can_not_be_merged() -> None:
    log = make_log([(ALL, False)] * 5)
    some: list[Any] = [view_at(log, 2).change_since(1, "l"), view_at(log, 5).change_since(4, "l")]
    with pytest.raises(ViewError, match="since: expected 2 or less, got 4"):
        merge_changes(some)


def test_a_reader_that_is_ahead_or_of_another_lineage_gets_no_change() -> None:
    view = view_at(make_log([(ALL, False)] * 3), 3)
    assert view.change_since(4, "l") is None and view.change_since(2, "other") is None
    same = view.change_since(3, "l")
    assert same is not None and same.entries == () and not same.is_snapshot
    first = view.change_since(0, "")
    assert first is not None and first.is_snapshot and len(first.entries) == 1
