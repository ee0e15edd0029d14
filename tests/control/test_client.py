"""The agent client over real sockets: misbehaving agents, and commands to a real sidecar that serves traffic."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from ironscale.control import client as module
from ironscale.control.client import AgentClient, Identity
from ironscale.control.frames import encode_frame
from ironscale.control.instance import SidecarInstance
from ironscale.control.messages import (
    Command,
    Denied,
    Goodbye,
    Hello,
    LeaseRenewal,
    Message,
    Welcome,
    serialize_message,
)
from ironscale.control.simulated_instance import SimulatedInstance, create_simulated_instance
from ironscale.standins.http import ok
from ironscale.standins.settings import SETTINGS
from ironscale.standins.upstream import Peer, hang, reply
from tests.control.scripted_agents import WELCOME, ScriptedAgent
from tests.sockets import Scene, run, until


@contextlib.asynccontextmanager
async def connected(agent: ScriptedAgent, log: Callable[[str], None] = lambda text: None) -> Any:
    instance, client = create_simulated_instance(
        "app-0", ("127.0.0.1", agent.port), "token", boot="boot", rng=random.Random(1), log=log)
    task = asyncio.create_task(client.run())
    try:
        yield instance, client
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        agent.stop()


def test_it_sends_hello_heartbeats_and_results() -> None:
    async def test() -> None:
        agent = await ScriptedAgent(Welcome(5_000, 20, 10)).start()
        async with connected(agent) as (instance, _):
            await until(lambda: len(agent.heartbeats()) >= 3)
            hello = agent.received[0]
            assert isinstance(hello, Hello) and (hello.name, hello.boot, hello.token) == ("app-0", "boot", "token")
            assert [beat.seq for beat in agent.heartbeats()[:3]] == [1, 2, 3]
            assert (await agent.command("1.0.1", 4, "drain")).status == "applied" and instance.draining
            await until(lambda: agent.heartbeats()[-1].report.draining and agent.heartbeats()[-1].report.fence == 4)

    run(test)


def test_a_redelivered_command_is_answered_without_running_again() -> None:
    async def test() -> None:
        agent = await ScriptedAgent().start()
        async with connected(agent) as (instance, _):
            await until(lambda: agent.received)
            for _ in range(3):
                result = await agent.command("1.0.1", 4, "reconfigure", generation=2, overlay={"settings": {}})
                assert result.status == "applied"
            assert instance.effects == ["generation 2"]
            assert "superseded" in (await agent.command("0.0.1", 3, "drain")).detail
            assert "another process" in (await agent.command("2.0.1", 9, "drain", boot="older")).detail
            assert instance.effects == ["generation 2"]

    run(test)


def test_a_command_redelivered_on_a_new_connection_does_not_run_again() -> None:
    async def test() -> None:
        agent = await ScriptedAgent().start()
        async with connected(agent) as (instance, _):
            await until(lambda: agent.received)
            agent.send(Command("1.0.1", 4, "boot", "drain"))
            await until(lambda: instance.effects)
            agent.writers[-1].transport.abort()
            await until(lambda: len(agent.writers) == 2 and isinstance(agent.received[-1], Hello))
            assert [m.fence for m in agent.received if isinstance(m, Hello)] == [0, 4]
            assert (await agent.command("1.0.1", 4, "drain")).status == "applied"
            assert instance.effects == ["drain"]

    run(test)


@pytest.mark.parametrize(("args", "status", "words"), [
    ({"generation": "1", "overlay": {}}, "refused", "generation: expected a whole number"),
    ({"generation": True, "overlay": {}}, "refused", "generation: expected"),
    ({"generation": 1, "overlay": [1]}, "refused", "overlay: expected an object"),
    ({"generation": 1}, "refused", "overlay: expected an object, got None"),
    ({"generation": 1, "overlay": {"name": "other"}}, "refused", "name: expected no key"),
    ({"generation": 1, "overlay": {"settings": {"self-index": 3}}}, "refused", "settings.self-index"),
    ({"generation": 1, "overlay": {"settings": 3}}, "refused", "settings: expected an object"),
    ({"generation": 1, "overlay": {"restart": 1}}, "needs restart", "listen"),
])
def test_an_impossible_reconfigure_reports_the_reason(args: dict[str, Any], status: str, words: str) -> None:
    async def test() -> None:
        agent = await ScriptedAgent().start()
        async with connected(agent) as (instance, _):
            await until(lambda: agent.received)
            result = await agent.command("1.0.1", 4, "reconfigure", **args)
            assert result.status == status and words in result.detail
            assert instance.effects == [] and instance.generation == 0

    run(test)


def test_an_exception_in_a_command_is_reported_as_failed_and_the_session_continues(
        capsys: pytest.CaptureFixture[str]) -> None:
    async def test() -> None:
        agent = await ScriptedAgent().start()
        async with connected(agent) as (instance, _):
            def broken(what: str) -> None:
                raise RuntimeError("a bug")

            instance.before_effect = broken
            await until(lambda: agent.received)
            result = await agent.command("1.0.1", 4, "drain")
            assert (result.status, result.detail) == ("failed", "RuntimeError: a bug")
            instance.before_effect = lambda what: None
            assert (await agent.command("1.0.2", 4, "drain")).status == "applied"

    run(test)
    assert "a bug" in capsys.readouterr().err


INVALID_GREETINGS: list[bytes | Message] = [
    b"HTTP/1.1 400 Bad Request\r\n\r\n", b"\xff" * 4000, encode_frame({"type": "welcome"}),
    encode_frame(serialize_message(LeaseRenewal(1))), encode_frame(serialize_message(Command("1", 1, "boot", "drain"))),
    encode_frame(serialize_message(Welcome(10, 1_000, 0))), encode_frame(serialize_message(Welcome(5_000, 0, 0))),
    Denied("TOKEN", "no", 1),
]


@pytest.mark.parametrize("greeting", INVALID_GREETINGS)
def test_an_agent_that_sends_invalid_messages_is_disconnected_and_retried(greeting: bytes | Message) -> None:
    async def test() -> None:
        lines: list[str] = []
        agent = await ScriptedAgent(greeting).start()
        async with connected(agent, lines.append) as (instance, _):
            await until(lambda: len(agent.writers) >= 3)
            assert len(lines) == 1 and "\n" not in lines[0]  # log lines are limited to one in five seconds
            assert instance.effects == []
            agent.greeting = WELCOME
            await until(lambda: agent.heartbeats())

    run(test)


def test_a_silent_agent_is_disconnected_when_the_lease_expires(monkeypatch: pytest.MonkeyPatch) -> None:
    """When the agent's machine disappears, nothing closes the connection: it would stay open for ever."""
    async def test() -> None:
        agent = await ScriptedAgent(Welcome(150, 20, 10)).start()
        async with connected(agent):
            await until(lambda: agent.heartbeats())
            agent.greeting = None  # still reads, but no longer answers
            await until(lambda: len(agent.writers) >= 2)

    run(test)


def test_an_agent_that_sends_no_welcome_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "WELCOME_TIMEOUT_S", 0.05)

    async def test() -> None:
        agent = await ScriptedAgent(None).start()
        async with connected(agent):
            await until(lambda: len(agent.writers) >= 2)

    run(test)


def test_an_agent_that_does_not_read_does_not_fill_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_UNSENT_BYTES", 64 << 10)

    async def never_read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(encode_frame(serialize_message(Welcome(20_000, 10, 10))))
        for i in range(2_000):
            writer.write(encode_frame(serialize_message(Command(f"q{i}", 0, "boot", "inspect"))))
        await asyncio.sleep(20)

    async def test() -> None:
        server = await asyncio.start_server(never_read, "127.0.0.1", 0, limit=1024)
        instance, client = create_simulated_instance(
            "app-0", ("127.0.0.1", server.sockets[0].getsockname()[1]), "t", boot="boot")
        upstreams = instance.upstreams() * 200
        instance.upstreams = lambda: upstreams  # type: ignore[method-assign]
        monkeypatch.setattr("ironscale.control.pacing.MAX_LOOP_SHARE", 1.0)
        task = asyncio.create_task(client.run())
        await until(lambda: client.session is not None and client.session.transport is not None
                    and client.session.transport.get_write_buffer_size() > 64 << 10)
        await asyncio.sleep(0.3)
        assert client.session is not None and client.session.transport is not None
        assert client.session.transport.get_write_buffer_size() < 256 << 10
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.close()

    run(test)


def test_a_long_inspection_is_sent_in_parts() -> None:
    async def test() -> None:
        agent = await ScriptedAgent().start()
        async with connected(agent) as (instance, _):
            upstreams = [{**instance.upstreams()[0], "name": f"node-{i}"} for i in range(1_234)]
            instance.upstreams = lambda: upstreams
            await until(lambda: agent.received)
            agent.send(Command("q1", 0, "boot", "inspect"))
            await until(lambda: agent.results() and not agent.results()[-1].more)
            parts = agent.results()
            assert len(parts) == 13 and max(len(part.data) for part in parts) == module.UPSTREAMS_PER_PART
            assert [u["name"] for part in parts for u in part.data] == [f"node-{i}" for i in range(1_234)]
            assert [part.report is None for part in parts] == [True] * 12 + [False]

    run(test)


# With a real sidecar


def client_of_sidecar(scene: Scene, agent: ScriptedAgent) -> tuple[SidecarInstance, AgentClient]:
    instance = SidecarInstance(scene.sidecar, lambda: None)
    identity = Identity("n0", "boot", 1, "0", 1, "", f"127.0.0.1:{scene.port}", "token")
    return instance, AgentClient(instance, identity, ("127.0.0.1", agent.port), random.Random(2), lambda text: None)


async def send_traffic(scene: Scene, statuses: Counter[int], stop: asyncio.Event) -> None:
    class_names = ("view", "mark", "pay")
    call_number = 0
    while not stop.is_set():
        call_number += 1
        statuses[(await scene.call(class_names[call_number % 3])).status] += 1


def has_answered(statuses: Counter[int], minimum: int) -> bool:
    return sum(statuses.values()) >= minimum


@pytest.mark.parametrize("what", ["connection lost", "invalid frames", "commands", "never reachable"])
def test_traffic_continues_whatever_the_agent_does(what: str) -> None:
    async def test() -> None:
        peers = [await Peer().start() for _ in range(4)]
        scene = await Scene().start(*(peer.entry(f"s-{i}") for i, peer in enumerate(peers)))
        agent = await ScriptedAgent(b"\x00\x00\x00\x05junk!" if what == "invalid frames" else WELCOME).start()
        if what == "never reachable":
            agent.stop()
        _, client = client_of_sidecar(scene, agent)
        control, stop, statuses = asyncio.create_task(client.run()), asyncio.Event(), Counter[int]()
        callers = [asyncio.create_task(send_traffic(scene, statuses, stop)) for _ in range(3)]
        if what != "never reachable":
            await until(lambda: agent.received)
        for generation in range(1, 30):
            if what == "commands":
                classes = [{**c, "aim": 4_000_000 - generation} for c in SETTINGS["request-classes"]]
                result = await agent.command(f"{generation}.0.1", generation, "reconfigure", generation=generation,
                                             overlay={"settings": {"request-classes": classes}})
                assert (result.status, scene.sidecar.config.layers.generation) == ("applied", generation)
            elif what == "connection lost":
                for writer in agent.writers:
                    writer.transport.abort()
            done = sum(statuses.values())
            await until(partial(has_answered, statuses, done + 10))
        stop.set()
        await asyncio.gather(*callers)
        control.cancel()
        await asyncio.gather(control, return_exceptions=True)
        assert set(statuses) == {200}
        runs = Counter(message.headers["x-txn"] for peer in peers for message in peer.got)
        assert len(runs) == sum(statuses.values()) and set(runs.values()) == {1}
        assert client.work_limiter.longest_step_s < 0.5
        agent.stop()

    run(test)


def test_a_drain_refuses_new_requests_and_answers_accepted_ones() -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        agent = await ScriptedAgent().start()
        instance, client = client_of_sidecar(scene, agent)
        control = asyncio.create_task(client.run())
        held = asyncio.create_task(scene.call("pay"))
        await until(lambda: peer.got and agent.received)
        probe = b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"
        assert (await scene.send(probe)).status == 200
        assert (await agent.command("1.0.1", 1, "drain")).status == "applied"
        assert (await scene.send(probe)).status == 503
        refused = await scene.call("pay")
        assert refused.status == 503 and float(refused.headers["retry-after"]) > 0
        assert instance.report(0).open == 1 and instance.report(0).refusals == {"draining": 1}
        peer.behave = reply(ok())
        peer.answer_held(ok())
        assert (await held).status == 200 and len(peer.got) == 1
        await until(lambda: instance.report(0).open == 0)
        assert (await agent.command("2.0.1", 2, "undrain")).status == "applied"
        assert (await scene.call()).status == 200
        assert [(c.name, c.served, c.refused) for c in instance.report(0).classes] == [
            ("view", 1, 0), ("pay", 1, 1), ("mark", 0, 0)]
        control.cancel()
        await asyncio.gather(control, return_exceptions=True)
        agent.stop()

    run(test)


@pytest.mark.parametrize(("overlay", "status", "words"), [
    ({"settings": {"instances": "many"}}, "refused", "setting instances: expected a number"),
    ({"settings": None}, "refused", "settings: expected an object"),
    ({"limits": {"sockets": 3}}, "refused", "limits.sockets: expected 64 or more"),
    ({"settings": {"request-classes": None}}, "refused", "request-classes.count is missing"),
    ({"discovery": "nowhere"}, "refused", "discovery: expected HOST:PORT"),
    ({"settings": {"request-classes": SETTINGS["request-classes"][:2]}}, "needs restart", "'mark' is taken away"),
    ({"settings": {"areas": ["b", "a"]}}, "needs restart", "areas"),
])
def test_a_reconfigure_is_all_or_nothing(overlay: dict[str, Any], status: str, words: str) -> None:
    async def test() -> None:
        scene = await Scene().start((await Peer().start()).entry("s-1"))
        agent = await ScriptedAgent().start()
        instance, client = client_of_sidecar(scene, agent)
        control = asyncio.create_task(client.run())
        await until(lambda: agent.received)
        good = {"settings": {"bounds": {"max-retry-after": 7_000}}, "limits": {"sockets": 100}}
        assert (await agent.command("1.0.1", 1, "reconfigure", generation=1, overlay=good)).status == "applied"
        sidecar = scene.sidecar

        def state() -> tuple[object, ...]:
            return (sidecar.config.layers.generation, sidecar.config, sidecar.balancer.settings,
                    sidecar.server.max_connections)

        before = state()
        assert sidecar.balancer.settings.max_retry_after_us == 7_000 and sidecar.server.max_connections == 34
        result = await agent.command("2.0.1", 2, "reconfigure", generation=2, overlay={**good, **overlay})
        assert result.status == status and words in result.detail
        assert state() == before
        assert (await scene.call()).status == 200
        back = await agent.command("3.0.1", 3, "reconfigure", generation=0, overlay={})
        assert back.status == "applied" and sidecar.balancer.settings.max_retry_after_us == 1_000_000
        control.cancel()
        await asyncio.gather(control, return_exceptions=True)
        agent.stop()

    run(test)


def test_a_stop_command_is_acknowledged_before_a_graceful_shutdown() -> None:
    async def test() -> None:
        agent = await ScriptedAgent().start()
        async with connected(agent) as (instance, client):
            assert isinstance(instance, SimulatedInstance)
            await until(lambda: agent.received)
            assert (await agent.command("1.0.1", 1, "stop")).detail == "ending" and instance.stopped
            client.send_goodbye("ended")
            await until(lambda: isinstance(agent.received[-1], Goodbye))

    run(test)
