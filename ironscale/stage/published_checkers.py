"""What has to hold of published versions in a history, at every moment. Knows histories, and nothing of the program.

Entries, beside `at_us` and `kind`:

    commit   the record: `version`, `scope`, `overlay` (null = the scope has none from here on)
    runs     a process of an instance: `who`, `boot`, `position`, `running`, `digest`, `status`; at each change
    labels   an instance: `who`, `scopes` that it is in, from wide to narrow
    up       `who` (an instance or an agent): `up`
    reach    `who` (an instance) and `agent`, or an agent and `agent` = "record": `up`, whether one could hear the other
    end      the play is over
"""

from __future__ import annotations

import bisect
import json
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from ironscale.stage.history import Entry, of

LIMIT_US = 12_000_000
SAMPLED_LATE_US = 600_000  # a commit is seen in the record's file a moment after it was made


@dataclass(slots=True)
class Spans:
    """From when to when something was so."""

    began: dict[Any, int]
    found: dict[Any, list[tuple[int, int]]]

    @classmethod
    def of(cls, changes: Iterable[tuple[int, Any, bool]], end_us: int) -> dict[Any, list[tuple[int, int]]]:
        spans = cls({}, {})
        for at_us, key, is_so in changes:
            if is_so:
                spans.began.setdefault(key, at_us)
            elif key in spans.began:
                spans.found.setdefault(key, []).append((spans.began.pop(key), at_us))
        for key, from_us in spans.began.items():
            spans.found.setdefault(key, []).append((from_us, end_us))
        return spans.found


def both(one: list[tuple[int, int]], two: list[tuple[int, int]]) -> list[tuple[int, int]]:
    return [(max(a, c), min(b, d)) for a, b in one for c, d in two if max(a, c) < min(b, d)]


def laid_over(below: Any, patch: Any) -> Any:
    """RFC 7396, but what a patch removes stays named: the instance's own file lies below."""
    if not isinstance(patch, dict):
        return patch
    base = below if isinstance(below, dict) else {}
    return {**base, **{key: laid_over(base[key], value) if key in base else value for key, value in patch.items()}}


def digest_of(overlay: Any) -> str:
    text = json.dumps(overlay, sort_keys=True, separators=(",", ":"))
    return blake2b(text.encode(), digest_size=12).hexdigest()


def due(commits: list[Entry], scopes: list[str], position: int) -> str:
    """What an instance of those scopes runs at a position, from the whole log."""
    result: Any = {}
    for scope in scopes:
        found = [entry["overlay"] for entry in commits if entry["scope"] == scope and entry["version"] <= position]
        if found and found[-1] is not None:
            result = laid_over(result, found[-1])
    return digest_of(result)


def check(entries: list[Entry], limit_us: int = LIMIT_US) -> list[str]:
    """What did not hold, each in a line with its time; empty = all held."""
    commits = sorted(of(entries, "commit"), key=lambda entry: int(entry["version"]))
    return [*log(commits), *committed(entries, commits), *onward(entries), *bytes_alike(entries, commits),
            *in_force(entries, commits, limit_us)]


def line(at_us: int, text: str) -> str:
    return f"{at_us / 1e6:.3f} s: {text}"


def log(commits: list[Entry]) -> list[str]:
    """Versions have no holes, and each is one."""
    numbers = [entry["version"] for entry in commits]
    return [] if numbers == list(range(1, len(numbers) + 1)) else [f"the log has versions {numbers}"]


def committed(entries: list[Entry], commits: list[Entry]) -> list[str]:
    """No instance holds or runs what was not committed by then."""
    made = {entry["version"]: entry["at_us"] for entry in commits}
    found = []
    for entry in of(entries, "runs"):
        for what in ("position", "running"):
            version = entry[what]
            if version and made.get(version, 2**62) > entry["at_us"] + SAMPLED_LATE_US:
                found.append(line(entry["at_us"], f"{entry['who']}: {what} {version} was not committed"))
    return found


def onward(entries: list[Entry]) -> list[str]:
    """No process goes backwards: a way back is a newer version."""
    last: dict[tuple[str, str], tuple[int, int]] = {}
    found = []
    for entry in of(entries, "runs"):
        key, now = (entry["who"], entry["boot"]), (entry["position"], entry["running"])
        was = last.get(key, (0, 0))
        if now[0] < was[0] or now[1] < was[1]:
            found.append(line(entry["at_us"], f"{entry['who']} went from {was} back to {now}"))
        last[key] = now
    return found


def bytes_alike(entries: list[Entry], commits: list[Entry]) -> list[str]:
    """What runs is what the log says of its position and scopes: so two with the same run the same bytes."""
    scopes = {entry["who"]: entry["scopes"] for entry in of(entries, "labels")}
    known: dict[tuple[str, int], str] = {}
    found = []
    for entry in of(entries, "runs"):
        key = entry["who"], entry["running"]
        if key not in known:
            known[key] = due(commits, scopes[entry["who"]], entry["running"])
        if entry["digest"] != known[key]:
            found.append(line(entry["at_us"], f"{entry['who']} runs other bytes than version {entry['running']} has"))
    return found


def in_force(entries: list[Entry], commits: list[Entry], limit_us: int) -> list[str]:
    """Who could for so long reach one agent that could reach the record holds all that had been committed by then. What
    one refuses it holds all the same, and says so."""
    end_us = max((entry["at_us"] for entry in entries), default=0)
    up = Spans.of(((e["at_us"], e["who"], e["up"]) for e in of(entries, "up")), end_us)
    reach = Spans.of(((e["at_us"], (e["who"], e["agent"]), e["up"]) for e in of(entries, "reach")), end_us)
    times = [entry["at_us"] for entry in commits]
    highest: list[int] = []
    for entry in commits:
        highest.append(max(entry["version"], highest[-1] if highest else 0))
    held: dict[str, list[tuple[int, int]]] = {}
    for entry in of(entries, "runs"):
        held.setdefault(entry["who"], []).append((entry["at_us"], entry["position"]))
    found = []
    agents = {agent for _, agent in reach if agent != "record"}
    for who in {entry["who"] for entry in of(entries, "labels")}:
        moments = held.get(who, [])
        late: dict[int, int] = {}
        for agent in agents:
            served = both(up.get(agent, []), reach.get((agent, "record"), []))
            for from_us, to_us in both(both(up.get(who, []), reach.get((who, agent), [])), served):
                # at each moment t of it past the limit: all that was committed by t - limit is held
                for place, at_us in enumerate(times):
                    due_us = max(at_us, from_us) + limit_us
                    if due_us >= to_us:
                        break
                    index = bisect.bisect_right(moments, (due_us, 2**62)) - 1
                    if index < 0 or moments[index][1] < highest[place]:
                        late.setdefault(highest[place], due_us)
        found += [line(due_us, f"{who} does not have version {version}") for version, due_us in sorted(late.items())]
    return found


def account(entries: list[Entry]) -> dict[str, int]:
    """How much there was to see."""
    return {"commits": len(of(entries, "commit")), "runs": len(of(entries, "runs")),
            "instances": len({entry["who"] for entry in of(entries, "labels")}),
            "lost": sum(not entry["up"] for entry in of(entries, "up")),
            "cuts": sum(not entry["up"] for entry in of(entries, "reach"))}
