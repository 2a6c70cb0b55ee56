"""Retries and hedged requests, by effect, status and idempotency window."""

from __future__ import annotations

import math

import pytest

from mapleshunt import (
    FailRequest,
    StartAttempt,
)

from ..conftest import CLASSES, Driver
from .helpers import started_attempts


def test_retry_is_not_sent_after_the_final_answer(driver: Driver) -> None:
    (attempt,) = started_attempts(driver.request("look", remaining_time=500))
    driver.advance(500)
    assert started_attempts(driver.end_attempt(attempt, "timeout")) == []


@pytest.mark.parametrize(
    ("class_name", "status", "expected"),
    [
        ("look", "error", StartAttempt),
        ("look", "timeout", StartAttempt),
        ("look", "reset", StartAttempt),
        ("look", "full", StartAttempt),
        ("note", "error", StartAttempt),
        ("mark", "timeout", StartAttempt),
        ("bind", "full", StartAttempt),
        ("bind", "unreachable", StartAttempt),
        ("bind", "unsent", StartAttempt),
        ("bind", "error", FailRequest),
        ("bind", "timeout", FailRequest),
        ("bind", "reset", FailRequest),
        ("bind", "cancelled", FailRequest),
    ],
)
def test_retry_follows_the_effect_of_the_request_and_the_status_of_its_attempt(
    driver: Driver, class_name: str, status: str, expected: type
) -> None:
    (attempt,) = started_attempts(driver.request(class_name))
    actions = driver.end_attempt(attempt, status)
    assert [type(action) for action in actions] == [expected]


def test_keyed_retry_stays_in_its_scope(driver: Driver) -> None:
    (attempt,) = started_attempts(driver.request("note"))
    (second,) = started_attempts(driver.end_attempt(attempt, "error"))
    assert second.endpoint % 2 == attempt.endpoint % 2 and second.endpoint != attempt.endpoint


def test_keyed_request_is_not_retried_after_its_window() -> None:
    driver = Driver()
    (attempt,) = started_attempts(driver.request("note", remaining_time=4000))
    driver.now += 3001
    assert [type(action) for action in driver.end_attempt(attempt, "error")] == [FailRequest]


def test_request_is_hedged_only_where_hedging_is_allowed() -> None:
    driver = Driver()
    driver.request("look")
    assert started_attempts(driver.advance(3000)) == []
    hedging = Driver(allow_hedging=True)
    for _ in range(10):  # answers that settle the latency estimates
        (attempt,) = started_attempts(hedging.request("look"))
        hedging.end_attempt(attempt)
    (first,) = started_attempts(hedging.request("look"))
    (second,) = started_attempts(hedging.advance(900))
    assert second.request_id == first.request_id and second.endpoint != first.endpoint


def test_retry_whose_window_ends_while_it_waits_for_a_slot_is_answered_then() -> None:
    # Guards against a retry that waits until its remaining time ends though it may no longer be sent, and
    # against no limit on when its bytes go out.
    driver = Driver(endpoints=1)
    first = next(action for action in driver.request("note") if isinstance(action, StartAttempt))
    while any(isinstance(action, StartAttempt) for action in driver.request("look", units=0.1)):
        pass  # until no slot is free
    driver.gateway.concurrency.per_endpoint = 1e-9  # and none comes free
    assert not any(isinstance(action, StartAttempt) for action in driver.end_attempt(first, "error"))
    driver.now += CLASSES["note"].idempotency_window
    assert [action.request_id for action in driver.request("look") if isinstance(action, FailRequest)] == [
        first.request_id
    ]


def test_no_byte_of_a_retry_is_sent_after_its_window() -> None:
    driver = Driver(endpoints=2)
    first = next(action for action in driver.request("mark") if isinstance(action, StartAttempt))
    assert first.send_before == math.inf
    sent_at = driver.now
    driver.advance(100)
    retry = next(action for action in driver.end_attempt(first, "error") if isinstance(action, StartAttempt))
    assert sent_at < retry.send_before < sent_at + CLASSES["mark"].idempotency_window
