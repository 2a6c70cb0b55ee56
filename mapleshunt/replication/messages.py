"""What copies of a group tell each other and keep: records only.

A copy is named by its gateway and its incarnation, `NAME/INCARNATION`. The incarnation is made with the
store: a gateway that lost its disk comes back as another copy, and nothing that the lost one said counts for
it.
"""

from __future__ import annotations

import msgspec

Copy = str  # NAME/INCARNATION


def gateway_of(copy: Copy) -> str:
    return copy.rpartition("/")[0]


class Members(msgspec.Struct, array_like=True, frozen=True):
    """Who decides (voters) and who only listens (learners)."""

    voters: tuple[Copy, ...]
    learners: tuple[Copy, ...] = ()

    def all(self) -> tuple[Copy, ...]:
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


class Stored(msgspec.Struct, frozen=True):
    """What a copy's disk holds."""

    snapshot: Snapshot
    term: int = 0
    vote: Copy = ""
    entries: tuple[Entry, ...] = ()


# Messages. All but the first two and the last carry their sender's term.


class Ask(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A candidate asks for a vote; `pre`: would it get one in that term?"""

    term: int
    last_index: int
    last_term: int
    pre: bool
    told: bool  # the leader told it to: others that hear the leader vote too


class Vote(msgspec.Struct, array_like=True, tag=2, frozen=True):
    term: int
    granted: bool
    pre: bool


class Append(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Entries after the one at `before`; empty as a heartbeat. `round` numbers what a majority confirms."""

    term: int
    before: int
    before_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class Appended(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """`index` up to which its durable log is the leader's, or, if not `good`, where to look for agreement."""

    term: int
    good: bool
    index: int
    round: int


class Piece(msgspec.Struct, array_like=True, tag=5, frozen=True):
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


class PieceTaken(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """`offset` is where the next piece is to begin."""

    term: int
    index: int
    offset: int
    round: int


class TimeoutNow(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """The leader hands over: campaign at once."""

    term: int


Message = Ask | Vote | Append | Appended | Piece | PieceTaken | TimeoutNow


# Events


class Heard(msgspec.Struct, frozen=True):
    sender: Copy
    message: Message


class Written(msgspec.Struct, frozen=True):
    """The write of that number, and all before it, are durable."""

    number: int


class Tick(msgspec.Struct, frozen=True):
    pass


class Propose(msgspec.Struct, frozen=True):
    call: int
    data: bytes


class Read(msgspec.Struct, frozen=True):
    call: int


class Change(msgspec.Struct, frozen=True):
    """One copy more or less: `how` is learner (joins to listen), voter (may decide), or out."""

    call: int
    how: str
    copy: Copy


class Transfer(msgspec.Struct, frozen=True):
    """Hand leadership to that copy, or to whoever is furthest."""

    to: Copy = ""


class Snapped(msgspec.Struct, frozen=True):
    """The state as of the entry at `index`, all applied up to there."""

    index: int
    data: bytes


Event = Heard | Written | Tick | Propose | Read | Change | Transfer | Snapped


# What a step asks of its host, in order


class Send(msgspec.Struct, frozen=True):
    to: Copy
    message: Message


class Write(msgspec.Struct, frozen=True):
    """Make durable, in the order of numbers. Entries replace what the log holds from the first's index on;
    a snapshot replaces all up to its index, and the whole log if `reset`.
    """

    number: int
    term: int
    vote: Copy
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    reset: bool = False


class Apply(msgspec.Struct, frozen=True):
    """A committed entry, each once and in order."""

    entry: Entry
    call: int | None = None  # of the one who proposed it here


class Install(msgspec.Struct, frozen=True):
    """Take this state in place of all that was applied."""

    snapshot: Snapshot


class Answer(msgspec.Struct, frozen=True):
    """To a call: "read" (answer once all up to `index` is applied), "refused" (nothing was or will be done),
    or "unknown" (it may come to be applied, or not). `hint` is who leads, if known.
    """

    call: int
    how: str
    index: int = 0
    hint: Copy = ""


class WantSnapshot(msgspec.Struct, frozen=True):
    """Hand in the state as of the entry at `index`, the last that was handed out to be applied."""

    index: int


class Role(msgspec.Struct, frozen=True):
    """The role has changed: leader, follower, candidate; `leader` is who leads, if known."""

    role: str
    term: int
    leader: Copy
    why: str


Output = Send | Write | Apply | Install | Answer | WantSnapshot | Role
