"""What is written to a store of record, and what can be known of a write. Pure: no I/O, no clock.

A record is unique in two ways. `attempt` names one try to write it, and `slot` the effect that must happen once: the
request's id for a class that is unsafe to repeat, the client's key for a keyed one. A mark (`VOID`) under an attempt's
name is the fence: once it is committed, that attempt can never be committed any more (docs/design/004-record.md).
"""

from __future__ import annotations

import enum
import json
from dataclasses import dataclass
from hashlib import blake2b
from typing import Protocol

MAX_KEY_CHARS = 256  # characters of a client's key
VOID_STATE = "void"  # of a mark; a record's is "written"


class Verdict(enum.Enum):
    """How a write that was answered ended."""

    WRITTEN = "written"
    REPEAT = "repeat"  # the effect had happened before; the answer is the first one's
    CONFLICT = "conflict"  # its slot holds something else: the same key or id with other content
    FENCED = "fenced"  # a mark lies under its attempt: it was given up, and has never run


class WriteOutcome(enum.Enum):
    """What is known of a write that ended in an error."""

    NEVER_RAN = "never ran"  # and never will
    UNKNOWN = "not known"  # it may have been committed, or may yet be


class Cause(enum.Enum):
    """What an error tells of the store."""

    UNREACHABLE = "unreachable"  # no connection
    TURNED_AWAY = "turned away"  # it answered that it can't: full, busy, read-only, ending
    BROKEN = "broken"  # the connection broke, or the store answered with a fault
    TIMEOUT = "timeout"  # no answer in time
    RETRY = "retry"  # a deadlock or a serialization failure: the whole transaction may be tried again
    UNUSABLE = "unusable"  # wrong password, no such table: no try will help until someone acts


class StoreFailure(Exception):
    """A store that did not do what it was asked; the text is one line without secrets."""

    def __init__(self, knowledge: WriteOutcome, cause: Cause, text: str, code: str = "") -> None:
        super().__init__(" ".join(text.split()))
        self.outcome = knowledge
        self.cause = cause
        self.code = code  # the store's own: an SQLSTATE, or SQLite's name of the error


@dataclass(frozen=True, slots=True)
class Entry:
    """One attempt to write one record."""

    attempt: str
    slot: str
    request: str  # the client's id of the request
    kind: str  # its class
    tenant: str
    key: str  # the client's idempotency key; empty for a class without
    effect: str
    target: str
    body: bytes
    fingerprint: str  # of target and body: what tells a repeat from another request under the same slot
    answer: bytes
    memory_ms: int  # a keyed slot is remembered for so long by the store's own clock; 0 = for ever


@dataclass(frozen=True, slots=True)
class WriteResult:
    verdict: Verdict
    answer: bytes = b""  # of the record that stands


@dataclass(frozen=True, slots=True)
class Row:
    """A record as it stands in a store."""

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
    at_ms: int  # by the store's clock
    until_ms: int  # 0 = for ever
    slot: str | None  # None once its memory has run out and the key was used anew, and for marks


class Store(Protocol):
    """One store of record. `until` is on the event loop's clock; after it, nobody waits any more."""

    async def write(self, entry: Entry, until: float) -> WriteResult:
        """Returns once the record is durable as the store promises it. Raises Trouble."""

    async def ask(self, attempt: str, until: float) -> bytes | None:
        """Whether the attempt has run: its answer, or None once a mark makes sure that it never will. Raises Trouble;
        asking again is always harmless."""

    async def close(self) -> None: ...


def fingerprint(target: str, body: bytes) -> str:
    """A digest of what is asked, whoever asks and however often."""
    head = target.encode()
    return blake2b(len(head).to_bytes(8, "big") + head + body, digest_size=16).hexdigest()


def slot_of(effect: str, kind: str, tenant: str, key: str, request: str) -> str:
    """The unique name of an effect. Lengths stand before the parts: no two different effects share a name."""
    if effect == "deduplicated":
        return f"k{len(kind)}.{len(tenant)}:{kind}{tenant}{key}"
    return f"r:{request}"


def attempt_name(now_ms: int, noise: bytes) -> str:
    """48 bits of time and 80 of noise: unique, and later ones sort later, which keeps an index dense."""
    return f"{now_ms & (1 << 48) - 1:012x}{noise[:10].hex()}"


def answer_of(request: str, kind: str) -> bytes:
    """What a client is answered, and what is kept for its repeats."""
    return json.dumps({"recorded": request, "class": kind}, separators=(",", ":")).encode() + b"\n"


def result_for_existing_row(entry: Entry, state: str, attempt: str, row_fingerprint: str, answer: bytes) -> WriteResult:
    """What a row that stands in the way of a write makes of it."""
    if state == VOID_STATE:
        return WriteResult(Verdict.FENCED)
    if attempt == entry.attempt or row_fingerprint == entry.fingerprint:
        return WriteResult(Verdict.REPEAT, answer)
    return WriteResult(Verdict.CONFLICT)
