"""Lists of discovery that are older than ours: what they take out of use is not used, what they add is not yet."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from ironscale.interface import UpstreamState
from ironscale.standins.discovery import listing
from ironscale.standins.upstream import Peer
from tests.ends.test_lists import MODES, settings_of
from tests.sockets import Scene, run, until

NAMES = ("s-1", "s-2", "s-3")
GRACE_US = 500_000
GRACE_S = GRACE_US / 1e6
OUR_GENERATION = 42


class LaggingScene(Scene):
    """A sidecar whose list is of generation 42, and a watch that tells it older ones."""

    def __init__(self) -> None:
        super().__init__()
        self.peers: dict[str, Peer] = {}

    async def begin(self, mode: dict[str, Any], **lifecycles: str) -> LaggingScene:
        self.peers = {name: await Peer().start() for name in NAMES}
        await self.start(*self.entries(), **settings_of(mode, grace_us=GRACE_US))
        await until(lambda: self.discovery.writers)
        states = {name.replace("_", "-"): lifecycle for name, lifecycle in lifecycles.items()}
        self.tell(OUR_GENERATION, {**dict.fromkeys(NAMES, "ready"), **states}, whole=True)
        await until(lambda: self.sidecar.discovery.generation == OUR_GENERATION)
        return self

    def entries(self) -> list[dict[str, Any]]:
        return [peer.entry(name) for name, peer in self.peers.items()]

    def tell(self, generation: int, lifecycles: dict[str, str], whole: bool = False) -> None:
        entries = [self.peers[name].entry(name, lifecycle=state) for name, state in lifecycles.items()]
        self.discovery.line(listing(*entries, generation=generation, reset=whole))

    def ready(self) -> set[str]:
        return {pool.member.name for pool in self.sidecar.upstreams.pools.values()
                if pool.member.upstream.state is UpstreamState.READY}

    async def until_ready(self, *names: str) -> None:
        await until(lambda: self.ready() == set(names))


# Guards against requests to an upstream that a restarted discovery, which is not believed yet, tells to be gone.
@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("whole", [False, True], ids=["in a change", "in the whole list"])
@pytest.mark.parametrize("lifecycle", ["draining", "gone"])
def test_an_upstream_that_an_older_list_takes_out_is_not_used(mode: dict[str, Any], whole: bool, lifecycle: str
                                                              ) -> None:
    async def test() -> None:
        scene = await LaggingScene().begin(mode)
        if not whole:
            scene.tell(1, dict.fromkeys(NAMES, "ready"), whole=True)
        begun_s = asyncio.get_running_loop().time()
        scene.tell(2, {**dict.fromkeys(NAMES, "ready"), "s-1": lifecycle} if whole else {"s-1": lifecycle}, whole)
        await scene.until_ready("s-2", "s-3")
        assert asyncio.get_running_loop().time() - begun_s < GRACE_S
        assert scene.sidecar.discovery.generation == OUR_GENERATION

    run(test)


# Guards against an upstream that stays out of use although the call that took it out has named it again.
@pytest.mark.parametrize("lifecycle", ["draining", "gone", ""])
def test_an_upstream_that_older_lists_take_out_and_name_again_is_used(lifecycle: str) -> None:
    async def test() -> None:
        scene = await LaggingScene().begin({})
        named = {"s-2": "ready", "s-3": "ready", **({"s-1": lifecycle} if lifecycle else {})}
        scene.tell(1, named, whole=True)
        await scene.until_ready("s-2", "s-3")
        scene.tell(2, {"s-1": "ready"})
        await scene.until_ready(*NAMES)

    run(test)


# Guards against leaving out an upstream that was named again in the meantime.
def test_an_upstream_that_a_change_names_in_time_stays_in_use() -> None:
    async def test() -> None:
        scene = await LaggingScene().begin({})
        scene.tell(1, {"s-2": "ready"}, whole=True)
        scene.tell(2, {"s-1": "ready"})
        await scene.until_ready("s-1", "s-2")
        await asyncio.sleep(GRACE_S)
        assert scene.ready() == {"s-1", "s-2"}

    run(test)


# Guards against a lagging replica that tells a former drain and its end, and so ends the present drain.
def test_what_drains_by_our_own_list_does_not_become_ready_by_an_older_one() -> None:
    async def test() -> None:
        scene = await LaggingScene().begin({}, s_1="draining")
        scene.tell(39, dict.fromkeys(NAMES, "ready"), whole=True)
        scene.tell(40, {"s-1": "draining"})
        scene.tell(41, {"s-1": "ready", "s-2": "draining"})
        await scene.until_ready("s-3")

    run(test)


# Guards against a new numbering that passes ours before it is believed, and is then taken for the former one.
def test_a_numbering_that_passes_ours_by_changes_is_asked_for_its_whole_list() -> None:
    async def test() -> None:
        scene = await LaggingScene().begin({})
        scene.tell(1, {"s-2": "ready", "s-3": "ready"}, whole=True)
        for generation in range(2, OUR_GENERATION + 1):
            scene.tell(generation, {"s-3": "ready" if generation % 2 else "gone"})
        await until(lambda: len(scene.discovery.writers) == 2)
        assert scene.discovery.targets[1].endswith("after=0")
        await scene.until_ready("s-2")
        scene.tell(OUR_GENERATION + 2, {"s-2": "ready"}, whole=True)
        await until(lambda: scene.sidecar.discovery.generation == OUR_GENERATION + 2)
        assert scene.ready() == {"s-2"} and not scene.sidecar.discovery.lag_timers

    run(test)


# Guards against an upstream that stays out of use as a replica that lagged has told its former drain.
def test_what_a_lagging_replica_took_out_is_used_again_after_it_has_caught_up() -> None:
    async def test() -> None:
        scene = await LaggingScene().begin({})
        scene.tell(40, {**dict.fromkeys(NAMES, "ready"), "s-1": "draining"}, whole=True)
        await scene.until_ready("s-2", "s-3")
        scene.tell(OUR_GENERATION + 1, {"s-2": "gone"})
        await until(lambda: len(scene.discovery.writers) == 2)
        assert scene.discovery.targets[1].endswith("after=0")
        scene.tell(OUR_GENERATION + 1, {"s-1": "ready", "s-3": "ready"}, whole=True)
        await scene.until_ready("s-1", "s-3")

    run(test)
