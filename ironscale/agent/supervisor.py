"""Supervises local instances: starts, restarts and replaces them. They outlive the agent, and the next agent takes
them over."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ironscale.agent.fleet import Fleet
from ironscale.agent.instance_state import InstanceState, read_state
from ironscale.agent.model import OutgoingCommand
from ironscale.agent.restarts import RestartBackoff
from ironscale.agent.supervised_process import SupervisedProcess, find_process
from ironscale.control.processes import start_ticks
from ironscale.operator_file import OperatorFileError, ServiceConfig

STATE_RETRY_S = 1.0
READY_TIMEOUT_S = 30.0  # a successor that is not ready by then is stopped, and the old process stays
MAX_LOG_BYTES = 16 << 20  # a larger log is rotated when the instance starts


@dataclass(slots=True)
class SupervisedInstance:
    """One supervised instance."""

    service: ServiceConfig
    index: int
    name: str
    base: dict[str, Any]
    backoff: RestartBackoff = field(default_factory=RestartBackoff)
    process: SupervisedProcess | None = None
    # Its further processes by boot id, which begin beside `process` or are to end; None before the start.
    others: dict[str, SupervisedProcess | None] = field(default_factory=dict)
    successor: str = ""  # which of them is to replace `process` once it is ready
    stopped: bool = False  # an operator stopped it: not to be started
    crash_loop: str = ""  # why it is not restarted any more; empty while it is
    wake: asyncio.Event = field(default_factory=asyncio.Event)  # set to start it now
    replacing: bool = False
    is_state_unsaved: bool = False  # its state file is older than what has happened, and is tried again

    def running(self) -> list[SupervisedProcess]:
        """All its processes."""
        return [run for run in (self.process, *self.others.values()) if run is not None]

    def is_awaited(self) -> bool:
        """Whether a process of this instance is running or about to be started."""
        return self.replacing or not (self.stopped or self.crash_loop)


class Supervisor:
    def __init__(self, services: tuple[ServiceConfig, ...], data: Path, agent: tuple[str, int], token_file: Path,
                 fleet: Fleet, overlay: Callable[[int], dict[str, Any] | None], log: Callable[[str], None]) -> None:
        self.folder, self.logs = data / "instances", data / "logs"
        self.agent, self.token_file, self.fleet = agent, token_file, fleet
        self.overlay, self.log = overlay, log
        self.members: dict[str, SupervisedInstance] = {}
        self.tasks: asyncio.TaskGroup | None = None
        self.is_stopping = False
        for service in services:
            base = self.read_base(service)
            for index in range(service.count):
                name = f"{service.name}-{index}"
                if name in self.members:
                    raise OperatorFileError(f"service {service.name}: expected names that differ, "
                                            f"got {name} twice")
                self.members[name] = SupervisedInstance(service, index, name, base)
        fleet.supervision_of = self.supervision_of
        fleet.is_replacing = lambda name: name in self.members and self.members[name].replacing

    @staticmethod
    def read_base(service: ServiceConfig) -> dict[str, Any]:
        try:
            base = json.loads(service.config.read_text(encoding="utf-8"))
        except OSError as error:
            raise OperatorFileError(f"{service.config}: expected the configuration of {service.name}, "
                                    f"got {error.strerror}") from error
        except ValueError as error:
            raise OperatorFileError(f"{service.config}: expected JSON, got {error}") from error
        if not isinstance(base, dict) or not isinstance(base.get("settings"), dict):
            raise OperatorFileError(f"{service.config}: expected an object with settings, got {base!r:.60}")
        return base

    def supervision_of(self, name: str) -> str | None:
        member = self.members.get(name)
        return None if member is None else "awaited" if member.is_awaited() else ""

    async def run(self) -> None:
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.logs.mkdir(mode=0o700, parents=True, exist_ok=True)
        async with asyncio.TaskGroup() as self.tasks:
            for member in self.members.values():
                self.tasks.create_task(self.keep_running(member))

    # One instance

    def state_file(self, member: SupervisedInstance) -> Path:
        return self.folder / f"{member.name}.state"

    def write_state(self, member: SupervisedInstance, boot: str = "") -> None:
        """Writes what the next agent needs to take over all processes of the instance. `boot`: id of a process that is
        about to be started, written beforehand, so that the next agent finds it even if this one is killed right after
        the start."""
        run = member.process
        boot, pid, ticks = (run.boot, run.pid, run.ticks) if run is not None else (boot, 0, 0)
        state = InstanceState(boot, pid, ticks, member.stopped, tuple(member.others), member.successor)
        state.write(self.state_file(member))

    def save_state(self, member: SupervisedInstance, is_retry: bool = False) -> None:
        """Writes the state of what has happened already; tried again until it succeeds, as nothing can be taken back
        and the next agent has to learn of it."""
        if is_retry and self.is_stopping:
            return  # the file may be the next agent's by now
        try:
            self.write_state(member)
        except OSError as error:
            if not member.is_state_unsaved:
                self.log(f"{member.name}: its state can't be written, and is tried again: {error}")
            if is_retry or not member.is_state_unsaved:
                asyncio.get_running_loop().call_later(STATE_RETRY_S, self.save_state, member, True)
            member.is_state_unsaved = True
        else:
            member.is_state_unsaved = False

    def take_over(self, member: SupervisedInstance) -> SupervisedProcess | None:
        """The process that the former agent left running, if any; one of its further ones where there is no other."""
        state = read_state(self.state_file(member))
        member.stopped = state.is_stopped
        process = find_process(state.boot, state.pid, state.ticks)
        for boot in state.others:
            other = find_process(boot)
            if other is not None:
                member.others[boot] = other
        if process is None and member.others and not member.stopped:
            _, process = member.others.popitem()
        elif process is not None and state.successor in member.others and not member.stopped:
            member.successor = state.successor
        return process

    async def end_other(self, member: SupervisedInstance, run: SupervisedProcess) -> None:
        """Ends a process beside that of the instance; until then the state file names it."""
        await run.stop(member.service.stop_s)
        member.others.pop(run.boot, None)
        self.save_state(member)

    def settle_others(self, member: SupervisedInstance) -> None:
        """Goes on with a replacement that the former agent began, and ends all other further processes."""
        assert self.tasks is not None
        for run in member.others.values():
            if run is None:
                continue
            if run.boot == member.successor and member.process is not None:
                self.log(f"{member.name}: goes on with process {run.pid}, by which the former agent was replacing "
                         f"process {member.process.pid}")
                member.replacing = True
                self.tasks.create_task(self.resume_replacement(member, member.process, run))
            else:
                self.log(f"{member.name}: ends process {run.pid}, left by a replacement that the former agent began")
                self.tasks.create_task(self.end_other(member, run))

    async def resume_replacement(self, member: SupervisedInstance, old: SupervisedProcess, new: SupervisedProcess
                                 ) -> None:
        try:
            await self.finish_replacement(member, old, new)
        finally:
            self.end_replacing(member)

    async def keep_running(self, member: SupervisedInstance) -> None:
        """Starts the instance, and restarts it whenever its process ends by itself."""
        member.process = self.take_over(member)
        self.settle_others(member)
        while not self.is_stopping:
            if member.process is None:
                if member.stopped or member.crash_loop:
                    await member.wake.wait()
                member.wake.clear()
                member.process = self.start(member, "")
                if member.process is None:
                    await asyncio.sleep(1.0)
                    continue
            run = member.process
            how = await asyncio.shield(run.ended)
            if member.process is not run:
                continue  # already replaced by its successor
            self.fleet.process_ended(member.name, run.boot, how)
            member.process = None
            self.save_state(member)
            if member.stopped or member.wake.is_set() or self.is_stopping:
                continue
            wait_s = member.backoff.on_end(time.monotonic(), time.monotonic() - run.started_s)
            if wait_s is None:
                member.crash_loop = f"crash loop, last {how}"
                self.log(f"{member.name}: not restarted again ({member.crash_loop}); "
                         f"see {self.logs / member.name}.log, then run `ironscale restart`")
                self.fleet.mark_changed_if_known(member.name)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await member.wake.wait()

    def start(self, member: SupervisedInstance, replaces: str) -> SupervisedProcess | None:
        """Starts a process with the generation that its instance should run; None if that fails. `replaces`: boot id
        of the process that it is to replace, or empty."""
        service, name = member.service, member.name
        known = self.fleet.members.get(name)
        generation = known.row.desired if known is not None else 0
        overlay = self.overlay(generation)
        if overlay is None:  # the generation comes from an agent whose record is lost
            self.log(f"{name}: generation {generation} is not in the record; starting with its base configuration")
            generation, overlay = 0, {}
        boot = secrets.token_hex(8)
        port = service.first_port + member.index if service.first_port else 0
        settings = {**member.base["settings"], "self-index": member.index}
        config = {**member.base, "name": name, "listen": f"{service.host}:{port}", "settings": settings}
        files = {"config": config, "overlay": {"generation": generation, "overlay": overlay}}
        try:
            for what, content in files.items():
                (self.folder / f"{name}.{what}.json").write_text(json.dumps(content), encoding="utf-8")
            operator = self.folder / "sidecar.toml"
            operator.write_text("[sidecar]\nreuse_port = true\n", encoding="ascii")
            environ = {
                **os.environ, **service.environment, "GW_NAME": name, "GW_BOOT": boot, "GW_REPLACES": replaces,
                "GW_CONFIG": str(self.folder / f"{name}.config.json"),
                "GW_OVERLAY": str(self.folder / f"{name}.overlay.json"),
                "GW_AGENT": f"{self.agent[0]}:{self.agent[1]}", "GW_AGENT_TOKEN_FILE": str(self.token_file),
                "GW_ZONE": service.zone, "GW_OPERATOR": str(operator) if service.make_before_break else "",
            }
            environ.pop("GW_LISTEN", None)
            if replaces:
                member.others[boot], member.successor = None, boot
            self.write_state(member, boot)
            log_path = self.logs / f"{name}.log"
            if log_path.exists() and log_path.stat().st_size > MAX_LOG_BYTES:
                log_path.replace(log_path.with_suffix(".log.1"))
            with open(log_path, "ab") as log:
                child = subprocess.Popen([sys.executable, "-B", "-m", "ironscale"], env=environ, stdout=log,
                                         stderr=log, stdin=subprocess.DEVNULL, start_new_session=True)
        except OSError as error:
            member.others.pop(boot, None)
            member.successor = ""
            self.log(f"{name}: can't start: {error}")
            return None
        run = SupervisedProcess(child.pid, start_ticks(child.pid) or 0, boot, child)
        if replaces:
            member.others[boot] = run
        else:
            member.process = run
            self.save_state(member)
        return run

    # Called by operations

    def mark_stopped(self, name: str) -> None:
        """An operator stops the instance: it stays stopped, also under the next agent."""
        member = self.members.get(name)
        if member is not None:
            member.stopped = True
            self.save_state(member)

    def restart_process(self, send: OutgoingCommand) -> None:
        """Replaces the process `send.boot`; does nothing if it has been replaced already."""
        member = self.members.get(send.name)
        if member is None or member.replacing or self.tasks is None:
            return
        if member.process is not None and member.process.boot != send.boot:
            return
        member.backoff.reset()
        member.stopped, member.crash_loop, member.replacing = False, "", True
        self.fleet.mark_changed_if_known(member.name)
        self.tasks.create_task(self.replace(member))

    async def replace(self, member: SupervisedInstance) -> None:
        try:
            old = member.process
            if old is None:
                member.wake.set()
            elif member.service.make_before_break and member.service.first_port:
                await self.make_before_break(member, old)
            else:
                member.wake.set()  # `keep_running` starts the next process as soon as this one has ended
                await old.stop(member.service.stop_s)
        finally:
            self.end_replacing(member)

    def end_replacing(self, member: SupervisedInstance) -> None:
        member.replacing = False
        self.fleet.mark_changed_if_known(member.name)

    async def make_before_break(self, member: SupervisedInstance, old: SupervisedProcess) -> None:
        """Starts the successor first, and stops the old process once the successor is ready."""
        new = self.start(member, old.boot)
        if new is not None:
            await self.finish_replacement(member, old, new)

    async def finish_replacement(self, member: SupervisedInstance, old: SupervisedProcess, new: SupervisedProcess
                                 ) -> None:
        """Waits until the successor is ready, and ends the old process; ends the successor if it doesn't become so."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not self.is_ready(member.name, new.boot):
            if new.ended.done() or time.monotonic() > deadline_s or old.ended.done():
                self.log(f"{member.name}: the successor did not become ready; the old process stays")
                member.successor = ""
                await self.end_other(member, new)
                return
            await asyncio.sleep(0.02)
        member.process, member.successor = new, ""
        del member.others[new.boot]
        member.others[old.boot] = old
        self.save_state(member)
        await self.end_other(member, old)

    def is_ready(self, name: str, boot: str) -> bool:
        member = self.fleet.members.get(name)
        return (member is not None and member.row.boot == boot and member.report is not None
                and member.report.ready)

    # Shutdown

    async def stop_all(self) -> None:
        """Stops all processes: SIGTERM, then SIGKILL after their stop time; returns when none is left."""
        self.is_stopping = True
        await asyncio.gather(*(run.stop(member.service.stop_s) for member in self.members.values()
                               for run in member.running()))

    def release_all(self) -> None:
        self.is_stopping = True
        for member in self.members.values():
            for run in member.running():
                run.stop_watching()
