"""Deficit round robin over the customers whose requests wait for a slot."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping

from .customers import Customer, PendingRequest


class Scheduler:
    """Rounds over active customers, each served according to its excess (design note, Figure 8 of the paper).

    A round visits each active customer once. Its quantum is the largest excess of the last round. A visit
    lowers the customer's excess by the quantum + 1 and then releases requests while the excess is below
    zero; each of them adds the customer's cost estimate.

    Attributes:
        queued: Requests that wait.
    """

    __slots__ = ("_largest_excess", "_quantum", "_ring", "_visited", "_visits_left", "queued")

    def __init__(self) -> None:
        self.queued = 0
        self._ring: deque[Customer] = deque()  # active customers, the next to visit first
        self._visited: Customer | None = None  # its visit was interrupted for lack of a slot
        self._visits_left = 0
        self._quantum = self._largest_excess = 0.0

    def __len__(self) -> int:
        """Return the number of customers in the rounds, without one whose visit was interrupted."""
        return len(self._ring)

    def enqueue(self, request: PendingRequest) -> None:
        """Queue an admitted request until a slot is free."""
        customer = request.customer
        self.queued += 1
        customer.queue.append(request)
        if not customer.active:
            self._ring.append(customer)
        customer.active = True

    def dispatch(
        self,
        open_requests: Mapping[int, PendingRequest],
        start_attempt: Callable[[PendingRequest, float], bool],
        now: float,
    ) -> None:
        """Release requests until `start_attempt` finds no slot or no request waits."""
        while self._ring or self._visited is not None:
            customer = self._visited
            if customer is None:
                customer = self._begin_visit()
            while customer.excess < 0 and customer.queue:
                request = customer.queue[0]
                if request.request_id in open_requests:
                    if not start_attempt(request, now):
                        return
                    customer.excess += customer.cost_estimate
                customer.queue.popleft()
                self.queued -= 1
            self._end_visit(customer)

    def _begin_visit(self) -> Customer:
        if self._visits_left <= 0:
            self._visits_left, self._quantum = len(self._ring), self._largest_excess
            self._largest_excess = 0.0
        customer = self._visited = self._ring.popleft()
        customer.excess -= self._quantum + 1
        return customer

    def _end_visit(self, customer: Customer) -> None:
        if customer.queue:
            self._ring.append(customer)
        else:
            customer.excess, customer.active = 0.0, False
        self._largest_excess = max(self._largest_excess, customer.excess)
        self._visited = None
        self._visits_left -= 1
