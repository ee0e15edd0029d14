"""A connected socket on the event loop. Failed calls that may pass are made again; only the connection's end is told.

The event loop's own transports close a connection at the first error of any kind, and with it goes an answer
that is owed.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import sys
from collections.abc import Callable
from typing import Protocol

from ironscale import logs
from ironscale.net.errors import Severity, severity

READ_BYTES = 64 << 10
LAST_DATA_AT = 52  # of tcpi_last_data_recv in the kernel's struct tcp_info, in milliseconds
UNREAD_FLAGS = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)
PAUSE_S = 0.005  # before a call that failed for want of something is made again


def since_last_byte_us(sock: socket.socket) -> int:
    """How long ago the last byte came to this machine, read or not; 0 where nobody can tell."""
    with contextlib.suppress(OSError):
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_AT + 4)
        if len(info) == LAST_DATA_AT + 4:
            return int.from_bytes(info[LAST_DATA_AT:], sys.byteorder) * 1000
    return 0


class Unread(enum.Enum):
    """What has come on a socket and has not been read."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"  # the other side's, or an error that ended the connection


def peek(sock: socket.socket) -> Unread:
    """A poll that a signal interrupts says that nothing is there; a read is made again."""
    try:
        return Unread.BYTES if sock.recv(1, UNREAD_FLAGS) else Unread.END
    except BlockingIOError:
        return Unread.NOTHING
    except OSError as error:
        return Unread.NOTHING if is_outlasted(sock, error) else Unread.END


def is_outlasted(sock: socket.socket, error: OSError) -> bool:
    """Whether the connection outlasts the error. The kernel forgets the peer of one that has ended."""
    if severity(error) is Severity.EXHAUSTED:
        return True
    if severity(error) is not Severity.UNREACHABLE:
        return False
    with contextlib.suppress(OSError):
        sock.getpeername()
        return True
    return False


class StreamUser(Protocol):
    """Who owns the connection."""

    def data_received(self, data: bytes) -> None: ...

    def eof_received(self) -> None:
        """The other side has ended its sending; the stream closes once this returns."""

    def resume_writing(self) -> None:
        """All that was written has been handed to the kernel, not at once but now."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Told once; the socket is closed."""


class Stream:
    """Reads from the start; writes at once what the kernel takes."""

    def __init__(self, sock: socket.socket, user: StreamUser) -> None:
        self.sock, self.user = sock, user
        self.loop = asyncio.get_running_loop()
        self.unsent = bytearray()
        self.is_reading = False
        self.awaits_room = False  # the loop tells when the kernel takes more
        self.pauses: dict[str, asyncio.TimerHandle] = {}  # calls to be made again, by what they do
        self.ending = False  # nothing is read any more; it ends once all is sent
        self.over = False
        self.resume_reading()

    def is_closing(self) -> bool:
        return self.ending or self.over

    def get_write_buffer_size(self) -> int:
        return len(self.unsent)

    def pause_reading(self) -> None:
        pause = self.pauses.pop("read", None)
        if pause is not None:
            pause.cancel()
        if self.is_reading:
            self.is_reading = False
            self.loop.remove_reader(self.sock)

    def resume_reading(self) -> None:
        if not self.is_reading and not self.is_closing():
            self.is_reading = True
            self.loop.add_reader(self.sock, self.read)

    def read(self) -> None:
        try:
            data = self.sock.recv(READ_BYTES)
        except OSError as error:
            self.read_failed(error)
            return
        try:
            if data:
                self.user.data_received(data)
            else:
                self.user.eof_received()
                self.close()
        except Exception as error:
            logs.write_line(f"a connection's user failed: {type(error).__name__}: {error}")
            self.end(error)

    def read_failed(self, error: OSError) -> None:
        if severity(error) is Severity.AGAIN:
            return
        if is_outlasted(self.sock, error):
            self.pause_reading()
            self.again("read", self.resume_reading)
        else:
            self.end(error)

    def again(self, what: str, act: Callable[[], None]) -> None:
        if what not in self.pauses:
            self.pauses[what] = self.loop.call_later(PAUSE_S, self.after_pause, what, act)

    def after_pause(self, what: str, act: Callable[[], None]) -> None:
        self.pauses.pop(what, None)
        if not self.over:
            act()

    def write(self, data: bytes) -> None:
        if self.is_closing():
            return
        waits = bool(self.unsent)
        self.unsent += data
        if not waits:
            self.send()

    def send(self) -> None:
        """Hands over what the kernel takes; the rest waits for room, or for a pause where a call has failed."""
        try:
            while self.unsent:
                del self.unsent[:self.sock.send(self.unsent)]
        except OSError as error:
            if severity(error) is Severity.AGAIN:
                self.await_room(True)
            elif is_outlasted(self.sock, error):
                self.await_room(False)
                self.again("write", self.send_again)
            else:
                self.end(error)
            return
        self.await_room(False)
        if self.ending:
            self.end(None)

    def send_again(self) -> None:
        self.send()
        if not self.unsent and not self.is_closing():
            self.user.resume_writing()

    def await_room(self, waits: bool) -> None:
        if waits != self.awaits_room:
            self.awaits_room = waits
            if waits:
                self.loop.add_writer(self.sock, self.send_again)
            else:
                self.loop.remove_writer(self.sock)

    def close(self) -> None:
        """Ends it once all that was written is sent."""
        if not self.is_closing():
            self.pause_reading()
            self.ending = True
            if not self.unsent:
                self.end(None)

    def abort(self) -> None:
        """Ends it now, whatever is unsent."""
        self.end(None)

    def end(self, error: Exception | None) -> None:
        if self.over:
            return
        self.pause_reading()
        self.await_room(False)
        self.over = True
        for pause in self.pauses.values():
            pause.cancel()
        self.unsent.clear()
        self.loop.call_soon(self.ended, error)

    def ended(self, error: Exception | None) -> None:
        self.sock.close()
        self.user.connection_lost(error)
