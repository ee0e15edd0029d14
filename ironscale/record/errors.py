"""Classifies the errors of a store: whether the write may have run, and what caused the error. Pure.

Sources: PostgreSQL, Appendix A "Error Codes" and src/backend/replication/syncrep.c (a commit whose wait for a standby
is cancelled or whose backend is told to end has been committed locally); SQLite, "Result and Error Codes" and wal.c
(a commit whose sync failed is in the write-ahead log, and a recovery may apply it until it is overwritten).
"""

from __future__ import annotations

import enum

from ironscale.record.model import Cause, WriteOutcome


class TransactionStep(enum.Enum):
    """The step of a transaction during which an error occurred."""

    CONNECT = "connect"
    WORK = "work"  # statements before COMMIT
    COMMIT = "commit"  # COMMIT may have been sent


def postgres_outcome(step: TransactionStep, sqlstate: str, severity: str) -> WriteOutcome:
    """Whether a PostgreSQL write may have run. Before COMMIT is sent nothing can be committed. An error after that
    leaves the outcome unknown unless the server says that it rolled back. Unlisted codes count as unknown."""
    if step is not TransactionStep.COMMIT:
        return WriteOutcome.NEVER_RAN
    # FATAL and PANIC end the connection and may be sent after the commit itself succeeded
    if severity != "ERROR" or not sqlstate:
        return WriteOutcome.UNKNOWN
    if sqlstate in ("40003", "08007"):  # statement completion unknown, transaction resolution unknown
        return WriteOutcome.UNKNOWN
    # 22, 23: a check at commit time failed; 25: the transaction had failed before; 40: class "transaction rollback"
    return WriteOutcome.NEVER_RAN if sqlstate[:2] in ("22", "23", "25", "40") else WriteOutcome.UNKNOWN


def postgres_cause(step: TransactionStep, sqlstate: str) -> Cause:
    """The cause of a PostgreSQL error. An empty SQLSTATE means that the connection failed or was lost."""
    if not sqlstate:
        return Cause.UNREACHABLE if step is TransactionStep.CONNECT else Cause.BROKEN
    if sqlstate in ("40001", "40P01"):
        return Cause.RETRY
    if sqlstate == "57014":  # query cancelled, by this client or by statement_timeout
        return Cause.TIMEOUT
    # 25006 read-only (a former primary), 53 out of resources, 55P03 lock not available, 57P0x shutting down or starting
    if sqlstate in ("25006", "55P03") or sqlstate[:2] == "53" or sqlstate[:3] == "57P":
        return Cause.TURNED_AWAY
    if sqlstate[:2] in ("28", "3D", "42", "22", "54"):  # credentials or statement rejected: a retry fails again
        return Cause.UNUSABLE
    return Cause.BROKEN


SQLITE_TURNED_AWAY = frozenset(("SQLITE_BUSY", "SQLITE_LOCKED", "SQLITE_FULL", "SQLITE_READONLY", "SQLITE_NOMEM"))
SQLITE_UNUSABLE = frozenset(("SQLITE_CORRUPT", "SQLITE_NOTADB", "SQLITE_CANTOPEN", "SQLITE_PERM", "SQLITE_AUTH",
                             "SQLITE_SCHEMA", "SQLITE_ERROR", "SQLITE_MISMATCH", "SQLITE_TOOBIG"))


def sqlite_outcome(step: TransactionStep, name: str) -> WriteOutcome:
    """Whether a SQLite write may have run; `name` is the name of the primary result code. After SQLITE_BUSY at COMMIT
    the transaction is still open and can be rolled back. Any other error at COMMIT may have left its frames in the
    write-ahead log."""
    if step is not TransactionStep.COMMIT or name in ("SQLITE_BUSY", "SQLITE_CONSTRAINT"):
        return WriteOutcome.NEVER_RAN
    return WriteOutcome.UNKNOWN


def sqlite_cause(name: str) -> Cause:
    """The cause of a SQLite error, by the name of its primary result code."""
    if name in SQLITE_TURNED_AWAY:
        return Cause.TURNED_AWAY
    return Cause.UNUSABLE if name in SQLITE_UNUSABLE else Cause.BROKEN
