"""Limits on the resources that a scale run uses, and the termination of every process it started."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from ironscale.load import parent_death

MEMORY_CHECK_INTERVAL_S = 0.25  # between two checks of the memory
TERMINATION_TIMEOUT_S = 5.0  # from SIGTERM to SIGKILL
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# The most memory that a process of each kind, or one instance in it, uses: for the check before a start.
AGENT_MB, REAL_SIDECAR_MB, INSTANCE_PROCESS_MB, SIMULATED_INSTANCE_MB = 60.0, 45.0, 45.0, 0.15
AGENT_MB_PER_INSTANCE = 0.06  # in the agent, for each instance
SPARE_DESCRIPTORS = 100


class ResourceLimitError(Exception):
    """The run would exceed, or has exceeded, its limits; the message is a single line."""


@dataclass(frozen=True, slots=True)
class Machine:
    cores: int
    memory_mb: float
    available_mb: float


def read_machine() -> Machine:
    meminfo_mb = {}
    for line in Path("/proc/meminfo").read_text(encoding="ascii").splitlines():
        key, _, rest = line.partition(":")
        meminfo_mb[key] = int(rest.split()[0]) / 1024
    return Machine(len(os.sched_getaffinity(0)), meminfo_mb["MemTotal"], meminfo_mb["MemAvailable"])


@dataclass(frozen=True, slots=True)
class Plan:
    """The most that one measurement runs at the same time."""

    simulated: int
    simulated_per_process: int
    agents: int
    real: int = 0
    other_processes: int = 0  # other processes: relays, upstreams

    @property
    def processes(self) -> int:
        return -(-self.simulated // self.simulated_per_process) + self.agents + self.real + self.other_processes

    @property
    def memory_mb(self) -> float:
        instance_processes = -(-self.simulated // self.simulated_per_process)
        return (
            instance_processes * INSTANCE_PROCESS_MB
            + self.simulated * SIMULATED_INSTANCE_MB
            + self.agents * (AGENT_MB + self.simulated * AGENT_MB_PER_INSTANCE)
            + (self.real + self.other_processes) * REAL_SIDECAR_MB
        )

    @property
    def descriptors(self) -> int:
        """The largest number of file descriptors that any one process opens."""
        instances = self.simulated + self.real if self.agents else 0
        return max(instances, 2 * self.simulated_per_process, 4 * self.processes) + SPARE_DESCRIPTORS


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    most_processes: int
    most_memory_share: float

    def max_memory_mb(self, machine: Machine) -> float:
        """The limit for all started processes together: a share of the machine's memory, at most what is available."""
        return min(machine.memory_mb * self.most_memory_share, machine.available_mb)

    def check(self, plan: Plan, machine: Machine | None = None) -> None:
        """Checks a plan before anything is started. Raises the soft limit of open files if the plan needs more and the
        hard limit allows it. Raises ResourceLimitError."""
        machine = machine or read_machine()
        if plan.processes > self.most_processes:
            raise ResourceLimitError(
                f"processes: expected {self.most_processes} at most, got {plan.processes} to start"
            )
        max_mb = self.max_memory_mb(machine)
        if plan.memory_mb > max_mb:
            raise ResourceLimitError(
                f"memory: expected {max_mb:,.0f} MB at most ({machine.available_mb:,.0f} MB available of "
                f"{machine.memory_mb:,.0f} MB), got {plan.memory_mb:,.0f} MB to take"
            )
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if hard != resource.RLIM_INFINITY and plan.descriptors > hard:
            raise ResourceLimitError(
                f"descriptors: expected {hard:,} at most (ulimit -Hn), got {plan.descriptors:,} in one process"
            )
        if soft != resource.RLIM_INFINITY and plan.descriptors > soft:
            resource.setrlimit(resource.RLIMIT_NOFILE, (plan.descriptors, hard))


def resident_memory_mb(pid: int) -> float:
    """Resident memory; 0 if the process has ended."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1]) * PAGE_BYTES / 2**20
    except (OSError, IndexError):
        return 0.0


class ChildProcesses:
    """All processes that a run has started. The kernel kills each of them if this process dies; otherwise each is ended
    by its process id."""

    def __init__(self, limits: ResourceLimits) -> None:
        self.limits = limits
        self.running: dict[int, subprocess.Popen[bytes]] = {}
        self.names: dict[int, str] = {}

    def start(self, name: str, module: str, *args: str, environ: Mapping[str, str] | None = None,
              log: Path | None = None, inherited_sockets: tuple[socket.socket, ...] = ()) -> subprocess.Popen[bytes]:
        """Starts `python -m module args` in a new session, so that Ctrl-C reaches only this process. Raises
        ResourceLimitError."""
        self.forget_ended()
        if len(self.running) >= self.limits.most_processes:
            raise ResourceLimitError(f"processes: expected {self.limits.most_processes} at most, got one more: {name}")
        with open(log or os.devnull, "ab") as out:
            process = subprocess.Popen(
                [sys.executable, "-B", parent_death.__file__, str(os.getpid()), module, *args], env=environ,
                stdin=subprocess.DEVNULL, stdout=out, stderr=out, start_new_session=True,
                pass_fds=[sock.fileno() for sock in inherited_sockets])
            self.running[process.pid] = process
            self.names[process.pid] = name
        return process

    def forget_ended(self) -> None:
        for pid, process in list(self.running.items()):
            if process.poll() is not None:
                del self.running[pid]

    def end(
        self,
        *processes: subprocess.Popen[bytes],
        first_signal: int = signal.SIGTERM,
        timeout_s: float = TERMINATION_TIMEOUT_S,
    ) -> None:
        """Ends the given processes, or all, and waits until they have ended; SIGKILL follows after `timeout_s`."""
        ending = list(processes or self.running.values())
        for process in ending:
            for signal_number in (first_signal, signal.SIGCONT):
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal_number)
        deadline_s = time.monotonic() + timeout_s
        for process in ending:
            try:
                process.wait(max(0.0, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            self.running.pop(process.pid, None)

    def memory_mb(self) -> float:
        return sum(resident_memory_mb(pid) for pid in self.running)

    async def watch_memory(self) -> None:
        """Checks the memory until cancelled. Raises ResourceLimitError if the run exceeds its limit."""
        machine_at_start = read_machine()
        max_mb = self.limits.max_memory_mb(machine_at_start)
        while True:
            self.check_memory(max_mb)
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)

    def check_memory(self, max_mb: float) -> None:
        used_mb, current = self.memory_mb() + resident_memory_mb(os.getpid()), read_machine()
        if used_mb > max_mb:
            raise ResourceLimitError(
                f"memory: expected {max_mb:,.0f} MB at most, the run took {used_mb:,.0f} MB and was ended"
            )
        if current.available_mb < current.memory_mb / 20:
            raise ResourceLimitError(
                f"memory: expected {current.memory_mb / 20:,.0f} MB available at least, the machine has "
                f"{current.available_mb:,.0f} MB; the run was ended"
            )
