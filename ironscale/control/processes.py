"""Identifies processes by pid and start time, because the kernel may reuse a pid for another process."""

from __future__ import annotations

from pathlib import Path


def machine_boot_id() -> str:
    """The kernel's boot id of this machine; empty if it can't be read."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text(encoding="ascii").strip()
    except OSError:
        return ""


def start_ticks(pid: int) -> int | None:
    """When the process started, in clock ticks since boot; None if it doesn't exist or is a zombie."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text(encoding="latin-1")
    except OSError:
        return None
    fields = stat.rpartition(")")[2].split()  # the process name in front may contain spaces and parentheses
    return None if fields[0] in "ZX" else int(fields[19])


def process_cpu_s(pid: int) -> float:
    """CPU time of all threads of the process so far, from the scheduler's nanosecond counters (/proc/PID/stat has only
    ticks of 10 ms). Raises OSError if there is no such process."""
    return sum(int((task / "schedstat").read_text().split()[0]) for task in Path(f"/proc/{pid}/task").iterdir()) / 1e9


def is_alive(pid: int, ticks: int) -> bool:
    """Whether the process that started at `ticks` still runs under this pid."""
    return start_ticks(pid) == ticks


def find_process_with_variable(name: str, value: str) -> int | None:
    """The pid of a process of this user that was started with NAME=VALUE in its environment; None if there is none."""
    wanted = f"{name}={value}".encode()
    for entry in Path("/proc").iterdir():
        if entry.name.isdecimal():
            try:
                variables = (entry / "environ").read_bytes().split(b"\0")
            except OSError:  # another user's process, or it has ended
                continue
            if wanted in variables and start_ticks(int(entry.name)) is not None:
                return int(entry.name)
    return None
