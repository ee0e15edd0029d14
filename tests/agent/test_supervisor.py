"""Supervised instances: crash loops, replacement under traffic, and takeover by the next agent after a kill."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import httpx
import pytest

from ironscale.agent.model import Kind, Phase, Policy, State
from ironscale.agent.restarts import CRASH_LOOP_ENDS, MAX_DELAY_S, STABLE_S, RestartBackoff
from ironscale.control.processes import is_alive, start_ticks
from ironscale.operator_file import ServiceConfig, read_secret
from ironscale.standins.discovery import ListedDiscovery, listing
from ironscale.standins.http import read_message
from ironscale.standins.settings import SETTINGS
from ironscale.standins.upstream import Peer
from tests import sockets
from tests.agent.agent_harness import AgentScene, run, scene, until
from tests.deployed import ROOT
from tests.sockets import free_port


def test_restart_backoff_detects_crash_loops_and_resets_after_a_stable_run() -> None:
    restarts, now_s, waits = RestartBackoff(), 100.0, []
    for _ in range(CRASH_LOOP_ENDS - 1):
        waits.append(restarts.on_end(now_s, 0.1))
        now_s += 1.0
    assert waits == [0.5, 1.0, 2.0, 4.0, 8.0]
    assert restarts.on_end(now_s, 0.1) is None
    restarts.reset()
    assert restarts.on_end(now_s, 0.1) == 0.5
    steady = RestartBackoff()
    for _ in range(50):
        assert steady.on_end(now_s, STABLE_S) == 0.5
        now_s += STABLE_S
    slow = RestartBackoff()
    for _ in range(20):  # ends far apart are no crash loop, and the delay is bounded
        wait_s = slow.on_end(now_s, 1.0)
        assert wait_s is not None and wait_s <= MAX_DELAY_S
        now_s += 60.0


@contextlib.asynccontextmanager
async def world(folder: Path) -> AsyncIterator[tuple[Peer, Path]]:
    peer, discovery = await Peer().start(), await ListedDiscovery().start()
    discovery.put(peer.entry("s-1"))
    config = folder / "app.json"
    config.write_text(json.dumps({"discovery": f"127.0.0.1:{discovery.port}", "seed": "1", "limits": {"sockets": 128},
                                  "known": listing(peer.entry("s-1")), "settings": SETTINGS}))
    yield peer, config
    await peer.stop()
    await discovery.stop()


@contextlib.asynccontextmanager
async def supervised(folder: Path, config: Path, count: int = 1, **changes: Any) -> AsyncIterator[AgentScene]:
    service = ServiceConfig("app", count, config, stop_s=4.0, **changes)
    async with scene(folder / "data", services=(service,), lease_s=1.0, heartbeat_s=0.1) as s:
        try:
            yield s
        finally:
            await s.agent.supervisor.stop_all()


def kill(pid: int) -> None:
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, signal.SIGKILL)


def ready(s: AgentScene, name: str) -> bool:
    member = s.agent.fleet.members.get(name)
    return member is not None and member.leased and member.report is not None and member.report.ready


def test_make_before_break_restart_loses_no_request(tmp_path: Path) -> None:
    """Make before break: the successor listens on the same port before the old process is stopped."""
    async def test() -> None:
        async with world(tmp_path) as (peer, config):
            port = free_port()
            async with supervised(tmp_path, config, first_port=port, make_before_break=True) as s:
                await until(lambda: ready(s, "app-0"))
                row = s.agent.fleet.members["app-0"].row
                statuses: Counter[str] = Counter()
                stop = asyncio.Event()

                async def caller(who: int) -> None:
                    turn = 0
                    while not stop.is_set():
                        turn += 1
                        statuses[await ask(port, f"{who}-{turn}")] += 1

                callers = [asyncio.create_task(caller(n)) for n in range(2)]  # one slot, one buffer
                await until(lambda: statuses["200"] > 20)
                overlay = {"settings": {"areas": ["a", "b", "c"]}}
                ident = await s.begin(names=["app-0"], overlay=overlay, expect=0, policy=Policy(answer_ms=20_000))
                op, targets = await s.end(ident)
                assert op.phase is Phase.SUCCEEDED, targets
                new = s.agent.fleet.members["app-0"].row
                assert new.boot != row.boot and new.generation == 1 and targets[0].boot == new.boot
                await until(lambda: not is_alive(row.pid, row.ticks))
                before = statuses["200"]
                await until(lambda: statuses["200"] > before + 20)
                stop.set()
                await asyncio.gather(*callers)
                assert set(statuses) == {"200"}, statuses
                assert set(peer.executions.values()) == {1} and len(peer.executions) == statuses["200"]

    run(test)


async def ask(port: int, txn: str) -> str:
    reader, writer = await sockets.open_with_request(
        port, f"POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: {txn}\r\nX-Lane: pay\r\nX-Remaining: 8000m\r\n"
              "Content-Length: 0\r\n\r\n".encode())
    try:
        return str((await read_message(reader)).status)
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        return type(error).__name__
    finally:
        writer.close()


def test_killed_process_is_restarted_with_its_desired_generation(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as (_, config), supervised(tmp_path, config, 2) as s:
            await until(lambda: ready(s, "app-0") and ready(s, "app-1"))
            await s.end(await s.begin(names=["app-0", "app-1"]))
            row = s.agent.fleet.members["app-0"].row
            os.kill(row.pid, signal.SIGKILL)
            await until(lambda: s.agent.fleet.members["app-0"].row.ended == "signal 9"
                        or s.agent.fleet.members["app-0"].row.boot != row.boot)
            await until(lambda: s.agent.fleet.members["app-0"].row.boot != row.boot and ready(s, "app-0"))
            assert s.agent.fleet.members["app-0"].row.generation == 1  # from its start, without an operation
            assert len(await s.engine.store.read(lambda r: r.operations(99, 99))) == 1

    run(test)


# Guards against a supervised process that goes back to its environment's discovery after SIGHUP or a restart.
def test_a_rolled_out_discovery_outlives_a_reload_and_the_process(tmp_path: Path) -> None:
    async def test() -> None:
        own, rolled_out = await ListedDiscovery().start(), await ListedDiscovery().start()
        environment = {"GW_DISCOVERY": f"127.0.0.1:{own.port}"}
        async with (world(tmp_path) as (_, config),
                    supervised(tmp_path, config, environment=environment) as s):
            await until(lambda: ready(s, "app-0") and own.watches)
            overlay = {"discovery": f"127.0.0.1:{rolled_out.port}"}
            ident = await s.begin(names=["app-0"], overlay=overlay, expect=0)
            assert (await s.end(ident))[0].phase is Phase.SUCCEEDED
            await until(lambda: rolled_out.watches and not own.watches)
            calls = own.calls
            first = s.agent.fleet.members["app-0"].row
            os.kill(first.pid, signal.SIGHUP)
            op, _ = await s.end(await s.begin(Kind.RESTART, ["app-0"]))
            assert op.phase is Phase.SUCCEEDED
            second = s.agent.fleet.members["app-0"].row
            await until(lambda: rolled_out.watches)
            os.kill(second.pid, signal.SIGKILL)
            await until(lambda: s.agent.fleet.members["app-0"].row.boot != second.boot and ready(s, "app-0"))
            await until(lambda: rolled_out.watches)
            assert own.calls == calls and not own.watches
            await s.end(await s.begin(names=["app-0"], overlay={}, expect=1))
            await until(lambda: own.watches and not rolled_out.watches)

    run(test)


def test_instance_whose_generation_is_not_recorded_starts_with_its_base_configuration(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a crash of the agent, and of every agent after it."""
    async def test() -> None:
        async with world(tmp_path) as (_, config), supervised(tmp_path, config) as s:
            await until(lambda: ready(s, "app-0"))
            row = s.agent.fleet.members["app-0"].row
            s.agent.fleet.set_desired([("app-0", 9)])
            os.kill(row.pid, signal.SIGKILL)
            await until(lambda: s.agent.fleet.members["app-0"].row.boot != row.boot and ready(s, "app-0"))
            assert s.agent.fleet.members["app-0"].row.generation == 0

    run(test)
    assert "generation 9 is not in the record" in capsys.readouterr().err


def test_stopped_instance_stays_stopped_until_restarted(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as (_, config), supervised(tmp_path, config) as s:
            await until(lambda: ready(s, "app-0"))
            first = s.agent.fleet.members["app-0"].row
            op, _ = await s.end(await s.begin(Kind.RESTART, ["app-0"]))
            second = s.agent.fleet.members["app-0"].row
            assert op.phase is Phase.SUCCEEDED and second.boot != first.boot
            assert not is_alive(first.pid, first.ticks) and is_alive(second.pid, second.ticks)
            op, targets = await s.end(await s.begin(Kind.STOP, ["app-0"]))
            assert targets[0].state is State.APPLIED, targets
            await until(lambda: s.agent.fleet.members["app-0"].row.ended == "exit 0")
            await asyncio.sleep(1.0)
            assert s.agent.fleet.members["app-0"].row.boot == second.boot  # not started again
            op, targets = await s.end(await s.begin(Kind.RESTART, ["app-0"]))
            assert op.phase is Phase.SUCCEEDED and s.agent.fleet.members["app-0"].row.boot != second.boot

    run(test)


def test_crash_loop_ends_restarts_and_is_logged(tmp_path: Path, monkeypatch: pytest.MonkeyPatch,
                                                capsys: pytest.CaptureFixture[str]) -> None:
    monkeypatch.setattr("ironscale.agent.restarts.FIRST_DELAY_S", 0.01)

    async def test() -> None:
        async with world(tmp_path) as (_, config):
            bad = json.loads(config.read_text())
            bad["settings"]["instances"] = "many"
            config.write_text(json.dumps(bad))
            async with supervised(tmp_path, config) as s:
                member = s.agent.supervisor.members["app-0"]
                await until(lambda: member.crash_loop)
                assert member.crash_loop == "crash loop, last exit 2" and member.process is None
                log = (tmp_path / "data" / "logs" / "app-0.log").read_text()
                assert log.count("setting instances: expected a number, got 'many'") == CRASH_LOOP_ENDS

    run(test)
    assert "app-0: not restarted again (crash loop, last exit 2)" in capsys.readouterr().err


def test_sidecars_outlive_an_agent_that_is_killed_and_the_next_one_takes_them_over(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as (_, config):
            control, api = free_port(), free_port()
            (tmp_path / "operator.toml").write_text(
                f'[agent]\ndata = "data"\ncontrol = "127.0.0.1:{control}"\napi = "127.0.0.1:{api}"\nlease_s = 1.5\n'
                f'heartbeat_s = 0.2\n[[agent.service]]\nname = "app"\ncount = 2\nconfig = "{config}"\nstop_s = 3.0\n')
            agents, rows = [], []
            try:
                for turn in range(2):
                    agents.append(await start_agent(tmp_path))
                    rows.append(await instances(tmp_path, api))
                    if turn == 0:
                        agents[0].kill()
                        await agents[0].wait()
                        assert all(is_alive(pid, start_ticks(pid) or -1) for pid in rows[0].values())
                assert rows[0] == rows[1]  # the same processes
                os.kill(rows[1]["app-0"], signal.SIGKILL)  # not a child of this agent, which notices all the same
                while (now := await instances(tmp_path, api))["app-0"] == rows[1]["app-0"]:
                    await asyncio.sleep(0.05)
                assert now["app-1"] == rows[1]["app-1"]
                rows.append(now)
                agents[1].terminate()  # with --stop-instances: all instances end
                assert await agents[1].wait() == 0
                assert not any(is_alive(pid, start_ticks(pid) or -1) for row in rows for pid in row.values())
            finally:
                for agent in agents:
                    if agent.returncode is None:
                        agent.kill()
                for row in rows:
                    for pid in row.values():
                        kill(pid)

    run(test)


def test_state_file_is_written_before_the_process_starts(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    before: list[tuple[str, str]] = []
    popen = subprocess.Popen

    def watched(command: list[str], *, env: dict[str, str], **more: Any) -> subprocess.Popen[bytes]:
        state = json.loads((tmp_path / "data" / "instances" / "app-0.state").read_text())
        before.append((state["boot"], env["GW_BOOT"]))
        return popen(command, env=env, **more)

    monkeypatch.setattr(subprocess, "Popen", watched)

    async def test() -> None:
        async with world(tmp_path) as (_, config), supervised(tmp_path, config) as s:
            await until(lambda: ready(s, "app-0"))

    run(test)
    assert len(before) == 1 and before[0][0] == before[0][1]


def test_process_is_found_after_its_agent_was_killed_right_after_the_start(tmp_path: Path) -> None:
    async def test() -> None:
        with contextlib.ExitStack() as ends:
            await found_again(ends)

    async def found_again(ends: contextlib.ExitStack) -> None:
        async with world(tmp_path) as (_, config):
            service = ServiceConfig("app", 1, config, stop_s=4.0)
            changes: dict[str, Any] = {"services": (service,), "lease_s": 1.0, "heartbeat_s": 0.1,
                                       "control": ("127.0.0.1", free_port())}
            async with scene(tmp_path / "data", **changes) as s:
                await until(lambda: ready(s, "app-0"))
                row = s.agent.fleet.members["app-0"].row
                ends.callback(kill, row.pid)
            state = tmp_path / "data" / "instances" / "app-0.state"
            state.write_text(json.dumps({"boot": row.boot, "held": False}))  # as it is written before the start
            async with scene(tmp_path / "data", **changes) as s:
                await until(lambda: ready(s, "app-0"))
                assert s.agent.fleet.members["app-0"].row.pid == row.pid
                await s.agent.supervisor.stop_all()
            assert not is_alive(row.pid, row.ticks)
            for damaged in ("", "[]", '{"pid": "x"}', '{"boot": "none"}', "\x00"):
                state.write_text(damaged)
                async with scene(tmp_path / "data", **changes) as s:
                    await until(lambda: ready(s, "app-0"))  # noqa: B023
                    await s.agent.supervisor.stop_all()

    run(test)


async def start_agent(folder: Path) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "ironscale.cli", "agent", str(folder / "operator.toml"), "--stop-instances", cwd=ROOT,
        stderr=asyncio.subprocess.DEVNULL)


async def instances(folder: Path, api: int) -> dict[str, int]:
    """Pids by name, once both are ready."""
    while True:
        with contextlib.suppress(Exception):
            token = read_secret(folder / "data" / "admin.token")
            async with httpx.AsyncClient(trust_env=False) as client:
                answer = await client.post(
                    f"http://127.0.0.1:{api}/graphql", headers={"Authorization": f"Bearer {token}"},
                    json={"query": "{ instances { edges { node { name pid state connected } } } }"})
            nodes = [edge["node"] for edge in answer.json()["data"]["instances"]["edges"]]
            if [node["state"] for node in nodes] == ["READY"] * 2 and all(node["connected"] for node in nodes):
                return {node["name"]: node["pid"] for node in nodes}
        await asyncio.sleep(0.05)
