"""The size file: the planned size of the fleet and how a scale run simulates it, as validated TOML."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ironscale.toml_tables import Table, TableError, read_text, read_toml


class SizeError(TableError):
    """A size file that can't be used; the message is a single line."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """The size of the fleet, and its load."""

    upstreams: int
    sidecars: int
    services: int
    regions: int
    zones: int
    calls_per_s: float
    depth: int  # longest chain of nested calls


@dataclass(frozen=True, slots=True)
class Promises:
    """The limits that the fleet has to keep at this size."""

    added_p99_ms: float  # 99th percentile of the latency added to a call
    changes_per_day: float
    force_s: float  # from the commit of a change until all instances apply it


@dataclass(frozen=True, slots=True)
class Budget:
    """Resources that one sidecar may use for the control channel, and the machines reserved for control."""

    cpu_percent: float  # of a core
    memory_mb: float
    bytes_per_s: float
    machines: int


@dataclass(frozen=True, slots=True)
class Failures:
    """Rates of common failures per day, and mean days between rare ones."""

    machines_per_day: float
    replaced_per_day: float
    rack_each_days: float
    zone_each_days: float
    link_cut_s: float  # how long two regions can't reach each other


@dataclass(frozen=True, slots=True)
class Play:
    """What a scale run starts, and how much of this machine it may use."""

    sizes: tuple[int, ...]  # numbers of simulated instances
    lists: tuple[int, ...]  # numbers of upstreams in a sidecar's list
    real: int  # real sidecars, included at the largest size
    agents: int  # one leader, the others are standbys
    hollow_each: int  # simulated instances per process
    repeats: int  # repetitions of each measurement
    heartbeat_s: float
    lease_s: float  # an instance's lease
    term_s: float  # the leading agent's term
    most_processes: int
    most_memory_share: float  # of the machine's memory
    seed: int


@dataclass(frozen=True, slots=True)
class Size:
    title: str
    fleet: Fleet
    promises: Promises
    budget: Budget
    failures: Failures
    play: Play

    @property
    def digest(self) -> str:
        """A hash of all settings that influence a measured value; a result file names it. The numbers of instances and
        repetitions are left out."""
        play = self.play
        relevant = (self.fleet, self.promises, self.budget, self.failures, play.heartbeat_s, play.lease_s, play.term_s)
        return hashlib.sha256(repr(relevant).encode()).hexdigest()[:16]

    def value(self, key: str) -> float:
        """The value at a dotted path in the file, such as `fleet.sidecars`. Raises KeyError."""
        section, _, name = key.partition(".")
        if section not in ("fleet", "promises", "budget", "failures"):
            raise KeyError(key)
        section_values: Any = getattr(self, section)
        if name not in section_values.__slots__:
            raise KeyError(key)
        return float(getattr(section_values, name))

    @property
    def calls_per_s_each(self) -> float:
        """Calls per second through one sidecar."""
        return self.fleet.calls_per_s / self.fleet.sidecars


def _whole_numbers(table: Table, key: str, minimum: int, maximum: int, length_range: tuple[int, int],
                   default: tuple[int, ...]) -> tuple[int, ...]:
    def read(value: Any) -> tuple[int, ...] | None:
        if not isinstance(value, list) or not length_range[0] <= len(value) <= length_range[1]:
            return None
        valid = all(type(entry) is int and minimum <= entry <= maximum for entry in value)
        return tuple(value) if valid and sorted(set(value)) == value else None

    return table.get(
        key,
        f"a list of {length_range[0]} to {length_range[1]} rising whole numbers from {minimum} to {maximum}",
        read,
        default,
    )


def _required_table(root: Table, key: str) -> Table:
    table = root.table(key)
    if table is None:
        raise root.error_for(key, f"a table [{key}]")
    return table


def _read_fleet(table: Table) -> Fleet:
    upstreams = table.integer("upstreams", 1, 1_000_000)
    fleet = Fleet(
        upstreams, table.integer("sidecars", 1, 1_000_000, upstreams), table.integer("services", 1, 100_000),
        table.integer("regions", 1, 100), table.integer("zones", 1, 1_000), table.number("calls_per_s", 1, 1e9),
        table.integer("depth", 1, 100),
    )
    if fleet.zones < fleet.regions:
        raise table.error_for("zones", f"a zone in each of {fleet.regions} regions at least")
    if fleet.services > upstreams:
        raise table.error_for("services", f"an upstream ({upstreams}) for each at least")
    return fleet


def _read_play(table: Table) -> Play:
    heartbeat_s = table.seconds("heartbeat_s", 0.05, 60, 2.0)
    play = Play(
        # two points would always lie on the line, so the scatter would be unknown
        _whole_numbers(table, "sizes", 1, 20_000, (3, 10), (250, 750, 2300)),
        _whole_numbers(table, "lists", 1, 20_000, (3, 10), (10, 100, 2300)),
        table.integer("real", 0, 200, 30), table.integer("agents", 1, 8, 3),
        table.integer("hollow_each", 1, 2_000, 400),
        table.integer("repeats", 1, 20, 3), heartbeat_s, table.seconds("lease_s", 0.1, 600, 6.0),
        table.seconds("term_s", 0.5, 60, 10.0), table.integer("most_processes", 4, 300, 300),
        table.number("most_memory_share", 0.01, 0.5, 0.5), table.integer("seed", 0, 2**32, 1),
    )
    if play.lease_s < 2 * heartbeat_s:
        raise table.error_for("lease_s", f"seconds of two heartbeats ({2 * heartbeat_s:g}) or more")
    return play


def parse(text: str, file: str) -> Size:
    """Parses and validates a size file. Raises SizeError."""
    root = read_toml(text, file, Path("."), SizeError)
    title = root.string("title")
    names = ("fleet", "promises", "budget", "failures")
    fleet, promises, budget, failures = (_required_table(root, name) for name in names)
    play = root.table("play") or Table(file, "play", {}, Path("."), SizeError)
    size = Size(
        title, _read_fleet(fleet),
        Promises(promises.number("added_p99_ms", 0.001, 10_000), promises.number("changes_per_day", 0, 1e7),
                 promises.seconds("force_s", 0.1, 86_400)),
        Budget(budget.number("cpu_percent", 0.001, 100), budget.number("memory_mb", 1, 1e6),
               budget.number("bytes_per_s", 1, 1e9), budget.integer("machines", 1, 10_000)),
        Failures(failures.number("machines_per_day", 0, 1e6), failures.number("replaced_per_day", 0, 1e7),
                 failures.number("rack_each_days", 0.1, 1e5), failures.number("zone_each_days", 0.1, 1e5),
                 failures.seconds("link_cut_s", 0, 1e7)),
        _read_play(play),
    )
    for table in (fleet, promises, budget, failures, play, root):
        table.reject_unknown_keys()
    return size


def load(path: Path) -> Size:
    return parse(read_text(path, SizeError), str(path))
