"""A SQLite VFS that records whether a read failed.

SQLite reports an EIO of a read as a corrupt database. A damaged store is set aside, but not one that could
not be read, so the two have to be told apart where the read is made.
"""

from __future__ import annotations

import itertools

import apsw

_numbers = itertools.count(1)  # a name can be registered once per process


class ReadErrorVFS(apsw.VFS):
    """Forwards all calls to the VFS `base`; `failed` is whether a read of one of its files failed."""

    def __init__(self, base: str) -> None:
        """Register the VFS under a unique name, `vfs_name`, until `unregister`."""
        self.failed = False
        self.vfs_name = f"read-errors-{next(_numbers)}"
        self.base_name = base
        super().__init__(self.vfs_name, base)

    def xOpen(self, name: str | apsw.URIFilename | None, flags: list[int]) -> ReadErrorFile:  # noqa: N802 - named by SQLite
        """Open a file whose failed reads are recorded."""
        return ReadErrorFile(self, name, flags)


class ReadErrorFile(apsw.VFSFile):
    """A file whose failed reads are recorded."""

    def __init__(self, vfs: ReadErrorVFS, name: str | apsw.URIFilename | None, flags: list[int]) -> None:
        """Open the file through the base VFS."""
        self.vfs = vfs
        super().__init__(vfs.base_name, name, flags)

    def xRead(self, amount: int, offset: int) -> bytes:  # noqa: N802 - named by SQLite
        """Read, and record a failure."""
        try:
            return super().xRead(amount, offset)
        except Exception:  # of any kind: SQLite distinguishes none from damage
            self.vfs.failed = True
            raise
