"""Line-by-line difference between two configurations. No I/O."""

from __future__ import annotations

import json
from typing import Any

MAX_LINES = 200


def _flatten(value: Any, path: str, leaves: dict[str, str]) -> None:
    """Adds each leaf of `value` to `leaves` as path -> JSON; list elements that are objects are keyed by their name."""
    if isinstance(value, dict) and value:
        for key, member in value.items():
            _flatten(member, f"{path}.{key}" if path else key, leaves)
    elif isinstance(value, list) and any(isinstance(member, dict | list) for member in value):
        for index, member in enumerate(value):
            name = member.get("name") if isinstance(member, dict) else None
            _flatten(member, f"{path}[{name or index}]", leaves)
    elif value != {} or path:
        leaves[path] = json.dumps(value, sort_keys=True, ensure_ascii=False)


def difference(old: Any, new: Any) -> list[str]:
    """Lines sorted by path: `- path: value` if removed, `+ path: value` if added, `~ path: old -> new` if changed."""
    before: dict[str, str] = {}
    after: dict[str, str] = {}
    _flatten(old, "", before)
    _flatten(new, "", after)
    lines = []
    for path in sorted(before.keys() | after.keys()):
        if path not in after:
            lines.append(f"- {path}: {before[path]}")
        elif path not in before:
            lines.append(f"+ {path}: {after[path]}")
        elif before[path] != after[path]:
            lines.append(f"~ {path}: {before[path]} -> {after[path]}")
    if len(lines) > MAX_LINES:
        lines[MAX_LINES:] = [f"and {len(lines) - MAX_LINES} more"]
    return lines
