"""The decisions on reusing connections to upstreams, without sockets."""

from __future__ import annotations

import pytest

from ironscale.net import connection_reuse as module
from ironscale.net.connection_reuse import (
    HARMLESS_LATENESS_US,
    MAX_QUARANTINED,
    MIN_ANSWERS,
    MIN_IDLE_US,
    NEVER_US,
    PROBATION_CONNECTIONS,
    PROBATION_IDLE_US,
    QUARANTINE_US,
    REMEMBERED_ANSWERS,
    EqualAnswers,
    ReusePolicy,
)


def experienced() -> ReusePolicy:
    """A policy that has seen many different answers and silent connections."""
    policy = ReusePolicy()
    for digest in range(REMEMBERED_ANSWERS):
        assert not policy.is_copy(digest, [digest - 1])
        policy.record_answer(digest, digest)
    for _ in range(PROBATION_CONNECTIONS):
        policy.record_silence(PROBATION_IDLE_US)
    return policy


def test_nothing_is_reused_before_enough_answers_have_been_seen() -> None:
    policy = ReusePolicy()
    for connection in range(MIN_ANSWERS):
        assert policy.min_idle_us() == NEVER_US
        policy.record_answer(5, connection)
    assert policy.min_idle_us() == PROBATION_IDLE_US


def test_the_wait_is_short_once_enough_connections_stayed_silent_for_long() -> None:
    policy = experienced()
    assert policy.min_idle_us() == MIN_IDLE_US
    policy.record_surplus(1, HARMLESS_LATENESS_US, 0)
    assert policy.min_idle_us() == PROBATION_IDLE_US
    for _ in range(PROBATION_CONNECTIONS):
        policy.record_silence(PROBATION_IDLE_US - 1)
    assert policy.min_idle_us() == PROBATION_IDLE_US, "a shorter silence shows nothing"


def test_an_upstream_that_sent_too_much_is_quarantined_and_several_stand_for_all() -> None:
    policy = experienced()
    policy.record_surplus(1, HARMLESS_LATENESS_US, 1_000)
    assert not policy.allows_reuse(1, 2_000) and policy.allows_reuse(2, 2_000)
    for upstream in range(2, MAX_QUARANTINED + 2):
        policy.record_surplus(upstream, HARMLESS_LATENESS_US, 5_000)
    assert not policy.allows_reuse(99, 6_000)
    assert policy.allows_reuse(99, 1_000 + QUARANTINE_US) and not policy.allows_reuse(2, 1_000 + QUARANTINE_US)
    assert policy.allows_reuse(2, 5_000 + QUARANTINE_US) and not policy.quarantined


def test_a_surplus_right_behind_its_answer_quarantines_nobody() -> None:
    policy = experienced()
    policy.record_surplus(1, HARMLESS_LATENESS_US - 1, 1_000)
    assert policy.allows_reuse(1, 2_000) and policy.min_idle_us() == MIN_IDLE_US


def test_a_copy_of_an_earlier_answer_of_its_connection_is_recognised() -> None:
    policy = ReusePolicy()
    for digest in range(MIN_ANSWERS - 1):
        policy.record_answer(digest, 7)
        assert not policy.is_copy(digest, [digest]), "too little is known yet"
    policy.record_answer(MIN_ANSWERS, 7)
    assert policy.is_copy(MIN_ANSWERS, [MIN_ANSWERS])
    policy = experienced()
    assert policy.is_copy(-5, [-5]) and policy.is_copy(-5, [-5, -7])
    assert not policy.is_copy(-6, [-5]) and not policy.is_copy(-6, [])


@pytest.mark.parametrize("equal_every", [1, 2, 10, 15])
def test_upstreams_that_often_give_equal_answers_have_none_taken_for_a_copy(equal_every: int) -> None:
    policy = ReusePolicy()
    for number in range(5 * REMEMBERED_ANSWERS):
        policy.record_answer(0 if number % equal_every == 0 else number, number)
    assert not policy.is_copy(0, [0])


def test_a_service_that_always_answers_alike_has_no_answer_taken_for_a_copy() -> None:
    policy = ReusePolicy()
    for connection in range(MIN_ANSWERS):  # nothing is reused yet
        policy.record_answer(5, connection)
    for _ in range(1_000):
        assert not policy.is_copy(5, [5])
        policy.record_answer(5, 1)


def test_two_equal_answers_of_different_connections_are_enough_to_take_none_for_a_copy() -> None:
    policy = experienced()
    for connection in range(1_000, 1_003):
        assert policy.is_copy(-5, [-5])
        policy.record_answer(-5, connection)
    assert not policy.is_copy(-5, [-5])


def test_copies_on_one_connection_do_not_count_as_equal_answers() -> None:
    equal_answers = EqualAnswers()
    for digest in range(2 * REMEMBERED_ANSWERS):
        equal_answers.record(digest, 1)
        equal_answers.record(digest, 1)
    assert equal_answers.are_rare() and len(equal_answers.recent) == REMEMBERED_ANSWERS


def test_the_wait_of_a_quarantine_is_no_shorter_than_that_of_a_quiet_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MIN_IDLE_US", 2 * PROBATION_IDLE_US)
    policy = experienced()
    policy.record_surplus(1, HARMLESS_LATENESS_US, 0)
    assert policy.min_idle_us() == 2 * PROBATION_IDLE_US
