"""The wall clock may step by seconds or an hour; what goes by real time does not."""

from __future__ import annotations

import pytest

from ironscale import interface as api
from ironscale.net.starts import MOST_STEPS, StartTimes
from ironscale.standins.discovery import listing
from ironscale.standins.upstream import Peer
from tests.sockets import Scene, run, until

START_US, HOUR_US, S = 1_700_000_000_000_000, 3_600_000_000, 1_000_000
STEPS_US = (HOUR_US, -HOUR_US, 5 * S, -5 * S)


class Clocks:
    """The wall clock ahead of the own one by what steps have made of it."""

    def __init__(self) -> None:
        self.own_us, self.ahead_us = START_US, 0
        self.starts = StartTimes(lambda: self.own_us + self.ahead_us, lambda: self.own_us)

    def step(self, by_us: int) -> None:
        self.ahead_us += by_us
        self.starts.look()

    def told(self, started_us: int, known: api.Upstream | None = None) -> api.Upstream:
        entry = api.Upstream(1, started_us=started_us)
        self.starts.place(entry, known)
        return entry


def test_without_a_step_starts_are_taken_as_told() -> None:
    clocks = Clocks()
    for started_us in (0, START_US - HOUR_US, START_US - S, START_US + 100_000):
        assert clocks.told(started_us).start_us == started_us
    clocks.own_us += 100 * S
    assert not clocks.starts.look()


# Guards against a cold upstream that is taken for a warm one, or for one that starts in an hour, after a step.
@pytest.mark.parametrize("by_us", STEPS_US)
@pytest.mark.parametrize("stamped", ["before the step", "after it"])
def test_a_start_that_is_told_after_a_step_is_never_older_than_it_is(by_us: int, stamped: str) -> None:
    clocks = Clocks()
    started_us = clocks.own_us  # in truth, on the own clock
    stamp_us = started_us
    if stamped == "after it":
        clocks.step(by_us)
        stamp_us += by_us
    else:
        clocks.own_us += S
        clocks.step(by_us)
    clocks.own_us += S
    entry = clocks.told(stamp_us)
    assert started_us <= entry.start_us <= clocks.own_us
    assert entry.started_us == stamp_us, "the process keeps its name"
    if abs(by_us) == HOUR_US:
        assert entry.start_us == started_us


# Guards against a warm upstream that is taken for a cold one as the whole list is told again after a step.
@pytest.mark.parametrize("by_us", STEPS_US)
def test_a_process_that_is_known_keeps_its_start(by_us: int) -> None:
    clocks = Clocks()
    known = clocks.told(START_US - 30 * S)
    clocks.step(by_us)
    again = clocks.told(START_US - 30 * S, known)
    assert again.start_us == START_US - 30 * S
    assert clocks.told(START_US + by_us, known).start_us != START_US - 30 * S, "another process behind the same id"


def test_a_start_in_the_future_counts_from_when_it_was_told() -> None:
    clocks = Clocks()
    assert clocks.told(START_US + HOUR_US).start_us == START_US


def test_many_steps_are_bounded() -> None:
    clocks = Clocks()
    for _ in range(100):
        clocks.step(HOUR_US)
    assert len(clocks.starts.ahead_us) == MOST_STEPS and clocks.starts.ahead_us[-1] == 100 * HOUR_US


# Guards against slow start that a step of the wall clock switches off, by a real list on a socket.
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
        assert abs(server.entry.start_us - now_us()) < 5 * S
        assert sidecar.balancer.warmth(server) < 1.0

    run(test)
