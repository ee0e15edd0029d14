"""Frames and messages: any bytes give either valid messages or a clear error."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironscale.control.frames import HEADER_BYTES, MAX_FRAME_BYTES, FrameDecoder, FrameError, encode_frame
from ironscale.control.messages import (
    FROM_AGENT,
    FROM_INSTANCE,
    ClassCounts,
    Command,
    CommandResult,
    Denied,
    Goodbye,
    Heartbeat,
    Hello,
    LeaseRenewal,
    Message,
    MessageError,
    Report,
    Welcome,
    parse_message,
    serialize_message,
)

REPORT = Report(3, 9, True, False, 2, 4, 10, 9, 1, 2, [ClassCounts("view", 5, 6, 7)], {"full": 6}, 1.5, 0.01, 30_000,
                20)
MESSAGES: list[Message] = [
    Hello(1, "app-0", "b0", 7, "0.1", 1_700_000_000_000, "a", "127.0.0.1:1", "secret", 3, 9, "b9", "host", 5),
    Heartbeat(4, REPORT), CommandResult("1.2.3", "applied", "", REPORT, [{"name": "n"}], True),
    CommandResult("q", "refused", "why"),
    Goodbye("ended"), Welcome(6000, 2000, 1000), Denied("TOKEN", "no", 5), LeaseRenewal(4),
    Command("1.0.1", 9, "b0", "reconfigure", {"generation": 4, "overlay": {"settings": {"instances": 3}}}),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: message.type)
def test_every_message_survives_encoding_and_decoding_in_any_pieces(message: Message) -> None:
    raw = encode_frame(serialize_message(message))
    for cut in range(len(raw)):
        decoder = FrameDecoder()
        decoder.feed(raw[:cut])
        assert decoder.next_message() is None
        decoder.feed(raw[cut:] + raw[:5])
        found = decoder.next_message()
        assert found is not None and parse_message(found, FROM_INSTANCE + FROM_AGENT) == message
        assert decoder.next_message() is None and len(decoder.buffer) == 5


@pytest.mark.parametrize(("raw", "words"), [
    ((0).to_bytes(4), "expected a length from 2"), ((1).to_bytes(4) + b"1", "expected a length"),
    ((MAX_FRAME_BYTES + 1).to_bytes(4), f"got {MAX_FRAME_BYTES + 1}"), (b"GET / HTTP/1.1\r\n", "expected a length"),
    ((2).to_bytes(4) + b"[]", "an object with a type"), ((2).to_bytes(4) + b"{}", "an object with a type"),
    ((9).to_bytes(4) + b'{"type":1', "expected JSON"), ((12).to_bytes(4) + b'{"type":NaN}', "expected JSON"),
    ((4).to_bytes(4) + b"\xff\xfe\x00\x01", "expected JSON"), ((40_000).to_bytes(4) + b"[" * 40_000, "expected JSON"),
])
def test_an_invalid_frame_error_says_what_was_expected(raw: bytes, words: str) -> None:
    decoder = FrameDecoder()
    decoder.feed(raw)
    with pytest.raises(FrameError, match=words.replace("[", r"\[")):
        decoder.next_message()


def test_a_length_of_four_gigabytes_is_refused_before_the_body_arrives() -> None:
    decoder = FrameDecoder()
    decoder.feed(b"\xff\xff\xff\xff")
    with pytest.raises(FrameError):
        decoder.next_message()


def test_a_message_over_the_limit_is_not_encoded() -> None:
    with pytest.raises(FrameError, match="expected a frame"):
        encode_frame({"type": "result", "data": "x" * MAX_FRAME_BYTES})


@given(st.binary(max_size=300))
def test_any_bytes_give_messages_or_a_frame_or_message_error(raw: bytes) -> None:
    decoder = FrameDecoder()
    decoder.feed(len(raw).to_bytes(HEADER_BYTES) + raw)
    try:
        while (found := decoder.next_message()) is not None:
            parse_message(found, FROM_INSTANCE + FROM_AGENT)
    except (FrameError, MessageError) as error:
        assert "\n" not in str(error)


JSON = st.recursive(st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
                    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
                    max_leaves=8)


@given(st.sampled_from(MESSAGES), st.data())
def test_an_invalid_field_is_named_in_the_error(message: Message, data: st.DataObject) -> None:
    whole: dict[str, Any] = json.loads(json.dumps(serialize_message(message)))
    field = data.draw(st.sampled_from([name for name in whole if name != "type"]))
    whole[field] = data.draw(JSON)
    try:
        found = parse_message(whole, FROM_INSTANCE + FROM_AGENT)
    except MessageError as error:
        assert str(error).startswith(f"{message.type}.{field}") and "expected" in str(error)
        assert "\n" not in str(error)
    else:
        assert type(found) is type(message)  # every field has passed its type check


@pytest.mark.parametrize(("message", "words"), [
    ({"type": "beat"}, "expected 'report'"), ({"type": "lease", "seq": True}, "expected int"),
    ({"type": "lease", "seq": -1}, "expected int"), ({"type": "lease", "seq": 2**60}, "expected int"),
    ({"type": "order"}, "expected one of"), ({"type": "command", "id": "1", "fence": 1, "boot": "b", "kind": "rm"},
                                            "expected one of inspect, drain"),
])
def test_invalid_messages_are_rejected(message: dict[str, Any], words: str) -> None:
    with pytest.raises(MessageError, match=words):
        parse_message(message, FROM_INSTANCE + FROM_AGENT)


def test_unknown_fields_from_a_newer_peer_are_ignored() -> None:
    assert parse_message({"type": "lease", "seq": 3, "colour": "red"}, FROM_AGENT) == LeaseRenewal(3)


def test_an_instance_rejects_messages_that_only_instances_send() -> None:
    with pytest.raises(MessageError, match="expected one of welcome"):
        parse_message(serialize_message(Goodbye("x")), FROM_AGENT)
