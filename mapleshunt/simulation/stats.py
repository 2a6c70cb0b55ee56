"""Intervals. Runs of two variants share seeds, so their difference is judged on paired differences.

Student's t on the pairs, not a bootstrap: with 5 to 30 runs a percentile bootstrap's intervals are too
short, and differences of a mean over many requests are close to normal.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Literal

import numpy as np
from scipy import stats

LEVEL = 0.95


@dataclass(slots=True, frozen=True)
class Interval:
    """A mean with its two-sided interval; both ends are the mean where there is one value only."""

    mean: float
    low: float
    high: float

    def as_dict(self) -> dict[str, float]:
        """Return the interval for JSON."""
        return asdict(self)


def interval(values: Sequence[float], level: float = LEVEL) -> Interval:
    """The mean of independent values with its t interval. Raises ValueError for none."""
    if not len(values):
        raise ValueError("no values")
    mean = float(np.mean(values))
    if len(values) < 2:
        return Interval(mean, -math.inf, math.inf)
    half = float(np.std(values, ddof=1)) / math.sqrt(len(values))
    half *= float(stats.t.ppf(0.5 + level / 2, len(values) - 1))
    return Interval(mean, mean - half, mean + half)


def prediction(values: Sequence[float], level: float = 0.9) -> Interval:
    """Where one further value of the same kind lies, whatever their distribution, and their mean.

    The k-th least and the k-th greatest of n values hold a further one between them with probability
    1 - 2 k / (n + 1) (Wilks, 1941); k is the greatest for which that is at least `level`. Raises ValueError
    for fewer values than that takes.
    """
    place = int((len(values) + 1) * (1 - level) / 2 + 1e-9)
    if place < 1:
        raise ValueError(f"{len(values)} values are too few for a prediction at {level:.0%}")
    ordered = sorted(values)
    return Interval(float(np.mean(values)), float(ordered[place - 1]), float(ordered[-place]))


def verdict(difference: Interval) -> Literal["a", "b", "none"]:
    """Which of two is shown to serve more; `difference` is b less a."""
    if difference.low > 0:
        return "b"
    return "a" if difference.high < 0 else "none"
