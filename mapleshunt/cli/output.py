"""What commands print: JSON on request, else tables; progress on standard error if somebody looks."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import Any

import click
import msgspec


class Trouble(Exception):
    """What a command cannot do; its text is one line for the operator."""


def json_option(command: Any) -> Any:
    return click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")(command)


def print_json(value: Any) -> None:
    click.echo(msgspec.json.format(msgspec.json.encode(value)).decode())


def table(head: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Columns as wide as they need, figures to the right."""
    text = [[_word(cell) for cell in row] for row in rows]
    widths = [
        max(len(str(h)), *(len(row[n]) for row in text)) if text else len(str(h)) for n, h in enumerate(head)
    ]
    click.echo("  ".join(str(h).ljust(w) for h, w in zip(head, widths, strict=True)).rstrip())
    for row, raw in zip(text, rows, strict=True):
        cells = [
            cell.rjust(w) if isinstance(value, (int, float)) else cell.ljust(w)
            for cell, value, w in zip(row, raw, widths, strict=True)
        ]
        click.echo("  ".join(cells).rstrip())


def service_rows(found: Any) -> list[list[Any]]:
    """How a day's table begins, in the model and on sockets: service, penalties, broken rules."""
    return [
        ["service", found.service], ["whole day", found.whole], ["worst 10 s", found.worst_window],
        ["worst plan", found.worst_plan], *[[f"penalty, {k}", v] for k, v in found.penalties.items()],
        *[[f"broken rule, {k}", v] for k, v in found.rules.items()],
    ]  # fmt: skip


def _word(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


@contextmanager
def progress(total: int, label: str) -> Iterator[Callable[[int], None]]:
    """A bar on standard error while long work goes on; nothing where that is no terminal."""
    with click.progressbar(length=total, label=label, file=sys.stderr, hidden=not sys.stderr.isatty()) as bar:
        yield bar.update
