"""Stand-ins for clients, upstreams, discovery and the platform, and a record of what they saw.

They follow the protocol page and use the standard library alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SLACK_S = 0.05  # each time limit of a rule is 50 ms longer on sockets (PROTOCOL)


class CannotRun(Exception):
    """The case could not run; its result says nothing about the program."""


class Record:
    """The file `record.txt`: one line for each event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.start_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self.start_s

    def note(self, text: str) -> None:
        self.file.write(f"{self.now_s():8.3f} {text}\n")

    def say(self, text: str) -> None:
        """A line that the script prints as well."""
        self.note(text)
        self.file.flush()
        print(text, flush=True)


class Message:
    """An HTTP message: its first line, its headers with lower-case names, and its body."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self) -> int:
        return int(self.first.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message with a Content-Length or no body. Raises IncompleteReadError or ConnectionError."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    return Message(first, headers, await reader.readexactly(int(headers.get("content-length", 0))))


def response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class Upstream:
    """Runs each request whose last byte has come and answers with its id, after `work_s`."""

    def __init__(self, name: str, record: Record, work_s: float = 0.01) -> None:
        self.name, self.record, self.work_s = name, record, work_s
        self.runs: list[tuple[float, str]] = []  # when each request came, and its id
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> Upstream:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                txn = message.headers.get("x-txn", "")
                self.runs.append((self.record.now_s(), txn))
                self.record.note(f"run      {txn} at {self.name}")
                await asyncio.sleep(self.work_s)
                writer.write(response(txn.encode()))
        writer.close()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """This upstream as discovery lists it."""
        return {"instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": "pit", "machineType": "ox",
                "cell": 1, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0, **changes}


class Registry:
    """Discovery, or the agent where lists are pushed. It keeps its list in memory, numbers its versions from 1, answers
    at once, gives a watch what changed after the version that it names, else the whole list, and writes an empty line
    after each 2 s without a change."""

    def __init__(self, record: Record, name: str = "discovery") -> None:
        self.record, self.name = record, name
        self.generation = 0
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watches: dict[asyncio.StreamWriter, asyncio.Event] = {}
        self.calls = 0
        self.port = 0
        self.server: asyncio.Server | None = None
        self.written_s: dict[int, float] = {}  # when each version was first written to a call

    async def start(self, port: int = 0) -> Registry:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def put(self, *entries: dict[str, Any]) -> None:
        """Adds, changes or (`lifecycle` gone) removes entries, as one version; open watches are told."""
        self.generation += 1
        for entry in entries:
            self.changes.append((self.generation, entry))
            if entry["lifecycle"] == "gone":
                self.entries.pop(entry["instanceId"], None)
            else:
                self.entries[entry["instanceId"]] = entry
        for changed in self.watches.values():
            changed.set()

    def listing(self, after: int | None) -> bytes:
        """What changed after that version; the whole list for None or a version that this process never gave."""
        whole = after is None or not 0 < after <= self.generation
        latest = {e["instanceId"]: e for number, e in self.changes if after is not None and number > after}
        entries = list((self.entries if whole else latest).values())
        self.written_s.setdefault(self.generation, self.record.now_s())
        self.record.note(f"list     version {self.generation}, {'whole' if whole else 'changes'}: "
                         + " ".join(f"{e['instanceId']}={e['lifecycle']}" for e in entries))
        return json.dumps({"generation": self.generation, "reset": whole, "instances": entries}).encode() + b"\n"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target = (await read_message(reader)).first.split()[1]
            self.calls += 1
            self.record.note(f"call     {target} to {self.name}")
            if "watch=1" not in target:
                writer.write(response(self.listing(None)))
                return
            changed = self.watches[writer] = asyncio.Event()
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            end = asyncio.ensure_future(reader.read())
            after, line = self.generation, self.listing(int(target.rpartition("after=")[2]))
            while not end.done():
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                wait = asyncio.ensure_future(changed.wait())
                await asyncio.wait([wait, end], timeout=2.0, return_when=asyncio.FIRST_COMPLETED)
                wait.cancel()
                line = b"\n"
                if changed.is_set():
                    changed.clear()
                    after, line = self.generation, self.listing(after)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watches.pop(writer, None)
            writer.close()

    def die(self) -> None:
        """The process dies: its connections are reset, new ones are refused."""
        assert self.server is not None
        self.server.close()
        for writer in list(self.watches):
            writer.transport.abort()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Sidecar:
    """The program, started by the deploy file's `run`."""

    def __init__(self, folder: Path, record: Record, config: dict[str, Any], discovery: int) -> None:
        self.record, self.port = record, free_port()
        self.path = folder / "config.json"
        listen, address = f"127.0.0.1:{self.port}", f"127.0.0.1:{discovery}"
        self.path.write_text(json.dumps({"name": "n0", "listen": listen, "discovery": address, **config}))
        (folder / "tmp").mkdir()
        environ = {key: value for key, value in os.environ.items() if not key.startswith("GW_")}
        environ |= {"GW_CONFIG": str(self.path), "GW_NAME": "n0", "GW_LISTEN": listen, "GW_DISCOVERY": address,
                    "TMPDIR": str(folder / "tmp")}
        self.log = (folder / "log").open("wb")
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environ, stderr=self.log)

    async def ready(self) -> None:
        for _ in range(600):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                status = (await read_message(reader)).status
                writer.close()
                if status == 200:
                    self.record.say("the sidecar is ready")
                    return
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise CannotRun("the sidecar did not become ready within 30 s")

    def signal(self, number: signal.Signals) -> None:
        self.record.say(f"signal   {number.name} to the sidecar")
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(5)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self.log.close()


def request(txn: str, lane: str, tenant: str, remaining_ms: int, body: bytes | None = None,
            more: tuple[str, ...] = ()) -> bytes:
    """A request as the protocol page words it: GET without a body, else POST. `more`: further header lines."""
    head = [f"{'GET' if body is None else 'POST'} /api?sid={txn} HTTP/1.1", "Host: service.internal", f"X-Txn: {txn}",
            f"X-Lane: {lane}", f"X-Org: {tenant}", f"X-Remaining: {remaining_ms}m"]
    head += more
    head += [f"Content-Length: {len(body)}"] if body is not None else []
    return ("\r\n".join(head) + "\r\n\r\n").encode() + (body or b"")


@contextlib.asynccontextmanager
async def stage(folder: Path) -> AsyncIterator[tuple[Record, Path, list[Sidecar]]]:
    """A record, a temporary folder, and a list: the sidecars in it are ended at the end."""
    record, sidecars = Record(folder), list[Sidecar]()
    with tempfile.TemporaryDirectory() as temporary:
        try:
            yield record, Path(temporary), sidecars
        finally:
            for sidecar in sidecars:
                if sidecar.process.poll() is None:
                    sidecar.process.terminate()
            for sidecar in sidecars:
                sidecar.end()
            record.file.close()


def main(case: Callable[[bool], Awaitable[bool]]) -> None:
    """Runs a case, without its disruption if TROUBLE=0, and exits: 0 = the rule held, 1 = it was broken, 2 = the case
    couldn't run."""
    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await case(os.environ.get("TROUBLE") != "0")

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
