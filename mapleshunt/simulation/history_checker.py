"""Checks a history of calls and results against the guarantees of replication, whatever failed. No I/O.

An acknowledged call is neither lost nor applied twice, and a read is explained by an order in which every
call lies between its start and its end.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from ..replicated_state.commands import AcquireLease, CountUsage, ReturnLease, SetRecord
from ..replicated_state.results import Applied, LeaseGranted

RELATIVE_TOLERANCE = 1e-6  # of sums of units
READ_OF_BUCKET = "store "  # begins the operation of a read of a customer's bucket, as it is sent
MS_PER_SECOND = 1000

LeaseKey = tuple[str, int]  # customer, lease id


@dataclass
class HistoryEvent:
    """A call of a session: a command, or the name of what was read. Times are in s.

    `operation` and `result` are any of the commands and results of `replicated_state`, hence untyped.
    `ended_at` is 0 until the call was answered.
    """

    session: str
    number: int
    operation: Any
    started_at: float
    result: Any = None
    ended_at: float = 0.0


def find_violations(history: Iterable[HistoryEvent], final: Mapping[str, Any], burst: float) -> list[str]:
    """Return a description of every violation.

    Args:
        history: All calls.
        final: The state of each bucket and record at the end, read after all faults had ended.
        burst: The burst of every bucket.
    """
    events = list(history)
    found = [f"{e.session} {e.number} was never answered: {e.operation}" for e in events if not e.ended_at]
    found += check_counts(events, final)
    found += check_leases(events, burst)
    found += check_records(events, final)
    found += check_reads(events)
    return found


def check_counts(events: list[HistoryEvent], final: Mapping[str, Any]) -> list[str]:
    """Check that the usage of each customer is the sum of what was acknowledged."""
    acknowledged: dict[str, float] = defaultdict(float)
    for event in events:
        if isinstance(event.operation, CountUsage) and isinstance(event.result, Applied):
            acknowledged[event.operation.customer] += event.operation.units
    found = []
    for customer, units in acknowledged.items():
        state = final.get(f"{READ_OF_BUCKET}{customer}")
        held = state.counted_usage if state is not None else 0.0
        if abs(held - units) > RELATIVE_TOLERANCE * max(1.0, units):
            found.append(f"use of {customer}: {units:g} was acknowledged, {held:g} is held")
    return found


def check_leases(events: list[HistoryEvent], burst: float) -> list[str]:
    """Check that each lease was granted once, and that leases never sum up to more than the burst.

    A holder may spend from its result on, until the lease's term after its call by its own clock, or until it
    returns the lease; the state machine counts the lease for longer.
    """
    found: list[str] = []
    granted: dict[LeaseKey, HistoryEvent] = {}
    changes: dict[str, list[tuple[float, float]]] = defaultdict(list)  # by customer: time, units
    returned = {
        (e.operation.customer, e.operation.lease_id): e
        for e in events
        if isinstance(e.operation, ReturnLease)
    }
    for event in events:
        if not isinstance(event.operation, AcquireLease) or not isinstance(event.result, LeaseGranted):
            continue
        lease = event.operation.customer, event.result.lease_id
        if lease in granted:
            found.append(f"lease {lease} was granted to {granted[lease].session} and {event.session}")
        granted[lease] = event
        end = event.started_at + event.operation.term_ms / MS_PER_SECOND
        if lease in returned:
            end = min(end, returned[lease].started_at)
        if end > event.ended_at:
            changes[lease[0]] += [(event.ended_at, event.result.units), (end, -event.result.units)]
    return found + _check_lease_sums(changes, burst)


def _check_lease_sums(changes: Mapping[str, list[tuple[float, float]]], burst: float) -> list[str]:
    """Check each customer's leases, as changes of their sum; the first excess is described."""
    found = []
    for customer, steps in changes.items():
        held = 0.0
        for when, units in sorted(steps):
            held += units
            if held > burst + RELATIVE_TOLERANCE:
                found.append(f"leases of {customer} come to {held:g} at {when:.3f}, of {burst:g}")
                break
    return found


def check_records(events: list[HistoryEvent], final: Mapping[str, Any]) -> list[str]:
    """Check that each version of a record was set once, and that the last one is held."""
    found = []
    versions: dict[str, dict[float, HistoryEvent]] = defaultdict(dict)
    for event in events:
        if isinstance(event.operation, SetRecord) and isinstance(event.result, Applied):
            known = versions[event.operation.key].setdefault(event.result.value, event)
            if known is not event:
                found.append(f"record {event.operation.key}: version {event.result.value:g} was set twice")
    for key, by_version in versions.items():
        state, last = final.get(f"record {key}"), max(by_version)
        if state is None or state.version != last or state.value != by_version[last].operation.value:
            found.append(f"record {key}: version {last:g} was acknowledged, {state} is held")
    return found


def check_reads(events: list[HistoryEvent]) -> list[str]:
    """Check reads of usage: at least all acknowledged before, at most all started before their end."""
    found = []
    for read in events:
        customer = _bucket_read(read)
        if customer is None:
            continue
        counts = [
            e for e in events if isinstance(e.operation, CountUsage) and e.operation.customer == customer
        ]
        least = sum(e.operation.units for e in counts if e.ended_at and e.ended_at < read.started_at)
        most = sum(e.operation.units for e in counts if e.started_at < read.ended_at)
        held = read.result.counted_usage if read.result is not None else 0.0
        if not least - RELATIVE_TOLERANCE * max(1, least) <= held <= most + RELATIVE_TOLERANCE * max(1, most):
            found.append(f"a read of {customer} says {held:g}, not between {least:g} and {most:g}")
    return found


def _bucket_read(event: HistoryEvent) -> str | None:
    """Return the customer whose bucket an answered call read, or None."""
    operation = event.operation
    if not isinstance(operation, str) or not operation.startswith(READ_OF_BUCKET) or not event.ended_at:
        return None
    return operation.partition(" ")[2]
