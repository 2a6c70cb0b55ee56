"""Quota leases for this gateway's policy, acquired from the replicated state."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ...policy import QuotaLeaseGranted, RequestReceived
from ...policy.customers import Customer
from ...policy.gossip_codec import tag_of
from ...replicated_state import commands
from ...replicated_state.leases import Action, LeaseHolder, LeaseUpdate, ProposeOperation
from ...replicated_state.results import Denied, Result
from ...replication.placement import group_of_customer
from .. import log
from ..counters import Counters
from ..periodic import PeriodicTask
from ..policy_driver import PolicyDriver
from .lease_session import LEASE_TERM_MS, TICK_INTERVAL_S, LeaseSession, SessionHandlers
from .requests import LocalRequests

MAX_LEASE_MS = 10_000.0
MAX_REQUEST_DELAY_MS = 100.0  # that a request waits for a lease that is being acquired
MAX_CUSTOMERS = 100_000  # for which leases are acquired at a time


@dataclass(slots=True, frozen=True)
class DelayedRequest:
    """A request that waits for a lease."""

    deadline: float  # ms, on the driver's clock
    request_id: int
    units: float


class LeaseClient:
    """Acquires, renews and returns leases, and delays requests that need one."""

    def __init__(
        self, requests: LocalRequests, groups: int, driver: PolicyDriver, counters: Counters
    ) -> None:
        """Initialize; customers are distributed over `groups` groups."""
        self.holder = LeaseHolder(
            LEASE_TERM_MS,
            MAX_LEASE_MS,
            self._remaining_units,
            self._take_lease,
            self._leased_units,
            self._take_owed_units,
        )
        self._requests = requests
        self._groups = groups
        self._driver = driver
        self._counters = counters
        self._delayed: dict[str, list[DelayedRequest]] = {}  # by customer, in order of arrival
        self._plans: dict[str, str] = {}  # of the customers for which leases are acquired
        self._sessions: dict[int, LeaseSession] = {}  # by group
        self._is_available = True  # the operation that ended last had a result
        self._ticks = PeriodicTask(self._tick, TICK_INTERVAL_S, counters.add)
        driver.delay_admission = self.delay_admission

    def start(self) -> None:
        """Start to renew and return leases periodically."""
        self._ticks.start()

    def close(self) -> None:
        """Stop renewing leases."""
        self._ticks.stop()

    # The policy's leases

    def _customer(self, customer: str) -> Customer | None:
        return self._driver.gateway.customers.by_tag.get(tag_of(customer))

    def _remaining_units(self, customer: str, lease: int) -> float:
        known = self._customer(customer)
        return known.leases.units_left(lease) if known is not None else 0.0

    def _take_lease(self, customer: str, lease: int) -> float:
        """Remove a lease from the policy, and return the units that it had left."""
        known = self._customer(customer)
        return known.leases.end(lease) if known is not None else 0.0

    def _leased_units(self, customer: str, at: float) -> float:
        known = self._customer(customer)
        return (known.leases.available(at) or 0.0) if known is not None else 0.0

    def _take_owed_units(self, customer: str) -> float:
        known = self._customer(customer)
        return known.leases.take_owed_units() if known is not None else 0.0

    # Requests

    def delay_admission(self, request: RequestReceived) -> bool:
        """Acquire the units that a request needs; return whether it waits for the driver's `resume`.

        It waits only while operations get results and the result that it needs is pending.
        """
        plan = self._driver.settings.plans[request.plan]
        if not plan.rate or (len(self._plans) >= MAX_CUSTOMERS and request.customer not in self._plans):
            return False
        self._plans[request.customer] = request.plan
        now = self._driver.now()
        self._carry_out(
            self.holder.request_units(
                now, request.customer, plan.rate, plan.burst, request.gateway_set_size, request.units
            )
        )
        if not self._is_available or request.remaining_time <= 2 * MAX_REQUEST_DELAY_MS:
            return False
        delayed = self._delayed.get(request.customer)
        if delayed is None and not self.holder.is_waiting(now, request.customer, request.units):
            return False
        delayed_request = DelayedRequest(now + MAX_REQUEST_DELAY_MS, request.request_id, request.units)
        self._delayed.setdefault(request.customer, []).append(delayed_request)
        return True

    def _resume(self, customer: str) -> None:
        """Resume the requests that wait for this customer's lease.

        Those that the lease does not cover keep waiting if more units are being acquired.
        """
        now = self._driver.now()
        delayed = self._delayed.pop(customer, [])
        while delayed:
            first = delayed[0]
            if now < first.deadline and self._leased_units(customer, now) < first.units:
                self._carry_out(self.holder.request_more(now, customer, first.units))
                if self.holder.is_waiting(now, customer, first.units):
                    self._delayed[customer] = delayed + self._delayed.pop(customer, [])
                    return
            del delayed[0]
            self._driver.resume(first.request_id)

    # Operations

    def _result_received(self, proposal: ProposeOperation, result: Result | None) -> None:
        self._set_available(result is not None)
        self._counters.add("leases_denied", int(isinstance(result, Denied)))
        self._carry_out(self.holder.apply_result(self._driver.now(), proposal, result))
        if isinstance(proposal.operation, commands.AcquireLease):
            self._resume(proposal.customer)

    def _set_available(self, is_available: bool) -> None:
        if is_available != self._is_available:
            self._is_available = is_available
            log.log_event("leases_sound" if is_available else "leases_alone", customers=len(self._plans))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, LeaseUpdate):
                self._update_lease(action)
            else:
                group = group_of_customer(action.customer, self._groups)
                if group not in self._sessions:
                    handlers = SessionHandlers(self._result_received, self._session_dropped)
                    self._sessions[group] = LeaseSession(self._requests, group, handlers, self._counters)
                self._sessions[group].propose(action)

    def _update_lease(self, update: LeaseUpdate) -> None:
        plan = self._plans.get(update.customer)
        if plan is None:
            return
        self._counters.add("leases_had", int(update.lease_id > 0))
        self._driver.apply_event(
            QuotaLeaseGranted(update.customer, plan, update.lease_id, update.units, update.usable_until)
        )

    def _session_dropped(self, session: LeaseSession) -> None:
        """Remove a session that its group has dropped.

        It is unknown whether its pending operations were applied. The next operation opens a session of
        another name.
        """
        self._counters.add("leases_sessions_forgotten")
        if self._sessions.get(session.group) is session:
            del self._sessions[session.group]
        for proposal in session.abandon():
            self._result_received(proposal, None)

    def _tick(self) -> None:
        try:
            self._renew_and_resume()
        except Exception:
            self._counters.add("exceptions")
            log.log_exception("leases_exception")

    def _renew_and_resume(self) -> None:
        self._carry_out(self.holder.tick(self._driver.now()))
        now = self._driver.now()
        for customer in [name for name, delayed in self._delayed.items() if delayed[0].deadline <= now]:
            self._resume(customer)
        for customer in [name for name in self._plans if name not in self.holder.customers]:
            del self._plans[customer]
        loop_now = asyncio.get_running_loop().time()
        for session in list(self._sessions.values()):
            session.tick(loop_now)
