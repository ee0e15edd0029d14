"""Background tasks whose lifetime is bound to a block of code."""

from __future__ import annotations

import asyncio
import contextlib
import traceback
from collections.abc import AsyncIterator, Coroutine
from typing import Any

from ironscale import logs


@contextlib.asynccontextmanager
async def run_in_background(work: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Runs `work` concurrently with the block. When the block ends, `work` is cancelled and awaited. An exception in
    `work` is logged and does not affect the block."""
    task = asyncio.create_task(log_failure(work))
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        work.close()  # it may not have started


async def log_failure(work: Coroutine[Any, Any, None]) -> None:
    """Awaits `work`; logs an exception in place of raising it."""
    try:
        await work
    except Exception:
        logs.write_line(f"{getattr(work, '__qualname__', work)} failed\n{traceback.format_exc()}")
