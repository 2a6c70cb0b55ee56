"""Direct estimates from recordings: work by class, units and the customers' rates."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence

import numpy as np
import numpy.typing as npt

from ..fleet import clients
from ..recording.file_format import RecordedRequest
from .fitted_fleet import FittedClass, FittedCustomer, Spell
from .recorded_traffic import Floats, ServedWork, Traffic, segment_rates

MIN_SERVED_ATTEMPTS = 200  # for a fit
MIN_BACKEND_ATTEMPTS = 10  # for an estimate of one backend's speed
MIN_UNIT_SAMPLES = 20  # for an estimate of the unit, and of the error of estimated units
DEFAULT_UNIT_MS = 60.0
DEFAULT_ESTIMATE_SIGMA = 0.5  # of the logarithm of estimated over true units
MAX_UNITS = 8
MEDIAN_ERROR_FACTOR = 1.57  # variance of a normal sample's median over that of its mean

Served = Sequence[tuple[RecordedRequest, int]]


def fit_classes(
    traffic: Traffic, served_work: ServedWork, priority_weights: Mapping[str, float]
) -> tuple[list[FittedClass], float]:
    """Return the classes with their work, and the spread of the backends' speeds.

    Raises:
        ValueError: there are too few served attempts.
    """
    rows, work = served_work
    if len(rows) < MIN_SERVED_ATTEMPTS:
        raise ValueError(
            f"too few served attempts for a fit: got {len(rows)}, need at least {MIN_SERVED_ATTEMPTS}"
        )
    first_attempts = traffic.first_attempts()
    normalized, spread = _normalize_speeds(rows, work)
    weights = _admission_weights(first_attempts, rows)
    classes = []
    for name in sorted({row.request_class for row in first_attempts}):
        in_class = np.array([row.request_class == name for row, _ in rows])
        share = sum(row.request_class == name for row in first_attempts) / len(first_attempts)
        priority_weight = priority_weights.get(name, 1.0)
        if weights[in_class].sum() <= 0:
            classes.append(FittedClass(name, share, float(normalized.mean()), 1.0, 1.0, priority_weight))
            continue
        mean = float(np.average(normalized[in_class], weights=weights[in_class]))
        cv = (
            math.sqrt(float(np.average((normalized[in_class] - mean) ** 2, weights=weights[in_class]))) / mean
        )
        count = float(weights[in_class].sum() ** 2 / (weights[in_class] ** 2).sum())
        classes.append(FittedClass(name, share, mean, cv / math.sqrt(count), cv, priority_weight))
    return classes, math.sqrt(max(0.0, spread))


def _normalize_speeds(rows: Served, work: Floats) -> tuple[Floats, float]:
    """Return the attempts' work scaled to the mean backend, and the variance of the backends' log speeds."""
    servers = sorted({server for _, server in rows})
    backend = np.array([servers.index(server) for _, server in rows])
    # A backend's relative speed is estimated from the work of its attempts per reported unit.
    units = np.array([max(0.5, row.true_cost - 0.5) for row, _ in rows])
    residual = np.log(work / units)
    residual -= float(np.median(residual))
    effects, errors = np.zeros(len(servers)), np.ones(len(servers))
    for number in range(len(servers)):
        samples = residual[backend == number]
        if len(samples) >= MIN_BACKEND_ATTEMPTS:
            effects[number] = float(np.median(samples))
            errors[number] = MEDIAN_ERROR_FACTOR * float(samples.var(ddof=1)) / len(samples)
    known = effects[errors < 1]
    spread = 0.0
    if len(known) > 1:
        spread = float(np.var(known, ddof=1)) - float(np.mean(errors[errors < 1]))
    # Fast backends get more attempts, so the mean is over backends, not over attempts.
    level = float(np.mean(np.exp(known))) if len(known) else 1.0
    return work / np.exp(effects)[backend] * level, spread


def _admission_weights(first_attempts: Sequence[RecordedRequest], rows: Served) -> npt.NDArray[np.float64]:
    """Return weights of served attempts that correct for rejection, which is likelier for many units."""
    arrived = Counter((row.request_class, row.estimated_cost) for row in first_attempts)
    served = Counter((row.request_class, row.estimated_cost) for row, _ in rows)
    keys = [(row.request_class, row.estimated_cost) for row, _ in rows]
    return np.array([arrived[key] / served[key] for key in keys])


def fit_units(traffic: Traffic, served_work: ServedWork) -> tuple[float, float]:
    """Return the work of a unit (ms), and the coefficient of variation of estimated over true units."""
    rows, work = served_work
    reported = [(ms, row.true_cost) for (row, _), ms in zip(rows, work, strict=True) if row.true_cost > 0]
    estimate_ratios = [
        row.estimated_cost / row.true_cost
        for row in traffic.rows
        if row.true_cost > 0 and 1 < row.estimated_cost < MAX_UNITS
    ]
    unit_ms = DEFAULT_UNIT_MS
    if len(reported) > MIN_UNIT_SAMPLES:
        unit_ms = _bisect_unit(np.array([ms for ms, _ in reported]), float(np.mean([c for _, c in reported])))
    sigma = (
        float(np.std(np.log(estimate_ratios)))
        if len(estimate_ratios) > MIN_UNIT_SAMPLES
        else DEFAULT_ESTIMATE_SIGMA
    )
    return unit_ms, math.sqrt(math.expm1(sigma * sigma))


def _bisect_unit(work: Floats, mean_units: float) -> float:
    """Return the unit (ms) at which work, rounded up to whole units, has the reported mean."""
    low, high = 1.0, float(work.max())
    unit_ms = DEFAULT_UNIT_MS
    for _ in range(50):
        unit_ms = (low + high) / 2
        if float(np.clip(np.ceil(work / unit_ms), 1, MAX_UNITS).mean()) > mean_units:
            low = unit_ms
        else:
            high = unit_ms
    return unit_ms


def fit_customers(traffic: Traffic) -> list[FittedCustomer]:
    """Return the customers with their rates, scaled up for gateways without a recording."""
    rows_by_customer: dict[bytes, list[RecordedRequest]] = {}
    for row in traffic.first_attempts():
        rows_by_customer.setdefault(row.customer, []).append(row)
    return [_fit_customer(traffic, name, rows) for name, rows in sorted(rows_by_customer.items())]


def _fit_customer(traffic: Traffic, name: bytes, rows: Sequence[RecordedRequest]) -> FittedCustomer:
    steps = max(1, math.ceil(traffic.length / clients.RATE_STEP_MS))
    last = rows[-1]
    members = {(last.gateway_set_offset + n) % traffic.gateways for n in range(last.gateway_set_size)}
    recorded = len(members & set(traffic.recorded)) or 1
    step_numbers = np.array([(row.arrived_at - traffic.begin) / clients.RATE_STEP_MS for row in rows]).astype(
        int
    )
    rate = segment_rates(np.bincount(np.clip(step_numbers, 0, steps - 1), minlength=steps).astype(np.int64))
    rate = rate * 1000 / clients.RATE_STEP_MS * len(members) / recorded
    changes = [0, *(np.flatnonzero(np.diff(rate)) + 1).tolist()]
    spells = tuple(Spell(n * clients.RATE_STEP_MS, float(rate[n])) for n in changes)
    return FittedCustomer(name.hex(), last.plan, last.gateway_set_size, last.gateway_set_offset, spells)
