"""What a leader knows of the other replicas, and what it sends to each (thesis, 3.5; etcd's `Progress`)."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

from .config import RaftConfig
from .messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    Message,
    Replica,
    Send,
    Snapshot,
    SnapshotChunk,
    SnapshotChunkAck,
)
from .outbox import Outbox
from .raft_log import RaftLog

T = TypeVar("T", int, float)
ENTRY_OVERHEAD_BYTES = 64  # of an entry in a message, beside its data, about
FOREVER = 1e18  # s, when a leader last heard itself
RESEND_HEARTBEATS = 2  # without progress, after which what was sent counts as lost


@dataclass(slots=True)
class FollowerProgress:
    """What a leader knows of another replica."""

    next_index: int = 1  # of the entry to be sent next
    match_index: int = 0  # its durable log agrees up to here
    is_probing: bool = True  # one message at a time until it agrees
    inflight: deque[int] = field(default_factory=deque)  # last indexes of messages not answered
    heard_at: float = 0.0  # when it last answered, s
    confirmed_round: int = 0  # the last round it confirmed
    progressed_at: float = 0.0  # when `match_index` last grew or something was sent anew, s
    snapshot: Snapshot | None = None  # being sent to it
    snapshot_offset: int = 0  # where its next chunk begins, bytes


class ReplicationProgress:
    """A leader's view of its followers in one term. Owns their progress and the rounds they confirm."""

    def __init__(
        self,
        me: Replica,
        term: int,
        round_: int,
        log: RaftLog,
        outbox: Outbox,
        config: RaftConfig,
        now: float,
    ) -> None:
        self.me = me
        self.term = term
        self.round = round_  # of heartbeats, numbered for reads
        self.next_heartbeat = now
        self.followers: dict[Replica, FollowerProgress] = {}
        self.log = log
        self.outbox = outbox
        self.config = config
        self.track_members(now)

    def track_members(self, now: float) -> None:
        """Keep a record of every other member, and of none besides."""
        members = self.log.members.all()
        for replica in [one for one in self.followers if one not in members]:
            del self.followers[replica]
        for replica in members:
            if replica != self.me and replica not in self.followers:
                self.followers[replica] = FollowerProgress(
                    next_index=self.log.last_index() + 1, heard_at=now, progressed_at=now
                )

    # Quorums

    def quorum_value(self, value_of: Callable[[Replica], T]) -> T:
        """The highest value that a majority of the voters has reached."""
        members = self.log.members
        return sorted([value_of(voter) for voter in members.voters], reverse=True)[members.majority() - 1]

    def quorum_index(self) -> int:
        """The index up to which a majority's durable logs agree."""
        return self.quorum_value(self.match_index_of)

    def match_index_of(self, replica: Replica) -> int:
        """The index up to which a replica's durable log agrees."""
        if replica == self.me:
            return self.outbox.durable_index
        return self.followers[replica].match_index if replica in self.followers else 0

    def quorum_round(self) -> int:
        """The last round that a majority has confirmed."""

        def round_of(replica: Replica) -> int:
            if replica == self.me:
                return self.round
            return self.followers[replica].confirmed_round if replica in self.followers else 0

        return self.quorum_value(round_of)

    def quorum_deadline(self) -> float:
        """When a leader that hears no more has to step down, s."""

        def heard_at(replica: Replica) -> float:
            if replica == self.me:
                return FOREVER
            return self.followers[replica].heard_at if replica in self.followers else 0.0

        return self.quorum_value(heard_at) + self.config.election_timeout_s

    def is_active(self, now: float, replica: Replica) -> bool:
        """Whether the replica answered within an election timeout."""
        follower = self.followers.get(replica)
        recent = follower is not None and now - follower.heard_at < self.config.election_timeout_s
        return replica == self.me or recent

    def is_caught_up(self, replica: Replica) -> bool:
        """Whether the replica lags so little that it may vote."""
        follower = self.followers.get(replica)
        if follower is None or follower.snapshot is not None:
            return False
        return self.log.commit_index - follower.match_index <= self.config.retained_entries

    # Sending

    def heartbeat(self, now: float) -> None:
        """Send a heartbeat to all, and anew what was lost on the way."""
        # On a grid that all groups of a gateway share: their heartbeats go out, and are answered, together.
        interval = self.config.heartbeat_interval_s
        self.next_heartbeat = (now // interval + 1) * interval
        for replica, follower in self.followers.items():
            if follower.inflight or follower.snapshot:
                self._resend_lost(now, replica, follower)
            self.send_entries(now, replica, heartbeat=True)

    def _resend_lost(self, now: float, replica: Replica, follower: FollowerProgress) -> None:
        if now - follower.progressed_at <= RESEND_HEARTBEATS * self.config.heartbeat_interval_s:
            return
        follower.progressed_at = now
        if follower.snapshot:
            self._send_chunk(replica)
        else:
            follower.inflight.clear()
            follower.is_probing = True
            follower.next_index = follower.match_index + 1

    def send_entries(self, now: float, replica: Replica, heartbeat: bool = False) -> None:
        """Send what the replica lacks, as far as its window allows; with `heartbeat`, at least that."""
        follower = self.followers[replica]
        window = 1 if follower.is_probing else self.config.max_inflight_messages
        sent = False
        while not follower.snapshot and len(follower.inflight) < window:
            if self.log.term_at(follower.next_index - 1) is None:  # the log does not reach back so far
                self._begin_snapshot(now, replica)
                return
            if follower.next_index > self.log.last_index():
                break
            self._send_batch(now, replica, follower)
            sent = True
        if heartbeat and not sent:
            self._send_heartbeat(now, replica, follower)

    def _send_batch(self, now: float, replica: Replica, follower: FollowerProgress) -> None:
        entries: list[Entry] = []
        size = 0
        for entry in self.log.slice(follower.next_index):
            size += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if entries and size > self.config.max_batch_bytes:
                break
            entries.append(entry)
        self._send_append(replica, follower.next_index - 1, tuple(entries))
        if not follower.inflight:
            follower.progressed_at = now
        follower.inflight.append(entries[-1].index)
        follower.next_index = entries[-1].index + 1

    def _send_heartbeat(self, now: float, replica: Replica, follower: FollowerProgress) -> None:
        # While a snapshot is on its way, too: its chunks may be held back.
        agreed_or_probed = follower.match_index or follower.next_index - 1
        previous = self.log.snapshot.index if follower.snapshot else agreed_or_probed
        if self.log.term_at(previous) is None:
            self._begin_snapshot(now, replica)
        else:
            self._send_append(replica, previous, ())

    def _send_append(self, replica: Replica, previous: int, entries: tuple[Entry, ...]) -> None:
        previous_term = self.log.term_at(previous)
        assert previous_term is not None
        commit = self.log.commit_index
        self._send(replica, AppendEntries(self.term, previous, previous_term, entries, commit, self.round))

    def _begin_snapshot(self, now: float, replica: Replica) -> None:
        follower = self.followers[replica]
        follower.snapshot = self.log.snapshot
        follower.snapshot_offset = 0
        follower.progressed_at = now
        follower.inflight.clear()
        self._send_chunk(replica)

    def _send_chunk(self, replica: Replica) -> None:
        follower = self.followers[replica]
        snapshot, offset = follower.snapshot, follower.snapshot_offset
        if snapshot is None:
            return
        data = snapshot.data[offset : offset + self.config.snapshot_chunk_bytes]
        is_last = offset + len(data) >= len(snapshot.data)
        index, term, stamp, members = snapshot.index, snapshot.term, snapshot.stamp, snapshot.members
        chunk = SnapshotChunk(self.term, index, term, stamp, members, offset, data, is_last, self.round)
        self._send(replica, chunk)

    def _send(self, replica: Replica, message: Message) -> None:
        self.outbox.emit(Send(replica, message))

    # Answers

    def record_contact(self, now: float, sender: Replica, round_: int) -> FollowerProgress | None:
        """Note that a member answered, and the round it confirmed; None if it is no member."""
        follower = self.followers.get(sender)
        if follower is not None:
            follower.heard_at = now
            follower.confirmed_round = max(follower.confirmed_round, round_)
        return follower

    def accept(self, now: float, follower: FollowerProgress, response: AppendEntriesResponse) -> None:
        """The follower's durable log agrees up to the response's index."""
        if response.index > follower.match_index:
            follower.match_index = response.index
            follower.progressed_at = now
        if follower.snapshot and response.index >= follower.snapshot.index:
            follower.snapshot = None
        while follower.inflight and follower.inflight[0] <= follower.match_index:
            follower.inflight.popleft()
        follower.is_probing = False
        follower.next_index = max(follower.next_index, follower.match_index + 1)

    def probe(self, follower: FollowerProgress, response: AppendEntriesResponse) -> None:
        """The follower's log disagrees: look for agreement where its response points."""
        if response.index + 1 < follower.next_index and not follower.snapshot:
            follower.is_probing = True
            follower.next_index = max(response.index, follower.match_index) + 1
            follower.inflight.clear()

    def on_chunk_ack(self, now: float, sender: Replica, ack: SnapshotChunkAck) -> None:
        """Send the next chunk of a snapshot."""
        follower = self.followers[sender]
        if not follower.snapshot or follower.snapshot.index != ack.index:
            return
        # An equal offset was answered before: what was sent since is on its way.
        if ack.next_offset != follower.snapshot_offset:
            follower.progressed_at = now
            follower.snapshot_offset = min(ack.next_offset, len(follower.snapshot.data))
            self._send_chunk(sender)
