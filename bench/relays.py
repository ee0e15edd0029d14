"""What a sidecar's cost is held against: `python -m bench.relays bytes|aiohttp HOST:PORT`. Prints its own port.

`bytes` passes bytes on and reads nothing of them; `aiohttp` is a plain relay on that library, which decides nothing.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import uvloop

from ironscale.scale.path import start_relay


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
    print(await (start_relay if sys.argv[1] == "bytes" else pass_requests)(host, int(port)), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main())
