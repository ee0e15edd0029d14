"""Exit codes, tables, JSON, errors that name the next step."""

from __future__ import annotations

import enum
import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any, NoReturn

from rich.console import Console
from rich.table import Table

# In a pipe a row is a line, however long: scripts and `grep` read it.
WIDE = 1_000
out = Console(highlight=False, soft_wrap=True, width=None if sys.stdout.isatty() else WIDE)
err = Console(stderr=True, highlight=False, soft_wrap=True, width=None if sys.stderr.isatty() else WIDE)


class Exit(enum.IntEnum):
    """What scripts can rely on."""

    DONE = 0
    FAILED = 1  # a fault of the program or the agent
    USAGE = 2  # arguments, files or input that can't be used
    PARTIAL = 3  # ended, and not every target has shown it
    CONFLICT = 4  # another operator was first
    NO_AGENT = 5  # none answers there
    DENIED = 6  # the token is not valid, or may not do this
    UNDER_WAY = 7  # the time was up; the operation goes on
    STOPPED = 130  # by Ctrl-C


class CliError(Exception):
    """Ends the command: one line and an exit code."""

    def __init__(self, code: Exit, text: str) -> None:
        super().__init__(text)
        self.code = code


CODES = {"CONFLICT": Exit.CONFLICT, "FORBIDDEN": Exit.DENIED, "UNAUTHENTICATED": Exit.DENIED,
         "BAD_INPUT": Exit.USAGE, "BAD_REQUEST": Exit.USAGE, "NOT_FOUND": Exit.USAGE, "NO_TARGETS": Exit.USAGE,
         "KEY_REUSED": Exit.CONFLICT, "HALTED": Exit.CONFLICT, "FULL": Exit.CONFLICT,
         "ENDED": Exit.CONFLICT, "WRONG_PHASE": Exit.CONFLICT,
         "NOT_LEADING": Exit.NO_AGENT,
         "STORE_UNKNOWN": Exit.NO_AGENT,  # as with no agent: what became of it is to be asked
         "NO_ANSWER": Exit.PARTIAL, "REFUSED": Exit.PARTIAL}


def fail(code: Exit, text: str) -> NoReturn:
    raise CliError(code, text)


def print_json(value: Any) -> None:
    sys.stdout.write(json.dumps(value, indent=2, ensure_ascii=False) + "\n")
    sys.stdout.flush()


def table(columns: Sequence[str], rows: Iterable[Sequence[object]], title: str | None = None) -> Table:
    found = Table(title=title, title_justify="left", box=None, pad_edge=False, header_style="bold")
    for column in columns:
        found.add_column(column, justify="right" if column in NUMBERS else "left", overflow="fold")
    for row in rows:
        found.add_row(*(_cell(value) for value in row))
    return found


NUMBERS = {"GEN", "OPEN", "SERVED", "REFUSED", "FAILED", "CPU", "MB", "FDS", "SLOTS", "USED", "COUNT", "ID",
           "LEAST MS", "PID", "RATE/S", "P50 MS", "P99 MS", "VERSION", "BASE", "RESTORES", "POSITION", "INSTANCES"}
STYLES = {"ready": "green", "applied": "green", "succeeded": "green", "served": "green",
          "silent": "red", "gone": "red", "failed": "red", "refused": "red", "no answer": "red", "partial": "red",
          "drained": "yellow", "draining": "yellow", "not ready": "yellow", "under way": "cyan", "running": "cyan",
          "paused": "yellow", "held": "cyan", "waiting": "yellow", "unknown": "red",
          "returned": "yellow", "rolling back": "yellow", "rolled back": "yellow", "superseded": "yellow"}


def word(name: str) -> str:
    """An enum's name for people: NO_ANSWER -> no answer."""
    return name.lower().replace("_", " ")


def _cell(value: object) -> str:
    text = "" if value is None else f"{value:,}" if isinstance(value, int) and value >= 10_000 else str(value)
    text = text.replace("[", r"\[")
    return f"[{STYLES[text]}]{text}[/]" if text in STYLES else text
