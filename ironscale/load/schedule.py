"""One schedule for all workers: every request's moment and what it is, fixed before the first is sent. Pure."""

from __future__ import annotations

import bisect
import decimal
import itertools
from array import array
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random

MOST_ARRIVALS = 20_000_000
SLOW_READER, NEW_CONNECTION = 1, 2  # flags of an arrival
NO_KEY = 0

# Columns and their C types; all machines that this runs on are little-endian, `digest` says which bytes it means.
COLUMNS = (
    ("at_us", "q"),
    ("kind", "B"),
    ("tenant", "H"),
    ("key", "I"),
    ("size", "I"),
    ("work_us", "I"),
    ("patience_us", "I"),
    ("flags", "B"),
)


@dataclass(frozen=True, slots=True)
class KindMix:
    """What the requests of one class are like; ranges are whole and both ends count."""

    share: float
    deadline_us: int
    size: tuple[int, int] = (0, 0)  # body bytes
    work_us: tuple[int, int] = (0, 0)  # told as an estimate; 0 = not told


@dataclass(frozen=True, slots=True)
class Mix:
    kinds: Sequence[KindMix]
    tenant_shares: Sequence[float] = (1.0,)
    keys: int = 0  # how many things requests are about; 0 = none
    zipf: float = 0.0  # popularity of the k-th: 1 / k^zipf
    gives_up: tuple[float, float] = (1.0, 1.0)  # patience, in deadlines
    slow_readers: float = 0.0  # share of the requests
    new_connections: float = 0.0


def zipf_weights(count: int, exponent: float) -> list[int]:
    """1 / k^exponent in whole millionths of a millionth. Through decimals, rounded alike on every machine."""
    with decimal.localcontext(decimal.Context(prec=25)):
        power = decimal.Decimal(str(exponent))
        return [max(1, int(decimal.Decimal(10) ** 12 / (decimal.Decimal(k) ** power))) for k in range(1, count + 1)]


class Choice:
    """Draws an index by weights."""

    def __init__(self, weights: Sequence[float]) -> None:
        self.sums = list(itertools.accumulate(weights))

    def draw(self, random: Random) -> int:
        found = bisect.bisect_right(self.sums, random.random() * self.sums[-1])
        return min(found, len(self.sums) - 1)


@dataclass(slots=True)
class Schedule:
    """Columns of equal length, in the order of time. The index of an arrival is its place in the whole schedule."""

    at_us: array[int] = field(default_factory=lambda: array("q"))
    kind: array[int] = field(default_factory=lambda: array("B"))
    tenant: array[int] = field(default_factory=lambda: array("H"))
    key: array[int] = field(default_factory=lambda: array("I"))
    size: array[int] = field(default_factory=lambda: array("I"))
    work_us: array[int] = field(default_factory=lambda: array("I"))
    patience_us: array[int] = field(default_factory=lambda: array("I"))
    flags: array[int] = field(default_factory=lambda: array("B"))

    def __len__(self) -> int:
        return len(self.at_us)

    def columns(self) -> list[array[int]]:
        return [getattr(self, name) for name, _ in COLUMNS]

    def dealt(self, worker: int, workers: int) -> Schedule:
        """Every `workers`-th arrival from the `worker`-th on: bursts fall on all workers alike."""
        return Schedule(*(column[worker::workers] for column in self.columns()))

    def to_bytes(self) -> bytes:
        return b"".join(column.tobytes() for column in self.columns())

    @classmethod
    def from_bytes(cls, data: bytes, count: int) -> Schedule:
        found, offset = cls(), 0
        for column in found.columns():
            size = count * column.itemsize
            column.frombytes(data[offset : offset + size])
            offset += size
        if offset != len(data):
            raise ValueError(f"expected {offset} bytes of a schedule, got {len(data)}")
        return found

    def digest(self) -> str:
        return blake2b(self.to_bytes(), digest_size=16).hexdigest()


class TooMany(ValueError):
    """More arrivals than one run may hold."""


@dataclass(frozen=True, slots=True)
class Told:
    """What a trace says of one of its requests; None or 0 where it says nothing."""

    kind: int | None = None
    tenant: int | None = None
    key: int = 0
    size: int | None = None


def build(arrivals: Iterable[tuple[int, Told | None]], mix: Mix, seed: str) -> Schedule:
    """The schedule of (due, what a trace tells). Each arrival takes the same number of draws, whatever it is, so
    that a change of one share leaves the others' draws as they were."""
    random, found = Random(f"{seed}/mix"), Schedule()
    kinds = Choice([kind.share for kind in mix.kinds])
    tenants = Choice(mix.tenant_shares)
    keys = Choice(zipf_weights(mix.keys, mix.zipf)) if mix.keys else None
    draw = random.random
    appends = [column.append for column in found.columns()]
    for at_us, told in arrivals:
        if len(found) >= MOST_ARRIVALS:
            raise TooMany(f"expected {MOST_ARRIVALS:,} arrivals at most, got more; shorten the run or lower its rate")
        kind, tenant = kinds.draw(random), tenants.draw(random)
        key = 1 + keys.draw(random) if keys is not None else NO_KEY
        if told is not None:
            kind = told.kind if told.kind is not None else kind
            tenant = told.tenant if told.tenant is not None else tenant
            key = told.key or key
        spec = mix.kinds[kind]
        size, work_us = _between(spec.size, draw()), _between(spec.work_us, draw())
        if told is not None and told.size is not None:
            size = told.size
        low, high = mix.gives_up
        patience_us = int(spec.deadline_us * (low + (high - low) * draw()))
        flags = SLOW_READER * (draw() < mix.slow_readers) | NEW_CONNECTION * (draw() < mix.new_connections)
        row = (at_us, kind, tenant, key, size, work_us, patience_us, flags)
        for append, value in zip(appends, row, strict=True):
            append(value)
    return found


def _between(bounds: tuple[int, int], u: float) -> int:
    return bounds[0] + int(u * (bounds[1] - bounds[0] + 1))


def steady(times_us: Iterable[int]) -> Iterator[tuple[int, Told | None]]:
    return ((at_us, None) for at_us in times_us)
