"""The limit on attempts in flight, which follows what the endpoints answer."""

from __future__ import annotations

import math

from .endpoints import EndpointTable
from .latency import MAX_STRETCH_OVER_BEST, TARGET_LATENCY_RATIO, LatencyEstimates
from .settings import Settings
from .slow_start import SlowStart

# Slots an endpoint that all gateways together start with (the paper's pool is 10 a core).
INITIAL_CONCURRENCY_PER_ENDPOINT = 8.0
# Of these each gateway has 1 / gateway_count to this power: the less it sees, the more that varies.
GATEWAY_SHARE_EXPONENT = 0.75
# Slots an endpoint that all gateways together keep at least, so that no overload idles the back end.
MIN_CONCURRENCY_PER_ENDPOINT = 3.0
# The limit grows to this many times the initial one at most.
MAX_GROWTH_OVER_INITIAL = 3
# Factor on the slots in use for a full endpoint or slow answers, once in a mean latency.
SHRINK_FACTOR = 0.9


class ConcurrencyLimit:
    """Slots for attempts in flight.

    Attributes:
        per_endpoint: Slots that a warm endpoint counts for.
        initial_per_endpoint: The same, at the start.
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
        """Return the slots in use and in all.

        Ejected endpoints count in neither: an attempt that hangs keeps no slot shut.
        """
        usable = [one for one in self._endpoints.ready if one.ejected_until <= now]
        used = sum([len(one.in_flight) for one in usable])
        capacity_fraction = self._slow_start.capacity_fraction
        parts = sum([capacity_fraction(one, now) if one.up_since else 1.0 for one in usable])
        return used, max(1.0, self.per_endpoint * parts)

    def adapt(self, now: float) -> None:
        """Follow the newest answer: shrink while answers are slow, else grow."""
        latency = self._latency
        if latency.ratio > min(TARGET_LATENCY_RATIO, MAX_STRETCH_OVER_BEST * latency.best_ratio):
            self.shrink(now)
        else:
            # By what it holds: some gateways meet most of the requests.
            base = max(self.per_endpoint, self.initial_per_endpoint / 3)
            step = base * 2 / INITIAL_CONCURRENCY_PER_ENDPOINT
            grown = self.per_endpoint + step / self.slots(now)[1]
            self.per_endpoint = min(MAX_GROWTH_OVER_INITIAL * self.initial_per_endpoint, grown)

    def restore(self, per_endpoint: float) -> None:
        """Go on from the limit of an earlier process, within the bounds of this one."""
        self.per_endpoint = min(per_endpoint, MAX_GROWTH_OVER_INITIAL * self.initial_per_endpoint)

    def shrink(self, now: float) -> None:
        """Shrink from the slots in use: an ample limit binds at the first slow answers."""
        if now - self._shrunk_at > self._latency.mean:
            used, slots = self.slots(now)
            self._shrunk_at = now
            least = MIN_CONCURRENCY_PER_ENDPOINT / self._settings.gateway_count
            self.per_endpoint = max(least, min(1.0, (used + 1) / slots) * self.per_endpoint * SHRINK_FACTOR)
