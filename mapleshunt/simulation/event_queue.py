"""Virtual time: what is due when, in order; ties go by who came first."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class EventQueue:
    """A heap of (time in ms, number, call, arguments)."""

    __slots__ = ("heap", "now", "processed", "sequence")

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sequence = self.processed = 0
        self.now = 0.0

    def schedule(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        self.sequence += 1
        heapq.heappush(self.heap, (when, self.sequence, call, arguments))

    def run_until(self, until: float) -> None:
        """Do all that is due until then, and what comes of it."""
        heap, pop, waiting = self.heap, heapq.heappop, self.sequence - len(self.heap)
        while heap and heap[0][0] <= until:
            when, _, call, arguments = pop(heap)
            if when > self.now:
                self.now = when
            call(*arguments)
        self.processed += self.sequence - len(heap) - waiting
        self.now = max(self.now, until)
