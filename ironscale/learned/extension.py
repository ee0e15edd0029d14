"""Runs file and teaching beside a started sidecar, as the operator file says."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import traceback
from collections.abc import AsyncIterator, Callable

from ironscale.learned.peer_transfer import Address, Pupil, Teacher
from ironscale.learned.persistence import Collector, Keeper
from ironscale.learned.store import Store, path_for
from ironscale.net.sidecar import Extension, Sidecar
from ironscale.operator_file import LearnedConfig, is_loopback
from ironscale.tasks import run_in_background
from ironscale.toml_tables import read_address

MOST_OFFERED = 20
AGAIN_S = (1.0, 4.0)  # none of the donors had anything to teach: they may have just started as well


class Running:
    """What runs beside one sidecar."""

    def __init__(self, sidecar: Sidecar, learned: LearnedConfig) -> None:
        self.sidecar = sidecar
        self.collector = Collector(sidecar)
        self.keeper: Keeper | None = None
        if learned.folder is not None:
            store = Store(path_for(learned.folder, sidecar.config.name))
            self.keeper = Keeper(sidecar, store, learned.every_s, self.collector)
        self.teacher: Teacher | None = None
        if learned.teach is not None:
            self.teacher = Teacher(self.collector, learned.teach)
        self.pupil = Pupil(sidecar, self.collector, random.Random(secrets.randbits(64)))
        self.donors = learned.ask
        self.offered: asyncio.Queue[tuple[Address, ...]] = asyncio.Queue(1)
        self.from_agent = learned.from_agent

    async def learn(self, donors: tuple[Address, ...]) -> None:
        for wait_s in (0.0, *AGAIN_S):
            await asyncio.sleep(wait_s)
            if self.pupil.learned or await self.pupil.learn(donors):
                return

    async def learn_from_offers(self) -> None:
        """An agent names its donors each time that it is dialled."""
        while not self.pupil.learned:
            await self.learn(await self.offered.get())

    async def run(self) -> None:
        """Hazard: a fault in here must neither end the sidecar nor go unsaid."""
        try:
            await self.all()
        except Exception:
            self.sidecar.log(f"learned: it has ended, serving goes on\n{traceback.format_exc()}")

    async def all(self) -> None:
        async with asyncio.TaskGroup() as group:
            if self.keeper is not None:
                group.create_task(self.keeper.run())
            if self.teacher is not None:
                group.create_task(self.teacher.run())
            if self.donors:
                group.create_task(self.learn(self.donors))
            if self.from_agent:
                group.create_task(self.learn_from_offers())


class Channel:
    """What an agent's client needs of the subsystem (ironscale.control.extension.LearnedStateExchange)."""

    def __init__(self) -> None:
        self.running: Running | None = None

    def teaches(self) -> str:
        teacher = self.running.teacher if self.running is not None else None
        return f"{teacher.address[0]}:{teacher.port()}" if teacher is not None and teacher.port() else ""

    def offer(self, donors: list[str]) -> None:
        found = [address for text in donors[:MOST_OFFERED] if (address := read_address(text)) is not None]
        # hazard: an agent that is wrong must not make sidecars dial other machines
        near = tuple(address for address in found if is_loopback(address))
        if self.running is not None and near and not self.running.offered.full():
            self.running.offered.put_nowait(near)


def beside(learned: LearnedConfig, channel: Channel | None = None) -> Extension:
    @contextlib.asynccontextmanager
    async def running(sidecar: Sidecar, end: Callable[[], None]) -> AsyncIterator[None]:
        found = Running(sidecar, learned)
        if channel is not None:
            channel.running = found
        try:
            async with run_in_background(found.run()):
                yield
        finally:
            if found.keeper is not None:
                await found.keeper.last()

    return running
