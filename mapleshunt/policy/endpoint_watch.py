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

# Part of the time within which discovery has to be polled that is waited after an error: a failing service is
# not helped by a storm of polls.
POLL_BACKOFF_PART = 1 / 4
# Attempts that the allowance of an endpoint that is warming up holds at most.
MAX_ALLOWANCE = 1.0


class EndpointWatch:
    """Keeps the endpoints up to the endpoint list."""

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
        """Take in an update; attempts at endpoints that are gone are migrated."""
        if update.kind == "error":
            at = now + self._settings.discovery_poll_within * POLL_BACKOFF_PART
            self._timers.set(at, TimerKind.POLL_DISCOVERY, 0)
            return
        endpoints = self._endpoints
        for info in endpoints.merge(update):
            endpoints.add(self._started(info, now))
        endpoints.refresh_ready()
        for gone in endpoints.gone_in_flight():
            self._retries.migrate_attempts(gone, now)
        endpoints.forget_gone()

    def _started(self, info: EndpointInfo, now: float) -> Endpoint:
        """Return an endpoint that is new or has started anew; its first allowance is drawn at random."""
        allowance = TokenBucket(0.0, MAX_ALLOWANCE, self._random.random(), now)
        ratio = self._latency.best_ratio
        return Endpoint(info, info.up_since(now), now, ratio, allowance, started=info.started)

    def _poll(self, _key: int, _now: float) -> None:
        self._actions.append(WatchEndpoints())
