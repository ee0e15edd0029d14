"""Runs one agent process from start to shutdown: its lock, tokens, listeners and terms."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import gc
import os
import random
import signal
import socket
import time
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import uvicorn

from ironscale import logs
from ironscale.agent import tokens
from ironscale.agent.api import Api
from ironscale.agent.control_connections import NOT_LEADING, ControlListener, InstanceConnections
from ironscale.agent.engine import Engine
from ironscale.agent.fleet import AGENT_ROUND_MS, RECONNECT_MS, Denial, Fleet
from ironscale.agent.follower_connections import FollowerConnection, FollowerConnections, SummaryConnection
from ironscale.agent.schema import Caller, Context, make_schema
from ironscale.agent.store import Records, Store, StoreError, TokenRow
from ironscale.agent.store_setup import open_store
from ironscale.agent.supervisor import Supervisor
from ironscale.agent.terms import Owner, clock_ms
from ironscale.agent.versions_replica import VersionsReplica, run_forever
from ironscale.control.extension import package_version
from ironscale.control.messages import Hello
from ironscale.net.process import STOP_SIGNALS
from ironscale.net.signals import Signals
from ironscale.net.timers import Clock
from ironscale.operator_file import AgentConfig as AgentSection
from ironscale.operator_file import read_secret
from ironscale.versions.serving import VersionDistributor

ADMIN, INSTANCE = "admin", "instance"  # names of the tokens made on the first start, in files NAME.token
MAX_REMEMBERED_DENIALS = 1_000
TOKEN_RELOAD_RETRY_S = STORE_RETRY_S = 0.5


class AgentError(Exception):
    """The agent can't start. The text is one line."""


class _Server(uvicorn.Server):
    """An HTTP server that leaves signals to the agent, in whose event loop it runs."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class Agent:
    def __init__(self, section: AgentSection) -> None:
        self.section = section
        self.data = section.data.absolute()
        self.tokens: list[TokenRow] = []
        self.control_port = self.api_port = 0
        self.denials: deque[tuple[str, str]] = deque(maxlen=MAX_REMEMBERED_DENIALS)
        self.monotonic_clock = Clock()
        self.ready = asyncio.Event()
        self.leading = asyncio.Event()
        self.sockets: list[socket.socket] = []  # control, api
        self.engine: Engine
        self.fleet: Fleet
        self.supervisor: Supervisor
        self.term_error: StoreError | None = None  # why the term ended: the ownership or confirmed writes were lost
        # Published versions are replicated and served as long as this process lives, whichever agent leads.
        self.replica = VersionsReplica(VersionDistributor(random.Random()), self.data, self.log)
        self.followers = FollowerConnections(self.replica.serving, self.is_instance_token, self.replica.age_s, self.log)
        self.control_listener = ControlListener({"follow": lambda: FollowerConnection(self.followers),
                                                 "sum": lambda: SummaryConnection(self.followers)})
        self.has_snapshot = False  # a snapshot file was loaded, which can be served before the store was ever reached
        self.replica.listener = self.followers
        self.replica.is_leading = self.followers.is_leading = self.is_leading
        self.followers.leader_control = self.leader_control

    def now_ms(self) -> int:
        return self.monotonic_clock.now_us() // 1000

    def is_leading(self) -> bool:
        return self.leading.is_set()

    def leader_control(self) -> str:
        """HOST:PORT of the control listener of the leading agent; empty if this agent leads or no leader is known."""
        engine = getattr(self, "engine", None)
        return engine.leader.control if engine is not None and engine.leader is not None else ""

    def log(self, text: str) -> None:
        logs.write_line(f"{time.strftime('%H:%M:%S')} agent: {text}")

    @contextlib.contextmanager
    def data_folder_lock(self) -> Iterator[None]:
        """Holds the lock on the data folder: two agents on one store would send commands unknown to each other."""
        try:
            self.data.mkdir(mode=0o700, parents=True, exist_ok=True)
            lock = open(self.data / "agent.lock", "a+", encoding="ascii")  # noqa: SIM115 (closed below)
        except OSError as error:
            raise AgentError(f"{self.data}: expected a folder that can be written, got {error.strerror}") from error
        with lock:
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.seek(0)
                raise AgentError(f"{self.data}: process {lock.read().strip() or 'unknown'} uses it; stop that agent, "
                                 "or name another data folder") from None
            lock.truncate(0)
            lock.write(f"{os.getpid()}\n")
            lock.flush()
            yield

    async def ensure_tokens(self, store: Store) -> None:
        """On the first start, makes one token for operators and one for instances, each in its own file."""
        now_ms = self.now_ms()
        known = {row.name for row in await store.read(lambda records: records.tokens())}
        for name, role in ((ADMIN, "admin"), (INSTANCE, "instance")):
            path = self.data / f"{name}.token"
            if name in known:
                if not path.exists():
                    # The store was used with another data folder before. It holds only the token's digest.
                    text = (f"{path}: expected the token that the store knows, got no file; copy it from the data "
                            "folder of the previous agent")
                    if name == INSTANCE and self.section.services:
                        raise AgentError(text)
                    self.log(text)
                continue
            # A file without a row is left by a start that was killed in between; the row is added now.
            if not path.exists():
                tokens.write_secret(path, tokens.new_token())
            row = TokenRow(name, role, tokens.digest(read_secret(path)), now_ms)

            def work(records: Records, row: TokenRow = row) -> None:
                records.put_token(row)
                records.audit(now_ms, "agent", "create token", row.name, row.role)

            await store.write(work)
        await self.reload_tokens(store)

    async def reload_tokens(self, store: Store) -> None:
        self.tokens = await store.read(lambda records: records.tokens())
        self.replica.set_tokens(self.tokens)

    def authenticate(self, token: str) -> Caller | None:
        row = tokens.find_token(token, self.tokens)
        return Caller(row.name, row.role) if row is not None else None

    def is_instance_token(self, token: str) -> bool:
        caller = self.authenticate(token)
        return caller is not None and caller.role == "instance"

    def log_denial(self, hello: Hello, denial: Denial) -> None:
        """Logs a denied registration once per process and reason: an instance that retries must not fill the log and
        the store."""
        mark = (hello.boot, denial.code)
        if mark in self.denials or denial.code == NOT_LEADING:  # expected in normal operation
            return
        self.denials.append(mark)
        self.log(f"{hello.name} (process {hello.pid}) was denied: {denial}")

        async def record() -> None:
            with contextlib.suppress(StoreError):
                await self.engine.store.write(lambda records: records.audit(
                    self.now_ms(), hello.name, "register", hello.name, f"denied: {denial.code}",
                    {"boot": hello.boot, "pid": hello.pid, "text": str(denial)}))

        if self.engine.tasks is not None:
            self.engine.tasks.create_task(record())

    async def run(self, stop: asyncio.Event, stop_instances: bool = False) -> None:
        """Runs until `stop`. An agent configured with `standby` may lead and stand by several times; another one exits
        when its term ends. Raises AgentError, StoreError or OperatorFileError if it can't start."""
        token = read_secret(self.section.token_file) if self.section.token_file is not None else ""
        with self.data_folder_lock(), contextlib.ExitStack() as ends:
            ends.callback(self.close_sockets)
            self.has_snapshot = await asyncio.to_thread(self.replica.load)
            self.tokens = [TokenRow(token.name, token.role, token.digest, token.created_ms, token.revoked_ms)
                           for token in self.replica.tokens]
            steps: list[Callable[[], Awaitable[None]]] = [self.replica.poll, self.replica.save_if_due,
                                                          self.followers.send_due_updates]
            if token:
                steps.append(lambda: self.followers.send_summaries(token))
            parts = [asyncio.create_task(run_forever(step, self.log)) for step in steps]
            try:
                if self.section.standby:
                    if self.replica.loaded_text:
                        self.log(self.replica.loaded_text)
                    await self.listen()
                while not stop.is_set():
                    await self.run_term(stop, stop_instances)
                    if not self.section.standby:
                        break
            finally:
                for part in parts:
                    part.cancel()
                await asyncio.gather(*parts, return_exceptions=True)
                self.control_listener.close()
                self.followers.close()
        if self.term_error is not None and not self.section.standby:
            raise self.term_error

    async def run_term(self, stop: asyncio.Event, stop_instances: bool) -> None:
        """Opens the store and runs one term: until the term ends or `stop` is set."""
        over, self.term_error = asyncio.Event(), None
        relay = asyncio.create_task(self.end_term_on_stop(stop, over))

        def lost(error: StoreError) -> None:
            self.log(f"{'no longer leads' if self.section.standby else 'exits'}: {error}")
            self.term_error = error
            over.set()

        try:
            store = await open_store(self.section, self.data, lost, self.log, self.addresses())
        except StoreError as error:
            relay.cancel()
            if not self.can_run_without_store():
                raise
            self.log(f"waits: {error}")
            self.mark_ready()
            await asyncio.sleep(STORE_RETRY_S)
            return
        self.replica.attach(store)
        try:
            if not self.section.standby or await self.stand_by(store, over):
                await self.lead(store, over, stop_instances)
                if over.is_set() and self.term_error is None:
                    await store.release_ownership()
        except StoreError as error:
            # The term ended as it began, so the agent stands by again.
            if not self.can_run_without_store():
                raise
            self.log(f"waits: {error}")
            self.mark_ready()
            await asyncio.sleep(STORE_RETRY_S)
        finally:
            relay.cancel()
            self.leading.clear()
            self.replica.attach(None)
            # In a thread, as closing a store that doesn't answer may block.
            await asyncio.to_thread(store.close)

    def can_run_without_store(self) -> bool:
        """Whether the agent keeps running without the store: another agent may lead meanwhile, and this one serves its
        replica of the published versions."""
        return self.section.standby and (self.ready.is_set() or self.has_snapshot)

    @staticmethod
    async def end_term_on_stop(stop: asyncio.Event, over: asyncio.Event) -> None:
        await stop.wait()
        over.set()

    # Listening sockets: bound once, and kept over several terms

    def bind(self) -> None:
        """Raises AgentError."""
        if self.sockets:
            return
        section = self.section
        try:
            for address, backlog in ((section.control, 4096), (section.api, 1024)):
                self.sockets.append(socket.create_server(address, backlog=backlog))
        except OSError as error:
            raise AgentError(f"control {section.control[0]}:{section.control[1]} or api {section.api[0]}:"
                             f"{section.api[1]}: expected addresses to listen on, got {error.strerror}") from error
        self.control_port, self.api_port = (sock.getsockname()[1] for sock in self.sockets)

    async def listen(self) -> None:
        """Accepts followers from now on, and instances once their connections are set. Raises AgentError."""
        self.bind()
        self.followers.own_address = self.addresses()[1]
        await self.control_listener.listen(self.sockets[0].dup())

    def addresses(self) -> tuple[str, str]:
        """Addresses of the API and the control listener, for other agents; empty before the sockets are bound."""
        if not self.sockets:
            return "", ""
        section = self.section
        return f"http://{section.api[0]}:{self.api_port}", f"{section.control[0]}:{self.control_port}"

    def close_sockets(self) -> None:
        for sock in self.sockets:
            sock.close()

    # While another agent leads

    async def stand_by(self, store: Store, over: asyncio.Event) -> bool:
        """Stands by: serves reads from the store, redirects instances to the leading agent, and claims the store once
        the leader's lease has expired. Returns True after a successful claim, False if `over` was set."""
        section = self.section
        poll_s = section.term_s / 8
        fleet = Fleet(int(section.lease_s * 1000), int(section.heartbeat_s * 1000), section.most_instances, self.now_ms)
        self.engine = engine = Engine(store, fleet, self.now_ms, self.log, section.budgets)
        engine.leader = Owner(0, "", "", 0)
        links = self.make_connections(fleet, engine)
        said = ""
        # Without the store's tokens every instance would be denied for its token, and would wait long to retry.
        await self.reload_tokens(store)
        async with self.serving(engine, links):
            while not over.is_set():
                try:
                    owner = await store.owner()
                    engine.leader = owner
                    if not owner.left_ms:
                        await store.claim()
                        self.log(f"leads, term {store.term.epoch}")
                        return True
                    if said != owner.place:
                        self.log(f"stands by for the agent of {owner.place}, term {owner.epoch}")
                        said = owner.place
                    await self.reload_tokens(store)
                    fleet.show_record(await store.read(lambda records: records.instances()))
                    engine.permits.apply_halt(await store.read(lambda records: records.halt()))
                    engine.record_read_ms = clock_ms()
                except StoreError as error:
                    # A file locked by a stopped process is logged; another agent's lease is the normal case.
                    if ("SQLITE_BUSY" in str(error) or error.code != "LOCKED") and str(error) != said:
                        said = str(error)
                        self.log(f"waits: {error}")
                self.mark_ready()
                left_s = engine.leader.left_ms / 1000
                # All standby agents see the same end of the lease; jitter lets each retry at a different time after it.
                wait_s = min(poll_s, left_s) * (0.8 + 0.4 * random.random()) + 0.005 if left_s else poll_s / 4
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait_s):
                        await over.wait()
        return False

    def make_connections(self, fleet: Fleet, engine: Engine) -> InstanceConnections:
        engine.publisher.on_published, engine.publisher.served = self.replica.on_published, self.followers
        links = InstanceConnections(fleet, self.is_instance_token, engine.on_result, self.log)
        links.on_denied = self.log_denial
        links.is_leading, links.term = engine.leads, lambda: engine.store.term.epoch
        links.leader_control = lambda: engine.leader.control if engine.leader is not None else ""
        return links

    def mark_ready(self) -> None:
        if not self.ready.is_set():
            self.write_addresses()
            section = self.section
            self.log(f"api http://{section.api[0]}:{self.api_port}/graphql, control {section.control[0]}:"
                     f"{self.control_port}, data {self.data}")
            self.ready.set()

    @contextlib.asynccontextmanager
    async def serving(self, engine: Engine, links: InstanceConnections) -> AsyncIterator[Api]:
        """Serves instances and API requests on the bound sockets; closes all connections at the end."""
        started_ms = self.now_ms()

        def tokens_changed() -> None:
            async def again() -> None:
                while True:
                    with contextlib.suppress(StoreError):
                        return await self.reload_tokens(engine.store)
                    await asyncio.sleep(TOKEN_RELOAD_RETRY_S)

            if engine.tasks is not None:
                engine.tasks.create_task(again())

        def context(caller: Caller) -> Context:
            return Context(caller, engine, started_ms, package_version(), lambda: self.reload_tokens(engine.store),
                           tokens_changed)

        api = Api(make_schema(), self.authenticate, context, self.section.introspection, self.log)
        server = _Server(uvicorn.Config(api.app, log_level="warning", access_log=False, lifespan="off",
                                        timeout_keep_alive=30, timeout_graceful_shutdown=2, ws="none"))
        await self.listen()
        self.control_listener.set_instance_connections(links)
        http = asyncio.create_task(server.serve(sockets=[self.sockets[1].dup()]))
        try:
            yield api
        finally:
            self.control_listener.set_instance_connections(None)
            api.shutting_down.set()
            server.should_exit = True
            await http
            links.close()

    # While this agent leads

    async def lead(self, store: Store, over: asyncio.Event, stop_instances: bool) -> None:
        section = self.section
        await self.ensure_tokens(store)
        self.fleet = fleet = Fleet(int(section.lease_s * 1000), int(section.heartbeat_s * 1000),
                                   section.most_instances, self.now_ms,
                                   AGENT_ROUND_MS if section.standby else RECONNECT_MS)
        self.engine = engine = Engine(store, fleet, self.now_ms, self.log, section.budgets)
        await engine.load()
        self.bind()
        links = self.make_connections(fleet, engine)
        self.supervisor = supervisor = Supervisor(
            section.services, self.data, (section.control[0], self.control_port), self.data / f"{INSTANCE}.token",
            fleet, engine.overlays.get, self.log)
        engine.restart_process, engine.before_stop = supervisor.restart_process, supervisor.mark_stopped
        async with asyncio.TaskGroup() as group:
            parts = [group.create_task(engine.run()), group.create_task(supervisor.run()),
                     group.create_task(self.watch_term(engine, links))]
            async with self.serving(engine, links):
                self.mark_ready()
                self.leading.set()
                await over.wait()
                self.log("shutting down")
                if stop_instances:
                    await supervisor.stop_all()
            for part in parts:
                part.cancel()
        supervisor.release_all()
        with contextlib.suppress(StoreError):
            rows, now_ms = fleet.take_dirty(), self.now_ms()

            def work(records: Records) -> None:
                records.put_instances(rows)
                records.set_alive_ms(now_ms)

            await store.write(work)

    async def watch_term(self, engine: Engine, links: InstanceConnections) -> None:
        """Closes the connections of instances once this agent's term is over, so that they can find the leading agent.
        An agent that is cut off from the store would not learn otherwise that another one leads."""
        while True:
            await asyncio.sleep(self.section.term_s / 8)
            if engine.store.term.is_over(clock_ms()) and links.open:
                self.log("the store has not answered for two leases: closing the connections of instances")
                links.close_all("this agent's term is over")

    def write_addresses(self) -> None:
        """Writes the API's address to a file, for the command line on this machine."""
        host = self.section.api[0]
        aside = self.data / ".address"
        aside.write_text(f"http://{host}:{self.api_port}\n", encoding="ascii")
        aside.replace(self.data / "address")


async def serve(section: AgentSection, stop_instances: bool) -> None:
    # Answers with many objects would otherwise make the garbage collector traverse the whole fleet again and again.
    gc.set_threshold(100_000, 50, 100)
    stop, signals = asyncio.Event(), Signals()
    for number in STOP_SIGNALS:
        signals.on(number, stop.set)
    try:
        await Agent(section).run(stop, stop_instances)
    finally:
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_DFL)
        signals.close()


@contextlib.asynccontextmanager
async def running(section: AgentSection) -> AsyncIterator[Agent]:
    """An agent in this process, for tests and measurements."""
    agent, stop = Agent(section), asyncio.Event()
    task = asyncio.create_task(agent.run(stop))
    ready = asyncio.create_task(agent.ready.wait())
    await asyncio.wait({task, ready}, return_when=asyncio.FIRST_COMPLETED)
    ready.cancel()
    try:
        if task.done():
            await task
        yield agent
    finally:
        stop.set()
        await task

