"""The choice of an endpoint: least outstanding requests against estimated speed."""

from __future__ import annotations

import random

from .customers import PendingRequest
from .endpoints import Endpoint, EndpointTable
from .latency import LatencyEstimates
from .settings import Settings
from .slow_start import SlowStart

# Endpoints over gateways, times this, are compared, two at least, drawn at random: no herd, and less CPU.
CHOICES_PER_ENDPOINT_SHARE = 4
MIN_CHOICES = 2
# Load factor of an endpoint in another zone: decides between near equals only.
OTHER_ZONE_LOAD_FACTOR = 1.1
# Loads are multiplied by a number from this range, so that equal ones are chosen by chance.
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
        """Return the endpoint for the request's next attempt; None if there is none."""
        may_send = self._slow_start.may_send
        pool = [
            one
            for one in self._endpoints.ready
            if (not one.up_since or may_send(one, now))
            and all(getattr(one.info, name) == value for name, value in endpoint_filter)
        ]
        untried = pool
        if request.attempts:
            tried = [one.endpoint for one in request.attempts]
            untried = [one for one in pool if not any(one is other for other in tried)]
        # An ejected endpoint whose time is up gets one attempt at a time until it answers.
        healthy = [
            one for one in untried if one.ejected_until <= now and not (one.ejections and one.in_flight)
        ]
        candidates = healthy or untried or pool  # never is everything ejected
        capacity_fraction = self._slow_start.capacity_fraction
        warming_up = [one for one in candidates if one.up_since and capacity_fraction(one, now) < 1]
        candidates = warming_up or candidates  # an allowance is for use at once
        if not candidates:
            return None
        return self._least_loaded(candidates, now)

    def _least_loaded(self, candidates: list[Endpoint], now: float) -> Endpoint:
        share = CHOICES_PER_ENDPOINT_SHARE * len(candidates) // self._settings.gateway_count
        choices = min(max(MIN_CHOICES, share), len(candidates))
        drawn = self._random.sample(candidates, choices)
        loads = [self._load(one, now) for one in drawn]
        return drawn[loads.index(min(loads))]

    def _load(self, endpoint: Endpoint, now: float) -> float:
        jitter = self._random.uniform(MIN_JITTER, MAX_JITTER)
        jitter *= OTHER_ZONE_LOAD_FACTOR if endpoint.info.zone != self._settings.zone else 1.0
        latency = self._latency
        doubt = 1 + endpoint.unanswered_wait(now) / latency.mean
        speed = max(endpoint.latency_ratio, latency.best_ratio)
        return (len(endpoint.in_flight) + 1) * speed * doubt * jitter
