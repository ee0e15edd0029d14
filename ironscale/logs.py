"""The process's log on standard error. Logging neither raises nor blocks: what cannot be written now is kept, within
bounds, and written with a later line."""

from __future__ import annotations

import logging
import os
import select
import sys

MOST_WAITING_BYTES = 64 << 10
PIECE_BYTES = select.PIPE_BUF  # a pipe that is ready for writing takes so much without blocking


class Log:
    """Lines to a descriptor, or to `sys.stderr` where that has none (a test's capture)."""

    def __init__(self, descriptor: int | None = None) -> None:
        self.descriptor = descriptor
        self.waiting = bytearray()  # whole lines, but for the first, of which a part may have been written
        self.dropped = 0  # lines, for want of room; told with the next line that finds some
        self.failed = 0  # writes, since the start

    def write_line(self, text: str) -> None:
        data = f"{text}\n".encode(errors="backslashreplace")
        if self.dropped:
            data = b"log: %d lines were dropped\n%s" % (self.dropped, data)
        if len(self.waiting) + len(data) > MOST_WAITING_BYTES:
            self.flush()
        if len(self.waiting) + len(data) > MOST_WAITING_BYTES:
            self.dropped += 1
            return
        self.dropped = 0
        self.waiting += data
        self.flush()

    def flush(self) -> None:
        """Writes what waits, as far as it can be written at once."""
        try:
            while self.waiting and self.is_ready():
                del self.waiting[:self.write(bytes(self.waiting[:PIECE_BYTES]))]
        except (OSError, ValueError):  # the latter: the stream has been closed
            self.failed += 1

    def target(self) -> int:
        """The descriptor; -1 where there is none."""
        if self.descriptor is not None:
            return self.descriptor
        try:
            return sys.stderr.fileno()
        except (OSError, ValueError, AttributeError):  # a capture; closed; None as descriptor 2 was closed at the start
            return -1

    def is_ready(self) -> bool:
        target = self.target()
        if target < 0:
            return True
        poll = select.poll()
        poll.register(target, select.POLLOUT)
        return any(events & select.POLLOUT for _, events in poll.poll(0))

    def write(self, data: bytes) -> int:
        target = self.target()
        if target >= 0:
            return os.write(target, data)
        if sys.stderr is not None:
            sys.stderr.write(data.decode(errors="replace"))
        return len(data)


class Handler(logging.Handler):
    """Brings the records of libraries, the event loop's among them, into the process's log."""

    def emit(self, record: logging.LogRecord) -> None:
        line(self.format(record))


_process_log = Log()


def line(text: str) -> None:
    """Adds a line to the process's log."""
    _process_log.write_line(text)


def flush() -> None:
    """Writes what an earlier line left waiting."""
    _process_log.flush()
