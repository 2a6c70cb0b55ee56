"""Faults planted in the copies, to see that the plays of `model.copies` find them."""

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


class HastyOutbox(Outbox):
    """Some messages go out before what they rest on is on disk."""

    hasty: type[m.Message]  # which

    def send_when_durable(self, to: m.Replica, message: m.Message) -> None:
        if isinstance(message, self.hasty):
            self.emit(m.Send(to, message))
        else:
            super().send_when_durable(to, message)


class HastyVoteOutbox(HastyOutbox):
    hasty = m.VoteResponse


class VoteBeforeDurable(RaftNode):
    """A vote is answered before it is on disk."""

    outbox_type = HastyVoteOutbox


class HastyAppendOutbox(HastyOutbox):
    hasty = m.AppendEntriesResponse


class AppendedBeforeDurable(RaftNode):
    """Entries are acknowledged before they are on disk."""

    outbox_type = HastyAppendOutbox


class CountingLeader(Leader):
    def is_committable(self, index: int) -> bool:
        return True


class OlderTermByCount(RaftNode):
    """An entry of an older term is committed because a majority holds it."""

    leader_type = CountingLeader


class ImpatientLeader(Leader):
    def must_wait_for_change(self) -> bool:
        return False


class TwoChangesAtOnce(RaftNode):
    """A change of membership does not wait for the one before."""

    leader_type = ImpatientLeader


class UnconfirmedReads(ReadQueue):
    def confirm(self, now: float) -> None:
        self.answer_all()
        self.begin_round(now)


class TrustingLeader(Leader):
    read_queue_type = UnconfirmedReads

    def tick(self, now: float) -> None:
        if now < self.progress.quorum_deadline():
            super().tick(now)


class ReadsUnconfirmed(RaftNode):
    """A leader answers reads by what it believes: after a stop it may lead no more."""

    leader_type = TrustingLeader


class HastyProgress(ReplicationProgress):
    def match_index_of(self, replica: m.Replica) -> int:
        return self.log.last_index() if replica == self.me else super().match_index_of(replica)


class HastyLeader(Leader):
    progress_type = HastyProgress


class OwnEntriesUnwritten(RaftNode):
    """A leader counts its own entries before they are on disk."""

    leader_type = HastyLeader


class FickleElection(Election):
    def on_vote_request(self, now: float, sender: m.Replica, request: m.VoteRequest) -> None:
        if not request.pre_vote and request.term >= self.term:
            self.voted_for = "" if self.role is not Role.LEADER else self.voted_for
        super().on_vote_request(now, sender, request)


class VotesTwice(RaftNode):
    """A vote that was given does not bind."""

    election_type = FickleElection


class CarelessElection(Election):
    def on_vote_request(self, now: float, sender: m.Replica, request: m.VoteRequest) -> None:
        longest = m.VoteRequest(request.term, 1 << 40, 1 << 40, request.pre_vote, request.leadership_transfer)
        super().on_vote_request(now, sender, longest)


class ShorterLogsWin(RaftNode):
    """A candidate whose log lacks what is committed gets a vote."""

    election_type = CarelessElection


class CredulousFollower(Follower):
    def on_append_entries(self, now: float, sender: m.Replica, message: m.AppendEntries) -> None:
        super().on_append_entries(now, sender, message)
        commit = min(message.leader_commit, self.log.last_index())
        if self.election.leader == sender and commit > self.log.commit_index:
            self.applier.commit_to(commit)


class CommitsUnseen(RaftNode):
    """A follower commits as far as its leader, though its own log may differ there."""

    follower_type = CredulousFollower


class OldIncarnation(ReplicaGroupSimulation):
    """A gateway whose disk was lost comes back as the copy it was."""

    def wipe(self, one: VirtualReplica) -> None:
        if not self.whole(without=one.copy):
            return
        self.kill(one.copy)
        one.disk = VirtualDisk(m.PersistentState(self.first))
        self.start(one.copy)


FAULTY_NODES: dict[str, type[RaftNode]] = {
    one.__name__: one
    for one in (
        VoteBeforeDurable, AppendedBeforeDurable, OlderTermByCount, TwoChangesAtOnce, ReadsUnconfirmed,
        OwnEntriesUnwritten, VotesTwice, ShorterLogsWin, CommitsUnseen,
    )
}  # fmt: skip
FAULTY_GROUPS: dict[str, type[ReplicaGroupSimulation]] = {"OldIncarnation": OldIncarnation}
PLANTED_FAULTS = (*FAULTY_NODES, *FAULTY_GROUPS)


def run_seed(seed: int, planted_fault: str = "") -> str:
    """What broke in the play of that seed, or nothing."""
    return run_simulation(
        FAULTY_GROUPS.get(planted_fault, ReplicaGroupSimulation),
        seed,
        FAULTY_NODES.get(planted_fault, RaftNode),
    )
