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


def test_limit_shrinks_on_slow_answers_and_grows_back(driver: Driver) -> None:
    gateway = driver.gateway
    start = gateway.concurrency.per_endpoint
    for latency, n in ((900.0, 60), (20.0, 400)):
        for _ in range(n):
            (send,) = started_attempts(driver.request())
            driver.advance(50)
            driver.end_attempt(send, latency=latency)
        if latency == 900.0:
            low = gateway.concurrency.per_endpoint
    assert low < start and gateway.concurrency.per_endpoint > low


def test_latency_told_by_peers_shrinks_the_limit() -> None:
    driver = Driver(gateway_count=300, gossip_enabled=True)
    for _ in range(200):
        driver.handle(GossipReceived(1, encode(1.0, (), [(endpoint_tag(1), 1.0)])))
    start = driver.gateway.concurrency.per_endpoint
    (send,) = started_attempts(driver.request())
    driver.advance(300)
    driver.end_attempt(send, latency=300)
    assert driver.gateway.concurrency.per_endpoint < start


def test_limit_grows_by_what_it_is_so_that_a_gateway_that_meets_most_requests_keeps_its_part() -> None:
    # Slots grew alike at all: with 45 requests a second as many were sent as with 20, and half were rejected.
    slots = []
    for part in (0.5, 1.0):
        driver = Driver(endpoints=100, gateway_count=200)
        driver.gateway.concurrency.per_endpoint *= part
        for _ in range(int(driver.gateway.concurrency.slots(driver.now)[1])):  # an answer for each slot
            driver.end_attempt(started_attempts(driver.request())[0])
        slots.append(driver.gateway.concurrency.slots(driver.now)[1])
    assert slots[1] > 1.9 * slots[0]
