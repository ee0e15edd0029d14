"""The journal of attempts with an unknown outcome, on the sidecar's disk. Operators can list it, and the next process
resolves what it lists.

Each process writes its own file NAME.TOKEN.open in a common folder and holds a lock on it. A process of the same name
takes over the files of processes that have ended, at its start and later: in a make-before-break restart the old
process ends after its successor has started. A file has one JSON object per line; a line without its line break is
ignored. Except at the start, files are accessed off the event loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import os
import secrets
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from urllib.parse import quote

from ironscale.net.errors import is_transient
from ironscale.threads import run_in_thread

VERSION = 1
SUFFIX = ".open"
RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.1, 2.0  # after a failed write; doubles up to the maximum


@dataclass(frozen=True, slots=True)
class Open:
    """An attempt whose outcome is not known; its client was told that the request failed."""

    attempt: str
    store: str
    request: str
    kind: str
    tenant: str
    key: str
    since_ms: int
    why: str = ""


class JournalError(Exception):
    """The journal cannot be used; the text is one line."""


def read(path: Path) -> tuple[dict[str, Open], int]:
    """The open attempts of a file, oldest first, and the number of unreadable lines, an incomplete last one included.
    Raises JournalError."""
    found: dict[str, Open] = {}
    damaged = 0
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return found, 0
    except OSError as error:
        raise JournalError(f"{path}: expected a journal that can be read, got {error.strerror}") from error
    *lines, incomplete = data.split(b"\n")
    damaged += bool(incomplete)
    for line in lines:
        try:
            one = json.loads(line)
            if one.get("version", VERSION) > VERSION:
                raise JournalError(f"{path}: expected version {VERSION}, got {one['version']}; start the newer program")
            if "open" in one:
                entry = Open(**one["open"])
                found[entry.attempt] = entry
            elif "closed" in one:
                found.pop(one["closed"], None)
        except (ValueError, TypeError, AttributeError, KeyError):
            damaged += 1
    return found, damaged


def read_all(folder: Path) -> tuple[list[Open], int]:
    """The open attempts of all sidecars, oldest first, and the number of damaged lines. Raises JournalError."""
    if not folder.is_dir():
        raise JournalError(f"{folder}: expected the folder of the journals, got nothing; has a sidecar run with it?")
    found: dict[str, Open] = {}
    damaged = 0
    for path in sorted(folder.glob(f"*{SUFFIX}")):
        entries, bad = read(path)
        found.update(entries)
        damaged += bad
    return sorted(found.values(), key=lambda entry: entry.since_ms), damaged


def write_all(fd: int, data: bytes) -> None:
    """Writes all of `data`: one write() may be partial, for instance on a nearly full disk."""
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view):]


def sync_folder(folder: Path) -> None:
    """Makes the directory entries durable."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def line_of(entry: Open) -> str:
    """The line that records an attempt as open."""
    return json.dumps({"open": asdict(entry)}, separators=(",", ":")) + "\n"


class Journal:
    """The journal file of this process. Entries that cannot be written are logged, kept in memory and retried."""

    def __init__(self, folder: Path | None, name: str, log: Callable[[str], None]) -> None:
        self.folder, self.log = folder, log
        self.quoted_name = quote(name, safe="")
        self.path = folder / f"{self.quoted_name}.{secrets.token_hex(4)}{SUFFIX}" if folder is not None else None
        self.fd = -1  # open and locked until the process ends
        self.open: dict[str, Open] = {}
        self.lines: list[str] = []
        self.taken_over: list[Path] = []  # files to remove once their entries are in this file
        self.writing: asyncio.Task[None] | None = None
        self.lines_in_file = 0
        self.rewrite_needed = False  # after a failed write the whole file is rewritten

    def begin(self) -> list[Open]:
        """Opens this process's file and takes over the entries of ended processes. Raises JournalError."""
        if self.folder is None:
            return []
        left: list[Open] = []
        paths: list[Path] = []
        try:
            self.folder.mkdir(parents=True, exist_ok=True, mode=0o700)
            left, paths = self.left_by_others()
            self.open = {entry.attempt: entry for entry in left}
            self.to_disk([], left, paths)
        except OSError as error:
            if not is_transient(error):
                raise JournalError(
                    f"{self.folder}: expected a folder that can be written, got {error.strerror}") from error
            self.log(f"{self.folder}: {error.strerror}; the write is retried until it succeeds")
            self.taken_over += paths
            self.rewrite_needed = True
            self.put("")
        return left

    def left_by_others(self) -> tuple[list[Open], list[Path]]:
        """The entries and files of ended processes of this name."""
        assert self.folder is not None
        found: dict[str, Open] = {}
        paths = []
        for path in sorted(self.folder.iterdir()):
            token = path.name.removeprefix(f"{self.quoted_name}.").removesuffix(SUFFIX)
            if path == self.path or path.name != f"{self.quoted_name}.{token}{SUFFIX}" or not token.isalnum():
                continue
            try:
                with path.open("rb") as file:
                    fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    entries, damaged = read(path)
            except (BlockingIOError, FileNotFoundError):
                continue  # its process is running, or another process took it over first
            except (OSError, JournalError) as error:
                if not is_transient(error):
                    raise
                self.log(f"{path}: {error}; it will be read again later")
                continue
            if damaged:
                self.log(f"{path}: {damaged} damaged lines were left out")
            found.update(entries)
            paths.append(path)
        return list(found.values()), paths

    async def take_over(self) -> list[Open]:
        """Takes over entries of processes that ended since. They are written to this file before the old files are
        removed."""
        if self.folder is None:
            return []
        if self.rewrite_needed:
            self.put("")
        try:
            left, paths = await run_in_thread(self.left_by_others)
        except (OSError, JournalError) as error:
            self.log(f"{self.folder}: cannot look for entries left by other processes: {error}")
            return []
        new = [entry for entry in left if entry.attempt not in self.open]
        for entry in new:
            self.opened(entry)
        if paths:
            self.taken_over += paths
            self.put("")
        return new

    def rewrite(self, entries: list[Open]) -> None:
        """Replaces the file by one that lists only `entries`, and moves the lock to it."""
        assert self.path is not None
        temporary = self.path.with_name(f"{self.path.name}.new")
        fd = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX)
            write_all(fd, (json.dumps({"version": VERSION}) + "\n" + "".join(map(line_of, entries))).encode())
            os.fsync(fd)
            os.replace(temporary, self.path)
            sync_folder(self.path.parent)
        except OSError:
            os.close(fd)
            raise
        previous_fd, self.fd = self.fd, fd
        if previous_fd >= 0:
            os.close(previous_fd)
        self.lines_in_file = len(entries) + 1

    def opened(self, entry: Open) -> None:
        """Lists an attempt as open; the line is written in the background."""
        self.open[entry.attempt] = entry
        self.put(line_of(entry))

    def closed(self, attempt: str, told: str) -> None:
        """Removes an attempt from the list once its outcome, `told`, is known."""
        if self.open.pop(attempt, None) is not None:
            self.put(json.dumps({"closed": attempt, "told": told}, separators=(",", ":")) + "\n")

    def put(self, line: str) -> None:
        if self.folder is None:
            return
        self.lines.append(line)
        if self.writing is None:
            self.writing = asyncio.get_running_loop().create_task(self.write())

    async def write(self) -> None:
        """Writes all queued lines at once, on a thread, so that a hanging disk blocks nothing else."""
        delay_s = RETRY_DELAY_S
        try:
            while self.lines or self.rewrite_needed:
                lines, self.lines = self.lines, []
                obsolete, self.taken_over = self.taken_over, []
                # without compaction, lines of closed attempts would fill the disk
                needs_compaction = self.lines_in_file > 1_000 + 4 * len(self.open)
                entries = list(self.open.values()) if needs_compaction or self.rewrite_needed else None
                try:
                    await run_in_thread(
                        lambda lines=lines, entries=entries, obsolete=obsolete: self.to_disk(  # type: ignore[misc]
                            lines, entries, obsolete))
                    self.rewrite_needed, delay_s = False, RETRY_DELAY_S
                except OSError as error:
                    if not self.rewrite_needed:
                        self.log(f"{self.path}: open attempts could not be written: {error.strerror}; "
                                 f"the write is retried until it succeeds")
                    self.rewrite_needed = True  # after a failed fsync the kernel may have dropped the unwritten data
                    self.taken_over += obsolete
                    await asyncio.sleep(delay_s)
                    delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
        finally:
            self.writing = None

    def to_disk(self, lines: list[str], entries: list[Open] | None, obsolete: list[Path]) -> None:
        assert self.path is not None
        if entries is not None:
            self.path.parent.mkdir(parents=True, exist_ok=True, mode=0o700)
            self.rewrite(entries)
        else:
            size = os.fstat(self.fd).st_size
            # ends a line that a full disk cut off
            line_end = b"\n" if size and os.pread(self.fd, 1, size - 1) != b"\n" else b""
            write_all(self.fd, line_end + "".join(lines).encode())
            os.fsync(self.fd)
            self.lines_in_file += len(lines)
        for path in obsolete:
            path.unlink(missing_ok=True)

    async def settle(self, limit_s: float) -> None:
        """Called at shutdown: waits up to `limit_s` for queued writes and removes the file if it lists nothing."""
        if self.writing is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(limit_s):
                    await asyncio.shield(self.writing)
        if self.fd >= 0 and self.writing is None:
            if not self.open and self.path is not None:
                self.path.unlink(missing_ok=True)
            os.close(self.fd)
            self.fd = -1
