"""Signals of the process, heard on the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import Callable

MOST_BYTES = 4096  # read at a time: one for each signal


class Signals:
    """Runs an act on the loop for each signal that has one.

    The event loop waits in the kernel, and a signal's byte on a descriptor ends that wait. The loop's own byte goes
    through a socket, whose calls may fail, and the signal is heard only with the next timer; a pipe always takes it.
    """

    def __init__(self) -> None:
        """Raises OSError where there is no pipe to be had."""
        self.loop = asyncio.get_running_loop()
        self.reading, self.writing = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self.loop.add_reader(self.reading, self.heard)
        signal.set_wakeup_fd(self.writing, warn_on_full_buffer=False)  # full, it ends the wait all the same

    def heard(self) -> None:
        """The interpreter has run the handlers by now."""
        with contextlib.suppress(OSError):
            os.read(self.reading, MOST_BYTES)

    def on(self, number: int, act: Callable[[], None]) -> None:
        signal.signal(number, lambda *_: self.loop.call_soon(act))

    def close(self) -> None:
        """Signals that have an act should be ignored or put back before."""
        signal.set_wakeup_fd(-1)
        self.loop.remove_reader(self.reading)
        os.close(self.reading)
        os.close(self.writing)
