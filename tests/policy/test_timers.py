"""The timers of the gateway."""

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
    driver.now += 890  # the host's timer did not fire
    assert [
        action.request_id
        for action in driver.handle(ClientDisconnected(999))
        if isinstance(action, RejectRequest)
    ] == [1]


def test_idle_gateway_sets_no_timers() -> None:
    driver = Driver(gateway_count=300, gossip_enabled=True)
    (started,) = started_attempts(driver.request("look", remaining_time=1500))
    driver.end_attempt(started)
    action_count = len(driver.actions)
    driver.advance(60000)
    assert [action for action in driver.actions[action_count:] if not isinstance(action, SetTimer)] == []
    assert len(driver.actions) - action_count < 5 and not driver.timers
