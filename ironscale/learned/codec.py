"""Encodes snapshots of learned state as bytes, in the same format for the file and the network. No I/O.

    8 bytes   b"ISLEARN\n"
    2 bytes   version; all numbers are big-endian
    4 bytes   length of the body
    body      lines of JSON, ASCII, without spaces: one header, then one line for each upstream, sorted by name
    16 bytes  BLAKE2b of everything before it

All values are integers and strings: ages are in microseconds before the snapshot was taken, slots and shares in
millionths. Each snapshot has exactly one encoding, and the decoder rejects every other.
"""

from __future__ import annotations

import json
from collections.abc import Generator, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, NoReturn, TypeVar

from ironscale.interface import LearnedClass, LearnedState, LearnedUpstream
from ironscale.learned.timestamps import Timestamp

MAGIC = b"ISLEARN\n"
VERSION = 2
HEADER_BYTES, DIGEST_BYTES = len(MAGIC) + 2 + 4, 16
MAX_BYTES = 4 << 20
MAX_UPSTREAMS, MAX_CLASSES, MAX_TENANTS = 10_000, 256, 1_000
MAX_NAME_LENGTH = 256
MAX_TIME_US = 2**53  # larger integers lose precision in JSON readers that use floating point
MAX_AGE_US = 400 * 86_400_000_000  # 400 days; larger ages are rejected
MAX_MILLIONTHS = 10**12
UPSTREAMS_PER_STEP = 10  # upstreams encoded or decoded in one step, which takes about 0.1 ms
IDLE_TIME_BUCKETS = 65
T = TypeVar("T")


class CodecError(Exception):
    """The bytes are not a valid snapshot. The message is one line: where the error is, what was expected and found."""


@dataclass(frozen=True, slots=True)
class UpstreamSnapshot:
    """What was learned about one upstream, named by its `instanceId`, with ages in place of absolute times."""

    name: str
    started_us: int
    age_us: int
    slots: float
    min_latency_us: int
    failing: bool
    timeout_doublings: int
    cold_for_us: int  # how much longer no request is sent to it while it is cold
    first_hand: bool


@dataclass(frozen=True, slots=True)
class Snapshot:
    """What one sidecar had learned at the time when the snapshot was taken."""

    name: str  # the sidecar's
    taken_at: Timestamp
    uptime_us: int  # the sidecar's uptime
    resting: bool
    discovery_failed: bool  # the last discovery call had failed
    zone: str
    slots: float
    age_us: int  # age of `slots` and `zone`, which describe the sidecar itself
    classes: tuple[tuple[str, int, float, float], ...]  # name, age, mean and base latency in microseconds
    tenants: tuple[tuple[str, float], ...]
    idle_failure_shares: tuple[float, ...]  # of reused idle connections, by bit length of their idle time
    upstreams: tuple[UpstreamSnapshot, ...]


# Writing


def to_millionths(value: float) -> int:
    return max(0, min(MAX_MILLIONTHS, round(value * 1e6)))


def json_line(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":"), sort_keys=True, ensure_ascii=True, allow_nan=False).encode()


def header_line(snapshot: Snapshot) -> bytes:
    """The first line of the body: everything except the upstreams."""
    return json_line({
        "name": snapshot.name, "boot": snapshot.taken_at.boot, "running_us": snapshot.taken_at.running_us,
        "wall_us": snapshot.taken_at.wall_us, "up_us": snapshot.uptime_us, "resting": int(snapshot.resting),
        "cut_off": int(snapshot.discovery_failed), "zone": snapshot.zone, "slots": to_millionths(snapshot.slots),
        "age_us": snapshot.age_us,
        "classes": [[name, age_us, round(mean), round(base)] for name, age_us, mean, base in snapshot.classes],
        "tenants": [[name, to_millionths(share)] for name, share in snapshot.tenants],
        "ages": [to_millionths(share) for share in snapshot.idle_failure_shares], "upstreams": len(snapshot.upstreams),
    })


def upstream_line(one: UpstreamSnapshot) -> bytes:
    return json_line([one.name, one.started_us, one.age_us, to_millionths(one.slots), one.min_latency_us,
                      int(one.failing), one.timeout_doublings, one.cold_for_us, int(one.first_hand)])


def assemble(lines: Sequence[bytes], version: int = VERSION) -> bytes:
    body = b"\n".join(lines)
    head = MAGIC + version.to_bytes(2) + len(body).to_bytes(4) + body
    return head + blake2b(head, digest_size=DIGEST_BYTES).digest()


def encode_steps(snapshot: Snapshot) -> Generator[None, None, bytes]:
    """Encodes one step at each `next`, so that a long list does not block the event loop. Returns the bytes."""
    ordered = sorted(snapshot.upstreams, key=lambda one: one.name)
    lines = [header_line(snapshot)]
    for start in range(0, len(ordered), UPSTREAMS_PER_STEP):
        lines += map(upstream_line, ordered[start:start + UPSTREAMS_PER_STEP])
        yield
    return assemble(lines)


# Reading


def _raise_unexpected(where: str, expected: str, got: object) -> NoReturn:
    raise CodecError(f"{where}: expected {expected}, got {str(got)[:60]!r}")


def _integer(value: Any, where: str, most: int, least: int = 0) -> int:
    if type(value) is not int or not least <= value <= most:
        _raise_unexpected(where, f"a whole number from {least} to {most}", value)
    return int(value)


def _flag(value: Any, where: str) -> bool:
    return _integer(value, where, 1) == 1


def is_valid_name(value: Any, least: int = 1) -> bool:
    return type(value) is str and least <= len(value) <= MAX_NAME_LENGTH and value.isprintable()


def _name(value: Any, where: str, least: int = 1) -> str:
    if not is_valid_name(value, least):
        _raise_unexpected(where, f"{least} to {MAX_NAME_LENGTH} printable characters", value)
    return str(value)


def _rows(value: Any, where: str, most: int, width: int) -> list[list[Any]]:
    if type(value) is not list or len(value) > most:
        _raise_unexpected(where, f"a list of {most} at most", value)
    for i, row in enumerate(value):
        if type(row) is not list or len(row) != width:
            _raise_unexpected(f"{where}[{i}]", f"{width} values", row)
    return list(value)


def _parse_json_line(raw: bytes, where: str) -> Any:
    def no_constant(name: str) -> Any:
        raise ValueError(f"{name} is no number")

    try:
        value = json.loads(raw, parse_constant=no_constant)
        if json_line(value) != raw:
            raise ValueError("another encoding of the same")
    except (ValueError, RecursionError) as error:
        raise CodecError(f"{where}: expected one line of canonical JSON, got {raw[:40]!r}: {error}") from error
    return value


def _parse_upstream(raw: bytes, where: str) -> UpstreamSnapshot:
    row = _parse_json_line(raw, where)
    if type(row) is not list or len(row) != 9:
        _raise_unexpected(where, "9 values", row)
    name, started_us, age_us, slots, least_us, failing, mute, cold_for_us, first_hand = row
    return UpstreamSnapshot(
        _name(name, f"{where}.name"), _integer(started_us, f"{where}.started_us", MAX_TIME_US),
        _integer(age_us, f"{where}.age_us", MAX_AGE_US),
        _integer(slots, f"{where}.slots", MAX_MILLIONTHS, 1) / 1e6,
        _integer(least_us, f"{where}.least_us", MAX_AGE_US), _flag(failing, f"{where}.failing"),
        _integer(mute, f"{where}.mute", 64, 1), _integer(cold_for_us, f"{where}.cold_for_us", 3_600_000_000),
        _flag(first_hand, f"{where}.first_hand"))


HEADER_KEYS = {"name", "boot", "running_us", "wall_us", "up_us", "resting", "cut_off", "zone", "slots", "age_us",
               "classes", "tenants", "ages", "upstreams"}


def unpack_body(data: bytes) -> tuple[int, bytes]:
    """Checks size, magic, version, length and checksum, and returns the version and the body. Raises CodecError."""
    if len(data) > MAX_BYTES:
        raise CodecError(f"expected {MAX_BYTES} bytes at most, got {len(data)}")
    if data[:len(MAGIC)] != MAGIC[:len(data)] or len(data) < len(MAGIC):
        raise CodecError(f"expected it to begin with {MAGIC!r}, got {data[:len(MAGIC)]!r}")
    if len(data) < HEADER_BYTES + DIGEST_BYTES:
        raise CodecError(f"expected {HEADER_BYTES + DIGEST_BYTES} bytes or more, got {len(data)}")
    version = int.from_bytes(data[len(MAGIC):len(MAGIC) + 2])
    if not 1 <= version <= VERSION:
        raise CodecError(f"expected version 1 to {VERSION}, got {version}: written by a newer program")
    size = int.from_bytes(data[HEADER_BYTES - 4:HEADER_BYTES])
    if len(data) != HEADER_BYTES + size + DIGEST_BYTES:
        raise CodecError(f"expected {HEADER_BYTES + size + DIGEST_BYTES} bytes, as its length says, got {len(data)}")
    if blake2b(data[:-DIGEST_BYTES], digest_size=DIGEST_BYTES).digest() != data[-DIGEST_BYTES:]:
        raise CodecError("expected its checksum to fit, got another: it is damaged")
    return version, data[HEADER_BYTES:-DIGEST_BYTES]


def migrate_rows(version: int, header: dict[str, Any], rows: list[bytes]) -> list[bytes]:
    """Converts the body of version 1 to version 2. Version 1 had no `ages`, no `tenants`, and did not say whether a
    sidecar had measured a value itself: all of its values count as learned from another sidecar."""
    if version == 1:
        header.update({"ages": [0] * IDLE_TIME_BUCKETS, "tenants": []})
        found = []
        for i, raw in enumerate(rows):
            row = _parse_json_line(raw, f"upstream {i}")
            if type(row) is not list or len(row) != 8:
                _raise_unexpected(f"upstream {i}", "8 values", row)
            found.append(json_line([*row, 0]))
        return found
    return rows


def decode_steps(data: bytes) -> Generator[None, None, Snapshot]:
    """Decodes one step at each `next` and returns the whole snapshot. Raises CodecError."""
    version, body = unpack_body(data)
    first, *rows = body.split(b"\n")
    header = _parse_json_line(first, "header")
    if type(header) is not dict:
        _raise_unexpected("header", "an object", header)
    rows = migrate_rows(version, header, rows)
    if header.keys() != HEADER_KEYS:
        _raise_unexpected("header", f"the keys {', '.join(sorted(HEADER_KEYS))}", ", ".join(sorted(header)))
    if _integer(header["upstreams"], "header.upstreams", MAX_UPSTREAMS) != len(rows):
        _raise_unexpected("header.upstreams", f"{len(rows)}, as there are lines", header["upstreams"])
    upstreams: list[UpstreamSnapshot] = []
    for start in range(0, len(rows), UPSTREAMS_PER_STEP):
        upstreams += [_parse_upstream(raw, f"upstream {start + i}")
                      for i, raw in enumerate(rows[start:start + UPSTREAMS_PER_STEP])]
        yield
    names = [one.name for one in upstreams]
    if any(a >= b for a, b in zip(names, names[1:], strict=False)):
        raise CodecError("expected upstreams in the order of their names, each once, got another order")
    if type(header["ages"]) is not list or len(header["ages"]) != IDLE_TIME_BUCKETS:
        _raise_unexpected("header.ages", f"{IDLE_TIME_BUCKETS} shares", header["ages"])
    taken_at = Timestamp(_name(header["boot"], "header.boot", 0),
                         _integer(header["running_us"], "header.running_us", MAX_TIME_US),
                         _integer(header["wall_us"], "header.wall_us", MAX_TIME_US))
    return Snapshot(
        _name(header["name"], "header.name"), taken_at, _integer(header["up_us"], "header.up_us", MAX_TIME_US),
        _flag(header["resting"], "header.resting"), _flag(header["cut_off"], "header.cut_off"),
        _name(header["zone"], "header.zone", 0), _integer(header["slots"], "header.slots", MAX_MILLIONTHS) / 1e6,
        _integer(header["age_us"], "header.age_us", MAX_AGE_US),
        tuple((_name(name, "header.classes.name"), _integer(age_us, "header.classes.age_us", MAX_AGE_US),
               float(_integer(mean, "header.classes.mean", MAX_AGE_US, 1)),
               float(_integer(base, "header.classes.base", MAX_AGE_US, 1)))
              for name, age_us, mean, base in _rows(header["classes"], "header.classes", MAX_CLASSES, 4)),
        tuple((_name(name, "header.tenants.name"), _integer(share, "header.tenants.share", 10**6) / 1e6)
              for name, share in _rows(header["tenants"], "header.tenants", MAX_TENANTS, 2)),
        tuple(_integer(share, "header.ages", 10**6) / 1e6 for share in header["ages"]), tuple(upstreams))


def run_steps(steps: Generator[None, None, T]) -> T:
    """Runs a generator to its end and returns its value."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            value: T = stop.value
            return value


def encode(snapshot: Snapshot) -> bytes:
    return run_steps(encode_steps(snapshot))


def decode(data: bytes) -> Snapshot:
    return run_steps(decode_steps(data))


# Conversion from and to the balancer's types


def upstream_snapshot(lesson: LearnedUpstream, name: str, now_us: int) -> UpstreamSnapshot:
    def age_us_at(at_us: int) -> int:
        return max(0, min(MAX_AGE_US, now_us - at_us))

    return UpstreamSnapshot(
        name, lesson.started_us, age_us_at(lesson.confirmed_us), max(1e-6, lesson.slots), lesson.min_latency_us,
        lesson.failing, min(64, lesson.timeout_doublings),
        max(0, min(3_600_000_000, lesson.next_cold_us - now_us)), lesson.first_hand)


def to_learned_state(snapshot: Snapshot, taken_us: int, now_us: int, zone: int, ident: Any) -> LearnedState:
    """Converts a snapshot for the balancer. `taken_us` is when it was taken by the balancer's clock; `ident` maps an
    upstream's name to its number."""
    return LearnedState(
        now_us, zone, snapshot.slots, taken_us - snapshot.age_us,
        tuple(LearnedUpstream(ident(one.name), one.started_us, taken_us - one.age_us, one.slots, one.min_latency_us,
                              one.failing, one.timeout_doublings, taken_us + one.cold_for_us, one.first_hand)
              for one in snapshot.upstreams),
        tuple(LearnedClass(name, taken_us - age_us, mean, base) for name, age_us, mean, base in snapshot.classes),
        snapshot.tenants)
