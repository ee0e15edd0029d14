"""Decides whether a release may continue, by comparing the changed part of a fleet with the untouched part.

No I/O, no clock. Both parts are compared over the same time, not with yesterday or with a fixed error rate, because a
busy hour makes both parts worse alike. The confidence intervals are those of Clopper and Pearson (Biometrika 1934),
which are exact for any count, computed with scipy's beta distribution. scipy is imported only when the first release is
judged.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

CONFIDENCE = 0.999  # of each single comparison; this high because many are made while a wave soaks
BAD_OUTCOMES = ("refused", "failed")


@dataclass(frozen=True, slots=True)
class Counts:
    """Numbers of answers of one request class since the wave was applied."""

    served: int = 0
    refused: int = 0
    failed: int = 0

    def plus(self, other: Counts) -> Counts:
        return Counts(self.served + other.served, self.refused + other.refused, self.failed + other.failed)

    def since(self, before: Counts) -> Counts:
        return Counts(max(0, self.served - before.served), max(0, self.refused - before.refused),
                      max(0, self.failed - before.failed))

    @property
    def total(self) -> int:
        return self.served + self.refused + self.failed


@dataclass(frozen=True, slots=True)
class SoakRule:
    """How long a wave is observed, and how much worse than the untouched part it may be."""

    soak_ms: int = 0  # minimum time of observation
    margin: float = 0.02  # by how much the share of bad answers may be higher in the changed part
    max_ms: int = 60_000  # if there are too few answers to decide after this time, `unsure` decides
    unsure: str = "halt"  # or "go", for a fleet with so little traffic that there are never enough answers


class Decision(enum.StrEnum):
    GO = "go"
    WAIT = "wait"
    BREACH = "breach"


@dataclass(frozen=True, slots=True)
class Verdict:
    decision: Decision
    text: str = ""


def confidence_interval(bad: int, count: int) -> tuple[float, float]:
    """Confidence interval of the share of bad answers; each bound holds with probability CONFIDENCE."""
    from scipy.stats import beta

    if count == 0:
        return 0.0, 1.0
    low = float(beta.ppf(1 - CONFIDENCE, bad, count - bad + 1)) if bad else 0.0
    high = float(beta.ppf(CONFIDENCE, bad + 1, count - bad)) if bad < count else 1.0
    return low, high


def judge_release(changed: Mapping[str, Counts], untouched: Mapping[str, Counts], rule: SoakRule,
                  soaked_ms: int) -> Verdict:
    """Compares each class, and refusals and failures separately, because a sum over all could hide a change in one."""
    unsure: dict[str, None] = {}
    for name in sorted(changed.keys() | untouched.keys()):
        one, other = changed.get(name, Counts()), untouched.get(name, Counts())
        for outcome in BAD_OUTCOMES:
            bad, usual = getattr(one, outcome), getattr(other, outcome)
            low, high = confidence_interval(bad, one.total)
            usual_low, usual_high = confidence_interval(usual, other.total)
            if low > usual_high + rule.margin:
                return Verdict(Decision.BREACH, f"class {name}: {bad} of {one.total} {outcome} where it is changed, "
                                                f"{usual} of {other.total} where it is not")
            if high > usual_low + rule.margin:
                unsure[f"class {name} ({one.total} answers where it is changed, {other.total} where it is not)"] = None
    if soaked_ms < rule.soak_ms:
        return Verdict(Decision.WAIT, f"soaks for {(rule.soak_ms - soaked_ms) / 1000:.1f} s more")
    if not changed and not untouched:
        unsure["any class"] = None
    if not unsure:
        return Verdict(Decision.GO)
    text = f"not enough seen of {', '.join(unsure)} to tell {rule.margin:.1%}"
    if soaked_ms < rule.max_ms:
        return Verdict(Decision.WAIT, text)
    return Verdict(Decision.GO, text) if rule.unsure == "go" else Verdict(Decision.BREACH, text)
