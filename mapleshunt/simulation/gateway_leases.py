"""Quota leases of a simulated gateway: acquisition ahead of demand, and requests that wait for a lease."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from ..policy import Plan, QuotaLeaseGranted, RequestReceived
from ..policy.customers import Customer
from ..policy.gateway import Gateway
from ..policy.gossip_codec import tag_of
from ..replicated_state import commands
from ..replicated_state.leases import Action, LeaseHolder, LeaseUpdate, ProposeOperation
from ..replicated_state.results import Result
from ..replication.placement import group_of_customer
from .engine import Engine

# The same values as in net/replication/.
MIN_LEASE_TERM_MS = 2000.0
MAX_LEASE_TERM_MS = 10_000.0
MAX_REQUEST_WAIT_MS = 100.0  # for the lease of its customer
TICK_INTERVAL_MS = 50.0  # between checks for due leases and expired waits
OPERATION_TIMEOUTS_MS = {commands.AcquireLease: 1000.0, commands.ReturnLease: 2000.0}
DEFAULT_TIMEOUT_MS = 60_000.0  # of all other operations, which settle used units
SESSION_TIMEOUT_MS = 1e9  # of opening a session: longer than any run
RESULT_WINDOW = 32  # latest operations of a session whose results are kept


@dataclass(eq=False)
class PendingCall:
    """An operation of a gateway's session that has no result yet."""

    gateway: int
    epoch: int
    group: int
    command: bytes
    proposal: ProposeOperation
    deadline: float  # ms
    done: bool = False


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for its customer's lease; times in ms."""

    deadline: float
    request: RequestReceived
    waiting_since: float


class GatewayLeases:
    """The leases of one gateway during one epoch of it."""

    def __init__(
        self,
        engine: Engine,
        number: int,
        groups: int,
        call: Callable[[PendingCall], None],
        admit: Callable[[int, RequestReceived], None],
    ) -> None:
        """Start without leases.

        Args:
            engine: runs the gateway.
            number: the gateway.
            groups: number of Raft groups that the customers' quotas are distributed over.
            call: sends an operation to its group; its result is passed to `apply_result`.
            admit: delivers a request that has waited to its gateway.
        """
        self._engine = engine
        self._number = number
        self._epoch = engine.epochs[number]
        self._groups = groups
        self._call = call
        self._admit = admit
        self._lease_holder = LeaseHolder(
            MIN_LEASE_TERM_MS,
            MAX_LEASE_TERM_MS,
            self._remaining,
            self._take_remaining,
            self._usable,
            self._take_debt,
        )
        self._waiting: dict[str, list[WaitingRequest]] = {}  # by customer, the oldest first
        self._responsive = True  # whether the last call had a result
        self._plans: dict[str, str] = {}  # by customer
        self._operation_counts: dict[int, int] = {}  # of the session with each group
        self._awaiting_session: dict[int, list[ProposeOperation]] = {}  # by group
        self._tick()

    def _customer(self, name: str) -> Customer | None:
        gateway = self._engine.gateways[self._number]
        return gateway.customers.by_tag.get(tag_of(name)) if isinstance(gateway, Gateway) else None

    def _remaining(self, name: str, lease: int) -> float:
        customer = self._customer(name)
        return customer.leases.units_left(lease) if customer is not None else 0.0

    def _take_remaining(self, name: str, lease: int) -> float:
        customer = self._customer(name)
        return customer.leases.end(lease) if customer is not None else 0.0

    def _usable(self, name: str, at: float) -> float:
        customer = self._customer(name)
        return (customer.leases.available(at) or 0.0) if customer is not None else 0.0

    def _take_debt(self, name: str) -> float:
        customer = self._customer(name)
        return customer.leases.take_owed_units() if customer is not None else 0.0

    def is_active(self) -> bool:
        """Return whether the gateway still runs in the epoch of these leases."""
        engine, number = self._engine, self._number
        return engine.gateways[number] is not None and engine.epochs[number] == self._epoch

    def hold_request(self, plan: Plan, request: RequestReceived) -> bool:
        """Lease units for a request, and return whether the request has to wait for them."""
        customer, now = request.customer, self._engine.now()
        if not plan.rate:
            return False
        self._plans[customer] = plan.name
        self._apply_actions(
            self._lease_holder.request_units(
                now, customer, plan.rate, plan.burst, request.gateway_set_size, request.units
            )
        )
        waits = customer in self._waiting or self._lease_holder.is_waiting(now, customer, request.units)
        if waits and self._responsive and request.remaining_time > 2 * MAX_REQUEST_WAIT_MS:
            waiting = WaitingRequest(now + MAX_REQUEST_WAIT_MS, request, now)
            self._waiting.setdefault(customer, []).append(waiting)
            return True
        return False

    def _resume(self, customer: str) -> None:
        """Admit a customer's waiting requests that its leases cover or whose wait is over."""
        now, waiting = self._engine.now(), self._waiting.pop(customer, [])
        while waiting:
            first = waiting[0]
            request = first.request
            if now < first.deadline and self._usable(customer, now) < request.units:
                self._apply_actions(self._lease_holder.request_more(now, customer, request.units))
                if self._lease_holder.is_waiting(now, customer, request.units):
                    # Requests may have begun to wait in the meantime; these arrived earlier.
                    self._waiting[customer] = waiting + self._waiting.pop(customer, [])
                    return
            del waiting[0]
            if request.request_id in self._engine.open_requests[self._number]:
                remaining_time = request.remaining_time - now + first.waiting_since
                self._admit(self._number, replace(request, remaining_time=remaining_time))

    def _tick(self) -> None:
        if not self.is_active():
            return
        now = self._engine.now()
        self._apply_actions(self._lease_holder.tick(now))
        expired = [name for name, waiting in self._waiting.items() if waiting[0].deadline <= now]
        for customer in expired:
            self._resume(customer)
        self._engine.call_at(now + TICK_INTERVAL_MS, self._tick)

    def _apply_actions(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, LeaseUpdate):
                self._deliver_lease(action)
            else:
                self._propose(action)

    def _deliver_lease(self, update: LeaseUpdate) -> None:
        plan = self._plans.get(update.customer)
        if plan is not None:
            granted = QuotaLeaseGranted(
                update.customer, plan, update.lease_id, update.units, update.usable_until
            )
            self._engine.deliver_event(self._number, granted)

    def _propose(self, proposal: ProposeOperation) -> None:
        """Call the customer's group, after this gateway's session with it is open."""
        group = group_of_customer(proposal.customer, self._groups)
        session = f"{self._number}.{self._epoch}.{group}"
        if group not in self._operation_counts:
            self._operation_counts[group] = 0
            self._awaiting_session[group] = []
            open_session = commands.Command(session, 0, 0, commands.OpenSession())
            self._send(group, open_session, proposal, SESSION_TIMEOUT_MS)
        if group in self._awaiting_session:
            self._awaiting_session[group].append(proposal)
            return
        self._operation_counts[group] += 1
        number = self._operation_counts[group]
        lowest_wanted = max(0, number - RESULT_WINDOW)
        timeout_ms = OPERATION_TIMEOUTS_MS.get(type(proposal.operation), DEFAULT_TIMEOUT_MS)
        command = commands.Command(session, number, lowest_wanted, proposal.operation)
        self._send(group, command, proposal, timeout_ms)

    def _send(
        self, group: int, command: commands.Command, proposal: ProposeOperation, timeout_ms: float
    ) -> None:
        deadline = self._engine.now() + timeout_ms
        data = commands.encode(command)
        self._call(PendingCall(self._number, self._epoch, group, data, proposal, deadline))

    def apply_result(self, call: PendingCall, result: Result | None) -> None:
        """Apply the result of a call; None if its deadline has passed."""
        if not self.is_active():
            return
        if call.group in self._awaiting_session:
            for proposal in self._awaiting_session.pop(call.group):
                self._propose(proposal)
            return
        self._responsive = result is not None
        self._apply_actions(self._lease_holder.apply_result(self._engine.now(), call.proposal, result))
        if isinstance(call.proposal.operation, commands.AcquireLease):
            self._resume(call.proposal.customer)
