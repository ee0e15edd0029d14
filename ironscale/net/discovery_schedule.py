"""When the next call to discovery begins. Pure: times in seconds of one clock, draws from 0 to 1 are given.

What discovery has counts as told `TOLD_S` after it had it and could be reached, whatever has failed meanwhile. A call
that begins when discovery can be reached is answered, so two sums have to hold, each `CALL_S` short of it:

- after the last word of a watch two calls have begun: the first may fail;
- no longer than that passes between the begins of two calls, so that one begins in time after discovery is back, be it
  that the one before was refused, broke off, or is still without its first word: the next then begins beside it.
"""

from __future__ import annotations

TOLD_S = 6.0
CALL_S = 0.5  # for a call that can be answered, the loop and the decisions
SPAN_S = TOLD_S - CALL_S
# While nothing changes an empty line comes every 2 s: past this discovery or the way to it is down, though the
# connection may stay open.
SILENCE_S = 3.0
# The first call of many is spread over half of what is left then, so the second has as much. A watch that has broken
# leaves more, but no more than this is used.
FIRST_S = (SPAN_S - SILENCE_S) / 2
MOST_FIRST_S = 2.5
LONGEST_TURN_S = 5.0
# Hazard: a discovery that answers in turns has one more call to work at, so a second begins late beside one that waits.
BESIDE = 0.8


def latest_s(heard_s: float | None, begun: int, last_s: float) -> float:
    """By when the next call has to begin: `begun` calls have, the last at `last_s`, since the last word of a watch at
    `heard_s` (None: there has been none)."""
    if heard_s is not None and begun == 0:
        return heard_s + SILENCE_S + FIRST_S
    most_s = last_s + SPAN_S
    return min(most_s, heard_s + SPAN_S) if heard_s is not None and begun == 1 else most_s


def after_end_s(now_s: float, heard_s: float | None, begun: int, last_s: float, draw: float) -> float:
    """When it begins, after a watch (`begun` 0) or the last call has ended: in a turn drawn within what is left."""
    left_s = max(0.0, latest_s(heard_s, begun, last_s) - now_s)
    if begun == 0:
        return now_s + min(left_s, MOST_FIRST_S) * draw
    return now_s + min(left_s, LONGEST_TURN_S) * (0.5 + draw / 2)


def beside_s(heard_s: float | None, begun: int, last_s: float, draw: float) -> float:
    """When it begins beside the last one, if that has had no word until then."""
    return last_s + (latest_s(heard_s, begun, last_s) - last_s) * (BESIDE + (1.0 - BESIDE) * draw)
