"""Accepted requests are answered before the earliest SIGKILL, even if the process was stalled when SIGTERM came."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.faults.clients import ClientConnection
from tests.faults.shim import Fault, always
from tests.faults.site import SidecarProcess, Site
from tests.faults.soak import KILL_AFTER_S
from tests.faults.test_calls import play

DEADLINE_S = 0.8
STALL_S = 0.15  # how long a process may get no CPU time
COMPLETE_S = 1.0  # after SIGTERM a slow client's request is complete; its deadline is after the SIGKILL


async def terminate_stalled(sidecar: SidecarProcess) -> None:
    sidecar.signal(signal.SIGSTOP)
    sidecar.signal(signal.SIGTERM)
    await asyncio.sleep(STALL_S)
    sidecar.signal(signal.SIGCONT)


async def terminate_unheard(sidecar: SidecarProcess) -> None:
    """Sends SIGTERM while the write that wakes up the event loop for a signal fails."""
    sidecar.shim.set(always(Fault.WRITE_ERROR))
    sidecar.signal(signal.SIGTERM)
    await asyncio.sleep(0.25)
    sidecar.shim.set({})


# Guards against requests that are unanswered at SIGKILL because the shutdown time was counted from too late a moment.
@pytest.mark.parametrize("tell", [terminate_stalled, terminate_unheard])
def test_the_last_request_is_answered_before_sigkill(tell: Callable[[SidecarProcess], Awaitable[None]],
                                                    tmp_path: Path) -> None:
    async def test(site: Site) -> None:
        sidecar = await site.serving()
        for upstream in site.upstreams:
            upstream.fault = "hang"
        connection: ClientConnection = await sidecar.clients.connect()
        call = site.ledger.new_call("view", DEADLINE_S)
        request = sidecar.clients.request(call, DEADLINE_S)
        connection.transport.write(request[:40])
        await asyncio.sleep(0.1)
        begun_s = time.monotonic()
        await tell(sidecar)
        await asyncio.sleep(begun_s + COMPLETE_S - time.monotonic())
        answered = await connection.ask(request[40:], begun_s + DEADLINE_S + KILL_AFTER_S - time.monotonic())
        sidecar.kill()
        assert answered and connection.parser.get_status_code() in (502, 503), sidecar.log()[-2000:]

    play(tmp_path, test, DEADLINE_S)
