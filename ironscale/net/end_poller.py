"""Polls for the ends of clients whose reading is paused, which the event loop does not report."""

from __future__ import annotations

import select
from typing import Protocol

from ironscale.net.periodic import Periodic

POLL_INTERVAL_S = 0.03  # 0.1 s are allowed from a client's end until nothing more is sent for it
END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class PausedConnection(Protocol):
    """A connection whose reading is paused."""

    descriptor: int

    def on_client_left(self) -> None:
        """The client has closed its side."""


class EndPoller:
    """Watches all paused connections: one call for a thousand costs what thirty single calls do."""

    def __init__(self) -> None:
        self.connections: dict[int, PausedConnection] = {}  # by descriptor
        self.poll_object = select.poll()
        self.timer: Periodic | None = None  # runs while there are `connections`

    def watch(self, connection: PausedConnection) -> None:
        if connection.descriptor not in self.connections:
            self.connections[connection.descriptor] = connection
            self.poll_object.register(connection.descriptor, END_EVENTS)
            if self.timer is None:
                self.timer = Periodic(POLL_INTERVAL_S, self.poll)

    def unwatch(self, connection: PausedConnection) -> None:
        if self.connections.get(connection.descriptor) is connection:
            del self.connections[connection.descriptor]
            self.poll_object.unregister(connection.descriptor)

    def poll(self) -> None:
        """Reports the ends of clients that have closed their side, even behind unread bytes."""
        for descriptor, _ in self.poll_object.poll(0):
            connection = self.connections[descriptor]
            self.unwatch(connection)
            connection.on_client_left()
        if not self.connections:
            self.close()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
