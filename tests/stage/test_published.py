"""Published versions under drawn faults in virtual time: what has to hold, and that the checkers can see."""

from __future__ import annotations

from typing import Any

import pytest

from ironscale.stage.history import Entry
from ironscale.stage.published_checkers import account, check, digest_of
from ironscale.stage.published_simulation import PLANTS, play_seed

SEEDS = 40  # a planted fault is seen within so many


@pytest.mark.parametrize("seed", range(8))
def test_drawn_schedules_hold(seed: int) -> None:
    entries = play_seed(seed)
    assert not check(entries), f"seed {seed}"
    seen = account(entries)
    assert seen["commits"] >= 4 and seen["lost"] + seen["cuts"] > 0 and seen["runs"] >= seen["instances"]


def test_the_same_seed_is_the_same_play() -> None:
    assert play_seed(3, seconds=10.0) == play_seed(3, seconds=10.0)


@pytest.mark.parametrize("plant", PLANTS[1:])
def test_a_planted_fault_is_seen(plant: str) -> None:
    for seed in range(SEEDS):
        if check(play_seed(seed, plant=plant)):
            return
    raise AssertionError(f"{plant}: not seen in {SEEDS} seeds")


def history(*more: Entry) -> list[Entry]:
    """One instance, one agent, one version that arrives after a second."""
    start: list[Entry] = [
        {"at_us": 0, "kind": "labels", "who": "app-0", "scopes": ["all"]},
        {"at_us": 0, "kind": "up", "who": "app-0", "up": True},
        {"at_us": 0, "kind": "up", "who": "agent-0", "up": True},
        {"at_us": 0, "kind": "reach", "who": "agent-0", "agent": "record", "up": True},
        {"at_us": 0, "kind": "reach", "who": "app-0", "agent": "agent-0", "up": True},
        {"at_us": 1_000_000, "kind": "commit", "version": 1, "scope": "all", "overlay": {"a": 1}}]
    return [*start, *more, {"at_us": 40_000_000, "kind": "end"}]


def runs(at_s: float, position: int, running: int, overlay: Any, boot: str = "1") -> Entry:
    return {"at_us": int(at_s * 1e6), "kind": "runs", "who": "app-0", "boot": boot, "position": position,
            "running": running, "digest": digest_of(overlay), "status": "applied"}


def test_each_invariant_is_seen_broken_by_itself() -> None:
    commit = {"at_us": 3_000_000, "kind": "commit", "version": 2, "scope": "all", "overlay": {"a": 2}}
    assert check(history(runs(2, 1, 1, {"a": 1}))) == []
    assert "not committed" in check(history(runs(0.2, 1, 1, {"a": 1})))[0]
    assert "other bytes" in check(history(runs(2, 1, 1, {"a": 2})))[0]
    assert "does not have version 1" in check(history())[0]
    assert "does not have version 1" in check(history(runs(13.2, 1, 1, {"a": 1})))[0]
    assert check(history(runs(12.9, 1, 1, {"a": 1}))) == []
    later = [commit, runs(4, 2, 2, {"a": 2})]
    back = check(history(*later, runs(5, 1, 1, {"a": 1})))
    assert "went from (2, 2) back to (1, 1)" in back[0]
    # refused: held, and told, and what ran before goes on
    assert check(history(runs(2, 1, 1, {"a": 1}), commit, runs(4, 2, 1, {"a": 1}))) == []
    # out of reach: the limit begins when the way to one agent that reaches the record is there
    cut = {"at_us": 500_000, "kind": "reach", "who": "agent-0", "agent": "record", "up": False}
    mended = {"at_us": 20_000_000, "kind": "reach", "who": "agent-0", "agent": "record", "up": True}
    assert check(history(cut, mended, runs(31.9, 1, 1, {"a": 1}))) == []
    assert "does not have" in check(history(cut, mended, runs(32.1, 1, 1, {"a": 1})))[0]
