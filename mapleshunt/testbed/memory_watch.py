"""The memory of a gateway's processes, watched against its limit as a platform does."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from pathlib import Path

SAMPLE_INTERVAL_S = 0.01  # between two readings


def anonymous_mb(process_id: int) -> float:
    """Return a process's anonymous resident memory; 0 once it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
            if line.startswith("RssAnon"):
                return int(line.split()[1]) / 1024
    return 0.0


class MemoryWatch:
    """Reads the memory of processes together, until it exceeds the limit."""

    def __init__(self, process_ids: Callable[[], Iterable[int]], limit_mb: float) -> None:
        """Watch the processes whose ids `process_ids` returns at each reading."""
        self._process_ids = process_ids
        self._limit_mb = limit_mb
        self.peak_mb = 0.0
        self.exceeded = asyncio.Event()

    def read_mb(self) -> float:
        """Return the memory of all watched processes now."""
        return sum(anonymous_mb(process_id) for process_id in self._process_ids())

    async def run(self) -> None:
        """Read the memory until it exceeds the limit, or until cancelled."""
        while True:
            self.peak_mb = max(self.peak_mb, self.read_mb())
            if self.peak_mb > self._limit_mb:
                self.exceeded.set()
                return
            await asyncio.sleep(SAMPLE_INTERVAL_S)
