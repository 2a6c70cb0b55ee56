"""Book: tell the decisions how a try ended, with what it cost; a served value is relayed first."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...policy import AttemptEnded
from . import respond as relay
from .context import Ending, RequestContext, Try

if TYPE_CHECKING:
    from ..policy_driver import Driver


def book(context: RequestContext, attempt: Try, ending: Ending, driver: Driver) -> None:
    driver.counters.add(f"tries_{ending.status}")
    if ending.value is not None and context.open:
        driver.trace.add(context.id, "served", f"attempt {attempt.number}")
        relay.serve(context, ending.value, driver.counters)
        driver.forget(context)
    attempt.status, attempt.took = ending.status, driver.now() - attempt.sent
    # No request counts more than the settings' largest: such a figure is unreadable.
    attempt.cost = ending.cost if ending.cost <= driver.settings.max_request_units else 0.0
    driver.feed(
        AttemptEnded(
            request_id=context.ref,
            status=ending.status,
            request_completed=not context.open,
            attempt=attempt.number,
            endpoint=attempt.server,
            latency=attempt.took,
            cost=attempt.cost,
        )
    )
