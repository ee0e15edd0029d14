"""Starts one sidecar: `python -m ironscale`."""

from __future__ import annotations

import signal

# By default SIGHUP ends the process, and it may arrive during the imports, which take about 0.1 s. It asks for a
# reload, and the configuration is read later anyway, so it can be ignored here.
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
from ironscale.net.errors import is_transient  # noqa: E402
from ironscale.net.process import Extension, StartFailed, serve  # noqa: E402
from ironscale.net.sidecar import Sidecar  # noqa: E402

START_TIMEOUT_S = 20.0  # a start may take 30 s in all
START_RETRY_INTERVAL_S = 0.1


def main(environ: Mapping[str, str] = os.environ) -> int:
    """Runs a sidecar and returns the exit status. A start that fails for a temporary reason is retried for
    START_TIMEOUT_S."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(level=logging.WARNING, handlers=[logs.LogHandler()])
    logging.getLogger("ironscale").setLevel(logging.INFO)
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            run_sidecar(environ)
            return 0
        except StartFailed as failed:
            error = failed.__cause__ or failed
            if not is_transient(error) or time.monotonic() >= deadline_s:
                return log_fatal_error(error)
            logs.write_line(f"ironscale: {error}; retrying the start")
            time.sleep(START_RETRY_INTERVAL_S)
        except (ConfigError, OSError) as error:
            return log_fatal_error(error)


def run_sidecar(environ: Mapping[str, str]) -> None:
    """Runs one sidecar from its start to its end. Raises StartFailed for an error before it accepts requests."""
    try:
        extension, reuse_port = load_extension(environ)
        loop = uvloop.new_event_loop()
    except (ConfigError, OSError) as error:
        raise StartFailed from error
    serving = serve(environ, extension, reuse_port)
    try:
        loop.run_until_complete(serving)
    except OSError as error:
        if inspect.getcoroutinestate(serving) != inspect.CORO_CREATED:
            raise
        raise StartFailed from error  # the event loop could not run
    finally:
        close_loop(loop)
        serving.close()


def close_loop(loop: asyncio.AbstractEventLoop) -> None:
    """Cancels the remaining tasks and closes the loop. All requests are answered by now, so an error is only logged."""
    remaining_tasks = asyncio.all_tasks(loop)
    for task in remaining_tasks:
        task.cancel()
    try:
        if remaining_tasks:
            loop.run_until_complete(asyncio.wait(remaining_tasks))
        loop.close()
    except (OSError, RuntimeError) as error:
        logs.write_line(f"ironscale: the event loop could not be closed: {error}")


def log_fatal_error(error: BaseException) -> int:
    """Logs the error that ends the process and returns the exit status: 2 for a wrong configuration, else 1."""
    logs.write_line(f"ironscale: {error}")
    return 2 if isinstance(error, ConfigError) else 1


def load_extension(environ: Mapping[str, str]) -> tuple[Extension | None, bool]:
    """The extension for what the operator file enables, and whether the listener shares its port (SO_REUSEPORT). If no
    environment variable names an operator file or an agent, none of these modules are imported."""
    if not environ.get("GW_OPERATOR") and not environ.get("GW_AGENT"):
        return None, False
    from ironscale import operator_file

    try:
        options = operator_file.from_environment(environ)
        extensions: list[Extension] = []
        channel = None
        if options.store is not None:  # started first, so that no request can bypass the stores
            from ironscale.record.extension import store_extension as store_beside

            extensions.append(store_beside(options.store))
        if options.learned is not None:
            from ironscale.learned.extension import AgentChannel, learned_state_extension

            channel = AgentChannel()
            extensions.append(learned_state_extension(options.learned, channel))
        if options.record is not None:
            from ironscale.load.recording import beside as record_beside

            extensions.append(record_beside(options.record))
        if options.control is not None:
            from ironscale.control.extension import control_extension

            extensions.append(control_extension(options.control, environ, channel, options.versions))
        return combine_extensions(extensions), options.sidecar.reuse_port
    except operator_file.OperatorFileError as error:
        raise ConfigError(str(error)) from error


def combine_extensions(extensions: list[Extension]) -> Extension | None:
    """Combines extensions into one. They start in this order and end in the reverse order."""
    if len(extensions) < 2:
        return extensions[0] if extensions else None

    @contextlib.asynccontextmanager
    async def run_all(sidecar: Sidecar, end: Callable[[], None]) -> AsyncIterator[None]:
        async with contextlib.AsyncExitStack() as stack:
            for extension in extensions:
                await stack.enter_async_context(extension(sidecar, end))
            yield

    return run_all


if __name__ == "__main__":
    sys.exit(main())
