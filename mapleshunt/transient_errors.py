"""Errors of system calls that may pass by themselves, as opposed to errors of the configuration."""

from __future__ import annotations

import errno

TRANSIENT_ERRNOS = frozenset(
    {
        errno.EAGAIN,
        errno.EDQUOT,
        errno.EINTR,
        errno.EIO,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENOSPC,
    }
)


def is_transient(error: OSError) -> bool:
    """Return whether the same call may succeed shortly afterwards."""
    return error.errno in TRANSIENT_ERRNOS
