"""An id that a client sends again, while or after its request is out, is not served a second time."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from tests.faults.ledger import LANES, Call
from tests.faults.site import SidecarProcess, Site
from tests.faults.test_calls import play

LEAVE_AFTER_S = 0.4
REPEAT_PAUSE_S = 0.02
REPEATED_S = 3.0  # longer than the attempts of the request that was left are out
MAX_ATTEMPTS = 2  # of the request that was left: the first, and a hedge before its client left


async def repeat(sidecar: SidecarProcess, call: Call, seconds: float) -> set[int]:
    """Sends the same request again and again, each time on a new connection; returns the statuses of the answers."""
    data, statuses = sidecar.clients.request(call, 1.5), set()
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        connection = await sidecar.clients.connect()
        if await connection.ask(data, 2.5):
            statuses.add(connection.parser.get_status_code())
        connection.transport.abort()
        await asyncio.sleep(REPEAT_PAUSE_S)
    return statuses


# Guards against a copy of a request that is served once the client of the first has left.
@pytest.mark.parametrize("lane", LANES)
def test_the_id_of_a_request_whose_client_has_left_is_not_served(tmp_path: Path, lane: str) -> None:
    async def test(site: Site) -> None:
        sidecar = await site.serving()
        for upstream in site.upstreams:
            upstream.fault = "hang"
        leaving = asyncio.create_task(sidecar.clients.call(lane, leave_after_s=LEAVE_AFTER_S, keep=False))
        await asyncio.sleep(LEAVE_AFTER_S / 2)
        call = next(iter(site.ledger.calls.values()))
        repeating = asyncio.create_task(repeat(sidecar, call, REPEATED_S))
        await leaving
        for upstream in site.upstreams:
            upstream.fault = ""
        assert await repeating == {400}
        assert len(call.arrivals) <= MAX_ATTEMPTS
        assert not site.ledger.violations()

    play(tmp_path, test)


# Guards against a copy of a request that is served after the first has been answered.
@pytest.mark.parametrize("lane", LANES)
def test_the_id_of_a_request_that_has_been_answered_is_not_served(tmp_path: Path, lane: str) -> None:
    async def test(site: Site) -> None:
        sidecar = await site.serving()
        call = await sidecar.clients.call(lane)
        assert call.status == 200
        assert await repeat(sidecar, call, 0.5) == {400}
        assert len(call.arrivals) == 1

    play(tmp_path, test)
