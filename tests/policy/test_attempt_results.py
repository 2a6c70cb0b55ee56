"""Estimates that are updated when an attempt ends."""

from __future__ import annotations

import pytest

from mapleshunt.policy.gossip_codec import (
    tag_of,
)

from ..conftest import Driver
from .helpers import started_attempts


def test_cost_estimate_is_weighted_towards_the_newest_answer(driver: Driver) -> None:
    (attempt,) = started_attempts(driver.request())
    before = driver.gateway.customers.by_tag[tag_of("c")].cost_estimate
    driver.end_attempt(attempt, latency=400)
    assert driver.gateway.customers.by_tag[tag_of("c")].cost_estimate == pytest.approx(
        0.9 * 400 + 0.1 * before
    )
