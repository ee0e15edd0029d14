"""Whether a release may go on: what the changed part of a fleet serves, beside the untouched part at the same moment.

No I/O, no clock. Not against yesterday, and not against a fixed share: a busy hour makes both parts worse alike.
Intervals are Clopper's and Pearson's (Biometrika 1934), exact for any count, by scipy's beta distribution; scipy is
loaded where the first release is judged, and nowhere before.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

CONFIDENCE = 0.999  # of each look, as many looks are made while a wave soaks
BAD = ("refused", "failed")


@dataclass(frozen=True, slots=True)
class Counts:
    """Answers of one class since the wave had settled."""

    served: int = 0
    refused: int = 0
    failed: int = 0

    def plus(self, other: Counts) -> Counts:
        return Counts(self.served + other.served, self.refused + other.refused, self.failed + other.failed)

    def since(self, before: Counts) -> Counts:
        return Counts(max(0, self.served - before.served), max(0, self.refused - before.refused),
                      max(0, self.failed - before.failed))

    @property
    def all(self) -> int:
        return self.served + self.refused + self.failed


@dataclass(frozen=True, slots=True)
class Rule:
    """When a wave has soaked."""

    soak_ms: int = 0  # no sooner than this
    margin: float = 0.02  # of all answers, by which the changed part may be worse
    most_ms: int = 60_000  # after so long without enough to see, the rule below
    unsure: str = "halt"  # or "go": a fleet with hardly any traffic never shows enough


class Word(enum.StrEnum):
    GO = "go"
    WAIT = "wait"
    BREACH = "breach"


@dataclass(frozen=True, slots=True)
class Verdict:
    word: Word
    text: str = ""


def bounds(bad: int, count: int) -> tuple[float, float]:
    """The share of bad answers lies between these, with CONFIDENCE on each side."""
    from scipy.stats import beta

    if count == 0:
        return 0.0, 1.0
    low = float(beta.ppf(1 - CONFIDENCE, bad, count - bad + 1)) if bad else 0.0
    high = float(beta.ppf(CONFIDENCE, bad + 1, count - bad)) if bad < count else 1.0
    return low, high


def judge(changed: Mapping[str, Counts], untouched: Mapping[str, Counts], rule: Rule, soaked_ms: int) -> Verdict:
    """By class and by what is bad: one class, or refusals beside failures, may hide in the sum."""
    unsure: dict[str, None] = {}
    for name in sorted(changed.keys() | untouched.keys()):
        one, other = changed.get(name, Counts()), untouched.get(name, Counts())
        for what in BAD:
            bad, usual = getattr(one, what), getattr(other, what)
            low, high = bounds(bad, one.all)
            usual_low, usual_high = bounds(usual, other.all)
            if low > usual_high + rule.margin:
                return Verdict(Word.BREACH, f"class {name}: {bad} of {one.all} {what} where it is changed, {usual} of "
                                            f"{other.all} where it is not")
            if high > usual_low + rule.margin:
                unsure[f"class {name} ({one.all} answers where it is changed, {other.all} where it is not)"] = None
    if soaked_ms < rule.soak_ms:
        return Verdict(Word.WAIT, f"soaks for {(rule.soak_ms - soaked_ms) / 1000:.1f} s more")
    if not changed and not untouched:
        unsure["any class"] = None
    if not unsure:
        return Verdict(Word.GO)
    text = f"not enough seen of {', '.join(unsure)} to tell {rule.margin:.1%}"
    if soaked_ms < rule.most_ms:
        return Verdict(Word.WAIT, text)
    return Verdict(Word.GO, text) if rule.unsure == "go" else Verdict(Word.BREACH, text)
