"""The gateway's clock."""

from __future__ import annotations

import time


class UnixClock:
    """Unix time in ms that advances evenly, for the starts of servers are given in Unix time."""

    def __init__(self) -> None:
        """Take the offset of Unix time once: later steps of the wall clock do not matter."""
        self.origin = (time.time() - time.monotonic()) * 1000

    def __call__(self) -> float:
        """Return the time now, in ms."""
        return self.origin + time.monotonic() * 1000

    def age(self, started_at_ms: float) -> float:
        """Return for how many ms a server that started then, in Unix ms, has been up, at the least.

        The wall clock may have been stepped since this one began, here or where the start was noted: the
        younger of the two ages counts, for a server that is taken for older than it is gets too much load.
        """
        return max(0.0, min(self(), time.time() * 1000) - started_at_ms)
