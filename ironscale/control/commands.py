"""Decides whether an instance runs a command, repeats an earlier result or refuses it. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from ironscale.control.messages import Command, CommandResult

# An operation sends an instance a few commands, and the next operation has a higher fence.
MAX_REMEMBERED_COMMANDS = 256


@dataclass(slots=True)
class CommandDeduplicator:
    """Makes every command run at most once. A command that is delivered again gets its stored result; a command of an
    operation that a newer one has superseded is refused. Results are kept in memory only: the effect of a command also
    ends with the process."""

    boot: str
    fence: int = 0
    # Command id -> (fence, result); the result is None while the command is running.
    results_by_id: OrderedDict[str, tuple[int, CommandResult | None]] = field(default_factory=OrderedDict)

    def admit(self, command: Command) -> tuple[bool, CommandResult | None]:
        """Whether to run the command now. If not, also the result to send, or None while the first delivery is still
        running.

        `inspect` only reads, so it has no fence and runs every time that it is delivered.
        """
        if command.boot != self.boot:
            return False, CommandResult(command.id, "refused", f"meant for another process ({command.boot})")
        if command.kind == "inspect":
            return True, None
        if command.id in self.results_by_id:
            return False, self.results_by_id[command.id][1]
        if command.fence < self.fence:
            return False, CommandResult(command.id, "refused",
                                        f"superseded: fence {command.fence} is below {self.fence}")
        self.fence = command.fence
        self.results_by_id[command.id] = (command.fence, None)
        while len(self.results_by_id) > MAX_REMEMBERED_COMMANDS:
            # A command of the current fence must be kept: if it were delivered again, it would run a second time.
            if next(iter(self.results_by_id.values()))[0] >= self.fence:
                break
            self.results_by_id.popitem(last=False)
        return True, None

    def record_result(self, result: CommandResult) -> None:
        """Stores the result of an admitted command for later deliveries."""
        if result.id in self.results_by_id:
            self.results_by_id[result.id] = (self.results_by_id[result.id][0], result)
