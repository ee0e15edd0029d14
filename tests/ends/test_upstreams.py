"""Tests the end of attempts at upstreams: no request is sent twice at once, and none is sent too late."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from ironscale.interface import ListKind, Outcome
from ironscale.net.stream import Stream
from ironscale.net.upstream import Pool, Upstreams
from ironscale.net.upstream_connection import Attempt, Connection
from ironscale.standins.discovery import listing
from ironscale.standins.http import ok, read_message
from ironscale.standins.upstream import Peer, hang, reply, reset
from tests.ends.test_clients import finish_all
from tests.sockets import Scene, open_with_request, run, until
from tests.test_upstream import GET, members, now_us


@pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", b"nonsense\r\n\r\n"])
def test_an_ended_attempt_is_closed_at_its_upstream_in_the_same_loop_iteration(answer: bytes) -> None:
    """Guards against two copies of a request in progress: the event loop closes a connection only in its next
    iteration, and a retry may be written in this one. The test reads the upstream's end before the loop runs again."""
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            entry = {"instanceId": "s", "hostPort": f"127.0.0.1:{listener.getsockname()[1]}", "lifecycle": "ready"}
            upstreams = Upstreams(now_us, 15_000_000, 1_000_000, 10)
            upstreams.apply(members(entry), True)
            ends: list[Outcome] = []
            attempt = Attempt(lambda: GET, lambda: True, lambda outcome, _: ends.append(outcome))
            next(iter(upstreams.pools.values())).start(attempt)
            accepted = await asyncio.to_thread(listener.accept)
            await until(lambda: attempt.connection is not None)
            with accepted[0] as peer:
                assert attempt.connection is not None
                if answer:
                    attempt.connection.data_received(answer)
                attempt.give_up(Outcome.TIMEOUT)
                peer.setblocking(False)
                got = b""
                while piece := peer.recv(4096):  # raises BlockingIOError if it is still open
                    got += piece
                assert got == GET and len(ends) == 1
            upstreams.close()

    run(test)


class ConnectGate:
    """Delays connections to upstreams, except the first `passing` ones, until it is opened."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, passing: int = 0) -> None:
        self.open = asyncio.Event()
        self.passing, self.held = passing, 0
        real = Pool.connect

        async def connect(pool: Pool, attempt: Attempt) -> None:
            self.passing -= 1
            if self.passing < 0:
                self.held += 1
                await self.open.wait()
            await real(pool, attempt)

        monkeypatch.setattr(Pool, "connect", connect)


@pytest.mark.parametrize(("past_us", "sends"), [(1_190_000, 1), (1_201_000, 0)])
def test_a_keyed_retry_is_sent_only_within_the_memory_span(
        past_us: int, sends: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """The retry is decided in time, but waits to connect. memory-span is 1.2 s from the send that may have run."""
    async def test() -> None:
        peers = [await Peer(reset).start(), await Peer(reset).start()]
        scene = await Scene().start(*(peer.entry(f"s-{i}") for i, peer in enumerate(peers)))
        gate = ConnectGate(monkeypatch, passing=1)
        calling = asyncio.create_task(scene.call("mark"))
        await until(lambda: gate.held)  # the retry that follows the reset
        for peer in peers:
            peer.behave = reply(ok())
        first = next(iter(scene.sidecar.balancer.requests.values())).attempts[0]
        scene.sidecar.clock.offset_ns += (first.sent_us + past_us - scene.sidecar.clock.now_us()) * 1000
        gate.open.set()
        answer = await calling
        assert sum(len(peer.got) for peer in peers) == 1 + sends
        assert answer.status == (200 if sends else 502)  # not 503, which would promise that nothing ran

    run(test)


@pytest.mark.parametrize("lane", ["view", "pay", "mark"])
def test_nothing_is_sent_on_a_connection_established_after_the_deadline(
        lane: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"))
        gate = ConnectGate(monkeypatch)
        calling = asyncio.create_task(scene.call(lane))
        await until(lambda: scene.sidecar.upstreams.tasks)
        request = next(iter(scene.sidecar.requests.values()))
        # as if the process had no CPU time: the timeout is due as well, but its timer has not run yet
        scene.sidecar.clock.offset_ns += (request.deadline_us - scene.sidecar.clock.now_us()) * 1000
        gate.open.set()
        answer = await calling
        assert answer.status == 503 and not peer.got  # never sent, so it is refused for every request class
        await finish_all(scene, peer)

    run(test)


@pytest.mark.parametrize("how", ["draining", "replaced", "gone"])
def test_a_connection_established_after_its_upstream_left_carries_nothing(
        how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"))
        await until(lambda: scene.discovery.writers)
        gate = ConnectGate(monkeypatch)
        calling = asyncio.create_task(scene.call("pay"))
        await until(lambda: scene.sidecar.upstreams.tasks)
        entries = {"draining": [peer.entry("s-1", lifecycle="draining")], "gone": [],
                   "replaced": [peer.entry("s-2", startedAtMs=5)]}[how]
        scene.discovery.line(listing(*entries, generation=42))
        await until(lambda: scene.sidecar.discovery.generation == 42)
        task = next(iter(scene.sidecar.upstreams.tasks))
        gate.open.set()
        await until(task.done)
        if how == "replaced":  # the new process may get the request, on a new connection
            assert (await calling).status == 200 and len(peer.got) == 1
        else:
            assert (await calling).status == 503 and not peer.got
        await finish_all(scene, peer)

    run(test)


@pytest.mark.parametrize(("lane", "status"), [("view", 503), ("pay", 502), ("mark", 502)])
@pytest.mark.parametrize("first", ["answer", "deadline"])
def test_deadline_and_answer_in_the_same_loop_iteration_give_one_answer(lane: str, status: int, first: str) -> None:
    """Tests both orders: whichever is handled first determines the answer."""
    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        calling = asyncio.create_task(scene.call(lane))
        await until(lambda: peer.got)
        request = next(iter(scene.sidecar.requests.values()))
        connection: Connection = next(iter(next(iter(scene.sidecar.upstreams.pools.values())).busy))
        scene.sidecar.clock.offset_ns += (request.deadline_us - scene.sidecar.clock.now_us()) * 1000
        if first == "answer":
            connection.data_received(ok())
            scene.sidecar.timers.fire()
        else:
            scene.sidecar.timers.fire()
            connection.data_received(ok())
        assert (await calling).status == (200 if first == "answer" else status)
        await finish_all(scene, peer)
        assert len(peer.got) == 1

    run(test)


@pytest.mark.parametrize("remaining", ["0m", "1m", "7999u", "8m"])
def test_a_request_with_too_little_time_is_refused_and_not_sent(remaining: str) -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"))
        assert (await scene.call("pay", remaining=remaining)).status == 503 and not peer.got
        await finish_all(scene, peer)

    run(test)


def test_a_waiting_request_is_answered_although_the_list_fails() -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        calls = [asyncio.create_task(scene.call()) for _ in range(2)]
        await until(lambda: scene.sidecar.balancer.buffer is not None)
        scene.sidecar.on_list(ListKind.FAILED, None)
        peer.behave = reply(ok())
        peer.answer_held(ok())
        assert [(await call).status for call in calls] == [200, 200]

    run(test)


# Guards against a remaining time that was computed before the connect and includes time that has passed since.
def test_a_request_on_a_late_connection_carries_the_time_left_then(
        monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        gate = ConnectGate(monkeypatch)
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"))
        calling = asyncio.create_task(scene.call("pay", remaining="8000m"))
        await until(lambda: gate.held)
        late_ns = 700_000_000
        scene.sidecar.clock.offset_ns += late_ns  # as if that much time had passed
        gate.open.set()
        assert (await calling).status == 200
        told_us = int(peer.got[0].headers["x-remaining"].removesuffix("u"))
        assert told_us <= 8_000_000 - late_ns // 1000

    run(test)


def limit_first_write(monkeypatch: pytest.MonkeyPatch) -> list[Stream]:
    """Lets the kernel accept only ten bytes of each request to an upstream, until the test calls `send` on the streams
    that this returns."""
    held: list[Stream] = []
    real = Stream.send

    def send(stream: Stream) -> None:
        if isinstance(stream.owner, Connection) and stream not in held:
            held.append(stream)
            del stream.write_buffer[:stream.sock.send(stream.write_buffer[:10])]
        else:
            real(stream)

    monkeypatch.setattr(Stream, "send", send)
    return held


# Guards against a request whose unwritten rest reaches its upstream after the request has ended.
@pytest.mark.parametrize("end", ["its client leaves", "its time ends"])
@pytest.mark.parametrize("lane", ["view", "pay", "mark"])
def test_a_request_half_written_at_its_end_is_never_completed(
        end: str, lane: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        held = limit_first_write(monkeypatch)
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"))
        reader, writer = await open_with_request(scene.port, scene.request(lane))
        await until(lambda: held)
        request = next(iter(scene.sidecar.requests.values()))
        if end == "its client leaves":
            writer.close()
            await until(lambda: not scene.sidecar.by_txn)
        else:
            scene.sidecar.fail(request.ident)
            assert (await read_message(reader)).status == 502
            writer.close()
        held[0].send()  # the kernel accepts the rest now
        await finish_all(scene, peer)
        assert not peer.got and not scene.sidecar.requests

    run(test)


# Guards against counting a lack of resources on this machine as a failure of the upstream.
@pytest.mark.parametrize(("number", "outcome"), [
    (errno.EADDRNOTAVAIL, Outcome.NOT_SENT), (errno.ENOBUFS, Outcome.NOT_SENT), (errno.ENFILE, Outcome.NOT_SENT),
    (errno.ECONNREFUSED, Outcome.CONNECT_FAILED), (errno.EHOSTUNREACH, Outcome.CONNECT_FAILED),
    (errno.ENETUNREACH, Outcome.CONNECT_FAILED)])
def test_a_failed_connect_tells_local_faults_from_upstream_faults(
        number: int, outcome: Outcome, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        upstreams = Upstreams(now_us, 15_000_000, 1_000_000, 10)
        peer = await Peer().start()
        upstreams.apply(members(peer.entry("s-1")), True)
        ends: list[Outcome] = []

        monkeypatch.setattr(socket.socket, "connect_ex", lambda sock, address: number)
        next(iter(upstreams.pools.values())).start(
            Attempt(lambda: GET, lambda: True, lambda found, _: ends.append(found)))
        await until(lambda: ends)
        assert ends == [outcome] and upstreams.open_count == 0
        upstreams.close()

    run(test)
