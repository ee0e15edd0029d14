"""The scenario file: arrivals, what is asked, by whom, of what, and what goes wrong meanwhile. Checked as a whole."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from pathlib import Path
from random import Random
from typing import Any

from ironscale.load import arrivals, schedule, traces
from ironscale.toml_tables import Address, Table, TableError, read_address, read_text, read_toml

EFFECTS = ("idempotent", "deduplicated", "at_most_once")
FAULTS = (
    "pause",
    "silent",
    "reset",
    "refuse",
    "slow",
    "half",
    "drip",
    "twice",
    "error",
    "turn_away",
    "restart",
    "drain",
    "gone",
)
SHAPES = ("constant", "poisson", "burst", "ramp", "steps", "day", "trace")
MOST_RATE = 1_000_000
MOST_S = 86_400
MOST_WORKERS = 64
MOST_CONNECTIONS = 1_000_000


class ScenarioError(TableError):
    """A scenario that cannot be run; the text is one line."""


@dataclass(frozen=True, slots=True)
class Kind:
    """One class of requests."""

    name: str
    share: float
    effect: str
    deadline_us: int
    aim_us: int
    size: tuple[int, int]  # body bytes
    work_us: tuple[int, int]  # that it takes on a core of speed 1
    worth: float
    tells_work: bool  # as X-Estimate


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    share: float


@dataclass(frozen=True, slots=True)
class Target:
    addresses: tuple[Address, ...] = ()  # none: the scenario's own sidecars or upstreams
    protocol: str = "sidecar"  # or "plain": method, path and body alone
    path: str = "/api"
    body_names_request: bool = True  # an answer's body begins with its request's id, as the stand-ins' do


@dataclass(frozen=True, slots=True)
class Clients:
    connections: int = 256  # open at once, of all workers together
    keys: int = 0
    zipf: float = 1.0
    retries: int = 0  # after an answer with Retry-After
    gives_up: tuple[float, float] = (1.0, 1.0)
    slow_readers: float = 0.0
    slow_reader_us: int = 200_000
    new_connections: float = 0.0


@dataclass(frozen=True, slots=True)
class Watch:
    """Past these an interval is flagged."""

    lag_us: int = 10_000  # at the 99th percentile
    busy: float = 0.9  # of a core, one worker
    pause_us: int = 50_000  # of the collector


@dataclass(frozen=True, slots=True)
class Upstreams:
    """Stand-in servers of one sort."""

    count: int
    cores: int
    speed: float
    queue: int
    zone: str
    kind: str
    cell: int
    cold_share: float
    warm_up_us: int
    overload_factor: float
    fall_us: int


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that befalls stand-ins on the timeline."""

    kind: str
    at_us: int
    for_us: int
    upstreams: tuple[int, ...]  # by their place in the file, from 0
    factor: float


@dataclass(frozen=True, slots=True)
class Sidecars:
    count: int = 0
    settings: Any = field(default_factory=dict)  # a merge patch on the settings made of the scenario
    sockets: int = 4096


@dataclass(frozen=True, slots=True)
class Arrivals:
    """One source of arrivals."""

    shape: str
    start_us: int
    end_us: int
    even: bool  # in even steps and not by a Poisson process
    values: Any  # what the shape needs


@dataclass(frozen=True, slots=True)
class Scenario:
    seed: str
    duration_us: int
    interval_us: int
    warm_up_us: int
    workers: int
    target: Target
    arrivals: tuple[Arrivals, ...]
    kinds: tuple[Kind, ...]
    tenants: tuple[Tenant, ...]
    clients: Clients
    watch: Watch
    upstreams: tuple[Upstreams, ...]
    faults: tuple[Fault, ...]
    sidecars: Sidecars
    memory_us: int  # for which the stand-ins of a cell remember a key
    text: str  # that it was read from
    file: str

    def digest(self) -> str:
        return blake2b(self.text.encode(), digest_size=16).hexdigest()

    def mix(self) -> schedule.Mix:
        return schedule.Mix(
            kinds=[schedule.KindMix(k.share, k.deadline_us, k.size, k.work_us) for k in self.kinds],
            tenant_shares=[t.share for t in self.tenants],
            keys=self.clients.keys,
            zipf=self.clients.zipf,
            gives_up=self.clients.gives_up,
            slow_readers=self.clients.slow_readers,
            new_connections=self.clients.new_connections,
        )

    def schedule(self) -> schedule.Schedule:
        """The whole schedule. Raises ScenarioError if it holds too many or no arrivals, or a trace can't be read."""
        sources = [_source(a, i, self) for i, a in enumerate(self.arrivals)]
        in_time = ((at_us, told) for at_us, told in _merge(sources) if at_us < self.duration_us)
        try:
            found = schedule.build(in_time, self.mix(), self.seed)
        except schedule.TooMany as error:
            raise ScenarioError(f"{self.file}: arrivals: {error}") from error
        if not len(found):
            raise ScenarioError(
                f"{self.file}: arrivals: expected at least one in {self.duration_us / 1e6:g} s, got none"
            )
        return found


def _merge(sources: list[Iterable[tuple[int, schedule.Told | None]]]) -> Iterator[tuple[int, schedule.Told | None]]:
    return heapq.merge(*sources, key=lambda arrival: arrival[0])


def _source(a: Arrivals, index: int, s: Scenario) -> Iterable[tuple[int, schedule.Told | None]]:
    random = Random(f"{s.seed}/arrivals/{index}")
    if a.shape == "trace":
        rows: list[traces.Row] = a.values["rows"]
        kinds, tenants = {k.name: i for i, k in enumerate(s.kinds)}, {t.name: i for i, t in enumerate(s.tenants)}
        told = [schedule.Told(kinds.get(r.kind), tenants.get(r.tenant), r.key, r.size) for r in rows]
        times = arrivals.rescaled(random, (r.at_us for r in rows), a.values["speed"], a.values["rate"])
        return ((a.start_us + at_us, told[i]) for at_us, i in times if a.start_us + at_us < a.end_us)
    v, start_us, end_us = a.values, a.start_us, a.end_us
    if a.shape == "ramp":
        rate = arrivals.ramp(v["from"], v["to"], start_us, end_us)
    elif a.shape == "steps":
        rate = arrivals.steps(v["rates"], start_us, end_us)
    elif a.shape == "day":
        rate = arrivals.day(v["peak"], v["hours"], v["from_hour"], v["to_hour"], start_us, end_us)
    elif a.shape == "burst":
        rate = arrivals.bursts(
            Random(f"{s.seed}/bursts/{index}"),
            v["rate"],
            v["rest_rate"],
            v["on_us"],
            v["off_us"],
            v["random"],
            start_us,
            end_us,
        )
    else:
        rate = arrivals.constant(v["rate"], start_us, end_us)
    return schedule.steady(arrivals.even(rate) if a.even else arrivals.poisson(random, rate))


def load(path: str | Path) -> Scenario:
    path = Path(path)
    return parse(read_text(path, ScenarioError), str(path), path.parent)


def parse(text: str, file: str, folder: Path) -> Scenario:
    """Checks the whole file; relative paths in it start from `folder`. Raises ScenarioError."""
    root = read_toml(text, file, folder, ScenarioError)
    duration_us = _us(root.seconds("duration_s", 0.1, MOST_S))
    upstreams = tuple(_upstreams(table) for table in root.tables("upstreams"))
    count = sum(u.count for u in upstreams)
    sidecars = _sidecars(root.table("sidecars"), root)
    kinds = tuple(_kind(table) for table in root.tables("class"))
    tenants = tuple(_tenant(table) for table in root.tables("tenant"))
    for key, names in (("class", [k.name for k in kinds]), ("tenant", [t.name for t in tenants])):
        twice = next((name for name in names if names.count(name) > 1), None)
        if twice is not None:
            raise ScenarioError(f"{file}: {key}: expected names that differ, got {twice!r} twice")
    if not kinds:
        raise ScenarioError(f"{file}: class: expected a table [[class]] or more, got none")
    sources = tuple(_arrivals(table, duration_us) for table in root.tables("arrivals"))
    if not sources:
        raise ScenarioError(f"{file}: arrivals: expected a table [[arrivals]] or more, got none")
    found = Scenario(
        seed=root.string("seed", "1"),
        duration_us=duration_us,
        interval_us=_us(root.seconds("interval_s", 0.1, 60, 1.0)),
        warm_up_us=_us(root.seconds("warm_up_s", 0, MOST_S, 0.0)),
        workers=root.integer("workers", 1, MOST_WORKERS, 2),
        target=_target(root.table("target"), root),
        arrivals=sources,
        kinds=kinds,
        tenants=tenants or (Tenant("", 1.0),),
        clients=_clients(root.table("clients")),
        watch=_watch(root.table("watch")),
        upstreams=upstreams,
        faults=tuple(_fault(table, count, duration_us) for table in root.tables("fault")),
        sidecars=sidecars,
        memory_us=_us(root.seconds("key_memory_s", 0, 3_600, 1.2)),
        text=text,
        file=file,
    )
    root.reject_unknown_keys()
    if found.warm_up_us >= found.duration_us:
        raise root.error_for("warm_up_s", f"less than the {found.duration_us / 1e6:g} s of the run")
    if sidecars.count and not upstreams:
        raise ScenarioError(f"{file}: sidecars.count: expected [[upstreams]] beside it, got none")
    if found.target.addresses and (upstreams or sidecars.count):
        raise ScenarioError(
            f"{file}: target.address: expected none beside [[upstreams]], which are the target, "
            f"got {len(found.target.addresses)}"
        )
    if not found.target.addresses and not upstreams:
        raise ScenarioError(f"{file}: target.address: expected HOST:PORT, or [[upstreams]] to start, got nothing")
    if sidecars.count and found.target.protocol != "sidecar":
        raise ScenarioError(
            f"{file}: target.protocol: expected 'sidecar' beside [sidecars], got {found.target.protocol!r}"
        )
    return found


def _us(seconds: float) -> int:
    return round(seconds * 1e6)


def _arrivals(table: Table, duration_us: int) -> Arrivals:
    shape = table.one_of("shape", SHAPES)
    start_us = _us(table.seconds("start_s", 0, MOST_S, 0.0))
    length_us = _us(table.seconds("for_s", 0.001, MOST_S, max(0.001, (duration_us - start_us) / 1e6)))
    if start_us >= duration_us:
        raise table.error_for("start_s", f"less than the {duration_us / 1e6:g} s of the run")
    values: dict[str, Any] = {}
    even = shape == "constant"
    if shape in ("ramp", "steps", "day"):
        even = table.one_of("spacing", ("even", "poisson"), "poisson") == "even"
    if shape in ("constant", "poisson", "burst"):
        values["rate"] = table.number("rate", 0, MOST_RATE)
    if shape == "burst":
        values |= {
            "rest_rate": table.number("rest_rate", 0, MOST_RATE, 0.0),
            "random": table.boolean("random", False),
            "on_us": _us(table.seconds("on_s", 0.001, MOST_S)),
            "off_us": _us(table.seconds("off_s", 0.001, MOST_S)),
        }
    elif shape == "ramp":
        values = {"from": table.number("from", 0, MOST_RATE), "to": table.number("to", 0, MOST_RATE)}
    elif shape == "steps":
        values = {"rates": table.numbers("rates", 0, MOST_RATE, (1, 10_000))}
    elif shape == "day":
        values = {
            "peak": table.number("peak", 0, MOST_RATE),
            "from_hour": table.number("from_hour", 0, 24, 0.0),
            "to_hour": table.number("to_hour", 0, 48, 24.0),
            "hours": table.numbers("hours", 0, 1, (24, 24), arrivals.HOURS),
        }
        if values["to_hour"] <= values["from_hour"]:
            raise table.error_for("to_hour", f"more than from_hour ({values['from_hour']:g})")
    elif shape == "trace":
        path = table.file_path("file")
        values = {"speed": table.number("speed", 1e-3, 1e3, 1.0), "rate": table.number("rate", 1e-3, 1e3, 1.0)}
        try:
            values["rows"] = traces.read(path)
        except traces.TraceError as error:
            raise ScenarioError(f"{table.file}: {table.key_path('file')}: {error}") from error
    table.reject_unknown_keys()
    return Arrivals(shape, start_us, start_us + length_us, even, values)


def _kind(table: Table) -> Kind:
    deadline = table.number("deadline_ms", 1, 3_600_000, what="milliseconds")
    aim = table.number("aim_ms", 1, 3_600_000, deadline, "milliseconds")
    size = table.interval("body_bytes", 0, 65_536, (0.0, 0.0))
    work = table.interval("work_ms", 0, 60_000, (0.0, 0.0))
    kind = Kind(
        name=table.string("name"),
        share=table.number("share", 0, 1e9, 1.0),
        effect=table.one_of("effect", EFFECTS, "idempotent"),
        deadline_us=round(deadline * 1000),
        aim_us=round(aim * 1000),
        size=(int(size[0]), int(size[1])),
        work_us=(round(work[0] * 1000), round(work[1] * 1000)),
        worth=table.number("worth", 0, 1e9, 1.0),
        tells_work=table.boolean("tells_work", False),
    )
    if kind.effect == "idempotent" and kind.size != (0, 0):
        raise table.error_for("body_bytes", "none for a class that is safe to repeat (GET)")
    table.reject_unknown_keys()
    return kind


def _tenant(table: Table) -> Tenant:
    found = Tenant(table.string("name"), table.number("share", 0, 1e9, 1.0))
    table.reject_unknown_keys()
    return found


def _target(table: Table | None, root: Table) -> Target:
    if table is None:
        return Target()

    def addresses(value: Any) -> tuple[Address, ...] | None:
        found = [read_address(entry) for entry in (value if isinstance(value, list) else [value])]
        return None if not found or None in found else tuple(entry for entry in found if entry is not None)

    found = Target(
        table.get("address", "HOST:PORT or a list of them", addresses, ()),
        table.one_of("protocol", ("sidecar", "plain"), "sidecar"),
        table.get("path", "a path that begins with /", _path, "/api"),
        table.boolean("body_names_request", bool(root.values.get("upstreams"))),
    )
    table.reject_unknown_keys()
    return found


def _path(value: Any) -> str | None:
    right = (
        isinstance(value, str)
        and value.startswith("/")
        and value.isascii()
        and value.isprintable()
        and " " not in value
    )
    return value if right else None


def _clients(table: Table | None) -> Clients:
    if table is None:
        return Clients()
    found = Clients(
        connections=table.integer("connections", 1, MOST_CONNECTIONS, 256),
        keys=table.integer("keys", 0, 10_000, 0),
        zipf=table.number("zipf", 0, 10, 1.0),
        retries=table.integer("retries", 0, 10, 0),
        gives_up=table.interval("gives_up", 0.001, 1, (1.0, 1.0)),
        slow_readers=table.number("slow_readers", 0, 1, 0.0),
        slow_reader_us=round(table.number("slow_reader_ms", 0, 60_000, 200.0) * 1000),
        new_connections=table.number("new_connections", 0, 1, 0.0),
    )
    table.reject_unknown_keys()
    return found


def _watch(table: Table | None) -> Watch:
    if table is None:
        return Watch()
    found = Watch(
        round(table.number("lag_ms", 0.1, 60_000, 10.0) * 1000),
        table.number("busy", 0.01, 1, 0.9),
        round(table.number("pause_ms", 0.1, 60_000, 50.0) * 1000),
    )
    table.reject_unknown_keys()
    return found


def _upstreams(table: Table) -> Upstreams:
    found = Upstreams(
        count=table.integer("count", 1, 5_000, 1),
        cores=table.integer("cores", 1, 1_024, 1),
        speed=table.number("speed", 0.01, 100, 1.0),
        queue=table.integer("queue", 0, 1_000_000, 1_000),
        zone=table.string("zone", "a"),
        kind=table.string("kind", "large"),
        cell=table.integer("cell", 0, 255, 0),
        cold_share=table.number("cold_share", 0.001, 1, 1.0),
        warm_up_us=_us(table.seconds("warm_up_s", 0, 3_600, 0.0)),
        overload_factor=table.number("overload_factor", 1, 1_000, 2.5),
        fall_us=_us(table.seconds("fall_s", 0.01, 60, 1.0)),
    )
    table.reject_unknown_keys()
    return found


def _fault(table: Table, count: int, duration_us: int) -> Fault:
    def chosen(value: Any) -> tuple[int, ...] | None:
        if value == "all":
            return tuple(range(count))
        right = (
            isinstance(value, list)
            and value
            and all(isinstance(i, int) and not isinstance(i, bool) and 0 <= i < count for i in value)
        )
        return tuple(value) if right else None

    if not count:
        raise ScenarioError(f"{table.file}: {table.path}: expected [[upstreams]] that it befalls, got none")
    found = Fault(
        kind=table.one_of("kind", FAULTS),
        at_us=_us(table.seconds("at_s", 0, MOST_S)),
        for_us=_us(table.seconds("for_s", 0.001, MOST_S, 3_600.0)),
        upstreams=table.get(
            "upstreams", f"'all' or a list of whole numbers from 0 to {count - 1}", chosen, tuple(range(count))
        ),
        factor=table.number("factor", 0.01, 10_000, 3.0),
    )
    if found.at_us >= duration_us:
        raise table.error_for("at_s", f"less than the {duration_us / 1e6:g} s of the run")
    table.reject_unknown_keys()
    return found


def _sidecars(table: Table | None, root: Table) -> Sidecars:
    if table is None:
        return Sidecars()
    found = Sidecars(
        table.integer("count", 0, 100, 1),
        table.get("settings", "a table", lambda v: v if isinstance(v, dict) else None, {}),
        table.integer("sockets", 64, 1_000_000, 4096),
    )
    table.reject_unknown_keys()
    return found
