"""Reads the operator file, a TOML file that enables optional parts: each is off unless the file has its table.

Every error is one line that names the file, the key path, the expected and the actual value.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ironscale.toml_tables import Address, Table, TableError, read_address, read_text, read_toml, text_or_none

if TYPE_CHECKING:
    from ironscale.disruption.model import Budget
    from ironscale.versions.agent_selection import AgentEndpoint

MAX_INSTANCES = 5_000
MAX_BUDGETS = 200
MAX_AGENTS = 9
MAX_DONORS = 100
MAX_VERSION_AGENTS = 64


class OperatorFileError(TableError):
    """The operator file, or a file that it names, cannot be used; the text is one line."""


@dataclass(frozen=True, slots=True)
class ControlConfig:
    """`[control]`: how an instance connects to its agent. It keeps one connection open."""

    agents: tuple[Address, ...]  # one agent, or several of which one is the leader
    token_file: Path
    zone: str = ""


@dataclass(frozen=True, slots=True)
class VersionsConfig:
    """`[versions]`: the instance follows published configuration versions from any one of these agents."""

    agents: tuple[AgentEndpoint, ...]
    service: str = ""
    zone: str = ""  # empty = the zone of [control]
    region: str = ""
    token_file: Path | None = None  # None = the token file of [control]


@dataclass(frozen=True, slots=True)
class LearnedConfig:
    """`[learned]`: what a sidecar has learned is kept over a restart or taken over from other sidecars. At least one of
    `folder`, `teach`, `ask` and `from_agent` is set."""

    folder: Path | None = None  # holds one file for each sidecar, named after it
    every_s: float = 5.0  # time between two writes of the file
    teach: Address | None = None  # loopback address where new sidecars can fetch it
    ask: tuple[Address, ...] = ()  # addresses of other sidecars to fetch it from at start
    from_agent: bool = False  # the agent names sidecars to fetch it from


@dataclass(frozen=True, slots=True)
class RecordingConfig:
    """`[record]`: arriving requests are recorded as a trace that can be replayed."""

    file: Path  # the previous file is kept under this name with `.1` appended
    most_mb: float = 64.0  # limit on both files together


@dataclass(frozen=True, slots=True)
class StoreConfig:
    """`[[store.to]]`: one store of record, either SQLite or PostgreSQL."""

    name: str
    sqlite: Path | None = None
    postgresql: str = ""  # libpq connection string without a password; it may name several hosts and TLS settings
    password_file: Path | None = None
    connections: int = 8  # PostgreSQL: maximum number of open connections
    synchronous_commit: str = "on"  # PostgreSQL: durability of a confirmed record
    queue: int = 4_096  # SQLite: maximum number of waiting writes


@dataclass(frozen=True, slots=True)
class StoresConfig:
    """`[store]`: requests of these classes are written to a store of record instead of being sent to an upstream."""

    file: str  # the operator file, for errors found only once the configuration is known
    classes: tuple[str, ...]
    to: tuple[StoreConfig, ...]
    by: str = "tenant"  # what chooses one of several stores: tenant or key
    upstreams: str = "none"  # whether a request is also sent to an upstream: none, first (before the store), last
    journal: Path | None = None  # folder with one file for each process, for writes whose outcome is unknown


@dataclass(frozen=True, slots=True)
class ListenerConfig:
    """`[sidecar]`: how the listener is opened."""

    reuse_port: bool = False  # SO_REUSEPORT: a successor may listen on the same port before this process has ended


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """`[[agent.service]]`: local instances that the agent starts and restarts."""

    name: str  # the instances are named name-0, name-1 ...
    count: int
    config: Path  # JSON; its `name`, `listen` and `settings.self-index` are set for each instance
    host: str = "127.0.0.1"
    first_port: int = 0  # instance i listens on first_port + i; 0 = on a port that the kernel chooses
    zone: str = ""
    environment: Mapping[str, str] = field(default_factory=dict)
    stop_s: float = 8.0  # time from SIGTERM to SIGKILL; should be at least the longest deadline plus 1.5 s
    make_before_break: bool = False  # the successor starts on the same port before the old process is told to stop


@dataclass(frozen=True, slots=True)
class AgentConfig:
    """`[agent]`: the agent itself."""

    data: Path = Path(".ironscale")  # folder of the database and the tokens
    control: Address = ("127.0.0.1", 7400)  # instances connect here
    api: Address = ("127.0.0.1", 7401)  # GraphQL over HTTP
    remote: bool = False  # addresses other than loopback are allowed
    introspection: bool = True  # of the GraphQL schema
    lease_s: float = 6.0
    heartbeat_s: float = 2.0
    most_instances: int = MAX_INSTANCES
    services: tuple[ServiceConfig, ...] = ()
    budgets: tuple[Budget, ...] = ()
    file: str = ""  # the operator file, for errors found only once the database is open
    postgresql: str = ""  # connection string of the database, without a password; empty = SQLite in `data`
    record: Path | None = None  # an SQLite file elsewhere, which several agents on this machine may open
    standby: bool = False  # while another agent leads, follow it, and take over when it ends
    term_s: float = 10.0  # lease of the leader on a database that several agents may open
    password_file: Path | None = None
    synchronous_commit: str = "on"
    token_file: Path | None = None  # token of role instance, to report to the leader what its followers run


@dataclass(frozen=True, slots=True)
class OperatorFile:
    control: ControlConfig | None = None
    sidecar: ListenerConfig = ListenerConfig()
    agent: AgentConfig | None = None
    learned: LearnedConfig | None = None
    record: RecordingConfig | None = None
    store: StoresConfig | None = None
    versions: VersionsConfig | None = None


def is_loopback(address: Address) -> bool:
    return address[0] in ("localhost", "::1") or address[0].startswith("127.")


def _read_service(table: Table) -> ServiceConfig:
    count = table.integer("count", 1, MAX_INSTANCES)
    first_port = table.integer("first_port", 0, 65535, 0)
    if first_port + count - 1 > 65535:
        raise table.error_for("first_port", f"a port with room for {count} instances")
    environment = {}
    variables = table.table("environment")
    if variables is not None:
        environment = {name: variables.string(name) for name in variables.values}
    service = ServiceConfig(
        name=table.string("name"), count=count, config=table.file_path("config"),
        host=table.string("host", "127.0.0.1"), first_port=first_port,
        zone=table.get("zone", "a text", text_or_none, ""),
        environment=environment, stop_s=table.seconds("stop_s", 0.5, 3600, 8.0),
        make_before_break=table.boolean("make_before_break", False),
    )
    if service.make_before_break and first_port == 0:
        raise table.error_for("make_before_break", "false, or a first_port that the successor can share")
    table.reject_unknown_keys()
    return service


def _read_loopback_address(value: Any) -> Address | None:
    address = read_address(value)
    return address if address is not None and is_loopback(address) else None


def _read_loopback_addresses(value: Any) -> tuple[Address, ...] | None:
    if not isinstance(value, list) or len(value) > MAX_DONORS:
        return None
    addresses = [_read_loopback_address(entry) for entry in value]
    return None if None in addresses else tuple(address for address in addresses if address is not None)


def _read_versions(table: Table) -> VersionsConfig:
    from ironscale.versions.agent_selection import AgentEndpoint  # not loaded by a sidecar without [versions]

    places = []
    for entry in table.tables("agent"):
        host, port = entry.address("address")
        places.append(AgentEndpoint(host, port, entry.get("zone", "a text", text_or_none, ""),
                            entry.get("region", "a text", text_or_none, "")))
        entry.reject_unknown_keys()
    if not 0 < len(places) <= MAX_VERSION_AGENTS:
        raise OperatorFileError(f"{table.file}: {table.key_path('agent')}: expected 1 to {MAX_VERSION_AGENTS} tables "
                                f"[[versions.agent]], got {len(places)}")
    addresses = [(place.host, place.port) for place in places]
    for host, port in addresses:
        if addresses.count((host, port)) > 1:
            raise OperatorFileError(f"{table.file}: {table.key_path('agent')}: expected addresses that differ, got "
                                    f"{host}:{port} twice")
    service, zone, region = (table.get(key, "a text", text_or_none, "") for key in ("service", "zone", "region"))
    versions = VersionsConfig(tuple(places), service, zone, region,
                     token_file=table.file_path("token_file") if "token_file" in table.values else None)
    table.known_keys.add("token_file")
    table.reject_unknown_keys()
    return versions


def _read_learned(table: Table) -> LearnedConfig:
    # Anyone who can connect to the address gets the answer, which names upstreams. So only loopback is allowed.
    teach = (table.get("teach", "HOST:PORT on a loopback address", _read_loopback_address)
             if "teach" in table.values else None)
    learned = LearnedConfig(
        folder=table.file_path("folder") if "folder" in table.values else None,
        every_s=table.seconds("every_s", 0.1, 3600, 5.0), teach=teach,
        ask=table.get("ask", f"a list of {MAX_DONORS} HOST:PORT at most on loopback addresses",
                      _read_loopback_addresses, ()),
        from_agent=table.boolean("from_agent", False))
    table.known_keys |= {"teach", "folder"}
    table.reject_unknown_keys()
    if learned == LearnedConfig(every_s=learned.every_s):
        raise OperatorFileError(f"{table.file}: {table.path}: expected folder, teach, ask or from_agent = true, "
                                "got none of them")
    return learned


SYNCHRONOUS_COMMIT_VALUES = ("on", "off", "local", "remote_write", "remote_apply")
MAX_STORES = 64


def _read_names(value: Any) -> tuple[str, ...] | None:
    if not isinstance(value, list) or not 0 < len(value) <= 100 or len({*map(str, value)}) < len(value):
        return None
    names = [text_or_none(entry) for entry in value]
    return None if None in names else tuple(name for name in names if name is not None)


def _read_store(table: Table) -> StoreConfig:
    target = StoreConfig(
        name=table.string("name"),
        sqlite=table.file_path("sqlite") if "sqlite" in table.values else None,
        postgresql=table.string("postgresql", ""),
        password_file=table.file_path("password_file") if "password_file" in table.values else None,
        connections=table.integer("connections", 1, 1_000, 8),
        synchronous_commit=table.one_of("synchronous_commit", SYNCHRONOUS_COMMIT_VALUES, "on"),
        queue=table.integer("queue", 1, 1_000_000, 4_096))
    table.known_keys |= {"sqlite", "password_file"}
    table.reject_unknown_keys()
    if (target.sqlite is None) == (not target.postgresql):
        raise OperatorFileError(f"{table.file}: {table.path}: expected sqlite or postgresql, got "
                                f"{'neither' if target.sqlite is None else 'both'}")
    return target


def _read_stores(table: Table) -> StoresConfig:
    targets = [_read_store(entry) for entry in table.tables("to")]
    if not 0 < len(targets) <= MAX_STORES:
        raise OperatorFileError(f"{table.file}: {table.key_path('to')}: expected 1 to {MAX_STORES} tables "
                                f"[[store.to]], got {len(targets)}")
    names = [target.name for target in targets]
    for name in names:
        if names.count(name) > 1:
            raise OperatorFileError(f"{table.file}: {table.key_path('to')}: expected names that differ, "
                                    f"got {name!r} twice")
    stores = StoresConfig(table.file, table.get("classes", "a list of names that differ", _read_names), tuple(targets),
                    table.one_of("by", ("tenant", "key"), "tenant"),
                    table.one_of("upstreams", ("none", "first", "last"), "none"), table.file_path("journal"))
    table.reject_unknown_keys()
    return stores


def _read_budget(table: Table) -> Budget:
    from ironscale.disruption.model import ATTRIBUTES, Budget, UnitKind  # not loaded by sidecars

    # the key `name` is the budget's own name, so the pattern for unit names has the key `names`
    patterns = {"names" if name == "name" else name: name for name in ATTRIBUTES}
    where = tuple((name, table.string(key)) for key, name in patterns.items() if key in table.values)
    budget = Budget(
        name=table.string("name"),
        of=UnitKind(table.one_of("of", tuple(str(of) + "s" for of in UnitKind), "sidecars")[:-1]),
        where=where, each=table.one_of("each", ("", *ATTRIBUTES[1:]), ""),
        number=table.integer("number", 1, 1_000_000) if "number" in table.values else None,
        share=table.number("share", 0.0001, 1.0, None, "a share") if "share" in table.values else None,
        capacity=table.number("capacity", 0.0001, 1.0, None, "a share") if "capacity" in table.values else None)
    table.known_keys |= {"number", "share", "capacity", *patterns}
    table.reject_unknown_keys()
    if (budget.number, budget.share, budget.capacity) == (None, None, None):
        raise OperatorFileError(f"{table.file}: {table.path}: expected number, share or capacity, got none of them")
    return budget


def _read_budgets(table: Table) -> tuple[Budget, ...]:
    budgets = tuple(_read_budget(entry) for entry in table.tables("budget"))
    if len(budgets) > MAX_BUDGETS:
        raise OperatorFileError(f"{table.file}: {table.key_path('budget')}: expected {MAX_BUDGETS} at most, got "
                                f"{len(budgets)}")
    names = [budget.name for budget in budgets]
    for budget in budgets:
        if names.count(budget.name) > 1:
            raise OperatorFileError(f"{table.file}: {table.key_path('budget')}: expected names that differ, got "
                                    f"{budget.name!r} twice")
        for other in budgets:
            same_units = (budget.of, budget.where, budget.each) == (other.of, other.where, other.each)
            for limit in ("number", "share", "capacity"):
                limit_value, other_value = getattr(budget, limit), getattr(other, limit)
                if same_units and None not in (limit_value, other_value) and limit_value != other_value:
                    raise OperatorFileError(f"{table.file}: {table.key_path('budget')}: expected one {limit} for the "
                                            f"same units, got {limit_value:g} of {budget.name!r} and "
                                            f"{other_value:g} of {other.name!r}")
    return budgets


def _read_agent_addresses(value: Any) -> tuple[Address, ...] | None:
    entries = value if isinstance(value, list) else [value]
    addresses = [read_address(entry) for entry in entries]
    if not 0 < len(addresses) <= MAX_AGENTS or None in addresses or len(set(addresses)) < len(addresses):
        return None
    return tuple(address for address in addresses if address is not None)


def _read_agent(table: Table) -> AgentConfig:
    agent = AgentConfig(
        data=table.file_path("data", Path(".ironscale")),
        control=table.address("control", ("127.0.0.1", 7400)),
        api=table.address("api", ("127.0.0.1", 7401)),
        remote=table.boolean("remote", False),
        introspection=table.boolean("introspection", True),
        lease_s=table.seconds("lease_s", 0.2, 600, 6.0),
        heartbeat_s=table.seconds("heartbeat_s", 0.05, 120, 2.0),
        most_instances=table.integer("most_instances", 1, 100_000, MAX_INSTANCES),
        services=tuple(_read_service(entry) for entry in table.tables("service")),
        budgets=_read_budgets(table),
        file=table.file,
        postgresql=table.string("postgresql", ""),
        password_file=table.file_path("password_file") if "password_file" in table.values else None,
        synchronous_commit=table.one_of("synchronous_commit", SYNCHRONOUS_COMMIT_VALUES, "on"),
        record=table.file_path("record") if "record" in table.values else None,
        standby=table.boolean("standby", False),
        term_s=table.seconds("term_s", 0.5, 60, 10.0),
        token_file=table.file_path("token_file") if "token_file" in table.values else None,
    )
    table.known_keys |= {"record", "token_file"}
    if agent.record is not None and agent.postgresql:
        raise OperatorFileError(f"{table.file}: {table.key_path('record')}: expected record or postgresql, got both")
    if agent.standby and agent.record is None and not agent.postgresql:
        raise OperatorFileError(f"{table.file}: {table.key_path('standby')}: expected record or postgresql to be set "
                                "too, which other agents open as well, got neither")
    if agent.standby and agent.services:
        raise OperatorFileError(f"{table.file}: {table.key_path('standby')}: expected no [[agent.service]] "
                                f"with it, got {len(agent.services)}: the leader may change, but local processes stay "
                                "with their agent")
    for key in ("password_file", "synchronous_commit"):
        if key in table.values and not agent.postgresql:
            raise OperatorFileError(f"{table.file}: {table.key_path(key)}: expected postgresql to be set too, "
                                    f"got {key} alone")
    table.known_keys.add("password_file")
    for key, address in (("control", agent.control), ("api", agent.api)):
        if not agent.remote and not is_loopback(address):
            raise table.error_for(key, "a loopback address, or remote = true")
    if agent.lease_s < 2 * agent.heartbeat_s:
        raise table.error_for("lease_s", f"seconds of two heartbeats ({2 * agent.heartbeat_s:g}) or more")
    names = [service.name for service in agent.services]
    for name in names:
        if names.count(name) > 1:
            raise OperatorFileError(f"{table.file}: {table.key_path('service')}: expected names that differ, "
                                    f"got {name!r} twice")
    table.reject_unknown_keys()
    return agent


def parse(text: str, file: str, folder: Path) -> OperatorFile:
    """Parses and checks the whole file; relative paths in it start from `folder`. Raises OperatorFileError."""
    root = read_toml(text, file, folder, OperatorFileError)
    control = root.table("control")
    sidecar = root.table("sidecar")
    agent = root.table("agent")
    learned = root.table("learned")
    record = root.table("record")
    store = root.table("store")
    versions = root.table("versions")
    operator_file = OperatorFile(
        control=ControlConfig(
            control.get("agent", f"HOST:PORT, or a list of {MAX_AGENTS} at most that differ", _read_agent_addresses),
            control.file_path("token_file"),
            control.get("zone", "a text", text_or_none, "")) if control is not None else None,
        sidecar=ListenerConfig(sidecar.boolean("reuse_port", False)) if sidecar is not None else ListenerConfig(),
        agent=_read_agent(agent) if agent is not None else None,
        learned=_read_learned(learned) if learned is not None else None,
        record=RecordingConfig(record.file_path("file"), record.number("most_mb", 0.01, 1_000_000, 64.0, "megabytes"))
        if record is not None else None,
        store=_read_stores(store) if store is not None else None,
        versions=_read_versions(versions) if versions is not None else None,
    )
    for table in (control, sidecar, record, root):
        if table is not None:
            table.reject_unknown_keys()
    return operator_file


def load(path: str | Path) -> OperatorFile:
    path = Path(path)
    return parse(read_text(path, OperatorFileError), str(path), path.parent)


def read_secret(path: Path) -> str:
    """Reads a token from a file that only its owner can read. Raises OperatorFileError."""
    try:
        mode = path.stat().st_mode
        text = path.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not ASCII"
        raise OperatorFileError(f"{path}: expected a token, got {reason}") from error
    if mode & 0o077:
        raise OperatorFileError(f"{path}: expected mode 0600, got {mode & 0o777:04o}; chmod 600 it")
    if not text or not text.isprintable():
        raise OperatorFileError(f"{path}: expected a token in one line, got {len(text)} characters")
    return text


def from_environment(environ: Mapping[str, str]) -> OperatorFile:
    """Reads the file that GW_OPERATOR names, if it is set. GW_AGENT, GW_AGENT_TOKEN_FILE and GW_ZONE take precedence
    over its [control]. Raises OperatorFileError."""
    path = environ.get("GW_OPERATOR")
    operator_file = load(path) if path else OperatorFile()
    if not environ.get("GW_AGENT"):
        if operator_file.versions is not None and operator_file.control is None and operator_file.agent is None:
            raise OperatorFileError(f"{path}: versions: expected [control] or GW_AGENT to be set too, got neither")
        return operator_file
    addresses = _read_agent_addresses(environ["GW_AGENT"].split(","))
    if addresses is None:
        raise OperatorFileError(f"GW_AGENT: expected HOST:PORT, or several with commas, got {environ['GW_AGENT']!r}")
    token_file = environ.get("GW_AGENT_TOKEN_FILE") or (
        operator_file.control.token_file if operator_file.control else None)
    if not token_file:
        raise OperatorFileError("GW_AGENT_TOKEN_FILE: expected a path, got nothing")
    zone = environ.get("GW_ZONE") or (operator_file.control.zone if operator_file.control else "")
    return replace(operator_file, control=ControlConfig(addresses, Path(token_file), zone))
