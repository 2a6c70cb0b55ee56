"""The command `mapleshunt model`: the fleet simulated in virtual time."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from .model_check import check_model
from .model_fit import fit_parameters
from .output import CommandError, json_option, print_json, progress, service_rows, table
from .pool import joblib_backend, pool_options


@click.group()
def model() -> None:
    """Test settings or versions on a model of the fleet."""


model.add_command(fit_parameters)
model.add_command(check_model)


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
    fit = decode_fit(Path(file).read_bytes())
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

        fit = msgspec.structs.replace(fit, servers=servers)
    return scenario_from(fit, resized(base, seconds=seconds), scale, by)


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
        score = run_scenario(sized_scenario, seed, selected_variant)
    except Exception as error:
        raise CommandError(f"the variant {variant!r} failed: {type(error).__name__}: {error}") from None
    if as_json:
        print_json(score.as_dict())
        return
    table(["figure", "value"], [
        *service_rows(score),
        ["requests", score.requests], ["attempts", score.tries], ["served", score.served],
        ["rejected", score.refused], ["failed", score.failed], ["median response time, ms", score.p50_ms],
        ["99th percentile response time, ms", score.p99_ms], ["events", score.events],
        ["wall time, s", score.wall_s],
        ["CPU of the gateways, s", score.gateway_cpu_s], ["CPU of the simulation, s", score.model_cpu_s],
    ])  # fmt: skip
    for violation in score.stories:
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
    with progress(2 * seeds, scenario) as step, joblib_backend(backend):
        comparison = compare_variants(
            sized_scenario, first, second, range(first_seed, first_seed + seeds), jobs, step
        )
    if plot is not None and comparison.difference:
        from ..simulation import plots

        plots.comparison(comparison, (a, b), f"{scenario}, {seeds} runs", plot)
    if as_json:
        print_json(comparison.as_dict())
    else:
        rows = [
            [
                key,
                comparison.a[key].mean,
                comparison.b[key].mean,
                difference.mean,
                difference.low,
                difference.high,
            ]
            for key, difference in comparison.difference.items()
            if comparison.a[key].mean or comparison.b[key].mean
        ]
        table(["figure", "a", "b", "b - a", "low", "high"], rows)
        verdicts = {
            "a": f"a ({a}) serves more",
            "b": f"b ({b}) serves more",
            "none": "no significant difference",
        }
        click.echo(
            f"service: {verdicts[comparison.verdict]} (95% interval of paired differences, Student's t)"
        )
        for name, errors in comparison.errors.items():
            click.echo(f"variant {name} failed in {len(errors)} of {seeds} runs: {errors[0]}")
    if not comparison.difference:
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
    with progress(total, scenario) as step, joblib_backend(backend):
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
