"""Real time in ms since a day began, and calls at times of that day."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any


class RunClock:
    """A monotonic clock that is at 0 when the day begins; it measures the event loop's lateness."""

    def __init__(self) -> None:
        self.unix_ms = time.time() * 1000  # Unix time at which the day began
        self.max_lateness_ms = 0.0  # by which the event loop was late at worst
        self._origin = time.monotonic()  # s

    def begin(self) -> None:
        """Let the day begin now."""
        self._origin, self.unix_ms = time.monotonic(), time.time() * 1000

    def now(self) -> float:
        """Return the time of the day, ms."""
        return (time.monotonic() - self._origin) * 1000

    # The arguments are those of any call: only the call knows their types.
    def at(self, when: float, call: Callable[..., None], *arguments: Any) -> asyncio.TimerHandle:
        """Call at a time of the day, ms, or at once if it has passed; the handle cancels the call."""
        loop = asyncio.get_running_loop()
        return loop.call_later(max(0.0, when - self.now()) / 1000, self._run, when, call, arguments)

    def _run(self, when: float, call: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        self.max_lateness_ms = max(self.max_lateness_ms, self.now() - when)
        call(*arguments)
