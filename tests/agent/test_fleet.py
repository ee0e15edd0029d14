"""The in-memory fleet, without sockets: names, leases, ended processes, and loading the record after a restart."""

from __future__ import annotations

import os
from dataclasses import replace
from typing import Any

import pytest

from ironscale.agent.fleet import HEARTBEATS_PER_LEASE, MAX_HEARTBEATS_PER_S, Denial, Fleet, state_of
from ironscale.agent.store import InstanceRow
from ironscale.control.messages import PROTOCOL, Command, Hello
from ironscale.control.processes import machine_boot_id, start_ticks
from tests.control.test_frames import REPORT


class FakeLink:
    def __init__(self, boot: str) -> None:
        self.boot = boot
        self.closed = ""

    def command(self, command: Command) -> None:
        raise AssertionError("nothing is sent here")

    def close(self, why: str) -> None:
        self.closed = why


class Scene:
    def __init__(self, most: int = 10) -> None:
        self.now_ms = 1_000_000
        self.fleet = Fleet(6_000, 2_000, most, lambda: self.now_ms)
        self.changed: list[str] = []
        self.fleet.on_changed = self.changed.append

    def connect(self, name: str = "a", boot: str = "b1", **changes: Any) -> FakeLink:
        hello = Hello(PROTOCOL, name, boot, 1, "0", 5, "z", "h:1", "t", 0, 0, **changes)
        link = FakeLink(boot)
        self.fleet.check_registration(hello)
        self.fleet.register(hello, link, self.fleet.lease_and_heartbeat()[0])
        return link

    def state(self, name: str = "a") -> str:
        seen = self.fleet.observe(name)
        assert seen is not None
        return state_of(seen)


def test_lease_is_renewed_by_heartbeats_and_expires_without() -> None:
    s = Scene()
    link = s.connect()
    assert s.state() == "not ready"  # it has sent no report yet
    assert s.fleet.heartbeat("a", link, REPORT) and s.state() == "ready"
    s.now_ms += 5_999
    s.fleet.sweep()
    assert s.state() == "ready"
    s.now_ms += 1
    s.changed.clear()
    s.fleet.sweep()
    assert s.state() == "silent" and s.changed == ["a"]
    s.fleet.heartbeat("a", link, REPORT)
    assert s.state() == "ready"


def test_heartbeats_without_changes_wake_no_operation() -> None:
    s = Scene()
    link = s.connect()
    s.fleet.heartbeat("a", link, REPORT)
    s.changed.clear()
    for more in range(5):
        s.fleet.heartbeat("a", link, replace(REPORT, cpu_s=1.0 + more, open=3 + more))
    assert s.changed == []
    for report in (replace(REPORT, open=0), replace(REPORT, generation=9), replace(REPORT, draining=True)):
        s.fleet.heartbeat("a", link, report)
    assert s.changed == ["a"] * 3


def test_a_name_belongs_to_one_process() -> None:
    s = Scene()
    first = s.connect()
    with pytest.raises(Denial, match="which has its lease") as found:
        s.connect(boot="b2")
    assert found.value.code == "DUPLICATE" and found.value.retry_ms == 6_000
    again = s.connect()  # the same process, on another connection
    assert first.closed and not again.closed
    assert not s.fleet.heartbeat("a", first, REPORT)  # messages on the old connection are ignored
    successor = s.connect(boot="b2", replaces="b1")
    assert again.closed and not successor.closed and s.fleet.members["a"].row.boot == "b2"
    s.fleet.disconnect("a", again, "ended by itself: x")
    assert s.fleet.members["a"].row.ended == ""  # that was the end of the former process
    s.now_ms += 6_001
    s.fleet.sweep()
    s.connect(boot="b3")  # an expired lease does not block another process
    assert s.fleet.members["a"].row.boot == "b3"


def test_full_agent_denies_new_names_and_accepts_known_ones() -> None:
    s = Scene(most=1)
    s.connect()
    with pytest.raises(Denial, match="expected 1 instances at most"):
        s.connect("b")
    s.connect()


def test_most_exact_description_of_an_end_is_kept() -> None:
    s = Scene()
    link = s.connect()
    s.fleet.disconnect("a", link, "ended by itself: ended")
    assert s.state() == "gone" and s.fleet.members["a"].row.ended.startswith("ended by itself")
    s.fleet.process_ended("a", "b1", "exit 0")
    assert s.fleet.members["a"].row.ended == "exit 0"
    s.fleet.process_ended("a", "b1", "its process has ended")
    s.fleet.process_ended("a", "b0", "signal 9")  # of another process
    s.fleet.process_ended("nobody", "b1", "signal 9")
    assert s.fleet.members["a"].row.ended == "exit 0"


def test_broken_connection_means_death_only_of_a_local_process() -> None:
    s = Scene()
    s.fleet.disconnect("a", s.connect(), "")
    assert s.state() == "not ready"  # its lease is still valid
    here = s.connect("b", host=machine_boot_id(), ticks=77)  # pid 1 with another start time: that process has ended
    s.fleet.disconnect("b", here, "")
    assert s.state("b") == "gone"


def test_heartbeat_interval_grows_with_the_fleet() -> None:
    s = Scene(most=100_000)
    assert s.fleet.lease_and_heartbeat() == (6_000, 2_000)
    for count in (2_000, 5_000, 20_000):
        s.fleet.members.update((f"i{n}", None) for n in range(count))  # type: ignore[misc]
        lease_ms, beat_ms = s.fleet.lease_and_heartbeat()
        assert count * 1_000 / beat_ms <= MAX_HEARTBEATS_PER_S and lease_ms >= HEARTBEATS_PER_LEASE * beat_ms


def row(name: str, **changes: Any) -> InstanceRow:
    values: dict[str, Any] = {"boot": "b", "pid": os.getpid(), "version": "0", "zone": "a", "listen": "h:1",
                              "started_ms": 5, "first_seen_ms": 6, "heard_ms": 900_000, "connected": True,
                              "generation": 2, "desired": 2, **changes}
    return InstanceRow(name, **values)


def test_loading_the_record_after_an_agent_restart() -> None:
    s = Scene()
    ticks = start_ticks(os.getpid())
    assert ticks is not None
    s.fleet.load([row("back"), row("gone", ended="exit 1", connected=False),
                  row("dead", host=machine_boot_id(), ticks=ticks + 1),
                   row("here", host=machine_boot_id(), ticks=ticks),
                  row("future", heard_ms=2**50)], alive_ms=950_000)
    assert {name: s.state(name) for name in s.fleet.members} == {
        "back": "not ready", "gone": "gone", "dead": "gone", "here": "not ready", "future": "not ready"}
    assert s.fleet.members["back"].row.heard_ms == 950_000  # connected, so heard until the agent was last alive
    assert s.fleet.members["future"].row.heard_ms == s.now_ms  # the clock was set back
    s.now_ms += 6_000 + 1_000 + 999
    s.fleet.sweep()
    assert s.state("back") == "not ready"  # it still has time to reconnect
    s.now_ms += 1
    s.fleet.sweep()
    assert s.state("back") == "silent" and s.state("gone") == "gone"


def test_names_come_in_order_as_they_join() -> None:
    s = Scene()
    for name in ("c", "a", "b"):
        s.connect(name)
    assert s.fleet.names() == ["a", "b", "c"]
    s.connect("0")
    assert s.fleet.names() == ["0", "a", "b", "c"]


def test_donors_are_serving_instances_of_the_zone_first() -> None:
    scene = Scene(100)

    def teach(name: str, port: int, zone: str = "z", **changes: Any) -> FakeLink:
        hello = Hello(PROTOCOL, name, "b1", 1, "0", 5, zone, "h:1", "t", 0, 0, host="m", teaches=f"127.0.0.1:{port}",
                      **changes)
        link = FakeLink("b1")
        scene.fleet.register(hello, link, 6_000)
        scene.fleet.heartbeat(name, link, REPORT)
        return link

    newcomer = Hello(PROTOCOL, "new", "b", 1, "0", 5, "z", "h:1", "t", 0, 0, host="m")
    assert scene.fleet.donors(newcomer, 50_000) == []
    for i in range(4):
        teach(f"far{i}", 7000 + i, "y")
    for i in range(2):
        teach(f"near{i}", 8000 + i)
    found = scene.fleet.donors(newcomer, 50_000)
    assert len(found) == 5 and {text.split(":")[1] for text in found[:2]} == {"8000", "8001"}
    assert scene.fleet.donors(newcomer, 5_000) == []  # their uptime is too short
    assert scene.fleet.donors(replace(newcomer, host="other"), 50_000) == []  # loopback of another machine
    assert "127.0.0.1:8000" not in scene.fleet.donors(replace(newcomer, name="near0"), 50_000)
    gone = teach("near1", 8001)
    scene.fleet.disconnect("near1", gone, "")
    drained = teach("near0", 8000)
    scene.fleet.heartbeat("near0", drained, replace(REPORT, draining=True))
    assert not {"127.0.0.1:8000", "127.0.0.1:8001"} & set(scene.fleet.donors(newcomer, 50_000))
    scene.connect("far0", "b1")  # it is no donor any more
    assert "127.0.0.1:7000" not in scene.fleet.donors(newcomer, 50_000) and len(scene.fleet.donor_names) == 5
