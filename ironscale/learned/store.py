"""One sidecar's file: written aside, synced, renamed, two generations kept. Blocking; runs in a thread of its own."""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Generator
from pathlib import Path
from typing import Protocol
from urllib.parse import quote

from ironscale.learned.codec import MAX_BYTES, CodecError, Snapshot, decoding, finish
from ironscale.learned.timestamps import Moment, MomentError, between

MODE = 0o600


class Files(Protocol):
    """What the store needs of a file system. Every call may block, and may raise OSError."""

    def read(self, path: str) -> bytes | None:
        """At most MAX_BYTES + 1 of it; None if there is no such file."""

    def write(self, path: str, data: bytes) -> None:
        """Makes or replaces the file; when it returns, what it holds lasts, though maybe not its name."""

    def rename(self, old: str, new: str) -> None:
        """In one step, in place of `new`; nothing is sure to last."""

    def sync_folder(self, path: str) -> None:
        """The names in it last."""


class OsFiles:
    def read(self, path: str) -> bytes | None:
        try:
            # hazard: a pipe or a device under that name would block or never end
            with open(os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC), "rb") as file:
                return file.read(MAX_BYTES + 1)
        except FileNotFoundError:
            return None

    def write(self, path: str, data: bytes) -> None:
        # hazard: a link left under this name would lead the write elsewhere
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW | os.O_CLOEXEC
        handle = os.open(path, flags, MODE)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(handle, view):]
            self.fsync(handle)  # hazard: on another handle the error of an earlier write may not be told
        finally:
            os.close(handle)

    def rename(self, old: str, new: str) -> None:
        os.replace(old, new)

    def sync_folder(self, path: str) -> None:
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            self.fsync(handle)
        finally:
            os.close(handle)

    def fsync(self, handle: int) -> None:
        os.fsync(handle)


def path_for(folder: Path, name: str) -> Path:
    """The file of the sidecar `name`."""
    return folder / f"{quote(name, safe='')}.learned"


class Store:
    """`path` is the last snapshot, `path.1` the one before; `path.new` is being written, `path.lock` held."""

    def __init__(self, path: Path, files: Files | None = None) -> None:
        self.path = path
        self.current, self.previous, self.aside = str(path), f"{path}.1", f"{path}.new"
        self.files = files or OsFiles()
        self.lock: int | None = None

    def acquire(self) -> bool:
        """Makes the folder and takes the lock that only one process has; the kernel frees it with the process."""
        if self.lock is None:
            self.path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
            handle = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, MODE)
            try:
                fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(handle)
                return False
            except OSError:
                os.close(handle)
                raise
            self.lock = handle
        return True

    def release(self) -> None:
        if self.lock is not None:
            handle, self.lock = self.lock, None
            os.close(handle)

    def save(self, data: bytes) -> None:
        """When it returns, `data` lasts; when it fails or is cut off, what was there before does."""
        files = self.files
        files.write(self.aside, data)
        with contextlib.suppress(FileNotFoundError):  # the first write, or one cut off between the renames
            files.rename(self.current, self.previous)
        files.rename(self.aside, self.current)
        files.sync_folder(str(self.path.parent))

    def read(self) -> list[tuple[str, bytes | OSError]]:
        """What lies there, the newest first."""
        found: list[tuple[str, bytes | OSError]] = []
        for path in (self.current, self.previous):
            try:
                data = self.files.read(path)
            except OSError as error:
                found.append((path, error))
                continue
            if data is not None:
                found.append((path, data))
        return found

    def forget(self) -> list[str]:
        """Removes all of its files but the lock, which a running process may hold; gives the names."""
        gone = []
        for path in (self.current, self.previous, self.aside):
            with contextlib.suppress(FileNotFoundError):
                os.unlink(path)
                gone.append(path)
        return gone


def choose(found: list[tuple[str, bytes | OSError]], name: str, now: Moment
           ) -> Generator[None, None, tuple[Snapshot | None, int, list[str]]]:
    """In steps: the newest snapshot that can be used, its age in microseconds, and a line on each thing amiss."""
    lines: list[str] = []
    for path, data in found:
        try:
            if isinstance(data, OSError):
                raise CodecError(f"expected a file that can be read, got {data.strerror or data}")
            snapshot = yield from decoding(data)
            if snapshot.name != name:
                raise CodecError(f"expected what {name!r} learned, got another sidecar's, {snapshot.name!r}")
            age_us, note = between(snapshot.taken, now)
        except (CodecError, MomentError) as error:
            lines.append(f"{path}: {error}; not used")
            continue
        if note:
            lines.append(f"{path}: {note}; its age goes by running time")
        return snapshot, age_us, lines
    return None, 0, lines


def load(store: Store, name: str, now: Moment) -> tuple[Snapshot | None, int, list[str]]:
    return finish(choose(store.read(), name, now))
