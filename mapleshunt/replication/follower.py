"""The follower's handling of the leader's entries and snapshots (thesis, 3.5 and 5)."""

from __future__ import annotations

from dataclasses import dataclass, field

from .applier import Applier
from .election import Election
from .messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    Replica,
    RestoreSnapshot,
    Snapshot,
    SnapshotChunk,
    SnapshotChunkAck,
)
from .outbox import Outbox
from .raft_log import RaftLog


@dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is being received in chunks."""

    index: int
    term: int
    sender: Replica
    data: bytearray = field(default_factory=bytearray)

    def is_of(self, sender: Replica, chunk: SnapshotChunk) -> bool:
        """Return whether the chunk belongs to this snapshot."""
        return (self.index, self.term, self.sender) == (chunk.index, chunk.snapshot_term, sender)


class Follower:
    """Stores a leader's entries and snapshots in the log. Owns the snapshot that is being received."""

    def __init__(self, election: Election, log: RaftLog, outbox: Outbox, applier: Applier) -> None:
        self.election = election
        self.log = log
        self.outbox = outbox
        self.applier = applier
        self._incoming: IncomingSnapshot | None = None

    def on_append_entries(self, now: float, sender: Replica, message: AppendEntries) -> None:
        """Store the entries if the log matches the leader's before them; respond how far it matches."""
        if not self.election.accept_leader(now, sender, message.term):
            self._respond(sender, False, self.log.last_index(), 0)
            return
        previous, entries = message.previous_index, message.entries
        commit = self.log.commit_index
        if previous < commit:  # committed entries are the same on all replicas
            entries = tuple(entry for entry in entries if entry.index > commit)
            last = message.entries[-1].index if message.entries else previous
            previous = max(previous, min(commit, last))
        elif self.log.term_at(previous) != message.previous_term:
            self._respond(sender, False, self._agreement_hint(message), message.round)
            return
        self._store(entries)
        agreed = entries[-1].index if entries else previous
        if min(message.leader_commit, agreed) > self.log.commit_index:
            self.applier.commit_to(min(message.leader_commit, agreed))
        self._respond(sender, True, agreed, message.round)

    def _agreement_hint(self, message: AppendEntries) -> int:
        """Return the index at which the leader is to look for agreement next."""
        log = self.log
        hint = min(message.previous_index - 1, log.last_index())
        while hint > log.commit_index and (log.term_at(hint) or 0) > message.previous_term:
            hint -= 1
        return max(hint, log.commit_index)

    def _store(self, entries: tuple[Entry, ...]) -> None:
        """Store the entries that the log lacks, in place of any that conflict with them."""
        new = tuple(entry for entry in entries if self.log.term_at(entry.index) != entry.term)
        if not new:
            return
        new = entries[entries.index(new[0]) :]
        kept = self.log.replace_from(new[0].index, new)
        self.outbox.truncate_log(kept)
        self._write(new)

    def on_snapshot_chunk(self, now: float, sender: Replica, chunk: SnapshotChunk) -> None:
        """Store a chunk of the leader's snapshot, and install the snapshot with its last chunk."""
        if not self.election.accept_leader(now, sender, chunk.term):
            self._respond(sender, False, self.log.last_index(), 0)
            return
        if chunk.index <= self.log.commit_index:
            self._respond(sender, True, self.log.commit_index, chunk.round)
            return
        incoming = self._incoming
        if incoming is None or not incoming.is_of(sender, chunk):
            incoming = self._incoming = IncomingSnapshot(chunk.index, chunk.snapshot_term, sender)
        if chunk.offset == len(incoming.data):
            incoming.data += chunk.data
            if chunk.is_last:
                self._incoming = None
                data = bytes(incoming.data)
                self._install(Snapshot(chunk.index, chunk.snapshot_term, chunk.stamp, chunk.members, data))
                self._respond(sender, True, chunk.index, chunk.round)
                return
        ack = SnapshotChunkAck(self.election.term, chunk.index, len(incoming.data), chunk.round)
        self.outbox.send_when_durable(sender, ack)

    def _install(self, snapshot: Snapshot) -> None:
        agrees = self.log.install(snapshot)
        self.outbox.limit_durable_index(self.log.last_index())
        self._write(snapshot=snapshot, reset=not agrees)
        self.applier.on_snapshot_installed()
        self.outbox.emit(RestoreSnapshot(snapshot))

    def _write(
        self, entries: tuple[Entry, ...] = (), snapshot: Snapshot | None = None, reset: bool = False
    ) -> None:
        election = self.election
        log_end = self.log.last_index()
        self.outbox.write(log_end, election.term, election.voted_for, entries, snapshot, reset)

    def _respond(self, sender: Replica, success: bool, index: int, round_: int) -> None:
        response = AppendEntriesResponse(self.election.term, success, index, round_)
        self.outbox.send_when_durable(sender, response)
