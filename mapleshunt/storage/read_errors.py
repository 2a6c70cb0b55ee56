"""A SQLite VFS that remembers whether a read failed.

SQLite reports an EIO of a read as a corrupt database. Whether a store is damaged or could not be read decides
if it is set aside, so the two have to be told apart where the read is made.
"""

from __future__ import annotations

import itertools

import apsw

_numbers = itertools.count(1)  # a name is registered once in a process


class ReadErrorVFS(apsw.VFS):
    """Forwards all calls to the VFS `base`; `failed` is whether a read of one of its files failed."""

    def __init__(self, base: str) -> None:
        """Register the VFS under a name of its own, `vfs_name`, until `unregister`."""
        self.failed = False
        self.vfs_name = f"read-errors-{next(_numbers)}"
        self.base_name = base
        super().__init__(self.vfs_name, base)

    def xOpen(self, name: str | apsw.URIFilename | None, flags: list[int]) -> ReadErrorFile:  # noqa: N802 - named by SQLite
        """Open a file of which failed reads are remembered."""
        return ReadErrorFile(self, name, flags)


class ReadErrorFile(apsw.VFSFile):
    """A file of which failed reads are remembered."""

    def __init__(self, vfs: ReadErrorVFS, name: str | apsw.URIFilename | None, flags: list[int]) -> None:
        """Open the file by the VFS below."""
        self.vfs = vfs
        super().__init__(vfs.base_name, name, flags)

    def xRead(self, amount: int, offset: int) -> bytes:  # noqa: N802 - named by SQLite
        """Read, and note a failure."""
        try:
            return super().xRead(amount, offset)
        except Exception:  # of any kind: SQLite tells none from damage
            self.vfs.failed = True
            raise
