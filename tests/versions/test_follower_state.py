"""A follower never goes back, runs the same configuration at the same position, and loses no update."""

from __future__ import annotations

import random

from ironscale.versions.compacted_log import Change, View, limited_to
from ironscale.versions.follower_state import FollowerState, UpdateOutcome
from ironscale.versions.model import ALL, Entry, Labels, Reach, Scope, combine_layers, overlay_digest

LABELS = Labels("app-1", "app", "a", "north")
SCOPES = (ALL, Scope(Reach.REGION, "north"), Scope(Reach.ZONE, "a"), Scope(Reach.ZONE, "b"),
          Scope(Reach.SERVICE, "app"), Scope(Reach.INSTANCE, "app-1"), Scope(Reach.INSTANCE, "app-2"))


def random_log(rng: random.Random, count: int) -> list[Entry]:
    """A random log."""
    return [Entry(n, rng.choice(SCOPES), None if rng.random() < 0.15 else
                  {rng.choice("abc"): rng.choice((1, None, {"x": rng.randrange(9)}))}) for n in range(1, count + 1)]


def view_at(log: list[Entry], position: int) -> View:
    view = View()
    view.apply(Change("L", position, 0, True, 0, tuple(log[:position])))
    return view


def update_from(view: View, since: int, labels: Labels = LABELS) -> tuple[Change, str] | None:
    change = view.change_since(since, "L" if since else "")
    if change is None:
        return None
    return limited_to(change, labels), overlay_digest(combine_layers(view.layers_for(labels)))


def test_a_follower_never_goes_back_and_runs_the_configuration_of_its_position() -> None:
    for seed in range(3_000):
        rng = random.Random(seed)
        log = random_log(rng, rng.randrange(1, 20))
        state, ran = FollowerState(LABELS), dict[str, object]()
        for _ in range(rng.randrange(1, 30)):
            agent = view_at(log, rng.randrange(1, len(log) + 1))
            if rng.random() < 0.3:
                agent = agent.without_removals(rng.randrange(agent.position + 1))
            # an agent may be wrong about the position of this follower
            since = state.resume_position() if rng.random() < 0.7 else rng.randrange(agent.position + 1)
            found = update_from(agent, since)
            if found is None:
                continue
            change, digest = found
            if rng.random() < 0.1 and change.entries:
                change = Change(change.lineage, change.position, change.since, change.is_snapshot, change.floor,
                                change.entries[1:])  # the first entry was lost on the way
            before = state.view.position, state.running
            if state.handle_update(change, digest) is UpdateOutcome.APPLY:
                if rng.random() < 0.2:
                    state.mark_refused("refused", "no")
                else:
                    ran = dict(state.overlay())
                    state.mark_applied()
            assert state.view.position >= before[0] and state.running >= before[1], seed
            held = combine_layers(view_at(log, state.view.position).layers_for(LABELS)) if state.view.position else {}
            assert state.desired == held, seed
            if state.running:
                assert ran == combine_layers(view_at(log, state.running).layers_for(LABELS)) or not ran, seed
                assert state.running_digest == overlay_digest(ran), seed
        for _ in range(3):  # in the end it reaches the newest position, whatever was lost before
            found = update_from(view_at(log, len(log)), state.resume_position())
            assert found is not None
            if state.handle_update(*found) is UpdateOutcome.APPLY:
                state.mark_applied()
        assert state.view.position == len(log) and not state.needs_snapshot, seed
        assert state.desired == combine_layers(view_at(log, len(log)).layers_for(LABELS)), seed


def test_an_update_of_another_lineage_is_not_followed() -> None:
    log = [Entry(1, ALL, {"a": 1})]
    state = FollowerState(LABELS)
    assert state.handle_update(*update_from(view_at(log, 1), 0) or ()) is UpdateOutcome.APPLY
    state.mark_applied()
    other = Change("M", 9, 0, True, 0, (Entry(9, ALL, {"a": 2}),))
    assert state.handle_update(other, overlay_digest({"a": 2})) is UpdateOutcome.OTHER_LINEAGE and state.desired == {
        "a": 1}


def test_a_refused_configuration_is_retried_only_with_the_next_version() -> None:
    log = [Entry(1, ALL, {"a": 1}), Entry(2, ALL, {"a": "bad"}), Entry(3, Scope(Reach.ZONE, "b"), {"b": 1}),
           Entry(4, ALL, {"a": 3})]
    state = FollowerState(LABELS)
    outcomes = []
    for position in (1, 2, 3, 4):
        found = update_from(view_at(log, position), state.resume_position())
        assert found is not None
        outcomes.append(state.handle_update(*found))
        if outcomes[-1] is UpdateOutcome.APPLY and position == 2:
            state.mark_refused("refused", "a: expected a number")
        elif outcomes[-1] is UpdateOutcome.APPLY:
            state.mark_applied()
        if position == 3:
            assert (state.view.position, state.running, state.status) == (3, 1, "refused")
    assert outcomes == [UpdateOutcome.APPLY, UpdateOutcome.APPLY, UpdateOutcome.NOTHING, UpdateOutcome.APPLY]
    assert (state.running, state.status) == (4, "applied")
