"""The score of a run: service as operators weigh it, and penalties, from the traffic on the wire."""

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
MIN_WINDOW_SHARE = 0.02  # least share of the offered value in a window that counts
NS_PER_S = 1e9


class CompletedRun(Protocol):
    """The records of a completed run, in virtual time or on sockets."""

    scenario_run: ScenarioRun
    requests: list[RequestRecord]
    rule_checker: RuleChecker
    backend_models: dict[int, Backend]
    message_bytes: int
    health_checks: int
    counter_calls: int
    events: int
    total_cpu_ns: int  # of the host including its gateways
    gateway_cpu_ns: int  # of the gateways


@dataclass(slots=True)
class Score:
    """A run's figures; the names of the fields are keys of the JSON that operators read.

    Shares are of 1; `whole` is the share of the value inside quotas that was served within its latency
    objective, `g` is service minus all penalties, and `*_s` are seconds.
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
    over_quota: float  # share of the forwarded units that exceeded quotas
    refused_with_room: float  # share rejected of the attempts inside the quota by a global view
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


def requests_inside_quota(scenario_run: ScenarioRun) -> list[bool]:
    """Return which requests a single gateway would admit if it received all of them, without retries."""
    buckets = _QuotaBuckets(scenario_run)
    inside = []
    for request in scenario_run.traffic.requests:
        bucket = buckets.of(request.customer)
        admitted = bucket.try_take(request.arrives_at, request.estimated_units)
        if admitted:
            bucket.settle(request.arrives_at, request.units - request.estimated_units)
        inside.append(admitted)
    return inside


def request_values(scenario_run: ScenarioRun) -> list[float]:
    """Return priority weight x plan price x true units for each request."""
    classes, plans, customers = (
        scenario_run.parameters.classes,
        scenario_run.parameters.plans,
        scenario_run.traffic.customers,
    )
    return [
        classes[request.class_index].priority_weight
        * plans[customers[request.customer].plan].price
        * request.units
        for request in scenario_run.traffic.requests
    ]


class _QuotaBuckets:
    """A token bucket for each customer's quota, created when it is first needed."""

    def __init__(self, scenario_run: ScenarioRun) -> None:
        self._plans = scenario_run.parameters.plans
        self._customers = scenario_run.traffic.customers
        self._buckets: dict[int, TokenBucket] = {}

    def of(self, customer: int) -> TokenBucket:
        bucket = self._buckets.get(customer)
        if bucket is None:
            plan = self._plans[self._customers[customer].plan]
            bucket = self._buckets[customer] = TokenBucket(plan.rate, plan.burst)
        return bucket


@dataclass(slots=True)
class _Service:
    """For each request, the value offered inside quotas and the value earned."""

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


def _measure_service(scenario_run: ScenarioRun, records: Sequence[RequestRecord]) -> _Service:
    inside, values = requests_inside_quota(scenario_run), request_values(scenario_run)
    objectives = [CLASSES[cls.name]["latency_objective"] for cls in scenario_run.parameters.classes]
    earned = np.zeros(len(records))
    latencies: list[float] = []
    late_failure_value = 0.0
    for index, record in enumerate(records):
        objective = objectives[record.request.class_index]
        if record.served_at is not None:
            latency = record.served_at - record.request.arrives_at
            latencies.append(latency)
            if latency <= objective and record.inside_quota:
                earned[index] = values[index]
        elif inside[index] and record.ended_at - record.request.arrives_at > objective:
            late_failure_value += values[index]
    offered = np.array(values) * np.array(inside, dtype=float)
    return _Service(offered, earned, latencies, late_failure_value)


def _worst_window(
    scenario_run: ScenarioRun, records: Sequence[RequestRecord], service: _Service, everything: Mask
) -> float:
    """Return the least share earned in a window of `WINDOW_S` with enough of the offered value."""
    arrivals = np.array([record.request.arrives_at for record in records]) / 1000 if records else np.zeros(0)
    last_begin = max(WINDOW_STEP_S, scenario_run.scenario.seconds - WINDOW_S + WINDOW_STEP_S / 2)
    begins = np.arange(0, last_begin, WINDOW_STEP_S)
    windows = [(arrivals >= begin) & (arrivals < begin + WINDOW_S) for begin in begins]
    min_offered = MIN_WINDOW_SHARE * service.total
    counted = [mask for mask in windows if float(service.offered[mask].sum()) > min_offered]
    return min(service.share(mask) for mask in counted or [everything])


@dataclass(slots=True)
class _QuotaUse:
    """Forwarded and rejected attempts in relation to the quotas."""

    units: float = 0.0
    units_over: float = 0.0
    cost_over: float = 0.0
    inside: int = 0  # attempts that a global view of the quotas would admit
    inside_rejected: int = 0


def _measure_quota_use(scenario_run: ScenarioRun, attempts: Sequence[ClientAttempt]) -> _QuotaUse:
    """Sum up units beyond quotas, and rejections of attempts that a global view would admit.

    The global view is a bucket for each customer, charged with the units forwarded inside the quota.
    """
    use, buckets = _QuotaUse(), _QuotaBuckets(scenario_run)
    plans, customers = scenario_run.parameters.plans, scenario_run.traffic.customers
    for attempt in attempts:
        if not attempt.accepted:
            continue
        request = attempt.request
        plan = plans[customers[request.customer].plan]
        if attempt.inside_quota is not None:
            use.units += request.units
            if not attempt.inside_quota:
                use.units_over += request.units
                weight = scenario_run.parameters.classes[request.class_index].priority_weight
                use.cost_over += plan.over_quota_cost * plan.price * weight * request.units
        bucket = buckets.of(request.customer)
        if bucket.refill(attempt.sent_at) >= max(request.estimated_units, bucket.burst / 2):
            use.inside += 1
            if attempt.result == "refused":
                use.inside_rejected += 1
        if attempt.inside_quota:
            bucket.try_take(attempt.sent_at, request.units)
    return use


def _penalties(run: CompletedRun, service: _Service, use: _QuotaUse) -> dict[str, float]:
    offered_work = sum(record.request.work_ms for record in run.requests) or 1.0
    done = sum(backend.work_done_ms for backend in run.backend_models.values())
    useful = sum(
        upstream.backend_request.work_done_ms
        for attempt in run.rule_checker.client_attempts
        if attempt.result == "served"
        for upstream in attempt.attempts
        if upstream.status == "ok"
    )
    requests = max(1, len(run.requests))
    return {
        "waste": PENALTY_WEIGHTS["waste"] * max(0.0, done - useful) / offered_work,
        "late_fail": PENALTY_WEIGHTS["late_fail"] * service.late_failure_value / service.total,
        "messages": PENALTY_WEIGHTS["messages"] * run.message_bytes / MESSAGE_UNIT_BYTES / requests,
        "probes": PENALTY_WEIGHTS["probes"] * run.health_checks / requests,
        "counter": PENALTY_WEIGHTS["counter"] * run.counter_calls / requests,
        "over_quota": use.cost_over / service.total,
    }


def _plan_shares(
    parameters: Parameters, plan_numbers: npt.NDArray[np.int_], service: _Service
) -> dict[str, float]:
    return {plan.name: service.share(plan_numbers == number) for number, plan in enumerate(parameters.plans)}


def score_run(run: CompletedRun) -> Score:
    """Return the score of a completed run."""
    scenario_run, records, attempts = (
        run.scenario_run,
        run.requests,
        run.rule_checker.client_attempts,
    )
    service = _measure_service(scenario_run, records)
    everything = np.ones(len(records), dtype=bool)
    plan_numbers = np.array(
        [scenario_run.traffic.customers[record.request.customer].plan for record in records], dtype=int
    )
    by_plan = _plan_shares(scenario_run.parameters, plan_numbers, service)
    parts = {
        "whole": service.share(everything),
        "worst_window": _worst_window(scenario_run, records, service, everything),
        "worst_plan": min(by_plan.values()),
    }
    weighted = sum(WEIGHTS[name] * parts[name] for name in WEIGHTS)
    use = _measure_quota_use(scenario_run, attempts)
    penalties = _penalties(run, service, use)
    results = [attempt.result for attempt in attempts]
    median, p99 = np.quantile(service.latencies_ms, [0.5, 0.99]) if service.latencies_ms else np.zeros(2)
    gateway_cpu_s = run.gateway_cpu_ns / NS_PER_S
    return Score(
        scenario=scenario_run.scenario.name, seed=scenario_run.seed, service=weighted, **parts,
        g=weighted - sum(penalties.values()), plans=by_plan, penalties=penalties,
        rules={name: run.rule_checker.violations[name] for name in RULE_NAMES}, requests=len(records),
        tries=len(attempts), served=results.count("served"), refused=results.count("refused"),
        failed=results.count("failed"), over_quota=use.units_over / use.units if use.units else 0.0,
        refused_with_room=use.inside_rejected / use.inside if use.inside else 0.0,
        p50_ms=float(median), p99_ms=float(p99), events=run.events, gateway_cpu_s=gateway_cpu_s,
        model_cpu_s=max(0.0, run.total_cpu_ns / NS_PER_S - gateway_cpu_s),
        stories=run.rule_checker.descriptions,
    )  # fmt: skip
