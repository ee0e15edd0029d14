"""Work that is done again and again on the event loop."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable

from ironscale import logs


class Periodic:
    """Calls `act` every so many seconds. A job that arms its own timer last is over with its first error, and
    what it looks after (silent clients, a paused listener) waits for ever."""

    def __init__(self, every_s: float, act: Callable[[], None]) -> None:
        self.every_s, self.act = every_s, act
        self.loop = asyncio.get_running_loop()
        self.handle = self.loop.call_later(every_s, self.run)

    def run(self) -> None:
        self.handle = self.loop.call_later(self.every_s, self.run)
        try:
            self.act()
        except Exception:
            logs.write_line(f"{getattr(self.act, '__qualname__', self.act)}: tried again\n{traceback.format_exc()}")

    def cancel(self) -> None:
        self.handle.cancel()
