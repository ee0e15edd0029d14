"""What lists owe at an end: a watch that falls silent, ends or moves, and what it would have told meanwhile."""

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
from ironscale.net.discovery import Directory
from ironscale.net.jsonstream import BLANK, JsonStream
from ironscale.net.sidecar import Sidecar
from ironscale.standins.discovery import FakeDiscovery, listing
from ironscale.standins.upstream import Peer, reset
from tests.sockets import LIMIT_S, Scene, run, until
from tests.test_discovery import ENTRY, kinds, watching

PUSHED: dict[str, Any] = {"registry-mode": "pushed"}
MODES: list[dict[str, Any]] = [{}, PUSHED]


def settings_of(mode: dict[str, Any], grace_us: int = 2_000_000, **changes: Any) -> dict[str, Any]:
    rules = {"ask-within": 10_000_000, "cold-share": 0.13, "fall": 1_000_000, "overload-factor": 2.5,
             "warm-up": 24_000_000, "drain-grace": grace_us}
    if mode:
        del rules["ask-within"]  # it stands only where lists are asked for
    return {**mode, "invariants": rules, **changes}


async def watched(peer: Peer, mode: dict[str, Any], **changes: Any) -> Scene:
    scene = await Scene().start(peer.entry("s-1"), **settings_of(mode, **changes))
    await until(lambda: scene.discovery.writers)
    scene.discovery.line(listing(peer.entry("s-1"), generation=42))
    await until(lambda: scene.sidecar.discovery.generation == 42)
    return scene


def state(scene: Scene) -> UpstreamState | None:
    """Of the one upstream, as the data path has it; None once it has gone."""
    pools = list(scene.sidecar.upstreams.pools.values())
    return pools[0].member.upstream.state if pools else None


@pytest.mark.parametrize("mode", MODES)
def test_a_drain_is_heard_whether_lists_are_pushed_or_asked_for(mode: dict[str, Any]) -> None:
    """Hazard: what an agent has been pushed counts as told, and no watch stood open that could tell it."""
    async def test() -> None:
        peer = await Peer().start()
        scene = await watched(peer, mode)
        scene.discovery.line(listing(peer.entry("s-1", lifecycle="draining"), generation=43, reset=False))
        await until(lambda: state(scene) is UpstreamState.DRAINING)
        assert (await scene.call()).status == 503 and not peer.got

    run(test)


def test_an_agent_that_is_silent_is_asked_again_before_the_grace_of_a_drain_is_over() -> None:
    """What the agent gets when discovery is back counts at once: no call may hang past that."""
    async def test() -> None:
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"), **settings_of(PUSHED, grace_us=600_000))
        await until(lambda: len(scene.discovery.targets) == 2)  # the first was accepted and not answered
        wait_us = scene.sidecar.config.answer_us + scene.sidecar.balancer.max_list_call_gap_us()
        assert wait_us <= 600_000 and scene.sidecar.discovery.answer_s * 1e6 == scene.sidecar.config.answer_us

    run(test)


@pytest.mark.parametrize("mode", MODES)
def test_a_new_address_is_asked_at_once_though_a_failed_call_has_to_wait(mode: dict[str, Any]) -> None:
    """Hazard: after SIGHUP what the new address has counts 4 s later, and the back-off was for the old one."""
    async def test() -> None:
        peer, new = await Peer().start(), await FakeDiscovery().start()
        scene = await watched(peer, mode)
        scene.sidecar.balancer.list_failures = 20  # the next call is due in seconds
        scene.discovery.writers[0].transport.abort()
        await until(lambda: scene.sidecar.discovery.watch is None)
        scene.sidecar.discovery.move(("127.0.0.1", new.port))
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
def test_values_are_cut_out_whole_however_they_are_broken(
        values: list[tuple[dict[str, Any], int | None, str]], steps: list[int]) -> None:
    raw = "".join(json.dumps(value, indent=indent) + end for value, indent, end in values).encode()
    stream, found, at, turn = JsonStream(), list[Any](), 0, 0
    while at < len(raw):
        step = steps[turn % len(steps)]
        found += stream.feed(raw[at:at + step])
        at, turn = at + step, turn + 1
    assert [one for one in found if one is not BLANK] == [value for value, _, _ in values]
    blank, blanks = True, 0
    for _, _, end in values:  # a value's own line end is none
        blank = False
        for _ in range(end.count("\n")):
            blank, blanks = True, blanks + blank
    assert found.count(BLANK) == blanks
    assert stream.is_between


@pytest.mark.parametrize("raw", [b"7", b"[1]x", b"null\n", b"}", b'{"a":}', b"{]}"])
def test_what_is_no_list_is_an_error_and_not_waited_for(raw: bytes) -> None:
    with pytest.raises(ValueError, match="expected|Expecting|delimiter"):
        list(JsonStream().feed(raw + b"\n"))


def test_a_value_without_end_is_an_error_before_it_fills_the_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(jsonstream, "LONGEST", 1000)
    stream = JsonStream()
    for piece in (b'{"a":"', b"x" * 900):
        assert not list(stream.feed(piece))
    with pytest.raises(ValueError, match="without end"):
        list(stream.feed(b"x" * 200))


@pytest.mark.parametrize("step", [1, 7, 10_000])
@pytest.mark.parametrize("end", [b"\n", b""])
def test_a_watch_may_write_its_lists_over_many_lines(step: int, end: bytes) -> None:
    """Indented, cut anywhere, and with no line behind the last bracket: told as soon as it is whole."""
    async def test() -> None:
        fake = await FakeDiscovery().start()
        discovery, told = await watching(fake)
        await until(lambda: fake.writers)
        for generation, state in ((42, "ready"), (43, "draining")):
            raw = json.dumps(listing({**ENTRY, "lifecycle": state}, generation=generation, reset=generation == 42),
                             indent=2).encode() + end
            for at in range(0, len(raw), step):
                fake.writers[0].write(chunk(raw[at:at + step]))
        await until(lambda: len(told) == 2)
        assert kinds(told) == [ListKind.FULL, ListKind.DELTA] and discovery.generation == 43
        assert told[1][1] is not None and told[1][1].members[0].upstream.state is UpstreamState.DRAINING
        discovery.close()

    run(test)


@pytest.mark.parametrize("first", [b"", b'{"generation": 42, "reset"'])
def test_a_watch_silent_from_its_first_second_or_within_a_list_is_opened_anew(
        first: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """The first call alone has little time, and only where it stands for silence: what a loop without processor does
    to the second is another test's."""
    if not first:
        monkeypatch.setattr(module, "SILENCE_S", 0.2)  # what `watching` gives a call for its first word

    async def test() -> None:
        fake = await FakeDiscovery().start()
        discovery, told = await watching(fake)
        if first:
            await until(lambda: fake.writers)
            discovery.answer_s = 0.2  # from these bytes on
            fake.writers[0].write(chunk(first))
        await until(lambda: told)
        assert kinds(told) == [ListKind.FAILED] and discovery.watch is None and discovery.unanswered == 1
        discovery.answer_s = CALL_US / 1e6
        discovery.subscribe()
        watch = cast(Any, discovery.watch)
        await until(lambda: watch.transport)
        own = watch.transport.get_extra_info("sockname")
        await until(lambda: [one for one in fake.writers if one.get_extra_info("peername") == own])
        fake.line(listing(ENTRY, generation=44), [one.get_extra_info("peername") for one in fake.writers].index(own))
        await until(lambda: len(told) == 2)
        assert kinds(told)[1] is ListKind.FULL and discovery.unanswered == 0
        discovery.close()

    run(test)


class Elsewhere:
    """A discovery in a thread of its own: it writes also while this loop has no processor."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self.listener.getsockname()[1])
        self.asked, self.go, self.written = threading.Event(), threading.Event(), threading.Event()
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self) -> None:
        found, _ = self.listener.accept()
        found.recv(4096)
        self.asked.set()
        self.go.wait(LIMIT_S)
        raw = json.dumps(listing(ENTRY, generation=42)).encode() + b"\n"
        found.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(raw))
        self.written.set()
        found.recv(4096)  # until the other side ends


def test_what_has_come_and_is_not_read_yet_is_no_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    """Hazard: were timers first after a moment without processor, a list that lies there would be thrown away with its
    call. The loop reads first; nothing of ours does it."""
    monkeypatch.setattr(module, "SILENCE_S", 0.2)

    async def test() -> None:
        elsewhere = Elsewhere()
        discovery, told = await watching(cast(FakeDiscovery, elsewhere))
        watch = cast(Any, discovery.watch)
        watch.silence.cancel()  # until the call has arrived, however long that takes
        await until(elsewhere.asked.is_set)
        watch.silence = asyncio.get_running_loop().call_later(0.2, watch.fall_silent)
        elsewhere.go.set()
        assert elsewhere.written.wait(LIMIT_S)
        time.sleep(0.3)  # the loop stands still past the time for silence
        await until(lambda: told)
        assert kinds(told) == [ListKind.FULL] and discovery.watch is watch
        discovery.close()
        elsewhere.listener.close()

    run(test)


def test_one_clock_for_silence_holds_for_few_sidecars_at_the_first_failure_and_the_next() -> None:
    """What a silent watch misses counts as told 6 s after its last word; the shortest grace known is 0.5 s."""
    async def test() -> None:
        peer = await Peer().start()
        for mode in MODES:
            scene = await watched(peer, mode, grace_us=500_000)
            balancer, spent_s = scene.sidecar.balancer, module.SILENCE_S
            for _ in range(2):
                before_us = scene.sidecar.clock.now_us()
                scene.sidecar.on_list(ListKind.FAILED, None)
                spent_s += (balancer.next_list_call_us - before_us) / 1e6
            assert spent_s < 4.0

    run(test)


def test_a_drain_told_by_a_list_that_counts_anew_is_kept_at_once_and_taken_back() -> None:
    """Whether discovery lags or has begun anew shows only later; a drain costs nothing to heed meanwhile."""
    async def test() -> None:
        peer = await Peer().start()
        scene = await watched(peer, {})
        scene.discovery.line(listing(peer.entry("s-1", lifecycle="draining"), generation=7))
        await until(lambda: state(scene) is UpstreamState.DRAINING)
        assert scene.sidecar.discovery.generation == 42  # and is not believed else
        scene.discovery.line(listing(peer.entry("s-1"), generation=8, reset=False))
        await until(lambda: state(scene) is UpstreamState.READY)

    run(test)


def test_a_list_that_cannot_be_read_is_told_once_and_leaves_the_last_good_one(
        capsys: pytest.CaptureFixture[str]) -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await watched(peer, {})
        scene.discovery.line({"generation": 43, "instances": [peer.entry("s-2"), {"hostPort": 5}]})
        await until(lambda: len(scene.discovery.writers) == 2)
        assert (await scene.call()).status == 200

    run(test)
    said = [line for line in capsys.readouterr().err.splitlines() if "discovery at 127.0.0.1:" in line]
    assert len(said) == 1 and "after 1 instances: KeyError: 'instanceId'" in said[0]


def test_a_list_of_nothing_is_a_list() -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await watched(peer, {})
        scene.discovery.line(listing(generation=43))
        await until(lambda: not scene.sidecar.upstreams.pools)
        assert (await scene.call()).status == 503
        scene.discovery.line(listing(peer.entry("s-1"), generation=44, reset=False))
        await until(lambda: scene.sidecar.upstreams.pools)
        assert (await scene.call()).status == 200

    run(test)


def test_zones_that_only_discovery_knows_are_kept_apart_and_nulls_say_nothing() -> None:
    entries = [{**ENTRY, "instanceId": f"s-{name}", "zone": name} for name in ("x", "b", "y", "x", None)]
    entries[4].update(cell=None, weight=None, startedAtMs=None, machineType=None)
    found = [member.upstream for member in Directory(["a", "b"], []).read(listing(*entries)).members]
    assert [one.zone for one in found] == [2, 1, 3, 2, 4]
    assert (found[4].cell, found[4].weight, found[4].started_us) == (0, 1.0, 0)


@pytest.mark.parametrize("mode", MODES)
def test_a_watch_reset_again_while_it_is_opened_anew_is_opened_anew(mode: dict[str, Any]) -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await watched(peer, mode)
        for count in (2, 3, 4):
            scene.discovery.writers[-1].transport.abort()
            await until(lambda count=count: len(scene.discovery.writers) == count)  # type: ignore[misc]
        scene.discovery.line(listing(peer.entry("s-1", lifecycle="draining"), generation=43))
        await until(lambda: state(scene) is UpstreamState.DRAINING)

    run(test)


@pytest.mark.parametrize("old", ["alive", "silent", "gone"])
@pytest.mark.parametrize("moves", [1, 2])
def test_a_new_configuration_while_the_watch_is_down_or_silent_is_followed(old: str, moves: int) -> None:
    """Also twice in a second; the last address counts, and the drain that it tells is kept."""
    async def test() -> None:
        peer = await Peer().start()
        scene = await watched(peer, {})
        new = [await FakeDiscovery().start() for _ in range(moves)]
        if old == "gone":
            scene.discovery.writers[0].transport.abort()
            await until(lambda: scene.sidecar.discovery.watch is None)
        for one in new:
            scene.sidecar.discovery.move(("127.0.0.1", one.port))
        if old == "silent":
            watch = scene.sidecar.discovery.watch
            assert watch is not None
            watch.fall_silent()
        await until(lambda: new[-1].writers)
        new[-1].line(listing(peer.entry("s-1", lifecycle="draining"), generation=43))
        await until(lambda: state(scene) is UpstreamState.DRAINING)
        watch = scene.sidecar.discovery.watch
        assert watch is not None and watch.address[1] == new[-1].port and scene.sidecar.discovery.successor is None

    run(test)


def test_settings_with_all_left_out_that_may_be_run_a_sidecar() -> None:
    """No tenants, no zones, no kinds, no reports, one upstream, one try, no advice: another customer's settings."""
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
            answer = await scene.raw((f"{method} / HTTP/1.1\r\nHost: x\r\nX-Txn: t{scene.count}\r\nX-Lane: {lane}\r\n"
                                      f"X-Remaining: 60000m\r\n{key}Content-Length: 0\r\n\r\n").encode())
            assert answer.status == 200
        peer.behave = reset
        refused = await scene.raw(b"GET / HTTP/1.1\r\nHost: x\r\nX-Txn: z\r\nX-Lane: a\r\nX-Remaining: 150m\r\n\r\n")
        assert refused.status == 503 and "retry-after" not in refused.headers and len(peer.got) == 5

    run(test)
