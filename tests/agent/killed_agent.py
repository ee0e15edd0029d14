"""An agent that kills itself at its Nth step: `python -m tests.agent.killed_agent DATA PORT STEP COUNT MOST [DSN]`.

It starts one rollout with an idempotency key, as an operator who repeats a lost call would, waits for its end and
prints what was recorded. MOST: a budget of that many instances out of service at once, instead of waves; 0 = none.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import uvloop

from ironscale.agent.model import OPEN_PHASES, Kind, Policy
from ironscale.agent.serve import running
from ironscale.disruption.model import Budget, UnitKind
from ironscale.operator_file import AgentConfig as Section


async def main(data: Path, port: int, fatal: int, count: int, most: int, dsn: str) -> None:
    section = Section(data=data, control=("127.0.0.1", port), api=("127.0.0.1", 0), lease_s=10.0, heartbeat_s=0.1,
                      postgresql=dsn, budgets=(Budget("all", UnitKind.SIDECAR, number=most),) if most else ())
    async with running(section) as agent:
        steps = 0

        def step(where: str) -> None:
            nonlocal steps
            steps += 1
            if steps == fatal:
                os.kill(os.getpid(), signal.SIGKILL)

        agent.engine.crash_point = agent.engine.permits.crash_point = step
        while sum(m.link is not None and m.report is not None for m in agent.fleet.members.values()) < count:
            await asyncio.sleep(0.01)
        names = sorted(agent.fleet.members)
        policy = Policy(wave=0 if most else 1)
        op, _ = await agent.engine.begin("ann", Kind.RECONFIGURE, names, policy, key="k", expect=0,
                                         overlay={"settings": {"instances": 7}})
        while True:
            found = await agent.engine.find(op.id)
            assert found is not None
            if found[0].phase not in OPEN_PHASES:
                break
            await asyncio.sleep(0.01)
        while agent.engine.permits.ledger.permits:  # each ends once its instance is confirmed to serve
            await asyncio.sleep(0.01)
        left = await agent.engine.store.read(lambda records: records.permits())
        events = await agent.engine.events(0, 500)
        print(json.dumps({
            "steps": steps, "left": len(left), "phase": found[0].phase, "id": op.id,
            "targets": {t.name: t.state for t in found[1]},
            "begun": sum(e.result == "begun" for e in events),
            "succeeded": sum(e.result == "succeeded" for e in events),
            "applied": sum(e.result == "applied" for e in events),
        }), flush=True)


if __name__ == "__main__":
    port, fatal, count, most = map(int, sys.argv[2:6])
    uvloop.run(main(Path(sys.argv[1]), port, fatal, count, most, "".join(sys.argv[6:])))
