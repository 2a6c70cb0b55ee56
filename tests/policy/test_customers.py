"""The table of customers, and their fallback buckets."""

from __future__ import annotations

from mapleshunt import (
    Plan,
    RejectRequest,
    StartAttempt,
)
from mapleshunt.policy.actions import RejectReason
from mapleshunt.policy.customers import FULL_SWEEP_INTERVAL_MS
from mapleshunt.policy.gossip_codec import (
    tag_of,
)

from ..conftest import Driver


def test_only_customers_with_a_full_bucket_are_evicted() -> None:
    driver = Driver()
    driver.request(plan="thin", customer="old")
    driver.advance(60000)
    for number in range(200):
        driver.request(plan="thin", customer=f"n{number}")
    tags = driver.gateway.customers.by_tag
    assert tag_of("old") not in tags and all(tag_of(f"n{number}") in tags for number in range(200))


def test_initial_fallback_buckets_of_a_large_gateway_set_together_stay_within_the_quota() -> None:
    # Each fallback bucket started with half of a largest request on average: 120 units at 30 gateways, beside
    # a bucket of 16.
    total, burst = 0.0, 0.0
    for seed in range(30):
        driver = Driver(gateway_count=30, gossip_enabled=True, max_request_units=8)
        driver.gateway.random.seed(seed)
        for number in range(20):
            driver.request(plan="thin", customer=f"c{number}", gateway_set_size=30)
        customers = list(driver.gateway.customers.by_tag.values())
        total += sum(
            customer.fallback_bucket.burst * (customer.fallback_bucket.level > 1) for customer in customers
        ) / len(customers)
        burst = customers[0].plan.burst
    assert total <= 2 * burst


def test_customer_of_a_large_gateway_set_is_admitted_within_its_quota_without_gossip() -> None:
    """Without gossip, 200 gateways served a fraction of only 0.136 in the calm scenario.

    An even part of a bucket holds 0.02 of a request. All but a few parts, chosen at random, started empty and
    refilled by one unit per minute.
    """
    plans = {"mid": Plan("mid", rate=2.0, burst=8.0)}
    gateways = [Driver(gateway_count=200, gateway_index=index, plans=plans) for index in range(0, 200, 4)]
    for number, gateway in enumerate(gateways):
        gateway.gateway.random.seed(number)

    def admitted(customer: str) -> int:
        responses = [
            gateway.request(plan="mid", customer=customer, gateway_set_size=200) for gateway in gateways
        ]
        return sum(isinstance(action, StartAttempt) for actions in responses for action in actions)

    # The first request at each gateway: if all admit it the quota is exceeded, if half do too few are served.
    assert len(gateways) / 2 < admitted("usual") < len(gateways)
    for _ in range(4):
        for gateway in gateways:
            gateway.advance(1000)
        admitted_later = admitted("usual")
    assert admitted_later < len(gateways) / 4  # a customer at 25 times its quota does not stay admitted


def test_ever_new_customers_are_bounded_and_none_whose_quota_is_in_use_is_forgotten() -> None:
    # The table had no bound: ever new names took a gateway over its memory.
    driver = Driver()
    customers = driver.gateway.customers
    customers.max_customers = 100
    for _ in range(4):
        driver.request(plan="thin", customer="spent")
    rejections = [
        action
        for number in range(300)
        for action in driver.request(plan="thin", customer=f"n{number}")
        if isinstance(action, RejectRequest)
    ]
    assert len(customers.by_tag) == 100 and len(rejections) == 201
    assert {rejection.reason for rejection in rejections} == {RejectReason.TOO_MANY_CUSTOMERS}
    assert tag_of("spent") in customers.by_tag
    for started in [action for action in driver.actions if isinstance(action, StartAttempt)]:
        driver.end_attempt(started)
    driver.advance(1000 + FULL_SWEEP_INTERVAL_MS)  # one unit is refilled: all but the spent one are as new
    assert not any(
        isinstance(action, RejectRequest) for action in driver.request(plan="thin", customer="later")
    )
    assert tag_of("spent") in customers.by_tag and tag_of("later") in customers.by_tag
    assert len(customers.by_tag) <= 100
