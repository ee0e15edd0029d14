"""permit, budgets, halt and forget on the command line: what they print, hold and leave."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

from ironscale.agent.model import Kind
from ironscale.cli.output import Exit
from ironscale.disruption.model import Budget, Phase, UnitKind
from tests.agent.agent_harness import run, scene, until
from tests.cli.test_commands import tool
from tests.deployed import ROOT

ONE = (Budget("all", UnitKind.SIDECAR, number=1),)


async def permit_run(data: Path, *more: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "ironscale.cli", "permit", "run", "--data", str(data), *more, cwd=ROOT,
        stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE)


def test_a_command_runs_while_its_permit_is_held_and_the_next_waits_for_its_units(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path / "data", budgets=ONE) as s:
            await s.start_many(3)
            permits, gate = s.engine.permits, tmp_path / "go"
            await until(lambda: all(sight.out == 0.0 for sight in permits.ledger.observations.values()))
            wait = f"until [ -e {gate} ]; do sleep 0.02; done; exit 7"
            first = await permit_run(s.agent.data, "--unit", "i0000", "--lease", "0.6", "--", "sh", "-c", wait)
            await until(lambda: [p.phase for p in permits.ledger.permits.values()] == [Phase.HELD])
            code, out, err = await tool(s, "permit", "take", "i0001", "--timeout", "0", "--key", "k")
            assert code == Exit.UNDER_WAY and "waits: budget all: 1 out of 1 at most (i0000 held by admin)" in out
            await asyncio.sleep(0.8)  # past the lease: it is renewed
            assert [p.phase for p in permits.ledger.permits.values()] == [Phase.HELD, Phase.WAITING]
            gate.touch()
            out_, err_ = await first.communicate()
            assert first.returncode == 7 and b"permit 1 (sidecar/i0000): returned" in err_
            code, out, _ = await tool(s, "permit", "take", "i0001", "--key", "k", "--timeout", "20", "-o", "json")
            assert code == 0 and json.loads(out)["phase"] == "HELD"
            code, out, _ = await tool(s, "permit", "list", "--all")
            assert code == 0 and "ended" in out and "held" in out
            code, out, _ = await tool(s, "budgets", "-o", "json")
            assert code == 0 and [(b["most"], b["out"]) for b in json.loads(out)] == [(1, 1)]

    run(test)


def test_a_holder_that_is_killed_leaves_a_permit_that_counts_until_a_hand_gives_it_back(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path / "data", budgets=ONE) as s:
            await s.start_many(2)
            permits = s.engine.permits
            await until(lambda: all(sight.out == 0.0 for sight in permits.ledger.observations.values()))
            holder = await permit_run(s.agent.data, "--unit", "i0000", "--lease", "0.5", "--", "sleep", "0.2")
            await until(lambda: [p.phase for p in permits.ledger.permits.values()] == [Phase.HELD])
            holder.send_signal(signal.SIGKILL)
            await holder.wait()
            await until(lambda: [p.phase for p in permits.ledger.permits.values()] == [Phase.UNKNOWN])
            code, out, _ = await tool(s, "permit", "give-back", "1", "--force")
            assert code == 0 and "permit 1 (sidecar/i0000): returned" in out
            await until(lambda: not permits.ledger.permits)
            code, _, err = await tool(s, "permit", "renew", "1")
            assert code == Exit.CONFLICT and "take a new one before anything goes out" in err

    run(test)


def test_an_agent_that_is_started_again_meanwhile_finds_the_permit_and_its_holder(tmp_path: Path) -> None:
    async def test() -> None:
        gate, runs, data = tmp_path / "go", tmp_path / "runs", tmp_path / "data"
        async with scene(data, budgets=ONE) as s:
            await s.start_many(1)
            await until(lambda: all(sight.out == 0.0 for sight in s.engine.permits.ledger.observations.values()))
            holder = await permit_run(data, "--unit", "i0000", "--lease", "0.9", "--", "sh", "-c",
                                      f"touch {runs}; until [ -e {gate} ]; do sleep 0.02; done")
            await until(lambda: any(p.phase is Phase.HELD for p in s.engine.permits.ledger.permits.values()))
            await until(runs.exists)  # before, the holder asks once more, and runs nothing without an answer
        await asyncio.sleep(0.7)
        async with scene(data, budgets=ONE) as s:
            assert [p.phase for p in s.engine.permits.ledger.permits.values()] != []
            s.start("i0000")
            gate.touch()
            _, err = await holder.communicate()
            assert holder.returncode == 0 and b"can't be renewed, the command goes on" in err
            await until(lambda: not s.engine.permits.ledger.permits)

    run(test)


def test_a_halt_on_the_command_line(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, budgets=ONE) as s:
            await s.start_many(2)
            await until(lambda: all(sight.out == 0.0 for sight in s.engine.permits.ledger.observations.values()))
            code, out, _ = await tool(s, "halt", "errors rise")
            assert code == 0 and out.startswith("halted by admin at ") and out.strip().endswith(": errors rise")
            code, _, err = await tool(s, "drain", "i0000")
            assert code == Exit.CONFLICT and "halted by admin: errors rise; `ironscale halt --lift` ends that" in err
            assert (await tool(s, "undrain", "i0000"))[0] == 0
            code, out, _ = await tool(s, "halt", "--lift")
            assert code == 0 and "lifted by admin" in out
            assert (await tool(s, "halt", "--lift"))[1].strip() == "there was no halt"
            assert (await tool(s, "drain", "i0000"))[0] == 0
            code, _, err = await tool(s, "halt", "why", "--lift")
            assert code == Exit.USAGE and "expected --lift alone" in err
            await s.end(await s.begin(Kind.UNDRAIN, ["i0000"]))

    run(test)


def test_what_cannot_be_done_is_one_line_and_its_code(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, budgets=ONE) as s:
            await s.start_many(2)
            for arguments, exit_, words in (
                (("permit", "take", "nobody"), Exit.USAGE, "expected units that are known"),
                (("permit", "take", "i0000", "i0001"), Exit.USAGE, "expected 1 at most, got 2 units at once"),
                (("permit", "renew", "99"), Exit.USAGE, "there is no permit 99"),
                (("permit", "give-back", "99"), Exit.USAGE, "there is no permit 99"),
                (("forget", "nobody"), Exit.USAGE, "there is no instance 'nobody'"),
                (("forget", "i0000"), Exit.CONFLICT, "i0000 is running; stop it first"),
                (("rollout", "pause", "1", "--urgent"), Exit.USAGE, "with `ironscale rollout rollback` alone"),
                (("drain", "i0000", "--gate", "--margin", "2"), Exit.USAGE, "2.0 is not in the range 0<=x<=1"),
            ):
                code, _, err = await tool(s, *arguments)
                assert code == exit_ and words in err, (arguments, code, err)
            assert not s.engine.permits.ledger.permits and not s.engine.live_operations

    run(test)
