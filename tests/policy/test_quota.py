"""What is charged to quotas, and told to their owners."""

from __future__ import annotations

import pytest

from mapleshunt import (
    RejectRequest,
)
from mapleshunt.policy.gossip_codec import (
    tag_of,
)

from ..conftest import Driver
from .helpers import member, started_attempts


def test_settlement_charges_the_true_units() -> None:
    driver = Driver(cost_known_after=True)
    (send,) = started_attempts(driver.request(plan="thin", units=1))
    driver.end_attempt(send, cost=4)
    assert isinstance(driver.request(plan="thin")[0], RejectRequest)


def test_unsent_request_gives_its_units_back() -> None:
    driver = Driver(endpoints=0)
    driver.request(plan="thin", units=4, remaining_time=300)
    driver.advance(400)
    assert driver.gateway.customers.by_tag[tag_of("c")].bucket.refill(driver.now) == pytest.approx(4, abs=0.2)


def test_members_of_a_wide_set_tell_small_settlements_by_chance_and_exactly_on_average() -> None:
    (driver, customer), told = member(max_request_units=8), []
    for _ in range(4000):
        driver.gateway.gossip.outbox.clear()
        driver.gateway.quota.charge(customer, 0.5, driver.now)
        lines = [line for lines in driver.gateway.gossip.outbox.values() for line in lines]
        told += [line.units for line in lines if line.kind == "used"]
    assert 0.2 < len(told) / 4000 < 0.3 and set(told) == {2.0}
