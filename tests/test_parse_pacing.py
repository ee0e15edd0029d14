"""The time that requests in part take to parse stays within its share, whatever the pieces and their order."""

from __future__ import annotations

import random

import pytest

from ironscale.net.parse_pacing import (
    BURST_US,
    MAX_PAUSE_US,
    MAX_US_PER_BYTE,
    PARSING_SHARE,
    UNPACED_US,
    ParsePacing,
    RequestPacing,
)

TURN_US = 1_000
PIECE_BYTES = 10_000  # enough for the time of any piece here


class Crowd:
    """Clients that send a piece in each turn in which they aren't paused, on a clock that pieces and turns move on."""

    def __init__(self, rng: random.Random, clients: int, max_piece_us: int) -> None:
        self.rng, self.max_piece_us = rng, max_piece_us
        self.shared, self.requests = ParsePacing(), [RequestPacing() for _ in range(clients)]
        self.paused_until_us = [0.0] * clients
        self.now_us = self.spent_us = 0

    def turn(self) -> None:
        self.now_us += TURN_US
        for number, request in enumerate(self.requests):
            if self.now_us >= self.paused_until_us[number]:
                self.piece(number, request)

    def piece(self, number: int, request: RequestPacing) -> None:
        piece_us = self.rng.randint(1, self.max_piece_us)
        self.now_us += piece_us
        self.spent_us += piece_us
        self.shared.spend(self.now_us, request.spend(piece_us, PIECE_BYTES))
        pause_us = self.shared.pause_us(self.now_us)
        assert pause_us <= MAX_PAUSE_US
        if pause_us and request.is_due():
            request.reset()
            self.paused_until_us[number] = self.now_us + pause_us


# Guards against a crowd that takes more than its share, by how small its pieces are or in which order they come.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("max_piece_us", [2, 40, 150, 1_000])
@pytest.mark.parametrize("clients", [1, 40, 400])
def test_a_crowd_takes_its_share_and_what_each_client_has_free(clients: int, max_piece_us: int, seed: int) -> None:
    crowd = Crowd(random.Random(f"{seed} {clients} {max_piece_us}"), clients, max_piece_us)
    for _ in range(2_000):
        crowd.turn()
    # each client's allowance and its last piece may come on top, once for each longest pause
    free_us = BURST_US + clients * (UNPACED_US + max_piece_us) * (1 + crowd.now_us / MAX_PAUSE_US)
    assert crowd.spent_us <= PARSING_SHARE * crowd.now_us + free_us


# Guards against pauses while nobody takes too much.
def test_what_is_within_the_share_is_never_paused() -> None:
    shared = ParsePacing()
    for now_us in range(0, 10_000_000, 1_000):
        shared.spend(now_us, 1_000 * PARSING_SHARE)
        assert not shared.pause_us(now_us)


# Guards against debts of clients that are gone, for which the others would wait without end.
def test_debts_end_with_the_longest_pause() -> None:
    shared = ParsePacing()
    for _ in range(1_000):
        shared.spend(0, 100_000)
    assert shared.pause_us(0) == MAX_PAUSE_US
    assert not shared.pause_us(MAX_PAUSE_US)


# Guards against pauses that follow from a process that was held up.
def test_time_that_the_bytes_do_not_account_for_is_not_counted() -> None:
    request = RequestPacing()
    assert request.spend(200_000, 10) == 10 * MAX_US_PER_BYTE
    assert not request.is_due()


# Guards against a request that is never due, as each of its pieces alone is short.
def test_a_request_is_due_by_the_sum_of_its_pieces() -> None:
    request = RequestPacing()
    for _ in range(UNPACED_US // 10):
        request.spend(10, PIECE_BYTES)
    assert not request.is_due()
    request.spend(10, PIECE_BYTES)
    assert request.is_due()
    request.reset()
    assert not request.is_due()
