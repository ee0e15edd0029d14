"""Simulated instances for tests and benchmarks of the agent: the real control protocol without a data path, so that
many fit into one process."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Mapping
from typing import Any

from ironscale.control.client import AgentClient, Identity
from ironscale.control.follower import Follower, FollowerIdentity
from ironscale.control.instance import ChangeRefused, RestartNeeded, check_overlay
from ironscale.control.layers import LayeredInstance
from ironscale.control.messages import ClassCounts, Report
from ironscale.versions.agent_selection import AgentEndpoint
from ironscale.versions.model import Labels


class SimulatedInstance:
    """Records the commands that it was given. `effects` lists their effects in order; each must occur exactly once."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.generation = 0
        self.overlay: Mapping[str, Any] = {}
        self.draining = False
        self.open = 0
        self.stopped = False
        self.custom_upstreams: Callable[[], list[dict[str, Any]]] | None = None  # replaces the default upstreams
        self.ready = True
        self.class_counts = ClassCounts("view", 0, 0, 0)
        self.effects: list[str] = []
        self.before_effect: Callable[[str], None] = lambda what: None  # may raise, or end the process
        self.client: AgentClient | None = None
        self.layered = LayeredInstance(self)
        self.fence = 0

    def report(self, control_s: float) -> Report:
        return Report(self.generation, self.fence, self.ready and not self.draining, self.draining, self.open, 0, 10,
                      10, 0, 0, [self.class_counts], {}, 0.0, control_s, 0, 0)

    def upstreams(self) -> list[dict[str, Any]]:
        if self.custom_upstreams is not None:
            return self.custom_upstreams()
        return [{"name": f"node-{i}", "state": "ready", "slots": 1.0, "used": 0, "resting": False, "cold": False,
                 "failing": False, "mute": False, "leastMs": 1.0} for i in range(10)]

    def drain(self, draining: bool) -> None:
        self.before_effect("drain" if draining else "undrain")
        self.draining = draining
        self.effects.append("drain" if draining else "undrain")

    def reconfigure(self, generation: int, overlay: Mapping[str, Any]) -> None:
        check_overlay(overlay)
        if "refused" in overlay:
            raise ChangeRefused(f"refused: {overlay['refused']}")
        if "restart" in overlay:
            raise RestartNeeded("listen")
        self.before_effect(f"generation {generation}")
        self.generation, self.overlay = generation, overlay
        self.effects.append(f"generation {generation}")

    def stop(self) -> None:
        self.before_effect("stop")
        self.stopped = True
        self.effects.append("stop")


def create_simulated_instance(name: str, address: tuple[str, int], token: str, *, zone: str = "", boot: str = "",
                              replaces: str = "", rng: random.Random | None = None,
                              log: Callable[[str], None] = lambda text: None,
                              others: tuple[tuple[str, int], ...] = ()) -> tuple[SimulatedInstance, AgentClient]:
    """A simulated instance and the client that connects it to the agent at `address`, or to one of `others`."""
    instance = SimulatedInstance(name)
    identity = Identity(name, boot or secrets.token_hex(8), 0, "light", time.time_ns() // 1_000_000, zone,
                        "127.0.0.1:0", token, replaces)
    client = AgentClient(instance.layered, identity, address, rng or random.Random(), log, others)

    def report_fence(fence: int) -> None:
        instance.fence = fence

    client.on_fence_raised = report_fence
    instance.client = client
    return instance, client


def create_simulated_follower(
    instance: SimulatedInstance,
    labels: Labels,
    token: str,
    places: tuple[AgentEndpoint, ...],
    *,
    boot: str = "",
    rng: random.Random | None = None,
    log: Callable[[str], None] = lambda text: None,
) -> Follower:
    """Makes a simulated instance follow published versions."""
    return Follower(instance.layered, FollowerIdentity(labels, boot or secrets.token_hex(8), token, places),
                    rng or random.Random(), log)


async def kill_client(task: asyncio.Task[Any]) -> None:
    """Ends a client as a kill would: the connection closes without a goodbye message."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
