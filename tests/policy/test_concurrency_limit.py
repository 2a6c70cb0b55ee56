"""The limit on attempts in flight."""

from __future__ import annotations

from mapleshunt import (
    GossipReceived,
)
from mapleshunt.policy.gossip_codec import (
    encode,
    endpoint_tag,
)

from ..conftest import Driver
from .helpers import started_attempts


def test_limit_shrinks_on_slow_answers_and_grows_again_on_fast_ones(driver: Driver) -> None:
    gateway = driver.gateway
    initial = gateway.concurrency.per_endpoint
    for latency, count in ((900.0, 60), (20.0, 400)):
        for _ in range(count):
            (attempt,) = started_attempts(driver.request())
            driver.advance(50)
            driver.end_attempt(attempt, latency=latency)
        if latency == 900.0:
            lowest = gateway.concurrency.per_endpoint
    assert lowest < initial and gateway.concurrency.per_endpoint > lowest


def test_latency_reported_by_peers_shrinks_the_limit() -> None:
    driver = Driver(gateway_count=300, gossip_enabled=True)
    for _ in range(200):
        driver.handle(GossipReceived(1, encode(1.0, (), [(endpoint_tag(1), 1.0)])))
    before = driver.gateway.concurrency.per_endpoint
    (attempt,) = started_attempts(driver.request())
    driver.advance(300)
    driver.end_attempt(attempt, latency=300)
    assert driver.gateway.concurrency.per_endpoint < before


def test_limit_grows_in_proportion_to_itself() -> None:
    # Guards against growth by the same number of slots at all gateways: one that received 45 requests a
    # second sent as many as one with 20, and half were rejected.
    slots = []
    for fraction in (0.5, 1.0):
        driver = Driver(endpoints=100, gateway_count=200)
        driver.gateway.concurrency.per_endpoint *= fraction
        for _ in range(int(driver.gateway.concurrency.slots(driver.now)[1])):  # an answer for each slot
            driver.end_attempt(started_attempts(driver.request())[0])
        slots.append(driver.gateway.concurrency.slots(driver.now)[1])
    assert slots[1] > 1.9 * slots[0]
