"""Watch events of the endpoint list."""

from __future__ import annotations

import random

from .actions import Action, WatchEndpoints
from .endpoints import Endpoint, EndpointTable
from .events import EndpointInfo, EndpointUpdate
from .latency import LatencyEstimates
from .retry import Retries
from .settings import Settings
from .timers import TimerKind, TimerQueue
from .token_bucket import TokenBucket

# Fraction of `discovery_poll_within` to wait before the next poll after an error, so that a failing discovery
# service does not get a storm of polls.
POLL_BACKOFF_PART = 1 / 4
# Maximum of the allowance of an endpoint that is warming up, in attempts.
MAX_ALLOWANCE = 1.0


class EndpointWatch:
    """Applies the endpoint list to the endpoint table."""

    __slots__ = ("_actions", "_endpoints", "_latency", "_random", "_retries", "_settings", "_timers")

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointTable,
        retries: Retries,
        latency: LatencyEstimates,
        timers: TimerQueue,
        rng: random.Random,
        actions: list[Action],
    ) -> None:
        self._settings, self._endpoints, self._retries = settings, endpoints, retries
        self._latency, self._timers, self._random = latency, timers, rng
        self._actions = actions
        timers.on(TimerKind.POLL_DISCOVERY, self._poll)

    def update_endpoints(self, update: EndpointUpdate, now: float) -> None:
        """Apply an update and migrate attempts at gone endpoints; poll again after an error."""
        if update.kind == "error":
            poll_at = now + self._settings.discovery_poll_within * POLL_BACKOFF_PART
            self._timers.set(poll_at, TimerKind.POLL_DISCOVERY, 0)
            return
        endpoints = self._endpoints
        for info in endpoints.merge(update):
            endpoints.add(self._new_endpoint(info, now))
        endpoints.refresh_ready()
        for endpoint in endpoints.gone_with_attempts():
            self._retries.migrate_attempts(endpoint, now)
        endpoints.remove_gone()

    def _new_endpoint(self, info: EndpointInfo, now: float) -> Endpoint:
        """Return an endpoint that is new or has restarted; its initial allowance is random."""
        allowance = TokenBucket(0.0, MAX_ALLOWANCE, self._random.random(), now)
        ratio = self._latency.best_ratio
        return Endpoint(info, info.up_since(now), now, ratio, allowance, started=info.started)

    def _poll(self, _key: int, _now: float) -> None:
        self._actions.append(WatchEndpoints())
