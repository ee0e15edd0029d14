"""An agent ends in the middle of a replacement, and the next one on the same data: no process is in nobody's record."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import signal
from collections.abc import AsyncIterator, Callable, Iterator
from pathlib import Path

import pytest

from ironscale.agent import supervisor
from ironscale.agent.instance_state import InstanceState
from ironscale.agent.supervised_process import SupervisedProcess
from ironscale.agent.supervisor import Supervisor
from ironscale.control.processes import start_ticks
from ironscale.operator_file import ServiceConfig
from tests.agent.agent_harness import AgentScene, run, scene, until
from tests.agent.test_supervisor import ready, world
from tests.sockets import free_port

NAME = "app-0"


def processes(data: Path) -> set[int]:
    """The processes of the instance that still run, whoever knows of them."""
    wanted = f"GW_CONFIG={data / 'instances' / NAME}.config.json".encode()
    found = set()
    for entry in Path("/proc").iterdir():
        with contextlib.suppress(OSError):
            if entry.name.isdecimal() and wanted in (entry / "environ").read_bytes().split(b"\0"):
                found.add(int(entry.name))
    return {pid for pid in found if start_ticks(pid) is not None}


@contextlib.contextmanager
def no_process_left(data: Path) -> Iterator[None]:
    try:
        yield
    finally:
        for pid in processes(data):
            os.kill(pid, signal.SIGKILL)


async def until_running(data: Path, count: int) -> None:
    await until_settled(lambda: len(processes(data)) == count)


async def until_settled(condition: Callable[[], bool]) -> None:
    """Waits for a condition that costs a look at all processes of the machine."""
    while not condition():
        await asyncio.sleep(0.1)


class Site:
    """Agents, one after another, on one data folder, which supervise one instance."""

    def __init__(self, folder: Path, config: Path) -> None:
        self.data = folder / "data"
        self.service = ServiceConfig("app", 1, config, stop_s=4.0, first_port=free_port(), make_before_break=True)
        self.control = "127.0.0.1", free_port()

    @contextlib.asynccontextmanager
    async def agent(self) -> AsyncIterator[AgentScene]:
        async with scene(self.data, services=(self.service,), lease_s=1.0, heartbeat_s=0.1, control=self.control) as s:
            await until(lambda: ready(s, NAME))
            yield s

    async def begin_replacement(self, s: AgentScene) -> int:
        """Begins one that needs a new process; returns the pid of the old one."""
        pid = s.agent.fleet.members[NAME].row.pid
        await s.begin(names=[NAME], overlay={"settings": {"areas": ["a", "b", "c"]}}, expect=0)
        return pid


@contextlib.asynccontextmanager
async def held_replacement(site: Site, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[tuple[AgentScene, int]]:
    """An agent whose replacement waits for ever for its successor, and the pid of the old process."""
    with monkeypatch.context() as held:
        held.setattr(Supervisor, "is_ready", lambda supervisor, name, boot: False)
        async with site.agent() as s:
            old = await site.begin_replacement(s)
            await until_running(site.data, 2)
            yield s, old


async def never(process: SupervisedProcess, timeout_s: float) -> None:
    await asyncio.Event().wait()


async def only_signalled(process: SupervisedProcess, timeout_s: float) -> None:
    process.kill(signal.SIGTERM)
    await asyncio.Event().wait()


# Guards against a successor, or an old process, that serves on in nobody's record.
@pytest.mark.parametrize("old_dies", [False, True], ids=["old-lives", "old-dies"])
def test_an_agent_that_ends_before_its_successor_counts_leaves_one_process(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], old_dies: bool) -> None:
    async def test() -> None:
        async with world(tmp_path) as (_, config):
            site = Site(tmp_path, config)
            with no_process_left(site.data):
                async with held_replacement(site, monkeypatch) as (_, old):
                    pass  # it ends there
                successor = next(iter(processes(site.data) - {old}))
                if old_dies:
                    os.kill(old, signal.SIGKILL)
                assert await one_process_is_known(site) == successor  # the next agent goes on with the replacement
                if not old_dies:
                    assert (f"goes on with process {successor}, by which the former agent was replacing process {old}"
                            in capsys.readouterr().err)

    run(test)


# Guards against an old process that serves on, as its agent ended between the two steps of its end.
@pytest.mark.parametrize("stop", [never, only_signalled], ids=["before-the-signal", "after-the-signal"])
def test_an_agent_that_ends_before_the_old_process_has_leaves_one_process(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch, stop: object) -> None:
    async def test() -> None:
        async with world(tmp_path) as (_, config):
            site = Site(tmp_path, config)
            with no_process_left(site.data):
                with monkeypatch.context() as held:
                    held.setattr(SupervisedProcess, "stop", stop)
                    async with site.agent() as s:
                        old = await site.begin_replacement(s)
                        await until(lambda: s.agent.fleet.members[NAME].row.pid != old)
                        member = s.agent.supervisor.members[NAME]
                        await until(lambda: member.process is not None and member.process.pid != old)
                await one_process_is_known(site)

    run(test)


async def one_process_is_known(site: Site) -> int:
    """The next agent: one process, which it knows and which is returned, and none after `--stop-instances`."""
    async with site.agent() as s:
        def is_settled() -> bool:
            member = s.agent.supervisor.members[NAME]
            return (member.process is not None and processes(site.data) == {member.process.pid}
                    and not member.replacing and not member.others)

        await until_settled(is_settled)
        await until(lambda: ready(s, NAME))
        pid = s.agent.fleet.members[NAME].row.pid
        assert processes(site.data) == {pid}
        await s.agent.supervisor.stop_all()
        assert not processes(site.data)
        return pid


# Guards against a successor that outlives the end of all instances.
def test_the_end_of_all_instances_ends_a_successor_too(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with world(tmp_path) as (_, config):
            site = Site(tmp_path, config)
            with no_process_left(site.data):
                async with held_replacement(site, monkeypatch) as (s, _):
                    await s.agent.supervisor.stop_all()
                    assert not processes(site.data)

    run(test)


# Guards against a successor that its own stopped instance keeps, and against one that the next agent can't find.
def test_the_state_file_names_a_successor_before_it_starts_and_a_stopped_instance_keeps_none(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with world(tmp_path) as (_, config):
            site = Site(tmp_path, config)
            state = site.data / "instances" / f"{NAME}.state"
            with no_process_left(site.data):
                async with held_replacement(site, monkeypatch) as (_, old):
                    named = json.loads(state.read_text())
                    assert named["pid"] == old and named["others"] == [named["successor"]]
                os.kill(old, signal.SIGKILL)
                state.write_text(json.dumps({**named, "held": True}))
                async with scene(site.data, services=(site.service,), lease_s=1.0, heartbeat_s=0.1,
                                 control=site.control):
                    await until_running(site.data, 0)

    run(test)


# Guards against an agent that ends, with all that it supervises, as a state file can't be written for a while.
def test_a_replacement_goes_on_while_state_files_cannot_be_written(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]) -> None:
    write, fails = InstanceState.write, [False]

    def write_or_fail(state: InstanceState, path: Path) -> None:
        if fails[0]:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        write(state, path)

    monkeypatch.setattr(InstanceState, "write", write_or_fail)
    monkeypatch.setattr(supervisor, "STATE_RETRY_S", 0.05)

    async def test() -> None:
        async with world(tmp_path) as (_, config):
            site = Site(tmp_path, config)
            state = site.data / "instances" / f"{NAME}.state"
            with no_process_left(site.data):
                async with site.agent() as s:
                    old = await site.begin_replacement(s)
                    await until_running(site.data, 2)
                    fails[0] = True
                    member = s.agent.supervisor.members[NAME]
                    await until(lambda: member.process is not None and member.process.pid != old and not member.others)
                    assert json.loads(state.read_text())["pid"] == old  # what the next agent would read until then
                    fails[0] = False
                    await until(lambda: member.process is not None
                                and json.loads(state.read_text())["pid"] == member.process.pid)
                    assert not member.is_state_unsaved
                    await s.agent.supervisor.stop_all()

    run(test)
    assert capsys.readouterr().err.count("its state can't be written, and is tried again") == 1
