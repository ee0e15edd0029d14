"""Publishes versions: one write each, by the agent that leads; told to nobody before its commit is confirmed."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from hashlib import sha256
from typing import Any, Protocol

from ironscale.agent.refusal import Refusal
from ironscale.agent.store import Published, Records, Store, StoreError
from ironscale.control.instance import Refused, check_overlay
from ironscale.versions.compacted_log import Change
from ironscale.versions.model import Entry, Labels, digest, effective
from ironscale.versions.publishing import KEEP, KEEP_MS, Draft, Problem, Standing, misfit, refused

COMPACT_S = 60.0
# Hazard: what is asked for at once becomes one transaction, a dozen round trips a version, and that has an end of its
# own: a burst would fail as a whole where the record is slow or far.
AT_ONCE = 8
MARK = "version "  # before the fingerprint of a mutation that made one; others make operations


class DifferingView(Protocol):
    """An instance that does not run what it should by its agent's view."""

    @property
    def name(self) -> str: ...
    @property
    def running(self) -> int: ...
    @property
    def status(self) -> str: ...
    @property
    def detail(self) -> str: ...


class SummaryView(Protocol):
    """Of one agent's followers."""

    @property
    def lineage(self) -> str: ...
    @property
    def position(self) -> int: ...
    @property
    def followers(self) -> int: ...
    @property
    def counts(self) -> Sequence[tuple[int, int]]:
        """Position and how many are there, the highest first."""

    @property
    def differing(self) -> Sequence[DifferingView]: ...
    @property
    def more(self) -> int:
        """That differ beside those."""


class AgentView(Protocol):
    @property
    def agent(self) -> str:
        """HOST:PORT where it is followed."""

    @property
    def known(self) -> bool:
        """False: it was not heard of lately."""

    @property
    def heard_ms(self) -> int:
        """Ago."""

    @property
    def age_ms(self) -> int:
        """Of its view."""

    @property
    def summary(self) -> SummaryView: ...


class Served(Protocol):
    """Who serves versions, and who runs them: what the agent that leads knows of all, another of itself."""

    def summary(self) -> Sequence[AgentView]: ...


@dataclass(frozen=True, slots=True)
class Composed:
    """What an instance of some labels runs, and what that comes of."""

    position: int
    overlay: dict[str, Any]
    digest: str
    layers: tuple[Published, ...]


def used_for(fingerprint: str, number: int) -> str:
    """What a mutation made, for who used its key a second time."""
    return f"{'version' if fingerprint.startswith(MARK) else 'operation'} {number}"


def told(problem: Problem | None) -> None:
    """Raises Refusal."""
    if problem is not None:
        raise Refusal(problem.code, problem.text, **problem.details)


class Publisher:
    def __init__(self, store: Store, now_ms: Callable[[], int], log: Callable[[str], None],
                 notify: Callable[[], None]) -> None:
        self.store, self.now_ms, self.log, self.notify = store, now_ms, log, notify
        self.published: Callable[[Change], None] = lambda change: None  # its commit is confirmed
        self.served: Served | None = None
        self.step: Callable[[str], None] = lambda where: None  # tests end the process here
        self.room = asyncio.Semaphore(AT_ONCE)
        self.position = 0  # of the log, as far as it is confirmed
        self.keep, self.keep_ms = KEEP, KEEP_MS

    async def load(self) -> None:
        """Makes the log where there is none. Raises StoreError."""
        change = await self.store.read(lambda records: records.version_change(0, ""))
        if not change.lineage:
            await self.store.write(lambda records: records.make_lineage())
        self.position = change.position

    # Publishing

    async def publish(self, actor: str, draft: Draft, key: str = "") -> tuple[Published, bool]:
        """The version, and False beside it where an earlier call with this key made it. Raises Refusal or StoreError,
        with nothing done; but a StoreError UNKNOWN may have published it: the same key tells."""
        told(misfit(draft))
        if draft.overlay is not None:
            try:
                check_overlay(draft.overlay)
            except Refused as problem:
                raise Refusal("BAD_INPUT", f"overlay: {problem}") from problem
        return await self.write(actor, key, self.fingerprint("publish", str(draft.scope), draft.overlay, draft.base),
                                lambda records: draft)

    async def restore(self, actor: str, number: int, base: int, key: str = "", note: str = ""
                      ) -> tuple[Published, bool]:
        """A way back: what `number` said of its scope, as a new version. Raises as `publish` does."""
        def made(records: Records) -> Draft:
            former = records.version(number)
            if former is None:
                raise Refusal("NOT_FOUND", f"there is no version {number} in the history; see `ironscale config log`")
            return Draft(former.entry.scope, former.entry.overlay, base, note, number)

        if number < 1:
            raise Refusal("BAD_INPUT", f"version: expected one from 1 on, got {number}")
        return await self.write(actor, key, self.fingerprint("restore", number, base), made)

    @staticmethod
    def fingerprint(*parts: Any) -> str:
        return MARK + sha256(json.dumps(parts, sort_keys=True).encode()).hexdigest()

    async def write(self, actor: str, key: str, fingerprint: str, made: Callable[[Records], Draft]
                    ) -> tuple[Published, bool]:
        now_ms = self.now_ms()

        def work(records: Records) -> tuple[Published, Change | None]:
            earlier = records.mutation(actor, key) if key else None
            if earlier is not None:
                return self.again(records, key, fingerprint, *earlier), None
            draft = made(records)
            told(misfit(draft))
            lineage, position, floor, newest = records.log_and_newest(draft.scope)
            told(refused(draft, self.standing(records, position, newest)))
            entry = records.add_version(draft.scope, draft.overlay, draft.base, actor, now_ms, draft.restores,
                                        draft.note)
            if key:
                records.add_mutation(actor, key, fingerprint, entry.version, now_ms)
            records.audit(now_ms, actor, "restore" if draft.restores else "publish", f"version {entry.version}",
                          "published", {"scope": str(draft.scope), "base": draft.base, "restores": draft.restores,
                                        "note": draft.note})
            change = Change(lineage or records.lineage(), entry.version, position, False, floor, (entry,))
            return Published(entry, draft.note, True), change

        def confirmed(found: tuple[Published, Change | None]) -> None:
            change = found[1]
            if change is not None:
                self.position = max(self.position, change.position)
                self.published(change)
                self.notify()

        self.step("before a version's commit")
        async with self.room:
            found = await self.store.write(work, confirmed)
        self.step("after a version's commit")
        confirmed(found)
        self.step("after a version was told")
        return found[0], found[1] is not None

    @staticmethod
    def again(records: Records, key: str, fingerprint: str, earlier: str, number: int) -> Published:
        if earlier != fingerprint:
            raise Refusal("KEY_REUSED", f"idempotency key {key!r} was used for another mutation, "
                                        f"{used_for(earlier, number)}; use a new one")
        found = records.version(number)
        if found is None:
            raise Refusal("KEY_REUSED", f"idempotency key {key!r} made version {number}, which is out of the history")
        return found

    @staticmethod
    def standing(records: Records, position: int, newest: Entry | None) -> Standing:
        halt = records.halt()
        before = records.version(newest.base) if halt is not None and newest is not None and newest.base else None
        return Standing(position, newest, before.entry if before is not None else None,
                        records.count_scopes_in_force() if newest is None else 0, halt.text if halt is not None else "")

    # Looking

    async def compose(self, labels: Labels) -> Composed:
        """Raises StoreError."""
        def work(records: Records) -> Composed:
            position, found = records.version_position(), records.in_force(labels.scopes())
            layers = tuple(sorted(found, key=lambda published: published.entry.scope.reach))
            overlay = effective(published.entry for published in layers)
            # a commit between the two looks: what came of it is as of then, and nothing else of it concerns these
            position = max([position, *(published.entry.version for published in layers)])
            return Composed(position, overlay, digest(overlay), layers)

        return await self.store.read(work)

    # What goes on by itself

    async def compact(self) -> int:
        """How many rows went. Raises StoreError."""
        before_ms = self.now_ms() - self.keep_ms
        return await self.store.write(lambda records: records.compact_versions(self.keep, before_ms))

    async def run(self) -> None:
        while True:
            await asyncio.sleep(COMPACT_S)
            if not self.position:
                continue
            try:
                while await self.compact():
                    await asyncio.sleep(0.1)
            except StoreError as error:
                self.log(f"versions are compacted later: {error}")
