"""All instances that the agent knows, as they last reported. Kept in memory; what must survive is recorded."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Protocol

from ironscale.agent.model import Observation
from ironscale.agent.store import InstanceRow
from ironscale.control.messages import Command, Hello, Report
from ironscale.control.processes import is_alive, machine_boot_id

# Rate at which instances reconnect after they have lost their agent; they spread out accordingly.
RECONNECTS_PER_S = 200.0
MIN_SPREAD_MS = 1_000
# For donors, which pass on their learned state to a new process: names sampled, addresses offered, shortest uptime.
DONOR_SAMPLE, MAX_DONORS, DONOR_MIN_UPTIME_MS = 20, 5, 10_000
# Most heartbeats that an agent asks for; in a larger fleet heartbeats are less frequent and leases longer.
MAX_HEARTBEATS_PER_S = 1_000.0
HEARTBEATS_PER_LEASE = 3
RECONNECT_MS = 1_000
AGENT_ROUND_MS = 4_000  # extra time if an instance has to try several agents, one of which may accept and never answer


class Link(Protocol):
    """The control connection of one process."""

    boot: str

    def command(self, command: Command) -> None: ...

    def close(self, why: str) -> None: ...


@dataclass(slots=True)
class Member:
    """One instance. `row.boot` identifies the process that has its name now."""

    row: InstanceRow
    leased_until_ms: int
    leased: bool
    lease_ms: int = 0  # lease duration sent in its welcome message
    report: Report | None = None
    link: Link | None = None
    saved_heard_ms: int = 0
    cached_observation: Observation | None = None


class Denial(Exception):
    """A registration is refused; the process may try again after `retry_ms`."""

    def __init__(self, code: str, text: str, retry_ms: int) -> None:
        super().__init__(text)
        self.code, self.retry_ms = code, retry_ms


def state_of(seen: Observation) -> str:
    """The state of an instance as one word, for people and selectors."""
    if seen.ended:
        return "gone"
    if not seen.leased:
        return "silent"  # its present state is unknown
    if seen.draining:
        return "drained" if seen.open == 0 else "draining"
    return "ready" if seen.ready else "not ready"


class Fleet:
    def __init__(self, lease_ms: int, beat_ms: int, max_instances: int, now_ms: Callable[[], int],
                 reconnect_ms: int = RECONNECT_MS) -> None:
        """`max_instances`: largest number of instances. `reconnect_ms`: time, in addition to lease and spread, that
        instances have to reconnect to a new agent."""
        self.reconnect_ms = reconnect_ms
        self.lease_ms, self.beat_ms, self.max_instances, self.now_ms = lease_ms, beat_ms, max_instances, now_ms
        self.members: dict[str, Member] = {}
        self.on_changed: Callable[[str], None] = lambda name: None  # an instance changed
        self.on_connected: Callable[[str], None] = lambda name: None  # a process has registered
        # None if not supervised; "awaited" if its process runs or is about to be started; else "".
        self.supervision_of: Callable[[str], str | None] = lambda name: None
        self.is_replacing: Callable[[str], bool] = lambda name: False  # whether its process is being replaced
        self.sorted_names: list[str] = []
        self.dirty: set[str] = set()  # names of rows to be written to the record
        self.this_machine = machine_boot_id()
        self.registrations = self.heartbeats = 0
        self.donor_addresses: dict[str, str] = {}  # name -> HOST:PORT where it passes on its state to new processes
        self.donor_names: list[str] = []  # the same names as a list, for random sampling
        self.random = random.Random()

    def load(self, rows: Iterable[InstanceRow], alive_ms: int) -> None:
        """Loads the instances from the record. Those that were connected get time to reconnect before leases end."""
        now_ms = self.now_ms()
        rows = list(rows)
        lease_ms = max(self.lease_ms, int(HEARTBEATS_PER_LEASE * 1_000 * len(rows) / MAX_HEARTBEATS_PER_S))
        back_ms = now_ms + lease_ms + self.spread_ms(len(rows)) + self.reconnect_ms
        for row in rows:
            heard_ms = min(now_ms, max(row.heard_ms, alive_ms)) if row.connected else row.heard_ms
            row = replace(row, connected=False, heard_ms=heard_ms)
            leased = row.heard_ms > 0 and not row.ended
            member = Member(row, back_ms, leased)
            if leased and self.has_died(row):
                member.row, member.leased = replace(row, ended="ended while no agent looked"), False
            self.members[row.name] = member

    def show_record(self, rows: Iterable[InstanceRow]) -> None:
        """Shows what the leader has recorded, on a follower: the present state of the instances is not known here."""
        self.members = {row.name: Member(row, 0, False) for row in rows}
        self.sorted_names = []

    def spread_ms(self, count: int | None = None) -> int:
        """Time over which that many instances (by default all) spread their reconnections."""
        count = len(self.members) if count is None else count
        return max(MIN_SPREAD_MS, int(1_000 * count / RECONNECTS_PER_S))

    def lease_and_heartbeat(self) -> tuple[int, int]:
        """Lease duration and heartbeat interval for a new registration, in milliseconds, by the present fleet size."""
        beat_ms = max(self.beat_ms, int(1_000 * len(self.members) / MAX_HEARTBEATS_PER_S))
        return max(self.lease_ms, HEARTBEATS_PER_LEASE * beat_ms), beat_ms

    def has_died(self, row: InstanceRow) -> bool:
        """Whether the process is known to have ended; that can be told only of processes on this machine."""
        return bool(row.host and row.host == self.this_machine and row.ticks and not is_alive(row.pid, row.ticks))

    def check_registration(self, hello: Hello) -> None:
        """Checks whether a process may take the name that it asks for. Raises Denial."""
        member = self.members.get(hello.name)
        if member is None and len(self.members) >= self.max_instances:
            raise Denial("FULL", f"expected {self.max_instances} instances at most", 60_000)
        if member is not None and member.row.boot != hello.boot and hello.replaces != member.row.boot:
            is_taken = member.link is not None and member.leased and not self.has_died(member.row)
            if is_taken:
                # Two processes with one name would alternately take each other's place and commands.
                text = f"{hello.name} is process {member.row.pid} (boot {member.row.boot}), which has its lease"
                raise Denial("DUPLICATE", text, max(1_000, member.leased_until_ms - self.now_ms()))

    def register(self, hello: Hello, link: Link, lease_ms: int) -> Member:
        """Registers a checked process under its name, with the lease duration that it was sent."""
        now_ms = self.now_ms()
        member = self.members.get(hello.name)
        if member is not None and member.link is not None and member.link is not link:
            old, member.link = member.link, None
            old.close("another connection has taken its place")
        first_ms = member.row.first_seen_ms if member is not None else now_ms
        desired = member.row.desired if member is not None else hello.generation
        row = InstanceRow(
            hello.name, hello.boot, hello.pid, hello.version, hello.zone, hello.listen, hello.started_ms,
            first_ms, now_ms, True, hello.generation, desired, "", hello.host, hello.ticks)
        same = member is not None and member.row.boot == hello.boot
        report = member.report if member is not None and same else None
        self.members[hello.name] = member = Member(row, now_ms + lease_ms, True, lease_ms, report, link)
        if hello.teaches:
            if hello.name not in self.donor_addresses:
                self.donor_names.append(hello.name)
            self.donor_addresses[hello.name] = hello.teaches
        elif self.donor_addresses.pop(hello.name, None) is not None:
            self.donor_names.remove(hello.name)
        self.registrations += 1
        self.mark_changed(hello.name)
        self.on_connected(hello.name)
        return member

    def donors(self, hello: Hello, wall_ms: int) -> list[str]:
        """Addresses from which a new process may get its initial state: serving instances on its machine, those of its
        zone first. Only a random sample is examined, so the cost does not grow with the fleet."""
        found = []
        for name in self.random.sample(self.donor_names, min(DONOR_SAMPLE, len(self.donor_names))):
            member = self.members.get(name)
            if (member is None or name == hello.name or member.link is None or member.report is None
                    or member.row.host != hello.host):
                continue
            settled = wall_ms - member.row.started_ms >= DONOR_MIN_UPTIME_MS
            if settled and member.report.ready and not member.report.draining:
                found.append((member.row.zone != hello.zone, self.donor_addresses[name]))
        return [address for _, address in sorted(found, key=lambda one: one[0])[:MAX_DONORS]]

    def heartbeat(self, name: str, link: Link, report: Report) -> bool:
        """Takes in a heartbeat. Returns False if the process no longer has the name."""
        member = self.members.get(name)
        if member is None or member.link is not link:
            return False
        now_ms = self.now_ms()
        before, member.report = member.report, report
        member.leased_until_ms = now_ms + member.lease_ms
        changed = before is None or not member.leased or (
            (before.generation, before.fence, before.ready, before.draining, before.open == 0)
            != (report.generation, report.fence, report.ready, report.draining, report.open == 0))
        member.row = replace(member.row, heard_ms=now_ms, generation=report.generation)
        member.leased, member.cached_observation = True, None
        self.heartbeats += 1
        if changed:
            self.mark_changed(name)
        return True

    def disconnect(self, name: str, link: Link, bye: str) -> None:
        """A connection has ended. The process is known to have ended only if it said so in `bye` or ran here."""
        member = self.members.get(name)
        if member is None or member.link is not link:
            return
        member.link = None
        member.row = replace(member.row, connected=False)
        if bye:
            self.process_ended(name, member.row.boot, bye)
        elif self.has_died(member.row):
            self.process_ended(name, member.row.boot, "its process has ended")
        else:
            self.mark_changed(name)

    def process_ended(self, name: str, boot: str, how: str) -> None:
        """The process is known to have ended. An exit code or signal replaces a less exact earlier description."""
        member = self.members.get(name)
        if member is None or member.row.boot != boot:
            return
        exact = how.startswith(("exit", "signal"))
        if member.row.ended and not exact:
            return
        member.leased = False
        member.row = replace(member.row, connected=False, ended=how)
        if member.link is not None:
            link, member.link = member.link, None
            link.close("its process has ended")
        self.mark_changed(name)

    def mark_changed(self, name: str) -> None:
        """Marks an instance as changed: to be recorded, and to be looked at by operations."""
        self.members[name].cached_observation = None
        self.dirty.add(name)
        self.on_changed(name)

    def mark_changed_if_known(self, name: str) -> None:
        if name in self.members:
            self.mark_changed(name)

    def sweep(self) -> None:
        """Ends expired leases, and finds processes without a connection that have died."""
        now_ms = self.now_ms()
        for name, member in self.members.items():
            if not member.leased:
                continue
            if member.link is None and self.has_died(member.row):
                self.process_ended(name, member.row.boot, "its process has ended")
            elif now_ms >= member.leased_until_ms:
                member.leased = False
                self.mark_changed(name)

    def observe(self, name: str) -> Observation | None:
        member = self.members.get(name)
        if member is None:
            return None
        if member.cached_observation is None:
            row, report = member.row, member.report
            supervised = self.supervision_of(name)
            member.cached_observation = Observation(
                name, row.boot, member.leased, member.link is not None, row.heard_ms, row.generation,
                report.fence if report else 0, report.ready if report else False,
                report.draining if report else False, report.open if report else 0, row.ended,
                supervised is not None, supervised == "awaited", self.is_replacing(name), report is not None)
        return member.cached_observation

    def get(self, name: str, /) -> Observation | None:
        """Same as `observe`; implements planner.FleetView."""
        return self.observe(name)

    def names(self) -> list[str]:
        """All names in order."""
        if len(self.sorted_names) != len(self.members):  # names are only ever added, or the cache is cleared
            self.sorted_names = sorted(self.members)
        return self.sorted_names

    def selector_values(self, name: str) -> dict[str, str]:
        """The instance's values by selector key."""
        member, seen = self.members[name], self.observe(name)
        assert seen is not None
        return {"name": name, "zone": member.row.zone, "state": state_of(seen),
                "generation": str(member.row.generation), "version": member.row.version}

    def forget(self, name: str) -> None:
        """Removes an instance that, as an operator confirms, no longer exists."""
        del self.members[name]
        self.dirty.discard(name)
        self.sorted_names = []

    def set_desired(self, generations: Iterable[tuple[str, int]]) -> None:
        for name, generation in generations:
            if name in self.members:
                member = self.members[name]
                member.row = replace(member.row, desired=generation)

    def take_dirty(self) -> list[InstanceRow]:
        names, self.dirty = self.dirty, set()
        return [self.members[name].row for name in names if name in self.members]
