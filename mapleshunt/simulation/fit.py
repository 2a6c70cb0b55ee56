"""Fit of a fleet to recordings, with the uncertainty of what they do not show.

Three steps. What the recordings show directly is estimated with its standard error: work by class and its
spread, relative speeds of the backends, shares of classes, errors of estimated units. The customers' demand
is cut into spells of constant rate. Parameters that show only in the fleet's behaviour (queues, client
behaviour, the gateways' own time) are drawn from their ranges and simulated; the draws whose runs resemble
the recording most are accepted (approximate Bayesian computation by rejection). The spread of the accepted
draws is the uncertainty.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import msgspec
import numpy as np
from joblib import Parallel, delayed

from ..fleet.parameters import PARAMETER_RANGES
from ..fleet.random_streams import RandomStreams
from ..policy.gateway import Gateway
from .day import Scenario, ScenarioRun
from .day_summary import Summary, summarize_recording, summarize_run
from .engine import Engine
from .fit_estimates import fit_classes, fit_customers, fit_units
from .fitted_fleet import FORMAT_VERSION, Fit, FittedPlan
from .recorded_traffic import Traffic, served_work
from .replay import Replay, draw_fitted_run

MIN_SCALE = 1e-3  # lower bound of the standard deviation over the draws that a distance is divided by

Draw = dict[str, float]


@dataclass(frozen=True, slots=True)
class Search:
    """Settings of the parameter search: draws simulated, draws accepted, seed, and parallel processes."""

    draws: int = 96
    keep: int = 16
    seed: int = 1
    jobs: int = -1  # all cores


def _simulate_draw(fit: Fit, scenario: Scenario, seed: int, draw: Draw) -> tuple[Draw, Summary]:
    """Simulate the recorded traffic with one draw, and return the draw with its run's summary."""
    candidate = msgspec.structs.replace(fit, draws=(draw,))
    run = draw_fitted_run(candidate, scenario, seed, Replay(candidate, aligned=True), 0)
    engine = Engine(run, Gateway)
    engine.run()
    return draw, summarize_run(engine.rule_checker.client_attempts)


def fit_fleet(
    traffic: Traffic,
    plans: Sequence[FittedPlan],
    priority_weights: Mapping[str, float],
    servers: int | None = None,
    known: Mapping[str, float] | None = None,
    search: Search | None = None,
    progress: Callable[[int], None] | None = None,
) -> Fit:
    """Fit a fleet to recordings.

    Args:
        traffic: the recordings.
        plans: the gateways' plans.
        priority_weights: by class.
        servers: number of backends; None for those in the recordings.
        known: parameters that the operator knows.
        search: settings of the search for the other parameters.
        progress: called with 1 after each simulated draw.

    Raises:
        ValueError: there are too few served attempts, or a recording names a plan that is not in `plans`.
    """
    search = search or Search()
    known = known or {}
    rng = RandomStreams(search.seed).generator("fit")
    base = _estimate(traffic, plans, priority_weights, servers, known)
    draws = []
    for _ in range(search.draws):
        draw = {name: parameter.draw(rng) for name, parameter in PARAMETER_RANGES.items()}
        draws.append({**draw, **known})
    return _accept(base, _simulate_draws(base, draws, search.jobs, progress), search.keep)


def _estimate(
    traffic: Traffic,
    plans: Sequence[FittedPlan],
    priority_weights: Mapping[str, float],
    servers: int | None,
    known: Mapping[str, float],
) -> Fit:
    """Return a fit without draws, of what the recordings show directly."""
    cores = known.get("cores", PARAMETER_RANGES["cores"].low)
    served = served_work(traffic, cores)
    classes, speed_cv = fit_classes(traffic, served, priority_weights)
    unit_ms, guess_cv = fit_units(traffic, served)
    endpoints = {attempt.endpoint for row in traffic.rows for attempt in row.attempts}
    return Fit(
        version=FORMAT_VERSION,
        gateways=traffic.gateways,
        servers=servers or len(endpoints),
        length_ms=traffic.length,
        coverage=traffic.coverage,
        requests=len(traffic.rows),
        classes=tuple(classes),
        plans=_with_shares(traffic, plans),
        customers=tuple(fit_customers(traffic)),
        speed_cv=speed_cv,
        guess_cv=guess_cv,
        unit_ms=unit_ms,
        draws=(),
        recorded=summarize_recording(traffic),
        played={},
        problems=tuple(traffic.problems),
    )


def _with_shares(traffic: Traffic, plans: Sequence[FittedPlan]) -> tuple[FittedPlan, ...]:
    counts = Counter(row.plan for row in traffic.first_attempts())
    unknown = set(counts) - {plan.name for plan in plans}
    if unknown:
        raise ValueError(f"recordings name plans that the settings do not have: {', '.join(sorted(unknown))}")
    total = sum(counts.values())
    return tuple(msgspec.structs.replace(plan, share=counts[plan.name] / total) for plan in plans)


def _simulate_draws(
    base: Fit, draws: Sequence[Draw], jobs: int, progress: Callable[[int], None] | None
) -> list[tuple[Draw, Summary]]:
    """Simulate all draws, in their order."""
    scenario = Scenario(
        "recorded",
        "a recorded run",
        (0, 0),
        gateways=base.gateways,
        backends=base.servers,
        seconds=max(1.0, base.length_ms / 1000),
    )
    results: list[tuple[Draw, Summary]] = []
    with Parallel(n_jobs=jobs, return_as="generator") as pool:
        for result in pool(delayed(_simulate_draw)(base, scenario, n, draw) for n, draw in enumerate(draws)):
            results.append(result)
            if progress is not None:
                progress(1)
    return results


def _accept(base: Fit, results: Sequence[tuple[Draw, Summary]], keep: int) -> Fit:
    """Return the fit with the `keep` draws whose summaries are the nearest to the recording's."""
    keys = list(base.recorded)
    table = np.array([[summary[key] for key in keys] for _, summary in results])
    target = np.array([base.recorded[key] for key in keys])
    scale = np.maximum(table.std(axis=0), MIN_SCALE)
    distance = np.sqrt((((table - target) / scale) ** 2).mean(axis=1))
    nearest = np.argsort(distance, kind="stable")[:keep]
    accepted = table[nearest]
    spread = {key: (float(accepted[:, n].mean()), float(accepted[:, n].std())) for n, key in enumerate(keys)}
    return msgspec.structs.replace(base, draws=tuple(results[int(n)][0] for n in nearest), played=spread)


def plans_of(run: ScenarioRun) -> list[FittedPlan]:
    """Return the plans of a run's gateways, for a fit of its recording."""
    return [
        FittedPlan(p.name, p.share, p.rate, p.burst, p.price, p.over_quota_cost, p.gateway_share)
        for p in run.parameters.plans
    ]
