"""What a store's error means: whether the write never ran or that is not known, and what it tells of the store. Pure.

Sources: PostgreSQL, Appendix A "Error Codes" and src/backend/replication/syncrep.c (a commit whose wait for a standby
is cancelled or whose backend is told to end has been committed locally); SQLite, "Result and Error Codes" and wal.c
(a commit whose sync failed lies in the log and may be found by a recovery until something is written over it).
"""

from __future__ import annotations

import enum

from ironscale.record.model import Cause, WriteOutcome


class TransactionStep(enum.Enum):
    """How far a write had come."""

    CONNECT = "connect"
    WORK = "work"  # statements before COMMIT
    COMMIT = "commit"  # COMMIT may have left this machine


def postgres_outcome(step: TransactionStep, sqlstate: str, severity: str) -> WriteOutcome:
    """PostgreSQL. Before COMMIT was sent nothing can be committed; what came after counts as not known unless the
    server says that it has rolled back. Unheard-of codes count as not known."""
    if step is not TransactionStep.COMMIT:
        return WriteOutcome.NEVER_RAN
    # FATAL and PANIC end the connection: they may come behind the commit itself
    if severity != "ERROR" or not sqlstate:
        return WriteOutcome.UNKNOWN
    if sqlstate in ("40003", "08007"):  # statement completion unknown, transaction resolution unknown
        return WriteOutcome.UNKNOWN
    # 22, 23: checks made at the commit; 25: the transaction had failed; 40: rolled back, by the code's own word
    return WriteOutcome.NEVER_RAN if sqlstate[:2] in ("22", "23", "25", "40") else WriteOutcome.UNKNOWN


def postgres_cause(step: TransactionStep, sqlstate: str) -> Cause:
    """PostgreSQL. An empty code is a connection that never came up or broke."""
    if not sqlstate:
        return Cause.UNREACHABLE if step is TransactionStep.CONNECT else Cause.BROKEN
    if sqlstate in ("40001", "40P01"):
        return Cause.RETRY
    if sqlstate == "57014":  # query cancelled: by us, or by the statement's own time
        return Cause.TIMEOUT
    # 25006 read-only (a former primary), 53 out of resources, 55P03 lock not available, 57P0x ending or starting
    if sqlstate in ("25006", "55P03") or sqlstate[:2] == "53" or sqlstate[:3] == "57P":
        return Cause.TURNED_AWAY
    if sqlstate[:2] in ("28", "3D", "42", "22", "54"):  # who we are, what we ask for: the same again fails again
        return Cause.UNUSABLE
    return Cause.BROKEN


SQLITE_TURNED_AWAY = frozenset(("SQLITE_BUSY", "SQLITE_LOCKED", "SQLITE_FULL", "SQLITE_READONLY", "SQLITE_NOMEM"))
SQLITE_UNUSABLE = frozenset(("SQLITE_CORRUPT", "SQLITE_NOTADB", "SQLITE_CANTOPEN", "SQLITE_PERM", "SQLITE_AUTH",
                             "SQLITE_SCHEMA", "SQLITE_ERROR", "SQLITE_MISMATCH", "SQLITE_TOOBIG"))


def sqlite_outcome(step: TransactionStep, name: str) -> WriteOutcome:
    """SQLite; `name` is the primary result code's. A busy COMMIT leaves the transaction open to be rolled back; any
    other error of a COMMIT may have left its frames in the log."""
    if step is not TransactionStep.COMMIT or name in ("SQLITE_BUSY", "SQLITE_CONSTRAINT"):
        return WriteOutcome.NEVER_RAN
    return WriteOutcome.UNKNOWN


def sqlite_cause(name: str) -> Cause:
    if name in SQLITE_TURNED_AWAY:
        return Cause.TURNED_AWAY
    return Cause.UNUSABLE if name in SQLITE_UNUSABLE else Cause.BROKEN
