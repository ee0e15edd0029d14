"""Case 8: SIGHUP with an unchanged file takes back the discovery that an operator has rolled out; drains go unheard."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any

sys.path[:0] = [str(Path(__file__).resolve().parents[1]), str(Path(__file__).resolve().parents[2])]

from case_support import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Record,
    Sidecar,
    entry,
    exchange,
    needs,
    read_head,
    request,
    run_case,
)

from ironscale.standins.discovery import ListedDiscovery  # noqa: E402

# "what discovery has to tell counts as told 6 s later at the latest, whether or not it arrived", and the grace of a
# drain (invariants.drain-grace), with the 50 ms by which each time limit is longer on sockets.
TOLD_S, GRACE_S, SLACK_S = 6.0, 2.0, 0.05
PLAYED_S, PACE_S = 14.0, 0.025


class StandInAgent:
    """An agent as docs/design/001-control.md has it: frames of a length and a JSON object. It welcomes one instance,
    answers its heartbeats, and sends it one command."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.generation = -1  # as last reported
        self.boot = ""
        self.writer: asyncio.StreamWriter | None = None
        self.results: asyncio.Queue[str] = asyncio.Queue()

    async def start(self) -> None:
        server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def send(self, writer: asyncio.StreamWriter, **message: Any) -> None:
        body = json.dumps(message).encode()
        writer.write(len(body).to_bytes(4) + body)

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = json.loads(await reader.readexactly(int.from_bytes(await reader.readexactly(4))))
                if message["type"] == "hello":
                    self.boot, self.writer = message["boot"], writer
                    self.send(writer, type="welcome", lease_ms=6000, beat_ms=500, spread_ms=100, donors=[], term=1)
                elif message["type"] == "beat":
                    self.generation = message["report"]["generation"]
                    self.send(writer, type="lease", seq=message["seq"])
                elif message["type"] == "result":
                    self.record.line(f"the sidecar says of command {message['id']}: {message['status']}")
                    self.results.put_nowait(message["status"])
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def reconfigure(self, generation: int, overlay: dict[str, Any]) -> str:
        """What the sidecar says of it."""
        async with asyncio.timeout(15.0):
            while self.writer is None:
                await asyncio.sleep(0.05)
            self.record.line(f"the agent rolls out generation {generation}: {overlay}")
            self.send(self.writer, type="command", id="1.0.1", fence=1, boot=self.boot, kind="reconfigure",
                      args={"generation": generation, "overlay": overlay})
            return await self.results.get()


async def play(record: Record, folder: Path) -> int:
    got: dict[str, list[float]] = {"s-1": [], "s-2": []}

    def upstream(name: str) -> Any:
        async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while True:
                    _, headers = await read_head(reader)
                    got[name].append(record.now_s())
                    record.line(f"{name} is sent {headers['x-txn']}")
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved")
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()
        return on_connection

    former, new = await ListedDiscovery().start(), await ListedDiscovery().start()
    for name in got:
        server = await asyncio.start_server(upstream(name), "127.0.0.1", 0)
        for discovery in (former, new):
            discovery.put(entry(name, server.sockets[0].getsockname()[1]))
    agent = StandInAgent(record)
    await agent.start()
    token = folder / "instance.token"
    token.write_text("token-of-the-stand-in\n")
    token.chmod(0o600)
    (folder / "sidecar.toml").write_text(
        f'[control]\nagent = "127.0.0.1:{agent.port}"\ntoken_file = "{token}"\nzone = "a"\n')
    sidecar = Sidecar(folder, f"127.0.0.1:{former.port}", operator=folder / "sidecar.toml")
    await sidecar.start()
    await asyncio.sleep(1.0)
    if await agent.reconfigure(1, {"discovery": f"127.0.0.1:{new.port}"}) != "applied":
        record.line("the new discovery was not told as applied: nothing to judge")
        return NOT_RUN
    await asyncio.sleep(1.0)
    record.line(f"watches open at the former discovery {len(former.watches)}, at the new one {len(new.watches)}")
    if TROUBLE and sidecar.process is not None:
        record.line("SIGHUP; the file is as it was at the start")
        sidecar.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(2.0)
    record.line(f"watches open at the former discovery {len(former.watches)}, at the new one {len(new.watches)}")
    record.line(f"the sidecar reports generation {agent.generation}")
    new.put({**new.entries["s-1"], "lifecycle": "draining"})
    has_it_s = record.now_s()
    record.line("the new discovery has it that s-1 drains")

    async def call(number: int) -> None:
        status, _, _ = await exchange(sidecar.port, request("view", f"view-{number}", 1500))
        record.line(f"client sent view-{number}, was answered {status}")

    calls = []
    for number in range(int(PLAYED_S / PACE_S)):
        calls.append(asyncio.create_task(call(number)))
        await asyncio.sleep(PACE_S)
    await asyncio.gather(*calls)
    late = [at_s - has_it_s for at_s in got["s-1"] if at_s > has_it_s + TOLD_S + GRACE_S + SLACK_S]
    record.line(f"sends to s-1 more than {TOLD_S + GRACE_S + SLACK_S:.2f} s after the new discovery had its drain: "
                f"{len(late)}, the last after {max(late, default=0.0):.3f} s")
    await sidecar.stop()
    record.line(sidecar.log_text())
    return BROKEN if late else HELD


if __name__ == "__main__":
    needs(".venv/bin/python")
    sys.exit(run_case(Path(__file__).resolve().parent, play))
