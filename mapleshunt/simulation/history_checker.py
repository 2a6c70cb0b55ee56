"""Checks of a history of calls and results against the guarantees of replication. No I/O.

Whatever failed, an acknowledged call is neither lost nor applied twice, and reads are consistent with an
order in which each call takes effect between its start and its end.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from ..replicated_state.commands import AcquireLease, CountUsage, ReturnLease, SetRecord
from ..replicated_state.results import Applied, LeaseGranted

RELATIVE_TOLERANCE = 1e-6  # of sums of units
BUCKET_READ_PREFIX = "store "  # of the operation that reads a customer's bucket, as it is sent
MS_PER_SECOND = 1000

LeaseKey = tuple[str, int]  # customer, lease id


@dataclass
class HistoryEvent:
    """A call of a session: a command, or the text of a read. Times are in s.

    `operation` and `result` are any of the commands and results of `replicated_state`, hence untyped.
    `ended_at` is 0 until the call has a result.
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
    violations = [
        f"call {e.number} of session {e.session} was never answered: {e.operation}"
        for e in events
        if not e.ended_at
    ]
    violations += check_counts(events, final)
    violations += check_leases(events, burst)
    violations += check_records(events, final)
    violations += check_reads(events)
    return violations


def check_counts(events: list[HistoryEvent], final: Mapping[str, Any]) -> list[str]:
    """Check that the usage of each customer is the sum of the acknowledged counts."""
    acknowledged: dict[str, float] = defaultdict(float)
    for event in events:
        if isinstance(event.operation, CountUsage) and isinstance(event.result, Applied):
            acknowledged[event.operation.customer] += event.operation.units
    violations = []
    for customer, units in acknowledged.items():
        state = final.get(f"{BUCKET_READ_PREFIX}{customer}")
        stored = state.counted_usage if state is not None else 0.0
        if abs(stored - units) > RELATIVE_TOLERANCE * max(1.0, units):
            violations.append(f"usage of {customer}: {units:g} was acknowledged, {stored:g} is stored")
    return violations


def check_leases(events: list[HistoryEvent], burst: float) -> list[str]:
    """Check that each lease was granted once, and that a customer's leases never exceed the burst in sum.

    A holder may use a lease from the result on, until the lease's term after its call by its own clock, or
    until it returns the lease. The state machine counts the lease for longer.
    """
    violations: list[str] = []
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
            violations.append(f"lease {lease} was granted to {granted[lease].session} and {event.session}")
        granted[lease] = event
        end = event.started_at + event.operation.term_ms / MS_PER_SECOND
        if lease in returned:
            end = min(end, returned[lease].started_at)
        if end > event.ended_at:
            changes[lease[0]] += [(event.ended_at, event.result.units), (end, -event.result.units)]
    return violations + _check_lease_sums(changes, burst)


def _check_lease_sums(changes: Mapping[str, list[tuple[float, float]]], burst: float) -> list[str]:
    """Check the sum of each customer's leases, given its changes; only the first excess is described."""
    violations = []
    for customer, steps in changes.items():
        leased = 0.0
        for when, units in sorted(steps):
            leased += units
            if leased > burst + RELATIVE_TOLERANCE:
                violations.append(
                    f"leases of {customer} sum to {leased:g} at {when:.3f} s, more than the burst {burst:g}"
                )
                break
    return violations


def check_records(events: list[HistoryEvent], final: Mapping[str, Any]) -> list[str]:
    """Check that each version of a record was set once, and that the last one is stored."""
    violations = []
    versions: dict[str, dict[float, HistoryEvent]] = defaultdict(dict)
    for event in events:
        if isinstance(event.operation, SetRecord) and isinstance(event.result, Applied):
            known = versions[event.operation.key].setdefault(event.result.value, event)
            if known is not event:
                violations.append(
                    f"record {event.operation.key}: version {event.result.value:g} was set twice"
                )
    for key, by_version in versions.items():
        state, last = final.get(f"record {key}"), max(by_version)
        if state is None or state.version != last or state.value != by_version[last].operation.value:
            violations.append(f"record {key}: version {last:g} was acknowledged, {state} is stored")
    return violations


def check_reads(events: list[HistoryEvent]) -> list[str]:
    """Check reads of usage: at least all counts acknowledged before, at most all started before their end."""
    violations = []
    for read in events:
        customer = _bucket_read(read)
        if customer is None:
            continue
        counts = [
            e for e in events if isinstance(e.operation, CountUsage) and e.operation.customer == customer
        ]
        lower_bound = sum(e.operation.units for e in counts if e.ended_at and e.ended_at < read.started_at)
        upper_bound = sum(e.operation.units for e in counts if e.started_at < read.ended_at)
        usage = read.result.counted_usage if read.result is not None else 0.0
        if (
            not lower_bound - RELATIVE_TOLERANCE * max(1, lower_bound)
            <= usage
            <= upper_bound + RELATIVE_TOLERANCE * max(1, upper_bound)
        ):
            violations.append(
                f"a read of {customer} says {usage:g}, not between {lower_bound:g} and {upper_bound:g}"
            )
    return violations


def _bucket_read(event: HistoryEvent) -> str | None:
    """Return the customer whose bucket an answered call read, or None."""
    operation = event.operation
    if not isinstance(operation, str) or not operation.startswith(BUCKET_READ_PREFIX) or not event.ended_at:
        return None
    return operation.partition(" ")[2]
