"""Clients that fill the descriptors of a real sidecar process cost no other client its answer, and new clients are
still served."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path

from ironscale.standins.discovery import FakeDiscovery, listing
from ironscale.standins.http import Message, read_message
from ironscale.standins.settings import SETTINGS
from ironscale.standins.upstream import Peer
from tests.deployed import ROOT
from tests.ends.test_descriptors import connect_idle, is_up, open_descriptors, reconnect_closed
from tests.sockets import Scene, free_port, run, until

SOCKETS = 64
MAX_CLIENTS = (SOCKETS - 32) // 2  # connections from clients that the sidecar then accepts at a time
LONGEST_EVICTION_AGE_S = 0.5  # after so long without a byte any connection without an open request may be closed
PIECES_APART_S = 0.25
MAX_JUDGED_PAUSE_S = 0.4  # a client that this process held up for longer is not judged
SLOW_REQUESTS = 8
PROBE = b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n"


@contextlib.asynccontextmanager
async def sidecar_process(folder: Path) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    """A sidecar with few descriptors and one upstream; gives the process and its port."""
    peer, discovery, port = await Peer().start(), await FakeDiscovery().start(), free_port()
    path = folder / "config.json"
    path.write_text(json.dumps({
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}", "seed": "1f",
        "limits": {"sockets": SOCKETS}, "known": listing(peer.entry("s-1")), "settings": SETTINGS}))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "ironscale", cwd=ROOT, env={**os.environ, "GW_CONFIG": str(path)})
    try:
        await until(lambda: is_up(port))
        yield process, port
    finally:
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
        await process.wait()


def unread_bytes(port: int, client: socket.socket) -> int:
    """How many of the client's bytes the process that listens on the port has not read, as the kernel tells it."""
    local, remote = (f"0100007F:{number:04X}" for number in (port, client.getsockname()[1]))
    for line in Path("/proc/net/tcp").read_text().splitlines():
        columns = line.split()
        if columns[1:3] == [local, remote]:
            return int(columns[4].partition(":")[2], 16)
    raise AssertionError("the connection is gone")


async def until_read(port: int, client: socket.socket) -> None:
    """Waits until all that the client has written has been read."""
    await until(lambda: unread_bytes(port, client) == 0)


async def connected(port: int, data: bytes) -> socket.socket:
    client = connect_idle(port)
    await asyncio.get_running_loop().sock_sendall(client, data)
    return client


async def answer_of(client: socket.socket) -> Message:
    reader, writer = await asyncio.open_connection(sock=client)
    try:
        return await read_message(reader)
    finally:
        writer.close()


# Guards against a connection that is closed to make room over the unread rest of its request.
def test_the_rest_of_a_request_that_arrives_as_room_is_made_is_answered(tmp_path: Path) -> None:
    """New clients and then the rest reach the sidecar while it is stopped, so that it accepts before it reads."""
    async def test() -> None:
        scene = Scene()
        async with sidecar_process(tmp_path) as (process, port):
            initial = open_descriptors(process.pid)
            request = scene.request("pay", b"homework")
            slow = await connected(port, request[:-4])
            await until_read(port, slow)
            idle = [connect_idle(port) for _ in range(MAX_CLIENTS - 1)]
            await until(lambda: open_descriptors(process.pid) >= initial + MAX_CLIENTS)
            await asyncio.sleep(LONGEST_EVICTION_AGE_S + 0.2)
            process.send_signal(signal.SIGSTOP)
            new = [await connected(port, PROBE) for _ in range(MAX_CLIENTS + 4)]
            slow.send(request[-4:])
            process.send_signal(signal.SIGCONT)
            assert (await answer_of(slow)).status == 200
            answers = await asyncio.gather(*map(answer_of, new))
            assert [one.status for one in answers] == [200] * len(new)
            for client in idle:
                client.close()

    run(test)


# Guards against a connection that is closed to make room between two pieces of its request.
def test_requests_written_in_pieces_and_new_clients_are_answered_in_a_crowd(tmp_path: Path) -> None:
    async def test() -> None:
        scene, judged = Scene(), 0
        async with sidecar_process(tmp_path) as (process, port):
            initial = open_descriptors(process.pid)
            idle = [connect_idle(port) for _ in range(3 * MAX_CLIENTS)]
            reconnecting = asyncio.create_task(reconnect_closed(port, idle))
            try:
                await until(lambda: open_descriptors(process.pid) >= initial + MAX_CLIENTS)
                for _ in range(SLOW_REQUESTS):
                    request = scene.request("pay", b"homework")
                    slow = await connected(port, request[:-4])
                    await until_read(port, slow)
                    begun_s = time.monotonic()
                    new = await connected(port, scene.request())
                    await asyncio.sleep(PIECES_APART_S)
                    with contextlib.suppress(ConnectionError):
                        slow.send(request[-4:])
                    if time.monotonic() - begun_s <= MAX_JUDGED_PAUSE_S:
                        assert (await answer_of(slow)).status == 200
                        judged += 1
                    assert (await answer_of(new)).status == 200
                    slow.close()
                assert judged, "this process was held up each time"
            finally:
                reconnecting.cancel()
                for client in idle:
                    client.close()

    run(test, 60)


# Guards against clients that stop in the middle of a request and shut others out, or are closed with no answer.
def test_clients_that_stop_in_the_middle_of_a_request_make_room_and_are_told_so(tmp_path: Path) -> None:
    async def test() -> None:
        scene = Scene()
        async with sidecar_process(tmp_path) as (_, port):
            stopped = [await connected(port, scene.request()[:-10]) for _ in range(MAX_CLIENTS)]
            for client in stopped:
                await until_read(port, client)
            new = [await connected(port, PROBE) for _ in range(MAX_CLIENTS)]
            new.append(await connected(port, scene.request()))
            answers = await asyncio.gather(*map(answer_of, new))
            assert [one.status for one in answers] == [200] * len(new)
            answers = await asyncio.gather(*map(answer_of, stopped))
            assert [one.status for one in answers] == [408] * len(stopped)

    run(test)
