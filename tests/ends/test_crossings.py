"""Random schedules of races over loopback sockets: clients that leave, upstreams that fail in the middle of an answer,
drains, discovery streams that break, an event loop without CPU, a shutdown. One checker verifies what happened.

A schedule is drawn from its seed; the seeds are fixed, and each is part of its test's name.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import re
import socket
from collections import Counter, defaultdict
from typing import Any

import pytest

from ironscale.net import server, sidecar
from ironscale.net.upstream_connection import Connection
from ironscale.standins.discovery import listing
from ironscale.standins.http import TURNED_AWAY, Message, ok
from ironscale.standins.settings import SETTINGS
from ironscale.standins.upstream import Peer
from tests.ends.test_clients import WAYS_TO_LEAVE, wait_for_end
from tests.ends.test_lists import PUSHED, settings_of
from tests.sockets import Scene, run, until

STEPS = 120
TXN = re.compile(rb"X-Txn: (\S+)", re.IGNORECASE)
UPSTREAM_BEHAVIOURS = (*["answer"] * 8, "twice", "twice", "hang", "reset", "half", "turn away", "error", "endless",
                       "nonsense")


class Client:
    """One client connection, the requests sent on it, and every byte that came back."""

    def __init__(self, scene: Scene) -> None:
        self.sock = socket.create_connection(("127.0.0.1", scene.port))
        self.sock.setblocking(False)
        self.asked: list[tuple[str, str]] = []  # class and id, in order
        self.got = b""
        self.ended = self.left = False
        self.reading = asyncio.create_task(self.read())

    async def read(self) -> None:
        with contextlib.suppress(OSError):
            while piece := await asyncio.get_running_loop().sock_recv(self.sock, 65536):
                self.got += piece
        self.ended = True

    def ask(self, lane: str, request: bytes) -> None:
        found = TXN.search(request)
        assert found is not None
        if not self.ended and self.sock.send(request) == len(request):
            self.asked.append((lane, found[1].decode()))

    def answers(self) -> list[tuple[int, bytes]]:
        found, rest = [], self.got
        while rest:
            head, gap, rest = rest.partition(b"\r\n\r\n")
            length = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
            assert gap and length is not None, f"incomplete answer: {self.got!r}"
            size = int(length[1])
            assert len(rest) >= size, f"incomplete answer: {self.got!r}"
            found.append((int(head.split()[1]), rest[:size]))
            rest = rest[size:]
        return found


class World:
    def __init__(self, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
        self.random = random.Random(seed)
        self.ran: dict[str, list[int]] = defaultdict(list)  # by id: the cells where the request may have run
        self.faults: list[str] = []
        self.held: list[tuple[asyncio.Future[bytes], str]] = []
        self.left: set[str] = set()  # ids of requests whose client left before they were answered
        self.in_flight: dict[Connection, str] = {}
        self.clients: list[Client] = []
        self.generation = 50
        self.check_sends(monkeypatch)

    def check_sends(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Checks each attempt as its first byte is sent to an upstream, independently of the program's own checks."""
        real = Connection.start

        def start(connection: Connection, attempt: Any) -> None:
            found = TXN.search(attempt.payload)
            assert found is not None
            txn = found[1].decode()
            if txn in self.left:
                self.faults.append(f"{txn} was sent after its client had left")
            if not self.copies and any(other == txn and not one.is_closed and one.attempt is not None
                                       for one, other in self.in_flight.items()):
                self.faults.append(f"{txn} was sent while another attempt was in flight")
            self.in_flight[connection] = txn
            real(connection, attempt)

        monkeypatch.setattr(Connection, "start", start)

    async def start(self) -> None:
        draw = self.random
        effects = draw.sample(["idempotent", "at_most_once", "deduplicated"], 3)
        # the order of the classes is drawn by their effects: view is idempotent, pay at_most_once, mark deduplicated
        self.copies = draw.random() < 0.5
        bounds = {**SETTINGS["bounds"], "second-copies": self.copies, "most-tries": draw.choice([1, 2, 4]),
                  "retry-after": draw.random() < 0.5}
        order = sorted(SETTINGS["request-classes"], key=lambda c: effects.index(c["effect"]))
        self.group = draw.choice(["all", "zone", "cell"])
        classes = [{**c, "aim": 300_000, "deadline": 2_000_000, "group": self.group} for c in order]
        mode = draw.choice([{}, PUSHED])
        accounts = draw.choice([[], SETTINGS["accounts"]])
        self.peers = [await Peer(self.behave).start() for _ in range(3)]
        self.scene = await Scene().start(*self.entries(), **settings_of(
            mode, bounds=bounds, **{"request-classes": classes, "accounts": accounts}))
        await until(lambda: self.scene.discovery.writers)
        self.scene.discovery.line(listing(*self.entries(), generation=self.generation))

    def entries(self, **drained: str) -> list[dict[str, Any]]:
        return [peer.entry(f"s-{i}", cell=i // 2, zone="ab"[i // 2], lifecycle=drained.get(f"s{i}", "ready"))
                for i, peer in enumerate(self.peers)]

    async def behave(self, peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
        txn = message.headers["x-txn"]
        way = self.random.choice(UPSTREAM_BEHAVIOURS)
        answer = ok(txn.encode())
        if way == "turn away":
            writer.write(TURNED_AWAY)
            return
        self.ran[txn].append(self.peers.index(peer) // 2)
        match way:
            case "answer":
                writer.write(answer)
            case "twice":
                writer.write(answer + answer)
            case "hang":
                held: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
                self.held.append((held, txn))
                writer.write(await held)
            case "reset":
                writer.transport.abort()
            case "half":
                writer.write(answer[:-2])
                writer.close()
            case "error":
                writer.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
            case "endless":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + answer)
            case "nonsense":
                writer.write(b"nonsense\r\n\r\n")

    def answer_held(self) -> None:
        held, self.held = self.held, []
        for future, txn in held:
            if not future.done():
                future.set_result(ok(txn.encode()))

    # Steps: each is one event of a race, done before the event loop runs again

    def ask(self) -> None:
        idle = [one for one in self.clients if not one.ended and not one.left and len(one.asked) < 4]
        client = self.random.choice(idle) if idle and self.random.random() < 0.4 else Client(self.scene)
        if client not in self.clients:
            self.clients.append(client)
        lane = self.random.choice(["view", "pay", "mark"])
        with contextlib.suppress(OSError):
            remaining = self.random.choice(["2000m", "2000m", "150m", "5m", "60000m"])
            client.ask(lane, self.scene.request(lane, remaining=remaining))

    def leave(self) -> None:
        staying = [one for one in self.clients if not one.left and not one.ended]
        if staying:
            client = self.random.choice(staying)
            client.left = True
            client.reading.cancel()
            self.left.update(txn for _, txn in client.asked[client.got.count(b"HTTP/1.1"):])
            way, address = self.random.choice(WAYS_TO_LEAVE), client.sock.getsockname()
            with contextlib.suppress(OSError):
                way(client.sock)
                wait_for_end(self.scene, address)

    def list_changes(self) -> None:
        self.generation += 1
        drained = {f"s{self.random.randrange(3)}": "draining"} if self.random.random() < 0.7 else {}
        if not self.scene.discovery.writers[-1].transport.is_closing():
            self.scene.discovery.line(listing(*self.entries(**drained), generation=self.generation))

    def watch_breaks(self) -> None:
        self.scene.discovery.writers[-1].transport.abort()

    def stall(self) -> None:
        """Advances the clock as if the event loop had had no CPU; what arrived meanwhile is read at once afterwards."""
        self.scene.sidecar.clock.offset_ns += self.random.choice([50, 300, 300, 1_300]) * 1_000_000

    async def play(self) -> None:
        steps = [self.ask] * 5 + [self.leave, self.answer_held, self.answer_held, self.list_changes, self.stall]
        for _ in range(STEPS):
            self.random.choice([*steps, self.watch_breaks] if self.random.random() < 0.2 else steps)()
            turns = self.random.choice([0, 0, 1, 3, 8, 100])
            for _ in range(turns if turns < 100 else 0):
                await asyncio.sleep(0)
            if turns == 100:  # lets everything finish that is not held back
                await asyncio.sleep(0.003)

    async def end(self) -> None:
        """Shuts the sidecar down while requests are open, and checks that nothing is left."""
        await self.scene.sidecar.stop()
        sidecar = self.scene.sidecar
        assert not sidecar.by_txn and not sidecar.server.connections, "left open at the end"
        sidecar.clock.offset_ns += 120_000_000_000  # attempts still in flight time out
        sidecar.timers.fire()
        await until(lambda: not sidecar.requests and not sidecar.upstreams.open_count)
        await until(lambda: all(one.ended or one.left for one in self.clients))
        for client in self.clients:
            client.sock.close()
        self.answer_held()

    def check(self) -> Counter[int]:
        seen: Counter[int] = Counter()
        for client in self.clients:
            if client.left:
                continue
            answers = client.answers()
            assert len(answers) <= len(client.asked), f"more than one answer: {client.asked} {client.got!r}"
            # where an answer closed the connection, the client sends the requests pipelined behind it again
            assert len(answers) == len(client.asked) or b"Connection: close" in client.got, (client.asked, client.got)
            for (lane, txn), (status, body) in zip(client.asked, answers, strict=False):
                seen[status] += 1
                assert status != 200 or body == txn.encode(), f"{txn} got another request's answer {body!r}"
                assert status != 503 or lane == "view" or (lane == "mark" and self.group == "all") \
                    or not self.ran[txn], f"{lane} {txn} was refused and has run"
                assert status in (200, 502, 503)
        for client in self.clients:
            for lane, txn in client.asked:
                cells = self.ran[txn]
                assert lane != "pay" or len(cells) <= 1, f"{txn} ran {len(cells)} times"
                assert lane != "mark" or self.group == "all" or len(set(cells)) <= 1, f"{txn} ran in cells {cells}"
        assert not self.faults, self.faults
        return seen


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("seed", range(24))
def test_each_request_gets_exactly_one_answer_whatever_races(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sidecar, "STOP_GRACE_S", 0.15)
    monkeypatch.setattr(sidecar, "STOP_MAX_DEADLINE_S", 0.1)
    monkeypatch.setattr(sidecar, "STOP_MIN_ACCEPT_S", 0.05)
    monkeypatch.setattr(sidecar, "STOP_QUIET_PERIOD_S", 0.0)
    monkeypatch.setattr(server, "LAST_ANSWERS_S", 20.0)  # generous, for a busy machine; ends once all answers are sent

    async def test() -> None:
        world = World(seed, monkeypatch)
        await world.start()
        await world.play()
        await world.end()
        seen = world.check()
        assert seen.total() + len(world.left) >= 8, seen  # the schedule was not trivial
        for peer in world.peers:
            await peer.stop()

    async def nothing() -> None:
        pass

    run(nothing)  # the first event loop of a process leaves some descriptors open for the later ones
    before = descriptors()
    run(test)
    assert descriptors() <= before, "descriptors leaked"
