"""Confidence intervals. Runs of two variants share seeds, so variants are compared by paired differences.

The intervals use Student's t, not a bootstrap: with 5 to 30 runs a percentile bootstrap's intervals are too
short, and differences of means over many requests are close to normal.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Literal

import numpy as np
from scipy import stats

CONFIDENCE_LEVEL = 0.95


@dataclass(slots=True, frozen=True)
class Interval:
    """A mean with its two-sided interval; the ends are infinite for the mean of a single value."""

    mean: float
    low: float
    high: float

    def as_dict(self) -> dict[str, float]:
        """Return the interval for JSON."""
        return asdict(self)


def interval(values: Sequence[float], level: float = CONFIDENCE_LEVEL) -> Interval:
    """Return the mean of independent values with its t interval. Raises ValueError if there are none."""
    if not len(values):
        raise ValueError("an interval needs at least one value, got none")
    mean = float(np.mean(values))
    if len(values) < 2:
        return Interval(mean, -math.inf, math.inf)
    half_width = float(np.std(values, ddof=1)) / math.sqrt(len(values))
    half_width *= float(stats.t.ppf(0.5 + level / 2, len(values) - 1))
    return Interval(mean, mean - half_width, mean + half_width)


def prediction(values: Sequence[float], level: float = 0.9) -> Interval:
    """Return the mean and a distribution-free prediction interval for one further value.

    A further value lies between the k-th least and the k-th greatest of n values with probability
    1 - 2 k / (n + 1) (Wilks, 1941); k is the greatest for which that is at least `level`. Raises ValueError
    if there are too few values for k = 1.
    """
    rank = int((len(values) + 1) * (1 - level) / 2 + 1e-9)
    if rank < 1:
        raise ValueError(f"{len(values)} values are too few for a prediction interval at {level:.0%}")
    ordered = sorted(values)
    return Interval(float(np.mean(values)), float(ordered[rank - 1]), float(ordered[-rank]))


def verdict(difference: Interval) -> Literal["a", "b", "none"]:
    """Return which of two variants serves more, or "none" if unclear; `difference` is b minus a."""
    if difference.low > 0:
        return "b"
    return "a" if difference.high < 0 else "none"
