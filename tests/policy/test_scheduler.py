"""Deficit round robin."""

from __future__ import annotations

from collections import deque

from mapleshunt import (
    AttemptEnded,
)
from mapleshunt.policy.gossip_codec import (
    tag_of,
)

from ..conftest import Driver
from .helpers import started_attempts


def test_rounds_follow_figure_8() -> None:
    """Two customers with costs k = 3 and 1 and one slot: Figure 8 gives a, b, b, b, a, b, b, b by hand."""
    driver = Driver(endpoints=1)
    gateway = driver.gateway
    gateway.concurrency.initial_per_endpoint = 0.0
    gateway.concurrency.per_endpoint, gateway.latency.mean = (
        0.0,
        1.0,
    )  # the minimum limit is one slot; a queue appears short
    blocker = started_attempts(driver.request(customer="blocker"))[0]
    for name, cost in (("a", 3.0), ("b", 1.0)):
        for _ in range(8):
            driver.request(customer=name, remaining_time=1e6)
        gateway.customers.by_tag[tag_of(name)].cost_estimate = cost
    order: list[str] = []
    customer_by_request = {
        request.request_id: customer
        for customer in "ab"
        for request in gateway.customers.by_tag[tag_of(customer)].queue
    }
    started = blocker
    for _ in range(8):
        gateway.concurrency.per_endpoint, gateway.latency.mean, gateway.latency.mean_by_class["look"] = (
            0.0,
            1.0,
            1.0,
        )
        for name, cost in (("a", 3.0), ("b", 1.0)):
            gateway.customers.by_tag[tag_of(name)].cost_estimate = cost
        (started,) = started_attempts(
            driver.handle(AttemptEnded(started.request_id, "ok", True, 0, started.endpoint, 1.0))
        )
        order.append(customer_by_request[started.request_id])
    assert order == figure_8({"a": 3.0, "b": 1.0}, 8)
    assert set(order) == {"a", "b"}


def figure_8(cost: dict[str, float], count: int) -> list[str]:
    """Return the order of the paper's listing, with queues that never empty."""
    ring, excess = deque(cost), dict.fromkeys(cost, 0.0)
    order: list[str] = []
    visits_left, quantum, largest_excess = (
        1,
        0.0,
        0.0,
    )  # the first round began when only the first customer waited
    while len(order) < count:
        if visits_left == 0:
            visits_left, quantum, largest_excess = len(ring), largest_excess, 0.0
        customer = ring.popleft()
        excess[customer] -= quantum + 1
        while excess[customer] < 0:
            order.append(customer)
            excess[customer] += cost[customer]
        ring.append(customer)
        largest_excess, visits_left = max(largest_excess, excess[customer]), visits_left - 1
    return order[:count]
