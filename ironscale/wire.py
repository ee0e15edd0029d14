"""The binary protocol between a simulator and the decision module.

Decodes frames to the events of `ironscale.interface`, encodes its actions to frames, and parses settings from text.
Makes no decisions. A `WireError` says in one line what is malformed and where.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

from ironscale import interface as api
from ironscale import settings

HEADER = struct.Struct("<IIQ")
REPLY_HEADER = struct.Struct("<II")
_LIST_ENTRY = struct.Struct("<IBBHBfQ")
_LIST_HEADER = struct.Struct("<II")
_INSTANCE_STARTED = struct.Struct("<QI")
_LIST_UPDATED = struct.Struct("<BII")
_REQUEST_ARRIVED = struct.Struct("<IBIQIBQ")
_ATTEMPT_ENDED = struct.Struct("<IBIHIBB")
_STREAM_STARTED = struct.Struct("<IBII")
_PROBE_ENDED = struct.Struct("<IHIB")
_PEER_MESSAGE = struct.Struct("<HH")
_U16 = struct.Struct("<H")
_U32 = struct.Struct("<I")

_OUTCOMES = {
    0: api.Outcome.OK, 5: api.Outcome.ERROR, 11: api.Outcome.FULL, 110: api.Outcome.TIMEOUT,
    111: api.Outcome.CONNECT_FAILED, 104: api.Outcome.RESET, 125: api.Outcome.CANCELLED,
    114: api.Outcome.NOT_SENT,
}
_STATES = {0: api.UpstreamState.GONE, 1: api.UpstreamState.READY, 2: api.UpstreamState.DRAINING}
_LIST_KINDS = {0: api.ListKind.DELTA, 1: api.ListKind.FULL, 2: api.ListKind.CACHED, 3: api.ListKind.FAILED}
_U32_MAX = 0xFFFFFFFF  # as a receiver of a peer message: every peer
V = TypeVar("V")


class WireError(Exception):
    """A frame or a setting is malformed; the text is one line."""


@dataclass(slots=True)
class InstanceStarted:
    """An instance starts with no state."""

    seed: int
    options: str


@dataclass(slots=True)
class InstanceStopped:
    """The instance was killed."""


@dataclass(slots=True)
class InternalError:
    """Action: the decision module raised an exception, which the text describes."""

    text: str


WireEvent = api.Event | InstanceStarted | InstanceStopped
WireAction = api.Action | InternalError


class Decoder:
    """Decodes batches. Keeps the numbered upstream lists, because later events refer to them by number."""

    def __init__(self) -> None:
        self.upstream_lists: dict[int, list[api.Upstream]] = {}
        self.data = b""
        self.offset = 0

    def decode_batch(self, data: bytes, count: int) -> Iterator[tuple[int, WireEvent]]:
        """Yields the (instance, event) pairs of a batch's body, in order. Raises WireError."""
        self.data, self.offset = data, 0
        for index in range(count):
            start = self.offset
            try:
                code = self.read_bytes(1)[0]
                if code == 110:  # an upstream list for later events, not an event
                    self.read_list()
                    continue
                reader = _READERS.get(code)
                if reader is None:
                    raise WireError(f"unknown event code {code}")
                instance = self.unpack(_U16)[0]
                event = reader(self)
            except (WireError, UnicodeDecodeError) as error:
                raise WireError(f"record {index} at byte {start}: {error}") from error
            yield instance, event
        if self.offset != len(data):
            raise WireError(f"{len(data) - self.offset} bytes left over after {count} records")

    def read_bytes(self, size: int) -> bytes:
        """The next `size` bytes of the batch. Raises WireError if fewer are left."""
        end = self.offset + size
        if end > len(self.data):
            raise WireError(f"truncated: {size} bytes wanted, {len(self.data) - self.offset} left")
        piece = self.data[self.offset:end]
        self.offset = end
        return piece

    def unpack(self, layout: struct.Struct) -> tuple[int, ...]:
        return layout.unpack(self.read_bytes(layout.size))

    def read_floats(self, count: int) -> list[float]:
        values = list(struct.unpack(f"<{count}f", self.read_bytes(4 * count)))
        if not all(map(math.isfinite, values)):
            raise WireError("a load report value is not a finite number")
        return values

    def read_list(self) -> None:
        """Reads a numbered upstream list and stores it; a list of the same number is replaced."""
        number, count = self.unpack(_LIST_HEADER)
        entries = []
        for upstream, zone, kind, cell, state, weight, started in _LIST_ENTRY.iter_unpack(
            self.read_bytes(_LIST_ENTRY.size * count)
        ):
            if not math.isfinite(weight):
                raise WireError(f"upstream {upstream} has a weight that is not a finite number")
            entries.append(api.Upstream(upstream, _lookup(_STATES, state, "upstream condition"), zone, kind,
                                        cell, weight, started))
        self.upstream_lists[number] = entries


def _lookup(table: dict[int, V], code: int, what: str) -> V:
    value = table.get(code)
    if value is None:
        raise WireError(f"unknown {what} {code}")
    return value


def _read_instance_started(decoder: Decoder) -> WireEvent:
    seed, size = decoder.unpack(_INSTANCE_STARTED)
    return InstanceStarted(seed, decoder.read_bytes(size).decode())


def _read_instance_stopped(decoder: Decoder) -> WireEvent:
    return InstanceStopped()


def _read_list_updated(decoder: Decoder) -> WireEvent:
    kind_code, version, list_number = decoder.unpack(_LIST_UPDATED)
    kind = _lookup(_LIST_KINDS, kind_code, "list kind")
    if kind is api.ListKind.FAILED:
        return api.UpstreamsUpdated(kind, [], version)
    if list_number not in decoder.upstream_lists:
        raise WireError(f"upstream list {list_number} was never sent")
    return api.UpstreamsUpdated(kind, decoder.upstream_lists[list_number], version)


def _read_request_arrived(decoder: Decoder) -> WireEvent:
    request, class_index, tenant, key, cost_us, flags, deadline_us = decoder.unpack(_REQUEST_ARRIVED)
    return api.RequestArrived(request, deadline_us, class_index, tenant, key, cost_us if flags & 1 else 0,
                              bool(flags & 2), bool(flags & 4))


def _read_attempt_ended(decoder: Decoder) -> WireEvent:
    request, attempt, upstream, outcome_code, elapsed_us, request_ended, count = decoder.unpack(_ATTEMPT_ENDED)
    return api.AttemptEnded(request, attempt, upstream, _lookup(_OUTCOMES, outcome_code, "outcome"), elapsed_us,
                            bool(request_ended), decoder.read_floats(count))


def _read_stream_started(decoder: Decoder) -> WireEvent:
    request, attempt, elapsed_us, upstream = decoder.unpack(_STREAM_STARTED)
    return api.StreamStarted(request, attempt, upstream, elapsed_us)


def _read_probe_ended(decoder: Decoder) -> WireEvent:
    upstream, outcome_code, elapsed_us, count = decoder.unpack(_PROBE_ENDED)
    return api.ProbeEnded(upstream, _lookup(_OUTCOMES, outcome_code, "outcome"), elapsed_us, decoder.read_floats(count))


def _read_peer_message(decoder: Decoder) -> WireEvent:
    sender, size = decoder.unpack(_PEER_MESSAGE)
    return api.PeerMessage(sender, decoder.read_bytes(size))


_READERS: dict[int, Callable[[Decoder], WireEvent]] = {
    10: _read_attempt_ended, 20: _read_stream_started, 30: _read_peer_message, 40: _read_instance_stopped,
    50: lambda decoder: api.TimerFired(decoder.unpack(_U32)[0]),
    60: lambda decoder: api.RequestAbandoned(decoder.unpack(_U32)[0]),
    70: _read_request_arrived, 80: _read_list_updated, 90: _read_probe_ended, 100: _read_instance_started,
}


def _record_packer(code: int, layout: str) -> Callable[..., bytes]:
    packer = struct.Struct("<BH" + layout)
    return lambda instance, *values: packer.pack(code, instance, *values)


_send, _refuse, _fail = _record_packer(20, "IIi"), _record_packer(40, "II"), _record_packer(90, "I")
_cancel, _probe, _timer = _record_packer(100, "IB"), _record_packer(80, "I"), _record_packer(30, "QI")
_subscribe, _fetch, _close = _record_packer(70, "B"), _record_packer(10, ""), _record_packer(110, "I")
_send_to_peer, _log_header, _error_header = _record_packer(50, "IH"), _record_packer(120, "H"), _record_packer(60, "H")


def _pack_text(pack_header: Callable[..., bytes], instance: int, text: str) -> bytes:
    raw = text.encode()[:0xFFFF]
    return pack_header(instance, len(raw)) + raw


_WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    api.Send: lambda i, a: _send(i, a.request, a.upstream, a.timeout_us),
    api.Refuse: lambda i, a: _refuse(i, a.request, a.retry_after_us),
    api.Fail: lambda i, a: _fail(i, a.request),
    api.Cancel: lambda i, a: _cancel(i, a.request, a.attempt),
    api.Probe: lambda i, a: _probe(i, a.upstream),
    api.SetTimer: lambda i, a: _timer(i, a.at_us, a.token),
    api.Subscribe: lambda i, a: _subscribe(i, int(a.active)),
    api.FetchList: lambda i, a: _fetch(i),
    api.CloseIdle: lambda i, a: _close(i, a.upstream),
    api.SendToPeer: lambda i, a: _send_to_peer(i, _U32_MAX if a.to is None else a.to, len(a.payload)) + a.payload,
    api.Log: lambda i, a: _pack_text(_log_header, i, a.text),
    InternalError: lambda i, a: _pack_text(_error_header, i, a.text),
}


def encode_action(instance: int, action: WireAction) -> bytes:
    """One action as a record of a reply frame."""
    return _WRITERS[type(action)](instance, action)


def encode_reply(records: list[bytes]) -> bytes:
    """A complete reply frame of encoded action records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(body), len(records)) + body


def parse_settings(text: str) -> api.Settings:
    """The settings of one instance, from the path=value lines of its start record. Raises WireError."""
    try:
        return settings.read_settings(settings.parse_text(text))
    except settings.SettingsError as error:
        raise WireError(str(error)) from error
