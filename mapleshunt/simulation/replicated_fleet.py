"""Days of a large fleet whose quotas are leased from copies: groups, disks and links in virtual time.

What decides is the program's own: `replication.node`, `replicated_state` and the gateways' `Leased`. Here are their clock, disks and wires. A wire loses nothing but what is sent while it is cut; a lost
machine is not replaced within a day. Times in ms, those of the nodes in s.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from ..fleet.faults import Fault, sample_machines
from ..fleet.random_streams import Rng
from ..policy import Plan, QuotaLeaseGranted, RequestReceived
from ..policy.customers import Customer
from ..policy.gateway import Gateway
from ..policy.gossip_codec import tag_of
from ..replicated_state import commands as w
from ..replicated_state.leases import Action, LeaseHolder, LeaseUpdate, ProposeOperation
from ..replicated_state.results import Applied, Result
from ..replicated_state.state_machine import ReplicatedState
from ..replication import messages as m
from ..replication.config import RaftConfig
from ..replication.node import RaftNode
from ..replication.placement import group_of_customer, place_replicas
from ..replication.roles import Role
from .day import Day, Scenario
from .engine import Engine
from .replication_plays import VirtualDisk

GROUPS, SIZE = 64, 3
TIMING = RaftConfig()
DISK = 2.0  # ms until a write is durable
LEASE_TERM, LONGEST, HOLD = 2000.0, 10_000.0, 100.0  # as net/leases.py has them
EVERY = 50.0  # between two looks at what leases are due
AGAIN = 250.0  # after which a call is made again
WAITS = {w.AcquireLease: 1000.0, w.ReturnLease: 2000.0}
SETTLE_WAITS = 60_000.0


@dataclass(eq=False)
class SimulatedReplica:
    """One group's copy at one gateway."""

    group: int
    gateway: int
    name: m.Replica
    disk: VirtualDisk
    holdings: ReplicatedState = field(default_factory=ReplicatedState)
    node: RaftNode | None = None
    life: int = 0
    due: float = float("inf")


@dataclass(eq=False)
class PendingCall:
    """An operation of a gateway's session that is not answered yet."""

    gateway: int
    epoch: int
    group: int
    command: bytes
    ask: ProposeOperation
    until: float
    over: bool = False


class GatewayLeases:
    """A gateway's side of leases, for one life of it."""

    def __init__(self, engine: ReplicatedFleetEngine, number: int) -> None:
        self.engine, self.number, self.epoch = engine, number, engine.epochs[number]
        self.leaser = LeaseHolder(LEASE_TERM, LONGEST, self._rest, self._left, self._level, self._owed)
        self.waiting: dict[
            str, list[tuple[float, RequestReceived, float]]
        ] = {}  # until when, what, since when
        self.sound = True
        self.plans: dict[str, str] = {}
        self.sessions: dict[int, int] = {}  # by group: how many operations it has numbered
        self.opening: dict[int, list[ProposeOperation]] = {}  # by group: what waits for its session
        self.tick()

    def _held(self, customer: str) -> Customer | None:
        gateway = self.engine.gateways[self.number]
        return gateway.customers.by_tag.get(tag_of(customer)) if isinstance(gateway, Gateway) else None

    def _rest(self, customer: str, lease: int) -> float:
        one = self._held(customer)
        return one.leases.units_left(lease) if one is not None else 0.0

    def _left(self, customer: str, lease: int) -> float:
        one = self._held(customer)
        return one.leases.end(lease) if one is not None else 0.0

    def _level(self, customer: str, at: float) -> float:
        one = self._held(customer)
        return (one.leases.available(at) or 0.0) if one is not None else 0.0

    def _owed(self, customer: str) -> float:
        one = self._held(customer)
        return one.leases.take_owed_units() if one is not None else 0.0

    def alive(self) -> bool:
        return self.engine.gateways[self.number] is not None and self.engine.epochs[self.number] == self.epoch

    def asked(self, plan: Plan, request: RequestReceived) -> bool:
        """Does it wait for its customer's lease?"""
        customer, now = request.customer, self.engine.now()
        if not plan.rate:
            return False
        self.plans[customer] = plan.name
        self.do(
            self.leaser.request_units(
                now, customer, plan.rate, plan.burst, request.gateway_set_size, request.units
            )
        )
        there = customer in self.waiting or self.leaser.is_waiting(now, customer, request.units)
        if there and self.sound and request.remaining_time > 2 * HOLD:
            self.waiting.setdefault(customer, []).append((now + HOLD, request, now))
            return True
        return False

    def resume(self, customer: str) -> None:
        now, waiting = self.engine.now(), self.waiting.pop(customer, [])
        while waiting:
            end, request, since = waiting[0]
            if now < end and self._level(customer, now) < request.units:
                self.do(self.leaser.request_more(now, customer, request.units))
                if self.leaser.is_waiting(now, customer, request.units):
                    self.waiting[customer] = waiting + self.waiting.pop(customer, [])
                    return
            del waiting[0]
            if request.request_id in self.engine.open_requests[self.number]:
                self.engine.let_in(
                    self.number, replace(request, remaining_time=request.remaining_time - now + since)
                )

    def tick(self) -> None:
        if self.alive():
            self.do(self.leaser.tick(self.engine.now()))
            now = self.engine.now()
            for customer in [one for one, waiting in self.waiting.items() if waiting[0][0] <= now]:
                self.resume(customer)
            self.engine.at(self.engine.now() + EVERY, self.tick)

    def do(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, LeaseUpdate):
                if (plan := self.plans.get(action.customer)) is not None:
                    leased = QuotaLeaseGranted(
                        action.customer, plan, action.lease_id, action.units, action.usable_until
                    )
                    self.engine.deliver_event(self.number, leased)
            else:
                self.propose(action)

    def propose(self, ask: ProposeOperation) -> None:
        group = group_of_customer(ask.customer, GROUPS)
        session = f"{self.number}.{self.epoch}.{group}"
        if group not in self.sessions:
            self.sessions[group] = 0
            self.opening[group] = []
            self._call(group, w.Command(session, 0, 0, w.OpenSession()), ask, self.engine.now() + 1e9)
        if group in self.opening:
            self.opening[group].append(ask)
            return
        number = self.sessions[group] = self.sessions[group] + 1
        waits = WAITS.get(type(ask.operation), SETTLE_WAITS)
        low = max(0, number - 32)
        self._call(group, w.Command(session, number, low, ask.operation), ask, self.engine.now() + waits)

    def _call(self, group: int, command: w.Command, ask: ProposeOperation, until: float) -> None:
        data = w.encode(command)
        self.engine.call(PendingCall(self.number, self.epoch, group, data, ask, until, False), -1)

    def come(self, call: PendingCall, result: Result | None) -> None:
        if not self.alive():
            return
        if call.group in self.opening:
            for ask in self.opening.pop(call.group):
                self.propose(ask)
            return
        self.sound = result is not None
        self.do(self.leaser.apply_result(self.engine.now(), call.ask, result))
        if isinstance(call.ask.operation, w.AcquireLease):
            self.resume(call.ask.customer)


class ReplicatedFleetEngine(Engine):
    """`leased`: quotas are leased from copies; else they are kept as without."""

    def __init__(self, day: Day, leased: bool = True) -> None:
        self.leased = leased
        self.ready = False
        self.frames = self.bytes = self.operations = self.elections = 0
        self.copies: dict[tuple[int, int], SimulatedReplica] = {}  # by group and gateway
        self.holders: list[list[int]] = []
        self.leaders: dict[int, int] = {}  # by group: who was last heard to lead
        self.outbox: dict[tuple[int, int], list[tuple[int, m.Message]]] = {}
        self.calls: dict[int, tuple[PendingCall, int]] = {}
        self.numbers = 0
        self.leasing: dict[int, GatewayLeases] = {}
        super().__init__(day, Gateway)
        if leased:
            self._form()

    # Copies

    def _form(self) -> None:
        fleet = {f"g{n}": f"z{n % 3}" for n in range(len(self.gateways))}
        numbers = {name: number for number, name in enumerate(fleet)}
        for group in range(GROUPS):
            names = place_replicas(group, fleet, SIZE)
            first = m.Snapshot(1, 1, 0.0, m.Members(tuple(f"{name}/1" for name in names)), b"")
            self.holders.append([numbers[name] for name in names])
            for name in names:
                self.copies[group, numbers[name]] = SimulatedReplica(
                    group, numbers[name], f"{name}/1", VirtualDisk(m.PersistentState(first, 1))
                )
        self.ready = True
        for number in range(len(self.gateways)):
            self._start_copies(number)

    def _start_copies(self, number: int) -> None:
        if not self.ready:
            return
        for one in self.copies.values():
            if one.gateway == number:
                one.life += 1
                one.disk.pending.clear()
                one.holdings = ReplicatedState()
                one.holdings.restore(one.disk.stored.snapshot.data)
                seed = self.day.streams.seed_for("copies", one.group * 100_000 + number * 100 + one.life)
                one.node = RaftNode(one.name, one.disk.stored, TIMING, seed & 0xFFFFFFFF, self._s())
                self._step(one, m.Tick())
        self.leasing[number] = GatewayLeases(self, number)

    def _s(self) -> float:
        return self.event_queue.now / 1000

    def _start_gateway(self, number: int) -> None:
        super()._start_gateway(number)
        self._start_copies(number)

    def _kill_gateway(self, number: int) -> None:
        super()._kill_gateway(number)
        for one in self.copies.values():
            if one.gateway == number and one.node is not None:
                one.node, one.life, one.due = None, one.life + 1, float("inf")

    def _step(self, one: SimulatedReplica, event: m.Event) -> None:
        if one.node is None:
            return
        for output in one.node.step(self._s(), event):
            self._out(one, output)
        wake = max(1000 * one.node.wake_time(), self.event_queue.now + 1)
        if wake < one.due - 1:
            one.due = wake
            self.event_queue.schedule(wake, self._tick, one, one.life, wake)

    def _tick(self, one: SimulatedReplica, life: int, due: float) -> None:
        if one.life != life or one.node is None or one.due != due:
            return
        one.due = float("inf")
        wake = 1000 * one.node.wake_time()
        if wake > self.event_queue.now + 1:
            one.due = wake
            self.event_queue.schedule(wake, self._tick, one, life, wake)
        else:
            self._step(one, m.Tick())

    def _out(self, one: SimulatedReplica, output: m.Output) -> None:
        match output:
            case m.Send(to, message):
                self._post(one.gateway, int(m.gateway_of(to)[1:]), one.group, message)
            case m.Write():
                one.disk.pending.append(output)
                self.event_queue.schedule(
                    self.event_queue.now + DISK, self._written, one, output.number, one.life
                )
            case m.Apply(entry, call):
                result: Result = one.holdings.apply(entry.stamp, entry.data) if entry.data else Applied()
                self._reply(one, call, result, "")
            case m.RequestResult(call, _, _, hint):
                self._reply(one, call, None, hint)
            case m.RestoreSnapshot(snapshot):
                one.holdings.restore(snapshot.data)
            case m.CreateSnapshot(index):
                data = msgspec.msgpack.encode(one.holdings.snapshot())
                self.event_queue.schedule(self.event_queue.now, self._snapped, one, one.life, index, data)
            case m.RoleChanged(role, _, _, _) if role is Role.LEADER:
                self.elections += 1

    def _snapped(self, one: SimulatedReplica, life: int, index: int, data: bytes) -> None:
        if one.life == life:
            self._step(one, m.SnapshotCreated(index, data))

    def _written(self, one: SimulatedReplica, number: int, life: int) -> None:
        if one.life == life:
            while one.disk.pending and one.disk.pending[0].number <= number:
                one.disk.apply(one.disk.pending.pop(0))
            self._step(one, m.WriteCompleted(number))

    # Wires

    def _cut(self, a: int, b: int) -> bool:
        return (a in self.network.partition) != (b in self.network.partition)

    def _carry(self, a: int, b: int, what: Callable[..., None], *arguments: Any) -> None:
        if a == b:
            self.event_queue.schedule(self.event_queue.now, what, *arguments)
        elif not self._cut(a, b) and self.gateways[b] is not None:
            self.event_queue.schedule(self.event_queue.now + self.network.peer_delay.next(), what, *arguments)

    def _post(self, a: int, b: int, group: int, message: m.Message) -> None:
        waiting = self.outbox.setdefault((a, b), [])
        if not waiting:
            self.event_queue.schedule(self.event_queue.now, self._flush, a, b)
        waiting.append((group, message))

    def _flush(self, a: int, b: int) -> None:
        messages = self.outbox.pop((a, b))
        self.frames += 1
        self.bytes += 5 + sum(2 + len(msgspec.msgpack.encode(message)) for _, message in messages)
        self._carry(a, b, self._brought, a, b, messages)

    def _brought(self, a: int, b: int, messages: list[tuple[int, m.Message]]) -> None:
        for group, message in messages:
            one = self.copies.get((group, b))
            if one is not None:
                self._step(one, m.MessageReceived(self.copies[group, a].name, message))

    # Calls

    def call(self, call: PendingCall, hint: int) -> None:
        """Make it, and again until it is answered or nobody waits any more."""
        leasing = self.leasing.get(call.gateway)
        if call.over or leasing is None or not leasing.alive() or self.epochs[call.gateway] != call.epoch:
            return
        if self.event_queue.now >= call.until:
            call.over = True
            leasing.come(call, None)
            return
        to = hint
        if to < 0:
            to = self.leaders.get(call.group, -1)
            if to < 0 or self.gateways[to] is None or self._cut(call.gateway, to):
                here = [n for n in self.holders[call.group] if self.gateways[n] is not None]
                to = self.day.streams.seed_for("asks", self.numbers) % len(here) if here else -1
                to = here[to] if here else call.gateway
        self.numbers += 1
        self.frames += call.gateway != to
        self.bytes += (len(call.command) + 16) * (call.gateway != to)
        self._carry(call.gateway, to, self._asked, self.numbers, call, to)
        self.event_queue.schedule(self.event_queue.now + AGAIN, self.call, call, -1)

    def _asked(self, number: int, call: PendingCall, at: int) -> None:
        one = self.copies.get((call.group, at))
        if one is None or one.node is None:
            return
        self.calls[number] = (call, at)
        self._step(one, m.Propose(number, call.command))

    def _reply(
        self, one: SimulatedReplica, number: int | None, result: Result | None, hint: m.Replica
    ) -> None:
        if number is None or number not in self.calls:
            return
        call, _ = self.calls.pop(number)
        self.frames += one.gateway != call.gateway
        self.bytes += 24 * (one.gateway != call.gateway)
        to = int(m.gateway_of(hint)[1:]) if hint else -1
        self._carry(one.gateway, call.gateway, self._told_call, call, result, one.gateway, to)

    def _told_call(self, call: PendingCall, result: Result | None, by: int, hint: int) -> None:
        if call.over:
            return
        if result is None:
            self.leaders[call.group] = hint
            if hint >= 0:
                self.call(call, hint)
            return
        self.leaders[call.group] = by
        call.over = True
        self.operations += 1
        if call.epoch == self.epochs[call.gateway]:
            self.leasing[call.gateway].come(call, result)

    def deliver_event(self, number: int, event: Any) -> None:
        if isinstance(event, RequestReceived) and number in self.leasing:
            plan = self.settings[number].plans[event.plan]
            if self.leasing[number].asked(plan, event):
                return
        super().deliver_event(number, event)

    def let_in(self, number: int, request: RequestReceived) -> None:
        """A request that has waited for its customer's lease."""
        super().deliver_event(number, request)


# Days


def replication_faults(what: str, part: float = 0.1) -> Callable[[Rng, Scenario], list[Fault]]:
    """A payday burst, and a tenth of the gateways (one at least) restarted, lost for good or cut off then.

    `what`: none, restart, lost, or cut and its length in seconds, as in cut6.
    """

    def troubles(rng: Rng, scenario: Scenario) -> list[Fault]:
        length = 1000 * scenario.seconds
        who, begin = sample_machines(rng, scenario.gateways, part), 0.3 * length
        burst = Fault(0.2 * length, "burst", 0.6 * length, magnitude=3.0, plan="standard")
        match what:
            case "none":
                return [burst]
            case "restart":
                return [burst, Fault(begin, "restart", 600.0, who)]
            case "lost":
                return [burst, Fault(begin, "restart", 1e9, who)]
        return [burst, Fault(begin, "cut", 1000 * float(what.removeprefix("cut")), who)]

    return troubles


def replication_scenario(what: str, gateways: int, seconds: float = 24.0) -> Scenario:
    """Traffic that is thin on each gateway, as on the full fleet, and servers enough: quotas refuse."""
    rate = min(10.0 * gateways, 300.0)
    return Scenario(
        f"copies-{what}", "quotas with and without copies", (0.5, 0.5), replication_faults(what),
        gateways=gateways,
        servers=max(8, round(rate / 8)), seconds=seconds, rate=rate,
    )  # fmt: skip
