"""Connections survive calls that fail with a transient error, and end with errors that end them."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from collections import deque

import pytest

from ironscale.net import errors
from ironscale.net.stream import Stream, Unread, peek
from tests.sockets import run, until

TRANSIENT_ERRNOS = (errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)


class FailingSocket(socket.socket):
    """A socket whose next calls fail with the errno in its script; 0 = the call succeeds, for a single byte."""

    script: deque[int]

    def next_result(self) -> bool:
        number = self.script.popleft() if self.script else -1
        if number > 0:
            raise OSError(number, errno.errorcode[number])
        return number == 0

    def recv(self, size: int, flags: int = 0) -> bytes:
        return super().recv(1 if self.next_result() else size, flags)

    def send(self, data: bytes | bytearray, flags: int = 0) -> int:  # type: ignore[override]
        return super().send(data[:1] if self.next_result() else data, flags)


class Owner:
    def __init__(self) -> None:
        self.got, self.resumed, self.ends = b"", 0, list[Exception | None]()

    def data_received(self, data: bytes) -> None:
        self.got += data

    def eof_received(self) -> None:
        self.got += b"|"

    def resume_writing(self) -> None:
        self.resumed += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.ends.append(exc)


def pair() -> tuple[FailingSocket, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        other = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    ours = FailingSocket(fileno=accepted.detach())
    ours.script = deque()
    ours.setblocking(False)
    other.setblocking(False)
    return ours, other


# Guards against a connection that is closed after a transient read error, so that its answer is lost.
@pytest.mark.parametrize("number", TRANSIENT_ERRNOS)
def test_all_bytes_are_read_despite_transient_read_errors(number: int) -> None:
    async def test() -> None:
        ours, other = pair()
        ours.script.extend([number, number, 0, 0, number])
        user = Owner()
        stream = Stream(ours, user)
        other.send(b"a request")
        await until(lambda: user.got == b"a request")
        assert not user.ends
        other.close()
        await until(lambda: user.ends)
        assert user.got.endswith(b"|") and stream.is_over

    run(test)


# Guards against an answer that is truncated where a write fails with a transient error or is partial.
@pytest.mark.parametrize("number", TRANSIENT_ERRNOS)
def test_all_bytes_are_written_despite_transient_write_errors(number: int) -> None:
    async def test() -> None:
        ours, other = pair()
        ours.script.extend([0, number, 0, number])
        user = Owner()
        stream = Stream(ours, user)
        stream.write(b"an answer")
        stream.write(b", and its end")
        stream.close()
        found = b""
        while not found.endswith(b"end"):
            found += await asyncio.get_running_loop().sock_recv(other, 100)
        assert found == b"an answer, and its end"
        await until(lambda: user.ends)
        assert user.ends == [None]
        other.close()

    run(test)


def test_the_owner_is_told_when_all_buffered_bytes_are_written() -> None:
    async def test() -> None:
        ours, other = pair()
        user = Owner()
        stream = Stream(ours, user)
        stream.write(bytes(64 << 20))
        assert stream.get_write_buffer_size() and not user.resumed
        loop, left = asyncio.get_running_loop(), 64 << 20
        while left:
            left -= len(await loop.sock_recv(other, 1 << 20))
        assert not stream.get_write_buffer_size()
        await until(lambda: user.resumed == 1)
        stream.abort()
        other.close()

    run(test)


# Guards against a connection that is kept although it has ended: requests would wait on it for ever.
@pytest.mark.parametrize("number", [errno.ECONNRESET, errno.EPIPE, errno.EBADF])
def test_an_error_that_ends_the_connection_is_reported_once(number: int) -> None:
    async def test() -> None:
        ours, other = pair()
        user = Owner()
        stream = Stream(ours, user)
        ours.script.append(number)
        other.send(b"x")
        await until(lambda: user.ends)
        stream.abort()
        await asyncio.sleep(0.01)
        assert len(user.ends) == 1 and not user.got
        other.close()

    run(test)


# Guards against a timed-out connection whose read is retried for ever.
def test_a_connection_that_has_timed_out_ends() -> None:
    async def test() -> None:
        ours, other = pair()
        user = Owner()
        Stream(ours, user)
        ours.getpeername = lambda: (_ for _ in ()).throw(OSError(errno.ENOTCONN, ""))  # type: ignore[method-assign]
        ours.script.append(errno.ETIMEDOUT)
        other.send(b"x")
        await until(lambda: user.ends)
        other.close()

    run(test)


def test_unknown_errors_are_fatal() -> None:
    assert errors.severity(OSError(errno.ENOTTY, "")) is errors.Severity.FATAL
    assert errors.severity(OSError("no number")) is errors.Severity.FATAL
    assert (errors.is_transient(OSError(errno.EINTR, ""))
            and not errors.is_transient(ConnectionResetError(errno.ECONNRESET, "")))


# Guards against an interrupted check that takes an ended connection for a live one without data.
def test_peek_reports_unread_bytes_and_the_end() -> None:
    ours, other = pair()
    with ours, other:
        assert peek(ours) is Unread.NOTHING
        other.send(b"x")
        assert peek(ours) is Unread.BYTES and ours.recv(10) == b"x"
        ours.script.append(errno.ENOMEM)
        assert peek(ours) is Unread.UNKNOWN
        other.close()
        assert peek(ours) is Unread.END
        ours.script.append(errno.ECONNRESET)
        assert peek(ours) is Unread.END


# Guards against a client that is taken for gone and gets no answer, because a check of its connection failed once.
@pytest.mark.parametrize("number", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH])
def test_a_peek_that_fails_with_an_error_of_the_network_path_is_no_end(number: int) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.create_connection(listener.getsockname()) as made:
        accepted, _ = listener.accept()
        looked_at = FailingSocket(fileno=made.detach())
        looked_at.script = deque([number])
        with accepted, looked_at:
            assert peek(looked_at) is Unread.UNKNOWN
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            accepted.close()  # by a reset, after which the kernel no longer knows the peer
            looked_at.script = deque([number])
            assert peek(looked_at) is Unread.END


class SocketWithFailingClose(FailingSocket):
    def close(self) -> None:
        super().close()
        raise OSError(errno.EIO, "close")


# Guards against an owner that never hears of its connection's end, and counts it as open for ever.
def test_the_owner_hears_of_the_end_although_the_close_of_the_socket_fails() -> None:
    async def test() -> None:
        ours, other = pair()
        failing = SocketWithFailingClose(fileno=ours.detach())
        failing.script = deque()
        failing.setblocking(False)
        user = Owner()
        Stream(failing, user).close()
        await until(lambda: user.ends)
        other.close()

    run(test)
