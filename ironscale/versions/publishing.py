"""Decides whether a version may be published, and how much history of the log is kept. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from ironscale.versions.model import MAX_OVERLAY_BYTES, MAX_OVERLAY_DEPTH, Entry, Scope, canonical_json

# The history that is kept: this many versions and days, plus the entries that were in force when it begins.
HISTORY_VERSIONS = 1_000
HISTORY_MS = 30 * 24 * 3_600_000
MAX_SCOPES = 10_000
MAX_NOTE_CHARS = 200
MAX_VERSION = 2**53


@dataclass(frozen=True, slots=True)
class Draft:
    """A version to be published. Without an overlay it removes the overlay of its scope."""

    scope: Scope
    overlay: Mapping[str, Any] | None
    base: int  # the scope's newest version as its author saw it; 0 = it had none
    note: str = ""
    restores: int = 0


@dataclass(frozen=True, slots=True)
class RecordedState:
    """The recorded state at the moment of publishing."""

    position: int
    newest: Entry | None  # entry of the scope
    replaced: Entry | None  # the entry that `newest` replaced, if the record still has it; only looked up during a halt
    scope_count: int  # number of scopes that have a version; only needed if this one has none
    halt: str = ""  # who halted the fleet and why; empty = no halt


@dataclass(frozen=True, slots=True)
class Problem:
    """Why a draft can't be published, as it is answered to its author."""

    code: str
    text: str
    details: dict[str, Any] = field(default_factory=dict)


def nesting_depth(value: Any) -> int:
    """Levels of nested objects and lists in a JSON value; 0 for a plain value."""
    if isinstance(value, Mapping):
        return 1 + max(map(nesting_depth, value.values()), default=0)
    return 1 + max(map(nesting_depth, value), default=0) if isinstance(value, list) else 0


def check_draft(draft: Draft) -> Problem | None:
    """Checks a draft by itself, without the recorded state; None if it is valid."""
    if not 0 <= draft.base <= MAX_VERSION:
        return Problem("BAD_INPUT", f"base: expected a version, or 0 where the scope has none, got {draft.base}")
    if len(draft.note) > MAX_NOTE_CHARS or not draft.note.isprintable():
        return Problem("BAD_INPUT",
                       f"note: expected a line of {MAX_NOTE_CHARS} characters at most, got {draft.note!r:.60}")
    if draft.overlay is None:
        return None
    try:
        size = len(canonical_json(draft.overlay))
    except (TypeError, ValueError, RecursionError) as error:
        return Problem("BAD_INPUT", f"overlay: expected what JSON has, got {error}")
    if size > MAX_OVERLAY_BYTES:
        return Problem("BAD_INPUT", f"overlay: expected {MAX_OVERLAY_BYTES} bytes at most, got {size}")
    if nesting_depth(draft.overlay) > MAX_OVERLAY_DEPTH:
        return Problem("BAD_INPUT", f"overlay: expected {MAX_OVERLAY_DEPTH} objects in one another at most, got more")
    return None


def is_rollback(draft: Draft, recorded: RecordedState) -> bool:
    """Whether the draft returns to what the scope had before: an earlier version, or no overlay if it had none."""
    newest = recorded.newest
    if draft.restores:
        return True
    had_none = newest is not None and (newest.base == 0 or recorded.replaced is not None
                                       and recorded.replaced.overlay is None)
    return draft.overlay is None and had_none


def check_publish(draft: Draft, recorded: RecordedState) -> Problem | None:
    """Checks a draft against the recorded state; None if it may be published. This is a compare-and-set: of two drafts
    with the same base only the first becomes a version. A halt still allows rollbacks, because an operator halts a bad
    version first and then rolls it back."""
    newest = recorded.newest
    newest_version = newest.version if newest is not None else 0
    if draft.base > recorded.position:
        return Problem("BAD_INPUT", f"base: expected a version that was published, {recorded.position} at most, got "
                                    f"{draft.base}")
    if draft.base != newest_version:
        by = f" of {newest.actor}" if newest is not None else ""
        return Problem("CONFLICT", f"base: expected the newest version of {draft.scope}, {newest_version}{by}, got "
                                   f"{draft.base}; look at it, then publish again",
                       {"newest": newest_version, "actor": newest.actor if newest is not None else "",
                        "atMs": newest.at_ms if newest is not None else 0})
    if recorded.halt and not is_rollback(draft, recorded):
        return Problem("HALTED", f"halted by {recorded.halt}; a way back goes on, `ironscale halt --lift` ends the "
                                 "halt")
    if draft.overlay is None and (newest is None or newest.overlay is None):
        return Problem("BAD_INPUT", f"overlay: expected an object, as {draft.scope} has none to take away, got none")
    if draft.restores and draft.restores == newest_version:
        return Problem("BAD_INPUT", f"version: expected an earlier one of {draft.scope}, got {newest_version}, which "
                                    "is in force")
    if newest is None and recorded.scope_count >= MAX_SCOPES:
        return Problem("FULL", f"expected {MAX_SCOPES} scopes at most; take some away, they go once they are out of "
                               "the history")
    return None
