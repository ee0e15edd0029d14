"""The demo as a new user starts it, and stops it."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

from tests.agent.agent_harness import run
from tests.deployed import ROOT


def mine(folder: Path) -> list[int]:
    """Processes whose environment or command line names the folder."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdecimal() and int(entry.name) != os.getpid():
            try:
                text = (entry / "environ").read_bytes() + (entry / "cmdline").read_bytes()
            except OSError:
                continue
            if str(folder).encode() in text:
                found.append(int(entry.name))
    return found


def test_the_demo_ends_well_and_leaves_no_process(tmp_path: Path) -> None:
    done = subprocess.run([sys.executable, "-m", "ironscale.cli", "demo", "--seconds", "12"], cwd=ROOT, timeout=90,
                          capture_output=True, text=True, env={**os.environ, "TMPDIR": str(tmp_path)})
    assert done.returncode == 0, done.stdout + done.stderr
    assert "executed twice although unsafe: 0" in done.stdout and "all operations succeeded" in done.stdout
    assert "app-1 is back" in done.stdout and "reconfigure to generation 1 succeeded: 4 applied" in done.stdout
    assert "halt: nothing more is taken out" in done.stdout and "rolled back (rollback by admin): " in done.stdout
    assert not mine(tmp_path) and not list(tmp_path.iterdir())


def test_ctrl_c_in_the_middle_leaves_no_process(tmp_path: Path) -> None:
    async def test() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ironscale.cli", "demo", "--seconds", "60", cwd=ROOT,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE, env={**os.environ, "TMPDIR": str(tmp_path)})
        assert process.stdout is not None
        while b"node-0 stalls" not in await process.stdout.readline():
            pass
        assert len(mine(tmp_path)) >= 6  # itself, the agent and four sidecars
        process.send_signal(signal.SIGINT)
        await process.communicate()
        assert process.returncode == 130
        assert not mine(tmp_path) and not list(tmp_path.iterdir())

    run(test)
