"""Tests that no list update is lost when a watch goes silent, ends or moves to another address."""

from __future__ import annotations

import asyncio
import json
import socket
import threading
import time
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironscale.interface import ListKind, UpstreamState
from ironscale.net import discovery as module
from ironscale.net import jsonstream
from ironscale.net.config import CALL_US, parse
from ironscale.net.jsonstream import BLANK_LINE, JsonStream
from ironscale.net.listing import ListParser
from ironscale.net.sidecar import Sidecar
from ironscale.standins.discovery import FakeDiscovery, listing
from ironscale.standins.upstream import Peer, reset
from tests.sockets import TEST_TIMEOUT_S, Scene, config, run, until
from tests.test_discovery import ENTRY, kinds, open_watch

PUSHED: dict[str, Any] = {"registry-mode": "pushed"}
MODES: list[dict[str, Any]] = [{}, PUSHED]


def settings_of(mode: dict[str, Any], grace_us: int = 2_000_000, **changes: Any) -> dict[str, Any]:
    rules = {"ask-within": 10_000_000, "cold-share": 0.13, "fall": 1_000_000, "overload-factor": 2.5,
             "warm-up": 24_000_000, "drain-grace": grace_us}
    if mode:
        del rules["ask-within"]  # only valid where lists are polled
    return {**mode, "invariants": rules, **changes}


async def scene_with_watch(peer: Peer, mode: dict[str, Any], **changes: Any) -> Scene:
    scene = await Scene().start(peer.entry("s-1"), **settings_of(mode, **changes))
    await until(lambda: scene.discovery.writers)
    scene.discovery.line(listing(peer.entry("s-1"), generation=42))
    await until(lambda: scene.sidecar.discovery.generation == 42)
    return scene


def upstream_state(scene: Scene) -> UpstreamState | None:
    """Returns the state of the only upstream in the data path; None once it is gone."""
    pools = list(scene.sidecar.upstreams.pools.values())
    return pools[0].member.upstream.state if pools else None


@pytest.mark.parametrize("mode", MODES)
def test_a_drain_is_noticed_whether_lists_are_pushed_or_polled(mode: dict[str, Any]) -> None:
    """Guards against missing a drain that was pushed to an agent because the sidecar had no watch open."""
    async def test() -> None:
        peer = await Peer().start()
        scene = await scene_with_watch(peer, mode)
        scene.discovery.line(listing(peer.entry("s-1", lifecycle="draining"), generation=43, reset=False))
        await until(lambda: upstream_state(scene) is UpstreamState.DRAINING)
        assert (await scene.call()).status == 503 and not peer.got

    run(test)


def test_a_silent_agent_is_called_again_before_the_drain_grace_ends() -> None:
    """What the agent learns when discovery is back counts as known at once, so no call may hang beyond that."""
    async def test() -> None:
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"), **settings_of(PUSHED, grace_us=600_000))
        await until(lambda: len(scene.discovery.targets) == 2)  # the first call was accepted but not answered
        wait_us = scene.sidecar.config.discovery_timeout_us + scene.sidecar.balancer.max_list_call_gap_us()
        assert (wait_us <= 600_000
                and scene.sidecar.discovery.first_data_timeout_s * 1e6 == scene.sidecar.config.discovery_timeout_us)

    run(test)


@pytest.mark.parametrize("mode", MODES)
def test_a_new_address_is_called_at_once_despite_the_backoff_after_a_failure(mode: dict[str, Any]) -> None:
    """Guards against a backoff for the old address that delays the call to the new one: 4 s after SIGHUP the list there
    counts as known."""
    async def test() -> None:
        peer, new = await Peer().start(), await FakeDiscovery().start()
        scene = await scene_with_watch(peer, mode)
        scene.sidecar.balancer.list_failures = 20  # the next call is due in seconds
        scene.discovery.writers[0].transport.abort()
        await until(lambda: scene.sidecar.discovery.watch is None)
        scene.sidecar.discovery.change_address(("127.0.0.1", new.port))
        assert scene.sidecar.discovery.watch is not None
        await until(lambda: new.targets)

    run(test)


def chunk(raw: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(raw), raw)


TEXTS = st.text(max_size=12) | st.sampled_from(["{", "}]", '"', "\\", '\\"}', "\n"])
VALUES = st.dictionaries(TEXTS, st.recursive(TEXTS | st.integers(), lambda inner: st.lists(inner, max_size=3)
                                             | st.dictionaries(TEXTS, inner, max_size=3), max_leaves=8), max_size=4)


@given(st.lists(st.tuples(VALUES, st.sampled_from([None, 0, 3]), st.sampled_from(["\n", "\r\n", "\n\n", "", " "]))),
       st.lists(st.integers(1, 9), min_size=1))
def test_values_are_parsed_however_they_are_split(
        values: list[tuple[dict[str, Any], int | None, str]], steps: list[int]) -> None:
    raw = "".join(json.dumps(value, indent=indent) + end for value, indent, end in values).encode()
    stream, found, at, turn = JsonStream(), list[Any](), 0, 0
    while at < len(raw):
        step = steps[turn % len(steps)]
        found += stream.feed(raw[at:at + step])
        at, turn = at + step, turn + 1
    assert [one for one in found if one is not BLANK_LINE] == [value for value, _, _ in values]
    blank, blanks = True, 0
    for _, _, end in values:  # the line end right after a value is not an empty line
        blank = False
        for _ in range(end.count("\n")):
            blank, blanks = True, blanks + blank
    assert found.count(BLANK_LINE) == blanks
    assert stream.is_between_values


@pytest.mark.parametrize("raw", [b"7", b"[1]x", b"null\n", b"}", b'{"a":}', b"{]}"])
def test_invalid_json_is_an_error_at_once(raw: bytes) -> None:
    with pytest.raises(ValueError, match="expected|Expecting|delimiter"):
        list(JsonStream().feed(raw + b"\n"))


def test_an_endless_value_is_an_error_before_it_fills_the_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(jsonstream, "MAX_VALUE_BYTES", 1000)
    stream = JsonStream()
    for piece in (b'{"a":"', b"x" * 900):
        assert not list(stream.feed(piece))
    with pytest.raises(ValueError, match="at most, got a longer one"):
        list(stream.feed(b"x" * 200))


@pytest.mark.parametrize("step", [1, 7, 10_000])
@pytest.mark.parametrize("end", [b"\n", b""])
def test_a_watch_may_send_lists_over_many_lines(step: int, end: bytes) -> None:
    """A list may be indented, split anywhere and lack a final newline: it is reported as soon as it is complete."""
    async def test() -> None:
        fake = await FakeDiscovery().start()
        discovery, reported = await open_watch(fake)
        await until(lambda: fake.writers)
        for generation, state in ((42, "ready"), (43, "draining")):
            raw = json.dumps(listing({**ENTRY, "lifecycle": state}, generation=generation, reset=generation == 42),
                             indent=2).encode() + end
            for at in range(0, len(raw), step):
                fake.writers[0].write(chunk(raw[at:at + step]))
        await until(lambda: len(reported) == 2)
        assert kinds(reported) == [ListKind.FULL, ListKind.DELTA] and discovery.generation == 43
        assert reported[1][1] is not None and reported[1][1].members[0].upstream.state is UpstreamState.DRAINING
        discovery.close()

    run(test)


@pytest.mark.parametrize("first", [b"", b'{"generation": 42, "reset"'])
def test_a_watch_silent_from_the_start_or_within_a_list_is_reopened(
        first: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Only the first call has a short timeout, and only in the case of silence. What happens to a second call when the
    event loop gets no CPU time is left to another test."""
    if not first:
        monkeypatch.setattr(module, "SILENCE_TIMEOUT_S", 0.2)  # the timeout that `watching` sets for first data

    async def test() -> None:
        fake = await FakeDiscovery().start()
        discovery, reported = await open_watch(fake)
        if first:
            await until(lambda: fake.writers)
            discovery.first_data_timeout_s = 0.2  # counts from this data on
            fake.writers[0].write(chunk(first))
        await until(lambda: reported)
        assert kinds(reported) == [ListKind.FAILED] and discovery.watch is None and discovery.silent_calls == 1
        discovery.first_data_timeout_s = CALL_US / 1e6
        discovery.subscribe()
        watch = cast(Any, discovery.watch)
        await until(lambda: watch.transport)
        own = watch.transport.get_extra_info("sockname")
        await until(lambda: [one for one in fake.writers if one.get_extra_info("peername") == own])
        fake.line(listing(ENTRY, generation=44), [one.get_extra_info("peername") for one in fake.writers].index(own))
        await until(lambda: len(reported) == 2)
        assert kinds(reported)[1] is ListKind.FULL and discovery.silent_calls == 0
        discovery.close()

    run(test)


class ThreadedDiscovery:
    """A discovery service in a thread of its own, which writes even while the event loop is blocked."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self.listener.getsockname()[1])
        self.has_call, self.may_write, self.written = threading.Event(), threading.Event(), threading.Event()
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self) -> None:
        found, _ = self.listener.accept()
        found.recv(4096)
        self.has_call.set()
        self.may_write.wait(TEST_TIMEOUT_S)
        raw = json.dumps(listing(ENTRY, generation=42)).encode() + b"\n"
        found.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(raw))
        self.written.set()
        found.recv(4096)  # until the peer closes


def test_data_that_has_arrived_but_is_unread_does_not_count_as_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against discarding a list that has arrived, by closing its call, when timers run first after the process
    got no CPU time. The event loop reads first; our code does nothing for it."""
    monkeypatch.setattr(module, "SILENCE_TIMEOUT_S", 0.2)

    async def test() -> None:
        elsewhere = ThreadedDiscovery()
        discovery, reported = await open_watch(cast(FakeDiscovery, elsewhere))
        watch = cast(Any, discovery.watch)
        watch.silence_timer.cancel()  # until the call has arrived, which may take any time
        await until(elsewhere.has_call.is_set)
        watch.silence_timer = asyncio.get_running_loop().call_later(0.2, watch.handle_silence)
        elsewhere.may_write.set()
        assert elsewhere.written.wait(TEST_TIMEOUT_S)
        time.sleep(0.3)  # blocks the event loop for longer than the silence timeout
        await until(lambda: reported)
        assert kinds(reported) == [ListKind.FULL] and discovery.watch is watch
        discovery.close()
        elsewhere.listener.close()

    run(test)


def test_with_few_sidecars_silence_and_backoff_stay_within_the_limit_for_two_failures() -> None:
    """What a silent watch misses must be known 6 s after its last data; the shortest drain grace known is 0.5 s."""
    async def test() -> None:
        peer = await Peer().start()
        for mode in MODES:
            scene = await scene_with_watch(peer, mode, grace_us=500_000)
            balancer, spent_s = scene.sidecar.balancer, module.SILENCE_TIMEOUT_S
            for _ in range(2):
                before_us = scene.sidecar.clock.now_us()
                scene.sidecar.on_list(ListKind.FAILED, None)
                spent_s += (balancer.next_list_call_us - before_us) / 1e6
            assert spent_s < 4.0

    run(test)


def test_a_drain_in_a_list_with_restarted_numbering_is_applied_at_once_and_can_be_revoked() -> None:
    """Only later it shows whether discovery lags or restarted its numbering; applying a drain meanwhile is harmless."""
    async def test() -> None:
        peer = await Peer().start()
        scene = await scene_with_watch(peer, {})
        scene.discovery.line(listing(peer.entry("s-1", lifecycle="draining"), generation=7))
        await until(lambda: upstream_state(scene) is UpstreamState.DRAINING)
        assert scene.sidecar.discovery.generation == 42  # and nothing else of that list is applied
        scene.discovery.line(listing(peer.entry("s-1"), generation=8, reset=False))
        await until(lambda: upstream_state(scene) is UpstreamState.READY)

    run(test)


def test_a_malformed_list_is_logged_once_and_keeps_the_last_valid_one(
        capsys: pytest.CaptureFixture[str]) -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await scene_with_watch(peer, {})
        scene.discovery.line({"generation": 43, "instances": [peer.entry("s-2"), {"hostPort": 5}]})
        await until(lambda: len(scene.discovery.writers) == 2)
        assert (await scene.call()).status == 200

    run(test)
    said = [line for line in capsys.readouterr().err.splitlines() if "discovery at 127.0.0.1:" in line]
    assert len(said) == 1 and "after 1 instances: KeyError: 'instanceId'" in said[0]


def test_an_empty_list_is_valid() -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await scene_with_watch(peer, {})
        scene.discovery.line(listing(generation=43))
        await until(lambda: not scene.sidecar.upstreams.pools)
        assert (await scene.call()).status == 503
        scene.discovery.line(listing(peer.entry("s-1"), generation=44, reset=False))
        await until(lambda: scene.sidecar.upstreams.pools)
        assert (await scene.call()).status == 200

    run(test)


def test_unknown_zones_are_distinct_and_null_means_absent() -> None:
    entries = [{**ENTRY, "instanceId": f"s-{name}", "zone": name} for name in ("x", "b", "y", "x", None)]
    entries[4].update(cell=None, weight=None, startedAtMs=None, machineType=None)
    found = [member.upstream for member in ListParser(["a", "b"], []).parse(listing(*entries)).members]
    assert [one.zone for one in found] == [2, 1, 3, 2, 4]
    assert (found[4].cell, found[4].weight, found[4].started_us) == (0, 1.0, 0)


@pytest.mark.parametrize("mode", MODES)
def test_a_watch_that_is_reset_repeatedly_is_reopened_each_time(mode: dict[str, Any]) -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await scene_with_watch(peer, mode)
        for count in (2, 3, 4):
            scene.discovery.writers[-1].transport.abort()
            await until(lambda count=count: len(scene.discovery.writers) == count)  # type: ignore[misc]
        scene.discovery.line(listing(peer.entry("s-1", lifecycle="draining"), generation=43))
        await until(lambda: upstream_state(scene) is UpstreamState.DRAINING)

    run(test)


@pytest.mark.parametrize("old", ["alive", "silent", "gone"])
@pytest.mark.parametrize("moves", [1, 2])
def test_an_address_change_while_the_watch_is_down_or_silent_is_followed(old: str, moves: int) -> None:
    """Also when it changes twice within a second: the last address is used, and the drain reported there is applied."""
    async def test() -> None:
        peer = await Peer().start()
        scene = await scene_with_watch(peer, {})
        new = [await FakeDiscovery().start() for _ in range(moves)]
        if old == "gone":
            scene.discovery.writers[0].transport.abort()
            await until(lambda: scene.sidecar.discovery.watch is None)
        for one in new:
            scene.sidecar.discovery.change_address(("127.0.0.1", one.port))
        if old == "silent":
            watch = scene.sidecar.discovery.watch
            assert watch is not None
            watch.handle_silence()
        await until(lambda: new[-1].writers)
        new[-1].line(listing(peer.entry("s-1", lifecycle="draining"), generation=43))
        await until(lambda: upstream_state(scene) is UpstreamState.DRAINING)
        watch = scene.sidecar.discovery.watch
        assert watch is not None and watch.address[1] == new[-1].port and scene.sidecar.discovery.successor is None

    run(test)


def test_a_sidecar_runs_with_minimal_settings() -> None:
    """Another customer's settings: no tenants, zones, machine types or reports, one upstream, one try, no advice."""
    async def test() -> None:
        peer = await Peer().start()
        scene = Scene()
        await scene.discovery.start()
        scene.sidecar = Sidecar(parse({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{scene.discovery.port}",
            "known": {"generation": 1, "reset": True, "instances": [
                {"instanceId": "only", "hostPort": f"127.0.0.1:{peer.port}", "lifecycle": "ready"}]},
            "settings": {
                "instances": 1, "granularity": 1000, "registry-mode": "pushed",
                "bounds": {"most-tries": 1, "retry-after": False, "cancel": False, "probes": False,
                           "second-copies": False, "conn-idle": 100_000},
                "invariants": {"cold-share": 1.0, "warm-up": 0, "overload-factor": 2.0, "fall": 1_000_000},
                "request-classes": [
                    {"name": "a", "aim": 100_000, "deadline": 150_000, "worth": 1, "effect": "idempotent"},
                    {"name": "b", "aim": 5_000_000, "deadline": 60_000_000, "worth": 1, "effect": "deduplicated"}]},
        }, {}))
        scene.port = await scene.sidecar.start()
        for lane, method, key in (("a", "GET", ""), ("b", "POST", "Idempotency-Key: k\r\n")) * 2:
            scene.count += 1
            answer = await scene.send((f"{method} / HTTP/1.1\r\nHost: x\r\nX-Txn: t{scene.count}\r\nX-Lane: {lane}\r\n"
                                      f"X-Remaining: 60000m\r\n{key}Content-Length: 0\r\n\r\n").encode())
            assert answer.status == 200
        peer.behave = reset
        refused = await scene.send(b"GET / HTTP/1.1\r\nHost: x\r\nX-Txn: z\r\nX-Lane: a\r\nX-Remaining: 150m\r\n\r\n")
        assert refused.status == 503 and "retry-after" not in refused.headers and len(peer.got) == 5

    run(test)


# Guards against a new discovery process, which numbers its lists anew, that is taken for the old one lagging.
def test_an_upstream_that_a_restarted_discovery_leaves_out_gets_nothing_after_its_grace() -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await scene_with_watch(peer, {}, grace_us=500_000)
        scene.discovery.line(listing(generation=1))
        begun_s = asyncio.get_running_loop().time()
        await until(lambda: upstream_state(scene) is UpstreamState.DRAINING)
        assert asyncio.get_running_loop().time() - begun_s < 0.5
        assert scene.sidecar.discovery.generation == 42

    run(test)


# Guards against new settings that the decisions follow and the client of discovery does not.
@pytest.mark.parametrize("mode", MODES)
def test_a_drain_grace_that_is_shortened_in_service_holds_for_discovery_too(mode: dict[str, Any]) -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await scene_with_watch(peer, mode, grace_us=10_000_000)
        scene.sidecar.reconfigure(1, {"settings": settings_of(mode, grace_us=500_000)})
        discovery, parsed = scene.sidecar.discovery, scene.sidecar.config
        assert discovery.first_data_timeout_s == parsed.discovery_timeout_us / 1e6
        scene.discovery.line(listing(generation=1))
        begun_s = asyncio.get_running_loop().time()
        await until(lambda: upstream_state(scene) is not UpstreamState.READY)
        assert asyncio.get_running_loop().time() - begun_s < 0.5
        assert discovery.generation == 42

    run(test)


# Guards against a sidecar whose fleet has become large in service, and that still calls discovery as one of few.
def test_calls_are_spread_once_the_settings_tell_of_a_large_fleet() -> None:
    async def test() -> None:
        scene = await scene_with_watch(await Peer().start(), {})
        assert not scene.sidecar.discovery.is_shared
        scene.sidecar.reconfigure(1, {"settings": {"instances": 200}})
        assert scene.sidecar.discovery.is_shared
        scene.sidecar.reconfigure(2, {})
        assert not scene.sidecar.discovery.is_shared

    run(test)


# Guards against a new process of the sidecar that knows of nobody whom a restarted discovery could leave out.
def test_an_upstream_of_the_known_list_that_a_restarted_discovery_leaves_out_is_left_out() -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = Scene()
        await scene.discovery.start()
        changes = settings_of({}, grace_us=500_000)
        parsed = config(scene.discovery.port, peer.entry("s-1"), **changes)
        parsed.last_known_list.generation = 41
        scene.sidecar = Sidecar(parsed)
        scene.port = await scene.sidecar.start()
        await until(lambda: scene.discovery.writers)
        scene.discovery.line(listing(generation=1))
        begun_s = asyncio.get_running_loop().time()
        await until(lambda: upstream_state(scene) is not UpstreamState.READY)
        assert asyncio.get_running_loop().time() - begun_s < 0.5

    run(test)


def test_an_upstream_that_a_lagging_list_leaves_out_for_a_moment_stays() -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await scene_with_watch(peer, {}, grace_us=500_000)
        scene.discovery.line(listing(generation=41))
        await asyncio.sleep(0.1)
        scene.discovery.line(listing(peer.entry("s-1"), generation=43))
        await asyncio.sleep(0.4)
        assert upstream_state(scene) is UpstreamState.READY and not scene.sidecar.discovery.lag_timers

    run(test)


# Guards against a restarted discovery that is never believed, as each watch on it ends before its first heartbeat.
def test_a_restarted_discovery_is_believed_though_it_sends_no_heartbeat(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_LAG_S", 1.5)

    async def test() -> None:
        peer, other = await Peer().start(), await Peer().start()
        scene = await scene_with_watch(peer, {"registry-mode": "pushed"}, grace_us=500_000)
        new = listing(other.entry("s-2"), generation=1)
        scene.discovery.line(new)
        while "s-2" not in {pool.member.name for pool in scene.sidecar.upstreams.pools.values()}:
            watches = len(scene.discovery.writers)
            await asyncio.sleep(0.05)
            if len(scene.discovery.writers) > watches:
                scene.discovery.line(new)
        assert (await scene.call()).status == 200 and len(other.got) == 1

    run(test)
