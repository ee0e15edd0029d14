"""Tests of the codec: bytes decode to a whole snapshot or are rejected with one line."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironscale.learned import codec
from ironscale.learned.codec import DIGEST_BYTES, HEADER_BYTES, MAGIC, CodecError, assemble, decode, encode, json_line
from tests.learned.samples import snapshot, upstream_sample

WHOLE = encode(snapshot())


def body() -> list[bytes]:
    return WHOLE[HEADER_BYTES:-DIGEST_BYTES].split(b"\n")


def changed(change: Callable[[Any], Any], at: int = 0) -> bytes:
    """The snapshot with one line changed, and a valid checksum."""
    lines = body()
    value = json.loads(lines[at])
    lines[at] = json_line(change(value) or value)
    return assemble(lines)


def with_key(key: str, value: Any) -> Callable[[Any], Any]:
    return lambda header: {**header, key: value}


def with_value(index: int, value: Any) -> Callable[[Any], Any]:
    return lambda row: [*row[:index], value, *row[index + 1:]]


def decode_error(data: bytes) -> str:
    with pytest.raises(CodecError) as found:
        decode(data)
    text = str(found.value)
    assert "\n" not in text and "expected" in text and len(text) < 300
    return text


def test_decode_returns_what_was_encoded() -> None:
    for count in (0, 1, 3, 250):
        assert decode(encode(snapshot(count))) == snapshot(count)


def test_encoding_is_independent_of_the_order_of_upstreams() -> None:
    one = snapshot(5)
    other = snapshot(5, upstreams=tuple(reversed(one.upstreams)))
    assert encode(one) == encode(other)


def test_every_flipped_bit_is_rejected() -> None:
    for at in range(len(WHOLE)):
        for bit in range(8):
            damaged = bytearray(WHOLE)
            damaged[at] ^= 1 << bit
            decode_error(bytes(damaged))


def test_every_other_length_is_rejected() -> None:
    for size in range(len(WHOLE)):
        decode_error(WHOLE[:size])
    decode_error(WHOLE + b"\0")


@given(st.binary(max_size=400))
def test_random_bytes_are_rejected(data: bytes) -> None:
    decode_error(data)
    decode_error(MAGIC + data)


@given(st.lists(st.binary(max_size=80), max_size=6), st.integers(1, codec.VERSION))
def test_random_bytes_with_a_valid_checksum_are_rejected(lines: list[bytes], version: int) -> None:
    decode_error(assemble(lines, version))


@pytest.mark.parametrize(("data", "words"), [
    (b"NOTMINE\n" + WHOLE[8:], "expected it to begin with"),
    (assemble(body(), codec.VERSION + 1), f"got {codec.VERSION + 1}: written by a newer program"),
    (assemble(body(), 0), "expected version 1"),
    (WHOLE[:-1] + bytes([WHOLE[-1] ^ 1]), "damaged"),
    (assemble([body()[0].replace(b'"slots":12000000', b'"slots":NaN'), *body()[1:]]), "NaN is no number"),
    (assemble([body()[0].replace(b'"slots":12000000', b'"slots":1e999'), *body()[1:]]), "canonical"),
    (assemble([body()[0].replace(b'"slots":', b'"slots": '), *body()[1:]]), "another encoding of the same"),
    (changed(with_key("slots", -1)), "header.slots: expected a whole number from 0"),
    (changed(with_key("slots", True)), "header.slots"),
    (changed(with_key("slots", 1.5)), "header.slots"),
    (changed(with_key("age_us", codec.MAX_AGE_US + 1)), "header.age_us"),
    (changed(with_key("name", "")), "header.name"),
    (changed(with_key("name", "a\x1bb")), "header.name"),
    (changed(with_key("more", 1)), "the keys"),
    (changed(with_key("upstreams", 4)), "header.upstreams: expected 3"),
    (changed(with_key("upstreams", 10**9)), "header.upstreams"),
    (changed(with_key("ages", [0] * 64)), "65 shares"),
    (changed(with_key("ages", [2_000_000] + [0] * 64)), "header.ages"),
    (changed(with_key("classes", [["view", 1, 0, 1]])), "header.classes.mean"),
    (changed(with_key("classes", [["view", 1, 1]])), "header.classes[0]: expected 4 values"),
    (changed(with_key("tenants", [["t", 1]] * 1001)), "a list of 1000 at most"),
    (changed(with_value(2, -1), 1), "upstream 0.age_us"),
    (changed(with_value(3, 0), 1), "upstream 0.slots"),
    (changed(with_value(6, 65), 2), "upstream 1.mute"),
    (changed(with_value(7, 10**13), 1), "upstream 0.cold_for_us"),
    (changed(with_value(8, 2), 1), "upstream 0.first_hand"),
    (changed(with_value(0, "up-0001"), 1), "order of their names"),
    (changed(lambda row: row[:8], 1), "upstream 0: expected 9 values"),
    (assemble([*body(), b"[" * 5000]), "upstream"),
    (bytes(codec.MAX_BYTES + 1), f"expected {codec.MAX_BYTES} bytes at most"),
])
def test_rejected_with_one_line_that_says_what_and_why(data: bytes, words: str) -> None:
    assert words in decode_error(data)


def test_values_of_version_1_count_as_learned_from_another_sidecar() -> None:
    """It had no ages, no tenants, and did not say whether a sidecar had measured a value itself."""
    header = json.loads(body()[0])
    del header["ages"], header["tenants"]
    old = assemble([json_line(header), *(json_line(json.loads(raw)[:8]) for raw in body()[1:])], 1)
    found = decode(old)
    assert [one.first_hand for one in found.upstreams] == [False] * 3
    assert found.idle_failure_shares == (0.0,) * codec.IDLE_TIME_BUCKETS and found.tenants == ()
    assert [one.slots for one in found.upstreams] == [2.5] * 3
    assert "upstream 0: expected 8 values" in decode_error(assemble(body(), 1))


def test_the_largest_snapshot_fits_the_size_limit() -> None:
    long = tuple(upstream_sample(f"{i:05}" + "x" * 40, started_us=codec.MAX_TIME_US, age_us=codec.MAX_AGE_US, slots=1e6)
                 for i in range(codec.MAX_UPSTREAMS))
    data = encode(snapshot(0, upstreams=long))
    assert len(data) < codec.MAX_BYTES and len(decode(data).upstreams) == codec.MAX_UPSTREAMS
