"""Opens connections. The event loop's own `sock_connect` looks even numeric addresses up in threads of its
pool, and ends the process where none can be begun."""

from __future__ import annotations

import asyncio
import errno
import os
import socket

Address = tuple[str, int]
UNDER_WAY = (errno.EINPROGRESS, errno.EINTR)  # an interrupted connect goes on by itself (connect(2))


async def resolved(address: Address) -> Address:
    host, port = address
    try:
        socket.inet_pton(socket.AF_INET, host)
        return address
    except (OSError, ValueError):  # a name, or nothing that can be looked up
        found = await asyncio.get_running_loop().getaddrinfo(host, port, family=socket.AF_INET, type=socket.SOCK_STREAM)
        return str(found[0][4][0]), port


async def connect(sock: socket.socket, address: Address) -> None:
    """Connects `sock`, which does not block. Raises OSError."""
    number = sock.connect_ex(await resolved(address))
    if number in UNDER_WAY:
        await writable(sock)
        number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if number:
        raise OSError(number, os.strerror(number))


async def writable(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    waiter: asyncio.Future[None] = loop.create_future()

    def tell() -> None:
        if not waiter.done():
            waiter.set_result(None)

    loop.add_writer(sock, tell)
    try:
        await waiter
    finally:
        loop.remove_writer(sock)
