"""The command `mapleshunt model`: the fleet simulated in virtual time."""

from __future__ import annotations

from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click

from .output import CommandError, json_option, print_json, progress, service_rows, table


@click.group()
def model() -> None:
    """Test settings or versions on a model of the fleet."""


def size_options(command: Any) -> Any:
    """Add the options that resize a scenario."""
    for name, option_type, text in (
        ("--seconds", float, "Length of the run."),
        ("--rate", float, "Requests per second within the quotas; by default from the scenario's load."),
        ("--servers", click.IntRange(1), "Backends."),
        ("--gateways", click.IntRange(1), "Gateways."),
    ):
        command = click.option(name, type=option_type, help=text)(command)
    return command


def pool_options(command: Any) -> Any:
    """Add the options of parallel execution."""
    command = click.option(
        "--backend", default=None, help="joblib's backend (loky, multiprocessing, threading)."
    )(command)
    return click.option(
        "--jobs", default=-1, show_default=True, help="Number of processes; -1: one per core."
    )(command)


@contextmanager
def _joblib_backend(backend: str | None) -> Any:
    from joblib import parallel_config

    if backend is None:
        yield
        return
    try:
        with parallel_config(backend=backend):
            yield
    except ValueError as error:
        raise CommandError(str(error)) from None


def load_scenario(
    name: str, gateways: int | None, servers: int | None, rate: float | None, seconds: float | None
) -> Any:
    """Return a built-in or fitted scenario, resized.

    Raises:
        CommandError: the name or a size is invalid, or the fit cannot be read.
    """
    from ..simulation.day import resized
    from ..simulation.scenarios import get_scenario

    try:
        if ":" in name:
            return _load_fitted_scenario(name, gateways, servers, rate, seconds)
        return resized(get_scenario(name), gateways, servers, rate, seconds)
    except (ValueError, OSError) as error:
        raise CommandError(str(error)) from None


def _load_fitted_scenario(
    name: str, gateways: int | None, servers: int | None, rate: float | None, seconds: float | None
) -> Any:
    """Return `fit:FILE[,KIND][,xSCALE][,rates]`: a fitted fleet, scaled, with a scenario's faults."""
    from ..simulation.day import resized
    from ..simulation.fitted_fleet import decode_fit
    from ..simulation.replay import scenario_from
    from ..simulation.scenarios import get_scenario

    kind, _, arguments = name.partition(":")
    if kind != "fit":
        raise ValueError(f"a scenario must be built in or fit:FILE[,KIND][,xSCALE][,rates], got {name!r}")
    if gateways is not None or rate is not None:
        raise ValueError("--gateways and --rate do not apply to a fitted fleet; scale it with xSCALE")
    file, *parts = arguments.split(",")
    found = decode_fit(Path(file).read_bytes())
    scale, by, base = 1.0, "customers", get_scenario("quiet")
    for part in parts:
        if part in ("customers", "rates"):
            by = part
        elif part[:1] == "x" and part[1:].replace(".", "", 1).isdigit():
            scale = float(part[1:])
        else:
            base = get_scenario(part)
    if servers is not None:
        import msgspec

        found = msgspec.structs.replace(found, servers=servers)
    return scenario_from(found, resized(base, seconds=seconds), scale, by)


def _parse_variant(text: str) -> Any:
    from ..simulation.variants import parse

    try:
        return parse(text)
    except ValueError as error:
        raise CommandError(str(error)) from None


@model.command("scenarios")
@json_option
def list_scenarios(as_json: bool) -> None:
    """List the built-in scenarios."""
    from ..simulation.scenarios import SCENARIOS

    if as_json:
        print_json({name: scenario.description for name, scenario in SCENARIOS.items()})
    else:
        table(
            ["scenario", "description"],
            [[name, scenario.description] for name, scenario in SCENARIOS.items()],
        )


@model.command()
@click.argument("scenario")
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0), help="Seed of the run.")
@click.option(
    "--variant", default="here", show_default=True, help="here, path:DIR, policy:NAME or set:KEY=VALUE,..."
)
@size_options
@json_option
def run(
    scenario: str,
    seed: int,
    variant: str,
    gateways: int | None,
    servers: int | None,
    rate: float | None,
    seconds: float | None,
    as_json: bool,
) -> None:
    """Simulate one run of a scenario."""
    from ..simulation.experiments import run_scenario

    selected_variant, sized_scenario = (
        _parse_variant(variant),
        load_scenario(scenario, gateways, servers, rate, seconds),
    )
    try:
        found = run_scenario(sized_scenario, seed, selected_variant)
    except Exception as error:
        raise CommandError(f"the variant {variant!r} failed: {type(error).__name__}: {error}") from None
    if as_json:
        print_json(found.as_dict())
        return
    table(["figure", "value"], [
        *service_rows(found),
        ["requests", found.requests], ["attempts", found.tries], ["served", found.served],
        ["rejected", found.refused], ["failed", found.failed], ["median response time, ms", found.p50_ms],
        ["99th percentile response time, ms", found.p99_ms], ["events", found.events],
        ["wall time, s", found.wall_s],
        ["CPU of the gateways, s", found.gateway_cpu_s], ["CPU of the simulation, s", found.model_cpu_s],
    ])  # fmt: skip
    for violation in found.stories:
        click.echo(f"broken: {violation}")


@model.command()
@click.argument("scenario")
@click.option("--a", "a", default="here", show_default=True, help="The first variant.")
@click.option("--b", "b", required=True, help="The second.")
@click.option(
    "--seeds", default=10, show_default=True, type=click.IntRange(1), help="Number of runs of each variant."
)
@click.option("--first-seed", default=1, show_default=True, type=click.IntRange(0))
@click.option(
    "--plot",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write a plot of the differences to this file.",
)
@size_options
@pool_options
@json_option
def compare(
    scenario: str,
    a: str,
    b: str,
    seeds: int,
    first_seed: int,
    plot: Path | None,
    gateways: int | None,
    servers: int | None,
    rate: float | None,
    seconds: float | None,
    jobs: int,
    backend: str | None,
    as_json: bool,
) -> None:
    """Compare two variants over runs of the same seeds, with confidence intervals."""
    from ..simulation.experiments import compare as compare_variants

    first, second = _parse_variant(a), _parse_variant(b)
    sized_scenario = load_scenario(scenario, gateways, servers, rate, seconds)
    with progress(2 * seeds, scenario) as step, _joblib_backend(backend):
        found = compare_variants(
            sized_scenario, first, second, range(first_seed, first_seed + seeds), jobs, step
        )
    if plot is not None and found.difference:
        from ..simulation import plots

        plots.comparison(found, (a, b), f"{scenario}, {seeds} runs", plot)
    if as_json:
        print_json(found.as_dict())
    else:
        rows = [
            [key, found.a[key].mean, found.b[key].mean, difference.mean, difference.low, difference.high]
            for key, difference in found.difference.items()
            if found.a[key].mean or found.b[key].mean
        ]
        table(["figure", "a", "b", "b - a", "low", "high"], rows)
        verdicts = {
            "a": f"a ({a}) serves more",
            "b": f"b ({b}) serves more",
            "none": "no significant difference",
        }
        click.echo(f"service: {verdicts[found.verdict]} (95% interval of paired differences, Student's t)")
        for name, errors in found.errors.items():
            click.echo(f"variant {name} failed in {len(errors)} of {seeds} runs: {errors[0]}")
    if not found.difference:
        raise CommandError("no run was completed by both variants")


@model.command()
@click.argument("scenario")
@click.option("--over", required=True, multiple=True, help="KEY=VALUE,VALUE,...; may be given twice.")
@click.option("--seeds", default=6, show_default=True, type=click.IntRange(1))
@click.option("--figure", default="service", show_default=True, help="Figure that is tabulated and plotted.")
@click.option("--plot", type=click.Path(dir_okay=False, path_type=Path))
@size_options
@pool_options
@json_option
def sweep(
    scenario: str,
    over: tuple[str, ...],
    seeds: int,
    figure: str,
    plot: Path | None,
    gateways: int | None,
    servers: int | None,
    rate: float | None,
    seconds: float | None,
    jobs: int,
    backend: str | None,
    as_json: bool,
) -> None:
    """Show a figure over the values of one or two settings."""
    from ..simulation.experiments import intervals_as_dict
    from ..simulation.experiments import sweep as sweep_settings
    from ..simulation.variants import parse_pair

    if len(over) > 2:
        raise CommandError(f"--over must be given once or twice, got {len(over)}")
    values: dict[str, list[Any]] = {}
    for setting in over:
        key, _, texts = setting.partition("=")
        try:
            pairs = [parse_pair(f"{key}={value}") for value in texts.split(",")]
            values[pairs[0][0]] = [value for _, value in pairs]
        except ValueError as error:
            raise CommandError(str(error)) from None
    sized_scenario = load_scenario(scenario, gateways, servers, rate, seconds)
    total = seeds
    for setting_values in values.values():
        total *= len(setting_values)
    with progress(total, scenario) as step, _joblib_backend(backend):
        points = sweep_settings(sized_scenario, values, range(1, seeds + 1), jobs, step)
    if (
        points
        and any(p.figures for p in points)
        and figure not in next(p.figures for p in points if p.figures)
    ):
        raise CommandError(f"no figure is named {figure!r}")
    if plot is not None:
        from ..simulation import plots

        plots.sweep(points, figure, f"{scenario}, {seeds} runs per point", plot)
    if as_json:
        print_json(
            [{"at": p.settings, "errors": p.errors, "figures": intervals_as_dict(p.figures)} for p in points]
        )
        return
    rows = [
        [
            *(p.settings[key] for key in values),
            p.figures[figure].mean,
            p.figures[figure].low,
            p.figures[figure].high,
            len(p.errors),
        ]
        for p in points
        if figure in p.figures
    ]
    table([*values, figure, "low", "high", "failed"], rows)


@model.command("fit")
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False, path_type=Path))
@click.option(
    "--settings",
    "told",
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="Configuration of a gateway, for its plans.",
)
@click.option(
    "--out",
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="File that the fit is written to.",
)
@click.option("--servers", type=click.IntRange(1), help="Number of backends; by default those with attempts.")
@click.option("--know", multiple=True, help="Known parameter as FIGURE=VALUE, for example cores=3.")
@click.option("--worth", multiple=True, help="Value of a request class as CLASS=WORTH; by default 1.")
@click.option("--draws", default=160, show_default=True, type=click.IntRange(8))
@click.option("--keep", default=24, show_default=True, type=click.IntRange(2))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@pool_options
@json_option
def fit_parameters(
    files: tuple[Path, ...],
    told: Path,
    out: Path,
    servers: int | None,
    know: tuple[str, ...],
    worth: tuple[str, ...],
    draws: int,
    keep: int,
    seed: int,
    jobs: int,
    backend: str | None,
    as_json: bool,
) -> None:
    """Fit the parameters of a fleet to the recordings of its gateways."""
    import json

    from ..fleet.parameters import check_overrides
    from ..simulation import recorded_traffic
    from ..simulation.fit import Search, fit_fleet
    from ..simulation.fitted_fleet import FittedPlan, encode_fit
    from ..simulation.variants import parse_pair

    try:
        document = json.loads(told.read_text())
        packages = document.get("settings", document)["Packages"]
        plans = [
            FittedPlan(
                package["Name"],
                0.0,
                package["QuotaRate"],
                package["Burst"],
                package.get("ValueFactor", 1.0),
                package.get("ExcessCost", 1.0),
                1.0,
            )
            for package in packages
        ]
        known = {
            key: float(value) for key, value in (parse_pair(f"world.{known_figure}") for known_figure in know)
        }
        known = {key[6:]: value for key, value in known.items()}
        check_overrides(known)
        worths = {
            name: float(value) for name, _, value in (class_worth.partition("=") for class_worth in worth)
        }
        traffic = recorded_traffic.read_recordings(list(files))
        for problem in traffic.problems:
            click.echo(f"not read: {problem}", err=True)
        with progress(draws, "fit") as step, _joblib_backend(backend):
            search = Search(draws, min(keep, draws), seed, jobs)
            found = fit_fleet(traffic, plans, worths, servers, known, search, step)
        out.write_bytes(encode_fit(found))
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise CommandError(
            f"{type(error).__name__}: {error}" if isinstance(error, KeyError) else str(error)
        ) from None
    compared = {
        figure: {"recorded": value, "mean": found.played[figure][0], "sd": found.played[figure][1]}
        for figure, value in found.recorded.items()
    }
    if as_json:
        print_json(
            {
                "file": str(out),
                "requests": found.requests,
                "customers": len(found.customers),
                "coverage": found.coverage,
                "compared": compared,
                "trouble": found.problems,
            }
        )
        return
    click.echo(
        f"{found.requests} requests of {len(found.customers)} customers, {found.length_ms / 1000:.0f} s, "
        f"{found.coverage:.0%} of the gateways"
    )
    table(
        ["class", "fraction", "work, ms of a core", "standard error", "coefficient of variation"],
        [
            [fitted.name, fitted.share, fitted.work, fitted.work * fitted.error, fitted.cv]
            for fitted in found.classes
        ],
    )
    table(
        ["figure (times in log ms)", "recorded", "mean of kept draws", "their sd"],
        [[figure, row["recorded"], row["mean"], row["sd"]] for figure, row in compared.items()],
    )


@model.command("check")
@click.option("--days", default=10, show_default=True, type=click.IntRange(1))
@click.option(
    "--seed", default=1, show_default=True, type=click.IntRange(0), help="Seed of the installation."
)
@click.option("--seconds", default=40.0, show_default=True, type=click.FloatRange(3))
@click.option("--gateways", default=3, show_default=True, type=click.IntRange(1))
@click.option("--servers", default=16, show_default=True, type=click.IntRange(1))
@click.option("--draws", default=96, show_default=True, type=click.IntRange(8))
@click.option(
    "--foretold",
    default=39,
    show_default=True,
    type=click.IntRange(19),
    help="Simulated runs per run of the testbed.",
)
@click.option(
    "--at-once",
    default=4,
    show_default=True,
    type=click.IntRange(1),
    help="Testbeds that run at the same time.",
)
@pool_options
@json_option
def check_model(
    days: int,
    seed: int,
    seconds: float,
    gateways: int,
    servers: int,
    draws: int,
    foretold: int,
    at_once: int,
    jobs: int,
    backend: str | None,
    as_json: bool,
) -> None:
    """Validate the model against real gateways on loopback; takes minutes of real time."""
    import tempfile

    from ..simulation.validation import MAX_SERVICE_INTERVAL, PREDICTION_LEVEL, validate_model
    from ..testbed.recording import run_and_record

    with tempfile.TemporaryDirectory() as folder, _joblib_backend(backend):
        found = validate_model(
            run_and_record,
            Path(folder),
            days,
            seed,
            seconds,
            gateways,
            servers,
            draws,
            max(2, draws // 6),
            foretold,
            at_once,
            jobs,
            lambda message: click.echo(message, err=True),
        )
    within = {figure: found.days_within(figure) for figure in found.figures()}
    count = len(found.days())
    if as_json:
        print_json(
            {
                "days": count,
                "within": within,
                "widest_service": found.widest_interval(),
                "good": found.passed(),
                "errors": found.errors,
                "lines": [
                    {
                        "kind": line.kind,
                        "seed": line.seed,
                        "figure": line.figure,
                        "low": line.low,
                        "mean": line.mean,
                        "high": line.high,
                        "real": line.real,
                        "inside": line.inside,
                    }
                    for line in found.lines
                ],
            }
        )
    else:
        table(
            ["scenario", "seed", "figure", "low", "predicted", "high", "real", "inside"],
            [
                [
                    line.kind,
                    line.seed,
                    line.figure,
                    line.low,
                    line.mean,
                    line.high,
                    line.real,
                    "yes" if line.inside else "NO",
                ]
                for line in found.lines
            ],
        )
        for figure, inside in within.items():
            click.echo(f"{figure}: inside its {PREDICTION_LEVEL:.0%} interval in {inside} of {count} runs")
        click.echo(
            f"widest interval of service: {found.widest_interval():.3f} (limit {MAX_SERVICE_INTERVAL})"
        )
        for error in found.errors:
            click.echo(f"run failed: {error}")
    if not found.passed() or found.errors:
        raise SystemExit(1)
