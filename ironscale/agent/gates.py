"""Between two waves of a release: what the changed instances have answered meanwhile, and what the others did."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from ironscale.agent.fleet import Fleet, state_of
from ironscale.agent.model import Policy, State, Target
from ironscale.disruption.releases import Counts, Decision, SoakRule, Verdict, judge_release


@dataclass(slots=True)
class Gate:
    """Of one operation; begins anew with each wave, and with another leader."""

    first: int = -1  # position at which the next wave begins
    since_ms: int = 0
    before: dict[str, tuple[str, dict[str, Counts]]] = field(default_factory=dict)  # name -> boot, by class
    note: str = ""

    def verdict(self, policy: Policy, targets: Sequence[Target], first: int, fleet: Fleet, now_ms: int) -> Verdict:
        if first != self.first:
            self.first, self.since_ms = first, now_ms
            self.before = {name: (member.row.boot, counted(fleet, name)) for name, member in fleet.members.items()
                           if member.report is not None}
        settled = {target.name for target in targets if target.state is State.APPLIED}
        touched = {target.name for target in targets if target.command}
        changed = self.total(fleet, settled)
        untouched = self.total(fleet, fleet.members.keys() - touched)
        rule = SoakRule(policy.soak_ms, policy.margin, policy.soak_most_ms, policy.unsure)
        found = judge_release(changed, untouched, rule, now_ms - self.since_ms)
        if found.decision is Decision.GO:
            self.note = found.text
        return found

    def total(self, fleet: Fleet, names: Collection[str]) -> dict[str, Counts]:
        total: dict[str, Counts] = {}
        for name in names:
            seen = fleet.seen(name)
            if seen is None or state_of(seen) != "ready":  # who is on his way out refuses for that
                continue
            boot, before = self.before.get(name, ("", {}))
            for kind, counts in counted(fleet, name).items():
                # a process that has started since counts from its own zero
                delta = counts.since(before.get(kind, Counts())) if boot == seen.boot else counts
                total[kind] = total.get(kind, Counts()).plus(delta)
        return total


def counted(fleet: Fleet, name: str) -> dict[str, Counts]:
    report = fleet.members[name].report
    return {c.name: Counts(c.served, c.refused, c.failed) for c in report.classes} if report is not None else {}
