"""The warm state that one process of a gateway hands to the next: quotas, limits, what it knows of endpoints.

No I/O and no clock. `capture` reads it off the decisions, `encode` and `decode` convert it to and from JSON,
and `restore` puts it into the decisions of the process that follows. Times are the host's, in ms since 1970,
and differ from one process to the next where the wall clock was stepped in between; `monotonic`, in ms, is
the machine's own clock, which is never stepped.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from ..policy.gateway import Gateway

VERSION: Literal[1] = 1
MAX_CUSTOMERS = 4000
MAX_ENCODED_BYTES = 1 << 20
FRESH = 10_000.0  # ms after which what was known is not worth having


class CustomerState(msgspec.Struct, array_like=True, frozen=True):
    tag: int
    plan: int  # its number among the plans' sorted names
    level: float  # of its store, units
    use: float  # units of late
    told: float  # ms since another gateway told the store; below 0 for never
    crowd: float
    cost: float  # smoothed, ms


class EndpointState(msgspec.Struct, array_like=True, frozen=True):
    server: int
    since: float  # its start, as the list has it
    pace: float
    barred: float  # ms for which it is still left alone
    fails: int
    silent: float  # ms since its last answer
    allowance: float  # attempts that it may be sent while it is cold


class WarmState(msgspec.Struct, frozen=True):
    version: Literal[1]
    at: float  # when it was taken
    plans: tuple[str, ...]
    bound: float
    pace: float
    best: float
    answer: float
    word_ms: float
    warm: float
    alive: float
    mean: dict[str, float]  # answer time by class
    shares: tuple[float, ...]
    customers: tuple[CustomerState, ...]
    servers: tuple[EndpointState, ...]
    monotonic: float | None = None  # when it was taken; older versions do not tell

    def age(self, now: float, monotonic: float | None) -> float:
        """ms since it was taken."""
        if monotonic is None or self.monotonic is None:
            return now - self.at
        return monotonic - self.monotonic


def capture(gateway: Gateway, now: float, monotonic: float | None = None) -> WarmState:
    """What is worth handing on at `now`. Customers whose store is full and unused need no note."""
    known = gateway.customers.values()
    spent = [c for c in known if c.store.fill(now) < c.store.burst or c.use.add(now) > 0.01]
    spent.sort(key=lambda c: c.use.value, reverse=True)
    return WarmState(
        version=VERSION, at=now, plans=tuple(gateway.plans), bound=gateway.bound, pace=gateway.pace,
        best=gateway.best, answer=gateway.answer, word_ms=gateway.word_ms,
        warm=gateway.warm.add(now), alive=gateway.alive.add(now),
        mean=dict(gateway.mean), shares=tuple(gateway.shares),
        customers=tuple(
            CustomerState(c.tag, c.code, c.store.level, c.use.value,
                         now - c.told_at if now - c.told_at < FRESH * 10 else -1.0, c.crowd, c.k)
            for c in spent[:MAX_CUSTOMERS]
        ),
        servers=tuple(
            EndpointState(s.entry.endpoint, s.started, s.pace, max(0.0, s.barred - now), s.fails,
                       max(0.0, now - s.answered), s.allowance.level)
            for s in gateway.servers.values()
        ),
        monotonic=monotonic,
    )  # fmt: skip


def encode(known: WarmState) -> bytes:
    return msgspec.json.encode(known)


def decode(data: bytes) -> WarmState:
    """Raises ValueError for what is not whole, not well formed, or of another version."""
    if len(data) > MAX_ENCODED_BYTES:
        raise ValueError(f"more than {MAX_ENCODED_BYTES} bytes")
    return msgspec.json.decode(data, type=WarmState)


def restore(gateway: Gateway, known: WarmState, now: float, monotonic: float | None = None) -> None:
    """Put it into decisions that have heard of the servers and of no request yet.

    Raises ValueError, with nothing changed, if it is too old or of other plans. Nobody's store gets more than
    it had, or than the settings of now let it hold.
    """
    age = known.age(now, monotonic)
    if not -FRESH <= age <= FRESH:
        raise ValueError(f"taken {age:.0f} ms ago")
    if known.plans != tuple(gateway.plans) or len(known.shares) != len(known.plans):
        raise ValueError("of other plans")
    if any(not 0 <= note.plan < len(known.plans) for note in known.customers):
        raise ValueError("a plan's number is out of range")
    if min(known.bound, known.pace, known.best, known.answer, known.word_ms) <= 0:
        raise ValueError("a mean is not above 0")
    gateway.bound = min(known.bound, 3 * gateway.ample)
    gateway.pace, gateway.best, gateway.answer = known.pace, known.best, known.answer
    gateway.word_ms = known.word_ms
    gateway.warm.add(now, max(0.0, known.warm))
    gateway.alive.add(now, max(0.0, known.alive))
    gateway.mean.update({name: known.mean[name] for name in gateway.mean if known.mean.get(name, 0.0) > 0})
    gateway.shares = list(known.shares)
    for note in known.customers[:MAX_CUSTOMERS]:
        c = gateway.record(note.tag, note.plan)
        c.store.level, c.store.at = min(c.store.burst, note.level), min(now - age, now)
        c.use.value, c.use.at = max(0.0, note.use), min(now - age, now)
        c.told_at = now - note.told if note.told >= 0 else c.told_at
        c.crowd, c.k = max(0.0, note.crowd), max(0.0, note.cost)
    for mark in known.servers:
        server = gateway.servers.get(mark.server)
        if server is not None and server.started == mark.since:
            server.pace, server.fails = max(1e-6, mark.pace), max(0, mark.fails)
            server.barred = now + mark.barred if mark.barred > 0 else 0.0
            server.answered = now - max(0.0, mark.silent)
            server.allowance.level = min(server.allowance.burst, mark.allowance)


def charge_usage(gateway: Gateway, tag: int, units: float, now: float) -> None:
    """The other process of this gateway used `units` of a customer's since it handed on what it knew.

    It has told the customer's home itself; here only this view of the store, and of its use, is lowered.
    """
    if (c := gateway.customers.get(tag)) is not None:
        c.store.level = c.store.fill(now) - units
        if not c.keepers or c.keepers[0] == gateway.set.gateway_index:
            c.use.add(now, units)
