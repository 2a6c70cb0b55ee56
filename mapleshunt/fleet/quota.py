"""A customer's quota, accounted for by one observer of all requests."""

from __future__ import annotations

MS_PER_SECOND = 1000


class TokenBucket:
    """A token bucket that starts full; a settlement may lower it below zero. Times are in ms.

    A bucket with a rate of 0 has no limit.
    """

    __slots__ = ("burst", "level", "rate", "refilled_at")

    def __init__(self, rate: float, burst: float) -> None:
        """Args: `rate` in units per second, `burst` in units."""
        self.rate = rate / MS_PER_SECOND  # units per ms
        self.burst = burst
        self.level = burst
        self.refilled_at = 0.0

    def refill(self, now: float) -> float:
        """Add the units accrued by `now` and return the level."""
        if now > self.refilled_at:
            self.level = min(self.burst, self.level + self.rate * (now - self.refilled_at))
            self.refilled_at = now
        return self.level

    def try_take(self, now: float, units: float) -> bool:
        """Take the units if the bucket holds them; return whether they were taken."""
        if not self.rate:
            return True
        available = self.refill(now) >= units
        if available:
            self.level -= units
        return available

    def settle(self, now: float, difference: float) -> None:
        """Charge the difference between true and taken units; a negative difference is refunded."""
        if self.rate:
            self.level = min(self.burst, self.refill(now) - difference)
