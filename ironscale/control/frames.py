"""Framing of the control connection: each frame is a 4-byte big-endian length and one JSON object. No I/O."""

from __future__ import annotations

import json
from typing import Any

HEADER_BYTES = 4
# A frame is decoded in one step on the sidecar's event loop; 128 KiB of JSON take less than 2 ms.
MAX_FRAME_BYTES = 128 << 10
MAX_DEPTH = 32


class FrameError(Exception):
    """The bytes are not a valid frame; the connection can't be used any further."""


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is no JSON")


def encode_frame(message: dict[str, Any]) -> bytes:
    """The message as one frame. Raises FrameError if it exceeds the maximum size."""
    body = json.dumps(message, separators=(",", ":"), allow_nan=False).encode()
    if len(body) > MAX_FRAME_BYTES:
        raise FrameError(f"expected a frame of {MAX_FRAME_BYTES} bytes at most, got {len(body)}")
    return len(body).to_bytes(HEADER_BYTES) + body


class FrameDecoder:
    """Reassembles messages from the bytes of a stream."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def next_message(self) -> dict[str, Any] | None:
        """The next message, or None until all its bytes have arrived. Raises FrameError, after which the stream can't
        be used any further."""
        if len(self.buffer) < HEADER_BYTES:
            return None
        size = int.from_bytes(self.buffer[:HEADER_BYTES])
        # Checked before the body arrives: otherwise a length of 4 GB would be buffered in memory.
        if not 2 <= size <= MAX_FRAME_BYTES:
            raise FrameError(f"expected a length from 2 to {MAX_FRAME_BYTES}, got {size}")
        if len(self.buffer) < HEADER_BYTES + size:
            return None
        body = bytes(self.buffer[HEADER_BYTES:HEADER_BYTES + size])
        del self.buffer[:HEADER_BYTES + size]
        try:
            message = json.loads(body, parse_constant=_reject_constant)
        except (ValueError, RecursionError) as error:
            self.buffer.clear()
            raise FrameError(f"expected JSON, got {body[:40]!r}: {error}") from error
        if not isinstance(message, dict) or not isinstance(message.get("type"), str):
            raise FrameError(f"expected an object with a type, got {body[:40]!r}")
        return message
