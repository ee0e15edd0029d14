"""Records what clients and upstreams see, with one clock, and checks it against the rules of the service.

Shares no code with the program.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

LANES = ("view", "mark", "pay")  # idempotent, deduplicated by key, at most once
AFTER_END_S = 0.1  # how long after the client left or was answered an attempt may still begin
DEADLINE_SLACK_S = 0.15  # tolerance for the remaining time that an attempt tells its upstream
MEASUREMENT_SLACK_S = 0.1  # tolerance for delays of this process, in addition to its measured lag


@dataclass
class Arrival:
    """One attempt whose last byte has arrived at an upstream. `remaining_s` is the time left that it carried; `cell` is
    the upstream's, and a keyed request may only be repeated within it."""

    at_s: float
    remaining_s: float
    cell: int = 1
    may_have_run: bool = True  # False once the upstream has turned it away


@dataclass
class Call:
    """One request as its client sees it, with its arrivals at upstreams."""

    txn: str
    lane: str
    limit_s: float
    sent_s: float = 0.0
    ended_s: float | None = None  # when the answer was complete or the connection closed
    abandoned_s: float | None = None  # when the client closed the connection
    status: int = 0
    body: bytes = b""
    failure: str = ""
    connect_s: float = 0.0  # duration of the connect
    connection_state: str = ""  # state of its connection, if the request was lost
    arrivals: list[Arrival] = field(default_factory=list)


class Ledger:
    """Records all requests of a run and finds the rules that were violated."""

    def __init__(self) -> None:
        self.calls: dict[str, Call] = {}
        self.lag_s = 0.0  # the longest delay of the event loop of this process

    def new_call(self, lane: str, limit_s: float) -> Call:
        call = Call(f"t{len(self.calls)}", lane, limit_s)
        self.calls[call.txn] = call
        return call

    def record_arrival(self, txn: str, arrival: Arrival) -> None:
        if txn in self.calls:
            self.calls[txn].arrivals.append(arrival)

    def results(self) -> Counter[str]:
        return Counter(str(call.status) if call.status else call.failure or "left" for call in self.calls.values())

    def violations(self) -> list[str]:
        return [f"{call.txn} ({call.lane}): {text}"
                for call in self.calls.values() for text in self.violations_of(call)]

    def repetitions_of(self, call: Call) -> list[str]:
        """Attempts that came after one that may have run, where the class does not allow it."""
        found, ran_in_cell = [], None
        for number, arrival in enumerate(call.arrivals, 1):
            if ran_in_cell is not None and call.lane == "pay":
                found.append(f"attempt {number} of a request that may run once")
            if ran_in_cell is not None and call.lane == "mark" and arrival.cell != ran_in_cell:
                found.append(f"attempt {number} in cell {arrival.cell} of a keyed request that may have run "
                             f"in cell {ran_in_cell}")
            if arrival.may_have_run and ran_in_cell is None:
                ran_in_cell = arrival.cell
        return found

    def violations_of(self, call: Call) -> list[str]:
        found = []
        slack_s = MEASUREMENT_SLACK_S + self.lag_s
        if call.failure.startswith("lost"):
            found.append(f"{call.failure}; {call.connection_state}, connected in {call.connect_s:.3f} s, "
                         f"sent at {call.sent_s:.3f}, {len(call.arrivals)} attempts")
        if call.status == 200 and call.body != b"answer " + call.txn.encode():
            found.append(f"wrong body {call.body[:40]!r}")
        found += self.repetitions_of(call)
        if call.lane != "view" and call.status in (429, 503) and any(one.may_have_run for one in call.arrivals):
            found.append(f"refused with {call.status} though it was sent")
        end_s = call.abandoned_s if call.abandoned_s is not None else call.ended_s
        for arrival in call.arrivals:
            if end_s is not None and arrival.at_s > end_s + AFTER_END_S + slack_s:
                found.append(f"forwarded {arrival.at_s - end_s:.3f} s after its end")
            left_s = call.sent_s + call.limit_s - arrival.at_s
            if arrival.remaining_s > left_s + DEADLINE_SLACK_S + slack_s:
                found.append(f"told {arrival.remaining_s:.3f} s, its client has {left_s:.3f} s left")
        return found
