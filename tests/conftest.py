"""The order of the tests: the long ones begin, one at the head of each worker's share."""

from __future__ import annotations

import os

import pytest

# Seconds by the end of a test's id, as measured on 8 cores; what is not named is short.
LONG = ("pushed_over_by_all_sidecars_together", "ends_well_and_leaves_no_process", "requests_that_are_over",
        "are_decided_alike_each_time", "is_true[1]", "is_true[2]", "before_its_deadline_and_frees_the_connection",
        "one_winner_each_round", "ctrl_c_in_the_middle_leaves_no_process")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    workers = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
    long = [item for item in items if item.nodeid.endswith(LONG)]
    short = [item for item in items if not item.nodeid.endswith(LONG)]
    share = -(-len(items) // workers)
    ordered: list[pytest.Item] = []
    for worker in range(workers):
        heads = long[worker::workers]
        ordered += heads
        ordered += short[:max(0, share - len(heads))]
        del short[:max(0, share - len(heads))]
    items[:] = ordered + short
