"""Route: turn the decision to send into a try with a till server and a time limit."""

from __future__ import annotations

from ...policy import StartAttempt
from .context import Attempt, RequestContext


def route(context: RequestContext, action: StartAttempt, now: float) -> Attempt:
    until = min(now + action.timeout, context.deadline) if action.timeout else context.deadline
    number = len(context.attempts)
    attempt = Attempt(
        number=number, server=action.endpoint, sent_at=now, deadline=until, send_before=action.send_before
    )
    context.attempts.append(attempt)
    return attempt
