"""Leased units of a customer's quota, which may be used here without asking anybody."""

from __future__ import annotations

from .token_bucket import TokenBucket

# The lease without units, by which the replicas say that they answer.
KEEPALIVE_LEASE_ID = 0


class QuotaLeases:
    """The leases that one customer has at this gateway."""

    __slots__ = ("_bucket", "_leases", "_owed_units")

    def __init__(self, bucket: TokenBucket) -> None:
        """`bucket` is what the customer's quota falls back on when no lease is in force."""
        self._bucket = bucket
        self._leases: dict[int, tuple[float, float]] = {}  # units left and expiry, by lease id
        self._owed_units = 0.0  # units used while no lease was in force

    def __len__(self) -> int:
        """Return the number of leases, those that have expired included."""
        return len(self._leases)

    def grant(self, lease_id: int, units: float, expires_at: float, now: float) -> None:
        """Add or renew a lease.

        If the replicas fall silent, the customer's own bucket goes on from the level of the last keepalive:
        it did not fill up meanwhile.
        """
        if lease_id == KEEPALIVE_LEASE_ID:
            # True costs above the estimate were taken off it, where it was the last to expire: they are owed.
            self._owed_units += max(0.0, -self.units_left(KEEPALIVE_LEASE_ID))
            self._bucket.level = min(self._bucket.refill(now), 0.0)
        self._leases[lease_id] = (units, expires_at)

    def available(self, now: float) -> float | None:
        """Return the units that may be used by the leases in force; None if there are none."""
        if not self._leases:
            return None
        in_force = [units for units, expires_at in self._leases.values() if expires_at > now]
        return sum(in_force) if in_force else None

    def spend(self, now: float, units: float) -> bool:
        """Take units (below 0: give back) off the leases in force, the first to expire first.

        Returns:
            Whether a lease is in force; if none is, the units are owed.
        """
        if not self._leases:
            self._owed_units += units
            return False
        in_force = sorted((expiry, number) for number, (_, expiry) in self._leases.items() if expiry > now)
        if not in_force:
            self._owed_units += units
            return False
        last_id = in_force[-1][1]
        for expires_at, lease_id in in_force:
            left = self._leases[lease_id][0]
            taken = units if lease_id == last_id else min(units, max(left, 0.0))
            self._leases[lease_id] = (left - taken, expires_at)
            units -= taken
        return True

    def units_left(self, lease_id: int) -> float:
        """Return the units that a lease has left; 0 for one that is not known."""
        return self._leases.get(lease_id, (0.0, 0.0))[0]

    def end(self, lease_id: int) -> float:
        """Forget a lease and return the units that it had left."""
        return self._leases.pop(lease_id, (0.0, 0.0))[0]

    def take_owed_units(self) -> float:
        """Return the units that were used while no lease was in force, and owe them no more."""
        owed, self._owed_units = self._owed_units, 0.0
        return owed
