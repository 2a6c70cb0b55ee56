"""Admit: pass a request to the policy, or reject it at the limit of open requests."""

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
        max_open_requests: limit on requests that await a response, which bounds memory.
        retry_after_ms: if above 0, reject the request, which may be retried then on another connection.
    """
    driver.counters.add("requests_taken")
    # The request was not sent to an endpoint, so a retry is harmless.
    if retry_after_ms or len(driver.open_requests) >= max_open_requests:
        respond.reject(context, retry_after_ms or driver.settings.max_retry_after, driver.counters)
        driver.release(context)
    else:
        driver.submit(context)
