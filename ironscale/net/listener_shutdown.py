"""Closes a listener so that nobody who has connected to it is reset.

What waits in a listener's queue as it closes is reset, and so is who is in the middle of the handshake, and may believe
himself connected. So new connections are led away first, while handshakes under way still end in the queue; the
listener closes once none has come out of it for a while.
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
QUIET_S = 0.04  # without a connection, after which no handshake is under way any more
CONNECT_WAIT_MS = 20  # for a connection on this machine
# Options of the kernel's that Python does not name, and one instruction of its packet filters.
SO_ATTACH_REUSEPORT_CBPF, SO_BINDTOIFINDEX = 51, 62
BPF_RETURN_CONSTANT = 0x06
NO_DEVICE = 1 << 30  # an index that no network device has
PROBES = 4  # connections that show where all go
MOST_SHARING = 8  # listeners of a port among which another's is looked for
FILL_TRIES = 4  # to take the last place of the queue
PORT_TRIES = 64  # to find a port from which the kernel leads to this listener
ANY_PORT = 0


class Reached(enum.Enum):
    """Where a connection to the listener's address came."""

    HERE = "here"
    ANOTHER = "another"  # another listener of the port
    NOBODY = "nobody"  # refused
    UNKNOWN = "unknown"


class ListenerShutdown:
    """The last steps of one listener. `drain` accepts all that wait, and tells whether none is left."""

    def __init__(self, listener: socket.socket, shares_port: bool, drain: Callable[[], bool], close: Callable[[], None],
                 now_us: Callable[[], int]) -> None:
        self.listener, self.shares_port = listener, shares_port
        self.drain, self.close, self.now_us = drain, close, now_us
        self.probe: tuple[str, int] | None = None  # the address of a connection of our own that is on its way here
        self.probed_port = ANY_PORT  # of the last such connection that came up
        self.quiet_since_us: int | None = None  # new connections have been led away, and none has come since
        self.is_hidden = False  # new connections do not find it, but by the choice of a shared port
        self.can_lead_away = True

    def is_probe(self, peer: tuple[str, int]) -> bool:
        """Told of each connection that comes out of the queue."""
        if peer == self.probe:
            self.probe = None
            return True
        if self.quiet_since_us is not None:
            self.quiet_since_us = self.now_us()
        return False

    def step(self) -> bool:
        """Whether the listener is closed now. Raises OSError where a call has failed: the next step makes it again."""
        if self.can_lead_away and self.quiet_since_us is None and self.lead_away():
            self.quiet_since_us = self.now_us()
        if not self.can_lead_away:
            return self.close_full()
        if not self.drain() or self.quiet_since_us is None or self.now_us() - self.quiet_since_us < QUIET_S * 1e6:
            return False
        if self.shares_port and self.reached() not in (Reached.ANOTHER, Reached.NOBODY):
            self.quiet_since_us = None  # another of the port has come or gone
            return False
        self.close()
        return True

    def lead_away(self) -> bool:
        """Whether new connections come here no more."""
        try:
            reached = self.lead_to_another() if self.shares_port else Reached.HERE
            if reached is Reached.HERE:  # there is no other
                reached = self.hide()
        except OSError as error:
            if severity(error) in (Severity.AGAIN, Severity.EXHAUSTED):
                raise
            reached = Reached.HERE  # the kernel is older, or does not let us
        self.can_lead_away = reached is not Reached.HERE
        return reached in (Reached.ANOTHER, Reached.NOBODY)

    def lead_to_another(self) -> Reached:
        """Makes the kernel choose another listener of the port for all that is new; HERE if there is none."""
        for index in range(MOST_SHARING):
            self.choose(index)
            reached = next((one for one in self.reached_often() if one is not Reached.ANOTHER), Reached.ANOTHER)
            if reached is Reached.ANOTHER:
                return reached
            if reached is not Reached.HERE and not self.is_hidden:  # what leads to a hidden one comes nowhere
                return Reached.UNKNOWN
        return Reached.HERE

    def reached_often(self) -> Iterator[Reached]:
        return (self.reached() for _ in range(PROBES))

    def choose(self, index: int) -> None:
        """New connections to the port go to the listener of this index, or by a hash where there is none."""
        program = array("B", struct.pack("HBBI", BPF_RETURN_CONSTANT, 0, 0, index))
        address, _ = program.buffer_info()
        self.listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, struct.pack("HP", 1, address))

    def hide(self) -> Reached:
        """Keeps new connections from finding the listener; HERE if they still do, NOBODY if they are refused. It stays
        bound: without a privilege a socket is bound to a device once, and never to another or none."""
        if not self.is_hidden:
            self.bind_to(NO_DEVICE)
            self.is_hidden = True
        reached = self.reached()
        return Reached.UNKNOWN if reached is Reached.ANOTHER else reached

    def bind_to(self, device: int) -> None:
        self.listener.setsockopt(socket.SOL_SOCKET, SO_BINDTOIFINDEX, device)

    def reached(self) -> Reached:
        """Where a connection of our own comes. It ends by a reset: whoever has it in his queue can tell."""
        with socket.socket() as own:
            own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            error = connect(own, self.listener.getsockname(), ANY_PORT)
            if error == 0:
                self.probe = own.getsockname()
                self.probed_port = own.getsockname()[1]
                if not self.drain():
                    return Reached.UNKNOWN
                is_here, self.probe = self.probe is None, None
                return Reached.HERE if is_here else Reached.ANOTHER
        return Reached.NOBODY if error == errno.ECONNREFUSED else Reached.UNKNOWN

    def close_full(self) -> bool:
        """Where new connections can't be led away: the queue is cut to one place, which a connection of our own takes,
        and who comes then waits within his connect. Two handshakes that end at once may pass that place: one is cut."""
        with self.short_queue(), ExitStack() as stack:
            port = self.port_leading_here() if self.shares_port else ANY_PORT
            for _ in range(FILL_TRIES):
                if not self.drain():  # a client's may have the place
                    return False
                own = stack.enter_context(socket.socket())
                if connect(own, self.listener.getsockname(), port) == 0:
                    self.close()
                    return True
                own.close()  # it may wait for the place
        return False

    def port_leading_here(self) -> int:
        """A port from which connections come here, and not to another listener of this port: the kernel chooses by the
        addresses and ports of both ends."""
        for _ in range(PORT_TRIES):
            if self.reached() is Reached.HERE:
                return self.probed_port
        return ANY_PORT

    @contextmanager
    def short_queue(self) -> Iterator[None]:
        """Handshakes that find no place are cut: it stays short no longer than one step."""
        self.listener.listen(0)
        try:
            yield
        finally:
            if self.listener.fileno() >= 0:
                self.listener.listen(BACKLOG)


def connect(own: socket.socket, address: tuple[str, int], port: int) -> int:
    """Connects within this machine from a port; 0 or an error's number, EINPROGRESS if it takes longer."""
    own.setblocking(False)
    # bound, as a port that a connect chooses may be shared with old connections and could not be bound again
    own.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    own.bind((address[0], port))
    error = own.connect_ex(address)
    if error != errno.EINPROGRESS:
        return error
    waiting = select.poll()
    waiting.register(own, select.POLLOUT)
    return own.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if waiting.poll(CONNECT_WAIT_MS) else error
