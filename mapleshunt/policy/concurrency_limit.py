"""The limit on attempts in flight, adapted to the answers of endpoints."""

from __future__ import annotations

import math

from .endpoints import EndpointTable
from .latency import MAX_STRETCH_OVER_BEST, TARGET_LATENCY_RATIO, LatencyEstimates
from .settings import Settings
from .slow_start import SlowStart

# Initial slots per endpoint, over all gateways (the paper's pool is 10 per core).
INITIAL_CONCURRENCY_PER_ENDPOINT = 8.0
# A gateway starts with the above divided by gateway_count to this power. It is below 1 because the fewer
# requests a gateway receives, the more their number varies.
GATEWAY_SHARE_EXPONENT = 0.75
# Minimum slots per endpoint, over all gateways, so that an overload never leaves the backends idle.
MIN_CONCURRENCY_PER_ENDPOINT = 3.0
# Upper bound of the limit, as a multiple of the initial one.
MAX_GROWTH_OVER_INITIAL = 3
# Factor on the slots in use when an endpoint is full or answers are slow, at most once per mean latency.
SHRINK_FACTOR = 0.9


class ConcurrencyLimit:
    """Slots for attempts in flight.

    Attributes:
        per_endpoint: Slots per warm endpoint.
        initial_per_endpoint: The initial value of `per_endpoint`.
    """

    __slots__ = (
        "_endpoints",
        "_latency",
        "_settings",
        "_shrunk_at",
        "_slow_start",
        "initial_per_endpoint",
        "per_endpoint",
    )

    def __init__(
        self, settings: Settings, endpoints: EndpointTable, slow_start: SlowStart, latency: LatencyEstimates
    ) -> None:
        self._settings, self._endpoints = settings, endpoints
        self._slow_start, self._latency = slow_start, latency
        initial = INITIAL_CONCURRENCY_PER_ENDPOINT / settings.gateway_count**GATEWAY_SHARE_EXPONENT
        self.per_endpoint = self.initial_per_endpoint = initial
        self._shrunk_at = -math.inf

    def slots(self, now: float) -> tuple[int, float]:
        """Return the number of slots in use and of all slots.

        Ejected endpoints count in neither, so that a hanging attempt occupies no slot.
        """
        usable = [endpoint for endpoint in self._endpoints.ready if endpoint.ejected_until <= now]
        used = sum([len(endpoint.in_flight) for endpoint in usable])
        capacity_fraction = self._slow_start.capacity_fraction
        capacity = sum(
            [capacity_fraction(endpoint, now) if endpoint.up_since else 1.0 for endpoint in usable]
        )
        return used, max(1.0, self.per_endpoint * capacity)

    def adapt(self, now: float) -> None:
        """Shrink the limit after an answer if answers are slow, else grow it."""
        latency = self._latency
        if latency.ratio > min(TARGET_LATENCY_RATIO, MAX_STRETCH_OVER_BEST * latency.best_ratio):
            self.shrink(now)
        else:
            # In proportion to the present limit, because some gateways receive most of the requests.
            base = max(self.per_endpoint, self.initial_per_endpoint / 3)
            step = base * 2 / INITIAL_CONCURRENCY_PER_ENDPOINT
            grown = self.per_endpoint + step / self.slots(now)[1]
            self.per_endpoint = min(MAX_GROWTH_OVER_INITIAL * self.initial_per_endpoint, grown)

    def restore(self, per_endpoint: float) -> None:
        """Continue with the limit of an earlier process, up to the maximum of this one."""
        self.per_endpoint = min(per_endpoint, MAX_GROWTH_OVER_INITIAL * self.initial_per_endpoint)

    def shrink(self, now: float) -> None:
        """Shrink the limit from the slots in use, so that an ample one binds at the first slow answers."""
        if now - self._shrunk_at > self._latency.mean:
            used, slots = self.slots(now)
            self._shrunk_at = now
            minimum = MIN_CONCURRENCY_PER_ENDPOINT / self._settings.gateway_count
            self.per_endpoint = max(minimum, min(1.0, (used + 1) / slots) * self.per_endpoint * SHRINK_FACTOR)
