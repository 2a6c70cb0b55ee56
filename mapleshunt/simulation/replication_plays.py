"""Simulation of a group's replicas in virtual time, with random faults and invariant checks.

Every replica is an unmodified `replication.node.RaftNode`. Its virtual disk makes writes durable in order
after a delay; a kill loses some of those that are not durable. Messages may be lost, delayed or duplicated.
The checks are Raft's properties (Ongaro's thesis, figure 3.2): election safety, log matching, leader
completeness and state machine safety, so that no acknowledged call is lost. In addition, a read must reflect
all calls that were acknowledged before it began.
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

CONFIG = RaftConfig(
    election_timeout_s=1.0,
    heartbeat_interval_s=0.2,
    max_batch_bytes=400,
    max_inflight_messages=4,
    snapshot_chunk_bytes=200,
    retained_entries=4,
    compaction_threshold=20,
    max_pending_requests=64,
)
FAULT_ACTIONS = (
    "kill", "start", "cut", "one_way", "heal", "pause", "go_on", "wipe", "transfer", "slow_disk",
    "add", "promote", "remove",
)  # fmt: skip
# The actions that a run draws from. A specialised mix reaches situations that an even mix of all rarely does.
FAULT_MIXES: dict[str, tuple[str, ...]] = {
    "mixed": FAULT_ACTIONS,
    "elections": ("kill_leader", "kill_leader", "kill", "start", "start", "cut_leader", "heal", "slow_disk"),
    "takeovers": ("kill_leader", "kill_leader", "cut_leader", "cut_leader", "start", "heal", "heal"),
    "members": ("add", "promote", "remove", "remove", "cut", "cut_leader", "heal", "heal", "kill", "start"),
}


class InvariantViolationError(Exception):
    """An invariant was violated; the text says which and where."""


@dataclass
class VirtualDisk:
    """The durable state of a replica, and the writes that are pending."""

    stored: m.PersistentState
    pending: list[m.Write] = field(default_factory=list)
    write_delay_s: float = 0.005

    def apply(self, write: m.Write) -> None:
        """Make a write durable."""
        snapshot, entries = self.stored.snapshot, list(self.stored.entries)
        if write.snapshot is not None:
            snapshot = write.snapshot
            entries = [] if write.reset else [entry for entry in entries if entry.index > snapshot.index]
        if write.entries:
            entries = [entry for entry in entries if entry.index < write.entries[0].index] + list(
                write.entries
            )
        self.stored = m.PersistentState(snapshot, write.term, write.vote, tuple(entries))


@dataclass
class VirtualReplica:
    """A replica with its disk and, while it runs, its node and state."""

    name: m.Replica
    disk: VirtualDisk
    node: RaftNode | None = None
    paused_until: float = 0.0  # events before then are delayed; the node does not notice
    boot: int = 0  # of the process; events for an earlier boot are lost
    state: Any = None
    last_applied: int = 0  # index of the last entry in `state`


NodeFactory = Callable[[m.Replica, m.PersistentState, RaftConfig, int, float], RaftNode]


class ReplicaGroupSimulation:
    """A simulated group. `make_node` creates the nodes, so that a faulty class can be substituted."""

    def __init__(
        self, seed: int, replicas: int = 3, spares: int = 2, make_node: NodeFactory = RaftNode
    ) -> None:
        self.random, self.make_node, self.now = random.Random(seed), make_node, 0.0
        names = [f"g{n}/1" for n in range(replicas + spares)]
        self.initial_snapshot = m.Snapshot(0, 0, 0.0, m.Members(tuple(names[:replicas])), b"")
        self.replicas = {
            name: VirtualReplica(name, VirtualDisk(m.PersistentState(self.initial_snapshot)))
            for name in names
        }
        self.event_queue: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        # (sender, receiver) pairs whose messages are lost
        self.cut_pairs: set[tuple[m.Replica, m.Replica]] = set()
        self.leader_by_term: dict[int, m.Replica] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}  # index: term, data
        self.commit_terms: dict[int, int] = {}  # index: term of the replica that first applied it
        self.calls: dict[int, dict[str, Any]] = {}
        self.last_request_id = 0
        self.acknowledged_index = 0  # highest index acknowledged to a client
        self.acknowledged_calls = self.elections = self.restored_snapshots = self.completed_reads = 0
        self.loss_rate = self.random.choice([0.0, 0.02, 0.1])
        self.incarnations = 1
        self.fault_mix = self.random.choice(list(FAULT_MIXES))
        self.config = (
            replace(CONFIG, max_batch_bytes=1) if self.fault_mix in ("elections", "takeovers") else CONFIG
        )

    # Virtual time, network and disks

    def schedule(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a callback; callbacks of the same time run in the order in which they were scheduled."""
        self.event_count += 1
        heapq.heappush(self.event_queue, (when, self.event_count, callback))

    def start(self, name: m.Replica) -> None:
        """Start a replica from its disk, unless it runs."""
        replica = self.replicas[name]
        if replica.node is not None:
            return
        replica.boot += 1
        replica.disk.pending.clear()
        replica.state, replica.last_applied = (
            self.restore_state(replica.disk.stored.snapshot.data),
            replica.disk.stored.snapshot.index,
        )
        replica.node = self.make_node(
            name, replica.disk.stored, self.config, self.random.getrandbits(32), self.now
        )
        self.tick(name, replica.boot)

    def kill(self, name: m.Replica) -> None:
        """Stop a replica and lose a random suffix of its pending writes."""
        replica = self.replicas[name]
        replica.node = None
        # A random prefix of the pending writes became durable before the kill.
        for write in replica.disk.pending[: self.random.randint(0, len(replica.disk.pending))]:
            replica.disk.apply(write)
        replica.disk.pending.clear()
        replica.boot += 1

    def tick(self, name: m.Replica, boot: int) -> None:
        """Step a replica whose wake time has come, and schedule the next tick."""
        replica = self.replicas.get(name)
        if replica is None or replica.node is None or replica.boot != boot:
            return
        if self.now < replica.paused_until:
            self.schedule(replica.paused_until, lambda: self.tick(name, boot))
            return
        self.step(name, m.Tick())
        self.schedule(max(replica.node.wake_time(), self.now + 0.01), lambda: self.tick(name, boot))

    def schedule_step(self, replica: VirtualReplica, event: m.Event) -> None:
        """Step a replica at the current time, after the events that are already scheduled for it."""
        boot = replica.boot
        self.schedule(self.now, lambda: self.step(replica.name, event) if replica.boot == boot else None)

    def step(self, name: m.Replica, event: m.Event) -> None:
        """Step a running replica, after its pause if it is paused."""
        replica = self.replicas.get(name)
        if replica is None or replica.node is None:
            return
        if self.now < replica.paused_until:
            boot = replica.boot
            self.schedule(
                replica.paused_until, lambda: self.step(name, event) if replica.boot == boot else None
            )
            return
        for output in replica.node.step(self.now, event):
            self.handle_output(replica, output)

    def handle_output(self, replica: VirtualReplica, output: m.Output) -> None:
        """Carry out an output of a replica's node."""
        match output:
            case m.Send(to, message):
                self.send(replica.name, to, message)
                if (
                    self.fault_mix == "elections"
                    and isinstance(message, m.VoteResponse)
                    and self.random.random() < 0.1
                ):
                    self.schedule(
                        self.now, lambda: self.kill(replica.name) if replica.name in self.replicas else None
                    )
                    self.schedule(self.now + 0.05, lambda: self.perform("start"))
            case m.Write():
                replica.disk.pending.append(output)
                boot = replica.boot
                delay = replica.disk.write_delay_s * self.random.uniform(0.5, 2.0)
                self.schedule(self.now + delay, lambda: self.complete_write(replica, output.number, boot))
            case m.Apply(entry, request_id):
                self.apply_entry(replica, entry, request_id)
            case m.RestoreSnapshot(snapshot):
                self.restored_snapshots += 1
                replica.state, replica.last_applied = self.restore_state(snapshot.data), snapshot.index
            case m.RequestResult():
                self.handle_result(replica, output)
            case m.CreateSnapshot(index):
                self.schedule_step(replica, m.SnapshotCreated(index, self.encode_state(replica.state)))
            case m.RoleChanged(role, term, _, _) if role is Role.LEADER:
                self.elections += 1
                if self.leader_by_term.setdefault(term, replica.name) != replica.name:
                    raise InvariantViolationError(
                        f"two leaders in term {term}: {self.leader_by_term[term]} and {replica.name}"
                    )
                self.check_leader_completeness(replica)

    def complete_write(self, replica: VirtualReplica, number: int, boot: int) -> None:
        """Make the pending writes up to a number durable, unless the replica was killed since."""
        if replica.boot != boot or replica.node is None:
            return
        while replica.disk.pending and replica.disk.pending[0].number <= number:
            replica.disk.apply(replica.disk.pending.pop(0))
        self.step(replica.name, m.WriteCompleted(number))

    def send(self, sender: m.Replica, to: m.Replica, message: m.Message) -> None:
        """Send a message, which may be lost, delayed or duplicated."""
        if (sender, to) in self.cut_pairs or to not in self.replicas or self.random.random() < self.loss_rate:
            return
        for _ in range(2 if self.random.random() < self.loss_rate / 4 else 1):
            delay = self.random.uniform(0.001, 0.02) if self.random.random() > self.loss_rate else 0.4
            self.schedule(self.now + delay, lambda: self.receive(sender, to, message))

    def receive(self, sender: m.Replica, to: m.Replica, message: m.Message) -> None:
        """Deliver a message, unless its connection has been cut since."""
        if (sender, to) not in self.cut_pairs and to in self.replicas:
            self.step(to, m.MessageReceived(sender, message))

    # Invariants

    def apply_entry(self, replica: VirtualReplica, entry: m.Entry, request_id: int | None) -> None:
        """Apply an entry; check its order and that all replicas apply the same entry at an index."""
        first_applied = self.committed.setdefault(entry.index, (entry.term, entry.data))
        if first_applied != (entry.term, entry.data):
            raise InvariantViolationError(
                f"{replica.name} applied another entry at {entry.index}: of term {entry.term}, "
                f"where term {first_applied[0]} was applied first"
            )
        assert replica.node is not None
        self.commit_terms.setdefault(entry.index, replica.node.term)
        if entry.index != replica.last_applied + 1:
            raise InvariantViolationError(
                f"{replica.name} applied {entry.index} after {replica.last_applied}"
            )
        replica.last_applied = entry.index
        self.apply_to_state(replica, entry, request_id)
        if request_id is not None and request_id in self.calls:
            pending = self.calls.pop(request_id)
            if pending["data"] is not None and pending["data"] != entry.data:
                raise InvariantViolationError(f"call {request_id} was answered with another call's entry")
            self.acknowledged_index = max(self.acknowledged_index, entry.index)
            self.acknowledged_calls += 1

    # The state machine: here a list of the entries' data. Subclasses override it.

    def restore_state(self, data: bytes) -> Any:
        """Return the state that a snapshot's data encodes."""
        return [line for line in data.split(b"\n") if line]

    def encode_state(self, state: Any) -> bytes:
        """Return the snapshot data of a state."""
        return b"\n".join(state)

    def apply_to_state(self, replica: VirtualReplica, entry: m.Entry, request_id: int | None) -> None:
        """Apply an entry to a replica's state. `request_id` is that of the call, if proposed here."""
        if entry.data:
            replica.state.append(entry.data)

    def handle_result(self, replica: VirtualReplica, result: m.RequestResult) -> None:
        """Check that a completed read is not stale."""
        call = self.calls.pop(result.request_id, None)
        if call is None or result.outcome is not m.RequestOutcome.READ_READY:
            return
        assert replica.node is not None
        self.completed_reads += 1
        if result.index < call["min_index"]:
            raise InvariantViolationError(
                f"stale read at {replica.name}: index {result.index}, acknowledged {call['min_index']}"
            )

    def check_leader_completeness(self, replica: VirtualReplica) -> None:
        """Check that a new leader has every entry committed in an earlier term (leader completeness).

        Other entries are skipped: a replica that was paused while a later term began may still become leader
        of the term in which it was a candidate.
        """
        assert replica.node is not None
        for index, (term, _) in self.committed.items():
            log_term = replica.node.log.term_at(index)
            if self.commit_terms[index] >= replica.node.term:
                continue
            if index > replica.node.log.snapshot.index and log_term != term:
                raise InvariantViolationError(
                    f"leader {replica.name} of term {replica.node.term} lacks the committed entry {index}"
                )

    def check_log_matching(self) -> None:
        """Check that entries with the same index and term have the same data (log matching)."""
        seen: dict[tuple[int, int], tuple[bytes, int | None]] = {}
        for replica in self.replicas.values():
            for entry in replica.disk.stored.entries:
                content = (entry.data, 0)
                if seen.setdefault((entry.index, entry.term), content) != content:
                    raise InvariantViolationError(f"two entries at {entry.index} in term {entry.term}")

    # Calls and faults

    def make_call(self) -> None:
        """Propose an entry or begin a read at a leader, or at any running replica if there is none."""
        alive = [replica for replica in self.replicas.values() if replica.node is not None]
        if not alive:
            return
        leaders = [
            replica for replica in alive if replica.node is not None and replica.node.role is Role.LEADER
        ]
        replica = self.random.choice(leaders or alive)
        self.last_request_id += 1
        request_id = self.last_request_id
        if self.random.random() < 0.3:
            self.calls[request_id] = {"data": None, "min_index": self.acknowledged_index}
            self.step(replica.name, m.ReadRequest(request_id))
        else:
            data = b"op%d" % request_id
            self.calls[request_id] = {"data": data, "min_index": 0}
            self.step(replica.name, m.Propose(request_id, data))

    def change_membership(self, action: str) -> None:
        """Ask a leader for a membership change of a random replica that it applies to."""
        nodes = [replica for replica in self.replicas.values() if replica.node is not None]
        leaders = [
            replica for replica in nodes if replica.node is not None and replica.node.role is Role.LEADER
        ]
        if not leaders:
            return
        self.last_request_id += 1
        self.calls[self.last_request_id] = {"data": b"", "min_index": 0}
        leader = self.random.choice(leaders)
        assert leader.node is not None
        members = leader.node.members()
        candidates = {"learner": set(self.replicas) - set(members.all()), "voter": set(members.learners),
                "out": set(members.voters)}  # fmt: skip
        if candidates[action]:
            candidate = self.random.choice(sorted(candidates[action]))
            self.step(
                leader.name, m.ChangeMembership(self.last_request_id, m.MembershipAction(action), candidate)
            )

    def perform(self, action: str) -> None:
        """Perform a fault action, or one that ends faults."""
        names = list(self.replicas)
        target = self.replicas[self.random.choice(names)]
        leaders = [
            replica for replica in self.replicas.values() if replica.node and replica.node.role is Role.LEADER
        ]
        match action:
            case "kill":
                self.kill(target.name)
            case "kill_leader" if leaders:
                self.kill(self.random.choice(leaders).name)
            case "cut_leader" if leaders:  # together with at most one other replica
                leader_side = {self.random.choice(leaders).name, *self.random.sample(names, 1)}
                self.cut_pairs |= {
                    (a, b) for a in names for b in names if (a in leader_side) != (b in leader_side)
                }
            case "start":
                for name in names:
                    self.start(name)
            case "cut":
                side = set(self.random.sample(names, self.random.randint(1, len(names) - 1)))
                self.cut_pairs |= {(a, b) for a in names for b in names if (a in side) != (b in side)}
            case "one_way":
                self.cut_pairs |= {(target.name, other) for other in names if self.random.random() < 0.7}
            case "heal":
                self.cut_pairs.clear()
            case "pause":
                target.paused_until = self.now + self.random.uniform(0.1, 5.0)
            case "go_on":
                for replica in self.replicas.values():
                    replica.paused_until = min(replica.paused_until, self.now)
            case "wipe":
                self.wipe(target)
            case "transfer":
                self.step(target.name, m.TransferLeadership())
            case "slow_disk":
                target.disk.write_delay_s = self.random.choice([0.001, 0.005, 0.1, 0.5])
            case "add":
                self.change_membership("learner")
            case "promote":
                self.change_membership("voter")
            case "remove":
                self.change_membership("out")

    def wipe(self, replica: VirtualReplica) -> None:
        """Lose a replica's disk and start its gateway's next incarnation, which no other replica knows yet.

        Nothing happens if a membership would lose the majority of its disks.
        """
        if not self.has_majorities(without=replica.name):
            return
        self.kill(replica.name)
        self.incarnations += 1
        del self.replicas[replica.name]
        name = f"{m.gateway_of(replica.name)}/{self.incarnations}"
        self.replicas[name] = VirtualReplica(name, VirtualDisk(m.PersistentState(self.newcomer_snapshot())))
        self.start(name)

    def newcomer_snapshot(self) -> m.Snapshot:
        """Return the initial snapshot of a new incarnation, which has no members."""
        return m.Snapshot(0, 0, 0.0, m.Members(()), b"")

    def has_majorities(self, without: m.Replica = "") -> bool:
        """Return whether each membership known to a replica has a majority of voters with their disks.

        `without` names a replica whose disk counts as lost.
        """
        stored = [replica.disk.stored for replica in self.replicas.values()]
        memberships = {entry.members for replica in stored for entry in replica.entries} | {
            replica.snapshot.members for replica in stored
        }
        memberships |= {
            replica.node.members() for replica in self.replicas.values() if replica.node is not None
        }
        return all(
            sum(voter in self.replicas and voter != without for voter in members.voters) >= members.majority()
            for members in memberships if members is not None and members.voters
        )  # fmt: skip

    def run(self, seconds: float = 40.0, action_count: int = 40) -> None:
        """Inject faults for `seconds`, then end them and check that the group answers calls again."""
        for name in list(self.replicas):
            self.start(name)
        for _ in range(action_count):
            action = self.random.choice(FAULT_MIXES[self.fault_mix])
            self.schedule(self.random.uniform(1.0, seconds), lambda action=action: self.perform(action))  # type: ignore[misc]
        for _ in range(int(seconds * 8)):
            self.schedule(self.random.uniform(0.5, seconds + 8.0), self.make_call)
        self.run_until(seconds)
        self.end_faults()
        self.run_until(seconds + 10.0)
        self.check_log_matching()
        if self.has_majorities():
            self.check_responsive(seconds + 10.0)
            self.check_removals_known()

    def end_faults(self) -> None:
        """End all faults and start all replicas."""
        self.perform("heal")
        self.perform("go_on")
        self.perform("start")
        self.loss_rate = 0.0
        for replica in self.replicas.values():
            replica.disk.write_delay_s = 0.005

    def check_responsive(self, since: float) -> None:
        """Check that a call is acknowledged within 20 s of virtual time after `since`."""
        acknowledged, end = self.acknowledged_calls, since + 20.0
        while self.acknowledged_calls == acknowledged and self.now < end:
            self.schedule(self.now + 0.2, self.make_call)
            self.run_until(self.now + 0.3)
        if self.acknowledged_calls == acknowledged:
            roles = {
                replica.name: replica.node and (replica.node.role, replica.node.term)
                for replica in self.replicas.values()
            }
            raise InvariantViolationError(
                f"no call was acknowledged from 10 to 30 s after the faults ended: {roles}"
            )

    def check_removals_known(self) -> None:
        """Check that no running replica takes itself for a voter though the leader's log has it removed.

        Replicas are skipped whose last known voters do not include the leader: they ask others for votes.
        """
        nodes = {replica.name: replica.node for replica in self.replicas.values() if replica.node is not None}
        leader = max(
            (node for node in nodes.values() if node.role is Role.LEADER),
            key=lambda node: node.term,
            default=None,
        )
        if leader is None:
            return
        members = leader.members()
        unaware = [
            name
            for name, node in nodes.items()
            if name not in members.voters
            and name in node.members().voters
            and leader.me in node.members().voters
        ]
        if unaware:
            raise InvariantViolationError(f"removed replicas take themselves for voters: {unaware}")

    def run_until(self, until: float) -> None:
        """Run all events up to a time."""
        while self.event_queue and self.event_queue[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.event_queue)
            callback()
        self.now = until


def run_simulation(kind: type[ReplicaGroupSimulation], seed: int, make_node: NodeFactory) -> str:
    """Run a group of three or five replicas by seed, and return the violated invariant, or ""."""
    try:
        kind(seed, replicas=3 + 2 * (seed % 2), make_node=make_node).run()
    except InvariantViolationError as violation:
        return str(violation)
    return ""
