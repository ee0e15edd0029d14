"""One of several agents on a store: `python -m tests.agent.replica_agent DATA RECORD CONTROL TERM_S MOST [STEP HOW]`.

At its STEPth step as leader the process sends itself SIGKILL (HOW = KILL) or SIGSTOP (HOW = STOP).
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

import uvloop

from ironscale.agent.serve import Agent
from ironscale.disruption.model import Budget, UnitKind
from ironscale.operator_file import AgentConfig as Section


async def main(data: Path, record: str, control: int, term_s: float, most: int, fatal: int, how: str) -> None:
    changes = {"postgresql": record} if "=" in record else {"record": Path(record)}
    agent = Agent(Section(
        data=data, control=("127.0.0.1", control), api=("127.0.0.1", 0), lease_s=2.0, heartbeat_s=0.1,
        standby=True, term_s=term_s, budgets=(Budget("all", UnitKind.SIDECAR, number=most),) if most else (),
        **changes))
    stop, steps = asyncio.Event(), 0
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)

    def step(where: str) -> None:
        nonlocal steps
        steps += 1
        if steps == fatal:
            print(f"{how} {where}", flush=True)
            os.kill(os.getpid(), signal.SIGKILL if how == "KILL" else signal.SIGSTOP)

    async def count_steps() -> None:
        while True:
            await agent.leading.wait()
            agent.engine.crash_point = agent.engine.permits.crash_point = step
            await asyncio.sleep(0.001)

    counting = asyncio.create_task(count_steps())
    await agent.run(stop)
    counting.cancel()


if __name__ == "__main__":
    where, record, control, term, most, *rest = sys.argv[1:]
    uvloop.run(main(Path(where), record, int(control), float(term), int(most), int(rest[0]) if rest else 0,
                    rest[1] if rest else ""))
