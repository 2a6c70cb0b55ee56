"""The command `mapleshunt model check`: the model against real gateways."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from .output import json_option, print_json, table
from .pool import joblib_backend, pool_options

if TYPE_CHECKING:
    from ..simulation.validation import ValidationReport


@click.command("check")
@click.option("--days", default=10, show_default=True, type=click.IntRange(1))
@click.option(
    "--seed", default=1, show_default=True, type=click.IntRange(0), help="Seed of the installation."
)
@click.option("--seconds", default=40.0, show_default=True, type=click.FloatRange(3))
@click.option("--gateways", default=3, show_default=True, type=click.IntRange(1))
@click.option("--servers", default=16, show_default=True, type=click.IntRange(1))
@click.option("--draws", default=96, show_default=True, type=click.IntRange(8))
@click.option("--foretold", default=39, show_default=True, type=click.IntRange(19),
              help="Simulated runs per run of the testbed.")  # fmt: skip
@click.option("--at-once", default=4, show_default=True, type=click.IntRange(1),
              help="Testbeds that run at the same time.")  # fmt: skip
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

    from ..simulation.validation import validate_model
    from ..testbed.recording import run_and_record

    with tempfile.TemporaryDirectory() as folder, joblib_backend(backend):
        validation = validate_model(
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
    if as_json:
        print_json(_validation_as_dict(validation))
    else:
        _print_validation(validation)
    if not validation.passed() or validation.errors:
        raise SystemExit(1)


def _days_within(validation: ValidationReport) -> dict[str, int]:
    """Return in how many runs each figure was inside its interval."""
    return {figure: validation.days_within(figure) for figure in validation.figures()}


def _validation_as_dict(validation: ValidationReport) -> dict[str, Any]:
    return {
        "days": len(validation.days()),
        "within": _days_within(validation),
        "widest_service": validation.widest_interval(),
        "good": validation.passed(),
        "errors": validation.errors,
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
            for line in validation.lines
        ],
    }


def _print_validation(validation: ValidationReport) -> None:
    from ..simulation.validation import MAX_SERVICE_INTERVAL, PREDICTION_LEVEL

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
            for line in validation.lines
        ],
    )
    count = len(validation.days())
    for figure, inside in _days_within(validation).items():
        click.echo(f"{figure}: inside its {PREDICTION_LEVEL:.0%} interval in {inside} of {count} runs")
    click.echo(
        f"widest interval of service: {validation.widest_interval():.3f} (limit {MAX_SERVICE_INTERVAL})"
    )
    for error in validation.errors:
        click.echo(f"run failed: {error}")
