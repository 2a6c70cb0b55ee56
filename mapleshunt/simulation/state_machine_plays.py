"""Simulation of the replicated state machine: sessions repeat their calls until they have a result.

The history is checked by `history_checker`, as that of real processes is.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ..replicated_state import commands as w
from ..replicated_state.results import Applied, Denied, LeaseGranted, Result
from ..replicated_state.state_machine import ReplicatedState, StateSnapshot
from ..replication import messages as m
from ..replication.leader import Leader
from ..replication.messages import gateway_of
from ..replication.node import RaftNode
from ..replication.roles import Role
from .history_checker import HistoryEvent, find_violations
from .replication_plays import (
    InvariantViolationError,
    NodeFactory,
    ReplicaGroupSimulation,
    VirtualReplica,
    run_simulation,
)

SESSIONS = 3
CUSTOMERS = 2
RATE, BURST, TERM_MS = 2.0, 20.0, 3000.0
CALL_RETRY_S = 0.6  # until a call without a result is sent again, perhaps to another replica


class StateMachineSimulation(ReplicaGroupSimulation):
    """A simulated group whose replicas apply the commands of sessions to `state_type`."""

    state_type: type[ReplicatedState] = ReplicatedState

    def __init__(
        self, seed: int, replicas: int = 3, spares: int = 2, make_node: NodeFactory = RaftNode
    ) -> None:
        super().__init__(seed, replicas, spares, make_node)
        self.history: list[HistoryEvent] = []
        self.open_calls: dict[str, HistoryEvent] = {}  # by session
        self.call_numbers = dict.fromkeys((f"s{n}" for n in range(SESSIONS)), 0)
        self.event_by_request: dict[int, HistoryEvent] = {}
        self.leases: list[tuple[str, int, float]] = []  # customer, lease id, units
        self.no_new_calls = False

    def restore_state(self, data: bytes) -> Any:
        """Return the state that a snapshot's data encodes."""
        state = self.state_type()
        state.restore(data)
        return state

    def encode_state(self, state: Any) -> bytes:
        """Return the snapshot data of a state."""
        return msgspec.msgpack.encode(state.snapshot())

    def apply_to_state(self, replica: VirtualReplica, entry: m.Entry, request_id: int | None) -> None:
        """Apply an entry to a replica's state, and record the result of the call that proposed it."""
        result = replica.state.apply(entry.stamp, entry.data) if entry.data else None
        event = self.event_by_request.pop(request_id, None) if request_id is not None else None
        if event is None or event.ended_at or result is None:
            return
        event.result, event.ended_at = result, self.now
        self.open_calls.pop(event.session, None)
        if isinstance(result, LeaseGranted) and isinstance(event.operation, w.AcquireLease):
            self.leases.append((event.operation.customer, result.lease_id, result.units))

    def draw_operation(self) -> w.Operation:
        """Return a random operation of a random customer."""
        rng, customer = self.random, f"c{self.random.randrange(CUSTOMERS)}"
        kind = rng.choice(["lease", "lease", "count", "return"])
        if kind == "return" and self.leases:
            lease_customer, lease_id, units = self.leases.pop(0)
            return w.ReturnLease(lease_customer, lease_id, rng.uniform(0.0, units))
        if kind == "lease":
            return w.AcquireLease(customer, RATE, BURST, rng.choice([1.0, 5.0, 12.0]), 1.0, TERM_MS)
        return w.CountUsage(customer, float(rng.randint(1, 9)))

    def make_call(self) -> None:
        """Also send the open call of a random session, or a new one if it has none."""
        super().make_call()
        session = self.random.choice(sorted(self.call_numbers))
        event = self.open_calls.get(session)
        if event is None:
            if self.no_new_calls:
                return
            number = self.call_numbers[session] = self.call_numbers[session] + 1
            event = HistoryEvent(
                session, number, w.OpenSession() if number == 1 else self.draw_operation(), self.now
            )
            self.open_calls[session] = event
            self.history.append(event)
        self.send_call(event)

    def send_call(self, event: HistoryEvent) -> None:
        """Send a call to a leader or any running replica, and again until it has a result."""
        if event.ended_at:
            return
        alive = [replica for replica in self.replicas.values() if replica.node is not None]
        leaders = [r for r in alive if r.node is not None and r.node.role is Role.LEADER]
        if alive:
            self.last_request_id += 1
            self.event_by_request[self.last_request_id] = event
            data = w.encode(w.Command(event.session, event.number, event.number, event.operation))
            self.calls[self.last_request_id] = {"data": data, "min_index": 0}
            self.step(self.random.choice(leaders or alive).name, m.Propose(self.last_request_id, data))
        self.schedule(self.now + CALL_RETRY_S, lambda: self.send_call(event))

    def run(self, seconds: float = 40.0, action_count: int = 40) -> None:
        """Also complete the open calls after the faults, and check the history."""
        super().run(seconds, action_count)
        if not self.has_majorities():
            return
        self.no_new_calls = True
        self.run_until(self.now + 20.0)
        nodes = [replica for replica in self.replicas.values() if replica.node is not None]
        state = max(nodes, key=lambda replica: replica.last_applied).state
        final = {f"store c{n}": state.buckets.get(f"c{n}") for n in range(CUSTOMERS)}
        if violations := find_violations(self.history, final, BURST):
            raise InvariantViolationError(violations[0])


# Planted faults


class StateWithoutResults(ReplicatedState):
    """A state whose snapshots leave out the results of sessions."""

    def snapshot(self) -> StateSnapshot:
        """Return the snapshot without the results of sessions."""
        complete = super().snapshot()
        without_results = [
            (name, msgspec.structs.replace(session, results=())) for name, session in complete.sessions
        ]
        return msgspec.structs.replace(complete, sessions=without_results)


class SnapshotWithoutSessions(StateMachineSimulation):
    """Snapshots leave out the results of sessions."""

    state_type = StateWithoutResults


class JumpedClockLeader(Leader):
    """A leader that stamps entries by a wall clock, which at times jumps ahead at every second gateway."""

    def stamp(self, now: float) -> float:
        """Return the stamp of an entry (ms), which never decreases."""
        jumps = int(gateway_of(self.me)[1:]) % 2
        ahead = 5000.0 if jumps and now % 8 > 4 else 0.0
        return max(self.log.last_stamp(), 1000 * now + ahead)


class JumpedClock(RaftNode):
    """Stamps entries by a wall clock that jumps."""

    leader_type = JumpedClockLeader


class StateWithoutSessions(ReplicatedState):
    """A state that executes a repeated operation again."""

    def apply(self, stamp: float, data: bytes) -> Result:
        """Execute a command without looking up its session."""
        try:
            command = w.decode_command(data)
        except msgspec.DecodeError:
            return Denied("order")
        if isinstance(command.operation, w.OpenSession):
            return Applied()
        return self._execute(stamp, command.session, command.operation)


class DoneAgain(StateMachineSimulation):
    """Repeated operations are executed again."""

    state_type = StateWithoutSessions


PLANTED_FAULTS: dict[str, tuple[type[StateMachineSimulation], type[RaftNode]]] = {
    "SnapshotWithoutSessions": (SnapshotWithoutSessions, RaftNode),
    "DoneAgain": (DoneAgain, RaftNode),
    "JumpedClock": (StateMachineSimulation, JumpedClock),
}


def run_seed(seed: int, planted_fault: str = "") -> str:
    """Run a group by seed, with a planted fault if one is named, and return the violated invariant, or ""."""
    kind, make_node = PLANTED_FAULTS.get(planted_fault, (StateMachineSimulation, RaftNode))
    return run_simulation(kind, seed, make_node)
