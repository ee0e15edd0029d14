"""Moments to some ten microseconds: event loops count their timers in whole milliseconds, a timerfd does not."""

from __future__ import annotations

import asyncio
import ctypes
import os
import time
from collections.abc import Callable

CLOCK_MONOTONIC, TFD_NONBLOCK, TFD_CLOEXEC, TFD_TIMER_ABSTIME = 1, 0o4000, 0o2000000, 1


class _Spec(ctypes.Structure):
    _fields_ = (
        ("interval_s", ctypes.c_long),
        ("interval_ns", ctypes.c_long),
        ("value_s", ctypes.c_long),
        ("value_ns", ctypes.c_long),
    )


class Pacer:
    """Calls `act` once at the moment last asked for, on the monotonic clock, which no step of the wall clock moves."""

    def __init__(self, act: Callable[[], None]) -> None:
        self.act = act
        self.at_ns = 0
        self.loop = asyncio.get_running_loop()
        self.fd = -1
        self.handle: asyncio.TimerHandle | None = None
        try:
            self.libc = ctypes.CDLL(None, use_errno=True)
            self.fd = self.libc.timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)
        except AttributeError:  # no such call here: the loop's own timers, and the lag shows it
            pass
        if self.fd >= 0:
            self.spec = _Spec()
            self.loop.add_reader(self.fd, self._due)

    def arm(self, at_ns: int) -> None:
        if at_ns == self.at_ns:
            return
        self.at_ns = at_ns
        if self.fd >= 0:
            # hazard: a time of 0 would disarm it
            self.spec.value_s, self.spec.value_ns = divmod(max(1, at_ns), 1_000_000_000)
            self.libc.timerfd_settime(self.fd, TFD_TIMER_ABSTIME, ctypes.byref(self.spec), None)
            return
        if self.handle is not None:
            self.handle.cancel()
        self.handle = self.loop.call_later(max(0, at_ns - time.monotonic_ns()) / 1e9, self._due)

    def _due(self) -> None:
        if self.fd >= 0:
            try:
                os.read(self.fd, 8)
            except BlockingIOError:  # armed anew meanwhile
                return
        self.at_ns = 0
        self.act()

    def close(self) -> None:
        if self.handle is not None:
            self.handle.cancel()
        if self.fd >= 0:
            self.loop.remove_reader(self.fd)
            os.close(self.fd)
            self.fd = -1
