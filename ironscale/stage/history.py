"""One history of a play: what was done to the processes, and what they showed themselves. A JSON object a line."""

from __future__ import annotations

import json
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

Entry = dict[str, Any]


class History:
    """Entries have `at_us` since the start and `kind`:

    fault    what the stage does: `fault`, `who`, `for_ms`; `mended` once it is over
    truth    a sidecar's own socket: `who`, `serves`, and when it was asked (`asked_us`)
    permit   the record's file: `id`, `phase`, `units`, `holder`
    term     the record's file: `epoch`, `place`
    call     an operator's call and its answer
    end      the play is over: `back` tells whether all was in service, with no permit left, in time
    """

    def __init__(self, path: Path | None = None) -> None:
        self.entries: list[Entry] = []
        self.start_ns = time.monotonic_ns()
        self.file = open(path, "w", encoding="utf-8") if path is not None else None  # noqa: SIM115 (closed below)

    def restart(self) -> None:
        """What came before was the setting up."""
        self.entries.clear()
        self.start_ns = time.monotonic_ns()
        if self.file is not None:
            self.file.seek(0)
            self.file.truncate()

    def now_us(self) -> int:
        return (time.monotonic_ns() - self.start_ns) // 1000

    def add(self, kind: str, **data: Any) -> None:
        entry = {"at_us": self.now_us(), "kind": kind, **data}
        self.entries.append(entry)
        if self.file is not None:
            self.file.write(json.dumps(entry) + "\n")

    def close(self) -> None:
        if self.file is not None:
            self.file.close()


def load(path: Path) -> list[Entry]:
    """Raises OSError or ValueError that says which line."""
    found = []
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        try:
            entry = json.loads(line)
            if not (isinstance(entry, dict) and isinstance(entry.get("at_us"), int) and "kind" in entry):
                raise ValueError
        except ValueError:
            raise ValueError(f"{path}:{number}: expected an object with at_us and kind, got {line[:60]!r}") from None
        found.append(entry)
    return found


def of(entries: Iterable[Entry], kind: str) -> list[Entry]:
    return [entry for entry in entries if entry["kind"] == kind]
