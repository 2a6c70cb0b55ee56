"""One group's replica on this gateway: its state machine, its timer, and the calls it answers.

Decisions are those of `copies.node` and `holdings.state`; what they ask for is carried out here.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from ...maintenance.summary import summarize
from ...replicated_state import commands as words
from ...replicated_state.results import Applied, Result
from ...replicated_state.state_machine import ReplicatedState
from ...replication import messages as m
from ...replication import wire
from ...replication.node import RaftNode
from ...replication.roles import Role
from .. import log
from .connections import PeerConnection

if TYPE_CHECKING:
    from .host import ReplicationHost

EVACUATED_PREFIX = (
    "copies/away/"  # and a gateway: a record of the group, "1" where that gateway is to hold none of it
)


class LocalConnection:
    """Stands for a connection where this gateway calls itself."""

    def __init__(self, replied: Callable[[wire.ClientResponse], None]) -> None:
        self.replied = replied

    def write(self, frame: wire.Frame) -> None:
        if isinstance(frame, wire.ClientResponse):
            asyncio.get_running_loop().call_soon(self.replied, frame)


class GroupHost:
    """One group's copy on this gateway."""

    def __init__(self, copies: ReplicationHost, group: int, stored: m.PersistentState) -> None:
        self.copies, self.group = copies, group
        self.holdings = ReplicatedState()
        self.holdings.thaw(stored.snapshot.data)
        now = copies.now()
        self.node = RaftNode(copies.me, stored, copies.timing, copies.chance.getrandbits(32), now)
        self.timer: asyncio.TimerHandle | None = None
        self.due = float("inf")
        self.calls: dict[int, tuple[PeerConnection | LocalConnection, wire.ClientRequest]] = {}
        self.begun = False  # it takes part; before that it neither hears nor says anything
        self.seen: Any = None  # the records that `left` was read from
        self.left: set[str] = set()

    def begin(self) -> None:
        self.begun = True
        self.step(m.Tick())

    def leads(self) -> bool:
        return self.begun and self.node.role is Role.LEADER

    def away(self) -> set[str]:
        """Gateways that operators want it to leave."""
        if self.seen is not self.holdings.records:  # persistent: another one if anything changed
            self.seen = self.holdings.records
            marked = (key for key, one in self.seen.items() if key.startswith(EVACUATED_PREFIX) and one.value)
            self.left = {key.removeprefix(EVACUATED_PREFIX) for key in marked}
        return self.left

    def step(self, event: m.Event) -> None:
        if not self.begun:
            return
        try:
            for output in self.node.step(self.copies.now(), event):
                self._carry_out(output)
        finally:  # whatever went wrong, its next timeout comes
            wake = self.node.wake_time()
            if self.timer is None or wake < self.due - 0.001:
                self._wake(wake)

    def _carry_out(self, output: m.Output) -> None:
        """Do it. A defect in one must not leave out those behind it, entries to be applied among them."""
        try:
            self._do(output)
        except Exception:
            self.copies.counters.add("exceptions")
            log.log_exception("copies_exception", group=self.group, output=type(output).__name__)

    def _wake(self, at: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.due = max(at, self.copies.now() + 0.001)
        self.timer = asyncio.get_running_loop().call_at(self.due, self._tick)

    def _tick(self) -> None:
        self.timer = None
        if self.node.wake_time() > self.copies.now() + 0.001:  # it was put off meanwhile
            self._wake(self.node.wake_time())
        else:
            self.step(m.Tick())

    def _do(self, output: m.Output) -> None:
        copies = self.copies
        match output:
            case m.Send(to, m.SnapshotChunk() as piece):
                copies.pace.offer((self.group, to), len(piece.data), piece)
                copies.send_pieces()
            case m.Send(to, message):
                copies.send(self.group, to, message)
            case m.Write():
                copies.writer.write(self.group, output)
            case m.Apply(entry, call):
                self._apply(entry, call)
            case m.RestoreSnapshot(snapshot):
                self.holdings.thaw(snapshot.data)
                copies.counters.add("copies_installed")
            case m.RequestResult(call, how, _, hint):
                self._answer(call, how, hint)
            case m.CreateSnapshot(index):
                asyncio.get_running_loop().call_soon(self._snap, index, self.holdings.freeze())
            case m.RoleChanged(role, term, leader, why):
                leads = m.gateway_of(leader) or "none"
                log.log_event("copies_role", group=self.group, role=role, term=term, leader=leads, why=why)

    def _snap(self, index: int, frozen: Any) -> None:
        if self.begun:
            self.step(m.SnapshotCreated(index, msgspec.msgpack.encode(frozen)))

    def _apply(self, entry: m.Entry, call: int | None) -> None:
        result: Result = Applied()
        if entry.data:
            result = self.holdings.apply(entry.stamp, entry.data)
        if entry.members is not None:
            log.log_event("copies_members", group=self.group, voters=",".join(entry.members.voters),
                    learners=",".join(entry.members.learners) or "none")  # fmt: skip
        if call is not None:
            self._reply(call, "done", "", words.encode(result))

    def _answer(self, call: int, how: str, hint: str) -> None:
        if how == "read" and call in self.calls:
            self._reply(call, "done", "", self._read(self.calls[call][1].read))
        else:
            self._reply(call, how, m.gateway_of(hint), b"")

    def _read(self, what: str) -> bytes:
        kind, _, name = what.partition(" ")
        holdings, stamp = self.holdings, self.node.log.last_stamp()
        if kind == "store":
            return msgspec.msgpack.encode(holdings.store(stamp, name))
        if kind == "place":
            place, now = holdings.works.place_of(name), self.node.stamp(self.copies.now())
            long = place is not None and holdings.works.requests[place.request].ask.long
            return msgspec.msgpack.encode((now, place, long, bool(holdings.works.open())))
        if kind == "works":
            told = summarize(holdings.works.freeze(), wire.MAX_REPLY_DATA_BYTES // 2)
            return msgspec.msgpack.encode((self.node.stamp(self.copies.now()), told))
        if kind == "record":
            return msgspec.msgpack.encode(holdings.records.get(name))
        return msgspec.msgpack.encode(None)

    def _reply(self, call: int, how: str, hint: str, data: bytes) -> None:
        if (known := self.calls.pop(call, None)) is not None:
            link, asked = known
            if len(data) > wire.MAX_REPLY_DATA_BYTES:
                self.copies.counters.add("copies_replies_too_long")
                how, data = "unknown", b""
            link.write(wire.ClientResponse(asked.number, how, hint, data))

    def called(self, link: PeerConnection | LocalConnection, call: wire.ClientRequest) -> None:
        number = self.copies.local_calls.number()
        self.calls[number] = (link, call)
        if call.command:
            self.step(m.Propose(number, call.command))
        else:
            self.step(m.ReadRequest(number))

    def state(self) -> str:
        """What a copy of a group holds, in a word that an operator confirms."""
        return f"{self.copies.name}.{self.node.log.last_term()}.{self.node.log.last_index()}"

    def status(self) -> dict[str, Any]:
        node, members = self.node, self.node.members()
        return {
            "group": self.group, "role": node.role, "term": node.term, "leader": m.gateway_of(node.leader),
            "voters": list(members.voters), "learners": list(members.learners), "commit": node.commit_index,
            "last": node.log.last_index(), "snapshot": node.log.snapshot.index,
            "stores": len(self.holdings.stores), "quorum": self.copies.quorum(self),
            "last_term": node.log.last_term(), "stamp": node.log.last_stamp(), "state": self.state(),
        }  # fmt: skip

    def end(self) -> None:
        self.begun = False
        if self.timer is not None:
            self.timer.cancel()
        for call in list(self.calls):
            self._reply(call, "unknown", "", b"")
