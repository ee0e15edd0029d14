"""The operator file: one reader for everything that is off unless it is named there.

One error style: file, key path, what was expected, what stood there, in one line.
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

MOST_INSTANCES = 5_000
MOST_BUDGETS = 200
MOST_AGENTS = 9
MOST_DONORS = 100
MOST_PLACES = 64


class OperatorFileError(TableError):
    """An operator file that cannot be used; the text is one line."""


@dataclass(frozen=True, slots=True)
class Control:
    """`[control]`: the instance's side. It dials the agent and keeps one connection."""

    agents: tuple[Address, ...]  # one, or several of which one leads
    token_file: Path
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Versions:
    """`[versions]`: the instance follows published configuration, at any of these agents."""

    agents: tuple[AgentEndpoint, ...]
    service: str = ""
    zone: str = ""  # empty = that of [control]
    region: str = ""
    token_file: Path | None = None  # else that of [control]


@dataclass(frozen=True, slots=True)
class Learned:
    """`[learned]`: what a sidecar has learned outlives it. At least one of its ways is named."""

    folder: Path | None = None  # a file for each sidecar in it, by its name
    every_s: float = 5.0
    teach: Address | None = None  # newcomers ask here; loopback
    ask: tuple[Address, ...] = ()  # where others teach
    from_agent: bool = False  # the agent names some that teach


@dataclass(frozen=True, slots=True)
class Record:
    """`[record]`: arrivals, as a trace to replay."""

    file: Path  # and the one before, with `.1` behind its name
    most_mb: float = 64.0  # of both together


@dataclass(frozen=True, slots=True)
class StoreTarget:
    """`[[store.to]]`: one store of record, either of both kinds."""

    name: str
    sqlite: Path | None = None
    postgresql: str = ""  # a connection string of libpq's, several hosts and TLS among its settings; no password
    password_file: Path | None = None
    connections: int = 8  # PostgreSQL: open at most
    synchronous_commit: str = "on"  # PostgreSQL: what a confirmed record has survived
    queue: int = 4_096  # SQLite: writes that wait at most


@dataclass(frozen=True, slots=True)
class Stores:
    """`[store]`: requests of these classes are written to a store of record in place of being sent to an upstream."""

    file: str  # for errors that show only with the configuration at hand
    classes: tuple[str, ...]
    to: tuple[StoreTarget, ...]
    by: str = "tenant"  # what chooses among several
    upstreams: str = "none"  # whether they are also sent to one, and when: none, first, last
    journal: Path | None = None  # folder: outcomes that were left open, a file a process


@dataclass(frozen=True, slots=True)
class Sidecar:
    """`[sidecar]`: how the listener is opened."""

    reuse_port: bool = False  # a successor may listen on the same port before this one has ended


@dataclass(frozen=True, slots=True)
class Service:
    """`[[agent.service]]`: local instances that the agent starts and keeps running."""

    name: str  # instances are called name-0, name-1 ...
    count: int
    config: Path  # JSON; its `name`, `listen` and `settings.self-index` are set for each instance
    host: str = "127.0.0.1"
    first_port: int = 0  # instance i listens on first_port + i; 0 = each on one from the kernel
    zone: str = ""
    environment: Mapping[str, str] = field(default_factory=dict)
    stop_s: float = 8.0  # from SIGTERM to SIGKILL; no less than the longest deadline and 1.5 s
    make_before_break: bool = False  # the successor starts on the same port before the old one is told to end


@dataclass(frozen=True, slots=True)
class Agent:
    """`[agent]`: the agent itself."""

    data: Path = Path(".ironscale")  # folder of the store and the tokens
    control: Address = ("127.0.0.1", 7400)  # instances dial here
    api: Address = ("127.0.0.1", 7401)  # GraphQL over HTTP
    remote: bool = False  # addresses other than loopback are allowed
    introspection: bool = True
    lease_s: float = 6.0
    heartbeat_s: float = 2.0
    most_instances: int = MOST_INSTANCES
    services: tuple[Service, ...] = ()
    budgets: tuple[Budget, ...] = ()
    file: str = ""  # for errors that show only with the record at hand
    postgresql: str = ""  # the record: a connection string without a password; empty = SQLite in `data`
    record: Path | None = None  # SQLite elsewhere: a file that several agents of this machine open
    standby: bool = False  # while another agent has the record: follow it, and lead after it
    term_s: float = 10.0  # the lease on a record that several agents may open
    password_file: Path | None = None
    synchronous_commit: str = "on"
    token_file: Path | None = None  # of role instance: with it the agent that leads is told who runs what here


@dataclass(frozen=True, slots=True)
class OperatorFile:
    control: Control | None = None
    sidecar: Sidecar = Sidecar()
    agent: Agent | None = None
    learned: Learned | None = None
    record: Record | None = None
    store: Stores | None = None
    versions: Versions | None = None


def is_loopback(address: Address) -> bool:
    return address[0] in ("localhost", "::1") or address[0].startswith("127.")


def _service(table: Table) -> Service:
    count = table.integer("count", 1, MOST_INSTANCES)
    first_port = table.integer("first_port", 0, 65535, 0)
    if first_port + count - 1 > 65535:
        raise table.error_for("first_port", f"a port with room for {count} instances")
    environment = {}
    variables = table.table("environment")
    if variables is not None:
        environment = {name: variables.string(name) for name in variables.values}
    service = Service(
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


def _loopback(value: Any) -> Address | None:
    address = read_address(value)
    return address if address is not None and is_loopback(address) else None


def _donors(value: Any) -> tuple[Address, ...] | None:
    if not isinstance(value, list) or len(value) > MOST_DONORS:
        return None
    found = [_loopback(entry) for entry in value]
    return None if None in found else tuple(address for address in found if address is not None)


def _versions(table: Table) -> Versions:
    from ironscale.versions.agent_selection import AgentEndpoint  # a sidecar that follows nobody loads none of it

    places = []
    for entry in table.tables("agent"):
        host, port = entry.address("address")
        places.append(AgentEndpoint(host, port, entry.get("zone", "a text", text_or_none, ""),
                            entry.get("region", "a text", text_or_none, "")))
        entry.reject_unknown_keys()
    if not 0 < len(places) <= MOST_PLACES:
        raise OperatorFileError(f"{table.file}: {table.key_path('agent')}: expected 1 to {MOST_PLACES} tables "
                                f"[[versions.agent]], got {len(places)}")
    addresses = [(place.host, place.port) for place in places]
    for host, port in addresses:
        if addresses.count((host, port)) > 1:
            raise OperatorFileError(f"{table.file}: {table.key_path('agent')}: expected addresses that differ, got "
                                    f"{host}:{port} twice")
    service, zone, region = (table.get(key, "a text", text_or_none, "") for key in ("service", "zone", "region"))
    found = Versions(tuple(places), service, zone, region,
                     token_file=table.file_path("token_file") if "token_file" in table.values else None)
    table.asked.add("token_file")
    table.reject_unknown_keys()
    return found


def _learned(table: Table) -> Learned:
    # anyone who reaches the address may ask, and what is told names upstreams: so it stays on the machine
    teach = table.get("teach", "HOST:PORT on a loopback address", _loopback) if "teach" in table.values else None
    learned = Learned(
        folder=table.file_path("folder") if "folder" in table.values else None,
        every_s=table.seconds("every_s", 0.1, 3600, 5.0), teach=teach,
        ask=table.get("ask", f"a list of {MOST_DONORS} HOST:PORT at most on loopback addresses", _donors, ()),
        from_agent=table.boolean("from_agent", False))
    table.asked |= {"teach", "folder"}
    table.reject_unknown_keys()
    if learned == Learned(every_s=learned.every_s):
        raise OperatorFileError(f"{table.file}: {table.path}: expected folder, teach, ask or from_agent = true, "
                                "got none of them")
    return learned


SYNCHRONOUS = ("on", "off", "local", "remote_write", "remote_apply")
MOST_STORES = 64


def _names(value: Any) -> tuple[str, ...] | None:
    if not isinstance(value, list) or not 0 < len(value) <= 100 or len({*map(str, value)}) < len(value):
        return None
    found = [text_or_none(entry) for entry in value]
    return None if None in found else tuple(name for name in found if name is not None)


def _target(table: Table) -> StoreTarget:
    target = StoreTarget(
        name=table.string("name"),
        sqlite=table.file_path("sqlite") if "sqlite" in table.values else None,
        postgresql=table.string("postgresql", ""),
        password_file=table.file_path("password_file") if "password_file" in table.values else None,
        connections=table.integer("connections", 1, 1_000, 8),
        synchronous_commit=table.one_of("synchronous_commit", SYNCHRONOUS, "on"),
        queue=table.integer("queue", 1, 1_000_000, 4_096))
    table.asked |= {"sqlite", "password_file"}
    table.reject_unknown_keys()
    if (target.sqlite is None) == (not target.postgresql):
        raise OperatorFileError(f"{table.file}: {table.path}: expected sqlite or postgresql, got "
                                f"{'neither' if target.sqlite is None else 'both'}")
    return target


def _stores(table: Table) -> Stores:
    targets = [_target(entry) for entry in table.tables("to")]
    if not 0 < len(targets) <= MOST_STORES:
        raise OperatorFileError(f"{table.file}: {table.key_path('to')}: expected 1 to {MOST_STORES} tables "
                                f"[[store.to]], got {len(targets)}")
    names = [target.name for target in targets]
    for name in names:
        if names.count(name) > 1:
            raise OperatorFileError(f"{table.file}: {table.key_path('to')}: expected names that differ, "
                                    f"got {name!r} twice")
    stores = Stores(table.file, table.get("classes", "a list of names that differ", _names), tuple(targets),
                    table.one_of("by", ("tenant", "key"), "tenant"),
                    table.one_of("upstreams", ("none", "first", "last"), "none"), table.file_path("journal"))
    table.reject_unknown_keys()
    return stores


def _budget(table: Table) -> Budget:
    from ironscale.disruption.model import ATTRIBUTES, Budget, UnitKind  # a sidecar loads none of it

    patterns = {"names" if name == "name" else name: name for name in ATTRIBUTES}  # `name` is the budget's own
    where = tuple((name, table.string(key)) for key, name in patterns.items() if key in table.values)
    budget = Budget(
        name=table.string("name"),
        of=UnitKind(table.one_of("of", tuple(str(of) + "s" for of in UnitKind), "sidecars")[:-1]),
        where=where, each=table.one_of("each", ("", *ATTRIBUTES[1:]), ""),
        number=table.integer("number", 1, 1_000_000) if "number" in table.values else None,
        share=table.number("share", 0.0001, 1.0, None, "a share") if "share" in table.values else None,
        capacity=table.number("capacity", 0.0001, 1.0, None, "a share") if "capacity" in table.values else None)
    table.asked |= {"number", "share", "capacity", *patterns}
    table.reject_unknown_keys()
    if (budget.number, budget.share, budget.capacity) == (None, None, None):
        raise OperatorFileError(f"{table.file}: {table.path}: expected number, share or capacity, got none of them")
    return budget


def _budgets(table: Table) -> tuple[Budget, ...]:
    found = tuple(_budget(entry) for entry in table.tables("budget"))
    if len(found) > MOST_BUDGETS:
        raise OperatorFileError(f"{table.file}: {table.key_path('budget')}: expected {MOST_BUDGETS} at most, got "
                                f"{len(found)}")
    names = [budget.name for budget in found]
    for budget in found:
        if names.count(budget.name) > 1:
            raise OperatorFileError(f"{table.file}: {table.key_path('budget')}: expected names that differ, got "
                                    f"{budget.name!r} twice")
        for other in found:
            same = (budget.of, budget.where, budget.each) == (other.of, other.where, other.each)
            for limit in ("number", "share", "capacity"):
                one, two = getattr(budget, limit), getattr(other, limit)
                if same and None not in (one, two) and one != two:
                    raise OperatorFileError(f"{table.file}: {table.key_path('budget')}: expected one {limit} for the "
                                            f"same units, got {one:g} of {budget.name!r} and {two:g} of {other.name!r}")
    return found


def _agents(value: Any) -> tuple[Address, ...] | None:
    entries = value if isinstance(value, list) else [value]
    found = [read_address(entry) for entry in entries]
    if not 0 < len(found) <= MOST_AGENTS or None in found or len(set(found)) < len(found):
        return None
    return tuple(address for address in found if address is not None)


def _agent(table: Table) -> Agent:
    agent = Agent(
        data=table.file_path("data", Path(".ironscale")),
        control=table.address("control", ("127.0.0.1", 7400)),
        api=table.address("api", ("127.0.0.1", 7401)),
        remote=table.boolean("remote", False),
        introspection=table.boolean("introspection", True),
        lease_s=table.seconds("lease_s", 0.2, 600, 6.0),
        heartbeat_s=table.seconds("heartbeat_s", 0.05, 120, 2.0),
        most_instances=table.integer("most_instances", 1, 100_000, MOST_INSTANCES),
        services=tuple(_service(entry) for entry in table.tables("service")),
        budgets=_budgets(table),
        file=table.file,
        postgresql=table.string("postgresql", ""),
        password_file=table.file_path("password_file") if "password_file" in table.values else None,
        synchronous_commit=table.one_of("synchronous_commit", SYNCHRONOUS, "on"),
        record=table.file_path("record") if "record" in table.values else None,
        standby=table.boolean("standby", False),
        term_s=table.seconds("term_s", 0.5, 60, 10.0),
        token_file=table.file_path("token_file") if "token_file" in table.values else None,
    )
    table.asked |= {"record", "token_file"}
    if agent.record is not None and agent.postgresql:
        raise OperatorFileError(f"{table.file}: {table.key_path('record')}: expected record or postgresql, got both")
    if agent.standby and agent.record is None and not agent.postgresql:
        raise OperatorFileError(f"{table.file}: {table.key_path('standby')}: expected record or postgresql beside it, "
                                "which other agents open too, got neither")
    if agent.standby and agent.services:
        raise OperatorFileError(f"{table.file}: {table.key_path('standby')}: expected no [[agent.service]] "
                                f"beside it, got {len(agent.services)}: who leads changes, and local processes stay "
                                "with their agent")
    for key in ("password_file", "synchronous_commit"):
        if key in table.values and not agent.postgresql:
            raise OperatorFileError(f"{table.file}: {table.key_path(key)}: expected postgresql beside it, "
                                    f"got {key} alone")
    table.asked.add("password_file")
    for key, address in (("control", agent.control), ("api", agent.api)):
        if not agent.remote and not is_loopback(address):
            raise table.error_for(key, "a loopback address, or remote = true beside it")
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
    """Checks the whole file; relative paths in it start from `folder`."""
    root = read_toml(text, file, folder, OperatorFileError)
    control = root.table("control")
    sidecar = root.table("sidecar")
    agent = root.table("agent")
    learned = root.table("learned")
    record = root.table("record")
    store = root.table("store")
    versions = root.table("versions")
    found = OperatorFile(
        control=Control(control.get("agent", f"HOST:PORT, or a list of {MOST_AGENTS} at most that differ", _agents),
                        control.file_path("token_file"),
                        control.get("zone", "a text", text_or_none, "")) if control is not None else None,
        sidecar=Sidecar(sidecar.boolean("reuse_port", False)) if sidecar is not None else Sidecar(),
        agent=_agent(agent) if agent is not None else None,
        learned=_learned(learned) if learned is not None else None,
        record=Record(record.file_path("file"), record.number("most_mb", 0.01, 1_000_000, 64.0, "megabytes"))
        if record is not None else None,
        store=_stores(store) if store is not None else None,
        versions=_versions(versions) if versions is not None else None,
    )
    for table in (control, sidecar, record, root):
        if table is not None:
            table.reject_unknown_keys()
    return found


def load(path: str | Path) -> OperatorFile:
    path = Path(path)
    return parse(read_text(path, OperatorFileError), str(path), path.parent)


def read_secret(path: Path) -> str:
    """A token from a file that nobody else can read."""
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
    """GW_OPERATOR names the file; GW_AGENT, GW_AGENT_TOKEN_FILE and GW_ZONE go before its [control]."""
    path = environ.get("GW_OPERATOR")
    found = load(path) if path else OperatorFile()
    if not environ.get("GW_AGENT"):
        if found.versions is not None and found.control is None and found.agent is None:
            raise OperatorFileError(f"{path}: versions: expected [control] or GW_AGENT beside it, got neither")
        return found
    addresses = _agents(environ["GW_AGENT"].split(","))
    if addresses is None:
        raise OperatorFileError(f"GW_AGENT: expected HOST:PORT, or several with commas, got {environ['GW_AGENT']!r}")
    token_file = environ.get("GW_AGENT_TOKEN_FILE") or (found.control.token_file if found.control else None)
    if not token_file:
        raise OperatorFileError("GW_AGENT_TOKEN_FILE: expected a path, got nothing")
    zone = environ.get("GW_ZONE") or (found.control.zone if found.control else "")
    return replace(found, control=Control(addresses, Path(token_file), zone))
