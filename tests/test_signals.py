"""Signals wake the event loop through a pipe of their own."""

from __future__ import annotations

import asyncio
import os
import signal
import stat

from ironscale.net.signals import Signals
from tests.sockets import run


# Guards against a signal that is only handled when the next timer fires, because a socket refused its wakeup byte.
def test_a_signal_wakes_the_event_loop_through_a_pipe() -> None:
    async def test() -> None:
        before = signal.getsignal(signal.SIGUSR1)
        heard = asyncio.Event()
        signals = Signals()
        try:
            signals.on(signal.SIGUSR1, heard.set)
            descriptor = signal.set_wakeup_fd(-1)
            signal.set_wakeup_fd(descriptor)
            assert stat.S_ISFIFO(os.fstat(descriptor).st_mode)
            for _ in range(3):
                os.kill(os.getpid(), signal.SIGUSR1)
                await heard.wait()
                heard.clear()
        finally:
            signal.signal(signal.SIGUSR1, before)
            signals.close()

    run(test)


# Guards against starts that are retried and leak two descriptors each time.
def test_signals_that_are_closed_leave_no_descriptor() -> None:
    async def test() -> None:
        before = os.listdir("/proc/self/fd")
        for _ in range(3):
            Signals().close()
        assert len(os.listdir("/proc/self/fd")) == len(before)

    run(test)
