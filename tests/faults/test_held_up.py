"""A process that gets no CPU time for a while counts a request's remaining time from its last byte."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from tests.faults.site import Site
from tests.faults.test_calls import assert_clean_exit, assert_no_violations, play


# Guards against telling upstreams more time than the client has left, because its request waited to be read.
def test_a_request_that_waited_unread_carries_the_time_its_client_has_left(tmp_path: Path) -> None:
    async def test(site: Site) -> None:
        sidecar = await site.serving()
        await asyncio.gather(*(sidecar.clients.call() for _ in range(4)))
        sidecar.signal(signal.SIGSTOP)
        calls = [asyncio.create_task(sidecar.clients.call(lane)) for lane in ("view", "mark", "pay") * 3]
        await asyncio.sleep(0.8)
        sidecar.signal(signal.SIGCONT)
        await asyncio.gather(*calls)
        assert_no_violations(site, 4)
        await assert_clean_exit(sidecar)

    play(tmp_path, test)
