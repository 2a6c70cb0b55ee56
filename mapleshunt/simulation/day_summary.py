"""Summaries by which a played day is compared with a recorded one."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

from .recorded_traffic import Traffic
from .records import ClientAttempt

Summary = dict[str, float]
QUANTILES = (("p25", 0.25), ("p50", 0.5), ("p75", 0.75), ("p95", 0.95))


class SummaryRow(NamedTuple):
    """What a summary needs of a client's attempt."""

    outcome: str
    duration_ms: float
    is_retry: bool
    statuses: Sequence[str]  # of its upstream attempts


def summarize(rows: Sequence[SummaryRow]) -> Summary:
    """Return shares of outcomes and statuses, and logarithms of quantiles of the duration."""
    first = [row for row in rows if not row.is_retry]
    served = np.array([row.duration_ms for row in rows if row.outcome == "served"])
    statuses = [status for row in rows for status in row.statuses]
    first_count = max(1, len(first))
    attempt_count = max(1, len(statuses))
    summary = {
        "refused_first": sum(row.outcome == "refused" for row in first) / first_count,
        "retries": (len(rows) - len(first)) / first_count,
        "full": sum(status == "full" for status in statuses) / attempt_count,
        "broken": sum(status in ("reset", "unreachable", "timeout") for status in statuses) / attempt_count,
    }
    for name, part in QUANTILES:
        summary[name] = math.log(float(np.quantile(served, part))) if len(served) else 0.0
    return summary


def summarize_recording(traffic: Traffic) -> Summary:
    """Return the summary of a recorded day."""
    return summarize(
        [
            SummaryRow(row.outcome, row.duration_ms, row.is_retry, [a.status for a in row.attempts])
            for row in traffic.rows
        ]
    )


def summarize_run(client_attempts: Sequence[ClientAttempt]) -> Summary:
    """Return the summary of a played day."""
    return summarize(
        [
            SummaryRow(
                str(one.result or "failed"),
                one.answered_at - one.sent_at,
                one.number > 1,
                [str(attempt.status or "out") for attempt in one.attempts],
            )
            for one in client_attempts
            if one.accepted
        ]
    )
