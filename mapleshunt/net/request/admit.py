"""Admit: hand a request to the policy, unless more are open than the settings allow."""

from __future__ import annotations

from ..policy_driver import PolicyDriver
from . import respond
from .context import RequestContext


def admit(
    context: RequestContext, driver: PolicyDriver, max_open_requests: int, retry_after_ms: float = 0.0
) -> None:
    """Submit the request, or reject it at once.

    Args:
        context: the request.
        driver: the driver of the policy that decides on it.
        max_open_requests: bound on the requests that await a response, and so on memory.
        retry_after_ms: when it may be sent on another connection, if its own takes no more requests; else 0.
    """
    driver.counters.add("requests_taken")
    # Nothing of it was sent, so that a retry does no harm.
    if retry_after_ms or len(driver.open_requests) >= max_open_requests:
        respond.reject(context, retry_after_ms or driver.settings.max_retry_after, driver.counters)
        driver.release(context)
    else:
        driver.submit(context)
