"""Real sockets under a clock that only moves on when nothing is left to do: seconds pass in milliseconds, and a busy
machine, which makes everything later, makes nothing later here."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from ironscale.net import sidecar

SETTLE_S = 0.002  # what the kernel may need to carry bytes over the loopback
LIMIT_S = 600.0  # of its own clock


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.ahead_s = 1_000.0
        super().__init__(Jumping(self))

    def time(self) -> float:
        return self.ahead_s


class Jumping(selectors.DefaultSelector):
    """Waits a moment for the sockets, and else for the next timer by moving the clock there."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self.loop = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(timeout if timeout is None else min(timeout, SETTLE_S))
        if not ready and timeout:
            self.loop.ahead_s += timeout
        return ready


async def until(condition: Callable[[], object]) -> None:
    """As the one for real time, in longer steps: each of them takes `SETTLE_S`."""
    while not condition():
        await asyncio.sleep(0.02)


class VirtualClock:
    """In place of a sidecar's own."""

    def now_us(self) -> int:
        return 1_700_000_000_000_000 + int(asyncio.get_running_loop().time() * 1e6)


def play(test: Callable[[], Coroutine[Any, Any, None]], monkeypatch: pytest.MonkeyPatch) -> None:
    async def limited() -> None:
        await asyncio.wait_for(test(), LIMIT_S)

    monkeypatch.setattr(sidecar, "Clock", VirtualClock)
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(limited())
