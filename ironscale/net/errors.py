"""Classifies errors of system calls for the data path, by the manual pages of accept, connect, recv and send (2)."""

from __future__ import annotations

import enum
import errno


class Severity(enum.Enum):
    """How to react to a failed call."""

    AGAIN = "again"  # nothing has happened: retry at the next event
    EXHAUSTED = "exhausted"  # this machine lacks some resource for now: retry after a pause
    UNREACHABLE = "unreachable"  # network path failure: may pass on an open connection; a new connection has failed
    PEER_GONE = "peer gone"  # this connection has ended
    FATAL = "fatal"  # the call itself is wrong, and a retry would fail as well


_TABLE = {
    Severity.AGAIN: (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR),
    Severity.EXHAUSTED: (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC, errno.EDQUOT, errno.EIO,
                         errno.EADDRNOTAVAIL, errno.EADDRINUSE),
    Severity.UNREACHABLE: (errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENETDOWN, errno.EHOSTDOWN, errno.ENONET,
                           errno.ETIMEDOUT, errno.EPROTO, errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.EPERM),
    Severity.PEER_GONE: (errno.ECONNRESET, errno.ECONNABORTED, errno.ECONNREFUSED, errno.EPIPE, errno.ENOTCONN,
                         errno.ESHUTDOWN),
}
_SEVERITIES = {number: severity for severity, numbers in _TABLE.items() for number in numbers}


def severity(error: OSError) -> Severity:
    """Errors that are not in the table, or carry no number, are fatal."""
    return _SEVERITIES.get(error.errno or 0, Severity.FATAL)


def is_transient(error: BaseException) -> bool:
    """Whether a retry may succeed a moment later: judged by the OSError itself, or by the one that caused the error."""
    cause: BaseException | None = error
    while cause is not None and not isinstance(cause, OSError):
        cause = cause.__cause__
    return cause is not None and severity(cause) in (Severity.AGAIN, Severity.EXHAUSTED)
