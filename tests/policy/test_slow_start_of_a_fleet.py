"""Slow start: the attempts that all gateways together send to an endpoint."""

from __future__ import annotations

import time

import pytest

from benchmarks.cold_servers import Case, worst
from mapleshunt import EndpointInfo, EndpointUpdate
from mapleshunt.net.clock import UnixClock

from ..conftest import Driver


@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize(("gateway_count", "seeds"), [(2, 2), (20, 1), (30, 1), (200, 2)])
def test_sum_of_all_gateways_attempts_stays_within_the_bound(
    gateway_count: int, seeds: int, restarted: bool
) -> None:
    """Guards against a sum that grows with the fleet.

    It was 0.38 of the bound at 2 gateways, 0.77 at 200, and over N alone. Each gateway went by what it had
    sent to warm endpoints as of its last request, although that was long ago.
    """
    for seed in range(seeds):
        ratio_to_bound, ratio_to_n = worst(Case(gateway_count, load=0.9, restarted=restarted), seed)
        assert 0.2 < ratio_to_bound <= 0.6 and ratio_to_n <= 0.9


@pytest.mark.parametrize("gateway_count", [2, 20])
def test_endpoint_that_survives_less_overload_by_the_settings_is_sent_less(gateway_count: int) -> None:
    """Guards against sending 1.5 times the ramp whatever it survives: it was over 1.0 of N, chance aside."""
    ratio_to_bound, ratio_to_n = worst(Case(gateway_count, load=0.9, multiple=1.2), 0)
    assert 0.2 < ratio_to_bound <= 0.6 and ratio_to_n <= 0.9


HOUR_MS = 3_600_000.0


@pytest.mark.parametrize("step", [HOUR_MS, -HOUR_MS, 5000.0, -5000.0])
def test_endpoint_that_starts_after_the_wall_clock_was_stepped_is_warming_up(
    monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    # Guards against a gateway whose clock began before the step and that takes the endpoint's start for long
    # ago, so that it gets what a warm one gets, or for the future, so that slow start lasts an hour.
    clock, wall = UnixClock(), time.time
    monkeypatch.setattr(time, "time", lambda: wall() + step / 1000)
    driver = Driver(slow_start_duration=10_000.0, slow_start_min_capacity=0.25)
    driver.now = clock()
    for source_step in (0.0, step):  # the clock of the source of the start time was stepped too, or was not
        started = clock() + source_step
        entry = EndpointInfo(9, started=started, age=clock.age(started))
        driver.handle(EndpointUpdate("partial", (entry,)))
        endpoint = driver.gateway.endpoints.by_number[9]
        driver.now += 1.0
        assert driver.gateway.slow_start.capacity_fraction(endpoint, driver.now) < 0.3
        assert driver.gateway.slow_start.capacity_fraction(endpoint, driver.now + 10_000.0) == 1.0
        driver.gateway.endpoints.by_number.clear()
