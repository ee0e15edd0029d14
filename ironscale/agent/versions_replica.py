"""The agent's view of the published versions, for as long as the agent lives: followed from the record by position,
kept in a file of its own, and served with its age where the record is away."""

from __future__ import annotations

import asyncio
import os
import random
import time
import traceback
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Protocol

from ironscale.agent.store import Store, StoreError, TokenRow
from ironscale.agent.terms import clock_ms
from ironscale.learned.store import OsFileSystem
from ironscale.versions.compacted_log import Change, View, ViewError
from ironscale.versions.serving import Serving, Subscriber
from ironscale.versions.snapshot import (
    MAX_BYTES,
    Snapshot,
    SnapshotError,
    Token,
    decode,
    encode,
    snapshot_of,
)

POLL_S = 0.3  # between two looks at the record
SAVE_S, KEEP_S = 1.0, 30.0  # between two writes of the file: where something changed, and for the age alone
FILE = "versions.snapshot"


class Tells(Protocol):
    """Who serves the view."""

    def changed(self) -> None: ...
    def dismiss(self, strange: Iterable[Subscriber]) -> None: ...


async def for_good(step: Callable[[], Awaitable[None]], log: Callable[[str], None]) -> None:
    """One step after the other; an error of ours ends none of what comes after it."""
    while True:
        try:
            await step()
        except Exception:
            log(traceback.format_exc())
            await asyncio.sleep(1.0)


class Following:
    def __init__(self, serving: Serving, data: Path, log: Callable[[str], None],
                 rng: random.Random | None = None) -> None:
        self.serving, self.path, self.log = serving, data / FILE, log
        self.random = rng or random.Random()
        self.tells: Tells | None = None
        self.leads: Callable[[], bool] = lambda: False
        self.store: Store | None = None  # the one that is open now
        self.tokens: tuple[Token, ...] = ()
        self.reached_ms: float | None = None  # on `clock_ms`, when the record was last reached
        self.is_sure = False  # of the lineage: it is that of a record which this process has read
        self.reading: asyncio.Task[Change] | None = None
        self.wake = asyncio.Event()
        self.said = ""
        self.loaded = ""  # what the file held at the start; told by one that serves it before it has the record
        self.saved: tuple[str, int, int, tuple[Token, ...]] | None = None
        self.saved_s = 0.0
        self.files = OsFileSystem()

    def age_s(self) -> float:
        """Of the view: since the record was last reached."""
        return (clock_ms() - self.reached_ms) / 1000 if self.reached_ms is not None else 0.0

    def say(self, text: str) -> None:
        """A line a cause, however often it comes."""
        if text != self.said:
            self.said = text
            if text:
                self.log(text)

    # The record

    def attach(self, store: Store | None) -> None:
        """The store that is open from here on; None = it is about to be closed."""
        self.store = store
        self.reading = None  # what it still gives is of the store before
        self.wake.set()

    def take_tokens(self, rows: Iterable[TokenRow]) -> None:
        self.tokens = tuple(Token(row.name, row.role, row.digest, row.created_ms, row.revoked_ms) for row in rows)

    def published(self, change: Change) -> None:
        """The agent that leads has a commit of its own confirmed: nobody waits for the next look."""
        view = self.serving.view
        if change.lineage == view.lineage and not change.is_snapshot and change.since > view.position:
            self.wake.set()
            return
        self.take(change, clock_ms())

    async def poll(self) -> None:
        """One look. Hazard: a file that is held gives its answer late or never, and a look each time would queue up
        behind it: there is one at a time."""
        self.wake.clear()
        store = self.store
        # hazard: while it is not known whether a write stands, what is read may not have been made to last
        if store is not None and getattr(store, "resolving", None) is None and self.reading is None:
            began_ms, view = clock_ms(), self.serving.view
            position, lineage = view.position, view.lineage
            reading = self.reading = asyncio.ensure_future(
                store.read(lambda records: records.version_change(position, lineage)))
            reading.add_done_callback(lambda done: self.read(store, began_ms, done))
        try:
            async with asyncio.timeout(POLL_S * (0.8 + 0.4 * self.random.random())):
                await self.wake.wait()
        except TimeoutError:
            pass

    def read(self, store: Store, began_ms: int, done: asyncio.Future[Change]) -> None:
        if done.cancelled():
            return
        error = done.exception()
        if store is not self.store:
            return
        self.reading = None
        if isinstance(error, StoreError):
            self.say(f"versions: the record is away, position {self.serving.view.position} is served with its age: "
                     f"{error}")
        elif error is not None:
            self.say("versions: " + "".join(traceback.format_exception(error)))
        elif self.leads() and not store.term.holds(clock_ms()):
            self.say("versions: this agent's term is not sure; what it has is served with its age")
        else:
            self.take(done.result(), began_ms)

    def take(self, change: Change, reached_ms: float) -> None:
        """Never backwards, and never to another log than this process has served."""
        view = self.serving.view
        if view.lineage and change.lineage != view.lineage:
            if self.is_sure:
                self.say(f"versions: expected the record's lineage {view.lineage}, got {change.lineage or 'none'}: "
                         f"position {view.position} of the former is served with its age; restart this agent if the "
                         "record was replaced")
                return
            if not change.is_snapshot:
                return
            self.log(f"{self.path}: it is of lineage {view.lineage}, the record of {change.lineage or 'none'}; not "
                     "used any more")
            strange = self.serving.begin_anew(View())
            if self.tells is not None:
                self.tells.dismiss(strange)
        elif change.position < view.position:
            if reached_ms >= (self.reached_ms or 0):
                self.say(f"versions: the record is at position {change.position}, behind {view.position} that is "
                         "served: this is kept, with its age")
            return
        try:
            changed = self.serving.advance(change, time.monotonic())
        except ViewError as error:
            self.say(f"versions: what the record gives does not fit what is served, which is kept: {error}")
            return
        if self.said:
            self.log(f"versions: the record is back, position {self.serving.view.position}")
            self.said = ""
        self.is_sure = True
        self.reached_ms = max(self.reached_ms, reached_ms) if self.reached_ms is not None else reached_ms
        if changed and self.tells is not None:
            self.tells.changed()

    # The file

    def load(self) -> bool:
        """Whether there is a snapshot to serve. Blocks, once at the start."""
        try:
            # hazard: a pipe or a device under that name would block or never end
            with open(os.open(self.path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC), "rb") as file:
                data = file.read(MAX_BYTES + 1)
            snapshot = decode(data)
        except FileNotFoundError:
            return False
        except OSError as error:
            self.log(f"{self.path}: expected a file that can be read, got {error.strerror}; not used")
            return False
        except SnapshotError as error:
            self.log(f"{self.path}: {error}; not used")
            return False
        age_s = snapshot.age_s(time.time_ns() // 1_000_000)
        self.serving.view, self.serving.reached = snapshot.view(), True
        self.tokens = snapshot.tokens
        self.reached_ms = clock_ms() - age_s * 1000
        self.saved, self.saved_s = self.mark(), time.monotonic()
        self.loaded = f"{self.path}: position {snapshot.position}, {len(snapshot.entries)} scopes, {age_s:.1f} s old"
        return True

    def mark(self) -> tuple[str, int, int, tuple[Token, ...]]:
        view = self.serving.view
        return view.lineage, view.position, view.floor, self.tokens

    async def keep(self) -> None:
        """One look at whether the file is due."""
        await asyncio.sleep(SAVE_S)
        if self.is_sure and (self.mark() != self.saved or time.monotonic() - self.saved_s >= KEEP_S):
            await self.save()

    async def save(self) -> None:
        mark = self.mark()
        wall_ms = time.time_ns() // 1_000_000 - int(self.age_s() * 1000)
        snapshot = snapshot_of(self.serving.view, self.tokens, max(0, wall_ms))
        try:
            await asyncio.to_thread(self.write, snapshot)
        except OSError as error:
            self.say(f"{self.path}: expected to write it, got {error.strerror}; it is as it was before")
            return
        self.saved, self.saved_s = mark, time.monotonic()

    def write(self, snapshot: Snapshot) -> None:
        """When it returns the snapshot lasts; when it is cut off, what was there before does."""
        aside = str(self.path.with_name(f".{FILE}"))
        self.files.write(aside, encode(snapshot))
        self.files.rename(aside, str(self.path))
        self.files.sync_folder(str(self.path.parent))
