"""Parameters of an emulated fleet, by name, with their ranges.

Ranges come from the operators' pages, except those marked as guessed, which are only plausible: an experiment
that depends on one should sweep it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

import numpy as np

from .random_streams import Rng


class ParameterError(ValueError):
    """An override has an unknown name, or a value that is not a finite number of 0 or more."""


@dataclass(slots=True, frozen=True)
class ParameterRange:
    """A uniform distribution from `low` to `high`; `guessed` if no page documents it."""

    low: float
    high: float
    guessed: bool = False
    integral: bool = False  # rounded to a whole number

    def draw(self, rng: Rng) -> float:
        """Draw one value."""
        value = float(rng.uniform(self.low, self.high))
        return float(round(value)) if self.integral else value


PARAMETER_RANGES: dict[str, ParameterRange] = {
    # Backends. Times are ms, work is ms of one core at speed 1.
    "cores": ParameterRange(3, 3, integral=True),
    "speed": ParameterRange(0.85, 1.1),
    "speed_cv": ParameterRange(0.034, 0.23),
    "slots_per_core": ParameterRange(2, 6),
    "queue_per_core": ParameterRange(8.6, 27),
    # Relative slowdown for each request per core beyond `thrash_at`.
    "thrash": ParameterRange(0.068, 0.21),
    "thrash_at": ParameterRange(3.5, 7.6),
    "cold_from": ParameterRange(0.25, 0.48),
    "cold_ms": ParameterRange(5200, 15000),
    "warm_by_work": ParameterRange(0, 0),  # 1: work done shortens the warm-up
    # Work that completes the warm-up, as a share of a warm backend's work in that time.
    "warm_work": ParameterRange(0.15, 0.25, guessed=True),
    "error_rate": ParameterRange(0, 0.001),
    "drops_cancelled": ParameterRange(
        0, 1, integral=True
    ),  # 1: queued requests that were cancelled do not run
    "drops_expired": ParameterRange(0, 1, integral=True),
    "handshake_rtts": ParameterRange(1, 3, integral=True),
    "handshake_work": ParameterRange(0.64, 1.7),
    "conn_cap_per_core": ParameterRange(430, 890),
    "conn_tax": ParameterRange(0.031, 0.15),  # share of capacity that a full connection table costs
    "conn_idle_ms": ParameterRange(30000, 30000),
    "dial_ms": ParameterRange(250, 250),  # timeout of a connection attempt
    "report_period_ms": ParameterRange(180, 720),
    "report_delay_ms": ParameterRange(2.9, 280),
    "report_noise": ParameterRange(0.048, 0.11),
    "cell_size": ParameterRange(3, 5, integral=True),
    # Tolerance of the overload budget above which a backend collapses.
    "push_slack": ParameterRange(0.1, 0.1, guessed=True),
    # Network.
    "same_ms": ParameterRange(0.085, 0.25),  # one way, gateway to backend
    "client_ms": ParameterRange(0.22, 1.2),
    "jitter": ParameterRange(0.1, 0.29),
    "peer_ms": ParameterRange(2.2, 31),
    "peer_loss": ParameterRange(0.0041, 0.08),
    # The gateway: processing time of each event.
    "event_ms": ParameterRange(0.1, 0.35, guessed=True),
    # Discovery.
    "notice_ms": ParameterRange(670, 4300),
    "silent_notice_ms": ParameterRange(5100, 12000),
    "add_ms": ParameterRange(210, 2200),
    "list_spread_ms": ParameterRange(39, 320),
    # The shared counter.
    "counter_per_s": ParameterRange(750, 1000),
    "counter_ms": ParameterRange(0.59, 1.8),
    "counter_wait_ms": ParameterRange(80, 80),
    "counter_line": ParameterRange(0.4, 3.0),  # longest queue, in timeouts of a call
    # Front and clients.
    "front_notice_ms": ParameterRange(1600, 3200),
    "retries": ParameterRange(2, 3.99),
    "try_share": ParameterRange(0.5, 1),  # least timeout of an attempt, as a share of the deadline
    "backoff_ms": ParameterRange(50, 400),
    "backoff_grows": ParameterRange(0, 1, integral=True),
    "honour": ParameterRange(0.56, 0.97),
    "elsewhere": ParameterRange(0.012, 0.79),
    "skew": ParameterRange(0.27, 0.9),
    "shift_ms": ParameterRange(6400, 25000),
    "swing": ParameterRange(0.071, 0.18),
    # Customers: shares of them, and multiples of their rate.
    "calm_use": ParameterRange(0.19, 0.49),
    "full": ParameterRange(0.08, 0.25),
    "heavy": ParameterRange(0.094, 0.14),
    "heavy_x": ParameterRange(2.3, 4.2),
    "heavy_spell_ms": ParameterRange(8000, 30000, guessed=True),
    "spiky": ParameterRange(0.1, 0.25),
    "spike_x": ParameterRange(2.3, 7.5),
    "spike_ms": ParameterRange(580, 5000),
    "spike_every_ms": ParameterRange(13000, 21000),
    # Units: true units follow the work, estimates differ by a lognormal factor.
    "unit_ms": ParameterRange(45, 75, guessed=True),
    "guess_cv": ParameterRange(0.4, 0.7),
    "most_units": ParameterRange(8, 8, integral=True),
}


@dataclass(slots=True, frozen=True)
class ClassParameters:
    """A request class.

    `share` of all requests, mean `work` in ms of a core, coefficients of variation of the work: `cv` over
    requests and `noise` over the attempts of one request.
    """

    name: str
    share: float
    work: float
    cv: float
    noise: float
    priority_weight: float


@dataclass(slots=True, frozen=True)
class PlanParameters:
    """A plan as the operators price it; `share` is its share of the usage inside quotas."""

    name: str
    share: float
    rate: float  # units a second
    burst: float  # units
    price: float
    over_quota_cost: float
    gateway_share: float  # share of the gateways in a customer's gateway set


CLASS_RANGES = {
    "price-lookup": {
        "share": (0.38, 0.56),
        "work": (92, 160),
        "cv": (0.51, 1.4),
        "noise": (0.087, 0.48),
        "priority_weight": (1, 1),
    },
    "basket-total": {
        "share": (0.3, 0.44),
        "work": (92, 160),
        "cv": (0.66, 1.3),
        "noise": (0.15, 0.46),
        "priority_weight": (3, 3),
    },
    "sale-close": {
        "share": (0.13, 0.19),
        "work": (150, 270),
        "cv": (0.5, 1.4),
        "noise": (0.052, 0.45),
        "priority_weight": (2, 2),
    },
}
PLAN_RANGES = {
    "basic": {
        "share": (0.45, 0.45),
        "rate": (1.2, 2.1),
        "burst_s": (3.2, 5.5),
        "price": (0.8, 0.8),
        "over_cost": (0.8, 0.8),
    },
    "standard": {
        "share": (0.3, 0.3),
        "rate": (5.6, 9.7),
        "burst_s": (3.3, 5.4),
        "price": (1.2, 1.2),
        "over_cost": (1, 1),
    },
    "enterprise": {
        "share": (0.25, 0.25),
        "rate": (22, 39),
        "burst_s": (1.7, 2.7),
        "price": (1.6, 1.6),
        "over_cost": (0.8, 0.8),
    },
}
GATEWAY_SHARE_RANGE = (0.5, 1.0)


@dataclass(slots=True, frozen=True)
class Parameters:
    """One drawn fleet: a value for each name of `PARAMETER_RANGES`, its request classes and its plans."""

    values: Mapping[str, float]
    classes: tuple[ClassParameters, ...]
    plans: tuple[PlanParameters, ...]

    def __getitem__(self, name: str) -> float:
        """Return the value of a parameter. Raises KeyError."""
        return self.values[name]

    def with_values(self, **changes: float) -> Parameters:
        """Return the same fleet with some parameters changed.

        Raises:
            ParameterError: A name is unknown, or a value is not a finite number of 0 or more.
        """
        check_overrides(changes)
        return replace(self, values={**self.values, **changes})


def check_overrides(changes: Mapping[str, object]) -> None:
    """Check the names and values of overrides.

    Raises:
        ParameterError: A name is unknown, or a value is not a finite number of 0 or more.
    """
    for name, value in changes.items():
        if name not in PARAMETER_RANGES:
            raise ParameterError(f"unknown fleet parameter {name!r}")
        if not isinstance(value, (int, float)) or not np.isfinite(value) or value < 0:
            raise ParameterError(f"{name} must be a finite number of 0 or more, got {value!r}")


def draw_parameters(
    rng: Rng,
    fixed: Mapping[str, float] | None = None,
    ranges: Mapping[str, ParameterRange] | None = None,
) -> Parameters:
    """Draw a fleet. Fixed parameters are drawn too, so that fixing one changes no other.

    Args:
        rng: The generator of all draws.
        fixed: Values that replace drawn values.
        ranges: Ranges that replace those of `PARAMETER_RANGES`.

    Raises:
        ParameterError: A name in `fixed` is unknown, or a value is not a finite number of 0 or more.
    """
    check_overrides(fixed or {})
    effective = {**PARAMETER_RANGES, **(ranges or {})}
    values = {name: effective[name].draw(rng) for name in PARAMETER_RANGES}
    classes = _draw_classes(rng)
    plans = _draw_plans(rng, values["most_units"])
    values.update(fixed or {})
    return Parameters(values, classes, plans)


def _draw_classes(rng: Rng) -> tuple[ClassParameters, ...]:
    classes = []
    for name, ranges in CLASS_RANGES.items():
        drawn = {field: float(rng.uniform(*limits)) for field, limits in ranges.items()}
        classes.append(ClassParameters(name, **drawn))
    total = sum(request_class.share for request_class in classes)
    return tuple(replace(request_class, share=request_class.share / total) for request_class in classes)


def _draw_plans(rng: Rng, most_units: float) -> tuple[PlanParameters, ...]:
    plans = []
    for name, ranges in PLAN_RANGES.items():
        drawn = {field: float(rng.uniform(*limits)) for field, limits in ranges.items()}
        rate = round(drawn["rate"], 1)
        plan = PlanParameters(
            name,
            share=drawn["share"],
            rate=rate,
            burst=max(2 * most_units, round(rate * drawn["burst_s"])),
            price=drawn["price"],
            over_quota_cost=drawn["over_cost"],
            gateway_share=float(rng.uniform(*GATEWAY_SHARE_RANGE)),
        )
        plans.append(plan)
    return tuple(plans)


def guessed_parameters() -> list[str]:
    """Return the names of the parameters whose ranges are guessed."""
    return [name for name, limits in PARAMETER_RANGES.items() if limits.guessed]
