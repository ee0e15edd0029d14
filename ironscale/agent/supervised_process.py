"""A process of a supervised instance: watched by its pidfd, also if another agent has started it."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import time

from ironscale.control.processes import find_process_with_variable, is_alive, start_ticks


class SupervisedProcess:
    """One process, either a child of this agent or taken over from a former one."""

    def __init__(self, pid: int, ticks: int, boot: str, child: subprocess.Popen[bytes] | None) -> None:
        self.pid, self.ticks, self.boot, self.child = pid, ticks, boot, child
        self.started_s = time.monotonic()
        self.ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.pidfd = -1
        with contextlib.suppress(OSError):
            self.pidfd = os.pidfd_open(pid)
        if self.pidfd >= 0:
            asyncio.get_running_loop().add_reader(self.pidfd, self.on_end)
        else:
            self.on_end()

    def on_end(self) -> None:
        """Called when the pidfd is readable: the process has ended. Only a child's exit code can be read."""
        how = "its process has ended"
        if self.child is not None:
            code = self.child.poll()
            if code is None:
                return
            how = f"exit {code}" if code >= 0 else f"signal {-code}"
        if self.pidfd >= 0:
            asyncio.get_running_loop().remove_reader(self.pidfd)
            os.close(self.pidfd)
            self.pidfd = -1
        if not self.ended.done():
            self.ended.set_result(how)

    def kill(self, signal_number: int) -> None:
        # The pid may have been reused by another process.
        if not self.ended.done() and is_alive(self.pid, self.ticks):
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, signal_number)

    async def stop(self, timeout_s: float) -> None:
        """SIGTERM, then SIGKILL after `timeout_s`; returns when the process has ended."""
        self.kill(signal.SIGTERM)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.shield(self.ended)
        except TimeoutError:
            self.kill(signal.SIGKILL)
            await asyncio.shield(self.ended)

    def stop_watching(self) -> None:
        """Stops watching the process, which goes on running after the agent."""
        if self.pidfd >= 0:
            asyncio.get_running_loop().remove_reader(self.pidfd)
            os.close(self.pidfd)
            self.pidfd = -1


def find_process(boot: str, pid: int = 0, ticks: int = 0) -> SupervisedProcess | None:
    """The process of this boot id, if it runs. `pid` and `ticks`: its pid and start time, where they are known."""
    if pid:
        return SupervisedProcess(pid, ticks, boot, None) if is_alive(pid, ticks) else None
    found = find_process_with_variable("GW_BOOT", boot) if boot else None
    started = start_ticks(found) if found is not None else None
    return SupervisedProcess(found, started, boot, None) if found is not None and started is not None else None
