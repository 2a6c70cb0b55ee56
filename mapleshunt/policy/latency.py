"""Smoothed estimates of latency."""

from __future__ import annotations

import math
from collections.abc import Mapping

from .settings import RequestClass

# Weight of the newest value in moving averages, of latency and of quota owners' replies.
ESTIMATE_SMOOTHING = 0.1
# Ratio of mean latency to objective above which the concurrency limit shrinks and below which it grows.
TARGET_LATENCY_RATIO = 0.35
# The same as a multiple of the best recent ratio: more in flight overloads endpoints and serves no more.
MAX_STRETCH_OVER_BEST = 2.2
# The best latency ratio rises this many times more slowly than a mean adapts, so that an old best expires.
BEST_RATIO_SLOWDOWN = 300
# Before any answer, a class's mean latency is taken to be its objective divided by this.
INITIAL_LATENCY_PART = 8


class LatencyEstimates:
    """Moving averages of latency, over all endpoints.

    Attributes:
        mean_by_class: Mean latency, ms, by class.
        mean: Mean latency over all classes, ms.
        ratio: Mean ratio of latency to the class's objective.
        best_ratio: The lowest recent `ratio`.
        measured_at: When the last answer came.
        recent_ratios: Endpoint tag and latency ratio of the last two answers, for gossip.
    """

    __slots__ = ("best_ratio", "mean", "mean_by_class", "measured_at", "ratio", "recent_ratios")

    def __init__(self, classes: Mapping[str, RequestClass]) -> None:
        self.mean_by_class = {
            name: request_class.latency_objective / INITIAL_LATENCY_PART
            for name, request_class in classes.items()
        }
        self.mean = sum(self.mean_by_class.values()) / len(self.mean_by_class)
        self.ratio = self.best_ratio = TARGET_LATENCY_RATIO / MAX_STRETCH_OVER_BEST
        self.measured_at = -math.inf
        self.recent_ratios: list[tuple[int, float]] = []

    def record(self, class_name: str, latency: float, ratio: float, now: float) -> None:
        """Record an answer: its latency in ms, and the ratio to its class's objective."""
        self.measured_at = now
        means = self.mean_by_class
        means[class_name] += ESTIMATE_SMOOTHING * (latency - means[class_name])
        self.mean += ESTIMATE_SMOOTHING * (latency - self.mean)
        self.ratio += ESTIMATE_SMOOTHING * (ratio - self.ratio)
        self.best_ratio = min(self.best_ratio * (1 + ESTIMATE_SMOOTHING / BEST_RATIO_SLOWDOWN), self.ratio)

    def record_from_peer(self, ratio: float) -> None:
        """Record a latency ratio from a peer: one gateway sees few answers, all together see many."""
        self.ratio += ESTIMATE_SMOOTHING / 2 * (ratio - self.ratio)

    def keep_ratio_for_gossip(self, endpoint_tag: int, ratio: float) -> None:
        """Keep an answer's latency ratio for the next message to a peer."""
        self.recent_ratios = [*self.recent_ratios[-1:], (endpoint_tag, ratio)]

    def recent_for_gossip(self, now: float) -> list[tuple[int, float]]:
        """Return the last answers' ratios unless they are older than the mean latency."""
        return self.recent_ratios if now - self.measured_at < self.mean else []

    def expected(self, request_class: RequestClass) -> float:
        """Return the ms that an answer is expected to take.

        At most half of the objective: otherwise an overload would reject every request, and no answer would
        lower the estimate.
        """
        return min(self.mean_by_class[request_class.name], request_class.latency_objective / 2)
