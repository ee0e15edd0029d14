"""An event loop with real sockets and a virtual clock. The clock moves to the next timer only when no socket is ready,
so that seconds pass in milliseconds and a busy machine does not delay anything in virtual time."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from ironscale.net import sidecar

SETTLE_S = 0.002  # time for the kernel to carry bytes over the loopback interface
TIMEOUT_S = 600.0  # limit of a test, in virtual time


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is moved by its selector."""

    def __init__(self) -> None:
        self.virtual_time_s = 1_000.0
        super().__init__(ClockMovingSelector(self))

    def time(self) -> float:
        return self.virtual_time_s


class ClockMovingSelector(selectors.DefaultSelector):
    """Waits briefly for the sockets; if none is ready, moves the clock to the next timer."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self.loop = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(timeout if timeout is None else min(timeout, SETTLE_S))
        if not ready and timeout:
            self.loop.virtual_time_s += timeout
        return ready


async def until(condition: Callable[[], object]) -> None:
    """Waits until the condition holds. Its steps are longer than those of tests.sockets.until, as each of them takes
    `SETTLE_S` of real time."""
    while not condition():
        await asyncio.sleep(0.02)


class VirtualClock:
    """Takes the place of a sidecar's clock: the loop's time as microseconds since the epoch."""

    def now_us(self) -> int:
        return 1_700_000_000_000_000 + int(asyncio.get_running_loop().time() * 1e6)


def run_virtual(test: Callable[[], Coroutine[Any, Any, None]], monkeypatch: pytest.MonkeyPatch) -> None:
    """Runs a test on a `VirtualLoop`, with sidecars that use its clock."""
    async def limited() -> None:
        await asyncio.wait_for(test(), TIMEOUT_S)

    monkeypatch.setattr(sidecar, "Clock", VirtualClock)
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(limited())
