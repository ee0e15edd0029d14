"""Clients that connect all the time while a listener closes, again and again: `python -m bench.closing [--closes 500]`.

Prints how many of their requests were answered, and how many were reset after their connect had succeeded.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import socket
import sys
import time
from multiprocessing.synchronize import Event

import uvloop

from ironscale.net.server import Server
from tests.test_shutdown import REQUEST, Answers, now_us

CLIENTS = 6
PAUSE_S = 0.0005  # between two connections of a client
CLOSE_LIMIT_S = 3.0


def client(port: int, stop: Event, found: multiprocessing.Queue[tuple[int, int]]) -> None:
    answered = lost = 0
    while not stop.is_set():
        with socket.socket() as sock:
            sock.settimeout(CLOSE_LIMIT_S)
            try:
                sock.connect(("127.0.0.1", port))
            except OSError:
                time.sleep(2 * PAUSE_S)
                continue
            try:
                sock.sendall(REQUEST)
                is_answered = sock.recv(100).startswith(b"HTTP/1.1 200")
            except OSError:
                is_answered = False
        answered += is_answered
        lost += not is_answered
        time.sleep(PAUSE_S)
    found.put((answered, lost))


async def close_often(port: int, closes: int) -> None:
    for _ in range(closes):
        server = Server(Answers(), 400, now_us)
        await server.listen(("127.0.0.1", port))
        await asyncio.sleep(0.03)
        while not server.close_listener():
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.02)
        await server.stop(0.0, 0.0, 0.0, CLOSE_LIMIT_S)


def main(argv: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="bench.closing", description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--closes", type=int, default=500)
    options = parser.parse_args(argv)
    with socket.socket() as kept:  # the port stays ours between two listeners
        kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        kept.bind(("127.0.0.1", 0))
        port = kept.getsockname()[1]
        stop = multiprocessing.Event()
        found: multiprocessing.Queue[tuple[int, int]] = multiprocessing.Queue()
        clients = [multiprocessing.Process(target=client, args=(port, stop, found)) for _ in range(CLIENTS)]
        for one in clients:
            one.start()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(close_often(port, options.closes))
        stop.set()
        results = [found.get() for _ in clients]
        for one in clients:
            one.join()
    print(f"{options.closes} closes: {sum(a for a, _ in results)} answered, {sum(b for _, b in results)} reset")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
