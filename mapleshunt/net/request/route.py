"""Route: turn the policy's decision to send into an attempt with an endpoint and a deadline."""

from __future__ import annotations

from ...policy import StartAttempt
from .context import Attempt, RequestContext


def route(context: RequestContext, action: StartAttempt, now: float) -> Attempt:
    """Create the action's attempt and add it to the request. `now` is ms on the driver's clock."""
    deadline = min(now + action.timeout, context.deadline) if action.timeout else context.deadline
    attempt = Attempt(
        number=len(context.attempts),
        endpoint=action.endpoint,
        sent_at=now,
        deadline=deadline,
        send_before=action.send_before,
    )
    context.attempts.append(attempt)
    return attempt
