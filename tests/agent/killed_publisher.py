"""Publishes one version by a key and kills itself at its Nth step: `python -m tests.agent.killed_publisher DATA STEP`.

It prints the position of each change as soon as the change is sent to followers."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

from ironscale.agent.publishing import Publisher
from ironscale.agent.sqlite import SqliteStore
from ironscale.versions.model import ALL
from ironscale.versions.publishing import Draft


async def main(data: Path, fatal: int) -> None:
    publisher, steps = Publisher(SqliteStore(data / "a.db"), lambda: 1, print, lambda: None), 0

    def step(where: str) -> None:
        nonlocal steps
        steps += 1
        if steps == fatal:
            os.kill(os.getpid(), signal.SIGKILL)

    publisher.test_hook = step
    publisher.on_published = lambda change: print(change.position, flush=True)
    await publisher.load()
    await publisher.publish("ann", Draft(ALL, {"n": 1}, 0), "k")


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1]), int(sys.argv[2])))
