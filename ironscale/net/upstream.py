"""Connection pools for upstreams: choose or open the connection of an attempt, and keep idle ones until their time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from ironscale.interface import Outcome, UpstreamState
from ironscale.logs import LineBudget
from ironscale.net import socket_connect
from ironscale.net.connection_metrics import CloseReason, ConnectionMetrics
from ironscale.net.connection_reuse import DECAY_INTERVAL_S, IdleFailures, ReusePolicy
from ironscale.net.errors import is_transient
from ironscale.net.periodic import Periodic
from ironscale.net.stream import Unread
from ironscale.net.upstream_connection import Attempt, Connection

if TYPE_CHECKING:
    from ironscale.net.listing import Member

SURPLUS_LINES_PER_S, MAX_SURPLUS_BURST = 1.0, 50
IDLE_TIMEOUT_SHARE = 0.9  # share of the upstream's idle timeout; the rest allows for data in flight
SWEEP_INTERVAL_S = DECAY_INTERVAL_S
DEFAULT_CONNECT_TIMEOUT_S = 1.0


class Pool:
    """The connections to one upstream, which `member` describes as in the latest list."""

    def __init__(self, upstreams: Upstreams, member: Member) -> None:
        self.upstreams = upstreams
        self.member = member
        self.idle: list[Connection] = []  # newest last and reused first, so that the oldest may expire
        self.busy: set[Connection] = set()

    def is_ready(self) -> bool:
        return self.member.upstream.state is UpstreamState.READY

    def update(self, member: Member) -> None:
        previous, self.member = self.member, member
        has_moved = previous.address != member.address
        is_same_process = previous.upstream.started_us == member.upstream.started_us
        if not has_moved and is_same_process and self.is_ready():
            return
        for connection in [*self.idle, *self.busy]:
            # connections to the previous process are dead, but a machine that vanished did not close them
            if has_moved or not self.is_ready() or connection.opened_us < member.upstream.effective_start_us:
                self.retire(connection)

    def retire(self, connection: Connection) -> None:
        """Closes the connection, but only after its current attempt if it has one."""
        connection.is_retired = True
        if connection.attempt is None:
            connection.close(CloseReason.LEFT_SERVICE)

    def handle_removal(self) -> None:
        """Handles the removal from the list: pending requests may still be answered, no new ones are sent."""
        self.member = replace(self.member, upstream=replace(self.member.upstream, state=UpstreamState.GONE))
        for connection in [*self.idle, *self.busy]:
            self.retire(connection)

    def close_idle(self) -> None:
        while self.idle:
            self.idle[-1].close(CloseReason.LEFT_SERVICE)

    def start(self, attempt: Attempt) -> None:
        """Sends the attempt on an idle connection, or on a new one."""
        now_us, min_idle_us = self.upstreams.now_us(), self.upstreams.reuse_policy.min_idle_us()
        for connection in reversed(self.idle):
            age_us = now_us - connection.idle_since_us
            if age_us < min_idle_us:
                continue
            unusable = self.why_not_reusable(connection, age_us)
            if unusable is not None:
                connection.close(unusable)
                continue
            self.record_silence(connection, age_us)
            self.idle.remove(connection)
            del self.upstreams.idle[connection]
            self.busy.add(connection)
            connection.start(attempt)
            return
        if not self.upstreams.make_room():
            attempt.end(Outcome.NOT_SENT)
            return
        self.upstreams.open_count += 1
        task = asyncio.get_running_loop().create_task(self.connect(attempt))
        self.upstreams.tasks.add(task)
        task.add_done_callback(self.upstreams.tasks.discard)

    def record_silence(self, connection: Connection, idle_us: int) -> None:
        """Records once for each time that a connection is idle that it has received nothing for so long."""
        if not connection.is_counted_silent:
            connection.is_counted_silent = self.upstreams.reuse_policy.record_silence(idle_us)

    def record_surplus(self, idle_since_us: int) -> None:
        """The upstream has sent more than it was asked for, on a connection that had been idle since then."""
        now_us = self.upstreams.now_us()
        self.upstreams.reuse_policy.record_surplus(self.member.upstream.id, now_us - idle_since_us, now_us)

    def why_not_reusable(self, connection: Connection, idle_us: int) -> CloseReason | None:
        """Why an idle connection must be closed instead of being used; None if it may be used."""
        if self.has_expired(connection):
            return CloseReason.IDLE_TIMEOUT
        if connection.requests and not self.allows_reuse(self.upstreams.now_us()):
            return CloseReason.QUARANTINE
        if not self.upstreams.idle_failures.is_reliable(idle_us):
            return CloseReason.UNRELIABLE_AGE
        return None if connection.look() is Unread.NOTHING else CloseReason.UNREAD_AT_REUSE

    def has_expired(self, connection: Connection) -> bool:
        return self.upstreams.now_us() - connection.idle_since_us >= self.upstreams.idle_timeout_us

    async def connect(self, attempt: Attempt) -> None:
        address = self.member.address
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self.upstreams.connect_timeout_s):
                await socket_connect.connect(sock, address)
            connection = Connection(self, sock)
            connection.open()
        except Exception as error:  # of any kind: otherwise the attempt would hold its slot until its timeout
            if sock is not None:
                sock.close()
            self.upstreams.open_count -= 1
            # a lack of resources on this machine is no failure of the upstream
            attempt.end(Outcome.NOT_SENT if is_transient(error) else Outcome.CONNECT_FAILED)
            return
        self.busy.add(connection)
        connection.is_retired = address != self.member.address
        if attempt.ended or connection.is_retired or not self.is_ready() or not attempt.is_wanted():
            # the upstream may have been removed, or the client may have cancelled, during the connect
            self.release(connection)
            attempt.end(Outcome.NOT_SENT)
        elif connection.look() in (Unread.BYTES, Unread.END):
            connection.close(CloseReason.UNREAD_AT_FIRST_USE)
            attempt.end(Outcome.CONNECT_FAILED)
        else:
            connection.start(attempt)

    def release(self, connection: Connection) -> None:
        """Returns the connection to the idle ones, or closes it if it must not be reused."""
        now_us = self.upstreams.now_us()
        if not self.is_ready():
            connection.close(CloseReason.LEFT_SERVICE)
        elif connection.is_retired:
            connection.close(CloseReason.NOT_REUSABLE)
        elif connection.requests and not self.allows_reuse(now_us):
            connection.close(CloseReason.QUARANTINE)
        else:
            self.busy.discard(connection)
            connection.idle_since_us, connection.is_counted_silent = now_us, False
            self.idle.append(connection)
            self.upstreams.idle[connection] = None

    def remove(self, connection: Connection) -> None:
        self.busy.discard(connection)
        if self.upstreams.idle.pop(connection, connection) is None:
            self.idle.remove(connection)
        self.upstreams.open_count -= 1

    def allows_reuse(self, now_us: int) -> bool:
        return self.upstreams.reuse_policy.allows_reuse(self.member.upstream.id, now_us)

    def close_expired(self) -> None:
        now_us = self.upstreams.now_us()
        for connection in self.idle:
            self.record_silence(connection, now_us - connection.idle_since_us)
        while self.idle and self.has_expired(self.idle[0]):
            self.idle[0].close(CloseReason.IDLE_TIMEOUT)


class Upstreams:
    """The connection pools of all upstreams in the list, by upstream id."""

    def __init__(self, now_us: Callable[[], int], idle_timeout_us: int, connect_timeout_us: int, max_open: int) -> None:
        self.now_us = now_us
        self.set_timeouts(idle_timeout_us, connect_timeout_us)
        self.max_open = max_open  # limit on open connections
        self.open_count = 0  # number of connections, including those being established
        self.pools: dict[int, Pool] = {}
        self.idle: dict[Connection, None] = {}  # of all pools, the one that has been idle longest first
        self.idle_failures = IdleFailures()
        self.reuse_policy = ReusePolicy()
        self.metrics = ConnectionMetrics()
        self.surplus_lines = LineBudget(now_us, SURPLUS_LINES_PER_S, MAX_SURPLUS_BURST)
        self.tasks: set[asyncio.Task[None]] = set()
        self.sweeper = Periodic(SWEEP_INTERVAL_S, self.sweep)

    def set_timeouts(self, idle_timeout_us: int, connect_timeout_us: int) -> None:
        self.idle_timeout_us = int(idle_timeout_us * IDLE_TIMEOUT_SHARE)
        self.connect_timeout_s = connect_timeout_us / 1e6 or DEFAULT_CONNECT_TIMEOUT_S

    def resolve_address_conflicts(self, members: list[Member], full: bool) -> list[Member]:
        """Returns the list with upstreams marked as gone whose address has been taken over by a newer one. If
        discovery reports their end late, requests meant for them would go to the cold process at that address."""
        members_by_id = {member.upstream.id: member for member in members}
        known = {} if full else {ident: pool.member for ident, pool in self.pools.items()}
        owners: dict[tuple[str, int], Member] = {}
        for member in {**known, **members_by_id}.values():
            if member.upstream.state is UpstreamState.GONE:
                continue
            other = owners.get(member.address, member)
            is_newer = member.upstream.effective_start_us >= other.upstream.effective_start_us
            owners[member.address] = member if is_newer else other
            if other is not member:
                replaced = other if is_newer else member
                members_by_id[replaced.upstream.id] = replace(
                    replaced, upstream=replace(replaced.upstream, state=UpstreamState.GONE))
        return list(members_by_id.values())

    def apply(self, members: list[Member], full: bool) -> None:
        """Applies a list of upstreams: all of them if `full`, otherwise those that changed."""
        for member in members:
            ident = member.upstream.id
            if ident in self.pools:
                self.pools[ident].update(member)
            elif member.upstream.state is not UpstreamState.GONE:
                self.pools[ident] = Pool(self, member)
        gone = [i for i, pool in self.pools.items() if pool.member.upstream.state is UpstreamState.GONE]
        if full:
            gone += self.pools.keys() - {member.upstream.id for member in members}
        for ident in gone:
            pool = self.pools.pop(ident, None)
            if pool is not None:
                pool.handle_removal()

    def ready_pool(self, upstream_id: int) -> Pool | None:
        """Returns the pool of the upstream if requests may be sent to it."""
        pool = self.pools.get(upstream_id)
        return pool if pool is not None and pool.is_ready() else None

    def close_idle(self, upstream_id: int) -> None:
        if upstream_id in self.pools:
            self.pools[upstream_id].close_idle()

    def make_room(self) -> bool:
        """Makes room for one more connection, if necessary by closing the one that has been idle longest. Returns
        whether there is room."""
        if self.open_count >= self.max_open:
            oldest = next(iter(self.idle), None)
            if oldest is not None:
                oldest.close(CloseReason.MAKE_ROOM)
        return self.open_count < self.max_open

    def sweep(self) -> None:
        for pool in self.pools.values():
            pool.close_expired()
        self.idle_failures.decay()

    def close(self) -> None:
        self.sweeper.cancel()
        for task in list(self.tasks):
            task.cancel()
        for pool in self.pools.values():
            pool.handle_removal()
