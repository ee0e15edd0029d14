"""Runs write attempts (`write_attempt.Attempt`) against one store. Attempts with an unknown outcome are queried until
it is known, even after the client has been answered."""

from __future__ import annotations

import asyncio
import random
import time
import traceback
from collections.abc import Callable

from ironscale.record.journal import Journal, Open
from ironscale.record.model import Cause, Entry, Store, StoreFailure, WriteOutcome
from ironscale.record.write_attempt import Attempt, AttemptOutcome, Done, NextStep, QueryOutcome, Write

MAX_OPEN_ATTEMPTS = 10_000  # running or of unknown outcome; further ones are refused
MAX_CONCURRENT_QUERIES = 8  # after an outage all open attempts are queried at the same time
LOG_INTERVAL_S = 5.0


class AttemptHandle:
    """The caller's handle of one attempt. `on_result` is called once: with the outcome, or with OPEN if the caller gave
    up."""

    def __init__(self, recorder: Recorder, entry: Entry, state: Attempt,
                 on_result: Callable[[Attempt], None]) -> None:
        self.recorder, self.state = recorder, state
        self.entry: Entry | None = entry  # released with its body once the write has ended
        self.attempt, self.request, self.kind = entry.attempt, entry.request, entry.kind
        self.tenant, self.key = entry.tenant, entry.key
        self.on_result: Callable[[Attempt], None] | None = on_result

    def report_result(self) -> None:
        on_result, self.on_result = self.on_result, None
        if on_result is not None:
            on_result(self.state)

    def give_up(self) -> None:
        """Stops waiting. The recorder still determines the outcome in the background."""
        if self.on_result is None:
            return
        self.report_result()
        if self.state.outcome is AttemptOutcome.OPEN:
            self.recorder.journal_open_attempt(self)


class Recorder:
    """All attempts on one store."""

    def __init__(self, name: str, store: Store, journal: Journal, log: Callable[[str], None],
                 rng: random.Random | None = None) -> None:
        self.name, self.store, self.journal, self.log = name, store, journal, log
        self.rng = rng or random.Random()
        self.loop = asyncio.get_running_loop()
        self.handles: dict[asyncio.Task[None], AttemptHandle | None] = {}
        self.query_semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
        self.last_logged_at = -LOG_INTERVAL_S

    def write(self, entry: Entry, deadline: float, on_result: Callable[[Attempt], None]) -> AttemptHandle:
        """Begins one attempt; `deadline` is on the loop's clock."""
        handle = AttemptHandle(self, entry, Attempt(deadline), on_result)
        if len(self.handles) >= MAX_OPEN_ATTEMPTS:
            handle.state.write_failed(self.loop.time(), StoreFailure(
                WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY, f"{MAX_OPEN_ATTEMPTS} attempts are already open", "OPEN"))
            self.loop.call_soon(handle.report_result)
            return handle
        task = self.loop.create_task(self.run(handle))
        self.handles[task] = handle
        task.add_done_callback(self.handles.pop)
        return handle

    def resume(self, entries: list[Open]) -> None:
        """Determines the outcomes that a former process left open."""
        for entry in entries:
            if entry.store == self.name:
                task = self.loop.create_task(self.resolve_attempt(entry))
                self.handles[task] = None
                task.add_done_callback(self.handles.pop)

    async def run(self, handle: AttemptHandle) -> None:
        state = handle.state
        step = state.begin(self.loop.time())
        try:
            while not isinstance(step, Done):
                if isinstance(step, Write):
                    assert handle.entry is not None
                    try:
                        step = state.write_answered(await self.store.write(handle.entry, step.until))
                    except StoreFailure as failure:
                        self.log_failure(failure, self.loop.time())
                        step = state.write_failed(self.loop.time(), failure)
                    handle.entry = None
                else:
                    step = await self.ask(state, handle.attempt, step)
        except Exception:
            # a bug in this process must not leave the request unanswered, nor be taken for an outcome
            self.log(
                f"store {self.name}: attempt {handle.attempt} stays open: internal error\n{traceback.format_exc()}"
            )
            if handle.on_result is None:
                return
            handle.give_up()
            return
        late = handle.on_result is None
        handle.report_result()
        if late:
            self.journal.closed(handle.attempt, state.outcome.value)

    async def ask(self, state: Attempt, attempt: str, step: QueryOutcome) -> NextStep:
        now = self.loop.time()
        if step.at > now:
            await asyncio.sleep(step.at - now)
        async with self.query_semaphore:
            try:
                # a query that waited for the semaphore gets the same timeout as the others
                until = max(step.until, self.loop.time() + (step.until - step.at))
                return state.query_answered(await self.store.ask(attempt, until))
            except StoreFailure as failure:
                self.log_failure(failure, self.loop.time())
                return state.query_failed(self.loop.time(), failure, self.rng.random())

    async def resolve_attempt(self, entry: Open) -> None:
        now = self.loop.time()
        state = Attempt(now)
        step: NextStep = state.next_query(now, now)
        while isinstance(step, QueryOutcome):
            step = await self.ask(state, entry.attempt, step)
        self.journal.closed(entry.attempt, state.outcome.value)

    def journal_open_attempt(self, handle: AttemptHandle) -> None:
        why = handle.state.failures[-1] if handle.state.failures else "no answer in time"
        self.journal.opened(Open(handle.attempt, self.name, handle.request, handle.kind, handle.tenant, handle.key,
                                 time.time_ns() // 1_000_000, why))

    def log_failure(self, failure: StoreFailure, now: float) -> None:
        """Logs a failure, rate-limited: an unreachable store fails every attempt."""
        if now - self.last_logged_at >= LOG_INTERVAL_S:
            self.last_logged_at = now
            self.log(f"store {self.name}: {failure.outcome.value}: {failure}")

    async def close(self, wait_s: float) -> None:
        """Waits up to `wait_s` for open attempts; the rest is left in the journal."""
        if self.handles:
            await asyncio.wait(list(self.handles), timeout=wait_s)
        for task, handle in list(self.handles.items()):
            if handle is not None:
                handle.give_up()
            task.cancel()
        await asyncio.gather(*self.handles, return_exceptions=True)
        await self.store.close()
