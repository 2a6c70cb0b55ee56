"""Faults planted in the copies, to see that the plays of `model.copies` find them."""

from __future__ import annotations

from ..replication import messages as m
from ..replication.node import RaftNode
from .replication_plays import ReplicaGroupPlay, VirtualDisk, VirtualReplica, run_play


class Hasty(RaftNode):
    """Some messages go out before what they rest on is on disk."""

    hasty: type[m.Message]  # which

    def _say(self, to: m.Replica, message: m.Message) -> None:
        if isinstance(message, self.hasty):
            self.out.append(m.Send(to, message))
        else:
            super()._say(to, message)


class VoteBeforeDurable(Hasty):
    """A vote is answered before it is on disk."""

    hasty = m.VoteResponse


class AppendedBeforeDurable(Hasty):
    """Entries are acknowledged before they are on disk."""

    hasty = m.AppendEntriesResponse


class OlderTermByCount(RaftNode):
    """An entry of an older term is committed because a majority holds it."""

    def _committable(self, index: int) -> bool:
        return True


class TwoChangesAtOnce(RaftNode):
    """A change of membership does not wait for the one before."""

    def _one_change_only(self) -> bool:
        return False


class ReadsUnconfirmed(RaftNode):
    """A leader answers reads by what it believes: after a stop it may lead no more."""

    def _confirm(self, now: float) -> None:
        for call, index, _ in self.reads:
            self.out.append(m.RequestResult(call, "read", index))
        self.reads = []
        self._begin_round(now)

    def _look(self, now: float) -> None:
        if self.role != "leader" or now < self._quorum_until():
            super()._look(now)


class OwnEntriesUnwritten(RaftNode):
    """A leader counts its own entries before they are on disk."""

    def _matched(self, copy: m.Replica) -> int:
        return self.last_index() if copy == self.me else super()._matched(copy)


class VotesTwice(RaftNode):
    """A vote that was given does not bind."""

    def _asked(self, now: float, sender: m.Replica, ask: m.VoteRequest) -> None:
        if not ask.pre and ask.term >= self.term:
            self.vote = "" if self.role != "leader" else self.vote
        super()._asked(now, sender, ask)


class ShorterLogsWin(RaftNode):
    """A candidate whose log lacks what is committed gets a vote."""

    def _asked(self, now: float, sender: m.Replica, ask: m.VoteRequest) -> None:
        longest = m.VoteRequest(ask.term, 1 << 40, 1 << 40, ask.pre, ask.told)
        super()._asked(now, sender, longest)


class CommitsUnseen(RaftNode):
    """A follower commits as far as its leader, though its own log may differ there."""

    def _take_entries(self, now: float, sender: m.Replica, message: m.AppendEntries) -> None:
        super()._take_entries(now, sender, message)
        if self.leader == sender and min(message.commit, self.last_index()) > self.commit:
            self._commit_to(min(message.commit, self.last_index()))


class OldIncarnation(ReplicaGroupPlay):
    """A gateway whose disk was lost comes back as the copy it was."""

    def wipe(self, one: VirtualReplica) -> None:
        if not self.whole(without=one.copy):
            return
        self.kill(one.copy)
        one.disk = VirtualDisk(m.PersistentState(self.first))
        self.start(one.copy)


NODES: dict[str, type[RaftNode]] = {
    one.__name__: one
    for one in (
        VoteBeforeDurable, AppendedBeforeDurable, OlderTermByCount, TwoChangesAtOnce, ReadsUnconfirmed,
        OwnEntriesUnwritten, VotesTwice, ShorterLogsWin, CommitsUnseen,
    )
}  # fmt: skip
GROUPS: dict[str, type[ReplicaGroupPlay]] = {"OldIncarnation": OldIncarnation}
PLANTS = (*NODES, *GROUPS)


def play(seed: int, plant: str = "") -> str:
    """What broke in the play of that seed, or nothing."""
    return run_play(GROUPS.get(plant, ReplicaGroupPlay), seed, NODES.get(plant, RaftNode))
