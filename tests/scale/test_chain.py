"""Chains of real sidecars: the counts at each hop match the calls, and the formula for retries matches a chain."""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace
from random import Random

import pytest

from ironscale.load.run import Address
from ironscale.scale import chain
from ironscale.scale.fit import FitError
from ironscale.scale.model import attempts_at_bottom, extrapolate, hop_attempts
from ironscale.scale.path import percentile
from ironscale.standins.http import read_message
from tests.scale.test_path import example_context
from tests.sockets import run

# The retry budget of a sidecar, from balance.RETRY_TOKENS_PER_REQUEST, the settings' tries, balance.MAX_RETRY_TOKENS.
RETRY_SHARE, MAX_ATTEMPTS, MAX_RETRY_TOKENS = 0.2, 4, 5.0


def simulated_attempts(failure_rate: float, hops: int, calls: int, random: Random) -> float:
    """Simulates calls and returns the attempts at the bottom per call at the top. Each hop's budget grows with its
    own calls."""
    tokens, sent = [MAX_RETRY_TOKENS] * hops, 0

    def call(hop: int) -> bool:
        nonlocal sent
        if hop == hops:
            sent += 1
            return random.random() >= failure_rate
        tokens[hop] = min(MAX_RETRY_TOKENS, tokens[hop] + RETRY_SHARE)
        for _ in range(MAX_ATTEMPTS - 1):
            if call(hop + 1):
                return True
            if tokens[hop] < 1.0:
                return False
            tokens[hop] -= 1.0
        return call(hop + 1)

    for _ in range(calls):
        call(0)
    return sent / calls


@pytest.mark.parametrize("failing", [0.02, 0.2, 0.5, 0.9, 1.0])
def test_the_formula_matches_a_simulated_chain_of_retry_budgets(failing: float) -> None:
    formula = attempts_at_bottom(failing, 6, RETRY_SHARE, MAX_ATTEMPTS)
    for hops in (1, 3, 6):
        found = simulated_attempts(failing, hops, 20_000, Random(f"{failing}/{hops}"))
        assert math.isclose(found, formula[hops - 1], rel_tol=0.06), (hops, found, formula[hops - 1])


def test_attempts_grow_exponentially_only_if_no_attempt_succeeds() -> None:
    assert math.isclose(attempts_at_bottom(1.0, 22, RETRY_SHARE, MAX_ATTEMPTS)[-1], 1.2**22)
    for failing in (0.1, 0.5, 0.9):
        assert attempts_at_bottom(failing, 200, RETRY_SHARE, MAX_ATTEMPTS)[-1] <= 1 / (1 - failing) + 1e-9
    assert hop_attempts(0.0, RETRY_SHARE, MAX_ATTEMPTS) == (1.0, 0.0)


def test_extrapolation_gives_an_interval() -> None:
    exact = extrapolate([(hops, 1.2**hops) for hops in (1, 2, 4, 8)], 22, True)
    assert math.isclose(exact.value, 1.2**22, rel_tol=1e-6) and math.isclose(exact.growth, 1.2, rel_tol=1e-6)
    rough = extrapolate([(1, 1.0), (1, 1.4), (2, 2.1), (4, 3.9), (8, 8.3)], 22, False)
    assert rough.low < 22 < rough.high and rough.high - rough.low > 0.1
    with pytest.raises(FitError):
        extrapolate([(1, 1.0), (2, 2.0)], 22, False)
    with pytest.raises(ValueError, match="above 0"):
        extrapolate([(1, 1.0), (2, 0.0), (3, 1.0)], 22, True)


def test_a_chain_of_two_counts_its_attempts_and_its_deadline_shrinks() -> None:
    # long enough that no answer is late on a busy machine, which would cause a retry
    kind = replace(chain.REQUEST_KIND, deadline_us=20_000_000)

    async def call(address: Address, root: str) -> int:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /api HTTP/1.1\r\nHost: s\r\nX-Txn: %s\r\nX-Lane: view\r\nX-Org: t0\r\n"
                     b"X-Remaining: %dm\r\n\r\n" % (root.encode(), kind.deadline_us // 1000))
        status = (await read_message(reader)).status
        writer.close()
        return status

    async def play() -> None:
        async with chain.started_chain(2, rate=10.0, kind=kind, aim_ms=20_000) as two:
            assert [await call(two.sidecars[0], f"w-{i}") for i in range(3)] == [200] * 3
            two.send({"bottom": {**chain.HEALTHY, "first": 1}})
            await two.take_counts()  # waits until the previous command has been processed
            assert await call(two.sidecars[0], "m-0") == 200
            assert await call(two.bare[0], "b-0") == 500
            counts = await two.take_counts()
        top, below = (level["m"] for level in counts["levels"])
        # the bottom fails the call's first attempt; the sidecar above it retries, so the one at the top doesn't have to
        assert (top["calls"], top["attempts"], top["got"]) == (1, 1, {"200": 1}), counts
        assert (below["calls"], below["attempts"], below["most"]) == (1, 2, 2), counts
        left_ms = [kind.deadline_us / 1000, top["left_ms"][2], below["left_ms"][2]]
        assert left_ms[0] - 8 >= left_ms[1] and left_ms[1] - 8 >= left_ms[2] > 0, counts  # 8 ms kept at each hop
        # without sidecars there are no retries
        assert [level["b"]["attempts"] for level in counts["bare"]] == [1, 1], counts

    run(play)


def test_results_become_slopes_and_extrapolated_readings() -> None:
    turns = [
        chain.ChainResult(
            name,
            hops,
            False,
            100,
            [1_000 * hops] * 90,
            [500] * 90,
            [1.1**i for i in range(1, hops + 1)],
            3,
            [[900.0, 1_000.0 - 8 * i, 1_000.0] for i in range(1, hops + 1)],
            [{}] * hops,
        )
        for name in ("well", "fails 0.2")
        for hops in (1, 2, 4)
    ]
    scene = example_context()
    chain.add_results(scene, turns, 22)
    found = scene.result
    assert math.isclose(found.readings["chain.attempts.fails_0.2.lasting.at_22_hops"].value, 1.1**22, rel_tol=0.01)
    assert math.isclose(found.readings["chain.deadline_spent_ms.well.at_22_hops"].value, 8 * 22, rel_tol=0.01)
    assert found.slopes["chain.served.fails_0.2.lasting"].points[0].value == 0.9
    assert percentile([], 0.5) == 0 and percentile([3, 1, 2], 0.5) == 2 and percentile(range(1, 101), 0.99) == 99
