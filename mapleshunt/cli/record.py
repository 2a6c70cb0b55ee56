"""`mapleshunt record ...` and `mapleshunt settings ...`: recordings and the operators' file."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import click

from .output import Trouble, json_option, print_json, table

FILE = click.Path(dir_okay=False, path_type=Path)


@click.group()
def record() -> None:
    """Recordings of traffic that gateways met."""


def recordings(files: tuple[Path, ...]) -> list[Any]:
    from ..recording import file_format as form

    found = []
    for file in files:
        try:
            found.append(form.read(file.read_bytes()))
        except (OSError, form.BadRecording) as error:
            raise Trouble(f"{file}: {error}") from None
    return found


@record.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
@click.option("--rows", default=0, type=click.IntRange(0), help="Print so many of the newest rows too.")
@json_option
def show(files: tuple[Path, ...], rows: int, as_json: bool) -> None:
    """What recordings hold, and what of them cannot be read."""
    out = []
    for file, one in zip(files, recordings(files), strict=True):
        finals = Counter(row.final for row in one.rows)
        tries = Counter(a.status for row in one.rows for a in row.attempts)
        span = (one.rows[-1].at - one.rows[0].at) / 1000 if one.rows else 0.0
        out.append({
            "file": str(file), "gateway": one.gateway, "gateways": one.gateways, "requests": len(one.rows),
            "seconds": span, "customers": len({row.customer for row in one.rows}),
            "retries": sum(row.retry for row in one.rows), "final": dict(finals), "tries": dict(tries),
            "blocks": one.blocks, "trouble": one.trouble,
            "newest": [[row.at, row.cls, row.plan, row.customer.hex(), row.guess, row.cost, row.final,
                        row.took,
                        [[a.server, a.status, a.sent, a.took] for a in row.attempts]]
                       for row in one.rows[len(one.rows) - rows :]] if rows else [],
        })  # fmt: skip
    if as_json:
        print_json(out)
        return
    for one_file in out:
        table(["recording", one_file["file"]], [
            [key, ", ".join(f"{k} {v}" for k, v in value.items()) if isinstance(value, dict) else value]
            for key, value in one_file.items() if key not in ("file", "trouble", "newest")
        ])  # fmt: skip
        for line in one_file["trouble"]:
            click.echo(f"not read: {line}")
        for row in one_file["newest"]:
            click.echo(f"{row}")


@click.group()
def settings() -> None:
    """The operators' settings."""


@settings.command("check")
@click.argument("file", type=FILE)
@json_option
def check_file(file: Path, as_json: bool) -> None:
    """Read a file of settings and say what is wrong with it."""
    from ..settings import operators

    try:
        operators.load(file)
    except (ValueError, OSError) as error:
        raise Trouble(str(error)) from None
    if as_json:
        print_json({"file": str(file), "good": True})
    else:
        click.echo(f"{file}: good")


@settings.command("show")
@click.argument("file", type=FILE, required=False)
@json_option
def show_settings(file: Path | None, as_json: bool) -> None:
    """What holds, and where each value comes from."""
    from ..settings import operators
    from ..settings.show import rows

    path = file or operators.named()
    if path is None:
        raise Trouble("name a file, or set PROXY_OPERATORS")
    try:
        found = rows(path)
    except ValueError as error:
        raise Trouble(str(error)) from None
    if as_json:
        print_json([{"setting": name, "value": value, "from": place} for name, value, place in found])
    else:
        table(["setting", "value", "from"], found)
