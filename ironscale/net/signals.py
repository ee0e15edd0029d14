"""Handles the signals of the process on the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import Callable

READ_BYTES = 4096  # read at a time; the interpreter writes one byte for each signal


class Signals:
    """Runs a callback on the event loop for each signal that has one.

    The event loop sleeps in the kernel, and a byte written to a wakeup descriptor wakes it at a signal. The loop's own
    wakeup descriptor is a socket, whose writes may fail; the signal would then be handled only when the next timer
    fires. A pipe always takes the byte.
    """

    def __init__(self) -> None:
        """Raises OSError if no pipe can be created."""
        self.loop = asyncio.get_running_loop()
        self.read_end, self.write_end = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self.loop.add_reader(self.read_end, self.empty_pipe)
        signal.set_wakeup_fd(self.write_end, warn_on_full_buffer=False)  # a full pipe wakes the loop as well

    def empty_pipe(self) -> None:
        """Empties the pipe; the interpreter has run the handlers by now."""
        with contextlib.suppress(OSError):
            os.read(self.read_end, READ_BYTES)

    def on(self, number: int, callback: Callable[[], None]) -> None:
        signal.signal(number, lambda *_: self.loop.call_soon(callback))

    def close(self) -> None:
        """Closes the pipe. Signals with a callback should be ignored or reset before."""
        signal.set_wakeup_fd(-1)
        self.loop.remove_reader(self.read_end)
        os.close(self.read_end)
        os.close(self.write_end)
