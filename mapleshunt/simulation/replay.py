"""Scenario runs drawn from a fit."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import replace

import numpy as np

from ..fleet import clients, faults
from ..fleet.clients import Customer, Traffic
from ..fleet.faults import Fault
from ..fleet.parameters import ClassParameters, Parameters, PlanParameters
from ..fleet.random_streams import RandomStreams
from .day import Scenario, ScenarioRun
from .fitted_fleet import Fit, FittedCustomer
from .recorded_traffic import Floats

MAX_SCALE = 100  # multiple of a fit's traffic


def customer_rates(customer: FittedCustomer, steps: int) -> Floats:
    """Return the customer's rate at each step of the recording, in requests a second."""
    rates = np.zeros(steps)
    for spell in customer.spells:
        rates[int(spell.begin / clients.RATE_STEP_MS) :] = spell.rate
    return rates


def draw_parameters(fit: Fit, draw: Mapping[str, float], rng: np.random.Generator) -> Parameters:
    """Return a fleet: the parameters of a draw, and classes whose work is drawn within its standard error."""
    classes = tuple(
        ClassParameters(
            c.name, c.share, c.work * float(np.exp(rng.normal(0, c.error))), c.cv, 0.0, c.priority_weight
        )
        for c in fit.classes
    )
    plans = tuple(
        PlanParameters(p.name, p.share, p.rate, p.burst, p.price, p.over_quota_cost, p.gateway_share)
        for p in fit.plans
    )
    values = {
        **draw,
        "speed": 1.0,
        "speed_cv": fit.speed_cv,
        "guess_cv": fit.guess_cv,
        "unit_ms": fit.unit_ms,
    }
    return Parameters(values, classes, plans)


class Replay:
    """Draws the traffic of runs from a fit, at `scale` times the recorded traffic.

    Each customer's spells are kept but start at a random offset, so that a run resembles the recording
    without repeating it. By `customers`: each customer occurs `scale` times with independent offsets, so each
    stays as bursty and their sum becomes smoother. By `rates`: each customer sends `scale` times as much in
    the same spells, so the sum stays as bursty. `aligned`: the spells start as recorded.
    """

    def __init__(self, fit: Fit, scale: float = 1.0, by: str = "customers", aligned: bool = False) -> None:
        self.fit = fit
        self.scale = scale
        self.by = by
        self.aligned = aligned

    def __call__(
        self, drawn: Parameters, scenario: Scenario, faults: tuple[Fault, ...], streams: RandomStreams
    ) -> Traffic:
        """Return the traffic of a run."""
        rng = streams.generator("replay")
        length_ms = 1000 * scenario.seconds
        step_count = math.ceil(length_ms / clients.RATE_STEP_MS)
        plans = {plan.name: number for number, plan in enumerate(drawn.plans)}
        multiplicity, factor = (self.scale, 1.0) if self.by == "customers" else (1.0, self.scale)
        # `draw_traffic_for` takes a rate as a multiple of the customer's own, which is in units.
        mean_units = clients.mean_units(drawn)
        customers: list[Customer] = []
        profiles: list[Floats] = []
        for fitted in self.fit.customers:
            count = int(multiplicity) + (rng.random() < multiplicity % 1)
            for duplicate in range(count):
                profiles.append(self._draw_profile(fitted, step_count, duplicate, rng) * factor)
                set_size = max(1, min(fitted.gateway_set_size, scenario.gateways))
                first = fitted.first_gateway if not duplicate else int(rng.integers(scenario.gateways))
                name = fitted.name if not duplicate else f"{int(rng.integers(1 << 33)):016x}"
                plan = plans[fitted.plan]
                customers.append(
                    Customer(name, plan, mean_units, set_size, first % scenario.gateways, "calm")
                )
        table = np.array(profiles) if profiles else np.zeros((0, step_count))
        clients.apply_bursts(drawn, customers, faults, table)
        return clients.draw_traffic_for(drawn, customers, table, length_ms, streams)

    def _draw_profile(
        self, fitted: FittedCustomer, step_count: int, duplicate: int, rng: np.random.Generator
    ) -> Floats:
        """Return a customer's rates at the steps of a run, from a random step of the recording on."""
        steps = max(1, math.ceil(self.fit.length_ms / clients.RATE_STEP_MS))
        begin = 0 if self.aligned and not duplicate else int(rng.integers(steps))
        repeated = np.tile(customer_rates(fitted, steps), 1 + (step_count + steps) // steps)
        return repeated[begin : begin + step_count]


def scenario_from(fit: Fit, base: Scenario, scale: float = 1.0, by: str = "customers") -> Scenario:
    """Return a scenario with the faults of `base` and the sizes and traffic of the fitted fleet.

    Raises:
        ValueError: the scale is out of range, or `by` is unknown.
    """
    if not 0 < scale <= MAX_SCALE or by not in ("customers", "rates"):
        raise ValueError(
            f"scale must be above 0 and at most 100, by customers or rates, got {scale:g} by {by}"
        )
    replay = Replay(fit, scale, by)
    return replace(
        base,
        gateways=fit.gateways,
        backends=fit.servers,
        run_factory=lambda scenario, seed: draw_fitted_run(fit, scenario, seed, replay),
    )


def draw_fitted_run(
    fit: Fit, scenario: Scenario, seed: int, replay: Replay, draw: int | None = None
) -> ScenarioRun:
    """Return a run of the fitted fleet. The seed also chooses the draw, unless `draw` is its number."""
    streams = RandomStreams(seed)
    rng = streams.generator("fitted")
    number = int(rng.integers(len(fit.draws))) if draw is None else draw
    drawn = draw_parameters(fit, fit.draws[number], rng)
    drawn = replace(drawn, values={**drawn.values, **scenario.fixed_parameters})
    run_faults = faults.sorted_by_time(scenario.fault_plan(streams.generator("troubles"), scenario))
    traffic = replay(drawn, scenario, run_faults, streams)
    return ScenarioRun(scenario, seed, streams, drawn, traffic, run_faults)
