"""Validation of the model: runs of real gateways on loopback against the model's prediction intervals.

An installation is drawn once. One run of it on sockets is recorded by its gateways, and a fleet is fitted to
that recording alone. Further runs on sockets have other traffic and faults; each is compared with the
prediction of the fitted model, which has the faults of that run but not its traffic.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

from joblib import Parallel, delayed

from . import recorded_traffic as recorded
from .day import Scenario, draw_run, resized
from .experiments import run_seeds
from .fit import Search, fit_fleet, plans_of
from .fitted_fleet import Fit
from .replay import scenario_from
from .scenarios import SCENARIOS
from .score import Score
from .stats import prediction
from .variants import Variant

RECORDED_SCENARIO = "quiet"
PREDICTED_SCENARIOS = ("quiet", "payday", "crash", "roll", "counter", "silent")
MAX_SERVICE_INTERVAL = 0.06  # width of the prediction interval of service
PREDICTION_LEVEL = 0.9
SKIPPED_PENALTIES = ("probes", "counter")  # the gateways never incur these


@dataclass(slots=True)
class ValidationLine:
    """One figure of one run: its prediction interval and its measured value."""

    kind: str
    seed: int
    figure: str
    low: float
    mean: float
    high: float
    real: float

    @property
    def inside(self) -> bool:
        """Return whether the measured value lies in the prediction interval."""
        return self.low <= self.real <= self.high


@dataclass(slots=True)
class ValidationReport:
    """The compared figures of all runs, the runs that failed, and the fit."""

    lines: list[ValidationLine] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)
    fit: Fit | None = None

    def figures(self) -> list[str]:
        """Return the names of the figures, in their order."""
        return list(dict.fromkeys(line.figure for line in self.lines))

    def days(self) -> list[tuple[str, int]]:
        """Return the scenario and seed of each compared run."""
        return list(dict.fromkeys((line.kind, line.seed) for line in self.lines))

    def days_within(self, figure: str) -> int:
        """Return the number of runs in which a figure is inside its prediction interval."""
        return sum(line.inside for line in self.lines if line.figure == figure)

    def widest_interval(self) -> float:
        """Return the width of the widest prediction interval of service."""
        return max((line.high - line.low for line in self.lines if line.figure == "service"), default=0.0)

    def passed(self, min_share: float = 0.8) -> bool:
        """Return whether the model is accepted.

        Each figure must be inside its interval in at least `min_share` of the runs, and no interval of
        service may be wider than `MAX_SERVICE_INTERVAL`.
        """
        run_count = len(self.days())
        return (
            bool(run_count)
            and self.widest_interval() <= MAX_SERVICE_INTERVAL
            and all(self.days_within(figure) >= min_share * run_count for figure in self.figures())
        )


# Runs a scenario on sockets, recording into a folder if one is given. A parameter, because the testbed
# imports the simulation.
RunOnSockets = Callable[[Scenario, int, Path | None], Score]


def validate_model(
    run_on_sockets: RunOnSockets,
    folder: Path,
    run_count: int = 10,
    seed: int = 1,
    seconds: float = 40.0,
    gateways: int = 3,
    servers: int = 16,
    draws: int = 96,
    keep: int = 16,
    simulations: int = 39,
    parallel_runs: int = 4,
    jobs: int = -1,
    report_progress: Callable[[str], None] = lambda line: None,
) -> ValidationReport:
    """Record a run, fit the model to it, predict further runs and compare them.

    Args:
        run_on_sockets: runs a scenario with real gateways.
        folder: for the recordings.
        run_count: number of runs that are predicted.
        seed: of the installation, the runs and the fit.
        seconds: length of each run.
        gateways: number of gateways.
        servers: number of backends.
        draws: draws of the parameter search.
        keep: accepted draws.
        simulations: simulated runs for each prediction.
        parallel_runs: testbeds that run at the same time.
        jobs: parallel processes of the simulation.
        report_progress: called with a line of text at each stage.
    """
    base = replace(
        resized(SCENARIOS[RECORDED_SCENARIO], gateways, servers, seconds=seconds), installation_seed=seed
    )
    first_seed = seed * 1000
    folder.mkdir(parents=True, exist_ok=True)
    report_progress(f"recording a run of {RECORDED_SCENARIO} on sockets")
    run_on_sockets(base, first_seed, folder)
    recorded_run = draw_run(base, first_seed)
    traffic = recorded.read_recordings(sorted(folder.glob("*.rec")))
    report_progress(f"fitting a fleet to {len(traffic.rows)} requests")
    fit = fit_fleet(
        traffic,
        plans_of(recorded_run),
        {c.name: c.priority_weight for c in recorded_run.parameters.classes},
        servers,
        {"cores": recorded_run.parameters["cores"]},
        Search(draws, keep, seed, jobs),
    )
    report = ValidationReport(fit=fit)
    kinds = [PREDICTED_SCENARIOS[n % len(PREDICTED_SCENARIOS)] for n in range(run_count)]
    predicted_runs = [
        (
            replace(
                SCENARIOS[kind],
                gateways=gateways,
                backends=servers,
                seconds=seconds,
                installation_seed=seed,
                load=base.load,
            ),
            first_seed + 1 + n,
        )
        for n, kind in enumerate(kinds)
    ]
    report_progress(f"running {run_count} scenarios on sockets, {parallel_runs} at a time")
    outcomes = Parallel(n_jobs=parallel_runs)(
        delayed(_run_or_error)(run_on_sockets, scenario, number) for scenario, number in predicted_runs
    )
    report_progress(f"predicting each run with {simulations} simulations")
    for (scenario, number), outcome in zip(predicted_runs, outcomes, strict=True):
        if isinstance(outcome, str):
            report.errors.append(f"{scenario.name}, seed {number}: {outcome}")
            continue
        known_faults = draw_run(scenario, number).faults
        predicted = scenario_from(
            fit,
            replace(scenario, fault_plan=lambda rng, s, known=known_faults: list(known)),  # type: ignore[misc]
        )
        seeds = range(10**6 + 1000 * number, 10**6 + 1000 * number + simulations)
        model = [r.score for r in run_seeds(predicted, seeds, Variant("here", "here"), 0, jobs) if r.score]
        report.lines += compare_with_prediction(scenario.name, number, model, outcome)
    return report


def _run_or_error(run_on_sockets: RunOnSockets, scenario: Scenario, seed: int) -> Score | str:
    try:
        return run_on_sockets(scenario, seed, None)
    except Exception as error:
        return f"{type(error).__name__}: {error}"


def compare_with_prediction(
    kind: str, seed: int, model: Sequence[Score], real: Score
) -> list[ValidationLine]:
    """Return a line for service and one for each penalty that the gateways can incur."""
    lines = []
    for name in ("service", *(n for n in real.penalties if n not in SKIPPED_PENALTIES)):
        values = [score.service if name == "service" else score.penalties[name] for score in model]
        predicted = prediction(values, PREDICTION_LEVEL)
        measured = real.service if name == "service" else real.penalties[name]
        lines.append(
            ValidationLine(kind, seed, name, predicted.low, predicted.mean, predicted.high, measured)
        )
    return lines
