"""A token bucket."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class TokenBucket:
    """A token bucket that is refilled when it is read.

    Attributes:
        rate: Refill rate, units per ms.
        burst: Maximum level, units.
        level: Units that it held at `updated_at`; below 0 if more were taken than it held.
        updated_at: ms on the host's clock.
    """

    rate: float
    burst: float
    level: float
    updated_at: float

    def refill(self, now: float) -> float:
        """Refill the bucket up to `now` and return its level."""
        self.level = min(self.burst, self.level + self.rate * (now - self.updated_at))
        self.updated_at = now
        return self.level

    def scaled(self, rate_factor: float, burst_factor: float) -> TokenBucket:
        """Return an empty bucket with the given fractions of this one's rate and burst."""
        return TokenBucket(self.rate * rate_factor, self.burst * burst_factor, 0.0, self.updated_at)
