"""`mapleshunt model ...`: the fleet in virtual time."""

from __future__ import annotations

from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click

from .output import Trouble, json_option, print_json, progress, service_rows, table


@click.group()
def model() -> None:
    """Try a setting or a version on a model of the fleet."""


def sizes(command: Any) -> Any:
    for name, kind, text in (
        ("--seconds", float, "Length of the day."),
        ("--rate", float, "Requests a second inside the quotas; else by the scenario's load."),
        ("--servers", click.IntRange(1), "Till servers."),
        ("--gateways", click.IntRange(1), "Gateways."),
    ):
        command = click.option(name, type=kind, help=text)(command)
    return command


def pools(command: Any) -> Any:
    command = click.option(
        "--backend", default=None, help="joblib's backend (loky, multiprocessing, threading)."
    )(command)
    return click.option("--jobs", default=-1, show_default=True, help="Processes; -1: one a core.")(command)


@contextmanager
def _pool(backend: str | None) -> Any:
    from joblib import parallel_config

    if backend is None:
        yield
        return
    try:
        with parallel_config(backend=backend):
            yield
    except ValueError as error:
        raise Trouble(str(error)) from None


def scenario_named(
    name: str, gateways: int | None, servers: int | None, rate: float | None, seconds: float | None
) -> Any:
    from ..simulation.day import resized
    from ..simulation.scenarios import get_scenario

    try:
        if ":" in name:
            return _recorded(name, gateways, servers, rate, seconds)
        return resized(get_scenario(name), gateways, servers, rate, seconds)
    except (ValueError, OSError) as error:
        raise Trouble(str(error)) from None


def _recorded(
    name: str, gateways: int | None, servers: int | None, rate: float | None, seconds: float | None
) -> Any:
    """`fit:FILE[,KIND][,xSCALE][,rates]`: days of a fitted fleet, with a scenario's troubles, scaled."""
    from ..simulation.day import resized
    from ..simulation.fitted_fleet import decode_fit
    from ..simulation.replay import scenario_from
    from ..simulation.scenarios import get_scenario

    kind, _, rest = name.partition(":")
    if kind != "fit":
        raise ValueError(f"{name!r} is neither a scenario nor fit:FILE[,KIND][,xSCALE][,rates]")
    if gateways is not None or rate is not None:
        raise ValueError("a fitted fleet has its gateways and rates; scale it with xSCALE")
    file, *parts = rest.split(",")
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


def _variant(text: str) -> Any:
    from ..simulation.variants import parse

    try:
        return parse(text)
    except ValueError as error:
        raise Trouble(str(error)) from None


@model.command("scenarios")
@json_option
def list_scenarios(as_json: bool) -> None:
    """The built-in scenarios."""
    from ..simulation.scenarios import SCENARIOS

    if as_json:
        print_json({name: one.description for name, one in SCENARIOS.items()})
    else:
        table(["scenario", "what it is"], [[name, one.description] for name, one in SCENARIOS.items()])


@model.command()
@click.argument("scenario")
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0), help="Draws the day.")
@click.option(
    "--variant", default="here", show_default=True, help="here, path:DIR, policy:NAME or set:KEY=VALUE,..."
)
@sizes
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
    """Play one day of a scenario."""
    from ..simulation.experiments import run_scenario

    chosen, day = _variant(variant), scenario_named(scenario, gateways, servers, rate, seconds)
    try:
        found = run_scenario(day, seed, chosen)
    except Exception as error:
        raise Trouble(f"the variant {variant!r} failed: {type(error).__name__}: {error}") from None
    if as_json:
        print_json(found.as_dict())
        return
    table(["figure", "value"], [
        *service_rows(found),
        ["first tries", found.requests], ["tries", found.tries], ["served", found.served],
        ["refused", found.refused], ["failed", found.failed], ["median answer, ms", found.p50_ms],
        ["99th percentile, ms", found.p99_ms], ["events", found.events], ["wall time, s", found.wall_s],
        ["CPU of the gateways, s", found.gateway_cpu_s], ["CPU of the model, s", found.model_cpu_s],
    ])  # fmt: skip
    for story in found.stories:
        click.echo(f"broken: {story}")


@model.command()
@click.argument("scenario")
@click.option("--a", "a", default="here", show_default=True, help="The first variant.")
@click.option("--b", "b", required=True, help="The second.")
@click.option("--seeds", default=10, show_default=True, type=click.IntRange(1), help="Days that both play.")
@click.option("--first-seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--plot", type=click.Path(dir_okay=False, path_type=Path), help="A picture of the differences.")
@sizes
@pools
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
    """Two variants over the same days: the difference with its interval."""
    from ..simulation.experiments import compare as compare_variants

    one, other = _variant(a), _variant(b)
    day = scenario_named(scenario, gateways, servers, rate, seconds)
    with progress(2 * seeds, scenario) as step, _pool(backend):
        found = compare_variants(day, one, other, range(first_seed, first_seed + seeds), jobs, step)
    if plot is not None and found.difference:
        from ..simulation import plots

        plots.comparison(found, (a, b), f"{scenario}, {seeds} days", plot)
    if as_json:
        print_json(found.as_dict())
    else:
        rows = [
            [key, found.a[key].mean, found.b[key].mean, row.mean, row.low, row.high]
            for key, row in found.difference.items()
            if found.a[key].mean or found.b[key].mean
        ]
        table(["figure", "a", "b", "b less a", "low", "high"], rows)
        words = {"a": f"a ({a}) serves more", "b": f"b ({b}) serves more", "none": "no difference shown"}
        click.echo(f"service: {words[found.verdict]} (95% interval of paired differences, Student's t)")
        for name, errors in found.errors.items():
            click.echo(f"{name} failed on {len(errors)} of {seeds} days: {errors[0]}")
    if not found.difference:
        raise Trouble("no day was played by both variants")


@model.command()
@click.argument("scenario")
@click.option("--over", required=True, multiple=True, help="KEY=VALUE,VALUE,...; twice for two settings.")
@click.option("--seeds", default=6, show_default=True, type=click.IntRange(1))
@click.option("--figure", default="service", show_default=True, help="What the plot shows.")
@click.option("--plot", type=click.Path(dir_okay=False, path_type=Path))
@sizes
@pools
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
    """A figure over the values of one or two settings."""
    from ..simulation.experiments import intervals_as_dict
    from ..simulation.experiments import sweep as sweep_settings
    from ..simulation.variants import parse_pair

    if len(over) > 2:
        raise Trouble("a sweep goes over one or two settings")
    values: dict[str, list[Any]] = {}
    for one in over:
        key, _, rest = one.partition("=")
        try:
            pairs = [parse_pair(f"{key}={value}") for value in rest.split(",")]
            values[pairs[0][0]] = [value for _, value in pairs]
        except ValueError as error:
            raise Trouble(str(error)) from None
    day = scenario_named(scenario, gateways, servers, rate, seconds)
    total = seeds
    for held in values.values():
        total *= len(held)
    with progress(total, scenario) as step, _pool(backend):
        points = sweep_settings(day, values, range(1, seeds + 1), jobs, step)
    if (
        points
        and any(p.figures for p in points)
        and figure not in next(p.figures for p in points if p.figures)
    ):
        raise Trouble(f"{figure!r} is no figure")
    if plot is not None:
        from ..simulation import plots

        plots.sweep(points, figure, f"{scenario}, {seeds} days a point", plot)
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
    help="A gateway's configuration: its plans and classes.",
)
@click.option(
    "--out", required=True, type=click.Path(dir_okay=False, path_type=Path), help="Where the fit goes."
)
@click.option("--servers", type=click.IntRange(1), help="Till servers; else those that were sent anything.")
@click.option("--know", multiple=True, help="FIGURE=VALUE that is known, cores=3 say.")
@click.option("--worth", multiple=True, help="CLASS=WORTH; else 1.")
@click.option("--draws", default=160, show_default=True, type=click.IntRange(8))
@click.option("--keep", default=24, show_default=True, type=click.IntRange(2))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@pools
@json_option
def fit_world(
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
    """Fit a world to the recordings of a fleet's gateways."""
    import json

    from ..fleet.parameters import check_overrides
    from ..simulation import recorded_traffic
    from ..simulation.fit import Search, fit_fleet
    from ..simulation.fitted_fleet import FittedPlan, encode_fit
    from ..simulation.variants import parse_pair

    try:
        wire = json.loads(told.read_text())
        packages = wire.get("settings", wire)["Packages"]
        plans = [
            FittedPlan(
                p["Name"],
                0.0,
                p["QuotaRate"],
                p["Burst"],
                p.get("ValueFactor", 1.0),
                p.get("ExcessCost", 1.0),
                1.0,
            )
            for p in packages
        ]
        known = {key: float(value) for key, value in (parse_pair(f"world.{one}") for one in know)}
        known = {key[6:]: value for key, value in known.items()}
        check_overrides(known)
        worths = {name: float(value) for name, _, value in (one.partition("=") for one in worth)}
        traffic = recorded_traffic.read_recordings(list(files))
        for line in traffic.problems:
            click.echo(f"not read: {line}", err=True)
        with progress(draws, "fit") as step, _pool(backend):
            search = Search(draws, min(keep, draws), seed, jobs)
            found = fit_fleet(traffic, plans, worths, servers, known, search, step)
        out.write_bytes(encode_fit(found))
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise Trouble(
            f"{type(error).__name__}: {error}" if isinstance(error, KeyError) else str(error)
        ) from None
    compared = {
        k: {"recorded": v, "mean": found.played[k][0], "sd": found.played[k][1]}
        for k, v in found.recorded.items()
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
        ["class", "share", "work, ms of a core", "standard error", "cv"],
        [[c.name, c.share, c.work, c.work * c.error, c.cv] for c in found.classes],
    )
    table(
        ["compared (times in log ms)", "recorded", "draws kept", "their sd"],
        [[k, v["recorded"], v["mean"], v["sd"]] for k, v in compared.items()],
    )


@model.command("check")
@click.option("--days", default=10, show_default=True, type=click.IntRange(1))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0), help="Draws the installation.")
@click.option("--seconds", default=40.0, show_default=True, type=click.FloatRange(3))
@click.option("--gateways", default=3, show_default=True, type=click.IntRange(1))
@click.option("--servers", default=16, show_default=True, type=click.IntRange(1))
@click.option("--draws", default=96, show_default=True, type=click.IntRange(8))
@click.option(
    "--foretold", default=39, show_default=True, type=click.IntRange(19), help="Days of the model for each."
)
@click.option("--at-once", default=4, show_default=True, type=click.IntRange(1), help="Rigs side by side.")
@pools
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
    """Hold the model against days of real gateways on loopback: minutes of real time."""
    import tempfile

    from ..simulation.validation import MAX_SERVICE_INTERVAL, PREDICTION_LEVEL, validate_model
    from ..testbed.recording import run_and_record

    with tempfile.TemporaryDirectory() as place, _pool(backend):
        found = validate_model(
            run_and_record,
            Path(place),
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
            lambda line: click.echo(line, err=True),
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
                        "kind": x.kind,
                        "seed": x.seed,
                        "figure": x.figure,
                        "low": x.low,
                        "mean": x.mean,
                        "high": x.high,
                        "real": x.real,
                        "inside": x.inside,
                    }
                    for x in found.lines
                ],
            }
        )
    else:
        table(
            ["day", "seed", "figure", "low", "foretold", "high", "real", "inside"],
            [
                [x.kind, x.seed, x.figure, x.low, x.mean, x.high, x.real, "yes" if x.inside else "NO"]
                for x in found.lines
            ],
        )
        for figure, number in within.items():
            click.echo(f"{figure}: inside its {PREDICTION_LEVEL:.0%} bars on {number} of {count} days")
        click.echo(
            f"widest bar on service {found.widest_interval():.3f} (at most {MAX_SERVICE_INTERVAL} wanted)"
        )
        for error in found.errors:
            click.echo(f"not played: {error}")
    if not found.passed() or found.errors:
        raise SystemExit(1)
