"""How much to rely on `LearnedState` (ironscale/interface.py) of an earlier process or another sidecar. Pure.

With age each value decays to the default of a sidecar that has learned nothing. balance.py treats lessons as
a preference only, until one attempt of its own at an upstream has confirmed them.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from ironscale import interface as api

OPEN_HALF_LIFE_US = 60_000_000  # open windows: load shifts within minutes, and the first attempts show it
CLOSED_HALF_LIFE_US = 10_000_000  # closed ones: if stale, they prevent the attempts that show a recovery
LATENCY_HALF_LIFE_US = 60_000_000
SIDECAR_HALF_LIFE_US = 30_000_000
SILENCE_LIFETIME_US = 600_000_000  # silence does not decay: one answered attempt ends it
DISTANCE_LIFETIME_US = 3_600_000_000  # the network distance of a process does not change while it runs
MIN_CONFIDENCE = 1 / 128  # lower confidence counts as 0
CLOSED_BELOW_SLOTS = 0.5  # an upstream with fewer slots counts as closed
MIN_SLOTS = 1 / 8  # a lesson closes no window further than this
MAX_MUTE = 3
TENANT_WEIGHT = 20.0  # number of arrivals that recalled tenant shares stand for
MIN_DONOR_UPTIME_US = 10_000_000  # a donor that has run for less time knows little
DONOR_HALF_LIFE_US = 30_000_000  # of a donor's values, as weights against those of other donors


def decay(age_us: int, half_life_us: int) -> float:
    """Confidence from 0 to 1 in a value of this age; 0 for one from the future."""
    confidence: float = 0.5 ** (age_us / half_life_us) if 0 <= age_us <= 8 * half_life_us else 0.0
    return confidence if confidence >= MIN_CONFIDENCE else 0.0


def blend(default: float, taught: float, confidence: float) -> float:
    """From `default` (confidence 0) to `taught` (1), geometrically, as they vary by ratios; both above 0."""
    result: float = default * (taught / default) ** confidence
    return result


def decayed_lesson(lesson: api.LearnedUpstream, now_us: int) -> api.LearnedUpstream | None:
    """The lesson with its values decayed to `now_us`; None if it is too old or from the future."""
    age_us = now_us - lesson.confirmed_us
    if not 0 <= age_us <= DISTANCE_LIFETIME_US:
        return None
    is_silent = lesson.timeout_doublings > 1 and age_us <= SILENCE_LIFETIME_US
    half_life_us = OPEN_HALF_LIFE_US if lesson.slots >= 1.0 else CLOSED_HALF_LIFE_US
    slots = effective_slots(lesson) if is_silent else blend(1.0, lesson.slots, decay(age_us, half_life_us))
    return replace(lesson, slots=slots, timeout_doublings=lesson.timeout_doublings if is_silent else 1,
                   failing=lesson.failing and decay(age_us, CLOSED_HALF_LIFE_US) >= 0.5)


def effective_slots(lesson: api.LearnedUpstream) -> float:
    """Its slots. A silent upstream is tried so rarely that its window hardly closes: it counts as closed."""
    return min(lesson.slots, MIN_SLOTS) if lesson.timeout_doublings > 1 else lesson.slots


def is_closed(lesson: api.LearnedUpstream | None) -> bool:
    return lesson is not None and effective_slots(lesson) < CLOSED_BELOW_SLOTS


@dataclass(slots=True, frozen=True)
class Donor:
    """The lessons of another running sidecar, converted to our clock, and that sidecar's state."""

    lessons: api.LearnedState
    uptime_us: int  # since its start
    resting: bool  # its own window is nearly closed: its view of upstreams may reflect its own trouble
    cut_off: bool  # from discovery
    ages: tuple[float, ...] = ()  # at which idle connections fail (ironscale/net/upstream.py)

    def weight(self) -> float:
        return 0.0 if self.uptime_us < MIN_DONOR_UPTIME_US else 0.5 if self.cut_off else 1.0


def median(values: Sequence[tuple[float, float]]) -> float:
    """Weighted median of (value, weight) pairs: one of three equal ones can't move it beyond the others."""
    half, cumulative = sum(weight for _, weight in values) / 2, 0.0
    ordered = sorted(values)
    for value, weight in ordered:
        cumulative += weight
        if cumulative >= half:
            return value
    return ordered[-1][0]


def usable_lessons(donor: Donor) -> list[api.LearnedUpstream]:
    """Its first-hand lessons; those of closed windows are left out if its own stall may have closed them."""
    own = [lesson for lesson in donor.lessons.upstreams if lesson.first_hand]
    if donor.resting or 2 * sum(map(is_closed, own)) > len(own):
        return [lesson for lesson in own if not is_closed(lesson)]
    return own


def combined_lessons(donors: Sequence[Donor], now_us: int, zone: int) -> api.LearnedState | None:
    """Combines the lessons of several donors by weighted medians, as second-hand; None if they have none."""
    donors = [donor for donor in donors if donor.weight() > 0.0]
    by_process: dict[tuple[int, int], list[tuple[api.LearnedUpstream, float, bool]]] = {}
    by_class: dict[str, list[tuple[api.LearnedClass, float]]] = {}
    windows: list[tuple[float, float]] = []
    tenants: dict[str, list[tuple[float, float]]] = {}
    for donor in donors:
        weight = donor.weight()
        for lesson in usable_lessons(donor):
            decayed_weight = weight * decay(now_us - lesson.confirmed_us, DONOR_HALF_LIFE_US)
            if lesson.timeout_doublings > 1:  # silent upstreams are tried rarely, so confirmed rarely
                decayed_weight = max(decayed_weight, weight / 2)
            if decayed_weight > 0.0:
                by_process.setdefault((lesson.id, lesson.started_us), []).append(
                    (lesson, decayed_weight, donor.lessons.zone == zone))
        for kind in donor.lessons.classes:
            decayed_weight = weight * decay(now_us - kind.confirmed_us, DONOR_HALF_LIFE_US)
            if decayed_weight > 0.0:
                by_class.setdefault(kind.name, []).append((kind, decayed_weight))
        if donor.lessons.slots > 0.0:
            windows.append((donor.lessons.slots, weight))
        for name, part in donor.lessons.tenants:
            tenants.setdefault(name, []).append((part, weight))
    if not by_process and not by_class:
        return None
    confirmed = [(float(donor.lessons.confirmed_us), donor.weight()) for donor in donors]
    return api.LearnedState(
        now_us, zone, median(windows) if windows else 0.0, int(median(confirmed)),
        tuple(_combined_upstream(found) for found in by_process.values()),
        tuple(api.LearnedClass(name, int(median([(float(c.confirmed_us), w) for c, w in found])),
            median([(c.mean_us, w) for c, w in found]), median([(c.base_us, w) for c, w in found]))
              for name, found in by_class.items()),
        tuple((name, median(found)) for name, found in tenants.items()))


def _combined_upstream(found: Sequence[tuple[api.LearnedUpstream, float, bool]]) -> api.LearnedUpstream:
    distances = [(float(one.min_latency_us), weight) for one, weight, near in found if near and one.min_latency_us > 0]
    slots = median([(effective_slots(lesson), weight) for lesson, weight, _ in found])
    # one whole lesson, as a mix of several (silent, but with open slots) would be nobody's observation
    lesson = next(lesson for lesson, _, _ in found if effective_slots(lesson) == slots)
    return replace(lesson, min_latency_us=int(median(distances)) if distances else 0, next_cold_us=0, first_hand=False)
