"""Errors of a store, and whether another attempt may succeed."""

from __future__ import annotations

import apsw

from ..transient_errors import is_transient


class StoreError(Exception):
    """The base of all errors of a store; the text is for the operator."""


class StoreUnusableError(StoreError):
    """The store cannot be used, and must not be touched: the configuration or the version is wrong."""


class StoreInUseError(StoreUnusableError):
    """Another process has the store open."""


class StoreUnavailableError(StoreError):
    """The store cannot be opened now, but may be later: the disk is full, or a system call failed."""


class StoreDamagedError(StoreError):
    """The store's content is damaged."""


# Raised by opening and checking a store whose content is damaged, or of which a read failed.
DAMAGE_ERRORS = (StoreDamagedError, ValueError, TypeError, apsw.CorruptError, apsw.NotADBError)
# Errors that may pass by themselves. All others are configuration errors.
# A corrupt database is among them: after the check of the whole content, it means a read that failed.
TRANSIENT_SQLITE_ERRORS = (apsw.FullError, apsw.IOError, apsw.NoMemError, apsw.CorruptError)


def may_succeed_later(error: Exception) -> bool:
    """Return whether it is a disk error that may not occur at the next attempt."""
    if isinstance(error, OSError):
        return is_transient(error)
    return isinstance(error, (*TRANSIENT_SQLITE_ERRORS, MemoryError))
