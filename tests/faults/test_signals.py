"""Signals are handled and shutdowns end cleanly although system calls of the event loop itself fail."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from tests.faults.clients import send_load
from tests.faults.shim import Fault, always
from tests.faults.site import Site
from tests.faults.test_calls import assert_clean_exit, assert_no_violations, play


# Guards against a SIGTERM that is lost when the wake-up write to the event loop fails, so that only SIGKILL helps.
@pytest.mark.parametrize("faults", [(Fault.WRITE_ERROR,), (Fault.READ_ERROR,), (Fault.SOCKET, Fault.BIND)],
                         ids=["no write", "no read", "no socket"])
def test_signals_are_handled_while_system_calls_of_the_event_loop_fail(
        faults: tuple[Fault, ...], tmp_path: Path) -> None:
    async def test(site: Site) -> None:
        sidecar = await site.serving()
        await send_load(sidecar.clients, 0.2)
        sidecar.shim.set(always(*faults))
        sidecar.signal(signal.SIGHUP)
        sidecar.signal(signal.SIGTERM)
        await asyncio.sleep(0.6)
        sidecar.shim.set({})
        assert await sidecar.wait_for_exit(site.deadline_s + 0.7) == 0, sidecar.log()[-2000:]
        assert_no_violations(site)

    play(tmp_path, test)


# Guards against a process that ends with an error after its last answer, because the loop can't be closed.
def test_a_shutdown_is_clean_although_nothing_can_be_opened(tmp_path: Path) -> None:
    async def test(site: Site) -> None:
        sidecar = await site.serving()
        await send_load(sidecar.clients, 0.2)
        sidecar.shim.set(always(Fault.SOCKET, Fault.THREAD, Fault.FILE_OPEN, Fault.DISK_WRITE))
        sidecar.signal(signal.SIGTERM)
        assert await sidecar.wait_for_exit(site.deadline_s + 1.5) == 0, sidecar.log()[-2000:]
        assert_no_violations(site)

    play(tmp_path, test)


# Guards against a process that the event loop ends because no thread can be started to resolve an address.
def test_connections_are_established_although_no_thread_can_be_started(tmp_path: Path) -> None:
    async def test(site: Site) -> None:
        sidecar = await site.serving()
        sidecar.shim.set(always(Fault.THREAD))
        await send_load(sidecar.clients, 1.0)
        assert sidecar.exit_code() is None, sidecar.log()[-2000:]
        assert_no_violations(site, 20)
        await assert_clean_exit(sidecar)

    play(tmp_path, test)
