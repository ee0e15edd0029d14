"""A real sidecar process between an agent, published versions and one discovery for each source that can name one.

`ConfiguredSidecar` plays events that name, replace or take back discovery's address. `ExpectedAddress` says which one
has to be in force after them; it shares no code with the program.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections import deque
from dataclasses import dataclass, replace
from enum import StrEnum
from pathlib import Path
from typing import Any

from ironscale.control.messages import CommandResult, Hello
from ironscale.standins.discovery import ListedDiscovery, listing
from ironscale.standins.settings import SETTINGS
from tests.control.scripted_agents import ScriptedAgent, ScriptedVersionAgent
from tests.deployed import ROOT
from tests.sockets import free_port, until

SETTLE_TIMEOUT_S = 10.0


class Source(StrEnum):
    """Who names the address of a discovery."""

    FILE = "file"  # the configuration file as it is at first
    EDITED_FILE = "edited file"
    ENVIRONMENT = "environment"
    ROLLED_OUT = "rolled out"  # by an operation
    ROLLED_OUT_LATER = "rolled out later"
    PUBLISHED = "published"


class Event(StrEnum):
    """What happens to a sidecar and may concern the address of its discovery."""

    SIGHUP = "SIGHUP"  # the file is as it was
    EDIT_FILE = "edit file"  # the file names another discovery; SIGHUP
    RESTORE_FILE = "restore file"  # the file names its first discovery; SIGHUP
    TEAR_FILE = "tear file"  # the file is cut off when SIGHUP comes, and whole again afterwards
    ROLL_OUT = "roll out"
    ROLL_OUT_LATER = "roll out later"
    ROLL_OUT_SETTINGS = "roll out settings"  # an overlay that doesn't name discovery
    ROLL_BACK = "roll back"  # an empty overlay
    ROLL_OUT_INVALID = "roll out invalid"  # an overlay that is refused
    PUBLISH = "publish"
    PUBLISH_NOTHING = "publish nothing"
    RESTART = "restart"  # the process is killed and started as a supervisor does, with the operation's overlay


@dataclass(frozen=True)
class ExpectedAddress:
    """The source whose address has to be in force: an operation's overlay, else the published one, else that of the
    process itself, which is the environment's from its start until the file names another address than before, and
    the file's from then on."""

    has_environment: bool
    environment_counts: bool
    file: Source = Source.FILE
    rolled_out: Source | None = None
    published: Source | None = None

    def after(self, event: Event) -> ExpectedAddress:
        match event:
            case Event.EDIT_FILE:
                return self.after_file(Source.EDITED_FILE)
            case Event.RESTORE_FILE:
                return self.after_file(Source.FILE)
            case Event.ROLL_OUT:
                return replace(self, rolled_out=Source.ROLLED_OUT)
            case Event.ROLL_OUT_LATER:
                return replace(self, rolled_out=Source.ROLLED_OUT_LATER)
            case Event.ROLL_OUT_SETTINGS | Event.ROLL_BACK:
                return replace(self, rolled_out=None)
            case Event.PUBLISH:
                return replace(self, published=Source.PUBLISHED)
            case Event.PUBLISH_NOTHING:
                return replace(self, published=None)
            case Event.RESTART:
                return replace(self, environment_counts=self.has_environment)
            case Event.SIGHUP | Event.TEAR_FILE | Event.ROLL_OUT_INVALID:
                return self

    def after_file(self, source: Source) -> ExpectedAddress:
        return self if source is self.file else replace(self, file=source, environment_counts=False)

    def own(self) -> Source:
        return Source.ENVIRONMENT if self.environment_counts else self.file

    def in_force(self) -> Source:
        return self.rolled_out or self.published or self.own()


def walk_of_all_transitions(state: ExpectedAddress) -> list[Event]:
    """A sequence in which each event comes in each state that can be reached from `state`."""
    played: set[tuple[ExpectedAddress, Event]] = set()
    walk: list[Event] = []
    while (way := shortest_way_to_a_new_transition(state, played)) is not None:
        for event in way:
            played.add((state, event))
            state = state.after(event)
        walk += way
    return walk


def shortest_way_to_a_new_transition(start: ExpectedAddress,
                                     played: set[tuple[ExpectedAddress, Event]]) -> list[Event] | None:
    """The shortest sequence from `start` whose last event has not been played in the state before it."""
    ways: dict[ExpectedAddress, list[Event]] = {start: []}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        for event in Event:
            if (state, event) not in played:
                return [*ways[state], event]
            if state.after(event) not in ways:
                ways[state.after(event)] = [*ways[state], event]
                queue.append(state.after(event))
    return None


class ConfiguredSidecar:
    """A sidecar process, and everything that configures it."""

    def __init__(self, folder: Path, has_environment: bool = False) -> None:
        self.folder = folder
        self.expected = ExpectedAddress(has_environment, has_environment)
        self.discoveries: dict[Source, ListedDiscovery] = {}
        self.agent = ScriptedAgent()
        self.versions = ScriptedVersionAgent([])
        self.process: asyncio.subprocess.Process | None = None
        self.port = free_port()
        self.starts = 0
        self.generation = 0
        self.overlay: dict[str, Any] = {}
        self.commands = 0
        self.told = 0  # changes told to watches

    async def start(self) -> None:
        for source in Source:
            discovery = await ListedDiscovery().start()
            discovery.put(self.entry(0))
            self.discoveries[source] = discovery
        await self.agent.start()
        await self.versions.start()
        (self.folder / "token").write_text("token\n")
        (self.folder / "token").chmod(0o600)
        (self.folder / "operator.toml").write_text(
            f'[control]\nagent = "127.0.0.1:{self.agent.port}"\ntoken_file = "{self.folder / "token"}"\n'
            f'[versions]\n[[versions.agent]]\naddress = "127.0.0.1:{self.versions.port}"\n')
        self.write_file(Source.FILE)
        await self.launch()

    def entry(self, started_ms: int) -> dict[str, Any]:
        """An upstream that nobody is at; each new start is a change that the sidecar shows."""
        return {"instanceId": "s-1", "hostPort": "127.0.0.1:9", "zone": "a", "machineType": "large", "cell": 1,
                "lifecycle": "ready", "weight": 1.0, "startedAtMs": started_ms}

    def address(self, source: Source) -> str:
        return f"127.0.0.1:{self.discoveries[source].port}"

    def document(self, source: Source) -> str:
        return json.dumps({"name": "app-0", "listen": f"127.0.0.1:{self.port}", "discovery": self.address(source),
                           "seed": "1f", "limits": {"sockets": 128}, "known": listing(), "settings": SETTINGS})

    def write_file(self, source: Source) -> None:
        (self.folder / "config.json").write_text(self.document(source))

    async def launch(self) -> None:
        """Starts a process, and waits until the agent and the version agent know it."""
        self.starts += 1
        environ = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environ |= {"GW_CONFIG": str(self.folder / "config.json"), "GW_OPERATOR": str(self.folder / "operator.toml"),
                    "GW_BOOT": self.boot()}
        if self.expected.has_environment:
            environ["GW_DISCOVERY"] = self.address(Source.ENVIRONMENT)
        if self.generation:
            path = self.folder / "overlay.json"
            path.write_text(json.dumps({"generation": self.generation, "overlay": self.overlay}))
            environ["GW_OVERLAY"] = str(path)
        reports = len(self.versions.running_reports())
        with open(self.folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", "ironscale", cwd=ROOT, env=environ, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log)
        await self.wait_for_hello()
        if self.generation and self.starts % 2:  # it is for the start alone, and may be gone afterwards
            (self.folder / "overlay.json").unlink()
        if self.versions.log:
            await self.wait(lambda: len(self.versions.running_reports()) > reports, "the published versions")

    def boot(self) -> str:
        return f"boot-{self.starts}"

    async def wait_for_hello(self) -> None:
        await self.wait(lambda: any(isinstance(one, Hello) and one.boot == self.boot()
                                    for one in self.agent.received), "the agent's instance")

    async def wait(self, condition: Any, what: str) -> None:
        try:
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                await until(condition)
        except TimeoutError:
            raise AssertionError(f"{what} did not come: {self.state()}") from None

    def state(self) -> str:
        watches = [str(source) for source, discovery in self.discoveries.items() if discovery.watches]
        return f"watches at {watches}, expected {self.expected.in_force()}; log:\n{self.log()}"

    def log(self) -> str:
        return (self.folder / "log").read_text(errors="replace")

    async def command(self, kind: str, **args: Any) -> CommandResult:
        self.commands += 1
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            return await self.agent.command(f"{self.commands}.0.1", self.commands, kind, self.boot(), **args)

    async def play(self, event: Event) -> None:
        """Plays the event, and checks what is in force once the sidecar has handled it."""
        calls = {source: discovery.calls for source, discovery in self.discoveries.items()}
        self.expected = self.expected.after(event)
        await self.carry_out(event)
        await self.check()
        in_force = self.expected.in_force()
        allowed = {in_force, self.expected.own()} if event is Event.RESTART else {in_force}
        called = {source for source, discovery in self.discoveries.items() if discovery.calls > calls[source]}
        assert called <= allowed, f"after {event}: {called - allowed} was called: {self.state()}"

    async def carry_out(self, event: Event) -> None:
        match event:
            case Event.SIGHUP:
                await self.reload()
            case Event.EDIT_FILE:
                self.write_file(Source.EDITED_FILE)
                await self.reload()
            case Event.RESTORE_FILE:
                self.write_file(Source.FILE)
                await self.reload()
            case Event.TEAR_FILE:
                path = self.folder / "config.json"
                whole = path.read_text()
                path.write_text(whole[:-1])
                await self.reload()
                path.write_text(whole)
            case Event.ROLL_OUT:
                await self.roll_out({"discovery": self.address(Source.ROLLED_OUT)})
            case Event.ROLL_OUT_LATER:
                await self.roll_out({"discovery": self.address(Source.ROLLED_OUT_LATER)})
            case Event.ROLL_OUT_SETTINGS:
                await self.roll_out({"settings": {"instances": 3 + self.commands % 5}})
            case Event.ROLL_BACK:
                await self.roll_out({})
            case Event.ROLL_OUT_INVALID:
                result = await self.command("reconfigure", generation=self.generation + 1,
                                            overlay={"discovery": "nowhere"})
                assert result.status == "refused", result
            case Event.PUBLISH:
                await self.publish({"discovery": self.address(Source.PUBLISHED)})
            case Event.PUBLISH_NOTHING:
                await self.publish(None)
            case Event.RESTART:
                await self.kill()
                await self.launch()

    async def reload(self) -> None:
        """Sends SIGHUP and waits until it has been handled: the signal comes before the first of two commands, and an
        iteration of the event loop that reads the second one has handled it."""
        assert self.process is not None
        self.process.send_signal(signal.SIGHUP)
        await self.command("undrain")
        await self.command("undrain")

    async def roll_out(self, overlay: dict[str, Any]) -> None:
        self.generation += 1
        self.overlay = overlay
        result = await self.command("reconfigure", generation=self.generation, overlay=overlay)
        assert result.status == "applied", result

    async def publish(self, overlay: dict[str, Any] | None) -> None:
        reports = len(self.versions.running_reports())
        self.versions.publish(overlay)
        await self.wait(lambda: len(self.versions.running_reports()) > reports, "the report of a version")
        assert self.versions.running_reports()[-1].status == "applied"

    async def check(self) -> None:
        """Checks that exactly the expected discovery is watched, that what it tells arrives, and that the reported
        generation is the one that was rolled out last."""
        in_force = self.expected.in_force()

        def is_watched_alone() -> bool:
            return [source for source, discovery in self.discoveries.items() if discovery.watches] == [in_force]

        await self.wait(is_watched_alone, "the only watch")
        await self.check_that_changes_arrive(self.discoveries[in_force])
        assert is_watched_alone(), self.state()
        assert self.process is not None and self.process.returncode is None, self.state()

    async def check_that_changes_arrive(self, discovery: ListedDiscovery) -> None:
        """Tells a change at this discovery alone. The others have it from then on too, as replicas of one registry."""
        self.told += 1
        discovery.put(self.entry(self.told * 1000))
        for other in self.discoveries.values():
            other.generation, other.entries = discovery.generation, dict(discovery.entries)
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            while True:
                result = await self.command("inspect")
                if [upstream["startedUs"] for upstream in result.data] == [self.told * 1_000_000]:
                    break
        assert result.report is not None and result.report.generation == self.generation

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def stop(self) -> None:
        await self.kill()
        self.agent.stop()
        self.versions.stop()
        for discovery in self.discoveries.values():
            await discovery.stop()
