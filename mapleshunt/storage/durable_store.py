"""One SQLite database with the durable state of a gateway's replicas, of all groups.

A commit is one `fsync` of SQLite's write-ahead log. Every row has its own checksum. A store that is not
consistent as a whole is not repaired: the database is set aside, and the gateway returns as another
incarnation, with an empty store.

Each opening makes a new boot number durable before the gateway sends anything (see `replication.boots`). A
disk that was restored from an older copy is detected by it: its boot number has a lower count than the known
one, or the same count with other random bits.
"""

from __future__ import annotations

import contextlib
import os
import secrets
from collections.abc import Callable, Sequence
from pathlib import Path

import apsw
import msgspec

from ..replication import messages as m
from ..replication.boots import RANDOM_BITS
from . import group_rows
from .checksum import checksum
from .errors import (
    DAMAGE_ERRORS,
    StoreDamagedError,
    StoreInUseError,
    StoreUnavailableError,
    StoreUnusableError,
    may_succeed_later,
)
from .read_errors import ReadErrorVFS
from .statements import run, transaction

FORMAT = 1  # of the tables; a store with a higher one is rejected
FILE_NAME = "copies.db"  # stored: must not change, although the code says replicas
BUSY_TIMEOUT_MS = 200  # for another process to close the store
MAX_DAMAGED_STORES = 1000  # in one folder; the next one overwrites the last
META_SCHEMA = "create table meta (key text primary key, value blob, sum integer) without rowid;"
SCHEMA = f"\n{META_SCHEMA}{group_rows.SCHEMA}"

_GENERATIONS: msgspec.msgpack.Decoder[dict[int, int]] = msgspec.msgpack.Decoder(dict[int, int])
_KNOWN_BOOTS: msgspec.msgpack.Decoder[dict[str, int]] = msgspec.msgpack.Decoder(dict[str, int])


def _next_boot(boot: int) -> int:
    """Return a boot number with the next count in the upper bits, and random bits in the lower ones."""
    return ((boot >> RANDOM_BITS) + 1) << RANDOM_BITS | secrets.randbits(RANDOM_BITS)


class DurableStore:
    """An open and checked store. Its methods block; in a gateway, the writer's thread calls them.

    Attributes:
        incarnation: Of this gateway, created with the store.
        boot: The number of this opening.
        known_boots: The newest boot seen of each incarnation.
        formed_groups: Bit mask of the groups that have been formed in the fleet.
        generations: The latest, of groups that an operator recovered.
        groups: The state of each group as of the opening of the store, or of its creation since.
        set_aside: Where a damaged store was moved, and the reason; empty if there was none.
    """

    def __init__(self, folder: Path, fleet: str, name: str, vfs: str | None = None) -> None:
        """Open, check and load the store of the gateway `name`.

        Raises:
            StoreUnusableError: It belongs to another fleet or gateway, has a newer format or is in use,
                or the folder cannot be written to.
            StoreUnavailableError: Another attempt may succeed.
        """
        self.folder = folder
        self.path = folder / FILE_NAME
        self.vfs = vfs
        self.set_aside = ""
        self.groups: dict[int, m.PersistentState] = {}
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._open_or_set_aside(fleet, name)
            self._begin_boot()
        except BaseException as error:
            self._close_after_failure()
            if isinstance(error, apsw.BusyError):
                raise StoreInUseError(f"{self.path} is in use by another process") from None
            if isinstance(error, (OSError, apsw.Error, MemoryError)):
                kind = StoreUnavailableError if may_succeed_later(error) else StoreUnusableError
                raise kind(f"{self.path} cannot be used: {error}") from None
            raise

    def _close_after_failure(self) -> None:
        with contextlib.suppress(AttributeError, apsw.Error):  # no attribute: not opened yet
            self.db.close(force=True)

    # Opening

    def _open_or_set_aside(self, fleet: str, name: str) -> None:
        """Open and load the store; set a damaged one aside and open an empty one in its place."""
        try:
            self._open_and_load(fleet, name)
        except DAMAGE_ERRORS:
            self._close_after_failure()
        else:
            return
        damage = self._find_damage(fleet, name)
        if damage is None:
            self._open_and_load(fleet, name)
            return
        self._move_aside(damage)
        self._open(fleet, name, self.vfs)
        self.groups = {}

    def _open_and_load(self, fleet: str, name: str) -> None:
        self._open(fleet, name, self.vfs)
        self.groups = group_rows.load_groups(self.db)

    def _find_damage(self, fleet: str, name: str) -> str | None:
        """Return what is damaged in the store's content; None if nothing is.

        Raises:
            StoreUnavailableError: A read failed, which does not mean damage.
        """
        reads = ReadErrorVFS(self.vfs or "")
        try:
            self._open(fleet, name, reads.vfs_name)
            group_rows.load_groups(self.db)
        except DAMAGE_ERRORS as error:
            if reads.failed:
                raise StoreUnavailableError(f"{self.path} cannot be read: {error}") from None
            return str(error)
        else:
            return None
        finally:
            self._close_after_failure()
            reads.unregister()

    def _open(self, fleet: str, name: str, vfs: str | None) -> None:
        self.db = apsw.Connection(str(self.path), vfs=vfs)
        self.db.set_busy_timeout(BUSY_TIMEOUT_MS)
        run(self.db, "pragma locking_mode = exclusive")
        run(self.db, "pragma journal_mode = wal")
        run(self.db, "pragma synchronous = full")
        with transaction(self.db):
            if not list(self.db.execute("select 1 from sqlite_schema where name = 'meta'")):
                self._create_tables(fleet, name)
        if int(self._get("format")) > FORMAT:
            raise StoreUnusableError(
                f"{self.path} is of a newer format than {FORMAT}: run the newer version, or empty the folder"
            )
        for key, expected in ("fleet", fleet), ("name", name):
            if (stored := self._get(key).decode("utf-8", "replace")) != expected:
                raise StoreUnusableError(f"{self.path} is of the {key} {stored!r}, not of {expected!r}")
        self._load_meta()

    def _create_tables(self, fleet: str, name: str) -> None:
        run(self.db, SCHEMA)
        self._put("format", str(FORMAT).encode())
        self._put("fleet", fleet.encode())
        self._put("name", name.encode())
        self._put("incarnation", secrets.token_hex(8).encode())
        self._put("boot", b"0")
        self._put("known", msgspec.msgpack.encode({}))
        self._put("formed", b"0")

    def _load_meta(self) -> None:
        self.incarnation = self._get("incarnation").decode("ascii", "replace")
        self.boot = int(self._get("boot"))
        self.known_boots = _KNOWN_BOOTS.decode(self._get("known"))
        self.formed_groups = int(self._get("formed"))
        has_generations = list(self.db.execute("select 1 from meta where key = 'generations'"))
        self.generations = _GENERATIONS.decode(self._get("generations")) if has_generations else {}

    def _begin_boot(self) -> None:
        self.boot = _next_boot(self.boot)
        with transaction(self.db):
            self._put("boot", str(self.boot).encode())

    def _move_aside(self, reason: str) -> None:
        for number in range(1, MAX_DAMAGED_STORES):
            target = self.folder / f"damaged-{number}"
            if not target.exists():
                target.mkdir()
                break
        for file in list(self.folder.glob(FILE_NAME + "*")):
            os.replace(file, target / file.name)
        self.set_aside = f"{target} ({reason})"

    def _get(self, key: str) -> bytes:
        for value, sum_ in self.db.execute("select value, sum from meta where key = ?", (key,)):
            if not isinstance(value, bytes) or checksum(key, value) != sum_:
                raise StoreDamagedError(f"the checksum of {key!r} is wrong")
            return value
        raise StoreDamagedError(f"{key!r} is missing")

    def _put(self, key: str, value: bytes) -> None:
        run(self.db, "replace into meta values (?, ?, ?)", (key, value, checksum(key, value)))

    # The gateway

    def renew(self) -> None:
        """Begin a new, empty incarnation: others know a later state of this one than its disk holds.

        Raises `apsw.Error`; it may be retried.
        """
        with transaction(self.db):
            group_rows.delete_all_groups(self.db)
            self.incarnation = secrets.token_hex(8)
            self.boot = _next_boot(0)
            self.groups = {}
            self._put("incarnation", self.incarnation.encode())
            self._put("boot", str(self.boot).encode())

    def save_fleet_knowledge(self, known_boots: dict[str, int], formed_groups: int) -> None:
        """Store the newest known boots, and which groups have been formed. Raises `apsw.Error`."""
        self.known_boots = known_boots
        self.formed_groups = formed_groups
        with transaction(self.db):
            self._put("known", msgspec.msgpack.encode(known_boots))
            self._put("formed", str(formed_groups).encode())

    # Groups

    def create(self, group: int, snapshot: m.Snapshot) -> m.PersistentState:
        """Create the replica of a group that this gateway does not hold yet. Raises `apsw.Error`."""
        stored = m.PersistentState(snapshot, snapshot.term)
        with transaction(self.db):
            group_rows.save_snapshot(self.db, group, snapshot)
            group_rows.save_vote(self.db, group, snapshot.term, "")
        self.groups[group] = stored
        return stored

    def delete_group(self, group: int, generation: int) -> None:
        """Delete a group, which continues elsewhere in that generation without this replica.

        Raises `apsw.Error`; it may be retried.
        """
        with transaction(self.db):
            group_rows.delete_group(self.db, group)
            self._begin_generation(group, generation)
        self.groups.pop(group, None)

    def recover(self, group: int, generation: int, me: m.Replica) -> m.PersistentState:
        """Continue a group from this replica's log, committed or not, with it as the only voter.

        Raises `apsw.Error`, and `StoreDamagedError` if the group's rows are damaged.
        """
        stored = group_rows.load_group(self.db, group)
        last = stored.entries[-1] if stored.entries else stored.snapshot
        term = max(stored.term, last.term) + 1
        entry = m.Entry(last.index + 1, term, last.stamp, members=m.Members((me,)))
        write = m.Write(0, term, "", (entry,))
        self.commit([(group, write)], lambda: self._begin_generation(group, generation))
        return group_rows.load_group(self.db, group)

    def _begin_generation(self, group: int, generation: int) -> None:
        self.generations = {**self.generations, group: generation}
        self._put("generations", msgspec.msgpack.encode(self.generations))

    def commit(
        self, writes: Sequence[tuple[int, m.Write]], write_more: Callable[[], None] | None = None
    ) -> None:
        """Make the writes, and what `write_more` writes, durable in one commit, all or none.

        Raises `apsw.Error`; it may be retried.
        """
        with transaction(self.db):
            if write_more is not None:
                write_more()
            for group, write in writes:
                group_rows.save_write(self.db, group, write)

    def close(self) -> None:
        """Close the database. Raises `apsw.Error`."""
        with contextlib.suppress(apsw.Error):  # the next opening reads what stays in the write-ahead log
            run(self.db, "pragma wal_checkpoint(truncate)")
        self.db.close()
