"""Canary analysis between two waves of a release: compares answers of changed instances with those of the others."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from ironscale.agent.fleet import Fleet, state_of
from ironscale.agent.model import Policy, State, Target
from ironscale.disruption.releases import Counts, Decision, SoakRule, Verdict, judge_release


@dataclass(slots=True)
class Gate:
    """Gate of one operation. Counting starts over with each wave, and when another agent becomes the leader."""

    next_wave_start: int = -1  # position of the first target of the next wave
    since_ms: int = 0
    baseline: dict[str, tuple[str, dict[str, Counts]]] = field(default_factory=dict)  # name -> boot, baseline
    note: str = ""

    def verdict(self, policy: Policy, targets: Sequence[Target], first: int, fleet: Fleet, now_ms: int) -> Verdict:
        """Whether the wave that begins at position `first` may start, by the answers counted since the last wave."""
        if first != self.next_wave_start:
            self.next_wave_start, self.since_ms = first, now_ms
            self.baseline = {name: (member.row.boot, reported_counts(fleet, name))
                             for name, member in fleet.members.items() if member.report is not None}
        settled = {target.name for target in targets if target.state is State.APPLIED}
        touched = {target.name for target in targets if target.command}
        changed = self.count_answers(fleet, settled)
        untouched = self.count_answers(fleet, fleet.members.keys() - touched)
        rule = SoakRule(policy.soak_ms, policy.margin, policy.soak_most_ms, policy.unsure)
        found = judge_release(changed, untouched, rule, now_ms - self.since_ms)
        if found.decision is Decision.GO:
            self.note = found.text
        return found

    def count_answers(self, fleet: Fleet, names: Collection[str]) -> dict[str, Counts]:
        """Answers of the ready instances among `names` since the start of the soak, summed by request class."""
        total: dict[str, Counts] = {}
        for name in names:
            seen = fleet.observe(name)
            if seen is None or state_of(seen) != "ready":  # draining instances refuse requests for that reason
                continue
            boot, before = self.baseline.get(name, ("", {}))
            for kind, counts in reported_counts(fleet, name).items():
                # A process that has started since then has counted from zero.
                delta = counts.since(before.get(kind, Counts())) if boot == seen.boot else counts
                total[kind] = total.get(kind, Counts()).plus(delta)
        return total


def reported_counts(fleet: Fleet, name: str) -> dict[str, Counts]:
    """The instance's last reported counters by request class."""
    report = fleet.members[name].report
    return {c.name: Counts(c.served, c.refused, c.failed) for c in report.classes} if report is not None else {}
