"""An instance with several agents: it connects to the one that leads, and rejects an agent whose term is over."""

from __future__ import annotations

import asyncio
import random

import pytest

from ironscale.control import pacing
from ironscale.control.client import NOT_LEADING, AgentClient
from ironscale.control.frames import encode_frame
from ironscale.control.messages import Command, Denied, Hello, Welcome, serialize_message
from ironscale.control.simulated_instance import create_simulated_instance, kill_client
from tests.control.scripted_agents import ScriptedAgent
from tests.sockets import run, until


def client_of_agents(*agents: ScriptedAgent) -> AgentClient:
    addresses = [("127.0.0.1", agent.port) for agent in agents]
    _, client = create_simulated_instance(
        "i0", addresses[0], "t", boot="boot", rng=random.Random(1), others=tuple(addresses[1:]))
    client.backoff.spread_s = 0.01
    return client


@pytest.fixture(autouse=True)
def short_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    """Limits the backoff between failed attempts, which is not tested here."""
    monkeypatch.setattr(pacing, "MAX_BACKOFF_S", 0.05)


def test_a_welcome_with_an_older_term_is_rejected() -> None:
    """A suspended leader may not know yet that another agent leads, and would send outdated commands."""

    async def test() -> None:
        new = await ScriptedAgent(Welcome(5_000, 50, 10, [], 3)).start()
        # The command arrives directly after the welcome.
        old = await ScriptedAgent(b"".join(encode_frame(serialize_message(message)) for message in (
            Welcome(5_000, 50, 10, [], 2), Command("1.0.1", 9, "boot", "drain")))).start()
        client = client_of_agents(new, old)
        task = asyncio.create_task(client.run())
        await until(lambda: client.term == 3 and new.heartbeats())
        new.stop()
        # The client has disconnected and reconnected several times; the commands sent meanwhile had no effect.
        await until(lambda: sum(isinstance(message, Hello) for message in old.received) >= 3 or old.results())
        assert not old.results() and not old.heartbeats() and client.term == 3
        old.greeting = Welcome(5_000, 50, 10, [], 4)
        await until(lambda: client.term == 4 and old.heartbeats())
        await kill_client(task)
        old.stop()

    run(test)


def test_it_follows_a_leader_hint_only_to_a_configured_agent() -> None:
    async def test() -> None:
        leader, stranger = await ScriptedAgent().start(), await ScriptedAgent().start()
        follower = await ScriptedAgent().start()
        follower.greeting = Denied(NOT_LEADING, "another agent leads", 0, f"127.0.0.1:{stranger.port}")
        client = client_of_agents(follower, leader)
        task = asyncio.create_task(client.run())
        await until(lambda: leader.heartbeats())
        assert not stranger.received  # a connection would have sent it the token
        await kill_client(task)
        for agent in (leader, stranger, follower):
            agent.stop()

    run(test)


def test_an_agent_that_accepts_but_stays_silent_is_left_for_the_next() -> None:
    async def test() -> None:
        silent, leader = await ScriptedAgent(None).start(), await ScriptedAgent().start()
        client = client_of_agents(silent, leader)
        task = asyncio.create_task(client.run())
        await until(lambda: leader.heartbeats())
        await kill_client(task)
        for agent in (silent, leader):
            agent.stop()

    run(test)
