"""Upstreams of real sidecar processes send more answers than they were sent requests."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.faults.shim import Fault
from tests.faults.site import Site
from tests.faults.surplus import (
    Lateness,
    copies_due,
    copies_sent,
    send_closed_loop,
    send_in_bursts,
    set_lateness,
    surplus_site,
)
from tests.faults.test_calls import assert_clean_exit, assert_no_violations, play

LOOKS_FAIL = {Fault.PEEK_ERROR: 900, Fault.READ_ERROR: 200, Fault.SHORT_READ: 500}


def assert_copies(site: Site, lateness: Lateness) -> None:
    """The upstreams played their part: a sidecar may close a connection before the second answer on it is due."""
    expected = lateness is not Lateness.NONE
    assert (copies_due(site) >= 10) == (copies_sent(site) >= 1) == expected, (copies_due(site), copies_sent(site))


async def play_after_quiet(site: Site, lateness: Lateness, foreign: bool) -> None:
    sidecar = await surplus_site(site, Lateness.NONE, 4, foreign).serving(3)
    await send_in_bursts(sidecar.clients, 3, 16, 4)  # until the sidecar has seen that its upstreams keep quiet
    set_lateness(site, lateness)
    await send_closed_loop(sidecar.clients, 3.0, 8, 5)
    assert_copies(site, lateness)
    assert_no_violations(site, served=300)
    await assert_clean_exit(sidecar)


async def play_surplus(site: Site, lateness: Lateness, seed: int, rates: dict[Fault, int], seconds: float) -> None:
    sidecar = await surplus_site(site, lateness, seed).serving(3)
    sidecar.shim.set(rates)
    await send_closed_loop(sidecar.clients, seconds, 8, seed)
    assert_copies(site, lateness)
    assert_no_violations(site, served=100)
    await assert_clean_exit(sidecar)


# Guards against taking an upstream's late second answer for the answer to the next request on its connection.
@pytest.mark.parametrize("lateness", [Lateness.SOON, Lateness.LATE, Lateness.NEXT_REQUEST], ids=lambda one: one.name)
def test_a_late_second_answer_is_never_the_answer_to_another_request(tmp_path: Path, lateness: Lateness) -> None:
    play(tmp_path, lambda site: play_surplus(site, lateness, 1, {}, 3.0))


# Guards against the same where upstreams begin to send second answers after a quiet time.
@pytest.mark.parametrize("lateness", [Lateness.SOON, Lateness.LATE, Lateness.NEXT_REQUEST], ids=lambda one: one.name)
def test_second_answers_that_begin_later_are_never_answers_to_other_requests(
        tmp_path: Path, lateness: Lateness) -> None:
    play(tmp_path, lambda site: play_after_quiet(site, lateness, False))


# Guards against serving an answer that belongs to no request and resembles none before it.
@pytest.mark.parametrize("lateness", [Lateness.SOON, Lateness.LATE, Lateness.NEXT_REQUEST], ids=lambda one: one.name)
def test_a_late_answer_of_nobody_is_never_the_answer_to_a_request(tmp_path: Path, lateness: Lateness) -> None:
    play(tmp_path, lambda site: play_after_quiet(site, lateness, True))


# Guards against reusing a connection whose unread bytes could not be seen because the look at its socket failed.
def test_a_failed_look_at_a_connection_does_not_hide_a_second_answer(tmp_path: Path) -> None:
    play(tmp_path, lambda site: play_surplus(site, Lateness.BEHIND, 2, LOOKS_FAIL, 4.0))


# Shows that failing calls alone mix up no answers: the control for the two tests above.
@pytest.mark.parametrize("rates", [{}, LOOKS_FAIL, {Fault.WRITE_ERROR: 300, Fault.SHORT_WRITE: 500, Fault.SOCKET: 200}],
                         ids=["no-fault", "reads", "writes"])
def test_without_second_answers_no_answer_goes_to_another_request(tmp_path: Path, rates: dict[Fault, int]) -> None:
    play(tmp_path, lambda site: play_surplus(site, Lateness.NONE, 3, rates, 3.0))
