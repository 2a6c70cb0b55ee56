"""Outcomes of a run's requests and their reasons, from the record of what crossed the sockets."""

from __future__ import annotations

from collections import Counter

from ..fleet.quota import TokenBucket
from ..simulation.records import ClientAttempt
from .fleet import LoopbackFleet

NO_ANSWER = "no answer"
UNREACHABLE = "no gateway"


def final_answer(attempt: ClientAttempt) -> str:
    """Return "served", "refused" or "failed", or why there was no answer."""
    if attempt.result is not None:
        return str(attempt.result)
    return NO_ANSWER if attempt.accepted else UNREACHABLE


def reason(attempt: ClientAttempt, within_quota: bool) -> str:
    """Return why a client's attempt ended as it did, as far as the wire shows it."""
    match attempt.result:
        case "served":
            return "first attempt" if len(attempt.attempts) == 1 else "further attempt"
        case "refused":
            return _refusal_reason(attempt, within_quota)
        case "failed":
            return _last_status(attempt) if attempt.attempts else "nothing was sent"
    if not attempt.accepted:
        return "connection refused"
    return "its gateway was down" if attempt.attempts or attempt.client_notified else "lost"


def _refusal_reason(attempt: ClientAttempt, within_quota: bool) -> str:
    if attempt.attempts:
        return "till servers full" if attempt.attempts[-1].status == "full" else _last_status(attempt)
    return "no slot in time, or no word of its quota" if within_quota else "beyond the quota"


def _last_status(attempt: ClientAttempt) -> str:
    return f"attempt ended: {attempt.attempts[-1].status or 'out'}"


def reasons(fleet: LoopbackFleet) -> dict[str, Counter[str]]:
    """Return the counts of clients' attempts by final answer and reason."""
    counts: dict[str, Counter[str]] = {name: Counter() for name in ("served", "refused", "failed")}
    buckets: dict[int, TokenBucket] = {}
    plans, customers = fleet.scenario_run.parameters.plans, fleet.scenario_run.traffic.customers
    for attempt in fleet.rule_checker.client_attempts:
        request = attempt.request
        plan = plans[customers[request.customer].plan]
        bucket = buckets.setdefault(request.customer, TokenBucket(plan.rate, plan.burst))
        within_quota = bucket.refill(attempt.sent_at) >= request.estimated_units
        counts.setdefault(final_answer(attempt), Counter())[reason(attempt, within_quota)] += 1
        if attempt.inside_quota:
            bucket.try_take(attempt.sent_at, request.units)
    return counts


def exactly_once(fleet: LoopbackFleet) -> bool:
    """Return whether each request that a gateway accepted got exactly one final answer."""
    accepted = (attempt for attempt in fleet.rule_checker.client_attempts if attempt.accepted)
    return not fleet.clients.unexpected_replies and all(attempt.result is not None for attempt in accepted)
