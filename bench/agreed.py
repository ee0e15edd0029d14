"""Agreed drains and releases: takeover time over many kills, a decision's time, the length of a release under a budget.

    python -m bench.agreed takeover --kills 50
    python -m bench.agreed decision
    python -m bench.agreed release
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import signal
import statistics
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import uvloop

from ironscale.agent.model import OPEN_PHASES, Kind, Policy
from ironscale.agent.serve import running
from ironscale.control.simulated_instance import SimulatedInstance, create_simulated_instance, kill_client
from ironscale.disruption.ledger import Ledger
from ironscale.disruption.model import Budget, Observation, Permit, Phase, Unit, UnitKind
from ironscale.operator_file import AgentConfig as Section
from ironscale.operator_file import read_secret
from ironscale.stage.fault_scenario import World
from ironscale.stage.history import History
from ironscale.stage.run import Stage

INSTANCES, MOST, OUT_S = 200, 10, 0.5


def quantiles(values: list[float], unit: str) -> str:
    ordered = sorted(values)
    return (f"median {statistics.median(ordered):.2f}, p90 {ordered[int(len(ordered) * 0.9)]:.2f}, most "
            f"{ordered[-1]:.2f} {unit}")


async def takeover(kills: int, term_s: float) -> None:
    """Kills whoever leads; until another says that it does, and until it sees all instances again."""
    world = replace(World(), agents=3, sidecars=2, term_s=term_s, limits=())
    leads: list[float] = []
    sees: list[float] = []
    with tempfile.TemporaryDirectory() as folder:
        stage = Stage(world, Path(folder), History())
        stage.units = {}
        try:
            await stage.set_up()

            async def fleet(number: int) -> dict[str, Any]:
                with contextlib.suppress(Exception):
                    url = (stage.folder / f"agent-{number}" / "address").read_text().strip()
                    token = (stage.folder / "agent-0" / "admin.token").read_text().strip()
                    answer = await stage.client.post(f"{url}/graphql", headers={"Authorization": f"Bearer {token}"},
                                                     json={"query": "{ fleet { leads ready } }"})
                    return dict(answer.json()["data"]["fleet"])
                return {"leads": False, "ready": 0}

            async def leader(ready: int, but: int = -1) -> int:
                while True:
                    for number in range(world.agents):
                        found = await fleet(number) if number != but else {"leads": False}
                        if found["leads"] and found["ready"] >= ready:
                            return number
                    await asyncio.sleep(0.005)

            for _ in range(kills):
                first = await leader(2)
                await asyncio.sleep(random.random() * term_s)
                start_s = time.monotonic()
                stage.agents[first].send(signal.SIGKILL)
                await leader(0, but=first)
                leads.append(time.monotonic() - start_s)
                await leader(2, but=first)
                sees.append(time.monotonic() - start_s)
                await stage.agents[first].kill()
                await stage.agents[first].start()
        finally:
            await stage.close()
    print(f"{kills} kills, term {term_s:g} s: another leads after {quantiles([s / term_s for s in leads], 'terms')}")
    print(f"and sees all instances after {quantiles(sees, 's')}")


def decision() -> None:
    """5,000 instances and 500 upstreams under ten budgets, 1,000 waiting permits: a report, a grant, a pass."""
    budgets = [Budget("number", UnitKind.SIDECAR, number=50), Budget("share", UnitKind.SIDECAR, share=0.02),
               Budget("zones", UnitKind.SIDECAR, each="zone", share=0.03),
               Budget("groups", UnitKind.SIDECAR, each="group", number=3),
               Budget("weight", UnitKind.SIDECAR, capacity=0.03),
               Budget("services", UnitKind.SIDECAR, each="service", number=20),
               Budget("up", UnitKind.UPSTREAM, number=10),
               Budget("up zones", UnitKind.UPSTREAM, each="zone", share=0.1),
               Budget("up kinds", UnitKind.UPSTREAM, each="kind", share=0.2),
               Budget("up weight", UnitKind.UPSTREAM, capacity=0.1)]
    ledger, rng = Ledger(budgets), random.Random(1)
    units = [Unit(of, f"u{n}", f"s{n % 40}", "abcd"[n % 4], f"k{n % 5}", f"g{n % 100}", 1.0 + n % 3)
             for of, count in ((UnitKind.SIDECAR, 5_000), (UnitKind.UPSTREAM, 500)) for n in range(count)]
    for unit in units:
        ledger.observe(Observation(unit, 0.0))
    for ident in range(1, 1_001):
        keys = tuple(unit.key for unit in rng.sample(units, rng.choice((1, 1, 2, 5))))
        ledger.put(Permit(ident, str(ident), "h", keys, priority=rng.randrange(3), lease_ms=9_000), 0)
    passes, reports, single = [], [], []
    for turn in range(60):
        start_s = time.perf_counter()
        granted = ledger.grant_waiting(turn * 100)
        passes.append(time.perf_counter() - start_s)
        for permit in granted:
            ledger.put(permit.with_phase(Phase.ENDED), turn * 100)
        for unit in rng.sample(units, 200):
            start_s = time.perf_counter()
            ledger.observe(Observation(unit, float(rng.random() < 0.01), "not ready"))
            reports.append(time.perf_counter() - start_s)
        permit = Permit(10_000 + turn, "x", "h", (rng.choice(units).key,))
        start_s = time.perf_counter()
        if not ledger.reserve(permit, turn * 100):
            ledger.cancel_reservation(permit.id, turn * 100)
        ledger.dequeue(f"permit {permit.id}")
        single.append(time.perf_counter() - start_s)
    waiting = sum(permit.phase is Phase.WAITING for permit in ledger.permits.values())
    print(f"5,500 units, 1,000 waiting at first, {waiting} at last, in ms:")
    for name, values in (("a pass over all that wait", passes), ("one decision", single), ("one report", reports)):
        print(f"  {name}: {quantiles([value * 1000 for value in values], 'ms')}")


async def release(instances: int, most: int, out_s: float) -> None:
    """Each takes `out_s` to serve again; the least is what the budget allows with no time lost between."""
    with tempfile.TemporaryDirectory() as folder:
        section = Section(data=Path(folder), control=("127.0.0.1", 0), api=("127.0.0.1", 0), lease_s=6.0,
                          heartbeat_s=0.2, budgets=(Budget("all", UnitKind.SIDECAR, number=most),) if most else ())
        async with running(section) as agent:
            token = read_secret(agent.data / "instance.token")
            made = [create_simulated_instance(f"i{n:03}", ("127.0.0.1", agent.control_port), token)
                    for n in range(instances)]
            tasks = [asyncio.create_task(client.run()) for _, client in made]
            loop, out = asyncio.get_running_loop(), [0, 0]

            def away(instance: SimulatedInstance) -> None:
                instance.ready, out[0] = False, out[0] + 1
                out[1] = max(out)

                def back() -> None:
                    instance.ready, out[0] = True, out[0] - 1

                loop.call_later(out_s, back)

            for instance, _ in made:
                instance.before_effect = lambda what, instance=instance: away(instance)  # type: ignore[misc]
            while sum(sight.out == 0.0 for sight in agent.engine.permits.ledger.observations.values()) < instances:
                await asyncio.sleep(0.05)
            start_s, cpu_s = time.monotonic(), time.process_time()
            op, _ = await agent.engine.begin("ann", Kind.RECONFIGURE, [f"i{n:03}" for n in range(instances)], Policy(),
                                             overlay={"settings": {"instances": 2}}, expect=0)
            while True:
                found = await agent.engine.find(op.id)
                assert found is not None
                if found[0].phase not in OPEN_PHASES:
                    break
                await asyncio.sleep(0.02)
            took_s, cpu_s = time.monotonic() - start_s, time.process_time() - cpu_s
            least_s = -(-instances // (most or instances)) * out_s
            print(f"{instances} instances, {most or 'no'} budget, {out_s:g} s each: {found[0].phase} after "
                  f"{took_s:.1f} s, least {least_s:.1f} s, ratio {took_s / least_s:.2f}; most out {out[1]}; "
                  f"{1000 * cpu_s / instances:.1f} ms CPU a target, instances among it")
            for task in tasks:
                await kill_client(task)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=["takeover", "decision", "release"])
    parser.add_argument("--kills", type=int, default=50)
    parser.add_argument("--term", type=float, default=2.0)
    args = parser.parse_args()
    if args.what == "takeover":
        uvloop.run(takeover(args.kills, args.term))
    elif args.what == "decision":
        decision()
    else:
        for most in (MOST, 0):
            uvloop.run(release(INSTANCES, most, OUT_S))


if __name__ == "__main__":
    main()
