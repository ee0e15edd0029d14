"""Tasks that have an owner."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine
from typing import Any


@contextlib.asynccontextmanager
async def alongside(work: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Runs `work` beside the block; at its end the work is cancelled and has ended."""
    task = asyncio.create_task(work)
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
