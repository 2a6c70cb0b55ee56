"""Raft groups of a simulated fleet: replicas at the gateways, their disks and connections, in virtual time.

The replicas run the gateway's own `replication.node` and `replicated_state`. A connection loses only what is
sent while it is cut. Times are in ms, those of the nodes in s.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..replicated_state.results import Applied, Result
from ..replicated_state.state_machine import ReplicatedState
from ..replication import messages as m
from ..replication.config import RaftConfig
from ..replication.node import RaftNode
from ..replication.placement import place_replicas
from ..replication.roles import Role
from .engine import Engine
from .replication_plays import VirtualDisk

GROUP_COUNT = 64
REPLICAS_PER_GROUP = 3
ZONE_COUNT = 3
DISK_WRITE_MS = 2.0  # until a write is durable
NEVER = float("inf")  # ms
FRAME_HEADER_BYTES = 5
MESSAGE_HEADER_BYTES = 2

# Called with the replica that replies, the number of the proposal (None: not proposed at this replica), its
# result (None: unknown at this replica), and the name of the likely leader, or "".
ReplyHandler = Callable[["SimulatedReplica", int | None, Result | None, m.Replica], None]


@dataclass(eq=False)
class SimulatedReplica:
    """One group's replica at one gateway."""

    group: int
    gateway: int
    name: m.Replica
    disk: VirtualDisk
    state: ReplicatedState = field(default_factory=ReplicatedState)
    node: RaftNode | None = None  # None while its gateway is down
    incarnation: int = 0
    wake_at: float = NEVER


class ReplicaCluster:
    """Owns the replicas of all groups and the messages between them."""

    def __init__(self, engine: Engine, reply: ReplyHandler) -> None:
        """Start without replicas, so that an engine can create the cluster before its gateways."""
        self._engine = engine
        self._reply = reply
        self._replicas: dict[tuple[int, int], SimulatedReplica] = {}  # by group and gateway
        self._outbox: dict[tuple[int, int], list[tuple[int, m.Message]]] = {}  # by sender and receiver
        self.members: list[list[int]] = []  # gateways, by group
        self.frames = 0
        self.bytes = 0
        self.elections = 0

    def place(self, gateways: int) -> None:
        """Place the replicas of all groups on the gateways without starting them."""
        zones = {f"g{number}": f"z{number % ZONE_COUNT}" for number in range(gateways)}
        numbers = {name: number for number, name in enumerate(zones)}
        for group in range(GROUP_COUNT):
            names = place_replicas(group, zones, REPLICAS_PER_GROUP)
            snapshot = m.Snapshot(1, 1, 0.0, m.Members(tuple(f"{name}/1" for name in names)), b"")
            self.members.append([numbers[name] for name in names])
            for name in names:
                number = numbers[name]
                disk = VirtualDisk(m.PersistentState(snapshot, 1))
                self._replicas[group, number] = SimulatedReplica(group, number, f"{name}/1", disk)

    def start_replicas(self, gateway: int) -> None:
        """Start the replicas of a gateway from the content of their disks."""
        for replica in self._replicas.values():
            if replica.gateway == gateway:
                self._start(replica)

    def _start(self, replica: SimulatedReplica) -> None:
        replica.incarnation += 1
        disk = replica.disk
        disk.pending.clear()
        replica.state = ReplicatedState()
        replica.state.restore(disk.stored.snapshot.data)
        stream = replica.group * 100_000 + replica.gateway * 100 + replica.incarnation
        seed = self._engine.scenario_run.streams.seed_for("copies", stream)
        replica.node = RaftNode(replica.name, disk.stored, RaftConfig(), seed & 0xFFFFFFFF, self._now_s())
        self._step(replica, m.Tick())

    def stop_replicas(self, gateway: int) -> None:
        """Stop the replicas of a gateway that was killed."""
        for replica in self._replicas.values():
            if replica.gateway == gateway and replica.node is not None:
                replica.node = None
                replica.incarnation += 1
                replica.wake_at = NEVER

    def replica(self, group: int, gateway: int) -> SimulatedReplica | None:
        """Return a group's replica at a gateway, or None if there is none or the gateway is down."""
        replica = self._replicas.get((group, gateway))
        return replica if replica is not None and replica.node is not None else None

    def propose(self, replica: SimulatedReplica, number: int, command: bytes) -> None:
        """Propose a command at a replica; its result is passed to `reply` with that number."""
        self._step(replica, m.Propose(number, command))

    # Nodes

    def _now_s(self) -> float:
        return self._engine.now() / 1000

    def _step(self, replica: SimulatedReplica, event: m.Event) -> None:
        if replica.node is None:
            return
        for output in replica.node.step(self._now_s(), event):
            self._handle_output(replica, output)
        wake_at = max(1000 * replica.node.wake_time(), self._engine.now() + 1)
        if wake_at < replica.wake_at - 1:
            replica.wake_at = wake_at
            self._engine.call_at(wake_at, self._wake, replica, replica.incarnation, wake_at)

    def _wake(self, replica: SimulatedReplica, incarnation: int, scheduled_at: float) -> None:
        if replica.incarnation != incarnation or replica.node is None or replica.wake_at != scheduled_at:
            return
        replica.wake_at = NEVER
        wake_at = 1000 * replica.node.wake_time()
        if wake_at > self._engine.now() + 1:
            replica.wake_at = wake_at
            self._engine.call_at(wake_at, self._wake, replica, incarnation, wake_at)
        else:
            self._step(replica, m.Tick())

    def _handle_output(self, replica: SimulatedReplica, output: m.Output) -> None:
        now, incarnation = self._engine.now(), replica.incarnation
        match output:
            case m.Send(receiver, message):
                self._post(replica.gateway, gateway_number(receiver), replica.group, message)
            case m.Write():
                replica.disk.pending.append(output)
                durable_at = now + DISK_WRITE_MS
                self._engine.call_at(durable_at, self._write_completed, replica, output.number, incarnation)
            case m.Apply(entry, number):
                result: Result = Applied()
                if entry.data:
                    result = replica.state.apply(entry.stamp, entry.data)
                self._reply(replica, number, result, "")
            case m.RequestResult(number, _, _, leader):
                self._reply(replica, number, None, leader)
            case m.RestoreSnapshot(snapshot):
                replica.state.restore(snapshot.data)
            case m.CreateSnapshot(index):
                data = msgspec.msgpack.encode(replica.state.snapshot())
                self._engine.call_at(now, self._snapshot_created, replica, incarnation, index, data)
            case m.RoleChanged(role, _, _, _) if role is Role.LEADER:
                self.elections += 1

    def _snapshot_created(self, replica: SimulatedReplica, incarnation: int, index: int, data: bytes) -> None:
        if replica.incarnation == incarnation:
            self._step(replica, m.SnapshotCreated(index, data))

    def _write_completed(self, replica: SimulatedReplica, number: int, incarnation: int) -> None:
        if replica.incarnation != incarnation:
            return
        disk = replica.disk
        while disk.pending and disk.pending[0].number <= number:
            disk.apply(disk.pending.pop(0))
        self._step(replica, m.WriteCompleted(number))

    # Connections

    def is_cut(self, a: int, b: int) -> bool:
        """Return whether the connection between two gateways is cut."""
        partition = self._engine.network.partition
        return (a in partition) != (b in partition)

    def count_frame(self, sender: int, receiver: int, size: int) -> None:
        """Count a frame of `size` bytes, if it crosses the network."""
        if sender != receiver:
            self.frames += 1
            self.bytes += size

    def deliver(self, sender: int, receiver: int, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule `call` at the receiver, unless the connection is cut or the receiver is down."""
        engine = self._engine
        if sender == receiver:
            engine.call_at(engine.now(), call, *arguments)
        elif not self.is_cut(sender, receiver) and engine.gateways[receiver] is not None:
            engine.call_at(engine.now() + engine.network.peer_delay.next(), call, *arguments)

    def _post(self, sender: int, receiver: int, group: int, message: m.Message) -> None:
        waiting = self._outbox.setdefault((sender, receiver), [])
        if not waiting:
            self._engine.call_at(self._engine.now(), self._flush, sender, receiver)
        waiting.append((group, message))

    def _flush(self, sender: int, receiver: int) -> None:
        messages = self._outbox.pop((sender, receiver))
        sizes = (MESSAGE_HEADER_BYTES + len(msgspec.msgpack.encode(message)) for _, message in messages)
        self.frames += 1
        self.bytes += FRAME_HEADER_BYTES + sum(sizes)
        self.deliver(sender, receiver, self._receive, sender, receiver, messages)

    def _receive(self, sender: int, receiver: int, messages: list[tuple[int, m.Message]]) -> None:
        for group, message in messages:
            replica = self._replicas.get((group, receiver))
            if replica is not None:
                self._step(replica, m.MessageReceived(self._replicas[group, sender].name, message))


def gateway_number(replica: m.Replica) -> int:
    """Return the number of a replica's gateway."""
    return int(m.gateway_of(replica)[1:])
