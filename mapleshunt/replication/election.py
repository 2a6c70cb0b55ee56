"""Terms, votes and roles: pre-vote (thesis, 9.6), elections (3.4) and the current leader."""

from __future__ import annotations

import random
from collections.abc import Callable

from .config import RaftConfig
from .messages import PersistentState, Replica, RoleChanged, VoteRequest, VoteResponse
from .outbox import Outbox
from .raft_log import RaftLog
from .roles import Role, RoleChangeReason, check_transition

NEVER = -1e9  # s, before any time of a monotonic clock


class Election:
    """Owns the term, the vote, the role, the leader that is followed, and the election timeout."""

    def __init__(
        self,
        me: Replica,
        stored: PersistentState,
        log: RaftLog,
        outbox: Outbox,
        config: RaftConfig,
        rng: random.Random,
    ) -> None:
        self.me = me
        self.term = stored.term
        self.voted_for = stored.vote
        self.role = Role.FOLLOWER
        self.leader: Replica = ""
        self.leader_contact_at = NEVER
        self.deadline = NEVER  # of the election timeout; the node sets it at its start
        self.on_elected: Callable[[float], None] = lambda _now: None
        self.on_step_down: Callable[[], None] = lambda: None
        self._log = log
        self._outbox = outbox
        self._config = config
        self._rng = rng
        self._votes: set[Replica] = set()
        self._self_vote_write = 0  # number of the write that makes its own vote durable

    def reset_timeout(self, now: float) -> None:
        """Restart the election timeout with a new random duration."""
        self.deadline = now + self._config.election_timeout_s * (1 + self._rng.random())

    def write_state(self) -> None:
        """Request a durable write of the term and the vote."""
        self._outbox.write(self._log.last_index(), self.term, self.voted_for)

    def follow(self, term: int, leader: Replica, reason: RoleChangeReason) -> None:
        """Become a follower in `term`, of `leader` if it is known."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self.write_state()
        self._become(Role.FOLLOWER, leader, reason)
        self._votes = set()

    def accept_leader(self, now: float, sender: Replica, term: int) -> bool:
        """Follow the sender of a leader's message; return False if its term is outdated."""
        if term < self.term:
            return False
        if term > self.term or self.role is not Role.FOLLOWER or self.leader != sender:
            newer = term > self.term
            self.follow(
                term, sender, RoleChangeReason.HIGHER_TERM if newer else RoleChangeReason.LEADER_CONTACT
            )
        self.leader_contact_at = now
        self.reset_timeout(now)
        return True

    def _become(self, role: Role, leader: Replica, reason: RoleChangeReason) -> None:
        check_transition(self.role, role)
        if (role, leader) != (self.role, self.leader):
            self._outbox.emit(RoleChanged(role, self.term, leader, reason))
        self.leader = leader
        if self.role is Role.LEADER and role is not Role.LEADER:
            self.on_step_down()
        self.role = role

    # Candidates

    def request_pre_votes(self, now: float) -> None:
        """Ask whether a majority would vote for this replica in the next term."""
        self.reset_timeout(now)
        if self.me not in self._log.members.voters:
            return
        self._votes = set()
        self._self_vote_write = 0
        self._become(Role.PRE_CANDIDATE, "", RoleChangeReason.ELECTION_TIMEOUT)
        self._request_votes(self.term + 1, pre_vote=True, leadership_transfer=False)
        self._count_vote(now, self.me)

    def campaign(self, now: float, leadership_transfer: bool = False) -> None:
        """Become a candidate, and ask for votes in the next term."""
        self.reset_timeout(now)
        if self.me not in self._log.members.voters:
            return
        self._votes = set()
        self.term += 1
        self.voted_for = self.me
        self.write_state()
        self._self_vote_write = self._outbox.last_write
        transfer, timeout = RoleChangeReason.LEADERSHIP_TRANSFER, RoleChangeReason.ELECTION_TIMEOUT
        self._become(Role.CANDIDATE, "", transfer if leadership_transfer else timeout)
        self._request_votes(self.term, pre_vote=False, leadership_transfer=leadership_transfer)

    def _request_votes(self, term: int, pre_vote: bool, leadership_transfer: bool) -> None:
        request = VoteRequest(
            term, self._log.last_index(), self._log.last_term(), pre_vote, leadership_transfer
        )
        for replica in self._log.members.voters:
            if replica != self.me:
                self._outbox.send_when_durable(replica, request)

    def on_write_completed(self, now: float) -> None:
        """Count this replica's own vote once it is durable."""
        durable = self._self_vote_write and self._self_vote_write <= self._outbox.durable_write
        if self.role is Role.CANDIDATE and durable:
            self._self_vote_write = 0
            self._count_vote(now, self.me)

    def on_vote_response(self, now: float, sender: Replica, response: VoteResponse) -> None:
        """Count a vote, or follow a higher term."""
        if response.pre_vote and response.granted:
            if self.role is Role.PRE_CANDIDATE and response.term == self.term + 1:
                self._count_vote(now, sender)
        elif response.term > self.term:
            # Otherwise a replica with a longer log and a lower term would never get a vote.
            self.follow(response.term, "", RoleChangeReason.HIGHER_TERM)
        elif self.role is Role.CANDIDATE and response.granted and response.term == self.term:
            self._count_vote(now, sender)

    def _count_vote(self, now: float, replica: Replica) -> None:
        members = self._log.members
        if replica in members.voters:
            self._votes.add(replica)
        # Its own vote is required: a replica whose term is not on disk could lead it again after a restart.
        if len(self._votes) < members.majority() or self.me not in self._votes:
            return
        if self.role is Role.PRE_CANDIDATE:
            self.campaign(now)
        elif self.role is Role.CANDIDATE:
            self._become(Role.LEADER, self.me, RoleChangeReason.ELECTED)
            self.on_elected(now)

    # Votes for others

    def on_vote_request(self, now: float, sender: Replica, request: VoteRequest) -> None:
        """Grant or deny a vote; ignore the request while a leader is in contact (thesis, 4.2.3)."""
        has_leader_contact = now - self.leader_contact_at < self._config.election_timeout_s
        if not request.leadership_transfer and (has_leader_contact or self.role is Role.LEADER):
            return
        own_position = (self._log.last_term(), self._log.last_index())
        up_to_date = (request.last_term, request.last_index) >= own_position
        if request.pre_vote:
            granted = up_to_date and request.term > self.term
            term = request.term if granted else self.term
            self._outbox.send_when_durable(sender, VoteResponse(term, granted, True))
            return
        if request.term > self.term:
            self.follow(request.term, "", RoleChangeReason.HIGHER_TERM)
        can_vote = self.voted_for in ("", sender) and self.role in (Role.FOLLOWER, Role.PRE_CANDIDATE)
        granted = request.term == self.term and up_to_date and can_vote
        if granted and self.voted_for != sender:
            self.voted_for = sender
            self.write_state()
        if granted:
            self.reset_timeout(now)
        self._outbox.send_when_durable(sender, VoteResponse(self.term, granted, False))
