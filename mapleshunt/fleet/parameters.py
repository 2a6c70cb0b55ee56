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


class UnknownFigure(ValueError):
    """A name that is no figure, or a value out of its kind; its text is for the operator."""


@dataclass(slots=True, frozen=True)
class Span:
    """Where a figure lies: uniformly between `low` and `high`; `guess` if no page tells it."""

    low: float
    high: float
    guess: bool = False
    whole: bool = False  # rounded to a whole number

    def draw(self, rng: Rng) -> float:
        value = float(rng.uniform(self.low, self.high))
        return float(round(value)) if self.whole else value


SPANS: dict[str, Span] = {
    # Till servers. Times are ms, work is ms of one core at speed 1.
    "cores": Span(3, 3, whole=True),
    "speed": Span(0.85, 1.1),
    "speed_cv": Span(0.034, 0.23),
    "slots_per_core": Span(2, 6),
    "queue_per_core": Span(8.6, 27),
    "thrash": Span(
        0.068, 0.21
    ),  # part of its efficiency lost for each request a core holds beyond `thrash_at`
    "thrash_at": Span(3.5, 7.6),
    "cold_from": Span(0.25, 0.48),
    "cold_ms": Span(5200, 15000),
    "warm_by_work": Span(0, 0),  # 1: warms with the work done, never slower than by time
    "warm_work": Span(
        0.15, 0.25, guess=True
    ),  # work that warms it, as a part of what it does warm in that time
    "error_rate": Span(0, 0.001),
    "drops_cancelled": Span(0, 1, whole=True),  # waiting work that was cancelled is dropped
    "drops_expired": Span(0, 1, whole=True),
    "handshake_rtts": Span(1, 3, whole=True),
    "handshake_work": Span(0.64, 1.7),
    "conn_cap_per_core": Span(430, 890),
    "conn_tax": Span(0.031, 0.15),  # part of its capacity that a full connection table takes
    "conn_idle_ms": Span(30000, 30000),
    "dial_ms": Span(250, 250),  # given up after
    "report_period_ms": Span(180, 720),
    "report_delay_ms": Span(2.9, 280),
    "report_noise": Span(0.048, 0.11),
    "cell_size": Span(3, 5, whole=True),
    "push_slack": Span(0.1, 0.1, guess=True),  # of the budget that tips a cold server over, for chance
    # Network.
    "same_ms": Span(0.085, 0.25),  # one way, gateway to till server
    "client_ms": Span(0.22, 1.2),
    "jitter": Span(0.1, 0.29),
    "peer_ms": Span(2.2, 31),
    "peer_loss": Span(0.0041, 0.08),
    # The gateway as a machine: what each event costs it.
    "event_ms": Span(0.1, 0.35, guess=True),
    # Discovery.
    "notice_ms": Span(670, 4300),
    "silent_notice_ms": Span(5100, 12000),
    "add_ms": Span(210, 2200),
    "list_spread_ms": Span(39, 320),
    # The shared counter.
    "counter_per_s": Span(750, 1000),
    "counter_ms": Span(0.59, 1.8),
    "counter_wait_ms": Span(80, 80),
    "counter_line": Span(0.4, 3.0),  # length of its line, in calls given up while they wait
    # Front and clients.
    "front_notice_ms": Span(1600, 3200),
    "retries": Span(2, 3.99),
    "try_share": Span(0.5, 1),  # part of the deadline that a try waits, at least
    "backoff_ms": Span(50, 400),
    "backoff_grows": Span(0, 1, whole=True),
    "honour": Span(0.56, 0.97),
    "elsewhere": Span(0.012, 0.79),
    "skew": Span(0.27, 0.9),
    "shift_ms": Span(6400, 25000),
    "swing": Span(0.071, 0.18),
    # Customers: parts of them, and multiples of their rate.
    "calm_use": Span(0.19, 0.49),
    "full": Span(0.08, 0.25),
    "heavy": Span(0.094, 0.14),
    "heavy_x": Span(2.3, 4.2),
    "heavy_spell_ms": Span(8000, 30000, guess=True),
    "spiky": Span(0.1, 0.25),
    "spike_x": Span(2.3, 7.5),
    "spike_ms": Span(580, 5000),
    "spike_every_ms": Span(13000, 21000),
    # Units: true ones follow the work, the guess is off by a lognormal factor.
    "unit_ms": Span(45, 75, guess=True),
    "guess_cv": Span(0.4, 0.7),
    "most_units": Span(8, 8, whole=True),
}


@dataclass(slots=True, frozen=True)
class ClassShape:
    """How requests of a class come: their part, mean work (ms of a core), its spread, and per attempt."""

    name: str
    share: float
    work: float
    cv: float
    noise: float
    worth: float


@dataclass(slots=True, frozen=True)
class PlanShape:
    """A plan as the operators price it; `share` is its part of the use inside quotas."""

    name: str
    share: float
    rate: float  # units a second
    burst: float  # units
    price: float
    over_cost: float
    spread: float  # part of the gateways that a customer's set holds


CLASS_SPANS = {
    "price-lookup": {
        "share": (0.38, 0.56),
        "work": (92, 160),
        "cv": (0.51, 1.4),
        "noise": (0.087, 0.48),
        "worth": (1, 1),
    },
    "basket-total": {
        "share": (0.3, 0.44),
        "work": (92, 160),
        "cv": (0.66, 1.3),
        "noise": (0.15, 0.46),
        "worth": (3, 3),
    },
    "sale-close": {
        "share": (0.13, 0.19),
        "work": (150, 270),
        "cv": (0.5, 1.4),
        "noise": (0.052, 0.45),
        "worth": (2, 2),
    },
}
PLAN_SPANS = {
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
PLAN_SPREAD = (0.5, 1.0)


@dataclass(slots=True, frozen=True)
class Figures:
    """One draw of the world: `value[NAME]` for each of `SPANS`, and the shapes of classes and plans."""

    value: Mapping[str, float]
    classes: tuple[ClassShape, ...]
    plans: tuple[PlanShape, ...]

    def __getitem__(self, name: str) -> float:
        return self.value[name]

    def with_(self, **changes: float) -> Figures:
        """The same world but for some figures. Raises `UnknownFigure`."""
        check(changes)
        return replace(self, value={**self.value, **changes})


def check(changes: Mapping[str, Any]) -> None:
    """Raises `UnknownFigure` for a name that is none or a value that is no finite number."""
    for name, value in changes.items():
        if name not in SPANS:
            raise UnknownFigure(f"{name!r} is no figure of the world")
        if not isinstance(value, (int, float)) or not np.isfinite(value) or value < 0:
            raise UnknownFigure(f"{name} must be a number of 0 or more, not {value!r}")


def draw(
    rng: Rng, fixed: Mapping[str, float] | None = None, spans: Mapping[str, Span] | None = None
) -> Figures:
    """Draw a world. Every span is drawn whatever is fixed, so that fixing one figure moves no other."""
    check(fixed or {})
    use = {**SPANS, **(spans or {})}
    value = {name: use[name].draw(rng) for name in SPANS}
    classes = []
    for name, parts in CLASS_SPANS.items():
        drawn = {part: float(rng.uniform(*span)) for part, span in parts.items()}
        classes.append(ClassShape(name, **drawn))
    total = sum(one.share for one in classes)
    classes = [replace(one, share=one.share / total) for one in classes]
    plans = []
    for name, parts in PLAN_SPANS.items():
        drawn = {part: float(rng.uniform(*span)) for part, span in parts.items()}
        rate = round(drawn["rate"], 1)
        burst = max(2 * value["most_units"], round(rate * drawn["burst_s"]))
        plans.append(
            PlanShape(
                name,
                drawn["share"],
                rate,
                burst,
                drawn["price"],
                drawn["over_cost"],
                float(rng.uniform(*PLAN_SPREAD)),
            )
        )
    value.update(fixed or {})
    return Figures(value, tuple(classes), tuple(plans))


def guesses() -> list[str]:
    """The figures that no page tells."""
    return [name for name, span in SPANS.items() if span.guess]
