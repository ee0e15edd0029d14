"""The application's side: listens, and knows the clients' connections."""

from __future__ import annotations

import asyncio
import enum
import select
import socket
from collections.abc import Callable
from itertools import islice

from ironscale import logs
from ironscale.net.client import LEFT, Application, ClientConnection
from ironscale.net.closing import BACKLOG, ListenerShutdown
from ironscale.net.errors import Severity, severity
from ironscale.net.lifecycle import Event, Ledger
from ironscale.net.periodic import Periodic

# Who sends no whole request gets an error or a close within so long, here and in the sweep's step less
# than the 3 s that are owed. A connection without an open request may be closed after 2 s; it is after
# LONGEST_IDLE_S, sooner only to make room.
SILENCE_S = 2.4
LONGEST_IDLE_S = 15.0
LEAST_IDLE_S, LEAST_SILENCE_S = 2.0, 0.1  # to make room, no sooner
# A shutdown waits so long for what a new connection was opened for: one from before it can come again, a later one not.
FIRST_BYTE_S, LATE_FIRST_BYTE_S = 0.25, 1.0
SWEEP_S = 0.2
LOOK_S = 0.03  # between two looks for the ends of clients that the loop does not read; 0.1 s are allowed
# Shares of the room: past so many idle connections one ends with its answer, and past so many of all if
# it has only asked for readiness.
MANY_IDLE, MANY = 1 / 3, 1 / 2
ACCEPTS = 32  # connections accepted before other work has its turn
LOOKED_AT = 8  # connections that are asked whether they can make room
LAST_S = 0.08  # for the last answers to leave, at the end of the process
ACCEPT_PAUSE_S = 0.02  # after an accept that failed for want of something
CLOSE_AGAIN_S = 0.02  # between two tries to close the listener


class Accepted(enum.Enum):
    """What has become of the connections that waited."""

    ALL = "all"
    SOME = "some"  # more may wait
    FAILED = "failed"  # more may wait, and cannot be accepted now


class Server:
    """Listens, and knows the clients' connections."""

    def __init__(self, application: Application, most: int, now_us: Callable[[], int],
                 ledger: Ledger | None = None) -> None:
        self.application = application
        self.ledger = ledger or Ledger(now_us, logs.write_line)
        self.most = most  # connections
        self.now_us = now_us
        self.loop = asyncio.get_running_loop()
        self.connections: set[ClientConnection] = set()
        # Those without an open request, the longest in that state first: `silent` have sent no whole
        # request, or only for readiness, or are closing; `idle` wait for their next one.
        self.silent: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}
        self.stopping = False
        self.stopping_since_us = 0
        self.is_full = False  # no connection is accepted until there is room
        self.last_opened_us = now_us()
        self.listener: socket.socket | None = None
        self.reuse_port = False
        self.closing: ListenerShutdown | None = None
        self.sweeper: Periodic | None = None
        self.paused: dict[int, ClientConnection] = {}  # by descriptor: the loop reads nothing of them, nor their end
        self.ends = select.poll()  # of all these: one call for a thousand of them takes what thirty for one each do
        self.looker: Periodic | None = None  # while there are any

    async def listen(self, address: tuple[str, int], reuse_port: bool = False) -> int:
        listener = socket.create_server(address, backlog=BACKLOG, reuse_port=reuse_port)
        try:
            listener.setblocking(False)
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # what it accepts inherits it
            self.loop.add_reader(listener, self.accept)
        except OSError:
            listener.close()  # hazard: a start that is tried again would have it beside it, and nobody accepts
            raise
        self.listener, self.reuse_port = listener, reuse_port
        self.sweeper = Periodic(SWEEP_S, self.sweep)
        port: int = listener.getsockname()[1]
        return port

    def accept(self) -> Accepted:
        """Some of those that wait. Hazard: without a descriptor to spare the event loop's own
        server accepts and closes, and a request that is written already is lost. What is not accepted waits in the
        kernel."""
        if self.listener is None:
            return Accepted.ALL
        for _ in range(ACCEPTS):
            if len(self.connections) >= self.most and not self.make_room():
                self.wait_for_room()
                return Accepted.FAILED
            try:
                sock, peer = self.listener.accept()
            except OSError as error:
                if severity(error) is Severity.AGAIN:
                    return Accepted.ALL
                if severity(error) is Severity.EXHAUSTED:
                    break
                continue  # that connection has gone, or its way; others may wait behind it (accept(2))
            is_probe = self.closing is not None and self.closing.is_probe(peer)
            # one that was reset before it was accepted may be another's probe, as it closes its listener
            if is_probe or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                sock.close()
                continue
            connection = ClientConnection(self, sock)
            self.connections.add(connection)
            self.silent[connection] = None
            self.last_opened_us = self.now_us()
            sock.setblocking(False)
            connection.open()
        else:
            return Accepted.SOME
        self.wait_for_room()
        self.loop.call_later(ACCEPT_PAUSE_S, self.accept_again)
        return Accepted.FAILED

    def wait_for_room(self) -> None:
        if self.listener is not None and not self.is_full:
            self.is_full = True
            self.loop.remove_reader(self.listener)

    def accept_again(self) -> None:
        if self.listener is not None and self.is_full:
            self.is_full = False
            self.loop.add_reader(self.listener, self.accept)

    def make_room(self) -> bool:
        """In place of the connection that has been silent longest, else of the one idle longest."""
        now_us = self.now_us()
        for connections, least_s in ((self.silent, LEAST_SILENCE_S), (self.idle, LEAST_IDLE_S)):
            for oldest in islice(connections, LOOKED_AT):
                if now_us - oldest.since_us < least_s * 1e6:
                    break
                if oldest.transport is not None and oldest.can_be_cut():
                    self.ledger.note(Event.CLOSED, "room")
                    oldest.transport.abort()
                    self.lost(oldest)
                    return True
        return False

    def settle(self, connection: ClientConnection) -> None:
        """Called when its state may have changed."""
        if connection.is_busy():
            self.silent.pop(connection, None)
            self.idle.pop(connection, None)
            return
        silent = connection.reading or connection.final or not connection.asked
        here, there = (self.silent, self.idle) if silent else (self.idle, self.silent)
        there.pop(connection, None)
        if connection not in here and connection in self.connections:
            connection.since_us = self.now_us()
            here[connection] = None

    def lost(self, connection: ClientConnection) -> None:
        self.unwatch(connection)  # hazard: its descriptor is another's soon
        self.connections.discard(connection)
        self.silent.pop(connection, None)
        self.idle.pop(connection, None)
        self.accept_again()

    def wants_close(self, connection: ClientConnection) -> bool:
        # hazard: clients that ask once and stay use up their own descriptors and ours
        crowded = self.has_many_idle() if connection.asked else len(self.connections) > MANY * self.most
        return self.stopping or crowded

    def has_many_idle(self) -> bool:
        return len(self.idle) > MANY_IDLE * self.most

    def sweep(self) -> None:
        logs.flush()
        now_us = self.now_us()
        longest_s = LEAST_IDLE_S if self.has_many_idle() else LONGEST_IDLE_S
        for connections, most_s, reason in ((self.silent, SILENCE_S, "silent"), (self.idle, longest_s, "idle")):
            for connection in list(connections):
                if now_us - connection.since_us < most_s * 1e6:
                    break
                del connections[connection]
                connection.close(reason)
                self.settle(connection)
        self.accept_again()

    def watch(self, connection: ClientConnection) -> None:
        """Its reading has been paused: from now on its end is looked for here."""
        if connection.descriptor not in self.paused:
            self.paused[connection.descriptor] = connection
            self.ends.register(connection.descriptor, LEFT)
            if self.looker is None:
                self.looker = Periodic(LOOK_S, self.look)

    def unwatch(self, connection: ClientConnection) -> None:
        if self.paused.get(connection.descriptor) is connection:
            del self.paused[connection.descriptor]
            self.ends.unregister(connection.descriptor)

    def look(self) -> None:
        """Those whose end has come, behind whatever lies unread, have gone: their requests hold nothing any more."""
        for descriptor, _ in self.ends.poll(0):
            connection = self.paused[descriptor]
            self.unwatch(connection)
            connection.leave()
        if not self.paused and self.looker is not None:
            self.looker.cancel()
            self.looker = None

    def close_idle(self) -> None:
        """Closes what rests, as the process ends; a request that crosses the close comes again on a new connection."""
        for connection in [*self.idle, *filter(self.rests_unasked, self.silent)]:
            if not connection.final:
                connection.close("shutdown, idle" if connection.asked else "shutdown, silent")
                self.settle(connection)

    def rests_unasked(self, connection: ClientConnection) -> bool:
        """Whether nothing more is awaited on it. Hazard: the first request on a new connection may be under way."""
        least_s = LEAST_SILENCE_S
        if connection.is_new:
            least_s = FIRST_BYTE_S if connection.since_us < self.stopping_since_us else LATE_FIRST_BYTE_S
        return (not connection.asked and not connection.reading
                and self.now_us() - connection.since_us >= least_s * 1e6)

    def close_listener(self) -> bool:
        """Whether it is closed; to be called again until it is. It stays open where a call fails, or somebody who waits
        can't be accepted."""
        if self.listener is None:
            return True
        if self.closing is None:
            self.closing = ListenerShutdown(self.listener, self.reuse_port, self.accept_all, self.drop_listener,
                                            self.now_us)
        try:
            return self.closing.step()
        except OSError as error:
            logs.write_line(f"closing the listener: {error}; tried again")
            return False

    def drop_listener(self) -> None:
        listener, self.listener = self.listener, None
        if listener is not None:
            self.loop.remove_reader(listener)
            listener.close()

    def accept_all(self) -> bool:
        """Whether all that waited have been accepted."""
        for _ in range(self.most // ACCEPTS + 1):
            accepted = self.accept()
            if accepted is not Accepted.SOME:
                return accepted is Accepted.ALL
        return False

    async def stop(self, quiet_s: float, least_s: float, most_s: float, end_s: float,
                   at_end: Callable[[], None] = lambda: None) -> None:
        """Stop taking requests, losing none: new connections still come for a while after the signal.

        Idle connections are closed first, while a request that crosses the close can still come
        again on a new one; the listener goes once no connection has come for `quiet_s`.
        At `end_s` what is still open is answered by `at_end`, and what comes from then on at once.
        """
        self.stopping = True
        self.stopping_since_us = start_us = self.now_us()

        def log(text: str) -> None:
            busy = sum(one.is_busy() for one in self.connections)
            self.ledger.log(f"shutdown, {(self.now_us() - start_us) / 1e6:.3f} s: {text}; "
                            f"{len(self.connections)} connections, {busy} with a request open")

        log("begins")
        while True:
            await asyncio.sleep(0.02)
            self.close_idle()
            now_us = self.now_us()
            quiet = now_us - self.last_opened_us >= quiet_s * 1e6
            if now_us - start_us >= (least_s if quiet else most_s) * 1e6:
                break
        closed = self.close_listener()
        while (self.connections or not closed) and (left_s := end_s - (self.now_us() - start_us) / 1e6) > 0.0:
            await asyncio.sleep(min(CLOSE_AGAIN_S, left_s))
            self.close_idle()
            if not closed:
                closed = self.close_listener()
        log("all that is open is answered" if self.connections else "nothing is open")
        at_end()
        self.drop_listener()
        while self.connections and self.now_us() - start_us < (end_s + LAST_S) * 1e6:
            for connection in list(self.connections):
                if not connection.is_busy() and not (connection.final and connection.transport is not None):
                    connection.close("shutdown")
            await asyncio.sleep(0.005)
        for connection in self.connections:
            if connection.current is not None:
                connection.current.lifecycle.connection_closed("the process ends")
        for timer in (self.sweeper, self.looker):
            if timer is not None:
                timer.cancel()
