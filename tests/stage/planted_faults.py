"""The command line with a fault planted into its agent: `python -m tests.stage.planted_faults NAME agent FILE`."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import Any

from ironscale.agent import planner
from ironscale.agent.permits import Permits
from ironscale.cli.main import main
from ironscale.disruption.ledger import Ledger
from ironscale.disruption.model import Budget, Permit


def sends_without_a_permit() -> None:
    Permits.reserve = lambda self, op, target, is_rollback: ""  # type: ignore[method-assign]


def one_budget_of_two() -> None:
    init = Ledger.__init__

    def fewer(self: Ledger, budgets: Sequence[Budget]) -> None:
        init(self, [budget for budget in budgets if not budget.each])

    Ledger.__init__ = fewer  # type: ignore[method-assign]


def word_is_evidence() -> None:
    Ledger._serves_again = lambda self, permit, key: True  # type: ignore[method-assign]


def grants_all_that_wait() -> None:
    Ledger.blocking_reason = lambda self, *args, **more: ""  # type: ignore[method-assign]
    Ledger._have_room = staticmethod(lambda added: True)  # type: ignore[method-assign]


def counts_only_what_is_held() -> None:
    """What is given back is free at once."""
    put = Ledger.put

    def forgetful(self: Ledger, permit: Permit, now_ms: int) -> None:
        put(self, permit, now_ms)
        if str(permit.phase) == "returned":
            for key in permit.units:
                self.permits_by_unit.pop(key, None)

    Ledger.put = forgetful  # type: ignore[method-assign]


FAULTS: dict[str, Any] = {f.__name__: f for f in (sends_without_a_permit, one_budget_of_two, word_is_evidence,
                                                   grants_all_that_wait, counts_only_what_is_held)}

if __name__ == "__main__":
    assert planner
    FAULTS[sys.argv.pop(1)]()
    main(prog_name="ironscale")
