"""Data model of the agent: instances as they report themselves, operations, and the state of each target."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any


class Kind(enum.StrEnum):
    DRAIN = "drain"
    UNDRAIN = "undrain"
    RECONFIGURE = "reconfigure"
    RESTART = "restart"  # only for instances that the agent supervises
    STOP = "stop"


class Phase(enum.StrEnum):
    """Phase of an operation. The first four are open; the others are final."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTING = "aborting"  # starts no more targets and waits for those under way
    ROLLING_BACK = "rolling back"
    SUCCEEDED = "succeeded"  # every target has confirmed the change by a report
    PARTIAL = "partial"
    ABORTED = "aborted"
    ROLLED_BACK = "rolled back"


OPEN_PHASES = (Phase.RUNNING, Phase.PAUSED, Phase.ABORTING, Phase.ROLLING_BACK)


class State(enum.StrEnum):
    """State of one target. Each state is based on evidence; none is assumed."""

    NOT_STARTED = "not started"
    UNDER_WAY = "under way"
    APPLIED = "applied"  # confirmed by a report of the process
    REFUSED = "refused"
    FAILED = "failed"
    NO_ANSWER = "no answer"  # not heard from since `since_ms`; what it runs is unknown
    GONE = "gone"  # the process has ended
    SUPERSEDED = "superseded"  # a newer operation controls the instance
    REVERTED = "reverted"  # the process has confirmed its former generation by a report


FAILURE_STATES = (State.REFUSED, State.FAILED, State.NO_ANSWER, State.GONE)
ON_FAILURE = ("stop", "pause", "rollback")


@dataclass(frozen=True, slots=True)
class Policy:
    """How an operation proceeds through its targets."""

    wave: int = 0  # targets per wave; the next wave begins when all of one have settled; 0 = all in one wave
    max_unavailable: int = 0  # limit of targets under way, without answer or gone at once; 0 = no limit
    max_failures: int = 0  # `on_failure` applies when more targets than this have failed
    on_failure: str = "stop"  # one of ON_FAILURE; "stop" starts no more targets and ends the operation
    answer_ms: int = 10_000  # time in which an instance has to answer and to confirm the change by a report
    tries: int = 3  # processes commanded per instance name; a restart loses what the former process applied
    priority: int = 0  # rank among all that wait for room in a disruption budget
    urgent: bool = False  # its rollback does not wait for room in a budget
    canary: int = 0  # targets of the first wave; later ones have `wave` each; 0 = same as the others
    gate: bool = False  # a wave begins only if the measured answers allow it, see gates.py
    soak_ms: int = 0  # shortest observation between two waves
    soak_most_ms: int = 60_000  # longest observation; then `unsure` decides
    margin: float = 0.02  # tolerated excess share of bad answers of a class, compared with unchanged instances
    unsure: str = "halt"  # or "go": what to do if there were too few answers by `soak_most_ms`


@dataclass(frozen=True, slots=True)
class Target:
    """One instance within an operation."""

    name: str
    position: int
    state: State = State.NOT_STARTED
    detail: str = ""
    since_ms: int = 0  # when the state began; for "no answer", when the instance was last heard from
    boot: str = ""  # id of the process that was sent the command
    command: str = ""  # id of the last command sent to it
    sent_ms: int = 0
    tries: int = 0
    answered: str = ""  # status of its answer to that command
    restarting: bool = False  # being restarted, as it could not apply the change while running
    reverting: bool = False
    from_generation: int = 0  # generation that it ran before the operation's first command


@dataclass(frozen=True, slots=True)
class Operation:
    id: int
    kind: Kind
    fence: int  # fencing token of its commands; a rollback takes a new one
    phase: Phase
    actor: str
    policy: Policy
    generation: int = 0  # for a reconfigure: the generation to reach
    args: dict[str, Any] = field(default_factory=dict)
    note: str = ""  # reason for its phase
    created_ms: int = 0
    ended_ms: int = 0


@dataclass(frozen=True, slots=True)
class Observation:
    """Snapshot of an instance as it last reported itself."""

    name: str
    boot: str
    leased: bool  # its lease is valid; otherwise nothing is known of its present state
    connected: bool
    heard_ms: int
    generation: int = 0
    fence: int = 0
    ready: bool = False
    draining: bool = False
    open: int = 0
    ended: str = ""  # how the process ended: "exit 0", "signal 9" ...; empty = not known to have ended
    supervised: bool = False
    restart_awaited: bool = False  # supervised, and the supervisor is going to start it again
    replacing: bool = False  # the supervisor is replacing its process
    has_reported: bool = True  # this process has reported to this agent; else the other fields come from the record


@dataclass(frozen=True, slots=True)
class OutgoingCommand:
    """A command to send to one process. Sending it again with the same id is idempotent."""

    id: str
    name: str
    boot: str
    fence: int
    kind: str  # kind of the command, or "restart", which the supervisor carries out
    generation: int = 0


@dataclass(slots=True)
class Plan:
    """Result of planning: what to record first, then what to send."""

    targets: list[Target] = field(default_factory=list)  # targets that changed
    commands: list[OutgoingCommand] = field(default_factory=list)
    phase: Phase | None = None
    note: str = ""
    rollback: bool = False  # a new fence must be recorded before the rollback can begin
    wake_ms: int | None = None  # when to plan again if nothing happens before
    is_soaking: bool = False  # waits for measured answers of the last wave
    waits_for: str = ""  # what the next target waits for, other than the operation's own policy
