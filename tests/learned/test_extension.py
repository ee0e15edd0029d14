"""Tests of file and peer transfer with a real sidecar: slow, full and missing folders; faulty and many donors."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import random
import socket
import threading
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from ironscale import confidence
from ironscale.__main__ import combine_extensions
from ironscale.agent import fleet
from ironscale.agent.serve import running as agent_running
from ironscale.control.extension import control_extension
from ironscale.introspection import learned_state, upstream_views
from ironscale.learned import peer_transfer, persistence
from ironscale.learned.codec import MAX_BYTES, decode, encode
from ironscale.learned.extension import AgentChannel, LearnedStateTasks, learned_state_extension
from ironscale.learned.peer_transfer import REQUEST_LINE, DonorClient, DonorServer, fetch_snapshot
from ironscale.learned.persistence import SnapshotCollector, SnapshotPersistence
from ironscale.learned.store import OsFileSystem, SnapshotFile, load_snapshot, path_for
from ironscale.learned.timestamps import current_timestamp, machine_boot_id
from ironscale.net.listing import upstream_id
from ironscale.operator_file import ControlConfig, LearnedConfig
from ironscale.standins.discovery import listing
from ironscale.standins.upstream import Peer, reset
from ironscale.threads import run_in_thread
from tests.agent.agent_harness import section
from tests.learned.samples import snapshot, upstream_sample
from tests.sockets import Scene, run, until


async def scene_with(peers: list[Peer]) -> Scene:
    return await Scene().start(*(peer.entry(f"up-{i}") for i, peer in enumerate(peers)))


async def peers_of(count: int) -> list[Peer]:
    return [await Peer().start() for _ in range(count)]


def make_saver(scene: Scene, store: SnapshotFile, every_s: float = 0.05) -> SnapshotPersistence:
    return SnapshotPersistence(scene.sidecar, store, every_s, SnapshotCollector(scene.sidecar))


@contextlib.asynccontextmanager
async def running(*tasks: asyncio.Task[None]) -> AsyncIterator[None]:
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def free_address() -> tuple[str, int]:
    with socket.create_server(("127.0.0.1", 0)) as found:
        return "127.0.0.1", int(found.getsockname()[1])


def test_state_is_saved_while_serving_and_loaded_by_the_next_process(tmp_path: Path) -> None:
    async def test() -> None:
        peers = await peers_of(3)
        scene = await scene_with(peers)
        saver = make_saver(scene, SnapshotFile(path_for(tmp_path, "n0")))
        async with running(asyncio.create_task(saver.run())):
            for _ in range(30):
                assert (await scene.call()).status == 200
            await until(lambda: saver.written_state_us == scene.sidecar.balancer.last_observed_us)
        saver.file.release()
        writes = saver.write_count
        assert writes >= 1
        views = {view.id: view for view in upstream_views(scene.sidecar.balancer)}
        other = await scene_with(peers)
        again = make_saver(other, SnapshotFile(path_for(tmp_path, "n0")))
        async with running(asyncio.create_task(again.run())):
            await again.read_done.wait()
            for ident, server in other.sidecar.balancer.upstreams.items():
                assert server.lesson is not None and server.lesson.min_latency_us == views[ident].min_latency_us
            await until(lambda: other.discovery.writers)
            other.discovery.line(listing(*(peer.entry(f"up-{i}") for i, peer in enumerate(peers))))
            await until(lambda: other.sidecar.balancer.latency[0].has_samples)  # after a list from discovery itself

    run(test)


def test_unchanged_state_is_not_written_again(tmp_path: Path) -> None:
    async def test() -> None:
        scene = await scene_with(await peers_of(1))
        saver = make_saver(scene, SnapshotFile(path_for(tmp_path, "n0")))
        await saver.write()
        assert saver.write_in_progress is None
        await scene.call()
        for _ in range(3):
            await saver.write()
            assert saver.write_in_progress is not None
            await saver.write_in_progress
        assert saver.write_count == 1

    run(test)


class BlockingSync(OsFileSystem):
    """Its sync blocks until `unblock` is set, as on a disk that hangs."""

    def __init__(self) -> None:
        self.unblock = threading.Event()
        self.waits = 0

    def fsync(self, handle: int) -> None:
        self.waits += 1
        assert self.unblock.wait(60)
        super().fsync(handle)


def test_a_blocking_sync_delays_neither_serving_nor_shutdown(tmp_path: Path, capfd: pytest.CaptureFixture[str],
                                                             monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(persistence, "FINAL_WRITE_TIMEOUT_S", 0.2)

    async def test() -> None:
        scene = await scene_with(await peers_of(2))
        files = BlockingSync()
        saver = make_saver(scene, SnapshotFile(path_for(tmp_path, "n0"), files))
        try:
            async with running(asyncio.create_task(saver.run())):
                await scene.call()
                await until(lambda: files.waits == 1)
                for _ in range(50):
                    assert (await scene.call()).status == 200
                await until(lambda: saver.skipped_writes > 0)
                assert saver.write_count == 0 and files.waits == 1  # one at a time
            started_s = asyncio.get_running_loop().time()
            await saver.write_final()
            assert asyncio.get_running_loop().time() - started_s < 5
            files.unblock.set()
            await until(lambda: saver.write_count == 1)
        finally:
            files.unblock.set()

    run(test)
    text = capfd.readouterr().err
    assert text.count("still being written") == 1 and "was not written within 0.2 s" in text


class SlowRead(OsFileSystem):
    def __init__(self, event: threading.Event) -> None:
        self.event = event

    def read(self, path: str) -> bytes | None:
        assert self.event.wait(60)
        return super().read(path)


def test_a_blocking_read_does_not_delay_the_start(tmp_path: Path, monkeypatch: pytest.MonkeyPatch,
                                                  capfd: pytest.CaptureFixture[str]) -> None:
    monkeypatch.setattr(persistence, "READ_TIMEOUT_S", 0.2)

    async def test() -> None:
        event = threading.Event()
        scene = await scene_with(await peers_of(2))
        saver = make_saver(scene, SnapshotFile(path_for(tmp_path, "n0"), SlowRead(event)))
        try:
            async with running(asyncio.create_task(saver.run())):
                assert (await scene.call()).status == 200
                await saver.read_done.wait()
        finally:
            event.set()

    run(test)
    assert "got nothing; starting without learned state" in capfd.readouterr().err


class Failing(OsFileSystem):
    def __init__(self, code: int) -> None:
        self.code = code
        self.tries = 0

    def write(self, path: str, data: bytes) -> None:
        self.tries += 1
        raise OSError(self.code, errno.errorcode[self.code])


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_a_failing_write_is_logged_once_and_retried(
        code: int, tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    async def test() -> None:
        scene = await scene_with(await peers_of(1))
        files = Failing(code)
        saver = make_saver(scene, SnapshotFile(path_for(tmp_path, "n0"), files))
        async with running(asyncio.create_task(saver.run())):
            while files.tries < 3:
                assert (await scene.call()).status == 200
        assert saver.write_count == 0

    run(test)
    assert capfd.readouterr().err.count(f"can't write: {errno.errorcode[code]}") == 1


def test_a_folder_that_can_not_be_created_is_logged(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "file").write_text("")

    async def test() -> None:
        scene = await scene_with(await peers_of(1))
        saver = make_saver(scene, SnapshotFile(path_for(tmp_path / "file", "n0")))
        await saver.recall()
        assert (await scene.call()).status == 200
        await saver.write_final()
        assert (await scene.call()).status == 200

    run(test)
    text = capfd.readouterr().err
    assert "Not a directory" in text and "can't write: File exists" in text


def test_a_second_process_with_the_same_file_logs_it_and_writes_nothing(tmp_path: Path,
                                                                        capfd: pytest.CaptureFixture[str]) -> None:
    async def test() -> None:
        peers = await peers_of(1)
        first, second = await scene_with(peers), await scene_with(peers)
        savers = [make_saver(scene, SnapshotFile(path_for(tmp_path, "n0"))) for scene in (first, second)]
        await first.call()
        await savers[0].write_final()
        before = Path(savers[0].file.current).read_bytes()
        await second.call()
        await savers[1].write_final()
        assert savers[1].write_count == 0 and Path(savers[0].file.current).read_bytes() == before
        savers[0].file.release()  # as when its process ends
        await savers[1].write_final()
        assert savers[1].write_count == 1

    run(test)
    assert "another process holds the lock; this one does not write" in capfd.readouterr().err


def test_an_invalid_file_is_logged_and_the_start_is_cold(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    path = path_for(tmp_path, "n0")
    path.write_bytes(b"rubbish")

    async def test() -> None:
        scene = await scene_with(await peers_of(1))
        saver = make_saver(scene, SnapshotFile(path))
        await saver.recall()
        assert (await scene.call()).status == 200
        assert not scene.sidecar.balancer.lessons

    run(test)
    assert "expected it to begin with b'ISLEARN\\n', got b'rubbish'; not used" in capfd.readouterr().err


def test_a_thread_that_outlives_the_event_loop_is_harmless() -> None:
    """The process may end during a write, whose result must not be reported to a closed event loop."""
    event, done = threading.Event(), threading.Event()

    def slow() -> None:
        event.wait(30)
        done.set()

    async def test() -> None:
        run_in_thread(slow)

    run(test)
    event.set()
    assert done.wait(30)


# Transfer between peers


def test_a_starting_sidecar_learns_from_a_running_one() -> None:
    async def test() -> None:
        peers = await peers_of(4)
        peers[0].behave = reset
        old, new = await scene_with(peers), await scene_with(peers)
        donor_server = DonorServer(SnapshotCollector(old.sidecar), ("127.0.0.1", 0))
        donor_server.collector.started_us -= 60_000_000  # as if it had run for a minute
        async with running(asyncio.create_task(donor_server.run())):
            while (old.sidecar.balancer.upstreams[upstream_id("up-0")].window.slots > 0.2
                   or len(learned_state(old.sidecar.balancer).upstreams) < 4):
                await old.call()
            await until(donor_server.port)
            donor_client = DonorClient(new.sidecar, SnapshotCollector(new.sidecar), random.Random(1))
            assert await donor_client.learn([("127.0.0.1", donor_server.port())])
        bad = new.sidecar.balancer.upstreams[upstream_id("up-0")]
        assert bad.lesson is not None and not bad.lesson.first_hand and bad.window.slots < 0.5
        assert donor_client.upstream_count == 4 and donor_server.answered_count == 1

    run(test)


async def start_donor(answer: bytes, hold: bool = False) -> tuple[str, int]:
    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(len(REQUEST_LINE))
        writer.write(answer)
        if hold:
            await reader.read()
        writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    return "127.0.0.1", int(server.sockets[0].getsockname()[1])


def framed(data: bytes, age_us: int = 0) -> bytes:
    return age_us.to_bytes(8) + len(data).to_bytes(4) + data


def test_donors_that_are_faulty_hang_or_are_unreachable_cost_a_bounded_time(monkeypatch: pytest.MonkeyPatch,
                                                                            capfd: pytest.CaptureFixture[str]) -> None:
    monkeypatch.setattr(peer_transfer, "DONORS_TIMEOUT_S", 0.5)

    async def test() -> None:
        scene = await scene_with(await peers_of(2))
        data = encode(snapshot(0, taken_at=current_timestamp(machine_boot_id()), upstreams=(upstream_sample("up-0"),)))
        donors = [
            await start_donor(b"", hold=True), await start_donor(b"\xff" * 12), await start_donor(framed(data)[:-3]),
            await start_donor(framed(data, 10**9)), await start_donor(framed(b"x" + data[1:])),
            await start_donor((0).to_bytes(8) + (MAX_BYTES + 1).to_bytes(4)), free_address(),
        ]
        monkeypatch.setattr(peer_transfer, "MAX_DONORS", 10)
        donor_client = DonorClient(scene.sidecar, SnapshotCollector(scene.sidecar), random.Random(1))
        started_s = asyncio.get_running_loop().time()
        assert not await donor_client.learn(donors)
        assert asyncio.get_running_loop().time() - started_s < 10
        assert (await scene.call()).status == 200
        assert await donor_client.learn([*donors, await start_donor(framed(data))])  # one valid donor is enough

    run(test)
    text = capfd.readouterr().err
    for words in ("expected 4194304 bytes at most, of the last 60 s", "expected it to begin with", "refused",
                  "no answer in time", "bytes read on a total of"):
        assert words in text, words


def test_after_the_first_answer_other_donors_are_not_waited_for_long(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_transfer, "DONORS_TIMEOUT_S", 20.0)
    monkeypatch.setattr(peer_transfer, "AFTER_FIRST_TIMEOUT_S", 0.1)

    async def test() -> None:
        scene = await scene_with(await peers_of(1))
        donor_client = DonorClient(scene.sidecar, SnapshotCollector(scene.sidecar), random.Random(1))
        data = encode(snapshot(0, taken_at=current_timestamp(machine_boot_id()), upstreams=(upstream_sample("up-0"),)))
        assert await donor_client.learn([await start_donor(b"", hold=True), await start_donor(framed(data))])

    run(test, 10)


@pytest.mark.parametrize("asked", [b"", b"GET / HTTP/1.1\r\n\r\n", REQUEST_LINE[:5], b"\0" * 5000])
def test_an_invalid_request_gets_no_answer(asked: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_transfer, "CONNECTION_TIMEOUT_S", 0.2)

    async def test() -> None:
        scene = await scene_with(await peers_of(1))
        donor_server = DonorServer(SnapshotCollector(scene.sidecar), ("127.0.0.1", 0))
        async with running(asyncio.create_task(donor_server.run())):
            await until(donor_server.port)
            reader, writer = await asyncio.open_connection("127.0.0.1", donor_server.port())
            writer.write(asked)
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
            writer.close()
            assert (await fetch_snapshot(("127.0.0.1", donor_server.port())))[1]  # the next client is still served

    run(test)


def test_five_hundred_clients_at_once_are_served_from_few_snapshots() -> None:
    async def test() -> None:
        scene = await scene_with(await peers_of(3))
        for _ in range(20):
            await scene.call()
        donor_server = DonorServer(SnapshotCollector(scene.sidecar), ("127.0.0.1", 0))
        most_open = 0

        async def fetch() -> bytes:
            async with asyncio.timeout(30):
                return (await fetch_snapshot(("127.0.0.1", donor_server.port())))[1]

        async with running(asyncio.create_task(donor_server.run())):
            await until(donor_server.port)
            started_s = asyncio.get_running_loop().time()
            waiting = [asyncio.create_task(fetch()) for _ in range(500)]
            while not all(task.done() for task in waiting):
                most_open = max(most_open, peer_transfer.MAX_OPEN - donor_server.free_slots._value)
                assert (await scene.call()).status == 200
                await asyncio.sleep(0.01)
            received = [task.result() for task in waiting]
            took_s = asyncio.get_running_loop().time() - started_s
        assert len(decode(received[0]).upstreams) == 3
        assert took_s >= 500 / peer_transfer.MAX_ACCEPTS_PER_S * 0.9  # accepted at the limited rate
        assert (donor_server.collected_count <= took_s / peer_transfer.SNAPSHOT_INTERVAL_S + 2
                and most_open <= peer_transfer.MAX_OPEN)

    run(test)


def test_a_listening_address_in_use_is_retried(monkeypatch: pytest.MonkeyPatch,
                                               capfd: pytest.CaptureFixture[str]) -> None:
    monkeypatch.setattr(peer_transfer, "LISTEN_RETRY_S", 0.05)

    async def test() -> None:
        scene = await scene_with(await peers_of(1))
        taken = socket.create_server(("127.0.0.1", 0))
        donor_server = DonorServer(SnapshotCollector(scene.sidecar), taken.getsockname())
        async with running(asyncio.create_task(donor_server.run())):
            await asyncio.sleep(0.1)
            assert donor_server.port() == 0 and (await scene.call()).status == 200
            taken.close()
            await until(donor_server.port)

    run(test)
    assert "can't listen at 127.0.0.1" in capfd.readouterr().err


def test_the_extension_runs_with_a_sidecar_and_writes_at_its_end(tmp_path: Path) -> None:
    async def test() -> None:
        peers = await peers_of(2)
        donor = await start_donor(framed(encode(snapshot(0, taken_at=current_timestamp(machine_boot_id()),
                                                         upstreams=(upstream_sample("up-0", started_us=0),)))))
        scene = await scene_with(peers)
        learned = LearnedConfig(tmp_path, 3600.0, ("127.0.0.1", 0), (donor,))
        async with learned_state_extension(learned)(scene.sidecar, lambda: None):
            await until(lambda: scene.sidecar.balancer.upstreams[upstream_id("up-0")].lesson)
            await scene.call()
            await scene.call()
        found, _, lines = load_snapshot(SnapshotFile(path_for(tmp_path, "n0")), "n0",
                                        current_timestamp(machine_boot_id()))
        assert found is not None and lines == [] and any(one.first_hand for one in found.upstreams)

    run(test)


def test_an_extension_error_is_logged_and_does_not_end_the_sidecar(tmp_path: Path, monkeypatch: pytest.MonkeyPatch,
                                                                   capfd: pytest.CaptureFixture[str]) -> None:
    async def broken(self: object) -> None:
        raise RuntimeError("broken on purpose")

    monkeypatch.setattr(LearnedStateTasks, "run_all", broken)

    async def test() -> None:
        scene = await scene_with(await peers_of(1))
        async with learned_state_extension(LearnedConfig(tmp_path))(scene.sidecar, lambda: None):
            await asyncio.sleep(0)
            assert (await scene.call()).status == 200

    run(test)
    text = capfd.readouterr().err
    assert "learned: the extension has failed, serving goes on" in text and "broken on purpose" in text


def test_restored_failure_shares_of_idle_connections_decay() -> None:
    async def test() -> None:
        scene = await scene_with(await peers_of(1))
        ages = scene.sidecar.upstreams.idle_failures
        ages.restore([1.0] * 65, 0)
        assert not ages.is_reliable(1 << 20)
        for _ in range(11):  # seconds
            ages.decay()
        assert ages.is_reliable(1 << 20)
        ages.shares = [0.0] * 65
        ages.restore([1.0] * 65, 12_000_000)
        assert ages.is_reliable(1 << 20)
        ages.restore([1.0] * 65, 7 * 86_400_000_000)
        assert max(ages.shares) < 0.3

    run(test)


def test_an_agent_names_donors_to_a_starting_sidecar(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Two sidecars, each with its agent client; the second learns from the first."""
    monkeypatch.setattr(fleet, "DONOR_MIN_UPTIME_MS", 0)
    monkeypatch.setattr(confidence, "MIN_DONOR_UPTIME_US", 0)

    async def test() -> None:
        peers = await peers_of(3)
        old, new = await scene_with(peers), await scene_with(peers)
        async with agent_running(section(tmp_path / "agent", heartbeat_s=0.05)) as agent:
            control = ControlConfig((("127.0.0.1", agent.control_port),), tmp_path / "agent" / "instance.token")

            @contextlib.asynccontextmanager
            async def one(scene: Scene, name: str, learned: LearnedConfig) -> AsyncIterator[AgentChannel]:
                scene.sidecar.config.name = name
                channel = AgentChannel()
                both = combine_extensions([learned_state_extension(learned, channel),
                                           control_extension(control, {}, channel)])
                assert both is not None
                async with both(scene.sidecar, lambda: None):
                    yield channel

            async with one(old, "old", LearnedConfig(teach=("127.0.0.1", 0))):
                while len(learned_state(old.sidecar.balancer).upstreams) < 3:
                    await old.call()
                await until(lambda: "old" in agent.fleet.donor_addresses and agent.fleet.members["old"].report)
                async with one(new, "new", LearnedConfig(from_agent=True)) as channel:
                    await until(lambda: channel.tasks is not None and channel.tasks.donor_client.has_learned)
                    assert all(server.lesson for server in new.sidecar.balancer.upstreams.values())

    run(test)


def test_an_agent_can_not_make_a_sidecar_connect_to_other_machines() -> None:
    async def test() -> None:
        scene = await scene_with(await peers_of(1))
        channel = AgentChannel()
        async with learned_state_extension(LearnedConfig(from_agent=True), channel)(scene.sidecar, lambda: None):
            assert channel.tasks is not None
            channel.offer_donors(["10.0.0.1:80", "example.org:443", "nonsense", ""])
            assert channel.tasks.offered_donors.empty()
            channel.offer_donors(["10.0.0.1:80", "127.0.0.1:9"])
            assert channel.tasks.offered_donors.get_nowait() == (("127.0.0.1", 9),)

    run(test)


def test_learned_state_of_unknown_upstreams_is_rejected(capfd: pytest.CaptureFixture[str]) -> None:
    async def test() -> None:
        scene = await scene_with(await peers_of(1))
        others = snapshot(0, taken_at=current_timestamp(machine_boot_id()),
                          upstreams=(upstream_sample("another-service-0"),))
        donor_client = DonorClient(scene.sidecar, SnapshotCollector(scene.sidecar), random.Random(1))
        assert not await donor_client.learn([await start_donor(framed(encode(others)))])
        assert not scene.sidecar.balancer.latency[0].has_samples

    run(test)
    assert "expected upstreams of this sidecar, got 1 others" in capfd.readouterr().err


def test_a_discovery_entry_that_the_decoder_rejects_is_left_out() -> None:
    async def test() -> None:
        peers = await peers_of(4)
        scene = await Scene().start(
            peers[0].entry("up-0"), peers[1].entry("up\x1b[1m"), peers[2].entry("x" * 300),
            peers[3].entry("up-3", startedAtMs=-10**15))
        while any(server.last_observed_us == 0 for server in scene.sidecar.balancer.upstreams.values()):
            await scene.call()
        found = decode(await SnapshotCollector(scene.sidecar).collect())
        assert [one.name for one in found.upstreams] == ["up-0"]

    run(test)
