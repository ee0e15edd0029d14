"""Encodes an agent's copy of the published versions as one file, with format version, length and checksum. No I/O.

    8 bytes   b"ISVERSN\n"
    2 bytes   format version; all numbers are big-endian
    4 bytes   length of the body
    body      lines of JSON, ASCII, without spaces: a header, then one line for each entry, ordered by version
    16 bytes  BLAKE2b of everything before it

Each snapshot has exactly one encoding, and no other is accepted. The header holds the position, and no entry may be
beyond it; a snapshot without its position can't be written.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, NoReturn

from ironscale.versions.compacted_log import View
from ironscale.versions.model import Entry, Scope, ScopeError, parse_scope

MAGIC = b"ISVERSN\n"
FORMAT_VERSION = 1
HEADER_BYTES, CHECKSUM_BYTES = len(MAGIC) + 2 + 4, 16
MAX_BYTES = 256 << 20
MAX_INTEGER = 2**53  # larger integers are not read exactly by every JSON parser
MAX_TOKENS, MAX_TEXT_CHARS = 10_000, 4_096


class SnapshotError(Exception):
    """Bytes that are not a valid snapshot; the text is one line: where, what was expected, what was found."""


@dataclass(frozen=True, slots=True)
class Token:
    """A token whose holder may follow while the record is unavailable. Only its digest is stored, never the token."""

    name: str
    role: str
    digest: str
    created_ms: int
    revoked_ms: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The published versions and tokens that an agent held at one moment."""

    lineage: str
    position: int
    floor: int
    entries: tuple[Entry, ...]  # ordered by version
    tokens: tuple[Token, ...]
    reached_ms: int  # Unix time at which the record was last reached

    def view(self) -> View:
        return View(self.lineage, self.position, self.floor, {entry.scope: entry for entry in self.entries})

    def age_s(self, wall_ms: int) -> float:
        """Time since the record was last reached; 0 if the wall clock was set back to before that."""
        return max(0, wall_ms - self.reached_ms) / 1000


def make_snapshot(view: View, tokens: tuple[Token, ...], reached_ms: int) -> Snapshot:
    return Snapshot(view.lineage, view.position, view.floor,
                    tuple(sorted(view.entries.values(), key=lambda entry: entry.version)), tokens, reached_ms)


# Writing


def encode_line(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":"), sort_keys=True, ensure_ascii=True, allow_nan=False).encode()


def assemble(lines: list[bytes], version: int = FORMAT_VERSION) -> bytes:
    body = b"\n".join(lines)
    head = MAGIC + version.to_bytes(2) + len(body).to_bytes(4) + body
    return head + blake2b(head, digest_size=CHECKSUM_BYTES).digest()


def encode(snapshot: Snapshot) -> bytes:
    header = {"lineage": snapshot.lineage, "position": snapshot.position, "floor": snapshot.floor,
              "reached_ms": snapshot.reached_ms, "entries": len(snapshot.entries),
              "tokens": [[token.name, token.role, token.digest, token.created_ms, token.revoked_ms]
                         for token in snapshot.tokens]}
    return assemble([encode_line(header), *(encode_line([entry.version, str(entry.scope), entry.overlay, entry.base,
                                                         entry.restores, entry.actor, entry.at_ms])
                                            for entry in snapshot.entries)])


# Reading


def _fail(where: str, expected: str, got: object) -> NoReturn:
    raise SnapshotError(f"{where}: expected {expected}, got {str(got)[:60]!r}")


def _integer(value: Any, where: str, most: int = MAX_INTEGER, least: int = 0) -> int:
    if type(value) is not int or not least <= value <= most:
        _fail(where, f"a whole number from {least} to {most}", value)
    return int(value)


def _text(value: Any, where: str) -> str:
    if type(value) is not str or len(value) > MAX_TEXT_CHARS:
        _fail(where, f"a text of at most {MAX_TEXT_CHARS} characters", value)
    return str(value)


def _json(raw: bytes, where: str) -> Any:
    def no_constant(name: str) -> Any:
        raise ValueError(f"{name} is not a JSON number")

    try:
        value = json.loads(raw, parse_constant=no_constant)
        if encode_line(value) != raw:
            raise ValueError("not the canonical encoding of this value")
    except (ValueError, RecursionError) as error:
        raise SnapshotError(f"{where}: expected one line of canonical JSON, got {raw[:40]!r}: {error}") from error
    return value


def _list(value: Any, where: str, width: int) -> list[Any]:
    if type(value) is not list or len(value) != width:
        _fail(where, f"{width} values", value)
    return list(value)


def checked_body(data: bytes) -> bytes:
    """The body of an encoded snapshot, once magic, format version, length and checksum are checked."""
    if len(data) > MAX_BYTES:
        raise SnapshotError(f"expected {MAX_BYTES} bytes at most, got {len(data)}")
    if len(data) < len(MAGIC) or not data.startswith(MAGIC):
        raise SnapshotError(f"expected it to begin with {MAGIC!r}, got {data[:len(MAGIC)]!r}")
    if len(data) < HEADER_BYTES + CHECKSUM_BYTES:
        raise SnapshotError(f"expected {HEADER_BYTES + CHECKSUM_BYTES} bytes or more, got {len(data)}")
    version = int.from_bytes(data[len(MAGIC):len(MAGIC) + 2])
    if not 1 <= version <= FORMAT_VERSION:
        raise SnapshotError(f"expected version 1 to {FORMAT_VERSION}, got {version}: written by a newer program")
    size = int.from_bytes(data[HEADER_BYTES - 4:HEADER_BYTES])
    if len(data) != HEADER_BYTES + size + CHECKSUM_BYTES:
        raise SnapshotError(f"expected {HEADER_BYTES + size + CHECKSUM_BYTES} bytes, as its length says, got "
                            f"{len(data)}")
    if blake2b(data[:-CHECKSUM_BYTES], digest_size=CHECKSUM_BYTES).digest() != data[-CHECKSUM_BYTES:]:
        raise SnapshotError("expected a matching checksum, got another: the snapshot is damaged")
    return data[HEADER_BYTES:-CHECKSUM_BYTES]


HEADER_KEYS = {"lineage", "position", "floor", "reached_ms", "entries", "tokens"}


def _entry(raw: bytes, where: str, position: int) -> Entry:
    version, scope, overlay, base, restores, actor, at_ms = _list(_json(raw, where), where, 7)
    if overlay is not None and type(overlay) is not dict:
        _fail(f"{where}.overlay", "an object or null", overlay)
    try:
        found: Scope = parse_scope(_text(scope, f"{where}.scope"))
    except ScopeError as error:
        raise SnapshotError(f"{where}.{error}") from error
    return Entry(_integer(version, f"{where}.version", position, 1), found, overlay, _integer(base, f"{where}.base"),
                 _integer(restores, f"{where}.restores"), _text(actor, f"{where}.actor"),
                 _integer(at_ms, f"{where}.at_ms"))


def decode(data: bytes) -> Snapshot:
    """Decodes and checks a whole snapshot. Raises SnapshotError if any part of it is invalid."""
    first, *rows = checked_body(data).split(b"\n")
    header = _json(first, "header")
    if type(header) is not dict or header.keys() != HEADER_KEYS:
        _fail("header", f"the keys {', '.join(sorted(HEADER_KEYS))}", header)
    lineage = _text(header["lineage"], "header.lineage")
    position = _integer(header["position"], "header.position")
    floor = _integer(header["floor"], "header.floor", position)
    if position and not lineage:
        _fail("header.lineage", "the lineage of the log to which the position belongs", lineage)
    if _integer(header["entries"], "header.entries") != len(rows):
        _fail("header.entries", f"{len(rows)}, the number of lines", header["entries"])
    entries = [_entry(raw, f"entry {i}", position) for i, raw in enumerate(rows)]
    if any(a.version >= b.version for a, b in zip(entries, entries[1:], strict=False)):
        raise SnapshotError("expected entries in ascending order of distinct versions, got another order")
    if len({entry.scope for entry in entries}) < len(entries):
        raise SnapshotError("expected one entry for each scope, got a scope twice")
    if type(header["tokens"]) is not list or len(header["tokens"]) > MAX_TOKENS:
        _fail("header.tokens", f"a list of {MAX_TOKENS} at most", header["tokens"])
    tokens = []
    for i, row in enumerate(header["tokens"]):
        name, role, digest, created_ms, revoked_ms = _list(row, f"header.tokens[{i}]", 5)
        where = f"header.tokens[{i}]"
        tokens.append(Token(_text(name, where), _text(role, where), _text(digest, where), _integer(created_ms, where),
                            _integer(revoked_ms, where)))
    return Snapshot(lineage, position, floor, tuple(entries), tuple(tokens),
                    _integer(header["reached_ms"], "header.reached_ms"))
