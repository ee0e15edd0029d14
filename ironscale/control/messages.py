"""What instance and agent say to each other: typed, and checked field by field when read. No I/O.

Instance to agent: Hello, Beat, Result, Bye. Agent to instance: Welcome, Denied, Lease, Command.
"""

from __future__ import annotations

import dataclasses
import math
import types
import typing
from dataclasses import dataclass, field
from typing import Any, ClassVar

PROTOCOL = 1
KINDS = ("inspect", "drain", "undrain", "reconfigure", "stop")
STATUSES = ("applied", "refused", "failed", "needs restart")
MAX_NAME, MAX_TEXT = 128, 4096
MOST = 2**53  # whole numbers past this are not the same in every JSON reader


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
class Beat:
    type: ClassVar[str] = "beat"
    seq: int
    report: Report


@dataclass(frozen=True, slots=True)
class Result:
    """How one command ended. `more`: further parts of its data follow under the same id."""

    type: ClassVar[str] = "result"
    id: str
    status: str
    detail: str
    report: Report | None = None
    data: list[dict[str, Any]] = field(default_factory=list)
    more: bool = False


@dataclass(frozen=True, slots=True)
class Bye:
    """The process is about to end by itself."""

    type: ClassVar[str] = "bye"
    reason: str


@dataclass(frozen=True, slots=True)
class Welcome:
    type: ClassVar[str] = "welcome"
    lease_ms: int
    beat_ms: int
    spread_ms: int  # should the connection be lost, come back at a random moment within this


@dataclass(frozen=True, slots=True)
class Denied:
    type: ClassVar[str] = "denied"
    code: str
    text: str
    retry_ms: int


@dataclass(frozen=True, slots=True)
class Lease:
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


Message = Hello | Beat | Result | Bye | Welcome | Denied | Lease | Command
FROM_INSTANCE: tuple[type[Message], ...] = (Hello, Beat, Result, Bye)
FROM_AGENT: tuple[type[Message], ...] = (Welcome, Denied, Lease, Command)
_HINTS: dict[type[Any], dict[str, Any]] = {
    kind: {f.name: typing.get_type_hints(kind)[f.name] for f in dataclasses.fields(kind)}
    for kind in (*FROM_INSTANCE, *FROM_AGENT, Report, ClassCounts)}
_REQUIRED: dict[type[Any], set[str]] = {
    kind: {f.name for f in dataclasses.fields(kind)
           if f.default is dataclasses.MISSING and f.default_factory is dataclasses.MISSING}
    for kind in _HINTS}


def _value(hint: Any, value: Any, at: str) -> Any:
    wrong = MessageError(f"{at}: expected {getattr(hint, '__name__', hint)}, got {str(value)[:60]!r}")
    if isinstance(hint, types.UnionType):  # only `X | None`
        return None if value is None else _value(typing.get_args(hint)[0], value, at)
    if hint is int:
        # hazard: in JSON true is no number, in Python it is one; and a count can't be negative
        if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= MOST:
            raise wrong
        return value
    if hint is float:
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise wrong
        if not math.isfinite(value) or value < 0:
            raise wrong
        return float(value)
    if hint is bool or hint is str:
        if not isinstance(value, hint) or (isinstance(value, str) and len(value) > MAX_TEXT):
            raise wrong
        return value
    if hint in _HINTS:
        return _object(hint, value, at)
    origin, args = typing.get_origin(hint), typing.get_args(hint)
    if origin is list and isinstance(value, list):
        return [_value(args[0], item, f"{at}[{i}]") for i, item in enumerate(value)]
    if origin is dict and isinstance(value, dict):
        if args[1] is Any:
            return value
        return {k: _value(args[1], v, f"{at}.{k[:60]}") for k, v in value.items()}
    raise wrong


def _object(kind: type[Any], value: Any, at: str) -> Any:
    if not isinstance(value, dict):
        raise MessageError(f"{at}: expected an object, got {str(value)[:60]!r}")
    hints = _HINTS[kind]
    missing = _REQUIRED[kind] - value.keys()
    if missing:
        raise MessageError(f"{at}: expected {min(missing)!r}, got nothing")
    # keys that are not known are skipped: a newer side may say more
    return kind(**{name: _value(hints[name], value[name], f"{at}.{name}") for name in hints if name in value})


def read(message: dict[str, Any], allowed: tuple[type[Message], ...]) -> Message:
    """A decoded frame as one of `allowed`. Raises MessageError."""
    for kind in allowed:
        if kind.type == message.get("type"):
            found: Message = _object(kind, message, kind.type)
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
        case Hello():
            for what in ("name", "boot"):
                text = getattr(message, what)
                if not 0 < len(text) <= MAX_NAME or not text.isprintable():
                    raise MessageError(f"hello.{what}: expected 1 to {MAX_NAME} printable characters, "
                                       f"got {text[:60]!r}")
        case Command():
            one_of("kind", message.kind, KINDS)
        case Result():
            one_of("status", message.status, STATUSES)


def write(message: Message) -> dict[str, Any]:
    """The message as a JSON object."""
    return {"type": message.type, **dataclasses.asdict(message)}
