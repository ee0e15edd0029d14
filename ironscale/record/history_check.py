"""Whether what clients were told and what a store holds agree. Pure; reads logs, decides nothing.

Four rules: an effect is written once; who was told "served" finds its record, with the answer that it was given; who
was told "refused" finds none; of "failed" nothing is promised. And what a recorder found out stands so in the store.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ironscale.record.model import VOID_STATE, Row, slot_of

SERVED, REFUSED, FAILED, CONFLICT = "served", "refused", "failed", "conflict"


@dataclass(frozen=True, slots=True)
class ClientReport:
    """What one client was told of one request."""

    request: str
    kind: str
    tenant: str
    key: str
    effect: str
    fingerprint: str
    result: str
    answer: bytes = b""


def find_violations(clients: Iterable[ClientReport], rows: Iterable[Row], outcomes: Mapping[str, str] | None = None) -> list[str]:
    """A line for each break of a rule. `outcomes`: what was found out of each attempt, "ran" or "never ran"."""
    violations: list[str] = []
    by_slot: dict[str, list[Row]] = defaultdict(list)
    by_request: dict[str, list[Row]] = defaultdict(list)
    states: dict[str, str] = {}
    for one in rows:
        states[one.attempt] = one.state
        if one.state == VOID_STATE:
            continue
        by_slot[slot_of(one.effect, one.kind, one.tenant, one.key, one.request)].append(one)
        by_request[one.request].append(one)
    for slot, found in by_slot.items():
        found.sort(key=lambda one: one.at_ms)
        for before, after in zip(found, found[1:], strict=False):
            if before.until_ms == 0 or after.at_ms < before.until_ms:
                violations.append(f"written twice: {slot} by {before.attempt} and {after.attempt}")
    for client in clients:
        slot = slot_of(client.effect, client.kind, client.tenant, client.key, client.request)
        alike = [one for one in by_slot[slot] if one.fingerprint == client.fingerprint]
        if client.result == SERVED:
            if not alike:
                violations.append(f"lost: {client.request} was told served, and no record of it stands")
            elif client.answer not in [one.answer for one in alike]:
                violations.append(f"answer: {client.request} was given {client.answer!r}, which is no record's")
        elif client.result in (REFUSED, CONFLICT) and by_request[client.request]:
            violations.append(f"{client.result}: {client.request} was told so, and {by_request[client.request][0].attempt} "
                         "stands")
    for attempt, outcome in (outcomes or {}).items():
        if (outcome == "ran") != (states.get(attempt) == "written") and outcome in ("ran", "never ran"):
            # a repeat ran under the first one's attempt: its own name has no record
            if outcome == "ran" and attempt not in states:
                continue
            violations.append(f"outcome: {attempt} was found to have {outcome}, and stands as "
                         f"{states.get(attempt, 'nothing')}")
    return violations
