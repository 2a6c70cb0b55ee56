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
    (send,) = started_attempts(driver.request("look", remaining_time=500))
    driver.advance(500)
    assert started_attempts(driver.end_attempt(send, "timeout")) == []


@pytest.mark.parametrize(
    ("cls", "status", "expected"),
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
    driver: Driver, cls: str, status: str, expected: type
) -> None:
    (send,) = started_attempts(driver.request(cls))
    got = driver.end_attempt(send, status)
    assert [type(a) for a in got] == [expected]


def test_keyed_retry_stays_in_its_scope(driver: Driver) -> None:
    (send,) = started_attempts(driver.request("note"))
    (second,) = started_attempts(driver.end_attempt(send, "error"))
    assert second.endpoint % 2 == send.endpoint % 2 and second.endpoint != send.endpoint


def test_keyed_request_is_not_retried_after_its_window() -> None:
    driver = Driver()
    (send,) = started_attempts(driver.request("note", remaining_time=4000))
    driver.now += 3001
    assert [type(a) for a in driver.end_attempt(send, "error")] == [FailRequest]


def test_request_is_hedged_only_where_hedging_is_allowed() -> None:
    driver = Driver()
    driver.request("look")
    assert started_attempts(driver.advance(3000)) == []
    hedging = Driver(allow_hedging=True)
    for _ in range(10):  # second copies are a part of first attempts
        (send,) = started_attempts(hedging.request("look"))
        hedging.end_attempt(send)
    (first,) = started_attempts(hedging.request("look"))
    (copy,) = started_attempts(hedging.advance(900))
    assert copy.request_id == first.request_id and copy.endpoint != first.endpoint


def test_retry_whose_window_ends_while_it_waits_for_a_slot_is_answered_then() -> None:
    # It waited, unsendable, until its remaining time ended; and nothing bounded when its bytes went out.
    driver = Driver(endpoints=1)
    first = next(a for a in driver.request("note") if isinstance(a, StartAttempt))
    while any(isinstance(a, StartAttempt) for a in driver.request("look", units=0.1)):
        pass  # until no slot is free
    driver.gateway.concurrency.per_endpoint = 1e-9  # and none comes free
    assert not any(isinstance(a, StartAttempt) for a in driver.end_attempt(first, "error"))
    driver.now += CLASSES["note"].idempotency_window
    assert [a.request_id for a in driver.request("look") if isinstance(a, FailRequest)] == [first.request_id]


def test_no_byte_of_a_retry_is_sent_after_its_window() -> None:
    driver = Driver(endpoints=2)
    first = next(a for a in driver.request("mark") if isinstance(a, StartAttempt))
    assert first.send_before == math.inf
    begun = driver.now
    driver.advance(100)
    again = next(a for a in driver.end_attempt(first, "error") if isinstance(a, StartAttempt))
    assert begun < again.send_before < begun + CLASSES["mark"].idempotency_window
