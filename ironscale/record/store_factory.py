"""Creates stores from the operator file. The database libraries are imported only for the configured kind."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

from ironscale.operator_file import OperatorFileError, StoreConfig, StoresConfig, read_secret
from ironscale.record.model import Store


def check_stores(stores: StoresConfig) -> None:
    """Checks everything that needs no running sidecar and no reachable store. Raises OperatorFileError."""
    for target in stores.to:
        make_store(target, stores.file)


@contextlib.contextmanager
def require_packages(file: str, place: str) -> Iterator[None]:
    """Turns an ImportError into an OperatorFileError that names the packages to install."""
    try:
        yield
    except ImportError as error:
        raise OperatorFileError(f"{file}: {place}: expected the packages of ironscale[record], got {error}; "
                                "pip install 'ironscale[record]'") from None


def make_store(target: StoreConfig, file: str, busy_ms: int | None = None) -> Callable[[], Store]:
    """Returns a factory for the store, to be called in a running event loop. Nothing is connected yet, so a store
    that is down does not keep a sidecar from starting. `busy_ms` is how long SQLite waits for a lock that another
    process holds. Raises OperatorFileError."""
    place = f"store.to.{target.name}"
    if target.sqlite is not None:
        with require_packages(file, f"{place}.sqlite"):
            from ironscale.record.database import BUSY_TIMEOUT_MS
            from ironscale.record.sqlite import SqliteStore

        path, wait_ms = target.sqlite, BUSY_TIMEOUT_MS if busy_ms is None else busy_ms
        return lambda: SqliteStore(path, target.queue, busy_ms=wait_ms)
    with require_packages(file, f"{place}.postgresql"):
        from ironscale.record.postgres import ConnectionOptions, PostgresStore, SettingError, check_dsn

    try:
        check_dsn(target.postgresql)
    except SettingError as error:
        raise OperatorFileError(f"{file}: {place}.postgresql: expected {error}") from None
    password = read_secret(target.password_file) if target.password_file is not None else ""
    access = ConnectionOptions(target.postgresql, password, target.connections, target.synchronous_commit)
    return lambda: PostgresStore(access)
