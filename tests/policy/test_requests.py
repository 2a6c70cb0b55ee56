"""Final answers of requests."""

from __future__ import annotations

import pytest

from mapleshunt import (
    CancelAttempt,
    ClientDisconnected,
    FailRequest,
    RejectRequest,
)

from ..conftest import Driver
from .helpers import started_attempts


def test_unsafe_request_in_flight_is_failed_before_its_client_gives_up(driver: Driver) -> None:
    asked = driver.now
    driver.request("bind", remaining_time=1500)
    final = [a for a in driver.advance(1500) if isinstance(a, FailRequest | RejectRequest)]
    assert final == [FailRequest(1)]  # an unsafe request that may have run must not be rejected
    assert driver.now <= asked + 1500


def test_retry_is_not_sent_after_client_disconnect_and_unknown_request_is_ignored(driver: Driver) -> None:
    (send,) = started_attempts(driver.request())
    assert started_attempts(driver.handle(ClientDisconnected(send.request_id))) == []
    assert driver.handle(ClientDisconnected(999)) == []
    assert driver.end_attempt(send, "error") == []


def test_attempt_is_cancelled_when_its_client_disconnects(driver: Driver) -> None:
    (send,) = started_attempts(driver.request())
    assert driver.handle(ClientDisconnected(send.request_id)) == [CancelAttempt(send.request_id, 0)]


@pytest.mark.parametrize(
    ("why", "setting", "asked", "waits"),
    [
        ("patience", {}, {"remaining_time": 5}, 0),
        ("quota", {}, {"plan": "thin", "units": 5}, 0),
        ("slot", {"endpoints": 0}, {"remaining_time": 900}, 900),
    ],
)
def test_rejection_names_its_reason(why: str, setting: dict, asked: dict, waits: int) -> None:  # type: ignore[type-arg]
    driver = Driver(**setting)
    got = [*driver.request(**asked), *driver.advance(waits)]
    assert [one.reason for one in got if isinstance(one, RejectRequest)] == [why]
