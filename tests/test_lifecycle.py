"""Violations of a request's lifecycle are counted, logged with the request's history, and visible to the tests."""

from __future__ import annotations

import pytest

from ironscale.net import lifecycle as module
from ironscale.net.lifecycle import MAX_VIOLATIONS_LOGGED, TOLERANCE_US, Event, Invariant, Ledger, Lifecycle, State
from ironscale.standins.upstream import Peer
from tests.sockets import Scene, run, until


class Clock:
    now_us = 1_000_000


class Case:
    def __init__(self) -> None:
        self.lines: list[str] = []
        self.clock = Clock()
        self.ledger = Ledger(lambda: self.clock.now_us, self.lines.append)
        self.life = Lifecycle(self.ledger)
        self.life.begin("t1", 2_000_000)

    def take_violations(self) -> dict[Invariant, int]:
        module.violations.clear()  # expected here; conftest.py would fail the test over them
        return dict(self.ledger.violations)


def test_a_request_that_is_answered_once_violates_nothing() -> None:
    case = Case()
    life = case.life
    assert life.may_send(case.clock.now_us, 2_000_000, lambda: False)
    life.attempt_begun(1_000_000)
    life.attempt_ended("reset")
    life.attempt_begun(1_000_000 + TOLERANCE_US)
    life.attempt_ended("ok")
    assert life.state is State.IN_FLIGHT
    assert life.answer(200) and not life.answer(502) and not life.cancel("client left")
    assert not life.may_send(case.clock.now_us, 2_000_000, lambda: False)
    life.connection_closed("idle")
    assert case.take_violations() == {}
    assert case.ledger.summary() == ("accepted 1; answered (200) 1; attempt ended (ok) 1; attempt ended (reset) 1; "
                                     "retried (reset) 1; sent 1; violations 0")


def test_nothing_may_be_sent_late_or_for_a_client_that_has_left() -> None:
    case = Case()
    assert not case.life.may_send(2_000_000, 2_000_000, lambda: False)
    assert not case.life.may_send(case.clock.now_us, 2_000_000, lambda: True)
    assert case.life.cancel("client left") and not case.life.may_send(case.clock.now_us, 2_000_000, lambda: False)


@pytest.mark.parametrize("invariant", [Invariant.SENT_AFTER_END, Invariant.SENT_TOO_LATE,
                                       Invariant.REMAINING_TIME_OVERSTATED, Invariant.CLOSED_UNANSWERED])
def test_each_violation_is_counted_and_logged_with_its_history(invariant: Invariant) -> None:
    case = Case()
    match invariant:
        case Invariant.SENT_AFTER_END:
            case.life.cancel("client left")
            case.life.attempt_begun(0)
        case Invariant.SENT_TOO_LATE:
            case.clock.now_us = 2_000_001 + TOLERANCE_US
            case.life.attempt_begun(0)
        case Invariant.REMAINING_TIME_OVERSTATED:
            case.life.attempt_begun(1_000_001 + TOLERANCE_US)
        case _:
            case.life.connection_closed("idle")
    assert case.take_violations() == {invariant: 1}
    assert f"request t1 {invariant.value}" in case.lines[0] and "ms accepted" in case.lines[0]


def test_many_violations_are_counted_and_not_all_logged() -> None:
    case = Case()
    for _ in range(10 * MAX_VIOLATIONS_LOGGED):
        case.life.connection_closed("idle")
    assert (case.take_violations() == {Invariant.CLOSED_UNANSWERED: 10 * MAX_VIOLATIONS_LOGGED}
            and len(case.lines) == MAX_VIOLATIONS_LOGGED)


# Guards against an invariant that the data path never checks: a fault injected into the program must be detected.
def test_a_send_after_the_answer_is_detected_on_the_data_path() -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"))
        sidecar = scene.sidecar
        real = sidecar.send

        def late(action: object) -> None:
            request = next(iter(sidecar.requests.values()))
            request.exchange.answer(502)
            real(action)  # type: ignore[arg-type]

        sidecar.may_start_attempt = lambda request, until_us: True  # type: ignore[method-assign]
        sidecar.send = late  # type: ignore[method-assign]
        assert (await scene.call()).status == 502
        await until(lambda: sidecar.ledger.violations)
        assert dict(sidecar.ledger.violations) == {Invariant.SENT_AFTER_END: 1}
        module.violations.clear()

    run(test)


def test_answers_are_counted_by_their_status() -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"))
        assert (await scene.call()).status == 200
        await until(lambda: not scene.sidecar.server.connections)
        assert scene.sidecar.ledger.counts[Event.ANSWERED, "200"] == 1

    run(test)
