"""The error with which the agent refuses a request."""

from __future__ import annotations

from typing import Any


class Refusal(Exception):
    """A request that was refused and changed nothing: a stable code, a text of one line, and details by key."""

    def __init__(self, code: str, text: str, **details: Any) -> None:
        super().__init__(text)
        self.code = code
        self.details = details
