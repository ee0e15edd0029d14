"""Limits and headers of the HTTP/1.1 messages that clients and upstreams may send."""

from __future__ import annotations

MAX_BODY_BYTES = 64 << 10
MAX_HEAD_BYTES = 64 << 10
MAX_HEADERS = 100
# Headers that concern a single connection or the message framing, and so are not forwarded.
HOP_BY_HOP = frozenset((b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer",
                        b"transfer-encoding", b"upgrade", b"content-length", b"expect"))
Headers = list[tuple[bytes, bytes]]
