"""Slow start: the capacity of an endpoint that has just started, and the rate of attempts at it.

All gateways send to the same endpoint, so each derives its rate from the answers it gets per warm endpoint.
"""

from __future__ import annotations

from .endpoints import Endpoint, EndpointTable
from .exponential_decay import ExponentialDecay
from .settings import Settings

# An endpoint is sent this many times its present capacity, because most warm up sooner than the settings
# promise; at most `overload_crash_multiple` divided by this.
SLOW_START_OVERSEND = 1.5
# Answers are counted over the duration of slow start divided by this, but at least MIN_ANSWER_SPAN_MS.
ANSWER_SPAN_PARTS = 4
MIN_ANSWER_SPAN_MS = 1000.0


class SlowStart:
    """Limits attempts at endpoints that are warming up.

    Attributes:
        answers_per_warm_endpoint: Recent answers to this gateway per warm endpoint.
    """

    __slots__ = ("_endpoints", "_settings", "answers_per_warm_endpoint")

    def __init__(self, settings: Settings, endpoints: EndpointTable, now: float) -> None:
        self._settings, self._endpoints = settings, endpoints
        self.answers_per_warm_endpoint = ExponentialDecay(answer_span(settings), 0.0, now)

    def capacity_fraction(self, endpoint: Endpoint, now: float) -> float:
        """Return the fraction of its full capacity that the endpoint has at least now: 1 once it is warm."""
        return capacity_fraction(endpoint, self._settings, now)

    def may_send(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the endpoint is warm or has an allowance of at least one attempt.

        Initial allowances are random, because what counts is the sum over all gateways.
        """
        fraction = capacity_fraction(endpoint, self._settings, now)
        multiple = min(SLOW_START_OVERSEND, self._settings.overload_crash_multiple / SLOW_START_OVERSEND)
        endpoint.allowance.rate = multiple * fraction * self.answers_per_warm_endpoint.rate(now)
        return fraction >= 1 or endpoint.allowance.refill(now) >= 1

    def record_sent(self, endpoint: Endpoint, now: float) -> None:
        """Deduct an attempt from the allowance of an endpoint that is warming up."""
        if capacity_fraction(endpoint, self._settings, now) < 1:
            endpoint.allowance.level -= 1

    def record_answer(self, endpoint: Endpoint, now: float) -> None:
        """Count an answer of a warm endpoint, divided by the number of warm ones."""
        settings = self._settings
        if capacity_fraction(endpoint, settings, now) >= 1:
            warm = sum([capacity_fraction(other, settings, now) >= 1 for other in self._endpoints.ready])
            self.answers_per_warm_endpoint.add(now, 1 / max(1, warm))


def capacity_fraction(endpoint: Endpoint, settings: Settings, now: float) -> float:
    """Return the fraction of its full capacity that the endpoint has at least now: 1 once it is warm."""
    if not endpoint.up_since:
        return 1.0
    age = max(0.0, now - endpoint.up_since) / max(settings.slow_start_duration, 1.0)
    initial = settings.slow_start_min_capacity
    return min(1.0, initial + (1 - initial) * age)


def answer_span(settings: Settings) -> float:
    """Return the time constant with which answers are counted, ms."""
    return max(settings.slow_start_duration / ANSWER_SPAN_PARTS, MIN_ANSWER_SPAN_MS)
