"""Sidecar extension that saves learned state to a file and exchanges it with peers, as the operator file configures."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import traceback
from collections.abc import AsyncIterator, Callable

from ironscale.learned.peer_transfer import Address, DonorClient, DonorServer
from ironscale.learned.persistence import SnapshotCollector, SnapshotPersistence
from ironscale.learned.store import SnapshotFile, path_for
from ironscale.net.process import Extension
from ironscale.net.sidecar import Sidecar
from ironscale.operator_file import LearnedConfig, is_loopback
from ironscale.tasks import run_in_background
from ironscale.toml_tables import read_address

MAX_OFFERED_DONORS = 20
RETRY_DELAYS_S = (1.0, 4.0)  # waits before asking again: the donors may have only just started too


class LearnedStateTasks:
    """The background tasks that save, serve and fetch one sidecar's learned state."""

    def __init__(self, sidecar: Sidecar, learned: LearnedConfig) -> None:
        self.sidecar = sidecar
        self.collector = SnapshotCollector(sidecar)
        self.persistence: SnapshotPersistence | None = None
        if learned.folder is not None:
            store = SnapshotFile(path_for(learned.folder, sidecar.config.name))
            self.persistence = SnapshotPersistence(sidecar, store, learned.every_s, self.collector)
        self.donor_server: DonorServer | None = None
        if learned.teach is not None:
            self.donor_server = DonorServer(self.collector, learned.teach)
        self.donor_client = DonorClient(sidecar, self.collector, random.Random(secrets.randbits(64)))
        self.donors = learned.ask
        self.offered_donors: asyncio.Queue[tuple[Address, ...]] = asyncio.Queue(1)
        self.learns_from_agent = learned.from_agent

    async def learn(self, donors: tuple[Address, ...]) -> None:
        for wait_s in (0.0, *RETRY_DELAYS_S):
            await asyncio.sleep(wait_s)
            if self.donor_client.has_learned or await self.donor_client.learn(donors):
                return

    async def learn_from_offers(self) -> None:
        """Learns from the donors that an agent names each time that the sidecar connects to it."""
        while not self.donor_client.has_learned:
            await self.learn(await self.offered_donors.get())

    async def run(self) -> None:
        """Runs until cancelled. An error is logged, and does not end the sidecar."""
        try:
            await self.run_all()
        except Exception:
            self.sidecar.log(f"learned: the extension has failed, serving goes on\n{traceback.format_exc()}")

    async def run_all(self) -> None:
        """Runs all configured tasks until they end or one of them fails."""
        async with asyncio.TaskGroup() as group:
            if self.persistence is not None:
                group.create_task(self.persistence.run())
            if self.donor_server is not None:
                group.create_task(self.donor_server.run())
            if self.donors:
                group.create_task(self.learn(self.donors))
            if self.learns_from_agent:
                group.create_task(self.learn_from_offers())


class AgentChannel:
    """Connects the agent's client to this extension; implements ironscale.control.extension.LearnedStateExchange."""

    def __init__(self) -> None:
        self.tasks: LearnedStateTasks | None = None

    def serving_address(self) -> str:
        """The address where this sidecar serves its snapshot, for the agent to pass on; empty if it serves none."""
        server = self.tasks.donor_server if self.tasks is not None else None
        return f"{server.address[0]}:{server.port()}" if server is not None and server.port() else ""

    def offer_donors(self, donors: list[str]) -> None:
        """Takes the addresses of donors that the agent names."""
        found = [address for text in donors[:MAX_OFFERED_DONORS] if (address := read_address(text)) is not None]
        # a faulty agent must not make sidecars connect to other machines
        loopback_donors = tuple(address for address in found if is_loopback(address))
        if self.tasks is not None and loopback_donors and not self.tasks.offered_donors.full():
            self.tasks.offered_donors.put_nowait(loopback_donors)


def learned_state_extension(learned: LearnedConfig, channel: AgentChannel | None = None) -> Extension:
    """The extension that the operator file configures; `channel`, if given, connects it to the agent's client."""
    @contextlib.asynccontextmanager
    async def run_tasks(sidecar: Sidecar, end: Callable[[], None]) -> AsyncIterator[None]:
        tasks = LearnedStateTasks(sidecar, learned)
        if channel is not None:
            channel.tasks = tasks
        try:
            async with run_in_background(tasks.run()):
                yield
        finally:
            if tasks.persistence is not None:
                await tasks.persistence.write_final()

    return run_tasks
