"""Ids of requests are remembered for a while, in bounded memory."""

from __future__ import annotations

from ironscale.net.recent_ids import GENERATION_IDS, GENERATION_US, RecentIds


# Guards against an id that is forgotten while a client may still repeat it.
def test_an_id_is_remembered_for_a_generation() -> None:
    ids = RecentIds(0)
    ids.add("a", GENERATION_US - 1)
    assert ids.contains("a", 2 * GENERATION_US - 2)
    assert not ids.contains("b", 2 * GENERATION_US - 2)


def test_an_id_is_forgotten_after_two_generations() -> None:
    ids = RecentIds(0)
    ids.add("a", 0)
    assert not ids.contains("a", 2 * GENERATION_US)


# Guards against memory that grows with the number of ids.
def test_the_number_of_remembered_ids_is_bounded() -> None:
    ids = RecentIds(0)
    for number in range(10 * GENERATION_IDS):
        ids.add(f"id-{number}", 0)
        assert ids.contains(f"id-{max(0, number - GENERATION_IDS + 1)}", 0)
    assert len(ids.newer) + len(ids.older) <= 2 * GENERATION_IDS
