"""The I/O of one group's replica on this gateway: timer, messages, writes, and clients' requests.

`replication.node` and `replicated_state.state_machine` make the decisions; this module carries them out.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from ...replicated_state import commands
from ...replicated_state.results import Applied, Result
from ...replicated_state.state_machine import ReplicatedState
from ...replication import messages as m
from ...replication import wire
from ...replication.config import RaftConfig
from ...replication.node import RaftNode
from ...replication.roles import Role
from .. import log
from ..counters import Counters
from .local_calls import LocalCalls, ResponseWriter
from .reads import read_state

# Key prefix, followed by a gateway's name, of a record that is not empty ("1" if an operator set it) while
# that gateway is to hold no replica of the group.
EVACUATED_PREFIX = "copies/away/"
MIN_TIMER_DELAY_S = 0.001


@dataclass(slots=True, frozen=True)
class GroupServices:
    """Services that the replicas of all groups on a gateway share."""

    gateway: str
    raft_config: RaftConfig
    counters: Counters
    local_calls: LocalCalls
    now: Callable[[], float]  # s, the loop's clock
    replica: Callable[[], m.Replica]  # this gateway's replica id, which a renewed store changes
    boot: Callable[[], int]  # boot number of the store
    send: Callable[[int, m.Replica, m.Message], None]
    send_chunk: Callable[[int, m.Replica, m.SnapshotChunk], None]
    write: Callable[[int, m.Write], None]


class GroupHost:
    """Runs one group's Raft node and state machine."""

    def __init__(self, services: GroupServices, group: int, stored: m.PersistentState, seed: int) -> None:
        """Load the stored state; `start` makes the replica take part."""
        self.group = group
        self.state = ReplicatedState()
        self.state.restore(stored.snapshot.data)
        replica, now = services.replica(), services.now()
        self.node = RaftNode(replica, stored, services.raft_config, seed, now)
        self.started = False  # until then the replica neither receives nor sends anything
        self.pending: dict[int, tuple[ResponseWriter, wire.ClientRequest]] = {}  # requests by local number
        self._services = services
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")
        self._evacuated_source: Any = None  # the records that `_evacuated` was computed from
        self._evacuated: set[str] = set()

    def start(self) -> None:
        """Start taking part in the group."""
        self.started = True
        self.step(m.Tick())

    def is_leader(self) -> bool:
        """Return whether this replica leads its group."""
        return self.started and self.node.role is Role.LEADER

    def evacuated_gateways(self) -> set[str]:
        """Return the gateways that are to hold no replica of this group."""
        records = self.state.records
        if self._evacuated_source is not records:  # a persistent map: every change makes a new object
            self._evacuated_source = records
            marked = (
                key for key, record in records.items() if key.startswith(EVACUATED_PREFIX) and record.value
            )
            self._evacuated = {key.removeprefix(EVACUATED_PREFIX) for key in marked}
        return self._evacuated

    def step(self, event: m.Event) -> None:
        """Pass an event to the node and carry out its outputs; does nothing unless started."""
        if not self.started:
            return
        try:
            for output in self.node.step(self._services.now(), event):
                self._carry_out(output)
        finally:  # the next timeout has to come even after an exception
            wake_at = self.node.wake_time()
            if self._timer is None or wake_at < self._timer_at - MIN_TIMER_DELAY_S:
                self._set_timer(wake_at)

    def _carry_out(self, output: m.Output) -> None:
        """Carry out an output; an exception is logged, so that the following outputs are carried out."""
        try:
            self._dispatch(output)
        except Exception:
            self._services.counters.add("exceptions")
            log.log_exception("copies_exception", group=self.group, output=type(output).__name__)

    def _set_timer(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = max(at, self._services.now() + MIN_TIMER_DELAY_S)
        self._timer = asyncio.get_running_loop().call_at(self._timer_at, self._timer_fired)

    def _timer_fired(self) -> None:
        self._timer = None
        if self.node.wake_time() > self._services.now() + MIN_TIMER_DELAY_S:  # postponed since it was set
            self._set_timer(self.node.wake_time())
        else:
            self.step(m.Tick())

    def _dispatch(self, output: m.Output) -> None:
        services = self._services
        match output:
            case m.Send(to, m.SnapshotChunk() as chunk):
                services.send_chunk(self.group, to, chunk)
            case m.Send(to, message):
                services.send(self.group, to, message)
            case m.Write():
                services.write(self.group, output)
            case m.Apply(entry, number):
                self._apply(entry, number)
            case m.RestoreSnapshot(snapshot):
                self.state.restore(snapshot.data)
                services.counters.add("copies_installed")
            case m.RequestResult(number, outcome, _, hint):
                self._finish(number, outcome, hint)
            case m.CreateSnapshot(index):
                asyncio.get_running_loop().call_soon(self._encode_snapshot, index, self.state.snapshot())
            case m.RoleChanged(role, term, leader, reason):
                gateway = m.gateway_of(leader) or "none"
                log.log_event(
                    "copies_role", group=self.group, role=role, term=term, leader=gateway, why=reason
                )

    def _encode_snapshot(self, index: int, snapshot: Any) -> None:
        if self.started:
            self.step(m.SnapshotCreated(index, msgspec.msgpack.encode(snapshot)))

    def _apply(self, entry: m.Entry, number: int | None) -> None:
        result: Result = Applied()
        if entry.data:
            result = self.state.apply(entry.stamp, entry.data)
        if entry.members is not None:
            log.log_event(
                "copies_members",
                group=self.group,
                voters=",".join(entry.members.voters),
                learners=",".join(entry.members.learners) or "none",
            )
        if number is not None:
            self._respond(number, "done", "", commands.encode(result))

    # Requests

    def handle(self, source: ResponseWriter, request: wire.ClientRequest) -> None:
        """Propose the request's command or confirm its read; the response goes to `source`."""
        number = self._services.local_calls.next_number()
        self.pending[number] = (source, request)
        if request.command:
            self.step(m.Propose(number, request.command))
        else:
            self.step(m.ReadRequest(number))

    def _finish(self, number: int, outcome: str, hint: str) -> None:
        if outcome == "read" and number in self.pending:
            self._respond(number, "done", "", self._read(self.pending[number][1].query))
        else:
            self._respond(number, outcome, m.gateway_of(hint), b"")

    def _read(self, query: str) -> bytes:
        return read_state(
            self.state, query, self.node.log.last_stamp(), lambda: self.node.stamp(self._services.now())
        )

    def _respond(self, number: int, status: str, hint: str, data: bytes) -> None:
        if (pending := self.pending.pop(number, None)) is None:
            return
        source, request = pending
        if len(data) > wire.MAX_REPLY_DATA_BYTES:
            self._services.counters.add("copies_replies_too_long")
            status, data = "unknown", b""
        source.write(wire.ClientResponse(request.number, status, hint, data))

    # Operators

    def state_token(self) -> str:
        """Return gateway, last term and last index, as the text that confirms a recovery."""
        return f"{self._services.gateway}.{self.node.log.last_term()}.{self.node.log.last_index()}"

    def status(self, has_quorum: bool) -> dict[str, Any]:  # Any: encoded as it is
        """Return the replica's status under the keys that operators read."""
        node, members = self.node, self.node.members()
        return {
            "group": self.group,
            "role": node.role,
            "term": node.term,
            "leader": m.gateway_of(node.leader),
            "voters": list(members.voters),
            "learners": list(members.learners),
            "commit": node.commit_index,
            "last": node.log.last_index(),
            "snapshot": node.log.snapshot.index,
            "stores": len(self.state.buckets),
            "quorum": has_quorum,
            "last_term": node.log.last_term(),
            "stamp": node.log.last_stamp(),
            "state": self.state_token(),
        }

    def stop(self) -> None:
        """Stop taking part; pending requests end with the status "unknown"."""
        self.started = False
        if self._timer is not None:
            self._timer.cancel()
        for number in list(self.pending):
            self._respond(number, "unknown", "", b"")
