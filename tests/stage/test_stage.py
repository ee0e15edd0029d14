"""Real agents and sidecars under schedules drawn by seed: the invariants hold, and planted faults are found by them."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from ironscale.stage.checkers import account, check
from ironscale.stage.fault_scenario import Event, Limit, World, WorldError, drawn, parse, shrunk, written
from ironscale.stage.history import Entry, History, load
from ironscale.stage.relay import Relay
from ironscale.stage.run import ANSWER_S, Stage, played
from ironscale.standins.upstream import Peer
from tests.slow_disk import measured_syncs
from tests.sockets import run

USUAL = World(seconds=5.0, sidecars=5)
# Enough of everything that each planted fault shows by itself: drains and scripts that all want out at once.
BUSY = replace(USUAL, seconds=4.0, events=tuple(
    Event(200 + 100 * n, kind, f"sidecar-{who}", 1_500) for n, (kind, who) in enumerate(
        (("drain", 0), ("drain", 2), ("drain", 4), ("drain", 1), ("drain", 3), ("script", 0), ("drain", 2),
         ("script", 4)))))

MAX_PLAYS = 3
STANDSTILL_S = 0.5


@pytest.mark.parametrize("seed", [11, 12, 13])
def test_drawn_schedules_hold(seed: int, tmp_path: Path) -> None:
    world = drawn(USUAL, seed, 18)
    for number in range(MAX_PLAYS):
        folder = tmp_path / f"play-{number}"
        with measured_syncs(tmp_path) as syncs:
            entries = asyncio.run(played(world, folder)).entries
        assert check(world, entries) == [], f"seed {seed}\n{written(world)}"
        assert load(folder / "history.jsonl") == entries
        assert check(world, load(folder / "history.jsonl")) == []
        found = account(entries)
        if found["taken out"] and found["faults"] and found["permits"]:
            return
        # the agents' record stood still with the disk, so little happened in the play's time
        assert syncs.longest_s > STANDSTILL_S, (found, syncs)
    raise AssertionError((found, syncs))


# Guards against a sidecar that is called out because the stage itself had no processor.
@pytest.mark.parametrize("sidecar_answers", [True, False])
@pytest.mark.parametrize("stage_stalls", [True, False])
def test_a_stage_that_stands_still_calls_nobody_out(sidecar_answers: bool, stage_stalls: bool) -> None:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        if sidecar_answers:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        else:
            await asyncio.sleep(2 * ANSWER_S)
        writer.close()

    async def test() -> None:
        async with await asyncio.start_server(answer, "127.0.0.1", 0) as server:
            look = asyncio.create_task(Stage.serves(server.sockets[0].getsockname()[1]))
            if stage_stalls:
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                time.sleep(1.2 * ANSWER_S)
            assert await look is sidecar_answers

    run(test)


@pytest.mark.parametrize("fault", ["sends_without_a_permit", "one_budget_of_two", "grants_all_that_wait"])
def test_a_planted_fault_is_found_by_one_schedule(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(Path(__file__).parents[2])
    command = (sys.executable, "-m", "tests.stage.planted_faults", fault)
    entries = asyncio.run(played(BUSY, None, command)).entries
    assert any("budget" in wrong or "no permit" in wrong for wrong in check(BUSY, entries))


def test_nothing_is_left_of_a_play(tmp_path: Path) -> None:
    descriptors, history = len(os.listdir("/proc/self/fd")), History()
    stage = Stage(replace(USUAL, seconds=0.5, sidecars=2), tmp_path, history)
    asyncio.run(stage.play())
    assert [entry["left"] for entry in history.entries if entry["kind"] == "end"] == [""]
    assert len(os.listdir("/proc/self/fd")) <= descriptors + 1
    started = [process.running for process in (*stage.agents, *stage.sidecars)]
    assert len(started) == 5 and all(one is not None and one.returncode is not None for one in started)


# The checkers, by histories made by hand


def entry(at_ms: int, kind: str, **data: Any) -> Entry:
    return {"at_us": at_ms * 1000, "kind": kind, **data}


def truth(who: int, serves: bool, *at_ms: int) -> list[Entry]:
    return [entry(at, "truth", who=f"sidecar-{who}", serves=serves, asked_us=at * 1000 - 500) for at in at_ms]


def permit(ident: int, who: int, phase: str, at_ms: int) -> Entry:
    return entry(at_ms, "permit", id=ident, phase=phase, units=[f"sidecar/sidecar-{who}"], holder="ann")


ONE = World(limits=(Limit("all", 1),), lease_s=1.0)


def told(*entries: Entry | list[Entry]) -> list[str]:
    flat = [e for found in entries for e in (found if isinstance(found, list) else [found])]
    return check(ONE, [*sorted(flat, key=lambda e: int(e["at_us"])), entry(60_000, "end", left="")])


def test_what_is_out_at_the_same_time_is_counted_and_what_follows_is_not() -> None:
    first = [permit(1, 0, "held", 10), *truth(0, False, 50, 500, 900), *truth(0, True, 1_000)]
    assert told(first, permit(2, 1, "held", 1_001), truth(1, False, 1_010, 1_500), truth(1, True, 1_600)) == []
    assert told(first, permit(2, 1, "held", 400), truth(1, False, 450, 700), truth(1, True, 800)) == [
        "0.450 s: budget all: 2 out of 1: sidecar-0, sidecar-1"]


def test_a_loss_is_borne_until_it_could_be_seen_and_then_counts() -> None:
    lost = [entry(100, "fault", fault="kill", who="sidecar-0", for_ms=9_000), *truth(0, False, 110, 5_000, 9_000),
            *truth(0, True, 9_500)]
    assert told(lost, permit(1, 1, "held", 1_000), truth(1, False, 1_050, 1_400), truth(1, True, 1_500)) == []
    assert len(told(lost, permit(1, 1, "held", 4_000), truth(1, False, 4_050, 4_400), truth(1, True, 4_500))) == 1
    # granted before the loss could be seen, and acted on late: that is what the permit allowed
    assert told(lost, permit(1, 1, "held", 1_000), truth(1, False, 4_050, 4_400), truth(1, True, 4_500)) == []


def test_who_is_out_without_a_permit_is_told_and_so_is_one_that_is_too_late() -> None:
    assert told(truth(0, False, 100, 200)) == ["0.100 s: sidecar-0 was taken out with no permit on the record"]
    assert told(permit(1, 0, "held", 2_000), truth(0, False, 100, 200)) != []
    assert told(permit(1, 0, "held", 10), permit(1, 0, "gone", 50), truth(0, False, 100, 200)) != []


def test_terms_rise_and_have_one_holder() -> None:
    def term(at_ms: int, epoch: int, place: str) -> Entry:
        return entry(at_ms, "term", epoch=epoch, place=place)

    assert told(term(1, 1, "a"), term(2, 2, "b"), term(3, 3, "a")) == []
    assert told(term(1, 2, "a"), term(2, 1, "b")) == ["0.002 s: term 1 after 2"]
    assert told(term(1, 2, "a"), term(2, 2, "b")) == ["0.002 s: term 2 has two holders"]
    assert check(ONE, [entry(5, "end", left="x")]) == ["0.005 s: not back by itself: x"]
    assert check(ONE, []) == ["the history has no end"]


# Worlds


def test_a_world_is_written_as_it_is_read_and_drawn_alike_by_one_seed() -> None:
    world = drawn(World(), 5)
    assert parse(written(world), "w.toml") == world == drawn(World(), 5) != drawn(World(), 6)


@pytest.mark.parametrize(("text", "wrong"), [
    ("agents = 9", "w.toml: agents: expected a whole number from 1 to 5, got 9"),
    ("agent = 3", "w.toml: agent: expected one of"),
    ('[[event]]\nat_ms = 1\nkind = "burn"\nwho = "agent-0"', "event[0].kind: expected one of kill, stop"),
    ('[[event]]\nat_ms = 1\nkind = "kill"\nwho = "agent-3"', "event[0].who: expected agent-0 to agent-2 or sidecar-0"),
    ('[[event]]\nat_ms = 1\nkind = "drain"\nwho = "agent-0"',
     "event[0].who: expected a sidecar, as drain is about one"),
    ('[[event]]\nat_ms = 9000\nkind = "drain"\nwho = "sidecar-0"', "at_ms: expected a whole number from 0 to 8000"),
    ('[[budget]]\nname = "a"\nnumber = 0', "budget[0].number: expected a whole number from 1 to 40, got 0"),
])
def test_a_world_that_cannot_be_played_is_told_in_one_line(text: str, wrong: str) -> None:
    with pytest.raises(WorldError) as found:
        parse(text, "w.toml")
    assert wrong in str(found.value) and "\n" not in str(found.value)


def test_a_schedule_is_cut_down_to_what_still_fails() -> None:
    events = tuple(Event(n, "kill", f"sidecar-{n % 5}") for n in range(20))
    needed = {events[3], events[14]}
    asked = []

    def fails(some: tuple[Event, ...]) -> bool:
        asked.append(some)
        return needed <= set(some)

    assert set(shrunk(events, fails, 200)) == needed
    assert len(shrunk(events, fails, 5)) < 20 and all(asked)


# Links


def test_a_link_holds_one_way_both_ways_and_breaks() -> None:
    async def test() -> None:
        peer = await Peer().start()
        relay = await Relay(("127.0.0.1", peer.port)).start()
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)

        async def ask() -> bytes:
            writer.write(b"GET / HTTP/1.1\r\nX-Txn: a\r\n\r\n")
            return await asyncio.wait_for(reader.read(100), 0.3)

        assert b"200" in await ask()
        relay.mute()
        with pytest.raises(TimeoutError):
            await ask()
        assert peer.executions["a"] == 2  # it went there, and the answer is held
        relay.mend()
        assert b"200" in await asyncio.wait_for(reader.read(100), 5)
        relay.deaf()
        with pytest.raises(TimeoutError):
            await ask()
        assert peer.executions["a"] == 2
        relay.mend()
        assert b"200" in await asyncio.wait_for(reader.read(100), 5)
        relay.reset()
        with pytest.raises(ConnectionError):
            while await reader.read(100):
                pass
            raise ConnectionResetError
        relay.close()
        writer.close()
        await peer.stop()

    run(test)
