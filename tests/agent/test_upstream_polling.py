"""Disruption budgets of upstreams at the agent, computed from what its instances report about them."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from ironscale.agent import upstream_polling
from ironscale.agent.refusal import Refusal
from ironscale.disruption import ledger
from ironscale.disruption.model import Budget, Phase, UnitKind
from tests.agent.agent_harness import AgentScene, run, scene, until
from tests.sockets import Scene
from tests.sockets import run as run_sockets

ONE = Budget("nodes", UnitKind.UPSTREAM, number=1)


class ReportedUpstreams:
    """Upstreams as all instances report them. Tests change `states` and `warmth`."""

    def __init__(self, found: AgentScene, count: int = 4) -> None:
        self.states: dict[str, str] = {f"n{i}": "ready" for i in range(count)}
        self.warmth: dict[str, float] = {}
        for instance in found.instances.values():
            instance.custom_upstreams = self.entries

    def entries(self) -> list[dict[str, Any]]:
        return [{"name": name, "state": state, "slots": 1.0, "used": 0, "resting": False, "cold": False,
                 "failing": False, "mute": False, "leastMs": 1.0, "zone": "a", "kind": "k", "group": "1", "weight": 1.0,
                 "startedUs": 0, "warmth": self.warmth.get(name, 1.0)} for name, state in self.states.items()]


@pytest.fixture
def soon(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_polling, "POLL_INTERVAL_S", 0.02)
    monkeypatch.setitem(ledger.SETTLE_MS, UnitKind.UPSTREAM, 100)


@pytest.mark.usefixtures("soon")
def test_one_upstream_is_out_at_a_time_and_the_next_waits_until_most_see_it_back(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, budgets=(ONE,)) as found:
            await found.start_many(5)
            nodes, permits = ReportedUpstreams(found), found.engine.permits
            await until(lambda: [s.out for s in permits.ledger.observations.values()].count(0.0) == 9)
            first = await permits.request("ann", "a", ["upstream/n0"], "disk", 0, 60_000)
            second = await permits.request("bob", "b", ["upstream/n1"], "", 0, 60_000)
            assert (first.phase, second.phase) == (Phase.HELD, Phase.WAITING)
            nodes.states["n0"] = "draining"
            await until(lambda: permits.ledger.observations["upstream/n0"].reason == "draining by 5 of 5")
            await permits.give_back("ann", first.id, False)
            nodes.states["n0"], nodes.warmth["n0"] = "ready", 0.4  # back but cold: 60% still counts as out
            await until(lambda: permits.ledger.observations["upstream/n0"].reason == "cold, 40%")
            assert permits.ledger.permits[second.id].phase is Phase.WAITING
            nodes.warmth.clear()
            await until(lambda: permits.ledger.permits[second.id].phase is Phase.HELD)
            assert first.id not in permits.ledger.permits

    run(test)


@pytest.mark.usefixtures("soon")
def test_lost_upstreams_count_against_the_budget_until_they_are_known_to_be_gone(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, budgets=(ONE,)) as found:
            await found.start_many(4)
            nodes, engine = ReportedUpstreams(found), found.engine
            sights = engine.permits.ledger.observations
            await until(lambda: "upstream/n3" in sights and sights["upstream/n3"].out == 0.0)
            nodes.states["n0"] = "draining"  # drained and then gone: no longer counted
            await until(lambda: sights["upstream/n0"].out == 1.0)
            del nodes.states["n0"]
            await until(lambda: "upstream/n0" not in sights)
            del nodes.states["n1"]  # gone without having drained
            await until(lambda: sights["upstream/n1"].reason == "not listed by 4 of 4")
            assert (await engine.permits.request("ann", "k", ["upstream/n2"], "", 0, 60_000)).phase is Phase.WAITING
            with pytest.raises(Refusal, match="it can be forgotten once it is gone there"):
                await engine.forget("ann", "upstream/n3", False)
            await engine.forget("ann", "upstream/n1", False)
            await until(lambda: any(p.phase is Phase.HELD for p in engine.permits.ledger.permits.values()))
            for name in list(found.instances):
                found.kill(name)
            await until(lambda: all(s.out == 1.0 and not s.known for s in sights.values()
                                    if s.unit.of is UnitKind.UPSTREAM))

    run(test)


def test_a_real_sidecar_reports_what_the_agent_needs_of_each_upstream() -> None:
    from ironscale.control.instance import SidecarInstance
    from ironscale.disruption.evidence import upstream_view
    from ironscale.standins.upstream import Peer

    async def test() -> None:
        peer = await Peer().start()
        entries = [peer.entry("s-1", weight=2.0),
                   peer.entry("s-2", lifecycle="draining", zone="b", hostPort="127.0.0.1:9")]
        made = await Scene().start(*entries)
        instance = SidecarInstance(made.sidecar, lambda: None)
        found = {str(e["name"]): upstream_view(str(e["name"]), e) for e in instance.upstreams()}
        assert {name: (look.reason, look.unit.zone, look.unit.kind, look.unit.group, look.unit.weight)
                for name, look in found.items()} == {"s-1": ("", "a", "large", "1", 2.0),
                                                     "s-2": ("draining", "b", "large", "1", 1.0)}

    run_sockets(test)
