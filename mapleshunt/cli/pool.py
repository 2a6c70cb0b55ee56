"""Options of commands that run plays in parallel."""

from __future__ import annotations

from contextlib import contextmanager
from typing import Any

import click

from .output import CommandError


def pool_options(command: Any) -> Any:
    """Add the options of parallel execution."""
    command = click.option(
        "--backend", default=None, help="joblib's backend (loky, multiprocessing, threading)."
    )(command)
    return click.option(
        "--jobs", default=-1, show_default=True, help="Number of processes; -1: one per core."
    )(command)


@contextmanager
def joblib_backend(backend: str | None) -> Any:
    """Run joblib with the backend of that name within the context; None leaves its default."""
    from joblib import parallel_config

    if backend is None:
        yield
        return
    try:
        with parallel_config(backend=backend):
            yield
    except ValueError as error:
        raise CommandError(str(error)) from None
