"""Shared by the cases 6 to 10: the sidecar as `run` of deploy/balancer.toml starts it, a client, and the record."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
STARTED: list[asyncio.subprocess.Process] = []  # by this case, ended at its end whatever happened
# The parts that are off in `run` (agent, stores) need the extras, which .venv-ci has and .venv has not.
WITH_EXTRAS = DEPLOY["run"].replace(".venv/", ".venv-ci/")

CLASSES = [  # as the site page has them
    {"name": "view", "aim": 300_000, "deadline": 1_500_000, "worth": 1.0, "late-worth": 0.3, "effect": "idempotent",
     "group": "all", "memory-span": 5_000_000, "stream": False},
    {"name": "submit", "aim": 300_000, "deadline": 600_000, "worth": 5.0, "late-worth": 0.25,
     "effect": "at_most_once", "group": "all", "memory-span": 5_000_000, "stream": False},
    {"name": "mark", "aim": 400_000, "deadline": 2_000_000, "worth": 3.0, "late-worth": 0.25,
     "effect": "deduplicated", "group": "cell", "memory-span": 1_200_000, "stream": False},
]


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment."""
    return {
        "areas": ["a", "b"], "kinds": ["large", "small"], "instances": 3, "self-index": 0, "locality": 0,
        "granularity": 4000, "registry-mode": "on_request", "value-by": "request", "weights": "none",
        "over-share-worth": 0.1, "accounts": [{"name": "college", "allowance-per-s": 400.0, "share": 1.0}],
        "request-classes": CLASSES,
        "bounds": {"cancel": True, "conn-idle": 15_000_000, "dial-timeout": 150_000, "max-open": 20_000,
                   "max-retry-after": 1_000_000, "most-tries": 4, "multiplex": 1, "peers": False, "probes": False,
                   "retry-after": True, "second-copies": True},
        "fees": {"cross-zone": 0.0}, "report": {"how": "none", "names": []},
        "invariants": {"answer-slack": 16_000, "ask-within": 10_000_000, "cold-share": 0.13,
                       "drain-grace": 2_000_000, "fall": 1_000_000, "overload-factor": 2.5,
                       "warm-up": 24_000_000}, **changes}


class Record:
    """What was sent, answered and run, a line each, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.start_s = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115 (open to the end)

    def now_s(self) -> float:
        return time.monotonic() - self.start_s

    def line(self, text: str) -> None:
        self.file.write(f"{self.now_s():9.4f} {text}\n")
        self.file.flush()


class Sidecar:
    """One sidecar, started by the deploy file's command."""

    def __init__(self, folder: Path, discovery: str, name: str = "n0", command: str = DEPLOY["run"],
                 operator: Path | None = None, known: list[dict[str, Any]] | None = None, **changes: Any) -> None:
        self.folder, self.name, self.command, self.operator = folder, name, command, operator
        self.port = free_port()
        self.config = {"name": name, "listen": f"127.0.0.1:{self.port}", "discovery": discovery, "seed": "7",
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                       "known": {"generation": 0, "reset": True, "instances": known or []},
                       "settings": settings(**changes)}
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        environ = {**{k: v for k, v in os.environ.items() if not k.startswith("GW_")}, "GW_CONFIG": str(path),
                   "TMPDIR": str(self.folder)}
        if self.operator is not None:
            environ["GW_OPERATOR"] = str(self.operator)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec("/bin/sh", "-c", self.command, cwd=ROOT, env=environ,
                                                                stdout=log, stderr=log,
                                                                stdin=asyncio.subprocess.DEVNULL)
        STARTED.append(self.process)
        for _ in range(300):
            try:
                status, _, _ = await asyncio.wait_for(get(self.port, "/health/ready"), 1.0)
                if status == 200:
                    return
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError("the sidecar did not become ready in 30 s: " + self.log_text()[-2000:])

    def log_text(self) -> str:
        return (self.folder / f"{self.name}.log").read_text(errors="replace")

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 8.0)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    return head[0], {k.strip().lower(): v.strip() for k, _, v in (one.partition(":") for one in head[1:] if one)}


async def exchange(port: int, data: bytes) -> tuple[int, dict[str, str], bytes]:
    """One request on a connection of its own: status, headers and body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        first, headers = await read_head(reader)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return int(first.split()[1]), headers, body
    finally:
        writer.close()


async def get(port: int, path: str) -> tuple[int, dict[str, str], bytes]:
    return await exchange(port, f"GET {path} HTTP/1.1\r\nHost: service.internal\r\n\r\n".encode())


def request(lane: str, txn: str, remaining_ms: int, key: str = "", body: bytes = b"", sid: str = "") -> bytes:
    method = "GET" if lane == "view" else "POST"
    lines = [f"{method} /api?sid={sid or txn} HTTP/1.1", "Host: service.internal", f"X-Txn: {txn}",
             f"X-Lane: {lane}", "X-Org: college", f"X-Remaining: {remaining_ms}m"]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def entry(name: str, port: int, lifecycle: str = "ready", **changes: Any) -> dict[str, Any]:
    return {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": "a", "machineType": "large", "cell": 1,
            "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0, **changes}


def needs(*programs: str) -> None:
    """Ends with 2 where the builds have not made these files."""
    missing = [one for one in programs if not (ROOT / one).exists()]
    if missing:
        print(f"not run: {', '.join(missing)} missing; run the build of the deploy file and review/build-2.sh")
        sys.exit(NOT_RUN)


def run_case(folder: Path, play: Any) -> int:
    """Plays a case with a record and a temporary folder. 0: the rule held, 1: broken, 2: it could not run."""
    record = Record(folder)

    async def main() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            try:
                async with asyncio.timeout(110):
                    return int(await play(record, Path(temporary)))
            except asyncio.CancelledError:
                record.line("the case got SIGTERM")
                return NOT_RUN
            except Exception as error:  # whatever it is, it shows nothing of the program
                record.line(f"the case could not run: {type(error).__name__}: {error}")
                return NOT_RUN
            finally:
                for process in STARTED:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

    code = asyncio.run(main())
    record.line({HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "not run"))
    return code
