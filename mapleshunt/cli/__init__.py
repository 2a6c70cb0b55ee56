"""The command line, on click. It may import everything; nothing imports it but the program's start.

Every command has `--json`; what cannot be done is one line on standard error and exit status 2.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

import click

from .output import Trouble


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name=None, version="0.2.0", prog_name="mapleshunt")
def root() -> None:
    """A request gateway that keeps quotas, and the tools around it."""


@root.command()
def serve() -> None:
    """Run the gateway; PROXY_CONFIG names its configuration."""
    from ..server.bootstrap import run_gateway

    raise SystemExit(run_gateway())


def _commands() -> None:
    from . import copies, maintenance, model, record, rig

    every = (model.model, rig.rig, rig.demo, record.record, record.settings, copies.copies, copies.holdings)
    for command in (*every, maintenance.maintenance):
        root.add_command(command)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command; its exit status."""
    _commands()
    try:
        root.main(
            list(arguments) if arguments is not None else sys.argv[1:], "mapleshunt", standalone_mode=False
        )
    except click.exceptions.Abort:
        print("mapleshunt: stopped", file=sys.stderr)
        return 130
    except click.exceptions.Exit as done:
        return done.exit_code
    except click.ClickException as error:
        print(f"mapleshunt: {error.format_message()}", file=sys.stderr)
        return 2
    except Trouble as error:
        print(f"mapleshunt: {error}", file=sys.stderr)
        return 2
    except SystemExit as done:
        return done.code if isinstance(done.code, int) else 1
    return 0
