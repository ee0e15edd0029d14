"""A loop whose time is virtual, and a network in memory between its parts: the program's own protocols run on both, and
a minute of theirs takes a moment. The same seed gives the same play."""

from __future__ import annotations

import asyncio
import selectors
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import ContextVar
from typing import Any, cast

WHO: ContextVar[str] = ContextVar("who", default="")  # whose task dials


class _Selector(selectors.BaseSelector):
    """Waits for nothing: where nobody is ready, time goes on to when somebody is."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.registered: dict[Any, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        key = selectors.SelectorKey(fileobj, fileobj if isinstance(fileobj, int) else fileobj.fileno(), events, data)
        self.registered[fileobj] = key
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self.registered.pop(fileobj)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("nobody waits for a time, and nothing comes from outside")
        self.now_s += max(0.0, timeout)
        return []

    def close(self) -> None:
        self.registered.clear()

    def get_map(self) -> Any:
        return self.registered


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.virtual = _Selector()
        super().__init__(self.virtual)
        self.net: Net | None = None

    def time(self) -> float:
        return self.virtual.now_s

    async def create_connection(self, protocol_factory: Any, host: Any = None,
                                port: Any = None, **kwargs: Any) -> Any:
        assert self.net is not None
        return await self.net.dial(WHO.get(), int(port), protocol_factory)


class VirtualTime:
    """In place of the module `time` where the program reads its clock."""

    def __init__(self, loop: VirtualLoop, wall_ms: int = 1_800_000_000_000) -> None:
        self.loop, self.wall_ms = loop, wall_ms

    def monotonic(self) -> float:
        return self.loop.time()

    def time(self) -> float:
        return self.wall_ms / 1000 + self.loop.time()

    def time_ns(self) -> int:
        return self.wall_ms * 1_000_000 + int(self.loop.time() * 1e9)

    def thread_time(self) -> float:
        return 0.0

    def clock_ms(self) -> int:
        return int(self.loop.time() * 1000)

    @staticmethod
    def strftime(form: str) -> str:
        return ""


class End(asyncio.Transport):
    """One end of a connection. What is written arrives a moment later, in order, unless it is held on the way."""

    def __init__(self, net: Net, own: str, other: str) -> None:
        super().__init__()
        self.net, self.own, self.other = net, own, other
        self.peer: End | None = None
        self.protocol: asyncio.Protocol | None = None
        self.inbox: deque[bytes | None] = deque()  # None = the other end closed
        self.closing = self.lost = False

    def write(self, data: Any) -> None:
        if not self.closing and self.peer is not None:
            self.net.send(self, bytes(data))

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            if self.peer is not None:
                self.net.send(self, None)
            asyncio.get_running_loop().call_soon(self.lose)

    def abort(self) -> None:
        self.close()

    def lose(self) -> None:
        if not self.lost:
            self.lost = self.closing = True
            self.net.ends.pop(self, None)
            if self.protocol is not None:
                self.protocol.connection_lost(None)

    def is_closing(self) -> bool:
        return self.closing

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        return

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def pause_reading(self) -> None:
        return

    def resume_reading(self) -> None:
        return


class Net:
    """Who can hear whom. A process that is stopped hears nothing and says nothing, and is still connected; one that was
    killed is reset, unless the way to it is cut: then nobody hears of it."""

    def __init__(self, loop: VirtualLoop, delay_s: Callable[[], float]) -> None:
        self.loop, self.delay_s = loop, delay_s
        loop.net = self
        self.listening: dict[int, tuple[str, Callable[[], asyncio.Protocol]]] = {}
        self.names: dict[int, str] = {}  # also of those that do not listen now
        self.ends: dict[End, None] = {}  # in order, so that a seed is one play
        self.cut: set[frozenset[str]] = set()
        self.stopped: set[str] = set()

    def is_open(self, one: str, two: str) -> bool:
        return frozenset((one, two)) not in self.cut and one not in self.stopped and two not in self.stopped

    async def dial(self, who: str, port: int, factory: Callable[[], asyncio.Protocol]) -> Any:
        await asyncio.sleep(self.delay_s())
        name, make = self.listening.get(port, ("", None))
        known = self.names.get(port, "")
        while frozenset((who, known)) in self.cut or who in self.stopped:
            await asyncio.sleep(0.05)  # the caller gives up by its own limit
        if make is None:
            raise ConnectionRefusedError("refused")
        near, far = End(self, who, name), End(self, name, who)
        near.peer, far.peer = far, near
        self.ends |= {near: None, far: None}
        # a stopped process's kernel takes the connection; the process itself hears of it later
        far.protocol, near.protocol = make(), factory()
        far.protocol.connection_made(far)
        near.protocol.connection_made(near)
        return near, near.protocol

    def listen(self, port: int, name: str, make: Callable[[], asyncio.Protocol]) -> None:
        self.names[port] = name
        self.listening[port] = name, make

    def send(self, end: End, data: bytes | None) -> None:
        peer = end.peer
        assert peer is not None
        peer.inbox.append(data)
        self.loop.call_later(self.delay_s(), self.arrive, peer)

    def arrive(self, end: End) -> None:
        """Something may have come: all that may be heard now is, in order."""
        if not self.is_open(end.own, end.other):
            return
        while end.inbox and not end.lost:
            found = end.inbox.popleft()
            if found is None:
                end.lose()
            else:
                cast(asyncio.Protocol, end.protocol).data_received(found)

    def mended(self) -> None:
        for end in list(self.ends):
            self.loop.call_soon(self.arrive, end)

    def kill(self, name: str) -> None:
        """Its connections are reset, and where that can't be heard, nobody hears it."""
        for port, (who, _) in list(self.listening.items()):
            if who == name:
                del self.listening[port]
        for end in [end for end in self.ends if end.own == name]:
            end.closing = True
            if end.peer is not None and frozenset((end.own, end.other)) not in self.cut:
                self.loop.call_soon(end.peer.lose)
            end.lose()


def play(work: Callable[[VirtualLoop], Coroutine[Any, Any, Any]]) -> Any:
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()

