"""Which process a number stands for: a pid alone may be another's by now."""

from __future__ import annotations

from pathlib import Path


def machine() -> str:
    """This machine's boot; empty where the kernel doesn't tell."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text(encoding="ascii").strip()
    except OSError:
        return ""


def start_ticks(pid: int) -> int | None:
    """When the process started, in the kernel's ticks since boot; None if there is none, or only its remains."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text(encoding="latin-1")
    except OSError:
        return None
    fields = stat.rpartition(")")[2].split()  # the name before it may hold anything
    return None if fields[0] in "ZX" else int(fields[19])


def cpu_s(pid: int) -> float:
    """CPU of all its threads so far, by the scheduler's nanoseconds (ticks of /proc/PID/stat are 10 ms each). Raises
    OSError if there is no such process."""
    return sum(int((task / "schedstat").read_text().split()[0]) for task in Path(f"/proc/{pid}/task").iterdir()) / 1e9


def is_alive(pid: int, ticks: int) -> bool:
    return start_ticks(pid) == ticks


def with_variable(name: str, value: str) -> int | None:
    """A process of ours that was started with this variable in its environment."""
    wanted = f"{name}={value}".encode()
    for entry in Path("/proc").iterdir():
        if entry.name.isdecimal():
            try:
                variables = (entry / "environ").read_bytes().split(b"\0")
            except OSError:  # another's, or gone by now
                continue
            if wanted in variables and start_ticks(int(entry.name)) is not None:
                return int(entry.name)
    return None
