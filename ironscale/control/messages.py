"""What instance and agent say to each other: typed, and checked field by field when read. No I/O.

Instance to agent: Hello, Heartbeat, CommandResult, Goodbye. Agent to instance: Welcome, Denied, LeaseRenewal, Command.
On a connection of its own, to any agent, whether that leads or stands by, an instance follows published versions
(`ironscale.versions`): FollowRequest, RunningReport; VersionUpdate, Denied.
Agent that stands by to the one that leads: FollowerSummary; LeaseRenewal, Denied.
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
MAX_INTEGER = 2**53  # whole numbers past this are not the same in every JSON reader


class MessageError(Exception):
    """A message that can't be used; the text is one line."""


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message: who is here, what it runs, and the proof that it may."""

    type: ClassVar[str] = "hello"
    protocol: int
    name: str
    boot: str  # new with every process
    pid: int
    version: str
    started_ms: int
    zone: str
    listen: str
    token: str
    generation: int
    fence: int  # the highest that this process has seen
    replaces: str = ""  # boot of the process that this one was started to replace
    host: str = ""  # the machine's boot id; with pid and start ticks it names one process
    ticks: int = 0
    teaches: str = ""  # HOST:PORT where newcomers are taught what it has learned


@dataclass(frozen=True, slots=True)
class ClassCounts:
    name: str
    served: int
    refused: int
    failed: int


@dataclass(frozen=True, slots=True)
class Report:
    """What an instance says of itself with each heartbeat: it runs this now."""

    generation: int
    fence: int
    ready: bool
    draining: bool
    open: int  # requests taken and not yet answered, and attempts still out
    connections: int
    upstreams: int
    upstreams_ready: int
    upstreams_resting: int
    upstreams_cold: int
    classes: list[ClassCounts]
    refusals: dict[str, int]
    cpu_s: float
    control_cpu_s: float  # of it, in control work on the loop
    memory_kb: int
    descriptors: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    type: ClassVar[str] = "beat"
    seq: int
    report: Report


@dataclass(frozen=True, slots=True)
class CommandResult:
    """How one command ended. `more`: further parts of its data follow under the same id."""

    type: ClassVar[str] = "result"
    id: str
    status: str
    detail: str
    report: Report | None = None
    data: list[dict[str, Any]] = field(default_factory=list)
    more: bool = False


@dataclass(frozen=True, slots=True)
class Goodbye:
    """The process is about to end by itself."""

    type: ClassVar[str] = "bye"
    reason: str


@dataclass(frozen=True, slots=True)
class Welcome:
    type: ClassVar[str] = "welcome"
    lease_ms: int
    beat_ms: int
    spread_ms: int  # should the connection be lost, come back at a random moment within this
    donors: list[str] = field(default_factory=list)  # HOST:PORT of some that teach newcomers
    term: int = 0  # of the agent on its record; 0 = it has none


@dataclass(frozen=True, slots=True)
class Denied:
    type: ClassVar[str] = "denied"
    code: str
    text: str
    retry_ms: int
    leader: str = ""  # HOST:PORT of the agent to dial in place of this one, where it knows


@dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """The agent has heard heartbeat `seq`."""

    type: ClassVar[str] = "lease"
    seq: int


@dataclass(frozen=True, slots=True)
class Command:
    type: ClassVar[str] = "command"
    id: str
    fence: int  # of its operation; an instance refuses what is below the highest it has seen
    boot: str  # for this process and no other of the same name
    kind: str
    args: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FollowRequest:
    """The first message of one that follows versions: who is here, whom it belongs to, and what it holds."""

    type: ClassVar[str] = "follow"
    protocol: int
    token: str
    name: str
    boot: str
    service: str
    zone: str
    region: str
    lineage: str  # of the log that `position` is in; empty = it holds nothing
    position: int


@dataclass(frozen=True, slots=True)
class RunningReport:
    """What it came to: told after each update that brought entries."""

    type: ClassVar[str] = "runs"
    position: int  # that it holds
    running: int  # the position whose configuration it runs: lower, where what it holds was refused
    digest: str  # of what it runs
    status: str  # applied, refused, failed, needs restart
    detail: str = ""


@dataclass(frozen=True, slots=True)
class OverlayLayer:
    """An entry of the log, for one that is in its scope."""

    version: int
    scope: str
    overlay: Any = None  # an object; null = the scope has none from here on


@dataclass(frozen=True, slots=True)
class VersionUpdate:
    """From `since` to `position`, what concerns this instance; with no entries it only says where the agent is."""

    type: ClassVar[str] = "update"
    lineage: str
    position: int
    since: int
    snapshot: bool  # all that concerns it, in place of what it held
    floor: int
    entries: list[OverlayLayer]
    digest: str  # of what the instance's entries come to at `position`
    age_ms: int  # since this agent last reached the record
    spread_ms: int  # should the connection be lost, dial another at a random moment within this


@dataclass(frozen=True, slots=True)
class PositionCount:
    """So many followers run what is at `position`."""

    position: int
    number: int


@dataclass(frozen=True, slots=True)
class DifferingFollower:
    """A follower that does not run what its agent's view says, and why."""

    name: str
    running: int
    status: str
    detail: str


@dataclass(frozen=True, slots=True)
class FollowerSummary:
    """An agent's followers, in one message to the agent that leads; each is answered with a LeaseRenewal."""

    type: ClassVar[str] = "sum"
    protocol: int
    token: str
    seq: int
    agent: str  # HOST:PORT where it is followed
    lineage: str
    position: int  # of its view
    age_ms: int  # since it last reached the record
    followers: int
    counts: list[PositionCount]  # the highest positions
    differing: list[DifferingFollower]  # some of them
    more: int  # that differ beside those


Message = (Hello | Heartbeat | CommandResult | Goodbye | Welcome | Denied | LeaseRenewal | Command | FollowRequest
           | RunningReport | VersionUpdate | FollowerSummary)
FROM_INSTANCE: tuple[type[Message], ...] = (Hello, Heartbeat, CommandResult, Goodbye, FollowRequest, RunningReport)
FROM_AGENT: tuple[type[Message], ...] = (Welcome, Denied, LeaseRenewal, Command)
FROM_FOLLOWER: tuple[type[Message], ...] = (FollowRequest, RunningReport)
TO_FOLLOWER: tuple[type[Message], ...] = (VersionUpdate, Denied)


Reader = Callable[[Any, str], Any]


def _wrong(expected: str, value: Any, at: str) -> MessageError:
    return MessageError(f"{at}: expected {expected}, got {str(value)[:60]!r}")


def _read_int(value: Any, at: str) -> int:
    # hazard: in JSON true is no number, in Python it is one; and a count can't be negative
    if type(value) is not int or not 0 <= value <= MAX_INTEGER:
        raise _wrong("int", value, at)
    return value


def _read_float(value: Any, at: str) -> float:
    if type(value) not in (int, float) or not 0 <= value < math.inf:  # NaN is not at least 0
        raise _wrong("float", value, at)
    return float(value)


def _read_bool(value: Any, at: str) -> bool:
    if type(value) is not bool:
        raise _wrong("bool", value, at)
    return value


def _read_str(value: Any, at: str) -> str:
    if type(value) is not str or len(value) > MAX_TEXT_LENGTH:
        raise _wrong("str", value, at)
    return value


def _read_any(value: Any, at: str) -> Any:
    return value


_READERS: dict[Any, Reader] = {int: _read_int, float: _read_float, bool: _read_bool, str: _read_str, Any: _read_any}


def _reader(hint: Any) -> Reader:
    """The reader of a type, made once: thousands of heartbeats a second are read by it."""
    if hint not in _READERS:
        _READERS[hint] = _make_reader(hint)
    return _READERS[hint]


def _make_reader(hint: Any) -> Reader:
    if dataclasses.is_dataclass(hint):
        return _object_reader(hint)
    origin, args = typing.get_origin(hint), typing.get_args(hint)
    inner = _reader(args[-1] if origin is dict else args[0])

    def read_optional(value: Any, at: str) -> Any:
        return None if value is None else inner(value, at)

    def read_list(value: Any, at: str) -> list[Any]:
        if type(value) is not list:
            raise _wrong("a list", value, at)
        return [inner(item, f"{at}[{i}]") for i, item in enumerate(value)]

    def read_dict(value: Any, at: str) -> dict[str, Any]:
        if type(value) is not dict:
            raise _wrong("an object", value, at)
        return {k: inner(v, f"{at}.{k[:60]}") for k, v in value.items()}

    return read_list if origin is list else read_dict if origin is dict else read_optional


def _object_reader(kind: Any) -> Reader:
    hints = typing.get_type_hints(kind)
    fields = dataclasses.fields(kind)
    readers = [(f.name, _reader(hints[f.name])) for f in fields]
    required = {f.name for f in fields
                if f.default is dataclasses.MISSING and f.default_factory is dataclasses.MISSING}

    def read_object(value: Any, at: str) -> Any:
        if type(value) is not dict:
            raise _wrong("an object", value, at)
        if not required <= value.keys():
            raise MessageError(f"{at}: expected {min(required - value.keys())!r}, got nothing")
        # keys that are not known are skipped: a newer side may say more
        return kind(**{name: reader(value[name], f"{at}.{name}") for name, reader in readers if name in value})

    return read_object


def _plain(value: Any) -> Any:
    """As `dataclasses.asdict`, without its copies of what is plain already."""
    if dataclasses.is_dataclass(value):
        return {name: _plain(getattr(value, name)) for name in value.__slots__}  # type: ignore[union-attr]
    if type(value) is list and value and dataclasses.is_dataclass(value[0]):
        return [_plain(item) for item in value]
    return value


def parse_message(message: dict[str, Any], allowed: tuple[type[Message], ...]) -> Message:
    """A decoded frame as one of `allowed`. Raises MessageError."""
    for kind in allowed:
        if kind.type == message.get("type"):
            found: Message = _reader(kind)(message, kind.type)
            _check(found)
            return found
    expected = ", ".join(kind.type for kind in allowed)
    raise MessageError(f"type: expected one of {expected}, got {str(message.get('type'))[:60]!r}")


def _check(message: Message) -> None:
    def one_of(what: str, value: str, choices: tuple[str, ...]) -> None:
        if value not in choices:
            raise MessageError(f"{message.type}.{what}: expected one of {', '.join(choices)}, "
                               f"got {value[:60]!r}")

    match message:
        case Hello() | FollowRequest():
            for what in ("name", "boot"):
                text = getattr(message, what)
                if not 0 < len(text) <= MAX_NAME_LENGTH or not text.isprintable():
                    raise MessageError(f"{message.type}.{what}: expected 1 to {MAX_NAME_LENGTH} printable characters, "
                                       f"got {text[:60]!r}")
        case Command():
            one_of("kind", message.kind, COMMAND_KINDS)
        case CommandResult() | RunningReport():
            one_of("status", message.status, RESULT_STATUSES)


def serialize_message(message: Message) -> dict[str, Any]:
    """The message as a JSON object."""
    return {"type": message.type, **_plain(message)}
