"""Asks a few sidecars at a time for the state of the upstreams, for disruption budgets that count upstreams."""

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

SIDECARS_PER_ROUND = 9  # sidecars per round: more would add no information, and each answer is a whole list
POLL_INTERVAL_S, ANSWER_TIMEOUT_S = 1.0, 2.0
MAX_VIEW_AGE_MS = 5_000


class UpstreamPoller:
    def __init__(self, ledger: Ledger, fleet: Fleet, ask: Callable[[str, float], Awaitable[list[dict[str, object]]]],
                 log: Callable[[str], None], changed: Callable[[], None]) -> None:
        self.ledger, self.fleet, self.ask, self.log, self.changed = ledger, fleet, ask, log, changed
        self.views: dict[str, SidecarView] = {}
        self.random = random.Random()
        self.invalid_logged: set[str] = set()

    @property
    def is_wanted(self) -> bool:
        return any(budget.of is UnitKind.UPSTREAM for budget in self.ledger.budgets)

    def choose_sidecars(self) -> list[str]:
        """Chooses connected instances at random, taking the zones in turn, so that a zone which is cut off from the
        others doesn't provide all the answers."""
        zones: dict[str, list[str]] = {}
        for name, member in self.fleet.members.items():
            if member.link is not None and member.leased:
                zones.setdefault(member.row.zone, []).append(name)
        found: list[str] = []
        for names in zones.values():
            self.random.shuffle(names)
        while len(found) < SIDECARS_PER_ROUND and any(zones.values()):
            found += [names.pop() for names in zones.values() if names and len(found) < SIDECARS_PER_ROUND]
        return found

    async def poll_sidecar(self, name: str) -> None:
        asked_ms = clock_ms()
        try:
            entries = await self.ask(name, ANSWER_TIMEOUT_S)
            self.views[name] = SidecarView(name, asked_ms,
                                           {str(e["name"]): upstream_view(str(e["name"]), e) for e in entries})
        except Refusal:
            pass  # no answer: its last view is used until it is too old
        except (KeyError, TypeError, ValueError) as error:
            # an older sidecar, or a faulty one: logged once, and its answers are ignored
            if name not in self.invalid_logged:
                self.invalid_logged.add(name)
                self.log(f"{name}: ignoring its invalid list of upstreams: {type(error).__name__}: {error}")

    async def run(self) -> None:
        while self.is_wanted:
            async with asyncio.TaskGroup() as asking:
                for name in self.choose_sidecars():
                    asking.create_task(self.poll_sidecar(name))
            self.update_ledger()
            await asyncio.sleep(POLL_INTERVAL_S)

    def update_ledger(self) -> None:
        oldest_ms = clock_ms() - MAX_VIEW_AGE_MS
        self.views = {name: view for name, view in self.views.items() if view.asked_ms >= oldest_ms}
        connected = sum(member.link is not None for member in self.fleet.members.values())
        known = [sight.unit for sight in self.ledger.observations.values() if sight.unit.of is UnitKind.UPSTREAM]
        room = False
        for sight in merge_views(list(self.views.values()), connected, known):
            before = self.ledger.observations.get(sight.unit.key)
            if (before is not None and before.reason.startswith("draining") and sight.known
                    and sight.reason.startswith("not listed")):
                self.ledger.forget(sight.unit.key)  # it was draining and is not listed any more, so it has gone
                room = True
            else:
                room |= self.ledger.observe(sight)
        if room:
            self.changed()
