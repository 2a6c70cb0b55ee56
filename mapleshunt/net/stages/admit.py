"""Admit: put a request before the decisions, unless more are held than the settings allow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..context import RequestContext
from . import relay

if TYPE_CHECKING:
    from ..driver import Driver


def admit(context: RequestContext, driver: Driver, most: int) -> None:
    driver.counters.add("requests_taken")
    if len(driver.open) >= most:  # memory is bounded; nothing was sent, so asking again is harmless
        relay.reject(context, driver.settings.max_retry_after, driver.counters)
        driver.over(context)
    else:
        driver.take(context)
