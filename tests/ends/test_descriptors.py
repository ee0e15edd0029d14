"""Idle clients use up the file descriptors while discovery is down. Some must stay free for the watch, for upstreams
and for readiness checks."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import pytest

from ironscale.standins.discovery import FakeDiscovery, listing
from ironscale.standins.http import read_message
from ironscale.standins.settings import SETTINGS
from ironscale.standins.upstream import Peer
from tests.deployed import ROOT
from tests.ends.test_lists import MODES
from tests.sockets import Scene, free_port, open_with_request, run, until

LIMIT = 128  # file descriptors of the sidecar process
CLIENTS = 2 * LIMIT


def connect_idle(port: int) -> socket.socket:
    """A client that connects and sends nothing. Connections that are not accepted stay in the kernel's backlog."""
    found = socket.socket()
    found.setblocking(False)
    found.connect_ex(("127.0.0.1", port))
    return found


def is_closed(client: socket.socket) -> bool:
    try:
        return not client.recv(64)
    except BlockingIOError:
        return False
    except OSError:
        return True


async def reconnect_closed(port: int, clients: list[socket.socket], data: bytes = b"") -> None:
    """Reconnects every client whose connection was closed; each sends `data` first."""
    while True:
        for place, client in enumerate(clients):
            if is_closed(client):
                client.close()
                clients[place] = connect_idle(port)
                with contextlib.suppress(OSError):
                    clients[place].send(data)
        await asyncio.sleep(0.02)


def open_descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


@pytest.mark.parametrize("sockets", [LIMIT, 8 * LIMIT], ids=["told", "only-by-the-system"])
@pytest.mark.parametrize("mode", MODES, ids=["asked", "pushed"])
def test_discovery_is_heard_again_although_idle_clients_use_up_the_descriptors(
        mode: dict[str, Any], sockets: int, tmp_path: Path) -> None:
    """Guards against an idle client that takes the last descriptor when the settings allow more than the system."""
    async def test() -> None:
        peer, discovery, port = await Peer().start(), FakeDiscovery(), free_port()
        discovery.port = free_port()  # nothing listens on it yet
        (tmp_path / "c.json").write_text(json.dumps({
            "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}", "seed": "1f",
            "limits": {"sockets": sockets}, "known": listing(), "settings": {**SETTINGS, **mode}}))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "ironscale", cwd=ROOT,
            env={**os.environ, "GW_CONFIG": str(tmp_path / "c.json")},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (LIMIT, LIMIT)))
        clients: list[socket.socket] = []
        reconnecting: asyncio.Task[None] | None = None
        try:
            await until(lambda: is_up(port))
            initial = open_descriptors(process.pid)
            clients += [connect_idle(port) for _ in range(CLIENTS)]
            reconnecting = asyncio.create_task(reconnect_closed(port, clients))
            await until(lambda: open_descriptors(process.pid) >= initial + (LIMIT - 32) // 2)
            server = await asyncio.start_server(discovery.on_connection, "127.0.0.1", discovery.port)
            back_s = asyncio.get_running_loop().time()
            await until(lambda: discovery.writers)
            assert asyncio.get_running_loop().time() - back_s < 6.0
            discovery.line(listing(peer.entry("s-1"), generation=42))
            scene = Scene()
            while True:  # a connection may be closed unread to make room; the client retries
                with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                    reader, writer = await open_with_request(port, b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    status = (await read_message(reader)).status
                    writer.close()
                    if status == 200:
                        break
            while not peer.got:
                with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                    reader, writer = await open_with_request(port, scene.request())
                    assert (await read_message(reader)).status == 200
                    writer.close()
            server.close()
        finally:
            if reconnecting is not None:
                reconnecting.cancel()
            for client in clients:
                client.close()
            process.send_signal(signal.SIGTERM)
            await process.wait()

    run(test)


def is_up(port: int) -> bool:
    with socket.socket() as found:
        return found.connect_ex(("127.0.0.1", port)) == 0
