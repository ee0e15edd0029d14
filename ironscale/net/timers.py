"""The clock of a sidecar, and its timers, which share a single timer of the event loop."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable

MIN_CANCELLED_TIMERS = 1_000  # up to so many cancelled timers stay in the heap until their time


class Clock:
    """Unix time in microseconds, read once at the start and advanced by the monotonic clock, so that it never steps."""

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        return (time.monotonic_ns() + self.offset_ns) // 1000


def wall_clock_us() -> int:
    """Unix time in microseconds from the system clock, which may step."""
    return time.time_ns() // 1000


class Timer:
    """Calls `callback` once, never before its time."""

    __slots__ = ("callback", "at_us", "timers")

    def __init__(self, timers: TimerQueue, at_us: int, callback: Callable[[], None]) -> None:
        self.timers, self.at_us = timers, at_us
        self.callback: Callable[[], None] | None = callback  # None once it has been called or cancelled

    def cancel(self) -> None:
        if self.callback is not None:
            self.callback = None
            self.timers.cancelled += 1


class TimerQueue:
    """All timers of a sidecar, driven by a single timer of the event loop: most are cancelled long before their time,
    and a loop timer costs some microseconds to create and to cancel."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.heap: list[tuple[int, int, Timer]] = []
        self.sequence = 0
        self.cancelled = 0  # cancelled timers that are still in the heap
        self.armed_us = 0  # when the loop's timer fires; 0 if it is not set
        self.handle: asyncio.TimerHandle | None = None

    def schedule(self, at_us: int, callback: Callable[[], None]) -> Timer:
        timer = Timer(self, at_us, callback)
        self.sequence += 1
        heapq.heappush(self.heap, (at_us, self.sequence, timer))
        if not self.armed_us or at_us < self.armed_us:
            self.arm()
        # with deadlines of an hour, cancelled timers would otherwise fill the memory
        if self.cancelled > MIN_CANCELLED_TIMERS and 2 * self.cancelled > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].callback is not None]
            heapq.heapify(self.heap)
            self.cancelled = 0
        return timer

    def arm(self) -> None:
        """Sets the loop's timer to the first timer that has not been cancelled."""
        if self.handle is not None:
            self.handle.cancel()
        heap, self.armed_us, self.handle = self.heap, 0, None
        while heap and heap[0][2].callback is None:
            heapq.heappop(heap)
            self.cancelled = max(0, self.cancelled - 1)
        if heap:
            self.armed_us = heap[0][0]
            left_ms = max(0, self.armed_us - self.clock.now_us()) // 1000 + 1
            self.handle = self.loop.call_later(left_ms / 1000, self.fire)

    def fire(self) -> None:
        # The loop counts in whole milliseconds and may fire early. The balancer would ignore an early timer as stale
        # and wait for ever for the one that it has set, so only timers whose time has come are called.
        self.handle, heap = None, self.heap
        now_us = self.clock.now_us()
        due: list[Timer] = []
        while heap and heap[0][0] <= now_us:
            due.append(heapq.heappop(heap)[2])
        for timer in due:
            callback, timer.callback = timer.callback, None
            if callback is None:  # cancelled, possibly by a timer called in this loop
                self.cancelled = max(0, self.cancelled - 1)
                continue
            try:
                callback()
            except Exception as error:  # the other timers must still be called
                self.loop.call_exception_handler({"message": "a timer's callback failed", "exception": error})
        self.arm()
