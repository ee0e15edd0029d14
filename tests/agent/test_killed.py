"""The agent is killed with SIGKILL at each of its steps; the next one completes the rollout and does nothing twice."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import sys
from pathlib import Path
from typing import Any

import pytest

from ironscale.control.simulated_instance import create_simulated_instance, kill_client
from ironscale.operator_file import read_secret
from tests.agent.agent_harness import run
from tests.deployed import ROOT
from tests.sockets import free_port

COUNT = 2
# Two steps around the beginning, and two around each commit and each send; counted by a run without a kill.
STEPS = 12


async def agent(data: Path, port: int, fatal: int, dsn: str, most: int) -> tuple[int, dict[str, Any]]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.agent.killed_agent", str(data), str(port), str(fatal), str(COUNT), str(most), dsn,
        cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE)
    out, err = await process.communicate()
    assert process.returncode in (0, -signal.SIGKILL), err.decode()
    return process.returncode, json.loads(out) if out else {}


async def rollout(data: Path, fatal: int, dsn: str = "", most: int = 0) -> tuple[int, dict[str, Any], list[list[str]]]:
    """Runs a rollout with an agent that dies at step `fatal`, and then with one that does not."""
    port = free_port()
    first = asyncio.create_task(agent(data, port, fatal, dsn, most))
    while not (data / "instance.token").exists():
        await asyncio.sleep(0.01)
    token = read_secret(data / "instance.token")
    made = [create_simulated_instance(f"i{n}", ("127.0.0.1", port), token, rng=random.Random(n)) for n in range(COUNT)]
    for _, client in made:
        client.backoff.spread_s = 0.05
    tasks = [asyncio.create_task(client.run()) for _, client in made]
    with contextlib.ExitStack() as ends:
        for task in tasks:
            ends.callback(task.cancel)
        code, told = await first
        if code:
            code, told = await agent(data, port, 10**9, dsn, most)
            assert code == 0
            code = -signal.SIGKILL
    for task in tasks:
        await kill_client(task)
    return code, told, [instance.effects for instance, _ in made]


def check(fatal: int, code: int, told: dict[str, Any], effects: list[list[str]]) -> None:
    assert (code != 0) is (fatal <= STEPS), (fatal, told)  # the last one kills none: all steps are covered
    check_record(told, effects)


def check_record(told: dict[str, Any], effects: list[list[str]]) -> None:
    assert told["phase"] == "succeeded", told
    assert told["targets"] == {f"i{n}": "applied" for n in range(COUNT)}
    assert (told["id"], told["begun"], told["succeeded"], told["applied"]) == (1, 1, 1, COUNT)
    assert effects == [["generation 1"]] * COUNT


@pytest.mark.parametrize("fatal", range(1, STEPS + 2))
def test_killed_at_this_step_the_rollout_still_ends_and_nothing_is_done_twice(fatal: int, tmp_path: Path) -> None:
    async def test() -> None:
        check(fatal, *await rollout(tmp_path, fatal))

    run(test)


@pytest.mark.parametrize("fatal", range(1, 20))  # 16 to 18 steps: two permits may end by one commit or by two
def test_killed_at_this_step_every_permit_still_ends_and_nothing_is_done_twice(fatal: int, tmp_path: Path) -> None:
    async def test() -> None:
        code, told, effects = await rollout(tmp_path, fatal, most=1)
        assert code != 0 or fatal > 16, (fatal, told)
        check_record(told, effects)
        assert told["left"] == 0

    run(test)
