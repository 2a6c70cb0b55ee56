"""Records that replicas of a group store and send, and the events and outputs of a replica's step.

What is stored or sent holds positions and tags only (`array_like`, `tag`): names may change; tags, the order
of fields and their defaults may not. A replica is named by its gateway and its incarnation,
`NAME/INCARNATION`. The incarnation is created with the store: a gateway that lost its disk returns as another
replica, which is not bound by the votes and acknowledgements of the lost one.
"""

from __future__ import annotations

import enum

import msgspec

from .roles import Role, RoleChangeReason

Replica = str  # NAME/INCARNATION


def gateway_of(replica: Replica) -> str:
    """Return the name of a replica's gateway."""
    return replica.rpartition("/")[0]


class Members(msgspec.Struct, array_like=True, frozen=True):
    """Voters, which elect and commit, and learners, which only receive entries."""

    voters: tuple[Replica, ...]
    learners: tuple[Replica, ...] = ()

    def all(self) -> tuple[Replica, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    def majority(self) -> int:
        """Return how many voters form a quorum."""
        return len(self.voters) // 2 + 1


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """An entry of the log. `stamp` is the log's time in ms, which never goes back and never runs ahead."""

    index: int
    term: int
    stamp: float
    data: bytes = b""
    members: Members | None = None  # of a membership change


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state machine's state after the log's entries up to `index`."""

    index: int
    term: int
    stamp: float
    members: Members
    data: bytes


class PersistentState(msgspec.Struct, frozen=True):
    """The durable state of a replica."""

    snapshot: Snapshot
    term: int = 0
    vote: Replica = ""
    entries: tuple[Entry, ...] = ()


# Messages. Each carries its sender's term.


class VoteRequest(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A candidate's request for a vote; with `pre_vote`, it asks whether it would get one in that term."""

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    leadership_transfer: bool  # the leader asked for it: replicas in contact with the leader vote too


class VoteResponse(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """A vote that is granted or denied."""

    term: int
    granted: bool
    pre_vote: bool


class AppendEntries(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Entries after the one at `previous_index`; none in a heartbeat.

    A majority's responses confirm `round`.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    round: int


class AppendEntriesResponse(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """How far the durable log matches the leader's; without `success`, where to look for agreement."""

    term: int
    success: bool
    index: int
    round: int


class SnapshotChunk(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """A part of a snapshot, from byte `offset` on."""

    term: int
    index: int
    snapshot_term: int
    stamp: float
    members: Members
    offset: int
    data: bytes
    is_last: bool
    round: int


class SnapshotChunkAck(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """The receipt of a chunk of the snapshot at `index`; the next one is to begin at `next_offset`."""

    term: int
    index: int
    next_offset: int
    round: int


class TimeoutNow(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """The leader transfers leadership: campaign at once."""

    term: int


Message = (
    VoteRequest | VoteResponse | AppendEntries | AppendEntriesResponse | SnapshotChunk | SnapshotChunkAck
    | TimeoutNow
)  # fmt: skip


# Events


class MembershipAction(enum.StrEnum):
    """A change of a replica's membership. The values appear in log lines."""

    ADD_LEARNER = "learner"
    PROMOTE = "voter"
    REMOVE = "out"
    TRANSFER_LEADERSHIP = "transfer"  # changes no members, but precedes the leader's removal


class MessageReceived(msgspec.Struct, frozen=True):
    """A message from another replica."""

    sender: Replica
    message: Message


class WriteCompleted(msgspec.Struct, frozen=True):
    """The write `number`, and all writes before it, are durable."""

    number: int


class Tick(msgspec.Struct, frozen=True):
    """A timer event, which carries no data."""


class Propose(msgspec.Struct, frozen=True):
    """A request to append `data` to the log."""

    request_id: int
    data: bytes


class ReadRequest(msgspec.Struct, frozen=True):
    """A request to read the state machine linearizably."""

    request_id: int


class ChangeMembership(msgspec.Struct, frozen=True):
    """A request to add or remove a member, or to promote a learner to a voter."""

    request_id: int
    action: MembershipAction
    replica: Replica


class TransferLeadership(msgspec.Struct, frozen=True):
    """A request to transfer leadership to a voter, by default the most up-to-date."""

    to: Replica = ""


class SnapshotCreated(msgspec.Struct, frozen=True):
    """The state machine's state as of the entry at `index`."""

    index: int
    data: bytes


Event = (
    MessageReceived | WriteCompleted | Tick | Propose | ReadRequest | ChangeMembership | TransferLeadership
    | SnapshotCreated
)  # fmt: skip


# Outputs


class RequestOutcome(enum.StrEnum):
    """How a request ended at the replica. `REJECTED` and `UNKNOWN` are sent to clients by their values."""

    READ_READY = "read"  # answer once the entries up to the result's index are applied
    REJECTED = "refused"  # nothing was or will be done
    UNKNOWN = "unknown"  # it may still be applied, or not


class Send(msgspec.Struct, frozen=True):
    """Send a message, which may be lost."""

    to: Replica
    message: Message


class Write(msgspec.Struct, frozen=True):
    """Make durable, in the order of numbers.

    Entries replace the log from the first one's index on; a snapshot replaces the entries up to its index, or
    the whole log if `reset`.
    """

    number: int
    term: int
    vote: Replica
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    reset: bool = False


class Apply(msgspec.Struct, frozen=True):
    """Apply a committed entry, each once and in order."""

    entry: Entry
    request_id: int | None = None  # of the proposal, if it was made here


class RestoreSnapshot(msgspec.Struct, frozen=True):
    """Replace the applied state by that of a snapshot."""

    snapshot: Snapshot


class RequestResult(msgspec.Struct, frozen=True):
    """Answer a request other than by `Apply`; `leader_hint` is the leader, if known."""

    request_id: int
    outcome: RequestOutcome
    index: int = 0
    leader_hint: Replica = ""


class CreateSnapshot(msgspec.Struct, frozen=True):
    """Create a snapshot of the state as of the entry at `index`, the last that was emitted."""

    index: int


class RoleChanged(msgspec.Struct, frozen=True):
    """The role or the leader has changed; `leader` is empty if none is known."""

    role: Role
    term: int
    leader: Replica
    reason: RoleChangeReason


Output = Send | Write | Apply | RestoreSnapshot | RequestResult | CreateSnapshot | RoleChanged
