"""The leader's view of its followers, and what it sends to each (thesis, 3.5; etcd's `Progress`)."""

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
ENTRY_OVERHEAD_BYTES = 64  # approximate size of an entry in a message, without its data
OWN_CONTACT_AT = 1e18  # s, a leader's last contact with itself
RESEND_HEARTBEATS = 2  # without progress, after which sent messages count as lost


@dataclass(slots=True)
class FollowerProgress:
    """The state of replication to another replica."""

    next_index: int = 1  # of the next entry to send
    match_index: int = 0  # its durable log matches the leader's up to here
    is_probing: bool = True  # one message at a time until the logs agree
    inflight: deque[int] = field(default_factory=deque)  # last indexes of unanswered messages
    last_contact_at: float = 0.0  # when it last responded, s
    confirmed_round: int = 0  # the last round it confirmed
    progressed_at: float = 0.0  # when replication to it last advanced or was restarted, s
    snapshot: Snapshot | None = None  # being sent to it
    snapshot_offset: int = 0  # where its next chunk begins, bytes
    # Of a replica that is no member any more: the index up to which it is told the log, its removal included.
    removed_until: int | None = None


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
        """Track the progress of exactly the other members."""
        members = self.log.members.all()
        for replica in [follower for follower in self.followers if follower not in members]:
            del self.followers[replica]
        for replica in members:
            if replica in self.followers:
                self.followers[replica].removed_until = None
            elif replica != self.me:
                self.followers[replica] = FollowerProgress(
                    next_index=self.log.last_index() + 1, last_contact_at=now, progressed_at=now
                )

    def track_removed(self, now: float, replica: Replica) -> None:
        """Replicate to a replica that does not know of its removal, until its log has it.

        It counts in no quorum.
        """
        if replica in self.followers or replica in self.log.members.all():
            return
        last_index = self.log.last_index()
        self.followers[replica] = FollowerProgress(
            next_index=last_index + 1, last_contact_at=now, progressed_at=now, removed_until=last_index
        )
        self.send_entries(now, replica, heartbeat=True)

    def _forget_removed(self, now: float) -> None:
        """Stop replicating to removed replicas that know of their removal or do not respond."""
        for replica, follower in list(self.followers.items()):
            if follower.removed_until is None:
                continue
            is_told = follower.match_index >= follower.removed_until
            if is_told or now - follower.last_contact_at >= self.config.election_timeout_s:
                del self.followers[replica]

    # Quorums

    def quorum_value(self, value_of: Callable[[Replica], T]) -> T:
        """Return the highest value that a majority of the voters has reached."""
        members = self.log.members
        return sorted([value_of(voter) for voter in members.voters], reverse=True)[members.majority() - 1]

    def quorum_index(self) -> int:
        """Return the index up to which a majority's durable logs match."""
        return self.quorum_value(self.match_index_of)

    def match_index_of(self, replica: Replica) -> int:
        """Return the index up to which a replica's durable log matches."""
        if replica == self.me:
            return self.outbox.durable_index
        return self.followers[replica].match_index if replica in self.followers else 0

    def quorum_round(self) -> int:
        """Return the last round that a majority has confirmed."""

        def round_of(replica: Replica) -> int:
            if replica == self.me:
                return self.round
            return self.followers[replica].confirmed_round if replica in self.followers else 0

        return self.quorum_value(round_of)

    def quorum_deadline(self) -> float:
        """Return when the leader must step down unless more responses arrive, s."""

        def last_contact_at(replica: Replica) -> float:
            if replica == self.me:
                return OWN_CONTACT_AT
            return self.followers[replica].last_contact_at if replica in self.followers else 0.0

        return self.quorum_value(last_contact_at) + self.config.election_timeout_s

    def is_active(self, now: float, replica: Replica) -> bool:
        """Return whether the replica responded within the last election timeout."""
        follower = self.followers.get(replica)
        recent = follower is not None and now - follower.last_contact_at < self.config.election_timeout_s
        return replica == self.me or recent

    def is_caught_up(self, replica: Replica) -> bool:
        """Return whether the replica lags by so little that it may become a voter."""
        follower = self.followers.get(replica)
        if follower is None or follower.snapshot is not None:
            return False
        return self.log.commit_index - follower.match_index <= self.config.retained_entries

    # Sending

    def heartbeat(self, now: float) -> None:
        """Send a heartbeat to all followers, and resend messages that count as lost."""
        # Aligned for all groups of a gateway, so that their heartbeats and the responses are sent together.
        interval = self.config.heartbeat_interval_s
        self.next_heartbeat = (now // interval + 1) * interval
        self._forget_removed(now)
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
        """Send the entries that its window allows; with `heartbeat`, an empty message if there are none."""
        follower = self.followers[replica]
        window = 1 if follower.is_probing else self.config.max_inflight_messages
        sent = False
        while not follower.snapshot and len(follower.inflight) < window:
            if self.log.term_at(follower.next_index - 1) is None:  # compacted: it needs the snapshot
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
        # Also during a snapshot transfer, as its chunks may be delayed by pacing.
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

    # Responses

    def record_contact(self, now: float, sender: Replica, round_: int) -> FollowerProgress | None:
        """Record a member's response and the round it confirmed; return None if it is no member."""
        follower = self.followers.get(sender)
        if follower is not None:
            follower.last_contact_at = now
            follower.confirmed_round = max(follower.confirmed_round, round_)
        return follower

    def accept(self, now: float, follower: FollowerProgress, response: AppendEntriesResponse) -> None:
        """Advance a follower, whose durable log matches up to the response's index."""
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
        """Look for agreement where the response points, since the follower's log disagrees."""
        if response.index + 1 < follower.next_index and not follower.snapshot:
            follower.is_probing = True
            follower.next_index = max(response.index, follower.match_index) + 1
            follower.inflight.clear()

    def on_chunk_ack(self, now: float, sender: Replica, ack: SnapshotChunkAck) -> None:
        """Send the next chunk of a snapshot."""
        follower = self.followers[sender]
        if not follower.snapshot or follower.snapshot.index != ack.index:
            return
        # The same offset again needs no reply: the chunk at that offset is already on its way.
        if ack.next_offset != follower.snapshot_offset:
            follower.progressed_at = now
            follower.snapshot_offset = min(ack.next_offset, len(follower.snapshot.data))
            self._send_chunk(sender)
