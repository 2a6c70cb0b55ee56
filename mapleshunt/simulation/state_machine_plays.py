"""Holdings on the copies of a group, in the virtual network: sessions that call until they are answered.

The same checks as on real processes: `model.promises`.
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
RATE, BURST, TERM = 2.0, 20.0, 3000.0
AGAIN = 0.6  # s after which a call is made anew through another copy


class StateMachineSimulation(ReplicaGroupSimulation):
    holdings: type[ReplicatedState] = ReplicatedState

    def __init__(self, seed: int, copies: int = 3, spare: int = 2, make: NodeFactory = RaftNode) -> None:
        super().__init__(seed, copies, spare, make)
        self.history: list[HistoryEvent] = []
        self.open: dict[str, HistoryEvent] = {}  # what each session waits for
        self.numbers = dict.fromkeys((f"s{n}" for n in range(SESSIONS)), 0)
        self.by_call: dict[int, HistoryEvent] = {}
        self.leases: list[tuple[str, int, float]] = []
        self.quiet = False

    def thaw(self, data: bytes) -> Any:
        state = self.holdings()
        state.restore(data)
        return state

    def freeze(self, state: Any) -> bytes:
        return msgspec.msgpack.encode(state.snapshot())

    def take(self, one: VirtualReplica, entry: m.Entry, call: int | None) -> None:
        result = one.state.apply(entry.stamp, entry.data) if entry.data else None
        event = self.by_call.pop(call, None) if call is not None else None
        if event is None or event.ended_at or result is None:
            return
        event.result, event.ended_at = result, self.now
        self.open.pop(event.session, None)
        if isinstance(result, LeaseGranted) and isinstance(event.operation, w.AcquireLease):
            self.leases.append((event.operation.customer, result.lease_id, result.units))

    def operation(self) -> w.Operation:
        chance, customer = self.random, f"c{self.random.randrange(CUSTOMERS)}"
        kind = chance.choice(["lease", "lease", "count", "return"])
        if kind == "return" and self.leases:
            whose, lease, units = self.leases.pop(0)
            return w.ReturnLease(whose, lease, chance.uniform(0.0, units))
        if kind == "lease":
            return w.AcquireLease(customer, RATE, BURST, chance.choice([1.0, 5.0, 12.0]), 1.0, TERM)
        return w.CountUsage(customer, float(chance.randint(1, 9)))

    def call(self) -> None:
        """One session asks, anew if it waits; through any copy that is up."""
        super().call()
        session = self.random.choice(sorted(self.numbers))
        event = self.open.get(session)
        if event is None:
            if self.quiet:
                return
            number = self.numbers[session] = self.numbers[session] + 1
            event = HistoryEvent(
                session, number, w.OpenSession() if number == 1 else self.operation(), self.now
            )
            self.open[session] = event
            self.history.append(event)
        self.ask(event)

    def ask(self, event: HistoryEvent) -> None:
        if event.ended_at:
            return
        alive = [one for one in self.machines.values() if one.node is not None]
        leaders = [one for one in alive if one.node is not None and one.node.role is Role.LEADER]
        if alive:
            self.next_call += 1
            self.by_call[self.next_call] = event
            data = w.encode(w.Command(event.session, event.number, event.number, event.operation))
            self.calls[self.next_call] = {"data": data, "known": 0}
            self.step(self.random.choice(leaders or alive).copy, m.Propose(self.next_call, data))
        self.at(self.now + AGAIN, lambda: self.ask(event))

    def run(self, seconds: float = 40.0, moves: int = 40) -> None:
        super().run(seconds, moves)
        if not self.whole():
            return
        self.quiet = True
        self.run_until(self.now + 20.0)
        nodes = [one for one in self.machines.values() if one.node is not None]
        state = max(nodes, key=lambda one: one.last).state
        final = {f"store c{n}": state.buckets.get(f"c{n}") for n in range(CUSTOMERS)}
        if said := find_violations(self.history, final, BURST):
            raise InvariantViolationError(said[0])


# Planted faults


class Forgetful(ReplicatedState):
    """A snapshot leaves the sessions' answers out."""

    def snapshot(self) -> StateSnapshot:
        whole = super().snapshot()
        bare = [(name, msgspec.structs.replace(one, results=())) for name, one in whole.sessions]
        return msgspec.structs.replace(whole, sessions=bare)


class SnapshotWithoutSessions(StateMachineSimulation):
    holdings = Forgetful


class JumpedClockLeader(Leader):
    """A leader that stamps entries by a wall clock, which jumps ahead at one replica in two now and then."""

    def stamp(self, now: float) -> float:
        odd = int(gateway_of(self.me)[1:]) % 2
        ahead = 5000.0 if odd and now % 8 > 4 else 0.0
        return max(self.log.last_stamp(), 1000 * now + ahead)


class JumpedClock(RaftNode):
    """Entries are stamped by a wall clock."""

    leader_type = JumpedClockLeader


class NoSessions(ReplicatedState):
    """An operation that comes again is done again."""

    def apply(self, stamp: float, data: bytes) -> Result:
        try:
            command = w.decode_command(data)
        except msgspec.DecodeError:
            return Denied("order")
        if isinstance(command.operation, w.OpenSession):
            return Applied()
        return self._execute(stamp, command.session, command.operation)


class DoneAgain(StateMachineSimulation):
    holdings = NoSessions


PLANTED_FAULTS: dict[str, tuple[type[StateMachineSimulation], type[RaftNode]]] = {
    "SnapshotWithoutSessions": (SnapshotWithoutSessions, RaftNode),
    "DoneAgain": (DoneAgain, RaftNode),
    "JumpedClock": (StateMachineSimulation, JumpedClock),
}


def run_seed(seed: int, planted_fault: str = "") -> str:
    """What broke in the play of that seed, or nothing."""
    kind, make = PLANTED_FAULTS.get(planted_fault, (StateMachineSimulation, RaftNode))
    return run_simulation(kind, seed, make)
