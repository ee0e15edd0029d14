"""Case 8: SIGHUP with an unchanged file takes back the discovery that an operator has rolled out; drains go unheard."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

sys.path[:0] = [str(Path(__file__).resolve().parents[1]), str(Path(__file__).resolve().parents[2])]

from case_support import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    ROOT,
    STARTED,
    TROUBLE,
    Record,
    Sidecar,
    entry,
    exchange,
    free_port,
    needs,
    read_head,
    request,
    run_case,
)

from ironscale.standins.discovery import ListedDiscovery  # noqa: E402

PROGRAM = ROOT / ".venv-ci" / "bin" / "ironscale"
# "what discovery has to tell counts as told 6 s later at the latest, whether or not it arrived", and the grace of a
# drain (invariants.drain-grace), with the 50 ms by which each time limit is longer on sockets.
TOLD_S, GRACE_S, SLACK_S = 6.0, 2.0, 0.05
PLAYED_S, PACE_S = 14.0, 0.025


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
    data, control = folder / "data", free_port()
    environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
    (folder / "agent.toml").write_text(
        f'[agent]\ndata = "{data}"\ncontrol = "127.0.0.1:{control}"\napi = "127.0.0.1:{free_port()}"\n')
    (folder / "sidecar.toml").write_text(
        f'[control]\nagent = "127.0.0.1:{control}"\ntoken_file = "{data}/instance.token"\nzone = "a"\n')
    with open(folder / "agent.log", "ab") as log:
        agent = await asyncio.create_subprocess_exec(PROGRAM, "agent", str(folder / "agent.toml"), env=environ,
                                                     cwd=folder, stdin=asyncio.subprocess.DEVNULL, stdout=log,
                                                     stderr=log)
    STARTED.append(agent)

    async def command(*words: str) -> int:
        process = await asyncio.create_subprocess_exec(
            PROGRAM, *words, "--data", str(data), env=environ, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
        STARTED.append(process)
        said, _ = await process.communicate()
        record.line(f"ironscale {' '.join(words)}: exit {process.returncode}: {said.decode().strip()}")
        return process.returncode or 0

    for _ in range(150):
        if (data / "address").exists() and (data / "instance.token").exists():
            break
        await asyncio.sleep(0.2)
    sidecar = Sidecar(folder, f"127.0.0.1:{former.port}", operator=folder / "sidecar.toml")
    await sidecar.start()
    await asyncio.sleep(1.0)
    (folder / "patch.json").write_text(json.dumps({"discovery": f"127.0.0.1:{new.port}"}))
    if await command("apply", str(folder / "patch.json"), "--yes") != 0:
        record.line("the new discovery was not told as applied: nothing to judge")
        return NOT_RUN
    await asyncio.sleep(1.0)
    record.line(f"watches open at the former discovery {len(former.watches)}, at the new one {len(new.watches)}")
    if TROUBLE and sidecar.process is not None:
        record.line("SIGHUP; the file is as it was at the start")
        sidecar.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(2.0)
    record.line(f"watches open at the former discovery {len(former.watches)}, at the new one {len(new.watches)}")
    await command("ls")
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
    needs(".venv/bin/python", ".venv-ci/bin/ironscale")
    sys.exit(run_case(Path(__file__).resolve().parent, play))
