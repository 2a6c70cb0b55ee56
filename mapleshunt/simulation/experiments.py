"""Experiments: replicas of a scenario on all cores, two variants over common days, and sweeps of settings.

Two variants meet the same days: arrivals, sizes, speeds and faults come from the seed alone. What gateways
draw by chance is their own, and differs between variants even if their code is the same: else an interval
would leave that chance out and call any change of the draws' order a difference.
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
from .variants import Variant, load, with_pairs

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
ProgressCallback = Callable[[int], None]  # told how many replicas have ended


def run_scenario(scenario: Scenario, seed: int, variant: Variant | None = None, salt: int = 0) -> Score:
    """One day, played and judged. Raises what the variant's code raises."""
    begun = time.perf_counter()
    chosen = variant or Variant("here", "here")
    factory, words = load(chosen)
    day = draw_run(chosen.scenario(scenario), seed)
    engine = Engine(day, lambda settings, drawn, now: factory(settings, drawn ^ salt, now), words)
    engine.run()
    found = score_run(engine)
    found.wall_s = time.perf_counter() - begun
    return found


@dataclass(slots=True)
class SeedResult:
    """A played day, or how its variant failed."""

    seed: int
    score: Score | None = None
    error: str = ""


def _replica(scenario: Scenario, seed: int, variant: Variant, salt: int) -> SeedResult:
    try:
        return SeedResult(seed, run_scenario(scenario, seed, variant, salt))
    except Exception as error:  # a variant's code may raise anything: it is reported, the others go on
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
    """Days over these seeds, in the order of the seeds, on as many cores as joblib is told to use.

    A process that dies takes its variant's replicas with it: they are reported as failed.
    """
    try:
        with Parallel(n_jobs=jobs, return_as="generator") as pool:
            found = []
            for one in pool(delayed(_replica)(scenario, seed, variant, salt) for seed in seeds):
                found.append(one)
                if progress is not None:
                    progress(1)
            return found
    except Exception as error:
        return [SeedResult(seed, error=f"its processes ended: {type(error).__name__}") for seed in seeds]


def metrics_of(found: Score) -> dict[str, float]:
    """A score's figures that an experiment reports, penalties as `penalty.NAME`, breaks as `broken.NAME`."""
    row = {name: float(getattr(found, name)) for name in METRICS}
    row |= {f"penalty.{name}": value for name, value in found.penalties.items()}
    return row | {f"broken.{name}": float(count) for name, count in found.rules.items()}


@dataclass(slots=True)
class Comparison:
    """Two variants over common seeds: each one's means, and b less a, pair by pair."""

    seeds: int
    a: dict[str, Interval] = field(default_factory=dict)
    b: dict[str, Interval] = field(default_factory=dict)
    difference: dict[str, Interval] = field(default_factory=dict)
    verdict: str = "none"
    errors: dict[str, list[str]] = field(default_factory=dict)

    def as_dict(self) -> dict[str, Any]:
        return {
            "seeds": self.seeds,
            "a": intervals_as_dict(self.a),
            "b": intervals_as_dict(self.b),
            "difference": intervals_as_dict(self.difference),
            "verdict": self.verdict,
            "errors": self.errors,
        }


def intervals_as_dict(rows: dict[str, Interval]) -> dict[str, Any]:
    """Intervals for JSON."""
    return {name: {k: finite(v) for k, v in one.as_dict().items()} for name, one in rows.items()}


def finite(value: float) -> float | None:
    """JSON has no infinity: an end that one replica leaves open is null."""
    return value if abs(value) < float("inf") else None


def compare(
    scenario: Scenario,
    a: Variant,
    b: Variant,
    seeds: Sequence[int],
    jobs: int = -1,
    progress: ProgressCallback | None = None,
) -> Comparison:
    """Both over the same days. A variant that fails on some days is judged on the days both played."""
    rows = [run_seeds(scenario, seeds, one, salt, jobs, progress) for salt, one in ((0, a), (0x5EED, b))]
    result = Comparison(len(seeds))
    for name, found in zip("ab", rows, strict=True):
        errors = [f"seed {one.seed}: {one.error}" for one in found if one.error]
        if errors:
            result.errors[name] = errors
        played = [metrics_of(one.score) for one in found if one.score is not None]
        if played:
            means = {key: interval([row[key] for row in played]) for key in played[0]}
            if name == "a":
                result.a = means
            else:
                result.b = means
    pairs = [
        (metrics_of(one.score), metrics_of(other.score))
        for one, other in zip(*rows, strict=True)
        if one.score is not None and other.score is not None
    ]
    if pairs:
        result.difference = {key: interval([y[key] - x[key] for x, y in pairs]) for key in pairs[0][0]}
        result.verdict = verdict(result.difference["service"])
    return result


@dataclass(slots=True)
class SweepPoint:
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
    """Each combination of one or two settings' values, over common seeds."""
    points = []
    for values in itertools.product(*over.values()):
        at = dict(zip(over, values, strict=True))
        variant = with_pairs(at, "set:" + ",".join(f"{k}={v}" for k, v in at.items()))
        found = run_seeds(scenario, seeds, variant, 0, jobs, progress)
        played = [metrics_of(one.score) for one in found if one.score is not None]
        means = {key: interval([row[key] for row in played]) for key in played[0]} if played else {}
        points.append(SweepPoint(at, means, [f"seed {o.seed}: {o.error}" for o in found if o.error]))
    return points
