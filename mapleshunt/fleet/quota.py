"""A customer's quota as one observer that sees every request would account for it."""

from __future__ import annotations

MS_PER_SECOND = 1000


class TokenBucket:
    """A token bucket that starts full and may be settled below zero. Times are in ms.

    A bucket without a rate has no limit.
    """

    __slots__ = ("burst", "level", "rate", "refilled_at")

    def __init__(self, rate: float, burst: float) -> None:
        """Args: `rate` in units a second, `burst` in units."""
        self.rate = rate / MS_PER_SECOND  # units a ms
        self.burst = burst
        self.level = burst
        self.refilled_at = 0.0

    def refill(self, now: float) -> float:
        """Add what accrued until `now` and return the level."""
        if now > self.refilled_at:
            self.level = min(self.burst, self.level + self.rate * (now - self.refilled_at))
            self.refilled_at = now
        return self.level

    def try_take(self, now: float, units: float) -> bool:
        """Take the units if the bucket holds them; return whether it did."""
        if not self.rate:
            return True
        available = self.refill(now) >= units
        if available:
            self.level -= units
        return available

    def settle(self, now: float, difference: float) -> None:
        """Charge the difference of the true units to those taken; below zero it is a refund."""
        if self.rate:
            self.level = min(self.burst, self.refill(now) - difference)
