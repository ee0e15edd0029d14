"""Runs an agent in this process with simulated instances, and calls its API."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable, Coroutine
from pathlib import Path
from typing import Any

import httpx

from ironscale.agent.engine import Engine
from ironscale.agent.model import OPEN_PHASES, Kind, Operation, Policy, State, Target
from ironscale.agent.serve import Agent, running
from ironscale.control.client import AgentClient
from ironscale.control.simulated_instance import SimulatedInstance, create_simulated_instance, kill_client
from ironscale.operator_file import AgentConfig as Section
from ironscale.operator_file import read_secret
from tests.sockets import run as limited_run
from tests.sockets import until as until

LIMIT_S = 60.0


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    limited_run(test, LIMIT_S)


def section(data: Path, **changes: Any) -> Section:
    values: dict[str, Any] = {"control": ("127.0.0.1", 0), "api": ("127.0.0.1", 0), "lease_s": 2.0,
                              "heartbeat_s": 0.1, **changes}
    return Section(data=data, **values)


class AgentScene:
    """One agent and its simulated instances by name."""

    def __init__(self, agent: Agent, seed: int) -> None:
        self.agent = agent
        self.random = random.Random(seed)
        self.instances: dict[str, SimulatedInstance] = {}
        self.clients: dict[str, AgentClient] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.token = read_secret(agent.data / "instance.token")
        self.admin = read_secret(agent.data / "admin.token")

    @property
    def engine(self) -> Engine:
        return self.agent.engine

    def start(self, name: str, **changes: Any) -> SimulatedInstance:
        """Starts an instance; a running one of the same name is cancelled without a goodbye."""
        if name in self.tasks:
            self.tasks[name].cancel()
        address = ("127.0.0.1", self.agent.control_port)
        rng = random.Random(self.random.random())
        instance, client = create_simulated_instance(
            name, address, changes.pop("token", self.token), rng=rng, **changes)
        self.instances[name], self.clients[name] = instance, client
        self.tasks[name] = asyncio.create_task(client.run())
        return instance

    async def start_many(self, count: int, **changes: Any) -> None:
        for index in range(count):
            self.start(f"i{index:04}", **changes)
        await until(lambda: sum(m.link is not None and m.report is not None
                                for m in self.agent.fleet.members.values()) >= count)

    def kill(self, name: str) -> None:
        self.tasks.pop(name).cancel()

    def cut(self, name: str) -> None:
        """Breaks the instance's connection; what it sends until it reconnects is lost."""
        session = self.clients[name].session
        assert session is not None and session.transport is not None
        session.transport.abort()

    async def begin(self, kind: Kind = Kind.RECONFIGURE, names: list[str] | None = None, actor: str = "ann",
                    policy: Policy | None = None, **changes: Any) -> int:
        if kind is Kind.RECONFIGURE and "overlay" not in changes:
            changes.update(overlay={"settings": {"instances": 2}}, expect=0)
        op, _ = await self.engine.begin(actor, kind, names if names is not None else list(self.instances),
                                        policy or Policy(), **changes)
        return op.id

    async def end(self, ident: int) -> tuple[Operation, list[Target]]:
        while True:
            found = await self.engine.find(ident)
            assert found is not None
            if found[0].phase not in OPEN_PHASES:
                return found
            await asyncio.sleep(0.005)

    async def states(self, ident: int) -> dict[str, State]:
        _, targets = await self.end(ident)
        return {target.name: target.state for target in targets}

    def api(self, token: str | None = None) -> httpx.AsyncClient:
        headers = {"Authorization": f"Bearer {token or self.admin}"}
        return httpx.AsyncClient(base_url=f"http://127.0.0.1:{self.agent.api_port}", headers=headers, trust_env=False,
                                 timeout=20)

    async def ask(self, query: str, token: str | None = None, **variables: Any) -> dict[str, Any]:
        async with self.api(token) as client:
            answer = await client.post("/graphql", json={"query": query, "variables": variables})
            body: dict[str, Any] = answer.json()
            return body

    async def close(self) -> None:
        for task in self.tasks.values():
            await kill_client(task)


@contextlib.asynccontextmanager
async def scene(data: Path, seed: int = 1, **changes: Any) -> AsyncIterator[AgentScene]:
    async with running(section(data, **changes)) as agent:
        found = AgentScene(agent, seed)
        try:
            yield found
        finally:
            await found.close()
