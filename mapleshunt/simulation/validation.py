"""Does the model predict what real gateways do? Days on loopback against the model's own bars.

An installation is drawn once. One day of it is played on sockets and recorded by its gateways; a world is
fitted to that recording alone. Then other days are played on sockets, with other traffic and with troubles,
and each is held against what the fitted model foretold of it, which knows the troubles and not the traffic.
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

RECORDED_SCENARIO = "quiet"  # the kind of day that is recorded
PREDICTED_SCENARIOS = ("quiet", "payday", "crash", "roll", "counter", "silent")  # those that are foretold
MAX_SERVICE_INTERVAL = 0.06  # of the bar on service
PREDICTION_LEVEL = 0.9
SKIPPED_PENALTIES = ("probes", "counter")  # of which the program makes none


@dataclass(slots=True)
class ValidationLine:
    """One figure of one day: what was foretold and what was."""

    kind: str
    seed: int
    figure: str
    low: float
    mean: float
    high: float
    real: float

    @property
    def inside(self) -> bool:
        return self.low <= self.real <= self.high


@dataclass(slots=True)
class ValidationReport:
    lines: list[ValidationLine] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)
    fit: Fit | None = None

    def figures(self) -> list[str]:
        return list(dict.fromkeys(line.figure for line in self.lines))

    def days(self) -> list[tuple[str, int]]:
        return list(dict.fromkeys((line.kind, line.seed) for line in self.lines))

    def days_within(self, figure: str) -> int:
        return sum(line.inside for line in self.lines if line.figure == figure)

    def widest_interval(self) -> float:
        return max((line.high - line.low for line in self.lines if line.figure == "service"), default=0.0)

    def passed(self, least: float = 0.8) -> bool:
        """Each figure inside its bars on at least so many days, and no bar on service too wide."""
        days = len(self.days())
        return (
            bool(days)
            and self.widest_interval() <= MAX_SERVICE_INTERVAL
            and all(self.days_within(figure) >= least * days for figure in self.figures())
        )


# Plays a day on sockets, recording into a folder if one is given. The rig imports the model: it is handed in.
PlayDay = Callable[[Scenario, int, Path | None], Score]


def validate_model(
    play: PlayDay,
    folder: Path,
    days: int = 10,
    seed: int = 1,
    seconds: float = 40.0,
    gateways: int = 3,
    servers: int = 16,
    draws: int = 96,
    keep: int = 16,
    foretold: int = 39,
    at_once: int = 4,
    jobs: int = -1,
    say: Callable[[str], None] = lambda line: None,
) -> ValidationReport:
    """Record, fit, foretell and compare. `at_once`: rigs that run side by side."""
    base = replace(
        resized(SCENARIOS[RECORDED_SCENARIO], gateways, servers, seconds=seconds), installation_seed=seed
    )
    first = seed * 1000
    folder.mkdir(parents=True, exist_ok=True)
    say(f"playing and recording a {RECORDED_SCENARIO} day")
    play(base, first, folder)
    day = draw_run(base, first)
    traffic = recorded.read_recordings(sorted(folder.glob("*.rec")))
    say(f"fitting a world to {len(traffic.rows)} requests")
    fit = fit_fleet(
        traffic,
        plans_of(day),
        {c.name: c.priority_weight for c in day.parameters.classes},
        servers,
        {"cores": day.parameters["cores"]},
        Search(draws, keep, seed, jobs),
    )
    result = ValidationReport(fit=fit)
    kinds = [PREDICTED_SCENARIOS[n % len(PREDICTED_SCENARIOS)] for n in range(days)]
    tests = [
        (
            replace(
                SCENARIOS[kind],
                gateways=gateways,
                backends=servers,
                seconds=seconds,
                installation_seed=seed,
                load=base.load,
            ),
            first + 1 + n,
        )
        for n, kind in enumerate(kinds)
    ]
    say(f"playing {days} days on sockets, {at_once} at once")
    real = Parallel(n_jobs=at_once)(delayed(_played)(play, scenario, number) for scenario, number in tests)
    say(f"foretelling each by {foretold} days of the model")
    for (scenario, number), found in zip(tests, real, strict=True):
        if isinstance(found, str):
            result.errors.append(f"{scenario.name}, seed {number}: {found}")
            continue
        known = draw_run(scenario, number).faults
        told = scenario_from(fit, replace(scenario, fault_plan=lambda rng, s, known=known: list(known)))  # type: ignore[misc]
        seeds = range(10**6 + 1000 * number, 10**6 + 1000 * number + foretold)
        model = [one.score for one in run_seeds(told, seeds, Variant("here", "here"), 0, jobs) if one.score]
        result.lines += compare_with_prediction(scenario.name, number, model, found)
    return result


def _played(play: PlayDay, scenario: Scenario, seed: int) -> Score | str:
    try:
        return play(scenario, seed, None)
    except Exception as error:
        return f"{type(error).__name__}: {error}"


def compare_with_prediction(
    kind: str, seed: int, model: Sequence[Score], real: Score
) -> list[ValidationLine]:
    """A line for service and for each penalty that the program can have."""
    lines = []
    for name in ("service", *(n for n in real.penalties if n not in SKIPPED_PENALTIES)):
        values = [one.service if name == "service" else one.penalties[name] for one in model]
        bar = prediction(values, PREDICTION_LEVEL)
        found = real.service if name == "service" else real.penalties[name]
        lines.append(ValidationLine(kind, seed, name, bar.low, bar.mean, bar.high, found))
    return lines
