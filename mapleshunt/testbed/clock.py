"""Real time in ms since a run began, and calls scheduled at times of that run."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any


class RunClock:
    """A monotonic clock that starts at 0 when the run begins; it measures the event loop's lateness."""

    def __init__(self) -> None:
        self.unix_ms = time.time() * 1000  # Unix time at which the run began
        self.max_lateness_ms = 0.0  # worst delay of a scheduled call
        self._origin = time.monotonic()  # s

    def begin(self) -> None:
        """Set the start of the run to now."""
        self._origin, self.unix_ms = time.monotonic(), time.time() * 1000

    def now(self) -> float:
        """Return the time since the run began (ms)."""
        return (time.monotonic() - self._origin) * 1000

    # The arguments are the called function's own, hence untyped.
    def at(self, when: float, call: Callable[..., None], *arguments: Any) -> asyncio.TimerHandle:
        """Schedule a call at a time of the run (ms), or at once if that has passed; the handle cancels it."""
        loop = asyncio.get_running_loop()
        return loop.call_later(max(0.0, when - self.now()) / 1000, self._run, when, call, arguments)

    def _run(self, when: float, call: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        self.max_lateness_ms = max(self.max_lateness_ms, self.now() - when)
        call(*arguments)
