"""A worker whose parent is gone: what it would tell is dropped."""

from __future__ import annotations

import asyncio
import os

import uvloop

from ironscale.load.worker import Pipe


# Guards against an error in the event loop of a worker whose parent has closed its pipe after a signal.
def test_frames_to_a_closed_pipe_are_dropped_without_an_error() -> None:
    async def test() -> None:
        loop, errors = asyncio.get_running_loop(), list[str]()
        loop.set_exception_handler(lambda _, context: errors.append(str(context)))
        read_end, write_end = os.pipe()
        with open(write_end, "wb") as end:
            transport, _ = await loop.connect_write_pipe(asyncio.BaseProtocol, end)
            pipe = Pipe(transport)
            os.close(read_end)
            pipe.watch({"tries": 1})  # the first write finds that nobody reads
            while not transport.is_closing():
                await asyncio.sleep(0.001)
            loop.call_soon(pipe.watch, {"tries": 2})
            await asyncio.sleep(0.01)
        assert not errors

    uvloop.run(test())
