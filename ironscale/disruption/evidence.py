"""Decides which upstreams are out, from what several sidecars see in discovery and in their windows. No I/O, no clock.

A sidecar that sees most upstreams as out while the others don't is faulty itself and is ignored. An upstream that most
sidecars see as out is out. Where they disagree it counts as out without being known to be out: no upstream counts as in
service if a quarter of the sidecars disagree, and with more than three a single one can't make it count as out.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from statistics import median

from ironscale.disruption.model import Observation, Unit, UnitKind

QUORUM = 3  # sidecars that must have answered; fewer if fewer are connected
DISSENT_DIVISOR = 4  # an upstream counts as out if one sidecar in this many sees it so


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """One upstream as one sidecar sees it."""

    unit: Unit
    reason: str  # why it is out; empty = in service, as far as this sidecar can tell
    warmth: float = 1.0
    process_start: str = ""  # start time of the upstream's process, to tell processes apart


@dataclass(frozen=True, slots=True)
class SidecarView:
    """All upstreams that one sidecar knows at one moment."""

    sidecar: str
    asked_ms: int  # when the request was sent that this answers
    upstreams: Mapping[str, UpstreamView]  # by name


def merge_views(views: Sequence[SidecarView], connected: int, known: Iterable[Unit]) -> list[Observation]:
    """Combines the sidecars' views into one observation of each upstream that a view lists or that is `known` from
    before. `connected` is the number of sidecars that could have answered."""
    units = {unit.name: unit for unit in known}
    for view in sorted(views, key=lambda view: view.asked_ms):
        units |= {name: upstream.unit for name, upstream in view.upstreams.items()}
    quorum = max(1, min(QUORUM, connected))
    views = _trusted_views(views, len(units))
    return [_observe_unit(units[name], views, quorum) for name in sorted(units)]


def _trusted_views(views: Sequence[SidecarView], count: int) -> list[SidecarView]:
    """Leaves out the views of sidecars that see most upstreams as out while most other sidecars see few as out."""
    out_counts = {view.sidecar: count - sum(not upstream.reason for upstream in view.upstreams.values())
                  for view in views}
    if len(views) < QUORUM or median(out_counts.values()) * DISSENT_DIVISOR >= count:
        return list(views)
    return [view for view in views if 2 * out_counts[view.sidecar] <= count]


def _observe_unit(unit: Unit, views: Sequence[SidecarView], quorum: int) -> Observation:
    total = len(views)
    if total < quorum:
        return Observation(unit, 1.0, f"seen by {total} sidecars of {quorum}", known=False)
    entries = [(view, view.upstreams.get(unit.name)) for view in views]
    serving = [(view, upstream) for view, upstream in entries if upstream is not None and not upstream.reason]
    out_count = total - len(serving)
    needed = 1 if total <= QUORUM else max(2, -(-total // DISSENT_DIVISOR))
    if out_count >= needed:
        reasons = Counter("not listed" if upstream is None else upstream.reason for _, upstream in entries
                          if upstream is None or upstream.reason)
        reason, count = min(reasons.items(), key=lambda found: (-found[1], found[0]))
        # If most sidecars agree it is known to be out. Otherwise it counts against the budget, but a permit for it must
        # not treat it as already out.
        return Observation(unit, 1.0, f"{reason} by {count} of {total}", known=2 * out_count > total)
    processes = {upstream.process_start for _, upstream in serving}
    warmth = median(upstream.warmth for _, upstream in serving)
    # the latest request time by which a majority of all sidecars confirm that it serves
    asked_times = sorted((view.asked_ms for view, _ in serving), reverse=True)
    reason = f"cold, {warmth:.0%}" if warmth < 1.0 else ""
    return Observation(unit, round(1.0 - warmth, 4), reason, boot=max(processes), asked_ms=asked_times[total // 2]
                 if len(asked_times) > total // 2 else 0)


def upstream_view(name: str, entry: Mapping[str, object]) -> UpstreamView:
    """Converts one upstream of a sidecar's `inspect` answer. Raises KeyError, TypeError or ValueError."""
    state = str(entry["state"])
    unit = Unit(UnitKind.UPSTREAM, name, zone=str(entry["zone"]), kind=str(entry["kind"]), group=str(entry["group"]),
                weight=float(str(entry["weight"])) or 1.0)
    reason = state if state != "ready" else "no answer" if entry["mute"] else (
        "failing" if entry["failing"] and entry["resting"] else "")
    return UpstreamView(unit, reason, float(str(entry["warmth"])), str(entry["startedUs"]))
