"""Experiments: parallel runs of a scenario, comparisons of two variants, and sweeps of settings.

Compared variants run under the same conditions: arrivals, sizes, speeds and faults come from the seed alone.
The gateways' own random draws differ between variants even if their code is the same. Otherwise an interval
would leave that variation out, and any change in the order of draws would show as a difference.
"""

from __future__ import annotations

import itertools
import time
import traceback
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from joblib import Parallel, delayed

from .day import Scenario, draw_run
from .engine import Engine
from .score import Score, score_run
from .stats import Interval, interval, verdict
from .variants import Variant, load, variant_with

METRICS = (
    "service",
    "whole",
    "worst_window",
    "worst_plan",
    "g",
    "over_quota",
    "refused_with_room",
    "p50_ms",
    "p99_ms",
)
ProgressCallback = Callable[[int], None]  # called with 1 after each run


def run_scenario(scenario: Scenario, seed: int, variant: Variant | None = None, salt: int = 0) -> Score:
    """Simulate and score one run of a scenario. Raises whatever the variant's code raises."""
    started_at = time.perf_counter()
    chosen = variant or Variant("here", "here")
    factory, types = load(chosen)
    run = draw_run(chosen.scenario(scenario), seed)
    engine = Engine(run, lambda settings, drawn, now: factory(settings, drawn ^ salt, now), types)
    engine.run()
    score = score_run(engine)
    score.wall_s = time.perf_counter() - started_at
    return score


@dataclass(slots=True)
class SeedResult:
    """The score of a run, or the error with which its variant failed."""

    seed: int
    score: Score | None = None
    error: str = ""


def _run_seed(scenario: Scenario, seed: int, variant: Variant, salt: int) -> SeedResult:
    try:
        return SeedResult(seed, run_scenario(scenario, seed, variant, salt))
    except Exception as error:  # a variant's code may raise anything; the other runs continue
        last = traceback.extract_tb(error.__traceback__)[-1]
        return SeedResult(seed, error=f"{type(error).__name__}: {error} ({last.name}, line {last.lineno})")


def run_seeds(
    scenario: Scenario,
    seeds: Sequence[int],
    variant: Variant,
    salt: int = 0,
    jobs: int = -1,
    progress: ProgressCallback | None = None,
) -> list[SeedResult]:
    """Simulate a run for each seed and return the results in the order of the seeds.

    If a process dies, all runs of this call are reported as failed.
    """
    try:
        with Parallel(n_jobs=jobs, return_as="generator") as pool:
            results = []
            for result in pool(delayed(_run_seed)(scenario, seed, variant, salt) for seed in seeds):
                results.append(result)
                if progress is not None:
                    progress(1)
            return results
    except Exception as error:
        return [SeedResult(seed, error=f"its processes ended: {type(error).__name__}") for seed in seeds]


def metrics_of(score: Score) -> dict[str, float]:
    """Return a score's reported metrics, penalties as `penalty.NAME`, rule violations as `broken.NAME`."""
    row = {name: float(getattr(score, name)) for name in METRICS}
    row |= {f"penalty.{name}": value for name, value in score.penalties.items()}
    return row | {f"broken.{name}": float(count) for name, count in score.rules.items()}


@dataclass(slots=True)
class Comparison:
    """Two variants over common seeds: the metrics of each, and the paired differences b - a."""

    seeds: int
    a: dict[str, Interval] = field(default_factory=dict)
    b: dict[str, Interval] = field(default_factory=dict)
    difference: dict[str, Interval] = field(default_factory=dict)
    verdict: str = "none"
    errors: dict[str, list[str]] = field(default_factory=dict)

    def as_dict(self) -> dict[str, Any]:
        """Return the comparison for JSON."""
        return {
            "seeds": self.seeds,
            "a": intervals_as_dict(self.a),
            "b": intervals_as_dict(self.b),
            "difference": intervals_as_dict(self.difference),
            "verdict": self.verdict,
            "errors": self.errors,
        }


def intervals_as_dict(rows: dict[str, Interval]) -> dict[str, Any]:
    """Return intervals for JSON."""
    return {name: {k: finite(v) for k, v in row.as_dict().items()} for name, row in rows.items()}


def finite(value: float) -> float | None:
    """Return a value for JSON, which has no infinity: an end that a single run leaves unbounded is null."""
    return value if abs(value) < float("inf") else None


def compare(
    scenario: Scenario,
    a: Variant,
    b: Variant,
    seeds: Sequence[int],
    jobs: int = -1,
    progress: ProgressCallback | None = None,
) -> Comparison:
    """Run both variants with the same seeds; runs that failed in either are left out of the difference."""
    rows = [run_seeds(scenario, seeds, v, salt, jobs, progress) for salt, v in ((0, a), (0x5EED, b))]
    comparison = Comparison(len(seeds))
    for name, results in zip("ab", rows, strict=True):
        errors = [f"seed {result.seed}: {result.error}" for result in results if result.error]
        if errors:
            comparison.errors[name] = errors
        metrics = [metrics_of(result.score) for result in results if result.score is not None]
        if metrics:
            means = {key: interval([row[key] for row in metrics]) for key in metrics[0]}
            if name == "a":
                comparison.a = means
            else:
                comparison.b = means
    pairs = [
        (metrics_of(first.score), metrics_of(second.score))
        for first, second in zip(*rows, strict=True)
        if first.score is not None and second.score is not None
    ]
    if pairs:
        comparison.difference = {key: interval([y[key] - x[key] for x, y in pairs]) for key in pairs[0][0]}
        comparison.verdict = verdict(comparison.difference["service"])
    return comparison


@dataclass(slots=True)
class SweepPoint:
    """One combination of settings, the metrics of its runs, and the errors of those that failed."""

    settings: dict[str, Any]
    figures: dict[str, Interval]
    errors: list[str]


def sweep(
    scenario: Scenario,
    over: dict[str, list[Any]],
    seeds: Sequence[int],
    jobs: int = -1,
    progress: ProgressCallback | None = None,
) -> list[SweepPoint]:
    """Run each combination of one or two settings' values with common seeds."""
    points = []
    for values in itertools.product(*over.values()):
        settings = dict(zip(over, values, strict=True))
        variant = variant_with(settings, "set:" + ",".join(f"{k}={v}" for k, v in settings.items()))
        results = run_seeds(scenario, seeds, variant, 0, jobs, progress)
        metrics = [metrics_of(result.score) for result in results if result.score is not None]
        means = {key: interval([row[key] for row in metrics]) for key in metrics[0]} if metrics else {}
        points.append(SweepPoint(settings, means, [f"seed {r.seed}: {r.error}" for r in results if r.error]))
    return points
