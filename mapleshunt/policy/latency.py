"""Smoothed estimates of latency."""

from __future__ import annotations

import math
from collections.abc import Mapping

from .settings import RequestClass

# Weight of the newest value in moving averages, of latency and of what quota owners reply.
ESTIMATE_SMOOTHING = 0.1
# Mean latency over the objective above which the concurrency limit shrinks, below which it grows.
TARGET_LATENCY_RATIO = 0.35
# The same, over the best mean of late: more in flight overdrives endpoints and serves no more.
MAX_STRETCH_OVER_BEST = 2.2
# The best latency ratio is forgotten this many times more slowly than the mean, so that it is one of late.
BEST_RATIO_SLOWDOWN = 300
# Part of a class's latency objective that its mean latency is taken for before any answer.
INITIAL_LATENCY_PART = 8


class LatencyEstimates:
    """What answers took of late, at all endpoints together.

    Attributes:
        mean_by_class: Mean latency, ms, by class.
        mean: Mean latency over all classes, ms.
        ratio: Mean of latency over the class's objective.
        best_ratio: The lowest `ratio` of late.
        measured_at: When the last answer came.
        recent_ratios: Endpoint tag and latency ratio of the last two answers, for gossip.
    """

    __slots__ = ("best_ratio", "mean", "mean_by_class", "measured_at", "ratio", "recent_ratios")

    def __init__(self, classes: Mapping[str, RequestClass]) -> None:
        self.mean_by_class = {
            name: one.latency_objective / INITIAL_LATENCY_PART for name, one in classes.items()
        }
        self.mean = sum(self.mean_by_class.values()) / len(self.mean_by_class)
        self.ratio = self.best_ratio = TARGET_LATENCY_RATIO / MAX_STRETCH_OVER_BEST
        self.measured_at = -math.inf
        self.recent_ratios: list[tuple[int, float]] = []

    def record(self, class_name: str, latency: float, ratio: float, now: float) -> None:
        """Take in an answer: its latency in ms, and that over its class's objective."""
        self.measured_at = now
        means = self.mean_by_class
        means[class_name] += ESTIMATE_SMOOTHING * (latency - means[class_name])
        self.mean += ESTIMATE_SMOOTHING * (latency - self.mean)
        self.ratio += ESTIMATE_SMOOTHING * (ratio - self.ratio)
        self.best_ratio = min(self.best_ratio * (1 + ESTIMATE_SMOOTHING / BEST_RATIO_SLOWDOWN), self.ratio)

    def record_from_peer(self, ratio: float) -> None:
        """Take in a peer's answer: few are seen here and many at all gateways."""
        self.ratio += ESTIMATE_SMOOTHING / 2 * (ratio - self.ratio)

    def remember_ratio(self, endpoint_tag: int, ratio: float) -> None:
        """Keep an answer's latency ratio for the next message to a peer."""
        self.recent_ratios = [*self.recent_ratios[-1:], (endpoint_tag, ratio)]

    def recent_for_gossip(self, now: float) -> list[tuple[int, float]]:
        """Return the last answers' ratios, if they are fresh."""
        return self.recent_ratios if now - self.measured_at < self.mean else []

    def expected(self, request_class: RequestClass) -> float:
        """Return the ms that an answer is expected to take.

        At most half of the objective: otherwise an overload would reject all that would end it.
        """
        return min(self.mean_by_class[request_class.name], request_class.latency_objective / 2)
