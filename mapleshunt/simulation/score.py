"""The score of a played day: service as operators weigh it, and penalties, from what crossed the wire."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from typing import Protocol

import numpy as np
import numpy.typing as npt

from ..fleet.backend import Backend
from ..fleet.parameters import Parameters
from ..fleet.quota import TokenBucket
from .day import CLASSES, ScenarioRun
from .records import ClientAttempt, RequestRecord
from .rule_checker import RULE_NAMES, RuleChecker

Floats = npt.NDArray[np.float64]
Mask = npt.NDArray[np.bool_]
# The keys of these tables are those of the score's JSON, which operators read.
WEIGHTS = {"whole": 0.55, "worst_window": 0.2, "worst_plan": 0.25}
PENALTY_WEIGHTS = {"waste": 0.08, "late_fail": 0.044, "messages": 0.043, "probes": 0.01, "counter": 0.005}
WINDOW_S, WINDOW_STEP_S = 10.0, 1.0
MESSAGE_UNIT_BYTES = 256
MIN_WINDOW_SHARE = 0.02  # of the offered value, that a window must hold to count
NS_PER_S = 1e9


class CompletedRun(Protocol):
    """What a day leaves behind, played in virtual time or on sockets."""

    scenario_run: ScenarioRun
    requests: list[RequestRecord]
    rule_checker: RuleChecker
    backend_models: dict[int, Backend]
    message_bytes: int
    health_checks: int
    counter_calls: int
    events: int
    total_cpu_ns: int  # of the host and its gateways
    gateway_cpu_ns: int  # of the gateways


@dataclass(slots=True)
class Score:
    """A run's figures; the names of the fields are keys of the JSON that operators read.

    Shares are of 1; `whole` is the share of the value inside quotas that was served within its latency
    objective, `g` is service less all penalties, and `*_s` are seconds.
    """

    scenario: str
    seed: int
    service: float
    whole: float
    worst_window: float
    worst_plan: float
    g: float
    plans: dict[str, float]
    penalties: dict[str, float]
    rules: dict[str, int]
    requests: int
    tries: int  # attempts of clients
    served: int
    refused: int
    failed: int
    over_quota: float  # of the units forwarded, the share beyond the quotas
    refused_with_room: float  # of the attempts inside the quota by a global view, the share rejected
    p50_ms: float
    p99_ms: float
    events: int
    wall_s: float = 0.0
    gateway_cpu_s: float = 0.0
    model_cpu_s: float = 0.0
    stories: list[str] = field(default_factory=list)  # descriptions of the first violations

    def as_dict(self) -> dict[str, object]:
        """Return the score for JSON."""
        return asdict(self)


def requests_inside_quota(day: ScenarioRun) -> list[bool]:
    """Return which requests one gateway that saw them all would admit, by their first attempts."""
    buckets = _Buckets(day)
    inside = []
    for request in day.traffic.requests:
        bucket = buckets.of(request.customer)
        admitted = bucket.try_take(request.arrives_at, request.estimated_units)
        if admitted:
            bucket.settle(request.arrives_at, request.units - request.estimated_units)
        inside.append(admitted)
    return inside


def request_values(day: ScenarioRun) -> list[float]:
    """Return priority weight x plan price x true units for each request."""
    classes, plans, customers = day.parameters.classes, day.parameters.plans, day.traffic.customers
    return [
        classes[request.class_index].priority_weight
        * plans[customers[request.customer].plan].price
        * request.units
        for request in day.traffic.requests
    ]


class _Buckets:
    """A token bucket for each customer's quota, made when it is first needed."""

    def __init__(self, day: ScenarioRun) -> None:
        self._plans = day.parameters.plans
        self._customers = day.traffic.customers
        self._buckets: dict[int, TokenBucket] = {}

    def of(self, customer: int) -> TokenBucket:
        bucket = self._buckets.get(customer)
        if bucket is None:
            plan = self._plans[self._customers[customer].plan]
            bucket = self._buckets[customer] = TokenBucket(plan.rate, plan.burst)
        return bucket


@dataclass(slots=True)
class _Service:
    """The value that was offered inside quotas and the part that was earned, for each request."""

    offered: Floats
    earned: Floats
    latencies_ms: list[float]  # of the served requests
    late_failure_value: float  # of requests that failed after their latency objective

    @property
    def total(self) -> float:
        return float(self.offered.sum()) or 1.0

    def share(self, mask: Mask) -> float:
        """Return the share of the offered value that was earned among the requests of `mask`."""
        offered = float(self.offered[mask].sum())
        return min(1.0, float(self.earned[mask].sum()) / offered) if offered else 1.0


def _measure_service(day: ScenarioRun, records: Sequence[RequestRecord]) -> _Service:
    inside, values = requests_inside_quota(day), request_values(day)
    objectives = [CLASSES[cls.name]["latency_objective"] for cls in day.parameters.classes]
    earned = np.zeros(len(records))
    latencies: list[float] = []
    late = 0.0
    for n, record in enumerate(records):
        objective = objectives[record.request.class_index]
        if record.served_at is not None:
            latency = record.served_at - record.request.arrives_at
            latencies.append(latency)
            if latency <= objective and record.inside_quota:
                earned[n] = values[n]
        elif inside[n] and record.ended_at - record.request.arrives_at > objective:
            late += values[n]
    offered = np.array(values) * np.array(inside, dtype=float)
    return _Service(offered, earned, latencies, late)


def _worst_window(
    day: ScenarioRun, records: Sequence[RequestRecord], service: _Service, everything: Mask
) -> float:
    """Return the least share earned in a window of `WINDOW_S` that holds enough of the offered value."""
    arrivals = np.array([r.request.arrives_at for r in records]) / 1000 if records else np.zeros(0)
    last_begin = max(WINDOW_STEP_S, day.scenario.seconds - WINDOW_S + WINDOW_STEP_S / 2)
    begins = np.arange(0, last_begin, WINDOW_STEP_S)
    windows = [(arrivals >= begin) & (arrivals < begin + WINDOW_S) for begin in begins]
    least = MIN_WINDOW_SHARE * service.total
    counted = [mask for mask in windows if float(service.offered[mask].sum()) > least]
    return min(service.share(mask) for mask in counted or [everything])


@dataclass(slots=True)
class _QuotaUse:
    """How the forwarded and the rejected attempts stood to the quotas."""

    units: float = 0.0
    units_over: float = 0.0
    cost_over: float = 0.0
    inside: int = 0  # attempts that a global view of the quota would admit
    inside_rejected: int = 0


def _measure_quota_use(day: ScenarioRun, attempts: Sequence[ClientAttempt]) -> _QuotaUse:
    """Sum up units over quota, and rejections of attempts that a global view would admit.

    The global view is a bucket that is charged with what was forwarded inside the quota.
    """
    use, buckets = _QuotaUse(), _Buckets(day)
    plans, customers = day.parameters.plans, day.traffic.customers
    for attempt in attempts:
        if not attempt.accepted:
            continue
        request = attempt.request
        plan = plans[customers[request.customer].plan]
        if attempt.inside_quota is not None:
            use.units += request.units
            if not attempt.inside_quota:
                use.units_over += request.units
                weight = day.parameters.classes[request.class_index].priority_weight
                use.cost_over += plan.over_quota_cost * plan.price * weight * request.units
        bucket = buckets.of(request.customer)
        if bucket.refill(attempt.sent_at) >= max(request.estimated_units, bucket.burst / 2):
            use.inside += 1
            if attempt.result == "refused":
                use.inside_rejected += 1
        if attempt.inside_quota:
            bucket.try_take(attempt.sent_at, request.units)
    return use


def _penalties(played: CompletedRun, service: _Service, use: _QuotaUse) -> dict[str, float]:
    offered_work = sum(record.request.work_ms for record in played.requests) or 1.0
    done = sum(backend.work_done_ms for backend in played.backend_models.values())
    useful = sum(
        upstream.backend_request.work_done_ms
        for attempt in played.rule_checker.client_attempts
        if attempt.result == "served"
        for upstream in attempt.attempts
        if upstream.status == "ok"
    )
    requests = max(1, len(played.requests))
    return {
        "waste": PENALTY_WEIGHTS["waste"] * max(0.0, done - useful) / offered_work,
        "late_fail": PENALTY_WEIGHTS["late_fail"] * service.late_failure_value / service.total,
        "messages": PENALTY_WEIGHTS["messages"] * played.message_bytes / MESSAGE_UNIT_BYTES / requests,
        "probes": PENALTY_WEIGHTS["probes"] * played.health_checks / requests,
        "counter": PENALTY_WEIGHTS["counter"] * played.counter_calls / requests,
        "over_quota": use.cost_over / service.total,
    }


def _plan_shares(
    parameters: Parameters, plan_numbers: npt.NDArray[np.int_], service: _Service
) -> dict[str, float]:
    return {plan.name: service.share(plan_numbers == n) for n, plan in enumerate(parameters.plans)}


def score_run(played: CompletedRun) -> Score:
    """Score a day that has been played."""
    day, records, attempts = played.scenario_run, played.requests, played.rule_checker.client_attempts
    service = _measure_service(day, records)
    everything = np.ones(len(records), dtype=bool)
    plan_numbers = np.array([day.traffic.customers[r.request.customer].plan for r in records], dtype=int)
    by_plan = _plan_shares(day.parameters, plan_numbers, service)
    parts = {
        "whole": service.share(everything),
        "worst_window": _worst_window(day, records, service, everything),
        "worst_plan": min(by_plan.values()),
    }
    weighted = sum(WEIGHTS[name] * parts[name] for name in WEIGHTS)
    use = _measure_quota_use(day, attempts)
    penalties = _penalties(played, service, use)
    results = [attempt.result for attempt in attempts]
    median, p99 = np.quantile(service.latencies_ms, [0.5, 0.99]) if service.latencies_ms else np.zeros(2)
    gateway_cpu_s = played.gateway_cpu_ns / NS_PER_S
    return Score(
        scenario=day.scenario.name, seed=day.seed, service=weighted, **parts,
        g=weighted - sum(penalties.values()), plans=by_plan, penalties=penalties,
        rules={name: played.rule_checker.violations[name] for name in RULE_NAMES}, requests=len(records),
        tries=len(attempts), served=results.count("served"), refused=results.count("refused"),
        failed=results.count("failed"), over_quota=use.units_over / use.units if use.units else 0.0,
        refused_with_room=use.inside_rejected / use.inside if use.inside else 0.0,
        p50_ms=float(median), p99_ms=float(p99), events=played.events, gateway_cpu_s=gateway_cpu_s,
        model_cpu_s=max(0.0, played.total_cpu_ns / NS_PER_S - gateway_cpu_s),
        stories=played.rule_checker.descriptions,
    )  # fmt: skip
