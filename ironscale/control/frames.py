"""Frames of the control connection: a length (4 bytes, big-endian) and one JSON object. No I/O."""

from __future__ import annotations

import json
from typing import Any

HEADER = 4
# A frame is decoded in one piece on the sidecar's loop: 128 KiB of JSON take it under 2 ms.
MAX_FRAME = 128 << 10
MAX_DEPTH = 32


class FrameError(Exception):
    """Bytes that are no frame; the connection is of no further use."""


def _no_constant(name: str) -> Any:
    raise ValueError(f"{name} is no JSON")


def encode(message: dict[str, Any]) -> bytes:
    body = json.dumps(message, separators=(",", ":"), allow_nan=False).encode()
    if len(body) > MAX_FRAME:
        raise FrameError(f"expected a frame of {MAX_FRAME} bytes at most, got {len(body)}")
    return len(body).to_bytes(HEADER) + body


class Decoder:
    """Bytes in, whole messages out."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def next(self) -> dict[str, Any] | None:
        """The next message, None while it is not whole. Raises FrameError, and then for good."""
        if len(self.buffer) < HEADER:
            return None
        size = int.from_bytes(self.buffer[:HEADER])
        # hazard: judged only when all of it has come, a length of 4 GB would be read into memory
        if not 2 <= size <= MAX_FRAME:
            raise FrameError(f"expected a length from 2 to {MAX_FRAME}, got {size}")
        if len(self.buffer) < HEADER + size:
            return None
        body = bytes(self.buffer[HEADER:HEADER + size])
        del self.buffer[:HEADER + size]
        try:
            message = json.loads(body, parse_constant=_no_constant)
        except (ValueError, RecursionError) as error:
            self.buffer.clear()
            raise FrameError(f"expected JSON, got {body[:40]!r}: {error}") from error
        if not isinstance(message, dict) or not isinstance(message.get("type"), str):
            raise FrameError(f"expected an object with a type, got {body[:40]!r}")
        return message
