"""The server side of the sidecar: accepts clients' connections, limits their number and closes them."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
from collections.abc import Callable

from ironscale import logs
from ironscale.net.client import Application, ClientConnection, Phase
from ironscale.net.end_poller import EndPoller
from ironscale.net.errors import Severity, severity
from ironscale.net.lifecycle import Ledger
from ironscale.net.listener_shutdown import BACKLOG, ListenerShutdown
from ironscale.net.memory import read_memory
from ironscale.net.memory_budget import MemoryBudget, plan_memory
from ironscale.net.parse_pacing import ParsePacing
from ironscale.net.periodic import Periodic
from ironscale.net.quiet_connections import MIN_IDLE_S, MIN_SILENCE_S, QuietConnections

# A client that sends no complete request gets an error or a close within 3 s: this timeout and the sweep's interval
# together stay below that. A connection without an open request may be closed after 2 s; it is closed after
# IDLE_TIMEOUT_S, and sooner only to make room.
SILENCE_TIMEOUT_S = 2.4
IDLE_TIMEOUT_S = 15.0
# How long a shutdown waits for the first byte on a new connection. The client of a connection opened before the
# shutdown can still connect again; the client of a later one can't.
FIRST_BYTE_TIMEOUT_S, LATE_FIRST_BYTE_TIMEOUT_S = 0.25, 1.0
SWEEP_INTERVAL_S = 0.2
# Shares of the most connections. While more than the first are idle a connection is closed after its answer; while more
# than the second are open this goes for those that have only carried readiness probes.
CROWDED_IDLE_SHARE, CROWDED_SHARE = 1 / 3, 1 / 2
ACCEPT_BATCH = 32  # connections accepted in one step of the event loop
LAST_ANSWERS_S = 0.08  # for the last answers to be sent at the end of the process
ACCEPT_PAUSE_S = 0.02  # after an accept that failed for want of room or of a resource
CLOSE_RETRY_S = 0.02  # between two tries to close the listener
UNREAD_LINES_PER_S, MAX_UNREAD_BURST = 1.0, 50  # log lines about connections closed over unread bytes


class Accepted(enum.Enum):
    """How many of the connections in the accept queue were accepted."""

    ALL = "all"
    SOME = "some"  # more may be queued
    FAILED = "failed"  # more may be queued, and can't be accepted now


def was_reset(sock: socket.socket) -> bool:
    """Whether the connection has failed; False if the kernel doesn't tell."""
    with contextlib.suppress(OSError):
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
    return False


class Server:
    """Accepts clients' connections, at most `max_connections` at a time, and closes silent and idle ones."""

    def __init__(self, application: Application, max_connections: int, now_us: Callable[[], int],
                 ledger: Ledger | None = None, memory_mb: float = 0.0) -> None:
        self.application = application
        self.ledger = ledger or Ledger(now_us, logs.write_line)
        self.limits = max_connections, memory_mb  # as they are set, before the memory is shared
        self.used_at_start_bytes = read_memory().resident_bytes  # measured again as it starts to listen
        self.memory = MemoryBudget(plan_memory(memory_mb, self.used_at_start_bytes, max_connections))
        self.max_connections = self.memory.plan.max_connections
        self.parse_pacing = ParsePacing()
        self.now_us = now_us
        self.unread_lines = logs.LineBudget(now_us, UNREAD_LINES_PER_S, MAX_UNREAD_BURST)
        self.loop = asyncio.get_running_loop()
        self.connections: set[ClientConnection] = set()
        self.quiet = QuietConnections(now_us)
        self.stopping = False
        self.stopping_since_us = 0
        self.accepting_paused = False  # until there is room
        self.last_opened_us = now_us()
        self.listener: socket.socket | None = None
        self.reuse_port = False
        self.listener_shutdown: ListenerShutdown | None = None
        self.sweeper: Periodic | None = None
        self.end_poller = EndPoller()

    def set_limits(self, max_connections: int, memory_mb: float) -> None:
        """Shares the memory that was left at the start among at most so many connections; fewer if it is short."""
        self.limits = max_connections, memory_mb
        self.memory.plan = plan_memory(memory_mb, self.used_at_start_bytes, max_connections)
        self.max_connections = self.memory.plan.max_connections

    async def listen(self, address: tuple[str, int], reuse_port: bool = False) -> int:
        """Starts to listen and returns the port. Raises OSError."""
        listener = socket.create_server(address, backlog=BACKLOG, reuse_port=reuse_port)
        try:
            listener.setblocking(False)
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # inherited by the accepted sockets
            self.loop.add_reader(listener, self.accept)
        except OSError:
            listener.close()  # left open it would take connections from the next start's listener and accept none
            raise
        self.listener, self.reuse_port = listener, reuse_port
        # by now the first list of upstreams, which may be long, has been read and applied
        self.used_at_start_bytes = read_memory().resident_bytes
        self.set_limits(*self.limits)
        self.sweeper = Periodic(SWEEP_INTERVAL_S, self.sweep)
        port: int = listener.getsockname()[1]
        return port

    def accept(self) -> Accepted:
        """Accepts up to ACCEPT_BATCH connections; those that can't be accepted stay in the kernel's queue. The event
        loop's own server is not used: without a free descriptor it accepts and closes connections, and requests that
        are already written would be lost."""
        if self.listener is None:
            return Accepted.ALL
        for _ in range(ACCEPT_BATCH):
            if len(self.connections) >= self.max_connections and not self.make_room():
                break
            try:
                sock, peer = self.listener.accept()
            except OSError as error:
                if severity(error) is Severity.AGAIN:
                    return Accepted.ALL
                if severity(error) is Severity.EXHAUSTED:
                    break
                continue  # accept(2) reports an error of that one connection; others may be queued behind it
            is_probe = self.listener_shutdown is not None and self.listener_shutdown.is_probe(peer)
            # a connection that was reset in the queue may be a probe of another process that closes its listener
            if is_probe or was_reset(sock):
                sock.close()
            else:
                self.open_connection(sock)
        else:
            return Accepted.SOME
        self.pause_accepting()
        self.loop.call_later(ACCEPT_PAUSE_S, self.resume_accepting)
        return Accepted.FAILED

    def open_connection(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        connection = ClientConnection(self, sock)
        self.connections.add(connection)
        self.quiet.classify(connection)
        self.last_opened_us = self.now_us()
        connection.open()

    def pause_accepting(self) -> None:
        if self.listener is not None and not self.accepting_paused:
            self.accepting_paused = True
            self.loop.remove_reader(self.listener)

    def resume_accepting(self) -> None:
        if self.listener is not None and self.accepting_paused:
            self.accepting_paused = False
            self.loop.add_reader(self.listener, self.accept)

    def make_room(self) -> bool:
        """Closes a connection without an open request; False if none may be closed."""
        evicted = self.quiet.evict(self.max_connections)
        if evicted is not None:
            self.forget(evicted)
        return evicted is not None

    def reclassify(self, connection: ClientConnection) -> None:
        if connection in self.connections:
            self.quiet.classify(connection)

    def received(self, connection: ClientConnection) -> None:
        self.quiet.received(connection)
        self.charge(connection)
        if self.memory.is_exceeded():
            self.free_memory()

    def charge(self, connection: ClientConnection) -> None:
        if connection in self.connections:
            held_bytes = connection.held_bytes()
            self.memory.change(held_bytes - connection.charged_bytes)
            connection.charged_bytes = held_bytes

    def free_memory(self) -> None:
        """Refuses requests received in part, the one without a byte for longest first, and ends connections whose
        clients don't read their answers, until the memory suffices. Those that hold less than their share stay."""
        share_bytes = self.memory.fair_share_bytes()
        for connection in self.quiet.all_in(Phase.PARTIAL_REQUEST):
            if not self.memory.is_exceeded():
                return
            if connection.charged_bytes > share_bytes:
                connection.free_memory()
        behind_open = [one for one in self.connections if one.is_busy() and one.parser.held_bytes() > share_bytes]
        for connection in behind_open:
            if not self.memory.is_exceeded():
                return
            connection.free_memory()
        unread = [one for one in self.connections if one.unsent_bytes() > share_bytes]
        for connection in sorted(unread, key=lambda one: one.last_answer_us):
            if not self.memory.is_exceeded():
                return
            connection.abort_unread()

    def forget(self, connection: ClientConnection) -> None:
        self.end_poller.unwatch(connection)  # its descriptor may soon belong to another connection
        self.connections.discard(connection)
        self.memory.change(-connection.charged_bytes)
        connection.charged_bytes = 0
        self.quiet.remove(connection)
        self.resume_accepting()

    def wants_close(self, connection: ClientConnection) -> bool:
        # clients that send one request and stay connected use up their descriptors and ours
        crowded = (self.has_many_idle() if connection.has_had_request
                   else len(self.connections) > CROWDED_SHARE * self.max_connections)
        return self.stopping or crowded

    def has_many_idle(self) -> bool:
        return self.quiet.count(Phase.BETWEEN_REQUESTS) > CROWDED_IDLE_SHARE * self.max_connections

    def sweep(self) -> None:
        """Closes connections that have been silent or idle for too long."""
        logs.flush()
        idle_timeout_s = MIN_IDLE_S if self.has_many_idle() else IDLE_TIMEOUT_S
        for connection in self.quiet.quiet_for(SILENCE_TIMEOUT_S, idle_timeout_s):
            connection.close("idle" if connection.phase() is Phase.BETWEEN_REQUESTS else "silent")
            self.reclassify(connection)
        self.resume_accepting()

    def close_idle(self) -> None:
        """Closes connections without an open request, as the process ends; a client whose request crosses the close
        sends it again on a new connection."""
        for connection in self.quiet.all_in(Phase.BETWEEN_REQUESTS):
            connection.close("shutdown, idle")
            self.reclassify(connection)
        for connection in self.quiet.all_in(Phase.NO_REQUEST):
            if self.may_close_unused(connection):
                connection.close("shutdown, silent")
                self.reclassify(connection)

    def may_close_unused(self, connection: ClientConnection) -> bool:
        """Whether a connection that has carried no request may be closed in a shutdown. On a new one the first request
        may still be under way."""
        min_s = MIN_SILENCE_S
        if connection.is_new:
            min_s = (FIRST_BYTE_TIMEOUT_S if connection.quiet_since_us < self.stopping_since_us
                     else LATE_FIRST_BYTE_TIMEOUT_S)
        return self.now_us() - connection.quiet_since_us >= min_s * 1e6

    def close_listener(self) -> bool:
        """Takes a step to close the listener; to be called until it returns True. The listener stays open while a
        system call fails or a queued connection can't be accepted."""
        if self.listener is None:
            return True
        if self.listener_shutdown is None:
            self.listener_shutdown = ListenerShutdown(self.listener, self.reuse_port, self.accept_all,
                                                      self.drop_listener, self.now_us)
        try:
            return self.listener_shutdown.step()
        except OSError as error:
            logs.write_line(f"closing the listener failed: {error}; it will be tried again")
            return False

    def drop_listener(self) -> None:
        listener, self.listener = self.listener, None
        if listener is not None:
            self.loop.remove_reader(listener)
            listener.close()

    def accept_all(self) -> bool:
        """Accepts all queued connections; returns whether none is left."""
        for _ in range(self.max_connections // ACCEPT_BATCH + 1):
            accepted = self.accept()
            if accepted is not Accepted.SOME:
                return accepted is Accepted.ALL
        return False

    async def stop(self, quiet_s: float, min_s: float, max_s: float, end_s: float,
                   answer_open_requests: Callable[[], None] = lambda: None) -> None:
        """Shuts down gracefully, without losing requests: new connections still come for a while after the signal.

        Idle connections are closed first, while a request that crosses the close can still be sent again on a new one.
        Closing the listener begins after `min_s`, once no connection has come for `quiet_s`, and after `max_s` in any
        case. When all connections have ended, and after `end_s` at the latest, `answer_open_requests` is called; it
        must also see to it that later requests are answered at once.
        """
        self.stopping = True
        self.stopping_since_us = start_us = self.now_us()

        def log(text: str) -> None:
            busy = sum(one.is_busy() for one in self.connections)
            self.ledger.log(f"shutdown, {(self.now_us() - start_us) / 1e6:.3f} s: {text}; "
                            f"{len(self.connections)} connections, {busy} with an open request")

        log("begins")
        while True:
            await asyncio.sleep(0.02)
            self.close_idle()
            now_us = self.now_us()
            quiet = now_us - self.last_opened_us >= quiet_s * 1e6
            if now_us - start_us >= (min_s if quiet else max_s) * 1e6:
                break
        closed = self.close_listener()
        while (self.connections or not closed) and (left_s := end_s - (self.now_us() - start_us) / 1e6) > 0.0:
            await asyncio.sleep(min(CLOSE_RETRY_S, left_s))
            self.close_idle()
            if not closed:
                closed = self.close_listener()
        log("answering all open requests" if self.connections else "no connection is open")
        answer_open_requests()
        self.drop_listener()
        while self.connections and self.now_us() - start_us < (end_s + LAST_ANSWERS_S) * 1e6:
            for connection in list(self.connections):
                if not connection.is_busy() and not (connection.finishing and connection.transport is not None):
                    connection.close("shutdown")
            await asyncio.sleep(0.005)
        for connection in self.connections:
            if connection.current is not None:
                connection.current.lifecycle.connection_closed("the process ends")
        self.end_poller.close()
        if self.sweeper is not None:
            self.sweeper.cancel()
