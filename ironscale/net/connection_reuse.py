"""Decides when a connection to an upstream may carry another request. Pure: no I/O, no clock of its own.

HTTP/1.1 matches answers to requests by their order alone. An upstream that sends more answers than it was sent requests
shifts that order: each later request on the connection is given the answer before its own. A connection therefore
stays idle before its next request, so that such bytes meet no request, and upstreams that have sent any get one
request on a connection until they have been quiet for long.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Sequence

MIN_IDLE_US = 45_000
# Until so many connections have stayed silent for that long, all of them have to: what upstreams do is not known yet.
PROBATION_CONNECTIONS, PROBATION_IDLE_US = 5, 50_000
HARMLESS_LATENESS_US = 10_000  # a surplus that comes sooner after its answer is far from meeting a request
QUARANTINE_US = 60_000_000  # how long an upstream's connections are used once after it has sent too much
MAX_QUARANTINED = 1  # with more upstreams at a time than that, all are treated so: the fault lies in their way
# The share of reused connections that fail at their next request, by idle time: an exponential moving average over
# about 8 of them, which decays over some 20 s. Above MAX_FAILURE_SHARE a new connection costs less than the
# requests that would fail.
FAILURE_WEIGHT, FAILURE_DECAY, MAX_FAILURE_SHARE = 1 / 8, 0.95, 0.3
DECAY_INTERVAL_S = 1.0
# Equal answers on different connections: a moving average over about 32 answers. It compares with as many as dozens of
# connections remember together, or equal answers of long ago would look like copies.
EQUAL_WEIGHT, INITIAL_EQUAL_SHARE, MAX_EQUAL_SHARE, REMEMBERED_ANSWERS = 1 / 32, 0.0, 0.05, 1024
MAX_EARLIER_ANSWERS = 16  # of a connection, of which a copy is recognised
MIN_ANSWERS = 3  # that must have been seen before equal ones can be called rare; until then nothing is reused
NEVER_US = 1 << 62


class EqualAnswers:
    """Learns whether upstreams give equal answers to different requests. If they hardly do, an answer that equals an
    earlier one of its connection is a copy of that one."""

    def __init__(self) -> None:
        self.share = INITIAL_EQUAL_SHARE  # of answers that equal a recent one of another connection
        self.answers = 0
        self.recent: OrderedDict[int, int] = OrderedDict()  # digests of answers, with the connection's number

    def record(self, digest: int, connection: int) -> None:
        """Records an answer that was received on the connection."""
        self.answers += 1
        seen_on = self.recent.get(digest)
        if seen_on != connection:  # an equal answer on the same connection may be a copy, and shows nothing
            self.share += ((seen_on is not None) - self.share) * EQUAL_WEIGHT
        self.recent[digest] = connection
        self.recent.move_to_end(digest)
        if len(self.recent) > REMEMBERED_ANSWERS:
            self.recent.popitem(last=False)

    def are_rare(self) -> bool:
        """Whether different requests hardly ever get equal answers."""
        return self.are_known() and self.share < MAX_EQUAL_SHARE

    def are_known(self) -> bool:
        """Whether enough answers have been seen to tell."""
        return self.answers >= MIN_ANSWERS


class ReusePolicy:
    """Whether and after how long a connection is used again, by what upstreams have been seen to do."""

    def __init__(self) -> None:
        self.equal_answers = EqualAnswers()
        self.silent_connections = 0  # that stayed silent for PROBATION_IDLE_US since the last surplus
        self.quarantined: dict[int, int] = {}  # upstream ids, by when their quarantine ends

    def record_silence(self, idle_us: int) -> bool:
        """A connection has received nothing while it was idle for so long. Returns whether that was long enough to
        count."""
        is_long = idle_us >= PROBATION_IDLE_US
        self.silent_connections += is_long
        return is_long

    def record_surplus(self, upstream_id: int, lateness_us: int, now_us: int) -> None:
        """The upstream has sent something that no request had asked for, so long after an answer."""
        if lateness_us < HARMLESS_LATENESS_US:
            return
        self.silent_connections = 0
        self.quarantined[upstream_id] = now_us + QUARANTINE_US

    def allows_reuse(self, upstream_id: int, now_us: int) -> bool:
        """Whether connections to the upstream may carry more than one request."""
        if not self.quarantined:
            return True
        self.quarantined = {ident: end_us for ident, end_us in self.quarantined.items() if end_us > now_us}
        return len(self.quarantined) <= MAX_QUARANTINED and upstream_id not in self.quarantined

    def is_copy(self, digest: int, earlier: Collection[int]) -> bool:
        """Whether an answer is a copy of one of the earlier ones on its connection."""
        return digest in earlier and self.equal_answers.are_rare()

    def record_answer(self, digest: int, connection: int) -> None:
        """Records an answer that is served. Others don't count: their request's next attempt may be answered alike."""
        self.equal_answers.record(digest, connection)

    def min_idle_us(self) -> int:
        """How long a connection has to have been idle before its next request."""
        if not self.equal_answers.are_known():
            return NEVER_US
        return MIN_IDLE_US if self.silent_connections >= PROBATION_CONNECTIONS else max(MIN_IDLE_US, PROBATION_IDLE_US)


class IdleFailures:
    """Learns how long connections may be idle before reuse: an upstream may close them long before the configured
    idle timeout, and the request that reveals it is lost."""

    def __init__(self) -> None:
        self.shares = [0.0] * 65  # share that failed, by the bit length of the idle time in microseconds

    def record(self, age_us: int, failed: bool) -> None:
        if age_us > 0:
            bits = min(age_us.bit_length(), 64)
            self.shares[bits] += (failed - self.shares[bits]) * FAILURE_WEIGHT

    def is_reliable(self, age_us: int) -> bool:
        return self.shares[min(age_us.bit_length(), 64)] < MAX_FAILURE_SHARE

    def restore(self, shares: Sequence[float], age_us: int) -> None:
        """Restores shares that were observed `age_us` ago, where they exceed those observed since. At most one half is
        restored: with a share of 1 no connection would be reused, so the share could never be corrected."""
        decay_factor = FAILURE_DECAY ** min(1e4, age_us / 1e6 / DECAY_INTERVAL_S)
        for i, share in enumerate(shares[:len(self.shares)]):
            self.shares[i] = max(self.shares[i], min(0.5, share) * decay_factor)

    def decay(self) -> None:
        self.shares = [share * FAILURE_DECAY for share in self.shares]
