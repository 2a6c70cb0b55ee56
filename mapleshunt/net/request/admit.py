"""Admit: put a request before the decisions, unless more are held than the settings allow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import respond
from .context import RequestContext

if TYPE_CHECKING:
    from ..policy_driver import PolicyDriver


def admit(context: RequestContext, driver: PolicyDriver, most: int, elsewhere: float = 0.0) -> None:
    """`elsewhere`: ms after which it may ask on another connection, where this one takes no more; else 0."""
    driver.counters.add("requests_taken")
    if (
        elsewhere or len(driver.open_requests) >= most
    ):  # memory is bounded; nothing was sent: asking again is harmless
        respond.reject(context, elsewhere or driver.settings.max_retry_after, driver.counters)
        driver.release(context)
    else:
        driver.submit(context)
