"""Tasks that have an owner."""

from __future__ import annotations

import asyncio
import contextlib
import traceback
from collections.abc import AsyncIterator, Coroutine
from typing import Any

from ironscale import logs


@contextlib.asynccontextmanager
async def run_in_background(work: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Runs `work` beside the block; at its end the work is cancelled and has ended. Its failure is logged and ends
    nothing else."""
    task = asyncio.create_task(log_failure(work))
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        work.close()  # it may not have begun


async def log_failure(work: Coroutine[Any, Any, None]) -> None:
    try:
        await work
    except Exception:
        logs.line(f"{getattr(work, '__qualname__', work)} has ended\n{traceback.format_exc()}")
