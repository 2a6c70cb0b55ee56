"""Output of commands: JSON on request, otherwise tables; progress on standard error if it is a terminal."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import Any

import click
import msgspec


class CommandError(Exception):
    """A command failed; the message is one line for the operator."""


def json_option(command: Any) -> Any:
    """Add the option `--json` to a command."""
    return click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")(command)


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(value)).decode())


def table(headings: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print a table with columns as wide as their contents and numbers aligned to the right."""
    text = [[_format_cell(cell) for cell in row] for row in rows]
    widths = [
        max(len(str(heading)), *(len(row[column]) for row in text)) if text else len(str(heading))
        for column, heading in enumerate(headings)
    ]
    click.echo(
        "  ".join(str(heading).ljust(width) for heading, width in zip(headings, widths, strict=True)).rstrip()
    )
    for row, values in zip(text, rows, strict=True):
        cells = [
            cell.rjust(width) if isinstance(value, (int, float)) else cell.ljust(width)
            for cell, value, width in zip(row, values, widths, strict=True)
        ]
        click.echo("  ".join(cells).rstrip())


def service_rows(score: Any) -> list[list[Any]]:
    """Return the first rows of a run's table, for the simulation and the testbed."""
    return [
        ["service", score.service], ["whole run", score.whole], ["worst 10 s", score.worst_window],
        ["worst plan", score.worst_plan],
        *[[f"penalty, {name}", penalty] for name, penalty in score.penalties.items()],
        *[[f"violations, {rule}", count] for rule, count in score.rules.items()],
    ]  # fmt: skip


def _format_cell(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


@contextmanager
def progress(total: int, label: str) -> Iterator[Callable[[int], None]]:
    """Show a progress bar on standard error during long work, if that is a terminal."""
    with click.progressbar(length=total, label=label, file=sys.stderr, hidden=not sys.stderr.isatty()) as bar:
        yield bar.update
