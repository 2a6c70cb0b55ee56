"""Periodic work, timed by the loop's monotonic clock.

Tornado's PeriodicCallback keeps its next time in wall-clock time: if that clock is stepped back by an hour,
the work is not done for an hour.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from . import log


class PeriodicTask:
    """Calls `work` every `interval_s` seconds between `start` and `stop`; missed times are skipped."""

    def __init__(
        self,
        work: Callable[[], object],
        interval_s: float,
        count: Callable[[str], None] = lambda _name: None,
        on_late: Callable[[float], object] = lambda _seconds: None,
    ) -> None:
        """Set up the task; `start` begins the calls.

        Args:
            work: the function to call; an exception that it raises is logged.
            interval_s: s between two calls.
            count: adds one to a counter by its name: to `exceptions`, when the work raises one.
            on_late: called before each call of the work with its delay past the due time, in s.
        """
        self._work = work
        self._interval_s = interval_s
        self._count = count
        self._on_late = on_late
        self._timer: asyncio.TimerHandle | None = None
        self._due_at = 0.0  # s, on the loop's clock

    def start(self) -> None:
        """Start; the first call comes after one interval. Do nothing if already running."""
        if self._timer is None:
            self._schedule()

    def stop(self) -> None:
        """Stop; the work is not called any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def is_running(self) -> bool:
        """Return whether the task is started."""
        return self._timer is not None

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._due_at = loop.time() + self._interval_s
        self._timer = loop.call_later(self._interval_s, self._run)

    def _run(self) -> None:
        self._on_late(asyncio.get_running_loop().time() - self._due_at)
        self._schedule()  # before the work, which may stop it
        try:
            self._work()
        except Exception:
            self._count("exceptions")
            log.log_exception("periodic_work_exception")
