"""Summaries by which a simulated run is compared with recorded traffic."""

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
    """A client's attempt as far as a summary needs it."""

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
    for name, quantile in QUANTILES:
        summary[name] = math.log(float(np.quantile(served, quantile))) if len(served) else 0.0
    return summary


def summarize_recording(traffic: Traffic) -> Summary:
    """Return the summary of recorded traffic."""
    return summarize(
        [
            SummaryRow(
                row.outcome, row.duration_ms, row.is_retry, [attempt.status for attempt in row.attempts]
            )
            for row in traffic.rows
        ]
    )


def summarize_run(client_attempts: Sequence[ClientAttempt]) -> Summary:
    """Return the summary of a simulated run."""
    return summarize(
        [
            SummaryRow(
                str(client_attempt.result or "failed"),
                client_attempt.answered_at - client_attempt.sent_at,
                client_attempt.number > 1,
                [str(attempt.status or "out") for attempt in client_attempt.attempts],
            )
            for client_attempt in client_attempts
            if client_attempt.accepted
        ]
    )
