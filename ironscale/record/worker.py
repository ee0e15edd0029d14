"""One thread that carries out pieces of work in groups: what is asked for while a group is under way shares the next
one's commit. Knows neither the store nor what is written; both are handed in.
"""

from __future__ import annotations

import abc
import asyncio
import contextlib
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from ironscale.record.model import Cause, WriteOutcome, StoreFailure
from ironscale.threads import start_thread

T = TypeVar("T")
X = TypeVar("X")  # what a piece of work is handed: the transaction that it shares
MAX_GROUP_JOBS = 256  # pieces of work in one commit at most
MAX_QUEUED_JOBS = 4_096
NO_DEADLINE = float("inf")


class Job(Generic[X, T]):
    """Waits in the queue until it is taken, or withdrawn by who asked for it."""

    __slots__ = ("begun", "future", "loop", "resolves", "until", "work", "writes")

    def __init__(self, work: Callable[[X], T], until: float, writes: bool, loop: asyncio.AbstractEventLoop,
                 resolves: bool = False) -> None:
        self.work, self.until, self.writes, self.loop, self.resolves = work, until, writes, loop, resolves
        self.begun = False
        self.future: asyncio.Future[T] = loop.create_future()
        self.future.add_done_callback(lambda done: done.cancelled() or done.exception())  # it may be told to nobody

    def settle(self, result: Any, error: BaseException | None) -> None:
        def now() -> None:
            if self.future.done():
                return
            if error is not None:
                self.future.set_exception(error)
            else:
                self.future.set_result(result)

        with contextlib.suppress(RuntimeError):  # the loop has ended: nobody waits
            self.loop.call_soon_threadsafe(now)


Done = tuple[Job[X, Any], Any, BaseException | None]


def failed_group_results(group: list[Job[X, Any]], done: list[Done[X]], found: StoreFailure) -> list[Done[X]]:
    """All of a group share its transaction's fate, but for those that had failed by themselves before."""
    failed = [entry for entry in done if entry[2] is not None]
    alone = {id(job) for job, _, _ in failed}
    return failed + [(job, None, StoreFailure(found.outcome, found.cause, str(found), found.code))
                     for job in group if id(job) not in alone]


class Worker(abc.ABC, Generic[X]):
    """The queue and its thread; `commit` carries a group out."""

    def __init__(self, name: str, most_queued: int = MAX_QUEUED_JOBS) -> None:
        """`name`: the store's, as errors tell it."""
        self.name = name
        self.most_queued = most_queued
        self.jobs: deque[Job[X, Any]] = deque()
        self.wake = threading.Condition()
        self.ending = False
        self.blocks_writes_if_unknown = False  # once the outcome of a commit is not known, only what resolves it is written
        self.outcome_unknown = False  # set on the thread, taken back by who has resolved it
        self.longest_commit_s = 0.0  # a commit, from BEGIN on
        self.thread = threading.Thread(target=self._run, name="record-writer", daemon=True)

    @abc.abstractmethod
    def commit(self, group: list[Job[X, Any]]) -> list[Done[X]]:
        """Each job of the group with its result, or the error. Raises nothing."""

    def after(self) -> None:  # noqa: B027 (not every store has something to see to)
        """On the thread, once the results of a group are told."""

    def start(self) -> None:
        start_thread(self.thread)

    def end(self) -> None:
        """Nothing more is taken; what waits is still carried out."""
        with self.wake:
            self.ending = True
            self.wake.notify()

    @abc.abstractmethod
    def stop(self, wait_s: float) -> None:
        """After all that was asked for. Blocks, so long at most."""

    async def run(self, work: Callable[[X], T], until: float = NO_DEADLINE, writes: bool = True,
                  resolves: bool = False) -> T:
        """The work's result, once it is durable. Raises Trouble, or what the work raised; then nothing of it was kept,
        unless a Trouble says that this is not known. A caller who is cancelled has not taken it back."""
        loop = asyncio.get_running_loop()
        job = Job(work, until, writes, loop, resolves)
        with self.wake:
            if self.ending:
                raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY, f"{self.name}: it is being closed", "CLOSED")
            if len(self.jobs) >= self.most_queued:
                raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY,
                              f"{self.name}: {self.most_queued} writes wait already", "QUEUE")
            self.jobs.append(job)
            self.wake.notify()
        left = until - loop.time()
        done, _ = await asyncio.wait([job.future], timeout=None if until == NO_DEADLINE else max(0.0, left))
        if done:
            return job.future.result()
        with self.wake:
            if not job.begun:
                # withdrawn before it was taken: it never runs
                with contextlib.suppress(ValueError):
                    self.jobs.remove(job)
                job.begun = True
                raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TIMEOUT, f"{self.name}: its turn did not come in time",
                              "TIMEOUT")
        raise StoreFailure(WriteOutcome.UNKNOWN, Cause.TIMEOUT, f"{self.name}: its commit was not answered in time",
                      "TIMEOUT")

    def _run(self) -> None:
        while True:
            with self.wake:
                while not self.jobs and not self.ending:
                    self.wake.wait()
                if not self.jobs:
                    return
                group: list[Job[X, Any]] = []
                while self.jobs and len(group) < MAX_GROUP_JOBS:
                    job = self.jobs.popleft()
                    job.begun = True
                    group.append(job)
            began = time.monotonic()
            if self.outcome_unknown:
                # hazard: a write beside the open one would be told from the record as if it were that
                for job in [job for job in group if job.writes and not job.resolves]:
                    group.remove(job)
                    job.settle(None, StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY, f"{self.name}: whether its last "
                                             "write stands is not known yet; nothing more is written till then",
                                             "UNKNOWN_BEFORE"))
            if not group:
                continue
            done = self.commit(group)
            # hazard: nobody resolves what a group of reads left open, so it would bar all writes for good
            self.outcome_unknown |= self.blocks_writes_if_unknown and any(
                job.writes and isinstance(problem, StoreFailure) and problem.outcome is WriteOutcome.UNKNOWN
                for job, _, problem in done)
            self.longest_commit_s = max(self.longest_commit_s, time.monotonic() - began)
            for job, result, problem in done:
                job.settle(result, problem)
            self.after()
