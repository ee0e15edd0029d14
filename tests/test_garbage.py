"""What the data path is done with is freed at once, and not when the garbage collector happens to run."""

from __future__ import annotations

import gc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from ironscale.standins.http import TURNED_AWAY, ok
from ironscale.standins.upstream import Peer, reply
from tests.sockets import Scene, run, until

REQUESTS = 5
REJECTED = {
    "malformed": b"nonsense\r\n\r\n",
    "too-large": b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
    "too-many-fields": b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 200,
    "unknown-class": b"GET / HTTP/1.1\r\n\r\n",
}


@asynccontextmanager
async def collecting_nothing() -> AsyncIterator[list[object]]:
    """Gives the list of what only the garbage collector could free while the block ran."""
    found: list[object] = []
    gc.collect()
    gc.disable()
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        yield found
        gc.collect()
        found += [one for one in gc.garbage if type(one).__module__.startswith("ironscale")]
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()


# Guards against rejected connections that stay in memory with all that they have sent.
@pytest.mark.parametrize("data", REJECTED.values(), ids=REJECTED)
def test_a_rejected_connection_leaves_nothing_to_collect(data: bytes) -> None:
    async def test() -> None:
        scene = await Scene().start()
        await scene.send(data)
        async with collecting_nothing() as found:
            for _ in range(REQUESTS):
                assert (await scene.send(data)).status in (400, 413)
            await until(lambda: not scene.sidecar.server.connections)
        assert not found

    run(test)


# Guards against requests that stay in memory with their bodies after they have been answered.
@pytest.mark.parametrize("answer", [ok(), TURNED_AWAY], ids=["served", "turned-away"])
def test_an_answered_request_leaves_nothing_to_collect(answer: bytes) -> None:
    async def test() -> None:
        peer = await Peer(reply(answer)).start()
        scene = await Scene().start(peer.entry("s-1"))
        await scene.call("pay", b"body", "200m")
        async with collecting_nothing() as found:
            for _ in range(REQUESTS):
                await scene.call("pay", b"body", "200m")
            await until(lambda: not scene.sidecar.server.connections and not scene.sidecar.requests)
        assert not found

    run(test)


# Guards against ended calls to discovery that stay in memory with the lists that they were reading.
def test_an_ended_call_to_discovery_leaves_nothing_to_collect() -> None:
    async def test() -> None:
        scene = await Scene().start()
        scene.sidecar.discovery.subscribe()
        await until(lambda: scene.discovery.writers)
        async with collecting_nothing() as found:
            for _ in range(REQUESTS):
                calls = len(scene.discovery.writers)
                scene.discovery.writers[-1].write(b"5\r\n{\"a\":\r\n")
                scene.discovery.writers[-1].close()
                await until(lambda: len(scene.discovery.writers) > calls)  # noqa: B023
        assert not found

    run(test)
