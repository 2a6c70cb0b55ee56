"""What must hold of a history of calls and answers, whatever broke between gateways. No I/O.

Calls are answered by promises: none may be lost, none kept twice, and reads must be explained by an order in
which every call lies between its beginning and its end.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from ..replicated_state import commands as w
from ..replicated_state.results import Applied, LeaseGranted

RELATIVE_TOLERANCE = 1e-6


@dataclass
class HistoryEvent:
    """A call by a session's number: an operation, or what was read. `ended` is 0 until it was answered."""

    session: str
    number: int
    operation: Any
    started_at: float  # s
    result: Any = None
    ended_at: float = 0.0


def find_violations(history: Iterable[HistoryEvent], final: Mapping[str, Any], burst: float) -> list[str]:
    """Every promise that does not hold, in words. `final`: the state of each store and record at the end,
    read when all was calm again; `burst`: of all stores.
    """
    events = list(history)
    found = [f"{e.session} {e.number} was never answered: {e.operation}" for e in events if not e.ended_at]
    found += (
        check_counts(events, final)
        + check_leases(events, burst)
        + check_records(events, final)
        + check_reads(events)
    )
    return found


def check_counts(events: list[HistoryEvent], final: Mapping[str, Any]) -> list[str]:
    """Use: the sum of what was counted, neither lost nor doubled."""
    sums: dict[str, float] = defaultdict(float)
    for event in events:
        if isinstance(event.operation, w.CountUsage) and isinstance(event.result, Applied):
            sums[event.operation.customer] += event.operation.units
    found = []
    for customer, sum_ in sums.items():
        state = final.get(f"store {customer}")
        held = state.counted_usage if state is not None else 0.0
        if abs(held - sum_) > RELATIVE_TOLERANCE * max(1.0, sum_):
            found.append(f"use of {customer}: {sum_:g} was acknowledged, {held:g} is held")
    return found


def check_leases(events: list[HistoryEvent], burst: float) -> list[str]:
    """Leases: each number once, and what holders may spend at any moment within the store.

    A holder may spend from its answer on, until `term` after it asked, by its own clock, or until it gives
    the lease back; the store counts it for longer.
    """
    found, seen = [], dict[tuple[str, int], HistoryEvent]()
    changes: dict[str, list[tuple[float, float]]] = defaultdict(list)
    back = {
        (e.operation.customer, e.operation.lease_id): e
        for e in events
        if isinstance(e.operation, w.ReturnLease)
    }
    for event in events:
        if not isinstance(event.operation, w.AcquireLease) or not isinstance(event.result, LeaseGranted):
            continue
        lease = event.operation.customer, event.result.lease_id
        if lease in seen:
            found.append(f"lease {lease} was granted to {seen[lease].session} and {event.session}")
        seen[lease] = event
        end = event.started_at + event.operation.term_ms / 1000
        if lease in back:
            end = min(end, back[lease].started_at)
        if end > event.ended_at:
            changes[lease[0]] += [(event.ended_at, event.result.units), (end, -event.result.units)]
    for customer, some in changes.items():
        held = 0.0
        for when, units in sorted(some, key=lambda one: (one[0], one[1])):
            held += units
            if held > burst + RELATIVE_TOLERANCE:
                found.append(f"leases of {customer} come to {held:g} at {when:.3f}, of {burst:g}")
                break
    return found


def check_records(events: list[HistoryEvent], final: Mapping[str, Any]) -> list[str]:
    """Records: each version was set once, and the last one is there."""
    found = []
    versions: dict[str, dict[float, HistoryEvent]] = defaultdict(dict)
    for event in events:
        if isinstance(event.operation, w.SetRecord) and isinstance(event.result, Applied):
            known = versions[event.operation.key].setdefault(event.result.value, event)
            if known is not event:
                found.append(f"record {event.operation.key}: version {event.result.value:g} was set twice")
    for key, some in versions.items():
        state, last = final.get(f"record {key}"), max(some)
        if state is None or state.version != last or state.value != some[last].operation.value:
            found.append(f"record {key}: version {last:g} was acknowledged, {state} is held")
    return found


def check_reads(events: list[HistoryEvent]) -> list[str]:
    """Reads of use: at least all acknowledged before they began, at most all begun before they ended."""
    found = []
    for read in events:
        if (
            not isinstance(read.operation, str)
            or not read.operation.startswith("store ")
            or not read.ended_at
        ):
            continue
        customer = read.operation.partition(" ")[2]
        counts = [
            e for e in events if isinstance(e.operation, w.CountUsage) and e.operation.customer == customer
        ]
        least = sum(e.operation.units for e in counts if e.ended_at and e.ended_at < read.started_at)
        most = sum(e.operation.units for e in counts if e.started_at < read.ended_at)
        held = read.result.counted_usage if read.result is not None else 0.0
        if not least - RELATIVE_TOLERANCE * max(1, least) <= held <= most + RELATIVE_TOLERANCE * max(1, most):
            found.append(f"a read of {customer} says {held:g}, not between {least:g} and {most:g}")
    return found
