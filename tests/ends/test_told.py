"""A change counts as told 6 s after discovery had it and could be reached, whatever has failed meanwhile."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from itertools import pairwise
from typing import Any

import pytest

from ironscale.interface import UpstreamState
from ironscale.net import turns
from ironscale.net.sidecar import Sidecar
from ironscale.standins.discovery import listing
from ironscale.standins.http import read_message
from ironscale.standins.upstream import Peer
from tests.ends.test_lists import MODES, settings_of, state
from tests.sockets import Scene, config, free_port
from tests.virtual import run_virtual, until

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# How a call fails, and after how many seconds it has; None: when the sidecar gives it up.
ENDS: dict[str, float | None] = {"refused": 0.0, "reset": 0.0, "unwell": 0.0, "cut": 0.1, "stuck": None, "silent": None}
PATIENCE_S = {"pushed": (1.0, 2.0), "asked": (3.3, 6.6)}  # for the first word, at first and after one without


def begins(mode: str, kind: str, failures: int, is_silent: bool, rng: random.Random) -> list[float]:
    """When calls begin after the last word of a watch at 0, which fell silent or broke; none of them by the decisions,
    which may only be sooner (of few)."""
    found = [turns.after_end_s(turns.SILENCE_S if is_silent else rng.random() * 2, 0.0, 0, 0.0, rng.random())]
    while len(found) <= failures:
        begun, last_s = len(found), found[-1]
        beside_s = turns.beside_s(0.0, begun, last_s, rng.random())
        took_s = ENDS[kind]
        end_s = last_s + (PATIENCE_S[mode][begun > 1] if took_s is None else took_s)
        found.append(beside_s if beside_s <= end_s else turns.after_end_s(end_s, 0.0, begun, last_s, rng.random()))
    return found


@pytest.mark.parametrize("mode", PATIENCE_S)
@pytest.mark.parametrize("kind", ENDS)
@pytest.mark.parametrize("count", [1, 20, 200])
@pytest.mark.parametrize("is_silent", [True, False])
def test_the_sums_of_all_that_may_fail_stay_under_the_clock(mode: str, kind: str, count: int, is_silent: bool) -> None:
    """And discovery's protection: so many share it, and their calls stay apart."""
    rng, calls = random.Random(f"{mode} {kind} {count} {is_silent}"), list[float]()
    for _ in range(200):
        found = begins(mode, kind, 6, is_silent, rng)
        assert found[0] <= turns.SILENCE_S + turns.FIRST_S and found[1] <= turns.SPAN_S
        # discovery could be reached, at the earliest, just after a call that failed had begun
        assert all(later - earlier <= turns.SPAN_S for earlier, later in pairwise(found))
        assert all(later - earlier >= turns.FIRST_S / 2 for earlier, later in pairwise(found))
        assert all(later - earlier >= turns.LONGEST_TURN_S / 2 for earlier, later in pairwise(found[1:]))
        calls += found
    assert turns.SPAN_S + turns.CALL_S == turns.TOLD_S
    if count == 200:
        # after a silence first calls come at 160 a second, as their turn is 1.25 s, and second ones begin in its end
        busiest = max(sum(at <= one < at + 1.0 for one in calls) for at in calls)
        assert busiest <= count, busiest
        later = [one for one in calls if one > turns.TOLD_S + turns.SPAN_S]
        assert all(sum(at <= one < at + 2.5 for one in later) <= count for at in later)


class Discovery:
    """Tells one list on the first call; later calls fail as is written down, and then one is answered."""

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
def test_a_drain_is_heard_in_time_though_calls_fail_after_a_silent_watch(
        kind: str, mode: dict[str, Any], instances: int, failures: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Hazard: of many, one whose call after a silent watch failed waited its turn of 2.5 to 5 s, and what was silent
    was waited for."""
    async def test() -> None:
        peer = await Peer().start()
        discovery = Discovery(lambda lifecycle: peer.entry("s-1", lifecycle=lifecycle))
        discovery.kind, discovery.failures = kind, failures
        await discovery.open()
        scene = Scene()
        scene.sidecar = sidecar_at(discovery.port, peer, instances, mode)
        await scene.sidecar.start()
        await until(lambda: scene.sidecar.discovery.generation == 42)
        word_s = discovery.now_s()
        await until(lambda: state(scene) is UpstreamState.DRAINING)
        # it could be reached from the last word on; later, from just after a call that failed had begun
        since_s = word_s if failures == 1 else discovery.begun[failures]
        told_s = discovery.now_s() - since_s
        assert told_s <= turns.TOLD_S, (told_s, [round(one - word_s, 2) for one in discovery.begun])
        assert len(discovery.begun) >= failures + 2
        scene.sidecar.discovery.close()

    run_virtual(test, monkeypatch)


def sidecar_at(port: int, peer: Peer, instances: int, mode: dict[str, Any]) -> Sidecar:
    return Sidecar(config(port, peer.entry("s-1"), **settings_of(mode, instances=instances)))


@pytest.mark.parametrize("instances", [1, 200])
@pytest.mark.parametrize("mode", MODES, ids=["asked", "pushed"])
def test_a_discovery_that_comes_back_after_long_is_heard_in_time(
        mode: dict[str, Any], instances: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Refused until then, for half a minute."""
    async def test() -> None:
        peer = await Peer().start()
        discovery = Discovery(lambda lifecycle: peer.entry("s-1", lifecycle=lifecycle))
        await discovery.open()
        scene = Scene()
        scene.sidecar = sidecar_at(discovery.port, peer, instances, mode)
        await scene.sidecar.start()
        await until(lambda: scene.sidecar.discovery.generation == 42)
        assert discovery.server is not None and discovery.watch is not None
        discovery.server.close()
        discovery.watch.transport.abort()
        await asyncio.sleep(30.0)
        assert len(discovery.begun) == 1 and state(scene) is UpstreamState.READY
        await discovery.open()
        back_s = discovery.now_s()
        await until(lambda: state(scene) is UpstreamState.DRAINING)
        assert discovery.now_s() - back_s <= turns.TOLD_S
        scene.sidecar.discovery.close()

    run_virtual(test, monkeypatch)
