"""Tests the outcomes of attempts and the reuse of idle connections, on loopback sockets."""

from __future__ import annotations

import asyncio
import errno
import gc
import socket
import struct
import time
import weakref
from collections.abc import Callable
from typing import Any

import pytest

from ironscale.interface import Outcome
from ironscale.net import connection_reuse
from ironscale.net import upstream as module
from ironscale.net.connection_metrics import CloseReason
from ironscale.net.listing import ListParser, Member
from ironscale.net.upstream import Upstreams
from ironscale.net.upstream_connection import Answer, Attempt
from ironscale.standins.discovery import listing
from ironscale.standins.http import TURNED_AWAY, Message, ok
from ironscale.standins.upstream import Behaviour, Peer, hang, reply, reset
from tests.reuse import reuse_at_once
from tests.sockets import run, until

GET = b"GET /api HTTP/1.1\r\nX-Txn: 1\r\n\r\n"


def now_us() -> int:
    return time.time_ns() // 1000


def members(*entries: dict[str, Any]) -> list[Member]:
    return ListParser(["a"], ["large"]).parse(listing(*entries)).members


class UpstreamHarness:
    """An `Upstreams` with one upstream in its list."""

    def __init__(self, peer: Peer, idle_timeout_us: int = 15_000_000, max_open: int = 100,
                 connect_timeout_us: int = 5_000_000, **changes: Any) -> None:
        self.peer = peer
        self.upstreams = Upstreams(now_us, idle_timeout_us, connect_timeout_us, max_open)
        self.announce(**changes)
        self.pool = next(iter(self.upstreams.pools.values()))

    def announce(self, full: bool = True, **changes: Any) -> None:
        self.upstreams.apply(members(self.peer.entry("s-1", **changes)), full)

    def start(self, payload: bytes = GET, is_wanted: bool = True) -> tuple[Attempt, asyncio.Future[Any]]:
        ended: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        attempt = Attempt(lambda: payload, lambda: is_wanted, lambda *end: ended.set_result(end))
        self.pool.start(attempt)
        return attempt, ended

    async def outcome(self, payload: bytes = GET) -> Outcome:
        outcome: Outcome = (await self.start(payload)[1])[0]
        return outcome


def status(line: str, extra: str = "") -> bytes:
    return f"HTTP/1.1 {line}\r\n{extra}Content-Length: 2\r\n\r\nno".encode()


@pytest.mark.parametrize(("behave", "expected"), [
    (reply(ok()), Outcome.OK),
    (reply(status("500 Error")), Outcome.ERROR),
    (reply(status("503 Busy", "X-Turned-Away: 1\r\n")), Outcome.FULL),
    (reply(status("504 Late", "X-Turned-Away: 1\r\n")), Outcome.FULL),
    # a 503 or 504 without the header may have run: counted as refused, the request would run twice
    (reply(status("503 Busy")), Outcome.ERROR),
    (reply(status("504 Late")), Outcome.ERROR),
    (reply(status("503 Busy", "X-Turned-Away: 0\r\n")), Outcome.ERROR),
    (reply(status("500 Error", "X-Turned-Away: 1\r\n")), Outcome.ERROR),
    (reply(status("404 Unknown")), Outcome.ERROR),
    (reply(b"nonsense\r\n\r\n"), Outcome.RESET),
    # malformed, oversized and endless answers: the request has run, and the answer must not fill the memory
    (reply(b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nno"), Outcome.RESET),
    (reply(b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 2\r\n\r\nno"), Outcome.RESET),
    (reply(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nno"), Outcome.RESET),
    (reply(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nno"), Outcome.RESET),
    (reply(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\nzz\r\n"), Outcome.RESET),
    (reply(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nno"), Outcome.RESET),
    (reply(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + bytes(65537)), Outcome.RESET),
    (reply(b"HTTP/1.1 200 OK\r\n" + b"X-Pad: p\r\n" * 200), Outcome.RESET),
    (reply(b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 70_000), Outcome.RESET),
    (reply(b"HTTP/1.1 102 Processing\r\n\r\n" * 200), Outcome.RESET),
    (reply(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + b"X-Pad: p\r\n" * 200),
     Outcome.RESET),
    (reply(b"HTTP/1.1 200 OK\r\n\r\nwithout a length"), Outcome.RESET),
    (reply(b"HTTP/1.1 101 Switching\r\n\r\n" + ok()), Outcome.RESET),
    (reply(b"HTTP/1.1 099 Odd\r\n\r\n" + ok()), Outcome.RESET),
    (reply(b"HTTP/1.1 204 None\r\n\r\n"), Outcome.ERROR),
    (reset, Outcome.RESET),
])
def test_each_response_maps_to_its_outcome(behave: Behaviour, expected: Outcome) -> None:
    async def test() -> None:
        harness = UpstreamHarness(await Peer(behave).start())
        assert await harness.outcome() is expected
        if expected is Outcome.RESET:
            assert harness.upstreams.open_count == 0  # closed at once, though the upstream keeps it open

    run(test)


def test_a_truncated_answer_is_a_reset() -> None:
    async def half(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
        writer.close()

    async def test() -> None:
        assert await UpstreamHarness(await Peer(half).start()).outcome() is Outcome.RESET

    run(test)


def test_a_refused_connection_means_that_the_request_never_ran() -> None:
    async def test() -> None:
        peer = await Peer().start()
        assert peer.server is not None
        peer.server.close()
        harness = UpstreamHarness(peer)
        assert await harness.outcome() is Outcome.CONNECT_FAILED
        assert harness.upstreams.open_count == 0

    run(test)


def test_a_connection_lost_before_the_last_byte_is_written_means_never_ran() -> None:
    """Guards against failing a request, as one that may have run, that the upstream never received completely."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            peer = Peer()
            peer.port = listener.getsockname()[1]
            harness = UpstreamHarness(peer)
            listener.setblocking(False)
            _, ended = harness.start(b"x" * (64 << 20))  # more than the sockets' buffers hold
            accepted, _ = await loop.sock_accept(listener)
            await loop.sock_recv(accepted, 1)
            accepted.close()  # a reset, because bytes are unread
        assert (await ended)[0] is Outcome.CONNECT_FAILED

    run(test)


def test_a_large_request_counts_as_written_once_its_last_byte_is() -> None:
    async def test() -> None:
        harness = UpstreamHarness(await Peer(reset).start())
        body = b"x" * (32 << 20)
        head = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % len(body)
        assert await harness.outcome(head + body) is Outcome.RESET

    run(test)


def test_connections_are_reused_newest_first(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    reuse_at_once(monkeypatch)
    async def test() -> None:
        peer = await Peer(hang).start()
        harness = UpstreamHarness(peer)
        both = [harness.start(), harness.start()]
        await until(lambda: len(peer.got) == 2)
        peer.answer_held(ok())
        await asyncio.gather(*(ended for _, ended in both))
        newest = harness.pool.idle[-1]
        _, ended = harness.start()
        assert newest.attempt is not None and peer.opened == 2
        await until(lambda: peer.held)
        peer.answer_held(ok())
        await ended

    run(test)


def test_a_connection_of_an_abandoned_attempt_is_closed_and_not_reused() -> None:
    """Guards against a late answer that is taken for the answer to the next request."""

    async def test() -> None:
        peer = await Peer(hang).start()
        harness = UpstreamHarness(peer)
        attempt, ended = harness.start()
        await until(lambda: peer.got)
        attempt.give_up(Outcome.TIMEOUT)
        assert (await ended)[0] is Outcome.TIMEOUT
        assert harness.upstreams.open_count == 0
        peer.behave = reply(ok())
        assert await harness.outcome() is Outcome.OK and peer.opened == 2

    run(test)


def test_an_attempt_abandoned_before_the_connect_never_ran_and_writes_nothing(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    reuse_at_once(monkeypatch)
    async def test() -> None:
        peer = await Peer().start()
        harness = UpstreamHarness(peer)
        attempt, ended = harness.start()
        attempt.give_up(Outcome.TIMEOUT)
        assert (await ended)[0] is Outcome.CONNECT_FAILED
        await until(lambda: harness.pool.idle)  # it was established nevertheless, and is kept for the next attempt
        assert await harness.outcome() is Outcome.OK
        assert peer.opened == 1 and len(peer.got) == 1

    run(test)


@pytest.mark.parametrize("stray", [b"", b"HTTP/1.1 408 Timeout\r\n\r\n"])
def test_a_closed_connection_or_one_with_stray_data_is_not_reused_before_the_loop_reads_it(
        stray: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against sending on it: the request would end as a reset, and an unsafe one may not be retried."""
    reuse_at_once(monkeypatch)

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            peer = Peer()
            peer.port = listener.getsockname()[1]
            harness = UpstreamHarness(peer)
            _, ended = harness.start()
            first, _ = await loop.sock_accept(listener)
            await loop.sock_recv(first, 1000)
            await loop.sock_sendall(first, ok())
            assert (await ended)[0] is Outcome.OK
            if stray:
                first.send(stray)  # no await from here to `start`, so the event loop can't have read it
            else:
                first.close()
            _, ended = harness.start()
            second, _ = await loop.sock_accept(listener)
            await loop.sock_recv(second, 1000)
            await loop.sock_sendall(second, ok())
            assert (await ended)[0] is Outcome.OK
            first.close()
            second.close()

    run(test)


def test_an_idle_connection_that_ends_or_receives_data_is_closed() -> None:
    async def test() -> None:
        peer = await Peer().start()
        harness = UpstreamHarness(peer)
        ends: list[Callable[[asyncio.StreamWriter], None]] = [
            lambda w: w.write(ok()), lambda w: w.write_eof(), lambda w: w.transport.abort()]
        for end in ends:
            assert await harness.outcome() is Outcome.OK
            end(peer.writers.copy().pop())
            await until(lambda: harness.upstreams.open_count == 0)
            await until(lambda: not peer.writers)

    run(test)


@pytest.mark.parametrize("more", [
    ok(b"two"), b"\xff\xfe\x00noise\r\n\r\n", b"HTT", b"HTTP/1.1 2x0 OK\r\n\r\n"])
def test_data_after_an_answer_closes_the_connection_but_keeps_the_answer(more: bytes) -> None:
    """Guards against discarding a complete answer when invalid data in the same read makes the parser fail."""

    async def test() -> None:
        harness = UpstreamHarness(await Peer(reply(ok(b"one") + more)).start())
        outcome, answer = await harness.start()[1]
        assert outcome is Outcome.OK and answer.body == b"one"
        assert not harness.pool.idle and harness.upstreams.open_count == 0

    run(test)


def test_a_late_duplicate_is_not_taken_for_the_next_answer(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against taking it for the answer to the request that follows immediately on the same connection."""
    assert connection_reuse.MIN_IDLE_US > 0
    reuse_at_once(monkeypatch)
    monkeypatch.setattr(connection_reuse, "MIN_IDLE_US", 20_000_000)

    async def test() -> None:
        answered: list[asyncio.StreamWriter] = []

        async def one(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
            answered.append(writer)
            writer.write(ok(b"one"))

        peer = await Peer(one).start()
        harness = UpstreamHarness(peer)
        follower: list[asyncio.Future[Any]] = []
        first = Attempt(lambda: GET, lambda: True, lambda *end: follower.append(harness.start()[1]))
        harness.pool.start(first)
        await until(lambda: follower)
        # only to the first connection: the next request's may exist already, and stray data would close it
        peer.behave = reply(ok(b"next"))
        answered[0].write(ok(b"copy"))
        assert (await follower[0])[1].body in (b"one", b"next") and peer.opened == 2

    run(test)


def test_a_drain_does_not_interrupt_an_answer_that_arrives_in_pieces() -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        harness = UpstreamHarness(peer)
        _, ended = harness.start()
        await until(lambda: peer.got)
        harness.announce(full=False, lifecycle="draining")
        for piece in (b"HTTP/1.1 200 OK\r\nContent-", b"Length: 4\r\n\r\nab", b"cd"):
            peer.writers.copy().pop().write(piece)
            await asyncio.sleep(0.01)
        outcome, answer = await ended
        assert (outcome, answer.body) == (Outcome.OK, b"abcd") and harness.upstreams.open_count == 0

    run(test)


def test_trailers_are_not_headers() -> None:
    async def test() -> None:
        data = b"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Turned-Away: 1\r\n\r\n"
        assert await UpstreamHarness(await Peer(reply(data)).start()).outcome() is Outcome.ERROR

    run(test)


@pytest.mark.parametrize("full", [True, False])
def test_an_address_belongs_to_the_upstream_that_started_last(full: bool) -> None:
    """Guards against sending a cold process the load of the upstream that it has replaced at this address."""

    async def test() -> None:
        peer = await Peer().start()
        harness = UpstreamHarness(peer, startedAtMs=1000)
        new = peer.entry("s-2", startedAtMs=2000)
        told = [new, peer.entry("s-1", startedAtMs=1000)] if full else [new]
        settled = harness.upstreams.resolve_address_conflicts(members(*told), full)
        assert {m.name: m.upstream.state.value for m in settled} == {"s-1": "gone", "s-2": "ready"}
        harness.upstreams.apply(settled, full)
        assert [pool.member.name for pool in harness.upstreams.pools.values()] == ["s-2"]

    run(test)


def test_an_interim_answer_is_skipped() -> None:
    async def test() -> None:
        peer = await Peer(reply(b"HTTP/1.1 100 Continue\r\n\r\n" + ok(b"last"))).start()
        outcome, answer = await UpstreamHarness(peer).start()[1]
        assert outcome is Outcome.OK and answer.body == b"last"

    run(test)


def test_a_chunked_answer_is_reassembled() -> None:
    async def test() -> None:
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        outcome, answer = await UpstreamHarness(await Peer(reply(chunked)).start()).start()[1]
        assert (outcome, answer.body) == (Outcome.OK, b"abcde")

    run(test)


def test_idle_connections_of_an_age_that_fails_are_not_reused_for_a_while(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against reusing connections that an upstream closes long before the configured idle timeout: the
    request that reveals it has failed."""
    reuse_at_once(monkeypatch)

    async def test() -> None:
        peer = await Peer().start()
        harness = UpstreamHarness(peer)

        async def next_after(idle_us: int) -> Outcome:
            assert await harness.outcome() is Outcome.OK  # leaves an idle connection
            for other in harness.pool.idle[:-1]:
                other.close(CloseReason.NOT_REUSABLE)  # on a slow machine it may be reusable by now
            harness.pool.idle[-1].idle_since_us -= idle_us
            peer.behave = reset if idle_us > 200_000 else reply(ok())
            first = peer.opened
            _, ended = harness.start()
            kept = harness.pool.busy != set()
            if not kept:
                peer.behave = reply(ok())
            outcome: Outcome = (await ended)[0]
            peer.behave = reply(ok())
            assert kept == (peer.opened == first)
            return outcome

        seen = [await next_after(270_000) for _ in range(6)]
        assert seen == [Outcome.RESET] * 3 + [Outcome.OK] * 3
        opened = peer.opened
        assert await next_after(50_000) is Outcome.OK and peer.opened <= opened + 1  # a younger one is reused
        for _ in range(60):
            harness.upstreams.idle_failures.decay()
        assert await next_after(270_000) is Outcome.RESET  # after the decay it is reused again

    run(test)


def test_a_failed_new_connection_does_not_count_against_idle_ones() -> None:
    async def test() -> None:
        harness = UpstreamHarness(await Peer(reset).start())
        for _ in range(10):
            assert await harness.outcome() is Outcome.RESET
        assert max(harness.upstreams.idle_failures.shares) == 0.0

    run(test)


def test_an_idle_connection_is_closed_before_the_upstream_closes_it(
        monkeypatch: pytest.MonkeyPatch) -> None:
    reuse_at_once(monkeypatch)

    async def test() -> None:
        peer = await Peer().start()
        harness = UpstreamHarness(peer)
        assert await harness.outcome() is Outcome.OK
        harness.pool.idle[0].idle_since_us -= 13_600_000
        assert await harness.outcome() is Outcome.OK and peer.opened == 2  # after 15 s a write ends in a reset
        harness.pool.idle[0].idle_since_us -= 13_600_000
        harness.pool.close_expired()
        assert not harness.pool.idle and harness.upstreams.open_count == 0

    run(test)


@pytest.mark.parametrize("lifecycle", ["draining", "gone"])
def test_a_connection_established_after_the_drain_is_not_written_to(lifecycle: str) -> None:
    async def test() -> None:
        peer = await Peer().start()
        harness = UpstreamHarness(peer)
        _, ended = harness.start()
        harness.announce(full=False, lifecycle=lifecycle)  # the connection is still being established
        assert (await ended)[0] is Outcome.NOT_SENT
        assert not peer.got and harness.upstreams.open_count == 0

    run(test)


def test_a_full_list_without_an_upstream_closes_its_connections() -> None:
    async def test() -> None:
        peer = await Peer().start()
        harness = UpstreamHarness(peer)
        await harness.outcome()
        harness.upstreams.apply([], True)
        assert not harness.upstreams.pools and harness.upstreams.open_count == 0

    run(test)


def test_nothing_is_written_for_a_request_that_has_ended() -> None:
    async def test() -> None:
        peer = await Peer().start()
        harness = UpstreamHarness(peer)
        _, ended = harness.start(is_wanted=False)
        assert (await ended)[0] is Outcome.NOT_SENT
        assert not peer.got and len(harness.pool.idle) == 1

    run(test)


def test_only_older_connections_to_a_restarted_upstream_are_closed() -> None:
    """Guards against using connections to a machine that vanished: they look open and are dead."""

    async def test() -> None:
        peer = await Peer().start()
        harness = UpstreamHarness(peer)
        await harness.outcome()
        harness.announce(full=False, startedAtMs=now_us() // 1000 + 1000)
        assert not harness.pool.idle
        await harness.outcome()
        harness.pool.idle[0].opened_us += 2_000_000  # opened after the start that discovery reports only now
        harness.announce(full=False, startedAtMs=now_us() // 1000 + 1500)
        assert len(harness.pool.idle) == 1

    run(test)


def test_an_upstream_that_moves_is_reached_at_its_new_address() -> None:
    async def test() -> None:
        old, new = await Peer().start(), await Peer().start()
        harness = UpstreamHarness(old)
        await harness.outcome()
        harness.peer = new
        harness.announce(full=False)
        assert await harness.outcome() is Outcome.OK
        assert (len(old.got), len(new.got), len(harness.pool.idle)) == (1, 1, 1)

    run(test)


def test_nothing_is_written_to_an_address_that_changed_during_the_connect() -> None:
    async def test() -> None:
        old, new = await Peer().start(), await Peer().start()
        harness = UpstreamHarness(old)
        _, ended = harness.start()
        await asyncio.sleep(0)  # the connect to the old address has begun
        harness.peer = new
        harness.announce(full=False)
        assert (await ended)[0] is Outcome.NOT_SENT
        assert not old.got and harness.upstreams.open_count == 0

    run(test)


def test_connections_stay_within_the_limit_on_sockets() -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        harness = UpstreamHarness(peer, max_open=1)
        attempt, ended = harness.start()
        await until(lambda: peer.got)
        assert await harness.outcome() is Outcome.NOT_SENT  # never ran, because no second connection was opened
        assert peer.opened == 1
        other = await Peer().start()
        peer.answer_held(ok())
        await ended
        harness.upstreams.apply(members(other.entry("s-2")), False)
        pool = harness.upstreams.pools[members(other.entry("s-2"))[0].upstream.id]
        done: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        pool.start(Attempt(lambda: GET, lambda: True, lambda outcome, answer: done.set_result(outcome)))
        assert await done is Outcome.OK  # the idle connection was closed to make room
        assert harness.upstreams.open_count == 1

    run(test)


def test_without_a_file_descriptor_nothing_is_sent_and_nothing_leaks(monkeypatch: pytest.MonkeyPatch) -> None:
    def out_of_descriptors(*args: object) -> socket.socket:
        raise OSError(errno.EMFILE, "Too many open files")

    async def test() -> None:
        harness = UpstreamHarness(await Peer().start())
        with monkeypatch.context() as patched:
            patched.setattr(socket, "socket", out_of_descriptors)
            assert await harness.outcome() is Outcome.NOT_SENT
        assert harness.upstreams.open_count == 0
        assert await harness.outcome() is Outcome.OK

    run(test)


def test_the_turned_away_header_is_case_insensitive() -> None:
    async def test() -> None:
        assert await UpstreamHarness(await Peer(reply(TURNED_AWAY.lower().replace(b"http/1.1", b"HTTP/1.1"))).start()
                          ).outcome() is Outcome.FULL

    run(test)
    answer = Answer()
    answer.status = 503
    assert answer.outcome() is Outcome.ERROR


def test_sends_are_not_delayed_by_the_kernel() -> None:
    async def test() -> None:
        harness = UpstreamHarness(await Peer().start())
        await harness.outcome()
        sock = harness.pool.idle[0].sock
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) != 0

    run(test)


def test_the_connection_idle_longest_of_all_upstreams_is_closed_to_make_room(
        monkeypatch: pytest.MonkeyPatch) -> None:
    reuse_at_once(monkeypatch)

    async def test() -> None:
        peers = [await Peer().start() for _ in range(4)]
        upstreams = Upstreams(now_us, 15_000_000, 5_000_000, 3)
        upstreams.apply(members(*(peer.entry(f"s-{i}") for i, peer in enumerate(peers))), True)
        pools = list(upstreams.pools.values())

        async def ask(pool: module.Pool) -> Outcome:
            ended: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
            pool.start(Attempt(lambda: GET, lambda: True, lambda outcome, answer: ended.set_result(outcome)))
            return await ended

        for number in (1, 0, 2, 1):  # the first one is asked again, and is no longer the oldest
            assert await ask(pools[number]) is Outcome.OK
        assert [len(pool.idle) for pool in pools] == [1, 1, 1, 0] and peers[1].opened == 1
        assert list(upstreams.idle) == [pool.idle[0] for pool in (pools[0], pools[2], pools[1])]
        assert await ask(pools[3]) is Outcome.OK
        assert [len(pool.idle) for pool in pools] == [0, 1, 1, 1] and upstreams.open_count == 3
        for pool in pools:
            pool.close_idle()
        assert not upstreams.idle and upstreams.open_count == 0

    run(test)


@pytest.mark.parametrize("how", ["closed", "reset", "stray bytes"])
def test_an_idle_connection_that_has_just_failed_is_not_reused(
        how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The kernel knows of the close or data, but the event loop has not read it yet."""
    reuse_at_once(monkeypatch)

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            peer = Peer()
            peer.port = server.getsockname()[1]
            harness = UpstreamHarness(peer)

            async def answered(ended: asyncio.Future[Any]) -> socket.socket:
                client, _ = await loop.sock_accept(server)
                assert await loop.sock_recv(client, 4096) == GET
                await loop.sock_sendall(client, ok())
                assert (await ended)[0] is Outcome.OK
                return client

            first = await answered(harness.start()[1])
            harness.pool.idle[0].idle_since_us -= 10 * connection_reuse.PROBATION_IDLE_US
            if how == "stray bytes":
                first.send(b"x")
            else:
                if how == "reset":
                    first.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                first.close()
            second = await answered(harness.start()[1])
            for client in (first, second):
                client.close()

    run(test)


# Guards against closed connections that fill the memory until the garbage collector runs.
def test_a_closed_connection_is_freed_without_the_garbage_collector() -> None:
    async def test() -> None:
        harness = UpstreamHarness(await Peer().start())
        assert await harness.outcome() is Outcome.OK
        closed = weakref.ref(harness.pool.idle[0])
        harness.pool.close_idle()
        await until(lambda: closed() is None)

    gc.disable()
    try:
        run(test)
    finally:
        gc.enable()
