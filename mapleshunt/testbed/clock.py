"""Real time in ms since the day began, and what is due when."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any


class Clock:
    """`now()` is 0 when the day begins; before that it is below 0. `unix` is when that is, in Unix ms."""

    def __init__(self) -> None:
        self.origin = time.monotonic()
        self.unix = time.time() * 1000
        self.late = 0.0  # ms by which the loop was late at worst

    def begin(self) -> None:
        self.origin, self.unix = time.monotonic(), time.time() * 1000

    def now(self) -> float:
        return (time.monotonic() - self.origin) * 1000

    def at(self, when: float, call: Callable[..., None], *arguments: Any) -> asyncio.TimerHandle:
        """Call at a time of the day, or at once if it has passed."""
        loop = asyncio.get_running_loop()
        return loop.call_later(max(0.0, when - self.now()) / 1000, self._due, when, call, arguments)

    def _due(self, when: float, call: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        self.late = max(self.late, self.now() - when)
        call(*arguments)
