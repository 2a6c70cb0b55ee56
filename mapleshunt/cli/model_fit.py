"""The command `mapleshunt model fit`: parameters of a fleet from recordings."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from .output import CommandError, json_option, print_json, progress, table
from .pool import joblib_backend, pool_options

if TYPE_CHECKING:
    from ..simulation.fitted_fleet import Fit, FittedPlan

PARAMETER_PREFIX = "world."  # of a parameter's name among the settings of a variant


@click.command("fit")
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False, path_type=Path))
@click.option(
    "--settings",
    "configuration",
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
    configuration: Path,
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
    from ..fleet.parameters import check_overrides
    from ..simulation import recorded_traffic
    from ..simulation.fit import Search, fit_fleet
    from ..simulation.fitted_fleet import encode_fit

    try:
        plans = _read_plans(configuration)
        known = _parse_known_parameters(know)
        check_overrides(known)
        worths = _parse_worths(worth)
        traffic = recorded_traffic.read_recordings(list(files))
        for problem in traffic.problems:
            click.echo(f"not read: {problem}", err=True)
        with progress(draws, "fit") as step, joblib_backend(backend):
            search = Search(draws, min(keep, draws), seed, jobs)
            fit = fit_fleet(traffic, plans, worths, servers, known, search, step)
        out.write_bytes(encode_fit(fit))
    except KeyError as error:
        raise CommandError(f"KeyError: {error}") from None
    except (OSError, ValueError, TypeError) as error:
        raise CommandError(str(error)) from None
    if as_json:
        print_json(_fit_as_dict(fit, out))
    else:
        _print_fit(fit)


def _read_plans(configuration: Path) -> list[FittedPlan]:
    """Return the plans of a gateway's configuration, or of settings alone.

    Raises:
        OSError: the file cannot be read.
        ValueError, KeyError, TypeError: it is not JSON, or its plans are incomplete.
    """
    from ..simulation.fitted_fleet import FittedPlan

    document = json.loads(configuration.read_text())
    return [
        FittedPlan(
            package["Name"],
            0.0,
            package["QuotaRate"],
            package["Burst"],
            package.get("ValueFactor", 1.0),
            package.get("ExcessCost", 1.0),
            1.0,
        )
        for package in document.get("settings", document)["Packages"]
    ]


def _parse_known_parameters(texts: tuple[str, ...]) -> dict[str, float]:
    """Return the parameters given as FIGURE=VALUE. Raises ValueError for another form."""
    from ..simulation.variants import parse_pair

    pairs = (parse_pair(f"{PARAMETER_PREFIX}{text}") for text in texts)
    return {key.removeprefix(PARAMETER_PREFIX): float(value) for key, value in pairs}


def _parse_worths(texts: tuple[str, ...]) -> dict[str, float]:
    """Return the values of request classes given as CLASS=WORTH. Raises ValueError if one is no number."""
    pairs = (text.partition("=") for text in texts)
    return {name: float(value) for name, _, value in pairs}


def _compare_figures(fit: Fit) -> dict[str, dict[str, float]]:
    return {
        figure: {"recorded": value, "mean": fit.played[figure][0], "sd": fit.played[figure][1]}
        for figure, value in fit.recorded.items()
    }


def _fit_as_dict(fit: Fit, out: Path) -> dict[str, Any]:
    return {
        "file": str(out),
        "requests": fit.requests,
        "customers": len(fit.customers),
        "coverage": fit.coverage,
        "compared": _compare_figures(fit),
        "trouble": fit.problems,
    }


def _print_fit(fit: Fit) -> None:
    click.echo(
        f"{fit.requests} requests of {len(fit.customers)} customers, {fit.length_ms / 1000:.0f} s, "
        f"{fit.coverage:.0%} of the gateways"
    )
    table(
        ["class", "fraction", "work, ms of a core", "standard error", "coefficient of variation"],
        [
            [fitted.name, fitted.share, fitted.work, fitted.work * fitted.error, fitted.cv]
            for fitted in fit.classes
        ],
    )
    table(
        ["figure (times in log ms)", "recorded", "mean of kept draws", "their sd"],
        [[figure, row["recorded"], row["mean"], row["sd"]] for figure, row in _compare_figures(fit).items()],
    )
