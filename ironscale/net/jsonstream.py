"""Incremental parser for a stream of JSON values, however they are split over lines and chunks. Does no I/O."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

MAX_VALUE_BYTES = 16 << 20  # limit for one value
# Matches up to the next bracket and skips complete strings, because brackets inside a string don't count. The
# quantifiers are possessive (no backtracking), so that each byte is examined once. A string whose end has not arrived
# yet is not skipped.
UP_TO_BRACKET = re.compile(rb'(?:[^"{}\[\]]++|"(?:[^"\\]++|\\.)*+")*+', re.DOTALL)
OPENING, CLOSING = b"{[", b"}]"
WHITESPACE = b" \t\r\n"


class BlankLine:
    """An empty line between two values; discovery sends it as a heartbeat."""


BLANK_LINE = BlankLine()


class JsonStream:
    """Takes bytes and yields each object or array once it is complete, and `BLANK_LINE` for each empty line between
    them.

    Raises ValueError (of which JSONDecodeError is a subclass) for anything else, and for a value longer than
    `MAX_VALUE_BYTES`.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()  # the unfinished value, from its first byte on
        self.position = 0  # number of bytes in `buffer` that have been examined
        self.depth = 0
        self.is_line_blank = True  # no value has begun on the current line

    @property
    def is_between_values(self) -> bool:
        """Whether the stream is between two values, with none unfinished."""
        return not self.buffer

    def feed(self, chunk: bytes) -> Iterator[Any | BlankLine]:
        self.buffer += chunk
        while self.buffer:
            if not self.depth:
                yield from self.skip_whitespace()
                if not self.buffer:
                    return
                if self.buffer[0] not in OPENING:
                    raise ValueError(f"expected a JSON object or array, got {bytes(self.buffer[:40])!r}")
                self.is_line_blank = False
                line = bytes(self.buffer[:self.buffer.find(b"\n") + 1])
                if line.rstrip().endswith(b"}"):  # fast path, three times as fast: most values are one line
                    try:
                        value = json.loads(line)
                    except ValueError:  # part of a value of several lines, or several values on one line
                        pass
                    else:
                        del self.buffer[:len(line) - 1]
                        yield value
                        continue
                self.position, self.depth = 1, 1
            if not self.find_end():
                if len(self.buffer) > MAX_VALUE_BYTES:
                    raise ValueError(f"expected a value of {MAX_VALUE_BYTES} bytes at most, got a longer one")
                return
            text, self.buffer, self.position = bytes(self.buffer[:self.position]), self.buffer[self.position:], 0
            yield json.loads(text)

    def skip_whitespace(self) -> Iterator[BlankLine]:
        """Removes leading whitespace and yields `BLANK_LINE` for each empty line in it."""
        count = len(self.buffer) - len(self.buffer.lstrip(WHITESPACE))
        space = bytes(self.buffer[:count])
        del self.buffer[:count]
        for _ in range(space.count(b"\n")):
            blank, self.is_line_blank = self.is_line_blank, True
            if blank:
                yield BLANK_LINE

    def find_end(self) -> bool:
        """Scans for the end of the unfinished value. Returns whether it has arrived; `position` is then the index after
        it."""
        data = self.buffer
        while True:
            found = UP_TO_BRACKET.match(data, self.position)
            assert found is not None  # the pattern also matches the empty string
            self.position = found.end()
            if self.position == len(data) or data[self.position] == ord('"'):
                return False
            self.depth += 1 if data[self.position] in OPENING else -1
            self.position += 1
            if not self.depth:
                return True
