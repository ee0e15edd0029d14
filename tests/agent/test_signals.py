"""An agent stops on SIGTERM even if socket calls of its event loop fail at that moment."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from tests.deployed import ROOT
from tests.faults.shim import Fault, Shim
from tests.sockets import run, until

AGENT = """
import sys
from pathlib import Path
import uvloop
from ironscale.agent.serve import serve
from ironscale.operator_file import AgentConfig
uvloop.run(serve(AgentConfig(data=Path(sys.argv[1]), control=("127.0.0.1", 0), api=("127.0.0.1", 0)), False))
"""


# Guards against an agent that never stops: the event loop learns of SIGTERM by a byte on a socket, which was lost.
def test_sigterm_stops_the_agent_though_socket_writes_fail(tmp_path: Path) -> None:
    async def test() -> None:
        shim, data = Shim(tmp_path), tmp_path / "data"
        process = await asyncio.create_subprocess_exec(sys.executable, "-B", "-c", AGENT, str(data), cwd=ROOT,
                                                       env=shim.environment())
        try:
            await until(lambda: (data / "address").exists())
            shim.set({Fault.WRITE_ERROR: 1000})
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            shim.set({})
            async with asyncio.timeout(10.0):
                assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    run(test)
