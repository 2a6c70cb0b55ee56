"""Quotas as one gateway that sees everything would hold them: what the score and the overuse go by."""

from __future__ import annotations


class TokenBucket:
    """A customer's store: `rate` units a second, at most `burst`; starts full, may be settled below 0."""

    __slots__ = ("burst", "level", "rate", "refilled_at")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.level, self.refilled_at = rate / 1000, burst, burst, 0.0

    def refill(self, now: float) -> float:
        if now > self.refilled_at:
            self.level = min(self.burst, self.level + self.rate * (now - self.refilled_at))
            self.refilled_at = now
        return self.level

    def try_take(self, now: float, units: float) -> bool:
        """Is a try of so many units inside the quota? Then it takes them."""
        if not self.rate:
            return True
        inside = self.refill(now) >= units
        if inside:
            self.level -= units
        return inside

    def settle(self, now: float, more: float) -> None:
        """The true units were so many more than those taken (or fewer, below 0)."""
        if self.rate:
            self.level = min(self.burst, self.refill(now) - more)
