"""Handling of the watch events of the endpoint list."""

from __future__ import annotations

import pytest

from mapleshunt import (
    EndpointInfo,
    EndpointUpdate,
    SetTimer,
    TimerFired,
    WatchEndpoints,
)

from ..conftest import Driver
from .helpers import started_attempts


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_draining_or_gone_endpoint_gets_no_attempts(driver: Driver, state: str) -> None:
    unavailable = tuple(EndpointInfo(number, state=state) for number in (0, 1, 2))  # type: ignore[arg-type]
    driver.handle(EndpointUpdate("partial", unavailable))
    assert {attempt.endpoint for _ in range(8) for attempt in started_attempts(driver.request())} == {3}


def test_endpoint_missing_from_a_complete_list_is_gone(driver: Driver) -> None:
    driver.handle(EndpointUpdate("complete", (EndpointInfo(2),)))
    assert {attempt.endpoint for _ in range(5) for attempt in started_attempts(driver.request())} == {2}


def test_failed_watch_is_polled_again_after_a_backoff() -> None:
    driver = Driver(poll_discovery=True)
    assert WatchEndpoints() in driver.actions
    assert (
        driver.handle(EndpointUpdate("error")) == []
    )  # not at once, so that a failing service does not get a storm of polls
    assert SetTimer(driver.now + 2500, 0) in driver.actions
    assert driver.gateway.handle(driver.now + 2500, TimerFired(0)) == [WatchEndpoints()]


def test_gone_endpoint_is_removed_once_nothing_is_in_flight_there() -> None:
    # New endpoints with new ids replace old ones all day. Guards against memory that grows with each.
    driver = Driver(endpoints=1)
    (attempt,) = started_attempts(driver.request())
    for number in range(1, 40):
        driver.handle(
            EndpointUpdate("partial", (EndpointInfo(number - 1, state="gone"), EndpointInfo(number)))
        )
    assert set(driver.gateway.endpoints.by_number) == {0, 39}
    driver.end_attempt(attempt)
    driver.handle(EndpointUpdate("partial", ()))
    assert set(driver.gateway.endpoints.by_number) == {39} and len(driver.gateway.endpoints.by_tag) == 1
    driver.advance(10000)  # timers for a removed endpoint do no harm


def test_restart_with_an_earlier_start_time_is_not_taken_for_the_process_before_it(driver: Driver) -> None:
    started = 1e9
    driver.handle(EndpointUpdate("partial", (EndpointInfo(9, started=started, age=1.0),)))
    driver.advance(60_000)
    driver.handle(EndpointUpdate("partial", (EndpointInfo(9, started=started - 3_600_000, age=1.0),)))
    assert driver.gateway.endpoints.by_number[9].up_since == driver.now - 1.0
    driver.handle(EndpointUpdate("partial", (EndpointInfo(9, started=0.0),)))  # long ago: no other process
    assert driver.gateway.endpoints.by_number[9].up_since == driver.now - 1.0
