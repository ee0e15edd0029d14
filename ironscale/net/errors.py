"""What an error of a system call says: one table for the data path, after accept, connect, recv and send (2)."""

from __future__ import annotations

import enum
import errno


class Severity(enum.Enum):
    """What is to be done about a failed call."""

    AGAIN = "again"  # nothing has happened: the same call at the next occasion
    EXHAUSTED = "exhausted"  # this machine lacks something for now: the same call after a pause
    UNREACHABLE = "unreachable"  # the way there: on an open connection it may pass, a new one has failed
    PEER_GONE = "peer gone"  # this connection has ended
    FATAL = "fatal"  # the call is wrong and will go on failing


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
    return _SEVERITIES.get(error.errno or 0, Severity.FATAL)


def passes(error: BaseException) -> bool:
    """Whether what has failed may succeed a moment later: an error of the system, or one that it has caused."""
    cause: BaseException | None = error
    while cause is not None and not isinstance(cause, OSError):
        cause = cause.__cause__
    return cause is not None and severity(cause) in (Severity.AGAIN, Severity.EXHAUSTED)
