"""Publishes versions of the configuration. Only the leading agent publishes, with one write per version; nobody is sent
a version before its commit is confirmed."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from hashlib import sha256
from typing import Any, Protocol

from ironscale.agent.refusal import Refusal
from ironscale.agent.store import Published, Records, Store, StoreError
from ironscale.control.instance import ChangeRefused, check_overlay
from ironscale.versions.compacted_log import Change
from ironscale.versions.model import Entry, Labels, combine_layers, overlay_digest
from ironscale.versions.publishing import (
    HISTORY_MS,
    HISTORY_VERSIONS,
    Draft,
    Problem,
    RecordedState,
    check_draft,
    check_publish,
)

COMPACT_INTERVAL_S = 60.0
# Concurrent writes share one transaction, with a dozen round trips per version, and the transaction has a time limit.
# Without this bound, a burst of publishes would fail as a whole on a slow or distant database.
MAX_CONCURRENT_WRITES = 8
VERSION_FINGERPRINT_PREFIX = "version "  # marks mutations that made a version; all others made an operation


class DifferingView(Protocol):
    """An instance that doesn't run the configuration that its agent last sent it."""

    @property
    def name(self) -> str: ...
    @property
    def running(self) -> int: ...
    @property
    def status(self) -> str: ...
    @property
    def detail(self) -> str: ...


class SummaryView(Protocol):
    """Which positions the followers of one agent run."""

    @property
    def lineage(self) -> str: ...
    @property
    def position(self) -> int: ...
    @property
    def followers(self) -> int: ...
    @property
    def counts(self) -> Sequence[tuple[int, int]]:
        """Pairs of a position and the number of followers that run it, highest position first."""

    @property
    def differing(self) -> Sequence[DifferingView]: ...
    @property
    def more(self) -> int:
        """How many further instances differ beyond those listed."""


class AgentView(Protocol):
    @property
    def agent(self) -> str:
        """HOST:PORT at which instances follow the agent."""

    @property
    def known(self) -> bool:
        """False if the agent's summary is too old."""

    @property
    def heard_ms(self) -> int:
        """Time since the agent's summary was received."""

    @property
    def age_ms(self) -> int:
        """Age of the agent's view of the published versions."""

    @property
    def summary(self) -> SummaryView: ...


class ServedVersions(Protocol):
    """Which agents serve versions, and what their followers run. The leading agent knows of all agents, any other only
    of itself."""

    def summary(self) -> Sequence[AgentView]: ...


@dataclass(frozen=True, slots=True)
class EffectiveConfiguration:
    """The configuration of an instance with given labels, and the versions that it is made of."""

    position: int
    overlay: dict[str, Any]
    digest: str
    layers: tuple[Published, ...]


def describe_earlier_use(fingerprint: str, number: int) -> str:
    """Names what a mutation made, for the error when its idempotency key is used again."""
    return f"{'version' if fingerprint.startswith(VERSION_FINGERPRINT_PREFIX) else 'operation'} {number}"


def raise_problem(problem: Problem | None) -> None:
    """Raises Refusal."""
    if problem is not None:
        raise Refusal(problem.code, problem.text, **problem.details)


class Publisher:
    def __init__(self, store: Store, now_ms: Callable[[], int], log: Callable[[str], None],
                 notify: Callable[[], None]) -> None:
        self.store, self.now_ms, self.log, self.notify = store, now_ms, log, notify
        self.on_published: Callable[[Change], None] = lambda change: None  # called once a commit is confirmed
        self.served: ServedVersions | None = None
        self.test_hook: Callable[[str], None] = lambda where: None  # hook at which tests kill the process
        self.write_slots = asyncio.Semaphore(MAX_CONCURRENT_WRITES)
        self.position = 0  # of the last confirmed version in the log
        self.keep, self.keep_ms = HISTORY_VERSIONS, HISTORY_MS

    async def load(self) -> None:
        """Creates the version log if there is none. Raises StoreError."""
        change = await self.store.read(lambda records: records.version_change(0, ""))
        if not change.lineage:
            await self.store.write(lambda records: records.make_lineage())
        self.position = change.position

    # Publishing

    async def publish(self, actor: str, draft: Draft, key: str = "") -> tuple[Published, bool]:
        """Returns the version, and whether this call made it; False if an earlier call with the same key did. Raises
        Refusal or StoreError with nothing done, except that after StoreError UNKNOWN the version may be published:
        calling again with the same key tells."""
        raise_problem(check_draft(draft))
        if draft.overlay is not None:
            try:
                check_overlay(draft.overlay)
            except ChangeRefused as problem:
                raise Refusal("BAD_INPUT", f"overlay: {problem}") from problem
        return await self.write(actor, key, self.fingerprint("publish", str(draft.scope), draft.overlay, draft.base),
                                lambda records: draft)

    async def restore(self, actor: str, number: int, base: int, key: str = "", note: str = ""
                      ) -> tuple[Published, bool]:
        """Publishes the overlay of version `number` again, as a new version of its scope. Raises as `publish` does."""
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
        return VERSION_FINGERPRINT_PREFIX + sha256(json.dumps(parts, sort_keys=True).encode()).hexdigest()

    async def write(self, actor: str, key: str, fingerprint: str, made: Callable[[Records], Draft]
                    ) -> tuple[Published, bool]:
        now_ms = self.now_ms()

        def work(records: Records) -> tuple[Published, Change | None]:
            earlier = records.mutation(actor, key) if key else None
            if earlier is not None:
                return self.repeated_result(records, key, fingerprint, *earlier), None
            draft = made(records)
            raise_problem(check_draft(draft))
            lineage, position, floor, newest = records.log_and_newest(draft.scope)
            raise_problem(check_publish(draft, self.standing(records, position, newest)))
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
                self.on_published(change)
                self.notify()

        self.test_hook("before a version's commit")
        async with self.write_slots:
            found = await self.store.write(work, confirmed)
        self.test_hook("after a version's commit")
        confirmed(found)
        self.test_hook("after a version was told")
        return found[0], found[1] is not None

    @staticmethod
    def repeated_result(records: Records, key: str, fingerprint: str, earlier: str, number: int) -> Published:
        if earlier != fingerprint:
            raise Refusal("KEY_REUSED", f"idempotency key {key!r} was used for another mutation, "
                                        f"{describe_earlier_use(earlier, number)}; use a new one")
        found = records.version(number)
        if found is None:
            raise Refusal("KEY_REUSED", f"idempotency key {key!r} made version {number}, which the history no "
                                        "longer has")
        return found

    @staticmethod
    def standing(records: Records, position: int, newest: Entry | None) -> RecordedState:
        halt = records.halt()
        before = records.version(newest.base) if halt is not None and newest is not None and newest.base else None
        return RecordedState(position, newest, before.entry if before is not None else None,
                        records.count_scopes_in_force() if newest is None else 0, halt.text if halt is not None else "")

    # Queries

    async def compose(self, labels: Labels) -> EffectiveConfiguration:
        """Raises StoreError."""
        def work(records: Records) -> EffectiveConfiguration:
            position, found = records.version_position(), records.in_force(labels.scopes())
            layers = tuple(sorted(found, key=lambda published: published.entry.scope.reach))
            overlay = combine_layers(published.entry for published in layers)
            # A version committed between the two reads may be among the layers; the position then includes it. No
            # other version up to it concerns these scopes.
            position = max([position, *(published.entry.version for published in layers)])
            return EffectiveConfiguration(position, overlay, overlay_digest(overlay), layers)

        return await self.store.read(work)

    # Background work

    async def compact(self) -> int:
        """Returns how many rows were deleted. Raises StoreError."""
        before_ms = self.now_ms() - self.keep_ms
        return await self.store.write(lambda records: records.compact_versions(self.keep, before_ms))

    async def run(self) -> None:
        while True:
            await asyncio.sleep(COMPACT_INTERVAL_S)
            if not self.position:
                continue
            try:
                while await self.compact():
                    await asyncio.sleep(0.1)
            except StoreError as error:
                self.log(f"compacting the versions failed, will be retried: {error}")
