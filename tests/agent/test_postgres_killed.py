"""Agent processes on PostgreSQL that are killed: the next one has all confirmed writes and need not wait."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any

import pytest

from ironscale.agent.sql import SCHEMA_VERSION
from ironscale.standins.postgres import Data, Host
from tests.agent.agent_harness import run
from tests.agent.test_killed import check, rollout
from tests.agent.test_store import WRITER
from tests.deployed import ROOT
from tests.record.postgres import dsn


def test_confirmed_writes_survive_a_kill_at_any_moment(tmp_path: Path) -> None:
    async def test() -> None:
        data = Data()
        host = await Host(data).start()
        told: list[int] = []
        try:
            for turn in range(5):
                writer = await asyncio.create_subprocess_exec(
                    sys.executable, "-c", WRITER, str(tmp_path), dsn(host), cwd=ROOT, stdout=asyncio.subprocess.PIPE)
                assert writer.stdout is not None
                told += [int(await writer.stdout.readline()) for _ in range(3)]
                await asyncio.sleep(0.003 * turn)
                writer.send_signal(signal.SIGKILL)
                told += [int(line) for line in (await writer.stdout.read()).split()]
                await writer.wait()
            found = [int(subject) for subject, in data.all("SELECT subject FROM agent_audit ORDER BY id")]
            assert set(told) <= set(found) and len(found) == len(set(found)) and found == sorted(found)
            assert data.all("SELECT epoch FROM agent_owner") == [(5,)]  # each process claimed once, without waiting
        finally:
            await host.stop()

    run(test)


async def ironscale(*words: str) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "ironscale.cli", *words, cwd=ROOT, stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE)
    out, err = await process.communicate()
    return process.returncode or 0, out.decode(), err.decode()


def test_commands_show_stored_data_and_report_errors(tmp_path: Path) -> None:
    """The commands of an operator: check, start, query, stop; with a newer schema, a wrong password, and an unreachable
    database."""
    async def test() -> None:
        data = Data()
        host = await Host(data, password="so secret").start()
        file, password = tmp_path / "o.toml", tmp_path / "password"
        password.write_text("so secret\n")
        password.chmod(0o600)

        def write(folder: str, port: int) -> None:
            file.write_text(f'[agent]\ndata = "{folder}"\ncontrol = "127.0.0.1:0"\napi = "127.0.0.1:0"\n'
                            f'postgresql = "host=127.0.0.1 port={port} user=app dbname=records"\n'
                            'password_file = "password"\n')

        async def started(folder: str) -> asyncio.subprocess.Process:
            write(folder, host.port)
            agent = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "ironscale.cli", "agent", str(file), cwd=ROOT, stderr=asyncio.subprocess.PIPE)
            assert agent.stderr is not None
            while b"api http://" not in (line := await agent.stderr.readline()):
                assert line, "it ended"
            return agent

        async def ended(agent: asyncio.subprocess.Process, number: int) -> str:
            assert agent.stderr is not None
            agent.send_signal(number)
            said = await agent.stderr.read()
            await agent.wait()
            return said.decode()

        try:
            write("one", host.port)
            code, out, _ = await ironscale("config", "check", str(file))
            assert code == 0 and "record in PostgreSQL" in out
            agent = await started("one")
            code, out, said = await ironscale("events", "--data", str(tmp_path / "one"), "-o", "json")
            assert code == 0, said
            subjects: list[Any] = [json.loads(text)["subject"] for text in out.splitlines()]
            assert subjects == ["admin", "instance"]
            await ended(agent, signal.SIGKILL)
            agent = await started("one")  # no wait, although the previous process's lease has not ended
            assert data.all("SELECT epoch FROM agent_owner") == [(2,)]
            said = await ended(agent, signal.SIGTERM)
            assert agent.returncode == 0 and "Traceback" not in said
            assert data.all("SELECT until_ms FROM agent_owner") == [(0,)]
            data.db.execute("UPDATE agent_schema SET version = 99")
            code, _, said = await ironscale("agent", str(file))
            assert code == 2 and f"expected schema {SCHEMA_VERSION} or older, got 99" in said and said.count("\n") == 1
            password.write_text("guessed\n")
            code, _, said = await ironscale("agent", str(file))
            assert code == 2 and "password authentication failed" in said and "guessed" not in said
        finally:
            await host.stop()
        code, _, said = await ironscale("agent", str(file))
        assert code == 2 and "refused" in said and said.count("\n") == 1 and "Traceback" not in said

    run(test)


@pytest.mark.parametrize("fatal", [2, 3, 6, 9, 12])
def test_the_next_agent_continues_an_operation_of_an_agent_killed_at_any_step(fatal: int, tmp_path: Path) -> None:
    async def test() -> None:
        host = await Host(Data()).start()
        try:
            check(fatal, *await rollout(tmp_path, fatal, dsn(host)))
        finally:
            await host.stop()

    run(test)
