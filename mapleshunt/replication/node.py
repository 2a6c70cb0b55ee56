"""One replica of one group: Raft as a step function, without I/O, clock or randomness of its own.

After Ongaro's thesis "Consensus: Bridging Theory and Practice" (2014): pre-vote and quorum check (9.6, 6.2),
leadership transfer (3.10), membership changes by one replica at a time after a committed entry of the term
(4.1 and the correction of 2015), learners, snapshots in chunks (5), reads after a confirmed round (6.4).

`RaftNode.step` passes each event to the part that handles it: `election` (terms, votes, roles), `follower`,
`leader` (with `progress` and `reads`), `applier` (commits) and `raft_log`. Outputs are collected in `outbox`.
"""

from __future__ import annotations

import random

from .applier import Applier
from .config import RaftConfig
from .election import Election
from .follower import Follower
from .leader import Leader
from .messages import (
    AppendEntries,
    AppendEntriesResponse,
    ChangeMembership,
    Event,
    Members,
    Message,
    MessageReceived,
    Output,
    PersistentState,
    Propose,
    ReadRequest,
    Replica,
    SnapshotChunk,
    SnapshotChunkAck,
    SnapshotCreated,
    Tick,
    TimeoutNow,
    TransferLeadership,
    VoteRequest,
    VoteResponse,
    WriteCompleted,
)
from .outbox import Outbox
from .raft_log import RaftLog
from .roles import Role, RoleChangeReason


class RaftNode:
    """A replica. Only `step` changes it; a subclass can replace the types of its parts."""

    outbox_type: type[Outbox] = Outbox
    election_type: type[Election] = Election
    follower_type: type[Follower] = Follower
    leader_type: type[Leader] = Leader

    def __init__(
        self, me: Replica, stored: PersistentState, config: RaftConfig, seed: int, now: float
    ) -> None:
        """Start from the stored state; `seed` is that of the election timeouts."""
        self.me = me
        self.config = config
        self.log = RaftLog(stored)
        self.outbox = self.outbox_type(self.log.last_index())
        self.applier = Applier(self.log, self.outbox, config)
        rng = random.Random(seed)
        self.election = self.election_type(me, stored, self.log, self.outbox, config, rng)
        self.election.on_elected = self._on_elected
        self.election.on_step_down = self._on_step_down
        self.follower = self.follower_type(self.election, self.log, self.outbox, self.applier)
        self.leadership: Leader | None = None
        self._last_round = 0  # of heartbeats, over all terms that this replica led
        self.election.reset_timeout(now)

    # State

    @property
    def role(self) -> Role:
        """The replica's role in its term."""
        return self.election.role

    @property
    def term(self) -> int:
        """The highest term that the replica knows."""
        return self.election.term

    @property
    def leader(self) -> Replica:
        """The leader of the term; empty if unknown."""
        return self.election.leader

    @property
    def commit_index(self) -> int:
        """The last index that is known to be committed."""
        return self.log.commit_index

    @property
    def round(self) -> int:
        """The number of the last round of heartbeats that this replica began."""
        return self.leadership.progress.round if self.leadership is not None else self._last_round

    def members(self) -> Members:
        """Return the members as of the log's end."""
        return self.log.members

    def stamp(self, now: float) -> float:
        """Return the log's time, ms, as far as this replica knows; exact at the leader."""
        return self.leadership.stamp(now) if self.leadership is not None else self.log.last_stamp()

    def wake_time(self) -> float:
        """Return when the next `Tick` is needed, s."""
        return self.leadership.wake_time() if self.leadership is not None else self.election.deadline

    # Events

    def step(self, now: float, event: Event) -> list[Output]:
        """Process an event and return the outputs.

        Args:
            now: The time in s, of a monotonic clock.
            event: What happened.

        Returns:
            What the host has to do, in this order. Writes are made durable in order, each followed by a
            `WriteCompleted`.
        """
        self.outbox.begin_step()
        match event:
            case MessageReceived():
                self._on_message(now, event.sender, event.message)
            case WriteCompleted():
                self._on_write_completed(now, event.number)
            case Tick():
                pass
            case SnapshotCreated(index, data):
                self._on_snapshot_created(index, data)
            case TransferLeadership(to):
                if self.leadership is not None:
                    self.leadership.transfer(now, to)
            case _:
                self._on_request(now, event)
        self._tick(now)
        return self.outbox.outputs

    def _on_request(self, now: float, request: Propose | ReadRequest | ChangeMembership) -> None:
        leadership = self.leadership
        if leadership is None:
            self.outbox.reject(request.request_id, self.leader)
            return
        match request:
            case Propose():
                leadership.propose(now, request)
            case ReadRequest(request_id):
                leadership.reads.add(now, request_id)
            case ChangeMembership():
                leadership.change_members(now, request)

    def _on_write_completed(self, now: float, number: int) -> None:
        self.outbox.complete_write(number, self.log.last_index())
        self.election.on_write_completed(now)
        if self.leadership is not None:
            self.leadership.advance_commit(now)

    def _on_snapshot_created(self, index: int, data: bytes) -> None:
        snapshot = self.applier.on_snapshot_created(index, data)
        if snapshot is not None:
            election = self.election
            self.outbox.write(self.log.last_index(), election.term, election.voted_for, snapshot=snapshot)

    def _on_message(self, now: float, sender: Replica, message: Message) -> None:
        match message:
            case AppendEntries():
                self.follower.on_append_entries(now, sender, message)
            case AppendEntriesResponse() | SnapshotChunkAck():
                self._on_follower_response(now, sender, message)
            case VoteRequest():
                if self.leadership is not None:
                    self.leadership.on_vote_request(now, sender)
                self.election.on_vote_request(now, sender, message)
            case VoteResponse():
                self.election.on_vote_response(now, sender, message)
            case SnapshotChunk():
                self.follower.on_snapshot_chunk(now, sender, message)
            case TimeoutNow(term):
                if term == self.term and self.role is Role.FOLLOWER and sender == self.leader:
                    self.election.campaign(now, leadership_transfer=True)

    def _on_follower_response(
        self, now: float, sender: Replica, message: AppendEntriesResponse | SnapshotChunkAck
    ) -> None:
        term = self.election.term
        if message.term > term:
            self.election.follow(message.term, "", RoleChangeReason.HIGHER_TERM)
        elif self.leadership is None or message.term != term:
            return
        elif isinstance(message, AppendEntriesResponse):
            self.leadership.on_append_response(now, sender, message)
        else:
            self.leadership.on_chunk_ack(now, sender, message)

    def _tick(self, now: float) -> None:
        if self.leadership is not None:
            self.leadership.tick(now)
        elif now >= self.election.deadline:
            self.election.request_pre_votes(now)

    # Leadership

    def _on_elected(self, now: float) -> None:
        self._last_round += 1
        self.leadership = self.leader_type(
            self.election, self.log, self.outbox, self.applier, self.config, self._last_round, now
        )

    def _on_step_down(self) -> None:
        assert self.leadership is not None
        self.applier.fail_proposals(self.leader)
        self.leadership.reads.reject_all(self.leader)
        self._last_round = self.leadership.progress.round
        self.leadership = None
