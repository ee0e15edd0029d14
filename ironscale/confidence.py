"""How far to believe what was learned before or elsewhere: `LearnedState` of ironscale/interface.py. Pure.

Each value fades towards what a sidecar that knows nothing would take. Nothing here is certain: balance.py
tests every upstream by one try of its own before it acts on more than a preference.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from ironscale import interface as api

WIDE_HALVES_US = 60_000_000  # open windows: load moves within minutes, and the first tries show it
SHUT_HALVES_US = 10_000_000  # shut ones: stale, they would keep from the upstream what would show it well
LATENCY_HALVES_US = 60_000_000
SIDECAR_HALVES_US = 30_000_000
MUTE_LASTS_US = 600_000_000  # silence does not fade: one try ends it
LEAST_LASTS_US = 3_600_000_000  # how far a process is does not change while it runs
NOTHING = 1 / 128  # a share of trust under which nothing is taken
SHUT = 0.5  # slots under which an upstream counts as distrusted
LEAST_SLOTS = 1 / 8  # no window is shut further by what was told
MOST_MUTE = 3
TENANT_WEIGHT = 20.0  # arrivals that the recalled shares of tenants count for
SETTLED_US = 10_000_000  # a donor that has run for less knows little
DONOR_HALVES_US = 30_000_000  # of its values, beside those of other donors


def share(age_us: int, halves_us: int) -> float:
    """Of 1, what a value of this age is still worth. One from the future is worth nothing."""
    left: float = 0.5 ** (age_us / halves_us) if 0 <= age_us <= 8 * halves_us else 0.0
    return left if left >= NOTHING else 0.0


def between(usual: float, told: float, trust: float) -> float:
    """From `usual` to `told` by ratio, as windows and times move by ratios; both above 0."""
    found: float = usual * (told / usual) ** trust
    return found


def faded(lesson: api.LearnedUpstream, now_us: int) -> api.LearnedUpstream | None:
    """What is left of it now; None if nothing is."""
    age_us = now_us - lesson.confirmed_us
    if not 0 <= age_us <= LEAST_LASTS_US:
        return None
    silent = lesson.timeout_doublings > 1 and age_us <= MUTE_LASTS_US
    halves_us = WIDE_HALVES_US if lesson.slots >= 1.0 else SHUT_HALVES_US
    slots = shown(lesson) if silent else between(1.0, lesson.slots, share(age_us, halves_us))
    return replace(lesson, slots=slots, timeout_doublings=lesson.timeout_doublings if silent else 1,
                   failing=lesson.failing and share(age_us, SHUT_HALVES_US) >= 0.5)


def shown(lesson: api.LearnedUpstream) -> float:
    """Its slots. What answers nothing is tried so seldom that its window hardly closes: as good as shut."""
    return min(lesson.slots, LEAST_SLOTS) if lesson.timeout_doublings > 1 else lesson.slots


def is_shut(lesson: api.LearnedUpstream | None) -> bool:
    return lesson is not None and shown(lesson) < SHUT


@dataclass(slots=True, frozen=True)
class Donor:
    """One running sidecar's lessons, its times on our clock, and its own state."""

    lessons: api.LearnedState
    up_us: int  # since its start
    resting: bool  # its own window is shut: it judges all by its own trouble
    cut_off: bool  # from discovery
    ages: tuple[float, ...] = ()  # at which kept connections fail (ironscale/net/upstream.py)

    def weight(self) -> float:
        return 0.0 if self.up_us < SETTLED_US else 0.5 if self.cut_off else 1.0


def median(values: Sequence[tuple[float, float]]) -> float:
    """The weighted median of (value, weight): no one of three can move it beyond the others."""
    half, passed = sum(weight for _, weight in values) / 2, 0.0
    ordered = sorted(values)
    for value, weight in ordered:
        passed += weight
        if passed >= half:
            return value
    return ordered[-1][0]


def believed(donor: Donor) -> list[api.LearnedUpstream]:
    """Its first-hand lessons. Hazard: one that is or was in a stall would teach that all are bad."""
    own = [lesson for lesson in donor.lessons.upstreams if lesson.first_hand]
    if donor.resting or 2 * sum(map(is_shut, own)) > len(own):
        return [lesson for lesson in own if not is_shut(lesson)]
    return own


def agreed(donors: Sequence[Donor], now_us: int, zone: int) -> api.LearnedState | None:
    """What several donors teach together, as another's word; None if none of them has anything to teach."""
    donors = [donor for donor in donors if donor.weight() > 0.0]
    by_process: dict[tuple[int, int], list[tuple[api.LearnedUpstream, float, bool]]] = {}
    by_class: dict[str, list[tuple[api.LearnedClass, float]]] = {}
    windows: list[tuple[float, float]] = []
    tenants: dict[str, list[tuple[float, float]]] = {}
    for donor in donors:
        weight = donor.weight()
        for lesson in believed(donor):
            worth = weight * share(now_us - lesson.confirmed_us, DONOR_HALVES_US)
            if lesson.timeout_doublings > 1:  # it is tried seldom, and so confirmed seldom
                worth = max(worth, weight / 2)
            if worth > 0.0:
                by_process.setdefault((lesson.id, lesson.started_us), []).append(
                    (lesson, worth, donor.lessons.zone == zone))
        for kind in donor.lessons.classes:
            worth = weight * share(now_us - kind.confirmed_us, DONOR_HALVES_US)
            if worth > 0.0:
                by_class.setdefault(kind.name, []).append((kind, worth))
        if donor.lessons.slots > 0.0:
            windows.append((donor.lessons.slots, weight))
        for name, part in donor.lessons.tenants:
            tenants.setdefault(name, []).append((part, weight))
    if not by_process and not by_class:
        return None
    confirmed = [(float(donor.lessons.confirmed_us), donor.weight()) for donor in donors]
    return api.LearnedState(
        now_us, zone, median(windows) if windows else 0.0, int(median(confirmed)),
        tuple(_agreed_upstream(found) for found in by_process.values()),
        tuple(api.LearnedClass(name, int(median([(float(c.confirmed_us), w) for c, w in found])),
            median([(c.mean_us, w) for c, w in found]), median([(c.base_us, w) for c, w in found]))
              for name, found in by_class.items()),
        tuple((name, median(found)) for name, found in tenants.items()))


def _agreed_upstream(found: Sequence[tuple[api.LearnedUpstream, float, bool]]) -> api.LearnedUpstream:
    lows = [(float(one.min_latency_us), w) for one, w, near in found if near and one.min_latency_us > 0]
    slots = median([(shown(lesson), worth) for lesson, worth, _ in found])
    # the median of lessons, not a mixture: silent with open slots would be nobody's observation
    lesson = next(lesson for lesson, _, _ in found if shown(lesson) == slots)
    return replace(lesson, min_latency_us=int(median(lows)) if lows else 0, next_cold_us=0, first_hand=False)
