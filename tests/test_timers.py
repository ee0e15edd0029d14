"""The sidecar's timers, which share a single timer of the event loop."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any
from urllib.parse import parse_qs

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironscale.net import timers as module
from ironscale.net.request_checks import parse_estimate_us, subject
from ironscale.net.timers import Clock, TimerQueue
from tests.sockets import run, until


def test_each_timer_fires_once_and_never_early() -> None:
    async def test() -> None:
        clock, random = Clock(), Random(1)
        timers = TimerQueue(clock)
        late: list[int] = []
        start_us = clock.now_us()
        for _ in range(300):
            at_us = start_us + random.randrange(60_000)
            timers.schedule(at_us, lambda at_us=at_us: late.append(clock.now_us() - at_us))  # type: ignore[misc]
        await until(lambda: len(late) == 300)
        await asyncio.sleep(0.02)
        assert len(late) == 300 and min(late) >= 0 and not timers.heap

    run(test)


def test_timers_fire_in_order_of_time_and_then_of_creation() -> None:
    async def test() -> None:
        clock = Clock()
        timers, told = TimerQueue(clock), []
        at_us = clock.now_us() + 5_000
        for name, when_us in (("c", at_us + 1), ("a", at_us), ("b", at_us), ("first", at_us - 4_000)):
            timers.schedule(when_us, lambda name=name: told.append(name))  # type: ignore[misc]
        await until(lambda: len(told) == 4)
        assert told == ["first", "a", "b", "c"]

    run(test)


def test_a_timer_cancelled_by_another_of_the_same_moment_does_not_fire() -> None:
    async def test() -> None:
        clock = Clock()
        timers, told = TimerQueue(clock), []
        at_us = clock.now_us() + 2_000
        second = None

        def first() -> None:
            told.append("first")
            assert second is not None
            second.cancel()
            second.cancel()  # cancelling it again does no harm

        timers.schedule(at_us, first)
        second = timers.schedule(at_us, lambda: told.append("second"))
        timers.schedule(at_us + 5_000, lambda: told.append("last"))
        await until(lambda: "last" in told)
        assert told == ["first", "last"] and timers.cancelled == 0 and not timers.heap

    run(test)


def test_a_timer_that_raises_does_not_stop_others() -> None:
    async def test() -> None:
        said: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: said.append(context))
        clock = Clock()
        timers, told = TimerQueue(clock), []
        at_us = clock.now_us() + 2_000
        timers.schedule(at_us, lambda: 1 // 0)  # type: ignore[arg-type]
        timers.schedule(at_us, lambda: told.append("same moment"))
        timers.schedule(at_us + 5_000, lambda: told.append("later"))
        await until(lambda: len(told) == 2)
        assert len(said) == 1 and isinstance(said[0]["exception"], ZeroDivisionError)

    run(test)


def test_a_timer_created_by_a_firing_timer_fires() -> None:
    async def test() -> None:
        clock = Clock()
        timers, told = TimerQueue(clock), []

        def first() -> None:
            told.append("first")
            timers.schedule(clock.now_us(), lambda: told.append("second"))

        timers.schedule(clock.now_us() + 1_000, first)
        await until(lambda: len(told) == 2)

    run(test)


def test_cancelled_timers_of_the_far_future_do_not_pile_up() -> None:
    async def test() -> None:
        clock = Clock()
        timers = TimerQueue(clock)
        kept = [timers.schedule(clock.now_us() + 3_600_000_000, lambda: None) for _ in range(50)]
        for _ in range(20_000):
            timers.schedule(clock.now_us() + 3_600_000_000, lambda: None).cancel()
        assert len(timers.heap) <= 2 * module.MIN_CANCELLED_TIMERS + 100
        assert sum(1 for entry in timers.heap if entry[2].callback is not None) == len(kept)
        for timer in kept:
            timer.cancel()

    run(test)


def test_many_timers_need_few_timers_of_the_event_loop() -> None:
    async def test() -> None:
        timers, clock = TimerQueue(Clock()), Clock()
        asked = 0

        class Counting:
            def call_later(self, *arguments: Any) -> Any:
                nonlocal asked
                asked += 1
                return loop.call_later(*arguments)

        loop = asyncio.get_running_loop()
        timers.loop = Counting()  # type: ignore[assignment]
        for n in range(1_000):
            timers.schedule(clock.now_us() + 60_000_000 + n, lambda: None).cancel()
        assert asked <= 3

    run(test)


@given(st.binary(max_size=20), st.sampled_from([b"?sid=", b"?x=1&sid=", b"?s%69d=", b"?", b"", b"?sid=a&sid="]))
def test_the_subject_of_a_request_is_parsed_as_by_the_standard_library(value: bytes, before: bytes) -> None:
    target = b"/api" + before + value.replace(b"?", b"")
    query = target.partition(b"?")[2].decode("latin-1")
    assert subject(target) == parse_qs(query).get("sid", [""])[0]


# Guards against an estimate of thousands of digits, which no integer is read from and no balancer can use.
@pytest.mark.parametrize(("text", "expected"), [("", 0), ("1500", 1500), ("-5", 0), ("9" * 5_000, 0), ("9" * 16, 0)])
def test_an_estimate_that_no_request_can_have_counts_as_none(text: str, expected: int) -> None:
    assert parse_estimate_us(text) == expected
