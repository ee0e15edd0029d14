"""What an agent or an instance holds of the log: the newest entry of each scope, up to a position. Pure.

As a compacted topic of Kafka's: an entry goes once a newer one of its scope is there, so what came after any position
can be told from the newest entries alone. Only entries without an overlay are ever dropped whole; who is behind the
last that was (`floor`) needs a snapshot, since a change could not tell it that a scope is gone.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from ironscale.versions.model import Entry, Labels, Scope


class ViewError(ValueError):
    """Entries that can't follow what is held; nothing was taken. The text is one line."""


@dataclass(frozen=True, slots=True)
class Change:
    """From `since` to `position`: the newest entries after `since`; as a snapshot, all of them."""

    lineage: str  # of the log: positions of another can't be compared
    position: int
    since: int
    is_snapshot: bool
    floor: int
    entries: tuple[Entry, ...]


@dataclass(slots=True)
class View:
    lineage: str = ""  # empty = nothing is known yet
    position: int = 0
    floor: int = 0
    entries: dict[Scope, Entry] = field(default_factory=dict)

    def change(self, since: int, lineage: str) -> Change | None:
        """What one at `since` of `lineage` lacks; None where it is ahead of this view, and must be told nothing."""
        if lineage and lineage != self.lineage:
            return None
        if since > self.position:
            return None
        snapshot = not lineage or since < self.floor or since == 0
        found = self.entries.values() if snapshot else [e for e in self.entries.values() if e.version > since]
        return Change(self.lineage, self.position, since, snapshot, self.floor,
                      tuple(sorted(found, key=lambda entry: entry.version)))

    def take(self, change: Change) -> set[Scope]:
        """Follows; gives the scopes that changed. What is held already changes nothing, so a change may come twice.
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
        new = {} if change.is_snapshot else dict(self.entries)
        for entry in change.entries:
            if entry.scope not in new or new[entry.scope].version < entry.version:
                new[entry.scope] = entry
        changed = {scope for scope in new.keys() | self.entries.keys()
                   if getattr(new.get(scope), "version", 0) != getattr(self.entries.get(scope), "version", 0)}
        self.lineage, self.position, self.entries = change.lineage, change.position, new
        self.floor = max(self.floor, change.floor)
        return changed

    def layers(self, labels: Labels) -> tuple[Entry, ...]:
        """Of one instance, from wide to narrow."""
        return tuple(self.entries[scope] for scope in labels.scopes() if scope in self.entries)

    def dropped(self, before: int) -> View:
        """Without the entries at or before `before` that say no more than that their scope has none."""
        gone = [entry.version for entry in self.entries.values() if entry.overlay is None and entry.version <= before]
        kept = {scope: entry for scope, entry in self.entries.items() if entry.version not in set(gone)}
        return replace(self, entries=kept, floor=max([self.floor, *gone]))


def narrowed(change: Change, labels: Labels) -> Change:
    """What of it concerns one instance."""
    scopes = set(labels.scopes())
    return replace(change, entries=tuple(entry for entry in change.entries if entry.scope in scopes))


def folded(changes: Iterable[Change]) -> Change | None:
    """One change in place of several that follow one another. Raises ViewError where they don't."""
    found: Change | None = None
    for change in changes:
        if found is None or change.is_snapshot:
            found = change
            continue
        if change.since > found.position or change.lineage != found.lineage:
            raise ViewError(f"since: expected {found.position} or less, got {change.since}")
        newest = {entry.scope: entry for entry in sorted((*found.entries, *change.entries), key=lambda e: e.version)}
        found = replace(found, position=max(found.position, change.position), floor=max(found.floor, change.floor),
                        entries=tuple(sorted(newest.values(), key=lambda e: e.version)))
    return found
