"""Errors of system calls that may pass by themselves, as against those that are a configuration's fault."""

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
    """Tell whether the same call may succeed in a moment."""
    return error.errno in TRANSIENT_ERRNOS
