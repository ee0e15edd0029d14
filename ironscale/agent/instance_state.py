"""The state file of a supervised instance, from which the next agent learns of all its processes."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class InstanceState:
    """The processes of one instance. A boot id is given to a process by its agent, before the start."""

    boot: str = ""  # of the process that counts as the instance; empty if there is none
    pid: int = 0  # of that process; 0 while it is about to be started
    ticks: int = 0  # when it was started, which tells it from a later process of the same pid
    is_stopped: bool = False  # an operator stopped the instance
    others: tuple[str, ...] = ()  # boot ids of processes that begin beside it or are to end
    successor: str = ""  # which of them is to replace it once it is ready

    def write(self, path: Path) -> None:
        """Replaces the file. Raises OSError."""
        process: dict[str, object] = {"boot": self.boot} if self.boot else {}
        if self.pid:
            process |= {"pid": self.pid, "ticks": self.ticks}
        temporary = path.with_suffix(".new")
        process |= {"held": self.is_stopped, "others": self.others, "successor": self.successor}
        temporary.write_text(json.dumps(process), encoding="ascii")
        temporary.replace(path)


def read_state(path: Path) -> InstanceState:
    """What the former agent has written, as far as it can be read."""
    try:
        state = json.loads(path.read_text(encoding="ascii"))
    except (OSError, ValueError):
        return InstanceState()
    if not isinstance(state, dict):
        return InstanceState()
    is_stopped, others = bool(state.get("held", False)), state.get("others", [])
    names = tuple(str(boot) for boot in others) if isinstance(others, list) else ()
    try:
        return InstanceState(str(state.get("boot", "")), int(state.get("pid", 0)), int(state.get("ticks", 0)),
                             is_stopped, names, str(state.get("successor", "")))
    except (ValueError, TypeError):
        return InstanceState(is_stopped=is_stopped, others=names)
