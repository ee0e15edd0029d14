"""The data model of a store of record: entries, rows, and the results and errors of a write. Pure: no I/O, no clock.

A record has two unique columns. `attempt` identifies one attempt to write it. `slot` identifies the effect that must
happen once: the request id for at_most_once classes, the client's idempotency key for deduplicated ones. A void marker,
a row with the state `VOID_STATE` under the name of an attempt, fences that attempt: once the marker is committed, the
attempt can never be committed (docs/design/004-record.md).
"""

from __future__ import annotations

import enum
import json
from dataclasses import dataclass
from hashlib import blake2b
from typing import Protocol

MAX_KEY_CHARS = 256  # of an idempotency key
VOID_STATE = "void"  # the state of a void marker; that of a record is "written"


class Verdict(enum.Enum):
    """The result of a write that the store answered."""

    WRITTEN = "written"
    REPEAT = "repeat"  # the effect happened before; the answer is the one stored then
    CONFLICT = "conflict"  # the slot is taken by a request with the same key or id but other content
    FENCED = "fenced"  # a void marker exists for the attempt: it was abandoned and never ran


class WriteOutcome(enum.Enum):
    """Whether a write that ended in an error may have run."""

    NEVER_RAN = "never ran"  # and cannot run later
    UNKNOWN = "not known"  # it may have been committed, or may still be


class Cause(enum.Enum):
    """The cause of a store error."""

    UNREACHABLE = "unreachable"  # no connection could be opened
    TURNED_AWAY = "turned away"  # the store refused: full, busy, read-only, shutting down
    BROKEN = "broken"  # the connection was lost, or the store reported a fault
    TIMEOUT = "timeout"  # no answer before the deadline
    RETRY = "retry"  # a deadlock or a serialization failure: the whole transaction may be retried
    UNUSABLE = "unusable"  # wrong password, missing table: retries fail until an operator intervenes


class StoreFailure(Exception):
    """An operation on a store failed. The text is one line and contains no secrets."""

    def __init__(self, knowledge: WriteOutcome, cause: Cause, text: str, code: str = "") -> None:
        super().__init__(" ".join(text.split()))
        self.outcome = knowledge
        self.cause = cause
        self.code = code  # an SQLSTATE, or the name of a SQLite result code


@dataclass(frozen=True, slots=True)
class Entry:
    """One attempt to write one record, with everything that is stored."""

    attempt: str
    slot: str
    request: str  # the request id given by the client
    kind: str  # the request class
    tenant: str
    key: str  # the client's idempotency key; empty if the class has none
    effect: str
    target: str
    body: bytes
    fingerprint: str  # of target and body; distinguishes a repeat from another request with the same slot
    answer: bytes
    memory_ms: int  # how long a key is remembered, by the store's clock; 0 means for ever


@dataclass(frozen=True, slots=True)
class WriteResult:
    """The store's answer to a write."""

    verdict: Verdict
    answer: bytes = b""  # the answer stored with the existing or new record


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the records table: a record or a void marker."""

    attempt: str
    state: str
    request: str
    kind: str
    tenant: str
    key: str
    effect: str
    target: str
    body: bytes
    fingerprint: str
    answer: bytes
    at_ms: int  # creation time, by the store's clock
    until_ms: int  # expiry of the idempotency key; 0 means never
    slot: str | None  # None for void markers, and after the key expired and was reused


class Store(Protocol):
    """One store of record. `until` is a deadline on the event loop's clock."""

    async def write(self, entry: Entry, until: float) -> WriteResult:
        """Writes a record and returns once it is durable by the store's own guarantee. Raises StoreFailure."""

    async def ask(self, attempt: str, until: float) -> bytes | None:
        """Determines whether the attempt ran. Returns its stored answer, or commits a void marker, which ensures that
        the attempt never runs, and returns None. Idempotent. Raises StoreFailure."""

    async def close(self) -> None: ...


def fingerprint(target: str, body: bytes) -> str:
    """A digest of the content of a request; equal for repeats of the same request."""
    head = target.encode()
    return blake2b(len(head).to_bytes(8, "big") + head + body, digest_size=16).hexdigest()


def slot_of(effect: str, kind: str, tenant: str, key: str, request: str) -> str:
    """The unique name of an effect. The parts are prefixed by their lengths, so different effects cannot collide."""
    if effect == "deduplicated":
        return f"k{len(kind)}.{len(tenant)}:{kind}{tenant}{key}"
    return f"r:{request}"


def attempt_name(now_ms: int, random_bytes: bytes) -> str:
    """A unique name from 48 bits of time and 80 random bits. Names sort by time, which keeps the index dense."""
    return f"{now_ms & (1 << 48) - 1:012x}{random_bytes[:10].hex()}"


def answer_of(request: str, kind: str) -> bytes:
    """The response body for the client, which is also stored for repeats of the request."""
    return json.dumps({"recorded": request, "class": kind}, separators=(",", ":")).encode() + b"\n"


def result_for_existing_row(entry: Entry, state: str, attempt: str, row_fingerprint: str, answer: bytes) -> WriteResult:
    """The result of a write that conflicts with an existing row in its attempt or its slot."""
    if state == VOID_STATE:
        return WriteResult(Verdict.FENCED)
    if attempt == entry.attempt or row_fingerprint == entry.fingerprint:
        return WriteResult(Verdict.REPEAT, answer)
    return WriteResult(Verdict.CONFLICT)
