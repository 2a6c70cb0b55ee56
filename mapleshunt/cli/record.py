"""The commands `mapleshunt record` and `mapleshunt settings`: recordings and the operators' file."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from .output import CommandError, json_option, print_json, table

if TYPE_CHECKING:  # zstandard is loaded only by commands that read recordings
    from ..recording.file_format import RecordedRequest, Recording

FILE = click.Path(dir_okay=False, path_type=Path)


@click.group()
def record() -> None:
    """Inspect recordings of gateways' traffic."""


def recordings(files: tuple[Path, ...]) -> list[Recording]:
    """Read recordings.

    Raises:
        CommandError: a file cannot be read, or is not a recording.
    """
    from ..recording import file_format

    found = []
    for file in files:
        try:
            found.append(file_format.read_recording(file.read_bytes()))
        except (OSError, file_format.RecordingError) as error:
            raise CommandError(f"{file}: {error}") from None
    return found


@record.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
@click.option("--rows", default=0, type=click.IntRange(0), help="Number of newest rows to print too.")
@json_option
def show(files: tuple[Path, ...], rows: int, as_json: bool) -> None:
    """Summarize recordings and list what cannot be read."""
    summaries = [
        _summary(file, recording, rows) for file, recording in zip(files, recordings(files), strict=True)
    ]
    if as_json:
        print_json(summaries)
        return
    for summary in summaries:
        _print_summary(summary)


def _summary(file: Path, recording: Recording, newest: int) -> dict[str, Any]:
    """Return a recording's summary under the keys of the command's JSON, with the `newest` rows."""
    requests = recording.rows
    span_ms = requests[-1].arrived_at - requests[0].arrived_at if requests else 0.0
    return {
        "file": str(file),
        "gateway": recording.gateway,
        "gateways": recording.gateways,
        "requests": len(requests),
        "seconds": span_ms / 1000,
        "customers": len({request.customer for request in requests}),
        "retries": sum(request.is_retry for request in requests),
        "final": dict(Counter(request.outcome for request in requests)),
        "tries": dict(Counter(attempt.status for request in requests for attempt in request.attempts)),
        "blocks": recording.blocks,
        "trouble": recording.problems,
        "newest": [_row(request) for request in requests[len(requests) - newest :]] if newest else [],
    }


def _row(request: RecordedRequest) -> list[Any]:
    """Return a request as a JSON array, its attempts last."""
    attempts = [
        [attempt.endpoint, attempt.status, attempt.sent_after_ms, attempt.duration_ms]
        for attempt in request.attempts
    ]
    return [
        request.arrived_at,
        request.request_class,
        request.plan,
        request.customer.hex(),
        request.estimated_cost,
        request.true_cost,
        request.outcome,
        request.duration_ms,
        attempts,
    ]


def _print_summary(summary: dict[str, Any]) -> None:
    rows = [
        [
            key,
            ", ".join(f"{name} {count}" for name, count in value.items())
            if isinstance(value, dict)
            else value,
        ]
        for key, value in summary.items()
        if key not in ("file", "trouble", "newest")
    ]
    table(["recording", summary["file"]], rows)
    for problem in summary["trouble"]:
        click.echo(f"not read: {problem}")
    for row in summary["newest"]:
        click.echo(f"{row}")


@click.group()
def settings() -> None:
    """Inspect the operators' settings."""


@settings.command("check")
@click.argument("file", type=FILE)
@json_option
def check_file(file: Path, as_json: bool) -> None:
    """Check a settings file and report the first error."""
    from ..settings import operators

    try:
        operators.load(file)
    except (ValueError, OSError) as error:
        raise CommandError(str(error)) from None
    if as_json:
        print_json({"file": str(file), "good": True})
    else:
        click.echo(f"{file}: valid")


@settings.command("show")
@click.argument("file", type=FILE, required=False)
@json_option
def show_settings(file: Path | None, as_json: bool) -> None:
    """Show the effective settings and the origin of each value."""
    from ..settings import operators
    from ..settings.show import effective_settings

    path = file or operators.path_from_environment()
    if path is None:
        raise CommandError("no settings file given: name one or set PROXY_OPERATORS")
    try:
        found = effective_settings(path)
    except ValueError as error:
        raise CommandError(str(error)) from None
    if as_json:
        print_json([{"setting": name, "value": value, "from": origin} for name, value, origin in found])
    else:
        table(["setting", "value", "from"], found)
