"""Sample records for the tests."""

from __future__ import annotations

import itertools
import secrets
from dataclasses import replace
from typing import Any

from ironscale.record import model
from ironscale.record.model import Entry

_names = itertools.count(1)


def entry(request: str = "", effect: str = "at_most_once", body: bytes = b"work", **changes: Any) -> Entry:
    """One attempt to write one record; each call returns a new attempt."""
    request = request or f"q{next(_names)}"
    keyed = effect == "deduplicated"
    values: dict[str, Any] = {
        "kind": "mark" if keyed else "submit", "tenant": "north", "key": "k" if keyed else "", "target": "/api",
        "memory_ms": 60_000 if keyed else 0, **changes}
    attempt = values.pop("attempt", "") or model.attempt_name(1_000, secrets.token_bytes(10))
    slot = model.slot_of(effect, values["kind"], values["tenant"], values["key"], request)
    return Entry(attempt=attempt, slot=slot, request=request, effect=effect, body=body,
                 fingerprint=model.fingerprint(values["target"], body),
                 answer=model.answer_of(request, values["kind"]), **values)


def another_attempt(first: Entry) -> Entry:
    """Another attempt for the same request."""
    return replace(first, attempt=model.attempt_name(2_000, secrets.token_bytes(10)))
