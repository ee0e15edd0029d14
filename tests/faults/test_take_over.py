"""A successor takes over the port while system calls of the ending process fail: clients notice nothing."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from tests.faults.clients import send_load
from tests.faults.shim import Fault
from tests.faults.site import Site
from tests.faults.test_calls import assert_clean_exit, assert_no_violations, play

FAULTS = {
    "none": {}, "no socket": {Fault.SOCKET: 1000}, "no connect": {Fault.CONNECT: 1000}, "no bind": {Fault.BIND: 1000},
    "accepts": {Fault.ACCEPT: 700}, "some of all": {Fault.SOCKET: 300, Fault.CONNECT: 300, Fault.BIND: 300,
                                                    Fault.ACCEPT: 300, Fault.SOCKET_OPTION: 300},
}


# Guards against resets of connections in the backlog of a listener that closes next to its successor's.
@pytest.mark.parametrize("rates", FAULTS.values(), ids=[name.replace(" ", "-") for name in FAULTS])
def test_a_successor_takes_over_while_system_calls_of_its_predecessor_fail(
        tmp_path: Path, rates: dict[Fault, int]) -> None:
    async def test(site: Site) -> None:
        await site.start(sidecars=2)
        former, successor = site.sidecars
        successor.port = successor.clients.port = former.port
        for sidecar in (former, successor):
            sidecar.operator = "[sidecar]\nreuse_port = true\n"
            sidecar.configure()
        former.launch()
        assert await former.ready(), former.log()
        job = asyncio.create_task(send_load(former.clients, 4.0, 100.0))
        successor.launch()
        assert await successor.ready(), successor.log()
        await asyncio.sleep(0.7)  # for the start of an interpreter: then both listen
        former.signal(signal.SIGTERM)
        former.shim.set(rates)
        await asyncio.sleep(1.2)
        former.shim.set({})
        await job
        assert await former.wait_for_exit(site.deadline_s + 1.0) == 0, former.log()[-2000:]
        assert_no_violations(site, 200)
        await assert_clean_exit(successor)

    play(tmp_path, test)
