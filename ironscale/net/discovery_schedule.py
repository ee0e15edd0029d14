"""Computes when the next call to discovery begins. Pure functions: times are in seconds of one clock, `draw` is a
random number from 0 to 1.

A sidecar must know a change at most `MAX_STALENESS_S` after discovery had it and could be reached, whatever failed in
between. A call that begins while discovery can be reached gets its answer within `CALL_ALLOWANCE_S`, so two conditions
must hold within `MAX_STALENESS_S - CALL_ALLOWANCE_S`:

- after the last data from a watch, two calls begin, because the first may fail;
- no more than that passes between the begins of two calls, so that one begins in time once discovery is back. It does
  not matter whether the previous call was refused, broke off or still waits for its first data: in the last case the
  next call begins in parallel.
"""

from __future__ import annotations

MAX_STALENESS_S = 6.0
CALL_ALLOWANCE_S = 0.5  # covers the answer to a call, delays of the event loop and the balancing decisions
MAX_CALL_GAP_S = MAX_STALENESS_S - CALL_ALLOWANCE_S
# While nothing changes, discovery sends an empty line every 2 s. After this long without data, discovery or the network
# path to it is down, even if the connection stays open.
SILENCE_TIMEOUT_S = 3.0
# The sidecars spread their first calls over half of the time that is left then, so that the second calls have as much.
# A watch that broke leaves more time, but at most MAX_FIRST_CALL_SPREAD_S of it is used.
FIRST_CALL_DELAY_S = (MAX_CALL_GAP_S - SILENCE_TIMEOUT_S) / 2
MAX_FIRST_CALL_SPREAD_S = 2.5
MAX_RETRY_DELAY_S = 5.0
# Share of the available time after which a call begins in parallel with one that waits. It is late because a discovery
# service that handles calls one after another has one more call to work on.
PARALLEL_START_SHARE = 0.8


def latest_start_s(last_heard_s: float | None, calls_begun: int, last_begun_s: float) -> float:
    """Returns the latest time at which the next call may begin. Since the last data from a watch at `last_heard_s`
    (None if there was none), `calls_begun` calls have begun, the last of them at `last_begun_s`."""
    if last_heard_s is not None and calls_begun == 0:
        return last_heard_s + SILENCE_TIMEOUT_S + FIRST_CALL_DELAY_S
    latest_s = last_begun_s + MAX_CALL_GAP_S
    return min(latest_s, last_heard_s + MAX_CALL_GAP_S) if last_heard_s is not None and calls_begun == 1 else latest_s


def start_after_end_s(now_s: float, last_heard_s: float | None, calls_begun: int, last_begun_s: float,
                      draw: float) -> float:
    """Returns the start of the next call after a watch (`calls_begun` is 0) or the last call has ended: a random time
    within the time that is left."""
    left_s = max(0.0, latest_start_s(last_heard_s, calls_begun, last_begun_s) - now_s)
    if calls_begun == 0:
        return now_s + min(left_s, MAX_FIRST_CALL_SPREAD_S) * draw
    return now_s + min(left_s, MAX_RETRY_DELAY_S) * (0.5 + draw / 2)


def parallel_start_s(last_heard_s: float | None, calls_begun: int, last_begun_s: float, draw: float) -> float:
    """Returns the start of the next call in parallel with the last one, if that has received nothing until then."""
    return last_begun_s + (latest_start_s(last_heard_s, calls_begun, last_begun_s) - last_begun_s) * (
        PARALLEL_START_SHARE + (1.0 - PARALLEL_START_SHARE) * draw)
