"""A store that numbers its writes, so that a commit with an unknown outcome can be resolved by reading the store.

When the connection breaks during COMMIT, the transaction may or may not have been committed. Once the database can be
reached again, the number of its last write tells which. Until then the store accepts no further writes and the caller
gets the error UNKNOWN; if the write turns out to be committed, the caller's callback is called with its result.
"""

from __future__ import annotations

import abc
import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from ironscale.agent.sql import SqlRecords, Transaction
from ironscale.agent.store import Records, StoreError
from ironscale.agent.terms import Owner, Term
from ironscale.record.model import Cause, StoreFailure, WriteOutcome
from ironscale.record.worker import Worker

T = TypeVar("T")
X = TypeVar("X", bound=Transaction)
RESOLVE_TIMEOUT_S = 10.0  # how long a caller waits for the outcome of a write before UNKNOWN is raised
RESOLVE_RETRY_S = 0.5
CLOSE_TIMEOUT_S = 10.0
STORE_CODES = {
         "SQLITE_FULL": "FULL", "SQLITE_BUSY": "LOCKED", "SQLITE_LOCKED": "LOCKED", "SQLITE_READONLY": "READ_ONLY",
         "SQLITE_CANTOPEN": "READ_ONLY", "SQLITE_PERM": "READ_ONLY", "SQLITE_CORRUPT": "DAMAGED",
         "SQLITE_NOTADB": "DAMAGED", "NEWER": "NEWER", "53100": "FULL", "25006": "READ_ONLY", "LOCKED": "LOCKED",
         "TAKEN": "TAKEN", "LESS": "LESS", "UNKNOWN_BEFORE": "AWAY"}
PERMANENT_SQLSTATE_CLASSES = ("22", "23", "42")  # a retry of the statement would raise the same error


def to_store_error(found: StoreFailure) -> StoreError:
    """Converts a database error to a StoreError with a stable code."""
    failed = (found.code.startswith("SQLITE") or found.code[:2] in PERMANENT_SQLSTATE_CLASSES
              or found.cause is Cause.UNUSABLE)
    return StoreError(STORE_CODES.get(found.code) or ("FAILED" if failed else "AWAY"), str(found))


@dataclass(slots=True)
class _Write:
    """A write whose statements were executed, with its result. Whether it was committed may not be known yet."""

    on_late_commit: Callable[[Any], None] | None
    sequence_number: int = 0
    result: Any = None
    is_committed: bool | None = None
    has_waiter: bool = True


class SequencedStore(abc.ABC, Generic[X]):
    """A `Store` on a worker thread that accepts no writes while the outcome of an earlier one is unknown."""

    resolve_needs_write: bool  # whether `reached` must run in a transaction that writes

    def __init__(self, worker: Worker[X], dialect: str) -> None:
        self.worker, self.dialect = worker, dialect
        worker.blocks_writes_if_unknown = True
        self.current_group: X | None = None
        # Writes of the current group commit. Changed on the worker's thread, which is idle while an outcome is open.
        self.group_writes: list[_Write] = []
        self.resolving: asyncio.Task[None] | None = None
        self.late_commits = 0  # writes reported as UNKNOWN that turned out to be committed
        self.resolve_timeout_s = RESOLVE_TIMEOUT_S
        self.term = Term()

    @abc.abstractmethod
    def assign_sequence_number(self, records: SqlRecords) -> int:
        """Assigns the transaction's number, above all earlier ones, and stores it in the same transaction."""

    async def owner(self) -> Owner:
        """The store's owner as it is stored. Raises StoreError."""
        return Owner(self.term.epoch, "", "", 0)

    async def claim(self) -> None:
        """Makes this agent the store's owner. Raises StoreError, with LOCKED while another agent owns it."""

    async def release_ownership(self) -> None:  # noqa: B027 (a store that only one agent opens has no term)
        """Ends this agent's term in the store, if the store can be reached."""

    def on_write_confirmed(self) -> None:  # noqa: B027
        """Extends the term after a write was confirmed."""

    @abc.abstractmethod
    def last_sequence_number(self, records: SqlRecords) -> int:
        """The number of the last committed write, read so that no earlier commit can still take effect afterwards."""

    async def write(self, work: Callable[[Records], T], late: Callable[[T], None] | None = None) -> T:
        """Raises StoreError. With the code UNKNOWN the write may be committed; if it is, `late` is called with its
        result before anything else is written."""
        if self.resolving is not None:
            # This write was prepared without knowing the outcome of the open one, and may contradict it.
            raise StoreError("AWAY", f"{self.worker.name}: the outcome of the last write is not known yet; no writes "
                                     "are accepted until it is")
        write = _Write(late)

        def job(transaction: X) -> T:
            if transaction is not self.current_group:
                self.current_group, self.group_writes = transaction, []
            records = SqlRecords(transaction, self.dialect)
            result = write.result = work(records)
            records.write_pending_audit()
            write.sequence_number = self.assign_sequence_number(records)
            self.group_writes.append(write)
            return result

        try:
            result = await self.worker.run(job)
            self.on_write_confirmed()
            return result
        except StoreFailure as found:
            if found.outcome is not WriteOutcome.UNKNOWN:
                raise to_store_error(found) from found
            await self._wait_for_outcome(write, found)
            return write.result  # type: ignore[no-any-return]
        finally:
            write.has_waiter = False

    async def read(self, work: Callable[[Records], T]) -> T:
        try:
            return await self.worker.run(lambda transaction: work(SqlRecords(transaction, self.dialect)), writes=False)
        except StoreFailure as found:
            raise to_store_error(found) from found

    async def _wait_for_outcome(self, write: _Write, found: StoreFailure) -> None:
        """Returns once the write is known to be committed. Raises StoreError otherwise."""
        if write.is_committed is None:
            if self.resolving is None:
                self.resolving = asyncio.get_running_loop().create_task(self._resolve(self.group_writes))
            await asyncio.wait([self.resolving], timeout=self.resolve_timeout_s)
        if write.is_committed is None:
            raise StoreError("UNKNOWN", f"{found}; whether it was committed is not known yet; check again once the "
                                        "store is reachable") from found
        if not write.is_committed:
            raise to_store_error(
                StoreFailure(WriteOutcome.NEVER_RAN, found.cause, f"{found}; it was not committed", found.code)
            ) from found

    async def _resolve(self, writes: list[_Write]) -> None:
        """Retries until the store has answered, passes the outcome to the callers, and allows writes again."""
        while True:
            with contextlib.suppress(StoreFailure):
                reached = await self.worker.run(
                    lambda transaction: self.last_sequence_number(SqlRecords(transaction, self.dialect)),
                    writes=self.resolve_needs_write, resolves=True)
                break
            if self.worker.ending:
                return
            await asyncio.sleep(RESOLVE_RETRY_S)
        for write in writes:
            write.is_committed = write.sequence_number <= reached
            if write.is_committed and not write.has_waiter:
                self.late_commits += 1
                if write.on_late_commit is not None:
                    write.on_late_commit(write.result)
        self.resolving = None
        self.worker.outcome_unknown = False

    def close(self, wait_s: float = CLOSE_TIMEOUT_S) -> None:
        if self.resolving is not None:
            self.resolving.cancel()
        self.worker.stop(wait_s)
