"""Slow start: how much of its full capacity a server that has just started is sure to have, and may be sent.

No I/O and no clock. All gateways send to the same server, so each sends its part of what warm servers answer.
"""

from __future__ import annotations

from .settings import Settings
from .state import Server

# Times the server's part of full capacity that it is sent, or what it bears by the settings over this: most
# servers warm sooner than the settings promise.
OVERSEND = 1.5


def capacity(server: Server, settings: Settings, now: float) -> float:
    """The part of its full capacity that the server is sure to have now: 1 once it is warm."""
    if not server.since:
        return 1.0
    age = max(0.0, now - server.since) / max(settings.slow_start_duration, 1.0)
    return min(1.0, settings.slow_start_min_capacity + (1 - settings.slow_start_min_capacity) * age)


def may_send(server: Server, settings: Settings, now: float, warm_rate: float) -> bool:
    """Has the server's allowance room for one more attempt? `warm_rate`: attempts a ms that a warm server
    answers. First allowances are drawn at random, because what counts is the sum over all gateways.
    """
    part = capacity(server, settings, now)
    server.allowance.rate = min(OVERSEND, settings.overload_crash_multiple / OVERSEND) * part * warm_rate
    return part >= 1 or server.allowance.fill(now) >= 1
