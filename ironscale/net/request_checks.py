"""What a request's headers and target say, and why a request that is not sound is rejected. Pure: no I/O, no clock."""

from __future__ import annotations

import enum
import re
from functools import lru_cache
from hashlib import blake2b
from typing import Protocol
from urllib.parse import unquote_plus

from ironscale.net.http_message import Headers

MAX_ID_LENGTH = 256
MAX_REMAINING_LENGTH = 18  # of any text that the pattern matches
MAX_ESTIMATE_LENGTH = 15
REMAINING_PATTERN = re.compile(r"(\d{1,10}(?:\.\d{1,6})?)([mu])", re.ASCII)
# The first field `sid` with a value, its name also percent-encoded. parse_qs would decode thousands of other fields.
SUBJECT_PATTERN = re.compile(rb"(?:^|&)(?:s|%73)(?:i|%69)(?:d|%64)=([^&]+)")
UNIT_US = {"m": 1000.0, "u": 1.0}
MAX_REMAINING_US = 3_600_000_000  # one hour; a longer remaining time is rejected as malformed


class Rejection(enum.Enum):
    """Why a request is answered with status 400."""

    UNKNOWN_CLASS = "unknown class"
    MALFORMED_REMAINING_TIME = "malformed remaining time"
    MALFORMED_ID = "missing or too long id"
    ID_IN_USE = "id of another request"
    WRONG_METHOD = "method, body or key that its class does not have"


class Request(Protocol):
    """A request that has been read to its last byte."""

    method: bytes
    headers: Headers
    body: bytes


def parse_remaining_us(text: str) -> int | None:
    """The value of `X-Remaining` (`480m` or `480000u`) in microseconds; None if it is malformed or over an hour."""
    # only short texts are kept in the cache: clients choose them
    return parse_short_remaining_us(text) if len(text) <= MAX_REMAINING_LENGTH else None


@lru_cache(1024)  # most requests of a class have the same value; parsing takes 2 us
def parse_short_remaining_us(text: str) -> int | None:
    found = REMAINING_PATTERN.fullmatch(text)
    remaining_us = int(float(found[1]) * UNIT_US[found[2]]) if found else None
    return remaining_us if remaining_us is not None and remaining_us <= MAX_REMAINING_US else None


def parse_estimate_us(text: str) -> int:
    """The value of `X-Estimate`; 0, for none, if it is malformed or longer than any estimate."""
    return int(text) if text.isdecimal() and len(text) <= MAX_ESTIMATE_LENGTH else 0


def subject(target: bytes) -> str:
    """The first `sid` in the query string; empty if there is none."""
    query = target.partition(b"?")[2]
    if query.startswith(b"sid=") and query[4:].isalnum():  # the usual form
        return query[4:].decode("ascii")
    found = SUBJECT_PATTERN.search(query)
    return unquote_plus(found[1].decode("latin-1")) if found else ""


def key_number(key: str) -> int:
    """A 64-bit hash of an affinity key; 0 for an empty one."""
    return int.from_bytes(blake2b(key.encode(), digest_size=8).digest()) if key else 0


def matches_effect(request: Request, effect: str) -> bool:
    """Whether method, body and idempotency key match the effect of the class; if not, a retry may not be safe."""
    keys = [value for name, value in request.headers if name == b"idempotency-key"]
    if effect == "idempotent":
        return request.method == b"GET" and not request.body and not keys
    keyed = len(keys) == 1 and bool(keys[0])
    return request.method == b"POST" and (keyed if effect == "deduplicated" else not keys)
