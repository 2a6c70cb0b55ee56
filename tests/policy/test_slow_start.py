"""What endpoints that are warming up are sent."""

from __future__ import annotations

from mapleshunt import (
    EndpointInfo,
    EndpointUpdate,
)

from ..conftest import Driver
from .helpers import started_attempts


def test_endpoint_in_slow_start_gets_its_part_of_warm_work() -> None:
    driver = Driver(slow_start_min_capacity=0.2, slow_start_duration=20000, overload_crash_after=1000)
    driver.handle(EndpointUpdate("partial", (EndpointInfo(9, started=driver.now),)))
    count = dict.fromkeys((0, 1, 2, 3, 9), 0)
    for _ in range(100):
        out = [send for _ in range(8) for send in started_attempts(driver.request())]
        driver.advance(50)
        for send in out:
            count[send.endpoint] += 1
            driver.end_attempt(send)
    assert 0 < count[9] <= 0.5 * min(count[n] for n in range(4))


def test_endpoint_in_slow_start_gets_nothing_at_once_even_in_a_rush() -> None:
    driver = Driver(slow_start_min_capacity=0.2, slow_start_duration=20000)
    driver.handle(EndpointUpdate("partial", (EndpointInfo(9, started=driver.now),)))
    assert 9 not in {a.endpoint for _ in range(20) for a in started_attempts(driver.request())}


def test_endpoint_in_slow_start_gets_no_burst_from_hundreds_of_gateways() -> None:
    first = 0
    for seed in range(100):
        driver = Driver(
            endpoints=3, gateway_count=300, slow_start_min_capacity=0.2, slow_start_duration=20000
        )
        driver.gateway.random.seed(seed)
        driver.handle(EndpointUpdate("partial", (EndpointInfo(9, started=driver.now),)))
        for _ in range(2):
            for send in started_attempts(driver.request()):
                first += send.endpoint == 9
                driver.end_attempt(send)
            driver.advance(500)
    assert first <= 10


def test_forty_gateways_together_send_an_endpoint_in_slow_start_its_part_and_no_more() -> None:
    """The rule: four times its present capacity in a second, which is a quarter of a warm one's at its start.

    By the slowest ramp alone it got less than it could do, while warm servers had queues.
    """
    cold, warm = [0] * 6, 0
    for seed in range(40):
        driver = Driver(
            endpoints=5, gateway_count=40, slow_start_min_capacity=0.25, slow_start_duration=15000
        )
        driver.gateway.random.seed(seed)
        for tick in range(
            -100, 60
        ):  # ten requests a second for ten seconds, then six with a endpoint in slow start
            if tick == 0:
                driver.handle(EndpointUpdate("partial", (EndpointInfo(9, started=driver.now),)))
            for send in started_attempts(driver.request()):
                if tick >= 0:
                    cold[tick // 10] += send.endpoint == 9
                    warm += send.endpoint != 9
                driver.end_attempt(send)
            driver.advance(100)
    each = warm / 5 / 6  # a warm server's sends in a second
    assert 0.5 * each < sum(cold) / 6 and max(cold) < each
