"""The snapshot file of one sidecar. Blocking; called in a thread.

Each snapshot is written to a temporary file, synced and renamed; the one before it is kept.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Generator
from pathlib import Path
from typing import Protocol
from urllib.parse import quote

from ironscale.learned.codec import MAX_BYTES, CodecError, Snapshot, decode_steps, run_steps
from ironscale.learned.timestamps import Timestamp, TimestampError, elapsed_between

FILE_MODE = 0o600


class FileSystem(Protocol):
    """The file system operations that the store uses. Every call may block, and may raise OSError."""

    def read(self, path: str) -> bytes | None:
        """The first MAX_BYTES + 1 bytes at most; None if there is no such file."""

    def write(self, path: str, data: bytes) -> None:
        """Creates or overwrites the file and syncs its data; its name may still be lost in a power failure."""

    def rename(self, old: str, new: str) -> None:
        """Replaces `new` atomically; durable only after `sync_folder`."""

    def sync_folder(self, path: str) -> None:
        """Makes the names in the folder durable."""


class OsFileSystem:
    def read(self, path: str) -> bytes | None:
        try:
            # without O_NONBLOCK, a pipe or a device under that name could block for ever
            with open(os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC), "rb") as file:
                return file.read(MAX_BYTES + 1)
        except FileNotFoundError:
            return None

    def write(self, path: str, data: bytes) -> None:
        # O_NOFOLLOW: a symbolic link under this name would redirect the write
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW | os.O_CLOEXEC
        handle = os.open(path, flags, FILE_MODE)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(handle, view):]
            self.fsync(handle)  # another handle may not report an earlier write's error
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


class SnapshotFile:
    """Saves and reads snapshots. `path` is the last one, `path.1` the one before, `path.new` the temporary file, and
    `path.lock` the lock file."""

    def __init__(self, path: Path, files: FileSystem | None = None) -> None:
        self.path = path
        self.current, self.previous, self.temporary = str(path), f"{path}.1", f"{path}.new"
        self.files = files or OsFileSystem()
        self.lock: int | None = None

    def acquire(self) -> bool:
        """Creates the folder and takes the lock, which the kernel frees when the process ends; False if another process
        holds it. Raises OSError."""
        if self.lock is None:
            self.path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
            handle = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
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
        """Saves `data` durably. If it fails or is interrupted, the previous snapshot remains. Raises OSError."""
        files = self.files
        files.write(self.temporary, data)
        with contextlib.suppress(FileNotFoundError):  # the first save, or an earlier one stopped between the renames
            files.rename(self.current, self.previous)
        files.rename(self.temporary, self.current)
        files.sync_folder(str(self.path.parent))

    def read(self) -> list[tuple[str, bytes | OSError]]:
        """Path and content, or the error, of each file that exists; the newest first."""
        files: list[tuple[str, bytes | OSError]] = []
        for path in (self.current, self.previous):
            try:
                data = self.files.read(path)
            except OSError as error:
                files.append((path, error))
                continue
            if data is not None:
                files.append((path, data))
        return files

    def delete(self) -> list[str]:
        """Deletes all files but the lock, which a running process may hold; returns the paths deleted."""
        deleted = []
        for path in (self.current, self.previous, self.temporary):
            with contextlib.suppress(FileNotFoundError):
                os.unlink(path)
                deleted.append(path)
        return deleted


def choose_snapshot(files: list[tuple[str, bytes | OSError]], name: str, now: Timestamp
           ) -> Generator[None, None, tuple[Snapshot | None, int, list[str]]]:
    """Decodes in steps, one at each `next`; returns the newest usable snapshot, its age in microseconds, and a line for
    each problem found. Without a usable snapshot it returns None and 0."""
    lines: list[str] = []
    for path, data in files:
        try:
            if isinstance(data, OSError):
                raise CodecError(f"expected a file that can be read, got {data.strerror or data}")
            snapshot = yield from decode_steps(data)
            if snapshot.name != name:
                raise CodecError(f"expected what {name!r} learned, got that of another sidecar, {snapshot.name!r}")
            age_us, note = elapsed_between(snapshot.taken_at, now)
        except (CodecError, TimestampError) as error:
            lines.append(f"{path}: {error}; not used")
            continue
        if note:
            lines.append(f"{path}: {note}; its age is computed from the machine's running time")
        return snapshot, age_us, lines
    return None, 0, lines


def load_snapshot(store: SnapshotFile, name: str, now: Timestamp) -> tuple[Snapshot | None, int, list[str]]:
    return run_steps(choose_snapshot(store.read(), name, now))
