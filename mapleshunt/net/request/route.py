"""Route: turn the decision to send into a try with a till server and a time limit."""

from __future__ import annotations

from ...policy import StartAttempt
from .context import RequestContext, Try


def route(context: RequestContext, action: StartAttempt, now: float) -> Try:
    until = min(now + action.timeout, context.due) if action.timeout else context.due
    number = len(context.tries)
    attempt = Try(number=number, server=action.endpoint, sent=now, until=until, before=action.send_before)
    context.tries.append(attempt)
    return attempt
