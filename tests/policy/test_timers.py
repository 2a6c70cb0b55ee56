"""Timers of the decisions."""

from __future__ import annotations

from mapleshunt import (
    ClientDisconnected,
    RejectRequest,
    SetTimer,
)

from ..conftest import Driver
from .helpers import started_attempts


def test_late_timer_does_not_lose_a_request() -> None:
    driver = Driver(endpoints=0)
    driver.request(remaining_time=900)
    driver.now += 890  # no timer came
    assert [a.request_id for a in driver.handle(ClientDisconnected(999)) if isinstance(a, RejectRequest)] == [
        1
    ]


def test_idle_gateway_sleeps() -> None:
    driver = Driver(gateway_count=300, gossip_enabled=True)
    (send,) = started_attempts(driver.request("look", remaining_time=1500))
    driver.end_attempt(send)
    before = len(driver.actions)
    driver.advance(60000)
    assert [a for a in driver.actions[before:] if not isinstance(a, SetTimer)] == []
    assert len(driver.actions) - before < 5 and not driver.timers
