"""A play of published versions in virtual time: the program's own followers and agents, on a network and a record in
memory, with a schedule of faults drawn by seed; what they show is a history for `published_checkers`."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import tempfile
from collections.abc import Callable, Iterable, Iterator
from contextvars import copy_context
from pathlib import Path
from typing import Any, cast

from ironscale.agent import follower_connections as connections_module
from ironscale.agent import versions_replica as replica_module
from ironscale.agent.follower_connections import FollowerConnection, FollowerConnections
from ironscale.agent.store import Store, StoreError
from ironscale.agent.terms import Term
from ironscale.agent.versions_replica import VersionsReplica
from ironscale.control import follower as follower_module
from ironscale.control.follower import Follower
from ironscale.control.simulated_instance import SimulatedInstance, create_simulated_follower
from ironscale.stage.history import Entry as Line
from ironscale.stage.virtual_network import WHO, Net, VirtualLoop, VirtualTime, play
from ironscale.versions import follower_state as state_module
from ironscale.versions import serving as told_module
from ironscale.versions.agent_selection import AgentEndpoint
from ironscale.versions.compacted_log import Change, View
from ironscale.versions.model import ALL, Entry, Labels, Reach, Scope, combine_patches
from ironscale.versions.serving import VersionDistributor
from ironscale.versions.snapshot import make_snapshot

REGIONS = {"a": "north", "b": "north", "c": "south", "d": "south"}
FAULTS = ("kill", "kill", "kill disk", "stop", "record", "region", "zone", "link", "restart", "restart all")
PLANTS = ("", "served before commit", "snapshot without its position", "folded change lost", "scope rule turned round")
QUIET_S = 14.0  # at the end, with all mended


class Record:
    """The log, as it was committed."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.floor = 0
        self.lose_folded = False

    def version_change(self, since: int, lineage: str) -> Change:
        view = View()
        view.apply(Change("log", len(self.entries), 0, True, 0, tuple(self.entries)))
        view = view.without_removals(self.floor)
        found = view.change_since(since, lineage) or Change("log", view.position, since, True, view.floor,
                                                      tuple(view.entries.values()))
        if self.lose_folded and len(found.entries) > 1 and not found.is_snapshot:
            return Change(found.lineage, found.position, found.since, False, found.floor, found.entries[1:])
        return found


class _Store:
    """What an agent reads the record by."""

    resolving = None

    def __init__(self, world: Play, name: str) -> None:
        self.world, self.name, self.term = world, name, Term()

    async def read(self, work: Callable[[Any], Any]) -> Any:
        await asyncio.sleep(self.world.delay_s())
        if not self.world.reaches(self.name):
            raise StoreError("AWAY", "the record does not answer")
        return work(self.world.record)


class _Files:
    """As the program's, but for the disk's own syncs."""

    def write(self, path: str, data: bytes) -> None:
        Path(path).write_bytes(data)

    def rename(self, source: str, target: str) -> None:
        os.replace(source, target)

    def sync_folder(self, path: str) -> None:
        return


class Agent:
    def __init__(self, world: Play, number: int) -> None:
        self.world, self.number, self.name = world, number, f"agent-{number}"
        self.zone = "abcd"[number % 4]
        self.port = 7000 + number
        self.folder = world.folder / self.name
        self.folder.mkdir()
        self.tasks: list[asyncio.Task[None]] = []
        self.up = False
        self.down = 0  # faults that keep it from being started
        self.followers: FollowerConnections
        self.following: VersionsReplica

    def start(self) -> None:
        world, net = self.world, self.world.net
        serving = VersionDistributor(random.Random(world.random.random()))
        following = VersionsReplica(serving, self.folder, lambda text: None, random.Random(world.random.random()))
        following.files = cast(Any, _Files())
        following.load()
        if world.plant == "snapshot without its position" and serving.view.lineage:
            serving.view.position = len(world.record.entries)
        followers = FollowerConnections(serving, lambda token: True, following.age_s, lambda text: None)
        following.listener = followers
        following.attach(cast(Store, _Store(world, self.name)))
        self.followers, self.following = followers, following
        net.listen(self.port, self.name, lambda: FollowerConnection(followers))
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(work()) for work in (self.poll, self.tell, self.keep)]
        self.up = True
        world.note("up", who=self.name, up=True)

    async def while_running(self) -> None:
        while self.name in self.world.net.stopped:
            await asyncio.sleep(0.02)

    async def poll(self) -> None:
        while True:
            await self.while_running()
            await self.following.poll()

    async def tell(self) -> None:
        while True:
            await self.while_running()
            await self.followers.send_due_updates()

    async def keep(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            await self.while_running()
            if self.following.is_lineage_confirmed:
                wall_ms = int(VirtualTime(self.world.loop).time() * 1000 - self.following.age_s() * 1000)
                self.following.write(make_snapshot(self.following.serving.view, (), wall_ms))

    def kill(self, with_disk: bool) -> None:
        self.up = False
        self.world.note("up", who=self.name, up=False)
        for task in self.tasks:
            task.cancel()
        self.world.net.kill(self.name)
        path = self.folder / replica_module.SNAPSHOT_FILE
        if with_disk:
            path.unlink(missing_ok=True)
        elif path.exists() and self.world.random.random() < 0.3:
            path.write_bytes(path.read_bytes()[:-self.world.random.randrange(1, 40)])  # torn


class Instance:
    def __init__(self, world: Play, number: int) -> None:
        self.world, self.name = world, f"app-{number}"
        zone = "abcd"[number % 4]
        self.labels = Labels(self.name, f"service-{number % 3}", zone, REGIONS[zone])
        self.boot = 0
        self.task: asyncio.Task[None] | None = None
        self.follower: Follower
        world.note("labels", who=self.name, scopes=[str(scope) for scope in self.labels.scopes()])

    def start(self) -> None:
        world = self.world
        self.boot += 1
        follower = self.follower = create_simulated_follower(
            SimulatedInstance(self.name), self.labels, "token", world.places, boot=str(self.boot),
            rng=random.Random(world.random.random()))
        follower.on_change = self.changed
        context = copy_context()
        context.run(WHO.set, self.name)
        self.task = asyncio.get_running_loop().create_task(follower.run(), context=context)
        world.note("up", who=self.name, up=True)

    def changed(self) -> None:
        state = self.follower.state
        self.world.note("runs", who=self.name, boot=str(self.boot), position=state.view.position,
                        running=state.running, digest=state.running_digest, status=state.status)

    def kill(self) -> None:
        self.world.note("up", who=self.name, up=False)
        if self.task is not None:
            self.task.cancel()
        self.world.net.kill(self.name)


class Play:
    def __init__(self, loop: VirtualLoop, seed: int, folder: Path, plant: str = "") -> None:
        self.loop, self.folder, self.plant = loop, folder, plant
        self.random = random.Random(seed)
        self.entries: list[Line] = []
        self.net = Net(loop, self.delay_s)
        self.record = Record()
        self.record.lose_folded = plant == "folded change lost"
        self.record_away = 0
        self.lost_record: dict[str, int] = {}  # agents that are cut off from it, by how many faults
        self.lost_links: dict[frozenset[str], int] = {}
        self.agents = [Agent(self, number) for number in range(self.random.randrange(3, 7))]
        self.places = tuple(AgentEndpoint("agent", agent.port, agent.zone, REGIONS[agent.zone])
                            for agent in self.agents)
        self.net.names.update({agent.port: agent.name for agent in self.agents})
        self.instances = [Instance(self, number) for number in range(self.random.randrange(4, 17))]

    def delay_s(self) -> float:
        return 0.001 + 0.02 * self.random.random() ** 4

    def note(self, kind: str, **data: Any) -> None:
        self.entries.append({"at_us": int(self.loop.time() * 1e6), "kind": kind, **data})

    def reaches(self, agent: str) -> bool:
        return not self.record_away and not self.lost_record.get(agent)

    # What befalls

    def cut_record(self, agents: list[Agent], more: int) -> None:
        for agent in agents:
            was = self.reaches(agent.name)
            self.lost_record[agent.name] = self.lost_record.get(agent.name, 0) + more
            if self.reaches(agent.name) != was:
                self.note("reach", who=agent.name, agent="record", up=not was)

    def cut_links(self, pairs: list[tuple[Instance, Agent]], more: int) -> None:
        for instance, agent in pairs:
            key = frozenset((instance.name, agent.name))
            was = bool(self.lost_links.get(key))
            self.lost_links[key] = self.lost_links.get(key, 0) + more
            if bool(self.lost_links[key]) != was:
                (self.net.cut.discard if was else self.net.cut.add)(key)
                self.note("reach", who=instance.name, agent=agent.name, up=was)
        self.net.mended()

    async def befall(self, kind: str, for_s: float) -> None:
        agent, instance = self.random.choice(self.agents), self.random.choice(self.instances)
        if kind in ("kill", "kill disk"):
            struck = [agent] if self.random.random() < 0.7 else [a for a in self.agents if a.zone == agent.zone]
            for one in struck:
                one.down += 1
                if one.up:
                    one.kill(kind == "kill disk")
            await asyncio.sleep(for_s)
            for one in struck:
                one.down -= 1
                if not one.down and not one.up:
                    one.start()
        elif kind == "stop":
            if agent.name not in self.net.stopped:
                self.net.stopped.add(agent.name)
                self.note("up", who=agent.name, up=False)
                await asyncio.sleep(for_s)
                self.net.stopped.discard(agent.name)
                self.net.mended()
                if agent.up:
                    self.note("up", who=agent.name, up=True)
        elif kind == "record":
            self.cut_record(self.agents, 1)
            await asyncio.sleep(for_s)
            self.cut_record(self.agents, -1)
        elif kind in ("region", "zone", "link"):
            def away(zone: str) -> bool:
                return REGIONS[zone] == "south" if kind == "region" else zone == agent.zone

            pairs = [(i, a) for i in self.instances for a in self.agents if away(i.labels.zone) != away(a.zone)]
            cut = [a for a in self.agents if away(a.zone)] if kind != "link" else []
            if kind == "link":
                pairs = [(instance, agent)]
            self.cut_links(pairs, 1)
            self.cut_record(cut, 1)
            await asyncio.sleep(for_s)
            self.cut_links(pairs, -1)
            self.cut_record(cut, -1)
        else:
            struck_instances = [instance] if kind == "restart" else self.instances
            for one_instance in struck_instances:
                one_instance.kill()
            await asyncio.sleep(0.05 * self.random.random())
            for one_instance in struck_instances:
                one_instance.start()

    def drawn_entry(self) -> Entry:
        rng = self.random
        scope = rng.choice((ALL, ALL, Scope(Reach.REGION, "south"), Scope(Reach.ZONE, rng.choice("abcd")),
                            Scope(Reach.SERVICE, f"service-{rng.randrange(3)}"),
                            Scope(Reach.INSTANCE, rng.choice(self.instances).name)))
        overlay: Any = {rng.choice("xyz"): rng.choice((1, 2, None, {"q": rng.randrange(9)}))}
        if rng.random() < 0.1:
            overlay = {"refused": "a bad one"}
        elif rng.random() < 0.1:
            overlay = None
        return Entry(len(self.record.entries) + 1, scope, overlay)

    async def publish(self) -> None:
        """By the first agent that is up and reaches the record: it leads."""
        able = [a for a in self.agents if a.up and a.name not in self.net.stopped and self.reaches(a.name)]
        if not able:
            return
        leader, entry = able[0], self.drawn_entry()
        change = Change("log", entry.version, entry.version - 1, False, 0, (entry,))
        if self.plant == "served before commit" and leader.following.serving.view.position == entry.version - 1:
            leader.following.on_published(change)
            if self.random.random() < 0.3:
                return  # and the commit fails
        self.record.entries.append(entry)
        if self.random.random() < 0.1:
            self.record.floor = self.random.randrange(len(self.record.entries))
        self.note("commit", version=entry.version, scope=str(entry.scope), overlay=entry.overlay)
        await asyncio.sleep(0.01 * self.random.random())  # in which it may be killed
        if leader.up and leader.name not in self.net.stopped:
            leader.following.on_published(change)

    async def run(self, seconds: float, faults: int) -> list[Line]:
        for agent in self.agents:
            self.note("reach", who=agent.name, agent="record", up=True)
            for instance in self.instances:
                self.note("reach", who=instance.name, agent=agent.name, up=True)
            agent.start()
        for instance in self.instances:
            instance.start()
        rng, todo = self.random, []
        for _ in range(faults):
            at_s = rng.random() * seconds
            # an hour's cut, by the size of what is played
            for_s = min(seconds - at_s, rng.choice((0.3, 2.0, 6.0, 20.0)) * (0.5 + rng.random()))
            todo.append((at_s, rng.choice(FAULTS), for_s))
        async with asyncio.TaskGroup() as group:
            for at_s, kind, for_s in todo:
                group.create_task(self.later(at_s, self.befall, kind, for_s))
            for _ in range(rng.randrange(4, 16)):
                at_s = rng.random() * seconds
                for _ in range(50 if rng.random() < 0.1 else 1):
                    group.create_task(self.later(at_s + rng.random(), self.publish))
        await asyncio.sleep(QUIET_S)
        self.note("end")
        for agent in self.agents:
            for task in agent.tasks:
                task.cancel()
        for instance in self.instances:
            if instance.task is not None:
                instance.task.cancel()
        return self.entries

    async def later(self, at_s: float, work: Callable[..., Any], *args: Any) -> None:
        await asyncio.sleep(at_s)
        await work(*args)


@contextlib.contextmanager
def clocks(loop: VirtualLoop) -> Iterator[None]:
    """The program reads the virtual time in place of the machine's."""
    virtual, following = VirtualTime(loop), cast(Any, replica_module)
    places: tuple[Any, ...] = (following, connections_module, follower_module)
    was = [module.time for module in places], following.clock_ms
    for module in places:
        module.time = virtual
    following.clock_ms = virtual.clock_ms
    try:
        yield
    finally:
        for module, found in zip(places, was[0], strict=True):
            module.time = found
        following.clock_ms = was[1]


@contextlib.contextmanager
def planted(plant: str) -> Iterator[None]:
    """A fault in the program that no schedule can show otherwise."""
    places: tuple[Any, ...] = (state_module, told_module)
    was = [module.combine_layers for module in places]

    def turned(layers: Iterable[Entry]) -> dict[str, Any]:
        """The wider over the narrower."""
        result: dict[str, Any] = {}
        for entry in sorted(layers, key=lambda entry: -entry.scope.reach):
            if entry.overlay is not None:
                result = combine_patches(result, entry.overlay)
        return result

    if plant == "scope rule turned round":
        for module in places:
            module.combine_layers = turned
    try:
        yield
    finally:
        for module, found in zip(places, was, strict=True):
            module.combine_layers = found


def play_seed(seed: int, seconds: float = 40.0, faults: int = 8, plant: str = "") -> list[Line]:
    """One play; its history."""
    with tempfile.TemporaryDirectory() as folder:
        def work(loop: VirtualLoop) -> Any:
            return Play(loop, seed, Path(folder), plant).run(seconds, faults)

        def started(loop: VirtualLoop) -> Any:
            async def whole() -> Any:
                with clocks(loop), planted(plant):
                    return await work(loop)

            return whole()

        return cast(list[Line], play(started))
