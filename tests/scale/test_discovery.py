"""Simulated watches at a stand-in discovery: the counts at both ends match the bytes sent over the sockets."""

from __future__ import annotations

import json

from ironscale.scale import discovery
from tests.sockets import run

HEARTBEAT_BYTES = len(b"1\r\n\n\r\n")  # sent every 2 s while nothing changes, so any count may include some


def test_counted_bytes_match_lists_and_changes() -> None:
    async def play() -> None:
        measured = await discovery.measure_traffic(40, 3, rest_s=0.2)
        heartbeats = 10 * HEARTBEAT_BYTES
        entries = [discovery.list_entry(number) for number in range(40)]
        whole = len(json.dumps({"generation": 2, "reset": True, "instances": entries}, separators=(",", ":")))
        assert whole < measured.whole_bytes < whole + 100 + heartbeats  # plus the response headers
        assert measured.calls == 3 and len(measured.first_list_s) == 3 and min(measured.first_list_s) >= 0
        assert 0 <= measured.start_bytes - 3 * measured.whole_bytes <= 3 * heartbeats
        entry = len(json.dumps(entries[0], separators=(",", ":")))
        assert entry < measured.change_bytes < entry + 100 + heartbeats
        assert 3 * entry < measured.replaced_bytes < 3 * (entry + 100) + heartbeats  # draining, gone, a new one
        assert abs(measured.asked_bytes_s * discovery.FETCH_INTERVAL_S - measured.whole_bytes) < 2_000

    run(play)


def test_calls_are_served_one_at_a_time_and_spread_by_the_balancers() -> None:
    async def play() -> None:
        # 20 watches, so that calls queue
        async with discovery.started_discovery(5, 20, turn_ms=30.0, per_process=10) as setup:
            await setup.start()
            counts, server = await setup.ask_all(), await setup.server.ask()
        assert counts["lists"] >= 20 and counts["failed"] == 0 and server["calls"] == 20
        first_s = sorted(setup.first_list_s)
        # balancers spread their calls randomly over 3 s: if all called at once, the last would have its list after 20
        # calls of 30 ms, 0.6 s
        assert first_s[0] >= 0.03 and first_s[-1] >= 1.0, first_s

    run(play)
