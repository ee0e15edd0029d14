"""A store whose every write has a number, so that a write whose outcome is not known is told from the record itself.

A commit that broke off stands or does not: the record says so, once the store is reached again, by the number of the
last write that it holds. Until then nothing more is written, and who asked is told that it is not known; should the
write turn out to stand, he hears of it.
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
RESOLVE_S = 10.0  # who asked waits so long for the word whether his write stands
AGAIN_S = 0.5
CLOSE_S = 10.0
CODES = {"SQLITE_FULL": "FULL", "SQLITE_BUSY": "LOCKED", "SQLITE_LOCKED": "LOCKED", "SQLITE_READONLY": "READ_ONLY",
         "SQLITE_CANTOPEN": "READ_ONLY", "SQLITE_PERM": "READ_ONLY", "SQLITE_CORRUPT": "DAMAGED",
         "SQLITE_NOTADB": "DAMAGED", "NEWER": "NEWER", "53100": "FULL", "25006": "READ_ONLY", "LOCKED": "LOCKED",
         "TAKEN": "TAKEN", "LESS": "LESS", "UNKNOWN_BEFORE": "AWAY"}
REFUSED = ("22", "23", "42")  # SQLSTATE classes of a statement that fails again


def told(found: StoreFailure) -> StoreError:
    """What the store says, under a stable code."""
    failed = found.code.startswith("SQLITE") or found.code[:2] in REFUSED or found.cause is Cause.UNUSABLE
    return StoreError(CODES.get(found.code) or ("FAILED" if failed else "AWAY"), str(found))


@dataclass(slots=True)
class _Write:
    """One that was carried out, and what it gave; whether it stands is to be seen."""

    late: Callable[[Any], None] | None
    number: int = 0
    result: Any = None
    stands: bool | None = None
    waiting: bool = True


class KeptStore(abc.ABC, Generic[X]):
    """`Store` on a worker, which writes nothing more from the moment on that an outcome is open."""

    reaches_by_write: bool  # whether `reached` is asked within a transaction that writes

    def __init__(self, worker: Worker[X], dialect: str) -> None:
        self.worker, self.dialect = worker, dialect
        worker.blocks_writes_if_unknown = True
        self.group: X | None = None
        self.carried: list[_Write] = []  # of the group, on the worker's thread; it rests while an outcome is open
        self.resolving: asyncio.Task[None] | None = None
        self.stood = 0  # writes that were told as not known and turned out to stand
        self.resolve_s = RESOLVE_S
        self.term = Term()

    @abc.abstractmethod
    def mark(self, records: SqlRecords) -> int:
        """Within a write's transaction: its number, above all before; kept by the commit that keeps the write."""

    async def owner(self) -> Owner:
        """Whose the record is, by its own word. Raises StoreError."""
        return Owner(self.term.epoch, "", "", 0)

    async def claim(self) -> None:
        """Makes the record this agent's. Raises StoreError, LOCKED while another holds it."""

    async def give_up(self) -> None:  # noqa: B027 (a store that only one agent opens has no term)
        """Ends its term, as far as it can be told so."""

    def renewed(self) -> None:  # noqa: B027
        """A write has been confirmed: the term runs on from then."""

    @abc.abstractmethod
    def reached(self, records: SqlRecords) -> int:
        """The number of the last write that the record holds, in a transaction that no earlier commit can overtake."""

    async def write(self, work: Callable[[Records], T], late: Callable[[T], None] | None = None) -> T:
        """Raises StoreError; with the code UNKNOWN the work may stand, and if it does, `late` is called with its
        result before anything else is written."""
        if self.resolving is not None:
            # hazard: this one was made upon what was known before the open one's outcome
            raise StoreError("AWAY", f"{self.worker.name}: whether its last write stands is not known yet; nothing "
                                     "more is written till then")
        write = _Write(late)

        def job(transaction: X) -> T:
            if transaction is not self.group:
                self.group, self.carried = transaction, []
            records = SqlRecords(transaction, self.dialect)
            result = write.result = work(records)
            records.end()
            write.number = self.mark(records)
            self.carried.append(write)
            return result

        try:
            result = await self.worker.run(job)
            self.renewed()
            return result
        except StoreFailure as found:
            if found.outcome is not WriteOutcome.UNKNOWN:
                raise told(found) from found
            await self._settled(write, found)
            return write.result  # type: ignore[no-any-return]
        finally:
            write.waiting = False

    async def read(self, work: Callable[[Records], T]) -> T:
        try:
            return await self.worker.run(lambda transaction: work(SqlRecords(transaction, self.dialect)), writes=False)
        except StoreFailure as found:
            raise told(found) from found

    async def _settled(self, write: _Write, found: StoreFailure) -> None:
        """Returns once it is seen to stand. Raises StoreError."""
        if write.stands is None:
            if self.resolving is None:
                self.resolving = asyncio.get_running_loop().create_task(self._resolve(self.carried))
            await asyncio.wait([self.resolving], timeout=self.resolve_s)
        if write.stands is None:
            raise StoreError("UNKNOWN", f"{found}; whether it stands is not known yet; look again once the record is "
                                        "back") from found
        if not write.stands:
            raise told(StoreFailure(WriteOutcome.NEVER_RAN, found.cause, f"{found}; it was not kept",
                                    found.code)) from found

    async def _resolve(self, writes: list[_Write]) -> None:
        """Asks until it is told, then tells all who wait, and lets writes go on."""
        while True:
            with contextlib.suppress(StoreFailure):
                reached = await self.worker.run(
                    lambda transaction: self.reached(SqlRecords(transaction, self.dialect)),
                    writes=self.reaches_by_write, resolves=True)
                break
            if self.worker.ending:
                return
            await asyncio.sleep(AGAIN_S)
        for write in writes:
            write.stands = write.number <= reached
            if write.stands and not write.waiting:
                self.stood += 1
                if write.late is not None:
                    write.late(write.result)
        self.resolving = None
        self.worker.outcome_unknown = False

    def close(self, wait_s: float = CLOSE_S) -> None:
        if self.resolving is not None:
            self.resolving.cancel()
        self.worker.stop(wait_s)
