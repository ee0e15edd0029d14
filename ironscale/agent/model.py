"""What the agent knows: instances as they show themselves, operations, and the state of each target."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any


class Kind(enum.StrEnum):
    DRAIN = "drain"
    UNDRAIN = "undrain"
    RECONFIGURE = "reconfigure"
    RESTART = "restart"  # only instances that the agent supervises
    STOP = "stop"


class Phase(enum.StrEnum):
    """Of an operation. The first four are open; the others are how it ended."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTING = "aborting"  # starts nothing more; what is under way is awaited
    ROLLING_BACK = "rolling back"
    SUCCEEDED = "succeeded"  # every target has shown it
    PARTIAL = "partial"
    ABORTED = "aborted"
    ROLLED_BACK = "rolled back"


OPEN = (Phase.RUNNING, Phase.PAUSED, Phase.ABORTING, Phase.ROLLING_BACK)


class State(enum.StrEnum):
    """Of one target. There is no state for what is assumed."""

    NOT_STARTED = "not started"
    UNDER_WAY = "under way"
    APPLIED = "applied"  # the process has shown it
    REFUSED = "refused"
    FAILED = "failed"
    NO_ANSWER = "no answer"  # since the time given; what it runs is not known
    GONE = "gone"  # the process has ended
    SUPERSEDED = "superseded"  # a newer operation has the instance
    REVERTED = "reverted"  # the process has shown what it ran before


FAILURES = (State.REFUSED, State.FAILED, State.NO_ANSWER, State.GONE)
ON_FAILURE = ("stop", "pause", "rollback")


@dataclass(frozen=True, slots=True)
class Policy:
    """How an operation goes through its targets."""

    wave: int = 0  # targets a wave; the next begins when all of one have settled; 0 = all in one
    max_unavailable: int = 0  # under way, without answer or gone at the same time; 0 = no limit of its own
    max_failures: int = 0  # more than so many failed targets: `on_failure`
    on_failure: str = "stop"  # start nothing more and end; pause; roll back
    answer_ms: int = 10_000  # an instance has so long to answer, and to show it
    tries: int = 3  # processes of one name that are told; one that restarted has not applied
    priority: int = 0  # among all that wait for room in a budget
    urgent: bool = False  # its way back waits for no room
    canary: int = 0  # targets of the first wave, before those of `wave` each; 0 = as the others
    gate: bool = False  # the next wave begins by the service that is measured, `gates.py`
    soak_ms: int = 0
    soak_most_ms: int = 60_000
    margin: float = 0.02  # of answers of a class, refused or failed, more than where nothing was changed
    unsure: str = "halt"  # or "go", where not enough was seen by then


@dataclass(frozen=True, slots=True)
class Target:
    """One instance within an operation."""

    name: str
    position: int
    state: State = State.NOT_STARTED
    detail: str = ""
    since_ms: int = 0  # when the state began; for "no answer", when it was last heard
    boot: str = ""  # the process that was told
    command: str = ""  # id of the last command sent to it
    sent_ms: int = 0
    tries: int = 0
    answered: str = ""  # status of its answer to that command
    restarting: bool = False  # told to restart, as it could not take it on live
    reverting: bool = False
    from_generation: int = 0  # what it ran when the operation reached it


@dataclass(frozen=True, slots=True)
class Operation:
    id: int
    kind: Kind
    fence: int  # of its commands; rises once more with a roll-back
    phase: Phase
    actor: str
    policy: Policy
    generation: int = 0  # reconfigure: the one to show
    args: dict[str, Any] = field(default_factory=dict)
    note: str = ""  # why it is in its phase
    created_ms: int = 0
    ended_ms: int = 0


@dataclass(frozen=True, slots=True)
class Seen:
    """An instance as it last showed itself, at one moment."""

    name: str
    boot: str
    leased: bool  # its lease runs; else nothing is known of what it does now
    connected: bool
    heard_ms: int
    generation: int = 0
    fence: int = 0
    ready: bool = False
    draining: bool = False
    open: int = 0
    ended: str = ""  # how the process is known to have ended: "exit 0", "signal 9" ...; empty = not known
    supervised: bool = False
    restart_awaited: bool = False  # supervised, and to be started again
    replacing: bool = False  # the supervisor replaces its process
    shown: bool = True  # this process has reported to this agent; else the rest is as the record has it


@dataclass(frozen=True, slots=True)
class Send:
    """Tell one process to do something. The same id again is the same command."""

    id: str
    name: str
    boot: str
    fence: int
    kind: str  # a command's kind, or "restart", which the supervisor carries out
    generation: int = 0


@dataclass(slots=True)
class Plan:
    """What to record, then what to send."""

    targets: list[Target] = field(default_factory=list)  # those that changed
    sends: list[Send] = field(default_factory=list)
    phase: Phase | None = None
    note: str = ""
    rollback: bool = False  # a new fence is needed before the roll-back can begin
    wake_ms: int | None = None  # look again by then, if nothing happens before
    soaks: bool = False  # it waits for what is measured
    waits: str = ""  # what stands in the way of the next target, where that is not the operation's own policy
