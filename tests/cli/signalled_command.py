"""The command line that gets a signal at a moment of its own:
`python -m tests.cli.signalled_command MOMENT NUMBER TIMES ...`."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Callable
from typing import Any

from ironscale.cli import load as command
from ironscale.cli.main import entry
from ironscale.load import run

# what is about to be called, and for the how manieth time; the site and two workers are three processes
MOMENTS: dict[str, tuple[Any, str, int]] = {
    "reads": (command, "scenario_of", 1),
    "draws": (run, "check_limits", 1),
    "starts the site": (asyncio, "create_subprocess_exec", 1),
    "hears the site": (run, "Site", 1),
    "starts a worker": (asyncio, "create_subprocess_exec", 2),
    "has a worker": (run, "Worker", 1),
    "starts the last worker": (asyncio, "create_subprocess_exec", 3),
    "has them all": (run, "Worker", 2),
    "sees them ready": (run.Run, "play", 1),
    "plays": (run.Run, "show", 2),
    "has played": (run.Site, "end", 1),
    "ends its processes": (run, "_ended", 1),
    "collects": (run, "summarize", 1),
    "writes": (command, "written", 1),
    "tells": (command, "show", 1),
}


def play(moment: str, number: int, times: int) -> None:
    owner, name, call = MOMENTS[moment]

    def before(owner: Any, name: str, act: Callable[[], None]) -> None:
        real = getattr(owner, name)

        def hooked(*args: Any, **more: Any) -> Any:
            act()
            return real(*args, **more)

        setattr(owner, name, hooked)

    calls = 0

    def strike() -> None:
        nonlocal calls
        calls += 1
        if calls == call:
            print(f"at: {moment}", file=sys.stderr, flush=True)
            os.kill(os.getpid(), number)

    def again() -> None:
        nonlocal times
        if calls >= call and times > 1:
            times -= 1
            os.kill(os.getpid(), number)

    if moment != "ends its processes":
        before(run, "_ended", again)  # the second one while the first one's work is done
    before(owner, name, strike)


if __name__ == "__main__":
    play(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))
    del sys.argv[1:4]
    entry()
