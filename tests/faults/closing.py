"""Clients connect continuously while listeners close one after another, with or without a successor on the port."""

from __future__ import annotations

import asyncio
import multiprocessing
import socket
import time
from collections.abc import Callable
from dataclasses import astuple, dataclass
from multiprocessing.synchronize import Event

import uvloop

from ironscale.net.lifecycle import Ledger
from ironscale.net.server import Server
from tests.test_shutdown import REQUEST, AnsweringApplication, close_listener_completely, now_us

CLIENTS = 6
PAUSE_S = 0.0005  # between two connections of one client
CLOSE_LIMIT_S = 3.0
LISTENS_S = 0.03  # how long a listener is open before it closes
SLOW_S = 0.1


@dataclass
class Counts:
    """Outcomes of the clients' connections: answered, refused by the connect, or reset after it."""

    answered: int = 0
    reset: int = 0
    refused: int = 0
    slow: int = 0  # answered connections that took longer than SLOW_S

    def __add__(self, other: Counts) -> Counts:
        return Counts(*(a + b for a, b in zip(astuple(self), astuple(other), strict=True)))


def run_client(port: int, begin: Event, stop: Event, found: multiprocessing.Queue[Counts]) -> None:
    counts = Counts()
    begin.wait()
    while not stop.is_set():
        connect_once(port, counts)
        time.sleep(PAUSE_S)
    found.put(counts)


def connect_once(port: int, counts: Counts) -> None:
    begun_s = time.monotonic()
    with socket.socket() as sock:
        sock.settimeout(CLOSE_LIMIT_S)
        try:
            sock.connect(("127.0.0.1", port))
        except OSError:
            counts.refused += 1
            return
        try:
            sock.sendall(REQUEST)
            is_answered = sock.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            is_answered = False
    counts.answered += is_answered
    counts.reset += not is_answered
    counts.slow += is_answered and time.monotonic() - begun_s > SLOW_S


async def start_server(port: int, shares_port: bool) -> Server:
    server = Server(AnsweringApplication(), 400, now_us, Ledger(now_us, lambda text: None))
    await server.listen(("127.0.0.1", port), shares_port)
    return server


async def close_listeners(port: int, closes: int, shares_port: bool, begin: Event,
                          collect: Callable[[], Counts]) -> Counts:
    last = await start_server(port, shares_port) if shares_port else None
    begin.set()
    for _ in range(closes):
        server = last or await start_server(port, shares_port)
        last = await start_server(port, shares_port) if shares_port else None
        await asyncio.sleep(LISTENS_S)
        await close_listener_completely(server)
        await asyncio.sleep(LISTENS_S)
        await server.stop(0.0, 0.0, 0.0, CLOSE_LIMIT_S)
    counts = await asyncio.to_thread(collect)  # the last successor serves until the clients have finished
    if last is not None:
        await last.stop(0.0, 0.0, 0.0, CLOSE_LIMIT_S)
    return counts


def play(closes: int, shares_port: bool) -> Counts:
    with socket.socket() as kept:  # keeps the port reserved between two listeners
        kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, shares_port)
        kept.bind(("127.0.0.1", 0))
        port = kept.getsockname()[1]
        begin, stop = multiprocessing.Event(), multiprocessing.Event()
        found: multiprocessing.Queue[Counts] = multiprocessing.Queue()
        clients = [multiprocessing.Process(target=run_client, args=(port, begin, stop, found)) for _ in range(CLIENTS)]
        for one in clients:
            one.start()

        def collect() -> Counts:
            stop.set()
            results = [found.get() for _ in clients]
            for one in clients:
                one.join()
            return sum(results, Counts())

        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                return runner.run(close_listeners(port, closes, shares_port, begin, collect))
        finally:
            stop.set()
