"""Closes a listening socket without resetting any client that has connected to it.

When a listener closes, the kernel resets the connections in its accept queue, and also those in the middle of the
handshake, whose clients may already believe that they are connected. So new connections are diverted first, while
handshakes under way still end in the queue; the listener closes once no connection has been accepted for a while.
"""

from __future__ import annotations

import enum
import errno
import select
import socket
import struct
from array import array
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager

from ironscale.net.errors import Severity, severity

BACKLOG = 1024
QUIET_PERIOD_S = 0.04  # without a new connection; no handshake is under way any more after it
CONNECT_TIMEOUT_MS = 20  # for a connection within this machine
# Linux socket options that Python's socket module does not name, and one instruction of classic BPF.
SO_ATTACH_REUSEPORT_CBPF, SO_BINDTOIFINDEX = 51, 62
BPF_RETURN_CONSTANT = 0x06
NO_DEVICE = 1 << 30  # an index that no network device has
PROBE_COUNT = 4  # probe connections that must all agree on which listener they reach
MAX_LISTENER_INDEXES = 8  # indexes of listeners on a shared port that are tried to find another one
QUEUE_FILL_TRIES = 4  # tries to take the only place of the accept queue
SOURCE_PORT_TRIES = 64  # source ports tried to find one from which the kernel chooses this listener
ANY_PORT = 0


class Reached(enum.Enum):
    """Which listener a connection to the address reached."""

    HERE = "here"
    ANOTHER = "another"  # another listener of the port
    NOBODY = "nobody"  # refused
    UNKNOWN = "unknown"


class ListenerShutdown:
    """Closes one listener in steps. `accept_queued` accepts all connections in its queue and tells if none is left."""

    def __init__(self, listener: socket.socket, shares_port: bool, accept_queued: Callable[[], bool],
                 close: Callable[[], None], now_us: Callable[[], int]) -> None:
        self.listener, self.shares_port = listener, shares_port
        self.accept_queued, self.close, self.now_us = accept_queued, close, now_us
        self.probe_address: tuple[str, int] | None = None  # source address of a probe that is not accepted yet
        self.probe_port = ANY_PORT  # source port of the last probe that connected
        self.quiet_since_us: int | None = None  # since when connections are diverted and none has been accepted
        self.is_hidden = False  # bound to a device that does not exist; only a shared port's choice may still lead here
        self.can_divert = True

    def is_probe(self, peer: tuple[str, int]) -> bool:
        """Whether an accepted connection is our own probe. Must be called for each connection that is accepted."""
        if peer == self.probe_address:
            self.probe_address = None
            return True
        if self.quiet_since_us is not None:
            self.quiet_since_us = self.now_us()
        return False

    def step(self) -> bool:
        """Takes the next step; returns whether the listener is closed. Raises OSError when a call fails, and the next
        step tries it again."""
        if self.can_divert and self.quiet_since_us is None and self.divert_connections():
            self.quiet_since_us = self.now_us()
        if not self.can_divert:
            return self.close_with_full_queue()
        if (not self.accept_queued() or self.quiet_since_us is None
                or self.now_us() - self.quiet_since_us < QUIET_PERIOD_S * 1e6):
            return False
        if self.shares_port and self.send_probe() not in (Reached.ANOTHER, Reached.NOBODY):
            self.quiet_since_us = None  # another listener has opened or closed on the shared port
            return False
        self.close()
        return True

    def divert_connections(self) -> bool:
        """Diverts new connections; returns whether none reach this listener any more."""
        try:
            reached = self.divert_to_another() if self.shares_port else Reached.HERE
            if reached is Reached.HERE:  # no other listener shares the port
                reached = self.hide()
        except OSError as error:
            if severity(error) in (Severity.AGAIN, Severity.EXHAUSTED):
                raise
            reached = Reached.HERE  # the kernel is too old or denies permission
        self.can_divert = reached is not Reached.HERE
        return reached in (Reached.ANOTHER, Reached.NOBODY)

    def divert_to_another(self) -> Reached:
        """Makes the kernel choose another listener of the port for new connections; HERE if there is none."""
        for index in range(MAX_LISTENER_INDEXES):
            self.select_listener(index)
            reached = next((one for one in self.probe_repeatedly() if one is not Reached.ANOTHER), Reached.ANOTHER)
            if reached is Reached.ANOTHER:
                return reached
            if reached is not Reached.HERE and not self.is_hidden:  # connections led to a hidden listener reach nobody
                return Reached.UNKNOWN
        return Reached.HERE

    def probe_repeatedly(self) -> Iterator[Reached]:
        return (self.send_probe() for _ in range(PROBE_COUNT))

    def select_listener(self, index: int) -> None:
        """Makes new connections to the port go to the listener of this index; where there is none the kernel chooses
        by a hash."""
        program = array("B", struct.pack("HBBI", BPF_RETURN_CONSTANT, 0, 0, index))
        address, _ = program.buffer_info()
        self.listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, struct.pack("HP", 1, address))

    def hide(self) -> Reached:
        """Hides the listener from new connections; HERE if they still reach it, NOBODY if they are refused. This can't
        be undone: an unprivileged process can bind a socket to a device only once, and never to another or to none."""
        if not self.is_hidden:
            self.bind_to_device(NO_DEVICE)
            self.is_hidden = True
        reached = self.send_probe()
        return Reached.UNKNOWN if reached is Reached.ANOTHER else reached

    def bind_to_device(self, device: int) -> None:
        self.listener.setsockopt(socket.SOL_SOCKET, SO_BINDTOIFINDEX, device)

    def send_probe(self) -> Reached:
        """Which listener a probe reaches. Probes end by a reset, which another process can tell from a client."""
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            error = connect(probe, self.listener.getsockname(), ANY_PORT)
            if error == 0:
                self.probe_address = probe.getsockname()
                self.probe_port = probe.getsockname()[1]
                if not self.accept_queued():
                    return Reached.UNKNOWN
                is_here, self.probe_address = self.probe_address is None, None
                return Reached.HERE if is_here else Reached.ANOTHER
        return Reached.NOBODY if error == errno.ECONNREFUSED else Reached.UNKNOWN

    def close_with_full_queue(self) -> bool:
        """Closes the listener where new connections can't be diverted; returns whether it did. The accept queue is cut
        to one place, which a connection of our own takes, so that later clients wait in their connect. When two
        handshakes end at the same moment both may pass that place, and one of them is cut off."""
        with self.shortened_queue(), ExitStack() as stack:
            port = self.find_source_port() if self.shares_port else ANY_PORT
            for _ in range(QUEUE_FILL_TRIES):
                if not self.accept_queued():  # a client's connection may hold the place
                    return False
                filler = stack.enter_context(socket.socket())
                if connect(filler, self.listener.getsockname(), port) == 0:
                    self.close()
                    return True
                filler.close()  # it may still be waiting for the place
        return False

    def find_source_port(self) -> int:
        """A source port from which connections reach this listener and not another one of the shared port: the kernel
        chooses by the addresses and ports of both ends. ANY_PORT if none is found."""
        for _ in range(SOURCE_PORT_TRIES):
            if self.send_probe() is Reached.HERE:
                return self.probe_port
        return ANY_PORT

    @contextmanager
    def shortened_queue(self) -> Iterator[None]:
        """Cuts the accept queue to one place. Handshakes that find the queue full are cut off, so this lasts one
        step at most."""
        self.listener.listen(0)
        try:
            yield
        finally:
            if self.listener.fileno() >= 0:
                self.listener.listen(BACKLOG)


def connect(sock: socket.socket, address: tuple[str, int], port: int) -> int:
    """Connects within this machine from the given source port, ANY_PORT for any. Returns 0, an errno, or EINPROGRESS if
    it takes longer than CONNECT_TIMEOUT_MS."""
    sock.setblocking(False)
    # bound first: a port chosen by connect may be shared with old connections, and then can't be bound again
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address[0], port))
    error = sock.connect_ex(address)
    if error != errno.EINPROGRESS:
        return error
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if poll.poll(CONNECT_TIMEOUT_MS) else error
