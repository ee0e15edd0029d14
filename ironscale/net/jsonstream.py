"""JSON values cut out of a stream of bytes, however they are broken over lines and pieces. No I/O."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

LONGEST = 16 << 20  # of one value
# Up to the next bracket, past whole strings: what braces stand in a string means nothing. Never gives back what it took
# (possessive), so that each byte is looked at once; a string whose end has not come yet is not passed.
TO_BRACKET = re.compile(rb'(?:[^"{}\[\]]++|"(?:[^"\\]++|\\.)*+")*+', re.DOTALL)
OPENING, CLOSING = b"{[", b"}]"
SPACE = b" \t\r\n"


class Blank:
    """A line with nothing on it, between two values."""


BLANK = Blank()


class JsonStream:
    """Takes bytes, gives objects and arrays as they become whole, and `BLANK` for each empty line between them.

    Raises ValueError (which json's own error is) for what is no such value, and past `LONGEST`.
    """

    def __init__(self) -> None:
        self.data = bytearray()  # of the value that has begun, from its first byte on
        self.at = 0  # looked at so far
        self.depth = 0
        self.is_blank = True  # nothing has stood on this line yet

    @property
    def is_between(self) -> bool:
        """No value has begun that is not whole."""
        return not self.data

    def feed(self, piece: bytes) -> Iterator[Any | Blank]:
        self.data += piece
        while self.data:
            if not self.depth:
                yield from self.skip_space()
                if not self.data:
                    return
                if self.data[0] not in OPENING:
                    raise ValueError(f"expected an object, got {bytes(self.data[:40])!r}")
                self.is_blank = False
                line = bytes(self.data[:self.data.find(b"\n") + 1])
                if line.rstrip().endswith(b"}"):  # as most come, and three times as quick
                    try:
                        value = json.loads(line)
                    except ValueError:  # one line of several, or more than one value on it
                        pass
                    else:
                        del self.data[:len(line) - 1]
                        yield value
                        continue
                self.at, self.depth = 1, 1
            if not self.reach_end():
                if len(self.data) > LONGEST:
                    raise ValueError(f"expected a value of {LONGEST} bytes at most, got one without end")
                return
            text, self.data, self.at = bytes(self.data[:self.at]), self.data[self.at:], 0
            yield json.loads(text)

    def skip_space(self) -> Iterator[Blank]:
        count = len(self.data) - len(self.data.lstrip(SPACE))
        space = bytes(self.data[:count])
        del self.data[:count]
        for _ in range(space.count(b"\n")):
            blank, self.is_blank = self.is_blank, True
            if blank:
                yield BLANK

    def reach_end(self) -> bool:
        """Whether the value that has begun is whole, up to `at`."""
        data = self.data
        while True:
            found = TO_BRACKET.match(data, self.at)
            assert found is not None  # it matches the empty text too
            self.at = found.end()
            if self.at == len(data) or data[self.at] == ord('"'):
                return False
            self.depth += 1 if data[self.at] in OPENING else -1
            self.at += 1
            if not self.depth:
                return True
