"""The world's figures: every one by name, with its range, and whether it is known or guessed.

A range that the operators' pages give is *told*; one that stands on nothing but plausibility is a *guess*,
and an experiment that leans on one should sweep it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import numpy as np

from .random_streams import Rng


class ParameterError(ValueError):
    """A name that is no figure, or a value out of its kind; its text is for the operator."""


@dataclass(slots=True, frozen=True)
class ParameterRange:
    """Where a figure lies: uniformly between `low` and `high`; `guess` if no page tells it."""

    low: float
    high: float
    guessed: bool = False
    integral: bool = False  # rounded to a whole number

    def draw(self, rng: Rng) -> float:
        value = float(rng.uniform(self.low, self.high))
        return float(round(value)) if self.integral else value


PARAMETER_RANGES: dict[str, ParameterRange] = {
    # Till servers. Times are ms, work is ms of one core at speed 1.
    "cores": ParameterRange(3, 3, integral=True),
    "speed": ParameterRange(0.85, 1.1),
    "speed_cv": ParameterRange(0.034, 0.23),
    "slots_per_core": ParameterRange(2, 6),
    "queue_per_core": ParameterRange(8.6, 27),
    "thrash": ParameterRange(
        0.068, 0.21
    ),  # part of its efficiency lost for each request a core holds beyond `thrash_at`
    "thrash_at": ParameterRange(3.5, 7.6),
    "cold_from": ParameterRange(0.25, 0.48),
    "cold_ms": ParameterRange(5200, 15000),
    "warm_by_work": ParameterRange(0, 0),  # 1: warms with the work done, never slower than by time
    "warm_work": ParameterRange(
        0.15, 0.25, guessed=True
    ),  # work that warms it, as a part of what it does warm in that time
    "error_rate": ParameterRange(0, 0.001),
    "drops_cancelled": ParameterRange(0, 1, integral=True),  # waiting work that was cancelled is dropped
    "drops_expired": ParameterRange(0, 1, integral=True),
    "handshake_rtts": ParameterRange(1, 3, integral=True),
    "handshake_work": ParameterRange(0.64, 1.7),
    "conn_cap_per_core": ParameterRange(430, 890),
    "conn_tax": ParameterRange(0.031, 0.15),  # part of its capacity that a full connection table takes
    "conn_idle_ms": ParameterRange(30000, 30000),
    "dial_ms": ParameterRange(250, 250),  # given up after
    "report_period_ms": ParameterRange(180, 720),
    "report_delay_ms": ParameterRange(2.9, 280),
    "report_noise": ParameterRange(0.048, 0.11),
    "cell_size": ParameterRange(3, 5, integral=True),
    "push_slack": ParameterRange(
        0.1, 0.1, guessed=True
    ),  # of the budget that tips a cold server over, for chance
    # Network.
    "same_ms": ParameterRange(0.085, 0.25),  # one way, gateway to till server
    "client_ms": ParameterRange(0.22, 1.2),
    "jitter": ParameterRange(0.1, 0.29),
    "peer_ms": ParameterRange(2.2, 31),
    "peer_loss": ParameterRange(0.0041, 0.08),
    # The gateway as a machine: what each event costs it.
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
    "counter_line": ParameterRange(0.4, 3.0),  # length of its line, in calls given up while they wait
    # Front and clients.
    "front_notice_ms": ParameterRange(1600, 3200),
    "retries": ParameterRange(2, 3.99),
    "try_share": ParameterRange(0.5, 1),  # part of the deadline that a try waits, at least
    "backoff_ms": ParameterRange(50, 400),
    "backoff_grows": ParameterRange(0, 1, integral=True),
    "honour": ParameterRange(0.56, 0.97),
    "elsewhere": ParameterRange(0.012, 0.79),
    "skew": ParameterRange(0.27, 0.9),
    "shift_ms": ParameterRange(6400, 25000),
    "swing": ParameterRange(0.071, 0.18),
    # Customers: parts of them, and multiples of their rate.
    "calm_use": ParameterRange(0.19, 0.49),
    "full": ParameterRange(0.08, 0.25),
    "heavy": ParameterRange(0.094, 0.14),
    "heavy_x": ParameterRange(2.3, 4.2),
    "heavy_spell_ms": ParameterRange(8000, 30000, guessed=True),
    "spiky": ParameterRange(0.1, 0.25),
    "spike_x": ParameterRange(2.3, 7.5),
    "spike_ms": ParameterRange(580, 5000),
    "spike_every_ms": ParameterRange(13000, 21000),
    # Units: true ones follow the work, the guess is off by a lognormal factor.
    "unit_ms": ParameterRange(45, 75, guessed=True),
    "guess_cv": ParameterRange(0.4, 0.7),
    "most_units": ParameterRange(8, 8, integral=True),
}


@dataclass(slots=True, frozen=True)
class ClassParameters:
    """How requests of a class come: their part, mean work (ms of a core), its spread, and per attempt."""

    name: str
    share: float
    work: float
    cv: float
    noise: float
    priority_weight: float


@dataclass(slots=True, frozen=True)
class PlanParameters:
    """A plan as the operators price it; `share` is its part of the use inside quotas."""

    name: str
    share: float
    rate: float  # units a second
    burst: float  # units
    price: float
    over_quota_cost: float
    gateway_share: float  # part of the gateways that a customer's set holds


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
    """One drawn fleet: `value[NAME]` for each of `PARAMETER_RANGES`, and its request classes and plans."""

    values: Mapping[str, float]
    classes: tuple[ClassParameters, ...]
    plans: tuple[PlanParameters, ...]

    def __getitem__(self, name: str) -> float:
        return self.values[name]

    def with_values(self, **changes: float) -> Parameters:
        """The same world but for some figures. Raises `UnknownFigure`."""
        check_overrides(changes)
        return replace(self, values={**self.values, **changes})


def check_overrides(changes: Mapping[str, Any]) -> None:
    """Raises `UnknownFigure` for a name that is none or a value that is no finite number."""
    for name, value in changes.items():
        if name not in PARAMETER_RANGES:
            raise ParameterError(f"{name!r} is no figure of the world")
        if not isinstance(value, (int, float)) or not np.isfinite(value) or value < 0:
            raise ParameterError(f"{name} must be a number of 0 or more, not {value!r}")


def draw_parameters(
    rng: Rng, fixed: Mapping[str, float] | None = None, spans: Mapping[str, ParameterRange] | None = None
) -> Parameters:
    """Draw a world. Every span is drawn whatever is fixed, so that fixing one figure moves no other."""
    check_overrides(fixed or {})
    use = {**PARAMETER_RANGES, **(spans or {})}
    value = {name: use[name].draw(rng) for name in PARAMETER_RANGES}
    classes = []
    for name, parts in CLASS_RANGES.items():
        drawn = {part: float(rng.uniform(*span)) for part, span in parts.items()}
        classes.append(ClassParameters(name, **drawn))
    total = sum(one.share for one in classes)
    classes = [replace(one, share=one.share / total) for one in classes]
    plans = []
    for name, parts in PLAN_RANGES.items():
        drawn = {part: float(rng.uniform(*span)) for part, span in parts.items()}
        rate = round(drawn["rate"], 1)
        burst = max(2 * value["most_units"], round(rate * drawn["burst_s"]))
        plans.append(
            PlanParameters(
                name,
                drawn["share"],
                rate,
                burst,
                drawn["price"],
                drawn["over_cost"],
                float(rng.uniform(*GATEWAY_SHARE_RANGE)),
            )
        )
    value.update(fixed or {})
    return Parameters(value, tuple(classes), tuple(plans))


def guessed_parameters() -> list[str]:
    """The figures that no page tells."""
    return [name for name, span in PARAMETER_RANGES.items() if span.guessed]
