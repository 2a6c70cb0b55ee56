"""Rows of one group: its snapshot, its vote and its log, each with a checksum."""

from __future__ import annotations

import apsw
import msgspec

from ..replication import messages as m
from .checksum import checksum
from .errors import StoreDamagedError
from .statements import run

SCHEMA = """
create table vote (grp integer primary key, term integer, vote text, sum integer);
create table log (grp integer, idx integer, data blob, sum integer, primary key (grp, idx)) without rowid;
create table snapshot (grp integer primary key, data blob, sum integer);
"""
TABLES = ("vote", "log", "snapshot")
LAST_INDEX = 1 << 62  # after every entry

_ENTRY: msgspec.msgpack.Decoder[m.Entry] = msgspec.msgpack.Decoder(m.Entry)
_SNAPSHOT: msgspec.msgpack.Decoder[m.Snapshot] = msgspec.msgpack.Decoder(m.Snapshot)


def load_groups(db: apsw.Connection) -> dict[int, m.PersistentState]:
    """Load and check all groups. Raises `StoreDamagedError`, and what decoding damaged rows raises."""
    groups = [row[0] for row in db.execute("select grp from snapshot order by grp")]
    orphans = "select 1 from log where grp not in (select grp from snapshot) limit 1"
    if list(db.execute(orphans)):
        raise StoreDamagedError("the log has entries of a group without a snapshot")
    return {group: load_group(db, group) for group in groups}


def load_group(db: apsw.Connection, group: int) -> m.PersistentState:
    """Load and check a group. Raises `StoreDamagedError`, and what decoding damaged rows raises."""
    ((data, sum_),) = db.execute("select data, sum from snapshot where grp = ?", (group,))
    if checksum("snapshot", group, data) != sum_:
        raise StoreDamagedError(f"the checksum of group {group}'s snapshot is wrong")
    snapshot = _SNAPSHOT.decode(data)
    votes = list(db.execute("select term, vote, sum from vote where grp = ?", (group,)))
    if len(votes) != 1 or checksum("vote", group, votes[0][0], votes[0][1]) != votes[0][2]:
        raise StoreDamagedError(f"group {group}'s vote is missing, or its checksum is wrong")
    entries = _load_entries(db, group, snapshot)
    return m.PersistentState(snapshot, votes[0][0], votes[0][1], entries)


def _load_entries(db: apsw.Connection, group: int, snapshot: m.Snapshot) -> tuple[m.Entry, ...]:
    entries: list[m.Entry] = []
    rows = db.execute("select idx, data, sum from log where grp = ? order by idx", (group,))
    for index, data, sum_ in rows:
        if checksum("log", group, index, data) != sum_:
            raise StoreDamagedError(f"the checksum of group {group}'s entry {index} is wrong")
        entry = _ENTRY.decode(data)
        previous = entries[-1].index if entries else min(snapshot.index, index - 1)
        is_next = entry.index == index and index == previous + 1
        if not is_next or entry.term < (entries or [entry])[-1].term:
            raise StoreDamagedError(f"group {group}'s log has a gap, or a lower term, at index {index}")
        entries.append(entry)
    return tuple(entries)


def save_snapshot(db: apsw.Connection, group: int, snapshot: m.Snapshot) -> None:
    """Replace the group's snapshot."""
    data = msgspec.msgpack.encode(snapshot)
    row = (group, data, checksum("snapshot", group, data))
    run(db, "replace into snapshot values (?, ?, ?)", row)


def save_vote(db: apsw.Connection, group: int, term: int, vote: m.Replica) -> None:
    """Replace the group's term and vote."""
    row = (group, term, vote, checksum("vote", group, term, vote))
    run(db, "replace into vote values (?, ?, ?, ?)", row)


def save_write(db: apsw.Connection, group: int, write: m.Write) -> None:
    """Save a write of the group's replica, within the caller's transaction."""
    if write.snapshot is not None:
        save_snapshot(db, group, write.snapshot)
        last = LAST_INDEX if write.reset else write.snapshot.index
        run(db, "delete from log where grp = ? and idx <= ?", (group, last))
    if write.entries:
        _replace_entries(db, group, write.entries)
    save_vote(db, group, write.term, write.vote)


def _replace_entries(db: apsw.Connection, group: int, entries: tuple[m.Entry, ...]) -> None:
    run(db, "delete from log where grp = ? and idx >= ?", (group, entries[0].index))
    rows = []
    for entry in entries:
        data = msgspec.msgpack.encode(entry)
        rows.append((group, entry.index, data, checksum("log", group, entry.index, data)))
    db.executemany("insert into log values (?, ?, ?, ?)", rows)


def delete_group(db: apsw.Connection, group: int) -> None:
    """Delete all rows of a group."""
    for table in TABLES:
        run(db, f"delete from {table} where grp = ?", (group,))


def delete_all_groups(db: apsw.Connection) -> None:
    """Delete the rows of all groups."""
    for table in TABLES:
        run(db, f"delete from {table}")
