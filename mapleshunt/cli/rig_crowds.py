"""The command `mapleshunt rig crowds`: clients that do not finish their requests, beside sound ones."""

from __future__ import annotations

from pathlib import Path

import click

from ..testbed.crowds.parameters import CrowdKind, CrowdParameters, Restart
from .output import CommandError, json_option, print_json, table


@click.command()
@click.argument("kind", type=click.Choice([kind.value for kind in CrowdKind]))
@click.option("--memory-mb", default=96, show_default=True, type=click.IntRange(24))
@click.option("--descriptors", default=1024, show_default=True, type=click.IntRange(128))
@click.option("--clients", default=340, show_default=True, type=click.IntRange(0, 2000))
@click.option("--seconds", default=6.0, show_default=True, type=click.FloatRange(1))
@click.option("--sound-rate", default=50.0, show_default=True, type=click.FloatRange(1, 500))
@click.option("--sound-body", default=0, show_default=True, type=click.IntRange(0, 65536), help="Bytes.")
@click.option("--value", default=100, show_default=True, type=click.IntRange(16, 65536), help="Bytes.")
@click.option(
    "--restart", default="none", show_default=True, type=click.Choice([kind.value for kind in Restart])
)
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--program", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--logs", type=click.Path(file_okay=False, path_type=Path))
@json_option
def crowds(
    kind: str,
    memory_mb: int,
    descriptors: int,
    clients: int,
    seconds: float,
    sound_rate: float,
    sound_body: int,
    value: int,
    restart: str,
    seed: int,
    program: Path | None,
    logs: Path | None,
    as_json: bool,
) -> None:
    """Play a crowd at one gateway with a memory limit; exit status 1 if a rule is broken."""
    import msgspec

    from ..testbed.crowds.run import play
    from ..testbed.errors import GatewayError
    from ..testbed.fleet import CHECKOUT_ROOT

    parameters = CrowdParameters(
        kind=CrowdKind(kind),
        memory_mb=memory_mb,
        descriptors=descriptors,
        clients=clients,
        seconds=seconds,
        sound_rate=sound_rate,
        sound_body_bytes=sound_body,
        value_bytes=value,
        restart=Restart(restart),
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
            ["memory afterwards, MB", report.memory_after_mb],
            ["connections of the crowd", report.connections],
            *[[f"sound, before, {kind}", count] for kind, count in report.before.kinds.items()],
            *[[f"sound, beside, {kind}", count] for kind, count in report.beside.kinds.items()],
            *[[f"sound, {name}, median and 99th, ms", f"{service.median_ms:.0f} {service.p99_ms:.0f}"]
              for name, service in (("before", report.before), ("beside", report.beside))],
        ])  # fmt: skip
        for violation in violations:
            click.echo(f"broken: {violation}")
    if violations:
        raise SystemExit(1)
