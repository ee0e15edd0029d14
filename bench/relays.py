"""What a sidecar's cost is held against: `python -m bench.relays bytes|aiohttp HOST:PORT`. Prints its own port.

`bytes` passes bytes on and reads nothing of them; `aiohttp` is a plain relay on that library, which decides nothing.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any, cast

import uvloop


class Pipe(asyncio.Protocol):
    """One side of a connection through the byte relay."""

    def __init__(self, target: tuple[str, int] | None, other: Pipe | None = None) -> None:
        self.target, self.other = target, other
        self.transport: asyncio.Transport | None = None
        self.held: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.target is not None:
            asyncio.get_running_loop().create_task(self.connect(self.target))

    async def connect(self, target: tuple[str, int]) -> None:
        self.other = other = Pipe(None, self)
        await asyncio.get_running_loop().create_connection(lambda: other, *target)
        for data in self.held:
            self.data_received(data)

    def data_received(self, data: bytes) -> None:
        if self.other is None or self.other.transport is None:
            self.held.append(data)
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


async def pass_bytes(host: str, port: int) -> int:
    server = await asyncio.get_running_loop().create_server(lambda: Pipe((host, port)), "127.0.0.1", 0)
    found: int = server.sockets[0].getsockname()[1]
    return found


async def pass_requests(host: str, port: int) -> int:
    import aiohttp
    from aiohttp import web

    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def handle(request: Any) -> Any:
        async with session.request(request.method, f"http://{host}:{port}{request.rel_url}", data=await request.read(),
                                   headers=request.headers) as answer:
            return web.Response(status=answer.status, body=await answer.read())

    app = web.Application()
    app.router.add_route("*", "/{rest:.*}", handle)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    found: int = runner.addresses[0][1]
    return found


async def main() -> None:
    host, _, port = sys.argv[2].rpartition(":")
    print(await (pass_bytes if sys.argv[1] == "bytes" else pass_requests)(host, int(port)), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main())
