"""Entry point of `python -m mapleshunt`: the gateway, or the command line if there are arguments."""

from __future__ import annotations

import sys

from .server.bootstrap import run_gateway


def main() -> int:
    """Run the gateway, or the command line if there are arguments, and return the exit status.

    The gateway does not need the command line's libraries.
    """
    if len(sys.argv) == 1:
        return run_gateway()
    try:
        from .cli import main as run_command
    except ModuleNotFoundError as error:
        print(f"mapleshunt: the commands need the extra 'tools' ({error})", file=sys.stderr)
        return 2
    return run_command()


if __name__ == "__main__":
    raise SystemExit(main())
