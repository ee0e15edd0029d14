"""Agents that replicate the version log and serve it over loopback sockets, also while the store is unreachable."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from ironscale.agent import follower_connections
from ironscale.agent.serve import Agent, AgentError, running
from ironscale.agent.store import StoreError
from ironscale.control.frames import FrameDecoder, encode_frame
from ironscale.control.messages import (
    PROTOCOL,
    TO_FOLLOWER,
    Denied,
    FollowRequest,
    RunningReport,
    VersionUpdate,
    parse_message,
    serialize_message,
)
from ironscale.operator_file import read_secret
from ironscale.versions.compacted_log import Change, View
from ironscale.versions.model import ALL, Entry, Labels, Scope, combine_layers, overlay_digest, parse_scope
from ironscale.versions.publishing import Draft
from ironscale.versions.serving import AdmissionBucket
from ironscale.versions.snapshot import Snapshot, SnapshotError, Token, assemble, decode
from ironscale.versions.snapshot import encode as to_bytes
from tests.agent.agent_harness import run, section, until

TERM_S = 1.0


class RawFollower:
    """A minimal follower: a socket and a view of the versions."""

    def __init__(self, agent: Agent, name: str = "i0", token: str = "", zone: str = "", lineage: str = "",
                 position: int = 0) -> None:
        self.port, self.view, self.updates = agent.control_port, View(), list[VersionUpdate]()
        self.labels = Labels(name, zone=zone)
        self.token = token or TOKENS[-1]
        self.lineage, self.position = lineage, position
        self.denied: Denied | None = None
        self.ended = False
        self.reads = asyncio.Event()
        self.reads.set()
        self.heard_s = 0.0
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 12)
        try:
            self.writer.write(encode_frame(serialize_message(FollowRequest(
                PROTOCOL, self.token, self.labels.instance, "b", "", self.labels.zone, "", self.lineage,
                self.position))))
            decoder = FrameDecoder()
            while True:
                await self.reads.wait()
                data = await reader.read(1 << 16)
                if not data:
                    break
                decoder.feed(data)
                while (raw := decoder.next_message()) is not None:
                    message = parse_message(raw, TO_FOLLOWER)
                    if isinstance(message, Denied):
                        self.denied = message
                    elif isinstance(message, VersionUpdate):
                        self.take(message)
        except OSError:
            pass
        finally:
            self.ended = True
            self.writer.close()

    def take(self, update: VersionUpdate) -> None:
        self.updates.append(update)
        self.heard_s = time.monotonic()
        if update.position < max(self.position, self.view.position):
            assert not update.entries, "an older position came with entries"
            return
        entries = tuple(Entry(layer.version, parse_scope(layer.scope), layer.overlay) for layer in update.entries)
        self.view.apply(Change(update.lineage, update.position, update.since if self.view.position else 0,
                              update.snapshot, update.floor, entries))
        if not self.position:
            assert update.digest == overlay_digest(combine_layers(self.view.layers_for(self.labels)))

    def runs(self, status: str = "applied", **changes: Any) -> None:
        at = self.view.position
        values = {"position": at, "running": at,
                  "digest": overlay_digest(combine_layers(self.view.layers_for(self.labels))), **changes}
        self.writer.write(encode_frame(serialize_message(RunningReport(status=status, **values))))

    async def close(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


TOKENS = [""]


def standby_section(folder: Path, name: str, **changes: Any) -> Any:
    (folder / "r").mkdir(exist_ok=True)
    return section(folder / name, record=folder / "r" / "record.db", standby=True, term_s=TERM_S, **changes)


@contextlib.asynccontextmanager
async def leader_and_standby(folder: Path, **changes: Any) -> AsyncIterator[tuple[Agent, Agent]]:
    """Runs a leading agent and a standby agent."""
    async with running(standby_section(folder, "a0")) as first:
        await first.leading.wait()
        TOKENS.append(read_secret(folder / "a0" / "instance.token"))
        async with running(standby_section(folder, "a1", **changes)) as second:
            yield first, second


async def publish(agent: Agent, overlay: dict[str, Any] | None = None, scope: Scope = ALL) -> int:
    newest = agent.replica.serving.view.entries.get(scope)
    draft = Draft(scope, overlay or {"settings": {"instances": 2}}, newest.version if newest else 0)
    return (await agent.engine.publisher.publish("ann", draft))[0].entry.version


def test_a_standby_agent_serves_what_the_leader_publishes(tmp_path: Path) -> None:
    async def test() -> None:
        async with leader_and_standby(tmp_path) as (first, second):
            near, far = RawFollower(first, "i0"), RawFollower(second, "i1", zone="a")
            await until(lambda: near.updates and far.updates)
            assert await publish(first) == 1
            at_s = time.monotonic()
            await until(lambda: near.view.position == 1 and far.view.position == 1)
            assert time.monotonic() - at_s < 5.0
            await publish(first, {"settings": {"instances": 3}}, parse_scope("zone=a"))
            await until(lambda: near.view.position == 2 and far.view.position == 2)
            assert near.view.entries.keys() == {ALL} and len(far.view.entries) == 2
            assert not second.leading.is_set() and far.updates[-1].age_ms < 2_500
            # Without new versions, the position is sent once a second.
            count = len(far.updates)
            await asyncio.sleep(2.2)
            assert 2 <= len(far.updates) - count <= 5
            await near.close()
            await far.close()

    run(test)


def test_a_version_is_read_from_the_log_if_its_publisher_fails_before_sending_it(tmp_path: Path) -> None:
    """The follower's connection also survives its agent becoming the leader."""
    async def test() -> None:
        async with contextlib.AsyncExitStack() as later:
            async with running(standby_section(tmp_path, "a0")) as first:
                await first.leading.wait()
                TOKENS.append(read_secret(tmp_path / "a0" / "instance.token"))
                second = await later.enter_async_context(running(standby_section(tmp_path, "a1")))
                follower = RawFollower(second)
                await until(lambda: follower.updates)

                def step(where: str) -> None:
                    if where == "after a version's commit":
                        raise RuntimeError("gone")

                first.replica.attach(None)
                first.engine.publisher.test_hook = step
                with pytest.raises(RuntimeError):
                    await publish(first)
                await until(lambda: follower.view.position == 1)
                assert first.replica.serving.view.position == 0
            await second.leading.wait()
            await publish(second, {"settings": {"instances": 5}})
            await until(lambda: follower.view.position == 2)
            assert not follower.ended
            await follower.close()

    run(test)


def test_without_the_store_an_agent_serves_its_replica_with_its_age_and_catches_up(tmp_path: Path,
                                                                         monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with leader_and_standby(tmp_path) as (first, second):
            await publish(first)
            follower = RawFollower(second)
            await until(lambda: follower.view.position == 1)
            store = second.replica.store
            assert store is not None
            read_was = store.read

            async def away(work: Callable[..., Any]) -> Any:
                raise StoreError("AWAY", "the record is not reached")

            monkeypatch.setattr(store, "read", away)
            await publish(first, {"settings": {"instances": 4}})
            await until(lambda: follower.updates[-1].age_ms > 2_500)
            assert follower.view.position == 1
            newcomer = RawFollower(second, "i9")  # a new follower gets what the replica holds
            await until(lambda: newcomer.view.position == 1)
            assert newcomer.updates[-1].age_ms > 2_500
            monkeypatch.setattr(store, "read", read_was)
            await until(lambda: follower.view.position == 2 and newcomer.view.position == 2)
            assert follower.updates[-1].age_ms < 2_500
            assert [u.position for u in follower.updates] == sorted(u.position for u in follower.updates)
            for one in (follower, newcomer):
                await one.close()

    run(test)


def test_the_replica_of_a_leader_with_an_unconfirmed_term_grows_old(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(standby_section(tmp_path, "a0")) as agent:
            await agent.leading.wait()
            TOKENS.append(read_secret(tmp_path / "a0" / "instance.token"))
            await publish(agent)
            store = agent.replica.store
            assert store is not None
            store.on_write_confirmed = lambda: None  # type: ignore[attr-defined]
            store.term = replace(store.term, until_ms=0)
            at = agent.replica.last_read_ms
            await asyncio.sleep(0.8)
            assert agent.replica.last_read_ms == at

    run(test)


def saved_snapshot(folder: Path, **changes: Any) -> Snapshot:
    """The agent's snapshot, with `changes` to its fields."""
    return replace(decode((folder / "versions.snapshot").read_bytes()), **changes)


async def wait_until_saved(folder: Path, position: int) -> None:
    path = folder / "versions.snapshot"

    def there() -> bool:
        with contextlib.suppress(SnapshotError):  # an invalid file written by a test
            return path.exists() and decode(path.read_bytes()).position == position
        return False

    await until(there)


@contextlib.contextmanager
def store_unreachable(folder: Path) -> Any:
    (folder / "r").rename(folder / "elsewhere")
    try:
        yield
    finally:
        (folder / "elsewhere").rename(folder / "r")


def unchanged_standby_section(folder: Path, name: str) -> Any:
    return section(folder / name, record=folder / "r" / "record.db", standby=True, term_s=TERM_S)


async def publish_one_version(folder: Path) -> None:
    """Runs two agents that publish one version and save it in their snapshots."""
    async with leader_and_standby(folder) as (first, second):
        await publish(first)
        await wait_until_saved(folder / "a1", 1)
        assert (folder / "a1" / "versions.snapshot").stat().st_mode & 0o777 == 0o600
        assert second.has_snapshot is False


def test_an_agent_started_without_the_store_serves_its_snapshot_and_catches_up(tmp_path: Path,
                                                                                capsys: Any) -> None:
    async def test() -> None:
        await publish_one_version(tmp_path)
        path = tmp_path / "a1" / "versions.snapshot"
        now_ms = time.time_ns() // 1_000_000
        path.write_bytes(to_bytes(saved_snapshot(tmp_path / "a1", reached_ms=now_ms - 86_400_000)))  # yesterday's
        async with contextlib.AsyncExitStack() as later:
            with store_unreachable(tmp_path):
                agent = await later.enter_async_context(running(unchanged_standby_section(tmp_path, "a1")))
                follower = RawFollower(agent)
                await until(lambda: follower.view.position == 1)
                assert 86_000_000 < follower.updates[-1].age_ms < 87_000_000
                ahead = RawFollower(agent, "i1", lineage=follower.view.lineage, position=3)
                await until(lambda: len(ahead.updates) > 1)
                stranger = RawFollower(agent, "i2", token="x" * 40)  # tokens are checked against those in the snapshot
                await until(lambda: stranger.ended)
                assert stranger.denied is not None and stranger.denied.code == "TOKEN"
            await agent.leading.wait()  # the store is back, and the connections are still open
            await until(lambda: follower.updates[-1].age_ms < 2_500)
            for n in (2, 3, 4):
                await publish(agent, {"settings": {"instances": n}})
            await until(lambda: follower.view.position == 4 and ahead.updates[-1].position == 4)
            assert all(layer.version == 4 for update in ahead.updates for layer in update.entries)
            for one in (follower, ahead, stranger):
                await one.close()
        assert "position 1, 1 scopes, 86" in capsys.readouterr().err

    run(test)


@pytest.mark.parametrize(("bytes_of", "told"), [
    (lambda data: data[:-9], "as its length says, got"), (lambda data: b"", "expected it to begin with"),
    (lambda data: assemble([], 9), "expected version 1 to 1, got 9: written by a newer program; not used")])
def test_an_invalid_snapshot_is_logged_and_not_served(tmp_path: Path, capsys: Any, told: str,
                                                              bytes_of: Callable[[bytes], bytes]) -> None:
    async def test() -> None:
        await publish_one_version(tmp_path)
        path = tmp_path / "a1" / "versions.snapshot"
        path.write_bytes(bytes_of(path.read_bytes()))
        with store_unreachable(tmp_path), pytest.raises((StoreError, AgentError)):
            async with running(unchanged_standby_section(tmp_path, "a1")):
                pass
        err = capsys.readouterr().err
        assert f"{path}: " in err and told in err
        async with running(unchanged_standby_section(tmp_path, "a1")) as agent:  # starts with the store
            await until(lambda: agent.replica.serving.view.position == 1)
            await wait_until_saved(tmp_path / "a1", 1)

    run(test)


def test_a_snapshot_of_another_lineage_is_dropped_and_later_changes_of_lineage_are_refused(
        tmp_path: Path, capsys: Any) -> None:
    async def test() -> None:
        await publish_one_version(tmp_path)
        path = tmp_path / "a1" / "versions.snapshot"
        path.write_bytes(to_bytes(saved_snapshot(tmp_path / "a1", lineage="ffff", position=50)))
        async with contextlib.AsyncExitStack() as later:
            with store_unreachable(tmp_path):
                agent = await later.enter_async_context(running(unchanged_standby_section(tmp_path, "a1")))
                follower = RawFollower(agent)
                await until(lambda: follower.view.position == 50)
            await until(lambda: follower.ended)
            assert follower.denied is not None and follower.denied.code == "LINEAGE"
            again = RawFollower(agent)
            await until(lambda: again.view.position == 1)
            lineage, reached = again.view.lineage, agent.replica.last_read_ms
            agent.replica.apply(Change("eeee", 9, 0, True, 0, (Entry(9, ALL, {"no": 1}),)), 1e15)
            assert agent.replica.serving.view.lineage == lineage and agent.replica.last_read_ms == reached
            await again.close()
            await follower.close()
        err = capsys.readouterr().err
        assert "it is of lineage ffff, the store of" in err
        assert "got eeee: still serving position 1 of the former" in err

    run(test)


def test_the_served_position_never_goes_backwards(tmp_path: Path, capsys: Any) -> None:
    async def test() -> None:
        async with running(section(tmp_path / "a")) as agent:
            for n in (2, 3):
                await publish(agent, {"settings": {"instances": n}})
            view = agent.replica.serving.view
            reached = agent.replica.last_read_ms
            agent.replica.apply(Change(view.lineage, 1, 0, True, 0, ()), 1e15)
            assert view.position == 2 and agent.replica.last_read_ms == reached
        assert "the store is at position 1, behind the served position 2" in capsys.readouterr().err

    run(test)


def test_a_follower_that_reads_nothing_delays_nobody_and_uses_little_memory(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(section(tmp_path / "a")) as agent:
            TOKENS.append(read_secret(tmp_path / "a" / "instance.token"))
            slow, other = RawFollower(agent, "i0"), RawFollower(agent, "i1")
            await until(lambda: slow.updates and other.updates)
            slow.reads.clear()
            link = next(link for link in agent.followers.links.values() if link.name == "i0")
            assert link.subscriber is not None and link.transport is not None
            most = 0
            for n in range(10_000):
                if link.subscriber.slow_since_s >= 0:
                    break
                version = await publish(agent, {"settings": {"x": [f"{random.Random(n).random()}"] * 900}})
                await until(lambda version=version: other.view.position == version)  # type: ignore[misc]
                most = max(most, link.transport.get_write_buffer_size())
            assert link.subscriber.slow_since_s >= 0, "it was never classified as slow"
            for n in range(5):
                version = await publish(agent, {"settings": {"instances": n + 1}})
                await until(lambda version=version: other.view.position == version)  # type: ignore[misc]
                most = max(most, link.transport.get_write_buffer_size())
            assert most < follower_connections.WRITE_BUFFER_BYTES + (64 << 10)
            count = len(slow.updates)
            slow.reads.set()
            await until(lambda: slow.view.position == version)
            assert len(slow.updates) - count < n + 200  # the missed versions came in one update
            await slow.close()
            await other.close()

    run(test)


def test_many_new_followers_are_admitted_at_a_limited_rate_and_told_when_to_retry(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(section(tmp_path / "a")) as agent:
            TOKENS.append(read_secret(tmp_path / "a" / "instance.token"))
            await publish(agent)
            agent.replica.serving.bucket = AdmissionBucket(100.0, 20.0)
            began_s, joined, tries = time.monotonic(), list[float](), 0

            async def one(number: int) -> RawFollower:
                nonlocal tries
                while True:
                    tries += 1
                    raw = RawFollower(agent, f"i{number}")
                    while not (raw.updates or raw.denied):
                        await asyncio.sleep(0.01)
                    if raw.denied is None:
                        joined.append(time.monotonic() - began_s)
                        return raw
                    assert raw.denied.code == "BUSY" and 0 < raw.denied.retry_ms <= 10_000
                    await raw.close()
                    await asyncio.sleep(raw.denied.retry_ms / 1000)

            found = await asyncio.gather(*(one(n) for n in range(200)))
            assert len(agent.followers.links) == 200
            assert joined[-1] >= 1.7  # 180 at 100 a second
            assert tries < 800
            sent, made = agent.followers.frames_sent, agent.followers.encoded_updates.encoded_count
            await publish(agent, {"settings": {"instances": 3}})
            await until(lambda: all(raw.view.position == 2 for raw in found))
            sent, made = agent.followers.frames_sent - sent, agent.followers.encoded_updates.encoded_count - made
            assert sent >= 200 and made <= sent / 4  # followers share encoded frames
            for raw in found:
                await raw.close()
            await until(lambda: not agent.followers.links and not agent.replica.serving.subscribers)

    run(test)


def test_a_burst_of_versions_is_sent_as_few_updates(tmp_path: Path) -> None:
    async def test() -> None:
        async with leader_and_standby(tmp_path) as (first, second):
            near, far = RawFollower(first, "i0"), RawFollower(second, "i1")
            await until(lambda: near.updates and far.updates)
            counts = len(near.updates), len(far.updates)
            began_s = time.monotonic()
            for n in range(50):
                await publish(first, {"settings": {"instances": n + 1}})
            await until(lambda: near.view.position == 50 and far.view.position == 50)
            took_s = time.monotonic() - began_s
            for follower, count in zip((near, far), counts, strict=True):
                assert len(follower.updates) - count <= took_s / 0.1 + 2
                assert follower.view.entries[ALL].overlay == {"settings": {"instances": 50}}
                await follower.close()

    run(test)


def test_the_leader_collects_summaries_of_followers_and_reports_which_are_too_old(tmp_path: Path,
                                                                          monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follower_connections, "MAX_SUMMARY_AGE_S", 1.6)

    async def test() -> None:
        async with contextlib.AsyncExitStack() as later:
            first = await later.enter_async_context(running(standby_section(tmp_path, "a0")))
            await first.leading.wait()
            TOKENS.append(read_secret(tmp_path / "a0" / "instance.token"))
            with_token = standby_section(tmp_path, "a1", token_file=tmp_path / "a0" / "instance.token")
            async with running(with_token) as second, running(standby_section(tmp_path, "a2")) as quiet:
                await publish(first)
                ones = [RawFollower(second, "i0"), RawFollower(second, "i1"), RawFollower(quiet, "i2")]
                await until(lambda: all(one.view.position == 1 for one in ones))
                ones[0].runs()
                ones[1].runs("refused", running=0, detail="settings.no: what is it?")

                def told() -> Any:
                    found = {one.agent: one for one in first.followers.summary()}
                    return found.get(second.followers.own_address)

                await until(lambda: told() is not None and told().summary.counts == ((1, 1), (0, 1)))
                assert told().known and told().age_ms < 3_000 and told().summary.position == 1
                differs, = told().summary.differing
                assert (differs.name, differs.status, differs.detail) == ("i1", "refused", "settings.no: what is it?")
                # An agent without a token sends no summary, and one that doesn't lead accepts none.
                assert quiet.followers.own_address not in [one.agent for one in first.followers.summary()]
                assert [one.agent for one in second.followers.summary()] == [second.followers.own_address]
                for one in ones:
                    await one.close()
            await until(lambda: not told().known)

    run(test)


def test_invalid_follow_requests_are_denied_with_a_code(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(section(tmp_path / "a")) as agent:
            token = read_secret(tmp_path / "a" / "instance.token")
            for messages, code in (
                    ([FollowRequest(PROTOCOL + 1, token, "i", "b", "", "", "", "", 0)], "PROTOCOL"),
                    ([FollowRequest(PROTOCOL, "no", "i", "b", "", "", "", "", 0)], "TOKEN"),
                    ([FollowRequest(PROTOCOL, token, "i", "b", "", "", "", "other", 3)], "LINEAGE"),
                    ([FollowRequest(PROTOCOL, token, "i", "b", "", "", "", "", 0)] * 2, "NOT_UNDERSTOOD")):
                reader, writer = await asyncio.open_connection("127.0.0.1", agent.control_port)
                writer.write(b"".join(encode_frame(serialize_message(message)) for message in messages))
                decoder = FrameDecoder()
                decoder.feed(await reader.read())  # to the end, as the agent closes the connection
                found = []
                while (raw := decoder.next_message()) is not None:
                    found.append(parse_message(raw, TO_FOLLOWER))
                assert isinstance(found[-1], Denied) and found[-1].code == code
                writer.close()
            await until(lambda: not agent.followers.open)

    run(test)


def test_the_snapshot_keeps_when_a_token_was_revoked() -> None:
    token = Token("instance", "instance", "ab", 1, 5)
    assert decode(to_bytes(Snapshot("", 0, 0, (), (token,), 0))).tokens == (token,)
