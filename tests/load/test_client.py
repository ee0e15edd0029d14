"""Clients against targets that do all that targets do: each try ends once, and as what it was."""

from __future__ import annotations

import asyncio
import errno
import itertools
import socket
import struct
import time
from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest

from ironscale.load import client as c
from ironscale.load.outcome import End, Sample
from ironscale.load.schedule import NEW_CONNECTION, SLOW_READER, Schedule
from ironscale.standins.http import Message, ok
from ironscale.standins.upstream import Behaviour, Peer, reply
from tests.sockets import free_port, run, until

DEADLINE_US = 400_000
VIEW = c.KindSpec("view", "idempotent", DEADLINE_US, False)
PAY = c.KindSpec("pay", "at_most_once", DEADLINE_US, False)


def spec(port: int, kind: c.KindSpec = VIEW, connections: int = 10, **changes: Any) -> c.Spec:
    return c.Spec(
        **{
            **{
                "run": "r",
                "addresses": (("127.0.0.1", port),),
                "protocol": "sidecar",
                "path": "/api",
                "body_names_request": True,
                "kinds": (kind,),
                "tenants": ("north",),
                "connections": connections,
                "retries": 0,
                "slow_reader_us": 50_000,
                "duration_us": 2_000_000,
                "worker": 0,
                "workers": 1,
            },
            **changes,
        }
    )


def part(*at_us: int, flags: int = 0, patience_us: int = DEADLINE_US) -> Schedule:
    found = Schedule()
    for at in at_us:
        for column, value in zip(found.columns(), (at, 0, 0, 3, 20, 0, patience_us, flags), strict=True):
            column.append(value)
    return found


async def play(told: c.Spec, schedule: Schedule, most_s: float = 20.0) -> list[Sample]:
    samples: list[Sample] = []
    client = c.Client(told, schedule, samples.append)
    client.start(time.monotonic_ns())
    await client.wait(most_s)
    assert not client.tries and not client.connections and not client.idle
    return samples


async def echo(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(ok(message.headers["x-txn"].encode()))


def raw(data: bytes, close: bool = False) -> Behaviour:
    async def behave(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(data.replace(b"ID", message.headers["x-txn"].encode()))
        if close:
            writer.close()

    return behave


async def reset(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def never(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
    pass


async def drip(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
    for byte in ok(message.headers["x-txn"].encode()):
        writer.write(bytes([byte]))
        await asyncio.sleep(1.0)  # longer than the client waits for it all


async def twice(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(2 * ok(message.headers["x-txn"].encode()))


ID = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nID"


@pytest.mark.parametrize(
    ("behave", "end", "status"),
    [
        (echo, End.SERVED, 200),
        (reply(ok(b"r-7-0")), End.WRONG_BODY, 200),
        (reply(ok(b"")), End.WRONG_BODY, 200),
        (reply(b"HTTP/1.1 503 No\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n"), End.REFUSED, 503),
        (reply(b"HTTP/1.1 429 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"), End.REFUSED, 429),
        (reply(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), End.REFUSED_BARE, 503),
        (reply(b"HTTP/1.1 502 No\r\nContent-Length: 0\r\n\r\n"), End.FAILED, 502),
        (reply(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 502 No\r\nContent-Length: 0\r\n\r\n"), End.FAILED, 502),
        (reset, End.RESET, 0),
        (raw(ID[:-1], close=True), End.CLOSED, 0),
        (raw(b"what?\r\n\r\n"), End.GARBLED, 0),
        (never, End.NO_ANSWER, 0),
        (drip, End.NO_ANSWER, 0),
    ],
)
def test_each_try_ends_as_what_it_was(behave: Behaviour, end: End, status: int) -> None:
    async def test() -> None:
        peer = await Peer(behave).start()
        (sample,) = await play(spec(peer.port), part(1_000))
        assert (sample.end, sample.status) == (end, status)
        assert sample.sched_us == 1_000 <= sample.acted_us <= sample.sent_us <= sample.done_us
        if end is End.NO_ANSWER:
            assert sample.done_us - sample.acted_us >= DEADLINE_US + 50_000
        await peer.stop()

    run(test)


def test_a_second_answer_is_seen_and_not_taken_for_the_next_requests() -> None:
    async def test() -> None:
        peer = await Peer(twice).start()
        samples = await play(spec(peer.port, connections=1), part(0, 100_000))
        assert Counter(s.end for s in samples) == {End.SERVED: 2, End.EXTRA: 2}
        assert {(s.index, s.end) for s in samples} == {(0, End.SERVED), (0, End.EXTRA), (1, End.SERVED), (1, End.EXTRA)}
        await peer.stop()

    run(test)


def test_a_late_second_answer_on_a_kept_connection_is_seen() -> None:
    async def late(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(ok(message.headers["x-txn"].encode()))
        await writer.drain()
        held = asyncio.get_running_loop().create_future()
        peer.held.append(held)
        writer.write(await held)

    async def test() -> None:
        peer = await Peer(late).start()
        samples: list[Sample] = []
        client = c.Client(spec(peer.port), part(0, 1_500_000), samples.append)
        client.start(time.monotonic_ns())
        await until(lambda: client.idle and peer.held)
        peer.answer_held(ok(b"r-0-0"))
        await until(lambda: len(samples) == 2)
        assert [(s.index, s.end) for s in samples] == [(0, End.SERVED), (0, End.EXTRA)] and not client.idle
        client.stop()
        await peer.stop()

    run(test)


def test_nobody_listens() -> None:
    async def test() -> None:
        (sample,) = await play(spec(free_port()), part(0))
        assert sample.end == End.CONNECT_REFUSED
        assert sample.sent_us == -1

    run(test)


def test_nobody_accepts() -> None:
    async def test() -> None:
        with socket.socket() as deaf:
            deaf.bind(("127.0.0.1", 0))
            deaf.listen(0)
            fill = []
            for _ in range(4):  # its queue is full; what comes now waits in vain
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(deaf.getsockname())
                fill.append(sock)
            (sample,) = await play(spec(deaf.getsockname()[1]), part(0))
            assert sample.end == End.CONNECT_TIMEOUT and sample.sent_us == -1
            for sock in fill:
                sock.close()

    run(test)


@pytest.mark.parametrize(("code", "end"), [(errno.EMFILE, End.NO_SOCKET), (errno.EADDRNOTAVAIL, End.NO_PORT)])
def test_what_this_machine_lacks_is_the_generators_own_failure(
    monkeypatch: pytest.MonkeyPatch, code: int, end: End
) -> None:
    async def test() -> None:
        def fails(*arguments: Any) -> None:
            raise OSError(code, "no")

        monkeypatch.setattr(
            c, "socket", SimpleNamespace(socket=fails, AF_INET=socket.AF_INET, SOCK_STREAM=socket.SOCK_STREAM)
        )
        (sample,) = await play(spec(9), part(0))
        assert sample.end == end

    run(test)


def test_requests_go_out_on_time_whatever_comes_back() -> None:
    """The first connection's server never answers; 50 further requests do not wait for it."""

    async def test() -> None:
        peer = await Peer(never).start()
        samples = await play(spec(peer.port, connections=100), part(*range(0, 500_000, 10_000)))
        assert len(samples) == 50 and all(s.end == End.NO_ANSWER for s in samples)
        assert sum(peer.executions.values()) == 50
        # by the time the first is given up, most others had been sent
        assert sum(1 for s in samples if s.sent_us < samples[0].done_us) >= 25
        await peer.stop()

    run(test)


def test_without_a_free_connection_the_wait_counts_from_the_moment_due() -> None:
    async def test() -> None:
        gate = asyncio.Event()

        async def gated(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            await echo(peer, message, writer)

        peer = await Peer(gated).start()
        samples: list[Sample] = []
        client = c.Client(spec(peer.port, connections=1, duration_us=200_000), part(0, 1_000, 2_000), samples.append)
        client.start(time.monotonic_ns())
        await until(lambda: len(client.waiting) == 2)
        assert client.starved == 2
        opened_us = client.now_us()
        gate.set()
        await client.wait(20)
        assert [s.end for s in samples] == [End.SERVED] * 3
        # both numbers: from the moment due it waited, from the send it did not
        assert all(s.acted_us >= opened_us > s.sched_us + 0 for s in samples[1:])
        await peer.stop()

    run(test)


def test_a_client_returns_when_it_is_told_to_and_marks_it() -> None:
    async def test() -> None:
        async def once(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
            if len(peer.got) == 1:
                writer.write(b"HTTP/1.1 503 No\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n")
            else:
                await echo(peer, message, writer)

        peer = await Peer(once).start()
        first, second = await play(spec(peer.port, PAY, retries=1), part(0))
        assert (first.number, first.end) == (0, End.REFUSED) and (second.number, second.end) == (1, End.SERVED)
        assert second.sched_us - first.done_us >= 199_000 and second.sent_us >= second.sched_us
        assert [m.headers.get("x-resent") for m in peer.got] == [None, "1"]
        assert len({m.headers["x-txn"] for m in peer.got}) == 2  # an id is new with every request
        assert peer.got[0].first == "POST /api?sid=0000000000000003 HTTP/1.1" and len(peer.got[0].body) == 20
        await peer.stop()

    run(test)


# Guards against a retry that comes early by the time for which the client was held up as it handled the answer.
def test_a_retry_counts_from_the_end_that_is_recorded(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        reads = itertools.count()
        plain = c.Client.now_us
        monkeypatch.setattr(c.Client, "now_us", lambda client: plain(client) + 5_000 * next(reads))
        peer = await Peer(reply(b"HTTP/1.1 503 No\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n")).start()
        first, second = await play(spec(peer.port, retries=1), part(0))
        assert second.sched_us - first.done_us == 200_000
        await peer.stop()

    run(test)


def test_retries_end_with_what_was_granted() -> None:
    async def test() -> None:
        peer = await Peer(reply(b"HTTP/1.1 503 No\r\nRetry-After: 0.01\r\nContent-Length: 0\r\n\r\n")).start()
        samples = await play(spec(peer.port, retries=3), part(0))
        assert [(s.number, s.end) for s in samples] == [(n, End.REFUSED) for n in range(4)]
        await peer.stop()

    run(test)


def test_a_client_that_gives_up_leaves() -> None:
    async def test() -> None:
        peer = await Peer(never).start()
        (sample,) = await play(spec(peer.port), part(0, patience_us=100_000))
        assert sample.end == End.GAVE_UP and sample.done_us - sample.acted_us >= 100_000
        await until(lambda: not peer.writers)  # its connection is gone
        await peer.stop()

    run(test)


def test_what_was_given_up_takes_its_connection_along() -> None:
    """A late answer on a kept one would be taken for the next request's."""

    async def test() -> None:
        peer = await Peer(never).start()
        samples: list[Sample] = []
        client = c.Client(spec(peer.port), part(0, 600_000_000, patience_us=50_000), samples.append)
        client.start(time.monotonic_ns())
        await until(lambda: samples)
        assert samples[0].end == End.GAVE_UP and not client.connections and not client.idle
        await until(lambda: not peer.writers)  # while the run goes on
        client.stop()
        await peer.stop()

    run(test)


def test_a_kept_connection_closed_under_a_request_costs_one_more_send_and_no_more() -> None:
    async def test() -> None:
        async def close_second(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
            if len(peer.got) == 2:
                writer.transport.abort()
            else:
                await echo(peer, message, writer)

        peer = await Peer(close_second).start()
        samples = await play(spec(peer.port, connections=1), part(0, 300_000))
        assert [(s.end, s.resent) for s in samples] == [(End.SERVED, 0), (End.SERVED, 1)]
        assert [m.headers["x-txn"] for m in peer.got] == ["r-0-0", "r-1-0", "r-1-0"]
        assert samples[1].done_us - samples[1].sched_us < 5_000_000

        peer.behave = reset
        (sample,) = await play(spec(peer.port), part(0))  # on a new one it is the target's doing
        assert sample.end == End.RESET
        await peer.stop()

    run(test)


def test_churn_and_slow_readers() -> None:
    async def test() -> None:
        peer = await Peer(echo).start()
        await play(spec(peer.port), part(0, 100_000, 200_000, flags=NEW_CONNECTION))
        assert peer.opened == 3
        (sample,) = await play(spec(peer.port), part(0, flags=SLOW_READER))
        assert sample.end == End.SERVED and sample.done_us - sample.sent_us >= 50_000
        await peer.stop()

    run(test)


def test_a_connection_that_came_up_too_late_serves_who_waits_for_one() -> None:
    async def test() -> None:
        peer = await Peer(echo).start()
        samples: list[Sample] = []
        client = c.Client(spec(peer.port, connections=1), part(0, 0), samples.append)
        client.next, client.start_ns = 2, time.monotonic_ns()
        client.act(client.begin(0, 0, 0, 0))
        client.act(client.begin(1, 1, 0, 0))
        first = next(tried for tried in client.tries if tried.index == 0)
        assert len(client.waiting) == 1 and client.opening == 1
        client.finish(first, End.GAVE_UP)  # while its connection comes up
        await client.wait(20)
        assert [(s.index, s.end) for s in samples] == [(0, End.GAVE_UP), (1, End.SERVED)]
        await peer.stop()

    run(test)


def test_a_step_of_the_wall_clock_moves_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        peer = await Peer(echo).start()
        real, real_ns = time.time, time.time_ns
        steps = iter([0, 3600, -86_400, 7] * 100_000)
        monkeypatch.setattr(time, "time", lambda: real() + next(steps))
        monkeypatch.setattr(time, "time_ns", lambda: real_ns() + next(steps) * 10**9)
        samples = await play(spec(peer.port), part(*range(0, 200_000, 10_000)))
        assert len(samples) == 20 and all(s.end == End.SERVED for s in samples)
        assert all(0 <= s.acted_us - s.sched_us < 5_000_000 and 0 <= s.done_us - s.sent_us < 5_000_000 for s in samples)
        await peer.stop()

    run(test)


def test_a_run_that_must_end_tells_of_everything() -> None:
    async def test() -> None:
        peer = await Peer(never).start()
        samples = await play(spec(peer.port, connections=1), part(0, 1_000, 3_600_000_000), most_s=0.3)
        assert [(s.index, s.end) for s in samples] == [(0, End.NO_ANSWER), (1, End.UNSENT), (2, End.UNSENT)]
        await peer.stop()

    run(test)


def test_the_pacer_is_never_early_and_takes_the_latest_word() -> None:
    from ironscale.load.pacing import Pacer

    async def test() -> None:
        fired: list[int] = []
        done = asyncio.Event()

        def act() -> None:
            fired.append(time.monotonic_ns())
            done.set()

        pacer = Pacer(act)
        for _ in range(20):
            done.clear()
            at_ns = time.monotonic_ns() + 1_500_000
            pacer.arm(at_ns + 10**12)
            pacer.arm(at_ns)
            await done.wait()
            assert fired[-1] >= at_ns
        assert len(fired) == 20
        pacer.close()

    run(test)


def test_without_a_timerfd_the_loops_timers_serve(monkeypatch: pytest.MonkeyPatch) -> None:
    from ironscale.load import pacing

    class Libc:
        pass

    async def test() -> None:
        monkeypatch.setattr(pacing, "ctypes", SimpleNamespace(CDLL=lambda *a, **k: Libc()))
        peer = await Peer(echo).start()
        samples = await play(spec(peer.port), part(0, 50_000))
        assert [s.end for s in samples] == [End.SERVED] * 2 and all(s.acted_us >= s.sched_us for s in samples)
        await peer.stop()

    run(test)
