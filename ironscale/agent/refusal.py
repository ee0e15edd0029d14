"""How the agent says no."""

from __future__ import annotations

from typing import Any


class Refusal(Exception):
    """A mutation that is turned away with nothing done: a stable code, one line, what to know about it."""

    def __init__(self, code: str, text: str, **details: Any) -> None:
        super().__init__(text)
        self.code = code
        self.details = details
