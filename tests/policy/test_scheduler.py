"""Deficit rounds."""

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
    """Two customers, k = 3 and 1, one slot: Figure 8 by hand gives a, b, b, b, a, b, b, b."""
    driver = Driver(endpoints=1)
    gateway = driver.gateway
    gateway.concurrency.initial_per_endpoint = 0.0
    gateway.concurrency.per_endpoint, gateway.latency.mean = (
        0.0,
        1.0,
    )  # the least bound is one slot; a queue looks short
    blocker = started_attempts(driver.request(customer="blocker"))[0]
    for name, k in (("a", 3.0), ("b", 1.0)):
        for _ in range(8):
            driver.request(customer=name, remaining_time=1e6)
        gateway.customers.by_tag[tag_of(name)].cost_estimate = k
    order: list[str] = []
    by_ref = {job.request_id: n for n in "ab" for job in gateway.customers.by_tag[tag_of(n)].queue}
    send = blocker
    for _ in range(8):
        gateway.concurrency.per_endpoint, gateway.latency.mean, gateway.latency.mean_by_class["look"] = (
            0.0,
            1.0,
            1.0,
        )
        for name, k in (("a", 3.0), ("b", 1.0)):
            gateway.customers.by_tag[tag_of(name)].cost_estimate = k
        (send,) = started_attempts(
            driver.handle(AttemptEnded(send.request_id, "ok", True, 0, send.endpoint, 1.0))
        )
        order.append(by_ref[send.request_id])
    assert order == figure_8({"a": 3.0, "b": 1.0}, 8)
    assert set(order) == {"a", "b"}


def figure_8(cost: dict[str, float], most: int) -> list[str]:
    """The paper's listing, with queues that never empty."""
    ring, s = deque(cost), dict.fromkeys(cost, 0.0)
    order: list[str] = []
    left, u, smax = 1, 0.0, 0.0  # the first round began when only the first customer waited
    while len(order) < most:
        if left == 0:
            left, u, smax = len(ring), smax, 0.0
        n = ring.popleft()
        s[n] -= u + 1
        while s[n] < 0:
            order.append(n)
            s[n] += cost[n]
        ring.append(n)
        smax, left = max(smax, s[n]), left - 1
    return order[:most]
