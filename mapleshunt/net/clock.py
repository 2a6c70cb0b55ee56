"""The gateway's clock."""

from __future__ import annotations

import time


class UnixClock:
    """Unix time in ms that advances evenly. Discovery gives the starts of endpoints in Unix time."""

    def __init__(self) -> None:
        """Read the offset to Unix time once: later steps of the wall clock have no effect."""
        self.offset_ms = (time.time() - time.monotonic()) * 1000

    def __call__(self) -> float:
        """Return the current time in ms."""
        return self.offset_ms + time.monotonic() * 1000

    def age(self, started_at_ms: float) -> float:
        """Return the least time in ms for which an endpoint that started at `started_at_ms` has been up.

        The wall clock may have been stepped since this clock started, here or where the start was recorded.
        The lower of the two ages counts, since an endpoint taken for older than it is gets too much load.
        """
        return max(0.0, min(self(), time.time() * 1000) - started_at_ms)
