"""Owners of quotas, and the parts of ceilings."""

from __future__ import annotations

import pytest

from mapleshunt import (
    Plan,
)
from mapleshunt.policy.owner_selection import primary_owner_count

from ..conftest import Driver
from .helpers import member, started_attempts


def admitted_by_two(wait: float, tries: int) -> int:
    """What two gateways of one set admitted for a customer under a ceiling, unheard by each other."""
    total = 0
    for me in (0, 1):
        driver = Driver(gateway_count=2, gateway_index=me)
        driver.request(plan="hard", gateway_set_size=2)
        driver.advance(wait)
        total += sum(
            len(started_attempts(driver.request(plan="hard", gateway_set_size=2))) for _ in range(tries)
        )
    return total


def test_ceiling_parts_start_empty_and_refill_within_the_rate() -> None:
    assert admitted_by_two(0, 9) == 0  # so a restart refills nothing
    assert 5 <= admitted_by_two(1000, 30) <= 10  # 10 units a second


def test_ceiling_parts_together_never_exceed_its_burst() -> None:
    assert 10 <= admitted_by_two(60000, 60) <= 20


def test_large_quota_has_several_owners_whose_parts_sum_to_it_and_in_a_small_fleet_one() -> None:
    plans = {"big": Plan("big", rate=35, burst=81), "thin": Plan("thin", rate=1.5, burst=16)}
    owners: dict[str, set[int]] = {"big": set(), "thin": set()}
    for me in range(0, 200, 5):
        for plan in plans:
            driver, customer = member(me, plan, plans=plans, max_request_units=8, gossip_intake_per_s=40)
            owners[plan].add(customer.quota_owners[0])
            parts = primary_owner_count(customer.plan, driver.gateway.settings)
            assert customer.bucket.burst * parts == pytest.approx(plans[plan].burst)
    assert len(owners["big"]) == 4 and len(owners["thin"]) == 1
    small = Driver(
        gateway_count=3, gossip_enabled=True, plans=plans, max_request_units=8, gossip_intake_per_s=40
    )
    assert primary_owner_count(plans["big"], small.gateway.settings) == 1
