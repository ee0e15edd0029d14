"""The compacted log that an agent or an instance holds: the newest entry of each scope, up to a position. No I/O.

It works like a compacted Kafka topic: an entry is dropped once a newer one of its scope exists, so everything that
changed after any position can be derived from the newest entries alone. Only removals (entries without an overlay, the
tombstones) are ever dropped without a successor. A follower that is behind the last dropped removal (`floor`) needs a
snapshot, because an incremental change could not tell it that the scope was removed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from ironscale.versions.model import Entry, Labels, Scope


class ViewError(ValueError):
    """A change that does not continue this view; the view was left as it was. The text is one line."""


@dataclass(frozen=True, slots=True)
class Change:
    """The step from `since` to `position`: the newest entries after `since`, or all of them if it is a snapshot."""

    lineage: str  # identifies the log; positions of different lineages can't be compared
    position: int
    since: int
    is_snapshot: bool
    floor: int
    entries: tuple[Entry, ...]


@dataclass(slots=True)
class View:
    """The newest entry of each scope at one position of a log."""

    lineage: str = ""  # empty = nothing is known yet
    position: int = 0
    floor: int = 0
    entries: dict[Scope, Entry] = field(default_factory=dict)

    def change_since(self, since: int, lineage: str) -> Change | None:
        """What a reader at position `since` of `lineage` lacks; None if it follows another lineage or is ahead of this
        view, and must be sent nothing."""
        if lineage and lineage != self.lineage:
            return None
        if since > self.position:
            return None
        snapshot = not lineage or since < self.floor or since == 0
        selected = self.entries.values() if snapshot else [e for e in self.entries.values() if e.version > since]
        return Change(self.lineage, self.position, since, snapshot, self.floor,
                      tuple(sorted(selected, key=lambda entry: entry.version)))

    def apply(self, change: Change) -> set[Scope]:
        """Applies a change and returns the scopes that changed. Applying the same change twice is harmless.
        Raises ViewError."""
        if self.lineage and change.lineage != self.lineage:
            raise ViewError(f"lineage: expected {self.lineage}, got {change.lineage}")
        if change.position < self.position:
            raise ViewError(f"position: expected {self.position} or more, got {change.position}")
        if not change.is_snapshot and change.since > self.position:
            raise ViewError(f"since: expected {self.position} or less, got {change.since}")
        for entry in change.entries:
            if entry.version > change.position:
                raise ViewError(f"entry {entry.version}: expected {change.position} or less")
        entries = {} if change.is_snapshot else dict(self.entries)
        for entry in change.entries:
            if entry.scope not in entries or entries[entry.scope].version < entry.version:
                entries[entry.scope] = entry
        changed = {scope for scope in entries.keys() | self.entries.keys()
                   if getattr(entries.get(scope), "version", 0) != getattr(self.entries.get(scope), "version", 0)}
        self.lineage, self.position, self.entries = change.lineage, change.position, entries
        self.floor = max(self.floor, change.floor)
        return changed

    def layers_for(self, labels: Labels) -> tuple[Entry, ...]:
        """The entries that apply to one instance, from the widest scope to the narrowest."""
        return tuple(self.entries[scope] for scope in labels.scopes() if scope in self.entries)

    def without_removals(self, before: int) -> View:
        """A copy without the removals (entries without an overlay) at or before version `before`."""
        removals = [entry.version for entry in self.entries.values()
                    if entry.overlay is None and entry.version <= before]
        kept = {scope: entry for scope, entry in self.entries.items() if entry.version not in set(removals)}
        return replace(self, entries=kept, floor=max([self.floor, *removals]))


def limited_to(change: Change, labels: Labels) -> Change:
    """The change with only the entries whose scope includes the instance."""
    scopes = set(labels.scopes())
    return replace(change, entries=tuple(entry for entry in change.entries if entry.scope in scopes))


def merge_changes(changes: Iterable[Change]) -> Change | None:
    """Merges consecutive changes into one; None if there are none. Raises ViewError if they have a gap between them."""
    merged: Change | None = None
    for change in changes:
        if merged is None or change.is_snapshot:
            merged = change
            continue
        if change.since > merged.position or change.lineage != merged.lineage:
            raise ViewError(f"since: expected {merged.position} or less, got {change.since}")
        newest = {entry.scope: entry for entry in sorted((*merged.entries, *change.entries), key=lambda e: e.version)}
        merged = replace(merged, position=max(merged.position, change.position), floor=max(merged.floor, change.floor),
                        entries=tuple(sorted(newest.values(), key=lambda e: e.version)))
    return merged
