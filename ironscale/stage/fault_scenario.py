"""What is on the stage and what befalls it: a checked file, or drawn by seed; how a schedule is cut down. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from ironscale.toml_tables import Table, TableError, read_toml

MOST_AGENTS, MOST_SIDECARS, MOST_S, MOST_EVENTS = 5, 40, 120.0, 200
ZONES = "ab"
# what may befall whom; `for_ms` says for how long, after which it is mended
ON_AGENTS = ("kill", "stop", "cut", "deaf", "mute", "delay", "reset")
ON_SIDECARS = ON_AGENTS
BY_OPERATORS = ("drain", "undrain", "script", "halt")
KINDS = tuple(dict.fromkeys((*ON_AGENTS, *BY_OPERATORS)))


class WorldError(TableError):
    """A world that cannot be played; the text is one line."""


@dataclass(frozen=True, slots=True)
class Limit:
    """One budget: as the agents are told it, and as the checker holds it against the truth."""

    name: str
    number: int
    each: str = ""  # "" or "zone"


@dataclass(frozen=True, slots=True, order=True)
class Event:
    at_ms: int
    kind: str
    who: str  # agent-N or sidecar-N
    for_ms: int = 0


@dataclass(frozen=True, slots=True)
class World:
    seed: int = 1
    agents: int = 3
    sidecars: int = 6
    seconds: float = 8.0
    term_s: float = 1.0
    lease_s: float = 1.0
    limits: tuple[Limit, ...] = (Limit("all", 2), Limit("zone", 1, "zone"))
    events: tuple[Event, ...] = ()

    def zone(self, sidecar: int) -> str:
        return ZONES[sidecar % len(ZONES)]

    def zone_of(self, name: str) -> str:
        return self.zone(int(name.rpartition("-")[2]))


def drawn(world: World, seed: int, count: int = 26) -> World:
    """The world with a schedule by seed: operators and scripts at work from the start, faults among them."""
    rng = random.Random(f"stage {seed}")
    last_ms = int(world.seconds * 1000)
    events = []
    for _ in range(count):
        at_ms = rng.randrange(100, max(101, last_ms - 1_500))
        if rng.random() < 0.6:
            kind = rng.choices(("drain", "undrain", "script", "halt"), (5, 1, 4, 1))[0]
            who, for_ms = f"sidecar-{rng.randrange(world.sidecars)}", rng.randrange(200, 1_500)
        else:
            on_agent = rng.random() < 0.6
            kind = rng.choice(ON_AGENTS)
            who = f"agent-{rng.randrange(world.agents)}" if on_agent else f"sidecar-{rng.randrange(world.sidecars)}"
            for_ms = rng.randrange(100, int(2_500 * world.term_s))
        events.append(Event(at_ms, kind, who, for_ms))
    return replace(world, seed=seed, events=tuple(sorted(events)))


def parse(text: str, file: str) -> World:
    """Checks a world's whole file. Raises WorldError."""
    root = read_toml(text, file, Path("."), WorldError)
    usual = World()
    world = World(
        root.integer("seed", 0, 2**31, usual.seed), root.integer("agents", 1, MOST_AGENTS, usual.agents),
        root.integer("sidecars", 1, MOST_SIDECARS, usual.sidecars),
        root.seconds("seconds", 0.5, MOST_S, usual.seconds), root.seconds("term_s", 0.5, 60, usual.term_s),
        root.seconds("lease_s", 0.4, 60, usual.lease_s))
    limits = tuple(_limit(table) for table in root.tables("budget")) or usual.limits
    events = tuple(sorted(_event(table, world) for table in root.tables("event")))
    if len(events) > MOST_EVENTS:
        raise WorldError(f"{file}: event: expected {MOST_EVENTS} at most, got {len(events)}")
    names = [limit.name for limit in limits]
    if len(set(names)) < len(names):
        raise WorldError(f"{file}: budget: expected names that differ, got {', '.join(names)}")
    root.reject_unknown_keys()
    return replace(world, limits=limits, events=events)


def _limit(table: Table) -> Limit:
    found = Limit(table.string("name"), table.integer("number", 1, MOST_SIDECARS),
                  table.one_of("each", ("", "zone"), ""))
    table.reject_unknown_keys()
    return found


def _event(table: Table, world: World) -> Event:
    kind = table.one_of("kind", KINDS)
    who = table.string("who")
    sort, _, number = who.partition("-")
    count = {"agent": world.agents, "sidecar": world.sidecars}.get(sort, 0)
    if not (number.isdecimal() and int(number) < count):
        raise table.error_for(
            "who", f"agent-0 to agent-{world.agents - 1} or sidecar-0 to sidecar-{world.sidecars - 1}")
    if kind in BY_OPERATORS and sort != "sidecar":
        raise table.error_for("who", f"a sidecar, as {kind} is about one")
    event = Event(table.integer("at_ms", 0, int(world.seconds * 1000)), kind, who,
                  table.integer("for_ms", 0, 60_000, 500))
    table.reject_unknown_keys()
    return event


def written(world: World) -> str:
    """As a file that `parse` reads."""
    lines = [f"seed = {world.seed}", f"agents = {world.agents}", f"sidecars = {world.sidecars}",
             f"seconds = {world.seconds}", f"term_s = {world.term_s}", f"lease_s = {world.lease_s}"]
    for limit in world.limits:
        lines += ["", "[[budget]]", f'name = "{limit.name}"', f"number = {limit.number}", f'each = "{limit.each}"']
    for event in world.events:
        lines += ["", "[[event]]", f"at_ms = {event.at_ms}", f'kind = "{event.kind}"', f'who = "{event.who}"',
                  f"for_ms = {event.for_ms}"]
    return "\n".join(lines) + "\n"


def shrunk(events: Sequence[Event], fails: Callable[[tuple[Event, ...]], bool], most: int = 40) -> tuple[Event, ...]:
    """A smaller schedule that still fails, by leaving parts out (Zeller's ddmin); `fails` is asked so often at most."""
    kept, parts, asked = tuple(events), 2, 0
    while len(kept) > 1 and asked < most:
        size = max(1, len(kept) // parts)
        for start in range(0, len(kept), size):
            if asked >= most:
                break
            rest, asked = kept[:start] + kept[start + size:], asked + 1
            if rest and fails(rest):
                kept, parts = rest, max(2, parts - 1)
                break
        else:
            if size == 1:
                break
            parts = min(len(kept), 2 * parts)
    return kept


def event_data(event: Event) -> dict[str, Any]:
    return {"fault": event.kind, "who": event.who, "for_ms": event.for_ms}
