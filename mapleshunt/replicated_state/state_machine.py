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
    until: float
    holder: str


class TokenBucket(msgspec.Struct, array_like=True, frozen=True):
    rate: float  # units a ms
    burst: float
    level: float
    at: float
    held: tuple[tuple[int, Allocation], ...] = ()  # leases by number
    names: tuple[tuple[str, Allocation], ...] = ()  # reservations by name
    counted: float = 0.0


class Record(msgspec.Struct, array_like=True, frozen=True):
    value: str
    version: int
    author: str
    at: float


class Session(msgspec.Struct, array_like=True, frozen=True):
    answered: int
    at: float
    results: tuple[tuple[int, Result], ...] = ()  # of those from `answered` on


class StateSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """A snapshot's form."""

    version: int
    leases: int
    stores: list[tuple[str, TokenBucket]]
    records: list[tuple[str, Record]]
    sessions: list[tuple[str, Session]]
    works: MaintenanceSnapshot | None = None


SNAPSHOT_VERSION = 1


class ReplicatedState:
    def __init__(self) -> None:
        self.stores: Map[str, TokenBucket] = Map()
        self.records: Map[str, Record] = Map()
        self.sessions: Map[str, Session] = Map()
        self.leases = 0  # numbered from 1
        self.works = MaintenanceJobs()

    # Snapshots

    def freeze(self) -> StateSnapshot:
        """A view that later entries do not change; encode it wherever there is time."""
        stores, records, sessions = self.stores, self.records, self.sessions
        return StateSnapshot(
            SNAPSHOT_VERSION,
            self.leases,
            sorted(stores.items()),
            sorted(records.items()),
            sorted(sessions.items()),
            self.works.freeze(),
        )

    def thaw(self, data: bytes) -> None:
        """Take a snapshot's state. Raises ValueError for one that is not whole or of another version."""
        empty = StateSnapshot(SNAPSHOT_VERSION, 0, [], [], [])  # the state before the first entry
        frozen = msgspec.msgpack.decode(data, type=StateSnapshot) if data else empty
        if frozen.version != SNAPSHOT_VERSION:
            raise ValueError(f"a snapshot of version {frozen.version}")
        self.stores, self.records = Map(frozen.stores), Map(frozen.records)
        self.sessions, self.leases = Map(frozen.sessions), frozen.leases
        self.works = MaintenanceJobs()
        if frozen.works is not None:
            self.works.thaw(frozen.works)

    # Entries

    def apply(self, stamp: float, data: bytes) -> Result:
        """Raises nothing: what cannot be read is denied, at every copy alike."""
        try:
            command = w.decode_command(data)
        except msgspec.DecodeError:
            return Denied("order")
        figures = [one for one in msgspec.structs.astuple(command.operation) if isinstance(one, float)]
        if isinstance(command.operation, w.AcquireLease):
            figures += [used for _, used in command.operation.back]
        if not all(math.isfinite(one) for one in figures):
            return Denied("order")
        if isinstance(command.operation, w.OpenSession):
            return self._open(stamp, command.session)
        session = self.sessions.get(command.session)
        if session is None:  # it may have been applied before the session was forgotten
            return Denied("session")
        if command.number < session.answered:
            return Denied("order")
        known = dict(session.results)
        if command.number in known:
            return known[command.number]
        if len(known) >= MAX_UNACKNOWLEDGED:
            return Denied("full")
        result = self._do(stamp, command.session, command.operation)
        low = max(session.answered, min(command.answered, command.number))
        kept = [(number, one) for number, one in session.results if number >= low]
        kept.append((command.number, result))
        self.sessions = self.sessions.set(command.session, Session(low, stamp, tuple(kept)))
        return result

    def _open(self, stamp: float, name: str) -> Result:
        if name not in self.sessions:
            if len(self.sessions) >= MAX_SESSIONS:
                oldest = min(self.sessions.items(), key=lambda one: (one[1].at, one[0]))
                if stamp - oldest[1].at < SESSION_TIMEOUT_MS:
                    return Denied("full")
                self.sessions = self.sessions.delete(oldest[0])
            self.sessions = self.sessions.set(name, Session(0, stamp))
        else:
            known = self.sessions[name]
            self.sessions = self.sessions.set(name, Session(known.answered, stamp, known.results))
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
            return Applied(self.works.apply(stamp, operation))
        except MaintenanceError as refused:
            return Denied(str(refused))

    # Stores

    def store(self, stamp: float, customer: str) -> TokenBucket | None:
        """As of the log's time `stamp`: what has run out is spent, and time has filled the rest."""
        one = self.stores.get(customer)
        if one is None:
            return None
        held = tuple(pair for pair in one.held if pair[1].until > stamp)
        names = tuple(pair for pair in one.names if pair[1].until > stamp)
        level = min(one.burst - _out(held, names), one.level + one.rate * max(0.0, stamp - one.at))
        return _changed(one, held=held, names=names, level=level, at=max(one.at, stamp))

    def _keep(self, customer: str, one: TokenBucket) -> None:
        self.stores = self.stores.set(customer, one)

    def _lease(self, stamp: float, session: str, ask: w.AcquireLease) -> Result:
        good = ask.units > 0 and ask.least > 0 and ask.term > 0 and ask.rate >= 0 and ask.burst > 0
        if not good or len(ask.customer) > MAX_TEXT_CHARS:
            return Denied("order")
        for number, used in ask.back[:MAX_LEASES_PER_CUSTOMER]:
            self._return(stamp, w.ReturnLease(ask.customer, number, used))
        one = self.store(stamp, ask.customer)
        if one is None:
            if not self._room(stamp):
                return Denied("full")
            one = TokenBucket(ask.rate / 1000, ask.burst, ask.burst, stamp)
        elif (one.rate, one.burst) != (ask.rate / 1000, ask.burst):  # another plan: no level is gained
            level = min(one.level, ask.burst - _out(one.held, one.names))
            one = _changed(one, rate=ask.rate / 1000, burst=ask.burst, level=level)
        units = min(ask.units, one.level)
        if units < ask.least or len(one.held) >= MAX_LEASES_PER_CUSTOMER:
            self._keep(ask.customer, one)
            return Denied("store", one.level)
        self.leases += 1
        lease = (self.leases, Allocation(units, stamp + ask.term, session))
        self._keep(ask.customer, _changed(one, level=one.level - units, held=(*one.held, lease)))
        return LeaseGranted(self.leases, units)

    def _return(self, stamp: float, back: w.ReturnLease) -> Result:
        one = self.store(stamp, back.customer)
        found = dict(one.held).get(back.lease) if one is not None else None
        if one is None or found is None:  # it has run out, or was returned
            return Denied("lease")
        held = tuple(pair for pair in one.held if pair[0] != back.lease)
        level = max(-one.burst, one.level + found.units - max(0.0, back.used))
        self._keep(back.customer, _changed(one, held=held, level=level))
        return Applied(level)

    def _settle(self, stamp: float, customer: str, units: float) -> Result:
        one = self.store(stamp, customer)
        if one is None:
            return Denied("store")
        level = max(-one.burst, min(one.burst - _out(one.held, one.names), one.level - units))
        self._keep(customer, _changed(one, level=level))
        return Applied(level)

    def _count(self, stamp: float, customer: str, units: float) -> Result:
        one = self.store(stamp, customer)
        if units < 0 or (one is None and (not self._room(stamp) or len(customer) > MAX_TEXT_CHARS)):
            return Denied("full" if units >= 0 else "order")
        one = one or TokenBucket(0.0, 0.0, 0.0, stamp)
        self._keep(customer, _changed(one, counted=one.counted + units))
        return Applied(one.counted + units)

    def _reserve(self, stamp: float, session: str, ask: w.ReserveUnits) -> Result:
        one = self.store(stamp, ask.customer)
        if one is None or not 0 < ask.units <= one.level or ask.term <= 0:
            return Denied("store", one.level if one is not None else 0.0)
        if (
            ask.name in dict(one.names)
            or len(one.names) >= MAX_LEASES_PER_CUSTOMER
            or len(ask.name) > MAX_TEXT_CHARS
        ):
            return Denied("name")
        mark = (ask.name, Allocation(ask.units, stamp + ask.term, session))
        self._keep(ask.customer, _changed(one, level=one.level - ask.units, names=(*one.names, mark)))
        return Applied(one.level - ask.units)

    def _release(self, stamp: float, customer: str, name: str) -> Result:
        one = self.store(stamp, customer)
        found = dict(one.names).get(name) if one is not None else None
        if one is None or found is None:
            return Denied("name")
        names = tuple(pair for pair in one.names if pair[0] != name)
        self._keep(customer, _changed(one, names=names, level=one.level + found.units))
        return Applied(one.level + found.units)

    def _room(self, stamp: float) -> bool:
        """Make room where stores are many: the oldest that owe nothing and are full again go first."""
        if len(self.stores) < MAX_BUCKETS:
            return True
        settled = []
        for customer in self.stores:
            one = self.store(stamp, customer)
            if one is None or one.held or one.names or one.counted:
                continue
            if one.level >= one.burst:
                settled.append((self.stores[customer].at, customer))
        for _, customer in sorted(settled)[: MAX_BUCKETS // 16]:
            self.stores = self.stores.delete(customer)
        return bool(settled)

    # Records

    def _put(self, stamp: float, session: str, put: w.SetRecord) -> Result:
        if not 0 < len(put.key) <= MAX_TEXT_CHARS or len(put.value) > MAX_TEXT_CHARS:
            return Denied("order")
        known = self.records.get(put.key)
        version = known.version if known is not None else 0
        if put.version != version:
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
