"""Which requests are rejected early."""

from __future__ import annotations

from mapleshunt import (
    RejectRequest,
    RequestClass,
)

from ..conftest import Driver
from .helpers import started_attempts


def test_request_without_endpoints_is_rejected_in_time() -> None:
    driver = Driver(endpoints=0)
    assert started_attempts(driver.request(remaining_time=900)) == []
    assert [type(a) for a in driver.advance(900)] == [RejectRequest]


def test_request_with_no_time_left_is_rejected_at_once() -> None:
    """Incident i5183e0: a beat later is too late for it."""
    driver = Driver(endpoints=0)
    assert [type(a) for a in driver.request(remaining_time=5)] == [RejectRequest]


def test_latency_above_the_objective_does_not_reject_all_requests(driver: Driver) -> None:
    """Incidents id7b97c, ib569a7: answer times above the aim must not refuse all that would cure them."""
    driver.gateway.latency.mean_by_class["look"] = 5000.0
    assert started_attempts(driver.request())


def test_queue_stays_short_because_requests_are_rejected_early() -> None:
    driver = Driver(endpoints=1)
    got = [a for _ in range(400) for a in driver.request()]
    assert any(isinstance(a, RejectRequest) for a in got)
    assert driver.gateway.scheduler.queued < 60


def test_client_retry_counts_on_half_its_objective_only() -> None:
    driver = Driver(endpoints=0)
    driver.request(remaining_time=4000)
    driver.request(remaining_time=4000, is_retry=True)
    got = driver.advance(500)
    assert [a.request_id for a in got if isinstance(a, RejectRequest)] == [2]


def test_unsent_request_is_rejected_within_half_its_remaining_time() -> None:
    # One rejected later, and never sent, costs a part of its worth on top.
    driver = Driver(endpoints=0)
    driver.request(remaining_time=1000)
    got = driver.advance(500)
    assert [type(action).__name__ for action in got] == ["RejectRequest"]


def test_class_that_earns_least_for_an_endpoints_time_is_rejected_first_when_slots_are_short() -> None:
    # In the calm day's burst all classes were rejected alike, though one earns thrice as much for equal work.
    classes = {
        "low": RequestClass("low", latency_objective=1000, deadline=4000),
        "high": RequestClass("high", latency_objective=1000, deadline=4000, priority_weight=3.0),
    }
    driver = Driver(endpoints=1, classes=classes)
    driver.gateway.concurrency.per_endpoint = 1.0
    rejected = {"low": 0, "high": 0}
    for n in range(12):
        cls = ("low", "high")[n % 2]
        rejected[cls] += any(isinstance(a, RejectRequest) for a in driver.request(cls, customer=f"c{n}"))
    assert rejected["low"] >= rejected["high"] + 2
