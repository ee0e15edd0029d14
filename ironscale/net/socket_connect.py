"""Opens TCP connections without a thread. The event loop's own `sock_connect` resolves even numeric addresses in its
thread pool, and ends the process if no thread can be started."""

from __future__ import annotations

import asyncio
import errno
import os
import socket

Address = tuple[str, int]
IN_PROGRESS_ERRORS = (errno.EINPROGRESS, errno.EINTR)  # an interrupted connect continues asynchronously, see connect(2)


async def resolve(address: Address) -> Address:
    """Returns the address with the host name resolved to an IPv4 address. Raises OSError."""
    host, port = address
    try:
        socket.inet_pton(socket.AF_INET, host)
        return address
    except (OSError, ValueError):  # a host name, or an invalid one, for which getaddrinfo reports the error
        found = await asyncio.get_running_loop().getaddrinfo(host, port, family=socket.AF_INET, type=socket.SOCK_STREAM)
        return str(found[0][4][0]), port


async def connect(sock: socket.socket, address: Address) -> None:
    """Connects a non-blocking socket. Raises OSError."""
    error_number = sock.connect_ex(await resolve(address))
    if error_number in IN_PROGRESS_ERRORS:
        await wait_until_writable(sock)
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error_number:
        raise OSError(error_number, os.strerror(error_number))


async def wait_until_writable(sock: socket.socket) -> None:
    """Waits until the socket becomes writable."""
    loop = asyncio.get_running_loop()
    waiter: asyncio.Future[None] = loop.create_future()

    def on_writable() -> None:
        if not waiter.done():
            waiter.set_result(None)

    loop.add_writer(sock, on_writable)
    try:
        await waiter
    finally:
        loop.remove_writer(sock)
