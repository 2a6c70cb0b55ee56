"""One copy of one group: Raft without I/O, clock or chance of its own.

After Ongaro's thesis "Consensus: Bridging Theory and Practice" (2014): pre-vote and check of quorum (9.6,
6.2), leadership transfer (3.10), changes by one member at a time with a committed entry of the own term first
(4.1 and the correction of 2015), learners, snapshots in pieces (5), reads by a confirmed round (6.4).

`step(now, event)` takes what happened at `now` (s, a clock that never goes back) and returns what to do, in
order. Writes are made durable in their order and told with `WriteCompleted`; whatever a copy says that rests
on a write is held until then. Only a leader's entries go out earlier: others may have them durable before it
has.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

from .messages import (
    AppendEntries,
    AppendEntriesResponse,
    Apply,
    ChangeMembership,
    CreateSnapshot,
    Entry,
    Event,
    Members,
    Message,
    MessageReceived,
    Output,
    PersistentState,
    Propose,
    ReadRequest,
    Replica,
    RequestResult,
    RestoreSnapshot,
    RoleChanged,
    Send,
    Snapshot,
    SnapshotChunk,
    SnapshotChunkAck,
    SnapshotCreated,
    Tick,
    TimeoutNow,
    TransferLeadership,
    VoteRequest,
    VoteResponse,
    Write,
    WriteCompleted,
)

T = TypeVar("T", int, float)


@dataclass(slots=True, frozen=True)
class RaftConfig:
    """Times in s, sizes in bytes. The source of the proportions is the thesis, 9.3: a broadcast takes far
    less than an election's timeout, and timeouts are drawn from [election, 2 election).
    """

    election: float = 1.0
    heartbeat: float = 0.2
    batch: int = 64 * 1024  # of entries in one message
    window: int = 8  # messages out to a follower
    piece: int = 64 * 1024  # of a snapshot in one message
    keep: int = 256  # entries left behind a snapshot, for followers that are a little late
    compact: int = 2048  # applied entries after which a snapshot is wanted
    queue: int = 1024  # proposals not yet committed, beyond which more are refused


@dataclass(slots=True)
class Progress:
    """What a leader knows of another copy."""

    match: int = 0  # its durable log agrees up to here
    next: int = 1
    probing: bool = True  # one message at a time until it agrees
    out: deque[int] = field(default_factory=deque)  # last indexes of messages that are not answered
    heard: float = 0.0  # when it last answered
    round: int = 0  # the last round it confirmed
    moved: float = 0.0  # when `match` last grew or something was sent anew
    snapshot: Snapshot | None = None  # it is being sent this
    offset: int = 0


@dataclass(slots=True)
class Incoming:
    """A snapshot that is coming in pieces."""

    index: int
    term: int
    sender: Replica
    data: bytearray = field(default_factory=bytearray)


def _kind(message: Message) -> tuple[type[Message], bool]:
    """Which messages to one copy stand in for each other; those of a pre-vote and of a vote do not."""
    return type(message), bool(getattr(message, "pre", False))


class RaftNode:
    def __init__(
        self, me: Replica, stored: PersistentState, timing: RaftConfig, seed: int, now: float
    ) -> None:
        self.me, self.timing, self.random = me, timing, random.Random(seed)
        self.term, self.vote = stored.term, stored.vote
        self.snapshot, self.log = stored.snapshot, list(stored.entries)
        self.latest = self._latest()
        self.commit = stored.snapshot.index  # what is committed is handed out to be applied at once
        self.role, self.leader = "follower", ""
        self.written = self.numbered = 0  # writes that are durable, and that were asked for
        self.durable = self.last_index()  # the log up to here is on disk
        self.marks: deque[tuple[int, int]] = deque()  # by write: the log's end once it is durable
        self.held: deque[tuple[int, Replica, Message]] = deque()  # by write: what waits for it
        self.self_vote = 0  # the write that makes the own vote durable
        self.votes: set[Replica] = set()
        self.progress: dict[Replica, Progress] = {}
        self.calls: dict[int, tuple[int, int]] = {}  # by index: term and call
        self.reads: list[tuple[int, int, int]] = []  # call, index, round that must be confirmed
        self.early: list[int] = []  # reads that wait for a first committed entry of this term
        self.next_reads: list[int] = []  # that came while a round was out: they share the one after it
        self.round = 0
        self.base_stamp, self.base_now = 0.0, now
        self.transferring: Replica = ""
        self.transfer_until = 0.0
        self.incoming: Incoming | None = None
        self.wanted = False  # a snapshot was asked for
        self.heard_leader = -1e9
        self.beat = 0.0
        self.out: list[Output] = []
        self.deadline = now + self._timeout()

    # What it is asked

    def step(self, now: float, event: Event) -> list[Output]:
        self.out = []
        match event:
            case Tick():
                pass
            case WriteCompleted(number):
                self._written(now, number)
            case MessageReceived(sender, message):
                self._heard(now, sender, message)
            case Propose(call, data):
                self._propose(now, call, data)
            case ReadRequest(call):
                self._read(now, call)
            case ChangeMembership():
                self._change(now, event)
            case TransferLeadership(to):
                self._transfer(now, to)
            case SnapshotCreated(index, data):
                self._snapped(index, data)
        self._look(now)
        return self.out

    def wake(self) -> float:
        """When the next `Tick` is due."""
        return min(self.beat, self._quorum_until()) if self.role == "leader" else self.deadline

    # The log

    def last_index(self) -> int:
        return self.log[-1].index if self.log else self.snapshot.index

    def last_term(self) -> int:
        return self.log[-1].term if self.log else self.snapshot.term

    def last_stamp(self) -> float:
        return self.log[-1].stamp if self.log else self.snapshot.stamp

    def first_index(self) -> int:
        """The first that the log still holds, or would hold next."""
        return self.log[0].index if self.log else self.snapshot.index + 1

    def term_at(self, index: int) -> int | None:
        """None where it is not known any more, or not yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.first_index()
        return self.log[at].term if 0 <= at < len(self.log) else None

    def entries(self, start: int, end: int | None = None) -> list[Entry]:
        at = start - self.first_index()
        return self.log[max(0, at) : None if end is None else end - self.first_index()]

    def members(self) -> Members:
        """As of the log's end: a change holds from when it is in the log, committed or not."""
        return self.latest

    def _latest(self) -> Members:
        """Read off the log: too far for each step, so it is kept, and read anew where the log turns."""
        for entry in reversed(self.log):
            if entry.members is not None and entry.index > self.snapshot.index:
                return entry.members
        return self.snapshot.members

    def _changing(self) -> bool:
        """Is a change of membership in the log and not yet committed?"""
        return any(entry.members is not None for entry in self.entries(self.commit + 1))

    # Writing and telling

    def _write(
        self, entries: tuple[Entry, ...] = (), snapshot: Snapshot | None = None, reset: bool = False
    ) -> None:
        self.numbered += 1
        self.marks.append((self.numbered, self.last_index()))
        self.out.append(Write(self.numbered, self.term, self.vote, entries, snapshot, reset))

    def _say(self, to: Replica, message: Message) -> None:
        """Tell once all that was written before is durable."""
        if self.numbered > self.written:
            self._hold(to, message)
        else:
            self.out.append(Send(to, message))

    def _hold(self, to: Replica, message: Message) -> None:
        """Keep it until the last write is durable, in place of an earlier one of its kind that waits for the
        same write: the newer says all that still matters, and a disk may take nothing for hours.
        """
        kind = _kind(message)
        for at in reversed(range(len(self.held))):
            number, copy, earlier = self.held[at]
            if number != self.numbered:
                break
            if copy == to and _kind(earlier) == kind:
                self.held[at] = (number, to, message)
                return
        self.held.append((self.numbered, to, message))

    def _written(self, now: float, number: int) -> None:
        self.written = max(self.written, number)
        while self.marks and self.marks[0][0] <= self.written:
            self.durable = min(self.marks.popleft()[1], self.last_index())
        while self.held and self.held[0][0] <= self.written:
            _, to, message = self.held.popleft()
            self.out.append(Send(to, message))
        if self.role == "candidate" and self.self_vote and self.self_vote <= self.written:
            self.self_vote = 0
            self._take_vote(now, self.me)
        self._advance(now)

    # Terms and elections

    def _timeout(self) -> float:
        return self.timing.election * (1 + self.random.random())

    def _hears_leader(self, now: float) -> bool:
        return now - self.heard_leader < self.timing.election

    def _become(self, role: str, leader: Replica, why: str) -> None:
        if (role, leader) != (self.role, self.leader):
            self.out.append(RoleChanged(role, self.term, leader, why))
        self.leader = leader
        if self.role == "leader" and role != "leader":
            for index in sorted(self.calls):
                self.out.append(RequestResult(self.calls[index][1], "unknown", hint=self.leader))
            for call in [*(call for call, _, _ in self.reads), *self.early, *self.next_reads]:
                self._refuse(call)
            self.calls, self.reads, self.early, self.next_reads, self.progress = {}, [], [], [], {}
            self.transferring = ""
        self.role = role

    def _follow(self, now: float, term: int, leader: Replica, why: str) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
            self._write()
        self._become("follower", leader, why)
        self.votes = set()

    def _campaign(self, now: float, pre: bool, told: bool = False) -> None:
        self.deadline = now + self._timeout()
        if self.me not in self.members().voters:
            return
        self.votes, self.self_vote = set(), 0
        if pre:
            self._become("precandidate", "", "timeout")
        else:
            self.term, self.vote = self.term + 1, self.me
            self._write()
            self.self_vote = self.numbered
            self._become("candidate", "", "told" if told else "timeout")
        term = self.term + 1 if pre else self.term
        for copy in self.members().voters:
            if copy != self.me:
                self._say(copy, VoteRequest(term, self.last_index(), self.last_term(), pre, told))
        if pre:
            self._take_vote(now, self.me)

    def _take_vote(self, now: float, copy: Replica) -> None:
        members = self.members()
        if copy in members.voters:
            self.votes.add(copy)
        if len(self.votes) < members.majority() or self.me not in self.votes:
            return  # its own too: one whose term is not on disk could lead the same term in its next life
        if self.role == "precandidate":
            self._campaign(now, pre=False)
        elif self.role == "candidate":
            self._lead(now)

    def _lead(self, now: float) -> None:
        self._become("leader", self.me, "elected")
        self.base_stamp, self.base_now = self.last_stamp(), now
        self.round, self.beat = self.round + 1, now
        self.progress = {}
        self._track(now)
        self._append(now, Entry(self.last_index() + 1, self.term, self._stamp(now)))

    def stamp(self, now: float) -> float:
        """The log's time now, as far as this copy can tell; exact at whoever leads."""
        return self._stamp(now) if self.role == "leader" else self.last_stamp()

    def _stamp(self, now: float) -> float:
        """The log's time: that of the entry it began with, and what passed here since. A clock that is ahead
        or was set cannot hurry it, and while nobody leads it stands: nothing runs out too early.
        """
        return max(self.last_stamp(), self.base_stamp + 1000 * (now - self.base_now))

    def _asked(self, now: float, sender: Replica, ask: VoteRequest) -> None:
        if not ask.told and (self._hears_leader(now) or self.role == "leader"):
            return  # whoever hears a leader helps nobody to another term
        newer = (ask.last_term, ask.last_index) >= (self.last_term(), self.last_index())
        if ask.pre:
            granted = newer and ask.term > self.term
            self._say(sender, VoteResponse(ask.term if granted else self.term, granted, True))
            return
        if ask.term > self.term:
            self._follow(now, ask.term, "", "term")
        free = self.vote in ("", sender) and self.role in ("follower", "precandidate")
        granted = ask.term == self.term and newer and free
        if granted and self.vote != sender:
            self.vote = sender
            self._write()
        if granted:
            self.deadline = now + self._timeout()
        self._say(sender, VoteResponse(self.term, granted, False))

    def _voted(self, now: float, sender: Replica, vote: VoteResponse) -> None:
        if vote.pre and vote.granted:
            if self.role == "precandidate" and vote.term == self.term + 1:
                self._take_vote(now, sender)
        elif vote.term > self.term:  # else one of a longer log and a lower term would ask in vain for ever
            self._follow(now, vote.term, "", "term")
        elif self.role == "candidate" and vote.granted and vote.term == self.term:
            self._take_vote(now, sender)

    # Following

    def _from_leader(self, now: float, sender: Replica, term: int) -> bool:
        if term < self.term:
            return False
        if term > self.term or self.role != "follower" or self.leader != sender:
            self._follow(now, term, sender, "term" if term > self.term else "heard")
        self.heard_leader, self.deadline = now, now + self._timeout()
        return True

    def _take_entries(self, now: float, sender: Replica, message: AppendEntries) -> None:
        if not self._from_leader(now, sender, message.term):
            self._say(sender, AppendEntriesResponse(self.term, False, self.last_index(), 0))
            return
        before, entries = message.before, message.entries
        if before < self.commit:  # what is committed is the same everywhere
            entries = tuple(entry for entry in entries if entry.index > self.commit)
            before = max(before, min(self.commit, message.entries[-1].index if message.entries else before))
        elif self.term_at(before) != message.before_term:
            hint = min(before - 1, self.last_index())
            while hint > self.commit and (self.term_at(hint) or 0) > message.before_term:
                hint -= 1
            self._say(sender, AppendEntriesResponse(self.term, False, max(hint, self.commit), message.round))
            return
        new = tuple(entry for entry in entries if self.term_at(entry.index) != entry.term)
        if new:
            new = entries[entries.index(new[0]) :]
            at = new[0].index - self.first_index()
            changes = any(entry.members is not None for entry in (*self.log[at:], *new))
            del self.log[at:]
            end = self.last_index()
            self.durable = min(self.durable, end)
            self.marks = deque((number, min(mark, end)) for number, mark in self.marks)
            self.log.extend(new)
            self.latest = self._latest() if changes else self.latest
            self._write(new)
        agreed = entries[-1].index if entries else before
        if min(message.commit, agreed) > self.commit:
            self._commit_to(min(message.commit, agreed))
        self._say(sender, AppendEntriesResponse(self.term, True, agreed, message.round))

    def _take_piece(self, now: float, sender: Replica, piece: SnapshotChunk) -> None:
        if not self._from_leader(now, sender, piece.term):
            self._say(sender, AppendEntriesResponse(self.term, False, self.last_index(), 0))
            return
        if piece.index <= self.commit:
            self._say(sender, AppendEntriesResponse(self.term, True, self.commit, piece.round))
            return
        here = self.incoming
        if here is None or (here.index, here.term, here.sender) != (piece.index, piece.term, sender):
            here = self.incoming = Incoming(piece.index, piece.term, sender)
        if piece.offset == len(here.data):
            here.data += piece.data
            if piece.last:
                self.incoming = None
                whole = Snapshot(piece.index, piece.at_term, piece.stamp, piece.members, bytes(here.data))
                self._install(whole)
                self._say(sender, AppendEntriesResponse(self.term, True, piece.index, piece.round))
                return
        self._say(sender, SnapshotChunkAck(self.term, piece.index, len(here.data), piece.round))

    def _install(self, snapshot: Snapshot) -> None:
        agrees = self.term_at(snapshot.index) == snapshot.term
        self.log = self.entries(snapshot.index + 1) if agrees else []
        self.snapshot, self.commit = snapshot, snapshot.index
        self.latest = self._latest()
        self.durable = min(self.durable, self.last_index())
        self._write(snapshot=snapshot, reset=not agrees)
        self.wanted = False
        self.out.append(RestoreSnapshot(snapshot))

    # Leading

    def _track(self, now: float) -> None:
        """Keep a record of every other member, and of none besides."""
        members = self.members().all()
        for copy in [one for one in self.progress if one not in members]:
            del self.progress[copy]
        for copy in members:
            if copy != self.me and copy not in self.progress:
                self.progress[copy] = Progress(next=self.last_index() + 1, heard=now, moved=now)

    def _append(self, now: float, entry: Entry) -> None:
        self.log.append(entry)
        self._write((entry,))
        if entry.members is not None:
            self.latest = entry.members
            self._track(now)
        for copy in self.progress:
            self._feed(now, copy)

    def _feed(self, now: float, copy: Replica, beat: bool = False) -> None:
        """Send what the other copy lacks, as far as its window allows; `beat`: at least a heartbeat."""
        one = self.progress[copy]
        sent = False
        while not one.snapshot and len(one.out) < (1 if one.probing else self.timing.window):
            if self.term_at(one.next - 1) is None:  # the log does not reach back so far
                self._begin_snapshot(now, copy)
                return
            if one.next > self.last_index():
                break
            entries: list[Entry] = []
            size = 0
            for entry in self.entries(one.next):
                size += len(entry.data) + 64
                if entries and size > self.timing.batch:
                    break
                entries.append(entry)
            self._send_append(copy, one.next - 1, tuple(entries))
            if not one.out:
                one.moved = now
            one.out.append(entries[-1].index)
            one.next = entries[-1].index + 1
            sent = True
        if beat and not sent:  # while a snapshot is on its way, too: its pieces may be held back
            at = self.snapshot.index if one.snapshot else one.match or one.next - 1  # agreed, or a probe
            if self.term_at(at) is None:
                self._begin_snapshot(now, copy)
            else:
                self._send_append(copy, at, ())

    def _begin_snapshot(self, now: float, copy: Replica) -> None:
        one = self.progress[copy]
        one.snapshot, one.offset, one.moved = self.snapshot, 0, now
        one.out.clear()
        self._feed_piece(copy)

    def _send_append(self, copy: Replica, before: int, entries: tuple[Entry, ...]) -> None:
        term = self.term_at(before)
        assert term is not None
        self.out.append(Send(copy, AppendEntries(self.term, before, term, entries, self.commit, self.round)))

    def _feed_piece(self, copy: Replica) -> None:
        one = self.progress[copy]
        if (whole := one.snapshot) is None:
            return
        data = whole.data[one.offset : one.offset + self.timing.piece]
        last = one.offset + len(data) >= len(whole.data)
        self.out.append(Send(copy, SnapshotChunk(
            self.term, whole.index, whole.term, whole.stamp, whole.members, one.offset, data, last, self.round
        )))  # fmt: skip

    def _answered(self, now: float, sender: Replica, round_: int) -> Progress | None:
        one = self.progress.get(sender)
        if one is not None:
            one.heard, one.round = now, max(one.round, round_)
            self._confirm(now)
        return one

    def _appended(self, now: float, sender: Replica, message: AppendEntriesResponse) -> None:
        one = self._answered(now, sender, message.round)
        if one is None:
            return
        if message.good:
            if message.index > one.match:
                one.match, one.moved = message.index, now
            if one.snapshot and message.index >= one.snapshot.index:
                one.snapshot = None
            while one.out and one.out[0] <= one.match:
                one.out.popleft()
            one.probing = False
            one.next = max(one.next, one.match + 1)
            self._advance(now)
        elif message.index + 1 < one.next and not one.snapshot:
            one.probing, one.next = True, max(message.index, one.match) + 1
            one.out.clear()
        if self.role == "leader" and sender in self.progress:
            self._feed(now, sender)
            self._may_hand_over(now)

    def _piece_taken(self, now: float, sender: Replica, message: SnapshotChunkAck) -> None:
        one = self._answered(now, sender, message.round)
        if one is None or not one.snapshot or one.snapshot.index != message.index:
            return
        if message.offset != one.offset:  # else it was answered before: what was sent since is on its way
            one.moved, one.offset = now, min(message.offset, len(one.snapshot.data))
            self._feed_piece(sender)

    def _advance(self, now: float) -> None:
        """Commit what a majority has durable, if the last of it is of this term (thesis, 3.6.2)."""
        if self.role != "leader":
            return
        index = self._reached(self._matched)
        if index > self.commit and self._committable(index):
            self._commit_to(index)
            if self.me not in self.members().voters and not self._changing():
                self._follow(now, self.term, "", "removed")
                return
            self._begin_early(now)

    def _reached(self, of: Callable[[Replica], T]) -> T:
        """What a majority of the voters has come to, at least."""
        members = self.members()
        return sorted((of(copy) for copy in members.voters), reverse=True)[members.majority() - 1]

    def _matched(self, copy: Replica) -> int:
        if copy == self.me:
            return self.durable
        return self.progress[copy].match if copy in self.progress else 0

    def _committable(self, index: int) -> bool:
        return self.term_at(index) == self.term

    def _commit_to(self, index: int) -> None:
        entries, self.commit = self.entries(self.commit + 1, index + 1), index
        for entry in entries:
            term, call = self.calls.pop(entry.index, (0, None))
            self.out.append(Apply(entry, call if term == entry.term else None))
        if self.commit - self.snapshot.index >= self.timing.compact and not self.wanted:
            self.wanted = True
            self.out.append(CreateSnapshot(self.commit))

    # Calls

    def _refuse(self, call: int) -> None:
        self.out.append(RequestResult(call, "refused", hint=self.leader if self.leader != self.me else ""))

    def _propose(self, now: float, call: int, data: bytes) -> None:
        if self.role != "leader" or self.transferring or len(self.calls) >= self.timing.queue:
            self._refuse(call)
            return
        entry = Entry(self.last_index() + 1, self.term, self._stamp(now), data)
        self.calls[entry.index] = (self.term, call)
        self._append(now, entry)

    def _read(self, now: float, call: int) -> None:
        waiting = len(self.reads) + len(self.early) + len(self.next_reads)
        if self.role != "leader" or waiting >= self.timing.queue:
            self._refuse(call)
        elif self.term_at(self.commit) != self.term:  # it may not know yet what is committed
            self.early.append(call)
        else:
            self.next_reads.append(call)
            self._begin_round(now)

    def _begin_round(self, now: float) -> None:
        """One round for all reads that came while the one before was out (thesis, 6.4)."""
        if self.role != "leader" or self.reads or not self.next_reads:
            return
        self.round += 1
        self.reads = [(call, self.commit, self.round) for call in self.next_reads]
        self.next_reads = []
        self._beat(now)
        self._confirm(now)

    def _begin_early(self, now: float) -> None:
        if self.early and self.term_at(self.commit) == self.term:
            calls, self.early = self.early, []
            for call in calls:
                self._read(now, call)

    def _confirm(self, now: float) -> None:
        """Answer the reads whose round a majority has confirmed: nobody else led then."""
        if self.role != "leader" or not self.reads:
            return
        known = self.progress
        sure = self._reached(lambda c: self.round if c == self.me else known[c].round if c in known else 0)
        while self.reads and self.reads[0][2] <= sure:
            call, index, _ = self.reads.pop(0)
            self.out.append(RequestResult(call, "read", index))
        self._begin_round(now)

    def _change(self, now: float, change: ChangeMembership) -> None:
        """One at a time, each once the one before is committed, and none before an entry of this term is."""
        members = self.members()
        voters, learners = list(members.voters), list(members.learners)
        possible = {
            "learner": change.copy not in members.all(),
            "voter": change.copy in learners and self._caught_up(change.copy),
            # A leader that took itself out would hold an entry that nobody else may have, and not campaign.
            "out": change.copy in members.all() and change.copy != self.me,
        }
        good = self.role == "leader" and not self.transferring and not self._one_change_only()
        if not good or not possible.get(change.how, False):
            self._refuse(change.call)
            return
        if change.copy in voters:
            voters.remove(change.copy)
        if change.copy in learners:
            learners.remove(change.copy)
        if change.how != "out":
            (voters if change.how == "voter" else learners).append(change.copy)
        changed = Members(tuple(voters), tuple(learners))
        if sum(self._is_here(now, copy) for copy in voters) < changed.majority():
            self._refuse(change.call)  # it could not commit what comes after it, nor be taken back
            return
        index = self.last_index() + 1
        self.calls[index] = (self.term, change.call)
        self._append(now, Entry(index, self.term, self._stamp(now), members=changed))

    def _is_here(self, now: float, copy: Replica) -> bool:
        one = self.progress.get(copy)
        return copy == self.me or (one is not None and now - one.heard < self.timing.election)

    def _one_change_only(self) -> bool:
        return self._changing() or self.term_at(self.commit) != self.term

    def _caught_up(self, copy: Replica) -> bool:
        one = self.progress.get(copy)
        return one is not None and one.snapshot is None and self.commit - one.match <= self.timing.keep

    def _transfer(self, now: float, to: Replica) -> None:
        others = [one for one in self.members().voters if one != self.me and one in self.progress]
        to = to or max(others, key=lambda one: self.progress[one].match, default="")
        if self.role == "leader" and to in others and not self.transferring:
            self.transferring, self.transfer_until = to, now + self.timing.election
            self._feed(now, to, beat=True)
            self._may_hand_over(now)

    def _may_hand_over(self, now: float) -> None:
        to = self.transferring
        if to in self.progress and self.progress[to].match == self.last_index():
            # It rests on no write: a leader whose disk is full hands over just because none comes to its end.
            self.out.append(Send(to, TimeoutNow(self.term)))

    def _snapped(self, index: int, data: bytes) -> None:
        self.wanted = False
        term = self.term_at(index)
        if term is None or not self.snapshot.index < index <= self.commit:
            return  # one came from the leader meanwhile
        entry = self.log[index - self.first_index()]
        members = self.snapshot.members
        for one in self.entries(self.snapshot.index + 1, index + 1):
            members = one.members or members
        self.snapshot = Snapshot(index, term, entry.stamp, members, data)
        self.log = self.entries(min(index + 1, max(self.first_index(), index + 1 - self.timing.keep)))
        self._write(snapshot=self.snapshot)

    # What comes, and what is due

    def _heard(self, now: float, sender: Replica, message: Message) -> None:
        match message:
            case VoteRequest():
                self._asked(now, sender, message)
            case VoteResponse():
                self._voted(now, sender, message)
            case AppendEntries():
                self._take_entries(now, sender, message)
            case SnapshotChunk():
                self._take_piece(now, sender, message)
            case AppendEntriesResponse() | SnapshotChunkAck() if message.term > self.term:
                self._follow(now, message.term, "", "term")
            case AppendEntriesResponse() if self.role == "leader" and message.term == self.term:
                self._appended(now, sender, message)
            case SnapshotChunkAck() if self.role == "leader" and message.term == self.term:
                self._piece_taken(now, sender, message)
            case TimeoutNow(term) if term == self.term and self.role == "follower" and sender == self.leader:
                self._campaign(now, pre=False, told=True)

    def _beat(self, now: float) -> None:
        # On a grid that all groups of a gateway share: their heartbeats go out, and are answered, together.
        self.beat = (now // self.timing.heartbeat + 1) * self.timing.heartbeat
        for copy, one in self.progress.items():
            if (one.out or one.snapshot) and now - one.moved > 2 * self.timing.heartbeat:  # lost on the way
                one.moved = now
                if one.snapshot:
                    self._feed_piece(copy)
                else:
                    one.out.clear()
                    one.probing, one.next = True, one.match + 1
            self._feed(now, copy, beat=True)

    def _quorum_until(self) -> float:
        """When a leader that hears no more stops to be one."""
        known = self.progress
        heard = self._reached(lambda c: 1e18 if c == self.me else known[c].heard if c in known else 0.0)
        return heard + self.timing.election

    def _look(self, now: float) -> None:
        if self.role == "leader":
            if now >= self._quorum_until():
                self._follow(now, self.term, "", "no quorum")
                self.deadline = now + self._timeout()
                return
            if self.transferring and now >= self.transfer_until:
                self.transferring = ""  # it did not take over: go on
            if now >= self.beat:
                self._beat(now)
        elif now >= self.deadline:
            self._campaign(now, pre=True)
