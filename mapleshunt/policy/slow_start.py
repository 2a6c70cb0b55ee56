"""Slow start: how much of its full capacity an endpoint that has just started has, and may be sent.

All gateways send to the same endpoint, so each sends its part of what warm endpoints answer.
"""

from __future__ import annotations

from .endpoints import Endpoint, EndpointTable
from .exponential_decay import ExponentialDecay
from .settings import Settings

# Times the endpoint's part of full capacity that it is sent, or what it bears by the settings over this: most
# endpoints warm up sooner than the settings promise.
SLOW_START_OVERSEND = 1.5
# Over how many parts of the slow start's duration, and at least how many ms, answers are counted.
ANSWER_SPAN_PARTS = 4
MIN_ANSWER_SPAN_MS = 1000.0


class SlowStart:
    """What endpoints that are warming up may be sent.

    Attributes:
        answers_per_warm_endpoint: Recent answers of one warm endpoint.
    """

    __slots__ = ("_endpoints", "_settings", "answers_per_warm_endpoint")

    def __init__(self, settings: Settings, endpoints: EndpointTable, now: float) -> None:
        self._settings, self._endpoints = settings, endpoints
        self.answers_per_warm_endpoint = ExponentialDecay(answer_span(settings), 0.0, now)

    def capacity_fraction(self, endpoint: Endpoint, now: float) -> float:
        """Return the part of its full capacity that the endpoint is sure to have now: 1 once it is warm."""
        return capacity_fraction(endpoint, self._settings, now)

    def may_send(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the endpoint's allowance has room for one more attempt.

        First allowances are drawn at random, because what counts is the sum over all gateways.
        """
        part = capacity_fraction(endpoint, self._settings, now)
        multiple = min(SLOW_START_OVERSEND, self._settings.overload_crash_multiple / SLOW_START_OVERSEND)
        endpoint.allowance.rate = multiple * part * self.answers_per_warm_endpoint.rate(now)
        return part >= 1 or endpoint.allowance.refill(now) >= 1

    def record_sent(self, endpoint: Endpoint, now: float) -> None:
        """Take an attempt off the allowance of an endpoint that is warming up."""
        if capacity_fraction(endpoint, self._settings, now) < 1:
            endpoint.allowance.level -= 1

    def record_answer(self, endpoint: Endpoint, now: float) -> None:
        """Count an answer of a warm endpoint, as one of all warm ones."""
        settings = self._settings
        if capacity_fraction(endpoint, settings, now) >= 1:
            warm = sum([capacity_fraction(one, settings, now) >= 1 for one in self._endpoints.ready])
            self.answers_per_warm_endpoint.add(now, 1 / max(1, warm))


def capacity_fraction(endpoint: Endpoint, settings: Settings, now: float) -> float:
    """Return the part of its full capacity that the endpoint is sure to have now: 1 once it is warm."""
    if not endpoint.up_since:
        return 1.0
    age = max(0.0, now - endpoint.up_since) / max(settings.slow_start_duration, 1.0)
    first = settings.slow_start_min_capacity
    return min(1.0, first + (1 - first) * age)


def answer_span(settings: Settings) -> float:
    """Return the ms over which answers are counted."""
    return max(settings.slow_start_duration / ANSWER_SPAN_PARTS, MIN_ANSWER_SPAN_MS)
