"""New upstream processes at the addresses of ones that have gone, told late: no request runs twice or is lost."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from pathlib import Path

import pytest

from tests.faults.clients import send_load
from tests.faults.site import Site
from tests.faults.test_calls import play
from tests.faults.upstream import Upstream

SECONDS, REQUESTS_PER_S = 6.0, 100.0
CELLS = 3


async def start_at(site: Site, old: Upstream) -> Upstream:
    """Starts a new upstream in another cell at the address of one that has stopped."""
    new = Upstream(site.ledger)
    new.port, new.cell = old.port, 1 + old.cell % CELLS
    while new.server is None:
        with contextlib.suppress(OSError):
            await new.start()
        await asyncio.sleep(0.01)
    return new


# Guards against a new process that is taken for the one that had its address before.
@pytest.mark.parametrize("seed", [1, 2])
def test_a_new_upstream_at_the_address_of_one_that_has_gone_is_not_taken_for_it(tmp_path: Path, seed: int) -> None:
    async def test(site: Site) -> None:
        rng = random.Random(seed)
        site.settings["accounts"] = [{"name": "north", "allowance-per-s": 1e5, "share": 1.0}]
        sidecar = await site.serving()
        loading = asyncio.create_task(send_load(sidecar.clients, SECONDS, REQUESTS_PER_S))
        names = {number: f"u{number}" for number in range(len(site.upstreams))}
        while not loading.done():
            await asyncio.sleep(rng.uniform(0.2, 0.7))
            number = rng.randrange(len(site.upstreams))
            old, old_name = site.upstreams[number], names[number]
            old.fault = rng.choice(("", "hang"))
            await asyncio.sleep(0.1)
            old.stop()
            new = site.upstreams[number] = await start_at(site, old)
            names[number] = f"{old_name}-next"
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            told = [new.entry(names[number], startedAtMs=int(time.time() * 1000))]
            if rng.random() < 0.5:  # otherwise the end of the old one is never told
                told.insert(0, old.entry(old_name, lifecycle="gone"))
            site.discovery.put(*told)
        assert not site.ledger.violations(), site.ledger.violations()[:3]
        assert site.ledger.results()["200"] >= 0.9 * len(site.ledger.calls), site.ledger.results()

    play(tmp_path, test)
