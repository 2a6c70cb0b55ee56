"""Startup steps, each retried after a transient error while there is time left to be ready."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from ..transient_errors import is_transient
from . import log
from .counters import Counters

START_TIMEOUT_S = 8.0  # a step that fails after this ends the start: most starts must be ready in 10 s
START_RETRY_DELAY_S = 0.02

Result = TypeVar("Result")


class StartupSteps:
    """The steps of one start, which share `START_TIMEOUT_S`."""

    def __init__(self, counters: Counters) -> None:
        """Start the time limit."""
        self._counters = counters
        self._deadline = asyncio.get_running_loop().time() + START_TIMEOUT_S

    async def run(self, name: str, step: Callable[[], Result]) -> Result:
        """Run a step, with retries, and return what it returns.

        A step that fails must leave nothing behind. Cancelling between two attempts does no harm.

        Raises:
            OSError: the step raised it, and it is not transient or was still raised after the time limit.
        """
        while True:
            try:
                return step()
            except OSError as error:
                is_late = asyncio.get_running_loop().time() > self._deadline
                if is_late or not is_transient(error):
                    raise
                self._counters.add("start_retries")
                log.log_event("start_retried", step=name, why=error)
            await asyncio.sleep(START_RETRY_DELAY_S)
