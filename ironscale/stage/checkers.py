"""What has to hold in a history, at every moment of it. Knows histories, and nothing of the program."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ironscale.stage.fault_scenario import World
from ironscale.stage.history import Entry, of

COUNTS = ("held", "unknown", "returned")
# A loss is seen by the leader when the lease ends, and that is told by a heartbeat and a tick later.
SEEN_LATE_MS = 1_500
SAMPLED_LATE_US = 600_000  # the record's file is looked at in turns, and turns wait for CPU


@dataclass(frozen=True, slots=True)
class Out:
    """A sidecar is out for certain: from the first answer that says so, to when the last such was asked for."""

    who: str
    from_us: int
    to_us: int
    is_loss: bool
    lost_us: int = 0


def outages(entries: list[Entry]) -> list[Out]:
    """A loss is what follows a kill or a stop of the sidecar itself; all else is somebody's doing."""
    found: list[Out] = []
    began: dict[str, int] = {}
    last: dict[str, int] = {}
    lost: dict[str, int] = {}
    was_lost: dict[str, int | None] = {}
    for entry in entries:
        who = entry.get("who", "")
        if entry["kind"] == "fault" and who.startswith("sidecar") and entry["fault"] in ("kill", "stop"):
            if not entry.get("mended"):
                if who in began:  # out already: from here on by itself
                    found.append(Out(who, began.pop(who), last[who], was_lost[who] is not None, was_lost[who] or 0))
                lost[who] = entry["at_us"]
        elif entry["kind"] == "truth":
            if not entry["serves"]:
                if who not in began:
                    began[who], was_lost[who] = entry["at_us"], lost.get(who)
                last[who] = max(entry["asked_us"], began[who])
            else:
                if who in began:
                    found.append(Out(who, began.pop(who), last[who], was_lost[who] is not None, was_lost[who] or 0))
                lost.pop(who, None)
    found += [Out(who, began[who], last[who], was_lost[who] is not None, was_lost[who] or 0) for who in began]
    return found


def permits(entries: list[Entry]) -> dict[str, list[tuple[int, int]]]:
    """For each sidecar, from when to when some permit counted, as the record showed it."""
    began: dict[tuple[str, int], int] = {}
    found: dict[str, list[tuple[int, int]]] = {}
    for entry in of(entries, "permit"):
        for unit in entry["units"]:
            who, key = unit.partition("/")[2], (unit, entry["id"])
            if entry["phase"] in COUNTS:
                began.setdefault(key, entry["at_us"])
            elif key in began:
                found.setdefault(who, []).append((began.pop(key), entry["at_us"]))
    for (unit, _), from_us in began.items():
        found.setdefault(unit.partition("/")[2], []).append((from_us, 2**62))
    return found


def check(world: World, entries: list[Entry]) -> list[str]:
    """What did not hold, each in a line with its time; empty = all held."""
    outs = outages(entries)
    return [*leave(world, outs, permits(entries)), *budgets(world, outs, permits(entries)), *terms(entries),
            *back(entries)]


def leave(world: World, outs: list[Out], given: dict[str, list[tuple[int, int]]]) -> list[str]:
    """Nobody is taken out without a permit that is on the record by then."""
    return [f"{out.from_us / 1e6:.3f} s: {out.who} was taken out with no permit on the record" for out in outs
            if not out.is_loss and not any(from_us <= out.from_us + SAMPLED_LATE_US and to_us >= out.from_us
                                           for from_us, to_us in given.get(out.who, []))]


def budgets(world: World, outs: list[Out], given: dict[str, list[tuple[int, int]]]) -> list[str]:
    """At every moment out <= budget + losses since the last grant. Counts only rise where somebody is taken out."""
    blind_us = int(world.lease_s * 1e6) + SEEN_LATE_MS * 1000
    found = []
    for taken in outs:
        if taken.is_loss:
            continue
        granted_us = max((from_us for from_us, to_us in given.get(taken.who, []) if from_us <= taken.from_us),
                         default=taken.from_us)
        for limit in world.limits:
            def alike(out: Out, limit: Any = limit, taken: Out = taken) -> bool:
                return not limit.each or world.zone_of(out.who) == world.zone_of(taken.who)

            there = {out.who for out in outs if alike(out) and out.from_us <= taken.from_us <= out.to_us
                     and (not out.is_loss or out.lost_us < granted_us - blind_us)}
            if len(there) > limit.number:
                found.append(f"{taken.from_us / 1e6:.3f} s: budget {limit.name}: {len(there)} out of {limit.number}: "
                             f"{', '.join(sorted(there))}")
    return found


def terms(entries: list[Entry]) -> list[str]:
    """Terms only rise, and each has one holder."""
    found, last, places = [], 0, dict[int, str]()
    for entry in of(entries, "term"):
        if entry["epoch"] < last:
            found.append(f"{entry['at_us'] / 1e6:.3f} s: term {entry['epoch']} after {last}")
        if places.setdefault(entry["epoch"], entry["place"]) != entry["place"]:
            found.append(f"{entry['at_us'] / 1e6:.3f} s: term {entry['epoch']} has two holders")
        last = max(last, entry["epoch"])
    return found


def back(entries: list[Entry]) -> list[str]:
    ends = of(entries, "end")
    if not ends:
        return ["the history has no end"]
    return [f"{ends[-1]['at_us'] / 1e6:.3f} s: not back by itself: {ends[-1]['left']}"] if ends[-1]["left"] else []


def account(entries: list[Entry]) -> dict[str, int]:
    """How much there was to see."""
    outs = outages(entries)
    return {"faults": sum(not entry.get("mended") for entry in of(entries, "fault")),
            "terms": len({entry["epoch"] for entry in of(entries, "term")}),
            "permits": len({entry["id"] for entry in of(entries, "permit")}),
            "taken out": sum(not out.is_loss for out in outs), "lost": sum(out.is_loss for out in outs)}
