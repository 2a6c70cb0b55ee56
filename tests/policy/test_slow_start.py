"""Slow start: the attempts sent to endpoints that are warming up."""

from __future__ import annotations

from mapleshunt import (
    EndpointInfo,
    EndpointUpdate,
)

from ..conftest import Driver
from .helpers import started_attempts


def test_endpoint_in_slow_start_gets_a_fraction_of_what_warm_ones_get() -> None:
    driver = Driver(slow_start_min_capacity=0.2, slow_start_duration=20000, overload_crash_after=1000)
    driver.handle(EndpointUpdate("partial", (EndpointInfo(9, started=driver.now),)))
    count = dict.fromkeys((0, 1, 2, 3, 9), 0)
    for _ in range(100):
        attempts = [attempt for _ in range(8) for attempt in started_attempts(driver.request())]
        driver.advance(50)
        for attempt in attempts:
            count[attempt.endpoint] += 1
            driver.end_attempt(attempt)
    assert 0 < count[9] <= 0.5 * min(count[number] for number in range(4))


def test_endpoint_in_slow_start_gets_no_immediate_attempt_under_a_burst_of_requests() -> None:
    driver = Driver(slow_start_min_capacity=0.2, slow_start_duration=20000)
    driver.handle(EndpointUpdate("partial", (EndpointInfo(9, started=driver.now),)))
    assert 9 not in {attempt.endpoint for _ in range(20) for attempt in started_attempts(driver.request())}


def test_endpoint_in_slow_start_gets_no_burst_from_hundreds_of_gateways() -> None:
    attempts = 0
    for seed in range(100):
        driver = Driver(
            endpoints=3, gateway_count=300, slow_start_min_capacity=0.2, slow_start_duration=20000
        )
        driver.gateway.random.seed(seed)
        driver.handle(EndpointUpdate("partial", (EndpointInfo(9, started=driver.now),)))
        for _ in range(2):
            for attempt in started_attempts(driver.request()):
                attempts += attempt.endpoint == 9
                driver.end_attempt(attempt)
            driver.advance(500)
    assert attempts <= 10


def test_forty_gateways_together_send_an_endpoint_in_slow_start_what_it_can_serve_and_no_more() -> None:
    """The rule allows four times its present capacity in a second, which starts at a quarter of a warm one's.

    Guards against sending by the slowest ramp alone: it got less than it could serve while warm endpoints
    had queues.
    """
    sent_per_second, sent_to_warm = [0] * 6, 0
    for seed in range(40):
        driver = Driver(
            endpoints=5, gateway_count=40, slow_start_min_capacity=0.25, slow_start_duration=15000
        )
        driver.gateway.random.seed(seed)
        # Ten requests a second for 10 s, then for 6 s with an endpoint in slow start.
        for tick in range(-100, 60):
            if tick == 0:
                driver.handle(EndpointUpdate("partial", (EndpointInfo(9, started=driver.now),)))
            for attempt in started_attempts(driver.request()):
                if tick >= 0:
                    sent_per_second[tick // 10] += attempt.endpoint == 9
                    sent_to_warm += attempt.endpoint != 9
                driver.end_attempt(attempt)
            driver.advance(100)
    per_warm_endpoint = sent_to_warm / 5 / 6  # in a second
    assert 0.5 * per_warm_endpoint < sum(sent_per_second) / 6 and max(sent_per_second) < per_warm_endpoint
