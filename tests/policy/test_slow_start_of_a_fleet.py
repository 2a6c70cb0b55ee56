"""What all gateways together send to an endpoint in slow start."""

from __future__ import annotations

import time

import pytest

from benchmarks.cold_servers import Case, worst
from mapleshunt import EndpointInfo, EndpointUpdate
from mapleshunt.net.clock import UnixClock

from ..conftest import Driver


@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize(("instances", "seeds"), [(2, 2), (20, 1), (30, 1), (200, 2)])
def test_sum_of_all_gateways_attempts_stays_within_the_bound(
    instances: int, seeds: int, restarted: bool
) -> None:
    """It grew with the fleet: 0.38 of the bound at 2 gateways, 0.77 at 200, and over N alone.

    Each went by what it sent to warm servers, read as of its last request: of late, though that is long ago.
    """
    for seed in range(seeds):
        bound, alone = worst(Case(instances, load=0.9, restarted=restarted), seed)
        assert 0.2 < bound <= 0.6 and alone <= 0.9


@pytest.mark.parametrize("instances", [2, 20])
def test_endpoint_that_bears_less_by_the_settings_is_sent_less(instances: int) -> None:
    """1.5 times the ramp's part went to it whatever it bore: over 1.0 of what that is, chance aside."""
    bound, alone = worst(Case(instances, load=0.9, multiple=1.2), 0)
    assert 0.2 < bound <= 0.6 and alone <= 0.9


HOUR_MS = 3_600_000.0


@pytest.mark.parametrize("step", [HOUR_MS, -HOUR_MS, 5000.0, -5000.0])
def test_endpoint_that_starts_after_the_wall_clock_was_stepped_is_warming_up(
    monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    # The gateway's clock, which began before the step, took the time of its start for long ago: an endpoint
    # in slow start got what a warm one gets. Or for the future: slow start lasted until the hour was over.
    clock, wall = UnixClock(), time.time
    monkeypatch.setattr(time, "time", lambda: wall() + step / 1000)
    driver = Driver(slow_start_duration=10_000.0, slow_start_min_capacity=0.25)
    driver.now = clock()
    for moved in (0.0, step):  # the clock of whoever told the start was stepped too, or was not
        started = clock() + moved
        entry = EndpointInfo(9, started=started, age=clock.age(started))
        driver.handle(EndpointUpdate("partial", (entry,)))
        server = driver.gateway.endpoints.by_number[9]
        driver.now += 1.0
        assert driver.gateway.slow_start.capacity_fraction(server, driver.now) < 0.3
        assert driver.gateway.slow_start.capacity_fraction(server, driver.now + 10_000.0) == 1.0
        driver.gateway.endpoints.by_number.clear()
