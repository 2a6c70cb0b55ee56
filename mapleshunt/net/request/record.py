"""Book: tell the decisions how a try ended, with what it cost; a served value is relayed first."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...policy import AttemptEnded
from . import respond
from .context import Attempt, AttemptResult, RequestContext

if TYPE_CHECKING:
    from ..policy_driver import PolicyDriver


def record(context: RequestContext, attempt: Attempt, ending: AttemptResult, driver: PolicyDriver) -> None:
    driver.counters.add(f"tries_{ending.status}")
    if ending.value is not None and context.awaiting_response:
        driver.trace.add(context.client_request_id, "served", f"attempt {attempt.number}")
        respond.serve(context, ending.value, driver.counters)
        driver.remove(context)
    attempt.status, attempt.latency_ms = ending.status, driver.now() - attempt.sent_at
    # No request counts more than the settings' largest: such a figure is unreadable.
    attempt.cost = ending.cost if ending.cost <= driver.settings.max_request_units else 0.0
    driver.apply_event(
        AttemptEnded(
            request_id=context.request_id,
            status=ending.status,
            request_completed=not context.awaiting_response,
            attempt=attempt.number,
            endpoint=attempt.server,
            latency=attempt.latency_ms,
            cost=attempt.cost,
        )
    )
