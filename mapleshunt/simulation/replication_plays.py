"""Copies of one group in a virtual network, with virtual disks and time; faults by seed, and what must hold.

Every copy is a `replication.node.RaftNode` as it is. A disk makes writes durable in their order after a
while; a kill loses those that are not, and messages on the way may be lost, late or twice. What is checked is
Raft's own: election safety, log matching, leader completeness, applied entries alike; and that a call once
answered stays (thesis, figure 3.2); reads see all that was answered before they were asked.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from ..replication import messages as m
from ..replication.config import RaftConfig
from ..replication.node import RaftNode
from ..replication.roles import Role

TIMING = RaftConfig(
    election_timeout_s=1.0,
    heartbeat_interval_s=0.2,
    max_batch_bytes=400,
    max_inflight_messages=4,
    snapshot_chunk_bytes=200,
    retained_entries=4,
    compaction_threshold=20,
    max_pending_requests=64,
)
FAULT_MOVES = (
    "kill", "start", "cut", "one_way", "heal", "pause", "go_on", "wipe", "transfer", "slow_disk",
    "add", "promote", "remove",
)  # fmt: skip
# By mood, what comes how often: a play of one mood meets what an even mix of all hardly ever does.
FAULT_MIXES: dict[str, tuple[str, ...]] = {
    "mixed": FAULT_MOVES,
    "elections": ("kill_leader", "kill_leader", "kill", "start", "start", "cut_leader", "heal", "slow_disk"),
    "takeovers": ("kill_leader", "kill_leader", "cut_leader", "cut_leader", "start", "heal", "heal"),
    "members": ("add", "promote", "remove", "remove", "cut", "cut_leader", "heal", "heal", "kill", "start"),
}


class InvariantViolationError(Exception):
    """A rule did not hold; the text tells which and where."""


@dataclass
class VirtualDisk:
    """What is durable, and the writes that are not yet."""

    stored: m.PersistentState
    pending: list[m.Write] = field(default_factory=list)
    delay: float = 0.005

    def apply(self, write: m.Write) -> None:
        snapshot, entries = self.stored.snapshot, list(self.stored.entries)
        if write.snapshot is not None:
            snapshot = write.snapshot
            entries = [] if write.reset else [one for one in entries if one.index > snapshot.index]
        if write.entries:
            entries = [one for one in entries if one.index < write.entries[0].index] + list(write.entries)
        self.stored = m.PersistentState(snapshot, write.term, write.vote, tuple(entries))


@dataclass
class VirtualReplica:
    copy: m.Replica
    disk: VirtualDisk
    node: RaftNode | None = None
    paused: float = 0.0  # until then it does nothing, and does not know
    life: int = 0  # of the process: what was meant for the one before is lost
    state: Any = None
    last: int = 0  # index of the last entry that its state knows of


NodeFactory = Callable[[m.Replica, m.PersistentState, RaftConfig, int, float], RaftNode]


class ReplicaGroupSimulation:
    """A play. `make` builds each copy, so that a planted fault can take its place."""

    def __init__(self, seed: int, copies: int = 3, spare: int = 2, make: NodeFactory = RaftNode) -> None:
        self.random, self.make, self.now = random.Random(seed), make, 0.0
        names = [f"g{n}/1" for n in range(copies + spare)]
        self.first = m.Snapshot(0, 0, 0.0, m.Members(tuple(names[:copies])), b"")
        self.machines = {
            name: VirtualReplica(name, VirtualDisk(m.PersistentState(self.first))) for name in names
        }
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.cut: set[tuple[m.Replica, m.Replica]] = set()  # ordered pairs that hear nothing
        self.leaders: dict[int, m.Replica] = {}  # by term
        self.committed: dict[int, tuple[int, bytes]] = {}  # index: term, data
        self.committed_in: dict[int, int] = {}  # index: term of the one that first knew of it
        self.calls: dict[int, dict[str, Any]] = {}
        self.next_call = 0
        self.acknowledged = 0  # highest index that a client was told of
        self.acknowledged_calls = self.elections = self.restored_snapshots = self.completed_reads = 0
        self.lossy = self.random.choice([0.0, 0.02, 0.1])
        self.incarnations = 1
        self.mood = self.random.choice(list(FAULT_MIXES))
        self.timing = (
            replace(TIMING, max_batch_bytes=1) if self.mood in ("elections", "takeovers") else TIMING
        )

    # The world

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (when, self.count, what))

    def start(self, copy: m.Replica) -> None:
        one = self.machines[copy]
        if one.node is not None:
            return
        one.life += 1
        one.disk.pending.clear()
        one.state, one.last = self.thaw(one.disk.stored.snapshot.data), one.disk.stored.snapshot.index
        one.node = self.make(copy, one.disk.stored, self.timing, self.random.getrandbits(32), self.now)
        self.tick(copy, one.life)

    def kill(self, copy: m.Replica) -> None:
        one = self.machines[copy]
        one.node = None
        # Of what was being written a part from the beginning is durable.
        for write in one.disk.pending[: self.random.randint(0, len(one.disk.pending))]:
            one.disk.apply(write)
        one.disk.pending.clear()
        one.life += 1

    def tick(self, copy: m.Replica, life: int) -> None:
        one = self.machines.get(copy)
        if one is None or one.node is None or one.life != life:
            return
        if self.now < one.paused:
            self.at(one.paused, lambda: self.tick(copy, life))
            return
        self.step(copy, m.Tick())
        self.at(max(one.node.wake_time(), self.now + 0.01), lambda: self.tick(copy, life))

    def later(self, one: VirtualReplica, event: m.Event) -> None:
        life = one.life
        self.at(self.now, lambda: self.step(one.copy, event) if one.life == life else None)

    def step(self, copy: m.Replica, event: m.Event) -> None:
        one = self.machines.get(copy)
        if one is None or one.node is None:
            return
        if self.now < one.paused:
            life = one.life
            self.at(one.paused, lambda: self.step(copy, event) if one.life == life else None)
            return
        for output in one.node.step(self.now, event):
            self.do(one, output)

    def do(self, one: VirtualReplica, output: m.Output) -> None:
        match output:
            case m.Send(to, message):
                self.send(one.copy, to, message)
                if (
                    self.mood == "elections"
                    and isinstance(message, m.VoteResponse)
                    and self.random.random() < 0.1
                ):
                    self.at(self.now, lambda: self.kill(one.copy) if one.copy in self.machines else None)
                    self.at(self.now + 0.05, lambda: self.move("start"))
            case m.Write():
                one.disk.pending.append(output)
                life = one.life
                delay = one.disk.delay * self.random.uniform(0.5, 2.0)
                self.at(self.now + delay, lambda: self.written(one, output.number, life))
            case m.Apply(entry, call):
                self.applied(one, entry, call)
            case m.RestoreSnapshot(snapshot):
                self.restored_snapshots += 1
                one.state, one.last = self.thaw(snapshot.data), snapshot.index
            case m.RequestResult():
                self.answered(one, output)
            case m.CreateSnapshot(index):
                self.later(one, m.SnapshotCreated(index, self.freeze(one.state)))
            case m.RoleChanged(role, term, _, _) if role is Role.LEADER:
                self.elections += 1
                if self.leaders.setdefault(term, one.copy) != one.copy:
                    raise InvariantViolationError(
                        f"two leaders in term {term}: {self.leaders[term]} and {one.copy}"
                    )
                self.complete(one)

    def written(self, one: VirtualReplica, number: int, life: int) -> None:
        if one.life != life or one.node is None:
            return
        while one.disk.pending and one.disk.pending[0].number <= number:
            one.disk.apply(one.disk.pending.pop(0))
        self.step(one.copy, m.WriteCompleted(number))

    def send(self, sender: m.Replica, to: m.Replica, message: m.Message) -> None:
        if (sender, to) in self.cut or to not in self.machines or self.random.random() < self.lossy:
            return
        for _ in range(2 if self.random.random() < self.lossy / 4 else 1):
            delay = self.random.uniform(0.001, 0.02) if self.random.random() > self.lossy else 0.4
            self.at(self.now + delay, lambda: self.arrive(sender, to, message))

    def arrive(self, sender: m.Replica, to: m.Replica, message: m.Message) -> None:
        if (sender, to) not in self.cut and to in self.machines:
            self.step(to, m.MessageReceived(sender, message))

    # What must hold

    def applied(self, one: VirtualReplica, entry: m.Entry, call: int | None) -> None:
        was = self.committed.setdefault(entry.index, (entry.term, entry.data))
        if was != (entry.term, entry.data):
            raise InvariantViolationError(
                f"{one.copy} applied another entry at {entry.index}: {entry.term} and {was[0]}"
            )
        assert one.node is not None
        self.committed_in.setdefault(entry.index, one.node.term)
        if entry.index != one.last + 1:
            raise InvariantViolationError(f"{one.copy} applied {entry.index} after {one.last}")
        one.last = entry.index
        self.take(one, entry, call)
        if call is not None and call in self.calls:
            mine = self.calls.pop(call)
            if mine["data"] is not None and mine["data"] != entry.data:
                raise InvariantViolationError(f"call {call} was answered with another's entry")
            self.acknowledged = max(self.acknowledged, entry.index)
            self.acknowledged_calls += 1

    # The state that entries make: here the list of them; a play of something else has another.

    def thaw(self, data: bytes) -> Any:
        return [line for line in data.split(b"\n") if line]

    def freeze(self, state: Any) -> bytes:
        return b"\n".join(state)

    def take(self, one: VirtualReplica, entry: m.Entry, call: int | None) -> None:
        if entry.data:
            one.state.append(entry.data)

    def answered(self, one: VirtualReplica, answer: m.RequestResult) -> None:
        call = self.calls.pop(answer.request_id, None)
        if call is None or answer.outcome is not m.RequestOutcome.READ_READY:
            return
        assert one.node is not None
        self.completed_reads += 1
        if answer.index < call["known"]:
            raise InvariantViolationError(
                f"a stale read at {one.copy}: {answer.index}, though {call['known']} was told"
            )

    def complete(self, one: VirtualReplica) -> None:
        """A new leader holds every entry that was committed in a term before its own (thesis: leader
        completeness). One that slept while a later term began may still come to lead the one it asked for.
        """
        assert one.node is not None
        for index, (term, _) in self.committed.items():
            known = one.node.log.term_at(index)
            if self.committed_in[index] >= one.node.term:
                continue
            if index > one.node.log.snapshot.index and known != term:
                raise InvariantViolationError(
                    f"leader {one.copy} of term {one.node.term} lacks the committed entry {index}"
                )

    def matching(self) -> None:
        """Entries alike in index and term are alike, and so is all before them."""
        seen: dict[tuple[int, int], tuple[bytes, int | None]] = {}
        for one in self.machines.values():
            for entry in one.disk.stored.entries:
                known = (entry.data, 0)
                if seen.setdefault((entry.index, entry.term), known) != known:
                    raise InvariantViolationError(f"two entries at {entry.index} in term {entry.term}")

    # The play

    def call(self) -> None:
        alive = [one for one in self.machines.values() if one.node is not None]
        if not alive:
            return
        leaders = [one for one in alive if one.node is not None and one.node.role is Role.LEADER]
        one = self.random.choice(leaders or alive)
        self.next_call += 1
        number = self.next_call
        if self.random.random() < 0.3:
            self.calls[number] = {"data": None, "known": self.acknowledged}
            self.step(one.copy, m.ReadRequest(number))
        else:
            data = b"op%d" % number
            self.calls[number] = {"data": data, "known": 0}
            self.step(one.copy, m.Propose(number, data))

    def change(self, how: str) -> None:
        nodes = [one for one in self.machines.values() if one.node is not None]
        leaders = [one for one in nodes if one.node is not None and one.node.role is Role.LEADER]
        if not leaders:
            return
        self.next_call += 1
        self.calls[self.next_call] = {"data": b"", "known": 0}
        leader = self.random.choice(leaders)
        assert leader.node is not None
        members = leader.node.members()
        fits = {"learner": set(self.machines) - set(members.all()), "voter": set(members.learners),
                "out": set(members.voters)}  # fmt: skip
        if fits[how]:
            copy = self.random.choice(sorted(fits[how]))
            self.step(leader.copy, m.ChangeMembership(self.next_call, m.MembershipAction(how), copy))

    def move(self, what: str) -> None:
        names = list(self.machines)
        one = self.machines[self.random.choice(names)]
        leaders = [each for each in self.machines.values() if each.node and each.node.role is Role.LEADER]
        match what:
            case "kill":
                self.kill(one.copy)
            case "kill_leader" if leaders:
                self.kill(self.random.choice(leaders).copy)
            case "cut_leader" if leaders:  # with one or two of the others beside it
                with_it = {self.random.choice(leaders).copy, *self.random.sample(names, 1)}
                self.cut |= {(a, b) for a in names for b in names if (a in with_it) != (b in with_it)}
            case "start":
                for name in names:
                    self.start(name)
            case "cut":
                side = set(self.random.sample(names, self.random.randint(1, len(names) - 1)))
                self.cut |= {(a, b) for a in names for b in names if (a in side) != (b in side)}
            case "one_way":
                self.cut |= {(one.copy, other) for other in names if self.random.random() < 0.7}
            case "heal":
                self.cut.clear()
            case "pause":
                one.paused = self.now + self.random.uniform(0.1, 5.0)
            case "go_on":
                for each in self.machines.values():
                    each.paused = min(each.paused, self.now)
            case "wipe":
                self.wipe(one)
            case "transfer":
                self.step(one.copy, m.TransferLeadership())
            case "slow_disk":
                one.disk.delay = self.random.choice([0.001, 0.005, 0.1, 0.5])
            case "add":
                self.change("learner")
            case "promote":
                self.change("voter")
            case "remove":
                self.change("out")

    def wipe(self, one: VirtualReplica) -> None:
        """The disk is lost: the gateway comes back as another incarnation, which nobody knows yet. Never so
        many of the group's that most of it would be gone.
        """
        if not self.whole(without=one.copy):
            return
        self.kill(one.copy)
        self.incarnations += 1
        del self.machines[one.copy]
        copy = f"{m.gateway_of(one.copy)}/{self.incarnations}"
        self.machines[copy] = VirtualReplica(copy, VirtualDisk(m.PersistentState(self.first_of_newcomer())))
        self.start(copy)

    def first_of_newcomer(self) -> m.Snapshot:
        return m.Snapshot(0, 0, 0.0, m.Members(()), b"")

    def whole(self, without: m.Replica = "") -> bool:
        """Does every membership that some copy goes by have a majority of voters with their disks?"""
        stored = [one.disk.stored for one in self.machines.values()]
        known = {e.members for one in stored for e in one.entries} | {one.snapshot.members for one in stored}
        known |= {one.node.members() for one in self.machines.values() if one.node is not None}
        return all(
            sum(copy in self.machines and copy != without for copy in each.voters) >= each.majority()
            for each in known if each is not None and each.voters
        )  # fmt: skip

    def run(self, seconds: float = 40.0, moves: int = 40) -> None:
        """Faults for so long, then quiet; at the end the group has to answer again."""
        for name in list(self.machines):
            self.start(name)
        for _ in range(moves):
            what = self.random.choice(FAULT_MIXES[self.mood])
            self.at(self.random.uniform(1.0, seconds), lambda what=what: self.move(what))  # type: ignore[misc]
        for _ in range(int(seconds * 8)):
            self.at(self.random.uniform(0.5, seconds + 8.0), self.call)
        self.run_until(seconds)
        self.calm()
        self.run_until(seconds + 10.0)
        self.matching()
        if self.whole():
            self.answers(seconds + 10.0)

    def calm(self) -> None:
        self.move("heal")
        self.move("go_on")
        self.move("start")
        self.lossy = 0.0
        for one in self.machines.values():
            one.disk.delay = 0.005

    def answers(self, since: float) -> None:
        told, end = self.acknowledged_calls, since + 20.0
        while self.acknowledged_calls == told and self.now < end:
            self.at(self.now + 0.2, self.call)
            self.run_until(self.now + 0.3)
        if self.acknowledged_calls == told:
            roles = {one.copy: one.node and (one.node.role, one.node.term) for one in self.machines.values()}
            raise InvariantViolationError(f"the group does not answer again: {roles}")

    def run_until(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, what = heapq.heappop(self.events)
            what()
        self.now = until


def run_simulation(kind: type[ReplicaGroupSimulation], seed: int, make: NodeFactory) -> str:
    """What broke in the play of that seed, three copies or five, or nothing."""
    try:
        kind(seed, copies=3 + 2 * (seed % 2), make=make).run()
    except InvariantViolationError as broken:
        return str(broken)
    return ""
