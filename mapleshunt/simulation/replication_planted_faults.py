"""Faults planted in replicas, to check that the simulation of `replication_plays` finds them."""

from __future__ import annotations

from ..replication import messages as m
from ..replication.election import Election
from ..replication.follower import Follower
from ..replication.leader import Leader
from ..replication.node import RaftNode
from ..replication.outbox import Outbox
from ..replication.progress import ReplicationProgress
from ..replication.reads import ReadQueue
from ..replication.roles import Role
from .replication_plays import ReplicaGroupSimulation, VirtualDisk, VirtualReplica, run_simulation


class ImmediateOutbox(Outbox):
    """An outbox that sends one kind of message before the writes that it depends on are durable."""

    immediate: type[m.Message]

    def send_when_durable(self, to: m.Replica, message: m.Message) -> None:
        """Send messages of the kind `immediate` at once, others when durable."""
        if isinstance(message, self.immediate):
            self.emit(m.Send(to, message))
        else:
            super().send_when_durable(to, message)


class ImmediateVoteOutbox(ImmediateOutbox):
    """An outbox that sends votes before they are durable."""

    immediate = m.VoteResponse


class VoteBeforeDurable(RaftNode):
    """Sends a vote before it is durable."""

    outbox_type = ImmediateVoteOutbox


class ImmediateAppendOutbox(ImmediateOutbox):
    """An outbox that acknowledges entries before they are durable."""

    immediate = m.AppendEntriesResponse


class AppendedBeforeDurable(RaftNode):
    """Acknowledges entries before they are durable."""

    outbox_type = ImmediateAppendOutbox


class OlderTermLeader(Leader):
    """A leader that commits entries of older terms."""

    def is_committable(self, index: int) -> bool:
        """Return True for entries of any term."""
        return True


class OlderTermByCount(RaftNode):
    """Commits an entry of an older term as soon as a majority stores it."""

    leader_type = OlderTermLeader


class ConcurrentChangeLeader(Leader):
    """A leader that does not wait for the previous membership change."""

    def must_wait_for_change(self) -> bool:
        """Return False even if a change is in progress."""
        return False


class TwoChangesAtOnce(RaftNode):
    """Begins a membership change before the previous one is committed."""

    leader_type = ConcurrentChangeLeader


class UnconfirmedReads(ReadQueue):
    """A read queue that answers reads without confirming the leadership."""

    def confirm(self, now: float) -> None:
        """Answer all reads at once."""
        self.answer_all()
        self.begin_round(now)


class UnconfirmedReadLeader(Leader):
    """A leader that neither confirms its leadership for reads nor steps down without a quorum."""

    read_queue_type = UnconfirmedReads

    def tick(self, now: float) -> None:
        """Tick only while the quorum deadline has not passed."""
        if now < self.progress.quorum_deadline():
            super().tick(now)


class ReadsUnconfirmed(RaftNode):
    """Answers reads as leader without confirmation; after a pause another replica may lead."""

    leader_type = UnconfirmedReadLeader


class UndurableProgress(ReplicationProgress):
    """Replication progress that counts the leader's own entries before they are durable."""

    def match_index_of(self, replica: m.Replica) -> int:
        """Return the last index of the log for the leader itself."""
        return self.log.last_index() if replica == self.me else super().match_index_of(replica)


class UndurableProgressLeader(Leader):
    """A leader that counts its own entries before they are durable."""

    progress_type = UndurableProgress


class OwnEntriesUnwritten(RaftNode):
    """Counts its own entries towards a majority before they are durable."""

    leader_type = UndurableProgressLeader


class RepeatedVoteElection(Election):
    """An election that forgets its vote when another candidate asks."""

    def on_vote_request(self, now: float, sender: m.Replica, request: m.VoteRequest) -> None:
        """Clear the vote of the term before answering, unless this replica leads."""
        if not request.pre_vote and request.term >= self.term:
            self.voted_for = "" if self.role is not Role.LEADER else self.voted_for
        super().on_vote_request(now, sender, request)


class VotesTwice(RaftNode):
    """Votes for several candidates in a term."""

    election_type = RepeatedVoteElection


class LogIgnoringElection(Election):
    """An election that ignores how complete a candidate's log is."""

    def on_vote_request(self, now: float, sender: m.Replica, request: m.VoteRequest) -> None:
        """Answer as if the candidate's log were the longest."""
        longest = m.VoteRequest(request.term, 1 << 40, 1 << 40, request.pre_vote, request.leadership_transfer)
        super().on_vote_request(now, sender, longest)


class ShorterLogsWin(RaftNode):
    """Votes for candidates whose logs lack committed entries."""

    election_type = LogIgnoringElection


class UncheckedCommitFollower(Follower):
    """A follower that commits entries which it has not compared with the leader's."""

    def on_append_entries(self, now: float, sender: m.Replica, message: m.AppendEntries) -> None:
        """Commit up to the leader's commit index, as far as the own log reaches."""
        super().on_append_entries(now, sender, message)
        commit = min(message.leader_commit, self.log.last_index())
        if self.election.leader == sender and commit > self.log.commit_index:
            self.applier.commit_to(commit)


class CommitsUnseen(RaftNode):
    """Commits up to its leader's commit index, where its own log may differ."""

    follower_type = UncheckedCommitFollower


class OldIncarnation(ReplicaGroupSimulation):
    """A group in which a gateway that lost its disk returns as the same incarnation."""

    def wipe(self, replica: VirtualReplica) -> None:
        """Lose a replica's disk and start it again under the same name."""
        if not self.has_majorities(without=replica.name):
            return
        self.kill(replica.name)
        replica.disk = VirtualDisk(m.PersistentState(self.initial_snapshot))
        self.start(replica.name)


FAULTY_NODES: dict[str, type[RaftNode]] = {
    node.__name__: node
    for node in (
        VoteBeforeDurable, AppendedBeforeDurable, OlderTermByCount, TwoChangesAtOnce, ReadsUnconfirmed,
        OwnEntriesUnwritten, VotesTwice, ShorterLogsWin, CommitsUnseen,
    )
}  # fmt: skip
FAULTY_GROUPS: dict[str, type[ReplicaGroupSimulation]] = {"OldIncarnation": OldIncarnation}
PLANTED_FAULTS = (*FAULTY_NODES, *FAULTY_GROUPS)


def run_seed(seed: int, planted_fault: str = "") -> str:
    """Run a group by seed, with a planted fault if one is named, and return the violated invariant, or ""."""
    return run_simulation(
        FAULTY_GROUPS.get(planted_fault, ReplicaGroupSimulation),
        seed,
        FAULTY_NODES.get(planted_fault, RaftNode),
    )
