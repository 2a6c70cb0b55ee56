"""One SQLite database for all groups of a gateway, by apsw: what a copy has to find again after its end.

SQLite's write-ahead log is checksummed and a commit is one `fsync`; pages that rot on the disk it does not
notice, so every row carries a checksum of its own (xxHash). What does not add up as a whole is not guessed
at: the database is set aside, and the gateway comes back as another incarnation, with nothing.

Each open counts `boot` up, durably, before anything else is said, and adds a random part. Others remember the
highest they met: a disk that was put back from an older copy counts from less, or to a number that was there
with another random part, and is known by it.
"""

from __future__ import annotations

import contextlib
import os
import secrets
import struct
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

import apsw
import msgspec
import xxhash

from ..replication import messages as m
from ..transient_errors import is_transient
from .read_errors import ReadErrorVFS

FORMAT = 1
FILE_NAME = "copies.db"
BUSY = 200  # ms to wait for another process to let go
ENTRY: msgspec.msgpack.Decoder[m.Entry] = msgspec.msgpack.Decoder(m.Entry)
SNAPSHOT: msgspec.msgpack.Decoder[m.Snapshot] = msgspec.msgpack.Decoder(m.Snapshot)
GENERATIONS: msgspec.msgpack.Decoder[dict[int, int]] = msgspec.msgpack.Decoder(dict[int, int])
KNOWN: msgspec.msgpack.Decoder[dict[str, int]] = msgspec.msgpack.Decoder(dict[str, int])
SCHEMA = """
create table meta (key text primary key, value blob, sum integer) without rowid;
create table vote (grp integer primary key, term integer, vote text, sum integer);
create table log (grp integer, idx integer, data blob, sum integer, primary key (grp, idx)) without rowid;
create table snapshot (grp integer primary key, data blob, sum integer);
"""


class StoreError(Exception):
    """The store cannot be used, and must not be touched; its text is for the operator."""


class StoreInUseError(StoreError):
    """Another process has the store open."""


class StoreUnavailableError(Exception):
    """The store cannot be opened now, and may be later: the disk is full, or a call failed."""


class StoreDamagedError(Exception):
    """What the store holds is not whole."""


# What opening and checking a store raises if its content is damaged, or if a read of it failed.
DAMAGE = (StoreDamagedError, ValueError, TypeError, apsw.CorruptError, apsw.NotADBError)
# Errors that may pass by themselves. All others are the fault of the configuration.
# A corrupt database stands here too: behind the check of the whole content it is a read that failed.
PASSING_SQLITE_ERRORS = (apsw.FullError, apsw.IOError, apsw.NoMemError, apsw.CorruptError)


def may_succeed_later(error: Exception) -> bool:
    """Is it an error of the disk that may be gone at the next attempt?"""
    if isinstance(error, OSError):
        return is_transient(error)
    return isinstance(error, (*PASSING_SQLITE_ERRORS, MemoryError))


def checksum(*parts: int | str | bytes) -> int:
    """Of the parts and where each ends; fits SQLite's signed integers."""
    sum_ = xxhash.xxh3_64()
    for part in parts:
        raw = part if isinstance(part, bytes) else str(part).encode()
        sum_.update(struct.pack("<Q", len(raw)))
        sum_.update(raw)
    return sum_.intdigest() - (1 << 63)


def next_boot(boot: int) -> int:
    """The count in the upper bits, chance in the lower 32."""
    return ((boot >> 32) + 1) << 32 | secrets.randbits(32)


class DurableStore:
    """Open and checked. Its methods block: the writer's thread calls `commit`."""

    def __init__(self, folder: Path, fleet: str, name: str, vfs: str | None = None) -> None:
        """Raises `StoreError`: another fleet's, another gateway's or a newer format's, in use, or a folder
        that cannot be written to. Raises `StoreUnavailableError` where another attempt may succeed.
        """
        self.folder, self.path, self.vfs = folder, folder / FILE_NAME, vfs
        self.set_aside = ""  # where a damaged one went
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._open_whole(fleet, name)
            self._begin_boot()
        except BaseException as error:
            self._close_after_failure()
            if isinstance(error, apsw.BusyError):
                raise StoreInUseError(f"{self.path} is in use by another process") from None
            if isinstance(error, (OSError, apsw.Error, MemoryError)):
                kind = StoreUnavailableError if may_succeed_later(error) else StoreError
                raise kind(f"{self.path} cannot be used: {error}") from None
            raise

    # Statements. The library releases Python's global lock while it steps through one, and holds it in its
    # own transactions, at the end of a statement that was not stepped to its end, and while it closes: syncs
    # there would stop the whole process for as long as the disk takes.

    def _run(self, sql: str, values: Sequence[int | str | bytes] = ()) -> None:
        """Step through to the end."""
        for _ in self.db.execute(sql, tuple(values)):
            pass

    @contextlib.contextmanager
    def _transaction(self) -> Iterator[None]:
        """All that is written within is durable together, or none of it is."""
        self._run("begin immediate")
        try:
            yield
            self._run("commit")
        except BaseException:
            if self.db.in_transaction:  # some errors have ended it
                with contextlib.suppress(apsw.Error):
                    self._run("rollback")
            raise

    def _close_after_failure(self) -> None:
        with contextlib.suppress(AttributeError, apsw.Error):  # no attribute: it was never opened
            self.db.close(force=True)

    def _open_whole(self, fleet: str, name: str) -> None:
        """Open the store and load it; a damaged one is set aside, and an empty one opened in its place."""
        try:
            self._open(fleet, name, self.vfs)
            self.loaded = self._load_all()
            return
        except DAMAGE:
            self._close_after_failure()
        damage = self._damage(fleet, name)
        if damage is None:
            self._open(fleet, name, self.vfs)
            self.loaded = self._load_all()
        else:
            self._put_aside(damage)
            self._open(fleet, name, self.vfs)
            self.loaded = {}

    def _damage(self, fleet: str, name: str) -> str | None:
        """What is wrong with the store's content; None if it is whole. Raises `StoreUnavailableError` if a
        read failed: what cannot be read is not damaged.
        """
        reads = ReadErrorVFS(self.vfs or "")
        try:
            self._open(fleet, name, reads.vfs_name)
            self._load_all()
            return None
        except DAMAGE as error:
            if reads.failed:
                raise StoreUnavailableError(f"{self.path} cannot be read: {error}") from None
            return str(error)
        finally:
            self._close_after_failure()
            reads.unregister()

    def _open(self, fleet: str, name: str, vfs: str | None) -> None:
        self.db = apsw.Connection(str(self.path), vfs=vfs)
        self.db.set_busy_timeout(BUSY)
        self._run("pragma locking_mode = exclusive")
        self._run("pragma journal_mode = wal")
        self._run("pragma synchronous = full")
        with self._transaction():
            if not list(self.db.execute("select 1 from sqlite_schema where name = 'meta'")):
                self._run(SCHEMA)
                self._put("format", str(FORMAT).encode())
                self._put("fleet", fleet.encode())
                self._put("name", name.encode())
                self._put("incarnation", secrets.token_hex(8).encode())
                self._put("boot", b"0")
                self._put("known", msgspec.msgpack.encode({}))
                self._put("formed", b"0")
        if int(self._get("format")) > FORMAT:
            raise StoreError(f"{self.path} is of a newer format: run the newer version, or empty the folder")
        for key, mine in ("fleet", fleet), ("name", name):
            if (held := self._get(key).decode("utf-8", "replace")) != mine:
                raise StoreError(f"{self.path} is of the {key} {held!r}, not of {mine!r}")
        self.incarnation = self._get("incarnation").decode("ascii", "replace")
        self.boot = int(self._get("boot"))
        self.known = KNOWN.decode(self._get("known"))  # the highest boot met, by incarnation
        self.formed = int(self._get("formed"))  # groups that there are, by bit
        there = list(self.db.execute("select 1 from meta where key = 'generations'"))
        self.generations = GENERATIONS.decode(self._get("generations")) if there else {}

    def _begin_boot(self) -> None:
        self.boot = next_boot(self.boot)
        with self._transaction():
            self._put("boot", str(self.boot).encode())

    def _put_aside(self, why: str) -> None:
        for number in range(1, 1000):
            aside = self.folder / f"damaged-{number}"
            if not aside.exists():
                aside.mkdir()
                break
        for file in list(self.folder.glob(FILE_NAME + "*")):
            os.replace(file, aside / file.name)
        self.set_aside = f"{aside} ({why})"

    def renew(self) -> None:
        """Begin a new incarnation with nothing: others know more of this one than its disk does."""
        with self._transaction():
            for table in ("vote", "log", "snapshot"):
                self._run(f"delete from {table}")
            self.incarnation, self.boot, self.loaded = secrets.token_hex(8), next_boot(0), {}
            self._put("incarnation", self.incarnation.encode())
            self._put("boot", str(self.boot).encode())

    def know(self, known: dict[str, int], formed: int) -> None:
        """Keep the highest boots that were met, and which groups there are."""
        self.known, self.formed = known, formed
        with self._transaction():
            self._put("known", msgspec.msgpack.encode(known))
            self._put("formed", str(formed).encode())

    def _get(self, key: str) -> bytes:
        for value, sum_ in self.db.execute("select value, sum from meta where key = ?", (key,)):
            if not isinstance(value, bytes) or checksum(key, value) != sum_:
                raise StoreDamagedError(f"the checksum of {key!r} is wrong")
            return value
        raise StoreDamagedError(f"{key!r} is missing")

    def _put(self, key: str, value: bytes) -> None:
        self._run("replace into meta values (?, ?, ?)", (key, value, checksum(key, value)))

    # Groups

    def _load_all(self) -> dict[int, m.PersistentState]:
        groups = [row[0] for row in self.db.execute("select grp from snapshot order by grp")]
        orphans = "select 1 from log where grp not in (select grp from snapshot) limit 1"
        if list(self.db.execute(orphans)):
            raise StoreDamagedError("entries of a group without a snapshot")
        return {group: self._load(group) for group in groups}

    def _load(self, group: int) -> m.PersistentState:
        ((data, sum_),) = self.db.execute("select data, sum from snapshot where grp = ?", (group,))
        if checksum("snapshot", group, data) != sum_:
            raise StoreDamagedError(f"the checksum of group {group}'s snapshot is wrong")
        snapshot = SNAPSHOT.decode(data)
        votes = list(self.db.execute("select term, vote, sum from vote where grp = ?", (group,)))
        if len(votes) != 1 or checksum("vote", group, votes[0][0], votes[0][1]) != votes[0][2]:
            raise StoreDamagedError(f"group {group}'s vote is missing, or its checksum is wrong")
        entries: list[m.Entry] = []
        for index, data, sum_ in self.db.execute(
            "select idx, data, sum from log where grp = ? order by idx", (group,)
        ):
            if checksum("log", group, index, data) != sum_:
                raise StoreDamagedError(f"the checksum of group {group}'s entry {index} is wrong")
            entry = ENTRY.decode(data)
            after = entries[-1].index if entries else min(snapshot.index, index - 1)
            if entry.index != index or index != after + 1 or entry.term < (entries or [entry])[-1].term:
                raise StoreDamagedError(f"group {group}'s log has a gap or a turn at {index}")
            entries.append(entry)
        return m.PersistentState(snapshot, votes[0][0], votes[0][1], tuple(entries))

    def create(self, group: int, snapshot: m.Snapshot) -> m.PersistentState:
        """A group that this gateway has no copy of yet."""
        stored = m.PersistentState(snapshot, snapshot.term)
        with self._transaction():
            self._snapshot(group, snapshot)
            self._vote(group, snapshot.term, "")
        self.loaded[group] = stored
        return stored

    def forget(self, group: int, generation: int) -> None:
        """The group went on elsewhere, in that generation, without what this copy holds."""
        with self._transaction():
            for table in ("vote", "log", "snapshot"):
                self._run(f"delete from {table} where grp = ?", (group,))
            self._begin_generation(group, generation)
        self.loaded.pop(group, None)

    def recover(self, group: int, generation: int, me: m.Replica) -> m.PersistentState:
        """Go on with what this copy holds, committed or not, as the only one that decides."""
        held = self._load(group)
        last = held.entries[-1] if held.entries else None
        index, stamp = (last.index, last.stamp) if last else (held.snapshot.index, held.snapshot.stamp)
        term = max(held.term, last.term if last else held.snapshot.term) + 1
        entry = m.Entry(index + 1, term, stamp, members=m.Members((me,)))
        write = m.Write(0, term, "", (entry,))
        self.commit([(group, write)], lambda: self._begin_generation(group, generation))
        return self._load(group)

    def _begin_generation(self, group: int, generation: int) -> None:
        self.generations = {**self.generations, group: generation}
        self._put("generations", msgspec.msgpack.encode(self.generations))

    def _snapshot(self, group: int, snapshot: m.Snapshot) -> None:
        data = msgspec.msgpack.encode(snapshot)
        row = (group, data, checksum("snapshot", group, data))
        self._run("replace into snapshot values (?, ?, ?)", row)

    def _vote(self, group: int, term: int, vote: str) -> None:
        row = (group, term, vote, checksum("vote", group, term, vote))
        self._run("replace into vote values (?, ?, ?, ?)", row)

    def commit(self, writes: Sequence[tuple[int, m.Write]], beside: Callable[[], None] | None = None) -> None:
        """Make the writes, and what is put `beside`, durable in one commit, all or none. Raises apsw.Error;
        it may be tried again.
        """
        with self._transaction():
            if beside is not None:
                beside()
            for group, write in writes:
                if write.snapshot is not None:
                    self._snapshot(group, write.snapshot)
                    last = 1 << 62 if write.reset else write.snapshot.index
                    self._run("delete from log where grp = ? and idx <= ?", (group, last))
                if write.entries:
                    first = write.entries[0].index
                    self._run("delete from log where grp = ? and idx >= ?", (group, first))
                    rows = []
                    for entry in write.entries:
                        data = msgspec.msgpack.encode(entry)
                        rows.append((group, entry.index, data, checksum("log", group, entry.index, data)))
                    self.db.executemany("insert into log values (?, ?, ?, ?)", rows)
                self._vote(group, write.term, write.vote)

    def close(self) -> None:
        with contextlib.suppress(apsw.Error):  # what stays in the write-ahead log the next open reads
            self._run("pragma wal_checkpoint(truncate)")
        self.db.close()
