"""Starts real sidecars for a scale run, with the stand-in discovery that serves their list of upstreams."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

from ironscale.control.processes import process_cpu_s
from ironscale.scale.bounds import ChildProcesses
from ironscale.stage.relay import Port
from ironscale.stage.run import Stage
from ironscale.standins.discovery import ListedDiscovery
from ironscale.standins.settings import SETTINGS
from ironscale.standins.upstream import Peer

START_TIMEOUT_S = 60.0
DEFAULT_UPSTREAMS = 10  # upstreams of one service
UNSET_VARIABLES = (
    "GW_NAME",
    "GW_LISTEN",
    "GW_DISCOVERY",
    "GW_OPERATOR",
    "GW_OVERLAY",
    "GW_AGENT",
    "GW_AGENT_TOKEN_FILE",
)


class RealSidecarsError(Exception):
    """Real sidecars that failed to start; the message is a single line."""


class RealSidecars:
    """Sidecars that share one list of upstreams. Each start may use other agents, or none."""

    def __init__(self, children: ChildProcesses, folder: Path, discovery: ListedDiscovery, peer: Peer) -> None:
        self.children, self.folder, self.discovery, self.peer = children, folder, discovery, peer
        self.processes: list[subprocess.Popen[bytes]] = []
        self.ports: list[Port] = []

    @classmethod
    @asynccontextmanager
    async def running(
        cls, children: ChildProcesses, folder: Path, count: int, upstreams: int = DEFAULT_UPSTREAMS
    ) -> AsyncIterator[RealSidecars]:
        """Starts discovery, and one upstream that all entries of the list point to, but no sidecar yet. Starts nothing
        if `count` is 0."""
        peer, discovery = Peer(), ListedDiscovery()
        peer.keep_messages = False
        sidecars = cls(children, folder, discovery, peer)
        if not count:
            yield sidecars
            return
        await peer.start()
        discovery.put(*(peer.entry(f"node-{n:05}") for n in range(upstreams)))
        await discovery.start()
        try:
            yield sidecars
        finally:
            sidecars.end()
            await discovery.stop()
            await peer.stop()

    async def start(self, count: int, agents: Sequence[tuple[str, int]] = (), token_file: Path | None = None
                    ) -> list[subprocess.Popen[bytes]]:
        """Starts `count` sidecars and waits until all serve. Raises RealSidecarsError."""
        started = [self.launch(agents, token_file) for _ in range(count)]
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                for process, port in zip(started, self.ports[len(self.ports) - count:], strict=True):
                    while not await Stage.serves(port.number):
                        if process.poll() is not None:
                            raise RealSidecarsError(f"sidecar of process {process.pid} ended with status "
                                             f"{process.returncode}; see {self.folder / 'real.log'}")
                        await asyncio.sleep(0.05)
        except TimeoutError:
            raise RealSidecarsError(f"{count} sidecars did not serve within {START_TIMEOUT_S:g} s") from None
        return started

    def launch(self, agents: Sequence[tuple[str, int]], token_file: Path | None) -> subprocess.Popen[bytes]:
        index, port = len(self.processes), Port()
        name = f"real-{index:03}"
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps({
            "name": name, "listen": f"127.0.0.1:{port.number}", "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": f"{index + 1:x}", "limits": {"sockets": 256},
            "settings": {**SETTINGS, "instances": 200, "self-index": index}}), encoding="utf-8")
        environ = {key: value for key, value in os.environ.items() if key not in UNSET_VARIABLES}
        environ["GW_CONFIG"] = str(file)
        if agents:
            environ |= {"GW_AGENT": ",".join(f"{host}:{number}" for host, number in agents),
                        "GW_AGENT_TOKEN_FILE": str(token_file)}
        process = self.children.start(name, "ironscale", environ=environ, log=self.folder / "real.log")
        self.processes.append(process)
        self.ports.append(port)
        return process

    def cpu_s(self) -> list[float]:
        return [process_cpu_s(process.pid) for process in self.processes]

    def end(self) -> None:
        if self.processes:
            self.children.end(*self.processes)
        for port in self.ports:
            port.close()
        self.processes.clear()
        self.ports.clear()
