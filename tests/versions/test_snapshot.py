"""An agent's snapshot of the published versions is either read whole or refused with a one-line error."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from ironscale.versions.compacted_log import View
from ironscale.versions.model import ALL, Entry, Reach, Scope
from ironscale.versions.snapshot import (
    CHECKSUM_BYTES,
    HEADER_BYTES,
    MAGIC,
    Snapshot,
    SnapshotError,
    Token,
    assemble,
    decode,
    encode,
    encode_line,
    make_snapshot,
)

ENTRIES = (Entry(2, ALL, {"settings": {"instances": 2, "ü\n": [1.5, None]}}, 1, 0, "ann", 1_000),
           Entry(5, Scope(Reach.ZONE, "a"), None, 3, 0, "bob", 2_000),
           Entry(7, Scope(Reach.INSTANCE, "app-1"), {}, 0, 4, "ann", 3_000))
KEPT = Snapshot("5f", 9, 1, ENTRIES, (Token("instance", "instance", "ab" * 32, 1, 0),), 1_700_000_000_000)


def refusal(data: bytes) -> str:
    with pytest.raises(SnapshotError) as found:
        decode(data)
    assert "\n" not in str(found.value)
    return str(found.value)


def test_a_snapshot_is_decoded_as_it_was_encoded() -> None:
    assert decode(encode(KEPT)) == KEPT
    assert make_snapshot(KEPT.view(), KEPT.tokens, KEPT.reached_ms) == KEPT
    empty = make_snapshot(View(), (), 0)
    assert decode(encode(empty)) == empty


def test_random_snapshots_are_decoded_as_they_were_encoded() -> None:
    for seed in range(300):
        rng = random.Random(seed)
        position = rng.randint(0, 50)
        scopes = [ALL, *(Scope(Reach(rng.randint(1, 4)), f"n{i}") for i in range(10))]
        versions = sorted(rng.sample(range(1, position + 1), rng.randint(0, min(position, len(scopes)))))
        entries = tuple(Entry(version, scope, rng.choice([None, {}, {"a": {"b": rng.random()}}]))
                        for version, scope in zip(versions, scopes, strict=False))
        kept = Snapshot("f0", position, rng.randint(0, position), entries, (), rng.randint(0, 2**40))
        assert decode(encode(kept)) == kept, f"seed {seed}"


def test_a_snapshot_truncated_at_any_byte_is_refused() -> None:
    data = encode(KEPT)
    for size in range(len(data)):
        refusal(data[:size])
    assert refusal(data[:-1]) == f"expected {len(data)} bytes, as its length says, got {len(data) - 1}"
    refusal(data + b"\0")


def test_a_snapshot_with_any_byte_changed_is_refused() -> None:
    data = encode(KEPT)
    for at in range(len(data)):
        for bit in (1, 128):
            refusal(data[:at] + bytes([data[at] ^ bit]) + data[at + 1:])


def test_a_snapshot_of_a_newer_format_version_is_refused_as_such() -> None:
    body = encode(KEPT)[HEADER_BYTES:-CHECKSUM_BYTES].split(b"\n")
    assert refusal(assemble(body, 2)) == "expected version 1 to 1, got 2: written by a newer program"
    assert refusal(assemble(body, 0)).startswith("expected version 1 to 1, got 0")


def test_a_wrong_checksum_is_reported_as_damage() -> None:
    data = encode(KEPT)
    assert refusal(data[:-1] + bytes([data[-1] ^ 1])) == (
        "expected a matching checksum, got another: the snapshot is damaged")
    assert refusal(b"something else, long enough for it all").startswith(f"expected it to begin with {MAGIC!r}")


@pytest.mark.parametrize(("changes", "message"), [
    ({"position": 6}, "entry 2.version: expected a whole number from 1 to 6, got '7'"),
    ({"floor": 10}, "header.floor: expected a whole number from 0 to 9, got '10'"),
    ({"lineage": ""}, "header.lineage: expected the lineage of the log to which the position belongs, got ''"),
    ({"entries": ENTRIES[::-1]}, "expected entries in ascending order of distinct versions, got another order"),
    ({"entries": (ENTRIES[0], replace(ENTRIES[0], version=3))}, "expected one entry for each scope, got a scope twice"),
])
def test_an_intact_snapshot_with_inconsistent_content_is_refused(changes: dict[str, object], message: str) -> None:
    assert refusal(encode(replace(KEPT, **changes))) == message  # type: ignore[arg-type]


def test_a_snapshot_without_its_position_is_refused() -> None:
    header = {"lineage": "5f", "floor": 0, "reached_ms": 1, "entries": 0, "tokens": []}
    assert refusal(assemble([encode_line(header)])).startswith(
        "header: expected the keys entries, floor, lineage, position,")


def test_the_age_of_a_snapshot_is_never_negative() -> None:
    assert KEPT.age_s(KEPT.reached_ms + 1_500) == 1.5
    assert KEPT.age_s(KEPT.reached_ms - 60_000) == 0.0
