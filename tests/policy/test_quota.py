"""Charges to quotas, and the reports to their owners."""

from __future__ import annotations

import pytest

from mapleshunt import (
    RejectRequest,
)
from mapleshunt.policy.gossip_codec import (
    tag_of,
)

from ..conftest import Driver
from .helpers import member_gateway, started_attempts


def test_settlement_charges_the_actual_cost() -> None:
    driver = Driver(cost_known_after=True)
    (started,) = started_attempts(driver.request(plan="thin", units=1))
    driver.end_attempt(started, cost=4)
    assert isinstance(driver.request(plan="thin")[0], RejectRequest)


def test_unsent_request_returns_its_units() -> None:
    driver = Driver(endpoints=0)
    driver.request(plan="thin", units=4, remaining_time=300)
    driver.advance(400)
    assert driver.gateway.customers.by_tag[tag_of("c")].bucket.refill(driver.now) == pytest.approx(4, abs=0.2)


def test_members_of_a_large_set_report_small_charges_at_random_and_exactly_on_average() -> None:
    (driver, customer), reported = member_gateway(max_request_units=8), []
    for _ in range(4000):
        driver.gateway.gossip.outbox.clear()
        driver.gateway.quota.charge(customer, 0.5, driver.now)
        entries = [entry for entries in driver.gateway.gossip.outbox.values() for entry in entries]
        reported += [entry.units for entry in entries if entry.kind == "used"]
    assert 0.2 < len(reported) / 4000 < 0.3 and set(reported) == {2.0}
