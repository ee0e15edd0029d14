"""Which commands an instance carries out, and which it answers from memory or refuses. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from ironscale.control.messages import Command, CommandResult

REMEMBERED = 256  # commands; an operation sends an instance a few, and the next one has a higher fence


@dataclass(slots=True)
class Commands:
    """Every command once: delivered again it is answered from memory; from an operation that a newer one
    has taken the place of, refused. A command's effect and its memory live and die with the process."""

    boot: str
    fence: int = 0
    # By id: its fence, and its answer (None while it is under way).
    answered: OrderedDict[str, tuple[int, CommandResult | None]] = field(default_factory=OrderedDict)

    def admit(self, command: Command) -> tuple[bool, CommandResult | None]:
        """Whether to carry it out now; else the answer, None where the first delivery is under way.

        A question (`inspect`) has no effect, so it has no fence and is asked as often as it comes.
        """
        if command.boot != self.boot:
            return False, CommandResult(command.id, "refused", f"meant for another process ({command.boot})")
        if command.kind == "inspect":
            return True, None
        if command.id in self.answered:
            return False, self.answered[command.id][1]
        if command.fence < self.fence:
            return False, CommandResult(command.id, "refused",
                                 f"superseded: fence {command.fence} is below {self.fence}")
        self.fence = command.fence
        self.answered[command.id] = (command.fence, None)
        while len(self.answered) > REMEMBERED:
            # hazard: forgotten at the present fence, a command delivered again would be done again
            if next(iter(self.answered.values()))[0] >= self.fence:
                break
            self.answered.popitem(last=False)
        return True, None

    def finish(self, result: CommandResult) -> None:
        if result.id in self.answered:
            self.answered[result.id] = (self.answered[result.id][0], result)
