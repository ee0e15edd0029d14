"""A client that closes behind more bytes than the kernel takes has left, although its end can't be seen."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from pathlib import Path

import pytest

from tests.faults.site import Site
from tests.faults.test_calls import play
from tests.sockets import until

AHEAD_BYTES = 8 << 20  # more than the buffers of both sockets hold
DEADLINE_S = 4.0
HEDGE_TIME_S = 1.5
ATTEMPT_TIME_S = 0.5  # for the first attempt to begin
MAX_CLIENTS = 8
SENT_AHEAD = {
    "requests": b"GET /api?sid=7f HTTP/1.1\r\nHost: s\r\nX-Txn: ahead\r\nX-Lane: view\r\nX-Remaining: 1m\r\n\r\n",
    "noise": b"x" * 100,
    "half-a-body": b"POST /api HTTP/1.1\r\nHost: s\r\nContent-Length: 60000\r\n\r\n" + b"y" * 59_000,
}


def send_all_that_fits(sock: socket.socket, data: bytes) -> None:
    unsent = memoryview(data)  # its slices copy nothing: a copy of the rest a step gives the sidecar time to answer
    with contextlib.suppress(BlockingIOError):
        while unsent:
            unsent = unsent[sock.send(unsent[:1 << 16]):]


# Guards against an attempt that begins for a client whose end lies behind bytes that nobody reads.
@pytest.mark.parametrize("ahead", SENT_AHEAD.values(), ids=SENT_AHEAD)
@pytest.mark.parametrize("lane", ["view", "mark"])
def test_no_attempt_begins_for_a_client_that_closed_behind_a_full_buffer(
        tmp_path: Path, lane: str, ahead: bytes) -> None:
    """All upstreams hang, so that a second attempt would follow the first."""
    async def test(site: Site) -> None:
        sidecar = await site.serving()
        for upstream in site.upstreams:
            upstream.fault = "hang"
        for _ in range(MAX_CLIENTS):
            call = site.ledger.new_call(lane, DEADLINE_S)
            call.sent_s = time.monotonic()
            client = socket.create_connection(("127.0.0.1", sidecar.port))
            client.setblocking(False)
            send_all_that_fits(client, sidecar.clients.request(call, DEADLINE_S) + ahead * (AHEAD_BYTES // len(ahead)))
            with contextlib.suppress(TimeoutError):  # a sidecar that reads late sees the full buffer and sends nothing
                async with asyncio.timeout(ATTEMPT_TIME_S):
                    await until(lambda call=call: call.arrivals)  # type: ignore[misc]
            client.close()
            call.abandoned_s = time.monotonic()
            await asyncio.sleep(HEDGE_TIME_S)
            if call.arrivals:
                break
        assert call.arrivals and not site.ledger.violations()

    play(tmp_path, test, DEADLINE_S)
