"""Group commit on one thread: jobs submitted while a group is being committed share the next commit. The store and the
work itself are supplied by subclasses and callers.
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

from ironscale.record.model import Cause, StoreFailure, WriteOutcome
from ironscale.threads import start_thread

T = TypeVar("T")
X = TypeVar("X")  # the transaction that a job gets, shared by its group
MAX_GROUP_JOBS = 256  # in one commit
MAX_QUEUED_JOBS = 4_096
NO_DEADLINE = float("inf")


class Job(Generic[X, T]):
    """One piece of work: queued until the worker takes it or its caller withdraws it."""

    __slots__ = ("started", "future", "loop", "resolves", "until", "work", "writes")

    def __init__(self, work: Callable[[X], T], until: float, writes: bool, loop: asyncio.AbstractEventLoop,
                 resolves: bool = False) -> None:
        self.work, self.until, self.writes, self.loop, self.resolves = work, until, writes, loop, resolves
        self.started = False
        self.future: asyncio.Future[T] = loop.create_future()
        # avoids the warning about an exception that nobody retrieved
        self.future.add_done_callback(lambda done: done.cancelled() or done.exception())

    def settle(self, result: Any, error: BaseException | None) -> None:
        def deliver() -> None:
            if self.future.done():
                return
            if error is not None:
                self.future.set_exception(error)
            else:
                self.future.set_result(result)

        with contextlib.suppress(RuntimeError):  # the loop is closed: nobody waits
            self.loop.call_soon_threadsafe(deliver)


JobResult = tuple[Job[X, Any], Any, BaseException | None]


def failed_group_results(group: list[Job[X, Any]], results: list[JobResult[X]], failure: StoreFailure
                         ) -> list[JobResult[X]]:
    """The results after the group's transaction failed: all jobs share its error, except those that failed before."""
    failed = [entry for entry in results if entry[2] is not None]
    failed_alone = {id(job) for job, _, _ in failed}
    return failed + [(job, None, StoreFailure(failure.outcome, failure.cause, str(failure), failure.code))
                     for job in group if id(job) not in failed_alone]


class Worker(abc.ABC, Generic[X]):
    """The queue and its thread; `commit` runs one group of jobs."""

    def __init__(self, name: str, max_queued: int = MAX_QUEUED_JOBS) -> None:
        """`name` is the store's name in error messages."""
        self.name = name
        self.max_queued = max_queued
        self.jobs: deque[Job[X, Any]] = deque()
        self.wake = threading.Condition()
        self.ending = False
        self.blocks_writes_if_unknown = False  # after a commit of unknown outcome only jobs that resolve it may write
        self.outcome_unknown = False  # set on the thread, reset by whoever resolves the outcome
        self.longest_commit_s = 0.0  # the longest commit, from BEGIN on
        self.thread = threading.Thread(target=self._run, name="record-writer", daemon=True)

    @abc.abstractmethod
    def commit(self, group: list[Job[X, Any]]) -> list[JobResult[X]]:
        """Runs and commits a group. Returns each job with its result or its error; never raises."""

    def after(self) -> None:  # noqa: B027 (an optional hook)
        """Called on the thread after the results of a group were delivered."""

    def start(self) -> None:
        start_thread(self.thread)

    def end(self) -> None:
        """Refuses new jobs; queued ones are still run."""
        with self.wake:
            self.ending = True
            self.wake.notify()

    @abc.abstractmethod
    def stop(self, wait_s: float) -> None:
        """Stops after the queued jobs. Blocks for at most `wait_s`."""

    async def run(self, work: Callable[[X], T], until: float = NO_DEADLINE, writes: bool = True,
                  resolves: bool = False) -> T:
        """Runs a job and returns its result once it is durable. Raises StoreFailure or the exception of the work.
        Nothing was kept then, unless a StoreFailure says that the outcome is unknown. Cancelling the caller does not
        withdraw the job."""
        loop = asyncio.get_running_loop()
        job = Job(work, until, writes, loop, resolves)
        with self.wake:
            if self.ending:
                raise StoreFailure(
                    WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY, f"{self.name}: the store is being closed", "CLOSED"
                )
            if len(self.jobs) >= self.max_queued:
                raise StoreFailure(WriteOutcome.NEVER_RAN, Cause.TURNED_AWAY,
                                   f"{self.name}: {self.max_queued} writes wait already", "QUEUE")
            self.jobs.append(job)
            self.wake.notify()
        left = until - loop.time()
        done, _ = await asyncio.wait([job.future], timeout=None if until == NO_DEADLINE else max(0.0, left))
        if done:
            return job.future.result()
        with self.wake:
            if not job.started:
                # withdrawn before the worker took it: it never runs
                with contextlib.suppress(ValueError):
                    self.jobs.remove(job)
                job.started = True
                raise StoreFailure(
                    WriteOutcome.NEVER_RAN, Cause.TIMEOUT, f"{self.name}: the write was not started in time", "TIMEOUT"
                )
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
                    job.started = True
                    group.append(job)
            began = time.monotonic()
            if self.outcome_unknown:
                # whether the open write stands is read from the store, where another write would be mistaken for it
                for job in [job for job in group if job.writes and not job.resolves]:
                    group.remove(job)
                    job.settle(
                        None,
                        StoreFailure(
                            WriteOutcome.NEVER_RAN,
                            Cause.TURNED_AWAY,
                            f"{self.name}: whether its last "
                            "write stands is not known yet; nothing more is written till then",
                            "UNKNOWN_BEFORE",
                        ),
                    )
            if not group:
                continue
            done = self.commit(group)
            # only writes count: nobody resolves a group of reads, so it would block all writes for good
            self.outcome_unknown |= self.blocks_writes_if_unknown and any(
                job.writes and isinstance(problem, StoreFailure) and problem.outcome is WriteOutcome.UNKNOWN
                for job, _, problem in done)
            self.longest_commit_s = max(self.longest_commit_s, time.monotonic() - began)
            for job, result, problem in done:
                job.settle(result, problem)
            self.after()
