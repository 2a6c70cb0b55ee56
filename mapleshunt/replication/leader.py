"""The leader: proposals, commits, membership changes and leadership transfer (thesis, 3.5, 3.6, 3.10, 4)."""

from __future__ import annotations

from .applier import Applier
from .config import RaftConfig
from .election import Election
from .membership_change import changed_members, is_possible
from .messages import (
    AppendEntriesResponse,
    ChangeMembership,
    Entry,
    Propose,
    Replica,
    Send,
    SnapshotChunkAck,
    TimeoutNow,
)
from .outbox import Outbox
from .progress import ReplicationProgress
from .raft_log import RaftLog
from .reads import ReadQueue
from .roles import Role, RoleChangeReason


class Leader:
    """A replica's leadership in one term."""

    progress_type: type[ReplicationProgress] = ReplicationProgress
    read_queue_type: type[ReadQueue] = ReadQueue

    def __init__(
        self,
        election: Election,
        log: RaftLog,
        outbox: Outbox,
        applier: Applier,
        config: RaftConfig,
        round_: int,
        now: float,
    ) -> None:
        """Become leader, with `round_` as the number of the first round of heartbeats."""
        self.election = election
        self.me = election.me
        self.log = log
        self.outbox = outbox
        self.applier = applier
        self.config = config
        self._base_stamp = log.last_stamp()
        self._base_now = now
        self._transfer_to: Replica = ""
        self._transfer_deadline = 0.0
        self.progress = self.progress_type(self.me, election.term, round_, log, outbox, config, now)
        self.reads = self.read_queue_type(self.progress, log, outbox, config)
        # Once this entry of its own term is committed, so are all entries before it.
        self._append(now, Entry(log.last_index() + 1, election.term, self.stamp(now)))

    def is_leading(self) -> bool:
        """Return whether this replica still leads: a commit may have removed it."""
        return self.election.role is Role.LEADER

    def stamp(self, now: float) -> float:
        """Return the log's time, ms: that of the last entry before this term, plus the time elapsed since.

        A clock that is ahead or was set does not advance it, and it stops while there is no leader:
        nothing expires too early.
        """
        return max(self.log.last_stamp(), self._base_stamp + 1000 * (now - self._base_now))

    def _append(self, now: float, entry: Entry) -> None:
        election = self.election
        self.log.append(entry)
        self.outbox.write(self.log.last_index(), election.term, election.voted_for, (entry,))
        if entry.members is not None:
            self.progress.track_members(now)
        for replica in self.progress.followers:
            self.progress.send_entries(now, replica)

    # Requests

    def propose(self, now: float, request: Propose) -> None:
        """Append an entry; reject it during a leadership transfer or if too many proposals are pending."""
        if self._transfer_to or self.applier.is_full():
            self.outbox.reject(request.request_id)
            return
        self._append_request(
            now,
            request.request_id,
            Entry(self.log.last_index() + 1, self.election.term, self.stamp(now), request.data),
        )

    def _append_request(self, now: float, request_id: int, entry: Entry) -> None:
        self.applier.add_proposal(entry, request_id)
        self._append(now, entry)

    def change_members(self, now: float, change: ChangeMembership) -> None:
        """Append a membership change; reject it if it is invalid, or `must_wait_for_change`."""
        members = self.log.members
        caught_up = self.progress.is_caught_up(change.replica)
        allowed = not self._transfer_to and not self.must_wait_for_change()
        if not allowed or not is_possible(members, change, self.me, caught_up):
            self.outbox.reject(change.request_id)
            return
        changed = changed_members(members, change)
        active = sum(self.progress.is_active(now, replica) for replica in changed.voters)
        if active < changed.majority():
            self.outbox.reject(change.request_id)  # it could neither commit more nor be reverted
            return
        entry = Entry(self.log.last_index() + 1, self.election.term, self.stamp(now), members=changed)
        self._append_request(now, change.request_id, entry)

    def must_wait_for_change(self) -> bool:
        """Return whether a change is uncommitted, or no entry of this term is committed."""
        return self.log.has_uncommitted_change() or not self.log.is_commit_of_term(self.election.term)

    # Commits

    def advance_commit(self, now: float) -> None:
        """Commit what is durable on a majority, if the last entry is of this term (thesis, 3.6.2)."""
        index = self.progress.quorum_index()
        if index <= self.log.commit_index or not self.is_committable(index):
            return
        self.applier.commit_to(index)
        if self.me not in self.log.members.voters and not self.log.has_uncommitted_change():
            self.election.follow(self.election.term, "", RoleChangeReason.REMOVED)
            return
        self.reads.on_commit(now)

    def is_committable(self, index: int) -> bool:
        """Return whether the entry is of this term: only then does durability on a majority commit it."""
        return self.log.term_at(index) == self.election.term

    # Responses of followers

    def on_append_response(self, now: float, sender: Replica, response: AppendEntriesResponse) -> None:
        """Update a follower's progress, and send it what it lacks."""
        follower = self.progress.record_contact(now, sender, response.round)
        if follower is None:
            return
        self.reads.confirm(now)
        if response.success:
            self.progress.accept(now, follower, response)
            self.advance_commit(now)
        else:
            self.progress.probe(follower, response)
        if self.is_leading() and sender in self.progress.followers:
            self.progress.send_entries(now, sender)
            self._finish_transfer()

    def on_chunk_ack(self, now: float, sender: Replica, ack: SnapshotChunkAck) -> None:
        """Record that a follower stored a snapshot chunk, and send it the next one."""
        if self.progress.record_contact(now, sender, ack.round) is not None:
            self.reads.confirm(now)
            self.progress.on_chunk_ack(now, sender, ack)

    def on_vote_request(self, now: float, sender: Replica) -> None:
        """Tell a replica of its removal: one that is no member and asks for votes does not know of it."""
        if sender not in self.log.members.all():
            self.progress.track_removed(now, sender)

    # Leadership transfer

    def transfer(self, now: float, to: Replica) -> None:
        """Transfer leadership to a voter, by default the most up-to-date; reject proposals meanwhile."""
        followers = self.progress.followers
        voters = [voter for voter in self.log.members.voters if voter != self.me and voter in followers]
        target = to or max(voters, key=lambda voter: followers[voter].match_index, default="")
        if target in voters and not self._transfer_to:
            self._transfer_to = target
            self._transfer_deadline = now + self.config.election_timeout_s
            self.progress.send_entries(now, target, heartbeat=True)
            self._finish_transfer()

    def _finish_transfer(self) -> None:
        follower = self.progress.followers.get(self._transfer_to)
        if follower is not None and follower.match_index == self.log.last_index():
            # Waits for no write: a leader whose disk is full has to hand over although no write completes.
            self.outbox.emit(Send(self._transfer_to, TimeoutNow(self.election.term)))

    # Time

    def wake_time(self) -> float:
        """Return when the leader needs its next tick, s."""
        return min(self.progress.next_heartbeat, self.progress.quorum_deadline())

    def tick(self, now: float) -> None:
        """Step down without a quorum; else send a heartbeat that is due."""
        if now >= self.progress.quorum_deadline():
            self.election.follow(self.election.term, "", RoleChangeReason.QUORUM_LOST)
            self.election.reset_timeout(now)
            return
        if self._transfer_to and now >= self._transfer_deadline:
            self._transfer_to = ""  # the target did not take over in time
        if now >= self.progress.next_heartbeat:
            self.progress.heartbeat(now)
