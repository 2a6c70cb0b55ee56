"""What copies of a group tell each other and keep: records only.

A copy is named by its gateway and its incarnation, `NAME/INCARNATION`. The incarnation is made with the
store: a gateway that lost its disk comes back as another copy, and nothing that the lost one said counts for
it.
"""

from __future__ import annotations

import msgspec

Replica = str  # NAME/INCARNATION


def gateway_of(copy: Replica) -> str:
    return copy.rpartition("/")[0]


class Members(msgspec.Struct, array_like=True, frozen=True):
    """Who decides (voters) and who only listens (learners)."""

    voters: tuple[Replica, ...]
    learners: tuple[Replica, ...] = ()

    def all(self) -> tuple[Replica, ...]:
        return self.voters + self.learners

    def majority(self) -> int:
        return len(self.voters) // 2 + 1


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A place in the log. `stamp` is the log's own time in ms: it never goes back, and never runs ahead."""

    index: int
    term: int
    stamp: float
    data: bytes = b""
    members: Members | None = None  # of a change of membership


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """All that the log up to `index` came to."""

    index: int
    term: int
    stamp: float
    members: Members
    data: bytes


class PersistentState(msgspec.Struct, frozen=True):
    """What a copy's disk holds."""

    snapshot: Snapshot
    term: int = 0
    vote: Replica = ""
    entries: tuple[Entry, ...] = ()


# Messages. All but the first two and the last carry their sender's term.


class VoteRequest(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A candidate asks for a vote; `pre`: would it get one in that term?"""

    term: int
    last_index: int
    last_term: int
    pre: bool
    told: bool  # the leader told it to: others that hear the leader vote too


class VoteResponse(msgspec.Struct, array_like=True, tag=2, frozen=True):
    term: int
    granted: bool
    pre: bool


class AppendEntries(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Entries after the one at `before`; empty as a heartbeat. `round` numbers what a majority confirms."""

    term: int
    before: int
    before_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class AppendEntriesResponse(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """`index` up to which its durable log is the leader's, or, if not `good`, where to look for agreement."""

    term: int
    good: bool
    index: int
    round: int


class SnapshotChunk(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """A part of a snapshot, from `offset` on."""

    term: int
    index: int
    at_term: int
    stamp: float
    members: Members
    offset: int
    data: bytes
    last: bool
    round: int


class SnapshotChunkAck(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """`offset` is where the next piece is to begin."""

    term: int
    index: int
    offset: int
    round: int


class TimeoutNow(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """The leader hands over: campaign at once."""

    term: int


Message = (
    VoteRequest | VoteResponse | AppendEntries | AppendEntriesResponse | SnapshotChunk | SnapshotChunkAck
    | TimeoutNow
)  # fmt: skip


# Events


class MessageReceived(msgspec.Struct, frozen=True):
    sender: Replica
    message: Message


class WriteCompleted(msgspec.Struct, frozen=True):
    """The write of that number, and all before it, are durable."""

    number: int


class Tick(msgspec.Struct, frozen=True):
    pass


class Propose(msgspec.Struct, frozen=True):
    call: int
    data: bytes


class ReadRequest(msgspec.Struct, frozen=True):
    call: int


class ChangeMembership(msgspec.Struct, frozen=True):
    """One copy more or less: `how` is learner (joins to listen), voter (may decide), or out."""

    call: int
    how: str
    copy: Replica


class TransferLeadership(msgspec.Struct, frozen=True):
    """Hand leadership to that copy, or to whoever is furthest."""

    to: Replica = ""


class SnapshotCreated(msgspec.Struct, frozen=True):
    """The state as of the entry at `index`, all applied up to there."""

    index: int
    data: bytes


Event = (
    MessageReceived | WriteCompleted | Tick | Propose | ReadRequest | ChangeMembership | TransferLeadership
    | SnapshotCreated
)  # fmt: skip


# What a step asks of its host, in order


class Send(msgspec.Struct, frozen=True):
    to: Replica
    message: Message


class Write(msgspec.Struct, frozen=True):
    """Make durable, in the order of numbers. Entries replace what the log holds from the first's index on;
    a snapshot replaces all up to its index, and the whole log if `reset`.
    """

    number: int
    term: int
    vote: Replica
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    reset: bool = False


class Apply(msgspec.Struct, frozen=True):
    """A committed entry, each once and in order."""

    entry: Entry
    call: int | None = None  # of the one who proposed it here


class RestoreSnapshot(msgspec.Struct, frozen=True):
    """Take this state in place of all that was applied."""

    snapshot: Snapshot


class RequestResult(msgspec.Struct, frozen=True):
    """To a call: "read" (answer once all up to `index` is applied), "refused" (nothing was or will be done),
    or "unknown" (it may come to be applied, or not). `hint` is who leads, if known.
    """

    call: int
    how: str
    index: int = 0
    hint: Replica = ""


class CreateSnapshot(msgspec.Struct, frozen=True):
    """Hand in the state as of the entry at `index`, the last that was handed out to be applied."""

    index: int


class RoleChanged(msgspec.Struct, frozen=True):
    """The role has changed: leader, follower, candidate; `leader` is who leads, if known."""

    role: str
    term: int
    leader: Replica
    why: str


Output = Send | Write | Apply | RestoreSnapshot | RequestResult | CreateSnapshot | RoleChanged
