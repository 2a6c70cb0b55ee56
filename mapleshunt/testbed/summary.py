"""What became of the requests of a run, and why: from the record of what crossed the sockets."""

from __future__ import annotations

from collections import Counter

from ..fleet.quota import TokenBucket
from ..simulation.records import ClientAttempt
from .fleet import LoopbackFleet

NO_ANSWER = "no answer"
UNREACHABLE = "no gateway"


def final(one: ClientAttempt) -> str:
    """served, refused, failed; or why there was no answer."""
    if one.result is not None:
        return str(one.result)
    return NO_ANSWER if one.accepted else UNREACHABLE


def why(one: ClientAttempt, room: bool) -> str:
    """The reason for a try's end, as far as it shows on the wire."""
    last = one.attempts[-1].status if one.attempts else None
    if one.result == "served":
        return "first attempt" if len(one.attempts) == 1 else "further attempt"
    if one.result == "refused":
        if one.attempts:
            return "till servers full" if last == "full" else f"attempt ended: {last or 'out'}"
        return "no slot in time, or no word of its quota" if room else "beyond the quota"
    if one.result == "failed":
        return f"attempt ended: {last or 'out'}" if one.attempts else "nothing was sent"
    if not one.accepted:
        return "connection refused"
    return "its gateway was down" if one.attempts or one.client_notified else "lost"


def reasons(fleet: LoopbackFleet) -> dict[str, Counter[str]]:
    """Counts of tries by final answer and reason."""
    found: dict[str, Counter[str]] = {name: Counter() for name in ("served", "refused", "failed")}
    stores: dict[int, TokenBucket] = {}
    plans, customers = fleet.day.parameters.plans, fleet.day.traffic.customers
    for one in fleet.rule_checker.client_attempts:
        plan = plans[customers[one.request.customer].plan]
        store = stores.setdefault(one.request.customer, TokenBucket(plan.rate, plan.burst))
        room = store.refill(one.sent_at) >= one.request.estimated_units
        found.setdefault(final(one), Counter())[why(one, room)] += 1
        if one.inside_quota:
            store.try_take(one.sent_at, one.request.units)
    return found


def exactly_once(fleet: LoopbackFleet) -> bool:
    """Did every request that a gateway took get one final answer, and no connection bring a second?"""
    return not fleet.clients.strange and all(
        one.result is not None for one in fleet.rule_checker.client_attempts if one.accepted
    )
