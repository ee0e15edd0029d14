"""The load-balancing decisions, all in one class: `Balancer`. Settings, events and actions: ironscale/interface.py.

Concurrency is limited by slots, per upstream and for the whole sidecar. A request is sent to a free slot of an
upstream that is drawn by weighted random choice. If no slot is free, it waits in a buffer that holds one request.
If the buffer is taken too, it is refused. Retries and hedged copies need a free slot as well.

`Balancer` does no I/O and reads no clock: a sidecar passes in events with their time and carries out the actions
that come back. "Large fleet" means LARGE_FLEET_INSTANCES sidecars or more: each of them sees too few answers of
most upstreams, so some rules differ there. "Slow time" means half of a request class's aim; "slowness" is an
answer's time divided by it.

Four rules hold for every action:

1. Every request gets exactly one final answer, by its due time.
2. A request that may have run is sent again, or refused as not done, only where its class's effect allows that.
3. Nothing is sent to a draining or gone upstream, and the upstream list is asked for often enough.
4. A cold upstream is not overloaded: all sidecars together send it less than the overload that it withstands.
"""

import heapq
import math
import random
from dataclasses import replace

from ironscale import confidence
from ironscale import fleet_estimates as fleet
from ironscale import interface as api
from ironscale.sum_tree import SumTree

# Retry budget: tokens that each arriving request adds; a retry or a hedged copy takes one.
RETRY_TOKENS_PER_REQUEST = 0.2
MAX_RETRY_TOKENS = 5.0  # tokens that the retry budget holds at most
IDLE_UTILIZATION = 0.8  # reported utilization under which requests hardly queue
INITIAL_SLOTS_PER_UPSTREAM = 8.0  # slots that all sidecars together start with at one upstream
# Share of the mean weight: an upstream listed with a weight near 0 still gets requests.
MIN_RELATIVE_WEIGHT = 0.1
# Outstanding requests, of all sidecars together, that slow answers always leave to an upstream.
MIN_REQUESTS_PER_UPSTREAM = 2.0
# An upstream's window grows to at most this multiple of its even share of this sidecar's outstanding attempts, so
# that idle upstreams are used first.
MAX_MULTIPLE_OF_EVEN_SHARE = 3.0
# A large fleet begins here: one sidecar's own answers are then too few to judge every upstream by.
LARGE_FLEET_INSTANCES = 20
# Takes the place of MIN_REQUESTS_PER_UPSTREAM in a large fleet; each sidecar keeps a part by its share of the
# traffic.
LARGE_FLEET_MIN_REQUESTS_PER_UPSTREAM = 4.0
# This sidecar's subset is so large that it supplies at most one part in this many of an upstream's load.
MIN_SIDECARS_PER_UPSTREAM = 4.0
MAX_COUNTED_FAULT_RATE = 0.75  # fault rates count up to this: (1 - 0.75) ** 3 is MIN_WINDOW_SLOTS
HEALTHY_FAULT_RATE = 0.3  # fault rate under which the preference for this sidecar's zone applies
# Lower bound of an upstream's preference. At 0 it would never be tried, and requests would be refused instead.
MIN_PREFERENCE = 1e-4
# Factor on the weight of an upstream that is not both idle and in this zone, where crossing zones costs.
NON_LOCAL_WEIGHT = 1e-3
# A draw chooses among a subset of the upstreams with at least so many slots; one of mean weight counts 1 at most.
MIN_SUBSET_SLOTS = 3.0
# Outcomes that cost no upstream any work: a retry after one of them takes no token.
UNCHARGED_OUTCOMES = (api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)
# Outcomes after which the request surely did not run.
NEVER_RAN_OUTCOMES = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)
# Failures that usually come back at once.
FAST_FAILURES = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.ERROR, api.Outcome.RESET)
# Outcomes that tell nothing about the upstream.
UNINFORMATIVE_OUTCOMES = (api.Outcome.CANCELLED, api.Outcome.NOT_SENT)
MIN_WINDOW_SLOTS = 1 / 64  # a failing upstream is tried about once in 64 usual answer times
# Share of an upstream's window by which one round of answers moves it, for each unit of slowness.
WINDOW_STEP_GAIN = 0.4
# Slowness at which an upstream's window settles. A higher target overloads it, a lower one refuses requests too
# early.
TARGET_SLOWNESS = 0.7
# The sidecar's window settles at this multiple of the base latency: as much time queued as served.
TARGET_LATENCY_MULTIPLE = 2.0
# Multiple of the slow time after which an unanswered attempt may first give its slot to another.
HUNG_AFTER_SLOW_TIMES = 3
# Both in slow times. The part of an upstream's quickest answer above the first is taken for network latency, up to
# the second.
NEARBY_LATENCY, MAX_NETWORK_LATENCY = 0.2, 0.5
HARMLESS_SLOWNESS = 0.3  # slowness under which queues do no harm yet
# Number of arrivals over which tenant shares are averaged: enough to tell a tenant at twice its share from chance,
# and soon forgotten.
TENANT_MEMORY_ARRIVALS = 200
MIN_LOG_INTERVAL_US = 1_000_000  # at most one log line a second, however many upstreams change
# First backoff of discovery calls: long compared with one call, short compared with a drain.
FIRST_LIST_RETRY_US = 250_000
# Discovery's time for one sidecar's list in a large fleet, whose sidecars share discovery.
LIST_CALL_US = 150_000


class Window:
    """A sliding limit on outstanding attempts, in slots. Below one slot, a single attempt at a time is let through,
    with a pause after each."""

    def __init__(self, name: str, slots: float) -> None:
        self.name, self.slots = name, slots
        self.paused_until_us = 0
        self.logged_as_backed_off = False  # whether the last log line said that it backed off

    def usable_slots(self, now_us: int) -> int:
        """The number of slots usable now, whether taken or free."""
        return int(self.slots) if self.slots >= 1.0 else int(now_us >= self.paused_until_us)

    def adjust(self, step: float, minimum: float, maximum: float) -> None:
        """Moves the window by `step` slots, below one slot by the share `step` of it: a round of answers moves it by
        that share. It stays within `minimum` and `maximum`, or moves towards them if it is outside."""
        slots = self.slots + step * min(1.0, self.slots)
        maximum, minimum = max(maximum, self.slots), max(MIN_WINDOW_SLOTS, min(minimum, self.slots))
        self.slots = min(max(slots, minimum), maximum)

    def pause(self, now_us: int, busy_us: float) -> None:
        """Below one slot, pauses for so long that the slot is busy for the share `slots` of the time."""
        self.paused_until_us = now_us + int(busy_us * max(0.0, 1.0 / self.slots - 1.0))


class TrackedUpstream:
    """What this sidecar knows of one process behind an upstream."""

    def __init__(self, entry: api.Upstream) -> None:
        self.entry = entry
        self.relative_weight = 1.0  # listed weight, divided by the mean weight
        self.used_slots = 0  # slots taken by this sidecar's attempts
        self.window = Window(f"upstream {entry.id}", 1.0)  # starts with one slot
        self.utilization = 1.0  # utilization as last reported; unknown counts as busy
        self.faults = fleet.FailureShare()
        self.preference = 1.0  # as last computed
        self.failing = False  # its last answer was a failure
        self.min_latency_us = 0  # its quickest answer, a measure of its distance; 0 = none yet
        # when the attempt that it answered with success was sent, the latest of them
        self.latest_answered_sent_us = 0
        # The patience with its unanswered attempts doubles this many times. Grows while nothing is answered; an
        # answer resets it to 1.
        self.patience_doublings = 1
        self.sends_while_cold = True  # whether this sidecar sends to it while it is cold
        self.next_cold_send_us = 0  # while it is cold, nothing is sent before this time
        # How long after `next_cold_send_us` an unused turn lapses and the next one is scheduled; 0 = it waits until
        # it is used.
        self.cold_turn_us = 0
        self.last_observed_us = 0  # when an attempt last told something about it
        # what was learned of it elsewhere or in an earlier run, not yet tested by an attempt of this sidecar
        self.lesson: api.LearnedUpstream | None = None
        self.order_index = -1  # index in this sidecar's draw order; -1 = no longer drawn
        # Its current entries in `refresh_times` and `opening_times`; 0 = none.
        self.queued_refresh_us = self.queued_opens_us = 0

    def opens_us(self) -> int:
        """When its slot opens again, if only time keeps it closed."""
        return max(self.next_cold_send_us, self.window.paused_until_us)


class Attempt:
    """One send of a request to an upstream."""

    def __init__(self, upstream: TrackedUpstream, now_us: int, slow_after_us: int) -> None:
        self.upstream, self.sent_us, self.slow_after_us = upstream, now_us, slow_after_us
        self.slowness = 0.0  # as counted in the windows so far; 0 = neither late nor ended yet
        self.holds_slot = True  # whether it still takes up a slot of its upstream
        # sent to a cold upstream of a large fleet: bounded by that one's pacing, not by the sidecar's window
        self.paced = False
        self.outcome: api.Outcome | None = None  # None while it is outstanding


class Request:
    """An open request and its attempts."""

    def __init__(self, event: api.RequestArrived) -> None:
        self.event = event
        self.attempts: list[Attempt] = []
        self.open_attempts = 0  # outstanding attempts
        self.done = self.streaming = False

    def first_that_may_have_run(self) -> Attempt | None:
        return next((attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN_OUTCOMES), None)


class Latency:
    """Moving average of a request class's answer times, in microseconds, and a slowly rising minimum of that
    average."""

    def __init__(self, aim_us: int) -> None:
        # half the aim, until there is a sample
        self.initial_us = self.mean_us = self.base_us = aim_us / 2
        # `recall_doubt`: the minimum weight of a new sample against a value that was learned elsewhere;
        # halves with each sample.
        self.has_samples, self.last_observed_us, self.recall_doubt = False, 0, 0.0

    def add(self, sample_us: float) -> None:
        """Adds an answer time to the average."""
        sample_us = max(1.0, sample_us)  # a clock with coarse ticks may measure 0
        if not self.has_samples:
            self.has_samples, self.mean_us, self.base_us = True, sample_us, sample_us
        # gain 1/8 as in TCP's smoothed round-trip time (RFC 6298)
        self.mean_us += (sample_us - self.mean_us) * max(1 / 8, self.recall_doubt)
        base_us = self.base_us + (self.mean_us - self.base_us) * max(1 / 256, self.recall_doubt)
        self.base_us = min(self.mean_us, base_us)
        self.recall_doubt = self.recall_doubt / 2 if self.recall_doubt > 1 / 8 else 0.0

    def conservative_us(self) -> float:
        """The average for the pacing of cold upstreams. While an average from elsewhere is uncertain, it is not
        taken for shorter than the initial value: too short an estimate would overload cold upstreams."""
        return max(self.mean_us, self.initial_us) if self.recall_doubt else self.mean_us

    def recall(self, lesson: api.LearnedClass, share: float) -> None:
        """Adopts a class's latency that was learned in an earlier run or by other sidecars, trusted by `share` of 1."""
        # Never longer than the initial value: with a longer one, cold upstreams would warm up more slowly and
        # requests would count as too late sooner.
        self.mean_us = confidence.blend(self.initial_us, min(lesson.mean_us, self.initial_us), share)
        self.base_us = min(self.mean_us, max(lesson.base_us, self.mean_us / 4))
        self.has_samples, self.recall_doubt, self.last_observed_us = True, 1 / 2, lesson.confirmed_us


class Balancer:
    """The load-balancing decisions of one sidecar: takes events, returns actions. The same settings, seed and events
    always give the same actions."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        self.settings, self.random, self.now_us = settings, random.Random(seed), now_us
        self.actions: list[api.Action] = []
        self.upstreams: dict[int, TrackedUpstream] = {}  # by id: those on the list that are not gone
        self.requests: dict[int, Request] = {}
        self.buffer: Request | None = None
        self.latency = [Latency(c.aim_us) for c in settings.classes]
        self.window = Window("this sidecar", 1.0)  # limits all attempts of this sidecar together
        # lower bound of that window: without it all sidecars would pause for long after an outage
        self.min_window_slots = 1.0
        self.outstanding = fleet.OutstandingAverage(now_us)  # attempts that count against the sidecar's window
        # ready upstreams, rotated to this sidecar's own starting point
        self.draw_order: list[TrackedUpstream] = []
        # how many upstreams at the front of it are cold ones that this sidecar of a large fleet warms up
        self.cold_first_count = 0
        self.ready_capacity = 0.0  # capacity of the ready upstreams, in warm upstreams of mean weight
        # when the next upstream at the front will be warm and return to its usual place; 0 = none will
        self.reorder_at_us = 0
        # weights of the free upstreams in draw order, as of their last refresh
        self.draw_weights = SumTree(0)
        # upstreams whose weight is refreshed before the next draw
        self.needs_refresh: dict[TrackedUpstream, None] = {}
        self.warming_up: dict[TrackedUpstream, None] = {}  # cold and free: their weight changes with time alone
        # heap: when to refresh an upstream's weight
        self.refresh_times: list[tuple[int, int, TrackedUpstream]] = []
        # heap: when a slot opens that only time keeps closed
        self.opening_times: list[tuple[int, int, TrackedUpstream]] = []
        self.traffic = fleet.TrafficShare(
            sum(t.allowance_per_s for t in settings.tenants), settings.instances, now_us)
        self.slowness = fleet.LatencyAverage()  # of the answers of all upstreams
        self.kind_slowness: dict[int, fleet.LatencyAverage] = {}
        self.zone_faults: dict[int, fleet.FailureShare] = {}
        self.preferred_zone = -1  # this sidecar's zone, if idle upstreams there are preferred; else -1
        self.subset_slots = self.min_subset_slots = MIN_SUBSET_SLOTS
        self.retry_tokens = MAX_RETRY_TOKENS
        self.utilization_index = next((i for i, n in enumerate(settings.report_names) if n == "utilization"), None)
        self.tenant_arrivals = [0.0 for _ in settings.tenants]
        self.next_log_us = now_us
        self.wakeups: list[tuple[int, str, int]] = []  # heap of (time, purpose, request id)
        self.armed_timer_us = 0  # the time of the earliest timer already asked for; 0 = none
        # The next time to ask for the list; 0 = it is subscribed to.
        self.list_failures = self.next_list_call_us = 0
        self.draining = False
        self.last_observed_us = 0  # when an attempt last told something about any upstream
        self.lessons: list[api.LearnedState] = []  # learned before or elsewhere, waiting for an upstream list
        self.has_discovery_list = False  # whether a list has come from discovery, not only a cached one
        # The sidecars of a large fleet may all start at once, and discovery still works off calls whose callers have
        # given up waiting: the first calls are spread.
        spread_us = self.list_call_spread_us()
        self.schedule_list_call(now_us + (self.random.randrange(spread_us) if spread_us else 0))

    @property
    def in_large_fleet(self) -> bool:
        """Whether this sidecar belongs to a large fleet, in which what it sees and sends itself tells little.
        Decided by the number of sidecars alone: if upstreams counted too, a release that takes a few of them away
        would change the meaning of all windows."""
        return self.settings.instances >= LARGE_FLEET_INSTANCES

    def list_call_spread_us(self) -> int:
        """Over how long the list calls of a large fleet's sidecars are spread, one call's time for each; at most
        half of the time within which the list must be asked for. 0 = they are not spread."""
        s = self.settings
        is_shared = self.in_large_fleet and s.list_on_request
        return min(LIST_CALL_US * s.instances, s.ask_within_us // 2) if is_shared else 0

    def max_list_call_gap_us(self) -> int:
        """The longest time between two calls for a list. Where lists are pushed, changes that an agent has received
        count as known to this sidecar too, so it asks again soon."""
        return max(FIRST_LIST_RETRY_US, self.settings.ask_within_us // 2 if self.settings.list_on_request else 0)

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Handles one event at its time and returns the actions to carry out, in order."""
        self.now_us = now_us
        if isinstance(event, api.AttemptEnded):
            self.on_attempt_ended(event)
        elif isinstance(event, api.RequestArrived):
            self.on_arrival(event)
        elif isinstance(event, api.TimerFired):
            # a stale timer that armed another would keep timers going forever
            if self.armed_timer_us <= now_us:
                self.armed_timer_us = 0
            self.run_due_wakeups()
        elif isinstance(event, api.RequestAbandoned) and event.request in self.requests:
            self.close(self.requests[event.request])
        elif isinstance(event, api.StreamStarted) and event.request in self.requests:
            self.requests[event.request].streaming = True
        elif isinstance(event, api.UpstreamsUpdated):
            self.on_list(event)
        elif isinstance(event, api.DrainChanged):
            self.draining = event.draining
            for request in [*self.requests.values()] if event.shutting_down else ():
                if not request.done:
                    self.refuse_or_fail(request, "draining")
        elif isinstance(event, api.SettingsChanged):
            self.on_settings(event.settings)
        if self.buffer is not None and self.try_send(self.buffer):
            self.buffer = None
        self.arm_timer()
        actions, self.actions = self.actions, []
        return actions

    def on_arrival(self, event: api.RequestArrived) -> None:
        """Handles a new request. One whose id is already open is ignored."""
        if event.request in self.requests:
            return
        if event.class_index >= len(self.settings.classes):  # not in the settings
            self.actions.append(api.Refuse(event.request, reason="unknown class"))
            return
        request = Request(event)
        self.requests[event.request] = request
        if self.draining:
            self.refuse_or_fail(request, "draining")
            return
        if event.tenant < len(self.tenant_arrival_weights):
            # Instead of scaling all old arrivals down, each new one counts a little more.
            self.arrival_weight /= 1.0 - 1.0 / TENANT_MEMORY_ARRIVALS
            self.tenant_arrival_weights[event.tenant] += self.arrival_weight
            self.total_arrival_weight += self.arrival_weight
            if self.arrival_weight > 1e12:
                self.tenant_arrivals = self.tenant_arrivals
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_TOKENS_PER_REQUEST)
        self.dispatch(request)

    @property
    def tenant_arrivals(self) -> list[float]:
        """Arrivals by tenant, in which old ones fade exponentially."""
        return [weight / self.arrival_weight for weight in self.tenant_arrival_weights]

    @tenant_arrivals.setter
    def tenant_arrivals(self, arrivals: list[float]) -> None:
        self.tenant_arrival_weights, self.total_arrival_weight, self.arrival_weight = arrivals, sum(arrivals), 1.0

    def log_window(self, window: Window) -> None:
        """Logs when a window shrinks below a quarter of a slot and when it is back at one slot."""
        backed_off = window.slots < (1.0 if window.logged_as_backed_off else 0.25)
        # otherwise logged later, if it lasts
        if backed_off != window.logged_as_backed_off and self.now_us >= self.next_log_us:
            self.next_log_us = self.now_us + MIN_LOG_INTERVAL_US
            window.logged_as_backed_off = backed_off
            self.actions.append(api.Log(
                f"{window.name}: concurrency limit {'backed off' if backed_off else 'recovered'}"))

    def dispatch(self, request: Request) -> None:
        """Sends a request through a free slot, else puts it into the buffer, else refuses it. A request of higher
        value displaces the one in the buffer."""
        buffered = self.buffer
        in_time = self.now_us < self.latest_start_us(request)
        if in_time and self.try_send(request):
            return
        wanted = buffered is None or self.slot_value(request) > self.slot_value(buffered)
        if in_time and wanted and self.may_send(request):
            # Without displacement, a shortage would let many cheap requests keep the valuable ones out of every
            # slot.
            self.buffer = request
            if buffered is not None:
                self.refuse_or_fail(buffered, "displaced")
            until_us = self.now_us + self.half_aim_us(request.event.class_index)
            self.schedule(min(until_us, self.latest_start_us(request)), "buffer", request.event.request)
        else:
            attempts_used_up = request.attempts and not self.may_send(request)
            self.refuse_or_fail(request, "too late" if not in_time else "tries spent" if attempts_used_up else "full")

    def slot_value(self, request: Request) -> float:
        """The worth that a slot earns per unit of time with this request; reduced for a tenant beyond its share. The
        share is judged among the arrivals at this sidecar, as it does not know the tenants' total rates."""
        s, worth = self.settings, self.class_of(request).worth
        if not s.worth_by_work:
            worth /= self.latency[request.event.class_index].mean_us
        if request.event.tenant < len(s.tenants):
            allowed = s.tenants[request.event.tenant].allowance_per_s / max(1.0, self.traffic.allowed_per_s)
            seen = self.tenant_arrival_weights[request.event.tenant] / self.total_arrival_weight
            worth *= s.over_share_worth + (1.0 - s.over_share_worth) * min(1.0, allowed / seen)
        return worth

    def class_of(self, request: Request) -> api.RequestClass:
        return self.settings.classes[request.event.class_index]

    def half_aim_us(self, class_index: int) -> int:
        """Half of the class's aim: the longest wait in the buffer, and the time after which an answer counts as
        slow, which leaves the other half for another attempt."""
        return self.settings.classes[class_index].aim_us // 2

    def latest_start_us(self, request: Request) -> int:
        """The latest time at which an attempt can start and be expected back by the due time. At most half the aim
        is reserved for the answer: after an outage in which every answer took longer than that, nothing would be
        tried again otherwise."""
        answer_us = int(self.latency[request.event.class_index].mean_us)
        return request.event.deadline_us - min(answer_us, self.half_aim_us(request.event.class_index))

    def refuse_or_fail(self, request: Request, reason: str) -> None:
        """The only place where the balancer answers a request itself (rules 1 and 2): with a refusal if surely
        nothing ran or a repeat is harmless, else with a failure."""
        request_id, request_class = request.event.request, self.class_of(request)
        harmless = (request_class.effect == "idempotent" or request.first_that_may_have_run() is None
                    or (request_class.effect == "deduplicated" and request_class.group == "all"))
        self.close(request)
        self.actions.append(api.Refuse(request_id, self.retry_after_us(request), reason) if harmless
                            else api.Fail(request_id))

    def close(self, request: Request) -> None:
        """Marks the request as answered. It is forgotten once no attempt is outstanding."""
        request.done = True
        if self.buffer is request:
            self.buffer = None
        if request.open_attempts == 0:
            self.requests.pop(request.event.request, None)

    def retry_after_us(self, request: Request) -> int:
        """When to advise the client to come back: about one answer's time, jittered so that refused clients do not
        return together."""
        after_us = self.latency[request.event.class_index].mean_us * (0.5 + self.random.random())
        return min(int(after_us), self.settings.max_retry_after_us) if self.settings.retry_after else 0

    def adjust_windows(self, attempt: Attempt, elapsed_us: int, class_index: int) -> None:
        """Adjusts the windows of the attempt's upstream and of this sidecar, once it has ended or is late. Both are
        steered by its slowness; the sidecar's window sees more answers than any upstream's."""
        upstream, outcome, latency = attempt.upstream, attempt.outcome, self.latency[class_index]
        self.needs_refresh[upstream] = None
        if outcome not in UNINFORMATIVE_OUTCOMES:
            upstream.last_observed_us = self.last_observed_us = self.now_us
            if upstream.lesson is not None:
                self.confirm_lesson(upstream, outcome, elapsed_us)
        if outcome is not None and outcome not in UNINFORMATIVE_OUTCOMES:
            is_failure = outcome is not api.Outcome.OK
            # Shared by zone: otherwise a lost zone costs one failed request for each of its upstreams.
            if self.zone_faults.setdefault(upstream.entry.zone, fleet.FailureShare()).record(
                    self.now_us, is_failure, 1 / 8):
                same_zone = (other for other in self.draw_order if other.entry.zone == upstream.entry.zone)
                self.needs_refresh.update(dict.fromkeys(same_zone))
            # A failure weighs more than a success: an upstream that fails at random and is met only every few
            # seconds would otherwise not be found out.
            upstream.faults.record(self.now_us, is_failure, 1 / 2 if is_failure else 1 / 4)
        if outcome in FAST_FAILURES:
            # An upstream that fails at once is always idle and would draw ever more requests. A single failure
            # closes little, so that failures of one request in ten do not close all upstreams. The sidecar's window
            # stays: an upstream may turn requests away although it has room, and how full the others are is told by
            # their own windows.
            is_first_failure, upstream.failing = not upstream.failing, True
            upstream.window.adjust(-0.1 if is_first_failure else -0.5, 0.0, 1.0)
        elif outcome in (None, api.Outcome.OK, api.Outcome.TIMEOUT):
            # Time-outs and late answers count like slow ones: queues longer than the aim serve nobody in time,
            # however busy the upstreams are.
            if outcome is api.Outcome.OK:
                upstream.failing, upstream.min_latency_us = (
                    False, min(upstream.min_latency_us or elapsed_us, elapsed_us))
            # The network latency is subtracted: otherwise a distant upstream's usual answers would be taken for a
            # queue and keep it at one slot. This also covers a slow network at this sidecar. It errs where even the
            # quickest answer had queued, so at most MAX_NETWORK_LATENCY is taken off.
            network_latency = min(MAX_NETWORK_LATENCY,
                                  max(0.0, upstream.min_latency_us / attempt.slow_after_us - NEARBY_LATENCY))
            slowness = min(2.0, max(0.01, elapsed_us / attempt.slow_after_us - network_latency))
            step = (attempt.slowness or TARGET_SLOWNESS) - slowness
            # Unneeded slots, above all of many sidecars, let bursts overload an upstream (compare RFC 7661).
            max_slots = max(1.0, MAX_MULTIPLE_OF_EVEN_SHARE * (self.outstanding.out + 1) / max(1, len(self.draw_order)))
            upstream.window.adjust(WINDOW_STEP_GAIN * step, self.min_upstream_slots(), max_slots)
            target = min(1.0, max(HARMLESS_SLOWNESS, TARGET_LATENCY_MULTIPLE * latency.base_us / attempt.slow_after_us))
            # the minimum of a mean of so few answers is far below the usual
            if self.in_large_fleet:
                target = 1.0
            step = (attempt.slowness or target) - slowness
            # an upstream with idle cores does not queue: the request itself is long
            if upstream.utilization < IDLE_UTILIZATION:
                step = max(step, target)
            # The window shrinks only if at least half of it is used: otherwise long requests alone would close it,
            # and a burst would find it closed.
            needed = self.needed_slots()
            if self.in_large_fleet and step < 0.0 and not attempt.paced:
                self.window.slots = min(self.window.slots, max(self.min_window_slots, needed))
            if not attempt.paced and (step > 0.0 or self.window.slots <= needed):
                self.window.adjust(WINDOW_STEP_GAIN / 2 * step, self.min_window_slots, needed)
            attempt.slowness = slowness
            for average in (self.slowness, self.kind_slowness.setdefault(upstream.entry.kind, fleet.LatencyAverage())):
                average.add(slowness)
        # The pause lasts in proportion to the usual answer where that is longer: where answers take seconds, short
        # pauses would leave an overloaded upstream crowded.
        busy_us = min(max(elapsed_us, latency.mean_us), attempt.slow_after_us)
        for window in (upstream.window, self.window):
            window.pause(self.now_us, busy_us * (0.5 + self.random.random()))
            self.log_window(window)

    def needed_slots(self) -> float:
        """Slots that this sidecar can make use of: about twice those in use."""
        if self.in_large_fleet:
            return 1.0 + 2.0 * self.outstanding.average_at(self.now_us)
        return 2.0 * (self.outstanding.out + 1)

    def window_has_room(self) -> bool:
        """Whether the sidecar's window allows one more attempt. In a large fleet the smoothed number of outstanding
        attempts counts: a sidecar with little traffic has random peaks, which it would refuse although the sum over
        all sidecars is even."""
        if self.in_large_fleet:
            return self.outstanding.average_at(self.now_us) < self.window.slots
        return self.window.usable_slots(self.now_us) > self.outstanding.out

    def min_upstream_slots(self) -> float:
        """The slots that slow answers always leave at an upstream. In a large fleet they follow this sidecar's part
        of the traffic: split evenly, the few sidecars that carry most of the traffic would hold back for all, and
        refuse what idle upstreams could serve."""
        return min(1.0, LARGE_FLEET_MIN_REQUESTS_PER_UPSTREAM * self.traffic.share() if self.in_large_fleet else
                   MIN_REQUESTS_PER_UPSTREAM / self.settings.instances)

    def warmth(self, upstream: TrackedUpstream) -> float:
        """Rule 4: the share of its capacity that an upstream surely has. In a small fleet it counts as warm (1.0) as
        soon as its overload limit is 1.5 times its warm capacity, since one slot from each sidecar can't reach that."""
        s, started_us = self.settings, upstream.entry.effective_start_us
        # by the upstream's own clock, it may have started after now
        age_us = max(0, self.now_us - started_us)
        if started_us == 0 or age_us >= s.warm_up_us:
            return 1.0
        warmth = s.cold_share + (1.0 - s.cold_share) * age_us / s.warm_up_us
        # Not in a large fleet: one slot from each of 200 sidecars is many times its capacity, and all would send as
        # the pacing ends.
        return warmth if self.in_large_fleet or warmth * s.overload_factor < 1.5 else 1.0

    def warm_at_us(self, upstream: TrackedUpstream) -> int:
        """From about when on `warmth` is 1: because of rounding it may be a little later, never earlier."""
        s = self.settings
        age_us, warm_from = s.warm_up_us, 1.5 / s.overload_factor
        if s.cold_share < 1.0 and warm_from < 1.0 and not self.in_large_fleet:
            age_us = int(max(0.0, (warm_from - s.cold_share) / (1.0 - s.cold_share)) * s.warm_up_us) - 2
        return upstream.entry.effective_start_us + age_us

    def cold_send_gap_us(self, upstream: TrackedUpstream, work_us: float, share: float = 1.0) -> int:
        """Rule 4: the time after a send to a cold upstream until the next one. All sidecars together then send it
        half of the overload multiple that it withstands; in a large fleet, what it can serve. The work of a request is
        estimated by the usual answer time, as if the upstream had one core, and at most by what an even share of the
        tenants' allowed rate leaves for one request. `share` is the fraction of that time to wait, for the first
        send of all."""
        s, warmth, traffic = self.settings, self.warmth(upstream), self.traffic
        if warmth == 1.0:
            return 0
        # answer times are mostly network and queueing, also at other upstreams
        if traffic.allowed_per_s:
            work_us = min(work_us, 1e6 * len(self.draw_order) / traffic.allowed_per_s)
        # The work estimate holds for an upstream of mean size. A small one does two thirds of that, so even without
        # a multiple it is paced to 1.5 times what it can do.
        part = (traffic.share_of_cold_sends() if self.in_large_fleet else
                traffic.share() * max(1.0, s.overload_factor / 2))
        upstream.cold_turn_us = fleet.turn_lifetime_us(s, warmth * s.fall_us / work_us, self.in_large_fleet)
        # The capacity grows while the next send is awaited: at the initial pace the upstream would be warm before
        # that.
        capacity_growth = (1.0 - s.cold_share) / s.warm_up_us
        return int((math.sqrt(warmth**2 + 2.0 * capacity_growth * share * work_us / part) - warmth) / capacity_growth)

    def draw(self, request: Request) -> TrackedUpstream | None:
        """Weighted random choice among the free upstreams of this sidecar's subset that the request may use and has
        not tried yet; None if there is none."""
        self.refresh_weights()
        if not self.window_has_room():
            return self.pick_cold(request)
        if self.in_large_fleet and self.slowness.exceeds(TARGET_SLOWNESS):
            # Cold upstreams come first: drawn among the warm ones, they would be met far more seldom than their
            # pacing allows, while the warm ones are crowded. A slow network triggers this as well; answers in good
            # time never do.
            cold = self.pick_cold(request)
            if cold is not None:
                return cold
        if not request.attempts:
            return self.pick_from_subset()
        tried = {attempt.upstream: None for attempt in request.attempts if attempt.upstream.order_index >= 0}
        if self.is_bound_to_group(request):
            return self.pick_in_group(request, tried)
        for upstream in tried:
            self.draw_weights.set(upstream.order_index, 0.0, 0.0)
        self.needs_refresh.update(tried)
        return self.pick_from_subset()

    def pick_from_subset(self) -> TrackedUpstream | None:
        """Weighted random choice among the first free slots in draw order, up to the size of the subset."""
        weight = self.draw_weights.prefix_weight(self.subset_slots)
        return self.draw_order[self.draw_weights.find(self.random.random() * weight)] if weight > 0.0 else None

    def pick_cold(self, request: Request) -> TrackedUpstream | None:
        """Weighted random choice among the free cold upstreams that this sidecar warms up, past the sidecar's
        window. That window may have shrunk because the warm upstreams are crowded, which would keep cold ones idle;
        their own pacing bounds what they get."""
        tried = [attempt.upstream for attempt in request.attempts]
        cold_weights = self.draw_weights.weights[
            self.draw_weights.leaves:self.draw_weights.leaves + self.cold_first_count]
        free = [(upstream, weight) for upstream, weight in zip(self.draw_order, cold_weights, strict=False)
                if weight > 0.0 and upstream not in tried and self.in_group(request, upstream)]
        return self.random.choices(*zip(*free, strict=True))[0] if free else None

    def pick_in_group(self, request: Request, tried: dict[TrackedUpstream, None]) -> TrackedUpstream | None:
        """Weighted random choice for a request that may only go to upstreams of one group."""
        free, weights, room, leaves = [], [], 0.0, self.draw_weights.leaves
        for index, weight in enumerate(self.draw_weights.weights[leaves:leaves + len(self.draw_order)]):
            upstream = self.draw_order[index]
            if weight > 0.0 and upstream not in tried and self.in_group(request, upstream):
                free.append(upstream)
                weights.append(weight)
                room += self.draw_weights.capacities[leaves + index]
                if room >= self.subset_slots:
                    break
        return self.random.choices(free, weights)[0] if free else None

    def refresh_weights(self) -> None:
        """Refreshes the draw weights of upstreams that changed, and of those that change with time alone."""
        now_us = self.now_us
        if 0 < self.reorder_at_us <= now_us:
            self.reorder()
        due = self.refresh_times
        while due and due[0][0] <= now_us:
            upstream = heapq.heappop(due)[2]
            upstream.queued_refresh_us = 0
            self.needs_refresh[upstream] = None
        self.needs_refresh.update(self.warming_up)
        pending, self.needs_refresh = self.needs_refresh, {}
        for upstream in pending:
            if upstream.order_index >= 0:
                self.refresh_weight(upstream)

    def compute_preference(self, upstream: TrackedUpstream) -> float:
        """The factor on an upstream's draw weight from its fault rate, its zone's, the speed of its kind and its
        distance. Without it, an upstream that fails at once would be idle and draw the most requests."""
        # `preferred_zone` is unset if there are more sidecars than upstreams: an upstream that this sidecar leaves
        # idle is busy for others then, and the zone would be overrun.
        is_idle_and_local = upstream.entry.zone == self.preferred_zone and upstream.used_slots == 0
        kind, zone = self.kind_slowness.get(upstream.entry.kind), self.zone_faults.get(upstream.entry.zone)
        own_fault_rate = min(MAX_COUNTED_FAULT_RATE, upstream.faults.share(self.now_us))
        zone_fault_rate = zone.share(self.now_us) if zone is not None else 0.0
        preference = ((1.0 - own_fault_rate) * (1.0 - zone_fault_rate)) ** 3
        preference *= kind.weight_factor(self.slowness) if kind is not None else 1.0
        return max(MIN_PREFERENCE, preference) * (
            1.0 if is_idle_and_local and max(own_fault_rate, zone_fault_rate) < HEALTHY_FAULT_RATE
            else NON_LOCAL_WEIGHT)

    def refresh_weight(self, upstream: TrackedUpstream) -> None:
        """Computes an upstream's draw weight and schedules when time alone will change it."""
        now_us, window = self.now_us, upstream.window
        slots, weight, room, warmth = window.usable_slots(now_us) - upstream.used_slots, 0.0, 0.0, self.warmth(upstream)
        is_cold = warmth < 1.0
        while is_cold and upstream.sends_while_cold and 0 < upstream.cold_turn_us < now_us - upstream.next_cold_send_us:
            work_us = min(latency.conservative_us() for latency in self.latency)
            upstream.next_cold_send_us += upstream.cold_turn_us + self.cold_send_gap_us(upstream, work_us)
        if slots > 0 and not (is_cold and now_us < upstream.next_cold_send_us):
            upstream.preference = self.compute_preference(upstream)
            weight = min(float(slots), window.slots) * upstream.relative_weight * upstream.preference
            if is_cold and self.in_large_fleet:
                room = 0.0  # not counted towards the subset; its pacing alone bounds it
            else:
                weight, room = weight * warmth, min(1.0, window.slots) * upstream.relative_weight
        self.draw_weights.set(upstream.order_index, weight, room)
        if is_cold and weight > 0.0:
            self.warming_up[upstream] = None
        else:
            self.warming_up.pop(upstream, None)
        refresh_us = window.paused_until_us if window.slots < 1.0 and window.paused_until_us > now_us else 0
        # An upstream that is hardly drawn shows nothing new: its fault rate fades with time, so it is looked at
        # again.
        if upstream.preference < NON_LOCAL_WEIGHT / 2 and not refresh_us:
            refresh_us = now_us + fleet.FAILURE_HALF_LIFE_US // 8
        if is_cold and upstream.next_cold_send_us > now_us:
            cold_refresh_us = min(upstream.next_cold_send_us, max(now_us + 1, self.warm_at_us(upstream)))
            refresh_us = min(refresh_us, cold_refresh_us) if refresh_us else cold_refresh_us
        if refresh_us and not now_us < upstream.queued_refresh_us <= refresh_us:
            upstream.queued_refresh_us = refresh_us
            heapq.heappush(self.refresh_times, (refresh_us, upstream.order_index, upstream))
        opens_us = upstream.opens_us()
        if opens_us != upstream.queued_opens_us:
            upstream.queued_opens_us = opens_us
            while self.opening_times and self.opening_times[0][0] <= now_us:
                heapq.heappop(self.opening_times)
            if opens_us > now_us:
                heapq.heappush(self.opening_times, (opens_us, upstream.order_index, upstream))

    def may_send(self, request: Request) -> bool:
        """Whether the request may be sent now, as far as that doesn't depend on the upstream (rules 1 and 2)."""
        s, sent = self.settings, len(request.attempts)
        if (request.done or request.streaming or self.now_us >= request.event.deadline_us
                or sent >= s.max_attempts):
            return False
        if request.open_attempts > 0 and not s.hedging:
            return False
        # Retries and copies add to the overload that they respond to, so they need a token of the retry budget.
        if self.needs_retry_token(request) and self.retry_tokens < 1.0:
            return False
        until_us = self.resend_until_us(request)
        return until_us == 0 or self.now_us < until_us

    def resend_until_us(self, request: Request) -> int:
        """Rule 2: the time from which on nothing of the request may be sent, as upstreams have forgotten the key by
        then (for at_most_once the time of the first send); 0 = no limit."""
        first, request_class = request.first_that_may_have_run(), self.class_of(request)
        if first is None or request_class.effect == "idempotent":
            return 0
        return first.sent_us + (request_class.dedup_memory_us if request_class.effect == "deduplicated" else 0)

    def needs_retry_token(self, request: Request) -> bool:
        """Whether the next attempt is a retry or copy that takes a token of the retry budget."""
        return bool(request.attempts) and request.attempts[-1].outcome not in UNCHARGED_OUTCOMES

    def is_bound_to_group(self, request: Request) -> bool:
        """Rule 2: whether an attempt with a deduplication key may have run, so that only upstreams of its group may
        get the next one."""
        request_class = self.class_of(request)
        return (request_class.effect == "deduplicated" and request_class.group != "all"
                and request.first_that_may_have_run() is not None)

    def in_group(self, request: Request, upstream: TrackedUpstream) -> bool:
        """Whether the upstream drops repeats of what this request may already have run."""
        first, request_class = request.first_that_may_have_run(), self.class_of(request)
        if first is None or request_class.effect != "deduplicated" or request_class.group == "all":
            return True
        ours, theirs = first.upstream.entry, upstream.entry
        return ours.zone == theirs.zone if request_class.group == "zone" else ours.cell == theirs.cell

    def try_send(self, request: Request) -> bool:
        """The only place of sends: sends the request to an upstream that `draw` returns, if the rules allow it.
        False if it was not sent."""
        upstream = self.draw(request) if self.may_send(request) else None
        if upstream is None:
            return False
        work_us = max(self.latency[request.event.class_index].conservative_us(), request.event.cost_us)
        upstream.next_cold_send_us = self.now_us + self.cold_send_gap_us(upstream, work_us)
        upstream.used_slots += 1
        self.needs_refresh[upstream] = None
        self.retry_tokens -= 1.0 if self.needs_retry_token(request) else 0.0
        self.traffic.record_send(self.now_us)
        self.subset_slots = max(self.min_subset_slots,
                                MIN_SIDECARS_PER_UPSTREAM * len(self.draw_order) * self.traffic.share())
        slow_after_us = max(self.half_aim_us(request.event.class_index), 2 * request.event.cost_us)
        attempt, until_us = Attempt(upstream, self.now_us, slow_after_us), self.resend_until_us(request)
        attempt.paced = self.in_large_fleet and self.warmth(upstream) < 1.0
        if not attempt.paced:
            self.outstanding.change(self.now_us, 1)
        request.attempts.append(attempt)
        request.open_attempts += 1
        timeout_us = request.event.deadline_us - self.now_us
        if not self.settings.hedging and self.class_of(request).effect != "at_most_once":
            timeout_us = min(timeout_us, 3 * slow_after_us)  # a hung upstream would use up all the time
        self.actions.append(api.Send(request.event.request, upstream.entry.id, timeout_us, until_us))
        self.schedule(self.now_us + slow_after_us, "late", request.event.request)
        return True

    def on_late(self, request: Request) -> None:
        """Handles attempts without an answer after the slow time: either a hung upstream or a long request. The
        upstream's slot stays taken for now; the slot of the sidecar's window is freed. Where hedging is allowed, a
        copy is sent and the first attempt goes on. Not in a shortage: there the copies would take slots from
        requests that have none."""
        for attempt in request.attempts:
            upstream, late_us = attempt.upstream, self.now_us - attempt.sent_us
            if late_us < attempt.slow_after_us or attempt.outcome is not None:
                continue
            if attempt.slowness == 0.0:
                if not attempt.paced:
                    self.outstanding.change(self.now_us, -1)
                self.adjust_windows(attempt, attempt.slow_after_us, request.event.class_index)
            # An answer that never comes, on a connection that has gone silent, must not hold the slot of an upstream
            # that answers everything else. If the upstream has answered an attempt that was sent later, it is not
            # hung and the slot is freed. Otherwise the slot is freed to risk one more attempt, after ever longer
            # waits while nothing is answered. This also covers stalled answers and lost packets. It errs where long
            # requests fill up an upstream unnoticed.
            later_answered = upstream.latest_answered_sent_us > attempt.sent_us
            patience_us = HUNG_AFTER_SLOW_TIMES * attempt.slow_after_us
            if attempt.holds_slot and late_us >= patience_us << (
                    0 if later_answered else min(upstream.patience_doublings, 20)):
                if not later_answered:
                    upstream.patience_doublings += 1
                    self.adjust_windows(attempt, late_us, request.event.class_index)
                attempt.holds_slot = False
                upstream.used_slots -= 1
                self.needs_refresh[upstream] = None
            elif attempt.holds_slot:
                self.schedule(attempt.sent_us + max(patience_us, 2 * late_us), "late", request.event.request)
        # No copies where all answers are slow: copies add to that. In a large fleet the limit is lower, as the
        # copies of many sidecars come together.
        max_slowness = HARMLESS_SLOWNESS if self.in_large_fleet else TARGET_SLOWNESS
        may_hedge = self.buffer is None and not self.slowness.exceeds(max_slowness)
        if request.open_attempts == 1 and may_hedge and self.settings.hedging:
            self.try_send(request)

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        """Handles the end of an attempt; retries the request if it still has no answer. The end of an unknown or
        already ended attempt is ignored."""
        request = self.requests.get(event.request)
        if (request is None or event.attempt >= len(request.attempts)
                or request.attempts[event.attempt].outcome is not None):
            return
        attempt = request.attempts[event.attempt]
        attempt.outcome = event.outcome
        request.open_attempts -= 1
        if self.utilization_index is not None and len(event.report) > self.utilization_index:
            attempt.upstream.utilization = event.report[self.utilization_index]
        if event.outcome is api.Outcome.OK:
            attempt.upstream.patience_doublings = 1
            attempt.upstream.latest_answered_sent_us = max(attempt.upstream.latest_answered_sent_us, attempt.sent_us)
        if attempt.slowness == 0.0 and not attempt.paced:
            self.outstanding.change(self.now_us, -1)
        # otherwise already counted when its slot was freed: its end tells nothing about current attempts
        if attempt.holds_slot:
            attempt.upstream.used_slots -= 1
            self.adjust_windows(attempt, event.elapsed_us, request.event.class_index)
        if attempt.holds_slot and event.outcome in (api.Outcome.OK, api.Outcome.TIMEOUT):
            # Time-outs count too, otherwise a slow fleet would be judged by its few quick answers alone.
            latency = self.latency[request.event.class_index]
            latency.add(event.elapsed_us)
            latency.last_observed_us = self.now_us
        if event.request_ended or request.done:
            self.close(request)
        elif request.open_attempts == 0:
            # Without a retry, every request that an upstream fails would be lost.
            self.dispatch(request)

    def on_list(self, event: api.UpstreamsUpdated) -> None:
        """Applies an upstream list or a part of one, or schedules the next call after a failed one."""
        if event.kind is api.ListKind.FAILED:
            # Exponential backoff, jittered because all sidecars fail together, and below the longest time allowed
            # between two calls (rule 3).
            first_us = max(FIRST_LIST_RETRY_US, self.list_call_spread_us())
            backoff_us = min(first_us << min(self.list_failures, 20), self.max_list_call_gap_us())
            # A watch that fell silent may have missed changes, which soon count as known here: the list is needed
            # early. But the watches of a large fleet fall silent together, so the first call is spread from zero on.
            min_jitter = 0.0 if self.next_list_call_us == 0 and self.in_large_fleet else 0.5
            self.list_failures += 1
            self.schedule_list_call(self.now_us + int(backoff_us * (min_jitter + self.random.random() / 2)))
            return
        if event.kind is not api.ListKind.CACHED:
            self.list_failures = self.next_list_call_us = 0
        old, new = self.upstreams, list[TrackedUpstream]()
        # Gone upstreams are dropped, otherwise they would pile up with each rolling deployment. Outstanding attempts
        # still refer to theirs.
        self.upstreams = dict(old) if event.kind is api.ListKind.DELTA else {}
        for entry in event.upstreams:
            upstream = old.get(entry.id)
            if entry.state is api.UpstreamState.GONE:
                self.upstreams.pop(entry.id, None)
                continue
            if upstream is None or upstream.entry.started_us != entry.started_us:
                # the zone's past tells little about a process that has just started
                if entry.zone in self.zone_faults:
                    self.zone_faults[entry.zone].value /= 2
                upstream = TrackedUpstream(entry)  # a new process: nothing is kept of the former one
                new.append(upstream)
            upstream.entry = entry
            self.upstreams[entry.id] = upstream
        self.has_discovery_list = self.has_discovery_list or event.kind is not api.ListKind.CACHED
        self.reorder()
        for upstream in new:
            # All sidecars hear of a start at nearly the same time: their first sends are spread, so that they do not
            # come as one burst.
            if upstream.sends_while_cold:
                work_us, s = min(latency.conservative_us() for latency in self.latency), self.settings
                share = fleet.turn_position(upstream.entry.id, s.self_index, s.instances, self.random.random())
                upstream.next_cold_send_us = self.now_us + self.cold_send_gap_us(upstream, work_us, share)
        self.apply_lessons()

    def reorder(self) -> None:
        """Subsetting: orders the ready upstreams by id, rotated to this sidecar's starting point, so that every
        upstream is near the front for as many sidecars. In a large fleet, the cold upstreams that this sidecar warms
        up come first. Draining and gone ones are left out (rule 3)."""
        count = self.settings.instances
        ready = [self.upstreams[i] for i in sorted(self.upstreams)
                 if self.upstreams[i].entry.state is api.UpstreamState.READY]
        mean = sum(upstream.entry.weight for upstream in ready) / max(1, len(ready))
        for upstream in ready:
            upstream.relative_weight = max(MIN_RELATIVE_WEIGHT, upstream.entry.weight / mean) if mean > 0.0 else 1.0
        self.min_window_slots = min(1.0, len(ready) / count)
        if ready and not self.draw_order:
            self.window.slots = self.initial_slots(len(ready))
        former_capacity, self.ready_capacity = self.ready_capacity, sum(
            upstream.relative_weight * self.warmth(upstream) for upstream in ready)
        if self.in_large_fleet and self.ready_capacity < former_capacity:
            # After a loss of capacity the window shrinks at once: slow answers would show the loss only after the
            # queues have formed, with everything that all sidecars went on sending in them.
            kept_slots = min(self.window.slots, self.needed_slots()) * self.ready_capacity / former_capacity
            # also if no upstream is left
            self.window.slots = max(MIN_WINDOW_SLOTS, self.min_window_slots, kept_slots)
        start = len(ready) * (self.settings.self_index % count) // count
        for upstream in self.draw_order:
            upstream.order_index = -1
        cold_first: dict[TrackedUpstream, None] = {}
        if self.in_large_fleet:
            for upstream in ready:
                upstream.sends_while_cold = fleet.is_warming_sidecar(upstream.entry.id, self.settings.self_index, count)
                if not upstream.sends_while_cold and self.warmth(upstream) < 1.0:
                    upstream.next_cold_send_us = self.warm_at_us(upstream)
            cold_first = dict.fromkeys(s for s in ready if s.sends_while_cold and self.warmth(s) < 1.0)
        self.cold_first_count = len(cold_first)
        self.reorder_at_us = min((self.warm_at_us(upstream) + 3 for upstream in cold_first), default=0)
        self.draw_order = [*cold_first, *(upstream for upstream in ready[start:] + ready[:start]
                                          if upstream not in cold_first)]
        self.draw_weights, self.refresh_times, self.opening_times, self.warming_up = SumTree(len(ready)), [], [], {}
        self.needs_refresh = dict.fromkeys(self.draw_order)
        for index, upstream in enumerate(self.draw_order):
            upstream.order_index, upstream.queued_refresh_us, upstream.queued_opens_us = index, 0, 0
        self.preferred_zone = self.settings.zone if self.settings.cross_zone_fee > 0.0 and len(ready) >= count else -1
        self.subset_slots = self.min_subset_slots = max(MIN_SUBSET_SLOTS, 2.0 * MIN_SUBSET_SLOTS * len(ready) / count)

    def initial_slots(self, ready: int) -> float:
        """The sidecar's window before anything is learned."""
        return max(MIN_WINDOW_SLOTS, INITIAL_SLOTS_PER_UPSTREAM * ready / self.settings.instances)

    def on_settings(self, settings: api.Settings) -> None:
        """Applies new settings between two events. What has been learned and outstanding attempts are kept."""
        old, self.settings = self.settings, settings
        self.latency += [Latency(c.aim_us) for c in settings.classes[len(self.latency):]]
        new_indexes = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        moved_to = [new_indexes.get(tenant.name, len(new_indexes)) for tenant in old.tenants]
        old_arrivals, new_arrivals = self.tenant_arrivals, [0.0 for _ in settings.tenants]
        for index, new_index in enumerate(moved_to):
            if new_index < len(new_indexes):
                new_arrivals[new_index] = old_arrivals[index]
        self.tenant_arrivals = new_arrivals
        for request in self.requests.values():  # a waiting request must keep its tenant
            tenant = request.event.tenant
            request.event.tenant = moved_to[tenant] if tenant < len(moved_to) else len(new_indexes)
        self.traffic.configure(sum(t.allowance_per_s for t in settings.tenants), settings.instances)
        self.reorder()

    def recall(self, now_us: int, lessons: api.LearnedState) -> None:
        """Adopts what was learned in an earlier run or by other sidecars, where nothing has been observed here yet.
        Its times are on this sidecar's clock. It may be outdated or wrong: confidence.py says how far it counts, and an
        upstream is tested by one attempt before it is used for more than a preference."""
        self.now_us = max(self.now_us, now_us)
        if sum(self.tenant_arrivals) < confidence.TENANT_WEIGHT:
            told_shares, age_us = dict(lessons.tenants), self.now_us - lessons.confirmed_us
            share = confidence.TENANT_WEIGHT * confidence.decay(age_us, confidence.LATENCY_HALF_LIFE_US)
            self.tenant_arrivals = [seen + share * min(1.0, told_shares.get(tenant.name, 0.0))
                                    for tenant, seen in zip(self.settings.tenants, self.tenant_arrivals, strict=True)]
        self.lessons.append(lessons)
        self.apply_lessons()

    def apply_lessons(self) -> None:
        """Applies the lessons that `recall` was given, once a list has named the upstreams. After a list from
        discovery, the rest is dropped."""
        count = len(self.draw_order)
        for lessons in sorted(self.lessons, key=lambda told: told.confirmed_us) if count else []:
            known = {lesson.id: lesson for lesson in lessons.upstreams}
            accepted = {}
            for upstream in self.draw_order:
                found = known.get(upstream.entry.id)
                if (found is not None and found.started_us == upstream.entry.started_us
                        and found.confirmed_us > upstream.last_observed_us
                        and (upstream.lesson is not None or upstream.last_observed_us == 0)):
                    faded = confidence.decayed_lesson(found, self.now_us)
                    if faded is not None:
                        # the distance holds only for the zone in which it was measured
                        if lessons.zone != self.settings.zone:
                            found = replace(found, min_latency_us=0)
                        accepted[upstream] = found, faded
            still_running = sum(ident in known and known[ident].started_us == upstream.entry.started_us
                                for ident, upstream in self.upstreams.items())
            if self.has_discovery_list and 2 * still_running >= len(lessons.upstreams):
                self.recall_fleet_values(lessons, count)
            distrusted = sum(confidence.is_closed(accepted[upstream][1] if upstream in accepted else upstream.lesson)
                             for upstream in self.draw_order)
            for upstream, (lesson, faded) in accepted.items():
                if 2 * distrusted <= count or not confidence.is_closed(faded):
                    self.apply_upstream_lesson(upstream, lesson, faded)
        if self.has_discovery_list:
            self.lessons = []

    def recall_fleet_values(self, lessons: api.LearnedState, count: int) -> None:
        """Adopts the class latencies and the sidecar's window. The caller checks that the fleet is still mostly the
        same: for a replaced one they are wrong."""
        for request_class, latency in zip(self.settings.classes, self.latency, strict=True):
            told = next((lesson for lesson in lessons.classes if lesson.name == request_class.name), None)
            if told is not None and latency.last_observed_us < told.confirmed_us and (
                    not latency.has_samples or latency.recall_doubt == 1 / 2):
                share = confidence.decay(self.now_us - told.confirmed_us, confidence.LATENCY_HALF_LIFE_US)
                if share > 0.0:
                    latency.recall(told, share)
        if self.last_observed_us == 0 and lessons.slots > 0.0:
            # From the usual window to twice that: a smaller one would be a self-fulfilling prophecy, a larger one
            # would allow a burst.
            share = confidence.decay(self.now_us - lessons.confirmed_us, confidence.SIDECAR_HALF_LIFE_US)
            usual = self.initial_slots(count)
            self.window.slots = confidence.blend(usual, min(max(lessons.slots, usual), 2 * usual), share)

    def apply_upstream_lesson(self, upstream: TrackedUpstream, unfaded: api.LearnedUpstream,
                              faded: api.LearnedUpstream) -> None:
        """Adopts what was learned of an upstream, until an attempt of this sidecar tests it. Until then it gets no
        more than the one slot of a new upstream, and its window is not closed so far that hardly any attempt would
        test it: it is drawn rarely, but before a request is refused. `unfaded` is the lesson as it was told, `faded`
        what is left of it at its age."""
        # passed on unfaded, so that it fades only once
        upstream.lesson, upstream.last_observed_us = unfaded, unfaded.confirmed_us
        self.needs_refresh[upstream] = None
        upstream.window.slots = min(1.0, max(confidence.MIN_SLOTS, faded.slots))
        upstream.failing, upstream.patience_doublings = (
            faded.failing,
            min(faded.timeout_doublings, confidence.MAX_MUTE),
        )
        # what this sidecar sent before its restart still occupies the upstream
        if faded.first_hand:
            gap_us = self.cold_send_gap_us(upstream, min(latency.conservative_us() for latency in self.latency))
            upstream.next_cold_send_us = max(
                upstream.next_cold_send_us, min(faded.next_cold_us, self.now_us + gap_us)
            )

    def confirm_lesson(self, upstream: TrackedUpstream, outcome: api.Outcome | None, elapsed_us: int) -> None:
        """Handles the first attempt of this sidecar at an upstream that it has a lesson of. A success opens its
        window: to at least one slot, and as far as the lesson says. Any other outcome counts as confirming the
        lesson."""
        told, upstream.lesson = upstream.lesson, None
        lesson = confidence.decayed_lesson(told, self.now_us) if told is not None else None
        if outcome is api.Outcome.OK and lesson is None:
            upstream.window.slots = max(1.0, upstream.window.slots)
        elif outcome is api.Outcome.OK and lesson is not None:
            max_slots = max(1.0, MAX_MULTIPLE_OF_EVEN_SHARE * self.window.slots / max(1, len(self.draw_order)))
            upstream.window.slots = 1.0 if self.warmth(upstream) < 1.0 else min(max(1.0, lesson.slots), max_slots)
            # Not below a quarter of this answer: too small a value would keep a distant upstream at one slot for
            # good.
            upstream.min_latency_us = max(lesson.min_latency_us, elapsed_us // 4) if lesson.min_latency_us else 0

    def schedule_list_call(self, at_us: int) -> None:
        """Schedules a call for the list, if lists are asked for or watched at all."""
        if self.settings.list_on_request or self.settings.list_by_watch:
            self.next_list_call_us = at_us
            self.schedule(at_us, "list", 0)

    def schedule(self, at_us: int, purpose: str, request_id: int) -> None:
        """Schedules a wakeup, at the next microsecond if the time has passed."""
        heapq.heappush(self.wakeups, (max(at_us, self.now_us + 1), purpose, request_id))

    def arm_timer(self) -> None:
        """Asks for a timer at the next wakeup or, while a request waits, when a slot opens; unless an earlier one is
        pending."""
        at_us = self.wakeups[0][0] if self.wakeups else 0
        if self.buffer is not None:  # a paused slot opens with time, not with an event
            candidates_us = [self.outstanding.below_at_us(self.window.slots) if self.in_large_fleet
                             else self.window.paused_until_us]
            self.refresh_weights()
            while self.opening_times and not (
                    self.opening_times[0][0] > self.now_us and self.opening_times[0][2].order_index >= 0
                    and self.opening_times[0][0] == self.opening_times[0][2].opens_us()):
                heapq.heappop(self.opening_times)  # past, or replaced by another time
            candidates_us += [self.opening_times[0][0]] if self.opening_times else []
            later_us = [opens_us for opens_us in candidates_us if opens_us > self.now_us]
            at_us = min([at_us, *later_us] if at_us else later_us, default=0)
        if at_us and (self.armed_timer_us == 0 or at_us < self.armed_timer_us):
            self.armed_timer_us = at_us
            self.actions.append(api.SetTimer(self.armed_timer_us, 0))

    def run_due_wakeups(self) -> None:
        """Carries out the wakeups whose time has come."""
        while self.wakeups and self.wakeups[0][0] <= self.now_us:
            _, purpose, request_id = heapq.heappop(self.wakeups)
            if purpose == "list" and 0 < self.next_list_call_us <= self.now_us:
                # Asks again if no answer comes: a lost call must not leave the sidecar without a list (rule 3).
                self.actions.append(api.Subscribe(True))
                self.schedule_list_call(self.now_us + self.max_list_call_gap_us())
            elif purpose == "late" and request_id in self.requests:
                self.on_late(self.requests[request_id])
            elif purpose == "buffer" and self.buffer is not None and self.buffer.event.request == request_id:
                self.refuse_or_fail(self.buffer, "waited")
