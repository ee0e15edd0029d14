"""System calls of one real sidecar process fail for a while: no request that it has accepted is lost."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.faults.clients import send_load
from tests.faults.shim import Fault, always
from tests.faults.site import SidecarProcess, Site
from tests.sockets import run


def play(folder: Path, test: Callable[[Site], Awaitable[None]], deadline_s: float = 2.0) -> None:
    """Runs `test` with its own site and stops everything that it started."""
    async def whole() -> None:
        site = Site(folder, deadline_s)
        try:
            await test(site)
        finally:
            await site.stop()

    run(whole, 60.0)


async def assert_clean_exit(sidecar: SidecarProcess, limit_s: float = 8.0) -> None:
    sidecar.shim.set({})
    if sidecar.exit_code() is None:
        sidecar.signal(signal.SIGTERM)
    assert await sidecar.wait_for_exit(limit_s) == 0, sidecar.log()[-2000:]


def assert_no_violations(site: Site, served: int = 1) -> None:
    assert not site.ledger.violations(), (site.ledger.violations()[:5], site.ledger.results(),
                                          [one.log()[-1500:] for one in site.sidecars])
    assert not [one for one in site.sidecars if "violation:" in one.log()], [one.log()[-3000:] for one in site.sidecars]
    assert site.ledger.results()["200"] >= served, site.ledger.results()


SERVICE_FAULTS = {
    "no log line is written": {Fault.LOG_WRITE: 1000},
    "sockets and connects": {Fault.SOCKET: 300, Fault.CONNECT: 300},
    "accepts": {Fault.ACCEPT: 500},
    "interrupted waits": {Fault.INTERRUPT: 300},
    "short reads and writes": {Fault.SHORT_READ: 300, Fault.SHORT_WRITE: 300},
    "reads": {Fault.READ_ERROR: 100},
    "writes": {Fault.WRITE_ERROR: 200},
    "socket options": {Fault.SOCKET_OPTION: 300},
    "all of them": {Fault.LOG_WRITE: 300, Fault.SOCKET: 50, Fault.CONNECT: 50, Fault.ACCEPT: 100, Fault.INTERRUPT: 100,
                    Fault.SHORT_READ: 100, Fault.SHORT_WRITE: 100, Fault.READ_ERROR: 20, Fault.WRITE_ERROR: 50},
}


# Guards against a failed system call that loses the answer to another request, or gives it a wrong one.
@pytest.mark.parametrize("rates", SERVICE_FAULTS.values(), ids=[name.replace(" ", "-") for name in SERVICE_FAULTS])
def test_requests_are_answered_while_system_calls_fail(tmp_path: Path, rates: dict[Fault, int]) -> None:
    async def test(site: Site) -> None:
        sidecar = await site.serving()
        job = asyncio.create_task(send_load(sidecar.clients, 4.0))
        await asyncio.sleep(0.5)
        for upstream, trouble in zip(site.upstreams, ("fail", "hang", "reset", "stray"), strict=False):
            upstream.fault = trouble
        site.upstreams[4].reset_all()  # so that new sockets are needed
        site.upstreams[5].reset_all()
        sidecar.shim.set(rates)
        await asyncio.sleep(2.0)
        sidecar.shim.set({})
        for upstream in site.upstreams:
            upstream.fault = ""
        await job
        assert sidecar.shim.injected(), "no call failed"
        assert_no_violations(site)
        await assert_clean_exit(sidecar)

    play(tmp_path, test)


SHUTDOWN_FAULTS = {
    "no socket": {Fault.SOCKET: 1000},
    "no connect": {Fault.CONNECT: 1000},
    "no accept": {Fault.ACCEPT: 1000},
    "accepts": {Fault.ACCEPT: 500},
    "no listen or bind": {Fault.BIND: 1000},
    "no log line": {Fault.LOG_WRITE: 1000},
    "socket options": {Fault.SOCKET_OPTION: 1000},
    "interrupted waits": {Fault.INTERRUPT: 500},
    "short reads and writes": {Fault.SHORT_READ: 500, Fault.SHORT_WRITE: 500},
}


# Guards against a shutdown that ends early, or that drops connections which could not be accepted for a while.
@pytest.mark.parametrize("rates", SHUTDOWN_FAULTS.values(), ids=[name.replace(" ", "-") for name in SHUTDOWN_FAULTS])
def test_a_shutdown_loses_nothing_while_system_calls_fail(tmp_path: Path, rates: dict[Fault, int]) -> None:
    async def test(site: Site) -> None:
        sidecar = await site.serving()
        site.upstreams[0].delay_s = site.upstreams[1].delay_s = 1.2
        job = asyncio.create_task(send_load(sidecar.clients, 0.8, 100.0))
        await asyncio.sleep(0.4)
        sidecar.signal(signal.SIGTERM)
        sidecar.shim.set(rates)
        await asyncio.sleep(1.0)  # new connections come during the first 0.4 s
        sidecar.shim.set({})
        await job
        assert_no_violations(site)
        assert await sidecar.wait_for_exit(3.0) == 0, sidecar.log()[-2000:]

    play(tmp_path, test)


START_FAULTS = {
    "no socket": {Fault.SOCKET: 1000},
    "no bind": {Fault.BIND: 1000},
    "no file": {Fault.FILE_OPEN: 1000},
    "no accept": {Fault.ACCEPT: 1000},
    "no log line": {Fault.LOG_WRITE: 1000},
    "socket options": {Fault.SOCKET_OPTION: 1000},
}


# Guards against a start that gives up when a system call fails.
@pytest.mark.parametrize("rates", START_FAULTS.values(), ids=[name.replace(" ", "-") for name in START_FAULTS])
def test_a_start_survives_system_calls_that_fail_for_a_while(tmp_path: Path, rates: dict[Fault, int]) -> None:
    async def test(site: Site) -> None:
        await site.start()
        sidecar = site.sidecars[0]
        sidecar.shim.set(rates)
        sidecar.launch()
        await asyncio.sleep(1.5)
        assert sidecar.exit_code() is None, sidecar.log()
        sidecar.shim.set({})
        assert await sidecar.ready(), sidecar.log()
        await send_load(sidecar.clients, 0.5)
        assert_no_violations(site)
        await assert_clean_exit(sidecar)

    play(tmp_path, test)


# Guards against a new configuration that is never applied because its file could not be read for a while.
def test_a_reload_that_cannot_read_its_file_is_retried(tmp_path: Path) -> None:
    async def test(site: Site) -> None:
        sidecar = await site.serving()
        other = type(site.discovery)()
        await other.start()
        other.put(*site.discovery.entries.values())
        sidecar.configure(discovery=f"127.0.0.1:{other.port}")
        sidecar.shim.set(always(Fault.FILE_OPEN))
        sidecar.signal(signal.SIGHUP)
        await asyncio.sleep(1.0)
        sidecar.shim.set({})
        async with asyncio.timeout(3.0):
            while not other.watches:
                await asyncio.sleep(0.01)
        await send_load(sidecar.clients, 0.3)
        assert_no_violations(site)
        await assert_clean_exit(sidecar)
        await other.stop()

    play(tmp_path, test)
