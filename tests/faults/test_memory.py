"""A real process stays within the memory limit of its settings, whatever its clients do, and serves usual ones."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.faults.clients import send_load
from tests.faults.crowd import CROWDS, LEAST_MEMORY_MB, SOCKETS, Behaviour, crowd, memory_of
from tests.faults.site import SidecarProcess, Site
from tests.faults.test_calls import play

SECONDS, REQUESTS_PER_S = 4.0, 40.0
MIN_SERVED_SHARE = 0.9  # of the usual clients' requests


async def small_sidecar(site: Site) -> SidecarProcess:
    """A sidecar with the least memory and the descriptors that the settings may give."""
    await site.start()
    sidecar = site.sidecars[0]
    sidecar.configure(limits={"cores": 1.0, "memory_mb": LEAST_MEMORY_MB, "sockets": SOCKETS})
    sidecar.launch()
    assert await sidecar.ready(), sidecar.log()
    return sidecar


# Guards against a process that passes its memory limit as hundreds of clients are connected at once.
@pytest.mark.parametrize("behaviour", CROWDS.values(), ids=CROWDS)
def test_a_crowd_does_not_drive_the_process_over_its_memory_limit(tmp_path: Path, behaviour: Behaviour) -> None:
    async def test(site: Site) -> None:
        sidecar = await small_sidecar(site)
        async with crowd(sidecar.port, behaviour):
            calls = await send_load(sidecar.clients, SECONDS, REQUESTS_PER_S)
        assert sidecar.exit_code() is None and sidecar.process is not None
        memory = memory_of(sidecar.process.pid)
        assert memory.peak_mb <= LEAST_MEMORY_MB, memory
        assert not site.ledger.violations()
        assert sum(call.status == 200 for call in calls) >= MIN_SERVED_SHARE * len(calls), site.ledger.results()

    play(tmp_path, test)


# Guards against memory that one client fills with values that are new with each of its requests.
def test_long_values_that_one_client_sends_anew_are_not_kept(tmp_path: Path) -> None:
    async def test(site: Site) -> None:
        sidecar = await small_sidecar(site)
        for number in range(600):
            reader, writer = await asyncio.open_connection("127.0.0.1", sidecar.port)
            writer.write(b"GET /api HTTP/1.1\r\nHost: s\r\nX-Txn: n%d\r\nX-Lane: view\r\nX-Remaining: %d%s\r\n\r\n"
                         % (number, number, b"9" * 50_000))
            assert (await reader.readline()).split()[1] == b"400"
            writer.transport.abort()
        assert sidecar.process is not None
        assert memory_of(sidecar.process.pid).peak_mb <= LEAST_MEMORY_MB

    play(tmp_path, test)
