"""A SQLite VFS that remembers whether a read failed.

SQLite reports an EIO of a read as a corrupt database. Whether a store is damaged or could not be read decides
if it is given up, so the two have to be told apart where the read is made.
"""

from __future__ import annotations

import itertools
from typing import Any

import apsw

_numbers = itertools.count(1)


class ReadErrorVFS(apsw.VFS):
    """Passes all calls on to the VFS `base`; `failed` is whether a read of one of its files failed."""

    def __init__(self, base: str) -> None:
        self.failed = False
        self.vfs_name = f"read-errors-{next(_numbers)}"
        self.base_name = base
        super().__init__(self.vfs_name, base)

    def xOpen(self, name: Any, flags: Any) -> ReadErrorFile:
        return ReadErrorFile(self, name, flags)


class ReadErrorFile(apsw.VFSFile):
    """A file of which failed reads are remembered."""

    def __init__(self, vfs: ReadErrorVFS, name: Any, flags: Any) -> None:
        self.vfs = vfs
        super().__init__(vfs.base_name, name, flags)

    def xRead(self, amount: int, offset: int) -> bytes:
        try:
            return super().xRead(amount, offset)
        except Exception:
            self.vfs.failed = True
            raise
