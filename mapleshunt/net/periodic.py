"""Work that is done again and again, timed by the loop's monotonic clock.

Tornado's PeriodicCallback keeps its next time as a time of the wall clock: stepped back by an hour, the work
rests for an hour.
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
        count: Callable[[str], None] = lambda name: None,
        on_late: Callable[[float], object] = lambda seconds: None,
    ) -> None:
        """`count` adds one to a counter by its name: to `exceptions`, when the work raises one. `on_late`
        receives by how many s each call is later than it should be.
        """
        self.work, self.interval, self.count, self.on_late = work, interval, count, on_late
        self.timer: asyncio.TimerHandle | None = None
        self.due_at = 0.0  # s, on the loop's clock

    def start(self) -> None:
        """The first call comes after one interval."""
        if self.timer is None:
            self._schedule()

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def is_running(self) -> bool:
        return self.timer is not None

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self.due_at = loop.time() + self.interval
        self.timer = loop.call_later(self.interval, self._due)

    def _due(self) -> None:
        self.on_late(asyncio.get_running_loop().time() - self.due_at)
        self._schedule()  # before the work, which may stop it
        try:
            self.work()
        except Exception:
            self.count("exceptions")
            log.log_exception("periodic_work_exception")
