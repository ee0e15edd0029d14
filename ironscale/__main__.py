"""Starts one sidecar: `python -m ironscale`."""

from __future__ import annotations

import signal

# Hazard: it would end the process, and the imports alone take a tenth of a second. The configuration is read later.
if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio  # noqa: E402
import contextlib  # noqa: E402
import inspect  # noqa: E402
import logging  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections.abc import AsyncIterator, Callable, Mapping  # noqa: E402

import uvloop  # noqa: E402

from ironscale import logs  # noqa: E402
from ironscale.net.config import ConfigError  # noqa: E402
from ironscale.net.errors import passes  # noqa: E402
from ironscale.net.sidecar import Extension, Sidecar, StartFailed, serve  # noqa: E402

START_PATIENCE_S = 20.0  # of 30 s that a start may take
START_AGAIN_S = 0.1


def main(environ: Mapping[str, str] = os.environ) -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(level=logging.WARNING, handlers=[logs.Handler()])
    give_up_s = time.monotonic() + START_PATIENCE_S
    while True:
        try:
            run(environ)
            return 0
        except StartFailed as failed:
            error = failed.__cause__ or failed
            if not passes(error) or time.monotonic() >= give_up_s:
                return said(error)
            logs.line(f"ironscale: {error}; the start is tried again")
            time.sleep(START_AGAIN_S)
        except (ConfigError, OSError) as error:
            return said(error)


def run(environ: Mapping[str, str]) -> None:
    """One sidecar, from its start to its end. Raises StartFailed as long as it has taken nothing."""
    try:
        beside, reuse_port = operated(environ)
        loop = uvloop.new_event_loop()
    except (ConfigError, OSError) as error:
        raise StartFailed from error
    serving = serve(environ, beside, reuse_port)
    try:
        loop.run_until_complete(serving)
    except OSError as error:
        if inspect.getcoroutinestate(serving) != inspect.CORO_CREATED:
            raise
        raise StartFailed from error  # the loop could not run
    finally:
        tear_down(loop)
        serving.close()


def tear_down(loop: asyncio.AbstractEventLoop) -> None:
    """Cancels what is left. Nothing is owed any more: what fails here is said and changes nothing."""
    left = asyncio.all_tasks(loop)
    for task in left:
        task.cancel()
    try:
        if left:
            loop.run_until_complete(asyncio.wait(left))
        loop.close()
    except (OSError, RuntimeError) as error:
        logs.line(f"ironscale: the event loop could not be closed: {error}")


def said(error: BaseException) -> int:
    """The status of a process that ends by this error."""
    logs.line(f"ironscale: {error}")
    return 2 if isinstance(error, ConfigError) else 1


def operated(environ: Mapping[str, str]) -> tuple[Extension | None, bool]:
    """What the operator file switches on. Nothing of it is loaded where no variable names one."""
    if not environ.get("GW_OPERATOR") and not environ.get("GW_AGENT"):
        return None, False
    from ironscale import operator_file

    try:
        found = operator_file.from_environment(environ)
        subsystems: list[Extension] = []
        channel = None
        if found.store is not None:  # the first: not one request may pass by it
            from ironscale.record.extension import beside as store_beside

            subsystems.append(store_beside(found.store))
        if found.learned is not None:
            from ironscale.learned.extension import Channel
            from ironscale.learned.extension import beside as learned_beside

            channel = Channel()
            subsystems.append(learned_beside(found.learned, channel))
        if found.record is not None:
            from ironscale.load.recording import beside as record_beside

            subsystems.append(record_beside(found.record))
        if found.control is not None:
            from ironscale.control.extension import control_extension

            subsystems.append(control_extension(found.control, environ, channel, found.versions))
        return together(subsystems), found.sidecar.reuse_port
    except operator_file.OperatorFileError as error:
        raise ConfigError(str(error)) from error


def together(subsystems: list[Extension]) -> Extension | None:
    """All of them beside one sidecar; the last to start is the first to end."""
    if len(subsystems) < 2:
        return subsystems[0] if subsystems else None

    @contextlib.asynccontextmanager
    async def running(sidecar: Sidecar, end: Callable[[], None]) -> AsyncIterator[None]:
        async with contextlib.AsyncExitStack() as stack:
            for subsystem in subsystems:
                await stack.enter_async_context(subsystem(sidecar, end))
            yield

    return running


if __name__ == "__main__":
    sys.exit(main())
