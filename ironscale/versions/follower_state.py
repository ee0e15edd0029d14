"""The state of one following instance: the log it holds, the configuration it runs, and its updates. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from ironscale.versions.compacted_log import Change, View, ViewError
from ironscale.versions.model import Labels, combine_layers, overlay_digest


class UpdateOutcome(Enum):
    """What the instance has to do after an update."""

    NOTHING = "nothing"  # the update brought nothing new, or only the agent's position
    APPLY = "apply"  # `desired` differs from what runs
    NEEDS_SNAPSHOT = "reread"  # this state does not match the agent's: a snapshot has to be requested
    OTHER_LINEAGE = "strange"  # the update belongs to another log; it is not followed


@dataclass(slots=True)
class FollowerState:
    """What one instance knows of the log, which configuration follows from it, and which one runs."""

    labels: Labels
    view: View = field(default_factory=View)
    desired: dict[str, Any] = field(default_factory=dict)  # the overlay that results from `view`
    desired_digest: str = field(default_factory=lambda: overlay_digest({}))
    running: int = 0  # position of the configuration that runs
    running_digest: str = field(default_factory=lambda: overlay_digest({}))
    status: str = "applied"
    detail: str = ""
    needs_snapshot: bool = False

    def resume_position(self) -> int:
        """The position that is sent to an agent to continue from; 0 asks for a snapshot."""
        return 0 if self.needs_snapshot else self.view.position

    def handle_update(self, change: Change, agent_digest: str) -> UpdateOutcome:
        """Handles an update. Never goes back: updates of an agent that is behind this state are ignored."""
        if self.view.lineage and change.lineage != self.view.lineage:
            return UpdateOutcome.OTHER_LINEAGE
        if change.position < self.view.position:
            return UpdateOutcome.NOTHING
        if change.since > self.view.position and not change.is_snapshot:
            self.needs_snapshot = True
            return UpdateOutcome.NEEDS_SNAPSHOT
        previous = View(self.view.lineage, self.view.position, self.view.floor, dict(self.view.entries))
        try:
            self.view.apply(change)
        except ViewError:
            self.needs_snapshot = True
            return UpdateOutcome.NEEDS_SNAPSHOT
        desired = combine_layers(self.view.layers_for(self.labels))
        digest = overlay_digest(desired)
        if digest != agent_digest:
            # a change was lost on the way; without a snapshot it would be missing for good
            self.view, self.needs_snapshot = previous, True
            return UpdateOutcome.NEEDS_SNAPSHOT
        self.needs_snapshot = False
        self.desired, self.desired_digest = desired, digest
        if digest == self.running_digest:
            self.running, self.status, self.detail = self.view.position, "applied", ""
            return UpdateOutcome.NOTHING
        if self.status != "applied" and previous.position and not change.entries:
            return UpdateOutcome.NOTHING  # refused before, and there is nothing new: don't retry the same
        return UpdateOutcome.APPLY

    def mark_applied(self) -> None:
        """Notes that the desired configuration now runs."""
        self.running, self.running_digest = self.view.position, self.desired_digest
        self.status, self.detail = "applied", ""

    def mark_refused(self, status: str, detail: str) -> None:
        """Notes that the desired configuration was not applied: the former one keeps running until the next version."""
        self.status, self.detail = status, detail

    def overlay(self) -> Mapping[str, Any]:
        return self.desired
