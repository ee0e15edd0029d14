"""The messages of the control protocol: typed dataclasses whose fields are validated when a message is read. No I/O.

Instance to agent: Hello, Heartbeat, CommandResult, Goodbye. Agent to instance: Welcome, Denied, LeaseRenewal, Command.
An instance follows published versions (`ironscale.versions`) over a separate connection, to a leading or a standby
agent. The instance sends FollowRequest and RunningReport; the agent sends VersionUpdate and Denied.
A standby agent sends FollowerSummary to the leading agent, which replies with LeaseRenewal or Denied.

Field names are part of the protocol: each dataclass is written out as a JSON object with its field names as keys.
"""

from __future__ import annotations

import dataclasses
import math
import typing
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, ClassVar

PROTOCOL = 1
COMMAND_KINDS = ("inspect", "drain", "undrain", "reconfigure", "stop")
RESULT_STATUSES = ("applied", "refused", "failed", "needs restart")
MAX_NAME_LENGTH, MAX_TEXT_LENGTH = 128, 4096
MAX_INTEGER = 2**53  # JSON readers that store numbers as doubles lose precision above this


class MessageError(Exception):
    """A message is malformed or unexpected; the error text is a single line."""


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a control connection: the instance's identity, its configuration and its token."""

    type: ClassVar[str] = "hello"
    protocol: int
    name: str
    boot: str  # identifier of the process; every process has a new one
    pid: int
    version: str
    started_ms: int
    zone: str
    listen: str
    token: str
    generation: int
    fence: int  # the highest fence that this process has seen
    replaces: str = ""  # `boot` of the process that this one was started to replace
    host: str = ""  # the machine's boot id; together with `pid` and `ticks` it identifies one process
    ticks: int = 0  # start time of the process, in clock ticks since the machine booted
    teaches: str = ""  # HOST:PORT where new instances can fetch the state that this one has learned


@dataclass(frozen=True, slots=True)
class ClassCounts:
    """How many requests of one request class ended with each outcome since the process started."""

    name: str
    served: int
    refused: int
    failed: int


@dataclass(frozen=True, slots=True)
class Report:
    """The current state of an instance, sent with each heartbeat."""

    generation: int
    fence: int
    ready: bool
    draining: bool
    open: int  # accepted requests that are not answered yet, and attempts that are still in flight
    connections: int
    upstreams: int
    upstreams_ready: int
    upstreams_resting: int
    upstreams_cold: int
    classes: list[ClassCounts]
    refusals: dict[str, int]
    cpu_s: float
    control_cpu_s: float  # the part of `cpu_s` that control work on the event loop used
    memory_kb: int
    descriptors: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    type: ClassVar[str] = "beat"
    seq: int
    report: Report


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The outcome of one command. `more` means that further parts of its data follow under the same id."""

    type: ClassVar[str] = "result"
    id: str
    status: str
    detail: str
    report: Report | None = None
    data: list[dict[str, Any]] = field(default_factory=list)
    more: bool = False


@dataclass(frozen=True, slots=True)
class Goodbye:
    """The process is shutting down on its own."""

    type: ClassVar[str] = "bye"
    reason: str


@dataclass(frozen=True, slots=True)
class Welcome:
    """The agent accepts the instance. The instance sends a heartbeat every `beat_ms` and closes the connection after
    `lease_ms` without a message from the agent."""

    type: ClassVar[str] = "welcome"
    lease_ms: int
    beat_ms: int
    spread_ms: int  # after losing the connection, wait a random time up to this before reconnecting
    donors: list[str] = field(default_factory=list)  # HOST:PORT of some instances that hand out their learned state
    term: int = 0  # the agent's leadership term; 0 = the agent has no terms


@dataclass(frozen=True, slots=True)
class Denied:
    """The agent turns the connection away; `retry_ms` is the earliest time to try again."""

    type: ClassVar[str] = "denied"
    code: str
    text: str
    retry_ms: int
    leader: str = ""  # HOST:PORT of the leading agent to connect to instead, if known


@dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """The agent has received heartbeat `seq` and renews the lease."""

    type: ClassVar[str] = "lease"
    seq: int


@dataclass(frozen=True, slots=True)
class Command:
    """An instruction from the agent; `kind` is one of COMMAND_KINDS."""

    type: ClassVar[str] = "command"
    id: str
    fence: int  # of its operation; an instance refuses a fence below the highest that it has seen
    boot: str  # the only process that may run it, out of all with the same name
    kind: str
    args: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FollowRequest:
    """The first message of an instance that follows versions: its identity, its labels and the position it holds."""

    type: ClassVar[str] = "follow"
    protocol: int
    token: str
    name: str
    boot: str
    service: str
    zone: str
    region: str
    lineage: str  # of the version log that `position` refers to; empty = the instance holds nothing
    position: int


@dataclass(frozen=True, slots=True)
class RunningReport:
    """What the instance runs, sent after an update with entries or a snapshot, and while a version is not applied."""

    type: ClassVar[str] = "runs"
    position: int  # the newest position that the instance holds
    running: int  # the position whose configuration it runs; lower than `position` if that one was refused
    digest: str  # of the configuration that it runs
    status: str  # one of RESULT_STATUSES
    detail: str = ""


@dataclass(frozen=True, slots=True)
class OverlayLayer:
    """An entry of the version log, as sent to an instance in its scope."""

    version: int
    scope: str
    overlay: Any = None  # an object; null = the scope has no overlay from this version on


@dataclass(frozen=True, slots=True)
class VersionUpdate:
    """The log entries after `since`, up to `position`, whose scope includes this instance. Without entries it only
    tells the agent's position."""

    type: ClassVar[str] = "update"
    lineage: str
    position: int
    since: int
    snapshot: bool  # the entries replace everything that the instance held
    floor: int  # an instance whose position is below this needs a snapshot
    entries: list[OverlayLayer]
    digest: str  # of the configuration that the instance's entries add up to at `position`
    age_ms: int  # since this agent last reached its database
    spread_ms: int  # after losing the connection, wait a random time up to this before trying another agent


@dataclass(frozen=True, slots=True)
class PositionCount:
    """How many followers run the configuration at `position`."""

    position: int
    number: int


@dataclass(frozen=True, slots=True)
class DifferingFollower:
    """A follower that doesn't run the configuration that its agent's view of the log asks for, and the reason."""

    name: str
    running: int
    status: str
    detail: str


@dataclass(frozen=True, slots=True)
class FollowerSummary:
    """A standby agent's summary of its followers for the leading agent, which answers each with a LeaseRenewal."""

    type: ClassVar[str] = "sum"
    protocol: int
    token: str
    seq: int
    agent: str  # HOST:PORT where instances follow this agent
    lineage: str
    position: int  # of the agent's view of the log
    age_ms: int  # since the agent last reached its database
    followers: int
    counts: list[PositionCount]  # for the highest positions only
    differing: list[DifferingFollower]  # a limited number of them
    more: int  # how many more differ than are listed in `differing`


Message = (Hello | Heartbeat | CommandResult | Goodbye | Welcome | Denied | LeaseRenewal | Command | FollowRequest
           | RunningReport | VersionUpdate | FollowerSummary)
FROM_INSTANCE: tuple[type[Message], ...] = (Hello, Heartbeat, CommandResult, Goodbye, FollowRequest, RunningReport)
FROM_AGENT: tuple[type[Message], ...] = (Welcome, Denied, LeaseRenewal, Command)
FROM_FOLLOWER: tuple[type[Message], ...] = (FollowRequest, RunningReport)
TO_FOLLOWER: tuple[type[Message], ...] = (VersionUpdate, Denied)


FieldReader = Callable[[Any, str], Any]


def _unexpected_value(expected: str, value: Any, path: str) -> MessageError:
    return MessageError(f"{path}: expected {expected}, got {str(value)[:60]!r}")


def _read_int(value: Any, path: str) -> int:
    # The exact type is compared because bool is a subclass of int: JSON true must not pass as 1. No integer field of
    # the protocol can be negative.
    if type(value) is not int or not 0 <= value <= MAX_INTEGER:
        raise _unexpected_value("int", value, path)
    return value


def _read_float(value: Any, path: str) -> float:
    if type(value) not in (int, float) or not 0 <= value < math.inf:  # the comparison also rejects NaN
        raise _unexpected_value("float", value, path)
    return float(value)


def _read_bool(value: Any, path: str) -> bool:
    if type(value) is not bool:
        raise _unexpected_value("bool", value, path)
    return value


def _read_str(value: Any, path: str) -> str:
    if type(value) is not str or len(value) > MAX_TEXT_LENGTH:
        raise _unexpected_value("str", value, path)
    return value


def _read_any(value: Any, path: str) -> Any:
    return value


_READERS: dict[Any, FieldReader] = {int: _read_int, float: _read_float, bool: _read_bool, str: _read_str,
                                    Any: _read_any}


def _reader(hint: Any) -> FieldReader:
    """The reader function for a type hint, cached because an agent reads thousands of heartbeats a second."""
    if hint not in _READERS:
        _READERS[hint] = _make_reader(hint)
    return _READERS[hint]


def _make_reader(hint: Any) -> FieldReader:
    if dataclasses.is_dataclass(hint):
        return _object_reader(hint)
    origin, args = typing.get_origin(hint), typing.get_args(hint)
    inner = _reader(args[-1] if origin is dict else args[0])

    def read_optional(value: Any, path: str) -> Any:
        return None if value is None else inner(value, path)

    def read_list(value: Any, path: str) -> list[Any]:
        if type(value) is not list:
            raise _unexpected_value("a list", value, path)
        return [inner(item, f"{path}[{i}]") for i, item in enumerate(value)]

    def read_dict(value: Any, path: str) -> dict[str, Any]:
        if type(value) is not dict:
            raise _unexpected_value("an object", value, path)
        return {k: inner(v, f"{path}.{k[:60]}") for k, v in value.items()}

    return read_list if origin is list else read_dict if origin is dict else read_optional


def _object_reader(kind: Any) -> FieldReader:
    hints = typing.get_type_hints(kind)
    fields = dataclasses.fields(kind)
    readers = [(f.name, _reader(hints[f.name])) for f in fields]
    required = {f.name for f in fields
                if f.default is dataclasses.MISSING and f.default_factory is dataclasses.MISSING}

    def read_object(value: Any, path: str) -> Any:
        if type(value) is not dict:
            raise _unexpected_value("an object", value, path)
        if not required <= value.keys():
            raise MessageError(f"{path}: expected {min(required - value.keys())!r}, got nothing")
        # unknown keys are ignored, so that a newer peer may send additional fields
        return kind(**{name: reader(value[name], f"{path}.{name}") for name, reader in readers if name in value})

    return read_object


def _to_json_value(value: Any) -> Any:
    """Like `dataclasses.asdict`, but without copying values that are plain JSON already."""
    if dataclasses.is_dataclass(value):
        return {name: _to_json_value(getattr(value, name)) for name in value.__slots__}  # type: ignore[union-attr]
    if type(value) is list and value and dataclasses.is_dataclass(value[0]):
        return [_to_json_value(item) for item in value]
    return value


def parse_message(message: dict[str, Any], allowed: tuple[type[Message], ...]) -> Message:
    """Validates a decoded frame as one of the `allowed` message types. Raises MessageError."""
    for kind in allowed:
        if kind.type == message.get("type"):
            found: Message = _reader(kind)(message, kind.type)
            _check_values(found)
            return found
    expected = ", ".join(kind.type for kind in allowed)
    raise MessageError(f"type: expected one of {expected}, got {str(message.get('type'))[:60]!r}")


def _check_values(message: Message) -> None:
    """Checks that go beyond the types of single fields."""
    def one_of(field_name: str, value: str, choices: tuple[str, ...]) -> None:
        if value not in choices:
            raise MessageError(f"{message.type}.{field_name}: expected one of {', '.join(choices)}, "
                               f"got {value[:60]!r}")

    match message:
        case Hello() | FollowRequest():
            for field_name in ("name", "boot"):
                text = getattr(message, field_name)
                if not 0 < len(text) <= MAX_NAME_LENGTH or not text.isprintable():
                    raise MessageError(f"{message.type}.{field_name}: expected 1 to {MAX_NAME_LENGTH} printable "
                                       f"characters, got {text[:60]!r}")
        case Command():
            one_of("kind", message.kind, COMMAND_KINDS)
        case CommandResult() | RunningReport():
            one_of("status", message.status, RESULT_STATUSES)


def serialize_message(message: Message) -> dict[str, Any]:
    """The message as a JSON object."""
    return {"type": message.type, **_to_json_value(message)}
