"""Starts real sidecars by fork: `python -m tests.agent.fork_server` reads a line of JSON (environment, log file, fault
to inject) from standard input for each, and writes its process id.

Forking only saves the half second that the imports take.
"""

from __future__ import annotations

import json
import os
import signal
import sys
from typing import Any

from ironscale.__main__ import main
from ironscale.control import client, extension  # noqa: F401 (loaded once, for all)


def inject_fault(how: str) -> None:
    """Makes the instance misbehave on a reconfigure: die after applying it, answer with garbage, or be slow."""
    carry_out = client.AgentClient.run_command

    def dies(self: client.AgentClient, command: Any) -> Any:
        carry_out(self, command)
        os.kill(os.getpid(), signal.SIGKILL)

    def garbles(self: client.AgentClient, command: Any) -> Any:
        result = carry_out(self, command)
        if self.session is not None and self.session.transport is not None:
            self.session.transport.write(b"\x00\x00\x00\x09not JSON!")
        return result

    def slow(self: client.AgentClient, command: Any) -> Any:
        import time

        time.sleep(0.4)
        return carry_out(self, command)

    wrong: Any = {"dies": dies, "garbles": garbles, "slow": slow}.get(how)
    if wrong is not None:
        client.AgentClient.run_command = wrong  # type: ignore[method-assign]


def child(order: dict[str, Any]) -> None:
    log = os.open(order["log"], os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
    null = os.open(os.devnull, os.O_RDONLY)
    os.dup2(null, 0)
    os.dup2(log, 1)
    os.dup2(log, 2)
    inject_fault(order.get("wrong", ""))
    code = 1
    try:
        code = main({**os.environ, **order["environ"]})
    finally:
        os._exit(code)


if __name__ == "__main__":
    signal.signal(signal.SIGCHLD, signal.SIG_IGN)  # the kernel reaps them
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    for line in sys.stdin:
        pid = os.fork()
        if pid == 0:
            signal.signal(signal.SIGCHLD, signal.SIG_DFL)
            child(json.loads(line))
        print(pid, flush=True)
