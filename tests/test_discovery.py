"""Tests the watch on discovery and the parsing of its lists, on loopback sockets."""

from __future__ import annotations

import asyncio
import hashlib
from typing import Any

import pytest

from ironscale.interface import ListKind, UpstreamState
from ironscale.net import discovery as module
from ironscale.net.discovery import Discovery
from ironscale.net.listing import ListError, Listing, ListParser, upstream_id
from ironscale.standins.discovery import FakeDiscovery, listing
from ironscale.standins.http import read_message
from tests.sockets import run, until

ENTRY = {"instanceId": "s-1", "hostPort": "127.0.0.1:9000", "zone": "b", "machineType": "small", "cell": 3,
         "lifecycle": "ready", "weight": 1.5, "startedAtMs": 1_700_000_000_123}
Reports = list[tuple[ListKind, Listing | None]]


async def open_watch(fake: FakeDiscovery, generation: int = 41) -> tuple[Discovery, Reports]:
    reported: Reports = []
    logged: list[str] = []
    discovery = Discovery(("127.0.0.1", fake.port), ListParser(["a", "b"], ["large", "small"]), generation,
                          lambda kind, what: reported.append((kind, what)), module.SILENCE_TIMEOUT_S, logged.append)
    discovery.subscribe()
    return discovery, reported


def kinds(reported: Reports) -> list[ListKind]:
    return [kind for kind, _ in reported]


def test_a_watch_reports_the_full_list_and_then_each_change() -> None:
    async def test() -> None:
        fake = await FakeDiscovery().start()
        discovery, reported = await open_watch(fake)
        await until(lambda: fake.writers)
        fake.line(listing(ENTRY, generation=42))
        fake.line(None)
        fake.line(listing({**ENTRY, "lifecycle": "draining"}, generation=43, reset=False))
        await until(lambda: len(reported) == 2)
        assert kinds(reported) == [ListKind.FULL, ListKind.DELTA] and discovery.generation == 43
        assert fake.targets == ["/registry/instances?watch=1&after=41"]
        full, delta = reported[0][1], reported[1][1]
        assert full is not None and delta is not None
        upstream = full.members[0].upstream
        assert (upstream.zone, upstream.kind, upstream.cell, upstream.weight) == (1, 1, 3, 1.5)
        assert upstream.started_us == 1_700_000_000_123_000
        assert delta.members[0].upstream.state is UpstreamState.DRAINING
        discovery.close()

    run(test)


def test_a_line_may_arrive_in_pieces() -> None:
    async def test() -> None:
        fake = await FakeDiscovery().start()
        discovery, reported = await open_watch(fake)
        await until(lambda: fake.writers)
        for piece in (b'{"generation":42,"reset":fal', b'se,"instances":[]}', b"\n"):
            fake.writers[0].write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await fake.writers[0].drain()
        await until(lambda: reported)
        assert kinds(reported) == [ListKind.DELTA]
        discovery.close()

    run(test)


def test_an_empty_first_line_answers_the_call_once() -> None:
    async def test() -> None:
        fake = await FakeDiscovery().start()
        discovery, reported = await open_watch(fake)
        await until(lambda: fake.writers)
        for _ in range(3):
            fake.line(None)
        fake.line(listing(generation=42, reset=False))
        await until(lambda: discovery.generation == 42)
        assert kinds(reported) == [ListKind.DELTA, ListKind.DELTA]
        discovery.close()

    run(test)


def test_there_is_only_one_watch_for_several_subscriptions() -> None:
    """Guards against further calls, each of which would load discovery and wait in its queue again."""

    async def test() -> None:
        fake = await FakeDiscovery().start()
        discovery, reported = await open_watch(fake)
        discovery.subscribe()
        await until(lambda: fake.writers)
        discovery.subscribe()
        fake.line(listing(ENTRY, generation=42))
        await until(lambda: reported)
        discovery.subscribe()  # every subscription is answered nevertheless
        assert kinds(reported) == [ListKind.FULL, ListKind.DELTA]
        assert len(fake.targets) == 1
        discovery.close()

    run(test)


async def silent(fake: FakeDiscovery) -> None:
    pass


async def ended(fake: FakeDiscovery) -> None:
    fake.writers[-1].close()


async def broken(fake: FakeDiscovery) -> None:
    fake.writers[-1].transport.abort()


async def malformed(fake: FakeDiscovery) -> None:
    fake.line({"generation": 43})


@pytest.mark.parametrize("end", [silent, ended, broken, malformed])
def test_a_watch_that_ends_or_goes_silent_has_failed(end: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against waiting forever: a machine that loses its network sends no close, and changes would be missed."""
    monkeypatch.setattr(module, "SILENCE_TIMEOUT_S", 0.5)

    async def test() -> None:
        fake = await FakeDiscovery().start()
        discovery, reported = await open_watch(fake)
        await until(lambda: fake.writers)
        fake.line(listing(ENTRY, generation=42))
        await until(lambda: reported)
        await end(fake)
        await until(lambda: len(reported) == 2)
        assert kinds(reported) == [ListKind.FULL, ListKind.FAILED] and discovery.watch is None
        discovery.subscribe()
        await until(lambda: len(fake.targets) == 2)
        assert fake.targets[1].endswith("after=42")
        discovery.close()

    run(test)


@pytest.mark.parametrize("head", [
    b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n", b"nonsense\r\n\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n" * 17], ids=["503", "nonsense", "101", "endless 100"])
def test_a_call_that_is_not_answered_with_200_has_failed_once(head: bytes) -> None:
    async def test() -> None:
        fake = await FakeDiscovery().start()
        fake.head = head
        discovery, reported = await open_watch(fake)
        await until(lambda: reported)
        await until(lambda: discovery.watch is None)
        assert kinds(reported) == [ListKind.FAILED]

    run(test)


def test_a_discovery_that_is_down_has_failed() -> None:
    async def test() -> None:
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        fake = FakeDiscovery()
        fake.port = server.sockets[0].getsockname()[1]
        server.close()
        discovery, reported = await open_watch(fake)
        await until(lambda: reported)
        assert kinds(reported) == [ListKind.FAILED]

    run(test)


def test_an_unsubscribed_watch_reports_nothing_more() -> None:
    async def test() -> None:
        fake = await FakeDiscovery().start()
        discovery, reported = await open_watch(fake)
        await until(lambda: fake.writers)
        discovery.unsubscribe()
        fake.line(listing(ENTRY, generation=42))
        discovery.subscribe()
        await until(lambda: len(fake.writers) == 2)
        fake.line(listing(ENTRY, generation=43))
        await until(lambda: reported)
        assert [what.generation for _, what in reported if what] == [43]
        discovery.close()

    run(test)


def test_the_full_list_can_be_fetched_once() -> None:
    async def test() -> None:
        async def whole(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            assert (await read_message(reader)).first == "GET /registry/instances HTTP/1.1"
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 46\r\n\r\n"
                         b'{"generation": 9,"reset":true,"instances":[]} ')

        server = await asyncio.start_server(whole, "127.0.0.1", 0)
        reported: Reports = []
        logged: list[str] = []
        discovery = Discovery(("127.0.0.1", server.sockets[0].getsockname()[1]), ListParser([], []), 0,
                              lambda kind, what: reported.append((kind, what)), module.SILENCE_TIMEOUT_S, logged.append)
        discovery.fetch()
        await until(lambda: reported)
        await until(lambda: not discovery.fetches)
        assert kinds(reported) == [ListKind.FULL] and discovery.generation == 9

    run(test)


def test_ids_depend_only_on_the_name_and_never_collide(monkeypatch: pytest.MonkeyPatch) -> None:
    assert upstream_id("s-5be2a07c") == upstream_id("s-5be2a07c") > 0
    moved = {**ENTRY, "hostPort": "127.0.0.2:1", "zone": "a", "startedAtMs": 0}
    read = ListParser([], []).parse
    ids = {read(listing(entry)).members[0].upstream.id for entry in (ENTRY, moved)}
    assert ids == {upstream_id("s-1")}

    class Constant:
        def __init__(self, raw: bytes, digest_size: int) -> None: ...

        def digest(self) -> bytes:
            return bytes(8)

    monkeypatch.setattr(hashlib, "blake2b", Constant)  # every hash the same
    assert len({upstream_id(f"s-{n}") for n in range(100)} | {upstream_id("\0s-1")}) == 101


@pytest.mark.parametrize("data", [
    [], {}, {"generation": 1, "instances": [{**ENTRY, "lifecycle": "sleeping"}]},
    {"generation": 1, "instances": [{**ENTRY, "weight": float("nan")}]},
    {"generation": 1, "instances": [{**ENTRY, "hostPort": "nowhere"}]},
])
def test_a_malformed_list_is_reported_in_one_line(data: Any) -> None:
    with pytest.raises(ListError) as caught:
        ListParser([], []).parse(data)
    assert "\n" not in str(caught.value)


async def moving_watch() -> tuple[FakeDiscovery, FakeDiscovery, Discovery, Reports]:
    """A watch at the first address that has delivered generation 42 and is moving to the second address."""
    old, new = await FakeDiscovery().start(), await FakeDiscovery().start()
    discovery, reported = await open_watch(old)
    await until(lambda: old.writers)
    old.line(listing(ENTRY, generation=42))
    await until(lambda: reported)
    discovery.change_address(("127.0.0.1", new.port))
    await until(lambda: new.writers)
    return old, new, discovery, reported


def test_the_old_watch_serves_until_the_new_address_has_answered() -> None:
    """Guards against missing a drain during the move, and against taking the end of the old watch for a failure."""

    async def test() -> None:
        old, new, discovery, reported = await moving_watch()
        discovery.change_address(("127.0.0.1", new.port))  # a second call changes nothing
        old.line(listing({**ENTRY, "lifecycle": "draining"}, generation=43, reset=False))
        await until(lambda: len(reported) == 2)
        new.line(None)
        await until(lambda: len(reported) == 3)
        old.writers[0].close()
        new.line(listing(ENTRY, generation=44, reset=False))
        await until(lambda: len(reported) == 4)
        assert kinds(reported) == [ListKind.FULL, ListKind.DELTA, ListKind.DELTA, ListKind.DELTA]
        assert new.targets == ["/registry/instances?watch=1&after=42"]
        discovery.close()

    run(test)


def test_when_the_old_watch_ends_first_the_new_one_takes_its_place() -> None:
    async def test() -> None:
        old, new, discovery, reported = await moving_watch()
        watch, successor = discovery.watch, discovery.successor
        old.writers[0].close()
        await until(lambda: discovery.watch is not watch)
        assert discovery.watch is successor and discovery.successor is None
        new.line(listing(ENTRY, generation=43))
        await until(lambda: len(reported) == 2)
        assert kinds(reported) == [ListKind.FULL, ListKind.FULL]
        discovery.close()

    run(test)


def test_a_new_address_that_fails_is_tried_again_while_the_old_watch_serves() -> None:
    async def test() -> None:
        old, new, discovery, reported = await moving_watch()
        new.writers[0].close()
        await until(lambda: len(new.writers) == 2)
        assert kinds(reported) == [ListKind.FULL]
        old.line(listing(ENTRY, generation=43))
        await until(lambda: len(reported) == 2)
        discovery.close()

    run(test)


def test_an_older_generation_is_accepted_only_if_it_persists(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a discovery replica that lags and makes drained upstreams ready again, and against ignoring
    for ever a discovery service that has restarted its numbering."""

    async def test() -> None:
        _, new, discovery, reported = await moving_watch()
        new.line(listing(generation=40))
        new.line(listing(generation=41, reset=False))
        await until(lambda: len(reported) == 3)
        assert all(what is not None and not what.members and what.generation == 42 for _, what in reported[1:])
        assert kinds(reported) == [ListKind.FULL, ListKind.DELTA, ListKind.DELTA]
        monkeypatch.setattr(module, "MAX_LAG_S", 0.0)
        new.line(None)
        await until(lambda: len(reported) == 4)
        assert kinds(reported)[3] is ListKind.FAILED
        discovery.subscribe()
        await until(lambda: len(new.writers) == 2)
        assert new.targets[1] == "/registry/instances?watch=1&after=0"
        discovery.close()

    run(test)


def test_a_reverted_address_change_keeps_the_old_watch() -> None:
    async def test() -> None:
        old, new, discovery, reported = await moving_watch()
        watch = discovery.watch
        discovery.change_address(("127.0.0.1", old.port))
        assert discovery.watch is watch and discovery.successor is None
        old.line(listing(ENTRY, generation=43))
        await until(lambda: len(reported) == 2)
        assert len(old.writers) == 1
        discovery.close()

    run(test)


# Guards against taking an interim answer of discovery for its final one.
@pytest.mark.parametrize("interim", [b"HTTP/1.1 100 Continue\r\n\r\n",
                                     b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"])
def test_an_interim_answer_does_not_end_a_call(interim: bytes) -> None:
    async def test() -> None:
        fake = await FakeDiscovery().start()
        fake.head = interim + interim + fake.head
        discovery, reported = await open_watch(fake)
        await until(lambda: fake.writers)
        fake.line(listing(ENTRY, generation=42))
        await until(lambda: reported)
        assert kinds(reported) == [ListKind.FULL] and discovery.generation == 42
        discovery.close()

    run(test)


# Guards against applying a second answer of discovery, which nobody asked for.
@pytest.mark.parametrize("gap_s", [0.0, 0.01])
def test_a_second_answer_to_a_call_is_not_applied(gap_s: float) -> None:
    async def test() -> None:
        async def twice(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            for generation in (9, 10):
                body = b'{"generation":%d,"reset":true,"instances":[]}' % generation
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                if gap_s:
                    await asyncio.sleep(gap_s)

        server = await asyncio.start_server(twice, "127.0.0.1", 0)
        reported: Reports = []
        discovery = Discovery(("127.0.0.1", server.sockets[0].getsockname()[1]), ListParser([], []), 0,
                              lambda kind, what: reported.append((kind, what)), module.SILENCE_TIMEOUT_S, print)
        discovery.fetch()
        await until(lambda: reported)
        await asyncio.sleep(2 * gap_s)
        assert kinds(reported) == [ListKind.FULL] and discovery.generation == 9 and not discovery.fetches

    run(test)
