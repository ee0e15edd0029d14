"""Asks some sidecars at a time what they see of the upstreams, for budgets that count those."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from ironscale.agent.fleet import Fleet
from ironscale.agent.refusal import Refusal
from ironscale.agent.terms import clock_ms
from ironscale.disruption.evidence import SidecarView, merge_views, upstream_view
from ironscale.disruption.ledger import Ledger
from ironscale.disruption.model import UnitKind

ASKED = 9  # at a time: more would say no more, and each answer is a list
EVERY_S, ANSWER_S = 1.0, 2.0
FRESH_MS = 5_000


class Watching:
    def __init__(self, ledger: Ledger, fleet: Fleet, ask: Callable[[str, float], Awaitable[list[dict[str, object]]]],
                 log: Callable[[str], None], changed: Callable[[], None]) -> None:
        self.ledger, self.fleet, self.ask, self.log, self.changed = ledger, fleet, ask, log, changed
        self.views: dict[str, SidecarView] = {}
        self.random = random.Random()
        self.garbled: set[str] = set()

    @property
    def is_wanted(self) -> bool:
        return any(budget.of is UnitKind.UPSTREAM for budget in self.ledger.budgets)

    def chosen(self) -> list[str]:
        """Some that are there, of every zone in turn: a zone that is cut off must not be all that is asked."""
        zones: dict[str, list[str]] = {}
        for name, member in self.fleet.members.items():
            if member.link is not None and member.leased:
                zones.setdefault(member.row.zone, []).append(name)
        found: list[str] = []
        for names in zones.values():
            self.random.shuffle(names)
        while len(found) < ASKED and any(zones.values()):
            found += [names.pop() for names in zones.values() if names and len(found) < ASKED]
        return found

    async def look(self, name: str) -> None:
        asked_ms = clock_ms()
        try:
            entries = await self.ask(name, ANSWER_S)
            self.views[name] = SidecarView(name, asked_ms,
                                           {str(e["name"]): upstream_view(str(e["name"]), e) for e in entries})
        except Refusal:
            pass  # it gave no answer: its view grows old
        except (KeyError, TypeError, ValueError) as error:
            if name not in self.garbled:  # an older sidecar, or one that talks nonsense: told once, and left out
                self.garbled.add(name)
                self.log(f"{name}: what it says of its upstreams is not used: {type(error).__name__}: {error}")

    async def run(self) -> None:
        while self.is_wanted:
            async with asyncio.TaskGroup() as asking:
                for name in self.chosen():
                    asking.create_task(self.look(name))
            self.take_in()
            await asyncio.sleep(EVERY_S)

    def take_in(self) -> None:
        oldest_ms = clock_ms() - FRESH_MS
        self.views = {name: view for name, view in self.views.items() if view.asked_ms >= oldest_ms}
        connected = sum(member.link is not None for member in self.fleet.members.values())
        known = [sight.unit for sight in self.ledger.observations.values() if sight.unit.of is UnitKind.UPSTREAM]
        room = False
        for sight in merge_views(list(self.views.values()), connected, known):
            before = self.ledger.observations.get(sight.unit.key)
            if (before is not None and before.reason.startswith("draining") and sight.known
                    and sight.reason.startswith("not listed")):
                self.ledger.forget(sight.unit.key)  # told to go, and gone: it is no unit any more
                room = True
            else:
                room |= self.ledger.observe(sight)
        if room:
            self.changed()
