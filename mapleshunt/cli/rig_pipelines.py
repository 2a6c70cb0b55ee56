"""The command `mapleshunt rig pipelines`: long commands and answers at one gateway with a memory limit."""

from __future__ import annotations

from pathlib import Path

import click

from .output import CommandError, json_option, print_json, table


@click.command()
@click.option("--memory-mb", default=96, show_default=True, type=click.IntRange(24))
@click.option("--descriptors", default=512, show_default=True, type=click.IntRange(128))
@click.option("--clients", default=4, show_default=True, type=click.IntRange(0, 600))
@click.option("--at-once", default=32, show_default=True, type=click.IntRange(1, 4000))
@click.option("--pipelines", "count", default=3, show_default=True, help="Pipelines of each client.")
@click.option("--body", default=0, show_default=True, type=click.IntRange(0, 65536), help="Bytes.")
@click.option("--value", default=64000, show_default=True, type=click.IntRange(16, 65536), help="Bytes.")
@click.option("--work-ms", default=100.0, show_default=True, type=click.FloatRange(1))
@click.option("--sound-rate", default=50.0, show_default=True, type=click.FloatRange(1, 500))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--program", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--logs", type=click.Path(file_okay=False, path_type=Path))
@json_option
def pipelines(
    memory_mb: int,
    descriptors: int,
    clients: int,
    at_once: int,
    count: int,
    body: int,
    value: int,
    work_ms: float,
    sound_rate: float,
    seed: int,
    program: Path | None,
    logs: Path | None,
    as_json: bool,
) -> None:
    """Send pipelines of long commands beside short requests; exit status 1 if a rule is broken."""
    import msgspec

    from ..testbed.errors import GatewayError
    from ..testbed.fleet import CHECKOUT_ROOT
    from ..testbed.pipelines.parameters import PipelineParameters
    from ..testbed.pipelines.run import play

    parameters = PipelineParameters(
        memory_mb=memory_mb,
        descriptors=descriptors,
        clients=clients,
        commands_at_once=at_once,
        pipelines=count,
        body_bytes=body,
        value_bytes=value,
        work_ms=work_ms,
        sound_rate=sound_rate,
        seed=seed,
    )
    try:
        report = play(parameters, logs, (program or CHECKOUT_ROOT).resolve())
    except GatewayError as error:
        raise CommandError(str(error)) from None
    violations = report.violations()
    if as_json:
        print_json({**msgspec.to_builtins(report), "violations": violations})
    else:
        table(["figure", "value"], [
            ["memory at rest, MB", report.memory_at_rest_mb], ["peak memory, MB", report.peak_memory_mb],
            ["memory afterwards, MB", report.memory_after_mb], ["CPU of the gateway, s", report.cpu_s],
            *[[f"pipelined, {kind}", number] for kind, number in report.pipelined.items()],
            *[[f"sound, {kind}", number] for kind, number in report.sound.items()],
            ["sound, median ms", report.sound_median_ms], ["sound, worst ms", report.sound_worst_ms],
        ])  # fmt: skip
        for violation in violations:
            click.echo(f"broken: {violation}")
    if violations:
        raise SystemExit(1)
