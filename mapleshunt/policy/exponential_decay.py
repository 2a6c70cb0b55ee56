"""A sum that decays exponentially."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class ExponentialDecay:
    """A sum of amounts that decay to 1/e in `time_constant` ms; `value` is as of `updated_at`."""

    time_constant: float
    value: float
    updated_at: float

    def add(self, now: float, amount: float = 0.0) -> float:
        """Decay the sum until `now`, add an amount, and return it."""
        self.value = self.value * math.exp((self.updated_at - now) / self.time_constant) + amount
        self.updated_at = now
        return self.value

    def rate(self, now: float) -> float:
        """Return the recent amount per ms."""
        return self.add(now) / self.time_constant
