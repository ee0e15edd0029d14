"""Which agent an instance follows, when it looks for another, and how the many that look are spread. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

from ironscale.versions.model import Labels

# An instance has to have a version within 12 s of its commit, whichever agent is lost. The worst sum: an agent that was
# stopped is found out (SILENT_S), or one that is cut off from the record (STALE_S and a bookmark's gap), then the next
# is dialled within the spread that the size asks for, and answers or is given up on (CONNECT_S each).
BOOKMARK_S = 1.0  # an agent says so often what position it has, and how old that is
SILENT_S = 3.0
STALE_S = 2.5  # of an agent's word that it has reached the record
CONNECT_S = 1.0
LIMIT_S = 12.0
FOLD_S = 0.1  # what is committed within it is told at once


@dataclass(frozen=True, slots=True)
class Place:
    """An agent that serves versions."""

    host: str
    port: int
    zone: str = ""
    region: str = ""


def weight(instance: str, place: Place) -> int:
    """Rendezvous hashing: an agent that is lost leaves its instances to all others alike."""
    text = f"{instance}\0{place.host}:{place.port}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def order(labels: Labels, places: Sequence[Place]) -> tuple[Place, ...]:
    """All of them: the own zone's first, then the region's, then any."""
    def far(place: Place) -> int:
        if labels.zone and place.zone == labels.zone:
            return 0
        return 1 if labels.region and place.region == labels.region else 2

    return tuple(sorted(places, key=lambda place: (far(place), -weight(labels.instance, place))))


def spread_s(followers: int, a_second: float, agents: int) -> float:
    """Over how long those of a lost agent dial the others: each of these takes `a_second`."""
    return followers / (a_second * max(1, agents - 1))


@dataclass(frozen=True, slots=True)
class Heard:
    """What an agent said last of itself."""

    position: int
    age_s: float  # since it last reached the record


def looks_elsewhere(heard: Heard | None, silent_s: float) -> bool:
    """Whether an instance that follows an agent tries others beside it."""
    return heard is None or silent_s >= SILENT_S or heard.age_s + silent_s >= STALE_S


def is_better(other: Heard, own: Heard | None) -> bool:
    """Whether the other's view is worth going there: fresh where ours is not, or further. Hazard: two that are both cut
    off would be changed for one another again and again."""
    if own is None or own.age_s < STALE_S:
        return own is None
    return other.age_s < STALE_S or other.position > own.position


def is_home(other: Heard, own: Heard | None, there: Place, here: Place, order: Sequence[Place]) -> bool:
    """Whether the other is nearer, and as good."""
    nearer = order.index(there) < order.index(here)
    return nearer and other.age_s < STALE_S and (own is None or other.position >= own.position)
