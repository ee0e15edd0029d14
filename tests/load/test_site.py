"""The site of stand-ins: each fault is what its name says, and the account of what ran is true."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import pytest

from ironscale.standins.http import Message, read_message
from ironscale.standins.site import Site
from tests.sockets import run, until


class Scene:
    def __init__(self, *faults: dict[str, Any], count: int = 1, work_us: int = 0, **shape: Any) -> None:
        self.told: list[dict[str, Any]] = []
        self.site = Site(
            {
                "kinds": [{"name": "view", "work_us": [work_us, work_us]}],
                "memory_us": 10_000_000,
                "faults": list(faults),
                "upstreams": [{"zone": "a", "kind": "k", "cell": 1, "shape": shape} for _ in range(count)],
            },
            self.told.append,
        )

    async def start(self) -> Scene:
        await self.site.start()
        self.site.begin(time.monotonic_ns())
        return self

    async def open(self, which: int = 0) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.site.upstreams[which].port)

    async def ask(self, ident: str, key: str = "", which: int = 0, connection: Any = None) -> Message:
        reader, writer = connection or await self.open(which)
        writer.write(request(ident, key))
        return await read_message(reader)

    def happened(self, what: str) -> bool:
        return any(t.get("mark") == what for t in self.told)

    async def listed(self) -> dict[str, Any]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.site.discovery.port)
        writer.write(b"GET /registry/instances HTTP/1.1\r\n\r\n")
        body = (await read_message(reader)).body
        writer.close()
        return {entry["instanceId"]: entry for entry in json.loads(body)["instances"]}


def request(ident: str, key: str = "") -> bytes:
    extra = f"Idempotency-Key: {key}\r\n" if key else ""
    return f"GET /api HTTP/1.1\r\nX-Txn: {ident}\r\nX-Lane: view\r\n{extra}\r\n".encode()


def fault(
    kind: str, at_us: int = 0, for_us: int = 3_600_000_000, *upstreams: int, factor: float = 3.0
) -> dict[str, Any]:
    return {"kind": kind, "at_us": at_us, "for_us": for_us, "upstreams": upstreams or (0,), "factor": factor}


def test_what_ran_is_counted_by_id_and_repeats_are_dropped() -> None:
    async def test() -> None:
        scene = await Scene(count=2).start()
        assert (await scene.ask("a-0-0")).body == b"a-0-0"
        await scene.ask("a-1-0")
        await scene.ask("a-1-0", which=1)
        await scene.ask("a-2-0", "k")
        assert (await scene.ask("a-2-1", "k", 1)).body == b"a-2-1"  # the same cell: answered, not run again
        truth = scene.site.truth()
        assert sorted(truth["once"].split("\n")) == ["a-0-0", "a-2-0"] and truth["more"] == {"a-1-0": 2}
        assert [u["repeats"] for u in truth["upstreams"]] == [0, 1]

    run(test)


def test_a_pause_holds_all_and_lets_go_of_all() -> None:
    async def test() -> None:
        scene = await Scene(fault("pause", 0, 400_000), work_us=1_000).start()
        await until(lambda: scene.happened("pause"))
        old, new = await asyncio.gather(scene.ask("a-0-0"), scene.ask("a-1-0"))
        assert (old.body, new.body) == (b"a-0-0", b"a-1-0")
        assert scene.happened("pause ends")  # held till then: an answer before it would find no such mark
        # by the timeline and not by the other mark, which comes late where the loop has no CPU
        marks = {t["mark"]: t["at_us"] for t in scene.told if "mark" in t}
        assert marks["pause"] >= 0 and marks["pause ends"] >= 400_000

    run(test)


@pytest.mark.parametrize(
    ("kind", "ran"), [("silent", 1), ("reset", 0), ("half", 1), ("turn_away", 0), ("error", 1), ("twice", 1)]
)
def test_faults_in_answers(kind: str, ran: int) -> None:
    async def test() -> None:
        scene = await Scene(fault(kind)).start()
        await until(lambda: scene.happened(kind))
        reader, writer = await scene.open()
        writer.write(request("a-0-0"))
        if kind == "silent":
            await until(lambda: scene.site.upstreams[0].taken == 1)
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(1), 0.2)
        elif kind == "reset":
            with pytest.raises(ConnectionResetError):
                await reader.readexactly(1)
        elif kind == "half":
            assert (await reader.read()).endswith(b"\r\n\r\na-0")
        else:
            message = await read_message(reader)
            assert message.status == {"turn_away": 503, "error": 500, "twice": 200}[kind]
            assert message.headers.get("x-turned-away") == ("1" if kind == "turn_away" else None)
            if kind == "twice":
                assert (await read_message(reader)).body == b"a-0-0"
        assert scene.site.executions["a-0-0"] == ran

    run(test)


def test_slow_and_refusing_servers_mend() -> None:
    async def test() -> None:
        scene = await Scene(fault("slow", factor=100.0), fault("refuse", 0, 300_000, 1), count=2, work_us=2_000).start()
        await until(lambda: scene.happened("slow") and scene.happened("refuse"))
        start_s = time.monotonic()
        await scene.ask("a-0-0")
        assert time.monotonic() - start_s >= 0.19
        with pytest.raises(ConnectionError):
            while not scene.happened("refuse ends"):
                await scene.ask("a-1-0", which=1)
        await until(lambda: scene.happened("refuse ends"))
        await scene.ask("a-2-0", which=1)
        assert (await scene.listed())["s-1"]["startedAtMs"] == 0  # the same process, only deaf for a while

    run(test)


def test_a_restart_is_listed_and_comes_back_cold_without_what_it_had() -> None:
    async def test() -> None:
        scene = await Scene(
            fault("restart", 200_000, 200_000), work_us=60_000_000, cold_share=0.1, warm_up_us=9_000_000
        ).start()
        reader, writer = await scene.open()
        writer.write(request("a-0-0"))
        await until(lambda: scene.happened("restart"))
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await read_message(reader)
        await until(lambda: scene.happened("restart ends"))
        listed = (await scene.listed())["s-0"]
        assert listed["lifecycle"] == "ready" and abs(listed["startedAtMs"] / 1000 - time.time()) < 20
        machine = scene.site.upstreams[0].machine
        assert machine.running == 0 and machine.warmth(time.monotonic_ns() // 1000) < 1.0

    run(test)


def test_requests_after_a_drain_was_told_are_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    from ironscale.standins import site as module

    monkeypatch.setattr(module, "DRAIN_GRACE_US", 100_000)

    async def test() -> None:
        scene = await Scene(fault("drain"), work_us=0).start()
        await until(lambda: scene.happened("drain"))
        assert (await scene.listed())["s-0"]["lifecycle"] == "draining"
        await scene.ask("a-0-0")
        early = scene.site.upstreams[0].after_drain
        await asyncio.sleep(0.15)
        await scene.ask("a-1-0")
        assert scene.site.truth()["upstreams"][0]["after_drain"] == early + 1

    run(test)


def test_a_cold_server_sent_too_much_falls_over_for_good() -> None:
    async def test() -> None:
        scene = await Scene(
            work_us=100_000, cold_share=0.1, warm_up_us=3_600_000_000, fall_us=100_000, queue=1_000
        ).start()
        up = scene.site.upstreams[0]
        up.machine.started_us = time.monotonic_ns() // 1000 - 1_000_000
        connections = [await scene.open() for _ in range(20)]
        for i, (_, writer) in enumerate(connections):
            writer.write(request(f"a-{i}-0"))
        await until(lambda: scene.happened("fell"))
        with pytest.raises(ConnectionError):
            while True:
                await scene.open()
        assert scene.site.truth()["upstreams"][0]["fell"] is True

    run(test)


def test_a_full_queue_turns_away_and_waiting_work_of_those_who_left_is_dropped() -> None:
    async def test() -> None:
        scene = await Scene(work_us=300_000, queue=1).start()
        up = scene.site.upstreams[0]
        first, second = await scene.open(), await scene.open()
        first[1].write(request("a-0-0"))
        await until(lambda: up.machine.running == 1)
        second[1].write(request("a-1-0"))
        await until(lambda: len(up.machine.queue) == 1)
        assert (await scene.ask("a-2-0")).status == 503
        second[1].transport.abort()
        assert (await read_message(first[0])).body == b"a-0-0"
        await until(lambda: not up.machine.queue)
        assert dict(scene.site.executions) == {"a-0-0": 1}

    run(test)
