"""Checks the results that clients received against the content of a store. Pure; used on logs after a run.

Rules: each effect is written once; for "served" a record with the client's answer exists; for "refused" no record
exists; "failed" guarantees nothing. The outcome that a recorder determined for an attempt must match the store, too.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ironscale.record.model import VOID_STATE, Row, slot_of

SERVED, REFUSED, FAILED, CONFLICT = "served", "refused", "failed", "conflict"


@dataclass(frozen=True, slots=True)
class ClientReport:
    """The result that a client received for one request."""

    request: str
    kind: str
    tenant: str
    key: str
    effect: str
    fingerprint: str
    result: str
    answer: bytes = b""


def find_violations(
    clients: Iterable[ClientReport], rows: Iterable[Row], outcomes: Mapping[str, str] | None = None
) -> list[str]:
    """One line for each violated rule. `outcomes` maps attempts to the determined outcome, "ran" or "never ran"."""
    violations: list[str] = []
    by_slot: dict[str, list[Row]] = defaultdict(list)
    by_request: dict[str, list[Row]] = defaultdict(list)
    states: dict[str, str] = {}
    for row in rows:
        states[row.attempt] = row.state
        if row.state == VOID_STATE:
            continue
        by_slot[slot_of(row.effect, row.kind, row.tenant, row.key, row.request)].append(row)
        by_request[row.request].append(row)
    for slot, found in by_slot.items():
        found.sort(key=lambda row: row.at_ms)
        for earlier, later in zip(found, found[1:], strict=False):
            if earlier.until_ms == 0 or later.at_ms < earlier.until_ms:
                violations.append(f"written twice: {slot} by {earlier.attempt} and {later.attempt}")
    for client in clients:
        slot = slot_of(client.effect, client.kind, client.tenant, client.key, client.request)
        matching = [row for row in by_slot[slot] if row.fingerprint == client.fingerprint]
        if client.result == SERVED:
            if not matching:
                violations.append(f"lost: {client.request} was told served, but no record of it exists")
            elif client.answer not in [row.answer for row in matching]:
                violations.append(f"answer: {client.request} was given {client.answer!r}, which no record of it holds")
        elif client.result in (REFUSED, CONFLICT) and by_request[client.request]:
            violations.append(
                f"{client.result}: {client.request} was told so, but {by_request[client.request][0].attempt} "
                "is in the store"
            )
    for attempt, outcome in (outcomes or {}).items():
        if (outcome == "ran") != (states.get(attempt) == "written") and outcome in ("ran", "never ran"):
            # a repeat is answered from the record of the first attempt, so its own attempt has none
            if outcome == "ran" and attempt not in states:
                continue
            violations.append(f"outcome: {attempt} was found to have {outcome}, but its state in the store is "
                         f"{states.get(attempt, 'nothing')}")
    return violations
