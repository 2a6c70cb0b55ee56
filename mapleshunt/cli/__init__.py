"""The command line, built on click. It may import every package; only `__main__` imports it.

Commands that print results have `--json`; an error is one line on standard error and exit status 2.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

import click

from .output import CommandError


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name=None, version="0.2.0", prog_name="mapleshunt")
def root() -> None:
    """Run the request gateway, which enforces quotas, and its tools."""


@root.command()
def serve() -> None:
    """Run the gateway; PROXY_CONFIG is the path of its configuration file."""
    from ..server.bootstrap import run_gateway

    raise SystemExit(run_gateway())


def _add_commands() -> None:
    from . import copies, maintenance, model, record, rig

    groups = (model.model, rig.rig, rig.demo, record.record, record.settings, copies.copies, copies.holdings)
    for command in (*groups, maintenance.maintenance):
        root.add_command(command)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit status."""
    _add_commands()
    try:
        root.main(
            list(arguments) if arguments is not None else sys.argv[1:], "mapleshunt", standalone_mode=False
        )
    except click.exceptions.Abort:
        print("mapleshunt: interrupted", file=sys.stderr)
        return 130
    except click.exceptions.Exit as requested:
        return requested.exit_code
    except click.ClickException as error:
        print(f"mapleshunt: {error.format_message()}", file=sys.stderr)
        return 2
    except CommandError as error:
        print(f"mapleshunt: {error}", file=sys.stderr)
        return 2
    except SystemExit as requested:
        return requested.code if isinstance(requested.code, int) else 1
    return 0
