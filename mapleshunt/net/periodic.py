"""Work that is done again and again, timed by the loop's monotonic clock.

Tornado's PeriodicCallback keeps its next time as a time of the wall clock: stepped back by an hour, the work
is not done for an hour.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from . import log


class PeriodicTask:
    """Calls `work` every `interval` s between `start` and `stop`; missed times are skipped."""

    def __init__(
        self,
        work: Callable[[], object],
        interval: float,
        count: Callable[[str], None] = lambda _name: None,
        on_late: Callable[[float], object] = lambda _seconds: None,
    ) -> None:
        """Wire it.

        Args:
            work: what is done; an exception of it is logged.
            interval: s between two calls.
            count: adds one to a counter by its name: to `exceptions`, when the work raises one.
            on_late: gets by how many s each call is later than it should be.
        """
        self._work = work
        self._interval = interval
        self._count = count
        self._on_late = on_late
        self._timer: asyncio.TimerHandle | None = None
        self._due_at = 0.0  # s, on the loop's clock

    def start(self) -> None:
        """Begin; the first call comes after one interval. Nothing happens if it is running."""
        if self._timer is None:
            self._schedule()

    def stop(self) -> None:
        """End; the work is not called any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def is_running(self) -> bool:
        """Tell whether the work is called from time to time."""
        return self._timer is not None

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._due_at = loop.time() + self._interval
        self._timer = loop.call_later(self._interval, self._run)

    def _run(self) -> None:
        self._on_late(asyncio.get_running_loop().time() - self._due_at)
        self._schedule()  # before the work, which may stop it
        try:
            self._work()
        except Exception:
            self._count("exceptions")
            log.log_exception("periodic_work_exception")
