"""The log of the process on standard error. Logging neither raises nor blocks: lines that cannot be written at once are
kept in a bounded buffer and written with a later line."""

from __future__ import annotations

import logging
import os
import select
import sys
from collections.abc import Callable

MAX_BUFFER_BYTES = 64 << 10
WRITE_CHUNK_BYTES = select.PIPE_BUF  # a pipe that is ready for writing accepts this much without blocking


class Log:
    """Writes lines to a file descriptor (default: that of `sys.stderr`), or to the `sys.stderr` object if it has no
    descriptor, as when a test captures it."""

    def __init__(self, descriptor: int | None = None) -> None:
        self.descriptor = descriptor
        self.buffer = bytearray()  # whole lines, except that a part of the first may already be written
        self.dropped_lines = 0  # lines dropped because the buffer was full; reported with the next line that fits
        self.failed_writes = 0  # failed writes since the start

    def write_line(self, text: str) -> None:
        data = f"{text}\n".encode(errors="backslashreplace")
        if self.dropped_lines:
            data = b"log: %d lines were dropped\n%s" % (self.dropped_lines, data)
        if len(self.buffer) + len(data) > MAX_BUFFER_BYTES:
            self.flush()
        if len(self.buffer) + len(data) > MAX_BUFFER_BYTES:
            self.dropped_lines += 1
            return
        self.dropped_lines = 0
        self.buffer += data
        self.flush()

    def flush(self) -> None:
        """Writes as much of the buffer as possible without blocking."""
        try:
            while self.buffer and self.is_ready():
                del self.buffer[:self.write(bytes(self.buffer[:WRITE_CHUNK_BYTES]))]
        except (OSError, ValueError):  # ValueError: the stream is closed
            self.failed_writes += 1

    def file_descriptor(self) -> int:
        """The file descriptor; -1 if there is none."""
        if self.descriptor is not None:
            return self.descriptor
        try:
            return sys.stderr.fileno()
        except (OSError, ValueError, AttributeError):  # captured; closed; None, as descriptor 2 was closed at start
            return -1

    def is_ready(self) -> bool:
        descriptor = self.file_descriptor()
        if descriptor < 0:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLOUT)
        return any(events & select.POLLOUT for _, events in poll.poll(0))

    def write(self, data: bytes) -> int:
        descriptor = self.file_descriptor()
        if descriptor >= 0:
            return os.write(descriptor, data)
        if sys.stderr is not None:
            sys.stderr.write(data.decode(errors="replace"))
        return len(data)


class LineBudget:
    """Limits the lines of one kind to `lines_per_s` after a burst, and counts those left out."""

    def __init__(self, now_us: Callable[[], int], lines_per_s: float, burst: int) -> None:
        self.now_us, self.lines_per_s, self.burst = now_us, lines_per_s, burst
        self.available = float(burst)
        self.refilled_us = now_us()
        self.left_out = 0  # since the last line that was allowed
        self.left_out_total = 0

    def allows(self) -> bool:
        """Whether one more line may be logged now."""
        now_us = self.now_us()
        self.available = min(self.burst, self.available + (now_us - self.refilled_us) / 1e6 * self.lines_per_s)
        self.refilled_us = now_us
        if self.available < 1.0:
            self.left_out += 1
            self.left_out_total += 1
            return False
        self.available -= 1.0
        return True

    def note(self) -> str:
        """A remark on the lines left out before this one; empty if there were none."""
        left_out, self.left_out = self.left_out, 0
        return f" ({left_out} lines before it left out)" if left_out else ""


class LogHandler(logging.Handler):
    """Writes the log records of libraries, including those of the event loop, to the log of the process."""

    def emit(self, record: logging.LogRecord) -> None:
        # a record that can't be formatted must not raise in the code that logs
        try:
            text = self.format(record)
        except Exception as error:
            text = f"log record of {record.name} could not be formatted: {type(error).__name__}: {error}"
        write_line(text)


_process_log = Log()


def write_line(text: str) -> None:
    """Adds a line to the log of the process."""
    _process_log.write_line(text)


def flush() -> None:
    """Writes lines that are still in the buffer, as far as possible without blocking."""
    _process_log.flush()
