"""Early rejection of requests."""

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
    assert [type(action) for action in driver.advance(900)] == [RejectRequest]


def test_request_with_no_time_left_is_rejected_at_once() -> None:
    """A rejection one tick later would reach the client too late (incident i5183e0)."""
    driver = Driver(endpoints=0)
    assert [type(action) for action in driver.request(remaining_time=5)] == [RejectRequest]


def test_latency_above_the_objective_does_not_reject_all_requests(driver: Driver) -> None:
    """Latency above the objective must not reject every request that would lower it.

    Incidents id7b97c, ib569a7.
    """
    driver.gateway.latency.mean_by_class["look"] = 5000.0
    assert started_attempts(driver.request())


def test_queue_stays_short_because_requests_are_rejected_early() -> None:
    driver = Driver(endpoints=1)
    actions = [action for _ in range(400) for action in driver.request()]
    assert any(isinstance(action, RejectRequest) for action in actions)
    assert driver.gateway.scheduler.queued < 60


def test_client_retry_has_half_of_its_latency_objective() -> None:
    driver = Driver(endpoints=0)
    driver.request(remaining_time=4000)
    driver.request(remaining_time=4000, is_retry=True)
    actions = driver.advance(500)
    assert [action.request_id for action in actions if isinstance(action, RejectRequest)] == [2]


def test_unsent_request_is_rejected_within_half_its_remaining_time() -> None:
    # A later rejection of a request that was never sent costs a part of its value in addition.
    driver = Driver(endpoints=0)
    driver.request(remaining_time=1000)
    actions = driver.advance(500)
    assert [type(action).__name__ for action in actions] == ["RejectRequest"]


def test_class_that_earns_least_per_endpoint_time_is_rejected_first_when_slots_are_short() -> None:
    # In the calm scenario's burst all classes were rejected alike, though one earns three times as much for
    # equal work.
    classes = {
        "low": RequestClass("low", latency_objective=1000, deadline=4000),
        "high": RequestClass("high", latency_objective=1000, deadline=4000, priority_weight=3.0),
    }
    driver = Driver(endpoints=1, classes=classes)
    driver.gateway.concurrency.per_endpoint = 1.0
    rejected = {"low": 0, "high": 0}
    for number in range(12):
        class_name = ("low", "high")[number % 2]
        rejected[class_name] += any(
            isinstance(action, RejectRequest) for action in driver.request(class_name, customer=f"c{number}")
        )
    assert rejected["low"] >= rejected["high"] + 2
