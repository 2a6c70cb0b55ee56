"""The owners of quotas, and the division of ceilings."""

from __future__ import annotations

import pytest

from mapleshunt import (
    Plan,
)
from mapleshunt.policy.owner_selection import primary_owner_count

from ..conftest import Driver
from .helpers import member_gateway, started_attempts


def admitted_by_two_gateways(wait_ms: float, request_count: int) -> int:
    """Return how many requests two gateways that exchange no gossip admit for a customer with a ceiling."""
    total = 0
    for gateway_index in (0, 1):
        driver = Driver(gateway_count=2, gateway_index=gateway_index)
        driver.request(plan="hard", gateway_set_size=2)
        driver.advance(wait_ms)
        total += sum(
            len(started_attempts(driver.request(plan="hard", gateway_set_size=2)))
            for _ in range(request_count)
        )
    return total


def test_ceiling_parts_start_empty_and_refill_within_the_rate() -> None:
    assert admitted_by_two_gateways(0, 9) == 0  # so that a restart refills nothing
    assert 5 <= admitted_by_two_gateways(1000, 30) <= 10  # 10 units per second


def test_ceiling_parts_together_never_exceed_its_burst() -> None:
    assert 10 <= admitted_by_two_gateways(60000, 60) <= 20


def test_large_quota_is_divided_among_several_owners_but_has_one_in_a_small_fleet() -> None:
    plans = {"big": Plan("big", rate=35, burst=81), "thin": Plan("thin", rate=1.5, burst=16)}
    owners: dict[str, set[int]] = {"big": set(), "thin": set()}
    for gateway_index in range(0, 200, 5):
        for plan in plans:
            driver, customer = member_gateway(
                gateway_index, plan, plans=plans, max_request_units=8, gossip_intake_per_s=40
            )
            owners[plan].add(customer.quota_owners[0])
            parts = primary_owner_count(customer.plan, driver.gateway.settings)
            assert customer.bucket.burst * parts == pytest.approx(plans[plan].burst)
    assert len(owners["big"]) == 4 and len(owners["thin"]) == 1
    small_fleet = Driver(
        gateway_count=3, gossip_enabled=True, plans=plans, max_request_units=8, gossip_intake_per_s=40
    )
    assert primary_owner_count(plans["big"], small_fleet.gateway.settings) == 1
