"""The sidecar extension that adds the stores of record configured in `[store]` of the operator file."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from ironscale.interface import Settings
from ironscale.net.config import ConfigError
from ironscale.net.process import Extension
from ironscale.net.sidecar import Sidecar
from ironscale.operator_file import OperatorFileError, StoresConfig
from ironscale.record.journal import Journal, JournalError
from ironscale.record.recorder import Recorder
from ironscale.record.store_dispatcher import StoreRequestHandler
from ironscale.record.store_factory import make_store
from ironscale.tasks import run_in_background

CLOSE_TIMEOUT_S = 2.0  # at shutdown, for resolving open attempts; the rest is left to the next process
TAKE_OVER_INTERVAL_S = 5.0  # between two looks for journals of ended processes of this name


def check_classes(stores: StoresConfig, settings: Settings) -> dict[int, str]:
    """The names of the configured classes by index. Raises OperatorFileError if a class is unknown or idempotent."""
    known = {kind.name: (index, kind) for index, kind in enumerate(settings.classes)}
    found = {}
    for name in stores.classes:
        if name not in known:
            raise OperatorFileError(f"{stores.file}: store.classes: expected classes of the configuration "
                                    f"({', '.join(known)}), got {name!r}")
        index, kind = known[name]
        if kind.effect == "idempotent":
            raise OperatorFileError(f"{stores.file}: store.classes: expected classes whose requests write, got "
                                    f"{name!r}, which is safe to repeat")
        found[index] = name
    return found


def store_extension(stores: StoresConfig) -> Extension:
    """The extension for the configured stores. Raises OperatorFileError."""
    factories = [(target.name, make_store(target, stores.file)) for target in stores.to]

    @contextlib.asynccontextmanager
    async def running(sidecar: Sidecar, end: Callable[[], None]) -> AsyncIterator[None]:
        # no await before the handlers are registered: no request may bypass the stores
        journal = Journal(stores.journal, sidecar.config.name, sidecar.log)
        try:
            indexes = check_classes(stores, sidecar.config.settings)
            open_attempts = journal.begin()
        except (OperatorFileError, JournalError) as error:
            raise ConfigError(str(error)) from error
        recorders = [Recorder(name, factory(), journal, sidecar.log) for name, factory in factories]
        handler = StoreRequestHandler(sidecar, stores.by, recorders, stores.upstreams)
        sidecar.request_handlers.update(dict.fromkeys(indexes, handler))
        for recorder in recorders:
            recorder.resume(open_attempts)

        async def take_over() -> None:
            while True:
                await asyncio.sleep(TAKE_OVER_INTERVAL_S)
                try:
                    found = await journal.take_over()
                except Exception as error:  # otherwise attempts left open by a former process would never be resolved
                    sidecar.log(f"{stores.journal}: {type(error).__name__}: {error}; it will be tried again later")
                    continue
                for recorder in recorders:
                    recorder.resume(found)

        try:
            async with run_in_background(take_over()):
                yield
        finally:
            for index in indexes:
                sidecar.request_handlers.pop(index, None)
            await handler.close(CLOSE_TIMEOUT_S)
            await journal.settle(CLOSE_TIMEOUT_S)

    return running
