"""A sidecar must know a change 6 s after discovery had it and could be reached, whatever failed in between."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from itertools import pairwise
from typing import Any

import pytest

from ironscale.interface import UpstreamState
from ironscale.net import discovery_schedule
from ironscale.net.sidecar import Sidecar
from ironscale.standins.discovery import listing
from ironscale.standins.http import read_message
from ironscale.standins.upstream import Peer
from tests.ends.test_lists import MODES, settings_of, upstream_state
from tests.sockets import Scene, config, free_port
from tests.virtual_clock import run_virtual, until

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# How a call fails, and after how many seconds; None if the sidecar has to time it out.
FAILURE_AFTER_S: dict[str, float | None] = {
    "refused": 0.0, "reset": 0.0, "unwell": 0.0, "cut": 0.1, "stuck": None, "silent": None}
# Timeout for the first data of a call: at first, and after a call that timed out.
FIRST_DATA_TIMEOUT_S = {"pushed": (1.0, 2.0), "asked": (3.3, 6.6)}


def call_begins(mode: str, kind: str, failures: int, is_silent: bool, rng: random.Random) -> list[float]:
    """Returns when calls begin after the last data from a watch at time 0, which went silent or broke. Calls that the
    balancer asks for are left out: with few sidecars they may come sooner."""
    found = [discovery_schedule.start_after_end_s(
        discovery_schedule.SILENCE_TIMEOUT_S if is_silent else rng.random() * 2, 0.0, 0, 0.0, rng.random())]
    while len(found) <= failures:
        begun, last_s = len(found), found[-1]
        parallel_s = discovery_schedule.parallel_start_s(0.0, begun, last_s, rng.random())
        duration_s = FAILURE_AFTER_S[kind]
        end_s = last_s + (FIRST_DATA_TIMEOUT_S[mode][begun > 1] if duration_s is None else duration_s)
        found.append(parallel_s if parallel_s <= end_s
                     else discovery_schedule.start_after_end_s(end_s, 0.0, begun, last_s, rng.random()))
    return found


@pytest.mark.parametrize("mode", FIRST_DATA_TIMEOUT_S)
@pytest.mark.parametrize("kind", FAILURE_AFTER_S)
@pytest.mark.parametrize("count", [1, 20, 200])
@pytest.mark.parametrize("is_silent", [True, False])
def test_call_times_stay_within_the_limit_for_every_kind_of_failure(
        mode: str, kind: str, count: int, is_silent: bool) -> None:
    """Also checks that discovery isn't overloaded: the calls of `count` sidecars that share it are spread over time."""
    rng, calls = random.Random(f"{mode} {kind} {count} {is_silent}"), list[float]()
    for _ in range(200):
        found = call_begins(mode, kind, 6, is_silent, rng)
        assert (
            found[0] <= discovery_schedule.SILENCE_TIMEOUT_S + discovery_schedule.FIRST_CALL_DELAY_S
            and found[1] <= discovery_schedule.MAX_CALL_GAP_S
        )
        # discovery could be reached, at the earliest, just after a call that failed had begun
        assert all(later - earlier <= discovery_schedule.MAX_CALL_GAP_S for earlier, later in pairwise(found))
        assert all(later - earlier >= discovery_schedule.FIRST_CALL_DELAY_S / 2 for earlier, later in pairwise(found))
        assert all(
            later - earlier >= discovery_schedule.MAX_RETRY_DELAY_S / 2 for earlier, later in pairwise(found[1:])
        )
        calls += found
    assert discovery_schedule.MAX_CALL_GAP_S + discovery_schedule.CALL_ALLOWANCE_S == discovery_schedule.MAX_STALENESS_S
    if count == 200:
        # after a silence the first calls come at 160 a second, as they are spread over 1.25 s; the second ones begin at
        # the end of that
        busiest = max(sum(at <= one < at + 1.0 for one in calls) for at in calls)
        assert busiest <= count, busiest
        later = [one for one in calls if one > discovery_schedule.MAX_STALENESS_S + discovery_schedule.MAX_CALL_GAP_S]
        assert all(sum(at <= one < at + 2.5 for one in later) <= count for at in later)


class FailingDiscovery:
    """Answers the first call with one list; then `failures` calls fail as `kind` says, and the next is answered."""

    def __init__(self, entry: Callable[[str], dict[str, Any]]) -> None:
        self.entry, self.kind, self.failures = entry, "", 0
        self.server: asyncio.Server | None = None
        self.port = free_port()
        self.begun: list[float] = []
        self.watch: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.on_call, "127.0.0.1", self.port, reuse_port=False)

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def change(self) -> bytes:
        state, generation = ("draining", 43) if self.begun[1:] else ("ready", 42)
        raw = json.dumps(listing(self.entry(state), generation=generation)).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(raw), raw)

    async def on_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.begun.append(self.now_s())
        try:
            await read_message(reader)
            if len(self.begun) == 1 or len(self.begun) > self.failures + 1:
                self.watch = writer
                writer.write(HEAD + self.change())
            elif self.kind == "reset":
                writer.transport.abort()
            elif self.kind == "unwell":
                writer.write(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
            elif self.kind in ("cut", "stuck"):
                writer.write(HEAD + self.change()[:60])
                if self.kind == "cut":
                    writer.close()
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()


@pytest.mark.parametrize("failures", [1, 4])
@pytest.mark.parametrize("instances", [1, 200])
@pytest.mark.parametrize("mode", MODES, ids=["asked", "pushed"])
@pytest.mark.parametrize("kind", ["reset", "unwell", "cut", "stuck", "silent"])
def test_a_drain_is_noticed_in_time_although_calls_fail_after_a_silent_watch(
        kind: str, mode: dict[str, Any], instances: int, failures: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against long waits where many sidecars share discovery: after a silent watch and a failed call the next
    one came 2.5 to 5 s later, and a silent call was waited for."""
    async def test() -> None:
        peer = await Peer().start()
        discovery = FailingDiscovery(lambda lifecycle: peer.entry("s-1", lifecycle=lifecycle))
        discovery.kind, discovery.failures = kind, failures
        await discovery.open()
        scene = Scene()
        scene.sidecar = sidecar_at(discovery.port, peer, instances, mode)
        await scene.sidecar.start()
        await until(lambda: scene.sidecar.discovery.generation == 42)
        last_data_s = discovery.now_s()
        await until(lambda: upstream_state(scene) is UpstreamState.DRAINING)
        # it could be reached from the last data on; after more failures, from just after a failed call had begun
        reachable_s = last_data_s if failures == 1 else discovery.begun[failures]
        delay_s = discovery.now_s() - reachable_s
        assert delay_s <= discovery_schedule.MAX_STALENESS_S, (
            delay_s,
            [round(one - last_data_s, 2) for one in discovery.begun],
        )
        assert len(discovery.begun) >= failures + 2
        scene.sidecar.discovery.close()

    run_virtual(test, monkeypatch)


def sidecar_at(port: int, peer: Peer, instances: int, mode: dict[str, Any]) -> Sidecar:
    return Sidecar(config(port, peer.entry("s-1"), **settings_of(mode, instances=instances)))


@pytest.mark.parametrize("instances", [1, 200])
@pytest.mark.parametrize("mode", MODES, ids=["asked", "pushed"])
def test_a_discovery_that_returns_after_a_long_outage_is_heard_in_time(
        mode: dict[str, Any], instances: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections are refused for half a minute before that."""
    async def test() -> None:
        peer = await Peer().start()
        discovery = FailingDiscovery(lambda lifecycle: peer.entry("s-1", lifecycle=lifecycle))
        await discovery.open()
        scene = Scene()
        scene.sidecar = sidecar_at(discovery.port, peer, instances, mode)
        await scene.sidecar.start()
        await until(lambda: scene.sidecar.discovery.generation == 42)
        assert discovery.server is not None and discovery.watch is not None
        discovery.server.close()
        discovery.watch.transport.abort()
        await asyncio.sleep(30.0)
        assert len(discovery.begun) == 1 and upstream_state(scene) is UpstreamState.READY
        await discovery.open()
        back_s = discovery.now_s()
        await until(lambda: upstream_state(scene) is UpstreamState.DRAINING)
        assert discovery.now_s() - back_s <= discovery_schedule.MAX_STALENESS_S
        scene.sidecar.discovery.close()

    run_virtual(test, monkeypatch)
