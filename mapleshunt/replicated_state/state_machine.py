"""The state that gateways replicate: token buckets with leases, counted usage, records and sessions.

`ReplicatedState.apply` is a function of the state and the log alone, so every replica reaches the same state.
Time is the log's stamp in ms, which never goes back. The maps are persistent (hash array mapped tries): a
snapshot is a few references, taken between two entries and encoded elsewhere while the log is applied.

A bucket holds at most its burst, leased and reserved units included: level + outstanding <= burst at all
times. So over any span a customer's use is at most burst + rate x span, if no expired lease is spent.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec
from immutables import Map

from ..maintenance import commands as maintenance_commands
from ..maintenance.jobs import MaintenanceError, MaintenanceJobs
from ..maintenance.records import MaintenanceSnapshot
from . import commands
from .results import Applied, DenialReason, Denied, LeaseGranted, Result

MAX_BUCKETS = 200_000
EVICTED_BUCKETS = MAX_BUCKETS // 16  # at once, so that not every new customer causes a search
MAX_LEASES_PER_CUSTOMER = 256
MAX_RECORDS = 10_000
MAX_TEXT_CHARS = 4096  # of a name, and of a record's key and value
MAX_SESSIONS = 4096
MAX_UNACKNOWLEDGED = 64  # operations of a session whose results are retained
SESSION_TIMEOUT_MS = 600_000.0  # of the log's time, after which an inactive session may be removed
SNAPSHOT_VERSION = 1


class Allocation(msgspec.Struct, array_like=True, frozen=True):
    """Units that are outstanding: a lease, or a reservation. `expires_at` is ms of the log's time."""

    units: float
    expires_at: float
    holder: str


class TokenBucket(msgspec.Struct, array_like=True, frozen=True):
    """A customer's quota as of `updated_at`, ms of the log's time. The rate is in units per ms."""

    rate_per_ms: float
    burst: float
    level: float
    updated_at: float
    leases: tuple[tuple[int, Allocation], ...] = ()  # by lease id
    reservations: tuple[tuple[str, Allocation], ...] = ()  # by name
    counted_usage: float = 0.0


class Record(msgspec.Struct, array_like=True, frozen=True):
    """A versioned value that operators or gateways set. `updated_at` is ms of the log's time."""

    value: str
    version: int
    author: str
    updated_at: float


class Session(msgspec.Struct, array_like=True, frozen=True):
    """The results kept for a client, so that an operation that is sent again is not applied again."""

    acknowledged_below: int
    last_active: float  # ms of the log's time
    results: tuple[tuple[int, Result], ...] = ()  # by sequence number, from `acknowledged_below` on


class StateSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """The stored form of the whole state."""

    version: int
    last_lease_id: int
    buckets: list[tuple[str, TokenBucket]]
    records: list[tuple[str, Record]]
    sessions: list[tuple[str, Session]]
    maintenance: MaintenanceSnapshot | None = None


class ReplicatedState:
    """The state machine to which each replica applies the log."""

    def __init__(self) -> None:
        self.buckets: Map[str, TokenBucket] = Map()
        self.records: Map[str, Record] = Map()
        self.sessions: Map[str, Session] = Map()
        self.last_lease_id = 0
        self.maintenance = MaintenanceJobs()

    # Snapshots

    def snapshot(self) -> StateSnapshot:
        """Return a view that later entries do not change; it may be encoded at any time."""
        return StateSnapshot(
            SNAPSHOT_VERSION,
            self.last_lease_id,
            sorted(self.buckets.items()),
            sorted(self.records.items()),
            sorted(self.sessions.items()),
            self.maintenance.snapshot(),
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of an encoded snapshot; empty data is the empty state.

        Raises:
            ValueError: it is incomplete or of another version.
        """
        empty = StateSnapshot(SNAPSHOT_VERSION, 0, [], [], [])
        snapshot = msgspec.msgpack.decode(data, type=StateSnapshot) if data else empty
        if snapshot.version != SNAPSHOT_VERSION:
            raise ValueError(f"a snapshot of version {snapshot.version}, expected {SNAPSHOT_VERSION}")
        self.buckets = Map(snapshot.buckets)
        self.records = Map(snapshot.records)
        self.sessions = Map(snapshot.sessions)
        self.last_lease_id = snapshot.last_lease_id
        self.maintenance = MaintenanceJobs()
        if snapshot.maintenance is not None:
            self.maintenance.restore(snapshot.maintenance)

    # Entries

    def apply(self, stamp: float, data: bytes) -> Result:
        """Apply an encoded command at the log's time `stamp`, ms.

        It raises nothing: all replicas deny a command that cannot be decoded.
        """
        try:
            command = commands.decode_command(data)
        except msgspec.DecodeError:
            return Denied(DenialReason.ORDER)
        if not _has_finite_numbers(command.operation):
            return Denied(DenialReason.ORDER)
        if isinstance(command.operation, commands.OpenSession):
            return self._open_session(stamp, command.session)
        return self._apply_once(stamp, command)

    def _apply_once(self, stamp: float, command: commands.Command) -> Result:
        """Apply the operation, or return the result that it had when it was applied before."""
        session = self.sessions.get(command.session)
        if session is None:  # it may have been applied before the session was removed
            return Denied(DenialReason.SESSION)
        if command.sequence_number < session.acknowledged_below:
            return Denied(DenialReason.ORDER)
        results = dict(session.results)
        if command.sequence_number in results:
            return results[command.sequence_number]
        if len(results) >= MAX_UNACKNOWLEDGED:
            return Denied(DenialReason.FULL)
        result = self._execute(stamp, command.session, command.operation)
        acknowledged_below = max(
            session.acknowledged_below, min(command.acknowledged_below, command.sequence_number)
        )
        retained_results = [
            (number, earlier) for number, earlier in session.results if number >= acknowledged_below
        ]
        retained_results.append((command.sequence_number, result))
        self.sessions = self.sessions.set(
            command.session, Session(acknowledged_below, stamp, tuple(retained_results))
        )
        return result

    def _open_session(self, stamp: float, name: str) -> Result:
        known = self.sessions.get(name)
        if known is not None:
            renewed = Session(known.acknowledged_below, stamp, known.results)
            self.sessions = self.sessions.set(name, renewed)
            return Applied()
        if len(self.sessions) >= MAX_SESSIONS:
            oldest_name, oldest = min(
                self.sessions.items(), key=lambda session: (session[1].last_active, session[0])
            )
            if stamp - oldest.last_active < SESSION_TIMEOUT_MS:
                return Denied(DenialReason.FULL)
            self.sessions = self.sessions.delete(oldest_name)
        self.sessions = self.sessions.set(name, Session(0, stamp))
        return Applied()

    def _execute(self, stamp: float, session: str, operation: commands.Operation) -> Result:
        result: Result
        match operation:
            case commands.AcquireLease():
                result = self._acquire_lease(stamp, session, operation)
            case commands.ReturnLease():
                result = self._return_lease(stamp, operation)
            case commands.SettleUsage(customer, units):
                result = self._settle_usage(stamp, customer, units)
            case commands.CountUsage(customer, units):
                result = self._count_usage(stamp, customer, units)
            case commands.ReserveUnits():
                result = self._reserve_units(stamp, session, operation)
            case commands.ReleaseReservation(customer, name):
                result = self._release_reservation(stamp, customer, name)
            case commands.SetRecord():
                result = self._set_record(stamp, session, operation)
            case commands.OpenSession():
                result = Denied(DenialReason.ORDER)
            case _:
                result = self._apply_maintenance(stamp, operation)
        return result

    def _apply_maintenance(self, stamp: float, operation: maintenance_commands.Operation) -> Result:
        try:
            return Applied(self.maintenance.apply(stamp, operation))
        except MaintenanceError as error:
            return Denied(str(error))

    # Token buckets

    def bucket_at(self, stamp: float, customer: str) -> TokenBucket | None:
        """Return the bucket as of the log's time `stamp`, ms: refilled, without expired allocations."""
        bucket = self.buckets.get(customer)
        if bucket is None:
            return None
        leases = tuple(pair for pair in bucket.leases if pair[1].expires_at > stamp)
        reservations = tuple(pair for pair in bucket.reservations if pair[1].expires_at > stamp)
        refilled = bucket.level + bucket.rate_per_ms * max(0.0, stamp - bucket.updated_at)
        return _changed(
            bucket,
            leases=leases,
            reservations=reservations,
            level=min(bucket.burst - _outstanding(leases, reservations), refilled),
            updated_at=max(bucket.updated_at, stamp),
        )

    def _set_bucket(self, customer: str, bucket: TokenBucket) -> None:
        self.buckets = self.buckets.set(customer, bucket)

    def _acquire_lease(self, stamp: float, session: str, request: commands.AcquireLease) -> Result:
        if not _is_valid(request):
            return Denied(DenialReason.ORDER)
        for lease_id, used_units in request.returned[:MAX_LEASES_PER_CUSTOMER]:
            self._return_lease(stamp, commands.ReturnLease(request.customer, lease_id, used_units))
        bucket = self._bucket_of_plan(stamp, request)
        if bucket is None:
            return Denied(DenialReason.FULL)
        units = min(request.units, bucket.level)
        if units < request.min_units or len(bucket.leases) >= MAX_LEASES_PER_CUSTOMER:
            self._set_bucket(request.customer, bucket)
            return Denied(DenialReason.STORE, bucket.level)
        self.last_lease_id += 1
        lease = (self.last_lease_id, Allocation(units, stamp + request.term_ms, session))
        leased = _changed(bucket, level=bucket.level - units, leases=(*bucket.leases, lease))
        self._set_bucket(request.customer, leased)
        return LeaseGranted(self.last_lease_id, units)

    def _bucket_of_plan(self, stamp: float, request: commands.AcquireLease) -> TokenBucket | None:
        """Return the customer's bucket with the request's rate and burst; None if there are too many."""
        bucket = self.bucket_at(stamp, request.customer)
        rate_per_ms = request.rate / 1000
        if bucket is None:
            if not self._evict_if_full(stamp):
                return None
            return TokenBucket(rate_per_ms, request.burst, request.burst, stamp)
        if (bucket.rate_per_ms, bucket.burst) != (rate_per_ms, request.burst):
            # A change of plan adds no units: otherwise changes back and forth would fill the bucket.
            level = min(bucket.level, request.burst - _outstanding(bucket.leases, bucket.reservations))
            return _changed(bucket, rate_per_ms=rate_per_ms, burst=request.burst, level=level)
        return bucket

    def _return_lease(self, stamp: float, request: commands.ReturnLease) -> Result:
        bucket = self.bucket_at(stamp, request.customer)
        lease = dict(bucket.leases).get(request.lease_id) if bucket is not None else None
        if bucket is None or lease is None:  # it has expired, or was returned before
            return Denied(DenialReason.LEASE)
        leases = tuple(pair for pair in bucket.leases if pair[0] != request.lease_id)
        level = max(-bucket.burst, bucket.level + lease.units - max(0.0, request.used_units))
        self._set_bucket(request.customer, _changed(bucket, leases=leases, level=level))
        return Applied(level)

    def _settle_usage(self, stamp: float, customer: str, units: float) -> Result:
        bucket = self.bucket_at(stamp, customer)
        if bucket is None:
            return Denied(DenialReason.STORE)
        available = bucket.burst - _outstanding(bucket.leases, bucket.reservations)
        level = max(-bucket.burst, min(available, bucket.level - units))
        self._set_bucket(customer, _changed(bucket, level=level))
        return Applied(level)

    def _count_usage(self, stamp: float, customer: str, units: float) -> Result:
        bucket = self.bucket_at(stamp, customer)
        if units < 0:
            return Denied(DenialReason.ORDER)
        if bucket is None:
            if not self._evict_if_full(stamp) or len(customer) > MAX_TEXT_CHARS:
                return Denied(DenialReason.FULL)
            bucket = TokenBucket(0.0, 0.0, 0.0, stamp)
        self._set_bucket(customer, _changed(bucket, counted_usage=bucket.counted_usage + units))
        return Applied(bucket.counted_usage + units)

    def _reserve_units(self, stamp: float, session: str, request: commands.ReserveUnits) -> Result:
        bucket = self.bucket_at(stamp, request.customer)
        if bucket is None or not 0 < request.units <= bucket.level or request.term_ms <= 0:
            return Denied(DenialReason.STORE, bucket.level if bucket is not None else 0.0)
        is_taken = request.name in dict(bucket.reservations)
        is_full = len(bucket.reservations) >= MAX_LEASES_PER_CUSTOMER
        if is_taken or is_full or len(request.name) > MAX_TEXT_CHARS:
            return Denied(DenialReason.NAME)
        reservation = (request.name, Allocation(request.units, stamp + request.term_ms, session))
        level = bucket.level - request.units
        reservations = (*bucket.reservations, reservation)
        self._set_bucket(request.customer, _changed(bucket, level=level, reservations=reservations))
        return Applied(level)

    def _release_reservation(self, stamp: float, customer: str, name: str) -> Result:
        bucket = self.bucket_at(stamp, customer)
        reservation = dict(bucket.reservations).get(name) if bucket is not None else None
        if bucket is None or reservation is None:
            return Denied(DenialReason.NAME)
        reservations = tuple(pair for pair in bucket.reservations if pair[0] != name)
        level = bucket.level + reservation.units
        self._set_bucket(customer, _changed(bucket, reservations=reservations, level=level))
        return Applied(level)

    def _evict_if_full(self, stamp: float) -> bool:
        """Return whether there is room for a bucket; evict unused full ones if needed, the oldest first."""
        if len(self.buckets) < MAX_BUCKETS:
            return True
        evictable = []
        for customer in self.buckets:
            bucket = self.bucket_at(stamp, customer)
            if bucket is None or bucket.leases or bucket.reservations or bucket.counted_usage:
                continue
            if bucket.level >= bucket.burst:
                evictable.append((self.buckets[customer].updated_at, customer))
        for _, customer in sorted(evictable)[:EVICTED_BUCKETS]:
            self.buckets = self.buckets.delete(customer)
        return bool(evictable)

    # Records

    def _set_record(self, stamp: float, session: str, request: commands.SetRecord) -> Result:
        if not 0 < len(request.key) <= MAX_TEXT_CHARS or len(request.value) > MAX_TEXT_CHARS:
            return Denied(DenialReason.ORDER)
        known = self.records.get(request.key)
        version = known.version if known is not None else 0
        if request.expected_version != version:
            return Denied(DenialReason.VERSION, version)
        if known is None and len(self.records) >= MAX_RECORDS:
            return Denied(DenialReason.FULL)
        self.records = self.records.set(request.key, Record(request.value, version + 1, session, stamp))
        return Applied(version + 1)


def _has_finite_numbers(operation: commands.Operation) -> bool:
    numbers = [field for field in msgspec.structs.astuple(operation) if isinstance(field, float)]
    if isinstance(operation, commands.AcquireLease):
        numbers += [used_units for _, used_units in operation.returned]
    return all(math.isfinite(number) for number in numbers)


def _is_valid(request: commands.AcquireLease) -> bool:
    units_are_valid = request.units > 0 and request.min_units > 0
    plan_is_valid = request.rate >= 0 and request.burst > 0
    return (
        units_are_valid and request.term_ms > 0 and plan_is_valid and len(request.customer) <= MAX_TEXT_CHARS
    )


def _outstanding(
    leases: tuple[tuple[int, Allocation], ...], reservations: tuple[tuple[str, Allocation], ...]
) -> float:
    """Return the units that are leased or reserved."""
    leased = sum(lease.units for _, lease in leases)
    return leased + sum(reservation.units for _, reservation in reservations)


def _changed(bucket: TokenBucket, **changes: Any) -> TokenBucket:  # any of its fields, by name
    return msgspec.structs.replace(bucket, **changes)
