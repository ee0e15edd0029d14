"""All decisions of the balancer. Its interface, types, events and actions: ironscale/interface.py.

Everything is slots (README.md): a request takes a free slot of a random upstream, waits in the
ONE buffer when none is free, is refused when the buffer is taken, and is reissued through a slot.
"""

import heapq
import math
import random
from dataclasses import replace

from ironscale import confidence
from ironscale import fleet_estimates as fleet
from ironscale import interface as api
from ironscale.sum_tree import SumTree

RETRY_SHARE = 0.2  # the retry budget: reissues and copies for each request that arrives
RETRIES_KEPT = 5.0  # and so many saved up at most
IDLE = 0.8  # reported utilization under which requests hardly queue
SLOTS_EACH = 8.0  # first slots at an upstream from all sidecars together
SMALLEST_SIZE = 0.1  # of the mean: a listed weight near 0 must not cut an upstream off
KEPT_IN_HAND = 2.0  # slow answers leave an upstream about so many requests from all sidecars together
STACKED = 3.0  # times its even share of what is out, that an upstream may get: idle ones come first
MANY = 20  # sidecars, from which on one's own answers are too few to judge all by
KEPT_BY_MANY = 4.0  # in place of KEPT_IN_HAND, by each one's part of the traffic
SPREAD = 4.0  # of an upstream's load, what comes from this sidecar is a part in so many at most
MOST_FAULTS = 0.75  # that count: (1 - this) ** 3 is SMALLEST_WINDOW
WELL = 0.3  # share of faults, under which nearness counts
LEAST_FAVOUR = 1e-4  # hazard: a weight of 0 would mean no try at all, and a refusal in its place
FAR = 1e-3  # weight of what is not idle and in this zone, where crossing zones costs
SUBSET = 3.0  # free slots that a draw chooses among, in upstreams of mean size
COST_NOTHING = (api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)  # of any upstream's work
NEVER_RAN = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)
INSTANT_FAULTS = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.ERROR, api.Outcome.RESET)
SHOWS_NOTHING = (api.Outcome.CANCELLED, api.Outcome.NOT_SENT)  # of the upstream
SMALLEST_WINDOW = 1 / 64  # a failing upstream is tried about once in 64 usual answer times
GROWTH = 0.4  # of its slots, by which a round of answers moves an upstream's window
FULL_LOAD = 0.7  # of the slow time, where an upstream's slots settle: more chokes it, less refuses early
FULL_QUEUE = 2.0  # times the least usual answer, where the sidecar's slots settle: as much queue as service
MUTE = 3  # times the slow time, after which an attempt without an answer first gives its slot to another
NEAR, MOST_WAY = 0.2, 0.5  # of the slow time: an upstream's least answer past NEAR is the way there
LEAST_LOAD = 0.3  # of the slow time; under it a queue does no harm yet
TENANT_MEMORY = 200  # arrivals: enough to tell a tenant at twice its share from chance, soon forgotten
LOG_GAP_US = 1_000_000  # a line a second at most, however many upstreams change
FIRST_RETRY_US = 250_000  # discovery back-off starts here: long beside one call, short beside a drain
CALL_US = 150_000  # of discovery's time, for the list of one of many sidecars; they share it


class Window:
    """Slots for outstanding sends; below one, the one slot rests between sends."""

    def __init__(self, name: str, slots: float) -> None:
        self.name, self.slots = name, slots
        self.rest_until_us = 0
        self.resting = False  # as last logged

    def open(self, now_us: int) -> int:
        return int(self.slots) if self.slots >= 1.0 else int(now_us >= self.rest_until_us)

    def move(self, step: float, least: float, most: float) -> None:
        """A round of answers moves the slots by the share `step`."""
        slots = self.slots + step * min(1.0, self.slots)
        most, least = max(most, self.slots), max(SMALLEST_WINDOW, min(least, self.slots))
        self.slots = min(max(slots, least), most)

    def rest(self, now_us: int, busy_us: float) -> None:
        self.rest_until_us = now_us + int(busy_us * max(0.0, 1.0 / self.slots - 1.0))


class Server:
    """What this sidecar knows of one upstream."""

    def __init__(self, entry: api.Upstream) -> None:
        self.entry = entry
        self.size = 1.0  # listed weight, in upstreams of mean weight
        self.used = 0  # slots taken by this sidecar's sends
        self.window = Window(f"upstream {entry.id}", 1.0)  # one slot, as in the paper
        self.busy = 1.0  # as it last reported; not known counts as busy
        self.faults = fleet.FailureShare()
        self.favour = 1.0  # as last looked at
        self.failing = False  # its last answer was a fault
        self.least_us = 0  # the quickest of its answers: how far it is; 0 = none yet
        self.answered_us = 0  # when what it answered was sent, the latest of it
        self.mute = 1  # so often the patience with its late answers doubles: more while it answers nothing
        self.warms = True  # while it is cold, this sidecar sends there too
        self.next_cold_us = 0  # while it is cold, no send before this
        self.turn_us = 0  # and for so long from then on, until its next turn; 0 = until it is used
        self.confirmed_us = 0  # when an attempt last showed something of it
        self.lesson: api.UpstreamLesson | None = None  # recalled, and not yet tested by an attempt of ours
        self.place = -1  # in the sidecar's order; -1 = it is drawn no more
        self.look_us = self.shut_us = 0  # times in `opening` and `shut`, at which its slot may open by itself

    def opens_us(self) -> int:
        return max(self.next_cold_us, self.window.rest_until_us)


class Attempt:
    def __init__(self, server: Server, now_us: int, slow_us: int) -> None:
        self.server, self.sent_us, self.slow_us = server, now_us, slow_us
        self.slowness = 0.0  # as judged so far; 0 = it is not late yet
        self.holds = True  # its upstream's slot
        self.paced = False  # to a cold upstream: beside this sidecar's window
        self.ended: api.Outcome | None = None  # None while it is out


class Request:
    def __init__(self, event: api.RequestArrived) -> None:
        self.event = event
        self.attempts: list[Attempt] = []
        self.out = 0  # of its attempts, those that have not ended
        self.done = self.streaming = False

    def first_that_may_have_run(self) -> Attempt | None:
        return next((attempt for attempt in self.attempts if attempt.ended not in NEVER_RAN), None)


class Latency:
    """Smoothed time of a class's answers, and the least it has been."""

    def __init__(self, first_us: int) -> None:
        self.first_us = self.mean_us = self.base_us = first_us / 2  # until something is seen: half the aim
        self.seen, self.confirmed_us, self.doubt = False, 0, 0.0  # doubt: of the recalled, beside an answer

    def add(self, sample_us: float) -> None:
        sample_us = max(1.0, sample_us)  # a clock that ticks slowly may say 0
        if not self.seen:
            self.seen, self.mean_us, self.base_us = True, sample_us, sample_us
        self.mean_us += (sample_us - self.mean_us) * max(1 / 8, self.doubt)  # as TCP keeps its (RFC 6298)
        base_us = self.base_us + (self.mean_us - self.base_us) * max(1 / 256, self.doubt)
        self.base_us = min(self.mean_us, base_us)
        self.doubt = self.doubt / 2 if self.doubt > 1 / 8 else 0.0

    def careful_us(self) -> float:
        """For the pacing of cold upstreams. Hazard: a mean by hearsay, too short, would push them over."""
        return max(self.mean_us, self.first_us) if self.doubt else self.mean_us

    def recall(self, lesson: api.ClassLesson, share: float) -> None:
        # hazard: longer than without it, cold upstreams would warm up more slowly and requests be late sooner
        self.mean_us = confidence.blend(self.first_us, min(lesson.mean_us, self.first_us), share)
        self.base_us = min(self.mean_us, max(lesson.base_us, self.mean_us / 4))
        self.seen, self.doubt, self.confirmed_us = True, 1 / 2, lesson.confirmed_us


class Balancer:
    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        self.settings, self.random, self.now_us = settings, random.Random(seed), now_us
        self.actions: list[api.Action] = []
        self.servers: dict[int, Server] = {}  # listed and not gone
        self.requests: dict[int, Request] = {}
        self.buffer: Request | None = None
        self.latency = [Latency(c.aim_us) for c in settings.classes]
        self.window = Window("this sidecar", 1.0)  # for all sends of this sidecar together
        self.least = 1.0  # hazard: after an outage all would rest for long
        self.load = fleet.OutstandingAverage(now_us)  # those that count for it
        self.order: list[Server] = []  # ready upstreams, from this sidecar's own starting point on
        self.early = 0  # the first of them, which are cold and which one of many warms
        self.able = 0.0  # what they can do, in warm ones of mean size
        self.rank_us = 0  # when one that is cold will be warm, and goes by its usual place; 0 = none will
        self.places = SumTree(0)  # those of `order` that are free, as far as they have been looked at
        self.changed: dict[Server, None] = {}  # to be looked at before the next draw
        self.warming: dict[Server, None] = {}  # cold and free: their weight changes by itself
        self.opening: list[tuple[int, int, Server]] = []  # when to look again, by time; a heap
        self.shut: list[tuple[int, int, Server]] = []  # until when a slot is shut by time alone; a heap
        self.traffic = fleet.TrafficShare(
            sum(t.allowance_per_s for t in settings.tenants), settings.instances, now_us)
        self.slowness = fleet.LatencyAverage()  # of all answers
        self.kinds: dict[int, fleet.LatencyAverage] = {}
        self.zones: dict[int, fleet.FailureShare] = {}
        self.home = -1  # a zone, if what is not idle there counts less
        self.subset = self.least_subset = SUBSET
        self.retry_tokens = RETRIES_KEPT
        self.busy_at = next((i for i, n in enumerate(settings.report_names) if n == "utilization"), None)
        self.tenant_seen = [0.0 for _ in settings.tenants]
        self.next_log_us = now_us
        self.wakeups: list[tuple[int, str, int]] = []  # (when, what, request); a heap
        self.armed_us = 0  # the next timer already asked for; 0 = none
        self.list_failures = self.ask_list_us = 0  # when the list is asked for next; 0 = it is subscribed to
        self.draining = False
        self.confirmed_us = 0  # when an attempt last showed something
        self.lessons: list[api.Lessons] = []  # recalled; they wait for the list
        self.has_list = False  # from discovery, not one as last known
        # hazard: all of many start together, and discovery goes on working at calls that have waited too long
        turn_us = self.list_turn_us()
        self.ask_list_at(now_us + (self.random.randrange(turn_us) if turn_us else 0))

    @property
    def is_one_of_many(self) -> bool:
        """One of so many that what it alone sees and sends tells little. Hazard: by the upstreams too, a
        release, in which a few of them are away, would turn the meaning of all windows over."""
        return self.settings.instances >= MANY

    def list_turn_us(self) -> int:
        """Discovery has a turn for each of many in so long; at most half of the time it may go unasked."""
        s = self.settings
        is_shared = self.is_one_of_many and s.list_on_request
        return min(CALL_US * s.instances, s.ask_within_us // 2) if is_shared else 0

    def list_gap_us(self) -> int:
        """At most so long between two calls for a list. What an agent has been pushed counts as told here, so
        it is asked again soon."""
        return max(FIRST_RETRY_US, self.settings.ask_within_us // 2 if self.settings.list_on_request else 0)

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        self.now_us = now_us
        if isinstance(event, api.AttemptEnded):
            self.on_attempt_ended(event)
        elif isinstance(event, api.RequestArrived):
            self.on_arrival(event)
        elif isinstance(event, api.TimerFired):
            if self.armed_us <= now_us:  # hazard: a stale timer that armed another would never die out
                self.armed_us = 0
            self.run_due()
        elif isinstance(event, api.RequestGone) and event.request in self.requests:
            self.close(self.requests[event.request])
        elif isinstance(event, api.StreamStarted) and event.request in self.requests:
            self.requests[event.request].streaming = True
        elif isinstance(event, api.UpstreamsUpdated):
            self.on_list(event)
        elif isinstance(event, api.DrainChanged):
            self.draining = event.draining
            for request in [*self.requests.values()] if event.ends else ():
                if not request.done:
                    self.finish(request, "draining")
        elif isinstance(event, api.SettingsChanged):
            self.on_settings(event.settings)
        if self.buffer is not None and self.try_send(self.buffer):
            self.buffer = None
        self.arm()
        actions, self.actions = self.actions, []
        return actions

    def on_arrival(self, event: api.RequestArrived) -> None:
        if event.request in self.requests:
            return
        if event.class_index >= len(self.settings.classes):  # one that the settings don't have
            self.actions.append(api.Refuse(event.request, reason="unknown class"))
            return
        request = Request(event)
        self.requests[event.request] = request
        if self.draining:
            self.finish(request, "draining")
            return
        if event.tenant < len(self.tenant_weights):
            # in place of all that fades a little, what is new weighs a little more
            self.arrival_weight /= 1.0 - 1.0 / TENANT_MEMORY
            self.tenant_weights[event.tenant] += self.arrival_weight
            self.tenant_weight += self.arrival_weight
            if self.arrival_weight > 1e12:
                self.tenant_seen = self.tenant_seen
        self.retry_tokens = min(RETRIES_KEPT, self.retry_tokens + RETRY_SHARE)
        self.place(request)

    @property
    def tenant_seen(self) -> list[float]:
        """Arrivals of each tenant, the old ones fading."""
        return [weight / self.arrival_weight for weight in self.tenant_weights]

    @tenant_seen.setter
    def tenant_seen(self, seen: list[float]) -> None:
        self.tenant_weights, self.tenant_weight, self.arrival_weight = seen, sum(seen), 1.0

    def log(self, window: Window) -> None:
        resting = window.slots < (1.0 if window.resting else 0.25)
        if resting != window.resting and self.now_us >= self.next_log_us:  # else told later, if it lasts
            self.next_log_us = self.now_us + LOG_GAP_US
            window.resting = resting
            self.actions.append(api.Log(f"{window.name} {'rests' if resting else 'is back'}"))

    def place(self, request: Request) -> None:
        """Through a free slot, else into the buffer, else refused."""
        holder = self.buffer
        in_time = self.now_us < self.latest_start_us(request)
        if in_time and self.try_send(request):
            return
        wanted = holder is None or self.value(request) > self.value(holder)
        if in_time and wanted and self.may_send(request):
            # hazard: in a shortage the bulk of cheap requests would keep the dear ones out of every slot
            self.buffer = request
            if holder is not None:
                self.finish(holder, "displaced")
            until_us = self.now_us + self.half_aim_us(request.event.class_index)
            self.wake(min(until_us, self.latest_start_us(request)), "buffer", request.event.request)
        else:
            spent = request.attempts and not self.may_send(request)
            self.finish(request, "too late" if not in_time else "tries spent" if spent else "full")

    def value(self, request: Request) -> float:
        """The worth of a slot's time given to this request; what is beyond its tenant's share counts less.
        The share is judged among the tenants seen here: of total rates a sidecar knows nothing."""
        s, worth = self.settings, self.class_of(request).worth
        if not s.worth_by_work:
            worth /= self.latency[request.event.class_index].mean_us
        if request.event.tenant < len(s.tenants):
            allowed = s.tenants[request.event.tenant].allowance_per_s / max(1.0, self.traffic.allowed_per_s)
            seen = self.tenant_weights[request.event.tenant] / self.tenant_weight
            worth *= s.over_share_worth + (1.0 - s.over_share_worth) * min(1.0, allowed / seen)
        return worth

    def class_of(self, request: Request) -> api.RequestClass:
        return self.settings.classes[request.event.class_index]

    def half_aim_us(self, class_index: int) -> int:
        """The delay threshold, and the time of a slow answer: the other half is left for a new try."""
        return self.settings.classes[class_index].aim_us // 2

    def latest_start_us(self, request: Request) -> int:
        """An attempt that starts later is not expected back by the due time. Hazard: after an outage that
        every answer outlasted, nothing would be tried again; so at most half the aim is left for it."""
        answer_us = int(self.latency[request.event.class_index].mean_us)
        return request.event.due_us - min(answer_us, self.half_aim_us(request.event.class_index))

    def finish(self, request: Request, reason: str) -> None:
        """Rule 1 and 2, the one place of final answers: one each; refused only if nothing may have run."""
        ident, kind = request.event.request, self.class_of(request)
        harmless = (kind.effect == "idempotent" or request.first_that_may_have_run() is None
                    or (kind.effect == "deduplicated" and kind.group == "all"))
        self.close(request)
        self.actions.append(api.Refuse(ident, self.retry_after_us(request), reason) if harmless
                            else api.Fail(ident))

    def close(self, request: Request) -> None:
        request.done = True
        if self.buffer is request:
            self.buffer = None
        if request.out == 0:
            self.requests.pop(request.event.request, None)

    def retry_after_us(self, request: Request) -> int:
        """About when a slot frees: one answer's time, spread lest refused clients return together."""
        after_us = self.latency[request.event.class_index].mean_us * (0.5 + self.random.random())
        return min(int(after_us), self.settings.max_retry_after_us) if self.settings.retry_after else 0

    def judge(self, attempt: Attempt, elapsed_us: int, class_index: int) -> None:
        """How an attempt's end, or its being late, opens or closes slots: at its upstream, and of this
        sidecar's window, which sees more answers. Both go by the time it took in slow times."""
        server, outcome, latency = attempt.server, attempt.ended, self.latency[class_index]
        self.changed[server] = None
        if outcome not in SHOWS_NOTHING:
            server.confirmed_us = self.confirmed_us = self.now_us
            if server.lesson is not None:
                self.test(server, outcome, elapsed_us)
        if outcome is not None and outcome not in SHOWS_NOTHING:
            is_fault = outcome is not api.Outcome.OK
            # hazard: each of a lost zone's upstreams would be found out anew, at the price of a request each
            if self.zones.setdefault(server.entry.zone, fleet.FailureShare()).record(
                    self.now_us, is_fault, 1 / 8):
                alike = (other for other in self.order if other.entry.zone == server.entry.zone)
                self.changed.update(dict.fromkeys(alike))
            # hazard: met every few seconds, an upstream that fails at random would never be found out
            server.faults.record(self.now_us, is_fault, 1 / 2 if is_fault else 1 / 4)
        if outcome in INSTANT_FAULTS:
            # hazard: what fails at once would draw ever more; but one in ten must not close them all, nor
            # those that turn away though they have room the sidecar: how full others are, their slots tell
            lone, server.failing = not server.failing, True
            server.window.move(-0.1 if lone else -0.5, 0.0, 1.0)
        elif outcome in (None, api.Outcome.OK, api.Outcome.TIMEOUT):
            # hazard: queues that outlast the aim serve nobody in time, however busy everyone is
            if outcome is api.Outcome.OK:
                server.failing, server.least_us = False, min(server.least_us or elapsed_us, elapsed_us)
            # hazard: a far upstream's usual answers would be taken for its queue and keep it at one slot.
            # Guards also against a slow network here; harms where even its quickest answer had queued, and
            # so no more than MOST_WAY is taken off
            way = min(MOST_WAY, max(0.0, server.least_us / attempt.slow_us - NEAR))
            slowness = min(2.0, max(0.01, elapsed_us / attempt.slow_us - way))
            step = (attempt.slowness or FULL_LOAD) - slowness
            # hazard: slots opened without need, by many sidecars above all, choke bursts (cf. RFC 7661)
            most = max(1.0, STACKED * (self.load.out + 1) / max(1, len(self.order)))
            server.window.move(GROWTH * step, self.least_each(), most)
            full = min(1.0, max(LEAST_LOAD, FULL_QUEUE * latency.base_us / attempt.slow_us))
            if self.is_one_of_many:  # hazard: the least of so few answers' mean is far under what is usual
                full = 1.0
            step = (attempt.slowness or full) - slowness
            if server.busy < IDLE:  # hazard: a long request is slow by itself
                step = max(step, full)
            # hazard: long requests alone would close a window that is not half used, and a burst find it shut
            need = self.need()
            if self.is_one_of_many and step < 0.0 and not attempt.paced:
                self.window.slots = min(self.window.slots, max(self.least, need))
            if not attempt.paced and (step > 0.0 or self.window.slots <= need):
                self.window.move(GROWTH / 2 * step, self.least, need)
            attempt.slowness = slowness
            for shared in (self.slowness, self.kinds.setdefault(server.entry.kind, fleet.LatencyAverage())):
                shared.add(slowness)
        # hazard: beside answers of seconds, short rests leave a choked upstream crowded
        busy_us = min(max(elapsed_us, latency.mean_us), attempt.slow_us)
        for window in (server.window, self.window):
            window.rest(self.now_us, busy_us * (0.5 + self.random.random()))
            self.log(window)

    def need(self) -> float:
        """Slots of this sidecar that may be of use: twice those in use, and some."""
        if self.is_one_of_many:
            return 1.0 + 2.0 * self.load.average_at(self.now_us)
        return 2.0 * (self.load.out + 1)

    def has_room(self) -> bool:
        """For one more send. Hazard: one that sends little, in waves of chance, would refuse their crests,
        though the sum of many is even: there the mean counts."""
        if self.is_one_of_many:
            return self.load.average_at(self.now_us) < self.window.slots
        return self.window.open(self.now_us) > self.load.out

    def least_each(self) -> float:
        """Slots that slow answers leave at an upstream. Hazard: by number alone, the few of many sidecars
        that carry most of the traffic would hold back for all, and refuse what idle upstreams could serve."""
        return min(1.0, KEPT_BY_MANY * self.traffic.share() if self.is_one_of_many else
                   KEPT_IN_HAND / self.settings.instances)

    def warmth(self, server: Server) -> float:
        """Rule 4: the share of its capacity that an upstream surely has; 1 from where one slot from each of
        few can't push it over, as that takes more than one and a half times what it does when warm."""
        s, started_us = self.settings, server.entry.start_us
        age_us = max(0, self.now_us - started_us)  # by its own clock it may start after now
        if started_us == 0 or age_us >= s.warm_up_us:
            return 1.0
        warmth = s.cold_share + (1.0 - s.cold_share) * age_us / s.warm_up_us
        # hazard: one slot from each of 200 is many times what it does, and all would come as the pacing ends
        return warmth if self.is_one_of_many or warmth * s.overload_factor < 1.5 else 1.0

    def warm_at_us(self, server: Server) -> int:
        """From about when on `warmth` is 1: rounding may make it later, not earlier."""
        s = self.settings
        age_us, reach = s.warm_up_us, 1.5 / s.overload_factor
        if s.cold_share < 1.0 and reach < 1.0 and not self.is_one_of_many:
            age_us = int(max(0.0, (reach - s.cold_share) / (1.0 - s.cold_share)) * s.warm_up_us) - 2
        return server.entry.start_us + age_us

    def cold_gap_us(self, server: Server, work_us: float, share: float = 1.0) -> int:
        """Rule 4: how long after a send the next may follow, so that all sidecars together send half the
        multiple that a cold upstream bears; where they are many, what it can do. A request's work is taken
        as the time of a usual answer, as if the upstream had one core; at most as what its part of all that
        tenants are allowed leaves for one. `share` is of the way to the next, for the first send of all."""
        s, warmth, traffic = self.settings, self.warmth(server), self.traffic
        if warmth == 1.0:
            return 0
        if traffic.allowed_per_s:  # hazard: answers' times are mostly the way and the queue, also elsewhere
            work_us = min(work_us, 1e6 * len(self.order) / traffic.allowed_per_s)
        # hazard: what a small upstream does is two thirds of the mean, by which the work is taken
        part = (traffic.share_of_cold_sends() if self.is_one_of_many else
                traffic.share() * max(1.0, s.overload_factor / 2))
        server.turn_us = fleet.turn_lifetime_us(s, warmth * s.fall_us / work_us, self.is_one_of_many)
        # hazard: at the first pace it would be warm before the next one comes
        growth = (1.0 - s.cold_share) / s.warm_up_us
        return int((math.sqrt(warmth**2 + 2.0 * growth * share * work_us / part) - warmth) / growth)

    def draw(self, request: Request) -> Server | None:
        """A random one of the first free slots in this sidecar's order that the request may use, drawn by the
        upstreams' listed size, of upstreams not yet tried."""
        self.look()
        if not self.has_room():
            return self.pick_paced(request)
        if self.is_one_of_many and self.slowness.exceeds(FULL_LOAD):
            # hazard: drawn among the warm ones, a cold one is met far more seldom than its pace lets, while
            # those are crowded. Guards also against a slow network; never where answers come in good time
            early = self.pick_paced(request)
            if early is not None:
                return early
        if not request.attempts:
            return self.pick()
        tried = {attempt.server: None for attempt in request.attempts if attempt.server.place >= 0}
        if self.is_bound(request):
            return self.pick_in_group(request, tried)
        for server in tried:
            self.places.set(server.place, 0.0, 0.0)
        self.changed.update(tried)
        return self.pick()

    def pick(self) -> Server | None:
        weight = self.places.prefix_weight(self.subset)
        return self.order[self.places.find(self.random.random() * weight)] if weight > 0.0 else None

    def pick_paced(self, request: Request) -> Server | None:
        """Hazard: a window that answers of crowded upstreams have narrowed would keep cold ones idle; what
        they get is bounded by their own pace."""
        tried = [attempt.server for attempt in request.attempts]
        early = self.places.weights[self.places.leaves:self.places.leaves + self.early]
        free = [(server, weight) for server, weight in zip(self.order, early, strict=False)
                if weight > 0.0 and server not in tried and self.in_group(request, server)]
        return self.random.choices(*zip(*free, strict=True))[0] if free else None

    def pick_in_group(self, request: Request, tried: dict[Server, None]) -> Server | None:
        free, weights, room, leaves = [], [], 0.0, self.places.leaves
        for place, weight in enumerate(self.places.weights[leaves:leaves + len(self.order)]):
            server = self.order[place]
            if weight > 0.0 and server not in tried and self.in_group(request, server):
                free.append(server)
                weights.append(weight)
                room += self.places.capacities[leaves + place]
                if room >= self.subset:
                    break
        return self.random.choices(free, weights)[0] if free else None

    def look(self) -> None:
        """Brings `places` up to date: with what changed since, and what time alone has changed."""
        now_us = self.now_us
        if 0 < self.rank_us <= now_us:
            self.rank()
        opening = self.opening
        while opening and opening[0][0] <= now_us:
            server = heapq.heappop(opening)[2]
            server.look_us = 0
            self.changed[server] = None
        self.changed.update(self.warming)
        changed, self.changed = self.changed, {}
        for server in changed:
            if server.place >= 0:
                self.look_at(server)

    def favour(self, server: Server) -> float:
        """What is known beyond its slots. Hazard: what fails at once is idle, and would draw the most."""
        # hazard: with more sidecars than upstreams what we leave idle is busy, and a zone is overrun
        near = server.entry.zone == self.home and server.used == 0
        kind, zone = self.kinds.get(server.entry.kind), self.zones.get(server.entry.zone)
        own = min(MOST_FAULTS, server.faults.share(self.now_us))
        shared = zone.share(self.now_us) if zone is not None else 0.0
        favour = ((1.0 - own) * (1.0 - shared)) ** 3
        favour *= kind.weight_factor(self.slowness) if kind is not None else 1.0
        return max(LEAST_FAVOUR, favour) * (1.0 if near and max(own, shared) < WELL else FAR)

    def look_at(self, server: Server) -> None:
        now_us, window = self.now_us, server.window
        slots, weight, room, warmth = window.open(now_us) - server.used, 0.0, 0.0, self.warmth(server)
        is_cold = warmth < 1.0
        while is_cold and server.warms and 0 < server.turn_us < now_us - server.next_cold_us:
            work_us = min(latency.careful_us() for latency in self.latency)
            server.next_cold_us += server.turn_us + self.cold_gap_us(server, work_us)
        if slots > 0 and not (is_cold and now_us < server.next_cold_us):
            server.favour = self.favour(server)
            weight = min(float(slots), window.slots) * server.size * server.favour
            if is_cold and self.is_one_of_many:
                room = 0.0  # beside those that it would draw among else; its pace alone says how much
            else:
                weight, room = weight * warmth, min(1.0, window.slots) * server.size
        self.places.set(server.place, weight, room)
        if is_cold and weight > 0.0:
            self.warming[server] = None
        else:
            self.warming.pop(server, None)
        again_us = window.rest_until_us if window.slots < 1.0 and window.rest_until_us > now_us else 0
        if server.favour < FAR / 2 and not again_us:  # hazard: what is never drawn is never thought better of
            again_us = now_us + fleet.FAILURE_HALF_LIFE_US // 8
        if is_cold and server.next_cold_us > now_us:
            cold_us = min(server.next_cold_us, max(now_us + 1, self.warm_at_us(server)))
            again_us = min(again_us, cold_us) if again_us else cold_us
        if again_us and not now_us < server.look_us <= again_us:
            server.look_us = again_us
            heapq.heappush(self.opening, (again_us, server.place, server))
        shut_us = server.opens_us()
        if shut_us != server.shut_us:
            server.shut_us = shut_us
            while self.shut and self.shut[0][0] <= now_us:
                heapq.heappop(self.shut)
            if shut_us > now_us:
                heapq.heappush(self.shut, (shut_us, server.place, server))

    def may_send(self, request: Request) -> bool:
        """Rules 1 and 2 as far as they don't depend on the upstream."""
        s, sent = self.settings, len(request.attempts)
        if request.done or request.streaming or self.now_us >= request.event.due_us or sent >= s.max_attempts:
            return False
        if request.out > 0 and not s.second_copies:
            return False
        # hazard: reissues and copies feed the overload that they answer
        if self.retry_costs(request) and self.retry_tokens < 1.0:
            return False
        until_us = self.until_us(request)
        return until_us == 0 or self.now_us < until_us

    def until_us(self, request: Request) -> int:
        """Rule 2: nothing of it may be sent from then on, as upstreams forget; 0 = at any time."""
        first, kind = request.first_that_may_have_run(), self.class_of(request)
        if first is None or kind.effect == "idempotent":
            return 0
        return first.sent_us + (kind.memory_us if kind.effect == "deduplicated" else 0)

    def retry_costs(self, request: Request) -> bool:
        return bool(request.attempts) and request.attempts[-1].ended not in COST_NOTHING

    def is_bound(self, request: Request) -> bool:
        """Rule 2: after a keyed attempt that may have run, only upstreams that drop its repeats."""
        kind = self.class_of(request)
        return (kind.effect == "deduplicated" and kind.group != "all"
                and request.first_that_may_have_run() is not None)

    def in_group(self, request: Request, server: Server) -> bool:
        first, kind = request.first_that_may_have_run(), self.class_of(request)
        if first is None or kind.effect != "deduplicated" or kind.group == "all":
            return True
        ours, theirs = first.server.entry, server.entry
        return ours.zone == theirs.zone if kind.group == "zone" else ours.cell == theirs.cell

    def try_send(self, request: Request) -> bool:
        """The one place of sends: through a slot that `draw` finds free, if the rules allow it."""
        server = self.draw(request) if self.may_send(request) else None
        if server is None:
            return False
        work_us = max(self.latency[request.event.class_index].careful_us(), request.event.cost_us)
        server.next_cold_us = self.now_us + self.cold_gap_us(server, work_us)
        server.used += 1
        self.changed[server] = None
        self.retry_tokens -= 1.0 if self.retry_costs(request) else 0.0
        self.traffic.record_send(self.now_us)
        self.subset = max(self.least_subset, SPREAD * len(self.order) * self.traffic.share())
        slow_us = max(self.half_aim_us(request.event.class_index), 2 * request.event.cost_us)
        attempt, until_us = Attempt(server, self.now_us, slow_us), self.until_us(request)
        attempt.paced = self.is_one_of_many and self.warmth(server) < 1.0
        if not attempt.paced:
            self.load.change(self.now_us, 1)
        request.attempts.append(attempt)
        request.out += 1
        timeout_us = request.event.due_us - self.now_us
        if not self.settings.second_copies and self.class_of(request).effect != "at_most_once":
            timeout_us = min(timeout_us, 3 * slow_us)  # hazard: a hung upstream would use up all the time
        self.actions.append(api.Send(request.event.request, server.entry.id, timeout_us, until_us))
        self.wake(self.now_us + slow_us, "late", request.event.request)
        return True

    def on_late(self, request: Request) -> None:
        """A late answer may be a hung upstream or a long request: its upstream's slot stays taken for now,
        this sidecar's is freed, and where a copy is allowed it is sent and the first runs on. Never in a
        shortage, when copies would take the slots of requests that have none."""
        for attempt in request.attempts:
            server, late_us = attempt.server, self.now_us - attempt.sent_us
            if late_us < attempt.slow_us or attempt.ended is not None:
                continue
            if attempt.slowness == 0.0:
                if not attempt.paced:
                    self.load.change(self.now_us, -1)
                self.judge(attempt, attempt.slow_us, request.event.class_index)
            # hazard: answers that never come, of connections fallen silent, would hold the slots of an
            # upstream that answers all else. What was sent to it later is answered: it is not hung, and the
            # slot is free. Else one more send is risked, ever later while nothing comes. Guards also against
            # answers that stall and packets lost; harms where long requests fill an upstream unseen.
            overtaken = server.answered_us > attempt.sent_us
            patience_us = MUTE * attempt.slow_us
            if attempt.holds and late_us >= patience_us << (0 if overtaken else min(server.mute, 20)):
                if not overtaken:
                    server.mute += 1
                    self.judge(attempt, late_us, request.event.class_index)
                attempt.holds = False
                server.used -= 1
                self.changed[server] = None
            elif attempt.holds:
                self.wake(attempt.sent_us + max(patience_us, 2 * late_us), "late", request.event.request)
        # hazard: where all are slow, copies are what makes them so, and those of many sidecars come together
        calm = LEAST_LOAD if self.is_one_of_many else FULL_LOAD
        useful = self.buffer is None and not self.slowness.exceeds(calm)
        if request.out == 1 and useful and self.settings.second_copies:
            self.try_send(request)

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if (request is None or event.attempt >= len(request.attempts)
                or request.attempts[event.attempt].ended is not None):
            return
        attempt = request.attempts[event.attempt]
        attempt.ended = event.outcome
        request.out -= 1
        if self.busy_at is not None and len(event.report) > self.busy_at:
            attempt.server.busy = event.report[self.busy_at]
        if event.outcome is api.Outcome.OK:
            attempt.server.mute = 1
            attempt.server.answered_us = max(attempt.server.answered_us, attempt.sent_us)
        if attempt.slowness == 0.0 and not attempt.paced:
            self.load.change(self.now_us, -1)
        if attempt.holds:  # else it has been judged: its end says nothing of what is sent now
            attempt.server.used -= 1
            self.judge(attempt, event.elapsed_us, request.event.class_index)
        if attempt.holds and event.outcome in (api.Outcome.OK, api.Outcome.TIMEOUT):
            # time-outs count too: else a slow fleet would go on being judged by its few quick answers
            latency = self.latency[request.event.class_index]
            latency.add(event.elapsed_us)
            latency.confirmed_us = self.now_us
        if event.final or request.done:
            self.close(request)
        elif request.out == 0:
            self.place(request)  # hazard: an upstream that fails a part of its requests would lose them all

    def on_list(self, event: api.UpstreamsUpdated) -> None:
        if event.kind is api.ListKind.FAILED:
            # doubles with each failure; jittered, as all sidecars fail together; inside ask-within (rule 3)
            first_us = max(FIRST_RETRY_US, self.list_turn_us())
            backoff_us = min(first_us << min(self.list_failures, 20), self.list_gap_us())
            # hazard: what a silent watch missed counts as told soon, and those of many fell silent together
            least = 0.0 if self.ask_list_us == 0 and self.is_one_of_many else 0.5
            self.list_failures += 1
            self.ask_list_at(self.now_us + int(backoff_us * (least + self.random.random() / 2)))
            return
        if event.kind is not api.ListKind.CACHED:
            self.list_failures = self.ask_list_us = 0
        old, new = self.servers, list[Server]()
        # hazard: under rolling deploys what is gone would pile up; its outstanding attempts still hold it
        self.servers = dict(old) if event.kind is api.ListKind.DELTA else {}
        for entry in event.upstreams:
            server = old.get(entry.id)
            if entry.state is api.UpstreamState.GONE:
                self.servers.pop(entry.id, None)
                continue
            if server is None or server.entry.started_us != entry.started_us:
                if entry.zone in self.zones:  # its past tells little of what starts anew
                    self.zones[entry.zone].value /= 2
                server = Server(entry)  # a new process: nothing the former one earned or lost is kept
                new.append(server)
            server.entry = entry
            self.servers[entry.id] = server
        self.has_list = self.has_list or event.kind is not api.ListKind.CACHED
        self.rank()
        for server in new:
            # all sidecars hear of a start within moments: their first sends must not come as one burst
            if server.warms:
                work_us, s = min(latency.careful_us() for latency in self.latency), self.settings
                share = fleet.turn_position(server.entry.id, s.self_index, s.instances, self.random.random())
                server.next_cold_us = self.now_us + self.cold_gap_us(server, work_us, share)
        self.apply_lessons()

    def rank(self) -> None:
        """Subsetting: the ready upstreams by id, each sidecar from a starting point of its own, so that
        every upstream is near the front of as many; first the cold ones that one of many is to warm.
        Rule 3: draining and gone ones are drawn no more."""
        count = self.settings.instances
        ready = [self.servers[i] for i in sorted(self.servers)
                 if self.servers[i].entry.state is api.UpstreamState.READY]
        mean = sum(server.entry.weight for server in ready) / max(1, len(ready))
        for server in ready:
            server.size = max(SMALLEST_SIZE, server.entry.weight / mean) if mean > 0.0 else 1.0
        self.least = min(1.0, len(ready) / count)
        if ready and not self.order:
            self.window.slots = self.usual_slots(len(ready))
        able, self.able = self.able, sum(server.size * self.warmth(server) for server in ready)
        if self.is_one_of_many and self.able < able:
            # hazard: slow answers come when the queues stand, and what all went on sending is then in them
            kept = min(self.window.slots, self.need()) * self.able / able
            self.window.slots = max(SMALLEST_WINDOW, self.least, kept)  # also where nothing is left
        start = len(ready) * (self.settings.self_index % count) // count
        for server in self.order:
            server.place = -1
        early: dict[Server, None] = {}
        if self.is_one_of_many:
            for server in ready:
                server.warms = fleet.is_warming_sidecar(server.entry.id, self.settings.self_index, count)
                if not server.warms and self.warmth(server) < 1.0:
                    server.next_cold_us = self.warm_at_us(server)
            early = dict.fromkeys(s for s in ready if s.warms and self.warmth(s) < 1.0)
        self.early = len(early)
        self.rank_us = min((self.warm_at_us(server) + 3 for server in early), default=0)
        self.order = [*early, *(server for server in ready[start:] + ready[:start] if server not in early)]
        self.places, self.opening, self.shut, self.warming = SumTree(len(ready)), [], [], {}
        self.changed = dict.fromkeys(self.order)
        for place, server in enumerate(self.order):
            server.place, server.look_us, server.shut_us = place, 0, 0
        self.home = self.settings.zone if self.settings.cross_zone_fee > 0.0 and len(ready) >= count else -1
        self.subset = self.least_subset = max(SUBSET, 2.0 * SUBSET * len(ready) / count)

    def usual_slots(self, ready: int) -> float:
        """Of this sidecar, for all its sends, before anything is learned."""
        return max(SMALLEST_WINDOW, SLOTS_EACH * ready / self.settings.instances)

    def on_settings(self, settings: api.Settings) -> None:
        """Takes on new settings between two events; what has been learned and what is out stays."""
        old, self.settings = self.settings, settings
        self.latency += [Latency(c.aim_us) for c in settings.classes[len(self.latency):]]
        places = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        moved = [places.get(tenant.name, len(places)) for tenant in old.tenants]
        seen, kept = self.tenant_seen, [0.0 for _ in settings.tenants]
        for index, place in enumerate(moved):
            if place < len(places):
                kept[place] = seen[index]
        self.tenant_seen = kept
        for request in self.requests.values():  # hazard: one that waits would be judged by another's share
            tenant = request.event.tenant
            request.event.tenant = moved[tenant] if tenant < len(moved) else len(places)
        self.traffic.configure(sum(t.allowance_per_s for t in settings.tenants), settings.instances)
        self.rank()

    def recall(self, now_us: int, lessons: api.Lessons) -> None:
        """Takes in what was learned before or elsewhere, as far as nothing has been seen here; its times
        are on our clock. Hazard: it may be stale, wrong or a lie: confidence.py and `believe`."""
        self.now_us = max(self.now_us, now_us)
        if sum(self.tenant_seen) < confidence.TENANT_WEIGHT:
            told, age_us = dict(lessons.tenants), self.now_us - lessons.confirmed_us
            share = confidence.TENANT_WEIGHT * confidence.decay(age_us, confidence.LATENCY_HALF_LIFE_US)
            self.tenant_seen = [seen + share * min(1.0, told.get(tenant.name, 0.0))
                                for tenant, seen in zip(self.settings.tenants, self.tenant_seen, strict=True)]
        self.lessons.append(lessons)
        self.apply_lessons()

    def apply_lessons(self) -> None:
        """Once the list has named their upstreams. What discovery's own list does not name is forgotten."""
        count = len(self.order)
        for lessons in sorted(self.lessons, key=lambda told: told.confirmed_us) if count else []:
            known = {lesson.id: lesson for lesson in lessons.upstreams}
            told = {}
            for server in self.order:
                found = known.get(server.entry.id)
                if (found is not None and found.started_us == server.entry.started_us
                        and found.confirmed_us > server.confirmed_us
                        and (server.lesson is not None or server.confirmed_us == 0)):
                    faded = confidence.decayed_lesson(found, self.now_us)
                    if faded is not None:
                        if lessons.zone != self.settings.zone:  # how far it is holds from there only
                            found = replace(found, least_us=0)
                        told[server] = found, faded
            here = sum(ident in known and known[ident].started_us == server.entry.started_us
                       for ident, server in self.servers.items())
            if self.has_list and 2 * here >= len(lessons.upstreams):
                self.recall_times(lessons, count)
            shut = sum(confidence.is_closed(told[server][1] if server in told else server.lesson)
                       for server in self.order)
            for server, (lesson, faded) in told.items():
                if 2 * shut <= count or not confidence.is_closed(faded):
                    self.believe(server, lesson, faded)
        if self.has_list:
            self.lessons = []

    def recall_times(self, lessons: api.Lessons, count: int) -> None:
        """What was learned of all upstreams together. Hazard: of a fleet that was replaced it is wrong."""
        for kind, latency in zip(self.settings.classes, self.latency, strict=True):
            told = next((lesson for lesson in lessons.classes if lesson.name == kind.name), None)
            if told is not None and latency.confirmed_us < told.confirmed_us and (
                    not latency.seen or latency.doubt == 1 / 2):
                share = confidence.decay(self.now_us - told.confirmed_us, confidence.LATENCY_HALF_LIFE_US)
                if share > 0.0:
                    latency.recall(told, share)
        if self.confirmed_us == 0 and lessons.slots > 0.0:
            # hazard: a shut one is self-fulfilling, an open one a burst: the usual to twice that
            share = confidence.decay(self.now_us - lessons.confirmed_us, confidence.SIDECAR_HALF_LIFE_US)
            usual = self.usual_slots(count)
            self.window.slots = confidence.blend(usual, min(max(lessons.slots, usual), 2 * usual), share)

    def believe(self, server: Server, whole: api.UpstreamLesson, lesson: api.UpstreamLesson) -> None:
        """Until a try of our own. Hazard: by mere word it gets no more than the one slot of a new one, and is
        not shut so far that few tries would come: it is drawn rarely, and still before a refusal."""
        server.lesson, server.confirmed_us = whole, whole.confirmed_us  # told on, it fades once and not twice
        self.changed[server] = None
        server.window.slots = min(1.0, max(confidence.MIN_SLOTS, lesson.slots))
        server.failing, server.mute = lesson.failing, min(lesson.mute, confidence.MAX_MUTE)
        if lesson.first_hand:  # what we sent before a restart still warms it up
            gap_us = self.cold_gap_us(server, min(latency.careful_us() for latency in self.latency))
            server.next_cold_us = max(server.next_cold_us, min(lesson.next_cold_us, self.now_us + gap_us))

    def test(self, server: Server, outcome: api.Outcome | None, elapsed_us: int) -> None:
        """The first attempt of ours at an upstream that we were told of: its answer opens what was shut, and
        what was open as far as it was; without one, what we were told is taken for so."""
        told, server.lesson = server.lesson, None
        lesson = confidence.decayed_lesson(told, self.now_us) if told is not None else None
        if outcome is api.Outcome.OK and lesson is None:
            server.window.slots = max(1.0, server.window.slots)
        elif outcome is api.Outcome.OK and lesson is not None:
            most = max(1.0, STACKED * self.window.slots / max(1, len(self.order)))
            server.window.slots = 1.0 if self.warmth(server) < 1.0 else min(max(1.0, lesson.slots), most)
            # hazard: one told too short would keep a far upstream at one slot for good
            server.least_us = max(lesson.least_us, elapsed_us // 4) if lesson.least_us else 0

    def ask_list_at(self, at_us: int) -> None:
        if self.settings.list_on_request or self.settings.list_by_watch:
            self.ask_list_us = at_us
            self.wake(at_us, "list", 0)

    def wake(self, at_us: int, what: str, ident: int) -> None:
        heapq.heappush(self.wakeups, (max(at_us, self.now_us + 1), what, ident))

    def arm(self) -> None:
        at_us = self.wakeups[0][0] if self.wakeups else 0
        if self.buffer is not None:  # a resting slot opens by time, not by an event
            opens = [self.load.below_at_us(self.window.slots) if self.is_one_of_many
                     else self.window.rest_until_us]
            self.look()
            while self.shut and not (self.shut[0][0] > self.now_us and self.shut[0][2].place >= 0
                                     and self.shut[0][0] == self.shut[0][2].opens_us()):
                heapq.heappop(self.shut)  # over, or another time has taken its place
            opens += [self.shut[0][0]] if self.shut else []
            later = [opens_us for opens_us in opens if opens_us > self.now_us]
            at_us = min([at_us, *later] if at_us else later, default=0)
        if at_us and (self.armed_us == 0 or at_us < self.armed_us):
            self.armed_us = at_us
            self.actions.append(api.SetTimer(self.armed_us, 0))

    def run_due(self) -> None:
        while self.wakeups and self.wakeups[0][0] <= self.now_us:
            _, what, ident = heapq.heappop(self.wakeups)
            if what == "list" and 0 < self.ask_list_us <= self.now_us:
                # asks again if no answer comes: a lost call must not leave us without a list (rule 3)
                self.actions.append(api.Subscribe(True))
                self.ask_list_at(self.now_us + self.list_gap_us())
            elif what == "late" and ident in self.requests:
                self.on_late(self.requests[ident])
            elif what == "buffer" and self.buffer is not None and self.buffer.event.request == ident:
                self.finish(self.buffer, "waited")
