"""Data types exchanged between a sidecar and the decision module: settings, input events and output actions.

Times are whole microseconds (`_us`) on the sidecar's own monotonic clock. The embedding sidecar creates a `Settings`,
passes events to `Balancer.handle` in their order of arrival and executes the returned actions in the given order.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Outcome(enum.Enum):
    """How one attempt or probe ended, and whether the upstream may have executed it."""

    OK = "ok"
    ERROR = "error"  # the upstream answered with an error; it may have executed the request
    FULL = "full"  # the upstream was overloaded and rejected it unread; never executed
    TIMEOUT = "timeout"  # no answer in time; it may have been executed or still be executing
    CONNECT_FAILED = "connect_failed"  # no connection could be opened; never executed
    RESET = "reset"  # the connection broke; it may have been executed
    CANCELLED = "cancelled"  # cancelled by this sidecar; it may have been executed
    NOT_SENT = "not_sent"  # the sidecar could not send it; never executed


class UpstreamState(enum.Enum):
    """The state of one upstream according to the upstream list."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class ListKind(enum.Enum):
    """What an `UpstreamsUpdated` event carries."""

    DELTA = "delta"  # changed entries only
    FULL = "full"  # the complete list
    CACHED = "cached"  # the complete list as last known; it may be outdated
    FAILED = "failed"  # a fetch failed or the subscription broke; the list is unchanged


# Why a request was refused, in the order of the tuple: the instance is draining; the request class is unknown; the
# request arrived too late to be answered before its deadline; no slot was free and the buffer was occupied; a request
# of higher worth took its place in the buffer; the maximum time in the buffer has passed; all attempts were used.
REFUSAL_REASONS = ("draining", "unknown class", "too late", "full", "displaced", "waited", "tries spent")
EFFECTS = ("idempotent", "deduplicated", "at_most_once")
GROUPS = ("all", "zone", "cell")


def _require(condition: bool, expected: str, got: object) -> None:
    if not condition:
        raise ValueError(f"expected {expected}, got {got!r}")


@dataclass(slots=True)
class RequestClass:
    """A class of requests with common latency targets, worth and retry safety.

    The value of an answer is `worth` while its latency is within the aim, and `late_worth` of that from then until the
    deadline.
    """

    name: str
    aim_us: int  # latency target: an answer within this time earns the full worth
    deadline_us: int
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth that an answer after the aim still earns, 0 to 1
    aim_stretch: float = 0.0  # the aim is extended by this multiple of the request's own expected work
    effect: str = "idempotent"  # one of EFFECTS: when a request may be sent again
    group: str = "all"  # for effect "deduplicated": which upstreams share their deduplication records; one of GROUPS
    dedup_memory_us: int = 0  # for effect "deduplicated": how long the upstreams remember a request
    stream: bool = False  # the answer is a stream

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
    """A tenant and the request rate that is within its share, summed over all sidecars."""

    name: str
    allowance_per_s: float
    share: float = 0.0

    def __post_init__(self) -> None:
        _require(self.allowance_per_s >= 0, "a tenant allowance_per_s of 0 or more", self.allowance_per_s)
        _require(0 <= self.share <= 1, "a tenant share from 0 to 1", self.share)


@dataclass(slots=True)
class Settings:
    """The operator's settings; identical for all sidecars except for `self_index` and `zone`."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_share_worth: float = 1.0  # lowest factor on the worth of requests of a tenant above its allowance, 0 to 1
    worth_by_work: bool = False  # worth counts per unit of work instead of per request
    instances: int = 1  # number of sidecars
    self_index: int = 0  # of this sidecar among them
    zone: int = 0
    tick_us: int = 1000  # shortest time between two batches of events
    max_attempts: int = 1
    max_retry_after_us: int = 0
    connect_timeout_us: int = 0
    retry_after: bool = True  # refusals carry a Retry-After hint
    cancel: bool = False  # attempts that are no longer needed may be cancelled
    probes: bool = False
    hedging: bool = False  # two attempts of one request may be in flight at the same time
    list_on_request: bool = False  # upstream changes arrive only after Subscribe or FetchList
    list_by_watch: bool = False  # upstream changes arrive over a connection that Subscribe opens, in either mode
    ask_within_us: int = 0  # longest time between two fetches of the list without a subscription
    cold_share: float = 1.0  # lowest share of its full capacity that an upstream has right after its start
    warm_up_us: int = 0  # time until it has its full capacity
    overload_factor: float = 1.0  # a cold upstream fails under a load of this multiple of its current capacity ...
    fall_us: int = 0  # ... if the load lasts this long
    cross_zone_fee: float = 0.0  # cost of sending a request to another zone; above 0 the own zone is preferred
    report_names: list[str] = field(default_factory=list)  # names of the values in load reports, in order
    weighted: bool = False  # the weights in the upstream list are relative sizes

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
    cell: int = 0  # upstreams of one cell share deduplication records
    weight: float = 1.0
    started_us: int = 0  # last start according to the list; with the id it identifies the process; 0 = long ago
    local_started_us: int | None = None  # the same on this sidecar's clock, if that is a different clock

    @property
    def effective_start_us(self) -> int:
        """The last start on this sidecar's own clock; 0 = long ago."""
        return self.started_us if self.local_started_us is None else self.local_started_us


# Events


@dataclass(slots=True)
class UpstreamsUpdated:
    """A change of the upstream list; `kind` says what `upstreams` contains."""

    kind: ListKind
    upstreams: list[Upstream] = field(default_factory=list)
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    request: int
    deadline_us: int  # when the client stops waiting; a point in time
    class_index: int = 0
    tenant: int = 0
    key: int = 0  # hash of the session or entity that the request is about; 0 = none
    cost_us: int = 0  # expected CPU time on a standard core; 0 = unknown
    is_retry: bool = False  # the client has sent this request before
    is_write: bool = False


@dataclass(slots=True)
class RequestAbandoned:
    """The client has disconnected or the request was ended otherwise; no answer is needed any more."""

    request: int


@dataclass(slots=True)
class AttemptEnded:
    request: int
    attempt: int
    upstream: int
    outcome: Outcome
    elapsed_us: int = 0
    request_ended: bool = False  # the request is already closed; if not, it still needs an answer
    report: list[float] = field(default_factory=list)  # load report: values in the order of `report_names`


@dataclass(slots=True)
class StreamStarted:
    """The first part of a streamed answer has arrived; the attempt goes on until its AttemptEnded."""

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
    """A timer set by `SetTimer` has expired."""

    token: int


@dataclass(slots=True)
class DrainChanged:
    """An operator drains this sidecar or returns it to service. While it drains, new requests are refused and
    accepted ones continue."""

    draining: bool
    shutting_down: bool = False  # the process is ending: every open request gets the best answer it can have now


@dataclass(slots=True)
class SettingsChanged:
    """New settings for a running instance. Existing classes keep their names, order, effects, groups and streams,
    because decisions about open requests were based on them; new classes may follow at the end."""

    settings: Settings


@dataclass(slots=True)
class PeerMessage:
    """A message from another sidecar."""

    sender: int
    payload: bytes


Event = (UpstreamsUpdated | RequestArrived | RequestAbandoned | AttemptEnded | StreamStarted | ProbeEnded
         | TimerFired | PeerMessage | DrainChanged | SettingsChanged)


# Actions


@dataclass(slots=True)
class Send:
    """Start an attempt. The attempts of a request are numbered 0, 1, 2 ... in the order of their Send actions."""

    request: int
    upstream: int
    timeout_us: int = 0  # 0 = until the client stops waiting
    send_before_us: int = 0  # no byte may be sent from this time on; 0 = as long as the request is open


@dataclass(slots=True)
class Refuse:
    """Final answer: the request was not executed, and it is safe to send it again."""

    request: int
    retry_after_us: int = 0  # 0 = no hint
    reason: str = ""  # one of REFUSAL_REASONS; for monitoring, not sent to the client


@dataclass(slots=True)
class Fail:
    """Final answer: the request failed; it may or may not have been executed."""

    request: int


@dataclass(slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Send a health check to an upstream; a ProbeEnded event follows."""

    upstream: int


@dataclass(slots=True)
class SetTimer:
    """Deliver TimerFired with this token at the given time, not earlier."""

    at_us: int
    token: int = 0


@dataclass(slots=True)
class Subscribe:
    """Start or stop the subscription to changes of the upstream list."""

    active: bool = True


@dataclass(slots=True)
class FetchList:
    """Fetch the complete upstream list once."""


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to an upstream."""

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
    """The current state of one upstream in the decision module; for inspection only, no decision uses it."""

    id: int
    state: UpstreamState
    slots: float  # concurrent attempts allowed to this sidecar; below 1, pauses separate single attempts
    used: int  # slots in use
    resting: bool  # no attempt may start now
    warm_fraction: float  # the share of its full capacity that it certainly has, 0 to 1
    failing: bool
    unresponsive: bool  # it currently answers nothing
    min_latency_us: int  # its fastest answer; 0 = none yet

    @property
    def cold(self) -> bool:
        return self.warm_fraction < 1.0


@dataclass(slots=True, frozen=True)
class LearnedUpstream:
    """What was learned about one process of an upstream."""

    id: int
    started_us: int  # start according to the list; with the id it identifies the process this was learned about
    confirmed_us: int  # when an attempt last confirmed it, by ending or by timing out
    slots: float
    min_latency_us: int = 0  # fastest answer; 0 = none
    failing: bool = False
    timeout_doublings: int = 1  # how often the timeout was doubled; above 1 while the upstream answers nothing
    next_cold_us: int = 0  # earliest time of the next attempt while the upstream is cold
    first_hand: bool = True  # observed by this sidecar (now or before its restart); otherwise by another sidecar


@dataclass(slots=True, frozen=True)
class LearnedClass:
    """The latency that was learned for a request class."""

    name: str
    confirmed_us: int
    mean_us: float
    base_us: float  # latency without queueing


@dataclass(slots=True, frozen=True)
class LearnedState:
    """Everything one sidecar has learned. All times are on the clock that read `as_of_us` when this was created."""

    as_of_us: int
    zone: int  # zone of the sidecar that learned it: latencies to upstreams are valid from there only
    slots: float  # limit on the sidecar's concurrent attempts; 0 = unknown
    confirmed_us: int  # when `slots` was last confirmed
    upstreams: tuple[LearnedUpstream, ...] = ()
    classes: tuple[LearnedClass, ...] = ()
    tenants: tuple[tuple[str, float], ...] = ()  # names, each with its share of the arrived requests


def restart_only_change(old: Settings, new: Settings) -> str:
    """The first difference between the settings that needs a restart, as a phrase; empty if a running instance can
    apply all of `new`."""
    def fixed_fields(request_class: RequestClass) -> tuple[object, ...]:
        return request_class.name, request_class.effect, request_class.group, request_class.stream

    for index, old_class in enumerate(old.classes):
        if index >= len(new.classes):
            return f"request class {old_class.name!r} is taken away"
        if fixed_fields(old_class) != fixed_fields(new.classes[index]):
            return f"name, effect, group or stream of request class {old_class.name!r}"
    for name in ("list_on_request", "report_names", "zone"):
        if getattr(old, name) != getattr(new, name):
            return name.replace("_", " ")
    return ""
