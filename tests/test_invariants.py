"""The guards: each rule is found broken by facts that break it, and by no others."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import pytest

from mapleshunt import invariants
from mapleshunt.invariants import EarlierAttempt, Guard, RepeatFacts, SendFacts
from mapleshunt.net.counters import Counters
from mapleshunt.policy import RequestClass, Settings

from .conftest import CLASSES, PLANS

SOUND = SendFacts(since_end=None, server_ready=True, passed_on=400.0, left=400.0)
SETTINGS = Settings(gateway_index=0, gateway_count=1, classes=CLASSES, plans=PLANS, max_attempts=3)
CELL = RequestClass(
    "cell", latency_objective=1000, deadline=4000, effect="keyed", retry_scope="cell", idempotency_window=3000
)


@pytest.mark.parametrize(
    ("change", "broken"),
    [
        ({}, []),
        ({"since_end": 99.0}, []),
        ({"since_end": 101.0}, ["sent_after_end"]),
        ({"server_ready": False}, ["sent_to_unavailable_server"]),
        ({"passed_on": 549.0}, []),
        ({"passed_on": 551.0}, ["deadline_exceeds_client"]),
    ],
)
def test_sending_is_judged_by_client_server_and_deadline(change: dict[str, Any], broken: list[str]) -> None:
    assert invariants.broken_by_sending(replace(SOUND, **change)) == broken


def repeated(status: Any, now: float = 500.0, zone: str = "a", cell: int = 1, count: int = 1) -> RepeatFacts:
    return RepeatFacts(now, zone, cell, [EarlierAttempt(100.0, status, "a", 1)] * count)


@pytest.mark.parametrize(
    ("cls", "facts", "broken"),
    [
        (CLASSES["look"], repeated("reset"), []),
        (CLASSES["look"], repeated(None), ["two_attempts_out"]),
        (CLASSES["look"], repeated("reset", count=3), ["too_many_attempts"]),
        (CLASSES["bind"], repeated("unreachable"), []),
        (CLASSES["bind"], repeated("error"), ["unsafe_request_repeated"]),
        (CLASSES["mark"], repeated("reset", 3099.0), []),
        (CLASSES["mark"], repeated("reset", 3101.0), ["repeated_after_window"]),
        (CLASSES["mark"], repeated("full", 3101.0), []),
        (CLASSES["note"], repeated("timeout", zone="b"), ["repeated_outside_zone"]),
        (CELL, repeated("timeout", cell=2), ["repeated_outside_cell"]),
        (CELL, repeated("unsent", cell=2), []),
    ],
)
def test_a_repeat_is_judged_by_what_may_have_run(
    cls: RequestClass, facts: RepeatFacts, broken: list[str]
) -> None:
    assert invariants.broken_by_repeating(facts, cls, SETTINGS) == broken


def test_two_copies_may_be_out_where_the_settings_allow_them() -> None:
    allowed = replace(SETTINGS, allow_hedging=True)
    assert invariants.broken_by_repeating(repeated(None), CLASSES["look"], allowed) == []


@pytest.mark.parametrize(
    ("reason", "unanswered", "unread", "broken"),
    [
        ("client_closed", 2, True, []),
        ("idle", 0, False, []),
        ("idle", 0, True, ["closed_over_unread_bytes"]),
        ("stopped", 1, False, ["closed_with_requests_unanswered"]),
    ],
)
def test_closing_is_judged_by_what_is_owed(
    reason: str, unanswered: int, unread: bool, broken: list[str]
) -> None:
    assert invariants.broken_by_closing(reason, unanswered, unread) == broken


def test_starts_and_slow_starts_are_judged() -> None:
    assert invariants.broken_by_starting(9_999.0, False) == []
    assert invariants.broken_by_starting(10_001.0, True) == ["start_took_too_long", "accepted_before_start"]
    assert invariants.broken_by_slow_start(True, 0.0) == []
    assert invariants.broken_by_slow_start(False, -math.inf) == []
    assert invariants.broken_by_slow_start(True, -0.5) == ["slow_start_exceeded"]


def test_a_violation_is_counted_and_logged_with_the_steps_of_its_request(
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
