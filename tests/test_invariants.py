"""The guards: each rule is found broken by facts that break it, and by no others."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import pytest

from mapleshunt import invariants
from mapleshunt.invariants import EarlierAttempt, Guard, RetryFacts, SendFacts
from mapleshunt.net.counters import Counters
from mapleshunt.policy import RequestClass, Settings

from .conftest import CLASSES, PLANS

SOUND = SendFacts(since_request_end=None, endpoint_ready=True, timeout=400.0, remaining_time=400.0)
SETTINGS = Settings(gateway_index=0, gateway_count=1, classes=CLASSES, plans=PLANS, max_attempts=3)
CELL = RequestClass(
    "cell", latency_objective=1000, deadline=4000, effect="keyed", retry_scope="cell", idempotency_window=3000
)


@pytest.mark.parametrize(
    ("change", "violations"),
    [
        ({}, []),
        ({"since_request_end": 99.0}, []),
        ({"since_request_end": 101.0}, ["sent_after_end"]),
        ({"endpoint_ready": False}, ["sent_to_unavailable_server"]),
        ({"timeout": 549.0}, []),
        ({"timeout": 551.0}, ["deadline_exceeds_client"]),
    ],
)
def test_send_is_judged_by_client_endpoint_and_deadline(
    change: dict[str, Any], violations: list[str]
) -> None:
    assert invariants.violations_of_send(replace(SOUND, **change)) == violations


def retried(status: Any, now: float = 500.0, zone: str = "a", cell: int = 1, count: int = 1) -> RetryFacts:
    return RetryFacts(now, zone, cell, [EarlierAttempt(100.0, status, "a", 1)] * count)


@pytest.mark.parametrize(
    ("cls", "facts", "violations"),
    [
        (CLASSES["look"], retried("reset"), []),
        (CLASSES["look"], retried(None), ["two_attempts_out"]),
        (CLASSES["look"], retried("reset", count=3), ["too_many_attempts"]),
        (CLASSES["bind"], retried("unreachable"), []),
        (CLASSES["bind"], retried("error"), ["unsafe_request_repeated"]),
        (CLASSES["mark"], retried("reset", 3099.0), []),
        (CLASSES["mark"], retried("reset", 3101.0), ["repeated_after_window"]),
        (CLASSES["mark"], retried("full", 3101.0), []),
        (CLASSES["note"], retried("timeout", zone="b"), ["repeated_outside_zone"]),
        (CELL, retried("timeout", cell=2), ["repeated_outside_cell"]),
        (CELL, retried("unsent", cell=2), []),
    ],
)
def test_retry_is_judged_by_what_may_have_run(
    cls: RequestClass, facts: RetryFacts, violations: list[str]
) -> None:
    assert invariants.violations_of_retry(facts, cls, SETTINGS) == violations


def test_two_attempts_may_be_in_flight_where_hedging_is_allowed() -> None:
    allowed = replace(SETTINGS, allow_hedging=True)
    assert invariants.violations_of_retry(retried(None), CLASSES["look"], allowed) == []


@pytest.mark.parametrize(
    ("reason", "unanswered", "unread", "violations"),
    [
        ("client_closed", 2, True, []),
        ("idle", 0, False, []),
        ("idle", 0, True, ["closed_over_unread_bytes"]),
        ("stopped", 1, False, ["closed_with_requests_unanswered"]),
    ],
)
def test_close_is_judged_by_unanswered_requests_and_unread_bytes(
    reason: str, unanswered: int, unread: bool, violations: list[str]
) -> None:
    assert invariants.violations_of_close(reason, unanswered, unread) == violations


def test_start_and_slow_start_are_judged_by_duration_and_allowance() -> None:
    assert invariants.violations_of_start(9_999.0, False) == []
    assert invariants.violations_of_start(10_001.0, True) == ["start_took_too_long", "accepted_before_start"]
    assert invariants.violations_of_slow_start(True, 0.0) == []
    assert invariants.violations_of_slow_start(False, -math.inf) == []
    assert invariants.violations_of_slow_start(True, -0.5) == ["slow_start_exceeded"]


def test_violation_is_counted_and_logged_with_the_steps_of_its_request(
    capsys: pytest.CaptureFixture[str],
) -> None:
    counters = Counters()
    counters.trace.add("aa", "taken", "look")
    counters.trace.add("bb", "taken", "look")
    counters.trace.report_violations(Guard.CLOSE, ["closed_over_unread_bytes"], "aa")
    counters.trace.report_violations(Guard.CLOSE, [], "bb")
    assert counters.counts["invariant_violations"] == 1
    assert counters.counts["violated_close_closed_over_unread_bytes"] == 1
    said = capsys.readouterr().out
    assert "subject=aa" in said and "subject=bb" not in said
