"""Instances without a data path, many in one process: the same protocol, for tests and measurements of the agent."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Mapping
from typing import Any

from ironscale.control.client import Client, Identity
from ironscale.control.follower import Follower, Follows
from ironscale.control.instance import Refused, RestartNeeded, check_overlay
from ironscale.control.layers import Layered
from ironscale.control.messages import ClassCounts, Report
from ironscale.versions.agent_selection import AgentEndpoint
from ironscale.versions.model import Labels


class LightInstance:
    """Keeps what it was told and nothing else. `applied` counts effects by generation: each is due once."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.generation = 0
        self.overlay: Mapping[str, Any] = {}
        self.draining = False
        self.open = 0
        self.ended = False
        self.nodes: Callable[[], list[dict[str, Any]]] | None = None  # what a script has it see
        self.ready = True
        self.counts = ClassCounts("view", 0, 0, 0)
        self.effects: list[str] = []
        self.before_effect: Callable[[str], None] = lambda what: None  # a script may refuse, or end the process
        self.client: Client | None = None
        self.layered = Layered(self)
        self.fence = 0

    def report(self, control_s: float) -> Report:
        return Report(self.generation, self.fence, self.ready and not self.draining, self.draining, self.open, 0, 10,
                      10, 0, 0, [self.counts], {}, 0.0, control_s, 0, 0)

    def upstreams(self) -> list[dict[str, Any]]:
        if self.nodes is not None:
            return self.nodes()
        return [{"name": f"node-{i}", "state": "ready", "slots": 1.0, "used": 0, "resting": False, "cold": False,
                 "failing": False, "mute": False, "leastMs": 1.0} for i in range(10)]

    def drain(self, draining: bool) -> None:
        self.before_effect("drain" if draining else "undrain")
        self.draining = draining
        self.effects.append("drain" if draining else "undrain")

    def reconfigure(self, generation: int, overlay: Mapping[str, Any]) -> None:
        check_overlay(overlay)
        if "refused" in overlay:
            raise Refused(f"refused: {overlay['refused']}")
        if "restart" in overlay:
            raise RestartNeeded("listen")
        self.before_effect(f"generation {generation}")
        self.generation, self.overlay = generation, overlay
        self.effects.append(f"generation {generation}")

    def stop(self) -> None:
        self.before_effect("stop")
        self.ended = True
        self.effects.append("stop")


def light(name: str, address: tuple[str, int], token: str, *, zone: str = "", boot: str = "", replaces: str = "",
          rng: random.Random | None = None, log: Callable[[str], None] = lambda text: None,
          others: tuple[tuple[str, int], ...] = ()) -> tuple[LightInstance, Client]:
    instance = LightInstance(name)
    identity = Identity(name, boot or secrets.token_hex(8), 0, "light", time.time_ns() // 1_000_000, zone,
                        "127.0.0.1:0", token, replaces)
    client = Client(instance.layered, identity, address, rng or random.Random(), log, others)

    def report_fence(fence: int) -> None:
        instance.fence = fence

    client.report_fence = report_fence
    instance.client = client
    return instance, client


def light_follower(instance: LightInstance, labels: Labels, token: str, places: tuple[AgentEndpoint, ...], *,
                   boot: str = "", rng: random.Random | None = None,
                   log: Callable[[str], None] = lambda text: None) -> Follower:
    """Has a light instance follow published versions."""
    return Follower(instance.layered, Follows(labels, boot or secrets.token_hex(8), token, places),
                    rng or random.Random(), log)


async def stop(task: asyncio.Task[Any]) -> None:
    """As a kill does: the connection ends with nothing said."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
