"""A connected socket on the event loop. Transient errors are retried; its owner only hears of the connection's end.

The event loop's own transports close a connection at the first error of any kind, and an answer that is still to be
sent would be lost with it.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import fcntl
import socket
import sys
import termios
from collections.abc import Callable
from typing import Protocol

from ironscale import logs
from ironscale.net.errors import Severity, severity

READ_BYTES = 64 << 10
LAST_DATA_RECV_OFFSET = 52  # of tcpi_last_data_recv in Linux's struct tcp_info; the value is in milliseconds
PEEK_FLAGS = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)
INT_BYTES = 4
FULL_BUFFER_RATIO = 4  # the kernel counts overhead too: a buffer is full from half of its size in bytes on
MAX_DISCARDED_BYTES = 1 << 20  # a peer that goes on sending must not hold up the event loop
RETRY_PAUSE_S = 0.005  # before a call that hit a transient error is retried


def since_last_byte_us(sock: socket.socket) -> int:
    """How long ago the last byte reached this machine, whether or not it has been read; 0 if the kernel can't tell."""
    with contextlib.suppress(OSError):
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV_OFFSET + 4)
        if len(info) == LAST_DATA_RECV_OFFSET + 4:
            return int.from_bytes(info[LAST_DATA_RECV_OFFSET:], sys.byteorder) * 1000
    return 0


class Unread(enum.Enum):
    """What a socket holds that has not been read."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"  # the peer has ended its sending, or an error has ended the connection
    UNKNOWN = "unknown"  # the look failed, and the connection survives


def peek(sock: socket.socket) -> Unread:
    """What the next read would find, without consuming it. Reads instead of polling: a poll that a signal interrupts
    reports nothing, while an interrupted read is repeated."""
    try:
        return Unread.BYTES if sock.recv(1, PEEK_FLAGS) else Unread.END
    except BlockingIOError:
        return Unread.NOTHING
    except OSError as error:
        return Unread.UNKNOWN if survives(sock, error) else Unread.END


def may_hide_end(sock: socket.socket) -> bool:
    """Whether the peer may have ended its sending without a sign of it. While the receive buffer is nearly full, the
    end waits at the peer behind bytes that do not fit. False if the kernel doesn't tell."""
    with contextlib.suppress(OSError):
        unread_bytes = int.from_bytes(fcntl.ioctl(sock, termios.FIONREAD, bytes(INT_BYTES)), sys.byteorder)
        return unread_bytes >= sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) / FULL_BUFFER_RATIO
    return False


def survives(sock: socket.socket, error: OSError) -> bool:
    """Whether the connection survives the error. Where the error leaves that open the peer's address is asked for: the
    kernel no longer knows it once the connection has ended."""
    if severity(error) is Severity.EXHAUSTED:
        return True
    if severity(error) is not Severity.UNREACHABLE:
        return False
    with contextlib.suppress(OSError):
        sock.getpeername()
        return True
    return False


def discard_unread(sock: socket.socket) -> int:
    """Reads and drops what has arrived, up to MAX_DISCARDED_BYTES; returns how many bytes that were."""
    discarded = 0
    with contextlib.suppress(OSError):
        while discarded < MAX_DISCARDED_BYTES and (data := sock.recv(READ_BYTES)):
            discarded += len(data)
    return discarded


class StreamOwner(Protocol):
    """The owner of a stream, which calls these methods; they are named as in asyncio's protocols."""

    def data_received(self, data: bytes) -> None: ...

    def eof_received(self) -> None:
        """The peer has ended its sending; the stream closes once this returns."""

    def resume_writing(self) -> None:
        """All buffered bytes have been handed to the kernel, after some of them had to wait."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Called once, after the socket has been closed."""


class Stream:
    """Reads from the start, and writes at once as much as the kernel takes; the rest is buffered."""

    def __init__(self, sock: socket.socket, owner: StreamOwner, read_bytes: int = READ_BYTES) -> None:
        self.sock, self.owner = sock, owner
        self.read_bytes = read_bytes  # at most at a time
        self.loop = asyncio.get_running_loop()
        self.write_buffer = bytearray()
        self.is_reading = False
        self.awaits_writable = False  # the event loop watches for the socket to become writable
        self.retry_timers: dict[str, asyncio.TimerHandle] = {}  # timers of the retries, by "read" and "write"
        self.closing = False  # nothing is read any more; the stream ends once all is sent
        self.is_over = False
        self.closed_over_unread = False  # bytes that had not been read were thrown away as the socket was closed
        self.resume_reading()

    def is_closing(self) -> bool:
        return self.closing or self.is_over

    def get_write_buffer_size(self) -> int:
        return len(self.write_buffer)

    def pause_reading(self) -> None:
        timer = self.retry_timers.pop("read", None)
        if timer is not None:
            timer.cancel()
        if self.is_reading:
            self.is_reading = False
            self.loop.remove_reader(self.sock)

    def resume_reading(self) -> None:
        if not self.is_reading and not self.is_closing():
            self.is_reading = True
            self.loop.add_reader(self.sock, self.read)

    def read(self) -> None:
        try:
            data = self.sock.recv(self.read_bytes)
        except OSError as error:
            self.read_failed(error)
            return
        try:
            if data:
                self.owner.data_received(data)
            else:
                self.owner.eof_received()
                self.close()
        except Exception as error:
            logs.write_line(f"connection closed after an error in its handler: {type(error).__name__}: {error}")
            self.end(error)

    def read_failed(self, error: OSError) -> None:
        if severity(error) is Severity.AGAIN:
            return
        if survives(self.sock, error):
            self.pause_reading()
            self.retry_later("read", self.resume_reading)
        else:
            self.end(error)

    def retry_later(self, operation: str, callback: Callable[[], None]) -> None:
        if operation not in self.retry_timers:
            self.retry_timers[operation] = self.loop.call_later(RETRY_PAUSE_S, self.retry, operation, callback)

    def retry(self, operation: str, callback: Callable[[], None]) -> None:
        self.retry_timers.pop(operation, None)
        if not self.is_over:
            callback()

    def write(self, data: bytes) -> None:
        if self.is_closing():
            return
        was_waiting = bool(self.write_buffer)
        self.write_buffer += data
        if not was_waiting:
            self.send()

    def send(self) -> None:
        """Sends what the kernel takes; the rest waits until the socket is writable, or for a pause after an error."""
        try:
            while self.write_buffer:
                del self.write_buffer[:self.sock.send(self.write_buffer)]
        except OSError as error:
            if severity(error) is Severity.AGAIN:
                self.await_writable(True)
            elif survives(self.sock, error):
                self.await_writable(False)
                self.retry_later("write", self.resume_sending)
            else:
                self.end(error)
            return
        self.await_writable(False)
        if self.closing:
            self.end_orderly()

    def resume_sending(self) -> None:
        self.send()
        if not self.write_buffer and not self.is_closing():
            self.owner.resume_writing()

    def await_writable(self, wanted: bool) -> None:
        if wanted != self.awaits_writable:
            self.awaits_writable = wanted
            if wanted:
                self.loop.add_writer(self.sock, self.resume_sending)
            else:
                self.loop.remove_writer(self.sock)

    def close(self) -> None:
        """Stops reading, and ends the connection once all buffered bytes are sent."""
        if not self.is_closing():
            self.pause_reading()
            self.closing = True
            if not self.write_buffer:
                self.end_orderly()

    def close_unless_unread(self) -> bool:
        """Closes, unless bytes have arrived that were not read; returns whether it is closing.

        Nothing runs between the look at the socket and its close: what arrived there would be thrown away.
        """
        if not self.is_closing() and peek(self.sock) in (Unread.NOTHING, Unread.END):
            self.close()
        return self.is_closing()

    def abort(self) -> None:
        """Ends the connection now and drops what is unsent."""
        self.end(None)

    def end_orderly(self) -> None:
        """Ends the connection so that the peer reads everything that was sent and then the end. The kernel resets a
        connection that is closed over unread bytes, and drops what it has not delivered, so they are read first."""
        if not self.is_over:
            with contextlib.suppress(OSError):  # ENOTCONN: the peer has reset it
                self.sock.shutdown(socket.SHUT_WR)
            self.closed_over_unread = discard_unread(self.sock) > 0
            self.end(None)

    def end(self, error: Exception | None) -> None:
        if self.is_over:
            return
        self.pause_reading()
        self.await_writable(False)
        self.is_over = True
        for timer in self.retry_timers.values():
            timer.cancel()
        self.write_buffer.clear()
        self.closed_over_unread = self.closed_over_unread or peek(self.sock) is Unread.BYTES
        with contextlib.suppress(OSError):  # the descriptor is released even if close(2) fails
            self.sock.close()
        self.loop.call_soon(self.owner.connection_lost, error)
