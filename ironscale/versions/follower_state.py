"""One instance that follows: what it holds, what it runs, and what it makes of an update. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from ironscale.versions.compacted_log import Change, View, ViewError
from ironscale.versions.model import Labels, digest, effective


class Word(Enum):
    """What an update asks for."""

    NOTHING = "nothing"  # it says where the agent is, or what is held already
    APPLY = "apply"  # `wanted` differs from what runs
    REREAD = "reread"  # what is held can't be what the agent holds: all of it is asked for again
    STRANGE = "strange"  # of another log; it is not followed


@dataclass(slots=True)
class Following:
    labels: Labels
    view: View = field(default_factory=View)
    wanted: dict[str, Any] = field(default_factory=dict)  # what is held comes to
    wanted_digest: str = field(default_factory=lambda: digest({}))
    running: int = 0  # the position whose configuration runs
    running_digest: str = field(default_factory=lambda: digest({}))
    status: str = "applied"
    detail: str = ""
    reread: bool = False

    def since(self) -> int:
        """What an agent is told that this instance holds; 0 asks for a snapshot."""
        return 0 if self.reread else self.view.position

    def take(self, change: Change, told_digest: str) -> Word:
        """Nothing older is ever taken: an agent that is behind is heard, and not followed back."""
        if self.view.lineage and change.lineage != self.view.lineage:
            return Word.STRANGE
        if change.position < self.view.position:
            return Word.NOTHING
        if change.since > self.view.position and not change.is_snapshot:
            self.reread = True
            return Word.REREAD
        before = View(self.view.lineage, self.view.position, self.view.floor, dict(self.view.entries))
        try:
            self.view.take(change)
        except ViewError:
            self.reread = True
            return Word.REREAD
        wanted = effective(self.view.layers(self.labels))
        found = digest(wanted)
        if found != told_digest:
            # hazard: a change that was lost on the way would be missing for good
            self.view, self.reread = before, True
            return Word.REREAD
        self.reread = False
        self.wanted, self.wanted_digest = wanted, found
        if found == self.running_digest:
            self.running, self.status, self.detail = self.view.position, "applied", ""
            return Word.NOTHING
        if self.status != "applied" and before.position and not change.entries:
            return Word.NOTHING  # refused already, and nothing new came: it is not tried again and again
        return Word.APPLY

    def applied(self) -> None:
        self.running, self.running_digest = self.view.position, self.wanted_digest
        self.status, self.detail = "applied", ""

    def refused(self, status: str, detail: str) -> None:
        """What ran before goes on; the next version is tried."""
        self.status, self.detail = status, detail

    def overlay(self) -> Mapping[str, Any]:
        return self.wanted
