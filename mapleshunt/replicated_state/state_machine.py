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

from ..maintenance import commands as works
from ..maintenance.state import Refused, Works
from . import commands as w

MOST_STORES = 200_000
MOST_LEASES = 256  # of one customer
MOST_RECORDS = 10_000
MOST_VALUE = 4096  # characters of a record, and of a key
MOST_SESSIONS = 4096
MOST_OPEN = 64  # operations of a session whose answers it may not have
SESSION_LIFE = 600_000.0  # ms of the log's time after which a silent session is forgotten, oldest first


class Held(msgspec.Struct, array_like=True, frozen=True):
    """Units that are out: a lease, or a reservation with a name."""

    units: float
    until: float
    holder: str


class StoreState(msgspec.Struct, array_like=True, frozen=True):
    rate: float  # units a ms
    burst: float
    level: float
    at: float
    held: tuple[tuple[int, Held], ...] = ()  # leases by number
    names: tuple[tuple[str, Held], ...] = ()  # reservations by name
    counted: float = 0.0


class Record(msgspec.Struct, array_like=True, frozen=True):
    value: str
    version: int
    author: str
    at: float


class Session(msgspec.Struct, array_like=True, frozen=True):
    answered: int
    at: float
    results: tuple[tuple[int, w.Result], ...] = ()  # of those from `answered` on


class Frozen(msgspec.Struct, array_like=True, frozen=True):
    """A snapshot's form."""

    version: int
    leases: int
    stores: list[tuple[str, StoreState]]
    records: list[tuple[str, Record]]
    sessions: list[tuple[str, Session]]
    works: works.Frozen | None = None


VERSION = 1


class Holdings:
    def __init__(self) -> None:
        self.stores: Map[str, StoreState] = Map()
        self.records: Map[str, Record] = Map()
        self.sessions: Map[str, Session] = Map()
        self.leases = 0  # numbered from 1
        self.works = Works()

    # Snapshots

    def freeze(self) -> Frozen:
        """A view that later entries do not change; encode it wherever there is time."""
        stores, records, sessions = self.stores, self.records, self.sessions
        return Frozen(
            VERSION, self.leases, sorted(stores.items()), sorted(records.items()), sorted(sessions.items()),
            self.works.freeze(),
        )  # fmt: skip

    def thaw(self, data: bytes) -> None:
        """Take a snapshot's state. Raises ValueError for one that is not whole or of another version."""
        empty = Frozen(VERSION, 0, [], [], [])  # the state before the first entry
        frozen = msgspec.msgpack.decode(data, type=Frozen) if data else empty
        if frozen.version != VERSION:
            raise ValueError(f"a snapshot of version {frozen.version}")
        self.stores, self.records = Map(frozen.stores), Map(frozen.records)
        self.sessions, self.leases = Map(frozen.sessions), frozen.leases
        self.works = Works()
        if frozen.works is not None:
            self.works.thaw(frozen.works)

    # Entries

    def apply(self, stamp: float, data: bytes) -> w.Result:
        """Raises nothing: what cannot be read is denied, at every copy alike."""
        try:
            command = w.DECODE(data)
        except msgspec.DecodeError:
            return w.Denied("order")
        figures = [one for one in msgspec.structs.astuple(command.operation) if isinstance(one, float)]
        if isinstance(command.operation, w.Lease):
            figures += [used for _, used in command.operation.back]
        if not all(math.isfinite(one) for one in figures):
            return w.Denied("order")
        if isinstance(command.operation, w.Open):
            return self._open(stamp, command.session)
        session = self.sessions.get(command.session)
        if session is None:  # it may have been applied before the session was forgotten
            return w.Denied("session")
        if command.number < session.answered:
            return w.Denied("order")
        known = dict(session.results)
        if command.number in known:
            return known[command.number]
        if len(known) >= MOST_OPEN:
            return w.Denied("full")
        result = self._do(stamp, command.session, command.operation)
        low = max(session.answered, min(command.answered, command.number))
        kept = [(number, one) for number, one in session.results if number >= low]
        kept.append((command.number, result))
        self.sessions = self.sessions.set(command.session, Session(low, stamp, tuple(kept)))
        return result

    def _open(self, stamp: float, name: str) -> w.Result:
        if name not in self.sessions:
            if len(self.sessions) >= MOST_SESSIONS:
                oldest = min(self.sessions.items(), key=lambda one: (one[1].at, one[0]))
                if stamp - oldest[1].at < SESSION_LIFE:
                    return w.Denied("full")
                self.sessions = self.sessions.delete(oldest[0])
            self.sessions = self.sessions.set(name, Session(0, stamp))
        else:
            known = self.sessions[name]
            self.sessions = self.sessions.set(name, Session(known.answered, stamp, known.results))
        return w.Done()

    def _do(self, stamp: float, session: str, operation: w.Operation) -> w.Result:
        match operation:
            case w.Lease():
                return self._lease(stamp, session, operation)
            case w.Return():
                return self._return(stamp, operation)
            case w.Settle(customer, units):
                return self._settle(stamp, customer, units)
            case w.Count(customer, units):
                return self._count(stamp, customer, units)
            case w.Reserve():
                return self._reserve(stamp, session, operation)
            case w.Release(customer, name):
                return self._release(stamp, customer, name)
            case w.Put():
                return self._put(stamp, session, operation)
            case w.Open():
                return w.Denied("order")
        try:
            return w.Done(self.works.apply(stamp, operation))
        except Refused as refused:
            return w.Denied(str(refused))

    # Stores

    def store(self, stamp: float, customer: str) -> StoreState | None:
        """As of the log's time `stamp`: what has run out is spent, and time has filled the rest."""
        one = self.stores.get(customer)
        if one is None:
            return None
        held = tuple(pair for pair in one.held if pair[1].until > stamp)
        names = tuple(pair for pair in one.names if pair[1].until > stamp)
        level = min(one.burst - _out(held, names), one.level + one.rate * max(0.0, stamp - one.at))
        return _changed(one, held=held, names=names, level=level, at=max(one.at, stamp))

    def _keep(self, customer: str, one: StoreState) -> None:
        self.stores = self.stores.set(customer, one)

    def _lease(self, stamp: float, session: str, ask: w.Lease) -> w.Result:
        good = ask.units > 0 and ask.least > 0 and ask.term > 0 and ask.rate >= 0 and ask.burst > 0
        if not good or len(ask.customer) > MOST_VALUE:
            return w.Denied("order")
        for number, used in ask.back[:MOST_LEASES]:
            self._return(stamp, w.Return(ask.customer, number, used))
        one = self.store(stamp, ask.customer)
        if one is None:
            if not self._room(stamp):
                return w.Denied("full")
            one = StoreState(ask.rate / 1000, ask.burst, ask.burst, stamp)
        elif (one.rate, one.burst) != (ask.rate / 1000, ask.burst):  # another plan: no level is gained
            level = min(one.level, ask.burst - _out(one.held, one.names))
            one = _changed(one, rate=ask.rate / 1000, burst=ask.burst, level=level)
        units = min(ask.units, one.level)
        if units < ask.least or len(one.held) >= MOST_LEASES:
            self._keep(ask.customer, one)
            return w.Denied("store", one.level)
        self.leases += 1
        lease = (self.leases, Held(units, stamp + ask.term, session))
        self._keep(ask.customer, _changed(one, level=one.level - units, held=(*one.held, lease)))
        return w.Granted(self.leases, units)

    def _return(self, stamp: float, back: w.Return) -> w.Result:
        one = self.store(stamp, back.customer)
        found = dict(one.held).get(back.lease) if one is not None else None
        if one is None or found is None:  # it has run out, or was returned
            return w.Denied("lease")
        held = tuple(pair for pair in one.held if pair[0] != back.lease)
        level = max(-one.burst, one.level + found.units - max(0.0, back.used))
        self._keep(back.customer, _changed(one, held=held, level=level))
        return w.Done(level)

    def _settle(self, stamp: float, customer: str, units: float) -> w.Result:
        one = self.store(stamp, customer)
        if one is None:
            return w.Denied("store")
        level = max(-one.burst, min(one.burst - _out(one.held, one.names), one.level - units))
        self._keep(customer, _changed(one, level=level))
        return w.Done(level)

    def _count(self, stamp: float, customer: str, units: float) -> w.Result:
        one = self.store(stamp, customer)
        if units < 0 or (one is None and (not self._room(stamp) or len(customer) > MOST_VALUE)):
            return w.Denied("full" if units >= 0 else "order")
        one = one or StoreState(0.0, 0.0, 0.0, stamp)
        self._keep(customer, _changed(one, counted=one.counted + units))
        return w.Done(one.counted + units)

    def _reserve(self, stamp: float, session: str, ask: w.Reserve) -> w.Result:
        one = self.store(stamp, ask.customer)
        if one is None or not 0 < ask.units <= one.level or ask.term <= 0:
            return w.Denied("store", one.level if one is not None else 0.0)
        if ask.name in dict(one.names) or len(one.names) >= MOST_LEASES or len(ask.name) > MOST_VALUE:
            return w.Denied("name")
        mark = (ask.name, Held(ask.units, stamp + ask.term, session))
        self._keep(ask.customer, _changed(one, level=one.level - ask.units, names=(*one.names, mark)))
        return w.Done(one.level - ask.units)

    def _release(self, stamp: float, customer: str, name: str) -> w.Result:
        one = self.store(stamp, customer)
        found = dict(one.names).get(name) if one is not None else None
        if one is None or found is None:
            return w.Denied("name")
        names = tuple(pair for pair in one.names if pair[0] != name)
        self._keep(customer, _changed(one, names=names, level=one.level + found.units))
        return w.Done(one.level + found.units)

    def _room(self, stamp: float) -> bool:
        """Make room where stores are many: the oldest that owe nothing and are full again go first."""
        if len(self.stores) < MOST_STORES:
            return True
        settled = []
        for customer in self.stores:
            one = self.store(stamp, customer)
            if one is None or one.held or one.names or one.counted:
                continue
            if one.level >= one.burst:
                settled.append((self.stores[customer].at, customer))
        for _, customer in sorted(settled)[: MOST_STORES // 16]:
            self.stores = self.stores.delete(customer)
        return bool(settled)

    # Records

    def _put(self, stamp: float, session: str, put: w.Put) -> w.Result:
        if not 0 < len(put.key) <= MOST_VALUE or len(put.value) > MOST_VALUE:
            return w.Denied("order")
        known = self.records.get(put.key)
        version = known.version if known is not None else 0
        if put.version != version:
            return w.Denied("version", version)
        if known is None and len(self.records) >= MOST_RECORDS:
            return w.Denied("full")
        self.records = self.records.set(put.key, Record(put.value, version + 1, session, stamp))
        return w.Done(version + 1)


def _out(leases: tuple[tuple[int, Held], ...], names: tuple[tuple[str, Held], ...]) -> float:
    """Units that are leased or reserved."""
    return sum(one.units for _, one in leases) + sum(one.units for _, one in names)


def _changed(one: StoreState, **changes: Any) -> StoreState:
    return msgspec.structs.replace(one, **changes)
