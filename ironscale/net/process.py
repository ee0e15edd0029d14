"""The process of one sidecar: its start, its signals and its end."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Callable, Mapping
from contextlib import AbstractAsyncContextManager, nullcontext

from ironscale.net.config import ConfigError, load
from ironscale.net.sidecar import Sidecar
from ironscale.net.signals import Signals

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Garbage collector threshold of the youngest generation. The objects of the data path form no cycles, and at the
# default of 700 the collector took 3 % of the CPU.
GC_YOUNG_THRESHOLD = 10_000

# A subsystem that runs alongside a started sidecar: called with the sidecar and a function that ends the process.
Extension = Callable[[Sidecar, Callable[[], None]], AbstractAsyncContextManager[None]]


class StartFailed(Exception):
    """The start failed before any connection was accepted; the cause is the error that occurred."""


async def serve(environ: Mapping[str, str], extension: Extension | None = None,
                reuse_port: bool = False) -> None:
    """Runs one sidecar until a signal or the extension ends it. Raises StartFailed if it can't start to listen."""
    stopped = asyncio.Event()
    running: list[Sidecar] = []

    def reload() -> None:
        for running_sidecar in running:
            running_sidecar.reload(environ)

    try:
        signals = Signals()
    except OSError as error:
        raise StartFailed from error
    for number in STOP_SIGNALS:
        signals.on(number, stopped.set)
    # handled from before the configuration is read: the file may be replaced meanwhile, and the signal must not be lost
    signals.on(signal.SIGHUP, reload)
    try:
        sidecar = Sidecar(load(environ))
        running.append(sidecar)
        await sidecar.start(reuse_port)
    except (OSError, ConfigError) as error:
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_DFL)  # until the next start, the process may simply be killed
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        signals.close()
        raise StartFailed from error
    gc.collect()
    gc.freeze()  # objects created at the start stay alive, so the collector need not scan them again
    gc.set_threshold(GC_YOUNG_THRESHOLD, *gc.get_threshold()[1:])
    async with extension(sidecar, stopped.set) if extension is not None else nullcontext():
        await stopped.wait()
        await sidecar.stop()
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)  # further signals must not disturb the orderly end
    signals.close()
