"""Histograms of microseconds to three significant digits, on HdrHistogram; a Counter while they are filled.

HdrHistogram's classes of equal values at three digits are those of a number's first 11 bits, so a Counter of rounded
values holds the same, costs a third of the time to fill and is what resampling needs.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from hdrh.histogram import HdrHistogram

LOWEST, HIGHEST, DIGITS = 1, 3_600_000_000, 3
BITS = 11  # 2,048 classes between two powers of two hold three digits
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def rounded(value_us: int) -> int:
    """The least value of its class, within what a histogram holds."""
    value_us = min(max(value_us, LOWEST), HIGHEST)
    shift = value_us.bit_length() - BITS
    return value_us >> shift << shift if shift > 0 else value_us


def histogram(counts: Mapping[int, int]) -> HdrHistogram:
    found = HdrHistogram(LOWEST, HIGHEST, DIGITS)
    for value_us, count in counts.items():
        found.record_value(value_us, count)
    return found


def encode(counts: Mapping[int, int]) -> str:
    """HdrHistogram's V2 form, compressed, in Base64: other tools read it too."""
    text: str = histogram(counts).encode().decode("ascii")
    return text


def decode(text: str) -> Counter[int]:
    """Raises ValueError for what is no such histogram."""
    try:
        found = HdrHistogram.decode(text)
        return Counter(
            {
                rounded(item.value_iterated_to): item.count_added_in_this_iter_step
                for item in found.get_recorded_iterator()
            }
        )
    except Exception as error:  # the library raises its own, zlib's, struct's and ctypes'
        raise ValueError(f"expected a histogram in HdrHistogram's V2 form, got {text[:40]!r}: {error}") from error


def percentile(counts: Mapping[int, int], share: float) -> int:
    """The greatest value of the class in which so many per cent are reached; 0 for an empty one."""
    if not counts:
        return 0
    found: int = histogram(counts).get_value_at_percentile(share)
    return found


def quantiles(counts: Mapping[int, int], shares: Sequence[float]) -> list[int]:
    """As `percentile` for several rising shares at once, without a histogram: for thousands of resampled ones."""
    found: list[int] = []
    total, passed, wanted = sum(counts.values()), 0, list(shares)
    for value_us in sorted(counts):
        passed += counts[value_us]
        while wanted and passed >= max(1, int(wanted[0] / 100 * total + 0.5)):
            shift = max(0, value_us.bit_length() - BITS)
            found.append(value_us + (1 << shift) - 1)
            wanted.pop(0)
    return found + [0] * len(wanted)


def summary(counts: Mapping[int, int]) -> dict[str, float]:
    """count, mean, percentiles and the greatest, in milliseconds."""
    if not counts:
        return {"count": 0}
    held = histogram(counts)
    found: dict[str, float] = {"count": sum(counts.values()), "mean": round(held.get_mean_value() / 1000, 3)}
    for share in PERCENTILES:
        found[f"p{share:g}"] = held.get_value_at_percentile(share) / 1000
    found["max"] = held.get_max_value() / 1000
    return found


def merged(parts: Iterable[Mapping[int, int]]) -> Counter[int]:
    total: Counter[int] = Counter()
    for part in parts:
        total.update(part)
    return total
