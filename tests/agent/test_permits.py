"""Disruption budgets in the agent: operations, scripts and a halt share them, and no budget is ever exceeded."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from ironscale.agent.model import Kind, Phase, Policy
from ironscale.agent.permits import permit_id
from ironscale.agent.refusal import Refusal
from ironscale.agent.store import StoreError
from ironscale.disruption.model import Budget, UnitKind
from ironscale.disruption.model import Phase as PermitPhase
from ironscale.operator_file import OperatorFileError, parse
from tests.agent.agent_harness import AgentScene, run, scene, until

TWO_OUT = Budget("all", UnitKind.SIDECAR, number=2)


class ObservedScene(AgentScene):
    """Counts the instances that are actually drained at each of their effects; `most` is the maximum."""

    max_drained = 0

    def count_drained(self) -> None:
        for instance in self.instances.values():
            def look(what: str, instance: Any = instance) -> None:
                out = sum(i.draining for i in self.instances.values()) + (what == "drain" and not instance.draining)
                self.max_drained = max(self.max_drained, out)

            instance.before_effect = look


@asynccontextmanager
async def fleet(data: Path, count: int, *budgets: Budget, **changes: Any) -> AsyncIterator[ObservedScene]:
    async with scene(data, budgets=budgets, **changes) as found:
        found.__class__ = ObservedScene
        assert isinstance(found, ObservedScene)
        await found.start_many(count)
        found.count_drained()
        await until(lambda: all(s.out == 0.0 for s in found.engine.permits.ledger.observations.values()))
        yield found


async def undrain(found: ObservedScene) -> None:
    """Repeats until all serve, as an instance that has just lost its connection misses the command."""
    while any(i.draining for i in found.instances.values()):
        await found.end(await found.begin(Kind.UNDRAIN, list(found.instances), supersede=True))
        await asyncio.sleep(0.02)


def counted(found: AgentScene) -> int:
    return len(found.engine.permits.counted())


def test_two_operations_and_a_script_share_one_budget(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 6, TWO_OUT) as found:
            engine, names = found.engine, list(found.instances)
            # all in one step of the event loop: in whatever order, no more than two permits are granted
            _, _, permit = await asyncio.gather(
                found.begin(Kind.DRAIN, names[:3]), found.begin(Kind.DRAIN, names[3:], actor="bob"),
                engine.permits.request("script", "k", [f"sidecar/{names[5]}"], "disk", 0, 60_000))

            def held() -> bool:
                known = engine.permits.ledger.permits.get(permit.id)
                return known is not None and known.phase is PermitPhase.HELD

            await until(lambda: sum(i.draining for i in found.instances.values()) + held() == 2)
            await until(lambda: any(live.waits_for for live in engine.live_operations.values()))
            assert found.max_drained <= 2 and counted(found) == 2
            await undrain(found)  # drained instances return to service, and the waiting ones get their turn
            await until(
                lambda: sum(i.draining for i in found.instances.values()) + held() == 2 or not engine.live_operations)
            if held():
                await engine.permits.give_back("script", permit.id, False)
            for ident in list(engine.live_operations):
                with contextlib.suppress(Refusal):
                    await engine.control("ann", ident, "abort")
            await undrain(found)
            if permit.id in engine.permits.ledger.permits:
                await engine.permits.give_back("script", permit.id, False)
            await until(lambda: counted(found) == 0)
            assert found.max_drained <= 2

    run(test)


def test_returned_permit_ends_only_when_its_unit_is_seen_to_serve(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 3, Budget("all", UnitKind.SIDECAR, number=1)) as found:
            permits, name = found.engine.permits, "i0000"
            held = await permits.request("ann", "k", [f"sidecar/{name}"], "", 0, 60_000)
            assert held.phase is PermitPhase.HELD
            assert await permits.request("ann", "k", [f"sidecar/{name}"], "", 0, 60_000) == held
            with pytest.raises(Refusal, match="was used for other units"):
                await permits.request("ann", "k", ["sidecar/i0001"], "", 0, 60_000)
            waiting = await permits.request("bob", "k", ["sidecar/i0001"], "", 0, 60_000)
            assert waiting.phase is PermitPhase.WAITING
            found.instances[name].draining = True  # its holder drains it on its own, without the agent
            returned = await permits.give_back("ann", held.id, False)
            assert returned.phase is PermitPhase.RETURNED
            assert await permits.give_back("ann", held.id, False) == returned
            with pytest.raises(Refusal, match="take a new one"):
                await permits.renew("ann", held.id)
            await until(lambda: permits.ledger.observations[f"sidecar/{name}"].reason == "drained")
            assert permits.ledger.permits[waiting.id].phase is PermitPhase.WAITING
            found.instances[name].draining = False
            await until(lambda: permits.ledger.permits[waiting.id].phase is PermitPhase.HELD)
            assert held.id not in permits.ledger.permits

    run(test)


def test_permit_with_an_expired_lease_is_unknown_and_still_counts(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 3, Budget("all", UnitKind.SIDECAR, number=1)) as found:
            permits = found.engine.permits
            held = await permits.request("ann", "k", ["sidecar/i0000"], "", 0, 500)
            waiting = await permits.request("bob", "k", ["sidecar/i0001"], "", 0, 60_000)
            await until(lambda: permits.ledger.permits[held.id].phase is PermitPhase.UNKNOWN)
            assert permits.ledger.permits[waiting.id].phase is PermitPhase.WAITING
            assert (await permits.renew("ann", held.id)).phase is PermitPhase.HELD  # the holder was slow, but is alive
            await until(lambda: permits.ledger.permits[held.id].phase is PermitPhase.UNKNOWN)
            with pytest.raises(Refusal, match="is ann's, not bob's"):
                await permits.give_back("bob", held.id, False)
            await permits.give_back("bob", held.id, True)  # bob knows that the holder has died
            await until(lambda: permits.ledger.permits[waiting.id].phase is PermitPhase.HELD)

    run(test)


def test_halt_blocks_all_but_rollbacks_and_survives_an_agent_restart(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 4, TWO_OUT) as found:
            engine = found.engine
            op = await found.begin(policy=Policy(wave=1))
            for instance in found.instances.values():
                instance.before_effect = lambda what: None
            await engine.permits.set_halt("ann", "errors rise")
            told = sum(bool(i.effects) for i in found.instances.values())
            await until(lambda: engine.live_operations[op].waits_for == "halted by ann: errors rise")
            with pytest.raises(Refusal, match="halted by ann: errors rise"):
                await found.begin(Kind.DRAIN)
            assert sum(bool(i.effects) for i in found.instances.values()) <= told + 1  # one may have been in flight
            assert (await engine.permits.set_halt("bob", "too")).actor == "ann"
        async with fleet(tmp_path, 4, TWO_OUT) as found:
            engine = found.engine
            await until(lambda: engine.live_operations[op].waits_for == "halted by ann: errors rise")
            await engine.control("ann", op, "rollback")
            assert (await found.end(op))[0].phase is Phase.ROLLED_BACK
            lifted = await engine.permits.lift_halt("bob")
            assert lifted is not None and (lifted.actor, lifted.lifted_by) == ("ann", "bob")
            again = await found.begin(expect=1, overlay={"settings": {"instances": 3}})
            assert (await found.end(again))[0].phase is Phase.SUCCEEDED

    run(test)


def test_halt_takes_effect_before_its_commit(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 3, TWO_OUT) as found:
            permits = found.engine.permits
            halting = asyncio.create_task(permits.set_halt("ann", "now"))
            await asyncio.sleep(0)  # the halt was requested, and its commit is in progress
            assert permits.halt is None
            # Otherwise an operation's round could reserve now, and its command would be recorded after the halt.
            assert permits.ledger.blocking_reason(("sidecar/i0000",), "x", (0, 0), 0) == "halted by ann: now"
            permit = await permits.request("bob", "k", ["sidecar/i0000"], "", 0, 60_000)
            assert permit.phase is PermitPhase.WAITING
            assert (await halting).text == "ann: now"
            await permits.lift_halt("ann")
            await until(lambda: permits.ledger.permits[permit.id].phase is PermitPhase.HELD)

    run(test)


class BlockedWrites:
    """Blocks the store's writes, from the next one on, until it is lifted."""

    def __init__(self, found: AgentScene) -> None:
        self.store, self.write = found.engine.store, found.engine.store.write
        self.open, self.waiting = asyncio.Event(), 0
        self.store.write = self.gated  # type: ignore[method-assign]

    async def gated(self, work: Any, late: Any = None) -> Any:
        self.waiting += 1
        await self.open.wait()
        return await self.write(work, late)

    def lift(self) -> None:
        self.store.write = self.write  # type: ignore[method-assign]
        self.open.set()


def test_give_back_is_not_undone_by_a_concurrent_lease_expiry(tmp_path: Path) -> None:
    """Seen in a bench run: a permit was given back, then unknown for good, as its lease had run out just before."""
    async def test() -> None:
        async with fleet(tmp_path, 2, Budget("all", UnitKind.SIDECAR, number=1)) as found:
            permits = found.engine.permits
            held = await permits.request("ann", "k", ["sidecar/i0000"], "", 0, 500)
            gate = BlockedWrites(found)
            giving = asyncio.create_task(permits.give_back("ann", held.id, False))
            await asyncio.sleep(0.8)  # the lease runs out during the write, and several decisions are made
            gate.lift()
            assert (await giving).phase is PermitPhase.RETURNED
            await until(lambda: held.id not in permits.ledger.permits)  # confirmed to serve, and ended
            assert (await permits.find(held.id)).phase is PermitPhase.ENDED

    run(test)


def test_reservation_of_an_operation_counts_while_its_commit_is_unknown(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 3, Budget("all", UnitKind.SIDECAR, number=1)) as found:
            permits, store, write = found.engine.permits, found.engine.store, found.engine.store.write
            rounds: list[str] = []
            known = asyncio.Event()

            async def broken(work: Any, late: Any = None) -> Any:
                if "Engine.record_plan" in work.__qualname__ and not known.is_set():
                    rounds.append(work.__qualname__)
                    raise StoreError("UNKNOWN", "it broke off at COMMIT")
                if rounds and not known.is_set():
                    raise StoreError("AWAY", "not known yet")
                return await write(work, late)

            store.write = broken  # type: ignore[method-assign]
            op = await found.begin(names=["i0000"])
            await until(lambda: rounds)
            await asyncio.sleep(0)
            assert found.engine.permits.unconfirmed and not found.instances["i0000"].effects
            # it may have been recorded: nothing else may go out of service meanwhile
            assert permits.ledger.blocking_reason(("sidecar/i0001",), "x", (0, 99), 0).startswith("budget all")
            known.set()
            assert (await found.end(op))[0].phase is Phase.SUCCEEDED
            await until(lambda: not permits.unconfirmed and not permits.counted())

    run(test)


@pytest.mark.parametrize("stands", [True, False])
def test_grant_with_an_unknown_commit_counts_until_read_back(tmp_path: Path, stands: bool) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 3, Budget("all", UnitKind.SIDECAR, number=1)) as found:
            permits, write = found.engine.permits, found.engine.store.write
            waiting = await permits.request("ann", "a", ["sidecar/i0000"], "", 0, 60_000)
            other = await permits.request("bob", "b", ["sidecar/i0001"], "", 0, 60_000)
            assert (waiting.phase, other.phase) == (PermitPhase.HELD, PermitPhase.WAITING)
            away = [True]

            async def broken(work: Any, late: Any = None) -> Any:
                if not away[0]:
                    return await write(work, late)
                if stands and not known:
                    await write(work)
                known.append(1)
                raise StoreError("UNKNOWN", "it broke off at COMMIT")

            known: list[int] = []
            returned = waiting.with_phase(PermitPhase.ENDED)
            permits.put([returned])  # room for the other, whose grant then has an unknown outcome
            found.engine.store.write = broken  # type: ignore[method-assign]
            # The agent's own decision may run into the failure first; then this call finds nothing to decide.
            try:
                await permits.decide()
            except StoreError as error:
                assert "broke off" in str(error)
            assert known, "no decision ran into the failure"
            assert permits.ledger.cells["all", ""].out == 1.0 and other.id in permits.unconfirmed
            assert permits.ledger.blocking_reason(("sidecar/i0002",), "x", (0, 99), 0)
            away[0] = False
            await until(lambda: other.id not in permits.unconfirmed)
            if not stands:  # in the record it waits, so it is granted again
                await permits.decide()
            await until(lambda: permits.ledger.permits[other.id].phase is PermitPhase.HELD)

    run(test)


def test_permit_is_not_reserved_again_while_its_end_is_being_written(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 2, TWO_OUT) as found:
            permits = found.engine.permits
            op = await found.begin(names=["i0000"])
            ended, targets = await found.end(op)
            permits.ending = {permit_id(ended, targets[0])}
            assert permits.reserve(ended, targets[0], False) == (
                "the end of its former permit for i0000 is being recorded")
            permits.ending = set()
            assert permits.reserve(ended, targets[0], False) == "" and counted(found) == 1
            permits.ledger.cancel_reservation(permit_id(ended, targets[0]), 0)

    run(test)


def test_urgent_rollback_does_not_wait_for_room_but_counts(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 4, TWO_OUT) as found:
            engine, names = found.engine, list(found.instances)
            op = await found.begin(names=names[:2], policy=Policy(on_failure="pause", wave=1))
            await until(
                lambda: all(found.instances[name].generation for name in names[:2]) or not engine.live_operations)
            if op in engine.live_operations:
                await found.end(op)
            again = await found.begin(names=names[:2], expect=1, overlay={"settings": {"instances": 3}},
                                      policy=Policy(canary=1, wave=1, gate=True, soak_ms=60_000))
            await until(lambda: engine.live_operations[again].waits_for.startswith("soaks"))
            for name in names[2:]:  # losses spend the budget, and one more is out by its permit
                found.cut(name)
                found.kill(name)
            await until(lambda: engine.permits.ledger.cells["all", ""].out == 2.0)
            await engine.control("ann", again, "rollback")
            await until(lambda: "budget all" in engine.live_operations[again].waits_for)
            assert found.instances[names[0]].generation == 2
            await engine.control("ann", again, "rollback", True)
            assert (await found.end(again))[0].phase is Phase.ROLLED_BACK
            assert found.instances[names[0]].generation == 1

    run(test)


def test_unplanned_losses_block_a_release_of_other_instances(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 5, TWO_OUT) as found:
            engine = found.engine
            for name in ("i0003", "i0004"):
                found.cut(name)
                found.kill(name)
            await until(lambda: engine.permits.ledger.cells["all", ""].out == 2.0)
            op = await found.begin(names=["i0000", "i0001"])
            await until(
                lambda: "i0003" in engine.live_operations[op].waits_for
                and "i0004" in engine.live_operations[op].waits_for)
            assert not found.instances["i0000"].effects
            for name in ("i0003", "i0004"):
                found.start(name)
            assert (await found.end(op))[0].phase is Phase.SUCCEEDED

    run(test)


def test_forgotten_instance_no_longer_counts(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 3, Budget("all", UnitKind.SIDECAR, number=1)) as found:
            engine = found.engine
            with pytest.raises(Refusal, match="is running"):
                await engine.forget("ann", "i0000", False)
            found.kill("i0000")
            await until(lambda: engine.permits.ledger.observations["sidecar/i0000"].out == 1.0)
            with pytest.raises(Refusal, match="confirm that with --ended"):
                await engine.forget("ann", "i0000", False)
            await engine.forget("ann", "i0000", True)
            assert engine.permits.ledger.cells["all", ""].out == 0.0
            assert (await found.end(await found.begin(names=["i0001"])))[0].phase is Phase.SUCCEEDED

    run(test)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_operations_never_exceed_the_budget(tmp_path: Path, seed: int) -> None:
    """Random drains, undrains, permits, broken connections and a new agent, by seed."""
    async def test() -> None:
        rng = random.Random(seed)
        names = [f"i{n:04}" for n in range(6)]
        for _ in range(2):
            async with fleet(tmp_path, 6, TWO_OUT, lease_s=0.6) as found:
                engine = found.engine
                for _ in range(25):
                    await asyncio.sleep(rng.random() * 0.06)
                    some = rng.sample(names, rng.randint(1, 3))
                    try:
                        match rng.randrange(5):
                            case 0 | 1:
                                await found.begin(Kind.DRAIN, some, supersede=True)
                            case 2:
                                await found.begin(Kind.UNDRAIN, some, supersede=True)
                            case 3:
                                found.cut(rng.choice(names))
                            case 4:
                                await engine.permits.request("s", str(rng.random()), [f"sidecar/{some[0]}"], "", 0, 500)
                    except (Refusal, AssertionError):
                        pass
                    assert found.max_drained <= 2, f"seed {seed}"
                assert found.max_drained > 0
                for permit in list(engine.permits.ledger.permits.values()):
                    if not permit.operation:
                        await engine.permits.give_back("s", permit.id, False)
                for ident in list(engine.live_operations):
                    with contextlib.suppress(Refusal):  # it has already ended
                        await engine.control("ann", ident, "abort")
                await undrain(found)
                await until(lambda engine=engine: not engine.permits.counted())  # type: ignore[misc]

    run(test)


@pytest.mark.parametrize(("text", "wrong"), [
    ('name = "a"\nnumber = 0', "number: expected a whole number from 1 to 1000000, got 0"),
    ('name = "a"\nshare = 1.5', "share: expected a share from 0.0001 to 1, got 1.5"),
    ('name = "a"', "expected number, share or capacity, got none of them"),
    ('name = "a"\nnumber = 1\nzones = "x"', "agent.budget[0].zones: expected one of"),
    ('name = "a"\nof = "things"\nnumber = 1', "of: expected one of sidecars, upstreams, got 'things'"),
    ('name = "a"\nnumber = 1\n[[agent.budget]]\nname = "a"\nnumber = 1', "expected names that differ, got 'a' twice"),
    ('name = "a"\nnumber = 1\n[[agent.budget]]\nname = "b"\nnumber = 2',
     "expected one number for the same units, got 1 of 'a' and 2 of 'b'"),
])
def test_invalid_budget_is_reported_in_one_line(tmp_path: Path, text: str, wrong: str) -> None:
    with pytest.raises(OperatorFileError) as found:
        parse(f"[agent]\n[[agent.budget]]\n{text}\n", "f.toml", tmp_path)
    assert str(found.value).startswith("f.toml: agent.budget") and wrong in str(found.value)
    assert "\n" not in str(found.value)
