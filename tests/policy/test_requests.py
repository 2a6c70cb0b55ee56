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


def test_unsafe_request_in_flight_is_failed_before_its_client_stops_waiting(driver: Driver) -> None:
    received_at = driver.now
    driver.request("bind", remaining_time=1500)
    final = [action for action in driver.advance(1500) if isinstance(action, FailRequest | RejectRequest)]
    assert final == [FailRequest(1)]  # an unsafe request that may have run must not be rejected
    assert driver.now <= received_at + 1500


def test_retry_is_not_sent_after_client_disconnect_and_unknown_request_is_ignored(driver: Driver) -> None:
    (attempt,) = started_attempts(driver.request())
    assert started_attempts(driver.handle(ClientDisconnected(attempt.request_id))) == []
    assert driver.handle(ClientDisconnected(999)) == []
    assert driver.end_attempt(attempt, "error") == []


def test_attempt_is_cancelled_when_its_client_disconnects(driver: Driver) -> None:
    (attempt,) = started_attempts(driver.request())
    assert driver.handle(ClientDisconnected(attempt.request_id)) == [CancelAttempt(attempt.request_id, 0)]


@pytest.mark.parametrize(
    ("reason", "changes", "request_fields", "wait_ms"),
    [
        ("patience", {}, {"remaining_time": 5}, 0),
        ("quota", {}, {"plan": "thin", "units": 5}, 0),
        ("slot", {"endpoints": 0}, {"remaining_time": 900}, 900),
    ],
)
def test_rejection_names_its_reason(reason: str, changes: dict, request_fields: dict, wait_ms: int) -> None:  # type: ignore[type-arg]
    driver = Driver(**changes)
    actions = [*driver.request(**request_fields), *driver.advance(wait_ms)]
    assert [action.reason for action in actions if isinstance(action, RejectRequest)] == [reason]
