"""The agent's replica of the published versions. It lives as long as the agent process, reads new versions from the
store by position, saves a snapshot file, and keeps being served, with its age, while the store can't be reached."""

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
from ironscale.versions.serving import Subscriber, VersionDistributor
from ironscale.versions.snapshot import (
    MAX_BYTES,
    Snapshot,
    SnapshotError,
    Token,
    decode,
    encode,
    make_snapshot,
)

POLL_INTERVAL_S = 0.3  # between two reads of the store
# Between two writes of the file: if something changed, and to update only the age.
SAVE_INTERVAL_S, AGE_SAVE_INTERVAL_S = 1.0, 30.0
SNAPSHOT_FILE = "versions.snapshot"


class ReplicaListener(Protocol):
    """Serves the replica to followers."""

    def on_view_changed(self) -> None: ...
    def disconnect_followers(self, strange: Iterable[Subscriber]) -> None: ...


async def run_forever(step: Callable[[], Awaitable[None]], log: Callable[[str], None]) -> None:
    """Runs `step` again and again. An unexpected exception is logged and doesn't end the loop."""
    while True:
        try:
            await step()
        except Exception:
            log(traceback.format_exc())
            await asyncio.sleep(1.0)


class VersionsReplica:
    def __init__(self, serving: VersionDistributor, data: Path, log: Callable[[str], None],
                 rng: random.Random | None = None) -> None:
        self.serving, self.path, self.log = serving, data / SNAPSHOT_FILE, log
        self.random = rng or random.Random()
        self.listener: ReplicaListener | None = None
        self.is_leading: Callable[[], bool] = lambda: False
        self.store: Store | None = None  # the store that is open now
        self.tokens: tuple[Token, ...] = ()
        self.last_read_ms: float | None = None  # time on `clock_ms` of the last successful read of the store
        self.is_lineage_confirmed = False  # this process has read the view's lineage from a store, not only the file
        self.reading: asyncio.Task[Change] | None = None
        self.wake = asyncio.Event()
        self.last_logged = ""
        self.loaded_text = ""  # describes the snapshot loaded at the start; logged by a standby agent that serves it
        self.saved_state: tuple[str, int, int, tuple[Token, ...]] | None = None
        self.saved_s = 0.0
        self.files = OsFileSystem()

    def age_s(self) -> float:
        """Age of the replica: the time since the store was last read."""
        return (clock_ms() - self.last_read_ms) / 1000 if self.last_read_ms is not None else 0.0

    def log_change(self, text: str) -> None:
        """Logs the text unless it is the same as the last one; an empty text resets this."""
        if text != self.last_logged:
            self.last_logged = text
            if text:
                self.log(text)

    # Reading the store

    def attach(self, store: Store | None) -> None:
        """Sets the store that is open from now on; None: the store is about to be closed."""
        self.store = store
        self.reading = None  # a read in progress is of the previous store, and its result is ignored
        self.wake.set()

    def set_tokens(self, rows: Iterable[TokenRow]) -> None:
        self.tokens = tuple(Token(row.name, row.role, row.digest, row.created_ms, row.revoked_ms) for row in rows)

    def on_published(self, change: Change) -> None:
        """Applies a change that this agent, as leader, has just committed, without waiting for the next poll."""
        view = self.serving.view
        if change.lineage == view.lineage and not change.is_snapshot and change.since > view.position:
            self.wake.set()
            return
        self.apply(change, clock_ms())

    async def poll(self) -> None:
        """Starts a read of the store unless one is in progress, and waits for the poll interval. There is one read at a
        time, because a locked database file answers late or never, and reads would queue up behind it."""
        self.wake.clear()
        store = self.store
        # While the outcome of a write is unknown, what is read may not be durable yet.
        if store is not None and getattr(store, "resolving", None) is None and self.reading is None:
            began_ms, view = clock_ms(), self.serving.view
            position, lineage = view.position, view.lineage
            reading = self.reading = asyncio.ensure_future(
                store.read(lambda records: records.version_change(position, lineage)))
            reading.add_done_callback(lambda done: self.on_read_done(store, began_ms, done))
        try:
            async with asyncio.timeout(POLL_INTERVAL_S * (0.8 + 0.4 * self.random.random())):
                await self.wake.wait()
        except TimeoutError:
            pass

    def on_read_done(self, store: Store, began_ms: int, done: asyncio.Future[Change]) -> None:
        if done.cancelled():
            return
        error = done.exception()
        if store is not self.store:
            return
        self.reading = None
        if isinstance(error, StoreError):
            self.log_change(f"versions: the store is unreachable, serving position {self.serving.view.position} with "
                            f"its age: {error}")
        elif error is not None:
            self.log_change("versions: " + "".join(traceback.format_exception(error)))
        elif self.is_leading() and not store.term.is_held(clock_ms()):
            self.log_change("versions: this agent's term is not confirmed, serving what it has with its age")
        else:
            self.apply(done.result(), began_ms)

    def apply(self, change: Change, reached_ms: float) -> None:
        """Applies a change read from the store. The view never goes back to an earlier position, and never moves to
        another lineage once one was confirmed by a store."""
        view = self.serving.view
        if view.lineage and change.lineage != view.lineage:
            if self.is_lineage_confirmed:
                self.log_change(f"versions: expected the store's lineage {view.lineage}, got "
                         f"{change.lineage or 'none'}: still serving position {view.position} of the former "
                         "with its age; restart this agent if the store was replaced")
                return
            if not change.is_snapshot:
                return
            self.log(f"{self.path}: it is of lineage {view.lineage}, the store of {change.lineage or 'none'}; no "
                     "longer used")
            strange = self.serving.replace_view(View())
            if self.listener is not None:
                self.listener.disconnect_followers(strange)
        elif change.position < view.position:
            if reached_ms >= (self.last_read_ms or 0):
                self.log_change(f"versions: the store is at position {change.position}, behind the served position "
                         f"{view.position}: still serving that with its age")
            return
        try:
            changed = self.serving.apply_change(change, time.monotonic())
        except ViewError as error:
            self.log_change("versions: the store's change can't be applied to the served versions, which are kept: "
                            f"{error}")
            return
        if self.last_logged:
            self.log(f"versions: the store can be read again, position {self.serving.view.position}")
            self.last_logged = ""
        self.is_lineage_confirmed = True
        self.last_read_ms = max(self.last_read_ms, reached_ms) if self.last_read_ms is not None else reached_ms
        if changed and self.listener is not None:
            self.listener.on_view_changed()

    # The snapshot file

    def load(self) -> bool:
        """Loads the snapshot file and returns whether there is one to serve. Blocks; called once at the start."""
        try:
            # O_NONBLOCK and the bounded read: a pipe or a device under that name would block or never end.
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
        self.serving.view, self.serving.has_reached_record = snapshot.view(), True
        self.tokens = snapshot.tokens
        self.last_read_ms = clock_ms() - age_s * 1000
        self.saved_state, self.saved_s = self.saveable_state(), time.monotonic()
        self.loaded_text = (f"{self.path}: position {snapshot.position}, {len(snapshot.entries)} scopes, "
                            f"{age_s:.1f} s old")
        return True

    def saveable_state(self) -> tuple[str, int, int, tuple[Token, ...]]:
        view = self.serving.view
        return view.lineage, view.position, view.floor, self.tokens

    async def save_if_due(self) -> None:
        """Waits SAVE_INTERVAL_S, then saves the snapshot if it changed, or if its age has to be updated."""
        await asyncio.sleep(SAVE_INTERVAL_S)
        if self.is_lineage_confirmed and (self.saveable_state() != self.saved_state
                                          or time.monotonic() - self.saved_s >= AGE_SAVE_INTERVAL_S):
            await self.save()

    async def save(self) -> None:
        mark = self.saveable_state()
        wall_ms = time.time_ns() // 1_000_000 - int(self.age_s() * 1000)
        snapshot = make_snapshot(self.serving.view, self.tokens, max(0, wall_ms))
        try:
            await asyncio.to_thread(self.write, snapshot)
        except OSError as error:
            self.log_change(f"{self.path}: expected to write it, got {error.strerror}; the previous file was kept")
            return
        self.saved_state, self.saved_s = mark, time.monotonic()

    def write(self, snapshot: Snapshot) -> None:
        """Writes the snapshot durably. If it is interrupted, the previous file is kept."""
        aside = str(self.path.with_name(f".{SNAPSHOT_FILE}"))
        self.files.write(aside, encode(snapshot))
        self.files.rename(aside, str(self.path))
        self.files.sync_folder(str(self.path.parent))
