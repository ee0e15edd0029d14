"""What is out among upstreams, by what several sidecars see of the list and of their own windows. No I/O, no clock.

One that sees most ill where others don't is ill itself, and is left out; one that many see ill is ill. Where they
disagree a unit counts as out and is not known to be: nobody is taken for well against a quarter of those who look, and
where more than three look nobody's word alone takes one for ill.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from statistics import median

from ironscale.disruption.model import Of, Sight, Unit

QUORUM = 3  # that have answered; fewer where there are no more
DISSENT = 4  # one of so many that says out is enough for it to count


@dataclass(frozen=True, slots=True)
class Look:
    """One upstream, as one sidecar has it."""

    unit: Unit
    why: str  # empty = in service, as far as this sidecar can tell
    warmth: float = 1.0
    started: str = ""  # which process


@dataclass(frozen=True, slots=True)
class View:
    """All that one sidecar has on its list, at one moment."""

    who: str
    asked_ms: int  # when the question was put whose answer this is
    looks: Mapping[str, Look]  # by the upstream's name


def merged(views: Sequence[View], connected: int, known: Iterable[Unit]) -> list[Sight]:
    """Of every upstream that a fresh view lists, or that is `known` from before. `connected`: sidecars that could have
    answered."""
    units = {unit.name: unit for unit in known}
    for view in sorted(views, key=lambda view: view.asked_ms):
        units |= {name: look.unit for name, look in view.looks.items()}
    quorum = max(1, min(QUORUM, connected))
    views = _sound(views, len(units))
    return [_one(units[name], views, quorum) for name in sorted(units)]


def _sound(views: Sequence[View], count: int) -> list[View]:
    """Without those that see most ill while most of the others see few so."""
    ill = {view.who: count - sum(not look.why for look in view.looks.values()) for view in views}
    if len(views) < QUORUM or median(ill.values()) * DISSENT >= count:
        return list(views)
    return [view for view in views if 2 * ill[view.who] <= count]


def _one(unit: Unit, views: Sequence[View], quorum: int) -> Sight:
    total = len(views)
    if total < quorum:
        return Sight(unit, 1.0, f"seen by {total} sidecars of {quorum}", known=False)
    looks = [(view, view.looks.get(unit.name)) for view in views]
    well = [(view, look) for view, look in looks if look is not None and not look.why]
    ill = total - len(well)
    enough = 1 if total <= QUORUM else max(2, -(-total // DISSENT))
    if ill >= enough:
        reasons = Counter("not listed" if look is None else look.why for _, look in looks if look is None or look.why)
        why, count = min(reasons.items(), key=lambda found: (-found[1], found[0]))
        # by most it is out for certain; by some it counts, and can't be taken out as if it were
        return Sight(unit, 1.0, f"{why} by {count} of {total}", known=2 * ill > total)
    processes = {look.started for _, look in well}
    warmth = median(look.warmth for _, look in well)
    # the answer to the latest question that most of all have answered so
    asked = sorted((view.asked_ms for view, _ in well), reverse=True)
    why = f"cold, {warmth:.0%}" if warmth < 1.0 else ""
    return Sight(unit, round(1.0 - warmth, 4), why, boot=max(processes), asked_ms=asked[total // 2]
                 if len(asked) > total // 2 else 0)


def ought(name: str, entry: Mapping[str, object]) -> Look:
    """A sidecar's own entry, as `inspect` gives it. Raises KeyError, TypeError or ValueError."""
    state = str(entry["state"])
    unit = Unit(Of.UPSTREAM, name, zone=str(entry["zone"]), kind=str(entry["kind"]), group=str(entry["group"]),
                weight=float(str(entry["weight"])) or 1.0)
    why = state if state != "ready" else "no answer" if entry["mute"] else (
        "failing" if entry["failing"] and entry["resting"] else "")
    return Look(unit, why, float(str(entry["warmth"])), str(entry["startedUs"]))
