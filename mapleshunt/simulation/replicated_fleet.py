"""Runs of a large fleet whose quotas are leased from replicas: the gateways' calls of the Raft groups.

A lost machine is not replaced during a run.
"""

from __future__ import annotations

from typing import Any

from ..policy import RequestReceived
from ..policy.gateway import Gateway
from ..replicated_state.results import Result
from ..replication import messages as m
from .day import ScenarioRun
from .engine import Engine
from .gateway_leases import GatewayLeases, PendingCall
from .replica_cluster import GROUP_COUNT, ReplicaCluster, SimulatedReplica, gateway_number

CALL_RETRY_MS = 250.0  # until a call without a reply is sent again
CALL_HEADER_BYTES = 16
REPLY_BYTES = 24
UNKNOWN_LEADER = -1  # in place of the leader's gateway


class ReplicatedFleetEngine(Engine):
    """Simulates a run with quotas that are leased from replicas, or without replicas if not `leased`."""

    def __init__(self, run: ScenarioRun, leased: bool = True) -> None:
        self.operations = 0
        self._cluster = ReplicaCluster(self, self._reply)
        self._replicas_placed = False
        self._leaders: dict[int, int] = {}  # by group: the gateway of its last known leader
        self._calls: dict[int, PendingCall] = {}  # by the number of a proposal
        self._last_call = 0
        self._leases: dict[int, GatewayLeases] = {}  # by gateway
        super().__init__(run, Gateway)
        if leased:
            count = len(self.gateways)
            self._cluster.place(count)
            self._replicas_placed = True
            for number in range(count):
                self._start_replicas(number)

    @property
    def frames(self) -> int:
        """Frames that crossed the network for replication."""
        return self._cluster.frames

    @property
    def bytes(self) -> int:
        """Bytes that crossed the network for replication."""
        return self._cluster.bytes

    @property
    def elections(self) -> int:
        """Number of elections won."""
        return self._cluster.elections

    # Gateways

    def _start_gateway(self, number: int) -> None:
        super()._start_gateway(number)
        if self._replicas_placed:
            self._start_replicas(number)

    def _start_replicas(self, number: int) -> None:
        self._cluster.start_replicas(number)
        self._leases[number] = GatewayLeases(
            self, number, GROUP_COUNT, self._begin_call, super().deliver_event
        )

    def _kill_gateway(self, number: int) -> None:
        super()._kill_gateway(number)
        self._cluster.stop_replicas(number)

    def deliver_event(self, number: int, event: Any) -> None:
        """Deliver an event to a gateway; a request may first wait for its customer's lease."""
        if isinstance(event, RequestReceived) and number in self._leases:
            plan = self.settings[number].plans[event.plan]
            if self._leases[number].hold_request(plan, event):
                return
        super().deliver_event(number, event)

    # Calls

    def _begin_call(self, call: PendingCall) -> None:
        self._send_call(call, UNKNOWN_LEADER)

    def _send_call(self, call: PendingCall, leader: int) -> None:
        """Send a call, and repeat it until it has a result or its deadline passes."""
        leases = self._leases.get(call.gateway)
        if call.done or leases is None or not leases.is_active() or self.epochs[call.gateway] != call.epoch:
            return
        if self.event_queue.now >= call.deadline:
            call.done = True
            leases.apply_result(call, None)
            return
        receiver = leader if leader >= 0 else self._pick_receiver(call)
        self._last_call += 1
        self._cluster.count_frame(call.gateway, receiver, len(call.command) + CALL_HEADER_BYTES)
        self._cluster.deliver(call.gateway, receiver, self._receive_call, self._last_call, call, receiver)
        self.event_queue.schedule(self.event_queue.now + CALL_RETRY_MS, self._send_call, call, UNKNOWN_LEADER)

    def _pick_receiver(self, call: PendingCall) -> int:
        """Return the last known leader if it is reachable, else a running member of the group."""
        leader = self._leaders.get(call.group, UNKNOWN_LEADER)
        if (
            leader >= 0
            and self.gateways[leader] is not None
            and not self._cluster.is_cut(call.gateway, leader)
        ):
            return leader
        running = [
            member for member in self._cluster.members[call.group] if self.gateways[member] is not None
        ]
        if not running:
            return call.gateway
        return running[self.scenario_run.streams.seed_for("asks", self._last_call) % len(running)]

    def _receive_call(self, number: int, call: PendingCall, gateway: int) -> None:
        replica = self._cluster.replica(call.group, gateway)
        if replica is not None:
            self._calls[number] = call
            self._cluster.propose(replica, number, call.command)

    def _reply(
        self, replica: SimulatedReplica, number: int | None, result: Result | None, leader: m.Replica
    ) -> None:
        if number is None or number not in self._calls:
            return
        call = self._calls.pop(number)
        sender = replica.gateway
        self._cluster.count_frame(sender, call.gateway, REPLY_BYTES)
        leader_gateway = gateway_number(leader) if leader else UNKNOWN_LEADER
        self._cluster.deliver(sender, call.gateway, self._receive_reply, call, result, sender, leader_gateway)

    def _receive_reply(self, call: PendingCall, result: Result | None, sender: int, leader: int) -> None:
        if call.done:
            return
        if result is None:
            self._leaders[call.group] = leader
            if leader >= 0:
                self._send_call(call, leader)
            return
        self._leaders[call.group] = sender
        call.done = True
        self.operations += 1
        if call.epoch == self.epochs[call.gateway]:
            self._leases[call.gateway].apply_result(call, result)
