"""Service as the operators weigh it, and each penalty, from the record of what crossed the wire."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Protocol

import numpy as np

from ..fleet.backend import Backend
from ..fleet.quota import TokenBucket
from .day import CLASSES, Day
from .records import RequestRecord
from .rule_checker import RULE_NAMES, RuleChecker

WEIGHTS = {"whole": 0.55, "worst_window": 0.2, "worst_plan": 0.25}
PENALTY_WEIGHTS = {"waste": 0.08, "late_fail": 0.044, "messages": 0.043, "probes": 0.01, "counter": 0.005}
WINDOW_S, WINDOW_STEP_S = 10.0, 1.0  # s
MESSAGE_UNIT_BYTES = 256  # bytes
MIN_WINDOW_SHARE = 0.02  # part of the offered worth that a window must hold to count


class PlayedDay(Protocol):
    """What a day leaves behind, in the model or on sockets."""

    day: Day
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
    """A run's figures. Shares are of 1; `g` is service less all penalties; `*_s` are seconds."""

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
    tries: int
    served: int
    refused: int
    failed: int
    over_quota: float  # of the units sent on, those beyond the quotas
    refused_with_room: float  # of the tries inside the quota as one that sees all has it, those refused
    p50_ms: float
    p99_ms: float
    events: int
    wall_s: float = 0.0
    gateway_cpu_s: float = 0.0
    model_cpu_s: float = 0.0
    stories: list[str] = field(default_factory=list)

    def as_dict(self) -> dict[str, object]:
        return asdict(self)


def requests_inside_quota(day: Day) -> list[bool]:
    """Which first tries one gateway that saw them all would let in."""
    stores: dict[int, TokenBucket] = {}
    inside = []
    for ask in day.traffic.requests:
        store = stores.get(ask.customer)
        if store is None:
            plan = day.parameters.plans[day.traffic.customers[ask.customer].plan]
            store = stores[ask.customer] = TokenBucket(plan.rate, plan.burst)
        good = store.try_take(ask.arrives_at, ask.estimated_units)
        if good:
            store.settle(ask.arrives_at, ask.units - ask.estimated_units)
        inside.append(good)
    return inside


def request_values(day: Day) -> list[float]:
    """Class worth x plan price x true units, for each first try."""
    classes, plans, customers = day.parameters.classes, day.parameters.plans, day.traffic.customers
    return [
        classes[a.class_index].priority_weight * plans[customers[a.customer].plan].price * a.units
        for a in day.traffic.requests
    ]


def score_day(engine: PlayedDay) -> Score:
    """Judge a day that has been played."""
    day, records, tries = engine.day, engine.requests, engine.rule_checker.client_attempts
    inside, worth = requests_inside_quota(day), request_values(day)
    aims = [CLASSES[shape.name]["latency_objective"] for shape in day.parameters.classes]
    customers, plans = day.traffic.customers, day.parameters.plans
    at = np.array([r.request.arrives_at for r in records]) / 1000 if records else np.zeros(0)
    weight = np.array(worth)
    asked = weight * np.array(inside, dtype=float)
    earned = np.zeros(len(records))
    took, late = [], 0.0
    for n, record in enumerate(records):
        if record.served_at is not None:
            took.append(record.served_at - record.request.arrives_at)
            if took[-1] <= aims[record.request.class_index] and record.inside_quota:
                earned[n] = worth[n]
        elif inside[n] and record.ended_at - record.request.arrives_at > aims[record.request.class_index]:
            late += worth[n]
    total = float(asked.sum()) or 1.0

    def share(mask: np.ndarray) -> float:
        there = float(asked[mask].sum())
        return min(1.0, float(earned[mask].sum()) / there) if there else 1.0

    everything = np.ones(len(records), dtype=bool)
    plan_of = np.array([customers[r.request.customer].plan for r in records], dtype=int)
    by_plan = {shape.name: share(plan_of == n) for n, shape in enumerate(plans)}
    begins = np.arange(
        0, max(WINDOW_STEP_S, day.scenario.seconds - WINDOW_S + WINDOW_STEP_S / 2), WINDOW_STEP_S
    )
    windows = [(at >= b) & (at < b + WINDOW_S) for b in begins]
    windows = [mask for mask in windows if float(asked[mask].sum()) > MIN_WINDOW_SHARE * total] or [
        everything
    ]
    whole, worst_window = share(everything), min(share(mask) for mask in windows)
    worst_plan = min(by_plan.values())
    service = (
        WEIGHTS["whole"] * whole + WEIGHTS["worst_window"] * worst_window + WEIGHTS["worst_plan"] * worst_plan
    )

    first = max(1, len(records))
    offered_work = sum(r.request.work_ms for r in records) or 1.0
    spent = sum(till.work_done_ms for till in engine.backend_models.values())
    useful = sum(
        a.backend_request.work_done_ms
        for t in tries
        if t.result == "served"
        for a in t.attempts
        if a.status == "ok"
    )
    over = units = over_units = 0.0
    room = refused_room = 0
    shadows: dict[int, TokenBucket] = {}
    for one in tries:
        if not one.accepted:
            continue
        plan = plans[customers[one.request.customer].plan]
        if one.inside_quota is not None:
            units += one.request.units
            if not one.inside_quota:
                over_units += one.request.units
                over += (
                    plan.over_quota_cost
                    * plan.price
                    * day.parameters.classes[one.request.class_index].priority_weight
                    * one.request.units
                )
        # A store that takes what was sent on inside the quota says which refused tries had room.
        store = shadows.get(one.request.customer)
        if store is None:
            store = shadows[one.request.customer] = TokenBucket(plan.rate, plan.burst)
        if store.refill(one.sent_at) >= max(one.request.estimated_units, store.burst / 2):
            room += 1
            refused_room += one.result == "refused"
        if one.inside_quota:
            store.try_take(one.sent_at, one.request.units)
    penalties = {
        "waste": PENALTY_WEIGHTS["waste"] * max(0.0, spent - useful) / offered_work,
        "late_fail": PENALTY_WEIGHTS["late_fail"] * late / total,
        "messages": PENALTY_WEIGHTS["messages"] * engine.message_bytes / MESSAGE_UNIT_BYTES / first,
        "probes": PENALTY_WEIGHTS["probes"] * engine.health_checks / first,
        "counter": PENALTY_WEIGHTS["counter"] * engine.counter_calls / first,
        "over_quota": over / total,
    }
    final = [t.result for t in tries]
    quantiles = np.quantile(took, [0.5, 0.99]) if took else np.zeros(2)
    cpu, gateway_cpu = engine.total_cpu_ns / 1e9, engine.gateway_cpu_ns / 1e9
    return Score(
        scenario=day.scenario.name, seed=day.seed, service=service, whole=whole, worst_window=worst_window,
        worst_plan=worst_plan, g=service - sum(penalties.values()), plans=by_plan, penalties=penalties,
        rules={name: engine.rule_checker.violations[name] for name in RULE_NAMES}, requests=len(records),
        tries=len(tries),
        served=final.count("served"), refused=final.count("refused"), failed=final.count("failed"),
        over_quota=over_units / units if units else 0.0,
        refused_with_room=refused_room / room if room else 0.0,
        p50_ms=float(quantiles[0]), p99_ms=float(quantiles[1]), events=engine.events,
        gateway_cpu_s=gateway_cpu, model_cpu_s=max(0.0, cpu - gateway_cpu),
        stories=engine.rule_checker.descriptions,
    )  # fmt: skip
