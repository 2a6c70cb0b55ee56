"""The replicated log in memory: a snapshot, the entries after it, and the commit index."""

from __future__ import annotations

from .messages import Entry, Members, PersistentState, Snapshot


class RaftLog:
    """Entries of one group. Owns the snapshot, the entries, the commit index and the latest membership."""

    def __init__(self, stored: PersistentState) -> None:
        self.snapshot = stored.snapshot
        self.entries = list(stored.entries)
        self.commit_index = stored.snapshot.index  # committed entries are emitted to be applied at once
        self.members = self._find_members()  # in effect once in the log, committed or not

    def last_index(self) -> int:
        """Return the index of the last entry, or of the snapshot."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    def last_term(self) -> int:
        """Return the term of the last entry, or of the snapshot."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def last_stamp(self) -> float:
        """Return the log's time at the last entry, ms."""
        return self.entries[-1].stamp if self.entries else self.snapshot.stamp

    def first_index(self) -> int:
        """Return the index of the first entry that the log holds, or of the next if it is empty."""
        return self.entries[0].index if self.entries else self.snapshot.index + 1

    def term_at(self, index: int) -> int | None:
        """Return the term at an index; None if the entry is compacted or not in the log yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.first_index()
        return self.entries[position].term if 0 <= position < len(self.entries) else None

    def slice(self, start: int, end: int | None = None) -> list[Entry]:
        """Return the entries from index `start` up to, but not including, index `end`."""
        position = start - self.first_index()
        return self.entries[max(0, position) : None if end is None else end - self.first_index()]

    def has_uncommitted_change(self) -> bool:
        """Return whether the log holds an uncommitted membership change."""
        return any(entry.members is not None for entry in self.slice(self.commit_index + 1))

    def is_commit_of_term(self, term: int) -> bool:
        """Return whether the last committed entry is of the term: only then its leader knows all commits."""
        return self.term_at(self.commit_index) == term

    def append(self, entry: Entry) -> None:
        """Append an entry."""
        self.entries.append(entry)
        if entry.members is not None:
            self.members = entry.members

    def replace_from(self, first: int, entries: tuple[Entry, ...]) -> int:
        """Replace all entries from index `first` on by `entries`.

        Returns:
            The index of the last entry that was kept.
        """
        position = first - self.first_index()
        members_change = any(entry.members is not None for entry in (*self.entries[position:], *entries))
        del self.entries[position:]
        kept = self.last_index()
        self.entries.extend(entries)
        if members_change:
            self.members = self._find_members()
        return kept

    def install(self, snapshot: Snapshot) -> bool:
        """Replace the log up to a leader's snapshot.

        Returns:
            Whether the entries after it agree with it, and were kept.
        """
        agrees = self.term_at(snapshot.index) == snapshot.term
        self.entries = self.slice(snapshot.index + 1) if agrees else []
        self.snapshot = snapshot
        self.commit_index = snapshot.index
        self.members = self._find_members()
        return agrees

    def compact(self, index: int, data: bytes, retained: int) -> Snapshot | None:
        """Replace the entries up to `index` by a snapshot of the state, except the last `retained`.

        Returns:
            The snapshot; None if a snapshot that covers as much was installed meanwhile.
        """
        term = self.term_at(index)
        if term is None or not self.snapshot.index < index <= self.commit_index:
            return None
        entry = self.entries[index - self.first_index()]
        members = self.snapshot.members
        for compacted in self.slice(self.snapshot.index + 1, index + 1):
            members = compacted.members or members
        self.snapshot = Snapshot(index, term, entry.stamp, members, data)
        self.entries = self.slice(min(index + 1, max(self.first_index(), index + 1 - retained)))
        return self.snapshot

    def _find_members(self) -> Members:
        """Return the latest membership in the log; too slow for each step, so the result is cached."""
        for entry in reversed(self.entries):
            if entry.members is not None and entry.index > self.snapshot.index:
                return entry.members
        return self.snapshot.members
