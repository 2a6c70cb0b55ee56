"""The choice of an endpoint: least outstanding requests, weighted by estimated latency."""

from __future__ import annotations

import random

from .customers import PendingRequest
from .endpoints import Endpoint, EndpointTable
from .latency import LatencyEstimates
from .settings import Settings
from .slow_start import SlowStart

# Endpoints drawn at random and compared: this times the candidates per gateway, but at least MIN_CHOICES. A
# sample keeps gateways from all choosing the same endpoint, and takes less CPU.
CHOICES_PER_ENDPOINT_SHARE = 4
MIN_CHOICES = 2
# Load factor of an endpoint in another zone: decides only between nearly equal loads.
OTHER_ZONE_LOAD_FACTOR = 1.1
# Range of the random factor on loads, so that the choice between equal ones is random.
MIN_JITTER, MAX_JITTER = 0.95, 1.05


class LoadBalancer:
    """Chooses the endpoint of an attempt."""

    __slots__ = ("_endpoints", "_latency", "_random", "_settings", "_slow_start")

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointTable,
        slow_start: SlowStart,
        latency: LatencyEstimates,
        rng: random.Random,
    ) -> None:
        self._settings, self._endpoints = settings, endpoints
        self._slow_start, self._latency, self._random = slow_start, latency, rng

    def choose(
        self, request: PendingRequest, endpoint_filter: tuple[tuple[str, object], ...], now: float
    ) -> Endpoint | None:
        """Return the endpoint for the request's next attempt, or None if there is none."""
        may_send = self._slow_start.may_send
        pool = [
            endpoint
            for endpoint in self._endpoints.ready
            if (not endpoint.up_since or may_send(endpoint, now))
            and all(getattr(endpoint.info, name) == value for name, value in endpoint_filter)
        ]
        untried = pool
        if request.attempts:
            tried = [attempt.endpoint for attempt in request.attempts]
            untried = [endpoint for endpoint in pool if not any(endpoint is other for other in tried)]
        # After an ejection has ended, its endpoint gets one attempt at a time until it answers.
        healthy = [
            endpoint
            for endpoint in untried
            if endpoint.ejected_until <= now and not (endpoint.ejections and endpoint.in_flight)
        ]
        candidates = healthy or untried or pool  # if all are ejected, they are used
        capacity_fraction = self._slow_start.capacity_fraction
        warming_up = [
            endpoint for endpoint in candidates if endpoint.up_since and capacity_fraction(endpoint, now) < 1
        ]
        candidates = warming_up or candidates  # allowances are meant for use at once
        if not candidates:
            return None
        return self._least_loaded(candidates, now)

    def _least_loaded(self, candidates: list[Endpoint], now: float) -> Endpoint:
        scaled_choices = CHOICES_PER_ENDPOINT_SHARE * len(candidates) // self._settings.gateway_count
        choices = min(max(MIN_CHOICES, scaled_choices), len(candidates))
        drawn = self._random.sample(candidates, choices)
        loads = [self._load(endpoint, now) for endpoint in drawn]
        return drawn[loads.index(min(loads))]

    def _load(self, endpoint: Endpoint, now: float) -> float:
        jitter = self._random.uniform(MIN_JITTER, MAX_JITTER)
        jitter *= OTHER_ZONE_LOAD_FACTOR if endpoint.info.zone != self._settings.zone else 1.0
        latency = self._latency
        waiting_factor = 1 + endpoint.unanswered_wait(now) / latency.mean
        latency_ratio = max(endpoint.latency_ratio, latency.best_ratio)
        return (len(endpoint.in_flight) + 1) * latency_ratio * waiting_factor * jitter
