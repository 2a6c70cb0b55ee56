"""Admission: requests that cannot be answered in time are rejected; the others need quota."""

from __future__ import annotations

from .actions import RejectReason
from .concurrency_limit import ConcurrencyLimit
from .customers import Customer, CustomerTable, PendingRequest
from .events import RequestReceived
from .latency import LatencyEstimates
from .quota_check import QuotaCheck
from .requests import RequestTable
from .retry import RETRY_AFTER_PART
from .scheduler import Scheduler
from .settings import RequestClass, Settings
from .timers import TimerKind, TimerQueue

# Fraction of the latency objective that applies to a client's retry: the first attempt used the rest.
RETRY_OBJECTIVE_PART = 0.5
# Fraction of the objective that a request may wait for a slot: a longer wait only delays other requests.
MAX_QUEUE_WAIT_PART = 0.3
# Deadline margins of remaining time below which a request is rejected on arrival.
MIN_REMAINING_MARGINS = 2
# Expected latencies before the objective at which a request that still waits for a slot is rejected.
SEND_BY_LATENCIES = 1.5


class Admission:
    """Admits requests or rejects them early."""

    __slots__ = (
        "_classes",
        "_concurrency",
        "_customers",
        "_latency",
        "_quota_check",
        "_requests",
        "_scheduler",
        "_settings",
        "_timers",
    )

    def __init__(
        self,
        settings: Settings,
        customers: CustomerTable,
        requests: RequestTable,
        scheduler: Scheduler,
        quota_check: QuotaCheck,
        concurrency: ConcurrencyLimit,
        latency: LatencyEstimates,
        timers: TimerQueue,
    ) -> None:
        self._settings, self._customers, self._requests = settings, customers, requests
        self._scheduler, self._quota_check = scheduler, quota_check
        self._concurrency, self._latency = concurrency, latency
        self._timers = timers
        self._classes = tuple(settings.classes.values())

    def admit(self, event: RequestReceived, now: float) -> None:
        """Admit or reject a request, or ask the owner of its quota."""
        customer = self._customers.customer_of(event, now)
        request_class = self._settings.classes[event.request_class]
        if customer is None:
            wait = request_class.latency_objective * RETRY_AFTER_PART
            self._requests.reject(event.request_id, wait, RejectReason.TOO_MANY_CUSTOMERS, now)
            return
        objective = request_class.latency_objective * (RETRY_OBJECTIVE_PART if event.is_retry else 1.0)
        remaining, margin = event.remaining_time, self._requests.margin
        objective_at = now + min(objective, remaining)
        expected = self._latency.expected(request_class)
        too_late = remaining < max(MIN_REMAINING_MARGINS * margin, expected / 2)
        relative_value = self._relative_value(request_class)  # the least valuable class waits the shortest
        if too_late or self._queue_wait(customer, now) > MAX_QUEUE_WAIT_PART * relative_value * (
            objective_at - now
        ):
            wait = request_class.latency_objective * RETRY_AFTER_PART
            reason = RejectReason.TIME_TOO_SHORT if too_late else RejectReason.QUEUE_TOO_LONG
            self._requests.reject(event.request_id, wait, reason, now)
            return
        # Rejecting an unsent request after half of its remaining time costs more than rejecting it earlier.
        send_by = min(objective_at - SEND_BY_LATENCIES * expected, now + remaining / 2 - margin)
        deadline = now + remaining - margin
        request = PendingRequest(
            event.request_id, request_class, customer, event.units, objective_at, deadline, send_by
        )
        self._requests.open[event.request_id] = request
        customer.open_requests += 1
        self._timers.set(send_by, TimerKind.REQUEST_UNSENT, event.request_id)
        self._timers.set(deadline, TimerKind.REQUEST_DEADLINE, event.request_id)
        self._quota_check.check(request, now)

    def _relative_value(self, request_class: RequestClass) -> float:
        """Return a class's priority weight per ms of latency, relative to the class where it is highest."""
        means = self._latency.mean_by_class
        best = max([other.priority_weight / means[other.name] for other in self._classes])
        return request_class.priority_weight / means[request_class.name] / best

    def _queue_wait(self, customer: Customer, now: float) -> float:
        """Return the expected ms until the customer's next request gets a slot, in fair rounds."""
        scheduler = self._scheduler
        ahead = min(scheduler.queued, (len(customer.queue) + 1) * max(1, len(scheduler)))
        return ahead * self._latency.mean / self._concurrency.slots(now)[1] if ahead else 0.0
