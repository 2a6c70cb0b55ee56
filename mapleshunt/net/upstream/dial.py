"""What a failed dial tells: whether the endpoint was not reached, or this machine lacks a resource."""

from __future__ import annotations

import errno

from tornado.iostream import StreamClosedError

from .errors import DialError

# Errors of connect that come of this machine alone and tell nothing about the endpoint.
LOCAL_CONNECT_ERRORS = frozenset(
    {
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)


def dial_error(failure: StreamClosedError | OSError) -> DialError:
    """Word the failure of a stream's connect."""
    cause = failure.real_error if isinstance(failure, StreamClosedError) else failure
    return DialError(isinstance(cause, OSError) and cause.errno in LOCAL_CONNECT_ERRORS)
