"""What lists owe at an end: a watch that falls silent, ends or moves, and what it would have told meanwhile."""

from __future__ import annotations

from typing import Any

import pytest

from ironscale.interface import UpstreamState
from ironscale.standins.discovery import FakeDiscovery, listing
from ironscale.standins.upstream import Peer
from tests.sockets import Scene, run, until

PUSHED: dict[str, Any] = {"registry-mode": "pushed"}
MODES: list[dict[str, Any]] = [{}, PUSHED]


def settings_of(mode: dict[str, Any], grace_us: int = 2_000_000, **changes: Any) -> dict[str, Any]:
    rules = {"ask-within": 10_000_000, "cold-share": 0.13, "fall": 1_000_000, "overload-factor": 2.5,
             "warm-up": 24_000_000, "drain-grace": grace_us}
    if mode:
        del rules["ask-within"]  # it stands only where lists are asked for
    return {**mode, "invariants": rules, **changes}


async def watched(peer: Peer, mode: dict[str, Any], **changes: Any) -> Scene:
    scene = await Scene().start(peer.entry("s-1"), **settings_of(mode, **changes))
    await until(lambda: scene.discovery.writers)
    scene.discovery.line(listing(peer.entry("s-1"), generation=42))
    await until(lambda: scene.sidecar.discovery.generation == 42)
    return scene


def state(scene: Scene) -> UpstreamState | None:
    """Of the one upstream, as the data path has it; None once it has gone."""
    pools = list(scene.sidecar.upstreams.pools.values())
    return pools[0].member.upstream.state if pools else None


@pytest.mark.parametrize("mode", MODES)
def test_a_drain_is_heard_whether_lists_are_pushed_or_asked_for(mode: dict[str, Any]) -> None:
    """Hazard: what an agent has been pushed counts as told, and no watch stood open that could tell it."""
    async def test() -> None:
        peer = await Peer().start()
        scene = await watched(peer, mode)
        scene.discovery.line(listing(peer.entry("s-1", lifecycle="draining"), generation=43, reset=False))
        await until(lambda: state(scene) is UpstreamState.DRAINING)
        assert (await scene.call()).status == 503 and not peer.got

    run(test)


def test_an_agent_that_is_silent_is_asked_again_before_the_grace_of_a_drain_is_over() -> None:
    """What the agent gets when discovery is back counts at once: no call may hang past that."""
    async def test() -> None:
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"), **settings_of(PUSHED, grace_us=600_000))
        await until(lambda: len(scene.discovery.targets) == 2)  # the first was accepted and not answered
        wait_us = scene.sidecar.config.answer_us + scene.sidecar.balancer.list_gap_us()
        assert wait_us <= 600_000 and scene.sidecar.discovery.answer_s * 1e6 == scene.sidecar.config.answer_us

    run(test)


@pytest.mark.parametrize("mode", MODES)
def test_a_new_address_is_asked_at_once_though_a_failed_call_has_to_wait(mode: dict[str, Any]) -> None:
    """Hazard: after SIGHUP what the new address has counts 4 s later, and the back-off was for the old one."""
    async def test() -> None:
        peer, new = await Peer().start(), await FakeDiscovery().start()
        scene = await watched(peer, mode)
        scene.sidecar.balancer.list_failures = 20  # the next call is due in seconds
        scene.discovery.writers[0].transport.abort()
        await until(lambda: scene.sidecar.discovery.watch is None)
        scene.sidecar.discovery.move(("127.0.0.1", new.port))
        assert scene.sidecar.discovery.watch is not None
        await until(lambda: new.targets)

    run(test)
