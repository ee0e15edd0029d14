"""Threads for blocking work next to an event loop."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import threading
import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")


START_TIMEOUT_S, START_RETRY_INTERVAL_S = 3.0, 0.01


def start_thread(thread: threading.Thread) -> None:
    """Starts the thread. While the system is out of threads, blocks and tries again for START_TIMEOUT_S, then raises
    OSError."""
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            thread.start()
            return
        except RuntimeError as error:
            if time.monotonic() >= deadline_s:
                raise OSError(errno.EAGAIN, str(error)) from error
            time.sleep(START_RETRY_INTERVAL_S)


def run_in_thread(work: Callable[[], T]) -> asyncio.Future[T]:
    """Runs `work` in a daemon thread: unlike a thread of an executor, it does not delay the end of the process. If no
    thread can be started, the future fails with an OSError."""
    loop = asyncio.get_running_loop()
    future: asyncio.Future[T] = loop.create_future()

    def set_outcome(value: T | None, error: Exception | None) -> None:
        if future.done():
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(value)  # type: ignore[arg-type]

    def run() -> None:
        value, failure = None, None
        try:
            value = work()
        except Exception as error:
            failure = error
        with contextlib.suppress(RuntimeError):  # the loop has been closed, so nobody waits for the result
            loop.call_soon_threadsafe(set_outcome, value, failure)

    future.add_done_callback(lambda done: done.cancelled() or done.exception())
    try:
        threading.Thread(target=run, name="beside", daemon=True).start()
    except RuntimeError as error:  # the system is out of threads
        future.set_exception(OSError(errno.EAGAIN, str(error)))
    return future
