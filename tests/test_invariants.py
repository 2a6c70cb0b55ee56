"""The guards report each rule that the facts violate, and no others."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import pytest

from mapleshunt import invariants
from mapleshunt.invariants import CloseFacts, EarlierAttempt, Guard, RetryFacts, SendFacts
from mapleshunt.net.counters import Counters
from mapleshunt.policy import RequestClass, Settings

from .conftest import CLASSES, PLANS

VALID_SEND = SendFacts(since_request_end=None, endpoint_ready=True, timeout=400.0, remaining_time=400.0)
SETTINGS = Settings(gateway_index=0, gateway_count=1, classes=CLASSES, plans=PLANS, max_attempts=3)
CELL_CLASS = RequestClass(
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
def test_send_is_checked_for_client_endpoint_and_deadline(
    change: dict[str, Any], violations: list[str]
) -> None:
    assert invariants.violations_of_send(replace(VALID_SEND, **change)) == violations


def retry_facts(
    status: Any, now: float = 500.0, zone: str = "a", cell: int = 1, count: int = 1
) -> RetryFacts:
    return RetryFacts(now, zone, cell, [EarlierAttempt(100.0, status, "a", 1)] * count)


@pytest.mark.parametrize(
    ("request_class", "facts", "violations"),
    [
        (CLASSES["look"], retry_facts("reset"), []),
        (CLASSES["look"], retry_facts(None), ["two_attempts_out"]),
        (CLASSES["look"], retry_facts("reset", count=3), ["too_many_attempts"]),
        (CLASSES["bind"], retry_facts("unreachable"), []),
        (CLASSES["bind"], retry_facts("error"), ["unsafe_request_repeated"]),
        (CLASSES["mark"], retry_facts("reset", 3099.0), []),
        (CLASSES["mark"], retry_facts("reset", 3101.0), ["repeated_after_window"]),
        (CLASSES["mark"], retry_facts("full", 3101.0), []),
        (CLASSES["note"], retry_facts("timeout", zone="b"), ["repeated_outside_zone"]),
        (CELL_CLASS, retry_facts("timeout", cell=2), ["repeated_outside_cell"]),
        (CELL_CLASS, retry_facts("unsent", cell=2), []),
    ],
)
def test_retry_is_checked_against_attempts_that_may_have_run(
    request_class: RequestClass, facts: RetryFacts, violations: list[str]
) -> None:
    assert invariants.violations_of_retry(facts, request_class, SETTINGS) == violations


def test_two_attempts_may_be_in_flight_where_hedging_is_allowed() -> None:
    settings = replace(SETTINGS, allow_hedging=True)
    assert invariants.violations_of_retry(retry_facts(None), CLASSES["look"], settings) == []


@pytest.mark.parametrize(
    ("facts", "violations"),
    [
        (CloseFacts("client_closed", 2, True, None), []),
        (CloseFacts("idle", 0, False, None), []),
        (CloseFacts("idle", 0, True, None), ["closed_over_unread_bytes"]),
        (CloseFacts("stopped", 1, False, None), ["closed_with_requests_unanswered"]),
        (CloseFacts("slow_client", 2, True, 2_999.0), ["closed_over_unsent_responses"]),
        (CloseFacts("slow_client", 0, False, 3_000.0), []),
        (CloseFacts("client_reset", 0, False, 0.0), []),
    ],
)
def test_close_is_checked_for_unanswered_requests_unread_bytes_and_unsent_responses(
    facts: CloseFacts, violations: list[str]
) -> None:
    assert invariants.violations_of_close(facts) == violations


def test_start_is_checked_for_duration_and_slow_start_for_allowance() -> None:
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
    output = capsys.readouterr().out
    assert "subject=aa" in output and "subject=bb" not in output
