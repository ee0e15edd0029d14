"""Periodic jobs on the event loop."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable

from ironscale import logs


class Periodic:
    """Calls `callback` every `interval_s` seconds, also after it has raised an exception. The timer is set before the
    call: a job that set its own timer last would stop at its first error, and what depends on it (closing silent
    clients, resuming a paused listener) would never happen again."""

    def __init__(self, interval_s: float, callback: Callable[[], None]) -> None:
        self.interval_s, self.callback = interval_s, callback
        self.loop = asyncio.get_running_loop()
        self.handle = self.loop.call_later(interval_s, self.run)

    def run(self) -> None:
        self.handle = self.loop.call_later(self.interval_s, self.run)
        try:
            self.callback()
        except Exception:
            logs.write_line(f"{getattr(self.callback, '__qualname__', self.callback)} failed; it will be tried again\n"
                      f"{traceback.format_exc()}")

    def cancel(self) -> None:
        self.handle.cancel()
