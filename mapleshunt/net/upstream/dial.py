"""Errors of connect: was the endpoint not reached, or does this machine lack a resource?"""

from __future__ import annotations

import errno

from tornado.iostream import StreamClosedError

from .errors import DialError

# Errors of connect caused by this machine alone, which say nothing about the endpoint.
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
    """Return the error for a stream whose connect failed."""
    cause = failure.real_error if isinstance(failure, StreamClosedError) else failure
    return DialError(isinstance(cause, OSError) and cause.errno in LOCAL_CONNECT_ERRORS)
