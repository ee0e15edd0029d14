"""Tests start times of upstreams while the wall clock is stepped by seconds or an hour."""

from __future__ import annotations

import pytest

from ironscale import interface as api
from ironscale.net.start_times import MAX_STEPS, StartTimes
from ironscale.standins.discovery import listing
from ironscale.standins.upstream import Peer
from tests.sockets import Scene, run, until

START_US, HOUR_US, S = 1_700_000_000_000_000, 3_600_000_000, 1_000_000
STEPS_US = (HOUR_US, -HOUR_US, 5 * S, -5 * S)


class Clocks:
    """A monotonic clock, and a wall clock that is ahead of it by the sum of its steps."""

    def __init__(self) -> None:
        self.monotonic_us, self.wall_offset_us = START_US, 0
        self.starts = StartTimes(lambda: self.monotonic_us + self.wall_offset_us, lambda: self.monotonic_us)

    def step(self, by_us: int) -> None:
        self.wall_offset_us += by_us
        self.starts.check_for_step()

    def entry_with_start(self, started_us: int, known: api.Upstream | None = None) -> api.Upstream:
        entry = api.Upstream(1, started_us=started_us)
        self.starts.set_start(entry, known)
        return entry


def test_without_a_step_start_times_are_used_as_reported() -> None:
    clocks = Clocks()
    for started_us in (0, START_US - HOUR_US, START_US - S, START_US + 100_000):
        assert clocks.entry_with_start(started_us).effective_start_us == started_us
    clocks.monotonic_us += 100 * S
    assert not clocks.starts.check_for_step()


# Guards against taking a cold upstream, after a step, for a warm one or for one that starts an hour later.
@pytest.mark.parametrize("by_us", STEPS_US)
@pytest.mark.parametrize("stamped", ["before the step", "after it"])
def test_a_start_reported_after_a_step_is_never_believed_older_than_it_is(by_us: int, stamped: str) -> None:
    clocks = Clocks()
    started_us = clocks.monotonic_us  # the true start, on the monotonic clock
    stamp_us = started_us
    if stamped == "after it":
        clocks.step(by_us)
        stamp_us += by_us
    else:
        clocks.monotonic_us += S
        clocks.step(by_us)
    clocks.monotonic_us += S
    entry = clocks.entry_with_start(stamp_us)
    assert started_us <= entry.effective_start_us <= clocks.monotonic_us
    assert entry.started_us == stamp_us, "the reported start identifies the process and must not change"
    if abs(by_us) == HOUR_US:
        assert entry.effective_start_us == started_us


# Guards against taking a warm upstream for a cold one when the full list is sent again after a step.
@pytest.mark.parametrize("by_us", STEPS_US)
def test_a_known_process_keeps_its_start(by_us: int) -> None:
    clocks = Clocks()
    known = clocks.entry_with_start(START_US - 30 * S)
    clocks.step(by_us)
    again = clocks.entry_with_start(START_US - 30 * S, known)
    assert again.effective_start_us == START_US - 30 * S
    assert clocks.entry_with_start(
        START_US + by_us, known).effective_start_us != START_US - 30 * S, (
        "another process with the same id")


def test_a_start_in_the_future_counts_from_when_it_was_reported() -> None:
    clocks = Clocks()
    assert clocks.entry_with_start(START_US + HOUR_US).effective_start_us == START_US


def test_the_number_of_remembered_steps_is_bounded() -> None:
    clocks = Clocks()
    for _ in range(100):
        clocks.step(HOUR_US)
    assert len(clocks.starts.offsets_us) == MAX_STEPS and clocks.starts.offsets_us[-1] == 100 * HOUR_US


# Guards against a step of the wall clock that disables slow start; uses a real list on a socket.
@pytest.mark.parametrize("by_us", [HOUR_US, -HOUR_US])
def test_an_upstream_that_starts_after_a_step_is_cold(by_us: int, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        peer, other = await Peer().start(), await Peer().start()
        scene = await Scene().start(peer.entry("s-1"))
        sidecar = scene.sidecar
        await until(lambda: scene.discovery.writers)
        now_us = sidecar.clock.now_us
        sidecar.starts.wall_us = lambda: now_us() + by_us
        entry = other.entry("s-2", startedAtMs=(now_us() + by_us) // 1000)
        scene.discovery.line(listing(peer.entry("s-1"), entry, generation=42))
        await until(lambda: len(sidecar.balancer.upstreams) == 2)
        server = next(s for s in sidecar.balancer.upstreams.values() if s.entry.started_us)
        assert abs(server.entry.effective_start_us - now_us()) < 5 * S
        assert sidecar.balancer.warmth(server) < 1.0

    run(test)
