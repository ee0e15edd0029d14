"""Clients that send what takes long to read don't hold up others."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from pathlib import Path

from tests.faults.clients import send_load
from tests.faults.site import Site
from tests.faults.test_calls import play

SECONDS, REQUESTS_PER_S = 3.0, 60.0
SERVICE_S = 0.02  # of the upstreams
MAX_MEDIAN_S = 0.06
LONG_QUERY = (b"GET /api?" + b"a=%%20&" * 10_000 + b"sid=k%%20 HTTP/1.1\r\nHost: s\r\nX-Txn: q%d\r\nX-Lane: view\r\n"
              b"X-Remaining: 100m\r\n\r\n")


# Guards against a target with thousands of parameters that holds up all other clients while it is read.
def test_long_query_strings_of_one_client_do_not_delay_others(tmp_path: Path) -> None:
    async def test(site: Site) -> None:
        sidecar = await site.serving()

        async def send_long_queries() -> None:
            """Sends at full speed on one connection, and on another once that has ended."""
            numbers = itertools.count()
            while True:
                reader, writer = await asyncio.open_connection("127.0.0.1", sidecar.port)
                with contextlib.suppress(OSError):
                    while not reader.at_eof():
                        writer.write(LONG_QUERY % next(numbers))
                        await writer.drain()
                writer.transport.abort()

        sending = asyncio.create_task(send_long_queries())
        calls = await send_load(sidecar.clients, SECONDS, REQUESTS_PER_S)
        sending.cancel()
        times = sorted((call.ended_s or call.sent_s + 9.0) - call.sent_s for call in calls)
        assert times[len(times) // 2] <= MAX_MEDIAN_S + site.ledger.lag_s, times[len(times) // 2]
        assert not site.ledger.violations()

    play(tmp_path, test)
