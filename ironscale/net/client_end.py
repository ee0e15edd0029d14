"""Whether a client has closed its side, as its socket tells it."""

from __future__ import annotations

import select
import socket

from ironscale.net.end_poller import END_EVENTS
from ironscale.net.stream import Unread, may_hide_end, peek

MAX_HIDDEN_US = 50_000  # 0.1 s are allowed from a client's end until nothing more is sent for it
END_POLL_TRIES = 3  # an interrupted poll misses a client's end, and a request would be sent for nobody


class ClientEnd:
    """Looks for the end of one client. It asks the socket, because the event loop may not have read the end yet (never
    while reading is paused), and a request would be sent for nobody."""

    def __init__(self, sock: socket.socket, now_us: int) -> None:
        self.sock = sock
        self.seen_open_us = now_us  # when an end would have been seen, and was not
        self.poll: select.poll | None = None

    def is_seen(self) -> bool:
        """Whether the client's end has arrived, also behind unread bytes."""
        unread = peek(self.sock)
        return unread is Unread.END or (unread is Unread.BYTES and self.is_behind_bytes())

    def is_behind_bytes(self) -> bool:
        if self.poll is None:
            self.poll = select.poll()
            self.poll.register(self.sock, END_EVENTS)
        # a poll that a signal interrupts reports nothing, hence the repetition
        return any(events & END_EVENTS for _ in range(END_POLL_TRIES) for _, events in self.poll.poll(0))

    def may_be_hidden(self, now_us: int) -> bool:
        """Whether the client may have left for too long without a sign of it."""
        if not may_hide_end(self.sock):
            self.seen_open_us = now_us
        return now_us - self.seen_open_us > MAX_HIDDEN_US
