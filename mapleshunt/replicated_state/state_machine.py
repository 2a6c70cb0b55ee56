"""The replicated state: stores with leases and reservations, counted use, records, and sessions.

`apply(stamp, data)` is a function of the state and the log alone: every copy comes to the same. Time is the
log's stamp, which never goes back. The maps are persistent (hash array mapped tries), so that a snapshot is a
handful of references, taken between two entries and encoded elsewhere while the log goes on.

A store holds at most its burst, leased and reserved units included: level + held <= burst at every moment. So
over any span a customer's use is at most burst + rate x span, if holders spend no lease that has run out.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec
from immutables import Map

from ..maintenance.jobs import MaintenanceError, MaintenanceJobs
from ..maintenance.records import MaintenanceSnapshot
from . import commands as w
from .results import Applied, Denied, LeaseGranted, Result

MAX_BUCKETS = 200_000
MAX_LEASES_PER_CUSTOMER = 256  # of one customer
MAX_RECORDS = 10_000
MAX_TEXT_CHARS = 4096  # characters of a record, and of a key
MAX_SESSIONS = 4096
MAX_UNACKNOWLEDGED = 64  # operations of a session whose answers it may not have
SESSION_TIMEOUT_MS = 600_000.0  # ms of the log's time after which a silent session is forgotten, oldest first


class Allocation(msgspec.Struct, array_like=True, frozen=True):
    """Units that are out: a lease, or a reservation with a name."""

    units: float
    expires_at: float
    holder: str


class TokenBucket(msgspec.Struct, array_like=True, frozen=True):
    rate_per_ms: float  # units a ms
    burst: float
    level: float
    updated_at: float
    leases: tuple[tuple[int, Allocation], ...] = ()  # leases by number
    reservations: tuple[tuple[str, Allocation], ...] = ()  # reservations by name
    counted_usage: float = 0.0


class Record(msgspec.Struct, array_like=True, frozen=True):
    value: str
    version: int
    author: str
    updated_at: float


class Session(msgspec.Struct, array_like=True, frozen=True):
    acknowledged_below: int
    last_active: float
    results: tuple[tuple[int, Result], ...] = ()  # of those from `answered` on


class StateSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """A snapshot's form."""

    version: int
    last_lease_id: int
    buckets: list[tuple[str, TokenBucket]]
    records: list[tuple[str, Record]]
    sessions: list[tuple[str, Session]]
    maintenance: MaintenanceSnapshot | None = None


SNAPSHOT_VERSION = 1


class ReplicatedState:
    def __init__(self) -> None:
        self.buckets: Map[str, TokenBucket] = Map()
        self.records: Map[str, Record] = Map()
        self.sessions: Map[str, Session] = Map()
        self.last_lease_id = 0  # numbered from 1
        self.maintenance = MaintenanceJobs()

    # Snapshots

    def snapshot(self) -> StateSnapshot:
        """A view that later entries do not change; encode it wherever there is time."""
        stores, records, sessions = self.buckets, self.records, self.sessions
        return StateSnapshot(
            SNAPSHOT_VERSION,
            self.last_lease_id,
            sorted(stores.items()),
            sorted(records.items()),
            sorted(sessions.items()),
            self.maintenance.snapshot(),
        )

    def restore(self, data: bytes) -> None:
        """Take a snapshot's state. Raises ValueError for one that is not whole or of another version."""
        empty = StateSnapshot(SNAPSHOT_VERSION, 0, [], [], [])  # the state before the first entry
        frozen = msgspec.msgpack.decode(data, type=StateSnapshot) if data else empty
        if frozen.version != SNAPSHOT_VERSION:
            raise ValueError(f"a snapshot of version {frozen.version}")
        self.buckets, self.records = Map(frozen.buckets), Map(frozen.records)
        self.sessions, self.last_lease_id = Map(frozen.sessions), frozen.last_lease_id
        self.maintenance = MaintenanceJobs()
        if frozen.maintenance is not None:
            self.maintenance.restore(frozen.maintenance)

    # Entries

    def apply(self, stamp: float, data: bytes) -> Result:
        """Raises nothing: what cannot be read is denied, at every copy alike."""
        try:
            command = w.decode_command(data)
        except msgspec.DecodeError:
            return Denied("order")
        figures = [one for one in msgspec.structs.astuple(command.operation) if isinstance(one, float)]
        if isinstance(command.operation, w.AcquireLease):
            figures += [used for _, used in command.operation.returned]
        if not all(math.isfinite(one) for one in figures):
            return Denied("order")
        if isinstance(command.operation, w.OpenSession):
            return self._open(stamp, command.session)
        session = self.sessions.get(command.session)
        if session is None:  # it may have been applied before the session was forgotten
            return Denied("session")
        if command.sequence_number < session.acknowledged_below:
            return Denied("order")
        known = dict(session.results)
        if command.sequence_number in known:
            return known[command.sequence_number]
        if len(known) >= MAX_UNACKNOWLEDGED:
            return Denied("full")
        result = self._do(stamp, command.session, command.operation)
        low = max(session.acknowledged_below, min(command.acknowledged_below, command.sequence_number))
        kept = [(number, one) for number, one in session.results if number >= low]
        kept.append((command.sequence_number, result))
        self.sessions = self.sessions.set(command.session, Session(low, stamp, tuple(kept)))
        return result

    def _open(self, stamp: float, name: str) -> Result:
        if name not in self.sessions:
            if len(self.sessions) >= MAX_SESSIONS:
                oldest = min(self.sessions.items(), key=lambda one: (one[1].last_active, one[0]))
                if stamp - oldest[1].last_active < SESSION_TIMEOUT_MS:
                    return Denied("full")
                self.sessions = self.sessions.delete(oldest[0])
            self.sessions = self.sessions.set(name, Session(0, stamp))
        else:
            known = self.sessions[name]
            self.sessions = self.sessions.set(name, Session(known.acknowledged_below, stamp, known.results))
        return Applied()

    def _do(self, stamp: float, session: str, operation: w.Operation) -> Result:
        match operation:
            case w.AcquireLease():
                return self._lease(stamp, session, operation)
            case w.ReturnLease():
                return self._return(stamp, operation)
            case w.SettleUsage(customer, units):
                return self._settle(stamp, customer, units)
            case w.CountUsage(customer, units):
                return self._count(stamp, customer, units)
            case w.ReserveUnits():
                return self._reserve(stamp, session, operation)
            case w.ReleaseReservation(customer, name):
                return self._release(stamp, customer, name)
            case w.SetRecord():
                return self._put(stamp, session, operation)
            case w.OpenSession():
                return Denied("order")
        try:
            return Applied(self.maintenance.apply(stamp, operation))
        except MaintenanceError as refused:
            return Denied(str(refused))

    # Stores

    def bucket_at(self, stamp: float, customer: str) -> TokenBucket | None:
        """As of the log's time `stamp`: what has run out is spent, and time has filled the rest."""
        one = self.buckets.get(customer)
        if one is None:
            return None
        held = tuple(pair for pair in one.leases if pair[1].expires_at > stamp)
        names = tuple(pair for pair in one.reservations if pair[1].expires_at > stamp)
        level = min(
            one.burst - _out(held, names), one.level + one.rate_per_ms * max(0.0, stamp - one.updated_at)
        )
        return _changed(
            one, leases=held, reservations=names, level=level, updated_at=max(one.updated_at, stamp)
        )

    def _keep(self, customer: str, one: TokenBucket) -> None:
        self.buckets = self.buckets.set(customer, one)

    def _lease(self, stamp: float, session: str, ask: w.AcquireLease) -> Result:
        good = ask.units > 0 and ask.min_units > 0 and ask.term_ms > 0 and ask.rate >= 0 and ask.burst > 0
        if not good or len(ask.customer) > MAX_TEXT_CHARS:
            return Denied("order")
        for number, used in ask.returned[:MAX_LEASES_PER_CUSTOMER]:
            self._return(stamp, w.ReturnLease(ask.customer, number, used))
        one = self.bucket_at(stamp, ask.customer)
        if one is None:
            if not self._room(stamp):
                return Denied("full")
            one = TokenBucket(ask.rate / 1000, ask.burst, ask.burst, stamp)
        elif (one.rate_per_ms, one.burst) != (ask.rate / 1000, ask.burst):  # another plan: no level is gained
            level = min(one.level, ask.burst - _out(one.leases, one.reservations))
            one = _changed(one, rate_per_ms=ask.rate / 1000, burst=ask.burst, level=level)
        units = min(ask.units, one.level)
        if units < ask.min_units or len(one.leases) >= MAX_LEASES_PER_CUSTOMER:
            self._keep(ask.customer, one)
            return Denied("store", one.level)
        self.last_lease_id += 1
        lease = (self.last_lease_id, Allocation(units, stamp + ask.term_ms, session))
        self._keep(ask.customer, _changed(one, level=one.level - units, leases=(*one.leases, lease)))
        return LeaseGranted(self.last_lease_id, units)

    def _return(self, stamp: float, back: w.ReturnLease) -> Result:
        one = self.bucket_at(stamp, back.customer)
        found = dict(one.leases).get(back.lease_id) if one is not None else None
        if one is None or found is None:  # it has run out, or was returned
            return Denied("lease")
        held = tuple(pair for pair in one.leases if pair[0] != back.lease_id)
        level = max(-one.burst, one.level + found.units - max(0.0, back.used_units))
        self._keep(back.customer, _changed(one, leases=held, level=level))
        return Applied(level)

    def _settle(self, stamp: float, customer: str, units: float) -> Result:
        one = self.bucket_at(stamp, customer)
        if one is None:
            return Denied("store")
        level = max(-one.burst, min(one.burst - _out(one.leases, one.reservations), one.level - units))
        self._keep(customer, _changed(one, level=level))
        return Applied(level)

    def _count(self, stamp: float, customer: str, units: float) -> Result:
        one = self.bucket_at(stamp, customer)
        if units < 0 or (one is None and (not self._room(stamp) or len(customer) > MAX_TEXT_CHARS)):
            return Denied("full" if units >= 0 else "order")
        one = one or TokenBucket(0.0, 0.0, 0.0, stamp)
        self._keep(customer, _changed(one, counted_usage=one.counted_usage + units))
        return Applied(one.counted_usage + units)

    def _reserve(self, stamp: float, session: str, ask: w.ReserveUnits) -> Result:
        one = self.bucket_at(stamp, ask.customer)
        if one is None or not 0 < ask.units <= one.level or ask.term_ms <= 0:
            return Denied("store", one.level if one is not None else 0.0)
        if (
            ask.name in dict(one.reservations)
            or len(one.reservations) >= MAX_LEASES_PER_CUSTOMER
            or len(ask.name) > MAX_TEXT_CHARS
        ):
            return Denied("name")
        mark = (ask.name, Allocation(ask.units, stamp + ask.term_ms, session))
        self._keep(
            ask.customer, _changed(one, level=one.level - ask.units, reservations=(*one.reservations, mark))
        )
        return Applied(one.level - ask.units)

    def _release(self, stamp: float, customer: str, name: str) -> Result:
        one = self.bucket_at(stamp, customer)
        found = dict(one.reservations).get(name) if one is not None else None
        if one is None or found is None:
            return Denied("name")
        names = tuple(pair for pair in one.reservations if pair[0] != name)
        self._keep(customer, _changed(one, reservations=names, level=one.level + found.units))
        return Applied(one.level + found.units)

    def _room(self, stamp: float) -> bool:
        """Make room where stores are many: the oldest that owe nothing and are full again go first."""
        if len(self.buckets) < MAX_BUCKETS:
            return True
        settled = []
        for customer in self.buckets:
            one = self.bucket_at(stamp, customer)
            if one is None or one.leases or one.reservations or one.counted_usage:
                continue
            if one.level >= one.burst:
                settled.append((self.buckets[customer].updated_at, customer))
        for _, customer in sorted(settled)[: MAX_BUCKETS // 16]:
            self.buckets = self.buckets.delete(customer)
        return bool(settled)

    # Records

    def _put(self, stamp: float, session: str, put: w.SetRecord) -> Result:
        if not 0 < len(put.key) <= MAX_TEXT_CHARS or len(put.value) > MAX_TEXT_CHARS:
            return Denied("order")
        known = self.records.get(put.key)
        version = known.version if known is not None else 0
        if put.expected_version != version:
            return Denied("version", version)
        if known is None and len(self.records) >= MAX_RECORDS:
            return Denied("full")
        self.records = self.records.set(put.key, Record(put.value, version + 1, session, stamp))
        return Applied(version + 1)


def _out(leases: tuple[tuple[int, Allocation], ...], names: tuple[tuple[str, Allocation], ...]) -> float:
    """Units that are leased or reserved."""
    return sum(one.units for _, one in leases) + sum(one.units for _, one in names)


def _changed(one: TokenBucket, **changes: Any) -> TokenBucket:
    return msgspec.structs.replace(one, **changes)
