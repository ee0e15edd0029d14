"""One agent from its start to its end."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import gc
import os
import signal
import socket
import sys
import time
from collections import deque
from collections.abc import AsyncIterator, Iterator

import uvicorn

from ironscale.agent import tokens
from ironscale.agent.api import Api
from ironscale.agent.engine import Engine
from ironscale.agent.fleet import Denial, Fleet
from ironscale.agent.links import Links
from ironscale.agent.opening import open_store
from ironscale.agent.schema import Caller, Context, make_schema
from ironscale.agent.store import Records, Store, StoreError, TokenRow
from ironscale.agent.supervisor import Supervisor
from ironscale.control.beside import version
from ironscale.control.messages import Hello
from ironscale.net.sidecar import Clock
from ironscale.operator_file import Agent as AgentSection
from ironscale.operator_file import read_secret

ADMIN, INSTANCE = "admin", "instance"  # tokens of the first start, and their files NAME.token
DENIALS_KEPT = 1_000
RELOAD_S = 0.5


class AgentError(Exception):
    """An agent that can't start; the text is one line."""


class _Server(uvicorn.Server):
    """In the agent's own loop, whose signals are the agent's."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class Agent:
    def __init__(self, section: AgentSection) -> None:
        self.section = section
        self.data = section.data.absolute()
        self.tokens: list[TokenRow] = []
        self.control_port = self.api_port = 0
        self.denials: deque[tuple[str, str]] = deque(maxlen=DENIALS_KEPT)
        self.clock = Clock()
        self.ready = asyncio.Event()
        self.engine: Engine
        self.fleet: Fleet
        self.supervisor: Supervisor
        self.failed: StoreError | None = None  # the record is another's, or less than it was

    def now_ms(self) -> int:
        return self.clock.now_us() // 1000

    def log(self, text: str) -> None:
        print(f"{time.strftime('%H:%M:%S')} agent: {text}", file=sys.stderr, flush=True)

    @contextlib.contextmanager
    def alone(self) -> Iterator[None]:
        """Hazard: two agents on one record would each send commands that the other knows nothing of."""
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
                raise AgentError(f"{self.data}: process {lock.read().strip() or 'unknown'} has it; stop that agent, "
                                 "or name another data folder") from None
            lock.truncate(0)
            lock.write(f"{os.getpid()}\n")
            lock.flush()
            yield

    async def first_tokens(self, store: Store) -> None:
        """On the first start, one token for operators and one for instances, each in a file of its own."""
        now_ms = self.now_ms()
        known = {row.name for row in await store.read(lambda records: records.tokens())}
        for name, role in ((ADMIN, "admin"), (INSTANCE, "instance")):
            path = self.data / f"{name}.token"
            if name in known:
                if not path.exists():
                    # the record came from elsewhere, or its agent did: the token itself is kept in no record
                    text = (f"{path}: expected the token that the record knows, got no file; bring it from the data "
                            "folder of the agent before")
                    if name == INSTANCE and self.section.services:
                        raise AgentError(text)
                    self.log(text)
                continue
            # a file without a row is of a start that was killed in between: it is made good here
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

    def authenticate(self, token: str) -> Caller | None:
        row = tokens.find(token, self.tokens)
        return Caller(row.name, row.role) if row is not None else None

    def admits(self, token: str) -> bool:
        caller = self.authenticate(token)
        return caller is not None and caller.role == "instance"

    def on_denied(self, hello: Hello, denial: Denial) -> None:
        """Told once a process and reason: one that asks again and again must not fill log and record."""
        mark = (hello.boot, denial.code)
        if mark in self.denials:
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
        """Until `stop`. Raises AgentError, StoreError or OperatorFileError where it can't start."""
        def lost(error: StoreError) -> None:
            self.log(f"ends: {error}")
            self.failed = error
            stop.set()

        with self.alone():
            store = await open_store(self.section, self.data, lost, self.log)
            try:
                await self.run_on(store, stop, stop_instances)
            finally:
                # beside the loop, as a store that does not answer may take its time
                await asyncio.to_thread(store.close)
        if self.failed is not None:
            raise self.failed

    async def run_on(self, store: Store, stop: asyncio.Event, stop_instances: bool) -> None:
        section = self.section
        await self.first_tokens(store)
        self.fleet = fleet = Fleet(int(section.lease_s * 1000), int(section.heartbeat_s * 1000),
                                   section.most_instances, self.now_ms)
        self.engine = engine = Engine(store, fleet, self.now_ms, self.log, section.budgets)
        await engine.load()
        links = Links(fleet, self.admits, engine.on_result, self.log)
        links.on_denied = self.on_denied
        try:
            self.control_port = await links.listen(section.control)
            api_socket = socket.create_server(section.api, backlog=1024)
        except OSError as error:
            links.close()
            raise AgentError(f"control {section.control[0]}:{section.control[1]} or api {section.api[0]}:"
                             f"{section.api[1]}: expected addresses to listen on, got {error.strerror}") from error
        self.api_port = api_socket.getsockname()[1]
        self.supervisor = supervisor = Supervisor(
            section.services, self.data, (section.control[0], self.control_port), self.data / f"{INSTANCE}.token",
            fleet, engine.overlays.get, self.log)
        engine.restart, engine.stopping = supervisor.restart, supervisor.stopping
        started_ms = self.now_ms()

        def tokens_changed() -> None:
            async def again() -> None:
                while True:
                    with contextlib.suppress(StoreError):
                        return await self.reload_tokens(store)
                    await asyncio.sleep(RELOAD_S)

            if engine.tasks is not None:
                engine.tasks.create_task(again())

        def context(caller: Caller) -> Context:
            return Context(caller, engine, started_ms, version(), lambda: self.reload_tokens(store), tokens_changed)

        api = Api(make_schema(), self.authenticate, context, section.introspection, self.log)
        server = _Server(uvicorn.Config(api.app, log_level="warning", access_log=False, lifespan="off",
                                        timeout_keep_alive=30, timeout_graceful_shutdown=2, ws="none"))
        async with asyncio.TaskGroup() as group:
            parts = [group.create_task(engine.run()), group.create_task(supervisor.run())]
            http = group.create_task(server.serve(sockets=[api_socket]))
            self.write_addresses()
            self.log(f"api http://{section.api[0]}:{self.api_port}/graphql, control {section.control[0]}:"
                     f"{self.control_port}, data {self.data}")
            self.ready.set()
            await stop.wait()
            self.log("ends")
            if stop_instances:
                await supervisor.stop_all()
            api.ending.set()
            server.should_exit = True
            await http
            links.close()
            for part in parts:
                part.cancel()
        supervisor.release_all()
        with contextlib.suppress(StoreError):
            rows, now_ms = fleet.take_dirty(), self.now_ms()

            def work(records: Records) -> None:
                records.put_instances(rows)
                records.set_alive(now_ms)

            await store.write(work)

    def write_addresses(self) -> None:
        """Where this agent is, for the command line on this machine."""
        host = self.section.api[0]
        aside = self.data / ".address"
        aside.write_text(f"http://{host}:{self.api_port}\n", encoding="ascii")
        aside.replace(self.data / "address")


async def serve(section: AgentSection, stop_instances: bool) -> None:
    # hazard: answers of many objects make the collector walk the whole fleet again and again
    gc.set_threshold(100_000, 50, 100)
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await Agent(section).run(stop, stop_instances)


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

