"""Record: store how an attempt ended, and build the policy's event."""

from __future__ import annotations

from typing import cast

from ...policy import AttemptEnded, events
from ..messages import AttemptResult
from .context import Attempt, RequestContext


def record(
    context: RequestContext, attempt: Attempt, result: AttemptResult, now: float, max_units: float
) -> AttemptEnded:
    """Store the result in the attempt and return the policy's event.

    Args:
        context: the attempt's request.
        attempt: the attempt that ended.
        result: how it ended.
        now: ms on the driver's clock.
        max_units: the maximum cost of one request; a higher reported cost is invalid and counts as 0.
    """
    attempt.status = result.status
    attempt.latency_ms = now - attempt.sent_at
    attempt.cost = result.cost if result.cost <= max_units else 0.0
    return AttemptEnded(
        request_id=context.request_id,
        status=cast("events.AttemptStatus", result.status),  # the literals equal the enum's values
        request_completed=not context.awaiting_response,
        attempt=attempt.number,
        endpoint=attempt.endpoint,
        latency=attempt.latency_ms,
        cost=attempt.cost,
    )
