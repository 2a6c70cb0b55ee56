"""Leased units of a customer's quota, which may be used here without asking its owner."""

from __future__ import annotations

from .token_bucket import TokenBucket

# The lease without units that shows that the replicas answer.
KEEPALIVE_LEASE_ID = 0


class QuotaLeases:
    """One customer's leases at this gateway."""

    __slots__ = ("_bucket", "_leases", "_owed_units")

    def __init__(self, bucket: TokenBucket) -> None:
        """Initialize without leases; `bucket` is the customer's quota while no lease is in force."""
        self._bucket = bucket
        self._leases: dict[int, tuple[float, float]] = {}  # units left and expiry, by lease id
        self._owed_units = 0.0  # units used while no lease was in force

    def __len__(self) -> int:
        """Return the number of leases, including expired ones."""
        return len(self._leases)

    def grant(self, lease_id: int, units: float, expires_at: float, now: float) -> None:
        """Add or renew a lease.

        A keepalive empties the customer's own bucket: if the replicas stop answering, the bucket has refilled
        only since the last keepalive.
        """
        if lease_id == KEEPALIVE_LEASE_ID:
            # Costs above the estimate were charged to this lease if it was the last to expire: they are owed.
            self._owed_units += max(0.0, -self.units_left(KEEPALIVE_LEASE_ID))
            self._bucket.level = min(self._bucket.refill(now), 0.0)
        self._leases[lease_id] = (units, expires_at)

    def available(self, now: float) -> float | None:
        """Return the units left in the leases in force; None if no lease is in force."""
        if not self._leases:
            return None
        in_force = [units for units, expires_at in self._leases.values() if expires_at > now]
        return sum(in_force) if in_force else None

    def spend(self, now: float, units: float) -> bool:
        """Charge units (below 0: return them) to the leases in force, the first to expire first.

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
        """Return the units left in a lease; 0 for an unknown one."""
        return self._leases.get(lease_id, (0.0, 0.0))[0]

    def end(self, lease_id: int) -> float:
        """Remove a lease and return the units that it had left."""
        return self._leases.pop(lease_id, (0.0, 0.0))[0]

    def take_owed_units(self) -> float:
        """Return the owed units and reset them to 0."""
        owed, self._owed_units = self._owed_units, 0.0
        return owed
