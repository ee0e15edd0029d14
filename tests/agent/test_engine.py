"""An agent and simulated instances over sockets: operations, races, lost processes, a record that can't be written."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from ironscale.agent import planner
from ironscale.agent.model import Kind, Phase, Policy, State
from ironscale.agent.refusal import Refusal
from ironscale.agent.sqlite import SqliteStore
from ironscale.agent.store import StoreError
from ironscale.control.frames import encode_frame
from ironscale.control.messages import PROTOCOL, CommandResult, Hello, serialize_message
from tests.agent.agent_harness import run, scene, until
from tests.sockets import free_port


def test_a_rollout_reaches_every_instance_once_in_waves(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(30)
            ident = await s.begin(policy=Policy(wave=10, max_unavailable=4))
            op, targets = await s.end(ident)
            assert op.phase is Phase.SUCCEEDED and op.generation == 1
            assert {t.state for t in targets} == {State.APPLIED}
            assert all(i.generation == 1 and i.effects == ["generation 1"] for i in s.instances.values())
            assert {m.row.desired for m in s.agent.fleet.members.values()} == {1}
            events = await s.engine.events(0, 500)
            assert Counter(e.result for e in events if e.action == "reconfigure") == {
                "begun": 1, "applied": 30, "succeeded": 1}

    run(test)


def test_drain_and_undrain_and_stop(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(3)
            s.instances["i0001"].open = 1  # a request still open
            ident = await s.begin(Kind.DRAIN)
            await until(lambda: s.instances["i0001"].draining)
            await asyncio.sleep(0.3)
            assert s.engine.live_operations[ident].targets[1].state is State.UNDER_WAY
            s.instances["i0001"].open = 0
            assert set((await s.states(ident)).values()) == {State.APPLIED}
            assert set((await s.states(await s.begin(Kind.UNDRAIN))).values()) == {State.APPLIED}
            ident = await s.begin(Kind.STOP, ["i0000"])
            await until(lambda: s.instances["i0000"].stopped)
            client = s.clients["i0000"]
            client.send_goodbye("ended")
            await asyncio.sleep(0.05)
            s.kill("i0000")
            assert await s.states(ident) == {"i0000": State.APPLIED}

    run(test)


@pytest.mark.parametrize("seed", range(4))
def test_instances_lost_during_a_command_are_never_reported_as_applied(seed: int, tmp_path: Path) -> None:
    """The reported state of each target equals what its process actually runs, and whether it is alive."""
    async def test() -> None:
        rng = random.Random(seed)
        async with scene(tmp_path, seed, lease_s=1.0) as s:
            await s.start_many(40)
            victims = set(rng.sample(sorted(s.instances), 20))
            killers: list[asyncio.Task[None]] = []

            async def kill_later(name: str) -> None:
                await asyncio.sleep(rng.random() * 0.05)
                s.kill(name)

            for name in victims:
                instance = s.instances[name]
                if rng.random() < 0.5:
                    # applies the change, and dies before it can answer
                    def die(what: str, name: str = name) -> None:
                        asyncio.get_running_loop().call_soon(s.kill, name)
                        s.cut(name)

                    instance.before_effect = die
                else:
                    killers.append(asyncio.create_task(kill_later(name)))
            ident = await s.begin(policy=Policy(wave=10, max_failures=40))
            op, targets = await s.end(ident)
            assert op.phase is Phase.PARTIAL
            for target in targets:
                if target.name in victims:
                    assert target.state is State.NO_ANSWER and target.since_ms > 0, (seed, target)
                else:
                    assert target.state is State.APPLIED and s.instances[target.name].generation == 1, (seed, target)
            await asyncio.gather(*killers)

    run(test)


def test_two_operators_racing_have_one_winner_each_round(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(2)
            rng = random.Random(5)
            for generation in range(200):
                racers = ["ann", "bob"]
                rng.shuffle(racers)
                results = await asyncio.gather(*(
                    s.begin(actor=actor, overlay={"settings": {"instances": 2 + (actor == "bob")}}, expect=generation)
                    for actor in racers), return_exceptions=True)
                won = [result for result in results if isinstance(result, int)]
                lost = [result for result in results if isinstance(result, Refusal)]
                assert len(won) == len(lost) == 1
                found = await s.engine.find(won[0])
                assert found is not None
                told = lost[0]
                assert told.code == "CONFLICT" and told.details["actor"] == found[0].actor
                assert told.details["generation"] == generation + 1 and told.details["atMs"] == found[0].created_ms
                assert len(told.details["difference"]) == 1 and "settings.instances" in told.details["difference"][0]
                op, _ = await s.end(won[0])
                assert op.phase is Phase.SUCCEEDED
            assert {i.generation for i in s.instances.values()} == {200}
            assert all(i.effects == [f"generation {g}" for g in range(1, 201)] for i in s.instances.values())

    run(test)


def test_concurrent_applies_over_the_api_have_one_winner_and_the_key_is_idempotent(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(2)
            mutation = "mutation($input: ApplyInput!) { apply(input: $input) { id generation } }"
            for generation in range(20):
                inputs = [{"overlay": {"settings": {"instances": n}}, "expectGeneration": generation,
                           "idempotencyKey": f"{n}-{generation}"} for n in (2, 3)]
                answers = await asyncio.gather(*(s.ask(mutation, input=i) for i in (*inputs, *inputs)))
                ids = [a["data"]["apply"]["id"] for a in answers if a.get("data")]
                codes = [a["errors"][0]["extensions"]["code"] for a in answers if a.get("errors")]
                assert len(set(ids)) == 1 and len(ids) == 2 and codes == ["CONFLICT"] * 2
                overlay = await s.engine.overlay(generation + 1)
                winner = [given for given in inputs if given["overlay"] == overlay][0]
                assert (await s.ask(mutation, input=winner))["data"]["apply"]["id"] == ids[0]
                await s.end(ids[0])
            other = await s.ask(mutation, input={"overlay": {"settings": {"instances": 9}}, "expectGeneration": 20,
                                                 "idempotencyKey": "2-0"})
            assert other["errors"][0]["extensions"]["code"] in ("KEY_REUSED", "CONFLICT") or other["data"]

    run(test)


def test_an_open_operation_on_the_same_instances_is_a_conflict_unless_superseded(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(4)
            for instance in s.instances.values():
                instance.open = 1
            first = await s.begin(Kind.DRAIN, ["i0000", "i0001"])
            with pytest.raises(Refusal, match="operation 1 \\(drain\\) of ann has 1 of these") as found:
                await s.begin(Kind.UNDRAIN, ["i0001", "i0002"], actor="bob")
            assert found.value.details["instances"] == ["i0001"]
            assert await s.states(await s.begin(Kind.UNDRAIN, ["i0002"], actor="bob")) == {"i0002": State.APPLIED}
            second = await s.begin(Kind.UNDRAIN, ["i0001"], actor="bob", supersede=True)
            assert await s.states(second) == {"i0001": State.APPLIED}
            s.instances["i0000"].open = 0
            assert await s.states(first) == {"i0000": State.APPLIED, "i0001": State.SUPERSEDED}
            assert not s.instances["i0001"].draining and s.instances["i0000"].draining

    run(test)


def test_restarted_instance_is_commanded_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(3)
            boots: list[str] = []

            def restart(what: str) -> None:
                s.instances["i0001"].before_effect = lambda what: None
                boots.append(s.clients["i0001"].identity.boot)
                s.cut("i0001")
                asyncio.get_running_loop().call_soon(lambda: s.start("i0001"))

            s.instances["i0001"].before_effect = restart
            ident = await s.begin()
            op, targets = await s.end(ident)
            assert op.phase is Phase.SUCCEEDED and targets[1].tries == 2
            assert s.instances["i0001"].generation == 1 and targets[1].boot != boots[0]

    run(test)


def test_a_process_that_comes_back_later_catches_up_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, lease_s=0.5) as s:
            await s.start_many(2)
            await s.end(await s.begin())
            new = s.start("i0001")
            await until(lambda: new.generation == 1)
            await asyncio.sleep(1.3)
            ops = await s.engine.store.read(lambda r: r.operations(99, 99))
            assert [(op.actor, op.kind, op.generation) for op in ops] == [
                ("agent", Kind.RECONFIGURE, 1), ("ann", Kind.RECONFIGURE, 1)]

    run(test)


def test_a_duplicate_name_is_turned_away_while_the_first_holds_its_lease(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, lease_s=0.6) as s:
            await s.start_many(1)
            first, task = s.instances["i0000"], s.tasks.pop("i0000")
            lines: list[str] = []
            second = s.start("i0000", log=lines.append)
            await until(lambda: lines)
            assert "denied (DUPLICATE)" in lines[0]
            await s.end(await s.begin(Kind.DRAIN, ["i0000"]))
            assert first.draining and not second.draining
            task.cancel()  # the first ends; the second takes the name once the lease has ended
            await until(lambda: s.agent.fleet.members["i0000"].row.boot == s.clients["i0000"].identity.boot)
            events = await s.engine.events(0, 100)
            assert [e.result for e in events if e.action == "register"] == ["denied: DUPLICATE"]

    run(test)


def test_a_wrong_token_is_denied_and_a_revoked_one_too(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            lines: list[str] = []
            s.start("i0", token="wrong", log=lines.append)
            s.start("i1", token=s.admin, log=lines.append)  # of another role
            await until(lambda: len(lines) == 2)
            assert all("denied (TOKEN)" in line for line in lines) and not s.agent.fleet.members

    run(test)


@pytest.mark.parametrize("raw", [
    b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64, encode_frame({"type": "beat"}),
    encode_frame({**serialize_message(Hello(PROTOCOL, "i9", "b", 1, "0", 1, "", "", "TOKEN", 0, 0)), "fence": "x"}),
    encode_frame(serialize_message(Hello(PROTOCOL + 1, "i9", "b", 1, "0", 1, "", "", "TOKEN", 0, 0))),
    encode_frame(serialize_message(Hello(PROTOCOL, "i9", "b", 1, "0", 1, "", "", "TOKEN", 0, 0))) * 2,
])
def test_invalid_messages_are_denied_without_affecting_other_instances(raw: bytes, tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(2)
            reader, writer = await asyncio.open_connection("127.0.0.1", s.agent.control_port)
            writer.write(raw.replace(b"TOKEN", s.token.encode()) if len(s.token) == 5 else raw)
            data = await reader.read()
            assert b"denied" in data
            writer.close()
            assert set((await s.states(await s.begin(names=["i0000", "i0001"]))).values()) == {State.APPLIED}

    run(test)


def test_garbage_instead_of_an_answer_counts_as_no_answer(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, lease_s=0.5) as s:
            await s.start_many(3)

            def garble(what: str) -> None:
                transport = s.clients["i0001"].session.transport  # type: ignore[union-attr]
                assert transport is not None
                transport.write(b"\x00\x00\x00\x07garbage")
                asyncio.get_running_loop().call_soon(s.kill, "i0001")

            s.instances["i0001"].before_effect = garble
            states = await s.states(await s.begin(policy=Policy(answer_ms=1_500)))
            assert states == {"i0000": State.APPLIED, "i0001": State.NO_ANSWER, "i0002": State.APPLIED}
            assert s.agent.fleet.members["i0001"].row.generation == 0

    run(test)


def test_one_instance_can_not_answer_for_another(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(2)
            s.instances["i0001"].open = 1
            ident = await s.begin(Kind.DRAIN, policy=Policy(answer_ms=60_000))
            await until(lambda: s.instances["i0001"].draining and s.engine.live_operations[ident].targets[1].answered)
            session = s.clients["i0000"].session
            assert session is not None
            for command in (f"{ident}.1.1", f"{ident}.9.9", "x", "99.1.1", f"{ident}."):
                session.send(CommandResult(command, "failed", "by another"))
            await asyncio.sleep(0.3)
            assert [t.state for t in s.engine.live_operations[ident].targets] == [State.APPLIED, State.UNDER_WAY]
            s.instances["i0001"].open = 0
            assert set((await s.states(ident)).values()) == {State.APPLIED}

    run(test)


def test_pause_resume_and_abort(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(6)
            s.instances["i0001"].open = 1
            ident = await s.begin(Kind.DRAIN, policy=Policy(wave=2, answer_ms=60_000))
            await until(lambda: s.instances["i0001"].draining)
            assert (await s.engine.control("bob", ident, "pause")).phase is Phase.PAUSED
            assert (await s.engine.control("bob", ident, "pause")).phase is Phase.PAUSED  # idempotent
            s.instances["i0001"].open = 0
            await until(lambda: s.engine.live_operations[ident].targets[1].state is State.APPLIED)
            await asyncio.sleep(0.2)
            assert not s.instances["i0002"].draining
            s.instances["i0003"].open = 1
            await s.engine.control("ann", ident, "resume")
            await until(lambda: s.instances["i0002"].draining)
            await s.engine.control("ann", ident, "abort")
            with pytest.raises(Refusal, match="only a reconfigure rolls back"):
                await s.engine.control("ann", ident, "rollback")
            s.instances["i0003"].open = 0
            op, targets = await s.end(ident)
            assert op.phase is Phase.ABORTED
            assert [t.state for t in targets] == [State.APPLIED] * 4 + [State.NOT_STARTED] * 2
            with pytest.raises(Refusal, match="has ended: aborted") as found:
                await s.engine.control("ann", ident, "pause")
            assert found.value.code == "ENDED"
            with pytest.raises(Refusal, match="there is no operation 77"):
                await s.engine.control("ann", 77, "pause")

    run(test)


def test_rollback_reverts_all_to_their_former_generation(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(6)
            await s.end(await s.begin())

            def refuse(what: str) -> None:
                raise RuntimeError("no")

            s.instances["i0003"].before_effect = refuse
            ident = await s.begin(overlay={"settings": {"instances": 9}}, expect=1,
                                  policy=Policy(wave=2, on_failure="rollback"))
            await until(lambda: s.engine.live_operations[ident].op.phase is Phase.ROLLING_BACK)
            s.instances["i0003"].before_effect = lambda what: None
            op, targets = await s.end(ident)
            assert op.phase in (Phase.ROLLED_BACK, Phase.PARTIAL) and op.note.startswith("1 failed, 0 allowed")
            assert {i.generation for i in s.instances.values()} == {1}
            assert {m.row.desired for m in s.agent.fleet.members.values()} == {1}
            assert [t.state for t in targets[4:]] == [State.NOT_STARTED] * 2

    run(test)


def test_nothing_is_sent_before_it_is_recorded_and_the_operation_resumes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("ironscale.agent.engine.RETRY_S", 0.05)

    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(4)
            store = s.engine.store
            assert isinstance(store, SqliteStore)
            s.instances["i0000"].open = 1
            ident = await s.begin(Kind.DRAIN, policy=Policy(wave=1, answer_ms=60_000))
            await until(lambda: s.instances["i0000"].draining)
            await store.read(lambda r: store.connection.execute("PRAGMA query_only = 1"))
            s.instances["i0000"].open = 0
            await until(lambda: s.engine.live_operations[ident].stalled)
            with pytest.raises(StoreError):
                await s.begin(Kind.DRAIN, ["i0003"], supersede=True)
            shown = await s.ask("query($id: Int!) { operation(id: $id) { stalled phase } }", id=ident)
            assert "can't be written" in shown["data"]["operation"]["stalled"]
            assert not s.instances["i0001"].draining
            while True:
                try:
                    await store.read(lambda r: store.connection.execute("PRAGMA query_only = 0"))
                    break
                except StoreError:  # it shared a commit with a write that was being retried
                    pass
            assert set((await s.states(ident)).values()) == {State.APPLIED}
            assert all(i.effects == ["drain"] for i in s.instances.values())

    run(test)


def test_an_inspection_asks_the_process_and_says_when_it_does_not_answer(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, lease_s=0.5) as s:
            await s.start_many(2)
            found = await s.engine.inspect("i0000")
            assert len(found.upstreams) == 10 and found.report.ready
            s.clients["i0001"].session.decoder.next_message = lambda: None  # type: ignore[union-attr,method-assign]
            with pytest.raises(Refusal, match="gave no answer in 0.2 s") as silent:
                await s.engine.inspect("i0001", 0.2)
            assert silent.value.details["sinceMs"] > 0
            s.kill("i0000")
            await until(lambda: s.agent.fleet.members["i0000"].link is None)
            with pytest.raises(Refusal, match="is not connected"):
                await s.engine.inspect("i0000")
            with pytest.raises(Refusal, match="there is no instance"):
                await s.engine.inspect("nobody")

    run(test)


@pytest.mark.parametrize(("overlay", "words"), [
    ({"x": "y" * 200_000}, "expected a frame of 131072 bytes at most"),
    ({"x": float("nan")}, "expected numbers that JSON has"),
])
def test_overlay_that_can_not_be_sent_is_refused(
    overlay: dict[str, Any], words: str, tmp_path: Path
) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(1)
            with pytest.raises(Refusal, match=words):
                await s.begin(overlay=overlay, expect=0)
            assert await s.engine.store.read(lambda r: r.current_generation()) == 0

    run(test)


def test_a_second_agent_on_the_same_data_is_refused(tmp_path: Path) -> None:
    from ironscale.agent.serve import AgentError

    async def test() -> None:
        async with scene(tmp_path):
            with pytest.raises(AgentError, match="uses it; stop that agent"):
                async with scene(tmp_path):
                    pass

    run(test)


def test_restarted_agent_loads_its_record_and_leases_continue(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(3, zone="b")
            await s.end(await s.begin())
        async with scene(tmp_path) as s:
            members = s.agent.fleet.members
            assert {(m.row.zone, m.row.generation, m.row.desired, m.leased) for m in members.values()} == {
                ("b", 1, 1, True)}
            assert all(m.link is None for m in members.values())
            await until(lambda: not any(m.leased for m in members.values()))  # no instance reconnected

    run(test)


@pytest.mark.parametrize("step_s", [-86_400, 86_400])
def test_setting_the_wall_clock_does_not_affect_leases(
    step_s: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Leases by the wall clock would end at once, or never."""
    async def test() -> None:
        async with scene(tmp_path, lease_s=0.6) as s:
            await s.start_many(3)
            real = time.time_ns
            monkeypatch.setattr(time, "time_ns", lambda: real() + step_s * 10**9)
            await asyncio.sleep(1.0)
            assert all(m.leased for m in s.agent.fleet.members.values())
            s.kill("i0002")
            await until(lambda: not s.agent.fleet.members["i0002"].leased)
            states = await s.states(await s.begin(names=list(s.instances)))
            assert states == {"i0000": State.APPLIED, "i0001": State.APPLIED, "i0002": State.NO_ANSWER}

    run(test)


@pytest.mark.parametrize("step_s", [-86_400, 86_400])
def test_operation_continues_after_a_restart_with_another_wall_clock(
    step_s: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        port = free_port()
        async with scene(tmp_path, control=("127.0.0.1", port)) as s:
            await s.start_many(2)
            for instance in s.instances.values():
                instance.open = 1
            ident = await s.begin(Kind.DRAIN, policy=Policy(answer_ms=8_000))
            await until(lambda: all(i.draining for i in s.instances.values()))
            real = time.time_ns
            monkeypatch.setattr(time, "time_ns", lambda: real() + step_s * 10**9)
            instances, tasks = s.instances, dict(s.tasks)
            s.tasks.clear()  # the instances outlive this agent
        async with scene(tmp_path, control=("127.0.0.1", port)) as s:
            s.tasks.update(tasks)
            await until(lambda: sum(m.link is not None for m in s.agent.fleet.members.values()) == 2)
            await asyncio.sleep(0.3)
            assert {t.state for t in s.engine.live_operations[ident].targets} == {State.UNDER_WAY}
            for instance in instances.values():
                instance.open = 0
            assert set((await s.states(ident)).values()) == {State.APPLIED}
            assert all(i.effects == ["drain"] for i in instances.values())

    run(test)


def test_lease_that_expires_with_a_command_in_flight_is_no_answer_and_the_command_runs_once(
    tmp_path: Path
) -> None:
    """The instance is suspended with the command in its socket buffer; when it resumes, the operation has ended."""
    async def test() -> None:
        async with scene(tmp_path, lease_s=0.5) as s:
            await s.start_many(2)
            session = s.clients["i0001"].session
            assert session is not None and session.transport is not None and session.heartbeat_timer is not None
            session.transport.pause_reading()
            session.heartbeat_timer.cancel()
            session.silence_timer.cancel()
            ident = await s.begin()
            states = await s.states(ident)
            assert states == {"i0000": State.APPLIED, "i0001": State.NO_ANSWER}
            session.transport.resume_reading()
            await until(lambda: s.instances["i0001"].generation == 1)
            await until(lambda: s.agent.fleet.members["i0001"].row.generation == 1)
            assert s.instances["i0001"].effects == ["generation 1"]
            found = await s.engine.find(ident)
            assert found is not None and found[0].phase is Phase.PARTIAL  # a reported outcome is not changed later

    run(test)


def test_instance_with_a_generation_missing_in_the_record_is_left_alone(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            first = s.start("i0")
            first.generation = 7  # it ran this before it connected to this agent
            await until(lambda: "i0" in s.agent.fleet.members and s.agent.fleet.members["i0"].report)
            s.agent.fleet.set_desired([("i0", 7)])
            s.kill("i0")
            await until(lambda: s.agent.fleet.members["i0"].link is None)
            s.agent.fleet.sweep()
            s.agent.fleet.process_ended("i0", s.clients["i0"].identity.boot, "signal 9")
            second = s.start("i0")
            await until(lambda: second.client is not None and s.agent.fleet.members["i0"].link is not None)
            await asyncio.sleep(2.5)
            assert second.effects == [] and await s.engine.store.read(lambda r: r.operations(99, 9)) == []

    run(test)
    assert capsys.readouterr().err.count("not caught up: i0 should run generation 7") == 1


def test_exception_in_one_operation_stops_neither_the_agent_nor_other_operations(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("ironscale.agent.engine.RETRY_S", 0.05)

    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(2)
            advance, broken = planner.advance, [True]

            def sometimes(op: Any, *arguments: Any) -> Any:
                if op.id == 1 and broken[0]:
                    raise RuntimeError("a bug")
                return advance(op, *arguments)

            monkeypatch.setattr(planner, "advance", sometimes)
            first = await s.begin(Kind.DRAIN, ["i0000"])
            await until(lambda: "unexpected error in the agent" in s.engine.live_operations[first].stalled)
            assert await s.states(await s.begin(Kind.DRAIN, ["i0001"])) == {"i0001": State.APPLIED}
            broken[0] = False
            assert await s.states(first) == {"i0000": State.APPLIED}

    run(test)
    assert "a bug" in capsys.readouterr().err


def test_refused_catching_up_is_retried(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with scene(tmp_path, lease_s=0.5) as s:
            await s.start_many(1)
            await s.end(await s.begin())
            begin, refusals = s.engine.begin, [2]

            async def refused(*arguments: Any, **more: Any) -> Any:
                if refusals[0]:
                    refusals[0] -= 1
                    raise Refusal("CONFLICT", "another was first")
                return await begin(*arguments, **more)

            monkeypatch.setattr(s.engine, "begin", refused)
            new = s.start("i0000")
            await until(lambda: new.generation == 1)
            assert refusals == [0]

    run(test)
