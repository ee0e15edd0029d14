"""What a sidecar and the decision module say to each other: settings, events in, actions out.

Times are whole microseconds (`_us`) on the sidecar's own clock, which only moves forward.
An embedding sidecar makes a `Settings`, hands events to `Balancer.handle` in their order of
arrival and carries out the actions it gets back in the order given.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Outcome(enum.Enum):
    """How one attempt or probe ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    FULL = "full"  # turned away unseen; never ran
    TIMEOUT = "timeout"  # no answer in time; may have run or be running
    CONNECT_FAILED = "connect_failed"  # no connection; never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # cancelled by us; may have run
    NOT_SENT = "not_sent"  # the sidecar could not send it; never ran


class UpstreamState(enum.Enum):
    """What the upstream list says of one upstream."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class ListKind(enum.Enum):
    """What an `UpstreamsUpdated` event carries."""

    DELTA = "delta"  # changed entries only
    FULL = "full"  # the complete list
    CACHED = "cached"  # the complete list as last known, possibly outdated
    FAILED = "failed"  # a call failed or the subscription broke; the list stays as it was


# Why a request was refused: the instance drains, its class is not known, it came too late for an answer in
# time, no slot and the buffer taken, a dearer one took the buffer, the buffer's wait was over, tries used up.
REFUSAL_REASONS = ("draining", "unknown class", "too late", "full", "displaced", "waited", "tries spent")
EFFECTS = ("idempotent", "deduplicated", "at_most_once")
GROUPS = ("all", "zone", "cell")


def _require(condition: bool, expected: str, got: object) -> None:
    if not condition:
        raise ValueError(f"expected {expected}, got {got!r}")


@dataclass(slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    aim_us: int  # an answer within this earns the full worth
    deadline_us: int
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth left for an answer after the aim
    aim_stretch: float = 0.0  # the aim grows by this multiple of the request's own work
    effect: str = "idempotent"
    group: str = "all"  # deduplicated: which upstreams drop each other's repeats
    dedup_memory_us: int = 0  # deduplicated: how long they remember a request
    stream: bool = False

    def __post_init__(self) -> None:
        _require(self.aim_us > 0, "a request class aim_us above 0", self.aim_us)
        _require(self.deadline_us > 0, "a request class deadline_us above 0", self.deadline_us)
        _require(self.worth >= 0, "a request class worth of 0 or more", self.worth)
        _require(0 <= self.late_worth <= 1, "a late_worth from 0 to 1", self.late_worth)
        _require(self.aim_stretch >= 0, "an aim_stretch of 0 or more", self.aim_stretch)
        _require(self.effect in EFFECTS, f"an effect out of {', '.join(EFFECTS)}", self.effect)
        _require(self.group in GROUPS, f"a group out of {', '.join(GROUPS)}", self.group)
        _require(self.dedup_memory_us >= 0, "a dedup_memory_us of 0 or more", self.dedup_memory_us)


@dataclass(slots=True)
class Tenant:
    """One tenant and the request rate that is within its share, over all sidecars together."""

    name: str
    allowance_per_s: float
    share: float = 0.0

    def __post_init__(self) -> None:
        _require(self.allowance_per_s >= 0, "a tenant allowance_per_s of 0 or more", self.allowance_per_s)
        _require(0 <= self.share <= 1, "a tenant share from 0 to 1", self.share)


@dataclass(slots=True)
class Settings:
    """What the operator allows and wants; the same for all sidecars but for `self_index` and `zone`."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    instances: int = 1
    self_index: int = 0
    zone: int = 0
    tick_us: int = 1000  # the shortest gap between batches
    max_attempts: int = 1
    max_retry_after_us: int = 0
    connect_timeout_us: int = 0
    retry_after: bool = True  # clients are told how long to stay away
    cancel: bool = False
    probes: bool = False
    hedging: bool = False  # two attempts of a request may be out together
    list_on_request: bool = False  # upstream changes come only after Subscribe or FetchList
    list_by_watch: bool = False  # pushed or not, they come over a connection that Subscribe opens
    ask_within_us: int = 0  # without a subscription, the list must be asked for this often
    cold_share: float = 1.0  # an upstream boots at this share of its capacity or more
    warm_up_us: int = 0  # and is warm after this
    overload_factor: float = 1.0  # a cold upstream falls over at this multiple of its capacity
    fall_us: int = 0  # sustained for this long
    cross_zone_fee: float = 0.0
    report_names: list[str] = field(default_factory=list)
    weighted: bool = False  # the list's weights speak of size

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "at least one request class", self.classes)
        _require(self.instances >= 1, "an instances of 1 or more", self.instances)
        _require(self.self_index >= 0, "a self_index of 0 or more", self.self_index)
        _require(0 <= self.over_share_worth <= 1, "an over_share_worth from 0 to 1", self.over_share_worth)
        _require(self.max_attempts >= 1, "a max_attempts of 1 or more", self.max_attempts)
        _require(0 < self.cold_share <= 1, "a cold_share above 0, at most 1", self.cold_share)
        _require(self.overload_factor > 0, "an overload_factor above 0", self.overload_factor)
        for name in ("zone", "tick_us", "max_retry_after_us", "connect_timeout_us", "ask_within_us",
                     "warm_up_us", "fall_us", "cross_zone_fee"):
            _require(getattr(self, name) >= 0, f"a {name} of 0 or more", getattr(self, name))


@dataclass(slots=True)
class Upstream:
    """One entry of the upstream list."""

    id: int
    state: UpstreamState = UpstreamState.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_us: int = 0  # its most recent start as the list tells it: with the id, the process; 0 = long ago
    local_started_us: int | None = None  # the same on the decisions' own clock, where that is another

    @property
    def effective_start_us(self) -> int:
        """Its most recent start on the decisions' own clock; 0 = long ago."""
        return self.started_us if self.local_started_us is None else self.local_started_us


# Events


@dataclass(slots=True)
class UpstreamsUpdated:
    kind: ListKind
    upstreams: list[Upstream] = field(default_factory=list)
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    request: int
    deadline_us: int  # when the client stops waiting
    class_index: int = 0
    tenant: int = 0
    key: int = 0  # 0 = none
    cost_us: int = 0  # expected work on a standard core; 0 = not known
    is_retry: bool = False  # the client sends it again
    is_write: bool = False


@dataclass(slots=True)
class RequestAbandoned:
    """The client has quit; no answer is owed any more."""

    request: int


@dataclass(slots=True)
class AttemptEnded:
    request: int
    attempt: int
    upstream: int
    outcome: Outcome
    elapsed_us: int = 0
    request_ended: bool = False  # the request has ended; otherwise an answer is still owed
    report: list[float] = field(default_factory=list)  # values in the order of `report_names`


@dataclass(slots=True)
class StreamStarted:
    request: int
    attempt: int
    upstream: int
    elapsed_us: int = 0


@dataclass(slots=True)
class ProbeEnded:
    upstream: int
    outcome: Outcome
    elapsed_us: int = 0
    report: list[float] = field(default_factory=list)


@dataclass(slots=True)
class TimerFired:
    token: int


@dataclass(slots=True)
class DrainChanged:
    """An operator takes this sidecar out of service, or puts it back: what is new is refused, what was taken
    goes on."""

    draining: bool
    shutting_down: bool = False  # the process ends: what was taken has its answer now, whichever it may have


@dataclass(slots=True)
class SettingsChanged:
    """New settings for a running instance. The classes keep their names, order, effects, groups and streams
    (new ones may follow), as requests that are open were judged by them."""

    settings: Settings


@dataclass(slots=True)
class PeerMessage:
    sender: int
    payload: bytes


Event = (UpstreamsUpdated | RequestArrived | RequestAbandoned | AttemptEnded | StreamStarted | ProbeEnded
         | TimerFired | PeerMessage | DrainChanged | SettingsChanged)


# Actions


@dataclass(slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered 0, 1, 2 ... in the order of their sends."""

    request: int
    upstream: int
    timeout_us: int = 0  # 0 = until the client quits
    send_before_us: int = 0  # no byte of it may leave from then on; 0 = while the request is open


@dataclass(slots=True)
class Refuse:
    """Final answer: not done, and trying again is harmless."""

    request: int
    retry_after_us: int = 0  # 0 = no advice
    reason: str = ""  # one of REFUSAL_REASONS, for those who watch; clients are not told


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about what it did."""

    request: int


@dataclass(slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(slots=True)
class Probe:
    upstream: int


@dataclass(slots=True)
class SetTimer:
    at_us: int
    token: int = 0


@dataclass(slots=True)
class Subscribe:
    active: bool = True


@dataclass(slots=True)
class FetchList:
    pass


@dataclass(slots=True)
class CloseIdle:
    upstream: int


@dataclass(slots=True)
class SendToPeer:
    payload: bytes
    to: int | None = None  # None = every peer


@dataclass(slots=True)
class Log:
    text: str


Action = (Send | Refuse | Fail | Cancel | Probe | SetTimer | Subscribe | FetchList | CloseIdle
          | SendToPeer | Log)


@dataclass(slots=True, frozen=True)
class UpstreamView:
    """One upstream as the decisions see it now; to look at, not to decide by."""

    id: int
    state: UpstreamState
    slots: float  # for this sidecar's sends; under 1 the one slot rests between sends
    used: int
    resting: bool
    warm_fraction: float  # of 1, the share of its capacity that it surely has
    failing: bool
    unresponsive: bool  # answers nothing at present
    min_latency_us: int  # its quickest answer; 0 = none yet

    @property
    def cold(self) -> bool:
        return self.warm_fraction < 1.0


@dataclass(slots=True, frozen=True)
class LearnedUpstream:
    """What has been learned of one process behind an upstream."""

    id: int
    started_us: int  # as the list told it: with the id, the process that this was learned of
    confirmed_us: int  # when an attempt last showed it by its end or by coming due
    slots: float
    min_latency_us: int = 0  # quickest answer; 0 = none
    failing: bool = False
    timeout_doublings: int = 1
    next_cold_us: int = 0  # while it is cold, no send before this
    first_hand: bool = True  # seen by this sidecar, now or in its former process; else another's word


@dataclass(slots=True, frozen=True)
class LearnedClass:
    name: str
    confirmed_us: int
    mean_us: float
    base_us: float


@dataclass(slots=True, frozen=True)
class LearnedState:
    """What one sidecar has learned; all times on the clock on which it is `as_of_us`."""

    as_of_us: int
    zone: int  # where it was learned: how far upstreams are holds from there
    slots: float  # of the sidecar; 0 = not known
    confirmed_us: int  # that
    upstreams: tuple[LearnedUpstream, ...] = ()
    classes: tuple[LearnedClass, ...] = ()
    tenants: tuple[tuple[str, float], ...] = ()  # name and share of the arrivals


def restart_only_change(old: Settings, new: Settings) -> str:
    """What of `new` a running instance can't take on, as one phrase; empty if it can take all of it."""
    def kept(c: RequestClass) -> tuple[object, ...]:
        return c.name, c.effect, c.group, c.stream

    for index, before in enumerate(old.classes):
        if index >= len(new.classes):
            return f"request class {before.name!r} is taken away"
        if kept(before) != kept(new.classes[index]):
            return f"name, effect, group or stream of request class {before.name!r}"
    for name in ("list_on_request", "report_names", "zone"):
        if getattr(old, name) != getattr(new, name):
            return name.replace("_", " ")
    return ""
